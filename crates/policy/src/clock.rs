//! Clock abstraction.
//!
//! Code reads the time from a [`TimeSource`] instead of the system clock, so
//! that tests can control it.

use std::cell::Cell;
use std::fmt::Debug;
use std::time::{Duration, Instant, SystemTime};

/// A source of the current time.
pub trait TimeSource: Debug {
    /// The monotonic time. It advances while the process is stopped by a signal.
    fn instant(&self) -> Instant;

    /// The wall-clock time. It may jump, so use it only for display and for
    /// timestamps of events.
    fn system(&self) -> SystemTime;
}

/// The clock of the operating system.
#[derive(Debug, Clone, Copy, Default)]
pub struct SystemClock;

impl TimeSource for SystemClock {
    fn instant(&self) -> Instant {
        Instant::now()
    }

    fn system(&self) -> SystemTime {
        SystemTime::now()
    }
}

/// A clock for tests that advances only on [`ManualClock::advance`].
#[derive(Debug)]
pub struct ManualClock {
    start: Instant,
    elapsed: Cell<Duration>,
}

impl ManualClock {
    /// Creates a clock whose wall-clock time is the Unix epoch and whose
    /// monotonic time is arbitrary.
    #[must_use]
    pub fn new() -> Self {
        Self {
            start: Instant::now(),
            elapsed: Cell::new(Duration::ZERO),
        }
    }

    /// Advances both times by `step`.
    pub fn advance(&self, step: Duration) {
        self.elapsed.set(self.elapsed.get() + step);
    }
}

impl Default for ManualClock {
    fn default() -> Self {
        Self::new()
    }
}

impl TimeSource for ManualClock {
    fn instant(&self) -> Instant {
        self.start + self.elapsed.get()
    }

    fn system(&self) -> SystemTime {
        SystemTime::UNIX_EPOCH + self.elapsed.get()
    }
}
