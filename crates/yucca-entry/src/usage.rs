//! Charges the fleet's time to entries and writes the totals to the object API.
//!
//! An attempt of a chat costs the engine-seconds of its uncached prompt tokens and its generated
//! tokens, at the rates that routing uses. An attempt of a plain call costs the server-seconds
//! until its end. Attempts that fail or are cancelled cost the part that ran.

use std::collections::HashMap;
use std::io;
use std::sync::mpsc::{self, Receiver, RecvTimeoutError, Sender};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use serde_json::json;
use yucca_io::clock::{boot_ms, wall_ms};
use yucca_io::log;
use yucca_io::store::StoreError;
use yucca_io::writer::{TOKEN_FIELD, new_token};
use yuccacove::cost::{BusyTime, DueUsage, UsageLedger};
use yuccacove::event::Event;
use yuccacove::store::Token;

use crate::host::Host;

/// Interval at which a running chat is charged, so that a crash loses only the last part of a long
/// response.
const CHARGE_INTERVAL_MS: u64 = 1_000;
/// After a failed write, a random delay is added to the write interval. The delay is at most the
/// interval divided by this.
const JITTER_DIVISOR: u64 = 4;
/// How long a planned stop tries to write the last totals.
const LAST_WRITE_LIMIT_MS: u64 = 5_000;
/// Pause between the attempts of the last write.
const LAST_WRITE_PAUSE_MS: u64 = 200;

/// Usage totals of this host.
#[derive(Debug)]
pub struct HostUsage {
    ledger: Mutex<UsageLedger>,
}

impl Default for HostUsage {
    fn default() -> Self {
        // The writer uses a monotonic clock for the interval between writes, so that a wall clock
        // that steps back does not delay them.
        Self {
            ledger: Mutex::new(UsageLedger::open(wall_ms()).without_interval()),
        }
    }
}

impl HostUsage {
    /// Opens the charge of an attempt for `entry` on an engine of `pool`.
    pub fn open_chat_charge(self: &Arc<Self>, pool: &str, entry: &str) -> ChatCharge {
        ChatCharge {
            account: Account::new(self, pool, entry),
            charged: BusyTime::default(),
            charged_ms: 0,
        }
    }

    /// Opens the charge of an attempt for `entry` on a server of `pool`, which starts now.
    pub fn open_plain_charge(self: &Arc<Self>, pool: &str, entry: &str) -> PlainCharge {
        PlainCharge {
            account: Account::new(self, pool, entry),
            started: Some(Instant::now()),
        }
    }

    /// Totals of the current hour.
    pub fn current(&self) -> DueUsage {
        self.lock().current()
    }

    fn lock(&self) -> MutexGuard<'_, UsageLedger> {
        self.ledger.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

#[derive(Debug)]
struct Account {
    usage: Arc<HostUsage>,
    pool: String,
    entry: String,
}

impl Account {
    fn new(usage: &Arc<HostUsage>, pool: &str, entry: &str) -> Self {
        Self {
            usage: Arc::clone(usage),
            pool: pool.to_owned(),
            entry: entry.to_owned(),
        }
    }

    fn charge(&self, busy: BusyTime) {
        let mut ledger = self.usage.lock();
        ledger.charge(&self.pool, &self.entry, busy, wall_ms());
    }
}

/// Charge of an attempt of a chat.
#[derive(Debug)]
pub struct ChatCharge {
    account: Account,
    /// Work charged so far.
    charged: BusyTime,
    /// When work was last charged, in milliseconds since boot.
    charged_ms: u64,
}

impl ChatCharge {
    /// Charges the work since the last charge, at most once per second. `total` returns the work of
    /// the attempt so far.
    pub fn progress(&mut self, total: impl FnOnce() -> BusyTime) {
        let now_ms = boot_ms();
        if now_ms >= self.charged_ms + CHARGE_INTERVAL_MS {
            self.charged_ms = now_ms;
            self.charge(total());
        }
    }

    /// Charges the rest of an attempt whose work is `total` altogether.
    pub fn end(mut self, total: BusyTime) {
        self.charge(total);
    }

    fn charge(&mut self, total: BusyTime) {
        let busy = BusyTime {
            prefill_s: total.prefill_s - self.charged.prefill_s,
            decode_s: total.decode_s - self.charged.decode_s,
        };
        if busy.total_s() > 0.0 {
            self.account.charge(busy);
            self.charged = total;
        }
    }
}

/// Charge of an attempt of a plain call, made when it is dropped.
#[derive(Debug)]
pub struct PlainCharge {
    account: Account,
    /// Start of the attempt; `None` if nothing is to be charged.
    started: Option<Instant>,
}

impl PlainCharge {
    /// Ends the attempt, which is charged only if a part of it may have run.
    pub fn end(mut self, may_have_run: bool) {
        if !may_have_run {
            self.started = None;
        }
    }
}

impl Drop for PlainCharge {
    fn drop(&mut self) {
        if let Some(started) = self.started {
            self.account.charge(BusyTime {
                prefill_s: started.elapsed().as_secs_f64(),
                decode_s: 0.0,
            });
        }
    }
}

/// Handle of the thread that writes the totals. Dropping it ends the thread without a last write.
#[derive(Debug)]
pub struct UsageWriter {
    stop: Sender<()>,
    thread: JoinHandle<()>,
}

impl UsageWriter {
    /// Starts the thread.
    ///
    /// # Errors
    ///
    /// When the thread cannot be started.
    pub fn spawn(host: &Arc<Host>) -> io::Result<Self> {
        let (stop, stopped) = mpsc::channel();
        let mut state = WriterState {
            host: Arc::clone(host),
            versions: HashMap::new(),
            pending: None,
        };
        let thread = thread::Builder::new()
            .name("usage".to_owned())
            .spawn(move || state.run(&stopped))?;
        Ok(Self { stop, thread })
    }

    /// Writes the last totals, if the object API accepts them in time, and ends the thread.
    pub async fn finish(self) {
        // Fails only when the thread has panicked.
        let _ = self.stop.send(());
        let _ = tokio::task::spawn_blocking(move || self.thread.join()).await;
    }
}

/// A write whose result is not known yet.
struct Pending {
    due: DueUsage,
    token: Token,
}

struct WriterState {
    host: Arc<Host>,
    /// Version of the object of each hour that may be written again.
    versions: HashMap<u64, u64>,
    pending: Option<Pending>,
}

impl WriterState {
    fn run(&mut self, stopped: &Receiver<()>) {
        let interval_ms = self.host.timing.usage_write_ms.max(1);
        // Spreads the writes of hosts that start together.
        let mut wait = Duration::from_millis(self.host.next_seed() % interval_ms);
        loop {
            match stopped.recv_timeout(wait) {
                Err(RecvTimeoutError::Timeout) => {}
                Ok(()) => return self.write_last(),
                Err(RecvTimeoutError::Disconnected) => return,
            }
            let started = Instant::now();
            let mut pause_ms = interval_ms;
            if let Err(error) = self.write_next() {
                log_unwritten(&error);
                pause_ms += self.host.next_seed() % (interval_ms / JITTER_DIVISOR).max(1);
            }
            wait = Duration::from_millis(pause_ms).saturating_sub(started.elapsed());
        }
    }

    fn write_last(&mut self) {
        let limit = Instant::now() + Duration::from_millis(LAST_WRITE_LIMIT_MS);
        loop {
            // Each open charge holds a reference to the totals. Attempts end shortly after the
            // connections of their callers, which are closed by now.
            let is_idle = Arc::strong_count(&self.host.usage) == 1;
            let is_late = Instant::now() >= limit;
            match self.write_next() {
                Ok(true) => {}
                Ok(false) if is_idle || is_late => return,
                Err(error) if is_late => return log_unwritten(&error),
                Ok(false) | Err(_) => {
                    thread::sleep(Duration::from_millis(LAST_WRITE_PAUSE_MS));
                }
            }
        }
    }

    /// Makes at most one write of totals that are due; `false` when there are none.
    fn write_next(&mut self) -> Result<bool, StoreError> {
        if let Some(pending) = self.pending.take() {
            self.pending = self.resolve(pending)?;
        }
        let pending = match self.pending.take() {
            Some(pending) => pending,
            None => match self.host.usage.lock().due(wall_ms()) {
                Some(due) => Pending {
                    due,
                    token: new_token(),
                },
                None => return Ok(false),
            },
        };
        let hour = pending.due.hour;
        let expected = self.versions.get(&hour).copied().unwrap_or(0);
        let mut value = json!(pending.due.usage);
        value[TOKEN_FIELD] = json!(pending.token);
        match self.host.store.put(&self.key(hour), expected, &value) {
            Ok(version) => {
                self.confirm(&pending.due, version);
                Ok(true)
            }
            Err(error) => {
                if !matches!(error, StoreError::RateLimited | StoreError::Refused(_)) {
                    self.pending = Some(pending);
                }
                Err(error)
            }
        }
    }

    /// Reads back whether a write without a response took effect. If not, it is returned to be
    /// written again with the same value and token, because the earlier attempt may still take
    /// effect.
    fn resolve(&mut self, pending: Pending) -> Result<Option<Pending>, StoreError> {
        let hour = pending.due.hour;
        let found = match self.host.store.get(&self.key(hour)) {
            Ok(found) => found,
            Err(error) => {
                self.pending = Some(pending);
                return Err(error);
            }
        };
        let version = found.as_ref().map_or(0, |object| object.version);
        let token = found.as_ref().and_then(|o| o.value.get(TOKEN_FIELD));
        if token == Some(&json!(pending.token)) {
            self.confirm(&pending.due, version);
            return Ok(None);
        }
        // No other process writes the object, so an unknown value there is replaced.
        self.versions.insert(hour, version);
        Ok(Some(pending))
    }

    fn confirm(&mut self, due: &DueUsage, version: u64) {
        self.versions.retain(|hour, _| *hour >= due.hour);
        self.versions.insert(due.hour, version);
        self.host.usage.lock().written(due, wall_ms());
    }

    fn key(&self, hour: u64) -> String {
        let Host {
            name, incarnation, ..
        } = &*self.host;
        format!("usage/{hour}/{name}-{incarnation}")
    }
}

fn log_unwritten(error: &StoreError) {
    log::write(
        Event::UsageUnwritten,
        &format!("error={:?}", error.to_string()),
    );
}
