//! The choice of a backend in the subset.

use super::backends;
use super::common::*;
use linkhatch_proxy::*;

#[test]
fn requests_are_balanced_by_weight() {
    let list = [EndpointEntry { weight: 3.0, ..endpoint(1) }, endpoint(2)];
    let mut balancer = TestBalancer::new(idempotent_settings(), &list);
    let mut counts = [0, 0];
    for id in 0..40 {
        counts[attempts_sent(&balancer.request_for(id, 2.0))[0].1 as usize - 1] += 1;
    }
    assert!((26..=34).contains(&counts[0]), "{counts:?}");
}

#[test]
fn requests_cross_zones_only_when_the_own_zone_is_much_busier() {
    // Guards against these faults: requests crossed zones without benefit, and a zone got more traffic than
    // its own backends can serve.
    let list: Vec<EndpointEntry> = (1..=8).map(|i| EndpointEntry { zone: i % 2, ..endpoint(i) }).collect();
    let mut balancer =
        TestBalancer::new(Settings { cross_zone_cost: 0.2, zone: 1, ..idempotent_settings() }, &list);
    for id in 0..40 {
        assert_eq!(balancer.serve(id, 0.05) % 2, 1, "backends of the own zone are idle");
    }
    let crossed = (100..140)
        .flat_map(|id| attempts_sent(&balancer.request(id)))
        .filter(|(_, backend)| backend % 2 == 0)
        .count();
    assert!((1..20).contains(&crossed), "{crossed}");
    let mut balancer = TestBalancer::new(Settings { zone: 1, ..idempotent_settings() }, &list);
    let crossed = (0..40).filter(|id| balancer.serve(*id, 0.05).is_multiple_of(2)).count();
    assert!(crossed > 5, "without a cost no zone is preferred: {crossed}");
}

/// With a single proxy and very many equal backends, rounding errors must not exclude all of them.
#[test]
fn a_backend_is_selected_among_thousands_of_equals() {
    for count in [1_300, 4_000] {
        let mut balancer = TestBalancer::new(idempotent_settings(), &backends(count));
        for id in 0..50 {
            assert_eq!(attempts_sent(&balancer.request(id)).len(), 1, "{count} backends, request {id}");
        }
    }
}
