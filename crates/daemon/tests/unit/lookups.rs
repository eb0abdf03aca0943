//! Lookups over HTTP.

use super::fakes::{TestInstance, member};

/// Guards against lookups that return a leaving instance, or that need a proof
/// of the configuration.
#[actix_rt::test]
async fn a_lookup_leaves_out_leaving_instances() {
    let instance = TestInstance::start(&["127.0.0.1:9".parse().unwrap()]).await;
    let mut leaving = member("edge-2", 2);
    leaving.leaving = true;
    instance.members.0.borrow_mut().push(leaving);
    instance.config.proved.set(false);
    let response = instance.send("GET", "/v1/lookup?customer=lunwan", "").await;
    let body: serde_json::Value = serde_json::from_str(&response.body).unwrap();
    assert_eq!(body["valid_for_ms"], 5000);
    assert_eq!(body["instances"].as_array().unwrap().len(), 1);
    assert_eq!(body["instances"][0]["address"], "127.0.0.1:1");

    let missing = instance.send("GET", "/v1/lookup?customer=other", "").await;
    assert_eq!(missing.rejection(), (404, "not_run", "no_route".to_owned()));
}
