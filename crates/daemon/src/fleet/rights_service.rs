//! Use of the fleet-wide limits by the request path, and transfers between peers.
//!
//! Rights are spent and transferred only while the configuration is proved. An
//! incarnation whose shares were reclaimed has lost its proof by the time that
//! another one may use them.

use std::collections::BTreeMap;
use std::rc::Weak;
use std::time::{Duration, Instant};

use futures_util::FutureExt;
use futures_util::future::{LocalBoxFuture, join_all};
use log::{debug, warn};
use tarragonpulley_policy::ids::{IncarnationId, LimitKey};
use tarragonpulley_policy::rights::{RateDecision, ReceiveOutcome, ShareRequest, TransferCounter};
use tarragonpulley_wire::peer::{
    PeerRequest, PeerResponse, RightsRequest, RightsResponse, WireError, counters_from_wire,
    counters_to_wire,
};

use super::core::FleetCore;
use super::link::PeerLink;
use super::peering::{PeerError, rejected};
use crate::interfaces::{AdmitOutcome, RightsSource, SlotGuard};

/// Longest time for which a request waits for rights of peers, and the timeout of
/// an ask. A round trip between regions takes 110 ms at most.
const ASK_TIMEOUT: Duration = Duration::from_millis(150);

/// Peers that are asked concurrently. Each may transfer the whole amount.
const ASK_FANOUT: usize = 3;

/// Delay after a round of asks without a transfer. Without it, a team that sends
/// several times its rate would cause an ask for each of its requests.
const ASK_BACKOFF: Duration = Duration::from_millis(25);

/// Upper bound of the retry time that a rejected caller is told. It applies when
/// this instance cannot tell when there may be a token.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Slots that a request holds.
#[derive(Debug)]
struct HeldSlots {
    core: Weak<FleetCore>,
    limits: Vec<LimitKey>,
}

impl SlotGuard for HeldSlots {}

impl Drop for HeldSlots {
    fn drop(&mut self) {
        if let Some(core) = self.core.upgrade() {
            core.rights.borrow_mut().ledger.release_slots(&self.limits);
            core.notify_waiters();
        }
    }
}

impl RightsSource for FleetCore {
    fn admit(&self, limit: LimitKey, deadline: Instant) -> LocalBoxFuture<'_, AdmitOutcome> {
        async move { self.admit_within(&limit, deadline).await }.boxed_local()
    }

    fn take_slots(&self, limits: &[LimitKey]) -> Option<Box<dyn SlotGuard>> {
        if !self.may_spend() || !self.rights.borrow_mut().ledger.take_slots(limits) {
            return None;
        }
        Some(Box::new(HeldSlots {
            core: Weak::clone(&self.weak_self),
            limits: limits.to_vec(),
        }))
    }

    fn request_slots(&self, limits: Vec<LimitKey>, deadline: Instant) -> LocalBoxFuture<'_, ()> {
        async move {
            // One slot is enough for the next request, so the first transfer ends
            // the wait.
            let seen = self.transfers_received.get();
            for limit in &limits {
                self.ask_if_short(limit);
            }
            let remaining = deadline.saturating_duration_since(self.now());
            let received = |core: &Self| core.transfers_received.get() != seen;
            self.wait_with_timeout(remaining.min(ASK_TIMEOUT), received)
                .await;
        }
        .boxed_local()
    }
}

impl FleetCore {
    /// Whether rights may be spent or transferred now.
    pub(super) fn may_spend(&self) -> bool {
        self.proof_age().is_some() && self.rights.borrow().ledger.generation().is_some()
    }

    async fn admit_within(&self, limit: &LimitKey, deadline: Instant) -> AdmitOutcome {
        if !self.may_spend() {
            return AdmitOutcome::NotReady;
        }
        let start = self.now();
        let mut outcome = self.rights.borrow_mut().ledger.admit(limit, start);
        let ask_deadline = deadline.min(start + ASK_TIMEOUT);
        loop {
            let wait = match outcome {
                RateDecision::Admitted => return AdmitOutcome::Admitted,
                // Nothing may be spent when the team has no limit.
                RateDecision::Unknown => return AdmitOutcome::NotReady,
                RateDecision::NoToken { time_to_token } => time_to_token,
            };
            let remaining = ask_deadline.saturating_duration_since(self.now());
            if remaining.is_zero() {
                let retry_after = wait.min(MAX_RETRY_AFTER);
                return AdmitOutcome::Exceeded { retry_after };
            }
            self.ask_if_short(limit);
            self.wait_for_transfers(limit, remaining.min(wait)).await;
            if !self.may_spend() {
                return AdmitOutcome::NotReady;
            }
            let now = self.now();
            outcome = self.rights.borrow_mut().ledger.admit_waiting(limit, now);
        }
    }

    /// Resolves when a peer has transferred rights, when peers may be asked again, or
    /// when `timeout` has passed.
    async fn wait_for_transfers(&self, limit: &LimitKey, timeout: Duration) {
        let seen = self.transfers_received.get();
        let ask_pending = self.pending_asks.borrow().contains(limit);
        let timeout = if ask_pending {
            timeout
        } else {
            timeout.min(ASK_BACKOFF)
        };
        self.wait_with_timeout(timeout, |core| {
            core.transfers_received.get() != seen
                || (ask_pending && !core.pending_asks.borrow().contains(limit))
        })
        .await;
    }

    /// Starts a round of asks if this instance lacks shares or tokens of a limit.
    fn ask_if_short(&self, limit: &LimitKey) {
        if self.pending_asks.borrow().contains(limit) {
            return;
        }
        let now = self.now();
        let share_request = self.rights.borrow_mut().ledger.share_request(limit, now);
        if let (Some(share_request), Some(core)) = (share_request, self.weak_self.upgrade()) {
            let limit = limit.clone();
            self.pending_asks.borrow_mut().insert(limit.clone());
            actix_rt::spawn(async move { core.ask_round(limit, share_request).await });
        }
    }

    /// Asks peers for rights of a limit. All requests that wait for the limit share
    /// the round.
    async fn ask_round(&self, limit: LimitKey, share_request: ShareRequest) {
        let seen = self.transfers_received.get();
        self.ask_peers(&limit, share_request).await;
        if self.transfers_received.get() == seen {
            tokio::time::sleep(ASK_BACKOFF).await;
        }
        self.pending_asks.borrow_mut().remove(&limit);
        self.notify_waiters();
    }

    /// Asks the peers with the largest surplus, those of this region first.
    async fn ask_peers(&self, limit: &LimitKey, share_request: ShareRequest) {
        let (summaries, near) = (self.holder_summaries(), self.peers_in_region());
        let order = self
            .rights
            .borrow()
            .ledger
            .peers_to_ask(limit, &summaries, &near);
        let links = order.iter().filter_map(|peer| self.link(&peer.instance));
        let asks = links.take(ASK_FANOUT).map(|link| async move {
            if let Err(error) = self.ask(&link, limit, share_request).await {
                debug!("asking {} for {limit} failed: {error}", link.instance);
            }
        });
        join_all(asks).await;
    }

    async fn ask(
        &self,
        link: &PeerLink,
        limit: &LimitKey,
        share_request: ShareRequest,
    ) -> Result<(), PeerError> {
        let own = self.own().clone();
        let request = PeerRequest::RightsAsk(RightsRequest {
            sender: (&own).into(),
            limit: limit.to_string(),
            shares: share_request.shares,
            tokens: share_request.tokens,
        });
        self.metrics.rights_asks.inc();
        match link.call(self, &request, ASK_TIMEOUT).await? {
            PeerResponse::Rights(response) => {
                let sender = IncarnationId::try_from(response.sender)?;
                let counters = counters_from_wire(response.counters)?;
                if sender.instance == link.instance {
                    self.receive_rights(&sender, &counters);
                }
                Ok(())
            }
            _other => Err(PeerError::UnexpectedResponse),
        }
    }

    /// Applies the transfer counters of a peer. Returns whether they are accounted for.
    pub(super) fn receive_rights(
        &self,
        peer: &IncarnationId,
        counters: &BTreeMap<LimitKey, TransferCounter>,
    ) -> bool {
        let now = self.now();
        let outcome = self.rights.borrow_mut().ledger.receive(peer, counters, now);
        match outcome {
            ReceiveOutcome::Applied { changed } => {
                if changed {
                    self.metrics.rights_transfers.inc();
                    self.transfers_received
                        .set(self.transfers_received.get() + 1);
                    self.notify_waiters();
                }
                true
            }
            ReceiveOutcome::Invalid => {
                warn!("transfer counters of {peer} rejected: outdated or invalid");
                false
            }
            ReceiveOutcome::Fenced
            | ReceiveOutcome::OtherGeneration
            | ReceiveOutcome::OtherReceiver => false,
        }
    }

    /// Handles an ask of a peer.
    pub(super) fn serve_ask(&self, ask: RightsRequest) -> Result<PeerResponse, WireError> {
        let (peer, limit, share_request) = ask.try_into()?;
        if self.is_fenced(&peer) {
            return Ok(PeerResponse::Fenced);
        }
        if !self.may_spend() {
            return Ok(rejected("this instance has no proof"));
        }
        let now = self.now();
        if self.members.borrow().is_removed(&peer, now) {
            return Ok(rejected("the asker is gone as seen from here"));
        }
        let mut rights = self.rights.borrow_mut();
        rights
            .ledger
            .transfer_on_request(&peer, &limit, &share_request, now);
        let update = rights.ledger.counters_since_ack(&peer);
        drop(rights);
        Ok(PeerResponse::Rights(RightsResponse {
            sender: (&*self.own()).into(),
            counters: counters_to_wire(&update.counters),
        }))
    }

    /// Transfers shares to peers with more demand.
    pub(super) fn rebalance_rights(&self) {
        if self.may_spend() && !self.is_leaving() {
            let summaries = self.peer_summaries();
            let now = self.now();
            self.rights.borrow_mut().ledger.rebalance(&summaries, now);
        }
    }
}
