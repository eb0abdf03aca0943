//! Compares the ways to keep a limit over the fleet that section 5 of the
//! design lists, on the same requests, and prints one table.
//!
//! Twelve instances in three regions; one-way delays of 0.5 ms in a region and
//! 35 ms between regions. Callers stay with an instance for some seconds and
//! favour their region. One team sends five times its rate. In the runs with
//! an outage, the table is down from second 60 to 180 and an instance dies at
//! second 90.
//!
//! With `TEAMS` in the environment, each row is followed by the success and
//! the wrongful refusals of each team.

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
const RUN_TIME: Duration = Duration::from_mins(4);
const OUTAGE: (Duration, Duration) = (Duration::from_mins(1), Duration::from_mins(3));
const DEATH: Duration = Duration::from_secs(90);
const DEAD_INSTANCE: usize = 1;

type MakeCandidate = fn(Instant) -> CandidateDyn;

fn main() {
    let candidates: [(&str, MakeCandidate); 3] = [
        ("static split", split::make),
        ("owner with lease", lease::make),
        ("transferable shares", shares::make),
    ];
    println!(
        "{:<20} {:<7} {:>5} {:>9} {:>9} {:>9} {:>8} {:>8}",
        "candidate", "outage", "seed", "over", "wrongful", "worst", "wait", "messages"
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

/// Runs one candidate over the requests of one seed.
fn run(make: MakeCandidate, seed: u64, outage: bool) -> RunScore {
    let start = Instant::now();
    let mut candidate = make(start);
    let mut plan = RequestPlan::new(seed, outage.then_some((DEATH, DEAD_INSTANCE)));
    let mut score = RunScore::new(start, &TEAMS);
    let mut faults = Vec::new();
    if outage {
        faults.push((OUTAGE.1, None));
        faults.push((DEATH, Some(DEAD_INSTANCE)));
        faults.push((OUTAGE.0, None));
    }
    let mut table_up = true;
    while let Some(request) = plan.next(RUN_TIME) {
        let at = start + request.after;
        while let Some(event) = candidate.next_event().filter(|event| *event <= at) {
            candidate.run_event();
            score.note(event, candidate.take_verdicts());
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
        score.arrive(at, &request);
        candidate.arrive(at, &request);
        score.note(at, candidate.take_verdicts());
    }
    score.finish(candidate.messages(), RUN_TIME);
    score
}
