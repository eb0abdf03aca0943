//! What a backend server has asked of an instance, and whether a request may be sent to
//! it.
//!
//! A server can say that it is leaving, ask for a pause, name a limit, or be cold. Each
//! request is judged here when a server is selected for it, and again right before its
//! first byte, as a connection takes time to open. None of these may be overridden: with
//! no server left, the request is rejected. How well a server works is not judged here.

use std::fmt;
use std::str::FromStr;
use std::time::{Duration, Instant};

use super::cold::ColdLimiter;
use super::placement::mix;
use super::server_limit::ServerLimit;

/// The longest pause. A server that states a longer one is back earlier only after a
/// restart, which ends the pause anyway.
pub const MAX_PAUSE: Duration = Duration::from_hours(24);

/// The time over which the instances return to a server after a pause, for each instance
/// and slot of the server: about half of the work of a request.
pub const RETURN_SPREAD: Duration = Duration::from_millis(250);

/// The longest time over which they return.
pub const MAX_RETURN_SPREAD: Duration = Duration::from_secs(5);

/// Time without a response after which another request is sent to a server to which this
/// instance returns.
pub const RETURN_RETRY_DELAY: Duration = Duration::from_secs(1);

/// The number of requests that a returning instance may send for each response.
pub const RETURN_GROWTH: usize = 2;

/// The number of requests that may be sent at a time from which on an instance counts as
/// returned.
pub const RETURNED_CREDIT: usize = 8;

/// For how long a server does not want requests. Written as a decimal number of seconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct PauseLength(Duration);

/// The error for text that is not the length of a pause.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{text:?} is not a decimal number of seconds")]
pub struct PauseLengthError {
    /// The text.
    pub text: String,
}

impl PauseLength {
    /// The length, [`MAX_PAUSE`] at most.
    #[must_use]
    pub fn duration(self) -> Duration {
        self.0
    }
}

impl FromStr for PauseLength {
    type Err = PauseLengthError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let number = text.trim();
        let is_decimal = number.bytes().any(|byte| byte.is_ascii_digit())
            && number
                .bytes()
                .all(|byte| byte.is_ascii_digit() || byte == b'.');
        let seconds = number.parse::<f64>().ok().filter(|_| is_decimal);
        let seconds = seconds.ok_or_else(|| PauseLengthError {
            text: text.to_owned(),
        })?;
        Ok(Self(
            Duration::try_from_secs_f64(seconds).map_or(MAX_PAUSE, |pause| pause.min(MAX_PAUSE)),
        ))
    }
}

impl fmt::Display for PauseLength {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.as_secs_f64().fmt(formatter)
    }
}

/// Why nothing is sent to a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum HoldReason {
    /// It has said that it is leaving.
    Leaving,
    /// It has asked for a pause.
    Paused,
    /// Its pause is over, and this instance returns to it gradually.
    Returning,
    /// This instance has used its share of the limit that the server named.
    ServerLimit,
    /// This instance has used its share of the rate of a cold server.
    ColdRate,
    /// It has started again since the request was placed.
    Restarted,
}

impl HoldReason {
    /// The name in logs and metrics.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Leaving => "leaving",
            Self::Paused => "paused",
            Self::Returning => "returning",
            Self::ServerLimit => "server_limit",
            Self::ColdRate => "cold_rate",
            Self::Restarted => "restarted",
        }
    }
}

/// Whether a request may be sent to a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendDecision {
    /// Now.
    Send,
    /// Not now.
    Wait {
        /// When it may be sent, if that is known.
        until: Option<Instant>,
        /// Why it may not be sent before.
        reason: HoldReason,
    },
    /// Not to this server, whatever its entry says, until it was started again.
    Never,
}

impl SendDecision {
    /// Whether the request may be sent now.
    #[must_use]
    pub fn may_send(self) -> bool {
        self == Self::Send
    }

    /// Why the request may not be sent now, and until when if that is known.
    #[must_use]
    pub fn hold(self) -> Option<(HoldReason, Option<Instant>)> {
        match self {
            Self::Send => None,
            Self::Wait { until, reason } => Some((reason, until)),
            Self::Never => Some((HoldReason::Leaving, None)),
        }
    }
}

/// The parts of a server's limits that fall to this instance. Looked up only if the
/// server has a limit.
pub trait ShareLookup {
    /// Whether this instance's share of the limit that the server named is not used up.
    fn has_limit_permit(&self, limit: &ServerLimit) -> bool;

    /// How many requests this instance may send to the server while it is cold, in the
    /// window of [`ColdLimiter`]; `None` if the server is warm.
    fn cold_allowance(&self) -> Option<usize>;
}

/// The gradual return to a server after its pause.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct GradualReturn {
    starts_at: Instant,
    /// The requests that may be sent before the next response.
    credit: usize,
    last_send: Option<Instant>,
}

impl GradualReturn {
    fn decide(&self, now: Instant) -> SendDecision {
        let until = match self.last_send {
            _ if now < self.starts_at => self.starts_at,
            Some(sent) if self.credit == 0 => sent + RETURN_RETRY_DELAY,
            _ => return SendDecision::Send,
        };
        if until <= now {
            return SendDecision::Send;
        }
        SendDecision::Wait {
            until: Some(until),
            reason: HoldReason::Returning,
        }
    }
}

/// What one server has asked of this instance, from the server's start on.
#[derive(Debug, Default)]
pub struct SendGate {
    /// When the server last said that it is leaving.
    left_at: Option<Instant>,
    /// When the server last asked for a pause.
    paused_at: Option<Instant>,
    paused_until: Option<Instant>,
    gradual_return: Option<GradualReturn>,
    limit: ServerLimit,
    cold: ColdLimiter,
}

impl SendGate {
    /// The gate of the same server after a restart. Requests may have reached the new
    /// process before it was known, so they count against its limits, and what was asked
    /// for since `running_since` was asked for by it. `running_since` is the time since
    /// which the new process is known to run, if it was seen.
    #[must_use]
    pub fn after_restart(&self, running_since: Option<Instant>) -> Self {
        let is_of_new = |at: Option<Instant>| running_since.is_some_and(|since| at > Some(since));
        let is_paused = is_of_new(self.paused_at);
        Self {
            left_at: self.left_at.filter(|at| is_of_new(Some(*at))),
            paused_at: self.paused_at.filter(|_| is_paused),
            paused_until: self.paused_until.filter(|_| is_paused),
            gradual_return: self.gradual_return.filter(|_| is_paused),
            limit: self.limit.after_restart(running_since),
            cold: self.cold.clone(),
        }
    }

    /// Whether the server has said that it is leaving.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.left_at.is_some()
    }

    /// Records that the server is leaving. Returns whether that is new.
    pub fn record_leaving(&mut self, now: Instant) -> bool {
        self.left_at.replace(now).is_none()
    }

    /// The end of the pause that the server has asked for.
    #[must_use]
    pub fn paused_until(&self, now: Instant) -> Option<Instant> {
        self.paused_until.filter(|until| now < *until)
    }

    /// Records that the server asked for a pause in a response that arrived at `now`.
    /// This instance returns `delay` after its end. A shorter pause does not end a longer
    /// one. Returns the end of the pause, if it is later than known.
    pub fn record_pause(
        &mut self,
        length: PauseLength,
        delay: Duration,
        now: Instant,
    ) -> Option<Instant> {
        let until = now + length.duration();
        self.paused_at = Some(now);
        if until <= now || self.paused_until.is_some_and(|known| until <= known) {
            return None;
        }
        self.paused_until = Some(until);
        self.gradual_return = Some(GradualReturn {
            starts_at: until + delay,
            credit: 1,
            last_send: None,
        });
        Some(until)
    }

    /// Records that the server accepted a request that was sent to it. Returns whether
    /// this instance has thereby returned after a pause.
    pub fn record_accepted(&mut self, now: Instant) -> bool {
        let Some(back) = &mut self.gradual_return else {
            return false;
        };
        // Responses to requests from before the pause say nothing about its end.
        if now < back.starts_at || back.last_send.is_none() {
            return false;
        }
        back.credit += RETURN_GROWTH;
        let has_returned = back.credit >= RETURNED_CREDIT;
        if has_returned {
            self.gradual_return = None;
            self.paused_until = None;
        }
        has_returned
    }

    /// The requests that were acquired recently.
    #[must_use]
    pub fn cold(&self) -> &ColdLimiter {
        &self.cold
    }

    /// The limit that the server named.
    #[must_use]
    pub fn limit(&self) -> &ServerLimit {
        &self.limit
    }

    /// The same, to update it.
    pub fn limit_mut(&mut self) -> &mut ServerLimit {
        &mut self.limit
    }

    /// Whether a request may be sent to the server at `now`.
    #[must_use]
    pub fn decide(&self, shares: &dyn ShareLookup, now: Instant) -> SendDecision {
        let asked = self.decide_asked(now);
        if !asked.may_send() {
            return asked;
        }
        let wait = |reason| SendDecision::Wait {
            until: None,
            reason,
        };
        if self.limit.rate(now).is_some() && !shares.has_limit_permit(&self.limit) {
            return wait(HoldReason::ServerLimit);
        }
        let allowance = shares.cold_allowance();
        if allowance.is_some_and(|allowed| !self.cold.has_capacity(allowed, now)) {
            return wait(HoldReason::ColdRate);
        }
        SendDecision::Send
    }

    /// Whether a request that was acquired before may still be sent at `now`: whether the
    /// server has not asked for something else since, or turned out to be cold.
    #[must_use]
    pub fn decide_acquired(&self, shares: &dyn ShareLookup, now: Instant) -> SendDecision {
        let asked = self.decide_leaving_or_paused(now);
        if !asked.may_send() {
            return asked;
        }
        // The request itself is among the recent ones.
        let is_over = |allowed| self.cold.recent_sends(now) > allowed;
        if shares.cold_allowance().is_some_and(is_over) {
            return SendDecision::Wait {
                until: None,
                reason: HoldReason::ColdRate,
            };
        }
        SendDecision::Send
    }

    fn decide_leaving_or_paused(&self, now: Instant) -> SendDecision {
        if self.is_leaving() {
            return SendDecision::Never;
        }
        match self.paused_until(now) {
            None => SendDecision::Send,
            until => SendDecision::Wait {
                until,
                reason: HoldReason::Paused,
            },
        }
    }

    fn decide_asked(&self, now: Instant) -> SendDecision {
        let asked = self.decide_leaving_or_paused(now);
        match (asked, &self.gradual_return) {
            (SendDecision::Send, Some(back)) => back.decide(now),
            _ => asked,
        }
    }

    /// The same as [`SendGate::decide`]; records the request if it may be sent.
    pub fn acquire(&mut self, shares: &dyn ShareLookup, now: Instant) -> SendDecision {
        let decision = self.decide(shares, now);
        if decision.may_send() {
            if let Some(back) = &mut self.gradual_return {
                back.credit = back.credit.saturating_sub(1);
                back.last_send = Some(now);
            }
            self.limit.record_send(now);
            self.cold.record_send(now);
        }
        decision
    }
}

/// How long after the end of a server's pause an instance returns to it. The instances
/// return one after the other, at about the rate at which the server completes requests.
/// `server` and `own` are hashes of names; `sharer_count` is the number of instances.
#[must_use]
pub fn return_delay(server: u64, own: u64, sharer_count: usize, slots: u32) -> Duration {
    let sharers = u32::try_from(sharer_count).unwrap_or(u32::MAX);
    let spread = RETURN_SPREAD
        .mul_f64(f64::from(sharers) / f64::from(slots.max(1)))
        .min(MAX_RETURN_SPREAD);
    // A fraction of the spread that is fixed for this instance and server.
    let position = u32::try_from(mix(own ^ server) >> 32).unwrap_or(u32::MAX);
    spread.mul_f64(f64::from(position) / f64::from(u32::MAX))
}
