//! Checks a model of renewals that the leader keeps in memory, over random schedules with fixed seeds. The model has
//! the list service's store, successive leaders with the real `Liveness` and quorum lease, contenders for a lease whose
//! clocks drift by up to 2%, and a backend that sends heartbeats. Calls reach whichever node considers itself the
//! leader, after a delay of 0 to 3 s; some are delivered twice and some are lost.
//!
//! Invariants of every schedule:
//! - whenever a holder decides to act, the lease is granted to it, under the token that it uses or a newer one of its
//!   own;
//! - a backend expires at the earliest a TTL after its last answered heartbeat, and at the latest a TTL and two expiry
//!   intervals after that heartbeat or the last change of leader;
//! - revisions never decrease.
//!
//! The same schedules detect each of these faults: a new leader without a grace period, and a former leader that
//! answers renewals although it is no longer certain that it leads.

use linkhatch_proxy::lease::Contender;
use linkhatch_proxy::registry::liveness::{Liveness, Renewals};
use linkhatch_proxy::registry::raft::quorum_lease;
use linkhatch_proxy::registry::store::{Command, Expired, GrantId, Instance, Lifecycle, Store, StoreError};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

const TTL_MS: u64 = 1_000;
const EXPIRY_INTERVAL_MS: u64 = 100;
const ELECTION_TIMEOUT_MS: u64 = 500;
const LEASE_NAME: &str = "warm-b-7";
const BACKEND_ID: &str = "s-1";
const SCHEDULE_COUNT: u64 = 2_000;
const STEPS_PER_SCHEDULE: usize = 150;

/// How leaders handle renewals.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Variant {
    Real,
    WithoutGrace,
    StaleAnswers,
}

/// A node that leads or has led.
struct Leader {
    liveness: Liveness,
    /// The real time of its last call that a quorum accepted.
    last_quorum_ms: u64,
    /// Log time minus real time; constant, because the leader's log clock runs at the real rate.
    log_offset_ms: i64,
}

#[derive(Clone)]
enum Call {
    Acquire { holder: usize, number: u64 },
    KeepAlive { holder: usize, token: u64, sent: Instant },
    Heartbeat,
}

enum Message {
    /// A call to the leader of `term`.
    Call {
        term: u64,
        call: Call,
        answer_delay_ms: u64,
    },
    Granted {
        holder: usize,
        number: u64,
        token: u64,
    },
    Renewed {
        holder: usize,
        token: u64,
        sent: Instant,
    },
    Lost {
        holder: usize,
        token: u64,
    },
    ExpiryTick,
}

struct Holder {
    /// The rate of its clock relative to real time.
    clock_rate: f64,
    contender: Contender,
}

#[derive(Debug, Default, PartialEq, Eq)]
struct Violations {
    acts_without_lease: usize,
    early_expiries: usize,
    late_expiries: usize,
}

struct Model {
    now_ms: u64,
    started_at: Instant,
    store: Store,
    leaders: Vec<Leader>,
    variant: Variant,
    holders: Vec<Holder>,
    queue: BTreeMap<(u64, u64), Message>,
    sequence: u64,
    heartbeat_answered_ms: u64,
    last_election_ms: u64,
    /// Whether the current leader has lost its quorum and no other has been elected yet.
    without_quorum: bool,
    violations: Violations,
    acts: usize,
}

fn instance() -> Instance {
    Instance {
        instance_id: BACKEND_ID.into(),
        host_port: SocketAddr::from(([127, 0, 0, 1], 7000)),
        zone: "a".into(),
        machine_type: "m".into(),
        cell: 0,
        lifecycle: Lifecycle::Serving,
        weight: 1.0,
        started_at_ms: 0,
    }
}

impl Model {
    fn new(variant: Variant, rng: &mut SmallRng) -> Self {
        let mut store = Store::default();
        store.apply(&Command::ExpireByCommand).expect("applied");
        store
            .apply(&Command::Register { instance: instance(), ttl_ms: TTL_MS, at_ms: 0 })
            .expect("registered");
        let make_holder = |_| Holder {
            clock_rate: [0.98, 1.0, 1.02][rng.random_range(0..3)],
            contender: Contender::default(),
        };
        let mut model = Self {
            now_ms: 0,
            started_at: Instant::now(),
            store,
            leaders: Vec::new(),
            variant,
            holders: (0..3).map(make_holder).collect(),
            queue: BTreeMap::new(),
            sequence: 0,
            heartbeat_answered_ms: 0,
            last_election_ms: 0,
            without_quorum: false,
            violations: Violations::default(),
            acts: 0,
        };
        model.elect(0);
        model.send(EXPIRY_INTERVAL_MS, Message::ExpiryTick);
        model
    }

    fn local_time(&self, holder: usize) -> Instant {
        self.started_at
            + Duration::from_secs_f64(self.now_ms as f64 * self.holders[holder].clock_rate / 1000.0)
    }

    fn send(&mut self, delay_ms: u64, message: Message) {
        self.sequence += 1;
        self.queue.insert((self.now_ms + delay_ms, self.sequence), message);
    }

    /// Elects another leader, once the former one can no longer be certain that it leads.
    fn elect(&mut self, extra_ms: u64) {
        if let Some(former) = self.leaders.last_mut() {
            former.last_quorum_ms = self.now_ms;
            self.without_quorum = true;
            self.run_to(self.now_ms + ELECTION_TIMEOUT_MS + extra_ms);
            self.without_quorum = false;
        }
        let term = self.leaders.len() as u64 + 1;
        let (now_ms, log_ms) = (self.now_ms, self.store.clock_ms());
        let mut liveness = Liveness::default();
        liveness.become_leader(term, if self.variant == Variant::WithoutGrace { 0 } else { log_ms });
        let log_offset_ms = log_ms as i64 - now_ms as i64;
        self.leaders.push(Leader { liveness, last_quorum_ms: now_ms, log_offset_ms });
        self.last_election_ms = now_ms;
    }

    /// Whether the leader of `term` answers renewals: while a quorum accepts its calls, and during its quorum lease
    /// after that.
    fn answers_renewals(&self, term: u64) -> bool {
        let lease =
            quorum_lease::lease_duration(Duration::from_millis(ELECTION_TIMEOUT_MS)).as_millis() as u64;
        let holds_lease = self.now_ms < self.leaders[term as usize - 1].last_quorum_ms + lease;
        self.can_commit(term) || holds_lease || self.variant == Variant::StaleAnswers
    }

    fn run_to(&mut self, until_ms: u64) {
        while let Some(&(at, n)) = self.queue.keys().next().filter(|(at, _)| *at <= until_ms) {
            let message = self.queue.remove(&(at, n)).expect("the key is in the queue");
            self.now_ms = self.now_ms.max(at);
            self.deliver(message);
        }
        self.now_ms = self.now_ms.max(until_ms);
    }

    fn deliver(&mut self, message: Message) {
        match message {
            Message::Call { term, call, answer_delay_ms } => {
                if self.answers_renewals(term) {
                    self.serve(term, call, answer_delay_ms);
                }
            }
            Message::Granted { holder, number, token } => {
                let ttl = Duration::from_millis(TTL_MS);
                self.holders[holder].contender.granted(number, LEASE_NAME, token, ttl);
            }
            Message::Renewed { holder, token, sent } => self.holders[holder].contender.renewed(token, sent),
            Message::Lost { holder, token } => self.holders[holder].contender.lost(token),
            Message::ExpiryTick => {
                self.expire();
                self.send(EXPIRY_INTERVAL_MS, Message::ExpiryTick);
            }
        }
    }

    fn log_time(&self, term: u64) -> u64 {
        let leader = &self.leaders[term as usize - 1];
        (self.now_ms as i64 + leader.log_offset_ms).max(0) as u64
    }

    /// Whether the leader of `term` can commit: it is the latest one and has a quorum.
    fn can_commit(&self, term: u64) -> bool {
        term == self.leaders.len() as u64 && !self.without_quorum
    }

    fn expire(&mut self) {
        let term = self.leaders.len() as u64;
        if !self.can_commit(term) {
            return;
        }
        let at_ms = self.log_time(term);
        let expired = self.leaders[term as usize - 1].liveness.expired(&self.store, at_ms);
        self.end_expired(expired, at_ms);
    }

    fn end_expired(&mut self, expired: Expired, at_ms: u64) {
        if expired.instances.iter().any(|id| id == BACKEND_ID) {
            self.violations.early_expiries += usize::from(self.now_ms < self.heartbeat_answered_ms + TTL_MS);
        }
        let before = self.store.revision();
        self.store
            .apply(&Command::EndExpired { expired, at_ms })
            .expect("the expired entries are in the store");
        assert!(self.store.revision() >= before, "the revision decreased");
    }

    fn serve(&mut self, term: u64, call: Call, answer_delay_ms: u64) {
        let at_ms = self.log_time(term);
        match call {
            Call::Heartbeat => {
                let renewals = Renewals { instances: vec![BACKEND_ID.into()], ..Renewals::default() };
                let lost = self.leaders[term as usize - 1].liveness.renew(&renewals, &self.store, at_ms);
                if lost.instances.is_empty() {
                    self.heartbeat_answered_ms = self.heartbeat_answered_ms.max(self.now_ms);
                } else if self.can_commit(term) {
                    let register = Command::Register { instance: instance(), ttl_ms: TTL_MS, at_ms };
                    self.store.apply(&register).expect("registered again");
                    self.heartbeat_answered_ms = self.now_ms;
                }
            }
            Call::KeepAlive { holder, token, sent } => {
                let grant = GrantId { name: LEASE_NAME.into(), token };
                let renewals = Renewals { grants: vec![grant], ..Renewals::default() };
                let lost = self.leaders[term as usize - 1].liveness.renew(&renewals, &self.store, at_ms);
                let answer = match lost.grants.is_empty() {
                    true => Message::Renewed { holder, token, sent },
                    false => Message::Lost { holder, token },
                };
                self.send(answer_delay_ms, answer);
            }
            Call::Acquire { holder, number } if self.can_commit(term) => {
                if let Some(token) = self.acquire(term, holder, at_ms) {
                    self.send(answer_delay_ms, Message::Granted { holder, number, token });
                }
            }
            Call::Acquire { .. } => {}
        }
    }

    /// Acquires the lease for a holder as `Node::propose` does.
    fn acquire(&mut self, term: u64, holder: usize, at_ms: u64) -> Option<u64> {
        let name = format!("h{holder}");
        if let Some(grant) = self.store.lease(LEASE_NAME).filter(|grant| grant.holder != name).cloned() {
            let id = GrantId { name: LEASE_NAME.into(), token: grant.token };
            if at_ms < self.leaders[term as usize - 1].liveness.grant_expires_at_ms(&id, &grant) {
                return None;
            }
            self.end_expired(Expired { grants: vec![id], ..Expired::default() }, at_ms);
        }
        let acquire = Command::Acquire { name: LEASE_NAME.into(), holder: name, ttl_ms: TTL_MS, at_ms };
        match self.store.apply(&acquire) {
            Ok(_) => self.store.lease(LEASE_NAME).map(|grant| grant.token),
            Err(StoreError::Held { .. }) => None,
            Err(error) => panic!("{error}"),
        }
    }

    fn call(&mut self, call: Call, rng: &mut SmallRng) {
        // Some calls are sent to a leader that has been replaced, and some are delivered twice.
        let latest_term = self.leaders.len() as u64;
        let term = if latest_term > 1 && rng.random_bool(0.3) { latest_term - 1 } else { latest_term };
        for _ in 0..if rng.random_bool(0.1) { 2 } else { 1 } {
            let delay_ms =
                if rng.random_bool(0.1) { rng.random_range(0..3_000) } else { rng.random_range(0..80) };
            let answer_delay_ms = rng.random_range(0..80);
            if rng.random_bool(0.75) {
                self.send(delay_ms, Message::Call { term, call: call.clone(), answer_delay_ms });
            }
        }
    }

    fn renew_or_acquire(&mut self, holder: usize, rng: &mut SmallRng) {
        let sent = self.local_time(holder);
        let call = match self.holders[holder].contender.lease() {
            Some(lease) => Call::KeepAlive { holder, token: lease.token, sent },
            None => Call::Acquire { holder, number: self.holders[holder].contender.begin_acquire(sent) },
        };
        self.call(call, rng);
    }

    fn act(&mut self, holder: usize) {
        let now = self.local_time(holder);
        let Some(token) = self.holders[holder].contender.may_act(now) else { return };
        self.acts += 1;
        let name = format!("h{holder}");
        let is_granted = self.store.lease(LEASE_NAME).is_some_and(|g| g.holder == name && g.token >= token);
        self.violations.acts_without_lease += usize::from(!is_granted);
    }

    fn step(&mut self, rng: &mut SmallRng) {
        match rng.random_range(0..100) {
            0..30 => self.run_to(self.now_ms + rng.random_range(0..300)),
            30..38 => self.run_to(self.now_ms + rng.random_range(900..1_000)),
            38..62 => self.renew_or_acquire(rng.random_range(0..3), rng),
            62..84 => self.act(rng.random_range(0..3)),
            84..96 => self.call(Call::Heartbeat, rng),
            _ => self.elect(rng.random_range(0..400)),
        }
    }

    /// Sends no more calls, and checks that the backend expires in time after its last renewal.
    fn settle(&mut self) {
        let latest_arrival = self.now_ms + 3_000 + 80;
        self.run_to(latest_arrival);
        let latest = self.heartbeat_answered_ms.max(self.last_election_ms);
        self.run_to(self.now_ms.max(latest + TTL_MS + 2 * EXPIRY_INTERVAL_MS));
        let is_listed = self.store.instance_expiry(BACKEND_ID).is_some();
        self.violations.late_expiries += usize::from(is_listed);
    }
}

/// Runs all schedules; returns the violations and the number of acts.
fn run_schedules(variant: Variant) -> (Violations, usize) {
    let (mut total, mut acts) = (Violations::default(), 0);
    for seed in 0..SCHEDULE_COUNT {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut model = Model::new(variant, &mut rng);
        for _ in 0..STEPS_PER_SCHEDULE {
            model.step(&mut rng);
        }
        model.settle();
        total.acts_without_lease += model.violations.acts_without_lease;
        total.early_expiries += model.violations.early_expiries;
        total.late_expiries += model.violations.late_expiries;
        acts += model.acts;
    }
    eprintln!("{variant:?}: {total:?} in {SCHEDULE_COUNT} schedules, {acts} acts");
    (total, acts)
}

#[test]
fn renewals_hold_across_leader_changes() {
    let (violations, acts) = run_schedules(Variant::Real);
    assert_eq!(violations, Violations::default());
    assert!(acts > 1_000, "{acts} acts");
}

#[test]
fn without_a_grace_period_live_backends_and_leases_expire() {
    let (violations, _) = run_schedules(Variant::WithoutGrace);
    assert!(violations.early_expiries > 0 && violations.acts_without_lease > 0, "{violations:?}");
}

#[test]
fn a_stale_leader_that_answers_renewals_breaks_mutual_exclusion() {
    let (violations, _) = run_schedules(Variant::StaleAnswers);
    assert!(violations.early_expiries > 0 && violations.acts_without_lease > 0, "{violations:?}");
}
