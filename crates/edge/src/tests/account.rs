//! Tests of the account of what clients hold, without a network.

use std::rc::Rc;
use std::time::{Duration, Instant};

use yare::parameterized;

use crate::http::account::{
    ClientAccount, ClientActivity, ClientGroup, ClientLimits, ClientMember, ClientRefusal,
};

const CONNECTIONS: usize = 3;
const MEMORY_BYTES: usize = 320 * 1024;

fn account() -> Rc<ClientAccount> {
    ClientAccount::new(ClientLimits {
        connections: CONNECTIONS,
        management_connections: 1,
        requests: 2,
        memory_bytes: MEMORY_BYTES,
    })
}

fn open(account: &Rc<ClientAccount>, now: Instant) -> ClientMember {
    account
        .open(ClientGroup::Callers, now)
        .expect("a connection")
}

/// A connection that has done something for some milliseconds, and has moved some bytes.
type Doing = (ClientActivity, u64, usize);

fn refusal(member: &ClientMember) -> Option<ClientRefusal> {
    futures_util::FutureExt::now_or_never(member.closed())
}

/// Guards against crowds that push out ordinary callers: which of three connections is
/// closed for a fourth one.
#[parameterized(
    the_longest_idle = { [(ClientActivity::Idle, 10, 0), (ClientActivity::Idle, 30, 0), (ClientActivity::Idle, 20, 0)],
        Some((1, ClientRefusal::IdleConnection)) },
    idle_before_slow = { [(ClientActivity::Receiving, 9000, 1), (ClientActivity::Idle, 1, 0), (ClientActivity::Sending, 9000, 1)],
        Some((1, ClientRefusal::IdleConnection)) },
    the_slowest_sender = { [(ClientActivity::Receiving, 5000, 50_000), (ClientActivity::Receiving, 5000, 10), (ClientActivity::Working, 9000, 0)],
        Some((1, ClientRefusal::SlowRequest)) },
    the_slowest_reader = { [(ClientActivity::Receiving, 5000, 50_000), (ClientActivity::Sending, 5000, 10), (ClientActivity::Working, 9000, 0)],
        Some((1, ClientRefusal::SlowReader)) },
    none_that_has_just_begun = { [(ClientActivity::Receiving, 900, 1), (ClientActivity::Sending, 900, 1), (ClientActivity::Receiving, 900, 1)],
        None },
    none_that_has_requests_in_progress = { [(ClientActivity::Working, 9000, 0), (ClientActivity::Working, 9000, 0), (ClientActivity::Working, 9000, 0)],
        None },
)]
fn connections_with_least_progress_are_closed_first(
    doing: [Doing; CONNECTIONS],
    expected: Option<(usize, ClientRefusal)>,
) {
    let account = account();
    let start = Instant::now();
    let end = Duration::from_mins(1);
    let now = start + end;
    let members = doing.map(|(activity, millis, moved)| {
        let member = open(&account, start);
        member.restart_activity(
            activity,
            start + (end.saturating_sub(Duration::from_millis(millis))),
        );
        member.record_moved(moved);
        member
    });
    let added = account.open(ClientGroup::Callers, now);
    assert_eq!(added.is_some(), expected.is_some());
    for (index, member) in members.iter().enumerate() {
        let closed = expected.filter(|(closed, _)| *closed == index);
        assert_eq!(refusal(member), closed.map(|(_, refusal)| refusal));
    }
    assert_eq!(account.connections(), CONNECTIONS);
}

/// Guards against callers that take the connections of readiness checks.
#[test]
fn listeners_do_not_take_each_others_connections() {
    let account = account();
    let now = Instant::now();
    let callers: Vec<_> = (0..CONNECTIONS).map(|_| open(&account, now)).collect();
    let readiness = account.open(ClientGroup::Readiness, now);
    assert!(readiness.is_some());
    let lookup = account.open(ClientGroup::Lookups, now);
    assert!(lookup.is_some());
    assert!(callers.iter().all(|member| refusal(member).is_none()));
    let second = account.open(ClientGroup::Readiness, now);
    assert!(second.is_some());
    assert_eq!(
        readiness.as_ref().and_then(refusal),
        Some(ClientRefusal::IdleConnection)
    );
}

/// Guards against memory that is counted twice or never released, and against requests
/// that are begun though they do not fit.
#[test]
fn what_connections_hold_is_bounded_and_released() {
    let account = account();
    let now = Instant::now();
    let first = open(&account, now);
    let second = open(&account, now);
    let empty = account.used();
    second.restart_activity(ClientActivity::Working, now);
    assert!(second.resize_buffers(100 * 1024, now));
    assert!(second.resize_buffers(1024, now));
    assert_eq!(account.used(), empty + 1024);
    let charge = second
        .begin_request(200 * 1024, now)
        .expect("the request fits");
    assert!(charge.begin_progress());
    // Idle connections make room, those with requests in progress do not.
    assert!(second.begin_request(100 * 1024, now).is_none());
    assert_eq!(refusal(&first), Some(ClientRefusal::IdleConnection));
    assert_eq!(refusal(&second), None);
    let two = second.begin_request(1024, now).expect("the request fits");
    assert!(two.begin_progress());
    let three = second.begin_request(1024, now).expect("the request fits");
    assert!(!three.begin_progress(), "two may be in progress");
    charge.complete(100, now);
    assert!(three.begin_progress());
    let before = account.used();
    assert!(!second.resize_buffers(MEMORY_BYTES, now));
    assert_eq!(account.used(), before, "what does not fit is not counted");
    let readiness = account
        .open(ClientGroup::Readiness, now)
        .expect("a connection");
    let check = readiness.begin_request(1024, now).expect("it fits");
    assert!(check.begin_progress(), "callers do not take its place");
    drop((first, second, charge, two, three, readiness, check));
    assert_eq!((account.used(), account.connections()), (0, 0));
}

/// Guards against clients that send requests ahead without end to a management listener,
/// and so keep its connections from readiness checks.
#[parameterized(
    busy_for_long = { ClientGroup::Readiness, 2000, Some(ClientRefusal::SlowRequest) },
    just_opened = { ClientGroup::Readiness, 500, None },
    a_caller = { ClientGroup::Callers, 60_000, None },
)]
fn busy_connections_are_closed_at_management_listeners_only(
    group: ClientGroup,
    open_ms: u64,
    expected: Option<ClientRefusal>,
) {
    let account = account();
    let start = Instant::now();
    let limit = if group == ClientGroup::Callers {
        CONNECTIONS
    } else {
        1
    };
    let open = |now| account.open(group, now);
    let busy: Vec<ClientMember> = (0..limit).filter_map(|_| open(start)).collect();
    let now = start + Duration::from_millis(open_ms);
    for member in &busy {
        member.restart_activity(ClientActivity::Working, now);
    }
    assert_eq!(open(now).is_some(), expected.is_some());
    assert_eq!(refusal(&busy[0]), expected);
}
