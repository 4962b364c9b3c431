//! The scripts' stand-ins and checks, in one program: `standin CASE FOLDER`. It starts the project's
//! program as processes of its own, plays the store, the engines and the clients, and writes
//! `record.txt` into FOLDER. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case
//! could not run. Without the disruption if the variable TROUBLE is 0.

mod client;
mod engine;
mod host;
mod http;
mod json;
mod link;
mod record;
mod revoked;
mod slow;
mod store;
mod versions;

use std::path::PathBuf;
use std::sync::Arc;

use record::Record;

/// What a case shows.
#[derive(Debug, PartialEq, Eq)]
pub enum Outcome {
    Held,
    Broken,
    CouldNotRun(String),
}

/// What all cases need.
pub struct Setting {
    pub record: Arc<Record>,
    /// Temporary folder for settings and logs.
    pub folder: PathBuf,
    /// Whether the disruption is played.
    pub has_trouble: bool,
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = arguments.as_slice() else {
        eprintln!("usage: standin CASE FOLDER");
        std::process::exit(2);
    };
    let temporary = std::env::temp_dir().join(format!("review-3-{}", std::process::id()));
    std::fs::create_dir_all(&temporary).expect("a temporary folder");
    let setting = Setting {
        record: Arc::new(Record::open(&format!("{folder}/record.txt"))),
        folder: temporary.clone(),
        has_trouble: std::env::var("TROUBLE").as_deref() != Ok("0"),
    };
    let outcome = match case.as_str() {
        "timeout-lowered" => versions::timeout_lowered(&setting),
        "slow-readers" => slow::slow_readers(&setting),
        "revoked-key" => revoked::revoked_key(&setting),
        "hosts-lost" => versions::hosts_lost(&setting),
        "restart-in-place" => versions::restart_in_place(&setting),
        other => Outcome::CouldNotRun(format!("no case {other}")),
    };
    setting.record.line(&format!("outcome {outcome:?}"));
    println!("{case}: {outcome:?}");
    if std::env::var("KEEP").is_err() {
        let _ = std::fs::remove_dir_all(&temporary);
    } else {
        println!("logs in {}", temporary.display());
    }
    std::process::exit(match outcome {
        Outcome::Held => 0,
        Outcome::Broken => 1,
        Outcome::CouldNotRun(_) => 2,
    });
}
