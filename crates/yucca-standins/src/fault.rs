//! Fault injection: commands and the set of active faults.

use std::sync::{Condvar, Mutex, PoisonError};

use serde::Deserialize;

use crate::proxy::lock;

/// Kind of fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Mode {
    /// Ends all faults, but connections silenced by [`Mode::Silent`] stay silent.
    None,
    /// Closes the open connections, and each new one as soon as it carries a request.
    Down,
    /// Delays each call by `delay_ms`.
    Slow,
    /// The next `count` changes take effect, but their connections are closed without a response.
    /// For the service stand-in this includes reads.
    LoseAnswer,
    /// The next `count` reads of an object that has a previous version return that version.
    StaleRead,
    /// Suspends all work without closing connections.
    Freeze,
    /// Connections that are open now stay open but carry no more data; new ones work.
    Silent,
    /// Ends the process with exit code 70.
    Crash,
    /// Ends the process when it runs a request whose prompt contains `text`.
    CrashOn,
    /// The next `count` responses carry the id of another request.
    Crossed,
}

/// Body of `POST /faults`. Faults accumulate until [`Mode::None`] ends them.
#[derive(Debug, Clone, Deserialize)]
pub struct Command {
    /// Fault to inject, or [`Mode::None`] to end all faults.
    pub mode: Mode,
    /// Delay of each call in milliseconds under [`Mode::Slow`].
    #[serde(default)]
    pub delay_ms: u64,
    /// Number of calls that [`Mode::LoseAnswer`], [`Mode::StaleRead`] or [`Mode::Crossed`] applies
    /// to; 1 by default.
    #[serde(default = "one")]
    pub count: u64,
    /// Text that a prompt must contain to trigger [`Mode::CrashOn`].
    #[serde(default)]
    pub text: String,
}

fn one() -> u64 {
    1
}

#[derive(Debug, Default, Clone)]
struct State {
    down: bool,
    delay_ms: u64,
    lose_answers: u64,
    stale_reads: u64,
    frozen: bool,
    crash_text: String,
    crossed: u64,
}

/// Active faults of a stand-in.
#[derive(Debug, Default)]
pub struct Faults {
    state: Mutex<State>,
    unfrozen: Condvar,
}

impl Faults {
    /// Applies a command. [`Mode::Silent`] and [`Mode::Crash`] change nothing here, because they
    /// act on connections and on the process.
    pub fn apply(&self, command: &Command) {
        let mut state = lock(&self.state);
        match command.mode {
            Mode::None => {
                *state = State::default();
                self.unfrozen.notify_all();
            }
            Mode::Down => state.down = true,
            Mode::Slow => state.delay_ms = command.delay_ms,
            Mode::LoseAnswer => state.lose_answers = command.count,
            Mode::StaleRead => state.stale_reads = command.count,
            Mode::Freeze => state.frozen = true,
            Mode::CrashOn => state.crash_text.clone_from(&command.text),
            Mode::Crossed => state.crossed = command.count,
            Mode::Silent | Mode::Crash => {}
        }
    }

    /// Whether connections are closed without a response.
    pub fn is_down(&self) -> bool {
        lock(&self.state).down
    }

    /// Delay of each call in milliseconds; 0 without [`Mode::Slow`].
    pub fn delay_ms(&self) -> u64 {
        lock(&self.state).delay_ms
    }

    /// Whether to drop this response. A true result decrements the remaining count.
    pub fn consume_lost_answer(&self) -> bool {
        consume(&mut lock(&self.state).lose_answers)
    }

    /// Whether this read returns a stale value. A true result decrements the remaining count.
    pub fn consume_stale_read(&self) -> bool {
        consume(&mut lock(&self.state).stale_reads)
    }

    /// Whether this response carries the id of another request. A true result decrements the
    /// remaining count.
    pub fn consume_crossed_answer(&self) -> bool {
        consume(&mut lock(&self.state).crossed)
    }

    /// Whether running a request with `prompt` ends the process.
    pub fn crashes_on(&self, prompt: &str) -> bool {
        let state = lock(&self.state);
        !state.crash_text.is_empty() && prompt.contains(&state.crash_text)
    }

    /// Blocks while [`Mode::Freeze`] is active.
    pub fn wait_while_frozen(&self) {
        let state = lock(&self.state);
        drop(
            self.unfrozen
                .wait_while(state, |state| state.frozen)
                .unwrap_or_else(PoisonError::into_inner),
        );
    }
}

fn consume(count: &mut u64) -> bool {
    let is_left = *count > 0;
    *count -= u64::from(is_left);
    is_left
}
