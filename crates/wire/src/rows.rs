//! Rows of the platform's table.
//!
//! Values are JSON. Each row type is separate from the domain type that it
//! converts to. An invalid row never stops an instance: the last valid value of
//! that row stays in effect and the error is reported.

mod generation;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use tarragonpulley_policy::contract::CustomerContract;
use tarragonpulley_policy::ids::{
    CentreName, CustomerName, InstanceName, MoveName, ServiceKey, TeamKey, VersionName,
};
use tarragonpulley_policy::snapshot::{
    ConfigSnapshot, DrainTarget, KeyDigest, KeyGrant, MoveKind, MoveRecord,
};
use tarragonpulley_policy::units::{ConfigRevision, TrafficShare};

pub use generation::{GenerationRow, ReclaimRow, decode_generation, encode_generation};

/// The prefix of all configuration rows.
pub const CONFIG_PREFIX: &str = "config/";
/// Key of the row that holds the configuration revision. Each configuration
/// change increases it.
pub const HEAD_KEY: &str = "config/head";
/// Key of the row that holds the current rights generation.
pub const GENERATION_KEY: &str = "rights/generation";

const CONTRACT_PREFIX: &str = "config/contract/";
const KEY_PREFIX: &str = "config/key/";
const MOVE_PREFIX: &str = "config/move/";
const DRAIN_PREFIX: &str = "config/drain/";

/// A row that cannot be converted to its domain type.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("row {key:?} is not valid: {reason}")]
pub struct RowError {
    /// The key of the row.
    pub key: String,
    /// Why the row is invalid.
    pub reason: String,
}

impl RowError {
    fn new(key: &str, reason: &dyn ToString) -> Self {
        Self {
            key: key.to_owned(),
            reason: reason.to_string(),
        }
    }
}

/// Value of the row `config/head`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeadRow {
    /// The revision of the configuration.
    pub revision: ConfigRevision,
    /// A random identifier of the change that wrote the row. A writer that got no
    /// response uses it to find out whether its change was committed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub change: Option<u64>,
}

/// Value of a row `config/contract/{customer}`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ContractRow {
    /// The name of the contract file.
    pub file: String,
    /// The contents of the file, unmodified.
    pub text: String,
}

/// Value of a row `config/key/{digest}`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyRow {
    /// The team that the key belongs to.
    pub team: TeamKey,
    /// Whether the key was withdrawn.
    pub withdrawn: bool,
}

/// Value of a row `config/drain/{target}`; the key alone defines the drain.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DrainRow {}

/// The traffic that a move shifts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum MoveKindRow {
    /// Moves traffic of a service from one version to another.
    Rollout {
        /// The service.
        service: ServiceKey,
        /// The version that serves the traffic before the move.
        from: VersionName,
        /// The version that serves the traffic after the move.
        to: VersionName,
    },
    /// Moves traffic of a service from one data centre to another.
    CentreShift {
        /// The service.
        service: ServiceKey,
        /// The data centre that serves the traffic before the move.
        from: CentreName,
        /// The data centre that serves the traffic after the move.
        to: CentreName,
    },
}

/// Value of a row `config/move/{name}`. Times are in milliseconds since the Unix
/// epoch.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MoveRow {
    /// The traffic to move.
    pub moved: MoveKindRow,
    /// The name of the state in the movement state machine.
    pub state: String,
    /// The share of traffic that has moved.
    pub share: TrafficShare,
    /// The maximum share of traffic that may move before the target is proved
    /// healthy.
    pub cap: TrafficShare,
    /// The deadline by which the move must be completed or rolled back.
    pub deadline_ms: u64,
    /// When the current step started.
    pub step_started_ms: u64,
    /// Increases with each write.
    pub epoch: u64,
    /// Why the move is in this state.
    pub reason: String,
}

impl From<MoveKind> for MoveKindRow {
    fn from(kind: MoveKind) -> Self {
        match kind {
            MoveKind::Rollout { service, from, to } => Self::Rollout { service, from, to },
            MoveKind::CentreShift { service, from, to } => Self::CentreShift { service, from, to },
        }
    }
}

impl From<MoveKindRow> for MoveKind {
    fn from(kind: MoveKindRow) -> Self {
        match kind {
            MoveKindRow::Rollout { service, from, to } => Self::Rollout { service, from, to },
            MoveKindRow::CentreShift { service, from, to } => {
                Self::CentreShift { service, from, to }
            }
        }
    }
}

fn to_millis(time: SystemTime) -> u64 {
    let elapsed = time.duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
}

fn from_millis(millis: u64) -> Option<SystemTime> {
    UNIX_EPOCH.checked_add(Duration::from_millis(millis))
}

impl From<MoveRecord> for MoveRow {
    fn from(record: MoveRecord) -> Self {
        Self {
            moved: record.kind.into(),
            state: record.state,
            share: record.share,
            cap: record.cap,
            deadline_ms: to_millis(record.deadline),
            step_started_ms: to_millis(record.step_started),
            epoch: record.epoch,
            reason: record.reason,
        }
    }
}

impl TryFrom<MoveRow> for MoveRecord {
    type Error = String;

    fn try_from(row: MoveRow) -> Result<Self, String> {
        let time =
            |millis| from_millis(millis).ok_or_else(|| format!("time {millis} is too large"));
        Ok(Self {
            deadline: time(row.deadline_ms)?,
            step_started: time(row.step_started_ms)?,
            kind: row.moved.into(),
            state: row.state,
            share: row.share,
            cap: row.cap,
            epoch: row.epoch,
            reason: row.reason,
        })
    }
}

/// Returns the key of the row of a customer's contract.
#[must_use]
pub fn contract_row_key(customer: &CustomerName) -> String {
    format!("{CONTRACT_PREFIX}{customer}")
}

/// Returns the key of the row of an API key.
#[must_use]
pub fn key_row_key(digest: &KeyDigest) -> String {
    format!("{KEY_PREFIX}{digest}")
}

/// Returns the key of the row of a move.
#[must_use]
pub fn move_row_key(name: &MoveName) -> String {
    format!("{MOVE_PREFIX}{name}")
}

/// Returns the key of the row of a drain.
#[must_use]
pub fn drain_row_key(target: &DrainTarget) -> String {
    match target {
        DrainTarget::Centre(customer, centre) => {
            format!("{DRAIN_PREFIX}centre:{customer}/{centre}")
        }
        DrainTarget::Instance(instance) => format!("{DRAIN_PREFIX}instance:{instance}"),
    }
}

/// Encodes a row as JSON.
///
/// # Panics
///
/// Never for the row types of this module, because all keys of their maps are
/// strings.
#[must_use]
pub fn encode<R: Serialize>(row: &R) -> Vec<u8> {
    match serde_json::to_vec(row) {
        Ok(bytes) => bytes,
        Err(error) => unreachable!("row types always encode: {error}"),
    }
}

/// Decodes a row from JSON.
///
/// # Errors
///
/// [`RowError`] if the bytes are not valid JSON for the row type.
pub fn decode<R: DeserializeOwned>(key: &str, bytes: &[u8]) -> Result<R, RowError> {
    serde_json::from_slice(bytes).map_err(|e| RowError::new(key, &e))
}

/// The values of the rows under [`CONFIG_PREFIX`], by key.
pub type ConfigRows = BTreeMap<String, Vec<u8>>;

/// Returns the revision of a set of rows; zero if there is no head row.
///
/// # Errors
///
/// [`RowError`] if the head row is invalid.
pub fn head_revision(rows: &ConfigRows) -> Result<ConfigRevision, RowError> {
    let Some(bytes) = rows.get(HEAD_KEY) else {
        return Ok(ConfigRevision::default());
    };
    decode::<HeadRow>(HEAD_KEY, bytes).map(|head| head.revision)
}

/// The configuration in effect before the rows were read again.
#[derive(Debug, Clone, Copy)]
pub struct PreviousConfig<'a> {
    /// Its rows.
    pub rows: &'a ConfigRows,
    /// The snapshot converted from `rows`.
    pub snapshot: &'a ConfigSnapshot,
    /// The errors of its invalid rows.
    pub errors: &'a [RowError],
}

impl PreviousConfig<'_> {
    /// Whether the row has the same value as before and was valid.
    fn is_unchanged_and_valid(&self, key: &str, bytes: &[u8]) -> bool {
        self.rows.get(key).is_some_and(|row| row == bytes)
            && self.errors.iter().all(|error| error.key != key)
    }
}

/// Converts rows to a snapshot, and returns it with the errors of invalid rows.
///
/// An invalid row keeps its value in `previous`. A contract whose row is unchanged
/// is not parsed again, because parsing 15,000 client blocks takes about 40 ms.
///
/// # Errors
///
/// [`RowError`] if the head row is invalid; the previous configuration then stays
/// in effect.
pub fn config_from_rows(
    rows: &ConfigRows,
    previous: PreviousConfig<'_>,
) -> Result<(ConfigSnapshot, Vec<RowError>), RowError> {
    let mut snapshot = ConfigSnapshot {
        revision: head_revision(rows)?,
        ..ConfigSnapshot::default()
    };
    let mut errors = Vec::new();
    for (key, bytes) in rows {
        if let Err(error) = convert_row(&mut snapshot, previous, key, bytes) {
            errors.push(error);
        }
    }
    Ok((snapshot, errors))
}

fn convert_row(
    snapshot: &mut ConfigSnapshot,
    previous: PreviousConfig<'_>,
    key: &str,
    bytes: &[u8],
) -> Result<(), RowError> {
    if let Some(name) = key.strip_prefix(CONTRACT_PREFIX) {
        let customer = parse_name(key, name)?;
        let previous_contract = previous.snapshot.contracts.get(&customer);
        let contract =
            match previous_contract.filter(|_| previous.is_unchanged_and_valid(key, bytes)) {
                Some(contract) => Ok(Arc::clone(contract)),
                None => parse_contract(key, bytes, &customer).map(Arc::new),
            };
        let previous = previous.snapshot;
        insert_or_keep_previous(
            &mut snapshot.contracts,
            &previous.contracts,
            customer,
            contract,
        )
    } else if let Some(name) = key.strip_prefix(KEY_PREFIX) {
        let digest = parse_name(key, name)?;
        let grant = decode::<KeyRow>(key, bytes).map(|row| KeyGrant {
            team: row.team,
            withdrawn: row.withdrawn,
        });
        insert_or_keep_previous(&mut snapshot.keys, &previous.snapshot.keys, digest, grant)
    } else if let Some(name) = key.strip_prefix(MOVE_PREFIX) {
        let name = parse_name(key, name)?;
        let record = decode::<MoveRow>(key, bytes)
            .and_then(|row| MoveRecord::try_from(row).map_err(|e| RowError::new(key, &e)));
        insert_or_keep_previous(&mut snapshot.moves, &previous.snapshot.moves, name, record)
    } else if let Some(name) = key.strip_prefix(DRAIN_PREFIX) {
        snapshot.drains.insert(parse_drain(key, name)?);
        Ok(())
    } else if key == HEAD_KEY {
        Ok(())
    } else {
        Err(RowError::new(key, &"no such kind of configuration row"))
    }
}

fn insert_or_keep_previous<K: Ord, V: Clone>(
    values: &mut BTreeMap<K, V>,
    previous: &BTreeMap<K, V>,
    key: K,
    converted: Result<V, RowError>,
) -> Result<(), RowError> {
    let (value, result) = match converted {
        Ok(value) => (Some(value), Ok(())),
        Err(error) => (previous.get(&key).cloned(), Err(error)),
    };
    if let Some(value) = value {
        values.insert(key, value);
    }
    result
}

fn parse_name<N>(key: &str, name: &str) -> Result<N, RowError>
where
    N: std::str::FromStr<Err: ToString>,
{
    name.parse()
        .map_err(|e: <N as std::str::FromStr>::Err| RowError::new(key, &e))
}

fn parse_contract(
    key: &str,
    bytes: &[u8],
    customer: &CustomerName,
) -> Result<CustomerContract, RowError> {
    let row = decode::<ContractRow>(key, bytes)?;
    let contract =
        CustomerContract::parse(&row.file, &row.text).map_err(|e| RowError::new(key, &e))?;
    if contract.customer == *customer {
        Ok(contract)
    } else {
        let reason = format!(
            "the contract is of customer {:?}",
            contract.customer.as_str()
        );
        Err(RowError::new(key, &reason))
    }
}

fn parse_drain(key: &str, target: &str) -> Result<DrainTarget, RowError> {
    if let Some(instance) = target.strip_prefix("instance:") {
        return parse_name::<InstanceName>(key, instance).map(DrainTarget::Instance);
    }
    let (customer, centre) = target
        .strip_prefix("centre:")
        .and_then(|names| names.split_once('/'))
        .ok_or_else(|| RowError::new(key, &"expected instance:name or centre:customer/centre"))?;
    Ok(DrainTarget::Centre(
        parse_name(key, customer)?,
        parse_name(key, centre)?,
    ))
}
