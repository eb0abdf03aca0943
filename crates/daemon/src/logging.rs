//! Logging of JSON lines to standard error.

use log::{LevelFilter, SetLoggerError};
use log4rs::append::console::{ConsoleAppender, Target};
use log4rs::config::runtime::ConfigErrors;
use log4rs::config::{Appender, Config, Root};
use log4rs::encode::json::JsonEncoder;

const APPENDER: &str = "stderr";

/// Why logging could not be started.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum LoggingError {
    /// The configuration of the logger is invalid.
    #[error("invalid logger configuration: {0}")]
    Config(#[from] ConfigErrors),
    /// The process already has a logger.
    #[error("the process already has a logger: {0}")]
    Started(#[from] SetLoggerError),
}

/// Starts logging for the whole process: one JSON object per line on standard
/// error, for records of `level` and more severe ones.
///
/// # Errors
///
/// Returns a [`LoggingError`] if the process already has a logger.
pub fn start_logging(level: LevelFilter) -> Result<(), LoggingError> {
    let appender = ConsoleAppender::builder()
        .target(Target::Stderr)
        .encoder(Box::new(JsonEncoder::new()))
        .build();
    let config = Config::builder()
        .appender(Appender::builder().build(APPENDER, Box::new(appender)))
        .build(Root::builder().appender(APPENDER).build(level))?;
    log4rs::init_config(config)?;
    Ok(())
}
