//! Tests of `quorum_lease`.

use super::*;

const ELECTION_TIMEOUT: Duration = Duration::from_millis(1_000);

#[test]
fn a_lease_is_valid_while_a_quorum_has_acknowledged_a_recent_call_of_its_term() {
    let (lease, start) = (QuorumLease::default(), Instant::now());
    let is_valid = |term, members: &[NodeId], after| {
        lease.is_valid(1, term, members, ELECTION_TIMEOUT, start + Duration::from_millis(after))
    };
    assert!(is_valid(3, &[1], 0), "a node without peers is a quorum");
    assert!(!is_valid(3, &[1, 2, 3], 0), "no other node has acknowledged a call");
    lease.record_acknowledgement(2, 3, start);
    assert!(
        is_valid(3, &[1, 2, 3], 899) && !is_valid(3, &[1, 2, 3], 900),
        "the lease is a second less 5% and 50 ms"
    );
    assert!(!is_valid(4, &[1, 2, 3], 10), "another term");
    assert!(!is_valid(3, &[1, 2, 3, 4, 5], 10), "two of five nodes are not a quorum");
    lease.record_acknowledgement(4, 3, start);
    assert!(is_valid(3, &[1, 2, 3, 4, 5], 10));
}

#[test]
fn a_late_acknowledgement_does_not_shorten_the_lease() {
    let (lease, start) = (QuorumLease::default(), Instant::now());
    let later = start + Duration::from_millis(500);
    lease.record_acknowledgement(2, 3, later);
    lease.record_acknowledgement(2, 3, start);
    lease.record_acknowledgement(2, 2, later);
    assert!(lease.is_valid(1, 3, &[1, 2, 3], ELECTION_TIMEOUT, later + Duration::from_millis(800)));
}
