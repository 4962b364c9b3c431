//! Identification of requests that crash the engines that run them, by their content.
//!
//! When an engine is lost, each request in its batch becomes a suspect. A suspect is retried only
//! on an engine that runs no other suspect, so that a second loss identifies the cause.
//!
//! ```
//! use yuccacove::suspect::{Fingerprint, Placement, Suspects};
//!
//! let bad = Fingerprint::of("yard-foremen", "quote-questions", b"bad");
//! let good = Fingerprint::of("yard-foremen", "quote-questions", b"good");
//! let mut suspects = Suspects::default();
//! suspects.started(bad);
//! suspects.started(good);
//! suspects.engine_lost(&[bad, good], 0);
//! assert_eq!(suspects.placement(bad, 0), Placement::Isolated);
//! suspects.started(bad);
//! assert_eq!(suspects.engine_lost(&[bad], 1_000), Some(bad));
//! assert_eq!(suspects.placement(bad, 1_000), Placement::Refuse);
//! assert_eq!(suspects.placement(good, 1_000), Placement::Anywhere);
//! ```

use indexmap::IndexMap;

/// Time in ms after which a suspicion or an identification expires.
pub const EXPIRY_MS: u64 = 600_000;

/// Maximum number of suspects; beyond it those that expire first are evicted. It is enough for the
/// batches of all engines that can be lost within the expiry time at the target size.
const MAX_SUSPECTS: usize = 4_096;

/// Number of lost engines after which a request is refused.
const LOST_ENGINES_TO_REFUSE: u32 = 2;

/// Hash that identifies the content of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Fingerprint(pub [u8; 16]);

impl Fingerprint {
    /// Returns the fingerprint of the content of a request to the entry `entry` of `owner`.
    pub fn of(owner: &str, entry: &str, content: &[u8]) -> Self {
        let mut hasher = blake3::Hasher::new();
        for part in [owner.as_bytes(), entry.as_bytes(), content] {
            // The length distinguishes different splits of the same bytes.
            hasher.update(&(part.len() as u64).to_be_bytes());
            hasher.update(part);
        }
        let mut first = [0; 16];
        first.copy_from_slice(&hasher.finalize().as_bytes()[..16]);
        Self(first)
    }
}

/// Constraint on the engines that may run a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Placement {
    /// Any engine.
    Anywhere,
    /// An engine that runs no other suspect.
    Isolated,
    /// No engine for now, because the same content is already running on an engine, which it may
    /// crash.
    Wait,
    /// No engine; the request is refused with result code 2010.
    Refuse,
}

/// Suspect in a message between peers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SuspectReport {
    /// Fingerprint of the content.
    pub fingerprint: Fingerprint,
    /// Number of engines that were lost while they ran it.
    pub lost_engines: u32,
    /// Time in ms until the suspicion expires. Without it two hosts could keep renewing the
    /// suspicion for each other.
    pub expires_in_ms: u64,
}

#[derive(Debug, Clone, Copy)]
struct Suspicion {
    /// 0 if the suspicion was cleared; the record then prevents peers from restoring it.
    lost_engines: u32,
    expires_ms: u64,
    /// Number of the engine loss that caused the suspicion; 0 if it was received from a peer.
    loss: u64,
}

/// Suspects that this host knows of, and the contents that are running.
#[derive(Debug, Default)]
pub struct Suspects {
    known: IndexMap<Fingerprint, Suspicion>,
    /// Number of running requests by content, including those that are not suspects: when a content
    /// becomes a suspect it may already be running on a second engine.
    running: IndexMap<Fingerprint, u32>,
    losses: u64,
}

impl Suspects {
    /// Records the loss of an engine, which ends all started requests in its batch. If the batch
    /// contains exactly one suspect, returns it as the cause and clears the requests that became
    /// suspects together with it.
    ///
    /// Two suspects can run on the same engine if hosts do not yet know of each other's suspects.
    /// Neither is identified then, because refusing a harmless request is worse than another trial.
    pub fn engine_lost(&mut self, batch: &[Fingerprint], now_ms: u64) -> Option<Fingerprint> {
        self.remove_expired(now_ms);
        self.losses += 1;
        for fingerprint in batch {
            self.ended(*fingerprint);
        }
        let mut suspects: Vec<_> = batch.iter().filter(|f| self.is_suspect(**f)).collect();
        suspects.sort_unstable();
        suspects.dedup();
        if let [cause] = suspects[..] {
            let cause = *cause;
            self.identify(cause, batch, now_ms);
            return Some(cause);
        }
        for fingerprint in batch {
            self.add_suspect(*fingerprint, now_ms);
        }
        None
    }

    /// Returns which engines may run a request with this content now.
    pub fn placement(&self, fingerprint: Fingerprint, now_ms: u64) -> Placement {
        match self.known.get(&fingerprint) {
            Some(s) if s.expires_ms <= now_ms || s.lost_engines == 0 => Placement::Anywhere,
            Some(s) if s.lost_engines >= LOST_ENGINES_TO_REFUSE => Placement::Refuse,
            Some(_) if self.running.contains_key(&fingerprint) => Placement::Wait,
            Some(_) => Placement::Isolated,
            None => Placement::Anywhere,
        }
    }

    /// Records that a request was sent to an engine.
    pub fn started(&mut self, fingerprint: Fingerprint) {
        *self.running.entry(fingerprint).or_default() += 1;
    }

    /// Records that a started request ended without a complete response and without the loss of its
    /// engine, for example because it was cancelled.
    pub fn ended(&mut self, fingerprint: Fingerprint) {
        if let Some(running) = self.running.get_mut(&fingerprint) {
            *running -= 1;
            if *running == 0 {
                self.running.swap_remove(&fingerprint);
            }
        }
    }

    /// Records that a started request received its complete response, which clears a suspect.
    pub fn completed(&mut self, fingerprint: Fingerprint) {
        self.ended(fingerprint);
        if self.is_suspect(fingerprint) {
            self.clear(fingerprint);
        }
    }

    /// Returns the suspects to be sent to peers.
    pub fn reports(&self, now_ms: u64) -> impl Iterator<Item = SuspectReport> {
        let suspects = self.known.iter();
        suspects
            .filter(move |(_, s)| s.lost_engines > 0 && s.expires_ms > now_ms)
            .map(move |(fingerprint, s)| SuspectReport {
                fingerprint: *fingerprint,
                lost_engines: s.lost_engines,
                expires_in_ms: s.expires_ms - now_ms,
            })
    }

    /// Merges a suspect that was received from a peer. A suspicion that this host has cleared stays
    /// cleared, unless the peer has identified the content as the cause.
    pub fn merge_remote(&mut self, report: &SuspectReport, now_ms: u64) {
        self.remove_expired(now_ms);
        let lost_engines = report.lost_engines.min(LOST_ENGINES_TO_REFUSE);
        let known = self.known.get(&report.fingerprint);
        let is_update = match known {
            None => lost_engines > 0,
            Some(known) => lost_engines > known.lost_engines.max(1),
        };
        if is_update {
            let suspicion = Suspicion {
                lost_engines,
                expires_ms: now_ms + report.expires_in_ms.min(EXPIRY_MS),
                loss: 0,
            };
            self.insert(report.fingerprint, suspicion);
        }
    }

    fn identify(&mut self, cause: Fingerprint, batch: &[Fingerprint], now_ms: u64) {
        let cause_loss = self.known.get(&cause).map_or(0, |s| s.loss);
        let same_loss = |(fingerprint, s): (&Fingerprint, &Suspicion)| {
            (cause_loss > 0 && s.loss == cause_loss && s.lost_engines == 1).then_some(*fingerprint)
        };
        let others: Vec<_> = self.known.iter().filter_map(same_loss).collect();
        for other in others.into_iter().chain(batch.iter().copied()) {
            if self.is_suspect(other) {
                self.clear(other);
            }
        }
        if let Some(suspicion) = self.known.get_mut(&cause) {
            suspicion.lost_engines = LOST_ENGINES_TO_REFUSE;
            suspicion.expires_ms = now_ms + EXPIRY_MS;
        }
    }

    /// Returns whether the content is a suspect that is not yet identified as a cause.
    fn is_suspect(&self, fingerprint: Fingerprint) -> bool {
        self.known
            .get(&fingerprint)
            .is_some_and(|s| s.lost_engines == 1)
    }

    /// Marks the content as a suspect, unless it is already refused.
    fn add_suspect(&mut self, fingerprint: Fingerprint, now_ms: u64) {
        let known = self.known.get(&fingerprint);
        if known.is_some_and(|s| s.lost_engines >= LOST_ENGINES_TO_REFUSE) {
            return;
        }
        let suspicion = Suspicion {
            lost_engines: 1,
            expires_ms: now_ms + EXPIRY_MS,
            loss: self.losses,
        };
        self.insert(fingerprint, suspicion);
    }

    fn clear(&mut self, fingerprint: Fingerprint) {
        if let Some(suspicion) = self.known.get_mut(&fingerprint) {
            suspicion.lost_engines = 0;
        }
    }

    fn insert(&mut self, fingerprint: Fingerprint, suspicion: Suspicion) {
        self.known.insert(fingerprint, suspicion);
        if self.known.len() > MAX_SUSPECTS {
            let first = self.known.iter().min_by_key(|(_, s)| s.expires_ms);
            if let Some(first) = first.map(|(fingerprint, _)| *fingerprint) {
                self.known.swap_remove(&first);
            }
        }
    }

    fn remove_expired(&mut self, now_ms: u64) {
        self.known.retain(|_, s| s.expires_ms > now_ms);
    }
}
