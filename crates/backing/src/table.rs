//! The interface of the transactional table service.

use std::collections::BTreeMap;
use std::fmt::Debug;

use futures_util::future::LocalBoxFuture;

use crate::PlatformError;
use crate::path_key::path_key;

path_key!(
    /// The key of a row, a path such as `config/head`.
    RowKey
);

/// The value and revision of a row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TableRow {
    /// The value.
    pub value: Vec<u8>,
    /// The table revision of the last write to this row; never zero.
    pub modified: u64,
}

/// Rows read at a single revision of the table.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct TableSnapshot {
    /// The table revision of the read.
    pub revision: u64,
    /// The rows by key.
    pub rows: BTreeMap<RowKey, TableRow>,
}

/// A precondition of a transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RowCondition {
    /// The row does not exist.
    Absent(RowKey),
    /// The row exists and was last written at this table revision.
    Unchanged(RowKey, u64),
}

/// A write in a transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RowChange {
    /// Writes the row.
    Put(RowKey, Vec<u8>),
    /// Deletes the row; a missing row is not an error.
    Delete(RowKey),
}

/// Conditional writes that are applied atomically.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct TableTransaction {
    /// Preconditions, all of which must hold.
    pub conditions: Vec<RowCondition>,
    /// Writes, applied in order if all conditions hold.
    pub changes: Vec<RowChange>,
}

/// The outcome of a transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CommitOutcome {
    /// The transaction was applied at this table revision.
    Committed(u64),
    /// A condition did not hold; nothing was written.
    Conflict,
    /// The request failed and the transaction was not applied.
    NotApplied(PlatformError),
    /// The transaction may have been applied; the caller must read the rows to
    /// find out.
    Unknown(PlatformError),
}

/// The transactional table service of the platform.
///
/// Every call completes within the timeout given to the client on creation.
pub trait TableService: Debug {
    /// Reads all rows whose key starts with `prefix`, at a single revision.
    fn read(&self, prefix: RowKey) -> LocalBoxFuture<'_, Result<TableSnapshot, PlatformError>>;

    /// Applies a transaction. The client never retries it.
    fn commit(&self, transaction: TableTransaction) -> LocalBoxFuture<'_, CommitOutcome>;
}
