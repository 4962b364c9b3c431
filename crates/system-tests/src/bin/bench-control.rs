//! Measures how long changes by operators take to become active on all hosts, how long a lease
//! takes to fail over, and the rate of calls to the store.

use std::time::{Duration, Instant};

use serde_json::{Value, json};
use system_tests::{Fleet, FleetSize, MODEL, fault, wait_for};

const SIZE: FleetSize = FleetSize {
    hosts: 7,
    engines: 12,
    servers: 4,
    decode_tokens_per_s: 700,
};
const ATTEMPTS: usize = 50;
const FAILOVERS: usize = 5;
/// Length of a measurement of the store calls of an idle fleet.
const IDLE_TIME: Duration = Duration::from_secs(30);

fn main() {
    let mut fleet = Fleet::spawn("bench-control", SIZE);
    println!(
        "{} hosts, {} engines, {} servers",
        SIZE.hosts, SIZE.engines, SIZE.servers
    );
    store_calls(&fleet, "while idle", || {
        std::thread::sleep(IDLE_TIME);
    });
    let mut drains = Vec::new();
    store_calls(&fleet, "during sequential drains", || {
        drains = (0..ATTEMPTS)
            .map(|attempt| drain(&fleet, attempt))
            .collect();
    });
    report(
        "drain or undrain by yuccactl, active on all hosts",
        3_000,
        drains,
    );
    let propagation = (0..ATTEMPTS)
        .map(|_| propagate_without_store(&fleet))
        .collect();
    report(
        "change announced to one host, store down, active on all hosts",
        8_000,
        propagation,
    );
    let failovers = (0..FAILOVERS).map(|_| fail_over(&mut fleet)).collect();
    report(
        "kill -9 of the lease holder, lease held by another host",
        10_000,
        failovers,
    );
    store_calls(&fleet, "while idle after the failovers", || {
        std::thread::sleep(IDLE_TIME);
    });
}

/// Drains or undrains an engine and waits until each host has applied the new version.
fn drain(fleet: &Fleet, attempt: usize) -> Duration {
    let engine = format!("engine-{}", attempt / 2 % SIZE.engines + 1);
    let command = if attempt.is_multiple_of(2) {
        "drain"
    } else {
        "undrain"
    };
    let started = Instant::now();
    let (code, output) = fleet.yuccactl(&[command, &engine]);
    assert_eq!(code, 0, "{output}");
    let key = format!("engine/{engine}");
    let version = stored_object(fleet, &key).0;
    wait_active(fleet, &key, version);
    started.elapsed()
}

/// Announces a change to one host while the store is down and waits until each host has applied it.
/// This simulates a store that fails just after it accepted the change.
fn propagate_without_store(fleet: &Fleet) -> Duration {
    let key = "owner/yard-foremen";
    let (_, value) = stored_object(fleet, key);
    let version = revision(fleet) + 1;
    fleet.fault("store", &fault("down"));
    let announcement = json!({ "key": key, "version": version, "value": value });
    let started = Instant::now();
    let host = fleet.address("entry-1-operators");
    let response = fleet.caller.post(host, "/v1/announce", &announcement);
    assert_eq!(response.expect("no response from the host").status, 200);
    wait_active(fleet, key, version);
    let elapsed = started.elapsed();
    fleet.fault("store", &fault("none"));
    // The store never wrote the announced version. Further writes move its revision past it, so
    // that the next change has a higher version.
    while revision(fleet) <= version {
        let (code, output) = fleet.yuccactl(&["drain", "server-1"]);
        assert_eq!(code, 0, "{output}");
        let (code, output) = fleet.yuccactl(&["undrain", "server-1"]);
        assert_eq!(code, 0, "{output}");
    }
    elapsed
}

/// Kills the control process that holds the lease of the engines and waits until another one holds
/// it.
fn fail_over(fleet: &mut Fleet) -> Duration {
    let holder = lease_holder(fleet);
    let index: usize = holder
        .rsplit('-')
        .next()
        .and_then(|n| n.parse().ok())
        .expect("the holder has no host number");
    fleet.process(&format!("control-{index}")).kill();
    let started = Instant::now();
    wait_for("another lease holder", || {
        (self::lease_holder(fleet) != holder).then_some(())
    });
    let elapsed = started.elapsed();
    fleet.start_control(index);
    elapsed
}

fn lease_holder(fleet: &Fleet) -> String {
    let (_, lease) = stored_object(fleet, &format!("lease/{MODEL}"));
    lease["holder"].as_str().unwrap_or_default().to_owned()
}

/// Reads the version and value of an object from the store.
fn stored_object(fleet: &Fleet, key: &str) -> (u64, Value) {
    let path = format!("/v1/objects/{key}");
    let response = fleet.caller.get(fleet.address("store"), &path);
    let body = response.expect("no response from the store").body;
    (body["version"].as_u64().unwrap_or(0), body["value"].clone())
}

/// Reads the current revision of the store.
fn revision(fleet: &Fleet) -> u64 {
    let response = fleet
        .caller
        .get(fleet.address("store"), "/v1/objects?prefix=owner/");
    response.expect("no response from the store").body["revision"]
        .as_u64()
        .unwrap_or(0)
}

/// Waits until each host has applied `version` of the object, or a later one.
fn wait_active(fleet: &Fleet, key: &str, version: u64) {
    for index in 1..=SIZE.hosts {
        let address = fleet.address(&format!("entry-{index}-operators"));
        wait_for("a version to become active", || {
            let state = fleet.caller.get(address, "/v1/state").ok()?;
            let active = state.body["versions"][key].as_u64()?;
            (active >= version).then_some(())
        });
    }
}

/// Prints the calls per second that the store counted during `action`, by kind.
fn store_calls(fleet: &Fleet, name: &str, action: impl FnOnce()) {
    let before = fleet.stats("store");
    let started = Instant::now();
    action();
    let seconds = started.elapsed().as_secs_f64();
    let after = fleet.stats("store");
    let calls: Vec<String> = after["calls"]
        .as_object()
        .or_else(|| after.as_object())
        .into_iter()
        .flatten()
        .filter_map(|(kind, count)| {
            let earlier = before["calls"][kind]
                .as_u64()
                .or_else(|| before[kind].as_u64());
            let calls = count.as_u64()? - earlier.unwrap_or(0);
            (calls > 0).then(|| format!("{kind} {:.1}", calls as f64 / seconds))
        })
        .collect();
    println!(
        "store calls per second {name} ({seconds:.0} s): {}",
        calls.join(", ")
    );
}

/// Prints the quantiles of `times` and whether the maximum meets the target.
fn report(name: &str, target_ms: u128, mut times: Vec<Duration>) {
    times.sort_unstable();
    let at = |quantile: f64| times[((times.len() - 1) as f64 * quantile) as usize].as_millis();
    let max = at(1.0);
    let result = if max <= target_ms { "met" } else { "NOT MET" };
    println!(
        "{name}: {} attempts, p50 {} ms, p90 {} ms, max {max} ms; target {target_ms} ms {result}",
        times.len(),
        at(0.5),
        at(0.9),
    );
}
