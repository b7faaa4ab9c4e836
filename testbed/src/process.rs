//! Real processes of the program: started on a port that the system chooses, signalled by id, and killed by id
//! when their fleet ends, also on panic.
//!
//! Three guards prevent a run or a test from leaving processes behind:
//! - each child's `Drop` sends SIGKILL and reaps it, also on panic, when the owner unwinds;
//! - a watchdog SIGKILLs every child that is not yet reaped when the fleet's deadline passes, so that a child or a
//!   test that hangs is bounded, and a test then fails on `Fleet::check_deadline`;
//! - if `setpriv` exists, each child is started with a parent-death signal (SIGKILL), so that its children end if
//!   this process is killed. The signal is sent when the thread that started the child ends, so that this thread
//!   must live as long as the child.
//!
//! A pid stays in the list of children until its child has been reaped, so that the watchdog never signals a reused
//! pid.

use nix::sys::signal::{self, Signal};
use nix::unistd::Pid;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::mpsc::{self, RecvTimeoutError};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use thiserror::Error;

/// Maximum number of processes that a fleet starts, unless set otherwise: bounds what a faulty test can leave
/// behind.
pub const MAX_PROCESSES: usize = 2_048;
/// Maximum number of unread lines of a process's log; further ones are dropped.
pub const MAX_LOG_LINES: usize = 10_000;
/// Maximum number of log lines of a process that are printed when a test fails.
const MAX_PRINTED_LINES: usize = 40;
/// Timeout for a process to report its listening address.
const START_TIMEOUT: Duration = Duration::from_secs(10);

static FILES: AtomicUsize = AtomicUsize::new(0);

/// The pids of children not yet reaped, and whether the deadline has passed.
#[derive(Default)]
struct Children {
    pids: Mutex<Vec<u32>>,
    deadline_passed: AtomicBool,
}

/// The owner of all processes of one test or run, with a deadline.
pub struct Fleet {
    children: Arc<Children>,
    program: PathBuf,
    started: usize,
    max_processes: usize,
    /// Dropped with the fleet, which stops the watchdog.
    _watchdog_stop: mpsc::Sender<()>,
    /// The directory for configuration files.
    dir: PathBuf,
    /// Additional environment variables of processes started from now on.
    environment: Vec<(String, String)>,
}

/// Why a process could not be started.
#[derive(Debug, Error)]
pub enum StartError {
    /// The fleet has already started its maximum number of processes.
    #[error("the fleet has already started its maximum number of processes")]
    TooMany,
    /// The program could not be run.
    #[error("cannot be run: {0}")]
    Spawn(std::io::Error),
    /// It ended, or printed an error, before it reported its listening address.
    #[error("did not start: {0}")]
    Failed(String),
    /// It did not report its listening address within `START_TIMEOUT`; it has been killed.
    #[error("did not report its listening address within 10 s of its start")]
    TimedOut,
}

impl Fleet {
    /// Creates a fleet of processes of `program`, which are SIGKILLed after `deadline` at the latest. Their
    /// configuration files are written to `dir`.
    pub fn new(program: &Path, dir: &Path, deadline: Duration) -> Self {
        let children = Arc::new(Children::default());
        let (watchdog_stop, stopped) = mpsc::channel::<()>();
        let watched = children.clone();
        std::thread::spawn(move || {
            if let Err(RecvTimeoutError::Timeout) = stopped.recv_timeout(deadline) {
                watched.deadline_passed.store(true, Ordering::SeqCst);
                for pid in watched.pids.lock().unwrap_or_else(std::sync::PoisonError::into_inner).iter() {
                    let _ = signal::kill(Pid::from_raw(*pid as i32), Signal::SIGKILL);
                }
            }
        });
        let (program, dir) = (program.to_path_buf(), dir.to_path_buf());
        let environment = Vec::new();
        Self {
            children,
            program,
            started: 0,
            max_processes: MAX_PROCESSES,
            _watchdog_stop: watchdog_stop,
            dir,
            environment,
        }
    }

    /// Sets the additional environment variables of processes started from now on; those set here before are removed.
    pub fn set_environment(&mut self, environment: Vec<(String, String)>) {
        self.environment = environment;
    }

    /// Sets the maximum number of processes that the fleet starts.
    pub fn with_max_processes(mut self, max_processes: usize) -> Self {
        self.max_processes = max_processes;
        self
    }

    /// Whether the deadline has passed and the processes that still ran have been killed.
    pub fn deadline_passed(&self) -> bool {
        self.children.deadline_passed.load(Ordering::SeqCst)
    }

    /// Checks that the deadline has not passed: what a test observes after it is not valid.
    ///
    /// # Panics
    /// If it has passed.
    pub fn check_deadline(&self) {
        assert!(
            !self.children.deadline_passed.load(Ordering::SeqCst),
            "the fleet's deadline passed; all processes were killed"
        );
    }

    /// Starts a proxy with this JSON configuration, listening on a port that the system chooses, with discovery at
    /// `discovery`. Returns once it has reported its listening address.
    ///
    /// # Errors
    /// If the process does not start or does not report its listening address.
    pub fn proxy(&mut self, config: &str, discovery: SocketAddr) -> Result<Process, StartError> {
        self.proxy_of(config, &[discovery])
    }

    /// Starts a proxy in the same way, with discovery at several addresses, which it tries in turn.
    ///
    /// # Errors
    /// If the process does not start or does not report its listening address.
    pub fn proxy_of(&mut self, config: &str, discovery: &[SocketAddr]) -> Result<Process, StartError> {
        self.proxy_at(config, discovery, SocketAddr::from(([127, 0, 0, 1], 0)))
    }

    /// Starts a proxy in the same way, listening at `listen`, such as a proxy that restarts at its address.
    ///
    /// # Errors
    /// If the process does not start or does not report its listening address.
    pub fn proxy_at(
        &mut self,
        config: &str,
        discovery: &[SocketAddr],
        listen: SocketAddr,
    ) -> Result<Process, StartError> {
        let path = self.file("json", config)?;
        let addresses: Vec<String> = discovery.iter().map(ToString::to_string).collect();
        let env = [
            ("RELAY_CONFIG", path.display().to_string()),
            ("RELAY_LISTEN", listen.to_string()),
            ("RELAY_DISCOVERY", addresses.join(",")),
        ];
        self.start(&[], &env, "linkhatch-proxy: listening on ", path)
    }

    /// Starts a list-service node with this TOML configuration (its `listen` should name port 0).
    ///
    /// # Errors
    /// If the process does not start or does not report its listening address.
    pub fn registry(&mut self, config: &str) -> Result<Process, StartError> {
        let path = self.file("toml", config)?;
        let args = ["registry".to_string(), "--config".into(), path.display().to_string()];
        self.start(&args, &[], "linkhatch-proxy: registry listening on ", path)
    }

    /// Starts a lease holder with this TOML configuration. Returns once it runs; its `address` is the target of its
    /// duty.
    ///
    /// # Errors
    /// If the process does not start or does not report its listening address.
    pub fn holder(&mut self, config: &str) -> Result<Process, StartError> {
        let path = self.file("toml", config)?;
        let args = ["hold".to_string(), "--config".into(), path.display().to_string()];
        self.start(&args, &[], "linkhatch-proxy: holder acting on ", path)
    }

    /// The path of a directory for this test, not yet created; the caller removes it.
    pub fn scratch(&self, name: &str) -> PathBuf {
        self.dir.join(format!("{name}-{}-{}", std::process::id(), FILES.fetch_add(1, Ordering::SeqCst)))
    }

    fn file(&self, ending: &str, text: &str) -> Result<PathBuf, StartError> {
        let name = format!("fleet-{}-{}.{ending}", std::process::id(), FILES.fetch_add(1, Ordering::SeqCst));
        let path = self.dir.join(name);
        std::fs::write(&path, text).map_err(StartError::Spawn)?;
        Ok(path)
    }

    fn start(
        &mut self,
        args: &[String],
        env: &[(&str, String)],
        listening: &str,
        path: PathBuf,
    ) -> Result<Process, StartError> {
        if self.started >= self.max_processes {
            return Err(StartError::TooMany);
        }
        self.started += 1;
        let mut command = if Path::new(SETPRIV).exists() {
            let mut command = Command::new(SETPRIV);
            command.args(["--pdeathsig", "KILL", "--"]).arg(&self.program);
            command
        } else {
            Command::new(&self.program)
        };
        command.args(args).env_remove("RELAY_CONFIG");
        for (name, value) in env {
            command.env(name, value);
        }
        for (name, value) in &self.environment {
            command.env(name, value);
        }
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::piped());
        let mut child = command.spawn().map_err(StartError::Spawn)?;
        self.children.pids.lock().unwrap_or_else(std::sync::PoisonError::into_inner).push(child.id());
        let stderr = child.stderr.take().expect("stderr is piped");
        let (lines, receiver) = mpsc::sync_channel(MAX_LOG_LINES);
        // The log is read to its end, so that the process does not block on a full pipe.
        let reader = std::thread::Builder::new().stack_size(64 << 10).spawn(move || {
            for line in BufReader::new(stderr).lines() {
                let Ok(line) = line else { break };
                // If the channel is full or closed, the line is dropped and reading continues.
                let _ = lines.try_send(line);
            }
        });
        reader.map_err(StartError::Spawn)?;
        let mut process = Process {
            child: Some(child),
            children: self.children.clone(),
            address: None,
            log: receiver,
            path,
        };
        let deadline = Instant::now() + START_TIMEOUT;
        loop {
            let remaining = deadline.saturating_duration_since(Instant::now());
            match process.log.recv_timeout(remaining) {
                Ok(line) => {
                    if let Some(address) = line.strip_prefix(listening) {
                        let address = address.trim().parse().map_err(|_| StartError::Failed(line.clone()))?;
                        process.address = Some(address);
                        return Ok(process);
                    }
                    // Any other message of the program is an error; structured log lines are skipped.
                    if line.starts_with("linkhatch-proxy: ")
                        && !line.starts_with("linkhatch-proxy: RELAY_CONFIG")
                    {
                        return Err(StartError::Failed(line));
                    }
                }
                Err(RecvTimeoutError::Timeout) => return Err(StartError::TimedOut),
                Err(RecvTimeoutError::Disconnected) => {
                    return Err(StartError::Failed("the process ended".into()));
                }
            }
        }
    }
}

const SETPRIV: &str = "/usr/bin/setpriv";

/// A started process. Dropping it SIGKILLs and reaps it.
pub struct Process {
    child: Option<Child>,
    children: Arc<Children>,
    address: Option<SocketAddr>,
    log: mpsc::Receiver<String>,
    path: PathBuf,
}

impl Process {
    /// The address on which it listens.
    ///
    /// # Panics
    /// If the process was never started.
    pub fn address(&self) -> SocketAddr {
        self.address.expect("a started process has reported its listening address")
    }

    /// The path of the configuration file that it was started with.
    pub fn config_path(&self) -> &Path {
        &self.path
    }

    /// Its process id, until it has been reaped.
    pub fn id(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Sends a signal, if the process has not been reaped. SIGSTOP, SIGCONT, SIGTERM and SIGKILL are used as faults.
    pub fn signal(&self, signal: Signal) {
        if let Some(child) = &self.child {
            let _ = signal::kill(Pid::from_raw(child.id() as i32), signal);
        }
    }

    /// Waits up to `within` for the process to exit; `Some(success)` if it did.
    pub fn wait_exit(&mut self, within: Duration) -> Option<bool> {
        let deadline = Instant::now() + within;
        while Instant::now() < deadline {
            let child = self.child.as_mut()?;
            // Reaped under the lock of the list, so that the watchdog never signals a reused pid.
            let mut pids = self.children.pids.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
            if let Ok(Some(status)) = child.try_wait() {
                pids.retain(|p| *p != child.id());
                self.child = None;
                return Some(status.success());
            }
            drop(pids);
            std::thread::sleep(Duration::from_millis(10));
        }
        None
    }

    /// The lines of its log since the last call.
    pub fn log_lines(&self) -> Vec<String> {
        self.log.try_iter().collect()
    }

    /// Prints the last unread lines of its log, to diagnose a test that fails.
    fn print_log_end(&self) {
        let lines = self.log_lines();
        let skipped = lines.len().saturating_sub(MAX_PRINTED_LINES);
        eprintln!("log of process {:?} at {:?}, without {skipped} earlier lines:", self.id(), self.address);
        lines[skipped..].iter().for_each(|line| eprintln!("  {line}"));
    }

    /// SIGKILLs and reaps the process.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let mut pids = self.children.pids.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
            let _ = child.kill();
            let _ = child.wait();
            pids.retain(|p| *p != child.id());
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        if std::thread::panicking() {
            self.print_log_end();
        }
        self.kill();
        let _ = std::fs::remove_file(&self.path);
    }
}
