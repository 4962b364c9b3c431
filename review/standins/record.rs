//! The record of what was sent, answered and run.

use std::fmt::Display;
use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

pub struct Record {
    file: Mutex<BufWriter<File>>,
    started: Instant,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        let file = File::create(path).expect("a writable folder");
        Self { file: Mutex::new(BufWriter::new(file)), started: Instant::now() }
    }

    /// Seconds since the start of the case.
    pub fn now_s(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: impl Display) {
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:8.3} {text}", self.now_s());
        let _ = file.flush();
    }

    /// Writes a line to the record and to the terminal.
    pub fn say(&self, text: impl Display) {
        println!("{text}");
        self.line(text);
    }
}
