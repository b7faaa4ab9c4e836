//! Use of the preload library (`testbed/syscall-faults`): its path, and the environment that configures it.

use std::path::PathBuf;

/// The library's file name.
const LIBRARY: &str = "libfleet_testbed_syscall_faults.so";

/// The path of the library beside this program or test, if it has been built.
pub fn library() -> Option<PathBuf> {
    let program = std::env::current_exe().ok()?;
    let folders = program.ancestors().skip(1).take(2);
    let candidates = folders.flat_map(|folder| [folder.join(LIBRARY), folder.join("deps").join(LIBRARY)]);
    candidates.into_iter().find(|path| path.exists())
}

/// The configuration of the library.
#[derive(Clone, Debug, Default)]
pub struct SyscallFaults {
    /// The rules, in the syntax of `testbed/syscall-faults`.
    pub rules: Vec<String>,
    /// The seed of its random draws.
    pub seed: u64,
    /// The time on the monotonic clock, in nanoseconds, from which the times of rules count; by default the first call.
    pub epoch_ns: Option<u64>,
    /// The file in which it counts the calls that each rule has changed, if any.
    pub counts: Option<PathBuf>,
}

impl SyscallFaults {
    /// The environment variables of a process that loads the library.
    ///
    /// # Panics
    /// If the library has not been built.
    pub fn environment(&self) -> Vec<(String, String)> {
        let library = library().expect("the preload library, built by `cargo build --release --workspace`");
        let mut environment = vec![
            ("LD_PRELOAD".to_string(), library.display().to_string()),
            ("FLEETLAB_SHIM_RULES".to_string(), self.rules.join(";")),
            ("FLEETLAB_SHIM_SEED".to_string(), self.seed.to_string()),
        ];
        if let Some(epoch) = self.epoch_ns {
            environment.push(("FLEETLAB_SHIM_EPOCH_NS".to_string(), epoch.to_string()));
        }
        if let Some(counts) = &self.counts {
            environment.push(("FLEETLAB_SHIM_COUNTS".to_string(), counts.display().to_string()));
        }
        environment
    }
}

/// Reads the number of calls that each rule has changed, from the library's file.
pub fn read_counts(path: &std::path::Path) -> Vec<u64> {
    let bytes = std::fs::read(path).unwrap_or_default();
    bytes
        .chunks_exact(8)
        .map(|bytes| bytes.iter().rev().fold(0, |n, byte| n << 8 | u64::from(*byte)))
        .collect()
}
