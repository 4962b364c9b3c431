//! The store comes back from a copy that lacks the last configurations. The operator writes them
//! again, one after the other, while callers use a route of the last one.

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

const FIRST: u64 = 5;
const LAST: u64 = 11;
/// Pause between two configurations that come in quick succession.
const STORM_GAP: Duration = Duration::from_millis(330);
/// Time from the last of them until the store goes away, and time for which it is away.
const BEFORE: Duration = Duration::from_secs(5);
const AWAY: Duration = Duration::from_secs(1);
/// Time from the store's return until the operator writes again, and pause between two writes.
const AGAIN_AFTER: Duration = Duration::from_millis(500);
const AGAIN_GAP: Duration = Duration::from_secs(1);
/// `contact_ms`: machines are in touch again when the store has been back for so long.
const CONTACT_S: f64 = 3.0;
const HOSTS: usize = 3;

/// Returns the configuration `version`; each adds a route to the one before.
fn config(version: u64) -> String {
    let route = |name: String| {
        format!(
            "{{\"name\":\"r-{name}\",\"hostname\":\"shop.example\",\"path_prefix\":\"/{name}/\",\"kind\":\"safe\",\"timeout_ms\":2000,\"target_latency_ms\":300,\"priority\":2,\"service\":\"desk\",\"max_attempts\":2,\"sticky\":false,\"resumable\":false}}"
        )
    };
    let routes: Vec<String> = (FIRST..=version).map(|version| route(format!("stock{version}"))).collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"desk\",\"health_path\":\"/healthz\",\"max_conns\":100,\"protocol\":\"h1\",\"tls\":false}}],\"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}",
        routes.join(",")
    )
}

/// An answer to a request on the last configuration's route.
struct Answered {
    at_s: f64,
    host: usize,
    status: u16,
}

fn poll(hosts: &[SocketAddr], record: &Record, is_over: &AtomicBool) -> Vec<Answered> {
    let mut answered: Vec<Answered> = Vec::new();
    while !is_over.load(Ordering::SeqCst) {
        for (host, to) in hosts.iter().enumerate() {
            let id = format!("{:016x}", 0xb000_0000 + answered.len());
            let headers = format!("Host: shop.example\r\nX-Yuccacove-Request-Id: {id}\r\nX-Yuccacove-Deadline-Ms: 4000\r\n");
            let target = format!("/stock{LAST}/2f");
            let status = http::call(*to, "GET", &target, &headers, b"", Duration::from_secs(5)).status;
            record.line(format!("GET {target} {id} to host {host}: {status}"));
            answered.push(Answered { at_s: record.now_s(), host, status });
        }
        thread::sleep(Duration::from_millis(50));
    }
    answered
}

/// Returns whether the rule held; `None` if the case could not run.
pub fn run(is_trouble: bool, record: &Arc<Record>, folder: &Path) -> Option<bool> {
    let (store, store_address, _store_server) = Store::spawn();
    let write = |version: u64| {
        store.put("config", "main", Some(config(version)));
        record.line(format!("the operator writes configuration {version}"));
    };
    write(FIRST);
    let fleet = Arc::new(Fleet {
        store: Arc::clone(&store),
        record: Arc::clone(record),
        is_deadly: Box::new(|_| false),
        spoil: Box::new(|_| None),
        work: Duration::from_millis(20),
        arrivals: Mutex::default(),
        crashes: Mutex::default(),
    });
    let zones = ["a", "b", "c"];
    let _servers: Vec<Arc<Place>> = zones.iter().map(|zone| Place::spawn(&fleet, "desk", zone, None)).collect();
    let hosts: Vec<Host> = (0..HOSTS)
        .map(|n| Host::spawn(n, zones[n % 3], store_address, folder, record))
        .collect();
    if !hosts.iter().all(|host| host.wait_until_ready(Duration::from_secs(15))) {
        record.say("a host did not become ready");
        return None;
    }
    thread::sleep(Duration::from_millis(4_000));
    let copy = store.copy();
    for version in FIRST + 1..=LAST {
        write(version);
        thread::sleep(STORM_GAP);
    }
    thread::sleep(Duration::from_millis(3_000));
    let callers: Vec<SocketAddr> = hosts.iter().map(|host| host.callers).collect();
    let is_over = Arc::new(AtomicBool::new(false));
    let poller = {
        let (record, is_over) = (Arc::clone(record), Arc::clone(&is_over));
        thread::spawn(move || poll(&callers, &record, &is_over))
    };
    thread::sleep(BEFORE - Duration::from_millis(3_000));
    let away_s = record.now_s();
    if is_trouble {
        store.go_away();
        record.line("the store goes away");
        thread::sleep(AWAY);
        store.restore(&copy);
        record.line("the store is back from a copy");
    }
    let back_s = record.now_s();
    thread::sleep(AGAIN_AFTER);
    for version in FIRST + 1..=LAST {
        if is_trouble {
            write(version);
        }
        thread::sleep(AGAIN_GAP);
    }
    thread::sleep(Duration::from_secs(2));
    is_over.store(true, Ordering::SeqCst);
    let answered = poller.join().ok()?;
    let served_before = |host: usize| answered.iter().any(|a| a.host == host && a.status == 200 && a.at_s < away_s);
    if !(0..HOSTS).all(served_before) {
        record.say("a host did not serve the route before the disruption");
        return None;
    }
    let refused = answered.iter().filter(|a| a.status == 404);
    let late: Vec<&Answered> = refused.clone().filter(|a| a.at_s > back_s + CONTACT_S).collect();
    let hosts_late = (0..HOSTS).filter(|host| late.iter().any(|a| a.host == *host)).count();
    record.say(format!(
        "{} requests on a route that each host had served; {} answered 404, {} of them later than {CONTACT_S} s \
         after the store's return, by {hosts_late} of {HOSTS} hosts",
        answered.len(),
        refused.count(),
        late.len()
    ));
    Some(late.is_empty())
}
