//! One upstream crashes while it works on a request that several clients of one tenant
//! send all the time. The request crashes nothing: the upstream would have crashed anyway.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::Record;
use crate::fleet::{Folder, Instance, resolve};
use crate::http::{Message, read_message};
use crate::server::Server;
use crate::store::Store;

const SERVERS: usize = 8;
/// Clients that ask for the board, the same object each time, and clients that look up
/// changing objects.
const BOARD_CLIENTS: usize = 4;
const LOOK_CLIENTS: usize = 8;
const WORK: Duration = Duration::from_millis(400);
const PAUSE: Duration = Duration::from_millis(150);
const WARM_UP: Duration = Duration::from_secs(8);
/// The time for which the upstream is down.
const DOWN: Duration = Duration::from_millis(4500);
const RECOVER: Duration = Duration::from_secs(15);
const LENGTH: Duration = Duration::from_secs(95);

const CONFIG: &str = r#"{"version":"r1","routes":{
"board":{"host":"shop.example","prefix":"/board/","kind":"safe","timeout":"1200ms","target-latency":"500ms","priority":2,
"service":"desk","max-attempts":2,"public":false,"sticky":true,"home-regions":[]},
"look":{"host":"shop.example","prefix":"/look/","kind":"safe","timeout":"1200ms","target-latency":"500ms","priority":2,
"service":"desk","max-attempts":2,"public":false,"sticky":true,"home-regions":[]}},
"services":{"desk":{"health-path":"/health","max-conns":390,"cold-start":"3s","cold-per-s":2.7}},
"limits":{"max-header-bytes":16384,"max-body-bytes":1048576,"header-timeout":"3000ms","idle-timeout":"15000ms"},
"tenants":{"kiosks":{"api-keys":["key-kiosks"],"rate-per-s":0,"burst":0,"home-regions":[]},
"growers":{"api-keys":["key-growers"],"rate-per-s":0,"burst":0,"home-regions":[]}}}"#;

#[derive(Debug, Clone)]
struct Answer {
    id: String,
    is_board: bool,
    sent: Instant,
    /// 0 if the connection ended without an answer.
    status: u16,
    has_retry_after: bool,
    at: Instant,
}

fn fetch(stream: &mut TcpStream, text: &str) -> Option<Message> {
    stream.write_all(text.as_bytes()).ok()?;
    read_message(stream, &mut Vec::new()).ok()?
}

/// Sends one request after the other, with a pause between, on connections that it keeps.
fn run_client(name: usize, is_board: bool, directories: &[SocketAddr], stop: &AtomicBool, log: &Mutex<Vec<Answer>>) {
    let mut connection: Option<(TcpStream, SocketAddr)> = None;
    let (mut addresses, mut until) = (Vec::new(), Instant::now());
    let mut count = 0_usize;
    while !stop.load(Ordering::SeqCst) {
        if Instant::now() >= until {
            if let Some((found, ttl)) = resolve(directories, "north-a") {
                (addresses, until) = (found, Instant::now() + ttl);
            }
        }
        connection = connection.filter(|(_, to)| addresses.contains(to));
        if connection.is_none() {
            let Some(to) = (!addresses.is_empty()).then(|| addresses[(name + count) % addresses.len()]) else { continue };
            if let Ok(stream) = TcpStream::connect_timeout(&to, Duration::from_secs(1)) {
                drop(stream.set_nodelay(true));
                drop(stream.set_read_timeout(Some(Duration::from_secs(3))));
                connection = Some((stream, to));
            }
        }
        let Some((stream, _)) = &mut connection else { continue };
        count += 1;
        let id = format!("c{name}-{count}");
        let (path, object, key) = if is_board {
            ("/board/today".to_owned(), "today".to_owned(), "key-kiosks")
        } else {
            (format!("/look/{name}-{count}"), format!("{name}-{}", count % 24), "key-growers")
        };
        let text = format!(
            "GET {path} HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: {id}\r\nCookie: X-Affinity-Key={object}\r\nX-Deadline-Ms: 3000\r\nAuthorization: Bearer {key}\r\n\r\n"
        );
        let sent = Instant::now();
        let response = fetch(stream, &text);
        let status = response.as_ref().map_or(0, Message::status);
        let after = response.as_ref().and_then(|response| response.header("retry-after")?.parse().ok());
        let answer = Answer { id, is_board, sent, status, has_retry_after: after.is_some(), at: Instant::now() };
        log.lock().expect("no panic").push(answer);
        if response.is_none_or(|response| response.closes()) {
            connection = None;
        }
        thread::sleep(PAUSE.max(Duration::from_secs_f64(after.unwrap_or(0.0))));
    }
}

pub fn run(has_trouble: bool, record: &mut Record) -> bool {
    let folder = Folder::new();
    let store = Store::start();
    store.put("op", "config", CONFIG);
    let servers: Vec<Arc<Server>> = (0..SERVERS)
        .map(|index| {
            let zone = ["north-a", "north-b"][index % 2];
            Server::start(&store, &format!("i-{index}"), "desk", zone, 3, usize::MAX, Arc::new(|_: &Message| WORK))
        })
        .collect();
    let fleet: Vec<Instance> = (0..2)
        .map(|index| Instance::start(&folder.0, &format!("edge-north-a-{index}"), "north-a", index, store.address))
        .collect();
    fleet.iter().for_each(Instance::wait_ready);
    thread::sleep(Duration::from_secs(2));
    let start = Instant::now();
    let directories: Vec<SocketAddr> = fleet.iter().map(|instance| instance.directory).collect();
    let (stop, log) = (Arc::new(AtomicBool::new(false)), Arc::new(Mutex::default()));
    let clients: Vec<_> = (0..BOARD_CLIENTS + LOOK_CLIENTS)
        .map(|name| {
            let (directories, stop, log) = (directories.clone(), Arc::clone(&stop), Arc::clone(&log));
            thread::spawn(move || run_client(name, name < BOARD_CLIENTS, &directories, &stop, &log))
        })
        .collect();
    thread::sleep(WARM_UP);
    let mut back = start + WARM_UP + DOWN;
    if has_trouble {
        // The upstream crashes while it works on two requests for the board.
        let busy = loop {
            if let Some(server) = servers.iter().find(|server| server.count_at_work("/board/today", WORK / 2) >= 2) {
                break server;
            }
            if start.elapsed() > 3 * WARM_UP {
                crate::cannot_run("no upstream works on two requests for the board at a time");
            }
            thread::sleep(Duration::from_millis(1));
        };
        busy.crash();
        record.line(&format!("{:.3} s {} crashes; of {SERVERS} upstreams it is the only one", start.elapsed().as_secs_f64(), busy.id));
        thread::sleep(DOWN);
        busy.restart();
        back = Instant::now();
        record.line(&format!("{:.3} s {} is back", start.elapsed().as_secs_f64(), busy.id));
    }
    thread::sleep(LENGTH.saturating_sub(start.elapsed()));
    stop.store(true, Ordering::SeqCst);
    for client in clients {
        client.join().expect("a client");
    }
    let answers: Vec<Answer> = log.lock().expect("no panic").clone();
    check(&answers, start, back, record)
}

fn check(answers: &[Answer], start: Instant, back: Instant, record: &mut Record) -> bool {
    let seconds = |at: Instant| at.saturating_duration_since(start).as_secs_f64();
    for answer in answers {
        record.detail(&format!(
            "{} {} sent {:.3} status {} at {:.3}{}", answer.id, if answer.is_board { "board" } else { "look" }, seconds(answer.sent),
            answer.status, seconds(answer.at), if answer.has_retry_after { ", with Retry-After" } else { "" }
        ));
    }
    let share = |chosen: &dyn Fn(&&Answer) -> bool| {
        let chosen: Vec<&Answer> = answers.iter().filter(chosen).collect();
        let served = chosen.iter().filter(|answer| answer.status == 200).count();
        (served, chosen.len(), served as f64 / chosen.len().max(1) as f64)
    };
    let all = share(&|_| true);
    let board = share(&|answer| answer.is_board);
    let late = share(&|answer| answer.is_board && answer.sent > back + RECOVER);
    let late_look = share(&|answer| !answer.is_board && answer.sent > back + RECOVER);
    let line = |name: &str, (served, sent, share): (usize, usize, f64)| format!("{name}: {served} of {sent} served, {share:.3}");
    record.line(&line("all requests", all));
    record.line(&line("the board (one kind of request, one tenant)", board));
    record.line(&line("the board, sent later than 15 s after the upstream was back", late));
    record.line(&line("the look-ups, sent later than 15 s after the upstream was back", late_look));
    board.2 < all.2 / 4.0
}
