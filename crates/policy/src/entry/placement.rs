//! Chooses the backend server of a request.
//!
//! Load answered: services whose mean cold work exceeds the target latency, and
//! whose servers are about three times as fast on objects that they handled
//! recently. Every instance ranks the servers of an object in the same
//! rendezvous-hash order, so that an object has one owner in the whole fleet
//! with no messages, and a server that joins or leaves moves only its own
//! objects. Among the first few of that order, the request goes where it is
//! expected to finish first: the owner unless its queue costs more than the
//! work on a server that does not know the object.

use std::collections::BTreeMap;
use std::time::Duration;

/// How many servers of the rendezvous order are compared.
pub const MAX_CANDIDATES: usize = 3;

/// Work on a known object, as a share of the route's target latency. Both
/// sites' sheets: mean work 1.3 to 1.5 times the target, 70 % saved when warm.
pub const KNOWN_OBJECT_WORK: f64 = 0.45;

/// Work on an unknown object, as a share of the target latency (same source).
pub const UNKNOWN_OBJECT_WORK: f64 = 1.45;

/// How much slower a cold server works (the sites' `cold-start` behaviour).
pub const COLD_FACTOR: f64 = 2.0;

/// Mean time a slot is occupied, as a share of the target latency: mostly known
/// objects.
pub const MEAN_WORK: f64 = 0.6;

/// Added for a server in another region: twice a one-way delay of 35 to 55 ms.
pub const REGION_ROUND_TRIP: Duration = Duration::from_millis(90);

/// How far above the owner's expected finish another server may be taken for
/// granted as better; avoids leaving the owner for a small gain.
pub const MIN_GAIN_OVER_OWNER: f64 = 0.15;

/// Requests running and waiting at a server, in slots, at which it gets no more.
/// A longer queue makes also known objects late; the load player shows a loss
/// with a shorter one.
pub const MAX_LOAD_PER_SLOT: f64 = 3.0;

/// The part of the cap that each step of a less urgent rank leaves free, so that
/// more urgent requests still find room at a full service.
pub const PRIORITY_RESERVE: f64 = 0.1;

/// The weight below which weights make no difference, so that a region without
/// objects of its own is still used when there is no other.
pub const MIN_WEIGHT: f64 = 0.000_001;

/// The largest rank that makes a difference.
pub const MAX_PRIORITY: u32 = 3;

/// What placement knows of one server.
#[derive(Debug, Clone, Copy)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "independent observations of one server"
)]
pub struct ServerView {
    /// Hash of the server's id.
    pub hash: u64,
    /// Requests that it runs at a time.
    pub slots: u32,
    /// Requests running or waiting there, as far as known.
    pub load: f64,
    /// Observed work divided by expected work; 1 when normal.
    pub slowness: f64,
    /// Share of recent requests that failed, 0 to 1.
    pub failure_ratio: f64,
    /// Whether it is cold after its start.
    pub cold: bool,
    /// Whether it is in the region of this instance.
    pub in_own_region: bool,
    /// Whether it is not to be used now if another one is left.
    pub suspended: bool,
    /// Whether this instance sent the object there recently.
    pub known: bool,
    /// Hash of its region's name.
    pub region: u64,
}

/// The parts of an instance's requests that run in each region, by the hash of
/// the region's name. Empty if all servers are to be used alike.
pub type RegionFractions = BTreeMap<u64, f64>;

/// The choice for a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Placement {
    /// Index of the server in the list given.
    pub index: usize,
    /// Rank in the rendezvous order; 0 is the owner.
    pub rank: usize,
    /// Expected time until the answer.
    pub expected_latency: Duration,
    /// Whether all servers that come into question have reached [`MAX_LOAD_PER_SLOT`].
    pub saturated: bool,
    /// Whether an object that is unknown there would wait for a slot.
    pub queues_unknown_object: bool,
}

impl ServerView {
    fn is_saturated(&self, priority: u32) -> bool {
        let reserve = f64::from(priority.min(MAX_PRIORITY)) * PRIORITY_RESERVE;
        self.load >= f64::from(self.slots) * MAX_LOAD_PER_SLOT * (1.0 - reserve)
    }
}

/// Mixes the bits of a 64-bit value (the finaliser of `SplitMix64`).
#[must_use]
pub fn mix(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

/// Hashes text with FNV-1a, mixed. Equal on every instance and build.
#[must_use]
pub fn text_hash(text: &str) -> u64 {
    let hash = text.bytes().fold(0xcbf2_9ce4_8422_2325_u64, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    });
    mix(hash)
}

/// The region that an object belongs to, by weighted rendezvous hashing: each
/// region has a part of the objects, and a change of the parts moves only as many
/// as it must.
#[must_use]
pub fn region_of_object<'a>(
    object: u64,
    servers: impl IntoIterator<Item = &'a ServerView>,
    fractions: &RegionFractions,
) -> Option<u64> {
    let mut weights: BTreeMap<u64, f64> = BTreeMap::new();
    for server in servers {
        *weights.entry(server.region).or_insert(0.0) += f64::from(server.slots);
    }
    if !fractions.is_empty() {
        for (region, weight) in &mut weights {
            *weight = fractions.get(region).copied().unwrap_or(0.0);
        }
    }
    let score = |region: u64, weight: f64| {
        #[expect(
            clippy::cast_precision_loss,
            reason = "the low bits of the hash make no difference"
        )]
        let chance = (mix(object ^ region) as f64 + 1.0) / (u64::MAX as f64 + 1.0);
        weight.max(MIN_WEIGHT) / -chance.ln().min(-f64::MIN_POSITIVE)
    };
    weights
        .into_iter()
        .map(|(region, weight)| (region, score(region, weight)))
        .max_by(|a, b| a.1.total_cmp(&b.1))
        .map(|(region, _)| region)
}

/// The indices of the servers with the highest scores for the object, highest
/// first, at most `most` of them.
#[must_use]
pub fn rendezvous_order(object: u64, servers: &[ServerView], most: usize) -> Vec<usize> {
    let mut best: Vec<(u64, usize)> = Vec::with_capacity(most + 1);
    for (index, server) in servers.iter().enumerate() {
        let score = mix(object ^ server.hash);
        if best.len() == most && best.last().is_some_and(|last| last.0 >= score) {
            continue;
        }
        let at = best.partition_point(|entry| entry.0 > score);
        best.insert(at, (score, index));
        best.truncate(most);
    }
    best.into_iter().map(|(_, index)| index).collect()
}

/// The expected time until a server answers, without the owner's advantage.
#[must_use]
pub fn expected_latency(server: &ServerView, known: bool, target: Duration) -> Duration {
    let target_s = target.as_secs_f64();
    let slots = f64::from(server.slots.max(1));
    let speed = server.slowness * if server.cold { COLD_FACTOR } else { 1.0 };
    let waiting = (server.load + 1.0 - slots).max(0.0);
    let queue = waiting / slots * MEAN_WORK * target_s * speed;
    let work = if known {
        KNOWN_OBJECT_WORK
    } else {
        UNKNOWN_OBJECT_WORK
    } * target_s
        * speed;
    let distance = if server.in_own_region {
        0.0
    } else {
        REGION_ROUND_TRIP.as_secs_f64()
    };
    // A failed attempt costs its work and is repeated elsewhere.
    let failure_ratio = server.failure_ratio.clamp(0.0, 0.95);
    Duration::from_secs_f64(((queue + work) / (1.0 - failure_ratio) + distance).min(3600.0))
}

/// Chooses a server for an object, or without one the server that is expected
/// to finish first. `None` if the list is empty. An `priority` of 0 is the most
/// urgent rank.
///
/// The servers compared are all in the object's region, so that full queues do
/// not move requests between regions faster than the parts do.
#[must_use]
pub fn choose_server(
    object: Option<u64>,
    servers: &[ServerView],
    fractions: &RegionFractions,
    target: Duration,
    priority: u32,
) -> Option<Placement> {
    let mut usable: Vec<usize> = {
        let fit: Vec<usize> = (0..servers.len())
            .filter(|i| !servers[*i].suspended)
            .collect();
        if fit.is_empty() {
            (0..servers.len()).collect()
        } else {
            fit
        }
    };
    let Some(object) = object else {
        let place = |index: usize| Placement {
            index,
            rank: 0,
            expected_latency: expected_latency(&servers[index], true, target),
            saturated: servers[index].is_saturated(priority),
            queues_unknown_object: false,
        };
        return usable
            .into_iter()
            .map(place)
            .min_by_key(|placement| (placement.saturated, placement.expected_latency));
    };
    let region = region_of_object(
        object,
        usable.iter().map(|index| &servers[*index]),
        fractions,
    );
    usable.retain(|index| Some(servers[*index].region) == region);
    let views: Vec<ServerView> = usable.iter().map(|index| servers[*index]).collect();
    let order = rendezvous_order(object, &views, MAX_CANDIDATES);
    let mut best: Option<Placement> = None;
    for (rank, position) in order.into_iter().enumerate() {
        let server = &views[position];
        let placement = Placement {
            index: usable[position],
            rank,
            expected_latency: expected_latency(server, rank == 0 || server.known, target),
            saturated: server.is_saturated(priority),
            queues_unknown_object: rank > 0
                && !server.known
                && server.load >= f64::from(server.slots),
        };
        if best.is_none_or(|owner| placement.is_better(&owner)) {
            best = Some(placement);
        }
    }
    best
}

impl Placement {
    /// Whether this placement is taken in place of one of a lower rank.
    fn is_better(&self, owner: &Self) -> bool {
        if self.saturated != owner.saturated {
            return owner.saturated && !self.queues_unknown_object;
        }
        // Work on an unknown object would take the place of several requests on
        // known ones.
        if self.queues_unknown_object {
            return false;
        }
        self.expected_latency.as_secs_f64()
            < owner.expected_latency.as_secs_f64() * (1.0 - MIN_GAIN_OVER_OWNER)
    }
}
