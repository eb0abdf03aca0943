//! Moves of traffic: rollouts of a version and shifts between data centres.
//!
//! A move raises the share of its target in steps. Each step is one write of
//! the move's record, which any instance may make. The states and transitions
//! are defined in `movement.toml`; [`MoveStateMachine`] checks and interprets
//! them. The share exceeds the cap only after the target is proved sound, and a
//! move ends as completed or rolled back (`taken_back`) before its deadline.

mod contract_change;
mod decision;
mod order;
mod shares;
mod state_machine;
mod steps;

use std::fmt;
use std::str::FromStr;

use crate::ids::IdError;

pub use contract_change::check_contract_change;
pub use decision::{MoveEvidence, StepDecision, TargetAssessment};
pub use order::{MAX_CAP, MAX_DEADLINE, MIN_CAP, MIN_DEADLINE, MoveOrder, check_order};
pub use shares::{
    CentreShiftShare, VersionSplit, active_moves, centre_shifts, leading_move, stable_version,
    version_shares, version_split,
};
pub use state_machine::{MoveStateMachine, StateMachineError};
pub use steps::{MIN_STEP_REQUESTS, MIN_STEP_TIME, ROLLBACK_RESERVE, SETTLE_TIME, required_margin};

macro_rules! named_enum {
    ($(#[$doc:meta])* $type:ident, $kind:literal, $($(#[$variant_doc:meta])* $variant:ident = $name:literal),+ $(,)?) => {
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
        pub enum $type {
            $($(#[$variant_doc])* $variant),+
        }

        impl $type {
            /// All values.
            pub const ALL: &'static [Self] = &[$(Self::$variant),+];
        }

        impl fmt::Display for $type {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(match self { $(Self::$variant => $name),+ })
            }
        }

        impl FromStr for $type {
            type Err = IdError;

            fn from_str(text: &str) -> Result<Self, IdError> {
                match text {
                    $($name => Ok(Self::$variant),)+
                    _ => Err(IdError::Form {
                        kind: $kind,
                        text: text.to_owned(),
                        reason: concat!("expected one of", $(" ", $name),+),
                    }),
                }
            }
        }
    };
}

named_enum!(
    /// A state in the life cycle of a move.
    MoveState, "move state",
    /// Accepted; no traffic is moved yet.
    Planned = "planned",
    /// A share of the traffic goes to the target.
    Shifting = "shifting",
    /// All traffic goes to the target. Final.
    Completed = "completed",
    /// Rolling back: the share is zero, but some instances may not know it yet.
    TakingBack = "taking_back",
    /// Rolled back: no traffic goes to the target. Final.
    TakenBack = "taken_back",
);

impl MoveState {
    /// Whether a move in this state has ended.
    #[must_use]
    pub const fn is_final(self) -> bool {
        matches!(self, Self::Completed | Self::TakenBack)
    }
}

named_enum!(
    /// An event that can trigger a transition.
    MoveEvent, "move event",
    /// The move may take its first share.
    Start = "start",
    /// Triggered at each evaluation, to advance by time.
    Step = "step",
    /// The target is proved sound.
    Sound = "sound",
    /// The target has a detected fault.
    Fault = "fault",
    /// Only the time reserved for a rollback is left before the deadline.
    Deadline = "deadline",
    /// An operator cancels the move.
    Cancel = "cancel",
);

named_enum!(
    /// A condition that must hold for a transition to be taken.
    MoveGuard, "move guard",
    /// The step has lasted its full time, or its minimum time with enough
    /// requests.
    StepOver = "step_over",
    /// The next share is within the cap, or the target is proved sound.
    NextShareAllowed = "next_share_allowed",
    /// All traffic goes to the target.
    AllSharesTaken = "all_shares_taken",
    /// Enough time has passed for the withdrawn share to take effect on all
    /// instances.
    Settled = "settled",
);

named_enum!(
    /// The effect of a transition on the share.
    MoveAction, "move action",
    /// Raises the share to that of the next step.
    TakeNextShare = "take_next_share",
    /// Leaves the share unchanged.
    KeepShare = "keep_share",
    /// Sets the share to zero.
    DropShare = "drop_share",
);
