//! The program that holds one duty: it acquires and renews a lease at the list service over HTTP, and performs its duty
//! only while the lease is valid, with the fencing token in every act.
//!
//! The duty is to warm up a backend: one request each `every_ms` to its address, so that a single process of the fleet
//! warms it up, not all of them together. The backend (or whatever receives the act) answers 409 to a token below one
//! it has seen; the holder then treats its grant as lost.
//!
//! It is run as `linkhatch-proxy hold --config FILE.toml`, never as part of the proxy. On SIGTERM it stops acting,
//! releases its lease (best effort: without the release the lease expires after its TTL) and exits with status 0.

mod config;
mod service;

pub use config::{HolderConfig, WarmDuty};

use super::{Clock, Contender};
use crate::http_client::CallError;
use crate::os::signals::{SIGTERM, Signals};
use crate::response_latency::AdaptiveTimeout;
use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, StatusCode};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use service::{AcquireReply, AcquireRequest, GrantRequest, RenewReply, ServiceError};
use std::cell::{Cell, RefCell};
use std::fmt::Display;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// The timeout of an act.
const ACT_TIMEOUT: Duration = Duration::from_secs(1);
/// The backoff after the first failure of a list-service address.
const MIN_BACKOFF: Duration = Duration::from_millis(20);
/// The longest backoff.
const MAX_BACKOFF: Duration = Duration::from_millis(500);
/// Combined with the holder's name to seed the jitter.
const JITTER_SEED: u64 = 0xa11c_e5ed;

/// One holder: its configuration, its clock and its lease.
struct Holder {
    config: HolderConfig,
    clock: Clock,
    contender: RefCell<Contender>,
    /// Index of the list-service address in use.
    address_index: Cell<usize>,
    /// The backoff after the next failure.
    backoff: Cell<Duration>,
    /// The timeout of calls to the list service.
    call_timeout: RefCell<AdaptiveTimeout>,
    rng: RefCell<SmallRng>,
}

impl Holder {
    fn new(config: HolderConfig) -> Self {
        let seed =
            config.holder.bytes().fold(JITTER_SEED, |seed, byte| seed.rotate_left(5) ^ u64::from(byte));
        let call_timeout = AdaptiveTimeout::for_renewals(config.ttl(), config.renewal_interval());
        Self {
            clock: Clock::start(config.clock_rate),
            config,
            contender: RefCell::new(Contender::default()),
            address_index: Cell::new(0),
            backoff: Cell::new(MIN_BACKOFF),
            call_timeout: RefCell::new(call_timeout),
            rng: RefCell::new(SmallRng::seed_from_u64(seed)),
        }
    }

    fn address(&self) -> SocketAddr {
        self.config.registry[self.address_index.get() % self.config.registry.len()]
    }

    /// Makes a call to the list service, with a timeout that follows the latency of earlier ones.
    async fn call<T, Call: Future<Output = Result<T, ServiceError>>>(
        &self,
        call: impl FnOnce(SocketAddr, Duration) -> Call,
    ) -> Result<T, ServiceError> {
        let (sent_at, timeout) = (Instant::now(), self.call_timeout.borrow().current());
        let reply = call(self.address(), timeout).await;
        match &reply {
            Err(ServiceError::Call(CallError::Timeout)) => self.call_timeout.borrow_mut().timed_out(),
            Err(ServiceError::Call(_)) => {}
            Ok(_) | Err(ServiceError::Status { .. }) => {
                self.call_timeout.borrow_mut().answered(sent_at.elapsed());
            }
        }
        reply
    }

    /// A wait between `base / 2` and `base` ("equal jitter"), so that holders that failed together do not retry
    /// together.
    fn jittered(&self, base: Duration) -> Duration {
        base.mul_f64(self.rng.borrow_mut().random_range(0.5..=1.0))
    }

    /// Moves on to the next address after a failed call; returns how long to wait before the next call.
    fn fail_over(&self, error: &dyn Display) -> Duration {
        tracing::warn!(address = %self.address(), %error, "list service call failed");
        self.address_index.set(self.address_index.get() + 1);
        let backoff = self.backoff.get();
        self.backoff.set((backoff * 2).min(MAX_BACKOFF));
        self.jittered(backoff)
    }

    /// Acquires the lease and renews it for as long as the process runs; relinquishes it when it expires by the
    /// holder's clock.
    async fn maintain_lease(&self) {
        loop {
            let lease = self.contender.borrow().lease().cloned();
            let Some(lease) = lease else {
                let wait = self.acquire().await;
                self.clock.sleep(wait).await;
                continue;
            };
            let now = self.clock.now();
            if !lease.may_act(now) {
                // The service may grant it to another process from now on.
                tracing::warn!(name = %lease.name, token = lease.token, "lease expired; duty relinquished");
                self.contender.borrow_mut().relinquish();
                continue;
            }
            let renewal_at = lease.sent_at() + self.config.renewal_interval();
            let wait = match now < renewal_at {
                true => (renewal_at - now).min(lease.valid_until() - now),
                false => self.renew(lease.token).await,
            };
            self.clock.sleep(wait).await;
        }
    }

    /// Tries to acquire the lease; returns how long to wait before the next step.
    async fn acquire(&self) -> Duration {
        let config = &self.config;
        let number = self.contender.borrow_mut().begin_acquire(self.clock.now());
        let request = AcquireRequest { holder: &config.holder, name: &config.name, ttl_ms: config.ttl_ms };
        let reply = match self.call(|address, timeout| service::acquire(address, &request, timeout)).await {
            Ok(reply) => reply,
            Err(error) => return self.fail_over(&error),
        };
        self.backoff.set(MIN_BACKOFF);
        match reply {
            AcquireReply::Granted(token) => {
                if self.contender.borrow_mut().granted(number, &config.name, token, config.ttl()) {
                    tracing::info!(name = %config.name, token, "lease granted");
                }
                Duration::ZERO
            }
            AcquireReply::GrantedWithoutToken => self.fail_over(&"a grant without a token"),
            AcquireReply::HeldByOther => self.jittered(Duration::from_millis(config.retry_ms)),
        }
    }

    /// Tries to renew the lease; returns how long to wait before the next step.
    async fn renew(&self, token: u64) -> Duration {
        let sent_at = self.clock.now();
        let name = &self.config.name;
        let request = GrantRequest { name, token };
        let reply = match self.call(|address, timeout| service::renew(address, &request, timeout)).await {
            Ok(reply) => reply,
            Err(error) => return self.fail_over(&error),
        };
        match reply {
            RenewReply::Renewed => {
                self.backoff.set(MIN_BACKOFF);
                self.contender.borrow_mut().renewed(token, sent_at);
            }
            RenewReply::Lost => {
                tracing::warn!(%name, token, "lease lost at the list service; duty relinquished");
                self.contender.borrow_mut().lost(token);
            }
        }
        Duration::ZERO
    }

    /// Acts each `every_ms` while the lease is valid by the holder's clock, which is checked right before each act.
    async fn perform_duty(&self) {
        let duty = &self.config.duty;
        loop {
            self.clock.sleep(Duration::from_millis(duty.every_ms)).await;
            let Some(token) = self.contender.borrow().may_act(self.clock.now()) else { continue };
            let request = Request::get(duty.path.as_str())
                .header("host", duty.target.to_string())
                .header("fencing-token", token)
                .header("x-holder", self.config.holder.as_str())
                .body(Full::new(Bytes::new()))
                .unwrap_or_default();
            match service::call(duty.target, request, ACT_TIMEOUT).await {
                Ok(reply) if reply.status == StatusCode::CONFLICT => {
                    tracing::warn!(name = %self.config.name, token, "act rejected as stale; duty relinquished");
                    self.contender.borrow_mut().lost(token);
                }
                Ok(_) => {}
                Err(error) => tracing::debug!(%error, "act failed"),
            }
        }
    }

    /// Stops acting and releases the lease held, if any.
    async fn release(&self) {
        let Some(token) = self.contender.borrow_mut().relinquish() else { return };
        let request = GrantRequest { name: &self.config.name, token };
        let released = self.call(|address, timeout| service::release(address, &request, timeout)).await;
        if let Err(error) = released {
            tracing::warn!(%error, token, "releasing the lease failed; it expires after its TTL");
        }
    }
}

/// Holds the duty until SIGTERM. Prints `linkhatch-proxy: holder acting on ADDR` on standard error once it runs, where
/// ADDR is the duty's target. Runs on the current thread's runtime and `LocalSet`.
///
/// # Errors
/// The signal handler can't be installed.
pub async fn hold(config: HolderConfig) -> std::io::Result<()> {
    let mut stop = Signals::listen(SIGTERM)?;
    let holder = Rc::new(Holder::new(config));
    eprintln!("linkhatch-proxy: holder acting on {}", holder.config.duty.target);
    let duty_holder = holder.clone();
    let duty = tokio::task::spawn_local(async move { duty_holder.perform_duty().await });
    tokio::select! {
        () = holder.maintain_lease() => {}
        _ = stop.recv() => {}
    }
    duty.abort();
    holder.release().await;
    Ok(())
}
