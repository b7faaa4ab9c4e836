//! The clients' side: the listener, the clients' connections, requests and their answers, readiness and the graceful
//! shutdown.
//!
//! [`connections`] owns the open connections, [`lifecycle`] decides when one is closed, [`handler`] answers requests, and
//! [`shutdown`] ends the process.

mod body;
mod client_connection;
mod connections;
mod handler;
mod lifecycle;
mod listener;
mod peer_limits;
mod request_head;
mod responses;
mod shutdown;

pub use listener::{bind, close_listener};

use crate::proxy::engine::Engine;
use crate::proxy::settings::ProxySettings;
use crate::telemetry::metrics::Gauges;
use crate::{DynamicSettings, Settings};
use connections::ClientConnections;
use shutdown::ShutdownState;
use std::cell::RefCell;
use std::rc::Rc;
use tokio::net::TcpListener;

/// One connection beyond the limit may be open per this many connections within the limit. It stays open until there
/// is room for it, or until it is closed for a newer connection.
pub const PLACES_PER_OVERFLOW: usize = 8;

/// Serves clients.
pub struct Server {
    engine: Rc<Engine>,
    settings: RefCell<Settings>,
    proxy_settings: ProxySettings,
    connections: ClientConnections,
    shutdown: ShutdownState,
}

impl Server {
    /// A server with at most `max_connections` admitted connections from clients.
    pub fn new(
        engine: Rc<Engine>,
        settings: Settings,
        proxy_settings: ProxySettings,
        max_connections: usize,
    ) -> Rc<Self> {
        Rc::new(Self {
            engine,
            settings: RefCell::new(settings),
            proxy_settings,
            connections: ClientConnections::new(max_connections),
            shutdown: ShutdownState::default(),
        })
    }

    /// Applies changed settings to requests that arrive from now on.
    pub fn apply_settings(&self, dynamic: &DynamicSettings) {
        let mut settings = self.settings.borrow_mut();
        for (class, dynamic) in settings.classes.iter_mut().zip(&dynamic.classes) {
            class.deadline = dynamic.deadline;
        }
        settings.max_retry_after = dynamic.max_retry_after;
    }

    /// The current values of the gauges.
    pub fn gauges(&self) -> Gauges {
        Gauges {
            client_connections: self.connections.open(),
            upstream_connections: self.engine.upstream_connections(),
            open_requests: self.engine.requests_in_flight(),
        }
    }

    /// Serves clients until `stop` completes, then shuts down gracefully: continues to accept clients for a short time,
    /// answers every request that was received, and returns.
    pub async fn run(self: Rc<Self>, listener: TcpListener, stop: impl Future<Output = ()>) {
        let accepting = self.clone().accept(&listener);
        let stopped = async {
            stop.await;
            self.drain().await;
        };
        tokio::select! {
            () = accepting => {}
            () = stopped => {}
        }
        self.clone().serve_backlog(listener);
        self.connections.close_idle();
        self.wait_until_answered().await;
    }
}
