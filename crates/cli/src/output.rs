//! Human-readable output of responses.

use tarragonpulley_wire::operator::{MoveKindSpec, StatusResponse, TimelineResponse};

pub(crate) fn status(response: &StatusResponse) -> String {
    let proof = match response.proof_age_ms {
        Some(age) => format!("proved current {age} ms ago"),
        None => "not proved current; requests that need a key are refused".to_owned(),
    };
    let mut lines = vec![
        format!(
            "instance   {} in {}",
            response.instance, response.data_centre
        ),
        format!("revision   r{}, {proof}", response.revision),
        format!("customers  {}", response.customers.join(", ")),
        format!(
            "keys       {} granted, {} withdrawn",
            response.keys.granted, response.keys.withdrawn
        ),
    ];
    for member in &response.members {
        let state = match (member.answering, member.leaving) {
            (true, false) => "answering",
            (true, true) => "leaving",
            (false, _) => "not answering",
        };
        lines.push(format!(
            "member     {} in {}, {}, r{}, {state}",
            member.instance, member.data_centre, member.service_address, member.revision
        ));
    }
    for status in &response.moves {
        let (service, from, to) = match &status.kind {
            MoveKindSpec::Rollout { service, from, to }
            | MoveKindSpec::CentreShift { service, from, to } => (service, from, to),
        };
        lines.push(format!(
            "move       {}: {service} {from} to {to}, {} at {} (cap {}): {}",
            status.name, status.state, status.share, status.cap, status.reason
        ));
    }
    for drain in &response.drains {
        lines.push(format!("drain      {}", drain.target));
    }
    lines.join("\n")
}

pub(crate) fn timeline(response: &TimelineResponse) -> String {
    let events = response.events.iter().map(|event| {
        format!(
            "{} {} {} {}: {}",
            event.stamp, event.origin, event.kind, event.subject, event.detail
        )
    });
    events.collect::<Vec<_>>().join("\n")
}
