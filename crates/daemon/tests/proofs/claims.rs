//! Guarantees 7 and 8: rejections that report the right outcome, and bookings
//! that run at most once.

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
    WAIT_TIMEOUT, grant_everywhere, lunwan, newest_revision, run_test, set_table_fault,
    start_fleet, wait_for_revision, wait_until_served,
};

const KEY: &str = "key-of-the-booking-team";
const SWAPS_PATH: &str = "/lunwan/swapledger/swaps";
/// A path for GET requests that check whether an instance serves.
const SWAP_PATH: &str = "/lunwan/swapledger/swaps/1";
/// Duration of fault injection.
const FAULT_INJECTION_DURATION: Duration = Duration::from_secs(16);
const CALLER_COUNT: u64 = 12;
/// Number of "outcome unknown" responses after which a caller stops retrying.
const MAX_UNKNOWN_OUTCOMES: u32 = 3;
const INSTANCE_COUNT: usize = 4;

/// Final outcome of a booking as seen by its caller.
#[derive(Debug, Clone, PartialEq, Eq)]
enum BookingOutcome {
    /// Response body, index of the instance, and time at which the successful
    /// attempt was sent.
    Completed(String, usize, Instant),
    /// Every attempt was rejected as "not run", and the caller gave up.
    NotRun,
    /// At least one attempt may have run.
    Unknown,
}

/// Outcomes of bookings by identity.
type BookingLog = Rc<RefCell<BTreeMap<String, BookingOutcome>>>;

fn booking(identity: &str) -> TestRequest {
    let body = format!("booking {identity}");
    TestRequest::post(SWAPS_PATH)
        .api_key(KEY)
        .idempotency_key(identity)
        .body(body)
        .timeout(Duration::from_secs(5))
}

/// Outcome of one attempt according to its response.
enum AttemptOutcome {
    Completed(String),
    NotRun,
    /// It may have run; a retry may get a definite outcome.
    Pending,
    /// The fleet doesn't know the outcome, and a retry can't find it out.
    Unknown,
}

fn classify_response(response: Result<TestResponse>) -> Result<AttemptOutcome> {
    let Ok(response) = response else {
        // The instance was killed, or the client timed out.
        return Ok(AttemptOutcome::Pending);
    };
    let text = response.text();
    match (response.code(), response.outcome()) {
        (200, _) => Ok(AttemptOutcome::Completed(text)),
        (409, Some("unknown")) => Ok(AttemptOutcome::Pending),
        (_, Some("not_run")) => Ok(AttemptOutcome::NotRun),
        (502 | 504, Some("unknown" | "ran")) => Ok(AttemptOutcome::Unknown),
        (code, outcome) => Err(eyre!("status {code}, outcome {outcome:?}: {text}")),
    }
}

/// Makes one booking: retries at other instances until the outcome is definite.
/// At random, gives up earlier if every attempt so far was rejected as not run.
async fn book(
    client: &TestClient,
    services: &[SocketAddr],
    identity: &str,
    random: &mut StdRng,
) -> Result<BookingOutcome> {
    let mut index = random.random_range(0..services.len());
    let mut may_have_run = false;
    let mut unknown = 0;
    loop {
        let sent = Instant::now();
        let response = client.send(services[index], &booking(identity)).await;
        match classify_response(response)? {
            AttemptOutcome::Completed(body) => {
                return Ok(BookingOutcome::Completed(body, index, sent));
            }
            AttemptOutcome::NotRun if !may_have_run && random.random_bool(0.3) => {
                return Ok(BookingOutcome::NotRun);
            }
            AttemptOutcome::NotRun => {}
            AttemptOutcome::Pending => may_have_run = true,
            AttemptOutcome::Unknown => {
                may_have_run = true;
                unknown += 1;
                if unknown == MAX_UNKNOWN_OUTCOMES {
                    return Ok(BookingOutcome::Unknown);
                }
            }
        }
        index = (index + 1) % services.len();
        let delay = random.random_range(5..60);
        actix_rt::time::sleep(Duration::from_millis(delay)).await;
    }
}

/// Makes bookings one after another until `stop` is set.
async fn run_caller(
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
        let outcome = book(&client, &services, &identity, &mut random).await?;
        log.borrow_mut().insert(identity, outcome);
        // Spreads the requests over time, so that each fault affects some.
        let delay = random.random_range(5..40);
        actix_rt::time::sleep(Duration::from_millis(delay)).await;
    }
    Ok(())
}

async fn set_backend_faults(fleet: &mut Fleet, fault: &BackendFault) -> Result<()> {
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

/// Injects faults one after another. Returns the index and time of each killed
/// instance.
async fn inject_faults(fleet: &mut Fleet, random: &mut StdRng) -> Result<Vec<(usize, Instant)>> {
    let mut kills = Vec::new();
    let start = Instant::now();
    while start.elapsed() < FAULT_INJECTION_DURATION {
        let fault_duration = Duration::from_millis(random.random_range(100..700));
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
                let index = random.random_range(0..INSTANCE_COUNT);
                let name = fleet.instances[index].name.clone();
                fleet.instances[index].process.kill()?;
                kills.push((index, Instant::now()));
                actix_rt::time::sleep(fault_duration).await;
                fleet.restart_instance(&name).await?;
                continue;
            }
            2 => {
                let index = random.random_range(0..INSTANCE_COUNT);
                fleet.instances[index].process.pause()?;
                actix_rt::time::sleep(fault_duration).await;
                fleet.instances[index].process.resume()?;
                continue;
            }
            3 => {
                let fault = BackendFault {
                    cut_share: 0.3,
                    wrong_id_share: 0.1,
                    ..BackendFault::default()
                };
                set_backend_faults(fleet, &fault).await?;
                actix_rt::time::sleep(fault_duration).await;
                set_backend_faults(fleet, &BackendFault::default()).await?;
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
        set_table_fault(fleet, table).await?;
        actix_rt::time::sleep(fault_duration).await;
        set_table_fault(fleet, ServiceFault::default()).await?;
    }
    Ok(kills)
}

/// Counts the runs started and finished by identity, over all backend servers.
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
    log: &BTreeMap<String, BookingOutcome>,
    runs: &BTreeMap<String, (u64, u64)>,
) -> Result<()> {
    for (identity, (started, _finished)) in runs {
        ensure!(*started <= 1, "{identity} ran {started} times");
    }
    for (identity, outcome) in log {
        let (started, finished) = runs.get(identity).copied().unwrap_or_default();
        match outcome {
            BookingOutcome::Completed(..) => ensure!(
                (started, finished) == (1, 1),
                "{identity} succeeded but started {started} and finished {finished} times"
            ),
            BookingOutcome::NotRun => ensure!(started == 0, "{identity} ran despite not_run"),
            BookingOutcome::Unknown => {}
        }
    }
    Ok(())
}

/// Retries every completed booking at another instance and returns the number of
/// lost results. A result may be lost, and reported as unknown, only if its
/// instance was killed after the attempt was sent: the result may not have been
/// stored yet.
async fn check_retries(
    fleet: &Fleet,
    log: &BTreeMap<String, BookingOutcome>,
    kills: &[(usize, Instant)],
) -> Result<usize> {
    let mut lost = 0;
    for (identity, outcome) in log {
        let BookingOutcome::Completed(body, responder, sent) = outcome else {
            continue;
        };
        let service = fleet.instances[(responder + 1) % INSTANCE_COUNT].service;
        let mut pending = 0;
        loop {
            let response = fleet.client.send(service, &booking(identity)).await;
            match classify_response(response)? {
                AttemptOutcome::Completed(retry) => {
                    ensure!(retry == *body, "{identity}: {body} became {retry}");
                    break;
                }
                AttemptOutcome::Unknown => {
                    let killed = kills
                        .iter()
                        .any(|(index, when)| index == responder && when > sent);
                    ensure!(killed, "{identity}: the result was lost");
                    lost += 1;
                    break;
                }
                // Rejected for lack of capacity, or the result isn't stored yet.
                AttemptOutcome::NotRun | AttemptOutcome::Pending => {
                    pending += 1;
                    ensure!(pending < 100, "{identity}: no result on retry");
                    actix_rt::time::sleep(Duration::from_millis(20)).await;
                }
            }
        }
    }
    Ok(lost)
}

async fn check_bookings(seed: u64, mut random: StdRng) -> Result<()> {
    let mut fleet = start_fleet([lunwan(&["swapledger"])], INSTANCE_COUNT).await?;
    grant_everywhere(&fleet, "lunwan/team-a", KEY, SWAP_PATH).await?;
    let services: Vec<_> = fleet.instances.iter().map(|i| i.service).collect();
    let log = BookingLog::default();
    let stop = Rc::new(Cell::new(false));
    let callers: Vec<_> = (0..CALLER_COUNT)
        .map(|number| {
            let (services, stop) = (services.clone(), Rc::clone(&stop));
            actix_rt::spawn(run_caller(number, seed, services, stop, Rc::clone(&log)))
        })
        .collect();
    let kills = inject_faults(&mut fleet, &mut random).await?;
    stop.set(true);
    for result in join_all(callers).await {
        result??;
    }
    wait_for_revision(&fleet, newest_revision(&fleet).await, WAIT_TIMEOUT).await?;
    wait_until_served(&fleet, KEY, SWAP_PATH).await?;
    let log = log.take();
    check_runs(&log, &runs_by_identity(&mut fleet).await?)?;
    let lost = check_retries(&fleet, &log, &kills).await?;
    // The retries must not have run anything either.
    check_runs(&log, &runs_by_identity(&mut fleet).await?)?;
    let count =
        |predicate: fn(&BookingOutcome) -> bool| log.values().filter(|e| predicate(e)).count();
    let completed = count(|e| matches!(e, BookingOutcome::Completed(..)));
    let rejected = count(|e| *e == BookingOutcome::NotRun);
    let unknown = count(|e| *e == BookingOutcome::Unknown);
    println!(
        "bookings: {completed} completed, {rejected} not run, {unknown} unknown, \
         {} kills, {lost} results lost",
        kills.len()
    );
    ensure!(completed > 200, "only {completed} bookings completed");
    ensure!(
        rejected > 0 && unknown > 0,
        "no rejection or no unknown outcome"
    );
    Ok(())
}

/// Guards against bookings that run twice, "not run" for one that ran, and
/// results that differ between retries, while instances are killed and paused,
/// the table is down, slow or loses responses, and backend servers truncate
/// responses.
#[test]
fn bookings_run_at_most_once_and_rejections_are_correct() {
    let seed = 8001;
    run_test("bookings", seed, async |random| {
        check_bookings(seed, random).await
    });
}

/// Guards against one identity used for two different requests, and against a
/// booking that is sent while its claim can't be written.
#[test]
fn reused_identity_and_bookings_without_table_are_rejected() {
    run_test("identity_reused", 8002, async |_random| {
        let mut fleet = start_fleet([lunwan(&["swapledger"])], 2).await?;
        grant_everywhere(&fleet, "lunwan/team-a", KEY, SWAP_PATH).await?;
        let services: Vec<_> = fleet.instances.iter().map(|i| i.service).collect();
        let first = fleet.client.send(services[0], &booking("one")).await?;
        ensure!(first.code() == 200, "{}", first.text());
        for service in &services {
            let other = booking("one").body("another body");
            let response = fleet.client.send(*service, &other).await?;
            ensure!(
                response.code() == 422,
                "{}: {}",
                response.code(),
                response.text()
            );
            ensure!(response.outcome() == Some("not_run"), "{}", response.text());
            // The result is stored shortly after the response is sent. Until then,
            // the response to a retry at another instance is that the request is running.
            let same = async || {
                let retry = fleet.client.send(*service, &booking("one")).await;
                retry.is_ok_and(|retry| retry.body == first.body)
            };
            wait_until("the same response on retry", WAIT_TIMEOUT, same).await?;
        }
        let down = ServiceFault {
            mode: ServiceMode::Refuse,
            ..ServiceFault::default()
        };
        set_table_fault(&fleet, down).await?;
        for service in &services {
            let response = fleet.client.send(*service, &booking("two")).await?;
            ensure!(
                response.code() == 503,
                "{}: {}",
                response.code(),
                response.text()
            );
            ensure!(response.outcome() == Some("not_run"), "{}", response.text());
        }
        set_table_fault(&fleet, ServiceFault::default()).await?;
        let runs = runs_by_identity(&mut fleet).await?;
        ensure!(runs.get("one") == Some(&(1, 1)), "{runs:?}");
        ensure!(!runs.contains_key("two"), "{runs:?}");
        Ok(())
    });
}
