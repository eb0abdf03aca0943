//! The entry instance of tarragonpulley.
//!
//! Every instance runs this program, and none is special. It answers look-ups,
//! runs requests on backend servers, and agrees with the other instances on
//! configuration and limits. One thread runs everything; state is shared by
//! `Rc`, and the borders between modules are the traits in `border`.

#[allow(dead_code, reason = "the modules behind the borders are being added")]
mod border;
mod logging;
#[allow(dead_code, unused_imports, reason = "`run` does not drive moves yet")]
mod mover;
#[allow(dead_code, reason = "`run` does not serve the operator port yet")]
mod operator;
mod settings;

pub use logging::{LoggingError, start_logging};
pub use settings::{
    EXIT_FAILURE, EXIT_SETTINGS, InstanceSettings, PlatformUrl, SettingMistake, SettingsError,
    SettingsOutcome,
};

/// Runs an instance until it is stopped.
///
/// # Errors
///
/// An error when the instance cannot start or cannot go on.
#[expect(
    clippy::unused_async,
    reason = "the servers that it awaits are being added"
)]
pub async fn run(settings: InstanceSettings) -> eyre::Result<()> {
    log::info!(
        "instance {} in data centre {}: settings read",
        settings.instance,
        settings.data_centre
    );
    Ok(())
}
