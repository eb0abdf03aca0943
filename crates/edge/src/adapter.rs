//! What an instance needs to know of the platform it runs on.
//!
//! The platform's names and encodings are known only to the implementation of
//! [`PlatformAdapter`].

use std::net::SocketAddr;
use std::time::Duration;

use tarragonpulley_policy::entry::config::{
    RolloutOrder, RolloutRecord, ServerEntry, TrafficConfig,
};
use tarragonpulley_policy::entry::names::{CentreName, ServerId, ServiceName};

/// The names of header fields, as callers and backend servers spell them.
#[derive(Debug, Clone, Copy)]
pub struct HeaderNames {
    /// Identifies a request; answers repeat it.
    pub request_id: &'static str,
    /// The milliseconds for which the caller waits.
    pub deadline_ms: &'static str,
    /// The cookie that names the object of a request.
    pub object_cookie: &'static str,
    /// Set by backend servers on answers that they made.
    pub seal: &'static str,
    /// Tells a backend server the caller's team.
    pub team: &'static str,
    /// Names the only backend server that may run a request.
    pub expected_server: &'static str,
    /// A backend server's requests running, requests waiting, and slots.
    pub load: &'static str,
    /// Set by a backend server that did not run a request.
    pub not_run: &'static str,
}

/// The names in a look-up.
#[derive(Debug, Clone, Copy)]
pub struct LookupNames {
    /// The path of a look-up.
    pub path: &'static str,
    /// The query parameter with the caller's region.
    pub region: &'static str,
    /// The query parameter with the caller's data centre.
    pub centre: &'static str,
}

/// A row of the operator, decoded.
#[derive(Debug, Clone)]
pub enum OperatorOrder {
    /// The newest configuration.
    Config(Box<TrafficConfig>),
    /// An order to move a service to a version.
    Rollout(RolloutOrder),
    /// An order to send nothing to the servers of a data centre.
    Evacuate(CentreName),
}

/// Why a row is not used.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{reason}")]
pub struct RowError {
    /// What is wrong, for the log.
    pub reason: String,
}

impl RowError {
    /// Creates an error from a reason.
    pub fn new(reason: impl Into<String>) -> Self {
        Self {
            reason: reason.into(),
        }
    }
}

/// Translates between the platform and the instance.
pub trait PlatformAdapter {
    /// The names of header fields.
    fn headers(&self) -> HeaderNames;

    /// The names in a look-up.
    fn lookup(&self) -> LookupNames;

    /// The path of readiness checks.
    fn ready_path(&self) -> &'static str;

    /// Encodes the answer to a look-up: media type and body.
    fn lookup_response(&self, instances: &[SocketAddr], ttl: Duration) -> (&'static str, Vec<u8>);

    /// The key that a caller shows in its request, given the header fields.
    fn caller_key<'a>(&self, authorization: &'a str) -> Option<&'a str>;

    /// The header field in which callers show their key.
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
