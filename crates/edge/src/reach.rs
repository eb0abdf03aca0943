//! Detects that this instance reaches no backend server, by probing some of them when
//! there is doubt.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_util::future::{FutureExt, select_ok};
use serde_json::json;
use tarragonpulley_policy::entry::admission::RejectionLoad;
use tarragonpulley_policy::entry::reach::{FIRST_PROBES, ReachChange, SILENCE};

use crate::forward::CONNECT_TIMEOUT;
use crate::http::client::ServerConnection;
use crate::instance::Instance;
use crate::servers::Server;

/// Time between two checks for silent servers, and between probes while partitioned.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

impl Instance {
    /// Probes servers in doubt until the process ends.
    pub(crate) async fn watch_reach(self: Rc<Self>) {
        loop {
            tokio::select! {
                () = self.reach_doubted.notified() => {}
                () = actix_rt::time::sleep(CHECK_INTERVAL) => {}
            }
            let now = self.now();
            let silent = self.servers.borrow().count_silent(SILENCE, now);
            self.reach.borrow_mut().record_silent_servers(silent, now);
            while self.run_probe_round().await {}
        }
    }

    /// Probes servers if that is due. Returns whether another round is due at once.
    async fn run_probe_round(&self) -> bool {
        let count = self.reach.borrow().due_probes();
        if count == 0 {
            return false;
        }
        let own_region = self.peers.borrow().own().region.clone();
        let targets = self
            .servers
            .borrow()
            .probe_targets(count, &own_region, self.now());
        if targets.is_empty() {
            let change = self.reach.borrow_mut().record_no_servers();
            self.apply_reach_change(change);
            return false;
        }
        if self.open_any(&targets).await {
            return false;
        }
        let change = self.reach.borrow_mut().record_failed_round();
        self.apply_reach_change(change);
        !self.reach.borrow().is_partitioned()
    }

    /// Whether a connection to one of the servers can be opened.
    async fn open_any(&self, servers: &[Rc<Server>]) -> bool {
        let probes = servers.iter().map(|server| {
            async move {
                let address = server.entry.borrow().address;
                let connection = ServerConnection::open(address, CONNECT_TIMEOUT).await?;
                std::io::Result::Ok((server, connection))
            }
            .boxed_local()
        });
        self.metrics
            .connections_opened
            .inc_by(u64::try_from(servers.len()).unwrap_or(0));
        let Ok(((server, connection), _slower)) = select_ok(probes).await else {
            return false;
        };
        self.record_running(server, &connection);
        server.return_connection(connection);
        self.record_reached();
        true
    }

    /// Whether this instance reaches servers at other addresses than `address`, or knows
    /// none.
    pub(crate) async fn reaches_others(&self, address: SocketAddr) -> bool {
        let own_region = self.peers.borrow().own().region.clone();
        let others = self
            .servers
            .borrow()
            .probe_targets(usize::MAX, &own_region, self.now());
        let is_other = |server: &Rc<Server>| server.entry.borrow().address != address;
        let targets: Vec<Rc<Server>> = others
            .into_iter()
            .filter(is_other)
            .take(FIRST_PROBES)
            .collect();
        targets.is_empty() || self.open_any(&targets).await
    }

    /// Records that a connection to a server was opened.
    pub(crate) fn record_reached(&self) {
        let change = self.reach.borrow_mut().record_reached(self.now());
        self.apply_reach_change(change);
    }

    /// Records that a connection to a server could not be opened.
    pub(crate) fn record_not_reached(&self) {
        self.reach.borrow_mut().record_failure(self.now());
        self.request_due_probes();
    }

    /// Records that a request sent to a server at `started` has timed out.
    pub(crate) fn record_unanswered(&self, started: Instant) {
        let now = self.now();
        self.reach.borrow_mut().record_timeout(started, now);
        self.request_due_probes();
    }

    fn request_due_probes(&self) {
        if self.reach.borrow().due_probes() > 0 {
            self.reach_doubted.notify_one();
        }
    }

    fn apply_reach_change(&self, change: Option<ReachChange>) {
        let Some(change) = change else {
            return;
        };
        let servers = self.servers.borrow();
        match change {
            ReachChange::Partitioned => {
                self.log.event(
                    "servers_unreachable",
                    json!({"servers": servers.all().count()}),
                );
                // Open connections may work while new ones are refused.
                if !self.reach.borrow().can_send(self.now()) {
                    servers
                        .all()
                        .for_each(|server| server.close_idle_connections());
                }
            }
            ReachChange::Restored => {
                self.log.event(
                    "servers_reachable",
                    json!({"servers": servers.all().count()}),
                );
                for server in servers.all() {
                    server.health.borrow_mut().end_suspension();
                }
            }
        }
        self.digest_requested.notify_one();
    }

    /// The load that a rejection for want of reachable servers reports to the caller:
    /// another instance can serve it at once, if there is one.
    pub(crate) fn load_elsewhere(&self) -> RejectionLoad {
        if self.peers.borrow().ready(self.now()).next().is_some() {
            RejectionLoad::HasFreeSlots
        } else {
            RejectionLoad::Full
        }
    }
}
