//! Demonstrates a small fleet: applies both contracts, grants API keys, sends a
//! request of each kind, prints the timeline and shuts the fleet down.
//!
//! Exits with an error when a response isn't the expected one.

use std::net::SocketAddr;
use std::time::Duration;

use eyre::{OptionExt, Result, ensure};
use gumdrop::Options;
use serde_json::Value;
use tarragonpulley_testkit::{
    Deployment, Fleet, FleetBuilder, TestRequest, TestResponse, wait_until,
};

const KEY: &str = "demo-key-0123456789";
const WRONG_KEY: &str = "no-such-key-0123456789";
/// Far above the few seconds that a change takes to reach all instances.
const CONFIG_TIMEOUT: Duration = Duration::from_secs(30);
const JOB_TIMEOUT: Duration = Duration::from_mins(1);
const SHUTDOWN_TIMEOUT: Duration = Duration::from_mins(1);
/// Enough to distinguish responses, with one response per line.
const MAX_PRINTED_CHARACTERS: usize = 120;

#[derive(Debug, Options)]
struct DemoOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "number of entry instances", default = "4")]
    instances: usize,
    #[options(help = "regions of each customer", default = "2")]
    regions: usize,
}

/// Request paths of a customer, one for each kind of route.
struct CustomerRequests {
    customer: &'static str,
    open: &'static str,
    idempotent: &'static str,
    once: &'static str,
    slow: &'static str,
}

const CUSTOMER_REQUESTS: [CustomerRequests; 2] = [
    CustomerRequests {
        customer: "lunwan",
        open: "/lunwan/fitdesk/open/hours",
        idempotent: "/lunwan/fitdesk/fit/7",
        once: "/lunwan/swapledger/swaps",
        slow: "/lunwan/wearlog/histories",
    },
    CustomerRequests {
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
    print_processes(&fleet);
    configure(&fleet).await?;
    let entry = fleet
        .instances
        .first()
        .ok_or_eyre("the fleet has no instances")?;
    let entry = entry.service;
    for requests in &CUSTOMER_REQUESTS {
        run_requests(&mut fleet, entry, requests).await?;
    }
    print_timeline(&fleet).await?;
    let statuses = fleet.shutdown(SHUTDOWN_TIMEOUT).await?;
    for (name, status) in &statuses {
        println!("instance {name} shut down: {status}");
        ensure!(status.success(), "instance {name} exited with {status}");
    }
    Ok(())
}

fn print_processes(fleet: &Fleet) {
    println!("platform stand-in at {}", fleet.platform_address);
    for backend in &fleet.backends {
        let server = &backend.server;
        println!("backend server {} at {}", server.name, server.address);
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

/// Applies the contracts, grants an API key to one team of each customer and
/// waits until every instance accepts both keys.
async fn configure(fleet: &Fleet) -> Result<()> {
    let operator = fleet
        .instances
        .first()
        .ok_or_eyre("the fleet has no instances")?;
    let operator = operator.direct.operator;
    fleet.apply_contracts().await?;
    println!("contracts applied");
    for requests in &CUSTOMER_REQUESTS {
        let team = format!("{}/team-a", requests.customer);
        let key = team_key(requests);
        fleet.client.grant(operator, &team, &key).await?;
        println!("key granted to {team}");
    }
    for instance in &fleet.instances {
        let what = format!("configuration applied on {}", instance.name);
        wait_until(&what, CONFIG_TIMEOUT, async || {
            for requests in &CUSTOMER_REQUESTS {
                let request = TestRequest::get(requests.idempotent).api_key(&team_key(requests));
                let response = fleet.client.send(instance.service, &request).await;
                if !response.is_ok_and(|response| response.code() == 200) {
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

fn team_key(requests: &CustomerRequests) -> String {
    format!("{KEY}-{}", requests.customer)
}

async fn run_requests(
    fleet: &mut Fleet,
    entry: SocketAddr,
    requests: &CustomerRequests,
) -> Result<()> {
    let key = team_key(requests);
    let lookup = fleet.client.look_up(entry, requests.customer).await?;
    print_response(&format!("lookup of {}", requests.customer), &lookup, 200)?;

    let response = send(fleet, entry, TestRequest::get(requests.open)).await?;
    print_response("open", &response, 200)?;
    let request = TestRequest::get(requests.idempotent).api_key(&key);
    print_response("idempotent", &send(fleet, entry, request).await?, 200)?;

    let idempotency_key = format!("booking-{}", requests.customer);
    let booking = TestRequest::post(requests.once)
        .api_key(&key)
        .idempotency_key(&idempotency_key)
        .body("one, please");
    let first = send(fleet, entry, booking.clone()).await?;
    print_response("non-idempotent", &first, 200)?;
    let second = send(fleet, entry, booking).await?;
    print_response("non-idempotent, retried", &second, 200)?;
    ensure!(
        first.body == second.body,
        "the retry got a different response"
    );
    let runs = count_runs(fleet, &idempotency_key).await?;
    println!("  executed {runs} time(s) on all backend servers");
    ensure!(runs == 1, "{idempotency_key} was executed {runs} times");

    let work = TestRequest::post(requests.slow)
        .api_key(&key)
        .body("all of it");
    let accepted = send(fleet, entry, work).await?;
    print_response("slow work", &accepted, 202)?;
    let result = wait_for_job(fleet, entry, &key, &job_path(&accepted)?).await?;
    print_response("slow work done", &result, 200)?;

    let request = TestRequest::get(requests.idempotent).api_key(WRONG_KEY);
    let rejected = send(fleet, entry, request).await?;
    print_response("wrong key", &rejected, 401)
}

async fn send(fleet: &Fleet, entry: SocketAddr, request: TestRequest) -> Result<TestResponse> {
    fleet.client.send(entry, &request).await
}

fn print_response(what: &str, response: &TestResponse, expected: u16) -> Result<()> {
    let outcome = response.outcome().unwrap_or("-");
    let body: String = response
        .text()
        .chars()
        .take(MAX_PRINTED_CHARACTERS)
        .collect();
    println!("{what}: {}, outcome {outcome}: {body}", response.status);
    ensure!(
        response.code() == expected,
        "{what}: status {}, expected {expected}",
        response.status
    );
    Ok(())
}

async fn count_runs(fleet: &mut Fleet, idempotency_key: &str) -> Result<u64> {
    let names: Vec<_> = fleet
        .backends
        .iter()
        .map(|b| b.server.name.clone())
        .collect();
    let mut runs = 0;
    for name in names {
        let counts = fleet.backend_counts(&name).await?;
        runs += counts
            .by_key
            .get(idempotency_key)
            .map_or(0, |run| run.started);
    }
    Ok(runs)
}

/// The path of the accepted job, from the `location` header or else the body.
fn job_path(response: &TestResponse) -> Result<String> {
    if let Some(location) = response.header("location") {
        return Ok(location.to_owned());
    }
    let body = response.text();
    let start = body
        .find("/v1/jobs/")
        .ok_or_eyre("the response contains no job path")?;
    let path = body[start..].split('"').next();
    Ok(path.unwrap_or_default().to_owned())
}

async fn wait_for_job(
    fleet: &Fleet,
    entry: SocketAddr,
    key: &str,
    path: &str,
) -> Result<TestResponse> {
    let request = TestRequest::get(path).api_key(key);
    wait_until("the slow work is done", JOB_TIMEOUT, async || {
        let response = fleet.client.send(entry, &request).await;
        response.is_ok_and(|response| response.code() != 202)
    })
    .await?;
    fleet.client.send(entry, &request).await
}

async fn print_timeline(fleet: &Fleet) -> Result<()> {
    let operator = fleet
        .instances
        .first()
        .ok_or_eyre("the fleet has no instances")?;
    let request = TestRequest::get("/v1/timeline");
    let timeline: Value = fleet
        .client
        .expect_json(operator.direct.operator, &request)
        .await?;
    println!("timeline:");
    let events = timeline.get("events").unwrap_or(&timeline);
    match events.as_array() {
        Some(events) => events.iter().for_each(|event| println!("  {event}")),
        None => println!("  {timeline}"),
    }
    Ok(())
}
