//! Backends that have just started.

use super::backends;
use super::common::*;
use linkhatch_proxy::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

#[test]
fn a_backend_in_slow_start_gets_part_of_its_traffic() {
    // Many proxies with little traffic together stay far below the load that overloads the backend.
    let settings = Settings {
        proxy_count: 100,
        slow_start_duration: 20.0,
        slow_start_min_capacity: 0.2,
        ..idempotent_settings()
    };
    let mut list = backends(4);
    let (mut starting, mut others) = (0, 0);
    for seed in 0..100 {
        let mut balancer = TestBalancer::seeded(seed, settings.clone(), &backends(4));
        for id in 0..40 {
            balancer.serve(id, 0.01);
            balancer.run_to(balancer.now + 0.24);
        }
        list[0].started_at = Some(balancer.now);
        balancer.event(Event::Endpoints(EndpointUpdate::Snapshot(&list)));
        for id in 100..108 {
            match balancer.serve(id, 0.01) {
                1 => starting += 1,
                _ => others += 1,
            }
            balancer.run_to(balancer.now + 0.24);
        }
    }
    let each = f64::from(others) / 3.0;
    assert!(
        f64::from(starting) < 0.8 * each,
        "{starting} against {each}: expected a fifth to a third, times the margin"
    );
    assert!(starting > 0, "slow start ends only if the backend gets requests");
}

#[test]
fn a_fleet_in_slow_start_is_not_overloaded() {
    let settings = Settings {
        proxy_count: 1,
        slow_start_duration: 20.0,
        slow_start_min_capacity: 0.1,
        ..idempotent_settings()
    };
    let mut list = backends(3);
    let mut balancer = TestBalancer::new(settings, &list);
    for id in 0..200 {
        balancer.serve(id, 0.05);
    }
    let start = balancer.now;
    list.iter_mut().for_each(|e| e.started_at = Some(start));
    balancer.event(Event::Endpoints(EndpointUpdate::Snapshot(&list)));
    let mut sent = 0;
    for id in 1000..1020 {
        let actions = balancer.request(id);
        for (id, backend) in attempts_sent(&actions) {
            sent += 1;
            balancer.end_attempt(id, 0, backend, Outcome::Served, 0.05);
        }
        balancer.run_to(balancer.now + 0.05);
    }
    // 20 requests per second at three backends with a tenth of their capacity: 3 x 0.1 x 6.7 overload each of
    // them.
    assert!(sent <= 9, "{sent}");
}

#[test]
fn an_overload_does_not_raise_the_slow_start_budget() {
    // Guards against this fault: the budget was proportional to the send rate. With clients that retry
    // without pause it was four times what the backends could serve, and a backend was overloaded.
    let settings = Settings {
        proxy_count: 1,
        slow_start_duration: 20.0,
        slow_start_min_capacity: 0.1,
        overload_factor: 2.0,
        ..idempotent_settings()
    };
    let mut list = backends(4);
    let mut balancer = TestBalancer::new(settings, &list);
    let mut starting = 0;
    for id in 0..2000 {
        let actions = balancer.request(id);
        if id == 1000 {
            list[0].started_at = Some(balancer.now);
            balancer.event(Event::Endpoints(EndpointUpdate::Snapshot(&list)));
        }
        starting += attempts_sent(&actions).iter().filter(|s| id > 1000 && s.1 == 1).count();
        // Ten of a hundred requests per second are served.
        if let Some((_, backend)) = attempts_sent(&actions).first().filter(|_| id % 10 == 0) {
            balancer.end_attempt(id, 0, *backend, Outcome::Served, 0.05);
        }
        let later_actions = balancer.run_to(balancer.now + 0.01);
        starting += attempts_sent(&without_times(later_actions.clone()))
            .iter()
            .filter(|s| id > 1000 && s.1 == 1)
            .count();
        balancer.confirm_cancels(&without_times(later_actions));
    }
    // For ten seconds each backend gets 2.5 requests per second, of which this one can serve a tenth to a
    // half.
    assert!(starting <= 12, "{starting}");
}

#[test]
fn unused_slow_start_budget_is_not_sent_at_once() {
    // Guards against this fault: proxies with little traffic saved their budgets up to a whole request, and
    // when the other members failed all proxies used their budgets within a second.
    let settings = Settings {
        proxy_count: 100,
        slow_start_duration: 20.0,
        slow_start_min_capacity: 0.1,
        overload_factor: 2.0,
        ..idempotent_settings()
    };
    let mut at_once = 0;
    for seed in 0..200 {
        let mut balancer = TestBalancer::seeded(seed, settings.clone(), &backends(4));
        for id in 0..40 {
            balancer.serve(id, 0.01);
            balancer.run_to(balancer.now + 0.49);
        }
        let mut list = backends(4);
        list[0].started_at = Some(balancer.now);
        balancer.event(Event::Endpoints(EndpointUpdate::Snapshot(&list)));
        balancer.run_to(balancer.now + 10.0);
        // Every other backend fails, and all proxies select the one in slow start.
        (2..=4).for_each(|id| list[id - 1].status = EndpointStatus::Removed);
        balancer.event(Event::Endpoints(EndpointUpdate::Snapshot(&list)));
        at_once += attempts_sent(&balancer.request(1000)).len();
    }
    // Two requests per second over a few members, at half of the capacity, with a margin of 0.8, for a
    // second.
    assert!(at_once <= 130, "{at_once} of 200");
}

/// One proxy of a fleet, its traffic and its outstanding attempts.
struct Member {
    balancer: TestBalancer,
    rate: f64,
    outstanding: Vec<(Time, u64, usize, u32, Outcome)>,
}

impl Member {
    /// Handles actions: the starting backend is slow, and one attempt in fifty times out.
    fn apply(&mut self, actions: Vec<Action>, rng: &mut SmallRng, starting: u32, reached_at: &mut Vec<Time>) {
        for action in actions {
            match action {
                Action::Send { id, backend, .. } => {
                    let attempt = self.balancer.sent_to[&id.0].len() - 1;
                    if backend.0 == starting {
                        reached_at.push(self.balancer.now);
                    }
                    let elapsed = if backend.0 == starting { 0.3 } else { 0.05 };
                    let times_out = rng.random::<f64>() < 0.02;
                    let (elapsed, outcome) =
                        if times_out { (1.9, Outcome::Timeout) } else { (elapsed, Outcome::Served) };
                    self.outstanding.push((self.balancer.now + elapsed, id.0, attempt, backend.0, outcome));
                }
                Action::Cancel { id, attempt } => {
                    self.outstanding.retain(|o| (o.1, o.2) != (id.0, attempt));
                    let more = self.balancer.confirm_cancels(&[Action::Cancel { id, attempt }]);
                    self.apply(more, rng, starting, reached_at);
                }
                _ => {}
            }
        }
    }
}

/// Within the overload duration a backend in slow start may get N attempts from all proxies, and by chance up
/// to 2 root N + 2 more.
#[test]
fn thirty_proxies_together_stay_within_slow_start_capacity() {
    const PROXIES: usize = 30;
    const BACKENDS: u32 = 8;
    const STEP: Time = 0.01;
    const START: Time = 30.0;
    let settings = Settings {
        slow_start_duration: 10.0,
        slow_start_min_capacity: 0.2,
        overload_factor: 3.0,
        overload_duration: 1.0,
        ..idempotent_settings()
    };
    // The cases are uneven traffic, bursts, several proxies that start at the same time, and restarts, all at
    // nearly the full capacity.
    for (name, uneven, bursts, new_at_start, restarts) in [
        ("even", false, false, 0, false),
        ("uneven", true, false, 0, false),
        ("bursts", true, true, 0, false),
        ("ten new at the start", true, true, 10, false),
        ("constant restarts", true, true, 5, true),
    ] {
        for seed in 0..4u64 {
            let mut rng = SmallRng::seed_from_u64(1000 + seed);
            let mut list = backends(BACKENDS);
            let start = |index: usize, now: Time, list: &[EndpointEntry], rng: &mut SmallRng| {
                let settings = Settings { proxy_count: PROXIES, proxy_index: index, ..settings.clone() };
                let mut balancer = Balancer::new(now, rng.random(), settings);
                balancer.handle(now, Event::Endpoints(EndpointUpdate::Cached(list)), &mut Vec::new());
                TestBalancer { inner: balancer, now, timers: vec![], sent_to: Default::default() }
            };
            let mut members: Vec<Member> = (0..PROXIES)
                .map(|index| {
                    let rate = if uneven && index % 6 == 0 { 16.0 } else { 4.0 };
                    Member { balancer: start(index, 0.0, &list, &mut rng), rate, outstanding: vec![] }
                })
                .collect();
            let capacity = members.iter().map(|m| m.rate).sum::<f64>() / f64::from(BACKENDS) / 0.95;
            let starting = 1 + rng.random_range(0..BACKENDS);
            let (mut reached_at, mut next_id, mut now, mut notified) = (Vec::new(), 0, 0.0, false);
            while now < START + settings.slow_start_duration {
                now += STEP;
                if !notified && now >= START {
                    notified = true;
                    list[starting as usize - 1].started_at = Some(now);
                    for (index, member) in members.iter_mut().enumerate() {
                        match index < new_at_start {
                            true => {
                                (member.balancer, member.outstanding) =
                                    (start(index, now, &list, &mut rng), vec![]);
                            }
                            false => {
                                drop(
                                    member.balancer.event(Event::Endpoints(EndpointUpdate::Snapshot(&list))),
                                );
                            }
                        }
                    }
                    reached_at.clear();
                }
                if restarts && rng.random::<f64>() < STEP {
                    let index = rng.random_range(0..PROXIES);
                    (members[index].balancer, members[index].outstanding) =
                        (start(index, now, &list, &mut rng), vec![]);
                }
                for member in &mut members {
                    let due = without_times(member.balancer.run_to(now));
                    member.apply(due, &mut rng, starting, &mut reached_at);
                    while let Some(position) = member.outstanding.iter().position(|o| o.0 <= now) {
                        let (_, id, attempt, backend, outcome) = member.outstanding.swap_remove(position);
                        let actions = member.balancer.end_attempt(id, attempt, backend, outcome, 0.05);
                        member.apply(actions, &mut rng, starting, &mut reached_at);
                    }
                    let burst = if bursts && now % 5.0 < 1.0 { 2.0 } else { 1.0 };
                    if rng.random::<f64>() < member.rate * burst * STEP {
                        next_id += 1;
                        let actions = member.balancer.request(next_id);
                        member.apply(actions, &mut rng, starting, &mut reached_at);
                    }
                }
            }
            for (i, at) in reached_at.iter().enumerate() {
                let count =
                    reached_at[i..].iter().take_while(|t| **t < at + settings.overload_duration).count()
                        as f64;
                let progress = ((at - START) / settings.slow_start_duration).clamp(0.0, 1.0);
                let fraction =
                    settings.slow_start_min_capacity + (1.0 - settings.slow_start_min_capacity) * progress;
                let allowed = settings.overload_factor * fraction * capacity * settings.overload_duration;
                let max_count = allowed + 2.0 * allowed.sqrt() + 2.0;
                assert!(count <= max_count, "{name}, seed {seed}: {count} of {max_count:.1} at {at:.2}");
            }
            assert!(reached_at.len() > 20, "{name}, seed {seed}: too few requests: {}", reached_at.len());
        }
    }
}
