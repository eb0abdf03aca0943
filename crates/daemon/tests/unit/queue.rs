//! The queue for slots, body memory and header filtering.

use std::rc::Rc;

use actix_http::header::{HeaderMap, HeaderName, HeaderValue};
use futures_util::FutureExt;

use crate::frontend::memory::BodyMemory;
use crate::headers::for_backend;
use crate::queue::{WaitQueue, WaitTicket};

fn join(queue: &Rc<WaitQueue>, team: &str) -> Option<WaitTicket> {
    let team = format!("lunwan/{team}").parse().unwrap();
    queue.join(&"lunwan/desk".parse().unwrap(), Some(&team))
}

fn has_turn(ticket: &WaitTicket) -> bool {
    ticket.wait_turn().now_or_never().is_some()
}

/// Guards against a team with many waiting requests that starves other teams or
/// fills the whole queue.
#[test]
fn teams_take_turns() {
    let queue: Rc<WaitQueue> = Rc::default();
    let many: Vec<_> = std::iter::from_fn(|| join(&queue, "many")).collect();
    assert!(
        (10..200).contains(&many.len()),
        "{} requests are waiting",
        many.len()
    );
    let few = join(&queue, "few").expect("a full lane must not block other teams");
    let service = "lunwan/desk".parse().unwrap();
    queue.wake(&service);
    queue.wake(&service);
    assert!(has_turn(&few));
    assert_eq!(many.iter().filter(|ticket| has_turn(ticket)).count(), 1);
}

/// Guards against a turn that is lost when the woken request finds no slot or is
/// dropped.
#[test]
fn an_unused_turn_passes_to_the_next_request() {
    let queue: Rc<WaitQueue> = Rc::default();
    let service = "lunwan/desk".parse().unwrap();
    let first = join(&queue, "one").unwrap();
    let second = join(&queue, "one").unwrap();
    queue.wake(&service);
    assert!(has_turn(&first) && !has_turn(&second));
    first.wait_again();
    queue.wake(&service);
    assert!(has_turn(&first), "the request lost its place");
    drop(first);
    assert!(has_turn(&second));
    drop(second);
    assert!(!queue.has_waiters(&service));
}

/// Guards against a team whose large bodies use up the memory of other teams, and
/// against memory that is not released.
#[test]
fn a_team_gets_a_fraction_of_the_body_memory() {
    let memory = BodyMemory::new(100);
    let team = |name| format!("lunwan/{name}").parse().ok();
    let held = memory.reserve(team("many"), 25).unwrap();
    assert!(memory.reserve(team("many"), 1).is_none());
    let others: Vec<_> = ["a", "b", "c"]
        .map(|name| memory.reserve(team(name), 25).unwrap())
        .into();
    assert!(
        memory.reserve(team("d"), 1).is_none(),
        "more memory was reserved than the limit"
    );
    drop(others);
    drop(held);
    assert!(memory.reserve(team("many"), 25).is_some());
}

/// Guards against hop-by-hop headers and spoofed identity headers that reach a
/// backend server.
#[test]
fn reserved_headers_are_removed() {
    let mut headers = HeaderMap::new();
    let names = [
        "x-hop",
        "te",
        "x-team",
        "x-outcome",
        "authorization",
        "x-tarragonpulley-a",
        "accept",
    ];
    for name in names {
        headers.append(HeaderName::from_static(name), HeaderValue::from_static("1"));
    }
    let connection = HeaderValue::from_static("close, X-Hop");
    headers.append(HeaderName::from_static("connection"), connection);
    let forwarded = for_backend(&headers);
    let forwarded: Vec<_> = forwarded.keys().map(HeaderName::as_str).collect();
    assert_eq!(forwarded, ["accept"]);
}
