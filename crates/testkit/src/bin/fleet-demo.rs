//! Shows a small fleet at work: both contracts, a key, a request of each kind,
//! the time line and a graceful stop.
//!
//! It ends with an error when a request is not answered as expected.

use std::net::SocketAddr;
use std::time::Duration;

use eyre::{OptionExt, Result, ensure};
use gumdrop::Options;
use serde_json::Value;
use tarragonpulley_testkit::{
    Deployment, Fleet, FleetBuilder, TestAnswer, TestRequest, wait_until,
};

const KEY: &str = "demo-key-0123456789";
const WRONG_KEY: &str = "no-such-key-0123456789";
/// Far above the seconds in which a change is in force everywhere.
const IN_FORCE_DEADLINE: Duration = Duration::from_secs(30);
const JOB_DEADLINE: Duration = Duration::from_mins(1);
const STOP_DEADLINE: Duration = Duration::from_mins(1);
/// Enough to tell one answer from another on one line.
const SHOWN_CHARACTERS: usize = 120;

#[derive(Debug, Options)]
struct DemoOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "number of entry instances", default = "4")]
    instances: usize,
    #[options(help = "regions of each customer", default = "2")]
    regions: usize,
}

/// A customer's requests in the demo.
struct Tour {
    customer: &'static str,
    open: &'static str,
    idempotent: &'static str,
    once: &'static str,
    slow: &'static str,
}

const TOURS: [Tour; 2] = [
    Tour {
        customer: "lunwan",
        open: "/lunwan/fitdesk/open/hours",
        idempotent: "/lunwan/fitdesk/fit/7",
        once: "/lunwan/swapledger/swaps",
        slow: "/lunwan/wearlog/histories",
    },
    Tour {
        customer: "al-jabal",
        open: "/al-jabal/grade-desk/open/prices",
        idempotent: "/al-jabal/grade-desk/lots/7",
        once: "/al-jabal/sale-ledger/sales",
        slow: "/al-jabal/harvest-books/reports",
    },
];

#[actix_rt::main]
async fn main() -> Result<()> {
    let options = DemoOptions::parse_args_default_or_exit();
    ensure!(options.instances > 0, "--instances must be at least 1");
    ensure!(options.regions > 0, "--regions must be at least 1");
    let deployments = [Deployment::lunwan(), Deployment::al_jabal()];
    let mut fleet = FleetBuilder::new(deployments.map(|d| d.first_regions(options.regions)))
        .instances(options.instances)
        .start()
        .await?;
    show_processes(&fleet);
    configure(&fleet).await?;
    let entry = fleet.instances.first().ok_or_eyre("no instance runs")?;
    let entry = entry.service;
    for tour in &TOURS {
        run_tour(&mut fleet, entry, tour).await?;
    }
    show_timeline(&fleet).await?;
    let statuses = fleet.stop(STOP_DEADLINE).await?;
    for (name, status) in &statuses {
        println!("stopped {name}: {status}");
        ensure!(status.success(), "instance {name} ended with {status}");
    }
    Ok(())
}

fn show_processes(fleet: &Fleet) {
    println!("platform stand-in at {}", fleet.platform_address);
    for backend in &fleet.backends {
        let site = &backend.site;
        println!("backend server {} at {}", site.name, site.address);
    }
    for instance in &fleet.instances {
        println!(
            "instance {} in {}: service {}, operator {}, peer {}",
            instance.name,
            instance.centre,
            instance.direct.service,
            instance.direct.operator,
            instance.direct.peer
        );
    }
}

/// Applies the contracts, grants a key to one team of each customer and waits
/// until both are in force on every instance.
async fn configure(fleet: &Fleet) -> Result<()> {
    let operator = fleet.instances.first().ok_or_eyre("no instance runs")?;
    let operator = operator.direct.operator;
    fleet.apply_contracts().await?;
    println!("contracts applied");
    for tour in &TOURS {
        let team = format!("{}/team-a", tour.customer);
        let key = team_key(tour);
        fleet.client.grant(operator, &team, &key).await?;
        println!("key granted to {team}");
    }
    for instance in &fleet.instances {
        let what = format!("the configuration is in force on {}", instance.name);
        wait_until(&what, IN_FORCE_DEADLINE, async || {
            for tour in &TOURS {
                let request = TestRequest::get(tour.idempotent).key(&team_key(tour));
                let answer = fleet.client.send(instance.service, &request).await;
                if !answer.is_ok_and(|answer| answer.code() == 200) {
                    return false;
                }
            }
            true
        })
        .await?;
        println!("{what}");
    }
    Ok(())
}

fn team_key(tour: &Tour) -> String {
    format!("{KEY}-{}", tour.customer)
}

async fn run_tour(fleet: &mut Fleet, entry: SocketAddr, tour: &Tour) -> Result<()> {
    let key = team_key(tour);
    let lookup = fleet.client.look_up(entry, tour.customer).await?;
    show(&format!("look-up of {}", tour.customer), &lookup, 200)?;

    let answer = send(fleet, entry, TestRequest::get(tour.open)).await?;
    show("open", &answer, 200)?;
    let request = TestRequest::get(tour.idempotent).key(&key);
    show("idempotent", &send(fleet, entry, request).await?, 200)?;

    let identity = format!("booking-{}", tour.customer);
    let booking = TestRequest::post(tour.once)
        .key(&key)
        .identity(&identity)
        .body("one, please");
    let first = send(fleet, entry, booking.clone()).await?;
    show("non-idempotent", &first, 200)?;
    let second = send(fleet, entry, booking).await?;
    show("non-idempotent again", &second, 200)?;
    ensure!(first.body == second.body, "the repeat got another answer");
    let runs = runs_of(fleet, &identity).await?;
    println!("  it ran {runs} time(s) on all backend servers together");
    ensure!(runs == 1, "{identity} ran {runs} times");

    let work = TestRequest::post(tour.slow).key(&key).body("all of it");
    let accepted = send(fleet, entry, work).await?;
    show("slow work", &accepted, 202)?;
    let result = finish_job(fleet, entry, &key, &job_path(&accepted)?).await?;
    show("slow work done", &result, 200)?;

    let request = TestRequest::get(tour.idempotent).key(WRONG_KEY);
    let refused = send(fleet, entry, request).await?;
    show("wrong key", &refused, 401)
}

async fn send(fleet: &Fleet, entry: SocketAddr, request: TestRequest) -> Result<TestAnswer> {
    fleet.client.send(entry, &request).await
}

fn show(what: &str, answer: &TestAnswer, expected: u16) -> Result<()> {
    let outcome = answer.outcome().unwrap_or("-");
    let body: String = answer.text().chars().take(SHOWN_CHARACTERS).collect();
    println!("{what}: {}, outcome {outcome}: {body}", answer.status);
    ensure!(
        answer.code() == expected,
        "{what}: status {} in place of {expected}",
        answer.status
    );
    Ok(())
}

async fn runs_of(fleet: &mut Fleet, identity: &str) -> Result<u64> {
    let names: Vec<_> = fleet.backends.iter().map(|b| b.site.name.clone()).collect();
    let mut runs = 0;
    for name in names {
        let counts = fleet.backend_counts(&name).await?;
        runs += counts.by_key.get(identity).map_or(0, |run| run.started);
    }
    Ok(runs)
}

/// The path of a job, from the `location` header or from the body.
fn job_path(answer: &TestAnswer) -> Result<String> {
    if let Some(location) = answer.header("location") {
        return Ok(location.to_owned());
    }
    let body = answer.text();
    let start = body.find("/v1/jobs/").ok_or_eyre("no job was named")?;
    let path = body[start..].split('"').next();
    Ok(path.unwrap_or_default().to_owned())
}

async fn finish_job(fleet: &Fleet, entry: SocketAddr, key: &str, path: &str) -> Result<TestAnswer> {
    let request = TestRequest::get(path).key(key);
    wait_until("the slow work is done", JOB_DEADLINE, async || {
        let answer = fleet.client.send(entry, &request).await;
        answer.is_ok_and(|answer| answer.code() != 202)
    })
    .await?;
    fleet.client.send(entry, &request).await
}

async fn show_timeline(fleet: &Fleet) -> Result<()> {
    let operator = fleet.instances.first().ok_or_eyre("no instance runs")?;
    let request = TestRequest::get("/v1/timeline");
    let timeline: Value = fleet
        .client
        .expect_json(operator.direct.operator, &request)
        .await?;
    println!("time line:");
    let events = timeline.get("events").unwrap_or(&timeline);
    match events.as_array() {
        Some(events) => events.iter().for_each(|event| println!("  {event}")),
        None => println!("  {timeline}"),
    }
    Ok(())
}
