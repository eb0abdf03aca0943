//! Connections between instances: h2 over TCP with bincode bodies.
//!
//! Each instance serves its listener and has one client connection to every
//! other instance. Calls have timeouts, and both ends limit the message sizes.

mod client;
mod counted;
mod server;

pub(super) use client::{PeerConnection, PeerError};
pub(super) use server::{rejected, serve};

use bytes::{Bytes, BytesMut};
use h2::RecvStream;

/// The URL of the protocol; an incompatible version gets its own path.
const PROTOCOL_PATH: &str = "http://peer/1";

/// Maximum size of an h2 header list. The protocol sends no headers of its own.
const MAX_HEADER_BYTES: u32 = 4 * 1024;

/// Flow-control window of a connection and of each stream, so that an ordinary
/// message needs no window update.
const WINDOW_BYTES: u32 = 1024 * 1024;

/// Why a body could not be read.
#[derive(Debug, thiserror::Error)]
pub(super) enum BodyError {
    /// The connection failed.
    #[error(transparent)]
    Stream(#[from] h2::Error),
    /// The body is larger than its maximum size.
    #[error("the body is larger than {0} bytes")]
    TooLarge(usize),
}

async fn read_body(mut stream: RecvStream, max_bytes: usize) -> Result<Bytes, BodyError> {
    let mut body = BytesMut::new();
    while let Some(chunk) = stream.data().await {
        let chunk = chunk?;
        if body.len() + chunk.len() > max_bytes {
            return Err(BodyError::TooLarge(max_bytes));
        }
        stream.flow_control().release_capacity(chunk.len())?;
        body.extend_from_slice(&chunk);
    }
    Ok(body.freeze())
}
