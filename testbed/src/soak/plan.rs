//! The plan of one run of the soak: drawn from a seed, and stored as a TOML file.

use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use serde::{Deserialize, Serialize};

/// The ranges that plans are drawn from, as an experiment file gives them.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Spec {
    /// What the soak is for.
    pub about: String,
    /// The shortest and longest duration of a run, in seconds.
    pub seconds: [f64; 2],
    /// The minimum and maximum number of proxies.
    pub proxies: [usize; 2],
    /// The minimum and maximum number of backends.
    pub backends: [usize; 2],
    /// The minimum and maximum number of clients of each proxy.
    pub clients: [usize; 2],
    /// The minimum and maximum number of faults in a run.
    #[serde(rename = "troubles")]
    pub faults: [usize; 2],
    /// The limits of the proxies' processes; if given, each run has peers that stop in the middle of a request too.
    #[serde(default)]
    pub limits: Option<LimitRanges>,
    /// The longest time by which each answer of discovery is late, in seconds; if given, each run has slow discovery and
    /// a backend that drains meanwhile.
    #[serde(default)]
    pub max_discovery_delay: Option<f64>,
}

/// The ranges that the limits of the proxies' processes are drawn from.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LimitRanges {
    /// The lowest and highest limit of memory, in MB of 2^20 bytes.
    pub memory_mb: [u64; 2],
    /// The lowest and highest number of descriptors.
    pub sockets: [usize; 2],
}

/// The limits of a proxy's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ProcessLimits {
    /// The memory that it may use, in MB of 2^20 bytes.
    pub memory_mb: u64,
    /// The number of descriptors that it may open.
    pub sockets: usize,
}

impl Default for ProcessLimits {
    fn default() -> Self {
        Self { memory_mb: 192, sockets: 512 }
    }
}

/// The plan of one run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// The seed that the plan was drawn from; it also seeds every random choice of the run.
    pub seed: u64,
    /// How long clients send requests, in seconds.
    pub seconds: f64,
    /// The number of proxies.
    pub proxies: usize,
    /// The number of backends.
    pub backends: usize,
    /// The number of clients of each proxy.
    pub clients: usize,
    /// The longest deadline of a request, in seconds.
    pub deadline: f64,
    /// The limits of each proxy's process.
    #[serde(default)]
    pub limits: ProcessLimits,
    /// The faults of the run.
    #[serde(rename = "troubles", default)]
    pub faults: Vec<Fault>,
}

/// A fault of a run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Fault {
    /// When it begins, in seconds of the run.
    pub at: f64,
    /// How long it lasts, in seconds.
    pub length: f64,
    /// The kind of fault.
    #[serde(flatten)]
    pub kind: FaultKind,
}

/// The kinds of fault.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum FaultKind {
    /// A proxy is sent SIGTERM, ends, and is started again; meanwhile it may be suspended (SIGSTOP).
    Stop {
        /// The proxy.
        proxy: usize,
        /// When it is suspended, in seconds after SIGTERM.
        #[serde(rename = "held_up_after")]
        suspended_after: f64,
        /// How long it is suspended, in seconds.
        #[serde(rename = "held_up")]
        suspended_for: f64,
        /// Signals that are sent before SIGTERM.
        #[serde(default)]
        before: Vec<SignalStep>,
        /// Signals that are sent after SIGTERM.
        #[serde(default)]
        after: Vec<SignalStep>,
    },
    /// Idle clients open connections to a proxy and keep them open.
    Crowd {
        /// The proxy.
        proxy: usize,
        /// The number of connections.
        connections: usize,
    },
    /// Peers connect to a proxy at the same time, and each stops in the middle of a request and stays.
    StalledPeers {
        /// The proxy.
        proxy: usize,
        /// The number of peers.
        peers: usize,
        /// The number of bytes that each sends of a head.
        head_bytes: usize,
        /// The number of bytes that each sends of a body; none if the head is incomplete.
        body_bytes: Option<usize>,
    },
    /// A proxy is killed and started again.
    Kill {
        /// The proxy.
        proxy: usize,
    },
    /// A proxy is suspended (SIGSTOP) for the length of the fault.
    #[serde(rename = "hold_up")]
    Suspend {
        /// The proxy.
        proxy: usize,
    },
    /// The discovery of a proxy moves to another address (SIGHUP).
    Reload {
        /// The proxy.
        proxy: usize,
    },
    /// Discovery does not answer any proxy.
    DiscoveryDown,
    /// Discovery ends all watches.
    DiscoveryResets,
    /// Each answer of discovery is late by a time that is drawn for it, from the shortest to the longest, in seconds.
    DiscoverySlow {
        /// The shortest delay.
        min_delay: f64,
        /// The longest delay.
        max_delay: f64,
    },
    /// Backends drain, and are deleted at the end.
    Drain {
        /// The first of the backends.
        backend: usize,
        /// The number of backends.
        count: usize,
        /// Whether they serve new requests nevertheless, so that only the list tells that they drain.
        #[serde(default)]
        still_serves: bool,
    },
    /// A backend restarts in slow start.
    ColdStart {
        /// The backend.
        backend: usize,
    },
    /// Backends misbehave.
    Backends {
        /// The first of the backends.
        backend: usize,
        /// The number of backends.
        count: usize,
        /// How they misbehave.
        #[serde(rename = "how")]
        misbehaviour: BackendMisbehaviour,
    },
    /// Clients misbehave.
    Clients {
        /// How they misbehave.
        #[serde(rename = "how")]
        misbehaviour: ClientMisbehaviour,
    },
    /// System calls of a proxy fail.
    #[serde(rename = "calls")]
    SystemCalls {
        /// The proxy.
        proxy: usize,
        /// The rule for the preload library, without its times.
        rule: String,
    },
    /// The wall clocks of all proxies are wrong, and a backend restarts in slow start.
    WallClock {
        /// The offset of the clocks, in seconds.
        #[serde(rename = "by")]
        offset_s: i64,
        /// The backend.
        backend: usize,
    },
    /// A list-service node's disk fails while it takes registrations.
    Disk {
        /// The rule for the preload library, without its times.
        rule: String,
    },
}

/// A signal of a series.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct SignalStep {
    /// The signal.
    pub signal: SeriesSignal,
    /// The time until the next signal, in seconds.
    pub gap: f64,
}

/// The signals that a series can contain.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SeriesSignal {
    /// SIGHUP: discovery may have moved.
    Reload,
    /// Another SIGTERM.
    Terminate,
    /// SIGSTOP, then SIGCONT after the gap.
    Suspend,
}

/// How a backend misbehaves.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum BackendMisbehaviour {
    /// It accepts requests and does not answer.
    Hang,
    /// It answers 500.
    Fail,
    /// It rejects requests.
    #[serde(rename = "turn_away")]
    Reject,
    /// It resets the connection of each request.
    Reset,
    /// It closes the connection immediately after each answer.
    #[serde(rename = "close_behind")]
    CloseAfterAnswer,
    /// It forgets idle connections: the next request on one is reset.
    ForgetIdle,
    /// It answers without a length, and closes the connection after the answer.
    NoLength,
    /// It answers each request twice, the second time some milliseconds later.
    #[serde(rename = "twice")]
    AnswerTwice,
}

/// How clients misbehave.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClientMisbehaviour {
    /// They send each request in two pieces.
    Pieces,
    /// They often leave before the answer.
    Leave,
    /// They stop in the middle of a request and keep the connection open.
    StopMidway,
    /// They send the beginning of the next request right after each request, and may leave before the answer.
    Pipeline,
    /// They pause for longer before every other request on average. Only fixed plans contain it: it is never drawn.
    #[serde(rename = "rest")]
    LongPauses,
}

/// The rules that make system calls of a proxy fail.
const SYSTEM_CALL_RULES: [&str; 12] = [
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
/// The share of proxy faults that apply to the first proxy.
const FIRST_PROXY_SHARE: f64 = 0.7;
/// The maximum number of signals in the series before SIGTERM, and in the one after it.
const MAX_SERIES_LENGTH: usize = 3;
/// The longest gap between two signals of a series, in seconds.
const MAX_GAP_S: f64 = 0.2;
/// Connections of a crowd: fewer than a proxy can accept, and more.
const CROWD_SIZES: [usize; 2] = [200, 600];
/// Distinguishes the random numbers for limits from a plan's others.
const LIMITS_SEED: u64 = 0x6c69_6d69_7473;
/// Distinguishes the random numbers for slow discovery from a plan's others.
const SLOW_DISCOVERY_SEED: u64 = 0x736c_6f77;
/// When discovery becomes slow at the latest, as a fraction of the run.
const MAX_SLOW_START: f64 = 0.2;
/// A backend begins to drain at most this long after discovery became slow, in seconds.
const MAX_DRAIN_DELAY_S: f64 = 2.5;
/// At most one peer for this many descriptors stops in the middle of a request: clients may use a third.
const PEERS_PER_DESCRIPTOR: usize = 3;
/// The share of the plans whose stalled peers have sent a complete head.
const STALLED_BODY_SHARE: f64 = 0.7;
/// The length of the fault for peers that stall, which the proxy ends, in seconds.
const STALLED_PEERS_S: f64 = 3.0;
/// Heads of stalled peers are shorter than this, and bodies shorter than [`MAX_BODY_BYTES`].
const MAX_HEAD_BYTES: usize = 30 << 10;
/// The maximum size of a body.
pub(super) const MAX_BODY_BYTES: usize = 64 << 10;
/// Offsets of the wall clock, in seconds.
const CLOCK_OFFSETS_S: [i64; 4] = [-3600, -7, 7, 3600];

impl Plan {
    /// Draws the plan of a seed.
    pub fn draw(spec: &Spec, seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let draw_count = |rng: &mut SmallRng, [min, max]: [usize; 2]| rng.random_range(min..=max);
        let seconds = rng.random_range(spec.seconds[0]..=spec.seconds[1]);
        let mut plan = Self {
            seed,
            seconds,
            proxies: draw_count(&mut rng, spec.proxies),
            backends: draw_count(&mut rng, spec.backends),
            clients: draw_count(&mut rng, spec.clients),
            deadline: *[1.5, 3.0, 6.0].choose(&mut rng).unwrap_or(&3.0),
            limits: ProcessLimits::default(),
            faults: Vec::new(),
        };
        // Faults overlap: all begin within 2.5 s, in some plans only after an undisturbed period.
        let cluster_start = rng.random_range(0.1..0.6) * seconds;
        for _ in 0..draw_count(&mut rng, spec.faults) {
            let kind = plan.draw_kind(&mut rng);
            let at = (cluster_start + rng.random_range(0.0..2.5)).min(0.8 * seconds);
            let length = match &kind {
                FaultKind::Suspend { .. } if rng.random_bool(0.5) => rng.random_range(0.02..0.15),
                FaultKind::Suspend { .. } => rng.random_range(0.15..0.6),
                FaultKind::SystemCalls { .. } => rng.random_range(3.0..8.0),
                _ => rng.random_range(0.8..4.0),
            };
            plan.faults.push(Fault { at, length, kind });
        }
        if let Some(ranges) = &spec.limits {
            plan.draw_limits(ranges, cluster_start);
        }
        if let Some(max_delay) = spec.max_discovery_delay {
            plan.draw_slow_discovery(max_delay);
        }
        plan
    }

    /// Draws discovery that is slow to the end of the run, by up to `longest_delay` seconds, and a backend that drains
    /// meanwhile. The numbers are of their own, so that a seed has the same other faults with slow discovery and without.
    fn draw_slow_discovery(&mut self, longest_delay: f64) {
        let mut rng = SmallRng::seed_from_u64(self.seed ^ SLOW_DISCOVERY_SEED);
        let min_delay = rng.random_range(0.0..=longest_delay);
        let max_delay = rng.random_range(min_delay..=longest_delay);
        let slow_at = rng.random_range(0.0..MAX_SLOW_START) * self.seconds;
        let slow = FaultKind::DiscoverySlow { min_delay, max_delay };
        self.faults.push(Fault { at: slow_at, length: self.seconds - slow_at, kind: slow });
        let drain_at = slow_at + rng.random_range(0.0..MAX_DRAIN_DELAY_S);
        let backend = rng.random_range(0..self.backends);
        let drain = FaultKind::Drain { backend, count: 1, still_serves: true };
        self.faults.push(Fault { at: drain_at, length: self.seconds - drain_at, kind: drain });
    }

    /// Draws the limits of the processes, and peers that stop in the middle of a request. The numbers are of their own,
    /// so that a seed has the same other faults with limits and without.
    fn draw_limits(&mut self, ranges: &LimitRanges, at: f64) {
        let mut rng = SmallRng::seed_from_u64(self.seed ^ LIMITS_SEED);
        self.limits = ProcessLimits {
            memory_mb: rng.random_range(ranges.memory_mb[0]..=ranges.memory_mb[1]),
            sockets: rng.random_range(ranges.sockets[0]..=ranges.sockets[1]),
        };
        let has_body = rng.random_bool(STALLED_BODY_SHARE);
        let kind = FaultKind::StalledPeers {
            proxy: rng.random_range(0..self.proxies),
            peers: rng.random_range(1..=self.limits.sockets / PEERS_PER_DESCRIPTOR),
            head_bytes: rng.random_range(0..MAX_HEAD_BYTES),
            body_bytes: has_body.then(|| rng.random_range(0..MAX_BODY_BYTES)),
        };
        let length = STALLED_PEERS_S;
        self.faults.push(Fault { at: at + rng.random_range(0.0..2.5), length, kind });
    }

    fn draw_kind(&self, rng: &mut SmallRng) -> FaultKind {
        use BackendMisbehaviour::{
            AnswerTwice, CloseAfterAnswer, Fail, ForgetIdle, Hang, NoLength, Reject, Reset,
        };
        // Most faults of proxies apply to the same proxy, so that they overlap there.
        let proxy = if rng.random_bool(FIRST_PROXY_SHARE) { 0 } else { rng.random_range(0..self.proxies) };
        let backend = rng.random_range(0..self.backends);
        let backend_count = rng.random_range(1..=(self.backends / 3).max(1));
        let rule = |rules: &[&str], rng: &mut SmallRng| rules.choose(rng).copied().unwrap_or_default().into();
        match rng.random_range(0..18) {
            0 | 1 => FaultKind::Stop {
                proxy,
                suspended_after: rng.random_range(0.0..2.0),
                suspended_for: *[0.0, 0.15, 0.45].choose(rng).unwrap_or(&0.0),
                before: draw_series(rng, &[SeriesSignal::Reload, SeriesSignal::Suspend]),
                after: draw_series(
                    rng,
                    &[SeriesSignal::Reload, SeriesSignal::Terminate, SeriesSignal::Suspend],
                ),
            },
            16 | 17 => {
                FaultKind::Crowd { proxy, connections: *CROWD_SIZES.choose(rng).unwrap_or(&CROWD_SIZES[0]) }
            }
            2 => FaultKind::Kill { proxy },
            3 => FaultKind::Suspend { proxy },
            4 => FaultKind::Reload { proxy },
            5 => FaultKind::DiscoveryDown,
            6 => FaultKind::DiscoveryResets,
            7 => FaultKind::Drain { backend, count: backend_count, still_serves: false },
            8 => FaultKind::ColdStart { backend },
            9 | 10 => {
                let choices =
                    [Hang, Fail, Reject, Reset, CloseAfterAnswer, ForgetIdle, NoLength, AnswerTwice];
                FaultKind::Backends {
                    backend,
                    count: backend_count,
                    misbehaviour: *choices.choose(rng).unwrap_or(&Hang),
                }
            }
            11 => {
                let choices = [
                    ClientMisbehaviour::Pieces,
                    ClientMisbehaviour::Leave,
                    ClientMisbehaviour::StopMidway,
                    ClientMisbehaviour::Pipeline,
                ];
                FaultKind::Clients {
                    misbehaviour: *choices.choose(rng).unwrap_or(&ClientMisbehaviour::Leave),
                }
            }
            12 | 13 => FaultKind::SystemCalls { proxy, rule: rule(&SYSTEM_CALL_RULES, rng) },
            14 => FaultKind::WallClock { offset_s: *CLOCK_OFFSETS_S.choose(rng).unwrap_or(&3600), backend },
            _ => FaultKind::Disk { rule: rule(&DISK_RULES, rng) },
        }
    }

    /// A copy of the plan without one fault.
    pub fn without(&self, fault: usize) -> Self {
        let mut plan = self.clone();
        plan.faults.remove(fault);
        plan
    }
}

/// Draws the signals of a series, which is empty in one case of four.
fn draw_series(rng: &mut SmallRng, signals: &[SeriesSignal]) -> Vec<SignalStep> {
    let count = rng.random_range(0..=MAX_SERIES_LENGTH);
    let step = |rng: &mut SmallRng| {
        let signal = signals.choose(rng).copied().unwrap_or(SeriesSignal::Reload);
        SignalStep { signal, gap: rng.random_range(0.0..MAX_GAP_S) }
    };
    (0..count).map(|_| step(rng)).collect()
}
