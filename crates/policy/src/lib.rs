//! Decisions of tarragonpulley.
//!
//! Everything here is pure: state, an event and a time go in, an outcome comes
//! out. There are no sockets and no runtime, so each decision can be tested
//! with a manual clock and seeded input. The invariants that the fleet relies
//! on are asserted here, also in release builds; a broken one stops the process.

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
