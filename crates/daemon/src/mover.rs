//! Drives moves and keeps the evidence about new versions.
//!
//! Every instance judges its own requests. A fault latches here first, which
//! stops this instance's own traffic to the version at once; then it is stated
//! to the other instances; then the driver writes the move's record. Steps are
//! conditional writes, so any instance may try them and losing a race is normal.

mod driver;

use std::cell::RefCell;
use std::rc::Rc;

use tarragonpulley_policy::clock::TimeSource;
use tarragonpulley_policy::evidence::{AttemptSample, EvidenceStore as Evidence};
use tarragonpulley_policy::facts::{FactKey, FactValue};
use tarragonpulley_policy::ids::ServiceKey;
use tokio::sync::Notify;

use crate::border::{AttemptReport, EventSink, EvidenceSink, FactBoard};

pub(crate) use driver::{MoveDriver, MoveGuard};

/// The evidence of this instance. Routing follows the faults that it states.
#[derive(Debug)]
pub(crate) struct EvidenceCollector {
    clock: Rc<dyn TimeSource>,
    facts: Rc<dyn FactBoard>,
    events: Rc<dyn EventSink>,
    evidence: RefCell<Evidence>,
    /// Wakes the driver when a fault is found.
    fault_found: Notify,
}

impl EvidenceCollector {
    /// Creates an empty book.
    pub(crate) fn new(
        clock: Rc<dyn TimeSource>,
        facts: Rc<dyn FactBoard>,
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

    /// Takes over the faults that other instances stated.
    fn import_faults(&self) {
        let stated = self
            .facts
            .select(&|key| matches!(key, FactKey::VersionFault(..)));
        let mut evidence = self.evidence.borrow_mut();
        for (key, value) in stated {
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

    fn note(&self, attempt: &AttemptReport) {
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
        let is_sticky = evidence.fault(&attempt.service, &attempt.version).is_some();
        // The sinks below may look at the evidence.
        drop(evidence);
        if is_sticky {
            let key = FactKey::VersionFault(attempt.service.clone(), attempt.version.clone());
            let value = FactValue::FlagWithReason(reason.clone());
            self.facts.state(key, value, true);
        }
        let subject = format!("{} {}", attempt.service, attempt.version);
        let kind = if is_sticky {
            "version_fault"
        } else {
            "shift_fault"
        };
        self.events.record(kind, &subject, &reason);
        self.fault_found.notify_one();
    }
}
