//! HTTP client for tests: sends requests of callers and operators, and control
//! messages to stand-ins.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use awc::http::header::{CONTENT_LENGTH, HeaderMap};
use awc::http::{Method, StatusCode};
use awc::{Client, Connector};
use bytes::Bytes;
use eyre::{Result, WrapErr, ensure, eyre};
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;

/// Above every timeout of the daemon, so that a test sees the daemon's own
/// response and not a timeout of the client.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);
const MAX_RESPONSE_BYTES: usize = 64 * 1024 * 1024;

/// A request to send with [`TestClient::send`].
#[derive(Debug, Clone)]
pub struct TestRequest {
    method: Method,
    path: String,
    headers: Vec<(String, String)>,
    body: Bytes,
    timeout: Duration,
}

impl TestRequest {
    /// A request without body, with this method, such as `POST`, and this path.
    ///
    /// # Panics
    ///
    /// When the method isn't a valid token.
    #[must_use]
    pub fn new(method: &str, path: impl Into<String>) -> Self {
        Self {
            method: method.parse().expect("the method is a valid token"),
            path: path.into(),
            headers: Vec::new(),
            body: Bytes::new(),
            timeout: DEFAULT_TIMEOUT,
        }
    }

    /// A GET request for `path`.
    #[must_use]
    pub fn get(path: impl Into<String>) -> Self {
        Self::new("GET", path)
    }

    /// A POST request to `path`, without body.
    #[must_use]
    pub fn post(path: impl Into<String>) -> Self {
        Self::new("POST", path)
    }

    /// Appends a header; earlier values of the same name stay.
    #[must_use]
    pub fn header(mut self, name: &str, value: impl Into<String>) -> Self {
        self.headers.push((name.to_owned(), value.into()));
        self
    }

    /// Adds the `authorization` header with a team's API key.
    #[must_use]
    pub fn api_key(self, key: &str) -> Self {
        self.header("authorization", format!("Bearer {key}"))
    }

    /// Adds the `idempotency-key` header.
    #[must_use]
    pub fn idempotency_key(self, key: &str) -> Self {
        self.header("idempotency-key", key)
    }

    /// Sets the body.
    #[must_use]
    pub fn body(mut self, body: impl Into<Bytes>) -> Self {
        self.body = body.into();
        self
    }

    /// Sets a JSON body and its `content-type`.
    ///
    /// # Panics
    ///
    /// When the value can't be serialized as JSON.
    #[must_use]
    pub fn json(self, value: &impl Serialize) -> Self {
        let body = serde_json::to_vec(value).expect("the value can be serialized as JSON");
        self.header("content-type", "application/json").body(body)
    }

    /// Sets the timeout for the complete response; the default is 30 s.
    #[must_use]
    pub const fn timeout(mut self, timeout: Duration) -> Self {
        self.timeout = timeout;
        self
    }
}

/// A response with its complete body.
#[derive(Debug, Clone)]
pub struct TestResponse {
    /// Status code.
    pub status: StatusCode,
    /// Response headers.
    pub headers: HeaderMap,
    /// Complete response body.
    pub body: Bytes,
}

impl TestResponse {
    /// The status as a number.
    #[must_use]
    pub fn code(&self) -> u16 {
        self.status.as_u16()
    }

    /// The value of a header, if it is present and visible ASCII.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// The value of the `x-outcome` header.
    #[must_use]
    pub fn outcome(&self) -> Option<&str> {
        self.header("x-outcome")
    }

    /// The body as text, with replacement characters for invalid UTF-8.
    #[must_use]
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// Parses the body as JSON.
    ///
    /// # Errors
    ///
    /// When it isn't JSON of type `T`.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T> {
        serde_json::from_slice(&self.body)
            .wrap_err_with(|| format!("status {}, body {:?}", self.status, self.text()))
    }
}

/// HTTP client that returns responses of any status and follows no redirects.
#[derive(Clone)]
pub struct TestClient {
    client: Client,
}

impl fmt::Debug for TestClient {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("TestClient").finish_non_exhaustive()
    }
}

impl Default for TestClient {
    fn default() -> Self {
        Self::new()
    }
}

impl TestClient {
    /// A client with its own connection pool.
    #[must_use]
    pub fn new() -> Self {
        let connector = Connector::new().timeout(DEFAULT_TIMEOUT).limit(0);
        let client = Client::builder()
            .connector(connector)
            .disable_timeout()
            .disable_redirects()
            .finish();
        Self { client }
    }

    /// Sends a request once, without retries.
    ///
    /// # Errors
    ///
    /// When there is no complete response within the timeout.
    pub async fn send(&self, address: SocketAddr, request: &TestRequest) -> Result<TestResponse> {
        let exchange = self.exchange(address, request);
        match actix_rt::time::timeout(request.timeout, exchange).await {
            Ok(result) => result,
            Err(_elapsed) => Err(eyre!(
                "{} {}: no response within {} ms",
                request.method,
                request.path,
                request.timeout.as_millis()
            )),
        }
    }

    async fn exchange(&self, address: SocketAddr, request: &TestRequest) -> Result<TestResponse> {
        let url = format!("http://{address}{}", request.path);
        let mut sending = self.client.request(request.method.clone(), &url);
        for (name, value) in &request.headers {
            sending = sending.append_header((name.as_str(), value.as_str()));
        }
        let mut response = sending
            .send_body(request.body.clone())
            .await
            .map_err(|error| eyre!("{url}: {error}"))?;
        let body = response
            .body()
            .limit(MAX_RESPONSE_BYTES)
            .await
            .map_err(|error| eyre!("{url}: body: {error}"))?;
        let headers = response.headers().clone();
        let content_length = headers.get(CONTENT_LENGTH).and_then(|v| v.to_str().ok());
        // awc returns a truncated body without an error.
        if let Some(length) = content_length.filter(|_| request.method != Method::HEAD) {
            ensure!(
                length == body.len().to_string(),
                "{url}: the body ended after {} of {length} bytes",
                body.len()
            );
        }
        Ok(TestResponse {
            status: response.status(),
            headers,
            body,
        })
    }

    /// Sends a request and parses the JSON body of a 2xx response.
    ///
    /// # Errors
    ///
    /// When there is no complete response, its status isn't 2xx, or its body
    /// isn't JSON of type `T`.
    pub async fn expect_json<T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        request: &TestRequest,
    ) -> Result<T> {
        let response = self.send(address, request).await?;
        ensure!(
            response.status.is_success(),
            "{} {}: status {}, body {:?}",
            request.method,
            request.path,
            response.status,
            response.text()
        );
        response.json()
    }

    /// Sends a control message to a stand-in.
    ///
    /// # Errors
    ///
    /// When the stand-in rejects it or doesn't respond.
    pub async fn control(&self, address: SocketAddr, message: &impl Serialize) -> Result<Value> {
        let request = TestRequest::post("/control").json(message);
        self.expect_json(address, &request).await
    }

    /// Reads `/control/counts` of a stand-in.
    ///
    /// # Errors
    ///
    /// When there is no valid response.
    pub async fn counts<T: DeserializeOwned>(&self, address: SocketAddr) -> Result<T> {
        let request = TestRequest::get("/control/counts");
        self.expect_json(address, &request).await
    }

    /// Requests the entry instances for a customer from an instance.
    ///
    /// # Errors
    ///
    /// When there is no complete response.
    pub async fn look_up(&self, service: SocketAddr, customer: &str) -> Result<TestResponse> {
        let request = TestRequest::get(format!("/v1/lookup?customer={customer}"));
        self.send(service, &request).await
    }

    /// Applies contract files, given as pairs of file name and text, through an
    /// operator address.
    ///
    /// # Errors
    ///
    /// When the instance rejects them or doesn't respond.
    pub async fn apply(&self, operator: SocketAddr, files: &[(String, String)]) -> Result<Value> {
        let files: Vec<Value> = files
            .iter()
            .map(|(file, text)| serde_json::json!({"file": file, "text": text}))
            .collect();
        let request = TestRequest::post("/v1/apply").json(&serde_json::json!({"files": files}));
        self.expect_json(operator, &request).await
    }

    /// Grants an API key to a team, named `customer/team`.
    ///
    /// # Errors
    ///
    /// When the instance rejects the change or doesn't respond.
    pub async fn grant(&self, operator: SocketAddr, team: &str, key: &str) -> Result<Value> {
        let message = serde_json::json!({"team": team, "key": key});
        let request = TestRequest::post("/v1/keys/grant").json(&message);
        self.expect_json(operator, &request).await
    }

    /// Withdraws an API key.
    ///
    /// # Errors
    ///
    /// When the instance rejects the change or doesn't respond.
    pub async fn withdraw(&self, operator: SocketAddr, key: &str) -> Result<Value> {
        let message = serde_json::json!({"key": key});
        let request = TestRequest::post("/v1/keys/withdraw").json(&message);
        self.expect_json(operator, &request).await
    }
}
