//! Case 8: an order server that has left gets orders again, because the store came back from a copy that
//! lists it and a host is told of that entry twice.

mod host;
mod http;
mod store;

use std::collections::HashMap;
use std::fmt::Write as _;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

use host::Host;
use http::{Answer, Request, answer, call, serve_until};
use store::Store;

const SERVICE: &str = "pedidos-lojas";
/// A service to which nothing is sent here.
const OTHER_SERVICE: &str = "modelo-cortes";
const HOSTS: usize = 7;
/// `drain_ms` of the site.
const DRAIN: Duration = Duration::from_millis(2_000);
/// `contact_ms` of the site.
const CONTACT: Duration = Duration::from_millis(3_000);
/// Three heartbeats of 1,200 ms, after which the store removes the entry of a silent server.
const LAPSE: Duration = Duration::from_millis(3_600);
/// Time from the store's return to the exit of the server that has left.
const EXIT: Duration = Duration::from_millis(3_500);
const DEADLINE_MS: u64 = 4_000;
/// Time between two orders, over all hosts.
const INTERVAL: Duration = Duration::from_millis(10);
/// The server that leaves.
const LEAVING: &str = "i-3";

/// An order at a server.
#[derive(Debug, Clone)]
struct Run {
    server: String,
    at: Instant,
}

type Runs = Arc<Mutex<HashMap<String, Run>>>;

struct Sent {
    id: String,
    host: usize,
    sent: Instant,
    status: Option<u16>,
}

/// Starts an order server that works 60 ms on each order, until `is_gone`.
fn desk(id: &str, runs: &Runs, is_gone: &Arc<AtomicBool>) -> SocketAddr {
    let (id, runs) = (id.to_owned(), Arc::clone(runs));
    serve_until(Arc::clone(is_gone), move |request: &Request| -> Answer {
        let instance = format!("X-Yuccacove-Instance-Id: {id}\r\n");
        if request.path == "/healthz" {
            return answer("200 OK", &instance, "");
        }
        let order = request.header("x-yuccacove-request-id").unwrap_or_default().to_owned();
        let echo = format!("X-Yuccacove-Request-Id: {order}\r\n");
        if request.header("x-yuccacove-expect-instance").is_some_and(|e| e != id) {
            return answer("421 Misdirected Request", &(instance + &echo), "");
        }
        if order.is_empty() {
            return answer("400 Bad Request", "X-Yuccacove-Not-Run: 1\r\n", "");
        }
        let run = Run { server: id.clone(), at: Instant::now() };
        runs.lock().expect("not poisoned").insert(order.clone(), run);
        sleep(Duration::from_millis(60));
        let seal = format!("X-Yuccacove-Response-Seal: {id}.{order}\r\n");
        answer("200 OK", &(echo + &seal), &format!("{id} did {order}"))
    })
}

fn entry(service: &str, address: SocketAddr) -> String {
    format!(
        "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"recife-a\",\"version\":\"v1\",\
         \"slots\":6,\"state\":\"ready\",\"cold_ms\":0,\"seq\":4,\"born\":1765000000000}}"
    )
}

fn service_of(id: &str) -> &'static str {
    if id == "i-4" { SERVICE } else { OTHER_SERVICE }
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

fn send(to: SocketAddr, host: usize, number: usize) -> Sent {
    let id = format!("{number:016x}");
    let body = format!("corte {id}");
    let text = format!(
        "POST /reserva/2f HTTP/1.1\r\nHost: loja.example\r\nX-Yuccacove-Request-Id: {id}\r\n\
         X-Yuccacove-Deadline-Ms: {DEADLINE_MS}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    let sent = Instant::now();
    let received = call(to, &text, Duration::from_millis(DEADLINE_MS));
    Sent { id, host, sent, status: received.map(|received| received.status) }
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

fn wait_until(at: Instant) {
    sleep(at.saturating_duration_since(Instant::now()));
}

/// Returns whether the rule held; `None` if the case could not run.
fn run(folder: &Path, has_trouble: bool, record: &mut Record) -> Option<bool> {
    let store = Store::new();
    let address = store.listen();
    let runs = Runs::default();
    let stays = Arc::new(AtomicBool::new(false));
    let is_gone = Arc::new(AtomicBool::new(false));
    store.put("config", "main", &config());
    for id in ["i-1", "i-2"] {
        store.put("servers", id, &entry(SERVICE, desk(id, &runs, &stays)));
    }
    store.put("servers", LEAVING, &entry(SERVICE, desk(LEAVING, &runs, &is_gone)));
    let mut hosts = Vec::new();
    for number in 1..=HOSTS {
        let mut host = Host::new(&format!("front-recife-a-{number}"), "recife-a", address, folder);
        if !host.start() {
            record.note("a host did not get ready");
            return None;
        }
        hosts.push(host);
    }
    record.note("the hosts are ready");
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
        store.put("servers", id, &entry(service_of(id), *desk));
    }
    record.note("servers are added: i-4 beside the others, i-5 and i-6 of another service");
    let callers: Vec<SocketAddr> = hosts.iter().map(|host| host.callers).collect();
    let until = settled + Duration::from_secs(12);
    let clients = thread::spawn(move || {
        let mut calls = Vec::new();
        let mut due = Instant::now();
        let mut number = 0;
        while due < until {
            wait_until(due);
            due += INTERVAL;
            number += 1;
            let host = number % callers.len();
            let to = callers[host];
            calls.push(thread::spawn(move || send(to, host, number)));
        }
        calls.into_iter().map(|call| call.join().expect("a client")).collect::<Vec<_>>()
    });
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
            store.put("servers", id, &entry(service_of(id), *desk));
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
        for line in host.log_lines(&["E415", "E417", "relay", "back_end=i-3 service"]) {
            let _ = writeln!(record.text, "log of host {}: {line}", number + 1);
        }
    }
    Some(judge(left, back, &sent, &runs, record))
}

fn judge(left: Instant, back: Instant, sent: &[Sent], runs: &Runs, record: &mut Record) -> bool {
    let runs = runs.lock().expect("not poisoned");
    let (mut late, mut calm, mut lost) = (0, 0, 0);
    for order in sent {
        let run = runs.get(&order.id);
        let is_late = run.is_some_and(|run| run.server == LEAVING && run.at > left + DRAIN);
        let status = order.status.map_or("none".to_owned(), |status| status.to_string());
        late += usize::from(is_late);
        calm += usize::from(is_late && run.is_some_and(|run| run.at > back + CONTACT));
        lost += usize::from(is_late && order.status != Some(200));
        let server = run.map_or("-", |run| run.server.as_str());
        let mark = if is_late { "  <-- the server has left" } else { "" };
        let at = record.seconds(order.sent);
        let (id, host) = (&order.id, order.host + 1);
        let _ = writeln!(record.text, "{at:7.3} s  order {id} at host {host}: answered {status}, run by {server}{mark}");
    }
    let done = sent.iter().filter(|order| order.status == Some(200)).count();
    record.note(&format!("{done} of {} orders were answered with 200", sent.len()));
    record.note(&format!("orders that reached i-3 later than drain_ms after it had left: {late}; lost with its exit: {lost}"));
    record.note(&format!("of these, later than contact_ms after the store's return: {calm}"));
    late == 0
}

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let (Some(folder), Some(path)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: left FOLDER RECORD");
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
