//! Messages about moves.

use serde::{Deserialize, Serialize};
use tarragonpulley_policy::movement::MoveOrder;
use tarragonpulley_policy::snapshot::MoveKind;
use tarragonpulley_policy::units::TimeSpan;

use super::FieldError;

/// The traffic that a move shifts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum MoveKindSpec {
    /// Moves traffic from one version to another.
    Rollout {
        /// The service, `customer/service`.
        service: String,
        /// The version that serves the traffic before the move.
        from: String,
        /// The version that serves the traffic after the move.
        to: String,
    },
    /// Moves traffic from the backend servers of one data centre to those of
    /// another.
    CentreShift {
        /// The service, `customer/service`.
        service: String,
        /// The data centre that serves the traffic before the move.
        from: String,
        /// The data centre that serves the traffic after the move.
        to: String,
    },
}

impl From<&MoveKind> for MoveKindSpec {
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

fn parse_field<T: std::str::FromStr<Err: std::fmt::Display>>(
    name: &'static str,
    text: &str,
) -> Result<T, FieldError> {
    text.parse().map_err(|error| FieldError::new(name, error))
}

impl TryFrom<MoveKindSpec> for MoveKind {
    type Error = FieldError;

    fn try_from(spec: MoveKindSpec) -> Result<Self, FieldError> {
        Ok(match spec {
            MoveKindSpec::Rollout { service, from, to } => Self::Rollout {
                service: parse_field("kind.rollout.service", &service)?,
                from: parse_field("kind.rollout.from", &from)?,
                to: parse_field("kind.rollout.to", &to)?,
            },
            MoveKindSpec::CentreShift { service, from, to } => Self::CentreShift {
                service: parse_field("kind.centre_shift.service", &service)?,
                from: parse_field("kind.centre_shift.from", &from)?,
                to: parse_field("kind.centre_shift.to", &to)?,
            },
        })
    }
}

/// Body of `POST /v1/moves`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MoveRequest {
    /// The name of the move; names of earlier moves cannot be reused.
    pub name: String,
    /// The traffic to move.
    pub kind: MoveKindSpec,
    /// The maximum share of traffic that may move before the target is proved
    /// healthy, as in `5%`.
    pub cap: String,
    /// The time within which the move must finish, from its acceptance, as in
    /// `30s`.
    pub deadline: String,
}

impl TryFrom<MoveRequest> for MoveOrder {
    type Error = FieldError;

    fn try_from(request: MoveRequest) -> Result<Self, FieldError> {
        let duration: TimeSpan = parse_field("deadline", &request.deadline)?;
        Ok(Self {
            name: parse_field("name", &request.name)?,
            kind: request.kind.try_into()?,
            cap: parse_field("cap", &request.cap)?,
            deadline: duration.get(),
        })
    }
}
