//! Model engines and plain servers. A crash closes the listener and all connections at once; the
//! backend is back after some seconds at the same address, under a new id.

use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime};

use crate::http::{self, Request, Server, response};
use crate::json;
use crate::record::Record;
use crate::store::Store;

/// Time after which the store removes the entry of a silent backend: three heartbeats.
const SILENCE: Duration = Duration::from_millis(3_600);
/// Time after a crash until the backend's process runs again.
const RESTART: Duration = Duration::from_millis(2_000);
/// Time that an engine needs to change its phase.
const SWITCH: Duration = Duration::from_millis(3_000);

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// A run of a request at a backend.
#[derive(Debug, Clone)]
pub struct Arrival {
    pub at_s: f64,
    pub request: String,
    pub is_prefill: bool,
}

/// What the backends of a case share.
pub struct Fleet {
    pub store: Arc<Store>,
    pub record: Arc<Record>,
    /// Whether the request crashes the engine that begins to run it.
    pub is_deadly: Box<dyn Fn(&Request) -> bool + Send + Sync>,
    /// Bytes that the plain server of a zone sends in place of its answer, if it spoils this one.
    pub spoil: Box<dyn Fn(&str) -> Option<String> + Send + Sync>,
    /// Time for which a plain server works on a request.
    pub work: Duration,
    pub arrivals: Mutex<Vec<Arrival>>,
    /// Time of each crash.
    pub crashes: Mutex<Vec<f64>>,
}

impl Fleet {
    fn arrived(&self, backend: &str, request: &Request, is_prefill: bool) {
        let id = request.header("x-yuccacove-request-id").to_owned();
        let kind = if is_prefill { "prefill" } else { "run" };
        self.record.line(format!("backend {backend} gets {id} {} to {kind}", request.target));
        self.arrivals.lock().unwrap().push(Arrival {
            at_s: self.record.now_s(),
            request: id,
            is_prefill,
        });
    }
}

struct Process {
    id: String,
    address: SocketAddr,
    service: String,
    zone: String,
    is_engine: bool,
    born_ms: u128,
    state: Mutex<Engine>,
}

#[derive(Clone)]
struct Engine {
    phase: String,
    /// Phase and time of a change that is being carried out.
    change: Option<(String, Instant)>,
    orders: u64,
    fence: u64,
}

impl Process {
    fn entry(&self) -> String {
        let phase = self.state.lock().unwrap().phase.clone();
        let engine = if self.is_engine {
            format!(
                ",\"phase\":\"{phase}\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}]"
            )
        } else {
            String::new()
        };
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":64,\"state\":\"ready\",\"cold_ms\":0,\"born\":{},\"seq\":1{engine}}}",
            self.service, self.address, self.zone, self.born_ms
        )
    }

    fn report(&self) -> String {
        let state = self.state.lock().unwrap();
        format!(
            "{{\"phase\":\"{}\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\"busy\":{},\"seq\":{},\"waiting\":0,\"running\":0,\"kv_used\":0,\"kv_total\":400000,\"handles\":0,\"born\":{}}}",
            state.phase,
            state.change.is_some(),
            state.orders,
            self.born_ms
        )
    }

    fn order(&self, body: &str) -> u16 {
        let mut state = self.state.lock().unwrap();
        let phase = json::text(&json::field(body, "phase").unwrap_or_default());
        let fence: u64 = json::field(body, "fence").and_then(|f| f.parse().ok()).unwrap_or(0);
        let expected = json::field(body, "expected").and_then(|e| e.parse().ok());
        if fence < state.fence {
            return 412;
        }
        state.fence = fence;
        if state.change.is_some() || expected.is_some_and(|expected: u64| expected != state.orders) {
            return 409;
        }
        if state.phase == phase {
            return 200;
        }
        state.orders += 1;
        state.change = Some((phase, Instant::now() + SWITCH));
        202
    }
}

/// A place in the fleet at which a backend runs, with one process after the other.
pub struct Place {
    fleet: Arc<Fleet>,
    address: SocketAddr,
    service: String,
    zone: String,
    phase: Option<String>,
    running: Mutex<Option<(Arc<Process>, Arc<Server>)>>,
}

impl Place {
    /// Starts a backend of `service`: an engine in `phase`, or a plain server without one.
    pub fn spawn(fleet: &Arc<Fleet>, service: &str, zone: &str, phase: Option<&str>) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let place = Arc::new(Self {
            fleet: Arc::clone(fleet),
            address: listener.local_addr().expect("an address"),
            service: service.to_owned(),
            zone: zone.to_owned(),
            phase: phase.map(str::to_owned),
            running: Mutex::new(None),
        });
        place.start(listener);
        place
    }

    fn start(self: &Arc<Self>, listener: TcpListener) {
        let born = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        let process = Arc::new(Process {
            id: format!("i-{:08x}", NEXT_ID.fetch_add(1, Ordering::SeqCst)),
            address: self.address,
            service: self.service.clone(),
            zone: self.zone.clone(),
            is_engine: self.phase.is_some(),
            born_ms: born.map_or(0, |since| since.as_millis()),
            state: Mutex::new(Engine {
                phase: self.phase.clone().unwrap_or_default(),
                change: None,
                orders: 0,
                fence: 0,
            }),
        });
        let (place, own) = (Arc::clone(self), Arc::clone(&process));
        let server = Arc::new(Server::spawn(listener, move |stream| {
            let (place, process) = (Arc::clone(&place), Arc::clone(&own));
            http::serve(stream, move |request, writer| place.handle(&process, request, writer));
        }));
        *self.running.lock().unwrap() = Some((Arc::clone(&process), Arc::clone(&server)));
        self.fleet.store.put("servers", &process.id, Some(process.entry()));
        self.fleet.record.line(format!(
            "backend {} of {} starts at {}",
            process.id, self.service, self.address
        ));
        self.finish_changes(process, server);
    }

    /// Carries out the changes of phase that were ordered, for as long as the process lives.
    fn finish_changes(self: &Arc<Self>, process: Arc<Process>, server: Arc<Server>) {
        let fleet = Arc::clone(&self.fleet);
        thread::spawn(move || {
            while !server.is_crashed() {
                thread::sleep(Duration::from_millis(20));
                let mut state = process.state.lock().unwrap();
                let is_due = state.change.as_ref().is_some_and(|(_, at)| Instant::now() >= *at);
                if !is_due {
                    continue;
                }
                if let Some((phase, _)) = state.change.take() {
                    state.phase = phase;
                }
                drop(state);
                fleet.store.put("servers", &process.id, Some(process.entry()));
            }
        });
    }

    /// Ends the process at once. It runs again after [`RESTART`], under a new id.
    pub fn crash(self: &Arc<Self>) {
        let Some((process, server)) = self.running.lock().unwrap().take() else {
            return;
        };
        server.crash();
        self.fleet.record.line(format!("backend {} crashes", process.id));
        self.fleet.crashes.lock().unwrap().push(self.fleet.record.now_s());
        let (fleet, id) = (Arc::clone(&self.fleet), process.id.clone());
        thread::spawn(move || {
            thread::sleep(SILENCE);
            fleet.store.put("servers", &id, None);
        });
        let place = Arc::clone(self);
        thread::spawn(move || {
            thread::sleep(RESTART);
            loop {
                match TcpListener::bind(place.address) {
                    Ok(listener) => return place.start(listener),
                    Err(_) => thread::sleep(Duration::from_millis(100)),
                }
            }
        });
    }

    fn handle(
        self: &Arc<Self>,
        process: &Process,
        request: &Request,
        writer: &mut TcpStream,
    ) -> bool {
        let json = "Content-Type: application/json\r\n";
        let mut send = |text: String| writer.write_all(text.as_bytes()).is_ok();
        match (request.method.as_str(), request.path()) {
            ("GET", "/report") => return send(response(200, json, &process.report())),
            ("POST", "/order") => {
                let status = process.order(&request.text());
                self.fleet.record.line(format!("backend {} ordered, {status}", process.id));
                return send(response(status, json, "{}"));
            }
            ("DELETE", _) => return send(response(200, json, "{}")),
            _ => {}
        }
        let id = request.header("x-yuccacove-request-id").to_owned();
        let echo = format!("X-Yuccacove-Request-Id: {id}\r\nKeep-Alive: timeout=10\r\n");
        let expected = request.header("x-yuccacove-expect-instance");
        if !expected.is_empty() && expected != process.id {
            let own = format!("X-Yuccacove-Instance-Id: {}\r\n", process.id);
            return send(response(421, &format!("{echo}{own}X-Yuccacove-Not-Run: 1\r\n"), ""));
        }
        if process.is_engine {
            self.handle_generation(process, request, writer, &echo)
        } else {
            self.handle_plain(process, request, writer, &echo)
        }
    }

    fn handle_plain(
        &self,
        process: &Process,
        request: &Request,
        writer: &mut TcpStream,
        echo: &str,
    ) -> bool {
        self.fleet.arrived(&process.id, request, false);
        thread::sleep(self.fleet.work);
        if let Some(bytes) = (self.fleet.spoil)(&self.zone) {
            self.fleet.record.line(format!("backend {} sends bytes that are no answer", process.id));
            return writer.write_all(bytes.as_bytes()).is_ok();
        }
        let id = request.header("x-yuccacove-request-id");
        let seal = format!("{echo}X-Yuccacove-Response-Seal: {}.{id}\r\n", process.id);
        writer.write_all(response(200, &seal, &format!("answer to {id}")).as_bytes()).is_ok()
    }

    fn handle_generation(
        self: &Arc<Self>,
        process: &Process,
        request: &Request,
        writer: &mut TcpStream,
        echo: &str,
    ) -> bool {
        let state = process.state.lock().unwrap().clone();
        let is_prefill = request.header("x-yuccacove-serving-stage") == "prefill";
        let mut send = |text: &str| writer.write_all(text.as_bytes()).is_ok();
        if state.change.is_some() {
            return send(&response(503, &format!("{echo}X-Yuccacove-Not-Run: 1\r\n"), ""));
        }
        if is_prefill != (state.phase == "prefill") {
            return send(&response(421, &format!("{echo}X-Yuccacove-Not-Run: 1\r\n"), ""));
        }
        self.fleet.arrived(&process.id, request, is_prefill);
        thread::sleep(Duration::from_millis(8));
        let id = request.header("x-yuccacove-request-id");
        if is_prefill {
            let body = format!("{{\"kv_handle\":\"kv{id}\",\"tokens\":600,\"version\":1}}");
            return send(&response(200, &format!("{echo}Content-Type: application/json\r\n"), &body));
        }
        if (self.fleet.is_deadly)(request) {
            self.crash();
            return false;
        }
        let head = format!(
            "HTTP/1.1 200 OK\r\n{echo}X-Yuccacove-Response-Seal: {}.{id}\r\n\
             Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
            process.id
        );
        let mut is_sent = send(&head);
        for number in 1..=5 {
            let event = format!("id: {number}\ndata: piece {number} of {id}\n\n");
            is_sent = is_sent && send(&format!("{:x}\r\n{event}\r\n", event.len()));
            thread::sleep(Duration::from_millis(20));
        }
        is_sent && send("0\r\n\r\n")
    }
}
