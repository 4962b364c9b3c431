//! A plain service that takes orders, its configuration, and the clients that send them.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::AtomicBool;
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle, sleep};
use std::time::{Duration, Instant};

use crate::host::Host;
use crate::http::{Answer, Request, answer, call, serve_until};
use crate::record::Record;

pub const SERVICE: &str = "pedidos-lojas";
const DEADLINE_MS: u64 = 4_000;
/// Time that a server works on an order; the mean of the site's sheet.
const WORK: Duration = Duration::from_millis(60);

/// An order at a server.
#[derive(Debug, Clone)]
pub struct Run {
    pub server: String,
    pub at: Instant,
}

pub type Runs = Arc<Mutex<HashMap<String, Run>>>;

/// An order as its client saw it.
#[derive(Debug, Clone)]
pub struct Sent {
    pub id: String,
    /// Number of the host, from 1 on.
    pub host: usize,
    pub sent: Instant,
    pub status: Option<u16>,
}

/// Starts an order server, until `is_gone`.
pub fn desk(id: &str, runs: &Runs, is_gone: &Arc<AtomicBool>) -> SocketAddr {
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
        sleep(WORK);
        let seal = format!("X-Yuccacove-Response-Seal: {id}.{order}\r\n");
        answer("200 OK", &(echo + &seal), &format!("{id} did {order}"))
    })
}

/// Returns the entry with which a server registers.
pub fn entry(service: &str, address: SocketAddr, state: &str) -> String {
    format!(
        "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"recife-a\",\"version\":\"v1\",\
         \"slots\":6,\"state\":\"{state}\",\"cold_ms\":0,\"seq\":4,\"born\":1765000000000}}"
    )
}

pub fn config() -> String {
    format!(
        "{{\"version\":3,\"routes\":[{{\"name\":\"reserva-corte\",\"hostname\":\"loja.example\",\
         \"path_prefix\":\"/reserva/\",\"kind\":\"unsafe\",\"timeout_ms\":2000,\"target_latency_ms\":300,\
         \"priority\":2,\"service\":\"{SERVICE}\",\"max_attempts\":1,\"sticky\":false,\"resumable\":false}}],\
         \"services\":[{{\"name\":\"{SERVICE}\",\"health_path\":\"/healthz\",\"max_conns\":100,\
         \"protocol\":\"h1\",\"tls\":false}}],\"limits\":{{\"max_header_bytes\":16384,\
         \"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}"
    )
}

/// Sends an order on a new connection.
pub fn send(to: SocketAddr, host: usize, number: usize) -> Sent {
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

/// Sends orders to the hosts in turn, one each `interval`, until `until`.
pub fn clients(callers: Vec<SocketAddr>, interval: Duration, until: Instant) -> JoinHandle<Vec<Sent>> {
    thread::spawn(move || {
        let mut calls = Vec::new();
        let mut due = Instant::now();
        while due < until {
            wait_until(due);
            due += interval;
            let number = calls.len() + 1;
            let host = number % callers.len();
            let to = callers[host];
            calls.push(thread::spawn(move || send(to, host + 1, number)));
        }
        calls.into_iter().map(|call| call.join().expect("a client")).collect()
    })
}

/// Starts hosts and waits until they are ready; `None` if one is not.
pub fn start_hosts(count: usize, store: SocketAddr, folder: &Path, record: &mut Record) -> Option<Vec<Host>> {
    let mut hosts = Vec::new();
    for number in 1..=count {
        let mut host = Host::new(&format!("front-recife-a-{number}"), "recife-a", store, folder);
        if !host.start() {
            record.note("a host did not get ready");
            return None;
        }
        hosts.push(host);
    }
    record.note("the hosts are ready");
    Some(hosts)
}

pub fn wait_until(at: Instant) {
    sleep(at.saturating_duration_since(Instant::now()));
}

/// Orders that reached a server after it had left.
#[derive(Debug, Default)]
pub struct Late {
    pub orders: usize,
    /// Those later than a certain time.
    pub calm: usize,
    /// Those that were not answered with 200.
    pub lost: usize,
}

/// Records all orders, and counts those that reached `server` after `bound`, and of these those after
/// `calm_from`.
pub fn count_late(
    server: &str,
    bound: Instant,
    calm_from: Instant,
    sent: &[Sent],
    runs: &Runs,
    record: &mut Record,
) -> Late {
    let runs = runs.lock().expect("not poisoned");
    let mut late = Late::default();
    for order in sent {
        let run = runs.get(&order.id);
        let is_late = run.is_some_and(|run| run.server == server && run.at > bound);
        late.orders += usize::from(is_late);
        late.calm += usize::from(is_late && run.is_some_and(|run| run.at > calm_from));
        late.lost += usize::from(is_late && order.status != Some(200));
        let status = order.status.map_or("none".to_owned(), |status| status.to_string());
        let by = run.map_or("-", |run| run.server.as_str());
        let mark = if is_late { "  <-- the server has left" } else { "" };
        let line = format!("order {} at host {}: answered {status}, run by {by}{mark}", order.id, order.host);
        record.line(order.sent, &line);
    }
    let done = sent.iter().filter(|order| order.status == Some(200)).count();
    record.note(&format!("{done} of {} orders were answered with 200", sent.len()));
    late
}
