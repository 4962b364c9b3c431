//! Prints how the library's memory, time and traffic grow with the size of the fleet, with a linear
//! fit for each:
//! `cargo run --release --example capacity`.

use std::env;
use std::fs;
use std::hint::black_box;
use std::process::Command;
use std::time::Instant;

use indexmap::IndexMap;
use serde_json::{Value, json};
use yuccacove::catalogue::{Catalogue, Object, Role};
use yuccacove::claim::{Claim, Key, Response, SLOT_MAX_BYTES, SLOTS, Slot, State, fingerprint};
use yuccacove::gossip::{GossipState, Item};
use yuccacove::limits::{RateOwner, SlotOwner};
use yuccacove::membership::{Members, PlatformHost, PlatformState};
use yuccacove::roles::{Demand, DemandEstimate, PlanInput, PoolEngine, plan};
use yuccacove::store::Token;

const HOST_COUNTS: [usize; 4] = [7, 50, 150, 350];
const ENGINE_COUNTS: [usize; 4] = [30, 100, 300, 930];
const ORGANISATIONS: [usize; 4] = [50, 200, 500, 950];
const ENTRIES_PER_ORGANISATION: usize = 3;
/// Catalogue objects of the target fleet: 930 engines, and 950 organisations with one owner and
/// their entries each.
const TARGET_OBJECTS: usize = 930 + 950 * (1 + ENTRIES_PER_ORGANISATION);
const OBJECT_BYTES: usize = 300;
const ROUND_MS: u64 = 500;
/// Gossip rounds per measurement, which cover 4 changes at 3,200 changes a day.
const EXCHANGE_ROUNDS: u64 = 216;
const CHANGES_PER_DAY: u64 = 3_200;
const DAY_MS: u64 = 86_400_000;
/// Objects that change at once in a burst, as when every engine is edited.
const BURST_OBJECTS: usize = 930;
const REPEATS: usize = 9;
/// Catalogues held in memory at once while their memory is measured.
const COPIES: usize = 50;
/// Orders from callers at the target: 5% of 2,900 requests a second.
const ORDERS_PER_S: f64 = 145.0;
/// Retention of a claim, including the allowance for clock skew.
const CLAIM_RETENTION_S: f64 = 87_000.0;
/// Retention of the response of an ended claim.
const RESPONSE_RETENTION_S: f64 = 3_600.0;

fn main() {
    let arguments: Vec<String> = env::args().collect();
    if let [_, kind, index] = &arguments[..] {
        return print_memory(kind, index.parse().expect("index of a size"));
    }
    measure_exchange();
    measure_catalogue();
    measure_planning();
    measure_limits();
    measure_claims();
}

/// Measures membership and gossip exchanges between all hosts, in virtual time.
fn measure_exchange() {
    let mut steady = Fit::new(
        "exchange at 3,200 changes a day, bytes per host and s",
        "hosts",
    );
    let mut burst = Fit::new(
        "exchange in a burst of 930 objects, bytes per host and s",
        "hosts",
    );
    let mut steady_us = Fit::new("exchange at 3,200 changes a day, us per exchange", "hosts");
    let mut burst_us = Fit::new(
        "exchange in a burst of 930 objects, us per exchange",
        "hosts",
    );
    let mut propagation = Fit::new("longest time until a change reaches all hosts, ms", "hosts");
    let mut memory = Fit::new("membership and gossip state of one host, kB", "hosts");
    for (index, hosts) in HOST_COUNTS.into_iter().enumerate() {
        memory.add_point(hosts, memory_kb("exchange", index));
        let mut fleet = Fleet::new(hosts);
        let change_interval_ms = DAY_MS / CHANGES_PER_DAY;
        let mut next_change_ms = 0;
        let mut version = TARGET_OBJECTS as u64;
        let mut slowest_ms: f64 = 0.0;
        let mut changed_ms = None;
        let started = Instant::now();
        for round in 0..EXCHANGE_ROUNDS {
            let now_ms = round * ROUND_MS;
            if now_ms >= next_change_ms {
                version += 1;
                fleet.gossip[round as usize % hosts].apply(item(3, version));
                next_change_ms += change_interval_ms;
                changed_ms = Some(now_ms);
            }
            fleet.run_round(now_ms);
            if changed_ms.is_some() && fleet.is_consistent() {
                let elapsed_ms = now_ms + ROUND_MS - changed_ms.take().unwrap_or(now_ms);
                slowest_ms = slowest_ms.max(elapsed_ms as f64);
            }
        }
        let elapsed_s = (EXCHANGE_ROUNDS * ROUND_MS) as f64 / 1e3;
        steady.add_point(hosts, fleet.sent_bytes as f64 / hosts as f64 / elapsed_s);
        steady_us.add_point(
            hosts,
            started.elapsed().as_secs_f64() * 1e6 / fleet.exchanges as f64,
        );
        propagation.add_point(hosts, slowest_ms);

        let rounds = 20;
        (fleet.sent_bytes, fleet.exchanges) = (0, 0);
        for index in 0..BURST_OBJECTS {
            fleet.gossip[0].apply(item(index, version + 1 + index as u64));
        }
        let started = Instant::now();
        for round in EXCHANGE_ROUNDS..EXCHANGE_ROUNDS + rounds {
            fleet.run_round(round * ROUND_MS);
        }
        let elapsed_s = (rounds * ROUND_MS) as f64 / 1e3;
        burst.add_point(hosts, fleet.sent_bytes as f64 / hosts as f64 / elapsed_s);
        burst_us.add_point(
            hosts,
            started.elapsed().as_secs_f64() * 1e6 / fleet.exchanges as f64,
        );
    }
    for fit in [steady, burst, steady_us, burst_us, propagation, memory] {
        fit.print();
    }
}

/// All hosts of a fleet, which exchange state in virtual time without message loss.
struct Fleet {
    members: Vec<Members>,
    gossip: Vec<GossipState>,
    sent_bytes: usize,
    exchanges: u64,
    seed: u64,
}

impl Fleet {
    fn new(hosts: usize) -> Self {
        let names: Vec<String> = (0..hosts).map(|i| format!("entry-{i}")).collect();
        let zones = ["a", "b", "c", "d", "e"];
        let list: Vec<PlatformHost> = names
            .iter()
            .map(|name| PlatformHost {
                name: name.clone(),
                state: PlatformState::Live,
                age_ms: 0,
            })
            .collect();
        let members = names.iter().map(|own_name| {
            let settings = names.iter().enumerate();
            let settings = settings.map(|(i, name)| (name.as_str(), zones[i % zones.len()]));
            let mut members = Members::new(own_name, 1, settings).expect("own name in settings");
            members.set_platform_hosts(&list, 0);
            members
        });
        let mut gossip = GossipState::new(hosts, 0);
        for index in 0..TARGET_OBJECTS {
            gossip.load(item(index, index as u64 + 1));
        }
        Self {
            members: members.collect(),
            gossip: vec![gossip; hosts],
            sent_bytes: 0,
            exchanges: 0,
            seed: 20_261_204,
        }
    }

    fn random(&mut self) -> u64 {
        self.seed = self
            .seed
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        self.seed >> 16
    }

    fn run_round(&mut self, now_ms: u64) {
        for from in 0..self.members.len() {
            self.members[from].increment_heartbeat();
            let seed = self.random();
            let peers: Vec<usize> = self.members[from]
                .exchange_peers(seed, now_ms)
                .iter()
                .filter_map(|name| name.strip_prefix("entry-")?.parse().ok())
                .collect();
            for to in peers {
                self.exchange(from, to, now_ms);
            }
        }
    }

    /// One exchange of membership records and gossip items, with the computations of both hosts.
    fn exchange(&mut self, from: usize, to: usize, now_ms: u64) {
        self.exchanges += 1;
        let seed = self.random();
        let sent_records = self.members[from].sample(seed, now_ms);
        let reply_records = self.members[to].sample(seed, now_ms);
        for record in &sent_records {
            self.members[to].receive(record, now_ms);
        }
        for record in &reply_records {
            self.members[from].receive(record, now_ms);
        }
        let push = self.gossip[from].push(now_ms);
        self.sent_bytes += push.bytes();
        let (reply, _) = self.gossip[to].handle_push(push.clone(), seed, now_ms);
        self.sent_bytes += reply.bytes();
        let (Some(pull), _) = self.gossip[from].handle_reply(&push, reply, now_ms) else {
            return;
        };
        self.sent_bytes += pull.bytes();
        let (items, _) = self.gossip[to].handle_pull(pull, now_ms);
        if !items.items.is_empty() {
            self.sent_bytes += items.bytes();
            self.gossip[from].handle_items(items);
        }
    }

    fn is_consistent(&self) -> bool {
        let first = self.gossip[0].bucket_hashes();
        self.gossip.iter().all(|host| host.bucket_hashes() == first)
    }
}

fn item(index: usize, version: u64) -> Item {
    Item {
        key: format!("engine/model-{index}"),
        version,
        value: Some("x".repeat(OBJECT_BYTES)),
    }
}

fn measure_catalogue() {
    let mut memory = Fit::new("catalogue memory, kB", "objects");
    let mut apply_us = Fit::new("catalogue: parse and apply one object, us", "objects");
    let mut clone_us = Fit::new("catalogue: copy for a snapshot, us", "objects");
    let sizes = ENGINE_COUNTS.into_iter().zip(ORGANISATIONS);
    for (index, (engines, organisations)) in sizes.enumerate() {
        let objects = objects(engines, organisations);
        let elapsed_us = median_us(|| {
            black_box(apply_all(&objects));
        });
        let catalogue = apply_all(&objects);
        memory.add_point(objects.len(), memory_kb("catalogue", index));
        apply_us.add_point(objects.len(), elapsed_us / objects.len() as f64);
        let copy_us = median_us(|| drop(black_box(catalogue.clone())));
        clone_us.add_point(objects.len(), copy_us);
    }
    for fit in [memory, apply_us, clone_us] {
        fit.print();
    }
}

fn apply_all(objects: &[(String, Value)]) -> Catalogue {
    let mut catalogue = Catalogue::default();
    for (version, (key, value)) in (1..).zip(objects) {
        let object = Object::parse(key, value).expect("valid object");
        catalogue.apply(key, version, object);
    }
    catalogue
}

fn objects(engines: usize, organisations: usize) -> Vec<(String, Value)> {
    let mut objects = Vec::new();
    for i in 0..organisations {
        let owner = json!({"organisation": format!("organisation-{i}")});
        objects.push((format!("owner/owner-{i}"), owner));
        for entry in 0..ENTRIES_PER_ORGANISATION {
            let value = json!({
                "owner": format!("owner-{i}"), "service": format!("model-{}", i % 4),
                "class": "chat", "rank": "urgent", "first_token_ms": 1500,
                "between_tokens_ms": 61, "deadline_ms": 30000, "requests_per_s": 20,
                "concurrent": 40, "tokens_per_s": 20000,
            });
            objects.push((format!("entry/organisation-{i}-{entry}"), value));
        }
    }
    for i in 0..engines {
        let value = json!({
            "service": format!("model-{}", i % 4),
            "address": format!("10.0.{}.{}:8000", i / 250, i % 250 + 1),
            "zone": format!("zone-{}", i % 5), "role": "mixed", "checks_fence": true,
        });
        objects.push((format!("engine/model-{}-{i}", i % 4), value));
    }
    objects
}

fn measure_planning() {
    let mut pass_us = Fit::new("role planning pass, us", "engines");
    for count in ENGINE_COUNTS {
        let engines: Vec<PoolEngine> = (0..count)
            .map(|i| PoolEngine {
                role: Role::ALL[i % 3],
                is_serving: true,
                checks_fence: i % 4 != 0,
                busy_s: (i * 7_919 % 1_000) as f64 / 100.0,
            })
            .collect();
        let mut estimate = DemandEstimate::new(0);
        for second in 0..600_u64 {
            let swing = 0.1 * count as f64 * (second as f64 / 60.0).sin();
            let demand = Demand {
                prefill: 0.22 * count as f64 + swing,
                decode: 0.55 * count as f64 - swing,
            };
            estimate.observe(demand, second * 1_000);
        }
        let input = PlanInput {
            now_ms: 600_000,
            holder_since_ms: 0,
            change_ms: 8_000,
        };
        let us = median_us(|| {
            black_box(plan(black_box(&engines), &estimate, input));
        });
        pass_us.add_point(count, us);
    }
    pass_us.print();
}

fn measure_limits() {
    const GRANTS: u32 = 20_000;
    let mut rate_us = Fit::new("limits: grant of a rate, us", "hosts");
    let mut slot_us = Fit::new("limits: renewal of concurrency slots, us", "hosts");
    for hosts in HOST_COUNTS {
        let names: Vec<String> = (0..hosts).map(|i| format!("entry-{i}")).collect();
        let mut rate = RateOwner::open(1_000_000, 0);
        let mut slots = SlotOwner::open(100_000, 0);
        let us = median_us(|| {
            for i in 0..GRANTS {
                black_box(rate.grant(5, 2_000 + u64::from(i) / 100));
            }
        });
        rate_us.add_point(hosts, us / f64::from(GRANTS));
        let us = median_us(|| {
            for (i, name) in (0..GRANTS).zip(names.iter().cycle()) {
                black_box(slots.renew(name, 3, 2, 2_000 + u64::from(i) / 1_000));
            }
        });
        slot_us.add_point(hosts, us / f64::from(GRANTS));
    }
    for fit in [&rate_us, &slot_us] {
        fit.print();
        println!(
            "    grants a second at {} hosts: {:.0}",
            HOST_COUNTS[3],
            1e6 / fit.last()
        );
    }
}

/// Measures the size and the processing time of claim slots by their number of claims.
fn measure_claims() {
    let mut bytes = Fit::new("claim slot without response bodies, bytes", "claims");
    let mut write_us = Fit::new("claim slot: parse, prune and serialise, us", "claims");
    for count in [100, 1_000, 4_000, 12_000] {
        let slot = slot(count, 0);
        let text = serde_json::to_string(&slot).expect("a slot is JSON");
        bytes.add_point(count, text.len() as f64);
        write_us.add_point(
            count,
            median_us(|| {
                let mut read: Slot = serde_json::from_str(&text).expect("a slot in JSON");
                read.prune(1_000_000);
                black_box(serde_json::to_string(&read).expect("a slot is JSON"));
            }),
        );
    }
    bytes.print();
    write_us.print();
    let with_responses = slot(100, 100);
    let with_responses_bytes = serde_json::to_string(&with_responses)
        .expect("a slot is JSON")
        .len() as f64;
    let response_bytes = (with_responses_bytes - bytes.value_at(100.0)) / 100.0;
    let claims = ORDERS_PER_S * CLAIM_RETENTION_S / SLOTS as f64;
    let responses = ORDERS_PER_S * RESPONSE_RETENTION_S / SLOTS as f64;
    let slot_bytes = bytes.value_at(claims) + responses * response_bytes;
    let max_orders_per_s = SLOT_MAX_BYTES as f64 * SLOTS as f64
        / (CLAIM_RETENTION_S * bytes.slope() + RESPONSE_RETENTION_S * response_bytes);
    println!("  calculated from the fit, for {SLOTS} slots and response bodies of 200 bytes:");
    println!(
        "    claims in a slot at {ORDERS_PER_S} orders/s after 24 h: {claims:.0}, of which {responses:.0} with response bodies"
    );
    println!(
        "    size of such a slot: {:.2} MB; the store's limit is 1 MB",
        slot_bytes / 1e6
    );
    println!(
        "    write traffic then, at 2 writes per order: {:.0} MB/s",
        slot_bytes * 2.0 * ORDERS_PER_S / 1e6
    );
    println!("    orders/s at which a slot reaches {SLOT_MAX_BYTES} bytes: {max_orders_per_s:.0}");
}

fn slot(claims: usize, responses: usize) -> Slot {
    let mut claims_by_name = IndexMap::new();
    for i in 0..claims {
        let key = Key::new("owner-1", "order-confirmations", &format!("t1-{i}"));
        let claim = Claim {
            fingerprint: fingerprint("POST", "/orders", format!("{i}").as_bytes()),
            token: Token(i as u64 * 0x9e37_79b9_7f4a_7c15),
            claimed_unix_ms: 1_000_000,
            state: State::Ended {
                answer: Some(Response {
                    status: 200,
                    content_type: "application/json".to_owned(),
                    body: (i < responses).then(|| "x".repeat(200)),
                }),
            },
        };
        claims_by_name.insert(key.name(), claim);
    }
    Slot {
        claims: claims_by_name,
        writer: Token(1),
    }
}

/// Median time over several repeats, because other load on a shared machine disturbs some of them.
fn median_us(mut work: impl FnMut()) -> f64 {
    let mut rounds_us: Vec<f64> = (0..REPEATS)
        .map(|_| {
            let started = Instant::now();
            work();
            started.elapsed().as_secs_f64() * 1e6
        })
        .collect();
    rounds_us.sort_by(f64::total_cmp);
    rounds_us[REPEATS / 2]
}

/// Memory in kB of one host's membership and gossip state (`kind` is `exchange`) or of one catalogue,
/// measured in a new process, because memory freed earlier would be reused and not counted.
fn memory_kb(kind: &str, index: usize) -> f64 {
    let program = env::current_exe().expect("path of this program");
    let output = Command::new(program)
        .args([kind, &index.to_string()])
        .output();
    let output = String::from_utf8(output.expect("this program runs").stdout);
    let kb = output.ok().and_then(|text| text.trim().parse().ok());
    kb.expect("a number of kB")
}

/// Prints the result of [`memory_kb`], in the process that it starts.
fn print_memory(kind: &str, index: usize) {
    let kb = if kind == "exchange" {
        let hosts = HOST_COUNTS[index];
        let before_kb = rss_kb();
        let _fleet = black_box(Fleet::new(hosts));
        (rss_kb() - before_kb) / hosts as f64
    } else {
        let objects = objects(ENGINE_COUNTS[index], ORGANISATIONS[index]);
        let before_kb = rss_kb();
        let copies: Vec<Catalogue> = (0..COPIES).map(|_| apply_all(&objects)).collect();
        black_box(&copies);
        (rss_kb() - before_kb) / COPIES as f64
    };
    println!("{kb}");
}

fn rss_kb() -> f64 {
    // VmRSS in /proc/self/status may be out of date by megabytes.
    let rollup = fs::read_to_string("/proc/self/smaps_rollup").expect("/proc");
    let line = rollup.lines().find_map(|line| line.strip_prefix("Rss:"));
    let kb = line.and_then(|line| line.split_whitespace().next());
    kb.and_then(|kb| kb.parse().ok())
        .expect("Rss in smaps_rollup")
}

/// Measured points and a least-squares line fitted to them.
struct Fit {
    label: &'static str,
    unit: &'static str,
    points: Vec<(f64, f64)>,
}

impl Fit {
    fn new(label: &'static str, unit: &'static str) -> Self {
        Self {
            label,
            unit,
            points: Vec::new(),
        }
    }

    fn add_point(&mut self, size: usize, value: f64) {
        self.points.push((size as f64, value));
    }

    fn last(&self) -> f64 {
        self.points.last().map_or(f64::NAN, |(_, value)| *value)
    }

    fn means(&self) -> (f64, f64) {
        let count = self.points.len() as f64;
        let (x, y) = self
            .points
            .iter()
            .fold((0.0, 0.0), |(x, y), p| (x + p.0, y + p.1));
        (x / count, y / count)
    }

    fn slope(&self) -> f64 {
        let (x, y) = self.means();
        let products = self.points.iter().map(|p| (p.0 - x) * (p.1 - y));
        let squares = self.points.iter().map(|p| (p.0 - x).powi(2));
        products.sum::<f64>() / squares.sum::<f64>()
    }

    fn value_at(&self, size: f64) -> f64 {
        let (x, y) = self.means();
        y + self.slope() * (size - x)
    }

    fn print(&self) {
        println!("{}", self.label);
        let points = self.points.iter();
        let points: Vec<String> = points.map(|(x, y)| format!("{x:.0}: {y:.3}")).collect();
        println!("    by {}: {}", self.unit, points.join(", "));
        println!(
            "    fit: {:.4} + {:.6} per {}",
            self.value_at(0.0),
            self.slope(),
            self.unit
        );
    }
}
