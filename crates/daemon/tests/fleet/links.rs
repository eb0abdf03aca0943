//! Proofs and withdrawals while links and the table fail.

use std::rc::Rc;
use std::time::Duration;

use tarragonpulley_policy::clock::ManualClock;
use tarragonpulley_policy::facts::{FactKey, FactValue};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use yare::parameterized;

use crate::harness::{CONTRACT, TestFleet, digest, wait_until};
use crate::platform::TableMode;

/// Longest time for a withdrawal to take effect on all instances, by guarantee 3.
const MAX_WITHDRAWAL_TIME: Duration = Duration::from_secs(3);

/// A link of a fleet of three.
#[derive(Debug, Clone, Copy)]
enum CutLink {
    Peers(usize, usize),
    Table(usize),
}

/// Guards against a withdrawn key that is still accepted behind a cut link.
#[parameterized(
    peers_0_1 = { CutLink::Peers(0, 1) },
    peers_0_2 = { CutLink::Peers(0, 2) },
    peers_1_2 = { CutLink::Peers(1, 2) },
    table_0 = { CutLink::Table(0) },
    table_1 = { CutLink::Table(1) },
    table_2 = { CutLink::Table(2) },
)]
#[test_macro(actix_rt::test)]
async fn withdrawn_key_is_rejected_everywhere(link: CutLink) {
    let fleet = TestFleet::start_configured(3).await;
    match link {
        CutLink::Peers(one, other) => fleet.cut(one, other, true),
        CutLink::Table(index) => fleet.instances[index]
            .table
            .mode
            .set(TableMode::Unresponsive),
    }
    let key = digest("key");
    for instance in &fleet.instances {
        assert!(!instance.node.rejects_key(&key), "the key works before");
    }
    let withdrawal = fleet.node(0).withdraw_key(key);
    let rejected_everywhere = wait_until("rejected on all instances", || {
        fleet.instances.iter().all(|i| i.node.rejects_key(&key))
    });
    let (_outcome, took) = tokio::join!(withdrawal, rejected_everywhere);
    assert!(took < MAX_WITHDRAWAL_TIME, "took {took:?}");
}

/// Guards against a fleet that stops serving during a table outage.
#[actix_rt::test]
async fn table_outage_keeps_proofs_by_attestation() {
    let fleet = TestFleet::start_configured(3).await;
    for instance in &fleet.instances {
        instance.table.mode.set(TableMode::Down);
    }
    // Three lifetimes of a proof, so that no proof by an own read of the table is left.
    let end = std::time::Instant::now() + Duration::from_millis(7500);
    while std::time::Instant::now() < end {
        for instance in &fleet.instances {
            assert!(instance.node.proof_age().is_some(), "a proof was lost");
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Guards against a new instance that serves before it has received the
/// withdrawals that are missing in the table.
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
    wait_until("replicated", || fleet.node(1).is_withdrawn(&key)).await;
    fleet.restart_last(2).await;
    while fleet.node(2).proof_age().is_none() {
        tokio::task::yield_now().await;
    }
    assert!(fleet.node(2).snapshot().keys.contains_key(&key));
    assert!(fleet.node(2).is_withdrawn(&key));
}

/// Guards against a failed instance that prevents proofs of the others while the
/// table is down, although it was removed from the list.
#[actix_rt::test]
async fn failed_instance_does_not_block_attestation() {
    let mut fleet = TestFleet::start_configured(3).await;
    fleet.kill_last();
    for instance in &fleet.instances {
        instance.table.mode.set(TableMode::Down);
    }
    let unproved = || fleet.instances.iter().all(|i| i.node.proof_age().is_none());
    wait_until("the attestation of a listed instance is required", unproved).await;
    fleet.delist(2);
    let proved = || fleet.instances.iter().all(|i| i.node.proof_age().is_some());
    wait_until("that of a removed instance is not", proved).await;
}

/// Guards against an instance that continues to serve without the table and all
/// peers, and against one that does not recover.
#[actix_rt::test]
async fn cut_instance_loses_its_proof_and_recovers() {
    let fleet = TestFleet::start_configured(3).await;
    let cut = |cut| {
        fleet.cut(0, 2, cut);
        fleet.cut(1, 2, cut);
        let mode = if cut {
            TableMode::Unresponsive
        } else {
            TableMode::Up
        };
        fleet.instances[2].table.mode.set(mode);
    };
    cut(true);
    let lost = wait_until("the proof is lost", || fleet.node(2).proof_age().is_none()).await;
    assert!(lost <= Duration::from_millis(2600), "lost after {lost:?}");
    assert!(
        fleet.node(0).proof_age().is_some(),
        "others keep their proofs"
    );
    cut(false);
    wait_until("the proof is back", || fleet.node(2).proof_age().is_some()).await;
    wait_until("links are back", || {
        fleet.node(2).reachable_peers().len() == 2
    })
    .await;
}

/// Guards against a paused process that uses an expired proof when it resumes,
/// before any of its tasks has run.
#[actix_rt::test]
async fn paused_instance_has_no_proof_on_resume() {
    let clock = Rc::new(ManualClock::new());
    let fleet = TestFleet::start_with(1, Rc::clone(&clock) as _).await;
    fleet.node(0).ready().await;
    clock.advance(Duration::from_millis(2500));
    assert_eq!(fleet.node(0).proof_age(), None);
    wait_until("a new proof", || fleet.node(0).proof_age().is_some()).await;
}

/// Guards against an instance that misses a newer revision while the table does
/// not respond to it, although a peer has the revision.
#[actix_rt::test]
async fn configuration_is_fetched_from_a_peer() {
    let fleet = TestFleet::start_configured(2).await;
    fleet.instances[1].table.mode.set(TableMode::Unresponsive);
    let text = CONTRACT.replace("60/s", "90/s");
    let revision = fleet
        .node(0)
        .put_contract(&text, None)
        .await
        .expect("accepted");
    let current = || fleet.node(1).snapshot().revision == revision;
    wait_until("fetched", current).await;
}

/// Guards against a listener that stops, or a peer connection that fails, when
/// another protocol is spoken on the peer port.
#[actix_rt::test]
async fn malformed_bytes_are_rejected_and_counted() {
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
    let (response, mut body) = client.send_request(request, false).expect("sent");
    body.send_data(vec![0xff; 1000].into(), true).expect("sent");
    let response = response.await.expect("a response");
    assert_eq!(response.status(), 400);
    let rejected = || fleet.node(1).metric("peer_messages_refused_total") >= Some(2.0);
    wait_until("both are counted", rejected).await;
    let fact = FactKey::CrashCount(7, fleet.node(0).incarnation());
    fleet
        .node(0)
        .publish_fact(fact.clone(), FactValue::Count(1), false);
    let replicated = || fleet.node(1).fact(&fact) == Some(FactValue::Count(1));
    wait_until("heartbeats continue", replicated).await;
}

/// Guards against facts that do not reach an instance because one link is cut.
#[actix_rt::test]
async fn facts_are_relayed_around_a_cut_link() {
    let fleet = TestFleet::start_configured(3).await;
    fleet.cut(0, 2, true);
    let fact = FactKey::VersionFault(
        "lunwan/fitdesk".parse().expect("valid"),
        "v2".parse().expect("valid"),
    );
    fleet
        .node(0)
        .publish_fact(fact.clone(), FactValue::Flag, true);
    wait_until("the fact arrives", || fleet.node(2).fact(&fact).is_some()).await;
}

/// Guards against events of one instance that the timeline of another lacks.
#[actix_rt::test]
async fn events_of_all_instances_are_merged() {
    let fleet = TestFleet::start_configured(3).await;
    fleet.node(2).record("noted", "here");
    let events = fleet.node(0).fleet_events(1000).await;
    assert!(events.iter().any(|event| event.kind == "change_accepted"));
    let recorded = events.iter().find(|event| event.kind == "noted");
    assert_eq!(
        recorded.map(|event| &event.origin),
        Some(&fleet.node(2).incarnation())
    );
    assert!(events.is_sorted_by_key(|event| event.stamp));
}

/// Maximum control traffic per peer: 3 KB a second for a fan-out of six.
const PEER_BYTES_PER_SECOND: f64 = 500.0;

/// Guards against heartbeats that resend what the peer has acknowledged.
#[actix_rt::test]
async fn idle_heartbeats_stay_small() {
    let fleet = TestFleet::start_configured(3).await;
    let bytes = || -> f64 {
        let names = ["peer_bytes_sent_total", "peer_bytes_received_total"];
        let metrics = names.iter().filter_map(|name| fleet.node(0).metric(name));
        metrics.sum()
    };
    let issued = || fleet.node(0).metric("peer_bytes_sent_total") > Some(4000.0);
    wait_until("the first generation is issued and replicated", issued).await;
    let (before, start) = (bytes(), std::time::Instant::now());
    tokio::time::sleep(Duration::from_secs(6)).await;
    let rate = (bytes() - before) / start.elapsed().as_secs_f64();
    assert!(rate <= 2.0 * PEER_BYTES_PER_SECOND, "{rate} bytes a second");
}
