//! Attempts on backend servers.
//!
//! Each server has its own HTTP client with a bounded pool of connections. An
//! answer is read to its end before it is passed on. A connection whose answer
//! was cut, crossed, late or abandoned is closed and never used again.

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

use crate::border::SlotGuard;
use crate::errors::REQUEST_ID_HEADER;
use crate::metrics::RequestMetrics;
use connect::build_client;
pub(crate) use response::BackendResponse;
use response::{announces_leaving, is_mismatched, is_shed, read_response};

/// Tells the backend server how many milliseconds are left.
pub(crate) const DEADLINE_HEADER: HeaderName = HeaderName::from_static("x-deadline-ms");

/// Least wait for a first byte before a second attempt starts.
const MIN_HEDGE_DELAY: Duration = Duration::from_millis(100);

/// A first byte is late after this multiple of its usual time, and at the
/// latest after this part of the remaining time.
const HEDGE_DELAY_FACTOR: u32 = 4;
const HEDGE_DEADLINE_DIVISOR: u32 = 4;

/// Connections that answered nothing for this long are not trusted with a
/// request that cannot be repeated; a new one costs about 1 ms.
const STALE_CONNECTION_TIME: Duration = Duration::from_secs(1);

/// A request as it is sent to a backend server.
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
    /// Largest answer body in bytes.
    pub(crate) max_response_bytes: u64,
    /// Whether it may run more than once.
    pub(crate) idempotent: bool,
}

/// How a second attempt may start when a first byte is late.
#[derive(Debug)]
pub(crate) enum HedgePermit {
    /// Beside the first one, with a slot of its own.
    Parallel(Box<dyn SlotGuard>),
    /// In place of the first one, which gives up its connection and slot.
    Replace,
    /// Not at all.
    Denied,
}

/// What an attempt asks of the pipeline while it runs.
pub(crate) trait AttemptHooks {
    /// Allows a second attempt, which costs a part of the retry budget.
    fn permit_hedge(&self) -> HedgePermit;

    /// Notes that the server said that it is leaving.
    fn record_leaving(&self);
}

type AttemptResult = Result<BackendResponse, AttemptFailure>;

/// The client of one server.
struct ServerClient {
    address: SocketAddr,
    connections: usize,
    client: RefCell<Rc<Client>>,
    /// Smoothed time to the first byte by route.
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

    /// Takes `client` for later requests. The connections of the old one are
    /// closed, those in use as soon as their request ends.
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

    /// Drops the clients of servers that `keep` refuses.
    pub(crate) fn retain(&self, keep: &dyn Fn(&ServerKey) -> bool) {
        self.clients
            .borrow_mut()
            .retain(|server, _client| keep(server));
    }

    /// Runs one attempt. It ends by the deadline of the request.
    ///
    /// # Errors
    ///
    /// How the attempt failed.
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
            // The other connections may have gone silent at the same time.
            if left >= MIN_HEDGE_DELAY {
                self.adopt_client(&client, client.new_client());
            }
            return Err(AttemptFailure::TimedOut);
        };
        attempt
    }

    /// Sends the request, and once more on a new connection when the first
    /// byte is late. The first answer wins, and the other attempt is dropped
    /// with its connection.
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
            // Other connections may be out of step with their requests too.
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

/// The failure of two attempts: the request did not run only when neither did.
fn less_certain_failure(one: AttemptFailure, other: AttemptFailure) -> AttemptFailure {
    if one.outcome() == RunOutcome::NotRun {
        other
    } else {
        one
    }
}

fn classify_error(error: &SendRequestError) -> AttemptFailure {
    match error {
        // The client says "disconnected" when a connection ends after the
        // request was sent.
        SendRequestError::Connect(ConnectError::Disconnected)
        | SendRequestError::Response(actix_http::error::ParseError::Io(_))
        | SendRequestError::Send(_) => AttemptFailure::ConnectionBroken,
        SendRequestError::Connect(_) | SendRequestError::Url(_) => AttemptFailure::NotConnected,
        SendRequestError::Timeout => AttemptFailure::TimedOut,
        _ => AttemptFailure::InvalidResponse,
    }
}
