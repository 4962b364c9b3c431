//! The platform's store: objects by kind and name, one revision counter, watches with a history, and
//! the drill in which it comes back from a copy.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Answer, Request, answer, serve};

/// Size of a page: "about 500 or 1 MB at most".
const MAX_PAGE_ITEMS: usize = 500;
const MAX_PAGE_BYTES: usize = 1_000_000;

#[derive(Debug, Clone)]
struct Object {
    revision: u64,
    spec: String,
}

#[derive(Debug, Clone)]
struct Change {
    kind: String,
    name: String,
    revision: u64,
    /// Content; `None` for a removal.
    spec: Option<String>,
}

#[derive(Debug, Clone, Default)]
struct Content {
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
    history: Vec<Change>,
}

#[derive(Debug, Default)]
struct State {
    content: Content,
    copy: Option<Content>,
    era: u64,
    is_away: bool,
}

/// A store in memory; clones share it.
#[derive(Debug, Clone)]
pub struct Store {
    shared: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    pub fn new() -> Self {
        let mut state = State { era: 1, ..State::default() };
        state.content.revision = 1;
        Self { shared: Arc::new((Mutex::new(state), Condvar::new())) }
    }

    /// Serves the store on a loopback address.
    pub fn listen(&self) -> SocketAddr {
        let store = self.clone();
        serve(move |request| store.handle(request))
    }

    /// Writes an object as the operator or an engine does; returns its revision.
    pub fn put(&self, kind: &str, name: &str, spec: &str) -> u64 {
        let mut state = self.shared.0.lock().expect("not poisoned");
        let revision = write(&mut state.content, kind, name, Some(spec));
        self.shared.1.notify_all();
        revision
    }

    /// Removes an object, as an engine that leaves or the platform does.
    pub fn delete(&self, kind: &str, name: &str) {
        let mut state = self.shared.0.lock().expect("not poisoned");
        write(&mut state.content, kind, name, None);
        self.shared.1.notify_all();
    }

    /// Keeps a copy of the present content.
    pub fn keep_copy(&self) {
        let mut state = self.shared.0.lock().expect("not poisoned");
        state.copy = Some(state.content.clone());
    }

    /// The store is away from now on: connections are closed without an answer.
    pub fn leave(&self) {
        self.shared.0.lock().expect("not poisoned").is_away = true;
        self.shared.1.notify_all();
    }

    /// The store comes back from the copy, in the next era.
    pub fn come_back_from_copy(&self) {
        let mut state = self.shared.0.lock().expect("not poisoned");
        state.content = state.copy.clone().expect("a copy");
        state.era += 1;
        state.is_away = false;
        self.shared.1.notify_all();
    }

    fn handle(&self, request: &Request) -> Answer {
        if self.shared.0.lock().expect("not poisoned").is_away {
            return Answer::Close;
        }
        let (path, query) = request.path.split_once('?').unwrap_or((&request.path, ""));
        let mut parts = path.trim_start_matches("/objects/").splitn(2, '/');
        let kind = parts.next().unwrap_or_default();
        let name = parts.next();
        let body = String::from_utf8_lossy(&request.body).into_owned();
        match (request.method.as_str(), name) {
            ("GET", None) => match parameter(query, "watch") {
                Some(since) => self.watch(kind, since, parameter(query, "wait_ms").unwrap_or(0)),
                None => self.list(kind, &text_parameter(query, "after").unwrap_or_default()),
            },
            ("GET", Some(name)) => self.read(kind, name),
            ("POST", _) => match text_field(&body, "name") {
                Some(name) => self.write(kind, &name, &body, true),
                None => self.reply("400 Bad Request", "{}"),
            },
            ("PUT", Some(name)) => self.write(kind, name, &body, false),
            ("DELETE", Some(name)) => {
                let mut state = self.shared.0.lock().expect("not poisoned");
                write(&mut state.content, kind, name, None);
                drop(state);
                self.shared.1.notify_all();
                self.reply("200 OK", "{}")
            }
            _ => self.reply("404 Not Found", "{}"),
        }
    }

    fn reply(&self, status: &str, body: &str) -> Answer {
        let era = self.shared.0.lock().expect("not poisoned").era;
        reply(era, status, body)
    }

    /// Lists the objects of a kind whose names come after `after`, about 500 or 1 MB of them at most.
    fn list(&self, kind: &str, after: &str) -> Answer {
        let state = self.shared.0.lock().expect("not poisoned");
        let of_kind = state.content.objects.iter().filter(|((k, _), _)| k == kind);
        let mut rest = of_kind.filter(|((_, name), _)| name.as_str() > after).peekable();
        let mut items: Vec<String> = Vec::new();
        let mut bytes = 0;
        while items.len() < MAX_PAGE_ITEMS && bytes < MAX_PAGE_BYTES {
            let Some(((_, name), object)) = rest.next() else { break };
            let item = object_json(name, object.revision, Some(&object.spec));
            bytes += item.len();
            items.push(item);
        }
        let more = rest.peek().is_some();
        let as_of = state.content.revision;
        let body = format!("{{\"items\":[{}],\"more\":{more},\"as_of\":{as_of}}}", items.join(","));
        reply(state.era, "200 OK", &body)
    }

    fn read(&self, kind: &str, name: &str) -> Answer {
        let state = self.shared.0.lock().expect("not poisoned");
        match state.content.objects.get(&(kind.to_owned(), name.to_owned())) {
            Some(object) => {
                let body = object_json(name, object.revision, Some(&object.spec));
                reply(state.era, "200 OK", &body)
            }
            None => reply(state.era, "404 Not Found", "{}"),
        }
    }

    fn watch(&self, kind: &str, since: u64, wait_ms: u64) -> Answer {
        let until = Instant::now() + Duration::from_millis(wait_ms);
        let mut state = self.shared.0.lock().expect("not poisoned");
        let era = state.era;
        loop {
            if state.is_away || state.era != era {
                return Answer::Close;
            }
            if since > state.content.revision {
                return reply(era, "410 Gone", "{}");
            }
            let history = state.content.history.iter();
            let changes: Vec<&Change> =
                history.filter(|c| c.kind == kind && c.revision > since).collect();
            let left = until.saturating_duration_since(Instant::now());
            if !changes.is_empty() || left.is_zero() {
                let events: Vec<String> = changes.iter().map(|change| event_json(change)).collect();
                let as_of = state.content.revision;
                let body = format!("{{\"events\":[{}],\"as_of\":{as_of}}}", events.join(","));
                return reply(era, "200 OK", &body);
            }
            state = self.shared.1.wait_timeout(state, left).expect("not poisoned").0;
        }
    }

    fn write(&self, kind: &str, name: &str, body: &str, is_new: bool) -> Answer {
        let mut state = self.shared.0.lock().expect("not poisoned");
        let known = state.content.objects.get(&(kind.to_owned(), name.to_owned())).cloned();
        let expected = number_field(body, "revision");
        let is_expected = match (&known, is_new) {
            (Some(_), true) => false,
            (Some(known), false) => expected.is_none_or(|e| e == known.revision),
            (None, true) => true,
            (None, false) => return reply(state.era, "404 Not Found", "{}"),
        };
        if !is_expected {
            let body = known.map(|k| object_json(name, k.revision, Some(&k.spec)));
            return reply(state.era, "409 Conflict", &body.unwrap_or_default());
        }
        let spec = value_field(body, "spec").unwrap_or_else(|| "null".to_owned());
        let revision = write(&mut state.content, kind, name, Some(&spec));
        let era = state.era;
        drop(state);
        self.shared.1.notify_all();
        reply(era, "200 OK", &object_json(name, revision, Some(&spec)))
    }
}

fn write(content: &mut Content, kind: &str, name: &str, spec: Option<&str>) -> u64 {
    let key = (kind.to_owned(), name.to_owned());
    // A write that changes nothing neither raises the revision nor makes an event.
    match (content.objects.get(&key), spec) {
        (Some(known), Some(spec)) if known.spec == spec => return known.revision,
        (None, None) => return content.revision,
        _ => {}
    }
    content.revision += 1;
    let revision = content.revision;
    match spec {
        Some(spec) => {
            content.objects.insert(key, Object { revision, spec: spec.to_owned() });
        }
        None => {
            content.objects.remove(&key);
        }
    }
    let (kind, name, spec) = (kind.to_owned(), name.to_owned(), spec.map(str::to_owned));
    content.history.push(Change { kind, name, revision, spec });
    revision
}

fn reply(era: u64, status: &str, body: &str) -> Answer {
    let headers = format!("Store-Era: {era}\r\nContent-Type: application/json\r\n");
    answer(status, &headers, body)
}

fn object_json(name: &str, revision: u64, spec: Option<&str>) -> String {
    format!(
        "{{\"metadata\":{{\"name\":\"{name}\",\"revision\":{revision},\"created\":1,\"finalizers\":[],\
         \"deleting\":false}},\"spec\":{},\"status\":null}}",
        spec.unwrap_or("null")
    )
}

fn event_json(change: &Change) -> String {
    let object = object_json(&change.name, change.revision, change.spec.as_deref());
    format!("{{\"tombstone\":{},\"object\":{object}}}", change.spec.is_none())
}

fn parameter(query: &str, name: &str) -> Option<u64> {
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let mut found = pairs.filter(|(key, _)| *key == name);
    found.next()?.1.parse().ok()
}

/// Returns a parameter of a query, with its percent-encoding undone.
fn text_parameter(query: &str, name: &str) -> Option<String> {
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let mut found = pairs.filter(|(key, _)| *key == name);
    let encoded = found.next()?.1.as_bytes();
    let mut text = Vec::new();
    let mut at = 0;
    while at < encoded.len() {
        let code = encoded.get(at + 1..at + 3).filter(|_| encoded[at] == b'%');
        let code = code.and_then(|code| std::str::from_utf8(code).ok());
        match code.and_then(|code| u8::from_str_radix(code, 16).ok()) {
            Some(byte) => {
                text.push(byte);
                at += 3;
            }
            None => {
                text.push(encoded[at]);
                at += 1;
            }
        }
    }
    String::from_utf8(text).ok()
}

/// Returns the text after `"name":` in a compact JSON text.
fn after<'a>(json: &'a str, name: &str) -> Option<&'a str> {
    let key = format!("\"{name}\":");
    json.split_once(&key).map(|(_, rest)| rest)
}

fn text_field(json: &str, name: &str) -> Option<String> {
    let rest = after(json, name)?.strip_prefix('"')?;
    rest.split_once('"').map(|(text, _)| text.to_owned())
}

fn number_field(json: &str, name: &str) -> Option<u64> {
    let metadata = after(json, "metadata")?;
    let metadata = metadata.split_once('}')?.0;
    let digits: String = after(metadata, name)?.chars().take_while(char::is_ascii_digit).collect();
    digits.parse().ok()
}

/// Returns the JSON value of a field of the outermost object.
fn value_field(json: &str, name: &str) -> Option<String> {
    let rest = after(json, name)?;
    let (mut depth, mut in_text, mut is_escaped) = (0, false, false);
    for (at, c) in rest.char_indices() {
        match c {
            _ if is_escaped => is_escaped = false,
            '\\' if in_text => is_escaped = true,
            '"' => in_text = !in_text,
            '{' | '[' if !in_text => depth += 1,
            '}' | ']' | ',' if !in_text && depth == 0 => return Some(rest[..at].to_owned()),
            '}' | ']' if !in_text => depth -= 1,
            _ => {}
        }
    }
    Some(rest.to_owned())
}
