//! Guarantee 6: each caller gets the complete response to its own request, and
//! open connections that become unresponsive don't delay requests.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use eyre::{Result, ensure, eyre};
use futures_util::future::join_all;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::Value;
use tarragonpulley_testkit::{
    BackendControl, BackendFault, Fleet, FreezeDirections, LinkControl, LinkTarget, Process,
    ProcessCommand, TestClient, TestRequest, TestResponse,
};

use crate::common::{
    WAIT_TIMEOUT, grant_everywhere, lunwan, newest_revision, proved_revision, run_test,
    start_fleet, wait_for_revision,
};

const KEY: &str = "key-of-the-answered-team";
const FIT_PATH: &str = "/lunwan/fitdesk/fit/1";
const SWAPS_PATH: &str = "/lunwan/swapledger/swaps";
/// The timeout of the idempotent route.
const FIT_TIMEOUT: Duration = Duration::from_millis(500);
/// Allowance for the transit of the request and the response.
const TRANSIT_ALLOWANCE: Duration = Duration::from_millis(100);

/// Checks that the body of a response names the path of its request, and the
/// same request id as the header of the response.
fn check_matches_request(path: &str, response: &TestResponse) -> Result<()> {
    let body: Value = response.json()?;
    let found = body["path"].as_str().unwrap_or_default();
    ensure!(path.ends_with(found), "{path} got the response to {found}");
    let id = body["request_id"].as_str();
    ensure!(
        id.is_some() && id == response.header("x-request-id"),
        "{path}: {id:?} in the body, {:?} in the header",
        response.header("x-request-id")
    );
    Ok(())
}

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

/// Counts the requests started by path, over all backend servers.
async fn runs_by_path(fleet: &mut Fleet) -> Result<BTreeMap<String, u64>> {
    let names: Vec<_> = fleet
        .backends
        .iter()
        .map(|b| b.server.name.clone())
        .collect();
    let mut runs = BTreeMap::new();
    for name in names {
        for (path, count) in fleet.backend_counts(&name).await?.by_path {
            *runs.entry(path).or_insert(0) += count.started;
        }
    }
    Ok(runs)
}

/// Sends requests with distinct bodies and paths and checks each response.
/// Returns the paths that succeeded, and those that failed with their outcome.
async fn check_responses(
    service: SocketAddr,
    caller: u64,
    count: u64,
    seed: u64,
) -> Result<(Vec<String>, Vec<(String, String)>)> {
    let client = TestClient::new();
    let mut random = StdRng::seed_from_u64(seed + caller);
    let (mut succeeded, mut failed) = (Vec::new(), Vec::new());
    for number in 0..count {
        let path = format!("/fit/{caller}-{number}");
        let request = if random.random_bool(0.5) {
            TestRequest::get(format!("/lunwan/fitdesk{path}"))
        } else {
            TestRequest::post(format!("/lunwan/fitdesk{path}")).body(path.clone())
        };
        // The client fails on a body that is shorter than its content length.
        let response = client.send(service, &request.api_key(KEY)).await?;
        if response.code() == 200 {
            check_matches_request(&path, &response)?;
            succeeded.push(path);
        } else {
            let outcome = response.outcome().unwrap_or("none").to_owned();
            ensure!(
                matches!(response.code(), 502..=504),
                "{path}: status {}",
                response.code()
            );
            failed.push((path, outcome));
        }
    }
    Ok((succeeded, failed))
}

/// Guards against responses that belong to another request, are truncated or
/// belong to a request that timed out, and against errors that report a wrong
/// outcome.
#[test]
fn callers_get_complete_responses_to_their_own_requests() {
    let seed = 6001;
    run_test("own_responses", seed, async |_random| {
        let mut fleet = start_fleet([lunwan(&["fitdesk"])], 2).await?;
        grant_everywhere(&fleet, "lunwan/team-a", KEY, FIT_PATH).await?;
        let faults = [
            BackendFault {
                wrong_id_share: 0.2,
                ..BackendFault::default()
            },
            BackendFault {
                cut_share: 0.2,
                ..BackendFault::default()
            },
            BackendFault {
                wrong_id_share: 0.2,
                cut_share: 0.2,
                slow_ms: 150,
                ..BackendFault::default()
            },
        ];
        for (round, fault) in faults.iter().enumerate() {
            let message = BackendControl {
                fault: Some(fault.clone()),
                answer_bytes: Some(if round == 1 { 200_000 } else { 200 }),
                ..BackendControl::default()
            };
            control_backends(&mut fleet, &message).await?;
            let first = 100 * round as u64;
            let callers = (0..6_u64).map(|caller| {
                let index = usize::from(caller % 2 == 1);
                check_responses(fleet.instances[index].service, first + caller, 40, seed)
            });
            let mut succeeded = Vec::new();
            let mut failed = Vec::new();
            for result in join_all(callers).await {
                let (caller_succeeded, caller_failed) = result?;
                succeeded.extend(caller_succeeded);
                failed.extend(caller_failed);
            }
            println!(
                "round {round}: {} succeeded, {} failed",
                succeeded.len(),
                failed.len()
            );
            ensure!(succeeded.len() > 100, "only {} succeeded", succeeded.len());
            ensure!(!failed.is_empty(), "no request met a fault");
            let runs = runs_by_path(&mut fleet).await?;
            for path in &succeeded {
                ensure!(runs.contains_key(path), "{path} succeeded but didn't run");
            }
            for (path, outcome) in &failed {
                let ran = runs.contains_key(path);
                let correct = match outcome.as_str() {
                    "not_run" => !ran,
                    "ran" => ran,
                    "unknown" => true,
                    _ => false,
                };
                ensure!(correct, "{path}: reported outcome {outcome}, ran: {ran}");
            }
        }
        Ok(())
    });
}

/// Guards against forwarding responses that are truncated or name another
/// request, when every response does.
#[test]
fn truncated_and_mismatched_responses_are_rejected() {
    let seed = 6004;
    run_test("all_responses_bad", seed, async |_random| {
        let mut fleet = start_fleet([lunwan(&["fitdesk"])], 2).await?;
        grant_everywhere(&fleet, "lunwan/team-a", KEY, FIT_PATH).await?;
        let mismatched = BackendFault {
            wrong_id_share: 1.0,
            ..BackendFault::default()
        };
        let truncated = BackendFault {
            cut_share: 1.0,
            ..BackendFault::default()
        };
        for (round, fault) in [mismatched, truncated].into_iter().enumerate() {
            let message = BackendControl {
                fault: Some(fault),
                ..BackendControl::default()
            };
            control_backends(&mut fleet, &message).await?;
            let service = fleet.instances[round].service;
            let (succeeded, failed) = check_responses(service, round as u64, 10, seed).await?;
            ensure!(
                succeeded.is_empty(),
                "round {round}: forwarded {succeeded:?}"
            );
            let unknown = failed.iter().filter(|(_, outcome)| outcome == "unknown");
            ensure!(
                unknown.count() > 0,
                "round {round}: no unknown outcome in {failed:?}"
            );
        }
        Ok(())
    });
}

/// A fault proxy with a link to each backend server.
struct BackendLinks {
    _process: Process,
    control: SocketAddr,
}

impl BackendLinks {
    /// Starts a link to each backend server. Returns the contracts with the
    /// addresses of the servers replaced by those of the links.
    async fn start(fleet: &Fleet) -> Result<(Self, Vec<(String, String)>)> {
        let mut process = ProcessCommand::new("fault-proxy")
            .arg("--until-stdin-closes")
            .start()?;
        let control = process.wait_for_address("control").await?;
        let mut contracts = fleet.contracts()?;
        for backend in &fleet.backends {
            let request = TestRequest::post("/control/links").json(&LinkTarget {
                link: format!("backend/{}", backend.server.name),
                target: backend.server.address,
            });
            let response: Value = fleet.client.expect_json(control, &request).await?;
            let link = response["address"]
                .as_str()
                .ok_or_else(|| eyre!("no address in {response}"))?;
            for (_file, text) in &mut contracts {
                *text = text.replace(&backend.server.address.to_string(), link);
            }
        }
        let links = Self {
            _process: process,
            control,
        };
        Ok((links, contracts))
    }

    /// Stops all data on the open connections to backend servers, permanently.
    async fn freeze(&self, fleet: &Fleet) -> Result<()> {
        let message = LinkControl {
            link: "backend/*".to_owned(),
            freeze_existing: FreezeDirections {
                to_target: true,
                to_client: true,
            },
            ..LinkControl::default()
        };
        fleet.client.control(self.control, &message).await?;
        Ok(())
    }
}

/// Guards against requests that wait on open connections that have become
/// unresponsive, and against a booking that is run twice because of one.
#[test]
fn unresponsive_connections_to_backend_servers_are_replaced() {
    run_test("silent_backends", 6002, async |_random| {
        let services = ["fitdesk", "swapledger"];
        let mut fleet = start_fleet([lunwan(&services)], 2).await?;
        let (links, contracts) = BackendLinks::start(&fleet).await?;
        let operator = fleet.instances[0].direct.operator;
        fleet.client.apply(operator, &contracts).await?;
        wait_for_revision(&fleet, newest_revision(&fleet).await, WAIT_TIMEOUT).await?;
        grant_everywhere(&fleet, "lunwan/team-a", KEY, FIT_PATH).await?;
        let service = fleet.instances[0].service;
        for round in 0..3 {
            // Enough requests to open connections to each server, to measure the
            // usual time to first byte, and to fill the retry budget.
            for number in 0..60 {
                let path = format!("/lunwan/fitdesk/fit/warm-{round}-{number}");
                let request = TestRequest::get(path).api_key(KEY);
                let response = fleet.client.send(service, &request).await?;
                ensure!(response.code() == 200, "warm-up: {}", response.text());
            }
            links.freeze(&fleet).await?;
            let mut max_latency = Duration::ZERO;
            for number in 0..10 {
                let path = format!("/lunwan/fitdesk/fit/silent-{round}-{number}");
                let sent = Instant::now();
                let request = TestRequest::get(&path).api_key(KEY);
                let response = fleet.client.send(service, &request).await?;
                let latency = sent.elapsed();
                ensure!(response.code() == 200, "{path}: {}", response.text());
                ensure!(
                    latency < FIT_TIMEOUT + TRANSIT_ALLOWANCE,
                    "{path}: response after {} ms",
                    latency.as_millis()
                );
                check_matches_request(&path, &response)?;
                max_latency = max_latency.max(latency);
            }
            println!(
                "round {round}: maximum latency {} ms",
                max_latency.as_millis()
            );
        }
        for round in 0..3 {
            let identity = |number| format!("silent-booking-{round}-{number}");
            let book = |number| {
                let request = TestRequest::post(SWAPS_PATH).api_key(KEY);
                request
                    .idempotency_key(&identity(number))
                    .body(identity(number))
            };
            let warm = fleet.client.send(service, &book(0)).await?;
            ensure!(warm.code() == 200, "{}", warm.text());
            links.freeze(&fleet).await?;
            for number in 1..4 {
                let response = fleet.client.send(service, &book(number)).await?;
                let known = response.code() == 200
                    || matches!(response.outcome(), Some("unknown" | "not_run"));
                ensure!(known, "{}: {}", response.code(), response.text());
            }
        }
        let names: Vec<_> = fleet
            .backends
            .iter()
            .map(|b| b.server.name.clone())
            .collect();
        let mut runs: BTreeMap<String, u64> = BTreeMap::new();
        for name in names {
            for (identity, count) in fleet.backend_counts(&name).await?.by_key {
                *runs.entry(identity).or_default() += count.started;
            }
        }
        let duplicates: Vec<_> = runs.iter().filter(|(_, runs)| **runs > 1).collect();
        ensure!(duplicates.is_empty(), "ran more than once: {duplicates:?}");
        ensure!(runs.len() >= 3, "only {} bookings ran", runs.len());
        Ok(())
    });
}

/// Guards against an instance that keeps waiting on unresponsive connections to
/// its peers and has no proof while it can't reach the table.
#[test]
fn unresponsive_connections_between_instances_are_replaced() {
    run_test("silent_peers", 6003, async |_random| {
        let fleet = start_fleet([lunwan(&["fitdesk"])], 2).await?;
        grant_everywhere(&fleet, "lunwan/team-a", KEY, FIT_PATH).await?;
        let before = newest_revision(&fleet).await;
        let message = LinkControl {
            link: "peer/*".to_owned(),
            freeze_existing: FreezeDirections {
                to_target: true,
                to_client: true,
            },
            ..LinkControl::default()
        };
        fleet.control_link(&message).await?;
        // The second instance can learn of the change only from its peer.
        crate::common::set_links_cut(&fleet, &["platform/i2".to_owned()], true).await?;
        let operator = fleet.instances[0].direct.operator;
        fleet
            .client
            .grant(operator, "lunwan/team-b", "key-after-the-freeze")
            .await?;
        let granted = Instant::now();
        let timeout = Duration::from_secs(4);
        tarragonpulley_testkit::wait_until("the grant on i2", timeout, async || {
            proved_revision(&fleet, 1).await > Some(before)
        })
        .await?;
        println!("in force on i2 after {} ms", granted.elapsed().as_millis());
        let request = TestRequest::get(FIT_PATH).api_key("key-after-the-freeze");
        let service = fleet.instances[1].service;
        let response = fleet.client.send(service, &request).await?;
        ensure!(response.code() == 200, "{}", response.text());
        Ok(())
    });
}
