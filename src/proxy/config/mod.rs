//! The configuration of a proxy: environment variables and a JSON file.
//!
//! [`mod@file`] defines the file's keys and maps them to the settings of the balancer and the proxy; [`checks`]
//! validates the values.

mod checks;
mod file;

use super::endpoint_list::EndpointList;
use super::settings::ProxySettings;
use crate::Settings;
use crate::agreement::document::{Document, initial_document};
use checks::{invalid, parse_addresses};
use file::{AgreementFile, ConfigFile, DiscoveryFile, DocumentFile};
use serde::de::DeserializeOwned;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;
use thiserror::Error;

pub use checks::MAX_DISCOVERY_ADDRESSES;

/// The environment variable with the path of the configuration file.
const CONFIG_VARIABLE: &str = "RELAY_CONFIG";
/// The environment variable with the address that clients connect to.
const LISTEN_VARIABLE: &str = "RELAY_LISTEN";
/// The environment variable with the addresses of discovery.
const DISCOVERY_VARIABLE: &str = "RELAY_DISCOVERY";
/// The environment variable with the name of the proxy.
const NAME_VARIABLE: &str = "RELAY_NAME";
/// The name of a proxy if none is configured.
const DEFAULT_NAME: &str = "proxy";

/// The configuration used when `RELAY_CONFIG` is not set: `deploy/sample.json`, one proxy on 127.0.0.1:8080 with
/// discovery expected at 127.0.0.1:8081 and no backend known until discovery answers.
pub const SAMPLE: &str = include_str!("../../../deploy/sample.json");

/// Why the configuration cannot be used.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// An environment variable is not set or is not valid Unicode.
    #[error("{0} is not set")]
    Unset(&'static str),
    /// The file cannot be read.
    #[error("cannot read {path}: {source}")]
    Read {
        /// The file.
        path: String,
        /// The system's error.
        source: std::io::Error,
    },
    /// The JSON is malformed or lacks a value.
    #[error("{path}: {source}")]
    Json {
        /// The file.
        path: String,
        /// The error, with the path of the key.
        source: serde_path_to_error::Error<serde_json::Error>,
    },
    /// A value is invalid.
    #[error("{name}: expected {expected}, got '{got}'")]
    Value {
        /// Its key or variable.
        name: String,
        /// A description of valid values.
        expected: &'static str,
        /// The invalid value.
        got: String,
    },
}

/// The configuration of a proxy.
#[derive(Debug)]
pub struct Config {
    /// The address that clients connect to.
    pub listen: SocketAddr,
    /// The address of discovery, or those of the nodes of one list service, which are tried in turn.
    pub discovery: Vec<SocketAddr>,
    /// The seed of the balancer's random numbers.
    pub seed: u64,
    /// The maximum number of file descriptors that the process may have open.
    pub sockets: usize,
    /// The limit of the process's memory, above which it is killed, in MB of 2^20 bytes.
    pub memory_mb: usize,
    /// The endpoint list to start with.
    pub known: EndpointList,
    /// The file that caches the endpoint list for a start without discovery; `None` means no cache.
    pub list_cache: Option<PathBuf>,
    /// How the proxies agree on settings and membership (`crate::agreement`); `None` means that this proxy does not
    /// take part.
    pub agreement: Option<AgreementConfig>,
    /// The settings of the balancer.
    pub settings: Settings,
    /// The settings that only the proxy's sockets need.
    pub proxy_settings: ProxySettings,
}

/// The configuration of a proxy that takes part in the agreement.
#[derive(Debug)]
pub struct AgreementConfig {
    /// Its name, for operators: `RELAY_NAME`, or `name` in the file.
    pub name: String,
    /// The TTL of its session.
    pub ttl: Duration,
    /// The rate of its clock against real time, for fault tests.
    pub clock_rate: f64,
    /// The settings in its own file, which apply until a version is published.
    pub document: Document,
}

impl Config {
    /// Reads the environment and the file that it names.
    ///
    /// # Errors
    /// If a variable or the file is missing, malformed or invalid.
    pub fn from_env() -> Result<Self, ConfigError> {
        let mut file: ConfigFile = read_file()?;
        let listen = variable_or(LISTEN_VARIABLE, &file.listen)?;
        let listen =
            listen.parse::<SocketAddr>().map_err(|_| invalid(LISTEN_VARIABLE, "address:port", listen))?;
        let discovery =
            parse_addresses(DISCOVERY_VARIABLE, &variable_or(DISCOVERY_VARIABLE, &file.discovery)?)?;
        let agreement = file.agreement.take();
        let agreement =
            agreement.map(|agreement| agreement_config(agreement, file.name.take())).transpose()?;
        let seed =
            u64::from_str_radix(&file.seed, 16).map_err(|_| invalid("seed", "hex digits", &file.seed))?;
        let (settings, proxy_settings) = file.settings.into_settings()?;
        Ok(Self {
            listen,
            discovery,
            seed,
            sockets: file.limits.sockets,
            memory_mb: file.limits.memory_mb,
            known: file.known,
            list_cache: file.list_cache,
            agreement,
            settings,
            proxy_settings,
        })
    }

    /// Reads the current addresses of discovery from the file. The file may be replaced while the proxy runs, whereas
    /// the environment keeps the original addresses.
    ///
    /// # Errors
    /// If the file is missing, malformed or invalid.
    pub fn reload_discovery() -> Result<Vec<SocketAddr>, ConfigError> {
        let DiscoveryFile { discovery } = read_file()?;
        parse_addresses("discovery", &discovery)
    }
}

fn variable(name: &'static str) -> Result<String, ConfigError> {
    std::env::var(name).map_err(|_| ConfigError::Unset(name))
}

/// Returns the variable, or the value in the file if the variable is not set.
fn variable_or(name: &'static str, in_file: &Option<String>) -> Result<String, ConfigError> {
    variable(name).or_else(|unset| in_file.clone().ok_or(unset))
}

/// Reads the file that the environment names, or the embedded sample if the variable is not set.
fn read_file<T: DeserializeOwned>() -> Result<T, ConfigError> {
    let Ok(path) = variable(CONFIG_VARIABLE) else {
        let path = "the embedded sample (RELAY_CONFIG is not set)".to_string();
        return parse_json(path, SAMPLE);
    };
    let text =
        std::fs::read_to_string(&path).map_err(|source| ConfigError::Read { path: path.clone(), source })?;
    parse_json(path, &text)
}

/// Parses JSON; errors name the key.
fn parse_json<T: DeserializeOwned>(path: String, text: &str) -> Result<T, ConfigError> {
    let mut json = serde_json::Deserializer::from_str(text);
    let value = serde_path_to_error::deserialize(&mut json);
    let value = value.map_err(|source| ConfigError::Json { path: path.clone(), source })?;
    json.end().map_err(|error| invalid(&path, "nothing after the configuration", error))?;
    Ok(value)
}

/// Checks the configuration for the agreement, and adds the document of settings from the proxy's own file.
fn agreement_config(file: AgreementFile, name: Option<String>) -> Result<AgreementConfig, ConfigError> {
    file.check()?;
    let DocumentFile { settings } = read_file()?;
    let document = initial_document(&settings, file.fallback);
    let document = document
        .map_err(|error| invalid(&error.key, "settings that a document can contain", error.reason))?;
    let name = variable(NAME_VARIABLE).ok().or(name).unwrap_or_else(|| DEFAULT_NAME.into());
    let ttl = Duration::from_millis(file.ttl_ms);
    Ok(AgreementConfig { name, ttl, clock_rate: file.clock_rate, document })
}
