//! The platform's store: objects by kind and name, conditional writes and watches.

use std::collections::BTreeMap;
use std::io::BufReader;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Message, read_message, respond};
use crate::json::{Json, parse};

#[derive(Debug, Clone)]
struct Object {
    revision: u64,
    created: u64,
    spec: Json,
}

#[derive(Debug, Default)]
struct State {
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
    /// Each change: its revision, the kind, and the event as text.
    events: Vec<(u64, String, String)>,
    is_down: bool,
    /// Number of restores so far.
    restores: u64,
    /// Revision up to which the store has no history.
    history_from: u64,
}

/// A copy of the store's objects.
pub struct Copy {
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
}

/// A store that serves on a loopback address.
pub struct Store {
    pub address: SocketAddr,
    state: Mutex<State>,
    changed: Condvar,
}

impl Store {
    pub fn start() -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port for the store");
        let store = Arc::new(Self {
            address: listener.local_addr().expect("an address"),
            state: Mutex::new(State {
                revision: 10,
                ..State::default()
            }),
            changed: Condvar::new(),
        });
        let serving = Arc::clone(&store);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = Arc::clone(&serving);
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// While the store is down it answers 503 to every call.
    pub fn set_down(&self, is_down: bool) {
        self.state.lock().expect("state").is_down = is_down;
        self.changed.notify_all();
    }

    /// Returns a copy of the objects.
    pub fn copy(&self) -> Copy {
        let state = self.state.lock().expect("state");
        Copy {
            revision: state.revision,
            objects: state.objects.clone(),
        }
    }

    /// Comes back from a copy: what was written since is gone, and revisions go on from those of the copy.
    pub fn restore(&self, copy: Copy) {
        let mut state = self.state.lock().expect("state");
        state.revision = copy.revision;
        state.history_from = copy.revision;
        state.objects = copy.objects;
        state.events.clear();
        state.restores += 1;
        state.is_down = false;
    }

    /// Writes an object as the operator or an engine does; `None` if the store is down.
    pub fn put(&self, kind: &str, name: &str, spec: &str) -> Option<u64> {
        let mut state = self.state.lock().expect("state");
        if state.is_down {
            return None;
        }
        let spec = parse(spec).expect("a JSON spec");
        let revision = state.write(kind, name, spec);
        self.changed.notify_all();
        Some(revision)
    }

    /// Removes an object.
    pub fn remove(&self, kind: &str, name: &str) -> Option<u64> {
        let mut state = self.state.lock().expect("state");
        if state.is_down {
            return None;
        }
        let revision = state.remove(kind, name);
        self.changed.notify_all();
        revision
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut stream = &stream;
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_message(&mut reader) {
            let (status, body) = self.answer(&request);
            let era = 1 + self.state.lock().expect("state").restores;
            let headers = format!("Content-Type: application/json\r\nStore-Era: {era}\r\n");
            if !respond(&mut stream, status, &headers, &body) {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> (&'static str, String) {
        let mut parts = request.path().trim_start_matches('/').splitn(3, '/');
        let (_, kind) = (parts.next(), parts.next().unwrap_or("").to_owned());
        let name = parts.next().map(decode);
        if self.state.lock().expect("state").is_down {
            return ("503 Service Unavailable", String::new());
        }
        match (request.method(), name) {
            ("GET", None) => match request.query("watch") {
                Some(since) => self.watch(&kind, since.parse().unwrap_or(0), request),
                None => self.list(&kind),
            },
            ("GET", Some(name)) => {
                let state = self.state.lock().expect("state");
                match state.objects.get(&(kind, name.clone())) {
                    Some(object) => ("200 OK", object_text(&name, object)),
                    None => ("404 Not Found", String::new()),
                }
            }
            ("DELETE", Some(name)) => {
                let removed = self.state.lock().expect("state").remove(&kind, &name);
                self.changed.notify_all();
                match removed {
                    Some(_) => ("200 OK", "{}".to_owned()),
                    None => ("404 Not Found", String::new()),
                }
            }
            ("POST" | "PUT", name) => self.write(&kind, name, request),
            _ => ("400 Bad Request", String::new()),
        }
    }

    fn list(&self, kind: &str) -> (&'static str, String) {
        let state = self.state.lock().expect("state");
        let objects = state.objects.iter().filter(|((k, _), _)| k == kind);
        let items: Vec<String> = objects.map(|((_, n), o)| object_text(n, o)).collect();
        let items = items.join(",");
        let text = format!("{{\"items\":[{items}],\"more\":false,\"as_of\":{}}}", state.revision);
        ("200 OK", text)
    }

    fn watch(&self, kind: &str, since: u64, request: &Message) -> (&'static str, String) {
        let wait_ms = request.query("wait_ms").and_then(|ms| ms.parse().ok());
        let until = Instant::now() + Duration::from_millis(wait_ms.unwrap_or(0));
        let mut state = self.state.lock().expect("state");
        loop {
            if state.is_down {
                return ("503 Service Unavailable", String::new());
            }
            if since < state.history_from || since > state.revision {
                return ("410 Gone", String::new());
            }
            let events = state.events.iter();
            let events = events.filter(|(revision, k, _)| *revision > since && k == kind);
            let texts: Vec<&str> = events.map(|(_, _, text)| text.as_str()).collect();
            let now = Instant::now();
            if !texts.is_empty() || now >= until {
                let events = texts.join(",");
                let as_of = state.revision;
                return ("200 OK", format!("{{\"events\":[{events}],\"as_of\":{as_of}}}"));
            }
            state = self.changed.wait_timeout(state, until - now).expect("state").0;
        }
    }

    fn write(&self, kind: &str, name: Option<String>, request: &Message) -> (&'static str, String) {
        let body = String::from_utf8_lossy(&request.body);
        let Some(body) = parse(&body) else {
            return ("400 Bad Request", String::new());
        };
        let metadata = body.get("metadata");
        let named = metadata.and_then(|m| m.get("name")).and_then(Json::text);
        let Some(name) = name.clone().or_else(|| named.map(str::to_owned)) else {
            return ("400 Bad Request", String::new());
        };
        let expected = metadata.and_then(|m| m.get("revision")).and_then(Json::number);
        let spec = body.get("spec").cloned().unwrap_or(Json::Null);
        let mut state = self.state.lock().expect("state");
        let known = state.objects.get(&(kind.to_owned(), name.clone()));
        match (request.method(), known) {
            ("POST", Some(known)) => return ("409 Conflict", object_text(&name, known)),
            ("PUT", None) => return ("404 Not Found", String::new()),
            ("PUT", Some(known)) if expected.is_some_and(|e| e != known.revision) => {
                return ("409 Conflict", object_text(&name, known));
            }
            _ => {}
        }
        state.write(kind, &name, spec);
        let text = object_text(&name, &state.objects[&(kind.to_owned(), name.clone())]);
        self.changed.notify_all();
        ("200 OK", text)
    }
}

impl State {
    fn write(&mut self, kind: &str, name: &str, spec: Json) -> u64 {
        let key = (kind.to_owned(), name.to_owned());
        if let Some(known) = self.objects.get(&key).filter(|known| known.spec == spec) {
            return known.revision;
        }
        self.revision += 1;
        let created = self.objects.get(&key).map_or(self.revision, |known| known.created);
        let object = Object {
            revision: self.revision,
            created,
            spec,
        };
        let event = event_text(name, &object, false);
        self.events.push((self.revision, key.0.clone(), event));
        self.objects.insert(key, object);
        self.revision
    }

    fn remove(&mut self, kind: &str, name: &str) -> Option<u64> {
        let mut object = self.objects.remove(&(kind.to_owned(), name.to_owned()))?;
        self.revision += 1;
        object.revision = self.revision;
        let event = event_text(name, &object, true);
        self.events.push((self.revision, kind.to_owned(), event));
        Some(self.revision)
    }
}

fn event_text(name: &str, object: &Object, is_removed: bool) -> String {
    format!("{{\"tombstone\":{is_removed},\"object\":{}}}", object_text(name, object))
}

fn object_text(name: &str, object: &Object) -> String {
    format!(
        "{{\"metadata\":{{\"name\":{},\"revision\":{},\"created\":{},\"finalizers\":[],\
         \"deleting\":false}},\"spec\":{},\"status\":null}}",
        Json::Text(name.to_owned()),
        object.revision,
        object.created,
        object.spec
    )
}

fn decode(name: &str) -> String {
    let bytes = name.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let hex = name.get(at + 1..at + 3).and_then(|h| u8::from_str_radix(h, 16).ok());
        match hex.filter(|_| bytes[at] == b'%') {
            Some(byte) => {
                out.push(byte);
                at += 3;
            }
            None => {
                out.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}
