//! Metrics of the replicated state.

use std::sync::atomic::AtomicU64;

use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

/// Counters and gauges of one instance.
#[derive(Debug, Clone, Default)]
pub(crate) struct FleetMetrics {
    pub(super) revision: Gauge,
    pub(super) proof_age: Gauge<f64, AtomicU64>,
    pub(super) heartbeats_sent: Counter,
    pub(super) heartbeats_missed: Counter,
    pub(super) peer_bytes_received: Counter,
    pub(super) peer_bytes_sent: Counter,
    pub(super) messages_rejected: Counter,
    pub(super) rights_asks: Counter,
    pub(super) rights_transfers: Counter,
    pub(super) rights_reclaims: Counter,
    pub(super) table_reads: Counter,
    pub(super) table_writes: Counter,
    pub(super) row_faults: Gauge,
}

impl FleetMetrics {
    /// Creates the metrics and registers them.
    pub(super) fn register(registry: &mut Registry) -> Self {
        let metrics = Self::default();
        let m = metrics.clone();
        registry.register("config_revision", "Revision in force", m.revision);
        registry.register(
            "config_proof_age_seconds",
            "Age of the proof of the revision, -1 without one",
            m.proof_age,
        );
        registry.register("config_row_faults", "Rows that do not parse", m.row_faults);
        registry.register("heartbeats_sent", "Heartbeats sent", m.heartbeats_sent);
        registry.register(
            "heartbeats_missed",
            "Heartbeats without an answer in time",
            m.heartbeats_missed,
        );
        registry.register(
            "peer_bytes_received",
            "Bytes received from peers",
            m.peer_bytes_received,
        );
        registry.register("peer_bytes_sent", "Bytes sent to peers", m.peer_bytes_sent);
        registry.register(
            "peer_messages_refused",
            "Peer messages that are not valid",
            m.messages_rejected,
        );
        registry.register("rights_asks", "Asks for rights sent", m.rights_asks);
        registry.register(
            "rights_transfers",
            "Transfers of rights received",
            m.rights_transfers,
        );
        registry.register(
            "rights_reclaims",
            "Reclaims committed by this instance",
            m.rights_reclaims,
        );
        registry.register("table_reads", "Reads of the table", m.table_reads);
        registry.register("table_writes", "Transactions on the table", m.table_writes);
        metrics
    }
}
