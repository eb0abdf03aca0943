//! Runs the binary with contract files and against stand-in instances that send
//! fixed responses.

use std::fs;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::process::{Command, Output, Stdio};
use std::sync::mpsc::{Receiver, channel};
use std::thread;
use std::time::Duration;

use yare::parameterized;

const KEY: &str = "a-key-of-sufficient-length";

fn run_with(arguments: &[&str], variable: Option<&str>, input: &str) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_tarragonpulley"));
    command
        .args(arguments)
        .env_remove("TARRAGONPULLEY_OPERATOR");
    if let Some(value) = variable {
        command.env("TARRAGONPULLEY_OPERATOR", value);
    }
    let piped = command.stdin(Stdio::piped()).stdout(Stdio::piped());
    let mut child = piped
        .stderr(Stdio::piped())
        .spawn()
        .expect("the binary starts");
    let mut stdin = child.stdin.take().expect("piped");
    // Writing fails if the process exits without reading standard input.
    let _ = stdin.write_all(input.as_bytes());
    drop(stdin);
    child.wait_with_output().expect("the binary ends")
}

fn run(arguments: &[&str]) -> Output {
    run_with(arguments, None, "")
}

fn exit_code(output: &Output) -> i32 {
    output.status.code().expect("no signal")
}

fn stderr(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

fn stdout(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned()
}

fn sample_contract() -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../contracts/lunwan.toml");
    path.to_str().expect("UTF-8").to_owned()
}

fn read_request(stream: &mut TcpStream) -> String {
    stream
        .set_read_timeout(Some(Duration::from_secs(5)))
        .expect("set");
    let (mut bytes, mut buffer) = (Vec::new(), [0; 4096]);
    loop {
        let count = stream.read(&mut buffer).expect("a request");
        bytes.extend_from_slice(&buffer[..count]);
        let request = String::from_utf8_lossy(&bytes).into_owned();
        if let Some((head, body)) = request.split_once("\r\n\r\n") {
            let length = head.lines().find_map(|l| {
                l.to_ascii_lowercase()
                    .strip_prefix("content-length: ")?
                    .parse()
                    .ok()
            });
            if body.len() >= length.unwrap_or(0) || count == 0 {
                return request;
            }
        }
    }
}

/// Starts a stand-in instance that responds to each request with `status` and
/// `body`, or closes the connection if `status` is `None`. Returns its address
/// and the received requests.
fn start_instance(status: Option<u16>, body: &str) -> (SocketAddr, Receiver<String>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let (sender, receiver) = channel();
    let body = body.to_owned();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.expect("a connection");
            let request = read_request(&mut stream);
            if let Some(status) = status {
                let length = body.len();
                let head = format!("HTTP/1.1 {status} x\r\ncontent-length: {length}\r\n\r\n");
                stream.write_all((head + &body).as_bytes()).expect("sent");
            }
            if sender.send(request).is_err() {
                return;
            }
        }
    });
    (address, receiver)
}

/// An address without a listener. A port that was bound and released could be
/// reused by another test.
const UNUSED_ADDRESS: &str = "127.0.0.1:1";

fn error_body(kind: &str) -> String {
    format!(r#"{{"error":"{kind}","message":"the message","mistakes":["first","second"]}}"#)
}

// Guards against running a command despite a usage error, and against a wrong
// exit code for usage errors.
#[parameterized(
    no_command = { &[], "name a command" },
    unknown_flag = { &["--bogus"], "unrecognized option `--bogus`" },
    unknown_command = { &["aply"], "unrecognized command `aply`" },
    no_files = { &["check"], "name at least one contract file" },
    absent_file = { &["check", "/no/such/file.toml"], "/no/such/file.toml: cannot be read" },
    no_instance = { &["status"], "TARRAGONPULLEY_OPERATOR" },
    address = { &["--instance", "edge-1:80", "status"], "--instance: \"edge-1:80\" must be IP:PORT" },
    base = { &["--instance", "127.0.0.1:1", "apply", "--base", "12", "x"], "--base: " },
    key_on_command_line = { &["--instance", "127.0.0.1:1", "key", "grant", "a/b", "--key", "secret"], "unrecognized option `--key`" },
    two_teams = { &["--instance", "127.0.0.1:1", "key", "grant", "a/b", "c/d"], "exactly one team" },
    no_key = { &["--instance", "127.0.0.1:1", "key", "grant", "a/b"], "key: must have from 16 to 256 bytes" },
    both = { &["--instance", "127.0.0.1:1", "key", "withdraw", "--digest", "x", "--key-file", "y"], "either" },
    no_deadline = { &["--instance", "127.0.0.1:1", "move", "start", "m", "--service", "a/b", "--from", "x", "--to", "y", "--cap", "5%"], "deadline" },
    move_name = { &["--instance", "127.0.0.1:1", "move", "cancel", "a/../b"], "name: " },
    stamp = { &["--instance", "127.0.0.1:1", "timeline", "--after", "1 2"], "--after must be" },
)]
fn usage_errors_exit_with_two(arguments: &[&str], message: &str) {
    let output = run(arguments);
    assert_eq!(exit_code(&output), 2, "{}", stderr(&output));
    assert!(stderr(&output).contains(message), "{}", stderr(&output));
    assert!(stdout(&output).is_empty());
}

// Guards against a check that stops at the first mistake or file, requires an
// instance, or reports a mistake without its file, field, value and valid range.
#[test]
fn check_lists_every_mistake() {
    let directory = tempfile::tempdir().expect("a directory");
    let path = directory.path().join("bad.toml");
    let wrong = fs::read_to_string(sample_contract()).expect("the sample");
    let wrong = wrong
        .replace("slots = 4", "slots = 17")
        .replace("\"10s\"", "\"61s\"");
    fs::write(&path, wrong).expect("written");
    let path = path.to_str().expect("UTF-8");
    let sample_contract = sample_contract();
    let output = run(&["check", &sample_contract, path]);
    assert_eq!(exit_code(&output), 1);
    let first_error = format!("{path}: lookup.valid_for: \"61s\": must be from 1s to 60s");
    let second_error =
        format!("{path}: service[fitdesk].server[taipei-a-1].slots: \"17\": must be from 1 to 16");
    for line in [&first_error, &second_error] {
        assert!(
            stderr(&output).lines().any(|l| l == line),
            "{line}\n{}",
            stderr(&output)
        );
    }
    let good = run(&["check", &sample_contract]);
    assert_eq!(exit_code(&good), 0);
    assert!(stdout(&good).contains("valid contract of lunwan"));
    let duplicate = run(&["check", &sample_contract, &sample_contract]);
    assert_eq!(exit_code(&duplicate), 1);
    assert!(
        stderr(&duplicate).contains("is also in"),
        "{}",
        stderr(&duplicate)
    );
}

// Guards against an exit code that does not match the response of the instance,
// in particular "nothing changed" for a change that may have been committed.
#[parameterized(
    accepted = { 200, r#"{"revision":9}"#, 0 },
    malformed = { 400, &error_body("malformed_request"), 2 },
    not_found = { 404, &error_body("not_found"), 1 },
    conflict = { 409, &error_body("conflict"), 3 },
    rejected = { 422, &error_body("refused"), 1 },
    unavailable = { 503, &error_body("unavailable"), 4 },
    unknown = { 504, &error_body("unknown_outcome"), 5 },
    not_json = { 200, "accepted", 5 },
    other_service = { 502, "bad gateway", 5 },
)]
fn each_response_has_its_exit_code(status: u16, body: &str, expected: i32) {
    let (address, _requests) = start_instance(Some(status), body);
    let address = address.to_string();
    let output = run(&["--instance", &address, "drain", "start", "instance:edge-1"]);
    assert_eq!(exit_code(&output), expected, "{}", stderr(&output));
    if body.contains("mistakes") {
        assert!(stderr(&output).contains("second"), "every mistake is shown");
    } else if expected == 0 {
        assert_eq!(stdout(&output).trim(), "accepted as r9");
    }
}

// Guards against retrying a change on a second instance although the first may
// have committed it, and against failing while another instance is reachable.
#[test]
fn a_change_is_retried_only_if_it_was_not_sent() {
    let (second, requests) = start_instance(Some(200), r#"{"revision":9}"#);
    let second = second.to_string();
    let change = ["drain", "start", "instance:edge-1"];
    let flags = [
        "--json",
        "--instance",
        UNUSED_ADDRESS,
        "--instance",
        &second,
    ];
    let output = run(&[&flags[..], &change].concat());
    assert_eq!(exit_code(&output), 0, "{}", stderr(&output));
    assert_eq!(stdout(&output).trim(), r#"{"revision":9}"#);
    assert!(
        requests
            .recv()
            .expect("a request")
            .starts_with("POST /v1/drains ")
    );

    let (unresponsive, _requests) = start_instance(None, "");
    let both = format!("{unresponsive}, {second}");
    let output = run_with(&change, Some(&both), "");
    assert_eq!(exit_code(&output), 5, "{}", stderr(&output));
    assert!(
        requests.try_recv().is_err(),
        "the second instance received no request"
    );

    let output = run(&[&["--instance", UNUSED_ADDRESS][..], &change].concat());
    assert_eq!(exit_code(&output), 4);
    assert!(stderr(&output).contains("nothing changed"));
}

// Guards against a read that fails because one of the instances does not respond.
#[test]
fn a_read_is_retried_after_any_failure() {
    let status = r#"{"instance":"edge-2#1","data_centre":"taipei-a","revision":4,
        "proof_age_ms":null,"customers":["lunwan"],"keys":{"granted":1,"withdrawn":0},
        "moves":[],"drains":[{"target":"instance:edge-1"}],"members":[]}"#;
    let (unresponsive, _requests) = start_instance(None, "");
    let (second, _requests) = start_instance(Some(200), status);
    let output = run_with(&["status"], Some(&format!("{unresponsive},{second}")), "");
    assert_eq!(exit_code(&output), 0, "{}", stderr(&output));
    for part in ["r4, not proved current", "drain      instance:edge-1"] {
        assert!(stdout(&output).contains(part), "{}", stdout(&output));
    }
}

// Guards against sending a modified key, for instance with the line ending of its
// file.
#[test]
fn a_key_comes_from_a_file_or_standard_input() {
    let (address, requests) = start_instance(Some(200), r#"{"revision":9}"#);
    let address = address.to_string();
    let grant = [
        "--instance",
        &address,
        "key",
        "grant",
        "lunwan/yilan-family",
    ];
    let expected = format!(r#"{{"team":"lunwan/yilan-family","key":"{KEY}"}}"#);
    let output = run_with(&grant, None, &format!("{KEY}\n"));
    assert_eq!(exit_code(&output), 0, "{}", stderr(&output));
    assert!(requests.recv().expect("a request").ends_with(&expected));

    let directory = tempfile::tempdir().expect("a directory");
    let path = directory.path().join("key");
    fs::write(&path, format!("{KEY}\r\n")).expect("written");
    let path = path.to_str().expect("UTF-8");
    let output = run(&[&grant[..], &["--key-file", path]].concat());
    assert_eq!(exit_code(&output), 0, "{}", stderr(&output));
    assert!(requests.recv().expect("a request").ends_with(&expected));
}

// Guards against a move request that lacks one of the options.
#[test]
fn a_move_request_is_complete() {
    let (address, requests) = start_instance(Some(200), r#"{"revision":9}"#);
    let address = address.to_string();
    let arguments = [
        "--instance",
        &address,
        "move",
        "start",
        "up",
        "--service",
        "lunwan/fitdesk",
        "--from",
        "v1",
        "--to",
        "v2",
        "--cap",
        "5%",
        "--deadline",
        "30s",
    ];
    assert_eq!(exit_code(&run(&arguments)), 0);
    let expected = r#"{"name":"up","kind":{"rollout":{"service":"lunwan/fitdesk","from":"v1","to":"v2"}},"cap":"5%","deadline":"30s"}"#;
    assert!(requests.recv().expect("a request").ends_with(expected));
    assert_eq!(
        exit_code(&run(&[&arguments[..], &["--centres"]].concat())),
        0
    );
    assert!(requests.recv().expect("a request").contains("centre_shift"));
    assert_eq!(
        exit_code(&run(&["--instance", &address, "move", "cancel", "up"])),
        0
    );
    assert!(
        requests
            .recv()
            .expect("a request")
            .starts_with("DELETE /v1/moves/up ")
    );
}

// Guards against a help text that lacks the exit codes or describes the wrong
// command.
#[test]
fn help_and_version_exit_with_zero() {
    let help = run(&["--help"]);
    assert_eq!(exit_code(&help), 0);
    for part in ["Exit codes", "--instance", "timeline", "withdraw"] {
        assert!(stdout(&help).contains(part), "{part}: {}", stdout(&help));
    }
    let help = run(&["move", "start", "--help"]);
    assert_eq!(exit_code(&help), 0);
    assert!(stdout(&help).contains("--deadline"), "{}", stdout(&help));
    assert_eq!(exit_code(&run(&["--version"])), 0);
}
