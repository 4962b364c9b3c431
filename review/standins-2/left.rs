//! Case 9: an order server that has left gets orders again, because the store came back from a copy that
//! lists it and a host is told of that entry twice.

mod host;
mod http;
mod plain;
mod record;
mod store;

use std::net::SocketAddr;
use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use plain::{Runs, SERVICE, clients, config, count_late, desk, entry, start_hosts, wait_until};
use record::Record;
use store::Store;

/// A service to which nothing is sent here.
const OTHER_SERVICE: &str = "modelo-cortes";
const HOSTS: usize = 7;
/// `drain_ms` and `contact_ms` of the site.
const DRAIN: Duration = Duration::from_millis(2_000);
const CONTACT: Duration = Duration::from_millis(3_000);
/// Three heartbeats of 1,200 ms, after which the store removes the entry of a silent server.
const LAPSE: Duration = Duration::from_millis(3_600);
/// Time from the store's return to the exit of the server that has left.
const EXIT: Duration = Duration::from_millis(3_500);
/// Time between two orders, over all hosts.
const INTERVAL: Duration = Duration::from_millis(10);
/// The server that leaves.
const LEAVING: &str = "i-3";

fn service_of(id: &str) -> &'static str {
    if id == "i-4" { SERVICE } else { OTHER_SERVICE }
}

fn run(folder: &Path, has_trouble: bool, record: &mut Record) -> Option<bool> {
    let store = Store::new();
    let address = store.listen();
    let runs = Runs::default();
    let stays = Arc::new(AtomicBool::new(false));
    let is_gone = Arc::new(AtomicBool::new(false));
    store.put("config", "main", &config());
    for id in ["i-1", "i-2"] {
        store.put("servers", id, &entry(SERVICE, desk(id, &runs, &stays), "ready"));
    }
    store.put("servers", LEAVING, &entry(SERVICE, desk(LEAVING, &runs, &is_gone), "ready"));
    let hosts = start_hosts(HOSTS, address, folder, record)?;
    let settled = Instant::now() + Duration::from_secs(8);
    wait_until(settled);
    store.keep_copy();
    record.note("platform: the store's content is copied");
    wait_until(settled + Duration::from_millis(500));
    store.delete("servers", LEAVING);
    let left = Instant::now();
    record.note("server i-3 leaves: its entry is removed, it serves on for some seconds");
    wait_until(settled + Duration::from_millis(1_000));
    let joined: Vec<(&str, SocketAddr)> =
        ["i-4", "i-5", "i-6"].into_iter().map(|id| (id, desk(id, &runs, &stays))).collect();
    for (id, desk) in &joined {
        store.put("servers", id, &entry(service_of(id), *desk, "ready"));
    }
    record.note("servers are added: i-4 beside the others, i-5 and i-6 of another service");
    let callers = hosts.iter().map(|host| host.callers).collect();
    let clients = clients(callers, INTERVAL, settled + Duration::from_secs(12));
    wait_until(settled + Duration::from_millis(4_000));
    if has_trouble {
        store.leave();
        record.note("platform: a drill begins, the store is away");
        wait_until(settled + Duration::from_millis(4_500));
        store.come_back_from_copy();
        record.note("platform: the store is back from the copy, Store-Era 2; the copy lists i-3");
    }
    let back = settled + Duration::from_millis(4_500);
    for (number, (id, desk)) in (1..).zip(&joined) {
        // Each at its next heartbeat.
        wait_until(back + Duration::from_millis(number * 100 - 40));
        if has_trouble {
            store.put("servers", id, &entry(service_of(id), *desk, "ready"));
            record.note(&format!("server {id} registers again"));
        }
    }
    wait_until(back + EXIT);
    is_gone.store(true, Ordering::SeqCst);
    record.note("server i-3 exits");
    wait_until(back + LAPSE);
    if has_trouble {
        store.delete("servers", LEAVING);
        record.note("platform: the entry of i-3 lapses, three heartbeats after the store's return");
    }
    let sent = clients.join().expect("the clients");
    for (number, host) in hosts.iter().enumerate() {
        for line in host.log_lines(&["E307", "E308", "E415", "E417", "E505", "E506"]) {
            record.text += &format!("log of host {}: {line}\n", number + 1);
        }
    }
    let late = count_late(LEAVING, left + DRAIN, back + CONTACT, &sent, &runs, record);
    record.note(&format!("orders that reached i-3 later than drain_ms after it had left: {}", late.orders));
    record.note(&format!("of these, later than contact_ms after the store's return: {}", late.calm));
    record.note(&format!("of these, lost with its exit: {}", late.lost));
    Some(late.orders == 0)
}

fn main() -> ExitCode {
    record::main(run)
}
