//! A stand-in for an upstream, as PROTOCOL.md describes a sound one: slots and a queue,
//! the echoed id, the seal, the load, `X-Expect-Instance` and `X-Deadline-Ms`.

use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Message, read_message};
use crate::store::Store;

const QUEUE: usize = 9;
const HEARTBEAT: Duration = Duration::from_millis(1500);

/// One request that reached a server.
#[derive(Debug, Clone)]
pub struct Run {
    pub id: String,
    pub server: String,
    pub target: String,
    pub arrived: Instant,
    /// When the work began; `None` if it was rejected or left before.
    pub began: Option<Instant>,
    pub ended: Option<Instant>,
    /// How it ended: `answered`, `cut` by the caller, `rejected` or `crashed`.
    pub end: &'static str,
}

pub type Work = dyn Fn(&Message) -> Duration + Send + Sync;

#[derive(Default)]
struct Load {
    running: usize,
    waiting: usize,
}

pub struct Server {
    pub id: String,
    pub address: SocketAddr,
    service: String,
    zone: String,
    slots: usize,
    load: Mutex<Load>,
    freed: Condvar,
    work: Arc<Work>,
    pub runs: Mutex<Vec<Run>>,
    listener: Mutex<Option<TcpListener>>,
    connections: Mutex<Vec<TcpStream>>,
    is_down: AtomicBool,
    /// The connections that are open, and how many it accepts.
    open: AtomicU64,
    max_connections: u64,
    /// With as many requests waiting, it accepts no further connections.
    long_queue: usize,
    sequence: AtomicU64,
    born: AtomicU64,
}

fn unix_ms() -> u64 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}

impl Server {
    pub fn start(store: &Arc<Store>, id: &str, service: &str, zone: &str, slots: usize, long_queue: usize, work: Arc<Work>) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let server = Arc::new(Self {
            id: id.to_owned(),
            address: listener.local_addr().expect("an address"),
            service: service.to_owned(),
            zone: zone.to_owned(),
            slots,
            load: Mutex::default(),
            freed: Condvar::new(),
            work,
            runs: Mutex::default(),
            listener: Mutex::new(None),
            connections: Mutex::default(),
            is_down: AtomicBool::new(false),
            open: AtomicU64::new(0),
            max_connections: 390,
            long_queue,
            sequence: AtomicU64::new(0),
            born: AtomicU64::new(unix_ms()),
        });
        server.listen(listener);
        let (beating, store) = (Arc::clone(&server), Arc::clone(store));
        thread::spawn(move || {
            loop {
                if !beating.is_down.load(Ordering::SeqCst) {
                    store.put("servers", &beating.id, &beating.row());
                }
                thread::sleep(HEARTBEAT);
            }
        });
        server
    }

    fn row(&self) -> String {
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        format!(
            r#"{{"addr":"{}","born":{},"info":{{"service":"{}","version":"v1","zone":"{}","slots":{}}},"status":{{"state":"ready","seq":{sequence},"cold-left":"0ms"}}}}"#,
            self.address, self.born.load(Ordering::SeqCst), self.service, self.zone, self.slots
        )
    }

    fn listen(self: &Arc<Self>, listener: TcpListener) {
        *self.listener.lock().expect("no panic") = Some(listener.try_clone().expect("a descriptor"));
        listener.set_nonblocking(true).expect("a listener");
        let server = Arc::clone(self);
        thread::spawn(move || {
            while !server.is_full() {
                if server.is_down.load(Ordering::SeqCst) {
                    return;
                }
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(Duration::from_millis(1));
                    continue;
                };
                drop(stream.set_nonblocking(false));
                server.open.fetch_add(1, Ordering::SeqCst);
                let serving = Arc::clone(&server);
                thread::spawn(move || {
                    serving.serve(stream);
                    serving.open.fetch_sub(1, Ordering::SeqCst);
                });
            }
            // Further connections are reset until there is room again.
            drop(listener);
            server.listener.lock().expect("no panic").take();
            while server.is_full() {
                thread::sleep(Duration::from_millis(1));
            }
            let listener = TcpListener::bind(server.address).expect("the address is free");
            server.listen(listener);
        });
    }

    /// Whether further connections are reset.
    fn is_full(&self) -> bool {
        let waiting = self.load.lock().expect("no panic").waiting;
        self.open.load(Ordering::SeqCst) >= self.max_connections || waiting >= self.long_queue
    }

    /// Ends like a crashed process: all connections are closed without an answer, and
    /// new ones are refused.
    pub fn crash(&self) {
        self.is_down.store(true, Ordering::SeqCst);
        self.listener.lock().expect("no panic").take();
        for stream in self.connections.lock().expect("no panic").drain(..) {
            drop(stream.shutdown(Shutdown::Both));
        }
        self.freed.notify_all();
    }

    /// Starts again at the same address and under the same id.
    pub fn restart(self: &Arc<Self>) {
        let listener = TcpListener::bind(self.address).expect("the address is free");
        self.sequence.store(0, Ordering::SeqCst);
        self.born.store(unix_ms(), Ordering::SeqCst);
        *self.load.lock().expect("no panic") = Load::default();
        self.is_down.store(false, Ordering::SeqCst);
        self.listen(listener);
    }

    /// The requests for a target on which the server works since less than `span`.
    pub fn count_at_work(&self, target: &str, span: Duration) -> usize {
        let runs = self.runs.lock().expect("no panic");
        let is_recent = |run: &&Run| run.began.is_some_and(|began| began.elapsed() < span);
        runs.iter().filter(is_recent).filter(|run| run.ended.is_none() && run.target == target).count()
    }

    fn serve(&self, mut stream: TcpStream) {
        drop(stream.set_nodelay(true));
        if let Ok(copy) = stream.try_clone() {
            self.connections.lock().expect("no panic").push(copy);
        }
        let mut buffer = Vec::new();
        while let Ok(Some(request)) = read_message(&mut stream, &mut buffer) {
            let Some(response) = self.respond(&request, &stream) else {
                drop(stream.shutdown(Shutdown::Both));
                return;
            };
            if stream.write_all(response.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn finish(&self, index: usize, end: &'static str) {
        let mut runs = self.runs.lock().expect("no panic");
        runs[index].ended = Some(Instant::now());
        runs[index].end = end;
    }

    /// The response, or `None` if the caller has closed the connection or the server
    /// has crashed.
    fn respond(&self, request: &Message, stream: &TcpStream) -> Option<String> {
        let id = request.header("x-attempt-id").unwrap_or_default().to_owned();
        let echo = format!("X-Attempt-Id: {id}\r\n");
        if request.header("x-expect-instance").is_some_and(|name| name != self.id) {
            return Some(format!("HTTP/1.1 421 X\r\n{echo}X-Instance-Id: {}\r\nContent-Length: 0\r\n\r\n", self.id));
        }
        let arrived = Instant::now();
        let index = {
            let mut runs = self.runs.lock().expect("no panic");
            runs.push(Run {
                id: id.clone(), server: self.id.clone(), target: request.target().to_owned(),
                arrived, began: None, ended: None, end: "",
            });
            runs.len() - 1
        };
        let wait = request.header("x-deadline-ms").and_then(|text| text.parse().ok()).unwrap_or(10_000);
        let deadline = arrived + Duration::from_millis(wait);
        let mut load = self.load.lock().expect("no panic");
        if load.running >= self.slots && load.waiting >= QUEUE {
            let state = format!("X-Server-Load: {},{},{}\r\n", load.running, load.waiting, self.slots);
            drop(load);
            self.finish(index, "rejected");
            return Some(format!("HTTP/1.1 503 X\r\n{echo}X-Not-Executed: 1\r\n{state}Content-Length: 0\r\n\r\n"));
        }
        load.waiting += 1;
        while load.running >= self.slots && !self.is_down.load(Ordering::SeqCst) {
            load = self.freed.wait_timeout(load, Duration::from_millis(20)).expect("no panic").0;
            if is_closed(stream) {
                load.waiting -= 1;
                drop(load);
                self.finish(index, "cut");
                return None;
            }
        }
        if self.is_down.load(Ordering::SeqCst) {
            drop(load);
            self.finish(index, "crashed");
            return None;
        }
        load.waiting -= 1;
        load.running += 1;
        drop(load);
        self.runs.lock().expect("no panic")[index].began = Some(Instant::now());
        let planned_end = Instant::now() + (self.work)(request);
        let end = self.wait_until(stream, planned_end.min(deadline));
        let mut load = self.load.lock().expect("no panic");
        load.running = load.running.saturating_sub(1);
        let state = format!("X-Server-Load: {},{},{}\r\n", load.running, load.waiting, self.slots);
        drop(load);
        self.freed.notify_one();
        self.finish(index, end);
        if end != "answered" {
            return None;
        }
        let status = if planned_end > deadline { 504 } else { 200 };
        let body = format!("{} {id}", self.id);
        Some(format!(
            "HTTP/1.1 {status} X\r\n{echo}X-Response-Seal: {}.1\r\n{state}Keep-Alive: timeout=10\r\nContent-Length: {}\r\n\r\n{body}",
            self.id, body.len()
        ))
    }

    fn wait_until(&self, stream: &TcpStream, end: Instant) -> &'static str {
        loop {
            if self.is_down.load(Ordering::SeqCst) {
                return "crashed";
            }
            let left = end.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return "answered";
            }
            if is_closed(stream) {
                return "cut";
            }
            thread::sleep(left.min(Duration::from_millis(10)));
        }
    }
}

/// Whether the other side has closed the connection.
fn is_closed(stream: &TcpStream) -> bool {
    if stream.set_nonblocking(true).is_err() {
        return true;
    }
    let peeked = stream.peek(&mut [0]);
    drop(stream.set_nonblocking(false));
    match peeked {
        Ok(count) => count == 0,
        Err(error) => error.kind() != std::io::ErrorKind::WouldBlock,
    }
}
