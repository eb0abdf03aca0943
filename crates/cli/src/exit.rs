//! Errors of the tool and their exit codes.

use tarragonpulley_wire::operator::{ErrorKind, ErrorResponse};

/// Why a command did not succeed. The text names the outcome for the operator.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum ToolError {
    /// Exit code 1.
    Refused(String),
    /// Exit code 2.
    Usage(String),
    /// Exit code 3.
    Conflict(String),
    /// Exit code 4. Nothing changed.
    Unavailable(String),
    /// Exit code 5. A change may have been made.
    Unknown(String),
}

impl ToolError {
    /// The exit code of the process.
    pub(crate) const fn code(&self) -> u8 {
        match self {
            Self::Refused(_) => 1,
            Self::Usage(_) => 2,
            Self::Conflict(_) => 3,
            Self::Unavailable(_) => 4,
            Self::Unknown(_) => 5,
        }
    }
}

impl std::fmt::Display for ToolError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Refused(text) => f.write_str(text),
            Self::Usage(text) => write!(f, "{text}\nRun tarragonpulley --help for the usage."),
            Self::Conflict(text) => write!(f, "conflict: {text}"),
            Self::Unavailable(text) => write!(f, "unavailable, nothing changed: {text}"),
            Self::Unknown(text) => write!(f, "outcome unknown: {text}"),
        }
    }
}

impl From<ErrorResponse> for ToolError {
    fn from(answer: ErrorResponse) -> Self {
        let mut lines = vec![answer.message];
        lines.extend(answer.mistakes);
        let text = lines.join("\n");
        match answer.error {
            ErrorKind::Refused | ErrorKind::NotFound => Self::Refused(text),
            ErrorKind::MalformedRequest | ErrorKind::MethodNotAllowed | ErrorKind::BodyTooLarge => {
                Self::Usage(text)
            }
            ErrorKind::Conflict => Self::Conflict(text),
            ErrorKind::Unavailable => Self::Unavailable(text),
            ErrorKind::UnknownOutcome => Self::Unknown(text),
        }
    }
}
