//! Backends that fail, hang or are slow.

use super::backends;
use super::common::*;
use linkhatch_proxy::*;

#[test]
fn a_fast_failing_backend_is_avoided() {
    // It always has few attempts in flight.
    let mut settings = idempotent_settings();
    settings.max_attempts = 1;
    let mut balancer = TestBalancer::new(settings, &backends(2));
    let mut failed = 0;
    for id in 0..200 {
        let backend = attempts_sent(&balancer.request(id))[0].1;
        balancer.now += 0.02;
        if backend == 1 {
            failed += 1;
            balancer.end_attempt(id, 0, 1, Outcome::Error, 0.001);
        } else {
            balancer.end_attempt(id, 0, 2, Outcome::Served, 0.02);
        }
    }
    assert!(failed < 20, "{failed}");
    // Its slowness decays, and it is tried again.
    balancer.run_to(balancer.now + 60.0);
    let retried = (0..50).filter(|id| balancer.serve(1000 + id, 0.01 + 0.02 * (id % 3) as f64) == 1).count();
    assert!(retried > 10, "{retried}");
}

#[test]
fn a_new_backend_has_the_slowness_of_its_machine_type() {
    // Guards against this fault: each of a hundred proxies had to measure the speed of every backend itself,
    // and again after each restart or replacement.
    let machines = |ids: std::ops::Range<u32>| -> Vec<EndpointEntry> {
        ids.map(|id| EndpointEntry { machine_type: id % 2, ..endpoint(id) }).collect()
    };
    let mut balancer = TestBalancer::new(idempotent_settings(), &machines(1..3));
    for id in 0..200 {
        let backend = attempts_sent(&balancer.request(id))[0].1;
        let elapsed = if backend % 2 == 1 { 0.09 } else { 0.03 };
        balancer.run_to(balancer.now + elapsed);
        balancer.end_attempt(id, 0, backend, Outcome::Served, elapsed);
    }
    // All backends are replaced. By machine type, a fast backend with two requests is as good as a slow one
    // without any.
    balancer.event(Event::Endpoints(EndpointUpdate::Snapshot(&machines(11..13))));
    let used = (1000..1006).map(|id| attempts_sent(&balancer.request(id))[0].1).collect::<Vec<_>>();
    assert!(used.iter().filter(|backend| **backend == 12).count() >= 4, "{used:?}");
}

#[test]
fn response_times_are_relative_to_the_work_estimate() {
    // Guards against this fault: because a request was heavy, its backend was treated as slow and a hedged
    // attempt was sent. Each of a hundred proxies sends too few requests to one backend for an average over
    // them.
    let mut balancer = TestBalancer::new(idempotent_settings(), &backends(2));
    let send_request = |balancer: &mut TestBalancer, id: u64, work: Time| {
        let work = Some(work);
        attempts_sent(&balancer.event(Event::Request(Request {
            id: RequestId(id),
            timeout: 2.0,
            work_estimate: work,
            ..Request::default()
        })))
    };
    // One request in twenty is heavy. Response times have a fixed part and a part proportional to the work.
    for id in 0..200 {
        let heavy = id % 20 == 19;
        let backend = send_request(&mut balancer, id, if heavy { 1.6 } else { 0.1 })[0].1;
        let elapsed = if heavy { 0.387 } else { 0.06 };
        balancer.run_to(balancer.now + elapsed);
        balancer.end_attempt(id, 0, backend, Outcome::Served, elapsed);
    }
    balancer.timers.clear();
    let start = balancer.now;
    send_request(&mut balancer, 1000, 1.6);
    assert_eq!(
        attempts_sent(&without_times(balancer.run_to(start + 0.3))),
        [],
        "a heavy request may take longer"
    );
    balancer.event(Event::ClientDisconnected(RequestId(1000)));
    balancer.timers.clear();
    let start = balancer.now;
    send_request(&mut balancer, 1001, 0.1);
    assert_eq!(
        attempts_sent(&without_times(balancer.run_to(start + 0.3))).len(),
        1,
        "a light request may not take that long"
    );
}

#[test]
fn a_hung_backend_is_avoided() {
    // Guards against this fault: attempts at a hung backend time out after their requests have got their
    // final answers, and such timeouts had no effect.
    let mut settings = idempotent_settings();
    settings.max_attempts = 1;
    let mut balancer = TestBalancer::new(settings, &backends(2));
    for id in 0..20 {
        balancer.serve(id, 0.01 + 0.01 * (id % 3) as f64);
    }
    let mut hung = 0;
    for id in 1000..1040 {
        let backend = attempts_sent(&balancer.request(id))[0].1;
        if backend == 1 {
            hung += 1;
            balancer.run_to(balancer.now + 1.1);
            balancer.end_attempt(id, 0, 1, Outcome::Timeout, 1.0);
        } else {
            balancer.run_to(balancer.now + 0.02);
            balancer.end_attempt(id, 0, 2, Outcome::Served, 0.02);
        }
    }
    assert!(hung <= 5, "{hung} of 40 went to the hung backend");
}
