//! Upstreams that accept no more connections, beside clients that pipeline `safe` requests.

use std::collections::BTreeMap;
use std::io::{ErrorKind, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::Record;
use crate::fleet::{Folder, Instance, resolve};
use crate::http::{Message, read_message};
use crate::server::{Run, Server};
use crate::store::Store;

const CLIENTS: usize = 9;
const MORE_CLIENTS: usize = 6;
/// The requests that a client has outstanding.
const DEPTH: usize = 5;
const SERVERS: usize = 8;
/// With as many requests waiting, an upstream resets new connections.
const LONG_QUEUE: usize = 3;
/// The least and the most work of a request.
const WORK_MS: (u64, u64) = (300, 900);
const ROUTE_TIMEOUT: Duration = Duration::from_millis(2500);
const DEADLINE: Duration = Duration::from_millis(8000);
const WARM_UP: Duration = Duration::from_secs(5);
/// A burst, and the time from its end to the next one.
const BURST: Duration = Duration::from_secs(3);
const BETWEEN: Duration = Duration::from_secs(3);
const BURSTS: usize = 15;

const CONFIG: &str = r#"{"version":"r1","routes":{"report":{"host":"shop.example","prefix":"/report/","kind":"safe",
"timeout":"2500ms","target-latency":"1200ms","priority":2,"service":"books","max-attempts":2,"public":false,
"sticky":false,"home-regions":[]}},"services":{"books":{"health-path":"/health","max-conns":390,"cold-start":"3s",
"cold-per-s":2.7}},"limits":{"max-header-bytes":16384,"max-body-bytes":1048576,"header-timeout":"3000ms",
"idle-timeout":"15000ms"},"tenants":{"growers":{"api-keys":["key-one"],"rate-per-s":0,"burst":0,"home-regions":[]}}}"#;

#[derive(Debug, Clone)]
struct Sent {
    id: String,
    to: SocketAddr,
    at: Instant,
    /// The status, 0 if the connection ended, 1 if it was sent behind a closing response.
    outcome: u16,
    ended: Instant,
}

type Log = Arc<Mutex<Vec<Sent>>>;

fn work_time(request: &Message) -> Duration {
    let id = request.header("x-attempt-id").unwrap_or_default();
    let hash = id.bytes().fold(0xcbf2_9ce4_8422_2325_u64, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3));
    Duration::from_millis(WORK_MS.0 + (hash >> 17) % (WORK_MS.1 - WORK_MS.0))
}

struct Client {
    directories: Vec<SocketAddr>,
    /// For how many times its `ttl` the client keeps a lookup.
    keeps: u32,
    addresses: Vec<SocketAddr>,
    until: Instant,
    /// After a rejection the client waits as it was told.
    pause_until: Instant,
    next: u64,
    name: usize,
    /// Whether the client sends at present.
    is_active: Arc<AtomicBool>,
    log: Log,
}

impl Client {
    /// Renews the lookup if it is too old. A client that obtains none keeps the last one.
    fn renew(&mut self) {
        if Instant::now() < self.until {
            return;
        }
        if let Some((addresses, ttl)) = resolve(&self.directories, "north-a") {
            self.until = Instant::now() + ttl * self.keeps;
            self.addresses = addresses;
        } else {
            self.until = Instant::now() + Duration::from_millis(500);
        }
    }

    fn send(&mut self, stream: &mut TcpStream, to: SocketAddr, waiting: &mut Vec<Sent>) -> bool {
        self.next += 1;
        let id = format!("c{}-{}", self.name, self.next);
        let text = format!(
            "GET /report/{} HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: {id}\r\nX-Deadline-Ms: {}\r\nAuthorization: Bearer key-one\r\n\r\n",
            self.next, DEADLINE.as_millis()
        );
        let is_sent = stream.write_all(text.as_bytes()).is_ok();
        let now = Instant::now();
        waiting.push(Sent { id, to, at: now, outcome: 0, ended: now });
        is_sent
    }

    fn finish(&self, mut sent: Sent, outcome: u16) {
        sent.outcome = outcome;
        sent.ended = Instant::now();
        self.log.lock().expect("no panic").push(sent);
    }

    fn run(&mut self, stop: &AtomicBool, random: &AtomicU64) {
        while !stop.load(Ordering::SeqCst) {
            if !self.is_active.load(Ordering::SeqCst) {
                thread::sleep(Duration::from_millis(10));
                continue;
            }
            self.renew();
            let Some(to) = (!self.addresses.is_empty()).then(|| {
                let draw = random.fetch_add(1, Ordering::SeqCst) as usize;
                self.addresses[draw % self.addresses.len()]
            }) else {
                thread::sleep(Duration::from_millis(100));
                continue;
            };
            let Ok(mut stream) = TcpStream::connect_timeout(&to, Duration::from_secs(1)) else {
                self.addresses.retain(|address| *address != to);
                continue;
            };
            drop(stream.set_nodelay(true));
            drop(stream.set_read_timeout(Some(Duration::from_millis(20))));
            self.use_connection(&mut stream, to, stop);
        }
    }

    /// Keeps [`DEPTH`] requests outstanding for as long as the address may be used.
    fn use_connection(&mut self, stream: &mut TcpStream, to: SocketAddr, stop: &AtomicBool) {
        let (mut buffer, mut waiting) = (Vec::new(), Vec::new());
        loop {
            self.renew();
            let may_send = self.addresses.contains(&to) && self.is_active.load(Ordering::SeqCst) && !stop.load(Ordering::SeqCst);
            while may_send && waiting.len() < DEPTH && Instant::now() >= self.pause_until {
                if !self.send(stream, to, &mut waiting) {
                    break;
                }
            }
            if waiting.is_empty() && !may_send {
                return;
            }
            match read_message(stream, &mut buffer) {
                Ok(Some(response)) if !waiting.is_empty() => {
                    let sent = waiting.remove(0);
                    if response.header("x-attempt-id") != Some(sent.id.as_str()) {
                        println!("a response to another request: {} for {}", response.header("x-attempt-id").unwrap_or("-"), sent.id);
                    }
                    self.finish(sent, response.status());
                    if let Some(after) = response.header("retry-after").and_then(|text| text.parse::<f64>().ok()) {
                        self.pause_until = Instant::now() + Duration::from_secs_f64(after);
                    }
                    if response.closes() {
                        waiting.into_iter().for_each(|sent| self.finish(sent, 1));
                        return;
                    }
                }
                Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
                _ => {
                    waiting.into_iter().for_each(|sent| self.finish(sent, 0));
                    self.addresses.retain(|address| *address != to);
                    return;
                }
            }
        }
    }
}

pub fn run(has_trouble: bool, record: &mut Record) -> bool {
    let folder = Folder::new();
    let store = Store::start();
    store.put("op", "config", CONFIG);
    let servers: Vec<Arc<Server>> = (0..SERVERS)
        .map(|index| {
            let zone = ["north-a", "north-b"][index % 2];
            Server::start(&store, &format!("i-{index:02}"), "books", zone, 3, LONG_QUEUE, Arc::new(work_time))
        })
        .collect();
    let fleet: Vec<Instance> = (0..2)
        .map(|index| Instance::start(&folder.0, &format!("edge-north-a-{index}"), "north-a", index, store.address))
        .collect();
    fleet.iter().for_each(Instance::wait_ready);
    thread::sleep(Duration::from_secs(2));
    let start = Instant::now();
    let (stop, random, log) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU64::new(0)), Log::default());
    let directories: Vec<SocketAddr> = fleet.iter().map(|instance| instance.directory).collect();
    let (always, in_burst) = (Arc::new(AtomicBool::new(true)), Arc::new(AtomicBool::new(false)));
    let mut clients = Vec::new();
    let mut start_client = |name: usize| {
        let mut client = Client {
            directories: directories.clone(),
            keeps: 1,
            addresses: Vec::new(),
            until: start,
            pause_until: start,
            next: 0,
            name,
            is_active: Arc::clone(if name < CLIENTS { &always } else { &in_burst }),
            log: Arc::clone(&log),
        };
        let (stop, random) = (Arc::clone(&stop), Arc::clone(&random));
        clients.push(thread::spawn(move || client.run(&stop, &random)));
    };
    (0..CLIENTS + MORE_CLIENTS).for_each(&mut start_client);
    thread::sleep(WARM_UP);
    for _ in 0..BURSTS {
        if has_trouble {
            in_burst.store(true, Ordering::SeqCst);
            record.line(&format!("{:.3} s {CLIENTS} clients become {}", seconds(start, Instant::now()), CLIENTS + MORE_CLIENTS));
        }
        thread::sleep(BURST);
        in_burst.store(false, Ordering::SeqCst);
        thread::sleep(BETWEEN);
    }
    stop.store(true, Ordering::SeqCst);
    for client in clients {
        client.join().expect("a client");
    }
    let runs: BTreeMap<String, Run> = servers
        .iter()
        .flat_map(|server| server.runs.lock().expect("no panic").clone())
        .map(|run| (run.id.clone(), run))
        .collect();
    let log = log.lock().expect("no panic").clone();
    check(&log, &runs, start, record)
}

fn seconds(start: Instant, at: Instant) -> f64 {
    at.saturating_duration_since(start).as_secs_f64()
}

fn check(log: &[Sent], runs: &BTreeMap<String, Run>, start: Instant, record: &mut Record) -> bool {
    let mut statuses: BTreeMap<u16, usize> = BTreeMap::new();
    let mut lost = 0;
    for sent in log {
        *statuses.entry(sent.outcome).or_default() += 1;
        let run = runs.get(&sent.id);
        let work = run.map_or("not passed on".to_owned(), |run| {
            let at = |at: Option<Instant>| at.map_or("-".to_owned(), |at| format!("{:.3}", seconds(start, at)));
            format!("{} arrived {:.3} began {} ended {} {}", run.server, seconds(start, run.arrived), at(run.began), at(run.ended), run.end)
        });
        record.detail(&format!("{} sent {:.3} to {} outcome {} at {:.3}; {work}", sent.id, seconds(start, sent.at), sent.to, sent.outcome, seconds(start, sent.ended)));
        let held = sent.ended.saturating_duration_since(sent.at);
        let is_cut = run.is_some_and(|run| run.began.is_some() && run.end == "cut");
        if sent.outcome < 2 && is_cut && held < ROUTE_TIMEOUT {
            lost += 1;
            if lost <= 10 {
                record.line(&format!("lost: {} was passed on, and its connection was closed after {:.3} s without an answer to it; {work}", sent.id, held.as_secs_f64()));
            }
        }
    }
    record.line(&format!("{} requests; by outcome (0: the connection ended, 1: behind a closing response): {statuses:?}; lost {lost}, 3 are allowed", log.len()));
    lost > 3
}
