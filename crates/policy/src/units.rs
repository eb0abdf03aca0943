//! Quantities with a text format: rates, shares, sizes, durations and revisions.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Error in the text of a quantity.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{text:?} is not a valid {kind}: {reason}")]
pub struct UnitError {
    /// What was parsed.
    pub kind: &'static str,
    /// The text.
    pub text: String,
    /// The expected format.
    pub reason: &'static str,
}

fn unit_error(kind: &'static str, text: &str, reason: &'static str) -> UnitError {
    UnitError {
        kind,
        text: text.to_owned(),
        reason,
    }
}

/// Implements the conversions that serde uses to read and write a type as text.
macro_rules! serde_via_text {
    ($type:ty) => {
        impl TryFrom<String> for $type {
            type Error = UnitError;

            fn try_from(text: String) -> Result<Self, UnitError> {
                text.parse()
            }
        }

        impl From<$type> for String {
            fn from(quantity: $type) -> Self {
                quantity.to_string()
            }
        }
    };
}

/// A rate in requests per second. Written `120/s`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct RequestRate(u32);

impl RequestRate {
    /// Creates a rate of `per_second` requests per second.
    #[must_use]
    pub const fn per_second(per_second: u32) -> Self {
        Self(per_second)
    }

    /// The rate in requests per second.
    #[must_use]
    pub const fn get(self) -> u32 {
        self.0
    }
}

impl fmt::Display for RequestRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/s", self.0)
    }
}

impl FromStr for RequestRate {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self, UnitError> {
        text.strip_suffix("/s")
            .and_then(|number| number.parse().ok())
            .map(Self)
            .ok_or_else(|| unit_error("rate", text, "expected a whole number and /s, as in 120/s"))
    }
}

serde_via_text!(RequestRate);

/// Number of requests that may arrive at once in excess of a rate.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct BurstSize(u32);

impl BurstSize {
    /// Creates a burst size of `requests`.
    #[must_use]
    pub const fn new(requests: u32) -> Self {
        Self(requests)
    }

    /// The burst size in requests.
    #[must_use]
    pub const fn get(self) -> u32 {
        self.0
    }
}

impl fmt::Display for BurstSize {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl FromStr for BurstSize {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self, UnitError> {
        text.parse()
            .map(Self)
            .map_err(|_error| unit_error("burst", text, "expected a whole number"))
    }
}

/// Maximum number of requests that a server or region runs concurrently.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct SlotCount(u32);

impl SlotCount {
    /// Creates a count of `slots`.
    #[must_use]
    pub const fn new(slots: u32) -> Self {
        Self(slots)
    }

    /// The number of slots.
    #[must_use]
    pub const fn get(self) -> u32 {
        self.0
    }
}

impl fmt::Display for SlotCount {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl FromStr for SlotCount {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self, UnitError> {
        text.parse()
            .map(Self)
            .map_err(|_error| unit_error("slot count", text, "expected a whole number"))
    }
}

/// A share of traffic, stored in parts per million. Written `5%` or `0.25%`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct TrafficShare(u32);

/// All traffic in parts per million.
const ALL_PPM: u32 = 1_000_000;

const PPM_PER_PERCENT: u32 = 10_000;

impl TrafficShare {
    /// No traffic.
    pub const NONE: Self = Self(0);
    /// All traffic.
    pub const ALL: Self = Self(ALL_PPM);

    /// Creates a share of `ppm` parts per million. Values above
    /// [`TrafficShare::ALL`] are clamped.
    #[must_use]
    pub const fn from_ppm(ppm: u32) -> Self {
        if ppm > ALL_PPM { Self::ALL } else { Self(ppm) }
    }

    /// Creates a share of `percent` percent. Values above 100 are clamped.
    #[must_use]
    pub const fn from_percent(percent: u32) -> Self {
        Self::from_ppm(percent.saturating_mul(PPM_PER_PERCENT))
    }

    /// The share in parts per million.
    #[must_use]
    pub const fn ppm(self) -> u32 {
        self.0
    }

    /// This share of `total` requests, rounded down.
    #[must_use]
    pub fn floor_of(self, total: u64) -> u64 {
        let product = u128::from(total) * u128::from(self.0) / u128::from(ALL_PPM);
        u64::try_from(product).unwrap_or(u64::MAX)
    }
}

impl fmt::Display for TrafficShare {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let whole = self.0 / PPM_PER_PERCENT;
        let fraction = self.0 % PPM_PER_PERCENT;
        if fraction == 0 {
            write!(f, "{whole}%")
        } else {
            let digits = format!("{fraction:04}");
            write!(f, "{whole}.{}%", digits.trim_end_matches('0'))
        }
    }
}

impl FromStr for TrafficShare {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self, UnitError> {
        let reason = "expected a percentage from 0% to 100% with at most four decimals";
        let error = || unit_error("share", text, reason);
        let number = text.strip_suffix('%').ok_or_else(error)?;
        let (whole, decimals) = number.split_once('.').unwrap_or((number, "0"));
        if decimals.is_empty() || decimals.len() > 4 {
            return Err(error());
        }
        let whole: u32 = whole.parse().map_err(|_error| error())?;
        let fraction: u32 = format!("{decimals:0<4}")
            .parse()
            .map_err(|_error| error())?;
        match whole
            .checked_mul(PPM_PER_PERCENT)
            .and_then(|w| w.checked_add(fraction))
        {
            Some(ppm) if ppm <= ALL_PPM => Ok(Self(ppm)),
            _ => Err(error()),
        }
    }
}

serde_via_text!(TrafficShare);

/// A size in bytes. Written `512`, `64KiB` or `8MiB`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct ByteSize(u64);

const KIBIBYTE: u64 = 1024;
const MEBIBYTE: u64 = 1024 * KIBIBYTE;

impl ByteSize {
    /// Creates a size of `bytes`.
    #[must_use]
    pub const fn new(bytes: u64) -> Self {
        Self(bytes)
    }

    /// The size in bytes.
    #[must_use]
    pub const fn get(self) -> u64 {
        self.0
    }
}

impl fmt::Display for ByteSize {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            bytes if bytes > 0 && bytes % MEBIBYTE == 0 => write!(f, "{}MiB", bytes / MEBIBYTE),
            bytes if bytes > 0 && bytes % KIBIBYTE == 0 => write!(f, "{}KiB", bytes / KIBIBYTE),
            bytes => write!(f, "{bytes}"),
        }
    }
}

impl FromStr for ByteSize {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self, UnitError> {
        let (number, unit) = if let Some(number) = text.strip_suffix("MiB") {
            (number, MEBIBYTE)
        } else if let Some(number) = text.strip_suffix("KiB") {
            (number, KIBIBYTE)
        } else {
            (text, 1)
        };
        number
            .parse::<u64>()
            .ok()
            .and_then(|n| n.checked_mul(unit))
            .map(Self)
            .ok_or_else(|| unit_error("size", text, "expected bytes, KiB or MiB, as in 64KiB"))
    }
}

serde_via_text!(ByteSize);

/// A duration in settings and contracts. Written `250ms` or `30s`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct TimeSpan(Duration);

impl TimeSpan {
    /// Creates a time span from a standard duration.
    #[must_use]
    pub const fn new(duration: Duration) -> Self {
        Self(duration)
    }

    /// The span as a standard duration.
    #[must_use]
    pub const fn get(self) -> Duration {
        self.0
    }
}

impl fmt::Display for TimeSpan {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let millis = self.0.as_millis();
        if millis.is_multiple_of(1000) {
            write!(f, "{}s", millis / 1000)
        } else {
            write!(f, "{millis}ms")
        }
    }
}

impl FromStr for TimeSpan {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self, UnitError> {
        let error = || unit_error("time span", text, "expected ms or s, as in 250ms or 30s");
        let (number, unit) = if let Some(number) = text.strip_suffix("ms") {
            (number, 1)
        } else if let Some(number) = text.strip_suffix('s') {
            (number, 1000)
        } else {
            return Err(error());
        };
        let number: u64 = number.parse().map_err(|_error| error())?;
        let millis = number.checked_mul(unit).ok_or_else(error)?;
        Ok(Self(Duration::from_millis(millis)))
    }
}

serde_via_text!(TimeSpan);

/// The revision number of a configuration. A higher revision replaces a lower
/// one; zero is the empty configuration of a new fleet. Written `r12`.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct ConfigRevision(u64);

impl ConfigRevision {
    /// Creates the revision `number`.
    #[must_use]
    pub const fn new(number: u64) -> Self {
        Self(number)
    }

    /// The revision number.
    #[must_use]
    pub const fn get(self) -> u64 {
        self.0
    }

    /// The revision after this one.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl fmt::Display for ConfigRevision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "r{}", self.0)
    }
}

impl FromStr for ConfigRevision {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self, UnitError> {
        text.strip_prefix('r')
            .and_then(|number| number.parse().ok())
            .map(Self)
            .ok_or_else(|| unit_error("revision", text, "expected r and a number, as in r12"))
    }
}
