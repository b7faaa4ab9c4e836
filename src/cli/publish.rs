//! Publishes a version of the settings, and waits for its result.

use super::client::{Reply, Service};
use super::error::CommandError;
use super::replies::{ConflictReply, PublishReply, VersionReply, typed};
use clap::Args;
use hyper::StatusCode;
use serde::Serialize;
use serde_json::{Value, json};
use std::time::{Duration, Instant};

/// The interval at which a version's status is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// The author and the note of a version, and the wait for its commit.
#[derive(Args, Debug)]
pub struct Publisher {
    /// The author of the version.
    #[arg(long)]
    by: String,
    /// The reason for the change.
    #[arg(long, default_value = "")]
    pub note: String,
    /// Seconds to wait until the version is committed; 0 does not wait.
    #[arg(long, default_value_t = 15.0)]
    wait: f64,
}

/// The body of `POST /v1/settings`.
#[derive(Serialize)]
struct PublishRequest<'a> {
    by: &'a str,
    document: &'a Value,
    note: &'a str,
    parent: u64,
}

/// Publishes a document as the successor of `parent`, and waits until it is committed, withdrawn or superseded.
///
/// # Errors
/// See [`CommandError`].
pub async fn publish(
    service: &Service,
    parent: u64,
    document: &Value,
    publisher: &Publisher,
) -> Result<(), CommandError> {
    let request = PublishRequest { by: &publisher.by, document, note: &publisher.note, parent };
    let reply = service.post("/v1/settings", &request).await?;
    let PublishReply { version } = typed(&reply.body);
    match (reply.status, version) {
        (StatusCode::OK, Some(version)) => wait_for_commit(service, version, publisher.wait).await,
        (StatusCode::CONFLICT, _) => {
            service.print(&reply.body, String::new);
            Err(conflict(&reply))
        }
        _ => Err(reply.rejection()),
    }
}

/// The error for a publication whose parent is not the head.
fn conflict(reply: &Reply) -> CommandError {
    let ConflictReply { error, head } = typed(&reply.body);
    let version = json!(head.version);
    CommandError::Conflict(format!(
        "{}; version {version} was published by {} ({}). Look at it with: \
         linkhatch-proxy settings get --version {version}",
        error.as_deref().unwrap_or("conflict"),
        json!(head.by),
        json!(head.note),
    ))
}

/// Waits up to `wait_s` seconds until a version is committed, withdrawn or superseded.
async fn wait_for_commit(service: &Service, version: u64, wait_s: f64) -> Result<(), CommandError> {
    let deadline = Instant::now() + Duration::try_from_secs_f64(wait_s).unwrap_or_default();
    loop {
        let reply = service.get(&format!("/v1/settings?version={version}")).await?;
        let version_reply: VersionReply = typed(&reply);
        let result = final_result(&version_reply);
        if result.is_some() || Instant::now() >= deadline {
            service.print(&reply, || format!("version {version}: {}\n", version_reply.status));
            return match result {
                Some(result) => result,
                None if wait_s <= 0.0 => Ok(()),
                None => Err(CommandError::NotCommitted { version, status: version_reply.status }),
            };
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// The final result of a version; `None` while it may still be committed.
fn final_result(version: &VersionReply) -> Option<Result<(), CommandError>> {
    match version.status.as_str() {
        "in force" | "replaced" => Some(Ok(())),
        "withdrawn" => Some(Err(CommandError::Withdrawn(json!(version.reason).to_string()))),
        "superseded" => Some(Err(CommandError::Superseded)),
        _ => None,
    }
}
