//! A backend's heartbeat loop, and the testbed's calls to the list service.

pub use fleet_testbed::calls::{call, lists, registration};

use serde_json::json;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// The longest duration of a heartbeat loop, even if the test does not stop it.
const MAX_HEARTBEAT_DURATION: Duration = Duration::from_secs(60);

/// A backend's heartbeats: it is registered at the start, then sends one each `interval` until `stop` or
/// `MAX_HEARTBEAT_DURATION`.
pub struct Heartbeats {
    stop: Arc<AtomicBool>,
}

impl Heartbeats {
    /// Registers `id` at `address` with the list service and renews the entry.
    pub fn start(
        registry: SocketAddr,
        id: &str,
        address: SocketAddr,
        ttl_ms: u64,
        interval: Duration,
    ) -> Self {
        let registered = call(registry, "POST", "/v1/register", &registration(id, address, ttl_ms));
        assert_eq!(registered.map(|(status, _)| status), Some(200), "{id} is registered");
        let stop = Arc::new(AtomicBool::new(false));
        let (stopped, id) = (stop.clone(), id.to_string());
        std::thread::spawn(move || {
            let deadline = Instant::now() + MAX_HEARTBEAT_DURATION;
            while !stopped.load(Ordering::SeqCst) && Instant::now() < deadline {
                std::thread::sleep(interval);
                // The TTL tolerates a lost heartbeat; the next one may arrive.
                let _ = call(registry, "POST", "/v1/heartbeat", &json!({"instanceId": id}));
            }
        });
        Self { stop }
    }

    /// Stops the heartbeats; the entry expires after its TTL.
    pub fn stop(&self) {
        self.stop.store(true, Ordering::SeqCst);
    }
}

impl Drop for Heartbeats {
    fn drop(&mut self) {
        self.stop();
    }
}
