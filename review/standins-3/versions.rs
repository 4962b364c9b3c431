//! Streams that their clients take up again while engines of two software versions come and go.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use crate::client::{self, Received};
use crate::engine::Engine;
use crate::host::{Host, free_address};
use crate::record::Record;
use crate::store::Store;
use crate::{Outcome, Setting};

/// Streams with events of two versions that the rule allows.
const ALLOWED: usize = 2;

fn config(version: u64, timeout_ms: u64) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"long\",\"hostname\":\"shop.example\",\
         \"path_prefix\":\"/long/\",\"kind\":\"streaming\",\"timeout_ms\":{timeout_ms},\
         \"target_latency_ms\":1500,\"priority\":2,\"service\":\"model\",\"max_attempts\":1,\
         \"sticky\":true,\"resumable\":true,\"target_gap_ms\":150}}],\"services\":[{{\"name\":\"model\",\
         \"health_path\":\"/healthz\",\"max_conns\":360,\"protocol\":\"h1\",\"tls\":false,\
         \"engine\":{{\"slots\":64,\"kv_tokens\":400000,\"token_kv_bytes\":163840,\
         \"link_mbps\":1200000.0,\"stride\":1,\"most\":12,\"handle_ttl_s\":5.0,\"switch_s\":3.0,\
         \"models\":[{{\"name\":\"m\"}}]}}}}],\"limits\":{{\"max_header_bytes\":16384,\
         \"max_body_bytes\":100000,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}"
    )
}

/// A small deployment: a store and two hosts.
struct Deployment {
    store: Arc<Store>,
    hosts: Vec<Host>,
    record: Arc<Record>,
}

impl Deployment {
    fn start(setting: &Setting, engines: &[&Arc<Engine>]) -> Option<Self> {
        let store = Store::start();
        store.put("config", "main", &config(3, 10_000));
        for engine in engines {
            store.put("servers", &engine.id, &engine.entry("ready"));
        }
        let start = |name| Host::start(name, store.address, &setting.folder);
        let hosts: Vec<Host> = ["front-a-1", "front-a-2"].into_iter().map(start).collect();
        let deployment = Self {
            store,
            hosts,
            record: Arc::clone(&setting.record),
        };
        let is_ready = deployment.hosts.iter().all(Host::wait_ready);
        is_ready.then_some(deployment)
    }

    fn addresses(&self) -> Vec<SocketAddr> {
        self.hosts.iter().map(|host| host.callers).collect()
    }

    fn list(&self, engine: &Engine, state: &str) {
        let written = self.store.put("servers", &engine.id, &engine.entry(state));
        let outcome = if written.is_some() { "takes" } else { "is down for" };
        let line = format!("store {outcome} the entry of {} {}", engine.id, engine.version);
        self.record.line(&line);
    }

    /// Asks for streams at a steady rate until `is_over`, so that the hosts have other work.
    fn background(&self, is_over: &Arc<AtomicBool>) -> JoinHandle<Vec<Received>> {
        let (hosts, record) = (self.addresses(), Arc::clone(&self.record));
        let is_over = Arc::clone(is_over);
        thread::spawn(move || {
            let mut number = 0;
            let mut streams = Vec::new();
            while !is_over.load(Ordering::SeqCst) {
                number += 1;
                let mut hosts = hosts.clone();
                let (record, name) = (Arc::clone(&record), format!("b{number}"));
                let first = number % hosts.len();
                hosts.rotate_left(first);
                streams.push(thread::spawn(move || {
                    client::stream(&name, &hosts, 10, Duration::from_secs(2), 1, &record)
                }));
                thread::sleep(Duration::from_millis(100));
            }
            streams.into_iter().filter_map(|stream| stream.join().ok()).collect()
        })
    }

    /// Starts `count` long streams, each with its own client.
    fn long_streams(&self, count: usize, tries: u32) -> Vec<JoinHandle<Received>> {
        let start = |number: usize| {
            let mut hosts = self.addresses();
            let (record, name) = (Arc::clone(&self.record), format!("s{number}"));
            let first = number % hosts.len();
            hosts.rotate_left(first);
            thread::spawn(move || {
                client::stream(&name, &hosts, 90, Duration::from_secs(10), tries, &record)
            })
        };
        (1..=count).map(start).collect()
    }
}

/// Time after which undisturbed machines are in touch again.
const CONTACT_S: f64 = 3.0;
/// Streams that have to be taken up again for the rule to be judged.
const JUDGED: usize = 12;
/// Pauses of the clients before they take a stream up again.
const PAUSES_MS: [u64; 4] = [50, 1_000, 2_000, 3_300];

/// All hosts lose power while the store is away, beside a release to a newer software version.
pub fn hosts_lost(setting: &Setting) -> Outcome {
    let record = &setting.record;
    let start = |id: &str, version: &str| {
        Engine::start(id, "model", version, free_address(), record)
    };
    let old = [start("i-old-1", "v1"), start("i-old-2", "v1")];
    let Some(mut deployment) = Deployment::start(setting, &[&old[0], &old[1]]) else {
        return Outcome::CouldNotRun("the hosts are not ready".to_owned());
    };
    let begun_s = record.now_s();
    let at = |s: f64| wait_until(record, begun_s + s);
    at(1.0);
    let new = [start("i-new-1", "v2"), start("i-new-2", "v2")];
    new.iter().for_each(|engine| deployment.list(engine, "ready"));
    let is_over = Arc::new(AtomicBool::new(false));
    let background = deployment.background(&is_over);
    at(2.6);
    if setting.has_trouble {
        deployment.store.set_down(true);
        record.line("the store is away");
    }
    at(3.0);
    let streams = (1..=20).map(|number: usize| {
        let mut hosts = deployment.addresses();
        let (record, name) = (Arc::clone(record), format!("s{number}"));
        let first = number % hosts.len();
        hosts.rotate_left(first);
        thread::spawn(move || {
            let pauses = PAUSES_MS.map(Duration::from_millis);
            let deadline = Duration::from_secs(10);
            client::stream_with_pauses(&name, &hosts, 90, deadline, 5, &pauses, &record)
        })
    });
    let streams: Vec<_> = streams.collect();
    at(4.5);
    deployment.hosts.iter_mut().for_each(Host::kill);
    record.line("all hosts lose power");
    at(5.5);
    deployment.hosts.iter_mut().for_each(Host::restart);
    record.line("all hosts start again");
    at(6.6);
    deployment.store.set_down(false);
    record.line("the store is back");
    let touch_s = begun_s + 6.6 + CONTACT_S;
    let streams: Vec<Received> = streams.into_iter().filter_map(|s| s.join().ok()).collect();
    is_over.store(true, Ordering::SeqCst);
    let new_streams = background.join().unwrap_or_default();
    for stream in &streams {
        record.line(&format!(
            "stream {}: events={} versions={:?} complete={} taken up at {:?} refusals={:?}",
            stream.name,
            stream.events.len(),
            stream.versions(),
            stream.is_complete,
            stream.taken_up,
            stream.refusals
        ));
    }
    let is_judged = |(sent_s, _): &(f64, bool)| *sent_s >= touch_s;
    let taken_up = streams.iter().flat_map(|stream| &stream.taken_up);
    let taken_up: Vec<_> = taken_up.filter(|t| is_judged(t)).collect();
    let begun = new_streams.iter().filter_map(|stream| stream.begun.as_ref());
    let begun: Vec<_> = begun.filter(|t| is_judged(t)).collect();
    let went_on = taken_up.iter().filter(|(_, went_on)| *went_on).count();
    let began = begun.iter().filter(|(_, began)| *began).count();
    let all_went_on = streams.iter().filter(|s| s.taken_up.iter().any(|(_, on)| *on)).count();
    record.line(&format!(
        "in touch: {went_on} of {} streams that were taken up again went on, {began} of {} new ones began; \
         at any time {all_went_on} of {} went on",
        taken_up.len(),
        begun.len(),
        streams.len()
    ));
    if taken_up.len() < JUDGED {
        let is_served = all_went_on >= JUDGED;
        let cause = "too few streams were taken up again in touch".to_owned();
        return if is_served { Outcome::Held } else { Outcome::CouldNotRun(cause) };
    }
    let share = |part: usize, all: usize| part as f64 / all.max(1) as f64;
    let is_broken = share(went_on, taken_up.len()) < share(began, begun.len()) / 2.0;
    if is_broken { Outcome::Broken } else { Outcome::Held }
}

fn wait_until(record: &Record, at_s: f64) {
    let left = at_s - record.now_s();
    if left > 0.0 {
        thread::sleep(Duration::from_secs_f64(left));
    }
}

/// Writes what the clients got, and counts the streams with events of two versions.
fn judge(record: &Record, streams: Vec<JoinHandle<Received>>) -> Outcome {
    let streams = streams.into_iter().filter_map(|stream| stream.join().ok());
    let streams: Vec<Received> = streams.collect();
    let mut mixed = 0;
    let mut resumed = 0;
    for stream in &streams {
        let versions = stream.versions();
        let is_mixed = versions.len() > 1;
        mixed += usize::from(is_mixed);
        resumed += usize::from(stream.resumed > 0);
        record.line(&format!(
            "stream {}: events={} versions={versions:?} complete={} tries={} refusals={:?}{}",
            stream.name,
            stream.events.len(),
            stream.is_complete,
            stream.tries,
            stream.refusals,
            if is_mixed { " MIXED" } else { "" }
        ));
    }
    record.line(&format!(
        "{mixed} of {} streams hold events of two versions ({ALLOWED} allowed); {resumed} were taken up again",
        streams.len()
    ));
    if resumed <= ALLOWED {
        return Outcome::CouldNotRun("too few streams broke off".to_owned());
    }
    if mixed > ALLOWED { Outcome::Broken } else { Outcome::Held }
}

/// Engines of a service are replaced by engines of a newer version, and a new version of the configuration
/// lowers the route's time-out while streams that began before run on.
pub fn timeout_lowered(setting: &Setting) -> Outcome {
    let record = &setting.record;
    let start = |id: &str, version: &str| {
        Engine::start(id, "model", version, free_address(), record)
    };
    let old = [start("i-old-1", "v1"), start("i-old-2", "v1")];
    let Some(deployment) = Deployment::start(setting, &[&old[0], &old[1]]) else {
        return Outcome::CouldNotRun("the hosts are not ready".to_owned());
    };
    let begun_s = record.now_s();
    let at = |s: f64| wait_until(record, begun_s + s);
    at(0.5);
    let streams = deployment.long_streams(8, 2);
    let is_over = Arc::new(AtomicBool::new(false));
    at(1.0);
    let new = [start("i-new-1", "v2"), start("i-new-2", "v2")];
    new.iter().for_each(|engine| deployment.list(engine, "ready"));
    let background = deployment.background(&is_over);
    at(1.5);
    if setting.has_trouble {
        deployment.store.put("config", "main", &config(7, 2_500));
        record.line("operator lowers the time-out of the route to 2.5 s (version 7)");
    }
    at(2.0);
    // They leave without reporting it, and go on serving what they run.
    for engine in &old {
        deployment.store.remove("servers", &engine.id);
        record.line(&format!("entry of {} {} is removed", engine.id, engine.version));
    }
    at(8.6);
    old.iter().for_each(|engine| engine.stop());
    let outcome = judge(record, streams);
    is_over.store(true, Ordering::SeqCst);
    let _ = background.join();
    outcome
}

/// Engines crash one after the other and come back under their ids with a newer version, while the store
/// is down.
pub fn restart_in_place(setting: &Setting) -> Outcome {
    let record = &setting.record;
    let mut engines: Vec<Arc<Engine>> = (1..=4)
        .map(|n| Engine::start(&format!("i-{n}"), "model", "v1", free_address(), record))
        .collect();
    let listed: Vec<&Arc<Engine>> = engines.iter().collect();
    let Some(deployment) = Deployment::start(setting, &listed) else {
        return Outcome::CouldNotRun("the hosts are not ready".to_owned());
    };
    let begun_s = record.now_s();
    let at = |s: f64| wait_until(record, begun_s + s);
    at(1.0);
    let streams = deployment.long_streams(16, 3);
    at(2.6);
    if setting.has_trouble {
        deployment.store.set_down(true);
        record.line("the store is down");
    }
    for n in 0..engines.len() {
        at(3.0 + n as f64);
        let (id, address) = (engines[n].id.clone(), engines[n].address);
        engines[n].stop();
        thread::sleep(Duration::from_millis(400));
        engines[n] = Engine::start(&id, "model", "v2", address, record);
        deployment.list(&engines[n], "ready");
    }
    at(7.0);
    deployment.store.set_down(false);
    engines.iter().for_each(|engine| deployment.list(engine, "ready"));
    judge(record, streams)
}
