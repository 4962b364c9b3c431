//! Commands that work on a whole catalogue file: check, apply and diff.

use std::path::Path;

use serde_json::{Map, Value};
use yucca_io::catalogue_file;
use yucca_io::writer::TOKEN_FIELD;
use yuccacove::catalogue::{Catalogue, Object};
use yuccacove::code::Code;
use yuccacove::error::{Error, Result};
use yuccacove::rules;

use crate::session::Session;

/// Checks a catalogue file without comparing it with the store.
///
/// # Errors
///
/// As [`catalogue_file::open`], and [`Code::CatalogueRule`] after all violations were printed to
/// standard error.
pub fn check(file: &Path) -> Result<()> {
    let objects = catalogue_file::open(file)?;
    check_rules(file, &objects, &Catalogue::default())?;
    print_line!("{}: {} objects are valid", file.display(), objects.len());
    Ok(())
}

/// Writes the objects of a catalogue file that differ from the store, and prints the result for
/// each object. A write succeeds only if the object still has the version that was read. Objects
/// are written before those that refer to them. If the command is interrupted, running it again
/// writes the remaining objects.
///
/// # Errors
///
/// As [`check`], in which case nothing is written; [`Code::CatalogueConflict`] if another operator
/// changed an object after it was read, in which case all other objects are written;
/// [`Code::StoreUnavailable`].
pub fn apply(session: &Session, file: &Path) -> Result<()> {
    let mut proposed = catalogue_file::open(file)?;
    let stored = session.read_catalogue()?;
    check_rules(file, &proposed, &stored.catalogue)?;
    proposed.sort_by_key(|(_, object)| write_order(object));
    let mut conflicts = Vec::new();
    for (key, object) in proposed {
        let current = stored.catalogue.get(&key);
        let version = stored.objects.get(&key).map_or(0, |object| object.version);
        let object = with_stored_state(object, current);
        if Some(&object) == current {
            print_line!("unchanged {key} version {version}");
            continue;
        }
        match session.put(&key, version, to_value(&object)?) {
            Ok(version) if current.is_none() => print_line!("created {key} version {version}"),
            Ok(version) => print_line!("changed {key} version {version}"),
            Err(error) if error.code() == Code::CatalogueConflict => {
                print_line!("conflict {key} {}", error.detail());
                conflicts.push(key);
            }
            Err(error) => return Err(error),
        }
    }
    if conflicts.is_empty() {
        return Ok(());
    }
    let detail = format!("{} not written: {}", conflicts.len(), conflicts.join(", "));
    Err(Error::new(Code::CatalogueConflict, detail))
}

/// Prints how a catalogue file differs from the store: `+` for objects that [`apply`] would create,
/// `~` for fields that it would change, `=` for objects in the store that the file does not
/// contain.
///
/// # Errors
///
/// As [`catalogue_file::open`]; [`Code::StoreUnavailable`]; [`Code::CatalogueRule`] if a stored
/// object does not have the fields of its kind.
pub fn diff(session: &Session, file: &Path) -> Result<()> {
    let proposed = catalogue_file::open(file)?;
    let stored = session.read_catalogue()?;
    for (key, object) in &proposed {
        let current = stored.catalogue.get(key);
        let wanted = to_value(&with_stored_state(object.clone(), current))?;
        match current {
            None => print_line!("+ {key} {wanted}"),
            Some(current) => print_changes(key, &to_value(current)?, &wanted),
        }
    }
    for key in stored.objects.keys() {
        if !proposed.iter().any(|(proposed_key, _)| proposed_key == key) {
            print_line!("= {key} is not in the file");
        }
    }
    Ok(())
}

fn check_rules(file: &Path, objects: &[(String, Object)], current: &Catalogue) -> Result<()> {
    let violations = rules::check(objects, current);
    for violation in &violations {
        eprintln!("{}: {violation}", file.display());
    }
    if violations.is_empty() {
        return Ok(());
    }
    let detail = format!("{}: {} rules violated", file.display(), violations.len());
    Err(Error::new(Code::CatalogueRule, detail))
}

/// Position of an object's kind in the order of writes, so that no object in the store refers to
/// one that does not exist yet.
fn write_order(object: &Object) -> u8 {
    match object {
        Object::Owner(_) => 0,
        Object::Service(_) => 1,
        Object::Engine(_) | Object::Server(_) => 2,
        Object::Entry(_) => 3,
    }
}

/// Copies the fields that a catalogue file does not contain from the current object: the admin
/// state and the recorded order.
fn with_stored_state(object: Object, current: Option<&Object>) -> Object {
    match (object, current) {
        (Object::Engine(mut engine), Some(Object::Engine(current))) => {
            engine.admin = current.admin;
            engine.intent.clone_from(&current.intent);
            Object::Engine(engine)
        }
        (Object::Server(mut server), Some(Object::Server(current))) => {
            server.admin = current.admin;
            Object::Server(server)
        }
        (object, _) => object,
    }
}

/// Returns the JSON value of an object as it is stored, without the writer's token.
///
/// # Errors
///
/// [`Code::CatalogueRule`] if the object cannot be represented in JSON.
pub fn to_value(object: &Object) -> Result<Value> {
    serde_json::to_value(object).map_err(|e| Error::new(Code::CatalogueRule, e.to_string()))
}

fn print_changes(key: &str, current: &Value, wanted: &Value) {
    let empty = Map::new();
    let wanted = wanted.as_object().unwrap_or(&empty);
    for (field, value) in wanted.iter().filter(|(field, _)| *field != TOKEN_FIELD) {
        let before = current.get(field).unwrap_or(&Value::Null);
        if before != value {
            print_line!("~ {key} {field}: {before} -> {value}");
        }
    }
}
