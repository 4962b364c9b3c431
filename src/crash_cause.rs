//! Identification of the requests, and of the parts of prompts, that crash the backends that run
//! them.
//!
//! An engine crashes when it begins to write a response, before or after it has sent the head. Each
//! crash therefore blames the parts of the requests whose responses had begun and had no event yet,
//! and, with less weight, those of the requests that still waited for their heads: these are many,
//! and most of them are sound. A response with an event proves that its parts are sound, which
//! refutes earlier blame.
//!
//! A plain server shows nothing before its response is complete: its crash blames all requests that
//! it had not answered, each of which counts as a single part, and a complete response proves its
//! request sound. A generation counts as a single part too, beside the parts of its prompt; as few
//! generations are alike, it is blamed more than a part while it waits.
//!
//! Parts that were blamed for the same crashes cannot be told apart. A request is refused only if
//! it contains a part with enough crashes and all parts that cannot be told apart from it, so that
//! other requests with some of them go on and prove them sound.
//!
//! Several crashes at the same moment may have another cause, such as the loss of a rack, and blame
//! requests that many callers send. A whole request with such blame is on trial: hosts run it one
//! after the other, see [`trial_delay_ms`], until a crash identifies it or a response proves it
//! sound.
//!
//! Hosts exchange [`PartReport`]s. Merging them is commutative and idempotent: crashes are only
//! added, and a refutation is never withdrawn before both expire. Nothing renews a crash, so that
//! hosts do not keep blame alive for each other.
//!
//! ```
//! use yuccacove::crash_cause::{CrashCauses, CrashId, PartKey};
//!
//! let part = |id| PartKey { scope: 1, id };
//! let (shared, deadly) = (part(1), part(2));
//! let mut causes = CrashCauses::default();
//! causes.record_crash(CrashId(7), &[shared, deadly], 0, 0);
//! causes.record_sound(&[shared, part(3)], 50);
//! assert!(!causes.is_refused(&[shared, deadly], 60));
//! causes.record_crash(CrashId(8), &[shared, deadly], 0, 500);
//! assert!(causes.is_refused(&[shared, deadly], 500));
//! assert!(!causes.is_refused(&[shared, part(4)], 500));
//! ```

use std::cmp::Reverse;

use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};

use crate::signed_time::signed_ms;
use crate::splitmix::splitmix64;

/// Time in ms after its last crash for which an identified part is refused.
const IDENTIFIED_MS: i64 = 600_000;
/// Time in ms after which a crash that identified nothing is forgotten.
const SUSPECTED_MS: i64 = 60_000;
/// Weight of the crashes that identify a part: two with [`Evidence::Begun`], three with
/// [`Evidence::SameRequest`], four with [`Evidence::Waiting`]. Of the sound parts that few requests
/// have, chance puts some into two crashes among the requests that wait, and hardly one into four.
const WEIGHT_TO_REFUSE: u32 = 12;
/// Weight of the crashes from which a part is suspected.
const WEIGHT_TO_SUSPECT: u32 = 4;
/// Share of the crashes of one moment, as a divisor, that must blame a part for requests that wait:
/// when many engines are lost at once, each of them has other requests that wait.
const MIN_SHARE_DIVISOR: usize = 3;
/// Maximum number of crashes whose times are kept.
const MAX_CRASH_TIMES: usize = 4_096;
/// Number of crashes, whatever their cause, from which a whole request is on trial.
const CRASHES_FOR_TRIAL: usize = 2;
/// Crashes within this time in ms count as one: engines of a lost rack end at the same moment, and
/// hosts notice it at slightly different times.
const SAME_CAUSE_MS: i64 = 100;
/// Time in ms between the trials of a request at different hosts: a crash is known to all hosts by
/// then.
const TRIAL_INTERVAL_MS: u64 = 150;
/// Number of different delays before a trial. It limits the wait of a sound request in a large
/// fleet, where few hosts have the same request at the same moment.
const TRIAL_DELAYS: u64 = 10;
/// Maximum number of crashes that are kept for a part.
const MAX_CRASHES: usize = 8;
/// Maximum number of parts with crashes. Those with the fewest crashes are evicted first, so that
/// invented parts do not displace an identified one.
const MAX_PARTS: usize = 4_096;
/// Interval in ms at which expired parts are evicted. Reports come in hundreds when a rack is lost.
const EVICTION_INTERVAL_MS: u64 = 1_000;
/// Maximum number of sound parts in each of the two generations that are kept.
const MAX_SOUND: usize = 4_096;

/// Identifies a part of a prompt, or a whole request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct PartKey {
    /// Identifies the service, whose backends run the same software.
    pub scope: u64,
    /// Identifies the content of the part.
    pub id: u64,
}

/// Identifies the crash of one incarnation of a backend.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct CrashId(pub u64);

/// How closely a crash points to a part.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Evidence {
    /// A request with the part waited for the head of its response.
    Waiting,
    /// The part stands for a whole generation, which waited for the head of its response or for its
    /// prefill.
    SameRequest,
    /// The response to a request with the part had begun, or the part stands for a whole request to
    /// a plain server.
    Begun,
}

impl Evidence {
    fn weight(self) -> u32 {
        match self {
            Self::Waiting => 3,
            Self::SameRequest => 4,
            Self::Begun => 6,
        }
    }
}

/// A crash that blames a part, in a message between hosts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// The crash.
    pub crash: CrashId,
    /// How closely it points to the part.
    pub evidence: Evidence,
    /// Time since the crash in ms.
    pub age_ms: u64,
    /// Whether a later response proved the part sound.
    pub is_refuted: bool,
}

/// A part with the crashes that blame it, in a message between hosts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartReport {
    /// The part.
    pub part: PartKey,
    /// The crashes in any order.
    pub crashes: Vec<CrashReport>,
}

#[derive(Debug, Clone, Copy)]
struct Blame {
    crash: CrashId,
    evidence: Evidence,
    /// Time of the crash; negative if it was before this host's clock began.
    at_ms: i64,
    is_refuted: bool,
}

#[derive(Debug, Default)]
struct Part {
    /// Crashes in ascending order of their times.
    blames: Vec<Blame>,
    /// Whether [`CrashCauses::take_identified`] has returned the part.
    is_announced: bool,
}

impl Part {
    fn live(&self) -> impl Iterator<Item = &Blame> {
        self.blames.iter().filter(|blame| !blame.is_refuted)
    }

    /// Returns the moments at which crashes that are not refuted blame the part. Crashes of the same
    /// moment may have one cause.
    fn moments(&self) -> Vec<Moment> {
        let mut moments: Vec<Moment> = Vec::new();
        for blame in self.live() {
            match moments.last_mut().filter(|last| last.includes(blame.at_ms)) {
                Some(moment) => {
                    moment.crashes += 1;
                    moment.evidence = moment.evidence.max(blame.evidence);
                }
                None => moments.push(Moment {
                    begun_ms: blame.at_ms,
                    evidence: blame.evidence,
                    crashes: 1,
                }),
            }
        }
        moments
    }

    fn weight(&self, times: &CrashTimes) -> u32 {
        let moments = self.moments().into_iter();
        moments.map(|moment| moment.weight(times)).sum()
    }

    /// Whether several crashes blame the part, which may all have one cause.
    fn is_on_trial(&self, times: &CrashTimes) -> bool {
        !self.is_identified(times) && self.live().count() >= CRASHES_FOR_TRIAL
    }

    fn is_identified(&self, times: &CrashTimes) -> bool {
        self.weight(times) >= WEIGHT_TO_REFUSE
    }

    /// Returns the position of a blame that can be removed without loss of weight: one that is
    /// refuted, or of the moment with the most crashes the one with the least evidence.
    fn redundant(&self) -> Option<usize> {
        let refuted = self.blames.iter().position(|blame| blame.is_refuted);
        refuted.or_else(|| {
            let moments = self.moments();
            let moment = moments.iter().max_by_key(|moment| moment.crashes);
            let moment = moment.filter(|moment| moment.crashes > 1)?;
            // The first one is kept as long as possible: it tells where the moment begins.
            let positions = (0..self.blames.len()).rev();
            positions
                .filter(|at| {
                    let at_ms = self.blames[*at].at_ms;
                    at_ms >= moment.begun_ms && moment.includes(at_ms)
                })
                .min_by_key(|at| self.blames[*at].evidence)
        })
    }

    /// Whether every crash that blames `other` blames this part too, and as closely.
    fn covers(&self, other: &Part) -> bool {
        other.live().all(|blame| {
            let is_same = |own: &Blame| own.crash == blame.crash && own.evidence >= blame.evidence;
            self.live().any(is_same)
        })
    }

    fn expires_ms(&self, times: &CrashTimes) -> i64 {
        let last_ms = self.blames.last().map(|blame| blame.at_ms);
        let keep_ms = if self.is_identified(times) {
            IDENTIFIED_MS
        } else {
            SUSPECTED_MS
        };
        last_ms.unwrap_or(i64::MIN / 2) + keep_ms
    }

    fn is_expired(&self, times: &CrashTimes, now_ms: u64) -> bool {
        let last_ms = self.blames.last().map_or(i64::MIN / 2, |blame| blame.at_ms);
        // Spares most parts the weighing of their crashes.
        let is_recent = signed_ms(now_ms) < last_ms + SUSPECTED_MS;
        !is_recent && signed_ms(now_ms) >= self.expires_ms(times)
    }
}

/// Crashes at the same moment that blame one part.
#[derive(Debug, Clone, Copy)]
struct Moment {
    begun_ms: i64,
    /// The closest evidence of any of them.
    evidence: Evidence,
    crashes: usize,
}

impl Moment {
    fn includes(&self, at_ms: i64) -> bool {
        at_ms < self.begun_ms + SAME_CAUSE_MS
    }

    fn weight(&self, times: &CrashTimes) -> u32 {
        let is_incidental = self.evidence == Evidence::Waiting
            && self.crashes * MIN_SHARE_DIVISOR < times.count_near(self.begun_ms);
        if is_incidental {
            0
        } else {
            self.evidence.weight()
        }
    }
}

/// Times of the latest crashes that this host knows of, on its monotonic clock.
#[derive(Debug, Default)]
struct CrashTimes {
    known: IndexSet<CrashId>,
    /// Times of the crashes in ascending order.
    sorted: Vec<(i64, CrashId)>,
}

impl CrashTimes {
    fn insert(&mut self, crash: CrashId, at_ms: i64) {
        if !self.known.insert(crash) {
            return;
        }
        let at = self
            .sorted
            .partition_point(|(known_ms, _)| *known_ms <= at_ms);
        self.sorted.insert(at, (at_ms, crash));
        if self.sorted.len() > MAX_CRASH_TIMES {
            let (_, oldest) = self.sorted.remove(0);
            self.known.swap_remove(&oldest);
        }
    }

    fn count_near(&self, at_ms: i64) -> usize {
        let first = self
            .sorted
            .partition_point(|(known_ms, _)| *known_ms <= at_ms - SAME_CAUSE_MS);
        let end = self
            .sorted
            .partition_point(|(known_ms, _)| *known_ms < at_ms + SAME_CAUSE_MS);
        end - first
    }
}

/// Returns how long the host `own` waits for the verdict of other hosts before it runs a request on
/// trial itself, in ms. Hosts that have the request at the same moment thus run it in turn.
pub fn trial_delay_ms(request: PartKey, own: u64, others: impl Iterator<Item = u64>) -> u64 {
    let rank = |host: u64| splitmix64(request.id ^ host);
    let own_rank = rank(own);
    let hosts_before = others.filter(|host| rank(*host) < own_rank).count() as u64;
    hosts_before % TRIAL_DELAYS * TRIAL_INTERVAL_MS
}

/// The parts that crashes blame, as far as this host knows. Times are on the host's monotonic
/// clock.
#[derive(Debug, Default)]
pub struct CrashCauses {
    parts: IndexMap<PartKey, Part>,
    times: CrashTimes,
    /// Time from which expired parts are evicted again.
    next_eviction_ms: u64,
    /// Time of the last response that proved a part sound, by part. A crash may be reported after
    /// the response that refutes its blame. When the newer generation is full, it replaces the
    /// older one.
    sound: [IndexMap<PartKey, u64>; 2],
    /// Parts that this host blamed since [`CrashCauses::take_changes`], and those whose blame for
    /// several crashes it refuted.
    urgent: IndexSet<PartKey>,
    /// Parts whose blame this host refuted since then.
    refuted: IndexSet<PartKey>,
}

/// Changes that a host made by its own observations.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct Changes {
    /// Parts that are newly blamed, and those proved sound that hosts refuse or have on trial. Every
    /// host must learn them soon.
    pub urgent: Vec<PartReport>,
    /// Parts that were proved sound. Most hosts prove parts that are used often by themselves.
    pub refuted: Vec<PartReport>,
}

impl CrashCauses {
    /// Records that a backend crashed `age_ms` ago while it began a response to a request with
    /// `parts`.
    pub fn record_crash(&mut self, crash: CrashId, parts: &[PartKey], age_ms: u64, now_ms: u64) {
        self.record(crash, Evidence::Begun, parts, age_ms, now_ms);
    }

    /// Records that a backend crashed `age_ms` ago, which points to `parts` with this `evidence`.
    pub fn record(
        &mut self,
        crash: CrashId,
        evidence: Evidence,
        parts: &[PartKey],
        age_ms: u64,
        now_ms: u64,
    ) {
        let report = CrashReport {
            crash,
            evidence,
            age_ms,
            is_refuted: false,
        };
        for part in parts {
            if self.merge_crash(*part, report, now_ms) {
                self.urgent.insert(*part);
            }
        }
        self.evict(now_ms);
    }

    /// Records that a response to a request with `parts` has an event. Returns whether that refutes
    /// any blame.
    pub fn record_sound(&mut self, parts: &[PartKey], now_ms: u64) -> bool {
        let mut is_refuting = false;
        for part in parts {
            self.add_sound(*part, now_ms);
            let Some(known) = self.parts.get_mut(part) else {
                continue;
            };
            if known.live().count() >= CRASHES_FOR_TRIAL {
                self.urgent.insert(*part);
            }
            for blame in known.blames.iter_mut().filter(|blame| !blame.is_refuted) {
                blame.is_refuted = true;
                is_refuting = true;
                self.refuted.insert(*part);
            }
        }
        is_refuting
    }

    /// Whether a request with `parts` is refused, because it contains all that certain crashes have
    /// in common.
    pub fn is_refused(&self, parts: &[PartKey], now_ms: u64) -> bool {
        if self.parts.is_empty() {
            return false;
        }
        parts.iter().any(|part| {
            let identified = self
                .known(part, now_ms)
                .filter(|known| known.is_identified(&self.times));
            identified.is_some_and(|identified| {
                let mut common = self
                    .parts
                    .iter()
                    .filter(|(_, other)| other.covers(identified));
                common.all(|(other, _)| parts.contains(other))
            })
        })
    }

    /// Whether the whole request `request` is on trial.
    pub fn is_on_trial(&self, request: PartKey, now_ms: u64) -> bool {
        let known = self.known(&request, now_ms);
        known.is_some_and(|known| known.is_on_trial(&self.times))
    }

    /// Whether any of `parts` is blamed for a crash, or for several while requests with it waited.
    pub fn is_suspect(&self, parts: &[PartKey], now_ms: u64) -> bool {
        parts.iter().any(|part| {
            let known = self.known(part, now_ms);
            known.is_some_and(|known| known.weight(&self.times) >= WEIGHT_TO_SUSPECT)
        })
    }

    /// Whether enough crashes blame a part, and no other part is blamed for these and more.
    fn is_cause(&self, part: &Part, now_ms: u64) -> bool {
        let is_outdone = |other: &Part| other.covers(part) && !part.covers(other);
        part.is_identified(&self.times)
            && !part.is_expired(&self.times, now_ms)
            && !self.parts.values().any(is_outdone)
    }

    /// Returns the number of parts that enough crashes blame to refuse them.
    pub fn identified_count(&self, now_ms: u64) -> usize {
        let parts = self.parts.values();
        parts.filter(|part| self.is_cause(part, now_ms)).count()
    }

    /// Returns the parts that were identified since the last call, with the number of crashes.
    pub fn take_identified(&mut self, now_ms: u64) -> Vec<(PartKey, usize)> {
        let parts = self.parts.iter();
        let causes = parts.filter(|(_, part)| self.is_cause(part, now_ms));
        let causes: IndexSet<PartKey> = causes.map(|(key, _)| *key).collect();
        let mut new = Vec::new();
        for (key, part) in &mut self.parts {
            let is_identified = causes.contains(key);
            if is_identified && !part.is_announced {
                new.push((*key, part.moments().len()));
            }
            part.is_announced = is_identified;
        }
        new
    }

    /// Whether [`CrashCauses::take_changes`] has anything to return.
    pub fn has_changes(&self) -> bool {
        !self.urgent.is_empty() || !self.refuted.is_empty()
    }

    /// Returns and forgets the changes that this host has made by its own observations.
    pub fn take_changes(&mut self, now_ms: u64) -> Changes {
        let urgent = std::mem::take(&mut self.urgent);
        let mut refuted = std::mem::take(&mut self.refuted);
        refuted.retain(|part| !urgent.contains(part));
        let reports = |parts: IndexSet<PartKey>| {
            let reports = parts.iter().filter_map(|part| self.report(part, now_ms));
            reports.collect()
        };
        Changes {
            urgent: reports(urgent),
            refuted: reports(refuted),
        }
    }

    /// Returns up to `limit` parts for a host that may not know them: the identified ones first,
    /// then others that are blamed, beginning with the part number `start`.
    pub fn sample(&self, start: u64, limit: usize, now_ms: u64) -> Vec<PartReport> {
        let mut parts: Vec<(&PartKey, &Part)> = self
            .parts
            .iter()
            .filter(|(_, part)| !part.is_expired(&self.times, now_ms))
            .collect();
        let start = start as usize % parts.len().max(1);
        parts.rotate_left(start);
        parts.sort_by_cached_key(|(_, part)| {
            (
                !part.is_identified(&self.times),
                part.live().next().is_none(),
            )
        });
        let parts = parts.into_iter().take(limit);
        parts
            .filter_map(|(part, _)| self.report(part, now_ms))
            .collect()
    }

    /// Merges a report of another host.
    pub fn merge(&mut self, report: &PartReport, now_ms: u64) {
        for crash in &report.crashes {
            self.merge_crash(report.part, *crash, now_ms);
        }
        self.evict(now_ms);
    }

    /// Adds a crash to a part. Returns whether that changed anything.
    fn merge_crash(&mut self, key: PartKey, report: CrashReport, now_ms: u64) -> bool {
        let age_ms = signed_ms(report.age_ms);
        if age_ms >= IDENTIFIED_MS {
            return false;
        }
        let at_ms = signed_ms(now_ms) - age_ms;
        self.times.insert(report.crash, at_ms);
        let sound_ms = self.sound.iter().filter_map(|sound| sound.get(&key)).max();
        let is_refuted =
            report.is_refuted || sound_ms.is_some_and(|sound_ms| signed_ms(*sound_ms) > at_ms);
        if is_refuted && !report.is_refuted {
            self.refuted.insert(key);
        }
        let part = self.parts.entry(key).or_default();
        if let Some(known) = part.blames.iter_mut().find(|b| b.crash == report.crash) {
            let is_closer = report.evidence > known.evidence;
            let is_new = is_closer || is_refuted && !known.is_refuted;
            known.evidence = report.evidence.max(known.evidence);
            known.is_refuted |= is_refuted;
            return is_new;
        }
        let is_full = part.blames.len() >= MAX_CRASHES;
        if is_full {
            let Some(at) = part.redundant() else {
                return false;
            };
            part.blames.remove(at);
        }
        let at = part.blames.partition_point(|blame| blame.at_ms <= at_ms);
        let blame = Blame {
            crash: report.crash,
            evidence: report.evidence,
            at_ms,
            is_refuted,
        };
        part.blames.insert(at, blame);
        true
    }

    fn add_sound(&mut self, part: PartKey, now_ms: u64) {
        self.sound[0].insert(part, now_ms);
        if self.sound[0].len() >= MAX_SOUND {
            self.sound[1] = std::mem::take(&mut self.sound[0]);
        }
    }

    fn known(&self, part: &PartKey, now_ms: u64) -> Option<&Part> {
        let known = self.parts.get(part)?;
        (!known.is_expired(&self.times, now_ms)).then_some(known)
    }

    fn report(&self, part: &PartKey, now_ms: u64) -> Option<PartReport> {
        let known = self.parts.get(part)?;
        let crashes = known.blames.iter().map(|blame| CrashReport {
            crash: blame.crash,
            evidence: blame.evidence,
            age_ms: u64::try_from(signed_ms(now_ms) - blame.at_ms).unwrap_or(0),
            is_refuted: blame.is_refuted,
        });
        Some(PartReport {
            part: *part,
            crashes: crashes.collect(),
        })
    }

    fn evict(&mut self, now_ms: u64) {
        let times = &self.times;
        if now_ms >= self.next_eviction_ms || self.parts.len() > MAX_PARTS {
            self.next_eviction_ms = now_ms + EVICTION_INTERVAL_MS;
            self.parts.retain(|_, part| !part.is_expired(times, now_ms));
        }
        if self.parts.len() > MAX_PARTS {
            // Evicting several at once spares the sort for the next ones.
            let kept = MAX_PARTS - MAX_PARTS / 8;
            self.parts.sort_by_cached_key(|_, part| {
                Reverse((part.weight(times), part.expires_ms(times)))
            });
            self.parts.truncate(kept);
        }
    }
}
