//! Test harness: stand-ins for external systems, a fault-injecting TCP proxy
//! and a process launcher, used by tests, the demo and the load generators.
//!
//! The binaries simulate the systems around the daemon: `standin-platform`
//! (table service, object store and instance list), `standin-backend` (a
//! backend server) and `fault-proxy` (TCP links with injected faults). The
//! library starts them and the daemon as child processes, each listening on
//! port 0, and provides an HTTP client for them.
//!
//! Binaries are found in the target directory of the running executable. The
//! library doesn't build them; `cargo test --workspace` does.

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
