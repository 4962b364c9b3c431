//! Many users come at once, with requests of half the size that the limits allow. The platform ends
//! a process that exceeds `memory_mb`.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::backends::{Fleet, Place};
use crate::hosts::Host;
use crate::http::Kept;
use crate::record::Record;
use crate::store::Store;

/// `limits.memory_mb` of a host.
const MEMORY_BYTES: u64 = 260 * 1_000_000;
/// Half of `max_body_bytes`.
const BODY_BYTES: usize = 2 * 1_024 * 1_024;
const WORK: Duration = Duration::from_millis(3_000);
/// Requests a second, over all hosts, and their multiple while many users come at once.
const RATE_PER_S: f64 = 36.0;
const BURST: f64 = 2.5;
const BURST_FROM_S: f64 = 5.0;
const BURST_TO_S: f64 = 15.0;
const LENGTH_S: f64 = 20.0;
const HOSTS: usize = 2;
/// Requests of kept connections that a machine may lose.
const ALLOWED: usize = 3;

const CONFIG: &str = r#"{"version":7,"routes":[{"name":"r-plan","hostname":"shop.example","path_prefix":"/plan/","kind":"unsafe","timeout_ms":8000,"target_latency_ms":4000,"priority":2,"service":"desk","max_attempts":1,"sticky":false,"resumable":false}],"services":[{"name":"desk","health_path":"/healthz","max_conns":360,"protocol":"h1","tls":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#;

/// What became of a request.
struct End {
    id: String,
    is_kept: bool,
    status: u16,
}

/// Opens a connection, sends a short request on it, and then one with a long body.
fn send(number: usize, to: SocketAddr, body: &[u8], record: &Record) -> End {
    let id = format!("{:016x}", 0xf000_0000 + number);
    let headers = |id: &str| {
        format!("Host: shop.example\r\nX-Yuccacove-Request-Id: {id}\r\nX-Yuccacove-Deadline-Ms: 8000\r\n")
    };
    let mut end = End { id: id.clone(), is_kept: false, status: 0 };
    if let Ok(mut kept) = Kept::open(to, Duration::from_secs(10)) {
        let short = format!("{:016x}", 0xe000_0000 + number);
        end.is_kept = kept.post("/plan/short", &headers(&short), b"short").status == 200;
        if end.is_kept {
            end.status = kept.post("/plan/long", &headers(&id), body).status;
        }
    }
    record.line(format!("{id} to {to}: kept={} {}", end.is_kept, end.status));
    end
}

/// Ends and restarts each host that exceeds its memory, until `is_over`. Returns how often.
fn watch_memory(mut hosts: Vec<Host>, record: &Record, is_over: &AtomicBool) -> (usize, u64) {
    let (mut kills, mut most) = (0, 0);
    while !is_over.load(Ordering::SeqCst) {
        for host in &mut hosts {
            let bytes = host.memory_bytes();
            most = most.max(bytes);
            if bytes > MEMORY_BYTES {
                record.line(format!("{} uses {bytes} bytes and is killed", host.callers));
                host.kill_and_restart(record);
                kills += 1;
            }
        }
        thread::sleep(Duration::from_millis(20));
    }
    (kills, most)
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
        // A short request is answered as a long one is; both are counted in flight.
        work: WORK,
        arrivals: Mutex::default(),
        crashes: Mutex::default(),
    });
    let zones = ["a", "b"];
    let _servers: Vec<Arc<Place>> = (0..6).map(|n| Place::spawn(&fleet, "desk", zones[n % 2], None)).collect();
    let hosts: Vec<Host> = (0..HOSTS)
        .map(|n| Host::spawn(n, zones[n % 2], store_address, folder, record))
        .collect();
    if !hosts.iter().all(|host| host.wait_until_ready(Duration::from_secs(15))) {
        record.say("a host did not become ready");
        return None;
    }
    thread::sleep(Duration::from_millis(4_000));
    let callers: Vec<SocketAddr> = hosts.iter().map(|host| host.callers).collect();
    let is_over = Arc::new(AtomicBool::new(false));
    let platform = {
        let (record, is_over) = (Arc::clone(record), Arc::clone(&is_over));
        thread::spawn(move || watch_memory(hosts, &record, &is_over))
    };
    let body = Arc::new(vec![b'x'; BODY_BYTES]);
    let started = Instant::now();
    let mut clients = Vec::new();
    while started.elapsed().as_secs_f64() < LENGTH_S {
        let (number, to) = (clients.len(), callers[clients.len() % HOSTS]);
        let (body, record) = (Arc::clone(&body), Arc::clone(record));
        clients.push(thread::spawn(move || send(number, to, &body, &record)));
        let now_s = started.elapsed().as_secs_f64();
        let is_burst = is_trouble && (BURST_FROM_S..BURST_TO_S).contains(&now_s);
        let rate_per_s = RATE_PER_S * if is_burst { BURST } else { 1.0 };
        thread::sleep(Duration::from_secs_f64(1.0 / rate_per_s));
    }
    let ends: Vec<End> = clients.into_iter().filter_map(|client| client.join().ok()).collect();
    is_over.store(true, Ordering::SeqCst);
    let (kills, most) = platform.join().ok()?;
    let arrivals = fleet.arrivals.lock().unwrap();
    let passed_on: HashSet<&str> = arrivals.iter().map(|a| a.request.as_str()).collect();
    let is_lost = |end: &&End| end.is_kept && end.status == 0 && passed_on.contains(end.id.as_str());
    let lost = ends.iter().filter(is_lost).count();
    let served = ends.iter().filter(|end| end.status == 200).count();
    record.say(format!(
        "{} requests with long bodies, {served} served; most memory of a host {} MB of {} MB, {kills} \
         kills; {lost} requests of kept connections passed on and not answered ({ALLOWED} allowed)",
        ends.len(),
        most / 1_000_000,
        MEMORY_BYTES / 1_000_000
    ));
    (served > 0).then_some(lost <= ALLOWED)
}
