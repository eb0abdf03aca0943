//! The platform stand-in behind a link that can fail.

use std::net::SocketAddr;
use std::time::Duration;

use tarragonpulley_backing::PlatformError;
use tarragonpulley_testkit::{LinkControl, PlatformControl, Process, ProcessCommand, TestClient};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

/// The deadline of the clients under test.
pub(crate) const DEADLINE: Duration = Duration::from_millis(400);
/// What a busy machine may add to a deadline.
pub(crate) const MARGIN: Duration = Duration::from_millis(600);
/// How long a test waits for what must happen.
pub(crate) const PATIENCE: Duration = Duration::from_secs(10);

pub(crate) struct TestPlatform {
    pub(crate) client: TestClient,
    pub(crate) address: SocketAddr,
    /// The same service through the link.
    pub(crate) linked: SocketAddr,
    link_control: SocketAddr,
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
        let linked = proxy.wait_for_address("listening").await.unwrap();
        let link_control = proxy.wait_for_address("control").await.unwrap();
        Self {
            client: TestClient::new(),
            address,
            linked,
            link_control,
            _platform: platform,
            _proxy: proxy,
        }
    }

    pub(crate) async fn control(&self, message: PlatformControl) {
        self.client.control(self.address, &message).await.unwrap();
    }

    pub(crate) async fn control_link(&self, message: LinkControl) {
        let message = LinkControl {
            link: "main".to_owned(),
            ..message
        };
        let answer = self.client.control(self.link_control, &message).await;
        answer.unwrap();
    }

    pub(crate) fn url(&self) -> String {
        format!("http://{}", self.address)
    }

    pub(crate) fn linked_url(&self) -> String {
        format!("http://{}", self.linked)
    }
}

/// An HTTP answer that announces `missing` bytes more than its body has.
pub(crate) fn raw_answer(status: &str, missing: usize, body: &str) -> String {
    let length = body.len() + missing;
    format!("HTTP/1.1 {status}\r\ncontent-length: {length}\r\n\r\n{body}")
}

/// A server that gives one answer, whatever is asked, and closes the
/// connection. Returns its base URL.
pub(crate) async fn answer_once(answer: String) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    actix_rt::spawn(async move {
        let (mut stream, _peer) = listener.accept().await.unwrap();
        let mut request = Vec::new();
        while !request.windows(4).any(|bytes| bytes == b"\r\n\r\n") {
            assert_ne!(stream.read_buf(&mut request).await.unwrap(), 0);
        }
        stream.write_all(answer.as_bytes()).await.unwrap();
        stream.shutdown().await.unwrap();
        // Reading to the end keeps unread bytes from resetting the connection.
        let _result = stream.read_to_end(&mut request).await;
    });
    format!("http://{address}")
}

/// The name of an error's variant.
pub(crate) fn kind(error: &PlatformError) -> &'static str {
    match error {
        PlatformError::NotReached(_) => "not reached",
        PlatformError::NoAnswer(_) => "no answer",
        PlatformError::InvalidAnswer(_) => "invalid answer",
        _ => "other",
    }
}

pub(crate) fn block_on<F: Future>(future: F) -> F::Output {
    actix_rt::System::new().block_on(future)
}
