//! Questions of the holder to the other hosts.

use indexmap::IndexSet;
use yuccacove::fleet_rate::HostId;
use yuccacove::usage_copies::ReportCopy;
use yuccacove::usage_window::{Counts, Majority, Report, Source, Tally, Term};

use super::copies::{self, COPY_HOSTS, Survey};
use super::gather::{self, Group, GroupAnswer, GroupContent, GroupQuestion, MAX_DIRECT_HOSTS};
use super::{Answer, OtherHost, Question, UsageMessage, nearest};
use crate::hash::hash_of;

/// Interval at which the holder repeats a message to hosts that have not answered.
const ASK_INTERVAL_MS: u64 = 400;
/// Time for which the holder waits for hosts that do not answer, once most have.
const SILENT_WAIT_MS: u64 = 1_600;
/// Time after which the holder goes on although too few hosts have confirmed that they keep a copy: hosts
/// of an earlier version do not.
const COPY_WAIT_MS: u64 = 1_200;
/// Number of questions to groups before the holder asks their members itself.
const GROUP_QUESTIONS: u64 = 2;
/// Number of hosts that are asked for what they keep of a silent host of a large fleet: its replica hosts,
/// and more because hosts may differ in which hosts they know.
const ASKED_REPLICAS: usize = 4;
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
    /// Groups of a large fleet that are asked for sums.
    groups: Vec<Group>,
    /// Hosts that answered the question before this one.
    alive: IndexSet<HostId>,
    /// Sums over groups, and the runs of hosts that they contain.
    sums: Tally,
    summed: IndexSet<Source>,
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
            groups: Vec::new(),
            alive: IndexSet::new(),
            sums: Tally::default(),
            summed: IndexSet::new(),
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
        self.alive = std::mem::take(&mut self.answered);
        self.parts.clear();
        self.restarted.clear();
        self.drop_counts();
    }

    fn drop_counts(&mut self) {
        self.groups.clear();
        self.sums = Tally::default();
        self.summed.clear();
        self.tally = Tally::default();
    }

    /// Returns the counts of a window, together with the own ones.
    pub(super) fn total(&mut self, window: u64, own: &Tally) -> Counts {
        self.tally.merge_window(window, own);
        let mut total = self.tally.total_without(window, &self.summed);
        for (organisation, count) in self.sums.total(window) {
            *total.entry(organisation).or_default() += count;
        }
        total.sort_unstable_keys();
        total
    }

    /// Ends the questions for these windows.
    pub(super) fn end(&mut self) {
        self.windows = 0;
        self.next_ask_ms = u64::MAX;
        self.drop_counts();
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
        hosts: &[OtherHost],
    ) -> Vec<(Vec<HostId>, UsageMessage)> {
        if !std::mem::replace(&mut self.is_due, false) {
            return Vec::new();
        }
        let others: Vec<HostId> = hosts.iter().map(|other| other.id).collect();
        let epoch = self.term.epoch;
        let mut messages = Vec::new();
        if self.windows > 0 && self.groups.is_empty() && self.parts.is_empty() {
            self.form_groups(hosts);
        }
        let rounds = self.number.saturating_sub(self.first_number);
        let is_grouped = self.windows > 0 && !self.groups.is_empty();
        if is_grouped && rounds < GROUP_QUESTIONS {
            messages.extend(self.group_questions(own));
        } else {
            messages.extend(self.questions(own, hosts, rounds, is_grouped));
        }
        if std::mem::take(&mut self.is_name_due) {
            messages.extend(self.name_messages(own, &others));
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

    fn form_groups(&mut self, hosts: &[OtherHost]) {
        if hosts.len() > MAX_DIRECT_HOSTS {
            self.groups = gather::groups(hosts, &self.alive, self.first);
        }
    }

    /// Returns the questions to the groups whose sum has not arrived.
    fn group_questions(&self, own: HostId) -> Vec<(Vec<HostId>, UsageMessage)> {
        let open = self.groups.iter().filter(|group| !group.is_closed);
        let question = |group: &Group| {
            let question = GroupQuestion {
                sender: own,
                epoch: self.term.epoch,
                number: self.first_number,
                first: self.first,
                windows: self.windows,
                members: group.members.clone(),
            };
            (
                vec![group.aggregator],
                UsageMessage::GroupQuestion(question),
            )
        };
        open.map(question).collect()
    }

    /// Returns the questions to the hosts that have not answered, and to others for the counts of these.
    fn questions(
        &mut self,
        own: HostId,
        hosts: &[OtherHost],
        rounds: u64,
        is_grouped: bool,
    ) -> Vec<(Vec<HostId>, UsageMessage)> {
        let mut messages = Vec::new();
        for group in &mut self.groups {
            group.is_closed = true;
        }
        let others = hosts.iter().map(|other| other.id);
        let silent: Vec<HostId> = others.filter(|id| !self.answered.contains(id)).collect();
        let question = Question {
            sender: own,
            epoch: self.term.epoch,
            number: self.number,
            first: self.first,
            windows: self.windows,
            silent: Vec::new(),
        };
        // By then hosts that are alive have had time to answer.
        let rounds_before = if is_grouped { GROUP_QUESTIONS + 1 } else { 2 };
        let mut lost: Vec<HostId> = self.restarted.iter().copied().collect();
        if rounds >= rounds_before {
            lost.extend(&silent);
        }
        lost.truncate(MAX_SILENT);
        if self.windows > 0 && !lost.is_empty() {
            let mut replicas: IndexSet<HostId> = self.answered.clone();
            if is_grouped {
                let is_lost = |other: &&OtherHost| lost.contains(&other.id);
                let near = hosts.iter().filter(is_lost);
                let near = near.flat_map(|o| nearest(o.id, &o.zone, hosts, ASKED_REPLICAS));
                let near: IndexSet<HostId> = near.collect();
                replicas.retain(|id| near.contains(id));
            }
            let question = Question {
                silent: lost,
                ..question.clone()
            };
            let replicas = replicas.into_iter().collect();
            messages.push((replicas, UsageMessage::Question(question)));
        }
        if !silent.is_empty() {
            messages.push((silent, UsageMessage::Question(question)));
        }
        messages
    }

    /// Records a part of a group's sum, which counts when all of it has arrived and its members are not
    /// asked by this host itself.
    pub(super) fn record_group(&mut self, answer: GroupAnswer, now_ms: u64) {
        if (answer.epoch, answer.number) != (self.term.epoch, self.first_number) {
            return;
        }
        self.majority.hear(answer.sender, now_ms);
        let is_open = |group: &&mut Group| group.aggregator == answer.sender && !group.is_closed;
        let Some(group) = self.groups.iter_mut().find(is_open) else {
            return;
        };
        let parts = answer.parts;
        group.parts.insert(answer.part, answer);
        if !(0..parts).all(|part| group.parts.contains_key(&part)) {
            return;
        }
        group.is_closed = true;
        let members = std::mem::take(&mut group.members);
        let answers = std::mem::take(&mut group.parts).into_values();
        for content in answers.map(|answer| answer.content) {
            self.record_content(&members, content, now_ms);
        }
    }

    fn record_content(&mut self, members: &[HostId], content: GroupContent, now_ms: u64) {
        let member = |place: u8| members.get(usize::from(place)).copied();
        match content {
            GroupContent::Members {
                answered,
                restarted,
                sources,
                remembered,
                oldest,
            } => {
                for id in answered.into_iter().filter_map(member) {
                    self.majority.hear(id, now_ms);
                    self.answered.insert(id);
                }
                self.restarted
                    .extend(restarted.into_iter().filter_map(member));
                for (place, incarnation) in sources {
                    let source = member(place).map(|host| Source { host, incarnation });
                    self.summed.extend(source);
                }
                self.remembered = self.remembered.max(remembered);
                self.oldest = [self.oldest, oldest].into_iter().flatten().min();
            }
            GroupContent::Sums(blocks) => {
                for block in &blocks {
                    let entries = &block.entries;
                    self.sums.merge(block.window, block.source, entries);
                }
            }
            GroupContent::Others(blocks) => {
                for block in &blocks {
                    let entries = &block.entries;
                    self.tally.merge(block.window, block.source, entries);
                }
            }
        }
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
