//! Decisions of an entry instance that runs on a shared table.
//!
//! An instance follows the operator's configuration and the list of backend
//! servers, and decides for each request whether it is admitted, where it runs
//! and whether it may run again. Limits that bind the whole fleet are kept with
//! compact digests that the instances exchange, without a coordinator.

pub mod admission;
pub mod budget;
pub mod cold;
pub mod config;
pub mod crash;
pub mod digest;
pub mod directory;
pub mod health;
pub mod names;
pub mod placement;
pub mod quota;
pub mod region_share;
pub mod split;
pub mod trial;
