//! The rate limit that an overloaded backend server states in its responses.
//!
//! The limit applies to all instances together, from the response that states it until
//! a response that does not. Instances report in their digests what responses stated, and
//! divide the requests that the limit permits by rendezvous hashing. An instance without
//! a share learns from the others' reports that the limit has ended.

use std::fmt;
use std::str::FromStr;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use super::digest::ServerTag;
use super::share::{SendHistory, instance_share};

/// The sliding window in which the requests to a server are counted. The platform
/// counts in windows of the same length.
pub const LIMIT_WINDOW: Duration = Duration::from_secs(4);

/// The longest window, for limits of less than one request in [`LIMIT_WINDOW`]. A
/// server gets one request in it whatever its limit, because only a response says
/// that the limit has ended.
pub const MAX_LIMIT_WINDOW: Duration = Duration::from_secs(30);

/// Time after which a limit that no response has confirmed no longer counts. A share
/// holder without callers may get no response for a while.
pub const LIMIT_RETENTION: Duration = Duration::from_mins(1);

/// The maximum age of a statement in a digest beyond the age that the digest says: the
/// intervals of digests and of bundles, and a relay through a third region.
pub const REPORT_DELAY: Duration = Duration::from_millis(2500);

/// A rate in requests per second, possibly a fraction. Written as a decimal number.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(try_from = "f64", into = "f64")]
pub struct LimitRate(f64);

/// The error for text that is not a rate.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{text:?} is not a decimal number of requests per second")]
pub struct LimitRateError {
    /// The text.
    pub text: String,
}

impl LimitRate {
    /// The rate in requests per second.
    #[must_use]
    pub fn per_second(self) -> f64 {
        self.0
    }
}

impl FromStr for LimitRate {
    type Err = LimitRateError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let rate = text.trim().parse::<f64>().ok();
        rate.and_then(|rate| Self::try_from(rate).ok())
            .ok_or_else(|| LimitRateError {
                text: text.to_owned(),
            })
    }
}

impl TryFrom<f64> for LimitRate {
    type Error = LimitRateError;

    fn try_from(rate: f64) -> Result<Self, Self::Error> {
        if rate.is_finite() && rate >= 0.0 {
            Ok(Self(rate))
        } else {
            Err(LimitRateError {
                text: rate.to_string(),
            })
        }
    }
}

impl From<LimitRate> for f64 {
    fn from(rate: LimitRate) -> Self {
        rate.0
    }
}

impl fmt::Display for LimitRate {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

/// What a server's response said of its limit: the rate, or `None` if it has ended.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitStatement {
    /// The limit.
    pub rate: Option<LimitRate>,
    /// When the response arrived.
    pub at: Instant,
}

/// A statement in a digest.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct LimitReport {
    /// The server.
    pub server: ServerTag,
    /// The limit; `None` if it has ended.
    pub rate: Option<LimitRate>,
    /// Milliseconds from the response to the digest.
    pub age_ms: u32,
}

/// The latest statements of the other instances on one server.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ReportedLimit {
    named: Option<(LimitRate, Instant)>,
    ended_at: Option<Instant>,
}

impl ReportedLimit {
    /// Adds the report of one instance in a digest received at `received_at`.
    pub fn add(&mut self, report: &LimitReport, received_at: Instant) {
        let age = Duration::from_millis(report.age_ms.into());
        let Some(at) = received_at.checked_sub(age) else {
            return;
        };
        match report.rate {
            Some(rate) if self.named.is_none_or(|(_, known)| known < at) => {
                self.named = Some((rate, at));
            }
            Some(_) => {}
            // The response may be older than the digest says, and a limit that was
            // named since must not end by it.
            None => self.ended_at = self.ended_at.max(at.checked_sub(REPORT_DELAY)),
        }
    }
}

/// The limit of one server, as known to this instance, and the instance's requests
/// to it.
#[derive(Debug, Default)]
pub struct ServerLimit {
    observed: Option<LimitStatement>,
    reported: ReportedLimit,
    sends: SendHistory,
}

impl ServerLimit {
    /// The limit of the same server after a restart, with what it said since
    /// `running_since`. Requests may have reached the new process before it was known.
    #[must_use]
    pub fn after_restart(&self, running_since: Option<Instant>) -> Self {
        let is_of_new = |said: &LimitStatement| running_since.is_some_and(|since| said.at > since);
        Self {
            observed: self.observed.filter(is_of_new),
            reported: ReportedLimit::default(),
            sends: self.sends.clone(),
        }
    }

    /// The limit in force.
    #[must_use]
    pub fn rate(&self, now: Instant) -> Option<LimitRate> {
        let observed = self
            .observed
            .and_then(|statement| Some((statement.rate?, statement.at)));
        let latest = observed.into_iter().chain(self.reported.named);
        let (rate, at) = latest.max_by_key(|(_, at)| *at)?;
        let observed_end = self.observed.filter(|statement| statement.rate.is_none());
        let ended_at = observed_end
            .map(|statement| statement.at)
            .max(self.reported.ended_at);
        let is_in_force = ended_at.is_none_or(|end| end < at)
            && now.saturating_duration_since(at) < LIMIT_RETENTION;
        is_in_force.then_some(rate)
    }

    /// Records what a response of the server said.
    pub fn record_response(&mut self, rate: Option<LimitRate>, now: Instant) {
        if rate.is_some() || self.observed.is_some() || self.reported.named.is_some() {
            self.observed = Some(LimitStatement { rate, at: now });
        }
    }

    /// Sets what the other instances report.
    pub fn set_reported(&mut self, reported: ReportedLimit) {
        self.reported = reported;
    }

    /// What responses to this instance stated, for the digest.
    #[must_use]
    pub fn report(&self, server: ServerTag, now: Instant) -> Option<LimitReport> {
        let observed = self.observed?;
        let age = now.saturating_duration_since(observed.at);
        (age < LIMIT_RETENTION).then(|| LimitReport {
            server,
            rate: observed.rate,
            age_ms: u32::try_from(age.as_millis()).unwrap_or(u32::MAX),
        })
    }

    /// Whether this instance may send a request. `server`, `own` and `instances` are
    /// hashes of names; `instances`, the sharers of the limit, includes `own`.
    #[must_use]
    pub fn has_permit(&self, server: u64, own: u64, instances: &[u64], now: Instant) -> bool {
        self.rate(now).is_none_or(|rate| {
            let (total, window) = permitted(rate);
            self.sends.count(window, now) < instance_share(total, server, own, instances)
        })
    }

    /// Records a request while a limit is in force.
    pub fn record_send(&mut self, now: Instant) {
        if self.rate(now).is_some() {
            self.sends.record(MAX_LIMIT_WINDOW, now);
        }
    }
}

/// The requests of all instances together that a limit permits in a window.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "not negative; a larger number than fits is cut to the largest"
)]
fn permitted(rate: LimitRate) -> (usize, Duration) {
    let window = Duration::try_from_secs_f64(1.0 / rate.per_second())
        .unwrap_or(MAX_LIMIT_WINDOW)
        .clamp(LIMIT_WINDOW, MAX_LIMIT_WINDOW);
    let total = (rate.per_second() * window.as_secs_f64()) as usize;
    (total.max(1), window)
}
