//! The HTTP server for callers.
//!
//! Pipelined requests are handled concurrently; responses are sent in the order
//! of the requests. A caller that closes its connection cancels its requests.

use std::collections::VecDeque;
use std::io;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::{BufMut, Bytes, BytesMut};
use futures_util::future::LocalBoxFuture;
use tokio::io::{AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;

use tarragonpulley_policy::entry::config::CallerLimits;

use crate::supervise::panic_reason;

use super::account::{
    ClientAccount, ClientActivity, ClientGroup, ClientMember, ClientRefusal, RequestCharge,
};
use super::budget::{BufferBudget, BufferShare};
use super::framing::{
    BodyLength, BodyReader, FramingError, HeadScanner, request_length, take_request_head,
};
use super::message::{
    CallerRequest, CallerResponse, HeaderLookup, MAX_JOINED_BODY_BYTES, RequestHead, reason_phrase,
};

/// The maximum number of requests of one connection that are handled at a time.
const MAX_PIPELINED_REQUESTS: usize = 16;

/// How long a caller may take to receive the next part of a response.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);

/// How long bytes of a caller are discarded after the last response, until it closes its
/// side. Longer than packets wait at the link of a busy machine.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(2);

/// The maximum size of requests read ahead while earlier ones are handled.
const MAX_READ_AHEAD_BYTES: usize = 32 * 1024;

/// The memory of a request in progress without its head and body, in bytes: its task and
/// the bytes that are exchanged with a server.
const IN_PROGRESS_BYTES: usize = 16 * 1024;

/// The size up to which the buffer of a connection is kept between requests, in bytes.
const MAX_KEPT_BUFFER_BYTES: usize = 4 * 1024;

/// Delay after a failed accept, in which descriptors may become free.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// The number of connections that are accepted before other tasks run. The connections
/// that are closed for them hold their descriptors until then.
const MAX_ACCEPTED_IN_TURN: usize = 16;

/// How long an idle connection is read once more before it is closed at a shutdown.
const CLOSING_READ_TIMEOUT: Duration = Duration::from_millis(50);

/// The shutdown phase of a listener.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum ShutdownPhase {
    /// Handles requests.
    Running,
    /// Handles requests, and closes each connection after a response behind which no
    /// other request was received.
    Draining,
    /// Accepts no connections, and reads no request behind one in progress. Closes each
    /// connection with the response to its last request in progress.
    Closing,
}

/// Handles the requests of a listener.
pub(crate) trait RequestHandler {
    /// Handles one request. Dropping the future cancels it.
    fn handle(&self, request: CallerRequest) -> LocalBoxFuture<'static, CallerResponse>;

    /// The current limits on requests.
    fn limits(&self) -> CallerLimits;

    /// The memory that the bodies of all requests may hold.
    fn body_budget(&self) -> Rc<BufferBudget>;

    /// What all clients hold.
    fn account(&self) -> Rc<ClientAccount>;

    /// The listener's part in the account.
    fn group(&self) -> ClientGroup;

    /// The response to a request for which no memory is left.
    fn reject_body(&self, head: &RequestHead) -> CallerResponse;

    /// The response to a request beyond the number that may be in progress.
    fn reject_request(&self, head: &RequestHead) -> CallerResponse;

    /// Records that something of a client was closed or rejected.
    fn record_refusal(&self, refusal: ClientRefusal);

    /// Records that the handling of a request panicked.
    fn record_panic(&self, reason: &str);
}

/// Accepts connections until the phase is [`ShutdownPhase::Closing`].
pub(crate) async fn serve(
    listener: TcpListener,
    handler: Rc<dyn RequestHandler>,
    shutdown: watch::Receiver<ShutdownPhase>,
) {
    let mut phase = shutdown.clone();
    let mut accepted_in_turn = 0;
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => {
                    accept_connection(stream, &handler, &shutdown);
                    accepted_in_turn += 1;
                    if accepted_in_turn == MAX_ACCEPTED_IN_TURN {
                        accepted_in_turn = 0;
                        tokio::task::yield_now().await;
                    }
                }
                // No descriptors are left, or the caller has already closed.
                Err(_failed) => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
            },
            closed = phase.wait_for(|phase| *phase == ShutdownPhase::Closing) => {
                drop(closed);
                break;
            }
        }
    }
    // Connections that the kernel has accepted may already carry a request. They are
    // taken without the runtime, which may not have noticed them yet. A listener that
    // cannot leave the runtime is closed with its queue.
    let Ok(listener) = listener.into_std() else {
        return;
    };
    while let Ok((stream, _)) = listener.accept() {
        let accepted = stream
            .set_nonblocking(true)
            .and_then(|()| TcpStream::from_std(stream));
        // Fails if no descriptors are left; the caller sees a closed connection.
        if let Ok(stream) = accepted {
            accept_connection(stream, &handler, &shutdown);
        }
    }
}

/// Serves a new connection, or closes it if clients hold too much.
fn accept_connection(
    stream: TcpStream,
    handler: &Rc<dyn RequestHandler>,
    shutdown: &watch::Receiver<ShutdownPhase>,
) {
    match handler.account().open(handler.group(), Instant::now()) {
        Some(member) => {
            let handler = Rc::clone(handler);
            let connection = serve_connection(stream, Rc::new(member), handler, shutdown.clone());
            actix_rt::spawn(connection);
        }
        None => handler.record_refusal(ClientRefusal::TooManyConnections),
    }
}

struct ResponseTask(JoinHandle<(CallerResponse, Option<RequestCharge>)>);

impl Drop for ResponseTask {
    fn drop(&mut self) {
        self.0.abort();
    }
}

enum PendingResponse {
    Task(ResponseTask),
    Ready(CallerResponse),
}

impl PendingResponse {
    /// Waits for the response, and what it holds until it is written.
    async fn wait(
        &mut self,
        handler: &dyn RequestHandler,
    ) -> (CallerResponse, Option<RequestCharge>) {
        let task = match self {
            Self::Ready(response) => return (response.clone(), None),
            Self::Task(task) => task,
        };
        match (&mut task.0).await {
            Ok(response) => response,
            Err(error) => {
                if let Ok(payload) = error.try_into_panic() {
                    handler.record_panic(panic_reason(&*payload));
                }
                (CallerResponse::empty(500).closing(), None)
            }
        }
    }
}

struct PendingRequest {
    response: PendingResponse,
    is_head: bool,
}

enum ReadEvent {
    Request(CallerRequest),
    Invalid(FramingError),
    /// No memory is left for the body of a request with this head.
    NoMemory(RequestHead),
    /// No memory is left for the part of a request that has arrived.
    NoRoom,
    Disconnected,
    TimedOut {
        partial: bool,
    },
}

/// Reads requests from a connection. All progress is kept in the struct, so
/// that waiting for the next request can be cancelled.
struct RequestReader {
    stream: OwnedReadHalf,
    buffer: BytesMut,
    scanner: HeadScanner,
    head: Option<(RequestHead, BodyReader)>,
    budget: Rc<BufferBudget>,
    /// The memory of the body that is being received.
    share: BufferShare,
    member: Rc<ClientMember>,
    /// The size of the allocation behind `buffer`, in bytes. Its capacity does not
    /// include what was consumed.
    allocated: usize,
    last_byte: Instant,
    partial_since: Option<Instant>,
    expects_continue: bool,
}

impl RequestReader {
    /// Counts what the reader holds. Returns whether it fits.
    fn count_buffers(&mut self) -> bool {
        self.allocated = self.allocated.max(self.buffer.capacity());
        let message = self
            .head
            .as_ref()
            .map_or(0, |(head, body)| head.memory() + body.memory());
        self.member
            .resize_buffers(self.allocated + message, self.last_byte)
    }

    /// Releases what was received of a request that is rejected.
    fn discard(&mut self) {
        self.head = None;
        self.buffer = BytesMut::new();
        self.allocated = 0;
        self.share = BufferShare::new(&self.budget);
        self.count_buffers();
    }

    /// Releases the allocation of a long message, which the rest of the buffer would
    /// keep alive.
    fn release_buffer(&mut self) {
        if self.allocated > MAX_KEPT_BUFFER_BYTES
            && (self.buffer.is_empty() || self.allocated > 2 * MAX_READ_AHEAD_BYTES)
        {
            self.buffer = BytesMut::from(&self.buffer[..]);
            self.allocated = self.buffer.capacity();
        }
    }

    fn parse(&mut self, limits: &CallerLimits) -> Result<Option<CallerRequest>, FramingError> {
        if self.head.is_none() {
            let head =
                take_request_head(&mut self.buffer, &mut self.scanner, limits.max_header_bytes)?;
            let Some(head) = head else {
                return Ok(None);
            };
            let length = request_length(&head)?;
            let reader = BodyReader::new(length, limits.max_body_bytes)?;
            let announced = match length {
                BodyLength::Fixed(bytes) => bytes,
                BodyLength::Chunked | BodyLength::UntilClose => 0,
            };
            let has_memory = self.share.reserve(announced);
            self.expects_continue =
                head.has_token("expect", "100-continue") && length != BodyLength::Fixed(0);
            self.head = Some((head, reader));
            if !has_memory {
                return Err(FramingError::NoMemory);
            }
            // Room is made before it is allocated.
            let missing = announced.saturating_sub(self.buffer.len());
            let bytes = self.allocated + missing;
            if !self.member.resize_buffers(bytes, self.last_byte) {
                return Err(FramingError::NoMemory);
            }
            self.buffer.reserve(missing);
        }
        let Some((_, reader)) = &mut self.head else {
            return Ok(None);
        };
        let body = reader.take(&mut self.buffer)?;
        // The buffer of a body in chunks grows by doubling.
        if reader.received() > 0 && !self.share.reserve(2 * reader.received()) {
            return Err(FramingError::NoMemory);
        }
        let Some(body) = body else {
            return Ok(None);
        };
        let Some((head, _)) = self.head.take() else {
            return Ok(None);
        };
        self.expects_continue = false;
        self.partial_since = None;
        self.release_buffer();
        self.count_buffers();
        Ok(Some(CallerRequest {
            head,
            body,
            received: Instant::now(),
            share: Rc::new(std::mem::replace(
                &mut self.share,
                BufferShare::new(&self.budget),
            )),
        }))
    }

    fn is_partial(&self) -> bool {
        self.head.is_some() || !self.buffer.is_empty()
    }

    async fn next(
        &mut self,
        limits: &CallerLimits,
        accepts_requests: bool,
        use_idle_timeout: bool,
    ) -> ReadEvent {
        loop {
            if accepts_requests {
                match self.parse(limits) {
                    Ok(Some(request)) => return ReadEvent::Request(request),
                    Ok(None) => {}
                    Err(error) => {
                        return match (error, self.head.take()) {
                            (FramingError::NoMemory, Some((head, _))) => ReadEvent::NoMemory(head),
                            _ => ReadEvent::Invalid(error),
                        };
                    }
                }
            }
            if !self.count_buffers() && accepts_requests && self.is_partial() {
                return ReadEvent::NoRoom;
            }
            let partial = accepts_requests && self.is_partial();
            if partial && self.partial_since.is_none() {
                self.partial_since = Some(self.last_byte);
            }
            let deadline = if !accepts_requests {
                None
            } else if self.head.is_some() {
                Some(self.last_byte + limits.header_timeout.max(limits.idle_timeout))
            } else if partial {
                self.partial_since
                    .map(|since| since + limits.header_timeout)
            } else if use_idle_timeout {
                Some(self.last_byte + limits.idle_timeout)
            } else {
                None
            };
            if use_idle_timeout {
                let activity = if partial {
                    ClientActivity::Receiving
                } else {
                    ClientActivity::Idle
                };
                self.member.set_activity(activity, self.last_byte);
            }
            if self.buffer.len() > MAX_READ_AHEAD_BYTES && !accepts_requests {
                std::future::pending::<()>().await;
            }
            let read = self.stream.read_buf(&mut self.buffer);
            let count = match deadline {
                Some(deadline) => match tokio::time::timeout_at(deadline.into(), read).await {
                    Ok(count) => count,
                    Err(_elapsed) => return ReadEvent::TimedOut { partial },
                },
                None => read.await,
            };
            match count {
                Ok(0) | Err(_) => return ReadEvent::Disconnected,
                Ok(count) => {
                    self.last_byte = Instant::now();
                    self.member.record_moved(count);
                }
            }
        }
    }
}

/// One connection of a caller.
struct CallerConnection {
    reader: RequestReader,
    writer: OwnedWriteHalf,
    pending: VecDeque<PendingRequest>,
    /// No further requests are read, and the last response in progress closes the
    /// connection.
    closes_after_pending: bool,
}

/// The state of a connection after an event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ConnectionState {
    Open,
    /// The last response was sent.
    Finished,
    /// Nothing more can be sent, or no request is expected.
    Dropped,
}

impl CallerConnection {
    fn new(stream: TcpStream, budget: Rc<BufferBudget>, member: Rc<ClientMember>) -> Self {
        let (read_half, writer) = stream.into_split();
        Self {
            reader: RequestReader {
                stream: read_half,
                buffer: BytesMut::new(),
                scanner: HeadScanner::default(),
                head: None,
                share: BufferShare::new(&budget),
                budget,
                member,
                allocated: 0,
                last_byte: Instant::now(),
                partial_since: None,
                expects_continue: false,
            },
            writer,
            pending: VecDeque::new(),
            closes_after_pending: false,
        }
    }

    /// Records what the connection does after a response.
    fn begin_next(&self) {
        let now = Instant::now();
        let activity = if !self.pending.is_empty() {
            ClientActivity::Working
        } else if self.reader.is_partial() {
            ClientActivity::Receiving
        } else {
            ClientActivity::Idle
        };
        self.reader.member.restart_activity(activity, now);
    }

    /// Whether bytes behind the first request in progress have arrived.
    fn has_more_requests(&self) -> bool {
        self.pending.len() > 1 || !self.reader.buffer.is_empty()
    }

    fn is_idle(&self) -> bool {
        self.pending.is_empty() && !self.reader.is_partial()
    }

    /// Sends `100 Continue`, once all earlier responses are sent.
    async fn send_continue(&mut self) -> io::Result<()> {
        if self.reader.expects_continue && self.pending.is_empty() {
            self.reader.expects_continue = false;
            self.writer
                .write_all(b"HTTP/1.1 100 Continue\r\n\r\n")
                .await?;
        }
        Ok(())
    }

    /// Sends the response to the first pending request.
    async fn send_response(
        &mut self,
        response: &CallerResponse,
        phase: ShutdownPhase,
    ) -> ConnectionState {
        let Some(request) = self.pending.pop_front() else {
            return ConnectionState::Dropped;
        };
        let closes_when_idle = match phase {
            ShutdownPhase::Running => false,
            ShutdownPhase::Draining => !self.reader.is_partial(),
            ShutdownPhase::Closing => true,
        };
        // Servers work on the requests behind this one.
        self.closes_after_pending |= response.close;
        let close = self.pending.is_empty() && (self.closes_after_pending || closes_when_idle);
        let (head, body) = encode_response(response, request.is_head, close);
        let member = &self.reader.member;
        member.restart_activity(ClientActivity::Sending, Instant::now());
        for bytes in [head, body] {
            let sent = |count| member.record_moved(count);
            if !write_while_read(&mut self.writer, &bytes, sent).await {
                return ConnectionState::Dropped;
            }
        }
        self.reader.last_byte = self.reader.last_byte.max(Instant::now());
        if close {
            ConnectionState::Finished
        } else {
            ConnectionState::Open
        }
    }

    fn handle_event(&mut self, event: ReadEvent, handler: &dyn RequestHandler) -> ConnectionState {
        match event {
            ReadEvent::Request(request) => {
                let is_head = request.head.method == "HEAD";
                let bytes = IN_PROGRESS_BYTES + request.head.memory() + request.body.len();
                let member = &self.reader.member;
                let Some(charge) = member.begin_request(bytes, request.received) else {
                    handler.record_refusal(ClientRefusal::NoMemory);
                    self.reject(handler.reject_body(&request.head));
                    return ConnectionState::Open;
                };
                if !charge.begin_progress() {
                    handler.record_refusal(ClientRefusal::TooManyRequests);
                    self.reject(handler.reject_request(&request.head));
                    return ConnectionState::Open;
                }
                member.restart_activity(ClientActivity::Working, request.received);
                self.closes_after_pending |= !request.head.keeps_alive();
                let handling = handler.handle(request);
                let task = actix_rt::spawn(async move {
                    let response = handling.await;
                    charge.complete(response.memory(), Instant::now());
                    (response, Some(charge))
                });
                self.pending.push_back(PendingRequest {
                    response: PendingResponse::Task(ResponseTask(task)),
                    is_head,
                });
            }
            ReadEvent::Invalid(error) => {
                self.reject(CallerResponse::empty(rejection_status(error)));
            }
            ReadEvent::NoMemory(head) => {
                handler.record_refusal(ClientRefusal::NoMemory);
                self.reject(handler.reject_body(&head));
            }
            ReadEvent::NoRoom => {
                handler.record_refusal(ClientRefusal::NoMemory);
                self.reject(CallerResponse::empty(503));
            }
            ReadEvent::TimedOut { partial: true } => self.reject(CallerResponse::empty(408)),
            ReadEvent::TimedOut { partial: false } | ReadEvent::Disconnected => {
                return ConnectionState::Dropped;
            }
        }
        ConnectionState::Open
    }

    /// Rejects bytes that are not a valid request or cannot be held, and reads no more.
    fn reject(&mut self, response: CallerResponse) {
        self.reader.discard();
        self.pending.push_back(PendingRequest {
            response: PendingResponse::Ready(response.closing()),
            is_head: false,
        });
        self.closes_after_pending = true;
    }
}

async fn serve_connection(
    stream: TcpStream,
    member: Rc<ClientMember>,
    handler: Rc<dyn RequestHandler>,
    shutdown: watch::Receiver<ShutdownPhase>,
) {
    if stream.set_nodelay(true).is_err() {
        // The caller has reset the connection.
        return;
    }
    let connection = CallerConnection::new(stream, handler.body_budget(), Rc::clone(&member));
    tokio::select! {
        biased;
        refusal = member.closed() => handler.record_refusal(refusal),
        () = serve_requests(connection, &handler, shutdown) => {}
    }
}

/// Serves a connection until it ends.
async fn serve_requests(
    mut connection: CallerConnection,
    handler: &Rc<dyn RequestHandler>,
    mut shutdown: watch::Receiver<ShutdownPhase>,
) {
    loop {
        let limits = handler.limits();
        let phase = *shutdown.borrow_and_update();
        if phase == ShutdownPhase::Closing && !connection.pending.is_empty() {
            connection.closes_after_pending = true;
        }
        if phase == ShutdownPhase::Closing && connection.is_idle() {
            if connection.closes_after_pending {
                return;
            }
            // A request may have arrived that was not read yet.
            let next = connection.reader.next(&limits, true, false);
            match tokio::time::timeout(CLOSING_READ_TIMEOUT, next).await {
                Ok(event) => {
                    if connection.handle_event(event, &**handler) == ConnectionState::Dropped {
                        return;
                    }
                    continue;
                }
                Err(_elapsed) if connection.is_idle() => return,
                Err(_elapsed) => {}
            }
        }
        if connection.send_continue().await.is_err() {
            return;
        }
        let accepts_requests =
            !connection.closes_after_pending && connection.pending.len() < MAX_PIPELINED_REQUESTS;
        let use_idle_timeout = connection.pending.is_empty();
        let CallerConnection {
            reader, pending, ..
        } = &mut connection;
        let state = tokio::select! {
            biased;
            response = async { match pending.front_mut() {
                Some(first) => first.response.wait(&**handler).await,
                None => std::future::pending().await,
            }} => {
                let (response, _charge) = response;
                let state = connection.send_response(&response, phase).await;
                connection.begin_next();
                state
            }
            event = reader.next(&limits, accepts_requests, use_idle_timeout) => {
                connection.handle_event(event, &**handler)
            }
            changed = shutdown.changed() => match changed {
                Ok(()) => ConnectionState::Open,
                Err(_closed) => ConnectionState::Dropped,
            }
        };
        match state {
            // Requests that were sent ahead would otherwise keep other callers waiting.
            ConnectionState::Open if connection.has_more_requests() => {
                tokio::task::yield_now().await;
            }
            ConnectionState::Open => {}
            ConnectionState::Finished => {
                let member = &connection.reader.member;
                member.set_activity(ClientActivity::Idle, Instant::now());
                close_gracefully(connection.writer, connection.reader.stream).await;
                return;
            }
            ConnectionState::Dropped => return,
        }
    }
}

fn rejection_status(error: FramingError) -> u16 {
    match error {
        FramingError::HeadTooLarge => 431,
        FramingError::BodyTooLarge => 413,
        FramingError::NoMemory => 503,
        FramingError::Head | FramingError::Length | FramingError::Chunk => 400,
    }
}

/// Writes for as long as the caller reads, and reports how many bytes each write took.
/// Returns whether all bytes were written.
pub(crate) async fn write_while_read(
    writer: &mut (impl AsyncWrite + Unpin),
    mut bytes: &[u8],
    sent: impl Fn(usize),
) -> bool {
    while !bytes.is_empty() {
        match tokio::time::timeout(WRITE_TIMEOUT, writer.write(bytes)).await {
            Ok(Ok(count)) if count > 0 => {
                bytes = &bytes[count..];
                sent(count);
            }
            _ => return false,
        }
    }
    true
}

/// Shuts down the write half and discards what is still received for a moment.
/// Closing with unread bytes would reset the connection, and the end of the response
/// could be lost.
async fn close_gracefully(mut write_half: OwnedWriteHalf, mut read_half: OwnedReadHalf) {
    if write_half.shutdown().await.is_err() {
        return;
    }
    let discard = async {
        let mut scratch = [0_u8; 2048];
        while matches!(read_half.read(&mut scratch).await, Ok(count) if count > 0) {}
    };
    // A timeout is normal for callers that keep their side open.
    drop(tokio::time::timeout(CLOSE_TIMEOUT, discard).await);
}

/// The head of a response, and its body if that is written separately.
fn encode_response(response: &CallerResponse, is_head: bool, close: bool) -> (Bytes, Bytes) {
    let mut body = if is_head {
        Bytes::new()
    } else {
        response.body.clone()
    };
    let joined = if body.len() <= MAX_JOINED_BODY_BYTES {
        std::mem::take(&mut body)
    } else {
        Bytes::new()
    };
    let mut bytes = BytesMut::with_capacity(256 + joined.len());
    bytes.put_slice(
        format!(
            "HTTP/1.1 {} {}\r\n",
            response.status,
            reason_phrase(response.status)
        )
        .as_bytes(),
    );
    for field in &response.fields {
        bytes.put_slice(field.name.as_bytes());
        bytes.put_slice(b": ");
        bytes.put_slice(&field.value);
        bytes.put_slice(b"\r\n");
    }
    if response.status != 204 && response.status != 304 && !is_head {
        bytes.put_slice(format!("Content-Length: {}\r\n", response.body.len()).as_bytes());
    }
    if close {
        bytes.put_slice(b"Connection: close\r\n");
    }
    bytes.put_slice(b"\r\n");
    bytes.put_slice(&joined);
    (bytes.freeze(), body)
}

/// Binds a listener.
pub(crate) async fn bind(address: std::net::SocketAddr) -> io::Result<TcpListener> {
    TcpListener::bind(address).await
}
