//! Attempts on backend servers.
//!
//! Each server has its own HTTP client with a bounded pool of connections. An
//! answer is read to its end before it is passed on. A connection whose answer
//! was cut, crossed, late or abandoned is closed and never used again.

mod answer;
pub(crate) mod connect;

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
pub(crate) use answer::BackendAnswer;
use answer::{is_crossed, is_shed, read_answer, says_leaving};
use connect::build_client;

/// Tells the backend server how many milliseconds are left.
pub(crate) const DEADLINE_HEADER: HeaderName = HeaderName::from_static("x-deadline-ms");

/// Least wait for a first byte before a second attempt starts.
const MIN_LATE_AFTER: Duration = Duration::from_millis(100);

/// A first byte is late after this multiple of its usual time, and at the
/// latest after this part of the remaining time.
const LATE_FACTOR: u32 = 4;
const LATE_PART: u32 = 4;

/// Connections that answered nothing for this long are not trusted with a
/// request that cannot be repeated; a new one costs about 1 ms.
const QUIET_TIME: Duration = Duration::from_secs(1);

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
    pub(crate) max_answer: u64,
    /// Whether it may run more than once.
    pub(crate) idempotent: bool,
}

/// How a second attempt may start when a first byte is late.
#[derive(Debug)]
pub(crate) enum RacePermit {
    /// Beside the first one, with a slot of its own.
    Beside(Box<dyn SlotGuard>),
    /// In place of the first one, which gives up its connection and slot.
    Instead,
    /// Not at all.
    Refused,
}

/// What an attempt asks of the pipeline while it runs.
pub(crate) trait AttemptHost {
    /// Allows a second attempt, which costs a part of the retry budget.
    fn permit_race(&self) -> RacePermit;

    /// Notes that the server said that it is leaving.
    fn note_leaving(&self);
}

type Attempt = Result<BackendAnswer, AttemptFailure>;

/// The client of one server.
struct ServerClient {
    address: SocketAddr,
    connections: usize,
    client: RefCell<Rc<Client>>,
    /// Smoothed time to the first byte by route.
    first_byte: RefCell<BTreeMap<String, Duration>>,
    last_answer: Cell<Option<Instant>>,
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
            last_answer: Cell::new(None),
        }
    }

    fn fresh(&self) -> Rc<Client> {
        build_client(self.address, self.connections)
    }

    fn current(&self) -> Rc<Client> {
        Rc::clone(&self.client.borrow())
    }

    /// Takes `client` for later requests. The connections of the old one are
    /// closed, those in use as soon as their request ends.
    fn replace(&self, client: Rc<Client>) {
        *self.client.borrow_mut() = client;
    }

    fn late_after(&self, request: &BackendRequest) -> Duration {
        let left = request.deadline.remaining(Instant::now());
        let latest = left.unwrap_or_default() / LATE_PART;
        let usual = self.first_byte.borrow().get(&request.route).copied();
        usual
            .map_or(latest, |usual| (usual * LATE_FACTOR).min(latest))
            .max(MIN_LATE_AFTER)
    }

    fn note_answer(&self, route: &str, first_byte: Duration) {
        let mut times = self.first_byte.borrow_mut();
        let usual = times.entry(route.to_owned()).or_insert(first_byte);
        *usual = (*usual * 7 + first_byte) / 8;
        self.last_answer.set(Some(Instant::now()));
    }

    fn is_quiet(&self) -> bool {
        self.last_answer
            .get()
            .is_none_or(|at| at.elapsed() > QUIET_TIME)
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
        host: &dyn AttemptHost,
    ) -> Attempt {
        let client = self.client(server, address, limit);
        let Some(left) = request.deadline.remaining(Instant::now()) else {
            return Err(AttemptFailure::NotConnected);
        };
        if !request.idempotent && client.is_quiet() {
            client.replace(client.fresh());
        }
        self.metrics.attempts.inc();
        let run = async {
            if request.idempotent {
                self.race(&client, request, host).await
            } else {
                self.send(&client, client.current(), request, host).await
            }
        };
        let Ok(attempt) = actix_rt::time::timeout(left, run).await else {
            // The other connections may have gone silent at the same time.
            if left >= MIN_LATE_AFTER {
                self.adopt(&client, client.fresh());
            }
            return Err(AttemptFailure::TimedOut);
        };
        attempt
    }

    /// Sends the request, and once more on a new connection when the first
    /// byte is late. The first answer wins, and the other attempt is dropped
    /// with its connection.
    async fn race(
        &self,
        client: &Rc<ServerClient>,
        request: &BackendRequest,
        host: &dyn AttemptHost,
    ) -> Attempt {
        let first = Box::pin(self.send(client, client.current(), request, host));
        let late = Box::pin(actix_rt::time::sleep(client.late_after(request)));
        let first = match select(first, late).await {
            Either::Left((answer, _)) => return answer,
            Either::Right(((), first)) => first,
        };
        let permit = host.permit_race();
        if matches!(permit, RacePermit::Refused) {
            return first.await;
        }
        self.metrics.races.inc();
        self.metrics.attempts.inc();
        let fresh = client.fresh();
        let second = Box::pin(self.send(client, Rc::clone(&fresh), request, host));
        let RacePermit::Beside(_slot) = permit else {
            drop(first);
            let answer = second
                .await
                .map_err(|other| less_certain(AttemptFailure::TimedOut, other))?;
            self.adopt(client, fresh);
            return Ok(answer);
        };
        match select(first, second).await {
            Either::Left((Ok(answer), _)) => Ok(answer),
            Either::Left((Err(failure), second)) => {
                let answer = second.await.map_err(|other| less_certain(failure, other))?;
                self.adopt(client, fresh);
                Ok(answer)
            }
            Either::Right((Ok(answer), _)) => {
                self.adopt(client, fresh);
                Ok(answer)
            }
            Either::Right((Err(failure), first)) => {
                first.await.map_err(|other| less_certain(failure, other))
            }
        }
    }

    fn adopt(&self, client: &ServerClient, fresh: Rc<Client>) {
        client.replace(fresh);
        self.metrics.replaced_connections.inc();
    }

    async fn send(
        &self,
        server: &ServerClient,
        client: Rc<Client>,
        request: &BackendRequest,
        host: &dyn AttemptHost,
    ) -> Attempt {
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
        let response = sent.await.map_err(|error| failure_of(&error))?;
        let first_byte = started.elapsed();

        if is_crossed(response.headers(), &request.request_id) {
            // Other connections may be out of step with their requests too.
            server.replace(server.fresh());
            self.metrics.replaced_connections.inc();
            return Err(AttemptFailure::InvalidResponse);
        }
        if says_leaving(response.headers()) {
            host.note_leaving();
        }
        let answer = read_answer(response, request.max_answer).await?;
        server.note_answer(&request.route, first_byte);
        if is_shed(&answer) {
            return Err(AttemptFailure::Shed);
        }
        Ok(answer)
    }
}

/// The failure of two attempts: the request did not run only when neither did.
fn less_certain(one: AttemptFailure, other: AttemptFailure) -> AttemptFailure {
    if one.outcome() == RunOutcome::NotRun {
        other
    } else {
        one
    }
}

fn failure_of(error: &SendRequestError) -> AttemptFailure {
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
