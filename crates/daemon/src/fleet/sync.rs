//! Polling of the platform's table and instance list.

use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_util::future::try_join;
use log::{info, warn};
use tarragonpulley_backing::{ListedInstance, ListedState, PlatformError, RowKey, TableSnapshot};
use tarragonpulley_policy::ids::InstanceName;
use tarragonpulley_policy::membership::{ListedMember, MemberPlace, MemberState};
use tarragonpulley_policy::units::ConfigRevision;
use tarragonpulley_wire::rows::{self, ConfigRows, HeadRow, RowError};

use super::core::FleetCore;
use super::link::PeerLink;

/// Interval between reads of the table. While the table responds, the age of a
/// proof is at most this plus the time of one read.
const TABLE_INTERVAL: Duration = Duration::from_millis(500);

/// Interval between reads of the instance list.
const LIST_INTERVAL: Duration = Duration::from_secs(1);

/// Why the table could not be used.
#[derive(Debug, thiserror::Error)]
pub(super) enum SyncError {
    /// A call to the platform failed.
    #[error(transparent)]
    Platform(#[from] PlatformError),
    /// The table changed between two reads, or is older than the active
    /// configuration.
    #[error("the table and the active configuration of this instance differ")]
    OutOfSync,
    /// A row does not parse.
    #[error(transparent)]
    Row(#[from] RowError),
}

/// Polls the table while the instance runs.
pub(super) async fn read_table(core: Rc<FleetCore>) {
    let mut wakes = core.table_wakes();
    let mut outage = OutageLog::new("table");
    loop {
        outage.record(core.sync_table().await);
        core.attest();
        core.update_gauges();
        let _woken = tokio::time::timeout(TABLE_INTERVAL, wakes.changed()).await;
    }
}

/// Polls the instance list while the instance runs.
pub(super) async fn read_list(core: Rc<FleetCore>) {
    let mut outage = OutageLog::new("list of instances");
    loop {
        let started = core.now();
        let read = core.list.read().await;
        outage.record(read.map(|listed| apply_list(&core, listed, started)));
        tokio::time::sleep(LIST_INTERVAL).await;
    }
}

/// Logs the start and the end of an outage instead of each failure.
#[derive(Debug)]
struct OutageLog {
    subject: &'static str,
    failing: bool,
}

impl OutageLog {
    const fn new(subject: &'static str) -> Self {
        Self {
            subject,
            failing: false,
        }
    }

    fn record<E: std::fmt::Display>(&mut self, outcome: Result<(), E>) {
        let failing = outcome.is_err();
        match outcome {
            Err(error) if !self.failing => warn!("reading the {} failed: {error}", self.subject),
            Ok(()) if self.failing => info!("reading the {} succeeds again", self.subject),
            _ => {}
        }
        self.failing = failing;
    }
}

/// The revision and the modification number of a head row.
pub(super) fn read_head(snapshot: &TableSnapshot) -> Result<(HeadRow, Option<u64>), RowError> {
    match snapshot.rows.get(&RowKey::new(rows::HEAD_KEY)) {
        Some(row) => Ok((
            rows::decode(rows::HEAD_KEY, &row.value)?,
            Some(row.modified),
        )),
        None => Ok((
            HeadRow {
                revision: ConfigRevision::default(),
                change: None,
            },
            None,
        )),
    }
}

/// The rows of a read, without the table's modification numbers.
pub(super) fn plain_rows(snapshot: TableSnapshot) -> ConfigRows {
    let rows = snapshot.rows.into_iter();
    rows.map(|(key, row)| (key.as_str().to_owned(), row.value))
        .collect()
}

impl FleetCore {
    /// Reads the head row and the rights record, and all configuration rows if the
    /// head is newer than the active revision.
    async fn sync_table(&self) -> Result<(), SyncError> {
        let started = self.now();
        let (head, generation) = try_join(
            self.table.read(RowKey::new(rows::HEAD_KEY)),
            self.read_generation_row(),
        )
        .await?;
        self.metrics.table_reads.inc_by(2);
        let rights = self.apply_generation_row(generation.0.as_deref())?;
        let (head, _modified) = read_head(&head)?;
        let revision = if head.revision > self.revision() {
            self.load_config().await?
        } else {
            head.revision
        };
        self.record_table_read(revision, rights, started);
        Ok(())
    }

    /// Reads the row of the rights record and its modification number.
    pub(super) async fn read_generation_row(
        &self,
    ) -> Result<(Option<Vec<u8>>, Option<u64>), PlatformError> {
        let key = RowKey::new(rows::GENERATION_KEY);
        let mut read = self.table.read(key.clone()).await?;
        let row = read.rows.remove(&key);
        Ok(row.map(|row| (row.value, row.modified)).unzip())
    }

    /// Reads all configuration rows and activates them if they are newer.
    pub(super) async fn load_config(&self) -> Result<ConfigRevision, SyncError> {
        self.metrics.table_reads.inc();
        let read = self.table.read(RowKey::new(rows::CONFIG_PREFIX)).await?;
        let rows = plain_rows(read);
        let revision = rows::head_revision(&rows)?;
        self.adopt_rows(rows)?;
        Ok(revision)
    }

    /// Closes the links to removed instances.
    fn update_links(&self) {
        let now = self.now();
        let members = self.members.borrow();
        let is_present = |instance: &InstanceName| {
            let entry = members.get(instance);
            entry.is_some_and(|entry| entry.state(now) != MemberState::Removed)
        };
        self.links.borrow_mut().retain(|instance, link| {
            let is_present = is_present(instance);
            if !is_present {
                link.close();
            }
            is_present
        });
    }

    fn update_gauges(&self) {
        let age = self.proof_age().map_or(-1.0, |age| age.as_secs_f64());
        self.metrics.proof_age.set(age);
        let revision = i64::try_from(self.revision().get()).unwrap_or(i64::MAX);
        self.metrics.revision.set(revision);
        let row_errors = self.config.borrow().row_errors.len();
        self.metrics
            .row_faults
            .set(i64::try_from(row_errors).unwrap_or(i64::MAX));
    }
}

/// Applies a read of the instance list and opens links to its members.
fn apply_list(core: &Rc<FleetCore>, listed: Vec<ListedInstance>, started: Instant) {
    let members = listed.into_iter().map(listed_member).collect();
    core.members.borrow_mut().record_list(members, started);
    core.update_links();
    let addresses: Vec<_> = {
        let members = core.members.borrow();
        let listed = members.iter().filter(|(_name, entry)| entry.listed);
        listed
            .map(|(name, entry)| (name.clone(), entry.place.peer_address))
            .collect()
    };
    for (instance, address) in addresses {
        let link = core.link(&instance);
        if let Some(link) = link {
            link.set_address(address);
        } else {
            let link = PeerLink::start(core, instance.clone(), address);
            core.links.borrow_mut().insert(instance, link);
        }
    }
    core.attest();
    core.notify_waiters();
}

fn listed_member(listed: ListedInstance) -> ListedMember {
    ListedMember {
        instance: listed.instance,
        place: MemberPlace {
            centre: listed.centre,
            service_address: listed.service_address,
            peer_address: listed.peer_address,
        },
        leaving: listed.state == ListedState::Leaving,
    }
}
