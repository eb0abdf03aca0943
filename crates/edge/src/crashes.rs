//! Detects requests that crash their backend server.
//!
//! A broken connection alone is no evidence, as the network loses responses
//! too. A moment later the server is probed with a new connection; a server
//! that refuses it has crashed, unless this instance reaches no other server either.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use serde_json::json;
use tarragonpulley_policy::entry::digest::ServerIncarnation;
use tarragonpulley_policy::entry::share::instance_share;
use tokio::net::TcpStream;
use tokio::sync::Mutex;
use tokio::sync::mpsc::Receiver;

use crate::instance::Instance;

/// The maximum number of broken connections that wait for a probe. A larger
/// number at a time is caused by a failure of many servers, not by a request.
pub(crate) const MAX_PENDING_SUSPECTS: usize = 32;

/// Delay before the probe. A crashed server is back after some seconds.
const PROBE_DELAY: Duration = Duration::from_millis(150);

/// Timeout of the probe's connection.
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);

/// A request whose connection broke before a response.
#[derive(Debug)]
pub(crate) struct CrashSuspect {
    pub(crate) request: String,
    pub(crate) fingerprint: u64,
    pub(crate) address: SocketAddr,
    pub(crate) server: ServerIncarnation,
}

impl Instance {
    /// Probes the servers of broken connections until the process ends.
    pub(crate) async fn probe_crash_suspects(
        self: Rc<Self>,
        suspects: Rc<Mutex<Receiver<CrashSuspect>>>,
    ) {
        let mut suspects = suspects.lock().await;
        while let Some(suspect) = suspects.recv().await {
            actix_rt::time::sleep(PROBE_DELAY).await;
            let connect =
                tokio::time::timeout(PROBE_TIMEOUT, TcpStream::connect(suspect.address)).await;
            let refused = matches!(&connect, Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused);
            let server = self.servers.borrow().of_incarnation(suspect.server);
            if let (Ok(Err(error)), Some(server)) = (&connect, server) {
                self.suspect_restart(&server, error);
            }
            if refused && self.reaches_others(suspect.address).await {
                self.crashes
                    .borrow_mut()
                    .record(suspect.fingerprint, suspect.server, self.now());
                self.log.event(
                    "server_crashed",
                    json!({"request": suspect.request, "fingerprint": suspect.fingerprint,
                        "address": suspect.address.to_string()}),
                );
                self.digest_requested.notify_one();
            }
        }
    }

    /// Whether a request is rejected because it crashes servers.
    pub(crate) fn rejects_crashing(&self, fingerprint: u64) -> bool {
        let now = self.now();
        let peers = self.peers.borrow();
        let reported = peers.other_crashes(fingerprint, now);
        if !self.crashes.borrow().knows(fingerprint) && reported.is_empty() {
            return false;
        }
        let sharers = peers.sharer_hashes(now);
        let makes_trials = sharers
            .is_some_and(|sharers| instance_share(1, fingerprint, peers.own_hash(), &sharers) > 0);
        let mut crashes = self.crashes.borrow_mut();
        crashes.rejects(fingerprint, &reported, makes_trials, now)
    }

    /// Records that a server completed a request.
    pub(crate) fn record_served(&self, fingerprint: u64) {
        let now = self.now();
        let reported = self.peers.borrow().other_crashes(fingerprint, now);
        let mut crashes = self.crashes.borrow_mut();
        crashes.record_served(fingerprint, &reported, now);
    }

    /// Queues a broken connection for [`Instance::probe_crash_suspects`].
    pub(crate) fn report_crash_suspect(&self, suspect: CrashSuspect) {
        if let Err(error) = self.crash_suspects.try_send(suspect) {
            self.log.event(
                "crash_not_looked_into",
                json!({"reason": error.to_string()}),
            );
        }
    }
}
