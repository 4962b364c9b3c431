//! Tracking of the prompt prefixes that engines have cached.

use super::{
    BLOCK_WORDS, CacheChange, Clear, Continuity, EligibleIndex, EngineKey, Evidence, Holder,
    MAX_HOLDER_VISITS, MAX_PREFIXES, MAX_PREFIXES_PER_ENGINE, PrefixHash, Request, Router,
};

impl Router {
    /// Handles a cache event with its sequence number. Repeated events are ignored. A gap in the
    /// sequence clears the prefixes known from earlier events; prefixes that this host sent to the
    /// engine are kept, but only half of their tokens count as cached.
    pub fn cache_event(&mut self, key: EngineKey, seq: u64, change: CacheChange) -> Continuity {
        let Some(engine) = self.engine_mut(key) else {
            return Continuity::Complete;
        };
        let last = engine.last_seq;
        if last.is_some_and(|last| seq <= last) {
            return Continuity::Complete;
        }
        engine.last_seq = Some(seq);
        let continuity = match last {
            Some(last) if seq != last + 1 => {
                self.clear_cache(key, Clear::Events);
                Continuity::Gap
            }
            _ => Continuity::Complete,
        };
        match change {
            CacheChange::Added(prefix) => self.add_holder(key, prefix, Evidence::Event),
            CacheChange::Evicted(prefix) => {
                if let Some(engine) = self.engine_mut(key) {
                    engine.prefixes.swap_remove(&prefix);
                    self.remove_holder(key.index, prefix);
                }
            }
        }
        continuity
    }

    /// Clears the prefixes known from cache events, for example when the caller has lost its
    /// position in the event stream. Prefixes that this host sent to the engine are kept, but
    /// only half of their tokens count as cached.
    pub fn cache_unknown(&mut self, key: EngineKey) {
        self.clear_cache(key, Clear::Events);
    }

    /// Computes the cached tokens of each eligible engine, starting with the longest prefix. An
    /// engine that holds a prefix usually holds all shorter ones too, so a shorter prefix adds
    /// engines only if it has more holders.
    pub(super) fn estimate_cached(&mut self, request: &Request<'_>) {
        self.cached_tokens.clear();
        self.cached_tokens.resize(self.eligible.len(), 0.0);
        if request.prefixes.is_empty() {
            return;
        }
        for (index, scored) in (0..).zip(&self.eligible) {
            self.eligible_indices[scored.key.index as usize] = EligibleIndex {
                decision: self.decisions,
                index,
            };
        }
        let mut visits = 0;
        let (mut listed, mut reported) = (0, 0);
        for (index, prefix) in request.prefixes.iter().enumerate().rev() {
            let Some(holders) = self.holders.get(prefix) else {
                continue;
            };
            if holders.list.len() <= listed && holders.reported <= reported {
                continue;
            }
            listed = listed.max(holders.list.len());
            reported = reported.max(holders.reported);
            let tokens = ((index + 1) * BLOCK_WORDS).min(request.prompt_tokens as usize) as f64;
            for holder in &holders.list {
                let position = self.eligible_indices[holder.engine as usize];
                if position.decision != self.decisions {
                    continue;
                }
                // The decision number wraps around, so an index may be stale and out of bounds.
                let Some(cached) = self.cached_tokens.get_mut(position.index as usize) else {
                    continue;
                };
                let cached_estimate = if holder.reported {
                    tokens
                } else {
                    tokens / 2.0
                };
                if *cached < cached_estimate {
                    *cached = cached_estimate;
                }
            }
            visits += holders.list.len();
            if visits > MAX_HOLDER_VISITS {
                return;
            }
        }
    }

    pub(super) fn add_holder(&mut self, key: EngineKey, prefix: PrefixHash, evidence: Evidence) {
        let capacity = (MAX_PREFIXES / self.engines.len().max(1)).min(MAX_PREFIXES_PER_ENGINE);
        let Some(engine) = self.engine_mut(key) else {
            return;
        };
        let mut removed = None;
        if engine.prefixes.insert(prefix) && engine.prefixes.len() > capacity {
            removed = engine.remove_oldest();
        }
        if let Some(removed) = removed {
            self.remove_holder(key.index, removed);
        }
        let holders = self.holders.entry(prefix).or_default();
        let at = holders.position(key.index).unwrap_or_else(|| {
            holders.list.push(Holder {
                engine: key.index,
                reported: false,
                sent: false,
            });
            holders.list.len() - 1
        });
        let holder = &mut holders.list[at];
        match evidence {
            Evidence::Event => {
                holders.reported += usize::from(!holder.reported);
                holder.reported = true;
            }
            Evidence::Sent => holder.sent = true,
        }
    }

    pub(super) fn remove_holder(&mut self, engine: u32, prefix: PrefixHash) {
        let Some(holders) = self.holders.get_mut(&prefix) else {
            return;
        };
        if let Some(at) = holders.position(engine) {
            let holder = holders.list.swap_remove(at);
            holders.reported -= usize::from(holder.reported);
        }
        if holders.list.is_empty() {
            self.holders.remove(&prefix);
        }
    }

    pub(super) fn clear_cache(&mut self, key: EngineKey, what: Clear) {
        let Some(engine) = self.engine_mut(key) else {
            return;
        };
        engine.oldest = 0;
        let mut prefixes = std::mem::take(&mut engine.prefixes);
        prefixes.retain(|prefix| {
            let was_sent = self
                .holders
                .get_mut(prefix)
                .is_some_and(|holders| holders.clear_report(key.index));
            let is_kept = matches!(what, Clear::Events) && was_sent;
            if !is_kept {
                self.remove_holder(key.index, *prefix);
            }
            is_kept
        });
        if let Some(engine) = self.engine_mut(key) {
            engine.prefixes = prefixes;
        }
    }
}
