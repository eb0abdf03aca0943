//! Bodies of operator requests and responses.

use std::time::Duration;

use actix_http::body::BoxBody;
use actix_http::header::{CONTENT_TYPE, HeaderValue};
use actix_http::{Request, Response, StatusCode};
use futures_util::StreamExt;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tarragonpulley_wire::operator::{ErrorKind, ErrorResponse};

use super::error;

/// Large enough for the contract files of all customers of a fleet.
const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;
/// Timeout of reading a body, so that a stalled sender cannot occupy a connection
/// forever.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Reads and parses a JSON body.
pub(super) async fn read<T: DeserializeOwned>(request: &mut Request) -> Result<T, ErrorResponse> {
    let timed_out = |_elapsed| {
        error(
            ErrorKind::MalformedRequest,
            "the body did not arrive in time",
        )
    };
    let bytes = actix_rt::time::timeout(BODY_TIMEOUT, collect(request))
        .await
        .map_err(timed_out)??;
    serde_json::from_slice(&bytes)
        .map_err(|e| error(ErrorKind::MalformedRequest, format!("body: {e}")))
}

async fn collect(request: &mut Request) -> Result<Vec<u8>, ErrorResponse> {
    let mut payload = request.take_payload();
    let mut bytes = Vec::new();
    while let Some(chunk) = payload.next().await {
        let chunk = chunk.map_err(|e| error(ErrorKind::MalformedRequest, format!("body: {e}")))?;
        if bytes.len() + chunk.len() > MAX_BODY_BYTES {
            let message = format!("the body has more than {MAX_BODY_BYTES} bytes");
            return Err(error(ErrorKind::BodyTooLarge, message));
        }
        bytes.extend_from_slice(&chunk);
    }
    Ok(bytes)
}

/// A JSON response.
pub(super) fn json(
    status: StatusCode,
    body: &impl Serialize,
) -> Result<Response<BoxBody>, ErrorResponse> {
    let text = serde_json::to_string(body).map_err(|e| {
        error(
            ErrorKind::Unavailable,
            format!("encoding the answer failed: {e}"),
        )
    })?;
    Ok(text_response(status, "application/json", text))
}

/// A text response of the given media type.
pub(super) fn text_response(
    status: StatusCode,
    media_type: &'static str,
    text: String,
) -> Response<BoxBody> {
    let mut response = Response::with_body(status, BoxBody::new(text));
    let media_type = HeaderValue::from_static(media_type);
    response.headers_mut().insert(CONTENT_TYPE, media_type);
    response
}

pub(super) fn error_response(response: &ErrorResponse) -> Response<BoxBody> {
    let status = match response.error {
        ErrorKind::MalformedRequest => StatusCode::BAD_REQUEST,
        ErrorKind::NotFound => StatusCode::NOT_FOUND,
        ErrorKind::MethodNotAllowed => StatusCode::METHOD_NOT_ALLOWED,
        ErrorKind::Conflict => StatusCode::CONFLICT,
        ErrorKind::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        ErrorKind::Refused => StatusCode::UNPROCESSABLE_ENTITY,
        ErrorKind::Unavailable => StatusCode::SERVICE_UNAVAILABLE,
        ErrorKind::UnknownOutcome => StatusCode::GATEWAY_TIMEOUT,
    };
    json(status, response).unwrap_or_else(|_error| Response::with_body(status, BoxBody::new(())))
}
