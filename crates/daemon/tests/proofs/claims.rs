//! Guarantees 7 and 8: truthful refusals, and bookings that run at most once.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use eyre::{Result, ensure, eyre};
use futures_util::future::join_all;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tarragonpulley_testkit::{
    BackendControl, BackendCounts, BackendFault, Fleet, LoseMode, ServiceFault, ServiceMode,
    TestClient, TestRequest, TestResponse, wait_until,
};

use crate::common::{
    PATIENCE, grant_everywhere, lunwan, newest_revision, run_test, set_table, start_fleet,
    wait_in_force, wait_served,
};

const KEY: &str = "key-of-the-booking-team";
const SWAPS: &str = "/lunwan/swapledger/swaps";
/// A path that is only read, to see whether an instance serves.
const SWAP: &str = "/lunwan/swapledger/swaps/1";
/// Time in which failures are provoked.
const FAULT_TIME: Duration = Duration::from_secs(16);
const CALLERS: u64 = 12;
/// Rounds of "outcome unknown" after which a caller takes it as final.
const UNKNOWN_ROUNDS: u32 = 3;
const INSTANCES: usize = 4;

/// What a caller knows about a booking in the end.
#[derive(Debug, Clone, PartialEq, Eq)]
enum BookingEnd {
    /// This body, from this instance, to an attempt sent at this time.
    Answered(String, usize, Instant),
    /// Every attempt was refused as "not run", and the caller gave up.
    NotRun,
    /// At least one attempt may have run.
    Unknown,
}

/// Bookings by identity and their ends.
type BookingLog = Rc<RefCell<BTreeMap<String, BookingEnd>>>;

fn booking(identity: &str) -> TestRequest {
    let body = format!("booking {identity}");
    TestRequest::post(SWAPS)
        .api_key(KEY)
        .idempotency_key(identity)
        .body(body)
        .timeout(Duration::from_secs(5))
}

/// What one attempt tells its caller.
enum AttemptNews {
    Answered(String),
    NotRun,
    /// It may have run; a repeat may tell more.
    Open,
    /// The fleet does not know and never will.
    Unknown,
}

fn read_news(answer: Result<TestResponse>) -> Result<AttemptNews> {
    let Ok(answer) = answer else {
        // The instance died, or the client gave up.
        return Ok(AttemptNews::Open);
    };
    let text = answer.text();
    match (answer.code(), answer.outcome()) {
        (200, _) => Ok(AttemptNews::Answered(text)),
        (409, Some("unknown")) => Ok(AttemptNews::Open),
        (_, Some("not_run")) => Ok(AttemptNews::NotRun),
        (502 | 504, Some("unknown" | "ran")) => Ok(AttemptNews::Unknown),
        (code, outcome) => Err(eyre!("status {code}, outcome {outcome:?}: {text}")),
    }
}

/// Makes one booking: repeats it at other instances until the answer is
/// definite, or gives up early while every attempt was refused.
async fn book(
    client: &TestClient,
    services: &[SocketAddr],
    identity: &str,
    random: &mut StdRng,
) -> Result<BookingEnd> {
    let mut index = random.random_range(0..services.len());
    let mut may_have_run = false;
    let mut unknown = 0;
    loop {
        let sent = Instant::now();
        let answer = client.send(services[index], &booking(identity)).await;
        match read_news(answer)? {
            AttemptNews::Answered(body) => {
                return Ok(BookingEnd::Answered(body, index, sent));
            }
            AttemptNews::NotRun if !may_have_run && random.random_bool(0.3) => {
                return Ok(BookingEnd::NotRun);
            }
            AttemptNews::NotRun => {}
            AttemptNews::Open => may_have_run = true,
            AttemptNews::Unknown => {
                may_have_run = true;
                unknown += 1;
                if unknown == UNKNOWN_ROUNDS {
                    return Ok(BookingEnd::Unknown);
                }
            }
        }
        index = (index + 1) % services.len();
        let pause = random.random_range(5..60);
        actix_rt::time::sleep(Duration::from_millis(pause)).await;
    }
}

/// A caller that makes bookings one after another.
async fn caller(
    number: u64,
    seed: u64,
    services: Vec<SocketAddr>,
    stop: Rc<Cell<bool>>,
    log: BookingLog,
) -> Result<()> {
    let mut random = StdRng::seed_from_u64(seed ^ number);
    let client = TestClient::new();
    let mut count = 0;
    while !stop.get() {
        let identity = format!("booking-{number}-{count}");
        count += 1;
        let end = book(&client, &services, &identity, &mut random).await?;
        log.borrow_mut().insert(identity, end);
        // Requests are spread over time, so that each fault meets some.
        let pause = random.random_range(5..40);
        actix_rt::time::sleep(Duration::from_millis(pause)).await;
    }
    Ok(())
}

async fn set_backends(fleet: &mut Fleet, fault: &BackendFault) -> Result<()> {
    let names: Vec<_> = fleet
        .backends
        .iter()
        .map(|b| b.server.name.clone())
        .collect();
    for name in names {
        let message = BackendControl {
            fault: Some(fault.clone()),
            ..BackendControl::default()
        };
        fleet.control_backend(&name, &message).await?;
    }
    Ok(())
}

/// Provokes failures one after another and notes when instances were killed.
async fn provoke(fleet: &mut Fleet, random: &mut StdRng) -> Result<Vec<(usize, Instant)>> {
    let mut kills = Vec::new();
    let start = Instant::now();
    while start.elapsed() < FAULT_TIME {
        let pause = Duration::from_millis(random.random_range(100..700));
        let lose = |lose_mode| ServiceFault {
            lose_writes: 3,
            lose_mode,
            ..ServiceFault::default()
        };
        let down = |mode| ServiceFault {
            mode,
            ..ServiceFault::default()
        };
        let table = match random.random_range(0..9) {
            0 | 1 => {
                let index = random.random_range(0..INSTANCES);
                let name = fleet.instances[index].name.clone();
                fleet.instances[index].process.kill()?;
                kills.push((index, Instant::now()));
                actix_rt::time::sleep(pause).await;
                fleet.restart_instance(&name).await?;
                continue;
            }
            2 => {
                let index = random.random_range(0..INSTANCES);
                fleet.instances[index].process.pause()?;
                actix_rt::time::sleep(pause).await;
                fleet.instances[index].process.resume()?;
                continue;
            }
            3 => {
                let fault = BackendFault {
                    cut_share: 0.3,
                    wrong_id_share: 0.1,
                    ..BackendFault::default()
                };
                set_backends(fleet, &fault).await?;
                actix_rt::time::sleep(pause).await;
                set_backends(fleet, &BackendFault::default()).await?;
                continue;
            }
            4 => lose(LoseMode::Close),
            5 => lose(LoseMode::Hang),
            6 => down(ServiceMode::Refuse),
            7 => down(ServiceMode::Hang),
            _ => ServiceFault {
                slow_ms: 300,
                ..ServiceFault::default()
            },
        };
        set_table(fleet, table).await?;
        actix_rt::time::sleep(pause).await;
        set_table(fleet, ServiceFault::default()).await?;
    }
    Ok(kills)
}

/// Runs by identity, over all backend servers.
async fn runs_by_identity(fleet: &mut Fleet) -> Result<BTreeMap<String, (u64, u64)>> {
    let names: Vec<_> = fleet
        .backends
        .iter()
        .map(|b| b.server.name.clone())
        .collect();
    let mut runs: BTreeMap<String, (u64, u64)> = BTreeMap::new();
    for name in names {
        let counts: BackendCounts = fleet.backend_counts(&name).await?;
        for (identity, count) in counts.by_key {
            let run = runs.entry(identity).or_default();
            run.0 += count.started;
            run.1 += count.finished;
        }
    }
    Ok(runs)
}

fn check_runs(
    log: &BTreeMap<String, BookingEnd>,
    runs: &BTreeMap<String, (u64, u64)>,
) -> Result<()> {
    for (identity, (started, _finished)) in runs {
        ensure!(*started <= 1, "{identity} ran {started} times");
    }
    for (identity, end) in log {
        let (started, finished) = runs.get(identity).copied().unwrap_or_default();
        match end {
            BookingEnd::Answered(..) => ensure!(
                (started, finished) == (1, 1),
                "{identity} was answered but started {started} and finished {finished} times"
            ),
            BookingEnd::NotRun => ensure!(started == 0, "{identity}: told not run, but it ran"),
            BookingEnd::Unknown => {}
        }
    }
    Ok(())
}

/// Repeats every answered booking at another instance. Only the answer of an
/// instance that was killed after the attempt was sent may have been lost, as
/// unknown: an answer may be under way when its instance is killed.
async fn check_repeats(
    fleet: &Fleet,
    log: &BTreeMap<String, BookingEnd>,
    kills: &[(usize, Instant)],
) -> Result<usize> {
    let mut lost = 0;
    for (identity, end) in log {
        let BookingEnd::Answered(body, by, sent) = end else {
            continue;
        };
        let service = fleet.instances[(by + 1) % INSTANCES].service;
        let mut unknown = 0;
        loop {
            let answer = fleet.client.send(service, &booking(identity)).await;
            match read_news(answer)? {
                AttemptNews::Answered(repeat) => {
                    ensure!(repeat == *body, "{identity}: {body} became {repeat}");
                    break;
                }
                AttemptNews::Unknown => {
                    let killed = kills.iter().any(|(index, when)| index == by && when > sent);
                    ensure!(killed, "{identity}: the answer was forgotten");
                    lost += 1;
                    break;
                }
                // A refusal for lack of capacity, or a result on its way.
                AttemptNews::NotRun | AttemptNews::Open => {
                    unknown += 1;
                    ensure!(unknown < 100, "{identity}: no answer to the repeat");
                    actix_rt::time::sleep(Duration::from_millis(20)).await;
                }
            }
        }
    }
    Ok(lost)
}

async fn check_bookings(seed: u64, mut random: StdRng) -> Result<()> {
    let mut fleet = start_fleet([lunwan(&["swapledger"])], INSTANCES).await?;
    grant_everywhere(&fleet, "lunwan/team-a", KEY, SWAP).await?;
    let services: Vec<_> = fleet.instances.iter().map(|i| i.service).collect();
    let log = BookingLog::default();
    let stop = Rc::new(Cell::new(false));
    let callers: Vec<_> = (0..CALLERS)
        .map(|number| {
            let (services, stop) = (services.clone(), Rc::clone(&stop));
            actix_rt::spawn(caller(number, seed, services, stop, Rc::clone(&log)))
        })
        .collect();
    let kills = provoke(&mut fleet, &mut random).await?;
    stop.set(true);
    for end in join_all(callers).await {
        end??;
    }
    wait_in_force(&fleet, newest_revision(&fleet).await, PATIENCE).await?;
    wait_served(&fleet, KEY, SWAP).await?;
    let log = log.take();
    check_runs(&log, &runs_by_identity(&mut fleet).await?)?;
    let lost = check_repeats(&fleet, &log, &kills).await?;
    // The repeats must not have run anything either.
    check_runs(&log, &runs_by_identity(&mut fleet).await?)?;
    let count = |end: fn(&BookingEnd) -> bool| log.values().filter(|e| end(e)).count();
    let answered = count(|e| matches!(e, BookingEnd::Answered(..)));
    let refused = count(|e| *e == BookingEnd::NotRun);
    let unknown = count(|e| *e == BookingEnd::Unknown);
    println!(
        "bookings: {answered} answered, {refused} not run, {unknown} unknown, \
         {} kills, {lost} answers unknown to a repeat",
        kills.len()
    );
    ensure!(answered > 200, "only {answered} bookings were answered");
    ensure!(
        refused > 0 && unknown > 0,
        "no refusal or no unknown outcome"
    );
    Ok(())
}

/// Guards against bookings that run twice, "not run" for one that ran, and
/// answers that differ between repeats, while instances are killed and paused,
/// the table is down, slow or loses answers, and backend servers cut answers.
#[test]
fn bookings_run_at_most_once_and_refusals_are_true() {
    let seed = 8001;
    run_test("bookings", seed, async |random| {
        check_bookings(seed, random).await
    });
}

/// Guards against one identity that stands for two requests, and against a
/// booking that is sent while its claim cannot be written.
#[test]
fn identity_with_another_body_is_refused_and_no_table_means_not_run() {
    run_test("identity_reused", 8002, async |_random| {
        let mut fleet = start_fleet([lunwan(&["swapledger"])], 2).await?;
        grant_everywhere(&fleet, "lunwan/team-a", KEY, SWAP).await?;
        let services: Vec<_> = fleet.instances.iter().map(|i| i.service).collect();
        let first = fleet.client.send(services[0], &booking("one")).await?;
        ensure!(first.code() == 200, "{}", first.text());
        for service in &services {
            let other = booking("one").body("another body");
            let answer = fleet.client.send(*service, &other).await?;
            ensure!(answer.code() == 422, "{}: {}", answer.code(), answer.text());
            ensure!(answer.outcome() == Some("not_run"), "{}", answer.text());
            // The result is written a moment after the answer; until then a
            // repeat at another instance is told that the request is running.
            let same = async || {
                let repeat = fleet.client.send(*service, &booking("one")).await;
                repeat.is_ok_and(|repeat| repeat.body == first.body)
            };
            wait_until("the same answer to a repeat", PATIENCE, same).await?;
        }
        let down = ServiceFault {
            mode: ServiceMode::Refuse,
            ..ServiceFault::default()
        };
        set_table(&fleet, down).await?;
        for service in &services {
            let answer = fleet.client.send(*service, &booking("two")).await?;
            ensure!(answer.code() == 503, "{}: {}", answer.code(), answer.text());
            ensure!(answer.outcome() == Some("not_run"), "{}", answer.text());
        }
        set_table(&fleet, ServiceFault::default()).await?;
        let runs = runs_by_identity(&mut fleet).await?;
        ensure!(runs.get("one") == Some(&(1, 1)), "{runs:?}");
        ensure!(!runs.contains_key("two"), "{runs:?}");
        Ok(())
    });
}
