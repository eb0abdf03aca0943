//! What the players of load have in common: a server's known objects, the time
//! of work, and the credit of what was served.

use std::collections::VecDeque;

use rand::RngExt;
use rand::rngs::StdRng;

/// How many objects a server keeps known.
const KNOWN_OBJECTS: usize = 20;

/// The part of the work that a known object takes.
const KNOWN_WORK_FRACTION: f64 = 0.3;

/// The objects that a server handled last, oldest first.
#[derive(Debug, Default)]
pub(crate) struct KnownObjects(VecDeque<u64>);

impl KnownObjects {
    /// The time of work on an object in milliseconds, which becomes the newest
    /// known one. `mean_ms` is for unknown objects.
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

/// Credit per request: one within the target, a fifth when late.
pub(crate) fn credit_per_request(in_target: u32, late: u32, requests: u32) -> f64 {
    (f64::from(in_target) + 0.2 * f64::from(late)) / f64::from(requests.max(1))
}
