//! Tests of each fault of the fault proxy, from both ends of a connection.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use actix_rt::time::timeout;
use tarragonpulley_testkit::{
    DirectionFault, FreezeDirections, LinkControl, Process, ProcessCommand, TestClient, wait_until,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use yare::parameterized;

use crate::{QUIET_PERIOD, WAIT_TIMEOUT, block_on};

struct TestLink {
    listener: TcpListener,
    address: SocketAddr,
    control: SocketAddr,
    client: TestClient,
    _proxy: Process,
}

impl TestLink {
    async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let mut proxy = ProcessCommand::new("fault-proxy")
            .arg("--until-stdin-closes")
            .flag("--target", &listener.local_addr().unwrap())
            .start()
            .unwrap();
        Self {
            listener,
            address: proxy.wait_for_address("listening").await.unwrap(),
            control: proxy.wait_for_address("control").await.unwrap(),
            client: TestClient::new(),
            _proxy: proxy,
        }
    }

    /// Opens a connection through the link and returns its client and server
    /// ends.
    async fn connect(&self) -> (TcpStream, TcpStream) {
        let near = TcpStream::connect(self.address).await.unwrap();
        let (far, _peer) = timeout(WAIT_TIMEOUT, self.listener.accept())
            .await
            .unwrap()
            .unwrap();
        (near, far)
    }

    async fn set(&self, message: LinkControl) {
        let link = "main".to_owned();
        let message = LinkControl { link, ..message };
        let response = self.client.control(self.control, &message).await;
        response.unwrap();
    }
}

async fn passes(from: &mut TcpStream, to: &mut TcpStream) -> bool {
    from.write_all(b"ping").await.unwrap();
    receives(to, WAIT_TIMEOUT).await
}

async fn receives(stream: &mut TcpStream, wait_time: Duration) -> bool {
    let mut bytes = [0; 4];
    let read = timeout(wait_time, stream.read_exact(&mut bytes)).await;
    read.is_ok_and(|result| result.is_ok() && bytes == *b"ping")
}

fn both_directions(to_target: DirectionFault, to_client: DirectionFault) -> LinkControl {
    LinkControl {
        to_target: Some(to_target),
        to_client: Some(to_client),
        ..LinkControl::default()
    }
}

const CUT: DirectionFault = DirectionFault {
    cut: true,
    delay_ms: 0,
    bytes_per_second: 0,
};
const NO_FAULT: DirectionFault = DirectionFault { cut: false, ..CUT };

/// Guards against losing data or the end of a stream without a fault.
#[test]
fn passes_bytes_and_the_end_both_ways() {
    block_on(async {
        let link = TestLink::start().await;
        let (mut near, mut far) = link.connect().await;
        assert!(passes(&mut near, &mut far).await);
        assert!(passes(&mut far, &mut near).await);
        near.shutdown().await.unwrap();
        assert_eq!(far.read(&mut [0]).await.unwrap(), 0);
        // The other direction of a half-closed connection stays usable.
        assert!(passes(&mut far, &mut near).await);
    });
}

/// Guards against a cut that affects the other direction, drops data that TCP
/// would retransmit, or doesn't end.
#[parameterized(
    to_target = { true },
    to_client = { false },
)]
fn a_cut_blocks_one_direction(to_target: bool) {
    block_on(async {
        let link = TestLink::start().await;
        let (mut near, mut far) = link.connect().await;
        assert!(passes(&mut near, &mut far).await);
        if to_target {
            link.set(both_directions(CUT, NO_FAULT)).await;
        } else {
            link.set(both_directions(NO_FAULT, CUT)).await;
            (near, far) = (far, near);
        }
        near.write_all(b"ping").await.unwrap();
        assert!(!receives(&mut far, QUIET_PERIOD).await);
        assert!(passes(&mut far, &mut near).await);
        link.set(both_directions(NO_FAULT, NO_FAULT)).await;
        assert!(receives(&mut far, WAIT_TIMEOUT).await);
    });
}

/// Guards against frozen connections that resume, and against new connections
/// that are frozen too.
#[parameterized(
    to_target = { true },
    to_client = { false },
)]
fn frozen_connections_carry_no_data_while_new_ones_work(to_target: bool) {
    block_on(async {
        let link = TestLink::start().await;
        let (mut near, mut far) = link.connect().await;
        assert!(passes(&mut near, &mut far).await);
        link.set(LinkControl {
            freeze_existing: FreezeDirections {
                to_target,
                to_client: !to_target,
            },
            ..LinkControl::default()
        })
        .await;
        if !to_target {
            (near, far) = (far, near);
        }
        near.write_all(b"ping").await.unwrap();
        assert!(passes(&mut far, &mut near).await);
        link.set(both_directions(NO_FAULT, NO_FAULT)).await;
        assert!(!receives(&mut far, QUIET_PERIOD).await);
        let (mut new_near, mut new_far) = link.connect().await;
        assert!(passes(&mut new_near, &mut new_far).await);
        assert!(passes(&mut new_far, &mut new_near).await);
    });
}

/// Guards against a delay or bandwidth limit that has no effect, or affects the
/// other direction.
#[parameterized(
    delay = { DirectionFault { delay_ms: 1000, ..NO_FAULT }, Duration::from_secs(1) },
    // 4 bytes take 1 s.
    throttle = { DirectionFault { bytes_per_second: 4, ..NO_FAULT }, Duration::from_secs(1) },
)]
fn a_slow_direction_delays_data(fault: DirectionFault, min_duration: Duration) {
    block_on(async {
        let link = TestLink::start().await;
        let (mut near, mut far) = link.connect().await;
        link.set(both_directions(fault, NO_FAULT)).await;
        let start = Instant::now();
        assert!(passes(&mut near, &mut far).await);
        assert!(start.elapsed() >= min_duration, "{:?}", start.elapsed());
        let start = Instant::now();
        assert!(passes(&mut far, &mut near).await);
        assert!(start.elapsed() < min_duration, "{:?}", start.elapsed());
    });
}

/// Guards against refused connections that clients see as accepted and then
/// closed, and against a link that closes existing connections as well.
#[test]
fn refuses_new_connections_only() {
    block_on(async {
        let link = TestLink::start().await;
        let (mut near, mut far) = link.connect().await;
        let refuse = |refuse| LinkControl {
            refuse: Some(refuse),
            ..LinkControl::default()
        };
        link.set(refuse(true)).await;
        wait_until("connections are refused", WAIT_TIMEOUT, async || {
            TcpStream::connect(link.address).await.is_err()
        })
        .await
        .unwrap();
        assert!(passes(&mut near, &mut far).await);
        link.set(refuse(false)).await;
        wait_until("connections are accepted", WAIT_TIMEOUT, async || {
            TcpStream::connect(link.address).await.is_ok()
        })
        .await
        .unwrap();
    });
}

/// Guards against connections that stay open after `close_existing`.
#[test]
fn closes_existing_connections() {
    block_on(async {
        let link = TestLink::start().await;
        let (mut near, mut far) = link.connect().await;
        assert!(passes(&mut near, &mut far).await);
        link.set(LinkControl {
            close_existing: true,
            ..LinkControl::default()
        })
        .await;
        for end in [&mut near, &mut far] {
            let read = timeout(WAIT_TIMEOUT, end.read(&mut [0])).await.unwrap();
            assert!(matches!(read, Ok(0) | Err(_)), "{read:?}");
        }
        let (mut near, mut far) = link.connect().await;
        assert!(passes(&mut near, &mut far).await);
    });
}
