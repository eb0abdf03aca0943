//! Decisions of an entry instance that is configured through a shared table.
//!
//! An instance watches the operator's configuration and the list of backend
//! servers. For each request it decides whether the request is admitted, which
//! server runs it and whether it may be retried. Fleet-wide limits are enforced
//! without a coordinator: the instances exchange compact digests of their state.

pub mod admission;
pub mod budget;
pub mod canary;
pub mod cold;
pub mod config;
pub mod crash;
pub mod digest;
pub mod directory;
pub mod duty;
pub mod health;
pub mod link_load;
pub mod names;
pub mod placement;
pub mod popular_objects;
pub mod quota;
pub mod reach;
pub mod region_share;
pub mod restart;
pub mod send_gate;
pub mod server_evidence;
pub mod server_limit;
pub mod share;
pub mod split;
pub mod stopping;
pub mod team_shares;
pub mod usage;
pub mod work_estimate;
