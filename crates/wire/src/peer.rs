//! Messages between instances.
//!
//! One h2 stream carries one [`PeerRequest`] and its [`PeerAnswer`], both in
//! bincode. Every list has a bound and every text is parsed into its domain
//! type; a message that breaks a rule is refused as a whole.

mod convert;
mod message;
mod rights;

pub use convert::{WireError, read_events, read_facts, read_incarnations};
pub use message::{
    ConfigurationAnswer, CounterEntry, EventEntry, FactEntry, FactKeyEntry, FactValueEntry,
    FenceAnswer, HeartbeatAnswer, HeartbeatRequest, IncarnationEntry, PairEntry, PeerAnswer,
    PeerRequest, PlaceEntry, RightsAnswer, RightsAskRequest, StampEntry, StatementEntry,
    SummaryEntry,
};
pub use rights::{read_counters, read_summaries, write_counters};

use bincode::config::{Configuration, Limit, LittleEndian, Varint, standard};

/// The largest request in bytes. A heartbeat with all its lists full is
/// smaller.
pub const MAX_REQUEST_BYTES: usize = 2 * 1024 * 1024;

/// The largest answer in bytes. Only the answer to a configuration fetch comes
/// near; it carries every contract file and key of the fleet.
pub const MAX_ANSWER_BYTES: usize = 32 * 1024 * 1024;

/// Most facts in a heartbeat; the rest follows in the next one.
pub const MAX_FACTS: usize = 512;
/// Most limits in a message.
pub const MAX_LIMITS: usize = 8192;
/// Most incarnations in a list. The dead set of a generation grows with each
/// restart.
pub const MAX_INCARNATIONS: usize = 4096;
/// Most events in an answer.
pub const MAX_EVENTS: usize = 4096;
/// Longest reason or detail in bytes.
pub const MAX_TEXT_BYTES: usize = 1024;

const REQUEST_CODEC: Configuration<LittleEndian, Varint, Limit<MAX_REQUEST_BYTES>> =
    standard().with_limit::<MAX_REQUEST_BYTES>();
const ANSWER_CODEC: Configuration<LittleEndian, Varint, Limit<MAX_ANSWER_BYTES>> =
    standard().with_limit::<MAX_ANSWER_BYTES>();

/// Encodes a request.
///
/// # Errors
///
/// [`WireError::Codec`] when the message is larger than [`MAX_REQUEST_BYTES`].
pub fn encode_request(request: &PeerRequest) -> Result<Vec<u8>, WireError> {
    let bytes = bincode::encode_to_vec(request, REQUEST_CODEC).map_err(|e| WireError::codec(&e))?;
    check_size(bytes, MAX_REQUEST_BYTES)
}

/// Encodes an answer.
///
/// # Errors
///
/// [`WireError::Codec`] when the message is larger than [`MAX_ANSWER_BYTES`].
pub fn encode_answer(answer: &PeerAnswer) -> Result<Vec<u8>, WireError> {
    let bytes = bincode::encode_to_vec(answer, ANSWER_CODEC).map_err(|e| WireError::codec(&e))?;
    check_size(bytes, MAX_ANSWER_BYTES)
}

/// Decodes a request.
///
/// # Errors
///
/// [`WireError::Codec`] when the bytes are not exactly one request.
pub fn decode_request(bytes: &[u8]) -> Result<PeerRequest, WireError> {
    let decoded = bincode::decode_from_slice(bytes, REQUEST_CODEC);
    whole(decoded.map_err(|e| WireError::codec(&e))?, bytes)
}

/// Decodes an answer.
///
/// # Errors
///
/// [`WireError::Codec`] when the bytes are not exactly one answer.
pub fn decode_answer(bytes: &[u8]) -> Result<PeerAnswer, WireError> {
    let decoded = bincode::decode_from_slice(bytes, ANSWER_CODEC);
    whole(decoded.map_err(|e| WireError::codec(&e))?, bytes)
}

fn check_size(bytes: Vec<u8>, most: usize) -> Result<Vec<u8>, WireError> {
    if bytes.len() > most {
        let reason = format!("{} bytes; at most {most} are allowed", bytes.len());
        return Err(WireError::Codec(reason));
    }
    Ok(bytes)
}

fn whole<M>(decoded: (M, usize), bytes: &[u8]) -> Result<M, WireError> {
    let (message, read) = decoded;
    if read != bytes.len() {
        let reason = format!("{} bytes follow the message", bytes.len() - read);
        return Err(WireError::Codec(reason));
    }
    Ok(message)
}
