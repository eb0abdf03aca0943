//! Starts an instance, and shuts it down without interrupting requests.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use serde_json::json;
use tarragonpulley_policy::clock::TimeSource;
use tarragonpulley_policy::entry::stopping::StopSchedule;
use tokio::net::UdpSocket;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{Mutex, mpsc, watch};

use crate::adapter::PlatformAdapter;
use crate::crashes::MAX_PENDING_SUSPECTS;
use crate::events::EventLog;
use crate::http::account::ClientGroup;
use crate::http::server::{ShutdownPhase, bind, serve};
use crate::instance::{Instance, InstanceOptions};
use crate::listeners::{CallerHandler, ManagementHandler};
use crate::supervise::supervise;
use crate::table::{TableEra, TableKind, TableService, WrittenRow};
use crate::usage::{UsageReceiver, UsageReporting};

/// Time from the termination signal until idle connections are closed and no
/// new ones are accepted. Callers learn within one and a half TTLs of a lookup
/// that the instance is draining.
const DRAIN_PERIOD: Duration = Duration::from_millis(2700);

/// Time before the forced end of the process at which it ends by itself.
const SHUTDOWN_MARGIN: Duration = Duration::from_millis(150);

/// Interval of the check whether requests are still in progress.
const SHUTDOWN_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Delay before a failed registration is retried.
const REGISTER_RETRY_DELAY: Duration = Duration::from_millis(400);

/// The addresses on which an instance listens.
#[derive(Debug, Clone)]
pub struct ListenAddresses {
    /// Requests of callers.
    pub front: SocketAddr,
    /// Readiness checks.
    pub ready: SocketAddr,
    /// Lookups.
    pub directory: SocketAddr,
    /// Metrics.
    pub metrics: SocketAddr,
    /// Other instances, over TCP and UDP.
    pub peer: SocketAddr,
}

/// Reads the settings again, after a hang-up signal.
pub type SettingsReload = Rc<dyn Fn() -> Result<InstanceOptions, String>>;

/// The components of which an instance consists.
pub struct InstanceParts {
    /// The clock of timers and deadlines.
    pub clock: Rc<dyn TimeSource>,
    /// The clock of proofs; it continues while the machine is suspended.
    pub proof_clock: Rc<dyn TimeSource>,
    /// The interface to the platform.
    pub adapter: Rc<dyn PlatformAdapter>,
    /// The platform's shared table.
    pub table: Rc<dyn TableService>,
    /// Receives the events of the instance.
    pub log: EventLog,
    /// The addresses of its listeners.
    pub listen: ListenAddresses,
    /// The initial settings.
    pub options: InstanceOptions,
    /// Reads changed settings.
    pub reload: SettingsReload,
    /// Receives the usage reports, if the settings ask for them.
    pub usage_receiver: Option<Rc<dyn UsageReceiver>>,
}

impl std::fmt::Debug for InstanceParts {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("InstanceParts")
            .field("listen", &self.listen)
            .finish_non_exhaustive()
    }
}

/// Runs an instance until it has shut down.
///
/// # Errors
///
/// If an address cannot be bound or a signal handler cannot be installed.
pub async fn run(parts: InstanceParts) -> io::Result<()> {
    let InstanceParts {
        clock,
        proof_clock,
        adapter,
        table,
        log,
        listen,
        options,
        reload,
        usage_receiver,
    } = parts;
    let mut terminate = signal(SignalKind::terminate())?;
    let mut hang_up = signal(SignalKind::hangup())?;
    let (crash_suspects, crash_receiver) = mpsc::channel(MAX_PENDING_SUSPECTS);
    let instance = Rc::new(Instance::new(
        clock,
        proof_clock,
        adapter,
        table,
        options,
        log,
        crash_suspects,
    ));
    if let Some(receiver) = usage_receiver {
        UsageReporting::start(&instance, receiver);
    }
    let crash_receiver = Rc::new(Mutex::new(crash_receiver));
    supervise(&instance, "crash probes", move |instance| {
        instance.probe_crash_suspects(Rc::clone(&crash_receiver))
    });
    let (shutdown, phase) = watch::channel(ShutdownPhase::Running);
    // Dropping the sender would stop the listeners for readiness, lookups and
    // metrics.
    let _management_phase = start_listeners(&instance, &listen, &phase).await?;
    start_tasks(&instance, &listen).await?;
    instance
        .log
        .event("started", json!({"front": listen.front.to_string()}));
    loop {
        tokio::select! {
            _ = hang_up.recv() => reload_settings(&instance, &reload),
            _ = terminate.recv() => break,
        }
    }
    shut_down_instance(&instance, &shutdown).await;
    Ok(())
}

/// Starts all listeners. Those for readiness, lookups and metrics serve until
/// the returned sender is dropped.
async fn start_listeners(
    instance: &Rc<Instance>,
    listen: &ListenAddresses,
    phase: &watch::Receiver<ShutdownPhase>,
) -> io::Result<watch::Sender<ShutdownPhase>> {
    let front = bind(listen.front).await?;
    actix_rt::spawn(serve(
        front,
        Rc::new(CallerHandler(Rc::clone(instance))),
        phase.clone(),
    ));
    // Readiness checks and lookups are served until the process ends.
    let (running, running_phase) = watch::channel(ShutdownPhase::Running);
    for (address, group) in [
        (listen.ready, ClientGroup::Readiness),
        (listen.directory, ClientGroup::Lookups),
        (listen.metrics, ClientGroup::Metrics),
    ] {
        let listener = bind(address).await?;
        let instance = Rc::clone(instance);
        let service = Rc::new(ManagementHandler { instance, group });
        actix_rt::spawn(serve(listener, service, running_phase.clone()));
    }
    Ok(running)
}

async fn start_tasks(instance: &Rc<Instance>, listen: &ListenAddresses) -> io::Result<()> {
    let socket = Rc::new(UdpSocket::bind(listen.peer).await?);
    let peers = Rc::new(bind(listen.peer).await?);
    instance.socket.get_or_init(|| Rc::clone(&socket));
    supervise(instance, "digest receiver", move |instance| {
        instance.receive_digests(Rc::clone(&socket))
    });
    supervise(instance, "digest sender", Instance::send_digests);
    supervise(instance, "peer server", move |instance| {
        instance.serve_peers(Rc::clone(&peers))
    });
    supervise(instance, "server reach", Instance::watch_reach);
    supervise(instance, "server restarts", Instance::watch_restarts);
    supervise(instance, "end reports", Instance::send_restart_reports);
    supervise(instance, "rollouts", Instance::run_rollouts);
    supervise(instance, "registration", Instance::register);
    for table in [TableKind::Orders, TableKind::Servers, TableKind::Records] {
        supervise(instance, "table follower", move |instance| {
            instance.follow_table(table)
        });
    }
    Ok(())
}

fn reload_settings(instance: &Instance, reload: &SettingsReload) {
    match reload() {
        Ok(options) => {
            instance.servers.borrow().update_regions(&options.regions);
            let centres = options.regions.len();
            instance.peers.borrow_mut().set_configured_centres(centres);
            *instance.options.borrow_mut() = options;
            instance.log.event("settings_reloaded", json!({}));
        }
        Err(reason) => instance
            .log
            .event("settings_not_reloaded", json!({"reason": reason})),
    }
}

async fn shut_down_instance(instance: &Rc<Instance>, shutdown: &watch::Sender<ShutdownPhase>) {
    let timeout = instance.options.borrow().shutdown_timeout;
    let schedule = StopSchedule::new(
        instance.now(),
        DRAIN_PERIOD,
        timeout.saturating_sub(SHUTDOWN_MARGIN),
    );
    instance.leaving.set(true);
    instance.stop_schedule.set(Some(schedule));
    instance
        .log
        .event("stopping", json!({"limit_ms": timeout.as_millis()}));
    instance.digest_requested.notify_one();
    shutdown.send_replace(ShutdownPhase::Draining);
    let drain_period = schedule
        .closes_at()
        .saturating_duration_since(instance.now());
    actix_rt::time::sleep(drain_period).await;
    shutdown.send_replace(ShutdownPhase::Closing);
    // Each connection holds a receiver until its last response is written.
    loop {
        let left = schedule.ends_at().saturating_duration_since(instance.now());
        if shutdown.receiver_count() <= 1 || left.is_zero() {
            break;
        }
        actix_rt::time::sleep(SHUTDOWN_CHECK_INTERVAL.min(left)).await;
    }
    // Their connections then carry the responses that have waited behind them.
    instance.stop_ended.notify_waiters();
    instance.hand_in_last_usage().await;
    instance.log.event(
        "stopped",
        json!({"connections_left": shutdown.receiver_count().saturating_sub(1)}),
    );
    // Lets connections carry the last responses, and the log writer write the last lines.
    actix_rt::time::sleep(SHUTDOWN_MARGIN / 2).await;
}

impl Instance {
    /// Registers this instance, then reads the other registrations. In this
    /// order, of two instances that start at the same time at least one finds
    /// the other and sends it a digest.
    async fn register(self: Rc<Self>) {
        let era = self.write_registration().await;
        let follow = Rc::clone(&self).follow_table(TableKind::Instances);
        let ((), ()) = tokio::join!(follow, self.keep_registered(era));
    }

    /// Writes the registration again whenever a restore may have lost it.
    async fn keep_registered(&self, mut era: Option<TableEra>) {
        loop {
            self.table_restored.notified().await;
            if era < self.table_era.get() {
                era = self.write_registration().await;
            }
        }
    }

    /// Writes the registration until the table service has accepted it. Returns the era
    /// in which it was written.
    async fn write_registration(&self) -> Option<TableEra> {
        let record = self.peers.borrow().own().clone();
        let value = match serde_json::to_vec(&record) {
            Ok(value) => value,
            Err(error) => {
                self.log
                    .event("not_registered", json!({"reason": error.to_string()}));
                return None;
            }
        };
        loop {
            let written = self
                .table
                .write(
                    TableKind::Instances,
                    record.name.as_str(),
                    value.clone(),
                    None,
                )
                .await;
            match written {
                Ok(WrittenRow { era, .. }) => {
                    self.log
                        .event("registered", json!({"start": record.start, "era": era}));
                    return era;
                }
                Err(error) => self
                    .log
                    .event("not_registered", json!({"reason": error.to_string()})),
            }
            actix_rt::time::sleep(REGISTER_RETRY_DELAY).await;
        }
    }
}
