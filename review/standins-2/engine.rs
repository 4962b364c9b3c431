//! A model engine: it prefills prompts, streams events, takes orders for its phase, and crashes when it
//! begins to write an answer on a deadly part of a prompt.

use std::collections::HashMap;
use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, sleep};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{Answer, Request, answer, read_request};
use crate::store::Store;

/// Time until an engine writes the first byte of an answer.
const FIRST_TOKEN: Duration = Duration::from_millis(30);
/// Time between two events.
const GAP: Duration = Duration::from_millis(30);
/// Number of events of a stream.
pub const EVENTS: usize = 12;
/// Time for which an engine is down after a crash.
const DOWN: Duration = Duration::from_millis(2_500);
/// Time that a change of the phase takes.
const SWITCH: Duration = Duration::from_millis(3_000);

/// A run of a request at an engine.
#[derive(Debug, Clone)]
pub struct Run {
    pub id: String,
    pub engine: String,
    pub at: Instant,
    pub is_deadly: bool,
}

/// What the engines of a service share.
pub struct Fleet {
    pub store: Store,
    pub service: String,
    /// Part of a prompt that crashes engines; `None` if none does.
    pub deadly: Option<String>,
    /// Requests with this part are counted, whether it crashes engines or not.
    pub watched: String,
    pub runs: Mutex<Vec<Run>>,
    /// Each crash, with the ids of the other requests that it broke off.
    pub crashes: Mutex<Vec<(Instant, String, Vec<String>)>>,
    pub problems: Mutex<Vec<String>>,
}

/// One start of an engine.
struct Incarnation {
    engine: Arc<Engine>,
    is_down: AtomicBool,
    is_deaf: AtomicBool,
    next: AtomicU64,
    connections: Mutex<HashMap<u64, TcpStream>>,
    running: Mutex<Vec<String>>,
    orders: Mutex<Orders>,
}

struct Orders {
    is_prefill: bool,
    is_busy: bool,
    accepted: u64,
    highest_fence: u64,
}

struct Engine {
    fleet: Arc<Fleet>,
    id: String,
    address: SocketAddr,
}

/// Starts an engine on a free loopback port; it starts again after each crash.
pub fn spawn(fleet: &Arc<Fleet>, id: &str) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let engine = Arc::new(Engine { fleet: Arc::clone(fleet), id: id.to_owned(), address });
    // Registered before the first host starts.
    engine.register(false, now_ms());
    thread::spawn(move || {
        let mut listener = listener;
        loop {
            Incarnation::run(&engine, listener);
            sleep(DOWN);
            listener = loop {
                match TcpListener::bind(engine.address) {
                    Ok(listener) => break listener,
                    Err(_) => sleep(Duration::from_millis(20)),
                }
            };
            engine.register(false, now_ms());
        }
    });
}

fn now_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).expect("after 1970");
    u64::try_from(since.as_millis()).expect("in range")
}

impl Engine {
    fn register(&self, is_prefill: bool, born_ms: u64) {
        let phase = phase(is_prefill);
        let spec = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"recife-a\",\"version\":\"v1\",\"slots\":64,\
             \"state\":\"ready\",\"cold_ms\":0,\"phase\":\"{phase}\",\
             \"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\"seq\":1,\"born\":{born_ms}}}",
            self.fleet.service, self.address
        );
        self.fleet.store.put("servers", &self.id, &spec);
    }
}

fn phase(is_prefill: bool) -> &'static str {
    if is_prefill { "prefill" } else { "decode" }
}

impl Incarnation {
    /// Serves until the engine crashes.
    fn run(engine: &Arc<Engine>, listener: TcpListener) {
        let this = Arc::new(Self {
            engine: Arc::clone(engine),
            is_down: AtomicBool::new(false),
            is_deaf: AtomicBool::new(false),
            next: AtomicU64::new(0),
            connections: Mutex::default(),
            running: Mutex::default(),
            orders: Mutex::new(Orders { is_prefill: false, is_busy: false, accepted: 0, highest_fence: 0 }),
        });
        listener.set_nonblocking(true).expect("an option");
        while !this.is_down.load(Ordering::SeqCst) {
            match listener.accept() {
                Ok((stream, _)) => {
                    let this = Arc::clone(&this);
                    thread::spawn(move || this.serve(stream));
                }
                Err(_) => sleep(Duration::from_millis(1)),
            }
        }
        drop(listener);
        this.is_deaf.store(true, Ordering::SeqCst);
        let connections = std::mem::take(&mut *this.connections.lock().expect("not poisoned"));
        for stream in connections.values() {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    fn crash(&self, id: &str) {
        if self.is_down.swap(true, Ordering::SeqCst) {
            return;
        }
        let broken = self.running.lock().expect("not poisoned").clone();
        let broken = broken.into_iter().filter(|other| other != id).collect();
        let crash = (Instant::now(), self.engine.id.clone(), broken);
        self.engine.fleet.crashes.lock().expect("not poisoned").push(crash);
    }

    fn serve(self: Arc<Self>, stream: TcpStream) {
        if stream.set_nonblocking(false).is_err() || stream.set_nodelay(true).is_err() {
            return;
        }
        let number = self.next.fetch_add(1, Ordering::SeqCst);
        let Ok(kept) = stream.try_clone() else { return };
        self.connections.lock().expect("not poisoned").insert(number, kept);
        if self.is_deaf.load(Ordering::SeqCst) {
            return;
        }
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_request(&mut reader) {
            if self.is_down.load(Ordering::SeqCst) || !self.handle(&request, &mut writer) {
                break;
            }
        }
        // A crash ends the listener before the connections, so that a caller which sees its connection break
        // finds the port closed.
        while self.is_down.load(Ordering::SeqCst) && !self.is_deaf.load(Ordering::SeqCst) {
            sleep(Duration::from_micros(200));
        }
        self.connections.lock().expect("not poisoned").remove(&number);
        let _ = writer.shutdown(Shutdown::Both);
    }

    /// Returns whether the connection stays open.
    fn handle(self: &Arc<Self>, request: &Request, writer: &mut TcpStream) -> bool {
        let instance = format!("X-Yuccacove-Instance-Id: {}\r\n", self.engine.id);
        let id = request.header("x-yuccacove-request-id").unwrap_or_default();
        let echo = if id.is_empty() { String::new() } else { format!("X-Yuccacove-Request-Id: {id}\r\n") };
        let other = request.header("x-yuccacove-expect-instance").is_some_and(|e| e != self.engine.id);
        let short = match (request.method.as_str(), request.path.as_str()) {
            _ if other => answer("421 Misdirected Request", &(instance + &echo), ""),
            ("GET", "/healthz") => answer("200 OK", &instance, ""),
            ("GET", "/report") => self.report(),
            ("POST", "/order") => self.order(request),
            ("DELETE", _) => answer("200 OK", "", ""),
            _ if id.is_empty() => answer("400 Bad Request", "X-Yuccacove-Not-Run: 1\r\n", ""),
            _ => match self.admit(request, &echo) {
                Some(answer) => answer,
                None => return self.stream(request, id, &echo, writer),
            },
        };
        match short {
            Answer::Bytes(bytes) => writer.write_all(&bytes).is_ok(),
            Answer::Close => false,
        }
    }

    fn report(&self) -> Answer {
        let orders = self.orders.lock().expect("not poisoned");
        let body = format!(
            "{{\"phase\":\"{}\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\"busy\":{},\
             \"seq\":{},\"waiting\":0,\"running\":0,\"kv_used\":0,\"kv_total\":469588,\"handles\":0}}",
            phase(orders.is_prefill), orders.is_busy, orders.accepted
        );
        answer("200 OK", "Content-Type: application/json\r\n", &body)
    }

    fn order(self: &Arc<Self>, request: &Request) -> Answer {
        let body = String::from_utf8_lossy(&request.body).into_owned();
        let number = |name: &str| -> Option<u64> {
            let rest = body.split_once(&format!("\"{name}\":"))?.1;
            let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
            digits.parse().ok()
        };
        let to_prefill = body.contains("\"phase\":\"prefill\"");
        let Some(fence) = number("fence") else { return answer("400 Bad Request", "", "") };
        let mut orders = self.orders.lock().expect("not poisoned");
        if fence < orders.highest_fence {
            return answer("412 Precondition Failed", "", "");
        }
        orders.highest_fence = fence;
        if orders.is_busy || number("expected").is_some_and(|seq| seq != orders.accepted) {
            return answer("409 Conflict", "", "");
        }
        if orders.is_prefill == to_prefill {
            return answer("200 OK", "", "");
        }
        orders.is_busy = true;
        orders.accepted += 1;
        drop(orders);
        let this = Arc::clone(self);
        thread::spawn(move || {
            sleep(SWITCH);
            if this.is_down.load(Ordering::SeqCst) {
                return;
            }
            let mut orders = this.orders.lock().expect("not poisoned");
            orders.is_busy = false;
            orders.is_prefill = to_prefill;
            drop(orders);
            this.engine.register(to_prefill, now_ms());
        });
        answer("202 Accepted", "", "")
    }

    /// Returns the answer to a request that does not run here, or has its prompt read only.
    fn admit(&self, request: &Request, echo: &str) -> Option<Answer> {
        let orders = self.orders.lock().expect("not poisoned");
        let (is_busy, is_prefill) = (orders.is_busy, orders.is_prefill);
        drop(orders);
        let wants_prefill = request.header("x-yuccacove-serving-stage") == Some("prefill");
        if is_busy {
            let headers = format!("{echo}X-Yuccacove-Not-Run: 1\r\n");
            return Some(answer("503 Service Unavailable", &headers, ""));
        }
        if wants_prefill != is_prefill {
            return Some(answer("421 Misdirected Request", echo, ""));
        }
        if !wants_prefill {
            return None;
        }
        sleep(Duration::from_millis(5));
        let handle = self.next.fetch_add(1, Ordering::SeqCst);
        let body = format!("{{\"kv_handle\":\"{}-{handle:x}\",\"tokens\":826,\"version\":1}}", self.engine.id);
        Some(answer("200 OK", &format!("{echo}Content-Type: application/json\r\n"), &body))
    }

    fn stream(&self, request: &Request, id: &str, echo: &str, writer: &mut TcpStream) -> bool {
        let fleet = &self.engine.fleet;
        let parts = request.header("x-yuccacove-prompt-prefix").unwrap_or_default();
        let has = |part: &str| parts.split(',').any(|p| p.split(':').next() == Some(part));
        let run = Run {
            id: id.to_owned(),
            engine: self.engine.id.clone(),
            at: Instant::now(),
            is_deadly: has(&fleet.watched),
        };
        fleet.runs.lock().expect("not poisoned").push(run);
        self.running.lock().expect("not poisoned").push(id.to_owned());
        let is_whole = self.write_events(fleet.deadly.as_deref().is_some_and(has), id, echo, writer);
        self.running.lock().expect("not poisoned").retain(|running| running != id);
        is_whole
    }

    fn write_events(&self, is_deadly: bool, id: &str, echo: &str, writer: &mut TcpStream) -> bool {
        sleep(FIRST_TOKEN);
        if is_deadly {
            self.crash(id);
            return false;
        }
        let head = format!(
            "HTTP/1.1 200 OK\r\n{echo}X-Yuccacove-Response-Seal: {}.{id}\r\nX-Yuccacove-Weight-Versions: 1\r\n\
             Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
            self.engine.id
        );
        if self.is_down.load(Ordering::SeqCst) || writer.write_all(head.as_bytes()).is_err() {
            return false;
        }
        for number in 1..=EVENTS {
            let event = format!("id: {number}\ndata: {id}-{number}\n\n");
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            if self.is_down.load(Ordering::SeqCst) || writer.write_all(chunk.as_bytes()).is_err() {
                return false;
            }
            sleep(GAP);
        }
        !self.is_down.load(Ordering::SeqCst) && writer.write_all(b"0\r\n\r\n").is_ok()
    }
}
