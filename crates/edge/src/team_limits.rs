//! Admits requests within the teams' fleet-wide limits.
//!
//! One instance of each data centre, the holder, holds the data centre's part
//! of every limit; the others request it for each request. Divided among all
//! instances, the tokens of a team with a low limit would be spread so thin
//! that chance refuses a good part of its requests. A pending within the data
//! centre costs a fraction of a millisecond. An instance whose holder does not
//! answer falls back on a small part of its own.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use serde_json::json;
use tarragonpulley_policy::entry::config::TeamRule;
use tarragonpulley_policy::entry::names::TeamName;
use tarragonpulley_policy::entry::quota::{QuotaBound, QuotaDecision, TeamQuota};
use tokio::sync::oneshot;

use crate::instance::Instance;
use crate::peers::PeerMessage;

/// How long an instance waits for its holder. A machine may stand still for the
/// rest of a tenth of a second when it has used up its processor time.
const QUOTA_HOLDER_TIMEOUT: Duration = Duration::from_millis(130);

/// Time in which a holder that did not answer is not pending.
const QUOTA_HOLDER_RETRY_DELAY: Duration = Duration::from_secs(1);

/// The part of its data centre's limit that the instances without a holder may
/// use together. The holder may be alive and use its own part meanwhile.
const FALLBACK_DIVISOR: usize = 2;

/// A pending to the holder, and its answer with the same id.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct TokenRequest {
    pub(crate) id: u64,
    pub(crate) team: TeamName,
    /// The team's requests per second, from the asker's configuration.
    pub(crate) rate: f64,
    /// The team's burst.
    pub(crate) burst: f64,
}

/// The holder's answer.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub(crate) struct TokenResponse {
    pub(crate) id: u64,
    /// `None` if a token was granted, otherwise the time until the next one.
    pub(crate) wait: Option<Duration>,
}

/// The teams' limits as this instance takes part in them.
#[derive(Debug)]
pub(crate) struct TeamLimits {
    /// The data centre's part, used while this instance is the holder.
    pub(crate) centre_quota: RefCell<TeamQuota>,
    /// This instance's part while its holder does not answer.
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

    /// Hands an answer to the request that waits for it.
    pub(crate) fn complete_request(&self, response: TokenResponse) {
        if let Some(waiter) = self.pending.borrow_mut().remove(&response.id) {
            // Without effect if the request was given up meanwhile; the token is
            // then lost, which errs on the safe side.
            let _unclaimed = waiter.send(response);
        }
    }
}

/// A pending to the holder that is not answered yet. Forgotten when dropped,
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
    /// Opens a pending under a new id.
    fn register_request(&self) -> (PendingTokenRequest<'_>, oneshot::Receiver<TokenResponse>) {
        let id = self.next_id.get();
        self.next_id.set(id + 1);
        let (sender, receiver) = oneshot::channel();
        self.pending.borrow_mut().insert(id, sender);
        (PendingTokenRequest { limits: self, id }, receiver)
    }
}

impl Instance {
    /// Takes a token for a request of a team; `Some` is the time until the next
    /// token, if there is none.
    pub(crate) async fn acquire_token(&self, team: &TeamRule) -> Option<Duration> {
        let rate = team.rate?;
        let now = self.now();
        let Some(holder) = self.peers.borrow().quota_holder(now).cloned() else {
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

    /// Takes a token of the data centre's part.
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
        let members = peers.centre_peers().count() + 1;
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
