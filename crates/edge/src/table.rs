//! The shared table: what an instance reads and writes there, and its copy.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use futures_util::future::LocalBoxFuture;
use serde::{Deserialize, Serialize};

/// The tables that an instance uses.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum TableKind {
    /// Written by the operator: configuration, rollouts, evacuations.
    Orders,
    /// Written by the backend servers about themselves.
    Servers,
    /// Written by the instances for the operator: how rollouts stand.
    Records,
    /// Written by the instances: where they are.
    Instances,
}

/// One row, or the mark that it was removed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableRow {
    /// The key.
    pub key: String,
    /// The version of the last change; grows over all tables.
    pub version: u64,
    /// The value; `None` if the row was removed.
    pub value: Option<Vec<u8>>,
}

/// Rows read at one moment.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableBatch {
    /// The rows, or the changed rows.
    pub rows: Vec<TableRow>,
    /// The version up to which all changes are included.
    pub upto: u64,
    /// Whether these are all rows, so that missing ones were removed.
    pub complete: bool,
    /// How long before the start of the call the rows were known to be current.
    pub age: Duration,
    /// The steady clock of the table service at its answer.
    pub service_time: Option<Duration>,
}

/// Why a table call failed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum TableError {
    /// Changes since that version are no longer available.
    #[error("the changes since that version are no longer available")]
    HistoryUnavailable,
    /// The row has another version than expected.
    #[error("the row has another version than expected")]
    Conflict,
    /// The call was answered with a status that says it was not performed.
    #[error("the call was refused with status {status}")]
    Rejected {
        /// The status.
        status: u16,
    },
    /// There was no answer; a write may have been performed.
    #[error("no answer: {reason}")]
    NoResponse {
        /// What happened.
        reason: String,
    },
    /// The answer cannot be read.
    #[error("the answer cannot be read: {reason}")]
    Malformed {
        /// What is wrong.
        reason: String,
    },
}

/// The result of a table call.
pub type TableResult<'a, T> = LocalBoxFuture<'a, Result<T, TableError>>;

/// Access to the shared table.
pub trait TableService {
    /// Reads all rows of a table.
    fn read(&self, table: TableKind) -> TableResult<'_, TableBatch>;

    /// Reads the changes after a version; waits up to `wait` for the first.
    fn changes(&self, table: TableKind, after: u64, wait: Duration) -> TableResult<'_, TableBatch>;

    /// Writes a row. With `expected`, only if the row has that version; zero
    /// means that it does not exist.
    fn write(
        &self,
        table: TableKind,
        key: &str,
        value: Vec<u8>,
        expected: Option<u64>,
    ) -> TableResult<'_, ()>;
}

/// How long removed rows are remembered for readers that continue from an
/// earlier version.
const TOMBSTONE_RETENTION: Duration = Duration::from_mins(1);

#[derive(Debug)]
struct MirrorRow {
    version: u64,
    /// The version at which the row last changed its meaning. Other instances
    /// are told of no other changes: servers write a heartbeat number that
    /// nothing depends on.
    meaning_version: u64,
    value: Vec<u8>,
}

/// A copy of a table that follows its changes.
#[derive(Debug, Default)]
pub(crate) struct TableMirror {
    rows: BTreeMap<String, MirrorRow>,
    tombstones: BTreeMap<String, (u64, Instant)>,
    upto: Option<u64>,
    /// The oldest version from which changes can be told.
    oldest_change: u64,
    last_proof: Option<Instant>,
}

impl TableMirror {
    /// The version up to which changes are included.
    pub(crate) fn upto(&self) -> Option<u64> {
        self.upto
    }

    /// When the copy was last known to be current.
    pub(crate) fn last_proof(&self) -> Option<Instant> {
        self.last_proof
    }

    /// The version of a row.
    pub(crate) fn version(&self, key: &str) -> Option<u64> {
        self.rows.get(key).map(|row| row.version)
    }

    /// The value of a row.
    pub(crate) fn value(&self, key: &str) -> Option<&[u8]> {
        self.rows.get(key).map(|row| row.value.as_slice())
    }

    /// The rows with their keys.
    pub(crate) fn rows(&self) -> impl Iterator<Item = (&str, &[u8])> {
        self.rows
            .iter()
            .map(|(key, row)| (key.as_str(), row.value.as_slice()))
    }

    /// Takes rows read by a call that began at `started`. Returns the keys that
    /// changed their meaning, as told by `is_equivalent`. Rows older than the known ones
    /// are ignored.
    pub(crate) fn apply(
        &mut self,
        batch: TableBatch,
        started: Instant,
        now: Instant,
        is_equivalent: &dyn Fn(&[u8], &[u8]) -> bool,
    ) -> Vec<String> {
        if let Some(proof) = started.checked_sub(batch.age)
            && self.upto.is_none_or(|upto| upto <= batch.upto)
        {
            self.last_proof = Some(self.last_proof.map_or(proof, |known| known.max(proof)));
        }
        if self.upto.is_some_and(|upto| batch.upto < upto) {
            return Vec::new();
        }
        let mut changed = Vec::new();
        if batch.complete {
            let present: Vec<&str> = batch.rows.iter().map(|row| row.key.as_str()).collect();
            let missing: Vec<String> = self
                .rows
                .keys()
                .filter(|key| !present.contains(&key.as_str()))
                .cloned()
                .collect();
            for key in missing {
                self.rows.remove(&key);
                self.tombstones.insert(key.clone(), (batch.upto, now));
                changed.push(key);
            }
            if self.upto.is_none() {
                self.oldest_change = batch.upto;
            }
        }
        for row in batch.rows {
            if self
                .version(&row.key)
                .is_some_and(|known| known >= row.version)
            {
                continue;
            }
            if let Some(value) = row.value {
                self.tombstones.remove(&row.key);
                let known = self.rows.get(&row.key);
                let unchanged_since = known
                    .filter(|known| is_equivalent(&known.value, &value))
                    .map(|known| known.meaning_version);
                let version = row.version;
                let meaning_version = unchanged_since.unwrap_or(version);
                self.rows.insert(
                    row.key.clone(),
                    MirrorRow {
                        version,
                        meaning_version,
                        value,
                    },
                );
                if unchanged_since.is_some() {
                    continue;
                }
            } else {
                self.rows.remove(&row.key);
                self.tombstones.insert(row.key.clone(), (row.version, now));
            }
            changed.push(row.key);
        }
        self.upto = Some(batch.upto);
        self.expire_tombstones(now);
        changed
    }

    fn expire_tombstones(&mut self, now: Instant) {
        let old: Vec<(String, u64)> = self
            .tombstones
            .iter()
            .filter(|(_, (_, at))| now.saturating_duration_since(*at) > TOMBSTONE_RETENTION)
            .map(|(key, (version, _))| (key.clone(), *version))
            .collect();
        for (key, version) in old {
            self.tombstones.remove(&key);
            self.oldest_change = self.oldest_change.max(version);
        }
    }

    /// The changes after a version, or all rows if that version is too old.
    /// `None` if nothing was read yet.
    pub(crate) fn changes_since(&self, after: Option<u64>, now: Instant) -> Option<TableBatch> {
        let upto = self.upto?;
        let age = now.saturating_duration_since(self.last_proof?);
        let from = after.filter(|after| *after >= self.oldest_change);
        let changed = |version: u64| from.is_none_or(|from| version > from);
        let mut rows: Vec<TableRow> = self
            .rows
            .iter()
            .filter(|(_, row)| changed(row.meaning_version))
            .map(|(key, row)| TableRow {
                key: key.clone(),
                version: row.version,
                value: Some(row.value.clone()),
            })
            .collect();
        if from.is_some() {
            let removed_rows = self
                .tombstones
                .iter()
                .filter(|(_, (version, _))| changed(*version));
            rows.extend(removed_rows.map(|(key, (version, _))| TableRow {
                key: key.clone(),
                version: *version,
                value: None,
            }));
        }
        Some(TableBatch {
            rows,
            upto,
            complete: from.is_none(),
            age,
            service_time: None,
        })
    }
}
