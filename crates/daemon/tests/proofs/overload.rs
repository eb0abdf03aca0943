//! Guarantee 2, retries and quarantine: load surges, total backend failure, and
//! requests that crash backend servers.

use std::cell::Cell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use eyre::{Result, ensure};
use futures_util::future::join_all;
use tarragonpulley_testkit::{BackendControl, BackendFault, Fleet, TestClient, TestRequest};

use crate::common::{grant_everywhere, lunwan, run_test, start_fleet};

const KEY: &str = "key-of-the-surging-team";
const FIT_PATH: &str = "/lunwan/fitdesk/fit/1";
/// Above all limits of the contracts, so that a server never sheds load and its
/// peak concurrency shows what the fleet sent.
const UNLIMITED_SLOTS: u32 = 1000;
/// The guaranteed maximum number of attempts for ten requests.
const MAX_ATTEMPTS_PER_TEN_REQUESTS: u64 = 11;

async fn control_backends(fleet: &mut Fleet, message: &BackendControl) -> Result<()> {
    let names: Vec<_> = fleet
        .backends
        .iter()
        .map(|b| b.server.name.clone())
        .collect();
    for name in names {
        fleet.control_backend(&name, message).await?;
    }
    Ok(())
}

async fn set_unlimited_slots(fleet: &mut Fleet) -> Result<()> {
    let message = BackendControl {
        slots: Some(UNLIMITED_SLOTS),
        ..BackendControl::default()
    };
    control_backends(fleet, &message).await
}

/// Sends requests one after another until `stop` is set, and counts responses by
/// status; 0 counts requests without a response.
async fn send_until_stopped(service: SocketAddr, stop: Rc<Cell<bool>>) -> BTreeMap<u16, u64> {
    let client = TestClient::new();
    let mut counts = BTreeMap::new();
    while !stop.get() {
        let request = TestRequest::get(FIT_PATH).api_key(KEY);
        let response = client.send(service, &request).await;
        let status = response.map_or(0, |response| response.code());
        *counts.entry(status).or_insert(0) += 1;
    }
    counts
}

/// Sends requests from many callers at once to an idle fleet and returns the
/// number of responses by status. Kills the last instance on request.
async fn surge(fleet: &mut Fleet, callers: usize, kill_last: bool) -> Result<BTreeMap<u16, u64>> {
    let stop = Rc::new(Cell::new(false));
    let senders: Vec<_> = (0..callers)
        .map(|number| {
            let service = fleet.instances[number % fleet.instances.len()].service;
            actix_rt::spawn(send_until_stopped(service, Rc::clone(&stop)))
        })
        .collect();
    actix_rt::time::sleep(Duration::from_secs(2)).await;
    if kill_last {
        // The rights of the instance are reclaimed during the surge.
        let last = fleet.instances.len() - 1;
        let name = fleet.instances[last].name.clone();
        fleet.instances[last].process.kill()?;
        fleet.deregister(&name).await?;
        actix_rt::time::sleep(Duration::from_secs(6)).await;
    }
    stop.set(true);
    let mut all = BTreeMap::new();
    for counts in join_all(senders).await {
        for (status, count) in counts? {
            *all.entry(status).or_insert(0) += count;
        }
    }
    Ok(all)
}

/// Guards against more concurrent requests on a backend server than it has
/// slots, when load on an idle service surges and an instance is killed meanwhile.
#[test]
fn surge_never_exceeds_the_slots_of_a_backend_server() {
    run_test("surge_slots", 2001, async |_random| {
        let mut deployment = lunwan(&["fitdesk"]);
        deployment.services[0].work_ms = 20;
        let slots = u64::from(deployment.services[0].slots);
        let mut fleet = start_fleet([deployment], 4).await?;
        grant_everywhere(&fleet, "lunwan/team-a", KEY, FIT_PATH).await?;
        set_unlimited_slots(&mut fleet).await?;
        let statuses = surge(&mut fleet, 48, true).await?;
        println!("statuses: {statuses:?}");
        let names: Vec<_> = fleet
            .backends
            .iter()
            .map(|b| b.server.name.clone())
            .collect();
        for name in names {
            let counts = fleet.backend_counts(&name).await?;
            println!("{name}: peak {} of {slots} slots", counts.all.most_running);
            ensure!(
                counts.all.most_running <= slots,
                "{name} ran {} concurrent requests, but has {slots} slots",
                counts.all.most_running
            );
        }
        ensure!(statuses.get(&200) > Some(&200), "only {statuses:?}");
        Ok(())
    });
}

/// Guards against more concurrent requests in a region than its capacity.
#[test]
fn surge_never_exceeds_the_capacity_of_a_region() {
    run_test("surge_region", 2002, async |_random| {
        let capacity = 2;
        let mut deployment = lunwan(&["fitdesk"]);
        deployment.region_capacity = capacity;
        deployment.services[0].work_ms = 20;
        let mut fleet = start_fleet([deployment], 4).await?;
        // One server with more slots than the region's capacity, so that its peak
        // concurrency is that of the region.
        fleet.backends.truncate(1);
        fleet.apply_contracts().await?;
        grant_everywhere(&fleet, "lunwan/team-a", KEY, FIT_PATH).await?;
        set_unlimited_slots(&mut fleet).await?;
        let statuses = surge(&mut fleet, 24, false).await?;
        println!("statuses: {statuses:?}");
        let name = fleet.backends[0].server.name.clone();
        let max_running = fleet.backend_counts(&name).await?.all.most_running;
        ensure!(
            max_running <= u64::from(capacity),
            "{max_running} concurrent requests, capacity {capacity}"
        );
        ensure!(statuses.get(&200) > Some(&50), "only {statuses:?}");
        Ok(())
    });
}

/// Guards against retries that multiply the load when every backend server fails
/// with errors, responses to other requests, or late responses.
#[test]
fn attempts_stay_bounded_under_total_backend_failure() {
    run_test("total_failure", 2003, async |_random| {
        let faults = [
            BackendFault {
                fail_share: 1.0,
                ..BackendFault::default()
            },
            BackendFault {
                wrong_id_share: 1.0,
                ..BackendFault::default()
            },
            BackendFault {
                slow_ms: 2000,
                ..BackendFault::default()
            },
        ];
        let mut fleet = start_fleet([lunwan(&["fitdesk"])], 4).await?;
        grant_everywhere(&fleet, "lunwan/team-a", KEY, FIT_PATH).await?;
        set_unlimited_slots(&mut fleet).await?;
        for (round, fault) in faults.into_iter().enumerate() {
            let message = BackendControl {
                fault: Some(fault),
                ..BackendControl::default()
            };
            control_backends(&mut fleet, &message).await?;
            let path = format!("/fit/total-failure-{round}");
            let requests = 300_u64;
            let senders = (0..10_usize).map(|sender| {
                let service = fleet.instances[sender % 4].service;
                let path = format!("/lunwan/fitdesk{path}");
                async move {
                    let client = TestClient::new();
                    for _ in 0..requests / 10 {
                        let request = TestRequest::get(path.as_str()).api_key(KEY);
                        let response = client.send(service, &request).await?;
                        ensure!(response.code() >= 500, "status {}", response.code());
                    }
                    Ok(())
                }
            });
            for result in join_all(senders).await {
                result?;
            }
            let names: Vec<_> = fleet
                .backends
                .iter()
                .map(|b| b.server.name.clone())
                .collect();
            let mut attempts = 0;
            for name in names {
                let counts = fleet.backend_counts(&name).await?;
                attempts += counts.by_path.get(&path).map_or(0, |c| c.started);
            }
            println!("round {round}: {requests} requests, {attempts} attempts");
            ensure!(
                attempts * 10 <= requests * MAX_ATTEMPTS_PER_TEN_REQUESTS,
                "round {round}: {attempts} attempts for {requests} requests"
            );
            ensure!(attempts > 0, "round {round}: no attempts");
        }
        Ok(())
    });
}

/// Restarts the backend servers that have exited and returns their number.
async fn restart_crashed_backends(fleet: &mut Fleet) -> Result<usize> {
    let mut crashed = Vec::new();
    for backend in &mut fleet.backends {
        if !backend.process.is_running() {
            crashed.push(backend.server.name.clone());
        }
    }
    let fault = crash_fault();
    for name in &crashed {
        fleet.restart_backend(name).await?;
        fleet.control_backend(name, &fault).await?;
    }
    Ok(crashed.len())
}

/// A backend server crashes on a request whose body has the marker.
fn crash_fault() -> BackendControl {
    BackendControl {
        fault: Some(BackendFault {
            crash_marker: Some("crash-me".to_owned()),
            ..BackendFault::default()
        }),
        ..BackendControl::default()
    }
}

/// Guards against a request that crashes one backend server after another
/// because its caller retries it at other instances.
#[test]
fn crashing_request_is_rejected_before_its_third_crash() {
    run_test("quarantine", 2004, async |_random| {
        let mut deployment = lunwan(&["fitdesk"]);
        deployment.services[0].servers_per_centre = 2;
        let mut fleet = start_fleet([deployment], 4).await?;
        grant_everywhere(&fleet, "lunwan/team-a", KEY, FIT_PATH).await?;
        control_backends(&mut fleet, &crash_fault()).await?;
        let mut crashes = 0;
        let mut rejected = 0;
        for attempt in 0..16_usize {
            let service = fleet.instances[attempt % 4].service;
            let request = TestRequest::post(FIT_PATH)
                .api_key(KEY)
                .body("crash-me please");
            let response = fleet.client.send(service, &request).await?;
            crashes += restart_crashed_backends(&mut fleet).await?;
            ensure!(
                crashes < 3,
                "{crashes} crashes after {} attempts",
                attempt + 1
            );
            match response.code() {
                423 => {
                    ensure!(response.outcome() == Some("not_run"), "{}", response.text());
                    rejected += 1;
                }
                502..=504 => {}
                other => eyre::bail!("status {other}: {}", response.text()),
            }
        }
        println!("{crashes} crashes, {rejected} rejections in 16 attempts");
        ensure!(rejected > 0, "never rejected with 423");
        let harmless = TestRequest::post(FIT_PATH).api_key(KEY).body("harmless");
        for instance in &fleet.instances {
            let response = fleet.client.send(instance.service, &harmless).await?;
            ensure!(response.code() == 200, "harmless: {}", response.text());
        }
        Ok(())
    });
}
