//! The arrivals of a run: an open loop of requests, drawn before the run, independent of the fleet's speed.

use crate::spec::{Experiment, Load};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp};

/// A request, drawn before the run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Arrival {
    /// When it is due, in seconds from the start.
    pub at: f64,
    /// The index of its class.
    pub class: usize,
    /// The index of its tenant.
    pub tenant: usize,
    /// Its work, in seconds at a backend of speed 1.
    pub work: f64,
    /// The random draw in [0, 1) that selects a proxy.
    pub position: f64,
    /// The seconds after which its client leaves, if it leaves early.
    pub leaves_after: Option<f64>,
}

/// Draws all arrivals of a run: a Poisson process with the rate of the time. The same experiment and seed give the same
/// arrivals.
pub fn arrivals(experiment: &Experiment, seed: u64) -> Vec<Arrival> {
    let Load { rate, bursts, .. } = &experiment.load;
    let peak = bursts.iter().map(|burst| burst.times).fold(1.0, f64::max) * rate;
    let Ok(gaps) = Exp::new(peak) else { return Vec::new() };
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut all = Vec::new();
    let mut at = 0.0;
    loop {
        at += gaps.sample(&mut rng);
        if at >= experiment.seconds {
            return all;
        }
        // Thinning: arrivals are drawn at the peak rate, and accepted in proportion to the current rate.
        if rng.random::<f64>() * peak < rate_at(&experiment.load, at) {
            all.push(arrival(experiment, at, &mut rng));
        }
    }
}

/// The rate at a time of the run, in requests per second.
fn rate_at(load: &Load, at: f64) -> f64 {
    let active = load.bursts.iter().filter(|burst| (burst.at..burst.at + burst.length).contains(&at));
    active.map(|burst| burst.times).fold(1.0, |product, times| product * times) * load.rate
}

fn arrival(experiment: &Experiment, at: f64, rng: &mut SmallRng) -> Arrival {
    let class = weighted(rng, experiment.classes.iter().map(|class| class.share));
    let tenant = weighted(rng, experiment.tenants.iter().map(|tenant| tenant.share));
    let settings = &experiment.classes[class];
    let [min_ms, max_ms] = settings.work_ms;
    let mean_ms = (min_ms + max_ms) / 2.0;
    let work_ms = if settings.exponential && mean_ms > 0.0 {
        Exp::new(1.0 / mean_ms).map_or(mean_ms, |distribution| distribution.sample(rng))
    } else {
        min_ms + rng.random::<f64>() * (max_ms - min_ms)
    };
    let leaves_early = rng.random::<f64>() < experiment.load.leave_early;
    let leaves_after = leaves_early.then(|| rng.random::<f64>() * settings.hard_limit);
    Arrival { at, class, tenant, work: work_ms / 1e3, position: rng.random(), leaves_after }
}

/// Draws an index with a probability in proportion to its weight.
fn weighted(rng: &mut SmallRng, weights: impl Iterator<Item = f64> + Clone) -> usize {
    let total: f64 = weights.clone().sum();
    let mut remaining = rng.random::<f64>() * total;
    for (index, weight) in weights.clone().enumerate() {
        remaining -= weight;
        if remaining < 0.0 {
            return index;
        }
    }
    weights.count().saturating_sub(1)
}
