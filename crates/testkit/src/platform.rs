//! The platform stand-in: in-memory table service, object store and instance
//! list on one port, with fault injection.

use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use actix_http::body::BoxBody;
use actix_http::{Method, Request, Response, StatusCode};
use bytes::Bytes;
use eyre::{Result, eyre};
use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use gumdrop::Options;
use serde_json::json;
use tokio::net::TcpListener;

use crate::control::{
    CatalogRecord, LoseMode, PlatformControl, PlatformCounts, RateCount, ServiceFault, ServiceMode,
};
use crate::http_server::{
    ConnectionCloser, ConnectionCount, StandinService, control_response, exit_when_stdin_closes,
    json as json_response, print_address, read_body, read_json, serve, text,
};
use crate::table::{MAX_REQUEST_BYTES, MemoryTable, TableError};

/// Seconds for which counts per second are kept.
const MAX_COUNTED_SECONDS: usize = 600;
const CATALOG_PATH: &str = "/v1/catalog/service/tarragonpulley";

/// Options of `standin-platform`.
#[derive(Debug, Options)]
pub struct PlatformOptions {
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
    /// Exits when its launcher does.
    #[options(help = "exit when stdin closes")]
    until_stdin_closes: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum PlatformService {
    Table,
    Objects,
    List,
}

impl PlatformService {
    const fn name(self) -> &'static str {
        match self {
            Self::Table => "table",
            Self::Objects => "objects",
            Self::List => "list",
        }
    }
}

#[derive(Debug)]
enum ListChange {
    Register(CatalogRecord),
    Deregister(String),
}

/// An instance list that applies changes after a propagation delay.
#[derive(Debug, Default)]
struct LaggingList {
    visible: BTreeMap<String, CatalogRecord>,
    pending: VecDeque<(Instant, ListChange)>,
    lag: Duration,
    peer_views: BTreeMap<String, BTreeMap<String, SocketAddr>>,
}

impl LaggingList {
    fn schedule(&mut self, change: ListChange) {
        let due = Instant::now() + self.lag;
        // Keeps changes in order when the lag is reduced.
        let visible_at = self.pending.back().map_or(due, |(last, _)| due.max(*last));
        self.pending.push_back((visible_at, change));
    }

    fn read(&mut self, viewer: Option<&str>) -> Vec<CatalogRecord> {
        let now = Instant::now();
        while self.pending.front().is_some_and(|(due, _)| *due <= now) {
            match self.pending.pop_front() {
                Some((_, ListChange::Register(record))) => {
                    self.visible.insert(record.id.clone(), record);
                }
                Some((_, ListChange::Deregister(id))) => {
                    self.visible.remove(&id);
                }
                None => {}
            }
        }
        let view = viewer.and_then(|name| self.peer_views.get(name));
        let mut records: Vec<_> = self.visible.values().cloned().collect();
        for record in &mut records {
            if let Some(address) = view.and_then(|view| view.get(&record.id)) {
                record
                    .meta
                    .insert("peer_address".to_owned(), address.to_string());
            }
        }
        records
    }
}

#[derive(Debug)]
struct PlatformState {
    table: MemoryTable,
    objects: BTreeMap<String, Bytes>,
    list: LaggingList,
    faults: BTreeMap<PlatformService, ServiceFault>,
    counts: PlatformCounts,
    started: Instant,
}

impl PlatformState {
    fn count(&mut self, service: PlatformService, write: bool) {
        let second = self.started.elapsed().as_secs();
        let name = service.name().to_owned();
        let seconds = self.counts.seconds.entry(name.clone()).or_default();
        while seconds.len() > MAX_COUNTED_SECONDS {
            seconds.pop_first();
        }
        let total = self.counts.totals.entry(name).or_default();
        for count in [total, seconds.entry(second).or_default()] {
            let RateCount { reads, writes } = count;
            *(if write { writes } else { reads }) += 1;
        }
    }

    fn fault(&self, service: PlatformService) -> ServiceFault {
        self.faults.get(&service).copied().unwrap_or_default()
    }

    /// Whether and how the response to this write is lost. Decrements the number
    /// of responses to lose.
    fn take_lost_response(&mut self, service: PlatformService) -> Option<LoseMode> {
        let fault = self.faults.get_mut(&service)?;
        fault.lose_writes = fault.lose_writes.checked_sub(1)?;
        Some(fault.lose_mode)
    }

    fn apply_control(&mut self, message: PlatformControl) {
        let faults = [
            (PlatformService::Table, message.table),
            (PlatformService::Objects, message.objects),
            (PlatformService::List, message.list),
        ];
        for (service, fault) in faults {
            if let Some(fault) = fault {
                self.faults.insert(service, fault);
            }
        }
        if let Some(lag) = message.list_lag_ms {
            self.list.lag = Duration::from_millis(lag);
        }
        if let Some(views) = message.peer_views {
            self.list.peer_views = views;
        }
        if let Some(record) = message.register {
            self.list.schedule(ListChange::Register(record));
        }
        if let Some(id) = message.deregister {
            self.list.schedule(ListChange::Deregister(id));
        }
    }

    fn table_response(&mut self, write: bool, body: &[u8]) -> Response<BoxBody> {
        let result = if body.len() > MAX_REQUEST_BYTES {
            Err(TableError::invalid("etcdserver: request is too large"))
        } else if write {
            self.table.transact(body)
        } else {
            self.table.range(body)
        };
        match result {
            Ok(response) => json_response(StatusCode::OK, &response),
            Err(error) => json_response(error.status(), &error),
        }
    }

    fn object_response(&mut self, method: &Method, path: &str, body: Bytes) -> Response<BoxBody> {
        match *method {
            Method::PUT => {
                self.objects.insert(path.to_owned(), body);
                Response::ok().map_into_boxed_body()
            }
            Method::GET => match self.objects.get(path) {
                Some(object) => Response::build(StatusCode::OK)
                    .body(object.clone())
                    .map_into_boxed_body(),
                None => store_error(StatusCode::NOT_FOUND, "NoSuchKey"),
            },
            Method::DELETE => {
                self.objects.remove(path);
                Response::new(StatusCode::NO_CONTENT).map_into_boxed_body()
            }
            _ => store_error(StatusCode::METHOD_NOT_ALLOWED, "MethodNotAllowed"),
        }
    }
}

fn store_error(status: StatusCode, code: &str) -> Response<BoxBody> {
    text(status, format!("<Error><Code>{code}</Code></Error>"))
}

#[derive(Debug)]
struct PlatformStandin {
    state: RefCell<PlatformState>,
    connections: Rc<ConnectionCount>,
}

/// A request to one of the platform services.
#[derive(Debug)]
struct ServiceRequest {
    service: PlatformService,
    write: bool,
    method: Method,
    path: String,
    viewer: Option<String>,
    body: Bytes,
}

impl ServiceRequest {
    fn new(method: Method, full_path: &str, body: Bytes) -> Self {
        let (viewer, path) = match split_view(full_path) {
            Some((viewer, path)) => (Some(viewer.to_owned()), path),
            None => (None, full_path),
        };
        let (service, write) = match path {
            "/v3/kv/range" => (PlatformService::Table, false),
            "/v3/kv/txn" => (PlatformService::Table, true),
            CATALOG_PATH => (PlatformService::List, false),
            _ => (PlatformService::Objects, method != Method::GET),
        };
        Self {
            service,
            write,
            method,
            path: path.to_owned(),
            viewer,
            body,
        }
    }
}

/// Splits `/view/{viewer}/rest` into `viewer` and `/rest`.
fn split_view(path: &str) -> Option<(&str, &str)> {
    let rest = path.strip_prefix("/view/")?;
    let slash = rest.find('/')?;
    Some((&rest[..slash], &rest[slash..]))
}

impl PlatformStandin {
    async fn serve_request(
        self: Rc<Self>,
        request: ServiceRequest,
        closer: ConnectionCloser,
    ) -> Response<BoxBody> {
        let service = request.service;
        self.state.borrow_mut().count(service, request.write);
        let fault = self.state.borrow().fault(service);
        match fault.mode {
            ServiceMode::Up => {}
            ServiceMode::Refuse => return unavailable_response(service),
            ServiceMode::Close => closer.close().await,
            ServiceMode::Hang => std::future::pending().await,
        }
        let write = request.write;
        let standin = Rc::clone(&self);
        // Runs in its own task, so that a delayed write takes effect even when the
        // client closes the connection meanwhile.
        let task = actix_rt::spawn(async move {
            if fault.slow_ms > 0 {
                actix_rt::time::sleep(Duration::from_millis(fault.slow_ms)).await;
            }
            standin.respond(request)
        });
        let Ok(response) = task.await else {
            return text(
                StatusCode::INTERNAL_SERVER_ERROR,
                "the request handler panicked",
            );
        };
        let loss = if write {
            self.state.borrow_mut().take_lost_response(service)
        } else {
            None
        };
        match loss {
            None => response,
            Some(LoseMode::Close) => closer.close().await,
            Some(LoseMode::Hang) => std::future::pending().await,
        }
    }

    fn respond(&self, request: ServiceRequest) -> Response<BoxBody> {
        let mut state = self.state.borrow_mut();
        match request.service {
            PlatformService::Table => state.table_response(request.write, &request.body),
            PlatformService::Objects => {
                state.object_response(&request.method, &request.path, request.body)
            }
            PlatformService::List => {
                json_response(StatusCode::OK, &state.list.read(request.viewer.as_deref()))
            }
        }
    }

    fn counts(&self) -> PlatformCounts {
        let state = self.state.borrow();
        PlatformCounts {
            connections: self.connections.accepted.get(),
            revision: state.table.revision(),
            ..state.counts.clone()
        }
    }
}

fn unavailable_response(service: PlatformService) -> Response<BoxBody> {
    match service {
        PlatformService::Table => {
            let error = TableError::no_leader();
            json_response(error.status(), &error)
        }
        PlatformService::Objects => store_error(StatusCode::SERVICE_UNAVAILABLE, "SlowDown"),
        PlatformService::List => text(StatusCode::INTERNAL_SERVER_ERROR, "No cluster leader"),
    }
}

impl StandinService for PlatformStandin {
    fn handle(
        self: Rc<Self>,
        mut request: Request,
        closer: ConnectionCloser,
    ) -> LocalBoxFuture<'static, Response<BoxBody>> {
        async move {
            let path = request.path().to_owned();
            match path.as_str() {
                "/control" => {
                    let message = read_json(&mut request).await;
                    control_response(message.map(|message| {
                        self.state.borrow_mut().apply_control(message);
                        json!({})
                    }))
                }
                "/control/counts" => json_response(StatusCode::OK, &self.counts()),
                _ => match read_body(&mut request).await {
                    Ok(body) => {
                        let method = request.method().clone();
                        let request = ServiceRequest::new(method, &path, body);
                        self.serve_request(request, closer).await
                    }
                    Err(error) => text(StatusCode::BAD_REQUEST, error.to_string()),
                },
            }
        }
        .boxed_local()
    }
}

/// Runs `standin-platform`.
///
/// # Errors
///
/// When the address is invalid or in use, or accepting connections fails.
pub async fn run_platform(options: PlatformOptions) -> Result<()> {
    if options.until_stdin_closes {
        exit_when_stdin_closes();
    }
    let listener = TcpListener::bind(&options.listen)
        .await
        .map_err(|error| eyre!("cannot listen on {}: {error}", options.listen))?;
    let connections = Rc::new(ConnectionCount::default());
    let standin = Rc::new(PlatformStandin {
        state: RefCell::new(PlatformState {
            table: MemoryTable::new(),
            objects: BTreeMap::new(),
            list: LaggingList::default(),
            faults: BTreeMap::new(),
            counts: PlatformCounts::default(),
            started: Instant::now(),
        }),
        connections: Rc::clone(&connections),
    });
    print_address("listening", listener.local_addr()?)?;
    serve(listener, standin, connections).await
}
