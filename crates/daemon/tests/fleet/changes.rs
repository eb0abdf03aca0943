//! Changes of the configuration.

use std::time::{Duration, UNIX_EPOCH};

use tarragonpulley_policy::snapshot::{MoveKind, MoveRecord};
use tarragonpulley_policy::units::{ConfigRevision, TrafficShare};
use yare::parameterized;

use crate::harness::{CONTRACT, TestFleet, digest, team, wait_until};
use crate::platform::TableMode;

/// Guards against a change that took effect but is reported as failed, and against
/// one that is applied twice, when a response or a write is lost.
#[parameterized(
    response = { TableMode::LoseResponses(1) },
    write = { TableMode::LoseWrites(1) },
    responses = { TableMode::LoseResponses(3) },
)]
#[test_macro(actix_rt::test)]
async fn outcome_of_a_lost_response_is_read_back(mode: TableMode) {
    let fleet = TestFleet::start_configured(1).await;
    let before = fleet.node(0).snapshot().revision;
    fleet.instances[0].table.mode.set(mode);
    let outcome = fleet.node(0).grant_key(digest("second"), team()).await;
    assert_eq!(outcome, Ok(before.next()));
    let granted = || {
        fleet
            .node(0)
            .snapshot()
            .keys
            .contains_key(&digest("second"))
    };
    wait_until("the change is applied", granted).await;
    assert_eq!(fleet.node(0).snapshot().revision, before.next());
}

/// Guards against two concurrent changes from one base that are both accepted.
#[actix_rt::test]
async fn racing_operators_have_one_winner() {
    let fleet = TestFleet::start_configured(2).await;
    let base = Some(fleet.node(0).snapshot().revision);
    let (one, other) = (
        CONTRACT.replace("60/s", "70/s"),
        CONTRACT.replace("60/s", "80/s"),
    );
    let (first, second) = tokio::join!(
        fleet.node(0).put_contract(&one, base),
        fleet.node(1).put_contract(&other, base),
    );
    let (won, lost) = match (first, second) {
        (Ok(won), Err(lost)) | (Err(lost), Ok(won)) => (won, lost),
        both => panic!("not one winner: {both:?}"),
    };
    assert_eq!(lost, format!("Conflict({won:?})"));
}

/// Guards against a change that is lost because an unrelated one was committed
/// first.
#[actix_rt::test]
async fn unrelated_changes_are_both_accepted() {
    let fleet = TestFleet::start_configured(2).await;
    let (first, second) = tokio::join!(
        fleet.node(0).grant_key(digest("one"), team()),
        fleet.node(1).grant_key(digest("two"), team()),
    );
    assert_ne!(first.expect("accepted"), second.expect("accepted"));
    for instance in &fleet.instances {
        let both = || {
            let snapshot = instance.node.snapshot();
            ["one", "two"]
                .iter()
                .all(|key| snapshot.keys.contains_key(&digest(key)))
        };
        wait_until("both keys are granted", both).await;
    }
}

fn record(epoch: u64) -> MoveRecord {
    MoveRecord {
        kind: MoveKind::Rollout {
            service: "lunwan/fitdesk".parse().expect("valid"),
            from: "v1".parse().expect("valid"),
            to: "v2".parse().expect("valid"),
        },
        state: "planned".to_owned(),
        share: TrafficShare::NONE,
        cap: TrafficShare::from_percent(5),
        deadline: UNIX_EPOCH + Duration::from_secs(9),
        step_started: UNIX_EPOCH,
        epoch,
        reason: String::new(),
    }
}

/// Guards against a move driver that overwrites a later step after a pause.
#[actix_rt::test]
async fn move_with_an_old_epoch_conflicts() {
    let fleet = TestFleet::start_configured(1).await;
    let name = || "to-v2".parse().expect("valid");
    let node = fleet.node(0);
    node.put_move(name(), 0, record(1)).await.expect("created");
    node.put_move(name(), 1, record(2)).await.expect("replaced");
    let old = node.put_move(name(), 1, record(2)).await.expect_err("old");
    assert!(old.starts_with("Conflict"), "{old}");
    assert_eq!(node.snapshot().moves[&name()], record(2));
}

/// Guards against an invalid contract that is accepted, and against a withdrawn key
/// that is granted again.
#[actix_rt::test]
async fn invalid_changes_are_rejected() {
    let fleet = TestFleet::start_configured(1).await;
    let node = fleet.node(0);
    let before = node.snapshot().revision;
    let text = CONTRACT.replace("60/s", "0/s");
    let rejected = node
        .put_contract(&text, None)
        .await
        .expect_err("a violation");
    assert!(
        rejected.starts_with("Refused") && rejected.contains("rate"),
        "{rejected}"
    );
    let unknown_team = "lunwan/nobody".parse().expect("valid");
    let rejected = node
        .grant_key(digest("new"), unknown_team)
        .await
        .expect_err("no team");
    assert!(rejected.starts_with("Refused"), "{rejected}");
    assert_eq!(node.snapshot().revision, before);
    node.withdraw_key(digest("key")).await.expect("accepted");
    let rejected = node
        .grant_key(digest("key"), team())
        .await
        .expect_err("withdrawn");
    assert!(rejected.starts_with("Refused"), "{rejected}");
}

/// Guards against a withdrawal that has no effect while the table is down, and
/// against one that is not stored when the table is up again.
#[actix_rt::test]
async fn withdrawal_is_replicated_without_the_table() {
    let fleet = TestFleet::start_configured(2).await;
    for instance in &fleet.instances {
        instance.table.mode.set(TableMode::Down);
    }
    let outcome = fleet.node(0).withdraw_key(digest("key")).await;
    assert!(outcome.expect_err("not stored").starts_with("Unavailable"));
    assert!(fleet.node(0).is_withdrawn(&digest("key")));
    wait_until("replicated", || fleet.node(1).is_withdrawn(&digest("key"))).await;
    for instance in &fleet.instances {
        instance.table.mode.set(TableMode::Up);
    }
    let key = format!("config/key/{}", digest("key"));
    let stored = || {
        let row = fleet.table.row(&key).expect("granted");
        String::from_utf8_lossy(&row).contains("\"withdrawn\":true")
    };
    wait_until("stored", stored).await;
}

/// Guards against an instance that returns to an older configuration.
#[actix_rt::test]
async fn revision_never_goes_back() {
    let fleet = TestFleet::start_configured(1).await;
    let before = fleet.node(0).snapshot();
    fleet.table.put("config/head", br#"{"revision":1}"#);
    let reads = || {
        fleet
            .node(0)
            .metric("table_reads_total")
            .unwrap_or_default()
    };
    let earlier = reads();
    wait_until("the older table is read", || reads() >= earlier + 3.0).await;
    assert_eq!(fleet.node(0).snapshot(), before);
}

/// Guards against a customer that loses its service because a row is damaged.
#[actix_rt::test]
async fn damaged_row_keeps_its_last_good_value() {
    let fleet = TestFleet::start_configured(1).await;
    let before = fleet.node(0).snapshot();
    let next = ConfigRevision::new(before.revision.get() + 1);
    fleet
        .table
        .put("config/contract/lunwan", b"{\"file\":\"x\",\"text\":\"?\"}");
    let head = format!("{{\"revision\":{}}}", next.get());
    fleet.table.put("config/head", head.as_bytes());
    wait_until("the revision is adopted", || {
        fleet.node(0).snapshot().revision == next
    })
    .await;
    assert_eq!(fleet.node(0).snapshot().contracts, before.contracts);
    wait_until("the error is counted", || {
        fleet.node(0).metric("config_row_faults") == Some(1.0)
    })
    .await;
}
