//! Stand-in for a backend server of a plain service.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use serde_json::{Value, json};

use crate::call::Call;
use crate::fault::{Faults, Mode};
use crate::proxy::lock;
use crate::standin::Standin;

#[derive(Debug, Default)]
struct Counters {
    reads: u64,
    runs_by_key: HashMap<String, u64>,
    runs_without_key: u64,
    orders: u64,
}

/// The service stand-in.
#[derive(Debug)]
pub struct Service {
    name: String,
    delay: Duration,
    faults: Faults,
    counters: Mutex<Counters>,
}

/// Hash of a request's content, 16 hex digits long. The response carries it, so that a client can
/// check that the response belongs to its request.
pub fn echo_hash(content: &[u8]) -> String {
    blake3::hash(content).to_hex()[..16].to_owned()
}

impl Service {
    /// A server called `name` that responds to each call after `delay`.
    pub fn new(name: &str, delay: Duration) -> Arc<Self> {
        Arc::new(Self {
            name: name.to_owned(),
            delay,
            faults: Faults::default(),
            counters: Mutex::default(),
        })
    }

    /// Runs an order, even if one with the same idempotency key has already run, so that the
    /// counters show repeated runs.
    fn run_order(&self, mut call: Call) {
        let Ok(body) = call.body() else {
            return call.respond_error(400, "unreadable body");
        };
        let key = call.header("idempotency-key").map(str::to_owned);
        let (order, runs) = {
            let mut counters = lock(&self.counters);
            counters.orders += 1;
            let order = format!("{}-{}", self.name, counters.orders);
            let runs = match key {
                Some(key) => counters.runs_by_key.entry(key).or_default(),
                None => &mut counters.runs_without_key,
            };
            *runs += 1;
            (order, *runs)
        };
        thread::sleep(self.delay);
        let response = json!({
            "order": order,
            "runs": runs,
            "server": self.name,
            "echo_hash": echo_hash(&body),
        });
        self.respond(call, &response);
    }

    fn read(&self, call: Call) {
        lock(&self.counters).reads += 1;
        thread::sleep(self.delay);
        let path = call.path().to_owned();
        let response = json!({
            "path": path,
            "server": self.name,
            "echo_hash": echo_hash(path.as_bytes()),
        });
        self.respond(call, &response);
    }

    fn respond(&self, call: Call, body: &Value) {
        if self.faults.consume_lost_answer() {
            return call.abort();
        }
        let id = call.header("x-request-id").unwrap_or_default().to_owned();
        let id = if self.faults.consume_crossed_answer() {
            format!("{id}-of-another-request")
        } else {
            id
        };
        if id.is_empty() {
            call.respond(200, body);
        } else {
            call.respond_with(200, &[("x-request-id", &id)], body);
        }
    }
}

impl Standin for Service {
    fn fault_modes(&self) -> &'static [Mode] {
        &[Mode::Silent, Mode::LoseAnswer, Mode::Crash, Mode::Crossed]
    }

    fn faults(&self) -> &Faults {
        &self.faults
    }

    fn stats(&self) -> Value {
        let counters = lock(&self.counters);
        json!({
            "server": self.name,
            "reads": counters.reads,
            "orders": counters.orders,
            "runs": counters.runs_by_key,
            "runs_without_key": counters.runs_without_key,
        })
    }

    fn handle(self: Arc<Self>, call: Call) {
        let path = call.path();
        let is_order_path = ["/orders", "/bookings"]
            .iter()
            .any(|prefix| path == *prefix || path.starts_with(&format!("{prefix}/")));
        match call.method() {
            "GET" => self.read(call),
            "POST" if is_order_path => self.run_order(call),
            _ => call.respond_error(404, "no such path"),
        }
    }
}
