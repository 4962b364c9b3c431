//! Requests that crash the engines that run them, recognised by their content.
//!
//! When an engine is lost, each request in its batch is suspected. A suspect runs again only where
//! no other suspect runs, so that a second loss identifies it.
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

/// Time after which a suspicion or an identification is forgotten.
pub const EXPIRY_MS: u64 = 600_000;

/// Known suspects; beyond it those that expire first are forgotten. It holds the batches of all
/// engines that can be lost within the expiry time at the target size.
const MAX_SUSPECTS: usize = 4_096;

/// Lost engines after which a request is refused.
const LOST_ENGINES_TO_REFUSE: u32 = 2;

/// Identifies a request's content.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Fingerprint(pub [u8; 16]);

impl Fingerprint {
    /// Fingerprint of the content of a request to an owner's entry.
    pub fn of(owner: &str, entry: &str, content: &[u8]) -> Self {
        let mut hasher = blake3::Hasher::new();
        for part in [owner.as_bytes(), entry.as_bytes(), content] {
            // The length keeps two different splits of the same bytes apart.
            hasher.update(&(part.len() as u64).to_be_bytes());
            hasher.update(part);
        }
        let mut first = [0; 16];
        first.copy_from_slice(&hasher.finalize().as_bytes()[..16]);
        Self(first)
    }
}

/// Where a request may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Placement {
    /// On any engine.
    Anywhere,
    /// On an engine where no other suspect runs.
    Isolated,
    /// Not now: the same content already runs on an engine, which it may crash.
    Wait,
    /// On none (code 2010).
    Refuse,
}

/// A suspect as peers tell each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SuspectReport {
    /// Content.
    pub fingerprint: Fingerprint,
    /// Engines lost with it.
    pub lost_engines: u32,
    /// Time until the suspicion expires. Without it two hosts could renew it for each other.
    pub expires_in_ms: u64,
}

#[derive(Debug, Clone, Copy)]
struct Suspicion {
    /// 0 when it was cleared; such a record keeps peers from bringing the suspicion back.
    lost_engines: u32,
    expires_ms: u64,
    /// Number of the loss that raised the suspicion; 0 when a peer told it.
    loss: u64,
}

/// Requests that this host knows to be suspected.
#[derive(Debug, Default)]
pub struct Suspects {
    known: IndexMap<Fingerprint, Suspicion>,
    /// Requests on engines by content, suspected or not: a content that becomes suspect may run on
    /// a second engine already.
    running: IndexMap<Fingerprint, u32>,
    losses: u64,
}

impl Suspects {
    /// Records the loss of an engine with all started requests in its batch, which end with it.
    /// Returns the content that is identified as the cause, which clears the others.
    ///
    /// If two suspects ran on the engine, as hosts that do not know of each other's suspects may
    /// place them, neither is identified: a wrong refusal is worse than another trial.
    pub fn engine_lost(&mut self, batch: &[Fingerprint], now_ms: u64) -> Option<Fingerprint> {
        self.forget_expired(now_ms);
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
            self.suspect(*fingerprint, now_ms);
        }
        None
    }

    /// Where a request with this content may run now.
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

    /// Records that a started request ended without its whole answer while its engine lives on, as
    /// when it was cancelled.
    pub fn ended(&mut self, fingerprint: Fingerprint) {
        if let Some(running) = self.running.get_mut(&fingerprint) {
            *running -= 1;
            if *running == 0 {
                self.running.swap_remove(&fingerprint);
            }
        }
    }

    /// Records that a started request received its whole answer, which clears a suspect.
    pub fn completed(&mut self, fingerprint: Fingerprint) {
        self.ended(fingerprint);
        if self.is_suspect(fingerprint) {
            self.clear(fingerprint);
        }
    }

    /// Suspects to be told to peers.
    pub fn reports(&self, now_ms: u64) -> impl Iterator<Item = SuspectReport> {
        let live = self.known.iter();
        live.filter(move |(_, s)| s.lost_engines > 0 && s.expires_ms > now_ms)
            .map(move |(fingerprint, s)| SuspectReport {
                fingerprint: *fingerprint,
                lost_engines: s.lost_engines,
                expires_in_ms: s.expires_ms - now_ms,
            })
    }

    /// Takes a suspect from a peer. A suspicion that this host cleared stays cleared, unless the
    /// peer has identified the content as the cause.
    pub fn merge_remote(&mut self, report: &SuspectReport, now_ms: u64) {
        self.forget_expired(now_ms);
        let lost_engines = report.lost_engines.min(LOST_ENGINES_TO_REFUSE);
        let known = self.known.get(&report.fingerprint);
        let is_news = match known {
            None => lost_engines > 0,
            Some(known) => lost_engines > known.lost_engines.max(1),
        };
        if is_news {
            let suspicion = Suspicion {
                lost_engines,
                expires_ms: now_ms + report.expires_in_ms.min(EXPIRY_MS),
                loss: 0,
            };
            self.insert(report.fingerprint, suspicion);
        }
    }

    fn identify(&mut self, cause: Fingerprint, batch: &[Fingerprint], now_ms: u64) {
        let first_loss = self.known.get(&cause).map_or(0, |s| s.loss);
        let same_loss = |(fingerprint, s): (&Fingerprint, &Suspicion)| {
            (first_loss > 0 && s.loss == first_loss && s.lost_engines == 1).then_some(*fingerprint)
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

    /// Whether the content has one suspicion.
    fn is_suspect(&self, fingerprint: Fingerprint) -> bool {
        self.known
            .get(&fingerprint)
            .is_some_and(|s| s.lost_engines == 1)
    }

    /// Suspects the content, unless it is refused already.
    fn suspect(&mut self, fingerprint: Fingerprint, now_ms: u64) {
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

    fn forget_expired(&mut self, now_ms: u64) {
        self.known.retain(|_, s| s.expires_ms > now_ms);
    }
}
