//! Tests that a withdrawn API key is not accepted for longer than the bound, by hosts that are cut off
//! from the store, that get its responses or datagrams late, or that start on a restored store; and that
//! hosts accept keys whenever they can know that their configuration is recent.

mod common;

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

use common::{FakeBackends, FakeStore, deployment, run_virtual, wait_ms};
use serde_json::{Value, json};
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::Instant;
use yucca_serve::config::ServingConfig;
use yucca_serve::directory::BackendEntry;
use yucca_serve::follow::{follow_config, probe_store};
use yucca_serve::host::{Deployment, Host};
use yucca_serve::organisations::ApiKey;
use yucca_serve::peers::{follow_hosts, outgoing_datagrams, receive, register};
use yucca_serve::ports::{
    ConfigFault, Freshness, Kind, Object, ObjectStore, Objects, Page, StoreFault,
};

/// Time for which a withdrawn key may be accepted.
const REVOKE_MS: u64 = 5_000;
const STEP_MS: u64 = 20;

/// How a host's calls to the store end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Path {
    Open,
    Refused,
    /// Responses arrive this much later.
    Late(u64),
    Silent,
}

/// A host's connection to the store.
#[derive(Debug)]
struct Link {
    store: Rc<FakeStore>,
    path: Cell<Path>,
}

impl Link {
    async fn pass<T>(
        &self,
        call: impl Future<Output = Result<T, StoreFault>>,
    ) -> Result<T, StoreFault> {
        let result = match self.path.get() {
            Path::Refused => return Err(StoreFault::Refused(503)),
            Path::Silent => {
                wait_ms(1_000).await;
                return Err(StoreFault::NoAnswer("silent".to_owned()));
            }
            Path::Open | Path::Late(_) => call.await,
        };
        match self.path.get() {
            Path::Open => result,
            Path::Late(late_ms) => {
                wait_ms(late_ms).await;
                result
            }
            Path::Refused | Path::Silent => Err(StoreFault::NoAnswer("cut".to_owned())),
        }
    }
}

impl ObjectStore for Link {
    async fn page(
        &self,
        kind: Kind,
        freshness: Freshness,
        after: Option<&[u8]>,
    ) -> Result<Page, StoreFault> {
        self.pass(self.store.page(kind, freshness, after)).await
    }

    async fn watch(&self, kind: Kind, since: u64, wait_ms: u64) -> Result<Objects, StoreFault> {
        self.pass(self.store.watch(kind, since, wait_ms)).await
    }

    async fn write(
        &self,
        kind: Kind,
        name: &str,
        expected: Option<u64>,
        value: &Value,
    ) -> Result<u64, StoreFault> {
        self.pass(self.store.write(kind, name, expected, value))
            .await
    }

    async fn read(
        &self,
        kind: Kind,
        name: &str,
        freshness: Freshness,
    ) -> Result<Option<Object>, StoreFault> {
        self.pass(self.store.read(kind, name, freshness)).await
    }

    async fn remove(&self, kind: Kind, name: &str) -> Result<(), StoreFault> {
        self.pass(self.store.remove(kind, name)).await
    }

    fn era(&self) -> u64 {
        self.store.era()
    }

    fn backend(&self, object: &Object) -> Option<BackendEntry> {
        self.store.backend(object)
    }

    fn config(&self, object: &Object) -> Result<ServingConfig, ConfigFault> {
        self.store.config(object)
    }
}

struct Member {
    host: Rc<Host<FakeBackends>>,
    link: Rc<Link>,
    address: String,
    /// Time for which datagrams wait before this host reads them.
    inbound_delay_ms: Cell<u64>,
    is_isolated: Cell<bool>,
    tasks: Vec<JoinHandle<()>>,
}

impl Member {
    fn spawn(store: &Rc<FakeStore>, number: usize) -> Rc<Self> {
        let own = Deployment {
            name: format!("entry-{number}"),
            revoke_ms: Some(REVOKE_MS),
            ..deployment()
        };
        let address = format!("10.9.0.{}:7000", number + 1);
        let host = Rc::new(Host::new(own, FakeBackends::default(), number as u64));
        let link = Rc::new(Link {
            store: Rc::clone(store),
            path: Cell::new(Path::Open),
        });
        let health = Rc::clone(&host.relay.store_health);
        let socket_address = address.parse().expect("an address");
        let tasks = vec![
            spawn_local(follow_config(
                Rc::clone(&host),
                Rc::clone(&link),
                Rc::clone(&health),
            )),
            spawn_local(follow_hosts(
                Rc::clone(&host),
                Rc::clone(&link),
                Rc::clone(&health),
            )),
            spawn_local(register(Rc::clone(&host), Rc::clone(&link), socket_address)),
            spawn_local(probe_store(
                health,
                Rc::clone(&link),
                Kind::Leases,
                "none",
                |_| {},
            )),
        ];
        Rc::new(Self {
            host,
            link,
            address,
            inbound_delay_ms: Cell::new(0),
            is_isolated: Cell::new(false),
            tasks,
        })
    }

    fn accepts(&self, key: &str) -> bool {
        let config = self.host.config();
        let has_key = config.is_some_and(|c| c.organisations.find(&ApiKey::new(key)).is_some());
        has_key && self.host.may_accept_keys()
    }
}

/// Hosts with a store, and an operator who adds and withdraws keys.
struct Fleet {
    store: Rc<FakeStore>,
    members: RefCell<Vec<Rc<Member>>>,
    version: Cell<u64>,
    keys: RefCell<Vec<String>>,
    /// Time of the withdrawal of each withdrawn key.
    withdrawn: RefCell<BTreeMap<String, Instant>>,
}

impl Fleet {
    async fn spawn(hosts: usize) -> Rc<Self> {
        let store = FakeStore::new();
        store.latency_ms.set(4);
        let fleet = Rc::new(Self {
            store,
            members: RefCell::default(),
            version: Cell::new(0),
            keys: RefCell::new(vec!["key-0".to_owned(), "key-1".to_owned()]),
            withdrawn: RefCell::default(),
        });
        fleet.write_config();
        for number in 0..hosts {
            let member = Member::spawn(&fleet.store, number);
            fleet.members.borrow_mut().push(member);
        }
        spawn_local(Rc::clone(&fleet).run());
        wait_ms(6_000).await;
        fleet
    }

    fn write_config(&self) {
        self.version.set(self.version.get() + 1);
        let value = json!({
            "version": self.version.get(),
            "organisations": { "north": *self.keys.borrow() },
        });
        self.store.put(Kind::Config, "main", Some(value));
    }

    fn withdraw(&self, key: &str) {
        self.keys.borrow_mut().retain(|k| k != key);
        self.write_config();
        self.withdrawn
            .borrow_mut()
            .insert(key.to_owned(), Instant::now());
    }

    fn member(&self, at: usize) -> Rc<Member> {
        Rc::clone(&self.members.borrow()[at])
    }

    /// Delivers datagrams and checks that no host accepts a withdrawn key beyond the bound.
    async fn run(self: Rc<Self>) {
        loop {
            wait_ms(STEP_MS).await;
            let members = self.members.borrow().clone();
            for sender in &members {
                for outgoing in outgoing_datagrams(&sender.host) {
                    for to in &outgoing.to {
                        let to = to.to_string();
                        let recipient = members.iter().find(|m| m.address == to);
                        let Some(recipient) = recipient else { continue };
                        if sender.is_isolated.get() || recipient.is_isolated.get() {
                            continue;
                        }
                        let recipient = Rc::clone(recipient);
                        let bytes = outgoing.bytes.clone();
                        spawn_local(async move {
                            wait_ms(1 + recipient.inbound_delay_ms.get()).await;
                            receive(&recipient.host, &bytes);
                        });
                    }
                }
            }
            for (key, at) in &*self.withdrawn.borrow() {
                let age_ms = at.elapsed().as_millis() as u64;
                for (number, member) in members.iter().enumerate() {
                    let is_late = age_ms > REVOKE_MS && member.accepts(key);
                    assert!(!is_late, "host {number} accepts {key} after {age_ms} ms");
                }
            }
        }
    }
}

/// Without disturbances, no host may refuse keys, and a withdrawal takes effect everywhere at once.
#[test]
fn withdrawal_in_calm() {
    run_virtual(async {
        let fleet = Fleet::spawn(6).await;
        for _ in 0..200 {
            wait_ms(50).await;
            let members = fleet.members.borrow();
            assert!(
                members
                    .iter()
                    .all(|m| m.accepts("key-0") && m.accepts("key-1"))
            );
        }
        fleet.withdraw("key-1");
        wait_ms(2_000).await;
        let members = fleet.members.borrow();
        assert!(
            members
                .iter()
                .all(|m| m.accepts("key-0") && !m.accepts("key-1"))
        );
    });
}

/// A store that refuses a host while it acknowledges a withdrawal gives that host no proof. A host that
/// the others reach takes their word; an isolated one stops accepting keys, and accepts them at once
/// when it reaches the store again.
#[test]
fn withdrawal_cut_off_host() {
    for path in [Path::Refused, Path::Silent, Path::Late(4_000)] {
        run_virtual(async move {
            let fleet = Fleet::spawn(6).await;
            for number in 0..3 {
                fleet.member(number).link.path.set(path);
            }
            let isolated = fleet.member(0);
            isolated.is_isolated.set(true);
            fleet.withdraw("key-1");
            wait_ms(REVOKE_MS + 100).await;
            assert!(!isolated.accepts("key-0"), "{path:?}");
            wait_ms(3_000).await;
            isolated.link.path.set(Path::Open);
            isolated.is_isolated.set(false);
            wait_ms(1_500).await;
            assert!(isolated.accepts("key-0"), "{path:?}");
            assert!(!isolated.accepts("key-1"), "{path:?}");
        });
    }
}

/// Hosts that the store refuses go on accepting keys for as long as other hosts have proof.
#[test]
fn withdrawal_proof_of_others() {
    run_virtual(async {
        let fleet = Fleet::spawn(6).await;
        for number in 0..3 {
            fleet.member(number).link.path.set(Path::Refused);
        }
        for _ in 0..200 {
            wait_ms(50).await;
            for number in 0..3 {
                assert!(fleet.member(number).accepts("key-0"), "host {number}");
            }
        }
    });
}

/// Datagrams that wait while a host is suspended must not count as recent when it reads them. Once they
/// arrive in time again, the host accepts keys again.
#[test]
fn withdrawal_delayed_datagrams() {
    run_virtual(async {
        let fleet = Fleet::spawn(6).await;
        let late = fleet.member(0);
        late.link.path.set(Path::Silent);
        late.inbound_delay_ms.set(7_000);
        wait_ms(1_000).await;
        fleet.withdraw("key-1");
        wait_ms(12_000).await;
        late.inbound_delay_ms.set(0);
        late.link.path.set(Path::Open);
        wait_ms(1_500).await;
        assert!(late.accepts("key-0"));
    });
}

/// A host that starts on a store that was restored from a copy must not accept a key that was withdrawn
/// after the copy was made, while other hosts know of the withdrawal.
#[test]
fn withdrawal_restored_store() {
    run_virtual(async {
        let fleet = Fleet::spawn(5).await;
        fleet.store.save_copy();
        wait_ms(500).await;
        fleet.withdraw("key-1");
        wait_ms(REVOKE_MS + 500).await;
        fleet.store.restore();
        wait_ms(2_000).await;
        let replaced = fleet.members.borrow_mut().remove(0);
        for task in &replaced.tasks {
            task.abort();
        }
        let started = Member::spawn(&fleet.store, 0);
        fleet.members.borrow_mut().push(Rc::clone(&started));
        wait_ms(4_000).await;
        assert!(!started.accepts("key-1"));
        // The operator writes what the store has lost.
        fleet.write_config();
        wait_ms(3_000).await;
        assert!(started.accepts("key-0"));
    });
}

/// Random disturbances of paths and datagrams, with withdrawals in between: the check in [`Fleet::run`]
/// must hold throughout, and all hosts accept keys again afterwards.
#[test]
fn withdrawal_random_disturbances() {
    for seed in 0..12 {
        run_virtual(async move {
            let fleet = Fleet::spawn(6).await;
            let mut draw = seed + 1;
            let mut next = move |limit: u64| {
                draw = u64::wrapping_mul(draw, 6_364_136_223_846_793_005).wrapping_add(97);
                (draw >> 33) % limit
            };
            for round in 0..25 {
                let member = fleet.member(next(6) as usize);
                match next(6) {
                    0 => member.link.path.set(Path::Refused),
                    1 => member.link.path.set(Path::Silent),
                    2 => member.link.path.set(Path::Late(next(4_000))),
                    3 => member.inbound_delay_ms.set(next(8_000)),
                    4 => member.is_isolated.set(true),
                    _ => {
                        member.link.path.set(Path::Open);
                        member.inbound_delay_ms.set(0);
                        member.is_isolated.set(false);
                    }
                }
                if round % 4 == 1 {
                    let withdrawn = format!("key-{}", round / 4 + 1);
                    fleet
                        .keys
                        .borrow_mut()
                        .push(format!("key-{}", round / 4 + 2));
                    fleet.withdraw(&withdrawn);
                }
                wait_ms(200 + next(1_500)).await;
            }
            for member in &*fleet.members.borrow() {
                member.link.path.set(Path::Open);
                member.inbound_delay_ms.set(0);
                member.is_isolated.set(false);
            }
            wait_ms(6_000).await;
            for (number, member) in fleet.members.borrow().iter().enumerate() {
                assert!(member.accepts("key-0"), "seed {seed}, host {number}");
            }
        });
    }
}
