//! Counters of one route of one version over a sliding window.
//!
//! The window consists of seconds. A request on the new version is compared with
//! requests on the old one in the same second, and with as many preceding
//! seconds as are needed for a precise baseline. A longer window would mix the
//! load before and after a surge, which makes a good version look slow.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Length of the window.
const WINDOW_SECONDS: u64 = 20;
/// Requests after which no earlier seconds are added to a latency baseline. With
/// 40 requests, the rank of the 90th percentile has a standard error of 5 %.
const SUFFICIENT_REQUESTS: u64 = 40;
/// Maximum age of the newest second in a baseline. With older data the retained
/// baseline is used instead, because otherwise one small sample would decide
/// about many requests.
const MAX_LAG_SECONDS: u64 = 2;
/// Minimum number of requests for a latency baseline.
const MIN_BASELINE_REQUESTS: u64 = 20;
/// Latency buckets per doubling of the latency; a bucket is 19 % wide.
const BUCKETS_PER_DOUBLING: f64 = 4.0;
/// A request counts as slow if its latency exceeds this percentile ...
const SLOW_PERCENTILE: f64 = 0.90;
/// ... by more than two buckets (a factor of 1.4), so that equal versions rarely
/// differ in slow requests by chance.
const FRESH_MARGIN: u16 = 2;
/// Margin, in buckets, over a baseline of an earlier time: a factor of four,
/// because the load may have changed since.
const STALE_MARGIN: u16 = 8;

fn latency_bucket(latency: Duration) -> u16 {
    let micros = latency.as_secs_f64() * 1e6;
    let bucket = (micros.max(1.0).log2() * BUCKETS_PER_DOUBLING).floor();
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the value is between 0 and 400"
    )]
    let bucket = bucket.min(400.0) as u16;
    bucket
}

/// Returns `part / whole`. A `whole` of zero counts as one.
pub(super) fn ratio(part: u64, whole: u64) -> f64 {
    #[expect(clippy::cast_precision_loss, reason = "counts stay below 2^52")]
    let fraction = part as f64 / whole.max(1) as f64;
    fraction
}

#[derive(Debug, Clone, Default)]
struct SecondCounts {
    second: u64,
    requests: u64,
    failures: u64,
    /// Successful requests by latency bucket.
    latencies: BTreeMap<u16, u64>,
}

/// Defines which requests of a route are slow, with the fraction of slow requests
/// of the old version.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct LatencyBaseline {
    /// Requests in a bucket above this one are slow.
    slow_above: u16,
    /// Fraction of the old version's own requests that are slow.
    pub(super) slow_fraction: f64,
    percentile: u16,
}

impl LatencyBaseline {
    pub(super) fn is_slow(&self, latency: Duration) -> bool {
        latency_bucket(latency) > self.slow_above
    }

    /// This baseline with the margin for use at a later time.
    fn retained(&self) -> Self {
        Self {
            slow_above: self.percentile + STALE_MARGIN,
            ..self.clone()
        }
    }

    fn of(latencies: &BTreeMap<u16, u64>, total: u64) -> Self {
        let percentile = percentile_bucket(latencies, total);
        let slow_above = percentile + FRESH_MARGIN;
        let slow: u64 = latencies.range(slow_above + 1..).map(|(_, n)| n).sum();
        Self {
            slow_above,
            slow_fraction: ratio(slow, total),
            percentile,
        }
    }
}

fn percentile_bucket(latencies: &BTreeMap<u16, u64>, total: u64) -> u16 {
    let mut below = 0;
    for (bucket, count) in latencies {
        below += count;
        if ratio(below, total) >= SLOW_PERCENTILE {
            return *bucket;
        }
    }
    latencies.keys().next_back().copied().unwrap_or_default()
}

/// Counters of one route of one version over the window.
#[derive(Debug, Clone, Default)]
pub(super) struct RouteWindow {
    /// Seconds with requests, oldest first.
    seconds: VecDeque<SecondCounts>,
    requests: u64,
    failures: u64,
    /// The last latency baseline, used while the version gets too few requests
    /// for a new one.
    retained: Option<LatencyBaseline>,
}

impl RouteWindow {
    pub(super) fn record(&mut self, failed: bool, latency: Duration, second: u64) {
        if self.seconds.back().is_none_or(|last| last.second < second) {
            self.begin_second(second);
        }
        self.requests += 1;
        self.failures += u64::from(failed);
        if let Some(counts) = self.seconds.back_mut() {
            counts.requests += 1;
            counts.failures += u64::from(failed);
            if !failed {
                *counts.latencies.entry(latency_bucket(latency)).or_default() += 1;
            }
        }
    }

    fn begin_second(&mut self, second: u64) {
        if let Some(last) = self.seconds.back().map(|s| s.second)
            && let Some(baseline) = self.baseline_at(last)
        {
            self.retained = Some(baseline.retained());
        }
        self.seconds.push_back(SecondCounts {
            second,
            ..SecondCounts::default()
        });
        while let Some(oldest) = self
            .seconds
            .pop_front_if(|s| s.second + WINDOW_SECONDS <= second)
        {
            self.requests -= oldest.requests;
            self.failures -= oldest.failures;
        }
    }

    /// The failures and the requests in the window.
    pub(super) const fn failures(&self) -> (u64, u64) {
        (self.failures, self.requests)
    }

    /// The latency baseline for requests of `second`, or else the retained one.
    pub(super) fn latency(&self, second: u64) -> Option<LatencyBaseline> {
        self.baseline_at(second).or_else(|| self.retained.clone())
    }

    /// The last latency baseline, with the margin for use at a later time.
    pub(super) fn latency_before(&self) -> Option<LatencyBaseline> {
        let last = self.seconds.back().map(|s| s.second)?;
        self.latency(last).map(|baseline| baseline.retained())
    }

    fn baseline_at(&self, second: u64) -> Option<LatencyBaseline> {
        let mut latencies: BTreeMap<u16, u64> = BTreeMap::new();
        let mut total = 0;
        let mut recent = self
            .seconds
            .iter()
            .rev()
            .skip_while(|s| s.second > second)
            .peekable();
        if recent
            .peek()
            .is_none_or(|s| s.second + MAX_LAG_SECONDS < second)
        {
            return None;
        }
        for counts in recent.take_while(|s| s.second + WINDOW_SECONDS > second) {
            for (bucket, count) in &counts.latencies {
                *latencies.entry(*bucket).or_default() += count;
                total += count;
            }
            if total >= SUFFICIENT_REQUESTS {
                break;
            }
        }
        (total >= MIN_BASELINE_REQUESTS).then(|| LatencyBaseline::of(&latencies, total))
    }
}
