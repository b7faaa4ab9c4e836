//! Tests of the memory for requests, on a paused clock.

use super::*;
use std::future::poll_fn;
use std::task::Poll;
use std::time::Duration;
use tokio::time::{sleep, timeout};

const POOL_BYTES: usize = 1000;
const LONG: Duration = Duration::from_secs(60);

async fn is_aborted(request: &IncompleteRequest) -> bool {
    poll_fn(|cx| Poll::Ready(request.poll_aborted(cx).is_ready())).await
}

async fn holding(memory: &Rc<RequestMemory>, bytes: usize) -> (IncompleteRequest, Reservation) {
    let request = memory.incomplete();
    let reservation = request.reserve(bytes).await;
    request.progressed(bytes);
    (request, reservation)
}

/// Guards against a sound request that gives way to bad peers: the request that has stalled for longest is aborted, and
/// no more requests than needed.
#[tokio::test(start_paused = true)]
async fn the_request_that_has_stalled_for_longest_gives_way() {
    let memory = RequestMemory::new(POOL_BYTES);
    let (progressing, kept) = holding(&memory, 400).await;
    let (stalled, stalled_bytes) = holding(&memory, 400).await;
    let without_bytes = memory.incomplete();
    sleep(Duration::from_secs(1)).await;
    progressing.progressed(400);
    let newcomer = memory.incomplete();
    let reserved = async {
        poll_fn(|cx| stalled.poll_aborted(cx)).await;
        drop(stalled_bytes);
        std::future::pending::<()>().await;
    };
    tokio::select! {
        reservation = newcomer.reserve(500) => assert_eq!(reservation.bytes(), 500),
        () = reserved => {}
    }
    assert!(!is_aborted(&progressing).await && !is_aborted(&without_bytes).await);
    drop(kept);
    assert_eq!(memory.pool().free_bytes(), POOL_BYTES);
}

/// Guards against requests that abort each other although all of them progress.
#[tokio::test(start_paused = true)]
async fn a_request_that_has_just_progressed_does_not_give_way() {
    let memory = RequestMemory::new(POOL_BYTES);
    let (progressing, _kept) = holding(&memory, POOL_BYTES).await;
    let newcomer = memory.incomplete();
    assert!(timeout(Duration::from_millis(10), newcomer.reserve(1)).await.is_err());
    assert!(!is_aborted(&progressing).await);
}

/// Guards against requests that wait for each other's memory for ever: one of them gives way.
#[tokio::test(start_paused = true)]
async fn requests_that_wait_for_memory_give_way_to_each_other() {
    let memory = RequestMemory::new(POOL_BYTES);
    let (first, first_bytes) = holding(&memory, 500).await;
    let (second, _second_bytes) = holding(&memory, 500).await;
    let first_waits = async {
        tokio::select! {
            _ = first.reserve(500) => false,
            () = poll_fn(|cx| first.poll_aborted(cx)) => { drop(first_bytes); true }
        }
    };
    let both = async { tokio::join!(first_waits, second.reserve(500)) };
    let (first_gave_way, reservation) = timeout(LONG, both).await.expect("no deadlock");
    assert!(first_gave_way && reservation.bytes() == 500);
}

/// Guards against pools that leave nothing for connections, or connections that leave nothing for the pools.
#[test]
fn connections_and_pools_stay_below_the_limit_of_memory() {
    for memory_mb in [32, 48, 64, 128, 192, 2048] {
        for descriptors in [256, 512, 1024, 4096] {
            let connections = max_connections(memory_mb).min(descriptors);
            let PeerMemory { request_heads, request_bodies, responses } =
                PeerMemory::new(Some(max_peer_bytes(memory_mb, connections)));
            let pools = request_heads.pool().free_bytes()
                + request_bodies.pool().free_bytes()
                + responses.free_bytes();
            let sum = BASE_BYTES + connections * CONNECTION_BYTES + pools;
            assert!(sum <= memory_mb << 20, "{sum} of {memory_mb} MB with {descriptors} descriptors");
            assert!(connections >= 256, "{connections} with {memory_mb} MB");
        }
    }
}
