//! Load of the backends: work in flight and cached prefixes.

use indexmap::IndexMap;

/// Time after its last use for which a prefix is expected to stay in an engine's KV cache.
const CACHE_TTL_MS: u64 = 20_000;
/// Time after which the stream counts of another host expire.
const PEER_TTL_MS: u64 = 2_000;
/// Largest fraction of its time that a decode engine spends on prefill; a larger one would delay
/// each decode step.
const MAX_PREFILL_DUTY: f64 = 0.2;
/// Maximum number of cached prefixes that are tracked for one engine.
const MAX_CACHED_PREFIXES: usize = 512;

/// Resources that a request occupies on a backend while it is in flight.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reservation {
    /// One concurrent request.
    Request,
    /// One generation, with KV cache for a number of tokens.
    Generation {
        /// Length of the prompt in tokens.
        tokens: u32,
    },
}

/// Load of one backend, as far as this host knows it.
#[derive(Debug, Default)]
pub struct Load {
    /// Requests of this host in flight.
    pub requests: u32,
    /// Generations of this host in flight.
    pub streams: u32,
    /// KV cache that the generations of this host occupy, in tokens.
    pub tokens: u64,
    /// Number of generations of this host that was last announced to the other hosts.
    pub announced_streams: u32,
    peer_streams: IndexMap<u64, PeerStreams>,
    /// Forecast time at which all known prefills have ended.
    prefill_until_ms: f64,
    /// The same if prefills take at most [`MAX_PREFILL_DUTY`] of the engine's time.
    stalled_until_ms: f64,
    /// Time of the last use of each cached prefix, by its hash.
    prefix_used_ms: IndexMap<u64, u64>,
}

/// Generations of another host, as last announced.
#[derive(Debug, Clone, Copy)]
struct PeerStreams {
    streams: u32,
    tokens: u64,
    received_ms: u64,
}

impl Load {
    /// Adds a request of this host to the load.
    pub fn add(&mut self, reservation: Reservation) {
        self.requests += 1;
        if let Reservation::Generation { tokens } = reservation {
            self.streams += 1;
            self.tokens += u64::from(tokens);
        }
    }

    /// Removes a request of this host from the load.
    pub fn remove(&mut self, reservation: Reservation) {
        self.requests -= 1;
        if let Reservation::Generation { tokens } = reservation {
            self.streams -= 1;
            self.tokens -= u64::from(tokens);
        }
    }

    /// Returns the forecast prefill time of the prompts that the engine handles before a new one,
    /// in milliseconds.
    pub fn pending_ms(&self, now_ms: u64) -> f64 {
        (self.prefill_until_ms - now_ms as f64).max(0.0)
    }

    /// Returns the prefill time that a decode engine still has to run between its decode steps,
    /// which delays its streams, in milliseconds.
    pub fn stall_ms(&self, now_ms: u64) -> f64 {
        (self.stalled_until_ms - now_ms as f64).max(0.0) * MAX_PREFILL_DUTY
    }

    /// Adds a prompt whose prefill takes `prefill_ms`.
    pub fn add_prefill(&mut self, prefill_ms: f64, now_ms: u64) {
        let now_ms = now_ms as f64;
        self.prefill_until_ms = self.prefill_until_ms.max(now_ms) + prefill_ms;
        self.stalled_until_ms = self.stalled_until_ms.max(now_ms) + prefill_ms / MAX_PREFILL_DUTY;
    }

    /// Returns the number of generations in flight, over all hosts.
    pub fn all_streams(&self, now_ms: u64) -> u32 {
        let announced = self.peer_streams.values();
        let fresh = announced.filter(|peer| now_ms < peer.received_ms + PEER_TTL_MS);
        self.streams + fresh.map(|peer| peer.streams).sum::<u32>()
    }

    /// Returns the KV cache that the generations of all hosts occupy, in tokens.
    pub fn all_tokens(&self, now_ms: u64) -> u64 {
        let announced = self.peer_streams.values();
        let fresh = announced.filter(|peer| now_ms < peer.received_ms + PEER_TTL_MS);
        self.tokens + fresh.map(|peer| peer.tokens).sum::<u64>()
    }

    /// Sets the number of generations of another host and the KV cache that they occupy, in tokens.
    pub fn set_peer_streams(&mut self, peer: u64, streams: u32, tokens: u64, now_ms: u64) {
        let announced = PeerStreams {
            streams,
            tokens,
            received_ms: now_ms,
        };
        self.peer_streams.insert(peer, announced);
    }

    /// Corrects the forecast after a prefill that ended `late_ms` later than forecast; negative if
    /// it ended earlier.
    pub fn correct_forecast(&mut self, late_ms: f64, now_ms: u64) {
        const WEIGHT: f64 = 0.5;
        let corrected = self.prefill_until_ms + WEIGHT * late_ms;
        self.prefill_until_ms = corrected.max(now_ms as f64);
    }

    /// Returns the length in tokens of the longest prefix of a prompt that the engine is expected
    /// to have cached. `prefixes` contains the hash and the length of each prefix, the shortest
    /// first.
    pub fn cached_tokens(&self, prefixes: &[(u64, u32)], now_ms: u64) -> u32 {
        let is_cached = |hash| {
            let used_ms = self.prefix_used_ms.get(hash);
            used_ms.is_some_and(|used_ms| now_ms < used_ms + CACHE_TTL_MS)
        };
        prefixes
            .iter()
            .rev()
            .find(|(hash, _)| is_cached(hash))
            .map_or(0, |(_, tokens)| *tokens)
    }

    /// Records that the engine has the prefixes of a prompt in its KV cache.
    pub fn record_cached(&mut self, prefixes: &[(u64, u32)], now_ms: u64) {
        for (hash, _) in prefixes {
            self.prefix_used_ms.insert(*hash, now_ms);
        }
        if self.prefix_used_ms.len() > MAX_CACHED_PREFIXES {
            self.prefix_used_ms
                .retain(|_, used_ms| now_ms < *used_ms + CACHE_TTL_MS);
            let excess = self
                .prefix_used_ms
                .len()
                .saturating_sub(MAX_CACHED_PREFIXES);
            self.prefix_used_ms.drain(..excess);
        }
    }

    /// Resets the state that a restart of the backend invalidates. Requests of this host that are
    /// still in flight stay counted until they end.
    pub fn reset(&mut self) {
        self.prefill_until_ms = 0.0;
        self.prefix_used_ms.clear();
        self.stalled_until_ms = 0.0;
        self.peer_streams.clear();
    }
}
