//! Messages of the control endpoints.
//!
//! A field that a message omits keeps its current value. A field that is present
//! replaces the current value as a whole, so an empty object clears all faults
//! of that field.

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};

use serde::{Deserialize, Serialize};

/// How a service of the platform treats requests.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ServiceMode {
    /// Handles and responds to requests.
    #[default]
    Up,
    /// Rejects each request without effect, with the error response of its
    /// protocol.
    Refuse,
    /// Closes the connection without a response; requests have no effect.
    Close,
    /// Never responds; requests have no effect.
    Hang,
}

/// How the response to a write is lost.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LoseMode {
    /// The connection closes without a response.
    #[default]
    Close,
    /// The connection stays open without a response.
    Hang,
}

/// Faults of one service of the platform.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceFault {
    /// How requests are treated.
    pub mode: ServiceMode,
    /// Delay before a request takes effect. A write takes effect even when the
    /// client has closed the connection meanwhile.
    pub slow_ms: u64,
    /// The number of next writes that take effect but whose response is lost.
    pub lose_writes: u64,
    /// How their responses are lost.
    pub lose_mode: LoseMode,
}

/// An entry of the instance list, in the format of the catalogue API.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CatalogRecord {
    /// Instance name.
    #[serde(rename = "ServiceID")]
    pub id: String,
    /// Host of the address for callers.
    #[serde(rename = "ServiceAddress")]
    pub address: IpAddr,
    /// Port of the address for callers.
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
    /// Propagation delay of later changes to the list.
    pub list_lag_ms: Option<u64>,
    /// Adds an entry to the list, or replaces the one of the same instance.
    pub register: Option<CatalogRecord>,
    /// Removes the entry of this instance from the list.
    pub deregister: Option<String>,
    /// Overrides of peer addresses by reader of the list, then by instance. A
    /// reader identifies itself by the base URL `/view/{reader}`.
    pub peer_views: Option<BTreeMap<String, BTreeMap<String, SocketAddr>>>,
}

/// Counts of requests by kind.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RateCount {
    /// Requests that only read.
    pub reads: u64,
    /// Requests that write.
    pub writes: u64,
}

/// Response to `GET /control/counts` of the platform stand-in. Counts include
/// requests that failed because of a fault.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlatformCounts {
    /// Totals by service: `table`, `objects`, `list`.
    pub totals: BTreeMap<String, RateCount>,
    /// Counts by service, then by second since the start, for the newest 600
    /// seconds that had requests.
    pub seconds: BTreeMap<String, BTreeMap<u64, RateCount>>,
    /// Connections accepted so far.
    pub connections: u64,
    /// Current revision of the table.
    pub revision: u64,
}

/// Faults of a backend server.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct BackendFault {
    /// Limits the faults other than `crash_marker` to paths with this prefix.
    pub only_path: Option<String>,
    /// Fraction of requests, 0 to 1, that run and get a 500 response.
    pub fail_share: f64,
    /// Time added to the work time.
    pub slow_ms: u64,
    /// Fraction of responses, 0 to 1, that carry a wrong `x-request-id`.
    pub wrong_id_share: f64,
    /// Fraction of responses, 0 to 1, whose body is truncated half-way.
    pub cut_share: f64,
    /// The process exits when a request body contains this text.
    pub crash_marker: Option<String>,
}

/// Faults of the `/health` endpoint, and values that it reports in place of the
/// real ones.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct HealthFault {
    /// Override of `healthy`.
    pub healthy: Option<bool>,
    /// Override of `leaving`.
    pub leaving: Option<bool>,
    /// Override of `load`.
    pub load: Option<u32>,
    /// Override of `uptime_ms`.
    pub uptime_ms: Option<u64>,
    /// Age of the reported `leaving` and `load` where they aren't overridden.
    pub lag_ms: u64,
    /// How the endpoint treats requests.
    pub mode: ServiceMode,
}

/// A message to `POST /control` of the backend stand-in.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct BackendControl {
    /// Faults of requests other than health checks.
    pub fault: Option<BackendFault>,
    /// Faults of the health endpoint.
    pub health: Option<HealthFault>,
    /// Whether the server reports that it is leaving. It still runs requests.
    pub leaving: Option<bool>,
    /// Maximum number of concurrent requests.
    pub slots: Option<u32>,
    /// Work time of a request.
    pub work_ms: Option<u64>,
    /// Size of the padding in each response body.
    pub answer_bytes: Option<usize>,
}

/// Counts of request executions for one `idempotency-key`, one path, or all.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunCount {
    /// Runs started so far.
    pub started: u64,
    /// Runs that ended with a response; the others were cancelled or are still
    /// running.
    pub finished: u64,
    /// Runs in progress.
    pub running: u64,
    /// Maximum of `running` so far.
    pub most_running: u64,
}

/// Response to `GET /control/counts` of the backend stand-in.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendCounts {
    /// Runs by `idempotency-key`.
    pub by_key: BTreeMap<String, RunCount>,
    /// Runs by path.
    pub by_path: BTreeMap<String, RunCount>,
    /// All runs of the server.
    pub all: RunCount,
    /// Requests shed with `x-outcome: not-run`.
    pub shed: u64,
    /// Requests to `/health`.
    pub probes: u64,
    /// Whether any request carried an `authorization` header.
    pub authorization_seen: bool,
    /// Requests that arrived after `leaving` was set.
    pub after_leaving: u64,
    /// Time from setting `leaving` to the last of these requests.
    pub last_after_leaving_ms: u64,
    /// Open connections, including those for control and health checks.
    pub connections: u64,
    /// Maximum of `connections` so far.
    pub most_connections: u64,
    /// Connections accepted so far.
    pub accepted_connections: u64,
}

/// Faults of one direction of a link.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct DirectionFault {
    /// Stops all data. Data in flight is buffered and delivered after the cut.
    pub cut: bool,
    /// One-way delay.
    pub delay_ms: u64,
    /// Bandwidth limit of each connection; 0 means unlimited.
    pub bytes_per_second: u64,
}

/// Directions in which existing connections stop carrying data for good.
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
    /// The links to change: a name, or a prefix followed by `*`.
    pub link: String,
    /// Faults from the connecting side to the target.
    pub to_target: Option<DirectionFault>,
    /// Faults from the target to the connecting side.
    pub to_client: Option<DirectionFault>,
    /// New target, used by later connections.
    pub target: Option<SocketAddr>,
    /// Whether new connections are refused. Existing ones stay open.
    pub refuse: Option<bool>,
    /// Closes the connections that exist when the message arrives.
    pub close_existing: bool,
    /// Stops all data on existing connections for good, without closing them.
    pub freeze_existing: FreezeDirections,
}

/// A message to `POST /control/links` of the fault proxy, which adds a link. The
/// response is `{"address": "ip:port"}`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LinkTarget {
    /// Name of the link, unique within the proxy.
    pub link: String,
    /// Address that the link forwards to.
    pub target: SocketAddr,
}
