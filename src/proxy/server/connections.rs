//! The open connections of clients: how many are admitted, which of them is evicted for a new one, and whether there is
//! room for new connections.
//!
//! At most `max` connections are admitted. A new connection beyond that evicts one that has carried no request or has
//! been idle for long; clients may expect every other connection to stay open. If there is no such connection, the new
//! one is not admitted: its request is rejected unless there is room when it arrives. To keep that rare, connections
//! are closed after their answers while there is little room: a place becomes free, and no request can cross the
//! close.

use crate::proxy::shared_stream::{SharedStream, UnsentGauge};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{Notify, watch};
use tokio::time::Instant;

/// How long clients may expect an idle connection to stay open after an answer.
const MIN_IDLE_DURATION: Duration = Duration::from_secs(2);
/// One place in this many is reserved for connections that have carried no request.
const PLACES_PER_RESERVED_PLACE: usize = 8;

/// What a connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// Admitted; no complete head of a request has arrived.
    AwaitingFirstRequest,
    /// Admitted; a request is in flight.
    Busy,
    /// Admitted; it has carried a request, and the next one may be on its way.
    BetweenRequests,
    /// Beyond the limit; no complete head of a request has arrived.
    NotAdmitted,
    /// To be closed; a request that has partly arrived is answered first, if there is a place for it then.
    Closing,
    /// Closed by the proxy, and read until the client closes it too.
    Lingering,
}

impl Phase {
    const COUNT: usize = 6;
}

/// The state of a connection in [`ClientConnections`].
pub(super) struct ConnectionState {
    /// Identifies the connection in the log.
    number: u64,
    stream: SharedStream,
    phase: Cell<Phase>,
    /// Its key among the connections in its phase.
    key: Cell<u64>,
    /// Whether a request is in flight.
    is_busy: Cell<bool>,
    /// When its last request was answered; before that, when it was accepted.
    answered_at: Cell<Instant>,
    /// Notified when it is evicted.
    eviction: Notify,
    /// Notified when its lingering close is to be cut short.
    linger_abort: Notify,
}

impl ConnectionState {
    pub(super) fn number(&self) -> u64 {
        self.number
    }

    pub(super) fn is_busy(&self) -> bool {
        self.is_busy.get()
    }

    /// Since when no request has been in flight and no answer has been unsent; the current time while there is either.
    pub(super) fn idle_since(&self) -> Instant {
        if self.is_busy.get() || self.stream.has_unsent_bytes() {
            return Instant::now();
        }
        let answered_at = self.answered_at.get();
        self.stream.sent_at().map_or(answered_at, |sent_at| sent_at.max(answered_at))
    }

    /// Waits until the connection is evicted.
    pub(super) async fn evicted(&self) {
        self.eviction.notified().await;
    }

    /// Waits until the lingering close is to be cut short.
    pub(super) async fn linger_aborted(&self) {
        self.linger_abort.notified().await;
    }
}

/// How the places for admitted connections are used.
#[derive(Clone, Copy, Debug)]
struct Occupancy {
    max: usize,
    awaiting_first_request: usize,
    busy: usize,
    between_requests: usize,
}

impl Occupancy {
    fn free(self) -> usize {
        self.max.saturating_sub(self.awaiting_first_request + self.busy + self.between_requests)
    }

    /// The places that new connections can get without closing a connection that has carried a request.
    fn available(self) -> usize {
        self.free() + self.awaiting_first_request
    }

    fn reserved(self) -> usize {
        self.max.div_ceil(PLACES_PER_RESERVED_PLACE)
    }
}

/// The connections in one phase, in the order in which they entered it.
type PhaseQueue = BTreeMap<u64, Rc<ConnectionState>>;

/// All open connections of clients.
pub(super) struct ClientConnections {
    /// The maximum number of admitted connections.
    max: usize,
    /// The connections by phase. A connection is open until it leaves its queue.
    queues: RefCell<[PhaseQueue; Phase::COUNT]>,
    /// Increases whenever a connection enters a phase.
    last_key: Cell<u64>,
    open: Cell<usize>,
    /// The number of connections accepted so far.
    accepted: Cell<u64>,
    /// Notified when a connection is closed.
    closed: Notify,
    /// Counts the connections with bytes of an answer that have not been handed to the system yet.
    unsent_gauge: UnsentGauge,
    /// Whether idle connections are to be closed.
    is_closing: watch::Sender<bool>,
}

impl ClientConnections {
    pub(super) fn new(max: usize) -> Self {
        Self {
            max,
            queues: RefCell::default(),
            last_key: Cell::default(),
            open: Cell::default(),
            accepted: Cell::default(),
            closed: Notify::new(),
            unsent_gauge: UnsentGauge::default(),
            is_closing: watch::Sender::new(false),
        }
    }

    /// The number of open connections.
    pub(super) fn open(&self) -> usize {
        self.open.get()
    }

    /// Whether more connections are open than allowed, including those that are not admitted or are about to be closed.
    pub(super) fn exceeds_max_open(&self) -> bool {
        self.open.get() > self.max_open()
    }

    /// Whether no further connection may be opened.
    pub(super) fn is_at_max_open(&self) -> bool {
        self.open.get() >= self.max_open()
    }

    fn max_open(&self) -> usize {
        self.max + self.max / super::PLACES_PER_OVERFLOW
    }

    /// Whether bytes of an answer have not been handed to the system yet.
    pub(super) fn has_unsent_bytes(&self) -> bool {
        self.unsent_gauge.get() > 0
    }

    pub(super) fn unsent_gauge(&self) -> UnsentGauge {
        self.unsent_gauge.clone()
    }

    /// Registers a new connection, and admits it if there is room or another connection can be evicted.
    pub(super) fn add(&self, stream: SharedStream) -> Rc<ConnectionState> {
        let is_admitted = self.make_room();
        let phase = if is_admitted { Phase::AwaitingFirstRequest } else { Phase::NotAdmitted };
        self.open.set(self.open.get() + 1);
        self.accepted.set(self.accepted.get() + 1);
        let connection = Rc::new(ConnectionState {
            number: self.accepted.get(),
            stream,
            phase: Cell::new(phase),
            key: Cell::default(),
            is_busy: Cell::default(),
            answered_at: Cell::new(Instant::now()),
            eviction: Notify::new(),
            linger_abort: Notify::new(),
        });
        self.enter(&connection, phase);
        tracing::debug!(connection = connection.number, open = self.open.get(), "connection accepted");
        connection
    }

    /// Removes a connection, which is no longer open.
    pub(super) fn remove(&self, connection: &ConnectionState) {
        self.leave(connection);
        self.open.set(self.open.get() - 1);
        self.closed.notify_waiters();
    }

    /// Waits until the next connection is closed.
    pub(super) async fn wait_for_close(&self) {
        self.closed.notified().await;
    }

    /// Records that the head of a request has arrived on a connection. Returns whether the request may be served:
    /// whether the connection has a place or gets one now.
    pub(super) fn request_began(&self, connection: &Rc<ConnectionState>) -> bool {
        connection.is_busy.set(true);
        let has_place = match connection.phase.get() {
            Phase::AwaitingFirstRequest | Phase::Busy | Phase::BetweenRequests => true,
            Phase::NotAdmitted | Phase::Closing | Phase::Lingering => self.make_room(),
        };
        if !has_place {
            let occupancy = self.occupancy();
            tracing::debug!(
                connection = connection.number,
                ?occupancy,
                "no room to admit the connection of a request"
            );
        }
        self.enter(connection, if has_place { Phase::Busy } else { Phase::Closing });
        has_place
    }

    /// Records that the request on a connection has been answered.
    pub(super) fn request_ended(&self, connection: &Rc<ConnectionState>) {
        connection.is_busy.set(false);
        connection.answered_at.set(Instant::now());
        if connection.phase.get() == Phase::Busy {
            self.enter(connection, Phase::BetweenRequests);
        }
    }

    /// Records that a connection is to be closed, for any reason. It releases its place if no request is in flight.
    pub(super) fn closing_began(&self, connection: &Rc<ConnectionState>) {
        if !connection.is_busy() {
            self.enter(connection, Phase::Closing);
        }
    }

    /// Records that the proxy has closed a connection, which now lingers.
    pub(super) fn linger_began(&self, connection: &Rc<ConnectionState>) {
        connection.is_busy.set(false);
        self.enter(connection, Phase::Lingering);
    }

    /// Whether a connection is closed after the answer that is sent on it now: because it is to be closed anyway, or
    /// because new connections need its place.
    pub(super) fn closes_after_answer(&self, connection: &ConnectionState) -> bool {
        if connection.phase.get() == Phase::Closing {
            return true;
        }
        let occupancy = self.occupancy();
        let has_little_room = occupancy.available() < occupancy.reserved();
        if has_little_room {
            tracing::debug!(
                connection = connection.number,
                ?occupancy,
                "closing the connection after its answer"
            );
        }
        has_little_room
    }

    /// Makes room for one more admitted connection; returns whether there is room.
    fn make_room(&self) -> bool {
        self.occupancy().free() > 0 || self.evict()
    }

    /// Evicts the oldest connection that has carried no request or, if there is none, one that has been idle for so
    /// long that its client has to expect a close. Returns whether a connection was evicted.
    fn evict(&self) -> bool {
        let evicted = self.oldest(Phase::AwaitingFirstRequest).or_else(|| self.long_idle());
        if let Some(connection) = &evicted {
            self.close(connection);
        }
        evicted.is_some()
    }

    /// Closes a connection beyond the limit at once, even if its client is still sending: a lingering connection or, if
    /// there is none, one that is not admitted and has sent no request.
    pub(super) fn abort_beyond_limit(&self) {
        if let Some(lingering) = self.oldest(Phase::Lingering) {
            lingering.linger_abort.notify_one();
        } else if let Some(connection) = self.oldest(Phase::NotAdmitted) {
            self.close(&connection);
        }
    }

    fn close(&self, connection: &Rc<ConnectionState>) {
        tracing::debug!(
            connection = connection.number,
            phase = ?connection.phase.get(),
            idle_ms = connection.idle_since().elapsed().as_millis(),
            occupancy = ?self.occupancy(),
            "connection evicted"
        );
        self.enter(connection, Phase::Closing);
        connection.eviction.notify_one();
    }

    /// A connection between two requests that has been idle for at least [`MIN_IDLE_DURATION`].
    fn long_idle(&self) -> Option<Rc<ConnectionState>> {
        let queues = self.queues.borrow();
        let between_requests = queues[Phase::BetweenRequests as usize].values();
        let mut answered_long_ago = between_requests
            .take_while(|connection| connection.answered_at.get().elapsed() >= MIN_IDLE_DURATION);
        answered_long_ago.find(|connection| connection.idle_since().elapsed() >= MIN_IDLE_DURATION).cloned()
    }

    fn oldest(&self, phase: Phase) -> Option<Rc<ConnectionState>> {
        self.queues.borrow()[phase as usize].values().next().cloned()
    }

    fn occupancy(&self) -> Occupancy {
        let queues = self.queues.borrow();
        let count = |phase: Phase| queues[phase as usize].len();
        Occupancy {
            max: self.max,
            awaiting_first_request: count(Phase::AwaitingFirstRequest),
            busy: count(Phase::Busy),
            between_requests: count(Phase::BetweenRequests),
        }
    }

    fn enter(&self, connection: &Rc<ConnectionState>, phase: Phase) {
        self.leave(connection);
        self.last_key.set(self.last_key.get() + 1);
        connection.key.set(self.last_key.get());
        connection.phase.set(phase);
        self.queues.borrow_mut()[phase as usize].insert(connection.key.get(), connection.clone());
    }

    fn leave(&self, connection: &ConnectionState) {
        self.queues.borrow_mut()[connection.phase.get() as usize].remove(&connection.key.get());
    }

    /// Closes idle connections, and those in use as soon as they are idle.
    pub(super) fn close_idle(&self) {
        self.is_closing.send_replace(true);
    }

    /// A watch on whether idle connections are to be closed.
    pub(super) fn closing(&self) -> watch::Receiver<bool> {
        self.is_closing.subscribe()
    }
}
