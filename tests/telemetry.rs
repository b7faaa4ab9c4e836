//! Golden checks of log lines that are written only after a fault. Alerts and operators' tools depend on their fields.

use linkhatch_proxy::guard::{AttemptHistory, AttemptState, Guard};
use linkhatch_proxy::proxy::clock::Clock;
use linkhatch_proxy::proxy::forwarded_request::ForwardedRequest;
use linkhatch_proxy::proxy::upstream::{AttemptLimits, ConnectionBudget, Endpoint, send_attempt};
use linkhatch_proxy::{Idempotency, Outcome};
use serde_json::Value;
use std::cell::Cell;
use std::io::Write;
use std::rc::Rc;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tracing_subscriber::fmt::MakeWriter;

/// A log in memory.
#[derive(Clone, Default)]
struct Log(Arc<Mutex<Vec<u8>>>);

impl Log {
    /// Runs `action` with a new log, and returns the lines of the log.
    fn capture(action: impl FnOnce()) -> Vec<Value> {
        let log = Self::default();
        let lines =
            tracing_subscriber::fmt().json().flatten_event(true).with_max_level(tracing::Level::TRACE);
        let subscriber = lines.with_writer(log.clone()).finish();
        tracing::subscriber::with_default(subscriber, action);
        let text = log.0.lock().unwrap();
        text.split(|byte| *byte == b'\n').filter_map(|line| serde_json::from_slice(line).ok()).collect()
    }
}

impl Write for Log {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.0.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

impl MakeWriter<'_> for Log {
    type Writer = Self;

    fn make_writer(&self) -> Self {
        self.clone()
    }
}

#[test]
fn a_violation_is_logged_with_its_invariant_and_its_lateness() {
    let lines = Log::capture(|| {
        let guard = Guard::new(false);
        let history = AttemptHistory::new(Idempotency::Idempotent);
        let attempt = AttemptState {
            number: 0,
            history: &history,
            send_cutoff: None,
            grace_deadline: None,
            send_deadline: None,
            deadline: 20.0,
            client_disconnected: false,
            request_done: false,
        };
        let permit = guard.admit(1.0, attempt).expect("admitted");
        guard.attempt_written(2.0, &permit);
        guard.connection_closed_in_flight(false);
    });
    let logged: Vec<_> = lines
        .iter()
        .map(|line| (&line["level"], &line["target"], &line["promise"], &line["late_by"]))
        .collect();
    let (level, target) = (Value::from("ERROR"), Value::from("violation"));
    let (deadline, close) = (Value::from("Deadline"), Value::from("Close"));
    let (late, on_time) = (Value::from(1.0), Value::from(0.0));
    assert_eq!(logged, [(&level, &target, &deadline, &late), (&level, &target, &close, &on_time)]);
}

#[test]
fn an_attempt_that_the_guard_prevents_is_logged_with_its_invariant() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let lines = Log::capture(|| {
        let request = ForwardedRequest {
            method: "GET".parse().unwrap(),
            uri: "/api".parse().unwrap(),
            headers: Default::default(),
            head_reservation: None,
            body: "".into(),
            is_non_idempotent: false,
            history: Default::default(),
            guard: Default::default(),
            is_done: Cell::new(true),
            client_has_disconnected: Box::new(|| false),
            stamp: None,
        };
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        let result = runtime.block_on(async {
            let timeout = Duration::from_secs(30);
            let endpoint = Rc::new(Endpoint::new(address, ConnectionBudget::new(4), timeout, timeout));
            let limits = AttemptLimits { deadline: 20.0, send_deadline: None, number: 2 };
            send_attempt(endpoint, request.into(), Clock::start(), limits, Default::default()).await
        });
        assert_eq!(result.outcome, Outcome::NotSent);
    });
    let prevented = lines.iter().find(|line| line["promise"].is_string()).expect("a line with an invariant");
    assert_eq!((&prevented["number"], &prevented["promise"]), (&Value::from(2), &Value::from("Answered")));
    assert_eq!(prevented["level"], "DEBUG");
}
