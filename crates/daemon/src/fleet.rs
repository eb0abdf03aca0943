//! State that is replicated between the instances of a fleet.
//!
//! [`FleetState`] polls the table and the instance list and sends the heartbeats
//! of one instance. On top of them it implements the traits of `interfaces` for
//! configuration, limits, facts, members and events. Everything runs on one
//! thread, and no borrow of the shared state is held across an await.

mod change;
mod config;
mod core;
mod edit;
mod events;
mod facts;
mod heartbeat;
mod leave;
mod link;
mod members;
mod metrics;
mod peer_record;
mod peering;
mod reclaim;
mod rights_service;
mod rights_state;
mod serve;
mod sync;
mod watch;

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_rt::task::JoinHandle;
use prometheus_client::registry::Registry;
use tarragonpulley_backing::{InstanceList, TableService};
use tarragonpulley_policy::clock::TimeSource;
use tarragonpulley_policy::ids::{CentreName, IncarnationId, LimitKey};
use tokio::net::TcpListener;

use self::core::FleetCore;
use self::metrics::FleetMetrics;
use crate::interfaces::{ConfigSource, EventSink, GossipFacts, MemberSource, RightsSource};

/// The inputs of [`FleetState::start`].
#[derive(Debug)]
pub(crate) struct FleetOptions {
    /// The incarnation of this process.
    pub(crate) own: IncarnationId,
    /// The data centre of the instance.
    pub(crate) centre: CentreName,
    /// The address for callers.
    pub(crate) service_address: SocketAddr,
    /// The address for other instances.
    pub(crate) peer_address: SocketAddr,
    /// The listener bound to `peer_address`.
    pub(crate) listener: TcpListener,
    /// The source of wall-clock and monotonic time.
    pub(crate) clock: Rc<dyn TimeSource>,
    /// The platform's table service.
    pub(crate) table: Rc<dyn TableService>,
    /// The platform's list of instances.
    pub(crate) list: Rc<dyn InstanceList>,
}

/// The running state of one instance. Dropping it aborts its tasks and closes
/// its peer connections.
#[derive(Debug)]
pub(crate) struct FleetState {
    core: Rc<FleetCore>,
    tasks: Vec<JoinHandle<()>>,
}

impl FleetState {
    /// Spawns the background tasks on the current thread's runtime and registers
    /// the metrics in `registry`.
    pub(crate) fn start(options: FleetOptions, registry: &mut Registry) -> Self {
        let (core, listener) = FleetCore::new(options, FleetMetrics::register(registry));
        let tasks = vec![
            actix_rt::spawn(peering::serve(Rc::clone(&core), listener)),
            actix_rt::spawn(sync::read_table(Rc::clone(&core))),
            actix_rt::spawn(sync::read_list(Rc::clone(&core))),
            actix_rt::spawn(reclaim::maintain_rights(Rc::clone(&core))),
        ];
        Self { core, tasks }
    }

    /// The configuration and its proof.
    pub(crate) fn config(&self) -> Rc<dyn ConfigSource> {
        Rc::<FleetCore>::clone(&self.core)
    }

    /// The fleet-wide limits.
    pub(crate) fn rights(&self) -> Rc<dyn RightsSource> {
        Rc::<FleetCore>::clone(&self.core)
    }

    /// The facts that instances replicate to each other.
    pub(crate) fn facts(&self) -> Rc<dyn GossipFacts> {
        Rc::<FleetCore>::clone(&self.core)
    }

    /// The entry instances.
    pub(crate) fn members(&self) -> Rc<dyn MemberSource> {
        Rc::<FleetCore>::clone(&self.core)
    }

    /// The event timeline.
    pub(crate) fn events(&self) -> Rc<dyn EventSink> {
        Rc::<FleetCore>::clone(&self.core)
    }

    /// The current incarnation. It changes when the fleet has fenced this process,
    /// for example while the process was paused.
    pub(crate) fn own(&self) -> IncarnationId {
        self.core.own().clone()
    }

    /// The shares of a limit that this instance holds.
    pub(crate) fn shares(&self, limit: &LimitKey) -> u64 {
        self.core.rights.borrow().ledger.shares(limit)
    }

    /// Announces that this instance leaves, transfers its rights to a peer and
    /// waits for the acknowledgements, `timeout` at most. Returns whether they
    /// have arrived. Slots of running requests keep their shares until the
    /// requests end.
    pub(crate) async fn leave(&self, timeout: Duration) -> bool {
        self.core.leave_within(timeout).await
    }

    /// Resolves once the configuration is proved to be current.
    pub(crate) async fn ready(&self) {
        self.core.wait_for(|core| core.proof_age().is_some()).await;
    }
}

impl Drop for FleetState {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
        for link in self.core.all_links() {
            link.close();
        }
    }
}
