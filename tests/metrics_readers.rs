//! Peers that connect to the listener of the metrics and send nothing: they must neither hold descriptors without limit
//! nor keep readers out for good.
//!
//! Descriptors are counted for the whole process, so this is the only test of its file.

use linkhatch_proxy::telemetry::metrics::{self, Gauges};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::LocalSet;

/// Idle peers.
const IDLE_PEERS: usize = 100;
/// The most descriptors that the listener's connections may take of those reserved in a proxy.
const MAX_READERS: usize = 8;
/// How long all idle peers together may keep a reader waiting.
const MAX_WAIT: Duration = Duration::from_secs(30);

/// The descriptors that this process holds.
fn open_descriptors() -> usize {
    std::fs::read_dir("/proc/self/fd").unwrap().count()
}

/// One call of the metrics' listener.
async fn read_metrics(address: SocketAddr) -> String {
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(b"GET /metrics HTTP/1.1\r\nHost: m\r\nConnection: close\r\n\r\n").await.unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await.unwrap();
    answer
}

#[tokio::test(start_paused = true)]
async fn idle_peers_hold_few_descriptors_and_keep_no_reader_out() {
    let local = LocalSet::new();
    let (taken, answer) = local
        .run_until(async {
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            let address = listener.local_addr().unwrap();
            tokio::task::spawn_local(metrics::serve(listener, Gauges::default));
            let before = open_descriptors();
            let mut peers = Vec::new();
            for _ in 0..IDLE_PEERS {
                peers.push(TcpStream::connect(address).await.unwrap());
            }
            tokio::time::sleep(Duration::from_millis(100)).await; // what may be accepted, is
            let taken = open_descriptors() - before - peers.len();
            (taken, tokio::time::timeout(MAX_WAIT, read_metrics(address)).await)
        })
        .await;
    assert!(taken <= MAX_READERS, "idle peers hold {taken} descriptors of the proxy");
    let answer = answer.expect("the metrics are read in time");
    assert!(answer.starts_with("HTTP/1.1 200 OK\r\n"), "{answer}");
}
