//! Fleets, callers and operators that the tests share.

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

/// Time for a fleet to get ready. Far above what it takes, so that a busy
/// machine does not fail a test before its guarantee is looked at.
pub(crate) const PATIENCE: Duration = Duration::from_secs(30);

/// Time between two checks of something that is measured.
pub(crate) const TICK: Duration = Duration::from_millis(10);

/// Fleets of four instances that run at the same time. Three keep ten cores
/// busy without making them late.
const PERMITS: usize = 3;

static FREE_PERMITS: Mutex<usize> = Mutex::new(PERMITS);
static PERMIT_RETURNED: Condvar = Condvar::new();

/// Permits of a fleet; returned on drop.
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
    run_with(1, name, seed, test)
}

/// Runs a test that starts twelve instances, while no other fleet runs.
pub(crate) fn run_large_test<T>(
    name: &str,
    seed: u64,
    test: impl AsyncFnOnce(StdRng) -> Result<T>,
) -> T {
    run_with(PERMITS, name, seed, test)
}

fn run_with<T>(
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

/// Lunwan with one region and only the named services.
pub(crate) fn lunwan(services: &[&str]) -> Deployment {
    keep(Deployment::lunwan().first_regions(1), services)
}

/// Al Jabal with one region and only the named services.
pub(crate) fn al_jabal(services: &[&str]) -> Deployment {
    keep(Deployment::al_jabal().first_regions(1), services)
}

/// Team limits are far above what tests send that are not about limits.
fn keep(mut deployment: Deployment, services: &[&str]) -> Deployment {
    for team in &mut deployment.teams {
        team.rate = 5_000;
        team.burst = 1_000;
    }
    deployment
        .services
        .retain(|service| services.contains(&service.name.as_str()));
    deployment
}

/// Starts a fleet with links, applies its contracts and waits until every
/// instance has them in force.
pub(crate) async fn start_fleet(
    deployments: impl IntoIterator<Item = Deployment>,
    instances: usize,
) -> Result<Fleet> {
    let builder = FleetBuilder::new(deployments).instances(instances);
    let mut fleet = builder.links(true).start().await?;
    claim_warm(&mut fleet).await?;
    fleet.apply_contracts().await?;
    wait_in_force(&fleet, newest_revision(&fleet).await, PATIENCE).await?;
    Ok(fleet)
}

/// Has all backend servers report the uptime of servers that run for an hour.
/// A cold server gets only a part of its slots, and the servers of a test are
/// all cold.
pub(crate) async fn claim_warm(fleet: &mut Fleet) -> Result<()> {
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

/// What an instance tells operators.
pub(crate) async fn status(fleet: &Fleet, index: usize) -> Result<Value> {
    let request = TestRequest::get("/v1/status").timeout(Duration::from_secs(2));
    let operator = fleet.instances[index].direct.operator;
    fleet.client.expect_json(operator, &request).await
}

/// The revision that an instance has proved.
pub(crate) async fn proved_revision(fleet: &Fleet, index: usize) -> Option<u64> {
    let status = status(fleet, index).await.ok()?;
    status["proof_age_ms"].as_u64()?;
    status["revision"].as_u64()
}

/// The newest revision that any instance has proved.
pub(crate) async fn newest_revision(fleet: &Fleet) -> u64 {
    let mut newest = 0;
    for index in 0..fleet.instances.len() {
        newest = newest.max(proved_revision(fleet, index).await.unwrap_or(0));
    }
    newest
}

/// Waits until every instance has proved this revision or a newer one, and
/// hears from every other instance.
pub(crate) async fn wait_in_force(fleet: &Fleet, revision: u64, limit: Duration) -> Result<()> {
    let count = fleet.instances.len();
    wait_until(
        &format!("revision {revision} everywhere"),
        limit,
        async || {
            for index in 0..count {
                let Ok(status) = status(fleet, index).await else {
                    return false;
                };
                let proved = status["proof_age_ms"].is_u64();
                let members = status["members"].as_array().map_or(&[][..], Vec::as_slice);
                let heard = members.iter().filter(|m| m["answering"] == true).count();
                let newest = status["revision"].as_u64().is_some_and(|r| r >= revision);
                if !proved || !newest || heard < count {
                    return false;
                }
            }
            true
        },
    )
    .await
}

/// Grants a key and waits until every instance serves a request with it. A
/// new fleet refuses until its first generation of limits may be spent.
pub(crate) async fn grant_everywhere(
    fleet: &Fleet,
    team: &str,
    key: &str,
    path: &str,
) -> Result<()> {
    let operator = fleet.instances[0].direct.operator;
    let answer = fleet.client.grant(operator, team, key).await?;
    let revision = answer["revision"].as_u64();
    let revision = revision.ok_or_else(|| eyre!("no revision in {answer}"))?;
    wait_in_force(fleet, revision, PATIENCE).await?;
    wait_served(fleet, key, path).await
}

/// Waits until every instance answers a request with 200.
pub(crate) async fn wait_served(fleet: &Fleet, key: &str, path: &str) -> Result<()> {
    for instance in &fleet.instances {
        let what = format!("{path} served by {}", instance.name);
        wait_until(&what, PATIENCE, async || {
            let request = TestRequest::get(path).api_key(key);
            let answer = fleet.client.send(instance.service, &request).await;
            answer.is_ok_and(|answer| answer.code() == 200)
        })
        .await?;
    }
    Ok(())
}

/// Sends an operator request and returns whatever is answered.
pub(crate) async fn operate(
    client: &TestClient,
    operator: std::net::SocketAddr,
    path: &str,
    body: &Value,
) -> Result<TestResponse> {
    client
        .send(operator, &TestRequest::post(path).json(body))
        .await
}

/// The body of an apply with all contracts of the fleet.
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

const CUT: DirectionFault = DirectionFault {
    cut: true,
    delay_ms: 0,
    bytes_per_second: 0,
};

/// Cuts links, or joins them again, in both directions.
pub(crate) async fn set_cut(fleet: &Fleet, links: &[String], cut: bool) -> Result<()> {
    let fault = if cut { CUT } else { DirectionFault::default() };
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

/// The links of an instance to the platform and to and from all others.
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

/// Sets the faults of the table.
pub(crate) async fn set_table(fleet: &Fleet, fault: ServiceFault) -> Result<()> {
    let message = PlatformControl {
        table: Some(fault),
        ..PlatformControl::default()
    };
    fleet.control_platform(&message).await
}

/// Fails when a backend server saw a key, or when none ran anything.
pub(crate) async fn check_no_key_seen(fleet: &mut Fleet) -> Result<()> {
    let names: Vec<_> = fleet
        .backends
        .iter()
        .map(|b| b.server.name.clone())
        .collect();
    let mut runs = 0;
    for name in names {
        let counts = fleet.backend_counts(&name).await?;
        ensure!(!counts.authorization_seen, "{name} saw a key");
        runs += counts.all.started;
    }
    ensure!(runs > 0, "no backend server ran a request");
    Ok(())
}
