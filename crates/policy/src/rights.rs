//! Fleet-wide limits by transferable shares.
//!
//! Each instance holds a part of every limit and gives away only what it
//! holds, so that all instances together stay inside the limit without a
//! coordinator. A lost, late or repeated message causes under-use, never
//! over-use. [`RightsLedger`] is the state of one incarnation.

mod counter;
mod ledger;
mod plan;
mod record;

pub use counter::{CounterUpdate, TransferCounter};
pub use ledger::{
    AdoptOutcome, PeerSummaries, ReceiveOutcome, RightsLedger, RightsOutcome, RightsSummary,
    RightsWant,
};
pub use plan::{LimitPlan, TOTAL_SHARES, limits_of};
pub use record::{
    FenceReport, GenerationRecord, PairAmounts, ReclaimError, ReclaimRecord, plan_reclaim,
};
