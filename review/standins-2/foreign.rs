//! Case 7: no host comes back from a planned restart, because the store holds an entry of another writer at
//! which the listing of the servers never gets on.

mod host;
mod http;
mod plain;
mod record;
mod store;

use std::net::SocketAddr;
use std::path::Path;
use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

use host::Host;
use plain::{Runs, SERVICE, config, desk, entry, send, start_hosts};
use record::Record;
use store::Store;

const HOSTS: usize = 3;
/// `memory_mb` of the site; the platform kills a process that exceeds it.
const MEMORY_BYTES: u64 = 260 * 1_024 * 1_024;
/// Pause before the platform starts a process again.
const RESTART_DELAY: Duration = Duration::from_millis(500);
/// `recover_s` of the site.
const RECOVER: Duration = Duration::from_secs(12);
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

/// Sends an order to each host in turn for `for_s` seconds. Returns how many were answered with 200, and how
/// many were sent.
fn load(callers: &[SocketAddr], for_s: u64, record: &mut Record) -> (usize, usize) {
    let until = Instant::now() + Duration::from_secs(for_s);
    let (mut served, mut sent) = (0, 0);
    while Instant::now() < until {
        let host = sent % callers.len();
        sent += 1;
        let order = send(callers[host], host + 1, sent);
        served += usize::from(order.status == Some(200));
        let text = order.status.map_or("not answered".to_owned(), |status| format!("answered {status}"));
        record.line(order.sent, &format!("order {sent} at host {}: {text}", host + 1));
        sleep(Duration::from_millis(50));
    }
    (served, sent)
}

fn run(folder: &Path, has_trouble: bool, record: &mut Record) -> Option<bool> {
    let store = Store::new();
    let address = store.listen();
    store.put("config", "main", &config());
    let (runs, stays) = (Runs::default(), Arc::new(AtomicBool::new(false)));
    for id in ["i-1", "i-2", "i-3"] {
        store.put("servers", id, &entry(SERVICE, desk(id, &runs, &stays), "ready"));
    }
    let hosts = start_hosts(HOSTS, address, folder, record)?;
    let machine = |host| {
        Arc::new(Machine {
            host: Mutex::new(host),
            is_stopped: AtomicBool::new(false),
            over_memory: Mutex::default(),
        })
    };
    let machines: Vec<Arc<Machine>> = hosts.into_iter().map(machine).collect();
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
            let megabytes = resident / (1_024 * 1_024);
            record.line(*at, &format!("host {} uses {megabytes} MB of 260: killed", number + 1));
        }
        for line in lock(&machine.host).log_lines(&["E415", "E416", "E601", "store_lost"]).iter().rev().take(4) {
            record.text += &format!("log of host {}: {line}\n", number + 1);
        }
    }
    record.note(&format!("{ready} of {HOSTS} hosts are ready"));
    record.note(&format!("after: {served} of {sent} orders answered with 200"));
    record.note(&format!("processes killed because they exceeded their memory: {kills}; hosts with three or more: {looping}"));
    Some(looping < 2 && served * 4 >= sent)
}

fn main() -> ExitCode {
    record::main(run)
}
