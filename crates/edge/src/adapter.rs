//! The interface to the platform on which an instance runs.
//!
//! Only the implementation of [`PlatformAdapter`] contains the platform's names
//! and encodings.

use std::net::SocketAddr;
use std::time::Duration;

use tarragonpulley_policy::entry::config::{
    RolloutOrder, RolloutRecord, ServerEntry, TrafficConfig,
};
use tarragonpulley_policy::entry::names::{CentreName, ServerId, ServiceName};

/// The names of the header fields that callers and backend servers use.
#[derive(Debug, Clone, Copy)]
pub struct HeaderNames {
    /// Identifies a request; the response carries the same id.
    pub request_id: &'static str,
    /// The milliseconds for which the caller waits.
    pub deadline_ms: &'static str,
    /// The cookie that names the object of a request.
    pub object_cookie: &'static str,
    /// Set by backend servers on responses that they made themselves.
    pub seal: &'static str,
    /// Passes the caller's team to a backend server.
    pub team: &'static str,
    /// Names the only backend server that may run a request.
    pub expected_server: &'static str,
    /// A backend server's [`ServerReport`](tarragonpulley_policy::entry::server_evidence):
    /// the numbers of requests running, requests waiting and slots, and the pace of its
    /// machine.
    pub load: &'static str,
    /// The requests per second that an overloaded backend server accepts from all
    /// instances together.
    pub rate_limit: &'static str,
    /// Set by a backend server that did not run a request.
    pub not_run: &'static str,
    /// Set to 1 by a backend server that is leaving.
    pub leaving: &'static str,
    /// The id of the backend server, in its health responses.
    pub server_id: &'static str,
    /// The milliseconds for which a backend server is still cold, in its health responses
    /// and only while it is.
    pub cold_left_ms: &'static str,
}

/// The path and query parameters of a lookup.
#[derive(Debug, Clone, Copy)]
pub struct LookupNames {
    /// The path of a lookup.
    pub path: &'static str,
    /// The query parameter with the caller's region.
    pub region: &'static str,
    /// The query parameter with the caller's data centre.
    pub centre: &'static str,
}

/// A decoded row of the operator.
#[derive(Debug, Clone)]
pub enum OperatorOrder {
    /// The newest configuration.
    Config(Box<TrafficConfig>),
    /// Moves a service to another version.
    Rollout(RolloutOrder),
    /// Stops all requests to the servers of a data centre.
    Evacuate(CentreName),
}

/// Orders the entries that one server wrote.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct EntryOrder {
    /// The start of the server in milliseconds since the Unix epoch.
    pub started: i64,
    /// Rises with each entry since the start.
    pub sequence: i64,
}

/// Why a row cannot be used.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{reason}")]
pub struct RowError {
    /// Description for the log.
    pub reason: String,
}

impl RowError {
    /// Creates an error with a description for the log.
    pub fn new(reason: impl Into<String>) -> Self {
        Self {
            reason: reason.into(),
        }
    }
}

/// Translates between the platform's encodings and the instance's types.
pub trait PlatformAdapter {
    /// The names of header fields.
    fn headers(&self) -> HeaderNames;

    /// The names in a lookup.
    fn lookup(&self) -> LookupNames;

    /// The path of readiness checks.
    fn ready_path(&self) -> &'static str;

    /// Encodes the response to a lookup, which callers may use for `ttl`.
    /// Returns the media type and the body.
    fn lookup_response(&self, instances: &[SocketAddr], ttl: Duration) -> (&'static str, Vec<u8>);

    /// Extracts the caller's key from the value of the header field
    /// [`Self::key_header`].
    fn caller_key<'a>(&self, authorization: &'a str) -> Option<&'a str>;

    /// The header field that carries the caller's key.
    fn key_header(&self) -> &'static str;

    /// Decodes a row of [`super::table::TableKind::Orders`].
    ///
    /// # Errors
    ///
    /// If the row is of an unknown kind or cannot be read.
    fn decode_order(&self, key: &str, value: &[u8]) -> Result<OperatorOrder, RowError>;

    /// Decodes a row of [`super::table::TableKind::Servers`].
    ///
    /// # Errors
    ///
    /// If fields are missing or invalid, so that the row names no server.
    fn decode_server(&self, key: &str, value: &[u8]) -> Result<ServerEntry, RowError>;

    /// The order of a row of [`super::table::TableKind::Servers`] among those of its
    /// server; `None` if the row does not say.
    fn entry_order(&self, value: &[u8]) -> Option<EntryOrder>;

    /// Decodes a row of [`super::table::TableKind::Records`].
    ///
    /// # Errors
    ///
    /// If the row is of another kind or cannot be read.
    fn decode_record(
        &self,
        key: &str,
        value: &[u8],
    ) -> Result<(ServiceName, RolloutRecord), RowError>;

    /// Encodes a row of [`super::table::TableKind::Records`]: key and value.
    fn encode_record(&self, service: &ServiceName, record: &RolloutRecord) -> (String, Vec<u8>);

    /// The id of a server from the key of its row, for rows that were removed.
    fn server_id(&self, key: &str) -> Option<ServerId>;
}
