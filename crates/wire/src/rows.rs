//! Rows of the platform's table.
//!
//! Values are JSON. Each row type is separate from the domain type that it
//! converts to, and a row that does not convert never stops an instance: the
//! last good value of that row stays in force and the fault is reported.

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

pub use generation::{GenerationRow, ReclaimRow, read_generation, write_generation};

/// The prefix of all configuration rows.
pub const CONFIG_PREFIX: &str = "config/";
/// The row that each configuration change advances.
pub const HEAD_KEY: &str = "config/head";
/// The row of the present rights generation.
pub const GENERATION_KEY: &str = "rights/generation";

const CONTRACT_PREFIX: &str = "config/contract/";
const KEY_PREFIX: &str = "config/key/";
const MOVE_PREFIX: &str = "config/move/";
const DRAIN_PREFIX: &str = "config/drain/";

/// Why a row does not convert to its domain type.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("row {key:?} is not valid: {reason}")]
pub struct RowError {
    /// The key of the row.
    pub key: String,
    /// The rule that it breaks.
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

/// `config/head`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeadRow {
    /// The revision of the configuration.
    pub revision: ConfigRevision,
    /// A random number of the change that wrote the row, by which a writer
    /// whose answer was lost recognises its own change.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub change: Option<u64>,
}

/// `config/contract/{customer}`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ContractRow {
    /// The name of the contract file.
    pub file: String,
    /// Its text as applied.
    pub text: String,
}

/// `config/key/{digest}`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyRow {
    /// The team that the key belongs to.
    pub team: TeamKey,
    /// Whether the key was withdrawn.
    pub withdrawn: bool,
}

/// `config/drain/{target}`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DrainRow {}

/// What a move moves.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum MoveKindRow {
    /// Traffic of a service from one version to another.
    Rollout {
        /// The service.
        service: ServiceKey,
        /// The version that has the traffic.
        from: VersionName,
        /// The version that shall have it.
        to: VersionName,
    },
    /// Traffic of a service from one data centre to another.
    CentreShift {
        /// The service.
        service: ServiceKey,
        /// The data centre that has the traffic.
        from: CentreName,
        /// The data centre that shall have it.
        to: CentreName,
    },
}

/// `config/move/{name}`. Times are milliseconds since the Unix epoch.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MoveRow {
    /// What is moved.
    pub moved: MoveKindRow,
    /// The state, a name of the movement chart.
    pub state: String,
    /// The share that has moved.
    pub share: TrafficShare,
    /// The most that may move before the target is proved sound.
    pub cap: TrafficShare,
    /// When the move must be done or taken back.
    pub deadline_ms: u64,
    /// When the current step began.
    pub step_started_ms: u64,
    /// Grows with each write.
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

/// The key of a contract's row.
#[must_use]
pub fn contract_key(customer: &CustomerName) -> String {
    format!("{CONTRACT_PREFIX}{customer}")
}

/// The key of a granted key's row.
#[must_use]
pub fn key_key(digest: &KeyDigest) -> String {
    format!("{KEY_PREFIX}{digest}")
}

/// The key of a move's row.
#[must_use]
pub fn move_key(name: &MoveName) -> String {
    format!("{MOVE_PREFIX}{name}")
}

/// The key of a drain's row.
#[must_use]
pub fn drain_key(target: &DrainTarget) -> String {
    match target {
        DrainTarget::Centre(customer, centre) => {
            format!("{DRAIN_PREFIX}centre:{customer}/{centre}")
        }
        DrainTarget::Instance(instance) => format!("{DRAIN_PREFIX}instance:{instance}"),
    }
}

/// The JSON bytes of a row.
///
/// # Panics
///
/// Never for the row types of this module: their maps have text keys only.
#[must_use]
pub fn encode<R: Serialize>(row: &R) -> Vec<u8> {
    match serde_json::to_vec(row) {
        Ok(bytes) => bytes,
        Err(error) => unreachable!("row types always encode: {error}"),
    }
}

/// Reads the JSON bytes of a row.
///
/// # Errors
///
/// [`RowError`] when the bytes are not JSON of the row's form.
pub fn decode<R: DeserializeOwned>(key: &str, bytes: &[u8]) -> Result<R, RowError> {
    serde_json::from_slice(bytes).map_err(|e| RowError::new(key, &e))
}

/// The rows under [`CONFIG_PREFIX`], by key.
pub type ConfigRows = BTreeMap<String, Vec<u8>>;

/// The revision of a set of rows; a fleet without a head row is at zero.
///
/// # Errors
///
/// [`RowError`] when the head row is not valid.
pub fn head_revision(rows: &ConfigRows) -> Result<ConfigRevision, RowError> {
    let Some(bytes) = rows.get(HEAD_KEY) else {
        return Ok(ConfigRevision::default());
    };
    decode::<HeadRow>(HEAD_KEY, bytes).map(|head| head.revision)
}

/// The configuration before a new one.
#[derive(Debug, Clone, Copy)]
pub struct LastConfig<'a> {
    /// Its rows.
    pub rows: &'a ConfigRows,
    /// What they were converted to.
    pub snapshot: &'a ConfigSnapshot,
    /// Its rows that did not convert.
    pub faults: &'a [RowError],
}

impl LastConfig<'_> {
    /// Whether a row is the same as before and was converted then.
    fn has_converted(&self, key: &str, bytes: &[u8]) -> bool {
        self.rows.get(key).is_some_and(|row| row == bytes)
            && self.faults.iter().all(|fault| fault.key != key)
    }
}

/// Converts rows to a snapshot. A row that does not convert keeps its value in
/// `last` and is listed in the second part of the result. A contract whose row
/// is the same as before is not parsed again: parsing 15,000 client blocks
/// takes about 40 ms.
///
/// # Errors
///
/// [`RowError`] when the head row is not valid; `last` then stays in force.
pub fn read_config(
    rows: &ConfigRows,
    last: LastConfig<'_>,
) -> Result<(ConfigSnapshot, Vec<RowError>), RowError> {
    let mut snapshot = ConfigSnapshot {
        revision: head_revision(rows)?,
        ..ConfigSnapshot::default()
    };
    let mut faults = Vec::new();
    for (key, bytes) in rows {
        if let Err(fault) = read_row(&mut snapshot, last, key, bytes) {
            faults.push(fault);
        }
    }
    Ok((snapshot, faults))
}

fn read_row(
    snapshot: &mut ConfigSnapshot,
    last: LastConfig<'_>,
    key: &str,
    bytes: &[u8],
) -> Result<(), RowError> {
    if let Some(name) = key.strip_prefix(CONTRACT_PREFIX) {
        let customer = parse_name(key, name)?;
        let known = last.snapshot.contracts.get(&customer);
        let contract = match known.filter(|_| last.has_converted(key, bytes)) {
            Some(contract) => Ok(Arc::clone(contract)),
            None => read_contract(key, bytes, &customer).map(Arc::new),
        };
        let last = last.snapshot;
        keep_last(&mut snapshot.contracts, &last.contracts, customer, contract)
    } else if let Some(name) = key.strip_prefix(KEY_PREFIX) {
        let digest = parse_name(key, name)?;
        let grant = decode::<KeyRow>(key, bytes).map(|row| KeyGrant {
            team: row.team,
            withdrawn: row.withdrawn,
        });
        keep_last(&mut snapshot.keys, &last.snapshot.keys, digest, grant)
    } else if let Some(name) = key.strip_prefix(MOVE_PREFIX) {
        let name = parse_name(key, name)?;
        let record = decode::<MoveRow>(key, bytes)
            .and_then(|row| MoveRecord::try_from(row).map_err(|e| RowError::new(key, &e)));
        keep_last(&mut snapshot.moves, &last.snapshot.moves, name, record)
    } else if let Some(name) = key.strip_prefix(DRAIN_PREFIX) {
        snapshot.drains.insert(parse_drain(key, name)?);
        Ok(())
    } else if key == HEAD_KEY {
        Ok(())
    } else {
        Err(RowError::new(key, &"no such kind of configuration row"))
    }
}

fn keep_last<K: Ord, V: Clone>(
    values: &mut BTreeMap<K, V>,
    last: &BTreeMap<K, V>,
    key: K,
    found: Result<V, RowError>,
) -> Result<(), RowError> {
    let (value, outcome) = match found {
        Ok(value) => (Some(value), Ok(())),
        Err(fault) => (last.get(&key).cloned(), Err(fault)),
    };
    if let Some(value) = value {
        values.insert(key, value);
    }
    outcome
}

fn parse_name<N>(key: &str, name: &str) -> Result<N, RowError>
where
    N: std::str::FromStr<Err: ToString>,
{
    name.parse()
        .map_err(|e: <N as std::str::FromStr>::Err| RowError::new(key, &e))
}

fn read_contract(
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
