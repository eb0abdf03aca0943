//! Health checks of backend servers: which instances probe a server, and how
//! probe results determine its health.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

use crate::facts::ServerReport;
use crate::ids::{InstanceName, ServerKey};
use crate::routing::SLOW_START_WINDOW;

/// Number of instances that probe each server. Two, so that an instance that
/// cannot reach the server does not decide alone.
const PROBERS_PER_SERVER: usize = 2;

/// Consecutive probes without a response after which a server counts as
/// unhealthy. One is not enough, since a probe may be lost under load.
const UNHEALTHY_THRESHOLD: u32 = 2;

/// Whether the instance `own` probes a server. The probers are chosen from the
/// live instances by rendezvous hashing.
#[must_use]
pub fn is_prober(server: &ServerKey, own: &InstanceName, live: &[&InstanceName]) -> bool {
    let weight = |instance: &InstanceName| {
        let mut hasher = DefaultHasher::new();
        server.hash(&mut hasher);
        instance.hash(&mut hasher);
        (hasher.finish(), instance.clone())
    };
    let own_weight = weight(own);
    let above = live
        .iter()
        .filter(|other| **other != own && weight(other) > own_weight);
    above.count() < PROBERS_PER_SERVER
}

/// Outcome of one probe.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProbeOutcome {
    /// The server responded.
    Responded {
        /// Whether the server reports that it is healthy.
        healthy: bool,
        /// Whether the server reports that it is about to shut down.
        leaving: bool,
        /// The number of requests running on the server.
        load: u32,
        /// Time since the start of the server, if it reports it.
        uptime: Option<Duration>,
    },
    /// The server does not accept connections.
    ConnectionRefused,
    /// No valid response was received before the timeout.
    NoResponse,
}

/// A server report, and whether it must be sent before the next heartbeat is
/// due.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ProbeReport {
    /// The report; its sequence is set by the caller.
    pub report: ServerReport,
    /// Whether `healthy` or `leaving` changed. A first report is compared with a
    /// healthy server that is not leaving.
    pub urgent: bool,
}

/// Tracks the probes of one server by one instance.
#[derive(Debug, Clone, Default)]
pub struct ProbeTracker {
    consecutive_failures: u32,
    last: Option<ServerReport>,
}

impl ProbeTracker {
    /// Records the outcome of a probe and returns the resulting report.
    pub fn record_probe(&mut self, outcome: ProbeOutcome) -> ProbeReport {
        let last = self.last.clone();
        let known = last.clone().unwrap_or(ServerReport {
            sequence: 0,
            healthy: true,
            leaving: false,
            load: 0,
            uptime: SLOW_START_WINDOW,
        });
        let report = match outcome {
            ProbeOutcome::Responded {
                healthy,
                leaving,
                load,
                uptime,
            } => {
                self.consecutive_failures = 0;
                ServerReport {
                    sequence: 0,
                    healthy,
                    leaving,
                    load,
                    // A server that does not report its uptime counts as warm.
                    uptime: uptime.unwrap_or(SLOW_START_WINDOW),
                }
            }
            ProbeOutcome::ConnectionRefused => ServerReport {
                healthy: false,
                ..known
            },
            ProbeOutcome::NoResponse => {
                self.consecutive_failures += 1;
                ServerReport {
                    healthy: known.healthy && self.consecutive_failures < UNHEALTHY_THRESHOLD,
                    ..known
                }
            }
        };
        let changed =
            |old: &ServerReport| old.healthy != report.healthy || old.leaving != report.leaving;
        let urgent = last
            .as_ref()
            .map_or(!report.healthy || report.leaving, changed);
        self.last = Some(report.clone());
        ProbeReport { report, urgent }
    }
}
