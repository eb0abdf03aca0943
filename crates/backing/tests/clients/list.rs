//! Tests of the instance list client.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use tarragonpulley_backing::{HttpInstanceList, InstanceList, ListedState};
use tarragonpulley_testkit::{
    CatalogRecord, PlatformControl, ServiceFault, ServiceMode, wait_until,
};
use yare::parameterized;

use crate::common::{CALL_TIMEOUT, TestPlatform, WAIT_TIMEOUT, block_on, kind};

fn record(id: &str, state: &str) -> CatalogRecord {
    let meta = [
        ("data_centre", "north-1"),
        ("peer_address", "10.0.0.1:7"),
        ("state", state),
    ];
    CatalogRecord {
        id: id.to_owned(),
        address: [10, 0, 0, 1].into(),
        port: 80,
        meta: meta.map(|(k, v)| (k.to_owned(), v.to_owned())).into(),
    }
}

fn register(id: &str, state: &str) -> PlatformControl {
    PlatformControl {
        register: Some(record(id, state)),
        ..PlatformControl::default()
    }
}

/// Guards against missing instances and wrong instance states.
#[test]
fn reads_live_and_leaving_instances() {
    block_on(async {
        let platform = TestPlatform::start().await;
        let list = HttpInstanceList::new(platform.url(), CALL_TIMEOUT);
        assert_eq!(list.read().await, Ok(Vec::new()));
        platform.control(register("i1", "live")).await;
        platform.control(register("i2", "live")).await;
        platform.control(register("i2", "leaving")).await;
        let instances = list.read().await.unwrap();
        let states: Vec<_> = instances.iter().map(|i| i.state).collect();
        assert_eq!(states, [ListedState::Live, ListedState::Leaving]);
        assert_eq!(instances[0].instance.as_str(), "i1");
        assert_eq!(instances[0].centre.as_str(), "north-1");
        assert_eq!(instances[0].service_address, "10.0.0.1:80".parse().unwrap());
        assert_eq!(instances[0].peer_address, "10.0.0.1:7".parse().unwrap());
        let deregister = PlatformControl {
            deregister: Some("i1".to_owned()),
            ..PlatformControl::default()
        };
        platform.control(deregister).await;
        assert_eq!(list.read().await.unwrap().len(), 1);
    });
}

/// Guards against a stand-in list that ignores its configured lag and shows
/// changes immediately.
#[test]
fn changes_are_listed_after_the_lag() {
    const LAG: Duration = Duration::from_millis(300);
    block_on(async {
        let platform = TestPlatform::start().await;
        let list = HttpInstanceList::new(platform.url(), WAIT_TIMEOUT);
        let start = Instant::now();
        platform
            .control(PlatformControl {
                list_lag_ms: Some(300),
                ..register("i1", "live")
            })
            .await;
        wait_until("the instance is listed", WAIT_TIMEOUT, async || {
            list.read().await.unwrap().len() == 1
        })
        .await
        .unwrap();
        assert!(start.elapsed() >= LAG, "{:?}", start.elapsed());
    });
}

/// Guards against treating instances as removed because an entry is invalid or
/// the list is unavailable.
#[parameterized(
    invalid_entry = { Some(record("i2", "unheard-of")), ServiceMode::Up, WAIT_TIMEOUT, "invalid response" },
    too_long = { Some(long_record()), ServiceMode::Up, WAIT_TIMEOUT, "invalid response" },
    rejected = { None, ServiceMode::Refuse, CALL_TIMEOUT, "no response" },
    closed = { None, ServiceMode::Close, CALL_TIMEOUT, "no response" },
    hanging = { None, ServiceMode::Hang, CALL_TIMEOUT, "no response" },
)]
fn a_fault_is_an_error_and_not_a_shorter_list(
    entry: Option<CatalogRecord>,
    mode: ServiceMode,
    timeout: Duration,
    expected: &str,
) {
    block_on(async {
        let platform = TestPlatform::start().await;
        let list = HttpInstanceList::new(platform.url(), timeout);
        platform.control(register("i1", "live")).await;
        platform
            .control(PlatformControl {
                register: entry,
                list: Some(ServiceFault {
                    mode,
                    ..ServiceFault::default()
                }),
                ..PlatformControl::default()
            })
            .await;
        let result = list.read().await;
        assert_eq!(result.as_ref().err().map_or("", kind), expected);
    });
}

fn long_record() -> CatalogRecord {
    let mut long = record("i2", "live");
    long.meta.insert("note".to_owned(), "x".repeat(5_000_000));
    long
}

/// Guards against a list that returns direct peer addresses to an instance whose
/// view was configured to lead through a proxy.
#[test]
fn each_view_has_its_own_peer_addresses() {
    block_on(async {
        let platform = TestPlatform::start().await;
        let seen = "127.0.0.1:99".parse().unwrap();
        let view = BTreeMap::from([("i2".to_owned(), seen)]);
        platform
            .control(PlatformControl {
                peer_views: Some(BTreeMap::from([("i1".to_owned(), view)])),
                ..register("i2", "live")
            })
            .await;
        let own = HttpInstanceList::new(format!("{}/view/i1", platform.url()), CALL_TIMEOUT);
        assert_eq!(own.read().await.unwrap()[0].peer_address, seen);
        let other = HttpInstanceList::new(format!("{}/view/i3", platform.url()), CALL_TIMEOUT);
        let registered = "10.0.0.1:7".parse().unwrap();
        assert_eq!(other.read().await.unwrap()[0].peer_address, registered);
    });
}
