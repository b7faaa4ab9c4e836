//! Agreed settings and membership: versions that all proxies follow, with a bound on how long two proxies may
//! contradict each other.
//!
//! The list service orders changes of three kinds by a single revision, in its replicated log: the **endpoint list**
//! (`registry::store`), the **settings** (`document`), published by compare-and-swap and activated in two steps, and
//! the **membership**: live proxies by session (a lease), each with its own slot (`state`). A proxy follows them
//! through a `follower`, whose `session_state` determines whether the proxy is attached at a given time. `views` has
//! the replies to watchers, and `calls` the bodies of a session's calls.
//!
//! # Which proxies contradict each other, and for how long at most
//!
//! `ttl` is the session's TTL. A proxy relies on a renewal for [`crate::lease::holder_validity`] of the TTL after it
//! sent the renewal (5% is left for drift of the proxy's and the leader's clocks together, and 50 ms for the time from
//! a decision to its act).
//!
//! | kind | two attached proxies contradict each other if | for at most (W) | a detached proxy |
//! | --- | --- | --- | --- |
//! | slots, and whatever a slot owns | both act under one slot | 0 | has no slot |
//! | settings | one applies a version, the other a later one | `ttl` | applies the fallback settings: less than any version allows |
//! | membership | they apply different memberships | `ttl` | keeps its connections, applies its fallback quota |
//! | the endpoint list | one sends to a backend that the other knows is draining or gone | `ttl` | applies its last list without the backends it knows are draining |
//!
//! W counts from the commit, in real time, even if messages are lost, delayed, repeated or reordered; between proxies
//! that receive notifications, it is the time of delivery. The proof is at the top of `session_state`, and its model in
//! `tests/agreement_model.rs`. A proxy is detached before its first session, from the end of the validity of its last
//! renewal that counts, once it shuts down, and while it can't apply the committed version. A detached proxy continues
//! to serve requests.
//!
//! # From publication to commit
//!
//! A valid document enters the history under its revision. One version at a time is **offered**: every proxy checks
//! that it can apply it and acknowledges it with a renewal, and the service commits it in the same step of the log in
//! which the last live session acknowledges it or expires. Proxies switch on the commit, which by then names only a
//! version that they have. If a proxy can't apply the version, it refuses it, and the offer is **withdrawn**: no proxy
//! switches. A session that neither acknowledges nor refuses is no longer renewed once its TTL has passed since the
//! offer. So an offer ends within `2 ttl` and a tick of the log's clock, and a stalled proxy delays the others no
//! longer than that. Versions published in the meantime wait; the latest of them is offered next, and the others stay
//! in the history as superseded.

pub mod calls;
pub mod document;
pub mod follower;
pub mod session_state;
pub mod state;
mod views;

pub use views::{AgreementView, MembersView, SettingsView};
