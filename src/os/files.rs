//! Files that are replaced atomically: after a crash either the complete old file or the complete new one exists.

use std::fs::File;
use std::io::{self, Write};
use std::path::Path;

/// The suffix of a new file's name until the file is complete.
const TEMPORARY_SUFFIX: &str = ".new";

/// Fsyncs a directory, so that a rename in it is durable.
///
/// # Errors
/// Returns the system's error.
pub fn sync_dir(dir: &Path) -> io::Result<()> {
    File::open(dir)?.sync_all()
}

/// Replaces the file `name` in `dir` by one that contains `bytes`, atomically and durably; returns it open for writing.
///
/// # Errors
/// Returns the system's error; then either the old file or the complete new one exists.
pub fn replace(dir: &Path, name: &str, bytes: &[u8]) -> io::Result<File> {
    let temporary = dir.join(format!("{name}{TEMPORARY_SUFFIX}"));
    let mut file = File::create(&temporary)?;
    file.write_all(bytes)?;
    file.sync_all()?;
    std::fs::rename(&temporary, dir.join(name))?;
    sync_dir(dir)?;
    Ok(file)
}
