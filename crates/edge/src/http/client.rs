//! Client connections that carry one request at a time and read whole
//! responses.

use std::cell::Cell;
use std::collections::BTreeSet;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::{BufMut, Bytes, BytesMut};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use super::budget::{BufferBudget, BufferShare};
use super::framing::{
    BodyReader, FramingError, HeadScanner, ResponseHead, response_length, take_response_head,
};
use super::message::HeaderLookup;

/// The maximum size of a response head.
const MAX_HEAD_BYTES: usize = 32 * 1024;

/// The maximum number of interim (1xx) responses before a response.
const MAX_INTERIM_RESPONSES: u32 = 8;

/// The maximum size of a response body, an eighth of the smallest instance's
/// memory. Responses are buffered until they are complete.
const MAX_BODY_BYTES: usize = 20 * 1024 * 1024;

/// The maximum size of a response to an earlier request that is skipped.
const MAX_SKIPPED_BYTES: usize = 256 * 1024;

/// The maximum number of bytes that one read takes.
const MAX_READ_BYTES: usize = 16 * 1024;

/// The size up to which the buffer of a connection is kept between exchanges, in bytes:
/// that of one read, which holds most responses.
const MAX_KEPT_BUFFER_BYTES: usize = MAX_READ_BYTES;

/// The number of bytes after which an exchange lets other tasks run. A server that
/// sends faster than the process reads would otherwise hold them up.
const YIELD_BYTES: usize = 64 * 1024;

/// The maximum number of requests that got an error on a connection that is used again.
const MAX_FAILED_IDS: usize = 64;

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
    #[error("more than {MAX_INTERIM_RESPONSES} interim responses")]
    TooManyInterimResponses,
    #[error("several responses to other requests")]
    ForeignResponses,
    #[error("a response without the id of its request on a reused connection")]
    Unidentified,
    #[error("no memory is left for a response of this size")]
    NoMemory,
}

/// A complete response.
#[derive(Debug)]
pub(crate) struct ServerResponse {
    pub(crate) head: ResponseHead,
    pub(crate) body: Bytes,
    /// Counts the head and the body as memory in use.
    pub(crate) share: BufferShare,
}

/// A request as it is written to a server.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RequestBytes<'a> {
    /// The head, with the body if that is short.
    pub(crate) head: &'a [u8],
    /// A long body, which is not copied.
    pub(crate) body: &'a [u8],
}

impl<'a> RequestBytes<'a> {
    fn len(self) -> usize {
        self.head.len() + self.body.len()
    }

    /// The bytes to write next.
    fn rest(self, written: usize) -> &'a [u8] {
        match written.checked_sub(self.head.len()) {
            None => &self.head[written..],
            Some(written) => &self.body[written..],
        }
    }
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
    opened_at: Instant,
    /// The size of the allocation behind `buffer`, in bytes. Its capacity does not
    /// include what was consumed.
    allocated: usize,
    idle_since: Instant,
    keep_alive: Duration,
    reusable: bool,
    /// Whether a request was sent, perhaps without an id.
    is_used: bool,
    /// The id of the last request.
    last_id: Option<String>,
    /// The ids of the requests that got an error here. They may be sent again, while all
    /// others are complete.
    failed_ids: BTreeSet<String>,
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
            opened_at: Instant::now(),
            allocated: 0,
            idle_since: Instant::now(),
            keep_alive: DEFAULT_KEEP_ALIVE,
            reusable: true,
            is_used: false,
            last_id: None,
            failed_ids: BTreeSet::new(),
        })
    }

    /// Waits until the server closes the connection, or sends something to which there was
    /// no request.
    pub(crate) async fn closed(&self) {
        let mut probe = [0_u8; 1];
        loop {
            if self.stream.readable().await.is_err() {
                return;
            }
            let read = self.stream.try_read(&mut probe);
            if !matches!(read, Err(error) if error.kind() == io::ErrorKind::WouldBlock) {
                return;
            }
        }
    }

    /// When the connection was opened.
    pub(crate) fn opened_at(&self) -> Instant {
        self.opened_at
    }

    /// Whether the connection has carried an attempt of the request with this id.
    /// A late second response to that attempt could not be told from the response
    /// to another one.
    pub(crate) fn has_carried(&self, id: &str) -> bool {
        self.last_id.as_deref() == Some(id) || self.failed_ids.contains(id)
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

    /// Sends a request and reads the response with the same request id. A response
    /// with another id belongs to an earlier request and is skipped; the connection
    /// is not used again then.
    pub(crate) async fn exchange(
        &mut self,
        method: &str,
        request: RequestBytes<'_>,
        id: Option<(&str, &str)>,
        progress: &ExchangeProgress,
        budget: &Rc<BufferBudget>,
    ) -> Result<ServerResponse, ExchangeError> {
        // The connection is not reusable until the exchange completes, also
        // when the future is dropped.
        self.reusable = false;
        let is_reused = std::mem::replace(&mut self.is_used, true);
        self.last_id = id.map(|(_, value)| value.to_owned());
        let mut written = 0;
        let mut write_error = None;
        let expected = ExpectedResponse {
            method,
            id,
            is_reused,
        };
        let mut state = ResponseState::new(expected, budget);
        let mut read_since_yield = 0;
        loop {
            if let Some(response) = state.advance(&mut self.buffer)? {
                let has_id = id.is_none_or(|(name, _)| response.head.text(name).is_some());
                let may_reuse = has_id && !state.has_skipped && written == request.len();
                return Ok(self.complete_exchange(response, may_reuse));
            }
            if read_since_yield >= YIELD_BYTES {
                read_since_yield = 0;
                tokio::task::yield_now().await;
            }
            let unwritten = request.rest(written);
            let (mut reader, mut writer) = self.stream.split();
            let mut unread = (&mut self.buffer).limit(MAX_READ_BYTES);
            tokio::select! {
                biased;
                count = writer.write(unwritten),
                    if written < request.len() && write_error.is_none() =>
                {
                    match count {
                        Ok(count) => {
                            written += count;
                            progress.sent.set(true);
                        }
                        // The server may have responded before it closed the connection.
                        Err(error) => write_error = Some(error),
                    }
                }
                count = reader.read_buf(&mut unread) => {
                    let count = match count {
                        Ok(0) | Err(_) if write_error.is_some() => 0,
                        count => count?,
                    };
                    if count == 0 {
                        // A reset can look like an orderly close after a failed write.
                        if let Some(error) = write_error {
                            return Err(error.into());
                        }
                        let response = state.end_of_stream().ok_or(ExchangeError::Closed)?;
                        return Ok(response);
                    }
                    self.allocated = self.allocated.max(self.buffer.capacity());
                    read_since_yield += count;
                    progress.received.set(true);
                }
            }
        }
    }

    fn complete_exchange(&mut self, response: ServerResponse, may_reuse: bool) -> ServerResponse {
        let head = &response.head;
        // With bytes left after the response, the next response could not be
        // matched to its request.
        if head.status >= 400 {
            self.failed_ids.extend(self.last_id.clone());
        }
        self.reusable = may_reuse
            && self.buffer.is_empty()
            && self.failed_ids.len() <= MAX_FAILED_IDS
            && !head.is_http10
            && !head.has_token("connection", "close");
        self.keep_alive = keep_alive_timeout(head).unwrap_or(DEFAULT_KEEP_ALIVE);
        self.idle_since = Instant::now();
        self.release_buffer();
        response
    }

    /// Releases the allocation of a long response, which an idle connection would keep
    /// alive without counting it.
    fn release_buffer(&mut self) {
        if self.allocated > MAX_KEPT_BUFFER_BYTES {
            self.buffer = BytesMut::new();
            self.allocated = 0;
        }
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

/// The response that an exchange waits for.
#[derive(Debug, Clone, Copy)]
struct ExpectedResponse<'a> {
    method: &'a str,
    /// The name of the field with the request's id, and the id.
    id: Option<(&'a str, &'a str)>,
    /// Whether the connection has carried another request before.
    is_reused: bool,
}

impl ExpectedResponse<'_> {
    /// Whether a response belongs to another request.
    fn is_foreign(self, head: &ResponseHead) -> Result<bool, ExchangeError> {
        let Some((name, value)) = self.id else {
            return Ok(false);
        };
        match head.text(name) {
            Some(found) => Ok(found != value),
            // It may be a second response to the request before.
            None if self.is_reused => Err(ExchangeError::Unidentified),
            None => Ok(false),
        }
    }
}

/// The response of an exchange as it arrives.
#[derive(Debug)]
struct ResponseState<'a> {
    expected: ExpectedResponse<'a>,
    scanner: HeadScanner,
    current: Option<(ResponseHead, BodyReader)>,
    interim_responses: u32,
    is_skipping: bool,
    has_skipped: bool,
    share: BufferShare,
    budget: &'a Rc<BufferBudget>,
}

impl<'a> ResponseState<'a> {
    fn new(expected: ExpectedResponse<'a>, budget: &'a Rc<BufferBudget>) -> Self {
        Self {
            expected,
            scanner: HeadScanner::default(),
            current: None,
            interim_responses: 0,
            is_skipping: false,
            has_skipped: false,
            share: BufferShare::new(budget),
            budget,
        }
    }

    /// Consumes bytes from the buffer. Returns the response once it is complete.
    fn advance(&mut self, buffer: &mut BytesMut) -> Result<Option<ServerResponse>, ExchangeError> {
        loop {
            if self.current.is_none() {
                let head = take_response_head(buffer, &mut self.scanner, MAX_HEAD_BYTES)?;
                let Some(head) = head else {
                    self.count(buffer.len())?;
                    return Ok(None);
                };
                if (100..200).contains(&head.status) {
                    self.interim_responses += 1;
                    if self.interim_responses > MAX_INTERIM_RESPONSES {
                        return Err(ExchangeError::TooManyInterimResponses);
                    }
                    continue;
                }
                self.begin_response(head)?;
            }
            let Some((head, reader)) = &mut self.current else {
                return Ok(None);
            };
            let body = reader.take(buffer)?;
            let received = body.as_ref().map_or(reader.received(), Bytes::len);
            let bytes = head.memory() + received + buffer.len();
            self.count(bytes)?;
            let Some(body) = body else {
                return Ok(None);
            };
            let Some((head, _)) = self.current.take() else {
                return Ok(None);
            };
            if !self.is_skipping {
                return Ok(Some(self.complete(head, body)));
            }
        }
    }

    /// Counts what has arrived of the response as memory in use.
    fn count(&mut self, bytes: usize) -> Result<(), ExchangeError> {
        if self.share.resize(bytes) {
            Ok(())
        } else {
            Err(ExchangeError::NoMemory)
        }
    }

    fn begin_response(&mut self, head: ResponseHead) -> Result<(), ExchangeError> {
        self.is_skipping = self.expected.is_foreign(&head)?;
        if self.is_skipping && std::mem::replace(&mut self.has_skipped, true) {
            return Err(ExchangeError::ForeignResponses);
        }
        let max_bytes = if self.is_skipping {
            MAX_SKIPPED_BYTES
        } else {
            MAX_BODY_BYTES
        };
        let length = response_length(&head, self.expected.method)?;
        let reader = BodyReader::new(length, max_bytes)?;
        self.current = Some((head, reader));
        Ok(())
    }

    fn complete(&mut self, head: ResponseHead, body: Bytes) -> ServerResponse {
        let share = std::mem::replace(&mut self.share, BufferShare::new(self.budget));
        ServerResponse { head, body, share }
    }

    fn end_of_stream(&mut self) -> Option<ServerResponse> {
        let (head, mut reader) = self.current.take()?;
        if self.is_skipping {
            return None;
        }
        let body = reader.take_at_close()?;
        Some(self.complete(head, body))
    }
}
