//! The cache of the endpoint list on disk, for a proxy that starts while discovery does not answer. Disabled unless the
//! configuration names a file (`list_cache`).
//!
//! The file contains the complete list in discovery's format. It is replaced as a whole, at most once per
//! [`WRITE_INTERVAL`]. A file that is missing, damaged or not newer than the configuration's `known` list is ignored.
//! If it is missing or damaged, this is logged.

use super::endpoint_list::{EndpointList, ListEntry};
use crate::os::files::replace;
use serde_json::json;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use thiserror::Error;
use tokio::sync::Notify;

/// The minimum time between two writes of the file.
pub const WRITE_INTERVAL: Duration = Duration::from_secs(1);

/// The complete endpoint list with all changes applied, and the file that it is written to.
pub struct ListCache {
    entries: BTreeMap<String, ListEntry>,
    generation: u64,
    changed: Arc<Notify>,
    path: PathBuf,
}

impl ListCache {
    /// Opens the cache at `path`. Returns it and the list to start with: the cached one if it is newer than `known`.
    pub fn open(path: &Path, known: EndpointList) -> (Self, EndpointList) {
        let list = match read(path) {
            Ok(cached) if cached.generation > known.generation => cached,
            Ok(_) => known,
            Err(error) => {
                eprintln!("list cache {}: {error}", path.display());
                known
            }
        };
        let mut cache = Self {
            entries: BTreeMap::new(),
            generation: list.generation,
            changed: Arc::default(),
            path: path.into(),
        };
        cache.merge(&list);
        (cache, list)
    }

    fn merge(&mut self, list: &EndpointList) {
        if list.reset {
            self.entries.clear();
        }
        for entry in &list.instances {
            match entry.is_removed() {
                true => drop(self.entries.remove(&entry.instance_id)),
                false => drop(self.entries.insert(entry.instance_id.clone(), entry.clone())),
            }
        }
        self.generation = list.generation;
    }

    /// Applies a response from discovery, and schedules a write if the list has changed.
    pub fn update(&mut self, list: &EndpointList) {
        if list.reset || !list.instances.is_empty() || list.generation != self.generation {
            self.merge(list);
            self.changed.notify_one();
        }
    }

    /// Notified when the list has to be written.
    fn changes(&self) -> Arc<Notify> {
        self.changed.clone()
    }

    /// The path of the file, and the contents to write.
    fn contents(&self) -> (PathBuf, String) {
        let instances: Vec<&ListEntry> = self.entries.values().collect();
        let list = json!({"generation": self.generation, "reset": true, "instances": instances});
        (self.path.clone(), list.to_string())
    }
}

/// Writes the cache after each change, at most once per [`WRITE_INTERVAL`]. Never returns. A failed write is retried
/// after that interval.
pub async fn write_changes(cache: Rc<RefCell<ListCache>>) {
    let changed = cache.borrow().changes();
    loop {
        changed.notified().await;
        let (path, contents) = cache.borrow().contents();
        let written = tokio::task::spawn_blocking(move || {
            write(&path, &contents).map_err(|error| format!("list cache {}: {error}", path.display()))
        });
        if let Ok(Err(error)) = written.await {
            eprintln!("{error}");
            changed.notify_one();
        }
        tokio::time::sleep(WRITE_INTERVAL).await;
    }
}

/// Why the cached list cannot be used.
#[derive(Debug, Error)]
enum ReadError {
    #[error(transparent)]
    Read(#[from] io::Error),
    #[error(transparent)]
    Parse(#[from] serde_json::Error),
}

fn read(path: &Path) -> Result<EndpointList, ReadError> {
    Ok(serde_json::from_slice(&std::fs::read(path)?)?)
}

fn write(path: &Path, contents: &str) -> io::Result<()> {
    let name = path.file_name().and_then(|name| name.to_str());
    let name = name.ok_or_else(|| io::Error::other("the path must end in a file name"))?;
    let directory = path.parent().filter(|parent| !parent.as_os_str().is_empty()).unwrap_or(Path::new("."));
    replace(directory, name, contents.as_bytes()).map(drop)
}
