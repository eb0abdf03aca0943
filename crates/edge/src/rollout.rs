//! Rollouts in progress: chooses the version of each request, evaluates the
//! evidence and records the results.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use serde_json::json;
use tarragonpulley_policy::entry::canary::{CanaryRollout, RolloutEvidence, RolloutPhase};
use tarragonpulley_policy::entry::config::{RolloutOrder, RolloutRecord, RolloutState};
use tarragonpulley_policy::entry::names::{ServiceName, VersionName};
use tarragonpulley_policy::entry::placement::text_hash;

use crate::instance::Instance;
use crate::servers::Server;
use crate::table::TableKind;

/// Time between two evaluations of the evidence.
const EVALUATION_INTERVAL: Duration = Duration::from_millis(200);

/// Delay after which any instance records a result that the fleet's writer has
/// not recorded.
const STANDBY_WRITER_DELAY: Duration = Duration::from_millis(1500);

/// Delay before a failed write of a record is retried.
const RECORD_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Identifies a rollout among the instances: the order, by the version of its row.
pub(crate) fn rollout_id(key: &str, to: &VersionName, version: Option<u64>) -> u64 {
    text_hash(&format!("{key} {to} {}", version.unwrap_or(0)))
}

#[derive(Debug)]
struct ActiveRollout {
    id: u64,
    /// The id before the row was written again after a restore. Others may still report
    /// their evidence under it.
    previous_id: Option<u64>,
    order: RolloutOrder,
    canary: CanaryRollout,
    phase: RolloutPhase,
    unrecorded_since: Option<Instant>,
    last_written: Option<Instant>,
}

/// The rollouts in progress and the established version of each service.
#[derive(Debug, Default)]
pub(crate) struct RolloutTracker {
    active: BTreeMap<ServiceName, ActiveRollout>,
    services_by_key: BTreeMap<String, ServiceName>,
    established: BTreeMap<ServiceName, VersionName>,
}

impl RolloutTracker {
    /// Starts a rollout. An order that is already known has no effect.
    pub(crate) fn apply_order(&mut self, key: &str, id: u64, order: RolloutOrder, now: Instant) {
        self.services_by_key
            .insert(key.to_owned(), order.service.clone());
        if self
            .active
            .get(&order.service)
            .is_some_and(|active| active.id == id)
        {
            return;
        }
        let canary = CanaryRollout::new(now, order.timeout);
        let rollout = ActiveRollout {
            id,
            previous_id: None,
            canary,
            phase: RolloutPhase::Trial,
            unrecorded_since: None,
            last_written: None,
            order: order.clone(),
        };
        self.active.insert(order.service, rollout);
    }

    /// Changes the id of a rollout whose order got another version without a change.
    fn update_id(&mut self, key: &str, version: u64) {
        let Some(service) = self.services_by_key.get(key) else {
            return;
        };
        if let Some(active) = self.active.get_mut(service) {
            let id = rollout_id(key, &active.order.to, Some(version));
            if id != active.id {
                active.previous_id = Some(std::mem::replace(&mut active.id, id));
            }
        }
    }

    /// Ends the rollout of an order that the operator removed.
    pub(crate) fn remove_order(&mut self, key: &str) {
        if let Some(service) = self.services_by_key.remove(key) {
            self.active.remove(&service);
        }
    }

    /// Whether a rollout is in progress, so that the records must be read.
    pub(crate) fn is_active(&self) -> bool {
        !self.active.is_empty()
    }

    /// The evidence of this instance, for the digest.
    pub(crate) fn evidence(&self) -> Vec<(u64, RolloutEvidence)> {
        self.active
            .values()
            .map(|active| (active.id, active.canary.evidence()))
            .collect()
    }
}

/// The version to which a request may be sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct VersionChoice {
    /// `None` if no version of the service has a server.
    pub(crate) version: Option<VersionName>,
    /// Whether it is the new version of a rollout in progress.
    pub(crate) is_new: bool,
    /// Whether a rollout is in progress, so that the outcome counts as
    /// evidence.
    pub(crate) in_rollout: bool,
}

impl Instance {
    /// Follows the versions of orders that were written again after a restore, so that
    /// all instances, also those that start later, identify them alike.
    pub(crate) fn update_rollout_ids(&self) {
        let mirrors = self.mirrors.borrow();
        let Some(orders) = mirrors.get(&TableKind::Orders) else {
            return;
        };
        if orders.restored_at().is_none() {
            return;
        }
        let mut tracker = self.rollouts.borrow_mut();
        for (key, _) in orders.rows() {
            if let Some(version) = orders.version(key) {
                tracker.update_id(key, version);
            }
        }
    }

    /// Re-evaluates which version of each service is the established one.
    pub(crate) fn update_established_versions(&self, now: Instant) {
        let servers = self.servers.borrow();
        let records = self.rollout_records.borrow();
        let mut tracker = self.rollouts.borrow_mut();
        let services: Vec<ServiceName> = servers
            .services()
            .map(|(service, _)| service.clone())
            .collect();
        for service in services {
            let versions = servers.versions(&service, now);
            let record = records.get(&service);
            let version = select_established(
                &versions,
                record,
                tracker.active.get(&service).map(|active| &active.order.to),
                tracker.established.get(&service),
            );
            if let Some(version) = version
                && tracker.established.get(&service) != Some(&version)
            {
                self.log.event(
                    "version_established",
                    json!({"service": service.as_str(), "version": version.as_str()}),
                );
                tracker.established.insert(service, version);
            }
        }
    }

    /// Chooses the version for the first attempt of a request.
    pub(crate) fn choose_version(&self, service: &ServiceName, now: Instant) -> VersionChoice {
        let sharer_count = self.peers.borrow().sharer_count(now);
        let servers = self.servers.borrow();
        let mut tracker = self.rollouts.borrow_mut();
        let current = tracker.established.get(service).cloned();
        let record = self.rollout_records.borrow().get(service).cloned();
        if let Some(active) = tracker.active.get_mut(service)
            && !is_decided(record.as_ref(), &active.order.to)
            && current.as_ref() != Some(&active.order.to)
        {
            let to = active.order.to.clone();
            let is_warm_new = |server: &&Rc<Server>| {
                server.entry.borrow().version == to
                    && server.is_available(now)
                    && !server.is_cold(now)
            };
            let has_new = servers
                .of_service(service)
                .iter()
                .any(|server| is_warm_new(&server));
            let routes_to_new = has_new && active.canary.route_to_new(sharer_count, now);
            let version = if routes_to_new { Some(to) } else { current };
            return VersionChoice {
                version,
                is_new: routes_to_new,
                in_rollout: true,
            };
        }
        VersionChoice {
            version: current,
            is_new: false,
            in_rollout: false,
        }
    }

    /// The version that gets the requests of a service outside of rollouts.
    pub(crate) fn established_version(&self, service: &ServiceName) -> Option<VersionName> {
        self.rollouts.borrow().established.get(service).cloned()
    }

    /// Records an outcome as evidence and re-evaluates the rollouts.
    pub(crate) fn record_rollout_outcome(&self, service: &ServiceName, new: bool, failed: bool) {
        let now = self.now();
        if let Some(active) = self.rollouts.borrow_mut().active.get_mut(service) {
            active.canary.record(new, failed);
        }
        self.evaluate_rollouts(now);
    }

    fn evaluate_rollouts(&self, now: Instant) {
        let peers = self.peers.borrow();
        let mut tracker = self.rollouts.borrow_mut();
        for (service, active) in &mut tracker.active {
            let others = peers.other_evidence(active.id);
            let previous = active.previous_id.map(|id| peers.other_evidence(id));
            let others = others.plus(previous.unwrap_or_default());
            let phase = active.canary.evaluate(others, now);
            if phase != active.phase {
                active.phase = phase;
                let evidence = active.canary.evidence().plus(others);
                self.log.event(
                    "rollout_phase",
                    json!({"service": service.as_str(), "to": active.order.to.as_str(),
                        "phase": format!("{phase:?}"),
                        "new": [evidence.new.answers, evidence.new.failures],
                        "old": [evidence.old.answers, evidence.old.failures]}),
                );
                self.digest_requested.notify_one();
            }
        }
    }

    /// Evaluates evidence periodically and writes the results that are due.
    pub(crate) async fn run_rollouts(self: Rc<Self>) {
        loop {
            actix_rt::time::sleep(EVALUATION_INTERVAL).await;
            let now = self.now();
            if !self.rollouts.borrow().is_active() {
                continue;
            }
            self.evaluate_rollouts(now);
            for (service, record) in self.due_records(now) {
                self.write_record(&service, &record).await;
            }
        }
    }

    fn due_records(&self, now: Instant) -> Vec<(ServiceName, RolloutRecord)> {
        let is_writer = self.peers.borrow().is_fleet_writer(now) && !self.leaving.get();
        let mirrors = self.mirrors.borrow();
        let mirror = mirrors.get(&TableKind::Records);
        // A version of an earlier era may have been given to another state of a record.
        if mirror.is_some_and(|mirror| mirror.era() < self.table_era.get()) {
            return Vec::new();
        }
        let records = self.rollout_records.borrow();
        let mut tracker = self.rollouts.borrow_mut();
        let mut due = Vec::new();
        for (service, active) in &mut tracker.active {
            let decided = records.get(service).filter(|record| {
                record.to == active.order.to && record.state != RolloutState::Running
            });
            let state = match active.phase {
                _ if decided.is_some() => {
                    decided.map_or(RolloutState::Running, |record| record.state)
                }
                RolloutPhase::TakenBack => RolloutState::TakenBack,
                RolloutPhase::Promoted if active.canary.may_complete(now) => {
                    RolloutState::Completed
                }
                RolloutPhase::Trial | RolloutPhase::Promoted => RolloutState::Running,
            };
            let record = RolloutRecord {
                state,
                to: active.order.to.clone(),
            };
            let (key, _) = self.adapter.encode_record(service, &record);
            let is_lost = mirror.is_some_and(|mirror| mirror.is_held(&key));
            if records.get(service) == Some(&record) && !is_lost {
                active.unrecorded_since = None;
                continue;
            }
            let since = *active.unrecorded_since.get_or_insert(now);
            let is_overdue = now.saturating_duration_since(since) >= STANDBY_WRITER_DELAY;
            let may_write = active
                .last_written
                .is_none_or(|at| now.saturating_duration_since(at) >= RECORD_RETRY_DELAY);
            if (is_writer || is_overdue) && may_write {
                active.last_written = Some(now);
                due.push((service.clone(), record));
            }
        }
        due
    }

    async fn write_record(&self, service: &ServiceName, record: &RolloutRecord) {
        let (key, value) = self.adapter.encode_record(service, record);
        let known = self
            .mirrors
            .borrow()
            .get(&TableKind::Records)
            .and_then(|mirror| mirror.version(&key));
        let written = self
            .table
            .write(TableKind::Records, &key, value, Some(known.unwrap_or(0)))
            .await;
        self.log.event(
            "rollout_record_written",
            json!({"service": service.as_str(), "to": record.to.as_str(),
                "state": format!("{:?}", record.state),
                "result": written.as_ref().err().map_or("ok".to_owned(), ToString::to_string)}),
        );
        // After a conflict, or without a response, the next read of the records
        // returns the current one.
        if written.is_ok() {
            if let Some(mirror) = self.mirrors.borrow_mut().get_mut(&TableKind::Records) {
                mirror.release(&key);
            }
            self.rollout_records
                .borrow_mut()
                .insert(service.clone(), record.clone());
            self.update_established_versions(self.now());
        }
    }
}

fn is_decided(record: Option<&RolloutRecord>, to: &VersionName) -> bool {
    record.is_some_and(|record| &record.to == to && record.state != RolloutState::Running)
}

/// The version that gets the requests of a service which are not part of a
/// canary.
fn select_established(
    versions: &BTreeMap<VersionName, usize>,
    record: Option<&RolloutRecord>,
    ordered: Option<&VersionName>,
    current: Option<&VersionName>,
) -> Option<VersionName> {
    if let Some(record) = record
        && record.state == RolloutState::Completed
        && versions.contains_key(&record.to)
        && ordered.is_none_or(|ordered| ordered == &record.to)
    {
        return Some(record.to.clone());
    }
    let undecided = |version: &VersionName| {
        let recorded = record
            .is_some_and(|record| record.state != RolloutState::Completed && &record.to == version);
        let pending = ordered == Some(version) && !is_decided(record, version);
        recorded || pending
    };
    if let Some(current) = current
        && versions.contains_key(current)
        && !undecided(current)
    {
        return Some(current.clone());
    }
    versions
        .iter()
        .filter(|(version, _)| !undecided(version))
        .max_by(|a, b| a.1.cmp(b.1).then_with(|| b.0.cmp(a.0)))
        .map(|(version, _)| version.clone())
}
