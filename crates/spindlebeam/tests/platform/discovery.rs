//! A scripted discovery service, the lists that it sends, and the balancer's configuration.

use super::WAIT_TIMEOUT;
use serde_json::{Value, json};
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, channel};
use std::thread;

/// A discovery service that answers polls with a fixed list and sends on watches what the test pushes.
pub struct Discovery {
    pub addr: SocketAddr,
    /// The paths of the requests.
    pub paths: Receiver<String>,
    /// The connections of open watches.
    watches: Receiver<TcpStream>,
}

impl Discovery {
    pub fn start(list: Value) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let addr = listener.local_addr().unwrap();
        let ((path_sender, paths), (watch_sender, watches)) = (channel(), channel());
        thread::spawn(move || {
            for mut stream in listener.incoming().map_while(Result::ok) {
                let mut line = String::new();
                let _ = BufReader::new(stream.try_clone().unwrap()).read_line(&mut line);
                let path = line.split(' ').nth(1).unwrap_or_default().to_owned();
                if path.contains("watch") {
                    let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
                    let _ = watch_sender.send(stream);
                } else {
                    let body = list.to_string();
                    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
                    let _ = stream.write_all((head + &body).as_bytes());
                }
                let _ = path_sender.send(path);
            }
        });
        Self { addr, paths, watches }
    }
    /// Waits for the connection of the next watch.
    pub fn next_watch(&self) -> TcpStream {
        self.watches.recv_timeout(WAIT_TIMEOUT).expect("the balancer opened no watch in time")
    }
    /// Waits for the path of the next request.
    pub fn next_path(&self) -> String {
        self.paths.recv_timeout(WAIT_TIMEOUT).expect("the balancer sent no request to discovery in time")
    }
}

/// Writes a line to a watch as one chunk.
pub fn push(watch: &mut TcpStream, line: &str) {
    write!(watch, "{:x}\r\n{line}\n\r\n", line.len() + 1).unwrap();
}

/// A list entry of an endpoint; the id `origin` makes it an origin.
pub fn member(id: &str, addr: SocketAddr, phase: &str) -> Value {
    let flavor = if id == "origin" { "origin" } else { "m" };
    json!({"id": id, "host_port": addr.to_string(), "locality": "a", "flavor": flavor, "cell": 0,
           "phase": phase, "size": 1.0, "up_since_ms": 0})
}

/// An endpoint list, whole or a change.
pub fn list(revision: u64, complete: bool, members: &[Value]) -> Value {
    json!({"revision": revision, "complete": complete, "members": members})
}

/// The classes `leer` (idempotent), `alta` (with idempotency key) and `folio` (fragile) have times no test reaches;
/// `prisa` has a short objective, so that its first attempt times out early.
pub fn settings() -> Value {
    let class = |name: &str, effect: &str, objective_us: u64| {
        json!({"name": name, "effect": effect, "keyScope": "all", "memorySpanUs": 4_000_000, "worth": 1.0,
               "lateWorth": 0.0, "onTimeUs": objective_us, "deadlineUs": 60_000_000})
    };
    json!({
        "me": 0, "siblings": 1, "dcs": ["a"], "locality": 0, "hostTypes": ["m", "origin"],
        "specifics": {"mode": "aside", "originKind": 1},
        "permissions": {"maxAttempts": 5, "cancel": true, "retryAfter": true, "maxRetryAfterUs": 1_000_000,
                        "secondCopies": false, "dialTimeoutUs": 1_000_000, "connIdleUs": 60_000_000},
        "profiles": [class("leer", "retryable", 50_000_000), class("alta", "dedup", 50_000_000),
                     class("folio", "fragile", 50_000_000), class("prisa", "retryable", 6_000_000)],
        "tenants": [{"name": "acme", "quotaPerS": 1000.0, "share": 1.0}],
        "discovery": "push", "weights": "nominal"
    })
}

/// The configuration of a balancer at an unused port.
pub fn config(discovery: SocketAddr, sockets: u64, known: Value) -> Value {
    json!({"name": "n0", "listen": "127.0.0.1:0", "discovery": discovery.to_string(),
           "seed": "8c1f30d27a5be964", "limits": {"cores": 1.0, "memory_mb": 192, "sockets": sockets},
           "known": known, "settings": settings()})
}
