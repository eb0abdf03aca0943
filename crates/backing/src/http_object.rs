//! The client of the object store.

use std::time::Duration;

use awc::http::{Method, StatusCode};
use bytes::Bytes;
use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use percent_encoding::{AsciiSet, NON_ALPHANUMERIC, utf8_percent_encode};

use crate::transport::{HttpTransport, PlatformAnswer, PlatformRequest};
use crate::{ObjectKey, ObjectStore, PlatformError};

/// The bucket of all objects.
const BUCKET: &str = "tarragonpulley";
/// The largest answer that a contract allows; a result is one object.
const MAX_OBJECT_BYTES: usize = 64 * 1024 * 1024;
/// Error documents of the store are short.
const MAX_ERROR_BYTES: usize = 64 * 1024;
/// Characters that stay as they are in the path of an object.
const PATH_CHARACTERS: &AsciiSet = &NON_ALPHANUMERIC
    .remove(b'/')
    .remove(b'-')
    .remove(b'_')
    .remove(b'.')
    .remove(b'~');

/// The object store, reached through the path-style S3 REST API without
/// signatures. All objects are in the bucket `tarragonpulley`.
#[derive(Debug)]
pub struct HttpObjectStore {
    transport: HttpTransport,
}

impl HttpObjectStore {
    /// Creates a client of the store at `base_url`, as in
    /// `http://10.0.0.1:9000`. Each call ends within `deadline`.
    #[must_use]
    pub fn new(base_url: impl Into<String>, deadline: Duration) -> Self {
        Self {
            transport: HttpTransport::new(base_url, deadline),
        }
    }

    async fn call(
        &self,
        method: Method,
        key: &ObjectKey,
        body: Bytes,
        max_answer: usize,
    ) -> Result<PlatformAnswer, PlatformError> {
        let path = utf8_percent_encode(key.as_str(), PATH_CHARACTERS);
        let request = PlatformRequest {
            method,
            path: format!("/{BUCKET}/{path}"),
            content_type: "application/octet-stream",
            body,
            max_answer,
        };
        self.transport.call(request).await
    }
}

impl ObjectStore for HttpObjectStore {
    fn put(&self, key: ObjectKey, body: Bytes) -> LocalBoxFuture<'_, Result<(), PlatformError>> {
        async move {
            let answer = self.call(Method::PUT, &key, body, MAX_ERROR_BYTES).await?;
            match answer.status {
                StatusCode::OK => Ok(()),
                _ => Err(refusal(&key, &answer)),
            }
        }
        .boxed_local()
    }

    fn get(&self, key: ObjectKey) -> LocalBoxFuture<'_, Result<Option<Bytes>, PlatformError>> {
        async move {
            let answer = self
                .call(Method::GET, &key, Bytes::new(), MAX_OBJECT_BYTES)
                .await?;
            match answer.status {
                // Without a length, a truncated object cannot be recognised.
                StatusCode::OK if !answer.measured => Err(PlatformError::InvalidResponse(format!(
                    "object {key}: the answer has no content-length"
                ))),
                StatusCode::OK => Ok(Some(answer.body)),
                StatusCode::NOT_FOUND if !has_code(&answer, "NoSuchBucket") => Ok(None),
                _ => Err(refusal(&key, &answer)),
            }
        }
        .boxed_local()
    }

    fn delete(&self, key: ObjectKey) -> LocalBoxFuture<'_, Result<(), PlatformError>> {
        async move {
            let answer = self
                .call(Method::DELETE, &key, Bytes::new(), MAX_ERROR_BYTES)
                .await?;
            match answer.status {
                StatusCode::OK | StatusCode::NO_CONTENT => Ok(()),
                StatusCode::NOT_FOUND if !has_code(&answer, "NoSuchBucket") => Ok(()),
                _ => Err(refusal(&key, &answer)),
            }
        }
        .boxed_local()
    }
}

/// Whether the error document names this code.
fn has_code(answer: &PlatformAnswer, code: &str) -> bool {
    String::from_utf8_lossy(&answer.body).contains(&format!("<Code>{code}</Code>"))
}

fn refusal(key: &ObjectKey, answer: &PlatformAnswer) -> PlatformError {
    let status = answer.status;
    let text = format!("object {key}: {status}");
    let refused = status.is_client_error()
        || status == StatusCode::NOT_IMPLEMENTED
        || has_code(answer, "SlowDown");
    if refused {
        PlatformError::NotExecuted(text)
    } else if status.is_server_error() {
        PlatformError::NoResponse(text)
    } else {
        PlatformError::InvalidResponse(text)
    }
}
