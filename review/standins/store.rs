//! The platform's metadata store: objects with revisions, lists, watches and conditional writes.

use std::collections::BTreeMap;
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{self, Request, Server, response};
use crate::json;

#[derive(Clone)]
struct Stored {
    revision: u64,
    spec: Option<String>,
}

#[derive(Default, Clone)]
struct State {
    era: u64,
    /// Whether the store accepts connections and answers nothing.
    is_away: bool,
    revision: u64,
    /// Latest state of each object by kind and name; without a spec if it was removed.
    objects: BTreeMap<(String, String), Stored>,
}

/// A copy of the store.
pub struct Copy(State);

#[derive(Default)]
pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
}

fn object(name: &str, stored: &Stored) -> String {
    let spec = stored.spec.as_deref().unwrap_or("null");
    let revision = stored.revision;
    format!(
        "{{\"metadata\":{{\"name\":\"{name}\",\"revision\":{revision},\"created\":1,\"finalizers\":[],\"deleting\":false}},\"spec\":{spec},\"status\":null}}"
    )
}

impl Store {
    /// Starts the store on a free loopback port.
    pub fn spawn() -> (Arc<Self>, SocketAddr, Server) {
        let store = Arc::new(Self::default());
        *store.state.lock().unwrap() = State { era: 1, revision: 40, ..State::default() };
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let own = Arc::clone(&store);
        let server = Server::spawn(listener, move |stream| {
            http::serve(stream, |request, writer| {
                let (status, body) = own.handle(request);
                let (era, is_away) = own.era_and_away();
                let headers = format!("Content-Type: application/json\r\nStore-Era: {era}\r\n");
                !is_away && writer.write_all(response(status, &headers, &body).as_bytes()).is_ok()
            });
        });
        (store, address, server)
    }

    /// Writes or removes an object as the operator or a server does.
    pub fn put(&self, kind: &str, name: &str, spec: Option<String>) -> u64 {
        self.put_locked(&mut self.state.lock().unwrap(), kind, name, spec)
    }

    fn put_locked(&self, state: &mut State, kind: &str, name: &str, spec: Option<String>) -> u64 {
        let key = (kind.to_owned(), name.to_owned());
        let known = state.objects.get(&key);
        if known.map(|known| &known.spec) == Some(&spec) || (known.is_none() && spec.is_none()) {
            return state.revision;
        }
        state.revision += 1;
        let revision = state.revision;
        state.objects.insert(key, Stored { revision, spec });
        self.changed.notify_all();
        revision
    }

    fn era_and_away(&self) -> (u64, bool) {
        let state = self.state.lock().unwrap();
        (state.era, state.is_away)
    }

    /// Makes the store close connections without an answer.
    pub fn go_away(&self) {
        self.state.lock().unwrap().is_away = true;
        self.changed.notify_all();
    }

    /// Returns a copy of the store from which it can be restored.
    pub fn copy(&self) -> Copy {
        Copy(self.state.lock().unwrap().clone())
    }

    /// Brings the store back from a copy, in the next era.
    pub fn restore(&self, copy: &Copy) {
        let mut state = self.state.lock().unwrap();
        let era = state.era + 1;
        *state = State { era, is_away: false, ..copy.0.clone() };
        self.changed.notify_all();
    }

    fn handle(&self, request: &Request) -> (u16, String) {
        let mut parts = request.path().trim_start_matches("/objects/").splitn(2, '/');
        let kind = parts.next().unwrap_or_default().to_owned();
        let name = parts.next().map(str::to_owned);
        match (request.method.as_str(), name) {
            ("GET", None) => match request.query("watch").and_then(|since| since.parse().ok()) {
                Some(since) => (200, self.watch(&kind, since, request)),
                None => (200, self.list(&kind)),
            },
            ("GET", Some(name)) => self.read(&kind, &name),
            ("POST", None) => {
                let body = request.text();
                let metadata = json::field(&body, "metadata").unwrap_or_default();
                let name = json::text(&json::field(&metadata, "name").unwrap_or_default());
                self.write(&kind, &name, None, &body)
            }
            ("PUT", Some(name)) => {
                let body = request.text();
                let metadata = json::field(&body, "metadata").unwrap_or_default();
                let revision = json::field(&metadata, "revision").and_then(|r| r.parse().ok());
                self.write(&kind, &name, Some(revision), &body)
            }
            ("DELETE", Some(name)) => {
                self.put(&kind, &name, None);
                (200, "{}".to_owned())
            }
            _ => (400, "{}".to_owned()),
        }
    }

    fn list(&self, kind: &str) -> String {
        let state = self.state.lock().unwrap();
        let of_kind = state.objects.iter().filter(|((k, _), stored)| k == kind && stored.spec.is_some());
        let items: Vec<String> = of_kind.map(|((_, name), stored)| object(name, stored)).collect();
        let revision = state.revision;
        format!("{{\"items\":[{}],\"more\":false,\"as_of\":{revision}}}", items.join(","))
    }

    fn watch(&self, kind: &str, since: u64, request: &Request) -> String {
        let wait_ms = request.query("wait_ms").and_then(|wait| wait.parse().ok()).unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait_ms);
        let mut state = self.state.lock().unwrap();
        loop {
            let mut changes: Vec<_> = state
                .objects
                .iter()
                .filter(|((k, _), stored)| k == kind && stored.revision > since)
                .collect();
            changes.sort_by_key(|(_, stored)| stored.revision);
            let left = until.saturating_duration_since(Instant::now());
            if !changes.is_empty() || left.is_zero() || state.is_away {
                let events: Vec<String> = changes
                    .iter()
                    .map(|((_, name), stored)| {
                        let tombstone = stored.spec.is_none();
                        format!("{{\"tombstone\":{tombstone},\"object\":{}}}", object(name, stored))
                    })
                    .collect();
                let revision = state.revision;
                return format!("{{\"events\":[{}],\"as_of\":{revision}}}", events.join(","));
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }

    fn read(&self, kind: &str, name: &str) -> (u16, String) {
        let state = self.state.lock().unwrap();
        match state.objects.get(&(kind.to_owned(), name.to_owned())) {
            Some(stored) if stored.spec.is_some() => (200, object(name, stored)),
            _ => (404, "{}".to_owned()),
        }
    }

    /// `expected` is `None` to create an object, and holds the revision that a PUT names, if any.
    fn write(&self, kind: &str, name: &str, expected: Option<Option<u64>>, body: &str) -> (u16, String) {
        let mut state = self.state.lock().unwrap();
        let known = state.objects.get(&(kind.to_owned(), name.to_owned()));
        let known = known.filter(|stored| stored.spec.is_some());
        match (known, expected) {
            (None, Some(_)) => return (404, "{}".to_owned()),
            (Some(stored), None) => return (409, object(name, stored)),
            (Some(stored), Some(Some(revision))) if revision != stored.revision => {
                return (409, object(name, stored));
            }
            _ => {}
        }
        self.put_locked(&mut state, kind, name, json::field(body, "spec"));
        drop(state);
        self.read(kind, name)
    }
}
