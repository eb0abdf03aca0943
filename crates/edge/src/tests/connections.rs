//! Connections of callers that end while several requests on them are in progress.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures_util::future::LocalBoxFuture;
use tarragonpulley_policy::entry::config::CallerLimits;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::sync::watch;
use yare::parameterized;

use crate::http::account::{ClientAccount, ClientGroup, ClientLimits, ClientRefusal};
use crate::http::budget::BufferBudget;
use crate::http::message::{CallerRequest, CallerResponse, RequestHead};
use crate::http::server::{RequestHandler, ShutdownPhase, bind, serve, write_while_read};

/// The timeout of a test.
const TEST_TIMEOUT: Duration = Duration::from_secs(10);

/// Small, so that most of a long response waits at the server until it is read.
const RECEIVE_BUFFER_BYTES: u32 = 4 * 1024;

/// The memory for the bodies of all requests.
const BODY_MEMORY_BYTES: usize = 256 * 1024;

/// The targets of the requests that were begun, completed or dropped.
#[derive(Debug, Default)]
struct HandledTargets {
    begun: Vec<String>,
    dropped: Vec<String>,
}

/// The size of the body of `/MILLIS/long` in bytes.
const LONG_BODY_BYTES: usize = 40 * 1024;

/// Responds as the target says: `/MILLIS` after this time, `/MILLIS/close` so that the
/// connection is to be closed, `/MILLIS/long` so too and with a long body, and
/// `/MILLIS/panic` panics then.
#[derive(Debug)]
struct TargetHandler {
    targets: Rc<RefCell<HandledTargets>>,
    budget: Rc<BufferBudget>,
    account: Rc<ClientAccount>,
}

/// Records a request as dropped unless it completed.
struct HandlingGuard {
    targets: Rc<RefCell<HandledTargets>>,
    target: Option<String>,
}

impl HandlingGuard {
    fn complete(&mut self) {
        self.target = None;
    }
}

impl Drop for HandlingGuard {
    fn drop(&mut self) {
        if let Some(target) = self.target.take() {
            self.targets.borrow_mut().dropped.push(target);
        }
    }
}

impl RequestHandler for TargetHandler {
    fn handle(&self, request: CallerRequest) -> LocalBoxFuture<'static, CallerResponse> {
        let target = request.head.target.clone();
        self.targets.borrow_mut().begun.push(target.clone());
        let mut guard = HandlingGuard {
            targets: Rc::clone(&self.targets),
            target: Some(target.clone()),
        };
        Box::pin(async move {
            let mut parts = target.split('/').skip(1);
            let millis = parts.next().and_then(|part| part.parse().ok());
            tokio::time::sleep(Duration::from_millis(millis.unwrap_or(0))).await;
            guard.complete();
            // Held until the response, as by the instance.
            drop(request);
            match parts.next() {
                Some("close") => CallerResponse::empty(503).closing(),
                Some("long") => CallerResponse::empty(200)
                    .with_body("text/plain", vec![b'x'; LONG_BODY_BYTES])
                    .closing(),
                Some("panic") => panic!("the request asked for it"),
                _ => CallerResponse::empty(200),
            }
        })
    }

    fn limits(&self) -> CallerLimits {
        CallerLimits {
            max_header_bytes: 16 * 1024,
            max_body_bytes: 1024 * 1024,
            header_timeout: Duration::from_millis(300),
            idle_timeout: Duration::from_millis(300),
        }
    }

    fn body_budget(&self) -> Rc<BufferBudget> {
        Rc::clone(&self.budget)
    }

    fn account(&self) -> Rc<ClientAccount> {
        Rc::clone(&self.account)
    }

    fn group(&self) -> ClientGroup {
        ClientGroup::Callers
    }

    fn reject_body(&self, _head: &RequestHead) -> CallerResponse {
        CallerResponse::empty(503).with_field("Retry-After", "1")
    }

    fn reject_request(&self, _head: &RequestHead) -> CallerResponse {
        CallerResponse::empty(503)
    }

    fn record_refusal(&self, _refusal: ClientRefusal) {}

    fn record_panic(&self, _reason: &str) {}
}

/// A running server and a connection to it.
struct TestServer {
    phase: watch::Sender<ShutdownPhase>,
    targets: Rc<RefCell<HandledTargets>>,
    budget: Rc<BufferBudget>,
    address: SocketAddr,
    stream: TcpStream,
    received: Vec<u8>,
}

impl TestServer {
    async fn start() -> Self {
        let listener = bind(SocketAddr::from(([127, 0, 0, 1], 0)))
            .await
            .expect("a free port");
        let address = listener.local_addr().expect("a bound address");
        let (phase, receiver) = watch::channel(ShutdownPhase::Running);
        let handler = TargetHandler {
            targets: Rc::default(),
            budget: BufferBudget::new(BODY_MEMORY_BYTES),
            account: ClientAccount::new(ClientLimits {
                connections: 100,
                management_connections: 100,
                requests: 100,
                memory_bytes: 16 * BODY_MEMORY_BYTES,
            }),
        };
        let (targets, budget) = (Rc::clone(&handler.targets), Rc::clone(&handler.budget));
        actix_rt::spawn(serve(listener, Rc::new(handler), receiver));
        let socket = TcpSocket::new_v4().expect("a socket");
        socket
            .set_recv_buffer_size(RECEIVE_BUFFER_BYTES)
            .expect("an open socket");
        let stream = socket.connect(address).await.expect("a connection");
        stream.set_nodelay(true).expect("an open connection");
        Self {
            phase,
            targets,
            budget,
            address,
            stream,
            received: Vec::new(),
        }
    }

    /// Another connection to the same server.
    async fn connect_again(&self) -> Self {
        Self {
            phase: self.phase.clone(),
            targets: Rc::clone(&self.targets),
            budget: Rc::clone(&self.budget),
            address: self.address,
            stream: TcpStream::connect(self.address)
                .await
                .expect("a connection"),
            received: Vec::new(),
        }
    }

    /// Sends requests at once, without waiting for responses.
    async fn send(&mut self, targets: &[&str]) {
        let requests = targets
            .iter()
            .map(|target| format!("GET {target} HTTP/1.1\r\nHost: x\r\n\r\n"));
        let text = requests.collect::<Vec<_>>().concat();
        self.stream
            .write_all(text.as_bytes())
            .await
            .expect("the connection is open");
    }

    /// The status of the next response, and whether it closes the connection; `None` at
    /// the end of the connection.
    async fn next_response(&mut self) -> Option<(u16, bool)> {
        let end = loop {
            let end = self
                .received
                .windows(4)
                .position(|part| part == b"\r\n\r\n");
            if let Some(end) = end {
                break end;
            }
            let count = self.stream.read_buf(&mut self.received).await.ok()?;
            if count == 0 {
                return None;
            }
        };
        let head: Vec<u8> = self.received.drain(..end + 4).collect();
        let head = String::from_utf8(head).expect("text");
        let status = head.split(' ').nth(1).and_then(|text| text.parse().ok());
        Some((status?, head.contains("Connection: close")))
    }

    /// All responses until the end of the connection.
    async fn all_responses(&mut self) -> Vec<(u16, bool)> {
        let mut responses = Vec::new();
        while let Some(response) = self.next_response().await {
            responses.push(response);
        }
        responses
    }

    fn dropped(&self) -> Vec<String> {
        self.targets.borrow().dropped.clone()
    }
}

fn run(test: impl Future<Output = ()>) {
    actix_rt::System::new()
        .block_on(async { tokio::time::timeout(TEST_TIMEOUT, test).await })
        .expect("the test completes");
}

/// Guards against requests that are cut because a caller which pipelines without a pause
/// is never told to leave before the process ends.
#[parameterized(
    in_progress_at_the_signal = { &[ShutdownPhase::Draining, ShutdownPhase::Closing] },
    late_signal = { &[ShutdownPhase::Closing] },
)]
fn a_stop_ends_a_connection_that_always_has_requests_in_progress(phases: &[ShutdownPhase]) {
    run(async {
        let mut server = TestServer::start().await;
        server.send(&["/100", "/150", "/200"]).await;
        assert_eq!(server.next_response().await, Some((200, false)));
        for phase in phases {
            server.send(&["/150"]).await;
            tokio::time::sleep(Duration::from_millis(20)).await;
            server.phase.send_replace(*phase);
        }
        let mut statuses = Vec::new();
        let mut closed = false;
        for _ in 0..20 {
            let Some((status, closes)) = server.next_response().await else {
                break;
            };
            statuses.push(status);
            closed |= closes;
            if closes {
                break;
            }
            // One request takes the place of each that is answered.
            server.send(&["/150"]).await;
        }
        assert!(closed, "{statuses:?}");
        let begun = server.targets.borrow().begun.len();
        assert_eq!(begun, statuses.len() + 1, "responses: {statuses:?}");
        assert_eq!(server.dropped(), Vec::<String>::new());
    });
}

/// Guards against a request that is passed on after the instance began to close its
/// connections: it could still be in progress when the process ends.
#[test]
fn requests_behind_others_are_not_begun_while_connections_are_closed() {
    run(async {
        let mut server = TestServer::start().await;
        server.send(&["/200"]).await;
        tokio::time::sleep(Duration::from_millis(50)).await;
        server.phase.send_replace(ShutdownPhase::Closing);
        tokio::time::sleep(Duration::from_millis(20)).await;
        server.send(&["/0/late", "/0/later"]).await;
        assert_eq!(server.all_responses().await, [(200, true)]);
        assert_eq!(server.targets.borrow().begun, ["/200"]);
    });
}

/// Guards against a half-read request that ends a connection on which others are in
/// progress.
#[test]
fn a_half_read_request_cuts_none_in_progress_at_a_stop() {
    run(async {
        let mut server = TestServer::start().await;
        server.send(&["/700"]).await;
        server
            .stream
            .write_all(b"POST /0/half HTTP/1.1\r\nContent-Length: 10\r\n\r\n12345")
            .await
            .expect("the connection is open");
        tokio::time::sleep(Duration::from_millis(50)).await;
        server.phase.send_replace(ShutdownPhase::Closing);
        assert_eq!(server.all_responses().await, [(200, true)]);
        assert_eq!(server.dropped(), Vec::<String>::new());
    });
}

/// Guards against requests that are cut, though a server works on them, because the
/// response to an earlier request of the connection closes it.
#[parameterized(
    rejection = { "/50/close", 503 },
    panic = { "/50/panic", 500 },
)]
fn a_response_that_closes_the_connection_cuts_none_in_progress(first: &str, status: u16) {
    run(async {
        let mut server = TestServer::start().await;
        server.send(&[first, "/200", "/300"]).await;
        assert_eq!(server.next_response().await, Some((status, false)));
        // Sent again by the caller, as it was sent behind the last response.
        server.send(&["/0/late"]).await;
        assert_eq!(server.all_responses().await, [(200, false), (200, true)]);
        let targets = server.targets.borrow();
        assert_eq!(targets.begun, [first, "/200", "/300"]);
        let dropped: Vec<&String> = targets.dropped.iter().filter(|it| *it != first).collect();
        assert_eq!(dropped, Vec::<&String>::new());
    });
}

/// A rejection without other requests in progress closes the connection at once, and
/// those behind it were not begun.
#[test]
fn a_response_that_closes_the_connection_is_the_last_one() {
    run(async {
        let mut server = TestServer::start().await;
        server.send(&["/0/close"]).await;
        assert_eq!(server.all_responses().await, [(503, true)]);
    });
}

/// Guards against the end of a response that is lost because the connection is closed,
/// with requests behind it unread, before a slow caller has received all of it.
#[test]
fn a_closing_response_reaches_a_caller_that_reads_late() {
    run(async {
        let mut server = TestServer::start().await;
        server.send(&["/0/long"]).await;
        tokio::time::sleep(Duration::from_millis(700)).await;
        server.send(&["/0/late"]).await;
        tokio::time::sleep(Duration::from_millis(700)).await;
        let mut received = Vec::new();
        let end = server.stream.read_to_end(&mut received).await;
        let is_whole = received.ends_with(&vec![b'x'; LONG_BODY_BYTES]);
        assert!(is_whole, "{} bytes, then {end:?}", received.len());
    });
}

/// Guards against a long response that is cut because a caller takes longer to receive it
/// than one write may wait, although it reads all the time.
#[test]
fn a_response_is_written_for_as_long_as_its_caller_reads() {
    const PIECES: usize = 30;
    const PIECE_BYTES: usize = 100;
    let read_some = async |reader: &mut tokio::io::DuplexStream, pieces: usize| {
        for _ in 0..pieces {
            tokio::time::sleep(Duration::from_secs(1)).await;
            let mut piece = [0; PIECE_BYTES];
            reader.read_exact(&mut piece).await.expect("a piece");
        }
    };
    for (pieces_read, is_written) in [(PIECES, true), (PIECES / 2, false)] {
        actix_rt::System::new().block_on(async {
            tokio::time::pause();
            let (mut writer, mut reader) = tokio::io::duplex(PIECE_BYTES);
            let bytes = [b'x'; PIECES * PIECE_BYTES];
            let write = write_while_read(&mut writer, &bytes, |_count| ());
            let read = read_some(&mut reader, pieces_read);
            let both = async { tokio::join!(write, read).0 };
            let written = tokio::time::timeout(Duration::from_mins(2), both).await;
            assert_eq!(written, Ok(is_written), "{pieces_read} pieces read");
        });
    }
}

/// Guards against bodies that together take more memory than the process has.
#[parameterized(
    with_a_length = { "Content-Length: 131072\r\n\r\n", 131_072, 2 },
    in_chunks = { "Transfer-Encoding: chunked\r\n\r\n10000\r\n", 65_536, 2 },
    short_with_a_length = { "Content-Length: 20000\r\n\r\n", 20_000, 20 },
)]
fn bodies_beyond_the_memory_are_rejected(head: &str, bytes: usize, accepted: usize) {
    run(async {
        let server = TestServer::start().await;
        let mut statuses = Vec::new();
        let mut open = Vec::new();
        for index in 0..=accepted {
            let mut caller = server.connect_again().await;
            let text = format!("POST /500/{index} HTTP/1.1\r\nHost: x\r\n{head}");
            let mut request = text.into_bytes();
            request.extend(vec![b'x'; bytes]);
            if head.contains("chunked") {
                request.extend(b"\r\n0\r\n\r\n");
            }
            // The server may not read all of a request that it rejects.
            drop(caller.stream.write_all(&request).await);
            tokio::time::sleep(Duration::from_millis(5)).await;
            open.push(caller);
        }
        assert!(server.budget.used() <= BODY_MEMORY_BYTES + 20 * 20_000);
        for caller in &mut open {
            statuses.push(caller.next_response().await);
        }
        let expected = if bytes > 32 * 1024 {
            (503, true)
        } else {
            (200, false)
        };
        let (last, others) = statuses.split_last().expect("a response");
        assert_eq!(*last, Some(expected));
        assert!(
            others.iter().all(|status| *status == Some((200, false))),
            "{others:?}"
        );
        drop(open);
        tokio::time::sleep(Duration::from_millis(50)).await;
        assert_eq!(server.budget.used(), 0, "all memory is released");
    });
}
