//! What health responses say.

use std::time::Duration;

use bytes::BytesMut;
use tarragonpulley_policy::entry::names::ServerId;
use yare::parameterized;

use crate::adapter::HeaderNames;
use crate::cold_answers::ColdAnswer;
use crate::http::framing::{HeadScanner, take_response_head};

fn header_names() -> HeaderNames {
    HeaderNames {
        request_id: "Id",
        deadline_ms: "Deadline",
        object_cookie: "object",
        seal: "Seal",
        team: "Team",
        expected_server: "Expected",
        load: "Load",
        rate_limit: "Limit",
        not_run: "Not-Run",
        leaving: "Leaving",
        server_id: "Server-Id",
        cold_left_ms: "Cold-For",
    }
}

/// Guards against a server that counts as warm because of what another process, a rejection
/// or a malformed response said.
#[parameterized(
    warm = { 200, "Server-Id: i-0\r\n", Some(ColdAnswer::Warm) },
    cold = { 200, "Server-Id: i-0\r\nCold-For: 2990\r\n", Some(ColdAnswer::Cold(Duration::from_millis(2990))) },
    cold_no_longer = { 200, "Server-Id: i-0\r\nCold-For: 0\r\n", Some(ColdAnswer::Warm) },
    leaving_and_cold = { 503, "Server-Id: i-0\r\nCold-For: 10\r\n", Some(ColdAnswer::Cold(Duration::from_millis(10))) },
    failing = { 503, "Server-Id: i-0\r\n", None },
    rejected = { 503, "Not-Run: 1\r\n", None },
    other_server = { 200, "Server-Id: i-1\r\n", None },
    unnamed = { 200, "", None },
    not_a_number = { 200, "Server-Id: i-0\r\nCold-For: soon\r\n", None },
    negative = { 200, "Server-Id: i-0\r\nCold-For: -1\r\n", None },
)]
fn only_the_process_itself_says_whether_it_is_cold(
    status: u16,
    fields: &str,
    expected: Option<ColdAnswer>,
) {
    let text = format!("HTTP/1.1 {status} X\r\n{fields}\r\n");
    let mut buffer = BytesMut::from(text.as_str());
    let head = take_response_head(&mut buffer, &mut HeadScanner::default(), 1024);
    let head = head.expect("a response head").expect("it is complete");
    let id: ServerId = "i-0".parse().expect("a name");
    let answer = ColdAnswer::from_head(&head, &header_names(), &id);
    assert_eq!(answer.ok(), expected);
}
