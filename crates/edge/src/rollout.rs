//! Rollouts in progress: which versions get requests, and what is recorded.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use serde_json::json;
use tarragonpulley_policy::entry::canary::{CanaryRollout, RolloutEvidence, RolloutPhase};
use tarragonpulley_policy::entry::config::{RolloutOrder, RolloutRecord, RolloutState};
use tarragonpulley_policy::entry::names::{ServiceName, VersionName};

use crate::instance::Instance;
use crate::servers::Server;
use crate::table::TableKind;

/// Time between two evaluations of the evidence.
const STEP_INTERVAL: Duration = Duration::from_millis(200);

/// Delay after which an instance that is not the first records a result that
/// the first one has not recorded.
const DEPUTY_DELAY: Duration = Duration::from_millis(1500);

/// Pause before a record is written again after a failure.
const RECORD_RETRY: Duration = Duration::from_millis(500);

#[derive(Debug)]
struct ActiveRollout {
    id: u64,
    order: RolloutOrder,
    trial: CanaryRollout,
    phase: RolloutPhase,
    due_since: Option<Instant>,
    written_at: Option<Instant>,
}

/// All rollouts that this instance follows.
#[derive(Debug, Default)]
pub(crate) struct RolloutBook {
    active: BTreeMap<ServiceName, ActiveRollout>,
    keys: BTreeMap<String, ServiceName>,
    current: BTreeMap<ServiceName, VersionName>,
}

impl RolloutBook {
    /// Takes an order; a repeated one changes nothing.
    pub(crate) fn order(&mut self, key: &str, id: u64, order: RolloutOrder, now: Instant) {
        self.keys.insert(key.to_owned(), order.service.clone());
        if self
            .active
            .get(&order.service)
            .is_some_and(|active| active.id == id)
        {
            return;
        }
        let trial = CanaryRollout::new(now, order.timeout);
        let rollout = ActiveRollout {
            id,
            trial,
            phase: RolloutPhase::Trial,
            due_since: None,
            written_at: None,
            order: order.clone(),
        };
        self.active.insert(order.service, rollout);
    }

    /// The operator removed an order.
    pub(crate) fn withdraw(&mut self, key: &str) {
        if let Some(service) = self.keys.remove(key) {
            self.active.remove(&service);
        }
    }

    /// Whether records of rollouts are to be read.
    pub(crate) fn is_active(&self) -> bool {
        !self.active.is_empty()
    }

    /// The evidence for the digest.
    pub(crate) fn evidence(&self) -> Vec<(u64, RolloutEvidence)> {
        self.active
            .values()
            .map(|active| (active.id, active.trial.evidence()))
            .collect()
    }
}

/// The versions among which a request is placed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct VersionChoice {
    /// The version; `None` if the service has no server.
    pub(crate) version: Option<VersionName>,
    /// Whether it is the version of a rollout in progress.
    pub(crate) is_new: bool,
    /// Whether a rollout is in progress, so that outcomes are evidence.
    pub(crate) is_trial: bool,
}

impl Instance {
    /// Re-evaluates which version of each service is the established one.
    pub(crate) fn follow_rollouts(&self, now: Instant) {
        let servers = self.servers.borrow();
        let records = self.records.borrow();
        let mut book = self.rollouts.borrow_mut();
        let services: Vec<ServiceName> = servers
            .services()
            .map(|(service, _)| service.clone())
            .collect();
        for service in services {
            let versions = servers.versions(&service, now);
            let record = records.get(&service);
            let version = established(
                &versions,
                record,
                book.active.get(&service).map(|active| &active.order.to),
                book.current.get(&service),
            );
            if let Some(version) = version
                && book.current.get(&service) != Some(&version)
            {
                self.log.event(
                    "version_established",
                    json!({"service": service.as_str(), "version": version.as_str()}),
                );
                book.current.insert(service, version);
            }
        }
    }

    /// Chooses the version for the next request of a service.
    pub(crate) fn choose_version(&self, service: &ServiceName, now: Instant) -> VersionChoice {
        let sharing = self.peers.borrow().sharer_count(now);
        let servers = self.servers.borrow();
        let mut book = self.rollouts.borrow_mut();
        let current = book.current.get(service).cloned();
        let record = self.records.borrow().get(service).cloned();
        if let Some(active) = book.active.get_mut(service)
            && !is_decided(record.as_ref(), &active.order.to)
            && current.as_ref() != Some(&active.order.to)
        {
            let to = active.order.to.clone();
            let warm = |server: &&Rc<Server>| {
                server.entry.borrow().version == to && server.is_open(now) && !server.is_cold(now)
            };
            let has_new = servers
                .of_service(service)
                .iter()
                .any(|server| warm(&server));
            let new = has_new && active.trial.route_to_new(sharing);
            let version = if new { Some(to) } else { current };
            return VersionChoice {
                version,
                is_new: new,
                is_trial: true,
            };
        }
        VersionChoice {
            version: current,
            is_new: false,
            is_trial: false,
        }
    }

    /// The version that gets the requests of a service outside of rollouts.
    pub(crate) fn established_version(&self, service: &ServiceName) -> Option<VersionName> {
        self.rollouts.borrow().current.get(service).cloned()
    }

    /// Counts an outcome as evidence on a rollout.
    pub(crate) fn note_trial(&self, service: &ServiceName, new: bool, failed: bool) {
        let now = self.now();
        if let Some(active) = self.rollouts.borrow_mut().active.get_mut(service) {
            active.trial.record(new, failed);
        }
        self.step_rollouts(now);
    }

    fn step_rollouts(&self, now: Instant) {
        let peers = self.peers.borrow();
        let mut book = self.rollouts.borrow_mut();
        for (service, active) in &mut book.active {
            let others = peers.other_evidence(active.id);
            let phase = active.trial.evaluate(others, now);
            if phase != active.phase {
                active.phase = phase;
                let evidence = active.trial.evidence().plus(others);
                self.log.event(
                    "rollout_phase",
                    json!({"service": service.as_str(), "to": active.order.to.as_str(),
                        "phase": format!("{phase:?}"),
                        "new": [evidence.new.answers, evidence.new.failures],
                        "old": [evidence.old.answers, evidence.old.failures]}),
                );
                self.urgent.notify_one();
            }
        }
    }

    /// Drives rollouts: evaluates evidence and records results.
    pub(crate) async fn run_rollouts(self: Rc<Self>) {
        loop {
            actix_rt::time::sleep(STEP_INTERVAL).await;
            let now = self.now();
            if !self.rollouts.borrow().is_active() {
                continue;
            }
            self.step_rollouts(now);
            for (service, record) in self.due_records(now) {
                self.write_record(&service, &record).await;
            }
        }
    }

    fn due_records(&self, now: Instant) -> Vec<(ServiceName, RolloutRecord)> {
        let first = self.peers.borrow().is_fleet_writer(now) && !self.leaving.get();
        let records = self.records.borrow();
        let mut book = self.rollouts.borrow_mut();
        let mut due = Vec::new();
        for (service, active) in &mut book.active {
            let state = match active.phase {
                RolloutPhase::TakenBack => RolloutState::TakenBack,
                RolloutPhase::Promoted if active.trial.may_complete(now) => RolloutState::Completed,
                RolloutPhase::Trial | RolloutPhase::Promoted => RolloutState::Running,
            };
            let recorded = records
                .get(service)
                .filter(|record| record.to == active.order.to);
            let is_recorded = recorded.is_some_and(|record| {
                record.state == state || record.state != RolloutState::Running
            });
            if is_recorded {
                active.due_since = None;
                continue;
            }
            let since = *active.due_since.get_or_insert(now);
            let waited = now.saturating_duration_since(since) >= DEPUTY_DELAY;
            let retry = active
                .written_at
                .is_none_or(|at| now.saturating_duration_since(at) >= RECORD_RETRY);
            if (first || waited) && retry {
                active.written_at = Some(now);
                due.push((
                    service.clone(),
                    RolloutRecord {
                        state,
                        to: active.order.to.clone(),
                    },
                ));
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
            .and_then(|m| m.version(&key));
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
        // After a conflict or without an answer the next read of the records tells
        // what stands.
        if written.is_ok() {
            self.records
                .borrow_mut()
                .insert(service.clone(), record.clone());
            self.follow_rollouts(self.now());
        }
    }
}

fn is_decided(record: Option<&RolloutRecord>, to: &VersionName) -> bool {
    record.is_some_and(|record| &record.to == to && record.state != RolloutState::Running)
}

/// The version that gets the requests of a service when no trial says otherwise.
fn established(
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
