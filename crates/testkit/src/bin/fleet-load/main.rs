//! Generates load on a fleet of the size of a deployment and reports success
//! ratio and latency of each team.
//!
//! The requests of each team arrive as a seeded Poisson process near one data
//! centre, so the load on the instances is uneven. Links between instances of
//! different regions, and from other regions to the platform, have the
//! deployment's latency. The figures in docs/MEASUREMENTS.md come from a release
//! build of this program.

mod callers;
mod report;

use std::rc::Rc;
use std::time::{Duration, Instant};

use actix_rt::time::sleep;
use eyre::{OptionExt, Result, ensure};
use futures_util::future::join_all;
use gumdrop::Options;
use tarragonpulley_testkit::{
    BackendCounts, Deployment, DirectionFault, Fleet, FleetBuilder, LinkControl, PlatformControl,
    ServiceFault, ServiceMode, TestRequest, wait_until,
};

use callers::{CallerPlan, TeamLoad};
use report::FleetReport;

const CONFIG_TIMEOUT: Duration = Duration::from_secs(30);
const SHUTDOWN_TIMEOUT: Duration = Duration::from_mins(1);
/// Load of a team that stays within its rate, as a multiple of that rate.
const NORMAL_LOAD_FACTOR: f64 = 0.8;
/// Load of the greedy team, as a multiple of its rate.
const GREEDY_LOAD_FACTOR: f64 = 5.0;

#[derive(Debug, Options)]
struct LoadOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "lunwan or al-jabal", default = "lunwan")]
    deployment: String,
    #[options(help = "number of entry instances", default = "12")]
    instances: usize,
    #[options(help = "seconds of load", default = "30")]
    seconds: u64,
    #[options(
        help = "steady, greedy, outage (of the table) or kill (of an instance)",
        default = "greedy"
    )]
    scenario: String,
    #[options(help = "seed of the arrivals", default = "1")]
    seed: u64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Scenario {
    Steady,
    Greedy,
    Outage,
    Kill,
}

impl Scenario {
    fn parse(text: &str) -> Option<Self> {
        match text {
            "steady" => Some(Self::Steady),
            "greedy" => Some(Self::Greedy),
            "outage" => Some(Self::Outage),
            "kill" => Some(Self::Kill),
            _ => None,
        }
    }
}

#[actix_rt::main]
async fn main() -> Result<()> {
    let options = LoadOptions::parse_args_default_or_exit();
    ensure!(
        (1..=16).contains(&options.instances),
        "--instances must be from 1 to 16"
    );
    let scenario = Scenario::parse(&options.scenario).ok_or_eyre("unknown --scenario")?;
    let (mut deployment, delay_ms) = match options.deployment.as_str() {
        "lunwan" => (Deployment::lunwan(), 35),
        "al-jabal" => (Deployment::al_jabal(), 55),
        _ => return Err(eyre::eyre!("unknown --deployment")),
    };
    for service in &mut deployment.services {
        service.servers_per_centre = 2;
        service.slots = if options.deployment == "lunwan" { 4 } else { 3 };
        service.connections = if options.deployment == "lunwan" {
            330
        } else {
            390
        };
    }
    let platform_region = deployment.regions.first().cloned().unwrap_or_default();
    let mut fleet = FleetBuilder::new([deployment.clone()])
        .instances(options.instances)
        .links(true)
        .start()
        .await?;
    delay_links(&fleet, &platform_region, delay_ms).await?;
    fleet.apply_contracts().await?;
    let operator = fleet
        .instances
        .first()
        .ok_or_eyre("the fleet has no instances")?;
    let operator = operator.direct.operator;
    for team in &deployment.teams {
        let name = format!("{}/{}", deployment.customer, team.name);
        fleet
            .client
            .grant(operator, &name, &callers::key_of(&team.name))
            .await?;
    }
    wait_for_revision(&fleet, deployment.teams.len() as u64 + 1).await?;

    let plan = Rc::new(CallerPlan::new(
        &fleet,
        &deployment,
        options.seconds,
        options.seed,
    ));
    let loads = deployment.teams.iter().enumerate().map(|(index, team)| {
        let greedy = index == 0 && scenario != Scenario::Steady;
        let factor = if greedy {
            GREEDY_LOAD_FACTOR
        } else {
            NORMAL_LOAD_FACTOR
        };
        TeamLoad::new(Rc::clone(&plan), index, team, factor)
    });
    let tasks: Vec<_> = loads.map(|load| actix_rt::spawn(load.run())).collect();
    let third = Duration::from_secs(options.seconds) / 3;
    let started = Instant::now();
    sleep(third).await;
    apply_scenario(&mut fleet, scenario, true).await?;
    sleep(third).await;
    apply_scenario(&mut fleet, scenario, false).await?;
    let results = join_all(tasks).await;
    let mut report = FleetReport::new(&options.deployment, &options.scenario, options.seed);
    for result in results {
        report.add(result?);
    }
    let mut counts: Vec<BackendCounts> = Vec::new();
    for backend in &fleet.backends {
        counts.push(fleet.client.counts(backend.server.address).await?);
    }
    report.print(&counts, started.elapsed());
    fleet.shutdown(SHUTDOWN_TIMEOUT).await?;
    Ok(())
}

/// Starts or ends the disturbance of the scenario.
async fn apply_scenario(fleet: &mut Fleet, scenario: Scenario, start: bool) -> Result<()> {
    match (scenario, start) {
        (Scenario::Outage, _) => {
            let mode = if start {
                ServiceMode::Hang
            } else {
                ServiceMode::default()
            };
            let fault = ServiceFault {
                mode,
                ..ServiceFault::default()
            };
            fleet
                .control_platform(&PlatformControl {
                    table: Some(fault),
                    ..PlatformControl::default()
                })
                .await
        }
        (Scenario::Kill, true) => {
            let last = fleet
                .instances
                .last_mut()
                .ok_or_eyre("the fleet has no instances")?;
            last.process.kill()?;
            let name = last.name.clone();
            fleet.deregister(&name).await
        }
        _ => Ok(()),
    }
}

fn region(centre: &str) -> &str {
    centre.rsplit_once('-').map_or(centre, |(region, _)| region)
}

/// Adds the one-way delay to both directions of the links between regions.
async fn delay_links(fleet: &Fleet, platform_region: &str, delay_ms: u64) -> Result<()> {
    let mut names = Vec::new();
    for from in &fleet.instances {
        if region(&from.centre) != platform_region {
            names.push(format!("platform/{}", from.name));
        }
        let remote_instances = fleet
            .instances
            .iter()
            .filter(|to| region(&to.centre) != region(&from.centre));
        names.extend(remote_instances.map(|to| format!("peer/{}/{}", from.name, to.name)));
    }
    for link in names {
        let delay = Some(DirectionFault {
            delay_ms,
            ..DirectionFault::default()
        });
        let message = LinkControl {
            link,
            to_target: delay,
            to_client: delay,
            ..LinkControl::default()
        };
        fleet.control_link(&message).await?;
    }
    Ok(())
}

/// Waits until every instance has a proof for `revision` or a newer one.
async fn wait_for_revision(fleet: &Fleet, revision: u64) -> Result<()> {
    for instance in &fleet.instances {
        let address = instance.direct.operator;
        wait_until(&instance.name, CONFIG_TIMEOUT, async || {
            let request = TestRequest::get("/v1/status");
            let Ok(response) = fleet.client.send(address, &request).await else {
                return false;
            };
            let status: serde_json::Value = response.json().unwrap_or_default();
            status["revision"].as_u64() >= Some(revision) && status["proof_age_ms"].is_u64()
        })
        .await?;
    }
    Ok(())
}
