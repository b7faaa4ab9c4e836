//! Events of the watch on the endpoint list, translated for the engine.

use crate::EndpointEntry;
use std::net::SocketAddr;

/// An event of the watch on the endpoint list.
#[derive(Debug)]
pub enum WatchEvent {
    /// The endpoints that changed.
    Changes(Vec<ListedEndpoint>),
    /// The complete list.
    Snapshot(Vec<ListedEndpoint>),
    /// The complete list that was known or cached at the start.
    Cached(Vec<ListedEndpoint>),
    /// A poll failed.
    PollFailed,
}

/// An entry of the endpoint list, with the backend's address.
#[derive(Debug)]
pub struct ListedEndpoint {
    /// The entry in the balancer's form.
    pub entry: EndpointEntry,
    /// The address of the backend.
    pub address: SocketAddr,
}
