//! Hosts with a store and engines of several software versions, whose streams callers resume.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;

use bytes::Bytes;
use http_body_util::BodyExt;
use serde_json::{Value, json};
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::{Duration, Instant};
use yucca_serve::config::{RouteKind, ServingConfig};
use yucca_serve::follow::follow_config;
use yucca_serve::host::{Deployment, Host};
use yucca_serve::peers::{outgoing_datagrams, receive};
use yucca_serve::ports::Kind;
use yucca_serve::reply::Reply;
use yucca_serve::request::Request;
use yucca_serve::serve::serve;
use yucca_serve::stream_journal;
use yucca_serve::version_record;

use super::link::Link;
use super::{
    Chunk, FakeBackends, FakeStore, Step, deployment, generation, next_draw, route, serving_host,
    spawn_common_tasks, wait_ms,
};

/// First event of each stream.
pub const FIRST: &str = "id: 1\ndata: a\n\n";
/// Its second and last event.
pub const SECOND: &str = "id: 2\ndata: b\n\n";
/// Kind of the route.
pub const RESUMABLE: RouteKind = RouteKind::Stream { is_resumable: true };
/// Time limit of the route at the start.
pub const TIMEOUT_MS: u64 = 4_000;
const DELIVERY_INTERVAL_MS: u64 = 10;
/// Pause between two requests of other callers.
const OTHERS_INTERVAL_MS: u64 = 50;

/// Returns the number of events of a reply, and whether it is complete.
pub async fn read(reply: Reply) -> (usize, bool) {
    let mut body = reply.body;
    let mut events = 0;
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            return (events, false);
        };
        let bytes = frame.into_data().map_or_else(|_| Bytes::new(), Bytes::from);
        events += bytes.windows(3).filter(|window| window == b"id:").count();
    }
    (events, true)
}

/// Returns the behaviour of an engine that breaks a stream off after its first event.
pub fn interrupted() -> Step {
    Step::Respond(200, vec![Chunk::Bytes(0, FIRST), Chunk::Broken(5)])
}

/// A host of a [`Fleet`].
pub struct Member {
    /// The host.
    pub host: Rc<Host<FakeBackends>>,
    address: String,
    /// Its connection to the store.
    pub link: Rc<Link>,
    /// Whether it is cut off from the other hosts.
    pub is_isolated: Cell<bool>,
    tasks: Vec<JoinHandle<()>>,
}

impl Member {
    fn spawn(store: &Rc<FakeStore>, number: usize, incarnation: u64) -> Rc<Self> {
        let own = Deployment {
            name: format!("entry-{number}"),
            ..deployment()
        };
        let address = format!("10.9.{}.{}:7000", number / 250, number % 250 + 1);
        let seed = number as u64 + 1_000 * incarnation;
        let host = Rc::new(Host::new(own, FakeBackends::default(), seed));
        let link = Link::new(store);
        let config = serving_host(route(RESUMABLE, 1)).config();
        let config = config.expect("a configuration");
        *link.config_template.borrow_mut() = Some(ServingConfig::clone(&config));
        let (lease, mut tasks) = spawn_common_tasks(&host, &link, &address);
        tasks.push(spawn_local(follow_config(
            Rc::clone(&host),
            Rc::clone(&link),
            Rc::clone(&host.relay.store_health),
        )));
        tasks.push(spawn_local(stream_journal::keep(
            Rc::clone(&host),
            Rc::clone(&link),
        )));
        tasks.push(spawn_local(version_record::keep(
            Rc::clone(&host),
            Rc::clone(&link),
            lease,
        )));
        Rc::new(Self {
            host,
            address,
            link,
            is_isolated: Cell::new(false),
            tasks,
        })
    }

    /// Ends the host's tasks.
    pub fn kill(&self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}

/// A stream that a caller has received the first event of.
#[derive(Debug, Clone)]
pub struct Begun {
    /// Id of the try that brought its first event.
    pub id: String,
    /// Version of the engine that made that event.
    pub version: String,
}

/// Hosts that exchange datagrams, of which the share `loss` is lost, with a store and engines.
pub struct Fleet {
    /// The store.
    pub store: Rc<FakeStore>,
    /// The hosts.
    pub members: RefCell<Vec<Rc<Member>>>,
    /// Version of each engine.
    engines: RefCell<HashMap<String, String>>,
    loss: f64,
    /// Length of the prompts in tokens.
    pub prompt_tokens: Cell<u32>,
    /// Time that callers wait, as they say; `None` if they do not say it.
    pub deadline_ms: Cell<Option<u64>>,
    config_version: Cell<u64>,
    draws: Cell<u64>,
    tries: Cell<u64>,
    incarnations: Cell<u64>,
}

impl Fleet {
    /// Starts hosts and four engines of version 1; `loss` is the share of the hosts' datagrams that is lost.
    pub async fn spawn(hosts: usize, loss: f64) -> Rc<Self> {
        let store = FakeStore::new();
        store.latency_ms.set(4);
        let fleet = Rc::new(Self {
            store,
            members: RefCell::default(),
            engines: RefCell::default(),
            loss,
            prompt_tokens: Cell::new(300),
            deadline_ms: Cell::new(Some(TIMEOUT_MS)),
            config_version: Cell::new(0),
            draws: Cell::new(11),
            tries: Cell::new(0),
            incarnations: Cell::new(0),
        });
        fleet.put_config(&json!({ "timeout_ms": TIMEOUT_MS }));
        for number in 1..=4 {
            fleet.put_engine(number, "v1", "ready");
        }
        for number in 0..hosts {
            let member = Member::spawn(&fleet.store, number, 0);
            fleet.members.borrow_mut().push(member);
        }
        spawn_local(Rc::clone(&fleet).run());
        wait_ms(10_000).await;
        fleet
    }

    /// Writes a newer configuration, which differs from the first one by the time limit `timeout_ms` of its
    /// route, or by having no route if that is missing.
    pub fn put_config(&self, content: &Value) {
        self.config_version.set(self.config_version.get() + 1);
        let mut content = content.clone();
        content["version"] = self.config_version.get().into();
        self.store.put(Kind::Config, "main", Some(content));
    }

    /// Writes the entry of an engine.
    pub fn put_engine(&self, number: u64, version: &str, state: &str) {
        let id = format!("i-{number}");
        self.engines
            .borrow_mut()
            .insert(id.clone(), version.to_owned());
        let value = json!({
            "service": "model",
            "address": format!("10.0.0.{number}:80"),
            "draining": state == "draining",
            "started": 1,
            "software": version,
        });
        self.store.put(Kind::BackEnds, &id, Some(value));
    }

    /// Engines 5 to 8, of version 2, serve beside 1 to 4.
    pub async fn add_second_version(&self) {
        for number in 5..=8 {
            self.put_engine(number, "v2", "ready");
        }
        wait_ms(1_000).await;
    }

    /// Engines 1 to 4 leave.
    pub async fn remove_first_version(&self) {
        for number in 1..=4 {
            self.put_engine(number, "v1", "draining");
        }
        wait_ms(2_000).await;
        for number in 1..=4 {
            self.store.put(Kind::BackEnds, &format!("i-{number}"), None);
        }
        wait_ms(300).await;
    }

    /// Kills a host; it starts again at once.
    pub fn restart(&self, at: usize) {
        self.incarnations.set(self.incarnations.get() + 1);
        let member = Member::spawn(&self.store, at, self.incarnations.get());
        let killed = std::mem::replace(&mut self.members.borrow_mut()[at], member);
        killed.kill();
    }

    /// Kills all hosts at once; they come back after a second.
    pub async fn restart_all(&self) {
        let killed = std::mem::take(&mut *self.members.borrow_mut());
        for member in &killed {
            member.kill();
        }
        wait_ms(1_000).await;
        self.incarnations.set(self.incarnations.get() + 1);
        for number in 0..killed.len() {
            let member = Member::spawn(&self.store, number, self.incarnations.get());
            self.members.borrow_mut().push(member);
        }
        wait_ms(200).await;
    }

    /// Delivers datagrams for as long as the test runs.
    async fn run(self: Rc<Self>) {
        loop {
            wait_ms(DELIVERY_INTERVAL_MS).await;
            let members = self.members.borrow().clone();
            for sender in &members {
                for datagram in outgoing_datagrams(&sender.host) {
                    for to in &datagram.to {
                        let receiver = members.iter().find(|m| m.address == to.to_string());
                        let receiver = receiver.filter(|receiver| {
                            receiver.is_isolated.get() == sender.is_isolated.get()
                        });
                        let is_lost = (self.draw(1_000) as f64) < self.loss * 1_000.0;
                        if let Some(receiver) = receiver.filter(|_| !is_lost) {
                            receive(&receiver.host, &datagram.bytes);
                        }
                    }
                }
            }
        }
    }

    /// Returns a pseudo-random number below `below`.
    pub fn draw(&self, below: u64) -> u64 {
        let next = next_draw(self.draws.get());
        self.draws.set(next);
        (next >> 33) % below
    }

    /// Returns a generation with an id and a short prompt of its own, so that neither a cache nor the load
    /// decides where it goes.
    pub fn generation(&self) -> Request {
        self.tries.set(self.tries.get() + 1);
        let mut request = Request {
            id: format!("t{}", self.tries.get()),
            deadline_ms: self.deadline_ms.get(),
            ..generation()
        };
        let prompt = request.prompt.as_mut().expect("a prompt");
        prompt.tokens = self.prompt_tokens.get();
        for part in &mut prompt.parts {
            part.id = self.draw(u64::MAX >> 34);
            part.tokens = self.prompt_tokens.get() / 2;
        }
        request
    }

    /// Sends a request through a host, where all engines behave as `step`. Returns the reply and the
    /// engine that got it.
    pub async fn send(&self, at: usize, request: Request, step: Step) -> (Reply, Option<String>) {
        let member = Rc::clone(&self.members.borrow()[at]);
        let before = member.host.backends.attempts().len();
        let ids: Vec<String> = self.engines.borrow().keys().cloned().collect();
        member.host.backends.script_only(&ids, &step);
        let reply = serve(&member.host, request).await;
        let attempts = member.host.backends.attempts();
        (reply, attempts.get(before).map(|call| call.id.clone()))
    }

    /// Begins a stream that breaks after its first event.
    pub async fn begin(&self, at: usize) -> Begun {
        let request = self.generation();
        let id = request.id.clone();
        let (reply, engine) = self.send(at, request, interrupted()).await;
        assert_eq!(read(reply).await, (1, false));
        let engine = engine.expect("an engine");
        let version = self.engines.borrow()[&engine].clone();
        Begun { id, version }
    }

    /// Sends requests for streams at a steady rate for `ms`, whatever comes of them.
    pub async fn send_others(&self, ms: u64) {
        let until = Instant::now() + Duration::from_millis(ms);
        while Instant::now() < until {
            let request = self.generation();
            let (reply, _) = self.send(self.random_host(), request, interrupted()).await;
            let _ = read(reply).await;
            wait_ms(OTHERS_INTERVAL_MS).await;
        }
    }

    /// Resumes a stream, as its caller does. Returns the version of the engine at which it goes on; if it
    /// is refused, that must be at once and true.
    pub async fn resume(&self, at: usize, begun: &Begun) -> Option<String> {
        let request = Request {
            resume_after: Some(1),
            resumed_id: Some(begun.id.clone()),
            ..self.generation()
        };
        let rest = Step::Respond(200, vec![Chunk::Bytes(0, SECOND)]);
        let begun = Instant::now();
        let (reply, engine) = self.send(at, request, rest).await;
        let Some(engine) = engine else {
            assert_eq!(reply.head.status, 503);
            let elapsed_ms = begun.elapsed().as_millis();
            assert!(elapsed_ms <= 200, "refused after {elapsed_ms} ms");
            return None;
        };
        assert_eq!(read(reply).await, (1, true));
        Some(self.engines.borrow()[&engine].clone())
    }

    /// Returns the index of a host at random.
    pub fn random_host(&self) -> usize {
        let hosts = self.members.borrow().len() as u64;
        self.draw(hosts) as usize
    }

    /// Begins `count` streams at random hosts.
    pub async fn begin_some(&self, count: usize) -> Vec<Begun> {
        let mut begun = Vec::new();
        for _ in 0..count {
            begun.push(self.begin(self.random_host()).await);
        }
        begun
    }

    /// Resumes streams at random hosts. Returns how many go on; none may do so at another version.
    pub async fn resume_all(&self, streams: &[Begun], case: &str) -> usize {
        let mut resumed = 0;
        for begun in streams {
            let version = self.resume(self.random_host(), begun).await;
            if let Some(version) = version {
                assert_eq!(version, begun.version, "{case}: {begun:?}");
                resumed += 1;
            }
        }
        resumed
    }
}
