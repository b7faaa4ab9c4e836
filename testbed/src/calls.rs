//! Calls to the list service as backends and operators make them.

use crate::http::{Conn, Message};
use crate::rt::Loop;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;

/// Timeout of one call.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(2);

async fn exchange(address: SocketAddr, method: &str, target: &str, body: &Value) -> Option<Message> {
    let stream = TcpStream::connect(address).await.ok()?;
    let _ = stream.set_nodelay(true);
    let mut conn = Conn::new(stream);
    let body = if body.is_null() { String::new() } else { body.to_string() };
    let text =
        format!("{method} {target} HTTP/1.1\r\nHost: r\r\nContent-Length: {}\r\n\r\n{body}", body.len());
    conn.write(text.as_bytes()).await.ok()?;
    conn.read().await.ok()
}

/// Makes one call on a new connection, from an event loop; returns the status and the body (`Null` if it is not JSON).
pub async fn call_async(
    address: SocketAddr,
    method: &str,
    target: &str,
    body: &Value,
) -> Option<(u16, Value)> {
    let result = tokio::time::timeout(CALL_TIMEOUT, exchange(address, method, target, body)).await;
    let answer = result.ok().flatten()?;
    Some((answer.status(), serde_json::from_slice(&answer.body).unwrap_or(Value::Null)))
}

/// Does the same from any other thread, and blocks it.
pub fn call(address: SocketAddr, method: &str, target: &str, body: &Value) -> Option<(u16, Value)> {
    let (method, target, body) = (method.to_string(), target.to_string(), body.clone());
    Loop::shared().wait(move || async move { call_async(address, &method, &target, &body).await }).flatten()
}

/// The body of a backend's `POST /v1/register`.
pub fn registration(id: &str, address: SocketAddr, ttl_ms: u64) -> Value {
    json!({"instanceId": id, "hostPort": address.to_string(), "zone": "a", "machineType": "m", "cell": 0,
           "lifecycle": "SERVING", "weight": 1.0, "startedAtMs": 0, "ttlMs": ttl_ms})
}

/// Whether the list service lists `id`; `None` if it did not answer.
pub fn lists(address: SocketAddr, id: &str) -> Option<bool> {
    let (status, list) = call(address, "GET", "/api/targets", &Value::Null)?;
    let instances = list["instances"].as_array()?;
    (status == 200).then(|| instances.iter().any(|i| i["instanceId"] == id))
}
