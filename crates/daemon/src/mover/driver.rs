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

use super::EvidenceCollector;
use crate::interfaces::{ChangeOutcome, ConfigEdit, InstanceContext};

/// Longest interval between checks of the moves.
const POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Additional delay of each further instance in name order before it writes a step
/// that is due, so that usually only one writes and the others see its write.
const RANK_DELAY: Duration = Duration::from_millis(100);
/// Delay before a failed write is retried.
const RETRY_BACKOFF: Duration = Duration::from_secs(1);

/// Stops the driver when dropped.
#[derive(Debug)]
pub(crate) struct MoveGuard(JoinHandle<()>);

impl Drop for MoveGuard {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// What this instance has seen of a move's current step.
#[derive(Debug)]
struct StepProgress {
    epoch: u64,
    /// Requests on the compared version when the step was first seen.
    requests: u64,
    due_since: Option<Instant>,
    last_attempt: Option<Instant>,
}

/// Drives all moves from this instance.
#[derive(Debug)]
pub(crate) struct MoveDriver {
    context: InstanceContext,
    collector: Rc<EvidenceCollector>,
    state_machine: Rc<MoveStateMachine>,
    steps: BTreeMap<MoveName, StepProgress>,
}

impl MoveDriver {
    /// Creates a driver without a background task.
    pub(crate) const fn new(
        context: InstanceContext,
        collector: Rc<EvidenceCollector>,
        state_machine: Rc<MoveStateMachine>,
    ) -> Self {
        let steps = BTreeMap::new();
        Self {
            context,
            collector,
            state_machine,
            steps,
        }
    }

    /// Starts a background task that polls the moves, also when a fault is found.
    pub(crate) fn start(
        context: InstanceContext,
        collector: Rc<EvidenceCollector>,
        state_machine: Rc<MoveStateMachine>,
    ) -> MoveGuard {
        let mut driver = Self::new(context, Rc::clone(&collector), state_machine);
        MoveGuard(actix_rt::spawn(async move {
            loop {
                driver.poll().await;
                tokio::select! {
                    () = actix_rt::time::sleep(POLL_INTERVAL) => {}
                    () = collector.fault_found.notified() => {}
                }
            }
        }))
    }

    /// Checks every move once and writes the steps that are due.
    pub(crate) async fn poll(&mut self) {
        self.collector.import_faults();
        let snapshot = self.context.config.snapshot();
        self.update_comparisons(&snapshot);
        self.steps
            .retain(|name, _| snapshot.moves.contains_key(name));
        for (name, record) in active_moves(&snapshot) {
            let evidence = self.evidence(&snapshot, name, record);
            let now = self.context.clock.system();
            match self.state_machine.next_step(record, &evidence, now) {
                StepDecision::Write(next) if self.may_write(name, &evidence) => {
                    self.write(name, record, *next).await;
                }
                StepDecision::UnknownState(state) => {
                    log::warn!(
                        "move {name} is in state {state:?}, which this version does not know"
                    );
                }
                StepDecision::Write(_) | StepDecision::Wait(_) | StepDecision::Ended => {}
            }
        }
    }

    /// Starts comparisons for the targets of moves that have a traffic share, and
    /// stops all others.
    fn update_comparisons(&self, snapshot: &ConfigSnapshot) {
        let mut evidence = self.collector.evidence.borrow_mut();
        let mut needed = BTreeSet::new();
        for (name, record) in active_moves(snapshot) {
            let service = service_of(record);
            let is_leading = leading_move(snapshot, service).is_some_and(|(n, _)| n == name);
            if !is_leading || record.state != MoveState::Shifting.to_string() {
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
        let compared: Vec<ServiceKey> = evidence.compared_services().cloned().collect();
        for service in compared.iter().filter(|s| !needed.contains(s)) {
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
        let evidence = self.collector.evidence.borrow();
        let requests = evidence.requests(service);
        let progress = self.steps.get(name).filter(|m| m.epoch == record.epoch);
        let requests_at_start = progress.map_or(requests, |m| m.requests);
        if progress.is_none() {
            let progress = StepProgress {
                epoch: record.epoch,
                requests,
                due_since: None,
                last_attempt: None,
            };
            self.steps.insert(name.clone(), progress);
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
            requests: requests.saturating_sub(requests_at_start),
            cancel_reason: other
                .map(|(leader, _)| format!("move {leader} of {service} is under way")),
        }
    }

    /// Whether this instance may write a step now: its delay by rank has passed, and
    /// so has the retry delay after an earlier attempt at the same step.
    fn may_write(&mut self, name: &MoveName, evidence: &MoveEvidence) -> bool {
        let now = self.context.clock.instant();
        let members = self.context.members.members();
        let before = members
            .iter()
            .filter(|m| m.reachable && m.instance < self.context.incarnation.instance);
        let rank = u32::try_from(before.count()).unwrap_or(u32::MAX);
        let Some(progress) = self.steps.get_mut(name) else {
            return false;
        };
        let due_since = *progress.due_since.get_or_insert(now);
        let urgent = matches!(evidence.assessment, TargetAssessment::Faulty(_));
        let turn_reached = urgent || now.saturating_duration_since(due_since) >= RANK_DELAY * rank;
        let last_attempt = progress.last_attempt;
        let attempted_recently =
            last_attempt.is_some_and(|t| now.saturating_duration_since(t) < RETRY_BACKOFF);
        if !turn_reached || attempted_recently {
            return false;
        }
        progress.last_attempt = Some(now);
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
                log::debug!("move {name}: another instance has written first ({revision})");
            }
            ChangeOutcome::Refused(reason)
            | ChangeOutcome::Unavailable(reason)
            | ChangeOutcome::Unknown(reason) => {
                log::warn!("move {name}: writing the step failed ({detail}): {reason}");
            }
        }
    }
}

const fn service_of(record: &MoveRecord) -> &ServiceKey {
    match &record.kind {
        MoveKind::Rollout { service, .. } | MoveKind::CentreShift { service, .. } => service,
    }
}
