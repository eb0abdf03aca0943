//! Who probes a backend server, and what a probe says.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

use crate::facts::ServerReport;
use crate::ids::{InstanceName, ServerKey};
use crate::routing::SLOW_START_WINDOW;

/// Instances that probe each server. Two, so that one that is cut off from the
/// server does not decide alone.
const PROBERS: usize = 2;

/// Probes in a row without an answer after which a server counts as not
/// healthy. One may be lost under load.
const SILENT_PROBES: u32 = 2;

/// Whether `own` is one of the live instances that probe a server: those with
/// the highest hash of server and instance.
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
    above.count() < PROBERS
}

/// What one probe found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProbeOutcome {
    /// The server answered.
    Answered {
        /// Whether it says that it is healthy.
        healthy: bool,
        /// Whether it says that it is leaving.
        leaving: bool,
        /// Requests running on it.
        load: u32,
        /// How long it has been up, if it says so.
        uptime: Option<Duration>,
    },
    /// It accepts no connections.
    Refused,
    /// It did not answer in time.
    NoAnswer,
}

/// A report to state, and whether it cannot wait for the next heartbeat.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ProbeReport {
    /// The report; its sequence is set by the caller.
    pub report: ServerReport,
    /// Whether health or leaving changed.
    pub urgent: bool,
}

/// The probes of one server by one instance.
#[derive(Debug, Clone, Default)]
pub struct ProbeTally {
    silent: u32,
    last: Option<ServerReport>,
}

impl ProbeTally {
    /// Notes a probe and gives the report that follows from it.
    pub fn note(&mut self, outcome: ProbeOutcome) -> ProbeReport {
        let last = self.last.clone();
        let known = last.clone().unwrap_or(ServerReport {
            sequence: 0,
            healthy: true,
            leaving: false,
            load: 0,
            uptime: SLOW_START_WINDOW,
        });
        let report = match outcome {
            ProbeOutcome::Answered {
                healthy,
                leaving,
                load,
                uptime,
            } => {
                self.silent = 0;
                ServerReport {
                    sequence: 0,
                    healthy,
                    leaving,
                    load,
                    // A server that does not tell its uptime counts as warm.
                    uptime: uptime.unwrap_or(SLOW_START_WINDOW),
                }
            }
            ProbeOutcome::Refused => ServerReport {
                healthy: false,
                ..known
            },
            ProbeOutcome::NoAnswer => {
                self.silent += 1;
                ServerReport {
                    healthy: known.healthy && self.silent < SILENT_PROBES,
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
