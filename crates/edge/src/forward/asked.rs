//! What responses of servers ask of this instance: that a server is leaving, wants a
//! pause, or names a limit.

use std::rc::Rc;
use std::time::Instant;

use serde_json::json;
use tarragonpulley_policy::entry::send_gate::{PauseLength, return_delay};
use tarragonpulley_policy::entry::server_limit::LimitRate;

use super::attempt::ServerAttempt;
use crate::http::client::ServerResponse;
use crate::http::message::HeaderLookup;
use crate::instance::Instance;
use crate::servers::Server;

/// The status of a response that another server than the intended one sent.
pub(super) const MISDIRECTED: u16 = 421;

/// The status of a response by which a server may ask for a pause.
const UNAVAILABLE: u16 = 503;

impl ServerAttempt<'_> {
    /// Records what a response asks for. Returns whether it asks for a pause.
    pub(super) fn record_asked(&self, response: &ServerResponse, now: Instant) -> bool {
        let names = self.instance.adapter.headers();
        let id = response.head.text(names.request_id);
        if id.is_some_and(|id| id != self.forward.id) {
            return false;
        }
        match response.head.text(names.leaving) {
            Some("1") => self.record_leaving(response, now),
            None | Some("0") => {}
            Some(other) => self.log("leaving_ignored", &json!({"value": other})),
        }
        if response.head.status == MISDIRECTED {
            return false;
        }
        self.record_named_limit(response, now);
        response.head.status == UNAVAILABLE && self.record_pause(response, now)
    }

    /// The server that sent the response: the one of the attempt, or its next start if
    /// that was learned meanwhile.
    fn asking_server(&self) -> Rc<Server> {
        let server = self.server();
        let servers = self.instance.servers.borrow();
        let next = servers
            .get(&server.id())
            .filter(|_| server.is_replaced.get());
        Rc::clone(next.unwrap_or(server))
    }

    /// A misdirected request was answered by another server at the same address.
    fn record_leaving(&self, response: &ServerResponse, now: Instant) {
        let request = Some(self.forward.id.as_str());
        if response.head.status != MISDIRECTED {
            self.instance
                .record_leaving(&self.asking_server(), request, now);
            return;
        }
        let others: Vec<Rc<Server>> = {
            let servers = self.instance.servers.borrow();
            let address = self.server().entry.borrow().address;
            let is_other = |server: &&Rc<Server>| {
                !Rc::ptr_eq(server, self.server()) && server.entry.borrow().address == address
            };
            servers.all().filter(is_other).cloned().collect()
        };
        for server in others {
            self.instance.record_leaving(&server, request, now);
        }
    }

    /// Of several fields, the one with the longest valid pause counts.
    fn record_pause(&self, response: &ServerResponse, now: Instant) -> bool {
        let mut longest: Option<PauseLength> = None;
        for field in response.head.all("Retry-After") {
            match String::from_utf8_lossy(field).parse::<PauseLength>() {
                Ok(pause) => longest = longest.max(Some(pause)),
                Err(error) => self.log("pause_ignored", &json!({"reason": error.to_string()})),
            }
        }
        let Some(pause) = longest else {
            return false;
        };
        let instance = self.instance;
        let server = self.asking_server();
        let delay = {
            let peers = instance.peers.borrow();
            let slots = server.entry.borrow().slots;
            return_delay(
                server.hash,
                peers.own_hash(),
                peers.sharer_count(now),
                slots,
            )
        };
        let until = server.gate.borrow_mut().record_pause(pause, delay, now);
        if until.is_some() {
            instance.log.event(
                "server_paused",
                json!({"request": self.forward.id, "server": server.id().as_str(),
                    "pause_ms": pause.duration().as_millis(), "return_ms": delay.as_millis()}),
            );
        }
        !pause.duration().is_zero()
    }

    /// Records that the server accepted the request.
    pub(super) fn record_accepted(&self, now: Instant) {
        let server = self.server();
        if server.gate.borrow_mut().record_accepted(now) {
            self.instance.log.event(
                "server_returned",
                json!({"request": self.forward.id, "server": server.id().as_str()}),
            );
        }
    }

    /// Records whether the response names a limit of its server. Only a sealed response
    /// ends a limit by not naming it: rejections need not have all fields.
    fn record_named_limit(&self, response: &ServerResponse, now: Instant) {
        let names = self.instance.adapter.headers();
        let rate = match response
            .head
            .text(names.rate_limit)
            .map(str::parse::<LimitRate>)
        {
            Some(Ok(rate)) => Some(rate),
            Some(Err(error)) => {
                self.log("limit_ignored", &json!({"reason": error.to_string()}));
                return;
            }
            None if response.head.text(names.seal).is_none() => return,
            None => None,
        };
        self.instance.update_limit(
            &self.asking_server(),
            Some(&self.forward.id),
            now,
            |limit| {
                limit.record_response(rate, now);
            },
        );
    }
}

impl Instance {
    /// Records that a server is leaving, and logs it if that is new. `request` is the one
    /// whose response said so; `None` if other instances reported it.
    pub(crate) fn record_leaving(&self, server: &Server, request: Option<&str>, now: Instant) {
        let is_new = server.gate.borrow_mut().record_leaving(now);
        // Without the time of its start, a restarted server could not be told from this one.
        if request.is_some() && server.entry.borrow().started.is_some() {
            let mut servers = self.servers.borrow_mut();
            servers.record_leaving(server.incarnation, now);
        }
        if !is_new {
            return;
        }
        server.close_idle_connections();
        self.log.event(
            "server_leaving",
            json!({"request": request, "server": server.id().as_str()}),
        );
        if request.is_some() {
            self.digest_requested.notify_one();
        }
    }
}
