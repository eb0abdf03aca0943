//! Handlers of the requests of peers.

use log::warn;
use tarragonpulley_wire::peer::{
    ConfigurationResponse, MAX_EVENTS, PeerRequest, PeerResponse, WireError, incarnations_from_wire,
};
use tarragonpulley_wire::rows::{self, ConfigRows};

use super::core::FleetCore;

impl FleetCore {
    /// Handles one request.
    pub(super) fn serve_request(&self, request: PeerRequest) -> Result<PeerResponse, WireError> {
        match request {
            PeerRequest::Heartbeat(heartbeat) => self.serve_heartbeat(*heartbeat),
            PeerRequest::ConfigurationFetch { revision } => Ok(self.serve_fetch(revision)),
            PeerRequest::EventQuery { after, most } => {
                let max_events = usize::try_from(most).unwrap_or(MAX_EVENTS).min(MAX_EVENTS);
                let events = self.own_events(after.into(), max_events);
                Ok(PeerResponse::Events(
                    events.into_iter().map(Into::into).collect(),
                ))
            }
            PeerRequest::RightsAsk(ask) => self.serve_ask(ask),
            PeerRequest::FenceReport { sender, dead } => {
                Ok(self.serve_fence(&sender.try_into()?, &incarnations_from_wire(dead)?))
            }
        }
    }

    fn serve_fetch(&self, revision: u64) -> PeerResponse {
        let config = self.config.borrow();
        let rights = self.rights.borrow();
        let newer = config.freshness.revision().get() > revision;
        let rows = if newer {
            (*config.rows).clone()
        } else {
            ConfigRows::new()
        };
        PeerResponse::Configuration(ConfigurationResponse {
            rows: rows.into_iter().collect(),
            generation: rights.record.as_ref().map(rows::encode_generation),
        })
    }

    /// Applies the configuration and the rights record that were fetched from a peer.
    pub(super) fn apply_fetched(&self, response: ConfigurationResponse) {
        let generation = response.generation.as_deref();
        if let Err(error) = self.apply_generation_row(generation) {
            warn!("rights record of a peer not adopted: {error}");
        }
        let rows: ConfigRows = response.rows.into_iter().collect();
        if !rows.is_empty()
            && let Err(error) = self.adopt_rows(rows)
        {
            warn!("configuration of a peer not adopted: {error}");
        }
    }
}
