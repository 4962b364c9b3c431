//! Case 6: a host that was restarted since the latest configuration takes up an older one when the
//! operator writes again, one after the other, what the store lost in a drill.

mod host;
mod http;
mod store;

use std::collections::HashMap;
use std::fmt::Write as _;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::{Arc, Mutex};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

use host::Host;
use http::{Answer, Request, answer, call, serve};
use store::Store;

/// Service of the bookings before the move, and after it.
const OLD_DESK: &str = "pedidos-lojas";
const NEW_DESK: &str = "pedidos-novos";
/// `rollback_slack_ms` of the site.
const ROLLBACK_SLACK: Duration = Duration::from_millis(250);
/// Interval between two bookings, and between two exchanges.
const INTERVAL: Duration = Duration::from_millis(50);
const DEADLINE_MS: u64 = 4_000;

/// When each request ran, and at which service.
type Runs = Arc<Mutex<HashMap<String, (Instant, &'static str)>>>;

/// A request as its client saw it.
struct Sent {
    id: String,
    is_booking: bool,
    sent: Instant,
    status: Option<u16>,
}

/// Starts a plain server that runs each request for 20 ms.
fn desk(service: &'static str, instance: &'static str, runs: &Runs) -> SocketAddr {
    let runs = Arc::clone(runs);
    serve(move |request: &Request| -> Answer {
        let headers = format!("X-Yuccacove-Instance-Id: {instance}\r\n");
        if request.path == "/healthz" {
            return answer("200 OK", &headers, "");
        }
        let id = request.header("x-yuccacove-request-id").unwrap_or_default().to_owned();
        let echo = format!("X-Yuccacove-Request-Id: {id}\r\n");
        if request.header("x-yuccacove-expect-instance").is_some_and(|e| e != instance) {
            return answer("421 Misdirected Request", &(headers + &echo), "");
        }
        if id.is_empty() {
            return answer("400 Bad Request", "X-Yuccacove-Not-Run: 1\r\n", "");
        }
        runs.lock().expect("not poisoned").insert(id.clone(), (Instant::now(), service));
        sleep(Duration::from_millis(20));
        let seal = format!("X-Yuccacove-Response-Seal: {instance}.{id}\r\n");
        answer("200 OK", &(echo + &seal), &format!("{service} did {id}"))
    })
}

fn entry(service: &str, address: SocketAddr) -> String {
    format!(
        "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"recife-a\",\"version\":\"v1\",\
         \"slots\":6,\"state\":\"ready\",\"cold_ms\":0,\"seq\":4,\"born\":1765000000000}}"
    )
}

/// Returns a configuration. `service` gets the bookings; exchanges have a route only if
/// `has_exchanges`.
fn config(version: u32, timeout_ms: u32, service: &str, has_exchanges: bool) -> String {
    let route = |name: &str, prefix: &str, service: &str| {
        format!(
            "{{\"name\":\"{name}\",\"hostname\":\"loja.example\",\"path_prefix\":\"{prefix}\",\
             \"kind\":\"unsafe\",\"timeout_ms\":{timeout_ms},\"target_latency_ms\":300,\"priority\":2,\
             \"service\":\"{service}\",\"max_attempts\":1,\"sticky\":false,\"resumable\":false}}"
        )
    };
    let mut routes = vec![route("reserva-corte", "/reserva/", service)];
    if has_exchanges {
        routes.push(route("troca-corte", "/troca/", NEW_DESK));
    }
    let service = |name: &str| {
        format!(
            "{{\"name\":\"{name}\",\"health_path\":\"/healthz\",\"max_conns\":100,\"protocol\":\"h1\",\
             \"tls\":false}}"
        )
    };
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{},{}],\"limits\":{{\
         \"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\
         \"idle_timeout_ms\":15000}}}}",
        routes.join(","),
        service(OLD_DESK),
        service(NEW_DESK)
    )
}

/// Sends a booking or an exchange, on a new connection.
fn send(host: SocketAddr, id: &str, is_booking: bool) -> Sent {
    let path = if is_booking { "/reserva/2f" } else { "/troca/2f" };
    let body = format!("corte {id}");
    let text = format!(
        "POST {path} HTTP/1.1\r\nHost: loja.example\r\nX-Yuccacove-Request-Id: {id}\r\n\
         X-Yuccacove-Deadline-Ms: {DEADLINE_MS}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    let sent = Instant::now();
    let received = call(host, &text, Duration::from_millis(DEADLINE_MS));
    let status = received.map(|received| received.status);
    Sent { id: id.to_owned(), is_booking, sent, status }
}

/// What happened, with the time in seconds.
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

fn wait_until(began: Instant, s: f64) {
    let due = began + Duration::from_secs_f64(s);
    sleep(due.saturating_duration_since(Instant::now()));
}

/// Returns whether the rule held; `None` if the case could not run.
fn run(folder: &Path, has_trouble: bool, record: &mut Record) -> Option<bool> {
    let began = record.began;
    let store = Store::new();
    let runs = Runs::default();
    let old = desk(OLD_DESK, "i-old", &runs);
    let new = desk(NEW_DESK, "i-new", &runs);
    let store_address = store.listen();
    store.put("servers", "i-old", &entry(OLD_DESK, old));
    store.put("servers", "i-new", &entry(NEW_DESK, new));
    let first = config(3, 2_000, OLD_DESK, false);
    let second = config(5, 3_000, OLD_DESK, false);
    let third = config(8, 3_000, NEW_DESK, true);
    store.put("config", "main", &first);
    record.note("operator: version 3, bookings go to pedidos-lojas");
    let mut host = Host::new("front-recife-a-1", "recife-a", store_address, folder);
    if !host.start() {
        record.note("the host did not get ready");
        return None;
    }
    record.note("the host is ready");
    wait_until(began, 0.9);
    store.keep_copy();
    record.note("platform: the store's content is copied");
    wait_until(began, 1.0);
    store.put("config", "main", &second);
    record.note("operator: version 5, longer time-outs");
    wait_until(began, 3.0);
    store.put("config", "main", &third);
    record.note("operator: version 8, bookings go to pedidos-novos, exchanges are added");
    wait_until(began, 3.6);
    let is_graceful = host.stop();
    record.note(&format!("platform: SIGTERM; the process ended by itself: {is_graceful}"));
    if !host.start() {
        record.note("the host did not get ready again");
        return None;
    }
    record.note("the host is ready again");
    let (callers, from) = (host.callers, Instant::now());
    let clients = thread::spawn(move || {
        let mut sent = Vec::new();
        let mut calls = Vec::new();
        let mut due = Instant::now();
        let mut number = 0;
        while due.saturating_duration_since(began) < Duration::from_secs(18) {
            sleep(due.saturating_duration_since(Instant::now()));
            due += INTERVAL;
            for is_booking in [true, false] {
                number += 1;
                let id = format!("{number:016x}");
                calls.push(thread::spawn(move || send(callers, &id, is_booking)));
            }
        }
        for call in calls {
            sent.push(call.join().expect("a client"));
        }
        sent
    });
    if has_trouble {
        wait_until(began, 8.0);
        store.leave();
        record.note("platform: a drill begins, the store is away");
        wait_until(began, 8.5);
        store.come_back_from_copy();
        record.note("platform: the store is back from the copy, Store-Era 2");
        wait_until(began, 12.5);
        store.put("config", "main", &second);
        record.note("operator: writes version 5 again");
        wait_until(began, 14.5);
        store.put("config", "main", &third);
        record.note("operator: writes version 8 again");
    }
    let sent = clients.join().expect("the clients");
    for line in host.log_lines(&["E417", "E601", "E602"]) {
        let _ = writeln!(record.text, "log: {line}");
    }
    Some(judge(from, &sent, &runs, record))
}

/// Checks that the process, which has run bookings at the new desk, handles no later one as only an
/// older version allows.
fn judge(from: Instant, sent: &[Sent], runs: &Runs, record: &mut Record) -> bool {
    let runs = runs.lock().expect("not poisoned");
    let at_new = runs.values().filter(|(at, service)| *service == NEW_DESK && *at >= from);
    let Some(seen) = at_new.map(|(at, _)| *at).min() else {
        record.note("pedidos-novos never ran a request");
        return false;
    };
    let at = record.seconds(seen);
    let _ = writeln!(record.text, "{at:7.3} s  pedidos-novos runs the first request: version 8 is seen");
    let (mut old_runs, mut missing, mut booked, mut served) = (0, 0, 0, 0);
    for request in sent {
        let run = runs.get(&request.id);
        let service = run.map_or("-", |(_, service)| *service);
        let status = request.status.map_or("none".to_owned(), |status| status.to_string());
        let is_late = request.sent > seen + ROLLBACK_SLACK;
        let is_old_run = is_late && request.is_booking && service == OLD_DESK;
        let is_missing = is_late && !request.is_booking && request.status == Some(404);
        old_runs += usize::from(is_old_run);
        missing += usize::from(is_missing);
        let is_good = request.status == Some(200) && service == NEW_DESK;
        booked += usize::from(request.is_booking && is_good);
        served += usize::from(!request.is_booking && is_good);
        let kind = if request.is_booking { "booking" } else { "exchange" };
        let mark = if is_old_run || is_missing { "  <-- as only an older version allows" } else { "" };
        let (at, id) = (record.seconds(request.sent), &request.id);
        let _ = writeln!(record.text, "{at:7.3} s  {kind} {id}: answered {status}, run by {service}{mark}");
    }
    let total = sent.len() / 2;
    record.note(&format!("{booked} of {total} bookings and {served} of {total} exchanges done by pedidos-novos"));
    record.note(&format!("bookings run by pedidos-lojas after version 8 was seen: {old_runs}"));
    record.note(&format!("exchanges refused with 404 after version 8 was seen: {missing}"));
    old_runs == 0 && missing == 0
}

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let (Some(folder), Some(path)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: drill FOLDER RECORD");
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
