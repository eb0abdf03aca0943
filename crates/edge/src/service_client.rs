//! An HTTP client for one service of the platform, with a connection pool.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;

use crate::http::budget::BufferBudget;
use crate::http::client::{ExchangeError, ExchangeProgress, RequestBytes, ServerConnection};
use crate::http::framing::ResponseHead;
use crate::http::message::HeaderLookup;

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// The maximum number of idle connections: one for each table that is followed,
/// and one for writes.
const MAX_IDLE_CONNECTIONS: usize = 5;

/// The memory for responses. The service sends at most a megabyte a call.
const RESPONSE_MEMORY_BYTES: usize = 8 * 1024 * 1024;

/// Why a call got no response.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum CallError {
    /// The timeout of the call passed.
    #[error("no response within {0:?}")]
    Timeout(Duration),
    /// The connection failed, or the response is malformed.
    #[error("{0}")]
    Connection(String),
}

/// A complete response of the service.
#[derive(Debug)]
pub struct ServiceResponse {
    /// The HTTP status.
    pub status: u16,
    /// The whole body.
    pub body: Bytes,
    head: ResponseHead,
}

impl ServiceResponse {
    /// The value of a header field, if it is text.
    #[must_use]
    pub fn field(&self, name: &str) -> Option<&str> {
        self.head.text(name)
    }
}

/// Calls a service at one address.
#[derive(Debug)]
pub struct ServiceClient {
    address: SocketAddr,
    idle: RefCell<Vec<ServerConnection>>,
    budget: Rc<BufferBudget>,
}

impl ServiceClient {
    /// Creates a client without opening a connection.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            idle: RefCell::default(),
            budget: BufferBudget::new(RESPONSE_MEMORY_BYTES),
        }
    }

    /// Makes one call and waits up to `timeout` for the response.
    ///
    /// # Errors
    ///
    /// If there is no complete response; the call may have been performed.
    pub async fn call(
        &self,
        method: &str,
        target: &str,
        body: Option<&[u8]>,
        timeout: Duration,
    ) -> Result<ServiceResponse, CallError> {
        self.call_with_fields(method, target, &[], body, timeout)
            .await
    }

    /// Makes one call with additional header fields, as [`Self::call`] does.
    ///
    /// # Errors
    ///
    /// If there is no complete response; the call may have been performed.
    pub async fn call_with_fields(
        &self,
        method: &str,
        target: &str,
        fields: &[(&str, &str)],
        body: Option<&[u8]>,
        timeout: Duration,
    ) -> Result<ServiceResponse, CallError> {
        let exchange = self.exchange(method, target, fields, body);
        match tokio::time::timeout(timeout, exchange).await {
            Ok(result) => result.map_err(|error| CallError::Connection(error.to_string())),
            Err(_elapsed) => {
                // The other connections may have failed as well.
                self.idle.borrow_mut().clear();
                Err(CallError::Timeout(timeout))
            }
        }
    }

    async fn exchange(
        &self,
        method: &str,
        target: &str,
        fields: &[(&str, &str)],
        body: Option<&[u8]>,
    ) -> Result<ServiceResponse, ExchangeError> {
        let more_fields = fields.iter().fold(String::new(), |text, (name, value)| {
            text + name + ": " + value + "\r\n"
        });
        let body_fields = body.map_or_else(String::new, |body| {
            format!(
                "Content-Type: application/json\r\nContent-Length: {}\r\n",
                body.len()
            )
        });
        let head = format!(
            "{method} {target} HTTP/1.1\r\nHost: {}\r\n{more_fields}{body_fields}\r\n",
            self.address
        );
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(body.unwrap_or_default());
        let mut connection = match self.take_idle() {
            Some(connection) => connection,
            None => ServerConnection::open(self.address, CONNECT_TIMEOUT).await?,
        };
        let response = connection
            .exchange(
                method,
                RequestBytes {
                    head: &bytes,
                    body: &[],
                },
                None,
                &ExchangeProgress::default(),
                &self.budget,
            )
            .await?;
        let mut idle = self.idle.borrow_mut();
        if idle.len() < MAX_IDLE_CONNECTIONS && connection.is_usable(Duration::MAX) {
            idle.push(connection);
        }
        Ok(ServiceResponse {
            status: response.head.status,
            body: response.body,
            head: response.head,
        })
    }

    fn take_idle(&self) -> Option<ServerConnection> {
        let mut idle = self.idle.borrow_mut();
        while let Some(connection) = idle.pop() {
            if connection.is_usable(Duration::MAX) {
                return Some(connection);
            }
        }
        None
    }
}
