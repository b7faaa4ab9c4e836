//! The subset of the backends that a proxy uses.

use super::backends;
use super::common::*;
use linkhatch_proxy::*;

/// The backends that are selected for many requests without a response.
fn backends_used(balancer: &mut TestBalancer, from: u64) -> std::collections::BTreeSet<u32> {
    (from..from + 60)
        .flat_map(|id| attempts_sent(&balancer.request(id)))
        .map(|(_, backend)| backend)
        .collect()
}

#[test]
fn a_subset_is_small_and_stable() {
    let mut balancer =
        TestBalancer::new(Settings { proxy_count: 50, ..idempotent_settings() }, &backends(40));
    let before = backends_used(&mut balancer, 0);
    assert!(before.len() <= 4, "{before:?}");
    let mut list = backends(40);
    let removed = *before.iter().next().unwrap();
    list.retain(|e| e.id.0 != removed);
    balancer.event(Event::Endpoints(EndpointUpdate::Snapshot(&list)));
    let after = backends_used(&mut balancer, 100);
    assert!(!after.contains(&removed));
    assert!(before.iter().filter(|m| **m != removed).all(|m| after.contains(m)), "{before:?} {after:?}");
}

#[test]
fn costly_connections_keep_a_busy_subset_small() {
    // Guards against this fault: the connections of all proxies to many members exceeded what backends
    // accept, and connects to healthy backends failed.
    let members = |costly_connections| {
        let settings = Settings { proxy_count: 50, costly_connections, ..idempotent_settings() };
        let mut balancer = TestBalancer::new(settings, &backends(40));
        // Eight requests in flight on average, for longer than the averaging window.
        let mut outstanding = std::collections::VecDeque::new();
        for id in 0..600 {
            outstanding.extend(
                attempts_sent(&balancer.request(id))
                    .into_iter()
                    .map(|(id, backend)| (id, backend, balancer.now)),
            );
            if outstanding.len() > 8 {
                let (id, backend, sent) = outstanding.pop_front().unwrap();
                let actions = balancer.end_attempt(id, 0, backend, Outcome::Served, balancer.now - sent);
                balancer.confirm_cancels(&actions);
            }
            let later_actions = without_times(balancer.run_to(balancer.now + 0.02));
            balancer.confirm_cancels(&later_actions);
        }
        backends_used(&mut balancer, 1000).len()
    };
    let (without_cost, costly) = (members(false), members(true));
    assert!(without_cost > 2 * costly, "{without_cost} and {costly}");
}

#[test]
fn every_backend_is_in_a_subset() {
    // Guards against this fault: with random subsets of a few proxies some backends were in no subset.
    for (proxies, count) in [(3, 20), (1, 9), (7, 30), (40, 60)] {
        let mut all = std::collections::BTreeSet::new();
        for index in 0..proxies {
            let settings = Settings { proxy_count: proxies, proxy_index: index, ..idempotent_settings() };
            all.extend(backends_used(&mut TestBalancer::seeded(index as u64, settings, &backends(count)), 0));
        }
        assert_eq!(all.len() as u32, count, "{proxies} proxies and {count} backends");
    }
}

#[test]
fn every_subset_has_two_healthy_members_beside_two_outliers() {
    // Guards against this fault: with as many proxies as backends, subsets had two members. If one of them
    // was an outlier, all requests were sent to the other, and retries had no healthy backend.
    for proxies in [16, 28, 100] {
        for index in 0..proxies {
            let settings = Settings { proxy_count: proxies, proxy_index: index, ..idempotent_settings() };
            let healthy = backends_used(&mut TestBalancer::seeded(index as u64, settings, &backends(16)), 0);
            let healthy = healthy.iter().filter(|id| **id > 2).count();
            assert!(healthy >= 2, "{healthy} members of proxy {index} are healthy");
        }
    }
}
