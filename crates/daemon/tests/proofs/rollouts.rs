//! Guarantees 1 and 5: rollouts of good and bad versions under load, with the
//! instance that drives them killed, paused or one of several.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use eyre::{Result, ensure, eyre};
use futures_util::future::join_all;
use serde_json::{Value, json};
use tarragonpulley_testkit::{BackendControl, BackendFault, Fleet, TestClient, TestRequest};

use crate::common::{
    PATIENCE, TICK, apply_body, claim_warm, grant_everywhere, lunwan, newest_revision, operate,
    run_test, start_fleet, status, wait_in_force,
};

const KEY: &str = "key-of-the-rolling-team";
const FIT: &str = "/lunwan/fitdesk/fit/1";
const OPEN: &str = "/lunwan/fitdesk/open/1";
const CAP_PERCENT: u64 = 5;
const DEADLINE: Duration = Duration::from_secs(30);
/// The stated time in which a bad version gets nothing any more.
const FAULT_SETTLED: Duration = Duration::from_secs(3);

/// What happens to the instances during a rollout.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Disturbance {
    None,
    KillFirst,
    PauseFirst,
}

async fn call(service: SocketAddr, stop: Rc<Cell<bool>>) {
    let client = TestClient::new();
    let mut number = 0_u32;
    while !stop.get() {
        number += 1;
        let request = if number.is_multiple_of(2) {
            TestRequest::get(FIT).api_key(KEY)
        } else {
            TestRequest::get(OPEN)
        };
        // Refusals and lost answers do not matter here: the runs are counted
        // by the backend servers.
        if client.send(service, &request).await.is_err() {
            actix_rt::time::sleep(TICK).await;
        }
    }
}

/// Requests started on the servers of a version.
async fn runs_of(fleet: &mut Fleet, version: &str) -> Result<u64> {
    let sites = fleet
        .backends
        .iter()
        .filter(|b| b.server.version == version);
    let names: Vec<_> = sites.map(|b| b.server.name.clone()).collect();
    let mut runs = 0;
    for name in names {
        runs += fleet.backend_counts(&name).await?.all.started;
    }
    Ok(runs)
}

async fn fleet_with_versions(fault: &BackendFault) -> Result<Fleet> {
    let mut fleet = start_fleet([lunwan(&["fitdesk"])], 4).await?;
    for centre in ["north-1", "north-2"] {
        let name = format!("new-{centre}");
        fleet
            .start_backend("lunwan", "fitdesk", centre, &name, "v2")
            .await?;
        let message = BackendControl {
            fault: Some(fault.clone()),
            ..BackendControl::default()
        };
        fleet.control_backend(&name, &message).await?;
    }
    claim_warm(&mut fleet).await?;
    let operator = fleet.instances[0].direct.operator;
    let body = apply_body(&fleet, None)?;
    let answer = operate(&fleet.client, operator, "/v1/apply", &body).await?;
    ensure!(answer.code() == 200, "apply: {}", answer.text());
    wait_in_force(&fleet, newest_revision(&fleet).await, PATIENCE).await?;
    grant_everywhere(&fleet, "lunwan/team-a", KEY, FIT).await?;
    Ok(fleet)
}

/// The state and share of the move as one of the instances tells them.
async fn move_state(fleet: &Fleet) -> Option<(String, String)> {
    for index in (0..fleet.instances.len()).rev() {
        let Ok(status) = status(fleet, index).await else {
            continue;
        };
        let record: &Value = &status["moves"][0];
        let text = |name: &str| record[name].as_str().map(str::to_owned);
        if let (Some(state), Some(share)) = (text("state"), text("share")) {
            return Some((state, share));
        }
    }
    None
}

fn percent(share: &str) -> f64 {
    share.trim_end_matches('%').parse().unwrap_or(100.0)
}

struct RolloutEnd {
    state: String,
    took: Duration,
    /// Runs of the new and of all versions while the share was within the cap.
    capped: (u64, u64),
    /// Runs of the new and of all versions at the end.
    total: (u64, u64),
    /// Runs of the new version after it was taken back and settled.
    late: u64,
}

async fn roll_out(fleet: &mut Fleet, disturbance: Disturbance) -> Result<RolloutEnd> {
    let before = runs_of(fleet, "v1").await?;
    let stop = Rc::new(Cell::new(false));
    let callers: Vec<_> = fleet
        .instances
        .iter()
        .map(|instance| actix_rt::spawn(call(instance.service, Rc::clone(&stop))))
        .collect();
    let order = json!({
        "name": "up",
        "kind": {"rollout": {"service": "lunwan/fitdesk", "from": "v1", "to": "v2"}},
        "cap": format!("{CAP_PERCENT}%"),
        "deadline": format!("{}s", DEADLINE.as_secs()),
    });
    let operator = fleet.instances[1].direct.operator;
    let answer = operate(&fleet.client, operator, "/v1/moves", &order).await?;
    ensure!(answer.code() == 200, "move: {}", answer.text());
    let started = Instant::now();
    let (mut capped, mut passed_cap) = ((0, 0), false);
    let mut disturbed = disturbance == Disturbance::None;
    let state = loop {
        let (state, share) = move_state(fleet).await.ok_or_else(|| eyre!("no move"))?;
        // The new version is counted first, so that requests in between make
        // its part look smaller, never larger.
        let new = runs_of(fleet, "v2").await?;
        let old = runs_of(fleet, "v1").await? - before;
        let after = move_state(fleet).await.unwrap_or_default();
        let within = |share: &str| percent(share) <= 5.0;
        if !passed_cap && within(&share) && within(&after.1) {
            capped = (new, new + old);
        }
        // After a rollback the share is within the cap again, the count is not.
        passed_cap |= !within(&share) || !within(&after.1);
        if state == "completed" || state == "taken_back" {
            break state;
        }
        if !disturbed && percent(&share) > 0.0 {
            disturbed = true;
            let first = &mut fleet.instances[0].process;
            match disturbance {
                Disturbance::KillFirst => {
                    first.kill()?;
                    fleet.deregister("i1").await?;
                }
                Disturbance::PauseFirst => first.pause()?,
                Disturbance::None => {}
            }
        }
        ensure!(
            started.elapsed() < DEADLINE + PATIENCE,
            "the move is {state}"
        );
        actix_rt::time::sleep(TICK * 10).await;
    };
    let took = started.elapsed();
    if disturbance == Disturbance::PauseFirst {
        fleet.instances[0].process.resume()?;
    }
    actix_rt::time::sleep(FAULT_SETTLED).await;
    let settled = runs_of(fleet, "v2").await?;
    actix_rt::time::sleep(Duration::from_secs(1)).await;
    let new = runs_of(fleet, "v2").await?;
    let old = runs_of(fleet, "v1").await? - before;
    stop.set(true);
    join_all(callers).await;
    println!(
        "{disturbance:?}: {state} after {} ms, {} of {} runs within the cap, {new} of {} in all",
        took.as_millis(),
        capped.0,
        capped.1,
        new + old
    );
    Ok(RolloutEnd {
        state,
        took,
        capped,
        total: (new, new + old),
        late: new - settled,
    })
}

fn check_cap(end: &RolloutEnd) -> Result<()> {
    let (new, all) = end.capped;
    ensure!(new > 0, "the new version was not tried");
    ensure!(
        new * 100 <= all * CAP_PERCENT,
        "{new} of {all} runs, over the cap of {CAP_PERCENT} %"
    );
    Ok(())
}

fn bad_version(name: &str, seed: u64, fault: &BackendFault, disturbance: Disturbance) {
    run_test(name, seed, async |_random| {
        let mut fleet = fleet_with_versions(fault).await?;
        let end = roll_out(&mut fleet, disturbance).await?;
        ensure!(end.state == "taken_back", "the bad version {}", end.state);
        ensure!(end.took <= DEADLINE, "after {} ms", end.took.as_millis());
        check_cap(&end)?;
        let (new, all) = end.total;
        ensure!(new * 100 <= all * CAP_PERCENT, "{new} of {all} runs");
        ensure!(end.late == 0, "{} runs after it was taken back", end.late);
        Ok(())
    });
}

fn good_version(name: &str, seed: u64, disturbance: Disturbance) {
    run_test(name, seed, async |_random| {
        let mut fleet = fleet_with_versions(&BackendFault::default()).await?;
        let end = roll_out(&mut fleet, disturbance).await?;
        ensure!(end.state == "completed", "the good version {}", end.state);
        ensure!(end.took <= DEADLINE, "after {} ms", end.took.as_millis());
        check_cap(&end)?;
        ensure!(end.late > 0, "the completed version gets no requests");
        Ok(())
    });
}

/// Guards against a version that fails all its requests and stays.
#[test]
fn version_that_fails_at_once_is_taken_back() {
    let fault = BackendFault {
        fail_share: 1.0,
        ..BackendFault::default()
    };
    bad_version("bad_at_once", 12001, &fault, Disturbance::None);
}

/// Guards against a fault that shows on one of two routes only and drowns in
/// the requests of the other.
#[test]
fn version_that_fails_on_one_route_is_taken_back() {
    let fault = BackendFault {
        fail_share: 1.0,
        only_path: Some("/open".to_owned()),
        ..BackendFault::default()
    };
    bad_version("bad_on_one_route", 12002, &fault, Disturbance::None);
}

/// Guards against a slow version that is not found, and against a rollout that
/// stays when an instance that drives it dies.
#[test]
fn slow_version_is_taken_back_though_a_driver_is_killed() {
    let fault = BackendFault {
        slow_ms: 60,
        ..BackendFault::default()
    };
    bad_version("bad_slow", 12003, &fault, Disturbance::KillFirst);
}

/// Guards against a good version that does not complete before its deadline,
/// or passes its cap before it is proved sound.
#[test]
fn good_version_completes_in_time() {
    good_version("good", 12004, Disturbance::None);
}

/// Guards against a paused driver that passes the cap or turns a step back when
/// it resumes.
#[test]
fn good_version_completes_though_a_driver_is_paused() {
    good_version("good_paused", 12005, Disturbance::PauseFirst);
}
