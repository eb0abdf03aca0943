//! Tests of the object store client.

use bytes::Bytes;
use tarragonpulley_backing::{HttpObjectStore, ObjectKey, ObjectStore};
use tarragonpulley_testkit::{LoseMode, PlatformControl, ServiceFault, ServiceMode};
use yare::parameterized;

use crate::common::{
    CALL_TIMEOUT, TestPlatform, WAIT_TIMEOUT, block_on, kind, raw_response, respond_once,
};

fn key() -> ObjectKey {
    ObjectKey::new("jobs/1f/body")
}

/// Guards against corrupted objects, against reporting a missing object as an
/// error, and against the reverse.
#[test]
fn writes_reads_and_deletes() {
    block_on(async {
        let platform = TestPlatform::start().await;
        let objects = HttpObjectStore::new(platform.url(), WAIT_TIMEOUT);
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

/// Guards against reporting that a write had no effect although it may have been
/// applied.
#[parameterized(
    rejected = { ServiceMode::Refuse, 0, "not executed", false },
    closed = { ServiceMode::Close, 0, "no response", false },
    hanging = { ServiceMode::Hang, 0, "no response", false },
    response_lost = { ServiceMode::Up, 1, "no response", true },
)]
fn errors_tell_whether_a_write_may_have_been_applied(
    mode: ServiceMode,
    lose_writes: u64,
    expected: &str,
    applied: bool,
) {
    block_on(async {
        let platform = TestPlatform::start().await;
        let objects = HttpObjectStore::new(platform.url(), CALL_TIMEOUT);
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

/// Guards against returning a truncated object, and against reporting a missing
/// bucket as a missing object.
#[parameterized(
    truncated = { raw_response("200 OK", 6, "half"), "no response" },
    no_content_length = { "HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nhalf".to_owned(), "invalid response" },
    no_bucket = { raw_response("404 Not Found", 0, "<Code>NoSuchBucket</Code>"), "not executed" },
    server_error = { raw_response("500 Oops", 0, ""), "no response" },
)]
fn an_incomplete_or_error_response_is_not_an_object(response: String, expected: &str) {
    block_on(async {
        let objects = HttpObjectStore::new(respond_once(response).await, CALL_TIMEOUT);
        let result = objects.get(key()).await;
        assert_eq!(result.as_ref().err().map_or("", kind), expected);
    });
}
