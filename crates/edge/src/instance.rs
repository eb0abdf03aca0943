//! The state of one instance, and how rows of the shared tables change it.

use std::cell::{Cell, OnceCell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use tarragonpulley_policy::clock::TimeSource;
use tarragonpulley_policy::entry::budget::{RetryBound, RetryBudget};
use tarragonpulley_policy::entry::cold::ColdBound;
use tarragonpulley_policy::entry::config::{RolloutRecord, TrafficConfig};
use tarragonpulley_policy::entry::crash::CrashTracker;
use tarragonpulley_policy::entry::digest::{InstanceRecord, InstanceState, InstanceTable};
use tarragonpulley_policy::entry::link_load::LinkRate;
use tarragonpulley_policy::entry::names::{
    CentreName, InstanceName, RegionName, ServerId, ServiceName,
};
use tarragonpulley_policy::entry::quota::QuotaBound;
use tarragonpulley_policy::entry::reach::ReachTracker;
use tarragonpulley_policy::entry::split::RouteSplitter;
use tarragonpulley_policy::entry::stopping::StopSchedule;
use tarragonpulley_policy::entry::usage::UsageTerms;
use tokio::net::UdpSocket;
use tokio::sync::mpsc::Sender;

use crate::adapter::{OperatorOrder, PlatformAdapter};
use crate::crashes::CrashSuspect;
use crate::events::EventLog;
use crate::http::account::{ClientAccount, ClientLimits, ClientRefusal};
use crate::http::budget::BufferBudget;
use crate::links::LinkState;
use crate::metrics::InstanceMetrics;
use crate::mirror::{REWRITE_GRACE, TableMirror};
use crate::regions::RegionBalancer;
use crate::rollout::{RolloutTracker, rollout_id};
use crate::row_rules::TableRules;
use crate::servers::{EntryChange, ServerSet};
use crate::table::{TableBatch, TableEra, TableKind, TableService};
use crate::team_limits::TeamLimits;
use crate::usage::UsageReporting;
use crate::warm::WarmServers;

/// Settings of an instance.
#[derive(Debug, Clone)]
pub struct InstanceOptions {
    /// The name, location and addresses of the instance.
    pub record: InstanceRecord,
    /// The region of each data centre.
    pub regions: BTreeMap<CentreName, RegionName>,
    /// The maximum age of the configuration's proof at which keys are accepted.
    pub max_key_proof_age: Duration,
    /// The limit on requests beyond a team's rate.
    pub quota: QuotaBound,
    /// The limit on retries.
    pub retries: RetryBound,
    /// The limit on requests to cold servers.
    pub cold: ColdBound,
    /// The reports of usage, if the settings ask for them.
    pub usage: Option<UsageTerms>,
    /// Time from the termination signal until the process is killed.
    pub shutdown_timeout: Duration,
    /// The memory for responses of backend servers, in bytes. Not changed by a
    /// reload.
    pub response_memory_bytes: usize,
    /// The memory for the bodies of requests, in bytes.
    pub request_memory_bytes: usize,
    /// The rate of the machine's link, if known.
    pub link_rate: Option<LinkRate>,
    /// What clients may hold. Not changed by a reload.
    pub clients: ClientLimits,
}

/// The state of a running instance, shared by its tasks.
pub(crate) struct Instance {
    pub(crate) clock: Rc<dyn TimeSource>,
    /// The clock of proofs; it continues while the machine is suspended.
    pub(crate) proof_clock: Rc<dyn TimeSource>,
    pub(crate) adapter: Rc<dyn PlatformAdapter>,
    pub(crate) table: Rc<dyn TableService>,
    pub(crate) options: RefCell<InstanceOptions>,
    pub(crate) log: EventLog,
    pub(crate) metrics: InstanceMetrics,
    pub(crate) config: RefCell<Option<Rc<TrafficConfig>>>,
    pub(crate) mirrors: RefCell<BTreeMap<TableKind, TableMirror>>,
    pub(crate) servers: RefCell<ServerSet>,
    pub(crate) evacuated_centres: RefCell<BTreeSet<CentreName>>,
    pub(crate) rollout_records: RefCell<BTreeMap<ServiceName, RolloutRecord>>,
    pub(crate) rollouts: RefCell<RolloutTracker>,
    pub(crate) peers: RefCell<InstanceTable>,
    pub(crate) limits: TeamLimits,
    pub(crate) regions: RegionBalancer,
    pub(crate) links: LinkState,
    /// What was learned of objects and of the time that requests take.
    pub(crate) warm: WarmServers,
    pub(crate) retry_budget: RefCell<RetryBudget>,
    pub(crate) crashes: RefCell<CrashTracker>,
    pub(crate) splitters: RefCell<BTreeMap<String, RouteSplitter>>,
    pub(crate) leaving: Cell<bool>,
    /// The times of the shutdown, once it has begun.
    pub(crate) stop_schedule: Cell<Option<StopSchedule>>,
    /// Ends the requests in progress, right before the process ends.
    pub(crate) stop_ended: tokio::sync::Notify,
    pub(crate) table_failed_at: Cell<Option<Instant>>,
    pub(crate) table_recovered_at: Cell<Option<Instant>>,
    /// The latest era of the table service that any table was read in.
    pub(crate) table_era: Cell<Option<TableEra>>,
    /// Wakes the task that keeps this instance registered, after a restore.
    pub(crate) table_restored: tokio::sync::Notify,
    /// Wakes reads of other instances that wait for a change of a table.
    pub(crate) table_changed: tokio::sync::Notify,
    /// The links of this instance to the servers.
    pub(crate) reach: RefCell<ReachTracker>,
    /// Requests a probe of servers at once.
    pub(crate) reach_doubted: tokio::sync::Notify,
    /// Requests a digest with new reports of ended processes.
    pub(crate) restart_reported: tokio::sync::Notify,
    /// Requests a probe of the servers whose process may have ended.
    pub(crate) probe_requested: tokio::sync::Notify,
    /// Whether an entry or a configuration was applied since the watched servers were
    /// last decided.
    pub(crate) has_new_servers: Cell<bool>,
    /// Requests a digest before the next interval.
    pub(crate) digest_requested: tokio::sync::Notify,
    pub(crate) crash_suspects: Sender<CrashSuspect>,
    /// The memory for responses of servers that are received or passed on.
    pub(crate) response_budget: Rc<BufferBudget>,
    /// The memory for bodies of requests that are received or in progress.
    pub(crate) request_budget: Rc<BufferBudget>,
    /// What clients hold.
    pub(crate) clients: Rc<ClientAccount>,
    /// For each reason when refusals were logged last, and how many came since.
    pub(crate) logged_refusals: RefCell<BTreeMap<ClientRefusal, (Option<Instant>, u64)>>,
    /// The sequence number of the last digest.
    pub(crate) digest_sequence: Cell<u64>,
    /// What the last log lines on the fleet said.
    pub(crate) logged_view: RefCell<FleetView>,
    /// The socket for datagrams to other instances, once bound.
    pub(crate) socket: OnceCell<Rc<UdpSocket>>,
    unreadable_rows: RefCell<BTreeMap<(TableKind, String), u64>>,
    /// The usage reports, if the settings ask for them.
    pub(crate) usage: OnceCell<UsageReporting>,
}

/// What this instance believes of the fleet because of others' digests.
#[derive(Debug, Default, PartialEq, Eq)]
pub(crate) struct FleetView {
    /// The other instances that callers are directed to.
    pub(crate) ready: BTreeSet<InstanceName>,
    /// The servers that are not used because of others' reports.
    pub(crate) excluded: BTreeSet<ServerId>,
}

impl Instance {
    pub(crate) fn new(
        clock: Rc<dyn TimeSource>,
        proof_clock: Rc<dyn TimeSource>,
        adapter: Rc<dyn PlatformAdapter>,
        table: Rc<dyn TableService>,
        options: InstanceOptions,
        log: EventLog,
        crash_suspects: Sender<CrashSuspect>,
    ) -> Self {
        let now = clock.instant();
        let mut peers = InstanceTable::new(options.record.clone(), now);
        peers.set_configured_centres(options.regions.len());
        let response_memory = options.response_memory_bytes;
        let request_memory = options.request_memory_bytes;
        let clients = ClientAccount::new(options.clients);
        Self {
            peers: RefCell::new(peers),
            limits: TeamLimits::new(
                options.quota,
                &options.record,
                options.regions.len(),
                proof_clock.instant(),
            ),
            regions: RegionBalancer::default(),
            links: LinkState::new(now),
            warm: WarmServers::default(),
            retry_budget: RefCell::new(RetryBudget::new(options.retries)),
            clock,
            proof_clock,
            adapter,
            table,
            options: RefCell::new(options),
            log,
            metrics: InstanceMetrics::new(),
            config: RefCell::default(),
            mirrors: RefCell::default(),
            servers: RefCell::default(),
            evacuated_centres: RefCell::default(),
            rollout_records: RefCell::default(),
            rollouts: RefCell::default(),
            crashes: RefCell::default(),
            splitters: RefCell::default(),
            leaving: Cell::new(false),
            stop_schedule: Cell::new(None),
            stop_ended: tokio::sync::Notify::new(),
            table_failed_at: Cell::new(None),
            table_recovered_at: Cell::new(None),
            table_era: Cell::new(None),
            table_restored: tokio::sync::Notify::new(),
            table_changed: tokio::sync::Notify::new(),
            reach: RefCell::default(),
            reach_doubted: tokio::sync::Notify::new(),
            restart_reported: tokio::sync::Notify::new(),
            probe_requested: tokio::sync::Notify::new(),
            has_new_servers: Cell::default(),
            digest_requested: tokio::sync::Notify::new(),
            crash_suspects,
            response_budget: BufferBudget::new(response_memory),
            request_budget: BufferBudget::new(request_memory),
            clients,
            logged_refusals: RefCell::default(),
            digest_sequence: Cell::new(0),
            logged_view: RefCell::default(),
            socket: OnceCell::new(),
            unreadable_rows: RefCell::default(),
            usage: OnceCell::new(),
        }
    }

    pub(crate) fn now(&self) -> Instant {
        self.clock.instant()
    }

    /// The current time of the proof clock.
    pub(crate) fn proof_now(&self) -> Instant {
        self.proof_clock.instant()
    }

    /// The time since the configuration was last known to be current.
    pub(crate) fn proof_age(&self) -> Option<Duration> {
        let now = self.proof_now();
        let mirrors = self.mirrors.borrow();
        let proof = mirrors.get(&TableKind::Orders)?.last_proof()?;
        Some(now.saturating_duration_since(proof))
    }

    /// The version up to which the copy of a table includes all changes.
    pub(crate) fn upto(&self, table: TableKind) -> Option<u64> {
        self.mirrors
            .borrow()
            .get(&table)
            .and_then(TableMirror::upto)
    }

    /// The era and the version up to which the copy of a table includes all changes.
    pub(crate) fn position(&self, table: TableKind) -> (Option<TableEra>, Option<u64>) {
        let mirrors = self.mirrors.borrow();
        let mirror = mirrors.get(&table);
        (
            mirror.and_then(TableMirror::era),
            mirror.and_then(TableMirror::upto),
        )
    }

    /// Whether the copy of a table is of this era, as far as both are known.
    pub(crate) fn is_same_era(&self, table: TableKind, era: Option<TableEra>) -> bool {
        let mirrors = self.mirrors.borrow();
        mirrors
            .get(&table)
            .is_none_or(|mirror| mirror.is_same_era(era))
    }

    /// Whether a batch continues or replaces the copy of a table.
    pub(crate) fn accepts(&self, table: TableKind, batch: &TableBatch) -> bool {
        let mirrors = self.mirrors.borrow();
        mirrors
            .get(&table)
            .is_none_or(|mirror| mirror.accepts(batch))
    }

    /// When a restore of the table was first seen.
    pub(crate) fn restored_at(&self, table: TableKind) -> Option<Instant> {
        self.mirrors.borrow().get(&table)?.restored_at()
    }

    /// Whether rows of the table are held at their known state after a restore.
    pub(crate) fn holds_rows(&self, table: TableKind) -> bool {
        let mirrors = self.mirrors.borrow();
        mirrors
            .get(&table)
            .is_some_and(|mirror| mirror.held().next().is_some())
    }

    /// Whether the configuration is recent enough to accept keys, and to reject
    /// unknown keys and routes for good.
    pub(crate) fn has_recent_proof(&self) -> bool {
        let max_age = self.options.borrow().max_key_proof_age;
        self.proof_age().is_some_and(|age| age < max_age)
    }

    /// Whether callers may be sent to this instance.
    pub(crate) fn state(&self) -> InstanceState {
        if self.leaving.get() {
            return InstanceState::Leaving;
        }
        let has_servers = self.upto(TableKind::Servers).is_some();
        if self.config.borrow().is_none() || !has_servers || !self.has_recent_proof() {
            InstanceState::Unready
        } else if self.reach.borrow().is_partitioned() {
            InstanceState::Partitioned
        } else {
            InstanceState::Ready
        }
    }

    /// Applies rows of a table, read by a call that began at `started` by the
    /// proof clock.
    pub(crate) fn apply(&self, table: TableKind, batch: TableBatch, started: Instant) {
        let now = self.now();
        let changed = self.apply_to_mirror(table, batch, started);
        if table == TableKind::Instances {
            self.peers.borrow_mut().record_registrations_read(now);
        }
        if table == TableKind::Orders {
            self.update_rollout_ids();
        }
        if changed.is_empty() {
            return;
        }
        for key in &changed {
            match table {
                TableKind::Orders => self.apply_order(key, now),
                TableKind::Servers => self.apply_server(key, now),
                TableKind::Records => self.apply_record(key),
                TableKind::Instances => self.apply_instance(key),
                // Duties are read when they are due, not followed.
                TableKind::Duties => {}
            }
        }
        if table == TableKind::Servers {
            self.servers.borrow_mut().expire_removed(now);
            self.update_region_shares();
        }
        self.update_established_versions(now);
        self.table_changed.notify_waiters();
    }

    /// Applies a batch to the copy of a table, and logs a restore with the rows that are
    /// held at their known state. Returns the keys of the rows that changed.
    fn apply_to_mirror(
        &self,
        table: TableKind,
        batch: TableBatch,
        started: Instant,
    ) -> Vec<String> {
        const MAX_LOGGED_KEYS: usize = 20;
        let mut mirrors = self.mirrors.borrow_mut();
        let mirror = mirrors.entry(table).or_default();
        let (restored_at, era, upto) = (mirror.restored_at(), mirror.era(), mirror.upto());
        let rules = TableRules::new(&*self.adapter, table);
        let changed = mirror.apply(batch, started, self.proof_now(), &rules);
        if mirror.restored_at() != restored_at {
            let held: Vec<&str> = mirror.held().collect();
            self.log.event(
                "table_restored",
                json!({"table": format!("{table:?}"), "era": mirror.era(), "before": era,
                    "upto": mirror.upto(), "known_upto": upto, "changed": changed.len(),
                    "held": held.len(), "held_keys": &held[..held.len().min(MAX_LOGGED_KEYS)]}),
            );
        }
        if mirror.era() > self.table_era.get() {
            self.table_era.set(mirror.era());
            self.table_restored.notify_one();
        }
        changed
    }

    fn row_value(&self, table: TableKind, key: &str) -> Option<Vec<u8>> {
        self.mirrors
            .borrow()
            .get(&table)?
            .value(key)
            .map(<[u8]>::to_vec)
    }

    /// Counts a row that cannot be decoded, and logs it the first time.
    fn record_unreadable_row(&self, table: TableKind, key: &str, reason: &str) {
        let version = self
            .mirrors
            .borrow()
            .get(&table)
            .and_then(|mirror| mirror.version(key));
        let mut logged_rows = self.unreadable_rows.borrow_mut();
        let first = logged_rows
            .insert((table, key.to_owned()), version.unwrap_or(0))
            .is_none();
        self.metrics.unreadable_rows.inc();
        if first {
            self.log.event(
                "row_ignored",
                json!({"table": format!("{table:?}"), "key": key, "row_version": version, "reason": reason}),
            );
        }
    }

    fn log_entry_change(&self, change: &EntryChange, mut fields: Value) {
        match change {
            EntryChange::Unlogged => {}
            EntryChange::Changed => self.log.event("server_changed", fields),
            EntryChange::Restarted(before) => {
                fields["started_before"] = json!(before.started);
                fields["recent_sends"] = json!(before.recent_sends);
                fields["in_progress"] = json!(before.in_progress);
                self.log.event("server_restarted", fields);
                self.count_doubt("restarted");
            }
        }
    }

    fn apply_order(&self, key: &str, now: Instant) {
        let Some(value) = self.row_value(TableKind::Orders, key) else {
            self.remove_order(key, now);
            return;
        };
        match self.adapter.decode_order(key, &value) {
            Ok(OperatorOrder::Config(config)) => self.apply_config(*config),
            Ok(OperatorOrder::Evacuate(centre)) => {
                self.log
                    .event("evacuation_started", json!({"centre": centre.as_str()}));
                self.evacuated_centres.borrow_mut().insert(centre);
            }
            Ok(OperatorOrder::Rollout(order)) => {
                let version = self
                    .mirrors
                    .borrow()
                    .get(&TableKind::Orders)
                    .and_then(|mirror| mirror.version(key));
                self.log.event(
                    "rollout_ordered",
                    json!({"service": order.service.as_str(), "to": order.to.as_str(),
                        "within_ms": order.timeout.as_millis(), "row_version": version}),
                );
                let id = rollout_id(key, &order.to, version);
                self.rollouts.borrow_mut().apply_order(key, id, order, now);
            }
            Err(error) => self.record_unreadable_row(TableKind::Orders, key, &error.reason),
        }
    }

    fn remove_order(&self, key: &str, now: Instant) {
        self.rollouts.borrow_mut().remove_order(key);
        let remaining: BTreeSet<CentreName> = {
            let mirrors = self.mirrors.borrow();
            let rows = mirrors.get(&TableKind::Orders);
            rows.into_iter()
                .flat_map(TableMirror::rows)
                .filter_map(|(key, value)| match self.adapter.decode_order(key, value) {
                    Ok(OperatorOrder::Evacuate(centre)) => Some(centre),
                    _ => None,
                })
                .collect()
        };
        let returned: Vec<CentreName> = self
            .evacuated_centres
            .borrow()
            .difference(&remaining)
            .cloned()
            .collect();
        for centre in returned {
            self.log
                .event("evacuation_ended", json!({"centre": centre.as_str()}));
            self.evacuated_centres.borrow_mut().remove(&centre);
            self.mark_centre_cold(&centre, now);
        }
    }

    /// Treats the servers of a data centre as cold. Servers that had no
    /// requests for a while may be cold before they report it.
    fn mark_centre_cold(&self, centre: &CentreName, now: Instant) {
        let config = self.config.borrow();
        let servers = self.servers.borrow();
        for server in servers
            .all()
            .filter(|server| &server.entry.borrow().centre == centre)
        {
            let service = server.entry.borrow().service.clone();
            if let Some(rule) = config
                .as_ref()
                .and_then(|config| config.services.get(&service))
            {
                server.cold_until.set(Some(now + rule.cold_period));
            }
        }
    }

    fn apply_config(&self, config: TrafficConfig) {
        const MAX_LOGGED_WARNINGS: usize = 20;
        let known = self.config.borrow().as_ref().map(|config| config.version);
        if known.is_some_and(|known| known >= config.version) {
            return;
        }
        self.log.event(
            "config_applied",
            json!({"version": config.version.0, "before": known.map(|version| version.0),
                "routes": config.routes.len(), "teams": config.teams.len(), "keys": config.keys.len(),
                "warnings": config.warnings.len()}),
        );
        for warning in config.warnings.iter().take(MAX_LOGGED_WARNINGS) {
            self.log.event(
                "config_warning",
                json!({"version": config.version.0, "part": warning.part, "reason": warning.reason}),
            );
        }
        *self.config.borrow_mut() = Some(Rc::new(config));
        self.has_new_servers.set(true);
    }

    fn apply_server(&self, key: &str, now: Instant) {
        let Some(value) = self.row_value(TableKind::Servers, key) else {
            if let Some(id) = self.adapter.server_id(key) {
                self.remove_server(&id, now);
            }
            return;
        };
        match self.adapter.decode_server(key, &value) {
            Ok(entry) => {
                let fields = json!({"server": entry.id.as_str(), "service": entry.service.as_str(),
                    "version": entry.version.as_str(), "centre": entry.centre.as_str(),
                    "leaving": entry.draining, "cold_left_ms": entry.cold_remaining.as_millis(),
                    "started": entry.started});
                let region = self.options.borrow().regions.get(&entry.centre).cloned();
                self.suspect_after_absence(&entry.id);
                let read_at = self.servers_copied_at().unwrap_or(now);
                let mut servers = self.servers.borrow_mut();
                let change = servers.update(entry, region, read_at, now);
                drop(servers);
                self.log_entry_change(&change, fields);
                if change != EntryChange::Unlogged {
                    self.has_new_servers.set(true);
                }
            }
            Err(error) => {
                if let Some(id) = self.adapter.server_id(key) {
                    self.remove_server(&id, now);
                }
                self.record_unreadable_row(TableKind::Servers, key, &error.reason);
            }
        }
    }

    fn remove_server(&self, id: &tarragonpulley_policy::entry::names::ServerId, now: Instant) {
        // Entries that expired during an outage of the table service are
        // written again soon after it.
        let grace_end = self.table_recovered_at.get().map(|at| at + REWRITE_GRACE);
        let at = grace_end.map_or(now, |until| until.max(now));
        let mut servers = self.servers.borrow_mut();
        if servers.get(id).is_some() {
            servers.mark_removed(id, at);
            let delay = at.saturating_duration_since(now).as_millis();
            self.log.event(
                "server_gone",
                json!({"server": id.as_str(), "after_ms": delay}),
            );
        }
    }

    fn apply_record(&self, key: &str) {
        let Some(value) = self.row_value(TableKind::Records, key) else {
            return;
        };
        match self.adapter.decode_record(key, &value) {
            Ok((service, record)) => {
                self.log.event(
                    "rollout_recorded",
                    json!({"service": service.as_str(), "to": record.to.as_str(),
                        "state": format!("{:?}", record.state)}),
                );
                self.rollout_records.borrow_mut().insert(service, record);
            }
            Err(error) => self.record_unreadable_row(TableKind::Records, key, &error.reason),
        }
    }

    fn apply_instance(&self, key: &str) {
        let Some(value) = self.row_value(TableKind::Instances, key) else {
            return;
        };
        match serde_json::from_slice::<InstanceRecord>(&value) {
            Ok(record) => self.peers.borrow_mut().register(record),
            Err(error) => self.record_unreadable_row(TableKind::Instances, key, &error.to_string()),
        }
    }

    /// Counts a table call, and logs when the table service becomes unreachable
    /// or recovers.
    pub(crate) fn record_table_result(&self, result: Result<(), &str>) {
        let now = self.now();
        self.metrics.table_calls.inc();
        match result {
            Ok(()) => {
                if let Some(since) = self.table_failed_at.take() {
                    self.table_recovered_at.set(Some(now));
                    let outage = now.saturating_duration_since(since).as_millis();
                    self.log.event("table_regained", json!({"away_ms": outage}));
                }
            }
            Err(reason) => {
                self.metrics.table_failures.inc();
                if self.table_failed_at.get().is_none() {
                    self.table_failed_at.set(Some(now));
                    self.log.event("table_lost", json!({"reason": reason}));
                }
            }
        }
    }
}
