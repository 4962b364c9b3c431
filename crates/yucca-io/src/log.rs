//! The process log: one line for each numbered event, to standard error or standard output.

use std::io::Write;
use std::sync::{Mutex, PoisonError};

use anyhow::{Context, Result};
use flexi_logger::writers::LogWriter;
use flexi_logger::{DeferredNow, Logger, LoggerHandle};
use log::Record;
use tracing_appender::non_blocking::{ErrorCounter, NonBlocking, NonBlockingBuilder, WorkerGuard};
use yuccacove::event::Event;

/// Starts the log at `level` (`info`, `debug`, ...). The log runs as long as the handle lives.
///
/// # Errors
///
/// When the level cannot be parsed or a log is already running.
pub fn open(level: &str) -> Result<LoggerHandle> {
    Logger::try_with_str(level)
        .context("log level")?
        .log_to_stderr()
        .format(write_line)
        .start()
        .context("log")
}

/// Lines that wait to be written; further ones are left out and counted.
const MAX_WAITING_LINES: usize = 4_096;

/// A log to standard output that never blocks its process. It runs as long as the value lives.
pub struct StdoutLog {
    _logger: LoggerHandle,
    _worker: WorkerGuard,
    dropped: ErrorCounter,
}

impl StdoutLog {
    /// Starts the log at `level`.
    ///
    /// # Errors
    ///
    /// As [`open`].
    pub fn open(level: &str) -> Result<Self> {
        let (lines, worker) = NonBlockingBuilder::default()
            .lossy(true)
            .buffered_lines_limit(MAX_WAITING_LINES)
            .finish(std::io::stdout());
        let dropped = lines.error_counter();
        let writer = LineWriter {
            lines: Mutex::new(lines),
        };
        let logger = Logger::try_with_str(level)
            .context("log level")?
            .log_to_writer(Box::new(writer))
            .start()
            .context("log")?;
        Ok(Self {
            _logger: logger,
            _worker: worker,
            dropped,
        })
    }

    /// Lines that were left out since the start.
    pub fn dropped_lines(&self) -> usize {
        self.dropped.dropped_lines()
    }
}

struct LineWriter {
    lines: Mutex<NonBlocking>,
}

impl LogWriter for LineWriter {
    fn write(&self, now: &mut DeferredNow, record: &Record<'_>) -> std::io::Result<()> {
        let mut line = Vec::with_capacity(256);
        write_line(&mut line, now, record)?;
        line.push(b'\n');
        let mut lines = self.lines.lock().unwrap_or_else(PoisonError::into_inner);
        lines.write_all(&line)
    }

    fn flush(&self) -> std::io::Result<()> {
        Ok(())
    }
}

/// Writes `event` with its fields, given as `name=value` pairs.
pub fn write(event: Event, fields: &str) {
    log::info!("{event} {fields}");
}

fn write_line(
    out: &mut dyn std::io::Write,
    now: &mut DeferredNow,
    record: &Record<'_>,
) -> std::io::Result<()> {
    let time = now.format("%Y-%m-%dT%H:%M:%S%.3fZ");
    write!(out, "{time} {} {}", record.level(), record.args())
}
