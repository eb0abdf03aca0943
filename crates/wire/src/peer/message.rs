//! The message types.

use bincode::{Decode, Encode};

/// A request to a peer.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub enum PeerRequest {
    /// The periodic message, and the one after a change.
    Heartbeat(Box<HeartbeatRequest>),
    /// Asks for shares and tokens of limits.
    RightsAsk(RightsAskRequest),
    /// Asks for all rows when the peer's revision is higher than this one.
    ConfigurationFetch {
        /// The asker's revision.
        revision: u64,
    },
    /// Asks the peer to refuse these incarnations and to report what it
    /// exchanged with them.
    FenceReport {
        /// The asker.
        sender: IncarnationEntry,
        /// The incarnations that the asker holds to be gone.
        dead: Vec<IncarnationEntry>,
    },
    /// Asks for events after a stamp.
    EventQuery {
        /// The stamp.
        after: StampEntry,
        /// Most events wanted.
        most: u32,
    },
}

/// An answer of a peer.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub enum PeerAnswer {
    /// To a heartbeat.
    Heartbeat(HeartbeatAnswer),
    /// To a rights ask.
    Rights(RightsAnswer),
    /// To a configuration fetch.
    Configuration(ConfigurationAnswer),
    /// To a fence request.
    Fence(Box<FenceAnswer>),
    /// To an event query.
    Events(Vec<EventEntry>),
    /// The asker's incarnation is fenced.
    Fenced,
    /// The request was not served, for this reason.
    Refused(String),
}

/// An incarnation.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Encode, Decode)]
pub struct IncarnationEntry {
    /// The name of the instance.
    pub instance: String,
    /// The number of the run.
    pub number: u64,
}

/// Where an instance is.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct PlaceEntry {
    /// The data centre.
    pub centre: String,
    /// Where callers reach it.
    pub service_address: std::net::SocketAddr,
    /// Where peers reach it.
    pub peer_address: std::net::SocketAddr,
}

/// A hybrid stamp.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode)]
pub struct StampEntry {
    /// Milliseconds since the Unix epoch.
    pub millis: u64,
    /// The counter within the millisecond.
    pub counter: u32,
}

/// What an instance says about its configuration.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct StatementEntry {
    /// The revision in force.
    pub revision: u64,
    /// The generation of the adopted rights record.
    pub generation: u64,
    /// The reclaims in that record.
    pub reclaims: u64,
    /// The age of the proof in microseconds, rounded up.
    pub proof_age_us: Option<u64>,
    /// Whether there ever was a proof.
    pub based: bool,
}

/// A heartbeat.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct HeartbeatRequest {
    /// The sender.
    pub sender: IncarnationEntry,
    /// The sender's place, until the receiver has answered once.
    pub place: Option<PlaceEntry>,
    /// Its configuration.
    pub statement: StatementEntry,
    /// Its clock.
    pub stamp: StampEntry,
    /// Facts that the receiver has not acknowledged.
    pub facts: Vec<FactEntry>,
    /// Incarnations that the sender knows of, when these changed.
    pub known: Vec<IncarnationEntry>,
    /// Transfer counters for the receiver that it has not acknowledged.
    pub counters: Vec<CounterEntry>,
    /// Whether `summaries` replaces all that the receiver knows.
    pub all_summaries: bool,
    /// Summaries of limits that changed.
    pub summaries: Vec<SummaryEntry>,
}

/// The answer to a heartbeat.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct HeartbeatAnswer {
    /// The answerer.
    pub sender: IncarnationEntry,
    /// Its configuration.
    pub statement: StatementEntry,
    /// Its clock.
    pub stamp: StampEntry,
    /// Whether the counters of the request are accounted for.
    pub counters_applied: bool,
}

/// A fact.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct FactEntry {
    /// What it is about.
    pub key: FactKeyEntry,
    /// What is stated.
    pub value: FactValueEntry,
}

/// What a fact is about.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub enum FactKeyEntry {
    /// A backend server and the reporter.
    ServerReport(String, IncarnationEntry),
    /// A request fingerprint and the reporter.
    CrashCount(u64, IncarnationEntry),
    /// A service and a version of it.
    VersionFault(String, String),
    /// The digest of a withdrawn key.
    KeyWithdrawn([u8; 32]),
    /// A draining instance.
    InstanceLeaving(IncarnationEntry),
}

/// What is stated.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub enum FactValueEntry {
    /// A report of a backend server.
    Server {
        /// Grows with each report.
        sequence: u64,
        /// Whether the server is healthy.
        healthy: bool,
        /// Whether it is leaving.
        leaving: bool,
        /// Requests running on it.
        load: u32,
        /// How long it has been up, in milliseconds.
        uptime_ms: u64,
    },
    /// A count.
    Count(u64),
    /// True once stated.
    Latched,
    /// True once stated, with a reason.
    LatchedBecause(String),
}

/// What the sender has ever given the receiver of a limit.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct CounterEntry {
    /// The limit.
    pub limit: String,
    /// The generation.
    pub generation: u64,
    /// Digest of the receiving incarnation.
    pub receiver: u64,
    /// Shares.
    pub shares: u64,
    /// Parts of a token.
    pub tokens: u128,
}

/// What the sender has of a limit.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct SummaryEntry {
    /// The limit.
    pub limit: String,
    /// Shares held.
    pub shares: u64,
    /// Shares it would give.
    pub spare: u64,
    /// Recent demand.
    pub demand: u64,
}

/// Asks for rights.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct RightsAskRequest {
    /// The asker.
    pub sender: IncarnationEntry,
    /// The limit.
    pub limit: String,
    /// Shares wanted.
    pub shares: u64,
    /// Parts of a token wanted.
    pub tokens: u64,
}

/// The answer to a rights ask.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct RightsAnswer {
    /// The giver.
    pub sender: IncarnationEntry,
    /// Its counters for the asker that are not acknowledged.
    pub counters: Vec<CounterEntry>,
}

/// All rows of a configuration.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct ConfigurationAnswer {
    /// Rows under `config/`, by key; empty when the asker's revision is not
    /// lower.
    pub rows: Vec<(String, Vec<u8>)>,
    /// The row `rights/generation`.
    pub generation: Option<Vec<u8>>,
}

/// Shares that went between the reporter and a fenced incarnation.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct PairEntry {
    /// The fenced incarnation.
    pub dead: IncarnationEntry,
    /// The limit.
    pub limit: String,
    /// Shares that the reporter gave.
    pub given: u64,
    /// Shares that the reporter received.
    pub received: u64,
}

/// What a survivor reports after it fenced incarnations.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct FenceAnswer {
    /// The reporter.
    pub sender: IncarnationEntry,
    /// The generation of its amounts.
    pub generation: u64,
    /// Everything that it refuses.
    pub fenced: Vec<IncarnationEntry>,
    /// What went between it and them.
    pub pairs: Vec<PairEntry>,
    /// Incarnations that are not fenced and exchanged shares with it.
    pub peers: Vec<IncarnationEntry>,
    /// Every incarnation that it knows of.
    pub known: Vec<IncarnationEntry>,
}

/// An event of the time line.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct EventEntry {
    /// When.
    pub stamp: StampEntry,
    /// Where.
    pub origin: IncarnationEntry,
    /// What.
    pub kind: String,
    /// To what.
    pub subject: String,
    /// More for the reader.
    pub detail: String,
}
