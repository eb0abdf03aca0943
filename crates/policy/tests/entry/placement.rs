//! Placement of requests on servers and on the services of a route.

use std::time::Duration;

use tarragonpulley_policy::entry::config::RouteDestination;
use tarragonpulley_policy::entry::placement::{
    PlacementRequest, RegionFractions, ServerView, choose_server, mix, rendezvous_order,
};
use tarragonpulley_policy::entry::split::RouteSplitter;
use yare::parameterized;

const TARGET: Duration = Duration::from_millis(600);

pub(crate) fn server(index: u64) -> ServerView {
    ServerView {
        hash: mix(index + 1),
        slots: 3,
        load: 0.0,
        slowness: 1.0,
        failure_ratio: 0.0,
        cold: false,
        in_own_region: true,
        suspended: false,
        full: false,
        known: false,
        region: 0,
    }
}

fn servers(count: u64) -> Vec<ServerView> {
    (0..count).map(server).collect()
}

fn owner(object: u64, servers: &[ServerView]) -> usize {
    rendezvous_order(object, servers, 1)[0]
}

#[test]
fn a_server_that_leaves_moves_only_its_own_objects() {
    let before = servers(12);
    let after: Vec<ServerView> = before
        .iter()
        .copied()
        .filter(|server| server.hash != before[5].hash)
        .collect();
    for object in (0..500).map(mix) {
        let old = before[owner(object, &before)].hash;
        let new = after[owner(object, &after)].hash;
        assert!(old == new || old == before[5].hash, "object {object} moved");
    }
}

#[test]
fn objects_are_spread_evenly() {
    let servers = servers(10);
    let mut counts = vec![0; servers.len()];
    for object in (0..5000).map(mix) {
        counts[owner(object, &servers)] += 1;
    }
    assert!(
        counts.iter().all(|count| (400..=600).contains(count)),
        "{counts:?}"
    );
}

/// Changes one property of the owner and checks whether it still gets the request.
#[parameterized(
    idle = { |_| (), true },
    all_slots_busy = { |owner| owner.load = 3.0, true },
    queue_of_one_round = { |owner| owner.load = 5.9, true },
    at_the_maximum_load = { |owner| owner.load = 9.0, false },
    twice_as_slow = { |owner| owner.slowness = 2.0, true },
    four_times_as_slow = { |owner| owner.slowness = 4.0, false },
    half_of_its_responses_fail = { |owner| owner.failure_ratio = 0.5, true },
    most_of_its_responses_fail = { |owner| owner.failure_ratio = 0.8, false },
    cold = { |owner| owner.cold = true, true },
    suspended = { |owner| owner.suspended = true, false },
    in_another_region = { |owner| owner.in_own_region = false, true },
)]
fn leaves_the_owner_only_when_another_server_is_clearly_faster(
    change: fn(&mut ServerView),
    keeps_request: bool,
) {
    let mut servers = servers(8);
    let object = mix(77);
    let owner = owner(object, &servers);
    change(&mut servers[owner]);
    let placement = choose_server(
        &PlacementRequest::new(Some(object), TARGET, 0),
        &servers,
        &RegionFractions::new(),
    )
    .expect("a server");
    assert_eq!(placement.index == owner, keeps_request, "{placement:?}");
}

#[test]
fn prefers_a_second_server_that_knows_the_object_to_a_long_queue() {
    let mut servers = servers(8);
    let object = mix(77);
    let order = rendezvous_order(object, &servers, 2);
    servers[order[0]].load = 5.0;
    servers[order[1]].known = true;
    assert_eq!(
        choose_server(
            &PlacementRequest::new(Some(object), TARGET, 0),
            &servers,
            &RegionFractions::new()
        )
        .expect("a server")
        .index,
        order[1]
    );
}

#[test]
fn does_not_queue_an_unknown_object_at_a_second_server() {
    let mut servers = servers(8);
    let object = mix(77);
    let order = rendezvous_order(object, &servers, 8);
    for index in &order {
        servers[*index].load = 3.0;
    }
    servers[order[0]].load = 9.0;
    let placement = choose_server(
        &PlacementRequest::new(Some(object), TARGET, 0),
        &servers,
        &RegionFractions::new(),
    )
    .expect("a server");
    assert!(
        placement.saturated && placement.index == order[0],
        "{placement:?}"
    );
}

#[test]
fn uses_suspended_servers_when_no_other_is_left() {
    let mut servers = servers(2);
    for server in &mut servers {
        server.suspended = true;
    }
    assert!(
        choose_server(
            &PlacementRequest::new(Some(1), TARGET, 0),
            &servers,
            &RegionFractions::new()
        )
        .is_some()
    );
    assert!(
        choose_server(
            &PlacementRequest::new(None, TARGET, 0),
            &servers,
            &RegionFractions::new()
        )
        .is_some()
    );
    assert_eq!(
        choose_server(
            &PlacementRequest::new(Some(1), TARGET, 0),
            &[],
            &RegionFractions::new()
        ),
        None
    );
}

#[parameterized(
    even = { &[1.0, 1.0] },
    one_tenth = { &[9.0, 1.0] },
    three = { &[5.0, 3.0, 2.0] },
)]
fn a_split_follows_its_weights_also_with_few_objects(weights: &[f64]) {
    let destinations: Vec<RouteDestination> = weights
        .iter()
        .enumerate()
        .map(|(index, weight)| RouteDestination {
            service: format!("s{index}").parse().expect("a name"),
            weight: *weight,
        })
        .collect();
    let mut splitter = RouteSplitter::default();
    let mut counts = vec![0.0; destinations.len()];
    for request in 0..2000_u64 {
        counts[splitter.choose(&destinations, mix(request % 5))] += 1.0;
    }
    let total: f64 = weights.iter().sum();
    for (count, weight) in counts.iter().zip(weights) {
        let deviation: f64 = count / 2000.0 - weight / total;
        assert!(deviation.abs() < 0.1, "{counts:?} for {weights:?}");
    }
}

#[test]
fn a_full_service_reserves_capacity_for_more_urgent_requests() {
    let mut servers = servers(6);
    for server in &mut servers {
        server.load = 8.5;
    }
    let saturated = |priority| {
        choose_server(
            &PlacementRequest::new(Some(mix(77)), TARGET, priority),
            &servers,
            &RegionFractions::new(),
        )
        .expect("a server")
        .saturated
    };
    assert_eq!(
        [saturated(0), saturated(1), saturated(9)],
        [false, true, true]
    );
}
