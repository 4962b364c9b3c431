//! Tests of the daemon against stand-ins of the store and of engines, in one process.

use std::net::{SocketAddr, TcpListener};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use yucca_control::daemon::{Config, Daemon};
use yucca_io::clock::boot_ms;
use yucca_io::http_client::{HttpClient, OrderReply};
use yucca_io::operators::{OperatorsPort, OperatorsRequest, Reply};
use yucca_io::store::Store;
use yucca_standins::engine::Engine;
use yucca_standins::engine_config::EngineConfig;
use yucca_standins::standin::spawn_standin;
use yucca_standins::store as standin_store;
use yuccacove::catalogue::{EngineSpec, Role};
use yuccacove::lease::Standby;
use yuccacove::order::OrderTiming;
use yuccacove::roles::RolesPolicy;

/// Reads of the store per second. The tests themselves poll it without a pause, faster than the platform's
/// limit on a fast machine.
const READS_PER_S: u32 = 1_000_000;
/// Timeout of each wait; a run takes a few seconds.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
const ANY_LOCAL_PORT: &str = "127.0.0.1:0";

/// Stand-ins of the store and of the engines of one pool, and clients for them.
struct Pool {
    store_address: SocketAddr,
    store: Store,
    engines: Vec<SocketAddr>,
    http: HttpClient,
}

impl Pool {
    fn new(engines: usize, checks_fence: bool) -> Self {
        let listen = ANY_LOCAL_PORT.parse().expect("an address");
        let store = standin_store::Store::new(standin_store::Config {
            reads_per_s: READS_PER_S,
            ..standin_store::Config::default()
        });
        let store_address = spawn_standin(listen, store).expect("a store");
        let spawn = |index: usize| {
            let mut config = EngineConfig::new(&name(index), spec("v1"));
            config.checks_fence = checks_fence;
            config.order_ms = 200;
            config.report_lag_ms = 50;
            spawn_standin(listen, Engine::spawn(config)).expect("an engine")
        };
        let pool = Self {
            store_address,
            store: Store::new(store_address),
            engines: (0..engines).map(spawn).collect(),
            http: HttpClient::default(),
        };
        pool.put_service("v1");
        for index in 0..engines {
            pool.put_engine(index, checks_fence, &Value::Null);
        }
        pool
    }

    fn put_service(&self, version: &str) {
        let value = json!({ "kind": "model", "model": "m", "version": version });
        self.put("service/advisor", &value);
    }

    fn put_engine(&self, index: usize, checks_fence: bool, intent: &Value) {
        let value = json!({
            "service": "advisor", "address": self.engines[index], "zone": "a",
            "checks_fence": checks_fence, "intent": intent,
        });
        self.put(&format!("engine/{}", name(index)), &value);
    }

    fn put(&self, key: &str, value: &Value) {
        let current = self.store.get(key).expect("a read");
        let version = current.map_or(0, |object| object.version);
        self.store.put(key, version, value).expect("a write");
    }

    fn spawn_daemon(&self) -> Daemon {
        Daemon::spawn(self.config()).expect("a daemon")
    }

    fn config(&self) -> Config {
        Config {
            host: "entry-1".to_owned(),
            standby: Standby::Watching,
            host_count: 1,
            store: self.store_address,
            drain_settle_ms: 100,
            weight_loads_per_min: 6_000,
            entry_hosts: Vec::new(),
            roles: RolesPolicy::Fixed,
            order_timing: OrderTiming {
                wait_ms: 300,
                resend_ms: 200,
            },
        }
    }

    fn inject_fault(&self, address: SocketAddr, mode: &str, count: u64) {
        let command = json!({ "mode": mode, "count": count });
        let (status, body) = self
            .http
            .post(address, "/faults", &command)
            .expect("a response");
        assert_eq!(status, 200, "{body}");
    }

    fn stats(&self, index: usize) -> Value {
        let (_, body) = self.http.get(self.engines[index], "/stats").expect("stats");
        serde_json::from_str(&body).expect("JSON")
    }

    fn object(&self, index: usize) -> Value {
        let key = format!("engine/{}", name(index));
        self.store
            .get(&key)
            .expect("a read")
            .expect("an engine")
            .value
    }

    /// Whether the engine runs `version` and has no open intent.
    fn is_at(&self, index: usize, version: &str) -> bool {
        let report = self.http.engine_report(self.engines[index]);
        let is_closed = self.object(index)["intent"]["confirmed"] != json!(false);
        is_closed && report.is_ok_and(|r| r.version == version)
    }

    /// Sends an order directly to an engine, as a host that has lost its lease might.
    fn order(&self, index: usize, intent: &str, fence: u64, version: &str) -> OrderReply {
        let address = self.engines[index];
        self.http
            .order(address, intent, fence, &spec(version))
            .expect("a response")
    }
}

fn name(index: usize) -> String {
    format!("advisor-{index}")
}

fn spec(version: &str) -> EngineSpec {
    EngineSpec {
        model: "m".to_owned(),
        version: version.to_owned(),
        role: Role::Mixed,
    }
}

fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(
            start.elapsed() < WAIT_TIMEOUT,
            "not within {WAIT_TIMEOUT:?}: {what}"
        );
        thread::yield_now();
    }
}

/// Guards against engines that do not get a new version, two engines unavailable at once,
/// overlapping orders, and a late order from a former lease holder that is not reverted.
#[test]
fn engines_follow_service() {
    for checks_fence in [true, false] {
        let pool = Pool::new(3, checks_fence);
        let daemon = pool.spawn_daemon();
        pool.put_service("v2");
        wait_until("all engines at v2", || {
            let objects = pool.store.list("engine/").expect("a list").objects;
            let open_intents = objects
                .iter()
                .filter(|o| o.value["intent"]["confirmed"] == json!(false));
            assert!(
                open_intents.count() <= 1,
                "more than one engine is unavailable"
            );
            (0..3).all(|index| pool.is_at(index, "v2"))
        });
        for index in 0..3 {
            let stats = pool.stats(index);
            assert_eq!(stats["orders_taken"], 1, "{stats}");
            assert_eq!(stats["overlapping_orders"], 0, "{stats}");
        }
        let reply = pool.order(0, "late", 1, "v1");
        let is_refused = matches!(reply, OrderReply::Fenced(_));
        assert_eq!(is_refused, checks_fence, "{reply:?}");
        // An engine that does not check fencing numbers accepts the late order and is then ordered
        // back to v2.
        let expected = if checks_fence { 1 } else { 3 };
        wait_until("engine 0 is at v2 again", || {
            pool.stats(0)["orders_taken"] == expected && pool.is_at(0, "v2")
        });
        daemon.stop();
    }
}

/// Guards against an order that interrupts a running request.
#[test]
fn order_waits_for_running_request() {
    let pool = Pool::new(1, true);
    let daemon = pool.spawn_daemon();
    wait_until("the lease", || {
        daemon.state()["leases"][0]["held"] == json!(true)
    });
    let address = pool.engines[0];
    let chat = thread::spawn(move || {
        let body = json!({
            "model": "m", "max_tokens": 60, "stream": false,
            "messages": [{ "role": "user", "content": "how wide may the span be" }],
        });
        let url = format!("http://{address}/v1/chat/completions");
        let request = ureq::post(url)
            .header("x-request-id", "r1")
            .header("x-model-version", "v1");
        request
            .send_json(body)
            .expect("a complete response")
            .status()
    });
    wait_until("the request runs", || pool.stats(0)["running"] == json!(1));
    pool.put_service("v2");
    assert_eq!(chat.join().expect("no panic"), 200);
    wait_until("engine at v2", || pool.is_at(0, "v2"));
    assert_eq!(pool.stats(0)["cut_by_order"], 0);
    daemon.stop();
}

/// Guards against a new lease holder that replaces its predecessor's open order, or repeats it
/// after the engine has accepted it.
#[test]
fn successor_completes_open_intent() {
    for was_sent in [false, true] {
        for checks_fence in [true, false] {
            let pool = Pool::new(1, checks_fence);
            let intent = json!({
                "id": "first", "epoch": 1, "sequence": 1, "confirmed": false, "spec": spec("v2"),
            });
            pool.put_engine(0, checks_fence, &intent);
            if was_sent {
                let fence = yuccacove::order::fence(1, 1);
                assert_eq!(pool.order(0, "first", fence, "v2"), OrderReply::Taken);
            }
            // The predecessor released the lease, so that the successor can acquire it at once.
            let lease = json!({
                "holder": null, "epoch": 1, "renewal": 1, "writer": "0000000000000001",
            });
            pool.put("lease/advisor", &lease);
            pool.put_service("v3");
            let daemon = pool.spawn_daemon();
            wait_until("engine at v3", || pool.is_at(0, "v3"));
            let stats = pool.stats(0);
            let orders = stats["orders"].as_array().expect("orders");
            let taken = orders.iter().filter(|order| order["result"] == "taken");
            let intents: Vec<&Value> = taken.map(|order| &order["intent"]).collect();
            assert_eq!((intents.len(), intents[0]), (2, &json!("first")), "{stats}");
            assert_eq!(stats["overlapping_orders"], 0, "{stats}");
            daemon.stop();
        }
    }
}

/// Guards against orders that are repeated or lost when responses of the store and of the engine
/// are lost.
#[test]
fn lost_responses_do_not_repeat_orders() {
    let pool = Pool::new(1, true);
    let daemon = pool.spawn_daemon();
    wait_until("the lease", || {
        daemon.state()["leases"][0]["held"] == json!(true)
    });
    pool.put_service("v2");
    pool.inject_fault(pool.store_address, "lose_answer", 3);
    pool.inject_fault(pool.engines[0], "lose_answer", 1);
    wait_until("engine at v2", || pool.is_at(0, "v2"));
    let stats = pool.stats(0);
    assert_eq!(stats["orders_taken"], 1, "{stats}");
    assert_eq!(stats["overlapping_orders"], 0, "{stats}");
    daemon.stop();
}

/// Guards against a planned stop after which the next holder must wait for the lease to expire.
#[test]
fn stop_releases_lease() {
    let pool = Pool::new(1, true);
    let daemon = pool.spawn_daemon();
    wait_until("the lease", || {
        daemon.state()["leases"][0]["held"] == json!(true)
    });
    daemon.stop();
    let lease = pool
        .store
        .get("lease/advisor")
        .expect("a read")
        .expect("a lease");
    assert_eq!(lease.value["holder"], Value::Null);
}

/// Guards against roles that do not follow the demand measured by entry hosts, two engines
/// unavailable at once because of role changes, and a pool without an engine for decode.
#[test]
fn roles_follow_demand() {
    let pool = Pool::new(3, true);
    let demand = |request: &OperatorsRequest| {
        assert_eq!(request.path, "/v1/demand");
        // Two engine-seconds of prefill per second.
        let prefill_s = boot_ms() as f64 / 500.0;
        let totals = json!({ "prefill_s": prefill_s, "decode_s": 0.0 });
        let body =
            json!({ "host": "entry-1", "incarnation": 1, "services": { "advisor": totals } });
        Reply::json(200, &body)
    };
    let free = TcpListener::bind(ANY_LOCAL_PORT).expect("a free port");
    let address = free.local_addr().expect("its address");
    drop(free);
    let _port = OperatorsPort::bind(address, demand).expect("an operators' port");
    let daemon = Daemon::spawn(Config {
        entry_hosts: vec![("entry-1".to_owned(), address)],
        roles: RolesPolicy::Threshold,
        ..pool.config()
    })
    .expect("a daemon");
    let roles = || -> Vec<Role> {
        let report = |engine: &SocketAddr| pool.http.engine_report(*engine).expect("a report");
        pool.engines.iter().map(|e| report(e).role).collect()
    };
    wait_until("two engines of prefill", || {
        let objects = pool.store.list("engine/").expect("a list").objects;
        let open_intents = objects
            .iter()
            .filter(|o| o.value["intent"]["confirmed"] == json!(false));
        assert!(
            open_intents.count() <= 1,
            "more than one engine is unavailable"
        );
        roles()
            .iter()
            .filter(|role| **role == Role::Prefill)
            .count()
            == 2
    });
    daemon.stop();
    assert!(roles().contains(&Role::Mixed), "{:?}", roles());
    for index in 0..3 {
        let stats = pool.stats(index);
        assert!(stats["orders_taken"].as_u64() <= Some(1), "{stats}");
        assert_eq!(stats["overlapping_orders"], 0, "{stats}");
    }
}
