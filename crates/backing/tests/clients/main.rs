//! Tests the HTTP clients against the platform stand-in, with and without faults.

mod common;
mod list;
mod objects;
mod table;
