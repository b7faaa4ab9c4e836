//! Tests of the program.

use super::*;

#[test]
fn clients_have_room_beside_a_third_of_the_descriptors_and_no_limit_is_passed() {
    for sockets in [256, 384, 512, 1024] {
        let (clients, backends) = shared_out(sockets);
        let taken = clients + clients / server::OVERFLOW;
        assert!(clients > sockets / 3 + 16, "{clients} of {sockets}");
        assert!(taken + backends + OWN_DESCRIPTORS <= sockets, "{taken} {backends} of {sockets}");
    }
}
