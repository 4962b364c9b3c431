//! Several hosts that exchange datagrams and share engines, in virtual time.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;
use http_body_util::BodyExt;
use serde_json::json;
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::Instant;
use yucca_io::connections::BackendFault;
use yucca_io::tunnel::Gate;
use yucca_serve::config::RouteKind;
use yucca_serve::follow::StoreHealth;
use yucca_serve::host::{Deployment, Host};
use yucca_serve::peers::{follow_hosts, outgoing_datagrams, receive};
use yucca_serve::ports::{Connectivity, Kind, Target};
use yucca_serve::proxies::{self, TunnelGate};
use yucca_serve::request::{Prompt, PromptPart, Request};
use yucca_serve::serve::serve;
use yuccacove::prompt_placement::Phase;

use super::{EngineFleet, FakeBackends, FakeStore, deployment, entry, next_draw, wait_ms};

/// Number of engines of a site.
pub const ENGINES: u8 = 12;
/// Number of servers of a site with a plain service.
pub const SERVERS: u8 = 4;
const TICK_MS: u64 = 10;

/// A host of a [`Site`].
#[derive(Debug)]
pub struct Member {
    /// The host.
    pub host: Rc<Host<FakeBackends>>,
    /// Its place in the site.
    pub number: usize,
    address: SocketAddr,
    /// Whether it is cut off from the other hosts.
    pub is_isolated: Cell<bool>,
    /// Tasks of the host.
    tasks: Vec<JoinHandle<()>>,
}

impl Member {
    /// Returns what a tunnel of another host to a backend meets here; `None` if it is taken and reaches it.
    fn take_tunnel(&self, gate: &TunnelGate<FakeBackends>, to: &Target) -> Option<Connectivity> {
        let backends = &self.host.backends;
        if self.is_isolated.get() || gate.permit(to.address).is_err() {
            return Some(Connectivity::Unknown);
        }
        let is_cut = backends.cut_off.borrow().contains(&*to.id);
        let (fault, connectivity) = if backends.cut_off_hangs.get() {
            (BackendFault::Silent, Connectivity::Silent)
        } else {
            (BackendFault::Refused, Connectivity::Refused)
        };
        gate.record(to.address, if is_cut { Err(fault) } else { Ok(()) });
        is_cut.then_some(connectivity)
    }

    /// Cuts the host off from all backends, or ends that.
    pub fn cut_off_from(&self, backends: u8, is_cut: bool) {
        let ids = (0..backends).map(engine_id).filter(|_| is_cut);
        *self.host.backends.cut_off.borrow_mut() = ids.collect();
    }
}

/// Hosts that exchange datagrams, of which the share `loss` is lost, and the engines that they
/// share.
#[derive(Debug)]
pub struct Site {
    /// The engines.
    pub fleet: Rc<EngineFleet>,
    store: Rc<FakeStore>,
    /// The hosts.
    pub members: RefCell<Vec<Rc<Member>>>,
    loss: f64,
    kind: RouteKind,
    /// Number of availability zones.
    zones: usize,
    /// Number of engines, or of servers of a plain service.
    backends: u8,
    draws: Cell<u64>,
    /// Number of incarnations of each engine.
    incarnations: RefCell<Vec<u64>>,
    prefill_engines: Cell<u8>,
    /// Length of the prompts, in tokens.
    prompt_tokens: Cell<u32>,
    /// Number of different second parts of the requests of [`Site::send_sound`].
    pub subjects: Cell<u64>,
    /// Number of generations that a host refused because they crash engines.
    pub refused_as_cause: Cell<u32>,
    /// Time of each request of [`Site::send_sound`], and whether its first attempt was served.
    pub served: RefCell<Vec<(Instant, bool)>>,
}

impl Site {
    /// Starts hosts and engines.
    pub fn spawn(hosts: usize, loss: f64) -> Rc<Self> {
        let kind = RouteKind::Stream { is_resumable: true };
        Self::spawn_kind(hosts, loss, kind, ENGINES)
    }

    /// Starts hosts and engines, for generations that may run at most once.
    pub fn spawn_at_most_once(hosts: usize, loss: f64) -> Rc<Self> {
        let kind = RouteKind::Stream {
            is_resumable: false,
        };
        Self::spawn_kind(hosts, loss, kind, ENGINES)
    }

    /// Starts hosts and the servers of a plain service.
    pub fn spawn_plain(hosts: usize, loss: f64, kind: RouteKind) -> Rc<Self> {
        Self::spawn_kind(hosts, loss, kind, SERVERS)
    }

    /// Starts hosts and the only server of a plain service, beside engines of another service that get no requests.
    pub fn spawn_lone_server(hosts: usize, kind: RouteKind) -> Rc<Self> {
        let site = Self::spawn_kind(hosts, 0.0, kind, 1);
        for member in site.members.borrow().iter() {
            let host = &member.host;
            for engine in 1..ENGINES {
                let entry = entry("model", engine, Phase::Decode);
                let mut directory = host.directory.borrow_mut();
                directory.apply_entry(&engine_id(engine), 1, entry, host.now_ms());
            }
        }
        site
    }

    /// Starts hosts of several availability zones, in turn, and the servers of a plain service.
    pub fn spawn_zones(hosts: usize, zones: usize, kind: RouteKind) -> Rc<Self> {
        Self::spawn_all(hosts, zones, 0.0, kind, SERVERS)
    }

    fn spawn_kind(hosts: usize, loss: f64, kind: RouteKind, backends: u8) -> Rc<Self> {
        Self::spawn_all(hosts, 1, loss, kind, backends)
    }

    fn spawn_all(hosts: usize, zones: usize, loss: f64, kind: RouteKind, backends: u8) -> Rc<Self> {
        let store = FakeStore::new();
        for number in 0..hosts {
            let value = json!({ "address": address(number), "zone": zone(number, zones) });
            store.put(Kind::Hosts, &format!("host.entry-{number}"), Some(value));
        }
        let site = Rc::new(Self {
            fleet: EngineFleet::new(),
            store,
            members: RefCell::default(),
            loss,
            kind,
            zones,
            backends,
            draws: Cell::new(1),
            incarnations: RefCell::new(vec![1; usize::from(backends)]),
            prefill_engines: Cell::default(),
            prompt_tokens: Cell::new(600),
            subjects: Cell::new(8),
            refused_as_cause: Cell::default(),
            served: RefCell::default(),
        });
        for number in 0..hosts {
            let member = site.start(number);
            site.members.borrow_mut().push(member);
        }
        spawn_local(Rc::clone(&site).run());
        site
    }

    fn start(&self, number: usize) -> Rc<Member> {
        let config = super::serving_host(super::route(self.kind, 2)).config();
        let own = Deployment {
            name: format!("entry-{number}"),
            zone: zone(number, self.zones),
            ..deployment()
        };
        let seed = self.draw(u64::MAX);
        let host = Rc::new(Host::new(own, FakeBackends::default(), seed));
        *host.backends.fleet.borrow_mut() = Some(Rc::clone(&self.fleet));
        host.set_config((*config.expect("a configuration")).clone());
        let task = spawn_local(follow_hosts(
            Rc::clone(&host),
            Rc::clone(&self.store),
            Rc::new(StoreHealth::default()),
        ));
        let checks = spawn_local(proxies::check(Rc::clone(&host)));
        let member = Rc::new(Member {
            host,
            number,
            address: address(number).parse().expect("an address"),
            is_isolated: Cell::new(false),
            tasks: vec![task, checks],
        });
        let gate = TunnelGate(Rc::clone(&member.host));
        let taker = Rc::clone(&member);
        let rule = move |to: &Target| taker.take_tunnel(&gate, to);
        let mut gates = self.fleet.gates.borrow_mut();
        gates.insert(member.address, Rc::new(rule));
        drop(gates);
        for engine in 0..self.backends {
            self.list_engine(&member.host, engine);
        }
        member
    }

    /// Replaces a host by a new process that knows nothing.
    pub fn restart(&self, at: usize) {
        for task in &self.members.borrow()[at].tasks {
            task.abort();
        }
        let member = self.start(at);
        self.members.borrow_mut()[at] = member;
    }

    fn list_engine(&self, host: &Host<FakeBackends>, engine: u8) {
        let service = match self.kind {
            RouteKind::Stream { .. } => "model",
            RouteKind::Idempotent | RouteKind::AtMostOnce => "desk",
        };
        let phase = if engine < self.prefill_engines.get() {
            Phase::Prefill
        } else {
            Phase::Decode
        };
        let mut entry = entry(service, engine, phase);
        entry.started_ms = self.incarnations.borrow()[usize::from(engine)];
        let id = engine_id(engine);
        let revision = entry.started_ms;
        let mut directory = host.directory.borrow_mut();
        directory.apply_entry(&id, revision, entry, host.now_ms());
    }

    /// Lists the first `count` engines as prefill engines, and makes prompts long enough for a remote
    /// prefill.
    pub fn list_prefill_engines(&self, count: u8) {
        self.prefill_engines.set(count);
        self.prompt_tokens.set(8_000);
        for engine in 0..count {
            self.incarnations.borrow_mut()[usize::from(engine)] += 1;
            for member in self.members.borrow().iter() {
                self.list_engine(&member.host, engine);
            }
        }
    }

    /// Delivers datagrams and lists restarted engines, for as long as the test runs.
    async fn run(self: Rc<Self>) {
        let mut was_down = vec![false; usize::from(self.backends)];
        loop {
            wait_ms(TICK_MS).await;
            for engine in 0..self.backends {
                let is_down = self.fleet.is_down(&engine_id(engine));
                if std::mem::replace(&mut was_down[usize::from(engine)], is_down) && !is_down {
                    self.incarnations.borrow_mut()[usize::from(engine)] += 1;
                    for member in self.members.borrow().iter() {
                        self.list_engine(&member.host, engine);
                    }
                }
            }
            let members = self.members.borrow().clone();
            for sender in &members {
                for datagram in outgoing_datagrams(&sender.host) {
                    for to in &datagram.to {
                        let receiver = members.iter().find(|member| member.address == *to);
                        let Some(receiver) = receiver else {
                            continue;
                        };
                        let is_cut = sender.is_isolated.get() || receiver.is_isolated.get();
                        if !is_cut && !self.is_lost() {
                            receive(&receiver.host, &datagram.bytes);
                        }
                    }
                }
            }
        }
    }

    fn is_lost(&self) -> bool {
        (self.draw(1_000) as f64) < self.loss * 1_000.0
    }

    /// Returns a pseudo-random number below `below`.
    pub fn draw(&self, below: u64) -> u64 {
        let next = next_draw(self.draws.get());
        self.draws.set(next);
        (next >> 33) % below
    }

    /// Sends a request with the given parts through one host, and again through another if no
    /// complete response arrives and the status allows it. Returns the status and completeness of
    /// the first attempt.
    pub async fn call(&self, parts: Vec<u64>) -> (u16, bool) {
        self.call_with_body(parts, Bytes::new()).await
    }

    /// As [`Site::call`], with a body.
    pub async fn call_with_body(&self, parts: Vec<u64>, body: Bytes) -> (u16, bool) {
        let first = self.attempt(parts.clone(), body.clone()).await;
        let may_retry = !first.1 && first.0 != 422;
        if may_retry {
            wait_ms(5).await;
            self.attempt(parts, body).await;
        }
        first
    }

    /// Sends a request with the given parts through a random host. Returns the status, and whether
    /// the response is complete.
    async fn attempt(&self, parts: Vec<u64>, body: Bytes) -> (u16, bool) {
        let member = self.random_member();
        for engine in 0..ENGINES {
            let chunks = vec![
                super::Chunk::Bytes(3, "id: 1\ndata: a\n\n"),
                super::Chunk::Bytes(150, "id: 2\ndata: b\n\n"),
            ];
            let step = super::Step::Respond(200, chunks);
            member.host.backends.script(&engine_id(engine), [step]);
        }
        let tokens = self.prompt_tokens.get();
        let part_tokens = tokens / 3;
        let parts = parts.into_iter().map(|id| PromptPart {
            id,
            tokens: part_tokens,
        });
        let prompt = Prompt {
            model: "m".to_owned(),
            tokens,
            max_output_tokens: 20,
            parts: parts.collect(),
        };
        let request = Request {
            id: format!("r{}", self.draw(u64::MAX >> 34)),
            prompt: Some(prompt),
            body: body.into(),
            ..super::request()
        };
        let reply = serve(&member.host, request).await;
        let status = reply.head.status.as_u16();
        if status == 422 {
            self.refused_as_cause.set(self.refused_as_cause.get() + 1);
        }
        let is_complete = reply.body.collect().await.is_ok();
        (status, status == 200 && is_complete)
    }

    fn random_member(&self) -> Rc<Member> {
        let members = self.members.borrow();
        Rc::clone(&members[self.draw(members.len() as u64) as usize])
    }

    /// Sends a request with the given body to the plain service through a random host, and again
    /// through others as callers do: up to `repeats` times if the status does not say that it can
    /// not be served, and it may be repeated. Returns the last status.
    pub async fn call_plain(&self, body: String, repeats: u32) -> u16 {
        let body = Bytes::from(body);
        let mut status = 0;
        for _ in 0..=repeats {
            let member = self.random_member();
            let request = Request {
                id: format!("r{}", self.draw(u64::MAX >> 34)),
                body: body.clone().into(),
                ..super::request()
            };
            status = serve(&member.host, request).await.head.status.as_u16();
            let is_not_run = matches!(status, 429 | 503);
            let may_repeat = is_not_run || self.kind == RouteKind::Idempotent;
            if matches!(status, 200 | 422) || !may_repeat {
                break;
            }
            wait_ms(5).await;
        }
        status
    }

    /// Sends sound requests, which share their first part with the deadly ones, until the test
    /// ends.
    pub async fn send_sound(self: Rc<Self>, interval_ms: u64) {
        for own in 10_000.. {
            wait_ms(interval_ms).await;
            let site = Rc::clone(&self);
            spawn_local(async move {
                let begun = Instant::now();
                let subject = 1_000 + site.draw(site.subjects.get());
                let (_, is_served) = site.call(vec![1, subject, own]).await;
                site.served.borrow_mut().push((begun, is_served));
            });
        }
    }

    /// Share of the sound requests sent since `from` that were served at the first attempt.
    pub fn served_share(&self, from: Instant) -> f64 {
        let served = self.served.borrow();
        let since: Vec<bool> = served
            .iter()
            .filter(|(begun, _)| *begun >= from)
            .map(|(_, is_served)| *is_served)
            .collect();
        assert!(since.len() >= 20, "{} requests", since.len());
        since.iter().filter(|is_served| **is_served).count() as f64 / since.len() as f64
    }
}

fn address(number: usize) -> String {
    format!("10.9.{}.{}:7000", number / 250, number % 250 + 1)
}

/// Availability zone of a host. The backends are in zone "a".
fn zone(number: usize, zones: usize) -> String {
    ["a", "b", "c"][number % zones].to_owned()
}

/// Id of an engine.
pub fn engine_id(engine: u8) -> String {
    format!("gen-{engine}")
}
