//! The executable of the entry instance.
//!
//! Exit codes: 0 orderly shutdown (or `--help`, `--version`), 1 failure while
//! running, 2 invalid settings.

use std::collections::BTreeMap;
use std::env;
use std::panic;
use std::process::{self, ExitCode};

use tarragonpulley_daemon::{
    EXIT_FAILURE, EXIT_SETTINGS, InstanceSettings, SettingsOutcome, run, start_logging,
};

fn main() -> ExitCode {
    // Text that is not UTF-8 gets replacement characters, which fail validation.
    let arguments: Vec<String> = env::args_os()
        .skip(1)
        .map(|a| a.to_string_lossy().into_owned())
        .collect();
    let variables: BTreeMap<String, String> = env::vars_os()
        .map(|(name, value)| {
            (
                name.to_string_lossy().into(),
                value.to_string_lossy().into(),
            )
        })
        .collect();
    match InstanceSettings::read(&arguments, &variables) {
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(EXIT_SETTINGS)
        }
        Ok(SettingsOutcome::Print(text)) => {
            println!("{text}");
            ExitCode::SUCCESS
        }
        Ok(SettingsOutcome::Run(settings)) => start(*settings),
    }
}

/// Aborts the process on a panic. The runtime catches panics of tasks, but a
/// violated invariant must stop the whole instance.
fn abort_on_panic() {
    let report = panic::take_hook();
    panic::set_hook(Box::new(move |info| {
        report(info);
        process::abort();
    }));
}

fn start(settings: InstanceSettings) -> ExitCode {
    abort_on_panic();
    let result = start_logging(settings.log_level)
        .map_err(eyre::Report::from)
        .and_then(|()| actix_rt::System::new().block_on(run(settings)));
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("tarragonpulleyd: {error:#}");
            ExitCode::from(EXIT_FAILURE)
        }
    }
}
