//! Connections to backend servers.

use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use actix_rt::net::{ActixStream, Ready, TcpStream};
use actix_service::Service;
use actix_tls::connect::{ConnectError, ConnectInfo, Connection};
use awc::http::Uri;
use awc::{Client, Connector};
use futures_util::future::LocalBoxFuture;
use std::net::SocketAddr;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Timeout for connecting to a server. It also bounds the time between the final
/// validity check of a request and its first byte.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Idle connections are closed after this time. It is below the usual keep-alive
/// timeout of HTTP servers, so that a request is rarely sent on a connection that
/// the server is closing.
const IDLE_TIMEOUT: Duration = Duration::from_secs(3);

const CONNECTION_LIFETIME: Duration = Duration::from_mins(10);

/// Builds a client with at most `connections` connections to one server.
pub(crate) fn build_client(address: SocketAddr, connections: usize) -> Rc<Client> {
    let connector = Connector::new()
        .connector(ServerConnector { address })
        .timeout(CONNECT_TIMEOUT)
        .conn_keep_alive(IDLE_TIMEOUT)
        .conn_lifetime(CONNECTION_LIFETIME)
        .limit(connections);
    let client = Client::builder()
        .connector(connector)
        .disable_redirects()
        .disable_timeout()
        .no_default_headers()
        .finish();
    Rc::new(client)
}

/// Connects to one server, whatever the host in the request.
#[derive(Debug, Clone)]
struct ServerConnector {
    address: SocketAddr,
}

impl Service<ConnectInfo<Uri>> for ServerConnector {
    type Response = Connection<Uri, EofErrorStream>;
    type Error = ConnectError;
    type Future = LocalBoxFuture<'static, Result<Self::Response, Self::Error>>;

    actix_service::always_ready!();

    fn call(&self, info: ConnectInfo<Uri>) -> Self::Future {
        let address = self.address;
        Box::pin(async move {
            let started = Instant::now();
            let stream = TcpStream::connect(address)
                .await
                .map_err(ConnectError::Io)?;
            // The timeout does not fire while the process is suspended. After a
            // suspension, the checks made before sending may be outdated.
            if started.elapsed() > CONNECT_TIMEOUT {
                let late = io::Error::from(io::ErrorKind::TimedOut);
                return Err(ConnectError::Io(late));
            }
            stream.set_nodelay(true).map_err(ConnectError::Io)?;
            Ok(Connection::new(
                info.request().clone(),
                EofErrorStream(stream),
            ))
        })
    }
}

/// A TCP stream that reports the end of the stream as an error.
///
/// The HTTP client treats the end of the stream as the end of a chunked body, so
/// a truncated response would look complete. Responses must therefore have a
/// content length or a final chunk.
#[derive(Debug)]
struct EofErrorStream(TcpStream);

impl AsyncRead for EofErrorStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        match Pin::new(&mut self.0).poll_read(cx, buf) {
            Poll::Ready(Ok(())) if buf.filled().len() == before && buf.remaining() > 0 => {
                Poll::Ready(Err(io::Error::from(io::ErrorKind::UnexpectedEof)))
            }
            other => other,
        }
    }
}

impl AsyncWrite for EofErrorStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.0).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_shutdown(cx)
    }
}

impl ActixStream for EofErrorStream {
    fn poll_read_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        ActixStream::poll_read_ready(&self.0, cx)
    }

    fn poll_write_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        ActixStream::poll_write_ready(&self.0, cx)
    }
}
