//! Calls to the operator API.

use std::env;
use std::net::SocketAddr;
use std::time::Duration;

use awc::error::{ConnectError, SendRequestError};
use awc::http::Method;
use awc::{Client, Connector};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tarragonpulley_wire::operator::ErrorResponse;

use crate::exit::ToolError;

const VARIABLE: &str = "TARRAGONPULLEY_OPERATOR";
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// An instance answers a change after a write to the table and, when that was
/// not answered, after reading back; each takes at most 2 s.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(15);
const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;

/// Whether a call may be repeated on another instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CallKind {
    /// It only reads, so it may be repeated after any failure.
    Read,
    /// It changes something, so it may be repeated only when the instance was
    /// certainly not reached.
    Change,
}

/// The operator addresses, from flags or else from the environment.
pub(crate) fn addresses(flags: &[String]) -> Result<Vec<SocketAddr>, ToolError> {
    let (source, texts) = if flags.is_empty() {
        let value = env::var(VARIABLE).unwrap_or_default();
        let texts = value.split(',').map(str::trim).map(str::to_owned);
        (VARIABLE, texts.filter(|t| !t.is_empty()).collect())
    } else {
        ("--instance", flags.to_vec())
    };
    if texts.is_empty() {
        let message = format!("name an instance with --instance or {VARIABLE}");
        return Err(ToolError::Usage(message));
    }
    let parse = |text: &String| {
        let form = |_error| format!("{source}: {text:?} must be IP:PORT, as in 10.1.0.4:7001");
        text.parse().map_err(form)
    };
    let parsed: Result<Vec<SocketAddr>, String> = texts.iter().map(parse).collect();
    parsed.map_err(ToolError::Usage)
}

enum CallFailure {
    /// The instance certainly did not get the request.
    NotReached(String),
    /// It may have got the request.
    NoAnswer(String),
}

/// Calls the instances in turn until one answers.
pub(crate) async fn call<T: DeserializeOwned>(
    addresses: &[SocketAddr],
    kind: CallKind,
    method: Method,
    path: &str,
    body: Option<&impl Serialize>,
) -> Result<T, ToolError> {
    let mut failures = Vec::new();
    for address in addresses {
        let url = format!("http://{address}{path}");
        match send(&url, method.clone(), body).await {
            Ok((status, bytes)) => return read_answer(kind, status, &bytes),
            Err(CallFailure::NotReached(reason)) => {
                failures.push(format!("{address}: not reached: {reason}"));
            }
            Err(CallFailure::NoAnswer(reason)) if kind == CallKind::Read => {
                failures.push(format!("{address}: no answer: {reason}"));
            }
            Err(CallFailure::NoAnswer(reason)) => {
                let text = format!("{address} did not answer: {reason}");
                return Err(ToolError::Unknown(text));
            }
        }
    }
    Err(ToolError::Unavailable(failures.join("\n")))
}

fn failure(error: &SendRequestError) -> CallFailure {
    match error {
        // awc also reports `Disconnected` when the connection closes after the
        // request was sent and before the answer.
        SendRequestError::Connect(ConnectError::Disconnected) => {
            CallFailure::NoAnswer("the connection closed".to_owned())
        }
        SendRequestError::Connect(_) | SendRequestError::Url(_) => {
            CallFailure::NotReached(error.to_string())
        }
        _ => CallFailure::NoAnswer(error.to_string()),
    }
}

async fn send(
    url: &str,
    method: Method,
    body: Option<&impl Serialize>,
) -> Result<(u16, Vec<u8>), CallFailure> {
    let client = Client::builder()
        .connector(Connector::new().timeout(CONNECT_TIMEOUT))
        .timeout(ANSWER_TIMEOUT)
        .finish();
    let request = client.request(method, url);
    let sent = match body {
        Some(body) => request.send_json(body).await,
        None => request.send().await,
    };
    let mut response = sent.map_err(|error| failure(&error))?;
    let status = response.status().as_u16();
    let bytes = response.body().limit(MAX_RESPONSE_BYTES).await;
    let bytes = bytes.map_err(|error| CallFailure::NoAnswer(error.to_string()))?;
    Ok((status, bytes.to_vec()))
}

fn read_answer<T: DeserializeOwned>(
    kind: CallKind,
    status: u16,
    bytes: &[u8],
) -> Result<T, ToolError> {
    let invalid = |error: serde_json::Error| {
        let text = format!("the answer with status {status} is not valid: {error}");
        match kind {
            CallKind::Read => ToolError::Unavailable(text),
            CallKind::Change => ToolError::Unknown(text),
        }
    };
    if status == 200 {
        return serde_json::from_slice(bytes).map_err(invalid);
    }
    let answer: ErrorResponse = serde_json::from_slice(bytes).map_err(invalid)?;
    Err(answer.into())
}
