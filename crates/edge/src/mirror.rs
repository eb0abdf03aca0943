//! The local copy of a shared table, updated by the results of reads.
//!
//! The table service may return from an older copy of its tables. In the new era its
//! versions go back and are given out again, and rows that others had written since the
//! copy are missing or old until they are written again. A mirror then takes a complete
//! read as its new base and undoes nothing that it knows: it holds such rows at their
//! known state until they were written again, or [`REWRITE_GRACE`] has passed.

use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use crate::table::{TableBatch, TableEra, TableRow};

/// Time after the table service's return in which the operator and the servers write
/// again what it lost.
pub(crate) const REWRITE_GRACE: Duration = Duration::from_millis(2200);

/// Time for which tombstones are kept for readers that continue from an earlier
/// version, and to recognise rows that a restore brings back.
const TOMBSTONE_RETENTION: Duration = Duration::from_mins(1);

/// The version of rows and tombstones of an earlier era. The table service gives out
/// later ones.
const HELD_VERSION: u64 = 0;

/// What a mirror has to know of the rows of its table.
pub(crate) trait RowRules {
    /// Whether two values of a row differ in nothing that decisions depend on.
    fn is_equivalent(&self, known: &[u8], new: &[u8]) -> bool;

    /// How a value compares with the known one in the order in which they were written;
    /// `None` if the values do not say.
    fn compare_age(&self, key: &str, new: &[u8], known: &[u8]) -> Option<Ordering>;

    /// Whether the instances themselves write the rows, so that a lost one is kept until
    /// an instance has written it again.
    fn has_own_rows(&self) -> bool;
}

#[derive(Debug)]
struct MirrorRow {
    version: u64,
    /// The version at which the row last changed according to
    /// [`RowRules::is_equivalent`]. Other changes are not sent to other instances:
    /// servers write a heartbeat number that nothing depends on.
    meaning_version: u64,
    value: Vec<u8>,
}

impl MirrorRow {
    fn is_of_earlier_era(&self) -> bool {
        self.version == HELD_VERSION
    }
}

#[derive(Debug)]
struct Tombstone {
    version: u64,
    at: Instant,
    /// Whether the row was not written again after a restore in time. It may be written
    /// again late, as it was.
    was_lost: bool,
    /// The last value, if the row was known.
    value: Option<Vec<u8>>,
}

/// A copy of a table.
#[derive(Debug, Default)]
pub(crate) struct TableMirror {
    rows: BTreeMap<String, MirrorRow>,
    tombstones: BTreeMap<String, Tombstone>,
    upto: Option<u64>,
    /// Removals up to this version may be unknown, so that readers which
    /// continue from an earlier version get all rows.
    compacted_upto: u64,
    last_proof: Option<Instant>,
    era: Option<TableEra>,
    /// When the current era was first seen, unless it is the first one.
    restored_at: Option<Instant>,
    /// Rows that are held at their known state, with the version that the table service
    /// has of them.
    held: BTreeMap<String, Option<u64>>,
}

impl TableMirror {
    /// The version up to which changes are included.
    pub(crate) fn upto(&self) -> Option<u64> {
        self.upto
    }

    /// The era of the versions.
    pub(crate) fn era(&self) -> Option<TableEra> {
        self.era
    }

    /// When the current era was first seen, unless it is the first one.
    pub(crate) fn restored_at(&self) -> Option<Instant> {
        self.restored_at
    }

    /// When the copy was last known to be current.
    pub(crate) fn last_proof(&self) -> Option<Instant> {
        self.last_proof
    }

    /// The version of a row in the table service; `None` if it has no such row.
    pub(crate) fn version(&self, key: &str) -> Option<u64> {
        let known = || self.rows.get(key).map(|row| row.version);
        let version = self.held.get(key).copied().unwrap_or_else(known);
        version.filter(|version| *version != HELD_VERSION)
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

    /// The keys of the rows that are held at their known state.
    pub(crate) fn held(&self) -> impl Iterator<Item = &str> {
        self.held.keys().map(String::as_str)
    }

    /// Whether a row was lost by a restore and not written again.
    pub(crate) fn is_held(&self, key: &str) -> bool {
        self.held.contains_key(key)
    }

    /// Records that this instance has written a held row again.
    pub(crate) fn release(&mut self, key: &str) {
        self.held.remove(key);
    }

    /// Whether a batch continues this copy, or replaces it by one of a later era.
    /// Sources that do not name their era are used only until the first restore.
    pub(crate) fn accepts(&self, batch: &TableBatch) -> bool {
        let Some(upto) = self.upto else {
            return true;
        };
        match (self.era, batch.era) {
            (Some(known), Some(era)) if known != era => era > known && batch.complete,
            (Some(_), None) if self.restored_at.is_some() => false,
            _ => batch.upto >= upto,
        }
    }

    /// Whether a reader that names this era continues from a version of it.
    pub(crate) fn is_same_era(&self, era: Option<TableEra>) -> bool {
        era.is_none() || self.era.is_none() || era == self.era
    }

    /// Applies rows read by a call that began at `started`. Returns the keys of
    /// the rows that changed according to `rules`. Rows older than the known ones are
    /// ignored.
    pub(crate) fn apply(
        &mut self,
        batch: TableBatch,
        started: Instant,
        now: Instant,
        rules: &dyn RowRules,
    ) -> Vec<String> {
        if !self.accepts(&batch) {
            return Vec::new();
        }
        if self.era.is_some() && batch.era.is_some() && self.era != batch.era {
            self.begin_era(now);
        }
        if batch.rows.iter().any(|row| row.version == HELD_VERSION) {
            // The first copy, from an instance that holds rows.
            self.restored_at.get_or_insert(now);
        }
        self.era = batch.era.or(self.era);
        if let Some(proof) = started.checked_sub(batch.age) {
            self.last_proof = Some(self.last_proof.map_or(proof, |known| known.max(proof)));
        }
        let mut changed = Vec::new();
        if batch.complete {
            changed = self.remove_missing(&batch, now, rules);
            // Rows that were added and removed since the last read never were in
            // this copy, but may be in the copies of its readers.
            self.compacted_upto = batch.upto;
        }
        let is_copy = batch.is_copy;
        for row in batch.rows {
            let is_known = |known: &MirrorRow| {
                known.version > row.version
                    || (known.version == row.version && row.version != HELD_VERSION)
            };
            let is_removed = |tombstone: &Tombstone| is_copy && tombstone.version > row.version;
            if self.rows.get(&row.key).is_some_and(is_known)
                || self.tombstones.get(&row.key).is_some_and(is_removed)
            {
                continue;
            }
            let key = row.key.clone();
            if self.apply_row(row, now, rules) {
                changed.push(key);
            }
        }
        self.upto = Some(batch.upto);
        self.expire_tombstones(now);
        changed
    }

    /// Forgets all versions: those of the new era start below them.
    fn begin_era(&mut self, now: Instant) {
        self.restored_at = Some(now);
        self.upto = None;
        self.held.clear();
        for row in self.rows.values_mut() {
            row.version = HELD_VERSION;
            row.meaning_version = HELD_VERSION;
        }
        for tombstone in self.tombstones.values_mut() {
            tombstone.version = HELD_VERSION;
        }
    }

    /// Whether rows may still be written again after a restore.
    fn is_settling(&self, now: Instant) -> bool {
        self.restored_at
            .is_some_and(|at| now.saturating_duration_since(at) < REWRITE_GRACE)
    }

    /// Removes the known rows that a complete read does not have, and holds those that
    /// a restore may have lost.
    fn remove_missing(
        &mut self,
        batch: &TableBatch,
        now: Instant,
        rules: &dyn RowRules,
    ) -> Vec<String> {
        let present: BTreeSet<&str> = batch.rows.iter().map(|row| row.key.as_str()).collect();
        let missing: Vec<(String, bool)> = self
            .rows
            .iter()
            .filter(|(key, _)| !present.contains(key.as_str()))
            .map(|(key, row)| (key.clone(), row.is_of_earlier_era()))
            .collect();
        let rows = &self.rows;
        self.held
            .retain(|key, _| present.contains(key.as_str()) || rows.contains_key(key));
        let mut removed = Vec::new();
        for (key, may_be_lost) in missing {
            if may_be_lost && (self.is_settling(now) || rules.has_own_rows()) {
                self.held.insert(key, None);
            } else {
                self.remove_row(&key, batch.upto, may_be_lost, now);
                removed.push(key);
            }
        }
        removed
    }

    fn remove_row(&mut self, key: &str, version: u64, was_lost: bool, now: Instant) {
        self.held.remove(key);
        let earlier = self.tombstones.remove(key);
        let known = self.rows.remove(key);
        let value = known
            .map(|row| row.value)
            .or_else(|| earlier.and_then(|tombstone| tombstone.value));
        let tombstone = Tombstone {
            // A table that nothing was written to has version zero.
            version: version.max(HELD_VERSION + 1),
            at: now,
            was_lost,
            value,
        };
        self.tombstones.insert(key.to_owned(), tombstone);
    }

    /// Applies one row with a later version than the known one. Returns whether it
    /// changed the copy.
    fn apply_row(&mut self, row: TableRow, now: Instant, rules: &dyn RowRules) -> bool {
        let Some(value) = row.value else {
            self.remove_row(&row.key, row.version, false, now);
            return true;
        };
        if self.must_hold(&row.key, row.version, &value, now, rules) {
            self.held.insert(row.key, Some(row.version));
            return false;
        }
        self.held.remove(&row.key);
        self.tombstones.remove(&row.key);
        let known = self.rows.get(&row.key);
        let unchanged_since = known
            .filter(|known| rules.is_equivalent(&known.value, &value))
            .map(|known| known.meaning_version);
        let new = MirrorRow {
            version: row.version,
            meaning_version: unchanged_since.unwrap_or(row.version),
            value,
        };
        self.rows.insert(row.key, new);
        unchanged_since.is_none()
    }

    /// Whether a row of a restored table is older than what is known of it. Where the
    /// values do not tell, it is taken for older until [`REWRITE_GRACE`] has passed,
    /// unless the table service had caught up with the known state before. An older one
    /// that is written after that time is not from the restored table: its writer counts
    /// anew, as a server does whose clock was set back.
    fn must_hold(
        &self,
        key: &str,
        version: u64,
        value: &[u8],
        now: Instant,
        rules: &dyn RowRules,
    ) -> bool {
        if self.restored_at.is_none() {
            return false;
        }
        let is_behind = self.upto.is_none() || self.is_held(key);
        let is_unsettled = is_behind && self.is_settling(now);
        let is_new = self.upto.is_some_and(|upto| version > upto) && !self.is_settling(now);
        if let Some(known) = self.rows.get(key) {
            return !rules.is_equivalent(&known.value, value)
                && match rules.compare_age(key, value, &known.value) {
                    Some(Ordering::Greater) => false,
                    Some(Ordering::Less) => !is_new,
                    Some(Ordering::Equal) | None => is_unsettled,
                };
        }
        let Some(tombstone) = self.tombstones.get(key) else {
            return false;
        };
        let Some(known) = &tombstone.value else {
            return false;
        };
        match rules.compare_age(key, value, known) {
            Some(order) if !tombstone.was_lost => order != Ordering::Greater && !is_new,
            _ => is_unsettled,
        }
    }

    fn expire_tombstones(&mut self, now: Instant) {
        let old: Vec<(String, u64)> = self
            .tombstones
            .iter()
            .filter(|(_, tombstone)| {
                now.saturating_duration_since(tombstone.at) > TOMBSTONE_RETENTION
            })
            .map(|(key, tombstone)| (key.clone(), tombstone.version))
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
                .filter(|(_, tombstone)| changed(tombstone.version));
            rows.extend(removed_rows.map(|(key, tombstone)| TableRow {
                key: key.clone(),
                version: tombstone.version,
                value: None,
            }));
        }
        Some(TableBatch {
            rows,
            upto,
            complete: from.is_none(),
            age,
            service_time: None,
            era: self.era,
            is_copy: true,
        })
    }
}
