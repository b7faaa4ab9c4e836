//! A model check of the lease protocol over random schedules with a fixed seed: the list service's store, holders
//! with their `Lease` handles and clocks that drift by up to 2%, a resource behind a `Fence`, and a network that
//! delays and loses messages.
//!
//! Invariants of every schedule:
//! - whenever a holder decides to act, the service has an unexpired grant of the lease to that holder, under the
//!   token of the act or a newer one of the same holder: no two holders' acts with valid tokens overlap;
//! - the tokens that the resource admits only grow, and an act with a token lower than one already admitted is
//!   rejected.

use linkhatch_proxy::lease::{Contender, Fence, Lease};
use linkhatch_proxy::registry::store::{Command, Store, StoreError};
use proptest::prelude::*;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

const TTL_MS: u64 = 1000;
const NAME: &str = "warm-b-7";

#[derive(Clone, Debug)]
enum Step {
    /// Real time advances, in ms.
    Wait(u64),
    /// A holder acquires the lease, or renews it if it holds one. The request and the answer have these delays (ms),
    /// and the request is lost if `lost`.
    AcquireOrRenew { holder: usize, request_delay: u64, answer_delay: u64, lost: bool },
    /// A holder acts if its handle permits it. The act reaches the resource after `delay` ms (a long delay is a holder
    /// that was paused between its check and its act).
    Act { holder: usize, delay: u64 },
    /// A holder relinquishes its lease: it stops acting, then releases it at the service; the request arrives
    /// `request_delay` ms later.
    Release { holder: usize, request_delay: u64 },
    /// A holder crashes.
    Kill(usize),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        12 => (0u64..400).prop_map(Step::Wait),
        // Waits of nearly a TTL, so that acts occur near the end of a grant, where drift matters.
        8 => (940u64..1000).prop_map(Step::Wait),
        16 => (0usize..3, 0u64..120, 0u64..120, prop::bool::weighted(0.33))
            .prop_map(|(holder, request_delay, answer_delay, lost)| Step::AcquireOrRenew { holder, request_delay, answer_delay, lost }),
        24 => (0usize..3, prop_oneof![4 => 0u64..40, 1 => 0u64..3000]).prop_map(|(holder, delay)| Step::Act { holder, delay }),
        3 => (0usize..3, 0u64..120).prop_map(|(holder, request_delay)| Step::Release { holder, request_delay }),
        1 => (0usize..3).prop_map(Step::Kill),
    ]
}

/// A request of a holder to the service.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Request {
    /// An acquire with this number.
    Acquire(u64),
    /// A renewal of the grant with this token.
    KeepAlive(u64),
    Release,
}

/// A message in flight.
enum Message {
    /// A request to the service, sent at `sent_at` by the holder's clock.
    Request { holder: usize, request: Request, command: Command, answer_delay: u64, sent_at: Instant },
    /// An answer to a holder: the present grant's token, or the error.
    Answer { holder: usize, request: Request, result: Result<u64, StoreError>, sent_at: Instant },
    /// An act at the resource with a token.
    Act(u64),
}

struct Holder {
    /// The rate of its clock relative to real time.
    clock_rate: f64,
    contender: Contender,
    is_crashed: bool,
}

struct World {
    now_ms: u64,
    start: Instant,
    store: Store,
    holders: Vec<Holder>,
    /// Messages in flight, by the real time of their arrival (ms) and their number.
    queue: BTreeMap<(u64, u64), Message>,
    sequence: u64,
    fence: Fence,
    admitted: Vec<u64>,
    rejected: usize,
    overlapping: usize,
    acts: usize,
}

impl World {
    /// The time by a holder's clock.
    fn local_time(&self, holder: usize) -> Instant {
        self.start + Duration::from_secs_f64(self.now_ms as f64 * self.holders[holder].clock_rate / 1000.0)
    }

    fn send(&mut self, delay: u64, message: Message) {
        self.sequence += 1;
        self.queue.insert((self.now_ms + delay, self.sequence), message);
    }

    /// Delivers all messages due by `end_ms`, in order.
    fn run_to(&mut self, end_ms: u64) {
        while let Some(&(due_ms, n)) = self.queue.keys().next().filter(|(due_ms, _)| *due_ms <= end_ms) {
            let message = self.queue.remove(&(due_ms, n)).expect("a queued message");
            self.now_ms = due_ms;
            match message {
                Message::Request { holder, request, mut command, answer_delay, sent_at } => {
                    if let Command::Acquire { at_ms, .. } | Command::KeepAlive { at_ms, .. } = &mut command {
                        *at_ms = due_ms;
                    }
                    let applied = self.store.apply(&command);
                    let result = applied.map(|_| self.store.lease(NAME).map_or(0, |grant| grant.token));
                    self.send(answer_delay, Message::Answer { holder, request, result, sent_at });
                }
                Message::Answer { holder, request, result, sent_at } => {
                    let contender = &mut self.holders[holder].contender;
                    match (request, result) {
                        (Request::Acquire(number), Ok(token)) => {
                            contender.granted(number, NAME, token, Duration::from_millis(TTL_MS));
                        }
                        (Request::KeepAlive(token), Ok(_)) => contender.renewed(token, sent_at),
                        (Request::KeepAlive(token), Err(StoreError::Lost(_))) => contender.lost(token),
                        _ => {}
                    }
                }
                Message::Act(token) => match self.fence.admit(token) {
                    Ok(()) => self.admitted.push(token),
                    Err(_) => self.rejected += 1,
                },
            }
        }
        self.now_ms = end_ms;
    }

    fn run_step(&mut self, step: &Step) {
        match *step {
            Step::Wait(ms) => self.run_to(self.now_ms + ms),
            Step::Kill(holder) => self.holders[holder].is_crashed = true,
            Step::Release { holder, request_delay } => self.release(holder, request_delay),
            Step::AcquireOrRenew { holder, request_delay, answer_delay, lost } => {
                if !self.holders[holder].is_crashed {
                    self.acquire_or_renew(holder, request_delay, answer_delay, lost);
                }
            }
            Step::Act { holder, delay } => self.act(holder, delay),
        }
    }

    fn release(&mut self, holder: usize, request_delay: u64) {
        let Some(token) = self.holders[holder].contender.relinquish() else { return };
        let command = Command::Release { name: NAME.into(), token };
        let (request, sent_at) = (Request::Release, self.local_time(holder));
        self.send(request_delay, Message::Request { holder, request, command, answer_delay: 0, sent_at });
    }

    fn acquire_or_renew(&mut self, holder: usize, request_delay: u64, answer_delay: u64, lost: bool) {
        let sent_at = self.local_time(holder);
        let contender = &mut self.holders[holder].contender;
        let name = NAME.to_string();
        let (request, command) = match contender.lease().map(|lease| lease.token) {
            Some(token) => (Request::KeepAlive(token), Command::KeepAlive { name, token, at_ms: 0 }),
            None => {
                let request = Request::Acquire(contender.begin_acquire(sent_at));
                let holder = format!("h{holder}");
                (request, Command::Acquire { name, holder, ttl_ms: TTL_MS, at_ms: 0 })
            }
        };
        if !lost {
            self.send(request_delay, Message::Request { holder, request, command, answer_delay, sent_at });
        }
    }

    fn act(&mut self, holder: usize, delay: u64) {
        let now = self.local_time(holder);
        let Holder { contender, is_crashed, .. } = &self.holders[holder];
        let Some(token) = contender.may_act(now).filter(|_| !is_crashed) else { return };
        self.acts += 1;
        // The service must have an unexpired grant to this holder now, under this token or a newer one of the same
        // holder (from a retried acquire that crossed with an earlier one). Then no other holder can act at the same
        // time.
        let name = format!("h{holder}");
        let is_granted = self.store.lease(NAME).is_some_and(|grant| {
            grant.holder == name && grant.token >= token && grant.expires_at_ms > self.now_ms
        });
        if !is_granted {
            self.overlapping += 1;
        }
        self.send(delay, Message::Act(token));
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 4000,
        rng_seed: proptest::test_runner::RngSeed::Fixed(0x1ea5e),
        ..ProptestConfig::default()
    })]

    #[test]
    fn no_two_valid_acts_overlap_and_admitted_tokens_only_grow(
        clock_rates in prop::collection::vec(prop_oneof![Just(0.98), Just(1.0), Just(1.02)], 3),
        steps in prop::collection::vec(step(), 1..120),
    ) {
        let holders = clock_rates
            .iter()
            .map(|&clock_rate| Holder { clock_rate, contender: Contender::default(), is_crashed: false })
            .collect();
        let mut world = World {
            now_ms: 0, start: Instant::now(), store: Store::default(), holders, queue: BTreeMap::new(),
            sequence: 0, fence: Fence::default(), admitted: Vec::new(), rejected: 0, overlapping: 0,
            acts: 0,
        };
        for step in &steps {
            world.run_step(step);
        }
        world.run_to(world.now_ms + 10_000);
        prop_assert_eq!(world.overlapping, 0, "acts without a valid grant at the service");
        prop_assert!(world.admitted.windows(2).all(|w| w[0] <= w[1]), "admitted tokens only grow");
        prop_assert_eq!(world.admitted.len() + world.rejected, world.acts, "acts are admitted or rejected");
    }
}

/// Shows why the holder's bound is needed: if a holder acted up to the whole TTL after its last renewal by its
/// own clock, a slow clock would let it act after its grant has expired at the service.
#[test]
fn a_bound_of_the_whole_ttl_would_let_a_slow_clock_act_past_its_grant() {
    let mut store = Store::default();
    let ttl = Duration::from_millis(TTL_MS);
    let acquire = |holder: &str, at_ms| Command::Acquire {
        name: NAME.into(),
        holder: holder.into(),
        ttl_ms: TTL_MS,
        at_ms,
    };
    // The request is sent at 0 and reaches the service at 0; the holder's clock runs 2% slow.
    let token =
        store.apply(&acquire("h0", 0)).map(|_| store.lease(NAME).map_or(0, |g| g.token)).expect("granted");
    let start = Instant::now();
    let lease = Lease::granted(NAME, token, ttl, start);
    // At 1,010 ms of real time the grant has expired at the service, and another holder is granted the lease.
    store.apply(&acquire("h1", 1010)).expect("granted to the next holder");
    let slow_local = start + Duration::from_secs_f64(1.010 * 0.98);
    assert!(slow_local < start + ttl, "a bound of the whole TTL would still let the slow holder act");
    assert!(!lease.may_act(slow_local), "the handle's bound does not let it act");
}
