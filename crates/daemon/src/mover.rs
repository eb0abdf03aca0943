//! Drives moves and keeps the evidence about new versions.
//!
//! Every instance judges its own requests. A fault latches here first, which
//! stops this instance's own traffic to the version at once; then it is stated
//! to the other instances; then the driver writes the move's record. Steps are
//! conditional writes, so any instance may try them and losing a race is normal.

mod cache;
mod driver;

use std::cell::RefCell;
use std::rc::Rc;

use tarragonpulley_policy::clock::TimeSource;
use tarragonpulley_policy::evidence::{AttemptSample, EvidenceBook as Evidence};
use tarragonpulley_policy::facts::{FactKey, FactValue};
use tarragonpulley_policy::ids::{ServiceKey, VersionName};
use tarragonpulley_policy::movement::{CentreShiftShare, centre_shifts};
use tarragonpulley_policy::units::TrafficShare;
use tokio::sync::Notify;

use crate::border::{AttemptReport, ConfigSource, EventSink, EvidenceSink, FactBoard};

use cache::{ShareCache, VersionShares};
pub(crate) use driver::MoveDriver;

/// The evidence of this instance, and the shares that follow from it.
#[derive(Debug)]
pub(crate) struct EvidenceBook {
    clock: Rc<dyn TimeSource>,
    config: Rc<dyn ConfigSource>,
    facts: Rc<dyn FactBoard>,
    events: Rc<dyn EventSink>,
    evidence: RefCell<Evidence>,
    cache: ShareCache,
    /// Wakes the driver when a fault is found.
    found: Notify,
}

impl EvidenceBook {
    /// Creates an empty book.
    pub(crate) fn new(
        clock: Rc<dyn TimeSource>,
        config: Rc<dyn ConfigSource>,
        facts: Rc<dyn FactBoard>,
        events: Rc<dyn EventSink>,
    ) -> Rc<Self> {
        Rc::new(Self {
            clock,
            config,
            facts,
            events,
            evidence: RefCell::new(Evidence::new()),
            cache: ShareCache::default(),
            found: Notify::new(),
        })
    }

    /// The share of a service's traffic that a version gets now. Zero as soon
    /// as a fault of the version is known here, whatever the table says.
    pub(crate) fn share_for(&self, service: &ServiceKey, version: &VersionName) -> TrafficShare {
        let shares = self.version_shares(service);
        shares.get(version).copied().unwrap_or(TrafficShare::NONE)
    }

    /// The shares of all versions of a service that get traffic.
    pub(crate) fn version_shares(&self, service: &ServiceKey) -> Rc<VersionShares> {
        let snapshot = self.config.snapshot();
        let faulty = |version: &VersionName| self.is_faulty(service, version);
        let now = self.clock.system();
        self.cache.shares(&snapshot, service, &faulty, now)
    }

    /// The shares of a service's traffic that go to another data centre. None
    /// for the shift under way as soon as this instance knows that it does harm.
    pub(crate) fn centre_shifts(&self, service: &ServiceKey) -> Vec<CentreShiftShare> {
        let snapshot = self.config.snapshot();
        let faulty = self.evidence.borrow().shift_fault(service).is_some();
        centre_shifts(&snapshot, service, faulty, self.clock.system())
    }

    fn is_faulty(&self, service: &ServiceKey, version: &VersionName) -> bool {
        let key = FactKey::VersionFault(service.clone(), version.clone());
        self.facts.get(&key).is_some() || self.evidence.borrow().fault(service, version).is_some()
    }

    /// Takes over the faults that other instances stated.
    fn import_faults(&self) {
        let stated = self
            .facts
            .select(&|key| matches!(key, FactKey::VersionFault(..)));
        let mut evidence = self.evidence.borrow_mut();
        for (key, value) in stated {
            if let FactKey::VersionFault(service, version) = key {
                let reason = match value {
                    FactValue::LatchedBecause(reason) => reason,
                    _ => "another instance found a fault".to_owned(),
                };
                evidence.latch(&service, &version, &reason);
            }
        }
    }
}

impl EvidenceSink for EvidenceBook {
    fn note(&self, attempt: &AttemptReport) {
        let sample = AttemptSample {
            service: &attempt.service,
            version: &attempt.version,
            route: &attempt.route,
            failed: attempt.failed,
            latency: attempt.latency,
        };
        let mut evidence = self.evidence.borrow_mut();
        let Some(reason) = evidence.note(&sample, self.clock.instant()) else {
            return;
        };
        let latched = evidence.fault(&attempt.service, &attempt.version).is_some();
        // The sinks below may look at the evidence.
        drop(evidence);
        if latched {
            let key = FactKey::VersionFault(attempt.service.clone(), attempt.version.clone());
            let value = FactValue::LatchedBecause(reason.clone());
            self.facts.state(key, value, true);
        }
        let subject = format!("{} {}", attempt.service, attempt.version);
        let kind = if latched {
            "version_fault"
        } else {
            "shift_fault"
        };
        self.events.record(kind, &subject, &reason);
        self.found.notify_one();
    }
}
