//! The shared table as an instance uses it, and its local copy.

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
    /// Written by the instances for the operator: the state of rollouts.
    Records,
    /// Written by the instances: their addresses and locations.
    Instances,
}

/// A row, or the tombstone of a removed row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableRow {
    /// Unique within the table.
    pub key: String,
    /// The version of the last change. One sequence is used for all tables.
    pub version: u64,
    /// `None` if the row was removed.
    pub value: Option<Vec<u8>>,
}

/// How often the table service was restored from an older copy; zero if it does not
/// say. In each era, versions that were lost are given out again.
pub type TableEra = u64;

/// The rows or changes that one read returned.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableBatch {
    /// All rows, or only the changed ones, depending on `complete`.
    pub rows: Vec<TableRow>,
    /// The version up to which all changes are included.
    pub upto: u64,
    /// Whether these are all rows, so that known rows which are missing here
    /// were removed.
    pub complete: bool,
    /// How long before the start of the call the rows were known to be current.
    pub age: Duration,
    /// The table service's monotonic clock when it responded.
    pub service_time: Option<Duration>,
    /// How often the service was restored from an older copy of its tables. Versions
    /// of different eras cannot be compared.
    #[serde(skip)]
    pub era: TableEra,
}

/// Why a table call failed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum TableError {
    /// A full read is needed to continue.
    #[error("the changes since that version are no longer available")]
    HistoryUnavailable,
    /// The row was not written.
    #[error("the row has another version than expected")]
    Conflict,
    /// The status says that the call was not performed.
    #[error("the call was rejected with status {status}")]
    Rejected {
        /// The HTTP status.
        status: u16,
    },
    /// A write may have been performed.
    #[error("no response: {reason}")]
    NoResponse {
        /// Description for the log.
        reason: String,
    },
    /// The response cannot be decoded.
    #[error("malformed response: {reason}")]
    Malformed {
        /// Description for the log.
        reason: String,
    },
}

/// The result of a table call.
pub type TableResult<'a, T> = LocalBoxFuture<'a, Result<T, TableError>>;

/// Access to the shared table.
pub trait TableService {
    /// Reads all rows of a table.
    fn read(&self, table: TableKind) -> TableResult<'_, TableBatch>;

    /// Reads the changes after a version. Waits up to `wait` if there are none.
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

/// Time for which tombstones are kept for readers that continue from an earlier
/// version.
const TOMBSTONE_RETENTION: Duration = Duration::from_mins(1);

#[derive(Debug)]
struct MirrorRow {
    version: u64,
    /// The version at which the row last changed according to the
    /// `is_equivalent` given to [`TableMirror::apply`]. Other changes are not
    /// sent to other instances: servers write a heartbeat number that
    /// nothing depends on.
    meaning_version: u64,
    value: Vec<u8>,
}

/// A copy of a table, updated by the results of reads.
#[derive(Debug, Default)]
pub(crate) struct TableMirror {
    rows: BTreeMap<String, MirrorRow>,
    tombstones: BTreeMap<String, (u64, Instant)>,
    upto: Option<u64>,
    /// Removals up to this version may be unknown, so that readers which
    /// continue from an earlier version get all rows.
    compacted_upto: u64,
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

    /// Applies rows read by a call that began at `started`. Returns the keys of
    /// the rows that changed according to `is_equivalent`. Rows older than the
    /// known ones are ignored.
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
            // Rows that were added and removed since the last read never were in
            // this copy, but may be in the copies of its readers.
            self.compacted_upto = batch.upto;
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
            self.compacted_upto = self.compacted_upto.max(version);
        }
    }

    /// The changes after a version, or all rows if tombstones since that
    /// version have expired. `None` if nothing was read yet.
    pub(crate) fn changes_since(&self, after: Option<u64>, now: Instant) -> Option<TableBatch> {
        let upto = self.upto?;
        let age = now.saturating_duration_since(self.last_proof?);
        let from = after.filter(|after| *after >= self.compacted_upto);
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
            era: 0,
        })
    }
}
