//! Guarantee 3: keys.

use std::time::{Duration, Instant};

use eyre::{Result, ensure};
use rand::RngExt;
use serde_json::json;
use tarragonpulley_testkit::{Fleet, TestClient, TestRequest};

use crate::common::{
    PATIENCE, TICK, al_jabal, check_no_key_seen, grant_everywhere, links_of, lunwan,
    newest_revision, operate, run_test, set_cut, start_fleet, wait_in_force, wait_served,
};

/// The stated target for a withdrawn key.
const WITHDRAWAL_TARGET: Duration = Duration::from_secs(3);
/// The lifetime of a proof of the configuration.
const PROOF_LIFETIME: Duration = Duration::from_millis(2500);
const FIT: &str = "/lunwan/fitdesk/fit/7";

fn keyed(key: &str) -> TestRequest {
    TestRequest::get(FIT)
        .api_key(key)
        .timeout(Duration::from_secs(2))
}

/// Sends requests on open connections until the key is refused as unknown,
/// and returns how long after `start` the last admitted one was sent.
async fn last_admitted(
    client: &TestClient,
    fleet: &Fleet,
    index: usize,
    key: &str,
    start: Instant,
) -> Result<Duration> {
    let mut last = Duration::ZERO;
    loop {
        let sent = start.elapsed();
        let answer = client
            .send(fleet.instances[index].service, &keyed(key))
            .await?;
        match answer.code() {
            200 => last = sent,
            401 => return Ok(last),
            // Without a proof the request is refused but not yet for the key.
            503 => {}
            other => eyre::bail!("status {other}: {}", answer.text()),
        }
        let name = &fleet.instances[index].name;
        let refused = sent <= WITHDRAWAL_TARGET;
        ensure!(
            refused,
            "{name} did not refuse the key with 401 within {} ms: status {}",
            WITHDRAWAL_TARGET.as_millis(),
            answer.code()
        );
        actix_rt::time::sleep(TICK).await;
    }
}

/// Withdraws a key through one instance while links are cut.
async fn withdraw_with_cut(
    fleet: &Fleet,
    cut: &[String],
    through: usize,
    key: &str,
) -> Result<Duration> {
    grant_everywhere(fleet, "lunwan/team-a", key, FIT).await?;
    let clients: Vec<_> = fleet.instances.iter().map(|_| TestClient::new()).collect();
    for (client, instance) in clients.iter().zip(&fleet.instances) {
        let answer = client.send(instance.service, &keyed(key)).await?;
        ensure!(answer.code() == 200, "{}: {}", instance.name, answer.text());
    }
    set_cut(fleet, cut, true).await?;
    let operator = fleet.instances[through].direct.operator;
    let start = Instant::now();
    let operator_client = TestClient::new();
    let body = json!({"key": key});
    let withdrawal = operate(&operator_client, operator, "/v1/keys/withdraw", &body);
    let refusals = clients.iter().enumerate().map(|(index, client)| {
        let key = key.to_owned();
        async move { last_admitted(client, fleet, index, &key, start).await }
    });
    let (withdrawal, refusals) =
        futures_util::future::join(withdrawal, futures_util::future::join_all(refusals)).await;
    let code = withdrawal?.code();
    ensure!(
        [200, 503, 504].contains(&code),
        "the withdrawal was answered with {code}"
    );
    let mut longest = Duration::ZERO;
    for refusal in refusals {
        longest = longest.max(refusal?);
    }
    set_cut(fleet, cut, false).await?;
    // The operator repeats a withdrawal that was not confirmed.
    if code != 200 {
        fleet
            .client
            .withdraw(fleet.instances[0].direct.operator, key)
            .await?;
    }
    wait_in_force(fleet, newest_revision(fleet).await, PATIENCE).await?;
    Ok(longest)
}

/// Guards against a withdrawn key that goes on working on some instance: on
/// open connections, with any single link cut, or after the link is back.
#[test]
fn withdrawn_key_is_refused_everywhere_within_three_seconds() {
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
            let through = random.random_range(0..names.len());
            let last = withdraw_with_cut(&fleet, cut, through, &key)
                .await
                .map_err(|e| e.wrap_err(format!("cut {cut:?}, through {}", names[through])))?;
            println!("cut {cut:?}: last admitted {} ms after", last.as_millis());
            keys.push(key);
        }
        for instance in &fleet.instances {
            for key in &keys {
                let answer = fleet.client.send(instance.service, &keyed(key)).await?;
                ensure!(
                    answer.code() == 401,
                    "{key} works again on {}",
                    instance.name
                );
            }
        }
        check_no_key_seen(&mut fleet).await
    });
}

/// Guards against a key that reaches a backend server, also from an open
/// route, and against a key that works at another customer.
#[test]
fn keys_stay_with_their_customer_and_reach_no_backend_server() {
    run_test("keys_stay", 3002, async |_random| {
        let deployments = [lunwan(&["fitdesk"]), al_jabal(&["grade-desk"])];
        let mut fleet = start_fleet(deployments, 2).await?;
        grant_everywhere(&fleet, "lunwan/team-a", "key-of-lunwan-team-a", FIT).await?;
        let lots = "/al-jabal/grade-desk/lots/1";
        grant_everywhere(&fleet, "al-jabal/team-a", "key-of-al-jabal-team-a", lots).await?;
        let cases = [
            (FIT, Some("key-of-lunwan-team-a"), 200),
            (lots, Some("key-of-al-jabal-team-a"), 200),
            (lots, Some("key-of-lunwan-team-a"), 403),
            (FIT, Some("key-of-al-jabal-team-a"), 403),
            (FIT, Some("key-that-nobody-granted"), 401),
            (FIT, None, 401),
            ("/lunwan/fitdesk/open/1", Some("key-of-lunwan-team-a"), 200),
            ("/lunwan/fitdesk/open/1", None, 200),
        ];
        for instance in &fleet.instances {
            for (path, key, status) in cases {
                let mut request = TestRequest::get(path);
                if let Some(key) = key {
                    request = request.api_key(key);
                }
                let answer = fleet.client.send(instance.service, &request).await?;
                ensure!(
                    answer.code() == status,
                    "{path} with {key:?}: {} in place of {status}",
                    answer.code()
                );
                if status != 200 {
                    ensure!(answer.outcome() == Some("not_run"), "{}", answer.text());
                }
            }
        }
        check_no_key_seen(&mut fleet).await
    });
}

/// Guards against an instance that serves keys without a proof that its
/// configuration is current.
#[test]
fn isolated_instance_refuses_keys_after_the_proof_lifetime() {
    run_test("isolated_instance_keys", 3003, async |_random| {
        let fleet = start_fleet([lunwan(&["fitdesk"])], 4).await?;
        let key = "key-at-isolated-instance";
        grant_everywhere(&fleet, "lunwan/team-a", key, FIT).await?;
        let isolated = 2;
        let links = links_of(&fleet, &fleet.instances[isolated].name);
        set_cut(&fleet, &links, true).await?;
        let start = Instant::now();
        let service = fleet.instances[isolated].service;
        let mut refused = 0;
        while start.elapsed() < PROOF_LIFETIME * 2 {
            let sent = start.elapsed();
            let answer = fleet.client.send(service, &keyed(key)).await?;
            let text = answer.text();
            if text.contains("configuration_not_proved") {
                ensure!(answer.code() == 503, "{text}");
                ensure!(answer.outcome() == Some("not_run"), "{text}");
                refused += 1;
            } else {
                ensure!(answer.code() == 200, "{text}");
                let late = sent.as_millis();
                ensure!(sent <= PROOF_LIFETIME, "answered {late} ms after the cut");
                ensure!(refused == 0, "served again without a proof");
            }
            actix_rt::time::sleep(TICK).await;
        }
        ensure!(refused > 0, "nothing was refused");
        for (index, instance) in fleet.instances.iter().enumerate() {
            if index != isolated {
                let answer = fleet.client.send(instance.service, &keyed(key)).await?;
                ensure!(answer.code() == 200, "{}: {}", instance.name, answer.text());
            }
        }
        set_cut(&fleet, &links, false).await?;
        wait_in_force(&fleet, newest_revision(&fleet).await, PATIENCE).await?;
        wait_served(&fleet, key, FIT).await
    });
}

/// Guards against an instance that spends slots, or sends requests to leaving
/// servers, after it lost its proof: open routes need no key, but slots and the
/// state of servers come from the fleet. A refusal must say "not run".
#[test]
fn isolated_instance_refuses_open_routes_too() {
    run_test("isolated_instance_open", 3004, async |_random| {
        let fleet = start_fleet([lunwan(&["fitdesk"])], 4).await?;
        let key = "key-at-isolated-instance";
        grant_everywhere(&fleet, "lunwan/team-a", key, FIT).await?;
        let isolated = &fleet.instances[2];
        let links = links_of(&fleet, &isolated.name);
        let open = TestRequest::get("/lunwan/fitdesk/open/1");
        let before = fleet.client.send(isolated.service, &open).await?;
        ensure!(before.code() == 200, "before the cut: {}", before.text());
        set_cut(&fleet, &links, true).await?;
        let start = Instant::now();
        let mut refused = 0;
        while start.elapsed() < PROOF_LIFETIME * 2 {
            let sent = start.elapsed();
            let answer = fleet.client.send(isolated.service, &open).await?;
            let text = answer.text();
            if answer.code() == 200 {
                let late = sent.as_millis();
                ensure!(sent <= PROOF_LIFETIME, "answered {late} ms after the cut");
                ensure!(refused == 0, "served again without a proof");
            } else {
                ensure!(answer.code() == 503, "{text}");
                ensure!(text.contains("configuration_not_proved"), "{text}");
                ensure!(answer.outcome() == Some("not_run"), "{text}");
                refused += 1;
            }
            actix_rt::time::sleep(TICK).await;
        }
        ensure!(refused > 0, "nothing was refused");
        Ok(())
    });
}
