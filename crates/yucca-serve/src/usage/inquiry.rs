//! Questions of the holder to the other hosts.

use indexmap::IndexSet;
use yuccacove::fleet_rate::HostId;
use yuccacove::usage_copies::ReportCopy;
use yuccacove::usage_window::{Majority, Report, Tally, Term};

use super::copies::{self, COPY_HOSTS, Survey};
use super::{Answer, Question, UsageMessage};
use crate::hash::hash_of;

/// Interval at which the holder repeats a message to hosts that have not answered.
const ASK_INTERVAL_MS: u64 = 400;
/// Time for which the holder waits for hosts that do not answer, once most have.
const SILENT_WAIT_MS: u64 = 1_600;
/// Time after which the holder goes on although too few hosts have confirmed that they keep a copy: hosts
/// of an earlier version do not.
const COPY_WAIT_MS: u64 = 1_200;
/// Largest number of silent hosts that are named in one question.
const MAX_SILENT: usize = 100;

/// What the holder has asked the other hosts, and their answers.
#[derive(Debug)]
pub(super) struct Inquiry {
    pub(super) term: Term,
    pub(super) majority: Majority,
    /// Number of the last question. Numbers rise within a term.
    pub(super) number: u64,
    /// Windows asked for; none at first, to learn which windows the hosts know of.
    pub(super) first: u64,
    pub(super) windows: u64,
    pub(super) asked_ms: u64,
    pub(super) next_ask_ms: u64,
    pub(super) is_due: bool,
    /// Number of the first question for these windows.
    pub(super) first_number: u64,
    pub(super) answered: IndexSet<HostId>,
    /// Parts received of an answer, by host, question number and part.
    pub(super) parts: IndexSet<(HostId, u64, u32)>,
    /// Hosts of which an earlier run may have counts.
    pub(super) restarted: IndexSet<HostId>,
    /// Counts in the answers. They are dropped once the windows are composed: those of all hosts of a
    /// large fleet in all windows that are kept would take tens of megabytes.
    pub(super) tally: Tally,
    pub(super) remembered: Option<u64>,
    pub(super) oldest: Option<u64>,
    /// Report whose window the other hosts are told of, and the hosts that confirmed it.
    pub(super) naming: Option<Report>,
    pub(super) named: IndexSet<HostId>,
    pub(super) is_name_due: bool,
    pub(super) next_name_ms: u64,
    named_since_ms: u64,
    /// Hosts that keep a copy of that report.
    copied: IndexSet<HostId>,
    /// Number of times that the hosts were told.
    name_rounds: usize,
    /// Question for copies of reports that the store has lost.
    survey: Option<Survey>,
    is_survey_due: bool,
}

impl Inquiry {
    pub(super) fn new(term: Term, now_ms: u64) -> Self {
        Self {
            term,
            majority: Majority::new(now_ms),
            number: 0,
            first: 0,
            windows: 0,
            asked_ms: now_ms,
            next_ask_ms: now_ms,
            is_due: false,
            first_number: 1,
            answered: IndexSet::new(),
            parts: IndexSet::new(),
            restarted: IndexSet::new(),
            tally: Tally::default(),
            remembered: None,
            oldest: None,
            naming: None,
            named: IndexSet::new(),
            is_name_due: false,
            next_name_ms: 0,
            named_since_ms: 0,
            copied: IndexSet::new(),
            name_rounds: 0,
            survey: None,
            is_survey_due: false,
        }
    }

    /// Begins to ask for windows.
    pub(super) fn ask(&mut self, first: u64, windows: u64, now_ms: u64) {
        self.first = first;
        self.windows = windows;
        self.asked_ms = now_ms;
        self.next_ask_ms = now_ms;
        self.first_number = self.number + 1;
        self.answered.clear();
        self.parts.clear();
        self.restarted.clear();
        self.tally = Tally::default();
    }

    /// Ends the questions for these windows.
    pub(super) fn end(&mut self) {
        self.windows = 0;
        self.next_ask_ms = u64::MAX;
        self.tally = Tally::default();
    }

    /// Repeats the messages to the hosts that have not answered, at intervals.
    pub(super) fn advance(&mut self, now_ms: u64) {
        if now_ms >= self.next_ask_ms {
            self.next_ask_ms = now_ms + ASK_INTERVAL_MS;
            self.number += 1;
            self.is_due = true;
        }
        if self.naming.is_some() && now_ms >= self.next_name_ms {
            self.next_name_ms = now_ms + ASK_INTERVAL_MS;
            self.name_rounds += 1;
            self.is_name_due = true;
            self.is_due = true;
        }
        let survey = self.survey.as_mut();
        if survey.is_some_and(|survey| survey.take_due(now_ms)) {
            self.is_survey_due = true;
            self.is_due = true;
        }
    }

    /// Begins to tell the hosts of the window of a report.
    pub(super) fn name(&mut self, report: &Report, now_ms: u64) {
        let naming = self.naming.as_ref().map(|naming| naming.window);
        if naming != Some(report.window) {
            self.naming = Some(report.clone());
            self.named.clear();
            self.copied.clear();
            self.name_rounds = 0;
            self.next_name_ms = now_ms;
            self.named_since_ms = now_ms;
        }
    }

    /// Whether enough hosts were told of the window and keep its report.
    pub(super) fn is_named(&self, others: &[HostId], now_ms: u64) -> bool {
        let is_copied = self.copied.len() >= COPY_HOSTS.min(others.len())
            || now_ms >= self.named_since_ms + COPY_WAIT_MS;
        is_copied && self.majority.is_told(others, &self.named, now_ms)
    }

    /// Begins to ask for the copies of the windows from `first` to `last`, unless it has begun.
    pub(super) fn survey(&mut self, first: u64, last: u64, now_ms: u64) -> &Survey {
        let survey = self.survey.take();
        let survey = survey.unwrap_or_else(|| Survey::new(first, last, now_ms));
        self.survey.insert(survey)
    }

    /// Ends the question for copies.
    pub(super) fn end_survey(&mut self) {
        self.survey = None;
        self.is_survey_due = false;
    }

    /// Records an answer about copies.
    pub(super) fn record_copies(&mut self, message: UsageMessage, now_ms: u64) {
        let (sender, epoch) = match &message {
            UsageMessage::CopyKept { sender, epoch, .. }
            | UsageMessage::CopiesNamed { sender, epoch, .. }
            | UsageMessage::CopyAnswer { sender, epoch, .. } => (*sender, *epoch),
            _ => return,
        };
        if epoch != self.term.epoch {
            return;
        }
        self.majority.hear(sender, now_ms);
        let naming = self.naming.as_ref().map(|report| report.window);
        match (message, &mut self.survey) {
            (UsageMessage::CopyKept { window, .. }, _) if naming == Some(window) => {
                self.copied.insert(sender);
            }
            (UsageMessage::CopiesNamed { named, copies, .. }, Some(survey)) => {
                survey.record_named(sender, &named, copies);
            }
            (UsageMessage::CopyAnswer { part, .. }, Some(survey)) => {
                survey.record_part(sender, part);
            }
            _ => {}
        }
    }

    pub(super) fn take_messages(
        &mut self,
        own: HostId,
        others: &[HostId],
    ) -> Vec<(Vec<HostId>, UsageMessage)> {
        let mut messages = Vec::new();
        if !std::mem::replace(&mut self.is_due, false) {
            return messages;
        }
        let epoch = self.term.epoch;
        let is_silent = |id: &HostId| !self.answered.contains(id);
        let silent: Vec<HostId> = others.iter().copied().filter(is_silent).collect();
        let question = Question {
            sender: own,
            epoch,
            number: self.number,
            first: self.first,
            windows: self.windows,
            silent: Vec::new(),
        };
        // At the third question hosts that are alive have had time to answer.
        let mut lost: Vec<HostId> = self.restarted.iter().copied().collect();
        if self.number >= self.first_number + 2 {
            lost.extend(&silent);
        }
        lost.truncate(MAX_SILENT);
        if self.windows > 0 && !lost.is_empty() {
            let replicas = self.answered.iter().copied().collect();
            let question = Question {
                silent: lost,
                ..question.clone()
            };
            messages.push((replicas, UsageMessage::Question(question)));
        }
        if !silent.is_empty() {
            messages.push((silent, UsageMessage::Question(question)));
        }
        if std::mem::take(&mut self.is_name_due) {
            messages.extend(self.name_messages(own, others));
        }
        let is_survey_due = std::mem::take(&mut self.is_survey_due);
        if let Some(survey) = self.survey.as_ref().filter(|_| is_survey_due) {
            let answered = survey.answered();
            let is_silent = |id: &HostId| !answered.contains(id);
            let silent = others.iter().copied().filter(is_silent).collect();
            messages.push((silent, survey.question(own, epoch)));
        }
        messages
    }

    /// Returns the messages that tell hosts of the window that is about to be reported, and the copies of
    /// its report.
    fn name_messages(&self, own: HostId, others: &[HostId]) -> Vec<(Vec<HostId>, UsageMessage)> {
        let Some(report) = &self.naming else {
            return Vec::new();
        };
        let epoch = self.term.epoch;
        let mut messages = Vec::new();
        let missing = COPY_HOSTS.saturating_sub(self.copied.len());
        // Hosts that have answered are likely alive. Each round goes to others, as those before may be lost.
        let mut hosts: Vec<HostId> = others.to_vec();
        hosts.retain(|id| !self.copied.contains(id));
        hosts.sort_by_key(|id| (!self.answered.contains(id), hash_of((own.0, id.0))));
        if missing > 0 && !hosts.is_empty() {
            let skipped = self.name_rounds.saturating_sub(1) * COPY_HOSTS;
            let to: Vec<HostId> = hosts
                .iter()
                .copied()
                .cycle()
                .skip(skipped)
                .take(missing)
                .collect();
            let report = report.clone();
            for part in copies::split(&ReportCopy { epoch, report }) {
                let copy = UsageMessage::Copy { sender: own, part };
                messages.push((to.clone(), copy));
            }
        }
        let is_unaware = |id: &HostId| !self.named.contains(id);
        let unaware: Vec<HostId> = others.iter().copied().filter(is_unaware).collect();
        if !unaware.is_empty() {
            let name = UsageMessage::Name {
                sender: own,
                epoch,
                window: report.window,
            };
            messages.push((unaware, name));
        }
        messages
    }

    pub(super) fn record_answer(&mut self, answer: &Answer, now_ms: u64) {
        if answer.epoch != self.term.epoch {
            return;
        }
        self.majority.hear(answer.sender, now_ms);
        self.remembered = self.remembered.max(answer.remembered);
        self.oldest = [self.oldest, answer.oldest].into_iter().flatten().min();
        if answer.number < self.first_number {
            return;
        }
        for block in &answer.blocks {
            self.tally.merge(block.window, block.source, &block.entries);
        }
        if answer.is_new_run {
            self.restarted.insert(answer.sender);
        }
        let Answer {
            sender,
            number,
            parts,
            ..
        } = *answer;
        self.parts.insert((sender, number, answer.part));
        if (0..parts).all(|part| self.parts.contains(&(sender, number, part))) {
            self.answered.insert(sender);
        }
    }

    pub(super) fn record_named(&mut self, sender: HostId, epoch: u64, window: u64, now_ms: u64) {
        let naming = self.naming.as_ref().map(|report| report.window);
        if epoch == self.term.epoch && naming == Some(window) {
            self.majority.hear(sender, now_ms);
            self.named.insert(sender);
        }
    }

    /// Whether the answers suffice. `is_late` means that the holder goes on with what it has.
    pub(super) fn is_complete(&self, others: &[HostId], is_late: bool, now_ms: u64) -> bool {
        let asks_replicas = self.windows > 0 && !self.restarted.is_empty();
        if !asks_replicas && others.iter().all(|id| self.answered.contains(id)) {
            return true;
        }
        let is_heard = self.majority.is_heard(others, &self.answered, now_ms);
        now_ms >= self.asked_ms + SILENT_WAIT_MS && (is_heard || is_late)
    }
}
