//! Fakes of the interfaces between modules, and a frontend on its own port.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::fmt::Write;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use actix_http::StatusCode;
use bytes::Bytes;
use futures_util::future::{LocalBoxFuture, ready};
use prometheus_client::registry::Registry;
use tarragonpulley_backing::{
    CommitOutcome, ObjectKey, ObjectStore, PlatformError, RowChange, RowCondition, RowKey,
    TableRow, TableService, TableSnapshot, TableTransaction,
};
use tarragonpulley_policy::clock::SystemClock;
use tarragonpulley_policy::contract::CustomerContract;
use tarragonpulley_policy::facts::{FactKey, FactStore, FactValue};
use tarragonpulley_policy::ids::{LimitKey, ServiceKey};
use tarragonpulley_policy::snapshot::{ConfigSnapshot, KeyDigest, KeyGrant};
use tarragonpulley_policy::timeline::{EventRecord, HybridTimestamp};
use tarragonpulley_policy::units::ConfigRevision;
use tokio::net::TcpListener;

use crate::frontend::{FrontendHandler, FrontendLimits, ServiceFrontend};
use crate::http_server::{HttpServer, HttpServerHandle, ServerLimits};
use crate::interfaces::{
    AdmitOutcome, AttemptReport, ChangeOutcome, ConfigEdit, ConfigSource, EventSink, EvidenceSink,
    GossipFacts, InstanceContext, MemberSource, MemberView, ProofState, RightsSource, SlotGuard,
};

pub(super) const KEY: &str = "key-of-counter";

/// Timeout of every wait in a test.
pub(super) const WAIT_TIMEOUT: Duration = Duration::from_secs(10);

/// Waits until a condition holds.
pub(super) async fn wait_until(what: &str, condition: impl Fn() -> bool) {
    let started = Instant::now();
    while !condition() {
        assert!(
            started.elapsed() < WAIT_TIMEOUT,
            "no {what} within {WAIT_TIMEOUT:?}"
        );
        actix_rt::time::sleep(Duration::from_millis(5)).await;
    }
}

#[derive(Debug)]
pub(super) struct FakeConfig {
    pub(super) snapshot: RefCell<Rc<ConfigSnapshot>>,
    pub(super) proved: Cell<bool>,
    pub(super) withdrawn: Cell<bool>,
}

impl ConfigSource for FakeConfig {
    fn snapshot(&self) -> Rc<ConfigSnapshot> {
        Rc::clone(&self.snapshot.borrow())
    }

    fn proof(&self) -> ProofState {
        if self.proved.get() {
            ProofState::Proved(Duration::ZERO)
        } else {
            ProofState::Missing
        }
    }

    fn is_withdrawn(&self, _digest: &KeyDigest) -> bool {
        self.withdrawn.get()
    }

    fn change(&self, _edit: ConfigEdit) -> LocalBoxFuture<'_, ChangeOutcome> {
        Box::pin(ready(ChangeOutcome::Refused("fake".to_owned())))
    }
}

#[derive(Debug)]
pub(super) struct FakeRights {
    pub(super) admitted: Cell<bool>,
    /// Total free slots of all servers.
    pub(super) free: Rc<Cell<u32>>,
}

#[derive(Debug)]
struct FakeSlot(Rc<Cell<u32>>);

impl SlotGuard for FakeSlot {}

impl Drop for FakeSlot {
    fn drop(&mut self) {
        self.0.set(self.0.get() + 1);
    }
}

impl RightsSource for FakeRights {
    fn admit(&self, _limit: LimitKey, _deadline: Instant) -> LocalBoxFuture<'_, AdmitOutcome> {
        Box::pin(ready(if self.admitted.get() {
            AdmitOutcome::Admitted
        } else {
            AdmitOutcome::Exceeded {
                retry_after: Duration::from_millis(70),
            }
        }))
    }

    fn take_slots(&self, _limits: &[LimitKey]) -> Option<Box<dyn SlotGuard>> {
        let left = self.free.get().checked_sub(1)?;
        self.free.set(left);
        Some(Box::new(FakeSlot(Rc::clone(&self.free))))
    }

    fn request_slots(&self, _limits: Vec<LimitKey>, deadline: Instant) -> LocalBoxFuture<'_, ()> {
        Box::pin(actix_rt::time::sleep_until(deadline.into()))
    }
}

#[derive(Debug, Default)]
pub(super) struct FakeFacts(pub(super) RefCell<FactStore>);

impl GossipFacts for FakeFacts {
    fn publish(&self, key: FactKey, value: FactValue, _urgent: bool) {
        self.0.borrow_mut().merge(key, value);
    }

    fn get(&self, key: &FactKey) -> Option<FactValue> {
        self.0.borrow().get(key).cloned()
    }

    fn select(&self, select: &dyn Fn(&FactKey) -> bool) -> Vec<(FactKey, FactValue)> {
        let store = self.0.borrow();
        let chosen = store.iter().filter(|(key, _)| select(key));
        chosen.map(|(k, v)| (k.clone(), v.clone())).collect()
    }
}

#[derive(Debug, Default)]
pub(super) struct FakeMembers(pub(super) RefCell<Vec<MemberView>>);

impl MemberSource for FakeMembers {
    fn members(&self) -> Vec<MemberView> {
        self.0.borrow().clone()
    }
}

#[derive(Debug)]
struct DiscardingSink;

impl EventSink for DiscardingSink {
    fn record(&self, _kind: &str, _subject: &str, _detail: &str) {}

    fn fleet_events(
        &self,
        _after: HybridTimestamp,
        _max_events: usize,
    ) -> LocalBoxFuture<'_, Vec<EventRecord>> {
        Box::pin(ready(Vec::new()))
    }
}

impl EvidenceSink for DiscardingSink {
    fn record_attempt(&self, _attempt: &AttemptReport) {}

    fn is_shift_harmful(&self, _service: &ServiceKey) -> bool {
        false
    }
}

/// Fault of the table for its next commit.
#[derive(Debug, Clone, Copy)]
pub(super) enum TableFault {
    /// The table is unavailable; the commit is not applied.
    Down,
    /// The commit is applied, but its response is lost.
    LoseResponse,
    /// There is no response, and the commit is applied by [`FakeTable::apply_late`].
    Late,
}

#[derive(Debug, Default)]
pub(super) struct FakeTable {
    pub(super) rows: RefCell<BTreeMap<RowKey, TableRow>>,
    revision: Cell<u64>,
    pub(super) faults: RefCell<VecDeque<TableFault>>,
    late: RefCell<Vec<TableTransaction>>,
    /// Number of the next reads of claims that fail.
    pub(super) failing_claim_reads: Cell<u32>,
    pub(super) commits: Cell<u32>,
    pub(super) delay: Cell<Duration>,
}

impl FakeTable {
    fn apply(&self, transaction: TableTransaction) -> CommitOutcome {
        let mut rows = self.rows.borrow_mut();
        let holds = |condition: &RowCondition| match condition {
            RowCondition::Absent(key) => !rows.contains_key(key),
            RowCondition::Unchanged(key, at) => rows.get(key).is_some_and(|r| r.modified == *at),
        };
        if !transaction.conditions.iter().all(holds) {
            return CommitOutcome::Conflict;
        }
        let modified = self.revision.get() + 1;
        self.revision.set(modified);
        for change in transaction.changes {
            match change {
                RowChange::Put(key, value) => {
                    rows.insert(key, TableRow { value, modified });
                }
                RowChange::Delete(key) => {
                    rows.remove(&key);
                }
            }
        }
        CommitOutcome::Committed(modified)
    }

    /// Applies the late commits. Returns their outcomes.
    pub(super) fn apply_late(&self) -> Vec<CommitOutcome> {
        let late = self.late.take();
        late.into_iter().map(|t| self.apply(t)).collect()
    }

    pub(super) fn text(&self, key: &str) -> String {
        let rows = self.rows.borrow();
        let row = rows.get(&RowKey::new(key));
        row.map_or_else(String::new, |r| String::from_utf8_lossy(&r.value).into())
    }
}

impl TableService for FakeTable {
    fn read(&self, prefix: RowKey) -> LocalBoxFuture<'_, Result<TableSnapshot, PlatformError>> {
        let failures = self.failing_claim_reads.get();
        if failures > 0 && prefix.as_str().starts_with("claim/") {
            self.failing_claim_reads.set(failures - 1);
            let error = PlatformError::NoResponse("fake".to_owned());
            return Box::pin(ready(Err(error)));
        }
        let rows = self.rows.borrow();
        let found = rows
            .iter()
            .filter(|(key, _)| key.as_str().starts_with(prefix.as_str()));
        let rows = found.map(|(k, v)| (k.clone(), v.clone())).collect();
        let revision = self.revision.get();
        Box::pin(ready(Ok(TableSnapshot { revision, rows })))
    }

    fn commit(&self, transaction: TableTransaction) -> LocalBoxFuture<'_, CommitOutcome> {
        Box::pin(async move {
            self.commits.set(self.commits.get() + 1);
            actix_rt::time::sleep(self.delay.get()).await;
            let fault = self.faults.borrow_mut().pop_front();
            match fault {
                None => self.apply(transaction),
                Some(TableFault::Down) => {
                    CommitOutcome::NotApplied(PlatformError::NotExecuted("fake".to_owned()))
                }
                Some(TableFault::LoseResponse) => {
                    self.apply(transaction);
                    CommitOutcome::Unknown(PlatformError::NoResponse("fake".to_owned()))
                }
                Some(TableFault::Late) => {
                    self.late.borrow_mut().push(transaction);
                    CommitOutcome::Unknown(PlatformError::NoResponse("fake".to_owned()))
                }
            }
        })
    }
}

#[derive(Debug, Default)]
pub(super) struct FakeObjects(pub(super) RefCell<BTreeMap<String, Bytes>>);

impl ObjectStore for FakeObjects {
    fn put(&self, key: ObjectKey, body: Bytes) -> LocalBoxFuture<'_, Result<(), PlatformError>> {
        self.0.borrow_mut().insert(key.as_str().to_owned(), body);
        Box::pin(ready(Ok(())))
    }

    fn get(&self, key: ObjectKey) -> LocalBoxFuture<'_, Result<Option<Bytes>, PlatformError>> {
        let body = self.0.borrow().get(key.as_str()).cloned();
        Box::pin(ready(Ok(body)))
    }

    fn delete(&self, key: ObjectKey) -> LocalBoxFuture<'_, Result<(), PlatformError>> {
        self.0.borrow_mut().remove(key.as_str());
        Box::pin(ready(Ok(())))
    }
}

/// Builds a contract with one service on the given backend servers.
pub(super) fn contract(servers: &[SocketAddr]) -> CustomerContract {
    let mut text = String::from(
        r#"
customer = "lunwan"
lookup = { valid_for = "5s", instances = 2 }
region = [{ name = "north", capacity = 100 }]
data_centre = [{ name = "n1", region = "north" }]
team = [{ name = "counter", rate = "100/s", burst = 10 }]
client_block = [{ prefix = "127.0.0.0/8", data_centre = "n1" }]
[[service]]
name = "desk"
version = "v1"
route = [
  { path = "/fit", methods = ["GET", "POST"], kind = "idempotent", timeout = "2s", max_body = "1KiB" },
  { path = "/open", methods = ["GET"], kind = "idempotent", open = true, timeout = "2s" },
  { path = "/book", methods = ["POST"], kind = "once", timeout = "1s" },
  { path = "/wear", methods = ["POST"], kind = "slow", timeout = "1s" },
]
"#,
    );
    for (index, address) in servers.iter().enumerate() {
        write!(
            text,
            "[[service.server]]\nname = \"s{index}\"\naddress = \"{address}\"\n\
             data_centre = \"n1\"\nslots = 4\nconnections = 330\nversion = \"v1\"\n"
        )
        .unwrap();
    }
    CustomerContract::parse("lunwan.toml", &text).unwrap()
}

pub(super) fn member(name: &str, port: u16) -> MemberView {
    MemberView {
        incarnation: Some(format!("{name}#1").parse().unwrap()),
        instance: name.parse().unwrap(),
        centre: "n1".parse().unwrap(),
        service_address: SocketAddr::from(([127, 0, 0, 1], port)),
        reachable: true,
        leaving: false,
        revision: ConfigRevision::new(1),
    }
}

/// A frontend whose other modules are fakes.
pub(super) struct TestInstance {
    pub(super) address: SocketAddr,
    _server: HttpServerHandle,
    pub(super) handler: FrontendHandler,
    pub(super) config: Rc<FakeConfig>,
    pub(super) rights: Rc<FakeRights>,
    pub(super) facts: Rc<FakeFacts>,
    pub(super) members: Rc<FakeMembers>,
    pub(super) table: Rc<FakeTable>,
    pub(super) objects: Rc<FakeObjects>,
    pub(super) registry: Registry,
}

impl TestInstance {
    pub(super) async fn start(servers: &[SocketAddr]) -> Self {
        Self::start_on(servers, Rc::default(), Rc::default(), "edge-1").await
    }

    pub(super) async fn start_on(
        servers: &[SocketAddr],
        table: Rc<FakeTable>,
        objects: Rc<FakeObjects>,
        name: &str,
    ) -> Self {
        let contract = contract(servers);
        let grant = KeyGrant {
            team: "lunwan/counter".parse().unwrap(),
            withdrawn: false,
        };
        let snapshot = ConfigSnapshot {
            revision: ConfigRevision::new(1),
            contracts: BTreeMap::from([(contract.customer.clone(), contract.into())]),
            keys: BTreeMap::from([(KeyDigest::of_key(KEY), grant)]),
            ..ConfigSnapshot::default()
        };
        let config = Rc::new(FakeConfig {
            snapshot: RefCell::new(Rc::new(snapshot)),
            proved: Cell::new(true),
            withdrawn: Cell::new(false),
        });
        let rights = Rc::new(FakeRights {
            admitted: Cell::new(true),
            free: Rc::new(Cell::new(100)),
        });
        let facts = Rc::new(FakeFacts::default());
        let members = Rc::new(FakeMembers::default());
        members.0.borrow_mut().push(member(name, 1));
        let context = InstanceContext {
            incarnation: format!("{name}#1").parse().unwrap(),
            centre: "n1".parse().unwrap(),
            clock: Rc::new(SystemClock),
            config: Rc::clone(&config) as _,
            rights: Rc::clone(&rights) as _,
            facts: Rc::clone(&facts) as _,
            members: Rc::clone(&members) as _,
            events: Rc::new(DiscardingSink),
            evidence: Rc::new(DiscardingSink),
            table: Rc::clone(&table) as _,
            objects: Rc::clone(&objects) as _,
        };
        let mut registry = Registry::default();
        let handler = ServiceFrontend::start(context, FrontendLimits::default(), &mut registry);
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let limits = ServerLimits::default();
        let server = HttpServer::start(listener, Rc::new(handler.clone()), limits);
        Self {
            address,
            _server: server,
            handler,
            config,
            rights,
            facts,
            members,
            table,
            objects,
            registry,
        }
    }

    /// Sends a request with the key of the team.
    pub(super) async fn send(&self, method: &str, path: &str, body: &str) -> TestResponse {
        self.send_with(method, path, body, &[]).await
    }

    pub(super) async fn send_with(
        &self,
        method: &str,
        path: &str,
        body: &str,
        headers: &[(&str, &str)],
    ) -> TestResponse {
        let method = method.parse().unwrap();
        let client = awc::Client::builder().disable_timeout().finish();
        let uri = format!("http://{}{path}", self.address);
        let mut request = client
            .request(method, uri)
            .insert_header(("authorization", format!("Bearer {KEY}")));
        for header in headers {
            request = request.insert_header(*header);
        }
        let sent = request.send_body(body.to_owned());
        let mut response = actix_rt::time::timeout(WAIT_TIMEOUT, sent)
            .await
            .unwrap()
            .unwrap();
        let body = response.body().await.unwrap();
        let header = |name| {
            let value = response.headers().get(name)?;
            Some(value.to_str().unwrap().to_owned())
        };
        TestResponse {
            status: response.status(),
            outcome: header("x-outcome").unwrap_or_default(),
            location: header("location").unwrap_or_default(),
            body: String::from_utf8_lossy(&body).into_owned(),
        }
    }

    /// The value of a counter.
    pub(super) fn counter(&self, name: &str) -> u64 {
        let mut text = String::new();
        prometheus_client::encoding::text::encode(&mut text, &self.registry).unwrap();
        let prefix = format!("{name}_total ");
        let line = text.lines().find_map(|line| line.strip_prefix(&prefix));
        line.unwrap().parse().unwrap()
    }
}

/// A response as received by a caller.
#[derive(Debug)]
pub(super) struct TestResponse {
    pub(super) status: StatusCode,
    pub(super) outcome: String,
    pub(super) location: String,
    pub(super) body: String,
}

impl TestResponse {
    /// Status, outcome and error name of a rejection.
    pub(super) fn rejection(&self) -> (u16, &str, String) {
        let body: serde_json::Value = serde_json::from_str(&self.body).unwrap();
        let error = body["error"].as_str().unwrap_or_default().to_owned();
        assert_eq!(body["outcome"].as_str(), Some(self.outcome.as_str()));
        (self.status.as_u16(), &self.outcome, error)
    }
}
