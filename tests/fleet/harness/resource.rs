//! A fake resource that duties act on. It records every act with its fencing token and holder, and admits it only if
//! `lease::Fence` has admitted no higher token (409 otherwise). From the record a test counts acts that were rejected
//! or overlapped, and measures handovers.

use super::http;
use linkhatch_proxy::lease::Fence;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// The maximum number of recorded acts; further ones get a 503, so that a runaway holder fails the test.
pub const MAX_ACTS: usize = 200_000;

/// One act as the resource received it.
#[derive(Clone, Debug)]
pub struct Act {
    /// When its first byte arrived.
    pub at: Instant,
    /// Its fencing token; 0 if it has none.
    pub token: u64,
    /// Its `X-Holder`.
    pub holder: String,
    /// Whether the fence admitted it.
    pub admitted: bool,
}

#[derive(Default)]
struct State {
    fence: Fence,
    acts: Vec<Act>,
}

/// A running resource; its threads end with the test process.
pub struct Resource {
    shared: Arc<Mutex<State>>,
    address: SocketAddr,
}

impl Resource {
    /// Starts a resource on a loopback port that the system chooses.
    pub fn start() -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Mutex::new(State::default()));
        let serving = shared.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let serving = serving.clone();
                std::thread::spawn(move || serve(stream, &serving));
            }
        });
        Ok(Self { shared, address })
    }

    /// The address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Every act so far, in the order in which the fence checked them.
    pub fn acts(&self) -> Vec<Act> {
        self.shared.lock().unwrap_or_else(std::sync::PoisonError::into_inner).acts.clone()
    }

    /// Waits up to `timeout` for an admitted act with a token above `above`; returns its token and time.
    pub fn first_admitted_above(&self, above: u64, timeout: Duration) -> Option<(u64, Instant)> {
        let deadline = Instant::now() + timeout;
        loop {
            let found = self.acts().into_iter().find(|a| a.admitted && a.token > above);
            if found.is_some() || Instant::now() >= deadline {
                return found.map(|a| (a.token, a.at));
            }
            std::thread::sleep(Duration::from_millis(5));
        }
    }
}

/// The counts from a record of acts.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Tally {
    /// Acts admitted.
    pub admitted: usize,
    /// Acts that the fence rejected: a holder acted after a newer one had acted.
    pub fenced: usize,
    /// Acts, fenced or not, that arrived after the first act with a higher token: the holder's own bound failed to
    /// stop it in time.
    pub late: usize,
    /// Admitted acts out of token order: valid acts of two holders overlapped. Must be 0.
    pub overlapping: usize,
    /// Distinct tokens of acts.
    pub tokens: usize,
}

/// Counts the acts of a record.
pub fn tally(acts: &[Act]) -> Tally {
    let mut tally = Tally::default();
    let (mut highest, mut highest_admitted) = (0, 0);
    let mut tokens = std::collections::BTreeSet::new();
    for act in acts {
        tokens.insert(act.token);
        tally.late += usize::from(act.token < highest);
        highest = highest.max(act.token);
        if act.admitted {
            tally.admitted += 1;
            tally.overlapping += usize::from(act.token < highest_admitted);
            highest_admitted = highest_admitted.max(act.token);
        } else {
            tally.fenced += 1;
        }
    }
    tally.tokens = tokens.len();
    tally
}

fn serve(stream: TcpStream, shared: &Mutex<State>) {
    let _ = stream.set_read_timeout(Some(Duration::from_secs(30)));
    let Ok(mut writer) = stream.try_clone() else { return };
    let mut reader = BufReader::new(stream);
    while let Ok(message) = http::read(&mut reader) {
        let token = message.header("fencing-token").and_then(|t| t.parse().ok()).unwrap_or(0);
        let holder = message.header("x-holder").unwrap_or("").to_string();
        let mut state = shared.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        let answer = if state.acts.len() >= MAX_ACTS {
            http::answer(503, "Service Unavailable", "", b"full")
        } else {
            let admitted = token > 0 && state.fence.admit(token).is_ok();
            state.acts.push(Act { at: message.started_at, token, holder, admitted });
            match admitted {
                true => http::answer(200, "OK", "", b"warm"),
                false => http::answer(409, "Conflict", "", b"fenced"),
            }
        };
        drop(state);
        if writer.write_all(&answer).is_err() {
            return;
        }
    }
}
