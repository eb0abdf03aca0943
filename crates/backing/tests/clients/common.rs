//! The platform stand-in, reachable directly and through a proxy that injects
//! faults, and helpers of the tests.

use std::net::SocketAddr;
use std::time::Duration;

use tarragonpulley_backing::PlatformError;
use tarragonpulley_testkit::{LinkControl, PlatformControl, Process, ProcessCommand, TestClient};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

/// The call timeout of the clients under test.
pub(crate) const CALL_TIMEOUT: Duration = Duration::from_millis(400);
/// Extra time allowed on top of a timeout, for busy machines.
pub(crate) const TIMEOUT_MARGIN: Duration = Duration::from_millis(600);
/// How long tests wait for an expected condition.
pub(crate) const WAIT_TIMEOUT: Duration = Duration::from_secs(10);

pub(crate) struct TestPlatform {
    pub(crate) client: TestClient,
    pub(crate) address: SocketAddr,
    /// The address of the proxy in front of `address`.
    pub(crate) proxied: SocketAddr,
    proxy_control: SocketAddr,
    _platform: Process,
    _proxy: Process,
}

impl TestPlatform {
    pub(crate) async fn start() -> Self {
        let mut platform = ProcessCommand::new("standin-platform")
            .arg("--until-stdin-closes")
            .start()
            .unwrap();
        let address = platform.wait_for_address("listening").await.unwrap();
        let mut proxy = ProcessCommand::new("fault-proxy")
            .arg("--until-stdin-closes")
            .flag("--target", &address)
            .start()
            .unwrap();
        let proxied = proxy.wait_for_address("listening").await.unwrap();
        let proxy_control = proxy.wait_for_address("control").await.unwrap();
        Self {
            client: TestClient::new(),
            address,
            proxied,
            proxy_control,
            _platform: platform,
            _proxy: proxy,
        }
    }

    pub(crate) async fn control(&self, message: PlatformControl) {
        self.client.control(self.address, &message).await.unwrap();
    }

    pub(crate) async fn control_proxy(&self, message: LinkControl) {
        let message = LinkControl {
            link: "main".to_owned(),
            ..message
        };
        let response = self.client.control(self.proxy_control, &message).await;
        response.unwrap();
    }

    pub(crate) fn url(&self) -> String {
        format!("http://{}", self.address)
    }

    pub(crate) fn proxied_url(&self) -> String {
        format!("http://{}", self.proxied)
    }
}

/// An HTTP response whose content-length exceeds the length of its body by
/// `missing` bytes.
pub(crate) fn raw_response(status: &str, missing: usize, body: &str) -> String {
    let length = body.len() + missing;
    format!("HTTP/1.1 {status}\r\ncontent-length: {length}\r\n\r\n{body}")
}

/// Starts a server that sends `response` to the first request, whatever it is,
/// and closes the connection. Returns its base URL.
pub(crate) async fn respond_once(response: String) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    actix_rt::spawn(async move {
        let (mut stream, _peer) = listener.accept().await.unwrap();
        let mut request = Vec::new();
        while !request.windows(4).any(|bytes| bytes == b"\r\n\r\n") {
            assert_ne!(stream.read_buf(&mut request).await.unwrap(), 0);
        }
        stream.write_all(response.as_bytes()).await.unwrap();
        stream.shutdown().await.unwrap();
        // Closing a socket with unread bytes would reset the connection.
        let _result = stream.read_to_end(&mut request).await;
    });
    format!("http://{address}")
}

/// The name of the variant of an error, for comparison.
pub(crate) fn kind(error: &PlatformError) -> &'static str {
    match error {
        PlatformError::NotExecuted(_) => "not executed",
        PlatformError::NoResponse(_) => "no response",
        PlatformError::InvalidResponse(_) => "invalid response",
        _ => "other",
    }
}

pub(crate) fn block_on<F: Future>(future: F) -> F::Output {
    actix_rt::System::new().block_on(future)
}
