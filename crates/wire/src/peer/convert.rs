//! Conversions between peer messages and domain types.

use std::collections::BTreeSet;
use std::time::Duration;

use tarragonpulley_policy::facts::{FactKey, FactValue, ServerReport};
use tarragonpulley_policy::freshness::{PeerStatement, RightsVersion};
use tarragonpulley_policy::ids::{IdError, IncarnationId, ServiceKey};
use tarragonpulley_policy::membership::MemberPlace;
use tarragonpulley_policy::snapshot::KeyDigest;
use tarragonpulley_policy::timeline::{EventRecord, HybridTimestamp};
use tarragonpulley_policy::units::ConfigRevision;

use super::message::{
    EventEntry, FactEntry, FactKeyEntry, FactValueEntry, IncarnationEntry, PlaceEntry, StampEntry,
    StatementEntry,
};
use super::{MAX_EVENTS, MAX_FACTS, MAX_INCARNATIONS, MAX_TEXT_BYTES};

/// Why a message was rejected.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum WireError {
    /// The message cannot be encoded, or the bytes cannot be decoded.
    #[error("invalid peer message: {0}")]
    Codec(String),
    /// A name or key is invalid.
    #[error(transparent)]
    Id(#[from] IdError),
    /// A list or string exceeds its maximum length.
    #[error("{what} has {length} entries or bytes; at most {max} are allowed")]
    TooLarge {
        /// The list or string.
        what: &'static str,
        /// Its length, in entries or bytes.
        length: usize,
        /// The maximum length.
        max: usize,
    },
    /// The type of the value does not match the key.
    #[error("type of fact value does not match key {0}")]
    FactMismatch(String),
}

impl WireError {
    pub(super) fn codec(error: &dyn ToString) -> Self {
        Self::Codec(error.to_string())
    }
}

pub(super) fn check_length(what: &'static str, length: usize, max: usize) -> Result<(), WireError> {
    if length > max {
        return Err(WireError::TooLarge { what, length, max });
    }
    Ok(())
}

fn check_text(what: &'static str, text: String) -> Result<String, WireError> {
    check_length(what, text.len(), MAX_TEXT_BYTES)?;
    Ok(text)
}

/// Truncates `text` to at most [`MAX_TEXT_BYTES`], at a character boundary.
fn truncate_text(mut text: String) -> String {
    if text.len() > MAX_TEXT_BYTES {
        text.truncate(text.floor_char_boundary(MAX_TEXT_BYTES));
    }
    text
}

impl From<&IncarnationId> for IncarnationEntry {
    fn from(id: &IncarnationId) -> Self {
        Self {
            instance: id.instance.as_str().to_owned(),
            number: id.number,
        }
    }
}

impl TryFrom<IncarnationEntry> for IncarnationId {
    type Error = WireError;

    fn try_from(entry: IncarnationEntry) -> Result<Self, WireError> {
        Ok(Self {
            instance: entry.instance.parse()?,
            number: entry.number,
        })
    }
}

/// Converts a received list of incarnations.
///
/// # Errors
///
/// [`WireError`] if the list is too long or a name is invalid.
pub fn incarnations_from_wire(
    entries: Vec<IncarnationEntry>,
) -> Result<BTreeSet<IncarnationId>, WireError> {
    check_length("a list of incarnations", entries.len(), MAX_INCARNATIONS)?;
    entries.into_iter().map(TryInto::try_into).collect()
}

impl From<&MemberPlace> for PlaceEntry {
    fn from(place: &MemberPlace) -> Self {
        Self {
            centre: place.centre.as_str().to_owned(),
            service_address: place.service_address,
            peer_address: place.peer_address,
        }
    }
}

impl TryFrom<PlaceEntry> for MemberPlace {
    type Error = WireError;

    fn try_from(entry: PlaceEntry) -> Result<Self, WireError> {
        Ok(Self {
            centre: entry.centre.parse()?,
            service_address: entry.service_address,
            peer_address: entry.peer_address,
        })
    }
}

impl From<HybridTimestamp> for StampEntry {
    fn from(stamp: HybridTimestamp) -> Self {
        Self {
            millis: stamp.millis,
            counter: stamp.counter,
        }
    }
}

impl From<StampEntry> for HybridTimestamp {
    fn from(entry: StampEntry) -> Self {
        Self {
            millis: entry.millis,
            counter: entry.counter,
        }
    }
}

/// Rounds up, so that a proof never appears more recent than it is.
fn age_micros(age: Duration) -> u64 {
    let micros = age.as_nanos().div_ceil(1000);
    u64::try_from(micros).unwrap_or(u64::MAX)
}

impl From<PeerStatement> for StatementEntry {
    fn from(statement: PeerStatement) -> Self {
        Self {
            revision: statement.revision.get(),
            generation: statement.rights.generation,
            reclaims: statement.rights.reclaims,
            proof_age_us: statement.proof_age.map(age_micros),
            based: statement.ever_proved,
        }
    }
}

impl From<StatementEntry> for PeerStatement {
    fn from(entry: StatementEntry) -> Self {
        Self {
            revision: ConfigRevision::new(entry.revision),
            rights: RightsVersion {
                generation: entry.generation,
                reclaims: entry.reclaims,
            },
            proof_age: entry.proof_age_us.map(Duration::from_micros),
            ever_proved: entry.based,
        }
    }
}

impl From<&FactKey> for FactKeyEntry {
    fn from(key: &FactKey) -> Self {
        match key {
            FactKey::ServerReport(server, reporter) => {
                Self::ServerReport(server.to_string(), reporter.into())
            }
            FactKey::CrashCount(fingerprint, reporter) => {
                Self::CrashCount(*fingerprint, reporter.into())
            }
            FactKey::VersionFault(service, version) => {
                Self::VersionFault(service.to_string(), version.to_string())
            }
            FactKey::KeyWithdrawn(digest) => Self::KeyWithdrawn(*digest.as_bytes()),
            FactKey::InstanceLeaving(instance) => Self::InstanceLeaving(instance.into()),
        }
    }
}

impl TryFrom<FactKeyEntry> for FactKey {
    type Error = WireError;

    fn try_from(entry: FactKeyEntry) -> Result<Self, WireError> {
        Ok(match entry {
            FactKeyEntry::ServerReport(server, reporter) => {
                Self::ServerReport(server.parse()?, reporter.try_into()?)
            }
            FactKeyEntry::CrashCount(fingerprint, reporter) => {
                Self::CrashCount(fingerprint, reporter.try_into()?)
            }
            FactKeyEntry::VersionFault(service, version) => {
                let service: ServiceKey = service.parse()?;
                Self::VersionFault(service, version.parse()?)
            }
            FactKeyEntry::KeyWithdrawn(digest) => Self::KeyWithdrawn(KeyDigest::from_bytes(digest)),
            FactKeyEntry::InstanceLeaving(instance) => Self::InstanceLeaving(instance.try_into()?),
        })
    }
}

impl From<&FactValue> for FactValueEntry {
    fn from(value: &FactValue) -> Self {
        match value {
            FactValue::Server(report) => Self::Server {
                sequence: report.sequence,
                healthy: report.healthy,
                leaving: report.leaving,
                load: report.load,
                uptime_ms: u64::try_from(report.uptime.as_millis()).unwrap_or(u64::MAX),
            },
            FactValue::Count(count) => Self::Count(*count),
            FactValue::Flag => Self::Latched,
            FactValue::FlagWithReason(reason) => {
                Self::LatchedBecause(truncate_text(reason.clone()))
            }
        }
    }
}

impl TryFrom<FactValueEntry> for FactValue {
    type Error = WireError;

    fn try_from(entry: FactValueEntry) -> Result<Self, WireError> {
        Ok(match entry {
            FactValueEntry::Server {
                sequence,
                healthy,
                leaving,
                load,
                uptime_ms,
            } => Self::Server(ServerReport {
                sequence,
                healthy,
                leaving,
                load,
                uptime: Duration::from_millis(uptime_ms),
            }),
            FactValueEntry::Count(count) => Self::Count(count),
            FactValueEntry::Latched => Self::Flag,
            FactValueEntry::LatchedBecause(reason) => {
                Self::FlagWithReason(check_text("a reason", reason)?)
            }
        })
    }
}

impl FactEntry {
    /// Converts a fact to its wire format.
    #[must_use]
    pub fn new(key: &FactKey, value: &FactValue) -> Self {
        Self {
            key: key.into(),
            value: value.into(),
        }
    }
}

impl TryFrom<FactEntry> for (FactKey, FactValue) {
    type Error = WireError;

    fn try_from(entry: FactEntry) -> Result<Self, WireError> {
        let (key, value) = (FactKey::try_from(entry.key)?, entry.value.try_into()?);
        let value_matches_key = match (&key, &value) {
            (FactKey::ServerReport(..), FactValue::Server(_))
            | (FactKey::CrashCount(..), FactValue::Count(_)) => true,
            (FactKey::ServerReport(..) | FactKey::CrashCount(..), _) => false,
            (_, value) => matches!(value, FactValue::Flag | FactValue::FlagWithReason(_)),
        };
        if value_matches_key {
            Ok((key, value))
        } else {
            Err(WireError::FactMismatch(format!("{key:?}")))
        }
    }
}

/// Converts the facts of a received heartbeat.
///
/// # Errors
///
/// [`WireError`] if the list is too long or a fact is invalid.
pub fn facts_from_wire(entries: Vec<FactEntry>) -> Result<Vec<(FactKey, FactValue)>, WireError> {
    check_length("a list of facts", entries.len(), MAX_FACTS)?;
    entries.into_iter().map(TryInto::try_into).collect()
}

impl From<EventRecord> for EventEntry {
    fn from(event: EventRecord) -> Self {
        Self {
            stamp: event.stamp.into(),
            origin: (&event.origin).into(),
            kind: truncate_text(event.kind),
            subject: truncate_text(event.subject),
            detail: truncate_text(event.detail),
        }
    }
}

impl TryFrom<EventEntry> for EventRecord {
    type Error = WireError;

    fn try_from(entry: EventEntry) -> Result<Self, WireError> {
        Ok(Self {
            stamp: entry.stamp.into(),
            origin: entry.origin.try_into()?,
            kind: check_text("the kind of an event", entry.kind)?,
            subject: check_text("the subject of an event", entry.subject)?,
            detail: check_text("the detail of an event", entry.detail)?,
        })
    }
}

/// Converts the events of a received response.
///
/// # Errors
///
/// [`WireError`] if the list is too long or an event is invalid.
pub fn events_from_wire(entries: Vec<EventEntry>) -> Result<Vec<EventRecord>, WireError> {
    check_length("a list of events", entries.len(), MAX_EVENTS)?;
    entries.into_iter().map(TryInto::try_into).collect()
}
