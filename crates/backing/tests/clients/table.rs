//! The table client.

use std::time::{Duration, Instant};

use futures_util::future::join_all;
use tarragonpulley_backing::{
    CommitOutcome, HttpTableService, MAX_TRANSACTION_OPERATIONS, RowChange, RowCondition, RowKey,
    TableService, TableTransaction,
};
use tarragonpulley_testkit::{
    FreezeDirections, LinkControl, LoseMode, PlatformControl, ServiceFault, ServiceMode, wait_until,
};
use yare::parameterized;

use crate::common::{
    DEADLINE, MARGIN, PATIENCE, TestPlatform, answer_once, block_on, kind, raw_answer,
};

fn insert(key: &str, value: &str) -> TableTransaction {
    TableTransaction {
        conditions: vec![RowCondition::Absent(RowKey::new(key))],
        changes: vec![RowChange::Put(RowKey::new(key), value.into())],
    }
}

fn outcome_name(outcome: &CommitOutcome) -> String {
    match outcome {
        CommitOutcome::Committed(_) => "committed".to_owned(),
        CommitOutcome::Conflict => "conflict".to_owned(),
        CommitOutcome::NotApplied(error) => format!("not applied: {}", kind(error)),
        CommitOutcome::Unknown(error) => format!("unknown: {}", kind(error)),
    }
}

async fn rows(table: &HttpTableService, prefix: &str) -> Vec<String> {
    let snapshot = table.read(RowKey::new(prefix)).await.unwrap();
    snapshot.rows.keys().map(ToString::to_string).collect()
}

async fn set_fault(platform: &TestPlatform, fault: ServiceFault) {
    platform
        .control(PlatformControl {
            table: Some(fault),
            ..PlatformControl::default()
        })
        .await;
}

/// Guards against a prefix that reads too much or too little, and against
/// revisions that do not come from the row.
#[test]
fn reads_a_prefix_and_replaces_a_row_at_its_revision() {
    block_on(async {
        let platform = TestPlatform::start().await;
        let table = HttpTableService::new(platform.url(), DEADLINE);
        for key in ["config", "config/a", "config/b", "config0"] {
            let outcome = table.commit(insert(key, "1")).await;
            assert!(
                matches!(outcome, CommitOutcome::Committed(_)),
                "{outcome:?}"
            );
        }
        assert_eq!(rows(&table, "config/").await, ["config/a", "config/b"]);
        assert_eq!(rows(&table, "").await.len(), 4);
        assert!(rows(&table, "none/").await.is_empty());

        let snapshot = table.read(RowKey::new("config/")).await.unwrap();
        let seen = snapshot.rows[&RowKey::new("config/a")].modified;
        let replace = TableTransaction {
            conditions: vec![RowCondition::Unchanged(RowKey::new("config/a"), seen)],
            changes: vec![
                RowChange::Put(RowKey::new("config/a"), vec![0, 255, 10]),
                RowChange::Delete(RowKey::new("config/b")),
            ],
        };
        let CommitOutcome::Committed(revision) = table.commit(replace.clone()).await else {
            panic!("the row was unchanged");
        };
        assert_eq!(table.commit(replace).await, CommitOutcome::Conflict);

        let snapshot = table.read(RowKey::new("config/")).await.unwrap();
        assert_eq!(snapshot.revision, revision);
        assert_eq!(snapshot.rows.len(), 1);
        let row = &snapshot.rows[&RowKey::new("config/a")];
        assert_eq!(
            (row.value.as_slice(), row.modified),
            (&[0, 255, 10][..], revision)
        );
    });
}

/// Guards against a commit that is taken for not applied although it was, or
/// the reverse, and against calls that outlive their deadline.
#[parameterized(
    refused = { fault(ServiceMode::Refuse), "not applied: not reached", "not reached", false },
    closed = { fault(ServiceMode::Close), "unknown: no answer", "no answer", false },
    hanging = { fault(ServiceMode::Hang), "unknown: no answer", "no answer", false },
    answer_lost_by_close = { lost(LoseMode::Close), "unknown: no answer", "", true },
    answer_lost_by_silence = { lost(LoseMode::Hang), "unknown: no answer", "", true },
    slower_than_the_deadline = { slow(900), "unknown: no answer", "no answer", true },
)]
fn tells_what_a_fault_says_about_a_commit(
    fault: ServiceFault,
    commit: &str,
    read: &str,
    applied: bool,
) {
    block_on(async {
        let platform = TestPlatform::start().await;
        let table = HttpTableService::new(platform.url(), DEADLINE);
        set_fault(&platform, fault).await;

        let start = Instant::now();
        let outcome = table.commit(insert("claim/k", "nonce")).await;
        assert!(start.elapsed() < DEADLINE + MARGIN, "{:?}", start.elapsed());
        assert_eq!(outcome_name(&outcome), commit);

        let start = Instant::now();
        let result = table.read(RowKey::new("claim/")).await;
        assert!(start.elapsed() < DEADLINE + MARGIN, "{:?}", start.elapsed());
        assert_eq!(result.as_ref().err().map_or("", kind), read);

        set_fault(&platform, ServiceFault::default()).await;
        if applied {
            wait_until("the write takes effect", PATIENCE, async || {
                rows(&table, "claim/").await == ["claim/k"]
            })
            .await
            .unwrap();
        } else {
            assert!(rows(&table, "claim/").await.is_empty());
        }
    });
}

fn fault(mode: ServiceMode) -> ServiceFault {
    ServiceFault {
        mode,
        ..ServiceFault::default()
    }
}

fn lost(lose_mode: LoseMode) -> ServiceFault {
    ServiceFault {
        lose_writes: 1,
        lose_mode,
        ..ServiceFault::default()
    }
}

fn slow(slow_ms: u64) -> ServiceFault {
    ServiceFault {
        slow_ms,
        ..ServiceFault::default()
    }
}

/// Guards against a delay below the deadline that is reported as a failure.
#[test]
fn waits_for_a_slow_answer_within_the_deadline() {
    block_on(async {
        let platform = TestPlatform::start().await;
        let table = HttpTableService::new(platform.url(), Duration::from_secs(5));
        set_fault(&platform, slow(150)).await;
        let outcome = table.commit(insert("a", "1")).await;
        assert!(
            matches!(outcome, CommitOutcome::Committed(_)),
            "{outcome:?}"
        );
    });
}

/// Guards against a refused connection that leaves a booking in doubt.
#[test]
fn a_refused_connection_means_not_applied() {
    block_on(async {
        let platform = TestPlatform::start().await;
        let table = HttpTableService::new(platform.linked_url(), DEADLINE);
        let refuse = |refuse| LinkControl {
            refuse: Some(refuse),
            ..LinkControl::default()
        };
        platform.control_link(refuse(true)).await;
        wait_until("the port is given up", PATIENCE, async || {
            tokio::net::TcpStream::connect(platform.linked)
                .await
                .is_err()
        })
        .await
        .unwrap();
        let outcome = table.commit(insert("a", "1")).await;
        assert_eq!(outcome_name(&outcome), "not applied: not reached");
        platform.control_link(refuse(false)).await;
        wait_until("the port is open again", PATIENCE, async || {
            table.read(RowKey::new("")).await.is_ok()
        })
        .await
        .unwrap();
        assert!(rows(&table, "").await.is_empty());
    });
}

/// Guards against two holders of one claim.
#[test]
fn racing_inserts_have_one_winner() {
    block_on(async {
        const RACES: usize = 20;
        let platform = TestPlatform::start().await;
        let tables: Vec<_> = (0..8)
            .map(|_| HttpTableService::new(platform.url(), PATIENCE))
            .collect();
        for race in 0..RACES {
            let key = format!("claim/{race}");
            let attempts = tables.iter().map(|table| table.commit(insert(&key, "n")));
            let outcomes = join_all(attempts).await;
            let won = |o: &&CommitOutcome| matches!(o, CommitOutcome::Committed(_));
            assert_eq!(outcomes.iter().filter(won).count(), 1, "{outcomes:?}");
            let lost = |o: &&CommitOutcome| **o == CommitOutcome::Conflict;
            assert_eq!(outcomes.iter().filter(lost).count(), 7, "{outcomes:?}");
        }
    });
}

/// Guards against a batch of claims that is in doubt although the service
/// refuses its size or form.
#[test]
fn a_transaction_outside_the_limits_is_not_applied() {
    block_on(async {
        let platform = TestPlatform::start().await;
        let table = HttpTableService::new(platform.url(), DEADLINE);
        let put = |number: usize| RowChange::Put(RowKey::new(format!("r/{number}")), vec![1]);
        let batch = |numbers: Vec<usize>| TableTransaction {
            conditions: Vec::new(),
            changes: numbers.into_iter().map(put).collect(),
        };
        for refused in [(0..=MAX_TRANSACTION_OPERATIONS).collect(), vec![7, 7]] {
            let outcome = table.commit(batch(refused)).await;
            assert_eq!(outcome_name(&outcome), "not applied: not reached");
        }
        let outcome = table
            .commit(batch((0..MAX_TRANSACTION_OPERATIONS).collect()))
            .await;
        assert!(
            matches!(outcome, CommitOutcome::Committed(_)),
            "{outcome:?}"
        );
    });
}

/// Guards against a client that waits on silent connections for ever, and
/// against one that takes the next silent connection of its pool after each
/// time-out.
#[test]
fn opens_a_new_connection_when_the_old_ones_are_silent() {
    block_on(async {
        let platform = TestPlatform::start().await;
        let table = HttpTableService::new(platform.linked_url(), DEADLINE);
        set_fault(&platform, slow(50)).await;
        // Reads at the same time fill the pool with several connections.
        let reads = join_all((0..4).map(|_| table.read(RowKey::new("")))).await;
        assert!(reads.iter().all(Result::is_ok), "{reads:?}");
        set_fault(&platform, ServiceFault::default()).await;
        platform
            .control_link(LinkControl {
                freeze_existing: FreezeDirections {
                    to_target: false,
                    to_client: true,
                },
                ..LinkControl::default()
            })
            .await;
        let silent = table.read(RowKey::new("")).await;
        assert_eq!(silent.as_ref().err().map_or("", kind), "no answer");
        let next = table.read(RowKey::new("")).await;
        assert!(next.is_ok(), "{next:?}");
    });
}

/// Guards against a broken answer that is taken for the whole table, or for
/// the end of a transaction. A revision is a string in this protocol.
#[parameterized(
    head_only = { "HTTP/1.1 200 OK\r\n".to_owned(), "invalid answer" },
    no_http = { "not HTTP at all\r\n\r\n".to_owned(), "invalid answer" },
    truncated = { raw_answer("200 OK", 30, r#"{"header":{"revision":"7"}}"#), "no answer" },
    other_json = { raw_answer("200 OK", 0, "{}"), "invalid answer" },
    number = { raw_answer("200 OK", 0, r#"{"header":{"revision":7}}"#), "invalid answer" },
    plain_error = { raw_answer("502 Bad Gateway", 0, "oops"), "invalid answer" },
    time_out = {
        raw_answer("503 Service Unavailable", 0,
            r#"{"code":14,"message":"etcdserver: request timed out"}"#),
        "no answer"
    },
)]
fn a_broken_answer_leaves_a_commit_in_doubt(answer: String, expected: &str) {
    block_on(async {
        let table = HttpTableService::new(answer_once(answer.clone()).await, DEADLINE);
        let outcome = table.commit(insert("a", "1")).await;
        assert_eq!(outcome_name(&outcome), format!("unknown: {expected}"));
        let table = HttpTableService::new(answer_once(answer).await, DEADLINE);
        let result = table.read(RowKey::new("")).await;
        assert_eq!(result.as_ref().err().map_or("", kind), expected);
    });
}

/// Guards against a transaction that is sent a second time, elsewhere.
#[test]
fn a_redirect_is_not_followed() {
    block_on(async {
        let applied = r#"{"header":{"revision":"7"},"succeeded":true}"#;
        let elsewhere = answer_once(raw_answer("200 OK", 0, applied)).await;
        let redirect = format!(
            "HTTP/1.1 307 Temporary Redirect\r\nlocation: {elsewhere}/\r\ncontent-length: 0\r\n\r\n"
        );
        let table = HttpTableService::new(answer_once(redirect).await, DEADLINE);
        let outcome = table.commit(insert("a", "1")).await;
        assert_eq!(outcome_name(&outcome), "unknown: invalid answer");
    });
}
