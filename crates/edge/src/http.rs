//! HTTP/1.1 for callers and backend servers.
//!
//! Forwarding depends on details that general clients and servers hide: whether
//! a byte of a request was sent, whether bytes follow a complete response, and
//! when a caller closes its connection while its request is in progress. A
//! library parses the heads; framing and the handling of connections are
//! implemented here.

pub(crate) mod account;
pub(crate) mod budget;
pub(crate) mod client;
pub(crate) mod framing;
pub(crate) mod message;
pub(crate) mod server;
