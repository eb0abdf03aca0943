//! Answers as text for people.

use tarragonpulley_wire::operator::{MoveKindSpec, StatusResponse, TimelineResponse};

pub(crate) fn status(answer: &StatusResponse) -> String {
    let proof = match answer.proof_age_ms {
        Some(age) => format!("proved current {age} ms ago"),
        None => "not proved current; requests that need a key are refused".to_owned(),
    };
    let mut lines = vec![
        format!("instance   {} in {}", answer.instance, answer.data_centre),
        format!("revision   r{}, {proof}", answer.revision),
        format!("customers  {}", answer.customers.join(", ")),
        format!(
            "keys       {} granted, {} withdrawn",
            answer.keys.granted, answer.keys.withdrawn
        ),
    ];
    for member in &answer.members {
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
    for status in &answer.moves {
        let (service, from, to) = match &status.kind {
            MoveKindSpec::Rollout { service, from, to }
            | MoveKindSpec::CentreShift { service, from, to } => (service, from, to),
        };
        lines.push(format!(
            "move       {}: {service} {from} to {to}, {} at {} (cap {}): {}",
            status.name, status.state, status.share, status.cap, status.reason
        ));
    }
    for drain in &answer.drains {
        lines.push(format!("drain      {}", drain.target));
    }
    lines.join("\n")
}

pub(crate) fn timeline(answer: &TimelineResponse) -> String {
    let events = answer.events.iter().map(|event| {
        format!(
            "{} {} {} {}: {}",
            event.stamp, event.origin, event.kind, event.subject, event.detail
        )
    });
    events.collect::<Vec<_>>().join("\n")
}
