//! Proof that this host's configuration is recent, from the store and from other hosts.
//!
//! [`yuccacove::recency`] decides whether a proof suffices; this module obtains it. A host asks others
//! with the time of its own clock, which they return. Its proof then counts from the question, so that
//! an answer which was delayed, or waited while the host was suspended, proves less and never too much.

use std::cell::{Cell, RefCell};

use serde::{Deserialize, Serialize};
use yucca_io::log;
use yuccacove::event::Event;
use yuccacove::fleet_rate::HostId;
use yuccacove::recency::Recency;

use crate::boot_clock::BootClock;
use crate::revision::era_of;

/// Interval between two questions, as a share of the bound on withdrawn keys.
const QUESTION_SHARE: f64 = 0.1;
/// Wait of a watch for changes of the configuration, as a share of the same bound.
const WATCH_SHARE: f64 = 0.16;
/// Pause after a watch has returned changes, as a share of the same bound.
const BATCH_SHARE: f64 = 0.06;
/// Era of a store that was never restored.
const FIRST_ERA: u64 = 1;
/// Number of questions without an answer after which a host that starts assumes that no other host
/// knows a newer configuration than that of a restored store.
const UNANSWERED_QUESTIONS: u32 = 6;

/// Identifies a configuration.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigId {
    /// Revision of its object.
    pub revision: u64,
    /// Its version.
    pub version: u64,
}

impl ConfigId {
    /// Whether this configuration is at least as new as `other`. After a restore of the store a copy
    /// may have a higher revision with a lower version, and then it is not.
    fn covers(self, other: Self) -> bool {
        self.revision >= other.revision && self.version >= other.version
    }
}

/// Question of a host for the age of another host's proof.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Question {
    /// Host that asks.
    pub sender: HostId,
    /// Time of the question on its clock, in milliseconds.
    pub sent_ms: u64,
}

/// Answer to a [`Question`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// Time of the question on the clock of the host that asked.
    pub sent_ms: u64,
    /// Age of the answering host's proof in milliseconds.
    pub age_ms: u64,
    /// Configuration that the proof is for.
    pub config: ConfigId,
}

/// Recency of the active configuration of a host.
#[derive(Debug)]
pub struct ConfigRecency {
    bound_ms: u64,
    recency: RefCell<Recency>,
    config: Cell<ConfigId>,
    last_question_ms: Cell<Option<u64>>,
    /// Questions left until the configuration of a restored store is trusted without an answer; 0 if
    /// it is trusted.
    untrusted_questions: Cell<u32>,
    answers: RefCell<Vec<(HostId, Answer)>>,
    was_proven: Cell<bool>,
}

impl ConfigRecency {
    /// Creates the state of a host without proof, where a withdrawn key is accepted for at most
    /// `bound_ms`.
    pub fn new(bound_ms: u64) -> Self {
        Self {
            bound_ms,
            recency: RefCell::new(Recency::new(bound_ms)),
            config: Cell::default(),
            last_question_ms: Cell::new(None),
            untrusted_questions: Cell::new(0),
            answers: RefCell::default(),
            was_proven: Cell::new(false),
        }
    }

    /// Whether API keys may be accepted now.
    pub fn is_proven(&self, clock: &BootClock) -> bool {
        self.untrusted_questions.get() == 0 && self.recency.borrow().is_proven(clock.now_ms())
    }

    /// Logs whether API keys are accepted if that has changed since the last call.
    pub(crate) fn log_change(&self, clock: &BootClock) {
        let is_proven = self.is_proven(clock);
        if self.was_proven.replace(is_proven) == is_proven {
            return;
        }
        let event = if is_proven {
            Event::KeysProven
        } else {
            Event::KeysUnproven
        };
        let ConfigId { revision, version } = self.config.get();
        log::write(event, &format!("version={version} revision={revision}"));
    }

    /// Records that a configuration became active. The first one that a host reads from a restored
    /// store may be older than the one that other hosts use.
    pub(crate) fn record_config(&self, config: ConfigId) {
        let is_first = self.config.replace(config) == ConfigId::default();
        if is_first && era_of(config.revision) > FIRST_ERA {
            self.untrusted_questions.set(UNANSWERED_QUESTIONS);
        }
    }

    /// Records that the store had no newer configuration at `as_of_ms`.
    pub(crate) fn record_store_proof(&self, as_of_ms: u64) {
        self.recency.borrow_mut().record_proof(as_of_ms);
    }

    /// Returns how long a watch on the configuration waits for changes.
    pub(crate) fn watch_wait_ms(&self, longest_ms: u64, clock: &BootClock) -> u64 {
        /// Wait of a watch that is only to prove that there are no changes.
        const CONFIRM_WAIT_MS: u64 = 1;
        if self.recency.borrow().is_urgent(clock.now_ms()) {
            return CONFIRM_WAIT_MS;
        }
        self.share(WATCH_SHARE).min(longest_ms)
    }

    /// Returns the pause after a watch that has returned changes.
    pub(crate) fn batch_pause_ms(&self, longest_ms: u64) -> u64 {
        self.share(BATCH_SHARE).min(longest_ms)
    }

    /// Returns a question for other hosts if one is due.
    pub(crate) fn next_question(&self, sender: HostId, clock: &BootClock) -> Option<Question> {
        let now_ms = clock.now_ms();
        let interval_ms = self.share(QUESTION_SHARE);
        let is_recent = |age_ms| age_ms < interval_ms && self.untrusted_questions.get() == 0;
        if self.recency.borrow().age_ms(now_ms).is_some_and(is_recent) {
            return None;
        }
        let last_ms = self.last_question_ms.get();
        if last_ms.is_some_and(|last_ms| now_ms < last_ms + interval_ms) {
            return None;
        }
        self.last_question_ms.set(Some(now_ms));
        let untrusted = self.untrusted_questions.get();
        // An answer decides, if there is any; the last question without one ends the wait.
        self.untrusted_questions.set(untrusted.saturating_sub(1));
        Some(Question {
            sender,
            sent_ms: now_ms,
        })
    }

    /// Whether questions go to more hosts than the relays.
    pub(crate) fn is_urgent(&self, clock: &BootClock) -> bool {
        self.untrusted_questions.get() > 0 || self.recency.borrow().is_urgent(clock.now_ms())
    }

    /// Handles a question: answers it if this host has proof of its own.
    pub(crate) fn receive_question(&self, question: Question, clock: &BootClock) {
        if self.untrusted_questions.get() > 0 {
            return;
        }
        if let Some(age_ms) = self.recency.borrow().age_ms(clock.now_ms()) {
            let answer = Answer {
                sent_ms: question.sent_ms,
                age_ms,
                config: self.config.get(),
            };
            self.answers.borrow_mut().push((question.sender, answer));
        }
    }

    /// Returns and forgets the answers to send, each with its recipient.
    pub(crate) fn take_answers(&self) -> Vec<(HostId, Answer)> {
        std::mem::take(&mut self.answers.borrow_mut())
    }

    /// Handles an answer. It proves nothing if this host lacks the configuration.
    pub(crate) fn receive_answer(&self, answer: Answer) {
        if !self.config.get().covers(answer.config) {
            if self.untrusted_questions.get() > 0 {
                self.untrusted_questions.set(UNANSWERED_QUESTIONS);
            }
            return;
        }
        self.untrusted_questions.set(0);
        let as_of_ms = answer.sent_ms.saturating_sub(answer.age_ms);
        self.recency.borrow_mut().record_proof(as_of_ms);
    }

    fn share(&self, share: f64) -> u64 {
        (self.bound_ms as f64 * share) as u64
    }
}
