//! The links of this instance and of the others, for lookups where routes have large
//! responses.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Instant;

use tarragonpulley_policy::entry::digest::{InstanceRecord, SectionTag};
use tarragonpulley_policy::entry::directory::MAX_INSTANCES;
use tarragonpulley_policy::entry::link_load::{LinkMeter, LinkRate, LinkReport, lookup_addresses};
use tarragonpulley_policy::entry::names::InstanceName;

use crate::instance::Instance;
use crate::metrics::LookupLabel;
use crate::peers::decode_section;

/// The use of this instance's link.
#[derive(Debug)]
pub(crate) struct LinkState {
    meter: RefCell<LinkMeter>,
}

impl LinkState {
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            meter: RefCell::new(LinkMeter::new(now)),
        }
    }
}

impl Instance {
    /// The rate of this instance's link if the links decide lookups: the settings state
    /// it, and a route has large responses.
    fn deciding_link_rate(&self) -> Option<LinkRate> {
        let rate = self.options.borrow().link_rate?;
        let config = self.config.borrow();
        let has_large_responses = config
            .as_ref()
            .is_some_and(|config| config.has_large_responses());
        has_large_responses.then_some(rate)
    }

    /// Records the size of a message that was passed on.
    pub(crate) fn record_passed_on(&self, bytes: usize, now: Instant) {
        self.links.meter.borrow_mut().record(bytes, now);
    }

    fn own_link_report(&self, now: Instant) -> Option<LinkReport> {
        let rate = self.deciding_link_rate()?;
        Some(self.links.meter.borrow_mut().report(rate, now))
    }

    /// The section of the digest with the report on this instance's link.
    pub(crate) fn encode_link_section(&self, now: Instant) -> Option<Vec<u8>> {
        let report = self.own_link_report(now)?;
        self.encode_section(&report)
    }

    /// The addresses for a lookup among instances that are equally near. Without large
    /// responses, links make no difference.
    pub(crate) fn lookup_addresses(
        &self,
        near: &[&InstanceRecord],
        now: Instant,
    ) -> Vec<SocketAddr> {
        let mut reports: BTreeMap<&InstanceName, LinkReport> = BTreeMap::new();
        let peers = self.peers.borrow();
        if let Some(own) = self.own_link_report(now) {
            reports.insert(&peers.own().name, own);
            for digest in peers.live_digests(now) {
                if let Some(Ok(report)) = decode_section(digest, SectionTag::LINK) {
                    reports.insert(&digest.record.name, report);
                }
            }
        }
        let link = |record: &InstanceRecord| reports.get(&record.name).copied();
        let named = lookup_addresses(near, link, rand::random());
        let label = LookupLabel {
            named: if named.len() < near.len().min(MAX_INSTANCES) {
                "fast_links"
            } else {
                "all"
            },
        };
        self.metrics.lookups.get_or_create(&label).inc();
        named
    }
}
