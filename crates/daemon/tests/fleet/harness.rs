//! Runs the instances of a fleet over loopback, with a proxy on each link between them.

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

/// Timeout of a wait for a condition. Only a failing test reaches it.
pub(crate) const WAIT_TIMEOUT: Duration = Duration::from_secs(10);

pub(crate) fn team() -> TeamKey {
    "lunwan/pram".parse().expect("a valid team")
}

pub(crate) fn digest(key: &str) -> KeyDigest {
    KeyDigest::of_key(key)
}

/// Waits until `condition` holds and returns the elapsed time.
pub(crate) async fn wait_until(what: &str, condition: impl Fn() -> bool) -> Duration {
    let start = Instant::now();
    while !condition() {
        assert!(
            start.elapsed() < WAIT_TIMEOUT,
            "{what}: not within {WAIT_TIMEOUT:?}"
        );
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    start.elapsed()
}

/// A TCP proxy for the calls of one instance to another. While the link is cut, it
/// accepts connections and bytes, and forwards nothing.
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
            while let Ok((client, _)) = listener.accept().await {
                actix_rt::spawn(forward(client, target, Rc::clone(&flag)));
            }
        });
        Self { address, cut }
    }
}

async fn forward(mut client: TcpStream, target: SocketAddr, cut: Rc<Cell<bool>>) {
    let Ok(mut server) = TcpStream::connect(target).await else {
        return;
    };
    let (mut client_bytes, mut server_bytes) = ([0; 4096], [0; 4096]);
    loop {
        let (bytes, to) = tokio::select! {
            Ok(count) = client.read(&mut client_bytes) => (&client_bytes[..count], &mut server),
            Ok(count) = server.read(&mut server_bytes) => (&server_bytes[..count], &mut client),
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

/// An instance with its own views of the table and the list.
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

/// A fleet whose instances run on one thread.
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

    /// Starts a fleet in which all instances have applied a contract and one key.
    pub(crate) async fn start_configured(count: usize) -> Self {
        let fleet = Self::start(count).await;
        fleet.wait_until_connected().await;
        let first = &fleet.instances[0].node;
        first.put_contract(CONTRACT, None).await.expect("accepted");
        first
            .grant_key(digest("key"), team())
            .await
            .expect("accepted");
        fleet.wait_until_key_is_known().await;
        fleet
    }

    pub(crate) fn node(&self, index: usize) -> &FleetNode {
        &self.instances[index].node
    }

    /// The address on which an instance listens, without the proxy.
    pub(crate) fn peer_address(&self, index: usize) -> SocketAddr {
        self.addresses[index]
    }

    /// Waits until each instance has a proof and reaches all others.
    pub(crate) async fn wait_until_connected(&self) {
        let others = self.instances.len() - 1;
        for instance in &self.instances {
            instance.node.ready().await;
            let all_reachable = || instance.node.reachable_peers().len() == others;
            wait_until("all peers are reachable", all_reachable).await;
        }
    }

    async fn wait_until_key_is_known(&self) {
        for instance in &self.instances {
            let known = || instance.node.snapshot().keys.contains_key(&digest("key"));
            wait_until("the key is known", known).await;
        }
    }

    /// Cuts or restores the link between two instances in both directions.
    pub(crate) fn cut(&self, one: usize, other: usize, cut: bool) {
        self.links[&(one, other)].cut.set(cut);
        self.links[&(other, one)].cut.set(cut);
    }

    /// Stops the last instance without an orderly shutdown.
    pub(crate) fn kill_last(&mut self) {
        self.instances.pop();
    }

    /// Stops the last instance and starts a new incarnation of it.
    pub(crate) async fn restart_last(&mut self, number: u64) {
        let last = self.instances.pop().expect("an instance");
        let own = format!("{}#{number}", last.node.incarnation().instance);
        let address = self.addresses[self.instances.len()];
        let TestInstance { node, table, list } = last;
        drop(node);
        let listener = loop {
            // The port is free once the tasks of the earlier incarnation have ended.
            match TcpListener::bind(address).await {
                Ok(listener) => break listener,
                Err(_) => tokio::time::sleep(Duration::from_millis(5)).await,
            }
        };
        let clock = Rc::new(SystemClock);
        let next = TestInstance::start(&own, listener, clock, table, list);
        self.instances.push(next);
    }

    /// Removes an instance from the list that all instances read.
    pub(crate) fn delist(&self, index: usize) {
        for instance in &self.instances {
            instance.list.hidden.borrow_mut().insert(name(index));
        }
    }

    /// Adds all removed instances to the list again.
    pub(crate) fn list_all(&self) {
        for instance in &self.instances {
            instance.list.hidden.borrow_mut().clear();
        }
    }

    /// Removes an instance from the list, or restores the whole list.
    pub(crate) fn toggle_listed(&self, index: usize) {
        if self.instances[0].list.hidden.borrow().is_empty() {
            self.delist(index);
        } else {
            self.list_all();
        }
    }
}
