//! Estimates of recent demand.

use std::time::{Duration, Instant};

/// Decay of one step: e^(-1/8) in parts of 65,536. A time constant is eight
/// steps.
const STEP_DECAY: u64 = 57_835;
const STEPS_PER_TIME_CONSTANT: u32 = 8;
/// After this many steps less than a ten-billionth is left.
const MAX_STEPS: u128 = 200;
const MICROS_PER_REQUEST: u64 = 1_000_000;

/// Follows a flood within 200 ms.
const FAST_TIME_CONSTANT: Duration = Duration::from_millis(100);
/// Longer times make an instance that its callers left keep shares that the
/// next one lacks: with 2 s, 2 % of rightful requests were refused in
/// `limit_candidates`, with 250 ms 0.2 %.
const SLOW_TIME_CONSTANT: Duration = Duration::from_millis(250);
/// A slot that was used within this time counts as demand.
const SLOT_PEAK_TIME_CONSTANT: Duration = Duration::from_secs(2);
/// Requests that the fast estimate leaves out: one or two requests at once
/// are no flood.
const FAST_FLOOR: u64 = 2 * MICROS_PER_REQUEST;

/// An exponentially decaying number.
#[derive(Debug, Clone, Default)]
struct DecayingValue {
    value: u64,
    updated: Option<Instant>,
}

impl DecayingValue {
    /// Decays in whole steps; the rest of the time counts at a later call.
    fn decay(&mut self, time_constant: Duration, now: Instant) {
        let step = time_constant / STEPS_PER_TIME_CONSTANT;
        let updated = *self.updated.get_or_insert(now);
        let elapsed = now.saturating_duration_since(updated).as_nanos();
        let steps = elapsed / step.as_nanos();
        if steps > MAX_STEPS {
            self.value = 0;
            self.updated = Some(now);
            return;
        }
        for _ in 0..steps {
            self.value = (self.value * STEP_DECAY) >> 16;
        }
        let steps = u32::try_from(steps).unwrap_or(0);
        self.updated = Some(updated + step * steps);
    }

    /// Most events that are counted, so that a decay step cannot overflow.
    const MAX_VALUE: u64 = u64::MAX / STEP_DECAY;

    fn add(&mut self, amount: u64) {
        self.value = self.value.saturating_add(amount).min(Self::MAX_VALUE);
    }
}

/// Requests a second, estimated on two time scales.
#[derive(Debug, Clone, Default)]
pub(crate) struct RateDemand {
    fast: DecayingValue,
    slow: DecayingValue,
}

impl RateDemand {
    /// Counts a request.
    pub(crate) fn record_request(&mut self, now: Instant) {
        self.fast.decay(FAST_TIME_CONSTANT, now);
        self.slow.decay(SLOW_TIME_CONSTANT, now);
        self.fast.add(MICROS_PER_REQUEST);
        self.slow.add(MICROS_PER_REQUEST);
    }

    /// Requests a second in thousandths.
    pub(crate) fn per_second(&mut self, now: Instant) -> u64 {
        self.fast.decay(FAST_TIME_CONSTANT, now);
        self.slow.decay(SLOW_TIME_CONSTANT, now);
        let millis =
            |time_constant: Duration| u64::try_from(time_constant.as_millis()).unwrap_or(u64::MAX);
        let fast = self.fast.value.saturating_sub(FAST_FLOOR) / millis(FAST_TIME_CONSTANT);
        fast.max(self.slow.value / millis(SLOW_TIME_CONSTANT))
    }
}

/// Slots in use or refused, with a slowly decaying peak.
#[derive(Debug, Clone, Default)]
pub(crate) struct SlotDemand {
    peak: DecayingValue,
    /// Most slots that ran since the last look.
    recent_max: u32,
    rejected: u32,
}

/// A slot in thousandths.
pub(crate) const SLOT_MILLIS: u64 = 1000;

impl SlotDemand {
    /// Notes how many slots run now.
    pub(crate) fn record_running(&mut self, running: u32) {
        self.recent_max = self.recent_max.max(running);
    }

    /// Notes a slot that could not be taken.
    pub(crate) fn record_rejection(&mut self) {
        self.rejected = self.rejected.saturating_add(1);
    }

    /// Slots in thousandths, at most one more than `max_slots`.
    pub(crate) fn estimate(&mut self, running: u32, max_slots: u32, now: Instant) -> u64 {
        let wanted = self.recent_max.max(running).saturating_add(self.rejected);
        self.recent_max = running;
        self.rejected = 0;
        self.peak.decay(SLOT_PEAK_TIME_CONSTANT, now);
        let wanted = u64::from(wanted.min(max_slots.saturating_add(1))) * SLOT_MILLIS;
        self.peak.value = self.peak.value.max(wanted);
        self.peak.value
    }
}
