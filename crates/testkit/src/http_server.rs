//! A small HTTP/1 server for the stand-ins, run on the caller's thread.

use std::cell::Cell;
use std::convert::Infallible;
use std::fmt::Debug;
use std::io::{Read, Write};
use std::net::SocketAddr;
use std::rc::Rc;
use std::thread;
use std::time::Duration;

use actix_http::body::BoxBody;
use actix_http::header::CONTENT_TYPE;
use actix_http::{HttpService, KeepAlive, Request, Response, StatusCode};
use actix_rt::net::TcpStream;
use actix_service::{Service, ServiceFactory, fn_service};
use bytes::{Bytes, BytesMut};
use eyre::{Result, ensure, eyre};
use futures_util::StreamExt;
use futures_util::future::LocalBoxFuture;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::TcpListener;
use tokio::sync::Notify;

/// Longer than any client in the workspace keeps an idle connection.
const KEEP_ALIVE: Duration = Duration::from_secs(75);
/// The largest response that a contract allows is stored as one object.
const MAX_BODY_BYTES: usize = 64 * 1024 * 1024;

/// Closes a connection without sending a response.
#[derive(Debug, Clone, Default)]
pub(crate) struct ConnectionCloser(Rc<Notify>);

impl ConnectionCloser {
    /// Closes the connection. Never resolves: the connection drops the handler's
    /// future, which waits here.
    pub(crate) async fn close(&self) -> ! {
        self.0.notify_one();
        std::future::pending().await
    }
}

/// Connection counters of a server.
#[derive(Debug, Default)]
pub(crate) struct ConnectionCount {
    pub(crate) open: Cell<u64>,
    /// The maximum of `open` so far.
    pub(crate) max_open: Cell<u64>,
    pub(crate) accepted: Cell<u64>,
}

struct OpenConnection(Rc<ConnectionCount>);

impl OpenConnection {
    fn new(count: Rc<ConnectionCount>) -> Self {
        count.open.set(count.open.get() + 1);
        count
            .max_open
            .set(count.max_open.get().max(count.open.get()));
        count.accepted.set(count.accepted.get() + 1);
        Self(count)
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.open.set(self.0.open.get() - 1);
    }
}

/// Request handler of a stand-in.
pub(crate) trait StandinService: Debug {
    fn handle(
        self: Rc<Self>,
        request: Request,
        closer: ConnectionCloser,
    ) -> LocalBoxFuture<'static, Response<BoxBody>>;
}

/// Accepts and serves connections until `accept` fails.
pub(crate) async fn serve(
    listener: TcpListener,
    service: Rc<dyn StandinService>,
    count: Rc<ConnectionCount>,
) -> Result<()> {
    loop {
        let (stream, _peer) = listener.accept().await?;
        let service = Rc::clone(&service);
        let connection = OpenConnection::new(Rc::clone(&count));
        actix_rt::spawn(async move {
            let _connection = connection;
            serve_connection(stream, service).await;
        });
    }
}

async fn serve_connection(stream: TcpStream, service: Rc<dyn StandinService>) {
    let closer = ConnectionCloser::default();
    let handler_closer = closer.clone();
    let factory = HttpService::build()
        .keep_alive(KeepAlive::Timeout(KEEP_ALIVE))
        // Injected delays may exceed the default timeout for the request head.
        .client_request_timeout(Duration::ZERO)
        // A request is cancelled when its client closes the connection.
        .h1_allow_half_closed(false)
        .finish(fn_service(move |request: Request| {
            let response = Rc::clone(&service).handle(request, handler_closer.clone());
            async move { Ok::<_, Infallible>(response.await) }
        }))
        .tcp();
    let Ok(connection) = factory.new_service(()).await else {
        return;
    };
    tokio::select! {
        // Connection errors are left to the client to report.
        _result = connection.call(stream) => {}
        () = closer.0.notified() => {}
    }
}

/// Prints `{label} {address}`, the line that
/// [`Process::wait_for_address`](crate::Process::wait_for_address) waits for.
///
/// # Errors
///
/// When stdout is closed.
pub fn print_address(label: &str, address: SocketAddr) -> Result<()> {
    let mut output = std::io::stdout().lock();
    writeln!(output, "{label} {address}")?;
    output.flush()?;
    Ok(())
}

/// Exits the process when its stdin closes, so that a stand-in doesn't outlive
/// a test that was killed.
pub(crate) fn exit_when_stdin_closes() {
    thread::spawn(|| {
        let mut sink = Vec::new();
        let _result = std::io::stdin().read_to_end(&mut sink);
        std::process::exit(0);
    });
}

pub(crate) async fn read_body(request: &mut Request) -> Result<Bytes> {
    let mut payload = request.take_payload();
    let mut body = BytesMut::new();
    while let Some(chunk) = payload.next().await {
        let chunk = chunk.map_err(|error| eyre!("request body: {error}"))?;
        ensure!(
            body.len() + chunk.len() <= MAX_BODY_BYTES,
            "the request body is longer than {MAX_BODY_BYTES} bytes"
        );
        body.extend_from_slice(&chunk);
    }
    Ok(body.freeze())
}

pub(crate) async fn read_json<T: DeserializeOwned>(request: &mut Request) -> Result<T> {
    Ok(serde_json::from_slice(&read_body(request).await?)?)
}

pub(crate) fn json(status: StatusCode, value: &impl Serialize) -> Response<BoxBody> {
    match serde_json::to_vec(value) {
        Ok(body) => Response::build(status)
            .insert_header((CONTENT_TYPE, "application/json"))
            .body(body)
            .map_into_boxed_body(),
        Err(error) => text(StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
    }
}

pub(crate) fn text(status: StatusCode, body: impl Into<String>) -> Response<BoxBody> {
    Response::build(status)
        .body(body.into())
        .map_into_boxed_body()
}

/// Responds to a control request with 200 and the result as JSON, or with 400
/// and the error as text.
pub(crate) fn control_response<T: Serialize>(result: Result<T>) -> Response<BoxBody> {
    match result {
        Ok(value) => json(StatusCode::OK, &value),
        Err(error) => text(StatusCode::BAD_REQUEST, format!("{error:#}")),
    }
}
