//! Activity of one connection, and its timeouts.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::{Duration, Instant};

use actix_rt::net::TcpStream;
use bytes::{Buf, Bytes};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::sync::Notify;

use super::{DRAIN_IDLE_GRACE, ServerLimits};
use crate::errors::{ErrorKind, RequestError};

/// Time between a timeout and the forced close of a connection. The HTTP library
/// responds with 408 when the first head of a connection times out, and that
/// response needs time to be sent.
const HEAD_CLOSE_MARGIN: Duration = Duration::from_millis(500);

#[derive(Debug)]
pub(super) struct ConnectionTracker {
    running: Cell<u32>,
    /// When the first byte of an incomplete request head arrived.
    head_since: Cell<Option<Instant>>,
    idle_since: Cell<Instant>,
    /// When writes became blocked because the peer stopped reading.
    blocked_since: Cell<Option<Instant>>,
    close_requested: Notify,
}

impl ConnectionTracker {
    pub(super) fn new(now: Instant) -> Self {
        Self {
            running: Cell::new(0),
            head_since: Cell::new(None),
            idle_since: Cell::new(now),
            blocked_since: Cell::new(None),
            close_requested: Notify::new(),
        }
    }

    /// Records that a request head is complete. Dropping the guard ends the
    /// request.
    pub(super) fn begin_request(self: &Rc<Self>) -> RunningRequest {
        self.running.set(self.running.get() + 1);
        self.head_since.set(None);
        RunningRequest(Rc::clone(self))
    }

    /// Requests that the connection's task closes the connection.
    pub(super) fn close(&self) {
        self.close_requested.notify_one();
    }

    pub(super) async fn close_requested(&self) {
        self.close_requested.notified().await;
    }

    /// When the connection became idle, or `None` if it is in use.
    pub(super) fn idle_since(&self) -> Option<Instant> {
        let busy = self.running.get() > 0
            || self.head_since.get().is_some()
            || self.blocked_since.get().is_some();
        (!busy).then(|| self.idle_since.get())
    }

    pub(super) fn should_close(
        &self,
        now: Instant,
        limits: &ServerLimits,
        draining: Option<Instant>,
    ) -> bool {
        let passed = |since: Instant, limit: Duration| now.duration_since(since) > limit;
        if let Some(since) = self.blocked_since.get() {
            return passed(since, limits.write_timeout);
        }
        if self.running.get() > 0 {
            return false;
        }
        if let Some(since) = self.head_since.get() {
            return passed(since, limits.header_timeout + HEAD_CLOSE_MARGIN);
        }
        let idle = self.idle_since.get();
        let drained = draining
            .is_some_and(|drain| passed(drain, DRAIN_IDLE_GRACE) && passed(idle, DRAIN_IDLE_GRACE));
        drained || passed(idle, limits.idle_timeout + HEAD_CLOSE_MARGIN)
    }

    fn record_read(&self, bytes: usize) {
        if bytes > 0 && self.running.get() == 0 && self.head_since.get().is_none() {
            self.head_since.set(Some(Instant::now()));
        }
    }

    fn record_write(&self, blocked: bool) {
        match (blocked, self.blocked_since.get()) {
            (true, None) => self.blocked_since.set(Some(Instant::now())),
            (false, Some(_)) => self.blocked_since.set(None),
            _ => {}
        }
    }
}

/// Ends the request of a connection when dropped.
#[derive(Debug)]
pub(super) struct RunningRequest(Rc<ConnectionTracker>);

impl Drop for RunningRequest {
    fn drop(&mut self) {
        let tracker = &self.0;
        tracker.running.set(tracker.running.get().saturating_sub(1));
        tracker.idle_since.set(Instant::now());
    }
}

/// A TCP stream that records reads and writes in its tracker.
///
/// The HTTP library responds to malformed, slow and oversized heads itself, with
/// an empty body. The stream replaces these with the documented responses.
#[derive(Debug)]
pub(super) struct TrackedStream {
    stream: TcpStream,
    tracker: Rc<ConnectionTracker>,
    /// Unwritten bytes of a replacement response.
    replacement: Bytes,
}

impl TrackedStream {
    pub(super) const fn new(stream: TcpStream, tracker: Rc<ConnectionTracker>) -> Self {
        Self {
            stream,
            tracker,
            replacement: Bytes::new(),
        }
    }

    fn poll_replacement(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        while !self.replacement.is_empty() {
            let written = Pin::new(&mut self.stream).poll_write(cx, &self.replacement);
            self.tracker.record_write(written.is_pending());
            let written = ready!(written)?;
            if written == 0 {
                return Poll::Ready(Err(io::ErrorKind::WriteZero.into()));
            }
            self.replacement.advance(written);
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncRead for TrackedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(cx, buf);
        if matches!(read, Poll::Ready(Ok(()))) {
            self.tracker.record_read(buf.filled().len() - before);
        }
        read
    }
}

impl AsyncWrite for TrackedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        ready!(self.poll_replacement(cx))?;
        if let Some(response) = replacement_response(buf) {
            self.replacement = response;
            return Poll::Ready(Ok(buf.len()));
        }
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.tracker.record_write(written.is_pending());
        written
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(self.poll_replacement(cx))?;
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(self.poll_replacement(cx))?;
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

/// Returns the documented response if `written` is an error response that the
/// library generated itself.
fn replacement_response(written: &[u8]) -> Option<Bytes> {
    let head = written.strip_prefix(b"HTTP/1.1 ")?;
    let error = match head.get(..3)? {
        b"400" => RequestError::new(ErrorKind::MalformedRequest, "the request is malformed"),
        b"408" => RequestError::new(ErrorKind::SlowRequest, "the request head came too slowly"),
        b"431" => RequestError::new(ErrorKind::HeadersTooLarge, "the request head is too large"),
        _ => return None,
    };
    let empty = b"\r\ncontent-length: 0\r\n";
    let is_empty = head.windows(empty.len()).any(|window| window == empty);
    (is_empty && head.ends_with(b"\r\n\r\n")).then(|| error.to_wire())
}
