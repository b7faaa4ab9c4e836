//! The simulator adapter: runs batches of events from standard input on balancers, and writes one reply for
//! each to standard output.

#![forbid(unsafe_code)]

use linkhatch_proxy::simulator;
use std::io;
use std::process::ExitCode;

fn main() -> ExitCode {
    match simulator::run(io::stdin().lock(), io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("linkhatch-simulator-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}
