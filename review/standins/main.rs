//! Stand-ins for the platform, its backends and its clients, and the cases that use them.
//!
//! `standins CASE RECORD`, in the root of the repository. Exits with 1 if the rule was broken, 0 if
//! it held, and 2 if the case could not run. With `TROUBLE=0` there is no disruption.

mod backends;
mod deadly;
mod hosts;
mod http;
mod json;
mod memory;
mod record;
mod reverted;
mod spoiled;
mod store;

use std::path::Path;
use std::process::exit;
use std::sync::Arc;

use record::Record;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, path] = &arguments[..] else {
        eprintln!("usage: standins CASE RECORD");
        exit(2);
    };
    let is_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = Arc::new(Record::create(Path::new(path)));
    let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
    if std::fs::create_dir_all(&folder).is_err() {
        exit(2);
    }
    let held = match case.as_str() {
        "spoiled" => spoiled::run(is_trouble, &record, &folder),
        "reverted" => reverted::run(is_trouble, &record, &folder),
        "memory" => memory::run(is_trouble, &record, &folder),
        "deadly" => deadly::run(is_trouble, &record, &folder),
        other => {
            eprintln!("no case {other}");
            None
        }
    };
    if std::env::var_os("KEEP").is_none() {
        let _ = std::fs::remove_dir_all(&folder);
    }
    let (result, code) = match held {
        Some(true) => ("the rule held", 0),
        Some(false) => ("the rule was broken", 1),
        None => ("the case could not run", 2),
    };
    record.say(result);
    exit(code);
}
