//! Case 8: a part of a prompt that crashes engines goes on reaching them, because several requests with it
//! come at the same moment.

mod engine;
mod host;
mod http;
mod record;
mod store;

use std::collections::HashSet;
use std::net::SocketAddr;
use std::path::Path;
use std::process::ExitCode;
use std::sync::{Arc, Mutex};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

use engine::{EVENTS, Fleet};
use host::Host;
use http::call_with_body;
use record::Record;
use store::Store;

const SERVICE: &str = "modelo-cortes";
const ENGINES: usize = 12;
const HOSTS: usize = 3;
/// The part of a prompt that crashes engines.
const DEADLY: &str = "dead0001";
/// `contact_ms` of the site.
const CONTACT: Duration = Duration::from_millis(3_000);
/// Crash after which the rule begins to count, and the number of requests that it allows.
const COUNTED_AFTER: usize = 5;
const ALLOWED: usize = 3;
/// Requests with the deadly part that come at the same moment, and the time from one such moment to the next.
const AT_ONCE: usize = 4;
const PAUSE: Duration = Duration::from_millis(4_000);
const MOMENTS: u32 = 6;
const DEADLINE_MS: u64 = 8_000;

fn config() -> String {
    format!(
        "{{\"version\":3,\"routes\":[{{\"name\":\"balcao-trecho\",\"hostname\":\"loja.example\",\
         \"path_prefix\":\"/balcao/\",\"kind\":\"streaming\",\"timeout_ms\":8000,\"target_latency_ms\":250,\
         \"priority\":0,\"service\":\"{SERVICE}\",\"max_attempts\":1,\"sticky\":true,\"resumable\":false,\
         \"target_gap_ms\":150}}],\"services\":[{{\"name\":\"{SERVICE}\",\"health_path\":\"/healthz\",\
         \"max_conns\":360,\"protocol\":\"h1\",\"tls\":false,\"engine\":{{\"slots\":64,\"kv_tokens\":469588,\
         \"token_kv_bytes\":163840,\"link_mbps\":1200000.0,\"moves\":true,\"backups\":true,\"stride\":9,\
         \"most\":12,\"handle_ttl_s\":5.0,\"switch_s\":3.0,\"pin_ms\":4000.0,\"hold_ms\":2000.0,\
         \"models\":[{{\"name\":\"m\"}}]}}}}],\"limits\":{{\"max_header_bytes\":16384,\
         \"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}"
    )
}

/// A request as its client saw it.
struct Sent {
    id: String,
    is_deadly: bool,
    sent: Instant,
    status: Option<u16>,
    is_whole: bool,
}

fn send(host: SocketAddr, number: usize, is_deadly: bool) -> Sent {
    let id = format!("{number:016x}");
    let second = if is_deadly { DEADLY.to_owned() } else { format!("5b{:06x}", number % 40) };
    let body = format!("trecho {id}");
    let text = format!(
        "POST /balcao/2f HTTP/1.1\r\nHost: loja.example\r\nX-Yuccacove-Request-Id: {id}\r\n\
         X-Yuccacove-Model: m\r\nX-Yuccacove-Token-Count: 826,300\r\n\
         X-Yuccacove-Prompt-Prefix: a1a1a1a1:119,{second}:79,c{number:07x}:628\r\n\
         X-Yuccacove-Deadline-Ms: {DEADLINE_MS}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    let sent = Instant::now();
    let received = call_with_body(host, &text, Duration::from_millis(DEADLINE_MS));
    let whole: String = (1..=EVENTS).map(|n| format!("id: {n}\ndata: {id}-{n}\n\n")).collect();
    let is_whole = received.as_ref().is_some_and(|(_, body)| body.as_deref() == Some(whole.as_bytes()));
    Sent { id, is_deadly, sent, status: received.map(|(status, _)| status), is_whole }
}

fn run(folder: &Path, has_trouble: bool, record: &mut Record) -> Option<bool> {
    let store = Store::new();
    let address = store.listen();
    store.put("config", "main", &config());
    let fleet = Arc::new(Fleet {
        store,
        service: SERVICE.to_owned(),
        deadly: has_trouble.then(|| DEADLY.to_owned()),
        watched: DEADLY.to_owned(),
        runs: Mutex::default(),
        crashes: Mutex::default(),
        problems: Mutex::default(),
    });
    for number in 1..=ENGINES {
        engine::spawn(&fleet, &format!("i-{number}"));
    }
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
    // The hosts settle, and choose the phases of the engines.
    sleep(Duration::from_secs(10));
    let callers: Vec<SocketAddr> = hosts.iter().map(|host| host.callers).collect();
    let from = Instant::now();
    let until = from + PAUSE * MOMENTS;
    let sound_callers = callers.clone();
    let sound = thread::spawn(move || {
        let mut calls = Vec::new();
        let mut due = Instant::now();
        let mut number = 0;
        while due < until {
            sleep(due.saturating_duration_since(Instant::now()));
            due += Duration::from_millis(20);
            number += 1;
            let host = sound_callers[number % sound_callers.len()];
            calls.push(thread::spawn(move || send(host, number, false)));
        }
        calls.into_iter().map(|call| call.join().expect("a client")).collect::<Vec<_>>()
    });
    record.note("sound requests begin, 50 a second");
    let mut deadly = Vec::new();
    for moment in 0..MOMENTS {
        let due = from + Duration::from_secs(2) + PAUSE * moment;
        sleep(due.saturating_duration_since(Instant::now()));
        for at in 0..AT_ONCE {
            let number = 0x0d00_0000 + (moment as usize) * AT_ONCE + at;
            let host = callers[at % callers.len()];
            deadly.push(thread::spawn(move || send(host, number, true)));
        }
    }
    let deadly: Vec<Sent> = deadly.into_iter().map(|call| call.join().expect("a client")).collect();
    let sound = sound.join().expect("the clients");
    for host in &hosts {
        for line in host.log_lines(&["E403", "E404", "suspect", "crash_observed"]) {
            record.text += &format!("log: {line}\n");
        }
    }
    Some(judge(&fleet, &deadly, &sound, record))
}

fn judge(fleet: &Fleet, deadly: &[Sent], sound: &[Sent], record: &mut Record) -> bool {
    let crashes = fleet.crashes.lock().expect("not poisoned").clone();
    let runs = fleet.runs.lock().expect("not poisoned").clone();
    for (at, engine, broken) in &crashes {
        record.line(*at, &format!("engine {engine} crashes; it was at work on {} others", broken.len()));
    }
    for request in deadly.iter().chain(sound) {
        let status = request.status.map_or("none".to_owned(), |status| status.to_string());
        let kind = if request.is_deadly { "deadly" } else { "sound" };
        let end = if request.is_whole { "whole" } else { "not whole" };
        record.line(request.sent, &format!("{kind} request {}: answered {status}, {end}", request.id));
    }
    let whole = sound.iter().filter(|request| request.is_whole).count();
    record.note(&format!("{whole} of {} sound requests were served whole", sound.len()));
    record.note(&format!("{} engines crashed", crashes.len()));
    let Some((fifth, ..)) = crashes.get(COUNTED_AFTER - 1) else {
        record.note("fewer than five crashes: nothing is counted");
        return true;
    };
    let counted_from = *fifth + CONTACT;
    let at = record.seconds(counted_from);
    let late: Vec<_> = runs.iter().filter(|run| run.is_deadly && run.at > counted_from).collect();
    for run in &late {
        record.line(run.at, &format!("deadly request {} reaches engine {}", run.id, run.engine));
    }
    let cut: HashSet<&String> = crashes
        .iter()
        .filter(|(at, ..)| *at > counted_from)
        .flat_map(|(_, _, broken)| broken)
        .collect();
    let lost = sound.iter().filter(|request| !request.is_whole && cut.contains(&request.id)).count();
    record.note(&format!("from {at:.3} s on, {} requests with the deadly part reached engines; {ALLOWED} are allowed", late.len()));
    record.note(&format!("sound requests that were at work at engines that crashed from then on, and were lost: {lost}"));
    late.len() <= ALLOWED
}

fn main() -> ExitCode {
    record::main(run)
}
