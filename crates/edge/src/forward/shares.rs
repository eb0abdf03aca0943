//! This instance's shares of what servers limit, for one request.

use std::cell::OnceCell;
use std::time::Instant;

use serde_json::json;
use tarragonpulley_policy::entry::cold::instance_allowance;
use tarragonpulley_policy::entry::send_gate::{HoldReason, SendDecision, ShareLookup};
use tarragonpulley_policy::entry::server_limit::{LimitRate, ServerLimit};

use super::ForwardRequest;
use crate::instance::Instance;
use crate::servers::Server;

/// The decision on a request that was placed before its server started again. The new
/// process has a gate of its own.
const RESTARTED: SendDecision = SendDecision::Wait {
    until: None,
    reason: HoldReason::Restarted,
};

/// The limits of servers at one moment.
pub(super) struct FleetShares<'a> {
    instance: &'a Instance,
    forward: &'a ForwardRequest,
    now: Instant,
    /// The instances that share the limits; looked up for the first limited server only.
    limit_sharers: OnceCell<Option<Vec<u64>>>,
    /// Those that share the rates of cold servers; looked up for the first one only.
    cold_sharers: OnceCell<Option<Vec<u64>>>,
}

impl<'a> FleetShares<'a> {
    pub(super) fn new(instance: &'a Instance, forward: &'a ForwardRequest, now: Instant) -> Self {
        Self {
            instance,
            forward,
            now,
            limit_sharers: OnceCell::new(),
            cold_sharers: OnceCell::new(),
        }
    }

    /// Whether the request may be sent to a server now.
    pub(super) fn decide(&self, server: &Server) -> SendDecision {
        server.gate.borrow().decide(&self.of(server), self.now)
    }

    /// The same; records the request if it may be sent.
    pub(super) fn acquire(&self, server: &Server) -> SendDecision {
        if server.is_replaced.get() {
            return RESTARTED;
        }
        server.gate.borrow_mut().acquire(&self.of(server), self.now)
    }

    /// Whether a request that was acquired before may still be sent.
    pub(super) fn decide_acquired(&self, server: &Server) -> SendDecision {
        if server.is_replaced.get() {
            return RESTARTED;
        }
        server
            .gate
            .borrow()
            .decide_acquired(&self.of(server), self.now)
    }

    /// The requests that this instance may send to a cold server, see
    /// [`instance_allowance`]. An instance that does not know the others yet sends none.
    pub(super) fn cold_allowance(&self, server: &Server) -> usize {
        let Some(rule) = self.forward.config.services.get(&self.forward.service) else {
            return 1;
        };
        let peers = self.instance.peers.borrow();
        let sharers = self
            .cold_sharers
            .get_or_init(|| peers.cold_sharer_hashes(self.now));
        let Some(sharers) = sharers else {
            return 0;
        };
        let limit = self.instance.options.borrow().cold;
        instance_allowance(
            limit,
            rule.cold_rate,
            server.hash,
            peers.own_hash(),
            sharers,
        )
    }

    fn of<'b>(&'b self, server: &'b Server) -> ServerShares<'b> {
        ServerShares {
            shares: self,
            server,
        }
    }
}

/// The shares at one server.
struct ServerShares<'a> {
    shares: &'a FleetShares<'a>,
    server: &'a Server,
}

impl ShareLookup for ServerShares<'_> {
    /// An instance that does not know the others sends none to a limited server.
    fn has_limit_permit(&self, limit: &ServerLimit) -> bool {
        let FleetShares {
            instance,
            now,
            limit_sharers,
            ..
        } = self.shares;
        let peers = instance.peers.borrow();
        let sharers = limit_sharers.get_or_init(|| peers.sharer_hashes(*now));
        sharers.as_ref().is_some_and(|sharers| {
            limit.has_permit(self.server.hash, peers.own_hash(), sharers, *now)
        })
    }

    fn cold_allowance(&self) -> Option<usize> {
        self.server
            .is_cold(self.shares.now)
            .then(|| self.shares.cold_allowance(self.server))
    }
}

impl Instance {
    /// Updates what is known of a server's limit, and logs a change. `request` is the
    /// one whose response stated it; `None` if other instances reported it.
    pub(crate) fn update_limit(
        &self,
        server: &Server,
        request: Option<&str>,
        now: Instant,
        update: impl FnOnce(&mut ServerLimit),
    ) {
        let mut gate = server.gate.borrow_mut();
        update(gate.limit_mut());
        let rate = gate.limit().rate(now);
        let before = server.logged_limit.replace(rate);
        if before != rate {
            self.log.event(
                "server_limit_changed",
                json!({"request": request, "server": server.id().as_str(),
                    "per_s": rate.map(LimitRate::per_second),
                    "before_per_s": before.map(LimitRate::per_second)}),
            );
        }
    }
}
