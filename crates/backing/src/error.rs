//! The error type of the clients.

/// Why a call to the platform failed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum PlatformError {
    /// The request was not sent or was rejected, so it had no effect.
    #[error("the platform service was not reached: {0}")]
    NotExecuted(String),
    /// No complete response, or a server error; a write may have taken effect.
    #[error("the platform service did not answer: {0}")]
    NoResponse(String),
    /// The response violates the protocol; a write may have taken effect.
    #[error("the platform service gave an invalid answer: {0}")]
    InvalidResponse(String),
}
