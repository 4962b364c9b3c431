//! Commands on one back end: drain, undrain, replace and withdraw.

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

/// Pause between two looks at the work of a back end that is to be withdrawn.
const WORK_POLL_MS: u64 = 200;
/// How long a report that is fresh enough to show the drain is waited for after the drain settled.
const REPORT_WAIT_MS: u64 = 5_000;

struct BackEnd {
    key: String,
    version: u64,
    value: Value,
    address: SocketAddr,
    admin: Admin,
    is_engine: bool,
}

/// Drains a back end: it gets no new work, running work finishes.
///
/// # Errors
///
/// [`Code::ObjectMissing`] when there is no such back end or it was withdrawn;
/// [`Code::CatalogueConflict`]; [`Code::StoreUnavailable`].
pub fn drain(session: &Session, name: &str) -> Result<()> {
    let mut back_end = find(session, name)?;
    set_admin(session, &mut back_end, Admin::Draining)
}

/// Takes back a drain.
///
/// # Errors
///
/// As [`drain`].
pub fn undrain(session: &Session, name: &str) -> Result<()> {
    let mut back_end = find(session, name)?;
    set_admin(session, &mut back_end, Admin::Active)
}

/// Creates a back end like an old one at another address, then drains the old one. A repeat after an
/// interruption does what is left.
///
/// # Errors
///
/// As [`drain`], and [`Code::CatalogueRule`] when the new back end breaks a rule.
pub fn replace(session: &Session, replacement: &Replacement) -> Result<()> {
    let Replacement {
        old,
        new,
        address,
        zone,
    } = replacement;
    if !is_name(new) {
        let detail = format!("{new:?} is no name of letters, digits, '-', '_' and '.'");
        return Err(Error::new(Code::BadUsage, detail));
    }
    let mut back_end = find(session, old)?;
    refuse_withdrawn(&back_end)?;
    let (kind, _) = back_end.key.split_once('/').unwrap_or_default();
    let key = format!("{kind}/{new}");
    let object = successor(&back_end, *address, zone.as_deref())?;
    let read = session.read_catalogue()?;
    match read.catalogue.get(&key) {
        Some(current) if *current == object => print_line!("unchanged {key}"),
        current => {
            let mut proposed: Vec<(String, Object)> = read
                .catalogue
                .iter()
                .filter(|(other, _, object)| *other != key && !is_withdrawn(*object))
                .filter_map(|(key, _, object)| Some((key.to_owned(), object?.clone())))
                .collect();
            proposed.push((key.clone(), object.clone()));
            let violations = rules::check(&proposed, &read.catalogue);
            if let Some(violation) = violations.iter().find(|v| v.key == key) {
                return Err(Error::new(Code::CatalogueRule, violation.to_string()));
            }
            if current.is_some() {
                let detail = format!("{key}: exists with other values; nothing was written");
                return Err(Error::new(Code::CatalogueConflict, detail));
            }
            let version = session.put(&key, 0, to_value(&object)?)?;
            print_line!("created {key} version {version}");
        }
    }
    set_admin(session, &mut back_end, Admin::Draining)
}

/// Drains a back end, waits until entry hosts have stopped sending to it, and withdraws it if no
/// work is left there.
///
/// # Errors
///
/// As [`drain`], and [`Code::WorkRunning`] when work runs or cannot be ruled out and `force` is not
/// set; the back end then stays drained.
pub fn withdraw(session: &Session, name: &str, force: bool) -> Result<()> {
    let mut back_end = find(session, name)?;
    if back_end.admin == Admin::Withdrawn {
        print_line!("unchanged {} version {}", back_end.key, back_end.version);
        return Ok(());
    }
    set_admin(session, &mut back_end, Admin::Draining)?;
    if !force {
        wait_for_no_work(session, &back_end)?;
    }
    set_admin(session, &mut back_end, Admin::Withdrawn)
}

fn find(session: &Session, name: &str) -> Result<BackEnd> {
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
        return Ok(BackEnd {
            key,
            version: stored.version,
            value: stored.value,
            address,
            admin,
            is_engine,
        });
    }
    let detail = format!("no engine or server is called {name}");
    Err(Error::new(Code::ObjectMissing, detail))
}

/// Changes only the admin field, so that fields that this version does not know stay in the object.
fn set_admin(session: &Session, back_end: &mut BackEnd, admin: Admin) -> Result<()> {
    refuse_withdrawn(back_end)?;
    if back_end.admin == admin {
        print_line!("unchanged {} version {}", back_end.key, back_end.version);
        return Ok(());
    }
    back_end.value["admin"] = json!(admin);
    back_end.version = session.put(&back_end.key, back_end.version, back_end.value.clone())?;
    back_end.admin = admin;
    print_line!(
        "changed {} version {} admin {}",
        back_end.key,
        back_end.version,
        json!(admin)
    );
    Ok(())
}

fn refuse_withdrawn(back_end: &BackEnd) -> Result<()> {
    if back_end.admin != Admin::Withdrawn {
        return Ok(());
    }
    let detail = format!("R9: {} was withdrawn; use a new name", back_end.key);
    Err(Error::new(Code::CatalogueRule, detail))
}

fn is_withdrawn(object: Option<&Object>) -> bool {
    match object {
        Some(Object::Engine(engine)) => engine.admin == Admin::Withdrawn,
        Some(Object::Server(server)) => server.admin == Admin::Withdrawn,
        _ => false,
    }
}

fn successor(old: &BackEnd, address: SocketAddr, zone: Option<&str>) -> Result<Object> {
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

/// Waits for a look at the work that is later than the last moment at which an entry host may have
/// sent some.
fn wait_for_no_work(session: &Session, back_end: &BackEnd) -> Result<()> {
    let settle = Duration::from_millis(session.settings.policy.drain_settle_ms);
    let drained = Instant::now();
    thread::sleep(settle);
    loop {
        let work = match back_end.is_engine {
            true => engine_work(session, back_end, drained + settle),
            false => server_work(session, back_end),
        };
        let detail = match work {
            Work::None => return Ok(()),
            Work::Running(count) => format!("{count} requests run there"),
            Work::Unknown(_)
                if drained.elapsed() < settle + Duration::from_millis(REPORT_WAIT_MS) =>
            {
                thread::sleep(Duration::from_millis(WORK_POLL_MS));
                continue;
            }
            Work::Unknown(reason) => format!("its work is unknown: {reason}"),
        };
        let detail = format!(
            "{} is drained and not withdrawn: {detail}; repeat later or use --force",
            back_end.key
        );
        return Err(Error::new(Code::WorkRunning, detail));
    }
}

enum Work {
    None,
    Running(u64),
    Unknown(String),
}

fn engine_work(session: &Session, back_end: &BackEnd, settled: Instant) -> Work {
    match session.http.engine_report(back_end.address) {
        Ok(report) if report.running + report.waiting > 0 => {
            Work::Running(report.running + report.waiting)
        }
        Ok(report) if Duration::from_millis(report.age_ms) <= settled.elapsed() => Work::None,
        Ok(_) => Work::Unknown("its report is older than the drain".to_owned()),
        Err(error) => Work::Unknown(error.to_string()),
    }
}

/// Plain services report no load, so that the entry hosts' own counts are added up.
fn server_work(session: &Session, back_end: &BackEnd) -> Work {
    let (_, name) = back_end.key.split_once('/').unwrap_or_default();
    let mut running = 0;
    for (host, addresses) in &session.settings.hosts {
        let count = session.http.get(addresses.operators, "/v1/state").ok();
        let state = count.and_then(|(_, body)| serde_json::from_str::<Value>(&body).ok());
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
