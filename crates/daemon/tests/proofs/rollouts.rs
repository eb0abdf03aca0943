//! Guarantees 1 and 5: rollouts of good and bad versions under load, while all
//! instances run or one of the instances that drive the rollout is killed or
//! paused.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use eyre::{Result, ensure, eyre};
use futures_util::future::join_all;
use serde_json::{Value, json};
use tarragonpulley_testkit::{BackendControl, BackendFault, Fleet, TestClient, TestRequest};

use crate::common::{
    POLL_INTERVAL, WAIT_TIMEOUT, apply_body, grant_everywhere, lunwan, newest_revision,
    report_warm, run_test, send_operator_request, start_fleet, status, wait_for_revision,
};

const KEY: &str = "key-of-the-rolling-team";
const FIT_PATH: &str = "/lunwan/fitdesk/fit/1";
const OPEN_PATH: &str = "/lunwan/fitdesk/open/1";
/// Maximum percentage of requests for a version that isn't yet judged.
const CANARY_CAP_PERCENT: u64 = 5;
/// Sent as the deadline of the move.
const ROLLOUT_TIMEOUT: Duration = Duration::from_secs(30);
/// The guaranteed time after a rollback until the bad version gets no requests.
const ROLLBACK_SETTLE_TIME: Duration = Duration::from_secs(3);

/// Fault injected into the first instance during a rollout.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum InstanceFault {
    None,
    KillFirst,
    PauseFirst,
}

/// Sends requests one after another until `stop` is set.
async fn send_requests(service: SocketAddr, stop: Rc<Cell<bool>>) {
    let client = TestClient::new();
    let mut number = 0_u32;
    while !stop.get() {
        number += 1;
        let request = if number.is_multiple_of(2) {
            TestRequest::get(FIT_PATH).api_key(KEY)
        } else {
            TestRequest::get(OPEN_PATH)
        };
        // Rejections and lost responses don't matter here, because the backend
        // servers count the requests that they run.
        if client.send(service, &request).await.is_err() {
            actix_rt::time::sleep(POLL_INTERVAL).await;
        }
    }
}

/// Counts the requests started on the servers of a version.
async fn count_runs(fleet: &mut Fleet, version: &str) -> Result<u64> {
    let servers = fleet
        .backends
        .iter()
        .filter(|b| b.server.version == version);
    let names: Vec<_> = servers.map(|b| b.server.name.clone()).collect();
    let mut runs = 0;
    for name in names {
        runs += fleet.backend_counts(&name).await?.all.started;
    }
    Ok(runs)
}

/// Starts a fleet with servers of v1 and v2. The servers of v2 have the fault.
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
    report_warm(&mut fleet).await?;
    let operator = fleet.instances[0].direct.operator;
    let body = apply_body(&fleet, None)?;
    let response = send_operator_request(&fleet.client, operator, "/v1/apply", &body).await?;
    ensure!(response.code() == 200, "apply: {}", response.text());
    wait_for_revision(&fleet, newest_revision(&fleet).await, WAIT_TIMEOUT).await?;
    grant_everywhere(&fleet, "lunwan/team-a", KEY, FIT_PATH).await?;
    Ok(fleet)
}

/// Returns the state and share of the move, from the last instance that reports
/// one.
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

/// State and counts after a rollout.
struct RolloutResult {
    state: String,
    duration: Duration,
    /// Runs of the new version and of all versions until the share of the new
    /// version passed the cap.
    runs_within_cap: (u64, u64),
    /// Runs of the new version and of all versions over the whole rollout.
    total_runs: (u64, u64),
    /// Runs of the new version in the second after the settling time.
    runs_after_settling: u64,
}

async fn roll_out(fleet: &mut Fleet, instance_fault: InstanceFault) -> Result<RolloutResult> {
    let v1_runs_before = count_runs(fleet, "v1").await?;
    let stop = Rc::new(Cell::new(false));
    let callers: Vec<_> = fleet
        .instances
        .iter()
        .map(|instance| actix_rt::spawn(send_requests(instance.service, Rc::clone(&stop))))
        .collect();
    let move_request = json!({
        "name": "up",
        "kind": {"rollout": {"service": "lunwan/fitdesk", "from": "v1", "to": "v2"}},
        "cap": format!("{CANARY_CAP_PERCENT}%"),
        "deadline": format!("{}s", ROLLOUT_TIMEOUT.as_secs()),
    });
    let operator = fleet.instances[1].direct.operator;
    let response =
        send_operator_request(&fleet.client, operator, "/v1/moves", &move_request).await?;
    ensure!(response.code() == 200, "move: {}", response.text());
    let started = Instant::now();
    let (mut runs_within_cap, mut exceeded_cap) = ((0, 0), false);
    let mut injected = instance_fault == InstanceFault::None;
    let state = loop {
        let (state, share) = move_state(fleet).await.ok_or_else(|| eyre!("no move"))?;
        // The new version is counted first, so that requests between the two
        // counts can only lower its measured fraction.
        let new = count_runs(fleet, "v2").await?;
        let old = count_runs(fleet, "v1").await? - v1_runs_before;
        let after = move_state(fleet).await.unwrap_or_default();
        let is_within_cap = |share: &str| percent(share) <= 5.0;
        if !exceeded_cap && is_within_cap(&share) && is_within_cap(&after.1) {
            runs_within_cap = (new, new + old);
        }
        // After a rollback the share is within the cap again, but the counts still
        // include the requests above the cap.
        exceeded_cap |= !is_within_cap(&share) || !is_within_cap(&after.1);
        if state == "completed" || state == "taken_back" {
            break state;
        }
        if !injected && percent(&share) > 0.0 {
            injected = true;
            let first = &mut fleet.instances[0].process;
            match instance_fault {
                InstanceFault::KillFirst => {
                    first.kill()?;
                    fleet.deregister("i1").await?;
                }
                InstanceFault::PauseFirst => first.pause()?,
                InstanceFault::None => {}
            }
        }
        ensure!(
            started.elapsed() < ROLLOUT_TIMEOUT + WAIT_TIMEOUT,
            "the move is still {state}"
        );
        actix_rt::time::sleep(POLL_INTERVAL * 10).await;
    };
    let duration = started.elapsed();
    if instance_fault == InstanceFault::PauseFirst {
        fleet.instances[0].process.resume()?;
    }
    actix_rt::time::sleep(ROLLBACK_SETTLE_TIME).await;
    let settled = count_runs(fleet, "v2").await?;
    actix_rt::time::sleep(Duration::from_secs(1)).await;
    let new = count_runs(fleet, "v2").await?;
    let old = count_runs(fleet, "v1").await? - v1_runs_before;
    stop.set(true);
    join_all(callers).await;
    println!(
        "{instance_fault:?}: {state} after {} ms, {} of {} runs within the cap, \
         {new} of {} runs in total",
        duration.as_millis(),
        runs_within_cap.0,
        runs_within_cap.1,
        new + old
    );
    Ok(RolloutResult {
        state,
        duration,
        runs_within_cap,
        total_runs: (new, new + old),
        runs_after_settling: new - settled,
    })
}

fn check_cap(result: &RolloutResult) -> Result<()> {
    let (new, all) = result.runs_within_cap;
    ensure!(new > 0, "the new version got no requests");
    ensure!(
        new * 100 <= all * CANARY_CAP_PERCENT,
        "{new} of {all} runs on the new version, over the cap of {CANARY_CAP_PERCENT} %"
    );
    Ok(())
}

fn check_bad_version(name: &str, seed: u64, fault: &BackendFault, instance_fault: InstanceFault) {
    run_test(name, seed, async |_random| {
        let mut fleet = fleet_with_versions(fault).await?;
        let result = roll_out(&mut fleet, instance_fault).await?;
        ensure!(
            result.state == "taken_back",
            "state of the bad version: {}",
            result.state
        );
        ensure!(
            result.duration <= ROLLOUT_TIMEOUT,
            "the rollout took {} ms",
            result.duration.as_millis()
        );
        check_cap(&result)?;
        let (new, all) = result.total_runs;
        ensure!(
            new * 100 <= all * CANARY_CAP_PERCENT,
            "{new} of {all} runs on the bad version"
        );
        ensure!(
            result.runs_after_settling == 0,
            "{} runs after the rollback",
            result.runs_after_settling
        );
        Ok(())
    });
}

fn check_good_version(name: &str, seed: u64, instance_fault: InstanceFault) {
    run_test(name, seed, async |_random| {
        let mut fleet = fleet_with_versions(&BackendFault::default()).await?;
        let result = roll_out(&mut fleet, instance_fault).await?;
        ensure!(
            result.state == "completed",
            "state of the good version: {}",
            result.state
        );
        ensure!(
            result.duration <= ROLLOUT_TIMEOUT,
            "the rollout took {} ms",
            result.duration.as_millis()
        );
        check_cap(&result)?;
        ensure!(
            result.runs_after_settling > 0,
            "the new version gets no requests after completion"
        );
        Ok(())
    });
}

/// Guards against a version that fails all its requests and isn't rolled back.
#[test]
fn version_failing_all_requests_is_rolled_back() {
    let fault = BackendFault {
        fail_share: 1.0,
        ..BackendFault::default()
    };
    check_bad_version("bad_on_all_routes", 12001, &fault, InstanceFault::None);
}

/// Guards against a fault on one of two routes that goes undetected because the
/// requests of the other route dilute its failure ratio.
#[test]
fn version_failing_on_one_route_is_rolled_back() {
    let fault = BackendFault {
        fail_share: 1.0,
        only_path: Some("/open".to_owned()),
        ..BackendFault::default()
    };
    check_bad_version("bad_on_one_route", 12002, &fault, InstanceFault::None);
}

/// Guards against a slow version that goes undetected, and against a rollout
/// that stalls when an instance that drives it is killed.
#[test]
fn slow_version_is_rolled_back_after_a_driver_is_killed() {
    let fault = BackendFault {
        slow_ms: 60,
        ..BackendFault::default()
    };
    check_bad_version("bad_slow", 12003, &fault, InstanceFault::KillFirst);
}

/// Guards against a good version that doesn't complete before its deadline, or
/// exceeds the cap before it is judged good.
#[test]
fn good_version_completes_before_its_deadline() {
    check_good_version("good", 12004, InstanceFault::None);
}

/// Guards against a paused driver that exceeds the cap, or reverts a step of the
/// rollout when it resumes.
#[test]
fn good_version_completes_while_a_driver_is_paused() {
    check_good_version("good_paused", 12005, InstanceFault::PauseFirst);
}
