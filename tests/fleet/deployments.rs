//! Every deployment of `deploy/sites/` under rolling restarts: what fits one deployment's deadlines, windows, limits
//! and tenants alone fails here for the others.

mod backends;
mod clients;
mod site;

use crate::harness;
use crate::harness::discovery::{Discovery, Listing};
use crate::harness::process::{Fleet, Process};
use crate::ready;
use backends::Backends;
use clients::{End, Front, Request, Traffic, Try, proxy_of};
use nix::sys::resource::{Resource, getrlimit, setrlimit};
use nix::sys::signal::Signal;
use site::{Effect, Site};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Proxies of each deployment, restarted one after another.
const PROXIES: usize = 3;
/// All processes of a deployment are killed after so long.
const FLEET_DEADLINE: Duration = Duration::from_secs(60);
/// Traffic before the first restart and between two.
const QUIET: Duration = Duration::from_millis(400);
/// How long a request may take to reach a backend that hangs.
const HANG_TIMEOUT: Duration = Duration::from_secs(8);
/// How long after SIGTERM the front goes on with new connections.
const FRONT_NOTICE: Duration = Duration::from_millis(300);
/// This proxy is stopped by SIGSTOP around its SIGTERM, as a process is that gets no processor time then,
const PAUSED_PROXY: usize = 1;
/// for so long before it and for so long after.
const HALF_PAUSE: Duration = Duration::from_millis(150);
/// A close that comes later than this behind a request's last byte has not crossed it: the request was taken.
const LONGEST_CROSSING: Duration = Duration::from_millis(300);
/// One request in so many may have its new connection closed without an answer.
const CLOSED_UNREAD: usize = 200;
/// Descriptors that the test process needs.
const DESCRIPTORS: u64 = 8192;

/// Why a request is lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Loss {
    /// Its connection ended after it had been sent on.
    SentOn,
    /// Its connection ended too late to have crossed it.
    Taken,
    /// Its answer broke off.
    Cut,
    /// It had no answer in its time.
    Silent,
    /// It was answered with another's answer, or with something that is none.
    Wrong,
    /// Both its tries ended without an answer.
    Unanswered,
}

/// One stop of a proxy.
#[derive(Debug)]
struct Stop {
    told: Instant,
    /// How long after SIGTERM it ended.
    took: Duration,
    /// It ended only on SIGKILL.
    killed: bool,
    /// A request of it hung at a backend when it was told.
    hung: bool,
}

/// What was seen of one deployment.
struct Report {
    site: Arc<Site>,
    requests: Vec<Request>,
    stops: Vec<Stop>,
    backends: Backends,
}

/// A deployment that is played: its processes and what stands around them.
struct Rollout {
    site: Arc<Site>,
    fleet: Fleet,
    discovery: Discovery,
    backends: Backends,
    proxies: Vec<Process>,
    front: Arc<Front>,
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
            .map(|me| {
                let config = config(&site, &discovery, me, me as u64);
                fleet.proxy(&config, discovery.agent(me)).expect("a proxy starts")
            })
            .collect();
        proxies.iter().for_each(ready);
        let front = Arc::new(Front::new(proxies.iter().map(Process::address).collect()));
        Self { site, fleet, discovery, backends, proxies, front }
    }

    /// Restarts one proxy after another under traffic, a quarter and a half of the backends hanging in turn.
    fn play(mut self) -> Report {
        let traffic = Traffic::start(self.site.clone(), self.front.clone());
        let mut stops = Vec::new();
        for proxy in 0..PROXIES {
            std::thread::sleep(QUIET);
            let share = if proxy % 2 == 0 { 2 } else { 4 };
            let hung = self.hang_under(proxy, (self.site.backends() / share).max(1));
            stops.push(self.stop(proxy, hung));
            self.start_again(proxy);
            self.backends.hang(&[]);
        }
        std::thread::sleep(QUIET);
        let requests = traffic.end();
        self.fleet.check_deadline();
        Report { site: self.site, requests, stops, backends: self.backends }
    }

    /// Makes so many of the backends hang that this proxy used last, and waits until a request of it hangs with them;
    /// tells whether one does.
    fn hang_under(&self, proxy: usize, count: usize) -> bool {
        let of_proxy = |txn: &str| proxy_of(txn) == Some(proxy);
        self.backends.hang(&self.backends.latest_used(count, of_proxy));
        let deadline = Instant::now() + HANG_TIMEOUT;
        while !self.backends.is_hanging(of_proxy) && Instant::now() < deadline {
            std::thread::sleep(Duration::from_millis(2));
        }
        self.backends.is_hanging(of_proxy)
    }

    /// Tells a proxy to stop, and kills it when SIGKILL may come.
    fn stop(&mut self, proxy: usize, hung: bool) -> Stop {
        let process = &mut self.proxies[proxy];
        if proxy == PAUSED_PROXY {
            process.signal(Signal::SIGSTOP);
            std::thread::sleep(HALF_PAUSE);
        }
        let told = Instant::now();
        process.signal(Signal::SIGTERM);
        std::thread::sleep(HALF_PAUSE);
        process.signal(Signal::SIGCONT);
        std::thread::sleep(FRONT_NOTICE - HALF_PAUSE);
        self.front.set_leaving(proxy, true);
        let left = self.site.kill_after().saturating_sub(told.elapsed());
        let ended = process.wait_exit(left);
        let took = told.elapsed();
        process.kill();
        assert_ne!(ended, Some(false), "{}: proxy {proxy} fails on SIGTERM", self.site.name);
        Stop { told, took, killed: ended.is_none(), hung }
    }

    fn start_again(&mut self, proxy: usize) {
        let config = config(&self.site, &self.discovery, proxy, (PROXIES + proxy) as u64);
        let agent = [self.discovery.agent(proxy)];
        let address = self.front.address(proxy);
        self.proxies[proxy] = self.fleet.proxy_at(&config, &agent, address).expect("it starts again");
        ready(&self.proxies[proxy]);
        self.front.set_leaving(proxy, false);
    }
}

fn config(site: &Site, discovery: &Discovery, me: usize, seed: u64) -> String {
    harness::config(&site.settings(me, PROXIES), &discovery.known(), seed)
}

/// How late a close may come behind a request that it has crossed: a process that is paused reads it later.
fn longest_crossing(proxy: usize) -> Duration {
    let pause = if proxy == PAUSED_PROXY { 2 * HALF_PAUSE } else { Duration::ZERO };
    LONGEST_CROSSING + pause
}

impl Report {
    fn tries(&self) -> impl Iterator<Item = &Try> {
        self.requests.iter().flat_map(|request| &request.tries)
    }

    fn count(&self, wanted: impl Fn(&End) -> bool) -> usize {
        self.tries().filter(|one| wanted(&one.end)).count()
    }

    /// Why a try is a loss, whatever comes after it.
    fn loss_of_try(&self, one: &Try) -> Option<Loss> {
        match one.end {
            End::Answered(_) | End::NotTaken | End::Unreachable => None,
            End::Closed(_) if self.backends.times_seen(&one.txn) > 0 => Some(Loss::SentOn),
            End::Closed(after) if after > longest_crossing(one.proxy) => Some(Loss::Taken),
            End::Closed(_) => None,
            End::Cut => Some(Loss::Cut),
            End::Silent => Some(Loss::Silent),
            End::Wrong => Some(Loss::Wrong),
        }
    }

    fn loss(&self, request: &Request) -> Option<Loss> {
        let lost = request.tries.iter().find_map(|one| self.loss_of_try(one));
        let last = request.tries.last().expect("a request has a try");
        let unanswered = !matches!(last.end, End::Answered(_));
        lost.or(unanswered.then_some(Loss::Unanswered))
    }

    fn losses(&self) -> Vec<(Loss, &Request)> {
        self.requests.iter().filter_map(|request| Some((self.loss(request)?, request))).collect()
    }

    /// When a try was sent, relative to the stop of its proxy.
    fn since_stop(&self, one: &Try) -> f64 {
        let told = self.stops[one.proxy].told;
        let before = told.saturating_duration_since(one.sent).as_secs_f64();
        one.sent.saturating_duration_since(told).as_secs_f64() - before
    }

    fn describe(&self, loss: Loss, request: &Request) -> String {
        let class = &self.site.classes[request.class].name;
        let tries = request.tries.iter().map(|one| {
            let since = self.since_stop(one);
            format!("{} at proxy {}, sent {since:.2} s after SIGTERM: {:?}", one.txn, one.proxy, one.end)
        });
        format!("{loss:?} {class}: {}", tries.collect::<Vec<_>>().join("; "))
    }

    /// New connections that were closed without an answer, and with nothing sent on.
    fn closed_unread(&self) -> usize {
        let closed = |one: &&Try| one.on_new_connection && matches!(one.end, End::Closed(_));
        self.tries().filter(closed).filter(|one| self.loss_of_try(one).is_none()).count()
    }

    /// Tries of unsafe requests that backends saw more than once.
    fn run_twice(&self) -> usize {
        let is_unsafe = |request: &&Request| self.site.classes[request.class].effect == Effect::Unsafe;
        let tries = self.requests.iter().filter(is_unsafe).flat_map(|request| &request.tries);
        tries.filter(|one| self.backends.times_seen(&one.txn) > 1).count()
    }

    /// One line of figures.
    fn summary(&self) -> String {
        let mut losses: BTreeMap<Loss, usize> = BTreeMap::new();
        self.losses().into_iter().for_each(|(loss, _)| *losses.entry(loss).or_default() += 1);
        let stops: Vec<String> = self
            .stops
            .iter()
            .map(|stop| {
                format!("{:.2} s{}", stop.took.as_secs_f64(), if stop.killed { " killed" } else { "" })
            })
            .collect();
        format!(
            "{}: {} requests, {} served, {} refused, {} failed, {} closes crossed, {} of them new, {} unreachable, \
             stops {}, lost {losses:?}",
            self.site.name,
            self.requests.len(),
            self.count(|end| *end == End::Answered(200)),
            self.count(|end| matches!(end, End::Answered(429 | 503))),
            self.count(|end| matches!(end, End::Answered(status) if ![200, 429, 503].contains(status))),
            self.count(|end| matches!(end, End::Closed(_) | End::NotTaken)),
            self.closed_unread(),
            self.count(|end| *end == End::Unreachable),
            stops.join(", ")
        )
    }

    /// What does not hold.
    fn faults(&self) -> Vec<String> {
        let losses = self.losses();
        let mut faults: Vec<String> =
            losses.iter().map(|(loss, request)| self.describe(*loss, request)).collect();
        if self.closed_unread() * CLOSED_UNREAD > self.requests.len() {
            faults.push(format!("{} new connections closed without an answer", self.closed_unread()));
        }
        if let Some(proxy) = self.stops.iter().position(|stop| !stop.hung) {
            faults.push(format!("no request hung under proxy {proxy} when it was told to stop"));
        }
        let served = self.count(|end| *end == End::Answered(200));
        if served * 2 < self.requests.len() {
            faults.push(format!("only {served} of {} requests served", self.requests.len()));
        }
        if self.run_twice() > 0 {
            faults.push(format!("{} unsafe requests run twice", self.run_twice()));
        }
        faults.iter().map(|fault| format!("{}: {fault}", self.site.name)).collect()
    }
}

/// Raises the soft limit of descriptors: all deployments are played side by side.
fn raise_descriptors() {
    let (soft, hard) = getrlimit(Resource::RLIMIT_NOFILE).expect("the limit of descriptors");
    if soft < DESCRIPTORS {
        setrlimit(Resource::RLIMIT_NOFILE, DESCRIPTORS.min(hard), hard).expect("a higher limit");
    }
}

/// Three proxies of each deployment are restarted in turn, one of them paused around its SIGTERM, while backends hang
/// and clients send up to the end, in pieces too. Each request that was taken has one whole answer in its time, and before SIGKILL may come.
#[test]
fn rolling_restarts_of_every_deployment_answer_all_that_was_taken() {
    raise_descriptors();
    let sites = Site::read_all();
    assert!(sites.len() >= 2, "deploy/sites holds deployments");
    let threads: Vec<_> = sites
        .into_iter()
        .map(|site| std::thread::spawn(move || Rollout::start(Arc::new(site)).play()))
        .collect();
    let reports: Vec<Report> =
        threads.into_iter().map(|thread| thread.join().expect("a deployment is played")).collect();
    reports.iter().for_each(|report| eprintln!("{}", report.summary()));
    let faults: Vec<String> = reports.iter().flat_map(Report::faults).collect();
    assert!(faults.is_empty(), "{} faults:\n{}", faults.len(), faults.join("\n"));
}
