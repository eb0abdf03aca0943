//! The state that the instances of a fleet share.
//!
//! [`FleetState`] runs the table reader, the list reader and the heartbeats of
//! one instance, and implements the borders for configuration, limits, facts,
//! members and events on top of them. All of it runs on one thread; no borrow
//! of the shared state is held across an await.

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
use crate::border::{ConfigSource, EventSink, FactBoard, MemberSource, RightsSource};

/// What a [`FleetState`] is started with.
#[derive(Debug)]
pub(crate) struct FleetOptions {
    /// This run of the instance.
    pub(crate) own: IncarnationId,
    /// The data centre of the instance.
    pub(crate) centre: CentreName,
    /// Where callers reach the instance.
    pub(crate) service_address: SocketAddr,
    /// Where other instances reach the instance.
    pub(crate) peer_address: SocketAddr,
    /// Listens at `peer_address`.
    pub(crate) listener: TcpListener,
    /// Time.
    pub(crate) clock: Rc<dyn TimeSource>,
    /// The platform's table.
    pub(crate) table: Rc<dyn TableService>,
    /// The platform's list of instances.
    pub(crate) list: Rc<dyn InstanceList>,
}

/// The running state of one instance. Dropping it ends its tasks.
#[derive(Debug)]
pub(crate) struct FleetState {
    core: Rc<FleetCore>,
    tasks: Vec<JoinHandle<()>>,
}

impl FleetState {
    /// Starts the readers and the heartbeats on the present thread's runtime.
    /// Its metrics go into `registry`.
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

    /// Facts that travel between instances.
    pub(crate) fn facts(&self) -> Rc<dyn FactBoard> {
        Rc::<FleetCore>::clone(&self.core)
    }

    /// The entry instances.
    pub(crate) fn members(&self) -> Rc<dyn MemberSource> {
        Rc::<FleetCore>::clone(&self.core)
    }

    /// The time line.
    pub(crate) fn events(&self) -> Rc<dyn EventSink> {
        Rc::<FleetCore>::clone(&self.core)
    }

    /// The present incarnation. A process that the fleet fenced while it was
    /// paused goes on as a new one.
    pub(crate) fn own(&self) -> IncarnationId {
        self.core.own().clone()
    }

    /// Shares that this instance holds of a limit.
    pub(crate) fn shares(&self, limit: &LimitKey) -> u64 {
        self.core.rights.borrow().ledger.shares(limit)
    }

    /// Tells the peers that this instance leaves, gives them its rights and
    /// waits until they have acknowledged both, `limit` at most. Returns
    /// whether they have. Slots of running requests keep their shares until
    /// the requests end.
    pub(crate) async fn leave(&self, timeout: Duration) -> bool {
        self.core.leave_within(timeout).await
    }

    /// Resolves once the configuration has been proved current.
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
