//! Hosts that follow the store and relay its changes to each other, in virtual time.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use serde_json::json;
use tokio::task::{JoinHandle, spawn_local};
use yucca_serve::follow::{follow_backends, follow_config, probe_store};
use yucca_serve::hash::hash_of;
use yucca_serve::host::{Deployment, Host};
use yucca_serve::ports::Kind;
use yucca_serve::relay::StoreUpdate;

use super::link::Link;
use super::{FakeBackends, FakeStore, StoreMode, deployment, wait_ms};

/// Interval at which datagrams are delivered.
const DELIVERY_INTERVAL_MS: u64 = 10;

/// A host of a [`Group`].
pub struct Member {
    /// The host.
    pub host: Rc<Host<FakeBackends>>,
    /// Its connection to the store.
    pub link: Rc<Link>,
    tasks: Vec<JoinHandle<()>>,
    is_dead: Cell<bool>,
    /// Whether it is disconnected from the other hosts.
    pub is_isolated: Cell<bool>,
    /// Time for which its datagrams wait on its link.
    pub link_delay_ms: Cell<u64>,
}

impl Member {
    fn spawn(store: &Rc<FakeStore>, number: usize) -> Self {
        let own = Deployment {
            name: format!("entry-{number}"),
            ..deployment()
        };
        let host = Rc::new(Host::new(own, FakeBackends::default(), number as u64));
        let link = Link::new(store);
        let store_health = Rc::clone(&host.relay.store_health);
        let tasks = vec![
            spawn_local(follow_config(
                Rc::clone(&host),
                Rc::clone(&link),
                Rc::clone(&store_health),
            )),
            spawn_local(follow_backends(
                Rc::clone(&host),
                Rc::clone(&link),
                Rc::clone(&store_health),
            )),
            spawn_local(probe_store(
                store_health,
                Rc::clone(&link),
                Kind::Leases,
                "none",
                |_| {},
            )),
        ];
        Self {
            host,
            link,
            tasks,
            is_dead: Cell::new(false),
            is_isolated: Cell::new(false),
            link_delay_ms: Cell::new(0),
        }
    }

    /// Ends the host's tasks.
    pub fn kill(&self) {
        self.is_dead.set(true);
        for task in &self.tasks {
            task.abort();
        }
    }

    /// Whether the host has applied that number of backends and that version.
    pub fn knows(&self, backends: usize, version: u64) -> bool {
        let directory = self.host.directory.borrow();
        let usable = directory.usable("desk", self.host.now_ms()).len();
        usable == backends && self.host.config().is_some_and(|c| c.version == version)
    }
}

/// Hosts that exchange datagrams, of which the share `loss` is lost.
pub struct Group {
    /// The store.
    pub store: Rc<FakeStore>,
    /// The hosts.
    pub members: Rc<Vec<Member>>,
    /// Number of backends that the store lists.
    pub backends: Cell<usize>,
    /// Version of its configuration.
    pub version: Cell<u64>,
    /// Size of all datagrams sent, one for each recipient.
    pub sent_bytes: Rc<Cell<u64>>,
}

impl Group {
    /// Starts hosts; `loss` is the share of their datagrams that is lost.
    pub fn spawn(hosts: usize, loss: f64, seed: u64) -> Self {
        let store = FakeStore::new();
        store.put(Kind::Config, "main", Some(json!({ "version": 1 })));
        let members = Rc::new(
            (0..hosts)
                .map(|n| Member::spawn(&store, n))
                .collect::<Vec<_>>(),
        );
        let group = Self {
            store,
            members,
            backends: Cell::new(0),
            version: Cell::new(1),
            sent_bytes: Rc::default(),
        };
        group.add_backend();
        let sent_bytes = Rc::clone(&group.sent_bytes);
        spawn_local(deliver(Rc::clone(&group.members), loss, seed, sent_bytes));
        group
    }

    /// Adds a backend to the store.
    pub fn add_backend(&self) {
        let number = self.backends.get();
        let value = json!({ "service": "desk", "address": format!("10.0.0.{number}:80") });
        self.store
            .put(Kind::BackEnds, &format!("i-{number}"), Some(value));
        self.backends.set(number + 1);
    }

    /// Writes a small configuration.
    pub fn change_config(&self) {
        self.change_config_of(0);
    }

    /// Writes a configuration that has `padding_bytes` besides its version.
    pub fn change_config_of(&self, padding_bytes: usize) {
        let version = self.version.get() + 1;
        let padding = "x".repeat(padding_bytes);
        let value = json!({ "version": version, "padding": padding });
        self.store.put(Kind::Config, "main", Some(value));
        self.version.set(version);
    }

    /// Indices of the relays.
    pub fn relays(&self) -> Vec<usize> {
        let relays = (0..self.members.len()).filter(|at| self.members[*at].host.relay.is_relay());
        relays.collect()
    }

    /// Indices of the hosts that rely on the relays.
    pub fn followers(&self) -> Vec<usize> {
        let relays = self.relays();
        let all = 0..self.members.len();
        all.filter(|at| !relays.contains(at)).collect()
    }

    /// Indices of the hosts that are reachable and lack a change.
    pub fn behind(&self) -> Vec<usize> {
        let alive = (0..self.members.len()).filter(|at| {
            let member = &self.members[*at];
            !member.is_dead.get() && member.link.mode.get() == StoreMode::Up
        });
        alive
            .filter(|at| !self.members[*at].knows(self.backends.get(), self.version.get()))
            .collect()
    }

    /// Number of watches of all hosts.
    pub fn watches(&self) -> u64 {
        self.members.iter().map(|m| m.link.watches.get()).sum()
    }
}

/// Delivers the hosts' datagrams.
async fn deliver(members: Rc<Vec<Member>>, loss: f64, seed: u64, sent_bytes: Rc<Cell<u64>>) {
    let draws = RefCell::new(seed);
    let is_lost = || {
        let mut draw = draws.borrow_mut();
        *draw = draw.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
        ((*draw >> 33) as f64) < loss * f64::from(1u32 << 31)
    };
    let count_sent = |update: &StoreUpdate, recipients: usize| {
        let bytes = serde_json::to_vec(update).expect("an update").len();
        sent_bytes.set(sent_bytes.get() + (bytes * recipients) as u64);
    };
    loop {
        wait_ms(DELIVERY_INTERVAL_MS).await;
        for (from, sender) in members.iter().enumerate() {
            if sender.is_dead.get() {
                continue;
            }
            let recipient = |rank| {
                let is_meant = |member: &&Member| hash_of(&member.host.deployment.name) == rank;
                let member = members.iter().find(is_meant).expect("a host of the group");
                let is_disconnected = sender.is_isolated.get() || member.is_isolated.get();
                (!is_disconnected && !member.is_dead.get() && !is_lost()).then_some(member)
            };
            for (rank, request) in sender.host.relay.take_requests() {
                if let Some(relay) = recipient(rank) {
                    relay.host.relay.receive_request(request);
                }
            }
            for (rank, request) in sender.host.relay.take_part_requests() {
                if let Some(relay) = recipient(rank) {
                    relay.host.relay.receive_part_request(&request);
                }
            }
            let delay_ms = sender.link_delay_ms.get();
            for (rank, part) in sender.host.relay.take_parts() {
                sent_bytes.set(sent_bytes.get() + part.bytes.len() as u64);
                if let Some(member) = recipient(rank) {
                    let host = Rc::clone(&member.host);
                    after(delay_ms, move || host.relay.receive_part(part));
                }
            }
            for (rank, update) in sender.host.relay.take_answers() {
                count_sent(&update, 1);
                if let Some(member) = recipient(rank) {
                    let host = Rc::clone(&member.host);
                    after(delay_ms, move || host.relay.receive(update));
                }
            }
            for update in sender.host.relay.take_due() {
                count_sent(&update, members.len() - 1);
                for (to, receiver) in members.iter().enumerate() {
                    let is_disconnected = sender.is_isolated.get() || receiver.is_isolated.get();
                    if to != from && !is_disconnected && !receiver.is_dead.get() && !is_lost() {
                        let (host, update) = (Rc::clone(&receiver.host), update.clone());
                        after(delay_ms, move || host.relay.receive(update));
                    }
                }
            }
        }
    }
}

/// Delivers a datagram after it has waited on its sender's link.
fn after(delay_ms: u64, deliver: impl FnOnce() + 'static) {
    if delay_ms == 0 {
        return deliver();
    }
    spawn_local(async move {
        wait_ms(delay_ms).await;
        deliver();
    });
}
