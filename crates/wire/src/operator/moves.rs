//! Messages about moves.

use serde::{Deserialize, Serialize};
use tarragonpulley_policy::movement::MoveOrder;
use tarragonpulley_policy::snapshot::MoveKind;
use tarragonpulley_policy::units::TimeSpan;

use super::OperatorError;

/// What a move moves.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum MoveForm {
    /// From one version to another.
    Rollout {
        /// The service, `customer/service`.
        service: String,
        /// The version that has the traffic.
        from: String,
        /// The version that shall have it.
        to: String,
    },
    /// From the backend servers of one data centre to another's.
    CentreShift {
        /// The service, `customer/service`.
        service: String,
        /// The data centre that has the traffic.
        from: String,
        /// The data centre that shall have it.
        to: String,
    },
}

impl From<&MoveKind> for MoveForm {
    fn from(kind: &MoveKind) -> Self {
        match kind {
            MoveKind::Rollout { service, from, to } => Self::Rollout {
                service: service.to_string(),
                from: from.to_string(),
                to: to.to_string(),
            },
            MoveKind::CentreShift { service, from, to } => Self::CentreShift {
                service: service.to_string(),
                from: from.to_string(),
                to: to.to_string(),
            },
        }
    }
}

fn field<T: std::str::FromStr<Err: std::fmt::Display>>(
    name: &'static str,
    text: &str,
) -> Result<T, OperatorError> {
    text.parse()
        .map_err(|error| OperatorError::new(name, error))
}

impl TryFrom<MoveForm> for MoveKind {
    type Error = OperatorError;

    fn try_from(form: MoveForm) -> Result<Self, OperatorError> {
        Ok(match form {
            MoveForm::Rollout { service, from, to } => Self::Rollout {
                service: field("kind.rollout.service", &service)?,
                from: field("kind.rollout.from", &from)?,
                to: field("kind.rollout.to", &to)?,
            },
            MoveForm::CentreShift { service, from, to } => Self::CentreShift {
                service: field("kind.centre_shift.service", &service)?,
                from: field("kind.centre_shift.from", &from)?,
                to: field("kind.centre_shift.to", &to)?,
            },
        })
    }
}

/// Body of `POST /v1/moves`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MoveRequest {
    /// The name of the move, never used before.
    pub name: String,
    /// What is moved.
    pub kind: MoveForm,
    /// The most that may move before the target is proved sound, as in `5%`.
    pub cap: String,
    /// When the move must have ended, counted from its acceptance, as in `30s`.
    pub deadline: String,
}

impl TryFrom<MoveRequest> for MoveOrder {
    type Error = OperatorError;

    fn try_from(request: MoveRequest) -> Result<Self, OperatorError> {
        let span: TimeSpan = field("deadline", &request.deadline)?;
        Ok(Self {
            name: field("name", &request.name)?,
            kind: request.kind.try_into()?,
            cap: field("cap", &request.cap)?,
            deadline: span.get(),
        })
    }
}
