//! Jobs on slow routes.

use std::rc::Rc;
use std::time::Duration;

use tarragonpulley_backing::RowKey;

use super::backend::{Action, Backend};
use super::fakes::{TestInstance, TestResponse, wait_until};

async fn result(instance: &TestInstance, location: &str) -> TestResponse {
    loop {
        let response = instance.send("GET", location, "").await;
        if response.status != 202 {
            return response;
        }
        actix_rt::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Guards against a job that is lost when an attempt fails, and against the
/// delivery of a damaged result.
#[actix_rt::test]
async fn a_job_result_is_delivered_complete() {
    let backend = Backend::start().await;
    let instance = TestInstance::start(&[backend.address]).await;
    backend.script(&[Action::TruncatedBody]);
    let accepted = instance.send("POST", "/lunwan/desk/wear", "night").await;
    assert_eq!(accepted.status, 202, "{}", accepted.body);
    let response = result(&instance, &accepted.location).await;
    assert_eq!(
        (response.status.as_u16(), response.body.as_str()),
        (200, "/wear run 2")
    );

    for body in instance.objects.0.borrow_mut().values_mut() {
        *body = body.slice(1..);
    }
    let damaged = instance.send("GET", &accepted.location, "").await;
    assert_eq!(damaged.status, 503, "{}", damaged.body);
    let unknown = instance.send("GET", "/v1/jobs/00", "").await;
    assert_eq!(
        unknown.rejection(),
        (404, "not_run", "unknown_job".to_owned())
    );
}

/// Guards against a job that no instance continues after its holder failed.
#[actix_rt::test]
async fn a_job_is_taken_over() {
    let backend = Backend::start().await;
    let first = TestInstance::start(&[backend.address]).await;
    // The failed holder is simulated by an instance that cannot run the job, and
    // whose lease renewals go to another table.
    backend.default_action.set(Action::Shed);
    let accepted = first.send("POST", "/lunwan/desk/wear", "night").await;
    wait_until("attempt", || !backend.heads.borrow().is_empty()).await;
    first.config.proved.set(false);
    let id = accepted.location.rsplit('/').next().unwrap().to_owned();
    let key = RowKey::new(format!("job/open/{id}"));
    let row = first.table.rows.borrow().get(&key).cloned().unwrap();
    let (table, objects) = (Rc::default(), Rc::clone(&first.objects));
    let second = TestInstance::start_on(&[backend.address], table, objects, "edge-2").await;
    second.table.rows.borrow_mut().insert(key, row);
    backend.default_action.set(Action::Respond);
    wait_until("result", || {
        !second.table.text(&format!("job/done/{id}")).is_empty()
    })
    .await;
    let response = result(&second, &accepted.location).await;
    assert_eq!(response.status, 200);
    assert!(response.body.starts_with("/wear run"));
}
