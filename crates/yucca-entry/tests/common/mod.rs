//! Test doubles over loopback: a scripted HTTP server, an object API, and a daemon with short time
//! limits.
// Each test binary uses a part of this module; `allow-unwrap-in-tests` does not cover helpers.
#![allow(dead_code, clippy::unwrap_used)]

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU16, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Request};
use http_body_util::{BodyExt, Full};
use hyper_util::rt::TokioIo;
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout};
use yucca_entry::daemon::Daemon;
use yucca_entry::timing::Timing;
use yucca_io::settings::Settings;
use yucca_io::stop::StopFlag;

/// Longest wait for a condition; far above what a loaded machine needs.
const LIMIT: Duration = Duration::from_secs(20);

/// One step of a scripted server's response to a call.
#[derive(Clone)]
pub enum Step {
    Send(String),
    Wait(u64),
    /// Waits until the flag is set.
    Hold(Arc<AtomicBool>),
    /// Keeps the connection open and sends nothing more.
    Silence,
    Close,
}

#[derive(Debug, Clone, Default)]
pub struct Call {
    pub method: String,
    pub target: String,
    pub headers: BTreeMap<String, String>,
    pub body: String,
}

impl Call {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }
}

type Handler = Box<dyn Fn(usize, &Call) -> Vec<Step> + Send + Sync>;

/// A server whose handler receives the number of calls so far with the same method and path.
pub struct Fake {
    pub address: SocketAddr,
    pub calls: Arc<Mutex<Vec<Call>>>,
    task: tokio::task::JoinHandle<()>,
}

impl Fake {
    pub async fn spawn(
        handler: impl Fn(usize, &Call) -> Vec<Step> + Send + Sync + 'static,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let calls = Arc::<Mutex<Vec<Call>>>::default();
        let handler: Arc<Handler> = Arc::new(Box::new(handler));
        let seen = Arc::clone(&calls);
        let task = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serve(stream, Arc::clone(&handler), Arc::clone(&seen)));
            }
        });
        Self {
            address,
            calls,
            task,
        }
    }

    /// Stops listening.
    pub async fn close(&self) {
        self.task.abort();
        until("closed listener", || self.task.is_finished()).await;
    }

    pub fn count(&self, method: &str, prefix: &str) -> usize {
        let calls = self.calls.lock().unwrap();
        let matching = calls.iter().filter(|c| c.method == method);
        matching.filter(|c| c.target.starts_with(prefix)).count()
    }

    pub fn last(&self, method: &str) -> Call {
        let calls = self.calls.lock().unwrap();
        let last = calls.iter().rev().find(|c| c.method == method);
        last.cloned().unwrap_or_default()
    }
}

async fn serve(mut stream: TcpStream, handler: Arc<Handler>, calls: Arc<Mutex<Vec<Call>>>) {
    let mut buffer = Vec::new();
    while let Some(call) = read_call(&mut stream, &mut buffer).await {
        let n = {
            let mut calls = calls.lock().unwrap();
            calls.push(call.clone());
            let same = |c: &&Call| c.method == call.method && c.target == call.target;
            calls.iter().filter(same).count()
        };
        for step in handler(n, &call) {
            match step {
                Step::Send(text) => {
                    if stream.write_all(text.as_bytes()).await.is_err() {
                        return;
                    }
                }
                Step::Wait(ms) => sleep(Duration::from_millis(ms)).await,
                Step::Hold(flag) => until("end of hold", || flag.load(Ordering::SeqCst)).await,
                Step::Silence => {
                    let mut rest = [0; 64];
                    while stream.read(&mut rest).await.is_ok_and(|n| n > 0) {}
                    return;
                }
                Step::Close => return,
            }
        }
    }
}

async fn read_call(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<Call> {
    loop {
        if let Some(end) = buffer.windows(4).position(|w| w == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
            let mut lines = head.lines();
            let mut first = lines.next()?.split(' ');
            let mut call = Call {
                method: first.next()?.to_owned(),
                target: first.next()?.to_owned(),
                ..Call::default()
            };
            for line in lines {
                let (name, value) = line.split_once(": ")?;
                call.headers.insert(name.to_lowercase(), value.to_owned());
            }
            let length: usize = call.header("content-length").parse().unwrap_or(0);
            let total = end + 4 + length;
            if buffer.len() >= total {
                call.body = String::from_utf8_lossy(&buffer[end + 4..total]).into_owned();
                buffer.drain(..total);
                return Some(call);
            }
        }
        if stream.read_buf(buffer).await.ok()? == 0 {
            return None;
        }
    }
}

pub fn response(status: u16, headers: &str, body: &str) -> Step {
    let length = body.len();
    Step::Send(format!(
        "HTTP/1.1 {status} X\r\nContent-Length: {length}\r\n{headers}\r\n{body}"
    ))
}

pub fn sse_head() -> Step {
    let head =
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
    Step::Send(head.to_owned())
}

pub fn http_chunk(text: &str) -> Step {
    Step::Send(format!("{:x}\r\n{text}\r\n", text.len()))
}

/// Token `index` of `total`, as an engine sends it in response to `call`.
pub fn token(call: &Call, index: u64, total: u64) -> Step {
    let reason = (index + 1 == total).then_some("stop");
    http_chunk(&format!(
        "data: {}\n\n",
        json!({ "id": call.header("x-request-id"), "token_index": index,
            "choices": [{ "index": 0, "delta": { "content": format!("t{index} ") },
                "finish_reason": reason }] })
    ))
}

pub fn done() -> [Step; 2] {
    [
        http_chunk("data: [DONE]\n\n"),
        Step::Send("0\r\n\r\n".to_owned()),
    ]
}

/// A complete stream of tokens, starting with the token at which the call resumes.
pub fn stream(call: &Call, total: u64) -> Vec<Step> {
    let from = call.header("x-resume-from").parse().unwrap_or(0);
    let tokens = (from..total).map(|i| token(call, i, total));
    [sse_head()]
        .into_iter()
        .chain(tokens)
        .chain(done())
        .collect()
}

pub fn status_of(waiting: u64, incarnation: u64) -> Vec<Step> {
    let report = json!({ "engine": "e", "model": "m", "version": "v1", "role": "mixed",
        "state": "ready", "fence": 0, "last_order": "", "running": 1, "waiting": waiting,
        "prefill_backlog_tokens": 0, "decode_backlog_tokens": 0, "age_ms": 0, "incarnation": incarnation });
    vec![response(200, "", &report.to_string())]
}

/// An engine that responds to status and cancel calls, and to chat requests as `chat` defines.
pub async fn engine(chat: impl Fn(usize, &Call) -> Vec<Step> + Send + Sync + 'static) -> Fake {
    Fake::spawn(
        move |n, call| match (call.method.as_str(), call.target.as_str()) {
            ("GET", "/v1/status") => status_of(0, 1),
            ("DELETE", _) => vec![response(200, "", "{}")],
            ("POST", "/v1/chat/completions") => chat(n, call),
            _ => vec![response(404, "", "")],
        },
    )
    .await
}

/// A response of a plain service that carries the call's id.
pub fn plain(call: &Call, status: u16, body: &str) -> Vec<Step> {
    let id = format!("X-Request-Id: {}\r\n", call.header("x-request-id"));
    vec![response(status, &id, body)]
}

/// A fake of the object API with its state.
pub struct FakeStore {
    pub fake: Fake,
    pub state: Arc<StoreState>,
}

#[derive(Default)]
pub struct StoreState {
    objects: Mutex<BTreeMap<String, (u64, Value)>>,
    revision: AtomicU64,
    /// Calls get no response and writes have no effect.
    pub is_down: AtomicBool,
    /// Writes take effect but get no response.
    pub loses_responses: AtomicBool,
    /// Watches from before this revision get the status 410.
    pub expired_before: AtomicU64,
}

impl StoreState {
    pub fn put(&self, key: &str, value: Value) -> u64 {
        let version = self.revision.fetch_add(1, Ordering::SeqCst) + 1;
        let mut objects = self.objects.lock().unwrap();
        objects.insert(key.to_owned(), (version, value));
        version
    }

    /// Makes `host`, which does not respond, the host of all claims.
    pub fn assign_claims_to_lost_host(&self, host: &str) {
        let mut objects = self.objects.lock().unwrap();
        let revision = self.revision.fetch_add(1, Ordering::SeqCst) + 1;
        let slots = objects
            .iter_mut()
            .filter(|(key, _)| key.starts_with("claim/"));
        for (_, (version, slot)) in slots {
            *version = revision;
            for claim in slot["claims"].as_object_mut().unwrap().values_mut() {
                claim["state"] = json!({ "claimed": { "host": host } });
            }
        }
    }

    pub fn remove(&self, key: &str) {
        self.revision.fetch_add(1, Ordering::SeqCst);
        self.objects.lock().unwrap().remove(key);
    }

    /// Keys and values of the objects whose keys start with `prefix`.
    pub fn values(&self, prefix: &str) -> Vec<(String, Value)> {
        let objects = self.objects.lock().unwrap();
        let matching = objects.iter().filter(|(key, _)| key.starts_with(prefix));
        matching
            .map(|(key, (_, value))| (key.clone(), value.clone()))
            .collect()
    }

    fn changes(&self, prefix: &str, after: u64) -> Value {
        let revision = self.revision.load(Ordering::SeqCst);
        let objects = self.objects.lock().unwrap();
        let objects: Vec<Value> = objects
            .iter()
            .filter(|(key, (version, _))| key.starts_with(prefix) && *version > after)
            .map(|(key, (version, value))| json!({"key": key, "version": version, "value": value}))
            .collect();
        json!({ "revision": revision, "objects": objects, "deleted": [] })
    }

    fn handle(&self, call: &Call) -> Vec<Step> {
        if self.is_down.load(Ordering::SeqCst) {
            return vec![Step::Close];
        }
        let (path, query) = call.target.split_once('?').unwrap_or((&call.target, ""));
        let parameter = |name: &str| {
            let mut pairs = query.split('&').filter_map(|p| p.split_once('='));
            pairs.find(|(n, _)| *n == name).map_or("", |(_, v)| v)
        };
        let json = |status, value: Value| response(status, "", &value.to_string());
        if path == "/v1/watch" {
            let after = parameter("after").parse().unwrap();
            if after < self.expired_before.load(Ordering::SeqCst) {
                return vec![response(410, "", "")];
            }
            let wait = Step::Wait(10);
            return vec![wait, json(200, self.changes(parameter("prefix"), after))];
        }
        let Some(key) = path.strip_prefix("/v1/objects/") else {
            return vec![json(200, self.changes(parameter("prefix"), 0))];
        };
        let current = self.objects.lock().unwrap().get(key).cloned();
        if call.method == "GET" {
            return vec![match current {
                None => response(404, "", ""),
                Some((version, value)) => {
                    json(200, json!({"key": key, "version": version, "value": value}))
                }
            }];
        }
        let version = current.map_or(0, |(version, _)| version);
        if call.header("if-match") != version.to_string() {
            return vec![json(409, json!({ "version": version }))];
        }
        let version = self.put(key, serde_json::from_str(&call.body).unwrap());
        if self.loses_responses.load(Ordering::SeqCst) {
            return vec![Step::Close];
        }
        vec![json(200, json!({ "version": version }))]
    }
}

impl FakeStore {
    pub async fn spawn() -> Self {
        let state = Arc::<StoreState>::default();
        let handled = Arc::clone(&state);
        let fake = Fake::spawn(move |_, call| handled.handle(call)).await;
        Self { fake, state }
    }

    /// A store with a catalogue of the entries `ask`, `batch`, `orders` and `stock` for these
    /// backends.
    pub async fn with_catalogue(engines: &[&Fake], servers: &[&Fake]) -> Self {
        Self::with_catalogue_and_target(engines, servers, 200).await
    }

    /// As `with_catalogue`, with another target for the first token of each entry but `batch`.
    pub async fn with_catalogue_and_target(
        engines: &[&Fake],
        servers: &[&Fake],
        first_token_ms: u64,
    ) -> Self {
        let store = Self::spawn().await;
        let entry = |service: &str, class: &str, prefix: &str, method: &str| {
            json!({ "owner": "o", "service": service, "class": class, "rank": "urgent",
                "first_token_ms": first_token_ms, "between_tokens_ms": 100, "deadline_ms": 10_000,
                "requests_per_s": 100_000, "concurrent": 100_000, "tokens_per_s": 100_000_000,
                "path_prefix": prefix, "methods": [method] })
        };
        store.state.put("owner/o", json!({ "organisation": "x" }));
        let model = json!({ "kind": "model", "model": "m", "version": "v1" });
        store.state.put("service/llm", model);
        store.state.put("service/desk", json!({ "kind": "plain" }));
        let objects = [
            ("entry/ask", entry("llm", "chat", "", "")),
            ("entry/orders", entry("desk", "order", "/orders", "POST")),
            ("entry/stock", entry("desk", "read", "/stock", "GET")),
        ];
        let mut batch = entry("llm", "chat", "", "");
        batch["rank"] = json!("background");
        batch["first_token_ms"] = json!(9_000);
        store.state.put("entry/batch", batch);
        for (key, value) in objects {
            store.state.put(key, value);
        }
        for (i, engine) in engines.iter().enumerate() {
            let value = json!({ "service": "llm", "address": engine.address, "zone": "z",
                "checks_fence": true });
            store.state.put(&format!("engine/e{i}"), value);
        }
        for (i, server) in servers.iter().enumerate() {
            let value = json!({ "service": "desk", "address": server.address, "zone": "z" });
            store.state.put(&format!("server/s{i}"), value);
        }
        store
    }

    /// A daemon that has received this store's catalogue. `limits` are lines of the settings
    /// section of that name.
    pub async fn daemon(&self, limits: &str) -> Running {
        self.daemon_with(limits, |_| {}).await
    }

    /// As `daemon`, with other time limits.
    pub async fn daemon_with(&self, limits: &str, change: impl FnOnce(&mut Timing)) -> Running {
        let daemon = self.start(limits, "entry-1", change).await;
        let host = Arc::clone(&daemon.host);
        until("the catalogue", || host.is_joined()).await;
        daemon
    }

    /// Settings of a fleet of `count` entry hosts, none of which is started.
    pub fn fleet(&self, count: usize) -> String {
        let section = |i: usize| {
            let ports = ["callers", "operators", "peers", "control"];
            let ports = ports.map(|port| format!("{port} = {}\n", unique_address()));
            format!("[host entry-{i}]\nzone = z\n{}", ports.concat())
        };
        let hosts: String = (1..=count).map(section).collect();
        format!(
            "[fleet]\ncustomer = c\nregion = r\n[store]\naddress = {}\n\
             [policy]\nbalancer_lag_ms = 0\n{hosts}",
            self.fake.address
        )
    }

    async fn start(&self, limits: &str, name: &str, change: impl FnOnce(&mut Timing)) -> Running {
        let text = format!("{}[limits]\n{limits}\n", self.fleet(1));
        start(&text, name, change).await
    }
}

/// An address that no other test uses: the process id determines the IP address, a counter the
/// port.
fn unique_address() -> SocketAddr {
    static NEXT_PORT: AtomicU16 = AtomicU16::new(20_000);
    let [_, b, c, d] = std::process::id().to_be_bytes();
    let port = NEXT_PORT.fetch_add(1, Ordering::SeqCst);
    SocketAddr::from(([127, 100 + b % 100, c, d], port))
}

/// Starts the host called `name` of the fleet with these settings.
pub async fn start(text: &str, name: &str, change: impl FnOnce(&mut Timing)) -> Running {
    let settings = Settings::parse("test", text).unwrap();
    let mut timing = Timing {
        connect_ms: 500,
        header_slack_ms: 100,
        chunk_ms: 300,
        probe_ms: 500,
        status_poll_ms: 50,
        watch_ms: 100,
        watch_rearm_ms: 1,
        store_retry_ms: 20,
        start_spread_ms: 0,
        ..Timing::default()
    };
    change(&mut timing);
    let stop = StopFlag::register().unwrap();
    let daemon = Daemon::spawn(&settings, name, timing, stop).await.unwrap();
    Running {
        address: daemon.callers(),
        host: Arc::clone(&daemon.host),
        task: tokio::spawn(daemon.run()),
    }
}

pub struct Running {
    pub address: SocketAddr,
    pub host: Arc<yucca_entry::host::Host>,
    pub task: tokio::task::JoinHandle<()>,
}

#[derive(Debug)]
pub struct Reply {
    pub status: u16,
    pub headers: HeaderMap,
    pub body: String,
}

impl Reply {
    /// Code and outcome of a problem object; 0 and an empty string for other responses.
    pub fn problem(&self) -> (u64, String) {
        let data = self.body.rsplit("data: ").next().unwrap_or_default();
        let value: Value = serde_json::from_str(data.trim()).unwrap_or_default();
        let outcome = value["outcome"].as_str().unwrap_or_default().to_owned();
        (value["code"].as_u64().unwrap_or(0), outcome)
    }
}

impl Running {
    pub async fn call(
        &self,
        method: &str,
        target: &str,
        headers: &[(&str, &str)],
        body: impl Into<String>,
    ) -> Reply {
        let exchange = async {
            let stream = TcpStream::connect(self.address).await.unwrap();
            let (mut sender, connection) =
                hyper::client::conn::http1::handshake(TokioIo::new(stream))
                    .await
                    .unwrap();
            tokio::spawn(connection);
            let mut request = Request::builder()
                .method(method)
                .uri(target)
                .header("host", "x");
            for (name, value) in headers {
                request = request.header(*name, *value);
            }
            let body = Full::new(Bytes::from(body.into()));
            let response = sender
                .send_request(request.body(body).unwrap())
                .await
                .unwrap();
            let (parts, body) = response.into_parts();
            let body = body.collect().await.unwrap().to_bytes();
            Reply {
                status: parts.status.as_u16(),
                headers: parts.headers,
                body: String::from_utf8_lossy(&body).into_owned(),
            }
        };
        timeout(LIMIT, exchange).await.unwrap()
    }

    pub async fn chat(&self, is_stream: bool) -> Reply {
        let body = chat_body("ask", is_stream);
        self.call("POST", "/v1/chat/completions", &[], body).await
    }

    pub async fn order(&self, key: &str, body: &str) -> Reply {
        let headers = [("idempotency-key", key)];
        self.call("POST", "/orders", &headers, body).await
    }
}

pub fn chat_body(entry: &str, is_stream: bool) -> String {
    json!({ "model": entry, "messages": [{ "role": "user", "content": "how long" }],
        "max_tokens": 8, "stream": is_stream })
    .to_string()
}

/// Waits until `condition` holds; panics with `no {what}` after a time limit that only a fault
/// exceeds.
pub async fn until(what: &str, mut condition: impl FnMut() -> bool) {
    let wait = async {
        while !condition() {
            sleep(Duration::from_millis(2)).await;
        }
    };
    timeout(LIMIT, wait)
        .await
        .unwrap_or_else(|_| panic!("no {what}"));
}

/// Text of the tokens `0..total`.
pub fn text(total: u64) -> String {
    (0..total).map(|i| format!("t{i} ")).collect()
}

/// Concatenated contents of a stream's chunks.
pub fn streamed_text(body: &str) -> String {
    body.lines()
        .filter_map(|line| line.strip_prefix("data: {"))
        .filter_map(|rest| serde_json::from_str::<Value>(&format!("{{{rest}")).ok())
        .filter_map(|v| Some(v["choices"][0]["delta"]["content"].as_str()?.to_owned()))
        .collect()
}
