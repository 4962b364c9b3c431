//! Tracks the requests that run on each engine, and those whose content is suspected of crashing
//! engines.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use yucca_io::clock::boot_ms;
use yucca_io::log;
use yuccacove::event::Event;
use yuccacove::suspect::{Fingerprint, Placement, SuspectReport, Suspects};

use crate::wire::SuspectOnEngine;

#[derive(Debug)]
struct RunningRequest {
    request_id: String,
    fingerprint: Fingerprint,
    is_suspect: bool,
    /// Whether the request may be on the engine; a suspect is announced to peers first.
    is_sent: bool,
}

/// Suspects that another host runs, as it last announced.
#[derive(Debug)]
struct PeerSuspects {
    running: Vec<SuspectOnEngine>,
    received_ms: u64,
}

#[derive(Debug, Default)]
struct Inner {
    suspects: Suspects,
    /// Requests of this host by the engine that runs them.
    by_engine: HashMap<String, Vec<RunningRequest>>,
    by_peer: HashMap<String, PeerSuspects>,
}

/// Age from which another host's announcement of its running suspects is ignored.
const PEER_STALE_AFTER_MS: u64 = 2_000;

/// Suspects of this host with the requests that run on each engine.
#[derive(Debug, Default)]
pub struct SuspectTracker {
    inner: Mutex<Inner>,
}

/// Result of placing a request on an engine.
#[derive(Debug)]
pub enum PlacementResult<T> {
    /// The request was placed.
    Placed(T, TrackedAttempt),
    /// No engine may take the request.
    NoEngine,
    /// The request must wait until a running suspect has ended.
    Wait,
    /// The content of the request is refused.
    Refused,
}

impl SuspectTracker {
    /// Places a request on the engine that `choose` returns with its name. `choose` receives the
    /// engines that it must not choose.
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
            Placement::Isolated if inner.runs_on_peer(fingerprint) => return PlacementResult::Wait,
            Placement::Anywhere => Vec::new(),
            Placement::Isolated => inner.engines_with_suspects(),
        };
        let is_suspect = inner.suspects.placement(fingerprint, boot_ms()) == Placement::Isolated;
        let Some((chosen, engine)) = choose(&excluded) else {
            return if excluded.is_empty() {
                PlacementResult::NoEngine
            } else {
                PlacementResult::Wait
            };
        };
        inner.suspects.started(fingerprint);
        let running = RunningRequest {
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
        let attempt = TrackedAttempt {
            tracker: Arc::clone(self),
            engine,
            request_id: request_id.to_owned(),
            fingerprint,
            is_suspect,
        };
        PlacementResult::Placed(chosen, attempt)
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

    /// Stores the suspects that the host `peer` runs.
    pub fn receive_running_suspects(&self, peer: &str, running: Vec<SuspectOnEngine>) {
        let received = PeerSuspects {
            running,
            received_ms: boot_ms(),
        };
        self.lock().by_peer.insert(peer.to_owned(), received);
    }

    /// Suspects to announce to peers.
    pub fn reports(&self) -> Vec<SuspectReport> {
        self.lock().suspects.reports(boot_ms()).collect()
    }

    /// Merges a suspect that a peer announced.
    pub fn merge_remote(&self, report: &SuspectReport) {
        self.lock().suspects.merge_remote(report, boot_ms());
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
            .chain(self.peer_suspects().map(|run| run.engine.clone()))
            .collect()
    }

    fn peer_suspects(&self) -> impl Iterator<Item = &SuspectOnEngine> {
        let now_ms = boot_ms();
        let peers = self.by_peer.values();
        peers
            .filter(move |peer| now_ms < peer.received_ms + PEER_STALE_AFTER_MS)
            .flat_map(|peer| &peer.running)
    }

    fn runs_on_peer(&self, fingerprint: Fingerprint) -> bool {
        self.peer_suspects()
            .any(|run| run.fingerprint == fingerprint.0)
    }

    /// Removes the request from its engine, unless the loss of the engine has already removed it.
    fn remove(&mut self, engine: &str, request_id: &str) -> Option<RunningRequest> {
        let running = self.by_engine.get_mut(engine)?;
        let index = running.iter().position(|r| r.request_id == request_id)?;
        Some(running.swap_remove(index))
    }
}

/// An attempt of a request on an engine, tracked until dropped.
#[derive(Debug)]
pub struct TrackedAttempt {
    tracker: Arc<SuspectTracker>,
    engine: String,
    request_id: String,
    fingerprint: Fingerprint,
    is_suspect: bool,
}

impl TrackedAttempt {
    /// Whether the request is a suspect, which must be announced to other hosts before it is sent.
    pub fn is_suspect(&self) -> bool {
        self.is_suspect
    }

    /// Decides whether the suspect may be sent, after it was announced to the other hosts. If two
    /// hosts chose the same engine at the same time, both know it now, and the one with the lower
    /// fingerprint proceeds. If both ran there, the loss of the engine would not show which of them
    /// caused it.
    pub fn confirm(&self) -> bool {
        let mut inner = self.tracker.lock();
        let own = self.fingerprint.0;
        let is_blocked = inner
            .peer_suspects()
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

    /// Records a complete response, which clears the request of suspicion.
    pub fn completed(self) {
        let mut inner = self.tracker.lock();
        if inner.remove(&self.engine, &self.request_id).is_some() {
            inner.suspects.completed(self.fingerprint);
        }
    }

    /// Records that the engine was lost with everything that ran on it. The first of its requests
    /// that detects the loss reports the whole batch.
    pub fn engine_lost(self) {
        let mut inner = self.tracker.lock();
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
        let mut inner = self.tracker.lock();
        if inner.remove(&self.engine, &self.request_id).is_some() {
            inner.suspects.ended(self.fingerprint);
        }
    }
}

fn hex(fingerprint: Fingerprint) -> String {
    fingerprint.0.iter().map(|b| format!("{b:02x}")).collect()
}
