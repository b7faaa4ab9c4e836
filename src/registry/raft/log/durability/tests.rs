//! Tests of `durability`.

use super::Durability;
use std::future::Future;
use std::pin::pin;
use std::task::{Context, Waker};

/// Whether waiting for the entry at `index` ends at once.
fn is_durable(durability: &Durability, index: u64) -> bool {
    let mut wait = pin!(durability.wait_durable(index));
    wait.as_mut().poll(&mut Context::from_waker(Waker::noop())).is_ready()
}

#[test]
fn an_entry_is_durable_once_it_and_all_before_it_are_synced() {
    let durability = Durability::default();
    assert!(is_durable(&durability, 7), "no entry is pending");
    durability.on_queued(5..=7);
    assert!(is_durable(&durability, 4) && !is_durable(&durability, 5));
    durability.on_synced(2);
    assert!(is_durable(&durability, 6) && !is_durable(&durability, 7));
    assert_eq!(durability.first_pending(), Some(7));
}

#[test]
fn a_sync_of_a_truncated_entry_does_not_count_for_the_one_in_its_place() {
    let durability = Durability::default();
    let first_sequence = durability.on_queued(5..=6);
    durability.on_truncated(6);
    let second_sequence = durability.on_queued([6]);
    durability.on_synced(first_sequence);
    assert!(is_durable(&durability, 5) && !is_durable(&durability, 6));
    durability.on_synced(second_sequence);
    assert!(is_durable(&durability, 6));
}
