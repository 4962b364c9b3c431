//! Fleet-wide limits of entries with callers on one host and on several.

mod common;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use common::{
    Fake, FakeStore, Reply, Running, Step, chat_body, engine, plain, start, stream, until,
};
use serde_json::json;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;
use tokio::time::sleep;
use yucca_entry::peer_calls::{self, PeerCalls};
use yucca_entry::quota::{GRANT_WAIT_MS, UNUSED_AFTER_MS};
use yucca_entry::wire::{self, Digest, ExchangeRequest, QuotaAmounts, QuotaGrant, QuotaRequest};
use yucca_io::clock::boot_ms;
use yucca_io::settings::Settings;
use yuccacove::gossip::GossipState;
use yuccacove::membership::Record;

const UNLIMITED: u32 = 100_000;
const CONCURRENT_CALLERS: usize = 4;

/// `requests_per_s`, `concurrent` and `tokens_per_s` of an entry.
type Limits = (u32, u32, u32);

fn set_entry(store: &FakeStore, name: &str, service: &str, class: &str, limits: Limits) -> u64 {
    let (requests_per_s, concurrent, tokens_per_s) = limits;
    let (prefix, method) = match class {
        "chat" => (String::new(), ""),
        "order" => (format!("/{name}"), "POST"),
        _ => (format!("/{name}"), "GET"),
    };
    let value = json!({ "owner": "o", "service": service, "class": class, "rank": "urgent",
        "first_token_ms": 9_000, "between_tokens_ms": 100, "deadline_ms": 10_000,
        "requests_per_s": requests_per_s, "concurrent": concurrent, "tokens_per_s": tokens_per_s,
        "path_prefix": prefix, "methods": [method] });
    store.state.put(&format!("entry/{name}"), value)
}

async fn desk() -> Fake {
    Fake::spawn(|_, call| plain(call, 200, "in stock")).await
}

/// Starts `count` hosts, which then know each other.
async fn hosts(store: &FakeStore, count: usize) -> Vec<Arc<Running>> {
    let fleet = store.fleet(count);
    let mut hosts = Vec::new();
    for i in 1..=count {
        hosts.push(Arc::new(start(&fleet, &format!("entry-{i}"), |_| {}).await));
    }
    until("joined hosts", || {
        hosts
            .iter()
            .all(|r| r.host.is_joined() && r.host.peers.live().len() == count)
    })
    .await;
    hosts
}

/// Calls `path` without a pause for `time` on each host; returns the number of responses by result
/// code, and the elapsed seconds.
async fn send_load(
    hosts: &[Arc<Running>],
    path: &str,
    time: Duration,
) -> (BTreeMap<u64, u32>, f64) {
    let started = Instant::now();
    let mut callers = Vec::new();
    for host in hosts {
        for _ in 0..CONCURRENT_CALLERS {
            let (host, path) = (Arc::clone(host), path.to_owned());
            callers.push(tokio::spawn(async move {
                let mut codes = Vec::new();
                while started.elapsed() < time {
                    codes.push(host.call("GET", &path, &[], "").await.problem().0);
                }
                codes
            }));
        }
    }
    let mut codes = BTreeMap::new();
    for caller in callers {
        for code in caller.await.expect("the caller ran to its end") {
            *codes.entry(code).or_default() += 1;
        }
    }
    (codes, started.elapsed().as_secs_f64())
}

/// Guards against a limit that applies to each host instead of the fleet, and against one that is
/// too low for callers whose requests all reach the same host.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn rate_limit_holds_for_the_fleet() {
    const LIMIT_PER_S: u32 = 40;
    let desk = desk().await;
    // Number of hosts in the fleet, and of those with callers.
    for (in_fleet, with_callers) in [(1, 1), (2, 1), (2, 2)] {
        let store = FakeStore::with_catalogue(&[], &[&desk]).await;
        set_entry(&store, "few", "desk", "read", (LIMIT_PER_S, UNLIMITED, 0));
        let fleet = hosts(&store, in_fleet).await;
        let time = Duration::from_secs(4);
        let (codes, seconds) = send_load(&fleet[..with_callers], "/few", time).await;
        let admitted = codes.get(&0).copied().unwrap_or(0);
        let limit = f64::from(LIMIT_PER_S);
        println!("{in_fleet} hosts, {with_callers} with callers: {codes:?} in {seconds:.2} s");
        let most = limit * (seconds + 1.0) + 1.0;
        // The owner grants nothing for 1 s, and the last second's grant may not be used up yet.
        let least = limit * (time.as_secs_f64() - 2.0);
        let case = format!("{in_fleet} hosts, {with_callers} with callers: {admitted}");
        assert!(f64::from(admitted) <= most, "{case} above {most}");
        assert!(f64::from(admitted) >= least, "{case} below {least}");
        assert!(
            codes.keys().all(|code| [0, 2001].contains(code)),
            "{codes:?}"
        );
    }
}

/// A request over a limit must be refused with the code of that limit, and an order with the
/// outcome `unknown`, since an earlier request with its key may have run.
#[tokio::test]
async fn request_over_limit_gets_its_code() {
    let may_end = Arc::new(AtomicBool::new(false));
    let held = Arc::clone(&may_end);
    let desk = Fake::spawn(move |_, call| {
        let mut steps = vec![Step::Hold(Arc::clone(&held))];
        steps.extend(plain(call, 200, ""));
        steps
    })
    .await;
    let llm = engine(|_, c| stream(c, 2)).await;
    let store = FakeStore::with_catalogue(&[&llm], &[&desk]).await;
    // A chat request of these tests has 2 prompt words and `max_tokens` 8.
    set_entry(
        &store,
        "rare-chat",
        "llm",
        "chat",
        (1, UNLIMITED, UNLIMITED),
    );
    set_entry(
        &store,
        "short-chat",
        "llm",
        "chat",
        (UNLIMITED, UNLIMITED, 10),
    );
    set_entry(&store, "no-chat", "llm", "chat", (UNLIMITED, UNLIMITED, 9));
    set_entry(&store, "one-read", "desk", "read", (UNLIMITED, 1, 0));
    set_entry(&store, "one-order", "desk", "order", (UNLIMITED, 1, 0));
    let host = Arc::new(store.daemon("").await);
    let calls: [(&str, usize, u64, &str); 5] = [
        ("rare-chat", 1, 2001, "not_run"),
        ("short-chat", 1, 2003, "not_run"),
        ("no-chat", 0, 2003, "not_run"),
        ("one-read", 1, 2002, "not_run"),
        ("one-order", 1, 2002, "unknown"),
    ];
    for (name, admitted, code, outcome) in calls {
        let mut first = Vec::new();
        for _ in 0..admitted {
            let running = Arc::clone(&host);
            let before = desk.calls.lock().unwrap().len();
            let task = tokio::spawn(async move { call(&running, name, "k1").await });
            if name.ends_with("-chat") {
                assert_eq!(task.await.unwrap().status, 200, "{name}");
            } else {
                until("dispatch", || desk.calls.lock().unwrap().len() > before).await;
                first.push(task);
            }
        }
        let refused = call(&host, name, "k2").await;
        assert_eq!(refused.problem(), (code, outcome.to_owned()), "{name}");
        assert_eq!(refused.status, 429, "{name}");
        // Waiting does not help a request that exceeds a whole second of the limit.
        let waits = refused.headers.contains_key("retry-after");
        assert_eq!(waits, admitted > 0, "{name}");
        // State of an entry lasts while it is in use, and is dropped a minute later.
        let later_ms = boot_ms() + UNUSED_AFTER_MS;
        host.host.quotas.prune(later_ms);
        assert_eq!(host.host.quotas.len(), first.len(), "{name}");
        may_end.store(true, Ordering::SeqCst);
        for task in first {
            assert_eq!(task.await.unwrap().status, 200, "{name}");
            // The slot was released with the first request.
            until("released slot", || host.host.attempts.is_empty()).await;
            assert_eq!(call(&host, name, "k3").await.status, 200, "{name}");
        }
        may_end.store(false, Ordering::SeqCst);
    }
    let later_ms = boot_ms() + UNUSED_AFTER_MS;
    host.host.quotas.prune(later_ms);
    assert!(host.host.quotas.is_empty());
    host.host.owned_quotas.prune(|_| true, later_ms);
    assert!(host.host.owned_quotas.is_empty());
}

async fn call(host: &Running, name: &str, key: &str) -> Reply {
    let path = format!("/{name}");
    match name.rsplit('-').next() {
        Some("chat") => {
            let body = chat_body(name, false);
            host.call("POST", "/v1/chat/completions", &[], body).await
        }
        Some("order") => {
            let headers = [("idempotency-key", key)];
            host.call("POST", &path, &headers, "a").await
        }
        _ => host.call("GET", &path, &[], "").await,
    }
}

/// What the owner of an entry does.
#[derive(Debug, Clone, Copy)]
enum Owner {
    /// Grants all requested amounts.
    Grants,
    /// Grants everything, after most of the time for which a request waits at first.
    GrantsSlowly,
    /// Responds that it does not grant yet.
    NotYetGranting,
    /// Responds with an error.
    Fails,
    /// Accepts the connection and never responds.
    Silent,
    /// Has stopped, so that its connections are refused.
    Gone,
}

/// If the owner of a limit is lost, a request must neither wait for it beyond the time limit nor be
/// refused because of the loss. The host's equal share of the limit applies instead.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn lost_owner_leaves_equal_share() {
    const LIMIT_PER_S: u32 = 20;
    let desk = desk().await;
    let owners = [
        Owner::Grants,
        Owner::GrantsSlowly,
        Owner::NotYetGranting,
        Owner::Fails,
        Owner::Silent,
        Owner::Gone,
    ];
    for owner in owners {
        let store = FakeStore::with_catalogue(&[], &[&desk]).await;
        let names: Vec<String> = (0..16).map(|i| format!("few{i}")).collect();
        for name in &names {
            set_entry(&store, name, "desk", "read", (LIMIT_PER_S, UNLIMITED, 0));
        }
        let text = store.fleet(2);
        let settings = Settings::parse("test", &text).unwrap();
        let listener = TcpListener::bind(settings.hosts["entry-2"].peers)
            .await
            .unwrap();
        let calls = Arc::new(AtomicU64::new(0));
        let counted = Arc::clone(&calls);
        let peer = match owner {
            Owner::Silent | Owner::Gone => tokio::spawn(async move {
                let mut open = Vec::new();
                while let Ok(connection) = listener.accept().await {
                    open.push(connection);
                }
            }),
            _ => peer_calls::serve(listener, move |path, body| {
                if path != wire::QUOTA {
                    return None;
                }
                counted.fetch_add(1, Ordering::SeqCst);
                let request: QuotaRequest = wire::decode(body).unwrap();
                let amounts = QuotaAmounts {
                    requests: request.requests,
                    tokens: request.tokens,
                    slots: request.slots_in_use + request.slots,
                    valid_ms: 1_000,
                };
                if matches!(owner, Owner::GrantsSlowly) {
                    std::thread::sleep(Duration::from_millis(GRANT_WAIT_MS * 7 / 10));
                }
                match owner {
                    Owner::Grants | Owner::GrantsSlowly => {
                        wire::encode(&QuotaGrant::Granted(amounts)).ok()
                    }
                    Owner::NotYetGranting => wire::encode(&QuotaGrant::NotBefore(1_000)).ok(),
                    Owner::Fails | Owner::Silent | Owner::Gone => None,
                }
            }),
        };
        let host = Arc::new(start(&text, "entry-1", |_| {}).await);
        until("the catalogue", || host.host.is_joined()).await;
        let heartbeats = tokio::spawn(send_heartbeats(settings.hosts["entry-1"].peers));
        let live = || host.host.peers.live().len() == 2;
        until("the owner as a member", live).await;
        let is_owned = |name: &&String| host.host.peers.owner(name).as_deref() == Some("entry-2");
        let name = names.iter().find(is_owned).unwrap();
        let path = format!("/{name}");
        if matches!(owner, Owner::Gone) {
            heartbeats.abort();
            peer.abort();
            until("end of the owner", || {
                heartbeats.is_finished() && peer.is_finished()
            })
            .await;
        }
        assert_eq!(
            host.call("GET", &path, &[], "").await.status,
            200,
            "{owner:?}"
        );
        let fleet = [Arc::clone(&host)];
        let (codes, seconds) = send_load(&fleet, &path, Duration::from_millis(1_500)).await;
        let admitted = f64::from(codes[&0]);
        println!("{owner:?}: {codes:?} in {seconds:.2} s");
        let is_member = !matches!(owner, Owner::Gone);
        assert_eq!(live(), is_member, "{owner:?}: still a member");
        let limit = f64::from(LIMIT_PER_S);
        match owner {
            Owner::Grants => {
                assert!(admitted > limit * (seconds + 1.0), "{codes:?}");
                assert!(calls.load(Ordering::SeqCst) > 0);
            }
            // A second call that a request needs must not have it refused, as no limit is used up.
            Owner::GrantsSlowly => assert!(codes.keys().all(|code| *code == 0), "{codes:?}"),
            // The last host of the fleet owns the whole limit.
            Owner::Gone => {
                let most = limit * (seconds + 1.0) + 1.0;
                assert!(admitted <= most, "{codes:?} above {most}");
                assert!(admitted >= limit, "{codes:?}");
            }
            Owner::NotYetGranting | Owner::Fails | Owner::Silent => {
                let most = limit / 2.0 * (seconds + 1.0) + 1.0;
                assert!(admitted <= most, "{owner:?}: {codes:?} above {most}");
                assert!(admitted >= limit / 2.0, "{owner:?}: {codes:?}");
            }
        }
        heartbeats.abort();
        peer.abort();
    }
}

/// Sends heartbeats of entry-2 to the host at `peers` until the task is aborted.
async fn send_heartbeats(peers: std::net::SocketAddr) {
    let calls = PeerCalls::default();
    for counter in 1.. {
        let digest = Digest {
            sender: "entry-2".to_owned(),
            running_suspects: Vec::new(),
            records: vec![Record {
                name: "entry-2".to_owned(),
                incarnation: 1,
                counter,
                leaving: false,
            }],
            store_seen_ms_ago: None,
            suspects: Vec::new(),
        };
        let push = GossipState::new(2, 0).push(0);
        let request = ExchangeRequest { digest, push };
        let request = wire::encode(&request).expect("an encodable message");
        // The next heartbeat replaces a lost one.
        let _ = calls.call(peers, wire::EXCHANGE, request).await;
        sleep(Duration::from_millis(200)).await;
    }
}

/// Guards against slots that each host counts on its own, slots that are not released with their
/// request, and a limit that does not follow the catalogue.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn concurrency_limit_holds_for_two_hosts() {
    const LIMIT: usize = 4;
    let may_end = Arc::new(AtomicBool::new(false));
    let held = Arc::clone(&may_end);
    let desk = Fake::spawn(move |_, call| {
        let mut steps = Vec::new();
        if call.target.starts_with("/slow") {
            steps.push(Step::Hold(Arc::clone(&held)));
        }
        steps.extend(plain(call, 200, ""));
        steps
    })
    .await;
    let store = FakeStore::with_catalogue(&[], &[&desk]).await;
    let set_limit = |limit: usize| {
        let limits = (UNLIMITED, limit as u32, 0);
        set_entry(&store, "slow", "desk", "read", limits)
    };
    set_limit(LIMIT);
    let fleet = hosts(&store, 2).await;
    // All requests go to one host until it uses the whole limit.
    let mut requests = fill(&fleet[0], &desk, LIMIT).await;
    for host in &fleet {
        let refused = host.call("GET", "/slow", &[], "").await;
        assert_eq!(refused.problem(), (2002, "not_run".to_owned()));
    }
    let version = set_limit(LIMIT + 1);
    for host in &fleet {
        let active_version = || host.host.catalogue.snapshot().version("entry/slow");
        until("new limit", || active_version() == version).await;
    }
    requests.extend(fill(&fleet[1], &desk, LIMIT + 1).await);
    let refused = fleet[0].call("GET", "/slow", &[], "").await;
    assert_eq!(refused.problem(), (2002, "not_run".to_owned()));
    may_end.store(true, Ordering::SeqCst);
    for request in requests {
        assert_eq!(request.await.unwrap().status, 200);
    }
    may_end.store(false, Ordering::SeqCst);
    // The other host can now use the whole limit.
    let ended = desk.count("GET", "/slow");
    let requests = fill(&fleet[1], &desk, ended + LIMIT + 1).await;
    may_end.store(true, Ordering::SeqCst);
    for request in requests {
        assert_eq!(request.await.unwrap().status, 200);
    }
}

/// Sends requests that stay in flight on `desk` until it has received `total` of them; refused ones
/// are retried.
async fn fill(host: &Arc<Running>, desk: &Fake, total: usize) -> Vec<JoinHandle<Reply>> {
    let count = || desk.count("GET", "/slow");
    let deadline = Instant::now() + Duration::from_secs(20);
    let mut requests = Vec::new();
    while count() < total {
        assert!(Instant::now() < deadline, "{} of {total}", count());
        let before = count();
        let host = Arc::clone(host);
        let next = tokio::spawn(async move { host.call("GET", "/slow", &[], "").await });
        until("dispatch or refusal", || {
            count() > before || next.is_finished()
        })
        .await;
        if count() > before {
            requests.push(next);
        }
    }
    requests
}

/// Guards against refusals far below a limit when the entry's owner starts to grant with an empty
/// bucket.
#[tokio::test]
async fn owner_starts_without_refusals() {
    let desk = desk().await;
    let store = FakeStore::with_catalogue(&[], &[&desk]).await;
    set_entry(&store, "many", "desk", "read", (10_000, UNLIMITED, 0));
    let fleet = hosts(&store, 1).await;
    let time = Duration::from_millis(1_500);
    let started = Instant::now();
    while started.elapsed() < time {
        let reply = fleet[0].call("GET", "/many", &[], "").await;
        assert_eq!(reply.status, 200, "{reply:?} after {:?}", started.elapsed());
    }
}
