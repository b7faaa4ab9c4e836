//! Calls to the list service, made to the first node that answers.

use super::error::CommandError;
use super::replies::{ErrorReply, typed};
use bytes::Bytes;
use clap::Args;
use http_body_util::Full;
use hyper::{Request, StatusCode};
use linkhatch_proxy::http_client::{CallError, HttpClient, post_json};
use serde::Serialize;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::time::Duration;

/// The timeout of one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);
/// The outcome that a node reports if it does not know whether a write was done.
const UNKNOWN_OUTCOME: &str = "unknown";

/// The list service's addresses, and the form of the output.
#[derive(Args, Debug)]
pub struct Service {
    /// Addresses of the list service's nodes, separated by commas; the first that answers is used.
    #[arg(long, env = "RELAY_DISCOVERY", value_delimiter = ',', required = true)]
    at: Vec<SocketAddr>,
    /// Print the service's reply as JSON.
    #[arg(long)]
    json: bool,
}

/// A reply's status, and its body as JSON; null where the body is not JSON.
pub struct Reply {
    pub status: StatusCode,
    pub body: Value,
}

impl Reply {
    /// The error of a call that was rejected.
    pub fn rejection(&self) -> CommandError {
        let ErrorReply { error, .. } = typed(&self.body);
        CommandError::Rejected(error.unwrap_or_else(|| "refused".into()))
    }
}

impl Service {
    /// Gets the resource at `path`.
    ///
    /// # Errors
    /// `Rejected` if the status of the reply is not 200, `Unreachable` if there is no reply.
    pub async fn get(&self, path: &str) -> Result<Value, CommandError> {
        let request = || {
            let get = Request::get(path).header("host", "list").body(Full::new(Bytes::new()));
            Ok(get.unwrap_or_default())
        };
        let reply = self.call(request, true).await?;
        match reply.status {
            StatusCode::OK => Ok(reply.body),
            _ => Err(reply.rejection()),
        }
    }

    /// Posts `body` to `path`. A write that may have been done is not repeated at another node.
    ///
    /// # Errors
    /// `Unreachable` if no node accepted the write, `UnknownOutcome` and `Interrupted` if a node may have done it.
    pub async fn post(&self, path: &str, body: &impl Serialize) -> Result<Reply, CommandError> {
        self.call(|| post_json(path, body), false).await
    }

    /// Calls the nodes in turn, and returns the first reply with a status other than 503. A call that failed after its
    /// connection was established is repeated at the next node only if it `is_repeatable`.
    async fn call(
        &self,
        request: impl Fn() -> Result<Request<Full<Bytes>>, CallError>,
        is_repeatable: bool,
    ) -> Result<Reply, CommandError> {
        let mut last_failure = String::new();
        for node in &self.at {
            let request = request().map_err(CommandError::Call)?;
            let reply = match HttpClient::new(*node).call(request, CALL_TIMEOUT).await {
                Ok(reply) => reply,
                Err(CallError::Connect(error)) => {
                    last_failure = format!("{node}: {error}");
                    continue;
                }
                Err(error) if is_repeatable => {
                    last_failure = format!("{node}: {error}");
                    continue;
                }
                Err(source) => return Err(CommandError::Interrupted { node: *node, source }),
            };
            let (status, body) = (reply.status(), serde_json::from_slice(reply.body()).unwrap_or_default());
            let ErrorReply { error, outcome } = typed(&body);
            let message = json!(error).to_string();
            if outcome.as_deref() == Some(UNKNOWN_OUTCOME) {
                return Err(CommandError::UnknownOutcome { node: *node, message });
            }
            if status != StatusCode::SERVICE_UNAVAILABLE {
                return Ok(Reply { status, body });
            }
            last_failure = format!("{node}: {message}");
        }
        Err(CommandError::Unreachable(last_failure))
    }

    /// Prints a reply: unchanged with `--json`, otherwise as the text that `text` returns.
    pub fn print(&self, reply: &Value, text: impl FnOnce() -> String) {
        match self.json {
            true => println!("{reply:#}"),
            false => print!("{}", text()),
        }
    }
}
