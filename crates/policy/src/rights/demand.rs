//! Exponentially decaying estimates of recent demand.

use std::time::{Duration, Instant};

/// Decay factor of one step, e^(-1/8), as a multiple of 1/65,536. Eight steps
/// make up one time constant.
const STEP_DECAY: u64 = 57_835;
const STEPS_PER_TIME_CONSTANT: u32 = 8;
/// Values are set to zero after more steps than this; less than a
/// ten-billionth of them remains by then.
const MAX_STEPS: u128 = 200;
const MICROS_PER_REQUEST: u64 = 1_000_000;

/// Time constant of the fast estimate. It follows a flood within 200 ms.
const FAST_TIME_CONSTANT: Duration = Duration::from_millis(100);
/// Time constant of the slow estimate. With a longer one, an instance keeps
/// shares after its callers have moved to another instance, which lacks them:
/// in the benchmark `limit_candidates`, 2 % of the conforming requests were
/// rejected with 2 s and 0.2 % with 250 ms.
const SLOW_TIME_CONSTANT: Duration = Duration::from_millis(250);
/// Time constant of the decaying peak of used slots.
const SLOT_PEAK_TIME_CONSTANT: Duration = Duration::from_secs(2);
/// Subtracted from the fast estimate, in millionths of a request: one or two
/// simultaneous requests aren't a flood.
const FAST_FLOOR: u64 = 2 * MICROS_PER_REQUEST;

/// An exponentially decaying sum.
#[derive(Debug, Clone, Default)]
struct DecayingValue {
    value: u64,
    updated: Option<Instant>,
}

impl DecayingValue {
    /// Decays by the whole steps since the last call. The remainder of the
    /// elapsed time is carried over to the next call.
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

    /// Largest value, chosen so that a decay step can't overflow.
    const MAX_VALUE: u64 = u64::MAX / STEP_DECAY;

    fn add(&mut self, amount: u64) {
        self.value = self.value.saturating_add(amount).min(Self::MAX_VALUE);
    }
}

/// Estimated request rate, the larger of a fast and a slow estimate.
#[derive(Debug, Clone, Default)]
pub(crate) struct RateDemand {
    fast: DecayingValue,
    slow: DecayingValue,
}

impl RateDemand {
    /// Counts one request.
    pub(crate) fn record_request(&mut self, now: Instant) {
        self.fast.decay(FAST_TIME_CONSTANT, now);
        self.slow.decay(SLOW_TIME_CONSTANT, now);
        self.fast.add(MICROS_PER_REQUEST);
        self.slow.add(MICROS_PER_REQUEST);
    }

    /// The estimated rate in thousandths of a request per second.
    pub(crate) fn per_second(&mut self, now: Instant) -> u64 {
        self.fast.decay(FAST_TIME_CONSTANT, now);
        self.slow.decay(SLOW_TIME_CONSTANT, now);
        let millis =
            |time_constant: Duration| u64::try_from(time_constant.as_millis()).unwrap_or(u64::MAX);
        let fast = self.fast.value.saturating_sub(FAST_FLOOR) / millis(FAST_TIME_CONSTANT);
        fast.max(self.slow.value / millis(SLOW_TIME_CONSTANT))
    }
}

/// Estimated demand for slots: a decaying peak of the used and rejected ones.
#[derive(Debug, Clone, Default)]
pub(crate) struct SlotDemand {
    peak: DecayingValue,
    /// Maximum number of used slots since the last estimate.
    recent_max: u32,
    rejected: u32,
}

/// One slot in the unit of the estimates, a thousandth of a slot.
pub(crate) const SLOT_MILLIS: u64 = 1000;

impl SlotDemand {
    /// Records the number of slots in use.
    pub(crate) fn record_running(&mut self, running: u32) {
        self.recent_max = self.recent_max.max(running);
    }

    /// Records a request that was rejected for lack of a free slot.
    pub(crate) fn record_rejection(&mut self) {
        self.rejected = self.rejected.saturating_add(1);
    }

    /// The estimate in thousandths of a slot. At most `max_slots` + 1 slots are
    /// counted at a time.
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
