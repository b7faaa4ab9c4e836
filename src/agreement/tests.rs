//! Tests of the agreement.

use super::*;

#[test]
fn members_are_shown_as_ranges_and_read_back() {
    for (slots, text) in [(vec![], ""), (vec![3], "3"), (vec![0, 1, 2, 5, 7, 8], "0-2,5,7-8")] {
        let members = state::Members { revision: 9, slots };
        let shown = ShownMembers::from(&members);
        assert_eq!(shown.slots, text);
        assert_eq!(state::Members::from(shown), members);
    }
    let nonsense = ShownMembers { revision: 1, slots: "x,1-,2-1,5,4000000000-4100000000".into() };
    assert_eq!(state::Members::from(nonsense).slots, [5]);
}
