//! Tests of the ordering queues.

use super::*;
use crate::balancer::requests::Attempt;
use slotmap::SlotMap;

#[test]
fn a_detached_attempt_blocks_its_key_until_it_ends() {
    let mut slots: SlotMap<RequestSlot, ()> = SlotMap::new();
    let (first, second) = (slots.insert(()), slots.insert(()));
    let mut queues = OrderingQueues::new();
    queues.push(7, first, 0.0);
    queues.push(7, second, 0.0);
    assert_eq!(queues.queue_len(7), 2);
    assert_eq!(queues.next(7).map(|next| next.slot), Some(first));
    let attempt = Attempt { backend: 0, failure_domain: 0, zone: 0, sent_at: 0.0, outcome: None };
    let request = InFlightRequest {
        id: RequestId(1),
        class: 0,
        started_at: 0.0,
        relative_size: 1.0,
        deadline: 1.0,
        t1: 0.4,
        retry_timers_fired: 0,
        retry_timer_set: false,
        attempts: vec![attempt],
        ordering_key: Some(7),
        is_queued: false,
        is_rejected: false,
        alternate: None,
    };
    queues.request_done(7, first, &request);
    assert!(queues.next(7).is_none(), "the attempt of the first request is outstanding");
    assert_eq!(queues.attempt_ended(RequestId(1), 0), Some(7));
    assert_eq!(queues.attempt_ended(RequestId(1), 0), None);
    queues.start_quiet_period(7, 3.0);
    let next = queues.next(7).expect("the second request");
    assert_eq!((next.slot, next.quiet_until), (second, 3.0));
}

#[test]
fn idle_queues_are_removed() {
    let mut slots: SlotMap<RequestSlot, ()> = SlotMap::new();
    let mut queues = OrderingQueues::new();
    for key in 0..1000 {
        let slot = slots.insert(());
        queues.push(key, slot, 0.0);
        if let Some(queue) = queues.queues.get_mut(&key) {
            queue.requests.clear();
        }
    }
    assert!(queues.queues.len() <= 2 * MIN_PRUNE_THRESHOLD, "{} queues", queues.queues.len());
}
