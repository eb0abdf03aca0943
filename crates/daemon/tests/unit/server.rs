//! The HTTP server with slow and malformed requests, idle connections and drains.

use std::rc::Rc;
use std::time::{Duration, Instant};

use actix_http::body::BoxBody;
use actix_http::{Request, Response};
use futures_util::future::LocalBoxFuture;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use yare::parameterized;

use super::fakes::WAIT_TIMEOUT;
use crate::http_server::{HttpServer, HttpServerHandle, ServerLimits, read_body};
use crate::interfaces::RequestHandler;

#[derive(Debug)]
struct Echo {
    delay: Duration,
}

impl RequestHandler for Echo {
    fn handle(
        &self,
        mut request: Request,
        _peer: Option<std::net::SocketAddr>,
    ) -> LocalBoxFuture<'_, Response<BoxBody>> {
        Box::pin(async move {
            actix_rt::time::sleep(self.delay).await;
            let time = Duration::from_millis(300);
            match read_body(request.take_payload(), 10, time).await {
                Ok(body) => Response::ok().set_body(BoxBody::new(body)),
                Err(error) => error.into_response(None),
            }
        })
    }
}

async fn start(delay: u64, max_connections: usize) -> (HttpServerHandle, std::net::SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let limits = ServerLimits {
        max_connections,
        max_header_bytes: 1024,
        header_timeout: Duration::from_millis(300),
        idle_timeout: Duration::from_millis(600),
        write_timeout: Duration::from_millis(500),
    };
    let handler = Rc::new(Echo {
        delay: Duration::from_millis(delay),
    });
    (HttpServer::start(listener, handler, limits), address)
}

async fn send(stream: &mut TcpStream, text: &str) {
    stream.write_all(text.as_bytes()).await.unwrap();
}

/// Reads until the server closes the connection.
async fn read_all(stream: &mut TcpStream) -> String {
    let mut bytes = Vec::new();
    let read = actix_rt::time::timeout(WAIT_TIMEOUT, stream.read_to_end(&mut bytes));
    drop(read.await.expect("the connection stayed open"));
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Reads until `text` has arrived.
async fn read_until(stream: &mut TcpStream, text: &str) -> String {
    let mut bytes = Vec::new();
    while !String::from_utf8_lossy(&bytes).contains(text) {
        let read = actix_rt::time::timeout(WAIT_TIMEOUT, stream.read_buf(&mut bytes)).await;
        assert_ne!(
            read.unwrap().unwrap(),
            0,
            "{}",
            String::from_utf8_lossy(&bytes)
        );
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Guards against input that ends the process or keeps a connection open forever.
#[parameterized(
    garbage = { "\u{1}\u{2}\r\n\r\n", "400" },
    bad_length = { "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: x\r\n\r\n", "400" },
    two_lengths = { "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 1\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n", "400" },
    slow_head = { "GET / HTT", "408" },
    slow_body = { "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 5\r\n\r\nab", "408" },
    large_body = { "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 11\r\nconnection: close\r\n\r\n12345678901", "413" },
    large_head = { "GET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\nx: LARGE\r\n\r\n", "431" },
    unresponsive = { "", "" },
)]
fn invalid_input_is_rejected_and_the_connection_closed(input: &str, status: &str) {
    actix_rt::System::new().block_on(async {
        let (server, address) = start(0, 10).await;
        let mut stream = TcpStream::connect(address).await.unwrap();
        send(&mut stream, &input.replace("LARGE", &"x".repeat(2000))).await;
        let response = read_all(&mut stream).await;
        assert!(response.contains(status), "{response}");
        assert!(
            input.is_empty() || response.contains("x-outcome: not_run"),
            "{response}"
        );
        let mut stream = TcpStream::connect(address).await.unwrap();
        send(
            &mut stream,
            "GET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n",
        )
        .await;
        assert!(read_all(&mut stream).await.starts_with("HTTP/1.1 200"));
        drop(server);
    });
}

/// Guards against a slow head on a connection that has been used before, for which
/// the HTTP library has no timeout.
#[actix_rt::test]
async fn a_slow_second_head_ends_the_connection() {
    let (_server, address) = start(0, 10).await;
    let mut stream = TcpStream::connect(address).await.unwrap();
    send(&mut stream, "GET / HTTP/1.1\r\nhost: a\r\n\r\n").await;
    read_until(&mut stream, "\r\n\r\n").await;
    send(&mut stream, "GET / HTT").await;
    assert_eq!(read_all(&mut stream).await, "");
}

/// Guards against callers that block others by holding idle connections.
#[actix_rt::test]
async fn an_idle_connection_is_closed_at_the_limit() {
    let (_server, address) = start(0, 2).await;
    let mut idle = Vec::new();
    for _ in 0..2 {
        let mut stream = TcpStream::connect(address).await.unwrap();
        send(&mut stream, "GET / HTTP/1.1\r\nhost: a\r\n\r\n").await;
        read_until(&mut stream, "\r\n\r\n").await;
        idle.push(stream);
    }
    let started = Instant::now();
    let mut stream = TcpStream::connect(address).await.unwrap();
    send(&mut stream, "GET / HTTP/1.1\r\nhost: a\r\n\r\n").await;
    read_until(&mut stream, "\r\n\r\n").await;
    assert!(started.elapsed() < Duration::from_millis(500));
    assert_eq!(
        read_all(&mut idle[0]).await,
        "",
        "the connection limit was exceeded"
    );
}

/// Guards against a drain that never ends, or that cuts off a request which is
/// running, waits in the kernel's backlog or arrives on an idle connection.
#[actix_rt::test]
async fn a_drain_responds_to_every_accepted_request() {
    let (server, address) = start(400, 10).await;
    let request = "GET / HTTP/1.1\r\nhost: a\r\n\r\n";
    let mut idle = TcpStream::connect(address).await.unwrap();
    send(&mut idle, request).await;
    read_until(&mut idle, "\r\n\r\n").await;
    let mut running = TcpStream::connect(address).await.unwrap();
    send(&mut running, request).await;
    actix_rt::time::sleep(Duration::from_millis(50)).await;
    let connect = std::net::TcpStream::connect(address).unwrap();
    connect.set_nonblocking(true).unwrap();
    let mut queued = TcpStream::from_std(connect).unwrap();
    let mut late = TcpStream::connect(address).await.unwrap();
    let callers = async {
        send(&mut queued, request).await;
        send(&mut late, request).await;
        send(&mut idle, request).await;
        for stream in [&mut running, &mut queued, &mut late, &mut idle] {
            let response = read_all(stream).await;
            assert!(response.contains("HTTP/1.1 200"), "{response}");
            assert!(response.contains("connection: close"), "{response}");
        }
    };
    let drain = actix_rt::time::timeout(WAIT_TIMEOUT, server.drain());
    let (ended, ()) = futures_util::future::join(drain, callers).await;
    ended.expect("the drain did not end");
    assert!(TcpStream::connect(address).await.is_err());
}
