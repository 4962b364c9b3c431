//! Tests which hosts receive which updates by datagram, over loopback sockets.

mod common;

use std::rc::Rc;
use std::time::Duration;

use common::{FakeBackends, FakeStore, deployment, entry};
use serde_json::json;
use tokio::net::UdpSocket;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{sleep, timeout};
use yucca_serve::directory::BackendEntry;
use yucca_serve::follow::StoreHealth;
use yucca_serve::hash::hash_of;
use yucca_serve::host::{Deployment, Host};
use yucca_serve::peers::{
    EngineUnavailable, PrefillEnd, exchange, follow_hosts, prefill_announcement,
};
use yucca_serve::ports::Kind;
use yuccacove::prompt_placement::Phase;

const TIMEOUT: Duration = Duration::from_secs(10);
/// Number of engines of each phase. With them, zone a has enough backends for its hosts to exchange
/// load within the zone only.
const ENGINES_PER_PHASE: u8 = 20;

async fn spawn_host(name: &str, zone: &str, store: &Rc<FakeStore>) -> Rc<Host<FakeBackends>> {
    let own = Deployment {
        name: name.to_owned(),
        zone: zone.to_owned(),
        ..deployment()
    };
    let host = Rc::new(Host::new(own, FakeBackends::default(), hash_of(name)));
    for number in 0..ENGINES_PER_PHASE {
        let zone = if number % 2 == 0 { "a" } else { "b" };
        let entry = BackendEntry {
            zone: zone.to_owned(),
            ..entry("model", number, Phase::Prefill)
        };
        let id = format!("i-{number}");
        host.directory.borrow_mut().apply_entry(&id, 1, entry, 0);
    }
    for number in ENGINES_PER_PHASE..2 * ENGINES_PER_PHASE {
        let id = format!("i-{number}");
        let entry = entry("model", number, Phase::Decode);
        host.directory.borrow_mut().apply_entry(&id, 1, entry, 0);
    }
    let socket = UdpSocket::bind("127.0.0.1:0").await.expect("a socket");
    let address = socket.local_addr().expect("an address").to_string();
    store.put(
        Kind::Hosts,
        &format!("host.{name}"),
        Some(json!({ "address": address, "zone": zone })),
    );
    spawn_local(exchange(Rc::clone(&host), socket));
    host
}

async fn until(is_true: impl Fn() -> bool) {
    let wait = async {
        while !is_true() {
            sleep(Duration::from_millis(2)).await;
        }
    };
    timeout(TIMEOUT, wait)
        .await
        .expect("condition within the time limit");
}

fn pending_ms(host: &Host<FakeBackends>) -> f64 {
    let directory = host.directory.borrow();
    let key = directory.find("i-0").expect("listed");
    directory.get(key).load.pending_ms(host.now_ms())
}

fn is_unavailable(host: &Host<FakeBackends>) -> bool {
    let directory = host.directory.borrow();
    let key = directory.find("i-0").expect("listed");
    directory.get(key).is_unavailable(host.now_ms())
}

/// Guards against a fault, seen on the users' test bench, in which hosts of other zones did not
/// learn that an engine was changing its phase, and sent 700 requests to it within four seconds.
#[test]
fn exchange_unavailable_reaches_all_zones() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        let store = FakeStore::new();
        let sender = spawn_host("entry-1", "a", &store).await;
        let near = spawn_host("entry-2", "a", &store).await;
        let far = spawn_host("entry-3", "b", &store).await;
        let store_health = Rc::new(StoreHealth::default());
        spawn_local(follow_hosts(
            Rc::clone(&sender),
            Rc::clone(&store),
            store_health,
        ));
        until(|| sender.peers.count() == 2).await;
        let key = sender.directory.borrow().find("i-0").expect("listed");
        // A prompt without a long shared prefix is announced within the zone only.
        sender.announce_prefill(prefill_announcement(&sender, key, 5_000.0, &[]));
        until(|| pending_ms(&near) > 0.0).await;
        sender.peers.announce_unavailable(EngineUnavailable {
            engine: hash_of("i-0"),
            for_ms: 5_000,
        });
        sender.peer_updates.notify_one();
        until(|| is_unavailable(&near) && is_unavailable(&far)).await;
        assert!(pending_ms(&far) == 0.0, "prefill announced to another zone");
    });
}

/// The end of a prefill must reach the hosts that know of it. Guards against queues that hosts let drain
/// by time, which stay full or seem empty at engines of another speed.
#[test]
fn exchange_prefill_end() {
    /// Far longer than [`TIMEOUT`], so that it does not drain by time.
    const WORK_MS: f64 = 60_000.0;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        let store = FakeStore::new();
        let sender = spawn_host("entry-1", "a", &store).await;
        let near = spawn_host("entry-2", "a", &store).await;
        let store_health = Rc::new(StoreHealth::default());
        spawn_local(follow_hosts(
            Rc::clone(&sender),
            Rc::clone(&store),
            store_health,
        ));
        until(|| sender.peers.count() == 1).await;
        let key = sender.directory.borrow().find("i-0").expect("listed");
        sender.announce_prefill(prefill_announcement(&sender, key, WORK_MS, &[]));
        until(|| pending_ms(&near) > 0.0).await;
        let end = PrefillEnd::new(hash_of("i-0"), WORK_MS, 0.0, Some(900.0), true);
        sender.announce_prefill_end(end);
        until(|| pending_ms(&near) == 0.0).await;
    });
}
