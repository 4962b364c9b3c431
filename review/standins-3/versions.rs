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
    fn background(&self, is_over: &Arc<AtomicBool>) -> JoinHandle<()> {
        let (hosts, record) = (self.addresses(), Arc::clone(&self.record));
        let is_over = Arc::clone(is_over);
        thread::spawn(move || {
            let mut number = 0;
            while !is_over.load(Ordering::SeqCst) {
                number += 1;
                let mut hosts = hosts.clone();
                let (record, name) = (Arc::clone(&record), format!("b{number}"));
                let first = number % hosts.len();
                hosts.rotate_left(first);
                thread::spawn(move || {
                    client::stream(&name, &hosts, 10, Duration::from_secs(2), 1, &record)
                });
                thread::sleep(Duration::from_millis(100));
            }
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
