//! Explores the agreement with a model checker (`stateright`). The service's state machine, its leader's record of
//! renewals in memory and each proxy's session state are the real ones. Calls and replies are lost or arrive late,
//! announcements arrive late or never, proxies crash and restart, the service loses its leader and with it the renewals
//! in memory, and time passes in steps; every state that a small configuration can reach is visited. The unit tests of
//! `session_state` and `state` show that repeated and reordered calls change nothing.
//!
//! Time advances in steps of half a session's TTL: a proxy relies on a renewal for one step with the real bound, and
//! for three, which is more than the TTL, with a deliberately broken bound. Two kinds of leaders are deliberately
//! broken as well: a new leader that ends sessions whose renewals it had no time to receive, and a former leader that
//! continues to answer renewals.

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

/// A configuration to explore.
#[derive(Clone, Debug)]
struct Configuration {
    proxies: usize,
    /// The number of versions published, one after another, at any time.
    versions: usize,
    /// The number of time steps.
    steps: u64,
    /// The number of crashes of all proxies together.
    crashes: u8,
    /// How often the service loses its leader.
    elections: u8,
    /// How long a proxy relies on a renewal.
    validity: Duration,
    /// The proxy that can't apply the second version, if any.
    incompatible_proxy: Option<usize>,
    /// Whether all proxies start attached.
    starts_attached: bool,
    /// Whether calls reach the service immediately or never, so that only replies and announcements are late.
    instant_calls: bool,
    /// How leaders record renewals.
    leader_mode: LeaderMode,
}

/// How leaders record renewals.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LeaderMode {
    /// As in the service.
    Real,
    /// A new leader leaves proxies no time to renew.
    WithoutGrace,
    /// A leader that was replaced continues to answer renewals.
    FormerAnswers,
}

/// A proxy's call in flight, or the reply to it; it is lost when another replaces it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Call {
    Open { number: u64, acknowledged: u64, sent_ms: u64 },
    Renew { session: u64, acknowledged: u64, sent_ms: u64 },
    Refuse { session: u64, version: u64, sent_ms: u64 },
    Opened { number: u64, session: u64, slot: u32, required: RequiredRevisions, sent_ms: u64 },
    Renewed { session: u64, sent_ms: u64, required: RequiredRevisions },
    Lost { session: u64, sent_ms: u64 },
}

impl Call {
    /// When the call was sent, or the call that this replies to.
    fn sent_ms(&self) -> u64 {
        match self {
            Call::Open { sent_ms, .. }
            | Call::Renew { sent_ms, .. }
            | Call::Refuse { sent_ms, .. }
            | Call::Opened { sent_ms, .. }
            | Call::Renewed { sent_ms, .. }
            | Call::Lost { sent_ms, .. } => *sent_ms,
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Proxy {
    session_state: Option<SessionState>,
    call: Option<Call>,
    /// Whether the call was sent before a crash, so that its reply is dropped.
    is_orphaned: bool,
    has_refused: bool,
    is_incompatible: bool,
}

#[derive(Clone, Debug, PartialEq)]
struct State {
    service: Store,
    /// The leader's record of renewals.
    liveness: Liveness,
    /// The former leader's renewals and its state of the service, if it continues to answer.
    former_leader: Option<(Liveness, Store)>,
    term: u64,
    /// The real time.
    now_ms: u64,
    /// The time of the log's clock, which does not advance while there is no leader.
    log_ms: u64,
    has_leader: bool,
    elections: u8,
    crashes: u8,
    published: usize,
    proxies: Vec<Proxy>,
    /// Each committed version and the real time of its commit.
    commits: Vec<(u64, u64)>,
    /// The offered version and the time of the log's clock at which it was offered.
    offered: Option<(u64, u64)>,
}

/// States are equivalent if they differ only in the order of proxies, in the values of revisions, or in what has
/// expired. So the hash covers the ranks of revisions and versions, the slots of sessions, and times relative to now.
impl Hash for State {
    fn hash<H: Hasher>(&self, state: &mut H) {
        let agreement = self.service.agreement();
        let versions: Vec<u64> = agreement.versions().keys().copied().collect();
        let index = |version: u64| versions.iter().position(|v| *v == version);
        let mut revisions: BTreeSet<u64> = BTreeSet::from([agreement.latest_change()]);
        for proxy in &self.proxies {
            revisions.extend(proxy.session_state.iter().map(|s| s.announced().revision));
            revisions.extend(
                proxy
                    .session_state
                    .iter()
                    .flat_map(linkhatch_proxy::agreement::session_state::SessionState::unapplied_renewals)
                    .map(|renewal| renewal.required.agreed),
            );
            if let Some(Call::Opened { required, .. } | Call::Renewed { required, .. }) = &proxy.call {
                revisions.insert(required.agreed);
            }
        }
        let rank = |revision: u64| revisions.range(..revision).count();
        let (now, log_ms) = (instant_at(self.now_ms), self.log_ms);
        // Ages are capped: beyond twice the TTL they have no effect.
        let age_ms = |sent_ms: u64| (self.now_ms - sent_ms).min(2 * TTL_MS);
        let age = |sent_at: &Instant| {
            now.saturating_duration_since(*sent_at).min(Duration::from_millis(2 * TTL_MS))
        };
        let session_view = |id: u64| {
            let s = agreement.sessions().get(&id)?;
            let remaining_ms =
                self.liveness.session_expires_at_ms(id, s).saturating_sub(log_ms).min(4 * TTL_MS);
            Some((s.slot, remaining_ms, index(s.acknowledged)))
        };
        let hash_proxy = |proxy: &Proxy| {
            let mut hasher = DefaultHasher::new();
            let session_state = proxy.session_state.as_ref().map(|s| {
                let announced = s.announced();
                let unapplied: Vec<_> =
                    s.unapplied_renewals().map(|r| (age(&r.sent_at), rank(r.required.agreed))).collect();
                let remaining = s.attached_until().map(|until| until.saturating_duration_since(now));
                let slot = match s.attachment(now) {
                    Attachment::Attached { slot, .. } => Some(slot),
                    Attachment::Detached => None,
                };
                let session = (s.session().map(session_view), slot);
                let announced =
                    (rank(announced.revision), index(announced.committed), index(announced.offered));
                (
                    announced,
                    unapplied,
                    remaining,
                    session,
                    index(s.acknowledged()),
                    s.unsupported().map(index),
                )
            });
            session_state.hash(&mut hasher);
            let call = proxy.call.as_ref().map(|call| {
                let content = match call {
                    Call::Open { acknowledged, .. } => (0, index(*acknowledged), None, 0),
                    Call::Renew { session, acknowledged, .. } => {
                        (1, index(*acknowledged), session_view(*session), 0)
                    }
                    Call::Refuse { session, version, .. } => (2, index(*version), session_view(*session), 0),
                    Call::Opened { session, required, .. } => {
                        (3, None, session_view(*session), rank(required.agreed))
                    }
                    Call::Renewed { session, required, .. } => {
                        (4, None, session_view(*session), rank(required.agreed))
                    }
                    Call::Lost { session, .. } => (5, None, session_view(*session), 0),
                };
                (content, age_ms(call.sent_ms()))
            });
            (call, proxy.is_orphaned, proxy.has_refused, proxy.is_incompatible).hash(&mut hasher);
            hasher.finish()
        };
        let mut proxies: Vec<u64> = self.proxies.iter().map(hash_proxy).collect();
        proxies.sort_unstable();
        proxies.hash(state);
        // Sessions that no proxy has on record still occupy their slots.
        let mut sessions: Vec<_> = agreement.sessions().keys().map(|id| session_view(*id)).collect();
        sessions.sort_unstable();
        let statuses: Vec<u8> = agreement
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
        let commits: Vec<_> =
            self.commits.iter().map(|(version, commit_ms)| (index(*version), age_ms(*commit_ms))).collect();
        let offered = self.offered.map(|(version, offered_ms)| (index(version), log_ms - offered_ms));
        (
            sessions,
            statuses,
            commits,
            offered,
            agreement.is_tick_due(log_ms),
            rank(agreement.latest_change()),
            &agreement.members().slots,
        )
            .hash(state);
        let former_leader = self.former_leader.as_ref().map(|(liveness, service)| {
            let remaining_ms = |(id, session): (&u64, _)| {
                liveness.session_expires_at_ms(*id, session).saturating_sub(log_ms)
            };
            let sessions: Vec<u64> = service.agreement().sessions().iter().map(remaining_ms).collect();
            (sessions, rank(service.agreement().latest_change()))
        });
        former_leader.hash(state);
        (self.now_ms, self.has_leader, self.elections, self.crashes, self.published).hash(state);
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Action {
    /// Advances the time by a step; if there is a leader, its clock ticks.
    AdvanceTime,
    SetLeader(bool),
    Publish,
    Crash(usize),
    Restart(usize),
    /// The proxy sends a call; one still in flight is lost.
    Send(usize),
    /// The service handles the call, or the proxy handles the reply.
    Deliver(usize),
    /// The former leader answers the call.
    DeliverToFormerLeader(usize),
    /// The proxy is notified of the present agreement.
    Announce(usize),
}

fn instant_at(ms: u64) -> Instant {
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
        let command = store::Command::ChangeAgreement { change, at_ms: self.log_ms };
        let outcome = self.service.apply_with_outcome(&command).ok();
        self.record_changes();
        outcome
    }

    /// The leader ends expired sessions, and updates the membership.
    fn tick(&mut self) {
        let (expired, at_ms) = (self.liveness.expired(&self.service, self.log_ms), self.log_ms);
        let commands = [store::Command::EndExpired { expired, at_ms }, store::Command::Expire { at_ms }];
        for command in commands {
            self.service.apply(&command).expect("a valid command");
        }
        self.record_changes();
    }

    /// Makes another node the leader.
    fn elect(&mut self, leader_mode: LeaderMode) {
        self.term += 1;
        let liveness = std::mem::take(&mut self.liveness);
        self.former_leader =
            (leader_mode == LeaderMode::FormerAnswers).then(|| (liveness, self.service.clone()));
        self.liveness
            .become_leader(self.term, if leader_mode == LeaderMode::WithoutGrace { 0 } else { self.log_ms });
    }

    /// The reply to a renewal by a leader with these renewals and this state of the service.
    fn renew(liveness: &mut Liveness, service: &Store, renewal: Renewal, log_ms: u64, sent_ms: u64) -> Call {
        let session = renewal.session;
        let renewals = Renewals { sessions: vec![renewal], ..Renewals::default() };
        let lost = liveness.renew(&renewals, service, log_ms);
        let required = RequiredRevisions { agreed: service.agreement().latest_change(), list: 0 };
        match lost.sessions.contains_key(&session) {
            true => Call::Lost { session, sent_ms },
            false => Call::Renewed { session, sent_ms, required },
        }
    }

    /// Records commits and the current offer.
    fn record_changes(&mut self) {
        let agreement = self.service.agreement();
        for (number, version) in agreement.versions() {
            let is_recorded = self.commits.iter().any(|(n, _)| n == number);
            if matches!(version.status, VersionStatus::Committed(_)) && !is_recorded {
                self.commits.push((*number, self.now_ms));
            }
        }
        if self.offered.map(|(version, _)| version) != agreement.offered() {
            self.offered = agreement.offered().map(|version| (version, self.log_ms));
        }
    }

    /// The slot and the applied version of each attached proxy.
    fn attached_proxies(&self) -> impl Iterator<Item = (u32, u64)> {
        let now = instant_at(self.now_ms);
        self.proxies.iter().filter_map(move |p| match p.session_state.as_ref()?.attachment(now) {
            Attachment::Attached { slot, version, .. } => Some((slot, version)),
            Attachment::Detached => None,
        })
    }

    /// Handles a proxy's call at the service; returns the reply.
    fn handle_call(&mut self, call: Call) -> Option<Call> {
        match call {
            Call::Open { number, acknowledged, sent_ms } => {
                let open = Command::Open { name: "p".into(), ttl_ms: TTL_MS, acknowledged };
                match self.apply(open)? {
                    CommandOutcome::Opened { session, slot, required } => {
                        Some(Call::Opened { number, session, slot, required, sent_ms })
                    }
                    _ => None,
                }
            }
            Call::Renew { session, acknowledged, sent_ms } => {
                let renewal = Renewal { session, acknowledged, ..Renewal::default() };
                let reply = Self::renew(&mut self.liveness, &self.service, renewal, self.log_ms, sent_ms);
                let live = self.agreement().sessions().get(&session);
                if live.is_none_or(|s| acknowledged <= s.acknowledged) || matches!(reply, Call::Lost { .. }) {
                    return Some(reply);
                }
                // An acknowledgement is written to the log.
                match self.apply(Command::Renew { renewals: vec![renewal] })? {
                    CommandOutcome::Renewed { lost, .. } if lost.contains_key(&session) => {
                        Some(Call::Lost { session, sent_ms })
                    }
                    CommandOutcome::Renewed { required, .. } => {
                        Some(Call::Renewed { session, sent_ms, required })
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
    /// The call that the proxy would send now; it replaces one sent in an earlier step.
    fn next_call(&self, now_ms: u64) -> Option<Call> {
        if self.call.as_ref().is_some_and(|call| call.sent_ms() >= now_ms) {
            return None;
        }
        let mut session_state = self.session_state.clone()?;
        let call = match (session_state.unsupported(), session_state.renewal(instant_at(now_ms))) {
            (Some(version), Some(renewal)) if !self.has_refused => {
                Call::Refuse { session: renewal.session, version, sent_ms: now_ms }
            }
            (_, Some(Renewal { session, acknowledged, .. })) => {
                Call::Renew { session, acknowledged, sent_ms: now_ms }
            }
            (_, None) if !session_state.is_blocked() => {
                let number = session_state.begin_open(instant_at(now_ms));
                Call::Open { number, acknowledged: session_state.acknowledged(), sent_ms: now_ms }
            }
            _ => return None,
        };
        Some(call)
    }

    /// Handles a reply at the proxy.
    fn handle_reply(&mut self, reply: Call) {
        let Some(session_state) = &mut self.session_state else { return };
        match reply {
            Call::Opened { number, session, slot, required, .. } => {
                session_state.granted(number, session, slot, required);
            }
            Call::Renewed { session, sent_ms, required } => {
                session_state.renewed(session, instant_at(sent_ms), required);
            }
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
            session_state: Some(SessionState::new(self.validity)),
            call: None,
            is_orphaned: false,
            has_refused: false,
            is_incompatible: self.incompatible_proxy == Some(i),
        };
        let mut service = Store::default();
        service.apply(&store::Command::ExpireByCommand).expect("a valid command");
        let mut state = State {
            service,
            liveness: Liveness::default(),
            former_leader: None,
            term: 0,
            now_ms: 0,
            log_ms: 0,
            has_leader: true,
            elections: 0,
            crashes: 0,
            published: 0,
            proxies: (0..self.proxies).map(proxy).collect(),
            commits: Vec::new(),
            offered: None,
        };
        state.elect(LeaderMode::Real);
        for i in 0..if self.starts_attached { self.proxies } else { 0 } {
            // Sends a call, handles it, and handles its reply.
            for action in [Action::Send(i), Action::Deliver(i), Action::Deliver(i)] {
                state = self.next_state(&state, action).unwrap_or(state);
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
            actions.push(Action::AdvanceTime);
        }
        if !state.has_leader || state.elections < self.elections {
            actions.push(Action::SetLeader(!state.has_leader));
        }
        if state.has_leader && state.published < self.versions {
            actions.push(Action::Publish);
        }
        let latest_change = state.agreement().latest_change();
        for (i, proxy) in state.proxies.iter().enumerate() {
            match &proxy.call {
                Some(Call::Open { .. } | Call::Renew { .. } | Call::Refuse { .. }) if !state.has_leader => {}
                Some(_) => actions.push(Action::Deliver(i)),
                None => {}
            }
            if matches!(proxy.call, Some(Call::Renew { .. })) && state.former_leader.is_some() {
                actions.push(Action::DeliverToFormerLeader(i));
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
                    if session_state.announced().revision < latest_change {
                        actions.push(Action::Announce(i));
                    }
                }
            }
        }
    }

    fn next_state(&self, before: &State, action: Action) -> Option<State> {
        let mut state = before.clone();
        match action {
            Action::AdvanceTime => {
                state.now_ms += STEP_MS;
                if state.has_leader {
                    state.log_ms += STEP_MS;
                    state.tick();
                }
            }
            Action::SetLeader(has_leader) => {
                state.has_leader = has_leader;
                state.elections += u8::from(!has_leader);
                if has_leader {
                    state.elect(self.leader_mode);
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
                // The service may still handle the proxy's call; a reply is lost.
                proxy.call =
                    proxy.call.take().filter(|c| matches!(c, Call::Open { .. } | Call::Renew { .. }));
            }
            Action::Restart(i) => {
                let proxy = &mut state.proxies[i];
                (proxy.session_state, proxy.has_refused) = (Some(SessionState::new(self.validity)), false);
            }
            Action::Send(i) => {
                let proxy = &mut state.proxies[i];
                let call = proxy.next_call(state.now_ms)?;
                if let (Call::Open { .. }, Some(session_state)) = (&call, &mut proxy.session_state) {
                    session_state.begin_open(instant_at(state.now_ms));
                }
                proxy.has_refused |= matches!(call, Call::Refuse { .. });
                (proxy.call, proxy.is_orphaned) = (Some(call), false);
                if self.instant_calls {
                    return self.next_state(&state, Action::Deliver(i)).filter(|_| state.has_leader);
                }
            }
            Action::Deliver(i) => {
                let call = state.proxies[i].call.take()?;
                let is_reply = matches!(call, Call::Opened { .. } | Call::Renewed { .. } | Call::Lost { .. });
                if is_reply {
                    state.proxies[i].handle_reply(call);
                } else {
                    let reply = state.handle_call(call);
                    let proxy = &mut state.proxies[i];
                    proxy.call = reply.filter(|_| !proxy.is_orphaned);
                }
            }
            Action::DeliverToFormerLeader(i) => {
                let Call::Renew { session, acknowledged, sent_ms } = state.proxies[i].call.take()? else {
                    return None;
                };
                let renewal = Renewal { session, acknowledged, ..Renewal::default() };
                let (liveness, service) = state.former_leader.as_mut()?;
                let reply = State::renew(liveness, service, renewal, state.log_ms, sent_ms);
                let proxy = &mut state.proxies[i];
                proxy.call = Some(reply).filter(|_| !proxy.is_orphaned);
            }
            Action::Announce(i) => {
                let agreement = state.service.agreement();
                let announcement = Announcement {
                    revision: agreement.latest_change(),
                    members: agreement.members().revision,
                    committed: agreement.committed(),
                    offered: agreement.offered().unwrap_or(0),
                };
                let second_version = agreement.versions().keys().nth(1).copied();
                let proxy = &mut state.proxies[i];
                let can_apply = |version| !(proxy.is_incompatible && Some(version) == second_version);
                proxy.session_state.as_mut()?.receive(announcement, can_apply);
            }
        }
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(SLOTS_ARE_EXCLUSIVE, |_, state: &State| {
                let mut slots = BTreeSet::new();
                state.attached_proxies().all(|(slot, _)| slots.insert(slot))
            }),
            Property::always(STALENESS_IS_BOUNDED, |_, state: &State| {
                state.attached_proxies().all(|(_, version)| {
                    let next_ms = state.commits.iter().filter(|(n, _)| *n > version).map(|(_, ms)| *ms).min();
                    next_ms.is_none_or(|ms| state.now_ms < ms + TTL_MS)
                })
            }),
            Property::always("a committed version is never lost", |_, state: &State| {
                let latest = state.commits.iter().map(|(n, _)| *n).max().unwrap_or(0);
                state.agreement().committed() == latest
            }),
            Property::always("no proxy applies a version that is not committed", |_, state: &State| {
                let is_committed = |v: u64| v == 0 || state.commits.iter().any(|(n, _)| *n == v);
                state.attached_proxies().all(|(_, version)| is_committed(version))
            }),
            Property::always(
                "every live session has acknowledged the committed version",
                |_, state: &State| {
                    let agreement = state.agreement();
                    agreement.sessions().values().all(|s| s.acknowledged >= agreement.committed())
                },
            ),
            Property::always("every offer ends", |_, state: &State| {
                // A new leader extends every session by a TTL.
                let bound = (2 + u64::from(state.elections)) * TTL_MS;
                let is_overdue = |(_, offered_ms): (u64, u64)| state.log_ms > offered_ms + bound;
                !state.offered.is_some_and(is_overdue)
            }),
            Property::always("no proxy applies a version that it cannot apply", |_, state: &State| {
                let second = state.agreement().versions().keys().nth(1).copied();
                state.proxies.iter().filter(|p| p.is_incompatible).all(|p| {
                    let applied = p.session_state.as_ref().map(|s| s.attachment(instant_at(state.now_ms)));
                    !matches!(applied, Some(Attachment::Attached { version, .. }) if Some(version) == second)
                })
            }),
            Property::sometimes(ALL_PROXIES_FOLLOW, |model: &Configuration, state: &State| {
                let last = state.commits.last().map_or(0, |c| c.0);
                state.published == model.versions
                    && state.agreement().head() == last
                    && state.attached_proxies().filter(|(_, version)| *version == last).count()
                        == model.proxies
            }),
        ]
    }
}

const SLOTS_ARE_EXCLUSIVE: &str = "no slot is held by two proxies";
const STALENESS_IS_BOUNDED: &str = "no version is applied for a TTL after the next one is committed";
const ALL_PROXIES_FOLLOW: &str = "the last version is applied by all proxies";

fn real_validity() -> Duration {
    lease::holder_validity(Duration::from_millis(TTL_MS))
}

/// Explores all states; returns their number, and the properties found violated or, for `sometimes`, reached.
fn explore(configuration: Configuration) -> (usize, Vec<&'static str>) {
    let started_at = Instant::now();
    let checker = configuration.clone().checker().threads(4).spawn_dfs().join();
    let found: Vec<&'static str> = checker.discoveries().into_keys().collect();
    eprintln!(
        "{configuration:?}: {} states in {:?}, found {found:?}",
        checker.unique_state_count(),
        started_at.elapsed()
    );
    (checker.unique_state_count(), found)
}

/// Explores a configuration under the real bound: no property is violated, and in some state all proxies follow.
fn assert_properties_hold(configuration: Configuration) {
    let (_, found) = explore(configuration.clone());
    assert_eq!(found, [ALL_PROXIES_FOLLOW], "{configuration:?}");
}

const BASE: Configuration = Configuration {
    proxies: 2,
    versions: 0,
    steps: 3,
    crashes: 0,
    elections: 0,
    validity: Duration::ZERO,
    incompatible_proxy: None,
    starts_attached: true,
    instant_calls: true,
    leader_mode: LeaderMode::Real,
};

#[test]
fn a_slot_has_one_holder_over_crashes_expiries_and_a_lost_leader() {
    let base = Configuration { validity: real_validity(), starts_attached: false, ..BASE };
    assert_properties_hold(Configuration { steps: 4, crashes: 1, elections: 1, ..base });
    assert_properties_hold(Configuration { proxies: 3, steps: 2, ..base });
    assert_properties_hold(Configuration { instant_calls: false, ..base });
}

#[test]
fn versions_are_applied_within_a_ttl_and_every_offer_ends() {
    let base = Configuration { validity: real_validity(), ..BASE };
    assert_properties_hold(Configuration { proxies: 3, versions: 1, steps: 2, ..base });
    assert_properties_hold(Configuration { versions: 2, ..base });
    assert_properties_hold(Configuration { versions: 1, steps: 5, ..base });
    assert_properties_hold(Configuration { versions: 1, instant_calls: false, ..base });
    assert_properties_hold(Configuration { versions: 1, crashes: 1, elections: 1, ..base });
}

#[test]
fn a_proxy_that_cannot_apply_a_version_stops_it_for_all() {
    let configuration = Configuration {
        validity: real_validity(),
        versions: 2,
        steps: 2,
        incompatible_proxy: Some(0),
        ..BASE
    };
    assert_properties_hold(configuration);
}

#[test]
fn a_broken_bound_is_found_by_the_checker() {
    let too_long = Duration::from_millis(TTL_MS + 2 * STEP_MS);
    let (_, found) = explore(Configuration { validity: too_long, crashes: 1, ..BASE });
    assert!(found.contains(&SLOTS_ARE_EXCLUSIVE), "{found:?}");
    let (_, found) = explore(Configuration { validity: too_long, versions: 1, steps: 4, ..BASE });
    assert!(found.contains(&STALENESS_IS_BOUNDED), "{found:?}");
}

#[test]
fn a_new_leader_without_grace_is_found_by_the_checker() {
    let base = Configuration {
        validity: real_validity(),
        elections: 1,
        leader_mode: LeaderMode::WithoutGrace,
        ..BASE
    };
    let (_, found) = explore(Configuration { steps: 5, crashes: 1, ..base });
    assert!(found.contains(&SLOTS_ARE_EXCLUSIVE), "{found:?}");
}

/// One schedule of this fault: a proxy renews only at the former leader, while the present leader ends its session and
/// commits a version without it.
#[test]
fn a_former_leader_that_answers_renewals_breaks_the_bound() {
    let renewal_actions =
        [Action::Send(0), Action::DeliverToFormerLeader(0), Action::Deliver(0), Action::AdvanceTime];
    for (leader_mode, is_violated) in [(LeaderMode::FormerAnswers, true), (LeaderMode::Real, false)] {
        let model = Configuration {
            proxies: 1,
            versions: 1,
            validity: real_validity(),
            instant_calls: false,
            leader_mode,
            ..BASE
        };
        let mut state = model.init_states().remove(0);
        let election_actions = [Action::SetLeader(false), Action::SetLeader(true), Action::Publish];
        for action in election_actions.into_iter().chain((0..4).flat_map(|_| renewal_actions.clone())) {
            // Actions that are impossible with real leaders are skipped.
            state = model.next_state(&state, action).unwrap_or(state);
        }
        let property = model.property(STALENESS_IS_BOUNDED);
        assert_eq!(!(property.condition)(&model, &state), is_violated, "{leader_mode:?}");
    }
}

/// Explores larger configurations if `AGREEMENT_DEEP` is set; this takes minutes, and gigabytes of memory.
#[test]
fn larger_configurations_hold() {
    if std::env::var("AGREEMENT_DEEP").is_err() {
        return;
    }
    let base = Configuration { validity: real_validity(), ..BASE };
    assert_properties_hold(Configuration { proxies: 3, versions: 2, steps: 2, ..base });
    assert_properties_hold(Configuration { proxies: 3, steps: 3, starts_attached: false, ..base });
    assert_properties_hold(Configuration {
        proxies: 3,
        steps: 2,
        crashes: 1,
        elections: 1,
        starts_attached: false,
        ..base
    });
    assert_properties_hold(Configuration { versions: 2, steps: 3, instant_calls: false, ..base });
    assert_properties_hold(Configuration { versions: 2, steps: 3, crashes: 1, elections: 1, ..base });
}
