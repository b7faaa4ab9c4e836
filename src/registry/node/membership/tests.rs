//! Tests of which nodes count as members while members change.

use super::settled_voters;
use crate::registry::raft::Membership;
use std::collections::BTreeSet;

/// Guards against a node that is reported as a member too early: another member could then be stopped before the new
/// one can replace it, and nothing would be committed.
#[test]
fn a_node_counts_as_a_member_once_its_joining_is_complete() {
    let (before, after) = (BTreeSet::from([2, 3]), BTreeSet::from([1, 2, 3]));
    let joining = Membership::new(vec![before.clone(), after.clone()], None);
    assert_eq!(settled_voters(&joining), before);
    assert_eq!(settled_voters(&Membership::new(vec![after.clone()], None)), after);
    let leaving = Membership::new(vec![after, before.clone()], None);
    assert_eq!(settled_voters(&leaving), before);
}
