//! A clock that includes the time in which the machine was suspended.

use std::time::{Duration, Instant, SystemTime};

use rustix::time::{ClockId, clock_gettime};
use tarragonpulley_policy::clock::TimeSource;

/// Time since boot, including suspension, as an instant. It measures the age of
/// information; timers use the monotonic clock, which suspension stops.
#[derive(Debug)]
pub struct BootClock {
    start: Instant,
    boot: Duration,
}

fn since_boot() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    let nanos = u32::try_from(time.tv_nsec).unwrap_or(0);
    Duration::new(seconds, nanos)
}

impl BootClock {
    /// Creates a clock. Instants of two clocks cannot be compared.
    #[must_use]
    pub fn new() -> Self {
        Self {
            start: Instant::now(),
            boot: since_boot(),
        }
    }
}

impl Default for BootClock {
    fn default() -> Self {
        Self::new()
    }
}

impl TimeSource for BootClock {
    fn instant(&self) -> Instant {
        self.start + since_boot().saturating_sub(self.boot)
    }

    fn system(&self) -> SystemTime {
        SystemTime::now()
    }
}
