//! Exchanges with servers that end their connection while a request is in progress.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

use crate::http::budget::BufferBudget;
use crate::http::client::{ExchangeError, ExchangeProgress, ServerConnection, ServerResponse};

const ID_FIELD: &str = "X-Request";
const REQUEST_ID: &str = "request-1";
const TEST_TIMEOUT: Duration = Duration::from_secs(10);

/// Larger than the buffers of both sockets together.
const LONG_BODY_BYTES: usize = 16 * 1024 * 1024;

/// Starts a server that reads a request's head, handles one connection and ends.
fn start_server(handle: impl FnOnce(TcpStream) + Send + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("a bound address");
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            let mut byte = [0];
            stream.read_exact(&mut byte).expect("a request head");
            head.extend_from_slice(&byte);
        }
        handle(stream);
    });
    address
}

/// Sends one request on a new connection.
fn exchange(address: SocketAddr, body_bytes: usize) -> Result<ServerResponse, ExchangeError> {
    let head = format!(
        "POST / HTTP/1.1\r\n{ID_FIELD}: {REQUEST_ID}\r\nContent-Length: {body_bytes}\r\n\r\n"
    );
    let request = [head.into_bytes(), vec![b'x'; body_bytes]].concat();
    actix_rt::System::new().block_on(async {
        let mut connection = ServerConnection::open(address, TEST_TIMEOUT)
            .await
            .expect("a connection");
        let (progress, budget) = (
            ExchangeProgress::default(),
            BufferBudget::new(LONG_BODY_BYTES),
        );
        let id = Some((ID_FIELD, REQUEST_ID));
        let exchange = connection.exchange("POST", &request, id, &progress, &budget);
        tokio::time::timeout(TEST_TIMEOUT, exchange)
            .await
            .expect("the exchange ends")
    })
}

/// Guards against a truthful rejection that is taken for a broken connection, because the
/// server closes it before it has read the whole request.
#[test]
fn a_response_before_the_end_of_the_request_is_read_when_the_server_closes() {
    let address = start_server(|mut stream| {
        let response =
            format!("HTTP/1.1 503 X\r\n{ID_FIELD}: {REQUEST_ID}\r\nContent-Length: 4\r\n\r\nfull");
        stream
            .write_all(response.as_bytes())
            .expect("an open connection");
        // Closing with unread bytes resets the connection.
    });
    let response = exchange(address, LONG_BODY_BYTES).expect("the server's response");
    assert_eq!(
        (response.head.status, &response.body[..]),
        (503, &b"full"[..])
    );
}

/// Guards against a response without a length that is taken for complete though its
/// connection was reset.
#[test]
fn a_response_without_a_length_is_not_complete_after_a_failed_write() {
    let address = start_server(|mut stream| {
        let response = format!("HTTP/1.1 200 X\r\n{ID_FIELD}: {REQUEST_ID}\r\n\r\npart");
        stream
            .write_all(response.as_bytes())
            .expect("an open connection");
    });
    let result = exchange(address, LONG_BODY_BYTES);
    assert!(
        result.is_err(),
        "{:?}",
        result.map(|response| response.body)
    );
}
