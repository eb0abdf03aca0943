//! The entry instance of tarragonpulley.
//!
//! All instances run this program with equal roles. It responds to lookups, forwards
//! requests to backend servers, and coordinates configuration and limits with the
//! other instances. Everything runs on one thread; state is shared by `Rc`, and the
//! interfaces between modules are the traits in `interfaces`.

mod backends;
mod claims;
mod errors;
mod fleet;
mod frontend;
mod headers;
mod http_server;
mod instance;
mod interfaces;
mod jobs;
mod logging;
mod metrics;
mod mover;
mod operator;
mod pipeline;
mod probe;
mod queue;
mod settings;
mod tasks;
#[doc(hidden)]
pub mod test_support;
mod upstream;

pub use instance::run;
pub use logging::{LoggingError, start_logging};
pub use settings::{
    EXIT_FAILURE, EXIT_SETTINGS, InstanceSettings, InvalidSetting, PlatformUrl, SettingsError,
    SettingsOutcome,
};

#[cfg(test)]
#[path = "../tests/unit/mod.rs"]
mod unit;
