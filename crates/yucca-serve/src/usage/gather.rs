//! Collection through groups of hosts: a member of each group adds up the counts of its group, so that
//! the holder of a large fleet receives one sum for many hosts.
//!
//! A sum names the runs of hosts that it contains. The holder takes at most one sum of each group, and
//! ignores the counts of these runs in any other answer, so that none counts twice.

use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};
use yuccacove::fleet_rate::HostId;
use yuccacove::usage_window::{Source, Tally};

use super::{Answer, Block, OtherHost, Question, split};
use crate::hash::hash_of;

/// Largest number of other hosts that the holder asks itself. Their answers take 4.2 KB/s.
pub(super) const MAX_DIRECT_HOSTS: usize = 40;
/// Largest number of hosts in a group. Their answers take 3.7 KB/s at the member that adds them up.
const MAX_MEMBERS: usize = 35;
/// Interval at which a member repeats its question to the others of its group.
const ASK_INTERVAL_MS: u64 = 200;
/// Time after which it answers without those that are silent.
const GROUP_WAIT_MS: u64 = 500;

/// Question of the holder to the member that adds up its group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupQuestion {
    pub(super) sender: HostId,
    pub(super) epoch: u64,
    pub(super) number: u64,
    pub(super) first: u64,
    pub(super) windows: u64,
    pub(super) members: Vec<HostId>,
}

/// A part of the answer to a [`GroupQuestion`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupAnswer {
    pub(super) sender: HostId,
    pub(super) epoch: u64,
    pub(super) number: u64,
    pub(super) part: u32,
    pub(super) parts: u32,
    pub(super) content: GroupContent,
}

/// What a part of such an answer contains.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum GroupContent {
    /// The members that answered, by their places in the question.
    Members {
        /// Members that answered.
        answered: Vec<u8>,
        /// Those of which an earlier run may have counts.
        restarted: Vec<u8>,
        /// Runs whose counts are in the sum: the member and its incarnation.
        sources: Vec<(u8, u64)>,
        /// Highest window that a holder named to any of them.
        remembered: Option<u64>,
        /// First window of which any of them has counts.
        oldest: Option<u64>,
    },
    /// Sums over the members by window; the source is the member that added them up.
    Sums(Vec<Block>),
    /// Counts that are not in the sum.
    Others(Vec<Block>),
}

/// A group, as the holder knows it.
#[derive(Debug)]
pub(super) struct Group {
    pub(super) members: Vec<HostId>,
    /// Member that adds up the group.
    pub(super) aggregator: HostId,
    pub(super) parts: IndexMap<u32, GroupAnswer>,
    /// Whether its sum was taken, or its members are asked by the holder itself.
    pub(super) is_closed: bool,
}

/// Divides the hosts of each availability zone into groups. Members in `alive` add up, if there are any;
/// they change with `draw`.
pub(super) fn groups(others: &[OtherHost], alive: &IndexSet<HostId>, draw: u64) -> Vec<Group> {
    let mut zones: IndexMap<&str, Vec<HostId>> = IndexMap::new();
    for other in others {
        zones.entry(&other.zone).or_default().push(other.id);
    }
    let mut groups = Vec::new();
    for mut hosts in zones.into_values() {
        hosts.sort_unstable_by_key(|id| id.0);
        let count = hosts.len().div_ceil(MAX_MEMBERS);
        let size = hosts.len().div_ceil(count.max(1));
        for members in hosts.chunks(size.max(1)) {
            let rank = |id: &&HostId| (!alive.contains(*id), hash_of((draw, id.0)));
            if let Some(aggregator) = members.iter().min_by_key(rank) {
                groups.push(Group {
                    members: members.to_vec(),
                    aggregator: *aggregator,
                    parts: IndexMap::new(),
                    is_closed: false,
                });
            }
        }
    }
    groups
}

/// The sum that this host forms for its group.
#[derive(Debug)]
pub(super) struct GroupAggregation {
    pub(super) question: GroupQuestion,
    asked_ms: u64,
    next_ask_ms: u64,
    answered: IndexSet<HostId>,
    parts: IndexSet<(HostId, u32)>,
    restarted: IndexSet<HostId>,
    own_runs: Tally,
    other_runs: Tally,
    remembered: Option<u64>,
    oldest: Option<u64>,
    /// The answer, which changes no more once it was sent.
    answers: Vec<GroupAnswer>,
}

impl GroupAggregation {
    pub(super) fn new(question: GroupQuestion, now_ms: u64) -> Self {
        Self {
            question,
            asked_ms: now_ms,
            next_ask_ms: now_ms,
            answered: IndexSet::new(),
            parts: IndexSet::new(),
            restarted: IndexSet::new(),
            own_runs: Tally::default(),
            other_runs: Tally::default(),
            remembered: None,
            oldest: None,
            answers: Vec::new(),
        }
    }

    /// Whether this is the sum that `question` asks for.
    pub(super) fn is_for(&self, question: &GroupQuestion) -> bool {
        self.question == *question
    }

    /// Whether an answer of a member is one to this host's question.
    pub(super) fn accepts(&self, answer: &Answer) -> bool {
        let is_member = self.question.members.contains(&answer.sender);
        is_member && (answer.epoch, answer.number) == (self.question.epoch, self.question.number)
    }

    /// Whether the sum is not formed yet.
    pub(super) fn is_open(&self) -> bool {
        self.answers.is_empty()
    }

    /// Returns the question to the members that have not answered, if it is due.
    pub(super) fn take_question(
        &mut self,
        own: HostId,
        now_ms: u64,
    ) -> Option<(Vec<HostId>, Question)> {
        if !self.answers.is_empty() || now_ms < self.next_ask_ms {
            return None;
        }
        self.next_ask_ms = now_ms + ASK_INTERVAL_MS;
        let members = self.question.members.iter().copied();
        let silent = members.filter(|id| !self.answered.contains(id));
        let question = Question {
            sender: own,
            epoch: self.question.epoch,
            number: self.question.number,
            first: self.question.first,
            windows: self.question.windows,
            silent: Vec::new(),
        };
        Some((silent.collect(), question))
    }

    /// Records an answer of a member, unless the sum was sent.
    pub(super) fn record(&mut self, answer: &Answer) {
        let sender = answer.sender;
        if !self.answers.is_empty() || self.answered.contains(&sender) {
            return;
        }
        self.remembered = self.remembered.max(answer.remembered);
        self.oldest = [self.oldest, answer.oldest].into_iter().flatten().min();
        for block in &answer.blocks {
            let tally = if block.source.host == sender {
                &mut self.own_runs
            } else {
                &mut self.other_runs
            };
            tally.merge(block.window, block.source, &block.entries);
        }
        if answer.is_new_run {
            self.restarted.insert(sender);
        }
        self.parts.insert((sender, answer.part));
        if (0..answer.parts).all(|part| self.parts.contains(&(sender, part))) {
            self.answered.insert(sender);
        }
    }

    /// Returns the answer once it was formed.
    pub(super) fn answers(&self) -> &[GroupAnswer] {
        &self.answers
    }

    /// Forms the answer when all members have answered or had time to. Returns it when it is new.
    pub(super) fn finish(&mut self, own: Source, now_ms: u64) -> &[GroupAnswer] {
        let is_complete = self.answered.len() == self.question.members.len();
        let is_late = now_ms >= self.asked_ms + GROUP_WAIT_MS;
        if !self.answers.is_empty() || !is_complete && !is_late {
            return &[];
        }
        let mut contents = vec![self.members()];
        contents.extend(split(self.sums(own)).into_iter().map(GroupContent::Sums));
        let others = split(self.others());
        contents.extend(others.into_iter().map(GroupContent::Others));
        let parts = contents.len() as u32;
        let answer = |(part, content)| GroupAnswer {
            sender: own.host,
            epoch: self.question.epoch,
            number: self.question.number,
            part,
            parts,
            content,
        };
        self.answers = (0..parts).zip(contents).map(answer).collect();
        &self.answers
    }

    fn place(&self, host: HostId) -> Option<u8> {
        let place = self.question.members.iter().position(|id| *id == host)?;
        u8::try_from(place).ok()
    }

    fn windows(&self) -> impl Iterator<Item = u64> + use<> {
        let GroupQuestion { first, windows, .. } = self.question;
        first..first.saturating_add(windows)
    }

    /// Runs whose counts are in the sum: those of members that have answered completely.
    fn summed(&self) -> IndexSet<Source> {
        let sources = self.windows().flat_map(|w| self.own_runs.sources(w));
        sources
            .filter(|s| self.answered.contains(&s.host))
            .collect()
    }

    fn members(&self) -> GroupContent {
        let places = |hosts: &IndexSet<HostId>| {
            let hosts = hosts.iter().filter(|id| self.answered.contains(*id));
            hosts.filter_map(|id| self.place(*id)).collect()
        };
        let sources = self.summed().into_iter();
        let sources = sources.filter_map(|s| Some((self.place(s.host)?, s.incarnation)));
        GroupContent::Members {
            answered: places(&self.answered),
            restarted: places(&self.restarted),
            sources: sources.collect(),
            remembered: self.remembered,
            oldest: self.oldest,
        }
    }

    fn sums(&self, own: Source) -> Vec<Block> {
        let summed = self.summed();
        let sums = self.windows().map(|window| {
            let mut total = Tally::default();
            for source in &summed {
                let counts = self.own_runs.counts(window, *source).into_iter().flatten();
                for (name, count) in counts {
                    total.add(window, own, name, *count);
                }
            }
            block(&total, window, own)
        });
        sums.filter(|block| !block.entries.is_empty()).collect()
    }

    fn others(&self) -> Vec<Block> {
        let mut blocks = Vec::new();
        for window in self.windows() {
            let sources = self.other_runs.sources(window);
            blocks.extend(sources.map(|source| block(&self.other_runs, window, source)));
        }
        blocks
    }
}

fn block(tally: &Tally, window: u64, source: Source) -> Block {
    let counts = tally.counts(window, source).into_iter().flatten();
    let entries = counts.map(|(name, count)| (name.clone(), *count)).collect();
    Block {
        source,
        window,
        entries,
    }
}
