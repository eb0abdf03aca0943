//! Background loops.

use actix_rt::task::JoinHandle;

/// Stops a background loop when dropped.
#[derive(Debug)]
pub(crate) struct LoopGuard(JoinHandle<()>);

impl LoopGuard {
    /// Runs a loop on the current thread.
    pub(crate) fn spawn(run: impl Future<Output = ()> + 'static) -> Self {
        Self(actix_rt::spawn(run))
    }
}

impl Drop for LoopGuard {
    fn drop(&mut self) {
        self.0.abort();
    }
}
