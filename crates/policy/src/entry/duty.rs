//! The lease of a duty that one instance performs at a time.
//!
//! The lease is a row of the shared table that is written only under the condition that
//! it still has the version that the writer knows. The writer holds the lease from the
//! start of its write; others write only after they have known the row unchanged for
//! longer than that. Each write raises the fence that goes with all calls of the duty.

use std::collections::BTreeMap;
use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use super::names::InstanceName;

/// The number of unconfirmed writes whose start is remembered. A write that is applied
/// after it was forgotten counts as another instance's.
const MAX_ATTEMPTS: usize = 16;

/// Orders the writes of a duty's row. Calls of the duty carry that of the last write.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Fence(pub u64);

impl Fence {
    fn next(self) -> Self {
        Self(self.0.saturating_add(1))
    }
}

impl fmt::Display for Fence {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

impl FromStr for Fence {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self)
    }
}

/// The times of a lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseTerms {
    /// Time from the start of a write for which its writer may perform the duty.
    pub length: Duration,
    /// Additional time for which others wait: the travel of the holder's last calls, and
    /// the difference of the rates of two clocks.
    pub margin: Duration,
}

impl LeaseTerms {
    /// Time for which the row must be known unchanged before another instance writes it.
    #[must_use]
    pub fn takeover_delay(&self) -> Duration {
        self.length + self.margin
    }
}

/// One process of an instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DutyWriter {
    /// The instance.
    pub name: InstanceName,
    /// The start of the process in milliseconds since the Unix epoch.
    pub start: i64,
}

/// The row of a duty.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DutyRow<R> {
    /// The process that wrote the row.
    pub writer: DutyWriter,
    /// Higher than that of any earlier write.
    pub fence: Fence,
    /// What the duty keeps from one holder to the next.
    pub record: R,
}

/// Identifies one content of the row.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RowPosition {
    /// How often the table was restored from an older copy; versions of different eras
    /// cannot be compared. `None` if the table does not say.
    pub era: Option<u64>,
    /// The version of the row; zero if it does not exist.
    pub version: u64,
}

/// What an instance may do to get the lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClaimStep {
    /// Another instance may hold the lease for this long.
    Wait(Duration),
    /// Read the row first.
    Read,
    /// Write the row now, if it still has the expected version.
    Write {
        /// The fence of the write.
        fence: Fence,
        /// The expected version; zero if the row must not exist.
        expected: u64,
    },
}

/// The result of a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The row was written.
    Written(RowPosition),
    /// The row has another version.
    Conflict,
    /// The write was rejected and is never applied.
    NotWritten,
    /// The write may have been applied, or may be applied later.
    Unknown,
}

/// The right to perform the duty for a time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseGrant {
    /// The fence of all calls under this lease.
    pub fence: Fence,
    /// The end of the lease. A call must not be sent later.
    pub until: Instant,
}

#[derive(Debug, Clone, Copy)]
struct KnownRow {
    position: RowPosition,
    fence: Fence,
    /// When this instance first knew the row at this position.
    since: Instant,
    /// Whether it was read or written, and not only heard of.
    is_read: bool,
}

#[derive(Debug, Clone, Copy)]
struct HeldRow {
    position: RowPosition,
    fence: Fence,
    /// Earlier than this, another instance may hold a lease that a restore removed.
    from: Instant,
    until: Instant,
}

/// One instance's view of a lease. All times are of a clock that counts suspension.
#[derive(Debug)]
pub struct DutyLease {
    own: DutyWriter,
    terms: LeaseTerms,
    highest_fence: Fence,
    /// The starts of this process's writes, by fence.
    attempts: BTreeMap<Fence, Instant>,
    known: Option<KnownRow>,
    held: Option<HeldRow>,
    needs_read: bool,
}

impl DutyLease {
    /// Creates the view of an instance that knows nothing of the row.
    #[must_use]
    pub fn new(own: DutyWriter, terms: LeaseTerms) -> Self {
        Self {
            own,
            terms,
            highest_fence: Fence::default(),
            attempts: BTreeMap::new(),
            known: None,
            held: None,
            needs_read: true,
        }
    }

    /// Records the row's position and fence as another instance reports them.
    pub fn record_heard(&mut self, position: RowPosition, fence: Fence, now: Instant) {
        self.highest_fence = self.highest_fence.max(fence);
        if self.known.is_none_or(|known| known.fence < fence) {
            self.known = Some(KnownRow {
                position,
                fence,
                since: now,
                is_read: false,
            });
        }
    }

    /// Records a read of the row. `row` is `None` if it does not exist or is unreadable.
    pub fn record_read(
        &mut self,
        position: RowPosition,
        row: Option<(&DutyWriter, Fence)>,
        now: Instant,
    ) {
        self.needs_read = false;
        let fence = row.map_or(Fence::default(), |(_, fence)| fence);
        self.highest_fence = self.highest_fence.max(fence);
        let before = self.known;
        let same = before.filter(|known| known.position == position);
        self.known = Some(KnownRow {
            position,
            fence,
            since: same.map_or(now, |known| known.since),
            is_read: true,
        });
        let is_own = row.is_some_and(|(writer, _)| *writer == self.own);
        let started = self.attempts.get(&fence).filter(|_| is_own).copied();
        match (started, self.held) {
            (_, Some(held)) if held.position == position => {}
            (Some(started), _) => {
                let from = self.lease_start(before, position, now);
                self.hold(position, fence, started, from);
            }
            (None, _) => self.held = None,
        }
    }

    fn hold(&mut self, position: RowPosition, fence: Fence, started: Instant, from: Instant) {
        self.held = Some(HeldRow {
            position,
            fence,
            from,
            until: started + self.terms.length,
        });
    }

    /// When the lease of a row that this process wrote begins. After a restore, the
    /// version that the write expected may have been that of another write, whose lease
    /// has to end first.
    fn lease_start(
        &self,
        before: Option<KnownRow>,
        position: RowPosition,
        now: Instant,
    ) -> Instant {
        if before.is_some_and(|known| known.position.era == position.era) {
            self.held.map_or(now, |held| held.from.max(now))
        } else {
            now + self.terms.takeover_delay()
        }
    }

    /// What to do to get the lease. If that is a write, it counts as started at `now`.
    /// The fence is `floor` at least.
    pub fn begin_claim(&mut self, floor: Fence, now: Instant) -> ClaimStep {
        let Some(known) = self.known.filter(|_| !self.needs_read) else {
            return ClaimStep::Read;
        };
        if let Some(held) = self.held.filter(|held| held.position == known.position) {
            if now < held.from {
                return ClaimStep::Wait(held.from.saturating_duration_since(now));
            }
        } else {
            let unchanged = now.saturating_duration_since(known.since);
            let delay = self.terms.takeover_delay();
            if unchanged <= delay {
                return ClaimStep::Wait(delay.saturating_sub(unchanged));
            }
            if !known.is_read {
                return ClaimStep::Read;
            }
        }
        let last_attempt = self.attempts.keys().next_back().copied();
        let fence = self
            .highest_fence
            .max(last_attempt.unwrap_or_default())
            .next()
            .max(floor);
        self.attempts.insert(fence, now);
        while self.attempts.len() > MAX_ATTEMPTS {
            self.attempts.pop_first();
        }
        ClaimStep::Write {
            fence,
            expected: known.position.version,
        }
    }

    /// Records the result of the write with a fence.
    pub fn record_write(&mut self, fence: Fence, outcome: WriteOutcome, now: Instant) {
        match outcome {
            WriteOutcome::Written(position) => self.record_written(fence, position, now),
            WriteOutcome::Conflict | WriteOutcome::Unknown => self.needs_read = true,
            WriteOutcome::NotWritten => {}
        }
    }

    fn record_written(&mut self, fence: Fence, position: RowPosition, now: Instant) {
        let Some(started) = self.attempts.get(&fence).copied() else {
            self.needs_read = true;
            return;
        };
        let from = self.lease_start(self.known, position, now);
        self.highest_fence = self.highest_fence.max(fence);
        self.known = Some(KnownRow {
            position,
            fence,
            since: now,
            is_read: true,
        });
        self.hold(position, fence, started, from);
    }

    /// The lease, if this instance holds it now.
    #[must_use]
    pub fn grant(&self, now: Instant) -> Option<LeaseGrant> {
        let held = self.held?;
        let is_current = held.fence >= self.highest_fence && !self.needs_read;
        (is_current && held.from <= now && now < held.until).then_some(LeaseGrant {
            fence: held.fence,
            until: held.until,
        })
    }

    /// The position and fence of the row if this instance wrote it last, as far as it
    /// knows. The lease may have ended.
    #[must_use]
    pub fn own_row(&self) -> Option<(RowPosition, Fence)> {
        let held = self.held?;
        (held.fence >= self.highest_fence).then_some((held.position, held.fence))
    }

    /// The highest fence that this instance knows of.
    #[must_use]
    pub fn highest_fence(&self) -> Fence {
        self.highest_fence
    }
}
