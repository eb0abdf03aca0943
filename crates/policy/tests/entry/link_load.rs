//! Lookups by the links of the instances. Guards against responses of hundreds of
//! kilobytes on slow links, each of which takes the target latency of its route and holds
//! up the short responses behind it.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tarragonpulley_policy::entry::digest::InstanceRecord;
use tarragonpulley_policy::entry::directory::MAX_INSTANCES;
use tarragonpulley_policy::entry::link_load::{LinkMeter, LinkRate, LinkReport, lookup_addresses};
use yare::parameterized;

fn record(index: u16) -> InstanceRecord {
    let address = SocketAddr::from(([127, 0, 0, 1], index + 1));
    InstanceRecord {
        name: format!("e{index}").parse().expect("a name"),
        start: 1,
        centre: "north-a".parse().expect("a name"),
        region: "north".parse().expect("a name"),
        front: address,
        peer: address,
    }
}

fn report(mbps: f64, used: u8) -> LinkReport {
    LinkReport {
        rate: LinkRate::from_mbps(mbps).expect("a rate"),
        used,
    }
}

/// How many instances a lookup names, of those with these links.
fn named(links: &[Option<LinkReport>], sample: f64) -> usize {
    let count = u16::try_from(links.len()).expect("few instances");
    let records: Vec<InstanceRecord> = (0..count).map(record).collect();
    let near: Vec<&InstanceRecord> = records.iter().collect();
    let link = |wanted: &InstanceRecord| {
        let index = records.iter().position(|record| record == wanted)?;
        links[index]
    };
    lookup_addresses(&near, link, sample).len()
}

#[parameterized(
    no_reports = { &[None, None, None], 3 },
    equal_links = { &[Some(report(10.0, 0)), Some(report(10.0, 0)), Some(report(10.0, 0))], 3 },
    two_fast = { &[Some(report(200.0, 0)), Some(report(200.0, 0)), Some(report(10.0, 0))], 2 },
    a_quarter_is_fast = { &[Some(report(40.0, 0)), Some(report(10.0, 0)), Some(report(9.0, 0))], 2 },
    one_fast_has_no_alternative = { &[Some(report(200.0, 0)), Some(report(10.0, 0)), None], 3 },
    no_report_counts_as_slow = { &[Some(report(200.0, 0)), Some(report(200.0, 0)), None], 2 },
    fast_links_half_used = { &[Some(report(200.0, 115)), Some(report(200.0, 115)), None], 3 },
    fast_links_used = { &[Some(report(200.0, 255)), Some(report(200.0, 255)), None], 3 },
    slow_links_used = { &[Some(report(200.0, 0)), Some(report(200.0, 0)), Some(report(10.0, 255))], 2 },
)]
fn lookups_name_the_instances_with_fast_links(links: &[Option<LinkReport>], expected: usize) {
    assert_eq!(named(links, 0.4), expected);
}

#[test]
fn a_lookup_names_a_limited_number_of_instances() {
    assert_eq!(named(&[None; 40], 0.0), MAX_INSTANCES);
}

#[parameterized(
    zero = { "0" },
    negative = { "-1" },
    infinite = { "inf" },
    not_a_number = { "NaN" },
    text = { "fast" },
)]
fn a_rate_must_be_positive(text: &str) {
    assert!(text.parse::<LinkRate>().is_err());
}

#[test]
fn the_use_of_a_link_is_measured_and_forgotten() {
    let start = Instant::now();
    let mut meter = LinkMeter::new(start);
    // 625 kB a second are half of 10 Mbit/s.
    for step in 0..100 {
        meter.record(62_500, start + Duration::from_millis(step * 100));
    }
    let rate = LinkRate::from_mbps(10.0).expect("a rate");
    let end = start + Duration::from_secs(10);
    let used = meter.report(rate, end).used_fraction();
    assert!((0.45..0.55).contains(&used), "{used}");
    let later = meter.report(rate, end + Duration::from_secs(10));
    assert!(later.used_fraction() < 0.02, "{later:?}");
}

/// One data centre of a deployment with downloads of 90 kB in the mean and 540 kB at most:
/// two instances with links of 200 Mbit/s and thirteen with 10 Mbit/s.
const LINKS: [f64; 15] = [
    200.0, 200.0, 10.0, 10.0, 10.0, 10.0, 10.0, 10.0, 10.0, 10.0, 10.0, 10.0, 10.0, 10.0, 10.0,
];

/// What the transfer through an instance may take of a target latency of 500 ms, of which
/// the server's work takes half.
const TRANSFER_LIMIT_MS: f64 = 100.0;

/// Plays 30 s of downloads and returns the fraction that passes through its instance
/// within [`TRANSFER_LIMIT_MS`]. A response is received whole and then sent, after those
/// before it. `alive` are the instances that run; lookups know it.
fn timely_fraction(per_second: f64, by_link: bool, alive: &[usize], seed: u64) -> f64 {
    let mut random = StdRng::seed_from_u64(seed);
    let start = Instant::now();
    let records: Vec<InstanceRecord> = (0..15).map(record).collect();
    let mut meters: Vec<LinkMeter> = LINKS.iter().map(|_| LinkMeter::new(start)).collect();
    let mut reports: Vec<Option<LinkReport>> = vec![None; LINKS.len()];
    let mut busy_until_ms = [0.0_f64; 15];
    let (mut downloads, mut timely, mut now_ms, mut reported_ms) = (0, 0, 0.0_f64, -1e9);
    while now_ms < 30_000.0 {
        now_ms += -random.random_range(1e-9_f64..1.0).ln() * 1000.0 / per_second;
        let now = start + Duration::from_secs_f64(now_ms / 1000.0);
        if by_link && now_ms > reported_ms + 500.0 {
            reported_ms = now_ms;
            for (index, meter) in meters.iter_mut().enumerate() {
                let rate = LinkRate::from_mbps(LINKS[index]).expect("a rate");
                reports[index] = Some(meter.report(rate, now));
            }
        }
        let near: Vec<&InstanceRecord> = alive.iter().map(|index| &records[*index]).collect();
        let link = |wanted: &InstanceRecord| {
            let index = records.iter().position(|record| record == wanted)?;
            reports[index]
        };
        let named = lookup_addresses(&near, link, random.random());
        let address = named[random.random_range(0..named.len())];
        let index = usize::from(address.port() - 1);
        let bytes = (90_000.0 * random.random_range(0.2..1.8_f64)).min(540_000.0);
        let one_way_ms = bytes * 8.0 / (LINKS[index] * 1000.0);
        let begins = busy_until_ms[index].max(now_ms);
        // The links carry both directions at once.
        busy_until_ms[index] = begins + one_way_ms;
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "small"
        )]
        meters[index].record(bytes as usize, now);
        downloads += 1;
        if begins + 2.0 * one_way_ms - now_ms <= TRANSFER_LIMIT_MS {
            timely += 1;
        }
    }
    f64::from(timely) / f64::from(downloads)
}

#[test]
fn downloads_pass_through_fast_links_in_time() {
    let all: Vec<usize> = (0..15).collect();
    for seed in 1..=3 {
        let before = timely_fraction(24.0, false, &all, seed);
        let after = timely_fraction(24.0, true, &all, seed);
        println!("seed {seed}: {before:.2} by chance, {after:.2} by link");
        assert!(before < 0.5, "{before}");
        assert!(after > 0.95, "{after}");
    }
}

/// Three times what the fast links carry: the slow ones take their part too.
#[test]
fn slow_links_help_when_the_fast_ones_are_full() {
    let all: Vec<usize> = (0..15).collect();
    let before = timely_fraction(1200.0, false, &all, 4);
    let after = timely_fraction(1200.0, true, &all, 4);
    println!("{before:.2} by chance, {after:.2} by link");
    assert!(after >= before, "{before} {after}");
}

#[test]
fn the_others_are_named_when_the_fast_ones_are_gone() {
    let slow: Vec<usize> = (2..15).collect();
    let before = timely_fraction(24.0, false, &slow, 5);
    let after = timely_fraction(24.0, true, &slow, 5);
    assert!((before - after).abs() < 0.05, "{before} {after}");
    let one_fast: Vec<usize> = (1..15).collect();
    assert!(timely_fraction(24.0, true, &one_fast, 6) > 0.0);
}
