//! Health probes of backend servers.
//!
//! Each server is probed by the first two live instances in rendezvous-hash
//! order, which publish the result as a fact to the other instances. The health
//! endpoint is `GET /health`; its body is JSON with the optional fields
//! `healthy`, `leaving`, `load` and `uptime_ms`.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use actix_rt::net::TcpStream;
use serde::Deserialize;
use tarragonpulley_policy::facts::{FactKey, FactValue, ServerReport};
use tarragonpulley_policy::ids::{InstanceName, ServerKey};
use tarragonpulley_policy::probing::{ProbeOutcome, ProbeTracker, is_prober};

use crate::backends::BackendStates;
use crate::interfaces::InstanceContext;
use crate::metrics::RequestMetrics;
use crate::pipeline::RequestPipeline;
use crate::tasks::LoopGuard;
use crate::upstream::connect::build_client;

/// Interval between two probes of a server by one instance. All instances must
/// know within 3 s that a server is leaving.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Timeout of one probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(800);

/// Interval at which reports of other instances are loaded.
const REFRESH_INTERVAL: Duration = Duration::from_millis(100);

/// Maximum response body of a health endpoint.
const MAX_HEALTH_BYTES: usize = 4096;

/// Timeout of the check whether a server that broke a connection has crashed.
const CRASH_CHECK_TIMEOUT: Duration = Duration::from_millis(500);

/// Interval between checks that are inconclusive.
const CRASH_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// Tolerance for uptime, which a server counts from shortly after its start.
const UPTIME_MARGIN: Duration = Duration::from_millis(50);

#[derive(Debug, Deserialize)]
struct HealthBody {
    #[serde(default = "healthy_by_default")]
    healthy: bool,
    #[serde(default)]
    leaving: bool,
    #[serde(default)]
    load: u32,
    uptime_ms: Option<u64>,
}

const fn healthy_by_default() -> bool {
    true
}

#[derive(Debug)]
struct Prober {
    context: InstanceContext,
    metrics: RequestMetrics,
    sequence: Cell<u64>,
    trackers: RefCell<BTreeMap<ServerKey, ProbeTracker>>,
}

/// Starts the loops that probe servers and load reports of other instances.
pub(crate) fn start(
    context: &InstanceContext,
    backends: Rc<BackendStates>,
    pipeline: Rc<RequestPipeline>,
    metrics: RequestMetrics,
) -> Vec<LoopGuard> {
    let prober = Rc::new(Prober {
        context: context.clone(),
        metrics,
        sequence: Cell::new(0),
        trackers: RefCell::default(),
    });
    let refresh = async move {
        loop {
            backends.refresh();
            actix_rt::time::sleep(REFRESH_INTERVAL).await;
        }
    };
    let probing = async move {
        loop {
            let started = Instant::now();
            Prober::probe_all(&prober).await;
            pipeline.remove_unconfigured();
            actix_rt::time::sleep(PROBE_INTERVAL.saturating_sub(started.elapsed())).await;
        }
    };
    vec![LoopGuard::spawn(refresh), LoopGuard::spawn(probing)]
}

impl Prober {
    /// Probes the servers assigned to this instance.
    async fn probe_all(self: &Rc<Self>) {
        let targets = self.targets();
        self.trackers
            .borrow_mut()
            .retain(|server, _tracker| targets.iter().any(|(target, _)| target == server));
        let probes = targets
            .into_iter()
            .map(|(server, address)| self.probe_one(server, address));
        futures_util::future::join_all(probes).await;
    }

    fn targets(&self) -> Vec<(ServerKey, SocketAddr)> {
        let members = self.context.members.members();
        let own = &self.context.incarnation.instance;
        let live: Vec<&InstanceName> = members
            .iter()
            .filter(|m| m.reachable && !m.leaving)
            .map(|m| &m.instance)
            .collect();
        let snapshot = self.context.config.snapshot();
        let mut targets = Vec::new();
        for (customer, contract) in &snapshot.contracts {
            for (service, plan) in &contract.services {
                for (name, server) in &plan.servers {
                    let key = ServerKey {
                        service: tarragonpulley_policy::ids::ServiceKey {
                            customer: customer.clone(),
                            service: service.clone(),
                        },
                        server: name.clone(),
                    };
                    if is_prober(&key, own, &live) {
                        targets.push((key, server.address));
                    }
                }
            }
        }
        targets
    }

    async fn probe_one(&self, server: ServerKey, address: SocketAddr) {
        self.metrics.probes.inc();
        let outcome = read_health(address, PROBE_TIMEOUT).await;
        let change = {
            let mut trackers = self.trackers.borrow_mut();
            trackers
                .entry(server.clone())
                .or_default()
                .record_probe(outcome)
        };
        let sequence = self.sequence.get() + 1;
        self.sequence.set(sequence);
        let report = ServerReport {
            sequence,
            ..change.report
        };
        let key = FactKey::ServerReport(server, self.context.incarnation.clone());
        self.context
            .facts
            .publish(key, FactValue::Server(report), change.urgent);
    }
}

/// Reads the health endpoint of a server on a new connection.
async fn read_health(address: SocketAddr, timeout: Duration) -> ProbeOutcome {
    let client = build_client(address, 1);
    let read = async {
        let request = client.get(format!("http://{address}/health"));
        let mut response = request
            .insert_header(("connection", "close"))
            .send()
            .await
            .map_err(|error| match error {
                awc::error::SendRequestError::Connect(_) => ProbeOutcome::ConnectionRefused,
                _ => ProbeOutcome::NoResponse,
            })?;
        let success = response.status().is_success();
        let body = response.body().limit(MAX_HEALTH_BYTES).await;
        let body = body.map_err(|_error| ProbeOutcome::NoResponse)?;
        let health: HealthBody = match serde_json::from_slice(&body) {
            Ok(health) => health,
            // Without a valid body, the status alone shows the server's health.
            Err(_) => HealthBody {
                healthy: true,
                leaving: false,
                load: 0,
                uptime_ms: None,
            },
        };
        Ok(ProbeOutcome::Responded {
            healthy: success && health.healthy,
            leaving: health.leaving,
            load: health.load,
            uptime: health.uptime_ms.map(Duration::from_millis),
        })
    };
    match actix_rt::time::timeout(timeout, read).await {
        Ok(Ok(outcome) | Err(outcome)) => outcome,
        Err(_elapsed) => ProbeOutcome::NoResponse,
    }
}

/// Whether a server that broke a connection has crashed: it refuses connections,
/// or it has restarted after `since`.
pub(crate) async fn has_crashed(address: SocketAddr, since: Instant) -> bool {
    let check = async {
        loop {
            if let Some(crashed) = check_for_crash(address, since).await {
                return crashed;
            }
            actix_rt::time::sleep(CRASH_CHECK_INTERVAL).await;
        }
    };
    let checked = actix_rt::time::timeout(CRASH_CHECK_TIMEOUT, check).await;
    checked.unwrap_or(false)
}

/// Checks once whether a server has crashed. Returns `None` if the check is
/// inconclusive: a terminating process closes its connections one by one, and its
/// listening socket may still accept new ones for a moment.
async fn check_for_crash(address: SocketAddr, since: Instant) -> Option<bool> {
    match TcpStream::connect(address).await {
        Err(error) if error.kind() == std::io::ErrorKind::ConnectionRefused => return Some(true),
        Err(_) => return None,
        Ok(stream) => drop(stream),
    }
    match read_health(address, CRASH_CHECK_TIMEOUT).await {
        ProbeOutcome::ConnectionRefused => Some(true),
        ProbeOutcome::Responded {
            uptime: Some(uptime),
            ..
        } => Some(uptime + UPTIME_MARGIN < since.elapsed()),
        ProbeOutcome::Responded { .. } => Some(false),
        ProbeOutcome::NoResponse => None,
    }
}
