//! Limits that servers name: parsing, statements of several instances, and the sum of
//! the requests of a fleet.

use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tarragonpulley_policy::entry::digest::{InstanceTable, ServerTag};
use tarragonpulley_policy::entry::server_limit::{
    LIMIT_RETENTION, LimitRate, LimitReport, ReportedLimit, ServerLimit,
};
use yare::parameterized;

use crate::at;
use crate::fleet_limits::{digest, record};

const SERVER: u64 = 42;

fn rate(per_second: &str) -> LimitRate {
    per_second.parse().expect("a rate")
}

fn report(rate: Option<LimitRate>, age_ms: u32) -> LimitReport {
    LimitReport {
        server: ServerTag::new(SERVER),
        rate,
        age_ms,
    }
}

#[parameterized(
    whole = { "3", Some(3.0) },
    fraction = { "2.3", Some(2.3) },
    none = { "0", Some(0.0) },
    spaces = { " 1.5 ", Some(1.5) },
    negative = { "-1", None },
    not_a_number = { "NaN", None },
    infinite = { "inf", None },
    empty = { "", None },
    with_unit = { "3/s", None },
)]
fn rates_are_parsed(text: &str, expected: Option<f64>) {
    let found = text.parse::<LimitRate>().ok().map(LimitRate::per_second);
    assert_eq!(found, expected);
}

/// One event in the life of a limit, at a time in milliseconds.
#[derive(Debug, Clone, Copy)]
enum Event {
    /// A response names a limit, or none.
    Told(u64, Option<&'static str>),
    /// A digest arrives with a statement of this age.
    Reported(u64, Option<&'static str>, u32),
}

/// Guards against limits that end too early, by a statement that is older than it
/// seems, or never.
#[parameterized(
    unknown = { &[], 1000, None },
    told = { &[Event::Told(0, Some("2"))], 1000, Some("2") },
    told_another = { &[Event::Told(0, Some("2")), Event::Told(500, Some("3"))], 1000, Some("3") },
    told_the_end = { &[Event::Told(0, Some("2")), Event::Told(500, None)], 1000, None },
    never_named = { &[Event::Told(0, None)], 1000, None },
    reported = { &[Event::Reported(500, Some("2"), 400)], 1000, Some("2") },
    reported_later_than_told = { &[Event::Told(0, Some("2")), Event::Reported(500, Some("1"), 100)], 1000, Some("1") },
    reported_earlier_than_told = { &[Event::Told(900, Some("2")), Event::Reported(950, Some("1"), 800)], 1000, Some("2") },
    end_reported_within_the_delay = { &[Event::Told(4000, Some("2")), Event::Reported(5000, None, 100)], 6000, Some("2") },
    end_reported_later = { &[Event::Told(4000, Some("2")), Event::Reported(9000, None, 100)], 9500, None },
    named_again = { &[Event::Told(0, Some("2")), Event::Told(500, None), Event::Told(800, Some("1"))], 1000, Some("1") },
    told_the_end_after_reports = { &[Event::Reported(500, Some("2"), 400), Event::Told(800, None)], 1000, None },
    unconfirmed = { &[Event::Told(0, Some("2"))], 60_000, None },
)]
fn the_latest_statement_counts(events: &[Event], now: u64, expected: Option<&str>) {
    let start = Instant::now() + LIMIT_RETENTION;
    let mut limit = ServerLimit::default();
    let mut reported = ReportedLimit::default();
    for event in events {
        match *event {
            Event::Told(time, named) => limit.record_response(named.map(rate), at(start, time)),
            Event::Reported(time, named, age) => {
                reported.add(&report(named.map(rate), age), at(start, time));
                limit.set_reported(reported);
            }
        }
    }
    assert_eq!(limit.rate(at(start, now)), expected.map(rate));
}

#[test]
fn only_what_a_response_said_is_reported() {
    // Guards against statements that instances pass on in a circle and never end.
    let start = Instant::now();
    let mut limit = ServerLimit::default();
    let mut reported = ReportedLimit::default();
    reported.add(&report(Some(rate("2")), 0), start);
    limit.set_reported(reported);
    let tag = ServerTag::new(SERVER);
    assert_eq!(limit.report(tag, at(start, 100)), None);
    limit.record_response(Some(rate("2")), at(start, 200));
    assert_eq!(
        limit.report(tag, at(start, 500)),
        Some(report(Some(rate("2")), 300))
    );
    limit.record_response(None, at(start, 600));
    assert_eq!(limit.report(tag, at(start, 700)), Some(report(None, 100)));
    assert_eq!(limit.report(tag, at(start, 60_600)), None);
}

/// What happens to the instances from 8 s on, for 15 s.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Trouble {
    None,
    /// One in five is replaced by a new process.
    Replaced,
    /// None hears another; callers and servers are reached.
    NoDigests,
    /// The instances join one after the other, a tenth of a second apart.
    Joining,
}

struct FleetMember {
    table: InstanceTable,
    limit: ServerLimit,
    /// When the response to the last request arrives.
    response_at: Option<u64>,
    told_at: Option<u64>,
}

impl FleetMember {
    fn new(own: u64, fleet_size: u64, now: Instant) -> Self {
        let mut table = InstanceTable::new(record(own), now);
        (0..fleet_size).for_each(|other| table.register(record(other)));
        table.record_registrations_read(now);
        Self {
            table,
            limit: ServerLimit::default(),
            response_at: None,
            told_at: None,
        }
    }
}

/// The load: each instance gets about two requests a second for the server, which names
/// its limit from 2 s on until 30 s. Responses take 200 ms; digests are half a second
/// old when they arrive. Counted are requests of instances that were told at least half
/// a second before, from 4 s after the limit was named.
#[parameterized(
    few_instances = { 4, "2.3", Trouble::None },
    twelve_instances = { 12, "1", Trouble::None },
    twelve_instances_high_limit = { 12, "20", Trouble::None },
    less_than_one_in_the_window = { 12, "0.1", Trouble::None },
    nothing_permitted = { 12, "0", Trouble::None },
    many_instances = { 70, "2.3", Trouble::None },
    many_instances_replaced = { 70, "2.3", Trouble::Replaced },
    twelve_without_digests = { 12, "2.3", Trouble::NoDigests },
    many_without_digests = { 70, "2.3", Trouble::NoDigests },
    many_joining = { 70, "2.3", Trouble::Joining },
)]
fn a_server_gets_no_more_than_its_limit_from_all_instances(
    fleet_size: u64,
    named: &str,
    trouble: Trouble,
) {
    const NAMED_MS: u64 = 2000;
    const ENDED_MS: u64 = 30_000;
    const STEP_MS: u64 = 10;
    let limit = rate(named);
    let begin = Instant::now();
    let mut random = StdRng::seed_from_u64(11);
    let started = |own: u64| match trouble {
        Trouble::Joining => own * 100,
        _ => 0,
    };
    let mut fleet: Vec<Option<FleetMember>> = (0..fleet_size).map(|_| None).collect();
    let (mut counted, mut after_end) = (Vec::new(), 0);
    for milli in (0..45_000).step_by(10) {
        let now = at(begin, milli);
        let is_disturbed = (8000..23_000).contains(&milli);
        let statements: Vec<Option<LimitReport>> = fleet
            .iter()
            .map(|member| member.as_ref()?.limit.report(ServerTag::new(SERVER), now))
            .collect();
        for own in 0..fleet_size {
            let index = usize::try_from(own).expect("small");
            let is_replaced = trouble == Trouble::Replaced && own % 5 == 0 && milli == 8000;
            if milli == started(own) || is_replaced {
                fleet[index] = Some(FleetMember::new(own, fleet_size, now));
            }
            let Some(member) = &mut fleet[index] else {
                continue;
            };
            let is_heard = trouble != Trouble::NoDigests || !is_disturbed;
            if milli % 1000 == own % 100 * STEP_MS && is_heard {
                for other in (0..fleet_size).filter(|other| *other != own) {
                    let statement = statements[usize::try_from(other).expect("small")];
                    let mut heard = digest(other, milli + 1);
                    heard.server_limits = statement.into_iter().collect();
                    member.table.receive(heard, false, now);
                }
            }
            if milli % 500 == 0 {
                let reported = member.table.server_limits(now);
                let reported = reported.get(&ServerTag::new(SERVER)).copied();
                member.limit.set_reported(reported.unwrap_or_default());
            }
            if member.response_at.take_if(|time| *time <= milli).is_some() {
                let is_named = (NAMED_MS..ENDED_MS).contains(&milli);
                member.limit.record_response(is_named.then_some(limit), now);
                if is_named {
                    member.told_at.get_or_insert(milli);
                }
            }
            let Some(sharers) = member.table.sharer_hashes(now) else {
                continue;
            };
            let is_permitted =
                member
                    .limit
                    .has_permit(SERVER, member.table.own_hash(), &sharers, now);
            if random.random_bool(0.02) && is_permitted {
                member.limit.record_send(now);
                member.response_at.get_or_insert(milli + 200);
                let is_told = member.told_at.is_some_and(|told| told + 500 <= milli);
                if is_told && (NAMED_MS + 4000..ENDED_MS).contains(&milli) {
                    counted.push(milli);
                }
                after_end += u64::from(milli >= ENDED_MS + 10_000);
            }
        }
    }
    let allowed = 1.5 * limit.per_second() * 4.0 + 5.0;
    let in_window = |i: usize| counted[i..].partition_point(|time| *time < counted[i] + 4000);
    let found = (0..counted.len()).map(in_window).max().unwrap_or(0);
    println!(
        "{found} requests in 4 s, allowed {allowed}; {} in all",
        counted.len()
    );
    assert!(
        f64::from(u32::try_from(found).expect("small")) <= allowed,
        "{found} requests in 4 s, allowed {allowed}"
    );
    assert!(
        after_end > fleet_size * 5,
        "{after_end} requests in 5 s, ten seconds after the limit ended"
    );
}

#[test]
fn the_limit_is_used() {
    // Guards against shares that add up to far less than the limit.
    let now = Instant::now();
    let names: Vec<u64> = (1..=12)
        .map(tarragonpulley_policy::entry::placement::mix)
        .collect();
    let mut sent = 0;
    for own in &names {
        let mut limit = ServerLimit::default();
        limit.record_response(Some(rate("5")), now);
        while limit.has_permit(SERVER, *own, &names, now) {
            limit.record_send(now);
            sent += 1;
        }
    }
    assert_eq!(Duration::from_secs(4).as_secs() * 5, sent);
}
