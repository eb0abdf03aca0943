//! Shares of the teams' limits that cannot add up to more than one, whatever messages
//! are lost or late.
//!
//! Each data centre owns an equal base share. A part of it belongs to its instances, the
//! rest to its quota holder. Who gives a share stops using it before the other side can
//! begin, and uses it again only after the other side must have stopped: because it said
//! so, or because what it received has expired by its own clock. The clock must count
//! the time in which the machine is suspended. See `docs/design/team-limit-shares.md`.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use super::digest::STARTUP_PERIOD;
use super::digest::{DIGEST_RETENTION, InstanceDigest, InstanceRecord, MISSING_LIMIT};
use super::names::{CentreName, InstanceName, TeamName};
use super::placement::text_hash;

/// Time for which an echo lends the part of an instance to its holder, from the time of
/// the digest that is echoed. Four intervals between digests in a data centre.
pub const LOCAL_VALIDITY: Duration = Duration::from_secs(2);

/// Time for which a loan between data centres is valid, from the time of the borrower's
/// digest that is echoed. Echoes are up to three intervals between bundles old.
pub const REMOTE_VALIDITY: Duration = Duration::from_secs(5);

/// Additional time that a giver waits: clocks that run at different speeds, and a
/// borrower that is suspended between its check and its send.
pub const EXPIRY_MARGIN: Duration = Duration::from_millis(200);

/// The fraction of a base share that belongs to the instances of the data centre, and is
/// not lent to others.
pub const MEMBER_FRACTION: f64 = 0.2;

/// The part of a limit that is divided equally, beside the demand: the first requests of a
/// team are admitted everywhere.
const SPREAD_FRACTION: f64 = 0.15;

/// A loan is changed if it differs from the intended one by more than this fraction of a
/// base share. A lowered loan is unused until the borrower has echoed it.
const LOAN_STEP_FRACTION: f64 = 0.1;

/// The maximum number of loans in a digest, so that it fits in a datagram.
const MAX_LOANS: usize = 64;

/// The number of own digests whose times are kept: more than are sent within
/// [`REMOTE_VALIDITY`].
const MAX_SENT: usize = 64;

/// Time after the start in which data centres without a registered instance count.
const UNUSED_CENTRES_AFTER: Duration = Duration::from_secs(4);

/// One process of an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ProcessTag(u32);

impl ProcessTag {
    /// The tag of the process that a record describes.
    #[must_use]
    pub fn new(record: &InstanceRecord) -> Self {
        let text = format!("{} {}", record.name, record.start);
        Self((text_hash(&text) & 0xffff_ffff) as u32)
    }
}

/// A team in loans.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct TeamTag(u32);

impl TeamTag {
    /// The tag of a team.
    #[must_use]
    pub fn new(team: &TeamName) -> Self {
        Self((text_hash(team.as_str()) & 0xffff_ffff) as u32)
    }
}

/// A part of a limit, in units of 1/65,535.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ShareUnits(u16);

impl ShareUnits {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "clamped to the range"
    )]
    fn floor(share: f64) -> Self {
        Self((share.clamp(0.0, 1.0) * f64::from(u16::MAX)).floor() as u16)
    }

    fn share(self) -> f64 {
        f64::from(self.0) / f64::from(u16::MAX)
    }
}

/// The newest digest that the sender has of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct DigestEcho {
    process: ProcessTag,
    sequence: u64,
}

/// A part of a team's limit that one holder lends to another.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShareLoan {
    borrower: ProcessTag,
    team: TeamTag,
    share: ShareUnits,
}

/// What a quota holder says.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HolderClaim {
    /// The digest with which it obtained the main part; 0 if it does not have it.
    obtained: u64,
    /// The newest digests that it has of the holders of other data centres.
    echoes: Vec<DigestEcho>,
    loans: Vec<ShareLoan>,
}

/// The section of a digest.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShareSection {
    /// The newest digest of the holder that the sender follows.
    follows: Option<DigestEcho>,
    claim: Option<HolderClaim>,
}

impl ShareSection {
    /// Whether other data centres need the section.
    #[must_use]
    pub fn has_claim(&self) -> bool {
        self.claim.is_some()
    }
}

/// What changed in the role of an instance, for the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ShareEvent {
    /// The instance has the main part; what its predecessor lent may still be in use.
    MainObtained,
    /// What a predecessor lent is no longer in use.
    MainCleared,
    /// Too few instances follow this one, or it is no longer the holder.
    MainLost,
}

/// The sums of the shares of an instance, for the log and the metrics.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ShareSummary {
    /// The number of loans given.
    pub loans_given: usize,
    /// The number of loans received that are valid.
    pub loans_received: usize,
    /// The number of other instances of the data centre that follow this one.
    pub followers: usize,
}

#[derive(Debug)]
struct Peer {
    process: ProcessTag,
    centre: CentreName,
    sequence: u64,
    received_at: Instant,
    is_current: bool,
    section: Option<ShareSection>,
    /// Until when its part is lent to this instance.
    follows_until: Option<Instant>,
    demands: BTreeMap<TeamTag, f64>,
}

impl Peer {
    fn claim(&self) -> Option<&HolderClaim> {
        self.section.as_ref()?.claim.as_ref()
    }

    fn echo_of(&self, process: ProcessTag) -> Option<u64> {
        let mut echoes = self.claim()?.echoes.iter();
        let echo = echoes.find(|echo| echo.process == process)?;
        Some(echo.sequence)
    }

    fn heard_within(&self, span: Duration, now: Instant) -> bool {
        now.saturating_duration_since(self.received_at) < span
    }
}

#[derive(Debug)]
struct MainPart {
    obtained: u64,
    obtained_at: Instant,
    /// The other data centres whose holders have dropped what a predecessor lent.
    cleared_by: BTreeSet<CentreName>,
    is_cleared: bool,
}

#[derive(Debug)]
struct PublishedLoans {
    sequence: u64,
    at: Instant,
    loans: BTreeMap<(ProcessTag, TeamTag), ShareUnits>,
}

#[derive(Debug)]
struct Following {
    process: ProcessTag,
    received_at: Instant,
}

#[derive(Debug, Clone, Copy)]
struct Lender {
    process: ProcessTag,
    obtained: u64,
}

/// The shares of one instance in the teams' limits.
#[derive(Debug)]
pub struct ShareLedger {
    own: ProcessTag,
    own_name: InstanceName,
    own_centre: CentreName,
    started: Instant,
    configured_centres: usize,
    known_centres: BTreeSet<CentreName>,
    centre_members: BTreeSet<InstanceName>,
    /// The number and time of own digests.
    sent: VecDeque<(u64, Instant)>,
    peers: BTreeMap<InstanceName, Peer>,
    /// The holder that this instance takes for the right one.
    holder: Option<ProcessTag>,
    following: Option<Following>,
    main: Option<MainPart>,
    published: VecDeque<PublishedLoans>,
    /// What other holders may use of this one's main part.
    committed: BTreeMap<TeamTag, f64>,
    /// The holder of each other data centre whose loans are used.
    lenders: BTreeMap<CentreName, Lender>,
    /// The last claims of holders that were replaced as lenders.
    replaced: BTreeMap<ProcessTag, u64>,
    borrowed: BTreeMap<TeamTag, Vec<(Instant, f64)>>,
    /// The claims that were echoed.
    echoed_claims: BTreeMap<ProcessTag, u64>,
    events: Vec<ShareEvent>,
}

impl ShareLedger {
    /// Creates the ledger of an instance that has just started.
    #[must_use]
    pub fn new(own: &InstanceRecord, configured_centres: usize, now: Instant) -> Self {
        Self {
            own: ProcessTag::new(own),
            own_name: own.name.clone(),
            own_centre: own.centre.clone(),
            started: now,
            configured_centres,
            known_centres: BTreeSet::new(),
            centre_members: BTreeSet::new(),
            sent: VecDeque::new(),
            peers: BTreeMap::new(),
            holder: None,
            following: None,
            main: None,
            published: VecDeque::new(),
            committed: BTreeMap::new(),
            lenders: BTreeMap::new(),
            replaced: BTreeMap::new(),
            borrowed: BTreeMap::new(),
            echoed_claims: BTreeMap::new(),
            events: Vec::new(),
        }
    }

    /// Sets the known instances, this one included or not.
    pub fn set_known<'a>(&mut self, known: impl Iterator<Item = &'a InstanceRecord>) {
        for record in known {
            if record.centre != self.own_centre {
                self.known_centres.insert(record.centre.clone());
            } else if record.name != self.own_name {
                self.centre_members.insert(record.name.clone());
            }
        }
    }

    /// The events since the last call.
    pub fn take_events(&mut self) -> Vec<ShareEvent> {
        std::mem::take(&mut self.events)
    }

    /// Stores the digest of another instance with its section, `None` if it has none.
    /// Returns whether an own digest should be sent at once, because others wait for it
    /// after a change of a holder.
    pub fn receive(
        &mut self,
        digest: &InstanceDigest,
        section: Option<ShareSection>,
        now: Instant,
    ) -> bool {
        self.check_main(now);
        let record = &digest.record;
        let process = ProcessTag::new(record);
        self.set_known(std::iter::once(record));
        if self
            .peers
            .get(&record.name)
            .is_some_and(|peer| peer.process == process && peer.sequence >= digest.sequence)
        {
            return false;
        }
        let is_current = digest.state.is_current();
        let is_own_centre = record.centre == self.own_centre;
        let follows_until = match &section {
            _ if !is_own_centre => None,
            Some(section) => section.follows.and_then(|echo| {
                let sent_at = self.sent_at(echo.sequence)?;
                (echo.process == self.own).then_some(sent_at + LOCAL_VALIDITY)
            }),
            None => (is_current && self.holder == Some(self.own)).then_some(now + LOCAL_VALIDITY),
        };
        let has_claim = section.as_ref().is_some_and(ShareSection::has_claim);
        let demands = digest.demands.iter().filter(|_| has_claim);
        let demands = demands.map(|(team, rate)| (TeamTag::new(team), f64::from(*rate)));
        let peer = Peer {
            process,
            centre: record.centre.clone(),
            sequence: digest.sequence,
            received_at: now,
            is_current,
            section,
            follows_until,
            demands: demands.collect(),
        };
        let is_waited_for = if is_own_centre {
            self.holder == Some(process)
                && self.is_free(now)
                && self
                    .following
                    .as_ref()
                    .is_none_or(|it| it.process != process)
        } else {
            self.accept_lender(&peer);
            let obtained = peer.claim().map_or(0, |claim| claim.obtained);
            self.main.is_some()
                && obtained > 0
                && self.echoed_claims.get(&process) != Some(&obtained)
        };
        self.peers.insert(record.name.clone(), peer);
        if !is_own_centre {
            self.check_cleared(now);
            self.update_loans(now);
        }
        is_waited_for
            || self.holder == Some(self.own) && self.main.is_none() && self.has_quorum(now)
    }

    /// Uses the loans of the last holder of a data centre that obtained its main part.
    fn accept_lender(&mut self, peer: &Peer) {
        let Some(claim) = peer.claim().filter(|claim| claim.obtained > 0) else {
            return;
        };
        let is_new = self
            .replaced
            .get(&peer.process)
            .is_none_or(|last| claim.obtained > *last);
        let lender = Lender {
            process: peer.process,
            obtained: claim.obtained,
        };
        match self.lenders.get_mut(&peer.centre) {
            Some(current) if current.process == peer.process => *current = lender,
            Some(current) if is_new => {
                self.replaced.insert(current.process, current.obtained);
                *current = lender;
            }
            Some(_) => {}
            None => {
                self.lenders.insert(peer.centre.clone(), lender);
            }
        }
    }

    fn sent_at(&self, sequence: u64) -> Option<Instant> {
        let mut sent = self.sent.iter();
        sent.find(|(sent, _)| *sent == sequence).map(|(_, at)| *at)
    }

    /// Records an own digest and returns its section. `holder` is the instance that
    /// should hold the data centre's share; `demands` are this holder's own, and `rates`
    /// the limits of the teams in requests per second.
    pub fn publish(
        &mut self,
        sequence: u64,
        holder: Option<&InstanceRecord>,
        demands: &[(TeamName, f64)],
        rates: &BTreeMap<TeamName, f64>,
        now: Instant,
    ) -> ShareSection {
        self.check_main(now);
        self.sent.push_back((sequence, now));
        if self.sent.len() > MAX_SENT {
            self.sent.pop_front();
        }
        self.holder = holder.map(ProcessTag::new);
        let follows = self.follow(now);
        let is_holder = self.follows_itself();
        if !is_holder && self.main.take().is_some() {
            self.events.push(ShareEvent::MainLost);
        }
        if is_holder && self.main.is_none() && self.has_quorum(now) {
            self.events.push(ShareEvent::MainObtained);
            self.main = Some(MainPart {
                obtained: sequence,
                obtained_at: now,
                cleared_by: BTreeSet::new(),
                is_cleared: false,
            });
        }
        self.check_cleared(now);
        let claim = is_holder.then(|| {
            let loans = self.intended_loans(demands, rates, now);
            self.claim(sequence, loans, now)
        });
        self.update_loans(now);
        ShareSection { follows, claim }
    }

    /// The claim of a holder with its loans.
    fn claim(
        &mut self,
        sequence: u64,
        loans: BTreeMap<(ProcessTag, TeamTag), ShareUnits>,
        now: Instant,
    ) -> HolderClaim {
        let remote = self.peers.values().filter(|peer| {
            peer.centre != self.own_centre
                && peer.claim().is_some()
                && peer.heard_within(REMOTE_VALIDITY, now)
        });
        let mut echoes = Vec::new();
        for peer in remote {
            let obtained = peer.claim().map_or(0, |claim| claim.obtained);
            self.echoed_claims.insert(peer.process, obtained);
            echoes.push(DigestEcho {
                process: peer.process,
                sequence: peer.sequence,
            });
        }
        let listed = loans.iter().map(|((borrower, team), share)| ShareLoan {
            borrower: *borrower,
            team: *team,
            share: *share,
        });
        let listed = listed.collect();
        self.published.push_back(PublishedLoans {
            sequence,
            at: now,
            loans,
        });
        HolderClaim {
            obtained: self.main.as_ref().map_or(0, |main| main.obtained),
            echoes,
            loans: listed,
        }
    }

    /// Renews the echo of the holder, or changes to another one when what this instance
    /// lent has expired.
    fn follow(&mut self, now: Instant) -> Option<DigestEcho> {
        let holder = self.holder?;
        let is_same = self
            .following
            .as_ref()
            .is_some_and(|following| following.process == holder);
        if !is_same && !self.is_free(now) {
            return None;
        }
        if holder == self.own {
            self.following = Some(Following {
                process: holder,
                received_at: now,
            });
            return None;
        }
        let mut peers = self.peers.values();
        let peer = peers.find(|peer| peer.process == holder && peer.section.is_some())?;
        self.following = Some(Following {
            process: holder,
            received_at: peer.received_at,
        });
        Some(DigestEcho {
            process: holder,
            sequence: peer.sequence,
        })
    }

    /// Whether this instance acts as the holder of its data centre.
    #[must_use]
    pub fn follows_itself(&self) -> bool {
        let following = self.following.as_ref();
        following.is_some_and(|following| following.process == self.own)
    }

    /// Whether the part of this instance is not lent. What an earlier process of it lent
    /// expires after its start.
    fn is_free(&self, now: Instant) -> bool {
        let free_at = |since: Instant| since + LOCAL_VALIDITY + EXPIRY_MARGIN;
        match &self.following {
            Some(following) if following.process == self.own => true,
            Some(following) => now >= free_at(following.received_at),
            None => now >= free_at(self.started) || !self.hears_other_holder(now),
        }
    }

    /// Whether another instance than the holder claims to be it.
    fn hears_other_holder(&self, now: Instant) -> bool {
        self.peers.values().any(|peer| {
            peer.centre == self.own_centre
                && peer.claim().is_some()
                && Some(peer.process) != self.holder
                && peer.heard_within(LOCAL_VALIDITY + EXPIRY_MARGIN, now)
        })
    }

    fn followers(&self, now: Instant) -> impl Iterator<Item = &InstanceName> {
        let members = self
            .peers
            .iter()
            .filter(|(_, peer)| peer.centre == self.own_centre);
        let members =
            members.filter(move |(_, peer)| peer.follows_until.is_some_and(|until| now < until));
        members.map(|(name, _)| name)
    }

    /// Whether the instances that follow this one are more than half of those in the
    /// data centre, or half with the lowest name. Right after the start all known ones
    /// count, later those of the last [`DIGEST_RETENTION`].
    fn has_quorum(&self, now: Instant) -> bool {
        let is_starting = now.saturating_duration_since(self.started) < STARTUP_PERIOD;
        let counts = |name: &&InstanceName| {
            is_starting
                || self
                    .peers
                    .get(*name)
                    .is_some_and(|peer| peer.heard_within(DIGEST_RETENTION, now))
        };
        let members: BTreeSet<&InstanceName> = self
            .centre_members
            .iter()
            .filter(counts)
            .chain([&self.own_name])
            .collect();
        let mut followers: BTreeSet<&InstanceName> = self.followers(now).collect();
        followers.insert(&self.own_name);
        let followers: BTreeSet<_> = followers.intersection(&members).collect();
        let twice = 2 * followers.len();
        let has_lowest = || {
            members
                .first()
                .is_some_and(|lowest| followers.contains(lowest))
        };
        twice > members.len() || twice == members.len() && has_lowest()
    }

    /// Gives up the main part if too few instances follow this one.
    fn check_main(&mut self, now: Instant) {
        if self.main.is_some() && !self.has_quorum(now) {
            self.main = None;
            self.events.push(ShareEvent::MainLost);
        }
    }

    /// Notes which holders have dropped what a predecessor of this one lent.
    fn check_cleared(&mut self, now: Instant) {
        let Some(main) = self.main.as_mut().filter(|main| !main.is_cleared) else {
            return;
        };
        for peer in self.peers.values() {
            let is_later = |sequence| sequence >= main.obtained;
            let has_obtained = peer.claim().is_some_and(|claim| claim.obtained > 0);
            // Builds without shares borrow nothing.
            let is_earlier_build = peer.section.is_none() && peer.is_current;
            if peer.heard_within(REMOTE_VALIDITY, now)
                && (has_obtained && peer.echo_of(self.own).is_some_and(is_later)
                    || is_earlier_build)
            {
                main.cleared_by.insert(peer.centre.clone());
            }
        }
        let waited = now.saturating_duration_since(main.obtained_at);
        if self.known_centres.is_subset(&main.cleared_by)
            || waited >= REMOTE_VALIDITY + EXPIRY_MARGIN
        {
            main.is_cleared = true;
            self.events.push(ShareEvent::MainCleared);
        }
    }

    /// The number of data centres that own a base share.
    #[must_use]
    pub fn centre_count(&self, now: Instant) -> usize {
        let known = self.known_centres.len() + 1;
        let age = now.saturating_duration_since(self.started);
        if age < UNUSED_CENTRES_AFTER {
            known.max(self.configured_centres)
        } else {
            known
        }
    }

    /// The number of instances of the data centre that own a part of its base share.
    #[must_use]
    pub fn member_count(&self, now: Instant) -> usize {
        let is_young = now.saturating_duration_since(self.started) < MISSING_LIMIT;
        let counts = |name: &&InstanceName| {
            is_young
                || self
                    .peers
                    .get(*name)
                    .is_some_and(|peer| peer.heard_within(MISSING_LIMIT, now))
        };
        self.centre_members.iter().filter(counts).count() + 1
    }

    fn base(&self, now: Instant) -> f64 {
        1.0 / as_f64(self.centre_count(now))
    }

    /// The share of a team's limit that this instance may use as holder. Contains the
    /// parts of the instances that follow it.
    #[must_use]
    pub fn holder_share(&self, team: TeamTag, now: Instant) -> f64 {
        if !self.follows_itself() {
            return 0.0;
        }
        let base = self.base(now);
        let parts = as_f64(self.followers(now).count() + 1) / as_f64(self.member_count(now));
        let mut share = base * MEMBER_FRACTION * parts.min(1.0);
        if self.main.is_none() || !self.has_quorum(now) {
            return share;
        }
        if self.main.as_ref().is_some_and(|main| main.is_cleared) {
            let committed = self.committed.get(&team).copied().unwrap_or(0.0);
            share += (base * (1.0 - MEMBER_FRACTION) - committed).max(0.0);
        }
        let loans = self.borrowed.get(&team).into_iter().flatten();
        let valid = loans
            .filter(|(until, _)| now < *until)
            .map(|(_, share)| share);
        share + valid.sum::<f64>()
    }

    /// The share of each team's limit that this instance may use while it has no holder.
    #[must_use]
    pub fn member_share(&self, now: Instant) -> f64 {
        let is_lent_by_predecessor = self.following.is_none()
            && now.saturating_duration_since(self.started) < LOCAL_VALIDITY + EXPIRY_MARGIN;
        if is_lent_by_predecessor || !self.is_free(now) {
            return 0.0;
        }
        self.base(now) * MEMBER_FRACTION / as_f64(self.member_count(now))
    }

    /// Sums for the log and the metrics.
    #[must_use]
    pub fn summary(&self, now: Instant) -> ShareSummary {
        let loans = self.borrowed.values().flatten();
        ShareSummary {
            loans_given: self.published.back().map_or(0, |last| last.loans.len()),
            loans_received: loans.filter(|(until, _)| now < *until).count(),
            followers: self.followers(now).count(),
        }
    }

    /// Updates what is lent to others and what is borrowed.
    fn update_loans(&mut self, now: Instant) {
        let waits = REMOTE_VALIDITY + EXPIRY_MARGIN;
        while let Some(first) = self.published.front()
            && now.saturating_duration_since(first.at) >= waits
        {
            self.published.pop_front();
        }
        let echoes: BTreeMap<ProcessTag, u64> = self
            .peers
            .values()
            .filter_map(|peer| Some((peer.process, peer.echo_of(self.own)?)))
            .collect();
        let mut highest: BTreeMap<(ProcessTag, TeamTag), ShareUnits> = BTreeMap::new();
        for published in &self.published {
            for (key, share) in &published.loans {
                if echoes
                    .get(&key.0)
                    .is_none_or(|seen| published.sequence >= *seen)
                {
                    let found = highest.entry(*key).or_insert(*share);
                    *found = (*found).max(*share);
                }
            }
        }
        self.committed.clear();
        for ((_, team), share) in highest {
            *self.committed.entry(team).or_insert(0.0) += share.share();
        }
        self.borrowed.clear();
        for peer in self.peers.values() {
            let lender = self.lenders.get(&peer.centre);
            if lender.is_none_or(|lender| lender.process != peer.process) {
                continue;
            }
            let seen = peer.echo_of(self.own);
            let Some(sent_at) = seen.and_then(|sequence| self.sent_at(sequence)) else {
                continue;
            };
            let loans = peer.claim().into_iter().flat_map(|claim| &claim.loans);
            for loan in loans.filter(|loan| loan.borrower == self.own) {
                let until = sent_at + REMOTE_VALIDITY;
                let found = self.borrowed.entry(loan.team).or_default();
                found.push((until, loan.share.share()));
            }
        }
    }

    /// What this holder should lend to whom: its surplus, by what the others need beyond
    /// their base shares.
    fn intended_loans(
        &self,
        demands: &[(TeamName, f64)],
        rates: &BTreeMap<TeamName, f64>,
        now: Instant,
    ) -> BTreeMap<(ProcessTag, TeamTag), ShareUnits> {
        if self.main.as_ref().is_none_or(|main| !main.is_cleared) {
            return BTreeMap::new();
        }
        let base = self.base(now);
        let lendable = base * (1.0 - MEMBER_FRACTION);
        let step = base * LOAN_STEP_FRACTION;
        let last = self.published.back().map(|published| &published.loans);
        let holders: Vec<&Peer> = self
            .peers
            .values()
            .filter(|peer| peer.centre != self.own_centre && peer.claim().is_some())
            .filter(|peer| peer.heard_within(REMOTE_VALIDITY, now))
            .collect();
        let mut intended = Vec::new();
        for (team, rate) in rates.iter().filter(|(_, rate)| **rate > 0.0) {
            let tag = TeamTag::new(team);
            let mut own_demands = demands.iter().filter(|(name, _)| name == team);
            let own_demand = own_demands.next().map_or(0.0, |(_, demand)| *demand);
            let other_demand: f64 = holders
                .iter()
                .filter_map(|peer| peer.demands.get(&tag))
                .sum();
            let spread = rate * SPREAD_FRACTION;
            let total = own_demand + other_demand + spread;
            // The whole limit is divided, so that a team within its rate has as much room
            // everywhere.
            let need = |demand: f64| (demand + spread * base) / total;
            let surplus = |need: f64| (base - need).clamp(0.0, lendable);
            let own_surplus = surplus(need(own_demand));
            let needs: Vec<(ProcessTag, f64)> = holders
                .iter()
                .map(|peer| {
                    (
                        peer.process,
                        need(peer.demands.get(&tag).copied().unwrap_or(0.0)),
                    )
                })
                .collect();
            let missing: f64 = needs.iter().map(|(_, need)| (need - base).max(0.0)).sum();
            if missing <= 0.0 {
                continue;
            }
            let others: f64 = needs.iter().map(|(_, need)| surplus(*need)).sum();
            let lent = own_surplus * (missing / (own_surplus + others).max(f64::EPSILON)).min(1.0);
            for (process, need) in needs.into_iter().filter(|(_, need)| *need > base) {
                let key = (process, tag);
                let loan = lent * (need - base) / missing;
                let current = last.and_then(|last| last.get(&key)).copied();
                let kept = current.filter(|current| (current.share() - loan).abs() < step);
                let loan = kept.unwrap_or(ShareUnits::floor(loan));
                if loan.share() > step {
                    intended.push((key, loan));
                }
            }
        }
        intended.sort_by_key(|(_, share)| std::cmp::Reverse(*share));
        intended.truncate(MAX_LOANS);
        self.within_main(intended, lendable)
    }

    /// Lowers loans of which a team's sum exceeds the main part.
    fn within_main(
        &self,
        loans: Vec<((ProcessTag, TeamTag), ShareUnits)>,
        lendable: f64,
    ) -> BTreeMap<(ProcessTag, TeamTag), ShareUnits> {
        // What others still use of earlier loans cannot be lent again to somebody else.
        let mut left: BTreeMap<TeamTag, f64> = BTreeMap::new();
        let mut result = BTreeMap::new();
        for (key, share) in loans {
            let lent_before = self.highest_published(key);
            let free = left
                .entry(key.1)
                .or_insert_with(|| lendable - self.committed.get(&key.1).copied().unwrap_or(0.0));
            let raise = (share.share() - lent_before).clamp(0.0, free.max(0.0));
            let granted = ShareUnits::floor(share.share().min(lent_before + raise));
            *free -= (granted.share() - lent_before).max(0.0);
            if granted.share() > 0.0 {
                result.insert(key, granted);
            }
        }
        result
    }

    /// The highest loan that the borrower may still use.
    fn highest_published(&self, key: (ProcessTag, TeamTag)) -> f64 {
        let mut peers = self.peers.values();
        let peer = peers.find(|peer| peer.process == key.0);
        let seen = peer.and_then(|peer| peer.echo_of(self.own)).unwrap_or(0);
        let relevant = self
            .published
            .iter()
            .filter(|published| published.sequence >= seen);
        let shares = relevant.filter_map(|published| published.loans.get(&key));
        shares.map(|share| share.share()).fold(0.0, f64::max)
    }
}

fn as_f64(count: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}
