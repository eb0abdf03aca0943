//! Interfaces between the modules of an instance.
//!
//! The request path (`frontend`, `pipeline`) accesses configuration, limits and
//! the event timeline only through these traits, which the modules with the
//! fleet's state (`fleet`, `mover`) implement. Tests use fakes instead.

use std::fmt::Debug;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use actix_http::body::BoxBody;
use actix_http::{Request, Response};
use futures_util::future::LocalBoxFuture;
use tarragonpulley_backing::{ObjectStore, TableService};
use tarragonpulley_policy::clock::TimeSource;
use tarragonpulley_policy::facts::{FactKey, FactValue};
use tarragonpulley_policy::ids::{
    CentreName, IncarnationId, InstanceName, LimitKey, MoveName, ServiceKey, TeamKey, VersionName,
};
use tarragonpulley_policy::snapshot::{ConfigSnapshot, DrainTarget, KeyDigest, MoveRecord};
use tarragonpulley_policy::timeline::{EventRecord, HybridTimestamp};
use tarragonpulley_policy::units::ConfigRevision;

/// Whether the configuration is proved to be current, as defined in
/// `tarragonpulley_policy::freshness`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ProofState {
    /// It was current this long ago, which is within the validity of a proof.
    Proved(Duration),
    /// There is no proof, or it has expired. Requests to routes are rejected.
    Missing,
}

/// A change of the configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum ConfigEdit {
    /// Replaces the contracts in these files atomically. If `base` is given, it
    /// must be the current revision.
    PutContracts {
        /// File name and text.
        files: Vec<(String, String)>,
        /// The revision on which the operator based the change.
        base: Option<ConfigRevision>,
    },
    /// Grants a key to a team.
    GrantKey(KeyDigest, TeamKey),
    /// Withdraws a key permanently.
    WithdrawKey(KeyDigest),
    /// Writes a move whose current epoch must be `epoch`; epoch 0 creates it.
    PutMove {
        /// The name of the move.
        name: MoveName,
        /// The epoch on which the writer based the change.
        epoch: u64,
        /// The record to write, with the epoch `epoch + 1`.
        record: MoveRecord,
    },
    /// Starts a drain.
    StartDrain(DrainTarget),
    /// Ends a drain.
    EndDrain(DrainTarget),
}

/// Outcome of a configuration change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum ChangeOutcome {
    /// The change is in the table and takes effect on all instances within
    /// seconds.
    Accepted(ConfigRevision),
    /// The change is invalid; nothing was written.
    Refused(String),
    /// Another change was written first, at this revision; nothing was written.
    Conflict(ConfigRevision),
    /// The table is unavailable; nothing was written.
    Unavailable(String),
    /// The table did not respond, and reading the change back failed too.
    Unknown(String),
}

/// Access to the configuration and the proof that it is current.
pub(crate) trait ConfigSource: Debug {
    /// The latest configuration known to this instance.
    fn snapshot(&self) -> Rc<ConfigSnapshot>;

    /// Whether the configuration is proved to be current.
    fn proof(&self) -> ProofState;

    /// Whether a key was withdrawn, including withdrawals received from other
    /// instances that are not yet part of the snapshot.
    fn is_withdrawn(&self, digest: &KeyDigest) -> bool;

    /// Changes the configuration.
    fn change(&self, edit: ConfigEdit) -> LocalBoxFuture<'_, ChangeOutcome>;
}

/// Result of taking a token of a rate limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum AdmitOutcome {
    /// A token was taken; the request may continue.
    Admitted,
    /// The fleet currently has no token of the limit.
    Exceeded {
        /// Time until a token may be available.
        retry_after: Duration,
    },
    /// The instance may not use rights now, because it has no proof or has not
    /// joined the fleet.
    NotReady,
}

/// Releases a slot when dropped.
pub(crate) trait SlotGuard: Debug {}

/// The rights of this instance: its shares of the fleet-wide rate limits and
/// slots.
pub(crate) trait RightsSource: Debug {
    /// Takes one token of a rate limit. If this instance has none, requests
    /// tokens from other instances and waits at most until `deadline`.
    fn admit(&self, limit: LimitKey, deadline: Instant) -> LocalBoxFuture<'_, AdmitOutcome>;

    /// Takes one slot of each limit atomically from those held here, or returns
    /// `None`.
    fn take_slots(&self, limits: &[LimitKey]) -> Option<Box<dyn SlotGuard>>;

    /// Requests slots of these limits from other instances, so that a later
    /// [`RightsSource::take_slots`] may succeed. Resolves when slots have
    /// arrived or at `deadline`.
    fn request_slots(&self, limits: Vec<LimitKey>, deadline: Instant) -> LocalBoxFuture<'_, ()>;
}

/// Facts that instances share with each other by gossip.
pub(crate) trait GossipFacts: Debug {
    /// Publishes a fact. It is sent to the other instances with the next
    /// heartbeat, or immediately if `urgent`.
    fn publish(&self, key: FactKey, value: FactValue, urgent: bool);

    /// The value of the fact with this key.
    fn get(&self, key: &FactKey) -> Option<FactValue>;

    /// All facts for whose key `select` returns true.
    fn select(&self, select: &dyn Fn(&FactKey) -> bool) -> Vec<(FactKey, FactValue)>;
}

/// An instance, as seen by lookups and operators.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct MemberView {
    /// Its current incarnation, known after its first message.
    pub(crate) incarnation: Option<IncarnationId>,
    /// Its name.
    pub(crate) instance: InstanceName,
    /// Its data centre.
    pub(crate) centre: CentreName,
    /// The address of its service port.
    pub(crate) service_address: SocketAddr,
    /// Whether it recently responded to a heartbeat; always true for this
    /// instance.
    pub(crate) reachable: bool,
    /// Whether it is leaving the fleet and lookups leave it out.
    pub(crate) leaving: bool,
    /// Its configuration revision.
    pub(crate) revision: ConfigRevision,
}

/// The instances of the fleet.
pub(crate) trait MemberSource: Debug {
    /// This instance and all other known ones, ordered by name.
    fn members(&self) -> Vec<MemberView>;
}

/// The event timeline.
pub(crate) trait EventSink: Debug {
    /// Logs an event and records it as one of this instance.
    fn record(&self, kind: &str, subject: &str, detail: &str);

    /// Merged events of all reachable instances, at most `max_events`.
    fn fleet_events(
        &self,
        after: HybridTimestamp,
        max_events: usize,
    ) -> LocalBoxFuture<'_, Vec<EventRecord>>;
}

/// Outcomes of attempts by version and route, by which moves of traffic are
/// judged.
pub(crate) trait EvidenceSink: Debug {
    /// Records an attempt on a backend server.
    fn record_attempt(&self, attempt: &AttemptReport);

    /// Whether this instance found that the current shift of a service between
    /// data centres increases failures or latency.
    fn is_shift_harmful(&self, service: &ServiceKey) -> bool;
}

/// Result of an attempt on a backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct AttemptReport {
    /// The server's service and customer.
    pub(crate) service: ServiceKey,
    /// The server's version.
    pub(crate) version: VersionName,
    /// The path of the route.
    pub(crate) route: String,
    /// Whether the server failed: it sent no response, an invalid one, or a 5xx
    /// status other than for load shedding.
    pub(crate) failed: bool,
    /// Time to the end of the response.
    pub(crate) latency: Duration,
}

/// Dependencies of the request path of an instance.
#[derive(Debug, Clone)]
pub(crate) struct InstanceContext {
    /// The incarnation of this instance.
    pub(crate) incarnation: IncarnationId,
    /// The data centre of this instance.
    pub(crate) centre: CentreName,
    pub(crate) clock: Rc<dyn TimeSource>,
    pub(crate) config: Rc<dyn ConfigSource>,
    pub(crate) rights: Rc<dyn RightsSource>,
    pub(crate) facts: Rc<dyn GossipFacts>,
    pub(crate) members: Rc<dyn MemberSource>,
    pub(crate) events: Rc<dyn EventSink>,
    pub(crate) evidence: Rc<dyn EvidenceSink>,
    pub(crate) table: Rc<dyn TableService>,
    pub(crate) objects: Rc<dyn ObjectStore>,
}

/// Handles the HTTP requests of one port.
pub(crate) trait RequestHandler: Debug {
    /// Handles one request. `peer` is the remote address of the connection.
    fn handle(
        &self,
        request: Request,
        peer: Option<SocketAddr>,
    ) -> LocalBoxFuture<'_, Response<BoxBody>>;
}
