//! Estimates of recent demand.

use std::time::{Duration, Instant};

/// Decay of one step: e^(-1/8) in parts of 65,536. A time constant is eight
/// steps.
const STEP_DECAY: u64 = 57_835;
const STEPS_PER_CONSTANT: u32 = 8;
/// After this many steps less than a ten-billionth is left.
const MOST_STEPS: u128 = 200;
const MICRO: u64 = 1_000_000;

/// Follows a flood within 200 ms.
const FAST: Duration = Duration::from_millis(100);
/// Longer times make an instance that its callers left keep shares that the
/// next one lacks: with 2 s, 2 % of rightful requests were refused in
/// `limit_candidates`, with 250 ms 0.2 %.
const SLOW: Duration = Duration::from_millis(250);
/// A slot that was used within this time counts as demand.
const SLOT_PEAK: Duration = Duration::from_secs(2);
/// Requests that the fast estimate leaves out: one or two requests at once
/// are no flood.
const FAST_FLOOR: u64 = 2 * MICRO;

/// An exponentially decaying number.
#[derive(Debug, Clone, Default)]
struct DecayingValue {
    value: u64,
    updated: Option<Instant>,
}

impl DecayingValue {
    /// Decays in whole steps; the rest of the time counts at a later call.
    fn decay(&mut self, constant: Duration, now: Instant) {
        let step = constant / STEPS_PER_CONSTANT;
        let updated = *self.updated.get_or_insert(now);
        let elapsed = now.saturating_duration_since(updated).as_nanos();
        let steps = elapsed / step.as_nanos();
        if steps > MOST_STEPS {
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
    const MOST: u64 = u64::MAX / STEP_DECAY;

    fn add(&mut self, amount: u64) {
        self.value = self.value.saturating_add(amount).min(Self::MOST);
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
    pub(crate) fn count(&mut self, now: Instant) {
        self.fast.decay(FAST, now);
        self.slow.decay(SLOW, now);
        self.fast.add(MICRO);
        self.slow.add(MICRO);
    }

    /// Requests a second in thousandths.
    pub(crate) fn per_second(&mut self, now: Instant) -> u64 {
        self.fast.decay(FAST, now);
        self.slow.decay(SLOW, now);
        let millis = |constant: Duration| u64::try_from(constant.as_millis()).unwrap_or(u64::MAX);
        let fast = self.fast.value.saturating_sub(FAST_FLOOR) / millis(FAST);
        fast.max(self.slow.value / millis(SLOW))
    }
}

/// Slots in use or refused, with a slowly decaying peak.
#[derive(Debug, Clone, Default)]
pub(crate) struct SlotDemand {
    peak: DecayingValue,
    /// Most slots that ran since the last look.
    recent: u32,
    refused: u32,
}

/// A slot in thousandths.
pub(crate) const SLOT_MILLIS: u64 = 1000;

impl SlotDemand {
    /// Notes how many slots run now.
    pub(crate) fn observe(&mut self, running: u32) {
        self.recent = self.recent.max(running);
    }

    /// Notes a slot that could not be taken.
    pub(crate) fn refuse(&mut self) {
        self.refused = self.refused.saturating_add(1);
    }

    /// Slots in thousandths, at most one more than `most`.
    pub(crate) fn slots(&mut self, running: u32, most: u32, now: Instant) -> u64 {
        let wanted = self.recent.max(running).saturating_add(self.refused);
        self.recent = running;
        self.refused = 0;
        self.peak.decay(SLOT_PEAK, now);
        let wanted = u64::from(wanted.min(most.saturating_add(1))) * SLOT_MILLIS;
        self.peak.value = self.peak.value.max(wanted);
        self.peak.value
    }
}
