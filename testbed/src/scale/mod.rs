//! `fleet-testbed scale`: measures what the list service and the control plane of a proxy cost as the fleet grows.
//!
//! Real list-service processes serve *hollow* proxies and backends. These run the program's own code for the list
//! watch, the settings, the session and heartbeats, hundreds of them in one process, without traffic. An experiment is
//! run at several sizes, each in its own process so that no size inherits another's memory. Each figure is then fitted
//! over the sizes by a line. Its slope and fixed part can be read off and checked by the residual.
//!
//! `experiment` reads the file, `play` runs one size with `proxies`, `backends`, `meter` and `sample`, `result` defines
//! the result of a size, `fit` and `figures` compute the figures, `report` and `plot` write the output.

mod backends;
mod experiment;
mod figures;
mod fit;
mod ledger;
mod meter;
mod play;
mod plot;
mod proxies;
mod report;
mod result;
mod sample;
mod sizes;

pub use experiment::ScaleExperiment;
pub use fit::{Fit, Prediction};
pub use play::run_size;
pub use report::ScaleReport;
pub use result::SizeResult;
pub use sizes::{Options, run};

use crate::process::StartError;
use thiserror::Error;

/// Why a size could not be run.
#[derive(Debug, Error)]
pub enum ScaleError {
    /// The experiment file can't be read.
    #[error("cannot read {0}: {1}")]
    Read(String, std::io::Error),
    /// The TOML is malformed, lacks a value or has an unknown key.
    #[error("{0}: {1}")]
    Toml(String, toml::de::Error),
    /// A value is out of range, or an override can't be applied.
    #[error("{0}")]
    Value(String),
    /// A process did not start.
    #[error("{0}: {1}")]
    Start(&'static str, StartError),
    /// The proxies' configuration is invalid.
    #[error("configuration: {0}")]
    Config(#[from] linkhatch_proxy::proxy::config::ConfigError),
    /// A step did not complete in time.
    #[error("{0}")]
    Timeout(String),
    /// A size's result can't be parsed.
    #[error("result: {0}")]
    Result(#[from] serde_json::Error),
    /// An I/O operation failed.
    #[error("{0}")]
    Io(#[from] std::io::Error),
    /// The plot can't be drawn.
    #[error("plot: {0}")]
    Plot(String),
}

#[cfg(test)]
mod tests;
