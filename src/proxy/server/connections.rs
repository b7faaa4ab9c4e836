//! The open connections of clients: how many are admitted, which of them makes room for a new one, and whether there is
//! room for newcomers.
//!
//! At most `max` connections are admitted. A new one beyond that takes the place of one that has carried no request or
//! has been idle for long; clients may expect every other connection to stay open. Where there is neither, the new one is
//! not admitted: its request is rejected unless there is room by then. To keep that rare, answers end their connections
//! while there is little room, so that a place comes free where no request can cross the close.

use crate::proxy::shared_stream::{SharedStream, UnsentGauge};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{Notify, watch};
use tokio::time::Instant;

/// How long clients may expect a connection to stay open after an answer.
const MIN_IDLE_TIME: Duration = Duration::from_secs(2);
/// Of so many places one is reserved for connections that have carried no request.
const PLACES_PER_RESERVED: usize = 8;

/// What a connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// Admitted; no head of a request has arrived completely.
    AwaitingFirstRequest,
    /// Admitted; a request is in flight.
    Busy,
    /// Admitted; it has carried a request, and the next one may be on its way.
    BetweenRequests,
    /// Beyond the limit; no head of a request has arrived completely.
    NotAdmitted,
    /// To be closed; a request that has arrived in part is answered before, if there is a place for it then.
    Closing,
    /// Closed by the proxy, and read until its client closes it too.
    Lingering,
}

impl Phase {
    const COUNT: usize = 6;
}

/// A connection as [`ClientConnections`] knows it.
pub(super) struct ConnectionState {
    /// Identifies the connection in the log.
    number: u64,
    stream: SharedStream,
    phase: Cell<Phase>,
    /// Its key among the connections in its phase.
    key: Cell<u64>,
    /// Whether a request is in flight.
    is_busy: Cell<bool>,
    /// When its last request was answered, at first when it was accepted.
    answered_at: Cell<Instant>,
    /// Notified when it is to make room for another connection.
    eviction: Notify,
    /// Notified when it is to linger no longer.
    abort: Notify,
}

impl ConnectionState {
    pub(super) fn number(&self) -> u64 {
        self.number
    }

    pub(super) fn is_busy(&self) -> bool {
        self.is_busy.get()
    }

    /// Since when no request has been in flight and no answer unsent; now, while there is one or the other.
    pub(super) fn idle_since(&self) -> Instant {
        if self.is_busy.get() || self.stream.has_unsent_bytes() {
            return Instant::now();
        }
        let answered_at = self.answered_at.get();
        self.stream.sent_at().map_or(answered_at, |sent_at| sent_at.max(answered_at))
    }

    /// Waits until the connection is to make room for another.
    pub(super) async fn evicted(&self) {
        self.eviction.notified().await;
    }

    /// Waits until the connection is to linger no longer.
    pub(super) async fn aborted(&self) {
        self.abort.notified().await;
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

    /// The places that a newcomer can have at once, whatever the connections that have carried requests do.
    fn available(self) -> usize {
        self.free() + self.awaiting_first_request
    }

    fn reserved(self) -> usize {
        self.max.div_ceil(PLACES_PER_RESERVED)
    }
}

/// The connections in one phase, in the order in which they entered it.
type PhaseQueue = BTreeMap<u64, Rc<ConnectionState>>;

/// All open connections of clients.
pub(super) struct ClientConnections {
    /// The most that are admitted.
    max: usize,
    /// By phase. Connections are open until they leave their queue.
    queues: RefCell<[PhaseQueue; Phase::COUNT]>,
    /// Grows whenever a connection enters a phase.
    last_key: Cell<u64>,
    open: Cell<usize>,
    /// The number of connections accepted so far.
    accepted: Cell<u64>,
    /// Notified when a connection is closed.
    closed: Notify,
    /// Counts the connections with bytes of an answer that the system has not taken yet.
    unsent: UnsentGauge,
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
            unsent: UnsentGauge::default(),
            is_closing: watch::Sender::new(false),
        }
    }

    /// The number of open connections.
    pub(super) fn open(&self) -> usize {
        self.open.get()
    }

    /// Whether more connections are open than may be, with those that are not admitted or are about to be closed.
    pub(super) fn exceeds_overflow(&self) -> bool {
        self.open.get() > self.max_open()
    }

    /// Whether no more connections may be open.
    pub(super) fn is_at_overflow(&self) -> bool {
        self.open.get() >= self.max_open()
    }

    fn max_open(&self) -> usize {
        self.max + self.max / super::PLACES_PER_OVERFLOW
    }

    /// Whether an answer waits to be taken by the system.
    pub(super) fn has_unsent_bytes(&self) -> bool {
        self.unsent.get() > 0
    }

    pub(super) fn unsent_gauge(&self) -> UnsentGauge {
        self.unsent.clone()
    }

    /// Counts a new connection, and admits it if there is room or another one can make room.
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
            abort: Notify::new(),
        });
        self.enter(&connection, phase);
        tracing::debug!(connection = connection.number, open = self.open.get(), "connection accepted");
        connection
    }

    /// Stops counting a connection.
    pub(super) fn remove(&self, connection: &ConnectionState) {
        self.leave(connection);
        self.open.set(self.open.get() - 1);
        self.closed.notify_waiters();
    }

    /// Waits until the next connection is closed.
    pub(super) async fn wait_for_close(&self) {
        self.closed.notified().await;
    }

    /// The head of a request has arrived on a connection. Returns whether the request may be served: whether the connection
    /// has a place, now at the latest.
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
                "no room for the connection of a request"
            );
        }
        self.enter(connection, if has_place { Phase::Busy } else { Phase::Closing });
        has_place
    }

    /// The request on a connection has its answer.
    pub(super) fn request_ended(&self, connection: &Rc<ConnectionState>) {
        connection.is_busy.set(false);
        connection.answered_at.set(Instant::now());
        if connection.phase.get() == Phase::Busy {
            self.enter(connection, Phase::BetweenRequests);
        }
    }

    /// A connection is to be closed, for whatever reason. One without a request in flight needs no place any more.
    pub(super) fn closing_began(&self, connection: &Rc<ConnectionState>) {
        if !connection.is_busy() {
            self.enter(connection, Phase::Closing);
        }
    }

    /// A connection is closed, and lingers from now on.
    pub(super) fn linger_began(&self, connection: &Rc<ConnectionState>) {
        connection.is_busy.set(false);
        self.enter(connection, Phase::Lingering);
    }

    /// Whether a connection is to end with the answer that is sent on it now: it is to be closed anyway, or newcomers need
    /// its place.
    pub(super) fn ends_with_answer(&self, connection: &ConnectionState) -> bool {
        if connection.phase.get() == Phase::Closing {
            return true;
        }
        let occupancy = self.occupancy();
        let is_short = occupancy.available() < occupancy.reserved();
        if is_short {
            tracing::debug!(connection = connection.number, ?occupancy, "the answer ends its connection");
        }
        is_short
    }

    /// Makes room for one more admitted connection; returns whether there is.
    fn make_room(&self) -> bool {
        self.occupancy().free() > 0 || self.evict()
    }

    /// Evicts the oldest connection that has carried no request or, where there is none, one that has been idle for so
    /// long that its client has to expect a close. Returns whether there was one.
    fn evict(&self) -> bool {
        let evicted = self.oldest(Phase::AwaitingFirstRequest).or_else(|| self.long_idle());
        if let Some(connection) = &evicted {
            self.close(connection);
        }
        evicted.is_some()
    }

    /// Has a connection beyond the limit closed at once, without regard to its client: one that is closed already, or one
    /// that is not admitted and has sent no request.
    pub(super) fn abort_beyond_limit(&self) {
        if let Some(lingering) = self.oldest(Phase::Lingering) {
            lingering.abort.notify_one();
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

    /// A connection between two requests that has been idle for at least [`MIN_IDLE_TIME`].
    fn long_idle(&self) -> Option<Rc<ConnectionState>> {
        let queues = self.queues.borrow();
        let between_requests = queues[Phase::BetweenRequests as usize].values();
        let mut answered_long_ago =
            between_requests.take_while(|connection| connection.answered_at.get().elapsed() >= MIN_IDLE_TIME);
        answered_long_ago.find(|connection| connection.idle_since().elapsed() >= MIN_IDLE_TIME).cloned()
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

    /// Has idle connections closed, and those in use as soon as they are idle.
    pub(super) fn close_idle(&self) {
        self.is_closing.send_replace(true);
    }

    /// Whether idle connections are to be closed, as it changes.
    pub(super) fn closing(&self) -> watch::Receiver<bool> {
        self.is_closing.subscribe()
    }
}
