//! The record of a run, and the frame of a script's program.

use std::fmt::Write as _;
use std::path::Path;
use std::process::ExitCode;
use std::time::Instant;

/// What happened, with the time in seconds.
pub struct Record {
    pub began: Instant,
    pub text: String,
}

impl Record {
    pub fn seconds(&self, at: Instant) -> f64 {
        at.saturating_duration_since(self.began).as_secs_f64()
    }

    /// Adds a line with the time `at`.
    pub fn line(&mut self, at: Instant, what: &str) {
        let at = self.seconds(at);
        let _ = writeln!(self.text, "{at:7.3} s  {what}");
    }

    /// Adds a line with the present time, and prints it.
    pub fn note(&mut self, what: &str) {
        let now = Instant::now();
        self.line(now, what);
        println!("{:7.3} s  {what}", self.seconds(now));
    }
}

/// Runs a case: the arguments are a temporary folder and the path of the record. `run` gets the folder, whether
/// there is the disruption, and the record; it returns whether the rule held, `None` if the case could not run.
pub fn main(run: impl FnOnce(&Path, bool, &mut Record) -> Option<bool>) -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let (Some(folder), Some(path)) = (arguments.next(), arguments.next()) else {
        eprintln!("two arguments are expected: FOLDER RECORD");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let mut record = Record { began: Instant::now(), text: String::new() };
    let held = run(Path::new(&folder), has_trouble, &mut record);
    record.note(match held {
        Some(true) => "the rule held",
        Some(false) => "the rule was broken",
        None => "the case could not run",
    });
    if std::fs::write(path, &record.text).is_err() {
        return ExitCode::from(2);
    }
    match held {
        Some(true) => ExitCode::SUCCESS,
        Some(false) => ExitCode::from(1),
        None => ExitCode::from(2),
    }
}
