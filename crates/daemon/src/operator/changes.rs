//! Requests that change the configuration.

use std::rc::Rc;

use actix_http::StatusCode;
use tarragonpulley_policy::facts::{FactKey, FactValue};
use tarragonpulley_policy::ids::TeamKey;
use tarragonpulley_policy::snapshot::KeyDigest;
use tarragonpulley_wire::operator::{
    ApplyRequest, ChangeResponse, ErrorKind, ErrorResponse, FieldError, GrantRequest,
    WithdrawRequest,
};

use super::{ApiResult, OperatorApi, body, checks, error, rejected};
use crate::interfaces::{ChangeOutcome, ConfigEdit};

impl OperatorApi {
    pub(super) async fn apply(&self, request: ApplyRequest) -> ApiResult {
        let (files, base) = request.into_parts();
        if files.is_empty() {
            return Err(malformed(&"files: must name at least one file"));
        }
        let violations = checks::contracts(&self.context.config.snapshot(), &files);
        if !violations.is_empty() {
            return Err(rejected(violations));
        }
        let names: Vec<&str> = files.iter().map(|(file, _)| file.as_str()).collect();
        let subject = names.join(", ");
        let edit = ConfigEdit::PutContracts { files, base };
        self.change(edit, "operator_apply", subject).await
    }

    pub(super) async fn grant(&self, request: GrantRequest) -> ApiResult {
        let (digest, team): (KeyDigest, TeamKey) = request.try_into().map_err(|e| invalid(&e))?;
        let snapshot = self.context.config.snapshot();
        let withdrawn = self.context.config.is_withdrawn(&digest);
        let violations = checks::grant(&snapshot, &digest, &team, withdrawn);
        if !violations.is_empty() {
            return Err(rejected(violations));
        }
        let subject = format!("{team} {digest}");
        let edit = ConfigEdit::GrantKey(digest, team);
        self.change(edit, "operator_grant", subject).await
    }

    // A key that was never granted may be withdrawn too, which prevents its grant.
    pub(super) async fn withdraw(&self, request: WithdrawRequest) -> ApiResult {
        let digest = KeyDigest::try_from(request).map_err(|e| invalid(&e))?;
        let edit = ConfigEdit::WithdrawKey(digest);
        let outcome = self
            .execute(edit, "operator_withdraw", &digest.to_string())
            .await;
        if matches!(
            outcome,
            ChangeOutcome::Accepted(_) | ChangeOutcome::Unknown(_)
        ) {
            // The fact makes the withdrawal take effect at once on all instances. A
            // withdrawal that may be in the table must not wait for a read of its row.
            let key = FactKey::KeyWithdrawn(digest);
            self.context.facts.publish(key, FactValue::Flag, true);
        }
        respond(outcome)
    }

    /// Makes a change, records its outcome and responds with it.
    pub(super) async fn change(
        &self,
        edit: ConfigEdit,
        kind: &'static str,
        subject: String,
    ) -> ApiResult {
        respond(self.execute(edit, kind, &subject).await)
    }

    /// Makes a change and records its outcome on the timeline.
    pub(super) async fn execute(
        &self,
        edit: ConfigEdit,
        kind: &'static str,
        subject: &str,
    ) -> ChangeOutcome {
        let config = Rc::clone(&self.context.config);
        // Runs as a task of its own, so that the change completes when the operator
        // disconnects.
        let task = actix_rt::spawn(async move { config.change(edit).await });
        let outcome = task.await.unwrap_or_else(|error| {
            ChangeOutcome::Unknown(format!("the change was interrupted: {error}"))
        });
        let detail = describe(&outcome);
        self.context.events.record(kind, subject, &detail);
        outcome
    }
}

fn malformed(message: &dyn std::fmt::Display) -> ErrorResponse {
    error(ErrorKind::MalformedRequest, message.to_string())
}

pub(super) fn invalid(message: &FieldError) -> ErrorResponse {
    malformed(message)
}

fn describe(outcome: &ChangeOutcome) -> String {
    match outcome {
        ChangeOutcome::Accepted(revision) => format!("accepted as {revision}"),
        ChangeOutcome::Refused(reason) => format!("refused: {reason}"),
        ChangeOutcome::Conflict(revision) => format!("conflict with {revision}"),
        ChangeOutcome::Unavailable(reason) => format!("unavailable: {reason}"),
        ChangeOutcome::Unknown(reason) => format!("outcome unknown: {reason}"),
    }
}

pub(super) fn respond(outcome: ChangeOutcome) -> ApiResult {
    Err(match outcome {
        ChangeOutcome::Accepted(revision) => {
            let response = ChangeResponse {
                revision: revision.get(),
            };
            return body::json(StatusCode::OK, &response);
        }
        ChangeOutcome::Refused(reason) => rejected(vec![reason]),
        ChangeOutcome::Conflict(revision) => ErrorResponse {
            revision: Some(revision.get()),
            ..error(
                ErrorKind::Conflict,
                format!("another change came first ({revision}); nothing changed"),
            )
        },
        ChangeOutcome::Unavailable(reason) => {
            error(ErrorKind::Unavailable, format!("nothing changed: {reason}"))
        }
        ChangeOutcome::Unknown(reason) => error(
            ErrorKind::UnknownOutcome,
            format!("the change may have been made; check the status: {reason}"),
        ),
    })
}
