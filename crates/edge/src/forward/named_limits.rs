//! This instance's share of the rate limits that servers state.

use std::cell::OnceCell;
use std::time::Instant;

use serde_json::json;
use tarragonpulley_policy::entry::server_limit::{LimitRate, ServerLimit};

use crate::instance::Instance;
use crate::servers::Server;

/// The limits of servers at one moment.
pub(super) struct NamedLimits<'a> {
    instance: &'a Instance,
    now: Instant,
    /// The instances that share the limits; looked up for the first limited server only.
    sharers: OnceCell<Option<Vec<u64>>>,
}

impl<'a> NamedLimits<'a> {
    pub(super) fn new(instance: &'a Instance, now: Instant) -> Self {
        Self {
            instance,
            now,
            sharers: OnceCell::new(),
        }
    }

    /// Whether this instance may send a request to the server. An instance that does
    /// not know the others sends none to a limited server.
    pub(super) fn permit(&self, server: &Server) -> bool {
        let limit = server.limit.borrow();
        if limit.rate(self.now).is_none() {
            return true;
        }
        let peers = self.instance.peers.borrow();
        let sharers = self.sharers.get_or_init(|| peers.sharer_hashes(self.now));
        sharers.as_ref().is_some_and(|sharers| {
            limit.has_permit(server.hash, peers.own_hash(), sharers, self.now)
        })
    }

    /// Records a request to the server and returns `true` if it is permitted.
    pub(super) fn try_acquire(&self, server: &Server) -> bool {
        let is_permitted = self.permit(server);
        if is_permitted {
            server.limit.borrow_mut().record_send(self.now);
        }
        is_permitted
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
        let mut limit = server.limit.borrow_mut();
        update(&mut limit);
        let rate = limit.rate(now);
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
