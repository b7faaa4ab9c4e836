//! Resource usage of a process or of a group of its threads, read from `/proc`.

use std::io::{Error, ErrorKind, Result};
use std::path::Path;
use std::time::Duration;

/// The unit of processor time in `/proc/PID/stat`: `USER_HZ`, which Linux fixes at 100 for user space.
const TICKS_PER_SECOND: u64 = 100;
/// Indices of `utime` and `stime` among the fields after the command's name.
const USER_TIME_FIELD: usize = 11;
const SYSTEM_TIME_FIELD: usize = 12;
/// The number of fields in the first line of `/proc/stat` that add up to the total time; later fields are parts of
/// these.
const MACHINE_FIELDS: usize = 8;
/// Indices of `idle` and `iowait` among these fields.
const IDLE_FIELDS: std::ops::Range<usize> = 3..5;

/// The resource usage of a process since it started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Processor time, user and system, with a resolution of 10 ms.
    pub processor: Duration,
    /// Current resident memory, in kB (`VmRSS`).
    pub resident_kb: u64,
    /// Peak resident memory, in kB (`VmHWM`).
    pub peak_kb: u64,
    /// Bytes written to disk (`write_bytes`).
    pub disk_bytes: u64,
}

/// The usage of the process `pid`.
///
/// # Errors
/// If the process does not exist, or its files can't be read.
pub fn of_process(pid: u32) -> Result<Usage> {
    let directory = format!("/proc/{pid}");
    let read = |file: &str| std::fs::read_to_string(format!("{directory}/{file}"));
    let status = read("status")?;
    Ok(Usage {
        processor: processor_time(&read("stat")?).ok_or_else(malformed)?,
        resident_kb: field(&status, "VmRSS:").ok_or_else(malformed)?,
        peak_kb: field(&status, "VmHWM:").ok_or_else(malformed)?,
        disk_bytes: field(&read("io")?, "write_bytes:").ok_or_else(malformed)?,
    })
}

/// The number of open descriptors of the process `pid`.
///
/// # Errors
/// If the process does not exist, or its descriptors can't be listed.
pub fn open_descriptors(pid: u32) -> Result<usize> {
    Ok(std::fs::read_dir(format!("/proc/{pid}/fd"))?.count())
}

/// The usage of this process.
///
/// # Errors
/// See [`of_process`].
pub fn of_self() -> Result<Usage> {
    of_process(std::process::id())
}

/// The processor time of this process's threads whose names begin with `prefix` (Linux truncates a thread's name to 15
/// characters).
///
/// # Errors
/// If the threads can't be listed.
pub fn of_threads(prefix: &str) -> Result<Duration> {
    let mut total = Duration::ZERO;
    for task in std::fs::read_dir("/proc/self/task")? {
        total += of_thread(&task?.path(), prefix).unwrap_or_default();
    }
    Ok(total)
}

/// The processor time of a thread; `None` if its name has another prefix, or if it has ended meanwhile.
fn of_thread(directory: &Path, prefix: &str) -> Option<Duration> {
    let name = std::fs::read_to_string(directory.join("comm")).ok()?;
    if !name.starts_with(prefix) {
        return None;
    }
    processor_time(&std::fs::read_to_string(directory.join("stat")).ok()?)
}

/// The processor time used by the machine since it started: by all processes and the kernel.
///
/// # Errors
/// If it can't be read.
pub fn of_machine() -> Result<Duration> {
    busy_time(&std::fs::read_to_string("/proc/stat")?).ok_or_else(malformed)
}

/// The total time in which processors were neither idle nor waiting for a disk, from the text of `/proc/stat`.
fn busy_time(stat: &str) -> Option<Duration> {
    let fields = stat.lines().find_map(|line| line.strip_prefix("cpu "))?;
    let ticks: Vec<u64> = fields
        .split_whitespace()
        .take(MACHINE_FIELDS)
        .map(str::parse)
        .collect::<std::result::Result<_, _>>()
        .ok()?;
    let idle: u64 = ticks.get(IDLE_FIELDS)?.iter().sum();
    Some(duration(ticks.iter().sum::<u64>() - idle))
}

fn duration(ticks: u64) -> Duration {
    Duration::from_millis(ticks * 1_000 / TICKS_PER_SECOND)
}

/// User and system time from the text of a `stat` file.
fn processor_time(stat: &str) -> Option<Duration> {
    // The command's name is enclosed in parentheses and may contain spaces and parentheses.
    let (_, fields) = stat.rsplit_once(')')?;
    let fields: Vec<&str> = fields.split_whitespace().collect();
    let ticks = |field: usize| fields.get(field)?.parse::<u64>().ok();
    Some(duration(ticks(USER_TIME_FIELD)? + ticks(SYSTEM_TIME_FIELD)?))
}

/// The number after `name` in a file with lines of the form `name: number unit`.
fn field(text: &str, name: &str) -> Option<u64> {
    let line = text.lines().find_map(|line| line.strip_prefix(name))?;
    line.split_whitespace().next()?.parse().ok()
}

fn malformed() -> Error {
    Error::new(ErrorKind::InvalidData, "a file of /proc is malformed")
}

#[cfg(test)]
mod tests;
