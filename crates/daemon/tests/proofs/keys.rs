//! Guarantee 3: API keys, their withdrawal, and the proof that the configuration
//! is current.

use std::time::{Duration, Instant};

use eyre::{Result, ensure};
use rand::RngExt;
use serde_json::json;
use tarragonpulley_testkit::{Fleet, TestClient, TestRequest};

use crate::common::{
    POLL_INTERVAL, WAIT_TIMEOUT, al_jabal, check_no_key_seen, grant_everywhere, links_of, lunwan,
    newest_revision, run_test, send_operator_request, set_links_cut, start_fleet,
    wait_for_revision, wait_until_served,
};

/// The guaranteed time until a withdrawn key is rejected on all instances.
const WITHDRAWAL_TIMEOUT: Duration = Duration::from_secs(3);
/// Time for which a proof that the configuration is current stays valid.
const PROOF_LIFETIME: Duration = Duration::from_millis(2500);
const FIT_PATH: &str = "/lunwan/fitdesk/fit/7";

fn keyed_request(key: &str) -> TestRequest {
    TestRequest::get(FIT_PATH)
        .api_key(key)
        .timeout(Duration::from_secs(2))
}

/// Sends requests on open connections until the key is rejected as unknown, and
/// returns how long after `start` the last admitted one was sent.
async fn time_of_last_admitted(
    client: &TestClient,
    fleet: &Fleet,
    index: usize,
    key: &str,
    start: Instant,
) -> Result<Duration> {
    let mut last = Duration::ZERO;
    loop {
        let sent = start.elapsed();
        let response = client
            .send(fleet.instances[index].service, &keyed_request(key))
            .await?;
        match response.code() {
            200 => last = sent,
            401 => return Ok(last),
            // Without a proof, requests are rejected whether or not the key is valid.
            503 => {}
            other => eyre::bail!("status {other}: {}", response.text()),
        }
        let name = &fleet.instances[index].name;
        let in_time = sent <= WITHDRAWAL_TIMEOUT;
        ensure!(
            in_time,
            "{name} didn't reject the key with 401 within {} ms: status {}",
            WITHDRAWAL_TIMEOUT.as_millis(),
            response.code()
        );
        actix_rt::time::sleep(POLL_INTERVAL).await;
    }
}

/// Withdraws a key through one instance while links are cut. Returns when the
/// last request with the key was admitted, counted from the withdrawal.
async fn withdraw_with_cut(
    fleet: &Fleet,
    cut: &[String],
    operator_index: usize,
    key: &str,
) -> Result<Duration> {
    grant_everywhere(fleet, "lunwan/team-a", key, FIT_PATH).await?;
    let clients: Vec<_> = fleet.instances.iter().map(|_| TestClient::new()).collect();
    for (client, instance) in clients.iter().zip(&fleet.instances) {
        let response = client.send(instance.service, &keyed_request(key)).await?;
        ensure!(
            response.code() == 200,
            "{}: {}",
            instance.name,
            response.text()
        );
    }
    set_links_cut(fleet, cut, true).await?;
    let operator = fleet.instances[operator_index].direct.operator;
    let start = Instant::now();
    let operator_client = TestClient::new();
    let body = json!({"key": key});
    let withdrawal = send_operator_request(&operator_client, operator, "/v1/keys/withdraw", &body);
    let last_admitted_times = clients.iter().enumerate().map(|(index, client)| {
        let key = key.to_owned();
        async move { time_of_last_admitted(client, fleet, index, &key, start).await }
    });
    let (withdrawal, last_admitted_times) = futures_util::future::join(
        withdrawal,
        futures_util::future::join_all(last_admitted_times),
    )
    .await;
    let code = withdrawal?.code();
    ensure!(
        [200, 503, 504].contains(&code),
        "status {code} for the withdrawal"
    );
    let mut latest = Duration::ZERO;
    for last_admitted in last_admitted_times {
        latest = latest.max(last_admitted?);
    }
    set_links_cut(fleet, cut, false).await?;
    // The operator retries a withdrawal that wasn't confirmed.
    if code != 200 {
        fleet
            .client
            .withdraw(fleet.instances[0].direct.operator, key)
            .await?;
    }
    wait_for_revision(fleet, newest_revision(fleet).await, WAIT_TIMEOUT).await?;
    Ok(latest)
}

/// Guards against a withdrawn key that still works on some instance: on open
/// connections, with any single link cut, or after the link is restored.
#[test]
fn withdrawn_key_is_rejected_everywhere_within_three_seconds() {
    run_test("withdrawn_key", 3001, async |mut random| {
        let mut fleet = start_fleet([lunwan(&["fitdesk"])], 4).await?;
        let names: Vec<_> = fleet.instances.iter().map(|i| i.name.clone()).collect();
        let mut cuts: Vec<Vec<String>> = vec![Vec::new()];
        for name in &names {
            cuts.push(vec![format!("platform/{name}")]);
            let others = names.iter().filter(|other| *other != name);
            cuts.extend(others.map(|other| vec![format!("peer/{name}/{other}")]));
        }
        let mut keys = Vec::new();
        for (round, cut) in cuts.iter().enumerate() {
            let key = format!("withdrawn-key-{round:04}");
            let operator_index = random.random_range(0..names.len());
            let last = withdraw_with_cut(&fleet, cut, operator_index, &key)
                .await
                .map_err(|e| {
                    e.wrap_err(format!("cut {cut:?}, through {}", names[operator_index]))
                })?;
            println!("cut {cut:?}: last admitted after {} ms", last.as_millis());
            keys.push(key);
        }
        for instance in &fleet.instances {
            for key in &keys {
                let response = fleet
                    .client
                    .send(instance.service, &keyed_request(key))
                    .await?;
                ensure!(
                    response.code() == 401,
                    "{key} works again on {}",
                    instance.name
                );
            }
        }
        check_no_key_seen(&mut fleet).await
    });
}

/// Guards against a key that is forwarded to a backend server, including on an
/// open route, and against a key that works at another customer.
#[test]
fn keys_work_only_at_their_customer_and_reach_no_backend_server() {
    run_test("keys_stay", 3002, async |_random| {
        let deployments = [lunwan(&["fitdesk"]), al_jabal(&["grade-desk"])];
        let mut fleet = start_fleet(deployments, 2).await?;
        grant_everywhere(&fleet, "lunwan/team-a", "key-of-lunwan-team-a", FIT_PATH).await?;
        let lots = "/al-jabal/grade-desk/lots/1";
        grant_everywhere(&fleet, "al-jabal/team-a", "key-of-al-jabal-team-a", lots).await?;
        let cases = [
            (FIT_PATH, Some("key-of-lunwan-team-a"), 200),
            (lots, Some("key-of-al-jabal-team-a"), 200),
            (lots, Some("key-of-lunwan-team-a"), 403),
            (FIT_PATH, Some("key-of-al-jabal-team-a"), 403),
            (FIT_PATH, Some("key-that-nobody-granted"), 401),
            (FIT_PATH, None, 401),
            ("/lunwan/fitdesk/open/1", Some("key-of-lunwan-team-a"), 200),
            ("/lunwan/fitdesk/open/1", None, 200),
        ];
        for instance in &fleet.instances {
            for (path, key, status) in cases {
                let mut request = TestRequest::get(path);
                if let Some(key) = key {
                    request = request.api_key(key);
                }
                let response = fleet.client.send(instance.service, &request).await?;
                ensure!(
                    response.code() == status,
                    "{path} with {key:?}: status {}, expected {status}",
                    response.code()
                );
                if status != 200 {
                    ensure!(response.outcome() == Some("not_run"), "{}", response.text());
                }
            }
        }
        check_no_key_seen(&mut fleet).await
    });
}

/// Guards against an instance that serves requests with keys without a proof
/// that its configuration is current.
#[test]
fn isolated_instance_rejects_keys_after_the_proof_lifetime() {
    run_test("isolated_instance_keys", 3003, async |_random| {
        let fleet = start_fleet([lunwan(&["fitdesk"])], 4).await?;
        let key = "key-at-isolated-instance";
        grant_everywhere(&fleet, "lunwan/team-a", key, FIT_PATH).await?;
        let isolated = 2;
        let links = links_of(&fleet, &fleet.instances[isolated].name);
        set_links_cut(&fleet, &links, true).await?;
        let start = Instant::now();
        let service = fleet.instances[isolated].service;
        let mut rejected = 0;
        while start.elapsed() < PROOF_LIFETIME * 2 {
            let sent = start.elapsed();
            let response = fleet.client.send(service, &keyed_request(key)).await?;
            let text = response.text();
            if text.contains("configuration_not_proved") {
                ensure!(response.code() == 503, "{text}");
                ensure!(response.outcome() == Some("not_run"), "{text}");
                rejected += 1;
            } else {
                ensure!(response.code() == 200, "{text}");
                let sent_ms = sent.as_millis();
                ensure!(sent <= PROOF_LIFETIME, "served {sent_ms} ms after the cut");
                ensure!(rejected == 0, "served again without a proof");
            }
            actix_rt::time::sleep(POLL_INTERVAL).await;
        }
        ensure!(rejected > 0, "no request was rejected");
        for (index, instance) in fleet.instances.iter().enumerate() {
            if index != isolated {
                let response = fleet
                    .client
                    .send(instance.service, &keyed_request(key))
                    .await?;
                ensure!(
                    response.code() == 200,
                    "{}: {}",
                    instance.name,
                    response.text()
                );
            }
        }
        set_links_cut(&fleet, &links, false).await?;
        wait_for_revision(&fleet, newest_revision(&fleet).await, WAIT_TIMEOUT).await?;
        wait_until_served(&fleet, key, FIT_PATH).await
    });
}

/// Guards against an instance that spends slots, or sends requests to leaving
/// servers, after it has lost its proof: open routes need no key, but slots and
/// the state of servers come from the fleet. A rejection must report "not run".
#[test]
fn isolated_instance_rejects_open_routes() {
    run_test("isolated_instance_open", 3004, async |_random| {
        let fleet = start_fleet([lunwan(&["fitdesk"])], 4).await?;
        let key = "key-at-isolated-instance";
        grant_everywhere(&fleet, "lunwan/team-a", key, FIT_PATH).await?;
        let isolated = &fleet.instances[2];
        let links = links_of(&fleet, &isolated.name);
        let open = TestRequest::get("/lunwan/fitdesk/open/1");
        let before = fleet.client.send(isolated.service, &open).await?;
        ensure!(before.code() == 200, "before the cut: {}", before.text());
        set_links_cut(&fleet, &links, true).await?;
        let start = Instant::now();
        let mut rejected = 0;
        while start.elapsed() < PROOF_LIFETIME * 2 {
            let sent = start.elapsed();
            let response = fleet.client.send(isolated.service, &open).await?;
            let text = response.text();
            if response.code() == 200 {
                let sent_ms = sent.as_millis();
                ensure!(sent <= PROOF_LIFETIME, "served {sent_ms} ms after the cut");
                ensure!(rejected == 0, "served again without a proof");
            } else {
                ensure!(response.code() == 503, "{text}");
                ensure!(text.contains("configuration_not_proved"), "{text}");
                ensure!(response.outcome() == Some("not_run"), "{text}");
                rejected += 1;
            }
            actix_rt::time::sleep(POLL_INTERVAL).await;
        }
        ensure!(rejected > 0, "no request was rejected");
        Ok(())
    });
}
