//! Metrics of the request path.

use std::time::Duration;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;

use tarragonpulley_policy::ids::TeamKey;

/// The first latency bucket ends at 1 ms, the last one at 16 s.
const FIRST_BUCKET_SECONDS: f64 = 0.001;
const BUCKETS: u16 = 15;

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct OutcomeLabel {
    outcome: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ReasonLabel {
    reason: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct TeamLabel {
    team: String,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct TeamResultLabel {
    team: String,
    result: &'static str,
}

/// Metrics of the request path. Clones update the same metrics.
#[derive(Debug, Clone)]
pub(crate) struct RequestMetrics {
    requests: Family<OutcomeLabel, Counter>,
    rejections: Family<ReasonLabel, Counter>,
    latency: Histogram,
    team_requests: Family<TeamResultLabel, Counter>,
    team_latency: Family<TeamLabel, Histogram>,
    pub(crate) lookups: Counter,
    pub(crate) attempts: Counter,
    pub(crate) retries: Counter,
    pub(crate) races: Counter,
    pub(crate) replaced_connections: Counter,
    pub(crate) claims: Counter,
    pub(crate) claim_writes: Counter,
    pub(crate) probes: Counter,
    pub(crate) crashes: Counter,
    pub(crate) jobs_done: Counter,
}

fn latency_histogram() -> Histogram {
    Histogram::new(exponential_buckets(FIRST_BUCKET_SECONDS, 2.0, BUCKETS))
}

impl RequestMetrics {
    /// Creates the metrics and registers them.
    pub(crate) fn register(registry: &mut Registry) -> Self {
        let metrics = Self {
            requests: Family::default(),
            rejections: Family::default(),
            latency: latency_histogram(),
            team_requests: Family::default(),
            team_latency: Family::new_with_constructor(latency_histogram),
            lookups: Counter::default(),
            attempts: Counter::default(),
            retries: Counter::default(),
            races: Counter::default(),
            replaced_connections: Counter::default(),
            claims: Counter::default(),
            claim_writes: Counter::default(),
            probes: Counter::default(),
            crashes: Counter::default(),
            jobs_done: Counter::default(),
        };
        metrics.register_families(registry);
        metrics.register_counters(registry);
        metrics
    }

    fn register_families(&self, registry: &mut Registry) {
        registry.register("requests", "Requests by outcome", self.requests.clone());
        registry.register("refusals", "Requests by error", self.rejections.clone());
        registry.register(
            "request_seconds",
            "Time from the head of a request to its answer",
            self.latency.clone(),
        );
        registry.register(
            "team_requests",
            "Requests by team and result",
            self.team_requests.clone(),
        );
        registry.register(
            "team_request_seconds",
            "Time to the answer by team",
            self.team_latency.clone(),
        );
    }

    fn register_counters(&self, registry: &mut Registry) {
        let counters = [
            ("lookups", "Look-ups answered", &self.lookups),
            ("attempts", "Attempts on backend servers", &self.attempts),
            ("retries", "Repeated attempts", &self.retries),
            (
                "races",
                "Second attempts after a late first byte",
                &self.races,
            ),
            (
                "replaced_connections",
                "Times that all connections to a server were replaced",
                &self.replaced_connections,
            ),
            ("claims", "Claims held", &self.claims),
            (
                "claim_writes",
                "Table writes for claims",
                &self.claim_writes,
            ),
            ("probes", "Probes of backend servers", &self.probes),
            ("crashes", "Crashes counted against requests", &self.crashes),
            (
                "jobs_done",
                "Jobs completed by this instance",
                &self.jobs_done,
            ),
        ];
        for (name, help, counter) in counters {
            registry.register(name, help, counter.clone());
        }
    }

    /// Counts a request that ended with `outcome`. `rejection` is the error if the
    /// request has no response from a backend server.
    pub(crate) fn record_request(
        &self,
        outcome: &'static str,
        rejection: Option<&'static str>,
        team: Option<&TeamKey>,
        elapsed: Duration,
    ) {
        self.requests.get_or_create(&OutcomeLabel { outcome }).inc();
        self.latency.observe(elapsed.as_secs_f64());
        if let Some(reason) = rejection {
            self.rejections.get_or_create(&ReasonLabel { reason }).inc();
        }
        if let Some(team) = team {
            let team = team.to_string();
            let result = rejection.unwrap_or("answered");
            let label = TeamLabel { team: team.clone() };
            self.team_latency
                .get_or_create(&label)
                .observe(elapsed.as_secs_f64());
            self.team_requests
                .get_or_create(&TeamResultLabel { team, result })
                .inc();
        }
    }
}
