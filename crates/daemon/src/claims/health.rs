//! Whether the table answers.
//!
//! While it does not, a request that needs a claim would hold a slot until its
//! deadline, and requests behind it would find none. It is refused at once
//! instead, and one claim after each pause finds out whether the table is back.

use std::cell::Cell;
use std::time::{Duration, Instant};

use tarragonpulley_backing::CommitOutcome;

/// Time after a failure before the next claim tries the table.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// A failure that takes less time holds slots too briefly to matter.
const SLOW_FAILURE_THRESHOLD: Duration = Duration::from_millis(200);

/// The state of the table as the claims of this instance see it.
#[derive(Debug, Default)]
pub(super) struct TableHealth {
    failed_at: Cell<Option<Instant>>,
    attempts: Cell<usize>,
}

impl TableHealth {
    /// Whether the last claim failed slowly and another one would wait in vain.
    pub(super) fn is_down(&self, now: Instant) -> bool {
        self.failed_at.get().is_some_and(|at| {
            self.attempts.get() > 0 || now.saturating_duration_since(at) < RETRY_INTERVAL
        })
    }

    /// Notes that a claim is being sent to the table.
    pub(super) fn attempt(&self, now: Instant) -> TableAttempt<'_> {
        self.attempts.set(self.attempts.get() + 1);
        TableAttempt {
            health: self,
            started: now,
        }
    }
}

/// A claim on its way to the table.
#[derive(Debug)]
pub(super) struct TableAttempt<'a> {
    health: &'a TableHealth,
    started: Instant,
}

impl TableAttempt<'_> {
    /// Notes how it ended.
    pub(super) fn finish(self, outcome: &CommitOutcome, now: Instant) {
        let failed = matches!(
            outcome,
            CommitOutcome::NotApplied(_) | CommitOutcome::Unknown(_)
        );
        let slow = now.saturating_duration_since(self.started) >= SLOW_FAILURE_THRESHOLD;
        self.health.failed_at.set((failed && slow).then_some(now));
    }
}

impl Drop for TableAttempt<'_> {
    fn drop(&mut self) {
        let attempts = &self.health.attempts;
        attempts.set(attempts.get().saturating_sub(1));
    }
}
