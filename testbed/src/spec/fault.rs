//! The faults of an experiment.

use serde::Deserialize;

/// The kind of a fault.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// Processes get SIGKILL; backends reset connections and refuse new ones. With `for`, they start again.
    Kill,
    /// Proxies and list nodes get SIGSTOP, and SIGCONT after `for`; backends hang.
    Stop,
    /// Proxies get SIGTERM, and start again after `for` if it is given.
    Term,
    /// Members that do not run start: reserve proxies, or killed members; backends start cold.
    Start,
    /// Backends are drained through the list, and are removed after `for` if it is given.
    Drain,
    /// Backends are replaced one after another over `within` seconds: each is drained, then removed, and a new
    /// cold one is listed instead.
    Replace,
    /// Backends run at `part` of their speed.
    Slow,
    /// Backends stop for `by_ms` in each second.
    Freeze,
    /// Backends answer `part` of their requests with an error at once.
    FailFast,
    /// A neighbour uses `part` of the machine, every other second.
    Neighbour,
    /// Load reports are delayed by `by_ms`.
    LateReports,
    /// Load reports always claim that the backend is idle.
    LyingReports,
    /// Backends are listed with weight `part`.
    Weight,
    /// The link from `who` to `to` delays messages by up to `by_ms`, drawn for each link.
    Delay,
    /// The link breaks one in `1 / part` new connections, requests or attempts.
    Drop,
    /// The link loses all data; with `one_way`, only the data that `who` sends.
    BlackHole,
    /// The link resets open and new connections.
    Reset,
}

/// A fault on the timeline.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// When it begins, in seconds from the first arrival.
    pub at: f64,
    /// Its length in seconds, if it ends by itself.
    #[serde(default, rename = "for")]
    pub length: Option<f64>,
    /// Its kind.
    #[serde(rename = "what")]
    pub kind: FaultKind,
    /// The members that it applies to: the name of a group (`groups`) or a group expression.
    #[serde(rename = "who")]
    pub targets: String,
    /// The other end of the link.
    #[serde(default)]
    pub to: Option<String>,
    /// A fraction; its meaning depends on the kind.
    #[serde(default)]
    pub part: Option<f64>,
    /// A time in milliseconds; its meaning depends on the kind.
    #[serde(default)]
    pub by_ms: Option<f64>,
    /// Seconds over which it is applied to the members one after another.
    #[serde(default)]
    pub within: f64,
    /// Whether a link loses only data from `who` to `to`.
    #[serde(default)]
    pub one_way: bool,
    /// How often it is applied, `every` seconds apart.
    #[serde(default = "default_times")]
    pub times: usize,
    /// Seconds between two applications.
    #[serde(default)]
    pub every: f64,
}

fn default_times() -> usize {
    1
}
