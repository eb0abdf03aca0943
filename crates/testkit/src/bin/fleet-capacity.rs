//! Measures the cost of the control plane per instance, as a function of the
//! number of instances and the rate of configuration changes.
//!
//! Each line of output covers one phase: CPU, memory, peer traffic and
//! heartbeats are means per instance, table accesses are sums over the fleet.
//! The figures in docs/CAPACITY.md come from a release build of this program.

use std::collections::BTreeMap;
use std::fs;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use actix_rt::time::sleep;
use eyre::{OptionExt, Result, ensure};
use gumdrop::Options;
use serde_json::Value;
use tarragonpulley_testkit::{Deployment, Fleet, FleetBuilder, TestRequest, wait_until};

const TEAM: &str = "lunwan/team-a";
const CONFIG_TIMEOUT: Duration = Duration::from_secs(30);
const SHUTDOWN_TIMEOUT: Duration = Duration::from_mins(1);
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Changes for which the time until all instances have them is measured.
const TIMED_CHANGES: usize = 5;
const PAGE_BYTES: u64 = 4096;
const CHANGES_PER_SECOND: [f64; 3] = [0.0, 0.5, 5.0];

#[derive(Debug, Options)]
struct CapacityOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "number of entry instances, at most 64", default = "8")]
    instances: usize,
    #[options(help = "seconds in each phase", default = "10")]
    seconds: u64,
    #[options(help = "client blocks in the contract", default = "0")]
    blocks: u32,
}

/// Sums of the counters of all instances.
#[derive(Debug, Clone, Copy, Default)]
struct FleetUsage {
    cpu_nanos: u64,
    peer_bytes: f64,
    heartbeats: f64,
    table_reads: f64,
    table_writes: f64,
}

#[actix_rt::main]
async fn main() -> Result<()> {
    let options = CapacityOptions::parse_args_default_or_exit();
    ensure!(
        (1..=64).contains(&options.instances),
        "--instances must be from 1 to 64"
    );
    let mut fleet = FleetBuilder::new([Deployment::lunwan().first_regions(1)])
        .instances(options.instances)
        .start()
        .await?;
    apply(&fleet, options.blocks).await?;
    let count = options.instances;
    wait_for_revision(&fleet, 1).await?;
    println!(
        "instances changes/s cpu% rss_mb peer_sent_B/s heartbeats/s fleet_table_reads/s fleet_table_writes/s"
    );
    let mut keys = 0;
    for rate in CHANGES_PER_SECOND {
        let before = usage(&fleet).await?;
        let started = Instant::now();
        let phase = Duration::from_secs(options.seconds);
        let changes = grant_keys_at_rate(&fleet, rate, phase, &mut keys).await?;
        let elapsed = started.elapsed().as_secs_f64();
        let after = usage(&fleet).await?;
        let per_instance = elapsed * count_f64(count);
        println!(
            "{count} {:.2} {:.3} {:.1} {:.0} {:.2} {:.1} {:.1}",
            changes / elapsed,
            nanos_f64(after.cpu_nanos - before.cpu_nanos) / 1e7 / per_instance,
            resident_megabytes(&fleet)? / count_f64(count),
            (after.peer_bytes - before.peer_bytes) / per_instance,
            (after.heartbeats - before.heartbeats) / per_instance,
            (after.table_reads - before.table_reads) / elapsed,
            (after.table_writes - before.table_writes) / elapsed,
        );
    }
    measure_changes(&fleet, &mut keys).await?;
    measure_restart(&mut fleet).await?;
    fleet.shutdown(SHUTDOWN_TIMEOUT).await?;
    Ok(())
}

fn count_f64(count: usize) -> f64 {
    u32::try_from(count).map_or(f64::MAX, f64::from)
}

#[expect(
    clippy::cast_precision_loss,
    reason = "nanoseconds of a phase are far below 2^52"
)]
const fn nanos_f64(nanos: u64) -> f64 {
    nanos as f64
}

async fn apply(fleet: &Fleet, blocks: u32) -> Result<()> {
    let mut contracts = fleet.contracts()?;
    for (_file, text) in &mut contracts {
        for block in 0..blocks {
            let [a, b, c, _] = (block << 8).to_be_bytes();
            let prefix = format!("{a}.{b}.{c}.0/24");
            text.push_str("\n[[client_block]]\ndata_centre = \"north-1\"\nprefix = \"");
            text.push_str(&prefix);
            text.push_str("\"\n");
        }
    }
    let operator = operator(fleet)?;
    fleet.client.apply(operator, &contracts).await?;
    Ok(())
}

fn operator(fleet: &Fleet) -> Result<SocketAddr> {
    let first = fleet
        .instances
        .first()
        .ok_or_eyre("the fleet has no instances")?;
    Ok(first.direct.operator)
}

async fn status(fleet: &Fleet, address: SocketAddr) -> Result<Value> {
    let response = fleet
        .client
        .send(address, &TestRequest::get("/v1/status"))
        .await?;
    response.json()
}

/// Waits until every instance has a proof for `revision` or a newer one.
async fn wait_for_revision(fleet: &Fleet, revision: u64) -> Result<()> {
    for instance in &fleet.instances {
        let address = instance.direct.operator;
        let started = Instant::now();
        loop {
            let status = status(fleet, address).await?;
            let known = status["revision"].as_u64().unwrap_or(0);
            if known >= revision && status["proof_age_ms"].is_u64() {
                break;
            }
            ensure!(
                started.elapsed() < CONFIG_TIMEOUT,
                "timed out waiting for {}, which is at revision {known}",
                instance.name
            );
            sleep(POLL_INTERVAL).await;
        }
    }
    Ok(())
}

/// Grants `rate` API keys per second for the duration `time`. Returns the number
/// of granted keys.
async fn grant_keys_at_rate(
    fleet: &Fleet,
    rate: f64,
    time: Duration,
    keys: &mut u32,
) -> Result<f64> {
    let started = Instant::now();
    if rate == 0.0 {
        sleep(time).await;
        return Ok(0.0);
    }
    let mut changes = 0.0;
    while started.elapsed() < time {
        grant(fleet, keys).await?;
        changes += 1.0;
        let next_change = Duration::from_secs_f64(changes / rate);
        sleep(next_change.saturating_sub(started.elapsed())).await;
    }
    Ok(changes)
}

async fn grant(fleet: &Fleet, keys: &mut u32) -> Result<u64> {
    *keys += 1;
    let key = format!("capacity-key-{keys:08}");
    let response = fleet.client.grant(operator(fleet)?, TEAM, &key).await?;
    response["revision"]
        .as_u64()
        .ok_or_eyre("the response to the grant has no revision")
}

/// Prints, for several changes, the time from sending until acceptance and until
/// all instances have the change.
async fn measure_changes(fleet: &Fleet, keys: &mut u32) -> Result<()> {
    let mut times = Vec::new();
    for _ in 0..TIMED_CHANGES {
        let sent = Instant::now();
        let revision = grant(fleet, keys).await?;
        let accepted = sent.elapsed();
        wait_for_revision(fleet, revision).await?;
        times.push((accepted.as_millis(), sent.elapsed().as_millis()));
    }
    println!("ms until accepted, until in force everywhere: {times:?}");
    Ok(())
}

/// Prints the time from the restart of an instance until it may serve requests.
async fn measure_restart(fleet: &mut Fleet) -> Result<()> {
    let name = fleet
        .instances
        .last()
        .ok_or_eyre("the fleet has no instances")?
        .name
        .clone();
    let started = Instant::now();
    fleet.restart_instance(&name).await?;
    let address = fleet.instance(&name)?.direct.operator;
    let fleet = &*fleet;
    wait_until(
        "the restarted instance may serve requests",
        CONFIG_TIMEOUT,
        async || {
            let status = status(fleet, address).await.ok();
            status.is_some_and(|s| s["proof_age_ms"].is_u64() && s["revision"].as_u64() > Some(0))
        },
    )
    .await?;
    println!(
        "ms until a restarted instance may serve: {}",
        started.elapsed().as_millis()
    );
    Ok(())
}

async fn usage(fleet: &Fleet) -> Result<FleetUsage> {
    let mut sum = FleetUsage::default();
    for instance in &fleet.instances {
        let pid = instance.process.id();
        let text = fs::read_to_string(format!("/proc/{pid}/schedstat"))?;
        let nanos = text
            .split_whitespace()
            .next()
            .ok_or_eyre("no run time in schedstat")?;
        sum.cpu_nanos += nanos.parse::<u64>()?;
        let metrics = metrics(fleet, instance.direct.operator).await?;
        let value = |name: &str| metrics.get(name).copied().unwrap_or(0.0);
        sum.peer_bytes += value("tarragonpulley_peer_bytes_sent_total");
        sum.heartbeats += value("tarragonpulley_heartbeats_sent_total");
        sum.table_reads += value("tarragonpulley_table_reads_total");
        sum.table_writes += value("tarragonpulley_table_writes_total");
    }
    Ok(sum)
}

/// The metrics of one instance, without those that have labels.
async fn metrics(fleet: &Fleet, address: SocketAddr) -> Result<BTreeMap<String, f64>> {
    let response = fleet
        .client
        .send(address, &TestRequest::get("/metrics"))
        .await?;
    let text = response.text();
    let lines = text.lines().filter(|line| !line.starts_with('#'));
    let values = lines.filter_map(|line| {
        let (name, value) = line.split_once(' ')?;
        Some((name.to_owned(), value.parse().ok()?))
    });
    Ok(values.collect())
}

fn resident_megabytes(fleet: &Fleet) -> Result<f64> {
    let mut pages = 0;
    for instance in &fleet.instances {
        let text = fs::read_to_string(format!("/proc/{}/statm", instance.process.id()))?;
        let resident = text
            .split_whitespace()
            .nth(1)
            .ok_or_eyre("no resident size in statm")?;
        pages += resident.parse::<u64>()?;
    }
    Ok(nanos_f64(pages * PAGE_BYTES) / 1e6)
}
