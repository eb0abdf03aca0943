//! A contract and a configuration for tests.

use std::collections::BTreeMap;

use tarragonpulley_policy::contract::CustomerContract;
use tarragonpulley_policy::snapshot::{ConfigSnapshot, KeyDigest, KeyGrant};

/// Two regions with two data centres each; servers `a1` to `d2` of version
/// `v1` and `n1`, `n2` of version `v2`.
pub(crate) fn contract() -> CustomerContract {
    let mut text = String::from(
        r#"
customer = "lunwan"
lookup = { valid_for = "5s", instances = 3 }
region = [{ name = "north", capacity = 100 }, { name = "south", capacity = 100 }]
data_centre = [
  { name = "a", region = "north" }, { name = "b", region = "north" },
  { name = "c", region = "south" }, { name = "d", region = "south" },
]
team = [{ name = "counter", rate = "100/s", burst = 10 }]
client_block = [
  { prefix = "0.0.0.0/0", data_centre = "d" },
  { prefix = "10.0.0.0/8", data_centre = "a" },
  { prefix = "10.1.0.0/16", data_centre = "c" },
]
[[service]]
name = "desk"
version = "v1"
route = [
  { path = "/", methods = ["GET"], kind = "idempotent", timeout = "1s" },
  { path = "/book", methods = ["POST"], kind = "once", timeout = "1s" },
  { path = "/book/list", methods = ["GET"], kind = "idempotent", timeout = "1s" },
]
"#,
    );
    let names = ["a1", "a2", "b1", "b2", "c1", "c2", "d1", "d2", "n1", "n2"];
    for (port, name) in names.iter().enumerate() {
        let centre = name[..1].replace('n', "a");
        let version = if name.starts_with('n') { "v2" } else { "v1" };
        text += "[[service.server]]\n";
        text += &[
            "name = \"",
            name,
            "\"\ndata_centre = \"",
            &centre,
            "\"\nversion = \"",
            version,
            "\"\nslots = 4\nconnections = 300\naddress = \"127.0.0.1:",
            &(port + 1).to_string(),
            "\"\n",
        ]
        .concat();
    }
    CustomerContract::parse("lunwan.toml", &text).unwrap()
}

/// A configuration with the contract and three keys: `good`, the withdrawn key
/// `old`, and `orphan`, whose team is not in the contract.
#[allow(dead_code, reason = "not every test file needs it")]
pub(crate) fn snapshot() -> ConfigSnapshot {
    let contract = contract();
    let grant = |withdrawn| KeyGrant {
        team: "lunwan/counter".parse().unwrap(),
        withdrawn,
    };
    let orphan = KeyGrant {
        team: "lunwan/removed".parse().unwrap(),
        withdrawn: false,
    };
    ConfigSnapshot {
        contracts: BTreeMap::from([(contract.customer.clone(), contract.into())]),
        keys: BTreeMap::from([
            (KeyDigest::of_key("good"), grant(false)),
            (KeyDigest::of_key("old"), grant(true)),
            (KeyDigest::of_key("orphan"), orphan),
        ]),
        ..ConfigSnapshot::default()
    }
}
