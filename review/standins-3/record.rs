//! The record of a run: what was sent, answered and run, with the time since its start.

use std::fs::File;
use std::io::Write;
use std::sync::Mutex;
use std::time::Instant;

pub struct Record {
    file: Mutex<File>,
    started: Instant,
}

impl Record {
    pub fn open(path: &str) -> Self {
        Self {
            file: Mutex::new(File::create(path).expect("a file for the record")),
            started: Instant::now(),
        }
    }

    pub fn now_s(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: &str) {
        let mut file = self.file.lock().expect("record");
        let _ = writeln!(file, "{:8.3} {text}", self.now_s());
    }
}
