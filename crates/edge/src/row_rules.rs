//! How the rows of each table compare.

use std::cmp::Ordering;

use tarragonpulley_policy::entry::config::RolloutState;

use crate::adapter::{OperatorOrder, PlatformAdapter};
use crate::mirror::RowRules;
use crate::table::TableKind;

/// The rules of one table.
pub(crate) struct TableRules<'a> {
    adapter: &'a dyn PlatformAdapter,
    table: TableKind,
}

impl<'a> TableRules<'a> {
    pub(crate) fn new(adapter: &'a dyn PlatformAdapter, table: TableKind) -> Self {
        Self { adapter, table }
    }

    /// Configurations are ordered by their versions, other orders not at all.
    fn compare_orders(&self, key: &str, new: &[u8], known: &[u8]) -> Option<Ordering> {
        let decode = |value| match self.adapter.decode_order(key, value) {
            Ok(OperatorOrder::Config(config)) => Some(config.version),
            _ => None,
        };
        decode(new)?.partial_cmp(&decode(known)?)
    }

    /// A rollout that is decided never runs again.
    fn compare_records(&self, key: &str, new: &[u8], known: &[u8]) -> Option<Ordering> {
        let decode = |value| Some(self.adapter.decode_record(key, value).ok()?.1);
        let (new, known) = (decode(new)?, decode(known)?);
        let is_decided = |state| state != RolloutState::Running;
        (new.to == known.to && is_decided(new.state) != is_decided(known.state))
            .then(|| is_decided(new.state).cmp(&is_decided(known.state)))
    }
}

impl RowRules for TableRules<'_> {
    fn is_equivalent(&self, known: &[u8], new: &[u8]) -> bool {
        if known == new {
            return true;
        }
        // Only the id is taken from the key, and it is the same for both
        // values.
        let decode = |value| self.adapter.decode_server("row", value);
        self.table == TableKind::Servers
            && matches!((decode(known), decode(new)), (Ok(known), Ok(new)) if known == new)
    }

    fn compare_age(&self, key: &str, new: &[u8], known: &[u8]) -> Option<Ordering> {
        match self.table {
            TableKind::Orders => self.compare_orders(key, new, known),
            TableKind::Servers => {
                let order = |value| self.adapter.entry_order(value);
                Some(order(new)?.cmp(&order(known)?))
            }
            TableKind::Records => self.compare_records(key, new, known),
            TableKind::Instances | TableKind::Duties => None,
        }
    }

    fn has_own_rows(&self) -> bool {
        matches!(self.table, TableKind::Records | TableKind::Instances)
    }
}
