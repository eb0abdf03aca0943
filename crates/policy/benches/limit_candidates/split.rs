//! A fixed equal part of each limit at every instance.

use std::time::Instant;

use crate::score::CentralBucket;
use crate::workload::{CandidateDyn, INSTANCES, LimitCandidate, TEAMS, TeamRequest, Verdict};

/// Fractions of a token are counted by scaling all figures up.
const SCALE: u32 = 12;

struct StaticSplit {
    /// Buckets by instance and team; a request costs [`SCALE`] tokens.
    buckets: Vec<Vec<CentralBucket>>,
    verdicts: Vec<Verdict>,
}

pub(crate) fn make(now: Instant) -> CandidateDyn {
    let bucket = |t: &crate::workload::TeamLoad| {
        let part = SCALE / u32::try_from(INSTANCES).unwrap_or(SCALE);
        CentralBucket::new(t.rate * part, t.burst * part, true, now)
    };
    let buckets = vec![TEAMS.iter().map(bucket).collect(); INSTANCES];
    Box::new(StaticSplit {
        buckets,
        verdicts: Vec::new(),
    })
}

impl LimitCandidate for StaticSplit {
    fn arrive(&mut self, now: Instant, request: &TeamRequest) {
        let bucket = &mut self.buckets[request.instance][request.team];
        self.verdicts.push(Verdict {
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

    fn take_verdicts(&mut self) -> Vec<Verdict> {
        std::mem::take(&mut self.verdicts)
    }

    fn messages(&self) -> u64 {
        0
    }
}
