//! A key that is taken away just before the store is restored from a copy.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::engine::Engine;
use crate::host::{Host, free_address};
use crate::http::read_message;
use crate::store::Store;
use crate::{Outcome, Setting};

/// `revoke_ms` of the site.
const REVOKE_S: f64 = 5.0;

fn config(version: u64, keys: &str) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"status\",\"hostname\":\"shop.example\",\
         \"path_prefix\":\"/status/\",\"kind\":\"safe\",\"timeout_ms\":1500,\"target_latency_ms\":120,\
         \"priority\":2,\"service\":\"desk\",\"max_attempts\":2}}],\"services\":[{{\"name\":\"desk\",\
         \"health_path\":\"/healthz\",\"max_conns\":410,\"protocol\":\"h1\",\"tls\":false}}],\
         \"tenants\":[{{\"name\":\"t1\",\"api_keys\":[{keys}]}}],\"limits\":{{\
         \"max_header_bytes\":16384,\"max_body_bytes\":100000,\"header_timeout_ms\":3000,\
         \"idle_timeout_ms\":15000}}}}"
    )
}

/// The operator takes a key away; the store goes away a moment later and comes back from an older copy.
pub fn revoked_key(setting: &Setting) -> Outcome {
    let record = &setting.record;
    let store = Store::start();
    store.put("config", "main", &config(3, "\"old\",\"kept\""));
    let engine = Engine::start("i-1", "desk", "v1", free_address(), record);
    store.put("servers", "i-1", &engine.entry("ready"));
    let bounds = "strict_revoke = true\nrevoke_ms = 5000\n";
    let start = |name| Host::start_with(name, store.address, &setting.folder, 260, bounds);
    let hosts: Vec<Host> = ["front-a-1", "front-a-2"].into_iter().map(start).collect();
    if !hosts.iter().all(Host::wait_ready) {
        return Outcome::CouldNotRun("the hosts are not ready".to_owned());
    }
    thread::sleep(Duration::from_secs(2));
    let copy = store.copy();
    thread::sleep(Duration::from_millis(2_000));
    // A change of the configuration, and then the one that takes the key away.
    store.put("config", "main", &config(6, "\"old\",\"kept\",\"new\""));
    record.line("store acknowledges version 6");
    thread::sleep(Duration::from_millis(120));
    store.put("config", "main", &config(8, "\"kept\",\"new\""));
    let acknowledged_s = record.now_s();
    record.line("store acknowledges version 8, which takes the key 'old' away");
    let is_over = Arc::new(AtomicBool::new(false));
    let sent: Arc<Mutex<Vec<(f64, u16)>>> = Arc::default();
    let clients: Vec<_> = hosts
        .iter()
        .enumerate()
        .map(|(number, host)| {
            let (is_over, sent, record) = (Arc::clone(&is_over), Arc::clone(&sent), Arc::clone(record));
            let callers = host.callers;
            thread::spawn(move || {
                let mut count = 0;
                while !is_over.load(Ordering::SeqCst) {
                    count += 1;
                    let sent_s = record.now_s();
                    let id = format!("c{number}-{count}");
                    let status = request(callers, &id).unwrap_or(0);
                    record.line(&format!("client sent {id} with the key 'old' at {sent_s:.3}: {status}"));
                    sent.lock().expect("sent").push((sent_s, status));
                    thread::sleep(Duration::from_millis(20));
                }
            })
        })
        .collect();
    if setting.has_trouble {
        store.set_down(true);
        record.line("the store is away");
        thread::sleep(Duration::from_millis(4_000));
        store.restore(copy);
        record.line("the store is back from a copy without versions 6 and 8");
        thread::sleep(Duration::from_millis(1_800));
        store.put("config", "main", &config(6, "\"old\",\"kept\",\"new\""));
        store.put("config", "main", &config(8, "\"kept\",\"new\""));
        record.line("the operator has written version 8 again");
    } else {
        thread::sleep(Duration::from_millis(5_800));
    }
    thread::sleep(Duration::from_secs(3));
    is_over.store(true, Ordering::SeqCst);
    clients.into_iter().for_each(|client| drop(client.join()));
    let sent = sent.lock().expect("sent");
    let late = sent.iter().filter(|(sent_s, _)| *sent_s > acknowledged_s + REVOKE_S);
    let ran = late.clone().filter(|(_, status)| *status == 200).count();
    record.line(&format!(
        "{ran} of {} requests with the key that were sent later than {REVOKE_S} s after its end ran",
        late.count()
    ));
    if ran > 0 { Outcome::Broken } else { Outcome::Held }
}

/// Sends a request with the key that was taken away and returns the status of its answer.
fn request(host: SocketAddr, id: &str) -> Option<u16> {
    let mut connection = TcpStream::connect(host).ok()?;
    let _ = connection.set_read_timeout(Some(Duration::from_secs(2)));
    let text = format!(
        "GET /status/1 HTTP/1.1\r\nHost: shop.example\r\nX-Yuccacove-Request-Id: {id}\r\n\
         Authorization: Bearer old\r\nX-Yuccacove-Deadline-Ms: 1500\r\nConnection: close\r\n\r\n"
    );
    connection.write_all(text.as_bytes()).ok()?;
    Some(read_message(&mut BufReader::new(connection))?.status())
}
