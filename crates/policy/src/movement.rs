//! Moves of traffic: rollouts and shifts between data centres.
//!
//! A move goes up in steps, and each step is one write of its record by any
//! instance. The states and transitions are in `movement.toml`; [`MovementChart`]
//! checks and interprets them. Above its cap a move goes only when its target
//! is proved sound, and it ends as completed or taken back before its deadline.

mod chart;
mod contract_change;
mod decision;
mod order;
mod shares;
mod steps;

use std::fmt;
use std::str::FromStr;

use crate::ids::IdError;

pub use chart::{ChartError, MovementChart};
pub use contract_change::check_contract_change;
pub use decision::{MoveEvidence, SoundVerdict, StepOutcome};
pub use order::{MAX_CAP, MAX_DEADLINE, MIN_CAP, MIN_DEADLINE, MoveOrder, check_order};
pub use shares::{
    CentreShiftShare, VersionSplit, active_moves, centre_shifts, leading_move, settled_version,
    version_shares, version_split,
};
pub use steps::{MIN_STEP_REQUESTS, MIN_STEP_TIME, SETTLE_TIME, TAKE_BACK_TIME, required_proof};

macro_rules! named_values {
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

named_values!(
    /// A state of a move.
    MoveState, "move state",
    /// Ordered, nothing moved.
    Planned = "planned",
    /// A share of the traffic has moved.
    Shifting = "shifting",
    /// All traffic has moved; the end.
    Completed = "completed",
    /// No share is moved any more; waits until that holds everywhere.
    TakingBack = "taking_back",
    /// Nothing is moved; the end.
    TakenBack = "taken_back",
);

impl MoveState {
    /// Whether a move in this state is over.
    #[must_use]
    pub const fn is_final(self) -> bool {
        matches!(self, Self::Completed | Self::TakenBack)
    }
}

named_values!(
    /// What happens to a move.
    MoveEvent, "move event",
    /// The move may begin.
    Start = "start",
    /// Time has passed.
    Step = "step",
    /// The target is proved sound.
    Sound = "sound",
    /// The target showed a fault.
    Fault = "fault",
    /// Only the time for taking the move back is left.
    Deadline = "deadline",
    /// An operator cancels the move.
    Cancel = "cancel",
);

named_values!(
    /// A condition of a transition.
    MoveGuard, "move guard",
    /// The step has had its time, or its least time and enough requests.
    StepOver = "step_over",
    /// The next share is within the cap, or the target is proved sound.
    NextShareAllowed = "next_share_allowed",
    /// All traffic has moved.
    AllSharesTaken = "all_shares_taken",
    /// The withdrawn share had the time to take effect everywhere.
    Settled = "settled",
);

named_values!(
    /// What a transition does to the share.
    MoveAction, "move action",
    /// Raises the share by one step.
    TakeNextShare = "take_next_share",
    /// Leaves the share as it is.
    KeepShare = "keep_share",
    /// Moves nothing any more.
    DropShare = "drop_share",
);
