//! Case 6: no host comes back from a planned restart, because the store holds an entry of another writer at
//! which the listing of the servers never gets on.

mod host;
mod http;
mod store;

use std::fmt::Write as _;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, MutexGuard};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

use host::Host;
use http::{Answer, Request, answer, call, serve};
use store::Store;

const SERVICE: &str = "pedidos-lojas";
const HOSTS: usize = 3;
/// `memory_mb` of the site; the platform kills a process that exceeds it.
const MEMORY_BYTES: u64 = 260 * 1_024 * 1_024;
/// Pause before the platform starts a process again.
const RESTART_DELAY: Duration = Duration::from_millis(500);
/// `recover_s` of the site.
const RECOVER: Duration = Duration::from_secs(12);
const DEADLINE_MS: u64 = 4_000;
/// Name of the entry that another writer puts into the store, and the size of its content, which is within
/// `value_bytes` (1,048,576).
const FOREIGN: &str = "R&D-1";
const FOREIGN_BYTES: usize = 1_040_000;

/// A host as the platform keeps it running.
struct Machine {
    host: Mutex<Host>,
    is_stopped: AtomicBool,
    /// Processes that were killed because they exceeded the memory of their machine.
    over_memory: Mutex<Vec<(Instant, u64)>>,
}

fn lock(host: &Mutex<Host>) -> MutexGuard<'_, Host> {
    host.lock().expect("not poisoned")
}

impl Machine {
    /// Kills the process if it exceeds its memory and starts it again, until `is_over`.
    fn watch(&self, is_over: &AtomicBool) {
        while !is_over.load(Ordering::SeqCst) {
            sleep(Duration::from_millis(20));
            if self.is_stopped.load(Ordering::SeqCst) {
                continue;
            }
            let mut host = lock(&self.host);
            let resident = host.resident_bytes().unwrap_or(0);
            if resident <= MEMORY_BYTES {
                continue;
            }
            host.kill();
            drop(host);
            self.over_memory.lock().expect("not poisoned").push((Instant::now(), resident));
            sleep(RESTART_DELAY);
            lock(&self.host).launch();
        }
    }
}

/// Starts an order server that works 20 ms on each order.
fn desk(id: &'static str) -> SocketAddr {
    serve(move |request: &Request| -> Answer {
        let instance = format!("X-Yuccacove-Instance-Id: {id}\r\n");
        if request.path == "/healthz" {
            return answer("200 OK", &instance, "");
        }
        let order = request.header("x-yuccacove-request-id").unwrap_or_default().to_owned();
        let echo = format!("X-Yuccacove-Request-Id: {order}\r\n");
        if request.header("x-yuccacove-expect-instance").is_some_and(|e| e != id) {
            return answer("421 Misdirected Request", &(instance + &echo), "");
        }
        sleep(Duration::from_millis(20));
        let seal = format!("X-Yuccacove-Response-Seal: {id}.{order}\r\n");
        answer("200 OK", &(echo + &seal), &format!("{id} did {order}"))
    })
}

fn entry(address: SocketAddr) -> String {
    format!(
        "{{\"service\":\"{SERVICE}\",\"address\":\"{address}\",\"zone\":\"recife-a\",\"version\":\"v1\",\
         \"slots\":6,\"state\":\"ready\",\"cold_ms\":0,\"seq\":4,\"born\":1765000000000}}"
    )
}

fn config() -> String {
    format!(
        "{{\"version\":3,\"routes\":[{{\"name\":\"reserva-corte\",\"hostname\":\"loja.example\",\
         \"path_prefix\":\"/reserva/\",\"kind\":\"unsafe\",\"timeout_ms\":2000,\"target_latency_ms\":300,\
         \"priority\":2,\"service\":\"{SERVICE}\",\"max_attempts\":1,\"sticky\":false,\"resumable\":false}}],\
         \"services\":[{{\"name\":\"{SERVICE}\",\"health_path\":\"/healthz\",\"max_conns\":100,\
         \"protocol\":\"h1\",\"tls\":false}}],\"limits\":{{\"max_header_bytes\":16384,\
         \"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}"
    )
}

/// Sends an order and returns the status; `None` if there is no answer.
fn send(to: SocketAddr, number: usize) -> Option<u16> {
    let id = format!("{number:016x}");
    let body = format!("corte {id}");
    let text = format!(
        "POST /reserva/2f HTTP/1.1\r\nHost: loja.example\r\nX-Yuccacove-Request-Id: {id}\r\n\
         X-Yuccacove-Deadline-Ms: {DEADLINE_MS}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    call(to, &text, Duration::from_millis(DEADLINE_MS)).map(|received| received.status)
}

struct Record {
    began: Instant,
    text: String,
}

impl Record {
    fn seconds(&self, at: Instant) -> f64 {
        at.saturating_duration_since(self.began).as_secs_f64()
    }

    fn note(&mut self, what: &str) {
        let at = self.seconds(Instant::now());
        let _ = writeln!(self.text, "{at:7.3} s  {what}");
        println!("{at:7.3} s  {what}");
    }
}

/// Sends an order to each host in turn for `for_s` seconds. Returns how many were answered with 200, and how
/// many were sent.
fn load(callers: &[SocketAddr], for_s: u64, record: &mut Record) -> (usize, usize) {
    let until = Instant::now() + Duration::from_secs(for_s);
    let (mut served, mut sent) = (0, 0);
    while Instant::now() < until {
        let host = sent % callers.len();
        sent += 1;
        let status = send(callers[host], sent);
        served += usize::from(status == Some(200));
        let text = status.map_or("not answered".to_owned(), |status| format!("answered {status}"));
        let at = record.seconds(Instant::now());
        let _ = writeln!(record.text, "{at:7.3} s  order {sent} at host {}: {text}", host + 1);
        sleep(Duration::from_millis(50));
    }
    (served, sent)
}

/// Returns whether the rule held; `None` if the case could not run.
fn run(folder: &Path, has_trouble: bool, record: &mut Record) -> Option<bool> {
    let store = Store::new();
    let address = store.listen();
    store.put("config", "main", &config());
    for id in ["i-1", "i-2", "i-3"] {
        store.put("servers", id, &entry(desk(id)));
    }
    let mut machines = Vec::new();
    for number in 1..=HOSTS {
        let mut host = Host::new(&format!("front-recife-a-{number}"), "recife-a", address, folder);
        if !host.start() {
            record.note("a host did not get ready");
            return None;
        }
        machines.push(Arc::new(Machine {
            host: Mutex::new(host),
            is_stopped: AtomicBool::new(false),
            over_memory: Mutex::default(),
        }));
    }
    record.note("the hosts are ready");
    let callers: Vec<SocketAddr> = machines.iter().map(|machine| lock(&machine.host).callers).collect();
    let is_over = Arc::new(AtomicBool::new(false));
    let watchers: Vec<_> = machines
        .iter()
        .map(|machine| {
            let (machine, is_over) = (Arc::clone(machine), Arc::clone(&is_over));
            thread::spawn(move || machine.watch(&is_over))
        })
        .collect();
    let (served, sent) = load(&callers, 3, record);
    record.note(&format!("before: {served} of {sent} orders answered with 200"));
    if has_trouble {
        let content = format!("{{\"note\":\"{}\"}}", "x".repeat(FOREIGN_BYTES));
        store.put("servers", FOREIGN, &content);
        record.note(&format!("another writer puts the entry servers/{FOREIGN}, without the fields of a server"));
    }
    let (served, sent) = load(&callers, 3, record);
    record.note(&format!("hosts that run on: {served} of {sent} orders answered with 200"));
    for (number, machine) in machines.iter().enumerate() {
        machine.is_stopped.store(true, Ordering::SeqCst);
        let mut host = lock(&machine.host);
        host.stop();
        host.launch();
        drop(host);
        machine.is_stopped.store(false, Ordering::SeqCst);
        record.note(&format!("platform: host {} is stopped with SIGTERM and started again", number + 1));
        sleep(Duration::from_secs(2));
    }
    sleep(RECOVER);
    record.note("recover_s after the last start");
    let ready = machines.iter().filter(|machine| lock(&machine.host).is_ready()).count();
    let (served, sent) = load(&callers, 5, record);
    is_over.store(true, Ordering::SeqCst);
    for watcher in watchers {
        let _ = watcher.join();
    }
    let mut kills = 0;
    let mut looping = 0;
    for (number, machine) in machines.iter().enumerate() {
        let over = machine.over_memory.lock().expect("not poisoned");
        kills += over.len();
        looping += usize::from(over.len() >= 3);
        for (at, resident) in over.iter() {
            let at = record.seconds(*at);
            let megabytes = resident / (1_024 * 1_024);
            let _ = writeln!(record.text, "{at:7.3} s  host {} uses {megabytes} MB of 260: killed", number + 1);
        }
        for line in lock(&machine.host).log_lines(&["E415", "E416", "E601", "store_lost"]).iter().rev().take(4) {
            let _ = writeln!(record.text, "log of host {}: {line}", number + 1);
        }
    }
    record.note(&format!("{ready} of {HOSTS} hosts are ready"));
    record.note(&format!("after: {served} of {sent} orders answered with 200"));
    record.note(&format!("processes killed because they exceeded their memory: {kills}; hosts with three or more: {looping}"));
    Some(looping < 2 && served * 4 >= sent)
}

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let (Some(folder), Some(path)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: foreign FOLDER RECORD");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let mut record = Record { began: Instant::now(), text: String::new() };
    let held = run(&PathBuf::from(folder), has_trouble, &mut record);
    let verdict = match held {
        Some(true) => "the rule held",
        Some(false) => "the rule was broken",
        None => "the case could not run",
    };
    record.note(verdict);
    if std::fs::write(path, &record.text).is_err() {
        return ExitCode::from(2);
    }
    match held {
        Some(true) => ExitCode::SUCCESS,
        Some(false) => ExitCode::from(1),
        None => ExitCode::from(2),
    }
}
