//! Peers that connect to the listener of the metrics and send nothing: they must neither occupy an unlimited number of
//! descriptors nor block readers permanently.
//!
//! Descriptors are counted for the whole process, so this is the only test of its file.

use linkhatch_proxy::telemetry::metrics::{self, Gauges};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::LocalSet;

/// The number of idle peers.
const IDLE_PEERS: usize = 100;
/// The maximum number of a proxy's reserved descriptors that the listener's connections may use.
const MAX_USED_DESCRIPTORS: usize = 8;
/// The maximum time for which all idle peers together may delay a reader.
const MAX_READER_DELAY: Duration = Duration::from_secs(30);

/// The number of open descriptors of this process.
fn open_descriptors() -> usize {
    std::fs::read_dir("/proc/self/fd").unwrap().count()
}

/// Reads the metrics from the listener, and returns the answer.
async fn read_metrics(address: SocketAddr) -> String {
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(b"GET /metrics HTTP/1.1\r\nHost: m\r\nConnection: close\r\n\r\n").await.unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await.unwrap();
    answer
}

#[tokio::test(start_paused = true)]
async fn idle_peers_use_few_descriptors_and_do_not_block_a_reader() {
    let local = LocalSet::new();
    let (used, answer) = local
        .run_until(async {
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            let address = listener.local_addr().unwrap();
            tokio::task::spawn_local(metrics::serve(listener, Gauges::default));
            let before = open_descriptors();
            let mut peers = Vec::new();
            for _ in 0..IDLE_PEERS {
                peers.push(TcpStream::connect(address).await.unwrap());
            }
            tokio::time::sleep(Duration::from_millis(100)).await; // the listener accepts its maximum
            let used = open_descriptors() - before - peers.len();
            (used, tokio::time::timeout(MAX_READER_DELAY, read_metrics(address)).await)
        })
        .await;
    assert!(used <= MAX_USED_DESCRIPTORS, "idle peers use {used} descriptors of the proxy");
    let answer = answer.expect("the metrics are read in time");
    assert!(answer.starts_with("HTTP/1.1 200 OK\r\n"), "{answer}");
}
