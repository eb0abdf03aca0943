//! HTTP client for the object store.

use std::time::Duration;

use awc::http::{Method, StatusCode};
use bytes::Bytes;
use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use percent_encoding::{AsciiSet, NON_ALPHANUMERIC, utf8_percent_encode};

use crate::transport::{HttpTransport, PlatformRequest, PlatformResponse};
use crate::{ObjectKey, ObjectStore, PlatformError};

/// The bucket that contains all objects.
const BUCKET: &str = "tarragonpulley";
/// The maximum response size that a contract can allow, because the result of
/// a job is stored as one object.
const MAX_OBJECT_BYTES: usize = 64 * 1024 * 1024;
/// Maximum size of a response without an object. Error documents are short.
const MAX_ERROR_BYTES: usize = 64 * 1024;
/// Characters that are percent-encoded in the path of an object.
const PATH_ENCODE_SET: &AsciiSet = &NON_ALPHANUMERIC
    .remove(b'/')
    .remove(b'-')
    .remove(b'_')
    .remove(b'.')
    .remove(b'~');

/// Accesses the object store through the path-style S3 REST API, without request
/// signatures. All objects are in the bucket `tarragonpulley`.
#[derive(Debug)]
pub struct HttpObjectStore {
    transport: HttpTransport,
}

impl HttpObjectStore {
    /// Creates a client for the store at `base_url`, as in
    /// `http://10.0.0.1:9000`. Each call takes at most `timeout`.
    #[must_use]
    pub fn new(base_url: impl Into<String>, timeout: Duration) -> Self {
        Self {
            transport: HttpTransport::new(base_url, timeout),
        }
    }

    async fn call(
        &self,
        method: Method,
        key: &ObjectKey,
        body: Bytes,
        max_response_bytes: usize,
    ) -> Result<PlatformResponse, PlatformError> {
        let path = utf8_percent_encode(key.as_str(), PATH_ENCODE_SET);
        let request = PlatformRequest {
            method,
            path: format!("/{BUCKET}/{path}"),
            content_type: "application/octet-stream",
            body,
            max_response_bytes,
        };
        self.transport.call(request).await
    }
}

impl ObjectStore for HttpObjectStore {
    fn put(&self, key: ObjectKey, body: Bytes) -> LocalBoxFuture<'_, Result<(), PlatformError>> {
        async move {
            let response = self.call(Method::PUT, &key, body, MAX_ERROR_BYTES).await?;
            match response.status {
                StatusCode::OK => Ok(()),
                _ => Err(response_error(&key, &response)),
            }
        }
        .boxed_local()
    }

    fn get(&self, key: ObjectKey) -> LocalBoxFuture<'_, Result<Option<Bytes>, PlatformError>> {
        async move {
            let response = self
                .call(Method::GET, &key, Bytes::new(), MAX_OBJECT_BYTES)
                .await?;
            match response.status {
                // Without a content-length, a truncated object cannot be detected.
                StatusCode::OK if !response.length_verified => Err(PlatformError::InvalidResponse(
                    format!("object {key}: the answer has no content-length"),
                )),
                StatusCode::OK => Ok(Some(response.body)),
                StatusCode::NOT_FOUND if !has_code(&response, "NoSuchBucket") => Ok(None),
                _ => Err(response_error(&key, &response)),
            }
        }
        .boxed_local()
    }

    fn delete(&self, key: ObjectKey) -> LocalBoxFuture<'_, Result<(), PlatformError>> {
        async move {
            let response = self
                .call(Method::DELETE, &key, Bytes::new(), MAX_ERROR_BYTES)
                .await?;
            match response.status {
                StatusCode::OK | StatusCode::NO_CONTENT => Ok(()),
                StatusCode::NOT_FOUND if !has_code(&response, "NoSuchBucket") => Ok(()),
                _ => Err(response_error(&key, &response)),
            }
        }
        .boxed_local()
    }
}

/// Whether the response is an error document with this error code.
fn has_code(response: &PlatformResponse, code: &str) -> bool {
    String::from_utf8_lossy(&response.body).contains(&format!("<Code>{code}</Code>"))
}

fn response_error(key: &ObjectKey, response: &PlatformResponse) -> PlatformError {
    let status = response.status;
    let text = format!("object {key}: {status}");
    let not_executed = status.is_client_error()
        || status == StatusCode::NOT_IMPLEMENTED
        || has_code(response, "SlowDown");
    if not_executed {
        PlatformError::NotExecuted(text)
    } else if status.is_server_error() {
        PlatformError::NoResponse(text)
    } else {
        PlatformError::InvalidResponse(text)
    }
}
