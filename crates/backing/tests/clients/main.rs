//! Tests the HTTP clients against the simulated platform, with and without faults.

mod common;
mod list;
mod objects;
mod table;
