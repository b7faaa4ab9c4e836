//! Tests of the proxy's start-up.

use super::*;
use linkhatch_proxy::os::descriptors::parse_max_open_files;

#[test]
fn clients_have_room_beside_a_third_of_the_descriptors_and_no_limit_is_passed() {
    for sockets in [256, 384, 512, 1024, 2048, 4096, 65_536] {
        let ConnectionLimits { clients, backends } = ConnectionLimits::of(sockets);
        let taken = clients + clients / server::PLACES_PER_OVERFLOW;
        assert!(clients > sockets / 3 + 16, "{clients} of {sockets}");
        assert!(taken + backends + RESERVED_DESCRIPTORS <= sockets, "{taken} {backends} of {sockets}");
    }
}

/// A limit of this program's own would leave most of what is granted unused before 1,300 backends.
#[test]
fn all_granted_descriptors_are_divided_between_clients_and_backends() {
    for sockets in [1024, 4096] {
        let ConnectionLimits { clients, backends } = ConnectionLimits::of(sockets);
        let unused =
            sockets - RESERVED_DESCRIPTORS - backends - clients - clients / server::PLACES_PER_OVERFLOW;
        assert!(unused <= 1, "{unused} of {sockets}");
    }
    assert!(ConnectionLimits::of(4096).backends > 1300);
}

#[test]
fn beyond_the_default_the_system_limit_bounds_the_configured_one() {
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
