//! Tests of the operator API with fakes of the configuration and the fleet.
#![allow(dead_code, reason = "each test uses a part of the modules and fakes")]

#[path = "../src"]
mod daemon {
    pub(crate) mod interfaces;
    pub(crate) mod operator;
}
mod fakes;

use actix_http::body::to_bytes;
use actix_http::{Method, Payload, Request};
use daemon::{interfaces, operator};
use fakes::FakeInstance;
use prometheus_client::registry::Registry;
use serde_json::{Value, json};
use std::rc::Rc;
use tarragonpulley_policy::facts::{FactKey, FactValue};
use tarragonpulley_policy::movement::MoveStateMachine;
use tarragonpulley_policy::units::ConfigRevision;
use yare::parameterized;

use interfaces::ChangeOutcome;

const LUNWAN: &str = include_str!("../../../contracts/lunwan.toml");
const KEY: &str = "a-key-of-sufficient-length";
const TEAM: &str = "lunwan/keelung-carriage";

fn request(method: &str, path: &str, body: String) -> Request {
    let mut request = Request::with_payload(Payload::from(body.into_bytes()));
    request.head_mut().method = Method::from_bytes(method.as_bytes()).expect("method");
    request.head_mut().uri = path.parse().expect("path");
    request
}

/// Sends a request and returns the status and the JSON body.
fn call(instance: &FakeInstance, method: &str, path: &str, body: &Value) -> (u16, Value) {
    let text = if body.is_null() {
        String::new()
    } else {
        body.to_string()
    };
    let (status, bytes) = send(instance, request(method, path, text));
    (
        status,
        serde_json::from_slice(&bytes).expect("a JSON response"),
    )
}

fn send(instance: &FakeInstance, request: Request) -> (u16, Vec<u8>) {
    actix_rt::System::new().block_on(async {
        let state_machine = Rc::new(MoveStateMachine::built_in().expect("valid"));
        let registry = Rc::new(Registry::default());
        let api = operator::OperatorApi::new(instance.context.clone(), registry, state_machine);
        let response = api.handle(request, None).await;
        let status = response.status().as_u16();
        let bytes = to_bytes(response.into_body()).await.expect("a body");
        (status, bytes.to_vec())
    })
}

fn instance_with_contract() -> FakeInstance {
    let instance = FakeInstance::new();
    instance.put_contract(LUNWAN);
    instance
}

// Guards against an outcome that is reported as another one, above all "nothing
// changed" when the change may have been made.
#[parameterized(
    accepted = { ChangeOutcome::Accepted(ConfigRevision::new(9)), 200, "" },
    refused = { ChangeOutcome::Refused("no".to_owned()), 422, "refused" },
    conflict = { ChangeOutcome::Conflict(ConfigRevision::new(9)), 409, "conflict" },
    unavailable = { ChangeOutcome::Unavailable("down".to_owned()), 503, "unavailable" },
    unknown = { ChangeOutcome::Unknown("lost".to_owned()), 504, "unknown_outcome" },
)]
fn each_outcome_has_its_status(outcome: ChangeOutcome, status: u16, error: &str) {
    let instance = instance_with_contract();
    instance.config.script.borrow_mut().push_back(outcome);
    let body = json!({"team": TEAM, "key": KEY});
    let (actual_status, response) = call(&instance, "POST", "/v1/keys/grant", &body);
    assert_eq!(actual_status, status);
    assert_eq!(response["error"].as_str().unwrap_or_default(), error);
    if matches!(status, 200 | 409) {
        assert_eq!(response["revision"], 9);
    }
    assert_eq!(
        instance.events.0.borrow().len(),
        1,
        "the outcome is on the timeline"
    );
}

// Guards against a malformed or rejected request that reaches the table.
#[parameterized(
    not_json = { "POST", "/v1/apply", json!("text"), 400, "body: " },
    unknown_field = { "POST", "/v1/apply", json!({"files": [], "bass": 1}), 400, "bass" },
    no_files = { "POST", "/v1/apply", json!({"files": []}), 400, "files" },
    short_key = { "POST", "/v1/keys/grant", json!({"team": TEAM, "key": "short"}), 400, "key: must have from 16" },
    spaced_key = { "POST", "/v1/keys/grant", json!({"team": TEAM, "key": "a key with some spaces"}), 400, "visible" },
    team_form = { "POST", "/v1/keys/grant", json!({"team": "lunwan", "key": KEY}), 400, "team: " },
    no_team = { "POST", "/v1/keys/grant", json!({"team": "lunwan/x", "key": KEY}), 422, "no team lunwan/x" },
    no_customer = { "POST", "/v1/keys/grant", json!({"team": "x/x", "key": KEY}), 422, "no customer x" },
    neither = { "POST", "/v1/keys/withdraw", json!({}), 400, "either key or digest" },
    digest = { "POST", "/v1/keys/withdraw", json!({"digest": "ab"}), 400, "64 hexadecimal" },
    bad_after = { "GET", "/v1/timeline?after=x", Value::Null, 400, "after: " },
    bad_most = { "GET", "/v1/timeline?most=0", Value::Null, 400, "most: must be from 1" },
    bad_query = { "GET", "/v1/timeline?since=1", Value::Null, 400, "since: " },
    drain_form = { "POST", "/v1/drains", json!({"target": "tainan-a"}), 400, "target: must be centre:" },
    drain_centre = { "POST", "/v1/drains", json!({"target": "centre:lunwan/tokyo"}), 422, "no data centre tokyo" },
    drain_customer = { "POST", "/v1/drains", json!({"target": "centre:x/tokyo"}), 422, "no customer x" },
    drain_instance = { "POST", "/v1/drains", json!({"target": "instance:edge-9"}), 422, "no instance edge-9" },
    drain_absent = { "DELETE", "/v1/drains", json!({"target": "instance:edge-2"}), 404, "not being drained" },
    move_name = { "POST", "/v1/moves", order("Up", "5%", "30s"), 400, "name: " },
    move_cap = { "POST", "/v1/moves", order("up", "5", "30s"), 400, "cap: " },
    move_deadline = { "POST", "/v1/moves", order("up", "5%", "1h"), 400, "deadline: " },
    move_bounds = { "POST", "/v1/moves", order("up", "90%", "1s"), 422, "deadline: 1s must be from 10s" },
    move_absent = { "DELETE", "/v1/moves/up", Value::Null, 404, "no move" },
    bad_path = { "GET", "/v1/nothing", Value::Null, 404, "/v1/nothing" },
    bad_method = { "PUT", "/v1/apply", Value::Null, 405, "PUT" },
)]
fn an_invalid_request_changes_nothing(
    method: &str,
    path: &str,
    body: Value,
    status: u16,
    message: &str,
) {
    let instance = instance_with_contract();
    let (actual_status, response) = call(&instance, method, path, &body);
    assert_eq!(actual_status, status, "{response}");
    assert!(response.to_string().contains(message), "{response}");
    assert!(
        !response.to_string().contains(KEY),
        "the response does not contain the key"
    );
    assert!(instance.config.edits.borrow().is_empty());
}

// Guards against violations of one file that hide those of another.
#[test]
fn apply_reports_the_violations_of_all_files() {
    let instance = FakeInstance::new();
    let wrong = LUNWAN.replace("megabits = 4000", "megabits = 0");
    let files = json!([
        {"file": "a.toml", "text": wrong},
        {"file": "b.toml", "text": "customer = 1"},
        {"file": "c.toml", "text": LUNWAN},
        {"file": "d.toml", "text": LUNWAN},
    ]);
    let (status, response) = call(&instance, "POST", "/v1/apply", &json!({"files": files}));
    assert_eq!(status, 422);
    let text = response["mistakes"].to_string();
    for part in [
        "a.toml: link[north-central].megabits",
        "b.toml",
        "d.toml: customer",
    ] {
        assert!(text.contains(part), "{part}: {text}");
    }
}

// Guards against a grant of a withdrawn key, including withdrawals that only a peer
// has reported yet, and against one of a key that belongs to another team.
#[test]
fn a_withdrawn_or_foreign_key_is_not_granted() {
    let instance = instance_with_contract();
    let grant = |team: &str| {
        let body = json!({"team": team, "key": KEY});
        call(&instance, "POST", "/v1/keys/grant", &body).0
    };
    assert_eq!(grant(TEAM), 200);
    assert_eq!(grant(TEAM), 200, "a repeated grant has no effect");
    assert_eq!(grant("lunwan/lukang-buggies"), 422);
    let digest = tarragonpulley_policy::snapshot::KeyDigest::of_key(KEY);
    instance.config.withdrawn.borrow_mut().insert(digest);
    assert_eq!(grant(TEAM), 422, "a peer reported the withdrawal");
    instance.config.withdrawn.borrow_mut().clear();
    let body = json!({"digest": digest.to_string()});
    assert_eq!(call(&instance, "POST", "/v1/keys/withdraw", &body).0, 200);
    assert_eq!(grant(TEAM), 422);
}

fn order(name: &str, cap: &str, deadline: &str) -> Value {
    let kind = json!({"rollout": {
        "service": "lunwan/fitdesk", "from": "fitdesk-41", "to": "fitdesk-42"}});
    json!({"name": name, "kind": kind, "cap": cap, "deadline": deadline})
}

fn instance_with_two_versions() -> FakeInstance {
    let instance = FakeInstance::new();
    let new = LUNWAN.replacen("version = \"fitdesk-41\"", "version = \"first\"", 1);
    let new = new.replacen("version = \"fitdesk-41\"", "version = \"fitdesk-42\"", 3);
    instance.put_contract(&new.replacen("version = \"first\"", "version = \"fitdesk-41\"", 1));
    instance
}

// Guards against a move that is written with a wrong epoch, that cannot be
// cancelled, or that can be cancelled twice.
#[test]
fn a_move_is_ordered_and_cancelled() {
    let instance = instance_with_two_versions();
    let body = order("up", "5%", "30s");
    assert_eq!(call(&instance, "POST", "/v1/moves", &body).0, 200);
    let (status, response) = call(&instance, "POST", "/v1/moves", &order("up2", "5%", "30s"));
    assert_eq!(status, 422, "a second move of the service: {response}");
    let moves = call(&instance, "GET", "/v1/status", &Value::Null).1["moves"].clone();
    assert_eq!(moves[0]["state"], "planned");
    assert_eq!(moves[0]["epoch"], 1);
    assert_eq!(moves[0]["kind"], body["kind"]);
    assert_eq!(
        call(&instance, "DELETE", "/v1/moves/up", &Value::Null).0,
        200
    );
    let moves = call(&instance, "GET", "/v1/status", &Value::Null).1["moves"].clone();
    assert_eq!(moves[0]["state"], "taken_back");
    assert_eq!(moves[0]["reason"], "cancelled: by an operator");
    assert_eq!(
        call(&instance, "DELETE", "/v1/moves/up", &Value::Null).0,
        422
    );
}

// Guards against a cancellation that fails because a driver wrote a step at the
// same time, and against one that is retried without end.
#[parameterized(once = { 1, 200 }, always = { 9, 409 })]
fn a_cancel_that_loses_a_race_is_retried(races: usize, expected: u16) {
    let instance = instance_with_two_versions();
    let body = order("up", "5%", "30s");
    assert_eq!(call(&instance, "POST", "/v1/moves", &body).0, 200);
    let conflict = ChangeOutcome::Conflict(ConfigRevision::new(9));
    let script = vec![conflict; races];
    instance.config.script.borrow_mut().extend(script);
    assert_eq!(
        call(&instance, "DELETE", "/v1/moves/up", &Value::Null).0,
        expected
    );
}

// Guards against a withdrawal that waits for a read of the table although it may
// have been written, and against one that is published although nothing changed.
#[parameterized(
    accepted = { ChangeOutcome::Accepted(ConfigRevision::new(9)), true },
    unknown = { ChangeOutcome::Unknown("lost".to_owned()), true },
    unavailable = { ChangeOutcome::Unavailable("down".to_owned()), false },
)]
fn a_withdrawal_is_published_at_once(outcome: ChangeOutcome, published: bool) {
    let instance = instance_with_contract();
    instance.config.script.borrow_mut().push_back(outcome);
    call(&instance, "POST", "/v1/keys/withdraw", &json!({"key": KEY}));
    let digest = tarragonpulley_policy::snapshot::KeyDigest::of_key(KEY);
    let fact = instance.context.facts.get(&FactKey::KeyWithdrawn(digest));
    assert_eq!(fact.is_some(), published);
}

// Guards against a new rollout of a version with a known fault: its share would be
// zero, and the move could only be rolled back.
#[test]
fn a_faulty_version_is_not_rolled_out_again() {
    let instance = instance_with_two_versions();
    let service = "lunwan/fitdesk".parse().expect("valid");
    let key = FactKey::VersionFault(service, "fitdesk-42".parse().expect("valid"));
    let reason = FactValue::FlagWithReason("5xx".to_owned());
    instance.context.facts.publish(key, reason, true);
    let (status, response) = call(&instance, "POST", "/v1/moves", &order("up", "5%", "30s"));
    assert_eq!(status, 422);
    assert!(
        response["mistakes"][0]
            .to_string()
            .contains("showed a fault (5xx)"),
        "{response}"
    );
}

// Guards against drains that leave callers without an instance, or a customer
// without a data centre.
#[test]
fn the_last_target_is_not_drained() {
    let instance = instance_with_contract();
    let drain = |method: &str, target: &str| {
        call(
            &instance,
            method,
            "/v1/drains",
            &json!({ "target": target }),
        )
        .0
    };
    assert_eq!(drain("POST", "instance:edge-1"), 200);
    assert_eq!(drain("POST", "instance:edge-2"), 422);
    assert_eq!(drain("DELETE", "instance:edge-1"), 200);
    assert_eq!(drain("POST", "instance:edge-2"), 200);
    let centres = [
        "taipei-a",
        "taoyuan-a",
        "taichung-a",
        "changhua-a",
        "tainan-a",
    ];
    for centre in centres {
        assert_eq!(drain("POST", &format!("centre:lunwan/{centre}")), 200);
    }
    assert_eq!(drain("POST", "centre:lunwan/kaohsiung-a"), 422);
}

// Guards against a body that exhausts the memory of the instance.
#[test]
fn a_body_over_the_limit_is_rejected() {
    let instance = FakeInstance::new();
    let body = json!("x".repeat(4 * 1024 * 1024));
    assert_eq!(call(&instance, "POST", "/v1/apply", &body).0, 413);
}

// Guards against a status that omits a missing proof or another instance.
#[test]
fn the_status_shows_proof_keys_and_members() {
    let instance = instance_with_contract();
    let (status, response) = call(&instance, "GET", "/v1/status", &Value::Null);
    assert_eq!(status, 200);
    assert_eq!(response["proof_age_ms"], 40);
    assert_eq!(response["customers"], json!(["lunwan"]));
    assert_eq!(response["members"][1]["instance"], "edge-2");
    instance.config.unproved.set(true);
    let response = call(&instance, "GET", "/v1/status", &Value::Null).1;
    assert_eq!(response["proof_age_ms"], Value::Null);
}

// Guards against a timeline that ignores its parameters, and against metrics that a
// scraper cannot parse.
#[test]
fn the_timeline_and_metrics_respond() {
    let instance = FakeInstance::new();
    let path = "/v1/timeline?after=12.3&most=7";
    let (_, response) = call(&instance, "GET", path, &Value::Null);
    assert_eq!(response["events"][0]["stamp"], "12.3");
    assert_eq!(response["events"][0]["subject"], "7");
    let (status, text) = send(&instance, request("GET", "/metrics", String::new()));
    let text = String::from_utf8(text).expect("text");
    assert_eq!(status, 200);
    assert!(text.contains("tarragonpulley_members_known 2\n"), "{text}");
    assert!(text.ends_with("# EOF\n"), "{text}");
}
