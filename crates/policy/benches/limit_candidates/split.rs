//! Candidate with a fixed, equal share of each limit at every instance.

use std::time::Instant;

use crate::score::CentralBucket;
use crate::workload::{CandidateDyn, Decision, INSTANCES, LimitCandidate, TEAMS, TeamRequest};

/// Rates, bursts and costs are multiplied by this factor, to count fractions of
/// a token as integers.
const SCALE: u32 = 12;

struct StaticSplit {
    /// Buckets by instance and team; a request costs [`SCALE`] tokens.
    buckets: Vec<Vec<CentralBucket>>,
    decisions: Vec<Decision>,
}

pub(crate) fn make(now: Instant) -> CandidateDyn {
    let bucket = |t: &crate::workload::TeamLoad| {
        let part = SCALE / u32::try_from(INSTANCES).unwrap_or(SCALE);
        CentralBucket::new(t.rate * part, t.burst * part, true, now)
    };
    let buckets = vec![TEAMS.iter().map(bucket).collect(); INSTANCES];
    Box::new(StaticSplit {
        buckets,
        decisions: Vec::new(),
    })
}

impl LimitCandidate for StaticSplit {
    fn arrive(&mut self, now: Instant, request: &TeamRequest) {
        let bucket = &mut self.buckets[request.instance][request.team];
        self.decisions.push(Decision {
            id: request.id,
            admitted: bucket.spend_many(now, SCALE),
        });
    }

    fn next_event(&self) -> Option<Instant> {
        None
    }

    fn run_event(&mut self) {}

    fn kill(&mut self, _now: Instant, _instance: usize) {}

    fn set_table(&mut self, _now: Instant, _up: bool) {}

    fn take_decisions(&mut self) -> Vec<Decision> {
        std::mem::take(&mut self.decisions)
    }

    fn messages(&self) -> u64 {
        0
    }
}
