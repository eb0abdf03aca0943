//! Requests that run at most once.

use std::rc::Rc;
use std::time::Duration;

use tarragonpulley_backing::CommitOutcome;
use yare::parameterized;

use super::backend::{Action, Backend};
use super::fakes::{TableFault, TestInstance, TestResponse, wait_until};

const BOOK: &str = "/lunwan/desk/book";
const ROW: &str = "claim/lunwan/counter/desk/k1";

async fn book(instance: &TestInstance, body: &str) -> TestResponse {
    let headers = [("idempotency-key", "k1")];
    instance.send_with("POST", BOOK, body, &headers).await
}

/// Guards against a booking that runs twice, a retry that does not get the
/// recorded response, and an identity that is used for two requests.
#[actix_rt::test]
async fn a_retry_gets_the_recorded_response() {
    let backend = Backend::start().await;
    let first = TestInstance::start(&[backend.address]).await;
    let response = book(&first, "pram").await;
    assert_eq!(response.status, 200, "{}", response.body);
    let here = book(&first, "pram").await;
    assert_eq!(here.body, response.body);
    first.rights.free.set(0);
    let without_slot = book(&first, "pram").await;
    assert_eq!(without_slot.body, response.body);
    wait_until("result", || first.table.text(ROW).contains("done")).await;
    let table = Rc::clone(&first.table);
    let second = TestInstance::start_on(&[backend.address], table, Rc::default(), "edge-2").await;
    let there = book(&second, "pram").await;
    assert_eq!(there.body, response.body);
    let reused = book(&second, "other").await;
    assert_eq!(
        reused.rejection(),
        (422, "not_run", "identity_reused".to_owned())
    );
    assert_eq!(backend.runs.get(), 1);
}

/// Guards against a booking that runs twice or is wrongly rejected when the
/// table's response to the claim is lost after the write was applied.
#[actix_rt::test]
async fn a_claim_with_a_lost_response_is_read_back() {
    let backend = Backend::start().await;
    let instance = TestInstance::start(&[backend.address]).await;
    instance
        .table
        .faults
        .borrow_mut()
        .push_back(TableFault::LoseResponse);
    assert_eq!(book(&instance, "pram").await.status, 200);
    wait_until("result", || instance.table.text(ROW).contains("done")).await;
    assert_eq!(backend.runs.get(), 1);
}

/// Guards against a booking that is sent without a claim.
#[actix_rt::test]
async fn a_booking_is_rejected_while_the_table_is_down() {
    let backend = Backend::start().await;
    let instance = TestInstance::start(&[backend.address]).await;
    instance
        .table
        .faults
        .borrow_mut()
        .push_back(TableFault::Down);
    let response = book(&instance, "pram").await;
    assert_eq!(
        response.rejection(),
        (503, "not_run", "table_unavailable".to_owned())
    );
    assert_eq!(backend.runs.get(), 0);
    assert_eq!(book(&instance, "pram").await.status, 200);
}

/// Guards against bookings that hold slots while they wait for an unresponsive
/// table, and against rejections that continue after it has recovered.
#[actix_rt::test]
async fn bookings_do_not_wait_for_an_unresponsive_table() {
    let backend = Backend::start().await;
    let instance = TestInstance::start(&[backend.address]).await;
    instance.table.delay.set(Duration::from_millis(300));
    let faults = &instance.table.faults;
    faults.borrow_mut().push_back(TableFault::Down);
    let rejection = (503, "not_run", "table_unavailable".to_owned());
    assert_eq!(book(&instance, "pram").await.rejection(), rejection);
    let commits = instance.table.commits.get();
    assert_eq!(book(&instance, "pram").await.rejection(), rejection);
    assert_eq!(
        instance.table.commits.get(),
        commits,
        "a claim was attempted"
    );
    instance.table.delay.set(Duration::ZERO);
    while book(&instance, "pram").await.status != 200 {
        actix_rt::time::sleep(Duration::from_millis(20)).await;
    }
    assert_eq!(backend.runs.get(), 1);
}

/// Guards against a booking that the instance retries after it was sent, and
/// against a caller's retry that gets any outcome but "unknown".
#[parameterized(
    closed = { Action::Close, 502 },
    truncated = { Action::TruncatedBody, 502 },
    unresponsive = { Action::Unresponsive, 504 },
)]
fn a_booking_is_never_sent_twice(action: Action, status: u16) {
    actix_rt::System::new().block_on(async {
        let (one, two) = (Backend::start().await, Backend::start().await);
        let instance = TestInstance::start(&[one.address, two.address]).await;
        one.default_action.set(action);
        two.default_action.set(action);
        let response = book(&instance, "pram").await;
        assert_eq!(
            (response.status.as_u16(), response.outcome.as_str()),
            (status, "unknown")
        );
        assert!(
            response.body.contains("lunwan/counter/desk/k1"),
            "{}",
            response.body
        );
        let again = book(&instance, "pram").await;
        assert_eq!(
            again.rejection(),
            (502, "unknown", "backend_failed".to_owned())
        );
        wait_until("result", || instance.table.text(ROW).contains("unknown")).await;
        assert_eq!(one.runs.get() + two.runs.get(), 1);
    });
}

/// Guards against a claim that is kept after its request was certainly not run,
/// so that every retry of the caller is rejected.
#[actix_rt::test]
async fn a_claim_is_released_when_nothing_ran() {
    let backend = Backend::start().await;
    let instance = TestInstance::start(&[backend.address]).await;
    backend.script(&[Action::Shed]);
    let response = book(&instance, "pram").await;
    assert_eq!(
        response.rejection(),
        (503, "not_run", "no_capacity".to_owned())
    );
    wait_until("release", || instance.table.text(ROW).is_empty()).await;
    assert_eq!(book(&instance, "pram").await.status, 200);
    assert_eq!(backend.runs.get(), 1);
}

/// Guards against a deletion of a claim that waits longer the more often the
/// table failed before, so that retries of its caller are rejected long after the
/// table has recovered.
#[parameterized(
    refused_deletions = { 0, 7 },
    failed_reads = { 8, 0 },
)]
fn a_claim_is_released_soon_after_failures_of_the_table(reads: u32, deletions: usize) {
    actix_rt::System::new().block_on(async {
        let backend = Backend::start().await;
        let instance = TestInstance::start(&[backend.address]).await;
        backend.script(&[Action::Shed]);
        let table = &instance.table;
        // The claim is inserted without a response. It is read back and held, or
        // rejected if the first of the failing reads is its own.
        let faults = std::iter::once(TableFault::LoseResponse)
            .chain(std::iter::repeat_n(TableFault::Down, deletions));
        table.faults.borrow_mut().extend(faults);
        table.failing_claim_reads.set(reads);
        let response = book(&instance, "pram").await;
        assert_eq!(
            (response.status.as_u16(), response.outcome.as_str()),
            (503, "not_run")
        );
        wait_until("release", || table.text(ROW).is_empty()).await;
        assert!(table.faults.borrow().is_empty());
        assert_eq!(table.failing_claim_reads.get(), 0);
        backend.script(&[]);
        assert_eq!(book(&instance, "pram").await.status, 200);
        assert_eq!(backend.runs.get(), 1);
    });
}

/// Guards against a claim that is inserted late and then kept, because a retry of
/// its caller was claimed and released meanwhile.
#[actix_rt::test]
async fn a_claim_that_is_inserted_after_that_of_a_retry_is_released() {
    let backend = Backend::start().await;
    let instance = TestInstance::start(&[backend.address]).await;
    backend.script(&[Action::Shed]);
    let table = &instance.table;
    table.faults.borrow_mut().push_back(TableFault::Late);
    let first = book(&instance, "pram").await;
    assert_eq!(
        first.rejection(),
        (503, "not_run", "table_unavailable".to_owned())
    );
    let retry = book(&instance, "pram").await;
    assert_eq!(
        retry.rejection(),
        (503, "not_run", "no_capacity".to_owned())
    );
    wait_until("release", || table.text(ROW).is_empty()).await;
    let outcomes = table.apply_late();
    assert!(
        matches!(outcomes[..], [CommitOutcome::Committed(_)]),
        "{outcomes:?}"
    );
    wait_until("second release", || table.text(ROW).is_empty()).await;
    assert_eq!(book(&instance, "pram").await.status, 200);
    assert_eq!(backend.runs.get(), 1);
}

/// Guards against a booking that is sent after its key was withdrawn, its
/// proof expired or its deadline passed while the claim was being written.
#[parameterized(
    withdrawn = { "withdrawn", 401 },
    proof = { "proof", 503 },
    deadline = { "deadline", 504 },
)]
fn a_booking_is_checked_again_after_its_claim(change: &str, status: u16) {
    actix_rt::System::new().block_on(async {
        let backend = Backend::start().await;
        let instance = Rc::new(TestInstance::start(&[backend.address]).await);
        let late = if change == "deadline" { 1200 } else { 200 };
        instance.table.delay.set(Duration::from_millis(late));
        let caller = Rc::clone(&instance);
        let waiting = actix_rt::spawn(async move { book(&caller, "pram").await });
        wait_until("claim", || instance.table.commits.get() > 0).await;
        instance.config.withdrawn.set(change == "withdrawn");
        instance.config.proved.set(change != "proof");
        let response = waiting.await.unwrap();
        assert_eq!(
            (response.status.as_u16(), response.outcome.as_str()),
            (status, "not_run")
        );
        instance.table.delay.set(Duration::ZERO);
        wait_until("release", || instance.handler.frontend().is_idle()).await;
        assert_eq!(instance.table.text(ROW), "");
        assert_eq!(backend.runs.get(), 0);
    });
}

/// Guards against a second run after the holder of a claim was killed, and
/// against the outcome "unknown" while the holder is live.
#[actix_rt::test]
async fn a_claim_of_a_failed_holder_is_unknown() {
    let backend = Backend::start().await;
    backend
        .default_action
        .set(Action::RespondAfter(Duration::from_millis(400)));
    let first = Rc::new(TestInstance::start(&[backend.address]).await);
    let table = Rc::clone(&first.table);
    let second = TestInstance::start_on(&[backend.address], table, Rc::default(), "edge-2").await;
    second
        .members
        .0
        .borrow_mut()
        .push(super::fakes::member("edge-1", 1));
    let caller = Rc::clone(&first);
    let running = actix_rt::spawn(async move { book(&caller, "pram").await });
    wait_until("run", || backend.runs.get() == 1).await;
    let while_live = book(&second, "pram").await;
    assert_eq!(
        while_live.rejection(),
        (409, "unknown", "still_running".to_owned())
    );
    second
        .members
        .0
        .borrow_mut()
        .last_mut()
        .unwrap()
        .incarnation = "edge-1#2".parse().ok();
    let after_failure = book(&second, "pram").await;
    assert_eq!(
        after_failure.rejection(),
        (502, "unknown", "backend_failed".to_owned())
    );
    assert_eq!(running.await.unwrap().status, 200);
    assert_eq!(backend.runs.get(), 1);
}

/// Guards against a separate table write for each of many concurrent bookings.
#[actix_rt::test]
async fn concurrent_claims_share_transactions() {
    let backend = Backend::start().await;
    let instance = Rc::new(TestInstance::start(&[backend.address]).await);
    let bookings = (0..20).map(|number| {
        let instance = Rc::clone(&instance);
        actix_rt::spawn(async move {
            let key = format!("surge-{number}");
            let headers = [("idempotency-key", key.as_str())];
            instance.send_with("POST", BOOK, "pram", &headers).await
        })
    });
    for response in futures_util::future::join_all(bookings).await {
        let response = response.unwrap();
        assert_eq!(response.status, 200, "{}", response.body);
    }
    wait_until("results", || instance.handler.frontend().is_idle()).await;
    let writes = instance.counter("claim_writes");
    assert!(writes <= 20, "{writes} writes for 20 claims and 20 results");
    assert_eq!(backend.runs.get(), 20);
}
