//! The program's command line: arguments, subcommands and exit codes.

mod client;
mod error;
mod fleet;
pub mod proxy;
mod publish;
mod replies;
mod settings;
mod tables;

use clap::{Parser, Subcommand};
use error::{CommandError, EXIT_CODES};
use linkhatch_proxy::lease::holder::{self, HolderConfig};
use linkhatch_proxy::registry::{self, RegistryConfig};
use std::fmt::Display;
use std::process::ExitCode;
use tokio::task::LocalSet;

/// The program's arguments: none for the proxy, which takes its settings from the environment.
#[derive(Parser)]
#[command(
    name = "linkhatch-proxy",
    version,
    about = "A load-balancing proxy for service-to-service calls, and the control services of its fleet"
)]
pub struct Arguments {
    /// The subcommand; none for the proxy.
    #[command(subcommand)]
    pub command: Option<Command>,
}

/// The subcommands.
#[derive(Subcommand)]
pub enum Command {
    /// Runs a list-service node: discovery for proxies, and a write API for backends and operators.
    Registry {
        /// The TOML configuration file.
        #[arg(long)]
        config: String,
    },
    /// Reads and publishes the settings that all proxies follow.
    #[command(subcommand, after_long_help = EXIT_CODES)]
    Settings(settings::Settings),
    /// Shows the status of the fleet.
    #[command(subcommand, after_long_help = EXIT_CODES)]
    Fleet(fleet::Fleet),
    /// Holds the lease on one duty from the list service, and performs the duty while the lease is valid.
    Hold {
        /// The TOML configuration file.
        #[arg(long)]
        config: String,
    },
}

impl Command {
    /// Runs the subcommand and returns its exit code.
    pub fn run(self) -> ExitCode {
        match self {
            Command::Registry { config } => run_service(RegistryConfig::read(&config), registry::serve),
            Command::Hold { config } => run_service(HolderConfig::read(&config), holder::hold),
            Command::Settings(command) => run_command(command.run()),
            Command::Fleet(command) => run_command(command.run()),
        }
    }
}

/// Runs one of the fleet's services until it ends; fails if its configuration can't be used.
fn run_service<C, E, F>(config: Result<C, E>, serve: impl FnOnce(C) -> F) -> ExitCode
where
    E: Display,
    F: Future<Output = std::io::Result<()>>,
{
    match config {
        Ok(config) => {
            start_structured_log();
            run_on_this_thread(serve(config))
        }
        Err(error) => failure(&error),
    }
}

/// Runs an operators' command and returns its exit code.
fn run_command(command: impl Future<Output = Result<(), CommandError>>) -> ExitCode {
    let mut code = ExitCode::SUCCESS;
    let result = run_on_this_thread(async {
        if let Err(error) = command.await {
            report(&error);
            code = ExitCode::from(error.exit_code());
        }
        Ok(())
    });
    if result == ExitCode::SUCCESS { code } else { result }
}

/// Runs a future on the current thread and reports its error.
fn run_on_this_thread(future: impl Future<Output = std::io::Result<()>>) -> ExitCode {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    match runtime.and_then(|runtime| LocalSet::new().block_on(&runtime, future)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => failure(&error),
    }
}

/// Reports an error in one line on standard error.
fn report(error: &impl Display) {
    eprintln!("linkhatch-proxy: {error}");
}

/// Reports an error and returns the exit code of a failure.
fn failure(error: &impl Display) -> ExitCode {
    report(error);
    ExitCode::FAILURE
}

/// Starts the structured log of the fleet's services, on standard error.
fn start_structured_log() {
    use tracing_subscriber::prelude::*;
    // Raft logs every call to a node that is down; the node itself logs each change of leader.
    let filter = tracing_subscriber::filter::Targets::new()
        .with_default(tracing::Level::INFO)
        .with_target("openraft", tracing::level_filters::LevelFilter::OFF);
    let lines = tracing_subscriber::fmt::layer().with_writer(std::io::stderr).with_target(false);
    tracing_subscriber::registry().with(lines).with(filter).init();
}
