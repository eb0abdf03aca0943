//! Events on a time line over all processes.
//!
//! Clocks of different machines differ, so events carry a hybrid logical
//! stamp: the wall clock, raised above every stamp that was seen in a message.
//! An event that another one caused therefore sorts after it.

use std::cmp::Reverse;
use std::collections::VecDeque;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::ids::IncarnationId;

/// A time that respects cause and effect between processes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct HybridStamp {
    /// Milliseconds since the Unix epoch.
    pub millis: u64,
    /// Tells apart stamps of the same millisecond.
    pub counter: u32,
}

/// How far a stamp from a message may be ahead of the local clock. Beyond it
/// the sender's clock is wrong, and following it would spoil the time line.
pub const MAX_CLOCK_LEAD: Duration = Duration::from_mins(1);

/// Issues stamps.
#[derive(Debug, Clone, Default)]
pub struct HybridClock {
    last: HybridStamp,
}

fn unix_millis(time: SystemTime) -> u64 {
    let elapsed = time.duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
}

impl HybridClock {
    /// The stamp of a local event at `now`.
    pub fn tick(&mut self, now: SystemTime) -> HybridStamp {
        let millis = unix_millis(now);
        self.last = if millis > self.last.millis {
            HybridStamp { millis, counter: 0 }
        } else {
            HybridStamp {
                millis: self.last.millis,
                counter: self.last.counter + 1,
            }
        };
        self.last
    }

    /// Follows a stamp seen in a message at `now`.
    pub fn observe(&mut self, seen: HybridStamp, now: SystemTime) {
        let lead = u64::try_from(MAX_CLOCK_LEAD.as_millis()).unwrap_or(u64::MAX);
        if seen.millis <= unix_millis(now).saturating_add(lead) {
            self.last = self.last.max(seen);
        }
    }
}

/// An event of one process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EventRecord {
    /// When it happened.
    pub stamp: HybridStamp,
    /// The process.
    pub origin: IncarnationId,
    /// What happened, such as `key_withdrawn`.
    pub kind: String,
    /// What it happened to, such as the name of a move.
    pub subject: String,
    /// More about it for the reader.
    pub detail: String,
}

/// The newest events of a process.
#[derive(Debug, Clone)]
pub struct EventRing {
    events: VecDeque<EventRecord>,
    capacity: usize,
}

impl EventRing {
    /// Creates a ring that keeps `capacity` events.
    #[must_use]
    pub const fn new(capacity: usize) -> Self {
        Self {
            events: VecDeque::new(),
            capacity,
        }
    }

    /// Adds an event and drops the oldest when the ring is full.
    pub fn push(&mut self, event: EventRecord) {
        if self.events.len() == self.capacity {
            self.events.pop_front();
        }
        self.events.push_back(event);
    }

    /// The newest events after `after`, at most `most`, oldest first.
    #[must_use]
    pub fn since(&self, after: HybridStamp, most: usize) -> Vec<EventRecord> {
        let newer = self.events.iter().filter(|e| e.stamp > after);
        let mut newest: Vec<_> = newer.rev().take(most).cloned().collect();
        newest.reverse();
        newest
    }
}

/// Merges the events of several processes into one order and drops repeats.
#[must_use]
pub fn merge_events(mut events: Vec<EventRecord>, most: usize) -> Vec<EventRecord> {
    events.sort_by(|a, b| {
        (Reverse(a.stamp), &a.origin, &a.kind).cmp(&(Reverse(b.stamp), &b.origin, &b.kind))
    });
    events.dedup();
    events.truncate(most);
    events.reverse();
    events
}
