//! Counters of the calls that each rule has changed, in a file that the testbed reads while the process runs.

use crate::rules::MAX_RULES;
use std::fs::OpenOptions;
use std::os::fd::AsRawFd;
use std::ptr;
use std::sync::atomic::{AtomicU64, Ordering};

/// The length of the file, in bytes.
const FILE_BYTES: usize = MAX_RULES * size_of::<u64>();

/// Counters shared with other processes that map the same file.
pub struct Counts(*const AtomicU64);

// SAFETY: the pointer is to a shared mapping that is never unmapped, and all access to it is atomic.
unsafe impl Send for Counts {}
// SAFETY: as above.
unsafe impl Sync for Counts {}

impl Counts {
    /// Maps the file; `None` if it can't be opened or mapped.
    pub fn map(path: &str) -> Option<Self> {
        let file = OpenOptions::new().read(true).write(true).create(true).truncate(false).open(path).ok()?;
        file.set_len(FILE_BYTES as u64).ok()?;
        // SAFETY: a new shared mapping of a file that is long enough; the result is checked.
        let mapped = unsafe {
            let access = libc::PROT_READ | libc::PROT_WRITE;
            libc::mmap(ptr::null_mut(), FILE_BYTES, access, libc::MAP_SHARED, file.as_raw_fd(), 0)
        };
        (mapped != libc::MAP_FAILED).then_some(Self(mapped as *const AtomicU64))
    }

    /// Counts a call that a rule has changed.
    pub fn add(&self, rule: usize) {
        if rule < MAX_RULES {
            // SAFETY: the counter is within the mapping, which is aligned to a page.
            unsafe { (*self.0.add(rule)).fetch_add(1, Ordering::Relaxed) };
        }
    }
}
