//! Command-line tool for operators of tarragonpulley.
//!
//! Exit codes: 0 success, 1 rejected, 2 usage error, 3 conflict with another
//! change, 4 no instance or no table reachable (nothing changed), 5 outcome
//! unknown (the change may have been committed).

mod check;
mod client;
mod commands;
mod exit;
mod options;
mod output;

use std::env;
use std::process::ExitCode;

use gumdrop::Options;

use exit::ToolError;
use options::ToolOptions;

fn main() -> ExitCode {
    let arguments: Vec<String> = env::args_os()
        .skip(1)
        .map(|argument| argument.to_string_lossy().into_owned())
        .collect();
    let result = ToolOptions::parse_args_default(&arguments)
        .map_err(|error| ToolError::Usage(error.to_string()))
        .and_then(|options| start(&options));
    match result {
        Ok(text) => {
            println!("{text}");
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(error.code())
        }
    }
}

fn start(options: &ToolOptions) -> Result<String, ToolError> {
    if options.version {
        return Ok(concat!("tarragonpulley ", env!("CARGO_PKG_VERSION")).to_owned());
    }
    if options.help_requested() {
        return Ok(options.help_text());
    }
    commands::run(options)
}
