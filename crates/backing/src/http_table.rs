//! The client of the table service.

use std::time::Duration;

use awc::http::{Method, StatusCode};
use bytes::Bytes;
use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::gateway::{
    Compare, CompareTarget, GatewayStatus, RangeRequest, RangeResponse, RequestOp, TxnRequest,
    TxnResponse, encode,
};
use crate::transport::{HttpTransport, PlatformAnswer, PlatformRequest};
use crate::{
    CommitOutcome, PlatformError, RowChange, RowCondition, RowKey, TableRow, TableService,
    TableSnapshot, TableTransaction,
};

/// Most conditions, and most changes, of one transaction: the default
/// `max-txn-ops` of the table service, which refuses longer ones.
pub const MAX_TRANSACTION_OPERATIONS: usize = 128;

/// A small part of an instance's memory, and far above the configuration of
/// both customers.
const MAX_RANGE_BYTES: usize = 16 * 1024 * 1024;
/// Answers to transactions carry no values.
const MAX_TXN_BYTES: usize = 256 * 1024;
/// Stands for "from the first key" and "to the last key" in a range.
const OPEN_END: &[u8] = &[0];

/// The table service, reached through the JSON gateway of the etcd v3 API.
#[derive(Debug)]
pub struct HttpTableService {
    transport: HttpTransport,
}

impl HttpTableService {
    /// Creates a client of the gateway at `base_url`, as in
    /// `http://10.0.0.1:2379`. Each call ends within `deadline`.
    #[must_use]
    pub fn new(base_url: impl Into<String>, deadline: Duration) -> Self {
        Self {
            transport: HttpTransport::new(base_url, deadline),
        }
    }

    async fn post<A: DeserializeOwned>(
        &self,
        path: &str,
        message: &impl Serialize,
        max_answer: usize,
    ) -> Result<A, PlatformError> {
        let body = serde_json::to_vec(message)
            .map_err(|error| PlatformError::NotExecuted(format!("{path}: {error}")))?;
        let request = PlatformRequest {
            method: Method::POST,
            path: path.to_owned(),
            content_type: "application/json",
            body: Bytes::from(body),
            max_answer,
        };
        let answer = self.transport.call(request).await?;
        if answer.status != StatusCode::OK {
            return Err(refusal(path, &answer));
        }
        serde_json::from_slice(&answer.body)
            .map_err(|error| PlatformError::InvalidResponse(format!("{path}: {error}")))
    }

    async fn range(&self, prefix: RowKey) -> Result<TableSnapshot, PlatformError> {
        let (key, range_end) = prefix_range(prefix.as_str().as_bytes());
        let message = RangeRequest {
            key: encode(&key),
            range_end: encode(&range_end),
        };
        let answer: RangeResponse = self.post("/v3/kv/range", &message, MAX_RANGE_BYTES).await?;
        if answer.more {
            let text = format!("rows under {prefix:?} are missing from the answer");
            return Err(PlatformError::InvalidResponse(text));
        }
        let mut snapshot = TableSnapshot {
            revision: answer.header.revision,
            ..TableSnapshot::default()
        };
        for pair in answer.kvs {
            let key = String::from_utf8(pair.key)
                .map_err(|error| PlatformError::InvalidResponse(format!("row key: {error}")))?;
            if !key.starts_with(prefix.as_str()) || pair.mod_revision == 0 {
                let text = format!("row {key:?} does not belong to a range under {prefix:?}");
                return Err(PlatformError::InvalidResponse(text));
            }
            let row = TableRow {
                value: pair.value,
                modified: pair.mod_revision,
            };
            snapshot.rows.insert(RowKey::new(key), row);
        }
        Ok(snapshot)
    }

    async fn transact(&self, transaction: TableTransaction) -> CommitOutcome {
        let message = TxnRequest {
            compare: transaction.conditions.iter().map(compare).collect(),
            success: transaction.changes.into_iter().map(operation).collect(),
        };
        let answer: Result<TxnResponse, _> = self.post("/v3/kv/txn", &message, MAX_TXN_BYTES).await;
        match answer {
            Ok(answer) if answer.succeeded => CommitOutcome::Committed(answer.header.revision),
            Ok(_) => CommitOutcome::Conflict,
            Err(error @ PlatformError::NotExecuted(_)) => CommitOutcome::NotApplied(error),
            Err(error) => CommitOutcome::Unknown(error),
        }
    }
}

impl TableService for HttpTableService {
    fn read(&self, prefix: RowKey) -> LocalBoxFuture<'_, Result<TableSnapshot, PlatformError>> {
        self.range(prefix).boxed_local()
    }

    fn commit(&self, transaction: TableTransaction) -> LocalBoxFuture<'_, CommitOutcome> {
        self.transact(transaction).boxed_local()
    }
}

fn refusal(path: &str, answer: &PlatformAnswer) -> PlatformError {
    let status = answer.status;
    match serde_json::from_slice::<GatewayStatus>(&answer.body) {
        Ok(reply) => {
            let text = format!("{path}: {status}, code {}: {}", reply.code, reply.message);
            if reply.is_refusal() {
                PlatformError::NotExecuted(text)
            } else {
                PlatformError::NoResponse(text)
            }
        }
        Err(_) => PlatformError::InvalidResponse(format!("{path}: {status} without a status body")),
    }
}

/// The first key of a prefix and the key after its last one.
fn prefix_range(prefix: &[u8]) -> (Vec<u8>, Vec<u8>) {
    let Some(last) = prefix.iter().rposition(|byte| *byte != u8::MAX) else {
        let key = if prefix.is_empty() { OPEN_END } else { prefix };
        return (key.to_vec(), OPEN_END.to_vec());
    };
    let mut end = prefix[..=last].to_vec();
    end[last] += 1;
    (prefix.to_vec(), end)
}

fn compare(condition: &RowCondition) -> Compare {
    let (key, target) = match condition {
        RowCondition::Absent(key) => (
            key,
            CompareTarget::Create {
                create_revision: "0".to_owned(),
            },
        ),
        RowCondition::Unchanged(key, revision) => (
            key,
            CompareTarget::Mod {
                mod_revision: revision.to_string(),
            },
        ),
    };
    Compare {
        key: encode(key.as_str().as_bytes()),
        result: "EQUAL",
        target,
    }
}

fn operation(change: RowChange) -> RequestOp {
    match change {
        RowChange::Put(key, value) => RequestOp::RequestPut {
            key: encode(key.as_str().as_bytes()),
            value: encode(&value),
        },
        RowChange::Delete(key) => RequestOp::RequestDeleteRange {
            key: encode(key.as_str().as_bytes()),
        },
    }
}
