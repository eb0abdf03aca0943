//! Settings of an instance, from flags and environment variables.
//!
//! Every setting has a flag and a variable `TARRAGONPULLEY_*`; the flag takes
//! precedence. All errors are collected and reported together, so that an operator
//! can fix a start script at once. Unknown flags and variables are errors, since a
//! misspelled one would otherwise be ignored silently.

mod flags;
mod values;

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use log::LevelFilter;
use tarragonpulley_policy::ids::{CentreName, InstanceName};

pub use values::PlatformUrl;

/// Exit code of `tarragonpulleyd` when a setting is invalid.
pub const EXIT_SETTINGS: u8 = 2;
/// Exit code of `tarragonpulleyd` when it fails after reading its settings.
pub const EXIT_FAILURE: u8 = 1;

/// The validated settings of an instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InstanceSettings {
    /// The name of the instance.
    pub instance: InstanceName,
    /// Its data centre.
    pub data_centre: CentreName,
    /// The address for callers. Port 0 selects a free port.
    pub service_address: SocketAddr,
    /// The address for operators. Port 0 selects a free port.
    pub operator_address: SocketAddr,
    /// The address for other instances. Port 0 selects a free port.
    pub peer_address: SocketAddr,
    /// The base URL of the platform's table service.
    pub table_url: PlatformUrl,
    /// The base URL of the platform's object store.
    pub object_url: PlatformUrl,
    /// The base URL of the platform's list of instances.
    pub list_url: PlatformUrl,
    /// The timeout of one call to the platform.
    pub platform_timeout: Duration,
    /// Maximum concurrent connections of callers.
    pub max_connections: usize,
    /// The least severe level that is logged.
    pub log_level: LevelFilter,
}

/// The action that the command line requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SettingsOutcome {
    /// Run with these settings.
    Run(Box<InstanceSettings>),
    /// Print this text and exit.
    Print(String),
}

/// One error in the settings.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InvalidSetting {
    /// The invalid flag or variable.
    pub source: String,
    /// Why it is invalid.
    pub message: String,
}

impl fmt::Display for InvalidSetting {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.source, self.message)
    }
}

/// The settings are invalid; all errors are listed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{}", list(.errors))]
pub struct SettingsError {
    /// One entry for each invalid flag, variable or value.
    pub errors: Vec<InvalidSetting>,
}

fn list(errors: &[InvalidSetting]) -> String {
    let lines: Vec<String> = errors.iter().map(ToString::to_string).collect();
    lines.join("\n")
}

impl InstanceSettings {
    /// Reads the settings from the arguments (without the program name) and the
    /// environment variables.
    ///
    /// # Errors
    ///
    /// [`SettingsError`] with every unknown flag or variable, every missing
    /// setting and every invalid value.
    pub fn read(
        arguments: &[String],
        variables: &BTreeMap<String, String>,
    ) -> Result<SettingsOutcome, SettingsError> {
        let mut errors = Vec::new();
        let flags = flags::parse(arguments, &mut errors);
        if errors.is_empty() && flags.help {
            return Ok(SettingsOutcome::Print(flags::help_text()));
        }
        if errors.is_empty() && flags.version {
            let version = concat!("tarragonpulleyd ", env!("CARGO_PKG_VERSION"));
            return Ok(SettingsOutcome::Print(version.to_owned()));
        }
        let raw = flags::collect(flags, variables, &mut errors);
        match values::check(&raw, &mut errors) {
            Some(settings) if errors.is_empty() => Ok(SettingsOutcome::Run(Box::new(settings))),
            _ => Err(SettingsError { errors }),
        }
    }
}
