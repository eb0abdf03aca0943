//! The known backend servers when their entries change.

use std::rc::Rc;
use std::time::{Duration, Instant};

use tarragonpulley_policy::entry::config::ServerEntry;
use tarragonpulley_policy::entry::names::ServerId;
use tarragonpulley_policy::entry::restart::report_concerns;
use yare::parameterized;

use crate::servers::{Server, ServerSet};

const COLD_PERIOD: Duration = Duration::from_secs(3);

fn server_id() -> ServerId {
    "i-0".parse().expect("a name")
}

/// The entry of a process that is no longer cold.
fn warm_entry(started: i64, port: u16) -> ServerEntry {
    ServerEntry {
        id: server_id(),
        service: "svc".parse().expect("a name"),
        version: "v1".parse().expect("a name"),
        address: ([127, 0, 0, 1], port).into(),
        centre: "north-a".parse().expect("a name"),
        slots: 3,
        draining: false,
        cold_remaining: Duration::ZERO,
        started: Some(started),
    }
}

fn at(start: Instant, millis: u64) -> Instant {
    start + Duration::from_millis(millis)
}

/// A set with the server in its first start.
fn set_with_server(start: Instant) -> (ServerSet, Rc<Server>) {
    let mut servers = ServerSet::default();
    servers.update(warm_entry(1, 80), None, start, start);
    let server = Rc::clone(servers.get(&server_id()).expect("a server"));
    (servers, server)
}

fn record_end(server: &Server, at: Instant) {
    server.restart.tracker.borrow_mut().record_end(at);
}

/// Guards against an entry that is read late, from the copy of another instance: its
/// process may be the one that ended, and its successor is cold.
#[test]
fn entry_from_before_an_end_does_not_make_a_server_warm() {
    let start = Instant::now();
    let (mut servers, earlier) = set_with_server(start);
    record_end(&earlier, at(start, 1000));

    servers.update(warm_entry(2, 80), None, at(start, 900), at(start, 1800));
    let server = servers.get(&server_id()).expect("a server");
    assert!(server.is_cold(at(start, 1800)), "the doubt was forgotten");

    let mut tracker = server.restart.tracker.borrow_mut();
    tracker.record_running(at(start, 2000), at(start, 2000));
    tracker.settle(COLD_PERIOD, at(start, 4900));
    assert!(tracker.is_in_doubt(), "the process may still be cold");
    tracker.settle(COLD_PERIOD, at(start, 5000));
    assert!(!tracker.is_in_doubt());
}

/// Guards against servers that count as cold because of an address which they left.
#[test]
fn end_at_an_earlier_address_does_not_concern_the_later_one() {
    let start = Instant::now();
    let (mut servers, earlier) = set_with_server(start);
    record_end(&earlier, at(start, 1000));

    servers.update(warm_entry(2, 81), None, at(start, 900), at(start, 1800));
    let server = servers.get(&server_id()).expect("a server");
    assert!(!server.is_cold(at(start, 1800)));
}

/// Guards against a second start that nobody is told of, because the time for which the
/// server is cold after its first one is not over yet.
#[parameterized(
    was_warm = { None, 3000, true },
    same_start = { Some(3000), 3000, false },
    same_start_heard_later = { Some(3000), 3400, false },
    later_start = { Some(3000), 4500, true },
    was_cold_before = { Some(900), 3000, true },
    shorter = { Some(3000), 2000, false },
)]
fn later_start_of_a_cold_server_is_new(known: Option<u64>, until: u64, expected: bool) {
    let start = Instant::now();
    let (_servers, server) = set_with_server(start);
    server.cold_until.set(known.map(|known| at(start, known)));
    let now = at(start, 1000);
    assert_eq!(server.extend_cold(at(start, until), now), expected);
    let longest = known.max(Some(until)).map(|longest| at(start, longest));
    assert_eq!(server.known_cold_until(), longest);
}

/// Guards against reports of an end that stop when its successor is known here: others may
/// read the new entry later.
#[test]
fn end_is_reported_after_the_next_process_is_known() {
    let start = Instant::now();
    let (mut servers, earlier) = set_with_server(start);
    servers.record_ended(&earlier, at(start, 1000));
    servers.update(warm_entry(2, 80), None, at(start, 900), at(start, 1800));
    let later = Rc::clone(servers.get(&server_id()).expect("a server"));

    servers.take_back_ended(&later);
    assert_eq!(servers.ended_reports(at(start, 2000)).len(), 1);
    servers.take_back_ended(&earlier);
    assert!(servers.ended_reports(at(start, 2000)).is_empty());
}

/// Guards against reports that are ignored because the entry was read after the end,
/// though from a copy that is older.
#[parameterized(
    old_copy = { 900, true },
    recent_copy = { 1700, false },
)]
fn report_of_an_end_after_the_copy_concerns_the_server(read_at: u64, expected: bool) {
    let start = Instant::now();
    let mut servers = ServerSet::default();
    servers.update(warm_entry(2, 80), None, at(start, read_at), at(start, 1800));
    let server = servers.get(&server_id()).expect("a server");
    let ended_at = at(start, 1000);
    assert_eq!(
        report_concerns(false, server.known_since, ended_at),
        expected
    );
}

/// Guards against requests in a pause that a server asked for before its entry was gone.
#[parameterized(short = { 2000 }, long = { 20_000 })]
fn pause_lasts_while_the_entry_is_gone(absence: u64) {
    let start = Instant::now();
    let (mut servers, earlier) = set_with_server(start);
    let pause = "60".parse().expect("a number");
    let mut gate = earlier.gate.borrow_mut();
    gate.record_pause(pause, Duration::ZERO, start);
    drop(gate);

    servers.mark_removed(&server_id(), at(start, 1000));
    let returns_at = at(start, 1000 + absence);
    servers.expire_removed(returns_at);
    servers.update(warm_entry(1, 80), None, returns_at, returns_at);
    let server = servers.get(&server_id()).expect("a server");
    assert!(server.is_available(returns_at));
    assert!(server.gate.borrow().paused_until(returns_at).is_some());
}

/// Guards against an entry from before a process said that it is cold, which ends that.
#[parameterized(
    of_the_known_start = { 1, 500 },
    of_a_later_start = { 2, 0 },
)]
fn entry_does_not_shorten_the_time_that_a_process_named(started: i64, cold_left: u64) {
    let start = Instant::now();
    let (mut servers, known) = set_with_server(start);
    known.extend_cold(at(start, 5000), at(start, 2000));

    let entry = ServerEntry {
        cold_remaining: Duration::from_millis(cold_left),
        ..warm_entry(started, 80)
    };
    servers.update(entry, None, at(start, 2000), at(start, 2500));
    let server = servers.get(&server_id()).expect("a server");
    assert!(server.is_cold(at(start, 4900)));
}
