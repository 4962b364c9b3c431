//! Read-only commands: get, status and explain.

use std::net::SocketAddr;
use std::panic::resume_unwind;
use std::thread;

use serde_json::json;
use yucca_io::http_client::EngineReport;
use yucca_io::uri::encode_component;
use yuccacove::catalogue::KEY_PREFIXES;
use yuccacove::code::Code;
use yuccacove::error::{Error, Result};

use crate::session::Session;

/// Maximum number of concurrent calls to engines or hosts.
const MAX_CONCURRENT_CALLS: usize = 32;

/// Prints the object with the key `key`, or else all objects with `key` as a key prefix, one JSON
/// value per line. An empty key prints the whole catalogue.
///
/// # Errors
///
/// [`Code::ObjectMissing`] if nothing matches a key that is not empty; [`Code::StoreUnavailable`].
pub fn get(session: &Session, key: &str) -> Result<()> {
    let objects = if key.is_empty() {
        let mut objects = Vec::new();
        for prefix in KEY_PREFIXES {
            objects.extend(session.list(prefix)?);
        }
        objects
    } else {
        match session.get(key)? {
            Some(object) => vec![object],
            None => session.list(key)?,
        }
    };
    if objects.is_empty() && !key.is_empty() {
        let detail = format!("no object has the key or prefix {key}");
        return Err(Error::new(Code::ObjectMissing, detail));
    }
    for object in objects {
        let line = json!({ "key": object.key, "version": object.version, "value": object.value });
        print_line!("{line}");
    }
    Ok(())
}

/// Prints a table of the backends with the load reports of the engines, and a table of the hosts.
///
/// # Errors
///
/// [`Code::StoreUnavailable`], and [`Code::CatalogueRule`] if an object does not have the fields of
/// its kind.
pub fn status(session: &Session) -> Result<()> {
    let catalogue = session.read_catalogue()?.catalogue;
    let engines: Vec<_> = catalogue.engines().collect();
    let reports = call_all(&engines, |(_, engine)| {
        session.http.engine_report(engine.address).ok()
    });
    let mut rows = vec![row([
        "BACK END", "ZONE", "ROLE", "MODEL", "VERSION", "ADMIN", "RUNNING", "ORDER",
    ])];
    for ((name, engine), report) in engines.iter().zip(&reports) {
        let report = report.as_ref();
        let order = match &engine.intent {
            Some(intent) if !intent.confirmed => intent.id.as_str(),
            _ => "-",
        };
        rows.push(row([
            name,
            &engine.zone,
            &report.map_or("?".to_owned(), |r| variant_name(r.role)),
            report.map_or("?", |r| &r.model),
            report.map_or("?", |r| &r.version),
            &variant_name(engine.admin),
            &report.map_or("?".to_owned(), format_running),
            order,
        ]));
    }
    for (name, server) in catalogue.servers() {
        let admin = variant_name(server.admin);
        rows.push(row([name, &server.zone, "-", "-", "-", &admin, "-", "-"]));
    }
    print_table(&rows);
    print_line!("");
    let hosts: Vec<_> = session.settings.hosts.iter().collect();
    let states = call_all(&hosts, |(_, host)| {
        (
            readiness(session, host.operators),
            readiness(session, host.control),
        )
    });
    let mut rows = vec![row(["HOST", "ZONE", "ENTRY", "CONTROL"])];
    for ((name, host), (entry, control)) in hosts.iter().zip(&states) {
        rows.push(row([name, &host.zone, entry, control]));
    }
    print_table(&rows);
    Ok(())
}

/// Prints the decisions of all entry hosts about the request with the ID `request`.
///
/// # Errors
///
/// [`Code::ObjectMissing`] if no host that responds knows the request.
pub fn explain(session: &Session, request: &str) -> Result<()> {
    let hosts: Vec<_> = session.settings.hosts.iter().collect();
    let path = format!("/v1/explain?request={}", encode_component(request));
    let responses = call_all(&hosts, |(_, host)| session.http.get(host.operators, &path));
    let mut known = false;
    for ((name, _), response) in hosts.iter().zip(responses) {
        match response {
            Ok((200, body)) => {
                known = true;
                print_line!("{name} {}", body.trim_end());
            }
            Ok((404, _)) => {}
            Ok((status, _)) => eprintln!("yuccactl: {name} responded with status {status}"),
            Err(error) => eprintln!("yuccactl: no response from {name}: {error}"),
        }
    }
    if known {
        return Ok(());
    }
    let detail = format!("no host that responded knows request {request}");
    Err(Error::new(Code::ObjectMissing, detail))
}

/// Runs `call` for each item, at most [`MAX_CONCURRENT_CALLS`] at a time, and returns the results
/// in the order of the items.
fn call_all<T: Sync, R: Send>(items: &[T], call: impl Fn(&T) -> R + Sync) -> Vec<R> {
    let mut results = Vec::new();
    for chunk in items.chunks(MAX_CONCURRENT_CALLS) {
        thread::scope(|scope| {
            let call = &call;
            let threads: Vec<_> = chunk.iter().map(|i| scope.spawn(move || call(i))).collect();
            results.extend(
                threads
                    .into_iter()
                    .map(|t| t.join().unwrap_or_else(|e| resume_unwind(e))),
            );
        });
    }
    results
}

fn readiness(session: &Session, address: SocketAddr) -> &'static str {
    match session.http.get(address, "/readyz") {
        Ok((200, _)) => "ready",
        Ok(_) => "not ready",
        Err(_) => "no answer",
    }
}

/// Running and waiting requests of an engine, such as `2+1`.
fn format_running(report: &EngineReport) -> String {
    format!("{}+{}", report.running, report.waiting)
}

/// Serialised name of an enum variant, as in the catalogue.
fn variant_name(value: impl serde::Serialize) -> String {
    json!(value).as_str().unwrap_or_default().to_owned()
}

/// Converts the cells of a table row to owned strings.
pub(crate) fn row<const N: usize>(cells: [&str; N]) -> Vec<String> {
    cells.map(str::to_owned).to_vec()
}

/// Prints rows as a table, each column as wide as its widest cell.
pub(crate) fn print_table(rows: &[Vec<String>]) {
    for line in table_lines(rows) {
        print_line!("{line}");
    }
}

/// Returns the lines of a table, each column as wide as its widest cell.
pub(crate) fn table_lines(rows: &[Vec<String>]) -> Vec<String> {
    let columns = rows.first().map_or(0, Vec::len);
    let width = |column: usize| rows.iter().map(|row| row[column].len()).max().unwrap_or(0);
    let widths: Vec<usize> = (0..columns).map(width).collect();
    let line = |row: &Vec<String>| {
        let cells = row.iter().zip(&widths);
        let line: Vec<String> = cells
            .map(|(cell, width)| format!("{cell:<width$}"))
            .collect();
        line.join("  ").trim_end().to_owned()
    };
    rows.iter().map(line).collect()
}
