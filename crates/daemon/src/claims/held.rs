//! A held claim, for the time that its request runs.

use std::rc::Rc;

use tarragonpulley_backing::RowKey;
use tarragonpulley_policy::claim::{ClaimRow, ClaimState};

use super::{ClaimResolution, ClaimWriter};

/// Marks an identity as in use on this instance until dropped.
#[derive(Debug)]
pub(super) struct LocalClaim {
    writer: Rc<ClaimWriter>,
    key: RowKey,
}

impl LocalClaim {
    pub(super) fn new(writer: &Rc<ClaimWriter>, key: &RowKey, fingerprint: &str) -> Self {
        writer
            .local_claims
            .borrow_mut()
            .insert(key.clone(), fingerprint.to_owned());
        Self {
            writer: Rc::clone(writer),
            key: key.clone(),
        }
    }
}

impl Drop for LocalClaim {
    fn drop(&mut self) {
        self.writer.local_claims.borrow_mut().remove(&self.key);
    }
}

/// A claim held by a request. If it is dropped without a resolution, the
/// outcome is recorded as unknown.
#[derive(Debug)]
pub(crate) struct HeldClaim {
    local_claim: LocalClaim,
    row: ClaimRow,
    modified: u64,
    resolution: Option<ClaimResolution>,
}

impl HeldClaim {
    pub(super) const fn new(local_claim: LocalClaim, row: ClaimRow, modified: u64) -> Self {
        Self {
            local_claim,
            row,
            modified,
            resolution: None,
        }
    }

    /// Resolves the claim. The result is written in the background; retries on
    /// this instance see it immediately.
    pub(crate) fn resolve(mut self, resolution: ClaimResolution) {
        self.resolution = Some(resolution);
    }
}

impl Drop for HeldClaim {
    fn drop(&mut self) {
        let results = &self.local_claim.writer.results;
        let key = self.local_claim.key.clone();
        let mut row = self.row.clone();
        match self.resolution.take() {
            Some(ClaimResolution::NotRun) => results.release(key, row, true),
            Some(ClaimResolution::Responded(response)) => {
                row.state = ClaimState::Done(response);
                results.record(key, row, self.modified);
            }
            Some(ClaimResolution::Unknown) | None => {
                row.state = ClaimState::Unknown;
                results.record(key, row, self.modified);
            }
        }
    }
}
