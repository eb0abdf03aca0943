//! The shared table as an instance uses it.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

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
    /// Written by the instances: the duties that one of them performs at a time.
    Duties,
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

/// How often the table service was restored from an older copy. In each era, versions
/// that were lost are given out again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct TableEra(u64);

/// The error for text that is not an era.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{text:?} is not the number of an era")]
pub struct TableEraError {
    /// The text.
    pub text: String,
}

impl TableEra {
    /// The number of restores.
    pub(crate) fn number(self) -> u64 {
        self.0
    }
}

impl FromStr for TableEra {
    type Err = TableEraError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self).map_err(|_error| TableEraError {
            text: text.to_owned(),
        })
    }
}

impl fmt::Display for TableEra {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

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
    /// The era of the versions; `None` if the source does not say. Versions of
    /// different eras cannot be compared.
    #[serde(skip)]
    pub era: Option<TableEra>,
    /// Whether the rows come from another instance's copy, which after a restore may
    /// contain rows that the table lost, and lack others.
    #[serde(skip)]
    pub is_copy: bool,
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

/// A row that was written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WrittenRow {
    /// The era in which it was written.
    pub era: Option<TableEra>,
    /// Its version; `None` if the service did not say.
    pub version: Option<u64>,
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
    ) -> TableResult<'_, WrittenRow>;
}
