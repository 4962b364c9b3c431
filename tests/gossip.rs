//! Gossip of object versions between peers.

use yuccacove::gossip::{DIGEST_BYTES, GossipState, Item, push_count};
use yuccacove::membership::{EXCHANGE_RECORDS, Members, PlatformHost, PlatformState};

const HOSTS: usize = 350;
const ROUND_MS: u64 = 500;
const BOUND_MS: u64 = 8_000;
const BOUND_BYTES_PER_S: u64 = 10_000;
/// Maximum size of a membership record (name, incarnation, counter and flag) in bincode.
const RECORD_BYTES: usize = 32;

fn item(key: &str, version: u64, bytes: usize) -> Item {
    Item {
        key: key.into(),
        version,
        value: Some("x".repeat(bytes)),
    }
}

/// Returns each host's membership view of a fleet in which all hosts are live.
fn views(hosts: usize) -> Vec<Members> {
    let names: Vec<String> = (0..hosts).map(|i| format!("{i}")).collect();
    let list: Vec<PlatformHost> = names
        .iter()
        .map(|name| PlatformHost {
            name: name.clone(),
            state: PlatformState::Live,
            age_ms: 0,
        })
        .collect();
    let zones = ["a", "b", "c", "d", "e"];
    let view = |own: &String| {
        let settings = names
            .iter()
            .enumerate()
            .map(|(i, n)| (n.as_str(), zones[i % 5]));
        let mut view = Members::new(own, 1, settings).expect("own name in settings");
        view.set_platform_hosts(&list, 0);
        view
    };
    names.iter().map(view).collect()
}

/// Simulated hosts that gossip in virtual time.
struct Fleet<'a> {
    hosts: Vec<GossipState>,
    members: &'a [Members],
    sent: Vec<u64>,
    seed: u64,
    lost_percent: u64,
}

impl<'a> Fleet<'a> {
    fn new(members: &'a [Members], seed: u64) -> Self {
        let hosts = members.len();
        let mut state = GossipState::new(hosts, 0);
        for i in 0..200 {
            state.load(item(&format!("engine/{i}"), i, 300));
        }
        Self {
            hosts: vec![state; hosts],
            members,
            sent: vec![0; hosts],
            seed,
            lost_percent: 10,
        }
    }

    fn random(&mut self) -> u64 {
        self.seed = self
            .seed
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        self.seed >> 16
    }

    /// Counts the bytes of a sent message. Returns whether the message is delivered.
    fn send(&mut self, from: usize, bytes: usize) -> bool {
        self.sent[from] += bytes as u64;
        self.random() % 100 >= self.lost_percent
    }

    fn round(&mut self, now_ms: u64) {
        for from in 0..self.hosts.len() {
            let seed = self.random();
            let peers: Vec<usize> = self.members[from]
                .exchange_peers(seed, 0)
                .iter()
                .filter_map(|p| p.parse().ok())
                .collect();
            for to in peers {
                self.exchange(from, to, now_ms);
            }
        }
    }

    fn exchange(&mut self, from: usize, to: usize, now_ms: u64) {
        let push = self.hosts[from].push(now_ms);
        if !self.send(from, push.bytes()) {
            return;
        }
        let seed = self.random();
        let (reply, _) = self.hosts[to].handle_push(push.clone(), seed, now_ms);
        if !self.send(to, reply.bytes()) {
            return;
        }
        let (Some(pull), _) = self.hosts[from].handle_reply(&push, reply, now_ms) else {
            return;
        };
        if !self.send(from, pull.bytes()) {
            return;
        }
        let (items, _) = self.hosts[to].handle_pull(pull, now_ms);
        if items.items.is_empty() || !self.send(to, items.bytes()) {
            return;
        }
        self.hosts[from].handle_items(items);
    }

    /// Runs rounds until all hosts have the same versions. Returns the elapsed time in ms, or
    /// `None` if that takes longer than `end_ms`.
    fn converge(&mut self, end_ms: u64) -> Option<u64> {
        for now_ms in (0..end_ms).step_by(ROUND_MS as usize) {
            self.round(now_ms);
            let first = self.hosts[0].bucket_hashes();
            if self.hosts.iter().all(|host| host.bucket_hashes() == first) {
                return Some(now_ms + ROUND_MS);
            }
        }
        None
    }

    fn most_bytes_per_s(&self, elapsed_ms: u64) -> u64 {
        self.sent.iter().max().expect("at least one host") * 1_000 / elapsed_ms
    }
}

/// Guards goal G9: a change that one host knows reaches all hosts in time and within the byte
/// limit, while the store is unavailable and messages are lost.
#[test]
fn spread_350_hosts() {
    const { assert!(EXCHANGE_RECORDS * RECORD_BYTES <= DIGEST_BYTES) };
    let views = views(HOSTS);
    let mut slowest_ms = 0;
    for seed in 1..=20 {
        let mut fleet = Fleet::new(&views, seed);
        fleet.hosts[seed as usize * 7].apply(item("engine/3", 1_000, 300));
        let took_ms = fleet
            .converge(BOUND_MS)
            .expect("the change reaches all hosts within 8 s");
        let mean = fleet.sent.iter().sum::<u64>() * 1_000 / took_ms / HOSTS as u64;
        let most = fleet.most_bytes_per_s(took_ms);
        println!("seed {seed}: {took_ms} ms, {mean} bytes per host and second, most {most}");
        assert!(mean <= BOUND_BYTES_PER_S);
        slowest_ms = slowest_ms.max(took_ms);
    }
    println!("slowest of 20 seeds: {slowest_ms} ms");
}

/// Guards against exceeding the byte limit when a whole catalogue changes at once, and against
/// losing changes that exceed what may be pushed.
#[test]
fn spread_burst() {
    const WINDOW_MS: u64 = 10_000;
    let views = views(HOSTS);
    let mut fleet = Fleet::new(&views, 5);
    for i in 0..50 {
        fleet.hosts[9].apply(item(&format!("engine/{i}"), 1_000 + i, 300));
    }
    let mut most = 0;
    let mut converged_ms = None;
    for now_ms in (0..3 * WINDOW_MS).step_by(ROUND_MS as usize) {
        fleet.round(now_ms);
        let first = fleet.hosts[9].bucket_hashes();
        if fleet.hosts.iter().all(|host| host.bucket_hashes() == first) {
            converged_ms = converged_ms.or(Some(now_ms + ROUND_MS));
        }
        if (now_ms + ROUND_MS).is_multiple_of(WINDOW_MS) {
            most = most.max(fleet.most_bytes_per_s(WINDOW_MS));
            fleet.sent.fill(0);
        }
    }
    println!(
        "50 changes: all hosts after {converged_ms:?} ms, most bytes per host and second {most}"
    );
    assert!(most <= BOUND_BYTES_PER_S, "{most}");
    assert!(converged_ms.is_some());
}

/// Guards against replacing a newer version by an older one, and against undoing a deletion.
#[test]
fn apply_keeps_newest() {
    let deleted = Item {
        value: None,
        ..item("entry/x", 6, 0)
    };
    let mut state = GossipState::new(7, 0);
    for (item, is_update) in [
        (item("entry/x", 5, 1), true),
        (item("entry/x", 5, 1), false),
        (item("entry/x", 4, 1), false),
        (deleted.clone(), true),
        (item("entry/x", 5, 1), false),
    ] {
        assert_eq!(state.apply(item), is_update);
    }
    assert_eq!(state.items().collect::<Vec<_>>(), [&deleted]);
}

/// Guards against pushing an item for ever, and against continuing to push an item that peers
/// already have.
#[test]
fn push_is_bounded() {
    let mut state = GossipState::new(HOSTS, 0);
    state.apply(item("entry/x", 5, 100));
    let pushed = (0..100).filter(|i| !state.push(i * ROUND_MS).items.is_empty());
    assert_eq!(pushed.count(), 12, "log2(350) rounded up, plus 3");
    assert_eq!(push_count(7), 6);

    let later_ms = 100_000;
    let mut peer = state.clone();
    peer.apply(item("entry/y", 6, 100));
    state.apply(item("entry/y", 6, 100));
    let push = state.push(later_ms);
    let (reply, updates) = peer.handle_push(push.clone(), 0, later_ms);
    assert_eq!(
        (reply.known.len(), reply.items.len(), updates.len()),
        (1, 0, 0)
    );
    state.handle_reply(&push, reply, later_ms);
    let left = (0..100).filter(|i| !state.push(later_ms + i * ROUND_MS).items.is_empty());
    assert_eq!(
        left.count(),
        8,
        "12 minus the push, minus 3 for the peer that had the item"
    );
}

/// Guards against items that are missing on either side and that no host pushes: the pull must
/// transfer them without the store.
#[test]
fn pull_transfers_missing_items() {
    let views = views(2);
    let mut fleet = Fleet::new(&views, 1);
    fleet.lost_percent = 0;
    fleet.hosts[0].load(item("owner/a", 900, 50));
    fleet.hosts[1].load(item("owner/b", 901, 50));
    fleet.hosts[1].load(item("engine/1", 902, 50));
    assert!(fleet.converge(60_000).is_some());
}
