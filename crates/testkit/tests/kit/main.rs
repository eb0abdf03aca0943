//! The stand-ins, the fault proxy and the launcher.

mod backend;
mod fleet;
mod proxy;

use std::time::Duration;

/// How long a test waits for what must happen.
const EVENT_TIMEOUT: Duration = Duration::from_secs(10);
/// How long a test listens for what must not happen.
const QUIET_PERIOD: Duration = Duration::from_millis(250);

fn block_on<F: Future>(future: F) -> F::Output {
    actix_rt::System::new().block_on(future)
}
