//! Tests of the proxy's start-up.

use super::*;
use linkhatch_proxy::os::descriptors::parse_max_open_files;

#[test]
fn clients_get_more_than_a_third_of_the_descriptors_and_the_limit_is_not_exceeded() {
    for sockets in [256, 384, 512, 1024, 2048, 4096, 65_536] {
        let ConnectionLimits { clients, backends } = ConnectionLimits::from_descriptors(sockets);
        let used_by_clients = clients + clients / server::PLACES_PER_OVERFLOW;
        assert!(clients > sockets / 3 + 16, "{clients} of {sockets}");
        assert!(
            used_by_clients + backends + RESERVED_DESCRIPTORS <= sockets,
            "{used_by_clients} {backends} of {sockets}"
        );
    }
}

/// A built-in limit would leave most of the granted descriptors unused by a proxy of 1,300 backends.
#[test]
fn all_granted_descriptors_are_divided_between_clients_and_backends() {
    for sockets in [1024, 4096] {
        let ConnectionLimits { clients, backends } = ConnectionLimits::from_descriptors(sockets);
        let unused =
            sockets - RESERVED_DESCRIPTORS - backends - clients - clients / server::PLACES_PER_OVERFLOW;
        assert!(unused <= 1, "{unused} of {sockets}");
    }
    assert!(ConnectionLimits::from_descriptors(4096).backends > 1300);
}

#[test]
fn a_configured_limit_above_the_default_is_capped_by_the_system_limit() {
    let limits = "Limit                     Soft Limit           Hard Limit           Units     \n\
                  Max processes             63704                63704                processes \n\
                  Max open files            2048                 524288               files     \n";
    assert_eq!(parse_max_open_files(limits), Some(2048));
    assert_eq!(parse_max_open_files(&limits.replace("2048 ", "unlimited ")), Some(usize::MAX));
    assert_eq!(parse_max_open_files("nothing of the kind"), None);
    assert_eq!(allowed_descriptors(256), 256);
    assert_eq!(allowed_descriptors(1024), 1024);
    let granted = allowed_descriptors(usize::MAX);
    assert_eq!(granted, descriptors::max_open_files().unwrap());
}

/// Guards against a proxy whose connections alone exceed its memory, and against too few places for requests: clients
/// may use a third of the descriptors.
#[test]
fn a_small_memory_limits_the_connections_but_leaves_a_place_for_every_request() {
    for sockets in [256, 512, 640, 1024] {
        for memory_mb in [32, 48, 64, 192] {
            let by_descriptors = ConnectionLimits::from_descriptors(sockets);
            let limits = ConnectionLimits::new(sockets, memory_mb);
            assert!(limits.max_open() <= memory::max_connections(memory_mb), "{limits:?}, {memory_mb} MB");
            assert!(limits.clients > sockets / 3 + 16, "{limits:?}, {sockets} descriptors, {memory_mb} MB");
            if memory_mb >= 48 {
                assert_eq!(limits, by_descriptors, "{sockets} descriptors, {memory_mb} MB");
            }
        }
    }
}
