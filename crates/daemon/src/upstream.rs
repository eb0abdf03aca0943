//! HTTP clients for backend servers.
//!
//! Each server has its own client with a bounded connection pool. A response is
//! read completely before it is forwarded. A connection is closed and not reused
//! if its response was truncated, late, abandoned or for another request.

pub(crate) mod connect;
mod response;

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use actix_http::Method;
use actix_http::header::{HeaderMap, HeaderName};
use awc::Client;
use awc::error::{ConnectError, SendRequestError};
use bytes::Bytes;
use futures_util::future::{Either, select};
use tarragonpulley_policy::ids::ServerKey;
use tarragonpulley_policy::retry::{AttemptFailure, RequestDeadline, RunOutcome};
use tarragonpulley_policy::routing::connection_share;

use crate::errors::REQUEST_ID_HEADER;
use crate::interfaces::SlotGuard;
use crate::metrics::RequestMetrics;
use connect::build_client;
pub(crate) use response::BackendResponse;
use response::{announces_leaving, is_mismatched, is_shed, read_response};

/// Header with the remaining time of a request in milliseconds.
pub(crate) const DEADLINE_HEADER: HeaderName = HeaderName::from_static("x-deadline-ms");

/// Minimum wait for the first byte of a response before a hedged attempt starts.
const MIN_HEDGE_DELAY: Duration = Duration::from_millis(100);

/// A hedged attempt starts after the typical time to the first byte multiplied by
/// the factor, but at most after the remaining time divided by the divisor.
const HEDGE_DELAY_FACTOR: u32 = 4;
const HEDGE_DEADLINE_DIVISOR: u32 = 4;

/// After this long without a response from the server, a non-idempotent request
/// is sent on a new connection, because the pooled ones may be broken. A new
/// connection costs about 1 ms.
const STALE_CONNECTION_TIME: Duration = Duration::from_secs(1);

/// A request to send to a backend server.
#[derive(Debug, Clone)]
pub(crate) struct BackendRequest {
    pub(crate) method: Method,
    /// The path of the route.
    pub(crate) route: String,
    /// Path and query below the service.
    pub(crate) target: String,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) request_id: String,
    pub(crate) deadline: RequestDeadline,
    /// Maximum response body in bytes.
    pub(crate) max_response_bytes: u64,
    /// Whether the request may run more than once.
    pub(crate) idempotent: bool,
}

/// How a hedged attempt may start when the first byte is late.
#[derive(Debug)]
pub(crate) enum HedgePermit {
    /// In parallel to the first attempt, with its own slot.
    Parallel(Box<dyn SlotGuard>),
    /// Instead of the first attempt, which gives up its connection and slot.
    Replace,
    /// Not allowed; the first attempt continues.
    Denied,
}

/// Callbacks of a running attempt into the pipeline.
pub(crate) trait AttemptHooks {
    /// Decides whether a hedged attempt may start. One that is allowed spends
    /// from the retry budget.
    fn permit_hedge(&self) -> HedgePermit;

    /// Records that the server announced its shutdown.
    fn record_leaving(&self);
}

type AttemptResult = Result<BackendResponse, AttemptFailure>;

/// The client of one server.
struct ServerClient {
    address: SocketAddr,
    connections: usize,
    client: RefCell<Rc<Client>>,
    /// Moving average of the time to the first byte, by route.
    first_byte: RefCell<BTreeMap<String, Duration>>,
    last_response: Cell<Option<Instant>>,
}

impl std::fmt::Debug for ServerClient {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("ServerClient")
            .field("address", &self.address)
            .finish_non_exhaustive()
    }
}

impl ServerClient {
    fn new(address: SocketAddr, limit: u32) -> Self {
        let connections = usize::try_from(connection_share(limit)).unwrap_or(usize::MAX);
        Self {
            address,
            connections,
            client: RefCell::new(build_client(address, connections)),
            first_byte: RefCell::default(),
            last_response: Cell::new(None),
        }
    }

    fn new_client(&self) -> Rc<Client> {
        build_client(self.address, self.connections)
    }

    fn current_client(&self) -> Rc<Client> {
        Rc::clone(&self.client.borrow())
    }

    /// Uses `client` for later requests. The connections of the old client are
    /// closed, those in use once their request ends.
    fn replace_client(&self, client: Rc<Client>) {
        *self.client.borrow_mut() = client;
    }

    fn hedge_delay(&self, request: &BackendRequest) -> Duration {
        let left = request.deadline.remaining(Instant::now());
        let latest = left.unwrap_or_default() / HEDGE_DEADLINE_DIVISOR;
        let typical = self.first_byte.borrow().get(&request.route).copied();
        typical
            .map_or(latest, |typical| (typical * HEDGE_DELAY_FACTOR).min(latest))
            .max(MIN_HEDGE_DELAY)
    }

    fn record_response(&self, route: &str, first_byte: Duration) {
        let mut times = self.first_byte.borrow_mut();
        let typical = times.entry(route.to_owned()).or_insert(first_byte);
        *typical = (*typical * 7 + first_byte) / 8;
        self.last_response.set(Some(Instant::now()));
    }

    fn is_stale(&self) -> bool {
        self.last_response
            .get()
            .is_none_or(|at| at.elapsed() > STALE_CONNECTION_TIME)
    }
}

/// The clients of all servers.
#[derive(Debug)]
pub(crate) struct UpstreamPool {
    clients: RefCell<BTreeMap<ServerKey, Rc<ServerClient>>>,
    metrics: RequestMetrics,
}

impl UpstreamPool {
    pub(crate) fn new(metrics: RequestMetrics) -> Self {
        Self {
            clients: RefCell::default(),
            metrics,
        }
    }

    fn client(&self, server: &ServerKey, address: SocketAddr, limit: u32) -> Rc<ServerClient> {
        let mut clients = self.clients.borrow_mut();
        match clients.get(server) {
            Some(known) if known.address == address => Rc::clone(known),
            _ => {
                let client = Rc::new(ServerClient::new(address, limit));
                clients.insert(server.clone(), Rc::clone(&client));
                client
            }
        }
    }

    /// Removes the clients of servers for which `keep` returns false.
    pub(crate) fn retain(&self, keep: &dyn Fn(&ServerKey) -> bool) {
        self.clients
            .borrow_mut()
            .retain(|server, _client| keep(server));
    }

    /// Runs one attempt, which ends by the request's deadline.
    ///
    /// # Errors
    ///
    /// The way in which the attempt failed.
    pub(crate) async fn attempt(
        &self,
        server: &ServerKey,
        address: SocketAddr,
        limit: u32,
        request: &BackendRequest,
        hooks: &dyn AttemptHooks,
    ) -> AttemptResult {
        let client = self.client(server, address, limit);
        let Some(left) = request.deadline.remaining(Instant::now()) else {
            return Err(AttemptFailure::NotConnected);
        };
        if !request.idempotent && client.is_stale() {
            client.replace_client(client.new_client());
        }
        self.metrics.attempts.inc();
        let run = async {
            if request.idempotent {
                self.send_hedged(&client, request, hooks).await
            } else {
                self.send(&client, client.current_client(), request, hooks)
                    .await
            }
        };
        let Ok(attempt) = actix_rt::time::timeout(left, run).await else {
            // The network path may have failed for all pooled connections.
            if left >= MIN_HEDGE_DELAY {
                self.adopt_client(&client, client.new_client());
            }
            return Err(AttemptFailure::TimedOut);
        };
        attempt
    }

    /// Sends the request, with a hedged attempt on a new connection if the first
    /// byte is late. The first response wins; the other attempt is dropped with
    /// its connection.
    async fn send_hedged(
        &self,
        client: &Rc<ServerClient>,
        request: &BackendRequest,
        hooks: &dyn AttemptHooks,
    ) -> AttemptResult {
        let first = Box::pin(self.send(client, client.current_client(), request, hooks));
        let late = Box::pin(actix_rt::time::sleep(client.hedge_delay(request)));
        let first = match select(first, late).await {
            Either::Left((response, _)) => return response,
            Either::Right(((), first)) => first,
        };
        let permit = hooks.permit_hedge();
        if matches!(permit, HedgePermit::Denied) {
            return first.await;
        }
        self.metrics.races.inc();
        self.metrics.attempts.inc();
        let new_client = client.new_client();
        let second = Box::pin(self.send(client, Rc::clone(&new_client), request, hooks));
        let HedgePermit::Parallel(_slot) = permit else {
            drop(first);
            let response = second
                .await
                .map_err(|other| less_certain_failure(AttemptFailure::TimedOut, other))?;
            self.adopt_client(client, new_client);
            return Ok(response);
        };
        match select(first, second).await {
            Either::Left((Ok(response), _)) => Ok(response),
            Either::Left((Err(failure), second)) => {
                let response = second
                    .await
                    .map_err(|other| less_certain_failure(failure, other))?;
                self.adopt_client(client, new_client);
                Ok(response)
            }
            Either::Right((Ok(response), _)) => {
                self.adopt_client(client, new_client);
                Ok(response)
            }
            Either::Right((Err(failure), first)) => first
                .await
                .map_err(|other| less_certain_failure(failure, other)),
        }
    }

    fn adopt_client(&self, client: &ServerClient, new_client: Rc<Client>) {
        client.replace_client(new_client);
        self.metrics.replaced_connections.inc();
    }

    async fn send(
        &self,
        server: &ServerClient,
        client: Rc<Client>,
        request: &BackendRequest,
        hooks: &dyn AttemptHooks,
    ) -> AttemptResult {
        let started = Instant::now();
        let Some(left) = request.deadline.remaining(started) else {
            return Err(AttemptFailure::NotConnected);
        };
        let uri = format!("http://{}{}", server.address, request.target);
        let mut outgoing = client.request(request.method.clone(), uri);
        *outgoing.headers_mut() = request.headers.clone();
        let left = u64::try_from(left.as_millis()).unwrap_or(u64::MAX);
        outgoing = outgoing
            .no_decompress()
            .insert_header((REQUEST_ID_HEADER, request.request_id.as_str()))
            .insert_header((DEADLINE_HEADER, left));
        let sent = if request.body.is_empty() && request.method.is_safe() {
            outgoing.send()
        } else {
            outgoing.send_body(request.body.clone())
        };
        let response = sent.await.map_err(|error| classify_error(&error))?;
        let first_byte = started.elapsed();

        if is_mismatched(response.headers(), &request.request_id) {
            // Responses on the other connections may be mismatched too.
            server.replace_client(server.new_client());
            self.metrics.replaced_connections.inc();
            return Err(AttemptFailure::InvalidResponse);
        }
        if announces_leaving(response.headers()) {
            hooks.record_leaving();
        }
        let response = read_response(response, request.max_response_bytes).await?;
        server.record_response(&request.route, first_byte);
        if is_shed(&response) {
            return Err(AttemptFailure::Shed);
        }
        Ok(response)
    }
}

/// Combines the failures of two attempts: the request counts as not run only if
/// neither attempt ran.
fn less_certain_failure(one: AttemptFailure, other: AttemptFailure) -> AttemptFailure {
    if one.outcome() == RunOutcome::NotRun {
        other
    } else {
        one
    }
}

fn classify_error(error: &SendRequestError) -> AttemptFailure {
    match error {
        // The client reports `Disconnected` if a connection closes after the
        // request was sent.
        SendRequestError::Connect(ConnectError::Disconnected)
        | SendRequestError::Response(actix_http::error::ParseError::Io(_))
        | SendRequestError::Send(_) => AttemptFailure::ConnectionBroken,
        SendRequestError::Connect(_) | SendRequestError::Url(_) => AttemptFailure::NotConnected,
        SendRequestError::Timeout => AttemptFailure::TimedOut,
        _ => AttemptFailure::InvalidResponse,
    }
}
