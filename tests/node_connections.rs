//! Tests which connection of a list-service node is evicted for a new one, step by step and without sockets.

use linkhatch_proxy::registry::connections::Connections;
use std::future::{Future, poll_fn};
use std::pin::{Pin, pin};
use std::task::Poll;

/// Polls a future once; returns whether it has completed.
async fn is_done(future: &mut Pin<&mut impl Future<Output = ()>>) -> bool {
    poll_fn(|context| Poll::Ready(future.as_mut().poll(context).is_ready())).await
}

#[tokio::test]
async fn the_longest_idle_connection_is_evicted_and_no_busy_one() {
    let connections = Connections::with_capacity(3);
    let [first, second, third] = [(); 3].map(|()| connections.open());
    first.set_busy();
    let mut capacity = pin!(connections.wait_for_capacity());
    assert!(!is_done(&mut capacity).await, "all three connections are open");
    let mut evictions = [&first, &second, &third].map(|connection| Box::pin(connection.wait_for_eviction()));
    let mut evicted = Vec::new();
    for eviction in &mut evictions {
        evicted.push(is_done(&mut eviction.as_mut()).await);
    }
    assert_eq!(evicted, [false, true, false], "the first is busy, the second is the longest idle");
    drop(evictions);
    drop(second);
    assert!(is_done(&mut capacity).await, "one connection is closed");
}

#[tokio::test]
async fn the_first_connection_that_becomes_idle_is_evicted_where_all_are_busy() {
    let connections = Connections::with_capacity(2);
    let [first, second] = [(); 2].map(|()| connections.open());
    first.set_busy();
    second.set_busy();
    let mut capacity = pin!(connections.wait_for_capacity());
    assert!(!is_done(&mut capacity).await, "both connections are busy");
    second.set_idle();
    assert!(!is_done(&mut capacity).await, "the evicted connection has to be closed first");
    {
        let mut eviction = pin!(second.wait_for_eviction());
        assert!(is_done(&mut eviction).await, "the connection is idle, and a new one waits");
    }
    drop(second);
    assert!(is_done(&mut capacity).await);
}
