//! The lifecycle of one entry instance.
//!
//! A graceful shutdown must not interrupt a request. The order of the steps in
//! [`EntryInstance::shutdown`] follows from what still refers to the instance:
//! clients cache lookup responses, peers rely on its rights, and claims wait for
//! their results.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, UNIX_EPOCH};

use eyre::WrapErr;
use prometheus_client::registry::Registry;
use serde::Serialize;
use tarragonpulley_backing::{HttpInstanceList, HttpObjectStore, HttpTableService};
use tarragonpulley_policy::clock::{SystemClock, TimeSource};
use tarragonpulley_policy::facts::{FactKey, FactValue};
use tarragonpulley_policy::ids::IncarnationId;
use tarragonpulley_policy::movement::MoveStateMachine;
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};

use crate::fleet::{FleetOptions, FleetState};
use crate::frontend::{FrontendHandler, FrontendLimits, ServiceFrontend};
use crate::http_server::{HttpServer, HttpServerHandle, ServerLimits};
use crate::interfaces::{ConfigSource, InstanceContext};
use crate::mover::{EvidenceCollector, MoveDriver, MoveGuard};
use crate::operator::OperatorApi;
use crate::settings::InstanceSettings;

/// Validity of lookup responses while no contract is known.
const DEFAULT_LOOKUP_VALIDITY: Duration = Duration::from_secs(1);

/// Longest wait for running requests and claims after the service port is closed.
/// Route timeouts end requests earlier; only claims during a table outage reach it.
const COMPLETION_TIMEOUT: Duration = Duration::from_secs(30);

/// Longest wait for peers to acknowledge the transferred rights. Rights that were
/// not transferred are reclaimed after the shutdown.
const LEAVE_TIMEOUT: Duration = Duration::from_secs(5);

/// Interval between checks whether an instance in shutdown is idle.
const IDLE_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Maximum open connections on the operator port.
const MAX_OPERATOR_CONNECTIONS: usize = 64;

/// The addresses that an instance listens on, printed as one line of JSON.
#[derive(Debug, Serialize)]
struct ListenReport {
    service: SocketAddr,
    operator: SocketAddr,
    peer: SocketAddr,
}

/// A running entry instance.
struct EntryInstance {
    context: InstanceContext,
    fleet: FleetState,
    frontend: FrontendHandler,
    service: HttpServerHandle,
    operator: HttpServerHandle,
    mover: MoveGuard,
}

/// Runs an instance until it receives a signal.
///
/// Prints the bound addresses on standard output once it listens. SIGTERM and
/// SIGINT start a graceful shutdown; a second signal ends the process at once.
///
/// # Errors
///
/// Returns an error if a port cannot be bound or a signal handler cannot be installed.
pub async fn run(settings: InstanceSettings) -> eyre::Result<()> {
    let mut terminate =
        signal(SignalKind::terminate()).wrap_err("installing the SIGTERM handler")?;
    let mut interrupt =
        signal(SignalKind::interrupt()).wrap_err("installing the SIGINT handler")?;
    let instance = EntryInstance::start(&settings).await?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    tokio::select! {
        () = instance.shutdown() => {}
        _ = terminate.recv() => log::warn!("second signal: exiting without a drain"),
        _ = interrupt.recv() => log::warn!("second signal: exiting without a drain"),
    }
    Ok(())
}

async fn bind(address: SocketAddr, port: &str) -> eyre::Result<TcpListener> {
    TcpListener::bind(address)
        .await
        .wrap_err_with(|| format!("listening on {address} for the {port} port"))
}

/// The incarnation of this process. Its number is the milliseconds since the Unix
/// epoch, which grow from start to start; an instance has no disk for a counter.
fn incarnation(settings: &InstanceSettings, clock: &dyn TimeSource) -> IncarnationId {
    let elapsed = clock.system().duration_since(UNIX_EPOCH);
    let millis = elapsed.unwrap_or_default().as_millis();
    IncarnationId {
        instance: settings.instance.clone(),
        number: u64::try_from(millis).unwrap_or(u64::MAX),
    }
}

impl EntryInstance {
    async fn start(settings: &InstanceSettings) -> eyre::Result<Self> {
        let service = bind(settings.service_address, "service").await?;
        let operator = bind(settings.operator_address, "operator").await?;
        let peer = bind(settings.peer_address, "peer").await?;
        let report = ListenReport {
            service: service.local_addr()?,
            operator: operator.local_addr()?,
            peer: peer.local_addr()?,
        };

        let clock: Rc<dyn TimeSource> = Rc::new(SystemClock);
        let incarnation = incarnation(settings, &*clock);
        let timeout = settings.platform_timeout;
        let table = Rc::new(HttpTableService::new(settings.table_url.as_str(), timeout));
        let objects = Rc::new(HttpObjectStore::new(settings.object_url.as_str(), timeout));
        let list = Rc::new(HttpInstanceList::new(settings.list_url.as_str(), timeout));
        let state_machine =
            Rc::new(MoveStateMachine::built_in().wrap_err("loading the state machine of moves")?);
        let mut registry = Registry::with_prefix("tarragonpulley");
        let options = FleetOptions {
            own: incarnation.clone(),
            centre: settings.data_centre.clone(),
            service_address: report.service,
            peer_address: report.peer,
            listener: peer,
            clock: Rc::clone(&clock),
            table: Rc::<HttpTableService>::clone(&table),
            list,
        };
        let fleet = FleetState::start(options, &mut registry);
        let evidence = EvidenceCollector::new(Rc::clone(&clock), fleet.facts(), fleet.events());
        let context = InstanceContext {
            incarnation,
            centre: settings.data_centre.clone(),
            clock,
            config: fleet.config(),
            rights: fleet.rights(),
            facts: fleet.facts(),
            members: fleet.members(),
            events: fleet.events(),
            evidence: Rc::<EvidenceCollector>::clone(&evidence),
            table,
            objects,
        };
        let mover = MoveDriver::start(context.clone(), evidence, Rc::clone(&state_machine));
        let frontend =
            ServiceFrontend::start(context.clone(), FrontendLimits::default(), &mut registry);
        let operator_api = OperatorApi::new(context.clone(), Rc::new(registry), state_machine);
        let limits = ServerLimits {
            max_connections: settings.max_connections,
            ..ServerLimits::default()
        };
        let operator_limits = ServerLimits {
            max_connections: MAX_OPERATOR_CONNECTIONS,
            ..ServerLimits::default()
        };
        let instance = Self {
            service: HttpServer::start(service, Rc::new(frontend.clone()), limits),
            operator: HttpServer::start(operator, operator_api, operator_limits),
            context,
            fleet,
            frontend,
            mover,
        };
        println!("{}", serde_json::to_string(&report)?);
        let events = &instance.context.events;
        events.record(
            "instance_started",
            instance.context.incarnation.instance.as_str(),
            "",
        );
        Ok(instance)
    }

    /// Stops the instance without interrupting a request.
    async fn shutdown(self) {
        let own = &self.context.incarnation;
        let events = &self.context.events;
        events.record("instance_leaving", own.instance.as_str(), "");
        let leaving = FactKey::InstanceLeaving(own.clone());
        self.context.facts.publish(leaving, FactValue::Flag, true);
        drop(self.mover);
        // Clients use this instance until their lookup responses expire.
        actix_rt::time::sleep(longest_validity(&*self.context.config)).await;
        self.service.drain().await;
        let completed =
            actix_rt::time::timeout(COMPLETION_TIMEOUT, wait_until_idle(&self.frontend)).await;
        if completed.is_err() {
            log::warn!(
                "shutting down with unfinished requests or claims after {COMPLETION_TIMEOUT:?}"
            );
        }
        self.frontend.frontend().stop_loops();
        if !self.fleet.leave(LEAVE_TIMEOUT).await {
            log::warn!("peers did not acknowledge the transferred rights within {LEAVE_TIMEOUT:?}");
        }
        events.record("instance_stopped", own.instance.as_str(), "");
        self.operator.drain().await;
    }
}

async fn wait_until_idle(frontend: &FrontendHandler) {
    while !frontend.frontend().is_idle() {
        actix_rt::time::sleep(IDLE_POLL_INTERVAL).await;
    }
}

fn longest_validity(config: &dyn ConfigSource) -> Duration {
    let snapshot = config.snapshot();
    let validity = snapshot.contracts.values().map(|c| c.lookup.valid_for);
    validity.max().unwrap_or(DEFAULT_LOOKUP_VALIDITY)
}
