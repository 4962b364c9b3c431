//! Commands that change one backend: drain, undrain, replace and withdraw.

use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use yucca_io::catalogue_file::is_name;
use yuccacove::catalogue::{Admin, Object};
use yuccacove::code::Code;
use yuccacove::error::{Error, Result};
use yuccacove::rules;

use crate::apply::to_value;
use crate::command::Replacement;
use crate::session::Session;

/// Interval between checks of a backend's running work before it is withdrawn.
const WORK_POLL_MS: u64 = 200;
/// Maximum time, after the settle time of the drain, to wait until a backend's work is known, for
/// instance until an engine has a load report taken after the settle time.
const REPORT_WAIT_MS: u64 = 5_000;

struct Backend {
    key: String,
    version: u64,
    value: Value,
    address: SocketAddr,
    admin: Admin,
    is_engine: bool,
}

/// Drains a backend: it receives no new work, and running work finishes.
///
/// # Errors
///
/// [`Code::ObjectMissing`] if there is no such backend; [`Code::CatalogueRule`] if it was
/// withdrawn; [`Code::CatalogueConflict`]; [`Code::StoreUnavailable`].
pub fn drain(session: &Session, name: &str) -> Result<()> {
    let mut backend = find(session, name)?;
    set_admin(session, &mut backend, Admin::Draining)
}

/// Cancels a drain: the backend receives new work again.
///
/// # Errors
///
/// As [`drain`].
pub fn undrain(session: &Session, name: &str) -> Result<()> {
    let mut backend = find(session, name)?;
    set_admin(session, &mut backend, Admin::Active)
}

/// Creates a copy of a backend with a new name and address, then drains the old one. If the command
/// is interrupted, running it again completes the remaining steps.
///
/// # Errors
///
/// As [`drain`]; [`Code::BadUsage`] if the new name is invalid; [`Code::CatalogueRule`] if the new
/// backend violates a rule.
pub fn replace(session: &Session, replacement: &Replacement) -> Result<()> {
    let Replacement {
        old,
        new,
        address,
        zone,
    } = replacement;
    if !is_name(new) {
        let detail =
            format!("invalid name {new:?}: only letters, digits, '-', '_' and '.' are allowed");
        return Err(Error::new(Code::BadUsage, detail));
    }
    let mut backend = find(session, old)?;
    refuse_withdrawn(&backend)?;
    let (kind, _) = backend.key.split_once('/').unwrap_or_default();
    let key = format!("{kind}/{new}");
    let object = replacement_object(&backend, *address, zone.as_deref())?;
    let stored = session.read_catalogue()?;
    match stored.catalogue.get(&key) {
        Some(current) if *current == object => print_line!("unchanged {key}"),
        current => {
            let mut proposed: Vec<(String, Object)> = stored
                .catalogue
                .iter()
                .filter(|(other, _, object)| *other != key && !is_withdrawn(*object))
                .filter_map(|(key, _, object)| Some((key.to_owned(), object?.clone())))
                .collect();
            proposed.push((key.clone(), object.clone()));
            let violations = rules::check(&proposed, &stored.catalogue);
            if let Some(violation) = violations.iter().find(|v| v.key == key) {
                return Err(Error::new(Code::CatalogueRule, violation.to_string()));
            }
            if current.is_some() {
                let detail =
                    format!("{key}: already exists with different values; nothing was written");
                return Err(Error::new(Code::CatalogueConflict, detail));
            }
            let version = session.put(&key, 0, to_value(&object)?)?;
            print_line!("created {key} version {version}");
        }
    }
    set_admin(session, &mut backend, Admin::Draining)
}

/// Drains a backend, waits until entry hosts have stopped sending requests to it, and withdraws it
/// if no work is left there.
///
/// # Errors
///
/// As [`drain`], and [`Code::WorkRunning`] if requests are running or cannot be ruled out and
/// `force` is not set; the backend then stays drained.
pub fn withdraw(session: &Session, name: &str, force: bool) -> Result<()> {
    let mut backend = find(session, name)?;
    if backend.admin == Admin::Withdrawn {
        print_line!("unchanged {} version {}", backend.key, backend.version);
        return Ok(());
    }
    set_admin(session, &mut backend, Admin::Draining)?;
    if !force {
        ensure_idle(session, &backend)?;
    }
    set_admin(session, &mut backend, Admin::Withdrawn)
}

/// Finds a backend by its key, or by its name; an engine comes before a server of the same name.
fn find(session: &Session, name: &str) -> Result<Backend> {
    let keys = match name.split_once('/') {
        Some(_) => vec![name.to_owned()],
        None => vec![format!("engine/{name}"), format!("server/{name}")],
    };
    for key in keys {
        let Some(stored) = session.get(&key)? else {
            continue;
        };
        let (address, admin, is_engine) = match Object::parse(&key, &stored.value)? {
            Some(Object::Engine(engine)) => (engine.address, engine.admin, true),
            Some(Object::Server(server)) => (server.address, server.admin, false),
            _ => continue,
        };
        return Ok(Backend {
            key,
            version: stored.version,
            value: stored.value,
            address,
            admin,
            is_engine,
        });
    }
    let detail = format!("no engine or server is named {name}");
    Err(Error::new(Code::ObjectMissing, detail))
}

/// Changes only the admin field, so that fields unknown to this version are preserved.
fn set_admin(session: &Session, backend: &mut Backend, admin: Admin) -> Result<()> {
    refuse_withdrawn(backend)?;
    if backend.admin == admin {
        print_line!("unchanged {} version {}", backend.key, backend.version);
        return Ok(());
    }
    backend.value["admin"] = json!(admin);
    backend.version = session.put(&backend.key, backend.version, backend.value.clone())?;
    backend.admin = admin;
    print_line!(
        "changed {} version {} admin {}",
        backend.key,
        backend.version,
        json!(admin)
    );
    Ok(())
}

fn refuse_withdrawn(backend: &Backend) -> Result<()> {
    if backend.admin != Admin::Withdrawn {
        return Ok(());
    }
    let detail = format!("R9: {} was withdrawn; use a new name", backend.key);
    Err(Error::new(Code::CatalogueRule, detail))
}

fn is_withdrawn(object: Option<&Object>) -> bool {
    match object {
        Some(Object::Engine(engine)) => engine.admin == Admin::Withdrawn,
        Some(Object::Server(server)) => server.admin == Admin::Withdrawn,
        _ => false,
    }
}

fn replacement_object(old: &Backend, address: SocketAddr, zone: Option<&str>) -> Result<Object> {
    let missing = || Error::new(Code::ObjectMissing, old.key.clone());
    let mut object = Object::parse(&old.key, &old.value)?.ok_or_else(missing)?;
    match &mut object {
        Object::Engine(engine) => {
            engine.address = address;
            engine.admin = Admin::Active;
            engine.intent = None;
            if let Some(zone) = zone {
                zone.clone_into(&mut engine.zone);
            }
        }
        Object::Server(server) => {
            server.address = address;
            server.admin = Admin::Active;
            if let Some(zone) = zone {
                zone.clone_into(&mut server.zone);
            }
        }
        Object::Owner(_) | Object::Entry(_) | Object::Service(_) => return Err(missing()),
    }
    Ok(object)
}

/// Waits for the settle time of the drain, in which an entry host may still send requests, and then
/// checks that the backend has no work. Only work counted after the settle time shows that no
/// request is left. While the work is unknown, the check is repeated for at most
/// [`REPORT_WAIT_MS`].
fn ensure_idle(session: &Session, backend: &Backend) -> Result<()> {
    let settle = Duration::from_millis(session.settings.policy.drain_settle_ms);
    let drained = Instant::now();
    thread::sleep(settle);
    loop {
        let work = match backend.is_engine {
            true => engine_work(session, backend, drained + settle),
            false => server_work(session, backend),
        };
        let detail = match work {
            Work::None => return Ok(()),
            Work::Running(count) => format!("{count} requests are still running"),
            Work::Unknown(_)
                if drained.elapsed() < settle + Duration::from_millis(REPORT_WAIT_MS) =>
            {
                thread::sleep(Duration::from_millis(WORK_POLL_MS));
                continue;
            }
            Work::Unknown(reason) => format!("its running requests are unknown: {reason}"),
        };
        let detail = format!(
            "{} is drained but not withdrawn: {detail}; retry later or use --force",
            backend.key
        );
        return Err(Error::new(Code::WorkRunning, detail));
    }
}

enum Work {
    None,
    Running(u64),
    Unknown(String),
}

fn engine_work(session: &Session, backend: &Backend, settled: Instant) -> Work {
    match session.http.engine_report(backend.address) {
        Ok(report) if report.running + report.waiting > 0 => {
            Work::Running(report.running + report.waiting)
        }
        Ok(report) if Duration::from_millis(report.age_ms) <= settled.elapsed() => Work::None,
        Ok(_) => Work::Unknown("its last load report predates the drain".to_owned()),
        Err(error) => Work::Unknown(error.to_string()),
    }
}

/// Plain servers report no load, so the entry hosts' counts of requests in flight are added up.
fn server_work(session: &Session, backend: &Backend) -> Work {
    let (_, name) = backend.key.split_once('/').unwrap_or_default();
    let mut running = 0;
    for (host, addresses) in &session.settings.hosts {
        let response = session.http.get(addresses.operators, "/v1/state").ok();
        let state = response.and_then(|(_, body)| serde_json::from_str::<Value>(&body).ok());
        match state.as_ref().and_then(|state| state.get("in_flight")) {
            Some(in_flight) => running += in_flight[name].as_u64().unwrap_or(0),
            None => return Work::Unknown(format!("{host} does not report its requests in flight")),
        }
    }
    match running {
        0 => Work::None,
        running => Work::Running(running),
    }
}
