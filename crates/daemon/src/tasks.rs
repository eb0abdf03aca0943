//! Background loops.

use actix_rt::task::JoinHandle;

/// Aborts a background loop when dropped.
#[derive(Debug)]
pub(crate) struct LoopGuard(JoinHandle<()>);

impl LoopGuard {
    /// Spawns a loop on the current thread.
    pub(crate) fn spawn(run: impl Future<Output = ()> + 'static) -> Self {
        Self(actix_rt::spawn(run))
    }
}

impl Drop for LoopGuard {
    fn drop(&mut self) {
        self.0.abort();
    }
}
