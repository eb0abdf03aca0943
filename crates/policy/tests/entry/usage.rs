//! Counts of usage: what is counted, handed in and recorded, and when.

use std::time::{Duration, Instant};

use tarragonpulley_policy::entry::digest::InstanceState;
use tarragonpulley_policy::entry::duty::{DutyWriter, Fence, LeaseTerms, RowPosition};
use tarragonpulley_policy::entry::names::{InstanceName, TeamName};
use tarragonpulley_policy::entry::usage::{
    HandIn, SteadyTime, UnixMillis, UsageCollector, UsageCounter, UsageDuty, UsageRecord, UsageRow,
    UsageStep, UsageTerms, UsageView, WindowNumber, candidates,
};
use yare::parameterized;

use crate::at;

fn name(text: &str) -> InstanceName {
    text.parse().expect("a name")
}

/// Guards against counts of requests that did not run, and of other windows.
#[test]
fn rejected_requests_are_taken_back() {
    let team: TeamName = "team".parse().expect("a name");
    let mut counter = UsageCounter::default();
    for _ in 0..3 {
        counter.record_sent(WindowNumber(7), &team);
    }
    counter.record_not_run(WindowNumber(7), &team);
    counter.record_not_run(WindowNumber(8), &team);
    assert_eq!(counter.counts(WindowNumber(7)).get(&team), Some(&2));
    assert!(counter.counts(WindowNumber(8)).is_empty());
}

/// Guards against windows that follow a step of the time of day, and against a machine
/// whose time was wrong at the start.
#[parameterized(
    small_difference = { 400, None },
    ahead = { 2000, Some(2000) },
    behind = { -2000, Some(-2000) },
)]
fn time_is_corrected_by_the_fleet(difference: i64, correction: Option<i64>) {
    let start = Instant::now();
    let mut time = SteadyTime::new(start, UnixMillis(1_000_000));
    assert_eq!(time.at(at(start, 500)), UnixMillis(1_000_500));
    let fleet = UnixMillis(1_000_500 + difference);
    let asked_at = at(start, 400);
    assert_eq!(time.correct(fleet, asked_at, at(start, 500)), correction);
    let after = 1_000_600 + correction.into_iter().sum::<i64>();
    assert_eq!(time.at(at(start, 600)), UnixMillis(after));
}

/// Guards against an instance that takes the time of a response from before it stood
/// still.
#[test]
fn late_responses_do_not_correct_the_time() {
    let start = Instant::now();
    let mut time = SteadyTime::new(start, UnixMillis(1_000_000));
    let fleet = UnixMillis(1_000_010);
    assert_eq!(time.correct(fleet, start, at(start, 4000)), None);
    assert_eq!(time.at(at(start, 4000)), UnixMillis(1_004_000));
}

/// Messages of one sender: when they were sent by its time, and when they arrived.
type SentMessages = &'static [(i64, i64)];

/// Guards against an instance that stood still and takes the time of the messages that
/// waited for it for the time of their senders, and against senders whose wrong time is
/// not found.
#[parameterized(
    nothing_known = { &[], None },
    one_message_may_have_waited = { &[(0, 0)], None },
    same_time = { &[(0, 5), (5000, 5003)], Some(-3) },
    ahead = { &[(2000, 5), (7000, 5003)], Some(1997) },
    behind = { &[(0, 2005), (5000, 7003)], Some(-2003) },
    messages_waited = { &[(0, 5), (5000, 9000), (5700, 9000), (10_000, 10_010)], Some(-5) },
    only_messages_that_waited = { &[(5000, 9000), (5700, 9000), (6400, 9001)], None },
    message_after_those_that_waited = { &[(5000, 9000), (5700, 9000), (10_000, 10_010)], Some(-10) },
    corrected_sender = { &[(3000, 5), (5000, 5003), (10_000, 10_010), (15_000, 15_005)], Some(-3) },
)]
fn time_of_the_fleet_is_that_of_messages_that_did_not_wait(
    messages: SentMessages,
    difference: Option<i64>,
) {
    let mut collector = UsageCollector::default();
    for (sent_at, arrived_at) in messages {
        for sender in ["e2", "e3", "e4"] {
            let sender = DutyWriter {
                name: name(sender),
                start: 1,
            };
            collector.record_clock(&sender, UnixMillis(*sent_at), UnixMillis(*arrived_at));
        }
    }
    let now = 20_000;
    let expected = difference.map(|difference| UnixMillis(now + difference));
    assert_eq!(collector.fleet_time(UnixMillis(now)), expected);
}

/// Guards against a process that is taken to have the time of the one before it.
#[test]
fn restarted_senders_are_measured_again() {
    let mut collector = UsageCollector::default();
    let mut record = |start: i64, sent_at: i64, arrived_at: i64| {
        for sender in ["e2", "e3", "e4"] {
            let sender = DutyWriter {
                name: name(sender),
                start,
            };
            collector.record_clock(&sender, UnixMillis(sent_at), UnixMillis(arrived_at));
        }
        collector.fleet_time(UnixMillis(arrived_at))
    };
    assert_eq!(record(1, 2000, 0), None);
    assert_eq!(record(1, 7000, 5000), Some(UnixMillis(7000)));
    assert_eq!(record(2, 10_000, 10_000), None);
    assert_eq!(record(2, 15_000, 15_000), Some(UnixMillis(15_000)));
}

/// Guards against a change of the holder without need, and a holder that keeps the duty
/// although it cannot deliver.
#[parameterized(
    nobody_holds_it = { None, &["e1", "e2", "e4"] },
    the_holder_goes_first = { Some(("e4", false)), &["e4", "e1", "e2"] },
    a_holder_that_yields_goes_last = { Some(("e1", true)), &["e2", "e4", "e3"] },
    a_holder_that_leaves_is_no_candidate = { Some(("e0", false)), &["e1", "e2", "e4"] },
)]
fn candidates_are_ranked(holder: Option<(&str, bool)>, expected: &[&str]) {
    let instances = [
        (name("e0"), InstanceState::Leaving),
        (name("e1"), InstanceState::Ready),
        (name("e2"), InstanceState::Ready),
        (name("e3"), InstanceState::Unready),
        (name("e4"), InstanceState::Ready),
    ];
    let holder = holder.map(|(holder, yields)| (name(holder), yields));
    let holder = holder.as_ref().map(|(holder, yields)| (holder, *yields));
    let instances = instances.iter().map(|(name, state)| (name, *state));
    let ranked = candidates(instances, holder);
    let expected: Vec<InstanceName> = expected.iter().map(|text| name(text)).collect();
    assert_eq!(ranked, expected);
}

fn terms(window_ms: u64) -> UsageTerms {
    UsageTerms {
        window: Duration::from_millis(window_ms),
        late: Duration::from_secs(10),
        lease: LeaseTerms {
            length: Duration::from_secs(3),
            margin: Duration::from_secs(1),
        },
        call_timeout: Duration::from_secs(1),
    }
}

/// Guards against windows that are given up, or whose counts are dropped, before their
/// report is late.
#[parameterized(
    short = { 500, 0, 980 },
    two_seconds = { 2000, 0, 995 },
    two_seconds_at_the_end = { 2000, 1999, 995 },
    three_seconds = { 3000, 999, 996 },
    three_seconds_late = { 3000, 1000, 997 },
    five_seconds = { 5000, 0, 998 },
    long = { 60_000, 9999, 999 },
    long_late = { 60_000, 10_000, 1000 },
)]
fn windows_are_kept_until_their_report_is_late(window_ms: u64, millis: u64, first: u64) {
    let terms = terms(window_ms);
    let time = UnixMillis(i64::try_from(window_ms * 1000 + millis).expect("milliseconds"));
    let windows: Vec<(u64, u64)> = terms
        .timely_windows(time)
        .map(|(window, since)| (window.0, u64::try_from(since.as_millis()).expect("a time")))
        .collect();
    let expected: Vec<(u64, u64)> = (first..1000)
        .map(|window| (window, (999 - window) * window_ms + millis))
        .collect();
    assert_eq!(windows, expected);
    assert!(terms.kept_windows(time).contains(&WindowNumber(first)));
}

/// Guards against a window that no instance records because few have handed in, though
/// its report is not yet late.
#[parameterized(
    short = { 500 },
    two_seconds = { 2000 },
    five_seconds = { 5000 },
)]
fn window_with_few_hand_ins_is_recorded_before_it_is_late(window_ms: u64) {
    let start = Instant::now();
    let own = DutyWriter {
        name: name("e2"),
        start: 1,
    };
    let holder = DutyWriter {
        name: name("e1"),
        start: 1,
    };
    let mut duty = UsageDuty::new(own.clone(), terms(window_ms));
    let position = RowPosition {
        era: Some(1),
        version: 7,
    };
    let row = UsageRow {
        writer: holder,
        fence: Fence(20),
        record: UsageRecord {
            last: Some(WindowNumber(999)),
            era: Some(1),
            reporters: 4,
            pending: Vec::new(),
        },
    };
    let end = i64::try_from(window_ms * 1001).expect("milliseconds");
    duty.record_read(position, Some(row), UnixMillis(end), start);
    let mut collector = UsageCollector::default();
    collector.add(&HandIn {
        writer: own.clone(),
        window: WindowNumber(1000),
        part: 0,
        parts: 1,
        sent_at: UnixMillis(end),
        counts: [("team".parse().expect("a name"), 3)].into(),
    });
    let step_after = |duty: &mut UsageDuty, collector: &mut UsageCollector, millis: u64| {
        let time = UnixMillis(end + i64::try_from(millis).expect("milliseconds"));
        collector.expire(&terms(window_ms).kept_windows(time));
        let live = [name("e1"), name("e2"), name("e3"), name("e4")];
        let view = UsageView {
            time,
            rank: Some(1),
            live: &live,
        };
        duty.next_step(&view, collector, at(start, millis))
    };
    assert_eq!(step_after(&mut duty, &mut collector, 8000), UsageStep::Idle);
    let step = step_after(&mut duty, &mut collector, 8600);
    let UsageStep::Write { row, .. } = step else {
        panic!("{step:?}");
    };
    let windows: Vec<u64> = row.record.pending.iter().map(|it| it.window.0).collect();
    assert_eq!(windows, [1000]);
}
