//! Usage reports: counts the requests of this instance, hands them in to the holder of
//! the duty, and performs the duty while this instance holds it.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime};

use futures_util::future::LocalBoxFuture;
use serde::{Deserialize, Serialize};
use serde_json::json;
use tarragonpulley_policy::entry::config::TeamRule;
use tarragonpulley_policy::entry::digest::{STARTUP_PERIOD, SectionTag};
use tarragonpulley_policy::entry::duty::{
    DutyWriter, Fence, LeaseGrant, RowPosition, WriteOutcome,
};
use tarragonpulley_policy::entry::names::InstanceName;
use tarragonpulley_policy::entry::placement::text_hash;
use tarragonpulley_policy::entry::usage::{
    DeliveryOutcome, HAND_IN_DELAY, HAND_IN_LEAD, HAND_IN_SPREAD, HandIn, HolderSection,
    SteadyTime, TeamCounts, UnixMillis, UsageCollector, UsageCounter, UsageDuty, UsageReport,
    UsageRow, UsageStep, UsageTerms, UsageView, WindowNumber, candidates,
};

use crate::instance::Instance;
use crate::metrics::ReportLabel;
use crate::peers::{PeerMessage, decode_datagram, decode_section, encode};
use crate::supervise::supervise;
use crate::table::{TableBatch, TableError, TableKind};

/// The key of the row of this duty.
const ROW_KEY: &str = "usage";

/// Interval at which the tasks check what is due.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Interval at which the end of the lease is checked while a report is sent. Timers do
/// not count suspension, the clock of the lease does.
const LEASE_CHECK_INTERVAL: Duration = Duration::from_millis(25);

/// Time after which a part that was not acknowledged is sent again.
const HAND_IN_RETRY_DELAY: Duration = Duration::from_millis(700);

/// The maximum size of the counts in one part, in bytes. With the other fields the
/// datagram stays below the usual path MTU.
const MAX_PART_BYTES: usize = 1100;

/// The size of an encoded count, beside the name of its team.
const COUNT_BYTES: usize = 6;

/// How often an instance that shuts down sends its last counts.
const LAST_HAND_INS: u32 = 3;

/// Why a report was not accepted.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{reason}")]
pub struct DeliveryError {
    /// Whether the receiver will never accept the report.
    pub is_final: bool,
    /// Description for the log.
    pub reason: String,
}

/// Receives the usage reports.
pub trait UsageReceiver {
    /// Sends a report. The same report is always sent as the same bytes.
    fn deliver<'a>(
        &'a self,
        holder: &'a InstanceName,
        fence: Fence,
        report: &'a UsageReport,
    ) -> LocalBoxFuture<'a, Result<(), DeliveryError>>;
}

/// A message about usage between instances.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) enum UsageMessage {
    /// Counts of the sender.
    HandIn(HandIn),
    /// The receiver has a part.
    Received {
        window: WindowNumber,
        part: u16,
        /// The time of the fleet, if the receiver knows it.
        fleet_time: Option<UnixMillis>,
    },
}

/// The holder as others describe it.
#[derive(Debug, Clone)]
struct HeardHolder {
    name: InstanceName,
    fence: Fence,
    yields: bool,
}

#[derive(Debug, Default)]
struct SentParts {
    acknowledged: BTreeSet<u16>,
    /// An acknowledgement may answer any of the messages since then.
    first_sent_at: Option<Instant>,
    sent_at: Option<Instant>,
}

/// The state of the usage reports of an instance.
pub(crate) struct UsageReporting {
    terms: UsageTerms,
    own: DutyWriter,
    receiver: Rc<dyn UsageReceiver>,
    time: RefCell<SteadyTime>,
    counter: RefCell<UsageCounter>,
    collector: RefCell<UsageCollector>,
    duty: RefCell<UsageDuty>,
    heard_holder: RefCell<Option<HeardHolder>>,
    /// What was handed in, by window and receiver.
    sent: RefCell<BTreeMap<(WindowNumber, SocketAddr), SentParts>>,
    /// Whether the log says that this instance is the holder.
    is_logged_holder: Cell<bool>,
}

/// An instance to which counts are handed in.
enum HandInTarget {
    Own,
    Peer(SocketAddr),
}

impl UsageReporting {
    /// Starts the tasks of the usage reports, if the settings have their terms.
    pub(crate) fn start(instance: &Rc<Instance>, receiver: Rc<dyn UsageReceiver>) {
        let Some(terms) = instance.options.borrow().usage else {
            return;
        };
        let record = instance.peers.borrow().own().clone();
        let own = DutyWriter {
            name: record.name,
            start: record.start,
        };
        let since_epoch = instance
            .proof_clock
            .system()
            .duration_since(SystemTime::UNIX_EPOCH)
            .unwrap_or_default();
        let start_ms = i64::try_from(since_epoch.as_millis()).unwrap_or(i64::MAX);
        let time = SteadyTime::new(instance.proof_now(), UnixMillis(start_ms));
        instance.usage.get_or_init(|| Self {
            terms,
            receiver,
            time: RefCell::new(time),
            counter: RefCell::default(),
            collector: RefCell::default(),
            duty: RefCell::new(UsageDuty::new(own.clone(), terms)),
            own,
            heard_holder: RefCell::default(),
            sent: RefCell::default(),
            is_logged_holder: Cell::new(false),
        });
        supervise(instance, "usage hand-in", Instance::hand_in_usage);
        supervise(instance, "usage reports", Instance::report_usage);
    }

    fn time(&self, now: Instant) -> UnixMillis {
        self.time.borrow().at(now)
    }

    fn own_parts(&self, window: WindowNumber, now: Instant) -> Vec<HandIn> {
        let counts = self.counter.borrow().counts(window);
        let groups = split_counts(counts);
        let parts = u16::try_from(groups.len()).unwrap_or(u16::MAX);
        let sent_at = self.time(now);
        (0..parts)
            .zip(groups)
            .map(|(part, counts)| HandIn {
                writer: self.own.clone(),
                window,
                part,
                parts,
                sent_at,
                counts,
            })
            .collect()
    }

    /// The windows of which counts are due, with the time since their end.
    fn closed_windows(&self, now: Instant) -> Vec<(WindowNumber, Duration)> {
        let time = self.time(now);
        self.duty.borrow().due_windows(time).collect()
    }
}

/// Splits counts into parts of at most [`MAX_PART_BYTES`]; without counts, one empty part.
fn split_counts(counts: TeamCounts) -> Vec<TeamCounts> {
    let mut groups = vec![TeamCounts::new()];
    let mut size = 0;
    for (team, count) in counts {
        let bytes = team.as_str().len() + COUNT_BYTES;
        if size + bytes > MAX_PART_BYTES {
            groups.push(TeamCounts::new());
            size = 0;
        }
        size += bytes;
        if let Some(group) = groups.last_mut() {
            group.insert(team, count);
        }
    }
    groups
}

fn row_position(era: Option<crate::table::TableEra>, version: u64) -> RowPosition {
    RowPosition {
        era: era.map(crate::table::TableEra::number),
        version,
    }
}

impl Instance {
    /// Counts a request that is about to be sent to a server. Returns the window.
    pub(crate) fn record_usage_sent(&self, team: Option<&TeamRule>) -> Option<WindowNumber> {
        let usage = self.usage.get()?;
        let team = &team?.name;
        let window = usage.terms.window_at(usage.time(self.proof_now()));
        usage.counter.borrow_mut().record_sent(window, team);
        Some(window)
    }

    /// Takes back a request that did not run.
    pub(crate) fn record_usage_not_run(&self, team: Option<&TeamRule>, window: WindowNumber) {
        if let (Some(usage), Some(team)) = (self.usage.get(), team) {
            usage
                .counter
                .borrow_mut()
                .record_not_run(window, &team.name);
        }
    }

    /// The section of the digest while this instance wrote the duty's row last.
    pub(crate) fn encode_usage_section(&self) -> Option<Vec<u8>> {
        let usage = self.usage.get()?;
        let section = usage.duty.borrow().section(self.proof_now())?;
        self.encode_section(&section)
    }

    /// Learns from the digests who holds the duty.
    fn hear_usage_holder(&self, usage: &UsageReporting) {
        let now = self.proof_now();
        let peers = self.peers.borrow();
        let mut heard = usage.heard_holder.borrow_mut();
        for digest in peers.retained_digests(self.now()) {
            let Some(section) = decode_section::<HolderSection>(digest, SectionTag::DUTIES) else {
                continue;
            };
            let Ok(section) = section else {
                continue;
            };
            if heard
                .as_ref()
                .is_none_or(|known| known.fence <= section.fence)
            {
                *heard = Some(HeardHolder {
                    name: digest.record.name.clone(),
                    fence: section.fence,
                    yields: section.yields,
                });
            }
            usage.duty.borrow_mut().record_heard(&section, now);
        }
    }

    /// The instances that may take the duty, in the order of their turns.
    fn usage_candidates(&self, usage: &UsageReporting) -> Vec<InstanceName> {
        let own_section = usage.duty.borrow().section(self.proof_now());
        let heard = usage.heard_holder.borrow();
        let holder = match (&own_section, heard.as_ref()) {
            (Some(own), heard) if heard.is_none_or(|heard| heard.fence <= own.fence) => {
                Some((&usage.own.name, own.yields))
            }
            (_, Some(heard)) => Some((&heard.name, heard.yields)),
            (_, None) => None,
        };
        let peers = self.peers.borrow();
        let live = peers
            .live_digests(self.now())
            .map(|digest| (&digest.record.name, digest.state));
        candidates(live.chain([(&usage.own.name, self.state())]), holder)
    }

    /// The instances that get the counts of a window so long after its end.
    fn hand_in_targets(&self, usage: &UsageReporting, since: Duration) -> Vec<HandInTarget> {
        let names = self.usage_candidates(usage);
        let due = names
            .into_iter()
            .enumerate()
            .filter(|(rank, _)| *rank == 0 || since + HAND_IN_LEAD >= usage.terms.turn(*rank));
        let peers = self.peers.borrow();
        let now = self.now();
        due.filter_map(|(_, name)| {
            if name == usage.own.name {
                return Some(HandInTarget::Own);
            }
            let mut live = peers.live_digests(now);
            let digest = live.find(|digest| digest.record.name == name)?;
            Some(HandInTarget::Peer(digest.record.peer))
        })
        .collect()
    }

    /// Hands in the counts of closed windows until the process ends.
    async fn hand_in_usage(self: Rc<Self>) {
        let Some(usage) = self.usage.get() else {
            return;
        };
        let spread = u64::try_from(HAND_IN_SPREAD.as_millis()).unwrap_or(1);
        let jitter = text_hash(usage.own.name.as_str()) % spread;
        let delay = HAND_IN_DELAY + Duration::from_millis(jitter);
        loop {
            self.hear_usage_holder(usage);
            let now = self.proof_now();
            let kept = usage.terms.kept_windows(usage.time(now));
            usage.counter.borrow_mut().expire(&kept);
            usage.collector.borrow_mut().expire(&kept);
            usage
                .sent
                .borrow_mut()
                .retain(|(window, _), _| kept.contains(window));
            let windows = usage.closed_windows(now);
            self.update_usage_metrics(usage, &windows);
            for (window, since) in windows {
                if since < delay {
                    continue;
                }
                for target in self.hand_in_targets(usage, since) {
                    self.hand_in_to(usage, window, &target).await;
                }
            }
            actix_rt::time::sleep(CHECK_INTERVAL).await;
        }
    }

    fn update_usage_metrics(&self, usage: &UsageReporting, open: &[(WindowNumber, Duration)]) {
        let is_holder = usage.duty.borrow().section(self.proof_now()).is_some();
        self.metrics.usage_holder.set(i64::from(is_holder));
        let oldest = open.first().map_or(0, |(_, since)| since.as_millis());
        let oldest = i64::try_from(oldest).unwrap_or(i64::MAX);
        self.metrics.usage_unrecorded_ms.set(oldest);
        if usage.is_logged_holder.replace(is_holder) != is_holder {
            let event = if is_holder {
                "usage_duty_taken"
            } else {
                "usage_duty_lost"
            };
            let duty = usage.duty.borrow();
            let last = duty.last_known().map(|window| window.0);
            self.log.event(event, json!({"last_window": last}));
        }
    }

    async fn hand_in_to(
        &self,
        usage: &UsageReporting,
        window: WindowNumber,
        target: &HandInTarget,
    ) {
        let now = self.proof_now();
        let parts = usage.own_parts(window, now);
        let address = match target {
            HandInTarget::Own => {
                let mut collector = usage.collector.borrow_mut();
                for part in &parts {
                    collector.add(part);
                }
                return;
            }
            HandInTarget::Peer(address) => *address,
        };
        let missing: Vec<HandIn> = {
            let mut sent = usage.sent.borrow_mut();
            let entry = sent.entry((window, address)).or_default();
            let is_due = entry
                .sent_at
                .is_none_or(|at| now.saturating_duration_since(at) >= HAND_IN_RETRY_DELAY);
            if !is_due {
                return;
            }
            entry.first_sent_at.get_or_insert(now);
            entry.sent_at = Some(now);
            let parts = parts.into_iter();
            parts
                .filter(|part| !entry.acknowledged.contains(&part.part))
                .collect()
        };
        for part in missing {
            let message = PeerMessage::Usage(UsageMessage::HandIn(part));
            self.send_message(address, &message).await;
        }
    }

    /// Handles a message about usage. Without usage reports in the settings, it has no
    /// effect.
    pub(crate) async fn receive_usage_message(&self, message: UsageMessage, sender: SocketAddr) {
        let Some(usage) = self.usage.get() else {
            return;
        };
        let now = self.proof_now();
        match message {
            UsageMessage::HandIn(part) => {
                let time = usage.time(now);
                let fleet_time = {
                    let mut collector = usage.collector.borrow_mut();
                    collector.record_clock(&part.writer, part.sent_at, time);
                    collector.add(&part);
                    collector.fleet_time(time)
                };
                let received = UsageMessage::Received {
                    window: part.window,
                    part: part.part,
                    fleet_time,
                };
                self.correct_time(usage, fleet_time, now);
                self.send_message(sender, &PeerMessage::Usage(received))
                    .await;
            }
            UsageMessage::Received {
                window,
                part,
                fleet_time,
            } => {
                let first_sent_at = {
                    let mut sent = usage.sent.borrow_mut();
                    let Some(parts) = sent.get_mut(&(window, sender)) else {
                        return;
                    };
                    parts.acknowledged.insert(part);
                    parts.first_sent_at
                };
                if let Some(first_sent_at) = first_sent_at {
                    self.correct_time(usage, fleet_time, first_sent_at);
                }
            }
        }
    }

    fn correct_time(
        &self,
        usage: &UsageReporting,
        fleet_time: Option<UnixMillis>,
        asked_at: Instant,
    ) {
        let Some(fleet_time) = fleet_time else {
            return;
        };
        let now = self.proof_now();
        if let Some(difference) = usage.time.borrow_mut().correct(fleet_time, asked_at, now) {
            usage.collector.borrow_mut().forget_clocks();
            self.log
                .event("usage_time_corrected", json!({"by_ms": difference}));
        }
    }

    /// Hands in the counts of the window in progress, which this process does not see
    /// end.
    pub(crate) async fn hand_in_last_usage(&self) {
        let Some(usage) = self.usage.get() else {
            return;
        };
        for _ in 0..LAST_HAND_INS {
            let now = self.proof_now();
            let current = usage.terms.window_at(usage.time(now));
            let closed = usage.closed_windows(now).into_iter();
            let windows: Vec<_> = closed.map(|(window, _)| window).chain([current]).collect();
            for window in windows {
                for target in self.hand_in_targets(usage, Duration::ZERO) {
                    self.hand_in_to(usage, window, &target).await;
                }
            }
            actix_rt::time::sleep(CHECK_INTERVAL).await;
        }
    }

    /// Performs the duty, or waits for it, until the process ends.
    async fn report_usage(self: Rc<Self>) {
        let Some(usage) = self.usage.get() else {
            return;
        };
        // Until the others are heard, each instance takes itself for the first candidate.
        actix_rt::time::sleep(STARTUP_PERIOD).await;
        loop {
            let step = self.next_usage_step(usage);
            let is_idle = step == UsageStep::Idle;
            match step {
                UsageStep::Idle => {}
                UsageStep::Read => self.read_usage_row(usage).await,
                UsageStep::Write { expected, row } => {
                    self.write_usage_row(usage, expected, row).await;
                }
                UsageStep::Send { grant, report } => {
                    self.send_usage_report(usage, grant, &report).await;
                }
            }
            if is_idle {
                actix_rt::time::sleep(CHECK_INTERVAL).await;
            }
        }
    }

    fn next_usage_step(&self, usage: &UsageReporting) -> UsageStep {
        let now = self.proof_now();
        let candidates = self.usage_candidates(usage);
        let rank = candidates.iter().position(|name| *name == usage.own.name);
        let live: Vec<InstanceName> = {
            let peers = self.peers.borrow();
            let others = peers.live_digests(self.now());
            let others = others.map(|digest| digest.record.name.clone());
            others.chain([usage.own.name.clone()]).collect()
        };
        let view = UsageView {
            time: usage.time(now),
            rank,
            live: &live,
        };
        let collector = usage.collector.borrow();
        usage.duty.borrow_mut().next_step(&view, &collector, now)
    }

    async fn read_usage_row(&self, usage: &UsageReporting) {
        self.metrics.table_calls.inc();
        let read = self.table.read(TableKind::Duties).await;
        let now = self.proof_now();
        match read {
            Ok(batch) => {
                let (position, row) = self.decode_usage_row(&batch);
                let writer = row.as_ref().map(|row| row.writer.name.to_string());
                let fence = row.as_ref().map(|row| row.fence.0);
                let last = row.as_ref().and_then(|row| row.record.last);
                let time = usage.time(now);
                usage
                    .duty
                    .borrow_mut()
                    .record_read(position, row, time, now);
                self.log.event(
                    "usage_row_read",
                    json!({"row_version": position.version, "holder": writer, "fence": fence,
                        "last_window": last.map(|window| window.0)}),
                );
            }
            Err(error) => {
                self.metrics.table_failures.inc();
                usage.duty.borrow_mut().record_read_failed(now);
                self.log
                    .event("usage_row_not_read", json!({"reason": error.to_string()}));
            }
        }
    }

    fn decode_usage_row(&self, batch: &TableBatch) -> (RowPosition, Option<UsageRow>) {
        let found = batch.rows.iter().find(|row| row.key == ROW_KEY);
        let Some((found, value)) = found.and_then(|row| Some((row, row.value.as_ref()?))) else {
            return (row_position(batch.era, 0), None);
        };
        let row = match decode_datagram::<UsageRow>(value) {
            Ok(row) => Some(row),
            Err(error) => {
                self.log.event(
                    "row_ignored",
                    json!({"table": "Duties", "key": ROW_KEY, "row_version": found.version,
                        "reason": error.to_string()}),
                );
                None
            }
        };
        (row_position(batch.era, found.version), row)
    }

    async fn write_usage_row(&self, usage: &UsageReporting, expected: u64, row: UsageRow) {
        let fence = row.fence;
        let value = match encode(&row) {
            Ok(value) => value,
            Err(error) => {
                self.log
                    .event("usage_not_recorded", json!({"reason": error.to_string()}));
                let now = self.proof_now();
                let mut duty = usage.duty.borrow_mut();
                duty.record_write(fence, WriteOutcome::NotWritten, now);
                return;
            }
        };
        self.metrics.table_calls.inc();
        let bytes = value.len();
        let written = self
            .table
            .write(TableKind::Duties, ROW_KEY, value, Some(expected))
            .await;
        let outcome = match &written {
            Ok(written) => written.version.map_or(WriteOutcome::Unknown, |version| {
                WriteOutcome::Written(row_position(written.era, version))
            }),
            Err(TableError::Conflict) => WriteOutcome::Conflict,
            Err(TableError::Rejected { .. }) => WriteOutcome::NotWritten,
            Err(_) => WriteOutcome::Unknown,
        };
        let now = self.proof_now();
        usage.duty.borrow_mut().record_write(fence, outcome, now);
        let reason = written.as_ref().err().map(ToString::to_string);
        let event = if matches!(outcome, WriteOutcome::Written(_)) {
            "usage_recorded"
        } else {
            self.metrics.table_failures.inc();
            "usage_not_recorded"
        };
        let pending = row.record.pending.iter();
        let windows: Vec<u64> = pending.map(|report| report.window.0).collect();
        self.log.event(
            event,
            json!({"fence": fence.0, "expected_version": expected, "windows": windows,
                "instances": row.record.reporters, "bytes": bytes, "reason": reason}),
        );
    }

    async fn send_usage_report(
        &self,
        usage: &UsageReporting,
        grant: LeaseGrant,
        report: &UsageReport,
    ) {
        let call = usage.receiver.deliver(&usage.own.name, grant.fence, report);
        let result = tokio::select! {
            biased;
            () = self.wait_for_lease_end(grant) => Err(DeliveryError {
                is_final: false,
                reason: "the lease ended".to_owned(),
            }),
            result = call => result,
        };
        let (outcome, name) = match &result {
            Ok(()) => (DeliveryOutcome::Accepted, "accepted"),
            Err(error) if error.is_final => (DeliveryOutcome::Refused, "refused"),
            Err(_) => (DeliveryOutcome::Unknown, "unknown"),
        };
        let now = self.proof_now();
        usage
            .duty
            .borrow_mut()
            .record_delivery(report.window, outcome, now);
        self.metrics
            .usage_reports
            .get_or_create(&ReportLabel { outcome: name })
            .inc();
        let since_end = usage.terms.since_end(report.window, usage.time(now));
        self.log.event(
            "usage_report",
            json!({"window": report.window.0, "fence": grant.fence.0,
                "total": report.counts.values().sum::<u64>(), "teams": report.counts.len(),
                "outcome": name, "reason": result.err().map(|error| error.reason),
                "after_window_ms": since_end.map(|since| since.as_millis())}),
        );
    }

    async fn wait_for_lease_end(&self, grant: LeaseGrant) {
        while self.proof_now() < grant.until {
            actix_rt::time::sleep(LEASE_CHECK_INTERVAL).await;
        }
    }
}
