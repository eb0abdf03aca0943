//! The borders between the modules of an instance.
//!
//! The request path (`frontend`, `pipeline`) sees configuration, limits and
//! the time line only through these traits; the modules that keep the fleet's
//! state (`sync`, `peering`) implement them. Tests put small fakes in place.

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

/// Whether the configuration is known to be current.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ProofState {
    /// It was current this long ago, within the lifetime of a proof.
    Proved(Duration),
    /// There is no proof, or it is too old. Keyed requests are refused.
    Missing,
}

/// A change of the configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum ConfigEdit {
    /// Replaces the contracts of these customers by these file texts, all or
    /// none. When `base` is given, the configuration must still be at it.
    PutContracts {
        /// File name and text.
        files: Vec<(String, String)>,
        /// The revision that the operator has seen.
        base: Option<ConfigRevision>,
    },
    /// Grants a key to a team.
    GrantKey(KeyDigest, TeamKey),
    /// Withdraws a key for good.
    WithdrawKey(KeyDigest),
    /// Writes a move that replaces `epoch`; epoch 0 creates it.
    PutMove {
        /// The move.
        name: MoveName,
        /// The epoch that the writer has seen.
        epoch: u64,
        /// What to write; its own epoch is `epoch + 1`.
        record: MoveRecord,
    },
    /// Starts a drain.
    StartDrain(DrainTarget),
    /// Ends a drain.
    EndDrain(DrainTarget),
}

/// What became of a change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum ChangeOutcome {
    /// It is in the table and will be in force everywhere within seconds.
    Accepted(ConfigRevision),
    /// It is not valid; nothing changed.
    Refused(String),
    /// Another change came first; nothing changed.
    Conflict(ConfigRevision),
    /// The table cannot be reached; nothing changed.
    Unavailable(String),
    /// The table did not answer, and reading back failed too.
    Unknown(String),
}

/// The configuration and its proof.
pub(crate) trait ConfigSource: Debug {
    /// The newest configuration that this instance knows.
    fn snapshot(&self) -> Rc<ConfigSnapshot>;

    /// Whether that is proved to be current.
    fn proof(&self) -> ProofState;

    /// Whether a key was withdrawn, counting withdrawals that are passed on
    /// but not yet part of the snapshot.
    fn is_withdrawn(&self, digest: &KeyDigest) -> bool;

    /// Changes the configuration.
    fn change(&self, edit: ConfigEdit) -> LocalBoxFuture<'_, ChangeOutcome>;
}

/// Whether a request is within a rate limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum AdmitOutcome {
    /// It is, and one token was spent.
    Admitted,
    /// The fleet has no token for it now.
    Exceeded {
        /// When one may be there again.
        retry_after: Duration,
    },
    /// The instance may not spend rights now: no proof, or not joined.
    NotReady,
}

/// Releases a slot when dropped.
pub(crate) trait SlotGuard: Debug {}

/// The fleet-wide limits.
pub(crate) trait RightsSource: Debug {
    /// Spends one token of a rate limit. Asks other instances for tokens and
    /// waits until `deadline` at most when there is none here.
    fn admit(&self, limit: LimitKey, deadline: Instant) -> LocalBoxFuture<'_, AdmitOutcome>;

    /// Takes one slot of every limit given, or none, from what is held here.
    fn take_slots(&self, limits: &[LimitKey]) -> Option<Box<dyn SlotGuard>>;

    /// Asks other instances for slots of these limits, so that a later
    /// [`RightsSource::take_slots`] may succeed; resolves when slots arrived
    /// or at `deadline`.
    fn request_slots(&self, limits: Vec<LimitKey>, deadline: Instant) -> LocalBoxFuture<'_, ()>;
}

/// Facts that travel between instances.
pub(crate) trait GossipFacts: Debug {
    /// States a fact; it reaches the other instances with the next heartbeat,
    /// or at once when `urgent`.
    fn state(&self, key: FactKey, value: FactValue, urgent: bool);

    /// The value under a key.
    fn get(&self, key: &FactKey) -> Option<FactValue>;

    /// All facts whose key `select` accepts.
    fn select(&self, select: &dyn Fn(&FactKey) -> bool) -> Vec<(FactKey, FactValue)>;
}

/// Another entry instance as look-ups and operators see it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct MemberView {
    /// Its current incarnation, once heard from.
    pub(crate) incarnation: Option<IncarnationId>,
    /// Its name and data centre.
    pub(crate) instance: InstanceName,
    /// Its data centre.
    pub(crate) centre: CentreName,
    /// Where callers reach it.
    pub(crate) service_address: SocketAddr,
    /// Whether it answered a heartbeat lately (always true for this instance).
    pub(crate) answering: bool,
    /// Whether it is leaving and gets no new callers.
    pub(crate) leaving: bool,
    /// Its configuration revision.
    pub(crate) revision: ConfigRevision,
}

/// The entry instances.
pub(crate) trait MemberSource: Debug {
    /// This instance and every other known one, in name order.
    fn members(&self) -> Vec<MemberView>;
}

/// The time line.
pub(crate) trait EventSink: Debug {
    /// Records an event of this instance and logs it.
    fn record(&self, kind: &str, subject: &str, detail: &str);

    /// Events of all instances that answer, merged.
    fn fleet_events(
        &self,
        after: HybridTimestamp,
        max_events: usize,
    ) -> LocalBoxFuture<'_, Vec<EventRecord>>;
}

/// Outcomes of requests by version and route, for rollouts.
pub(crate) trait EvidenceSink: Debug {
    /// Notes one attempt on a backend server.
    fn note(&self, attempt: &AttemptReport);

    /// Whether this instance found that the shift between data centres that
    /// is under way for a service does harm.
    fn is_shift_harmful(&self, service: &ServiceKey) -> bool;
}

/// How an attempt on a backend server ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct AttemptReport {
    /// The server's service and customer.
    pub(crate) service: ServiceKey,
    /// The server's version.
    pub(crate) version: VersionName,
    /// The path of the route.
    pub(crate) route: String,
    /// Whether the server failed: no answer, a broken one, or a 5xx other
    /// than shedding.
    pub(crate) failed: bool,
    /// Time to the whole answer.
    pub(crate) latency: Duration,
}

/// Everything that the request path of an instance uses.
#[derive(Debug, Clone)]
pub(crate) struct InstanceContext {
    pub(crate) own: IncarnationId,
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

/// Answers the HTTP requests of one port.
pub(crate) trait RequestHandler: Debug {
    /// Answers one request. `peer` is the address of the connection's far end.
    fn handle(
        &self,
        request: Request,
        peer: Option<SocketAddr>,
    ) -> LocalBoxFuture<'_, Response<BoxBody>>;
}
