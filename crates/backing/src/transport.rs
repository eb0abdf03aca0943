//! One HTTP call with a deadline, and what its failure says about the request.

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

/// An idle connection is kept this long. The platform's servers close theirs
/// later, so that a request seldom meets a connection that is being closed.
const IDLE_LIFETIME: Duration = Duration::from_secs(3);

/// A request to the platform.
#[derive(Debug)]
pub(crate) struct PlatformRequest {
    pub(crate) method: Method,
    /// Path below the base URL, starting with `/`, percent-encoded.
    pub(crate) path: String,
    pub(crate) content_type: &'static str,
    pub(crate) body: Bytes,
    /// Largest answer body in bytes.
    pub(crate) max_answer: usize,
}

/// A whole answer.
#[derive(Debug)]
pub(crate) struct PlatformAnswer {
    pub(crate) status: StatusCode,
    pub(crate) body: Bytes,
    /// Whether the body was seen to have its announced length.
    pub(crate) measured: bool,
}

/// Sends requests to one base URL.
pub(crate) struct HttpTransport {
    base_url: String,
    deadline: Duration,
    client: RefCell<Client>,
    generation: Cell<u64>,
}

impl fmt::Debug for HttpTransport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("HttpTransport")
            .field("base_url", &self.base_url)
            .field("deadline", &self.deadline)
            .finish_non_exhaustive()
    }
}

impl HttpTransport {
    pub(crate) fn new(base_url: impl Into<String>, deadline: Duration) -> Self {
        Self {
            base_url: base_url.into().trim_end_matches('/').to_owned(),
            deadline,
            client: RefCell::new(new_client(deadline)),
            generation: Cell::new(0),
        }
    }

    /// Sends one request, once, and reads the whole answer. Ends within the
    /// deadline.
    pub(crate) async fn call(
        &self,
        request: PlatformRequest,
    ) -> Result<PlatformAnswer, PlatformError> {
        let generation = self.generation.get();
        let client = self.client.borrow().clone();
        match timeout(self.deadline, self.exchange(&client, request)).await {
            Ok(result) => result,
            Err(_elapsed) => {
                self.replace_client(generation);
                let millis = self.deadline.as_millis();
                Err(PlatformError::NoResponse(format!(
                    "{}: no whole answer within {millis} ms",
                    self.base_url
                )))
            }
        }
    }

    /// Drops the pool of a client that timed out, because its other idle
    /// connections may be silent too. Calls that still use it are not cut.
    fn replace_client(&self, generation: u64) {
        if self.generation.get() == generation {
            self.generation.set(generation + 1);
            self.client.replace(new_client(self.deadline));
        }
    }

    async fn exchange(
        &self,
        client: &Client,
        request: PlatformRequest,
    ) -> Result<PlatformAnswer, PlatformError> {
        let url = format!("{}{}", self.base_url, request.path);
        let sending = client.request(request.method, &url);
        let sending = if request.body.is_empty() {
            sending.send()
        } else {
            sending
                .insert_header((CONTENT_TYPE, request.content_type))
                .send_body(request.body)
        };
        let mut answer = sending.await.map_err(|error| classify(&url, &error))?;
        let status = answer.status();
        let announced: Option<usize> = answer
            .headers()
            .get(CONTENT_LENGTH)
            .and_then(|value| value.to_str().ok())
            .and_then(|text| text.parse().ok());
        let mut body = BytesMut::new();
        while let Some(chunk) = answer.next().await {
            let chunk = chunk
                .map_err(|error| PlatformError::NoResponse(format!("{url}: body: {error}")))?;
            if body.len() + chunk.len() > request.max_answer {
                return Err(PlatformError::InvalidResponse(format!(
                    "{url}: the body is longer than {} bytes",
                    request.max_answer
                )));
            }
            body.extend_from_slice(&chunk);
        }
        // awc ends the stream without an error when the connection closes in
        // the middle of a body, so the length is compared here.
        if let Some(length) = announced.filter(|length| *length != body.len()) {
            return Err(PlatformError::NoResponse(format!(
                "{url}: the body ended after {} of {length} bytes",
                body.len()
            )));
        }
        Ok(PlatformAnswer {
            status,
            body: body.freeze(),
            measured: announced.is_some(),
        })
    }
}

fn new_client(deadline: Duration) -> Client {
    // A connect attempt gets half of the deadline: one that fails by then was
    // certainly not sent, while one cut off by the deadline itself cannot be
    // told from a request that was.
    let connector = Connector::new()
        .timeout(deadline / 2)
        .conn_keep_alive(IDLE_LIFETIME);
    ClientBuilder::new()
        .connector(connector)
        .disable_timeout()
        .disable_redirects()
        .finish()
}

/// Tells whether any byte of the request may have left.
fn classify(url: &str, error: &SendRequestError) -> PlatformError {
    let text = format!("{url}: {error}");
    match error {
        // awc reports a connection that closed before the answer as a connect
        // error too; by then the request was sent.
        SendRequestError::Connect(ConnectError::Disconnected | ConnectError::H2(_)) => {
            PlatformError::NoResponse(text)
        }
        SendRequestError::Connect(_) | SendRequestError::Url(_) => PlatformError::NotExecuted(text),
        SendRequestError::Response(_) => PlatformError::InvalidResponse(text),
        _ => PlatformError::NoResponse(text),
    }
}
