//! Why a call to the platform failed.

/// Why a call to the platform failed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum PlatformError {
    /// The request certainly had no effect: it was not sent, or it was refused.
    #[error("the platform service was not reached: {0}")]
    NotExecuted(String),
    /// No answer; a write may have taken effect.
    #[error("the platform service did not answer: {0}")]
    NoResponse(String),
    /// The answer does not follow the protocol; a write may have taken effect.
    #[error("the platform service gave an invalid answer: {0}")]
    InvalidResponse(String),
}
