//! The settings that only the proxy's I/O needs; those of the balancer are in [`crate::Settings`].

use std::time::Duration;

/// The settings that connections and requests need but the balancer's decisions do not.
#[derive(Clone, Debug, Default)]
pub struct ProxySettings {
    /// The names of the classes, in the order of [`crate::Settings::classes`].
    pub classes: Vec<String>,
    /// The names of the tenants, in the order of [`crate::Settings::quotas`].
    pub tenants: Vec<String>,
    /// The names of the zones. The zone of an endpoint is an index into this list.
    pub zones: Vec<String>,
    /// How long a connection to a backend may take to be established.
    pub connect_timeout: Duration,
    /// The time after which backends close idle connections.
    pub idle_close: Duration,
    /// The time after which no new attempt is sent to a backend that was announced as draining or removed.
    pub drain_grace: Duration,
    /// The maximum number of requests in flight.
    pub max_open: usize,
    /// How many bytes of requests and responses may be stored; `None` means any number.
    pub max_peer_bytes: Option<usize>,
}

/// Returns the index of a zone, and adds the zone if it is new.
pub fn zone_index(zones: &mut Vec<String>, name: &str) -> u32 {
    let known = zones.iter().position(|zone| zone == name);
    known.unwrap_or_else(|| {
        zones.push(name.to_string());
        zones.len() - 1
    }) as u32
}
