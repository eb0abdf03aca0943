//! A planned stop beside clients that pipeline `safe` requests without a pause.

use std::collections::BTreeMap;
use std::io::{ErrorKind, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::Record;
use crate::fleet::{Folder, Instance, SIGTERM, resolve};
use crate::http::{Message, read_message};
use crate::server::{Run, Server};
use crate::store::Store;

const CLIENTS: usize = 32;
/// The requests that a client has outstanding.
const DEPTH: usize = 4;
const SERVERS: usize = 44;
/// The least and the most work of a request; 1.6 s in the mean.
const WORK_MS: (u64, u64) = (900, 2300);
const ROUTE_TIMEOUT: Duration = Duration::from_millis(2500);
const DEADLINE: Duration = Duration::from_millis(8000);
const WARM_UP: Duration = Duration::from_secs(8);
const STOPS: usize = 8;
/// Between the start of an instance and the stop of the next one.
const PAUSE: Duration = Duration::from_secs(3);
const GRACE: Duration = Duration::from_secs(6);
/// Requests sent later than this after the SIGTERM have no excuse for work in the last
/// sixth of `grace`.
const EXCUSED: Duration = Duration::from_secs(3);

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
            let may_send = self.addresses.contains(&to) && !stop.load(Ordering::SeqCst);
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
            Server::start(&store, &format!("i-{index:02}"), "books", zone, 3, usize::MAX, Arc::new(work_time))
        })
        .collect();
    let mut fleet: Vec<Instance> = (0..2)
        .map(|index| Instance::start(&folder.0, &format!("edge-north-a-{index}"), "north-a", index, store.address))
        .collect();
    fleet.iter().for_each(Instance::wait_ready);
    thread::sleep(Duration::from_secs(2));
    let start = Instant::now();
    let (stop, random, log) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU64::new(0)), Log::default());
    let directories: Vec<SocketAddr> = fleet.iter().map(|instance| instance.directory).collect();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|name| {
            let mut client = Client {
                directories: directories.iter().cycle().skip(name % 3).take(3).copied().collect(),
                keeps: if name % 3 == 0 { 1 } else { 3 },
                addresses: Vec::new(),
                until: start,
            pause_until: start,
                next: 0,
                name,
                log: Arc::clone(&log),
            };
            let (stop, random) = (Arc::clone(&stop), Arc::clone(&random));
            thread::spawn(move || {
                // Clients renew their lookups at different times.
                thread::sleep(Duration::from_millis(140 * name as u64));
                client.run(&stop, &random);
            })
        })
        .collect();
    thread::sleep(WARM_UP);
    // The instances are stopped in turn and started again at their addresses.
    let mut stopped: Vec<(SocketAddr, Instant)> = Vec::new();
    for round in 0..STOPS {
        let instance = &mut fleet[round % 2];
        let at = Instant::now();
        if has_trouble {
            instance.signal(SIGTERM);
            stopped.push((instance.front, at));
            record.line(&format!("{:.3} s SIGTERM to {}", seconds(start, at), instance.name));
        }
        while !instance.has_ended() && at.elapsed() < GRACE {
            thread::sleep(Duration::from_millis(5));
        }
        if has_trouble {
            record.line(&format!("{:.3} s {} has ended", seconds(start, Instant::now()), instance.name));
            instance.start_again();
            instance.wait_ready();
        }
        thread::sleep(PAUSE);
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
    check(&log, &runs, &stopped, start, record)
}

fn seconds(start: Instant, at: Instant) -> f64 {
    at.saturating_duration_since(start).as_secs_f64()
}

fn check(log: &[Sent], runs: &BTreeMap<String, Run>, stopped: &[(SocketAddr, Instant)], start: Instant, record: &mut Record) -> bool {
    let mut statuses: BTreeMap<u16, usize> = BTreeMap::new();
    let (mut lost, mut excused, mut other) = (0, 0, 0);
    for sent in log {
        *statuses.entry(sent.outcome).or_default() += 1;
        let run = runs.get(&sent.id);
        let work = run.map_or("not passed on".to_owned(), |run| {
            let at = |at: Option<Instant>| at.map_or("-".to_owned(), |at| format!("{:.3}", seconds(start, at)));
            format!("{} arrived {:.3} began {} ended {} {}", run.server, seconds(start, run.arrived), at(run.began), at(run.ended), run.end)
        });
        record.detail(&format!("{} sent {:.3} to {} outcome {} at {:.3}; {work}", sent.id, seconds(start, sent.at), sent.to, sent.outcome, seconds(start, sent.ended)));
        if sent.outcome != 0 {
            continue;
        }
        let term = stopped.iter().rev().find(|(front, at)| *front == sent.to && *at <= sent.at).map(|(_, at)| *at);
        let after = term.map(|term| sent.at.saturating_duration_since(term));
        let held = sent.ended.saturating_duration_since(sent.at);
        let is_passed_on = run.is_some_and(|run| run.began.is_some() && run.end == "cut");
        let is_in_time = held < DEADLINE && held < ROUTE_TIMEOUT;
        match after {
            Some(after) if is_passed_on && is_in_time && after > EXCUSED && after < GRACE + Duration::from_secs(1) => {
                lost += 1;
                record.line(&format!(
                    "lost: {} was sent {:.3} s after the SIGTERM and passed on; its connection ended after {:.3} s without an answer; {work}",
                    sent.id, after.as_secs_f64(), held.as_secs_f64()
                ));
            }
            Some(after) if after <= EXCUSED => excused += 1,
            _ => other += 1,
        }
    }
    record.line(&format!(
        "{} requests; by outcome (0: the connection ended, 1: behind a closing response): {statuses:?}; lost {lost}, sent within 3 s of the SIGTERM and cut {excused}, cut otherwise {other}",
        log.len()
    ));
    lost > 0 || (stopped.is_empty() && other > 0)
}
