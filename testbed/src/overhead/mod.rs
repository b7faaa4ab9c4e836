//! `fleet-testbed overhead`: measures the latency that one proxy, or a chain of them, adds to a call.
//!
//! Calls go to backends that answer at once, in an open loop: the due time of each call is drawn in advance, and its
//! latency is measured from the due time, so that a slow path can't reduce its own load (no coordinated omission).
//! Blocks of calls sent directly and blocks sent through the proxies alternate; the added latency is the difference
//! between the two blocks of a pair. The testbed's own lateness, from the due time to the write, is reported as well.
//!
//! `plan` draws the blocks and due times, `pool` reuses connections, `backend` implements the backends, `fixture`
//! starts the processes, `load` sends the calls, `figures` computes the figures, `report` and `plot` write the output.

mod backend;
mod figures;
mod fixture;
mod load;
mod plan;
mod plot;
mod pool;
mod report;

pub use figures::{Added, BlockResult, RateFigures, SideFigures};
pub use plan::{Block, Side};
pub use report::OverheadReport;

use crate::process::StartError;
use crate::usage;
use fixture::Fixture;
use load::Generator;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use thiserror::Error;

/// Seconds of load on each side before the first measured block.
const WARM_UP_SECONDS: f64 = 3.0;
/// Calls per second during the warm-up.
const WARM_UP_RATE: f64 = 100.0;
/// Maximum number of proxies in a chain.
pub const MAX_DEPTH: usize = 16;
/// Maximum rate, in calls per second: above it the testbed's own lateness grows.
pub const MAX_RATE: f64 = 5_000.0;

/// Options of a measurement.
#[derive(Clone, Debug)]
pub struct Options {
    /// The program to measure.
    pub program: PathBuf,
    /// Number of proxies in the chain that a call passes through.
    pub depth: usize,
    /// Rates in calls per second, measured one after the other.
    pub rates: Vec<f64>,
    /// Seconds of load on each side at each rate.
    pub seconds: f64,
    /// Seconds of one block.
    pub block_seconds: f64,
    /// The seed of the due times.
    pub seed: u64,
    /// Directory of the report and the plot; none if they are not written.
    pub out: Option<PathBuf>,
    /// When set, the measurement ends after the current block.
    pub stop: Arc<AtomicBool>,
}

/// Why the measurement failed.
#[derive(Debug, Error)]
pub enum OverheadError {
    /// An option is out of range.
    #[error("{0}")]
    Option(&'static str),
    /// A process did not start.
    #[error("{0}: {1}")]
    Start(&'static str, StartError),
    /// A process did not become ready in time.
    #[error("not ready in time: {0}")]
    NotReady(&'static str),
    /// The embedded sample configuration is not of the expected form.
    #[error("deploy/sample.json: {0}")]
    Sample(String),
    /// An I/O operation failed.
    #[error("{0}")]
    Io(#[from] std::io::Error),
    /// The plot can't be drawn.
    #[error("plot: {0}")]
    Plot(String),
}

impl Options {
    fn check(&self) -> Result<(), OverheadError> {
        let require = |ok: bool, message| if ok { Ok(()) } else { Err(OverheadError::Option(message)) };
        let is_positive = |value: f64| value.is_finite() && value > 0.0;
        require((1..=MAX_DEPTH).contains(&self.depth), "depth: from 1 to 16")?;
        let in_range = |rate: &f64| is_positive(*rate) && *rate <= MAX_RATE;
        require(!self.rates.is_empty() && self.rates.iter().all(in_range), "rates: above 0, up to 5,000")?;
        require(
            is_positive(self.block_seconds) && self.block_seconds <= 600.0,
            "block: above 0, up to 600 s",
        )?;
        require(
            self.seconds >= self.block_seconds && self.seconds <= 86_400.0,
            "seconds: from a block to a day",
        )
    }

    /// Number of pairs of blocks at each rate.
    fn pairs(&self) -> usize {
        (self.seconds / self.block_seconds).ceil() as usize
    }
}

/// Runs the measurement, and writes the report if the options name a directory.
///
/// # Errors
/// See [`OverheadError`]; no process is left running.
pub fn run(options: &Options) -> Result<OverheadReport, OverheadError> {
    options.check()?;
    let fixture = Fixture::start(options)?;
    let generator = Generator::start(&fixture)?;
    warm_up(options, &generator);
    let mut results = Vec::new();
    for block in plan::blocks(&options.rates, options.pairs(), options.block_seconds) {
        if options.stop.load(Ordering::SeqCst) {
            break;
        }
        fixture.send_heartbeats();
        results.push(measure(block, options, &fixture, &generator)?);
    }
    let report = OverheadReport::new(options, &results);
    if let Some(directory) = &options.out {
        write(directory, &report, &results)?;
    }
    Ok(report)
}

/// Opens connections and warms up the proxies' estimates, on both sides.
fn warm_up(options: &Options, generator: &Generator) {
    for side in [Side::Direct, Side::Through] {
        let block = Block { rate: WARM_UP_RATE, side, pair: 0, seconds: WARM_UP_SECONDS };
        generator.run_block(side, &plan::due_times(&block, options.seed));
    }
}

/// Runs one block, and measures the processor time of the proxies and of the machine.
fn measure(
    block: Block,
    options: &Options,
    fixture: &Fixture,
    generator: &Generator,
) -> Result<BlockResult, OverheadError> {
    let (proxies_before, machine_before) = (fixture.proxies_processor_time()?, usage::of_machine()?);
    let outcome = generator.run_block(block.side, &plan::due_times(&block, options.seed));
    let processor = fixture.proxies_processor_time()?.saturating_sub(proxies_before);
    let machine = usage::of_machine()?.saturating_sub(machine_before);
    Ok(BlockResult { block, outcome, processor, machine })
}

fn write(directory: &Path, report: &OverheadReport, results: &[BlockResult]) -> Result<(), OverheadError> {
    std::fs::create_dir_all(directory)?;
    std::fs::write(directory.join("overhead.txt"), report.text())?;
    std::fs::write(directory.join("overhead.json"), report.json())?;
    plot::draw(&directory.join("overhead.svg"), report, results)
        .map_err(|error| OverheadError::Plot(error.to_string()))
}

#[cfg(test)]
mod tests;
