//! Tests of `groups`.

use super::*;

#[test]
fn expressions_select_members_and_the_same_seed_selects_the_same_ones() {
    let group = Group::parse("proxies 70%").expect("a group");
    let drawn = group.choose((0..20).collect(), 3);
    assert_eq!((drawn.len(), &drawn), (14, &group.choose((0..20).collect(), 3)));
    assert_ne!(drawn, group.choose((0..20).collect(), 4));
    let range = Group::parse("backends zone b kind fast 2-3").expect("a group");
    assert_eq!((range.zone.as_deref(), range.kind.as_deref()), (Some("b"), Some("fast")));
    assert_eq!(range.choose(vec![5, 6, 7, 8], 1), vec![7, 8]);
    assert!(Group::parse("list leader").expect("a group").leader);
    assert_eq!(Group::parse("zone a").expect("a group").members, MemberKind::All);
    for bad in ["", "proxy 1", "proxies x", "backends tier", "proxies kind a"] {
        assert!(Group::parse(bad).is_err(), "{bad}");
    }
}
