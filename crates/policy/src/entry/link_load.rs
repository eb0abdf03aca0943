//! Lookups by the links of the instances, for routes with large responses.
//!
//! Designed for callers that download responses of hundreds of kilobytes through
//! instances whose links differ by a factor of ten or more: on a slow link one such
//! response takes as long as its target latency allows, twice, and the short responses
//! behind it wait. Lookups name the instances with fast links, as long as these have
//! room, and the others in addition the more the fast ones are used.

use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use super::digest::InstanceRecord;
use super::directory::{MAX_INSTANCES, MIN_INSTANCES};

/// Time constant of the average use of a link.
pub const USE_WINDOW: Duration = Duration::from_secs(2);

/// A link counts as fast if it has at least this part of the fastest one's rate.
pub const FAST_LINK_FRACTION: f64 = 0.25;

/// The use of the fast links, as a fraction of their rate, from which on lookups name
/// the other instances too.
pub const SPILL_START: f64 = 0.3;

/// The use of the fast links at which all lookups name the other instances too.
pub const SPILL_END: f64 = 0.6;

/// The rate of a link in megabits per second.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct LinkRate(f32);

/// The text is not a positive number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("a link rate must be a positive number of megabits per second")]
pub struct LinkRateError;

impl LinkRate {
    /// A rate in megabits per second, which must be positive and finite.
    ///
    /// # Errors
    ///
    /// If it is not.
    #[expect(clippy::cast_possible_truncation, reason = "rates need few digits")]
    pub fn from_mbps(mbps: f64) -> Result<Self, LinkRateError> {
        let rate = mbps as f32;
        if rate.is_finite() && rate > 0.0 {
            Ok(Self(rate))
        } else {
            Err(LinkRateError)
        }
    }

    /// The rate in megabits per second.
    #[must_use]
    pub fn mbps(self) -> f64 {
        f64::from(self.0)
    }
}

impl fmt::Display for LinkRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl FromStr for LinkRate {
    type Err = LinkRateError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse()
            .map_err(|_invalid| LinkRateError)
            .and_then(Self::from_mbps)
    }
}

/// What an instance tells the others of its link.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct LinkReport {
    /// The rate of the link.
    pub rate: LinkRate,
    /// How much of the rate is used, from 0 for nothing to 255 for all.
    pub used: u8,
}

impl LinkReport {
    /// The part of the rate that is used, 0 to 1.
    #[must_use]
    pub fn used_fraction(self) -> f64 {
        f64::from(self.used) / f64::from(u8::MAX)
    }
}

/// Measures the bytes of messages that pass through an instance.
#[derive(Debug)]
pub struct LinkMeter {
    bytes_per_s: f64,
    updated: Instant,
}

impl LinkMeter {
    /// Creates a meter of an unused link.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            bytes_per_s: 0.0,
            updated: now,
        }
    }

    fn decay(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.updated).as_secs_f64();
        self.bytes_per_s *= (-elapsed / USE_WINDOW.as_secs_f64()).exp();
        self.updated = now;
    }

    /// Records a message that was passed on.
    pub fn record(&mut self, bytes: usize, now: Instant) {
        self.decay(now);
        let bytes = f64::from(u32::try_from(bytes).unwrap_or(u32::MAX));
        self.bytes_per_s += bytes / USE_WINDOW.as_secs_f64();
    }

    /// The report on a link of this rate.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "clamped to the range"
    )]
    pub fn report(&mut self, rate: LinkRate, now: Instant) -> LinkReport {
        self.decay(now);
        let used = self.bytes_per_s * 8.0 / (rate.mbps() * 1e6);
        let used = (used.clamp(0.0, 1.0) * f64::from(u8::MAX)).round() as u8;
        LinkReport { rate, used }
    }
}

/// The addresses for a lookup among instances that are equally near. `link` returns the
/// report of an instance; without it, its link counts as slow. `sample` is a random number
/// from 0 to 1.
pub fn lookup_addresses<'a>(
    near: &[&'a InstanceRecord],
    link: impl Fn(&'a InstanceRecord) -> Option<LinkReport>,
    sample: f64,
) -> Vec<SocketAddr> {
    let reports: Vec<Option<LinkReport>> = near.iter().map(|record| link(record)).collect();
    let rate = |report: &Option<LinkReport>| report.map_or(0.0, |report| report.rate.mbps());
    let fastest = reports.iter().map(rate).fold(0.0, f64::max);
    let is_fast =
        |report: &Option<LinkReport>| fastest > 0.0 && rate(report) >= fastest * FAST_LINK_FRACTION;
    let fast: Vec<LinkReport> = reports
        .iter()
        .filter(|r| is_fast(r))
        .copied()
        .flatten()
        .collect();
    let names_all = fast.len() < MIN_INSTANCES || sample < spill_fraction(&fast);
    near.iter()
        .zip(&reports)
        .filter(|(_, report)| names_all || is_fast(report))
        .map(|(record, _)| record.front)
        .take(MAX_INSTANCES)
        .collect()
}

/// The part of the lookups that name all instances, by the use of the fast links.
fn spill_fraction(fast: &[LinkReport]) -> f64 {
    let (used, total) = fast.iter().fold((0.0, 0.0), |(used, total), report| {
        let rate = report.rate.mbps();
        (used + rate * report.used_fraction(), total + rate)
    });
    if total <= 0.0 {
        return 1.0;
    }
    ((used / total - SPILL_START) / (SPILL_END - SPILL_START)).clamp(0.0, 1.0)
}
