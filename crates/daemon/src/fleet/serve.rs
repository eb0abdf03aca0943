//! Requests of peers.

use log::warn;
use tarragonpulley_wire::peer::{
    ConfigurationAnswer, MAX_EVENTS, PeerAnswer, PeerRequest, WireError,
};
use tarragonpulley_wire::rows::ConfigRows;

use super::core::FleetCore;
use super::peering::refused;

impl FleetCore {
    /// Serves one request.
    pub(super) fn serve_request(&self, request: PeerRequest) -> Result<PeerAnswer, WireError> {
        match request {
            PeerRequest::Heartbeat(heartbeat) => self.serve_heartbeat(*heartbeat),
            PeerRequest::ConfigurationFetch { revision } => Ok(self.serve_fetch(revision)),
            PeerRequest::EventQuery { after, most } => {
                let most = usize::try_from(most).unwrap_or(MAX_EVENTS).min(MAX_EVENTS);
                let events = self.own_events(after.into(), most);
                Ok(PeerAnswer::Events(
                    events.into_iter().map(Into::into).collect(),
                ))
            }
            PeerRequest::RightsAsk(_) | PeerRequest::FenceReport { .. } => {
                Ok(refused("limits are not served yet"))
            }
        }
    }

    fn serve_fetch(&self, revision: u64) -> PeerAnswer {
        let config = self.config.borrow();
        let newer = config.freshness.revision().get() > revision;
        let rows = if newer {
            (*config.rows).clone()
        } else {
            ConfigRows::new()
        };
        PeerAnswer::Configuration(ConfigurationAnswer {
            rows: rows.into_iter().collect(),
            generation: None,
        })
    }

    /// Takes over rows that were fetched from a peer.
    pub(super) fn take_fetched(&self, answer: ConfigurationAnswer) {
        let rows: ConfigRows = answer.rows.into_iter().collect();
        if !rows.is_empty()
            && let Err(error) = self.adopt_rows(rows)
        {
            warn!("configuration of a peer not adopted: {error}");
        }
    }
}
