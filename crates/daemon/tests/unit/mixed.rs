//! Concurrent requests under random faults of backend servers and the table.

use std::rc::Rc;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use yare::parameterized;

use super::backend::{Action, Backend};
use super::fakes::{TableFault, TestInstance, TestResponse, wait_until};

const CALLERS: u32 = 12;
const REQUESTS: u32 = 25;

const ACTIONS: [Action; 10] = [
    Action::Respond,
    Action::Respond,
    Action::RespondAfter(Duration::from_millis(30)),
    Action::WrongRequestId,
    Action::TruncatedBody,
    Action::TruncatedChunks,
    Action::Close,
    Action::Unresponsive,
    Action::Shed,
    Action::Error,
];

/// Counts the runs of one request on all servers, by its path.
fn runs(backends: &[Rc<Backend>], path: &str) -> usize {
    let ran = |backend: &Rc<Backend>| {
        let heads = backend.heads.borrow();
        let shed = backend.shed.borrow();
        let own = heads
            .iter()
            .enumerate()
            .filter(|(index, head)| head.split(' ').nth(1) == Some(path) && !shed.contains(index));
        own.count()
    };
    backends.iter().map(ran).sum()
}

async fn call(instance: &TestInstance, caller: u32, number: u32) -> (String, TestResponse) {
    let booking = number.is_multiple_of(2);
    let path = if booking { "/book" } else { "/fit" };
    let path = format!("{path}/{caller}-{number}");
    let key = format!("{caller}-{number}");
    let headers = [("idempotency-key", key.as_str()), ("x-deadline-ms", "600")];
    let method = if booking { "POST" } else { "GET" };
    let uri = format!("/lunwan/desk{path}");
    let response = instance.send_with(method, &uri, "", &headers).await;
    (path, response)
}

/// Guards against responses that are truncated or reach another caller, bookings
/// that run twice, rejections with the outcome "not run" after a run, and leaked
/// slots.
#[parameterized(one = { 1 }, two = { 2 }, three = { 3 })]
fn guarantees_hold_under_mixed_faults(seed: u64) {
    actix_rt::System::new().block_on(async {
        let mut random = SmallRng::seed_from_u64(seed);
        let backends = [
            Backend::start().await,
            Backend::start().await,
            Backend::start().await,
        ];
        for backend in &backends {
            let actions = (0..400).map(|_| ACTIONS[random.random_range(0..ACTIONS.len())]);
            *backend.actions.borrow_mut() = actions.collect();
        }
        let addresses = backends.each_ref().map(|backend| backend.address);
        let instance = Rc::new(TestInstance::start(&addresses).await);
        instance.rights.free.set(8);
        instance.table.delay.set(Duration::from_millis(3));
        let callers = (0..CALLERS).map(|caller| {
            let instance = Rc::clone(&instance);
            let faults = [TableFault::Down, TableFault::LoseResponse];
            let fault = faults[random.random_range(0..faults.len())];
            actix_rt::spawn(async move {
                let mut responses = Vec::new();
                for number in 0..REQUESTS {
                    if number.is_multiple_of(6) {
                        instance.table.faults.borrow_mut().push_back(fault);
                    }
                    responses.push(call(&instance, caller, number).await);
                }
                responses
            })
        });
        let responses = futures_util::future::join_all(callers).await;
        let mut complete = 0;
        for (path, response) in responses.into_iter().flat_map(Result::unwrap) {
            let count = runs(&backends, &path);
            if path.starts_with("/book") {
                assert!(count <= 1, "{path} ran {count} times");
            }
            match response.outcome.as_str() {
                "not_run" => assert_eq!(count, 0, "{path}: {}", response.body),
                "ran" if response.status == 200 => {
                    assert!(
                        response.body.starts_with(&format!("{path} run")),
                        "{path}: {}",
                        response.body
                    );
                    complete += 1;
                }
                "ran" => assert!(count > 0, "{path} did not run"),
                _ => assert_eq!(response.outcome, "unknown"),
            }
        }
        assert!(
            complete > 30,
            "only {complete} requests got a complete response"
        );
        wait_until("slots", || instance.rights.free.get() == 8).await;
        wait_until("results", || instance.handler.frontend().is_idle()).await;
        let attempts = instance.counter("attempts");
        let requests = u64::from(CALLERS * REQUESTS);
        assert!(
            attempts * 10 <= requests * 11,
            "{attempts} attempts for {requests} requests"
        );
    });
}
