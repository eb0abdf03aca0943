//! An HTTP/1.1 server for one port.
//!
//! State is shared by `Rc`, so all connections run on the thread that accepts
//! them. Connections, heads, bodies and idle time are limited, so that slow
//! callers cannot exhaust an instance. [`HttpServerHandle::drain`] stops the
//! server without cutting off a request.

mod connection;

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use actix_http::body::BoxBody;
use actix_http::{
    ConnectionType, HttpMessage, HttpService, KeepAlive, Payload, Protocol, Request, Response,
};
use actix_rt::net::{TcpListener, TcpStream};
use actix_rt::task::JoinHandle;
use actix_service::{Service, ServiceFactory, fn_service};
use bytes::{Bytes, BytesMut};
use futures_util::{FutureExt, StreamExt};
use tokio::sync::Notify;

use crate::errors::{ErrorKind, RequestError};
use crate::interfaces::RequestHandler;
use connection::{ConnectionTracker, TrackedStream};

/// Interval at which connections are checked against their timeouts.
const SWEEP_INTERVAL: Duration = Duration::from_millis(100);

/// Time for which idle connections stay open after a drain began, because a
/// request may be in transit: the longest one-way latency is 55 ms.
const DRAIN_IDLE_GRACE: Duration = Duration::from_millis(300);

/// Retry delay after a failed accept, for example for lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Limits of one server.
#[derive(Debug, Clone)]
pub(crate) struct ServerLimits {
    /// Maximum open connections.
    pub(crate) max_connections: usize,
    /// Maximum bytes of a request line with its headers.
    pub(crate) max_header_bytes: usize,
    /// Timeout from the first byte of a request head to its end.
    pub(crate) header_timeout: Duration,
    /// Time after which a connection without a request is closed.
    pub(crate) idle_timeout: Duration,
    /// Timeout for a caller to receive the bytes of a response.
    pub(crate) write_timeout: Duration,
}

impl Default for ServerLimits {
    fn default() -> Self {
        Self {
            max_connections: 1024,
            max_header_bytes: 16 * 1024,
            header_timeout: Duration::from_secs(5),
            idle_timeout: Duration::from_secs(30),
            write_timeout: Duration::from_secs(10),
        }
    }
}

#[derive(Debug)]
struct ServerState {
    limits: ServerLimits,
    connections: RefCell<BTreeMap<u64, Rc<ConnectionTracker>>>,
    next_connection: Cell<u64>,
    draining_since: Cell<Option<Instant>>,
    drain_started: Notify,
    connection_closed: Notify,
    accept_ended: Cell<bool>,
}

/// A running server. Dropping the handle stops it and closes its connections at
/// once.
#[derive(Debug)]
pub(crate) struct HttpServerHandle {
    state: Rc<ServerState>,
    tasks: Vec<JoinHandle<()>>,
}

impl HttpServerHandle {
    /// Stops accepting connections, responds to every received request with
    /// `connection: close`, closes idle connections, and returns when no
    /// connection is open.
    pub(crate) async fn drain(&self) {
        if self.state.draining_since.get().is_none() {
            self.state.draining_since.set(Some(Instant::now()));
        }
        self.state.drain_started.notify_one();
        loop {
            let closed = self.state.connection_closed.notified();
            if self.state.accept_ended.get() && self.state.connections.borrow().is_empty() {
                return;
            }
            let wait = actix_rt::time::timeout(SWEEP_INTERVAL, closed);
            drop(wait.await);
        }
    }
}

impl Drop for HttpServerHandle {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
        for tracker in self.state.connections.borrow().values() {
            tracker.close();
        }
    }
}

/// The server of one port.
#[derive(Debug)]
pub(crate) struct HttpServer;

impl HttpServer {
    /// Serves `listener` until the handle is drained or dropped.
    pub(crate) fn start(
        listener: TcpListener,
        handler: Rc<dyn RequestHandler>,
        limits: ServerLimits,
    ) -> HttpServerHandle {
        let state = Rc::new(ServerState {
            limits,
            connections: RefCell::default(),
            next_connection: Cell::new(0),
            draining_since: Cell::new(None),
            drain_started: Notify::new(),
            connection_closed: Notify::new(),
            accept_ended: Cell::new(false),
        });
        let accept = actix_rt::spawn(accept_loop(listener, handler, Rc::clone(&state)));
        let sweep = actix_rt::spawn(sweep_loop(Rc::clone(&state)));
        HttpServerHandle {
            state,
            tasks: vec![accept, sweep],
        }
    }
}

async fn accept_loop(
    listener: TcpListener,
    handler: Rc<dyn RequestHandler>,
    state: Rc<ServerState>,
) {
    while state.draining_since.get().is_none() {
        if state.connections.borrow().len() >= state.limits.max_connections {
            close_longest_idle(&state);
            let closed = state.connection_closed.notified();
            drop(actix_rt::time::timeout(SWEEP_INTERVAL, closed).await);
            continue;
        }
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _peer)) => spawn_connection(stream, &handler, &state),
                Err(error) => {
                    log::warn!("failed to accept a connection: {error}");
                    actix_rt::time::sleep(ACCEPT_RETRY_DELAY).await;
                }
            },
            () = state.drain_started.notified() => {}
        }
    }
    // The kernel has already accepted the connections in the backlog; closing the
    // listener would reset them.
    while let Some(Ok((stream, _peer))) = listener.accept().now_or_never() {
        spawn_connection(stream, &handler, &state);
    }
    state.accept_ended.set(true);
}

/// Closes the longest idle connection at the connection limit, so that callers
/// with idle connections do not block new ones.
fn close_longest_idle(state: &ServerState) {
    let connections = state.connections.borrow();
    let idle = connections
        .values()
        .filter_map(|tracker| tracker.idle_since().map(|since| (since, tracker)));
    if let Some((_, tracker)) = idle.min_by_key(|(since, _)| *since) {
        tracker.close();
    }
}

fn spawn_connection(stream: TcpStream, handler: &Rc<dyn RequestHandler>, state: &Rc<ServerState>) {
    let number = state.next_connection.get();
    state.next_connection.set(number + 1);
    let tracker = Rc::new(ConnectionTracker::new(Instant::now()));
    state
        .connections
        .borrow_mut()
        .insert(number, Rc::clone(&tracker));
    let handler = Rc::clone(handler);
    let entry = ConnectionEntry {
        state: Rc::clone(state),
        number,
    };
    actix_rt::spawn(async move {
        serve(stream, handler, &entry.state, Rc::clone(&tracker)).await;
        drop(entry);
    });
}

/// Removes the connection from the server's state when dropped, also if the
/// connection's task panics.
struct ConnectionEntry {
    state: Rc<ServerState>,
    number: u64,
}

impl Drop for ConnectionEntry {
    fn drop(&mut self) {
        self.state.connections.borrow_mut().remove(&self.number);
        self.state.connection_closed.notify_waiters();
    }
}

async fn serve(
    stream: TcpStream,
    handler: Rc<dyn RequestHandler>,
    state: &Rc<ServerState>,
    tracker: Rc<ConnectionTracker>,
) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("failed to set TCP_NODELAY: {error}");
    }
    let peer = stream.peer_addr().ok();
    let io = TrackedStream::new(stream, Rc::clone(&tracker));
    let request_service = {
        let (state, tracker) = (Rc::clone(state), Rc::clone(&tracker));
        fn_service(move |request: Request| {
            let (handler, state) = (Rc::clone(&handler), Rc::clone(&state));
            let running = tracker.begin_request();
            async move {
                let response = respond(request, &*handler, &state).await;
                drop(running);
                Ok::<_, Response<BoxBody>>(response)
            }
        })
    };
    let factory = HttpService::build()
        .client_request_timeout(state.limits.header_timeout)
        .client_disconnect_timeout(state.limits.write_timeout)
        .keep_alive(KeepAlive::Timeout(state.limits.idle_timeout))
        .finish(request_service);
    let Ok(service) = factory.new_service(()).await else {
        return;
    };
    let connection = service.call((io, Protocol::Http1, peer));
    tokio::select! {
        ended = connection => {
            if let Err(error) = ended {
                log::debug!("connection from {peer:?} ended: {error}");
            }
        }
        () = tracker.close_requested() => log::debug!("connection from {peer:?} closed by a timeout, the connection limit or shutdown"),
    }
}

async fn respond(
    request: Request,
    handler: &dyn RequestHandler,
    state: &ServerState,
) -> Response<BoxBody> {
    let mut response = if head_bytes(&request) > state.limits.max_header_bytes {
        RequestError::new(ErrorKind::HeadersTooLarge, "the request head is too large")
            .into_response(None)
    } else {
        let peer = request.peer_addr();
        handler.handle(request, peer).await
    };
    if state.draining_since.get().is_some() {
        response
            .head_mut()
            .set_connection_type(ConnectionType::Close);
    }
    response
}

fn head_bytes(request: &Request) -> usize {
    let headers = request.headers();
    let fields: usize = headers
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len() + 4)
        .sum();
    let query = request.uri().query().map_or(0, str::len);
    request.uri().path().len() + query + fields
}

async fn sweep_loop(state: Rc<ServerState>) {
    loop {
        actix_rt::time::sleep(SWEEP_INTERVAL).await;
        let now = Instant::now();
        let draining = state.draining_since.get();
        for tracker in state.connections.borrow().values() {
            if tracker.should_close(now, &state.limits, draining) {
                tracker.close();
            }
        }
    }
}

/// Reads a complete request body of at most `max_bytes` bytes within `timeout`.
///
/// # Errors
///
/// The rejection of a body that is too large, too slow or malformed.
pub(crate) async fn read_body(
    mut payload: Payload,
    max_bytes: u64,
    timeout: Duration,
) -> Result<Bytes, RequestError> {
    let read = async {
        let mut body = BytesMut::new();
        while let Some(chunk) = payload.next().await {
            let chunk = chunk.map_err(|error| {
                let message = format!("the request body is malformed: {error}");
                RequestError::new(ErrorKind::MalformedRequest, message)
            })?;
            if (body.len() + chunk.len()) as u64 > max_bytes {
                let message = format!("the request body is larger than {max_bytes} bytes");
                return Err(RequestError::new(ErrorKind::BodyTooLarge, message));
            }
            body.extend_from_slice(&chunk);
        }
        Ok(body.freeze())
    };
    actix_rt::time::timeout(timeout, read)
        .await
        .unwrap_or_else(|_elapsed| {
            let message = "the request body did not arrive in time";
            Err(RequestError::new(ErrorKind::SlowRequest, message))
        })
}
