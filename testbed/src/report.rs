//! The report of a run: figures of the whole run and by window, as JSON and as text.

use crate::record::{BIN_S, End, Outcome, Record};
use crate::spec::{Class, Experiment, Window};
use crate::stage::Machine;
use hdrhistogram::Histogram;
use serde::Serialize;
use serde_json::Value;
use std::collections::BTreeMap;
use std::fmt::Write;

/// Maximum lateness of the testbed (p99, in milliseconds) at which a run is trusted.
pub const MAX_LATENESS_MS: f64 = 20.0;

/// The number of requests by outcome.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Requests {
    /// All requests that were due.
    pub offered: u64,
    /// Status 200, at any latency.
    pub served: u64,
    /// Status 429 or 503.
    pub refused: u64,
    /// Another answer, or a timeout.
    pub failed: u64,
    /// The proxy was killed, stopped or cut off.
    pub died: u64,
    /// The client left early.
    pub left: u64,
    /// A proxy that was up did not answer.
    pub lost: u64,
}

/// The priority weight of requests, offered and served in time.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct PriorityWeight {
    /// The sum over all requests.
    pub offered: f64,
    /// The sum over requests served within the latency objective of their class.
    pub served: f64,
    /// `served` divided by `offered`.
    pub share: f64,
}

/// The latency of served requests, in milliseconds from their due time.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Latency {
    /// The median.
    pub p50: f64,
    /// The 99th percentile.
    pub p99: f64,
    /// The 99.9th percentile.
    pub p999: f64,
}

/// How evenly load was spread over the machines that were listed for the whole window, in requests relative to weight
/// times speed.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Spread {
    /// The number of machines.
    pub backends: usize,
    /// The mean coefficient of variation in windows of 1 s.
    pub cv: f64,
    /// The coefficient of variation that independent random draws by weight and speed would have in these windows.
    pub cv_random: f64,
    /// The coefficient of variation over the whole window.
    pub cv_whole: f64,
    /// The load of the busiest machine divided by the mean, over the whole window.
    pub peak_over_mean: f64,
    /// The fraction of machines that received nothing in the whole window.
    pub idle_share: f64,
    /// The highest such fraction in any 5 s, of machines whose share is 8 requests or more.
    pub idle_5s: f64,
    /// The highest load of a machine divided by the mean in any 100 ms with 20 requests or more per machine.
    pub worst_100ms_peak_over_mean: f64,
    /// The highest load of a machine in any 200 ms divided by its share, if the share is 20 requests or more.
    pub worst_200ms_over_share: f64,
}

/// The figures of one window.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Figures {
    /// The start and end of the window, in seconds.
    pub span: [f64; 2],
    /// Requests by outcome.
    pub requests: Requests,
    /// Priority weight, offered and served.
    #[serde(rename = "worth")]
    pub priority_weight: PriorityWeight,
    /// The latency of served requests.
    pub latency_ms: Latency,
    /// How evenly load was spread over the machines of the first tier.
    pub spread: Spread,
    /// Connections that machines accepted, per second.
    pub connections_per_s: f64,
    /// Requests sent to machines, per request offered.
    pub sends_per_request: f64,
    /// Requests that machines rejected; counted over the whole run, also in windows.
    pub turned_away: u64,
}

/// How late proxies were notified of list revisions.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Revisions {
    /// The number of notifications measured, over all proxies.
    pub counted: usize,
    /// The longest time from the list service's acknowledgement to the notification of a proxy, in milliseconds.
    pub max_lag_ms: f64,
    /// The 99th percentile of this time, in milliseconds.
    pub p99_lag_ms: f64,
    /// The number of notifications that never arrived, by change and proxy.
    pub never: usize,
}

/// The state of the testbed itself.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct TestbedStatus {
    /// How late requests were sent: the 99th percentile, in milliseconds.
    pub lateness_ms: f64,
    /// The testbed's processor time divided by the time of the run, in cores.
    pub cpu_share: f64,
    /// Seconds from the start of the first process until all were ready.
    pub startup_s: f64,
    /// The testbed's peak memory, in MB.
    pub memory_mb: f64,
    /// Whether the lateness was low enough for the run to be trusted.
    pub trusted: bool,
}

/// The report of a run, as written to `report.json`.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Report {
    /// The name of the experiment.
    pub name: String,
    /// The seed of all random choices.
    pub seed: u64,
    /// The path of the program.
    pub program: String,
    /// Whether the run was ended early.
    pub partial: bool,
    /// The number of proxies of clients, including the reserve.
    pub proxies: usize,
    /// Figures of the whole run after the warm-up.
    #[serde(flatten)]
    pub total: Figures,
    /// Figures by window.
    pub windows: BTreeMap<String, Figures>,
    /// How late proxies were notified of list revisions.
    pub revisions: Revisions,
    /// The texts of the first violations, exceeded bounds included.
    pub violations: Vec<String>,
    /// The number of violations.
    pub violations_count: u64,
    /// The state of the testbed itself.
    #[serde(rename = "lab")]
    pub testbed: TestbedStatus,
    /// The faults that were applied: their times in seconds, and their descriptions.
    pub faults: Vec<(f64, String)>,
}

/// The value at quantile `q` of a histogram of microseconds, in milliseconds.
fn ms(histogram: &Histogram<u64>, q: f64) -> f64 {
    histogram.value_at_quantile(q) as f64 / 1e3
}

fn requests(ends: &[&End], classes: &[Class]) -> (Requests, PriorityWeight, Latency) {
    let (mut r, mut w) = (Requests::default(), PriorityWeight::default());
    let mut latency = Histogram::<u64>::new_with_bounds(1, 600_000_000, 3).ok();
    for end in ends {
        r.offered += 1;
        let class = classes.get(end.class);
        let priority_weight = class.map_or(0.0, |c| c.priority_weight);
        w.offered += priority_weight;
        let count = match end.outcome {
            Outcome::Served => {
                if class.is_some_and(|c| end.latency <= c.on_time) {
                    w.served += priority_weight;
                }
                if let Some(latency) = latency.as_mut() {
                    latency.saturating_record(((end.latency * 1e6) as u64).max(1));
                }
                &mut r.served
            }
            Outcome::Refused => &mut r.refused,
            Outcome::Failed => &mut r.failed,
            Outcome::Died => &mut r.died,
            Outcome::Left => &mut r.left,
            Outcome::Lost => &mut r.lost,
        };
        *count += 1;
    }
    w.share = if w.offered > 0.0 { w.served / w.offered } else { 0.0 };
    let latency = latency.filter(|l| !l.is_empty());
    let latency = latency.map_or(Latency::default(), |l| Latency {
        p50: ms(&l, 0.5),
        p99: ms(&l, 0.99),
        p999: ms(&l, 0.999),
    });
    (r, w, latency)
}

/// The number of requests that a machine received in a range of bins.
fn requests_received(machine: &Machine, from: usize, to: usize) -> f64 {
    let bins = &machine.sent.requests;
    bins[from.min(bins.len())..to.min(bins.len())].iter().map(|n| f64::from(*n)).sum()
}

/// The range of bins of a span in seconds.
fn bin_range(from: f64, to: f64) -> (usize, usize) {
    ((from / BIN_S).round() as usize, (to / BIN_S).round() as usize)
}

/// The loads of the machines in a range of bins, relative to their shares, and their shares in requests.
fn relative_loads(machines: &[&Machine], from: usize, to: usize) -> Option<(Vec<f64>, Vec<f64>)> {
    let total: f64 = machines.iter().map(|m| requests_received(m, from, to)).sum();
    let capacity: f64 = machines.iter().map(|m| m.weight * m.speed).sum();
    if total <= 0.0 || capacity <= 0.0 {
        return None;
    }
    let expected: Vec<f64> = machines.iter().map(|m| total * m.weight * m.speed / capacity).collect();
    let loads = machines.iter().zip(&expected).map(|(m, e)| requests_received(m, from, to) / e).collect();
    Some((loads, expected))
}

/// The coefficient of variation.
fn variation(loads: &[f64]) -> f64 {
    let mean = loads.iter().sum::<f64>() / loads.len() as f64;
    let variance = loads.iter().map(|l| (l - mean).powi(2)).sum::<f64>() / loads.len() as f64;
    if mean > 0.0 { variance.sqrt() / mean } else { 0.0 }
}

/// The maximum divided by the mean.
fn peak_over_mean(loads: &[f64]) -> f64 {
    let mean = loads.iter().sum::<f64>() / loads.len() as f64;
    loads.iter().copied().fold(0.0, f64::max) / mean.max(f64::MIN_POSITIVE)
}

/// How evenly load was spread in a span over the machines of the first tier that were listed for all of it.
pub fn spread(machines: &[Machine], from: f64, to: f64) -> Spread {
    let listed = |from: f64, to: f64| -> Vec<&Machine> {
        machines.iter().filter(|m| m.tier == 0 && m.sent.listed_for(from, to)).collect()
    };
    let (first, last) = bin_range(from, to);
    let whole = listed(from, to);
    let mut spread = Spread { backends: whole.len(), ..Spread::default() };
    if let Some((loads, _)) = relative_loads(&whole, first, last) {
        spread.cv_whole = variation(&loads);
        spread.peak_over_mean = peak_over_mean(&loads);
        spread.idle_share = loads.iter().filter(|l| **l == 0.0).count() as f64 / loads.len() as f64;
    }
    let second = (1.0 / BIN_S) as usize;
    let (mut seconds, mut random) = (Vec::new(), Vec::new());
    for at in (first..last.saturating_sub(second - 1)).step_by(second) {
        let here = listed(at as f64 * BIN_S, (at + second) as f64 * BIN_S);
        if let Some((loads, expected)) = relative_loads(&here, at, at + second) {
            seconds.push(variation(&loads));
            // A Poisson count of mean e has variance e; relative to e, its variance is 1 / e.
            random.push((expected.iter().map(|e| 1.0 / e).sum::<f64>() / expected.len() as f64).sqrt());
        }
    }
    let mean = |all: &[f64]| if all.is_empty() { 0.0 } else { all.iter().sum::<f64>() / all.len() as f64 };
    (spread.cv, spread.cv_random) = (mean(&seconds), mean(&random));
    let spans = |length: usize| (first..(last + 1).saturating_sub(length)).map(move |at| (at, at + length));
    for (a, b) in spans(5 * second) {
        let here = listed(a as f64 * BIN_S, b as f64 * BIN_S);
        if let Some((loads, expected)) = relative_loads(&here, a, b) {
            let shares_of_8: Vec<f64> =
                loads.iter().zip(&expected).filter(|(_, e)| **e >= 8.0).map(|(l, _)| *l).collect();
            let idle =
                shares_of_8.iter().filter(|l| **l == 0.0).count() as f64 / shares_of_8.len().max(1) as f64;
            spread.idle_5s = spread.idle_5s.max(idle);
        }
    }
    for (a, b) in spans(1) {
        let here = listed(a as f64 * BIN_S, b as f64 * BIN_S);
        if let Some((loads, expected)) = relative_loads(&here, a, b)
            && mean(&expected) >= 20.0
        {
            spread.worst_100ms_peak_over_mean = spread.worst_100ms_peak_over_mean.max(peak_over_mean(&loads));
        }
    }
    for (a, b) in spans(2) {
        let here = listed(a as f64 * BIN_S, b as f64 * BIN_S);
        if let Some((loads, expected)) = relative_loads(&here, a, b) {
            let shares_of_20 = loads.iter().zip(&expected).filter(|(_, e)| **e >= 20.0).map(|(l, _)| *l);
            spread.worst_200ms_over_share = shares_of_20.fold(spread.worst_200ms_over_share, f64::max);
        }
    }
    spread
}

/// The figures of one span, in seconds.
pub fn figures(ends: &[End], machines: &[Machine], classes: &[Class], from: f64, to: f64) -> Figures {
    let here: Vec<&End> = ends.iter().filter(|e| (from..to).contains(&e.at)).collect();
    let (requests, priority_weight, latency_ms) = requests(&here, classes);
    let (a, b) = bin_range(from, to);
    let first: Vec<&Machine> = machines.iter().filter(|m| m.tier == 0).collect();
    let connections: u32 = first
        .iter()
        .map(|m| {
            m.sent.connections[a.min(m.sent.connections.len())..b.min(m.sent.connections.len())]
                .iter()
                .sum::<u32>()
        })
        .sum();
    let sends: f64 = first.iter().map(|m| requests_received(m, a, b)).sum();
    Figures {
        span: [from, to],
        requests,
        priority_weight,
        latency_ms,
        spread: spread(machines, from, to),
        connections_per_s: f64::from(connections) / (to - from).max(BIN_S),
        sends_per_request: sends / (requests.offered as f64).max(1.0),
        turned_away: first.iter().map(|m| m.sent.rejected).sum(),
    }
}

/// The delay from the acknowledgement of each revision to the notification of each proxy, in seconds and sorted, and
/// the number of notifications that never arrived. Proxies that were down meanwhile do not count.
pub fn lags(record: &Record, proxies: usize) -> (Vec<f64>, usize) {
    let (mut lags, mut never) = (Vec::new(), 0);
    // Revisions from before the load are part of the list that a proxy gets when it starts.
    for (revision, at) in record.acknowledged().into_iter().filter(|(_, at)| *at >= 0.0) {
        for proxy in 0..proxies {
            match record.notified_at(proxy, revision) {
                // A notification that arrives before the acknowledgement was read has no delay.
                Some(notified_at) => {
                    if !record.was_down(proxy, [at, notified_at]) {
                        lags.push((notified_at - at).max(0.0));
                    }
                }
                None => never += usize::from(!record.was_down(proxy, [at, record.now()])),
            }
        }
    }
    lags.sort_by(f64::total_cmp);
    (lags, never)
}

impl Report {
    /// The figure at a dotted path: `spread.cv` of the whole run, `after.spread.cv` of the window `after`.
    pub fn figure(&self, path: &str) -> Option<f64> {
        let json = serde_json::to_value(self).ok()?;
        let walk =
            |from: &Value, path: &str| path.split('.').try_fold(from.clone(), |v, step| v.get(step).cloned());
        walk(&json["windows"], path).or_else(|| walk(&json, path))?.as_f64()
    }

    /// Checks the experiment's bounds on figures; a bound that is exceeded is a violation.
    pub fn check_bounds(&mut self, experiment: &Experiment) {
        let maxima = experiment.oracle.at_most.iter().map(|(path, bound)| (path, *bound, true));
        let minima = experiment.oracle.at_least.iter().map(|(path, bound)| (path, *bound, false));
        let exceeded: Vec<String> = maxima
            .chain(minima)
            .filter_map(|(path, bound, is_max)| match self.figure(path) {
                None => Some(format!("{path}: no such figure")),
                Some(v) if is_max && v > bound => {
                    Some(format!("{path} is {v:.4}, above the maximum {bound}"))
                }
                Some(v) if !is_max && v < bound => {
                    Some(format!("{path} is {v:.4}, below the minimum {bound}"))
                }
                Some(_) => None,
            })
            .collect();
        self.violations_count += exceeded.len() as u64;
        self.violations.extend(exceeded);
    }

    /// The report as text.
    pub fn text(&self) -> String {
        let mut text = String::new();
        let partial = if self.partial { " (ended early)" } else { "" };
        let _ = writeln!(text, "{} seed {}{partial}: {} proxies", self.name, self.seed, self.proxies);
        let whole = ("whole".to_string(), self.total.clone());
        for (name, f) in std::iter::once(&whole).chain(
            self.windows.clone().iter().map(|(n, f)| (n.clone(), f.clone())).collect::<Vec<_>>().iter(),
        ) {
            let (r, s, l) = (&f.requests, &f.spread, &f.latency_ms);
            let _ = writeln!(
                text,
                "  {name:<10} {:>4.1}-{:.1} s: {} offered, {} served, {} rejected, {} failed, {} died, {} left, {} \
                 lost; worth {:.3}; p50 {:.1} p99 {:.1} p999 {:.1} ms",
                f.span[0],
                f.span[1],
                r.offered,
                r.served,
                r.refused,
                r.failed,
                r.died,
                r.left,
                r.lost,
                f.priority_weight.share,
                l.p50,
                l.p99,
                l.p999
            );
            let _ = writeln!(
                text,
                "  {:<10} spread over {}: cv {:.3} ({:.3} for random draws), whole {:.3}; peak {:.2}; idle \
                 {:.1}% (5 s: {:.1}%); in 200 ms at most {:.2} times the share; {:.1} connections/s, {:.3} \
                 sends per request",
                "",
                s.backends,
                s.cv,
                s.cv_random,
                s.cv_whole,
                s.peak_over_mean,
                100.0 * s.idle_share,
                100.0 * s.idle_5s,
                s.worst_200ms_over_share,
                f.connections_per_s,
                f.sends_per_request
            );
        }
        let r = &self.revisions;
        let _ = writeln!(
            text,
            "  list: {} notifications, delay p99 {:.1} ms, max {:.1} ms; {} never arrived",
            r.counted, r.p99_lag_ms, r.max_lag_ms, r.never
        );
        let trusted = if self.testbed.trusted { "" } else { " (NOT TO BE TRUSTED)" };
        let _ = writeln!(
            text,
            "  testbed: lateness p99 {:.2} ms{trusted}, {:.2} cores, {:.0} MB; started in {:.1} s",
            self.testbed.lateness_ms, self.testbed.cpu_share, self.testbed.memory_mb, self.testbed.startup_s
        );
        let _ = writeln!(text, "  violations: {}", self.violations_count);
        for violation in self.violations.iter().take(10) {
            let _ = writeln!(text, "    {violation}");
        }
        text
    }
}

/// The figures of the whole run, and of each window that began before `ended`, by name.
pub fn by_window(
    ends: &[End],
    machines: &[Machine],
    experiment: &Experiment,
    ended: f64,
) -> (Figures, BTreeMap<String, Figures>) {
    let classes = &experiment.classes;
    let whole = figures(ends, machines, classes, experiment.warmup, ended);
    let window = |w: &Window| (w.name.clone(), figures(ends, machines, classes, w.from, w.to.min(ended)));
    (whole, experiment.windows.iter().filter(|w| w.from < ended).map(window).collect())
}

#[cfg(test)]
mod tests;
