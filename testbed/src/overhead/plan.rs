//! Plans the order of the blocks and the due times of their calls. Deterministic: the same seed gives the same plan.

use rand::SeedableRng;
use rand::rngs::SmallRng;
use rand_distr::{Distribution, Exp};
use serde::Serialize;
use std::time::Duration;

/// How calls reach the backends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Side {
    /// Directly, without a proxy.
    Direct,
    /// Through the proxies.
    Through,
}

/// A period of calls at one rate, all on one side.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Block {
    /// Calls per second.
    pub rate: f64,
    /// The side.
    pub side: Side,
    /// Index of the block's pair, counted from 0 at each rate.
    pub pair: usize,
    /// Length of the period in which calls are due, in seconds.
    pub seconds: f64,
}

/// All blocks in the order in which they are run: pairs of both sides at each rate. The side that goes first
/// alternates, so that a drift in the machine's speed favours neither.
pub fn blocks(rates: &[f64], pairs: usize, seconds: f64) -> Vec<Block> {
    let sides = |pair: usize| match pair % 2 {
        0 => [Side::Direct, Side::Through],
        _ => [Side::Through, Side::Direct],
    };
    let blocks_at = |rate: f64| {
        (0..pairs).flat_map(move |pair| sides(pair).map(|side| Block { rate, side, pair, seconds }))
    };
    rates.iter().flat_map(|rate| blocks_at(*rate)).collect()
}

/// Due times of the calls of a block, from its start: Poisson arrivals. Both blocks of a pair have the same due times.
pub fn due_times(block: &Block, seed: u64) -> Vec<Duration> {
    let pair_seed = seed ^ (block.pair as u64).rotate_left(32) ^ block.rate.to_bits();
    let mut rng = SmallRng::seed_from_u64(pair_seed);
    let Ok(gap) = Exp::new(block.rate) else { return Vec::new() };
    let mut due = Vec::new();
    let mut at = gap.sample(&mut rng);
    while at < block.seconds {
        due.push(Duration::from_secs_f64(at));
        at += gap.sample(&mut rng);
    }
    due
}
