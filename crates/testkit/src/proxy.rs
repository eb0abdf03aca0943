//! The fault proxy: TCP links that can refuse or close connections, and that
//! can be cut, delayed, throttled or frozen in each direction separately.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::body::BoxBody;
use actix_http::{Request, Response, StatusCode};
use bytes::{Bytes, BytesMut};
use eyre::{Result, ensure, eyre};
use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use gumdrop::Options;
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

use crate::control::{DirectionFault, LinkControl, LinkTarget};
use crate::http_server::{
    ConnectionCloser, ConnectionCount, StandinService, control_response, exit_when_stdin_closes,
    print_address, read_json, serve, text,
};

const NANOSECONDS_PER_SECOND: u64 = 1_000_000_000;
const CHUNK_BYTES: usize = 16 * 1024;
/// Chunks buffered in one direction of a connection. Enough for the delay
/// between regions at the bandwidth of the tests.
const MAX_BUFFERED_CHUNKS: usize = 256;
/// Name of the link that is opened by `--target`.
const MAIN_LINK: &str = "main";
/// A released port may still be held for a short time by a closing socket.
const REBIND_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Options of `fault-proxy`.
#[derive(Debug, Options)]
pub struct ProxyOptions {
    /// Prints help.
    #[options(help = "print this help")]
    help: bool,
    /// Listen address of the link `main`.
    #[options(
        help = "address that the link `main` listens on",
        default = "127.0.0.1:0",
        meta = "ADDRESS"
    )]
    listen: SocketAddr,
    /// Target of the link `main`.
    #[options(help = "address that the link `main` forwards to", meta = "ADDRESS")]
    target: Option<SocketAddr>,
    /// Listen address of the control endpoint.
    #[options(
        help = "address of the control endpoint",
        default = "127.0.0.1:0",
        meta = "ADDRESS"
    )]
    control: String,
    /// Exits when its launcher does.
    #[options(help = "exit when stdin closes")]
    until_stdin_closes: bool,
}

#[derive(Debug, Clone, Copy)]
enum Direction {
    ToTarget,
    ToClient,
}

#[derive(Debug, Clone, Copy)]
struct LinkState {
    target: SocketAddr,
    to_target: DirectionFault,
    to_client: DirectionFault,
    refuse: bool,
    /// Connections with a lower number are closed.
    close_before: u64,
    /// Connections with a lower number are frozen in this direction.
    freeze_to_target_before: u64,
    freeze_to_client_before: u64,
    next_connection: u64,
}

impl LinkState {
    fn new(target: SocketAddr) -> Self {
        Self {
            target,
            to_target: DirectionFault::default(),
            to_client: DirectionFault::default(),
            refuse: false,
            close_before: 0,
            freeze_to_target_before: 0,
            freeze_to_client_before: 0,
            next_connection: 0,
        }
    }

    const fn fault(&self, direction: Direction) -> DirectionFault {
        match direction {
            Direction::ToTarget => self.to_target,
            Direction::ToClient => self.to_client,
        }
    }

    const fn is_blocked(&self, direction: Direction, connection: u64) -> bool {
        let frozen_before = match direction {
            Direction::ToTarget => self.freeze_to_target_before,
            Direction::ToClient => self.freeze_to_client_before,
        };
        self.fault(direction).cut || connection < frozen_before
    }

    fn apply_control(&mut self, message: &LinkControl) {
        self.to_target = message.to_target.unwrap_or(self.to_target);
        self.to_client = message.to_client.unwrap_or(self.to_client);
        self.target = message.target.unwrap_or(self.target);
        self.refuse = message.refuse.unwrap_or(self.refuse);
        if message.close_existing {
            self.close_before = self.next_connection;
        }
        if message.freeze_existing.to_target {
            self.freeze_to_target_before = self.next_connection;
        }
        if message.freeze_existing.to_client {
            self.freeze_to_client_before = self.next_connection;
        }
    }
}

type LinkSender = Rc<watch::Sender<LinkState>>;

/// Accepts the connections of one link. While the link refuses connections, its
/// listener is closed, so that the operating system refuses them.
async fn run_link(listener: TcpListener, link: LinkSender) -> Result<()> {
    let address = listener.local_addr()?;
    let mut changes = link.subscribe();
    let mut listener = Some(listener);
    loop {
        let refuse = changes.borrow_and_update().refuse;
        if refuse {
            listener = None;
            changes.changed().await?;
            continue;
        }
        let open = match listener.take() {
            Some(open) => open,
            None => rebind(address).await,
        };
        tokio::select! {
            accepted = open.accept() => {
                if let Ok((client, _peer)) = accepted {
                    actix_rt::spawn(run_connection(client, Rc::clone(&link)));
                }
            }
            result = changes.changed() => result?,
        }
        listener = Some(open);
    }
}

async fn rebind(address: SocketAddr) -> TcpListener {
    loop {
        match TcpListener::bind(address).await {
            Ok(listener) => return listener,
            Err(_) => actix_rt::time::sleep(REBIND_RETRY_DELAY).await,
        }
    }
}

async fn run_connection(client: TcpStream, link: LinkSender) {
    let target = link.borrow().target;
    let mut connection = 0;
    link.send_if_modified(|state| {
        connection = state.next_connection;
        state.next_connection += 1;
        false
    });
    let Ok(server) = TcpStream::connect(target).await else {
        return;
    };
    // Nagle's algorithm would add delay that no fault configures.
    let _results = (client.set_nodelay(true), server.set_nodelay(true));
    let (client_read, client_write) = client.into_split();
    let (server_read, server_write) = server.into_split();
    let to_target = Forwarder::new(Direction::ToTarget, connection, &link);
    let to_client = Forwarder::new(Direction::ToClient, connection, &link);
    let mut changes = link.subscribe();
    tokio::select! {
        _both = async {
            tokio::join!(
                to_target.run(client_read, server_write),
                to_client.run(server_read, client_write),
            )
        } => {}
        _closed = changes.wait_for(|state| connection < state.close_before) => {}
    }
}

/// Time of arrival, and the bytes that arrived; `None` is the end of the stream.
type ReceivedChunk = (Instant, Option<Bytes>);

/// Forwards one direction of a connection, with the faults of its link.
struct Forwarder {
    direction: Direction,
    connection: u64,
    state: watch::Receiver<LinkState>,
}

impl Forwarder {
    fn new(direction: Direction, connection: u64, link: &LinkSender) -> Self {
        Self {
            direction,
            connection,
            state: link.subscribe(),
        }
    }

    async fn run(self, reader: OwnedReadHalf, writer: OwnedWriteHalf) {
        let (sender, receiver) = mpsc::channel(MAX_BUFFERED_CHUNKS);
        tokio::join!(
            read_chunks(reader, sender),
            self.write_chunks(writer, receiver)
        );
    }

    async fn write_chunks(
        mut self,
        mut writer: OwnedWriteHalf,
        mut arrivals: mpsc::Receiver<ReceivedChunk>,
    ) {
        while let Some((arrived, chunk)) = arrivals.recv().await {
            let delay = Duration::from_millis(self.fault().delay_ms);
            tokio::time::sleep_until(arrived + delay).await;
            self.wait_until_unblocked().await;
            let Some(chunk) = chunk else {
                break;
            };
            let rate = self.fault().bytes_per_second;
            if rate > 0 {
                // Split a throttled chunk for an even rate: each piece holds
                // about 1/50 s of data.
                let piece_bytes = usize::try_from(rate / 50).unwrap_or(usize::MAX).max(1);
                for piece in chunk.chunks(piece_bytes) {
                    let nanoseconds = piece.len() as u64 * NANOSECONDS_PER_SECOND / rate;
                    let interval = Duration::from_nanos(nanoseconds);
                    tokio::time::sleep(interval).await;
                    self.wait_until_unblocked().await;
                    if writer.write_all(piece).await.is_err() {
                        return;
                    }
                }
            } else if writer.write_all(&chunk).await.is_err() {
                return;
            }
        }
        let _result = writer.shutdown().await;
    }

    fn fault(&self) -> DirectionFault {
        self.state.borrow().fault(self.direction)
    }

    async fn wait_until_unblocked(&mut self) {
        let (direction, connection) = (self.direction, self.connection);
        let released = |state: &LinkState| !state.is_blocked(direction, connection);
        // Can't fail: the sender lives as long as the process.
        let _result = self.state.wait_for(released).await;
    }
}

async fn read_chunks(mut reader: OwnedReadHalf, sender: mpsc::Sender<ReceivedChunk>) {
    loop {
        let mut buffer = BytesMut::with_capacity(CHUNK_BYTES);
        let read = reader.read_buf(&mut buffer).await;
        let chunk = match read {
            Ok(length) if length > 0 => Some(buffer.freeze()),
            _ => None,
        };
        let ended = chunk.is_none();
        if sender.send((Instant::now(), chunk)).await.is_err() || ended {
            return;
        }
    }
}

#[derive(Debug, Default)]
struct ProxyControl {
    links: RefCell<BTreeMap<String, LinkSender>>,
}

impl ProxyControl {
    async fn open(&self, name: String, listen: SocketAddr, target: SocketAddr) -> Result<Value> {
        ensure!(
            !self.links.borrow().contains_key(&name),
            "link {name:?} already exists"
        );
        let listener = TcpListener::bind(listen)
            .await
            .map_err(|error| eyre!("cannot listen on {listen}: {error}"))?;
        let address = listener.local_addr()?;
        let link = Rc::new(watch::Sender::new(LinkState::new(target)));
        self.links.borrow_mut().insert(name, Rc::clone(&link));
        actix_rt::spawn(run_link(listener, link));
        Ok(json!({"address": address}))
    }

    fn apply_control(&self, message: &LinkControl) -> Result<Value> {
        let links = self.links.borrow();
        let selected = links
            .iter()
            .filter(|(name, _)| match message.link.strip_suffix('*') {
                Some(prefix) => name.starts_with(prefix),
                None => **name == message.link,
            });
        let mut count = 0;
        for (_, link) in selected {
            link.send_modify(|state| state.apply_control(message));
            count += 1;
        }
        ensure!(count > 0, "no link is named {:?}", message.link);
        Ok(json!({"links": count}))
    }
}

impl StandinService for ProxyControl {
    fn handle(
        self: Rc<Self>,
        mut request: Request,
        _closer: ConnectionCloser,
    ) -> LocalBoxFuture<'static, Response<BoxBody>> {
        async move {
            match request.path() {
                "/control" => {
                    let message = read_json(&mut request).await;
                    control_response(message.and_then(|message| self.apply_control(&message)))
                }
                "/control/links" => {
                    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
                    match read_json::<LinkTarget>(&mut request).await {
                        Ok(message) => control_response(
                            self.open(message.link, any_port, message.target).await,
                        ),
                        Err(error) => text(StatusCode::BAD_REQUEST, error.to_string()),
                    }
                }
                _ => text(StatusCode::NOT_FOUND, "no such control endpoint"),
            }
        }
        .boxed_local()
    }
}

/// Runs `fault-proxy`. Prints `listening ADDRESS` for the link `main` if it has
/// a target, then `control ADDRESS`.
///
/// # Errors
///
/// When an address is invalid or in use, or accepting connections fails.
pub async fn run_proxy(options: ProxyOptions) -> Result<()> {
    if options.until_stdin_closes {
        exit_when_stdin_closes();
    }
    let control = Rc::new(ProxyControl::default());
    if let Some(target) = options.target {
        let opened = control
            .open(MAIN_LINK.to_owned(), options.listen, target)
            .await?;
        let address: SocketAddr = serde_json::from_value(opened["address"].clone())?;
        print_address("listening", address)?;
    }
    let listener = TcpListener::bind(&options.control)
        .await
        .map_err(|error| eyre!("cannot listen on {}: {error}", options.control))?;
    print_address("control", listener.local_addr()?)?;
    serve(listener, control, Rc::new(ConnectionCount::default())).await
}
