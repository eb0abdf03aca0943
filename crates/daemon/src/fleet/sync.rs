//! Readers of the platform's table and list.

use std::rc::Rc;
use std::time::{Duration, Instant};

use log::warn;
use tarragonpulley_platform::{ListedInstance, ListedState, PlatformError, RowKey, TableSnapshot};
use tarragonpulley_policy::membership::{ListedMember, MemberPlace};
use tarragonpulley_policy::units::ConfigRevision;
use tarragonpulley_wire::rows::{self, ConfigRows, HeadRow, RowError};

use super::core::FleetCore;

/// Time between two readings of the table. A proof is then at most this old
/// plus the time of one reading while the table answers.
const TABLE_INTERVAL: Duration = Duration::from_millis(500);

/// Time between two readings of the list.
const LIST_INTERVAL: Duration = Duration::from_secs(1);

/// Why the table could not be used.
#[derive(Debug, thiserror::Error)]
pub(super) enum SyncError {
    /// The platform failed.
    #[error(transparent)]
    Platform(#[from] PlatformError),
    /// A row has the wrong form.
    #[error(transparent)]
    Row(#[from] RowError),
}

/// Reads the table for as long as the instance runs.
pub(super) async fn read_table(core: Rc<FleetCore>) {
    let mut wakes = core.table_wakes();
    loop {
        if let Err(error) = core.sync_table().await {
            warn!("table not read: {error}");
        }
        let _woken = tokio::time::timeout(TABLE_INTERVAL, wakes.changed()).await;
    }
}

/// Reads the list for as long as the instance runs.
pub(super) async fn read_list(core: Rc<FleetCore>) {
    loop {
        match core.list.read().await {
            Ok(listed) => core.take_list(listed),
            Err(error) => warn!("list of instances not read: {error}"),
        }
        tokio::time::sleep(LIST_INTERVAL).await;
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

/// The rows of a reading, without the table's own numbers.
pub(super) fn plain_rows(snapshot: TableSnapshot) -> ConfigRows {
    let rows = snapshot.rows.into_iter();
    rows.map(|(key, row)| (key.as_str().to_owned(), row.value))
        .collect()
}

impl FleetCore {
    /// Reads the head row, and all configuration when it is newer.
    async fn sync_table(&self) -> Result<(), SyncError> {
        let started = self.now();
        let head = self.table.read(RowKey::new(rows::HEAD_KEY)).await?;
        let (head, _modified) = read_head(&head)?;
        if head.revision > self.revision() {
            self.load_config(self.now()).await
        } else {
            self.note_table_read(head.revision, started);
            Ok(())
        }
    }

    /// Reads all configuration rows in a reading that begins at `started`.
    pub(super) async fn load_config(&self, started: Instant) -> Result<(), SyncError> {
        let read = self.table.read(RowKey::new(rows::CONFIG_PREFIX)).await?;
        let rows = plain_rows(read);
        let revision = rows::head_revision(&rows)?;
        self.adopt_rows(rows)?;
        self.note_table_read(revision, started);
        Ok(())
    }

    /// Takes over a reading of the list.
    pub(super) fn take_list(&self, listed: Vec<ListedInstance>) {
        let members = listed.into_iter().map(listed_member).collect();
        self.members.borrow_mut().list_read(members);
        self.progressed();
    }
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
