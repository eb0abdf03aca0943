//! Peer message types.
//!
//! bincode encodes fields and variants by position: their order and types are
//! the wire format.

use bincode::{Decode, Encode};

/// A request to a peer.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub enum PeerRequest {
    /// Sent periodically and after local changes.
    Heartbeat(Box<HeartbeatRequest>),
    /// Requests shares and tokens of a limit.
    RightsAsk(RightsRequest),
    /// Requests all rows if the peer's revision is higher than this one.
    ConfigurationFetch {
        /// The sender's revision.
        revision: u64,
    },
    /// Requests the peer to reject these incarnations from now on, and to report
    /// the shares that it exchanged with them.
    FenceReport {
        /// The sending incarnation.
        sender: IncarnationEntry,
        /// The incarnations that the sender considers failed.
        dead: Vec<IncarnationEntry>,
    },
    /// Requests events after a timestamp.
    EventQuery {
        /// The timestamp, exclusive.
        after: StampEntry,
        /// Maximum number of events to return.
        most: u32,
    },
}

/// A response from a peer.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub enum PeerResponse {
    /// Response to a heartbeat.
    Heartbeat(HeartbeatResponse),
    /// Response to a request for shares and tokens.
    Rights(RightsResponse),
    /// Response to a configuration fetch.
    Configuration(ConfigurationResponse),
    /// Response to a fence request.
    Fence(Box<FenceResponse>),
    /// Response to an event query.
    Events(Vec<EventEntry>),
    /// The sender's incarnation is fenced.
    Fenced,
    /// The request was rejected, for this reason.
    Refused(String),
}

/// An incarnation: one run of an instance.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Encode, Decode)]
pub struct IncarnationEntry {
    /// The name of the instance.
    pub instance: String,
    /// The number of the run.
    pub number: u64,
}

/// Data centre and addresses of an instance.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct PlaceEntry {
    /// The data centre.
    pub centre: String,
    /// The address for callers.
    pub service_address: std::net::SocketAddr,
    /// The address for peers.
    pub peer_address: std::net::SocketAddr,
}

/// A hybrid logical timestamp.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode)]
pub struct StampEntry {
    /// Milliseconds since the Unix epoch.
    pub millis: u64,
    /// The counter within the millisecond.
    pub counter: u32,
}

/// The state of an instance's configuration.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct StatementEntry {
    /// The configuration revision in effect.
    pub revision: u64,
    /// The generation of the adopted rights record.
    pub generation: u64,
    /// The number of reclaims in that record.
    pub reclaims: u64,
    /// The age in microseconds of the proof that the revision is current, rounded
    /// up; `None` without a proof.
    pub proof_age_us: Option<u64>,
    /// Whether the instance ever had a proof.
    pub based: bool,
}

/// A heartbeat.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct HeartbeatRequest {
    /// The sending incarnation.
    pub sender: IncarnationEntry,
    /// Where the sender runs; included until the receiver has responded once.
    pub place: Option<PlaceEntry>,
    /// The state of the sender's configuration.
    pub statement: StatementEntry,
    /// The sender's hybrid logical clock.
    pub stamp: StampEntry,
    /// Facts that the receiver has not acknowledged.
    pub facts: Vec<FactEntry>,
    /// Incarnations known to the sender; included if they changed.
    pub known: Vec<IncarnationEntry>,
    /// Transfer counters for the receiver that the receiver has not acknowledged.
    pub counters: Vec<CounterEntry>,
    /// Whether `summaries` is complete and replaces the receiver's state.
    pub all_summaries: bool,
    /// Summaries of the limits that changed, or of all limits.
    pub summaries: Vec<SummaryEntry>,
}

/// The response to a heartbeat.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct HeartbeatResponse {
    /// The responding incarnation.
    pub sender: IncarnationEntry,
    /// The state of the sender's configuration.
    pub statement: StatementEntry,
    /// The sender's hybrid logical clock.
    pub stamp: StampEntry,
    /// Whether the counters of the request were applied.
    pub counters_applied: bool,
}

/// A fact that instances replicate by heartbeats.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct FactEntry {
    /// The subject of the fact.
    pub key: FactKeyEntry,
    /// The value for this subject.
    pub value: FactValueEntry,
}

/// The subject of a fact.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub enum FactKeyEntry {
    /// A backend server and the reporting incarnation.
    ServerReport(String, IncarnationEntry),
    /// A request fingerprint and the reporting incarnation.
    CrashCount(u64, IncarnationEntry),
    /// A service and its faulty version.
    VersionFault(String, String),
    /// The digest of a withdrawn key.
    KeyWithdrawn([u8; 32]),
    /// A draining instance.
    InstanceLeaving(IncarnationEntry),
}

/// The value of a fact.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub enum FactValueEntry {
    /// The state of a backend server.
    Server {
        /// Increases with each report.
        sequence: u64,
        /// Whether the server is healthy.
        healthy: bool,
        /// Whether the server is draining before shutdown.
        leaving: bool,
        /// Requests in progress on the server.
        load: u32,
        /// Uptime of the server in milliseconds.
        uptime_ms: u64,
    },
    /// A counter that only increases.
    Count(u64),
    /// A sticky flag: once set, it is never cleared.
    Latched,
    /// A sticky flag with the reason why it was first set.
    LatchedBecause(String),
}

/// The cumulative transfers of a limit from the sender to the receiver.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct CounterEntry {
    /// The limit.
    pub limit: String,
    /// The rights generation.
    pub generation: u64,
    /// Digest of the receiving incarnation.
    pub receiver: u64,
    /// Total of the transferred shares.
    pub shares: u64,
    /// Total of the transferred tokens, in fractions of a token.
    pub tokens: u128,
}

/// The sender's shares of a limit and its demand.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct SummaryEntry {
    /// The limit.
    pub limit: String,
    /// Shares that the sender holds.
    pub shares: u64,
    /// Shares that the sender can transfer to others.
    pub spare: u64,
    /// The sender's recent demand, in thousandths of a request per second or of a
    /// slot.
    pub demand: u64,
}

/// A request for shares and tokens of a limit.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct RightsRequest {
    /// The requesting incarnation.
    pub sender: IncarnationEntry,
    /// The limit.
    pub limit: String,
    /// Requested shares.
    pub shares: u64,
    /// Requested tokens, in fractions of a token.
    pub tokens: u64,
}

/// The response to a request for shares and tokens.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct RightsResponse {
    /// The incarnation that transfers them.
    pub sender: IncarnationEntry,
    /// Its transfer counters for the requester that are not acknowledged.
    pub counters: Vec<CounterEntry>,
}

/// The response to a configuration fetch: all rows of a configuration.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct ConfigurationResponse {
    /// Keys and values of the rows under `config/`; empty unless the
    /// requester's revision is lower.
    pub rows: Vec<(String, Vec<u8>)>,
    /// The value of the row `rights/generation`.
    pub generation: Option<Vec<u8>>,
}

/// Shares transferred between the reporter and a fenced incarnation.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct PairEntry {
    /// The fenced incarnation.
    pub dead: IncarnationEntry,
    /// The limit.
    pub limit: String,
    /// Shares that the reporter sent.
    pub given: u64,
    /// Shares that the reporter received.
    pub received: u64,
}

/// The response of an instance after it fenced incarnations.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct FenceResponse {
    /// The reporting incarnation.
    pub sender: IncarnationEntry,
    /// The rights generation that the amounts belong to.
    pub generation: u64,
    /// All incarnations that the reporter has fenced.
    pub fenced: Vec<IncarnationEntry>,
    /// Transfers between the reporter and the fenced incarnations.
    pub pairs: Vec<PairEntry>,
    /// Incarnations that exchanged shares with the reporter and are not fenced.
    pub peers: Vec<IncarnationEntry>,
    /// All incarnations known to the reporter.
    pub known: Vec<IncarnationEntry>,
}

/// An event of the timeline.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct EventEntry {
    /// The timestamp of the event.
    pub stamp: StampEntry,
    /// The incarnation that recorded the event.
    pub origin: IncarnationEntry,
    /// The kind of event.
    pub kind: String,
    /// The object that the event is about.
    pub subject: String,
    /// Additional details for the operator.
    pub detail: String,
}
