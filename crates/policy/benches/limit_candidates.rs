//! Compares the algorithms for fleet-wide limits that section 5 of the design
//! document lists, on the same requests, and prints one table.
//!
//! The simulated fleet has twelve instances in three regions. The one-way delay
//! is 0.5 ms within a region and 35 ms between regions. Callers use an instance
//! for some seconds and prefer those of their region. One team sends five times
//! its rate. In the runs with an outage, the table is unavailable from second
//! 60 to 180, and an instance crashes at second 90.
//!
//! If the environment variable `TEAMS` is set, each row is followed by the
//! success ratio and the false rejections of each team. A false rejection is
//! that of a request which a central token bucket would admit.

#[path = "limit_candidates/lease.rs"]
mod lease;
#[path = "limit_candidates/score.rs"]
mod score;
#[path = "limit_candidates/shares.rs"]
mod shares;
#[path = "limit_candidates/split.rs"]
mod split;
#[path = "limit_candidates/workload.rs"]
mod workload;

use std::time::{Duration, Instant};

use score::RunScore;
use workload::{CandidateDyn, RequestPlan, TEAMS};

const SEEDS: [u64; 2] = [11, 12];
const RUN_DURATION: Duration = Duration::from_mins(4);
const TABLE_OUTAGE: (Duration, Duration) = (Duration::from_mins(1), Duration::from_mins(3));
const CRASH_TIME: Duration = Duration::from_secs(90);
const CRASHED_INSTANCE: usize = 1;

type MakeCandidate = fn(Instant) -> CandidateDyn;

fn main() {
    let candidates: [(&str, MakeCandidate); 3] = [
        ("static split", split::make),
        ("owner with lease", lease::make),
        ("transferable shares", shares::make),
    ];
    println!(
        "{:<20} {:<7} {:>5} {:>9} {:>9} {:>9} {:>8} {:>8}",
        "candidate", "outage", "seed", "over", "rejected", "worst", "wait", "messages"
    );
    println!(
        "{:<20} {:<7} {:>5} {:>9} {:>9} {:>9} {:>8} {:>8}",
        "", "", "", "requests", "%", "%", "ms", "per s"
    );
    for outage in [false, true] {
        for (name, make) in candidates {
            for seed in SEEDS {
                let score = run(make, seed, outage);
                println!(
                    "{name:<20} {:<7} {seed:>5} {}",
                    if outage { "120 s" } else { "none" },
                    score.row()
                );
                if std::env::var_os("TEAMS").is_some() {
                    println!("{}", score.by_team());
                }
            }
        }
    }
}

/// Runs one candidate on the requests of one seed.
fn run(make: MakeCandidate, seed: u64, outage: bool) -> RunScore {
    let start = Instant::now();
    let mut candidate = make(start);
    let mut plan = RequestPlan::new(seed, outage.then_some((CRASH_TIME, CRASHED_INSTANCE)));
    let mut score = RunScore::new(start, &TEAMS);
    let mut faults = Vec::new();
    if outage {
        faults.push((TABLE_OUTAGE.1, None));
        faults.push((CRASH_TIME, Some(CRASHED_INSTANCE)));
        faults.push((TABLE_OUTAGE.0, None));
    }
    let mut table_up = true;
    while let Some(request) = plan.next(RUN_DURATION) {
        let at = start + request.after;
        while let Some(event) = candidate.next_event().filter(|event| *event <= at) {
            candidate.run_event();
            score.record_decisions(event, candidate.take_decisions());
        }
        while faults
            .last()
            .is_some_and(|(after, _)| *after <= request.after)
        {
            if let Some((_, Some(instance))) = faults.pop() {
                candidate.kill(at, instance);
            } else {
                table_up = !table_up;
                candidate.set_table(at, table_up);
            }
        }
        score.record_arrival(at, &request);
        candidate.arrive(at, &request);
        score.record_decisions(at, candidate.take_decisions());
    }
    score.finish(candidate.messages(), RUN_DURATION);
    score
}
