//! Guarantee 2, retries and quarantine: surges, total failure, and requests
//! that crash backend servers.

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
const FIT: &str = "/lunwan/fitdesk/fit/1";
/// Above all limits of the contracts, so that a server never sheds and its own
/// maximum shows what the fleet sent.
const MANY_SLOTS: u32 = 1000;
/// The stated bound of attempts, in tenths of the requests.
const ATTEMPT_TENTHS: u64 = 11;

async fn control_all(fleet: &mut Fleet, message: &BackendControl) -> Result<()> {
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

async fn open_slots(fleet: &mut Fleet) -> Result<()> {
    let message = BackendControl {
        slots: Some(MANY_SLOTS),
        ..BackendControl::default()
    };
    control_all(fleet, &message).await
}

/// Sends requests one after another until told to stop, and counts statuses;
/// 0 stands for no answer.
async fn flood(service: SocketAddr, stop: Rc<Cell<bool>>) -> BTreeMap<u16, u64> {
    let client = TestClient::new();
    let mut counts = BTreeMap::new();
    while !stop.get() {
        let request = TestRequest::get(FIT).api_key(KEY);
        let answer = client.send(service, &request).await;
        let status = answer.map_or(0, |answer| answer.code());
        *counts.entry(status).or_insert(0) += 1;
    }
    counts
}

/// Floods a quiet fleet for `time` and returns the statuses.
async fn surge(fleet: &mut Fleet, callers: usize, kill: bool) -> Result<BTreeMap<u16, u64>> {
    let stop = Rc::new(Cell::new(false));
    let floods: Vec<_> = (0..callers)
        .map(|number| {
            let service = fleet.instances[number % fleet.instances.len()].service;
            actix_rt::spawn(flood(service, Rc::clone(&stop)))
        })
        .collect();
    actix_rt::time::sleep(Duration::from_secs(2)).await;
    if kill {
        // Its rights are reclaimed while the surge goes on.
        let last = fleet.instances.len() - 1;
        let name = fleet.instances[last].name.clone();
        fleet.instances[last].process.kill()?;
        fleet.deregister(&name).await?;
        actix_rt::time::sleep(Duration::from_secs(6)).await;
    }
    stop.set(true);
    let mut all = BTreeMap::new();
    for counts in join_all(floods).await {
        for (status, count) in counts? {
            *all.entry(status).or_insert(0) += count;
        }
    }
    Ok(all)
}

/// Guards against more requests on a backend server than it has slots, when a
/// quiet service is flooded and an instance dies in the middle.
#[test]
fn surge_never_exceeds_the_slots_of_a_backend_server() {
    run_test("surge_slots", 2001, async |_random| {
        let mut deployment = lunwan(&["fitdesk"]);
        deployment.services[0].work_ms = 20;
        let slots = u64::from(deployment.services[0].slots);
        let mut fleet = start_fleet([deployment], 4).await?;
        grant_everywhere(&fleet, "lunwan/team-a", KEY, FIT).await?;
        open_slots(&mut fleet).await?;
        let statuses = surge(&mut fleet, 48, true).await?;
        println!("statuses: {statuses:?}");
        let names: Vec<_> = fleet
            .backends
            .iter()
            .map(|b| b.server.name.clone())
            .collect();
        for name in names {
            let counts = fleet.backend_counts(&name).await?;
            println!("{name}: at most {} of {slots}", counts.all.most_running);
            ensure!(
                counts.all.most_running <= slots,
                "{name} ran {} at the same time, it has {slots} slots",
                counts.all.most_running
            );
        }
        ensure!(statuses.get(&200) > Some(&200), "only {statuses:?}");
        Ok(())
    });
}

/// Guards against more requests in a region than its capacity.
#[test]
fn surge_never_exceeds_the_capacity_of_a_region() {
    run_test("surge_region", 2002, async |_random| {
        let capacity = 2;
        let mut deployment = lunwan(&["fitdesk"]);
        deployment.region_capacity = capacity;
        deployment.services[0].work_ms = 20;
        let mut fleet = start_fleet([deployment], 4).await?;
        // One server with more slots than the region's capacity, so that its
        // own maximum is that of the region.
        fleet.backends.truncate(1);
        fleet.apply_contracts().await?;
        grant_everywhere(&fleet, "lunwan/team-a", KEY, FIT).await?;
        open_slots(&mut fleet).await?;
        let statuses = surge(&mut fleet, 24, false).await?;
        println!("statuses: {statuses:?}");
        let name = fleet.backends[0].server.name.clone();
        let most = fleet.backend_counts(&name).await?.all.most_running;
        ensure!(
            most <= u64::from(capacity),
            "{most} ran, capacity {capacity}"
        );
        ensure!(statuses.get(&200) > Some(&50), "only {statuses:?}");
        Ok(())
    });
}

/// Guards against retries that multiply the load when every backend server
/// fails, with errors, cut answers, and late answers.
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
        grant_everywhere(&fleet, "lunwan/team-a", KEY, FIT).await?;
        open_slots(&mut fleet).await?;
        for (round, fault) in faults.into_iter().enumerate() {
            let message = BackendControl {
                fault: Some(fault),
                ..BackendControl::default()
            };
            control_all(&mut fleet, &message).await?;
            let path = format!("/fit/total-failure-{round}");
            let requests = 300_u64;
            let senders = (0..10_usize).map(|sender| {
                let service = fleet.instances[sender % 4].service;
                let path = format!("/lunwan/fitdesk{path}");
                async move {
                    let client = TestClient::new();
                    for _ in 0..requests / 10 {
                        let request = TestRequest::get(path.as_str()).api_key(KEY);
                        let answer = client.send(service, &request).await?;
                        ensure!(answer.code() >= 500, "status {}", answer.code());
                    }
                    Ok(())
                }
            });
            for end in join_all(senders).await {
                end?;
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
                attempts * 10 <= requests * ATTEMPT_TENTHS,
                "round {round}: {attempts} attempts for {requests} requests"
            );
            ensure!(attempts > 0, "round {round}: nothing was attempted");
        }
        Ok(())
    });
}

/// Backend servers that have ended, started again.
async fn restart_crashed(fleet: &mut Fleet) -> Result<usize> {
    let mut crashed = Vec::new();
    for backend in &mut fleet.backends {
        if !backend.process.is_running() {
            crashed.push(backend.server.name.clone());
        }
    }
    let marker = crash_control();
    for name in &crashed {
        fleet.restart_backend(name).await?;
        fleet.control_backend(name, &marker).await?;
    }
    Ok(crashed.len())
}

fn crash_control() -> BackendControl {
    BackendControl {
        fault: Some(BackendFault {
            crash_marker: Some("crash-me".to_owned()),
            ..BackendFault::default()
        }),
        ..BackendControl::default()
    }
}

/// Guards against a request that crashes one backend server after another
/// because its caller repeats it at other instances.
#[test]
fn crashing_request_is_refused_before_its_third_crash() {
    run_test("quarantine", 2004, async |_random| {
        let mut deployment = lunwan(&["fitdesk"]);
        deployment.services[0].servers_per_centre = 2;
        let mut fleet = start_fleet([deployment], 4).await?;
        grant_everywhere(&fleet, "lunwan/team-a", KEY, FIT).await?;
        control_all(&mut fleet, &crash_control()).await?;
        let mut crashes = 0;
        let mut refused = 0;
        for repeat in 0..16_usize {
            let service = fleet.instances[repeat % 4].service;
            let request = TestRequest::post(FIT).api_key(KEY).body("crash-me please");
            let answer = fleet.client.send(service, &request).await?;
            crashes += restart_crashed(&mut fleet).await?;
            ensure!(
                crashes < 3,
                "{crashes} crashes after {} repeats",
                repeat + 1
            );
            match answer.code() {
                423 => {
                    ensure!(answer.outcome() == Some("not_run"), "{}", answer.text());
                    refused += 1;
                }
                502..=504 => {}
                other => eyre::bail!("status {other}: {}", answer.text()),
            }
        }
        println!("{crashes} crashes, {refused} refusals of 16 repeats");
        ensure!(refused > 0, "never refused with 423");
        let harmless = TestRequest::post(FIT).api_key(KEY).body("harmless");
        for instance in &fleet.instances {
            let answer = fleet.client.send(instance.service, &harmless).await?;
            ensure!(answer.code() == 200, "harmless: {}", answer.text());
        }
        Ok(())
    });
}
