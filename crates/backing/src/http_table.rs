//! HTTP client for the table service.

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
use crate::transport::{HttpTransport, PlatformRequest, PlatformResponse};
use crate::{
    CommitOutcome, PlatformError, RowChange, RowCondition, RowKey, TableRow, TableService,
    TableSnapshot, TableTransaction,
};

/// Maximum number of conditions, and of changes, in one transaction. This is the
/// default `max-txn-ops` of the table service, which rejects longer ones.
pub const MAX_TRANSACTION_OPERATIONS: usize = 128;

/// Maximum size of a range response: a small fraction of an instance's memory,
/// and far more than the configuration of both customers.
const MAX_RANGE_BYTES: usize = 16 * 1024 * 1024;
/// Maximum size of a transaction response, which contains no row values.
const MAX_TXN_BYTES: usize = 256 * 1024;
/// In a range, means "from the first key" as the start and "to the last key" as
/// the end.
const UNBOUNDED_KEY: &[u8] = &[0];

/// Accesses the table service through the JSON gateway of the etcd v3 API.
#[derive(Debug)]
pub struct HttpTableService {
    transport: HttpTransport,
}

impl HttpTableService {
    /// Creates a client for the gateway at `base_url`, as in
    /// `http://10.0.0.1:2379`. Each call takes at most `timeout`.
    #[must_use]
    pub fn new(base_url: impl Into<String>, timeout: Duration) -> Self {
        Self {
            transport: HttpTransport::new(base_url, timeout),
        }
    }

    async fn post<R: DeserializeOwned>(
        &self,
        path: &str,
        message: &impl Serialize,
        max_response_bytes: usize,
    ) -> Result<R, PlatformError> {
        let body = serde_json::to_vec(message)
            .map_err(|error| PlatformError::NotExecuted(format!("{path}: {error}")))?;
        let request = PlatformRequest {
            method: Method::POST,
            path: path.to_owned(),
            content_type: "application/json",
            body: Bytes::from(body),
            max_response_bytes,
        };
        let response = self.transport.call(request).await?;
        if response.status != StatusCode::OK {
            return Err(response_error(path, &response));
        }
        serde_json::from_slice(&response.body)
            .map_err(|error| PlatformError::InvalidResponse(format!("{path}: {error}")))
    }

    async fn read_range(&self, prefix: RowKey) -> Result<TableSnapshot, PlatformError> {
        let (key, range_end) = prefix_range(prefix.as_str().as_bytes());
        let message = RangeRequest {
            key: encode(&key),
            range_end: encode(&range_end),
        };
        let response: RangeResponse = self.post("/v3/kv/range", &message, MAX_RANGE_BYTES).await?;
        if response.more {
            let text = format!("rows under {prefix:?} are missing from the answer");
            return Err(PlatformError::InvalidResponse(text));
        }
        let mut snapshot = TableSnapshot {
            revision: response.header.revision,
            ..TableSnapshot::default()
        };
        for key_value in response.kvs {
            let key = String::from_utf8(key_value.key)
                .map_err(|error| PlatformError::InvalidResponse(format!("row key: {error}")))?;
            if !key.starts_with(prefix.as_str()) || key_value.mod_revision == 0 {
                let text = format!("row {key:?} does not belong to a range under {prefix:?}");
                return Err(PlatformError::InvalidResponse(text));
            }
            let row = TableRow {
                value: key_value.value,
                modified: key_value.mod_revision,
            };
            snapshot.rows.insert(RowKey::new(key), row);
        }
        Ok(snapshot)
    }

    async fn commit_transaction(&self, transaction: TableTransaction) -> CommitOutcome {
        let message = TxnRequest {
            compare: transaction.conditions.iter().map(compare).collect(),
            success: transaction.changes.into_iter().map(operation).collect(),
        };
        let response: Result<TxnResponse, _> =
            self.post("/v3/kv/txn", &message, MAX_TXN_BYTES).await;
        match response {
            Ok(response) if response.succeeded => {
                CommitOutcome::Committed(response.header.revision)
            }
            Ok(_) => CommitOutcome::Conflict,
            Err(error @ PlatformError::NotExecuted(_)) => CommitOutcome::NotApplied(error),
            Err(error) => CommitOutcome::Unknown(error),
        }
    }
}

impl TableService for HttpTableService {
    fn read(&self, prefix: RowKey) -> LocalBoxFuture<'_, Result<TableSnapshot, PlatformError>> {
        self.read_range(prefix).boxed_local()
    }

    fn commit(&self, transaction: TableTransaction) -> LocalBoxFuture<'_, CommitOutcome> {
        self.commit_transaction(transaction).boxed_local()
    }
}

fn response_error(path: &str, response: &PlatformResponse) -> PlatformError {
    let status = response.status;
    match serde_json::from_slice::<GatewayStatus>(&response.body) {
        Ok(gateway_status) => {
            let text = format!(
                "{path}: {status}, code {}: {}",
                gateway_status.code, gateway_status.message
            );
            if gateway_status.is_rejection() {
                PlatformError::NotExecuted(text)
            } else {
                PlatformError::NoResponse(text)
            }
        }
        Err(_) => PlatformError::InvalidResponse(format!("{path}: {status} without a status body")),
    }
}

/// Returns the range of all keys with a prefix: the first key, and the key after
/// the last one.
fn prefix_range(prefix: &[u8]) -> (Vec<u8>, Vec<u8>) {
    let Some(last) = prefix.iter().rposition(|byte| *byte != u8::MAX) else {
        let key = if prefix.is_empty() {
            UNBOUNDED_KEY
        } else {
            prefix
        };
        return (key.to_vec(), UNBOUNDED_KEY.to_vec());
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
