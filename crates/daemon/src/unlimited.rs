//! Borders whose modules are being added: every limit admits, and outcomes of
//! attempts are dropped.

use std::time::Instant;

use futures_util::future::LocalBoxFuture;
use tarragonpulley_policy::ids::LimitKey;

use crate::border::{AdmitOutcome, AttemptReport, EvidenceSink, RightsSource, SlotGuard};

/// Admits everything.
#[derive(Debug)]
pub(crate) struct UnlimitedRights;

#[derive(Debug)]
struct FreeSlot;

impl SlotGuard for FreeSlot {}

impl RightsSource for UnlimitedRights {
    fn admit(&self, _limit: LimitKey, _deadline: Instant) -> LocalBoxFuture<'_, AdmitOutcome> {
        Box::pin(async { AdmitOutcome::Admitted })
    }

    fn take_slots(&self, _limits: &[LimitKey]) -> Option<Box<dyn SlotGuard>> {
        Some(Box::new(FreeSlot))
    }

    fn request_slots(&self, _limits: Vec<LimitKey>, _deadline: Instant) -> LocalBoxFuture<'_, ()> {
        Box::pin(async {})
    }
}

impl EvidenceSink for UnlimitedRights {
    fn note(&self, _attempt: &AttemptReport) {}
}
