//! Client connections that carry one request at a time and read whole
//! responses.

use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use super::framing::{BodyReader, FramingError, ResponseHead, response_length, take_response_head};
use super::message::HeaderLookup;

/// The maximum size of a response head.
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// The maximum size of a response body, an eighth of the smallest instance's
/// memory. Responses are buffered until they are complete.
const MAX_BODY_BYTES: usize = 20 * 1024 * 1024;

/// How long an idle connection is used if the server does not send a timeout.
const DEFAULT_KEEP_ALIVE: Duration = Duration::from_secs(4);

/// The fraction of the server's idle timeout after which a connection is not
/// reused, so that no request is sent while the server closes it.
const KEEP_ALIVE_FRACTION: f64 = 0.6;

/// Why an exchange got no response.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ExchangeError {
    #[error("the connection failed: {0}")]
    Broken(#[from] io::Error),
    #[error("the connection was closed before the response was complete")]
    Closed,
    #[error("malformed response: {0}")]
    Framing(#[from] FramingError),
}

/// A complete response.
#[derive(Debug)]
pub(crate) struct ServerResponse {
    pub(crate) head: ResponseHead,
    pub(crate) body: Bytes,
}

/// The progress of an exchange, which remains readable after the exchange was
/// cancelled.
#[derive(Debug, Default)]
pub(crate) struct ExchangeProgress {
    /// At least one byte of the request was sent.
    pub(crate) sent: Cell<bool>,
    /// At least one byte of a response was received.
    pub(crate) received: Cell<bool>,
}

/// An open connection to a server.
#[derive(Debug)]
pub(crate) struct ServerConnection {
    stream: TcpStream,
    buffer: BytesMut,
    idle_since: Instant,
    keep_alive: Duration,
    reusable: bool,
}

impl ServerConnection {
    /// Opens a connection.
    pub(crate) async fn open(address: SocketAddr, timeout: Duration) -> io::Result<Self> {
        let connect = tokio::time::timeout(timeout, TcpStream::connect(address));
        let stream = connect
            .await
            .map_err(|_elapsed| io::Error::from(io::ErrorKind::TimedOut))??;
        stream.set_nodelay(true)?;
        Ok(Self {
            stream,
            buffer: BytesMut::new(),
            idle_since: Instant::now(),
            keep_alive: DEFAULT_KEEP_ALIVE,
            reusable: true,
        })
    }

    /// Whether the connection may carry another request: the last exchange
    /// completed, it was not idle for too long, and nothing was received since.
    pub(crate) fn is_usable(&self, max_idle: Duration) -> bool {
        let idle = self.idle_since.elapsed();
        if !self.reusable || idle > self.keep_alive.mul_f64(KEEP_ALIVE_FRACTION) || idle > max_idle
        {
            return false;
        }
        let mut probe = [0_u8; 1];
        matches!(self.stream.try_read(&mut probe), Err(error) if error.kind() == io::ErrorKind::WouldBlock)
    }

    /// Sends a request and reads the response with the same request id.
    /// Responses with another id belong to earlier requests and are skipped.
    pub(crate) async fn exchange(
        &mut self,
        method: &str,
        request: &[u8],
        id: Option<(&str, &str)>,
        progress: &ExchangeProgress,
    ) -> Result<ServerResponse, ExchangeError> {
        // The connection is not reusable until the exchange completes, also
        // when the future is dropped.
        self.reusable = false;
        let mut written = 0;
        let mut state = ResponseState::default();
        loop {
            if let Some(response) = state.advance(&mut self.buffer, method, id)? {
                return Ok(self.complete_exchange(response, written == request.len()));
            }
            let (mut reader, mut writer) = self.stream.split();
            tokio::select! {
                biased;
                count = writer.write(&request[written..]), if written < request.len() => {
                    written += count?;
                    progress.sent.set(true);
                }
                count = reader.read_buf(&mut self.buffer) => {
                    if count? == 0 {
                        let response = state.end_of_stream().ok_or(ExchangeError::Closed)?;
                        return Ok(response);
                    }
                    progress.received.set(true);
                }
            }
        }
    }

    fn complete_exchange(
        &mut self,
        response: ServerResponse,
        request_written: bool,
    ) -> ServerResponse {
        let head = &response.head;
        // After an incomplete request, or with bytes left after the response,
        // the next response could not be matched to its request.
        self.reusable = request_written
            && self.buffer.is_empty()
            && !head.is_http10
            && !head.has_token("connection", "close");
        self.keep_alive = keep_alive_timeout(head).unwrap_or(DEFAULT_KEEP_ALIVE);
        self.idle_since = Instant::now();
        response
    }
}

/// The `timeout` parameter of `Keep-Alive`.
fn keep_alive_timeout(head: &ResponseHead) -> Option<Duration> {
    let text = head.text("keep-alive")?;
    text.split(',').find_map(|part| {
        let (name, value) = part.split_once('=')?;
        if !name.trim().eq_ignore_ascii_case("timeout") {
            return None;
        }
        value.trim().parse().ok().map(Duration::from_secs)
    })
}

#[derive(Debug, Default)]
struct ResponseState {
    current: Option<(ResponseHead, BodyReader)>,
    skipping: bool,
}

impl ResponseState {
    fn advance(
        &mut self,
        buffer: &mut BytesMut,
        method: &str,
        id: Option<(&str, &str)>,
    ) -> Result<Option<ServerResponse>, ExchangeError> {
        loop {
            if self.current.is_none() {
                let Some(head) = take_response_head(buffer, MAX_HEAD_BYTES)? else {
                    return Ok(None);
                };
                if (100..200).contains(&head.status) {
                    continue;
                }
                let reader = BodyReader::new(response_length(&head, method)?, MAX_BODY_BYTES)?;
                self.skipping = id.is_some_and(|(name, value)| {
                    head.text(name).is_some_and(|found| found != value)
                });
                self.current = Some((head, reader));
            }
            let Some((_, reader)) = &mut self.current else {
                return Ok(None);
            };
            let Some(body) = reader.take(buffer)? else {
                return Ok(None);
            };
            let Some((head, _)) = self.current.take() else {
                return Ok(None);
            };
            if !self.skipping {
                return Ok(Some(ServerResponse { head, body }));
            }
        }
    }

    fn end_of_stream(&mut self) -> Option<ServerResponse> {
        let (head, mut reader) = self.current.take()?;
        if self.skipping {
            return None;
        }
        let body = reader.take_at_close()?;
        Some(ServerResponse { head, body })
    }
}
