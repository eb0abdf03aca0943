//! Read-only requests.

use actix_http::StatusCode;
use tarragonpulley_policy::snapshot::ConfigSnapshot;
use tarragonpulley_policy::timeline::HybridTimestamp;
use tarragonpulley_wire::operator::{
    DrainRequest, DrainStatus, ErrorKind, ErrorResponse, EventEntry, KeyCounts, MemberStatus,
    MoveStatus, StatusResponse, TimelineResponse,
};

use super::{ApiResult, OperatorApi, body, changes, error};
use crate::interfaces::{MemberView, ProofState};

const DEFAULT_EVENTS: usize = 100;
const MAX_EVENTS: usize = 1000;

impl OperatorApi {
    pub(super) fn status(&self) -> ApiResult {
        let context = &self.context;
        let snapshot = context.config.snapshot();
        let proof_age_ms = match context.config.proof() {
            ProofState::Proved(age) => Some(u64::try_from(age.as_millis()).unwrap_or(u64::MAX)),
            ProofState::Missing => None,
        };
        let members = context.members.members();
        let response = StatusResponse {
            instance: context.incarnation.to_string(),
            data_centre: context.centre.to_string(),
            revision: snapshot.revision.get(),
            proof_age_ms,
            customers: snapshot.contracts.keys().map(ToString::to_string).collect(),
            keys: key_counts(&snapshot),
            moves: snapshot.moves.iter().map(MoveStatus::from).collect(),
            drains: snapshot
                .drains
                .iter()
                .map(|target| DrainStatus {
                    target: DrainRequest::from(target).target,
                })
                .collect(),
            members: members.iter().map(member_status).collect(),
        };
        body::json(StatusCode::OK, &response)
    }

    pub(super) async fn timeline(&self, query: Option<&str>) -> ApiResult {
        let (after, max_events) = timeline_range(query.unwrap_or_default())?;
        let events = self.context.events.fleet_events(after, max_events).await;
        let events = events.iter().map(EventEntry::from).collect();
        body::json(StatusCode::OK, &TimelineResponse { events })
    }
}

fn key_counts(snapshot: &ConfigSnapshot) -> KeyCounts {
    let withdrawn = snapshot.keys.values().filter(|g| g.withdrawn).count();
    KeyCounts {
        granted: snapshot.keys.len() - withdrawn,
        withdrawn,
    }
}

fn member_status(view: &MemberView) -> MemberStatus {
    MemberStatus {
        instance: view.instance.to_string(),
        incarnation: view.incarnation.as_ref().map(ToString::to_string),
        data_centre: view.centre.to_string(),
        service_address: view.service_address.to_string(),
        answering: view.reachable,
        leaving: view.leaving,
        revision: view.revision.get(),
    }
}

fn timeline_range(query: &str) -> Result<(HybridTimestamp, usize), ErrorResponse> {
    let malformed = |message: String| error(ErrorKind::MalformedRequest, message);
    let (mut after, mut max_events) = (HybridTimestamp::default(), DEFAULT_EVENTS);
    for pair in query.split('&').filter(|pair| !pair.is_empty()) {
        match pair.split_once('=').unwrap_or((pair, "")) {
            ("after", "") => {}
            ("after", stamp) => {
                after = EventEntry::parse_stamp(stamp).map_err(|e| changes::invalid(&e))?;
            }
            ("most", number) => {
                let valid = number.parse().ok().filter(|n| (1..=MAX_EVENTS).contains(n));
                let out_of_range = || malformed(format!("most: must be from 1 to {MAX_EVENTS}"));
                max_events = valid.ok_or_else(out_of_range)?;
            }
            (name, _) => return Err(malformed(format!("{name}: is not a known parameter"))),
        }
    }
    Ok((after, max_events))
}
