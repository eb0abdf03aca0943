//! Responses of backend servers and their checks.

use actix_http::StatusCode;
use actix_http::error::PayloadError;
use actix_http::header::{HeaderMap, HeaderName, HeaderValue};
use bytes::{Bytes, BytesMut};
use futures_util::{Stream, StreamExt};
use tarragonpulley_policy::retry::AttemptFailure;

use crate::errors::{OUTCOME_HEADER, REQUEST_ID_HEADER};

/// A backend server sets this header to `leaving` when it is about to shut down.
const SERVER_STATE_HEADER: HeaderName = HeaderName::from_static("x-server-state");
const LEAVING: HeaderValue = HeaderValue::from_static("leaving");

/// A complete response of a backend server.
#[derive(Debug, Clone)]
pub(crate) struct BackendResponse {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

impl BackendResponse {
    /// Rebuilds a stored response. Returns `None` if a part is not valid HTTP.
    pub(crate) fn from_parts(
        status: u16,
        headers: &[(String, String)],
        body: Bytes,
    ) -> Option<Self> {
        let mut map = HeaderMap::new();
        for (name, value) in headers {
            let name = HeaderName::try_from(name.as_str()).ok()?;
            map.append(name, HeaderValue::try_from(value.as_str()).ok()?);
        }
        Some(Self {
            status: StatusCode::from_u16(status).ok()?,
            headers: map,
            body,
        })
    }
}

/// Whether the server announces its shutdown.
pub(super) fn announces_leaving(headers: &HeaderMap) -> bool {
    headers.get(SERVER_STATE_HEADER) == Some(&LEAVING)
}

/// Whether a response carries the ID of another request.
pub(super) fn is_mismatched(headers: &HeaderMap, request_id: &str) -> bool {
    headers
        .get(REQUEST_ID_HEADER)
        .is_some_and(|echo| echo.as_bytes() != request_id.as_bytes())
}

/// Whether the server rejected the request without running it.
pub(super) fn is_shed(response: &BackendResponse) -> bool {
    let outcome = response.headers.get(OUTCOME_HEADER);
    response.status == StatusCode::SERVICE_UNAVAILABLE
        && outcome.is_some_and(|value| matches!(value.as_bytes(), b"not-run" | b"not_run"))
}

pub(super) async fn read_response<S>(
    mut response: awc::ClientResponse<S>,
    max_bytes: u64,
) -> Result<BackendResponse, AttemptFailure>
where
    S: Stream<Item = Result<Bytes, PayloadError>> + Unpin,
{
    let mut body = BytesMut::new();
    while let Some(chunk) = response.next().await {
        let chunk = chunk.map_err(|_error| AttemptFailure::InvalidResponse)?;
        if (body.len() + chunk.len()) as u64 > max_bytes {
            return Err(AttemptFailure::ResponseTooLarge);
        }
        body.extend_from_slice(&chunk);
    }
    Ok(BackendResponse {
        status: response.status(),
        headers: response.headers().clone(),
        body: body.freeze(),
    })
}
