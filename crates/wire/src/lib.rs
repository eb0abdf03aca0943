//! Message types between processes.
//!
//! Domain types of the policy crate are never encoded directly: each message
//! has its own types here with `From` and `TryFrom`, so that a change inside
//! the program cannot change a message by accident, and each value from the
//! network is checked once, where it enters.

pub mod operator;
pub mod peer;
pub mod rows;
