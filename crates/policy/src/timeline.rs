//! A fleet-wide timeline of events, ordered by hybrid logical clocks.
//!
//! Clocks of different machines differ, so an event carries a hybrid logical
//! timestamp: the wall-clock time, advanced past every timestamp received in a
//! message. An event therefore sorts after the events that caused it.

use std::cmp::Reverse;
use std::collections::VecDeque;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::ids::IncarnationId;

/// A hybrid logical timestamp. Its order is consistent with causality between
/// processes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct HybridTimestamp {
    /// Milliseconds since the Unix epoch.
    pub millis: u64,
    /// Orders timestamps of the same millisecond.
    pub counter: u32,
}

/// Maximum time by which a received timestamp may be ahead of the local clock.
/// With a larger lead the sender's clock is taken to be wrong; advancing to its
/// timestamp would falsify the timeline.
pub const MAX_CLOCK_LEAD: Duration = Duration::from_mins(1);

/// A hybrid logical clock.
#[derive(Debug, Clone, Default)]
pub struct HybridClock {
    last: HybridTimestamp,
}

fn unix_millis(time: SystemTime) -> u64 {
    let elapsed = time.duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
}

impl HybridClock {
    /// Issues the timestamp of a local event at the wall-clock time `now`.
    pub fn tick(&mut self, now: SystemTime) -> HybridTimestamp {
        let millis = unix_millis(now);
        self.last = if millis > self.last.millis {
            HybridTimestamp { millis, counter: 0 }
        } else {
            HybridTimestamp {
                millis: self.last.millis,
                counter: self.last.counter + 1,
            }
        };
        self.last
    }

    /// Advances the clock to a timestamp that was received in a message at `now`.
    /// Timestamps beyond [`MAX_CLOCK_LEAD`] are ignored.
    pub fn observe(&mut self, seen: HybridTimestamp, now: SystemTime) {
        let lead = u64::try_from(MAX_CLOCK_LEAD.as_millis()).unwrap_or(u64::MAX);
        if seen.millis <= unix_millis(now).saturating_add(lead) {
            self.last = self.last.max(seen);
        }
    }
}

/// An event of one process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EventRecord {
    /// The time of the event.
    pub stamp: HybridTimestamp,
    /// The process that recorded the event.
    pub origin: IncarnationId,
    /// The type of the event, such as `key_withdrawn`.
    pub kind: String,
    /// The object that the event concerns, such as the name of a move.
    pub subject: String,
    /// Further information for the reader.
    pub detail: String,
}

/// A ring buffer with the latest events of a process.
#[derive(Debug, Clone)]
pub struct EventRing {
    events: VecDeque<EventRecord>,
    capacity: usize,
}

impl EventRing {
    /// Creates a ring buffer for at most `capacity` events.
    #[must_use]
    pub const fn new(capacity: usize) -> Self {
        Self {
            events: VecDeque::new(),
            capacity,
        }
    }

    /// Adds an event and evicts the oldest one if the buffer is full.
    pub fn push(&mut self, event: EventRecord) {
        if self.events.len() == self.capacity {
            self.events.pop_front();
        }
        self.events.push_back(event);
    }

    /// The latest events after `after`, at most `max_events`, oldest first.
    #[must_use]
    pub fn since(&self, after: HybridTimestamp, max_events: usize) -> Vec<EventRecord> {
        let newer = self.events.iter().filter(|e| e.stamp > after);
        let mut newest: Vec<_> = newer.rev().take(max_events).cloned().collect();
        newest.reverse();
        newest
    }
}

/// Merges the events of several processes, removes duplicates, and returns the
/// latest `max_events` events, oldest first.
#[must_use]
pub fn merge_events(mut events: Vec<EventRecord>, max_events: usize) -> Vec<EventRecord> {
    events.sort_by(|a, b| {
        (Reverse(a.stamp), &a.origin, &a.kind).cmp(&(Reverse(b.stamp), &b.origin, &b.kind))
    });
    events.dedup();
    events.truncate(max_events);
    events.reverse();
    events
}
