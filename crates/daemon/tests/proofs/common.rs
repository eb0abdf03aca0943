//! Fixtures and helpers shared by the tests: fleets, requests and link faults.

use std::sync::{Condvar, Mutex, PoisonError};
use std::time::Duration;

use eyre::{Result, ensure, eyre};
use rand::SeedableRng;
use rand::rngs::StdRng;
use serde_json::{Value, json};
use tarragonpulley_testkit::{
    BackendControl, Deployment, DirectionFault, Fleet, FleetBuilder, HealthFault, LinkControl,
    PlatformControl, ServiceFault, TestClient, TestRequest, TestResponse, wait_until,
};

/// Timeout for a fleet to reach an expected state. Far above the usual time, so
/// that a busy machine doesn't fail a test before its guarantee is checked.
pub(crate) const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Interval between two polls of a measured value.
pub(crate) const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Maximum number of four-instance fleets that run at the same time. Three keep
/// ten cores busy without delaying the processes.
const MAX_FLEETS: usize = 3;

static FREE_PERMITS: Mutex<usize> = Mutex::new(MAX_FLEETS);
static PERMIT_RETURNED: Condvar = Condvar::new();

/// Permits held for a fleet; released on drop.
struct FleetPermits(usize);

impl FleetPermits {
    fn take(count: usize) -> Self {
        let free = FREE_PERMITS.lock().unwrap_or_else(PoisonError::into_inner);
        let mut free = PERMIT_RETURNED
            .wait_while(free, |free| *free < count)
            .unwrap_or_else(PoisonError::into_inner);
        *free -= count;
        Self(count)
    }
}

impl Drop for FleetPermits {
    fn drop(&mut self) {
        *FREE_PERMITS.lock().unwrap_or_else(PoisonError::into_inner) += self.0;
        PERMIT_RETURNED.notify_all();
    }
}

/// Runs a test that starts one fleet of about four instances.
pub(crate) fn run_test<T>(name: &str, seed: u64, test: impl AsyncFnOnce(StdRng) -> Result<T>) -> T {
    run_with_permits(1, name, seed, test)
}

/// Runs a test that starts twelve instances. Takes all permits, so that no other
/// fleet runs at the same time.
pub(crate) fn run_large_test<T>(
    name: &str,
    seed: u64,
    test: impl AsyncFnOnce(StdRng) -> Result<T>,
) -> T {
    run_with_permits(MAX_FLEETS, name, seed, test)
}

fn run_with_permits<T>(
    permits: usize,
    name: &str,
    seed: u64,
    test: impl AsyncFnOnce(StdRng) -> Result<T>,
) -> T {
    println!("{name}: seed {seed}");
    let _permits = FleetPermits::take(permits);
    let outcome = actix_rt::System::new().block_on(test(StdRng::seed_from_u64(seed)));
    outcome.unwrap_or_else(|error| panic!("{name}, seed {seed}: {error:#}"))
}

/// Returns the Lunwan deployment with one region and only the named services.
pub(crate) fn lunwan(services: &[&str]) -> Deployment {
    retain_services(Deployment::lunwan().first_regions(1), services)
}

/// Returns the Al Jabal deployment with one region and only the named services.
pub(crate) fn al_jabal(services: &[&str]) -> Deployment {
    retain_services(Deployment::al_jabal().first_regions(1), services)
}

/// Retains only the named services, and raises the team limits far above the
/// load of tests that aren't about limits.
fn retain_services(mut deployment: Deployment, services: &[&str]) -> Deployment {
    for team in &mut deployment.teams {
        team.rate = 5_000;
        team.burst = 1_000;
    }
    deployment
        .services
        .retain(|service| services.contains(&service.name.as_str()));
    deployment
}

/// Starts a fleet connected through fault proxy links, applies its contracts and
/// waits until every instance has them in force.
pub(crate) async fn start_fleet(
    deployments: impl IntoIterator<Item = Deployment>,
    instances: usize,
) -> Result<Fleet> {
    let builder = FleetBuilder::new(deployments).instances(instances);
    let mut fleet = builder.links(true).start().await?;
    report_warm(&mut fleet).await?;
    fleet.apply_contracts().await?;
    wait_for_revision(&fleet, newest_revision(&fleet).await, WAIT_TIMEOUT).await?;
    Ok(fleet)
}

/// Makes all backend servers report an uptime of one hour. Servers that have
/// just started count as cold and get only a fraction of their slots.
pub(crate) async fn report_warm(fleet: &mut Fleet) -> Result<()> {
    let names: Vec<_> = fleet
        .backends
        .iter()
        .map(|b| b.server.name.clone())
        .collect();
    for name in names {
        let message = BackendControl {
            health: Some(HealthFault {
                uptime_ms: Some(3_600_000),
                ..HealthFault::default()
            }),
            ..BackendControl::default()
        };
        fleet.control_backend(&name, &message).await?;
    }
    Ok(())
}

/// Returns the operator status of an instance.
pub(crate) async fn status(fleet: &Fleet, index: usize) -> Result<Value> {
    let request = TestRequest::get("/v1/status").timeout(Duration::from_secs(2));
    let operator = fleet.instances[index].direct.operator;
    fleet.client.expect_json(operator, &request).await
}

/// Returns the configuration revision of an instance, or `None` when the
/// instance is unreachable or has no valid proof.
pub(crate) async fn proved_revision(fleet: &Fleet, index: usize) -> Option<u64> {
    let status = status(fleet, index).await.ok()?;
    status["proof_age_ms"].as_u64()?;
    status["revision"].as_u64()
}

/// Returns the newest revision that any instance has proved, or 0.
pub(crate) async fn newest_revision(fleet: &Fleet) -> u64 {
    let mut newest = 0;
    for index in 0..fleet.instances.len() {
        newest = newest.max(proved_revision(fleet, index).await.unwrap_or(0));
    }
    newest
}

/// Waits until every instance has proved this revision or a newer one and
/// reports all members of the fleet as reachable.
pub(crate) async fn wait_for_revision(
    fleet: &Fleet,
    revision: u64,
    timeout: Duration,
) -> Result<()> {
    let count = fleet.instances.len();
    wait_until(
        &format!("revision {revision} on all instances"),
        timeout,
        async || {
            for index in 0..count {
                let Ok(status) = status(fleet, index).await else {
                    return false;
                };
                let proved = status["proof_age_ms"].is_u64();
                let members = status["members"].as_array().map_or(&[][..], Vec::as_slice);
                let reachable = members.iter().filter(|m| m["answering"] == true).count();
                let newest = status["revision"].as_u64().is_some_and(|r| r >= revision);
                if !proved || !newest || reachable < count {
                    return false;
                }
            }
            true
        },
    )
    .await
}

/// Grants a key and waits until every instance serves a request with it. A new
/// fleet rejects requests until its first generation of limits may be spent.
pub(crate) async fn grant_everywhere(
    fleet: &Fleet,
    team: &str,
    key: &str,
    path: &str,
) -> Result<()> {
    let operator = fleet.instances[0].direct.operator;
    let response = fleet.client.grant(operator, team, key).await?;
    let revision = response["revision"].as_u64();
    let revision = revision.ok_or_else(|| eyre!("no revision in {response}"))?;
    wait_for_revision(fleet, revision, WAIT_TIMEOUT).await?;
    wait_until_served(fleet, key, path).await
}

/// Waits until every instance responds to a request with 200.
pub(crate) async fn wait_until_served(fleet: &Fleet, key: &str, path: &str) -> Result<()> {
    for instance in &fleet.instances {
        let what = format!("{path} served by {}", instance.name);
        wait_until(&what, WAIT_TIMEOUT, async || {
            let request = TestRequest::get(path).api_key(key);
            let response = fleet.client.send(instance.service, &request).await;
            response.is_ok_and(|response| response.code() == 200)
        })
        .await?;
    }
    Ok(())
}

/// Sends an operator request and returns the response, whatever its status.
pub(crate) async fn send_operator_request(
    client: &TestClient,
    operator: std::net::SocketAddr,
    path: &str,
    body: &Value,
) -> Result<TestResponse> {
    client
        .send(operator, &TestRequest::post(path).json(body))
        .await
}

/// Returns the body of an apply request with all contracts of the fleet.
pub(crate) fn apply_body(fleet: &Fleet, base: Option<u64>) -> Result<Value> {
    let files = fleet.contracts()?;
    let files: Vec<Value> = files
        .iter()
        .map(|(file, text)| json!({"file": file, "text": text}))
        .collect();
    Ok(match base {
        Some(base) => json!({"files": files, "base": base}),
        None => json!({"files": files}),
    })
}

const CUT_FAULT: DirectionFault = DirectionFault {
    cut: true,
    delay_ms: 0,
    bytes_per_second: 0,
};

/// Cuts links in both directions, or restores them.
pub(crate) async fn set_links_cut(fleet: &Fleet, links: &[String], cut: bool) -> Result<()> {
    let fault = if cut {
        CUT_FAULT
    } else {
        DirectionFault::default()
    };
    for link in links {
        let message = LinkControl {
            link: link.clone(),
            to_target: Some(fault),
            to_client: Some(fault),
            ..LinkControl::default()
        };
        fleet.control_link(&message).await?;
    }
    Ok(())
}

/// Returns the links of an instance to the platform and, in both directions, to
/// all other instances.
pub(crate) fn links_of(fleet: &Fleet, name: &str) -> Vec<String> {
    let others = fleet
        .instances
        .iter()
        .map(|i| &i.name)
        .filter(|o| *o != name);
    others
        .flat_map(|other| {
            [
                format!("peer/{name}/{other}"),
                format!("peer/{other}/{name}"),
            ]
        })
        .chain([format!("platform/{name}")])
        .collect()
}

/// Sets the injected faults of the table service.
pub(crate) async fn set_table_fault(fleet: &Fleet, fault: ServiceFault) -> Result<()> {
    let message = PlatformControl {
        table: Some(fault),
        ..PlatformControl::default()
    };
    fleet.control_platform(&message).await
}

/// Checks that no backend server received an API key, and that at least one
/// request ran.
pub(crate) async fn check_no_key_seen(fleet: &mut Fleet) -> Result<()> {
    let names: Vec<_> = fleet
        .backends
        .iter()
        .map(|b| b.server.name.clone())
        .collect();
    let mut runs = 0;
    for name in names {
        let counts = fleet.backend_counts(&name).await?;
        ensure!(!counts.authorization_seen, "{name} received a key");
        runs += counts.all.started;
    }
    ensure!(runs > 0, "no backend server ran a request");
    Ok(())
}
