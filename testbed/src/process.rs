//! Real processes of the program: started on a port that the system chooses, signalled by id, and ended by id
//! when their fleet ends, on panic too.
//!
//! Three guards stand between a run or a test and a stray process:
//! - each child's `Drop` sends SIGKILL and reaps it, which runs on panic as the owner unwinds;
//! - a watchdog SIGKILLs every child still listed when the fleet's deadline passes, so a child or a test that
//!   hangs is bounded, and a test then fails on `Fleet::check_deadline`;
//! - where `setpriv` exists, each child is started with a parent-death signal (SIGKILL), so a process that is
//!   itself killed mid-way takes its children with it. The signal follows the thread that started the child,
//!   which must live as long as the child is to.
//!
//! A pid stays listed until its child has been reaped, so the watchdog never signals a reused pid.

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

/// Most processes that one fleet may start over its life, unless it is made for more: a bound on what a faulty
/// test can leave behind.
pub const MOST_PROCESSES: usize = 2_048;
/// Most lines of one process's log kept for whoever asks; later ones are dropped.
pub const MOST_LINES: usize = 10_000;
/// Most lines of its log that are printed when a test fails.
const MAX_PRINTED_LINES: usize = 40;
/// How long a process has to say where it listens.
const START_WITHIN: Duration = Duration::from_secs(10);

static FILES: AtomicUsize = AtomicUsize::new(0);

/// The pids not yet reaped, and whether the deadline has struck.
#[derive(Default)]
struct Listed {
    pids: Mutex<Vec<u32>>,
    struck: AtomicBool,
}

/// The owner of every process of one test or run, with its deadline.
pub struct Fleet {
    listed: Arc<Listed>,
    program: PathBuf,
    started: usize,
    most: usize,
    /// Dropped with the fleet: tells the watchdog to stand down.
    _watch: mpsc::Sender<()>,
    /// Where configuration files go.
    dir: PathBuf,
    /// What the environment of processes started from now on holds besides.
    environment: Vec<(String, String)>,
}

/// Why a process could not be started.
#[derive(Debug, Error)]
pub enum StartError {
    /// The fleet has started as many as it may already.
    #[error("as many processes as may be have been started")]
    TooMany,
    /// The program could not be run.
    #[error("cannot be run: {0}")]
    Spawn(std::io::Error),
    /// It ended, or said something else, before saying where it listens.
    #[error("did not start: {0}")]
    Said(String),
    /// It said nothing within `START_WITHIN`; it has been killed.
    #[error("said nothing within 10 s of its start")]
    Hung,
}

impl Fleet {
    /// A fleet of `program`'s processes, all SIGKILLed at `deadline` from now at the latest; their configuration
    /// files go into `dir`.
    pub fn new(program: &Path, dir: &Path, deadline: Duration) -> Self {
        let listed = Arc::new(Listed::default());
        let (watch, stand_down) = mpsc::channel::<()>();
        let watched = listed.clone();
        std::thread::spawn(move || {
            if let Err(RecvTimeoutError::Timeout) = stand_down.recv_timeout(deadline) {
                watched.struck.store(true, Ordering::SeqCst);
                for pid in watched.pids.lock().unwrap_or_else(std::sync::PoisonError::into_inner).iter() {
                    let _ = signal::kill(Pid::from_raw(*pid as i32), Signal::SIGKILL);
                }
            }
        });
        let (program, dir) = (program.to_path_buf(), dir.to_path_buf());
        let environment = Vec::new();
        Self { listed, program, started: 0, most: MOST_PROCESSES, _watch: watch, dir, environment }
    }

    /// Puts these variables, and no others that were set here before, into the environment of each process that is
    /// started from now on.
    pub fn set_environment(&mut self, environment: Vec<(String, String)>) {
        self.environment = environment;
    }

    /// The same, for up to `most` processes over its life.
    pub fn for_many(mut self, most: usize) -> Self {
        self.most = most;
        self
    }

    /// Whether the deadline struck and every process still listed then was killed.
    pub fn struck(&self) -> bool {
        self.listed.struck.load(Ordering::SeqCst)
    }

    /// Checks that the deadline has not passed: whatever a test saw after it is not to be trusted.
    ///
    /// # Panics
    /// If it has passed.
    pub fn check_deadline(&self) {
        assert!(!self.listed.struck.load(Ordering::SeqCst), "the fleet's deadline passed; all were killed");
    }

    /// Starts the proxy binary with this JSON configuration, listening on a port that the system chooses,
    /// and with discovery at `discovery`. Returns once it has said where it listens.
    ///
    /// # Errors
    /// Where the process does not start or does not say that it listens.
    pub fn proxy(&mut self, config: &str, discovery: SocketAddr) -> Result<Process, StartError> {
        self.proxy_of(config, &[discovery])
    }

    /// The same, with discovery at several addresses, tried in turn.
    ///
    /// # Errors
    /// Where the process does not start or does not say that it listens.
    pub fn proxy_of(&mut self, config: &str, discovery: &[SocketAddr]) -> Result<Process, StartError> {
        self.proxy_at(config, discovery, SocketAddr::from(([127, 0, 0, 1], 0)))
    }

    /// The same, listening at `listen`, as a proxy that is restarted with its address.
    ///
    /// # Errors
    /// Where the process does not start or does not say that it listens.
    pub fn proxy_at(
        &mut self,
        config: &str,
        discovery: &[SocketAddr],
        listen: SocketAddr,
    ) -> Result<Process, StartError> {
        let path = self.file("json", config)?;
        let named: Vec<String> = discovery.iter().map(ToString::to_string).collect();
        let env = [
            ("RELAY_CONFIG", path.display().to_string()),
            ("RELAY_LISTEN", listen.to_string()),
            ("RELAY_DISCOVERY", named.join(",")),
        ];
        self.start(&[], &env, "linkhatch-proxy: listening on ", path)
    }

    /// Starts a list-service node with this TOML configuration (its `listen` should name port 0).
    ///
    /// # Errors
    /// Where the process does not start or does not say that it listens.
    pub fn registry(&mut self, config: &str) -> Result<Process, StartError> {
        let path = self.file("toml", config)?;
        let args = ["registry".to_string(), "--config".into(), path.display().to_string()];
        self.start(&args, &[], "linkhatch-proxy: registry listening on ", path)
    }

    /// Starts a lease holder with this TOML configuration. Returns once it runs; its `address` is then the
    /// target of its duty.
    ///
    /// # Errors
    /// Where the process does not start or does not say that it listens.
    pub fn holder(&mut self, config: &str) -> Result<Process, StartError> {
        let path = self.file("toml", config)?;
        let args = ["hold".to_string(), "--config".into(), path.display().to_string()];
        self.start(&args, &[], "linkhatch-proxy: holder acting on ", path)
    }

    /// A name for a directory of this test's own, not yet made; whoever uses it removes it.
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
        if self.started >= self.most {
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
        self.listed.pids.lock().unwrap_or_else(std::sync::PoisonError::into_inner).push(child.id());
        let stderr = child.stderr.take().expect("stderr is piped");
        let (lines, said) = mpsc::sync_channel(MOST_LINES);
        // Its log is read to the end, lest it block; the first line says where it listens.
        let reader = std::thread::Builder::new().stack_size(64 << 10).spawn(move || {
            for line in BufReader::new(stderr).lines() {
                let Ok(line) = line else { break };
                // Nobody listens any more, or not for now: read on into nothing.
                let _ = lines.try_send(line);
            }
        });
        reader.map_err(StartError::Spawn)?;
        let mut process =
            Process { child: Some(child), listed: self.listed.clone(), address: None, log: said, path };
        let deadline = Instant::now() + START_WITHIN;
        loop {
            let left = deadline.saturating_duration_since(Instant::now());
            match process.log.recv_timeout(left) {
                Ok(line) => {
                    if let Some(address) = line.strip_prefix(listening) {
                        let address = address.trim().parse().map_err(|_| StartError::Said(line.clone()))?;
                        process.address = Some(address);
                        return Ok(process);
                    }
                    // Its own words before that are an error; structured log lines are passed over.
                    if line.starts_with("linkhatch-proxy: ")
                        && !line.starts_with("linkhatch-proxy: RELAY_CONFIG")
                    {
                        return Err(StartError::Said(line));
                    }
                }
                Err(RecvTimeoutError::Timeout) => return Err(StartError::Hung),
                Err(RecvTimeoutError::Disconnected) => return Err(StartError::Said("(ended)".into())),
            }
        }
    }
}

const SETPRIV: &str = "/usr/bin/setpriv";

/// One started process. Dropping it SIGKILLs and reaps it.
pub struct Process {
    child: Option<Child>,
    listed: Arc<Listed>,
    address: Option<SocketAddr>,
    log: mpsc::Receiver<String>,
    path: PathBuf,
}

impl Process {
    /// Where it listens.
    ///
    /// # Panics
    /// If the process was never started.
    pub fn address(&self) -> SocketAddr {
        self.address.expect("a started process has said where it listens")
    }

    /// The configuration file that it was started with.
    pub fn config_path(&self) -> &Path {
        &self.path
    }

    /// Its process id, until it has been reaped.
    pub fn id(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Sends a signal, if it has not been reaped. SIGSTOP, SIGCONT, SIGTERM and SIGKILL are the faults used.
    pub fn signal(&self, signal: Signal) {
        if let Some(child) = &self.child {
            let _ = signal::kill(Pid::from_raw(child.id() as i32), signal);
        }
    }

    /// Waits up to `within` for it to end by itself; `Some(success)` if it did.
    pub fn wait_exit(&mut self, within: Duration) -> Option<bool> {
        let deadline = Instant::now() + within;
        while Instant::now() < deadline {
            let child = self.child.as_mut()?;
            // Reaped under the list's lock, so that the watchdog never signals a pid that is free again.
            let mut pids = self.listed.pids.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
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

    /// Lines of its log that came since the last call.
    pub fn log_lines(&self) -> Vec<String> {
        self.log.try_iter().collect()
    }

    /// Prints the last lines of its log that nobody has asked for: a test that fails is traced by them.
    fn print_log_end(&self) {
        let lines = self.log_lines();
        let skipped = lines.len().saturating_sub(MAX_PRINTED_LINES);
        eprintln!("log of process {:?} at {:?}, without {skipped} lines before:", self.id(), self.address);
        lines[skipped..].iter().for_each(|line| eprintln!("  {line}"));
    }

    /// SIGKILLs and reaps it now.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let mut pids = self.listed.pids.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
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
