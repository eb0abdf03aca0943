//! Tests of the guarantees in section 2 of the design, with real processes
//! connected through the fault proxy.
//!
//! Each test acquires permits before it starts a fleet, so that the tests of
//! this binary together stay within the cores and processes of a small machine.

mod claims;
mod common;
mod config;
mod keys;
mod limits;
mod overload;
mod responses;
mod rollouts;
mod stops;
