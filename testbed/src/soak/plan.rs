//! What happens in one play of the soak, drawn from a seed and kept as a TOML file.

use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use serde::{Deserialize, Serialize};

/// What plans are drawn from: the soak's file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Spec {
    /// What it is for.
    pub about: String,
    /// Least and most seconds of a play.
    pub seconds: [f64; 2],
    /// Fewest and most proxies.
    pub proxies: [usize; 2],
    /// Fewest and most backends.
    pub backends: [usize; 2],
    /// Fewest and most clients of each proxy.
    pub clients: [usize; 2],
    /// Fewest and most faults of a play.
    #[serde(rename = "troubles")]
    pub faults: [usize; 2],
}

/// One play.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// The seed that it was drawn from, and of all that is drawn while it is played.
    pub seed: u64,
    /// How long clients send, in seconds.
    pub seconds: f64,
    /// Proxies.
    pub proxies: usize,
    /// Backends.
    pub backends: usize,
    /// Clients of each proxy.
    pub clients: usize,
    /// The longest deadline of a request, in seconds.
    pub deadline: f64,
    /// What happens.
    #[serde(rename = "troubles", default)]
    pub faults: Vec<Fault>,
}

/// One fault.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Fault {
    /// When it begins, in seconds.
    pub at: f64,
    /// How long it lasts, in seconds.
    pub length: f64,
    /// What it is.
    #[serde(flatten)]
    pub kind: Kind,
}

/// What can happen.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Kind {
    /// A proxy is sent SIGTERM, ends, and is started again; meanwhile it may be suspended (SIGSTOP).
    Stop {
        /// Which.
        proxy: usize,
        /// When it is suspended, in seconds behind SIGTERM.
        #[serde(rename = "held_up_after")]
        suspended_after: f64,
        /// For how long, in seconds.
        #[serde(rename = "held_up")]
        suspended_for: f64,
        /// Signals that come before SIGTERM.
        #[serde(default)]
        before: Vec<SignalStep>,
        /// Signals that come after it.
        #[serde(default)]
        after: Vec<SignalStep>,
    },
    /// Idle clients open connections to a proxy until it has no room for more, and keep them.
    Crowd {
        /// Which.
        proxy: usize,
        /// How many.
        connections: usize,
    },
    /// A proxy is killed and started again.
    Kill {
        /// Which.
        proxy: usize,
    },
    /// A proxy is suspended (SIGSTOP) for the length of the fault.
    #[serde(rename = "hold_up")]
    Suspend {
        /// Which.
        proxy: usize,
    },
    /// A proxy's discovery moves (SIGHUP).
    Reload {
        /// Which.
        proxy: usize,
    },
    /// Discovery is silent for all.
    DiscoveryDown,
    /// Discovery ends all watches.
    DiscoveryResets,
    /// Backends drain, and are gone in the end.
    Drain {
        /// The first of them.
        backend: usize,
        /// How many.
        count: usize,
    },
    /// A backend starts again, cold.
    ColdStart {
        /// Which.
        backend: usize,
    },
    /// Backends misbehave.
    Backends {
        /// The first of them.
        backend: usize,
        /// How many.
        count: usize,
        /// How.
        how: Misbehaviour,
    },
    /// Clients misbehave.
    Clients {
        /// How.
        how: Manner,
    },
    /// System calls of a proxy fail.
    Calls {
        /// Which.
        proxy: usize,
        /// How: a rule of the preload library, without its times.
        rule: String,
    },
    /// The wall clocks of all proxies' machines are wrong while a backend starts again, cold.
    WallClock {
        /// By how many seconds.
        by: i64,
        /// Which backend.
        backend: usize,
    },
    /// A list-service node's disk fails while it takes registrations.
    Disk {
        /// How: a rule of the preload library, without its times.
        rule: String,
    },
}

/// One signal of a series.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct SignalStep {
    /// Which.
    pub signal: SeriesSignal,
    /// The seconds until the next one.
    pub gap: f64,
}

/// A signal that can come in a series.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SeriesSignal {
    /// SIGHUP: discovery may have moved.
    Reload,
    /// SIGTERM once more.
    Terminate,
    /// SIGSTOP, and SIGCONT after the gap.
    Suspend,
}

/// What a backend does wrong.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Misbehaviour {
    /// It takes requests and says nothing.
    Hang,
    /// It answers 500.
    Fail,
    /// It turns requests away.
    TurnAway,
    /// It resets connections under requests.
    Reset,
    /// It closes connections right behind each answer.
    CloseBehind,
    /// It forgets idle connections: the next request on one is reset.
    ForgetIdle,
    /// It answers without a length, and ends the connection behind the answer.
    NoLength,
    /// It answers twice, the second time some milliseconds later.
    Twice,
}

/// What clients do wrong.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Manner {
    /// They send requests in pieces.
    Pieces,
    /// They leave before their answer, many at a time.
    Leave,
    /// They stop in the middle of a request and stay.
    StopMidway,
    /// They send the beginning of the next request behind each, and may leave.
    Pipeline,
    /// They pause for longer between two requests, every other time. Fixed plans alone have it: none is drawn.
    Rest,
}

/// The rules that make a proxy's calls fail.
const CALL_RULES: [&str; 12] = [
    "recv=EINTR@0.02",
    "send=EINTR@0.02",
    "peek=EINTR@0.3",
    "recv=short@0.1",
    "send=short@0.1",
    "wait=EINTR@0.2",
    "accept=ECONNABORTED@0.33",
    "accept=ENFILE@0.2",
    "connect=EADDRNOTAVAIL@0.2",
    "connect=ENETUNREACH@0.2",
    "socket=ENOBUFS@0.2",
    "open=ENFILE@0.7",
];
/// The rules that make a disk fail.
const DISK_RULES: [&str; 5] =
    ["write=ENOSPC@1", "write=EIO@0.3", "sync=EIO@0.5", "write=torn@0.02", "sync=20..200ms@1"];
/// The part of the faults of proxies that come to the first one.
const FOCUS: f64 = 0.7;
/// Most signals of a series before SIGTERM, and after it.
const MAX_SERIES: usize = 3;
/// The longest gap between two signals of a series, in seconds.
const MAX_GAP: f64 = 0.2;
/// Connections of a crowd: fewer than a proxy has room for, and more.
const CROWDS: [usize; 2] = [200, 600];
/// Steps of the wall clock, in seconds.
const CLOCK_STEPS: [i64; 4] = [-3600, -7, 7, 3600];

impl Plan {
    /// Draws a plan.
    pub fn draw(spec: &Spec, seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let number = |rng: &mut SmallRng, [least, most]: [usize; 2]| rng.random_range(least..=most);
        let seconds = rng.random_range(spec.seconds[0]..=spec.seconds[1]);
        let mut plan = Self {
            seed,
            seconds,
            proxies: number(&mut rng, spec.proxies),
            backends: number(&mut rng, spec.backends),
            clients: number(&mut rng, spec.clients),
            deadline: *[1.5, 3.0, 6.0].choose(&mut rng).unwrap_or(&3.0),
            faults: Vec::new(),
        };
        // Two or three overlap: they come together, at times only after all has been quiet for a while.
        let together = rng.random_range(0.1..0.6) * seconds;
        for _ in 0..number(&mut rng, spec.faults) {
            let kind = plan.draw_kind(&mut rng);
            let at = (together + rng.random_range(0.0..2.5)).min(0.8 * seconds);
            let length = match &kind {
                Kind::Suspend { .. } if rng.random_bool(0.5) => rng.random_range(0.02..0.15),
                Kind::Suspend { .. } => rng.random_range(0.15..0.6),
                Kind::Calls { .. } => rng.random_range(3.0..8.0),
                _ => rng.random_range(0.8..4.0),
            };
            plan.faults.push(Fault { at, length, kind });
        }
        plan
    }

    fn draw_kind(&self, rng: &mut SmallRng) -> Kind {
        use Misbehaviour::{CloseBehind, Fail, ForgetIdle, Hang, NoLength, Reset, TurnAway, Twice};
        // Faults of one proxy mostly meet at the same.
        let proxy = if rng.random_bool(FOCUS) { 0 } else { rng.random_range(0..self.proxies) };
        let backend = rng.random_range(0..self.backends);
        let some = rng.random_range(1..=(self.backends / 3).max(1));
        let rule = |rules: &[&str], rng: &mut SmallRng| rules.choose(rng).copied().unwrap_or_default().into();
        match rng.random_range(0..18) {
            0 | 1 => Kind::Stop {
                proxy,
                suspended_after: rng.random_range(0.0..2.0),
                suspended_for: *[0.0, 0.15, 0.45].choose(rng).unwrap_or(&0.0),
                before: draw_series(rng, &[SeriesSignal::Reload, SeriesSignal::Suspend]),
                after: draw_series(
                    rng,
                    &[SeriesSignal::Reload, SeriesSignal::Terminate, SeriesSignal::Suspend],
                ),
            },
            16 | 17 => Kind::Crowd { proxy, connections: *CROWDS.choose(rng).unwrap_or(&CROWDS[0]) },
            2 => Kind::Kill { proxy },
            3 => Kind::Suspend { proxy },
            4 => Kind::Reload { proxy },
            5 => Kind::DiscoveryDown,
            6 => Kind::DiscoveryResets,
            7 => Kind::Drain { backend, count: some },
            8 => Kind::ColdStart { backend },
            9 | 10 => {
                let all = [Hang, Fail, TurnAway, Reset, CloseBehind, ForgetIdle, NoLength, Twice];
                Kind::Backends { backend, count: some, how: *all.choose(rng).unwrap_or(&Hang) }
            }
            11 => {
                let all = [Manner::Pieces, Manner::Leave, Manner::StopMidway, Manner::Pipeline];
                Kind::Clients { how: *all.choose(rng).unwrap_or(&Manner::Leave) }
            }
            12 | 13 => Kind::Calls { proxy, rule: rule(&CALL_RULES, rng) },
            14 => Kind::WallClock { by: *CLOCK_STEPS.choose(rng).unwrap_or(&3600), backend },
            _ => Kind::Disk { rule: rule(&DISK_RULES, rng) },
        }
    }

    /// The same without one fault.
    pub fn without(&self, fault: usize) -> Self {
        let mut plan = self.clone();
        plan.faults.remove(fault);
        plan
    }
}

/// Draws the signals of a series, none in one of four.
fn draw_series(rng: &mut SmallRng, signals: &[SeriesSignal]) -> Vec<SignalStep> {
    let count = rng.random_range(0..=MAX_SERIES);
    let step = |rng: &mut SmallRng| {
        let signal = signals.choose(rng).copied().unwrap_or(SeriesSignal::Reload);
        SignalStep { signal, gap: rng.random_range(0.0..MAX_GAP) }
    };
    (0..count).map(|_| step(rng)).collect()
}
