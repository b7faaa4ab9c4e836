//! Applies the settings and the membership that the fleet has agreed on (`crate::agreement`) to this proxy: to its
//! engine, its server and the headers of its attempts. Disabled unless the configuration has `agreement`.

use super::config::AgreementConfig;
use super::discovery::Discovery;
use super::engine::Engine;
use super::server::Server;
use super::settings::ProxySettings;
use crate::agreement::document::{Document, DocumentError};
use crate::agreement::follower::{AppliedAgreement, Follower, FollowerConfig, Owner};
use crate::agreement::session_state::Attachment;
use crate::{DynamicClassSettings, DynamicSettings, FleetPosition, ShedOrder};
use hyper::header::{HeaderMap, HeaderValue};
use std::net::SocketAddr;
use std::rc::Rc;

/// The header with the version of the settings under which an attempt was sent, or [`DETACHED`].
const SETTINGS_VERSION: &str = "x-rules-revision";
/// The header with the revision of the membership under which an attempt was sent.
const MEMBERSHIP_REVISION: &str = "x-members-revision";
/// The header with the slot of the proxy that sent an attempt.
const SLOT: &str = "x-fleet-slot";
/// The value of [`SETTINGS_VERSION`] from a proxy that is detached from the fleet.
const DETACHED: &str = "detached";

/// Returns the settings of a document, with classes and tenants in the order of the proxy's own settings.
pub fn dynamic_settings(document: &Document, proxy_settings: &ProxySettings) -> DynamicSettings {
    let class = |name: &String| {
        let class = document.classes.iter().find(|class| class.name == *name);
        class.map_or_else(DynamicClassSettings::default, |class| DynamicClassSettings {
            latency_objective: class.latency_objective,
            deadline: class.deadline,
            late_weight: class.late_weight,
            priority_weight: class.priority_weight,
        })
    };
    let quota = |name: &String| {
        let tenant = document.tenants.iter().find(|tenant| tenant.name == *name);
        tenant.map_or(0.0, |tenant| tenant.quota)
    };
    DynamicSettings {
        classes: proxy_settings.classes.iter().map(class).collect(),
        quotas: proxy_settings.tenants.iter().map(quota).collect(),
        fallback_quotas: fallback_quotas(document, proxy_settings),
        over_quota_weight: document.over_quota_weight,
        max_attempts: document.max_attempts as usize,
        max_retry_after: document.max_retry_after,
        shed_order: if document.shed { ShedOrder::ByWeight } else { ShedOrder::Never },
    }
}

fn fallback_quotas(document: &Document, proxy_settings: &ProxySettings) -> Vec<f64> {
    let quota = |name: &String| document.fallback.tenants.get(name).copied().unwrap_or(0.0);
    proxy_settings.tenants.iter().map(quota).collect()
}

/// Returns the settings of a detached proxy: the fallback settings of its own document.
pub fn fallback_settings(own: &Document, proxy_settings: &ProxySettings) -> DynamicSettings {
    let class = |(name, class): (&String, DynamicClassSettings)| {
        let fallback = own.fallback.classes.get(name);
        let (latency_objective, deadline) = fallback
            .map_or((class.latency_objective, class.deadline), |fallback| {
                (fallback.latency_objective, fallback.deadline)
            });
        DynamicClassSettings { latency_objective, deadline, ..class }
    };
    let settings = dynamic_settings(own, proxy_settings);
    DynamicSettings {
        classes: proxy_settings.classes.iter().zip(settings.classes).map(class).collect(),
        quotas: settings.fallback_quotas.clone(),
        max_attempts: own.fallback.max_attempts as usize,
        max_retry_after: own.fallback.max_retry_after,
        shed_order: ShedOrder::Uniform,
        ..settings
    }
}

/// The parts of the proxy that follow the agreement.
struct Proxy {
    /// The settings of the proxy's own configuration.
    own: Document,
    proxy_settings: ProxySettings,
    engine: Rc<Engine>,
    server: Rc<Server>,
    discovery: Rc<Discovery>,
}

impl Owner for Proxy {
    fn can_apply(&self, document: &Document) -> Result<(), DocumentError> {
        document.check()?;
        document.may_follow(&self.own)
    }

    fn follow(&self, following: &AppliedAgreement) {
        let (settings, position) = match following {
            AppliedAgreement::Detached => {
                tracing::info!("detached from the fleet; applying the fallback settings");
                (fallback_settings(&self.own, &self.proxy_settings), None)
            }
            AppliedAgreement::Attached { slot, version, document, members } => {
                tracing::info!(slot, version, members = members.revision, "applying the fleet's settings");
                let index = members.slots.binary_search(slot).ok();
                let position = index.map(|index| FleetPosition { index, count: members.slots.len() });
                let document = document.as_deref().unwrap_or(&self.own);
                (dynamic_settings(document, &self.proxy_settings), position)
            }
        };
        self.server.apply_settings(&settings);
        self.engine.apply_settings(settings, position);
    }

    fn list_is_behind(&self) {
        self.discovery.use_next_node();
    }
}

/// Starts following the agreement at `addresses`, which then determines the settings of the engine and the server and
/// the headers of every attempt. The proxy is detached at first.
pub fn start(
    config: AgreementConfig,
    addresses: Vec<SocketAddr>,
    seed: u64,
    proxy_settings: ProxySettings,
    (engine, server, discovery): (Rc<Engine>, Rc<Server>, Rc<Discovery>),
) -> Rc<Follower> {
    let AgreementConfig { name, ttl, clock_rate, document } = config;
    let proxy =
        Proxy { own: document, proxy_settings, engine: engine.clone(), server, discovery: discovery.clone() };
    proxy.follow(&AppliedAgreement::Detached);
    let follower =
        Follower::start(FollowerConfig { name, addresses, ttl, clock_rate, seed }, Box::new(proxy));
    let list_follower = follower.clone();
    discovery.on_list(move |revision| list_follower.list_applied(revision));
    let refresh_follower = follower.clone();
    engine.before_decision(move || refresh_follower.refresh());
    let stamp_follower = follower.clone();
    engine.set_header_stamp(move |headers| stamp(&stamp_follower, headers));
    follower
}

fn stamp(follower: &Follower, headers: &mut HeaderMap) {
    match follower.attachment() {
        Attachment::Detached => drop(headers.insert(SETTINGS_VERSION, HeaderValue::from_static(DETACHED))),
        Attachment::Attached { slot, version, members } => {
            headers.insert(SETTINGS_VERSION, HeaderValue::from(version));
            headers.insert(MEMBERSHIP_REVISION, HeaderValue::from(members));
            headers.insert(SLOT, HeaderValue::from(slot));
        }
    }
}
