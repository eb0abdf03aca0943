//! Polling for a condition.

use std::time::{Duration, Instant};

use eyre::{Result, bail};

/// Short compared with the timeouts of tests, long compared with the cost of a
/// check.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Polls `condition` until it returns true.
///
/// # Errors
///
/// When it stays false for `timeout`; the message contains `what`.
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
            bail!(
                "{what}: condition not met within {} ms",
                timeout.as_millis()
            );
        }
        actix_rt::time::sleep(CHECK_INTERVAL).await;
    }
}
