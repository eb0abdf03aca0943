//! Tests of the stand-ins, the fault proxy and the process launcher.

mod backend;
mod fleet;
mod proxy;

use std::time::Duration;

/// Timeout for events that must happen.
const WAIT_TIMEOUT: Duration = Duration::from_secs(10);
/// Time for which a test checks that an event doesn't happen.
const QUIET_PERIOD: Duration = Duration::from_millis(250);

fn block_on<F: Future>(future: F) -> F::Output {
    actix_rt::System::new().block_on(future)
}
