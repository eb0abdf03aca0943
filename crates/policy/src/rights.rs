//! Fleet-wide limits, enforced by shares that instances transfer to each other.
//!
//! Every instance holds shares of each limit, admits only what its shares
//! allow, and transfers only shares that it holds. The fleet as a whole
//! therefore stays within the limit without a coordinator. A lost, delayed or
//! duplicated message can leave some of a limit unused, but can't exceed it.
//!
//! Shares enter circulation as a *grant* of the generation record: the first
//! holder of a generation gets all of them, and a reclaim grants those of
//! removed incarnations to a surviving one. From then on they move between
//! peers by *transfers*. [`RightsLedger`] is the state of one incarnation.

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
