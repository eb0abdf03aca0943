//! Responses of the operator API.

use std::time::{SystemTime, UNIX_EPOCH};

use serde::{Deserialize, Serialize};
use tarragonpulley_policy::ids::MoveName;
use tarragonpulley_policy::snapshot::MoveRecord;
use tarragonpulley_policy::timeline::{EventRecord, HybridTimestamp};

use super::{FieldError, MoveKindSpec};

/// Response to an accepted change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeResponse {
    /// The revision that contains the change.
    pub revision: u64,
}

/// Why a call failed, with the HTTP status of the response.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ErrorKind {
    /// 400: the request is malformed; nothing changed.
    MalformedRequest,
    /// 404: the path, move or drain does not exist; nothing changed.
    NotFound,
    /// 405: the path does not support this method; nothing changed.
    MethodNotAllowed,
    /// 409: a concurrent change was committed first; nothing changed.
    Conflict,
    /// 413: the body is too large; nothing changed.
    BodyTooLarge,
    /// 422: the change failed validation; nothing changed.
    Refused,
    /// 503: the table is unreachable; nothing changed.
    Unavailable,
    /// 504: the change may or may not have been committed.
    UnknownOutcome,
}

/// Body of every response with a status other than 200.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorResponse {
    /// The kind of error.
    pub error: ErrorKind,
    /// A description of the error for the operator.
    pub message: String,
    /// Every validation error of the change.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub mistakes: Vec<String>,
    /// The current revision, in case of a conflict.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub revision: Option<u64>,
}

/// Response to `GET /v1/status`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusResponse {
    /// The incarnation of the responding instance, `name#number`.
    pub instance: String,
    /// Its data centre.
    pub data_centre: String,
    /// Its configuration revision.
    pub revision: u64,
    /// Milliseconds since that revision was proved current. Absent without a
    /// valid proof; requests that need a key are then rejected.
    pub proof_age_ms: Option<u64>,
    /// Names of the customers with a contract.
    pub customers: Vec<String>,
    /// Numbers of granted and withdrawn keys.
    pub keys: KeyCounts,
    /// All moves, sorted by name.
    pub moves: Vec<MoveStatus>,
    /// Active drains.
    pub drains: Vec<DrainStatus>,
    /// All known instances, including the responding one.
    pub members: Vec<MemberStatus>,
}

/// Numbers of keys by state.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyCounts {
    /// Valid keys.
    pub granted: usize,
    /// Withdrawn keys.
    pub withdrawn: usize,
}

/// An active drain.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DrainStatus {
    /// `centre:customer/centre` or `instance:name`.
    pub target: String,
}

/// An instance as seen by the responding instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// The name of the instance.
    pub instance: String,
    /// Its current incarnation, `name#number`; absent until the first contact.
    pub incarnation: Option<String>,
    /// Its data centre.
    pub data_centre: String,
    /// The address for callers.
    pub service_address: String,
    /// Whether it responded to a recent heartbeat.
    pub answering: bool,
    /// Whether it is draining before shutdown.
    pub leaving: bool,
    /// Its configuration revision.
    pub revision: u64,
}

/// The current state of a move.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MoveStatus {
    /// The name of the move.
    pub name: String,
    /// What is moved.
    pub kind: MoveKindSpec,
    /// The name of the state in the movement state machine.
    pub state: String,
    /// The share of traffic that has moved, as in `25%`.
    pub share: String,
    /// The maximum share of traffic that may move before the target is proved
    /// healthy.
    pub cap: String,
    /// The deadline of the move, in milliseconds since the Unix epoch.
    pub deadline_ms: u64,
    /// Increases with each step.
    pub epoch: u64,
    /// Why the move is in this state.
    pub reason: String,
}

impl From<(&MoveName, &MoveRecord)> for MoveStatus {
    fn from((name, record): (&MoveName, &MoveRecord)) -> Self {
        Self {
            name: name.to_string(),
            kind: (&record.kind).into(),
            state: record.state.clone(),
            share: record.share.to_string(),
            cap: record.cap.to_string(),
            deadline_ms: unix_millis(record.deadline),
            epoch: record.epoch,
            reason: record.reason.clone(),
        }
    }
}

fn unix_millis(time: SystemTime) -> u64 {
    let elapsed = time.duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
}

/// An event of the timeline.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EventEntry {
    /// The timestamp, `millis.counter`; pass it as `after` to get the next page.
    pub stamp: String,
    /// The incarnation that recorded the event, `name#number`.
    pub origin: String,
    /// The kind of event, such as `key_withdrawn`.
    pub kind: String,
    /// The object that the event is about.
    pub subject: String,
    /// Additional details.
    pub detail: String,
}

impl From<&EventRecord> for EventEntry {
    fn from(event: &EventRecord) -> Self {
        Self {
            stamp: format!("{}.{}", event.stamp.millis, event.stamp.counter),
            origin: event.origin.to_string(),
            kind: event.kind.clone(),
            subject: event.subject.clone(),
            detail: event.detail.clone(),
        }
    }
}

impl EventEntry {
    /// Parses a timestamp, `millis` or `millis.counter`.
    ///
    /// # Errors
    ///
    /// [`FieldError`] if the text does not have this format.
    pub fn parse_stamp(text: &str) -> Result<HybridTimestamp, FieldError> {
        let error = || FieldError::new("after", format!("{text:?} must be millis.counter"));
        let (millis, counter) = text.split_once('.').unwrap_or((text, "0"));
        Ok(HybridTimestamp {
            millis: millis.parse().map_err(|_error| error())?,
            counter: counter.parse().map_err(|_error| error())?,
        })
    }
}

/// Response to `GET /v1/timeline`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TimelineResponse {
    /// Events from all instances that responded, oldest first.
    pub events: Vec<EventEntry>,
}
