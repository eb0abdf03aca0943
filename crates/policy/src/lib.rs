//! Decision logic of tarragonpulley, without I/O.
//!
//! The types in this crate compute decisions from state, events and times that
//! the caller passes in. They use no sockets and no async runtime, so that each
//! decision can be tested with a manual clock and seeded input. The invariants
//! that the fleet relies on are asserted in release builds too; a violation
//! stops the process.

pub mod claim;
pub mod clock;
pub mod contract;
pub mod credential;
pub mod entry;
pub mod evidence;
pub mod facts;
pub mod freshness;
pub mod ids;
pub mod lease;
pub mod membership;
pub mod movement;
mod name_type;
pub mod probing;
pub mod quarantine;
pub mod retry;
pub mod rights;
pub mod routing;
pub mod snapshot;
pub mod steering;
pub mod timeline;
pub mod units;
