//! Case 6: hosts do not learn any more which servers leave, because the store holds an entry of another writer
//! with bytes that cannot be read.

mod host;
mod http;
mod plain;
mod record;
mod store;

use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use plain::{Runs, SERVICE, clients, config, count_late, desk, entry, start_hosts, wait_until};
use record::Record;
use store::Store;

const HOSTS: usize = 3;
/// `drain_ms` of the site.
const DRAIN: Duration = Duration::from_millis(2_000);
/// Time between two orders, over all hosts.
const INTERVAL: Duration = Duration::from_millis(20);
/// The server that leaves.
const LEAVING: &str = "i-3";
/// Name of the entry that another writer puts into the store, and its content: a text in UTF-16.
const FOREIGN: &str = "i-caixa";
const FOREIGN_CONTENT: &str = "{\"nota\":\"\0c\0a\0i\0x\0a\"}";

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
    let leaving = desk(LEAVING, &runs, &is_gone);
    store.put("servers", LEAVING, &entry(SERVICE, leaving, "ready"));
    let mut hosts = start_hosts(HOSTS, address, folder, record)?;
    let settled = Instant::now() + Duration::from_secs(8);
    wait_until(settled);
    let callers = hosts.iter().map(|host| host.callers).collect();
    let clients = clients(callers, INTERVAL, settled + Duration::from_secs(12));
    wait_until(settled + Duration::from_millis(1_000));
    if has_trouble {
        store.put("servers", FOREIGN, FOREIGN_CONTENT);
        record.note("another writer puts the entry servers/i-caixa, a text in UTF-16");
    }
    wait_until(settled + Duration::from_millis(3_000));
    store.put("servers", LEAVING, &entry(SERVICE, leaving, "draining"));
    let left = Instant::now();
    record.note("server i-3 reports that it drains");
    wait_until(left + Duration::from_millis(6_000));
    store.delete("servers", LEAVING);
    is_gone.store(true, Ordering::SeqCst);
    record.note("server i-3 exits, 6 s later");
    let sent = clients.join().expect("the clients");
    let late = count_late(LEAVING, left + DRAIN, left + DRAIN, &sent, &runs, record);
    record.note(&format!("orders that reached i-3 later than drain_ms after its report: {}", late.orders));
    record.note(&format!("of these, lost with its exit: {}", late.lost));
    hosts[0].stop();
    let is_back = hosts[0].start();
    record.note(&format!("host 1 is stopped with SIGTERM and started again; ready within 15 s: {is_back}"));
    for (number, host) in hosts.iter().enumerate() {
        for line in host.log_lines(&["E308", "E401", "E415"]) {
            record.text += &format!("log of host {}: {line}\n", number + 1);
        }
    }
    Some(late.orders == 0)
}

fn main() -> ExitCode {
    record::main(run)
}
