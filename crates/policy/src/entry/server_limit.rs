//! The limit on requests that a backend server in need names in its responses.
//!
//! The limit applies to all instances together, from the response that names it until
//! a response that does not.

use std::fmt;
use std::str::FromStr;
use std::time::Instant;

use serde::{Deserialize, Serialize};

/// A rate in requests per second, possibly a fraction. Written as a decimal number.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd, Serialize, Deserialize)]
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
        rate.filter(|rate| rate.is_finite() && *rate >= 0.0)
            .map(Self)
            .ok_or_else(|| LimitRateError {
                text: text.to_owned(),
            })
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

/// What this instance knows of the limit of one server.
#[derive(Debug, Default)]
pub struct ServerLimit {
    named: Option<LimitStatement>,
}

impl ServerLimit {
    /// The limit in force.
    #[must_use]
    pub fn rate(&self) -> Option<LimitRate> {
        self.named.and_then(|statement| statement.rate)
    }

    /// Records what a response said. Returns whether the limit changed.
    pub fn record_response(&mut self, rate: Option<LimitRate>, now: Instant) -> bool {
        let changed = self.rate() != rate;
        if changed || rate.is_some() {
            self.named = Some(LimitStatement { rate, at: now });
        }
        changed
    }
}
