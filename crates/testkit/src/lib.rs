//! Stand-ins, fault proxy and launcher for tests and the demo.
//!
//! The binaries of this crate play the outside world: `standin-platform` (table
//! service, object store, instance list), `standin-backend` (a backend server)
//! and `fault-proxy` (a TCP link that can fail). The library starts them and
//! the daemon as processes, each on port 0, and speaks to them.
//!
//! Binaries are looked up beside the running test or demo. `cargo test
//! --workspace` builds all of them; the library builds nothing.

mod backend;
mod client;
mod control;
mod deployment;
mod fleet;
mod http_server;
mod platform;
mod process;
mod proxy;
mod table;
mod wait;

pub use backend::{BackendOptions, run_backend};
pub use client::{TestClient, TestRequest, TestResponse};
pub use control::{
    BackendControl, BackendCounts, BackendFault, CatalogRecord, DirectionFault, FreezeDirections,
    HealthFault, LinkControl, LinkTarget, LoseMode, PlatformControl, PlatformCounts, RateCount,
    RunCount, ServiceFault, ServiceMode,
};
pub use deployment::{
    DeployedServer, Deployment, RouteKind, RouteSpec, ServiceSpec, TeamSpec, contract_text,
};
pub use fleet::{BackendHandle, Fleet, FleetBuilder, InstanceAddresses, InstanceHandle};
pub use http_server::print_address;
pub use platform::{PlatformOptions, run_platform};
pub use process::{Process, ProcessCommand, binary_path};
pub use proxy::{ProxyOptions, run_proxy};
pub use wait::wait_until;
