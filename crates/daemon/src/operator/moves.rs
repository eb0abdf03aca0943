//! Requests that start and end drains and moves.

use std::collections::BTreeSet;
use std::time::Duration;

use tarragonpulley_policy::facts::{FactKey, FactValue};
use tarragonpulley_policy::ids::MoveName;
use tarragonpulley_policy::movement::{
    MoveEvidence, MoveOrder, StepDecision, TargetAssessment, check_order,
};
use tarragonpulley_policy::snapshot::{ConfigSnapshot, DrainTarget, MoveKind, MoveRecord};
use tarragonpulley_wire::operator::{DrainRequest, ErrorKind, ErrorResponse, MoveRequest};

use super::changes::{invalid, respond};
use super::{ApiResult, OperatorApi, error, rejected};
use crate::interfaces::{ChangeOutcome, ConfigEdit, MemberView};

/// Maximum writes of a cancellation, each of which may lose a race against a step of
/// a driver.
const MAX_CANCEL_ATTEMPTS: u32 = 3;
/// All instances have a written record after a heartbeat interval of 500 ms; these
/// polls cover two of them.
const MAX_CHANGE_POLLS: u32 = 20;
const CHANGE_POLL_INTERVAL: Duration = Duration::from_millis(50);

impl OperatorApi {
    pub(super) async fn start_drain(&self, request: DrainRequest) -> ApiResult {
        let target = DrainTarget::try_from(request).map_err(|e| invalid(&e))?;
        let snapshot = self.context.config.snapshot();
        let members = self.context.members.members();
        if let Some(violation) = drain_violation(&snapshot, &members, &target) {
            return Err(rejected(vec![violation]));
        }
        let subject = DrainRequest::from(&target).target;
        self.change(ConfigEdit::StartDrain(target), "operator_drain", subject)
            .await
    }

    pub(super) async fn end_drain(&self, request: DrainRequest) -> ApiResult {
        let target = DrainTarget::try_from(request).map_err(|e| invalid(&e))?;
        let subject = DrainRequest::from(&target).target;
        if !self.context.config.snapshot().drains.contains(&target) {
            let message = format!("{subject} is not being drained");
            return Err(error(ErrorKind::NotFound, message));
        }
        self.change(ConfigEdit::EndDrain(target), "operator_drain_end", subject)
            .await
    }

    pub(super) async fn start_move(&self, request: MoveRequest) -> ApiResult {
        let order = MoveOrder::try_from(request).map_err(|e| invalid(&e))?;
        let snapshot = self.context.config.snapshot();
        let now = self.context.clock.system();
        let fault = self.fault_of(&order.kind);
        let record = match (check_order(&snapshot, &order, now), fault) {
            (Ok(record), None) => record,
            (result, fault) => {
                let mut violations = result.err().unwrap_or_default();
                violations.extend(fault);
                return Err(rejected(violations));
            }
        };
        let edit = ConfigEdit::PutMove {
            name: order.name.clone(),
            epoch: 0,
            record,
        };
        self.change(edit, "operator_move", order.name.to_string())
            .await
    }

    /// The violation if the target of a rollout has shown a fault.
    fn fault_of(&self, kind: &MoveKind) -> Option<String> {
        let MoveKind::Rollout { service, to, .. } = kind else {
            return None;
        };
        let key = FactKey::VersionFault(service.clone(), to.clone());
        let reason = match self.context.facts.get(&key)? {
            FactValue::FlagWithReason(reason) => reason,
            _ => "no reason was given".to_owned(),
        };
        Some(format!(
            "kind.to: {to} showed a fault ({reason}); deploy the repair under a new version name"
        ))
    }

    /// Cancels a move. A driver may write a step at the same time; after a lost race
    /// the cancellation is retried with the new record.
    pub(super) async fn cancel_move(&self, name: &str) -> ApiResult {
        let absent = || error(ErrorKind::NotFound, format!("there is no move {name:?}"));
        let name: MoveName = name.parse().map_err(|_error| absent())?;
        let mut attempts = 1;
        loop {
            let snapshot = self.context.config.snapshot();
            let record = snapshot.moves.get(&name).ok_or_else(absent)?;
            let outcome = self.attempt_cancel(&name, record).await?;
            if !matches!(outcome, ChangeOutcome::Conflict(_)) || attempts == MAX_CANCEL_ATTEMPTS {
                return respond(outcome);
            }
            attempts += 1;
            self.wait_for_change(&name, record.epoch).await;
        }
    }

    async fn attempt_cancel(
        &self,
        name: &MoveName,
        record: &MoveRecord,
    ) -> Result<ChangeOutcome, ErrorResponse> {
        let evidence = MoveEvidence {
            assessment: TargetAssessment::Undecided,
            requests: 0,
            cancel_reason: Some("by an operator".to_owned()),
        };
        let now = self.context.clock.system();
        let step = self.state_machine.next_step(record, &evidence, now);
        let StepDecision::Write(next) = step else {
            let state = &record.state;
            return Err(rejected(vec![format!(
                "name: move {name} is already {state}"
            )]));
        };
        let edit = ConfigEdit::PutMove {
            name: name.clone(),
            epoch: record.epoch,
            record: *next,
        };
        let subject = name.to_string();
        Ok(self.execute(edit, "operator_move_cancel", &subject).await)
    }

    /// Waits until the epoch of a move differs from `epoch`, for [`MAX_CHANGE_POLLS`]
    /// polls at most.
    async fn wait_for_change(&self, name: &MoveName, epoch: u64) {
        for _ in 0..MAX_CHANGE_POLLS {
            let snapshot = self.context.config.snapshot();
            if snapshot.moves.get(name).is_none_or(|m| m.epoch != epoch) {
                return;
            }
            actix_rt::time::sleep(CHANGE_POLL_INTERVAL).await;
        }
    }
}

fn drain_violation(
    snapshot: &ConfigSnapshot,
    members: &[MemberView],
    target: &DrainTarget,
) -> Option<String> {
    match target {
        DrainTarget::Centre(customer, centre) => {
            let Some(contract) = snapshot.contracts.get(customer) else {
                return Some(format!("target: there is no customer {customer}"));
            };
            if !contract.centres.contains_key(centre) {
                return Some(format!("target: {customer} has no data centre {centre}"));
            }
            let drained = |c| DrainTarget::Centre(customer.clone(), c);
            let mut others = contract.centres.keys().filter(|c| *c != centre);
            let others_remain = others.any(|c| !snapshot.drains.contains(&drained(c.clone())));
            let reason = || format!("target: {centre} is the last data centre of {customer}");
            (!others_remain).then(reason)
        }
        DrainTarget::Instance(name) => {
            if !members.iter().any(|m| m.instance == *name) {
                return Some(format!("target: there is no instance {name}"));
            }
            let remaining: BTreeSet<_> = members
                .iter()
                .filter(|m| m.reachable && !m.leaving && m.instance != *name)
                .map(|m| DrainTarget::Instance(m.instance.clone()))
                .filter(|t| !snapshot.drains.contains(t))
                .collect();
            let reason = || format!("target: {name} is the last instance that takes callers");
            remaining.is_empty().then(reason)
        }
    }
}
