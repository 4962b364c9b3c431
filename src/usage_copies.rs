//! Copies of reports at other hosts, for the case that the store loses them.
//!
//! Before the first call for a window its report is copied to some hosts, and the window and the lease's
//! epoch are told to a majority. A holder that finds that the store does not know such a window, because
//! it was restored, asks a majority. A copy is valid only if its epoch is the highest under which any of these hosts was
//! told of the window. Other copies may come from a holder that never called the control API.
//!
//! ```
//! use yuccacove::usage_copies::{Copies, ReportCopy};
//! use yuccacove::usage_window::Report;
//!
//! let report = |count| Report { window: 4, counts: [("alder".to_owned(), count)].into_iter().collect() };
//! let mut copies = Copies::default();
//! copies.keep(ReportCopy { epoch: 1, report: report(2) });
//! assert_eq!(copies.valid(), [report(2)]);
//! // A later holder may have called with another content.
//! copies.name(4, 2);
//! assert_eq!(copies.valid(), []);
//! ```

use std::collections::BTreeMap;

use crate::usage_window::Report;

/// A report, with the epoch of the lease under which it was about to be called.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReportCopy {
    /// Epoch of the lease.
    pub epoch: u64,
    /// The report.
    pub report: Report,
}

/// The windows that a host was told of, and the reports that it keeps.
#[derive(Debug, Clone, Default)]
pub struct Copies {
    /// Highest epoch under which the host was told of each window.
    named: BTreeMap<u64, u64>,
    kept: BTreeMap<u64, ReportCopy>,
}

impl Copies {
    /// Records that the holder of `epoch` is about to report a window.
    pub fn name(&mut self, window: u64, epoch: u64) {
        let named = self.named.entry(window).or_default();
        *named = (*named).max(epoch);
    }

    /// Keeps a copy, unless there is one of a later epoch.
    pub fn keep(&mut self, copy: ReportCopy) {
        let window = copy.report.window;
        self.name(window, copy.epoch);
        let known = self.kept.get(&window);
        if known.is_none_or(|known| known.epoch < copy.epoch) {
            self.kept.insert(window, copy);
        }
    }

    /// Forgets all windows before `window`.
    pub fn forget_before(&mut self, window: u64) {
        self.named = self.named.split_off(&window);
        self.kept = self.kept.split_off(&window);
    }

    /// Returns the windows from `first` to `last` that the host was told of, with their epochs.
    pub fn named(&self, first: u64, last: u64) -> impl Iterator<Item = (u64, u64)> {
        let last = last.max(first);
        self.named
            .range(first..=last)
            .map(|(w, epoch)| (*w, *epoch))
    }

    /// Returns the copies of windows from `first` to `last`.
    pub fn kept(&self, first: u64, last: u64) -> impl Iterator<Item = &ReportCopy> {
        let last = last.max(first);
        self.kept.range(first..=last).map(|(_, copy)| copy)
    }

    /// Adds what another host was told of and keeps.
    pub fn merge(&mut self, other: &Self) {
        for (window, epoch) in &other.named {
            self.name(*window, *epoch);
        }
        for copy in other.kept.values() {
            self.keep(copy.clone());
        }
    }

    /// Returns the reports that hold, provided that a majority of the hosts was merged.
    pub fn valid(&self) -> Vec<Report> {
        let is_latest =
            |copy: &&ReportCopy| self.named.get(&copy.report.window) <= Some(&copy.epoch);
        let copies = self.kept.values().filter(is_latest);
        copies.map(|copy| copy.report.clone()).collect()
    }
}
