//! An in-memory table with the interface of the JSON gateway of the etcd v3
//! API, as far as the workspace uses it.

use std::collections::{BTreeMap, BTreeSet};

use actix_http::StatusCode;
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

/// The default of etcd's `max-txn-ops`.
const MAX_OPERATIONS: usize = 128;
/// The default of etcd's `max-request-bytes`.
pub(crate) const MAX_REQUEST_BYTES: usize = 1536 * 1024;

const INVALID_ARGUMENT: u32 = 3;
const UNIMPLEMENTED: u32 = 12;
const UNAVAILABLE: u32 = 14;

/// Error response to a rejected request; nothing was applied.
#[derive(Debug, Serialize)]
pub(crate) struct TableError {
    error: String,
    code: u32,
    message: String,
}

impl TableError {
    pub(crate) fn invalid(message: impl Into<String>) -> Self {
        Self::new(INVALID_ARGUMENT, message)
    }

    pub(crate) fn no_leader() -> Self {
        Self::new(UNAVAILABLE, "etcdserver: no leader")
    }

    fn new(code: u32, message: impl Into<String>) -> Self {
        let message = message.into();
        Self {
            error: message.clone(),
            code,
            message,
        }
    }

    pub(crate) fn status(&self) -> StatusCode {
        match self.code {
            INVALID_ARGUMENT => StatusCode::BAD_REQUEST,
            UNIMPLEMENTED => StatusCode::NOT_IMPLEMENTED,
            _ => StatusCode::SERVICE_UNAVAILABLE,
        }
    }
}

type TableResult = Result<Value, TableError>;

#[derive(Debug, Clone)]
struct StoredRow {
    value: Vec<u8>,
    created: u64,
    modified: u64,
    version: u64,
}

#[derive(Debug, Deserialize)]
struct RangeMessage {
    key: String,
    #[serde(default)]
    range_end: String,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct TxnMessage {
    #[serde(default)]
    compare: Vec<CompareMessage>,
    #[serde(default)]
    success: Vec<OperationMessage>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct CompareMessage {
    key: String,
    target: String,
    result: String,
    create_revision: Option<String>,
    mod_revision: Option<String>,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "snake_case")]
enum OperationMessage {
    RequestPut { key: String, value: String },
    RequestDeleteRange { key: String },
}

#[derive(Debug)]
enum Operation {
    Put(Vec<u8>, Vec<u8>),
    Delete(Vec<u8>),
}

/// The table, with one revision counter for all rows.
#[derive(Debug)]
pub(crate) struct MemoryTable {
    rows: BTreeMap<Vec<u8>, StoredRow>,
    revision: u64,
}

impl MemoryTable {
    pub(crate) const fn new() -> Self {
        Self {
            rows: BTreeMap::new(),
            // The first revision of an empty etcd.
            revision: 1,
        }
    }

    pub(crate) const fn revision(&self) -> u64 {
        self.revision
    }

    fn header(&self) -> Value {
        json!({
            "cluster_id": "1", "member_id": "1", "raft_term": "2",
            "revision": self.revision.to_string(),
        })
    }

    pub(crate) fn range(&self, body: &[u8]) -> TableResult {
        let message: RangeMessage = parse(body)?;
        let key = decode(&message.key)?;
        if key.is_empty() {
            return Err(TableError::invalid("etcdserver: key is not provided"));
        }
        let end = decode(&message.range_end)?;
        let in_range = |row: &[u8]| match end.as_slice() {
            [] => row == key,
            [0] => row >= key.as_slice(),
            end => row >= key.as_slice() && row < end,
        };
        let pairs: Vec<Value> = self
            .rows
            .range(key.clone()..)
            .filter(|(row, _)| in_range(row))
            .map(|(row, stored)| {
                json!({
                    "key": STANDARD.encode(row),
                    "value": STANDARD.encode(&stored.value),
                    "create_revision": stored.created.to_string(),
                    "mod_revision": stored.modified.to_string(),
                    "version": stored.version.to_string(),
                })
            })
            .collect();
        let mut response = json!({"header": self.header()});
        // The gateway omits fields that have their default value.
        if !pairs.is_empty() {
            response["count"] = json!(pairs.len().to_string());
            response["kvs"] = json!(pairs);
        }
        Ok(response)
    }

    pub(crate) fn transact(&mut self, body: &[u8]) -> TableResult {
        let message: TxnMessage = parse(body)?;
        if message.compare.len().max(message.success.len()) > MAX_OPERATIONS {
            let text = "etcdserver: too many operations in txn request";
            return Err(TableError::invalid(text));
        }
        let operations = message
            .success
            .into_iter()
            .map(decode_operation)
            .collect::<Result<Vec<_>, _>>()?;
        reject_duplicate_keys(&operations)?;
        for compare in &message.compare {
            if !self.compare_holds(compare)? {
                return Ok(json!({"header": self.header()}));
            }
        }
        self.apply(operations);
        Ok(json!({"header": self.header(), "succeeded": true}))
    }

    fn compare_holds(&self, compare: &CompareMessage) -> Result<bool, TableError> {
        let row = self.rows.get(&decode(&compare.key)?);
        let (found, expected) = match compare.target.as_str() {
            "CREATE" => (row.map(|r| r.created), &compare.create_revision),
            "MOD" => (row.map(|r| r.modified), &compare.mod_revision),
            other => return Err(unsupported(other)),
        };
        if compare.result != "EQUAL" {
            return Err(unsupported(&compare.result));
        }
        let expected: u64 = expected
            .as_deref()
            .unwrap_or("0")
            .parse()
            .map_err(|error| TableError::invalid(format!("{error}")))?;
        Ok(found.unwrap_or(0) == expected)
    }

    fn apply(&mut self, operations: Vec<Operation>) {
        let next_revision = self.revision + 1;
        for operation in operations {
            match operation {
                Operation::Put(key, value) => {
                    let row = self.rows.entry(key).or_insert(StoredRow {
                        value: Vec::new(),
                        created: next_revision,
                        modified: next_revision,
                        version: 0,
                    });
                    row.value = value;
                    row.modified = next_revision;
                    row.version += 1;
                    self.revision = next_revision;
                }
                Operation::Delete(key) => {
                    if self.rows.remove(&key).is_some() {
                        self.revision = next_revision;
                    }
                }
            }
        }
    }
}

fn parse<'de, T: Deserialize<'de>>(body: &'de [u8]) -> Result<T, TableError> {
    serde_json::from_slice(body).map_err(|error| TableError::invalid(error.to_string()))
}

fn decode(text: &str) -> Result<Vec<u8>, TableError> {
    STANDARD
        .decode(text)
        .map_err(|error| TableError::invalid(error.to_string()))
}

fn decode_operation(message: OperationMessage) -> Result<Operation, TableError> {
    Ok(match message {
        OperationMessage::RequestPut { key, value } => {
            Operation::Put(decode(&key)?, decode(&value)?)
        }
        OperationMessage::RequestDeleteRange { key } => Operation::Delete(decode(&key)?),
    })
}

/// etcd rejects a transaction that writes a key twice.
fn reject_duplicate_keys(operations: &[Operation]) -> Result<(), TableError> {
    let mut seen = BTreeSet::new();
    for operation in operations {
        let (Operation::Put(key, _) | Operation::Delete(key)) = operation;
        if !seen.insert(key) {
            let text = "etcdserver: duplicate key given in txn request";
            return Err(TableError::invalid(text));
        }
    }
    Ok(())
}

fn unsupported(what: &str) -> TableError {
    TableError::new(
        UNIMPLEMENTED,
        format!("the stand-in doesn't support {what}"),
    )
}
