//! Enforces the teams' fleet-wide rate limits.
//!
//! One instance of each data centre, the quota holder, holds the data centre's
//! share of every limit; the others request a token from it for each request.
//! Divided among all instances, a low limit would leave each with so few tokens
//! that a good part of the requests would be rejected by chance. A token
//! request within the data centre takes a fraction of a millisecond. An
//! instance whose quota holder does not respond uses a small share of its own,
//! and so does one that may not be the only holder.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use serde_json::json;
use tarragonpulley_policy::entry::config::TeamRule;
use tarragonpulley_policy::entry::digest::QuotaRole;
use tarragonpulley_policy::entry::names::TeamName;
use tarragonpulley_policy::entry::quota::{QuotaBound, QuotaDecision, TeamQuota};
use tokio::sync::oneshot;

use crate::instance::Instance;
use crate::peers::PeerMessage;

/// Timeout for a response of the quota holder. A machine that has used up its
/// processor time may be suspended for the rest of a tenth of a second.
const QUOTA_HOLDER_TIMEOUT: Duration = Duration::from_millis(130);

/// Time for which a quota holder that did not respond gets no requests.
const QUOTA_HOLDER_RETRY_DELAY: Duration = Duration::from_secs(1);

/// The instances that cannot reach their quota holder together use the data
/// centre's share divided by this. The holder may be live and use the whole
/// share meanwhile.
const FALLBACK_DIVISOR: usize = 2;

/// A request to the quota holder for one token.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct TokenRequest {
    pub(crate) id: u64,
    pub(crate) team: TeamName,
    /// The team's requests per second, from the sender's configuration.
    pub(crate) rate: f64,
    /// The number of requests that the team may send at once.
    pub(crate) burst: f64,
}

/// The quota holder's response; `id` is that of the request.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub(crate) struct TokenResponse {
    pub(crate) id: u64,
    /// `None` if a token was granted, otherwise the time until the next one.
    pub(crate) wait: Option<Duration>,
}

/// This instance's token buckets, and its pending requests for tokens.
#[derive(Debug)]
pub(crate) struct TeamLimits {
    /// The data centre's share, used while this instance is the quota holder.
    pub(crate) centre_quota: RefCell<TeamQuota>,
    /// This instance's share while its quota holder does not respond.
    fallback_quota: RefCell<TeamQuota>,
    pending: RefCell<BTreeMap<u64, oneshot::Sender<TokenResponse>>>,
    next_id: Cell<u64>,
    holder_unreachable_until: Cell<Option<Instant>>,
}

impl TeamLimits {
    pub(crate) fn new(bound: QuotaBound) -> Self {
        Self {
            centre_quota: RefCell::new(TeamQuota::new(bound)),
            fallback_quota: RefCell::new(TeamQuota::new(bound)),
            pending: RefCell::default(),
            next_id: Cell::new(0),
            holder_unreachable_until: Cell::new(None),
        }
    }

    /// Passes a response to the task that waits for it.
    pub(crate) fn complete_request(&self, response: TokenResponse) {
        if let Some(waiter) = self.pending.borrow_mut().remove(&response.id) {
            // Fails if the waiting task was dropped meanwhile. The token is
            // then lost, which keeps within the limit.
            let _unclaimed = waiter.send(response);
        }
    }
}

/// A request to the quota holder without a response yet. Removed when dropped,
/// also when the caller leaves meanwhile.
struct PendingTokenRequest<'a> {
    limits: &'a TeamLimits,
    id: u64,
}

impl Drop for PendingTokenRequest<'_> {
    fn drop(&mut self) {
        self.limits.pending.borrow_mut().remove(&self.id);
    }
}

impl TeamLimits {
    /// Registers a token request under a new id.
    fn register_request(&self) -> (PendingTokenRequest<'_>, oneshot::Receiver<TokenResponse>) {
        let id = self.next_id.get();
        self.next_id.set(id + 1);
        let (sender, receiver) = oneshot::channel();
        self.pending.borrow_mut().insert(id, sender);
        (PendingTokenRequest { limits: self, id }, receiver)
    }
}

impl Instance {
    /// Takes a token for a request of a team. Returns the time until the next
    /// token if there is none.
    pub(crate) async fn acquire_token(&self, team: &TeamRule) -> Option<Duration> {
        let rate = team.rate?;
        let now = self.now();
        let holder = match self.peers.borrow().quota_role(now) {
            QuotaRole::Holder => None,
            QuotaRole::Member(holder) => Some(holder.clone()),
            QuotaRole::Unsure => {
                return self.acquire_fallback_token(&team.name, rate, team.burst);
            }
        };
        let Some(holder) = holder else {
            return self.acquire_centre_token(&team.name, rate, team.burst);
        };
        let is_unreachable = self
            .limits
            .holder_unreachable_until
            .get()
            .is_some_and(|until| now < until);
        if !is_unreachable {
            let (pending, receiver) = self.limits.register_request();
            let request = TokenRequest {
                id: pending.id,
                team: team.name.clone(),
                rate,
                burst: team.burst,
            };
            self.send_message(holder.peer, &PeerMessage::Ask(request))
                .await;
            let outcome = tokio::time::timeout(QUOTA_HOLDER_TIMEOUT, receiver).await;
            drop(pending);
            if let Ok(Ok(response)) = outcome {
                return response.wait;
            }
            self.limits
                .holder_unreachable_until
                .set(Some(self.now() + QUOTA_HOLDER_RETRY_DELAY));
            self.log
                .event("keeper_silent", json!({"keeper": holder.name.as_str()}));
        }
        self.acquire_fallback_token(&team.name, rate, team.burst)
    }

    /// Takes a token of the data centre's share.
    pub(crate) fn acquire_centre_token(
        &self,
        team: &TeamName,
        rate: f64,
        burst: f64,
    ) -> Option<Duration> {
        let now = self.now();
        let mut quota = self.limits.centre_quota.borrow_mut();
        quota.set_holders(self.peers.borrow().centre_count(now));
        token_wait(quota.try_acquire(team, rate, burst, now))
    }

    fn acquire_fallback_token(&self, team: &TeamName, rate: f64, burst: f64) -> Option<Duration> {
        let now = self.now();
        let mut quota = self.limits.fallback_quota.borrow_mut();
        let peers = self.peers.borrow();
        let members = peers.centre_members(now);
        quota.set_holders(peers.centre_count(now) * members * FALLBACK_DIVISOR);
        token_wait(quota.try_acquire(team, rate, burst, now))
    }
}

fn token_wait(decision: QuotaDecision) -> Option<Duration> {
    match decision {
        QuotaDecision::Admit => None,
        QuotaDecision::Reject { retry_after } => Some(retry_after),
    }
}
