//! A streaming request that crashes each engine that begins to run it, before the engine has sent
//! a byte of an answer. Its client sends it again and again.

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

/// `contact_ms`: time within which the machines must know of the third crash.
const CONTACT_S: f64 = 3.0;
/// Retries that may still reach engines later than that.
const ALLOWED: usize = 3;
/// Number of times that the request is sent, and the interval.
const SENT: usize = 24;
const INTERVAL: Duration = Duration::from_millis(1_000);
const HOSTS: usize = 3;

const CONFIG: &str = r#"{"version":7,"routes":[{"name":"r-ask","hostname":"shop.example","path_prefix":"/ask/","kind":"streaming","timeout_ms":8000,"target_latency_ms":250,"priority":0,"service":"model","max_attempts":1,"sticky":true,"resumable":false,"target_gap_ms":150}],"services":[{"name":"model","health_path":"/healthz","max_conns":360,"protocol":"h1","tls":false,"engine":{"slots":64,"kv_tokens":469588,"token_kv_bytes":163840,"link_mbps":1200000.0,"moves":true,"backups":true,"stride":9,"most":12,"handle_ttl_s":5.0,"switch_s":3.0,"pin_ms":4000.0,"hold_ms":2000.0,"models":[{"name":"m"}]}}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#;

fn headers(id: &str, own_part: &str) -> String {
    format!(
        "Host: shop.example\r\nX-Yuccacove-Request-Id: {id}\r\nX-Yuccacove-Model: m\r\n\
         X-Yuccacove-Token-Count: 620,40\r\nX-Yuccacove-Prompt-Prefix: 5c1e07a2:119,{own_part}:501\r\n\
         X-Yuccacove-Deadline-Ms: 8000\r\n"
    )
}

/// Sends sound requests, whose last part is their own, until `is_over`.
fn send_sound(hosts: &[SocketAddr], record: &Record, is_over: &AtomicBool) -> (usize, usize) {
    let (mut sent, mut served) = (0, 0);
    while !is_over.load(Ordering::SeqCst) {
        let id = format!("{:016x}", 0xa000_0000 + sent);
        let own_part = format!("{:x}", 0xb000_0000u64 + sent as u64);
        let to = hosts[sent % hosts.len()];
        let answer = http::call(to, "POST", "/ask/2f", &headers(&id, &own_part), b"sound", Duration::from_secs(9));
        record.line(format!("sound {id}: {} whole={}", answer.status, answer.is_whole));
        sent += 1;
        served += usize::from(answer.status == 200 && answer.is_whole);
        thread::sleep(Duration::from_millis(150));
    }
    (sent, served)
}

/// Returns whether the rule held; `None` if the case could not run.
pub fn run(is_trouble: bool, record: &Arc<Record>, folder: &Path) -> Option<bool> {
    let (store, store_address, _store_server) = Store::spawn();
    store.put("config", "main", Some(CONFIG.to_owned()));
    let fleet = Arc::new(Fleet {
        store,
        record: Arc::clone(record),
        is_deadly: Box::new(move |request| is_trouble && request.body == b"deadly"),
        spoil: Box::new(|_| None),
        work: Duration::ZERO,
        arrivals: Mutex::default(),
        crashes: Mutex::default(),
    });
    let zones = ["a", "b", "c"];
    let _engines: Vec<Arc<Place>> = (0..9)
        .map(|n| Place::spawn(&fleet, "model", zones[n % 3], Some(if n < 3 { "prefill" } else { "decode" })))
        .collect();
    let hosts: Vec<Host> = (0..HOSTS).map(|n| Host::spawn(n, zones[n % 3], store_address, folder, record)).collect();
    if !hosts.iter().all(|host| host.wait_until_ready(Duration::from_secs(15))) {
        record.say("a host did not become ready");
        return None;
    }
    // Longer than `contact_ms`, so that the machines are in touch.
    thread::sleep(Duration::from_millis(4_000));
    let callers: Vec<SocketAddr> = hosts.iter().map(|host| host.callers).collect();
    let is_over = Arc::new(AtomicBool::new(false));
    let sound = {
        let (callers, record, is_over) = (callers.clone(), Arc::clone(record), Arc::clone(&is_over));
        thread::spawn(move || send_sound(&callers, &record, &is_over))
    };
    let mut senders = Vec::new();
    for sent in 0..SENT {
        let (to, record) = (callers[sent % HOSTS], Arc::clone(record));
        senders.push(thread::spawn(move || {
            let id = format!("{:016x}", 0xd000_0000 + sent);
            let answer = http::call(to, "POST", "/ask/2f", &headers(&id, "7d"), b"deadly", Duration::from_secs(9));
            record.line(format!("deadly {id}: {} whole={}", answer.status, answer.is_whole));
        }));
        thread::sleep(INTERVAL);
    }
    for sender in senders {
        let _ = sender.join();
    }
    is_over.store(true, Ordering::SeqCst);
    let (sent, served) = sound.join().ok()?;
    let crashes = fleet.crashes.lock().unwrap().clone();
    let arrivals = fleet.arrivals.lock().unwrap();
    let runs = |since_s: f64| {
        let deadly = arrivals.iter().filter(|a| a.request.starts_with("00000000d") && !a.is_prefill);
        deadly.filter(|a| a.at_s > since_s).count()
    };
    let late = crashes.get(2).map_or(0, |third_s| runs(third_s + CONTACT_S));
    record.say(format!(
        "deadly request sent {SENT} times, {} runs at engines, {} crashes; {late} runs later than \
         {CONTACT_S} s after the third crash ({ALLOWED} allowed); sound requests: {served} of {sent} served",
        runs(0.0),
        crashes.len()
    ));
    if sent == 0 || runs(0.0) == 0 || (!is_trouble && served < sent) {
        record.say("the requests were not served as they should be without the disruption");
        return None;
    }
    Some(late <= ALLOWED)
}
