//! The transactional table service.

use std::collections::BTreeMap;
use std::fmt::Debug;

use futures_util::future::LocalBoxFuture;

use crate::PlatformError;
use crate::path_key::path_key;

path_key!(
    /// The key of a row, a path such as `config/head`.
    RowKey
);

/// A row as it was read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TableRow {
    /// The value in bytes.
    pub value: Vec<u8>,
    /// The table's revision of the last write to this row; never zero.
    pub modified: u64,
}

/// Rows that were read at one revision of the table.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct TableSnapshot {
    /// The table's revision.
    pub revision: u64,
    /// The rows in key order.
    pub rows: BTreeMap<RowKey, TableRow>,
}

/// What must hold for a transaction to be applied.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RowCondition {
    /// The row does not exist.
    Absent(RowKey),
    /// The row was last written at this revision of the table.
    Unchanged(RowKey, u64),
}

/// A write of a transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RowChange {
    /// Writes the row.
    Put(RowKey, Vec<u8>),
    /// Deletes the row; a missing row is not an error.
    Delete(RowKey),
}

/// Writes that are applied together, or not at all.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct TableTransaction {
    /// All must hold.
    pub conditions: Vec<RowCondition>,
    /// Applied in order when all conditions hold.
    pub changes: Vec<RowChange>,
}

/// What became of a transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CommitOutcome {
    /// It was applied at this revision of the table.
    Committed(u64),
    /// A condition did not hold; nothing was written.
    Conflict,
    /// It was certainly not applied.
    NotApplied(PlatformError),
    /// It may have been applied; read back to find out.
    Unknown(PlatformError),
}

/// The transactional table service of the platform.
///
/// Every call ends within the deadline that the client was built with.
pub trait TableService: Debug {
    /// Reads all rows whose key starts with `prefix`, at one revision.
    fn read(&self, prefix: RowKey) -> LocalBoxFuture<'_, Result<TableSnapshot, PlatformError>>;

    /// Applies a transaction. The client never sends it twice.
    fn commit(&self, transaction: TableTransaction) -> LocalBoxFuture<'_, CommitOutcome>;
}
