//! The client end of a peer connection.

use std::io;
use std::net::SocketAddr;

use actix_rt::task::JoinHandle;
use bytes::Bytes;
use h2::client::SendRequest;
use http::{Request, StatusCode};
use tarragonpulley_wire::peer::{
    MAX_RESPONSE_BYTES, PeerRequest, PeerResponse, WireError, decode_response, encode_request,
};
use tokio::net::TcpStream;

use super::counted::CountedStream;
use super::{BodyError, MAX_HEADER_BYTES, PROTOCOL_PATH, WINDOW_BYTES, read_body};
use crate::fleet::metrics::FleetMetrics;

/// Why a call to a peer failed.
#[derive(Debug, thiserror::Error)]
pub(in crate::fleet) enum PeerError {
    /// The connection could not be opened.
    #[error("no connection: {0}")]
    Connect(#[from] io::Error),
    /// The connection failed.
    #[error("the connection failed: {0}")]
    Stream(#[from] h2::Error),
    /// The response could not be read.
    #[error("cannot read the response: {0}")]
    Body(#[from] BodyError),
    /// The request or the response is not a valid message.
    #[error(transparent)]
    Wire(#[from] WireError),
    /// The peer rejected the request.
    #[error("the peer rejected the request: {0}")]
    Rejected(String),
    /// The kind of the response does not match the request.
    #[error("the response does not match the request")]
    UnexpectedResponse,
    /// The peer has fenced this incarnation.
    #[error("the peer has fenced this incarnation")]
    Fenced,
    /// No response within the timeout.
    #[error("no response within the timeout")]
    TimedOut,
    /// The instance list has no address for the peer.
    #[error("the peer is not in the list of instances")]
    NoAddress,
}

/// A connection to a peer. Dropping it closes it and fails its calls.
#[derive(Debug)]
pub(in crate::fleet) struct PeerConnection {
    sender: SendRequest<Bytes>,
    driver: JoinHandle<()>,
}

impl PeerConnection {
    /// Connects to a peer. Has no timeout of its own.
    pub(in crate::fleet) async fn open(
        address: SocketAddr,
        metrics: &FleetMetrics,
    ) -> Result<Self, PeerError> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let received = metrics.peer_bytes_received.clone();
        let stream = CountedStream::new(stream, received, metrics.peer_bytes_sent.clone());
        let (sender, connection) = h2::client::Builder::new()
            .max_header_list_size(MAX_HEADER_BYTES)
            .initial_window_size(WINDOW_BYTES)
            .initial_connection_window_size(WINDOW_BYTES)
            .enable_push(false)
            .handshake(stream)
            .await?;
        let driver = actix_rt::spawn(async move {
            // A failure is reported by the calls on the connection.
            let _ended = connection.await;
        });
        Ok(Self { sender, driver })
    }

    /// Sends a request and reads its response. Has no timeout of its own.
    pub(in crate::fleet) async fn call(
        &self,
        request: &PeerRequest,
    ) -> Result<PeerResponse, PeerError> {
        let bytes = encode_request(request)?;
        let mut sender = self.sender.clone().ready().await?;
        let mut head = Request::new(());
        *head.method_mut() = http::Method::POST;
        *head.uri_mut() = http::Uri::from_static(PROTOCOL_PATH);
        let (response, mut body) = sender.send_request(head, false)?;
        body.send_data(bytes.into(), true)?;
        let response = response.await?;
        if response.status() != StatusCode::OK {
            return Err(PeerError::Rejected(response.status().to_string()));
        }
        let bytes = read_body(response.into_body(), MAX_RESPONSE_BYTES).await?;
        match decode_response(&bytes)? {
            PeerResponse::Fenced => Err(PeerError::Fenced),
            PeerResponse::Refused(reason) => Err(PeerError::Rejected(reason)),
            response => Ok(response),
        }
    }
}

impl Drop for PeerConnection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}
