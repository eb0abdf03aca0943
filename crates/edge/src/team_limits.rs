//! Admits requests within the teams' fleet-wide limits.
//!
//! One instance of each data centre, the keeper, holds the data centre's part
//! of every limit; the others ask it for each request. Divided among all
//! instances, the tokens of a team with a low limit would be spread so thin
//! that chance refuses a good part of its requests. A question within the data
//! centre costs a fraction of a millisecond. An instance whose keeper does not
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

/// How long an instance waits for its keeper. A machine may stand still for the
/// rest of a tenth of a second when it has used up its processor time.
const KEEPER_LIMIT: Duration = Duration::from_millis(130);

/// Time in which a keeper that did not answer is not asked.
const KEEPER_RETRY: Duration = Duration::from_secs(1);

/// The part of its data centre's limit that the instances without a keeper may
/// use together. The keeper may be alive and use its own part meanwhile.
const FALLBACK_PART: usize = 2;

/// A question to the keeper, and its answer with the same id.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct TokenAsk {
    pub(crate) id: u64,
    pub(crate) team: TeamName,
    /// The team's requests per second, from the asker's configuration.
    pub(crate) rate: f64,
    /// The team's burst.
    pub(crate) burst: f64,
}

/// The keeper's answer.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub(crate) struct TokenGrant {
    pub(crate) id: u64,
    /// `None` if a token was granted, otherwise the time until the next one.
    pub(crate) wait: Option<Duration>,
}

/// The teams' limits as this instance takes part in them.
#[derive(Debug)]
pub(crate) struct TeamLimits {
    /// The data centre's part, used while this instance is the keeper.
    pub(crate) kept: RefCell<TeamQuota>,
    /// This instance's part while its keeper does not answer.
    fallback: RefCell<TeamQuota>,
    asked: RefCell<BTreeMap<u64, oneshot::Sender<TokenGrant>>>,
    next_id: Cell<u64>,
    silent_until: Cell<Option<Instant>>,
}

impl TeamLimits {
    pub(crate) fn new(bound: QuotaBound) -> Self {
        Self {
            kept: RefCell::new(TeamQuota::new(bound)),
            fallback: RefCell::new(TeamQuota::new(bound)),
            asked: RefCell::default(),
            next_id: Cell::new(0),
            silent_until: Cell::new(None),
        }
    }

    /// Hands an answer to the request that waits for it.
    pub(crate) fn granted(&self, grant: TokenGrant) {
        if let Some(waiting) = self.asked.borrow_mut().remove(&grant.id) {
            // Without effect if the request was given up meanwhile; the token is
            // then lost, which errs on the safe side.
            let _unclaimed = waiting.send(grant);
        }
    }
}

/// A question to the keeper that is not answered yet. Forgotten when dropped,
/// also when the caller leaves meanwhile.
struct OpenQuestion<'a> {
    limits: &'a TeamLimits,
    id: u64,
}

impl Drop for OpenQuestion<'_> {
    fn drop(&mut self) {
        self.limits.asked.borrow_mut().remove(&self.id);
    }
}

impl TeamLimits {
    /// Opens a question under a new id.
    fn open(&self) -> (OpenQuestion<'_>, oneshot::Receiver<TokenGrant>) {
        let id = self.next_id.get();
        self.next_id.set(id + 1);
        let (sender, receiver) = oneshot::channel();
        self.asked.borrow_mut().insert(id, sender);
        (OpenQuestion { limits: self, id }, receiver)
    }
}

impl Instance {
    /// Takes a token for a request of a team; `Some` is the time until the next
    /// token, if there is none.
    pub(crate) async fn take_token(&self, team: &TeamRule) -> Option<Duration> {
        let rate = team.rate?;
        let now = self.now();
        let Some(keeper) = self.peers.borrow().quota_holder(now).cloned() else {
            return self.take_kept(&team.name, rate, team.burst);
        };
        let is_silent = self
            .limits
            .silent_until
            .get()
            .is_some_and(|until| now < until);
        if !is_silent {
            let (question, receiver) = self.limits.open();
            let ask = TokenAsk {
                id: question.id,
                team: team.name.clone(),
                rate,
                burst: team.burst,
            };
            self.tell(keeper.peer, &PeerMessage::Ask(ask)).await;
            let answer = tokio::time::timeout(KEEPER_LIMIT, receiver).await;
            drop(question);
            if let Ok(Ok(grant)) = answer {
                return grant.wait;
            }
            self.limits
                .silent_until
                .set(Some(self.now() + KEEPER_RETRY));
            self.log
                .event("keeper_silent", json!({"keeper": keeper.name.as_str()}));
        }
        self.take_fallback(&team.name, rate, team.burst)
    }

    /// Takes a token of the data centre's part.
    pub(crate) fn take_kept(&self, team: &TeamName, rate: f64, burst: f64) -> Option<Duration> {
        let now = self.now();
        let mut quota = self.limits.kept.borrow_mut();
        quota.set_holders(self.peers.borrow().centre_count(now));
        wait_of(quota.try_acquire(team, rate, burst, now))
    }

    fn take_fallback(&self, team: &TeamName, rate: f64, burst: f64) -> Option<Duration> {
        let now = self.now();
        let mut quota = self.limits.fallback.borrow_mut();
        let peers = self.peers.borrow();
        let members = peers.centre_peers().count() + 1;
        quota.set_holders(peers.centre_count(now) * members * FALLBACK_PART);
        wait_of(quota.try_acquire(team, rate, burst, now))
    }
}

fn wait_of(verdict: QuotaDecision) -> Option<Duration> {
    match verdict {
        QuotaDecision::Admit => None,
        QuotaDecision::Reject { retry_after } => Some(retry_after),
    }
}
