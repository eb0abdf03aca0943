//! `/metrics` in the `OpenMetrics` text format.

use actix_http::StatusCode;
use prometheus_client::encoding::text;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;
use tarragonpulley_policy::movement::active_moves;
use tarragonpulley_wire::operator::ErrorKind;

use super::{ApiResult, OperatorApi, body, error};
use crate::interfaces::ProofState;

const MEDIA_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";
/// Value of the proof age gauge without a proof; an age is never negative.
const NO_PROOF: i64 = -1;

impl OperatorApi {
    pub(super) fn metrics(&self) -> ApiResult {
        let own = self.state_metrics();
        let mut out = String::new();
        text::encode_registry(&mut out, &self.registry)
            .and_then(|()| text::encode_registry(&mut out, &own))
            .and_then(|()| text::encode_eof(&mut out))
            .map_err(|e| error(ErrorKind::Unavailable, format!("encoding metrics: {e}")))?;
        Ok(body::text_response(StatusCode::OK, MEDIA_TYPE, out))
    }

    /// Gauges that are computed from the state at each scrape.
    fn state_metrics(&self) -> Registry {
        let context = &self.context;
        let snapshot = context.config.snapshot();
        let age = match context.config.proof() {
            ProofState::Proved(age) => i64::try_from(age.as_millis()).unwrap_or(i64::MAX),
            ProofState::Missing => NO_PROOF,
        };
        let members = context.members.members();
        let reachable = members.iter().filter(|m| m.reachable).count();
        let mut registry = Registry::default();
        let mut add = |name: &str, help: &str, value: i64| {
            let gauge: Gauge = Gauge::default();
            gauge.set(value);
            registry.register(format!("tarragonpulley_{name}"), help, gauge);
        };
        add(
            "config_proof_age_ms",
            "Milliseconds since the configuration was proved current, -1 without a proof",
            age,
        );
        add("members_known", "Known instances", count(members.len()));
        add(
            "members_answering",
            "Instances that answered a heartbeat lately",
            count(reachable),
        );
        let moves = active_moves(&snapshot).count();
        add("moves_active", "Moves under way", count(moves));
        add(
            "drains_active",
            "Drains under way",
            count(snapshot.drains.len()),
        );
        registry
    }
}

fn count(number: usize) -> i64 {
    i64::try_from(number).unwrap_or(i64::MAX)
}
