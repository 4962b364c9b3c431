//! Two of four plain servers crash, a moment apart, while a caller polls a status page: it sends the
//! next request when it has the answer to the last one. Other callers have pages of their own.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::backends::{Fleet, Place};
use crate::hosts::Host;
use crate::http;
use crate::record::Record;
use crate::store::Store;

const POLLERS: usize = 2;
const POLL_PAUSE: Duration = Duration::from_millis(100);
/// Time between the two crashes.
const APART: Duration = Duration::from_millis(250);
const AFTER: Duration = Duration::from_secs(25);
const HOSTS: usize = 3;
/// Requests that may be ended with a status of the system's own, and one more for each so many.
const ALLOWED: usize = 5;
const ALLOWED_EACH: usize = 500;

const CONFIG: &str = r#"{"version":7,"routes":[{"name":"r-read","hostname":"shop.example","path_prefix":"/read/","kind":"safe","timeout_ms":2000,"target_latency_ms":300,"priority":2,"service":"desk","max_attempts":2,"sticky":false,"resumable":false}],"services":[{"name":"desk","health_path":"/healthz","max_conns":100,"protocol":"h1","tls":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#;

/// Polls a page until `is_over`; returns the statuses.
fn poll(page: usize, hosts: &[SocketAddr], record: &Record, is_over: &AtomicBool) -> Vec<u16> {
    let mut statuses = Vec::new();
    while !is_over.load(Ordering::SeqCst) {
        let id = format!("{:016x}", 0xe000_0000 + page * 0x1_0000 + statuses.len());
        let to = hosts[(page + statuses.len()) % hosts.len()];
        let headers = format!("Host: shop.example\r\nX-Yuccacove-Request-Id: {id}\r\nX-Yuccacove-Deadline-Ms: 4000\r\n");
        let target = format!("/read/page-{page}");
        let answer = http::call(to, "GET", &target, &headers, b"", Duration::from_secs(5));
        record.line(format!("GET {target} {id}: {}", answer.status));
        statuses.push(answer.status);
        thread::sleep(POLL_PAUSE);
    }
    statuses
}

/// Crashes the server that works on page 0; `None` if none does within a second.
fn crash_at_work(servers: &[Arc<Place>]) -> Option<()> {
    for _ in 0..500 {
        if let Some(server) = servers.iter().find(|server| server.works_on("/read/page-0")) {
            server.crash();
            return Some(());
        }
        thread::sleep(Duration::from_millis(2));
    }
    None
}

/// Returns whether the rule held; `None` if the case could not run.
pub fn run(is_trouble: bool, record: &Arc<Record>, folder: &Path) -> Option<bool> {
    let (store, store_address, _store_server) = Store::spawn();
    store.put("config", "main", Some(CONFIG.to_owned()));
    let fleet = Arc::new(Fleet {
        store,
        record: Arc::clone(record),
        is_deadly: Box::new(|_| false),
        spoil: Box::new(|_| None),
        work: Duration::from_millis(450),
        arrivals: Mutex::default(),
        at_work: Mutex::default(),
        crashes: Mutex::default(),
    });
    let zones = ["a", "b", "a", "b"];
    let servers: Vec<Arc<Place>> = zones.iter().map(|zone| Place::spawn(&fleet, "desk", zone, None)).collect();
    let hosts: Vec<Host> = (0..HOSTS)
        .map(|n| Host::spawn(n, zones[n], store_address, folder, record))
        .collect();
    if !hosts.iter().all(|host| host.wait_until_ready(Duration::from_secs(15))) {
        record.say("a host did not become ready");
        return None;
    }
    let callers: Vec<SocketAddr> = hosts.iter().map(|host| host.callers).collect();
    let is_over = Arc::new(AtomicBool::new(false));
    let pollers: Vec<_> = (0..POLLERS)
        .map(|page| {
            let (callers, record, is_over) = (callers.clone(), Arc::clone(record), Arc::clone(&is_over));
            thread::spawn(move || poll(page, &callers, &record, &is_over))
        })
        .collect();
    thread::sleep(Duration::from_secs(5));
    if is_trouble {
        // The first server crashes while it works on page 0; the host sends the request to another
        // one, which crashes while it works on it.
        crash_at_work(&servers)?;
        thread::sleep(APART);
        crash_at_work(&servers)?;
    }
    thread::sleep(AFTER);
    is_over.store(true, Ordering::SeqCst);
    let (mut all, mut served, mut denied, mut pages) = (0, 0, 0, 0);
    for poller in pollers {
        let statuses = poller.join().ok()?;
        let own = statuses.iter().filter(|s| (300..500).contains(*s) && ![408, 421, 429].contains(*s)).count();
        all += statuses.len();
        served += statuses.iter().filter(|s| **s == 200).count();
        denied += own;
        pages += usize::from(own > 0);
    }
    let allowed = ALLOWED + all / ALLOWED_EACH;
    record.say(format!(
        "{all} requests, {served} served, {denied} ended with a 3xx or 4xx of the system's own \
         ({allowed} allowed), on {pages} of {POLLERS} pages"
    ));
    (served > 0).then_some(denied <= allowed)
}
