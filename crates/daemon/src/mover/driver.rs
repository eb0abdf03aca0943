//! Writes the steps of moves.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::{Duration, Instant};

use actix_rt::task::JoinHandle;
use tarragonpulley_policy::evidence::BaselineSource;
use tarragonpulley_policy::ids::{MoveName, ServiceKey};
use tarragonpulley_policy::movement::{
    MoveEvidence, MoveState, MoveStateMachine, StepDecision, TargetAssessment, active_moves,
    leading_move, required_margin, stable_version,
};
use tarragonpulley_policy::snapshot::{ConfigSnapshot, MoveKind, MoveRecord};

use super::EvidenceBook;
use crate::interfaces::{ChangeOutcome, ConfigEdit, InstanceContext};

/// Longest time between two looks at the moves.
const LOOK_INTERVAL: Duration = Duration::from_millis(200);
/// Each further instance waits this much longer before it writes a step that
/// is due, so that usually one writes and the others see its write.
const RANK_DELAY: Duration = Duration::from_millis(100);
/// Time before a write that failed is tried again.
const RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// Stops the driver when dropped.
#[derive(Debug)]
pub(crate) struct MoveGuard(JoinHandle<()>);

impl Drop for MoveGuard {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// What this instance remembers of a move's current step.
#[derive(Debug)]
struct StepMemory {
    epoch: u64,
    /// Requests on the target when the step was first seen.
    requests: u64,
    due_since: Option<Instant>,
    tried: Option<Instant>,
}

/// Drives all moves from this instance.
#[derive(Debug)]
pub(crate) struct MoveDriver {
    context: InstanceContext,
    book: Rc<EvidenceBook>,
    chart: Rc<MoveStateMachine>,
    steps: BTreeMap<MoveName, StepMemory>,
}

impl MoveDriver {
    /// Creates a driver that does nothing by itself.
    pub(crate) const fn new(
        context: InstanceContext,
        book: Rc<EvidenceBook>,
        chart: Rc<MoveStateMachine>,
    ) -> Self {
        let steps = BTreeMap::new();
        Self {
            context,
            book,
            chart,
            steps,
        }
    }

    /// Starts driving in a task of its own.
    pub(crate) fn start(
        context: InstanceContext,
        book: Rc<EvidenceBook>,
        chart: Rc<MoveStateMachine>,
    ) -> MoveGuard {
        let mut driver = Self::new(context, Rc::clone(&book), chart);
        MoveGuard(actix_rt::spawn(async move {
            loop {
                driver.look().await;
                tokio::select! {
                    () = actix_rt::time::sleep(LOOK_INTERVAL) => {}
                    () = book.found.notified() => {}
                }
            }
        }))
    }

    /// Looks at every move once and writes the steps that are due.
    pub(crate) async fn look(&mut self) {
        self.book.import_faults();
        let snapshot = self.context.config.snapshot();
        self.watch(&snapshot);
        self.steps
            .retain(|name, _| snapshot.moves.contains_key(name));
        for (name, record) in active_moves(&snapshot) {
            let evidence = self.evidence(&snapshot, name, record);
            let now = self.context.clock.system();
            match self.chart.next_step(record, &evidence, now) {
                StepDecision::Write(next) if self.may_write(name, &evidence) => {
                    self.write(name, record, *next).await;
                }
                StepDecision::UnknownState(state) => {
                    log::warn!("move {name} is in state {state:?}, which this program lacks");
                }
                StepDecision::Write(_) | StepDecision::Wait(_) | StepDecision::Ended => {}
            }
        }
    }

    /// Compares the targets of moves that have a share, and no others.
    fn watch(&self, snapshot: &ConfigSnapshot) {
        let mut evidence = self.book.evidence.borrow_mut();
        let mut needed = BTreeSet::new();
        for (name, record) in active_moves(snapshot) {
            let service = service_of(record);
            let leads = leading_move(snapshot, service).is_some_and(|(n, _)| n == name);
            if !leads || record.state != MoveState::Shifting.to_string() {
                continue;
            }
            match &record.kind {
                MoveKind::Rollout { from, to, .. } => {
                    let source = BaselineSource::Version(from.clone());
                    evidence.start_comparison(service, to, &source);
                }
                MoveKind::CentreShift { .. } => {
                    let Some(version) = stable_version(snapshot, service) else {
                        continue;
                    };
                    evidence.start_comparison(service, &version, &BaselineSource::BeforeShift);
                }
            }
            needed.insert(service.clone());
        }
        let watched: Vec<ServiceKey> = evidence.compared_services().cloned().collect();
        for service in watched.iter().filter(|s| !needed.contains(s)) {
            evidence.stop_comparison(service);
        }
    }

    fn evidence(
        &mut self,
        snapshot: &ConfigSnapshot,
        name: &MoveName,
        record: &MoveRecord,
    ) -> MoveEvidence {
        let service = service_of(record);
        let other = leading_move(snapshot, service).filter(|(leader, _)| *leader != name);
        let evidence = self.book.evidence.borrow();
        let requests = evidence.requests(service);
        let memory = self.steps.get(name).filter(|m| m.epoch == record.epoch);
        let first = memory.map_or(requests, |m| m.requests);
        if memory.is_none() {
            let memory = StepMemory {
                epoch: record.epoch,
                requests,
                due_since: None,
                tried: None,
            };
            self.steps.insert(name.clone(), memory);
        }
        let fault = match &record.kind {
            MoveKind::Rollout { to, .. } => evidence.fault(service, to),
            MoveKind::CentreShift { .. } => None,
        };
        let assessment = match fault {
            Some(reason) => TargetAssessment::Faulty(reason.to_owned()),
            None if other.is_some() => TargetAssessment::Undecided,
            None => evidence.assess(service, required_margin(record)),
        };
        MoveEvidence {
            assessment,
            requests: requests.saturating_sub(first),
            cancel_reason: other
                .map(|(leader, _)| format!("move {leader} of {service} is under way")),
        }
    }

    /// Whether this instance may write a step now: its turn has come, and an
    /// earlier try of the same step is long enough ago.
    fn may_write(&mut self, name: &MoveName, evidence: &MoveEvidence) -> bool {
        let now = self.context.clock.instant();
        let members = self.context.members.members();
        let before = members
            .iter()
            .filter(|m| m.reachable && m.instance < self.context.incarnation.instance);
        let rank = u32::try_from(before.count()).unwrap_or(u32::MAX);
        let Some(memory) = self.steps.get_mut(name) else {
            return false;
        };
        let due_since = *memory.due_since.get_or_insert(now);
        let urgent = matches!(evidence.assessment, TargetAssessment::Faulty(_));
        let waited = urgent || now.saturating_duration_since(due_since) >= RANK_DELAY * rank;
        let tried = memory.tried;
        let tried_lately = tried.is_some_and(|t| now.saturating_duration_since(t) < RETRY_INTERVAL);
        if !waited || tried_lately {
            return false;
        }
        memory.tried = Some(now);
        true
    }

    async fn write(&self, name: &MoveName, record: &MoveRecord, next: MoveRecord) {
        let detail = format!("{} at {}: {}", next.state, next.share, next.reason);
        let edit = ConfigEdit::PutMove {
            name: name.clone(),
            epoch: record.epoch,
            record: next,
        };
        match self.context.config.change(edit).await {
            ChangeOutcome::Accepted(_) => {
                let name = name.to_string();
                self.context.events.record("move_step", &name, &detail);
            }
            ChangeOutcome::Conflict(revision) => {
                log::debug!("move {name}: another instance wrote first ({revision})");
            }
            ChangeOutcome::Refused(reason)
            | ChangeOutcome::Unavailable(reason)
            | ChangeOutcome::Unknown(reason) => {
                log::warn!("move {name}: {detail}: the write did not succeed: {reason}");
            }
        }
    }
}

const fn service_of(record: &MoveRecord) -> &ServiceKey {
    match &record.kind {
        MoveKind::Rollout { service, .. } | MoveKind::CentreShift { service, .. } => service,
    }
}
