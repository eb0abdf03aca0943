//! HTTP/1.1 on both sides of an instance.
//!
//! Forwarding needs more of a connection than a general client or server
//! shows: whether a byte of a request has left the process, whether bytes
//! follow a complete answer, and when a caller closes while its request runs.
//! Parsing is left to a library; framing and connection life are here.

pub(crate) mod client;
pub(crate) mod framing;
pub(crate) mod message;
pub(crate) mod server;
