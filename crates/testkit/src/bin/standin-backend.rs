//! Runs the backend stand-in.

use eyre::Result;
use gumdrop::Options;
use tarragonpulley_testkit::{BackendOptions, run_backend};

#[actix_rt::main]
async fn main() -> Result<()> {
    run_backend(BackendOptions::parse_args_default_or_exit()).await
}
