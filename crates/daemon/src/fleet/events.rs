//! The time line of this instance and of the fleet.

use std::cell::RefCell;

use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use log::info;
use serde::Serialize;
use tarragonpulley_policy::ids::IncarnationId;
use tarragonpulley_policy::timeline::{
    EventRecord, EventRing, HybridClock, HybridStamp, merge_events,
};

use super::core::FleetCore;
use crate::border::EventSink;

/// Events that an instance keeps: hours of ordinary operation.
const RING_EVENTS: usize = 4096;

/// The events of this process and the clock that stamps them.
#[derive(Debug)]
pub(super) struct EventLog {
    origin: IncarnationId,
    clock: RefCell<HybridClock>,
    ring: RefCell<EventRing>,
}

/// An event as it is logged.
#[derive(Debug, Serialize)]
struct LoggedEvent<'a> {
    event: &'a str,
    subject: &'a str,
    detail: &'a str,
    origin: &'a IncarnationId,
    stamp_ms: u64,
    stamp_counter: u32,
}

impl EventLog {
    pub(super) fn new(origin: IncarnationId) -> Self {
        Self {
            origin,
            clock: RefCell::default(),
            ring: RefCell::new(EventRing::new(RING_EVENTS)),
        }
    }
}

impl FleetCore {
    /// A stamp for a message that is about to be sent.
    pub(super) fn stamp(&self) -> HybridStamp {
        self.log.clock.borrow_mut().tick(self.clock.system())
    }

    /// Follows the stamp of a message.
    pub(super) fn observe_stamp(&self, seen: HybridStamp) {
        let now = self.clock.system();
        self.log.clock.borrow_mut().observe(seen, now);
    }

    pub(super) fn record_event(&self, kind: &str, subject: &str, detail: &str) {
        let event = EventRecord {
            stamp: self.stamp(),
            origin: self.log.origin.clone(),
            kind: kind.to_owned(),
            subject: subject.to_owned(),
            detail: detail.to_owned(),
        };
        info!(target: "timeline", "{}", logged(&event));
        self.log.ring.borrow_mut().push(event);
    }

    pub(super) fn own_events(&self, after: HybridStamp, most: usize) -> Vec<EventRecord> {
        self.log.ring.borrow().since(after, most)
    }
}

fn logged(event: &EventRecord) -> String {
    let line = LoggedEvent {
        event: &event.kind,
        subject: &event.subject,
        detail: &event.detail,
        origin: &event.origin,
        stamp_ms: event.stamp.millis,
        stamp_counter: event.stamp.counter,
    };
    serde_json::to_string(&line).unwrap_or_else(|error| error.to_string())
}

impl EventSink for FleetCore {
    fn record(&self, kind: &str, subject: &str, detail: &str) {
        self.record_event(kind, subject, detail);
    }

    fn local_events(&self, after: HybridStamp, most: usize) -> Vec<EventRecord> {
        self.own_events(after, most)
    }

    fn fleet_events(
        &self,
        after: HybridStamp,
        most: usize,
    ) -> LocalBoxFuture<'_, Vec<EventRecord>> {
        async move { merge_events(self.own_events(after, most), most) }.boxed_local()
    }
}
