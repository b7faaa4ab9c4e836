//! Load shedding at the entry tier.

use super::backends;
use super::common::*;
use linkhatch_proxy::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

#[test]
fn only_the_entry_tier_sheds_load() {
    for tier in [0, 1] {
        let mut balancer = TestBalancer::new(Settings { tier, ..idempotent_settings() }, &backends(4));
        for id in 0..100 {
            balancer.serve(id, 0.05);
        }
        let mut shed = 0;
        for id in 1000..1100 {
            shed += usize::from(is_rejected(&balancer.request(id), id));
            balancer.run_to(balancer.now + 0.005);
        }
        if tier == 0 { assert!(shed > 50, "{shed}") } else { assert_eq!(shed, 0) }
    }
}

#[test]
fn a_long_tail_of_response_times_is_no_overload() {
    // The number in flight is that expected from the mean response time and the send rate. Most of it is due
    // to one response in ten that takes nine times as long.
    let mut balancer = TestBalancer::new(Settings { tier: 0, ..idempotent_settings() }, &backends(20));
    let mut outstanding: Vec<(Time, u64, u32, Time)> = Vec::new();
    let mut rejections = 0;
    for id in 0..3000_u64 {
        let now = id as f64 * 0.01;
        while let Some(next) = outstanding.iter().position(|(at, ..)| *at <= now) {
            let (at, done, backend, elapsed) = outstanding.remove(next);
            balancer.run_to(at.max(balancer.now));
            let actions = balancer.end_attempt(done, 0, backend, Outcome::Served, elapsed);
            balancer.confirm_cancels(&actions);
        }
        balancer.run_to(now);
        let elapsed = if id % 10 == 9 { 0.9 } else { 0.1 };
        let actions = balancer.request(id);
        rejections += usize::from(id >= 1000 && is_rejected(&actions, id));
        outstanding.extend(
            attempts_sent(&actions).iter().map(|(id, backend)| (now + elapsed, *id, *backend, elapsed)),
        );
    }
    assert_eq!(rejections, 0);
}

/// Sends random arrivals, one per `gap` on average, to balancers that have just started, with a mean response
/// time of 0.55 s. Returns how many of the requests `counted` were rejected, and their number.
fn rejections_at_normal_load(gap: Time, counted: std::ops::Range<u64>) -> (u64, u64) {
    let (mut rejections, mut arrivals) = (0, 0);
    for seed in 0..20 {
        let mut settings = Settings { tier: 0, ..idempotent_settings() };
        settings.classes[0].latency_objective = 2.5;
        let mut balancer = TestBalancer::seeded(seed, settings, &backends(16));
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut interval = |mean: Time| -mean * (1.0 - rng.random::<f64>()).ln();
        let mut outstanding: Vec<(Time, u64, u32, Time)> = Vec::new();
        let mut now = 0.0;
        for id in 0..counted.end {
            now += interval(gap);
            outstanding.sort_by(|a, b| a.0.total_cmp(&b.0));
            while outstanding.first().is_some_and(|next| next.0 <= now) {
                let (at, done, backend, elapsed) = outstanding.remove(0);
                balancer.run_to(at);
                let actions = balancer.end_attempt(done, 0, backend, Outcome::Served, elapsed);
                balancer.confirm_cancels(&actions);
            }
            balancer.run_to(now);
            let actions = balancer.request_for(id, 6.0);
            if counted.contains(&id) {
                arrivals += 1;
                rejections += u64::from(is_rejected(&actions, id));
            }
            let elapsed = interval(0.55);
            outstanding.extend(
                attempts_sent(&actions).iter().map(|(id, backend)| (now + elapsed, *id, *backend, elapsed)),
            );
        }
    }
    (rejections, arrivals)
}

#[test]
fn variation_among_few_requests_is_no_overload() {
    // Guards against this fault: a proxy of a large fleet with two requests in flight on average shed load at
    // four, and rejected one request in ten at normal load.
    let (rejections, arrivals) = rejections_at_normal_load(0.3, 20..120);
    assert!(rejections * 30 < arrivals, "{rejections} of {arrivals}");
}

#[test]
fn requests_in_flight_after_a_start_are_no_overload() {
    // Guards against this fault: the baseline of a proxy that had just started was the mean of the first
    // responses only, which are the fastest. It treated its normal load as overload and rejected one request
    // in seven.
    let (rejections, arrivals) = rejections_at_normal_load(0.1, 0..40);
    assert!(rejections * 30 < arrivals, "{rejections} of {arrivals}");
}

#[test]
fn fewer_backends_get_fewer_requests() {
    // Guards against this fault: during a release the requests of the whole fleet were sent to the only
    // backend that remained in service.
    let admitted = |status: EndpointStatus| {
        let mut balancer = TestBalancer::new(Settings { tier: 0, ..idempotent_settings() }, &backends(4));
        for id in 0..400 {
            balancer.request(4 * id);
            let mut batch: Vec<_> = (4 * id + 1..4 * id + 4).map(|id| (id, balancer.request(id))).collect();
            batch.push((4 * id, vec![]));
            balancer.run_to(balancer.now + 0.1);
            for (id, _) in batch {
                if let Some(backend) = balancer.sent_to.get(&id).map(|backend| backend[0]) {
                    let actions = balancer.end_attempt(id, 0, backend, Outcome::Served, 0.1);
                    balancer.confirm_cancels(&actions);
                }
            }
        }
        let others: Vec<_> = backends(4).into_iter().skip(1).map(|e| EndpointEntry { status, ..e }).collect();
        balancer.event(Event::Endpoints(EndpointUpdate::Changes(&others)));
        (10_000..10_100).filter(|id| !attempts_sent(&balancer.request(*id)).is_empty()).count()
    };
    let (few, all) = (admitted(EndpointStatus::Draining), admitted(EndpointStatus::InService));
    assert!(few <= 5 && all > 6, "{few} {all}");
}

#[test]
fn low_weight_and_over_quota_requests_are_shed_first() {
    let mut settings = idempotent_settings();
    settings.tier = 0;
    settings.classes.push(Class { priority_weight: 10.0, ..class(Idempotency::Idempotent) });
    settings.quotas = vec![1.0, 1000.0];
    settings.over_quota_weight = 0.01;
    let mut balancer = TestBalancer::new(settings, &backends(4));
    let mut shed = [[0; 2]; 2];
    let mut waiting = std::collections::VecDeque::new();
    for round in 0..4000u64 {
        let (class, tenant) = (round as usize % 2, round as usize / 2 % 2);
        let request = Request {
            id: RequestId(round),
            class,
            tenant: Some(tenant),
            key: None,
            timeout: 2.0,
            work_estimate: None,
        };
        let actions = balancer.event(Event::Request(request));
        if round > 500 {
            shed[class][tenant] += usize::from(is_rejected(&actions, round));
        }
        waiting.extend(attempts_sent(&actions).into_iter().map(|(id, backend)| (id, backend, balancer.now)));
        // The backends respond in order of arrival: first to all requests, later to seven in ten.
        if (round < 500 || round % 10 < 7)
            && let Some((id, backend, sent)) = waiting.pop_front()
        {
            let elapsed = balancer.now - sent;
            let actions = balancer.end_attempt(id, 0, backend, Outcome::Served, elapsed.max(0.001));
            balancer.confirm_cancels(&actions);
        }
        let actions = without_times(balancer.run_to(balancer.now + 0.005));
        balancer.confirm_cancels(&actions);
    }
    assert!(shed[0][0] >= shed[0][1] && shed[0][1] >= shed[1][1], "{shed:?}");
    assert!(shed[0][0] > 2 * shed[1][1], "{shed:?}");
}

#[test]
fn hung_backends_do_not_cause_load_shedding() {
    // Guards against this fault: requests stuck at a few hung backends were treated as an overload of the
    // fleet.
    let mut settings = idempotent_settings();
    (settings.tier, settings.hedged_requests) = (0, false);
    let mut balancer = TestBalancer::new(settings, &backends(8));
    for id in 0..60 {
        balancer.serve(id, 0.02);
    }
    let mut shed = 0;
    for id in 100..400 {
        let actions = balancer.request(id);
        shed += usize::from(is_rejected(&actions, id));
        let later_actions = without_times(balancer.run_to(balancer.now + 0.01));
        balancer.confirm_cancels(&later_actions);
        // Backends 1 to 6 hang.
        if let Some((_, backend)) = attempts_sent(&actions).first().filter(|s| s.1 > 6) {
            balancer.end_attempt(id, 0, *backend, Outcome::Served, 0.01);
        }
    }
    assert!(shed < 60, "{shed} of 300");
}

/// Requests arrive together after a stall of the process, at backends that respond in a fraction of a
/// millisecond. There are as many as in an overload, but they are answered at once.
#[test]
fn requests_admitted_after_a_stall_are_no_overload() {
    let mut settings = Settings { tier: 0, ..idempotent_settings() };
    settings.classes[0].latency_objective = 0.5;
    let mut rejections = 0;
    for (rate, stall) in [(20.0, 0.2), (192.0, 0.02), (192.0, 0.05), (2000.0, 0.005)] {
        let mut balancer = TestBalancer::seeded(7, settings.clone(), &backends(8));
        for id in 0..10_000 {
            // The process stalls in every hundredth round, and all requests of that time arrive together.
            let stalls = id % 100 == 99;
            let arrivals = if stalls { (rate * stall) as u64 } else { 1 };
            balancer.run_to(balancer.now + if stalls { stall } else { 1.0 / rate });
            let mut outstanding = Vec::new();
            for n in 0..arrivals {
                let actions = balancer.request(100 * id + n);
                rejections += usize::from(is_rejected(&actions, 100 * id + n));
                outstanding.extend(attempts_sent(&actions));
            }
            balancer.run_to(balancer.now + 0.0003);
            for (id, backend) in outstanding {
                let actions = balancer.end_attempt(id, 0, backend, Outcome::Served, 0.0003);
                balancer.confirm_cancels(&actions);
            }
        }
    }
    assert_eq!(rejections, 0);
}

/// Requests arrived on new connections while the process was paused; all backends are idle.
#[test]
fn requests_after_a_pause_are_served_by_idle_backends() {
    let mut settings = Settings { tier: 0, ..idempotent_settings() };
    settings.classes[0].latency_objective = 2.5;
    settings.classes[0].deadline = 6.0;
    let mut balancer = TestBalancer::seeded(7, settings, &backends(4));
    for id in 0..400 {
        balancer.run_to(balancer.now + 0.01);
        balancer.serve(id, 0.003);
    }
    balancer.run_to(balancer.now + 0.45);
    let rejections = (1000..1240).filter(|id| is_rejected(&balancer.request_for(*id, 2.0), *id)).count();
    assert_eq!(rejections, 0, "of 240 requests that take 3 ms each at four backends");
}
