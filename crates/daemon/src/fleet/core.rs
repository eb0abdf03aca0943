//! The shared state behind the trait implementations of [`super::FleetState`].

use std::cell::{Cell, Ref, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::{Rc, Weak};
use std::time::{Duration, Instant};

use tarragonpulley_backing::{InstanceList, TableService};
use tarragonpulley_policy::clock::TimeSource;
use tarragonpulley_policy::facts::FactStore;
use tarragonpulley_policy::ids::{IncarnationId, InstanceName, LimitKey};
use tarragonpulley_policy::membership::{MemberPlace, MemberTable};
use tarragonpulley_policy::units::ConfigRevision;
use tokio::net::TcpListener;
use tokio::sync::{Mutex, watch};

use super::FleetOptions;
use super::config::ConfigState;
use super::events::EventLog;

use super::link::PeerLink;
use super::metrics::FleetMetrics;
use super::peer_record::PeerRecord;
use super::rights_state::RightsState;

/// The state of one instance, shared by its tasks.
#[derive(Debug)]
pub(super) struct FleetCore {
    /// A weak reference to this value, for spawned tasks and guards.
    pub(super) weak_self: Weak<Self>,
    own: RefCell<IncarnationId>,
    pub(super) place: MemberPlace,
    pub(super) clock: Rc<dyn TimeSource>,
    pub(super) table: Rc<dyn TableService>,
    pub(super) list: Rc<dyn InstanceList>,
    pub(super) config: RefCell<ConfigState>,
    pub(super) members: RefCell<MemberTable>,
    pub(super) facts: RefCell<FactStore>,
    pub(super) rights: RefCell<RightsState>,
    pub(super) event_log: EventLog,
    pub(super) metrics: FleetMetrics,
    pub(super) peers: RefCell<BTreeMap<InstanceName, PeerRecord>>,
    pub(super) links: RefCell<BTreeMap<InstanceName, Rc<PeerLink>>>,
    /// The last change of the fact store that must be sent to peers at once.
    pub(super) urgent_facts: Cell<u64>,
    /// Whether transfers of rights must be sent to their receivers at once.
    pub(super) urgent_rights: Cell<bool>,
    /// Limits for which a round of asks is in progress.
    pub(super) pending_asks: RefCell<BTreeSet<LimitKey>>,
    /// The number of transfers of rights received.
    pub(super) transfers_received: Cell<u64>,
    /// The revision that must be sent to peers at once.
    pub(super) urgent_revision: Cell<ConfigRevision>,
    /// The revision that a change waits for peers to apply; zero when there is none.
    pub(super) propagating: Cell<ConfigRevision>,
    /// Held by the change in progress, so that changes through one instance do not
    /// conflict with each other.
    pub(super) change_lock: Mutex<()>,
    /// Incremented to have heartbeats sent at once.
    heartbeat_wake: watch::Sender<u64>,
    /// Incremented when a condition that a task waits for may have changed.
    progress: watch::Sender<u64>,
    /// Incremented to have the table read at once.
    table_wake: watch::Sender<u64>,
}

impl FleetCore {
    pub(super) fn new(options: FleetOptions, metrics: FleetMetrics) -> (Rc<Self>, TcpListener) {
        let core = Rc::new_cyclic(|weak_self| Self {
            weak_self: Weak::clone(weak_self),
            place: MemberPlace {
                centre: options.centre,
                service_address: options.service_address,
                peer_address: options.peer_address,
            },
            clock: options.clock,
            table: options.table,
            list: options.list,
            config: RefCell::default(),
            members: RefCell::new(MemberTable::new(options.own.instance.clone())),
            facts: RefCell::default(),
            rights: RefCell::new(RightsState::new(options.own.clone())),
            event_log: EventLog::new(options.own.clone()),
            own: RefCell::new(options.own),
            metrics,
            peers: RefCell::default(),
            links: RefCell::default(),
            urgent_facts: Cell::default(),
            urgent_revision: Cell::default(),
            urgent_rights: Cell::default(),
            pending_asks: RefCell::default(),
            transfers_received: Cell::default(),
            propagating: Cell::default(),
            change_lock: Mutex::default(),
            heartbeat_wake: watch::Sender::new(0),
            progress: watch::Sender::new(0),
            table_wake: watch::Sender::new(0),
        });
        (core, options.listener)
    }

    /// The current incarnation.
    pub(super) fn own(&self) -> Ref<'_, IncarnationId> {
        self.own.borrow()
    }

    pub(super) fn set_own(&self, own: IncarnationId) {
        *self.own.borrow_mut() = own;
    }

    pub(super) fn now(&self) -> Instant {
        self.clock.instant()
    }

    /// The age of the proof, if there is a valid one.
    pub(super) fn proof_age(&self) -> Option<Duration> {
        self.config.borrow().freshness.proof_age(self.now())
    }

    /// Wakes the tasks that wait for a condition of this state.
    pub(super) fn notify_waiters(&self) {
        self.progress.send_modify(|count| *count += 1);
    }

    /// Makes the table reader read at once.
    pub(super) fn wake_table_reader(&self) {
        self.table_wake.send_modify(|count| *count += 1);
    }

    pub(super) fn table_wakes(&self) -> watch::Receiver<u64> {
        self.table_wake.subscribe()
    }

    /// Sends heartbeats at once to peers that lack urgent updates.
    pub(super) fn wake_heartbeats(&self) {
        self.heartbeat_wake.send_modify(|count| *count += 1);
    }

    pub(super) fn heartbeat_wakes(&self) -> watch::Receiver<u64> {
        self.heartbeat_wake.subscribe()
    }

    /// The link to an instance.
    pub(super) fn link(&self, instance: &InstanceName) -> Option<Rc<PeerLink>> {
        self.links.borrow().get(instance).cloned()
    }

    /// All links, in name order.
    pub(super) fn all_links(&self) -> Vec<Rc<PeerLink>> {
        self.links.borrow().values().cloned().collect()
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

    /// Resolves once `condition` holds or `timeout` has passed; returns whether
    /// it holds.
    pub(super) async fn wait_with_timeout(
        &self,
        timeout: Duration,
        condition: impl Fn(&Self) -> bool,
    ) -> bool {
        let waiting = self.wait_for(&condition);
        let _timeout = tokio::time::timeout(timeout, waiting).await;
        condition(self)
    }
}
