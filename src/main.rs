//! The program's entry point: without a subcommand it runs the proxy, configured from the environment; with a
//! subcommand it runs one of the fleet's services or an operators' command.

#![forbid(unsafe_code)]

mod cli;

use clap::Parser;
use cli::Arguments;
use std::process::ExitCode;

fn main() -> ExitCode {
    match Arguments::parse().command {
        Some(command) => command.run(),
        None => cli::proxy::run(),
    }
}
