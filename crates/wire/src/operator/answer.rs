//! Answers of the operator API.

use std::time::{SystemTime, UNIX_EPOCH};

use serde::{Deserialize, Serialize};
use tarragonpulley_policy::ids::MoveName;
use tarragonpulley_policy::snapshot::MoveRecord;
use tarragonpulley_policy::timeline::{EventRecord, HybridTimestamp};

use super::{MoveForm, OperatorError};

/// A change was accepted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeAnswer {
    /// The revision that has the change.
    pub revision: u64,
}

/// Why a call did not succeed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ErrorKind {
    /// 400: the request does not have the documented form; nothing changed.
    MalformedRequest,
    /// 404: there is no such path, move or drain; nothing changed.
    NotFound,
    /// 405: the path does not know this method; nothing changed.
    MethodNotAllowed,
    /// 409: another change came first; nothing changed.
    Conflict,
    /// 413: the body is too large; nothing changed.
    BodyTooLarge,
    /// 422: the change breaks a rule; nothing changed.
    Refused,
    /// 503: the table cannot be reached; nothing changed.
    Unavailable,
    /// 504: the change may or may not have been made.
    UnknownOutcome,
}

/// Body of every answer other than 200.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorAnswer {
    /// The kind of error.
    pub error: ErrorKind,
    /// What happened, for the operator.
    pub message: String,
    /// Each mistake, when a change breaks rules.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub mistakes: Vec<String>,
    /// The current revision, when another change came first.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub revision: Option<u64>,
}

/// Answer of `GET /v1/status`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusAnswer {
    /// The instance that answers, `name#number`.
    pub instance: String,
    /// Its data centre.
    pub data_centre: String,
    /// Its configuration revision.
    pub revision: u64,
    /// How long ago that revision was proved current, in milliseconds; absent
    /// without a valid proof, while requests that need a key are refused.
    pub proof_age_ms: Option<u64>,
    /// Customers with a contract.
    pub customers: Vec<String>,
    /// Counts of keys.
    pub keys: KeyCounts,
    /// Moves in name order.
    pub moves: Vec<MoveStatus>,
    /// Drains under way.
    pub drains: Vec<DrainStatus>,
    /// All known instances, this one included.
    pub members: Vec<MemberStatus>,
}

/// Counts of keys.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyCounts {
    /// Keys that work.
    pub granted: usize,
    /// Keys that were withdrawn.
    pub withdrawn: usize,
}

/// A drain under way.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DrainStatus {
    /// `centre:customer/centre` or `instance:name`.
    pub target: String,
}

/// An instance as the answering one sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// Its name.
    pub instance: String,
    /// Its current run, `name#number`, once heard from.
    pub incarnation: Option<String>,
    /// Its data centre.
    pub data_centre: String,
    /// Where callers reach it.
    pub service_address: String,
    /// Whether it answered a heartbeat lately.
    pub answering: bool,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Its configuration revision.
    pub revision: u64,
}

/// A move and where it stands.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MoveStatus {
    /// The name of the move.
    pub name: String,
    /// What is moved.
    pub kind: MoveForm,
    /// The state in the movement chart.
    pub state: String,
    /// The share that has moved, as in `25%`.
    pub share: String,
    /// The most that may move before the target is proved sound.
    pub cap: String,
    /// When the move must have ended, in milliseconds since the Unix epoch.
    pub deadline_ms: u64,
    /// Grows with each step.
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

/// An event of the time line.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EventEntry {
    /// Its stamp, `millis.counter`; pass it as `after` to read on.
    pub stamp: String,
    /// The instance, `name#number`.
    pub origin: String,
    /// What happened, such as `key_withdrawn`.
    pub kind: String,
    /// What it happened to.
    pub subject: String,
    /// More about it.
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
    /// Reads a stamp, `millis` or `millis.counter`.
    ///
    /// # Errors
    ///
    /// [`OperatorError`] when the text has another form.
    pub fn parse_stamp(text: &str) -> Result<HybridTimestamp, OperatorError> {
        let error = || OperatorError::new("after", format!("{text:?} must be millis.counter"));
        let (millis, counter) = text.split_once('.').unwrap_or((text, "0"));
        Ok(HybridTimestamp {
            millis: millis.parse().map_err(|_error| error())?,
            counter: counter.parse().map_err(|_error| error())?,
        })
    }
}

/// Answer of `GET /v1/timeline`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TimelineAnswer {
    /// Events of all instances that answered, oldest first.
    pub events: Vec<EventEntry>,
}
