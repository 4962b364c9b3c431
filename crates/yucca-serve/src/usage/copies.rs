//! Copies of reports at other hosts, in parts that fit into datagrams, and the holder's question for them.

use std::collections::BTreeMap;

use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};
use yuccacove::fleet_rate::HostId;
use yuccacove::usage_copies::{Copies, ReportCopy};
use yuccacove::usage_window::Report;

use super::{MAX_BLOCKS_BYTES, RETAINED_WINDOWS, UsageMessage, entry_bytes};

/// Number of hosts that keep a copy of a report.
pub(super) const COPY_HOSTS: usize = 2;
/// Largest number of copies of which parts are missing.
const MAX_INCOMPLETE: usize = 64;
/// Interval at which the holder repeats its question for copies.
const ASK_INTERVAL_MS: u64 = 400;
/// Time for which it waits for hosts that do not answer, once most have.
const SILENT_WAIT_MS: u64 = 1_600;

/// A part of a copy of a report.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CopyPart {
    pub(super) window: u64,
    pub(super) epoch: u64,
    part: u32,
    parts: u32,
    entries: Vec<(String, u64)>,
}

/// Distributes a copy over parts that fit into a datagram each.
pub(super) fn split(copy: &ReportCopy) -> Vec<CopyPart> {
    let mut pieces: Vec<Vec<(String, u64)>> = vec![Vec::new()];
    let mut used_bytes = 0;
    for (name, count) in &copy.report.counts {
        used_bytes += entry_bytes(name);
        if used_bytes > MAX_BLOCKS_BYTES {
            pieces.push(Vec::new());
            used_bytes = entry_bytes(name);
        }
        if let Some(piece) = pieces.last_mut() {
            piece.push((name.clone(), *count));
        }
    }
    let parts = pieces.len() as u32;
    let part = |(part, entries)| CopyPart {
        window: copy.report.window,
        epoch: copy.epoch,
        part,
        parts,
        entries,
    };
    (0..parts).zip(pieces).map(part).collect()
}

/// Parts of copies that have not all arrived.
#[derive(Debug, Default)]
pub(super) struct PartBuffer {
    parts: IndexMap<(HostId, u64, u64), BTreeMap<u32, CopyPart>>,
}

impl PartBuffer {
    /// Adds a part and returns the copy once it is complete.
    pub(super) fn add(&mut self, sender: HostId, part: CopyPart) -> Option<ReportCopy> {
        let key = (sender, part.window, part.epoch);
        if self.parts.len() >= MAX_INCOMPLETE && !self.parts.contains_key(&key) {
            self.parts.shift_remove_index(0);
        }
        let (window, epoch, count) = (part.window, part.epoch, part.parts);
        let parts = self.parts.entry(key).or_default();
        parts.insert(part.part, part);
        if !(0..count).all(|number| parts.contains_key(&number)) {
            return None;
        }
        let parts = self.parts.shift_remove(&key)?;
        let counts = parts.into_values().flat_map(|part| part.entries).collect();
        let report = Report { window, counts };
        Some(ReportCopy { epoch, report })
    }
}

/// Returns the messages that answer a question for the windows from `first` to `last`.
pub(super) fn answers(
    copies: &Copies,
    own: HostId,
    epoch: u64,
    first: u64,
    last: u64,
) -> Vec<UsageMessage> {
    let first = first.max(last.saturating_sub(RETAINED_WINDOWS));
    let kept: Vec<&ReportCopy> = copies.kept(first, last).collect();
    let mut messages = vec![UsageMessage::CopiesNamed {
        sender: own,
        epoch,
        named: copies.named(first, last).collect(),
        copies: kept.len() as u32,
    }];
    for part in kept.into_iter().flat_map(split) {
        messages.push(UsageMessage::CopyAnswer {
            sender: own,
            epoch,
            part,
        });
    }
    messages
}

/// The holder's question for the copies of windows that the store has lost, and the answers to it.
#[derive(Debug)]
pub(super) struct Survey {
    first: u64,
    last: u64,
    asked_ms: u64,
    next_ask_ms: u64,
    pub(super) copies: Copies,
    buffer: PartBuffer,
    /// Number of copies that each host has announced.
    announced: IndexMap<HostId, u32>,
    arrived: IndexMap<HostId, IndexSet<u64>>,
}

impl Survey {
    pub(super) fn new(first: u64, last: u64, now_ms: u64) -> Self {
        Self {
            first: first.max(last.saturating_sub(RETAINED_WINDOWS)),
            last,
            asked_ms: now_ms,
            next_ask_ms: now_ms,
            copies: Copies::default(),
            buffer: PartBuffer::default(),
            announced: IndexMap::new(),
            arrived: IndexMap::new(),
        }
    }

    /// Whether the question is to be sent to the hosts that have not answered, which it then is.
    pub(super) fn take_due(&mut self, now_ms: u64) -> bool {
        let is_due = now_ms >= self.next_ask_ms;
        if is_due {
            self.next_ask_ms = now_ms + ASK_INTERVAL_MS;
        }
        is_due
    }

    /// Returns the question.
    pub(super) fn question(&self, own: HostId, epoch: u64) -> UsageMessage {
        UsageMessage::CopyQuestion {
            sender: own,
            epoch,
            first: self.first,
            last: self.last,
        }
    }

    pub(super) fn record_named(&mut self, sender: HostId, named: &[(u64, u64)], copies: u32) {
        for (window, epoch) in named {
            self.copies.name(*window, *epoch);
        }
        self.announced.insert(sender, copies);
    }

    pub(super) fn record_part(&mut self, sender: HostId, part: CopyPart) {
        let window = part.window;
        if let Some(copy) = self.buffer.add(sender, part) {
            self.copies.keep(copy);
            self.arrived.entry(sender).or_default().insert(window);
        }
    }

    /// Returns the hosts whose answers are complete.
    pub(super) fn answered(&self) -> IndexSet<HostId> {
        let is_complete = |(sender, copies): &(&HostId, &u32)| {
            let arrived = self.arrived.get(*sender).map_or(0, IndexSet::len);
            arrived >= **copies as usize
        };
        let answered = self.announced.iter().filter(is_complete);
        answered.map(|(sender, _)| *sender).collect()
    }

    /// Whether the hosts that have not answered had time to.
    pub(super) fn is_late(&self, now_ms: u64) -> bool {
        now_ms >= self.asked_ms + SILENT_WAIT_MS
    }
}
