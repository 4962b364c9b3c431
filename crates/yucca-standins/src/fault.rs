//! Fault commands of the stand-ins.

use std::sync::{Condvar, Mutex, PoisonError};

use serde::Deserialize;

use crate::proxy::lock;

/// Kinds of faults.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Mode {
    /// Ends all faults; a silenced connection stays silent.
    None,
    /// Cuts the open connections, and each later one once it carries a request.
    Down,
    /// Delays each call by `delay_ms`.
    Slow,
    /// The next `count` changes take effect but get no answer.
    LoseAnswer,
    /// The next `count` reads of an object with an older version answer that version.
    StaleRead,
    /// Stops all work without closing connections.
    Freeze,
    /// Connections that are open now carry no more data; new ones work.
    Silent,
    /// Ends the process with exit code 70.
    Crash,
    /// Ends the process once a prompt that contains `text` runs.
    CrashOn,
    /// The next `count` answers carry the id of another request.
    Crossed,
}

/// Body of `POST /faults`. Faults add up until [`Mode::None`].
#[derive(Debug, Clone, Deserialize)]
pub struct Command {
    /// Kind of fault.
    pub mode: Mode,
    /// Delay of each call under [`Mode::Slow`].
    #[serde(default)]
    pub delay_ms: u64,
    /// Number of calls that the fault applies to.
    #[serde(default = "one")]
    pub count: u64,
    /// Text that [`Mode::CrashOn`] looks for.
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

/// Faults in force.
#[derive(Debug, Default)]
pub struct Faults {
    state: Mutex<State>,
    thawed: Condvar,
}

impl Faults {
    /// Puts a command in force; [`Mode::Silent`] and [`Mode::Crash`] act outside this state.
    pub fn apply(&self, command: &Command) {
        let mut state = lock(&self.state);
        match command.mode {
            Mode::None => {
                *state = State::default();
                self.thawed.notify_all();
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

    /// Whether connections are cut.
    pub fn is_down(&self) -> bool {
        lock(&self.state).down
    }

    /// Delay of each call.
    pub fn delay_ms(&self) -> u64 {
        lock(&self.state).delay_ms
    }

    /// Uses up one lost answer.
    pub fn consume_lost_answer(&self) -> bool {
        take(&mut lock(&self.state).lose_answers)
    }

    /// Uses up one stale read.
    pub fn consume_stale_read(&self) -> bool {
        take(&mut lock(&self.state).stale_reads)
    }

    /// Uses up one crossed answer.
    pub fn consume_crossed_answer(&self) -> bool {
        take(&mut lock(&self.state).crossed)
    }

    /// Whether a run of `prompt` ends the process.
    pub fn crashes_on(&self, prompt: &str) -> bool {
        let state = lock(&self.state);
        !state.crash_text.is_empty() && prompt.contains(&state.crash_text)
    }

    /// Blocks while the process is frozen.
    pub fn wait_while_frozen(&self) {
        let state = lock(&self.state);
        drop(
            self.thawed
                .wait_while(state, |state| state.frozen)
                .unwrap_or_else(PoisonError::into_inner),
        );
    }
}

fn take(count: &mut u64) -> bool {
    let some = *count > 0;
    *count -= u64::from(some);
    some
}
