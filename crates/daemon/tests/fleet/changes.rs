//! Changes of the configuration.

use std::time::{Duration, UNIX_EPOCH};

use tarragonpulley_policy::snapshot::{MoveKind, MoveRecord};
use tarragonpulley_policy::units::{ConfigRevision, TrafficShare};
use yare::parameterized;

use crate::harness::{CONTRACT, TestFleet, digest, eventually, team};
use crate::platform::TableMode;

/// Guards against a change that took effect but is reported as failed, and one
/// that is applied twice, when an answer or a write is lost.
#[parameterized(
    answer = { TableMode::LoseAnswers(1) },
    write = { TableMode::LoseWrites(1) },
    answers = { TableMode::LoseAnswers(3) },
)]
#[test_macro(actix_rt::test)]
async fn lost_answer_is_read_back(mode: TableMode) {
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
    eventually("the change is in force", granted).await;
    assert_eq!(fleet.node(0).snapshot().revision, before.next());
}

/// Guards against two operators who both believe that their contract is in
/// force.
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

/// Guards against a change that is lost because another, unrelated one came
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
        eventually("both keys are granted", both).await;
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

/// Guards against a paused driver of a move that overwrites a later step.
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

/// Guards against a contract with mistakes, and a key that comes back after it
/// was withdrawn.
#[actix_rt::test]
async fn invalid_changes_are_refused() {
    let fleet = TestFleet::start_configured(1).await;
    let node = fleet.node(0);
    let before = node.snapshot().revision;
    let text = CONTRACT.replace("60/s", "0/s");
    let refused = node.put_contract(&text, None).await.expect_err("a mistake");
    assert!(
        refused.starts_with("Refused") && refused.contains("rate"),
        "{refused}"
    );
    let stranger = "lunwan/nobody".parse().expect("valid");
    let refused = node
        .grant_key(digest("new"), stranger)
        .await
        .expect_err("no team");
    assert!(refused.starts_with("Refused"), "{refused}");
    assert_eq!(node.snapshot().revision, before);
    node.withdraw_key(digest("key")).await.expect("accepted");
    let refused = node
        .grant_key(digest("key"), team())
        .await
        .expect_err("withdrawn");
    assert!(refused.starts_with("Refused"), "{refused}");
}

/// Guards against a withdrawal that is ignored because the table is down, and
/// one that is forgotten when the table is back.
#[actix_rt::test]
async fn withdrawal_is_passed_on_without_the_table() {
    let fleet = TestFleet::start_configured(2).await;
    for instance in &fleet.instances {
        instance.table.mode.set(TableMode::Down);
    }
    let outcome = fleet.node(0).withdraw_key(digest("key")).await;
    assert!(outcome.expect_err("not stored").starts_with("Unavailable"));
    assert!(fleet.node(0).is_withdrawn(&digest("key")));
    eventually("passed on", || fleet.node(1).is_withdrawn(&digest("key"))).await;
    for instance in &fleet.instances {
        instance.table.mode.set(TableMode::Up);
    }
    let key = format!("config/key/{}", digest("key"));
    let stored = || {
        let row = fleet.table.row(&key).expect("granted");
        String::from_utf8_lossy(&row).contains("\"withdrawn\":true")
    };
    eventually("stored", stored).await;
}

/// Guards against an instance that goes back to an older configuration.
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
    eventually("the older table is read", || reads() >= earlier + 3.0).await;
    assert_eq!(fleet.node(0).snapshot(), before);
}

/// Guards against one damaged row that takes a customer out of service.
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
    eventually("the revision is adopted", || {
        fleet.node(0).snapshot().revision == next
    })
    .await;
    assert_eq!(fleet.node(0).snapshot().contracts, before.contracts);
    eventually("the fault shows", || {
        fleet.node(0).metric("config_row_faults") == Some(1.0)
    })
    .await;
}
