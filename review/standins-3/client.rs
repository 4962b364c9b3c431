//! Clients that ask for streams, and take a stream up again after its connection broke.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{read_chunk, read_head};
use crate::record::Record;

/// A stream as its client got it, over all tries.
#[derive(Debug, Default, Clone)]
pub struct Received {
    pub name: String,
    /// Each event: its number and the software version that wrote it.
    pub events: Vec<(u64, String)>,
    pub is_complete: bool,
    pub tries: u32,
    /// Tries that took the stream up again.
    pub resumed: u32,
    /// Statuses of refusals.
    pub refusals: Vec<u16>,
    /// Each try that took the stream up again: its time in the record, and whether the stream went on.
    pub taken_up: Vec<(f64, bool)>,
    /// Time of the first try in the record, and whether events came.
    pub begun: Option<(f64, bool)>,
}

impl Received {
    /// Returns the software versions in the order in which they came.
    pub fn versions(&self) -> Vec<String> {
        let mut versions: Vec<String> = Vec::new();
        for (_, version) in &self.events {
            if versions.last() != Some(version) {
                versions.push(version.clone());
            }
        }
        versions
    }
}

/// Asks for a stream of `count` events at one of the `hosts` after the other, until it is complete, the
/// deadline has passed or `tries` are used up.
pub fn stream(
    name: &str,
    hosts: &[SocketAddr],
    count: u64,
    deadline: Duration,
    tries: u32,
    record: &Arc<Record>,
) -> Received {
    stream_with_pauses(name, hosts, count, deadline, tries, &[], record)
}

/// As [`stream`], with the pauses before the second and later tries.
pub fn stream_with_pauses(
    name: &str,
    hosts: &[SocketAddr],
    count: u64,
    deadline: Duration,
    tries: u32,
    pauses: &[Duration],
    record: &Arc<Record>,
) -> Received {
    let begun = Instant::now();
    let mut received = Received {
        name: name.to_owned(),
        ..Received::default()
    };
    let mut first_try = None;
    while received.tries < tries && begun.elapsed() < deadline && !received.is_complete {
        let host = hosts[received.tries as usize % hosts.len()];
        received.tries += 1;
        let id = format!("{name}.{}", received.tries);
        let last = received.events.last().map(|(event, _)| *event);
        let left = deadline.saturating_sub(begun.elapsed());
        let before = received.events.len();
        if last.is_some() {
            received.resumed += 1;
            record.line(&format!("client takes {name} up again as {id} after {last:?}"));
        }
        let resumes = first_try.as_deref().filter(|_| last.is_some());
        let sent_s = record.now_s();
        let soonest = attempt(&mut received, host, &id, count, left, last, resumes);
        let went_on = received.events.len() > before;
        match last {
            Some(_) => received.taken_up.push((sent_s, went_on)),
            None => received.begun = Some((sent_s, went_on)),
        }
        if first_try.is_none() && received.events.len() > before {
            first_try = Some(id);
        }
        if !received.is_complete {
            // Clients come again at once, or when a refusal tells them to.
            let pause = pauses.get(received.tries as usize - 1).copied();
            thread::sleep(pause.unwrap_or(soonest.min(left / 3)));
        }
    }
    received
}

/// Returns the time after which the client tries again.
fn attempt(
    received: &mut Received,
    host: SocketAddr,
    id: &str,
    count: u64,
    left: Duration,
    last: Option<u64>,
    resumes: Option<&str>,
) -> Duration {
    let soon = Duration::from_millis(20);
    let Ok(mut connection) = TcpStream::connect_timeout(&host, Duration::from_secs(1)) else {
        return soon;
    };
    let _ = connection.set_read_timeout(Some(left.max(Duration::from_millis(1))));
    let mut resumption = String::new();
    if let (Some(last), Some(resumes)) = (last, resumes) {
        resumption = format!("Last-Event-Id: {last}\r\nResumes: {resumes}\r\n");
    }
    let body = "draw";
    let request = format!(
        "POST /long/1 HTTP/1.1\r\nHost: shop.example\r\nX-Yuccacove-Request-Id: {id}\r\n{resumption}\
         X-Yuccacove-Model: m\r\nX-Yuccacove-Token-Count: 100,{count}\r\n\
         X-Yuccacove-Prompt-Prefix: 5c1e07a2:80,{:x}:20\r\nX-Yuccacove-Deadline-Ms: {}\r\n\
         Content-Length: {}\r\n\r\n{body}",
        id.bytes().fold(7u64, |hash, byte| hash.wrapping_mul(31).wrapping_add(u64::from(byte))),
        left.as_millis(),
        body.len()
    );
    if connection.write_all(request.as_bytes()).is_err() {
        return soon;
    }
    let mut reader = BufReader::new(connection);
    let Some(head) = read_head(&mut reader) else {
        return soon;
    };
    if head.status() != 200 {
        // The rest of the answer says no more, and the connection is not used again.
        received.refusals.push(head.status());
        let seconds = head.header("retry-after").and_then(|s| s.parse::<f64>().ok());
        return Duration::from_secs_f64(seconds.unwrap_or(0.02));
    }
    let mut text = String::new();
    while let Some(chunk) = read_chunk(&mut reader) {
        if chunk.is_empty() {
            received.is_complete = true;
            break;
        }
        text.push_str(&String::from_utf8_lossy(&chunk));
        while let Some(end) = text.find("\n\n") {
            let event: String = text.drain(..end + 2).collect();
            received.events.extend(decode(&event));
        }
    }
    soon
}

fn decode(event: &str) -> Option<(u64, String)> {
    let number = event.lines().find_map(|line| line.strip_prefix("id: "))?;
    let data = event.lines().find_map(|line| line.strip_prefix("data: "))?;
    let version = data.split(' ').next()?;
    Some((number.parse().ok()?, version.to_owned()))
}
