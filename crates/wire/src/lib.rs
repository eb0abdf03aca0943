//! Message types for communication between processes, and rows in the table.
//!
//! Domain types of the policy crate are never serialized directly. Each message
//! has its own types here, converted with `From` and `TryFrom`, so that changing
//! a domain type cannot change the wire format by accident, and so that every
//! value received from the network is validated once, on entry.

pub mod operator;
pub mod peer;
pub mod rows;
