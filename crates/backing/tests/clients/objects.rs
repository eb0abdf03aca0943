//! The object store client.

use bytes::Bytes;
use tarragonpulley_backing::{HttpObjectStore, ObjectKey, ObjectStore};
use tarragonpulley_testkit::{LoseMode, PlatformControl, ServiceFault, ServiceMode};
use yare::parameterized;

use crate::common::{DEADLINE, PATIENCE, TestPlatform, answer_once, block_on, kind, raw_answer};

fn key() -> ObjectKey {
    ObjectKey::new("jobs/1f/body")
}

/// Guards against objects that come back changed, and against a missing object
/// that is reported as a failure or the reverse.
#[test]
fn writes_reads_and_deletes() {
    block_on(async {
        let platform = TestPlatform::start().await;
        let objects = HttpObjectStore::new(platform.url(), PATIENCE);
        assert_eq!(objects.get(key()).await, Ok(None));
        let large: Bytes = (0..3_000_000_u32).map(|n| (n % 251) as u8).collect();
        for body in [Bytes::from_static(b"first"), Bytes::new(), large] {
            assert_eq!(objects.put(key(), body.clone()).await, Ok(()));
            assert_eq!(objects.get(key()).await, Ok(Some(body)));
        }
        let odd = ObjectKey::new("jobs/a b?c#d/50%");
        assert_eq!(
            objects.put(odd.clone(), Bytes::from_static(b"odd")).await,
            Ok(())
        );
        let read = objects.get(odd).await;
        assert_eq!(read, Ok(Some(Bytes::from_static(b"odd"))));
        assert_eq!(objects.delete(key()).await, Ok(()));
        assert_eq!(objects.delete(key()).await, Ok(()));
        assert_eq!(objects.get(key()).await, Ok(None));
    });
}

/// Guards against a write that is reported as without effect although it may
/// have had one.
#[parameterized(
    refused = { ServiceMode::Refuse, 0, "not reached", false },
    closed = { ServiceMode::Close, 0, "no answer", false },
    hanging = { ServiceMode::Hang, 0, "no answer", false },
    answer_lost = { ServiceMode::Up, 1, "no answer", true },
)]
fn tells_what_a_fault_says_about_a_write(
    mode: ServiceMode,
    lose_writes: u64,
    expected: &str,
    applied: bool,
) {
    block_on(async {
        let platform = TestPlatform::start().await;
        let objects = HttpObjectStore::new(platform.url(), DEADLINE);
        let set = |mode, lose_writes| PlatformControl {
            objects: Some(ServiceFault {
                mode,
                lose_writes,
                lose_mode: LoseMode::Hang,
                ..ServiceFault::default()
            }),
            ..PlatformControl::default()
        };
        platform.control(set(mode, lose_writes)).await;
        let result = objects.put(key(), Bytes::from_static(b"x")).await;
        assert_eq!(result.as_ref().err().map_or("", kind), expected);
        platform.control(set(ServiceMode::Up, 0)).await;
        let object = objects.get(key()).await.unwrap();
        assert_eq!(object.is_some(), applied);
    });
}

/// Guards against half an object that is delivered as the whole, and against a
/// missing bucket that is taken for a missing object.
#[parameterized(
    truncated = { raw_answer("200 OK", 6, "half"), "no answer" },
    unmeasured = { "HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nhalf".to_owned(), "invalid answer" },
    no_bucket = { raw_answer("404 Not Found", 0, "<Code>NoSuchBucket</Code>"), "not reached" },
    server_error = { raw_answer("500 Oops", 0, ""), "no answer" },
)]
fn a_broken_answer_is_no_object(answer: String, expected: &str) {
    block_on(async {
        let objects = HttpObjectStore::new(answer_once(answer).await, DEADLINE);
        let result = objects.get(key()).await;
        assert_eq!(result.as_ref().err().map_or("", kind), expected);
    });
}
