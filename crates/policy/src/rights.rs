//! Fleet-wide limits by transferable shares.
//!
//! Each instance holds a part of every limit and gives away only what it
//! holds, so that all instances together stay inside the limit without a
//! coordinator. A lost, late or repeated message causes under-use, never
//! over-use. [`RightsLedger`] is the state of one incarnation.

mod balance;
mod bucket;
mod counter;
mod demand;
mod holding;
mod ledger;
mod outcome;
mod plan;
mod rebalance;
mod reclaim;
mod record;
mod surplus;
mod transfer;

pub use counter::{CounterUpdate, TransferCounter};
pub use ledger::{GrantTimes, RightsLedger};
pub use outcome::{
    AdoptOutcome, PeerSummaries, RateDecision, ReceiveOutcome, RightsSummary, ShareRequest,
};
pub use plan::{LimitPlan, TOTAL_SHARES, limit_plans, max_run_times};
pub use reclaim::plan_reclaim;
pub use record::{FenceReport, GenerationRecord, PairAmounts, ReclaimError, ReclaimRecord};
