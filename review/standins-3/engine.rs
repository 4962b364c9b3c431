//! A model engine, or a plain server, on a loopback address.

use std::io::{BufReader, ErrorKind, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, Weak};
use std::thread;
use std::time::Duration;

use crate::http::{Message, read_message, respond};
use crate::record::Record;

/// One start of an engine. A restart is another value with the same id and address.
pub struct Engine {
    pub id: String,
    pub version: String,
    pub service: String,
    pub address: SocketAddr,
    pub born_ms: u64,
    is_stopped: AtomicBool,
    connections: Mutex<Vec<Weak<TcpStream>>>,
    pub runs: AtomicU64,
    /// Whether streams come with neither a length nor chunks and end with their connection.
    pub is_unframed: AtomicBool,
    /// Size that events are filled up to.
    pub event_bytes: AtomicU64,
    /// Pause between two events; 0 for one that follows from the length of the stream.
    pub pause_ms: AtomicU64,
    /// Size of a plain answer; 0 for a short one.
    pub answer_bytes: AtomicU64,
    record: Arc<Record>,
}

impl Engine {
    /// Starts an engine at `address`.
    pub fn start(
        id: &str,
        service: &str,
        version: &str,
        address: SocketAddr,
        record: &Arc<Record>,
    ) -> Arc<Self> {
        let listener = bind(address);
        listener.set_nonblocking(true).expect("a listener");
        let since_epoch = std::time::UNIX_EPOCH.elapsed().expect("a clock");
        let engine = Arc::new(Self {
            id: id.to_owned(),
            version: version.to_owned(),
            service: service.to_owned(),
            address: listener.local_addr().expect("an address"),
            born_ms: since_epoch.as_millis() as u64,
            is_stopped: AtomicBool::new(false),
            connections: Mutex::default(),
            runs: AtomicU64::new(0),
            is_unframed: AtomicBool::new(false),
            event_bytes: AtomicU64::new(0),
            pause_ms: AtomicU64::new(0),
            answer_bytes: AtomicU64::new(0),
            record: Arc::clone(record),
        });
        let serving = Arc::clone(&engine);
        thread::spawn(move || serving.accept(&listener));
        record.line(&format!("engine {id} {version} starts at {}", engine.address));
        engine
    }

    /// Returns the entry that the engine writes into the store.
    pub fn entry(&self, state: &str) -> String {
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"a\",\"version\":\"{}\",\"slots\":64,\
             \"state\":\"{state}\",\"cold_ms\":0,\"phase\":\"decode\",\"models\":[{{\"name\":\"m\",\
             \"version\":1,\"adapters\":[]}}],\"seq\":1,\"born\":{}}}",
            self.service, self.address, self.version, self.born_ms
        )
    }

    /// Ends the process: its connections break, and new ones are refused.
    pub fn stop(&self) {
        self.is_stopped.store(true, Ordering::SeqCst);
        for connection in self.connections.lock().expect("connections").drain(..) {
            let _ = connection.upgrade().map(|stream| stream.shutdown(Shutdown::Both));
        }
        self.record.line(&format!("engine {} {} ends", self.id, self.version));
    }

    fn has_stopped(&self) -> bool {
        self.is_stopped.load(Ordering::SeqCst)
    }

    fn accept(self: &Arc<Self>, listener: &TcpListener) {
        while !self.has_stopped() {
            match listener.accept() {
                Ok((stream, _)) => {
                    let _ = stream.set_nonblocking(false);
                    let _ = stream.set_nodelay(true);
                    let stream = Arc::new(stream);
                    let mut connections = self.connections.lock().expect("connections");
                    connections.retain(|other| other.strong_count() > 0);
                    connections.push(Arc::downgrade(&stream));
                    let engine = Arc::clone(self);
                    thread::spawn(move || engine.serve(&stream));
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => {
                    thread::sleep(Duration::from_millis(2));
                }
                Err(_) => return,
            }
        }
    }

    fn serve(&self, mut stream: &TcpStream) {
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_message(&mut reader) {
            if self.has_stopped() || !self.answer(&request, &mut stream) {
                break;
            }
        }
        let _ = stream.shutdown(Shutdown::Both);
    }

    /// Answers a request. Returns whether the connection stays open.
    fn answer(&self, request: &Message, stream: &mut &TcpStream) -> bool {
        let id = request.header("x-yuccacove-request-id").unwrap_or("");
        let own = format!("X-Yuccacove-Instance-Id: {}\r\n", self.id);
        let echo = format!("X-Yuccacove-Request-Id: {id}\r\n{own}");
        let is_meant = request.header("x-yuccacove-expect-instance").unwrap_or(&self.id) == self.id;
        match (request.method(), request.path()) {
            (_, "/healthz") => respond(stream, "200 OK", &own, ""),
            _ if !is_meant && id.is_empty() => {
                respond(stream, "421 Misdirected Request", &own, "")
            }
            _ if !is_meant => respond(stream, "421 Misdirected Request", &echo, ""),
            ("GET", "/report") => {
                // An order is in progress, so that nobody gives another one.
                let body = "{\"phase\":\"decode\",\"models\":[{\"name\":\"m\",\"version\":1,\
                            \"adapters\":[]}],\"busy\":true,\"seq\":1,\"waiting\":0,\"running\":0,\
                            \"kv_used\":0,\"kv_total\":400000,\"handles\":0}";
                respond(stream, "200 OK", "Content-Type: application/json\r\n", body)
            }
            ("POST", "/order") => respond(stream, "409 Conflict", "", ""),
            _ if id.is_empty() => {
                respond(stream, "400 Bad Request", "X-Yuccacove-Not-Run: 1\r\n", "")
            }
            _ if request.header("x-yuccacove-serving-stage").is_some() => {
                respond(stream, "421 Misdirected Request", &echo, "")
            }
            _ if request.header("x-yuccacove-token-count").is_some() => {
                self.generate(request, id, &echo, stream)
            }
            _ => {
                self.runs.fetch_add(1, Ordering::SeqCst);
                self.record.line(&format!("engine {} runs {id}", self.id));
                let headers = format!("{echo}X-Yuccacove-Response-Seal: s.{}.{id}\r\n", self.id);
                let text = format!("done {id}");
                let length = (self.answer_bytes.load(Ordering::SeqCst) as usize).max(text.len());
                let head = format!("HTTP/1.1 200 OK\r\n{headers}Content-Length: {length}\r\n\r\n");
                let mut left = length - text.len();
                let block = [b'.'; 16 * 1_024];
                let mut is_open = stream.write_all((head + &text).as_bytes()).is_ok();
                while is_open && left > 0 {
                    let part = left.min(block.len());
                    is_open = stream.write_all(&block[..part]).is_ok();
                    left -= part;
                }
                is_open
            }
        }
    }

    /// Streams one event for each token, from the one after `Last-Event-Id` on.
    fn generate(&self, request: &Message, id: &str, echo: &str, stream: &mut &TcpStream) -> bool {
        let tokens = request.header("x-yuccacove-token-count").unwrap_or("");
        let count = tokens.split_once(',').and_then(|(_, n)| n.parse().ok()).unwrap_or(1);
        let last = request.header("last-event-id").and_then(|n| n.parse().ok()).unwrap_or(0);
        let pause_ms = match self.pause_ms.load(Ordering::SeqCst) {
            0 if count >= 60 => 100,
            0 => 40,
            pause_ms => pause_ms,
        };
        let pause = Duration::from_millis(pause_ms);
        let is_unframed = self.is_unframed.load(Ordering::SeqCst);
        let length = self.event_bytes.load(Ordering::SeqCst) as usize;
        self.runs.fetch_add(1, Ordering::SeqCst);
        if count >= 60 || last > 0 {
            self.record.line(&format!(
                "engine {} {} runs {id} from event {} resumes={}",
                self.id,
                self.version,
                last + 1,
                request.header("resumes").unwrap_or("-")
            ));
        }
        let head = format!(
            "HTTP/1.1 200 OK\r\n{echo}X-Yuccacove-Response-Seal: s.{}.{id}\r\n\
             X-Yuccacove-Weight-Versions: 1\r\nContent-Type: text/event-stream\r\n{}\r\n",
            self.id,
            if is_unframed { "Connection: close\r\n" } else { "Transfer-Encoding: chunked\r\n" }
        );
        thread::sleep(Duration::from_millis(20));
        if stream.write_all(head.as_bytes()).is_err() {
            return false;
        }
        for event in last + 1..=count {
            let text = format!("id: {event}\ndata: {} {event}", self.version);
            let text = format!("{text:.<length$}\n\n");
            let chunk = match is_unframed {
                true => text,
                false => format!("{:x}\r\n{text}\r\n", text.len()),
            };
            if self.has_stopped() || stream.write_all(chunk.as_bytes()).is_err() {
                return false;
            }
            thread::sleep(pause);
        }
        // A stream without chunks ends with its connection.
        !is_unframed && stream.write_all(b"0\r\n\r\n").is_ok()
    }
}

fn bind(address: SocketAddr) -> TcpListener {
    for _ in 0..200 {
        if let Ok(listener) = TcpListener::bind(address) {
            return listener;
        }
        thread::sleep(Duration::from_millis(10));
    }
    panic!("cannot listen on {address}");
}
