//! Real processes behind the fault proxy, for the guarantees of section 2 of
//! the design.
//!
//! Every fleet takes permits before it starts, so that the tests of this
//! binary together stay within the cores and processes of a small machine.

mod answers;
mod claims;
mod common;
mod config;
mod keys;
mod limits;
mod overload;
mod rollouts;
mod stops;
