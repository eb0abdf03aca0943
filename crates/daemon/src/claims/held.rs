//! A claim while its request runs.

use std::rc::Rc;

use tarragonpulley_backing::RowKey;
use tarragonpulley_policy::claim::{ClaimRow, ClaimState};

use super::{ClaimEnd, ClaimWriter};

/// Marks an identity as being worked on here until dropped.
#[derive(Debug)]
pub(super) struct LocalEntry {
    writer: Rc<ClaimWriter>,
    key: RowKey,
}

impl LocalEntry {
    pub(super) fn new(writer: &Rc<ClaimWriter>, key: &RowKey, fingerprint: &str) -> Self {
        writer
            .local
            .borrow_mut()
            .insert(key.clone(), fingerprint.to_owned());
        Self {
            writer: Rc::clone(writer),
            key: key.clone(),
        }
    }
}

impl Drop for LocalEntry {
    fn drop(&mut self) {
        self.writer.local.borrow_mut().remove(&self.key);
    }
}

/// A claim that this request holds. When it is dropped without an end, its
/// outcome is recorded as unknown.
#[derive(Debug)]
pub(crate) struct HeldClaim {
    local: LocalEntry,
    row: ClaimRow,
    modified: u64,
    end: Option<ClaimEnd>,
}

impl HeldClaim {
    pub(super) const fn new(local: LocalEntry, row: ClaimRow, modified: u64) -> Self {
        Self {
            local,
            row,
            modified,
            end: None,
        }
    }

    /// Ends the claim. The result is written in the background, and repeats on
    /// this instance see it at once.
    pub(crate) fn settle(mut self, end: ClaimEnd) {
        self.end = Some(end);
    }
}

impl Drop for HeldClaim {
    fn drop(&mut self) {
        let results = &self.local.writer.results;
        let key = self.local.key.clone();
        let mut row = self.row.clone();
        match self.end.take() {
            Some(ClaimEnd::NotRun) => results.release(key, row, true),
            Some(ClaimEnd::Answered(answer)) => {
                row.state = ClaimState::Done(answer);
                results.record(key, row, self.modified);
            }
            Some(ClaimEnd::Unknown) | None => {
                row.state = ClaimState::Unknown;
                results.record(key, row, self.modified);
            }
        }
    }
}
