//! Keeps the copies of the shared tables current.
//!
//! Each table is read at its own interval. While the table service does not
//! respond, an instance reads the copy of another instance, together with its
//! age. So a withdrawn key takes effect also where only some instances reach
//! the service.

use std::rc::Rc;
use std::time::{Duration, Instant};

use serde_json::json;
use tarragonpulley_policy::entry::digest::InstanceRecord;
use tarragonpulley_policy::entry::placement::{mix, text_hash};

use crate::instance::Instance;
use crate::mirror::{REWRITE_GRACE, TableMirror};
use crate::peers::{PeerError, read_from_peer};
use crate::table::{TableBatch, TableError, TableKind};

/// How long a read of the operator's rows waits for a change. The proof of the
/// configuration is dated by the start of the read, so this must be well below
/// the maximum age at which keys are accepted.
const ORDERS_POLL_TIMEOUT: Duration = Duration::from_secs(1);

/// Interval between reads of the servers' rows. Together with one round trip it
/// stays below half of the shortest time allowed for a drain.
const SERVERS_READ_INTERVAL: Duration = Duration::from_secs(1);

/// Interval between reads of the rollout records while a rollout is active.
const RECORDS_READ_INTERVAL: Duration = Duration::from_secs(1);

/// Interval between reads of the registered instances. Live instances are known
/// from their digests; this finds those whose digests do not arrive yet.
const INSTANCES_READ_INTERVAL: Duration = Duration::from_mins(1);

/// Interval of the check whether a rollout is active, so that the records must
/// be read.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(300);

/// Delay after a failed read.
const READ_RETRY_DELAY: Duration = Duration::from_millis(250);

/// Interval between reads of the table service while it does not respond.
const SERVICE_RETRY_INTERVAL: Duration = Duration::from_millis(1500);

/// How long a read from another instance waits for a change.
const PEER_POLL_TIMEOUT: Duration = Duration::from_millis(500);

/// How long a read from the data centre's table reader waits for a change.
const RELAY_POLL_TIMEOUT: Duration = Duration::from_secs(1);

/// The same for the servers' rows. The reader itself reads them at an interval, and a
/// frozen reader must be noticed in the rest of the time allowed for a drain.
const SERVERS_RELAY_POLL_TIMEOUT: Duration = Duration::from_millis(400);

/// Timeout of a read from the table reader beyond its wait: scheduling pauses of two
/// machines of one data centre.
const RELAY_EXCHANGE_TIMEOUT: Duration = Duration::from_millis(400);

/// The maximum age of the table reader's copy that is used. The reader responds
/// at an age of 1.35 s at the latest; a machine that has used up its processor
/// time adds up to a tenth of a second twice.
const MAX_RELAYED_COPY_AGE: Duration = Duration::from_millis(1600);

/// Interval between reads from the data centre's table reader. The read itself
/// waits for the next change.
const RELAY_READ_INTERVAL: Duration = Duration::from_millis(50);

/// Time for which an instance reads the table service itself after the table
/// reader failed.
const RELAY_RETRY_DELAY: Duration = Duration::from_secs(3);

fn poll_timeout(table: TableKind) -> Duration {
    if table == TableKind::Orders {
        ORDERS_POLL_TIMEOUT
    } else {
        Duration::ZERO
    }
}

fn relay_poll_timeout(table: TableKind) -> Duration {
    if table == TableKind::Servers {
        SERVERS_RELAY_POLL_TIMEOUT
    } else {
        RELAY_POLL_TIMEOUT
    }
}

impl Instance {
    /// Keeps the copy of one table current until the process ends.
    pub(crate) async fn follow_table(self: Rc<Self>, table: TableKind) {
        let mut follower = TableFollower::default();
        loop {
            if table == TableKind::Records
                && follower.has_read
                && !self.rollouts.borrow().is_active()
            {
                actix_rt::time::sleep(IDLE_CHECK_INTERVAL).await;
                continue;
            }
            let delay = match follower.read_once(&self, table).await {
                ReadSource::Service => match table {
                    TableKind::Orders => Duration::ZERO,
                    TableKind::Servers => SERVERS_READ_INTERVAL,
                    TableKind::Records => RECORDS_READ_INTERVAL,
                    TableKind::Instances | TableKind::Duties => INSTANCES_READ_INTERVAL,
                },
                ReadSource::Relay => RELAY_READ_INTERVAL,
                ReadSource::Peer | ReadSource::Unavailable => READ_RETRY_DELAY,
            };
            if !delay.is_zero() {
                actix_rt::time::sleep(delay).await;
            }
        }
    }
}

/// Maps the table service's monotonic clock to the local one.
///
/// A response with service time `n` to a call that began at `s` shows that the
/// service's clock was zero no earlier than `s - n`. The latest such bound
/// dates every later response, however long it waited at the service or in the
/// network. A response that waited for changes thereby proves a later time than
/// the start of its call.
#[derive(Debug, Default)]
struct ServiceClock {
    last_service_time: Duration,
    service_epoch: Option<Instant>,
}

impl ServiceClock {
    /// The earliest local time at which a response can have been made.
    fn earliest_response_time(
        &mut self,
        started: Instant,
        service_time: Option<Duration>,
    ) -> Instant {
        let Some(time) = service_time else {
            return started;
        };
        if time < self.last_service_time {
            // The service was restarted.
            self.service_epoch = None;
        }
        self.last_service_time = time;
        let earliest_epoch = started.checked_sub(time);
        self.service_epoch = self.service_epoch.max(earliest_epoch);
        self.service_epoch
            .map_or(started, |epoch| (epoch + time).max(started))
    }
}

/// The source of a read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ReadSource {
    /// The table service.
    Service,
    /// The table reader of this data centre.
    Relay,
    /// Another instance, as the table service does not respond.
    Peer,
    /// No source responded.
    Unavailable,
}

#[derive(Debug, Default)]
struct TableFollower {
    clock: ServiceClock,
    has_read: bool,
    /// Whether the changes since the known version are no longer available.
    needs_full_read: bool,
    /// Whether no row is held that only a complete read of the table service can
    /// release. Copies of other instances may contain rows that these hold.
    is_verified: bool,
    service_failed_at: Option<Instant>,
    relay_failed_at: Option<Instant>,
}

impl TableFollower {
    /// Reads from the first source that responds.
    async fn read_once(&mut self, instance: &Instance, table: TableKind) -> ReadSource {
        if self.is_verification_due(instance, table) {
            self.needs_full_read = true;
        } else if let Some(reader) = self.relay_reader(instance, table)
            && self.read_relay(instance, table, &reader).await
        {
            return ReadSource::Relay;
        }
        let now = instance.now();
        let service_due = self
            .service_failed_at
            .is_none_or(|at| now.saturating_duration_since(at) >= SERVICE_RETRY_INTERVAL);
        if service_due && self.read_service(instance, table).await {
            return ReadSource::Service;
        }
        if self.read_peers(instance, table).await {
            return ReadSource::Peer;
        }
        ReadSource::Unavailable
    }

    /// Whether all rows must be read from the table service again, because the time in
    /// which rows are written again after a restore has passed.
    fn is_verification_due(&self, instance: &Instance, table: TableKind) -> bool {
        !self.is_verified
            && instance
                .restored_at(table)
                .is_some_and(|at| instance.proof_now() >= at + REWRITE_GRACE)
    }

    /// The instance of this data centre that reads the table service for the
    /// others.
    fn relay_reader(&self, instance: &Instance, table: TableKind) -> Option<InstanceRecord> {
        let now = instance.now();
        let has_failed = self
            .relay_failed_at
            .is_some_and(|at| now.saturating_duration_since(at) < RELAY_RETRY_DELAY);
        if table == TableKind::Instances || has_failed || !self.has_read {
            return None;
        }
        instance.peers.borrow().table_reader(now).cloned()
    }

    /// Reads the copy of the data centre's table reader, if it is recent.
    async fn read_relay(
        &mut self,
        instance: &Instance,
        table: TableKind,
        reader: &InstanceRecord,
    ) -> bool {
        let (era, after) = instance.position(table);
        let started = instance.proof_now();
        let poll_timeout = relay_poll_timeout(table);
        let read = read_from_peer(reader.peer, table, era, after, poll_timeout);
        let read = tokio::time::timeout(poll_timeout + RELAY_EXCHANGE_TIMEOUT, read);
        let reason = match read.await.unwrap_or(Err(PeerError::Timeout)) {
            Ok(Some(copy))
                if copy.is_direct
                    && copy.batch.age <= MAX_RELAYED_COPY_AGE
                    && instance.accepts(table, &copy.batch) =>
            {
                self.apply_copy(instance, table, copy.batch, started);
                return true;
            }
            Ok(_) => "the copy is too old or not read from the table service".to_owned(),
            Err(error) => error.to_string(),
        };
        instance.log.event(
            "relay_not_used",
            json!({"reader": reader.name.as_str(), "table": format!("{table:?}"), "reason": reason}),
        );
        self.relay_failed_at = Some(instance.now());
        false
    }

    async fn read_service(&mut self, instance: &Instance, table: TableKind) -> bool {
        let after = instance.upto(table).filter(|_| !self.needs_full_read);
        match self.call_service(instance, table, after).await {
            Err(TableError::HistoryUnavailable) => {
                instance.log.event(
                    "table_reread",
                    json!({"table": format!("{table:?}"), "after": after}),
                );
                self.needs_full_read = true;
                // Fails once more only if the history is lost between two pages.
                self.call_service(instance, table, None).await.is_ok()
            }
            result => result.is_ok(),
        }
    }

    /// Reads the changes after a version, or all rows, and applies them.
    async fn call_service(
        &mut self,
        instance: &Instance,
        table: TableKind,
        after: Option<u64>,
    ) -> Result<(), TableError> {
        let started = instance.proof_now();
        let wait = if self.service_failed_at.is_some() {
            Duration::ZERO
        } else {
            poll_timeout(table)
        };
        let result = match after {
            Some(after) => instance.table.changes(table, after, wait).await,
            None => instance.table.read(table).await,
        };
        let batch = match result {
            Ok(batch) => batch,
            Err(TableError::HistoryUnavailable) => {
                instance.record_table_result(Ok(()));
                return Err(TableError::HistoryUnavailable);
            }
            Err(error) => {
                instance.record_table_result(Err(&error.to_string()));
                self.service_failed_at = Some(instance.now());
                return Err(error);
            }
        };
        instance.record_table_result(Ok(()));
        self.service_failed_at = None;
        let era = batch.era;
        if !instance.is_same_era(table, era) {
            self.clock = ServiceClock::default();
            if !batch.complete {
                return Err(TableError::HistoryUnavailable);
            }
        }
        let is_complete = batch.complete;
        let proof = self
            .clock
            .earliest_response_time(started, batch.service_time);
        instance.apply(table, batch, proof.min(instance.proof_now()));
        self.has_read = true;
        if is_complete {
            self.needs_full_read = false;
            let is_settled = |at| started >= at + REWRITE_GRACE;
            self.is_verified =
                !instance.holds_rows(table) || instance.restored_at(table).is_none_or(is_settled);
        }
        Ok(())
    }

    fn apply_copy(
        &mut self,
        instance: &Instance,
        table: TableKind,
        batch: TableBatch,
        started: Instant,
    ) {
        self.is_verified &= !batch.complete;
        instance.apply(table, batch, started);
    }

    async fn read_peers(&mut self, instance: &Instance, table: TableKind) -> bool {
        for peer in nearest_peers(instance) {
            let (era, after) = instance.position(table);
            let started = instance.proof_now();
            match read_from_peer(peer.peer, table, era, after, PEER_POLL_TIMEOUT).await {
                Ok(Some(copy))
                    if instance.accepts(table, &copy.batch)
                        && is_newer_proof(instance, table, &copy.batch, started) =>
                {
                    self.apply_copy(instance, table, copy.batch, started);
                    return true;
                }
                // The other instance's copy is not newer, or it has none.
                Ok(_) => {}
                Err(error) => instance.log.event(
                    "peer_read_failed",
                    json!({"peer": peer.name.as_str(), "reason": error.to_string()}),
                ),
            }
        }
        false
    }
}

fn is_newer_proof(
    instance: &Instance,
    table: TableKind,
    batch: &TableBatch,
    started: Instant,
) -> bool {
    let mirrors = instance.mirrors.borrow();
    let known = mirrors.get(&table).and_then(TableMirror::last_proof);
    let proof = started.checked_sub(batch.age);
    known.is_none() || proof > known
}

/// Up to two ready instances, the nearest first. The order of instances at the
/// same distance differs between instances, to spread the reads.
fn nearest_peers(instance: &Instance) -> Vec<InstanceRecord> {
    const MAX_PEERS: usize = 2;
    let now = instance.now();
    let peers = instance.peers.borrow();
    let own = peers.own();
    let own_hash = text_hash(own.name.as_str());
    let mut found: Vec<&InstanceRecord> = peers.ready(now).collect();
    found.sort_by_key(|record| {
        let distance =
            u8::from(record.centre != own.centre) + u8::from(record.region != own.region);
        let order = mix(own_hash ^ text_hash(record.name.as_str()));
        (distance, order)
    });
    found.into_iter().take(MAX_PEERS).cloned().collect()
}
