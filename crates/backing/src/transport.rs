//! HTTP calls with a timeout. Errors state whether the request may have been
//! executed.

use std::cell::{Cell, RefCell};
use std::fmt;
use std::time::Duration;

use awc::error::{ConnectError, SendRequestError};
use awc::http::header::{CONTENT_LENGTH, CONTENT_TYPE};
use awc::http::{Method, StatusCode};
use awc::{Client, ClientBuilder, Connector};
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;
use tokio::time::timeout;

use crate::PlatformError;

/// How long idle connections stay in the pool. The platform's servers close idle
/// connections later than this, so that a request is rarely sent on a connection
/// that the server is closing.
const IDLE_TIMEOUT: Duration = Duration::from_secs(3);

/// A request to the platform.
#[derive(Debug)]
pub(crate) struct PlatformRequest {
    pub(crate) method: Method,
    /// Percent-encoded path relative to the base URL, starting with `/`.
    pub(crate) path: String,
    pub(crate) content_type: &'static str,
    pub(crate) body: Bytes,
    /// Maximum size of the response body in bytes.
    pub(crate) max_response_bytes: usize,
}

/// A complete response.
#[derive(Debug)]
pub(crate) struct PlatformResponse {
    pub(crate) status: StatusCode,
    pub(crate) body: Bytes,
    /// Whether the response had a content-length, which the body then matches.
    pub(crate) length_verified: bool,
}

/// An HTTP client for one base URL.
pub(crate) struct HttpTransport {
    base_url: String,
    timeout: Duration,
    client: RefCell<Client>,
    generation: Cell<u64>,
}

impl fmt::Debug for HttpTransport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("HttpTransport")
            .field("base_url", &self.base_url)
            .field("deadline", &self.timeout)
            .finish_non_exhaustive()
    }
}

impl HttpTransport {
    pub(crate) fn new(base_url: impl Into<String>, timeout: Duration) -> Self {
        Self {
            base_url: base_url.into().trim_end_matches('/').to_owned(),
            timeout,
            client: RefCell::new(new_client(timeout)),
            generation: Cell::new(0),
        }
    }

    /// Sends a request without retries and reads the whole response. Takes at
    /// most the timeout of this client.
    pub(crate) async fn call(
        &self,
        request: PlatformRequest,
    ) -> Result<PlatformResponse, PlatformError> {
        let generation = self.generation.get();
        let client = self.client.borrow().clone();
        match timeout(self.timeout, self.exchange(&client, request)).await {
            Ok(result) => result,
            Err(_elapsed) => {
                self.replace_client(generation);
                let millis = self.timeout.as_millis();
                Err(PlatformError::NoResponse(format!(
                    "{}: no whole answer within {millis} ms",
                    self.base_url
                )))
            }
        }
    }

    /// Replaces a client after a timeout, because the other idle connections in
    /// its pool may be unresponsive too. Calls in progress on the old client are
    /// not interrupted. The generation prevents several calls that time out on
    /// the same client from replacing it more than once.
    fn replace_client(&self, generation: u64) {
        if self.generation.get() == generation {
            self.generation.set(generation + 1);
            self.client.replace(new_client(self.timeout));
        }
    }

    async fn exchange(
        &self,
        client: &Client,
        request: PlatformRequest,
    ) -> Result<PlatformResponse, PlatformError> {
        let url = format!("{}{}", self.base_url, request.path);
        let builder = client.request(request.method, &url);
        let sent_request = if request.body.is_empty() {
            builder.send()
        } else {
            builder
                .insert_header((CONTENT_TYPE, request.content_type))
                .send_body(request.body)
        };
        let mut response = sent_request
            .await
            .map_err(|error| classify_send_error(&url, &error))?;
        let status = response.status();
        let content_length: Option<usize> = response
            .headers()
            .get(CONTENT_LENGTH)
            .and_then(|value| value.to_str().ok())
            .and_then(|text| text.parse().ok());
        let mut body = BytesMut::new();
        while let Some(chunk) = response.next().await {
            let chunk = chunk
                .map_err(|error| PlatformError::NoResponse(format!("{url}: body: {error}")))?;
            if body.len() + chunk.len() > request.max_response_bytes {
                return Err(PlatformError::InvalidResponse(format!(
                    "{url}: the body is longer than {} bytes",
                    request.max_response_bytes
                )));
            }
            body.extend_from_slice(&chunk);
        }
        // awc ends the stream without an error if the connection closes in the
        // middle of a body, so the length is checked here.
        if let Some(length) = content_length.filter(|length| *length != body.len()) {
            return Err(PlatformError::NoResponse(format!(
                "{url}: the body ended after {} of {length} bytes",
                body.len()
            )));
        }
        Ok(PlatformResponse {
            status,
            body: body.freeze(),
            length_verified: content_length.is_some(),
        })
    }
}

fn new_client(timeout: Duration) -> Client {
    // The connect timeout is half of the call timeout. If connecting fails, the
    // request was certainly not sent; if the call timeout expired while
    // connecting, it could not be distinguished from a request that was sent.
    let connector = Connector::new()
        .timeout(timeout / 2)
        .conn_keep_alive(IDLE_TIMEOUT);
    ClientBuilder::new()
        .connector(connector)
        .disable_timeout()
        .disable_redirects()
        .finish()
}

/// Maps an error to [`PlatformError`] by whether any byte of the request may have
/// been sent.
fn classify_send_error(url: &str, error: &SendRequestError) -> PlatformError {
    let text = format!("{url}: {error}");
    match error {
        // awc also reports a connection that closed before the response as a
        // connect error, although the request was already sent.
        SendRequestError::Connect(ConnectError::Disconnected | ConnectError::H2(_)) => {
            PlatformError::NoResponse(text)
        }
        SendRequestError::Connect(_) | SendRequestError::Url(_) => PlatformError::NotExecuted(text),
        SendRequestError::Response(_) => PlatformError::InvalidResponse(text),
        _ => PlatformError::NoResponse(text),
    }
}
