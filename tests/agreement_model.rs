//! The agreement explored by a model checker (`stateright`): the service's state machine, its leader's memory of renewals
//! and each proxy's session state are the real ones. Calls and replies are lost or arrive late, announcements come late or
//! never, proxies crash and restart, the service loses its leader and with it what that remembered, and time passes in
//! steps; every state that a small configuration can reach is visited. Repeated and reordered calls change nothing by the
//! unit tests of `session_state` and `state`.
//!
//! Time advances in steps of half a session's TTL: a renewal is relied on for one step with the real bound, and for three,
//! which is more than the TTL, with the one that is broken on purpose. Broken on purpose as well: a new leader that ends
//! sessions whose renewals it had no time to receive, and a former one that goes on answering renewals.

use linkhatch_proxy::agreement::document::Document;
use linkhatch_proxy::agreement::session_state::{Announcement, Attachment, SessionState};
use linkhatch_proxy::agreement::state::{
    Agreement, Command, CommandOutcome, Renewal, RequiredRevisions, VersionStatus,
};
use linkhatch_proxy::lease;
use linkhatch_proxy::registry::liveness::{Liveness, Renewals};
use linkhatch_proxy::registry::store::{self, Store};
use serde_json::json;
use stateright::{Checker, Model, Property};
use std::collections::BTreeSet;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::{Arc, OnceLock};
use std::time::{Duration, Instant};

const TTL_MS: u64 = 500;
const STEP_MS: u64 = 250;

/// What is explored.
#[derive(Clone, Debug)]
struct Configuration {
    proxies: usize,
    /// Versions published, one after another, at any time.
    versions: usize,
    /// Steps of time.
    steps: u64,
    /// Crashes, all proxies together.
    crashes: u8,
    /// Times that the service loses its leader.
    elections: u8,
    /// How long a renewal is relied on.
    held: Duration,
    /// The proxy that can't apply the second version, if there is one.
    incompatible_proxy: Option<usize>,
    /// Whether all begin attached.
    attached: bool,
    /// Whether calls reach the service at once or never, so that only replies and announcements are late.
    prompt: bool,
    /// How leaders remember renewals.
    leaders: Leaders,
}

/// How leaders remember renewals.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Leaders {
    /// As the service does.
    Real,
    /// A new one leaves proxies no time to renew.
    WithoutGrace,
    /// One that has been replaced goes on answering.
    Unaware,
}

/// A proxy's call in flight, or its reply; lost when another takes its place.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Call {
    Open { number: u64, acknowledged: u64, sent: u64 },
    Renew { session: u64, acknowledged: u64, sent: u64 },
    Refuse { session: u64, version: u64, sent: u64 },
    Opened { number: u64, session: u64, slot: u32, required: RequiredRevisions, sent: u64 },
    Renewed { session: u64, sent: u64, required: RequiredRevisions },
    Lost { session: u64, sent: u64 },
}

impl Call {
    /// When the call was made that this is, or replies to.
    fn sent(&self) -> u64 {
        match self {
            Call::Open { sent, .. }
            | Call::Renew { sent, .. }
            | Call::Refuse { sent, .. }
            | Call::Opened { sent, .. }
            | Call::Renewed { sent, .. }
            | Call::Lost { sent, .. } => *sent,
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Proxy {
    session_state: Option<SessionState>,
    call: Option<Call>,
    /// The call was made before a crash: its reply is dropped.
    is_orphaned: bool,
    has_refused: bool,
    is_incompatible: bool,
}

#[derive(Clone, Debug, PartialEq)]
struct State {
    service: Store,
    /// The renewals that the leader remembers.
    liveness: Liveness,
    /// The former leader's renewals and its state of the service, where it goes on answering.
    former: Option<(Liveness, Store)>,
    term: u64,
    /// Real time, and the log's clock, which stands still while there is no leader.
    now_ms: u64,
    log_ms: u64,
    leads: bool,
    elections: u8,
    crashes: u8,
    published: usize,
    proxies: Vec<Proxy>,
    /// The real time of each commit, by version.
    commits: Vec<(u64, u64)>,
    /// The version on offer, and the log's time at which it was offered.
    offered: Option<(u64, u64)>,
}

/// States are equivalent that differ only in the order of proxies, in the values of revisions, or in what has expired:
/// what is hashed is ranks of revisions and versions, slots for sessions, and times from now.
impl Hash for State {
    fn hash<H: Hasher>(&self, state: &mut H) {
        let a = self.service.agreement();
        let versions: Vec<u64> = a.versions().keys().copied().collect();
        let nth = |version: u64| versions.iter().position(|v| *v == version);
        let mut known: BTreeSet<u64> = BTreeSet::from([a.latest_change()]);
        for proxy in &self.proxies {
            known.extend(proxy.session_state.iter().map(|s| s.announced().revision));
            known.extend(
                proxy
                    .session_state
                    .iter()
                    .flat_map(linkhatch_proxy::agreement::session_state::SessionState::unapplied_renewals)
                    .map(|renewal| renewal.required.agreed),
            );
            if let Some(Call::Opened { required, .. } | Call::Renewed { required, .. }) = &proxy.call {
                known.insert(required.agreed);
            }
        }
        let rank = |at: u64| known.range(..at).count();
        let (now, log) = (at(self.now_ms), self.log_ms);
        // What has no effect any more is the same however old it is.
        let ago = |sent: u64| (self.now_ms - sent).min(2 * TTL_MS);
        let since =
            |sent: &Instant| now.saturating_duration_since(*sent).min(Duration::from_millis(2 * TTL_MS));
        let service = |id: u64| {
            let s = a.sessions().get(&id)?;
            let left = self.liveness.session_expires_at_ms(id, s).saturating_sub(log).min(4 * TTL_MS);
            Some((s.slot, left, nth(s.acknowledged)))
        };
        let one = |proxy: &Proxy| {
            let mut hasher = DefaultHasher::new();
            let session_state = proxy.session_state.as_ref().map(|s| {
                let announced = s.announced();
                let waiting: Vec<_> =
                    s.unapplied_renewals().map(|r| (since(&r.sent_at), rank(r.required.agreed))).collect();
                let left = s.attached_until().map(|until| until.saturating_duration_since(now));
                let slot = match s.attachment(now) {
                    Attachment::Attached { slot, .. } => Some(slot),
                    Attachment::Detached => None,
                };
                let held = (s.session().map(service), slot);
                let announced = (rank(announced.revision), nth(announced.committed), nth(announced.offered));
                (announced, waiting, left, held, nth(s.acknowledged()), s.unsupported().map(nth))
            });
            session_state.hash(&mut hasher);
            let call = proxy.call.as_ref().map(|call| {
                let what = match call {
                    Call::Open { acknowledged, .. } => (0, nth(*acknowledged), None, 0),
                    Call::Renew { session, acknowledged, .. } => {
                        (1, nth(*acknowledged), service(*session), 0)
                    }
                    Call::Refuse { session, version, .. } => (2, nth(*version), service(*session), 0),
                    Call::Opened { session, required, .. } => {
                        (3, None, service(*session), rank(required.agreed))
                    }
                    Call::Renewed { session, required, .. } => {
                        (4, None, service(*session), rank(required.agreed))
                    }
                    Call::Lost { session, .. } => (5, None, service(*session), 0),
                };
                (what, ago(call.sent()))
            });
            (call, proxy.is_orphaned, proxy.has_refused, proxy.is_incompatible).hash(&mut hasher);
            hasher.finish()
        };
        let mut all: Vec<u64> = self.proxies.iter().map(one).collect();
        all.sort_unstable();
        all.hash(state);
        // Sessions that no proxy knows of still hold their slots.
        let mut sessions: Vec<_> = a.sessions().keys().map(|id| service(*id)).collect();
        sessions.sort_unstable();
        let statuses: Vec<u8> = a
            .versions()
            .values()
            .map(|v| match v.status {
                VersionStatus::Waiting => 0,
                VersionStatus::Offered => 1,
                VersionStatus::Committed(_) => 2,
                VersionStatus::Superseded => 3,
                VersionStatus::Withdrawn(_) => 4,
            })
            .collect();
        let commits: Vec<_> = self.commits.iter().map(|(version, at)| (nth(*version), ago(*at))).collect();
        let offered = self.offered.map(|(version, at)| (nth(version), log - at));
        (
            sessions,
            statuses,
            commits,
            offered,
            a.is_tick_due(log),
            rank(a.latest_change()),
            &a.members().slots,
        )
            .hash(state);
        let former = self.former.as_ref().map(|(liveness, service)| {
            let left =
                |(id, session): (&u64, _)| liveness.session_expires_at_ms(*id, session).saturating_sub(log);
            let sessions: Vec<u64> = service.agreement().sessions().iter().map(left).collect();
            (sessions, rank(service.agreement().latest_change()))
        });
        former.hash(state);
        (self.now_ms, self.leads, self.elections, self.crashes, self.published).hash(state);
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Action {
    /// A step of time; where there is a leader its clock ticks.
    Pass,
    Leader(bool),
    Publish,
    Crash(usize),
    Restart(usize),
    /// A proxy makes a call; one still in flight is lost.
    Send(usize),
    /// The service handles the call, or the proxy its reply.
    Arrive(usize),
    /// The former leader answers the call.
    ArriveAtFormer(usize),
    /// The proxy is notified of what is agreed now.
    Announce(usize),
}

fn at(ms: u64) -> Instant {
    static START: OnceLock<Instant> = OnceLock::new();
    *START.get_or_init(Instant::now) + Duration::from_millis(ms)
}

fn document(worth: usize) -> Document {
    let document = json!({
        "classes": [{"name": "c", "effect": "free", "on-time": 1.0, "hard-limit": 1.0, "worth": worth}],
        "max-attempts": 2,
        "floor": {"classes": {"c": {"on-time": 1.0, "hard-limit": 1.0}}, "projects": {}, "max-attempts": 1,
                  "max-retry-after": 0.0}
    });
    Document::parse(document.to_string().as_bytes()).expect("a document")
}

impl State {
    fn agreement(&self) -> &Agreement {
        self.service.agreement()
    }

    fn apply(&mut self, change: Command) -> Option<CommandOutcome> {
        let command = store::Command::Agree { change, at_ms: self.log_ms };
        let done = self.service.apply_with_outcome(&command).ok();
        self.record_changes();
        done
    }

    /// The leader ends what has expired, and updates the membership.
    fn tick(&mut self) {
        let (expired, at_ms) = (self.liveness.expired(&self.service, self.log_ms), self.log_ms);
        let ends = [store::Command::EndExpired { expired, at_ms }, store::Command::Expire { at_ms }];
        for command in ends {
            self.service.apply(&command).expect("it ends what there is");
        }
        self.record_changes();
    }

    /// Another node leads from now on.
    fn elect(&mut self, leaders: Leaders) {
        self.term += 1;
        let liveness = std::mem::take(&mut self.liveness);
        self.former = (leaders == Leaders::Unaware).then(|| (liveness, self.service.clone()));
        self.liveness
            .become_leader(self.term, if leaders == Leaders::WithoutGrace { 0 } else { self.log_ms });
    }

    /// What a leader with these renewals and this state of the service replies to a renewal.
    fn renew(liveness: &mut Liveness, service: &Store, renewal: Renewal, log_ms: u64, sent: u64) -> Call {
        let session = renewal.session;
        let renewals = Renewals { sessions: vec![renewal], ..Renewals::default() };
        let lost = liveness.renew(&renewals, service, log_ms);
        let required = RequiredRevisions { agreed: service.agreement().latest_change(), list: 0 };
        match lost.sessions.contains_key(&session) {
            true => Call::Lost { session, sent },
            false => Call::Renewed { session, sent, required },
        }
    }

    /// Records what was committed or offered.
    fn record_changes(&mut self) {
        let a = self.service.agreement();
        for (number, version) in a.versions() {
            let known = self.commits.iter().any(|(n, _)| n == number);
            if matches!(version.status, VersionStatus::Committed(_)) && !known {
                self.commits.push((*number, self.now_ms));
            }
        }
        if self.offered.map(|(version, _)| version) != a.offered() {
            self.offered = a.offered().map(|version| (version, self.log_ms));
        }
    }

    /// The slots and versions that attached proxies apply.
    fn acting(&self) -> impl Iterator<Item = (u32, u64)> {
        let now = at(self.now_ms);
        self.proxies.iter().filter_map(move |p| match p.session_state.as_ref()?.attachment(now) {
            Attachment::Attached { slot, version, .. } => Some((slot, version)),
            Attachment::Detached => None,
        })
    }

    /// The service handles a proxy's call; its reply.
    fn handle_call(&mut self, call: Call) -> Option<Call> {
        match call {
            Call::Open { number, acknowledged, sent } => {
                let open = Command::Open { name: "p".into(), ttl_ms: TTL_MS, acknowledged };
                match self.apply(open)? {
                    CommandOutcome::Opened { session, slot, required } => {
                        Some(Call::Opened { number, session, slot, required, sent })
                    }
                    _ => None,
                }
            }
            Call::Renew { session, acknowledged, sent } => {
                let renewal = Renewal { session, acknowledged, ..Renewal::default() };
                let answer = Self::renew(&mut self.liveness, &self.service, renewal, self.log_ms, sent);
                let known = self.agreement().sessions().get(&session);
                if known.is_none_or(|s| acknowledged <= s.acknowledged) || matches!(answer, Call::Lost { .. })
                {
                    return Some(answer);
                }
                // An acknowledgement is written.
                match self.apply(Command::Renew { renewals: vec![renewal] })? {
                    CommandOutcome::Renewed { lost, .. } if lost.contains_key(&session) => {
                        Some(Call::Lost { session, sent })
                    }
                    CommandOutcome::Renewed { required, .. } => {
                        Some(Call::Renewed { session, sent, required })
                    }
                    _ => None,
                }
            }
            Call::Refuse { session, version, .. } => {
                let (name, reason) = ("p".to_string(), "key".to_string());
                self.apply(Command::Refuse { session: Some(session), name, version, reason });
                None
            }
            _ => None,
        }
    }
}

impl Proxy {
    /// The call that it would make now; one made in an earlier step is cancelled for it.
    fn next_call(&self, now_ms: u64) -> Option<Call> {
        if self.call.as_ref().is_some_and(|call| call.sent() >= now_ms) {
            return None;
        }
        let mut session_state = self.session_state.clone()?;
        let call = match (session_state.unsupported(), session_state.renewal(at(now_ms))) {
            (Some(version), Some(renewal)) if !self.has_refused => {
                Call::Refuse { session: renewal.session, version, sent: now_ms }
            }
            (_, Some(Renewal { session, acknowledged, .. })) => {
                Call::Renew { session, acknowledged, sent: now_ms }
            }
            (_, None) if !session_state.is_blocked() => {
                let number = session_state.begin_open(at(now_ms));
                Call::Open { number, acknowledged: session_state.acknowledged(), sent: now_ms }
            }
            _ => return None,
        };
        Some(call)
    }

    /// It handles a reply.
    fn handle_reply(&mut self, answer: Call) {
        let Some(session_state) = &mut self.session_state else { return };
        match answer {
            Call::Opened { number, session, slot, required, .. } => {
                session_state.granted(number, session, slot, required);
            }
            Call::Renewed { session, sent, required } => session_state.renewed(session, at(sent), required),
            Call::Lost { session, .. } => session_state.lost(session),
            _ => {}
        }
    }
}

impl Model for Configuration {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        let proxy = |i| Proxy {
            session_state: Some(SessionState::new(self.held)),
            call: None,
            is_orphaned: false,
            has_refused: false,
            is_incompatible: self.incompatible_proxy == Some(i),
        };
        let mut service = Store::default();
        service.apply(&store::Command::ExpireByCommand).expect("it can");
        let mut state = State {
            service,
            liveness: Liveness::default(),
            former: None,
            term: 0,
            now_ms: 0,
            log_ms: 0,
            leads: true,
            elections: 0,
            crashes: 0,
            published: 0,
            proxies: (0..self.proxies).map(proxy).collect(),
            commits: Vec::new(),
            offered: None,
        };
        state.elect(Leaders::Real);
        for i in 0..if self.attached { self.proxies } else { 0 } {
            // Sent, handled, and its reply handled.
            for act in [Action::Send(i), Action::Arrive(i), Action::Arrive(i)] {
                state = self.next_state(&state, act).unwrap_or(state);
            }
        }
        state.tick();
        for i in 0..self.proxies {
            state = self.next_state(&state, Action::Announce(i)).unwrap_or(state);
        }
        vec![state]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        if state.now_ms < self.steps * STEP_MS {
            actions.push(Action::Pass);
        }
        if !state.leads || state.elections < self.elections {
            actions.push(Action::Leader(!state.leads));
        }
        if state.leads && state.published < self.versions {
            actions.push(Action::Publish);
        }
        let known = state.agreement().latest_change();
        for (i, proxy) in state.proxies.iter().enumerate() {
            match &proxy.call {
                Some(Call::Open { .. } | Call::Renew { .. } | Call::Refuse { .. }) if !state.leads => {}
                Some(_) => actions.push(Action::Arrive(i)),
                None => {}
            }
            if matches!(proxy.call, Some(Call::Renew { .. })) && state.former.is_some() {
                actions.push(Action::ArriveAtFormer(i));
            }
            match &proxy.session_state {
                None => actions.push(Action::Restart(i)),
                Some(session_state) => {
                    if state.crashes < self.crashes {
                        actions.push(Action::Crash(i));
                    }
                    if proxy.next_call(state.now_ms).is_some() {
                        actions.push(Action::Send(i));
                    }
                    if session_state.announced().revision < known {
                        actions.push(Action::Announce(i));
                    }
                }
            }
        }
    }

    fn next_state(&self, before: &State, act: Action) -> Option<State> {
        let mut state = before.clone();
        match act {
            Action::Pass => {
                state.now_ms += STEP_MS;
                if state.leads {
                    state.log_ms += STEP_MS;
                    state.tick();
                }
            }
            Action::Leader(leads) => {
                state.leads = leads;
                state.elections += u8::from(!leads);
                if leads {
                    state.elect(self.leaders);
                }
            }
            Action::Publish => {
                state.published += 1;
                let (parent, document) = (state.agreement().head(), Arc::new(document(state.published)));
                let (by, note) = ("ops".to_string(), String::new());
                state.apply(Command::Publish { parent, document, by, note, unix_ms: 0 });
            }
            Action::Crash(i) => {
                state.crashes += 1;
                let proxy = &mut state.proxies[i];
                (proxy.session_state, proxy.is_orphaned) = (None, true);
                // The service may still handle its call; a reply is lost.
                proxy.call =
                    proxy.call.take().filter(|c| matches!(c, Call::Open { .. } | Call::Renew { .. }));
            }
            Action::Restart(i) => {
                let proxy = &mut state.proxies[i];
                (proxy.session_state, proxy.has_refused) = (Some(SessionState::new(self.held)), false);
            }
            Action::Send(i) => {
                let proxy = &mut state.proxies[i];
                let call = proxy.next_call(state.now_ms)?;
                if let (Call::Open { .. }, Some(session_state)) = (&call, &mut proxy.session_state) {
                    session_state.begin_open(at(state.now_ms));
                }
                proxy.has_refused |= matches!(call, Call::Refuse { .. });
                (proxy.call, proxy.is_orphaned) = (Some(call), false);
                if self.prompt {
                    return self.next_state(&state, Action::Arrive(i)).filter(|_| state.leads);
                }
            }
            Action::Arrive(i) => {
                let call = state.proxies[i].call.take()?;
                let answer = matches!(call, Call::Opened { .. } | Call::Renewed { .. } | Call::Lost { .. });
                if answer {
                    state.proxies[i].handle_reply(call);
                } else {
                    let answer = state.handle_call(call);
                    let proxy = &mut state.proxies[i];
                    proxy.call = answer.filter(|_| !proxy.is_orphaned);
                }
            }
            Action::ArriveAtFormer(i) => {
                let Call::Renew { session, acknowledged, sent } = state.proxies[i].call.take()? else {
                    return None;
                };
                let renewal = Renewal { session, acknowledged, ..Renewal::default() };
                let (liveness, service) = state.former.as_mut()?;
                let answer = State::renew(liveness, service, renewal, state.log_ms, sent);
                let proxy = &mut state.proxies[i];
                proxy.call = Some(answer).filter(|_| !proxy.is_orphaned);
            }
            Action::Announce(i) => {
                let a = state.service.agreement();
                let announcement = Announcement {
                    revision: a.latest_change(),
                    members: a.members().revision,
                    committed: a.committed(),
                    offered: a.offered().unwrap_or(0),
                };
                let second = a.versions().keys().nth(1).copied();
                let proxy = &mut state.proxies[i];
                let can = |version| !(proxy.is_incompatible && Some(version) == second);
                proxy.session_state.as_mut()?.receive(announcement, can);
            }
        }
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(SLOTS_ARE_EXCLUSIVE, |_, state: &State| {
                let mut slots = BTreeSet::new();
                state.acting().all(|(slot, _)| slots.insert(slot))
            }),
            Property::always(STALENESS_IS_BOUNDED, |_, state: &State| {
                state.acting().all(|(_, version)| {
                    let next = state.commits.iter().filter(|(n, _)| *n > version).map(|(_, at)| *at).min();
                    next.is_none_or(|at| state.now_ms < at + TTL_MS)
                })
            }),
            Property::always("a committed version is never lost", |_, state: &State| {
                let latest = state.commits.iter().map(|(n, _)| *n).max().unwrap_or(0);
                state.agreement().committed() == latest
            }),
            Property::always("no proxy applies a version that is not committed", |_, state: &State| {
                let known = |v: u64| v == 0 || state.commits.iter().any(|(n, _)| *n == v);
                state.acting().all(|(_, version)| known(version))
            }),
            Property::always(
                "every live session has acknowledged the committed version",
                |_, state: &State| {
                    let a = state.agreement();
                    a.sessions().values().all(|s| s.acknowledged >= a.committed())
                },
            ),
            Property::always("every offer ends", |_, state: &State| {
                // A new leader gives everybody a TTL more.
                let bound = (2 + u64::from(state.elections)) * TTL_MS;
                let over = |(_, at): (u64, u64)| state.log_ms > at + bound;
                !state.offered.is_some_and(over)
            }),
            Property::always("no proxy applies a version that it cannot apply", |_, state: &State| {
                let second = state.agreement().versions().keys().nth(1).copied();
                state.proxies.iter().filter(|p| p.is_incompatible).all(|p| {
                    let acts = p.session_state.as_ref().map(|s| s.attachment(at(state.now_ms)));
                    !matches!(acts, Some(Attachment::Attached { version, .. }) if Some(version) == second)
                })
            }),
            Property::sometimes(ALL_PROXIES_FOLLOW, |model: &Configuration, state: &State| {
                let last = state.commits.last().map_or(0, |c| c.0);
                state.published == model.versions
                    && state.agreement().head() == last
                    && state.acting().filter(|(_, version)| *version == last).count() == model.proxies
            }),
        ]
    }
}

const SLOTS_ARE_EXCLUSIVE: &str = "no slot is held by two proxies";
const STALENESS_IS_BOUNDED: &str = "no version is applied for longer than W after the next is committed";
const ALL_PROXIES_FOLLOW: &str = "the last version is applied by all proxies";

fn real() -> Duration {
    lease::holder_validity(Duration::from_millis(TTL_MS))
}

/// Explores all states: how many there are, and the properties found broken, or reached.
fn check(configuration: Configuration) -> (usize, Vec<&'static str>) {
    let began = Instant::now();
    let checker = configuration.clone().checker().threads(4).spawn_dfs().join();
    let found: Vec<&'static str> = checker.discoveries().into_keys().collect();
    eprintln!(
        "{configuration:?}: {} states in {:?}, found {found:?}",
        checker.unique_state_count(),
        began.elapsed()
    );
    (checker.unique_state_count(), found)
}

/// Explores a configuration under the real bound: no property is broken, and all proxies follow in some state.
fn assert_holds(configuration: Configuration) {
    let (_, found) = check(configuration.clone());
    assert_eq!(found, [ALL_PROXIES_FOLLOW], "{configuration:?}");
}

const BASE: Configuration = Configuration {
    proxies: 2,
    versions: 0,
    steps: 3,
    crashes: 0,
    elections: 0,
    held: Duration::ZERO,
    incompatible_proxy: None,
    attached: true,
    prompt: true,
    leaders: Leaders::Real,
};

#[test]
fn a_slot_has_one_holder_over_crashes_expiries_and_a_lost_leader() {
    let base = Configuration { held: real(), attached: false, ..BASE };
    assert_holds(Configuration { steps: 4, crashes: 1, elections: 1, ..base });
    assert_holds(Configuration { proxies: 3, steps: 2, ..base });
    assert_holds(Configuration { prompt: false, ..base });
}

#[test]
fn versions_are_applied_within_w_and_every_offer_ends() {
    let base = Configuration { held: real(), ..BASE };
    assert_holds(Configuration { proxies: 3, versions: 1, steps: 2, ..base });
    assert_holds(Configuration { versions: 2, ..base });
    assert_holds(Configuration { versions: 1, steps: 5, ..base });
    assert_holds(Configuration { versions: 1, prompt: false, ..base });
    assert_holds(Configuration { versions: 1, crashes: 1, elections: 1, ..base });
}

#[test]
fn a_proxy_that_cannot_apply_a_version_stops_it_for_all() {
    let configuration =
        Configuration { held: real(), versions: 2, steps: 2, incompatible_proxy: Some(0), ..BASE };
    assert_holds(configuration);
}

#[test]
fn a_broken_bound_is_found_by_the_checker() {
    let long = Duration::from_millis(TTL_MS + 2 * STEP_MS);
    let (_, found) = check(Configuration { held: long, crashes: 1, ..BASE });
    assert!(found.contains(&SLOTS_ARE_EXCLUSIVE), "{found:?}");
    let (_, found) = check(Configuration { held: long, versions: 1, steps: 4, ..BASE });
    assert!(found.contains(&STALENESS_IS_BOUNDED), "{found:?}");
}

#[test]
fn a_new_leader_without_grace_is_found_by_the_checker() {
    let base = Configuration { held: real(), elections: 1, leaders: Leaders::WithoutGrace, ..BASE };
    let (_, found) = check(Configuration { steps: 5, crashes: 1, ..base });
    assert!(found.contains(&SLOTS_ARE_EXCLUSIVE), "{found:?}");
}

/// One schedule of that fault: a proxy renews at the former leader alone, while the present one ends its session and
/// commits a version without it.
#[test]
fn a_former_leader_that_answers_renewals_breaks_the_bound() {
    let renewed = [Action::Send(0), Action::ArriveAtFormer(0), Action::Arrive(0), Action::Pass];
    for (leaders, broken) in [(Leaders::Unaware, true), (Leaders::Real, false)] {
        let model = Configuration { proxies: 1, versions: 1, held: real(), prompt: false, leaders, ..BASE };
        let mut state = model.init_states().remove(0);
        let elected = [Action::Leader(false), Action::Leader(true), Action::Publish];
        for act in elected.into_iter().chain((0..4).flat_map(|_| renewed.clone())) {
            // What the real leaders do not do is passed over.
            state = model.next_state(&state, act).unwrap_or(state);
        }
        let within = model.property(STALENESS_IS_BOUNDED);
        assert_eq!(!(within.condition)(&model, &state), broken, "{leaders:?}");
    }
}

/// Larger configurations, looked at when `AGREEMENT_DEEP` is set: minutes, and gigabytes of memory.
#[test]
fn larger_configurations_hold() {
    if std::env::var("AGREEMENT_DEEP").is_err() {
        return;
    }
    let base = Configuration { held: real(), ..BASE };
    assert_holds(Configuration { proxies: 3, versions: 2, steps: 2, ..base });
    assert_holds(Configuration { proxies: 3, steps: 3, attached: false, ..base });
    assert_holds(Configuration { proxies: 3, steps: 2, crashes: 1, elections: 1, attached: false, ..base });
    assert_holds(Configuration { versions: 2, steps: 3, prompt: false, ..base });
    assert_holds(Configuration { versions: 2, steps: 3, crashes: 1, elections: 1, ..base });
}
