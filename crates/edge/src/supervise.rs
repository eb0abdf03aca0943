//! Keeps the tasks of an instance running when one of them panics.
//!
//! A panic ends only the task in which it happens. A process without one of its
//! tasks would stay in use and, for example, follow no withdrawal any more. So the
//! task is started again, after a delay that bounds the cost of a repeated panic.

use std::any::Any;
use std::panic::AssertUnwindSafe;
use std::rc::Rc;
use std::time::Duration;

use futures_util::future::FutureExt;
use serde_json::json;

use crate::instance::Instance;

/// Delay before a task that panicked is started again.
const RESTART_DELAY: Duration = Duration::from_millis(100);

/// Runs `task` until it returns, and again whenever it panics.
pub(crate) fn supervise<F, T>(instance: &Rc<Instance>, name: &'static str, task: T)
where
    F: Future<Output = ()> + 'static,
    T: Fn(Rc<Instance>) -> F + 'static,
{
    let instance = Rc::clone(instance);
    actix_rt::spawn(async move {
        let restarted = |reason: &str| instance.record_panic(name, reason);
        run_until_done(|| task(Rc::clone(&instance)), restarted).await;
    });
}

/// Runs a future until it completes, and a new one whenever it panics.
pub(crate) async fn run_until_done<F: Future<Output = ()>>(
    start: impl Fn() -> F,
    record_panic: impl Fn(&str),
) {
    // The state that tasks share is guarded by `RefCell`s, whose guards are
    // released while the panic unwinds.
    while let Err(payload) = AssertUnwindSafe(start()).catch_unwind().await {
        record_panic(panic_reason(&*payload));
        tokio::time::sleep(RESTART_DELAY).await;
    }
}

/// The message of a panic.
pub(crate) fn panic_reason(payload: &(dyn Any + Send)) -> &str {
    payload
        .downcast_ref::<&str>()
        .copied()
        .or_else(|| payload.downcast_ref::<String>().map(String::as_str))
        .unwrap_or("unknown")
}

impl Instance {
    /// Counts and logs a panic of a task.
    pub(crate) fn record_panic(&self, task: &str, reason: &str) {
        self.metrics.task_panics.inc();
        self.log
            .event("task_panicked", json!({"task": task, "reason": reason}));
    }
}
