//! A stand-in for the platform's store: rows, transactions and the feed.

use std::collections::BTreeMap;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Message, read_message};
use crate::text::{decode_base64, encode_base64, parse_json};

type Row = (u64, Option<Vec<u8>>);

#[derive(Default)]
struct State {
    rows: BTreeMap<(String, String), Row>,
    version: u64,
}

pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
    started: Instant,
    pub address: SocketAddr,
}

impl Store {
    pub fn start() -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let store = Arc::new(Self {
            state: Mutex::default(),
            changed: Condvar::new(),
            started: Instant::now(),
            address: listener.local_addr().expect("an address"),
        });
        let served = Arc::clone(&store);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = Arc::clone(&served);
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    fn serve(&self, mut stream: TcpStream) {
        let mut buffer = Vec::new();
        while let Ok(Some(request)) = read_message(&mut stream, &mut buffer) {
            let (status, body) = self.respond(&request);
            let response = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if stream.write_all(response.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn now(&self) -> String {
        format!("{}ms", self.started.elapsed().as_millis())
    }

    pub fn put(&self, table: &str, key: &str, value: &str) {
        self.write(table, key, Some(value.as_bytes().to_vec()));
    }

    fn write(&self, table: &str, key: &str, value: Option<Vec<u8>>) {
        let mut state = self.state.lock().expect("no panic");
        state.version += 1;
        let version = state.version;
        state.rows.insert((table.to_owned(), key.to_owned()), (version, value));
        self.changed.notify_all();
    }

    fn respond(&self, request: &Message) -> (u16, String) {
        match request.target().split('?').next().unwrap_or_default() {
            "/rows-get" => self.read_rows(request),
            "/rows-feed" => self.feed(request),
            "/rows-tx" => self.transact(request),
            _ => (404, "{}".to_owned()),
        }
    }

    fn read_rows(&self, request: &Message) -> (u16, String) {
        let state = self.state.lock().expect("no panic");
        let (table, from) = (request.query("table"), request.query("from"));
        let limit = request.query("limit").parse().unwrap_or(500);
        let found: Vec<String> = state
            .rows
            .iter()
            .filter(|((name, key), (_, value))| *name == table && *key >= from && value.is_some())
            .map(|((name, key), row)| encode_row(name, key, row))
            .collect();
        let has_more = found.len() > limit;
        let rows = found.into_iter().take(limit).collect::<Vec<_>>().join(",");
        let (version, now) = (state.version, self.now());
        (200, format!(r#"{{"rows":[{rows}],"has-more":{has_more},"row-version":{version},"now":"{now}"}}"#))
    }

    fn feed(&self, request: &Message) -> (u16, String) {
        let table = request.query("table");
        let after: u64 = request.query("after").parse().unwrap_or(0);
        let wait = Duration::from_millis(request.query("wait-ms").parse().unwrap_or(0));
        let deadline = Instant::now() + wait;
        let mut state = self.state.lock().expect("no panic");
        loop {
            let mut found: Vec<(u64, String)> = state
                .rows
                .iter()
                .filter(|((name, _), (version, _))| *name == table && *version > after)
                .map(|((name, key), row)| (row.0, encode_row(name, key, row)))
                .collect();
            let left = deadline.saturating_duration_since(Instant::now());
            if !found.is_empty() || left.is_zero() {
                found.sort();
                let rows = found.into_iter().map(|(_, row)| row).collect::<Vec<_>>().join(",");
                let (version, now) = (state.version, self.now());
                return (200, format!(r#"{{"rows":[{rows}],"row-version":{version},"now":"{now}"}}"#));
            }
            state = self.changed.wait_timeout(state, left).expect("no panic").0;
        }
    }

    fn transact(&self, request: &Message) -> (u16, String) {
        let Some(body) = parse_json(&String::from_utf8_lossy(&request.body)) else {
            return (400, "{}".to_owned());
        };
        let mut state = self.state.lock().expect("no panic");
        for row in body.get("expect-rev").list() {
            let id = (row.get("table").text().to_owned(), row.get("key").text().to_owned());
            let known = state.rows.get(&id).filter(|(_, value)| value.is_some()).map_or(0, |(version, _)| *version);
            if row.get("row-version").number() != Some(known) {
                return (412, r#"{"rows":[]}"#.to_owned());
            }
        }
        state.version += 1;
        let version = state.version;
        for row in body.get("writes").list() {
            let id = (row.get("table").text().to_owned(), row.get("key").text().to_owned());
            if id.0 == "op" || id.0 == "servers" {
                return (403, "{}".to_owned());
            }
            state.rows.insert(id, (version, Some(decode_base64(row.get("value").text()))));
        }
        self.changed.notify_all();
        (200, format!(r#"{{"row-version":{version},"now":"{}"}}"#, self.now()))
    }
}

fn encode_row(table: &str, key: &str, (version, value): &Row) -> String {
    let content = match value {
        Some(value) => format!(r#""value":"{}""#, encode_base64(value)),
        None => r#""deleted":true"#.to_owned(),
    };
    format!(r#"{{"table":"{table}","part":"","key":"{key}",{content},"row-version":{version}}}"#)
}
