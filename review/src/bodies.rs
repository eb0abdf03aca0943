//! Clients that send request bodies as long as the configuration allows.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::Record;
use crate::fleet::{Folder, Instance, MEMORY_MB};
use crate::http::{Message, read_message};
use crate::server::Server;
use crate::store::Store;

const SERVERS: usize = 4;
/// `max-body-bytes` of the configuration.
const LONGEST_BODY: usize = 67_108_864;
/// The longest body of the site's kernel-booking.
const USUAL_BODY: usize = 7_200;
/// The clients of each instance that send long bodies, one after the other.
const LONG_CLIENTS: usize = 2;
/// The clients of each instance that send short requests on kept connections.
const SHORT_CLIENTS: usize = 6;
const WORK: Duration = Duration::from_millis(840);
const LENGTH: Duration = Duration::from_secs(30);
const RESTART_DELAY: Duration = Duration::from_millis(500);

const CONFIG: &str = r#"{"version":"r1","routes":{
"booking":{"host":"shop.example","prefix":"/booking/","kind":"unsafe","timeout":"2500ms","target-latency":"600ms","priority":1,
"service":"ledger","max-attempts":2,"public":false,"sticky":false,"home-regions":[]}},
"services":{"ledger":{"health-path":"/health","max-conns":390,"cold-start":"3s","cold-per-s":2.7}},
"limits":{"max-header-bytes":16384,"max-body-bytes":67108864,"header-timeout":"3000ms","idle-timeout":"15000ms"},
"tenants":{"growers":{"api-keys":["key-one"],"rate-per-s":0,"burst":0,"home-regions":[]}}}"#;

#[derive(Debug, Clone)]
struct Answer {
    id: String,
    length: usize,
    sent: Instant,
    /// 0 if the connection ended without an answer.
    status: u16,
    at: Instant,
}

type Log = Arc<Mutex<Vec<Answer>>>;

fn post(stream: &mut TcpStream, id: &str, body: &[u8]) -> Option<Message> {
    let head = format!(
        "POST /booking/new HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: {id}\r\nX-Deadline-Ms: 8000\r\nAuthorization: Bearer key-one\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all(head.as_bytes()).ok()?;
    stream.write_all(body).ok()?;
    read_message(stream, &mut Vec::new()).ok()?
}

fn run_client(name: &str, front: SocketAddr, body: &[u8], stop: &AtomicBool, log: &Log) {
    let mut connection: Option<TcpStream> = None;
    let mut count = 0;
    while !stop.load(Ordering::SeqCst) {
        if connection.is_none() {
            connection = TcpStream::connect_timeout(&front, Duration::from_secs(1)).ok();
        }
        let Some(stream) = &mut connection else {
            thread::sleep(Duration::from_millis(100));
            continue;
        };
        drop(stream.set_nodelay(true));
        drop(stream.set_read_timeout(Some(Duration::from_secs(9))));
        count += 1;
        let id = format!("{name}-{count}");
        let sent = Instant::now();
        let response = post(stream, &id, body);
        let status = response.as_ref().map_or(0, Message::status);
        let answer = Answer { id, length: body.len(), sent, status, at: Instant::now() };
        log.lock().expect("no panic").push(answer);
        if response.is_none_or(|response| response.closes()) {
            connection = None;
        }
        thread::sleep(Duration::from_millis(100));
    }
}

pub fn run(has_trouble: bool, record: &mut Record) -> bool {
    let folder = Folder::new();
    let store = Store::start();
    store.put("op", "config", CONFIG);
    let servers: Vec<Arc<Server>> = (0..SERVERS)
        .map(|index| Server::start(&store, &format!("i-{index}"), "ledger", "north-a", 9, usize::MAX, Arc::new(|_: &Message| WORK)))
        .collect();
    let mut fleet: Vec<Instance> = (0..2)
        .map(|index| Instance::start(&folder.0, &format!("edge-north-a-{index}"), "north-a", index, store.address))
        .collect();
    fleet.iter().for_each(Instance::wait_ready);
    thread::sleep(Duration::from_secs(2));
    let start = Instant::now();
    let (stop, log) = (Arc::new(AtomicBool::new(false)), Log::default());
    let long_body = Arc::new(vec![b'x'; if has_trouble { LONGEST_BODY } else { USUAL_BODY }]);
    let clients: Vec<_> = fleet
        .iter()
        .enumerate()
        .flat_map(|(index, instance)| (0..LONG_CLIENTS + SHORT_CLIENTS).map(move |client| (index, instance.front, client)))
        .map(|(index, front, client)| {
            let (stop, log, body) = (Arc::clone(&stop), Arc::clone(&log), Arc::clone(&long_body));
            thread::spawn(move || {
                if client < LONG_CLIENTS {
                    run_client(&format!("long{index}{client}"), front, &body, &stop, &log);
                } else {
                    run_client(&format!("short{index}{client}"), front, b"a booking", &stop, &log);
                }
            })
        })
        .collect();
    // Like the platform: a process that exceeds its memory is killed and started again.
    let peak = AtomicUsize::new(0);
    let mut ends = vec![0; fleet.len()];
    while start.elapsed() < LENGTH {
        for (index, instance) in fleet.iter_mut().enumerate() {
            let resident = instance.resident_kb();
            peak.fetch_max(resident, Ordering::SeqCst);
            if resident > MEMORY_MB * 1024 {
                record.line(&format!(
                    "{:.3} s {} has {} MB resident of {MEMORY_MB} MB and is killed", start.elapsed().as_secs_f64(), instance.name, resident / 1024
                ));
                ends[index] += 1;
                instance.kill_and_start(RESTART_DELAY);
            }
        }
        thread::sleep(Duration::from_millis(5));
    }
    stop.store(true, Ordering::SeqCst);
    for client in clients {
        client.join().expect("a client");
    }
    record.line(&format!("at most {} MB resident", peak.load(Ordering::SeqCst) / 1024));
    let runs: std::collections::BTreeMap<String, &'static str> = servers
        .iter()
        .flat_map(|server| server.runs.lock().expect("no panic").clone())
        .map(|run| (run.id.clone(), run.end))
        .collect();
    let answers = log.lock().expect("no panic").clone();
    check(&answers, &runs, &ends, start, record)
}

fn check(answers: &[Answer], runs: &std::collections::BTreeMap<String, &'static str>, ends: &[usize], start: Instant, record: &mut Record) -> bool {
    let mut lost = 0;
    for answer in answers {
        let end = runs.get(&answer.id).copied().unwrap_or("not passed on");
        record.detail(&format!(
            "{} body {} sent {:.3} status {} at {:.3}; at the upstream: {end}", answer.id, answer.length,
            answer.sent.saturating_duration_since(start).as_secs_f64(), answer.status, answer.at.saturating_duration_since(start).as_secs_f64()
        ));
        if answer.status == 0 && end == "cut" {
            lost += 1;
        }
    }
    let served = answers.iter().filter(|answer| answer.status == 200).count();
    record.line(&format!(
        "{} requests, {served} served; processes that ended by themselves: {ends:?}; lost: {lost} requests were passed on to an upstream and their connections closed without an answer, 3 are allowed",
        answers.len()
    ));
    lost > 3
}
