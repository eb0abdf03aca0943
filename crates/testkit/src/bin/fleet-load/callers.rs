//! Load generators: the callers of each team.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use actix_rt::time::sleep;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use serde_json::Value;
use tarragonpulley_testkit::{Deployment, Fleet, TeamSpec, TestClient, TestRequest};

/// Every 10th request is a booking.
const BOOKING_INTERVAL: u64 = 10;
/// Longer than the timeout of the routes that are called.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);
/// Attempts of a request, each at another instance.
const MAX_ATTEMPTS: usize = 2;

pub(crate) fn key_of(team: &str) -> String {
    format!("load-key-of-{team}-0123456789")
}

/// Settings and addresses shared by all callers.
#[derive(Debug)]
pub(crate) struct CallerPlan {
    client: TestClient,
    customer: String,
    lookup_path: String,
    booking_path: String,
    /// Service addresses by instance name, without links.
    addresses: BTreeMap<String, SocketAddr>,
    /// Addresses for lookups.
    entry_addresses: Vec<SocketAddr>,
    /// When the last request is sent.
    end: Instant,
    seed: u64,
}

impl CallerPlan {
    pub(crate) fn new(fleet: &Fleet, deployment: &Deployment, seconds: u64, seed: u64) -> Self {
        let customer = &deployment.customer;
        let (lookup, booking) = if customer == "lunwan" {
            ("fitdesk/fit/7", "swapledger/swaps")
        } else {
            ("grade-desk/lots/7", "sale-ledger/sales")
        };
        let addresses = fleet
            .instances
            .iter()
            .map(|i| (i.name.clone(), i.direct.service));
        Self {
            client: TestClient::new(),
            customer: customer.clone(),
            lookup_path: format!("/{customer}/{lookup}"),
            booking_path: format!("/{customer}/{booking}"),
            addresses: addresses.collect(),
            entry_addresses: fleet.instances.iter().map(|i| i.direct.service).collect(),
            end: Instant::now() + Duration::from_secs(seconds),
            seed,
        }
    }
}

/// Results of the requests of one team.
#[derive(Debug, Default)]
pub(crate) struct TeamResult {
    pub(crate) team: String,
    /// Whether the team sends more than its rate.
    pub(crate) greedy: bool,
    pub(crate) sent: u64,
    pub(crate) answered: u64,
    pub(crate) bookings: u64,
    /// Requests without a 2xx response, by status and error.
    pub(crate) rejections: BTreeMap<String, u64>,
    /// Latencies of 2xx responses.
    pub(crate) latencies: Vec<Duration>,
}

#[derive(Debug)]
struct CachedLookup {
    until: Instant,
    instances: Vec<SocketAddr>,
}

/// The load generator of one team.
#[derive(Debug)]
pub(crate) struct TeamLoad {
    plan: Rc<CallerPlan>,
    index: usize,
    name: String,
    per_second: f64,
    greedy: bool,
    lookup: RefCell<Option<CachedLookup>>,
    result: RefCell<TeamResult>,
    running: Cell<u64>,
}

impl TeamLoad {
    pub(crate) fn new(
        plan: Rc<CallerPlan>,
        index: usize,
        team: &TeamSpec,
        factor: f64,
    ) -> Rc<Self> {
        Rc::new(Self {
            plan,
            index,
            name: team.name.clone(),
            per_second: f64::from(team.rate) * factor,
            greedy: factor > 1.0,
            lookup: RefCell::default(),
            result: RefCell::default(),
            running: Cell::new(0),
        })
    }

    /// Sends requests until the end of the load, then waits for the outstanding
    /// responses. Inter-arrival times are exponential.
    pub(crate) async fn run(self: Rc<Self>) -> TeamResult {
        let mut random = SmallRng::seed_from_u64(self.plan.seed + self.index as u64);
        let mut next = Instant::now();
        let mut number = 0;
        loop {
            let uniform: f64 = random.random();
            next += Duration::from_secs_f64(-(1.0 - uniform).ln() / self.per_second);
            if next > self.plan.end {
                break;
            }
            sleep(next.saturating_duration_since(Instant::now())).await;
            number += 1;
            self.running.set(self.running.get() + 1);
            actix_rt::spawn(Rc::clone(&self).send(number));
        }
        while self.running.get() > 0 {
            sleep(Duration::from_millis(20)).await;
        }
        let mut result = self.result.take();
        result.team.clone_from(&self.name);
        result.greedy = self.greedy;
        result
    }

    async fn send(self: Rc<Self>, number: u64) {
        let key = key_of(&self.name);
        let booking = number.is_multiple_of(BOOKING_INTERVAL);
        let request = if booking {
            let idempotency_key = format!("{}-{number}", self.name);
            TestRequest::post(&*self.plan.booking_path)
                .idempotency_key(&idempotency_key)
                .body(idempotency_key.clone())
        } else {
            TestRequest::get(&*self.plan.lookup_path)
        };
        let request = request.api_key(&key).timeout(REQUEST_TIMEOUT);
        let started = Instant::now();
        let mut outcome = Err("no instance".to_owned());
        for address in self.instances().await.into_iter().take(MAX_ATTEMPTS) {
            outcome = match self.plan.client.send(address, &request).await {
                Ok(response) if response.status.is_success() => Ok(()),
                Ok(response) => {
                    let body: Value = response.json().unwrap_or_default();
                    let error = body["error"].as_str().unwrap_or("-");
                    Err(format!("{} {error}", response.code()))
                }
                // The instance is unreachable: drop the cached lookup and try
                // the next instance.
                Err(_error) => {
                    self.lookup.take();
                    outcome = Err("no answer".to_owned());
                    continue;
                }
            };
            break;
        }
        let mut result = self.result.borrow_mut();
        result.sent += 1;
        match outcome {
            Ok(()) => {
                result.answered += 1;
                result.bookings += u64::from(booking);
                result.latencies.push(started.elapsed());
            }
            Err(reason) => *result.rejections.entry(reason).or_default() += 1,
        }
        drop(result);
        self.running.set(self.running.get() - 1);
    }

    /// The instances of the cached lookup while it is valid, or else of a new
    /// one.
    async fn instances(&self) -> Vec<SocketAddr> {
        if let Some(cached) = &*self.lookup.borrow()
            && cached.until > Instant::now()
        {
            return cached.instances.clone();
        }
        let count = self.plan.entry_addresses.len();
        for offset in 0..count {
            let address = self.plan.entry_addresses[(self.index + offset) % count];
            let response = self.plan.client.look_up(address, &self.plan.customer).await;
            let Some(response) = response.ok().filter(|a| a.status.is_success()) else {
                continue;
            };
            let body: Value = response.json().unwrap_or_default();
            let names = body["instances"].as_array().cloned().unwrap_or_default();
            let instances: Vec<SocketAddr> = names
                .iter()
                .filter_map(|entry| {
                    self.plan
                        .addresses
                        .get(entry["instance"].as_str()?)
                        .copied()
                })
                .collect();
            let valid = body["valid_for_ms"].as_u64().unwrap_or(1000);
            self.lookup.replace(Some(CachedLookup {
                until: Instant::now() + Duration::from_millis(valid),
                instances: instances.clone(),
            }));
            return instances;
        }
        Vec::new()
    }
}
