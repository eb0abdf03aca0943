//! Metrics of an instance: counters, a gauge and a latency histogram.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;
use tarragonpulley_policy::entry::admission::RejectionLoad;
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
pub(crate) struct RejectionLabel {
    /// `full`, `free_slots`, or `unknown` without a report.
    pub(crate) reported: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct DoubtLabel {
    /// `suspected`, `ruled_out`, or `restarted` when a new entry shows it.
    pub(crate) change: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct PlaceLabel {
    pub(crate) place: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct LookupLabel {
    pub(crate) named: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct ReportLabel {
    pub(crate) outcome: &'static str,
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
    pub(crate) placement_spills: Counter,
    pub(crate) holds: Family<HoldLabel, Counter>,
    pub(crate) lookups: Family<LookupLabel, Counter>,
    pub(crate) server_rejections: Family<RejectionLabel, Counter>,
    pub(crate) latency: Histogram,
    pub(crate) connections_opened: Counter,
    pub(crate) restart_doubts: Family<DoubtLabel, Counter>,
    pub(crate) health_requests: Counter,
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
    pub(crate) usage_reports: Family<ReportLabel, Counter>,
    pub(crate) usage_holder: Gauge,
    pub(crate) usage_unrecorded_ms: Gauge,
    pub(crate) quota: QuotaMetrics,
}

/// Metrics of the shares of team limits.
#[derive(Debug, Default)]
pub(crate) struct QuotaMetrics {
    pub(crate) tokens_refused: Counter,
    pub(crate) followers: Gauge,
    pub(crate) loans_given: Gauge,
    pub(crate) loans_received: Gauge,
}

impl QuotaMetrics {
    fn register(&self, registry: &mut Registry) {
        registry.register(
            "tokens_refused",
            "Token requests refused because this instance is not the quota holder",
            self.tokens_refused.clone(),
        );
        registry.register(
            "quota_followers",
            "Instances of the data centre that follow this one as quota holder",
            self.followers.clone(),
        );
        registry.register(
            "quota_loans_given",
            "Parts of team limits lent to other data centres",
            self.loans_given.clone(),
        );
        registry.register(
            "quota_loans_received",
            "Parts of team limits borrowed from other data centres",
            self.loans_received.clone(),
        );
    }
}

impl InstanceMetrics {
    /// Counts a request that was not sent to a server because of what it asked for.
    pub(crate) fn record_hold(&self, reason: HoldReason) {
        let reason = reason.name();
        self.holds.get_or_create(&HoldLabel { reason }).inc();
    }

    /// Counts a request that a server rejected by the load that it reported.
    pub(crate) fn record_rejection(&self, load: RejectionLoad, has_report: bool) {
        let reported = match load {
            _ if !has_report => "unknown",
            RejectionLoad::HasFreeSlots => "free_slots",
            RejectionLoad::Full => "full",
        };
        self.server_rejections
            .get_or_create(&RejectionLabel { reported })
            .inc();
    }

    pub(crate) fn new() -> Self {
        let mut metrics = Self {
            registry: Registry::with_prefix("tarragonpulley"),
            outcomes: Family::default(),
            placements: Family::default(),
            placement_spills: Counter::default(),
            holds: Family::default(),
            lookups: Family::default(),
            server_rejections: Family::default(),
            latency: Histogram::new(LATENCY_BUCKETS),
            connections_opened: Counter::default(),
            restart_doubts: Family::default(),
            health_requests: Counter::default(),
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
            usage_reports: Family::default(),
            usage_holder: Gauge::default(),
            usage_unrecorded_ms: Gauge::default(),
            quota: QuotaMetrics::default(),
        };
        let registry = &mut metrics.registry;
        registry.register(
            "answers",
            "Answers by status and reason",
            metrics.outcomes.clone(),
        );
        registry.register(
            "placements",
            "Requests by whether the server knows the object, is the owner, one of several \
             owners, chosen by load, or neither",
            metrics.placements.clone(),
        );
        registry.register(
            "placement_spills",
            "Requests on an object that went to none of its owners",
            metrics.placement_spills.clone(),
        );
        registry.register(
            "sends_held",
            "Requests that a server did not get because of what it asked for or because it is cold",
            metrics.holds.clone(),
        );
        registry.register(
            "lookups",
            "Lookups by whether they named all near instances or those with fast links",
            metrics.lookups.clone(),
        );
        registry.register(
            "server_rejections",
            "Requests that servers rejected, by the load that they reported",
            metrics.server_rejections.clone(),
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
            "restart_doubts",
            "Servers that may have started again, by whether that was suspected, known or ruled out",
            metrics.restart_doubts.clone(),
        );
        registry.register(
            "health_requests",
            "Servers asked whether they are cold",
            metrics.health_requests.clone(),
        );
        registry.register(
            "repeats",
            "Requests sent to a second server",
            metrics.retries.clone(),
        );
        metrics.quota.register(registry);
        metrics.register_process();
        metrics.register_clients();
        metrics.register_usage();
        metrics
    }

    fn register_process(&mut self) {
        let registry = &mut self.registry;
        registry.register(
            "table_calls",
            "Calls to the shared table",
            self.table_calls.clone(),
        );
        registry.register(
            "table_failures",
            "Calls that failed",
            self.table_failures.clone(),
        );
        registry.register(
            "unreadable_rows",
            "Rows that are not used",
            self.unreadable_rows.clone(),
        );
        registry.register(
            "proof_age_ms",
            "Age of the configuration's last proof",
            self.proof_age_ms.clone(),
        );
        registry.register(
            "datagram_bytes",
            "Bytes sent to other instances",
            self.datagram_bytes.clone(),
        );
        registry.register(
            "task_panics",
            "Panics of tasks and requests",
            self.task_panics.clone(),
        );
        registry.register(
            "response_bytes",
            "Memory for responses of servers that are received or passed on",
            self.response_bytes.clone(),
        );
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

    fn register_usage(&mut self) {
        let registry = &mut self.registry;
        registry.register(
            "usage_reports",
            "Usage reports sent, by outcome",
            self.usage_reports.clone(),
        );
        registry.register(
            "usage_holder",
            "1 if this instance recorded the last window of usage",
            self.usage_holder.clone(),
        );
        registry.register(
            "usage_unrecorded_ms",
            "Time since the end of the oldest window of usage that is not recorded",
            self.usage_unrecorded_ms.clone(),
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
