//! Fakes of the interfaces that an instance depends on.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeSet, VecDeque};
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::FutureExt;
use futures_util::future::{LocalBoxFuture, ready};
use tarragonpulley_backing::{
    CommitOutcome, ObjectKey, ObjectStore, PlatformError, RowKey, TableService, TableSnapshot,
    TableTransaction,
};
use tarragonpulley_policy::clock::ManualClock;
use tarragonpulley_policy::contract::CustomerContract;
use tarragonpulley_policy::facts::{FactKey, FactStore, FactValue};
use tarragonpulley_policy::ids::{LimitKey, ServiceKey};
use tarragonpulley_policy::snapshot::{ConfigSnapshot, KeyDigest, KeyGrant};
use tarragonpulley_policy::timeline::{EventRecord, HybridTimestamp};
use tarragonpulley_policy::units::ConfigRevision;

use crate::interfaces::{
    AdmitOutcome, AttemptReport, ChangeOutcome, ConfigEdit, ConfigSource, EventSink, EvidenceSink,
    GossipFacts, InstanceContext, MemberSource, MemberView, ProofState, RightsSource, SlotGuard,
};

/// Applies edits to a snapshot, or returns the outcomes in `script` first.
#[derive(Debug, Default)]
pub(crate) struct FakeConfig {
    pub(crate) snapshot: RefCell<ConfigSnapshot>,
    /// Outcomes of the next edits, which then aren't applied.
    pub(crate) script: RefCell<VecDeque<ChangeOutcome>>,
    /// All edits received, in order.
    pub(crate) edits: RefCell<Vec<ConfigEdit>>,
    /// Whether the proof is missing.
    pub(crate) unproved: Cell<bool>,
    /// Keys reported as withdrawn, independent of the snapshot.
    pub(crate) withdrawn: RefCell<BTreeSet<KeyDigest>>,
}

impl FakeConfig {
    fn commit(&self, edit: ConfigEdit) -> ChangeOutcome {
        let mut snapshot = self.snapshot.borrow_mut();
        match edit {
            ConfigEdit::PutContracts { files, .. } => {
                for (file, text) in files {
                    let contract = CustomerContract::parse(&file, &text).expect("valid");
                    let customer = contract.customer.clone();
                    snapshot.contracts.insert(customer, contract.into());
                }
            }
            ConfigEdit::GrantKey(digest, team) => {
                let withdrawn = false;
                snapshot.keys.insert(digest, KeyGrant { team, withdrawn });
            }
            ConfigEdit::WithdrawKey(digest) => {
                if let Some(grant) = snapshot.keys.get_mut(&digest) {
                    grant.withdrawn = true;
                }
            }
            ConfigEdit::PutMove {
                name,
                epoch,
                record,
            } => {
                if snapshot.moves.get(&name).map_or(0, |m| m.epoch) != epoch {
                    return ChangeOutcome::Conflict(snapshot.revision);
                }
                snapshot.moves.insert(name, record);
            }
            ConfigEdit::StartDrain(target) => {
                snapshot.drains.insert(target);
            }
            ConfigEdit::EndDrain(target) => {
                snapshot.drains.remove(&target);
            }
        }
        snapshot.revision = snapshot.revision.next();
        ChangeOutcome::Accepted(snapshot.revision)
    }
}

impl ConfigSource for FakeConfig {
    fn snapshot(&self) -> Rc<ConfigSnapshot> {
        Rc::new(self.snapshot.borrow().clone())
    }

    fn proof(&self) -> ProofState {
        if self.unproved.get() {
            ProofState::Missing
        } else {
            ProofState::Proved(Duration::from_millis(40))
        }
    }

    fn is_withdrawn(&self, digest: &KeyDigest) -> bool {
        self.withdrawn.borrow().contains(digest)
    }

    fn change(&self, edit: ConfigEdit) -> LocalBoxFuture<'_, ChangeOutcome> {
        self.edits.borrow_mut().push(edit.clone());
        let scripted = self.script.borrow_mut().pop_front();
        let outcome = scripted.unwrap_or_else(|| self.commit(edit));
        ready(outcome).boxed_local()
    }
}

/// Facts of this instance only; none are sent to peers.
#[derive(Debug, Default)]
pub(crate) struct FakeFacts(pub(crate) RefCell<FactStore>);

impl GossipFacts for FakeFacts {
    fn publish(&self, key: FactKey, value: FactValue, _urgent: bool) {
        self.0.borrow_mut().merge(key, value);
    }

    fn get(&self, key: &FactKey) -> Option<FactValue> {
        self.0.borrow().get(key).cloned()
    }

    fn select(&self, select: &dyn Fn(&FactKey) -> bool) -> Vec<(FactKey, FactValue)> {
        let facts = self.0.borrow();
        let chosen = facts.iter().filter(|(key, _)| select(key));
        chosen.map(|(k, v)| (k.clone(), v.clone())).collect()
    }
}

/// Records events as kind, subject and detail.
#[derive(Debug, Default)]
pub(crate) struct FakeEvents(pub(crate) RefCell<Vec<(String, String, String)>>);

impl EventSink for FakeEvents {
    fn record(&self, kind: &str, subject: &str, detail: &str) {
        let event = (kind.to_owned(), subject.to_owned(), detail.to_owned());
        self.0.borrow_mut().push(event);
    }

    fn fleet_events(
        &self,
        after: HybridTimestamp,
        max_events: usize,
    ) -> LocalBoxFuture<'_, Vec<EventRecord>> {
        let event = EventRecord {
            stamp: after,
            origin: "edge-1#1".parse().expect("valid"),
            kind: "seen".to_owned(),
            subject: max_events.to_string(),
            detail: String::new(),
        };
        ready(vec![event]).boxed_local()
    }
}

/// A fixed member list, and stubs of the interfaces that these tests don't use.
#[derive(Debug, Default)]
pub(crate) struct StubSources(pub(crate) Vec<MemberView>);

impl MemberSource for StubSources {
    fn members(&self) -> Vec<MemberView> {
        self.0.clone()
    }
}

impl EvidenceSink for StubSources {
    fn record_attempt(&self, _attempt: &AttemptReport) {}

    fn is_shift_harmful(&self, _service: &ServiceKey) -> bool {
        false
    }
}

impl RightsSource for StubSources {
    fn admit(&self, _limit: LimitKey, _deadline: Instant) -> LocalBoxFuture<'_, AdmitOutcome> {
        ready(AdmitOutcome::NotReady).boxed_local()
    }

    fn take_slots(&self, _limits: &[LimitKey]) -> Option<Box<dyn SlotGuard>> {
        None
    }

    fn request_slots(&self, _: Vec<LimitKey>, _: Instant) -> LocalBoxFuture<'_, ()> {
        ready(()).boxed_local()
    }
}

fn unreachable_platform() -> PlatformError {
    PlatformError::NotExecuted("fake".to_owned())
}

impl TableService for StubSources {
    fn read(&self, _prefix: RowKey) -> LocalBoxFuture<'_, Result<TableSnapshot, PlatformError>> {
        ready(Err(unreachable_platform())).boxed_local()
    }

    fn commit(&self, _transaction: TableTransaction) -> LocalBoxFuture<'_, CommitOutcome> {
        ready(CommitOutcome::NotApplied(unreachable_platform())).boxed_local()
    }
}

impl ObjectStore for StubSources {
    fn put(&self, _key: ObjectKey, _body: Bytes) -> LocalBoxFuture<'_, Result<(), PlatformError>> {
        ready(Err(unreachable_platform())).boxed_local()
    }

    fn get(&self, _key: ObjectKey) -> LocalBoxFuture<'_, Result<Option<Bytes>, PlatformError>> {
        ready(Err(unreachable_platform())).boxed_local()
    }

    fn delete(&self, _key: ObjectKey) -> LocalBoxFuture<'_, Result<(), PlatformError>> {
        ready(Err(unreachable_platform())).boxed_local()
    }
}

/// An instance context made of fakes.
#[derive(Debug)]
pub(crate) struct FakeInstance {
    pub(crate) context: InstanceContext,
    pub(crate) config: Rc<FakeConfig>,
    pub(crate) facts: Rc<FakeFacts>,
    pub(crate) events: Rc<FakeEvents>,
    pub(crate) clock: Rc<ManualClock>,
}

pub(crate) fn member(name: &str, centre: &str) -> MemberView {
    MemberView {
        incarnation: Some(format!("{name}#1").parse().expect("valid")),
        instance: name.parse().expect("valid"),
        centre: centre.parse().expect("valid"),
        service_address: ([127, 0, 0, 1], 7000).into(),
        reachable: true,
        leaving: false,
        revision: ConfigRevision::new(0),
    }
}

impl FakeInstance {
    pub(crate) fn new() -> Self {
        let config = Rc::new(FakeConfig::default());
        let facts = Rc::new(FakeFacts::default());
        let events = Rc::new(FakeEvents::default());
        let clock = Rc::new(ManualClock::new());
        let members = vec![member("edge-1", "taipei-a"), member("edge-2", "tainan-a")];
        let stubs = Rc::new(StubSources(members));
        let context = InstanceContext {
            incarnation: "edge-1#1".parse().expect("valid"),
            centre: "taipei-a".parse().expect("valid"),
            clock: Rc::<ManualClock>::clone(&clock),
            config: Rc::<FakeConfig>::clone(&config),
            rights: Rc::<StubSources>::clone(&stubs),
            facts: Rc::<FakeFacts>::clone(&facts),
            members: Rc::<StubSources>::clone(&stubs),
            events: Rc::<FakeEvents>::clone(&events),
            evidence: Rc::<StubSources>::clone(&stubs),
            table: Rc::<StubSources>::clone(&stubs),
            objects: stubs,
        };
        Self {
            context,
            config,
            facts,
            events,
            clock,
        }
    }

    /// Adds a contract to the snapshot as a new revision, as an apply does.
    pub(crate) fn put_contract(&self, text: &str) {
        let contract = CustomerContract::parse("test", text).expect("valid");
        let mut snapshot = self.config.snapshot.borrow_mut();
        snapshot
            .contracts
            .insert(contract.customer.clone(), contract.into());
        snapshot.revision = snapshot.revision.next();
    }
}
