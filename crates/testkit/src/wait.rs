//! Waiting on a condition.

use std::time::{Duration, Instant};

use eyre::{Result, bail};

/// Short against the deadlines of tests, long against the cost of a check.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Checks `condition` repeatedly until it holds.
///
/// # Errors
///
/// When it does not hold within `deadline`; `what` names it in the message.
pub async fn wait_until(
    what: &str,
    deadline: Duration,
    mut condition: impl AsyncFnMut() -> bool,
) -> Result<()> {
    let end = Instant::now() + deadline;
    loop {
        if condition().await {
            return Ok(());
        }
        if Instant::now() >= end {
            bail!("{what}: not so within {} ms", deadline.as_millis());
        }
        actix_rt::time::sleep(CHECK_INTERVAL).await;
    }
}
