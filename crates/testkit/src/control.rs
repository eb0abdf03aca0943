//! Messages of the control endpoints.
//!
//! A part that a message leaves out stays as it is. A part that it gives
//! replaces the earlier one as a whole, so an empty part clears all faults.

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};

use serde::{Deserialize, Serialize};

/// Whether a service of the platform answers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ServiceMode {
    /// It answers.
    #[default]
    Up,
    /// It refuses each request, without effect, as its protocol defines.
    Refuse,
    /// It closes the connection without an answer and without effect.
    Close,
    /// It never answers; requests have no effect.
    Hang,
}

/// How the answer of a write is lost.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LoseMode {
    /// The connection closes.
    #[default]
    Close,
    /// The connection stays open and silent.
    Hang,
}

/// Faults of one service of the platform.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceFault {
    /// Whether it answers.
    pub mode: ServiceMode,
    /// Delay before a request takes effect. A write takes effect even when
    /// its sender has given up.
    pub slow_ms: u64,
    /// The answers of this many following writes are lost after the writes
    /// took effect.
    pub lose_writes: u64,
    /// How they are lost.
    pub lose_mode: LoseMode,
}

/// An entry of the instance list as the catalogue API gives it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CatalogRecord {
    /// The instance's name.
    #[serde(rename = "ServiceID")]
    pub id: String,
    /// Where callers reach it.
    #[serde(rename = "ServiceAddress")]
    pub address: IpAddr,
    /// Where callers reach it.
    #[serde(rename = "ServicePort")]
    pub port: u16,
    /// `data_centre`, `peer_address` and `state` (`live` or `leaving`).
    #[serde(rename = "ServiceMeta")]
    pub meta: BTreeMap<String, String>,
}

/// A message to `POST /control` of the platform stand-in.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformControl {
    /// Faults of the table service.
    pub table: Option<ServiceFault>,
    /// Faults of the object store.
    pub objects: Option<ServiceFault>,
    /// Faults of the instance list.
    pub list: Option<ServiceFault>,
    /// Later changes of the list become visible after this time.
    pub list_lag_ms: Option<u64>,
    /// Adds or replaces an entry of the list.
    pub register: Option<CatalogRecord>,
    /// Removes an entry of the list.
    pub deregister: Option<String>,
    /// Peer addresses that one reader of the list sees in place of the
    /// registered ones: reader, then instance. A reader uses the base URL
    /// `/view/{reader}`.
    pub peer_views: Option<BTreeMap<String, BTreeMap<String, SocketAddr>>>,
}

/// Requests within one second.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RateCount {
    /// Reads.
    pub reads: u64,
    /// Writes.
    pub writes: u64,
}

/// What `GET /control/counts` of the platform stand-in answers. Counts include
/// requests that a fault stopped.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlatformCounts {
    /// Totals by service: `table`, `objects`, `list`.
    pub totals: BTreeMap<String, RateCount>,
    /// The same by service and by second since the start, the newest 600.
    pub seconds: BTreeMap<String, BTreeMap<u64, RateCount>>,
    /// Connections accepted so far.
    pub connections: u64,
    /// The revision of the table.
    pub revision: u64,
}

/// Faults of a backend server.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct BackendFault {
    /// Faults other than the crash hit only paths with this prefix.
    pub only_path: Option<String>,
    /// Share of requests, 0 to 1, that run and are answered with 500.
    pub fail_share: f64,
    /// Added to the work time.
    pub slow_ms: u64,
    /// Share of answers, 0 to 1, that carry another `x-request-id`.
    pub wrong_id_share: f64,
    /// Share of answers, 0 to 1, whose body is cut half-way.
    pub cut_share: f64,
    /// The process exits on a request whose body contains this text.
    pub crash_marker: Option<String>,
}

/// What `/health` answers in place of the truth.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct HealthFault {
    /// Claimed health.
    pub healthy: Option<bool>,
    /// Claimed leaving state.
    pub leaving: Option<bool>,
    /// Claimed load.
    pub load: Option<u32>,
    /// Claimed uptime.
    pub uptime_ms: Option<u64>,
    /// What is not claimed is as it was this long ago.
    pub lag_ms: u64,
    /// Whether the endpoint answers.
    pub mode: ServiceMode,
}

/// A message to `POST /control` of the backend stand-in.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct BackendControl {
    /// Faults.
    pub fault: Option<BackendFault>,
    /// Faults of the health endpoint.
    pub health: Option<HealthFault>,
    /// Whether the server is leaving. It still runs what it gets.
    pub leaving: Option<bool>,
    /// Requests it runs at the same time.
    pub slots: Option<u32>,
    /// Time that a request takes.
    pub work_ms: Option<u64>,
    /// Padding of each answer.
    pub answer_bytes: Option<usize>,
}

/// Runs under one `idempotency-key`, or on one path.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunCount {
    /// Runs that were started.
    pub started: u64,
    /// Runs that ended with an answer; the others were cancelled or go on.
    pub finished: u64,
    /// Runs going on.
    pub running: u64,
    /// Most runs that went on at the same time.
    pub most_running: u64,
}

/// What `GET /control/counts` of the backend stand-in answers.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendCounts {
    /// Runs by `idempotency-key`.
    pub by_key: BTreeMap<String, RunCount>,
    /// Runs by path.
    pub by_path: BTreeMap<String, RunCount>,
    /// All runs.
    pub all: RunCount,
    /// Requests shed with "not run".
    pub shed: u64,
    /// Requests to `/health`.
    pub probes: u64,
    /// Whether a request carried an `authorization` header.
    pub authorization_seen: bool,
    /// Requests that arrived after `leaving` was set.
    pub after_leaving: u64,
    /// How long after `leaving` was set the last of them arrived.
    pub last_after_leaving_ms: u64,
    /// Connections open now, control and probes included.
    pub connections: u64,
    /// Most connections open at the same time.
    pub most_connections: u64,
    /// Connections accepted so far.
    pub accepted_connections: u64,
}

/// Faults of one direction of a link.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct DirectionFault {
    /// Nothing passes; what is under way is held and passes later.
    pub cut: bool,
    /// Added delay.
    pub delay_ms: u64,
    /// Most bytes a second on each connection; 0 stands for no limit.
    pub bytes_per_second: u64,
}

/// Directions in which existing connections become silent.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct FreezeDirections {
    /// From the connecting side to the target.
    pub to_target: bool,
    /// From the target to the connecting side.
    pub to_client: bool,
}

/// A message to `POST /control` of the fault proxy.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LinkControl {
    /// The links that it is for: a name, or a prefix that ends with `*`.
    pub link: String,
    /// Faults from the connecting side to the target.
    pub to_target: Option<DirectionFault>,
    /// Faults from the target to the connecting side.
    pub to_client: Option<DirectionFault>,
    /// Where new connections lead from now on.
    pub target: Option<SocketAddr>,
    /// Whether new connections are refused. Existing ones stay.
    pub refuse: Option<bool>,
    /// Closes existing connections, once.
    pub close_existing: bool,
    /// Makes existing connections silent for good; they stay open.
    pub freeze_existing: FreezeDirections,
}

/// A message to `POST /control/links` of the fault proxy: adds a link. The
/// answer is `{"address": "ip:port"}`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LinkTarget {
    /// Its name.
    pub link: String,
    /// Where it leads.
    pub target: SocketAddr,
}
