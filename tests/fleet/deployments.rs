//! Rolling restarts of every deployment in `deploy/sites/`: behaviour that suits only the deadlines, windows, limits
//! and tenants of one deployment fails here for the others.

mod backends;
mod clients;
mod site;

use crate::harness;
use crate::harness::discovery::{Discovery, Listing};
use crate::harness::process::{Fleet, Process};
use crate::wait_until_ready;
use backends::Backends;
use clients::{Attempt, End, LoadBalancer, Request, Traffic, proxy_of};
use nix::sys::resource::{Resource, getrlimit, setrlimit};
use nix::sys::signal::Signal;
use site::{Effect, Site};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Proxies of each deployment, restarted one after another.
const PROXIES: usize = 3;
/// All processes of a deployment are killed after this time.
const FLEET_DEADLINE: Duration = Duration::from_secs(60);
/// How long traffic runs before the first restart, between two and after the last.
const TRAFFIC_DURATION: Duration = Duration::from_millis(400);
/// How long a request may take to reach a backend that hangs.
const HANG_TIMEOUT: Duration = Duration::from_secs(8);
/// How long after SIGTERM the load balancer still opens new connections to the proxy.
const LOAD_BALANCER_DELAY: Duration = Duration::from_millis(300);
/// The proxy that is paused by SIGSTOP around its SIGTERM, like a process that gets no processor time then.
const PAUSED_PROXY: usize = 1;
/// How long [`PAUSED_PROXY`] is paused before its SIGTERM, and again after it.
const HALF_PAUSE: Duration = Duration::from_millis(150);
/// A close later than this after a request's last byte did not cross the request: the proxy had accepted it.
const MAX_CROSSING_DELAY: Duration = Duration::from_millis(300);
/// Minimum number of requests for each new connection that is closed without an answer.
const MIN_REQUESTS_PER_UNREAD_CLOSE: usize = 200;
/// Descriptors that the test process needs.
const MIN_DESCRIPTORS: u64 = 8192;

/// Why a request is lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Loss {
    /// Its connection closed after it had been forwarded.
    Forwarded,
    /// Its connection closed too late to have crossed it.
    Accepted,
    /// Its answer was truncated.
    Truncated,
    /// It had no answer in time.
    TimedOut,
    /// It got the answer of another request, or a malformed one.
    WrongAnswer,
    /// Both its attempts ended without an answer.
    Unanswered,
}

/// One stop of a proxy by SIGTERM.
#[derive(Debug)]
struct Stop {
    /// When SIGTERM was sent.
    signalled_at: Instant,
    /// How long after SIGTERM the proxy exited.
    elapsed: Duration,
    /// Whether it exited only on SIGKILL.
    killed: bool,
    /// Whether one of its requests hung at a backend at SIGTERM.
    hung: bool,
}

/// The results of one deployment.
struct Report {
    site: Arc<Site>,
    requests: Vec<Request>,
    stops: Vec<Stop>,
    backends: Backends,
}

/// A running deployment: its proxies, backends, discovery and load balancer.
struct Rollout {
    site: Arc<Site>,
    fleet: Fleet,
    discovery: Discovery,
    backends: Backends,
    proxies: Vec<Process>,
    load_balancer: Arc<LoadBalancer>,
}

impl Rollout {
    fn start(site: Arc<Site>) -> Self {
        let mut fleet = harness::fleet(FLEET_DEADLINE);
        let backends = Backends::start(&site);
        let listed = |(n, address)| Listing {
            id: format!("{}-{n}", site.name),
            address,
            zone: site.zone(n).to_string(),
            ..Listing::default()
        };
        let listings = backends.addresses().iter().copied().enumerate().map(listed).collect();
        let discovery = Discovery::start(listings, PROXIES).expect("discovery starts");
        let proxies: Vec<Process> = (0..PROXIES)
            .map(|proxy_index| {
                let config = config(&site, &discovery, proxy_index, proxy_index as u64);
                fleet.proxy(&config, discovery.agent(proxy_index)).expect("a proxy starts")
            })
            .collect();
        proxies.iter().for_each(wait_until_ready);
        let load_balancer = Arc::new(LoadBalancer::new(proxies.iter().map(Process::address).collect()));
        Self { site, fleet, discovery, backends, proxies, load_balancer }
    }

    /// Restarts one proxy after another under traffic, while half or a quarter of the backends hang.
    fn run(mut self) -> Report {
        let traffic = Traffic::start(self.site.clone(), self.load_balancer.clone());
        let mut stops = Vec::new();
        for proxy in 0..PROXIES {
            std::thread::sleep(TRAFFIC_DURATION);
            let divisor = if proxy % 2 == 0 { 2 } else { 4 };
            let hung = self.hang_backends_of(proxy, (self.site.backends() / divisor).max(1));
            stops.push(self.stop(proxy, hung));
            self.restart(proxy);
            self.backends.hang(&[]);
        }
        std::thread::sleep(TRAFFIC_DURATION);
        let requests = traffic.end();
        self.fleet.check_deadline();
        Report { site: self.site, requests, stops, backends: self.backends }
    }

    /// Makes the `count` backends hang that this proxy used last, and waits until one of its requests hangs there;
    /// returns whether one does.
    fn hang_backends_of(&self, proxy: usize, count: usize) -> bool {
        let of_proxy = |txn: &str| proxy_of(txn) == Some(proxy);
        self.backends.hang(&self.backends.latest_used(count, of_proxy));
        let deadline = Instant::now() + HANG_TIMEOUT;
        while !self.backends.is_hanging(of_proxy) && Instant::now() < deadline {
            std::thread::sleep(Duration::from_millis(2));
        }
        self.backends.is_hanging(of_proxy)
    }

    /// Stops a proxy by SIGTERM, and kills it when SIGKILL is due.
    fn stop(&mut self, proxy: usize, hung: bool) -> Stop {
        let process = &mut self.proxies[proxy];
        if proxy == PAUSED_PROXY {
            process.signal(Signal::SIGSTOP);
            std::thread::sleep(HALF_PAUSE);
        }
        let signalled_at = Instant::now();
        process.signal(Signal::SIGTERM);
        std::thread::sleep(HALF_PAUSE);
        process.signal(Signal::SIGCONT);
        std::thread::sleep(LOAD_BALANCER_DELAY - HALF_PAUSE);
        self.load_balancer.set_leaving(proxy, true);
        let remaining = self.site.kill_after().saturating_sub(signalled_at.elapsed());
        let exit = process.wait_exit(remaining);
        let elapsed = signalled_at.elapsed();
        process.kill();
        assert_ne!(exit, Some(false), "{}: proxy {proxy} fails on SIGTERM", self.site.name);
        Stop { signalled_at, elapsed, killed: exit.is_none(), hung }
    }

    fn restart(&mut self, proxy: usize) {
        let config = config(&self.site, &self.discovery, proxy, (PROXIES + proxy) as u64);
        let agent = [self.discovery.agent(proxy)];
        let address = self.load_balancer.address(proxy);
        self.proxies[proxy] = self.fleet.proxy_at(&config, &agent, address).expect("the proxy starts again");
        wait_until_ready(&self.proxies[proxy]);
        self.load_balancer.set_leaving(proxy, false);
    }
}

fn config(site: &Site, discovery: &Discovery, proxy_index: usize, seed: u64) -> String {
    harness::config(&site.settings(proxy_index, PROXIES), &discovery.known(), seed)
}

/// The maximum time from a request to a close that crossed it: a paused process reads the request later.
fn max_crossing_delay(proxy: usize) -> Duration {
    let pause = if proxy == PAUSED_PROXY { 2 * HALF_PAUSE } else { Duration::ZERO };
    MAX_CROSSING_DELAY + pause
}

impl Report {
    fn attempts(&self) -> impl Iterator<Item = &Attempt> {
        self.requests.iter().flat_map(|request| &request.attempts)
    }

    fn count(&self, matches_end: impl Fn(&End) -> bool) -> usize {
        self.attempts().filter(|attempt| matches_end(&attempt.end)).count()
    }

    /// Why an attempt is a loss, whatever comes after it.
    fn loss_of_attempt(&self, attempt: &Attempt) -> Option<Loss> {
        match attempt.end {
            End::Answered(_) | End::NotSent | End::Unreachable => None,
            End::Closed(_) if self.backends.times_received(&attempt.txn) > 0 => Some(Loss::Forwarded),
            End::Closed(after) if after > max_crossing_delay(attempt.proxy) => Some(Loss::Accepted),
            End::Closed(_) => None,
            End::Truncated => Some(Loss::Truncated),
            End::TimedOut => Some(Loss::TimedOut),
            End::WrongAnswer => Some(Loss::WrongAnswer),
        }
    }

    fn loss(&self, request: &Request) -> Option<Loss> {
        let lost = request.attempts.iter().find_map(|attempt| self.loss_of_attempt(attempt));
        let last = request.attempts.last().expect("a request has an attempt");
        let unanswered = !matches!(last.end, End::Answered(_));
        lost.or(unanswered.then_some(Loss::Unanswered))
    }

    fn losses(&self) -> Vec<(Loss, &Request)> {
        self.requests.iter().filter_map(|request| Some((self.loss(request)?, request))).collect()
    }

    /// When an attempt was sent, in seconds after the SIGTERM of its proxy.
    fn since_stop(&self, attempt: &Attempt) -> f64 {
        let signalled_at = self.stops[attempt.proxy].signalled_at;
        let before = signalled_at.saturating_duration_since(attempt.sent_at).as_secs_f64();
        attempt.sent_at.saturating_duration_since(signalled_at).as_secs_f64() - before
    }

    fn describe(&self, loss: Loss, request: &Request) -> String {
        let class = &self.site.classes[request.class].name;
        let attempts = request.attempts.iter().map(|attempt| {
            let since = self.since_stop(attempt);
            format!(
                "{} at proxy {}, sent {since:.2} s after SIGTERM: {:?}",
                attempt.txn, attempt.proxy, attempt.end
            )
        });
        format!("{loss:?} {class}: {}", attempts.collect::<Vec<_>>().join("; "))
    }

    /// The number of new connections that were closed without an answer and with nothing forwarded.
    fn closed_unread(&self) -> usize {
        let closed = |attempt: &&Attempt| attempt.on_new_connection && matches!(attempt.end, End::Closed(_));
        self.attempts().filter(closed).filter(|attempt| self.loss_of_attempt(attempt).is_none()).count()
    }

    /// The number of attempts of unsafe requests that backends received more than once.
    fn run_twice(&self) -> usize {
        let is_unsafe = |request: &&Request| self.site.classes[request.class].effect == Effect::Unsafe;
        let attempts = self.requests.iter().filter(is_unsafe).flat_map(|request| &request.attempts);
        attempts.filter(|attempt| self.backends.times_received(&attempt.txn) > 1).count()
    }

    /// The figures in one line.
    fn summary(&self) -> String {
        let mut losses: BTreeMap<Loss, usize> = BTreeMap::new();
        self.losses().into_iter().for_each(|(loss, _)| *losses.entry(loss).or_default() += 1);
        let stops: Vec<String> = self
            .stops
            .iter()
            .map(|stop| {
                format!("{:.2} s{}", stop.elapsed.as_secs_f64(), if stop.killed { " killed" } else { "" })
            })
            .collect();
        format!(
            "{}: {} requests, {} served, {} rejected, {} failed, {} closed, {} of them new and unread, {} unreachable, \
             stops {}, lost {losses:?}",
            self.site.name,
            self.requests.len(),
            self.count(|end| *end == End::Answered(200)),
            self.count(|end| matches!(end, End::Answered(429 | 503))),
            self.count(|end| matches!(end, End::Answered(status) if ![200, 429, 503].contains(status))),
            self.count(|end| matches!(end, End::Closed(_) | End::NotSent)),
            self.closed_unread(),
            self.count(|end| *end == End::Unreachable),
            stops.join(", ")
        )
    }

    /// The violated conditions.
    fn violations(&self) -> Vec<String> {
        let losses = self.losses();
        let mut violations: Vec<String> =
            losses.iter().map(|(loss, request)| self.describe(*loss, request)).collect();
        if self.closed_unread() * MIN_REQUESTS_PER_UNREAD_CLOSE > self.requests.len() {
            violations.push(format!("{} new connections closed without an answer", self.closed_unread()));
        }
        if let Some(proxy) = self.stops.iter().position(|stop| !stop.hung) {
            violations.push(format!("no request of proxy {proxy} hung at its SIGTERM"));
        }
        let served = self.count(|end| *end == End::Answered(200));
        if served * 2 < self.requests.len() {
            violations.push(format!("only {served} of {} requests served", self.requests.len()));
        }
        if self.run_twice() > 0 {
            violations.push(format!("{} unsafe requests run twice", self.run_twice()));
        }
        violations.iter().map(|violation| format!("{}: {violation}", self.site.name)).collect()
    }
}

/// Raises the soft limit of descriptors, because all deployments run at the same time.
fn raise_descriptor_limit() {
    let (soft, hard) = getrlimit(Resource::RLIMIT_NOFILE).expect("the limit of descriptors");
    if soft < MIN_DESCRIPTORS {
        setrlimit(Resource::RLIMIT_NOFILE, MIN_DESCRIPTORS.min(hard), hard).expect("a higher limit");
    }
}

/// Three proxies of each deployment are restarted in turn, one of them paused around its SIGTERM, while backends hang
/// and clients send until their connections close, some requests in pieces. Each accepted request gets one complete
/// answer in time and before SIGKILL is due.
#[test]
fn rolling_restarts_of_every_deployment_answer_every_accepted_request() {
    raise_descriptor_limit();
    let sites = Site::read_all();
    assert!(sites.len() >= 2, "deploy/sites has deployments");
    let threads: Vec<_> = sites
        .into_iter()
        .map(|site| std::thread::spawn(move || Rollout::start(Arc::new(site)).run()))
        .collect();
    let reports: Vec<Report> =
        threads.into_iter().map(|thread| thread.join().expect("a deployment has run")).collect();
    reports.iter().for_each(|report| eprintln!("{}", report.summary()));
    let violations: Vec<String> = reports.iter().flat_map(Report::violations).collect();
    assert!(violations.is_empty(), "{} violations:\n{}", violations.len(), violations.join("\n"));
}
