//! A TCP stream that counts the bytes received and sent.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use prometheus_client::metrics::counter::Counter;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// A stream to or from a peer.
#[derive(Debug)]
pub(super) struct CountedStream {
    stream: TcpStream,
    received: Counter,
    sent: Counter,
}

impl CountedStream {
    pub(super) const fn new(stream: TcpStream, received: Counter, sent: Counter) -> Self {
        Self {
            stream,
            received,
            sent,
        }
    }
}

impl AsyncRead for CountedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        self.received
            .inc_by((buffer.filled().len() - before) as u64);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for CountedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = ready!(Pin::new(&mut self.stream).poll_write(context, bytes))?;
        self.sent.inc_by(written as u64);
        Poll::Ready(Ok(written))
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
