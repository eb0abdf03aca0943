//! Enforces the teams' fleet-wide rate limits.
//!
//! One instance of each data centre, the quota holder, holds the data centre's
//! share of every limit; the others request a token from it for each request.
//! Divided among all instances, a low limit would leave each with so few tokens
//! that a good part of the requests would be rejected by chance. A token
//! request within the data centre takes a fraction of a millisecond. An instance
//! without a quota holder uses a small share of its own. The shares of all
//! instances never add up to more than the limit ([`ShareLedger`]).

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use serde_json::json;
use tarragonpulley_policy::entry::config::TeamRule;
use tarragonpulley_policy::entry::digest::{InstanceDigest, InstanceRecord, QuotaRole, SectionTag};
use tarragonpulley_policy::entry::names::TeamName;
use tarragonpulley_policy::entry::quota::{QuotaBound, QuotaDecision, TeamQuota};
use tarragonpulley_policy::entry::team_shares::{
    ShareEvent, ShareLedger, ShareSection, ShareSummary, TeamTag,
};
use tokio::sync::oneshot;

use crate::instance::Instance;
use crate::peers::{PeerMessage, decode_section};

/// Timeout for a response of the quota holder. A machine that has used up its
/// processor time may be suspended for the rest of a tenth of a second.
const QUOTA_HOLDER_TIMEOUT: Duration = Duration::from_millis(130);

/// Time for which a quota holder that did not respond gets no requests.
const QUOTA_HOLDER_RETRY_DELAY: Duration = Duration::from_secs(1);

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

/// A response to a token request.
#[derive(Debug, Clone, Copy)]
enum TokenOutcome {
    /// The holder decided; `None` if a token was granted.
    Decided(Option<Duration>),
    /// The instance that was asked is not the holder.
    NotHolder,
}

/// This instance's token buckets, and its pending requests for tokens.
#[derive(Debug)]
pub(crate) struct TeamLimits {
    /// The data centre's share, used while this instance is the quota holder.
    pub(crate) centre_quota: RefCell<TeamQuota>,
    /// This instance's share while it has no quota holder.
    fallback_quota: RefCell<TeamQuota>,
    shares: RefCell<ShareLedger>,
    logged_shares: Cell<ShareSummary>,
    pending: RefCell<BTreeMap<u64, oneshot::Sender<TokenOutcome>>>,
    next_id: Cell<u64>,
    holder_unreachable_until: Cell<Option<Instant>>,
}

impl TeamLimits {
    /// Creates the state of an instance that starts at `now` by the clock of proofs.
    pub(crate) fn new(
        bound: QuotaBound,
        record: &InstanceRecord,
        centres: usize,
        now: Instant,
    ) -> Self {
        Self {
            centre_quota: RefCell::new(TeamQuota::new(bound)),
            fallback_quota: RefCell::new(TeamQuota::for_member(bound)),
            shares: RefCell::new(ShareLedger::new(record, centres, now)),
            logged_shares: Cell::default(),
            pending: RefCell::default(),
            next_id: Cell::new(0),
            holder_unreachable_until: Cell::new(None),
        }
    }

    /// Passes a response to the task that waits for it.
    pub(crate) fn complete_request(&self, response: TokenResponse) {
        self.complete(response.id, TokenOutcome::Decided(response.wait));
    }

    /// Tells the task that waits for a response that the holder has changed.
    pub(crate) fn refuse_request(&self, id: u64) {
        self.complete(id, TokenOutcome::NotHolder);
    }

    fn complete(&self, id: u64, outcome: TokenOutcome) {
        if let Some(waiter) = self.pending.borrow_mut().remove(&id) {
            // Fails if the waiting task was dropped meanwhile. The token is
            // then lost, which keeps within the limit.
            let _unclaimed = waiter.send(outcome);
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
    fn register_request(&self) -> (PendingTokenRequest<'_>, oneshot::Receiver<TokenOutcome>) {
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
        if self.limits.shares.borrow().follows_itself() {
            return self.acquire_centre_token(&team.name, rate, team.burst);
        }
        let holder = match self.peers.borrow().quota_role(now) {
            QuotaRole::Member(holder) => Some(holder.clone()),
            QuotaRole::Holder | QuotaRole::Unsure => None,
        };
        let Some(holder) = holder else {
            return self.acquire_fallback_token(&team.name, rate, team.burst);
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
            match outcome {
                Ok(Ok(TokenOutcome::Decided(wait))) => return wait,
                Ok(Ok(TokenOutcome::NotHolder)) => {}
                Ok(Err(_)) | Err(_) => {
                    self.limits
                        .holder_unreachable_until
                        .set(Some(self.now() + QUOTA_HOLDER_RETRY_DELAY));
                    self.log
                        .event("keeper_silent", json!({"keeper": holder.name.as_str()}));
                }
            }
        }
        self.acquire_fallback_token(&team.name, rate, team.burst)
    }

    /// Responds to a token request of another instance of the data centre.
    pub(crate) fn token_response(&self, request: &TokenRequest) -> PeerMessage {
        if !self.limits.shares.borrow().follows_itself() {
            self.metrics.quota.tokens_refused.inc();
            return PeerMessage::NotHolder(request.id);
        }
        PeerMessage::Grant(TokenResponse {
            id: request.id,
            wait: self.acquire_centre_token(&request.team, request.rate, request.burst),
        })
    }

    /// Takes a token of the data centre's share, as its holder.
    fn acquire_centre_token(&self, team: &TeamName, rate: f64, burst: f64) -> Option<Duration> {
        let (now, proof_now) = (self.now(), self.proof_now());
        let shares = self.limits.shares.borrow();
        let share = shares.holder_share(TeamTag::new(team), proof_now);
        let mut quota = self.limits.centre_quota.borrow_mut();
        quota.set_holders(shares.centre_count(proof_now));
        token_wait(quota.try_acquire_share(team, (rate, burst), share, now))
    }

    fn acquire_fallback_token(&self, team: &TeamName, rate: f64, burst: f64) -> Option<Duration> {
        let (now, proof_now) = (self.now(), self.proof_now());
        let shares = self.limits.shares.borrow();
        let share = shares.member_share(proof_now);
        let mut quota = self.limits.fallback_quota.borrow_mut();
        quota.set_holders(shares.centre_count(proof_now) * shares.member_count(proof_now));
        token_wait(quota.try_acquire_share(team, (rate, burst), share, now))
    }

    /// The section on shares for an own digest, while the configuration has a team with a
    /// limit.
    pub(crate) fn share_section(
        &self,
        sequence: u64,
        demands: &[(TeamName, f64)],
    ) -> Option<Vec<u8>> {
        let config = self.config.borrow().clone()?;
        let teams = config.teams.values();
        let rates: BTreeMap<TeamName, f64> = teams
            .filter_map(|team| Some((team.name.clone(), team.rate?)))
            .collect();
        if rates.is_empty() {
            return None;
        }
        let (now, proof_now) = (self.now(), self.proof_now());
        let section = {
            let mut shares = self.limits.shares.borrow_mut();
            let mut quota = self.limits.centre_quota.borrow_mut();
            let share = |team: &TeamName| shares.holder_share(TeamTag::new(team), proof_now);
            quota.refill_all(share, now);
            let peers = self.peers.borrow();
            shares.set_known(peers.known_instances());
            let holder = match peers.quota_role(now) {
                QuotaRole::Holder => Some(peers.own()),
                QuotaRole::Member(holder) => Some(holder),
                QuotaRole::Unsure => None,
            };
            shares.publish(sequence, holder, demands, &rates, proof_now)
        };
        self.log_shares();
        self.encode_section(&section)
    }

    /// Applies the section on shares of a new digest of another instance.
    pub(crate) fn receive_shares(&self, digest: &InstanceDigest) {
        let section = match decode_section::<ShareSection>(digest, SectionTag::QUOTA_SHARES) {
            None => None,
            Some(Ok(section)) => Some(section),
            Some(Err(_)) if is_abridged(digest) => Some(ShareSection::default()),
            Some(Err(error)) => {
                self.log_ignored_extension(&digest.record.name, &error);
                None
            }
        };
        let mut shares = self.limits.shares.borrow_mut();
        let is_waited_for = shares.receive(digest, section, self.proof_now());
        drop(shares);
        if is_waited_for {
            self.digest_requested.notify_one();
        }
    }

    /// Logs and counts changes of this instance's role and loans.
    fn log_shares(&self) {
        let (events, summary) = {
            let mut shares = self.limits.shares.borrow_mut();
            (shares.take_events(), shares.summary(self.proof_now()))
        };
        for event in events {
            if event == ShareEvent::MainObtained {
                self.limits.centre_quota.borrow_mut().reset_buckets();
            }
            let name = match event {
                ShareEvent::MainObtained => "quota_obtained",
                ShareEvent::MainCleared => "quota_cleared",
                ShareEvent::MainLost => "quota_lost",
            };
            self.log
                .event(name, json!({"followers": summary.followers}));
        }
        let gauge = |count: usize| i64::try_from(count).unwrap_or(i64::MAX);
        self.metrics.quota.followers.set(gauge(summary.followers));
        self.metrics
            .quota
            .loans_given
            .set(gauge(summary.loans_given));
        self.metrics
            .quota
            .loans_received
            .set(gauge(summary.loans_received));
        let logged = self.limits.logged_shares.replace(summary);
        let loans = |summary: ShareSummary| (summary.loans_given, summary.loans_received);
        if loans(logged) != loans(summary) {
            self.log.event(
                "quota_loans",
                json!({"given": summary.loans_given, "received": summary.loans_received}),
            );
        }
    }
}

/// Whether the section on shares says only that the sender knows shares.
fn is_abridged(digest: &InstanceDigest) -> bool {
    let section = digest.sections.get(&SectionTag::QUOTA_SHARES);
    section.is_some_and(Vec::is_empty)
}

/// Empties the section on shares of a digest that goes to other data centres, unless it
/// is that of a holder.
pub(crate) fn abridge_shares(mut digest: InstanceDigest) -> InstanceDigest {
    let section = decode_section::<ShareSection>(&digest, SectionTag::QUOTA_SHARES);
    if let Some(Ok(section)) = section
        && !section.has_claim()
    {
        digest.sections.insert(SectionTag::QUOTA_SHARES, Vec::new());
    }
    digest
}

fn token_wait(decision: QuotaDecision) -> Option<Duration> {
    match decision {
        QuotaDecision::Admit => None,
        QuotaDecision::Reject { retry_after } => Some(retry_after),
    }
}
