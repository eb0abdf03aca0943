//! Load balancing with object affinity.
//!
//! Designed for services whose mean work on an unknown object exceeds the target
//! latency and whose servers are about three times as fast on objects that they
//! handled recently. All instances rank the servers of an object by rendezvous
//! hashing, so an object has one owner in the whole fleet without any messages,
//! and a server that joins or leaves moves only its own objects. Among the first
//! few servers of that order, the request goes to the one with the lowest expected
//! latency. This is the owner, unless waiting in its queue takes longer than the
//! work on a server that does not know the object. Popular objects have several
//! owners, the first ones of the order, of which each instance prefers one.

use std::collections::BTreeMap;
use std::time::Duration;

use super::popular_objects::ObjectOwners;

/// How many servers of the rendezvous order are considered for a request.
pub const MAX_CANDIDATES: usize = 3;

/// Work on a known object, as a fraction of the route's target latency. The
/// specifications of both sites give a mean work of 1.3 to 1.5 times the target,
/// of which 70 % is saved on a known object.
pub const KNOWN_OBJECT_WORK: f64 = 0.45;

/// Work on an unknown object, as a multiple of the target latency (same source).
pub const UNKNOWN_OBJECT_WORK: f64 = 1.45;

/// The factor by which a cold server is slower (the sites' `cold-start` behaviour).
pub const COLD_FACTOR: f64 = 2.0;

/// Mean work of a queued request, as a fraction of the target latency. Most
/// requests are on known objects.
pub const MEAN_WORK: f64 = 0.6;

/// Latency added for a server in another region: twice a one-way delay of 35 to
/// 55 ms.
pub const REGION_ROUND_TRIP: Duration = Duration::from_millis(90);

/// The fraction by which another server's expected latency must be below the
/// owner's to be chosen instead. Keeps objects at their owner when little is gained.
pub const MIN_GAIN_OVER_OWNER: f64 = 0.15;

/// Running and queued requests per slot at which a server gets no more. With a
/// longer queue, requests on known objects are late as well; with a shorter one,
/// the load simulation in the tests loses credit.
pub const MAX_LOAD_PER_SLOT: f64 = 3.0;

/// The fraction of [`MAX_LOAD_PER_SLOT`] that each step of lower priority leaves
/// free, so that more urgent requests still find capacity at a full service.
pub const PRIORITY_RESERVE: f64 = 0.1;

/// The minimum weight of a region, so that a region without a fraction of the
/// objects is still used when there is no other.
pub const MIN_WEIGHT: f64 = 0.000_001;

/// The priority value from which on requests are treated alike.
pub const MAX_PRIORITY: u32 = 3;

/// The state of one server as seen by placement.
#[derive(Debug, Clone, Copy)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "independent observations of one server"
)]
pub struct ServerView {
    /// Hash of the server's id.
    pub hash: u64,
    /// Requests that it runs concurrently.
    pub slots: u32,
    /// Estimated number of running and queued requests.
    pub load: f64,
    /// Observed latency divided by expected latency; 1 when normal.
    pub slowness: f64,
    /// Fraction of recent requests that failed, 0 to 1.
    pub failure_ratio: f64,
    /// Whether it was started recently and is still slow.
    pub cold: bool,
    /// Whether it is in the region of this instance.
    pub in_own_region: bool,
    /// Whether it is used only if all servers are suspended.
    pub suspended: bool,
    /// Whether its queue is full, whatever its estimated load.
    pub full: bool,
    /// Whether the object of the request is known there, because this instance got
    /// a response on it recently.
    pub known: bool,
    /// Hash of its region's name.
    pub region: u64,
}

/// The expected times of the parts of a request at a server at its usual speed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WorkModel {
    /// Work on an object that the server knows.
    pub known: Duration,
    /// Work on an object that the server does not know.
    pub unknown: Duration,
    /// Mean work of the requests that run and wait at the server.
    pub queued: Duration,
    /// Time to a server in another region and back.
    pub region_round_trip: Duration,
}

impl WorkModel {
    /// The model of a route of which nothing is known but its target latency.
    #[must_use]
    pub fn for_target(target: Duration) -> Self {
        Self {
            known: target.mul_f64(KNOWN_OBJECT_WORK),
            unknown: target.mul_f64(UNKNOWN_OBJECT_WORK),
            queued: target.mul_f64(MEAN_WORK),
            region_round_trip: REGION_ROUND_TRIP,
        }
    }
}

/// The load at which a server gets no more requests of one kind.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LoadLimit {
    /// Running and queued requests per slot.
    pub per_slot: f64,
}

impl LoadLimit {
    /// The limit by priority, of which 0 is the most urgent.
    #[must_use]
    pub fn for_priority(priority: u32) -> Self {
        let reserve = f64::from(priority.min(MAX_PRIORITY)) * PRIORITY_RESERVE;
        Self {
            per_slot: MAX_LOAD_PER_SLOT * (1.0 - reserve),
        }
    }

    fn is_reached(self, server: &ServerView) -> bool {
        server.full || server.load >= f64::from(server.slots) * self.per_slot
    }
}

/// How the object of a request decides on its server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ObjectAffinity {
    /// The servers that own the object.
    pub owners: ObjectOwners,
    /// Hash of the instance. Instances prefer different owners, so that all of them get
    /// requests although none knows the exact load.
    pub instance: u64,
}

impl ObjectAffinity {
    /// One owner.
    pub const SINGLE_OWNER: Self = Self {
        owners: ObjectOwners::Owners(1),
        instance: 0,
    };
}

/// A request to place.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PlacementRequest {
    /// Hash of the object; `None` to place without regard to objects.
    pub object: Option<u64>,
    /// How the object decides on the server.
    pub affinity: ObjectAffinity,
    /// The expected times of its parts.
    pub work: WorkModel,
    /// When servers get no more requests of its kind.
    pub load_limit: LoadLimit,
}

impl PlacementRequest {
    /// A request of which nothing is known but the target latency and the priority of
    /// its route.
    #[must_use]
    pub fn new(object: Option<u64>, target: Duration, priority: u32) -> Self {
        Self {
            object,
            affinity: ObjectAffinity::SINGLE_OWNER,
            work: WorkModel::for_target(target),
            load_limit: LoadLimit::for_priority(priority),
        }
    }
}

/// The fractions of an instance's requests that run in each region, by the hash of
/// the region's name. Empty to weight regions by their slots.
pub type RegionFractions = BTreeMap<u64, f64>;

/// The server chosen for a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Placement {
    /// Index of the server in the given list.
    pub index: usize,
    /// Position in the rendezvous order; the first ones are the owners. 0 without an
    /// owner.
    pub rank: usize,
    /// The number of owners of the object; 0 if it was placed by load.
    pub owners: usize,
    /// Expected time until the response.
    pub expected_latency: Duration,
    /// Whether the server has reached its maximum load, in which case no candidate
    /// was better.
    pub saturated: bool,
    /// Whether the object is unknown there and the request would be queued.
    pub queues_unknown_object: bool,
}

/// Mixes the bits of a 64-bit value (the finaliser of `SplitMix64`).
#[must_use]
pub fn mix(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

/// Hashes text with FNV-1a and mixes the result. The same on every instance and
/// in every build.
#[must_use]
pub fn text_hash(text: &str) -> u64 {
    let hash = text.bytes().fold(0xcbf2_9ce4_8422_2325_u64, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    });
    mix(hash)
}

/// The region that an object belongs to, by weighted rendezvous hashing. Each
/// region owns its fraction of the objects, and a change of the fractions moves the
/// minimum number of objects.
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

/// The indices of the `limit` servers with the highest scores for the object,
/// highest first.
#[must_use]
pub fn rendezvous_order(object: u64, servers: &[ServerView], limit: usize) -> Vec<usize> {
    let mut best: Vec<(u64, usize)> = Vec::with_capacity(limit + 1);
    for (index, server) in servers.iter().enumerate() {
        let score = mix(object ^ server.hash);
        if best.len() == limit && best.last().is_some_and(|last| last.0 >= score) {
            continue;
        }
        let at = best.partition_point(|entry| entry.0 > score);
        best.insert(at, (score, index));
        best.truncate(limit);
    }
    best.into_iter().map(|(_, index)| index).collect()
}

/// The expected time until a server responds. `known` says whether the object is
/// taken as known there.
#[must_use]
pub fn expected_latency(server: &ServerView, known: bool, work: &WorkModel) -> Duration {
    let slots = f64::from(server.slots.max(1));
    let speed = server.slowness * if server.cold { COLD_FACTOR } else { 1.0 };
    let waiting = (server.load + 1.0 - slots).max(0.0);
    let queue = waiting / slots * work.queued.as_secs_f64() * speed;
    let run = if known { work.known } else { work.unknown }.as_secs_f64() * speed;
    let distance = if server.in_own_region {
        0.0
    } else {
        work.region_round_trip.as_secs_f64()
    };
    // A failed attempt costs its work and is retried elsewhere.
    let failure_ratio = server.failure_ratio.clamp(0.0, 0.95);
    Duration::from_secs_f64(((queue + run) / (1.0 - failure_ratio) + distance).min(3600.0))
}

/// Chooses a server for a request on an object, or without an object the server
/// with the lowest expected latency. `None` if the list is empty.
///
/// All candidates for an object are in its region, so that full queues do not move
/// requests between regions faster than the fractions change.
#[must_use]
pub fn choose_server(
    request: &PlacementRequest,
    servers: &[ServerView],
    fractions: &RegionFractions,
) -> Option<Placement> {
    let PlacementRequest {
        object,
        affinity,
        work,
        load_limit,
    } = request;
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
    let Some(object) = *object else {
        return least_latency(usable, servers, request, true);
    };
    let region = region_of_object(
        object,
        usable.iter().map(|index| &servers[*index]),
        fractions,
    );
    usable.retain(|index| Some(servers[*index].region) == region);
    let ObjectOwners::Owners(count) = affinity.owners else {
        return least_latency(usable, servers, request, false);
    };
    let owners = count.clamp(1, usable.len().max(1));
    let views: Vec<ServerView> = usable.iter().map(|index| servers[*index]).collect();
    let mut order: Vec<(usize, usize)> =
        rendezvous_order(object, &views, MAX_CANDIDATES + owners - 1)
            .into_iter()
            .enumerate()
            .collect();
    let preferred = preferred_owner(object, affinity.instance, owners);
    order[..owners.min(usable.len())].rotate_left(preferred);
    let mut best: Option<Placement> = None;
    for (rank, position) in order {
        let server = &views[position];
        let is_known = rank < owners || server.known;
        let placement = Placement {
            index: usable[position],
            rank,
            owners,
            expected_latency: expected_latency(server, is_known, work),
            saturated: load_limit.is_reached(server),
            queues_unknown_object: !is_known && server.load >= f64::from(server.slots),
        };
        if best.is_none_or(|owner| placement.is_better(&owner)) {
            best = Some(placement);
        }
    }
    best
}

/// The rank of the owner that an instance prefers.
fn preferred_owner(object: u64, instance: u64, owners: usize) -> usize {
    let owners = u64::try_from(owners).unwrap_or(1).max(1);
    usize::try_from(mix(object ^ mix(instance)) % owners).unwrap_or(0)
}

/// The server with the lowest expected latency. `takes_as_known` says whether all servers
/// are taken to be as fast as on a known object.
fn least_latency(
    usable: Vec<usize>,
    servers: &[ServerView],
    request: &PlacementRequest,
    takes_as_known: bool,
) -> Option<Placement> {
    let place = |index: usize| {
        let server = &servers[index];
        let is_known = takes_as_known || server.known;
        Placement {
            index,
            rank: 0,
            owners: 0,
            expected_latency: expected_latency(server, is_known, &request.work),
            saturated: request.load_limit.is_reached(server),
            queues_unknown_object: false,
        }
    };
    usable
        .into_iter()
        .map(place)
        .min_by_key(|placement| (placement.saturated, placement.expected_latency))
}

impl Placement {
    /// Whether this placement is preferred to one that is earlier in the order of
    /// preference.
    fn is_better(&self, owner: &Self) -> bool {
        if self.saturated != owner.saturated {
            return owner.saturated && !self.queues_unknown_object;
        }
        // Work on an unknown object takes as long as several requests on known
        // objects.
        if self.queues_unknown_object {
            return false;
        }
        self.expected_latency.as_secs_f64()
            < owner.expected_latency.as_secs_f64() * (1.0 - MIN_GAIN_OVER_OWNER)
    }
}
