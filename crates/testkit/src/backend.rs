//! The backend stand-in: an HTTP server with a limited number of slots that
//! simulates work and sheds excess load. Control messages make it drain, fail or
//! report false health.

mod state;

use std::cell::{Cell, RefCell};
use std::io;
use std::rc::Rc;
use std::time::{Duration, Instant};

use actix_http::body::{BoxBody, SizedStream};
use actix_http::{Request, Response, StatusCode};
use bytes::Bytes;
use eyre::{Result, eyre};
use futures_util::future::LocalBoxFuture;
use futures_util::{FutureExt, StreamExt, stream};
use gumdrop::Options;
use serde_json::json;
use sha2::{Digest, Sha256};
use tokio::net::TcpListener;

use state::{BackendState, RequestFaults, start_run};

use crate::control::{BackendCounts, ServiceMode};
use crate::http_server::{
    ConnectionCloser, ConnectionCount, StandinService, control_response, exit_when_stdin_closes,
    json as json_response, print_address, read_body, read_json, serve, text,
};

const SAMPLE_INTERVAL: Duration = Duration::from_millis(20);
/// Delay between the first half of a truncated body and the close of the
/// connection, so that the half is sent.
const TRUNCATION_DELAY: Duration = Duration::from_millis(20);
const CRASH_STATUS: i32 = 70;

/// Options of `standin-backend`.
#[derive(Debug, Options)]
pub struct BackendOptions {
    /// Prints help.
    #[options(help = "print this help")]
    help: bool,
    /// Listen address.
    #[options(
        help = "address to listen on",
        default = "127.0.0.1:0",
        meta = "ADDRESS"
    )]
    listen: String,
    /// Server name in responses.
    #[options(help = "name of the server", default = "server")]
    name: String,
    /// Service version in responses.
    #[options(help = "version of the server", default = "v1")]
    version: String,
    /// Maximum number of concurrent requests; excess requests are shed.
    #[options(help = "requests run at the same time", default = "4")]
    slots: u32,
    /// Work time of a request.
    #[options(help = "work time of a request in ms", default = "5")]
    work_ms: u64,
    /// Length of the cold start, in which work takes longer.
    #[options(help = "length of the cold start in ms", default = "0")]
    cold_ms: u64,
    /// Factor on the work time at the start; falls linearly to 1 over `cold_ms`.
    #[options(help = "work time factor at the start", default = "4.0")]
    cold_factor: f64,
    /// Seed for the choice of requests that a fault applies to.
    #[options(help = "seed of the failures", default = "1")]
    seed: u64,
    /// Exits when its launcher does.
    #[options(help = "exit when stdin closes")]
    until_stdin_closes: bool,
}

/// Counts a request as running until it is dropped, whether the request finished
/// or was cancelled.
struct RunGuard {
    standin: Rc<BackendStandin>,
    path: String,
    key: Option<String>,
    finished: Cell<bool>,
}

impl RunGuard {
    fn new(standin: Rc<BackendStandin>, path: String, key: Option<String>) -> Self {
        let mut state = standin.state.borrow_mut();
        state.running += 1;
        start_run(&mut state.counts.all);
        start_run(state.counts.by_path.entry(path.clone()).or_default());
        if let Some(key) = &key {
            start_run(state.counts.by_key.entry(key.clone()).or_default());
        }
        drop(state);
        Self {
            standin,
            path,
            key,
            finished: Cell::new(false),
        }
    }
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        let finished = u64::from(self.finished.get());
        let mut state = self.standin.state.borrow_mut();
        state.running -= 1;
        let BackendCounts {
            all,
            by_path,
            by_key,
            ..
        } = &mut state.counts;
        let path_count = by_path.get_mut(&self.path);
        let key_count = self.key.as_ref().and_then(|key| by_key.get_mut(key));
        for count in [Some(all), path_count, key_count].into_iter().flatten() {
            count.running -= 1;
            count.finished += finished;
        }
    }
}

#[derive(Debug)]
struct BackendStandin {
    state: RefCell<BackendState>,
    options: BackendOptions,
    started: Instant,
    connections: Rc<ConnectionCount>,
}

impl BackendStandin {
    /// The factor on the work time, which falls linearly to 1 over the cold start.
    fn cold_factor(&self) -> f64 {
        let cold = Duration::from_millis(self.options.cold_ms);
        let left = cold.saturating_sub(self.started.elapsed());
        if left.is_zero() {
            return 1.0;
        }
        1.0 + (self.options.cold_factor - 1.0) * left.div_duration_f64(cold)
    }

    async fn health(&self, closer: &ConnectionCloser) -> Response<BoxBody> {
        self.state.borrow_mut().counts.probes += 1;
        let mode = self.state.borrow().health.mode;
        match mode {
            ServiceMode::Up => {}
            ServiceMode::Refuse => return text(StatusCode::INTERNAL_SERVER_ERROR, ""),
            ServiceMode::Close => closer.close().await,
            ServiceMode::Hang => std::future::pending().await,
        }
        let state = self.state.borrow();
        let sample = state.delayed_sample();
        let overrides = &state.health;
        let uptime = u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX);
        json_response(
            StatusCode::OK,
            &json!({
                "healthy": overrides.healthy.unwrap_or(true),
                "leaving": overrides.leaving.unwrap_or(sample.leaving),
                "load": overrides.load.unwrap_or(sample.load),
                "uptime_ms": overrides.uptime_ms.unwrap_or(uptime),
            }),
        )
    }

    fn counts(&self) -> BackendCounts {
        BackendCounts {
            connections: self.connections.open.get(),
            most_connections: self.connections.max_open.get(),
            accepted_connections: self.connections.accepted.get(),
            ..self.state.borrow().counts.clone()
        }
    }

    async fn work(self: Rc<Self>, mut request: Request) -> Response<BoxBody> {
        self.state.borrow_mut().record_arrival(&request);
        let body = match read_body(&mut request).await {
            Ok(body) => body,
            Err(error) => return text(StatusCode::BAD_REQUEST, error.to_string()),
        };
        self.crash_on_marker(&body);
        let path = request.path().to_owned();
        let (faults, work) = {
            let mut state = self.state.borrow_mut();
            if state.running >= state.slots {
                state.counts.shed += 1;
                return shed_response();
            }
            (state.draw_faults(&path), state.work)
        };
        let key = header(&request, "idempotency-key");
        let run = RunGuard::new(Rc::clone(&self), path.clone(), key.clone());
        actix_rt::time::sleep(work.mul_f64(self.cold_factor()) + faults.added_work).await;
        let response = self.work_response(&request, &path, key.as_deref(), &body, &faults);
        run.finished.set(true);
        response
    }

    fn crash_on_marker(&self, body: &[u8]) {
        let state = self.state.borrow();
        let crash = state.fault.crash_marker.as_ref().is_some_and(|marker| {
            !marker.is_empty() && body.windows(marker.len()).any(|w| w == marker.as_bytes())
        });
        if crash {
            std::process::exit(CRASH_STATUS);
        }
    }

    fn work_response(
        &self,
        request: &Request,
        path: &str,
        key: Option<&str>,
        body: &[u8],
        faults: &RequestFaults,
    ) -> Response<BoxBody> {
        let request_id = header(request, "x-request-id").unwrap_or_default();
        let content = json!({
            "server": self.options.name,
            "version": self.options.version,
            "method": request.method().as_str(),
            "path": path,
            "key": key,
            "request_id": request_id,
            "body_bytes": body.len(),
            "body_sha256": format!("{:x}", Bytes::copy_from_slice(&Sha256::digest(body))),
            "padding": "x".repeat(self.state.borrow().answer_bytes),
        });
        let status = if faults.fail {
            StatusCode::INTERNAL_SERVER_ERROR
        } else {
            StatusCode::OK
        };
        let echoed_id = if faults.wrong_id {
            format!("other-{request_id}")
        } else {
            request_id
        };
        let bytes = Bytes::from(content.to_string());
        let mut response = Response::build(status);
        response
            .insert_header(("content-type", "application/json"))
            .insert_header(("x-request-id", echoed_id));
        if faults.truncate {
            response.body(truncated_body(&bytes)).map_into_boxed_body()
        } else {
            response.body(bytes).map_into_boxed_body()
        }
    }
}

/// A body with the content length of `whole` that ends half-way.
fn truncated_body(
    whole: &Bytes,
) -> SizedStream<impl futures_util::Stream<Item = io::Result<Bytes>> + use<>> {
    let half = whole.slice(..whole.len() / 2);
    let rest = stream::once(async {
        actix_rt::time::sleep(TRUNCATION_DELAY).await;
        Err(io::Error::other("injected truncation of the body"))
    });
    let parts = stream::once(async move { Ok(half) }).chain(rest);
    SizedStream::new(whole.len() as u64, Box::pin(parts))
}

fn shed_response() -> Response<BoxBody> {
    Response::build(StatusCode::SERVICE_UNAVAILABLE)
        .insert_header(("x-outcome", "not-run"))
        .body("all slots are in use")
        .map_into_boxed_body()
}

fn header(request: &Request, name: &str) -> Option<String> {
    let value = request.head().headers.get(name)?;
    value.to_str().ok().map(str::to_owned)
}

impl StandinService for BackendStandin {
    fn handle(
        self: Rc<Self>,
        mut request: Request,
        closer: ConnectionCloser,
    ) -> LocalBoxFuture<'static, Response<BoxBody>> {
        async move {
            match request.path() {
                "/health" => self.health(&closer).await,
                "/control" => {
                    let message = read_json(&mut request).await;
                    let result =
                        message.and_then(|message| self.state.borrow_mut().apply_control(message));
                    control_response(result.map(|()| json!({})))
                }
                "/control/counts" => json_response(StatusCode::OK, &self.counts()),
                _ => self.work(request).await,
            }
        }
        .boxed_local()
    }
}

async fn sample_health(standin: Rc<BackendStandin>) {
    loop {
        standin.state.borrow_mut().record_sample();
        actix_rt::time::sleep(SAMPLE_INTERVAL).await;
    }
}

/// Runs `standin-backend`.
///
/// # Errors
///
/// When the address is invalid or in use, or accepting connections fails.
pub async fn run_backend(options: BackendOptions) -> Result<()> {
    if options.until_stdin_closes {
        exit_when_stdin_closes();
    }
    let listener = TcpListener::bind(&options.listen)
        .await
        .map_err(|error| eyre!("cannot listen on {}: {error}", options.listen))?;
    let connections = Rc::new(ConnectionCount::default());
    let standin = Rc::new(BackendStandin {
        state: RefCell::new(BackendState::new(&options)),
        options,
        started: Instant::now(),
        connections: Rc::clone(&connections),
    });
    actix_rt::spawn(sample_health(Rc::clone(&standin)));
    print_address("listening", listener.local_addr()?)?;
    serve(listener, standin, connections).await
}
