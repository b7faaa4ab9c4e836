//! Calls to the list service as a backend or an operator makes them, and a backend's heartbeat loop.

use super::http;
use serde_json::{Value, json};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// Longest wait for one call.
const CALL_WITHIN: Duration = Duration::from_secs(2);
/// Longest life of a heartbeat loop, whatever the test does.
const MOST_BEATING: Duration = Duration::from_secs(60);

/// One call on a new connection: the status and the body as JSON (`Null` if it is none).
pub fn call(address: SocketAddr, method: &str, target: &str, body: &Value) -> Option<(u16, Value)> {
    let mut stream = TcpStream::connect_timeout(&address, CALL_WITHIN).ok()?;
    stream.set_read_timeout(Some(CALL_WITHIN)).ok()?;
    let body = if body.is_null() { String::new() } else { body.to_string() };
    let text =
        format!("{method} {target} HTTP/1.1\r\nHost: r\r\nContent-Length: {}\r\n\r\n{body}", body.len());
    stream.write_all(text.as_bytes()).ok()?;
    let answer = http::read(&mut BufReader::new(stream)).ok()?;
    Some((answer.status(), serde_json::from_slice(&answer.body).unwrap_or(Value::Null)))
}

/// The registration of a backend as `POST /v1/register` takes it.
pub fn registration(id: &str, address: SocketAddr, ttl_ms: u64) -> Value {
    json!({"instanceId": id, "hostPort": address.to_string(), "zone": "a", "machineType": "m", "cell": 0,
           "lifecycle": "SERVING", "weight": 1.0, "startedAtMs": 0, "ttlMs": ttl_ms})
}

/// Whether the list service lists `id` now; `None` if it did not answer.
pub fn lists(address: SocketAddr, id: &str) -> Option<bool> {
    let (status, list) = call(address, "GET", "/api/targets", &Value::Null)?;
    let instances = list["instances"].as_array()?;
    (status == 200).then(|| instances.iter().any(|i| i["instanceId"] == id))
}

/// A backend's heartbeats: registered at the start, then one each `every` until `stop` or `MOST_BEATING`.
pub struct Heartbeats {
    stop: Arc<AtomicBool>,
}

impl Heartbeats {
    /// Registers `id` at `address` with the list service and keeps it there.
    pub fn start(registry: SocketAddr, id: &str, address: SocketAddr, ttl_ms: u64, every: Duration) -> Self {
        let registered = call(registry, "POST", "/v1/register", &registration(id, address, ttl_ms));
        assert_eq!(registered.map(|(status, _)| status), Some(200), "{id} is registered");
        let stop = Arc::new(AtomicBool::new(false));
        let (stopped, id) = (stop.clone(), id.to_string());
        std::thread::spawn(move || {
            let end = Instant::now() + MOST_BEATING;
            while !stopped.load(Ordering::SeqCst) && Instant::now() < end {
                std::thread::sleep(every);
                // A lost heartbeat is a fault the TTL is there for; the next one may get through.
                let _ = call(registry, "POST", "/v1/heartbeat", &json!({"instanceId": id}));
            }
        });
        Self { stop }
    }

    /// Stops beating: the entry lapses after its TTL.
    pub fn stop(&self) {
        self.stop.store(true, Ordering::SeqCst);
    }
}

impl Drop for Heartbeats {
    fn drop(&mut self) {
        self.stop();
    }
}
