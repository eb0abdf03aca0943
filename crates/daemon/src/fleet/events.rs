//! The event timeline of this instance and of the fleet.

use std::cell::RefCell;
use std::time::Duration;

use futures_util::FutureExt;
use futures_util::future::{LocalBoxFuture, join_all};
use log::{debug, info};
use serde::Serialize;
use tarragonpulley_policy::ids::IncarnationId;
use tarragonpulley_policy::timeline::{
    EventRecord, EventRing, HybridClock, HybridTimestamp, merge_events,
};
use tarragonpulley_wire::peer::{PeerRequest, PeerResponse, events_from_wire};

use super::core::FleetCore;
use super::link::PeerLink;
use super::peering::PeerError;
use crate::interfaces::EventSink;

/// Events that an instance retains, enough for hours of ordinary operation.
const EVENT_CAPACITY: usize = 4096;

/// Timeout of an event query to a peer.
const QUERY_TIMEOUT: Duration = Duration::from_secs(1);

/// The events of this process and the hybrid clock that stamps them.
#[derive(Debug)]
pub(super) struct EventLog {
    origin: IncarnationId,
    clock: RefCell<HybridClock>,
    ring: RefCell<EventRing>,
}

/// The JSON form of an event in the log.
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
            ring: RefCell::new(EventRing::new(EVENT_CAPACITY)),
        }
    }
}

impl FleetCore {
    /// The timestamp for a message to be sent.
    pub(super) fn stamp(&self) -> HybridTimestamp {
        self.event_log.clock.borrow_mut().tick(self.clock.system())
    }

    /// Advances the clock past the timestamp of a received message.
    pub(super) fn observe_stamp(&self, seen: HybridTimestamp) {
        let now = self.clock.system();
        self.event_log.clock.borrow_mut().observe(seen, now);
    }

    pub(super) fn record_event(&self, kind: &str, subject: &str, detail: &str) {
        let event = EventRecord {
            stamp: self.stamp(),
            origin: self.event_log.origin.clone(),
            kind: kind.to_owned(),
            subject: subject.to_owned(),
            detail: detail.to_owned(),
        };
        info!(target: "timeline", "{}", logged(&event));
        self.event_log.ring.borrow_mut().push(event);
    }

    pub(super) fn own_events(&self, after: HybridTimestamp, max_events: usize) -> Vec<EventRecord> {
        self.event_log.ring.borrow().since(after, max_events)
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

impl FleetCore {
    /// The events of one peer; empty if the query fails.
    async fn fetch_events(
        &self,
        link: &PeerLink,
        after: HybridTimestamp,
        max_events: usize,
    ) -> Vec<EventRecord> {
        let request = PeerRequest::EventQuery {
            after: after.into(),
            most: u32::try_from(max_events).unwrap_or(u32::MAX),
        };
        let response = link.call(self, &request, QUERY_TIMEOUT).await;
        let events = match response {
            Ok(PeerResponse::Events(entries)) => events_from_wire(entries).map_err(PeerError::Wire),
            Ok(_other) => Err(PeerError::UnexpectedResponse),
            Err(error) => Err(error),
        };
        events.unwrap_or_else(|error| {
            debug!("events of {} not read: {error}", link.instance);
            Vec::new()
        })
    }
}

impl EventSink for FleetCore {
    fn record(&self, kind: &str, subject: &str, detail: &str) {
        self.record_event(kind, subject, detail);
    }

    fn fleet_events(
        &self,
        after: HybridTimestamp,
        max_events: usize,
    ) -> LocalBoxFuture<'_, Vec<EventRecord>> {
        async move {
            let queries = self.all_links().into_iter();
            let queries = queries
                .map(|link| async move { self.fetch_events(&link, after, max_events).await });
            let responses = join_all(queries).await;
            let others = responses.into_iter().flatten();
            let events = self.own_events(after, max_events).into_iter().chain(others);
            merge_events(events.collect(), max_events)
        }
        .boxed_local()
    }
}
