//! Runs the platform stand-in.

use eyre::Result;
use gumdrop::Options;
use tarragonpulley_testkit::{PlatformOptions, run_platform};

#[actix_rt::main]
async fn main() -> Result<()> {
    run_platform(PlatformOptions::parse_args_default_or_exit()).await
}
