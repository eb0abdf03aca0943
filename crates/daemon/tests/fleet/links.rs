//! Proofs and withdrawals while links and the table fail.

use std::rc::Rc;
use std::time::Duration;

use tarragonpulley_policy::clock::ManualClock;
use tarragonpulley_policy::facts::{FactKey, FactValue};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use yare::parameterized;

use crate::harness::{CONTRACT, TestFleet, digest, eventually};
use crate::platform::TableMode;

/// The target of guarantee 3.
const WITHDRAWAL_TARGET: Duration = Duration::from_secs(3);

/// A link of a fleet of three.
#[derive(Debug, Clone, Copy)]
enum CutLink {
    Peers(usize, usize),
    Table(usize),
}

/// Guards against a withdrawn key that goes on working behind a cut link.
#[parameterized(
    peers_0_1 = { CutLink::Peers(0, 1) },
    peers_0_2 = { CutLink::Peers(0, 2) },
    peers_1_2 = { CutLink::Peers(1, 2) },
    table_0 = { CutLink::Table(0) },
    table_1 = { CutLink::Table(1) },
    table_2 = { CutLink::Table(2) },
)]
#[test_macro(actix_rt::test)]
async fn withdrawn_key_is_refused_everywhere(link: CutLink) {
    let fleet = TestFleet::start_configured(3).await;
    match link {
        CutLink::Peers(one, other) => fleet.cut(one, other, true),
        CutLink::Table(index) => fleet.instances[index].table.mode.set(TableMode::Silent),
    }
    let key = digest("key");
    for instance in &fleet.instances {
        assert!(!instance.node.rejects_key(&key), "the key works before");
    }
    let withdrawal = fleet.node(0).withdraw_key(key);
    let everywhere = eventually("refused on all instances", || {
        fleet.instances.iter().all(|i| i.node.rejects_key(&key))
    });
    let (_outcome, took) = tokio::join!(withdrawal, everywhere);
    assert!(took < WITHDRAWAL_TARGET, "took {took:?}");
}

/// Guards against a fleet that stops serving because the table does.
#[actix_rt::test]
async fn table_outage_keeps_proofs_by_attestation() {
    let fleet = TestFleet::start_configured(3).await;
    for instance in &fleet.instances {
        instance.table.mode.set(TableMode::Down);
    }
    // Three lifetimes of a proof: the last own reading cannot carry that far.
    let end = std::time::Instant::now() + Duration::from_millis(7500);
    while std::time::Instant::now() < end {
        for instance in &fleet.instances {
            assert!(instance.node.proof_age().is_some(), "a proof was lost");
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Guards against a new instance that serves before it has heard of the
/// withdrawals that the table does not have.
#[actix_rt::test]
async fn new_instance_knows_withdrawals_before_it_serves() {
    let mut fleet = TestFleet::start_configured(3).await;
    for instance in &fleet.instances {
        instance.table.mode.set(TableMode::Down);
    }
    let key = digest("key");
    fleet
        .node(0)
        .withdraw_key(key)
        .await
        .expect_err("the table is down");
    eventually("passed on", || fleet.node(1).is_withdrawn(&key)).await;
    fleet.restart_last(2).await;
    while fleet.node(2).proof_age().is_none() {
        tokio::task::yield_now().await;
    }
    assert!(fleet.node(2).snapshot().keys.contains_key(&key));
    assert!(fleet.node(2).is_withdrawn(&key));
}

/// Guards against a dead instance that keeps the others from proving anything
/// once the list has dropped it, while the table is down.
#[actix_rt::test]
async fn dead_instance_does_not_block_attestation() {
    let mut fleet = TestFleet::start_configured(3).await;
    fleet.kill_last();
    for instance in &fleet.instances {
        instance.table.mode.set(TableMode::Down);
    }
    let unproved = || fleet.instances.iter().all(|i| i.node.proof_age().is_none());
    eventually("a listed instance is counted on", unproved).await;
    fleet.delist(2);
    let proved = || fleet.instances.iter().all(|i| i.node.proof_age().is_some());
    eventually("a dropped one is not", proved).await;
}

/// Guards against an instance that serves on while it is cut off from the
/// table and all peers, and against one that does not recover.
#[actix_rt::test]
async fn cut_instance_loses_its_proof_and_recovers() {
    let fleet = TestFleet::start_configured(3).await;
    let cut = |cut| {
        fleet.cut(0, 2, cut);
        fleet.cut(1, 2, cut);
        let mode = if cut {
            TableMode::Silent
        } else {
            TableMode::Up
        };
        fleet.instances[2].table.mode.set(mode);
    };
    cut(true);
    let lost = eventually("the proof is lost", || fleet.node(2).proof_age().is_none()).await;
    assert!(lost <= Duration::from_millis(2600), "lost after {lost:?}");
    assert!(fleet.node(0).proof_age().is_some(), "others go on");
    cut(false);
    eventually("the proof is back", || fleet.node(2).proof_age().is_some()).await;
    eventually("links are back", || {
        fleet.node(2).reachable_peers().len() == 2
    })
    .await;
}

/// Guards against a paused process that serves on an old proof when it
/// resumes, before any of its tasks has run.
#[actix_rt::test]
async fn paused_instance_refuses_on_resume() {
    let clock = Rc::new(ManualClock::new());
    let fleet = TestFleet::start_with(1, Rc::clone(&clock) as _).await;
    fleet.node(0).ready().await;
    clock.advance(Duration::from_millis(2500));
    assert_eq!(fleet.node(0).proof_age(), None);
    eventually("a new proof", || fleet.node(0).proof_age().is_some()).await;
}

/// Guards against a newer revision that only the table has being missed by an
/// instance that the table does not answer.
#[actix_rt::test]
async fn configuration_is_fetched_from_a_peer() {
    let fleet = TestFleet::start_configured(2).await;
    fleet.instances[1].table.mode.set(TableMode::Silent);
    let text = CONTRACT.replace("60/s", "90/s");
    let revision = fleet
        .node(0)
        .put_contract(&text, None)
        .await
        .expect("accepted");
    let current = || fleet.node(1).snapshot().revision == revision;
    eventually("fetched", current).await;
}

/// Guards against a listener that stops, or a peer that loses its place, when
/// something else talks to the peer port.
#[actix_rt::test]
async fn malformed_bytes_are_refused_and_counted() {
    let fleet = TestFleet::start_configured(2).await;
    let target = fleet.peer_address(1);
    let mut garbage = TcpStream::connect(target).await.expect("connected");
    garbage
        .write_all(b"GET / HTTP/1.1\r\n\r\n")
        .await
        .expect("sent");
    let (client, connection) =
        h2::client::handshake(TcpStream::connect(target).await.expect("connected"))
            .await
            .expect("handshake");
    actix_rt::spawn(async move { connection.await.ok() });
    let mut client = client.ready().await.expect("ready");
    let request = http::Request::post("http://peer/1")
        .body(())
        .expect("valid");
    let (answer, mut body) = client.send_request(request, false).expect("sent");
    body.send_data(vec![0xff; 1000].into(), true).expect("sent");
    let answer = answer.await.expect("answered");
    assert_eq!(answer.status(), 400);
    let refused = || fleet.node(1).metric("peer_messages_refused_total") >= Some(2.0);
    eventually("both are counted", refused).await;
    let fact = FactKey::CrashCount(7, fleet.node(0).incarnation());
    fleet
        .node(0)
        .publish_fact(fact.clone(), FactValue::Count(1), false);
    let passed = || fleet.node(1).fact(&fact) == Some(FactValue::Count(1));
    eventually("heartbeats go on", passed).await;
}

/// Guards against facts that a cut link keeps from an instance.
#[actix_rt::test]
async fn facts_travel_around_a_cut_link() {
    let fleet = TestFleet::start_configured(3).await;
    fleet.cut(0, 2, true);
    let fact = FactKey::VersionFault(
        "lunwan/fitdesk".parse().expect("valid"),
        "v2".parse().expect("valid"),
    );
    fleet
        .node(0)
        .publish_fact(fact.clone(), FactValue::Flag, true);
    eventually("the fact arrives", || fleet.node(2).fact(&fact).is_some()).await;
}

/// Guards against events of one instance that operators cannot see on another.
#[actix_rt::test]
async fn events_of_all_instances_are_merged() {
    let fleet = TestFleet::start_configured(3).await;
    fleet.node(2).record("noted", "here");
    let events = fleet.node(0).fleet_events(1000).await;
    assert!(events.iter().any(|event| event.kind == "change_accepted"));
    let noted = events.iter().find(|event| event.kind == "noted");
    assert_eq!(
        noted.map(|event| &event.origin),
        Some(&fleet.node(2).incarnation())
    );
    assert!(events.is_sorted_by_key(|event| event.stamp));
}

/// Traffic that control may cost per peer: 3 KB a second for a fan-out of six.
const PEER_BYTES_PER_SECOND: f64 = 500.0;

/// Guards against heartbeats that repeat what the peer has.
#[actix_rt::test]
async fn idle_heartbeats_stay_small() {
    let fleet = TestFleet::start_configured(3).await;
    let bytes = || -> f64 {
        let names = ["peer_bytes_sent_total", "peer_bytes_received_total"];
        let metrics = names.iter().filter_map(|name| fleet.node(0).metric(name));
        metrics.sum()
    };
    let issued = || fleet.node(0).metric("peer_bytes_sent_total") > Some(4000.0);
    eventually("the first generation is issued and spread", issued).await;
    let (before, start) = (bytes(), std::time::Instant::now());
    tokio::time::sleep(Duration::from_secs(6)).await;
    let rate = (bytes() - before) / start.elapsed().as_secs_f64();
    assert!(rate <= 2.0 * PEER_BYTES_PER_SECOND, "{rate} bytes a second");
}
