//! The errors that callers see.
//!
//! One table gives each error its status, its outcome and whether a retry is
//! safe. The outcome `not_run` is a guarantee: the request reached no backend
//! server, or the server reported that it did not run it.

use std::time::Duration;

use actix_http::body::BoxBody;
use actix_http::header::{CONTENT_TYPE, HeaderName, HeaderValue};
use actix_http::{Response, StatusCode};
use bytes::Bytes;
use serde::Serialize;
use tarragonpulley_policy::retry::RunOutcome;

/// Header with the outcome of the request.
pub(crate) const OUTCOME_HEADER: HeaderName = HeaderName::from_static("x-outcome");

/// Header with the ID of the request.
pub(crate) const REQUEST_ID_HEADER: HeaderName = HeaderName::from_static("x-request-id");

/// Retry delay for callers if a retry is safe and no better delay is known.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(200);

/// Kind of an error.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum ErrorKind {
    MalformedRequest,
    UnknownKey,
    WrongCustomer,
    NoRoute,
    UnknownJob,
    MethodNotAllowed,
    SlowRequest,
    StillRunning,
    BodyTooLarge,
    HeadersTooLarge,
    IdentityReused,
    Quarantined,
    RateExceeded,
    BackendFailed,
    NoCapacity,
    ConfigurationNotProved,
    TableUnavailable,
    Draining,
    DeadlinePassed,
}

/// When a caller may retry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RetryHint {
    Never,
    Always,
    /// Only if the route is idempotent or the request did not run.
    Idempotent,
}

impl ErrorKind {
    /// Status, name, outcome and retry hint of the error.
    const fn properties(self) -> (u16, &'static str, RunOutcome, RetryHint) {
        use RetryHint::{Always, Idempotent, Never};
        use RunOutcome::{NotRun, Unknown};
        match self {
            Self::MalformedRequest => (400, "malformed_request", NotRun, Never),
            Self::UnknownKey => (401, "unknown_key", NotRun, Never),
            Self::WrongCustomer => (403, "wrong_customer", NotRun, Never),
            Self::NoRoute => (404, "no_route", NotRun, Never),
            Self::UnknownJob => (404, "unknown_job", NotRun, Never),
            Self::MethodNotAllowed => (405, "method_not_allowed", NotRun, Never),
            Self::SlowRequest => (408, "slow_request", NotRun, Always),
            Self::StillRunning => (409, "still_running", Unknown, Always),
            Self::BodyTooLarge => (413, "body_too_large", NotRun, Never),
            Self::HeadersTooLarge => (431, "headers_too_large", NotRun, Never),
            Self::IdentityReused => (422, "identity_reused", NotRun, Never),
            Self::Quarantined => (423, "quarantined", NotRun, Never),
            Self::RateExceeded => (429, "rate_exceeded", NotRun, Always),
            Self::BackendFailed => (502, "backend_failed", Unknown, Idempotent),
            Self::NoCapacity => (503, "no_capacity", NotRun, Always),
            Self::ConfigurationNotProved => (503, "configuration_not_proved", NotRun, Always),
            Self::TableUnavailable => (503, "table_unavailable", NotRun, Always),
            Self::Draining => (503, "draining", NotRun, Always),
            Self::DeadlinePassed => (504, "deadline_passed", Unknown, Idempotent),
        }
    }

    /// The error's name in responses and metrics.
    pub(crate) const fn name(self) -> &'static str {
        self.properties().1
    }
}

/// The reason why a request got no response from a backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct RequestError {
    pub(crate) kind: ErrorKind,
    pub(crate) outcome: RunOutcome,
    pub(crate) message: String,
    idempotent: bool,
    retry_after: Option<Duration>,
}

#[derive(Debug, Serialize)]
struct ErrorBody<'a> {
    error: &'static str,
    outcome: &'static str,
    message: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    request_id: Option<&'a str>,
}

impl RequestError {
    /// Creates an error with the default outcome of its kind.
    pub(crate) fn new(kind: ErrorKind, message: impl Into<String>) -> Self {
        Self {
            kind,
            outcome: kind.properties().2,
            message: message.into(),
            idempotent: false,
            retry_after: None,
        }
    }

    /// Replaces the default outcome, for kinds that occur both before and after
    /// a request is sent.
    pub(crate) const fn with_outcome(mut self, outcome: RunOutcome) -> Self {
        self.outcome = outcome;
        self
    }

    /// Sets whether the route is idempotent, so that a retry is always safe.
    pub(crate) const fn with_idempotent_route(mut self, idempotent: bool) -> Self {
        self.idempotent = idempotent;
        self
    }

    /// Appends the claim identity of the request to the message.
    pub(crate) fn with_identity(mut self, identity: &str) -> Self {
        self.message = format!("{}; identity {identity}", self.message);
        self
    }

    /// Sets the time after which a retry may succeed.
    pub(crate) const fn with_retry_after(mut self, wait: Duration) -> Self {
        self.retry_after = Some(wait);
        self
    }

    fn retry_hint(&self) -> Option<Duration> {
        let safe = match self.kind.properties().3 {
            RetryHint::Never => false,
            RetryHint::Always => true,
            RetryHint::Idempotent => self.idempotent || self.outcome == RunOutcome::NotRun,
        };
        safe.then(|| self.retry_after.unwrap_or(DEFAULT_RETRY_AFTER))
    }

    /// Status and JSON body, for an error that is stored as a job's result.
    pub(crate) fn to_parts(&self) -> (StatusCode, Bytes) {
        let body = serde_json::to_vec(&self.body(None)).unwrap_or_default();
        (self.status(), body.into())
    }

    /// The serialised HTTP response, for a connection that is then closed.
    pub(crate) fn to_wire(&self) -> Bytes {
        let (status, body) = self.to_parts();
        let head = format!(
            "HTTP/1.1 {status}\r\ncontent-type: application/json\r\n{OUTCOME_HEADER}: {}\r\n\
             connection: close\r\ncontent-length: {}\r\n\r\n",
            self.outcome.name(),
            body.len()
        );
        [head.as_bytes(), &body].concat().into()
    }

    fn status(&self) -> StatusCode {
        StatusCode::from_u16(self.kind.properties().0).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR)
    }

    fn body<'a>(&'a self, request_id: Option<&'a str>) -> ErrorBody<'a> {
        let millis = |wait: Duration| u64::try_from(wait.as_millis()).unwrap_or(u64::MAX);
        ErrorBody {
            error: self.kind.name(),
            outcome: self.outcome.name(),
            message: &self.message,
            retry_after_ms: self.retry_hint().map(millis),
            request_id,
        }
    }

    /// Converts the error to the response for the caller.
    pub(crate) fn into_response(self, request_id: Option<&str>) -> Response<BoxBody> {
        let mut response = json_response(self.status(), &self.body(request_id));
        let headers = response.headers_mut();
        headers.insert(
            OUTCOME_HEADER,
            HeaderValue::from_static(self.outcome.name()),
        );
        if let Some(Ok(value)) = request_id.map(HeaderValue::from_str) {
            headers.insert(REQUEST_ID_HEADER, value);
        }
        response
    }
}

/// Builds a response with a JSON body.
pub(crate) fn json_response(status: StatusCode, body: &impl Serialize) -> Response<BoxBody> {
    match serde_json::to_vec(body) {
        Ok(bytes) => {
            let mut response = Response::with_body(status, BoxBody::new(bytes));
            response
                .headers_mut()
                .insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
            response
        }
        Err(error) => {
            log::error!("failed to encode a response: {error}");
            Response::with_body(StatusCode::INTERNAL_SERVER_ERROR, BoxBody::new(()))
        }
    }
}
