//! Stand-in for the platform's object API.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::time::{Duration, Instant};

use anyhow::bail;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use crate::call::Call;
use crate::fault::{Faults, Mode};
use crate::proxy::lock;
use crate::standin::Standin;

/// Maximum size of a value as JSON text.
pub const MAX_VALUE_BYTES: usize = 1_000_000;
/// Longest time that a watch is held open.
const MAX_WATCH_MS: u64 = 600_000;

/// Rate limits and history size of the store.
#[derive(Debug, Clone)]
pub struct Config {
    /// Accepted writes and deletions per second.
    pub writes_per_s: u32,
    /// Accepted reads, lists, watches and host lists per second.
    pub reads_per_s: u32,
    /// Number of recent changes kept for watches.
    pub history_changes: usize,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            writes_per_s: 400,
            reads_per_s: 2_000,
            history_changes: 10_000,
        }
    }
}

/// A token bucket whose capacity is the calls of one second.
#[derive(Debug)]
pub struct TokenBucket {
    per_s: f64,
    tokens: f64,
    refilled_at: Instant,
}

impl TokenBucket {
    /// A bucket that is full at `now`.
    pub fn new(per_s: u32, now: Instant) -> Self {
        Self {
            per_s: f64::from(per_s),
            tokens: f64::from(per_s),
            refilled_at: now,
        }
    }

    /// Takes one token; returns false if there is none.
    pub fn try_acquire(&mut self, now: Instant) -> bool {
        let elapsed = now
            .saturating_duration_since(self.refilled_at)
            .as_secs_f64();
        self.tokens = (self.tokens + elapsed * self.per_s).min(self.per_s);
        self.refilled_at = now;
        let acquired = self.tokens >= 1.0;
        if acquired {
            self.tokens -= 1.0;
        }
        acquired
    }
}

/// Current state of a key. Deleted keys are kept, because watches report deletions and a stale read
/// can return the last value.
#[derive(Debug, Clone)]
struct Object {
    version: u64,
    /// `None` if the key is deleted.
    value: Option<Arc<Value>>,
    /// Latest earlier version that has a value, and that value; `None` if there is none.
    previous: Option<(u64, Arc<Value>)>,
}

#[derive(Debug, Clone, Serialize, Deserialize)]
struct Host {
    name: String,
    state: HostState,
    #[serde(default)]
    age_ms: u64,
}

#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
enum HostState {
    Live,
    Leaving,
}

#[derive(Debug, Deserialize)]
struct HostList {
    hosts: Vec<Host>,
}

#[derive(Debug)]
struct State {
    revision: u64,
    objects: BTreeMap<String, Object>,
    /// Recent changes, oldest first: the revision and the key that it changed.
    history: VecDeque<(u64, String)>,
    /// Watches that start after a lower revision are refused, because `history` no longer holds all
    /// later changes.
    min_watch_revision: u64,
    writes: TokenBucket,
    reads: TokenBucket,
    hosts: Vec<Host>,
    hosts_set_at: Instant,
    calls: HashMap<&'static str, u64>,
    waiting_watches: u64,
}

/// The store stand-in.
#[derive(Debug)]
pub struct Store {
    config: Config,
    faults: Faults,
    state: Mutex<State>,
    changed: Condvar,
}

enum WriteResult {
    Conflict(u64),
    Written(u64),
}

impl Store {
    /// An empty store.
    pub fn new(config: Config) -> Arc<Self> {
        let now = Instant::now();
        let state = State {
            revision: 0,
            objects: BTreeMap::new(),
            history: VecDeque::new(),
            min_watch_revision: 0,
            writes: TokenBucket::new(config.writes_per_s, now),
            reads: TokenBucket::new(config.reads_per_s, now),
            hosts: Vec::new(),
            hosts_set_at: now,
            calls: HashMap::new(),
            waiting_watches: 0,
        };
        Arc::new(Self {
            config,
            faults: Faults::default(),
            state: Mutex::new(state),
            changed: Condvar::new(),
        })
    }

    /// Stores each member of a JSON object under its key.
    ///
    /// # Errors
    ///
    /// If `text` is not a JSON object.
    pub fn load(&self, text: &str) -> anyhow::Result<()> {
        let Value::Object(members) = serde_json::from_str(text)? else {
            bail!("expected a JSON object of keys and values");
        };
        let mut state = lock(&self.state);
        for (key, value) in members {
            self.apply_change(&mut state, &key, Some(value));
        }
        Ok(())
    }

    fn apply_change(&self, state: &mut State, key: &str, value: Option<Value>) -> u64 {
        state.revision += 1;
        let version = state.revision;
        let old = state.objects.remove(key);
        let previous = old.and_then(|old| match old.value {
            Some(value) => Some((old.version, value)),
            None => old.previous,
        });
        let object = Object {
            version,
            value: value.map(Arc::new),
            previous,
        };
        state.objects.insert(key.to_owned(), object);
        state.history.push_back((version, key.to_owned()));
        while state.history.len() > self.config.history_changes {
            if let Some((revision, _)) = state.history.pop_front() {
                state.min_watch_revision = revision;
            }
        }
        self.changed.notify_all();
        version
    }

    fn compare_and_set(&self, key: &str, expected: u64, value: Option<Value>) -> WriteResult {
        let mut state = lock(&self.state);
        let current = match state.objects.get(key) {
            Some(object) if object.value.is_some() => object.version,
            _ => 0,
        };
        if current != expected {
            *state.calls.entry("conflict").or_default() += 1;
            return WriteResult::Conflict(current);
        }
        WriteResult::Written(self.apply_change(&mut state, key, value))
    }

    /// Counts a call. If its rate limit is exceeded, responds with status 429 and returns `None`.
    fn admit(&self, kind: &'static str, call: Call) -> Option<Call> {
        let mut state = lock(&self.state);
        *state.calls.entry(kind).or_default() += 1;
        let now = Instant::now();
        let admitted = match kind {
            "put" | "delete" => state.writes.try_acquire(now),
            _ => state.reads.try_acquire(now),
        };
        if admitted {
            return Some(call);
        }
        *state.calls.entry("rate_limited").or_default() += 1;
        drop(state);
        call.respond_with(429, &[("retry-after", "1")], &json!({"status": 429}));
        None
    }

    fn get(&self, key: &str, call: Call) {
        let object = lock(&self.state).objects.get(key).cloned();
        let (version, value) = match object {
            Some(Object {
                previous: Some((version, value)),
                ..
            }) if self.faults.consume_stale_read() => (version, value),
            Some(Object {
                version,
                value: Some(value),
                ..
            }) => (version, value),
            _ => return call.respond_error(404, "no such object"),
        };
        call.respond(
            200,
            &json!({"key": key, "version": version, "value": *value}),
        );
    }

    fn write(&self, key: &str, mut call: Call) {
        let Some(expected) = call.header_number("if-match") else {
            return call.respond_error(400, "expected If-Match with a version");
        };
        let value = if call.method() == "DELETE" {
            if expected == 0 {
                return call.respond_error(400, "expected If-Match with the version of an object");
            }
            None
        } else {
            let Ok(body) = call.body() else {
                return call.respond_error(413, "value too large");
            };
            if body.len() > MAX_VALUE_BYTES {
                return call.respond_error(413, "value too large");
            }
            match serde_json::from_slice(&body) {
                Ok(value) => Some(value),
                Err(error) => return call.respond_error(400, &error.to_string()),
            }
        };
        match self.compare_and_set(key, expected, value) {
            WriteResult::Conflict(version) => call.respond(409, &json!({"version": version})),
            WriteResult::Written(_) if self.faults.consume_lost_answer() => call.abort(),
            WriteResult::Written(version) => call.respond(200, &json!({"version": version})),
        }
    }

    fn list(&self, call: Call) {
        let prefix = call.query("prefix").unwrap_or_default();
        let body = {
            let state = lock(&self.state);
            let objects: Vec<_> = objects_with_prefix(&state, prefix)
                .filter_map(|(key, object)| live_object(key, object))
                .collect();
            json!({"revision": state.revision, "objects": objects})
        };
        call.respond(200, &body);
    }

    fn watch(self: &Arc<Self>, call: Call) {
        let prefix = call.query("prefix").unwrap_or_default().to_owned();
        let after = call.query_number("after", 0);
        let timeout = Duration::from_millis(call.query_number("timeout_ms", 0).min(MAX_WATCH_MS));
        let deadline = Instant::now() + timeout;
        let disconnected = self.wake_on_close(&call);
        let mut state = lock(&self.state);
        state.waiting_watches += 1;
        let body = loop {
            // A revision above the current one dates from before a restart of the store.
            if after < state.min_watch_revision || after > state.revision {
                break None;
            }
            if disconnected.load(Ordering::SeqCst) {
                break None;
            }
            let (objects, deleted) = changes_since(&state, &prefix, after);
            let remaining = deadline.saturating_duration_since(Instant::now());
            if !objects.is_empty() || !deleted.is_empty() || remaining.is_zero() {
                break Some(
                    json!({"revision": state.revision, "objects": objects, "deleted": deleted}),
                );
            }
            (state, _) = self
                .changed
                .wait_timeout(state, remaining)
                .unwrap_or_else(PoisonError::into_inner);
        };
        state.waiting_watches -= 1;
        drop(state);
        if let Some(connection) = call.connection() {
            connection.clear_on_close();
        }
        match body {
            _ if self.faults.is_down() => call.abort(),
            Some(body) => call.respond(200, &body),
            None => call.respond_error(410, "revision older than the kept history; list again"),
        }
    }

    /// Returns a flag that is set when the client disconnects, which also wakes the waiting watch.
    fn wake_on_close(self: &Arc<Self>, call: &Call) -> Arc<AtomicBool> {
        let disconnected = Arc::new(AtomicBool::new(call.connection().is_none()));
        if let Some(connection) = call.connection() {
            let store = Arc::clone(self);
            let flag = Arc::clone(&disconnected);
            connection.on_close(move || {
                // The flag is set under the lock: otherwise the notification could arrive after a
                // watch has checked the flag but before it waits, and would be missed.
                let state = lock(&store.state);
                flag.store(true, Ordering::SeqCst);
                drop(state);
                store.changed.notify_all();
            });
        }
        disconnected
    }

    fn hosts(&self, call: Call) {
        let body = {
            let state = lock(&self.state);
            let elapsed_ms = state.hosts_set_at.elapsed().as_millis() as u64;
            let hosts: Vec<_> = state
                .hosts
                .iter()
                .map(|host| Host {
                    age_ms: host.age_ms + elapsed_ms,
                    ..host.clone()
                })
                .collect();
            json!({"hosts": hosts})
        };
        call.respond(200, &body);
    }

    fn set_hosts(&self, mut call: Call) {
        match call.body_json::<HostList>() {
            Ok(list) => {
                let mut state = lock(&self.state);
                state.hosts = list.hosts;
                state.hosts_set_at = Instant::now();
                drop(state);
                call.respond(200, &json!({}));
            }
            Err(detail) => call.respond_error(400, &detail),
        }
    }
}

impl Standin for Store {
    fn fault_modes(&self) -> &'static [Mode] {
        &[Mode::LoseAnswer, Mode::StaleRead]
    }

    fn faults(&self) -> &Faults {
        &self.faults
    }

    fn stats(&self) -> Value {
        let state = lock(&self.state);
        let mut calls = json!({
            "get": 0, "put": 0, "delete": 0, "list": 0, "watch": 0, "hosts": 0,
            "conflict": 0, "rate_limited": 0,
        });
        for (kind, count) in &state.calls {
            calls[*kind] = json!(count);
        }
        json!({
            "calls": calls,
            "waiting_watches": state.waiting_watches,
            "revision": state.revision,
        })
    }

    fn handle(self: Arc<Self>, call: Call) {
        let path = call.path().to_owned();
        let key = path.strip_prefix("/v1/objects/").filter(|k| !k.is_empty());
        let kind = match (call.method(), path.as_str(), key) {
            ("GET", _, Some(_)) => "get",
            ("PUT", _, Some(_)) => "put",
            ("DELETE", _, Some(_)) => "delete",
            ("GET", "/v1/objects", _) => "list",
            ("GET", "/v1/watch", _) => "watch",
            ("GET", "/v1/hosts", _) => "hosts",
            ("POST", "/hosts", _) => return self.set_hosts(call),
            _ => return call.respond_error(404, "no such path"),
        };
        let Some(call) = self.admit(kind, call) else {
            return;
        };
        match (kind, key) {
            ("get", Some(key)) => self.get(key, call),
            ("put" | "delete", Some(key)) => self.write(key, call),
            ("list", _) => self.list(call),
            ("watch", _) => self.watch(call),
            _ => self.hosts(call),
        }
    }
}

fn objects_with_prefix<'a>(
    state: &'a State,
    prefix: &str,
) -> impl Iterator<Item = (&'a String, &'a Object)> {
    state
        .objects
        .range(prefix.to_owned()..)
        .take_while(move |(key, _)| key.starts_with(prefix))
}

fn live_object(key: &str, object: &Object) -> Option<Value> {
    let value = object.value.as_ref()?;
    Some(json!({"key": key, "version": object.version, "value": **value}))
}

/// Live and deleted objects that changed after revision `after`, each once with its current state.
fn changes_since(state: &State, prefix: &str, after: u64) -> (Vec<Value>, Vec<Value>) {
    let mut objects = Vec::new();
    let mut deleted = Vec::new();
    let start = state
        .history
        .partition_point(|(revision, _)| *revision <= after);
    for (revision, key) in state.history.range(start..) {
        if !key.starts_with(prefix) {
            continue;
        }
        let Some(object) = state.objects.get(key) else {
            continue;
        };
        if object.version != *revision {
            continue;
        }
        match live_object(key, object) {
            Some(value) => objects.push(value),
            None => deleted.push(json!({"key": key, "version": revision})),
        }
    }
    (objects, deleted)
}
