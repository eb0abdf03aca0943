//! Drives moves and collects the evidence about new versions.
//!
//! Every instance assesses its own requests. A fault sets a sticky flag on this
//! instance first, which stops its own traffic to the version at once; then the
//! fault is replicated to the other instances; then the driver writes the record
//! of the move. Steps are conditional writes, so any instance may write them, and
//! a lost race is a normal outcome.

mod driver;

use std::cell::RefCell;
use std::rc::Rc;

use tarragonpulley_policy::clock::TimeSource;
use tarragonpulley_policy::evidence::{AttemptSample, EvidenceStore as Evidence};
use tarragonpulley_policy::facts::{FactKey, FactValue};
use tarragonpulley_policy::ids::ServiceKey;
use tokio::sync::Notify;

use crate::interfaces::{AttemptReport, EventSink, EvidenceSink, GossipFacts};

pub(crate) use driver::{MoveDriver, MoveGuard};

/// Collects the evidence of this instance and publishes the faults that it finds,
/// which routing follows.
#[derive(Debug)]
pub(crate) struct EvidenceCollector {
    clock: Rc<dyn TimeSource>,
    facts: Rc<dyn GossipFacts>,
    events: Rc<dyn EventSink>,
    evidence: RefCell<Evidence>,
    /// Wakes the driver when a fault is found.
    fault_found: Notify,
}

impl EvidenceCollector {
    /// Creates a collector without evidence.
    pub(crate) fn new(
        clock: Rc<dyn TimeSource>,
        facts: Rc<dyn GossipFacts>,
        events: Rc<dyn EventSink>,
    ) -> Rc<Self> {
        Rc::new(Self {
            clock,
            facts,
            events,
            evidence: RefCell::new(Evidence::new()),
            fault_found: Notify::new(),
        })
    }

    /// Records the faults that other instances have published.
    fn import_faults(&self) {
        let published = self
            .facts
            .select(&|key| matches!(key, FactKey::VersionFault(..)));
        let mut evidence = self.evidence.borrow_mut();
        for (key, value) in published {
            if let FactKey::VersionFault(service, version) = key {
                let reason = match value {
                    FactValue::FlagWithReason(reason) => reason,
                    _ => "another instance found a fault".to_owned(),
                };
                evidence.record_fault(&service, &version, &reason);
            }
        }
    }
}

impl EvidenceSink for EvidenceCollector {
    fn is_shift_harmful(&self, service: &ServiceKey) -> bool {
        self.evidence.borrow().shift_fault(service).is_some()
    }

    fn record_attempt(&self, attempt: &AttemptReport) {
        let sample = AttemptSample {
            service: &attempt.service,
            version: &attempt.version,
            route: &attempt.route,
            failed: attempt.failed,
            latency: attempt.latency,
        };
        let mut evidence = self.evidence.borrow_mut();
        let Some(reason) = evidence.record_attempt(&sample, self.clock.instant()) else {
            return;
        };
        let is_version_fault = evidence.fault(&attempt.service, &attempt.version).is_some();
        // The sinks below may borrow the evidence.
        drop(evidence);
        if is_version_fault {
            let key = FactKey::VersionFault(attempt.service.clone(), attempt.version.clone());
            let value = FactValue::FlagWithReason(reason.clone());
            self.facts.publish(key, value, true);
        }
        let subject = format!("{} {}", attempt.service, attempt.version);
        let kind = if is_version_fault {
            "version_fault"
        } else {
            "shift_fault"
        };
        self.events.record(kind, &subject, &reason);
        self.fault_found.notify_one();
    }
}
