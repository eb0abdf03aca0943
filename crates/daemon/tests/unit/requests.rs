//! Requests on idempotent and open routes over HTTP.

use std::rc::Rc;
use std::time::{Duration, Instant};

use tarragonpulley_policy::facts::{FactKey, FactValue};
use yare::parameterized;

use super::backend::{Action, Backend, header};
use super::fakes::{TestInstance, wait_until};

/// Runs a test on the daemon's kind of runtime.
fn run(test: impl Future<Output = ()>) {
    actix_rt::System::new().block_on(test);
}

/// Sends requests until the retry budget allows `retries` retries.
async fn fill_retry_budget(instance: &TestInstance, retries: usize) {
    for _ in 0..retries * 10 {
        let response = instance.send("GET", "/lunwan/desk/open", "").await;
        assert_eq!(response.status, 200);
    }
}

/// Guards against a path, key, deadline or identity header that is forwarded to a
/// backend server in a form other than documented.
#[actix_rt::test]
async fn a_keyed_request_reaches_a_backend_server() {
    let backend = Backend::start().await;
    let instance = TestInstance::start(&[backend.address]).await;
    let headers = [
        ("x-team", "other"),
        ("x-request-id", "mine"),
        ("x-kept", "1"),
    ];
    let response = instance
        .send_with("POST", "/lunwan/desk/fit/a?b=c", "body", &headers)
        .await;
    assert_eq!(
        (response.status.as_u16(), response.outcome.as_str()),
        (200, "ran")
    );
    assert_eq!(response.body, "/fit/a?b=c run 1");
    let head = backend.heads.borrow()[0].clone();
    for removed in ["authorization", "x-team"] {
        assert_eq!(header(&head, removed), "", "{removed} was forwarded");
    }
    assert_eq!(header(&head, "x-kept"), "1");
    assert_ne!(header(&head, "x-request-id"), "mine");
    let left: u64 = header(&head, "x-deadline-ms").parse().unwrap();
    assert!((1..=2000).contains(&left));
}

/// Guards against rejections with a wrong status or after the request was sent.
#[parameterized(
    no_key = { "GET", "/lunwan/desk/fit", "Bearer wrong", "", 401, "unknown_key" },
    no_route = { "GET", "/lunwan/desk/none", "", "", 404, "no_route" },
    no_service = { "GET", "/lunwan/none/fit", "", "", 404, "no_route" },
    method = { "DELETE", "/lunwan/desk/fit", "", "", 405, "method_not_allowed" },
    dots = { "GET", "/lunwan/desk/fit/%2e%2e/book", "", "", 400, "malformed_request" },
    large = { "POST", "/lunwan/desk/fit", "", "large", 413, "body_too_large" },
    no_identity = { "POST", "/lunwan/desk/book", "", "", 400, "malformed_request" },
)]
fn an_invalid_request_is_rejected(
    method: &str,
    path: &str,
    key: &str,
    body: &str,
    status: u16,
    error: &str,
) {
    run(async {
        let backend = Backend::start().await;
        let instance = TestInstance::start(&[backend.address]).await;
        let body = if body == "large" {
            "x".repeat(2000)
        } else {
            String::new()
        };
        let key = if key.is_empty() {
            vec![]
        } else {
            vec![("authorization", key)]
        };
        let response = instance.send_with(method, path, &body, &key).await;
        assert_eq!(response.rejection(), (status, "not_run", error.to_owned()));
        assert_eq!(backend.runs.get(), 0);
    });
}

/// Guards against requests that run without a proof of the configuration, with a
/// withdrawn key or over the rate limit.
#[actix_rt::test]
async fn checks_come_before_the_backend_server() {
    let backend = Backend::start().await;
    let instance = TestInstance::start(&[backend.address]).await;
    let path = "/lunwan/desk/fit";
    instance.config.proved.set(false);
    for path in [path, "/lunwan/desk/open"] {
        let response = instance.send("GET", path, "").await;
        assert_eq!(
            response.rejection(),
            (503, "not_run", "configuration_not_proved".to_owned()),
            "{path}"
        );
    }
    instance.config.proved.set(true);
    assert_eq!(
        instance.send("GET", "/lunwan/desk/open", "").await.status,
        200
    );

    instance.rights.admitted.set(false);
    let response = instance.send("GET", path, "").await;
    assert_eq!(
        response.rejection(),
        (429, "not_run", "rate_exceeded".to_owned())
    );
    assert!(response.body.contains("\"retry_after_ms\":70"));
    instance.rights.admitted.set(true);

    instance.config.withdrawn.set(true);
    let response = instance.send("GET", path, "").await;
    assert_eq!(
        response.rejection(),
        (401, "not_run", "unknown_key".to_owned())
    );
    assert_eq!(backend.runs.get(), 1, "only the open route may run");
}

/// Guards against a request that runs although its key was withdrawn while it
/// waited for a slot.
#[actix_rt::test]
async fn a_key_withdrawn_while_waiting_is_rejected() {
    let backend = Backend::start().await;
    let instance = Rc::new(TestInstance::start(&[backend.address]).await);
    instance.rights.free.set(0);
    let caller = Rc::clone(&instance);
    let waiting = actix_rt::spawn(async move { caller.send("GET", "/lunwan/desk/fit", "").await });
    actix_rt::time::sleep(Duration::from_millis(100)).await;
    instance.config.withdrawn.set(true);
    instance.rights.free.set(1);
    let response = waiting.await.unwrap();
    assert_eq!(
        response.rejection(),
        (401, "not_run", "unknown_key".to_owned())
    );
    assert_eq!(backend.runs.get(), 0);
    assert_eq!(instance.rights.free.get(), 1, "the slot was not released");
}

/// Guards against responses that are truncated, for another request or from a
/// failed server and still reach the caller, and against a missing safe retry.
#[parameterized(
    wrong_request_id = { Action::WrongRequestId },
    truncated_body = { Action::TruncatedBody },
    truncated_chunks = { Action::TruncatedChunks },
    closed = { Action::Close },
    shed = { Action::Shed },
    error = { Action::Error },
)]
fn a_failed_attempt_is_retried(action: Action) {
    run(async {
        let backend = Backend::start().await;
        let instance = TestInstance::start(&[backend.address]).await;
        fill_retry_budget(&instance, 1).await;
        backend.script(&[action]);
        let response = instance.send("GET", "/lunwan/desk/fit", "").await;
        assert_eq!(response.status, 200, "{}", response.body);
        assert!(response.body.starts_with("/fit run"), "{}", response.body);
        assert_eq!(instance.counter("retries"), 1);
    });
}

/// Guards against a wrong outcome when no further attempt is allowed.
#[parameterized(
    truncated = { Action::TruncatedBody, 502, "unknown", "backend_failed" },
    wrong_request_id = { Action::WrongRequestId, 502, "unknown", "backend_failed" },
    shed = { Action::Shed, 503, "not_run", "no_capacity" },
    unresponsive = { Action::Unresponsive, 504, "unknown", "deadline_passed" },
)]
fn a_failure_reports_the_outcome(action: Action, status: u16, outcome: &str, error: &str) {
    run(async {
        let backend = Backend::start().await;
        backend.default_action.set(action);
        let instance = TestInstance::start(&[backend.address]).await;
        let headers = [("x-deadline-ms", "300")];
        let response = instance
            .send_with("GET", "/lunwan/desk/fit", "", &headers)
            .await;
        assert_eq!(response.rejection(), (status, outcome, error.to_owned()));
        wait_until("slot", || instance.rights.free.get() == 100).await;
    });
}

/// Guards against retry storms: when every server fails, attempts must not exceed
/// 1.1 times the number of requests.
#[actix_rt::test]
async fn retries_stay_within_the_budget() {
    let backend = Backend::start().await;
    backend.default_action.set(Action::Error);
    let instance = TestInstance::start(&[backend.address]).await;
    let requests = 60;
    for number in 0..requests {
        // Consecutive failures suspend the server, so a short deadline keeps the
        // wait for it short.
        let headers = [("x-deadline-ms", "100")];
        let path = format!("/lunwan/desk/fit/{number}");
        instance.send_with("GET", &path, "", &headers).await;
    }
    let attempts = instance.counter("attempts");
    assert!(attempts * 10 <= requests * 11, "{attempts} attempts");
}

/// Guards against callers that wait on an unresponsive connection, also when the
/// instance holds a single slot of the server.
#[parameterized(one_slot = { 1 }, two_slots = { 2 })]
fn an_unresponsive_connection_is_replaced(slots: u32) {
    run(async {
        let backend = Backend::start().await;
        let instance = TestInstance::start(&[backend.address]).await;
        instance.rights.free.set(slots);
        fill_retry_budget(&instance, 1).await;
        let before = backend.connections.get();
        backend.script(&[Action::Unresponsive]);
        let started = Instant::now();
        let response = instance.send("GET", "/lunwan/desk/fit", "").await;
        assert_eq!(response.status, 200);
        assert!(started.elapsed() < Duration::from_secs(1));
        assert_eq!(instance.counter("races"), 1);
        assert_eq!(instance.counter("replaced_connections"), 1);
        assert_eq!(instance.rights.free.get(), slots, "a slot was not released");
        assert_eq!(
            instance.send("GET", "/lunwan/desk/fit", "").await.status,
            200
        );
        assert_eq!(
            backend.connections.get(),
            before + 1,
            "the new connection was not reused"
        );
    });
}

/// Guards against a request that crashes a third server.
#[actix_rt::test]
async fn a_request_that_crashes_servers_is_quarantined() {
    let mut backends = Vec::new();
    for _ in 0..4 {
        let backend = Backend::start().await;
        backends.push(backend);
    }
    let addresses: Vec<_> = backends.iter().map(|b| b.address).collect();
    let instance = TestInstance::start(&addresses).await;
    fill_retry_budget(&instance, 3).await;
    for backend in &backends {
        backend.default_action.set(Action::Crash);
    }
    for _ in 0..4 {
        instance.send("POST", "/lunwan/desk/fit", "poison").await;
    }
    let response = instance.send("POST", "/lunwan/desk/fit", "poison").await;
    assert_eq!(
        response.rejection(),
        (423, "not_run", "quarantined".to_owned())
    );
    let crashed: u32 = backends
        .iter()
        .map(|b| {
            u32::from(
                b.runs.get() > 0
                    && b.heads
                        .borrow()
                        .last()
                        .is_some_and(|h| h.starts_with("POST")),
            )
        })
        .sum();
    assert_eq!(crashed, 2);
}

/// Guards against new requests on a server that announced its shutdown.
#[actix_rt::test]
async fn a_leaving_server_gets_no_new_requests() {
    let (leaving, staying) = (Backend::start().await, Backend::start().await);
    let instance = TestInstance::start(&[leaving.address, staying.address]).await;
    leaving.default_action.set(Action::Leaving);
    leaving
        .health
        .replace(r#"{"healthy":true,"leaving":false,"uptime_ms":90000}"#.to_owned());
    for _ in 0..40 {
        assert_eq!(
            instance.send("GET", "/lunwan/desk/fit", "").await.status,
            200
        );
    }
    assert!(leaving.runs.get() <= 1, "{} runs", leaving.runs.get());
    assert!(staying.runs.get() >= 39);
}

/// Guards against probe results that are lost or misinterpreted.
#[actix_rt::test]
async fn a_probe_detects_a_leaving_server() {
    let backend = Backend::start().await;
    backend
        .health
        .replace(r#"{"leaving":true,"load":3,"uptime_ms":1500}"#.to_owned());
    let instance = TestInstance::start(&[backend.address]).await;
    let report = |fact: &(FactKey, FactValue)| match &fact.1 {
        FactValue::Server(report) => Some((report.leaving, report.load, report.uptime)),
        _ => None,
    };
    let facts = || {
        use crate::interfaces::GossipFacts;
        instance
            .facts
            .select(&|key| matches!(key, FactKey::ServerReport(..)))
    };
    wait_until("report", || !facts().is_empty()).await;
    let expected = (true, 3, Duration::from_millis(1500));
    assert_eq!(facts().iter().find_map(report), Some(expected));
    let headers = [("x-deadline-ms", "200")];
    let path = "/lunwan/desk/fit";
    let rejected = loop {
        let response = instance.send_with("GET", path, "", &headers).await;
        if response.status != 200 {
            break response;
        }
        assert!(
            backend.uptime() < Duration::from_secs(3),
            "the leaving server was detected too late"
        );
    };
    assert_eq!(
        rejected.rejection(),
        (503, "not_run", "no_capacity".to_owned())
    );
}
