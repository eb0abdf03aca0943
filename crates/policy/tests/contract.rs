//! Rules of contract files, one row per rule.

use tarragonpulley_policy::contract::{ContractError, CustomerContract};
use yare::parameterized;

const VALID: &str = r#"
customer = "lunwan"

[lookup]
valid_for = "10s"
instances = 4

[[region]]
name = "north"
capacity = 42

[[region]]
name = "south"
capacity = 42

[[data_centre]]
name = "taipei-a"
region = "north"

[[link]]
from = "north"
to = "south"
megabits = 4000

[[team]]
name = "prams"
rate = "600/s"
burst = 150

[[service]]
name = "fitdesk"
version = "v1"

[[service.route]]
path = "/fits"
methods = ["GET"]
kind = "idempotent"
open = true
timeout = "300ms"
max_body = "64KiB"
max_answer = "1MiB"

[[service.server]]
name = "one"
address = "10.0.0.1:80"
data_centre = "taipei-a"
slots = 3
connections = 330
version = "v1"

[[client_block]]
prefix = "10.16.0.0/14"
data_centre = "taipei-a"
"#;

const SECOND_ROUTE: &str = r#"
[[service.route]]
path = "/fits"
methods = ["POST", "GET"]
kind = "once"
timeout = "1s"

[[service.server]]
name = "one""#;

/// The valid text with the first `find` replaced, which must occur.
fn replaced(find: &str, replace: &str) -> String {
    assert!(VALID.contains(find), "{find}");
    VALID.replacen(find, replace, 1)
}

/// The valid text with a copy of its first `[[kind]]` table, in which `find` is
/// replaced.
fn duplicated(kind: &str, find: &str, replace: &str) -> String {
    let start = VALID.find(&format!("[[{kind}]]")).expect("the table");
    let table = &VALID[start..];
    let end = table[2..].find("\n[").map_or(table.len(), |end| end + 2);
    let table = table[..end].replacen(find, replace, 1);
    format!("{}{table}\n{}", &VALID[..start], &VALID[start..])
}

fn violations(text: &str) -> Vec<String> {
    match CustomerContract::parse("f.toml", text) {
        Ok(_) => Vec::new(),
        Err(ContractError::Rules { violations, .. }) => {
            violations.iter().map(ToString::to_string).collect()
        }
        Err(error) => panic!("{error}"),
    }
}

// Guards against rows below that fail for another reason than their own.
#[test]
fn the_text_without_a_change_is_valid() {
    assert_eq!(violations(VALID), Vec::<String>::new());
}

// Guards against a rule that is not enforced for the value next to its range, or
// whose violation is reported without field, value and rule.
#[parameterized(
    validity_low = { "\"10s\"", "\"999ms\"", "lookup.valid_for: \"999ms\": must be from 1s to 60s" },
    validity_high = { "\"10s\"", "\"60001ms\"", "lookup.valid_for: \"60001ms\": must be from 1s to 60s" },
    instances_low = { "instances = 4", "instances = 0", "lookup.instances: \"0\": must be from 1 to 16" },
    instances_high = { "instances = 4", "instances = 17", "lookup.instances: \"17\": must be from 1 to 16" },
    capacity_low = { "capacity = 42", "capacity = 0", "region[north].capacity: \"0\": must be from 1 to 1000000" },
    capacity_high = { "capacity = 42", "capacity = 1000001", "region[north].capacity: \"1000001\": must be from 1 to 1000000" },
    centre_region = { "name = \"taipei-a\"\nregion = \"north\"", "name = \"taipei-a\"\nregion = \"east\"", "data_centre[taipei-a].region: \"east\": is not defined in this file" },
    link_from = { "from = \"north\"", "from = \"east\"", "link[east-south].from: \"east\": is not defined in this file" },
    link_to = { "to = \"south\"", "to = \"east\"", "link[north-east].to: \"east\": is not defined in this file" },
    link_same = { "to = \"south\"", "to = \"north\"", "link[north-north]: \"north-north\": a link must join two different regions" },
    link_low = { "megabits = 4000", "megabits = 0", "link[north-south].megabits: \"0\": must be from 1 to 1000000" },
    link_high = { "megabits = 4000", "megabits = 1000001", "link[north-south].megabits: \"1000001\": must be from 1 to 1000000" },
    rate_low = { "\"600/s\"", "\"0/s\"", "team[prams].rate: \"0\": must be from 1 to 1000000" },
    rate_high = { "\"600/s\"", "\"1000001/s\"", "team[prams].rate: \"1000001\": must be from 1 to 1000000" },
    burst_low = { "burst = 150", "burst = 0", "team[prams].burst: \"0\": must be from 1 to 1000000" },
    burst_high = { "burst = 150", "burst = 1000001", "team[prams].burst: \"1000001\": must be from 1 to 1000000" },
    service_version = { "version = \"v1\"", "version = \"v2\"", "service[fitdesk].version: \"v2\": no server of the service runs this version" },
    path_start = { "path = \"/fits\"", "path = \"fits\"", "service[fitdesk].route[fits].path: \"fits\": must start with / and have no ?, # or %" },
    path_query = { "path = \"/fits\"", "path = \"/fits?a\"", "service[fitdesk].route[/fits?a].path: \"/fits?a\": must start with / and have no ?, # or %" },
    path_end = { "path = \"/fits\"", "path = \"/fits/\"", "service[fitdesk].route[/fits/].path: \"/fits/\": must not end with /" },
    no_method = { "[\"GET\"]", "[]", "service[fitdesk].route[/fits].methods: \"[]\": must name a method" },
    method = { "[\"GET\"]", "[\"get\"]", "service[fitdesk].route[/fits].methods: \"get\": must be one of GET, HEAD, POST, PUT, PATCH, DELETE" },
    open_once = { "\"idempotent\"", "\"once\"", "service[fitdesk].route[/fits].open: \"true\": an open route cannot be once" },
    open_slow = { "\"idempotent\"", "\"slow\"", "service[fitdesk].route[/fits].open: \"true\": an open route cannot be slow" },
    timeout_low = { "\"300ms\"", "\"9ms\"", "service[fitdesk].route[/fits].timeout: \"9ms\": must be from 10ms to 600s" },
    timeout_high = { "\"300ms\"", "\"600001ms\"", "service[fitdesk].route[/fits].timeout: \"600001ms\": must be from 10ms to 600s" },
    body_high = { "\"64KiB\"", "\"8388609\"", "service[fitdesk].route[/fits].max_body: \"8388609\": must be from 0 to 8388608" },
    answer_high = { "\"1MiB\"", "\"67108865\"", "service[fitdesk].route[/fits].max_answer: \"67108865\": must be from 0 to 67108864" },
    route_twice = { "\n[[service.server]]\nname = \"one\"", SECOND_ROUTE, "service[fitdesk].route[/fits]: \"/fits\": another route has this path and method" },
    server_centre = { "data_centre = \"taipei-a\"\nslots", "data_centre = \"tokyo\"\nslots", "service[fitdesk].server[one].data_centre: \"tokyo\": is not defined in this file" },
    slots_low = { "slots = 3", "slots = 0", "service[fitdesk].server[one].slots: \"0\": must be from 1 to 16" },
    slots_high = { "slots = 3", "slots = 17", "service[fitdesk].server[one].slots: \"17\": must be from 1 to 16" },
    connections_low = { "connections = 330", "connections = 0", "service[fitdesk].server[one].connections: \"0\": must be from 1 to 100000" },
    connections_high = { "connections = 330", "connections = 100001", "service[fitdesk].server[one].connections: \"100001\": must be from 1 to 100000" },
    block_centre = { "/14\"\ndata_centre = \"taipei-a\"", "/14\"\ndata_centre = \"tokyo\"", "client_block[10.16.0.0/14].data_centre: \"tokyo\": is not defined in this file" },
    block_host_bits = { "10.16.0.0/14", "10.16.0.1/14", "client_block[10.16.0.1/14].prefix: \"10.16.0.1/14\": must be an IPv4 prefix without host bits, as in 10.1.0.0/16" },
    block_length = { "10.16.0.0/14", "10.16.0.0/33", "client_block[10.16.0.0/33].prefix: \"10.16.0.0/33\": must be an IPv4 prefix without host bits, as in 10.1.0.0/16" },
)]
fn a_violated_rule_is_reported(find: &str, replace: &str, expected: &str) {
    assert_eq!(violations(&replaced(find, replace)), [expected]);
}

// Guards against a range that is too narrow by one.
#[parameterized(
    validity = { "\"10s\"", "\"60s\"" },
    instances = { "instances = 4", "instances = 16" },
    capacity = { "capacity = 42", "capacity = 1000000" },
    rate = { "\"600/s\"", "\"1000000/s\"" },
    burst = { "burst = 150", "burst = 1" },
    timeout_low = { "\"300ms\"", "\"10ms\"" },
    timeout_high = { "\"300ms\"", "\"600s\"" },
    body = { "\"64KiB\"", "\"8MiB\"" },
    answer = { "\"1MiB\"", "\"64MiB\"" },
    slots = { "slots = 3", "slots = 16" },
    root_path = { "path = \"/fits\"", "path = \"/\"" },
    all_clients = { "10.16.0.0/14", "0.0.0.0/0" },
    one_client = { "10.16.0.0/14", "10.16.0.1/32" },
)]
fn a_value_at_the_end_of_its_range_is_valid(find: &str, replace: &str) {
    assert_eq!(violations(&replaced(find, replace)), Vec::<String>::new());
}

// Guards against an entry that silently replaces another one of the same name.
#[parameterized(
    region = { "region", "", "", "region.name: \"north\": the name occurs twice" },
    centre = { "data_centre", "", "", "data_centre.name: \"taipei-a\": the name occurs twice" },
    link = { "link", "", "", "link[north-south]: \"north-south\": the link occurs twice" },
    team = { "team", "", "", "team.name: \"prams\": the name occurs twice" },
    server = { "service.server", "10.0.0.1", "10.0.0.2", "service[fitdesk].server.name: \"one\": the name occurs twice" },
    address = { "service.server", "\"one\"", "\"two\"", "service[fitdesk].server[two].address: \"10.0.0.1:80\": another server has this address" },
    block = { "client_block", "", "", "client_block[10.16.0.0/14].prefix: \"10.16.0.0/14\": the block occurs twice" },
)]
fn a_duplicate_entry_is_reported(kind: &str, find: &str, replace: &str, expected: &str) {
    assert_eq!(violations(&duplicated(kind, find, replace)), [expected]);
}

// Guards against a malformed file that is accepted, or reported without file
// name and line.
#[parameterized(
    not_toml = { "[lookup]", "[lookup" },
    unknown_field = { "slots = 3", "slots = 3\nslot = 3" },
    missing_field = { "slots = 3\n", "" },
    wrong_type = { "slots = 3", "slots = \"3\"" },
    wrong_name = { "\"lunwan\"", "\"Lunwan\"" },
    wrong_rate = { "\"600/s\"", "\"600\"" },
    wrong_span = { "\"10s\"", "\"10\"" },
    wrong_size = { "\"64KiB\"", "\"64KB\"" },
    wrong_kind = { "\"idempotent\"", "\"twice\"" },
    wrong_address = { "10.0.0.1:80", "server:80" },
)]
fn a_malformed_file_is_reported_with_its_place(find: &str, replace: &str) {
    let error = CustomerContract::parse("f.toml", &replaced(find, replace));
    let Err(ContractError::Syntax { file, message }) = error else {
        panic!("{error:?}");
    };
    assert_eq!(file, "f.toml");
    assert!(message.contains("line"), "{message}");
}

// Guards against a report of only the first violation.
#[test]
fn all_violations_are_reported_together() {
    let text = replaced("slots = 3", "slots = 0").replace("burst = 150", "burst = 0");
    let text = text.replace("megabits = 4000", "megabits = 0");
    assert_eq!(violations(&text).len(), 3);
}
