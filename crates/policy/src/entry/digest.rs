//! What instances tell each other, and what follows from it.
//!
//! An instance sends its digest to the others of its data centre. The delegate
//! of a data centre, its live instance with the lowest name, exchanges bundles
//! of these digests with the other delegates and hands them on. The cost
//! between data centres thus grows with their number, not with that of the
//! instances.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use super::names::{CentreName, InstanceName, RegionName, TeamName};
use super::placement::text_hash;
use super::region_share::ServiceDemand;
use super::trial::RolloutEvidence;

/// How long an instance that is not heard from counts as live.
pub const FAILURE_TIMEOUT: Duration = Duration::from_secs(3);

/// How long its last digest still counts in sums of demand and evidence. Longer
/// than [`FAILURE_TIMEOUT`], because an instance that cannot be heard may still serve.
pub const DIGEST_RETENTION: Duration = Duration::from_secs(10);

/// Time after a start in which registered instances that were not heard yet are
/// assumed to share the fleet's limits.
pub const STARTUP_PERIOD: Duration = Duration::from_secs(3);

/// Whether callers may be sent to an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum InstanceState {
    /// It serves.
    Ready,
    /// It runs but has no current configuration.
    Unready,
    /// It is stopping.
    Leaving,
}

/// Where an instance is and how it is reached.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceRecord {
    /// The instance.
    pub name: InstanceName,
    /// The start of the process, in milliseconds since the Unix epoch. Tells
    /// two starts apart; a higher one is not always later.
    pub start: i64,
    /// Its data centre.
    pub centre: CentreName,
    /// Its region.
    pub region: RegionName,
    /// Where callers connect.
    pub front: SocketAddr,
    /// Where other instances connect.
    pub peer: SocketAddr,
}

/// A short name of a backend server in digests: the low bits of the hash of its
/// id. Two servers with one tag look busier than they are.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ServerTag(u16);

impl ServerTag {
    /// The tag of a server from the hash of its id.
    #[must_use]
    pub fn new(hash: u64) -> Self {
        Self((hash & 0xffff) as u16)
    }
}

/// Why an instance does not use a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum SuspectReason {
    /// No connection could be opened not long ago.
    Unreachable,
    /// Another server answers at its address.
    Replaced,
}

/// How many instances must find a server unreachable before the others leave it.
/// One alone may itself be cut off. That a server was replaced is certain.
pub const MIN_UNREACHABLE_REPORTS: usize = 2;

/// The state that one instance tells the others.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct InstanceDigest {
    /// The instance.
    pub record: InstanceRecord,
    /// Grows with each digest of one start.
    pub sequence: u64,
    /// Whether callers may be sent there.
    pub state: InstanceState,
    /// Requests per second by team.
    pub demands: Vec<(TeamName, f32)>,
    /// Evidence by rollout; the key identifies the order.
    pub trials: Vec<(u64, RolloutEvidence)>,
    /// Crashes by request fingerprint.
    pub crashes: Vec<(u64, u32)>,
    /// Requests in progress by server, where there are any.
    pub loads: Vec<(ServerTag, u8)>,
    /// Where its requests may run, by service.
    pub regions: Vec<ServiceDemand>,
    /// Servers that it does not use.
    pub suspects: Vec<(ServerTag, SuspectReason)>,
}

/// Divides encoded digests over datagrams, in order. Each counts `overhead` bytes
/// more than its length; one that exceeds `max_bytes` by itself gets its own datagram.
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
    /// Of its name.
    hash: u64,
    received_at: Instant,
    is_direct: bool,
}

/// All instances as far as one of them knows.
#[derive(Debug)]
pub struct InstanceTable {
    own: InstanceRecord,
    own_hash: u64,
    started: Instant,
    members: BTreeMap<InstanceName, Member>,
    known: BTreeMap<InstanceName, InstanceRecord>,
}

impl InstanceTable {
    /// Creates a table that knows only its own instance.
    #[must_use]
    pub fn new(own: InstanceRecord, now: Instant) -> Self {
        Self {
            own_hash: text_hash(own.name.as_str()),
            own,
            started: now,
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
    /// once it is heard.
    pub fn register(&mut self, record: InstanceRecord) {
        if record.name != self.own.name {
            self.known.insert(record.name.clone(), record);
        }
    }

    /// Takes a digest. `is_direct` tells that it came from the instance itself.
    /// Returns whether it was new.
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

    /// Live instances in a state in which callers may be sent to them.
    pub fn ready(&self, now: Instant) -> impl Iterator<Item = &InstanceRecord> {
        self.live(now)
            .filter(|member| member.digest.state == InstanceState::Ready)
            .map(|member| &member.digest.record)
    }

    /// How many instances share the fleet's limits: those that were heard not
    /// long ago, and this one.
    #[must_use]
    pub fn sharer_count(&self, now: Instant) -> usize {
        let retained = self.retained(now).count() + 1;
        // Right after a start not all were heard; the registered ones count.
        if now.saturating_duration_since(self.started) < STARTUP_PERIOD {
            retained.max(self.known.len() + 1)
        } else {
            retained
        }
    }

    /// The hashes of the names of the instances that share the fleet's limits.
    #[must_use]
    pub fn sharer_hashes(&self, now: Instant) -> Vec<u64> {
        let mut hashes: Vec<u64> = self.retained(now).map(|member| member.hash).collect();
        hashes.push(self.own_hash);
        hashes
    }

    /// The hash of this instance's name.
    #[must_use]
    pub fn own_hash(&self) -> u64 {
        self.own_hash
    }

    /// The instance with the lowest name among those that fit, if it is below
    /// this one's.
    fn lowest_below_own<'a>(
        &self,
        fitting: impl Iterator<Item = &'a InstanceRecord>,
    ) -> Option<&'a InstanceRecord> {
        fitting
            .filter(|record| record.name < self.own.name)
            .min_by(|a, b| a.name.cmp(&b.name))
    }

    /// Instances of this data centre that were heard themselves, in a state.
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

    /// Whether this instance speaks for its data centre.
    #[must_use]
    pub fn is_delegate(&self, now: Instant) -> bool {
        self.lowest_below_own(self.direct_in_centre(now, |_any| true))
            .is_none()
    }

    /// Whether this instance has the lowest name of all live ones, so that it
    /// writes records on behalf of the fleet.
    #[must_use]
    pub fn is_fleet_writer(&self, now: Instant) -> bool {
        self.lowest_below_own(self.ready(now)).is_none()
    }

    /// The instance that reads the table service for this data centre, if it is
    /// another one: the live and ready one with the lowest name.
    #[must_use]
    pub fn table_reader(&self, now: Instant) -> Option<&InstanceRecord> {
        self.lowest_below_own(self.direct_in_centre(now, |state| state == InstanceState::Ready))
    }

    /// The instance that holds this data centre's part of the teams' limits, if
    /// it is another one: the live one with the lowest name, or right after a
    /// start the registered one.
    #[must_use]
    pub fn quota_holder(&self, now: Instant) -> Option<&InstanceRecord> {
        let starting = now.saturating_duration_since(self.started) < STARTUP_PERIOD;
        let unheard = self.known.values().filter(|record| {
            starting && record.centre == self.own.centre && !self.members.contains_key(&record.name)
        });
        let live = self.direct_in_centre(now, |state| state != InstanceState::Leaving);
        self.lowest_below_own(live.chain(unheard))
    }

    /// How many data centres have instances, this one included.
    #[must_use]
    pub fn centre_count(&self, now: Instant) -> usize {
        let starting = now.saturating_duration_since(self.started) < STARTUP_PERIOD;
        let received = self.retained(now).map(|member| &member.digest.record);
        let registered = self.known.values().filter(|_| starting);
        let mut centres: BTreeSet<&CentreName> = received
            .chain(registered)
            .map(|record| &record.centre)
            .collect();
        centres.insert(&self.own.centre);
        centres.len()
    }

    /// Registered and heard instances of this data centre, for direct digests.
    pub fn centre_peers(&self) -> impl Iterator<Item = &InstanceRecord> {
        self.known
            .values()
            .filter(|record| record.centre == self.own.centre)
    }

    /// Live neighbours, for reading what they hold, ready ones only.
    pub fn ready_centre_peers(&self, now: Instant) -> impl Iterator<Item = &InstanceRecord> {
        self.ready(now)
            .filter(|record| record.centre == self.own.centre)
    }

    /// The instances that receive bundles: of each other data centre the live
    /// instance with the lowest name, or if none is live the registered ones.
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

    /// The digests of this data centre that a delegate sends, without its own.
    #[must_use]
    pub fn centre_digests(&self, now: Instant) -> Vec<InstanceDigest> {
        self.live(now)
            .filter(|member| member.is_direct && member.digest.record.centre == self.own.centre)
            .map(|member| member.digest.clone())
            .collect()
    }

    /// The demand of each team at the other instances.
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

    /// What the live instances report of where requests may run, each with its
    /// region.
    pub fn other_regions(
        &self,
        now: Instant,
    ) -> impl Iterator<Item = (&RegionName, &ServiceDemand)> {
        self.live(now).flat_map(|member| {
            let demands = member.digest.regions.iter();
            demands.map(|demand| (&member.digest.record.region, demand))
        })
    }

    /// Requests in progress at each server from the other instances.
    #[must_use]
    pub fn other_loads(&self, now: Instant) -> BTreeMap<ServerTag, f64> {
        let mut sums = BTreeMap::new();
        for (tag, count) in self.live(now).flat_map(|member| &member.digest.loads) {
            *sums.entry(*tag).or_insert(0.0) += f64::from(*count);
        }
        sums
    }

    /// The servers that the others' reports exclude.
    #[must_use]
    pub fn suspects(&self, now: Instant) -> BTreeSet<ServerTag> {
        let mut witnesses: BTreeMap<ServerTag, usize> = BTreeMap::new();
        for (tag, reason) in self.live(now).flat_map(|member| &member.digest.suspects) {
            *witnesses.entry(*tag).or_insert(0) += match reason {
                SuspectReason::Unreachable => 1,
                SuspectReason::Replaced => MIN_UNREACHABLE_REPORTS,
            };
        }
        witnesses.retain(|_, count| *count >= MIN_UNREACHABLE_REPORTS);
        witnesses.into_keys().collect()
    }

    /// The evidence of the other instances on one rollout.
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

    /// Crashes of a fingerprint that the others reported.
    #[must_use]
    pub fn other_crashes(&self, fingerprint: u64) -> u32 {
        self.members
            .values()
            .flat_map(|member| &member.digest.crashes)
            .filter(|(key, _)| *key == fingerprint)
            .map(|(_, count)| count)
            .sum()
    }
}
