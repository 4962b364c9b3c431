//! Tests of the entry host's program among many callers that send what no ordinary caller sends, or
//! that do not read what they are sent.
//!
//! Each case checks that the process lives, that its resident memory and its open descriptors stay
//! under their limits, that an ordinary request is answered afterwards, and that no request that was
//! refused as not run has reached a server.

use std::fs;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

use system_tests::{Fleet, FleetSize, wait_for};

const SIZE: FleetSize = FleetSize {
    hosts: 1,
    engines: 1,
    servers: 1,
    decode_tokens_per_s: 100_000,
};
/// Memory that the host may use, in megabytes.
const MEMORY_MB: u64 = 120;
/// Connections of callers that the settings allow.
const MAX_CONNECTIONS: usize = 256;
/// Descriptors that the host may use, of which callers leave a half to other purposes.
const MAX_FDS: usize = 2 * MAX_CONNECTIONS;
/// Callers of a crowd that uses memory.
const CALLERS: usize = 240;
/// Silent callers; more than [`MAX_CONNECTIONS`].
const SILENT_CALLERS: usize = 600;
/// Part of a body that the callers of a crowd send before they stop.
const PART_BYTES: usize = 1_000_000;
/// Longest time for which a caller waits until the host takes its bytes.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);

/// Excludes the other cases, because each fills the host with connections.
static SERIAL: Mutex<()> = Mutex::new(());

/// Runs a crowd of `count` callers at the same time, then checks the host beside their connections.
fn run(test: &str, count: usize, script: impl Fn(usize, &mut TcpStream) + Sync) {
    let _serial = SERIAL.lock();
    let limits = format!("max_connections = {MAX_CONNECTIONS}\n");
    let mut fleet = Fleet::spawn_limited(test, SIZE, &limits);
    let host = fleet.address("entry-1");
    let callers: Vec<TcpStream> = thread::scope(|scope| {
        let script = &script;
        let callers: Vec<_> = (0..count)
            .map(|number| {
                scope.spawn(move || {
                    let mut stream = connect(host);
                    script(number, &mut stream);
                    stream
                })
            })
            .collect();
        let streams = callers.into_iter().map(thread::ScopedJoinHandle::join);
        streams.map(|stream| stream.expect("a caller")).collect()
    });
    assert_within_limits(&mut fleet, "with the crowd");
    wait_for("an ordinary request to be answered", || {
        let read = fleet.caller.get(host, "/stock/beam-24").ok()?;
        (read.status == 200).then_some(())
    });
    for (number, mut stream) in callers.into_iter().enumerate() {
        let text = read_available(&mut stream);
        let is_refused = ["408", "421", "429", "503"]
            .iter()
            .any(|status| text.starts_with(&format!("HTTP/1.1 {status}")));
        if is_refused && text.contains("not_run") {
            assert_eq!(fleet.order_runs(&key(number), SIZE.servers), 0, "{text}");
        }
    }
    assert_within_limits(&mut fleet, "at the end");
}

fn connect(host: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(host).expect("a connection");
    let timeout = Some(WRITE_TIMEOUT);
    stream.set_write_timeout(timeout).expect("a timeout");
    stream.set_read_timeout(timeout).expect("a timeout");
    stream
}

fn assert_within_limits(fleet: &mut Fleet, when: &str) {
    let process = fleet.process("entry-1");
    assert!(!process.has_exited(), "the process ended {when}");
    let directory = format!("/proc/{}", process.id());
    let descriptors = fs::read_dir(format!("{directory}/fd"));
    let descriptors = descriptors.expect("descriptors").count();
    let status = fs::read_to_string(format!("{directory}/status")).expect("the status");
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    let kilobytes = line.and_then(|line| line.trim().trim_end_matches(" kB").parse::<u64>().ok());
    let peak_mb = kilobytes.expect("a size") * 1_024 / 1_000_000;
    eprintln!("{when}: {peak_mb} MB at most, {descriptors} descriptors");
    assert!(peak_mb < MEMORY_MB, "{peak_mb} MB {when}");
    assert!(descriptors < MAX_FDS, "{descriptors} descriptors {when}");
}

/// Sends bytes; the host may have closed the connection, or may not take them.
fn send(stream: &mut TcpStream, bytes: &[u8]) -> bool {
    stream.write_all(bytes).is_ok()
}

/// Returns what the caller was sent and has not read yet.
fn read_available(stream: &mut TcpStream) -> String {
    let mut bytes = Vec::new();
    let _ = stream.set_nonblocking(true);
    // Ends with an error when nothing more has arrived.
    let _ = stream.read_to_end(&mut bytes);
    String::from_utf8_lossy(&bytes).into_owned()
}

fn key(number: usize) -> String {
    format!("k-{number}")
}

fn order_head(number: usize, framing: &str) -> String {
    format!(
        "POST /orders HTTP/1.1\r\nHost: x\r\nIdempotency-Key: {}\r\n{framing}\r\n\r\n",
        key(number)
    )
}

fn chunk(bytes: usize) -> Vec<u8> {
    let mut chunk = format!("{bytes:x}\r\n").into_bytes();
    chunk.resize(chunk.len() + bytes, b'x');
    chunk.extend_from_slice(b"\r\n");
    chunk
}

const CHUNKED: &str = "Transfer-Encoding: chunked";

/// Guards against bodies without a declared length that exceed the memory together.
#[test]
fn entry_callers_chunked_bodies_large() {
    run("chunked-large", CALLERS, |number, stream| {
        send(stream, order_head(number, CHUNKED).as_bytes());
        for _ in 0..PART_BYTES / 50_000 {
            if !send(stream, &chunk(50_000)) {
                return;
            }
        }
    });
}

/// Guards against the overhead of chunks of 1 to 16 bytes.
#[test]
fn entry_callers_chunked_bodies_small() {
    let part: Vec<u8> = (0..4_000)
        .flat_map(|number| chunk(1 + number % 16))
        .collect();
    run("chunked-small", CALLERS, |number, stream| {
        send(stream, order_head(number, CHUNKED).as_bytes());
        send(stream, &part);
    });
}

/// Guards against bodies of a declared length that stop half way.
#[test]
fn entry_callers_declared_bodies_stall() {
    let part = vec![b'x'; PART_BYTES];
    run("declared-stall", CALLERS, |number, stream| {
        let framing = format!("Content-Length: {}", 2 * PART_BYTES);
        send(stream, order_head(number, &framing).as_bytes());
        send(stream, &part);
    });
}

/// Guards against bodies over the limit, announced or just sent.
#[test]
fn entry_callers_bodies_over_limit() {
    let part = vec![b'x'; PART_BYTES];
    run("over-limit", CALLERS / 2, |number, stream| {
        let start = match number % 2 {
            0 => order_head(number, "Content-Length: 4000000000"),
            _ => order_head(number, CHUNKED) + "500000\r\n",
        };
        send(stream, start.as_bytes());
        for _ in 0..6 {
            if !send(stream, &part) {
                return;
            }
        }
    });
}

/// Guards against heads that come slowly or without end, of which each holds a buffer.
#[test]
fn entry_callers_slow_and_endless_heads() {
    let line = format!("X-Long: {}\r\n", "x".repeat(1_000));
    run("heads", SILENT_CALLERS, |number, stream| {
        send(stream, b"GET /stock HTTP/1.1\r\nHost: x\r\n");
        let lines = if number % 2 == 0 { 12 } else { 1_000 };
        for _ in 0..lines {
            if !send(stream, line.as_bytes()) {
                return;
            }
        }
    });
}

/// Guards against connections that use up their limit and send nothing.
#[test]
fn entry_callers_silent() {
    run("silent", SILENT_CALLERS, |_, _| {});
}

/// Guards against chunk extensions and trailers without end.
#[test]
fn entry_callers_endless_chunk_extensions() {
    let extension = ";name=value".repeat(1_000);
    let trailer = format!("X-Long: {}\r\n", "x".repeat(10_000));
    run("extensions", CALLERS, |number, stream| {
        send(stream, order_head(number, CHUNKED).as_bytes());
        let is_trailer = number % 2 == 0;
        send(stream, if is_trailer { b"0\r\n" } else { b"5" });
        let part = if is_trailer { &trailer } else { &extension };
        for _ in 0..100 {
            if !send(stream, part.as_bytes()) {
                return;
            }
        }
    });
}

/// Guards against requests that are sent without waiting for the responses to those before, which the
/// caller never reads.
#[test]
fn entry_callers_pipelined_requests() {
    let request = "GET /stock/beam-24 HTTP/1.1\r\nHost: x\r\n\r\n".repeat(300);
    run("pipelined", CALLERS / 2, |_, stream| {
        send(stream, request.as_bytes());
    });
}

/// Guards against state that remains of connections closed within a head or a body.
#[test]
fn entry_callers_closed_in_middle() {
    let part = vec![b'x'; PART_BYTES / 2];
    run("closed", CALLERS, |number, stream| {
        if number % 2 == 0 {
            send(stream, b"POST /orders HTTP/1.1\r\nHost: x");
        } else {
            let framing = format!("Content-Length: {PART_BYTES}");
            send(stream, order_head(number, &framing).as_bytes());
            send(stream, &part);
        }
        let _ = stream.shutdown(std::net::Shutdown::Both);
    });
}
