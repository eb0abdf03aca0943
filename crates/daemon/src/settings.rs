//! Settings of an instance, from flags and environment variables.
//!
//! Every setting has a flag and a variable `TARRAGONPULLEY_*`; a flag wins.
//! All mistakes are collected and reported at once, so that an operator mends
//! a start script in one go. Unknown flags and variables are mistakes, since a
//! misspelt one would otherwise be ignored in silence.

mod flags;
mod values;

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use log::LevelFilter;
use tarragonpulley_policy::ids::{CentreName, InstanceName};

pub use values::PlatformUrl;

/// Exit code of `tarragonpulleyd` when a setting is wrong.
pub const EXIT_SETTINGS: u8 = 2;
/// Exit code of `tarragonpulleyd` when it fails after its settings were read.
pub const EXIT_FAILURE: u8 = 1;

/// The checked settings of an instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InstanceSettings {
    /// The name of the instance.
    pub instance: InstanceName,
    /// Its data centre.
    pub data_centre: CentreName,
    /// Where callers reach it. Port 0 takes a free port.
    pub service_address: SocketAddr,
    /// Where operators reach it. Port 0 takes a free port.
    pub operator_address: SocketAddr,
    /// Where other instances reach it. Port 0 takes a free port.
    pub peer_address: SocketAddr,
    /// The platform's table service.
    pub table_url: PlatformUrl,
    /// The platform's object store.
    pub object_url: PlatformUrl,
    /// The platform's list of instances.
    pub list_url: PlatformUrl,
    /// The deadline of one call to the platform.
    pub platform_timeout: Duration,
    /// Most connections of callers at the same time.
    pub max_connections: usize,
    /// The least severe level that is logged.
    pub log_level: LevelFilter,
}

/// What a command line asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SettingsOutcome {
    /// Run with these settings.
    Run(Box<InstanceSettings>),
    /// Print this text and exit.
    Print(String),
}

/// One mistake in the settings.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InvalidSetting {
    /// The flag or variable at fault.
    pub source: String,
    /// What is wrong with it.
    pub message: String,
}

impl fmt::Display for InvalidSetting {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.source, self.message)
    }
}

/// The settings are wrong; every mistake is listed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{}", list(.errors))]
pub struct SettingsError {
    /// Each mistake.
    pub errors: Vec<InvalidSetting>,
}

fn list(errors: &[InvalidSetting]) -> String {
    let lines: Vec<String> = errors.iter().map(ToString::to_string).collect();
    lines.join("\n")
}

impl InstanceSettings {
    /// Reads the settings from the arguments (without the program's name) and
    /// the variables of the process.
    ///
    /// # Errors
    ///
    /// [`SettingsError`] with every unknown flag or variable, every missing
    /// setting and every value that is out of bounds.
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
