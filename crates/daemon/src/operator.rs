//! The operator API: JSON over HTTP on the operator port.
//!
//! Every change goes through
//! [`ConfigSource::change`](crate::interfaces::ConfigSource::change), and its
//! outcome determines the status: a response says "accepted" only after a
//! confirmed commit, and "nothing changed" only when that is certain.

mod body;
mod changes;
mod checks;
mod metrics;
mod moves;
mod views;

use std::net::SocketAddr;
use std::rc::Rc;

use actix_http::body::BoxBody;
use actix_http::{Method, Request, Response};
use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use prometheus_client::registry::Registry;
use tarragonpulley_policy::movement::MoveStateMachine;
use tarragonpulley_wire::operator::{ErrorKind, ErrorResponse};

use crate::interfaces::{InstanceContext, RequestHandler};

/// Prefix of the path of a move, followed by its name.
const MOVE_PATH_PREFIX: &str = "/v1/moves/";

/// A response, or the error to send instead.
type ApiResult = Result<Response<BoxBody>, ErrorResponse>;

/// Handles the requests of operators.
#[derive(Debug)]
pub(crate) struct OperatorApi {
    context: InstanceContext,
    registry: Rc<Registry>,
    state_machine: Rc<MoveStateMachine>,
}

impl OperatorApi {
    /// Creates the handler. `registry` holds the metrics of the other modules.
    #[expect(clippy::new_ret_no_self, reason = "callers need only the trait object")]
    pub(crate) fn new(
        context: InstanceContext,
        registry: Rc<Registry>,
        state_machine: Rc<MoveStateMachine>,
    ) -> Rc<dyn RequestHandler> {
        Rc::new(Self {
            context,
            registry,
            state_machine,
        })
    }

    async fn respond(&self, mut request: Request) -> ApiResult {
        let method = request.method().clone();
        let path = request.path().to_owned();
        let allowed = allowed_methods(&path)
            .ok_or_else(|| error(ErrorKind::NotFound, format!("there is no path {path}")))?;
        if !allowed.contains(&method) {
            let message = format!("{path} does not know the method {method}");
            return Err(error(ErrorKind::MethodNotAllowed, message));
        }
        match (path.as_str(), &method) {
            ("/v1/apply", _) => self.apply(body::read(&mut request).await?).await,
            ("/v1/keys/grant", _) => self.grant(body::read(&mut request).await?).await,
            ("/v1/keys/withdraw", _) => self.withdraw(body::read(&mut request).await?).await,
            ("/v1/drains", &Method::POST) => {
                self.start_drain(body::read(&mut request).await?).await
            }
            ("/v1/drains", _) => self.end_drain(body::read(&mut request).await?).await,
            ("/v1/moves", _) => self.start_move(body::read(&mut request).await?).await,
            ("/v1/status", _) => self.status(),
            ("/v1/timeline", _) => self.timeline(request.uri().query()).await,
            ("/metrics", _) => self.metrics(),
            _ => {
                self.cancel_move(path.strip_prefix(MOVE_PATH_PREFIX).unwrap_or_default())
                    .await
            }
        }
    }
}

fn allowed_methods(path: &str) -> Option<&'static [Method]> {
    match path {
        "/v1/apply" | "/v1/keys/grant" | "/v1/keys/withdraw" | "/v1/moves" => Some(&[Method::POST]),
        "/v1/drains" => Some(&[Method::POST, Method::DELETE]),
        _ if path.starts_with(MOVE_PATH_PREFIX) => Some(&[Method::DELETE]),
        "/v1/status" | "/v1/timeline" | "/metrics" => Some(&[Method::GET]),
        _ => None,
    }
}

impl RequestHandler for OperatorApi {
    fn handle(
        &self,
        request: Request,
        _peer: Option<SocketAddr>,
    ) -> LocalBoxFuture<'_, Response<BoxBody>> {
        async {
            let result = self.respond(request).await;
            result.unwrap_or_else(|error| body::error_response(&error))
        }
        .boxed_local()
    }
}

fn error(kind: ErrorKind, message: impl Into<String>) -> ErrorResponse {
    ErrorResponse {
        error: kind,
        message: message.into(),
        mistakes: Vec::new(),
        revision: None,
    }
}

fn rejected(violations: Vec<String>) -> ErrorResponse {
    let message = "the change breaks rules; nothing changed";
    ErrorResponse {
        mistakes: violations,
        ..error(ErrorKind::Refused, message)
    }
}
