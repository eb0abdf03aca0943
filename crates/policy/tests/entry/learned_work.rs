//! What an instance learns of the time that work takes and of popular objects.

use std::time::{Duration, Instant};

use tarragonpulley_policy::entry::names::ServiceName;
use tarragonpulley_policy::entry::placement::{
    ObjectAffinity, PlacementRequest, REGION_ROUND_TRIP, RegionFractions, ServerView, WorkModel,
    choose_server, mix, rendezvous_order,
};
use tarragonpulley_policy::entry::popular_objects::{
    MAX_OBJECTS, MAX_OWNERS, ObjectDemand, ObjectOwners, PopularObjects,
};
use tarragonpulley_policy::entry::work_estimate::{ObjectRelation, WorkEstimates, WorkSample};
use yare::parameterized;

use crate::at;
use crate::placement::server;

const TARGET: Duration = Duration::from_millis(600);
const ROUTE: &str = "read";

fn service() -> ServiceName {
    "ledger".parse().expect("valid")
}

fn estimates(start: Instant) -> WorkEstimates {
    let mut estimates = WorkEstimates::default();
    estimates.record_request(&service(), ROUTE, TARGET, start);
    estimates
}

fn record(
    estimates: &mut WorkEstimates,
    servers: std::ops::Range<u64>,
    relation: ObjectRelation,
    millis: u64,
) {
    for server in servers {
        let sample = WorkSample {
            server,
            relation,
            time: Duration::from_millis(millis),
        };
        estimates.record_sample(&service(), ROUTE, sample);
    }
}

/// The times in milliseconds for known and unknown objects, from the work on a known one
/// and the number of its samples. The prior is 270 and 870.
#[parameterized(
    no_samples = { 100, 0, [270, 870] },
    too_few_samples = { 100, 11, [270, 870] },
    enough_samples = { 100, 12, [100, 322] },
    close_to_the_prior = { 230, 48, [270, 870] },
    longer_than_the_prior = { 400, 48, [400, 1288] },
)]
fn estimates_replace_the_prior_once_they_differ(millis: u64, samples: u64, expected: [u128; 2]) {
    let start = Instant::now();
    let mut estimates = estimates(start);
    record(&mut estimates, 0..samples, ObjectRelation::Known, millis);
    let work = estimates.model(&service(), ROUTE, TARGET, start);
    assert_eq!([work.known.as_millis(), work.unknown.as_millis()], expected);
    assert_eq!(work.region_round_trip, REGION_ROUND_TRIP);
}

/// Guards against a server that responds in no time, or takes very long, and moves the
/// estimates that are used for all others.
#[parameterized(
    at_once = { 0 },
    very_slow = { 60_000 },
)]
fn one_server_does_not_move_the_estimates(millis: u64) {
    let start = Instant::now();
    let mut estimates = estimates(start);
    record(&mut estimates, 0..48, ObjectRelation::Known, 100);
    for _ in 0..500 {
        record(&mut estimates, 7..8, ObjectRelation::Known, millis);
    }
    let work = estimates.model(&service(), ROUTE, TARGET, start);
    assert_eq!(work.known.as_millis(), 100);
}

#[test]
fn one_server_alone_leaves_the_prior() {
    let start = Instant::now();
    let mut estimates = estimates(start);
    for _ in 0..500 {
        record(&mut estimates, 7..8, ObjectRelation::Known, 5);
    }
    let work = estimates.model(&service(), ROUTE, TARGET, start);
    assert_eq!(work, WorkModel::for_target(TARGET));
}

/// Guards against waits in a queue that are taken for work.
#[parameterized(
    idle = { 0.0, false, true },
    last_free_slot = { 2.0, false, true },
    queueing = { 3.0, false, false },
    cold = { 0.0, true, false },
)]
fn samples_come_from_servers_with_a_free_slot(load: f64, cold: bool, counts: bool) {
    let view = ServerView {
        load,
        cold,
        ..server(1)
    };
    let observed = Duration::from_millis(200);
    let sample = WorkSample::new(&view, ObjectRelation::Known, observed, REGION_ROUND_TRIP);
    assert_eq!(sample.map(|sample| sample.time), counts.then_some(observed));
}

/// Guards against short work that is sent to a queue of long work because the queue is
/// judged by the short work.
#[test]
fn the_wait_in_a_queue_follows_the_work_of_all_routes() {
    let start = Instant::now();
    let mut estimates = WorkEstimates::default();
    let targets = [("short", 300), ("long", 3000)];
    for (route, target) in targets {
        let target = Duration::from_millis(target);
        estimates.record_request(&service(), route, target, start);
    }
    let mut queued = |route: &str, target: u64| {
        let target = Duration::from_millis(target);
        let work = estimates.model(&service(), route, target, start);
        work.queued.as_millis()
    };
    // Equal rates, and a mean work of 0.6 times the targets by the prior.
    assert_eq!([queued("short", 300), queued("long", 3000)], [990, 990]);
}

#[test]
fn affinity_ends_when_unknown_work_takes_as_long() {
    let start = Instant::now();
    let mut estimates = estimates(start);
    record(&mut estimates, 0..48, ObjectRelation::Known, 400);
    record(&mut estimates, 0..48, ObjectRelation::Other, 420);
    assert!(!estimates.has_gain(&service(), ROUTE));
    record(&mut estimates, 0..48, ObjectRelation::Other, 560);
    assert!(!estimates.has_gain(&service(), ROUTE), "within hysteresis");
    record(&mut estimates, 0..48, ObjectRelation::Other, 1300);
    assert!(estimates.has_gain(&service(), ROUTE));
}

/// The demand of 200 requests per second in the region.
const DEMAND: ObjectDemand = ObjectDemand {
    service_rate: 200.0,
    known_work: Duration::from_millis(100),
    slots: 4,
};

/// Records ten requests per second from `from` to `to` in seconds, of which every
/// `hot_interval`th is on object 0 and the others on a hundred others.
fn request(objects: &mut PopularObjects, start: Instant, from: u64, to: u64, hot_interval: u64) {
    for index in from * 10..to * 10 {
        let is_hot = index.is_multiple_of(hot_interval);
        let object = if is_hot { 0 } else { 1 + index % 100 };
        objects.record_request(&service(), object, at(start, index * 100));
    }
}

/// The number of owners from the interval of requests on an object. Of 200 requests per
/// second in the region, which take a tenth of a second each, one slot is a tenth.
#[parameterized(
    seldom = { 100, 1 },
    a_slot = { 10, 2 },
    four_slots = { 5, 3 },
    all_requests = { 1, MAX_OWNERS },
)]
fn popular_objects_get_more_owners(hot_interval: u64, expected: u32) {
    let start = Instant::now();
    let mut objects = PopularObjects::default();
    request(&mut objects, start, 0, 30, hot_interval);
    let owners = objects.owners(&service(), 0, &DEMAND, at(start, 30_000));
    assert_eq!(owners, ObjectOwners::Owners(expected as usize));
    let other = objects.owners(&service(), 5000, &DEMAND, at(start, 30_000));
    assert_eq!(other, ObjectOwners::Owners(1));
}

/// Guards against owners that come and go with each request, and against those of an
/// object that nobody requests any more.
#[test]
fn owners_shrink_late_and_in_the_end() {
    let start = Instant::now();
    let mut objects = PopularObjects::default();
    request(&mut objects, start, 0, 60, 5);
    let owners = |objects: &mut PopularObjects, second: u64, service_rate: f64| {
        let demand = ObjectDemand {
            service_rate,
            ..DEMAND
        };
        objects.owners(&service(), 0, &demand, at(start, second * 1000))
    };
    assert_eq!(owners(&mut objects, 60, 200.0), ObjectOwners::Owners(3));
    assert_eq!(owners(&mut objects, 60, 100.0), ObjectOwners::Owners(3));
    request(&mut objects, start, 60, 200, 10_000);
    assert_eq!(owners(&mut objects, 200, 200.0), ObjectOwners::Owners(1));
}

/// Guards against copies that are forgotten before the next request.
#[test]
fn objects_that_owners_forget_get_no_further_owner() {
    let start = Instant::now();
    let mut objects = PopularObjects::default();
    request(&mut objects, start, 0, 30, 5);
    let now = at(start, 30_000);
    for _ in 0..200 {
        objects.record_owner_response(&service(), 0, 200.0, false, now);
    }
    assert_ne!(
        objects.owners(&service(), 0, &DEMAND, now),
        ObjectOwners::Owners(3)
    );
}

/// Guards against memory that grows with the number of objects.
#[test]
fn the_hottest_object_is_kept_among_very_many() {
    let start = Instant::now();
    let mut objects = PopularObjects::default();
    for index in 0..u64::try_from(MAX_OBJECTS).expect("small") * 8 {
        let now = at(start, index);
        objects.record_request(&service(), 1_000_000 + index, now);
        objects.record_request(&service(), 0, now);
    }
    let now = at(start, 8200);
    assert_eq!(
        objects.owners(&service(), 0, &DEMAND, now),
        ObjectOwners::Owners(MAX_OWNERS as usize)
    );
}

/// Guards against instances that disagree on the servers of an object: with different
/// numbers of owners they still use the first ranks of one order.
#[test]
fn instances_use_the_first_ranks_and_spread_over_them() {
    let servers: Vec<ServerView> = (0..20).map(server).collect();
    let object = mix(77);
    let first = rendezvous_order(object, &servers, 3);
    let mut used = [0; 3];
    for instance in 0..300 {
        let mut request = PlacementRequest::new(Some(object), TARGET, 0);
        request.affinity = ObjectAffinity {
            owners: ObjectOwners::Owners(3),
            instance: mix(instance),
        };
        let placement = choose_server(&request, &servers, &RegionFractions::new());
        let placement = placement.expect("a server");
        assert_eq!(first[placement.rank], placement.index);
        used[placement.rank] += 1;
    }
    assert!(
        used.iter().all(|count| (70..=130).contains(count)),
        "{used:?}"
    );
}

/// Guards against a popular object whose busy owner keeps its requests.
#[test]
fn a_busy_owner_passes_requests_to_another_owner() {
    let mut servers: Vec<ServerView> = (0..20).map(server).collect();
    let object = mix(77);
    let order = rendezvous_order(object, &servers, 2);
    servers[order[0]].load = 6.0;
    servers[order[1]].load = 3.0;
    for instance in 0..20 {
        let mut request = PlacementRequest::new(Some(object), TARGET, 0);
        request.affinity = ObjectAffinity {
            owners: ObjectOwners::Owners(2),
            instance: mix(instance),
        };
        let placement = choose_server(&request, &servers, &RegionFractions::new());
        assert_eq!(placement.map(|placement| placement.index), Some(order[1]));
    }
}
