//! Metrics of an instance: counters, a gauge and a latency histogram.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;
use tarragonpulley_policy::entry::send_gate::HoldReason;

/// Upper bounds of the latency buckets in seconds.
const LATENCY_BUCKETS: [f64; 10] = [0.05, 0.1, 0.2, 0.4, 0.6, 0.8, 1.2, 1.6, 2.5, 5.0];

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct OutcomeLabel {
    pub(crate) status: u32,
    pub(crate) reason: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct HoldLabel {
    pub(crate) reason: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct PlaceLabel {
    pub(crate) place: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct RefusalLabel {
    pub(crate) reason: &'static str,
}

/// All metrics of an instance.
#[derive(Debug)]
pub(crate) struct InstanceMetrics {
    registry: Registry,
    pub(crate) outcomes: Family<OutcomeLabel, Counter>,
    pub(crate) placements: Family<PlaceLabel, Counter>,
    pub(crate) holds: Family<HoldLabel, Counter>,
    pub(crate) latency: Histogram,
    pub(crate) connections_opened: Counter,
    pub(crate) retries: Counter,
    pub(crate) table_calls: Counter,
    pub(crate) table_failures: Counter,
    pub(crate) unreadable_rows: Counter,
    pub(crate) proof_age_ms: Gauge,
    pub(crate) datagram_bytes: Counter,
    pub(crate) task_panics: Counter,
    pub(crate) response_bytes: Gauge,
    pub(crate) client_refusals: Family<RefusalLabel, Counter>,
    pub(crate) client_bytes: Gauge,
    pub(crate) client_connections: Gauge,
}

impl InstanceMetrics {
    /// Counts a request that was not sent to a server because of what it asked for.
    pub(crate) fn record_hold(&self, reason: HoldReason) {
        let reason = reason.name();
        self.holds.get_or_create(&HoldLabel { reason }).inc();
    }

    pub(crate) fn new() -> Self {
        let mut metrics = Self {
            registry: Registry::with_prefix("tarragonpulley"),
            outcomes: Family::default(),
            placements: Family::default(),
            holds: Family::default(),
            latency: Histogram::new(LATENCY_BUCKETS),
            connections_opened: Counter::default(),
            retries: Counter::default(),
            table_calls: Counter::default(),
            table_failures: Counter::default(),
            unreadable_rows: Counter::default(),
            proof_age_ms: Gauge::default(),
            datagram_bytes: Counter::default(),
            task_panics: Counter::default(),
            response_bytes: Gauge::default(),
            client_refusals: Family::default(),
            client_bytes: Gauge::default(),
            client_connections: Gauge::default(),
        };
        let registry = &mut metrics.registry;
        registry.register(
            "answers",
            "Answers by status and reason",
            metrics.outcomes.clone(),
        );
        registry.register(
            "placements",
            "Requests by whether the server knows the object, is the owner, or neither",
            metrics.placements.clone(),
        );
        registry.register(
            "sends_held",
            "Placements in which a server got no request because of what it asked for",
            metrics.holds.clone(),
        );
        registry.register(
            "latency_seconds",
            "Time until the answer",
            metrics.latency.clone(),
        );
        registry.register(
            "server_connections",
            "Connections opened to servers",
            metrics.connections_opened.clone(),
        );
        registry.register(
            "repeats",
            "Requests sent to a second server",
            metrics.retries.clone(),
        );
        registry.register(
            "table_calls",
            "Calls to the shared table",
            metrics.table_calls.clone(),
        );
        registry.register(
            "table_failures",
            "Calls that failed",
            metrics.table_failures.clone(),
        );
        registry.register(
            "unreadable_rows",
            "Rows that are not used",
            metrics.unreadable_rows.clone(),
        );
        registry.register(
            "proof_age_ms",
            "Age of the configuration's last proof",
            metrics.proof_age_ms.clone(),
        );
        registry.register(
            "datagram_bytes",
            "Bytes sent to other instances",
            metrics.datagram_bytes.clone(),
        );
        registry.register(
            "task_panics",
            "Panics of tasks and requests",
            metrics.task_panics.clone(),
        );
        registry.register(
            "response_bytes",
            "Memory for responses of servers that are received or passed on",
            metrics.response_bytes.clone(),
        );
        metrics.register_clients();
        metrics
    }

    fn register_clients(&mut self) {
        let registry = &mut self.registry;
        registry.register(
            "client_refusals",
            "Connections of clients that were closed, and requests rejected, to bound what they hold",
            self.client_refusals.clone(),
        );
        registry.register(
            "client_bytes",
            "Memory that connections of clients hold",
            self.client_bytes.clone(),
        );
        registry.register(
            "client_connections",
            "Open connections of clients",
            self.client_connections.clone(),
        );
    }

    /// All metrics in the text exposition format.
    pub(crate) fn text(&self) -> String {
        let mut text = String::new();
        // Writing to a string cannot fail.
        if encode(&mut text, &self.registry).is_err() {
            text.clear();
        }
        text
    }
}
