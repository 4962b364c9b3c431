//! Requests that run on each engine, and those whose content is suspected to crash engines.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use yucca_io::clock::boot_ms;
use yucca_io::log;
use yuccacove::event::Event;
use yuccacove::suspect::{Fingerprint, Placement, Rumour, Suspects};

use crate::wire::SuspectOnEngine;

#[derive(Debug)]
struct Running {
    request_id: String,
    fingerprint: Fingerprint,
    is_suspect: bool,
    is_sent: bool,
}

/// Suspects that another host runs, as it last told.
#[derive(Debug)]
struct PeerSuspects {
    running: Vec<SuspectOnEngine>,
    told_ms: u64,
}

#[derive(Debug, Default)]
struct Inner {
    suspects: Suspects,
    by_engine: HashMap<String, Vec<Running>>,
    by_peer: HashMap<String, PeerSuspects>,
}

/// Time after which what another host told of its suspects no longer counts.
const PEER_MS: u64 = 2_000;

/// Suspects of this host with the requests that run on each engine.
#[derive(Debug, Default)]
pub struct SuspectTracker {
    inner: Mutex<Inner>,
}

/// Where a request may run now.
#[derive(Debug)]
pub enum PlacementResult<T> {
    /// It was placed.
    Placed(T, TrackedAttempt),
    /// No engine may take it.
    NoEngine,
    /// It waits until a suspect that runs now has ended.
    Wait,
    /// Its content is refused.
    Refused,
}

impl SuspectTracker {
    /// Places a request with `choose`, which is given the engines that it must not choose and
    /// returns its choice with the engine's name.
    pub fn place<T>(
        self: &Arc<Self>,
        request_id: &str,
        fingerprint: Fingerprint,
        choose: impl FnOnce(&[String]) -> Option<(T, String)>,
    ) -> PlacementResult<T> {
        let mut inner = self.lock();
        let excluded = match inner.suspects.placement(fingerprint, boot_ms()) {
            Placement::Refuse => return PlacementResult::Refused,
            Placement::Wait => return PlacementResult::Wait,
            Placement::Apart if inner.runs_at_peer(fingerprint) => return PlacementResult::Wait,
            Placement::Anywhere => Vec::new(),
            Placement::Apart => inner.engines_with_suspects(),
        };
        let is_suspect = inner.suspects.placement(fingerprint, boot_ms()) == Placement::Apart;
        let Some((chosen, engine)) = choose(&excluded) else {
            return if excluded.is_empty() {
                PlacementResult::NoEngine
            } else {
                PlacementResult::Wait
            };
        };
        inner.suspects.started(fingerprint);
        let running = Running {
            request_id: request_id.to_owned(),
            fingerprint,
            is_suspect,
            is_sent: !is_suspect,
        };
        inner
            .by_engine
            .entry(engine.clone())
            .or_default()
            .push(running);
        drop(inner);
        let run = TrackedAttempt {
            suspect_tracker: Arc::clone(self),
            engine,
            request_id: request_id.to_owned(),
            fingerprint,
            is_suspect,
        };
        PlacementResult::Placed(chosen, run)
    }

    /// The suspects that this host runs, or is about to run.
    pub fn running_suspects(&self) -> Vec<SuspectOnEngine> {
        let inner = self.lock();
        let runs = inner.by_engine.iter().flat_map(|(engine, runs)| {
            let suspects = runs.iter().filter(|run| run.is_suspect);
            suspects.map(|run| SuspectOnEngine {
                engine: engine.clone(),
                fingerprint: run.fingerprint.0,
                is_sent: run.is_sent,
            })
        });
        runs.collect()
    }

    /// Takes the suspects that another host runs.
    pub fn receive_running_suspects(&self, peer: &str, running: Vec<SuspectOnEngine>) {
        let told = PeerSuspects {
            running,
            told_ms: boot_ms(),
        };
        self.lock().by_peer.insert(peer.to_owned(), told);
    }

    /// Suspects to be told to peers.
    pub fn to_announce(&self) -> Vec<Rumour> {
        self.lock().suspects.rumours(boot_ms()).collect()
    }

    /// Takes a suspect from a peer.
    pub fn merge_remote(&self, rumour: &Rumour) {
        self.lock().suspects.hear(rumour, boot_ms());
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Inner {
    fn engines_with_suspects(&self) -> Vec<String> {
        let own = self.by_engine.iter();
        own.filter(|(_, running)| running.iter().any(|r| r.is_suspect))
            .map(|(engine, _)| engine.clone())
            .chain(self.at_peers().map(|run| run.engine.clone()))
            .collect()
    }

    fn at_peers(&self) -> impl Iterator<Item = &SuspectOnEngine> {
        let now_ms = boot_ms();
        let fresh = self.by_peer.values();
        fresh
            .filter(move |peer| now_ms < peer.told_ms + PEER_MS)
            .flat_map(|peer| &peer.running)
    }

    fn runs_at_peer(&self, fingerprint: Fingerprint) -> bool {
        self.at_peers().any(|run| run.fingerprint == fingerprint.0)
    }

    /// Removes the request from its engine, unless a loss of the engine already did.
    fn remove(&mut self, engine: &str, request_id: &str) -> Option<Running> {
        let running = self.by_engine.get_mut(engine)?;
        let at = running.iter().position(|r| r.request_id == request_id)?;
        Some(running.swap_remove(at))
    }
}

/// A request that runs on an engine.
#[derive(Debug)]
pub struct TrackedAttempt {
    suspect_tracker: Arc<SuspectTracker>,
    engine: String,
    request_id: String,
    fingerprint: Fingerprint,
    is_suspect: bool,
}

impl TrackedAttempt {
    /// Whether the request is a suspect, which must be told to other hosts before it is sent.
    pub fn is_suspect(&self) -> bool {
        self.is_suspect
    }

    /// Whether the suspect may be sent, after the other hosts were told of it. Two hosts that chose
    /// one engine at the same time both know it now; the one with the lower fingerprint goes on.
    /// If both ran there, the loss of the engine would not tell which of them caused it.
    pub fn confirm(&self) -> bool {
        let mut inner = self.suspect_tracker.lock();
        let own = self.fingerprint.0;
        let is_blocked = inner
            .at_peers()
            .filter(|run| run.engine == self.engine || run.fingerprint == own)
            .any(|run| run.is_sent || run.fingerprint <= own);
        if is_blocked {
            return false;
        }
        let runs = inner.by_engine.entry(self.engine.clone()).or_default();
        if let Some(run) = runs.iter_mut().find(|r| r.request_id == self.request_id) {
            run.is_sent = true;
        }
        true
    }

    /// Records the whole answer, which clears the request.
    pub fn completed(self) {
        let mut inner = self.suspect_tracker.lock();
        if inner.remove(&self.engine, &self.request_id).is_some() {
            inner.suspects.survived(self.fingerprint);
        }
    }

    /// Records that the engine was lost with everything that ran on it. The first of its requests
    /// that notices reports the whole batch.
    pub fn engine_lost(self) {
        let mut inner = self.suspect_tracker.lock();
        let is_first = inner
            .by_engine
            .get(&self.engine)
            .is_some_and(|running| running.iter().any(|r| r.request_id == self.request_id));
        if !is_first {
            return;
        }
        let batch: Vec<Fingerprint> = inner
            .by_engine
            .remove(&self.engine)
            .unwrap_or_default()
            .into_iter()
            .map(|r| r.fingerprint)
            .collect();
        if let Some(cause) = inner.suspects.engine_lost(&batch, boot_ms()) {
            log::write(
                Event::SuspectConvicted,
                &format!(
                    "request={} engine={} fingerprint={}",
                    self.request_id,
                    self.engine,
                    hex(cause)
                ),
            );
        }
    }
}

impl Drop for TrackedAttempt {
    fn drop(&mut self) {
        let mut inner = self.suspect_tracker.lock();
        if inner.remove(&self.engine, &self.request_id).is_some() {
            inner.suspects.ended(self.fingerprint);
        }
    }
}

fn hex(fingerprint: Fingerprint) -> String {
    fingerprint.0.iter().map(|b| format!("{b:02x}")).collect()
}
