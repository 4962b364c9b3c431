//! A fake object API with fault injection for writes, and a fake HTTP server for hosts and engines.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;

use percent_encoding::percent_decode_str;
use serde_json::{Value, json};
use tiny_http::{Response, Server};

/// Fault injected into the next write of a key.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Fault {
    /// The write takes effect, but its response is lost.
    LoseResponse,
    /// The write has no effect and fails.
    Fail,
    /// Another operator writes the object first.
    Race,
    /// The write takes effect, its response is lost, and another operator writes the object before
    /// it is read again.
    LoseResponseThenRace,
}

#[derive(Default)]
struct State {
    revision: u64,
    objects: BTreeMap<String, (u64, Value)>,
    faults: Vec<(String, Fault)>,
    writes: u64,
}

/// An in-memory object API on a loopback port.
#[derive(Clone)]
pub struct FakeStore {
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
}

impl FakeStore {
    pub fn spawn() -> Self {
        let state = Arc::new(Mutex::new(State::default()));
        let shared = Arc::clone(&state);
        let address = serve(move |method, url, expected, body| {
            let mut state = shared.lock().expect("no panic");
            state.handle(method, url, expected, body)
        });
        Self { address, state }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no panic")
    }

    pub fn put(&self, key: &str, value: &Value) -> u64 {
        self.lock().write(key, value.clone())
    }

    pub fn value(&self, key: &str) -> Value {
        let state = self.lock();
        let object = state.objects.get(key);
        object.map_or(Value::Null, |(_, value)| value.clone())
    }

    pub fn fault(&self, key: &str, fault: Fault) {
        self.lock().faults.push((key.to_owned(), fault));
    }

    pub fn writes(&self) -> u64 {
        self.lock().writes
    }
}

impl State {
    fn write(&mut self, key: &str, value: Value) -> u64 {
        self.revision += 1;
        self.objects.insert(key.to_owned(), (self.revision, value));
        self.revision
    }

    fn race(&mut self, key: &str) {
        let (_, mut value) = self.objects.get(key).cloned().unwrap_or((0, json!({})));
        value["zone"] = json!("raced");
        value["writer"] = json!("another operator");
        self.write(key, value);
    }

    fn handle(&mut self, method: &str, url: &str, expected: u64, body: &str) -> (u16, Value) {
        let object = |(key, (version, value)): (&String, &(u64, Value))| json!({ "key": key, "version": version, "value": value });
        if let Some(prefix) = url.strip_prefix("/v1/objects?prefix=") {
            let prefix = decode(prefix);
            let objects = self.objects.iter();
            let matching = objects.filter(|(key, _)| key.starts_with(&prefix));
            let objects: Vec<Value> = matching.map(object).collect();
            let list = json!({ "revision": self.revision, "objects": objects });
            return (200, list);
        }
        let key = url.strip_prefix("/v1/objects/").expect("an object's path");
        let key = &decode(key);
        if method == "GET" {
            let found = self.objects.get_key_value(key).map(object);
            return found.map_or((404, json!({})), |found| (200, found));
        }
        let index = self
            .faults
            .iter()
            .position(|(fault_key, _)| fault_key == key);
        let fault = index.map(|index| self.faults.remove(index).1);
        if fault == Some(Fault::Fail) {
            return (503, json!({}));
        }
        if fault == Some(Fault::Race) {
            self.race(key);
        }
        let current = self.objects.get(key).map_or(0, |(version, _)| *version);
        if current != expected {
            return (409, json!({ "version": current }));
        }
        self.writes += 1;
        let version = self.write(key, serde_json::from_str(body).expect("a JSON value"));
        match fault {
            Some(Fault::LoseResponse) => (503, json!({})),
            Some(Fault::LoseResponseThenRace) => {
                self.race(key);
                (503, json!({}))
            }
            _ => (200, json!({ "version": version })),
        }
    }
}

fn decode(text: &str) -> String {
    percent_decode_str(text).decode_utf8_lossy().into_owned()
}

/// Starts an HTTP server on a loopback port that responds with the status and body that `handle`
/// returns for the method, URL, `If-Match` version (0 if absent) and body of a request.
pub fn serve(
    handle: impl Fn(&str, &str, u64, &str) -> (u16, Value) + Send + 'static,
) -> SocketAddr {
    let server = Server::http("127.0.0.1:0").expect("a free port");
    let address = server.server_addr().to_ip().expect("an IP address");
    thread::spawn(move || {
        for mut request in server.incoming_requests() {
            let mut body = String::new();
            request
                .as_reader()
                .read_to_string(&mut body)
                .expect("a UTF-8 body");
            let expected = request.headers().iter().find(|h| h.field.equiv("If-Match"));
            let expected = expected
                .and_then(|h| h.value.as_str().parse().ok())
                .unwrap_or(0);
            let method = request.method().to_string();
            let (status, response_body) = handle(&method, request.url(), expected, &body);
            let response =
                Response::from_string(response_body.to_string()).with_status_code(status);
            // The client may have closed the connection.
            let _ = request.respond(response);
        }
    });
    address
}
