//! A faulty plain server sends, in place of a few of its answers, bytes that bear neither the id of
//! the request nor the server's signature.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::backends::{Fleet, Place};
use crate::hosts::Host;
use crate::http;
use crate::record::Record;
use crate::store::Store;

/// One of the two servers spoils each 50th of its answers.
const SPOILED_EACH: usize = 50;
const SPOILED_ZONE: &str = "a";
const CLIENTS: usize = 8;
const SENT_EACH: usize = 100;
const INTERVAL: Duration = Duration::from_millis(150);
const HOSTS: usize = 3;

const BYTES: &str = "HTTP/1.1 200 OK\r\nContent-Type: text/html\r\nContent-Length: 25\r\n\r\n<html>It works!</html>\r\n\n";

const CONFIG: &str = r#"{"version":7,"routes":[{"name":"r-order","hostname":"shop.example","path_prefix":"/order/","kind":"unsafe","timeout_ms":2000,"target_latency_ms":300,"priority":2,"service":"desk","max_attempts":1,"sticky":false,"resumable":false},{"name":"r-read","hostname":"shop.example","path_prefix":"/read/","kind":"safe","timeout_ms":2000,"target_latency_ms":300,"priority":2,"service":"desk","max_attempts":2,"sticky":false,"resumable":false}],"services":[{"name":"desk","health_path":"/healthz","max_conns":100,"protocol":"h1","tls":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#;

/// What the callers got.
#[derive(Default)]
struct Counts {
    sealed: AtomicUsize,
    unsealed: AtomicUsize,
    failed: AtomicUsize,
}

fn send_all(client: usize, hosts: &[SocketAddr], record: &Record, counts: &Counts) {
    for sent in 0..SENT_EACH {
        let id = format!("{:016x}", 0xc000_0000 + client * 0x1_0000 + sent);
        let to = hosts[(client + sent) % hosts.len()];
        let (method, target, body) = if sent % 3 == 0 {
            ("GET", format!("/read/{id}"), "")
        } else {
            ("POST", format!("/order/{id}"), "one truss")
        };
        let headers = format!("Host: shop.example\r\nX-Yuccacove-Request-Id: {id}\r\nX-Yuccacove-Deadline-Ms: 4000\r\n");
        let answer = http::call(to, method, &target, &headers, body.as_bytes(), Duration::from_secs(5));
        let seal = answer.headers.get("x-yuccacove-response-seal");
        let text = String::from_utf8_lossy(&answer.body).trim().to_owned();
        let is_own = seal.is_some() && text == format!("answer to {id}");
        let count = match answer.status {
            200..=299 if is_own => &counts.sealed,
            200..=299 => &counts.unsealed,
            _ => &counts.failed,
        };
        count.fetch_add(1, Ordering::SeqCst);
        record.line(format!("{method} {target}: {} seal={seal:?} body={text:?}", answer.status));
        thread::sleep(INTERVAL);
    }
}

/// Returns whether the rule held; `None` if the case could not run.
pub fn run(is_trouble: bool, record: &Arc<Record>, folder: &Path) -> Option<bool> {
    let (store, store_address, _store_server) = Store::spawn();
    store.put("config", "main", Some(CONFIG.to_owned()));
    let answered = AtomicUsize::new(0);
    let fleet = Arc::new(Fleet {
        store,
        record: Arc::clone(record),
        is_deadly: Box::new(|_| false),
        spoil: Box::new(move |zone| {
            let is_faulty = is_trouble && zone == SPOILED_ZONE;
            let number = answered.fetch_add(usize::from(is_faulty), Ordering::SeqCst);
            (is_faulty && number % SPOILED_EACH == SPOILED_EACH - 1).then(|| BYTES.to_owned())
        }),
        work: Duration::from_millis(60),
        arrivals: Mutex::default(),
        crashes: Mutex::default(),
    });
    let _servers: Vec<Arc<Place>> = ["a", "b"].iter().map(|zone| Place::spawn(&fleet, "desk", zone, None)).collect();
    let hosts: Vec<Host> = (0..HOSTS)
        .map(|n| Host::spawn(n, ["a", "b"][n % 2], store_address, folder, record))
        .collect();
    if !hosts.iter().all(|host| host.wait_until_ready(Duration::from_secs(15))) {
        record.say("a host did not become ready");
        return None;
    }
    let callers: Vec<SocketAddr> = hosts.iter().map(|host| host.callers).collect();
    let counts = Arc::new(Counts::default());
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (callers, record, counts) = (callers.clone(), Arc::clone(record), Arc::clone(&counts));
            thread::spawn(move || send_all(client, &callers, &record, &counts))
        })
        .collect();
    for client in clients {
        client.join().ok()?;
    }
    let load = |count: &AtomicUsize| count.load(Ordering::SeqCst);
    record.say(format!(
        "{} requests: {} answered with the server's seal and body, {} answered 2xx without them, {} failed",
        CLIENTS * SENT_EACH,
        load(&counts.sealed),
        load(&counts.unsealed),
        load(&counts.failed)
    ));
    (load(&counts.sealed) > 0).then(|| load(&counts.unsealed) == 0)
}
