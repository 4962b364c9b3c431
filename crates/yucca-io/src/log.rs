//! Process log with one line per numbered event, written to standard error or standard output.

use std::borrow::Cow;
use std::io::Write;
use std::sync::{Mutex, PoisonError};

use anyhow::{Context, Result};
use flexi_logger::writers::LogWriter;
use flexi_logger::{DeferredNow, Logger, LoggerHandle};
use log::Record;
use tracing_appender::non_blocking::{ErrorCounter, NonBlocking, NonBlockingBuilder, WorkerGuard};
use yuccacove::event::Event;

/// Starts logging to standard error at `level` (`info`, `debug`, ...). Logging ends when the handle
/// is dropped.
///
/// # Errors
///
/// If the level cannot be parsed or a logger is already installed.
pub fn open(level: &str) -> Result<LoggerHandle> {
    Logger::try_with_str(level)
        .context("invalid log level")?
        .log_to_stderr()
        .format(write_line)
        .start()
        .context("cannot start the logger")
}

/// Maximum number of lines waiting to be written. Further lines are dropped and counted.
const MAX_BUFFERED_LINES: usize = 4_096;

/// Logger to standard output that never blocks the threads that log: a background thread writes the
/// lines. Logging ends when this value is dropped.
pub struct StdoutLog {
    _logger: LoggerHandle,
    _worker: WorkerGuard,
    dropped: ErrorCounter,
}

impl StdoutLog {
    /// Starts logging at `level`.
    ///
    /// # Errors
    ///
    /// The errors of [`open`].
    pub fn open(level: &str) -> Result<Self> {
        let (lines, worker) = NonBlockingBuilder::default()
            .lossy(true)
            .buffered_lines_limit(MAX_BUFFERED_LINES)
            .finish(std::io::stdout());
        let dropped = lines.error_counter();
        let writer = LineWriter {
            lines: Mutex::new(lines),
        };
        let logger = Logger::try_with_str(level)
            .context("invalid log level")?
            .log_to_writer(Box::new(writer))
            .start()
            .context("cannot start the logger")?;
        Ok(Self {
            _logger: logger,
            _worker: worker,
            dropped,
        })
    }

    /// Number of lines dropped since the start because too many were waiting.
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

/// Maximum length of a text from outside in a log line, in characters.
const MAX_FIELD_CHARS: usize = 100;

/// Returns a text from outside, such as a name that another writer chose, as the value of a field: quoted
/// if it has characters that could end the field or the line, and cut if it is long.
///
/// ```
/// use yucca_io::log::field;
///
/// assert_eq!(field("i-7f3a"), "i-7f3a");
/// assert_eq!(field("a b\n"), r#""a b\n""#);
/// assert_eq!(field(&"x".repeat(500)).len(), 100 + "\"\"...".len());
/// ```
pub fn field(text: &str) -> Cow<'_, str> {
    let is_plain = |byte: u8| byte.is_ascii_graphic() && !matches!(byte, b'"' | b'\\');
    match text.char_indices().nth(MAX_FIELD_CHARS) {
        Some((end, _)) => Cow::from(format!("{:?}...", &text[..end])),
        None if !text.is_empty() && text.bytes().all(is_plain) => Cow::from(text),
        None => Cow::from(format!("{text:?}")),
    }
}

/// Logs `event` at level `info`; `fields` are its `name=value` pairs.
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
