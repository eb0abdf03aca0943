//! Calls that start and end drains and moves.

use std::collections::BTreeSet;

use tarragonpulley_policy::facts::{FactKey, FactValue};
use tarragonpulley_policy::ids::MoveName;
use tarragonpulley_policy::movement::{
    MoveEvidence, MoveOrder, SoundVerdict, StepOutcome, check_order,
};
use tarragonpulley_policy::snapshot::{ConfigSnapshot, DrainTarget, MoveKind};
use tarragonpulley_wire::operator::{DrainRequest, ErrorKind, MoveRequest};

use super::changes::invalid;
use super::{ApiResult, OperatorApi, error, refused};
use crate::border::{ConfigEdit, MemberView};

impl OperatorApi {
    pub(super) async fn start_drain(&self, request: DrainRequest) -> ApiResult {
        let target = DrainTarget::try_from(request).map_err(|e| invalid(&e))?;
        let snapshot = self.context.config.snapshot();
        let members = self.context.members.members();
        if let Some(mistake) = drain_mistake(&snapshot, &members, &target) {
            return Err(refused(vec![mistake]));
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
                let mut mistakes = result.err().unwrap_or_default();
                mistakes.extend(fault);
                return Err(refused(mistakes));
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

    /// Why the target of a rollout cannot get traffic, if it showed a fault.
    fn fault_of(&self, kind: &MoveKind) -> Option<String> {
        let MoveKind::Rollout { service, to, .. } = kind else {
            return None;
        };
        let key = FactKey::VersionFault(service.clone(), to.clone());
        let reason = match self.context.facts.get(&key)? {
            FactValue::LatchedBecause(reason) => reason,
            _ => "no reason was given".to_owned(),
        };
        Some(format!(
            "kind.to: {to} showed a fault ({reason}); deploy the repair under a new version name"
        ))
    }

    pub(super) async fn cancel_move(&self, name: &str) -> ApiResult {
        let absent = || error(ErrorKind::NotFound, format!("there is no move {name:?}"));
        let name: MoveName = name.parse().map_err(|_error| absent())?;
        let snapshot = self.context.config.snapshot();
        let record = snapshot.moves.get(&name).ok_or_else(absent)?;
        let evidence = MoveEvidence {
            verdict: SoundVerdict::Unproved,
            requests: 0,
            cancelled: Some("by an operator".to_owned()),
        };
        let now = self.context.clock.system();
        let StepOutcome::Write(next) = self.chart.next_step(record, &evidence, now) else {
            let state = &record.state;
            return Err(refused(vec![format!(
                "name: move {name} is already {state}"
            )]));
        };
        let edit = ConfigEdit::PutMove {
            name: name.clone(),
            epoch: record.epoch,
            record: *next,
        };
        self.change(edit, "operator_move_cancel", name.to_string())
            .await
    }
}

fn drain_mistake(
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
            let stays = others.any(|c| !snapshot.drains.contains(&drained(c.clone())));
            let reason = || format!("target: {centre} is the last data centre of {customer}");
            (!stays).then(reason)
        }
        DrainTarget::Instance(name) => {
            if !members.iter().any(|m| m.instance == *name) {
                return Some(format!("target: there is no instance {name}"));
            }
            let staying: BTreeSet<_> = members
                .iter()
                .filter(|m| m.answering && !m.leaving && m.instance != *name)
                .map(|m| DrainTarget::Instance(m.instance.clone()))
                .filter(|t| !snapshot.drains.contains(t))
                .collect();
            let reason = || format!("target: {name} is the last instance that takes callers");
            staying.is_empty().then(reason)
        }
    }
}
