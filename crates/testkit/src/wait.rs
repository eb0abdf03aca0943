//! Waiting on a condition.

use std::time::{Duration, Instant};

use eyre::{Result, bail};

/// Short against the deadlines of tests, long against the cost of a check.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Checks `condition` repeatedly until it holds.
///
/// # Errors
///
/// When it does not hold within `timeout`; `what` names it in the message.
pub async fn wait_until(
    what: &str,
    timeout: Duration,
    mut condition: impl AsyncFnMut() -> bool,
) -> Result<()> {
    let deadline = Instant::now() + timeout;
    loop {
        if condition().await {
            return Ok(());
        }
        if Instant::now() >= deadline {
            bail!("{what}: not so within {} ms", timeout.as_millis());
        }
        actix_rt::time::sleep(CHECK_INTERVAL).await;
    }
}
