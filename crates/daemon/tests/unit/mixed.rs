//! Random faults of backend servers and the table under concurrent requests.

use std::rc::Rc;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use yare::parameterized;

use super::backend::{Act, Backend};
use super::fakes::{Answer, TableFault, TestInstance, until};

const CALLERS: u32 = 12;
const REQUESTS: u32 = 25;

const ACTS: [Act; 10] = [
    Act::Answer,
    Act::Answer,
    Act::AnswerAfter(Duration::from_millis(30)),
    Act::Crossed,
    Act::CutLength,
    Act::CutChunk,
    Act::Close,
    Act::Silent,
    Act::Shed,
    Act::Error,
];

/// Runs of one request on all servers, by its path.
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

async fn call(instance: &TestInstance, caller: u32, number: u32) -> (String, Answer) {
    let booking = number.is_multiple_of(2);
    let path = if booking { "/book" } else { "/fit" };
    let path = format!("{path}/{caller}-{number}");
    let key = format!("{caller}-{number}");
    let headers = [("idempotency-key", key.as_str()), ("x-deadline-ms", "600")];
    let method = if booking { "POST" } else { "GET" };
    let uri = format!("/lunwan/desk{path}");
    let answer = instance.send_with(method, &uri, "", &headers).await;
    (path, answer)
}

/// Guards against answers that reach another caller or are cut, bookings that
/// run twice, refusals that say "not run" after a run, and leaked slots.
#[parameterized(one = { 1 }, two = { 2 }, three = { 3 })]
fn promises_hold_under_mixed_faults(seed: u64) {
    actix_rt::System::new().block_on(async {
        let mut random = SmallRng::seed_from_u64(seed);
        let backends = [
            Backend::start().await,
            Backend::start().await,
            Backend::start().await,
        ];
        for backend in &backends {
            let acts = (0..400).map(|_| ACTS[random.random_range(0..ACTS.len())]);
            *backend.acts.borrow_mut() = acts.collect();
        }
        let addresses = backends.each_ref().map(|backend| backend.address);
        let instance = Rc::new(TestInstance::start(&addresses).await);
        instance.rights.free.set(8);
        instance.table.delay.set(Duration::from_millis(3));
        let callers = (0..CALLERS).map(|caller| {
            let instance = Rc::clone(&instance);
            let faults = [TableFault::Down, TableFault::LoseAnswer];
            let fault = faults[random.random_range(0..faults.len())];
            actix_rt::spawn(async move {
                let mut answers = Vec::new();
                for number in 0..REQUESTS {
                    if number.is_multiple_of(6) {
                        instance.table.faults.borrow_mut().push_back(fault);
                    }
                    answers.push(call(&instance, caller, number).await);
                }
                answers
            })
        });
        let answers = futures_util::future::join_all(callers).await;
        let mut whole = 0;
        for (path, answer) in answers.into_iter().flat_map(Result::unwrap) {
            let count = runs(&backends, &path);
            if path.starts_with("/book") {
                assert!(count <= 1, "{path} ran {count} times");
            }
            match answer.outcome.as_str() {
                "not_run" => assert_eq!(count, 0, "{path}: {}", answer.body),
                "ran" if answer.status == 200 => {
                    assert!(
                        answer.body.starts_with(&format!("{path} run")),
                        "{path}: {}",
                        answer.body
                    );
                    whole += 1;
                }
                "ran" => assert!(count > 0, "{path} did not run"),
                _ => assert_eq!(answer.outcome, "unknown"),
            }
        }
        assert!(whole > 30, "only {whole} requests were answered");
        until("slots", || instance.rights.free.get() == 8).await;
        until("results", || instance.handler.frontend().is_idle()).await;
        let attempts = instance.counter("attempts");
        let requests = u64::from(CALLERS * REQUESTS);
        assert!(
            attempts * 10 <= requests * 11,
            "{attempts} attempts for {requests} requests"
        );
    });
}
