//! Messages between instances.
//!
//! One h2 stream carries one [`PeerRequest`] and its [`PeerResponse`], both
//! encoded with bincode. Every list has a maximum length and every string is
//! parsed into its domain type; a message with any invalid part is rejected
//! as a whole.

mod convert;
mod message;
mod rights;

pub use convert::{WireError, events_from_wire, facts_from_wire, incarnations_from_wire};
pub use message::{
    ConfigurationResponse, CounterEntry, EventEntry, FactEntry, FactKeyEntry, FactValueEntry,
    FenceResponse, HeartbeatRequest, HeartbeatResponse, IncarnationEntry, PairEntry, PeerRequest,
    PeerResponse, PlaceEntry, RightsRequest, RightsResponse, StampEntry, StatementEntry,
    SummaryEntry,
};
pub use rights::{counters_from_wire, counters_to_wire, summaries_from_wire};

use bincode::config::{Configuration, Limit, LittleEndian, Varint, standard};

/// Maximum size of a request in bytes. A heartbeat with all lists at their
/// maximum length is smaller.
pub const MAX_REQUEST_BYTES: usize = 2 * 1024 * 1024;

/// Maximum size of a response in bytes. Only the response to a configuration
/// fetch gets close: it contains every contract file and key of the fleet.
pub const MAX_RESPONSE_BYTES: usize = 32 * 1024 * 1024;

/// Maximum number of facts in a heartbeat; the rest is sent in the next one.
pub const MAX_FACTS: usize = 512;
/// Maximum number of limits in a message.
pub const MAX_LIMITS: usize = 8192;
/// Maximum number of incarnations in a list. The set of failed incarnations of
/// a generation grows with each restart.
pub const MAX_INCARNATIONS: usize = 4096;
/// Maximum number of events in a response.
pub const MAX_EVENTS: usize = 4096;
/// Maximum length in bytes of the reason of a fact and of each text of an event.
pub const MAX_TEXT_BYTES: usize = 1024;

const REQUEST_CODEC: Configuration<LittleEndian, Varint, Limit<MAX_REQUEST_BYTES>> =
    standard().with_limit::<MAX_REQUEST_BYTES>();
const RESPONSE_CODEC: Configuration<LittleEndian, Varint, Limit<MAX_RESPONSE_BYTES>> =
    standard().with_limit::<MAX_RESPONSE_BYTES>();

/// Encodes a request.
///
/// # Errors
///
/// [`WireError::Codec`] if the message is larger than [`MAX_REQUEST_BYTES`].
pub fn encode_request(request: &PeerRequest) -> Result<Vec<u8>, WireError> {
    let bytes = bincode::encode_to_vec(request, REQUEST_CODEC).map_err(|e| WireError::codec(&e))?;
    check_size(bytes, MAX_REQUEST_BYTES)
}

/// Encodes a response.
///
/// # Errors
///
/// [`WireError::Codec`] if the message is larger than [`MAX_RESPONSE_BYTES`].
pub fn encode_response(response: &PeerResponse) -> Result<Vec<u8>, WireError> {
    let bytes =
        bincode::encode_to_vec(response, RESPONSE_CODEC).map_err(|e| WireError::codec(&e))?;
    check_size(bytes, MAX_RESPONSE_BYTES)
}

/// Decodes a request.
///
/// # Errors
///
/// [`WireError::Codec`] if the bytes are not exactly one request.
pub fn decode_request(bytes: &[u8]) -> Result<PeerRequest, WireError> {
    let decoded = bincode::decode_from_slice(bytes, REQUEST_CODEC);
    reject_trailing_bytes(decoded.map_err(|e| WireError::codec(&e))?, bytes)
}

/// Decodes a response.
///
/// # Errors
///
/// [`WireError::Codec`] if the bytes are not exactly one response.
pub fn decode_response(bytes: &[u8]) -> Result<PeerResponse, WireError> {
    let decoded = bincode::decode_from_slice(bytes, RESPONSE_CODEC);
    reject_trailing_bytes(decoded.map_err(|e| WireError::codec(&e))?, bytes)
}

fn check_size(bytes: Vec<u8>, max: usize) -> Result<Vec<u8>, WireError> {
    if bytes.len() > max {
        let reason = format!(
            "message has {} bytes; at most {max} are allowed",
            bytes.len()
        );
        return Err(WireError::Codec(reason));
    }
    Ok(bytes)
}

fn reject_trailing_bytes<M>(decoded: (M, usize), bytes: &[u8]) -> Result<M, WireError> {
    let (message, read) = decoded;
    if read != bytes.len() {
        let reason = format!("{} trailing bytes after the message", bytes.len() - read);
        return Err(WireError::Codec(reason));
    }
    Ok(message)
}
