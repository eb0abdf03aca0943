//! The row `rights/generation`.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use tarragonpulley_policy::ids::{IncarnationId, LimitKey};
use tarragonpulley_policy::rights::{GenerationRecord, ReclaimRecord};

use super::{GENERATION_KEY, RowError, decode, encode};

/// Value of the row `rights/generation`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GenerationRow {
    /// Increases with each generation.
    pub number: u64,
    /// The incarnation that initially holds all shares.
    pub first_holder: IncarnationId,
    /// The reclaims of this generation, in commit order.
    #[serde(default)]
    pub reclaims: Vec<ReclaimRow>,
}

/// A reclaim of the shares of failed incarnations.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReclaimRow {
    /// All failed incarnations of the generation so far.
    pub dead: BTreeSet<IncarnationId>,
    /// The incarnation that receives their shares.
    pub recipient: IncarnationId,
    /// Reclaimed shares by limit.
    pub amounts: BTreeMap<String, u64>,
    /// Whether the recipient also receives the shares of every limit that is not
    /// listed.
    pub takes_unlisted: bool,
}

impl From<&GenerationRecord> for GenerationRow {
    fn from(record: &GenerationRecord) -> Self {
        let reclaim = |reclaim: &ReclaimRecord| ReclaimRow {
            dead: reclaim.dead.clone(),
            recipient: reclaim.recipient.clone(),
            amounts: reclaim
                .amounts
                .iter()
                .map(|(limit, shares)| (limit.to_string(), *shares))
                .collect(),
            takes_unlisted: reclaim.takes_unlisted,
        };
        Self {
            number: record.number,
            first_holder: record.first_holder.clone(),
            reclaims: record.reclaims.iter().map(reclaim).collect(),
        }
    }
}

impl TryFrom<ReclaimRow> for ReclaimRecord {
    type Error = RowError;

    fn try_from(row: ReclaimRow) -> Result<Self, RowError> {
        let amount = |(limit, shares): (String, u64)| {
            let limit: Result<LimitKey, _> = limit.parse();
            let limit = limit.map_err(|e| RowError::new(GENERATION_KEY, &e))?;
            Ok((limit, shares))
        };
        Ok(Self {
            dead: row.dead,
            recipient: row.recipient,
            amounts: row
                .amounts
                .into_iter()
                .map(amount)
                .collect::<Result<_, _>>()?,
            takes_unlisted: row.takes_unlisted,
        })
    }
}

/// Encodes a record as the value of its row.
#[must_use]
pub fn encode_generation(record: &GenerationRecord) -> Vec<u8> {
    encode(&GenerationRow::from(record))
}

/// Decodes the value of the row.
///
/// # Errors
///
/// [`RowError`] if the row is invalid.
pub fn decode_generation(bytes: &[u8]) -> Result<GenerationRecord, RowError> {
    let row: GenerationRow = decode(GENERATION_KEY, bytes)?;
    let reclaims = row.reclaims.into_iter().map(TryInto::try_into);
    Ok(GenerationRecord {
        number: row.number,
        first_holder: row.first_holder,
        reclaims: reclaims.collect::<Result<_, _>>()?,
    })
}
