//! Counts of requests by time window and organisation, and the decisions of the host that reports them.
//!
//! A window must never be reported with two different counts. A report is therefore written to the store
//! before its first call and never changes afterwards. Before that call a majority of the hosts is told
//! the number of the window: no holder composes a window again that a host names, not even after a
//! restore of the store to a copy without the report.
//!
//! ```
//! use yuccacove::fleet_rate::HostId;
//! use yuccacove::usage_window::{Source, Tally};
//!
//! let mut tally = Tally::default();
//! let source = Source { host: HostId(1), incarnation: 7 };
//! tally.merge(4, source, &[("alder".to_owned(), 2)]);
//! tally.merge(4, source, &[("alder".to_owned(), 2)]);
//! assert_eq!(tally.total(4)["alder"], 2);
//! ```

use std::collections::BTreeMap;

use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};

use crate::fleet_rate::HostId;

/// Largest number of reports that wait in the store. With 950 organisations of 20 bytes each they take
/// 0.5 MB, half of what a value may have. Later windows wait in the hosts' memory.
pub const MAX_PENDING: usize = 24;
/// Pause after the first call that failed; it doubles with each further one.
const FIRST_PAUSE_MS: u64 = 250;
/// Number of windows before the last announced one for which it is told that there is no report. Hosts keep
/// no copies of older ones.
const MAX_NAMED_WINDOWS: u64 = 60;
/// Longest pause after a call that failed.
const MAX_PAUSE_MS: u64 = 4_000;
/// Pause before a report is sent again that was refused for its content.
const REFUSED_PAUSE_MS: u64 = 30_000;
/// Time without an answer after which a host no longer counts for a majority. Hosts that are gone for
/// good would otherwise end all reports once they are half of those listed. It is longer than the time
/// in which a successor takes the lease and asks.
const SILENT_MS: u64 = 20_000;

/// Number of requests by organisation.
pub type Counts = IndexMap<String, u64>;

/// One run of a host's process. Counts of different runs add up.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Source {
    /// The host.
    pub host: HostId,
    /// Number that differs between its runs.
    pub incarnation: u64,
}

/// Counts by window, run of a host, and organisation.
#[derive(Debug, Default)]
pub struct Tally {
    windows: BTreeMap<u64, IndexMap<Source, Counts>>,
}

impl Tally {
    /// Counts a request.
    pub fn count(&mut self, window: u64, source: Source, organisation: &str) {
        self.add(window, source, organisation, 1);
    }

    /// Adds to a count.
    pub fn add(&mut self, window: u64, source: Source, organisation: &str, count: u64) {
        let counts = self.entry(window, source);
        match counts.get_mut(organisation) {
            Some(known) => *known += count,
            None => {
                counts.insert(organisation.to_owned(), count);
            }
        }
    }

    /// Merges counts that a host sent. Counts only grow, so that the larger one of each entry holds, in
    /// whichever order and however often they arrive.
    pub fn merge(&mut self, window: u64, source: Source, entries: &[(String, u64)]) {
        let counts = self.entry(window, source);
        for (organisation, count) in entries {
            match counts.get_mut(organisation) {
                Some(known) => *known = (*known).max(*count),
                None => {
                    counts.insert(organisation.clone(), *count);
                }
            }
        }
    }

    /// Merges all counts that `other` has of a window.
    pub fn merge_window(&mut self, window: u64, other: &Self) {
        for source in other.sources(window) {
            let counts = other.counts(window, source).into_iter().flatten();
            let entries: Vec<_> = counts.map(|(name, n)| (name.clone(), *n)).collect();
            self.merge(window, source, &entries);
        }
    }

    fn entry(&mut self, window: u64, source: Source) -> &mut Counts {
        let sources = self.windows.entry(window).or_default();
        sources.entry(source).or_default()
    }

    /// Returns the counts of a run of a host in a window, if there are any.
    pub fn counts(&self, window: u64, source: Source) -> Option<&Counts> {
        self.windows.get(&window)?.get(&source)
    }

    /// Returns the runs of hosts with counts in a window.
    pub fn sources(&self, window: u64) -> impl Iterator<Item = Source> {
        let sources = self.windows.get(&window).into_iter();
        sources.flat_map(|sources| sources.keys().copied())
    }

    /// Returns the windows with counts, in ascending order.
    pub fn windows(&self) -> impl Iterator<Item = u64> {
        self.windows.keys().copied()
    }

    /// Returns the sum over all hosts in a window, sorted by organisation.
    pub fn total(&self, window: u64) -> Counts {
        self.total_without(window, &IndexSet::new())
    }

    /// As [`Tally::total`], without the counts of some runs of hosts.
    pub fn total_without(&self, window: u64, without: &IndexSet<Source>) -> Counts {
        let mut total = Counts::new();
        let sources = self.windows.get(&window).into_iter().flatten();
        for (_, counts) in sources.filter(|(source, _)| !without.contains(*source)) {
            for (organisation, count) in counts {
                *total.entry(organisation.clone()).or_default() += count;
            }
        }
        total.sort_unstable_keys();
        total
    }

    /// Forgets all windows before `window`.
    pub fn forget_before(&mut self, window: u64) {
        self.windows = self.windows.split_off(&window);
    }
}

/// A report, which never changes once it was written to the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Number of the window.
    pub window: u64,
    /// Number of requests by organisation.
    pub counts: Counts,
}

/// Content of the object in the store.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reports {
    /// Highest window that was composed; `None` before the first one.
    pub highest: Option<u64>,
    /// Reports that may not have been acknowledged, in ascending order of their windows.
    pub pending: Vec<Report>,
}

/// Whether a majority of the hosts was heard, among those that are not silent for good.
#[derive(Debug)]
pub struct Majority {
    since_ms: u64,
    heard_ms: IndexMap<HostId, u64>,
}

impl Majority {
    /// Starts with no host heard.
    pub fn new(now_ms: u64) -> Self {
        Self {
            since_ms: now_ms,
            heard_ms: IndexMap::new(),
        }
    }

    /// Records that a host answered.
    pub fn hear(&mut self, host: HostId, now_ms: u64) {
        self.heard_ms.insert(host, now_ms);
    }

    /// Whether `answered`, together with this host, are more than half of this host and `others`.
    pub fn is_heard(&self, others: &[HostId], answered: &IndexSet<HostId>, now_ms: u64) -> bool {
        let (reached, hosts) = self.reached(others, answered, now_ms);
        2 * (reached + 1) > hosts
    }

    /// Whether `told` without this host are more than half of this host and `others`. Any majority that
    /// a successor hears then has one of them, also if this host has restarted and forgotten.
    pub fn is_told(&self, others: &[HostId], told: &IndexSet<HostId>, now_ms: u64) -> bool {
        let (reached, hosts) = self.reached(others, told, now_ms);
        // With two hosts the other one suffices, as there is no more.
        reached > (hosts / 2).min(hosts.saturating_sub(2)) || hosts == 1
    }

    /// Returns how many of the other hosts that count are in `set`, and how many hosts count.
    fn reached(&self, others: &[HostId], set: &IndexSet<HostId>, now_ms: u64) -> (usize, usize) {
        let counts = |id: &&HostId| {
            let heard_ms = self.heard_ms.get(*id).copied().unwrap_or(self.since_ms);
            now_ms.saturating_sub(heard_ms) < SILENT_MS
        };
        let counted: Vec<&HostId> = others.iter().filter(counts).collect();
        let reached = counted.iter().filter(|id| set.contains(**id)).count();
        (reached, counted.len() + 1)
    }
}

/// Authority of the holder: the lease's epoch and the store's era.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Term {
    /// Epoch of the lease.
    pub epoch: u64,
    /// Era of the store, which rises when it is restored.
    pub era: u64,
}

/// What the holder does next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Nothing for now.
    Wait,
    /// Read the object in the store.
    Read,
    /// Write the object in the store if its revision is `expected`; `None` to create it.
    Write {
        /// Revision that is replaced.
        expected: Option<u64>,
        /// New content.
        value: Reports,
    },
    /// Tell the other hosts that the report is about to be sent, and copy it to some of them.
    Name(Report),
    /// Call the control API.
    Call(Report),
}

/// Result of a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The object has this revision now.
    Written(u64),
    /// The write had no effect, has one that is not known, or may still take effect.
    Unknown,
}

/// Result of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallOutcome {
    /// The report was taken.
    Done,
    /// The control API saw a higher fencing token.
    Fenced,
    /// The control API refused the report for its content.
    Refused,
    /// Unavailable, over its rate, or no answer. The call may be carried out later.
    Failed,
}

/// A report that is not acknowledged, and when it was to be sent again.
#[derive(Debug, Clone)]
struct Unsent {
    report: Report,
    retry_ms: u64,
}

/// State of the host that composes and sends the reports.
#[derive(Debug, Default)]
pub struct Reporter {
    term: Option<Term>,
    /// Content and revision of the object as last read or written; `None` if it must be read.
    stored: Option<(Reports, Option<u64>)>,
    /// Composed reports that are not known to be in the store. They change no more within a term,
    /// because a write without an answer may take effect later.
    composed: BTreeMap<u64, Report>,
    /// Reports in the store that are not acknowledged.
    unsent: BTreeMap<u64, Unsent>,
    /// Windows that were acknowledged and may still be in the store.
    acknowledged: IndexSet<u64>,
    /// Highest window that a majority of the hosts was told of in this term.
    named: Option<u64>,
    /// Highest window that hosts name; `None` until a majority of them was asked in this term.
    remembered: Option<Option<u64>>,
    /// Reports that hosts keep of windows that the store has lost; `None` until a majority of them was
    /// asked in this term.
    copies: Option<BTreeMap<u64, Report>>,
    /// Reports for which this host may have made a call. A restore of the store may lose them.
    called: BTreeMap<u64, Report>,
    is_fenced: bool,
    failures: u32,
    pause_until_ms: u64,
}

impl Reporter {
    /// Starts a term, continues it, or ends it with `None`. It must be called before each use, with the
    /// authority at that moment. Only the reports that were called outlast a term: the store decides on
    /// all others by its conditional writes.
    pub fn set_term(&mut self, term: Option<Term>) {
        if self.term != term {
            *self = Self {
                term,
                called: std::mem::take(&mut self.called),
                ..Self::default()
            };
        }
    }

    /// Returns the next action at `now_ms`, on a clock that does not step.
    pub fn next(&self, now_ms: u64) -> Action {
        if self.term.is_none() {
            return Action::Wait;
        }
        let Some((reports, expected)) = &self.stored else {
            return Action::Read;
        };
        let is_complete = self.is_informed() && self.lost_windows().is_none();
        if let Some(value) = self.value_to_write(reports).filter(|_| is_complete) {
            return Action::Write {
                expected: *expected,
                value,
            };
        }
        if self.is_fenced || now_ms < self.pause_until_ms {
            return Action::Wait;
        }
        let due = self.unsent.values().find(|u| u.retry_ms <= now_ms);
        let Some(Unsent { report, .. }) = due else {
            return Action::Wait;
        };
        if self.named < Some(report.window) {
            return Action::Name(report.clone());
        }
        Action::Call(report.clone())
    }

    /// Returns what is to be written. Acknowledged reports are only removed together with a change, which
    /// saves a write for each window: a successor may send the last ones again.
    fn value_to_write(&self, reports: &Reports) -> Option<Reports> {
        if self.composed.is_empty() {
            return None;
        }
        let remaining = reports.pending.iter();
        let remaining = remaining.filter(|r| !self.acknowledged.contains(&r.window));
        let mut pending: Vec<Report> = remaining.cloned().collect();
        pending.extend(self.composed.values().cloned());
        pending.sort_by_key(|report| report.window);
        let last = self.composed.keys().next_back().copied();
        Some(Reports {
            highest: reports.highest.max(last),
            pending,
        })
    }

    /// Records what was read in the term's era; `None` if there is no object.
    pub fn record_read(&mut self, reports: Option<Reports>, revision: Option<u64>) {
        let reports = reports.unwrap_or_default();
        // What another holder wrote is decided, whatever this host would have written.
        self.composed
            .retain(|window, _| Some(*window) > reports.highest);
        self.unsent.clear();
        for report in &reports.pending {
            if !self.acknowledged.contains(&report.window) {
                // What was called holds, should the store ever show another content.
                let report = self.called.get(&report.window).unwrap_or(report);
                let unsent = Unsent {
                    report: report.clone(),
                    retry_ms: 0,
                };
                self.unsent.insert(report.window, unsent);
            }
        }
        // A window that this host has called and that is above the highest of the store was lost by a
        // restore. No other host composes it, as a majority was told of it before the call.
        let lost = self
            .called
            .iter()
            .filter(|(w, _)| Some(**w) > reports.highest);
        let lost: Vec<(u64, Report)> = lost.map(|(w, r)| (*w, r.clone())).collect();
        self.called.retain(|w, _| Some(*w) > reports.highest);
        self.composed.extend(lost);
        self.stored = Some((reports, revision));
        self.restore_copies();
    }

    /// Returns the first and the last window that hosts name and the store does not know, until the
    /// copies of their reports are recorded. Nothing is composed or written meanwhile.
    pub fn lost_windows(&self) -> Option<(u64, u64)> {
        let (reports, _) = self.stored.as_ref()?;
        let named = self.remembered??;
        let first = reports.highest.map_or(0, |highest| highest + 1);
        (self.copies.is_none() && named >= first).then_some((first, named))
    }

    /// Records the reports that hold of those that a majority of the hosts, asked in this term, keeps.
    pub fn record_copies(&mut self, copies: impl IntoIterator<Item = Report>) {
        let copies = copies.into_iter().map(|report| (report.window, report));
        self.copies = Some(copies.collect());
        self.restore_copies();
    }

    /// Composes the reports that the store has lost from their copies.
    fn restore_copies(&mut self) {
        let (Some((reports, _)), Some(copies)) = (&self.stored, &self.copies) else {
            return;
        };
        let lost = copies.iter().filter(|(w, _)| Some(**w) > reports.highest);
        for (window, report) in lost {
            // A report that this host may have sent takes precedence over a copy.
            let composed = self.composed.entry(*window);
            composed.or_insert_with(|| report.clone());
        }
    }

    /// Records the result of a write of `value`.
    pub fn record_write(&mut self, value: Reports, outcome: WriteOutcome) {
        let WriteOutcome::Written(revision) = outcome else {
            self.stored = None;
            return;
        };
        // The answer to an earlier write may arrive after further windows were composed.
        let (written, remaining) = std::mem::take(&mut self.composed)
            .into_iter()
            .partition(|(_, report)| value.pending.contains(report));
        self.composed = remaining;
        let written: BTreeMap<u64, Report> = written;
        for (window, report) in written {
            let unsent = Unsent {
                report,
                retry_ms: 0,
            };
            self.unsent.insert(window, unsent);
        }
        let is_pending = |window: &u64| value.pending.iter().any(|r| r.window == *window);
        self.acknowledged.retain(is_pending);
        self.stored = Some((value, Some(revision)));
    }

    /// Records that a majority of the hosts was told of a window in this term.
    pub fn record_named(&mut self, window: u64) {
        self.named = self.named.max(Some(window));
    }

    /// Records the highest window that a majority of the hosts, asked in this term, names.
    pub fn record_remembered(&mut self, window: Option<u64>) {
        let known = self.remembered.flatten();
        self.remembered = Some(known.max(window));
    }

    /// Whether a majority of the hosts was asked in this term for the windows that they know of.
    pub fn is_informed(&self) -> bool {
        self.remembered.is_some()
    }

    /// Records that a call is about to be made.
    pub fn begin_call(&mut self, report: &Report) {
        self.called.insert(report.window, report.clone());
    }

    /// Records the result of a call.
    pub fn record_call(&mut self, window: u64, outcome: CallOutcome, now_ms: u64) {
        match outcome {
            CallOutcome::Done => {
                self.failures = 0;
                self.unsent.remove(&window);
                self.called.remove(&window);
                self.acknowledged.insert(window);
            }
            CallOutcome::Fenced => self.is_fenced = true,
            CallOutcome::Refused => {
                if let Some(unsent) = self.unsent.get_mut(&window) {
                    unsent.retry_ms = now_ms + REFUSED_PAUSE_MS;
                }
            }
            CallOutcome::Failed => {
                let pause_ms = FIRST_PAUSE_MS << self.failures.min(8);
                self.failures += 1;
                self.pause_until_ms = now_ms + pause_ms.min(MAX_PAUSE_MS);
            }
        }
    }

    /// Returns the first window that may be composed, given the first one that any host has counts of.
    /// `None` if no window may be composed now.
    pub fn first_window(&self, first_counted: u64) -> Option<u64> {
        let (reports, _) = self.stored.as_ref()?;
        let remembered = self.remembered?;
        if self.lost_windows().is_some() {
            return None;
        }
        let composed = self.composed.keys().next_back().copied();
        if self.unsent.len() + self.composed.len() >= MAX_PENDING {
            return None;
        }
        let done = reports.highest.max(remembered).max(composed);
        Some(done.map_or(first_counted, |done| done + 1))
    }

    /// Returns the windows that hosts name, that the store has lost and of which there is no copy, in
    /// ranges of the first and the last one. They are not composed again.
    pub fn forgotten(&self) -> Vec<(u64, u64)> {
        let mut ranges: Vec<(u64, u64)> = Vec::new();
        let Some((reports, _)) = &self.stored else {
            return ranges;
        };
        let Some(Some(named)) = self.remembered else {
            return ranges;
        };
        let oldest = named.saturating_sub(MAX_NAMED_WINDOWS);
        let first = reports.highest.map_or(oldest, |highest| highest + 1);
        let is_missing = |window: &u64| !self.composed.contains_key(window);
        for window in (first.max(oldest)..=named).filter(is_missing) {
            match ranges.last_mut() {
                Some((_, last)) if *last + 1 == window => *last = window,
                _ => ranges.push((window, window)),
            }
        }
        ranges
    }

    /// Fixes the content of a window, unless it must not be composed.
    pub fn compose(&mut self, report: Report) {
        let may = self.first_window(0).is_some_and(|w| report.window >= w);
        if may {
            self.composed.insert(report.window, report);
        }
    }

    /// Returns the number of reports that are not acknowledged.
    pub fn pending(&self) -> usize {
        self.unsent.len() + self.composed.len()
    }

    /// Whether the control API has ended the calls of this term.
    pub fn is_fenced(&self) -> bool {
        self.is_fenced
    }
}
