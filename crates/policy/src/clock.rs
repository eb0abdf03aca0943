//! The source of time.
//!
//! Decisions take a [`TimeSource`] in place of calling the system clock, so
//! that a test can move time by hand.

use std::cell::Cell;
use std::fmt::Debug;
use std::time::{Duration, Instant, SystemTime};

/// Gives the current time.
pub trait TimeSource: Debug {
    /// The monotonic time. Goes on while the process is stopped by a signal.
    fn instant(&self) -> Instant;

    /// The wall-clock time. May jump; use it only for display and for stamps.
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

/// A clock that moves only when told to.
#[derive(Debug)]
pub struct ManualClock {
    start: Instant,
    elapsed: Cell<Duration>,
}

impl ManualClock {
    /// Creates a clock that stands at an arbitrary start time.
    #[must_use]
    pub fn new() -> Self {
        Self {
            start: Instant::now(),
            elapsed: Cell::new(Duration::ZERO),
        }
    }

    /// Moves the clock forward.
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
