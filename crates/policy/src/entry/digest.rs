//! Digests: the state that instances exchange, and the view of the fleet that
//! each of them derives from it.
//!
//! An instance sends its digest to the other instances of its data centre. The
//! delegate of a data centre, its live instance with the lowest name, exchanges
//! bundles of these digests with the other delegates and forwards them to the
//! instances of its data centre. The number of messages between data centres thus
//! depends on the number of data centres, not on the number of instances.
//!
//! Two data centres that lose each other may both go on serving, and must not divide
//! the fleet-wide limits as if the other had failed. Each asks those that it hears for
//! the digests that they have of a data centre it misses.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use super::canary::RolloutEvidence;
use super::cold::STARTUP_PAUSE;
use super::crash::{CrashReport, ReportedCrashes, ServedReport};
use super::names::{CentreName, InstanceName, RegionName, TeamName};
use super::placement::text_hash;
use super::region_share::ServiceDemand;
use super::server_limit::{LimitReport, ReportedLimit};

/// Time without a digest after which an instance is taken as failed.
pub const FAILURE_TIMEOUT: Duration = Duration::from_secs(3);

/// Time for which the last digest of an instance counts in sums of demand, and the
/// instance as one that shares the fleet-wide limits. Longer than
/// [`FAILURE_TIMEOUT`], because an unreachable instance may still serve.
pub const DIGEST_RETENTION: Duration = Duration::from_secs(10);

/// Time without a digest of any of its instances after which a data centre is missed,
/// and others are asked for the digests that they have of it. Two intervals between
/// bundles, and a margin for their travel.
pub const MISSING_AFTER: Duration = Duration::from_millis(2200);

/// Time without a digest after which a data centre's reports are overdue: one
/// interval between bundles, and a quarter of another one.
pub const OVERDUE_AFTER: Duration = Duration::from_millis(1250);

/// Time without a digest after which a data centre is no longer asked for.
pub const MISSING_LIMIT: Duration = Duration::from_mins(1);

/// Time after the start of this instance in which registered instances without a
/// digest are assumed to hold their roles.
pub const STARTUP_PERIOD: Duration = Duration::from_secs(3);

/// The number of sharers of the fleet-wide limits while it is not known: the share
/// of this instance is zero.
pub const UNKNOWN_SHARERS: usize = usize::MAX;

/// The number of instances that a data centre is assumed to have while it is not known.
pub const UNKNOWN_CENTRE_MEMBERS: usize = 4;

/// The part of an instance in the limits of teams.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuotaRole<'a> {
    /// It holds the data centre's share.
    Holder,
    /// Another instance holds it.
    Member(&'a InstanceRecord),
    /// Another instance may hold it without this one knowing: right after a start, while
    /// no other instance is known, and while a holder hears nobody, for up to
    /// [`MISSING_LIMIT`]. It may be cut off from the others, and the next one takes its
    /// place.
    Unsure,
}

/// Whether callers may be directed to an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum InstanceState {
    /// It serves requests.
    Ready,
    /// It is running but has no current configuration.
    Unready,
    /// It is shutting down.
    Leaving,
    /// It is ready but reaches no backend server.
    Partitioned,
}

impl InstanceState {
    /// Whether the instance has current copies of the tables.
    #[must_use]
    pub fn is_current(self) -> bool {
        matches!(self, Self::Ready | Self::Partitioned)
    }
}

/// The location and the addresses of an instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceRecord {
    /// The instance.
    pub name: InstanceName,
    /// The start time of the process in milliseconds since the Unix epoch.
    /// Distinguishes two processes with the same name; not necessarily increasing,
    /// because a clock may be set back.
    pub start: i64,
    /// Its data centre.
    pub centre: CentreName,
    /// Its region.
    pub region: RegionName,
    /// The address for callers.
    pub front: SocketAddr,
    /// The address for other instances.
    pub peer: SocketAddr,
}

/// A short identifier of a backend server in digests: the low 16 bits of the hash
/// of its id. Servers whose tags collide appear more loaded than they are.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ServerTag(u16);

impl ServerTag {
    /// Creates the tag of a server from the hash of its id.
    #[must_use]
    pub fn new(hash: u64) -> Self {
        Self((hash & 0xffff) as u16)
    }
}

/// Identifies one backend server from its start on in digests: a hash of its id and the
/// time of its start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ServerIncarnation(u64);

impl ServerIncarnation {
    /// Creates the identifier of a server that started at a time in Unix milliseconds.
    #[must_use]
    pub fn new(id: &str, started: Option<i64>) -> Self {
        Self(text_hash(&format!("{id} {started:?}")))
    }
}

/// Identifies one backend server in digests, whichever of its starts: a hash of its id.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ServerKey(u64);

impl ServerKey {
    /// Creates the identifier of a server from the hash of its id.
    #[must_use]
    pub fn new(hash: u64) -> Self {
        Self(hash)
    }
}

/// Identifies a section of a digest. Instances ignore sections that they do not know, so
/// that a feature can add one without a change of the others.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct SectionTag(u8);

impl SectionTag {
    /// The singleton duties that the instance holds.
    pub const DUTIES: Self = Self(1);
    /// Shares of the teams' limits that the instance holds and hands over.
    pub const QUOTA_SHARES: Self = Self(2);
    /// What the instance has learned of the time that requests take.
    pub const WORK_ESTIMATES: Self = Self(3);
    /// The rates of objects in common use.
    pub const POPULAR_OBJECTS: Self = Self(4);
    /// Demand and rejections of services that are short of slots.
    pub const SERVICE_PRESSURE: Self = Self(5);
    /// The link of the instance and its use.
    pub const LINK: Self = Self(6);
    /// Servers whose process has ended.
    pub const ENDED_SERVERS: Self = Self(7);
    /// Servers whose process said that it is cold, though their entry does not.
    pub const COLD_SERVERS: Self = Self(8);
}

/// Why an instance does not use a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum SuspectReason {
    /// A connection attempt failed recently.
    Unreachable,
    /// Another server responds at its address.
    Replaced,
}

/// How many instances must report a server as unreachable before the others stop
/// using it. A single reporter may itself be partitioned. One report that a server
/// was replaced is enough, because it is certain.
pub const MIN_UNREACHABLE_REPORTS: usize = 2;

/// What the other instances report on servers that they do not use.
#[derive(Debug, Default)]
pub struct SuspectReports<'a> {
    by_server: BTreeMap<ServerTag, ServerReports<'a>>,
}

#[derive(Debug, Default)]
struct ServerReports<'a> {
    is_replaced: bool,
    /// The number of instances that cannot reach the server, by their region.
    unreachable: BTreeMap<&'a RegionName, usize>,
}

impl SuspectReports<'_> {
    /// Why an instance in one of `regions`, its own and that of the server, should not use
    /// the server; `None` if it may. What instances of a third region cannot reach may be
    /// cut off from them only.
    #[must_use]
    pub fn exclusion(
        &self,
        server: ServerTag,
        regions: &BTreeSet<&RegionName>,
    ) -> Option<SuspectReason> {
        let reports = self.by_server.get(&server)?;
        if reports.is_replaced {
            return Some(SuspectReason::Replaced);
        }
        let count = |region: &&RegionName| reports.unreachable.get(*region).copied();
        let unreachable: usize = regions.iter().filter_map(count).sum();
        (unreachable >= MIN_UNREACHABLE_REPORTS).then_some(SuspectReason::Unreachable)
    }
}

/// The state that an instance sends to the others.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct InstanceDigest {
    /// The sending instance.
    pub record: InstanceRecord,
    /// Increases with each digest of one process.
    pub sequence: u64,
    /// Whether callers may be directed to the instance.
    pub state: InstanceState,
    /// Demand by team, in requests per second.
    pub demands: Vec<(TeamName, f32)>,
    /// Evidence by rollout; the key identifies the rollout order.
    pub trials: Vec<(u64, RolloutEvidence)>,
    /// Observed crashes by request fingerprint.
    pub crashes: Vec<(u64, u32)>,
    /// Requests in progress by server; servers without any are left out.
    pub loads: Vec<(ServerTag, u8)>,
    /// Demand by service, with the regions in which requests may run.
    pub regions: Vec<ServiceDemand>,
    /// Servers that the instance does not use.
    pub suspects: Vec<(ServerTag, SuspectReason)>,
    /// The limits that servers stated to the instance. Encoded after the other fields,
    /// where instances of earlier versions ignore it.
    #[serde(skip)]
    pub server_limits: Vec<LimitReport>,
    /// The servers that told the instance that they are leaving. Encoded after the limits,
    /// where instances of earlier versions ignore it.
    #[serde(skip)]
    pub leaving_servers: Vec<ServerIncarnation>,
    /// The crashes behind the numbers in `crashes`. Encoded after the leaving servers.
    #[serde(skip)]
    pub crash_reports: Vec<CrashReport>,
    /// Requests that were served although servers had crashed. Encoded after the crashes.
    #[serde(skip)]
    pub served_reports: Vec<ServedReport>,
    /// Encoded sections of features that not all deployments use. They follow the served
    /// requests.
    #[serde(skip)]
    pub sections: BTreeMap<SectionTag, Vec<u8>>,
}

/// Groups encoded digests into datagrams of at most `max_bytes`, in order. Each
/// digest takes `overhead` bytes in addition to its length. A digest that exceeds
/// `max_bytes` by itself gets its own datagram.
#[must_use]
pub fn split_by_size(
    encoded: Vec<Vec<u8>>,
    overhead: usize,
    max_bytes: usize,
) -> Vec<Vec<Vec<u8>>> {
    let mut groups: Vec<Vec<Vec<u8>>> = Vec::new();
    let mut left = 0;
    for bytes in encoded {
        let size = bytes.len() + overhead;
        match groups.last_mut() {
            Some(group) if size <= left => group.push(bytes),
            _ => {
                groups.push(vec![bytes]);
                left = max_bytes;
            }
        }
        left = left.saturating_sub(size);
    }
    groups
}

#[derive(Debug)]
struct Member {
    digest: InstanceDigest,
    /// Hash of the instance's name.
    hash: u64,
    received_at: Instant,
    is_direct: bool,
}

/// The instances of the fleet, as known to one of them.
#[derive(Debug)]
pub struct InstanceTable {
    own: InstanceRecord,
    own_hash: u64,
    /// The number of data centres in the settings.
    configured_centres: usize,
    started: Instant,
    /// When the registered instances were first read, or began to count again.
    registrations_read: Option<Instant>,
    /// The first digest since the start or since others were last not heard.
    heard_since: Option<Instant>,
    last_heard_at: Option<Instant>,
    /// When this instance last heard others again.
    rejoined_at: Option<Instant>,
    /// The last digest that reported crashes.
    crashes_heard_at: Option<Instant>,
    members: BTreeMap<InstanceName, Member>,
    known: BTreeMap<InstanceName, InstanceRecord>,
}

impl InstanceTable {
    /// Creates a table that contains only this instance.
    #[must_use]
    pub fn new(own: InstanceRecord, now: Instant) -> Self {
        Self {
            own_hash: text_hash(own.name.as_str()),
            own,
            configured_centres: 1,
            started: now,
            registrations_read: None,
            heard_since: None,
            last_heard_at: None,
            rejoined_at: None,
            crashes_heard_at: None,
            members: BTreeMap::new(),
            known: BTreeMap::new(),
        }
    }

    /// The record of this instance.
    #[must_use]
    pub fn own(&self) -> &InstanceRecord {
        &self.own
    }

    /// Adds an instance that is registered in the store. It counts as live only
    /// after its first digest.
    pub fn register(&mut self, record: InstanceRecord) {
        if record.name != self.own.name {
            self.known.insert(record.name.clone(), record);
        }
    }

    /// Records that the registered instances were read.
    pub fn record_registrations_read(&mut self, now: Instant) {
        self.registrations_read.get_or_insert(now);
    }

    /// Stores a digest and returns whether it was new. `is_direct` says that it
    /// came from the instance itself and not through a delegate.
    pub fn receive(&mut self, digest: InstanceDigest, is_direct: bool, now: Instant) -> bool {
        let name = digest.record.name.clone();
        if name == self.own.name {
            return false;
        }
        if let Some(member) = self.members.get_mut(&name)
            && member.digest.record.start == digest.record.start
            && member.digest.sequence >= digest.sequence
        {
            return false;
        }
        self.record_heard(now);
        if !digest.crashes.is_empty() || !digest.served_reports.is_empty() {
            self.crashes_heard_at = Some(now);
        }
        self.known.insert(name.clone(), digest.record.clone());
        self.members.insert(
            name,
            Member {
                hash: text_hash(digest.record.name.as_str()),
                digest,
                received_at: now,
                is_direct,
            },
        );
        true
    }

    /// Records that a digest was received. After a silence, what is known of the others
    /// is as old as at a start, and their digests arrive one after the other.
    fn record_heard(&mut self, now: Instant) {
        let is_rejoining = self.last_heard_at.is_some() && self.hears_nobody(now);
        if is_rejoining {
            self.rejoined_at = Some(now);
            self.registrations_read = self.registrations_read.map(|_read| now);
        }
        if is_rejoining || self.heard_since.is_none() {
            self.heard_since = Some(now);
        }
        self.last_heard_at = Some(now);
    }

    /// Whether there are other instances and none was heard for [`FAILURE_TIMEOUT`]. They
    /// may have failed, or this instance is cut off or was paused.
    fn hears_nobody(&self, now: Instant) -> bool {
        self.hears_nobody_for(FAILURE_TIMEOUT, now)
    }

    fn hears_nobody_for(&self, span: Duration, now: Instant) -> bool {
        let last_heard_at = self.last_heard_at.unwrap_or(self.started);
        !self.known.is_empty() && now.saturating_duration_since(last_heard_at) >= span
    }

    fn received_within(&self, span: Duration, now: Instant) -> impl Iterator<Item = &Member> {
        self.members
            .values()
            .filter(move |member| now.saturating_duration_since(member.received_at) < span)
    }

    fn live(&self, now: Instant) -> impl Iterator<Item = &Member> {
        self.received_within(FAILURE_TIMEOUT, now)
    }

    fn retained(&self, now: Instant) -> impl Iterator<Item = &Member> {
        self.received_within(DIGEST_RETENTION, now)
    }

    /// The last digests within [`DIGEST_RETENTION`], without this instance's own.
    pub fn retained_digests(&self, now: Instant) -> impl Iterator<Item = &InstanceDigest> {
        self.retained(now).map(|member| &member.digest)
    }

    /// The last digests of the live instances, without this instance's own.
    pub fn live_digests(&self, now: Instant) -> impl Iterator<Item = &InstanceDigest> {
        self.live(now).map(|member| &member.digest)
    }

    /// The live instances in a state, without this one.
    pub fn in_state(
        &self,
        state: InstanceState,
        now: Instant,
    ) -> impl Iterator<Item = &InstanceRecord> {
        self.live(now)
            .filter(move |member| member.digest.state == state)
            .map(|member| &member.digest.record)
    }

    /// The live instances that callers may be directed to, without this one.
    pub fn ready(&self, now: Instant) -> impl Iterator<Item = &InstanceRecord> {
        self.in_state(InstanceState::Ready, now)
    }

    /// The hashes of the names of the instances that share the fleet-wide limits,
    /// this one included, or `None` if they are not known.
    ///
    /// These are the instances with a digest within [`DIGEST_RETENTION`]. For as
    /// long after the registered instances were read, those without a digest count
    /// too: after a start of the whole fleet, each instance would otherwise take the
    /// limits for its own until the others report. They also count while this instance
    /// hears nobody, and as long after it hears others again. An instance that cannot
    /// read them relies on digests once it has received them for [`STARTUP_PERIOD`].
    #[must_use]
    pub fn sharer_hashes(&self, now: Instant) -> Option<Vec<u64>> {
        let counts_known = self.counts_registered(now)?;
        let mut hashes: Vec<u64> = if counts_known {
            let names = self.known.keys();
            names.map(|name| text_hash(name.as_str())).collect()
        } else {
            self.retained(now).map(|member| member.hash).collect()
        };
        hashes.push(self.own_hash);
        Some(hashes)
    }

    /// Whether registered instances without a digest count as sharers, or `None` if the
    /// sharers are not known.
    fn counts_registered(&self, now: Instant) -> Option<bool> {
        let within = |since: Instant, span| now.saturating_duration_since(since) < span;
        match (self.registrations_read, self.heard_since) {
            (Some(read), _) => Some(within(read, DIGEST_RETENTION) || self.hears_nobody(now)),
            (None, Some(since)) if !within(since, STARTUP_PERIOD) => Some(self.hears_nobody(now)),
            (None, _) => None,
        }
    }

    /// The instances that share the rate of cold servers, as in
    /// [`InstanceTable::sharer_hashes`], or `None` while this instance must not send
    /// to cold servers: right after its start, and while it hears nobody or has just
    /// heard others again, as they may have divided the rate without it.
    #[must_use]
    pub fn cold_sharer_hashes(&self, now: Instant) -> Option<Vec<u64>> {
        let within_pause = |since| now.saturating_duration_since(since) < STARTUP_PAUSE;
        let is_paused = within_pause(self.started)
            || self.rejoined_at.is_some_and(within_pause)
            || self.hears_nobody(now);
        self.sharer_hashes(now).filter(|_| !is_paused)
    }

    /// The number of instances that share the fleet-wide limits, or
    /// [`UNKNOWN_SHARERS`].
    #[must_use]
    pub fn sharer_count(&self, now: Instant) -> usize {
        self.sharer_hashes(now)
            .map_or(UNKNOWN_SHARERS, |hashes| hashes.len())
    }

    /// The time since this instance started.
    #[must_use]
    pub fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.started)
    }

    /// The hash of this instance's name.
    #[must_use]
    pub fn own_hash(&self) -> u64 {
        self.own_hash
    }

    /// The candidate with the lowest name, if that is lower than the name of this
    /// instance.
    fn lowest_below_own<'a>(
        &self,
        candidates: impl Iterator<Item = &'a InstanceRecord>,
    ) -> Option<&'a InstanceRecord> {
        candidates
            .filter(|record| record.name < self.own.name)
            .min_by(|a, b| a.name.cmp(&b.name))
    }

    /// The live instances of this data centre whose digest came from themselves
    /// and whose state fits.
    fn direct_in_centre(
        &self,
        now: Instant,
        fits: impl Fn(InstanceState) -> bool,
    ) -> impl Iterator<Item = &InstanceRecord> {
        self.live(now)
            .filter(move |member| member.is_direct && fits(member.digest.state))
            .map(|member| &member.digest.record)
            .filter(|record| record.centre == self.own.centre)
    }

    /// Whether this instance is the delegate of its data centre, which exchanges
    /// digests with the other data centres.
    #[must_use]
    pub fn is_delegate(&self, now: Instant) -> bool {
        self.lowest_below_own(self.direct_in_centre(now, |_any| true))
            .is_none()
    }

    /// Whether this instance writes records on behalf of the fleet: no ready
    /// instance has a lower name.
    #[must_use]
    pub fn is_fleet_writer(&self, now: Instant) -> bool {
        self.lowest_below_own(self.ready(now)).is_none()
    }

    /// The instance that reads the table service for this data centre: the live and
    /// ready one with the lowest name. `None` if it is this instance.
    #[must_use]
    pub fn table_reader(&self, now: Instant) -> Option<&InstanceRecord> {
        self.lowest_below_own(self.direct_in_centre(now, InstanceState::is_current))
    }

    /// The part of this instance in the limits of teams.
    #[must_use]
    pub fn quota_role(&self, now: Instant) -> QuotaRole<'_> {
        if self.counts_registered(now).is_none() {
            return QuotaRole::Unsure;
        }
        match self.quota_holder(now) {
            Some(holder) => QuotaRole::Member(holder),
            None if self.hears_nobody_for(OVERDUE_AFTER, now)
                && !self.hears_nobody_for(MISSING_LIMIT, now) =>
            {
                QuotaRole::Unsure
            }
            None => QuotaRole::Holder,
        }
    }

    /// Sets the number of data centres in the settings.
    pub fn set_configured_centres(&mut self, count: usize) {
        self.configured_centres = count;
    }

    /// The number of instances in this data centre. While others are not known, it is
    /// assumed to be [`UNKNOWN_CENTRE_MEMBERS`] at least.
    #[must_use]
    pub fn centre_members(&self, now: Instant) -> usize {
        let known = self.centre_peers().count() + 1;
        match self.counts_registered(now) {
            Some(_) => known,
            None => known.max(UNKNOWN_CENTRE_MEMBERS),
        }
    }

    /// The instance that holds the token buckets of this data centre: the live one
    /// with the lowest name, or right after a start the registered one. `None` if it
    /// is this instance.
    #[must_use]
    pub fn quota_holder(&self, now: Instant) -> Option<&InstanceRecord> {
        let starting = now.saturating_duration_since(self.started) < STARTUP_PERIOD;
        let registered = self.known.values().filter(|record| {
            starting && record.centre == self.own.centre && !self.members.contains_key(&record.name)
        });
        let live = self.direct_in_centre(now, |state| state != InstanceState::Leaving);
        self.lowest_below_own(live.chain(registered))
    }

    /// The number of data centres that have instances, this one included. While others
    /// are not known, all data centres of the settings count.
    #[must_use]
    pub fn centre_count(&self, now: Instant) -> usize {
        let assumed = match self.counts_registered(now) {
            Some(_) => 1,
            None => self.configured_centres,
        };
        let starting = now.saturating_duration_since(self.started) < STARTUP_PERIOD;
        let received = self.retained(now).map(|member| &member.digest.record);
        let registered = self.known.values().filter(|_| starting);
        let mut centres: BTreeSet<&CentreName> = received
            .chain(registered)
            .map(|record| &record.centre)
            .collect();
        centres.insert(&self.own.centre);
        centres.len().max(assumed)
    }

    /// All known instances, live or not, without this one.
    pub fn known_instances(&self) -> impl Iterator<Item = &InstanceRecord> {
        self.known.values()
    }

    /// The known instances of this data centre, live or not, which get the digest of
    /// this instance directly.
    pub fn centre_peers(&self) -> impl Iterator<Item = &InstanceRecord> {
        self.known
            .values()
            .filter(|record| record.centre == self.own.centre)
    }

    /// The live and ready instances of this data centre, without this one.
    pub fn ready_centre_peers(&self, now: Instant) -> impl Iterator<Item = &InstanceRecord> {
        self.ready(now)
            .filter(|record| record.centre == self.own.centre)
    }

    /// The instances that receive bundles of digests: of each other data centre the
    /// live instance with the lowest name, or if none is live, all known ones.
    #[must_use]
    pub fn remote_delegates(&self, now: Instant) -> Vec<&InstanceRecord> {
        let mut chosen: BTreeMap<&CentreName, Vec<&InstanceRecord>> = BTreeMap::new();
        for member in self.live(now) {
            let record = &member.digest.record;
            let lowest = chosen.entry(&record.centre).or_insert_with(|| vec![record]);
            if record.name < lowest[0].name {
                lowest[0] = record;
            }
        }
        let live: Vec<&CentreName> = chosen.keys().copied().collect();
        for record in self.known.values() {
            if !live.contains(&&record.centre) {
                chosen.entry(&record.centre).or_default().push(record);
            }
        }
        chosen.remove(&self.own.centre);
        chosen.into_values().flatten().collect()
    }

    /// The digests of this data centre that a delegate forwards, without its own.
    #[must_use]
    pub fn centre_digests(&self, now: Instant) -> Vec<InstanceDigest> {
        self.live(now)
            .filter(|member| member.is_direct && member.digest.record.centre == self.own.centre)
            .map(|member| member.digest.clone())
            .collect()
    }

    /// The other data centres, each with the time of the last digest of any of its
    /// instances. Those that were never heard count from the start of this instance.
    fn last_heard(&self) -> BTreeMap<&CentreName, Instant> {
        let mut last_heard: BTreeMap<&CentreName, Instant> = BTreeMap::new();
        for member in self.members.values() {
            let heard = last_heard
                .entry(&member.digest.record.centre)
                .or_insert(member.received_at);
            *heard = (*heard).max(member.received_at);
        }
        for record in self.known.values() {
            last_heard.entry(&record.centre).or_insert(self.started);
        }
        last_heard.remove(&self.own.centre);
        last_heard
    }

    /// The data centres of which this instance has had no digest for
    /// [`MISSING_AFTER`], for up to [`MISSING_LIMIT`].
    #[must_use]
    pub fn missing_centres(&self, now: Instant) -> BTreeSet<CentreName> {
        let silences = MISSING_AFTER..MISSING_LIMIT;
        self.last_heard()
            .into_iter()
            .filter(|(_, heard)| silences.contains(&now.saturating_duration_since(*heard)))
            .map(|(centre, _)| centre.clone())
            .collect()
    }

    /// Whether the reports of a data centre that still counts are overdue.
    #[must_use]
    pub fn has_overdue_reports(&self, now: Instant) -> bool {
        let silences = OVERDUE_AFTER..DIGEST_RETENTION;
        self.last_heard()
            .into_values()
            .any(|heard| silences.contains(&now.saturating_duration_since(heard)))
    }

    /// The digests of the live instances of some data centres, for another instance
    /// that misses them.
    #[must_use]
    pub fn digests_of(&self, centres: &BTreeSet<CentreName>, now: Instant) -> Vec<InstanceDigest> {
        self.live(now)
            .filter(|member| centres.contains(&member.digest.record.centre))
            .map(|member| member.digest.clone())
            .collect()
    }

    /// The demand of each team at the other instances, in requests per second.
    #[must_use]
    pub fn other_demands(&self, now: Instant) -> BTreeMap<TeamName, f64> {
        let mut sums = BTreeMap::new();
        for member in self.retained(now) {
            for (team, rate) in &member.digest.demands {
                *sums.entry(team.clone()).or_insert(0.0) += f64::from(*rate);
            }
        }
        sums
    }

    /// The demand by service that the other live instances report, each with the
    /// region of the instance.
    pub fn other_regions(
        &self,
        now: Instant,
    ) -> impl Iterator<Item = (&RegionName, &ServiceDemand)> {
        self.live(now).flat_map(|member| {
            let demands = member.digest.regions.iter();
            demands.map(|demand| (&member.digest.record.region, demand))
        })
    }

    /// The requests of the other live instances in progress at each server.
    #[must_use]
    pub fn other_loads(&self, now: Instant) -> BTreeMap<ServerTag, f64> {
        let mut sums = BTreeMap::new();
        for (tag, count) in self.live(now).flat_map(|member| &member.digest.loads) {
            *sums.entry(*tag).or_insert(0.0) += f64::from(*count);
        }
        sums
    }

    /// The reports of the other live instances on servers that they do not use.
    #[must_use]
    pub fn suspects(&self, now: Instant) -> SuspectReports<'_> {
        let mut reports = SuspectReports::default();
        for member in self.live(now) {
            for (tag, reason) in &member.digest.suspects {
                let found = reports.by_server.entry(*tag).or_default();
                match reason {
                    SuspectReason::Replaced => found.is_replaced = true,
                    SuspectReason::Unreachable => {
                        *found
                            .unreachable
                            .entry(&member.digest.record.region)
                            .or_insert(0) += 1;
                    }
                }
            }
        }
        reports
    }

    /// The limits of servers that the other instances report. Those that are no longer
    /// live count as long as they share the limits.
    #[must_use]
    pub fn server_limits(&self, now: Instant) -> BTreeMap<ServerTag, ReportedLimit> {
        let mut limits: BTreeMap<ServerTag, ReportedLimit> = BTreeMap::new();
        for member in self.retained(now) {
            for report in &member.digest.server_limits {
                let limit = limits.entry(report.server).or_default();
                limit.add(report, member.received_at);
            }
        }
        limits
    }

    /// The servers that told other instances that they are leaving.
    #[must_use]
    pub fn leaving_servers(&self, now: Instant) -> BTreeSet<ServerIncarnation> {
        self.retained(now)
            .flat_map(|member| member.digest.leaving_servers.iter().copied())
            .collect()
    }

    /// The sum of the other instances' evidence on one rollout, failed instances
    /// included.
    #[must_use]
    pub fn other_evidence(&self, order: u64) -> RolloutEvidence {
        self.members
            .values()
            .flat_map(|member| &member.digest.trials)
            .filter(|(key, _)| *key == order)
            .fold(RolloutEvidence::default(), |sum, (_, evidence)| {
                sum.plus(*evidence)
            })
    }

    /// What the other instances reported of a fingerprint. Instances of earlier versions
    /// report only numbers of crashes.
    #[must_use]
    pub fn other_crashes(&self, fingerprint: u64, now: Instant) -> ReportedCrashes {
        let mut reported = ReportedCrashes::default();
        let is_recent = |at| now.saturating_duration_since(at) < DIGEST_RETENTION;
        if !self.crashes_heard_at.is_some_and(is_recent) {
            return reported;
        }
        for member in self.retained(now) {
            let digest = &member.digest;
            let is_same = |found: u64| found == fingerprint;
            let named = digest.crash_reports.iter();
            let named: Vec<&CrashReport> = named.filter(|it| is_same(it.fingerprint)).collect();
            if named.is_empty() {
                let counts = digest.crashes.iter().filter(|(found, _)| is_same(*found));
                counts.for_each(|(_, count)| reported.add_unnamed(*count));
            }
            for report in named {
                reported.add_crash(report, member.received_at);
            }
            for report in &digest.served_reports {
                if is_same(report.fingerprint) {
                    reported.add_served(report, member.received_at);
                }
            }
        }
        reported
    }
}
