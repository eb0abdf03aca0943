//! The server end of peer connections.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use h2::RecvStream;
use h2::server::{Connection, SendResponse};
use http::{Request, Response, StatusCode};
use log::{debug, warn};
use tarragonpulley_wire::peer::{MAX_REQUEST_BYTES, PeerResponse, decode_request, encode_response};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

use super::counted::CountedStream;
use super::{MAX_HEADER_BYTES, WINDOW_BYTES, read_body};
use crate::fleet::core::FleetCore;

/// Maximum concurrent connections: ten for each of 12 instances, and some for
/// connections that peers have replaced.
const MAX_CONNECTIONS: usize = 128;

/// Maximum concurrent streams of a connection.
const MAX_STREAMS: u32 = 64;

/// Timeout of the h2 handshake.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);

/// A connection is closed after this time without requests. A live peer sends a
/// heartbeat every half second.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// Timeout of one request, from its headers to the end of its response.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

/// Delay after a failed accept, for example when file descriptors have run out.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);

/// Serves peers for as long as the instance runs.
pub(in crate::fleet) async fn serve(core: Rc<FleetCore>, listener: TcpListener) {
    // Dropping the set, when this task ends, closes the connections.
    let mut connections = JoinSet::new();
    loop {
        match listener.accept().await {
            Ok((stream, _peer)) => {
                while connections.try_join_next().is_some() {}
                if connections.len() < MAX_CONNECTIONS {
                    connections.spawn_local(serve_connection(Rc::clone(&core), stream));
                } else {
                    warn!("peer connection rejected: {MAX_CONNECTIONS} are open");
                }
            }
            Err(error) => {
                warn!("accepting a peer connection failed: {error}");
                sleep(ACCEPT_BACKOFF).await;
            }
        }
    }
}

async fn serve_connection(core: Rc<FleetCore>, stream: TcpStream) {
    if let Err(error) = stream.set_nodelay(true) {
        debug!("cannot set TCP_NODELAY on a peer connection: {error}");
    }
    let metrics = &core.metrics;
    let received = metrics.peer_bytes_received.clone();
    let stream = CountedStream::new(stream, received, metrics.peer_bytes_sent.clone());
    let handshake = h2::server::Builder::new()
        .max_header_list_size(MAX_HEADER_BYTES)
        .max_concurrent_streams(MAX_STREAMS)
        .initial_window_size(WINDOW_BYTES)
        .initial_connection_window_size(WINDOW_BYTES)
        .handshake(stream);
    match timeout(HANDSHAKE_TIMEOUT, handshake).await {
        Ok(Ok(connection)) => serve_streams(core, connection).await,
        Ok(Err(error)) => core.reject_message(&error),
        Err(_elapsed) => core.reject_message(&"no h2 handshake within the timeout"),
    }
}

async fn serve_streams(core: Rc<FleetCore>, mut connection: Connection<CountedStream, Bytes>) {
    let mut streams = JoinSet::new();
    loop {
        match timeout(IDLE_TIMEOUT, connection.accept()).await {
            Ok(Some(Ok((request, respond)))) => {
                while streams.try_join_next().is_some() {}
                streams.spawn_local(serve_stream(Rc::clone(&core), request, respond));
            }
            Ok(Some(Err(error))) => {
                debug!("peer connection failed: {error}");
                return;
            }
            Ok(None) | Err(_) => return,
        }
    }
}

async fn serve_stream(
    core: Rc<FleetCore>,
    request: Request<RecvStream>,
    respond: SendResponse<Bytes>,
) {
    let served = timeout(REQUEST_TIMEOUT, respond_on_stream(&core, request, respond)).await;
    match served {
        Ok(Ok(())) => {}
        Ok(Err(error)) => debug!("response to a peer not sent: {error}"),
        Err(_elapsed) => debug!("request of a peer not handled within the timeout"),
    }
}

async fn respond_on_stream(
    core: &FleetCore,
    request: Request<RecvStream>,
    mut respond: SendResponse<Bytes>,
) -> Result<(), h2::Error> {
    let body = match read_body(request.into_body(), MAX_REQUEST_BYTES).await {
        Ok(body) => body,
        Err(error) => {
            core.reject_message(&error);
            return reject(&mut respond, StatusCode::PAYLOAD_TOO_LARGE);
        }
    };
    let response = match decode_request(&body) {
        Ok(request) => core.serve_request(request),
        Err(error) => Err(error),
    };
    match response.and_then(|response| encode_response(&response)) {
        Ok(bytes) => {
            let mut stream = respond.send_response(Response::new(()), false)?;
            stream.send_data(bytes.into(), true)
        }
        Err(error) => {
            core.reject_message(&error);
            reject(&mut respond, StatusCode::BAD_REQUEST)
        }
    }
}

fn reject(respond: &mut SendResponse<Bytes>, status: StatusCode) -> Result<(), h2::Error> {
    let mut response = Response::new(());
    *response.status_mut() = status;
    respond.send_response(response, true).map(drop)
}

impl FleetCore {
    /// Counts and logs an invalid message.
    fn reject_message(&self, reason: &dyn std::fmt::Display) {
        self.metrics.messages_rejected.inc();
        warn!("peer message rejected: {reason}");
    }
}

/// The response to a request that cannot be handled now.
pub(in crate::fleet) fn rejected(reason: &str) -> PeerResponse {
    PeerResponse::Refused(reason.to_owned())
}
