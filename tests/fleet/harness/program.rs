//! Services of a program given by its path, so that a test can run another build than its own.

use linkhatch_proxy::telemetry::LOG_VARIABLE;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{Receiver, sync_channel};
use std::time::{Duration, Instant};

/// The environment variable that names the previous build's program.
pub const PREVIOUS_PROGRAM: &str = "LINKHATCH_PREVIOUS_PROGRAM";
/// The text before the address in the line that reports where a service listens, whatever the program's name.
const LISTENING_PREFIX: &str = "listening on ";
const START_TIMEOUT: Duration = Duration::from_secs(10);
const MAX_LOG_LINES: usize = 10_000;

/// The previous build's program.
///
/// # Panics
/// Panics if the environment variable is not set.
pub fn previous_program() -> PathBuf {
    std::env::var_os(PREVIOUS_PROGRAM).map(PathBuf::from).expect(PREVIOUS_PROGRAM)
}

/// The program of this build.
pub fn current_program() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_linkhatch-proxy"))
}

/// A running service; it is killed on drop.
pub struct Service {
    child: Child,
    address: SocketAddr,
    log: Receiver<String>,
}

impl Service {
    /// Starts a list-service node of `program`; its configuration goes to `config_path`.
    ///
    /// # Panics
    /// Panics if it does not start in time, with its log lines.
    pub fn node(program: &Path, config_path: &Path, config: &str) -> Self {
        std::fs::write(config_path, config).expect("a configuration file");
        let mut command = Command::new(program);
        command.args(["registry", "--config"]).arg(config_path);
        Self::start(command)
    }

    /// Starts a list-service node of `program` that may open `max_files` files; its configuration goes to `config_path`.
    ///
    /// # Panics
    /// Panics if it does not start in time, with its log lines.
    pub fn node_with_max_files(program: &Path, config_path: &Path, config: &str, max_files: usize) -> Self {
        std::fs::write(config_path, config).expect("a configuration file");
        let mut command = Command::new("/bin/sh");
        let script = format!("ulimit -n {max_files} && exec \"$0\" registry --config \"$1\"");
        command.args(["-c", &script]).arg(program).arg(config_path);
        Self::start(command)
    }

    /// Starts a proxy of `program` with discovery at `discovery`; its configuration goes to `config_path`.
    ///
    /// # Panics
    /// Panics if it does not start in time, with its log lines.
    pub fn proxy(program: &Path, config_path: &Path, config: &str, discovery: SocketAddr) -> Self {
        std::fs::write(config_path, config).expect("a configuration file");
        let mut command = Command::new(program);
        command.env("RELAY_CONFIG", config_path);
        command.env("RELAY_LISTEN", "127.0.0.1:0").env("RELAY_DISCOVERY", discovery.to_string());
        Self::start(command)
    }

    /// Starts a proxy of `program` that may open `max_files` files and logs warnings, with discovery at `discovery`; its
    /// configuration goes to `config_path`.
    ///
    /// # Panics
    /// Panics if it does not start in time, with its log lines.
    pub fn proxy_with_max_files(
        program: &Path,
        config_path: &Path,
        config: &str,
        discovery: SocketAddr,
        max_files: usize,
    ) -> Self {
        std::fs::write(config_path, config).expect("a configuration file");
        let mut command = Command::new("/bin/sh");
        command.args(["-c", &format!("ulimit -n {max_files} && exec \"$0\"")]).arg(program);
        command.env("RELAY_CONFIG", config_path).env(LOG_VARIABLE, "warn");
        command.env("RELAY_LISTEN", "127.0.0.1:0").env("RELAY_DISCOVERY", discovery.to_string());
        Self::start(command)
    }

    /// Returns once the service has reported where it listens.
    fn start(mut command: Command) -> Self {
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::piped());
        let mut child = command.spawn().unwrap_or_else(|error| panic!("{command:?}: {error}"));
        let log = BufReader::new(child.stderr.take().expect("stderr is piped"));
        let (lines, received) = sync_channel(MAX_LOG_LINES);
        std::thread::spawn(move || {
            // Reads to the end, so that the service never blocks on a full pipe.
            log.lines().map_while(Result::ok).for_each(|line| drop(lines.try_send(line)));
        });
        match listening_address(&received) {
            Ok(address) => Self { child, address, log: received },
            Err(log) => {
                let _ = child.kill();
                let _ = child.wait();
                panic!("{command:?} did not start: {log:?}");
            }
        }
    }

    /// The address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Whether it is still running.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// The log lines since the last call.
    pub fn log_lines(&self) -> Vec<String> {
        self.log.try_iter().collect()
    }

    /// The number of files that it has open.
    ///
    /// # Panics
    /// Panics if the system does not list the process's files.
    pub fn open_files(&self) -> usize {
        let files = std::fs::read_dir(format!("/proc/{}/fd", self.child.id()));
        files.expect("the process's files").count()
    }
}

impl Drop for Service {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Waits for the line that reports where a service listens; fails with the other lines if it does not arrive in time.
fn listening_address(lines: &Receiver<String>) -> Result<SocketAddr, Vec<String>> {
    let deadline = Instant::now() + START_TIMEOUT;
    let mut lines_before = Vec::new();
    while let Ok(line) = lines.recv_timeout(deadline.saturating_duration_since(Instant::now())) {
        let address = line.split_once(LISTENING_PREFIX).and_then(|(_, address)| address.trim().parse().ok());
        match address {
            Some(address) => return Ok(address),
            None => lines_before.push(line),
        }
    }
    Err(lines_before)
}
