//! Runs all sizes of an experiment, each in its own process.

use super::ScaleError;
use super::experiment::{Proxies, ScaleExperiment};
use super::plot;
use super::report::ScaleReport;
use super::result::SizeResult;
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use serde_json::{Value, json};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// The proxies' configuration; a session is added if the experiment has sessions.
const SAMPLE_CONFIG: &str = include_str!("../../../deploy/sample.json");
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Placeholder for the listen and the discovery address: hollow proxies replace both, and nothing may listen on it.
const UNUSED_ADDRESS: &str = "127.0.0.1:1";

/// Options of an experiment.
#[derive(Clone, Debug)]
pub struct Options {
    /// The experiment file.
    pub file: String,
    /// Overrides of the file, `key=value`.
    pub set: Vec<String>,
    /// The program to measure.
    pub program: PathBuf,
    /// Directory of the report, the plot and each size's result and log.
    pub out: PathBuf,
    /// When set, the current size is ended early and no further size is started.
    pub stop: Arc<AtomicBool>,
}

/// Runs all sizes and writes the report.
///
/// # Errors
/// See [`ScaleError`]; no process is left running.
pub fn run(experiment: &ScaleExperiment, options: &Options) -> Result<ScaleReport, ScaleError> {
    std::fs::create_dir_all(&options.out)?;
    let config = options.out.join("proxy.json");
    std::fs::write(&config, proxy_config(&experiment.proxies)?)?;
    let mut results = Vec::new();
    for size in &experiment.sizes {
        if options.stop.load(Ordering::SeqCst) {
            break;
        }
        eprintln!("{}: size {size}", experiment.name);
        results.push(run_size_process(*size, &config, options)?);
        // The report is written after each size, so that a later failure loses no result.
        write(experiment, options, &results)?;
    }
    write(experiment, options, &results)
}

fn write(
    experiment: &ScaleExperiment,
    options: &Options,
    results: &[SizeResult],
) -> Result<ScaleReport, ScaleError> {
    let report = ScaleReport::new(experiment, results.to_vec());
    std::fs::write(options.out.join("scale.txt"), report.text())?;
    std::fs::write(options.out.join("scale.json"), report.json())?;
    plot::draw(&options.out.join("scale.svg"), &report)
        .map_err(|error| ScaleError::Plot(error.to_string()))?;
    Ok(report)
}

/// Runs one size in its own process; if that fails, the result is partial and gives the reason.
fn run_size_process(size: usize, config: &Path, options: &Options) -> Result<SizeResult, ScaleError> {
    let result = options.out.join(format!("size-{size}.json"));
    let log = options.out.join(format!("size-{size}.log"));
    let mut command = Command::new(std::env::current_exe()?);
    command.arg("scale-size").arg(&options.file).arg("--size").arg(size.to_string());
    command.arg("--result").arg(&result).arg("--proxy-binary").arg(&options.program);
    for set in &options.set {
        command.arg("--set").arg(set);
    }
    command.env("RELAY_CONFIG", config);
    command.env("RELAY_LISTEN", UNUSED_ADDRESS).env("RELAY_DISCOVERY", UNUSED_ADDRESS);
    command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(std::fs::File::create(&log)?);
    let succeeded = wait(command.spawn()?, &options.stop)?;
    if !succeeded {
        let reason = format!("failed, see {}", log.display());
        return Ok(SizeResult { size, partial: Some(reason), ..SizeResult::default() });
    }
    Ok(serde_json::from_slice(&std::fs::read(&result)?)?)
}

/// Waits for a size's process to end, interrupting it once `stop` is set; returns whether it succeeded.
fn wait(mut child: Child, stop: &AtomicBool) -> std::io::Result<bool> {
    let mut interrupted = false;
    loop {
        if let Some(status) = child.try_wait()? {
            return Ok(status.success());
        }
        if stop.load(Ordering::SeqCst) && !interrupted {
            interrupted = true;
            let _ = kill(Pid::from_raw(child.id() as i32), Signal::SIGINT); // it may have ended in the meantime
        }
        std::thread::sleep(POLL_INTERVAL);
    }
}

/// The configuration of hollow and real proxies: the sample, with a session if the experiment has sessions.
///
/// # Errors
/// `Result` if the embedded sample is not JSON.
pub fn proxy_config(proxies: &Proxies) -> Result<String, ScaleError> {
    let mut config: Value = serde_json::from_str(SAMPLE_CONFIG)?;
    if proxies.sessions {
        config["agreement"] = json!({"ttl-ms": proxies.session_ttl_ms});
    }
    Ok(config.to_string())
}
