//! Tests of the table client.

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
    CALL_TIMEOUT, TIMEOUT_MARGIN, TestPlatform, WAIT_TIMEOUT, block_on, kind, raw_response,
    respond_once,
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

/// Guards against reading rows outside a prefix or missing rows inside it, and
/// against conditions that use a revision other than that of the row.
#[test]
fn reads_a_prefix_and_replaces_a_row_at_its_revision() {
    block_on(async {
        let platform = TestPlatform::start().await;
        let table = HttpTableService::new(platform.url(), CALL_TIMEOUT);
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

/// Guards against a wrong commit outcome after a fault, and against calls that
/// exceed their timeout.
#[parameterized(
    rejected = { fault(ServiceMode::Refuse), "not applied: not executed", "not executed", false },
    closed = { fault(ServiceMode::Close), "unknown: no response", "no response", false },
    hanging = { fault(ServiceMode::Hang), "unknown: no response", "no response", false },
    response_lost_by_close = { lost(LoseMode::Close), "unknown: no response", "", true },
    response_lost_by_hang = { lost(LoseMode::Hang), "unknown: no response", "", true },
    slower_than_the_timeout = { slow(900), "unknown: no response", "no response", true },
)]
fn outcome_tells_whether_a_commit_may_have_been_applied(
    fault: ServiceFault,
    commit: &str,
    read: &str,
    applied: bool,
) {
    block_on(async {
        let platform = TestPlatform::start().await;
        let table = HttpTableService::new(platform.url(), CALL_TIMEOUT);
        set_fault(&platform, fault).await;

        let start = Instant::now();
        let outcome = table.commit(insert("claim/k", "nonce")).await;
        assert!(
            start.elapsed() < CALL_TIMEOUT + TIMEOUT_MARGIN,
            "{:?}",
            start.elapsed()
        );
        assert_eq!(outcome_name(&outcome), commit);

        let start = Instant::now();
        let result = table.read(RowKey::new("claim/")).await;
        assert!(
            start.elapsed() < CALL_TIMEOUT + TIMEOUT_MARGIN,
            "{:?}",
            start.elapsed()
        );
        assert_eq!(result.as_ref().err().map_or("", kind), read);

        set_fault(&platform, ServiceFault::default()).await;
        if applied {
            wait_until("the write takes effect", WAIT_TIMEOUT, async || {
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

/// Guards against reporting an error although the response arrives within the
/// timeout.
#[test]
fn waits_for_a_slow_response_within_the_timeout() {
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

/// Guards against an unknown outcome after a refused connection. The request was
/// certainly not sent.
#[test]
fn a_refused_connection_means_not_applied() {
    block_on(async {
        let platform = TestPlatform::start().await;
        let table = HttpTableService::new(platform.proxied_url(), CALL_TIMEOUT);
        let refuse = |refuse| LinkControl {
            refuse: Some(refuse),
            ..LinkControl::default()
        };
        platform.control_proxy(refuse(true)).await;
        wait_until("the proxy closes its port", WAIT_TIMEOUT, async || {
            tokio::net::TcpStream::connect(platform.proxied)
                .await
                .is_err()
        })
        .await
        .unwrap();
        let outcome = table.commit(insert("a", "1")).await;
        assert_eq!(outcome_name(&outcome), "not applied: not executed");
        platform.control_proxy(refuse(false)).await;
        wait_until("the proxy opens its port again", WAIT_TIMEOUT, async || {
            table.read(RowKey::new("")).await.is_ok()
        })
        .await
        .unwrap();
        assert!(rows(&table, "").await.is_empty());
    });
}

/// Guards against two clients that both succeed in inserting the same claim.
#[test]
fn exactly_one_of_concurrent_inserts_succeeds() {
    block_on(async {
        const RACES: usize = 20;
        let platform = TestPlatform::start().await;
        let tables: Vec<_> = (0..8)
            .map(|_| HttpTableService::new(platform.url(), WAIT_TIMEOUT))
            .collect();
        for race in 0..RACES {
            let key = format!("claim/{race}");
            let attempts = tables.iter().map(|table| table.commit(insert(&key, "n")));
            let outcomes = join_all(attempts).await;
            let committed = |o: &&CommitOutcome| matches!(o, CommitOutcome::Committed(_));
            assert_eq!(outcomes.iter().filter(committed).count(), 1, "{outcomes:?}");
            let conflicted = |o: &&CommitOutcome| **o == CommitOutcome::Conflict;
            assert_eq!(
                outcomes.iter().filter(conflicted).count(),
                7,
                "{outcomes:?}"
            );
        }
    });
}

/// Guards against an unknown outcome of a transaction that the service rejects
/// because it is too long or writes a row twice.
#[test]
fn an_invalid_transaction_is_not_applied() {
    block_on(async {
        let platform = TestPlatform::start().await;
        let table = HttpTableService::new(platform.url(), CALL_TIMEOUT);
        let put = |number: usize| RowChange::Put(RowKey::new(format!("r/{number}")), vec![1]);
        let batch = |numbers: Vec<usize>| TableTransaction {
            conditions: Vec::new(),
            changes: numbers.into_iter().map(put).collect(),
        };
        for rejected in [(0..=MAX_TRANSACTION_OPERATIONS).collect(), vec![7, 7]] {
            let outcome = table.commit(batch(rejected)).await;
            assert_eq!(outcome_name(&outcome), "not applied: not executed");
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

/// Guards against waiting on unresponsive connections forever, and against using
/// another unresponsive connection of the pool after each timeout.
#[test]
fn opens_a_new_connection_after_a_timeout_on_pooled_ones() {
    block_on(async {
        let platform = TestPlatform::start().await;
        let table = HttpTableService::new(platform.proxied_url(), CALL_TIMEOUT);
        set_fault(&platform, slow(50)).await;
        // Concurrent reads fill the pool with several connections.
        let reads = join_all((0..4).map(|_| table.read(RowKey::new("")))).await;
        assert!(reads.iter().all(Result::is_ok), "{reads:?}");
        set_fault(&platform, ServiceFault::default()).await;
        platform
            .control_proxy(LinkControl {
                freeze_existing: FreezeDirections {
                    to_target: false,
                    to_client: true,
                },
                ..LinkControl::default()
            })
            .await;
        let timed_out = table.read(RowKey::new("")).await;
        assert_eq!(timed_out.as_ref().err().map_or("", kind), "no response");
        let next = table.read(RowKey::new("")).await;
        assert!(next.is_ok(), "{next:?}");
    });
}

/// Guards against accepting an incomplete or invalid response as the rows of the
/// table or as a definite commit outcome. A revision is a string in this protocol.
#[parameterized(
    status_line_only = { "HTTP/1.1 200 OK\r\n".to_owned(), "invalid response" },
    not_http = { "not HTTP at all\r\n\r\n".to_owned(), "invalid response" },
    truncated = { raw_response("200 OK", 30, r#"{"header":{"revision":"7"}}"#), "no response" },
    other_json = { raw_response("200 OK", 0, "{}"), "invalid response" },
    number = { raw_response("200 OK", 0, r#"{"header":{"revision":7}}"#), "invalid response" },
    plain_error = { raw_response("502 Bad Gateway", 0, "oops"), "invalid response" },
    timed_out = {
        raw_response("503 Service Unavailable", 0,
            r#"{"code":14,"message":"etcdserver: request timed out"}"#),
        "no response"
    },
)]
fn an_invalid_response_leaves_the_outcome_unknown(response: String, expected: &str) {
    block_on(async {
        let table = HttpTableService::new(respond_once(response.clone()).await, CALL_TIMEOUT);
        let outcome = table.commit(insert("a", "1")).await;
        assert_eq!(outcome_name(&outcome), format!("unknown: {expected}"));
        let table = HttpTableService::new(respond_once(response).await, CALL_TIMEOUT);
        let result = table.read(RowKey::new("")).await;
        assert_eq!(result.as_ref().err().map_or("", kind), expected);
    });
}

/// Guards against sending a transaction a second time, to the target of a
/// redirect.
#[test]
fn a_redirect_is_not_followed() {
    block_on(async {
        let applied = r#"{"header":{"revision":"7"},"succeeded":true}"#;
        let elsewhere = respond_once(raw_response("200 OK", 0, applied)).await;
        let redirect = format!(
            "HTTP/1.1 307 Temporary Redirect\r\nlocation: {elsewhere}/\r\ncontent-length: 0\r\n\r\n"
        );
        let table = HttpTableService::new(respond_once(redirect).await, CALL_TIMEOUT);
        let outcome = table.commit(insert("a", "1")).await;
        assert_eq!(outcome_name(&outcome), "unknown: invalid response");
    });
}
