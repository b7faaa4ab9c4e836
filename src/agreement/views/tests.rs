//! Tests of the views.

use super::*;

#[test]
fn members_are_shown_as_ranges_and_read_back() {
    for (slots, text) in [(vec![], ""), (vec![3], "3"), (vec![0, 1, 2, 5, 7, 8], "0-2,5,7-8")] {
        let members = Members { revision: 9, slots };
        let view = MembersView::from(&members);
        assert_eq!(view.slots, text);
        assert_eq!(Members::from(view), members);
    }
    let malformed = MembersView { revision: 1, slots: "x,1-,2-1,5,4000000000-4100000000".into() };
    assert_eq!(Members::from(malformed).slots, [5]);
}
