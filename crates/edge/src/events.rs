//! The event log: JSON lines on standard output, with bounded memory and
//! without blocking.
//!
//! A writer thread takes the lines from a bounded queue. Lines that do not fit
//! are dropped and counted; the next line that fits carries the count. Events
//! of successful requests are rate-limited; rejections and failures are not.

use std::cell::Cell;
use std::collections::VecDeque;
use std::fmt;
use std::io::Write;
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::time::{Duration, Instant, SystemTime};

use serde_json::{Map, Value};

/// The maximum number of lines in the queue.
const MAX_QUEUED_LINES: usize = 2048;

/// The maximum number of lines about successful requests per second.
const MAX_SUCCESS_LINES_PER_SECOND: u32 = 20;

/// Time for which the writer collects lines, to write them with one call.
const BATCH_INTERVAL: Duration = Duration::from_millis(50);

#[derive(Debug, Default)]
struct LineQueue {
    lines: VecDeque<String>,
    dropped: u64,
}

/// Writes events as JSON lines.
#[derive(Clone)]
pub struct EventLog {
    shared: Arc<(Mutex<LineQueue>, Condvar)>,
    instance: String,
    success_window: std::rc::Rc<Cell<(Option<Instant>, u32)>>,
}

impl fmt::Debug for EventLog {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("EventLog")
            .field("instance", &self.instance)
            .finish_non_exhaustive()
    }
}

impl EventLog {
    /// Starts the writer thread. `sink` receives the lines.
    pub fn start(instance: &str, mut sink: impl Write + Send + 'static) -> Self {
        let shared = Arc::new((Mutex::new(LineQueue::default()), Condvar::new()));
        let queue = Arc::clone(&shared);
        std::thread::spawn(move || {
            loop {
                let batch = wait_for_lines(&queue);
                // A failure of the log must not stop the instance. Readers of
                // the log see a gap in the times.
                if sink
                    .write_all(batch.as_bytes())
                    .and_then(|()| sink.flush())
                    .is_err()
                {
                    return;
                }
            }
        });
        Self {
            shared,
            instance: instance.to_owned(),
            success_window: std::rc::Rc::new(Cell::new((None, 0))),
        }
    }

    /// Writes one event. `fields` must be a JSON object.
    pub fn event(&self, event: &str, fields: Value) {
        let mut line = Map::new();
        let time = SystemTime::now()
            .duration_since(SystemTime::UNIX_EPOCH)
            .unwrap_or_default();
        line.insert(
            "t".to_owned(),
            Value::from(u64::try_from(time.as_millis()).unwrap_or(u64::MAX)),
        );
        line.insert("instance".to_owned(), Value::from(self.instance.as_str()));
        line.insert("event".to_owned(), Value::from(event));
        if let Value::Object(fields) = fields {
            line.extend(fields);
        }
        let (queue, ready) = &*self.shared;
        let mut queue = queue.lock().unwrap_or_else(PoisonError::into_inner);
        if queue.lines.len() >= MAX_QUEUED_LINES {
            queue.dropped += 1;
            return;
        }
        if queue.dropped > 0 {
            line.insert("lines_dropped".to_owned(), Value::from(queue.dropped));
            queue.dropped = 0;
        }
        queue.lines.push_back(Value::Object(line).to_string());
        if queue.lines.len() == 1 {
            ready.notify_one();
        }
    }

    /// Writes an event about a successful request, unless too many were written
    /// within a second. `fields` is evaluated only when the line is written.
    pub fn success(&self, event: &str, now: Instant, fields: impl FnOnce() -> Value) {
        let (since, count) = self.success_window.get();
        let is_new_window = since
            .is_none_or(|since| now.saturating_duration_since(since) >= Duration::from_secs(1));
        if is_new_window {
            self.success_window.set((Some(now), 1));
        } else if count >= MAX_SUCCESS_LINES_PER_SECOND {
            return;
        } else {
            self.success_window.set((since, count + 1));
        }
        self.event(event, fields());
    }
}

fn wait_for_lines(shared: &(Mutex<LineQueue>, Condvar)) -> String {
    let (queue, ready) = shared;
    let guard = queue.lock().unwrap_or_else(PoisonError::into_inner);
    let guard = ready
        .wait_while(guard, |queue| queue.lines.is_empty())
        .unwrap_or_else(PoisonError::into_inner);
    drop(guard);
    std::thread::sleep(BATCH_INTERVAL);
    let mut guard = queue.lock().unwrap_or_else(PoisonError::into_inner);
    let mut batch = String::new();
    for line in guard.lines.drain(..) {
        batch.push_str(&line);
        batch.push('\n');
    }
    batch
}
