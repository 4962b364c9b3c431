//! Callers that read slowly, beside streams of callers that do not.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::os::fd::FromRawFd;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::client::{self, Received};
use crate::engine::Engine;
use crate::host::{Host, free_address};
use crate::link;
use crate::store::Store;
use crate::{Outcome, Setting};

/// Memory of the smallest machines of the site, in megabytes.
const MEMORY_MB: u32 = 120;
/// Callers that read slowly.
const SLOW_CALLERS: usize = 300;
/// Size of the answers that they ask for.
const ANSWER_BYTES: u64 = 12_000_000;
/// Callers that send a long body slowly, and its size, which the configuration allows.
const SENDERS: usize = 14;
const BODY_BYTES: usize = 4_190_000;
/// Streams at a time.
const STREAMS: usize = 60;
/// Events of a stream, and the size of one.
const EVENTS: u64 = 100;
const EVENT_BYTES: u64 = 420;
const PLAYED: Duration = Duration::from_secs(50);

fn config() -> String {
    let route = |name: &str, kind: &str, service: &str, resumable: bool| {
        format!(
            "{{\"name\":\"{name}\",\"hostname\":\"shop.example\",\"path_prefix\":\"/{name}/\",\
             \"kind\":\"{kind}\",\"timeout_ms\":8000,\"target_latency_ms\":800,\"priority\":1,\
             \"service\":\"{service}\",\"max_attempts\":2,\"sticky\":{resumable},\
             \"resumable\":{resumable},\"target_gap_ms\":250}}"
        )
    };
    format!(
        "{{\"version\":3,\"routes\":[{},{}],\"services\":[{{\"name\":\"model\",\
         \"health_path\":\"/healthz\",\"max_conns\":670,\"protocol\":\"h1\",\"tls\":false,\
         \"engine\":{{\"slots\":64,\"kv_tokens\":400000,\"token_kv_bytes\":163840,\
         \"link_mbps\":1200000.0,\"stride\":1,\"most\":12,\"handle_ttl_s\":5.0,\"switch_s\":3.0,\
         \"models\":[{{\"name\":\"m\"}}]}}}},{{\"name\":\"desk\",\"health_path\":\"/healthz\",\
         \"max_conns\":410,\"protocol\":\"h1\",\"tls\":false}}],\"limits\":{{\
         \"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\
         \"idle_timeout_ms\":15000}}}}",
        route("long", "streaming", "model", true),
        route("file", "safe", "desk", false)
    )
}

/// Some callers read long answers slowly, so that their machine's memory for bodies is in use. Streams of other
/// callers, over links that lose packets, must still hold all their events.
pub fn slow_readers(setting: &Setting) -> Outcome {
    let record = &setting.record;
    let store = Store::start();
    store.put("config", "main", &config());
    let mut engines = Vec::new();
    for (id, service) in [("i-1", "model"), ("i-2", "model"), ("i-3", "model"), ("i-4", "desk")] {
        let engine = Engine::start(id, service, "v1", free_address(), record);
        engine.is_unframed.store(true, Ordering::SeqCst);
        engine.event_bytes.store(EVENT_BYTES, Ordering::SeqCst);
        engine.pause_ms.store(20, Ordering::SeqCst);
        engine.answer_bytes.store(ANSWER_BYTES, Ordering::SeqCst);
        let mut entry = engine.entry("ready");
        if service == "model" {
            let hold = Duration::from_millis(230);
            let link = link::lossy(engine.address, Duration::from_millis(700), hold);
            entry = entry.replace(&engine.address.to_string(), &link.to_string());
        }
        store.put("servers", id, &entry);
        engines.push(engine);
    }
    let host = Host::start_with("front-a-1", store.address, &setting.folder, MEMORY_MB, "");
    if !host.wait_ready() {
        return Outcome::CouldNotRun("the host is not ready".to_owned());
    }
    let begun = Instant::now();
    let is_over = Arc::new(AtomicBool::new(false));
    let slow_answers = Arc::new(AtomicU64::new(0));
    if setting.has_trouble {
        record.line(&format!("{SENDERS} callers begin to send long bodies slowly"));
        for number in 0..SENDERS {
            let (is_over, callers) = (Arc::clone(&is_over), host.callers);
            thread::spawn(move || {
                while !is_over.load(Ordering::SeqCst) {
                    send_slowly(callers, number, &is_over);
                }
            });
        }
        thread::sleep(Duration::from_secs(2));
        record.line(&format!("{SLOW_CALLERS} callers begin to read long answers slowly"));
        for number in 0..SLOW_CALLERS {
            let (is_over, answers) = (Arc::clone(&is_over), Arc::clone(&slow_answers));
            let callers = host.callers;
            thread::spawn(move || {
                while !is_over.load(Ordering::SeqCst) {
                    read_slowly(callers, number, &answers, &is_over);
                }
            });
            thread::sleep(Duration::from_millis(5));
        }
        thread::sleep(Duration::from_secs(3));
    }
    let streams = (0..STREAMS).map(|number| {
        let (record, callers) = (Arc::clone(record), host.callers);
        thread::spawn(move || {
            // The streams do not begin at the same moment.
            thread::sleep(Duration::from_millis(41 * number as u64));
            let mut received = Vec::new();
            while begun.elapsed() < PLAYED {
                let name = format!("s{number}-{}", received.len());
                let deadline = Duration::from_secs(8);
                received.push(client::stream(&name, &[callers], EVENTS, deadline, 1, &record));
            }
            received
        })
    });
    let streams: Vec<_> = streams.collect();
    let received: Vec<Received> = streams.into_iter().flat_map(|s| s.join().unwrap()).collect();
    is_over.store(true, Ordering::SeqCst);
    let (mut complete, mut broken) = (0, 0);
    for stream in &received {
        complete += usize::from(stream.is_complete);
        let numbers: Vec<u64> = stream.events.iter().map(|(number, _)| *number).collect();
        let gaps: Vec<(u64, u64)> = numbers
            .windows(2)
            .filter(|pair| pair[1] != pair[0] + 1)
            .map(|pair| (pair[0], pair[1]))
            .collect();
        let first = numbers.first().copied().unwrap_or(1);
        if !gaps.is_empty() || first != 1 {
            broken += 1;
            record.line(&format!(
                "stream {}: events={} complete={} first={first} next events that are not the next: {gaps:?}",
                stream.name,
                stream.events.len(),
                stream.is_complete
            ));
        }
    }
    record.line(&format!(
        "{broken} of {} streams lack events in between; {complete} ended as complete; slow callers got {} answers or parts",
        received.len(),
        slow_answers.load(Ordering::SeqCst)
    ));
    if complete == 0 {
        return Outcome::CouldNotRun("no stream was complete".to_owned());
    }
    if broken > 0 { Outcome::Broken } else { Outcome::Held }
}

/// Sends a long body, the last part of it at some 2 kB a second.
fn send_slowly(host: SocketAddr, number: usize, is_over: &AtomicBool) {
    let Ok(mut connection) = TcpStream::connect(host) else {
        return thread::sleep(Duration::from_millis(200));
    };
    let request = format!(
        "POST /file/up HTTP/1.1\r\nHost: shop.example\r\nX-Yuccacove-Request-Id: u{number}\r\n\
         X-Yuccacove-Deadline-Ms: 120000\r\nContent-Length: {BODY_BYTES}\r\n\r\n"
    );
    let part = vec![b'.'; BODY_BYTES - 200_000];
    if connection.write_all(request.as_bytes()).is_err() || connection.write_all(&part).is_err() {
        return thread::sleep(Duration::from_millis(200));
    }
    while !is_over.load(Ordering::SeqCst) && connection.write_all(&[b'.'; 1_100]).is_ok() {
        thread::sleep(Duration::from_millis(500));
    }
}

/// Asks for a long answer and reads it at some 30 kB a second.
fn read_slowly(host: SocketAddr, number: usize, answers: &AtomicU64, is_over: &AtomicBool) {
    let Some(mut connection) = connect_with_small_buffers(host) else {
        thread::sleep(Duration::from_millis(200));
        return;
    };
    let _ = connection.set_read_timeout(Some(Duration::from_secs(8)));
    let id = format!("f{number}-{}", answers.load(Ordering::SeqCst));
    let request = format!(
        "GET /file/{number} HTTP/1.1\r\nHost: shop.example\r\nX-Yuccacove-Request-Id: {id}\r\n\
         X-Yuccacove-Deadline-Ms: 8000\r\n\r\n"
    );
    if connection.write_all(request.as_bytes()).is_err() {
        return;
    }
    let mut buffer = [0; 8_000];
    let mut received = 0;
    while let Ok(read) = connection.read(&mut buffer) {
        received += read;
        if read == 0 || received >= ANSWER_BYTES as usize || is_over.load(Ordering::SeqCst) {
            break;
        }
        thread::sleep(Duration::from_millis(25));
    }
    answers.fetch_add(1, Ordering::SeqCst);
    thread::sleep(Duration::from_millis(50));
}

const AF_INET: i32 = 2;
const SOCK_STREAM: i32 = 1;
const SOL_SOCKET: i32 = 1;
const SO_RCVBUF: i32 = 8;
const IPPROTO_TCP: i32 = 6;
const TCP_MAXSEG: i32 = 2;

unsafe extern "C" {
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
    fn connect(fd: i32, address: *const u8, length: u32) -> i32;
}

/// Connects with a small receive buffer and small segments, as over a slow link. On loopback the buffers of the
/// kernel would else take a long answer at once.
fn connect_with_small_buffers(host: SocketAddr) -> Option<TcpStream> {
    let SocketAddr::V4(host) = host else {
        return None;
    };
    let mut address = [0u8; 16];
    address[..2].copy_from_slice(&(AF_INET as u16).to_ne_bytes());
    address[2..4].copy_from_slice(&host.port().to_be_bytes());
    address[4..8].copy_from_slice(&host.ip().octets());
    // SAFETY: the arguments are valid for these calls of the C library, and the descriptor is owned here.
    unsafe {
        let fd = socket(AF_INET, SOCK_STREAM, 0);
        if fd < 0 {
            return None;
        }
        let stream = TcpStream::from_raw_fd(fd);
        for (level, name, value) in [(SOL_SOCKET, SO_RCVBUF, 8_192), (IPPROTO_TCP, TCP_MAXSEG, 536)] {
            setsockopt(fd, level, name, &value, 4);
        }
        (connect(fd, address.as_ptr(), 16) == 0).then_some(stream)
    }
}
