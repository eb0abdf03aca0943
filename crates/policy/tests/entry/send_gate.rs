//! What servers ask for: single requests, two of them at a time, and random orders.

use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tarragonpulley_policy::entry::send_gate::{
    HoldReason, MAX_PAUSE, MAX_RETURN_SPREAD, PauseLength, SendDecision, SendGate, ShareLookup,
    return_delay,
};
use tarragonpulley_policy::entry::server_limit::ServerLimit;
use yare::parameterized;

use crate::at;

/// The shares of an instance at one server.
#[derive(Debug, Clone, Copy)]
struct FixedShares {
    has_limit_permit: bool,
    cold_allowance: Option<usize>,
}

/// Neither a limit nor a cold server restricts the instance.
const FREE: FixedShares = FixedShares {
    has_limit_permit: true,
    cold_allowance: None,
};

/// The server is cold, and this instance may send it one request.
const COLD: FixedShares = FixedShares {
    cold_allowance: Some(1),
    ..FREE
};

const COLD_RATE: SendDecision = SendDecision::Wait {
    until: None,
    reason: HoldReason::ColdRate,
};

impl ShareLookup for FixedShares {
    fn has_limit_permit(&self, _limit: &ServerLimit) -> bool {
        self.has_limit_permit
    }

    fn cold_allowance(&self) -> Option<usize> {
        self.cold_allowance
    }
}

fn pause(text: &str) -> PauseLength {
    text.parse().expect("the length of a pause")
}

#[parameterized(
    whole = { "2", Some(2000) },
    fraction = { "0.25", Some(250) },
    spaces = { " 1.5 ", Some(1500) },
    zero = { "0", Some(0) },
    huge = { "99999999999999999999", Some(86_400_000) },
    longer_than_any_float = { &"9".repeat(400), Some(86_400_000) },
    negative = { "-1", None },
    exponent = { "1e3", None },
    not_a_number = { "soon", None },
    infinite = { "inf", None },
    nan = { "NaN", None },
    empty = { "", None },
    only_a_point = { ".", None },
    two_values = { "1, 2", None },
    date = { "Wed, 21 Oct 2026 07:28:00 GMT", None },
)]
fn lengths_of_pauses_are_parsed(text: &str, expected_ms: Option<u64>) {
    let found = text.parse::<PauseLength>().ok().map(PauseLength::duration);
    assert_eq!(found, expected_ms.map(Duration::from_millis));
    assert!(found.is_none_or(|length| length <= MAX_PAUSE));
}

/// What happens at a time in milliseconds.
#[derive(Debug, Clone, Copy)]
enum Event {
    Leaving,
    /// A pause, with the delay of the return.
    Pause(u64, &'static str, u64),
    /// A limit that permits this instance nothing from now on.
    Limit(u64),
    Send(u64),
    Accepted(u64),
}

fn gate_after(events: &[Event], start: Instant) -> SendGate {
    let mut gate = SendGate::default();
    for event in events {
        match *event {
            Event::Leaving => {
                gate.record_leaving(start);
            }
            Event::Pause(time, length, delay) => {
                let delay = Duration::from_millis(delay);
                gate.record_pause(pause(length), delay, at(start, time));
            }
            Event::Limit(time) => {
                let rate = Some("1".parse().expect("a rate"));
                gate.limit_mut().record_response(rate, at(start, time));
            }
            Event::Send(time) => {
                assert!(gate.acquire(&FREE, at(start, time)).may_send(), "{event:?}");
            }
            Event::Accepted(time) => {
                gate.record_accepted(at(start, time));
            }
        }
    }
    gate
}

/// The decision for the next request: `Ok` to send, else why not and until when.
#[parameterized(
    nothing = { &[], FREE, 0, Ok(()) },
    leaving = { &[Event::Leaving], FREE, 3_600_000, Err((HoldReason::Leaving, None)) },
    paused = { &[Event::Pause(0, "2", 0)], FREE, 1999, Err((HoldReason::Paused, Some(2000))) },
    pause_is_over = { &[Event::Pause(0, "2", 0)], FREE, 2000, Ok(()) },
    zero_is_no_pause = { &[Event::Pause(0, "0", 500)], FREE, 0, Ok(()) },
    a_longer_pause_counts = { &[Event::Pause(0, "1", 0), Event::Pause(500, "3", 0)], FREE, 1500, Err((HoldReason::Paused, Some(3500))) },
    a_shorter_pause_does_not = { &[Event::Pause(0, "3", 0), Event::Pause(500, "1", 0)], FREE, 1600, Err((HoldReason::Paused, Some(3000))) },
    returns_after_the_delay = { &[Event::Pause(0, "1", 400)], FREE, 1100, Err((HoldReason::Returning, Some(1400))) },
    returned_delay_is_over = { &[Event::Pause(0, "1", 400)], FREE, 1400, Ok(()) },
    one_request_first = { &[Event::Pause(0, "1", 0), Event::Send(1100)], FREE, 1200, Err((HoldReason::Returning, Some(2100))) },
    another_without_a_response = { &[Event::Pause(0, "1", 0), Event::Send(1100)], FREE, 2100, Ok(()) },
    two_after_a_response = { &[Event::Pause(0, "1", 0), Event::Send(1100), Event::Accepted(1200), Event::Send(1300), Event::Send(1300)], FREE, 1300, Err((HoldReason::Returning, Some(2300))) },
    all_after_some_responses = { &[Event::Pause(0, "1", 0), Event::Send(1100), Event::Accepted(1200), Event::Accepted(1200), Event::Accepted(1200), Event::Accepted(1200)], FREE, 1300, Ok(()) },
    a_response_from_before_the_pause = { &[Event::Send(0), Event::Pause(10, "1", 0), Event::Accepted(500), Event::Send(1100)], FREE, 1200, Err((HoldReason::Returning, Some(2100))) },
    paused_again_on_return = { &[Event::Pause(0, "1", 0), Event::Send(1100), Event::Pause(1150, "2", 0)], FREE, 1200, Err((HoldReason::Paused, Some(3150))) },
    frozen_over_the_end_of_the_pause = { &[Event::Pause(0, "1", 400), Event::Send(60_000)], FREE, 60_000, Err((HoldReason::Returning, Some(61_000))) },
    limit = { &[Event::Limit(0)], FixedShares { has_limit_permit: false, ..FREE }, 100, Err((HoldReason::ServerLimit, None)) },
    pause_before_limit = { &[Event::Limit(0), Event::Pause(0, "1", 0)], FixedShares { has_limit_permit: false, ..FREE }, 100, Err((HoldReason::Paused, Some(1000))) },
    limit_after_pause = { &[Event::Limit(0), Event::Pause(0, "1", 0)], FixedShares { has_limit_permit: false, ..FREE }, 1100, Err((HoldReason::ServerLimit, None)) },
    leaving_before_pause = { &[Event::Pause(0, "1", 0), Event::Leaving], FREE, 5000, Err((HoldReason::Leaving, None)) },
    cold = { &[], FixedShares { cold_allowance: Some(0), ..FREE }, 0, Err((HoldReason::ColdRate, None)) },
    cold_with_room = { &[], FixedShares { cold_allowance: Some(1), ..FREE }, 0, Ok(()) },
    pause_before_cold = { &[Event::Pause(0, "1", 0)], FixedShares { cold_allowance: Some(0), ..FREE }, 0, Err((HoldReason::Paused, Some(1000))) },
)]
fn requests_are_held_as_servers_ask(
    events: &[Event],
    shares: FixedShares,
    now: u64,
    expected: Result<(), (HoldReason, Option<u64>)>,
) {
    let start = Instant::now();
    let decision = gate_after(events, start).decide(&shares, at(start, now));
    let found = decision.hold().map_or(Ok(()), Err);
    let expected =
        expected.map_err(|(reason, until)| (reason, until.map(|until| at(start, until))));
    assert_eq!(found, expected);
}

/// Guards against a request that was placed before a response asked for something, and is
/// sent after it over a connection that took long to open.
#[parameterized(
    nothing = { &[], FREE, 100, SendDecision::Send },
    leaving = { &[Event::Leaving], FREE, 100, SendDecision::Never },
    returning = { &[Event::Pause(0, "1", 400)], FREE, 1100, SendDecision::Send },
    cold = { &[Event::Send(0), Event::Send(50)], COLD, 100, COLD_RATE },
    cold_with_room = { &[Event::Send(0)], COLD, 100, SendDecision::Send },
    cold_later = { &[Event::Send(0), Event::Send(50)], COLD, 1600, SendDecision::Send },
)]
fn acquired_requests_are_checked_again(
    events: &[Event],
    shares: FixedShares,
    now: u64,
    expected: SendDecision,
) {
    let start = Instant::now();
    let gate = gate_after(events, start);
    assert_eq!(gate.decide_acquired(&shares, at(start, now)), expected);
}

/// Guards against one second with the rate of a cold server and the requests that were
/// sent before it was known to be cold.
#[parameterized(
    cold_again = { false },
    started_again = { true },
)]
fn requests_sent_before_a_server_is_known_to_be_cold_count(has_restarted: bool) {
    let start = Instant::now();
    let mut gate = SendGate::default();
    assert!(gate.acquire(&FREE, start).may_send());
    if has_restarted {
        gate = gate.after_restart(None);
    }
    let held = gate.acquire(&COLD, at(start, 500)).hold();
    assert_eq!(held, Some((HoldReason::ColdRate, None)));
    assert!(gate.acquire(&COLD, at(start, 1600)).may_send());
}

/// Guards against requests that a server has excluded after it started again, before its
/// new entry was read; and against what the earlier process asked for.
#[parameterized(
    pause_of_the_earlier_process = { &[Event::Pause(100, "5", 0)], Some(500), None },
    pause_of_the_new_process = { &[Event::Pause(600, "5", 0)], Some(500), Some(HoldReason::Paused) },
    pause_without_evidence = { &[Event::Pause(600, "5", 0)], None, None },
    leaving_of_the_earlier_process = { &[Event::Leaving, Event::Pause(600, "5", 0)], Some(500), Some(HoldReason::Paused) },
    limit_of_the_earlier_process = { &[Event::Limit(100)], Some(500), None },
    limit_of_the_new_process = { &[Event::Limit(600)], Some(500), Some(HoldReason::ServerLimit) },
)]
fn what_the_new_process_asked_for_holds_after_a_restart(
    events: &[Event],
    running_since: Option<u64>,
    expected: Option<HoldReason>,
) {
    let start = Instant::now();
    let gate = gate_after(events, start);
    let running_since = running_since.map(|since| at(start, since));
    let shares = FixedShares {
        has_limit_permit: false,
        ..FREE
    };
    let decision = gate
        .after_restart(running_since)
        .decide(&shares, at(start, 700));
    assert_eq!(decision.hold().map(|(reason, _)| reason), expected);
}

/// Guards against requests in what a server has excluded, whatever the order of its
/// responses, requests and reports.
#[test]
fn random_orders_keep_what_servers_ask_for() {
    const STEPS: usize = 400;
    for seed in 0..500 {
        let mut random = StdRng::seed_from_u64(seed);
        let start = Instant::now();
        let mut gate = SendGate::default();
        let mut paused_until: Option<u64> = None;
        let mut is_leaving = false;
        let mut now = 0_u64;
        for _ in 0..STEPS {
            now += random.random_range(0..80);
            let time = at(start, now);
            match random.random_range(0..100) {
                0 if random.random_bool(0.1) => {
                    gate.record_leaving(time);
                    is_leaving = true;
                }
                1..6 => {
                    let millis = random.random_range(0..3000);
                    let delay = Duration::from_millis(random.random_range(0..1000));
                    let length = format!("{}.{:03}", millis / 1000, millis % 1000);
                    gate.record_pause(pause(&length), delay, time);
                    paused_until = paused_until.max(Some(now + millis));
                }
                6..10 => {
                    let rate = random
                        .random_bool(0.5)
                        .then(|| "3".parse().expect("a rate"));
                    gate.limit_mut().record_response(rate, time);
                }
                10..40 => {
                    gate.record_accepted(time);
                }
                _ => {
                    let shares = FixedShares {
                        has_limit_permit: random.random_bool(0.5),
                        cold_allowance: random.random_bool(0.2).then(|| random.random_range(0..3)),
                    };
                    let decided = gate.decide(&shares, time);
                    let acquired = gate.acquire(&shares, time);
                    assert_eq!(decided, acquired, "seed {seed} at {now} ms");
                    let is_free = !is_leaving && paused_until.is_none_or(|until| until <= now);
                    let is_sent =
                        acquired.may_send() || gate.decide_acquired(&FREE, time).may_send();
                    assert!(is_free || !is_sent, "seed {seed} at {now} ms: {gate:?}");
                }
            }
        }
    }
}

/// Guards against a server that is overrun in the moment in which its pause ends.
#[test]
fn many_instances_return_to_a_server_one_after_the_other() {
    const INSTANCES: usize = 100;
    const SLOTS: u32 = 5;
    const WORK: Duration = Duration::from_millis(500);
    let start = Instant::now();
    let mut fleet: Vec<(SendGate, Vec<Instant>)> = (0..INSTANCES as u64)
        .map(|own| {
            let mut gate = SendGate::default();
            let delay = return_delay(7, own * 0x9e37_79b9, INSTANCES, SLOTS);
            assert!(delay <= MAX_RETURN_SPREAD);
            gate.record_pause(pause("1"), delay, start);
            (gate, Vec::new())
        })
        .collect();
    let mut sent = Vec::new();
    for millis in (0..8000).step_by(10) {
        let now = at(start, millis);
        for (gate, running) in &mut fleet {
            // Each instance has a request for the server at any time.
            if gate.acquire(&FREE, now).may_send() {
                running.push(now);
                sent.push(millis);
            }
            let done = running.iter().filter(|begun| **begun + WORK <= now).count();
            for _ in 0..done {
                running.remove(0);
                gate.record_accepted(now);
            }
        }
    }
    let in_second = |from: u64| {
        sent.iter()
            .filter(|at| (from..from + 1000).contains(*at))
            .count()
    };
    assert_eq!(in_second(0), 0, "in the pause");
    let first = in_second(1000);
    assert!(first > 0, "the server is used again");
    // A fifth of the instances, each with the first request and two after its response.
    let bound = 3 * INSTANCES / 5 + 10;
    assert!(
        first <= bound,
        "{first} requests in the first second, {bound} expected at most"
    );
    for (gate, _) in &fleet {
        let end = at(start, 8000);
        assert!(
            gate.decide(&FREE, end).may_send(),
            "all have returned: {gate:?}"
        );
    }
}
