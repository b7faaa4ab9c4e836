//! Tests of `model`.

use super::*;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rand_distr::{Distribution, Exp};

fn kind() -> Kind {
    Kind { queue: usize::MAX, overload_threshold: f64::INFINITY, ..Kind::default() }
}

/// The mean wait of `count` Poisson arrivals at `load` on one core, in units of the mean service time.
fn mean_wait(load: f64, service: impl Fn(&mut SmallRng) -> f64, count: u64) -> f64 {
    let mut rng = SmallRng::seed_from_u64(11);
    let gaps = Exp::new(load).expect("a rate");
    let (mut model, mut done, mut now, mut total_wait) =
        (Model::new(kind(), 1.0, 0.0, false), Vec::new(), 0.0, 0.0);
    for job in 0..count {
        now += gaps.sample(&mut rng);
        model.advance(now, &mut done);
        model.arrive(job, service(&mut rng), f64::INFINITY).expect("accepted");
        total_wait += done.drain(..).map(|d: Done| d.waited).sum::<f64>();
    }
    model.advance(now + 1e3, &mut done);
    (total_wait + done.iter().map(|d| d.waited).sum::<f64>()) / count as f64
}

#[test]
fn waits_match_queueing_theory() {
    for load in [0.5, 0.7, 0.9] {
        let exponential = Exp::new(1.0).expect("a rate");
        let markov = mean_wait(load, |rng| exponential.sample(rng), 1_000_000);
        let constant = mean_wait(load, |_| 1.0, 1_000_000);
        // Pollaczek-Khinchine formula: the mean wait is rho / (1 - rho) for M/M/1 and half of that for M/D/1.
        let theory = load / (1.0 - load);
        eprintln!("load {load}: M/M/1 {markov:.4} ({theory:.4}), M/D/1 {constant:.4} ({:.4})", theory / 2.0);
        assert!((markov / theory - 1.0).abs() < 0.05, "M/M/1 at {load}: {markov} against {theory}");
        assert!((constant / (theory / 2.0) - 1.0).abs() < 0.05, "M/D/1 at {load}: {constant}");
    }
}

#[test]
fn a_cold_backend_starts_at_its_capacity_fraction_and_fails_only_above_four_times_its_capacity_for_three_seconds()
 {
    for (multiple, fails) in [(3.5, false), (4.8, true)] {
        let mut model = Model::new(Kind { queue: 10, ..kind() }, 1.0, 0.0, true);
        assert!((model.capacity() - 0.31).abs() < 1e-9);
        let (mut done, mut job) = (Vec::new(), 0);
        for step in 0..350 {
            let now = f64::from(step) * 0.01;
            model.advance(now, &mut done);
            let _ = model.arrive(job, model.capacity() * multiple * 0.01, f64::INFINITY);
            job += 1;
        }
        assert_eq!(model.fallen, fails, "at {multiple} times its capacity");
    }
    let mut model = Model::new(kind(), 2.0, 0.0, true);
    model.advance(8.9, &mut Vec::new());
    assert!(!model.is_cold() && model.capacity() == 2.0);
}

#[test]
fn an_overloaded_backend_slows_down_and_recovers_when_idle() {
    let mut model = Model::new(Kind { queue: 100, ..Kind::default() }, 1.0, 0.0, false);
    let mut done = Vec::new();
    for job in 0..60 {
        model.arrive(job, 0.1, f64::INFINITY).expect("accepted");
    }
    model.advance(2.5, &mut done);
    assert!((model.capacity() - 1.0 / 3.0).abs() < 1e-9, "slow");
    model.advance(30.0, &mut done);
    assert_eq!((done.len(), model.capacity()), (60, 1.0));
}

#[test]
fn freezes_and_neighbours_delay_work_and_expired_work_never_runs() {
    let mut model = Model::new(kind(), 1.0, 0.0, false);
    let mut done = Vec::new();
    model.arrive(1, 1.0, f64::INFINITY).expect("accepted");
    model.arrive(2, 1.0, 1.2).expect("accepted");
    model.advance(0.5, &mut done);
    model.freeze(true);
    model.advance(1.0, &mut done);
    model.freeze(false);
    model.set_available_share(0.5);
    model.advance(3.0, &mut done);
    assert_eq!(done.len(), 2);
    assert!((done[0].at - 2.0).abs() < 1e-9 && !done[0].expired, "{done:?}");
    assert!(done[1].expired && done[1].job == 2, "{done:?}");
}
