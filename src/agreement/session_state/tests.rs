//! Tests of a proxy's session state.

use super::*;

const VALIDITY: Duration = Duration::from_millis(900);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn a_proxy_is_attached_once_the_required_revisions_are_applied_until_the_renewal_is_no_longer_valid() {
    let (mut proxy, start) = (SessionState::new(VALIDITY), Instant::now());
    let number = proxy.begin_open(start);
    proxy.granted(number - 1, 7, 3, RequiredRevisions::default());
    assert_eq!(proxy.session(), None, "an answer to an earlier call is void");
    proxy.granted(number, 9, 3, RequiredRevisions { agreed: 5, list: 4 });
    assert_eq!(proxy.attachment(start), Attachment::Detached, "the required revisions are not applied yet");
    proxy.list_applied(4);
    assert!(!proxy.receive(Announcement { revision: 5, members: 5, ..Announcement::default() }, |_| true));
    let attached = |version, members| Attachment::Attached { slot: 3, version, members };
    assert_eq!(proxy.attachment(start + ms(899)), attached(0, 5));
    assert_eq!(proxy.attachment(start + ms(900)), Attachment::Detached);
    // An offer is acknowledged, and applied on its commit; an outdated announcement changes nothing.
    assert!(proxy.receive(Announcement { revision: 8, members: 5, committed: 0, offered: 7 }, |_| true));
    assert_eq!(proxy.renewal(start).expect("a session").acknowledged, 7);
    proxy.renewed(9, start + ms(300), RequiredRevisions { agreed: 10, list: 4 });
    assert_eq!(
        proxy.attached_until(),
        Some(start + VALIDITY),
        "the commit that the reply names has not arrived"
    );
    assert!(!proxy.receive(Announcement { revision: 10, members: 5, committed: 7, offered: 0 }, |_| true));
    assert!(!proxy.receive(Announcement { revision: 8, members: 5, committed: 0, offered: 7 }, |_| true));
    assert_eq!(proxy.attachment(start + ms(1_100)), attached(7, 5));
    assert_eq!(proxy.attached_until(), Some(start + ms(300) + VALIDITY));
    // A session whose attachment has expired may still be renewed, but not one that is lost.
    proxy.renewed(9, start + ms(2_000), RequiredRevisions { agreed: 10, list: 4 });
    assert_eq!(proxy.attachment(start + ms(2_100)), attached(7, 5));
    proxy.lost(8);
    assert_eq!(proxy.attachment(start + ms(2_100)), attached(7, 5), "the lost session is another one");
    proxy.lost(9);
    assert_eq!((proxy.attachment(start + ms(2_100)), proxy.renewal(start)), (Attachment::Detached, None));
}

#[test]
fn an_unsupported_version_is_reported_once_and_blocks_when_committed() {
    let (mut proxy, start) = (SessionState::new(VALIDITY), Instant::now());
    let number = proxy.begin_open(start);
    proxy.granted(number, 9, 0, RequiredRevisions::default());
    assert!(proxy.receive(Announcement { revision: 3, offered: 3, ..Announcement::default() }, |v| v != 3));
    assert!(!proxy.receive(Announcement { revision: 3, offered: 3, ..Announcement::default() }, |v| v != 3));
    assert_eq!((proxy.unsupported(), proxy.is_blocked(), proxy.acknowledged()), (Some(3), false, 0));
    assert!(matches!(proxy.attachment(start), Attachment::Attached { .. }));
    proxy.receive(Announcement { revision: 4, ..Announcement::default() }, |v| v != 3);
    assert_eq!(proxy.unsupported(), None, "withdrawn");
    proxy.receive(Announcement { revision: 5, committed: 3, ..Announcement::default() }, |v| v != 3);
    assert!(proxy.is_blocked());
    assert_eq!(proxy.attachment(start), Attachment::Detached);
}
