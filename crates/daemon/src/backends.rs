//! States of backend servers as known to this instance.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use tarragonpulley_policy::clock::TimeSource;
use tarragonpulley_policy::contract::ServicePlan;
use tarragonpulley_policy::facts::{FactKey, FactValue};
use tarragonpulley_policy::ids::{ServerKey, ServerName, ServiceKey};
use tarragonpulley_policy::routing::{ServerState, ServerStateTable};
use tarragonpulley_policy::snapshot::ConfigSnapshot;

use crate::interfaces::GossipFacts;

/// Combines probe reports of all instances with observations of this one.
#[derive(Debug)]
pub(crate) struct BackendStates {
    table: RefCell<ServerStateTable>,
    facts: Rc<dyn GossipFacts>,
    clock: Rc<dyn TimeSource>,
}

impl BackendStates {
    pub(crate) fn new(facts: Rc<dyn GossipFacts>, clock: Rc<dyn TimeSource>) -> Self {
        Self {
            table: RefCell::default(),
            facts,
            clock,
        }
    }

    /// Loads new probe reports of all instances from the shared facts.
    pub(crate) fn refresh(&self) {
        let now = self.clock.instant();
        let reports = self
            .facts
            .select(&|key| matches!(key, FactKey::ServerReport(..)));
        let mut table = self.table.borrow_mut();
        for (key, value) in &reports {
            if let (FactKey::ServerReport(server, reporter), FactValue::Server(report)) =
                (key, value)
            {
                table.record_report(server, reporter, report, now);
            }
        }
    }

    /// Removes servers that are in no contract.
    pub(crate) fn remove_unconfigured(&self, snapshot: &ConfigSnapshot) {
        self.table
            .borrow_mut()
            .retain(&|server| find_server(snapshot, server).is_some());
    }

    /// The states of all servers of a service.
    pub(crate) fn states(
        &self,
        service: &ServiceKey,
        plan: &ServicePlan,
    ) -> BTreeMap<ServerName, ServerState> {
        let now = self.clock.instant();
        let table = self.table.borrow();
        let state = |name: &ServerName| {
            let server = ServerKey {
                service: service.clone(),
                server: name.clone(),
            };
            (name.clone(), table.state(&server, now))
        };
        plan.servers.keys().map(state).collect()
    }

    /// Number of requests that this instance is running on a server.
    pub(crate) fn running(&self, server: &ServerKey) -> u32 {
        let now = self.clock.instant();
        self.table.borrow().state(server, now).running
    }

    /// Counts a request as running until the guard is dropped.
    pub(crate) fn start_request(self: &Rc<Self>, server: &ServerKey) -> InFlightGuard {
        self.table.borrow_mut().record_start(server);
        InFlightGuard {
            backends: Rc::clone(self),
            server: server.clone(),
        }
    }

    pub(crate) fn record_success(&self, server: &ServerKey) {
        self.table.borrow_mut().record_success(server);
    }

    pub(crate) fn record_failure(&self, server: &ServerKey, suspect: Option<u64>) {
        let now = self.clock.instant();
        self.table.borrow_mut().record_failure(server, suspect, now);
    }

    pub(crate) fn record_leaving(&self, server: &ServerKey) {
        let now = self.clock.instant();
        self.table.borrow_mut().record_leaving(server, now);
    }
}

/// Stops counting a request as running when dropped.
#[derive(Debug)]
pub(crate) struct InFlightGuard {
    backends: Rc<BackendStates>,
    server: ServerKey,
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.backends.table.borrow_mut().record_end(&self.server);
    }
}

/// Returns the plan of a server if it is in a contract.
pub(crate) fn find_server<'a>(
    snapshot: &'a ConfigSnapshot,
    server: &ServerKey,
) -> Option<&'a tarragonpulley_policy::contract::ServerPlan> {
    let contract = snapshot.contracts.get(&server.service.customer)?;
    let service = contract.services.get(&server.service.service)?;
    service.servers.get(&server.server)
}
