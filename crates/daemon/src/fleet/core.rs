//! The shared state behind all borders of a [`super::FleetState`].

use std::cell::{Ref, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use tarragonpulley_platform::{InstanceList, TableService};
use tarragonpulley_policy::clock::TimeSource;
use tarragonpulley_policy::facts::FactStore;
use tarragonpulley_policy::ids::IncarnationId;
use tarragonpulley_policy::membership::{MemberPlace, MemberTable};
use tokio::sync::watch;

use super::FleetOptions;
use super::config::ConfigState;
use super::events::EventLog;

/// The state of one instance.
#[derive(Debug)]
pub(super) struct FleetCore {
    own: RefCell<IncarnationId>,
    pub(super) place: MemberPlace,
    pub(super) clock: Rc<dyn TimeSource>,
    pub(super) table: Rc<dyn TableService>,
    pub(super) list: Rc<dyn InstanceList>,
    pub(super) config: RefCell<ConfigState>,
    pub(super) members: RefCell<MemberTable>,
    pub(super) facts: RefCell<FactStore>,
    pub(super) log: EventLog,
    /// Counts events that a waiting task may want to see.
    progress: watch::Sender<u64>,
    /// Counts reasons to read the table at once.
    table_wake: watch::Sender<u64>,
}

impl FleetCore {
    pub(super) fn new(options: FleetOptions) -> Self {
        Self {
            place: MemberPlace {
                centre: options.centre,
                service_address: options.service_address,
                peer_address: options.service_address,
            },
            clock: options.clock,
            table: options.table,
            list: options.list,
            config: RefCell::default(),
            members: RefCell::new(MemberTable::new(options.own.instance.clone())),
            facts: RefCell::default(),
            log: EventLog::new(options.own.clone()),
            own: RefCell::new(options.own),
            progress: watch::Sender::new(0),
            table_wake: watch::Sender::new(0),
        }
    }

    /// The present incarnation.
    pub(super) fn own(&self) -> Ref<'_, IncarnationId> {
        self.own.borrow()
    }

    pub(super) fn now(&self) -> Instant {
        self.clock.instant()
    }

    /// The age of the proof, when there is a valid one.
    pub(super) fn proof_age(&self) -> Option<Duration> {
        self.config.borrow().freshness.proof(self.now())
    }

    /// Wakes the tasks that wait for a condition.
    pub(super) fn progressed(&self) {
        self.progress.send_modify(|count| *count += 1);
    }

    /// Has the table read at once.
    pub(super) fn wake_table_reader(&self) {
        self.table_wake.send_modify(|count| *count += 1);
    }

    pub(super) fn table_wakes(&self) -> watch::Receiver<u64> {
        self.table_wake.subscribe()
    }

    /// Resolves once `condition` holds.
    pub(super) async fn wait_for(&self, condition: impl Fn(&Self) -> bool) {
        let mut progress = self.progress.subscribe();
        while !condition(self) {
            if progress.changed().await.is_err() {
                return;
            }
        }
    }

    /// Resolves once `condition` holds or `limit` has passed; returns whether
    /// it holds.
    pub(super) async fn wait_at_most(
        &self,
        limit: Duration,
        condition: impl Fn(&Self) -> bool,
    ) -> bool {
        let waiting = self.wait_for(&condition);
        let _timeout = tokio::time::timeout(limit, waiting).await;
        condition(self)
    }
}
