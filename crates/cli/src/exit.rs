//! The error type of the tool, with its exit codes.

use tarragonpulley_wire::operator::{ErrorKind, ErrorResponse};

/// Why a command failed. The message states the outcome for the operator.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum ToolError {
    /// The contracts or the change are invalid. Exit code 1; nothing changed.
    Rejected(String),
    /// The command line or the request is malformed. Exit code 2; nothing changed.
    Usage(String),
    /// A concurrent change was committed first. Exit code 3; nothing changed.
    Conflict(String),
    /// No instance or no table was reachable. Exit code 4; nothing changed.
    Unavailable(String),
    /// The change may or may not have been committed. Exit code 5.
    UnknownOutcome(String),
}

impl ToolError {
    /// Returns the exit code of the process.
    pub(crate) const fn code(&self) -> u8 {
        match self {
            Self::Rejected(_) => 1,
            Self::Usage(_) => 2,
            Self::Conflict(_) => 3,
            Self::Unavailable(_) => 4,
            Self::UnknownOutcome(_) => 5,
        }
    }
}

impl std::fmt::Display for ToolError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Rejected(text) => f.write_str(text),
            Self::Usage(text) => write!(f, "{text}\nRun tarragonpulley --help for the usage."),
            Self::Conflict(text) => write!(f, "conflict: {text}"),
            Self::Unavailable(text) => write!(f, "unavailable, nothing changed: {text}"),
            Self::UnknownOutcome(text) => write!(f, "outcome unknown: {text}"),
        }
    }
}

impl From<ErrorResponse> for ToolError {
    fn from(response: ErrorResponse) -> Self {
        let mut lines = vec![response.message];
        lines.extend(response.mistakes);
        let text = lines.join("\n");
        match response.error {
            ErrorKind::Refused | ErrorKind::NotFound => Self::Rejected(text),
            ErrorKind::MalformedRequest | ErrorKind::MethodNotAllowed | ErrorKind::BodyTooLarge => {
                Self::Usage(text)
            }
            ErrorKind::Conflict => Self::Conflict(text),
            ErrorKind::Unavailable => Self::Unavailable(text),
            ErrorKind::UnknownOutcome => Self::UnknownOutcome(text),
        }
    }
}
