//! `linkhatch-proxy settings …`: versions of the settings that all proxies follow.

use super::client::Service;
use super::error::CommandError;
use super::publish::{Publisher, publish};
use super::replies::{VersionReply, typed};
use super::tables;
use clap::Subcommand;
use linkhatch_proxy::agreement::document::{Document, differences, initial_document};
use serde_json::{Value, json};

/// Versions of the settings that all proxies follow.
#[derive(Subcommand, Debug)]
pub enum Settings {
    /// Shows the head, or one version, in the form that `put` accepts:
    /// `linkhatch-proxy settings get --at 127.0.0.1:7101 > rules.json`.
    Get {
        /// The list service.
        #[command(flatten)]
        service: Service,
        /// The version (default: the head).
        #[arg(long)]
        version: Option<u64>,
    },
    /// Publishes a version: `linkhatch-proxy settings put rules.json --by kim --note "more attempts" --at 127.0.0.1:7101`.
    ///
    /// The file contains the edited output of `get`; its version is the one that the new version replaces. A bare
    /// document needs `--parent`. Waits until the version is committed, withdrawn or superseded.
    Put {
        /// The list service.
        #[command(flatten)]
        service: Service,
        /// The file with the document.
        file: String,
        /// The version that the new version replaces; 0 for the first.
        #[arg(long)]
        parent: Option<u64>,
        /// The author, the note and the wait for the commit.
        #[command(flatten)]
        publisher: Publisher,
    },
    /// Shows the keys in which two versions differ: `linkhatch-proxy settings diff 41 57 --at 127.0.0.1:7101`.
    Diff {
        /// The list service.
        #[command(flatten)]
        service: Service,
        /// The first version.
        from: u64,
        /// The second version (default: the head).
        to: Option<u64>,
    },
    /// Lists all retained versions, latest first.
    History {
        /// The list service.
        #[command(flatten)]
        service: Service,
    },
    /// Publishes an old version's document as a new version: `linkhatch-proxy settings rollback 41 --by kim --at …`.
    Rollback {
        /// The list service.
        #[command(flatten)]
        service: Service,
        /// The version to return to.
        version: u64,
        /// The author, the note and the wait for the commit.
        #[command(flatten)]
        publisher: Publisher,
    },
    /// Prints a first document made from a proxy's configuration file: `linkhatch-proxy settings init config.json`.
    ///
    /// Its fallback settings (`floor`) come from that file, with half of each quota and at most two attempts. Edit them
    /// before the first `put --parent 0`, as they can be changed only with a restart of the fleet.
    Init {
        /// The proxy's configuration (JSON).
        file: String,
    },
}

impl Settings {
    /// Runs the command.
    ///
    /// # Errors
    /// See [`CommandError`].
    pub async fn run(self) -> Result<(), CommandError> {
        match self {
            Self::Get { service, version } => get(&service, version).await,
            Self::Put { service, file, parent, publisher } => put(&service, &file, parent, &publisher).await,
            Self::Diff { service, from, to } => diff(&service, from, to).await,
            Self::History { service } => history(&service).await,
            Self::Rollback { service, version, publisher } => rollback(&service, version, publisher).await,
            Self::Init { file } => init(&file),
        }
    }
}

/// The service's reply for a version, or for the head; null if no version was published.
async fn version_or_head(service: &Service, version: Option<u64>) -> Result<Value, CommandError> {
    match version {
        Some(version) => service.get(&format!("/v1/settings?version={version}")).await,
        None => Ok(service.get("/v1/settings").await?["head"].take()),
    }
}

async fn get(service: &Service, version: Option<u64>) -> Result<(), CommandError> {
    let reply = version_or_head(service, version).await?;
    if reply.is_null() {
        let message = "no settings were published; begin with: linkhatch-proxy settings init";
        return Err(CommandError::Rejected(message.into()));
    }
    println!("{reply:#}");
    Ok(())
}

async fn put(
    service: &Service,
    path: &str,
    parent: Option<u64>,
    publisher: &Publisher,
) -> Result<(), CommandError> {
    let mut file: Value = read_json(path)?;
    let (document, version) = match file["document"].take() {
        Value::Null => (file, None),
        document => (document, file["version"].as_u64()),
    };
    let Some(parent) = parent.or(version) else {
        return Err(CommandError::file(path, "a bare document needs --parent (0 for the first)"));
    };
    // An invalid document is reported with its key before anything is sent.
    Document::parse(document.to_string().as_bytes()).map_err(|error| CommandError::file(path, error))?;
    publish(service, parent, &document, publisher).await
}

async fn diff(service: &Service, from: u64, to: Option<u64>) -> Result<(), CommandError> {
    let from = document(&version_or_head(service, Some(from)).await?)?;
    let to = document(&version_or_head(service, to).await?)?;
    let all = differences(&from, &to);
    service.print(&json!(all), || tables::differences(&all));
    Ok(())
}

/// The document of a version.
fn document(reply: &Value) -> Result<Document, CommandError> {
    Ok(Document::parse(reply["document"].to_string().as_bytes())?)
}

async fn history(service: &Service) -> Result<(), CommandError> {
    let reply = service.get("/v1/settings/history").await?;
    service.print(&reply, || tables::history(&typed(&reply)));
    Ok(())
}

async fn rollback(service: &Service, version: u64, mut publisher: Publisher) -> Result<(), CommandError> {
    let old = version_or_head(service, Some(version)).await?;
    let head: VersionReply = typed(&version_or_head(service, None).await?);
    if publisher.note.is_empty() {
        publisher.note = format!("rollback to {version}");
    }
    publish(service, head.version.unwrap_or(0), &old["document"], &publisher).await
}

fn init(path: &str) -> Result<(), CommandError> {
    let config: Value = read_json(path)?;
    let fallback = match &config["agreement"]["floor"] {
        Value::Null => None,
        floor => {
            Some(serde_json::from_value(floor.clone()).map_err(|error| CommandError::file(path, error))?)
        }
    };
    let document = initial_document(&config["settings"], fallback);
    let document = document.map_err(|error| CommandError::file(path, error))?;
    println!("{:#}", json!(document));
    Ok(())
}

fn read_json(path: &str) -> Result<Value, CommandError> {
    let text = std::fs::read_to_string(path).map_err(|error| CommandError::file(path, error))?;
    serde_json::from_str(&text).map_err(|error| CommandError::file(path, error))
}
