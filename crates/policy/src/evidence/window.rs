//! Counters of one route of one version over a sliding window.
//!
//! The window is made of slots of one second. A request of the new version is
//! compared with requests of the old one in the same second, when there are
//! enough, and else with the seconds before it: a longer window mixes the load
//! before and after a surge, and a good version then looks slow.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Slots in a window.
const WINDOW_SLOTS: u64 = 20;
/// Requests that make a latency baseline precise enough; with 40, the rank of
/// the 90th percentile has a standard error of 5 %.
const ENOUGH_REQUESTS: u64 = 40;
/// A baseline whose newest request is older than this many slots is kept from
/// an earlier time: one short sample would otherwise judge many requests.
const MAX_LAG_SLOTS: u64 = 2;
/// Fewer requests give no latency baseline.
const MIN_REQUESTS: u64 = 20;
/// Latency buckets for each doubling; a bucket is 19 % wide.
const BUCKETS_PER_DOUBLING: f64 = 4.0;
/// A request counts as slow above the 90th percentile ...
const SLOW_PERCENTILE: f64 = 0.90;
/// ... plus two buckets (a factor of 1.4), so that equal versions rarely
/// differ in slow requests by chance.
const SLOW_MARGIN: u16 = 2;
/// Margin against a baseline of an earlier time: a factor of four, since the
/// load may have changed since.
const KEPT_MARGIN: u16 = 8;

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

/// `part / whole` for the counts of a window.
pub(super) fn ratio(part: u64, whole: u64) -> f64 {
    #[expect(clippy::cast_precision_loss, reason = "counts stay below 2^52")]
    let share = part as f64 / whole.max(1) as f64;
    share
}

#[derive(Debug, Clone, Default)]
struct SlotCounts {
    slot: u64,
    requests: u64,
    failures: u64,
    /// Requests that succeeded, by latency bucket.
    latencies: BTreeMap<u16, u64>,
}

/// What requests of a route count as slow, and how many of the old version are.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct LatencyBaseline {
    /// Requests in a bucket above this one are slow.
    slow_above: u16,
    /// The old version's own share of slow requests.
    pub(super) slow_share: f64,
    percentile: u16,
}

impl LatencyBaseline {
    pub(super) fn is_slow(&self, latency: Duration) -> bool {
        latency_bucket(latency) > self.slow_above
    }

    /// This baseline for use at a later time.
    fn kept(&self) -> Self {
        Self {
            slow_above: self.percentile + KEPT_MARGIN,
            ..self.clone()
        }
    }

    fn of(latencies: &BTreeMap<u16, u64>, total: u64) -> Self {
        let percentile = percentile_bucket(latencies, total);
        let slow_above = percentile + SLOW_MARGIN;
        let slow: u64 = latencies.range(slow_above + 1..).map(|(_, n)| n).sum();
        Self {
            slow_above,
            slow_share: ratio(slow, total),
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

/// Counters of a route of a version.
#[derive(Debug, Clone, Default)]
pub(super) struct RouteWindow {
    /// Oldest first.
    slots: VecDeque<SlotCounts>,
    requests: u64,
    failures: u64,
    /// The last latency baseline, for the time when the version gets no requests.
    kept: Option<LatencyBaseline>,
}

impl RouteWindow {
    pub(super) fn note(&mut self, failed: bool, latency: Duration, slot: u64) {
        if self.slots.back().is_none_or(|last| last.slot < slot) {
            self.begin(slot);
        }
        self.requests += 1;
        self.failures += u64::from(failed);
        if let Some(counts) = self.slots.back_mut() {
            counts.requests += 1;
            counts.failures += u64::from(failed);
            if !failed {
                *counts.latencies.entry(latency_bucket(latency)).or_default() += 1;
            }
        }
    }

    fn begin(&mut self, slot: u64) {
        if let Some(last) = self.slots.back().map(|s| s.slot)
            && let Some(baseline) = self.measure(last)
        {
            self.kept = Some(baseline.kept());
        }
        self.slots.push_back(SlotCounts {
            slot,
            ..SlotCounts::default()
        });
        while let Some(oldest) = self.slots.pop_front_if(|s| s.slot + WINDOW_SLOTS <= slot) {
            self.requests -= oldest.requests;
            self.failures -= oldest.failures;
        }
    }

    /// Failures and requests in the window.
    pub(super) const fn failures(&self) -> (u64, u64) {
        (self.failures, self.requests)
    }

    /// The latency baseline for requests of `slot`, or the last one there was.
    pub(super) fn latency(&self, slot: u64) -> Option<LatencyBaseline> {
        self.measure(slot).or_else(|| self.kept.clone())
    }

    /// The last baseline, for use after the version's requests have changed.
    pub(super) fn latency_before(&self) -> Option<LatencyBaseline> {
        let last = self.slots.back().map(|s| s.slot)?;
        self.latency(last).map(|baseline| baseline.kept())
    }

    fn measure(&self, slot: u64) -> Option<LatencyBaseline> {
        let mut latencies: BTreeMap<u16, u64> = BTreeMap::new();
        let mut total = 0;
        let mut recent = self
            .slots
            .iter()
            .rev()
            .skip_while(|s| s.slot > slot)
            .peekable();
        if recent.peek().is_none_or(|s| s.slot + MAX_LAG_SLOTS < slot) {
            return None;
        }
        for counts in recent.take_while(|s| s.slot + WINDOW_SLOTS > slot) {
            for (bucket, count) in &counts.latencies {
                *latencies.entry(*bucket).or_default() += count;
                total += count;
            }
            if total >= ENOUGH_REQUESTS {
                break;
            }
        }
        (total >= MIN_REQUESTS).then(|| LatencyBaseline::of(&latencies, total))
    }
}
