//! Usage reports: counts the requests of each organisation by time window, keeps copies of the counts
//! at other hosts, and has the lease holder collect and report them.
//!
//! [`yuccacove::usage_window`] and [`yuccacove::fleet_clock`] decide; this module exchanges the messages
//! and makes the calls. No request causes a call to the store.

use std::cell::RefCell;
use std::fmt;
use std::rc::Rc;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use tokio::sync::Notify;
use yucca_io::clock::wall_ms;
use yuccacove::fleet_clock::{ClockSample, FleetClock};
use yuccacove::fleet_rate::HostId;
use yuccacove::usage_copies::Copies;
use yuccacove::usage_window::{Source, Tally};

use crate::hash::hash_of;
use crate::host::UsageTiming;

mod copies;
mod gather;
mod holder;
mod inquiry;

pub use copies::CopyPart;
use copies::PartBuffer;
use gather::GroupAggregation;
pub use gather::{GroupAnswer, GroupContent, GroupQuestion};
pub use holder::report_usage;
use inquiry::Inquiry;

/// Name of the object with the reports in the store.
pub const REPORTS_NAME: &str = "reports";
/// Number of windows for which counts are kept, so that reports can wait for the store.
const RETAINED_WINDOWS: u64 = 60;
/// Longest time by which a request is counted before now. The rest of the time until a window is
/// collected covers the
/// difference between two hosts' estimates of true time.
const MAX_BACKDATE_MS: u64 = 800;
/// Interval at which changed counts are sent to the replica hosts.
const REPLICATE_INTERVAL_MS: u64 = 500;
/// Number of replica hosts.
const REPLICAS: usize = 2;
/// Number of times that a changed count is sent, as datagrams may be lost.
const COPIES: u8 = 2;
/// Time without news of a host after which its replica hosts send its counts without being asked.
const UNHEARD_MS: u64 = 1_000;
/// Interval at which other hosts' clocks are read.
const CLOCK_INTERVAL_MS: u64 = 500;
/// Number of clocks that are read at a time, and while the own estimate is not settled.
const CLOCK_QUESTIONS: usize = 2;
const FIRST_CLOCK_QUESTIONS: usize = 8;
/// Largest number of windows in one question.
const MAX_WINDOWS: u64 = 8;
/// Largest size of the counts in a datagram. With the other fields a datagram stays below 1,280 bytes.
const MAX_BLOCKS_BYTES: usize = 1_100;
/// Largest size of a block's fields other than its entries.
const BLOCK_BYTES: usize = 34;
/// Size of a count and of the length of a name, at most.
const ENTRY_BYTES: usize = 6;

/// Counts of one run of a host in one window.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Block {
    source: Source,
    window: u64,
    entries: Vec<(String, u64)>,
}

/// A message about usage between two hosts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum UsageMessage {
    /// Question for the wall clock of a host.
    ClockQuestion {
        /// Host that asks.
        sender: HostId,
        /// Time of the question on its boot clock.
        sent_ms: u64,
    },
    /// Answer to such a question.
    ClockAnswer {
        /// Host that answers.
        sender: HostId,
        /// Time of the question.
        sent_ms: u64,
        /// Wall clock of the answering host.
        wall_ms: u64,
    },
    /// Counts for a replica host.
    Counts(Vec<Block>),
    /// The holder asks for counts.
    Question(Question),
    /// A part of the answer to such a question.
    Answer(Answer),
    /// The holder tells that it is about to report a window.
    Name {
        /// The holder.
        sender: HostId,
        /// Epoch of its lease.
        epoch: u64,
        /// The window.
        window: u64,
    },
    /// Confirms that a host remembers such a window.
    Named {
        /// Host that confirms.
        sender: HostId,
        /// Epoch in the message.
        epoch: u64,
        /// Window in the message.
        window: u64,
    },
    /// A part of a report that is about to be sent, for a host that keeps a copy.
    Copy {
        /// The holder.
        sender: HostId,
        /// The part.
        part: CopyPart,
    },
    /// Confirms that a host keeps a copy.
    CopyKept {
        /// Host that confirms.
        sender: HostId,
        /// Epoch of the copy.
        epoch: u64,
        /// Window of the copy.
        window: u64,
    },
    /// The holder asks for copies of the reports that the store has lost.
    CopyQuestion {
        /// The holder.
        sender: HostId,
        /// Epoch of its lease.
        epoch: u64,
        /// First window.
        first: u64,
        /// Last window.
        last: u64,
    },
    /// First part of the answer to such a question.
    CopiesNamed {
        /// Host that answers.
        sender: HostId,
        /// Epoch in the question.
        epoch: u64,
        /// Windows that the host was told of, and the highest epoch under which it was.
        named: Vec<(u64, u64)>,
        /// Number of copies that follow.
        copies: u32,
    },
    /// A part of a copy in the answer to such a question.
    CopyAnswer {
        /// Host that answers.
        sender: HostId,
        /// Epoch in the question.
        epoch: u64,
        /// The part.
        part: CopyPart,
    },
    /// The holder asks a host to add up the counts of a group.
    GroupQuestion(GroupQuestion),
    /// A part of the answer to such a question.
    GroupAnswer(GroupAnswer),
}

/// Question of the holder for counts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Question {
    sender: HostId,
    epoch: u64,
    number: u64,
    first: u64,
    /// Number of windows; 0 to ask only for the windows that the host knows of.
    windows: u64,
    /// Hosts that do not answer. If there are any, only counts of these are asked for.
    silent: Vec<HostId>,
}

/// A part of the answer to a [`Question`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    sender: HostId,
    epoch: u64,
    number: u64,
    part: u32,
    parts: u32,
    /// Highest window that a holder named to the host.
    remembered: Option<u64>,
    /// First window of which the host has counts.
    oldest: Option<u64>,
    /// Whether the host's process started in the first window or later, so that an earlier one may have
    /// counted requests.
    is_new_run: bool,
    blocks: Vec<Block>,
}

/// Another host, as messages are addressed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OtherHost {
    /// Its id.
    pub id: HostId,
    /// Its availability zone.
    pub zone: Rc<str>,
}

/// Counts of this host and what it keeps for others.
pub struct HostUsage {
    /// When usage is reported.
    pub timing: UsageTiming,
    own: Source,
    wall_ms: RefCell<Box<dyn Fn() -> u64>>,
    state: RefCell<State>,
    inquiry: RefCell<Option<Inquiry>>,
    /// Notified when an answer arrives.
    answered: Notify,
}

impl fmt::Debug for HostUsage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("HostUsage")
            .field("own", &self.own)
            .finish_non_exhaustive()
    }
}

#[derive(Debug)]
struct State {
    clock: FleetClock,
    tally: Tally,
    /// Changed counts, with the number of times that they are still to be sent.
    changed: IndexMap<(u64, String), u8>,
    /// Requests that wait until true time is known, with their times on the boot clock.
    unassigned: Vec<(u64, Rc<str>)>,
    /// Requests that could not be assigned since the last log line.
    dropped: u64,
    /// Runs of other hosts of which counts are kept, with the time of the last news.
    heard_ms: IndexMap<Source, u64>,
    /// Highest window that a holder named.
    remembered: Option<u64>,
    /// Windows that holders named, and the reports that this host keeps.
    copies: Copies,
    incomplete_copies: PartBuffer,
    /// Sum that this host forms for the holder.
    gather: Option<GroupAggregation>,
    /// Time of the start on the boot clock, and the window in which it was.
    started_ms: Option<u64>,
    started_window: Option<u64>,
    /// Answers to clock questions that are due: the recipient and the time of the question.
    clock_answers: Vec<(HostId, u64)>,
    replies: Vec<(HostId, UsageMessage)>,
    next_clock_ms: u64,
    next_replica_ms: u64,
}

impl HostUsage {
    /// Creates the state of a host that has counted nothing. `incarnation` must differ between the runs
    /// of a host.
    pub fn new(timing: UsageTiming, host: HostId, incarnation: u64) -> Self {
        Self {
            timing,
            own: Source { host, incarnation },
            wall_ms: RefCell::new(Box::new(wall_ms)),
            state: RefCell::new(State {
                clock: FleetClock::new(host),
                tally: Tally::default(),
                changed: IndexMap::new(),
                unassigned: Vec::new(),
                dropped: 0,
                heard_ms: IndexMap::new(),
                remembered: None,
                copies: Copies::default(),
                incomplete_copies: PartBuffer::default(),
                gather: None,
                started_ms: None,
                started_window: None,
                clock_answers: Vec::new(),
                replies: Vec::new(),
                next_clock_ms: 0,
                next_replica_ms: 0,
            }),
            inquiry: RefCell::default(),
            answered: Notify::new(),
        }
    }

    /// Replaces the wall clock, for tests.
    pub fn set_wall_clock(&self, clock: impl Fn() -> u64 + 'static) {
        *self.wall_ms.borrow_mut() = Box::new(clock);
    }

    fn wall_ms(&self) -> u64 {
        (self.wall_ms.borrow())()
    }

    /// Counts a request that began to run at `begun_ms` of the boot clock.
    pub(crate) fn count(&self, organisation: &Rc<str>, begun_ms: u64, now_ms: u64) {
        let begun_ms = begun_ms.max(now_ms.saturating_sub(MAX_BACKDATE_MS));
        let mut state = self.state.borrow_mut();
        state.unassigned.push((begun_ms, Rc::clone(organisation)));
    }

    /// Returns the number of requests that could not be assigned to a window since the last call.
    fn take_dropped(&self) -> u64 {
        std::mem::take(&mut self.state.borrow_mut().dropped)
    }

    /// Whether messages wait to be sent.
    pub(crate) fn has_messages(&self) -> bool {
        let state = self.state.borrow();
        let has_questions = self.inquiry.borrow().as_ref().is_some_and(|i| i.is_due);
        has_questions || !state.replies.is_empty() || !state.clock_answers.is_empty()
    }

    /// Whether messages are to be sent at `now_ms`.
    pub(crate) fn is_due(&self, now_ms: u64) -> bool {
        let state = self.state.borrow();
        let is_periodic = now_ms >= state.next_clock_ms.min(state.next_replica_ms);
        let is_gathering = state.gather.as_ref().is_some_and(GroupAggregation::is_open);
        is_periodic || is_gathering || self.has_messages()
    }

    /// Returns true time if it is known well enough.
    fn true_ms(&self, others: usize, now_ms: u64) -> Option<u64> {
        let state = self.state.borrow();
        let clock = Some(&state.clock).filter(|clock| clock.is_settled(others, now_ms))?;
        clock.true_ms(now_ms)
    }

    /// Reads the own clocks, and assigns the requests counted since to their windows.
    fn update(&self, others: usize, now_ms: u64) {
        let wall_ms = self.wall_ms();
        let mut state = self.state.borrow_mut();
        let state = &mut *state;
        state.clock.record_own(now_ms, wall_ms);
        let started_ms = *state.started_ms.get_or_insert(now_ms);
        if !state.clock.is_settled(others, now_ms) {
            return;
        }
        for (begun_ms, organisation) in std::mem::take(&mut state.unassigned) {
            let Some(true_ms) = state.clock.true_ms(begun_ms) else {
                state.dropped += 1;
                continue;
            };
            let window = true_ms / self.timing.window_ms;
            state.tally.count(window, self.own, &organisation);
            let entry = (window, organisation.to_string());
            state.changed.insert(entry, COPIES);
        }
        if let Some(true_ms) = state.clock.true_ms(now_ms) {
            let window = true_ms / self.timing.window_ms;
            let started_ms = true_ms.saturating_sub(now_ms.saturating_sub(started_ms));
            let started_window = started_ms / self.timing.window_ms;
            state.started_window.get_or_insert(started_window);
            let kept_ms = RETAINED_WINDOWS * self.timing.window_ms;
            state
                .heard_ms
                .retain(|_, heard_ms| now_ms.saturating_sub(*heard_ms) < kept_ms);
            let first_kept = window.saturating_sub(RETAINED_WINDOWS);
            state.tally.forget_before(first_kept);
            state.copies.forget_before(first_kept);
        }
    }

    /// Removes the messages that are due and returns them with their recipients.
    pub(crate) fn take_messages(
        &self,
        zone: &str,
        others: &[OtherHost],
        now_ms: u64,
        mut draw: impl FnMut() -> u64,
    ) -> Vec<(Vec<HostId>, UsageMessage)> {
        self.update(others.len(), now_ms);
        let wall_ms = self.wall_ms();
        let mut state = self.state.borrow_mut();
        let replies = std::mem::take(&mut state.replies).into_iter();
        let mut messages: Vec<_> = replies.map(|(to, message)| (vec![to], message)).collect();
        for (to, sent_ms) in std::mem::take(&mut state.clock_answers) {
            let answer = UsageMessage::ClockAnswer {
                sender: self.own.host,
                sent_ms,
                wall_ms,
            };
            messages.push((vec![to], answer));
        }
        if now_ms >= state.next_clock_ms && !others.is_empty() {
            state.next_clock_ms = now_ms + CLOCK_INTERVAL_MS;
            let question = UsageMessage::ClockQuestion {
                sender: self.own.host,
                sent_ms: now_ms,
            };
            let to = clock_hosts(&state.clock, others, now_ms, &mut draw);
            messages.push((to, question));
        }
        if now_ms >= state.next_replica_ms {
            state.next_replica_ms = now_ms + REPLICATE_INTERVAL_MS;
            let to = replicas(self.own.host, zone, others);
            for blocks in split(state.take_changed(self.own)) {
                messages.push((to.clone(), UsageMessage::Counts(blocks)));
            }
        }
        if let Some(gather) = &mut state.gather {
            let question = gather.take_question(self.own.host, now_ms);
            messages.extend(question.map(|(to, q)| (to, UsageMessage::Question(q))));
        }
        state.finish_gather(self.own, now_ms);
        drop(state);
        if let Some(inquiry) = &mut *self.inquiry.borrow_mut() {
            messages.extend(inquiry.take_messages(self.own.host, others));
        }
        messages
    }

    /// Handles a message of another host.
    pub(crate) fn receive(&self, message: UsageMessage, others: &[HostId], now_ms: u64) {
        // Requests that were counted just now belong to the answer.
        self.update(others.len(), now_ms);
        let mut state = self.state.borrow_mut();
        match message {
            UsageMessage::ClockQuestion { sender, sent_ms } => {
                state.clock_answers.push((sender, sent_ms));
            }
            UsageMessage::ClockAnswer {
                sender,
                sent_ms,
                wall_ms,
            } => {
                let sample = ClockSample {
                    sent_ms,
                    received_ms: now_ms,
                    wall_ms,
                };
                state.clock.record(sender, sample);
            }
            UsageMessage::Counts(blocks) => state.keep(self.own, &blocks, now_ms),
            // Requests that are not assigned to windows yet would be missing in the answer.
            UsageMessage::Question(_) | UsageMessage::GroupQuestion(_)
                if !state.unassigned.is_empty() => {}
            UsageMessage::Question(question) => {
                let to = question.sender;
                let answers = state.answers(self.own, &question, others, now_ms);
                let answers = answers.into_iter();
                let answers = answers.map(|answer| (to, UsageMessage::Answer(answer)));
                state.replies.extend(answers);
            }
            UsageMessage::Answer(answer)
                if state.gather.as_ref().is_some_and(|g| g.accepts(&answer)) =>
            {
                if let Some(gather) = &mut state.gather {
                    gather.record(&answer);
                }
                state.finish_gather(self.own, now_ms);
            }
            UsageMessage::GroupQuestion(question) => {
                state.gather(self.own, question, others, now_ms);
            }
            UsageMessage::GroupAnswer(answer) => {
                drop(state);
                if let Some(inquiry) = &mut *self.inquiry.borrow_mut() {
                    inquiry.record_group(answer, now_ms);
                }
                self.answered.notify_one();
            }
            UsageMessage::Answer(answer) => {
                drop(state);
                if let Some(inquiry) = &mut *self.inquiry.borrow_mut() {
                    inquiry.record_answer(&answer, now_ms);
                }
                self.answered.notify_one();
            }
            UsageMessage::Name {
                sender,
                epoch,
                window,
            } => {
                state.remembered = state.remembered.max(Some(window));
                state.copies.name(window, epoch);
                let named = UsageMessage::Named {
                    sender: self.own.host,
                    epoch,
                    window,
                };
                state.replies.push((sender, named));
            }
            UsageMessage::Named {
                sender,
                epoch,
                window,
            } => {
                drop(state);
                if let Some(inquiry) = &mut *self.inquiry.borrow_mut() {
                    inquiry.record_named(sender, epoch, window, now_ms);
                }
                self.answered.notify_one();
            }
            UsageMessage::Copy { sender, part } => {
                let (epoch, window) = (part.epoch, part.window);
                if let Some(copy) = state.incomplete_copies.add(sender, part) {
                    state.copies.keep(copy);
                    let kept = UsageMessage::CopyKept {
                        sender: self.own.host,
                        epoch,
                        window,
                    };
                    state.replies.push((sender, kept));
                }
            }
            UsageMessage::CopyQuestion {
                sender,
                epoch,
                first,
                last,
            } => {
                let answers = copies::answers(&state.copies, self.own.host, epoch, first, last);
                let answers = answers.into_iter().map(|answer| (sender, answer));
                state.replies.extend(answers);
            }
            UsageMessage::CopyKept { .. }
            | UsageMessage::CopiesNamed { .. }
            | UsageMessage::CopyAnswer { .. } => {
                drop(state);
                if let Some(inquiry) = &mut *self.inquiry.borrow_mut() {
                    inquiry.record_copies(message, now_ms);
                }
                self.answered.notify_one();
            }
        }
    }
}

impl State {
    /// Takes the own counts that are still to be sent to the replica hosts.
    fn take_changed(&mut self, own: Source) -> Vec<Block> {
        let mut blocks: IndexMap<u64, Vec<(String, u64)>> = IndexMap::new();
        for ((window, organisation), copies) in &mut self.changed {
            *copies -= 1;
            let counts = self.tally.counts(*window, own);
            if let Some(count) = counts.and_then(|counts| counts.get(organisation)) {
                let entries = blocks.entry(*window).or_default();
                entries.push((organisation.clone(), *count));
            }
        }
        self.changed.retain(|_, copies| *copies > 0);
        let blocks = blocks.into_iter();
        let blocks = blocks.map(|(window, entries)| Block {
            source: own,
            window,
            entries,
        });
        blocks.collect()
    }

    /// Begins to add up the counts of a group, or repeats the answer.
    fn gather(&mut self, own: Source, question: GroupQuestion, others: &[HostId], now_ms: u64) {
        if let Some(gather) = self.gather.as_ref().filter(|g| g.is_for(&question)) {
            let holder = question.sender;
            let answers = gather.answers().iter().cloned();
            let answers = answers.map(|answer| (holder, UsageMessage::GroupAnswer(answer)));
            self.replies.extend(answers);
            return;
        }
        let own_question = Question {
            sender: own.host,
            epoch: question.epoch,
            number: question.number,
            first: question.first,
            windows: question.windows,
            silent: Vec::new(),
        };
        let mut gather = GroupAggregation::new(question, now_ms);
        for answer in self.answers(own, &own_question, others, now_ms) {
            gather.record(&answer);
        }
        self.gather = Some(gather);
        self.finish_gather(own, now_ms);
    }

    /// Sends the sum of the group to the holder once it is complete.
    fn finish_gather(&mut self, own: Source, now_ms: u64) {
        if let Some(gather) = &mut self.gather {
            let holder = gather.question.sender;
            let answers = gather.finish(own, now_ms).iter().cloned();
            let answers = answers.map(|answer| (holder, UsageMessage::GroupAnswer(answer)));
            self.replies.extend(answers);
        }
    }

    /// Keeps counts that another host sent as to a replica host.
    fn keep(&mut self, own: Source, blocks: &[Block], now_ms: u64) {
        for block in blocks.iter().filter(|block| block.source != own) {
            self.tally.merge(block.window, block.source, &block.entries);
            self.heard_ms.insert(block.source, now_ms);
        }
    }

    /// Returns the parts of the answer to a question.
    fn answers(
        &self,
        own: Source,
        question: &Question,
        others: &[HostId],
        now_ms: u64,
    ) -> Vec<Answer> {
        let windows = question.windows.min(MAX_WINDOWS);
        let mut blocks = Vec::new();
        for window in question.first..question.first.saturating_add(windows) {
            for source in self.tally.sources(window) {
                let is_asked = if question.silent.is_empty() {
                    source == own || self.is_orphan(source, own, others, now_ms)
                } else {
                    question.silent.contains(&source.host)
                };
                let counts = self.tally.counts(window, source).filter(|_| is_asked);
                let entries = counts.into_iter().flatten();
                let entries: Vec<_> = entries.map(|(name, n)| (name.clone(), *n)).collect();
                if !entries.is_empty() {
                    blocks.push(Block {
                        source,
                        window,
                        entries,
                    });
                }
            }
        }
        let mut datagrams = split(blocks);
        if datagrams.is_empty() {
            datagrams.push(Vec::new());
        }
        let parts = datagrams.len() as u32;
        let answer = |(part, blocks)| Answer {
            sender: own.host,
            epoch: question.epoch,
            number: question.number,
            part,
            parts,
            remembered: self.remembered,
            oldest: self.tally.windows().next(),
            is_new_run: self.started_window.is_none_or(|w| w >= question.first),
            blocks,
        };
        (0..parts).zip(datagrams).map(answer).collect()
    }

    /// Whether the holder may not get the counts of a run of a host from that host: it is an earlier
    /// run, there are no news of it, or it is not listed.
    fn is_orphan(&self, source: Source, own: Source, others: &[HostId], now_ms: u64) -> bool {
        let Some(heard_ms) = self.heard_ms.get(&source).copied() else {
            return false;
        };
        let is_superseded = self
            .heard_ms
            .iter()
            .any(|(other, at_ms)| other.host == source.host && *at_ms > heard_ms);
        let is_unheard = now_ms > heard_ms + UNHEARD_MS;
        is_superseded || is_unheard || source.host == own.host || !others.contains(&source.host)
    }
}

/// Returns the hosts whose clocks are read next: those with the oldest samples, in random order.
fn clock_hosts(
    clock: &FleetClock,
    others: &[OtherHost],
    now_ms: u64,
    draw: &mut impl FnMut() -> u64,
) -> Vec<HostId> {
    let count = if clock.is_settled(others.len(), now_ms) {
        CLOCK_QUESTIONS
    } else {
        FIRST_CLOCK_QUESTIONS
    };
    let mut ids: Vec<_> = others.iter().map(|other| (draw(), other.id)).collect();
    // All samples count for 30 s, so that hosts of a large fleet are drawn at random.
    ids.sort_by_key(|(draw, id)| (clock.sampled_ms(*id), *draw));
    ids.into_iter().take(count).map(|(_, id)| id).collect()
}

/// Returns the replica hosts of `own`: other hosts of its availability zone, or any if there are too
/// few, by rendezvous hash.
fn replicas(own: HostId, zone: &str, others: &[OtherHost]) -> Vec<HostId> {
    nearest(own, zone, others, REPLICAS)
}

/// Returns the first `count` hosts in the order in which `own` prefers them as replica hosts.
fn nearest(own: HostId, zone: &str, others: &[OtherHost], count: usize) -> Vec<HostId> {
    let rank = |other: &&OtherHost| (&*other.zone != zone, hash_of((own.0, other.id.0)));
    let mut ranked: Vec<&OtherHost> = others.iter().filter(|other| other.id != own).collect();
    ranked.sort_by_key(rank);
    ranked.iter().take(count).map(|other| other.id).collect()
}

/// Returns the size of an entry in a datagram, at most.
fn entry_bytes(name: &str) -> usize {
    name.len() + ENTRY_BYTES
}

/// Distributes blocks over datagrams of at most [`MAX_BLOCKS_BYTES`].
fn split(blocks: Vec<Block>) -> Vec<Vec<Block>> {
    let mut datagrams: Vec<Vec<Block>> = Vec::new();
    let mut used_bytes = MAX_BLOCKS_BYTES;
    for block in blocks {
        let mut is_open = false;
        for (name, count) in block.entries {
            let entry_bytes = entry_bytes(&name);
            let block_bytes = if is_open { 0 } else { BLOCK_BYTES };
            if used_bytes + entry_bytes + block_bytes > MAX_BLOCKS_BYTES {
                datagrams.push(Vec::new());
                used_bytes = 0;
                is_open = false;
            }
            let Some(datagram) = datagrams.last_mut() else {
                continue;
            };
            if !std::mem::replace(&mut is_open, true) {
                used_bytes += BLOCK_BYTES;
                datagram.push(Block {
                    source: block.source,
                    window: block.window,
                    entries: Vec::new(),
                });
            }
            used_bytes += entry_bytes;
            if let Some(open) = datagram.last_mut() {
                open.entries.push((name, count));
            }
        }
    }
    datagrams
}
