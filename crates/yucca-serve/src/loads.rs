//! Work in flight on a back end.

use indexmap::IndexMap;

/// Time after its last use for which a part of a prompt is expected to be kept by an engine.
const KEPT_MS: u64 = 20_000;
/// Time after which what another host told no longer counts.
const PEER_MS: u64 = 2_000;
/// Largest part of its time for which a decode engine reads prompts; above it each step of the
/// generations is delayed.
const MAX_READING_DUTY: f64 = 0.2;
/// Prompt parts remembered for an engine.
const MAX_KEPT: usize = 512;

/// What a request takes of a back end while it runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reservation {
    /// A place among its requests.
    Request,
    /// A slot, and memory for this many tokens.
    Generation {
        /// Tokens of the prompt.
        tokens: u32,
    },
}

/// Work on one back end, as far as this host knows it.
#[derive(Debug, Default)]
pub struct Load {
    /// Requests of this host in flight.
    pub requests: u32,
    /// Generations of this host in flight.
    pub streams: u32,
    /// Tokens in memory for generations of this host.
    pub tokens: u64,
    /// Generations of this host as the other hosts were told last.
    pub announced_streams: u32,
    peer_streams: IndexMap<u64, PeerStreams>,
    reading_until_ms: f64,
    stalled_until_ms: f64,
    /// Time of the last use of each leading run of parts, by its hash.
    kept_used_ms: IndexMap<u64, u64>,
}

/// Generations of another host, as it last told.
#[derive(Debug, Clone, Copy)]
struct PeerStreams {
    streams: u32,
    tokens: u64,
    told_ms: u64,
}

impl Load {
    /// Puts a request of this host on the load.
    pub fn add(&mut self, share: Reservation) {
        self.requests += 1;
        if let Reservation::Generation { tokens } = share {
            self.streams += 1;
            self.tokens += u64::from(tokens);
        }
    }

    /// Takes a request of this host off the load.
    pub fn remove(&mut self, share: Reservation) {
        self.requests -= 1;
        if let Reservation::Generation { tokens } = share {
            self.streams -= 1;
            self.tokens -= u64::from(tokens);
        }
    }

    /// Work that the engine reads before a new prompt, in milliseconds.
    pub fn pending_ms(&self, now_ms: u64) -> f64 {
        (self.reading_until_ms - now_ms as f64).max(0.0)
    }

    /// Reading by which the generations of a decode engine are being delayed, in milliseconds.
    pub fn stall_ms(&self, now_ms: u64) -> f64 {
        (self.stalled_until_ms - now_ms as f64).max(0.0) * MAX_READING_DUTY
    }

    /// Adds a prompt whose reading takes `read_ms`.
    pub fn add_prefill(&mut self, read_ms: f64, now_ms: u64) {
        let now_ms = now_ms as f64;
        self.reading_until_ms = self.reading_until_ms.max(now_ms) + read_ms;
        self.stalled_until_ms = self.stalled_until_ms.max(now_ms) + read_ms / MAX_READING_DUTY;
    }

    /// Generations in flight of all hosts.
    pub fn all_streams(&self, now_ms: u64) -> u32 {
        let told = self.peer_streams.values();
        let fresh = told.filter(|peer| now_ms < peer.told_ms + PEER_MS);
        self.streams + fresh.map(|peer| peer.streams).sum::<u32>()
    }

    /// Tokens in memory for the generations of all hosts.
    pub fn all_tokens(&self, now_ms: u64) -> u64 {
        let told = self.peer_streams.values();
        let fresh = told.filter(|peer| now_ms < peer.told_ms + PEER_MS);
        self.tokens + fresh.map(|peer| peer.tokens).sum::<u64>()
    }

    /// Takes the number of generations of another host, and their tokens in memory.
    pub fn set_peer_streams(&mut self, peer: u64, streams: u32, tokens: u64, now_ms: u64) {
        let told = PeerStreams {
            streams,
            tokens,
            told_ms: now_ms,
        };
        self.peer_streams.insert(peer, told);
    }

    /// Corrects the forecast by a prompt that was to be read `late_ms` earlier than it was; negative
    /// when it was read sooner.
    pub fn correct_forecast(&mut self, late_ms: f64, now_ms: u64) {
        const WEIGHT: f64 = 0.5;
        let corrected = self.reading_until_ms + WEIGHT * late_ms;
        self.reading_until_ms = corrected.max(now_ms as f64);
    }

    /// Tokens at the beginning of a prompt that the engine is expected to keep. `chain` holds, for
    /// each leading run of parts, its hash and its tokens.
    pub fn cached_tokens(&self, prefixes: &[(u64, u32)], now_ms: u64) -> u32 {
        let is_kept = |hash| {
            let used_ms = self.kept_used_ms.get(hash);
            used_ms.is_some_and(|used_ms| now_ms < used_ms + KEPT_MS)
        };
        prefixes
            .iter()
            .rev()
            .find(|(hash, _)| is_kept(hash))
            .map_or(0, |(_, tokens)| *tokens)
    }

    /// Records that the engine read a prompt.
    pub fn record_cached(&mut self, prefixes: &[(u64, u32)], now_ms: u64) {
        for (hash, _) in prefixes {
            self.kept_used_ms.insert(*hash, now_ms);
        }
        if self.kept_used_ms.len() > MAX_KEPT {
            self.kept_used_ms
                .retain(|_, used_ms| now_ms < *used_ms + KEPT_MS);
            let excess = self.kept_used_ms.len().saturating_sub(MAX_KEPT);
            self.kept_used_ms.drain(..excess);
        }
    }

    /// Forgets what an earlier incarnation did. Requests of it that still run here end on their own.
    pub fn reset(&mut self) {
        self.reading_until_ms = 0.0;
        self.kept_used_ms.clear();
        self.stalled_until_ms = 0.0;
        self.peer_streams.clear();
    }
}
