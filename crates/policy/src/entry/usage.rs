//! Usage reports: how many requests of each team began to run at servers, by window of
//! the time of day.
//!
//! Each instance counts what it sends and hands the counts of a closed window in to the
//! holder of the duty. The holder records their sum in the duty's row before it reports
//! it, so that the next holder repeats the same report: a window never has two different
//! ones, and one whose record was lost has none.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::ops::RangeInclusive;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use super::digest::InstanceState;
use super::duty::{
    ClaimStep, DutyLease, DutyRow, DutyWriter, Fence, LeaseGrant, LeaseTerms, RowPosition,
    WriteOutcome,
};
use super::names::{InstanceName, TeamName};
use super::placement::text_hash;

/// Time after the end of a window at which the first candidate records it, whoever has
/// handed in. Most instances hand in within [`HAND_IN_DELAY`] and [`HAND_IN_SPREAD`].
pub const RECORD_DEADLINE: Duration = Duration::from_millis(3500);

/// Time between the turns of two candidates: a digest needs up to 1.6 s to reach the
/// instances of other data centres.
pub const TURN_INTERVAL: Duration = Duration::from_millis(1750);

/// The candidates that take a turn in one window.
pub const MAX_TURNS: usize = 3;

/// Time after the end of a window until an instance hands in its counts. A server that
/// rejects a request does so within less.
pub const HAND_IN_DELAY: Duration = Duration::from_millis(250);

/// The hand-ins of the instances are spread over this time.
pub const HAND_IN_SPREAD: Duration = Duration::from_secs(1);

/// Time before the turn of a candidate at which the instances hand in to it.
pub const HAND_IN_LEAD: Duration = Duration::from_millis(1250);

/// Time before a report is late at which a candidate records a window although few
/// instances have handed in.
const LAST_CHANCE: Duration = Duration::from_millis(1500);

/// Delay before a report is sent again, and before the lease is claimed again for
/// reports that were not delivered.
const REPORT_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Time for which a holder that cannot deliver reports leaves the duty to others.
pub const YIELD_PERIOD: Duration = Duration::from_secs(30);

/// The sent reports that a digest names: those of the last write, usually one.
const TOLD_REPORTS: usize = 2;

/// The difference to the time of the fleet at which an instance corrects its own.
const MAX_CLOCK_DIFFERENCE_MS: i64 = 500;

/// The time between a question and its response beyond which the response does not
/// correct the time: it may be as old as that.
const MAX_CLOCK_ROUND_TRIP: Duration = Duration::from_millis(500);

/// The senders without which the fleet's time is not known.
const MIN_CLOCK_SENDERS: usize = 3;

/// Messages of a sender that arrive within this time count as one sample of its time.
/// All messages that waited for an instance that stood still arrive at once.
const CLOCK_SAMPLE_SPAN_MS: i64 = 1000;

/// The samples without which the time of a sender is not known.
const MIN_CLOCK_SAMPLES: usize = 2;

/// The samples of a sender's time that are kept.
const KEPT_CLOCK_SAMPLES: usize = 3;

/// The number of a window: window k begins k times its length after the Unix epoch.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct WindowNumber(pub u64);

/// Milliseconds since the Unix epoch.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct UnixMillis(pub i64);

/// What the settings say about usage reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UsageTerms {
    /// The length of a window.
    pub window: Duration,
    /// Time after the end of a window at which its report is late.
    pub late: Duration,
    /// The lease of the duty.
    pub lease: LeaseTerms,
    /// The longest time that one call to the receiver of reports takes.
    pub call_timeout: Duration,
}

impl UsageTerms {
    fn window_ms(&self) -> i64 {
        i64::try_from(self.window.as_millis())
            .unwrap_or(i64::MAX)
            .max(1)
    }

    /// The window that contains a time.
    #[must_use]
    pub fn window_at(&self, time: UnixMillis) -> WindowNumber {
        WindowNumber(u64::try_from(time.0 / self.window_ms()).unwrap_or(0))
    }

    /// The time since the end of a window; `None` if it has not ended.
    #[must_use]
    pub fn since_end(&self, window: WindowNumber, time: UnixMillis) -> Option<Duration> {
        let number = i64::try_from(window.0).ok()?;
        let end = number.checked_add(1)?.checked_mul(self.window_ms())?;
        u64::try_from(time.0.checked_sub(end)?)
            .ok()
            .map(Duration::from_millis)
    }

    /// The closed windows whose reports are not yet late, oldest first, with the time since
    /// their end.
    pub fn timely_windows(
        &self,
        time: UnixMillis,
    ) -> impl Iterator<Item = (WindowNumber, Duration)> + use<> {
        let terms = *self;
        let current = self.window_at(time).0;
        (current.saturating_sub(self.windows_until_late())..current)
            .map(WindowNumber)
            .filter_map(move |window| Some((window, terms.since_end(window, time)?)))
            .filter(move |(_, since)| *since < terms.late)
    }

    fn windows_until_late(&self) -> u64 {
        u64::try_from(
            self.late
                .as_millis()
                .div_ceil(self.window.as_millis().max(1)),
        )
        .unwrap_or(u64::MAX)
    }

    /// The number of closed windows of which counts and reports are kept: until twice the
    /// time at which they are late.
    fn kept_count(&self) -> u64 {
        self.windows_until_late().saturating_mul(2)
    }

    /// The windows whose counts are kept. Hand-ins of other windows are dropped, also if
    /// they are too far ahead.
    #[must_use]
    pub fn kept_windows(&self, time: UnixMillis) -> RangeInclusive<WindowNumber> {
        let current = self.window_at(time).0;
        let kept = self.kept_count();
        WindowNumber(current.saturating_sub(kept))..=WindowNumber(current.saturating_add(kept))
    }

    fn max_pending_reports(&self) -> usize {
        usize::try_from(self.kept_count()).unwrap_or(usize::MAX)
    }

    /// The time after the end of a window at which a candidate records it.
    #[must_use]
    pub fn turn(&self, rank: usize) -> Duration {
        RECORD_DEADLINE + TURN_INTERVAL * u32::try_from(rank).unwrap_or(u32::MAX)
    }
}

/// The requests of each team.
pub type TeamCounts = BTreeMap<TeamName, u64>;

/// Identifies the content of a report.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportHash(u64);

/// The usage of one window.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageReport {
    /// The window.
    pub window: WindowNumber,
    /// The requests of each team that began to run in it.
    pub counts: TeamCounts,
}

impl UsageReport {
    fn hash(&self) -> ReportHash {
        let text = self
            .counts
            .iter()
            .fold(String::new(), |text, (team, count)| {
                text + team.as_str() + "=" + &count.to_string() + ";"
            });
        ReportHash(text_hash(&text))
    }
}

/// What the duty's row keeps.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageRecord {
    /// The last window that was recorded. No earlier one is recorded any more.
    pub last: Option<WindowNumber>,
    /// The era of the table that the writer knew.
    pub era: Option<u64>,
    /// The number of instances that handed in counts of the last window.
    pub reporters: usize,
    /// The reports without a known acknowledgement.
    pub pending: Vec<UsageReport>,
}

/// The row of usage reports.
pub type UsageRow = DutyRow<UsageRecord>;

/// The time of day, as the time since the start of the process. Steps of the time of day
/// have no effect.
#[derive(Debug, Clone, Copy)]
pub struct SteadyTime {
    start: Instant,
    start_ms: i64,
}

impl SteadyTime {
    /// Creates a clock from the time of day at `now`.
    #[must_use]
    pub fn new(now: Instant, time: UnixMillis) -> Self {
        Self {
            start: now,
            start_ms: time.0,
        }
    }

    /// The time of day at `now`.
    #[must_use]
    pub fn at(&self, now: Instant) -> UnixMillis {
        let since = now.saturating_duration_since(self.start).as_millis();
        UnixMillis(
            self.start_ms
                .saturating_add(i64::try_from(since).unwrap_or(i64::MAX)),
        )
    }

    /// Takes over the fleet's time, which was asked for at `asked_at`, if the difference is
    /// large. Returns the correction.
    pub fn correct(&mut self, fleet: UnixMillis, asked_at: Instant, now: Instant) -> Option<i64> {
        if now.saturating_duration_since(asked_at) > MAX_CLOCK_ROUND_TRIP {
            return None;
        }
        let difference = fleet.0.saturating_sub(self.at(now).0);
        if difference.abs() <= MAX_CLOCK_DIFFERENCE_MS {
            return None;
        }
        self.start_ms = self.start_ms.saturating_add(difference);
        Some(difference)
    }
}

/// What this instance sent to servers, by window and team.
#[derive(Debug, Default)]
pub struct UsageCounter {
    windows: BTreeMap<WindowNumber, TeamCounts>,
}

impl UsageCounter {
    /// Counts a request that is sent to a server.
    pub fn record_sent(&mut self, window: WindowNumber, team: &TeamName) {
        let counts = self.windows.entry(window).or_default();
        match counts.get_mut(team) {
            Some(count) => *count += 1,
            None => drop(counts.insert(team.clone(), 1)),
        }
    }

    /// Takes back a request that did not run.
    pub fn record_not_run(&mut self, window: WindowNumber, team: &TeamName) {
        if let Some(count) = self
            .windows
            .get_mut(&window)
            .and_then(|counts| counts.get_mut(team))
        {
            *count = count.saturating_sub(1);
        }
    }

    /// The counts of a window, without teams that sent nothing.
    #[must_use]
    pub fn counts(&self, window: WindowNumber) -> TeamCounts {
        let counts = self.windows.get(&window).into_iter().flatten();
        counts
            .filter(|(_, count)| **count > 0)
            .map(|(team, count)| (team.clone(), *count))
            .collect()
    }

    /// Drops windows that are no longer reported.
    pub fn expire(&mut self, kept: &RangeInclusive<WindowNumber>) {
        self.windows = self.windows.split_off(kept.start());
    }
}

/// One part of the counts that an instance hands in.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HandIn {
    /// The process whose counts these are.
    pub writer: DutyWriter,
    /// The window.
    pub window: WindowNumber,
    /// The number of this part, from zero.
    pub part: u16,
    /// The number of parts.
    pub parts: u16,
    /// The sender's time when it sent the part.
    pub sent_at: UnixMillis,
    /// The counts of this part.
    pub counts: TeamCounts,
}

#[derive(Debug, Default)]
struct WindowTotal {
    counts: TeamCounts,
    /// The parts that arrived, by process.
    parts: BTreeMap<(InstanceName, i64), BTreeSet<u16>>,
    complete: BTreeSet<InstanceName>,
}

#[derive(Debug, Clone, Copy)]
struct ClockSample {
    /// When the first message arrived.
    since: UnixMillis,
    /// The highest difference of the sender's time to this instance's, in milliseconds.
    difference: i64,
}

/// The time of a process in comparison with that of this instance.
#[derive(Debug, Default)]
struct SenderClock {
    start: i64,
    samples: VecDeque<ClockSample>,
}

impl SenderClock {
    fn record(&mut self, difference: i64, now: UnixMillis) {
        if let Some(last) = self.samples.back_mut()
            && now.0.saturating_sub(last.since.0) < CLOCK_SAMPLE_SPAN_MS
        {
            last.difference = last.difference.max(difference);
            return;
        }
        self.samples.push_back(ClockSample {
            since: now,
            difference,
        });
        while self.samples.len() > KEPT_CLOCK_SAMPLES {
            self.samples.pop_front();
        }
    }

    /// The difference to this instance's time. The time that a message travels or waits
    /// makes its difference lower, never higher.
    fn difference(&self) -> Option<i64> {
        let differences = self.samples.iter().map(|sample| sample.difference);
        differences
            .max()
            .filter(|_| self.samples.len() >= MIN_CLOCK_SAMPLES)
    }
}

/// The counts that instances handed in.
#[derive(Debug, Default)]
pub struct UsageCollector {
    windows: BTreeMap<WindowNumber, WindowTotal>,
    clocks: BTreeMap<InstanceName, SenderClock>,
}

impl UsageCollector {
    /// Adds a part; one that is known has no effect.
    pub fn add(&mut self, part: &HandIn) {
        let total = self.windows.entry(part.window).or_default();
        let writer = (part.writer.name.clone(), part.writer.start);
        let arrived = total.parts.entry(writer).or_default();
        if !arrived.insert(part.part) {
            return;
        }
        if arrived.len() >= usize::from(part.parts) {
            total.complete.insert(part.writer.name.clone());
        }
        for (team, count) in &part.counts {
            let sum = total.counts.entry(team.clone()).or_insert(0);
            *sum = sum.saturating_add(*count);
        }
    }

    /// Records the time of a sender when its message arrived.
    pub fn record_clock(&mut self, sender: &DutyWriter, sent_at: UnixMillis, now: UnixMillis) {
        let clock = self.clocks.entry(sender.name.clone()).or_default();
        if clock.start != sender.start {
            *clock = SenderClock {
                start: sender.start,
                samples: VecDeque::new(),
            };
        }
        clock.record(sent_at.0.saturating_sub(now.0), now);
    }

    /// The fleet's time: the median of the senders' times and this instance's.
    #[must_use]
    pub fn fleet_time(&self, now: UnixMillis) -> Option<UnixMillis> {
        let clocks = self.clocks.values();
        let mut differences: Vec<i64> = clocks.filter_map(SenderClock::difference).collect();
        if differences.len() < MIN_CLOCK_SENDERS {
            return None;
        }
        differences.push(0);
        differences.sort_unstable();
        let median = differences[differences.len() / 2];
        Some(UnixMillis(now.0.saturating_add(median)))
    }

    /// Forgets the senders' times, after this instance's own was corrected.
    pub fn forget_clocks(&mut self) {
        self.clocks.clear();
    }

    /// The number of instances whose counts of a window are complete.
    #[must_use]
    pub fn reporters(&self, window: WindowNumber) -> usize {
        let total = self.windows.get(&window);
        total.map_or(0, |total| total.complete.len())
    }

    /// Whether all of these instances have handed in a window.
    pub fn has_all<'a>(
        &self,
        window: WindowNumber,
        mut names: impl Iterator<Item = &'a InstanceName>,
    ) -> bool {
        self.windows
            .get(&window)
            .is_some_and(|total| names.all(|name| total.complete.contains(name)))
    }

    fn report(&self, window: WindowNumber) -> Option<UsageReport> {
        let counts = self.windows.get(&window)?.counts.clone();
        Some(UsageReport { window, counts })
    }

    /// Drops windows that are no longer reported, and those too far ahead.
    pub fn expire(&mut self, kept: &RangeInclusive<WindowNumber>) {
        self.windows.retain(|window, _| kept.contains(window));
    }
}

/// What the holder tells the other instances in its digest.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HolderSection {
    /// The row that the holder wrote.
    pub position: RowPosition,
    /// The fence of that write.
    pub fence: Fence,
    /// The last window recorded.
    pub last: Option<WindowNumber>,
    /// The last reports that it sent.
    pub sent: Vec<(WindowNumber, ReportHash)>,
    /// Whether the holder cannot deliver reports and leaves the duty to others.
    pub yields: bool,
}

/// The instances that may take the duty, first the one whose turn comes first: the holder
/// unless it yields, the others by name, and last a holder that yields.
#[must_use]
pub fn candidates<'a>(
    instances: impl Iterator<Item = (&'a InstanceName, InstanceState)>,
    holder: Option<(&InstanceName, bool)>,
) -> Vec<InstanceName> {
    let mut ranked: Vec<(u8, &InstanceName)> = instances
        .filter(|(_, state)| *state != InstanceState::Leaving)
        .map(|(name, state)| {
            let rank = match holder {
                Some((holder, yields)) if holder == name => {
                    if yields {
                        4
                    } else {
                        0
                    }
                }
                _ if state == InstanceState::Ready => 1,
                _ => 2,
            };
            (rank, name)
        })
        .collect();
    ranked.sort_unstable();
    let first = ranked.into_iter().take(MAX_TURNS);
    first.map(|(_, name)| name.clone()).collect()
}

/// The result of sending a report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DeliveryOutcome {
    /// The receiver has the report.
    Accepted,
    /// The receiver will never accept it.
    Refused,
    /// It has to be sent again; it may have arrived.
    Unknown,
}

/// What the instance does next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum UsageStep {
    /// Nothing for now.
    Idle,
    /// Read the row.
    Read,
    /// Write the row under the condition that it has the expected version.
    Write {
        /// The expected version; zero if the row must not exist.
        expected: u64,
        /// The row.
        row: UsageRow,
    },
    /// Send a report. The call must end before the lease does.
    Send {
        /// The lease.
        grant: LeaseGrant,
        /// The report.
        report: UsageReport,
    },
}

/// What an instance knows of the fleet when it decides on its next step.
#[derive(Debug, Clone, Copy)]
pub struct UsageView<'a> {
    /// The time of day.
    pub time: UnixMillis,
    /// The place of this instance among the candidates.
    pub rank: Option<usize>,
    /// The live instances, this one included.
    pub live: &'a [InstanceName],
}

/// The duty of reporting usage, as one instance performs it or waits for it.
#[derive(Debug)]
pub struct UsageDuty {
    own: DutyWriter,
    terms: UsageTerms,
    lease: DutyLease,
    /// The record at the position that the lease knows, if it was read or written.
    record: UsageRecord,
    /// The record of the write that is in progress or unconfirmed.
    written: Option<UsageRecord>,
    /// The reports of the record that the receiver accepted or refused for good.
    delivered: BTreeSet<WindowNumber>,
    /// The reports that this instance or another one sent. After a restore, the row may
    /// have another report of the same window, which must not be sent.
    sent: BTreeMap<WindowNumber, ReportHash>,
    /// The last window that this instance recorded, read or heard of.
    last_known: Option<WindowNumber>,
    /// The era in which the row was last read, written or heard of.
    era: Option<u64>,
    has_read: bool,
    retry_at: Option<Instant>,
    has_failed_since_delivery: bool,
    yields_until: Option<Instant>,
}

impl UsageDuty {
    /// Creates the duty of an instance that knows nothing of the row.
    #[must_use]
    pub fn new(own: DutyWriter, terms: UsageTerms) -> Self {
        Self {
            lease: DutyLease::new(own.clone(), terms.lease),
            own,
            terms,
            record: UsageRecord::default(),
            written: None,
            delivered: BTreeSet::new(),
            sent: BTreeMap::new(),
            last_known: None,
            era: None,
            has_read: false,
            retry_at: None,
            has_failed_since_delivery: false,
            yields_until: None,
        }
    }

    /// The last window that is known to be recorded. Earlier ones are not recorded any
    /// more.
    #[must_use]
    pub fn last_known(&self) -> Option<WindowNumber> {
        self.last_known
    }

    /// Whether the counts of a window are still wanted.
    fn is_open(&self, window: WindowNumber) -> bool {
        self.last_known.is_none_or(|last| window > last)
    }

    /// The reports that wait for their delivery.
    #[must_use]
    pub fn pending_reports(&self) -> usize {
        self.pending().count()
    }

    fn pending(&self) -> impl Iterator<Item = &UsageReport> {
        let reports = self.record.pending.iter();
        reports.filter(|report| {
            let sent = self.sent.get(&report.window);
            !self.delivered.contains(&report.window)
                && sent.is_none_or(|sent| *sent == report.hash())
        })
    }

    /// What the digest says while this instance wrote the row last.
    #[must_use]
    pub fn section(&self, now: Instant) -> Option<HolderSection> {
        let (position, fence) = self.lease.own_row()?;
        Some(HolderSection {
            position,
            fence,
            last: self.last_known,
            sent: self
                .sent
                .iter()
                .rev()
                .take(TOLD_REPORTS)
                .map(|(window, hash)| (*window, *hash))
                .collect(),
            yields: self.yields(now),
        })
    }

    /// Whether this instance leaves the duty to others because it cannot deliver.
    #[must_use]
    pub fn yields(&self, now: Instant) -> bool {
        self.yields_until.is_some_and(|until| now < until)
    }

    /// The lease, if this instance holds it now.
    #[must_use]
    pub fn grant(&self, now: Instant) -> Option<LeaseGrant> {
        self.lease.grant(now)
    }

    /// Records what the holder says in its digest.
    pub fn record_heard(&mut self, section: &HolderSection, now: Instant) {
        self.lease
            .record_heard(section.position, section.fence, now);
        self.last_known = self.last_known.max(section.last);
        self.era = self.era.max(section.position.era);
        for (window, hash) in &section.sent {
            self.record_sent(*window, *hash);
        }
    }

    fn record_sent(&mut self, window: WindowNumber, hash: ReportHash) {
        self.sent.entry(window).or_insert(hash);
        let kept = self.terms.max_pending_reports().saturating_mul(2);
        while self.sent.len() > kept {
            self.sent.pop_first();
        }
    }

    /// Records a read of the row at a time of day.
    pub fn record_read(
        &mut self,
        position: RowPosition,
        row: Option<UsageRow>,
        time: UnixMillis,
        now: Instant,
    ) {
        self.record_era(position, row.as_ref(), time);
        let writer = row.as_ref().map(|row| (&row.writer, row.fence));
        self.lease.record_read(position, writer, now);
        let record = row.map(|row| row.record).unwrap_or_default();
        self.set_record(record, position);
    }

    /// After a restore of the table, records of the windows until now may be lost whose
    /// reports were sent. These windows are not recorded any more.
    /// The writer of a row of this era has done the same.
    fn record_era(&mut self, position: RowPosition, row: Option<&UsageRow>, time: UnixMillis) {
        self.has_read = true;
        if position.era <= self.era {
            return;
        }
        self.era = position.era;
        if row.is_none_or(|row| row.record.era != position.era) {
            let current = self.terms.window_at(time);
            self.last_known = self.last_known.max(Some(current));
        }
    }

    fn set_record(&mut self, mut record: UsageRecord, position: RowPosition) {
        // A write that crossed a restore may repeat a version that was given out before
        // it, and with it a window of which another report was sent.
        if record.era != position.era {
            record.pending.clear();
        }
        self.last_known = self.last_known.max(record.last);
        let windows: BTreeSet<WindowNumber> =
            record.pending.iter().map(|report| report.window).collect();
        self.delivered.retain(|window| windows.contains(window));
        self.record = record;
    }

    /// Records the result of a write.
    pub fn record_write(&mut self, fence: Fence, outcome: WriteOutcome, now: Instant) {
        self.lease.record_write(fence, outcome, now);
        let written = self.written.take();
        if let (WriteOutcome::Written(position), Some(record)) = (outcome, written) {
            self.era = self.era.max(position.era);
            self.set_record(record, position);
        }
        self.retry_at = match outcome {
            WriteOutcome::Written(_) | WriteOutcome::Conflict => None,
            WriteOutcome::NotWritten | WriteOutcome::Unknown => Some(now + REPORT_RETRY_DELAY),
        };
    }

    /// Delays the next step after a read that failed.
    pub fn record_read_failed(&mut self, now: Instant) {
        self.retry_at = Some(now + REPORT_RETRY_DELAY);
    }

    /// Records the result of sending a report.
    pub fn record_delivery(
        &mut self,
        window: WindowNumber,
        outcome: DeliveryOutcome,
        now: Instant,
    ) {
        match outcome {
            DeliveryOutcome::Accepted | DeliveryOutcome::Refused => {
                self.delivered.insert(window);
                self.has_failed_since_delivery = false;
                self.yields_until = None;
            }
            DeliveryOutcome::Unknown => {
                self.has_failed_since_delivery = true;
                self.retry_at = Some(now + REPORT_RETRY_DELAY);
            }
        }
    }

    /// Decides on the next step. A write counts as started at `now`, by a clock that
    /// counts suspension.
    pub fn next_step(
        &mut self,
        view: &UsageView<'_>,
        collector: &UsageCollector,
        now: Instant,
    ) -> UsageStep {
        if self.retry_at.is_some_and(|at| now < at) {
            return UsageStep::Idle;
        }
        let next_report = self.pending().next().cloned();
        if let Some(grant) = self.lease.grant(now)
            && let Some(report) = next_report
            && now + self.terms.call_timeout <= grant.until
        {
            self.record_sent(report.window, report.hash());
            return UsageStep::Send { grant, report };
        }
        // The first read tells the era, before there are windows to record.
        let is_first_read = !self.has_read && self.era.is_none() && view.rank.is_some();
        if is_first_read {
            return UsageStep::Read;
        }
        if !self.wants_lease(view, collector, now) {
            return UsageStep::Idle;
        }
        // A table that was restored from an older copy may have lost later fences. Writes
        // are further apart than the unit of the floor.
        let floor = Fence(u64::try_from(view.time.0 / 1000).unwrap_or(0));
        match self.lease.begin_claim(floor, now) {
            ClaimStep::Wait(_) => UsageStep::Idle,
            ClaimStep::Read => UsageStep::Read,
            ClaimStep::Write { fence, expected } => {
                let record = self.next_record(view, collector);
                self.written = Some(record.clone());
                UsageStep::Write {
                    expected,
                    row: UsageRow {
                        writer: self.own.clone(),
                        fence,
                        record,
                    },
                }
            }
        }
    }

    fn wants_lease(
        &mut self,
        view: &UsageView<'_>,
        collector: &UsageCollector,
        now: Instant,
    ) -> bool {
        let Some(rank) = view.rank else {
            return false;
        };
        if self.lease.grant(now).is_some() {
            return self.has_due_window(rank, view, collector);
        }
        if self.lease.own_row().is_some() && self.pending().next().is_some() {
            // The lease ended before all reports were delivered.
            if self.has_failed_since_delivery && !self.yields(now) {
                self.yields_until = Some(now + YIELD_PERIOD);
            }
            if !self.yields(now) || rank == 0 {
                return self.has_timely_report(view);
            }
        }
        self.has_due_window(rank, view, collector)
    }

    /// Whether a report that was not delivered is not yet useless.
    fn has_timely_report(&self, view: &UsageView<'_>) -> bool {
        self.pending()
            .any(|report| !self.is_useless(report.window, view.time))
    }

    fn is_useless(&self, window: WindowNumber, time: UnixMillis) -> bool {
        self.terms
            .since_end(window, time)
            .is_some_and(|since| since > self.terms.late * 2)
    }

    /// The closed windows that are not recorded and whose report is not yet late, with the
    /// time since their end.
    pub fn due_windows(&self, time: UnixMillis) -> impl Iterator<Item = (WindowNumber, Duration)> {
        let windows = self.terms.timely_windows(time);
        windows.filter(|(window, _)| self.is_open(*window))
    }

    fn has_due_window(
        &self,
        rank: usize,
        view: &UsageView<'_>,
        collector: &UsageCollector,
    ) -> bool {
        self.due_windows(view.time).any(|(window, since)| {
            let reporters = collector.reporters(window);
            if reporters == 0 {
                return false;
            }
            // Few hand-ins: this instance may be cut off from the others.
            if reporters * 2 < self.record.reporters {
                return since + LAST_CHANCE >= self.terms.late;
            }
            since >= self.terms.turn(rank)
                || (rank == 0 && collector.has_all(window, view.live.iter()))
        })
    }

    fn next_record(&self, view: &UsageView<'_>, collector: &UsageCollector) -> UsageRecord {
        let mut pending: Vec<UsageReport> = self
            .pending()
            .filter(|report| !self.is_useless(report.window, view.time))
            .cloned()
            .collect();
        let mut last = self.last_known;
        let mut reporters = self.record.reporters;
        for (window, since) in self.due_windows(view.time) {
            let Some(report) = collector.report(window) else {
                continue;
            };
            // A later window may still receive the counts of most instances.
            let is_closed = since >= RECORD_DEADLINE || collector.has_all(window, view.live.iter());
            if is_closed {
                pending.push(report);
                last = last.max(Some(window));
                reporters = collector.reporters(window);
            }
        }
        let excess = pending
            .len()
            .saturating_sub(self.terms.max_pending_reports());
        UsageRecord {
            last,
            era: self.era,
            reporters,
            pending: pending.split_off(excess),
        }
    }
}
