//! Guarantee 6: each caller gets the whole answer to its own request, and open
//! connections that fall silent do not hold requests up.

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
    PATIENCE, grant_everywhere, lunwan, newest_revision, proved_revision, run_test, start_fleet,
    wait_in_force,
};

const KEY: &str = "key-of-the-answered-team";
const FIT: &str = "/lunwan/fitdesk/fit/1";
const SWAPS: &str = "/lunwan/swapledger/swaps";
/// The deadline of the idempotent route, and time for the answer to travel.
const FIT_DEADLINE: Duration = Duration::from_millis(500);
const TRAVEL_TIME: Duration = Duration::from_millis(100);

/// The body of an answer with this path, which names its request.
fn check_own(path: &str, answer: &TestResponse) -> Result<()> {
    let body: Value = answer.json()?;
    let found = body["path"].as_str().unwrap_or_default();
    ensure!(path.ends_with(found), "{path} got the answer to {found}");
    let id = body["request_id"].as_str();
    ensure!(
        id.is_some() && id == answer.header("x-request-id"),
        "{path}: {id:?} in the body, {:?} in the head",
        answer.header("x-request-id")
    );
    Ok(())
}

async fn set_backends(fleet: &mut Fleet, message: &BackendControl) -> Result<()> {
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

/// Starts of runs by path, over all backend servers.
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

/// Sends requests with bodies and paths of their own and checks each answer.
/// Returns how many were answered and how many failed.
async fn check_answers(
    service: SocketAddr,
    caller: u64,
    count: u64,
    seed: u64,
) -> Result<(Vec<String>, Vec<(String, String)>)> {
    let client = TestClient::new();
    let mut random = StdRng::seed_from_u64(seed + caller);
    let (mut answered, mut failed) = (Vec::new(), Vec::new());
    for number in 0..count {
        let path = format!("/fit/{caller}-{number}");
        let request = if random.random_bool(0.5) {
            TestRequest::get(format!("/lunwan/fitdesk{path}"))
        } else {
            TestRequest::post(format!("/lunwan/fitdesk{path}")).body(path.clone())
        };
        // The client fails on a body that is shorter than its head says.
        let answer = client.send(service, &request.api_key(KEY)).await?;
        if answer.code() == 200 {
            check_own(&path, &answer)?;
            answered.push(path);
        } else {
            let outcome = answer.outcome().unwrap_or("none").to_owned();
            ensure!(
                matches!(answer.code(), 502..=504),
                "{path}: status {}",
                answer.code()
            );
            failed.push((path, outcome));
        }
    }
    Ok((answered, failed))
}

/// Guards against answers that belong to another request, were cut off, or
/// came too late for theirs, and against errors whose outcome is not true.
#[test]
fn callers_get_the_whole_answer_to_their_own_request() {
    let seed = 6001;
    run_test("own_answers", seed, async |_random| {
        let mut fleet = start_fleet([lunwan(&["fitdesk"])], 2).await?;
        grant_everywhere(&fleet, "lunwan/team-a", KEY, FIT).await?;
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
            set_backends(&mut fleet, &message).await?;
            let first = 100 * round as u64;
            let callers = (0..6_u64).map(|caller| {
                let index = usize::from(caller % 2 == 1);
                check_answers(fleet.instances[index].service, first + caller, 40, seed)
            });
            let mut answered = Vec::new();
            let mut failed = Vec::new();
            for result in join_all(callers).await {
                let (own_answered, own_failed) = result?;
                answered.extend(own_answered);
                failed.extend(own_failed);
            }
            println!(
                "round {round}: {} answered, {} failed",
                answered.len(),
                failed.len()
            );
            ensure!(answered.len() > 100, "only {} answered", answered.len());
            ensure!(!failed.is_empty(), "no fault was met");
            let runs = runs_by_path(&mut fleet).await?;
            for path in &answered {
                ensure!(
                    runs.contains_key(path),
                    "{path} was answered but did not run"
                );
            }
            for (path, outcome) in &failed {
                let ran = runs.contains_key(path);
                let truthful = match outcome.as_str() {
                    "not_run" => !ran,
                    "ran" => ran,
                    "unknown" => true,
                    _ => false,
                };
                ensure!(truthful, "{path}: told {outcome}, ran: {ran}");
            }
        }
        Ok(())
    });
}

/// Guards against answers that pass although each of them is cut or names
/// another request.
#[test]
fn no_cut_or_crossed_answer_passes() {
    let seed = 6004;
    run_test("all_answers_bad", seed, async |_random| {
        let mut fleet = start_fleet([lunwan(&["fitdesk"])], 2).await?;
        grant_everywhere(&fleet, "lunwan/team-a", KEY, FIT).await?;
        let crossed = BackendFault {
            wrong_id_share: 1.0,
            ..BackendFault::default()
        };
        let cut = BackendFault {
            cut_share: 1.0,
            ..BackendFault::default()
        };
        for (round, fault) in [crossed, cut].into_iter().enumerate() {
            let message = BackendControl {
                fault: Some(fault),
                ..BackendControl::default()
            };
            set_backends(&mut fleet, &message).await?;
            let service = fleet.instances[round].service;
            let (answered, failed) = check_answers(service, round as u64, 10, seed).await?;
            ensure!(answered.is_empty(), "round {round}: passed {answered:?}");
            let unknown = failed.iter().filter(|(_, outcome)| outcome == "unknown");
            ensure!(unknown.count() > 0, "round {round}: {failed:?}");
        }
        Ok(())
    });
}

/// A fault proxy with a link before each backend server.
struct BackendLinks {
    _process: Process,
    control: SocketAddr,
}

impl BackendLinks {
    /// Puts the links between the instances and the servers: the contract
    /// names the links from the next apply on.
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
            let answer: Value = fleet.client.expect_json(control, &request).await?;
            let link = answer["address"]
                .as_str()
                .ok_or_else(|| eyre!("no address in {answer}"))?;
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

    /// Makes all open connections to backend servers silent for good.
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

/// Guards against requests that wait on open connections which fell silent, and
/// against a booking that is sent a second time because of one.
#[test]
fn silent_connections_to_backend_servers_are_replaced() {
    run_test("silent_backends", 6002, async |_random| {
        let services = ["fitdesk", "swapledger"];
        let mut fleet = start_fleet([lunwan(&services)], 2).await?;
        let (links, contracts) = BackendLinks::start(&fleet).await?;
        let operator = fleet.instances[0].direct.operator;
        fleet.client.apply(operator, &contracts).await?;
        wait_in_force(&fleet, newest_revision(&fleet).await, PATIENCE).await?;
        grant_everywhere(&fleet, "lunwan/team-a", KEY, FIT).await?;
        let service = fleet.instances[0].service;
        for round in 0..3 {
            // Enough requests for open connections to each server, for a usual
            // time to the first byte, and for the retry budget.
            for number in 0..60 {
                let path = format!("/lunwan/fitdesk/fit/warm-{round}-{number}");
                let request = TestRequest::get(path).api_key(KEY);
                let answer = fleet.client.send(service, &request).await?;
                ensure!(answer.code() == 200, "not warm: {}", answer.text());
            }
            links.freeze(&fleet).await?;
            let mut longest = Duration::ZERO;
            for number in 0..10 {
                let path = format!("/lunwan/fitdesk/fit/silent-{round}-{number}");
                let sent = Instant::now();
                let request = TestRequest::get(&path).api_key(KEY);
                let answer = fleet.client.send(service, &request).await?;
                let time = sent.elapsed();
                ensure!(answer.code() == 200, "{path}: {}", answer.text());
                ensure!(
                    time < FIT_DEADLINE + TRAVEL_TIME,
                    "{path}: answered after {} ms",
                    time.as_millis()
                );
                check_own(&path, &answer)?;
                longest = longest.max(time);
            }
            println!("round {round}: longest {} ms", longest.as_millis());
        }
        for round in 0..3 {
            let identity = |number| format!("silent-booking-{round}-{number}");
            let book = |number| {
                let request = TestRequest::post(SWAPS).api_key(KEY);
                request
                    .idempotency_key(&identity(number))
                    .body(identity(number))
            };
            let warm = fleet.client.send(service, &book(0)).await?;
            ensure!(warm.code() == 200, "{}", warm.text());
            links.freeze(&fleet).await?;
            for number in 1..4 {
                let answer = fleet.client.send(service, &book(number)).await?;
                let known =
                    answer.code() == 200 || matches!(answer.outcome(), Some("unknown" | "not_run"));
                ensure!(known, "{}: {}", answer.code(), answer.text());
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
        let twice: Vec<_> = runs.iter().filter(|(_, runs)| **runs > 1).collect();
        ensure!(twice.is_empty(), "ran more than once: {twice:?}");
        ensure!(runs.len() >= 3, "only {} bookings ran", runs.len());
        Ok(())
    });
}

/// Guards against an instance that goes on waiting on silent connections to
/// its peers and is without a proof while the table is out of its reach.
#[test]
fn silent_connections_between_instances_are_replaced() {
    run_test("silent_peers", 6003, async |_random| {
        let fleet = start_fleet([lunwan(&["fitdesk"])], 2).await?;
        grant_everywhere(&fleet, "lunwan/team-a", KEY, FIT).await?;
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
        // The second instance has only its peer to learn from.
        crate::common::set_cut(&fleet, &["platform/i2".to_owned()], true).await?;
        let operator = fleet.instances[0].direct.operator;
        fleet
            .client
            .grant(operator, "lunwan/team-b", "key-after-the-freeze")
            .await?;
        let granted = Instant::now();
        let limit = Duration::from_secs(4);
        tarragonpulley_testkit::wait_until("the grant at i2", limit, async || {
            proved_revision(&fleet, 1).await > Some(before)
        })
        .await?;
        println!("in force at i2 after {} ms", granted.elapsed().as_millis());
        let request = TestRequest::get(FIT).api_key("key-after-the-freeze");
        let service = fleet.instances[1].service;
        let answer = fleet.client.send(service, &request).await?;
        ensure!(answer.code() == 200, "{}", answer.text());
        Ok(())
    });
}
