//! Starts instances over loopback, with a proxy on each link between them.

use std::cell::Cell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use tarragonpulley_backing::{ListedInstance, ListedState};
use tarragonpulley_daemon::test_support::{FleetNode, NodeOptions};
use tarragonpulley_policy::clock::{SystemClock, TimeSource};
use tarragonpulley_policy::ids::TeamKey;
use tarragonpulley_policy::snapshot::KeyDigest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use crate::platform::{FakeTable, ListView, TableView};

pub(crate) const CONTRACT: &str = r#"
customer = "lunwan"
[lookup]
valid_for = "10s"
instances = 2
[[region]]
name = "north"
capacity = 6
[[data_centre]]
name = "north-a"
region = "north"
[[team]]
name = "pram"
rate = "60/s"
burst = 60
[[service]]
name = "fitdesk"
version = "v1"
[[service.route]]
path = "/fit"
methods = ["GET"]
kind = "idempotent"
timeout = "2s"
[[service.server]]
name = "fit-1"
address = "127.0.0.1:9"
data_centre = "north-a"
slots = 4
connections = 100
version = "v1"
"#;

/// The longest wait for a condition that must come true. Only a failing test
/// waits this long.
pub(crate) const LIMIT: Duration = Duration::from_secs(10);

pub(crate) fn team() -> TeamKey {
    "lunwan/pram".parse().expect("a valid team")
}

pub(crate) fn digest(key: &str) -> KeyDigest {
    KeyDigest::of_key(key)
}

/// Waits until `condition` holds; returns how long that took.
pub(crate) async fn eventually(what: &str, condition: impl Fn() -> bool) -> Duration {
    let start = Instant::now();
    while !condition() {
        assert!(start.elapsed() < LIMIT, "{what}: not within {LIMIT:?}");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    start.elapsed()
}

/// One direction of calls between two instances. A cut link accepts
/// connections and bytes, and passes nothing on.
#[derive(Debug)]
pub(crate) struct LinkProxy {
    pub(crate) address: SocketAddr,
    cut: Rc<Cell<bool>>,
}

impl LinkProxy {
    async fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let cut = Rc::new(Cell::new(false));
        let flag = Rc::clone(&cut);
        actix_rt::spawn(async move {
            while let Ok((near, _)) = listener.accept().await {
                actix_rt::spawn(forward(near, target, Rc::clone(&flag)));
            }
        });
        Self { address, cut }
    }
}

async fn forward(mut near: TcpStream, target: SocketAddr, cut: Rc<Cell<bool>>) {
    let Ok(mut far) = TcpStream::connect(target).await else {
        return;
    };
    let (mut near_bytes, mut far_bytes) = ([0; 4096], [0; 4096]);
    loop {
        let (bytes, to) = tokio::select! {
            Ok(count) = near.read(&mut near_bytes) => (&near_bytes[..count], &mut far),
            Ok(count) = far.read(&mut far_bytes) => (&far_bytes[..count], &mut near),
            else => return,
        };
        if bytes.is_empty() {
            return;
        }
        if !cut.get() && to.write_all(bytes).await.is_err() {
            return;
        }
    }
}

/// An instance and its views of the platform.
#[derive(Debug)]
pub(crate) struct TestInstance {
    pub(crate) node: FleetNode,
    pub(crate) table: Rc<TableView>,
    pub(crate) list: Rc<ListView>,
}

impl TestInstance {
    fn start(
        own: &str,
        listener: TcpListener,
        clock: Rc<dyn TimeSource>,
        table: Rc<TableView>,
        list: Rc<ListView>,
    ) -> Self {
        let node = FleetNode::start(NodeOptions {
            incarnation: own.parse().expect("a valid incarnation"),
            centre: "north-a".parse().expect("a valid name"),
            address: listener.local_addr().expect("an address"),
            listener,
            clock,
            table: Rc::clone(&table) as _,
            list: Rc::clone(&list) as _,
        });
        Self { node, table, list }
    }
}

/// A fleet on one thread.
#[derive(Debug)]
pub(crate) struct TestFleet {
    pub(crate) table: Rc<FakeTable>,
    pub(crate) instances: Vec<TestInstance>,
    links: BTreeMap<(usize, usize), LinkProxy>,
    addresses: Vec<SocketAddr>,
}

fn listed(name: &str, address: SocketAddr) -> ListedInstance {
    ListedInstance {
        instance: name.parse().expect("a valid name"),
        centre: "north-a".parse().expect("a valid name"),
        service_address: address,
        peer_address: address,
        state: ListedState::Live,
    }
}

fn name(index: usize) -> String {
    format!("edge-{index}")
}

impl TestFleet {
    pub(crate) async fn start(count: usize) -> Self {
        Self::start_with(count, Rc::new(SystemClock)).await
    }

    pub(crate) async fn start_with(count: usize, clock: Rc<dyn TimeSource>) -> Self {
        let table = Rc::new(FakeTable::default());
        let mut listeners = Vec::new();
        for _ in 0..count {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
            let address = listener.local_addr().expect("an address");
            listeners.push((listener, address));
        }
        let mut links = BTreeMap::new();
        for from in 0..count {
            for to in (0..count).filter(|to| *to != from) {
                links.insert((from, to), LinkProxy::start(listeners[to].1).await);
            }
        }
        let addresses = listeners.iter().map(|(_, address)| *address).collect();
        let mut instances = Vec::new();
        for (index, (listener, address)) in listeners.into_iter().enumerate() {
            let list = Rc::new(ListView::default());
            for other in 0..count {
                let place = links.get(&(index, other)).map_or(address, |l| l.address);
                list.listed.borrow_mut().push(listed(&name(other), place));
            }
            let own = format!("{}#1", name(index));
            let table = TableView::new(&table);
            let clock = Rc::clone(&clock);
            instances.push(TestInstance::start(&own, listener, clock, table, list));
        }
        Self {
            table,
            instances,
            links,
            addresses,
        }
    }

    /// Starts a fleet with a contract and one key in force everywhere.
    pub(crate) async fn start_configured(count: usize) -> Self {
        let fleet = Self::start(count).await;
        fleet.connected().await;
        let first = &fleet.instances[0].node;
        first.put_contract(CONTRACT, None).await.expect("accepted");
        first
            .grant_key(digest("key"), team())
            .await
            .expect("accepted");
        fleet.all_know_key().await;
        fleet
    }

    pub(crate) fn node(&self, index: usize) -> &FleetNode {
        &self.instances[index].node
    }

    /// Where an instance listens, without a proxy.
    pub(crate) fn peer_address(&self, index: usize) -> SocketAddr {
        self.addresses[index]
    }

    /// Waits until each instance has a proof and hears from all others.
    pub(crate) async fn connected(&self) {
        let others = self.instances.len() - 1;
        for instance in &self.instances {
            instance.node.ready().await;
            let hears_all = || instance.node.reachable_peers().len() == others;
            eventually("all peers answer", hears_all).await;
        }
    }

    async fn all_know_key(&self) {
        for instance in &self.instances {
            let known = || instance.node.snapshot().keys.contains_key(&digest("key"));
            eventually("the key is known", known).await;
        }
    }

    /// Cuts or mends the link between two instances, both ways.
    pub(crate) fn cut(&self, one: usize, other: usize, cut: bool) {
        self.links[&(one, other)].cut.set(cut);
        self.links[&(other, one)].cut.set(cut);
    }

    /// Ends the last instance without any goodbye.
    pub(crate) fn kill_last(&mut self) {
        self.instances.pop();
    }

    /// Ends the last instance and starts another run of it.
    pub(crate) async fn restart_last(&mut self, number: u64) {
        let last = self.instances.pop().expect("an instance");
        let own = format!("{}#{number}", last.node.incarnation().instance);
        let address = self.addresses[self.instances.len()];
        let TestInstance { node, table, list } = last;
        drop(node);
        let listener = loop {
            // The port is free once the tasks of the earlier run have ended.
            match TcpListener::bind(address).await {
                Ok(listener) => break listener,
                Err(_) => tokio::time::sleep(Duration::from_millis(5)).await,
            }
        };
        let clock = Rc::new(SystemClock);
        let next = TestInstance::start(&own, listener, clock, table, list);
        self.instances.push(next);
    }

    /// Removes an instance from the list as all others see it.
    pub(crate) fn delist(&self, index: usize) {
        for instance in &self.instances {
            instance.list.hidden.borrow_mut().insert(name(index));
        }
    }

    /// Shows all instances in the list.
    pub(crate) fn list_all(&self) {
        for instance in &self.instances {
            instance.list.hidden.borrow_mut().clear();
        }
    }

    /// Removes an instance from the list, or shows it again.
    pub(crate) fn toggle_listed(&self, index: usize) {
        if self.instances[0].list.hidden.borrow().is_empty() {
            self.delist(index);
        } else {
            self.list_all();
        }
    }
}
