//! Tests that hosts follow a store that is restored from a copy: revisions go back and are given
//! out again, and what was written since the copy is gone.

mod common;

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::rc::Rc;

use common::{
    FakeBackends, FakeStore, StoreMode, deployment, next_draw, run_virtual, spawn_common_tasks,
    wait_ms,
};
use serde_json::json;
use tokio::task::{JoinHandle, spawn_local};
use yucca_serve::follow::follow_config;
use yucca_serve::host::{Deployment, Host};
use yucca_serve::peers::{outgoing_datagrams, receive};
use yucca_serve::ports::{Freshness, Kind, ObjectStore};
use yucca_serve::roles::RoleLease;

/// Time within which a change must be applied.
const BOUND_MS: u64 = 2_000;
/// Time after the return of the store after which hosts are held to that bound.
const CONTACT_MS: u64 = 3_000;
/// Time after which the store removes the entry of a silent backend.
const LAPSE_MS: u64 = 3_600;
const DELIVERY_INTERVAL_MS: u64 = 10;

struct Member {
    host: Rc<Host<FakeBackends>>,
    lease: Rc<RoleLease>,
    address: String,
    tasks: Vec<JoinHandle<()>>,
}

impl Member {
    fn spawn(store: &Rc<FakeStore>, number: usize) -> Rc<Self> {
        let own = Deployment {
            name: format!("entry-{number}"),
            ..deployment()
        };
        let address = format!("10.9.{}.{}:7000", number / 250, number % 250 + 1);
        let host = Rc::new(Host::new(own, FakeBackends::default(), number as u64));
        let (lease, mut tasks) = spawn_common_tasks(&host, store, &address);
        tasks.push(spawn_local(follow_config(
            Rc::clone(&host),
            Rc::clone(store),
            Rc::clone(&host.relay.store_health),
        )));
        Rc::new(Self {
            host,
            lease,
            address,
            tasks,
        })
    }

    fn version(&self) -> u64 {
        self.host.config().map_or(0, |config| config.version)
    }

    fn usable(&self) -> BTreeSet<String> {
        let directory = self.host.directory.borrow();
        let keys = directory.usable("desk", self.host.now_ms());
        keys.iter()
            .map(|key| directory.get(*key).target.id.to_string())
            .collect()
    }
}

/// Hosts with a store.
struct Fleet {
    store: Rc<FakeStore>,
    members: RefCell<Vec<Rc<Member>>>,
    /// Epochs under which each host had authority, in the order of their beginnings.
    epochs: RefCell<Vec<(String, u64)>>,
    /// Largest number of hosts that had authority at the same moment.
    most_holders: Cell<usize>,
    loss: f64,
    draws: Cell<u64>,
}

impl Fleet {
    async fn spawn(hosts: usize, loss: f64) -> Rc<Self> {
        let store = FakeStore::new();
        store.latency_ms.set(4);
        store.put(Kind::Config, "main", Some(json!({ "version": 10 })));
        let fleet = Rc::new(Self {
            store,
            members: RefCell::default(),
            epochs: RefCell::default(),
            most_holders: Cell::new(0),
            loss,
            draws: Cell::new(7),
        });
        for number in 1..=4 {
            fleet.put_backend(number, "ready");
        }
        for number in 0..hosts {
            let member = Member::spawn(&fleet.store, number);
            fleet.members.borrow_mut().push(member);
        }
        spawn_local(Rc::clone(&fleet).run());
        wait_ms(10_000).await;
        fleet
    }

    fn put_config(&self, version: u64) {
        self.store
            .put(Kind::Config, "main", Some(json!({ "version": version })));
    }

    fn put_backend(&self, number: u64, state: &str) {
        let value = json!({
            "service": "desk",
            "address": format!("10.0.0.{number}:80"),
            "draining": state == "draining",
            "started": 1,
        });
        self.store
            .put(Kind::BackEnds, &format!("i-{number}"), Some(value));
    }

    /// Takes the store away for two seconds and restores it from its copy.
    async fn restore(&self) {
        self.store.set_mode(StoreMode::Unresponsive);
        wait_ms(2_000).await;
        self.store.restore();
        self.store.set_mode(StoreMode::Up);
    }

    fn start(&self, number: usize) {
        let member = Member::spawn(&self.store, number);
        self.members.borrow_mut().push(member);
    }

    fn kill(&self, at: usize) {
        let member = self.members.borrow_mut().remove(at);
        for task in &member.tasks {
            task.abort();
        }
    }

    fn holder(&self) -> Option<usize> {
        let members = self.members.borrow();
        members
            .iter()
            .position(|member| member.lease.authority().is_some())
    }

    /// Delivers datagrams and observes the leases for as long as the test runs.
    async fn run(self: Rc<Self>) {
        loop {
            wait_ms(DELIVERY_INTERVAL_MS).await;
            let members = self.members.borrow().clone();
            for sender in &members {
                for datagram in outgoing_datagrams(&sender.host) {
                    for to in &datagram.to {
                        let receiver = members.iter().find(|m| m.address == to.to_string());
                        if let Some(receiver) = receiver.filter(|_| !self.is_lost()) {
                            receive(&receiver.host, &datagram.bytes);
                        }
                    }
                }
            }
            let mut holders = 0;
            for member in &members {
                if let Some(authority) = member.lease.authority() {
                    holders += 1;
                    let epoch = (member.host.deployment.name.clone(), authority.epoch);
                    let mut epochs = self.epochs.borrow_mut();
                    if epochs.last() != Some(&epoch) {
                        epochs.push(epoch);
                    }
                }
            }
            self.most_holders.set(self.most_holders.get().max(holders));
        }
    }

    fn is_lost(&self) -> bool {
        let next = next_draw(self.draws.get());
        self.draws.set(next);
        ((next >> 33) % 1_000) as f64 / 1_000.0 < self.loss
    }

    /// Asserts for `ms` that no host uses an older configuration than `version`, or a backend that
    /// it must not use, or lacks one that serves.
    async fn assert_for(&self, ms: u64, name: &str, version: u64, without: &[&str], with: &[&str]) {
        for at_ms in (0..ms).step_by(50) {
            wait_ms(50).await;
            for member in self.members.borrow().iter() {
                let own = &member.host.deployment.name;
                assert!(
                    member.version() >= version,
                    "{name}: {own} at {at_ms} ms: {}",
                    member.version()
                );
                let usable = member.usable();
                for id in without {
                    assert!(
                        !usable.contains(*id),
                        "{name}: {own} at {at_ms} ms uses {id}"
                    );
                }
                for id in with {
                    assert!(
                        usable.contains(*id),
                        "{name}: {own} at {at_ms} ms lacks {id}"
                    );
                }
            }
        }
    }

    /// Returns the names of the hosts that do not have exactly this state.
    fn behind(&self, version: u64, backends: &[&str]) -> Vec<String> {
        let wanted: BTreeSet<String> = backends.iter().map(ToString::to_string).collect();
        let members = self.members.borrow();
        let behind = members
            .iter()
            .filter(|m| m.version() != version || m.usable() != wanted);
        behind
            .map(|member| member.host.deployment.name.clone())
            .collect()
    }

    fn priced_calls(&self) -> u64 {
        self.store.calls.get() - self.store.lagging_calls.get()
    }
}

/// A configuration and backends change after the copy: version 12 is confirmed, `i-1` drains, `i-2`
/// leaves, `i-5` joins. After the restore what backends write comes again, and `i-2` lapses.
async fn change_and_restore(fleet: &Rc<Fleet>, name: &str) {
    fleet.store.save_copy();
    fleet.put_config(12);
    fleet.put_backend(1, "draining");
    fleet.store.put(Kind::BackEnds, "i-2", None);
    fleet.put_backend(5, "ready");
    wait_ms(BOUND_MS).await;
    assert_eq!(
        fleet.behind(12, &["i-3", "i-4", "i-5"]),
        [""; 0],
        "{name}: before the restore"
    );
    fleet.restore().await;
    let rewriting = Rc::clone(fleet);
    spawn_local(async move {
        wait_ms(1_200).await;
        rewriting.put_backend(1, "draining");
        rewriting.put_backend(5, "ready");
        wait_ms(LAPSE_MS - 1_200).await;
        rewriting.store.put(Kind::BackEnds, "i-2", None);
    });
    fleet
        .assert_for(
            LAPSE_MS + BOUND_MS,
            name,
            12,
            &["i-1", "i-2"],
            &["i-3", "i-4", "i-5"],
        )
        .await;
}

/// Guards against hosts that take the changes after a restore for older ones, bring back what the
/// copy holds, or call the store without pause.
#[test]
fn follow_restored_store_applies_later_changes() {
    // Hosts, share of lost datagrams, and versions of the operator's next configurations. The first one
    // may be older than what the store has lost.
    let cases = [
        (1, 0.0, [15, 16]),
        (7, 0.0, [15, 16]),
        (7, 0.0, [11, 13]),
        (7, 0.3, [15, 16]),
        (60, 0.05, [15, 16]),
    ];
    for (hosts, loss, versions) in cases {
        let [first, version] = versions;
        let name = format!("{hosts} hosts, loss {loss}, version {version}");
        run_virtual(async {
            let fleet = Fleet::spawn(hosts, loss).await;
            let calls_before = fleet.priced_calls();
            change_and_restore(&fleet, &name).await;
            fleet.put_config(first);
            let expected = first.max(12);
            fleet.assert_for(BOUND_MS, &name, 12, &[], &[]).await;
            assert_eq!(
                fleet.behind(expected, &["i-3", "i-4", "i-5"]),
                [""; 0],
                "{name}"
            );
            fleet.put_config(version);
            fleet.put_backend(3, "draining");
            wait_ms(BOUND_MS).await;
            let behind = fleet.behind(version, &["i-4", "i-5"]);
            assert_eq!(behind, [""; 0], "{name}");
            let calls = fleet.priced_calls() - calls_before;
            let allowed = 100 + 12 * hosts as u64;
            assert!(calls <= allowed, "{name}: {calls} calls, {allowed} allowed");
        });
    }
}

/// Guards against an older configuration that comes into force for a moment because the operator
/// writes again, one after the other, what the store has lost.
#[test]
fn follow_restored_store_configurations_written_again() {
    run_virtual(async {
        let fleet = Fleet::spawn(7, 0.0).await;
        fleet.store.save_copy();
        for version in [11, 12] {
            fleet.put_config(version);
            wait_ms(BOUND_MS).await;
        }
        fleet.restore().await;
        fleet.assert_for(1_500, "copy", 12, &[], &[]).await;
        for version in [11, 12] {
            fleet.put_config(version);
            fleet.assert_for(1_500, "written again", 12, &[], &[]).await;
        }
        fleet.put_config(9);
        fleet.assert_for(BOUND_MS, "older", 12, &[], &[]).await;
        fleet.put_config(13);
        wait_ms(BOUND_MS).await;
        assert!(
            fleet
                .members
                .borrow()
                .iter()
                .all(|member| member.version() == 13)
        );
    });
}

/// Guards against hosts that go back to versions of a quick succession that they have not seen, because
/// the operator writes them again after the store has lost them (`review/3`).
#[test]
fn follow_restored_store_unseen_versions_written_again() {
    run_virtual(async {
        let fleet = Fleet::spawn(7, 0.0).await;
        fleet.store.save_copy();
        for version in 11..=16 {
            fleet.put_config(version);
            wait_ms(100).await;
        }
        wait_ms(BOUND_MS).await;
        fleet.restore().await;
        for version in 11..=16 {
            fleet.put_config(version);
            fleet.assert_for(1_000, "written again", 16, &[], &[]).await;
        }
    });
}

/// Guards against hosts that follow one restore and not the next.
#[test]
fn follow_restored_store_twice() {
    run_virtual(async {
        let fleet = Fleet::spawn(7, 0.05).await;
        change_and_restore(&fleet, "first").await;
        // The copy is as old as before.
        fleet.put_config(13);
        wait_ms(BOUND_MS).await;
        fleet.restore().await;
        fleet
            .assert_for(CONTACT_MS, "second", 13, &[], &["i-3", "i-4"])
            .await;
        fleet.put_config(14);
        wait_ms(BOUND_MS).await;
        assert!(
            fleet
                .members
                .borrow()
                .iter()
                .all(|member| member.version() == 14)
        );
    });
}

/// Guards against a host that the others do not find any more because its entry was not in the copy.
#[test]
fn register_entry_lost_in_restore() {
    run_virtual(async {
        let fleet = Fleet::spawn(3, 0.0).await;
        fleet.store.save_copy();
        fleet.start(3);
        wait_ms(5_000).await;
        fleet.restore().await;
        wait_ms(CONTACT_MS).await;
        let listed = fleet
            .store
            .list(Kind::Hosts, Freshness::Latest)
            .await
            .expect("a listing");
        let names: Vec<&str> = listed.objects.iter().map(|o| o.name.as_str()).collect();
        assert!(names.contains(&"host.entry-3"), "{names:?}");
    });
}

/// Guards against two holders of the lease, against a fencing token that is given out twice, and
/// against a lease that nobody acquires any more.
#[test]
fn maintain_lease_restored_store() {
    #[derive(Debug, Clone, Copy, PartialEq)]
    enum Trouble {
        None,
        /// The holder is killed while the store is away.
        HolderKilled,
        /// A host that knows nothing starts as the store returns, and the holder is killed.
        HostStarts,
    }
    for copied_first in [true, false] {
        for trouble in [Trouble::None, Trouble::HolderKilled, Trouble::HostStarts] {
            let name = format!("copy without later holders {copied_first}, {trouble:?}");
            run_virtual(async {
                let fleet = Fleet::spawn(4, 0.0).await;
                if copied_first {
                    fleet.store.save_copy();
                }
                // Two more holders after the first, one of them after the copy.
                for _ in 0..2 {
                    let holder = fleet.holder().expect("a holder");
                    fleet.kill(holder);
                    fleet.start(10 + holder + fleet.epochs.borrow().len());
                    wait_ms(10_000).await;
                    if !copied_first {
                        fleet.store.save_copy();
                    }
                }
                let calls_before = fleet.priced_calls();
                fleet.store.set_mode(StoreMode::Unresponsive);
                wait_ms(1_000).await;
                let holder = fleet.holder();
                if let Some(holder) = holder.filter(|_| trouble != Trouble::None) {
                    fleet.kill(holder);
                }
                wait_ms(1_000).await;
                fleet.store.restore();
                fleet.store.set_mode(StoreMode::Up);
                if trouble == Trouble::HostStarts {
                    fleet.start(30);
                }
                wait_ms(12_000).await;
                assert!(fleet.holder().is_some(), "{name}: no holder");
                assert!(
                    fleet.most_holders.get() <= 1,
                    "{name}: {} holders",
                    fleet.most_holders.get()
                );
                let epochs = fleet.epochs.borrow();
                let is_rising = epochs.windows(2).all(|pair| pair[0].1 < pair[1].1);
                assert!(is_rising, "{name}: {epochs:?}");
                let calls = fleet.priced_calls() - calls_before;
                assert!(calls <= 200, "{name}: {calls} calls");
            });
        }
    }
}
