//! Runs the fault proxy.

use eyre::Result;
use gumdrop::Options;
use tarragonpulley_testkit::{ProxyOptions, run_proxy};

#[actix_rt::main]
async fn main() -> Result<()> {
    run_proxy(ProxyOptions::parse_args_default_or_exit()).await
}
