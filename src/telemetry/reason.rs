//! The reasons for which connections are closed, requests rejected, and attempts sent or dropped: one type each, so
//! that logs and metrics name the same reasons.
//!
//! Logs and metrics show the label of a value. Dashboards and alerts depend on the labels, so these stay unchanged when
//! a Rust name changes.

use prometheus_client::encoding::{EncodeLabelValue, LabelValueEncoder};
use std::fmt;

/// Gives each variant of an enum the label that it has in logs and metrics.
macro_rules! labels {
    ($type:ident { $($variant:ident => $label:literal),+ $(,)? }) => {
        impl $type {
            /// Every value, in the order of declaration.
            pub const ALL: &'static [Self] = &[$(Self::$variant),+];

            /// The label of this value in logs and metrics.
            pub fn label(self) -> &'static str {
                match self {
                    $(Self::$variant => $label),+
                }
            }
        }

        impl EncodeLabelValue for $type {
            fn encode(&self, encoder: &mut LabelValueEncoder) -> Result<(), fmt::Error> {
                self.label().encode(encoder)
            }
        }
    };
}

/// Why a client's connection is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum CloseReason {
    /// The client closed it, asked for it to be closed, or sent something other than HTTP.
    ClientClosed,
    /// The process shuts down.
    ShuttingDown,
    /// It was closed to make room for another connection.
    Evicted,
    /// No request arrived for too long.
    IdleTimeout,
    /// The head of its request was incomplete when the memory for requests was used up.
    OutOfMemory,
    /// Its client has not taken any of an answer for too long.
    SendTimeout,
}

labels!(CloseReason {
    ClientClosed => "Ended",
    ShuttingDown => "Stopping",
    Evicted => "Evicted",
    IdleTimeout => "Idle",
    OutOfMemory => "Memory",
    SendTimeout => "Unread",
});

/// Why a request is rejected: it was not executed, and the client may retry it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Rejection {
    /// Too little time remains before its deadline.
    InsufficientTime,
    /// More attempts are in flight than the backends seem able to answer.
    Overload,
    /// No attempt could be sent, or none was answered and executing it again is harmless.
    NoResponse,
    /// The maximum number of requests is in flight.
    TooManyRequests,
    /// The maximum number of connections is open.
    TooManyConnections,
    /// The memory for requests is used up.
    OutOfMemory,
}

labels!(Rejection {
    InsufficientTime => "NoTime",
    Overload => "Pressure",
    NoResponse => "Unserved",
    TooManyRequests => "OpenRequests",
    TooManyConnections => "Connections",
    OutOfMemory => "Memory",
});

/// Why an attempt that was decided on is not sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum DropReason {
    /// It would violate an [`Invariant`].
    InvariantAtRisk,
    /// No connection was established in time, or the maximum number of connections is open.
    NoConnection,
    /// Its request is not in flight, its backend is unknown, or all attempts are used up.
    NotInFlight,
}

labels!(DropReason {
    InvariantAtRisk => "Guarded",
    NoConnection => "NoConnection",
    NotInFlight => "NoCall",
});

/// Why an attempt is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum AttemptKind {
    /// The first of its request.
    First,
    /// A retry.
    Retry,
}

labels!(AttemptKind { First => "First", Retry => "Retry" });

/// How a poll of discovery ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum PollOutcome {
    /// It was answered with an endpoint list, or with changes to one.
    Answered,
    /// It was not answered, or the answer was malformed.
    Failed,
    /// It was cancelled because discovery has moved.
    Moved,
    /// It is late, and another one is sent. It stays in flight, and its end is counted too.
    Late,
}

labels!(PollOutcome { Answered => "Answered", Failed => "Failed", Moved => "Moved", Late => "Late" });

/// The invariants that [`crate::guard`] checks immediately before the proxy acts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Invariant {
    /// Nothing is sent to a backend that is draining or removed once the grace period is over.
    Drain,
    /// A request with an idempotency key is retried only within the window of its key.
    Window,
    /// A non-idempotent request is not retried once it may have been executed.
    Repeat,
    /// Nothing is sent for a client that has disconnected.
    ClientGone,
    /// Nothing is sent for a request that has its final answer, or whose deadline has passed.
    Answered,
    /// The time announced to a backend does not exceed the client's remaining time.
    Deadline,
    /// No connection is closed while a request on it is in flight.
    Close,
    /// The process does not exit while a request is in flight.
    Exit,
}

labels!(Invariant {
    Drain => "Drain",
    Window => "Window",
    Repeat => "Repeat",
    ClientGone => "ClientGone",
    Answered => "Answered",
    Deadline => "Deadline",
    Close => "Close",
    Exit => "Exit",
});
