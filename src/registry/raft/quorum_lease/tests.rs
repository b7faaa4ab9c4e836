//! Tests of `quorum_lease`.

use super::*;

const ELECTION: Duration = Duration::from_millis(1_000);

#[test]
fn it_holds_while_a_quorum_has_taken_a_recent_call_of_this_term() {
    let (lease_of, start) = (QuorumLease::default(), Instant::now());
    let holds = |term, members: &[NodeId], after| {
        lease_of.holds(1, term, members, ELECTION, start + Duration::from_millis(after))
    };
    assert!(holds(3, &[1], 0), "alone it needs nobody");
    assert!(!holds(3, &[1, 2, 3], 0), "nobody has answered yet");
    lease_of.acknowledge(2, 3, start);
    assert!(holds(3, &[1, 2, 3], 899) && !holds(3, &[1, 2, 3], 900), "5% and 50 ms less than a second");
    assert!(!holds(4, &[1, 2, 3], 10), "of another term");
    assert!(!holds(3, &[1, 2, 3, 4, 5], 10), "two of five");
    lease_of.acknowledge(4, 3, start);
    assert!(holds(3, &[1, 2, 3, 4, 5], 10));
}

#[test]
fn an_answer_to_an_older_call_takes_nothing_back() {
    let (lease_of, start) = (QuorumLease::default(), Instant::now());
    let later = start + Duration::from_millis(500);
    lease_of.acknowledge(2, 3, later);
    lease_of.acknowledge(2, 3, start);
    lease_of.acknowledge(2, 2, later);
    assert!(lease_of.holds(1, 3, &[1, 2, 3], ELECTION, later + Duration::from_millis(800)));
}
