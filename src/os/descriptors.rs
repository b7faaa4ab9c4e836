//! The limit of this process's open file descriptors.

/// The file in which the system states the limits of this process.
const PROCESS_LIMITS: &str = "/proc/self/limits";
/// The label of the line with the limit of open files.
const OPEN_FILES_LABEL: &str = "Max open files";

/// The soft limit of open file descriptors; `None` if the system does not state one.
pub fn max_open_files() -> Option<usize> {
    parse_max_open_files(&std::fs::read_to_string(PROCESS_LIMITS).ok()?)
}

/// Parses the soft limit of open files from text in the form of `/proc/self/limits`; `unlimited` is `usize::MAX`.
pub fn parse_max_open_files(limits: &str) -> Option<usize> {
    let values = limits.lines().find_map(|line| line.strip_prefix(OPEN_FILES_LABEL))?;
    match values.split_whitespace().next()? {
        "unlimited" => Some(usize::MAX),
        number => number.parse().ok(),
    }
}
