//! Finds out whether a request has crashed its backend server.
//!
//! A broken connection alone proves nothing: answers are lost on the way too.
//! The server is asked for a connection a moment later; one that refuses it has
//! ended.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use serde_json::json;
use tokio::net::TcpStream;
use tokio::sync::mpsc::Receiver;

use crate::instance::Instance;

/// The most breaks that wait to be looked into; more at a time are caused by a
/// failure of many servers, not by a request.
pub(crate) const MAX_PENDING_SUSPECTS: usize = 32;

/// Pause before the server is asked. A crashed one is back after some seconds.
const PROBE_DELAY: Duration = Duration::from_millis(150);

/// Time for the connection.
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);

/// A request whose connection broke before an answer.
#[derive(Debug)]
pub(crate) struct CrashSuspect {
    pub(crate) request: String,
    pub(crate) fingerprint: u64,
    pub(crate) address: SocketAddr,
}

impl Instance {
    /// Looks into broken connections until the process ends.
    pub(crate) async fn probe_crash_suspects(self: Rc<Self>, mut suspects: Receiver<CrashSuspect>) {
        while let Some(suspect) = suspects.recv().await {
            actix_rt::time::sleep(PROBE_DELAY).await;
            let connect =
                tokio::time::timeout(PROBE_TIMEOUT, TcpStream::connect(suspect.address)).await;
            let refused = matches!(connect, Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused);
            if refused {
                self.crashes
                    .borrow_mut()
                    .record(suspect.fingerprint, self.now());
                self.log.event(
                    "server_crashed",
                    json!({"request": suspect.request, "fingerprint": suspect.fingerprint,
                        "address": suspect.address.to_string()}),
                );
                self.digest_requested.notify_one();
            }
        }
    }

    /// Hands a broken connection to [`Instance::probe_crash_suspects`].
    pub(crate) fn report_crash_suspect(&self, suspect: CrashSuspect) {
        if let Err(error) = self.crash_suspects.try_send(suspect) {
            self.log.event(
                "crash_not_looked_into",
                json!({"reason": error.to_string()}),
            );
        }
    }
}
