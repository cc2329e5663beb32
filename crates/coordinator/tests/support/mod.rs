//! What tests share: scripted peers, settings, clients, and the coordinator between them.
#![allow(dead_code, reason = "each test file uses a part of it")]

use coordinator::config::{Config, OperatorConfig};
use coordinator::counters::Counters;
pub use fake_hosts::scripted::*;
use serde_json::{json, Value};
use std::collections::HashMap;
use std::io::{BufReader, ErrorKind, Read, Write};
use std::net::TcpStream;
use std::sync::mpsc::channel;
use std::thread;

/// Settings for tests: a safe class, one that may be answered in part and one with keys.
pub fn settings() -> Value {
    json!({
        "az": "a", "balancers": 1, "step": 5.0,
        "caps": {"max_attempts": 3, "second_copies": false, "may_cancel": true, "probes": true,
                 "max_retry_after": 1000.0, "open_cap": 200, "streams_per_conn": 32,
                 "conn_idle": 15000.0, "connect_timeout": 250.0},
        "classes": [
            {"name": "near", "goal_time": 1500.0, "hard_limit": 3000.0, "idempotency": "retryable"},
            {"name": "report", "goal_time": 1500.0, "hard_limit": 3000.0, "idempotency": "retryable"},
            {"name": "book", "goal_time": 1500.0, "hard_limit": 3000.0, "idempotency": "dedup", "window": 1000.0}],
        "family_info": {"bundle_max": 8, "call_cost": 10.0, "class_floor": [1.0, 0.5, 1.0],
                        "class_need": [1.0, 1.0, 1.0], "partial_earns": [0.9, 0.8, 0.9], "sets": 2, "shards": 100, "width": 1},
        "safety": {"drain_grace": 2000.0},
        "stats": {"how": "piggyback", "names": ["pending", "busy_reqs"]},
        "tenants": [{"name": "coop", "portion": 1.0}],
    })
}

/// The platform's file, with hosts as `known`.
pub fn config(
    listen: &str,
    members: &[Value],
    settings: &Value,
    discovery: Option<&str>,
) -> String {
    let known = json!({"revision": 1, "complete": true, "members": members});
    json!({"name": "t", "listen": listen, "discovery": discovery, "seed": "7", "known": known,
           "settings": settings})
    .to_string()
}

/// The coordinator on a thread of its own.
pub struct Coordinator {
    pub addr: String,
    /// The operator's address; nobody listens there where `config` names none.
    pub desk: String,
    pub counters: Counters,
    /// Where discovery goes.
    pub moves: tokio::sync::mpsc::UnboundedSender<String>,
    stop: tokio::sync::watch::Sender<bool>,
    thread: Option<thread::JoinHandle<()>>,
}

impl Coordinator {
    pub fn start(config: &str, operator: &str) -> Self {
        let operator = OperatorConfig::parse(operator).unwrap();
        let config = Config::parse(config, operator, |_| None).unwrap();
        let desk = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let desk_addr = desk.local_addr().unwrap().to_string();
        let desk = config.operator_address.is_some().then_some(desk);
        let counters = Counters::striped(config.operator.cores.map_or(1, |c| c.count));
        let (stop, stopping) = tokio::sync::watch::channel(false);
        let (moves, moved) = tokio::sync::mpsc::unbounded_channel();
        let (tx, rx) = channel();
        let ours = counters.clone();
        let thread = thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .build()
                .unwrap();
            runtime.block_on(async {
                let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
                tx.send(listener.local_addr().unwrap().to_string()).unwrap();
                let listeners = coordinator::serve::Listeners {
                    clients: listener,
                    operator: desk,
                    taken_over: None,
                };
                coordinator::serve::serve(config, listeners, ours, stopping, moved)
                    .await
                    .unwrap();
            });
        });
        Self {
            addr: rx.recv().unwrap(),
            desk: desk_addr,
            counters,
            moves,
            stop,
            thread: Some(thread),
        }
    }

    /// Tells it to stop; the thread ends once all is answered.
    pub fn stop(&self) {
        let _ = self.stop.send(true);
    }

    pub fn join(&mut self) {
        self.stop();
        self.thread.take().unwrap().join().unwrap();
    }
}

/// A client's connection.
pub struct Client(BufReader<TcpStream>);

pub type Reply = (u16, HashMap<String, String>, String);

impl Client {
    pub fn new(addr: &str) -> Self {
        let stream = TcpStream::connect(addr).unwrap();
        stream.set_read_timeout(Some(PATIENCE)).unwrap();
        Self(BufReader::new(stream))
    }

    pub fn write(&mut self, bytes: &[u8]) {
        self.0.get_mut().write_all(bytes).unwrap();
    }

    pub fn read(&mut self) -> Reply {
        let (first, headers, body) = message(&mut self.0).expect("an answer");
        (
            first.split(' ').nth(1).unwrap().parse().unwrap(),
            headers,
            body,
        )
    }

    /// Whether the other side ends the connection, after whatever it still sends.
    pub fn ended(&mut self) -> bool {
        let mut rest = Vec::new();
        match self.0.read_to_end(&mut rest) {
            Ok(_) => true,
            Err(e) => e.kind() == ErrorKind::ConnectionReset,
        }
    }

    pub fn send(&mut self, method: &str, target: &str, headers: &str, body: &str) {
        self.write(request(method, target, headers, body).as_bytes());
    }

    pub fn ask(&mut self, method: &str, target: &str, headers: &str, body: &str) -> Reply {
        self.send(method, target, headers, body);
        self.read()
    }

    /// A query of the platform's own protocol.
    pub fn query(&mut self, class: &str, id: &str, wait: u64, shards: &[u32]) {
        self.write(query(class, id, wait, shards).as_bytes());
    }
}

/// A request as it goes over the wire.
pub fn request(method: &str, target: &str, headers: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "{method} {target} HTTP/1.1\r\nHost: x\r\n{headers}Content-Length: {length}\r\n\r\n{body}"
    )
}

/// A query of the platform's own protocol as it goes over the wire.
pub fn query(class: &str, id: &str, wait: u64, shards: &[u32]) -> String {
    let share = 1.0 / shards.len() as f64;
    let parts: Vec<Value> = shards
        .iter()
        .map(|s| json!({"tablet": s, "fraction": share}))
        .collect();
    let key = if class == "book" {
        format!("Idempotency-Key: k-{id}\r\n")
    } else {
        String::new()
    };
    let headers = format!(
        "Req-Id: {id}\r\nReq-Kind: {class}\r\nReq-Owner: coop\r\nReq-Deadline-Ms: {wait}\r\n{key}"
    );
    let body = json!({"tablets": parts, "statement": "what"}).to_string();
    request("POST", &format!("/{class}"), &headers, &body)
}
