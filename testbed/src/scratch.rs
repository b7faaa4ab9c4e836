//! A directory for the files of one run, removed when its owner is dropped.

use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicUsize, Ordering};

static CREATED: AtomicUsize = AtomicUsize::new(0);

/// A directory that is removed with its contents when this is dropped.
#[derive(Debug)]
pub struct Scratch {
    path: PathBuf,
}

impl Scratch {
    /// Creates a directory in the system's temporary directory; its name begins with `name` and is unique.
    ///
    /// # Errors
    /// If the directory cannot be created.
    pub fn new(name: &str) -> std::io::Result<Self> {
        let number = CREATED.fetch_add(1, Ordering::Relaxed);
        Self::create(std::env::temp_dir().join(format!("{name}-{}-{number}", std::process::id())))
    }

    /// Creates the directory `path`.
    ///
    /// # Errors
    /// If it cannot be created.
    pub fn create(path: PathBuf) -> std::io::Result<Self> {
        std::fs::create_dir_all(&path)?;
        Ok(Self { path })
    }

    /// The path of the directory.
    pub fn path(&self) -> &Path {
        &self.path
    }
}

impl Drop for Scratch {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.path); // a directory that can't be removed is left behind
    }
}
