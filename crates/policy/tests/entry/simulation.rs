//! Shared parts of the load simulations: the objects that a server knows, the
//! service time, and the credit for served requests.

use std::collections::VecDeque;

use rand::RngExt;
use rand::rngs::StdRng;

/// How many objects a server knows at a time.
const KNOWN_OBJECTS: usize = 20;

/// Work on a known object as a fraction of that on an unknown one.
const KNOWN_WORK_FRACTION: f64 = 0.3;

/// The objects that a server handled most recently, oldest first.
#[derive(Debug, Default)]
pub(crate) struct KnownObjects(VecDeque<u64>);

impl KnownObjects {
    /// Marks the object as the most recent and returns the service time of a request
    /// on it in milliseconds. `mean_ms` is the mean for unknown objects.
    pub(crate) fn work_ms(&mut self, object: u64, mean_ms: f64, random: &mut StdRng) -> f64 {
        let is_known = self.0.contains(&object);
        self.0.retain(|known| *known != object);
        self.0.push_back(object);
        if self.0.len() > KNOWN_OBJECTS {
            self.0.pop_front();
        }
        mean_ms * random.random_range(0.85..1.15) * if is_known { KNOWN_WORK_FRACTION } else { 1.0 }
    }
}

/// Mean credit per request: 1 for a response within the target latency, 0.2 for a
/// late one.
pub(crate) fn credit_per_request(in_target: u32, late: u32, requests: u32) -> f64 {
    (f64::from(in_target) + 0.2 * f64::from(late)) / f64::from(requests.max(1))
}
