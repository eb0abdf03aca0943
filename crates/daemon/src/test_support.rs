//! Access to internal modules for the integration tests of this crate.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use prometheus_client::registry::Registry;
use tarragonpulley_backing::{InstanceList, TableService};
use tarragonpulley_policy::clock::TimeSource;
use tarragonpulley_policy::facts::{FactKey, FactValue};
use tarragonpulley_policy::ids::{CentreName, IncarnationId, LimitKey, MoveName, TeamKey};
use tarragonpulley_policy::snapshot::{ConfigSnapshot, KeyDigest, MoveRecord};
use tarragonpulley_policy::timeline::{EventRecord, HybridTimestamp};
use tarragonpulley_policy::units::ConfigRevision;
use tokio::net::TcpListener;

use crate::fleet::{FleetOptions, FleetState};
use crate::interfaces::{AdmitOutcome, ChangeOutcome, ConfigEdit, MemberView, ProofState};

/// Options of a [`FleetNode`].
#[derive(Debug)]
pub struct NodeOptions {
    /// The incarnation to run as.
    pub incarnation: IncarnationId,
    /// The data centre of the instance.
    pub centre: CentreName,
    /// The peer listener.
    pub listener: TcpListener,
    /// The address of the listener, which is also given as service address.
    pub address: SocketAddr,
    /// The time source.
    pub clock: Rc<dyn TimeSource>,
    /// The table service.
    pub table: Rc<dyn TableService>,
    /// The list of instances.
    pub list: Rc<dyn InstanceList>,
}

/// The fleet state of one instance, without its service and operator ports.
#[derive(Debug)]
pub struct FleetNode {
    state: FleetState,
    registry: Registry,
}

impl FleetNode {
    /// Starts the state on the runtime of the current thread.
    #[must_use]
    pub fn start(options: NodeOptions) -> Self {
        let mut registry = Registry::default();
        let options = FleetOptions {
            own: options.incarnation,
            centre: options.centre,
            service_address: options.address,
            peer_address: options.address,
            listener: options.listener,
            clock: options.clock,
            table: options.table,
            list: options.list,
        };
        let state = FleetState::start(options, &mut registry);
        Self { state, registry }
    }

    /// Resolves once the configuration has been proved current for the first time.
    pub async fn ready(&self) {
        self.state.ready().await;
    }

    /// The current configuration.
    #[must_use]
    pub fn snapshot(&self) -> Rc<ConfigSnapshot> {
        self.state.config().snapshot()
    }

    /// The age of the proof, or `None` if there is no valid one.
    #[must_use]
    pub fn proof_age(&self) -> Option<Duration> {
        match self.state.config().proof() {
            ProofState::Proved(age) => Some(age),
            ProofState::Missing => None,
        }
    }

    /// Whether requests with the key are rejected, because it is withdrawn or
    /// there is no proof.
    #[must_use]
    pub fn rejects_key(&self, digest: &KeyDigest) -> bool {
        self.proof_age().is_none() || self.state.config().is_withdrawn(digest)
    }

    /// Whether the key is known to be withdrawn.
    #[must_use]
    pub fn is_withdrawn(&self, digest: &KeyDigest) -> bool {
        self.state.config().is_withdrawn(digest)
    }

    async fn change(&self, edit: ConfigEdit) -> Result<ConfigRevision, String> {
        match self.state.config().change(edit).await {
            ChangeOutcome::Accepted(revision) => Ok(revision),
            other => Err(format!("{other:?}")),
        }
    }

    /// Applies a contract.
    ///
    /// # Errors
    ///
    /// The outcome, when it is not `Accepted`.
    pub async fn put_contract(
        &self,
        text: &str,
        base: Option<ConfigRevision>,
    ) -> Result<ConfigRevision, String> {
        let files = vec![("test.toml".to_owned(), text.to_owned())];
        self.change(ConfigEdit::PutContracts { files, base }).await
    }

    /// Grants a key.
    ///
    /// # Errors
    ///
    /// The outcome, when it is not `Accepted`.
    pub async fn grant_key(
        &self,
        digest: KeyDigest,
        team: TeamKey,
    ) -> Result<ConfigRevision, String> {
        self.change(ConfigEdit::GrantKey(digest, team)).await
    }

    /// Withdraws a key.
    ///
    /// # Errors
    ///
    /// The outcome, when it is not `Accepted`.
    pub async fn withdraw_key(&self, digest: KeyDigest) -> Result<ConfigRevision, String> {
        self.change(ConfigEdit::WithdrawKey(digest)).await
    }

    /// Writes a move.
    ///
    /// # Errors
    ///
    /// The outcome, when it is not `Accepted`.
    pub async fn put_move(
        &self,
        name: MoveName,
        epoch: u64,
        record: MoveRecord,
    ) -> Result<ConfigRevision, String> {
        let edit = ConfigEdit::PutMove {
            name,
            epoch,
            record,
        };
        self.change(edit).await
    }

    /// Publishes a fact.
    pub fn publish_fact(&self, key: FactKey, value: FactValue, urgent: bool) {
        self.state.facts().publish(key, value, urgent);
    }

    /// The value of a fact.
    #[must_use]
    pub fn fact(&self, key: &FactKey) -> Option<FactValue> {
        self.state.facts().get(key)
    }

    /// Names of the other reachable instances, with their leaving flags.
    #[must_use]
    pub fn reachable_peers(&self) -> Vec<(String, bool)> {
        let others = self.state.members().members();
        let reachable =
            |view: &MemberView| view.reachable && view.incarnation != Some(self.incarnation());
        others
            .iter()
            .filter(|view| reachable(view))
            .map(|view| (view.instance.to_string(), view.leaving))
            .collect()
    }

    /// The current incarnation.
    #[must_use]
    pub fn incarnation(&self) -> IncarnationId {
        self.state.own()
    }

    /// Takes a token of a rate limit, waiting at most for `timeout`.
    ///
    /// # Errors
    ///
    /// The outcome, when it is not `Admitted`.
    pub async fn admit(&self, limit: LimitKey, timeout: Duration) -> Result<(), String> {
        let deadline = Instant::now() + timeout;
        match self.state.rights().admit(limit, deadline).await {
            AdmitOutcome::Admitted => Ok(()),
            other => Err(format!("{other:?}")),
        }
    }

    /// Takes a slot of each limit, held until the returned value is dropped.
    #[must_use]
    pub fn take_slots(&self, limits: &[LimitKey]) -> Option<impl Sized + use<>> {
        self.state.rights().take_slots(limits)
    }

    /// Requests slots from peers, waiting at most for `timeout`.
    pub async fn request_slots(&self, limits: Vec<LimitKey>, timeout: Duration) {
        let deadline = Instant::now() + timeout;
        self.state.rights().request_slots(limits, deadline).await;
    }

    /// Shares of a limit that this instance holds.
    #[must_use]
    pub fn shares(&self, limit: &LimitKey) -> u64 {
        self.state.shares(limit)
    }

    /// Leaves the fleet. Returns whether the peers acknowledged within `timeout`.
    pub async fn leave(&self, timeout: Duration) -> bool {
        self.state.leave(timeout).await
    }

    /// Records an event.
    pub fn record(&self, kind: &str, subject: &str) {
        self.state.events().record(kind, subject, "");
    }

    /// Merged events of all reachable instances, at most `max_events`.
    pub async fn fleet_events(&self, max_events: usize) -> Vec<EventRecord> {
        let events = self.state.events();
        events
            .fleet_events(HybridTimestamp::default(), max_events)
            .await
    }

    /// The value of a metric without labels.
    #[must_use]
    pub fn metric(&self, name: &str) -> Option<f64> {
        let mut text = String::new();
        prometheus_client::encoding::text::encode(&mut text, &self.registry).ok()?;
        let line = text
            .lines()
            .find_map(|line| line.strip_prefix(name)?.strip_prefix(' '));
        line?.parse().ok()
    }
}
