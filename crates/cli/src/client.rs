//! Client for the operator API.

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

const ADDRESSES_VARIABLE: &str = "TARRAGONPULLEY_OPERATOR";
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Before an instance responds to a change it writes to the table and, if it got
/// no response to the write, reads the table back. Each takes at most 2 s.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(15);
const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;

/// Determines when a call may be retried on another instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CallKind {
    /// A read without side effects, which may be retried after any failure.
    Read,
    /// A change, which may be retried only if the request was certainly not sent.
    Change,
}

/// Returns the operator addresses, from the flags or, without flags, from the
/// environment.
pub(crate) fn addresses(flags: &[String]) -> Result<Vec<SocketAddr>, ToolError> {
    let (source, texts) = if flags.is_empty() {
        let value = env::var(ADDRESSES_VARIABLE).unwrap_or_default();
        let texts = value.split(',').map(str::trim).map(str::to_owned);
        (
            ADDRESSES_VARIABLE,
            texts.filter(|t| !t.is_empty()).collect(),
        )
    } else {
        ("--instance", flags.to_vec())
    };
    if texts.is_empty() {
        let message = format!("name an instance with --instance or {ADDRESSES_VARIABLE}");
        return Err(ToolError::Usage(message));
    }
    let parse = |text: &String| {
        let format_error =
            |_error| format!("{source}: {text:?} must be IP:PORT, as in 10.1.0.4:7001");
        text.parse().map_err(format_error)
    };
    let parsed: Result<Vec<SocketAddr>, String> = texts.iter().map(parse).collect();
    parsed.map_err(ToolError::Usage)
}

/// Why an instance did not respond.
enum CallFailure {
    /// The request was certainly not sent.
    NotSent(String),
    /// The instance may have received the request.
    NoResponse(String),
}

/// Calls the instances in order until one responds. A change is not retried if
/// an instance may have received it.
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
            Ok((status, bytes)) => return decode_response(kind, status, &bytes),
            Err(CallFailure::NotSent(reason)) => {
                failures.push(format!("{address}: not reached: {reason}"));
            }
            Err(CallFailure::NoResponse(reason)) if kind == CallKind::Read => {
                failures.push(format!("{address}: no answer: {reason}"));
            }
            Err(CallFailure::NoResponse(reason)) => {
                let text = format!("{address} did not answer: {reason}");
                return Err(ToolError::UnknownOutcome(text));
            }
        }
    }
    Err(ToolError::Unavailable(failures.join("\n")))
}

fn classify_send_error(error: &SendRequestError) -> CallFailure {
    match error {
        // awc also reports `Disconnected` if the connection closes between the
        // request and the response.
        SendRequestError::Connect(ConnectError::Disconnected) => {
            CallFailure::NoResponse("the connection closed".to_owned())
        }
        SendRequestError::Connect(_) | SendRequestError::Url(_) => {
            CallFailure::NotSent(error.to_string())
        }
        _ => CallFailure::NoResponse(error.to_string()),
    }
}

async fn send(
    url: &str,
    method: Method,
    body: Option<&impl Serialize>,
) -> Result<(u16, Vec<u8>), CallFailure> {
    let client = Client::builder()
        .connector(Connector::new().timeout(CONNECT_TIMEOUT))
        .timeout(RESPONSE_TIMEOUT)
        .finish();
    let request = client.request(method, url);
    let sent = match body {
        Some(body) => request.send_json(body).await,
        None => request.send().await,
    };
    let mut response = sent.map_err(|error| classify_send_error(&error))?;
    let status = response.status().as_u16();
    let bytes = response.body().limit(MAX_RESPONSE_BYTES).await;
    let bytes = bytes.map_err(|error| CallFailure::NoResponse(error.to_string()))?;
    Ok((status, bytes.to_vec()))
}

fn decode_response<T: DeserializeOwned>(
    kind: CallKind,
    status: u16,
    bytes: &[u8],
) -> Result<T, ToolError> {
    let invalid = |error: serde_json::Error| {
        let text = format!("the answer with status {status} is not valid: {error}");
        match kind {
            CallKind::Read => ToolError::Unavailable(text),
            CallKind::Change => ToolError::UnknownOutcome(text),
        }
    };
    if status == 200 {
        return serde_json::from_slice(bytes).map_err(invalid);
    }
    let response: ErrorResponse = serde_json::from_slice(bytes).map_err(invalid)?;
    Err(response.into())
}
