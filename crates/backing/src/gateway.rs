//! Messages of the JSON gateway of the etcd v3 API.
//!
//! The gateway encodes bytes as base64 and 64-bit integers as strings. The
//! server omits fields with their default value.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde::{Deserialize, Deserializer, Serialize, de};

/// gRPC status codes with which the server rejects a request without applying
/// it; `UNAVAILABLE` does so only with the message `NO_LEADER`.
mod code {
    pub(super) const INVALID_ARGUMENT: u32 = 3;
    pub(super) const NOT_FOUND: u32 = 5;
    pub(super) const PERMISSION_DENIED: u32 = 7;
    pub(super) const RESOURCE_EXHAUSTED: u32 = 8;
    pub(super) const FAILED_PRECONDITION: u32 = 9;
    pub(super) const UNIMPLEMENTED: u32 = 12;
    pub(super) const UNAVAILABLE: u32 = 14;
    pub(super) const UNAUTHENTICATED: u32 = 16;
}

/// The only message for which `UNAVAILABLE` means that a write was not applied:
/// the server checks for a leader before it proposes a write. Its other
/// `UNAVAILABLE` messages include timeouts of proposed writes.
const NO_LEADER: &str = "etcdserver: no leader";

pub(crate) fn encode(bytes: &[u8]) -> String {
    STANDARD.encode(bytes)
}

#[derive(Debug, Serialize)]
pub(crate) struct RangeRequest {
    pub(crate) key: String,
    pub(crate) range_end: String,
}

#[derive(Debug, Deserialize)]
pub(crate) struct ResponseHeader {
    #[serde(deserialize_with = "number")]
    pub(crate) revision: u64,
}

#[derive(Debug, Deserialize)]
pub(crate) struct KeyValue {
    #[serde(deserialize_with = "decode")]
    pub(crate) key: Vec<u8>,
    #[serde(default, deserialize_with = "decode")]
    pub(crate) value: Vec<u8>,
    #[serde(deserialize_with = "number")]
    pub(crate) mod_revision: u64,
}

#[derive(Debug, Deserialize)]
pub(crate) struct RangeResponse {
    pub(crate) header: ResponseHeader,
    #[serde(default)]
    pub(crate) kvs: Vec<KeyValue>,
    #[serde(default)]
    pub(crate) more: bool,
}

#[derive(Debug, Serialize)]
pub(crate) struct Compare {
    pub(crate) key: String,
    pub(crate) result: &'static str,
    #[serde(flatten)]
    pub(crate) target: CompareTarget,
}

#[derive(Debug, Serialize)]
#[serde(tag = "target")]
pub(crate) enum CompareTarget {
    #[serde(rename = "CREATE")]
    Create { create_revision: String },
    #[serde(rename = "MOD")]
    Mod { mod_revision: String },
}

#[derive(Debug, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum RequestOp {
    RequestPut { key: String, value: String },
    RequestDeleteRange { key: String },
}

#[derive(Debug, Serialize)]
pub(crate) struct TxnRequest {
    pub(crate) compare: Vec<Compare>,
    pub(crate) success: Vec<RequestOp>,
}

#[derive(Debug, Deserialize)]
pub(crate) struct TxnResponse {
    pub(crate) header: ResponseHeader,
    #[serde(default)]
    pub(crate) succeeded: bool,
}

/// The body of an error response.
#[derive(Debug, Deserialize)]
pub(crate) struct GatewayStatus {
    pub(crate) code: u32,
    #[serde(default)]
    pub(crate) message: String,
}

impl GatewayStatus {
    /// Whether the protocol guarantees that the request was not applied.
    pub(crate) fn is_rejection(&self) -> bool {
        match self.code {
            code::INVALID_ARGUMENT
            | code::NOT_FOUND
            | code::PERMISSION_DENIED
            | code::RESOURCE_EXHAUSTED
            | code::FAILED_PRECONDITION
            | code::UNIMPLEMENTED
            | code::UNAUTHENTICATED => true,
            code::UNAVAILABLE => self.message == NO_LEADER,
            _ => false,
        }
    }
}

fn number<'de, D: Deserializer<'de>>(deserializer: D) -> Result<u64, D::Error> {
    String::deserialize(deserializer)?
        .parse()
        .map_err(de::Error::custom)
}

fn decode<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<u8>, D::Error> {
    STANDARD
        .decode(String::deserialize(deserializer)?)
        .map_err(de::Error::custom)
}
