//! Conversion of table rows to and from domain types.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, UNIX_EPOCH};

use tarragonpulley_policy::rights::{GenerationRecord, ReclaimRecord};
use tarragonpulley_policy::snapshot::{
    ConfigSnapshot, DrainTarget, KeyDigest, KeyGrant, MoveKind, MoveRecord,
};
use tarragonpulley_policy::units::{ConfigRevision, TrafficShare};
use tarragonpulley_wire::rows::{
    ConfigRows, KeyRow, MoveRow, PreviousConfig, RowError, config_from_rows, decode_generation,
    drain_row_key, encode, encode_generation, head_revision, key_row_key, move_row_key,
};
use yare::parameterized;

fn record() -> MoveRecord {
    MoveRecord {
        kind: MoveKind::CentreShift {
            service: "lunwan/fitdesk".parse().expect("valid"),
            from: "north-a".parse().expect("valid"),
            to: "north-b".parse().expect("valid"),
        },
        state: "shifting".to_owned(),
        share: TrafficShare::from_percent(25),
        cap: TrafficShare::from_percent(50),
        deadline: UNIX_EPOCH + Duration::from_millis(1_796_000_000_123),
        step_started: UNIX_EPOCH,
        epoch: 4,
        reason: "sound so far".to_owned(),
    }
}

fn digest() -> KeyDigest {
    KeyDigest::of_key("key")
}

fn grant(withdrawn: bool) -> KeyGrant {
    KeyGrant {
        team: "lunwan/pram".parse().expect("valid"),
        withdrawn,
    }
}

fn rows(entries: &[(&str, &[u8])]) -> ConfigRows {
    let entries = entries.iter();
    entries
        .map(|(key, value)| ((*key).to_owned(), value.to_vec()))
        .collect()
}

/// Guards against a row that changes when it is encoded and decoded.
#[test]
fn configuration_round_trips() {
    let name = "to-b".parse().expect("valid");
    let drains = [
        DrainTarget::Centre(
            "lunwan".parse().expect("valid"),
            "north-a".parse().expect("valid"),
        ),
        DrainTarget::Instance("edge-1".parse().expect("valid")),
    ];
    let key_row = KeyRow {
        team: grant(true).team,
        withdrawn: true,
    };
    let mut stored = rows(&[("config/head", br#"{"revision":7}"#)]);
    stored.insert(key_row_key(&digest()), encode(&key_row));
    stored.insert(move_row_key(&name), encode(&MoveRow::from(record())));
    for drain in &drains {
        stored.insert(drain_row_key(drain), b"{}".to_vec());
    }
    let expected = ConfigSnapshot {
        revision: ConfigRevision::new(7),
        keys: BTreeMap::from([(digest(), grant(true))]),
        moves: BTreeMap::from([(name, record())]),
        drains: drains.into(),
        ..ConfigSnapshot::default()
    };
    let read = config_after(&stored, &ConfigSnapshot::default());
    assert_eq!(read, Ok((expected, Vec::new())));
}

/// Converts rows with a previous configuration in which no row had the same value.
fn config_after(
    stored: &ConfigRows,
    previous: &ConfigSnapshot,
) -> Result<(ConfigSnapshot, Vec<RowError>), RowError> {
    let previous = PreviousConfig {
        rows: &ConfigRows::new(),
        snapshot: previous,
        errors: &[],
    };
    config_from_rows(stored, previous)
}

/// Guards against parsing unchanged contracts again with each revision, keeping
/// an old contract after its row changed, and reporting an invalid row only the
/// first time it is read.
#[test]
fn only_changed_contracts_are_parsed() {
    let text = include_str!("../../../contracts/lunwan.toml");
    let row = |text: &str| format!("{{\"file\":\"f\",\"text\":{text:?}}}").into_bytes();
    let key = "config/contract/lunwan";
    let mut stored = rows(&[("config/head", br#"{"revision":1}"#), (key, &row(text))]);
    let (first, errors) = config_after(&stored, &ConfigSnapshot::default()).expect("a head");
    assert!(errors.is_empty(), "{errors:?}");
    let customer = "lunwan".parse().expect("valid");
    let previous = PreviousConfig {
        rows: &stored.clone(),
        snapshot: &first,
        errors: &[],
    };
    let (same, _) = config_from_rows(&stored, previous).expect("a head");
    assert!(Arc::ptr_eq(
        &same.contracts[&customer],
        &first.contracts[&customer]
    ));

    let changed = text.replacen("600/s", "601/s", 1);
    stored.insert(key.to_owned(), row(&changed));
    let (next, _) = config_from_rows(&stored, previous).expect("a head");
    assert_ne!(next.contracts[&customer], first.contracts[&customer]);

    stored.insert(key.to_owned(), b"damaged".to_vec());
    let (with_invalid_row, errors) = config_from_rows(&stored, previous).expect("a head");
    let previous = PreviousConfig {
        rows: &stored.clone(),
        snapshot: &with_invalid_row,
        errors: &errors,
    };
    let (_, errors_again) = config_from_rows(&stored, previous).expect("a head");
    assert_eq!((errors.len(), &errors_again), (1, &errors));
}

/// Guards against an invalid row that affects other rows or is not reported.
#[parameterized(
    contract = { "config/contract/lunwan", br#"{"file":"f","text":"customer = 1"}"# },
    not_json = { "config/contract/lunwan", b"\xff" },
    invalid_digest = { "config/key/12", br#"{"team":"a/b","withdrawn":false}"# },
    invalid_team = { "config/key/0000000000000000000000000000000000000000000000000000000000000000", br#"{"team":"a","withdrawn":false}"# },
    invalid_move = { "config/move/m", br#"{"epoch":1}"# },
    invalid_drain = { "config/drain/rack:7", b"{}" },
    unknown_kind = { "config/other/x", b"{}" },
)]
fn invalid_row_is_reported_and_others_are_kept(key: &str, value: &[u8]) {
    let mut stored = rows(&[("config/head", br#"{"revision":7}"#), (key, value)]);
    stored.insert(
        drain_row_key(&DrainTarget::Instance("edge-1".parse().expect("valid"))),
        b"{}".to_vec(),
    );
    let (snapshot, errors) = config_after(&stored, &ConfigSnapshot::default()).expect("a head");
    assert_eq!(
        errors.iter().map(|f| f.key.as_str()).collect::<Vec<_>>(),
        [key]
    );
    assert_eq!(snapshot.drains.len(), 1);
}

/// Guards against a withdrawn key that becomes valid again because its row is
/// invalid.
#[test]
fn invalid_row_keeps_its_last_valid_value() {
    let previous = ConfigSnapshot {
        keys: BTreeMap::from([(digest(), grant(true))]),
        moves: BTreeMap::from([("m".parse().expect("valid"), record())]),
        ..ConfigSnapshot::default()
    };
    let mut stored = rows(&[
        ("config/head", br#"{"revision":8}"#),
        ("config/move/m", b""),
    ]);
    stored.insert(key_row_key(&digest()), b"?".to_vec());
    let (snapshot, errors) = config_after(&stored, &previous).expect("a head");
    assert_eq!(
        (snapshot.keys, snapshot.moves),
        (previous.keys, previous.moves)
    );
    assert_eq!(errors.len(), 2);
}

/// Guards against a wrong revision if the head row is missing or invalid.
#[parameterized(
    none = { None, Some(0) },
    plain = { Some(br#"{"revision":5}"#.as_slice()), Some(5) },
    with_change = { Some(br#"{"revision":6,"change":99}"#.as_slice()), Some(6) },
    invalid = { Some(b"6".as_slice()), None },
)]
fn head_row_determines_the_revision(value: Option<&[u8]>, revision: Option<u64>) {
    let head = value.map(|value| ("config/head".to_owned(), value.to_vec()));
    let stored: ConfigRows = head.into_iter().collect();
    let expected = revision.map(ConfigRevision::new);
    assert_eq!(head_revision(&stored).ok(), expected);
}

/// Guards against a generation record that changes when it is stored and read.
#[test]
fn generation_round_trips() {
    let id = |text: &str| text.parse().expect("valid");
    let amounts = [
        "team:lunwan/pram",
        "region:lunwan/north",
        "server:lunwan/fitdesk/fit-1",
    ];
    let record = GenerationRecord {
        number: 3,
        first_holder: id("edge-1#1"),
        reclaims: vec![ReclaimRecord {
            dead: [id("edge-1#1"), id("edge-2#5")].into(),
            recipient: id("edge-3#1"),
            amounts: amounts
                .iter()
                .map(|limit| (limit.parse().expect("valid"), 720))
                .collect(),
            takes_unlisted: true,
        }],
    };
    let bytes = encode_generation(&record);
    assert_eq!(decode_generation(&bytes), Ok(record));
    assert!(decode_generation(b"{\"number\":1}").is_err());
}
