//! Asks the processes of servers how long they are cold.
//!
//! A process that started again says so in its health responses from its first moment on,
//! before its entry can be read. The instance that learns of it tells the others.

use std::num::ParseIntError;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use serde_json::json;
use tarragonpulley_policy::entry::config::HealthPath;
use tarragonpulley_policy::entry::digest::{InstanceDigest, SectionTag, ServerKey};
use tarragonpulley_policy::entry::names::ServerId;

use crate::adapter::HeaderNames;
use crate::http::client::{ExchangeError, ExchangeProgress, RequestBytes, ServerConnection};
use crate::http::framing::ResponseHead;
use crate::http::message::HeaderLookup;
use crate::instance::Instance;
use crate::restarts::WireMillis;
use crate::servers::Server;

/// Timeout of a health response, which waits for a slot of the server like any other.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

/// What a server's process said about itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ColdAnswer {
    Warm,
    /// For how long it is still cold.
    Cold(Duration),
}

/// Why it is not known whether a server's process is cold.
#[derive(Debug, thiserror::Error)]
pub(crate) enum AnswerError {
    #[error(transparent)]
    Exchange(#[from] ExchangeError),
    #[error("no health response within {ANSWER_TIMEOUT:?}")]
    Timeout,
    #[error("health response with status {status} from {responder:?}")]
    OtherServer {
        status: u16,
        /// The id that the response names.
        responder: Option<String>,
    },
    #[error("health response with status {0} and without a cold time")]
    Status(u16),
    #[error("cold time in a health response: {0}")]
    ColdTime(#[from] ParseIntError),
}

impl ColdAnswer {
    /// Reads the health response of the server `id`. A server that fails or is leaving
    /// reports another status, and a busy one may reject the request.
    pub(crate) fn from_head(
        head: &ResponseHead,
        names: &HeaderNames,
        id: &ServerId,
    ) -> Result<Self, AnswerError> {
        let responder = head.text(names.server_id);
        if responder != Some(id.as_str()) {
            return Err(AnswerError::OtherServer {
                status: head.status,
                responder: responder.map(str::to_owned),
            });
        }
        match head.text(names.cold_left_ms).map(str::parse::<u32>) {
            Some(Ok(0)) => Ok(Self::Warm),
            Some(Ok(left)) => Ok(Self::Cold(Duration::from_millis(left.into()))),
            Some(Err(error)) => Err(error.into()),
            None if head.status == 200 => Ok(Self::Warm),
            None => Err(AnswerError::Status(head.status)),
        }
    }
}

/// The section of a digest with the servers whose process said that it is cold.
#[derive(Debug, Serialize, Deserialize)]
struct ColdSection {
    /// The last value is the time for which the server is still cold.
    servers: Vec<(ServerKey, WireMillis)>,
}

impl Instance {
    /// Asks the process at the other end of a connection whether it is cold. The
    /// connection is used again if it still can be.
    pub(crate) async fn ask_process(&self, server: &Server, mut connection: ServerConnection) {
        let Some(path) = self.health_path(server) else {
            server.return_connection(connection);
            return;
        };
        self.metrics.health_requests.inc();
        let address = server.entry.borrow().address;
        let head = format!("GET {path} HTTP/1.1\r\nHost: {address}\r\n\r\n");
        let request = RequestBytes {
            head: head.as_bytes(),
            body: &[],
        };
        let progress = ExchangeProgress::default();
        let asked_at = self.now();
        let exchange = connection.exchange("GET", request, None, &progress, &self.response_budget);
        let result = match tokio::time::timeout(ANSWER_TIMEOUT, exchange).await {
            Ok(Ok(response)) => {
                let names = self.adapter.headers();
                ColdAnswer::from_head(&response.head, &names, &server.id())
            }
            Ok(Err(error)) => {
                // The process may have ended; the next check asks its successor, once.
                if !server.restart.is_ask_retried.replace(true) {
                    server.restart.needs_probe.set(true);
                }
                Err(error.into())
            }
            Err(_elapsed) => Err(AnswerError::Timeout),
        };
        match result {
            Ok(answer) => {
                server.restart.is_ask_retried.set(false);
                self.record_running(server, &connection);
                self.record_cold_answer(server, answer, asked_at);
                server.return_connection(connection);
            }
            Err(error) => self.log.event(
                "cold_unknown",
                json!({"server": server.id().as_str(), "reason": error.to_string()}),
            ),
        }
    }

    /// Where servers of the same service can be asked.
    pub(crate) fn health_path(&self, server: &Server) -> Option<HealthPath> {
        let config = self.config.borrow();
        let services = &config.as_ref()?.services;
        services
            .get(&server.entry.borrow().service)?
            .health_path
            .clone()
    }

    fn record_cold_answer(&self, server: &Server, answer: ColdAnswer, asked_at: Instant) {
        let is_cold = answer != ColdAnswer::Warm;
        let has_ended = {
            let mut tracker = server.restart.tracker.borrow_mut();
            tracker.record_answer(asked_at, is_cold)
        };
        if has_ended {
            self.rule_out_restart(server);
        }
        let ColdAnswer::Cold(left) = answer else {
            return;
        };
        // No server is cold for longer, whatever it says.
        let left = left.min(self.cold_period(server));
        let now = self.now();
        let cold_until = now + left;
        let was_cold = server.known_cold_until().is_some_and(|known| now < known);
        if !server.extend_cold(cold_until, now) {
            return;
        }
        // The other instances count it as cold already if its end was reported, unless that
        // was the end before an earlier start.
        let is_reported = was_cold || !server.restart.is_end_reported.get();
        if is_reported {
            let mut servers = self.servers.borrow_mut();
            servers.record_cold(server, cold_until, now);
            self.restart_reported.notify_one();
        }
        self.log.event(
            "server_cold",
            json!({"server": server.id().as_str(), "cold_left_ms": left.as_millis(),
                "is_reported": is_reported}),
        );
    }

    /// The section of the digest with the servers whose process said that it is cold.
    pub(crate) fn encode_cold_section(&self, now: Instant) -> Option<Vec<u8>> {
        let reports = self.servers.borrow().cold_reports(now);
        if reports.is_empty() {
            return None;
        }
        let servers = reports
            .into_iter()
            .map(|(server, left)| (server, left.into()))
            .collect();
        self.encode_section(&ColdSection { servers })
    }

    /// Records the servers whose process told another instance that it is cold. The time on
    /// the way makes them cold for longer, never for less.
    pub(crate) fn receive_cold(&self, digest: &InstanceDigest, now: Instant) {
        let reporter = &digest.record.name;
        let Some(section) = self.read_section::<ColdSection>(digest, SectionTag::COLD_SERVERS)
        else {
            return;
        };
        for (key, left) in section.servers {
            let Some(server) = self.servers.borrow().of_key(key) else {
                continue;
            };
            let left = Duration::from(left).min(self.cold_period(&server));
            if !server.extend_cold(now + left, now) {
                continue;
            }
            self.log.event(
                "server_cold",
                json!({"server": server.id().as_str(), "cold_left_ms": left.as_millis(),
                    "reporter": reporter.as_str()}),
            );
            // The delegate passes the report on to the other data centres at once.
            if self.peers.borrow().is_delegate(now) {
                self.restart_reported.notify_one();
            }
        }
    }
}
