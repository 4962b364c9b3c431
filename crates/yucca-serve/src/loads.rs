//! Load of the backends: work in flight and cached prefixes.

use indexmap::IndexMap;
use yuccacove::engine_speed::EngineSpeed;

/// Time after its last use for which a prefix is expected to stay in an engine's KV cache.
const CACHE_TTL_MS: u64 = 20_000;
/// Time after which the stream counts of another host expire.
const PEER_TTL_MS: u64 = 2_000;
/// Largest fraction of its time that a decode engine spends on prefill; a larger one would delay
/// each decode step.
const MAX_PREFILL_DUTY: f64 = 0.2;
/// Maximum number of cached prefixes that are tracked for one engine.
const MAX_CACHED_PREFIXES: usize = 512;

/// Largest difference of equal works, which are announced in units of 0.1 ms.
const SAME_WORK_MS: f64 = 0.06;
/// Time by which the end of another host's prefill is known later than it happened. A queue is
/// assumed to go on for that time after the forecast end of its first prefill.
const END_ANNOUNCEMENT_DELAY_MS: f64 = 25.0;
/// Mean time from a prefill of another host until its announcement is applied. What is announced within
/// this time after a prefill of this host was sent is ahead of it.
const ANNOUNCEMENT_MS: u64 = 10;
/// Multiple of its forecast after which a prefill whose end is not told no longer counts: the
/// datagram was lost, or the host has stopped.
const EXPIRY_FACTOR: f64 = 3.0;
/// Time by which such a prefill counts longer than [`EXPIRY_FACTOR`] times its forecast.
const EXPIRY_SLACK_MS: f64 = 500.0;
/// An engine prefills prompts in the order of arrival. A prefill that began earlier by this time than
/// one that has ended has ended too; the datagram was lost. Announcements take tens of milliseconds.
const ORDER_SLACK_MS: u64 = 150;
/// Minimum interval between two decode speeds of an engine that are sent to the other hosts.
const DECODE_NEWS_MS: u64 = 1_000;

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

/// Host that gave an engine a prefill, and how its end becomes known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PrefillSource {
    /// This host, by a number that is unique on it.
    Own(u64),
    /// Another host, by the hash of its name, which tells when the prefill has ended.
    Told(u64),
    /// A host that does not tell the end of its prefills.
    Untold,
}

/// A prefill that an engine has not completed.
#[derive(Debug, Clone, Copy)]
struct OutstandingPrefill {
    source: PrefillSource,
    /// Work in nominal milliseconds.
    work_ms: f64,
    added_ms: u64,
    expires_ms: f64,
    /// Work ahead of it that was announced after it was sent, in nominal milliseconds.
    late_ahead_ms: f64,
}

/// Load of one backend, as far as this host knows it.
#[derive(Debug)]
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
    /// Speed as learned from the engine's work.
    pub speed: EngineSpeed,
    /// Prefill speed that forecasts use, relative to the published one.
    pub prefill_speed: f64,
    /// Decode speed that forecasts use, relative to the published one.
    pub decode_speed: f64,
    /// Whether the engine was reported as slow.
    pub is_reported_slow: bool,
    /// Fixed latency of a remote prefill on the engine, in milliseconds.
    pub latency_ms: f64,
    /// Prefills in order of arrival.
    outstanding: Vec<OutstandingPrefill>,
    /// Forecast time at which the engine began the first of them.
    head_since_ms: f64,
    /// Decode speed to send to the other hosts, and the time of the last one that was sent.
    decode_news: (Option<f64>, u64),
    /// Forecast time at which all prefills have ended if they take at most [`MAX_PREFILL_DUTY`] of the engine's time.
    stalled_until_ms: f64,
    /// Time of the last use of each cached prefix, by its hash.
    prefix_used_ms: IndexMap<u64, u64>,
}

impl Default for Load {
    fn default() -> Self {
        Self {
            requests: 0,
            streams: 0,
            tokens: 0,
            announced_streams: 0,
            peer_streams: IndexMap::new(),
            speed: EngineSpeed::default(),
            prefill_speed: 1.0,
            decode_speed: 1.0,
            is_reported_slow: false,
            latency_ms: 0.0,
            outstanding: Vec::new(),
            head_since_ms: 0.0,
            decode_news: (None, 0),
            stalled_until_ms: 0.0,
            prefix_used_ms: IndexMap::new(),
        }
    }
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
        let now_ms = now_ms as f64;
        let live = self.outstanding.iter().filter(|p| now_ms < p.expires_ms);
        let mut left_ms = 0.0;
        let mut head_ms = None;
        for prefill in live {
            let prefill_ms = prefill.work_ms / self.prefill_speed;
            head_ms.get_or_insert(prefill_ms);
            left_ms += prefill_ms;
        }
        let done_ms = (now_ms - self.head_since_ms).max(0.0);
        let max_done_ms = head_ms.unwrap_or(0.0) + self.latency_ms + END_ANNOUNCEMENT_DELAY_MS;
        (left_ms - done_ms.min(max_done_ms)).max(0.0)
    }

    /// Returns the prefill time that a decode engine still has to run between its decode steps,
    /// which delays its streams, in milliseconds.
    pub fn stall_ms(&self, now_ms: u64) -> f64 {
        (self.stalled_until_ms - now_ms as f64).max(0.0) * MAX_PREFILL_DUTY
    }

    /// Adds the prefill of a prompt with `work_ms` of work, in nominal milliseconds.
    pub fn add_prefill(&mut self, source: PrefillSource, work_ms: f64, now_ms: u64) {
        self.expire_prefills(now_ms);
        let prefill_ms = work_ms / self.prefill_speed;
        let until_ms = self.pending_ms(now_ms) + prefill_ms;
        let counts_ms = match source {
            PrefillSource::Own(_) => f64::INFINITY,
            PrefillSource::Told(_) => {
                (until_ms + self.latency_ms) * EXPIRY_FACTOR + EXPIRY_SLACK_MS
            }
            PrefillSource::Untold => until_ms,
        };
        if self.outstanding.is_empty() {
            self.head_since_ms = now_ms as f64;
        }
        if !matches!(source, PrefillSource::Own(_)) {
            let sent_after = self.outstanding.iter_mut();
            for other in sent_after.filter(|p| now_ms <= p.added_ms + ANNOUNCEMENT_MS) {
                other.late_ahead_ms += work_ms;
            }
        }
        self.outstanding.push(OutstandingPrefill {
            source,
            work_ms,
            added_ms: now_ms,
            expires_ms: now_ms as f64 + counts_ms,
            late_ahead_ms: 0.0,
        });
        let now_ms = now_ms as f64;
        self.stalled_until_ms = self.stalled_until_ms.max(now_ms) + prefill_ms / MAX_PREFILL_DUTY;
    }

    /// Removes a prefill that has ended, and those that must have ended before it. The work
    /// identifies it among those of another host. `is_completed` is false if it did not run to its
    /// end. Returns the work ahead of it that was announced after it was sent, in nominal
    /// milliseconds.
    pub fn end_prefill(
        &mut self,
        source: PrefillSource,
        work_ms: f64,
        is_completed: bool,
        now_ms: u64,
    ) -> f64 {
        self.expire_prefills(now_ms);
        let is_same_work = |p: &OutstandingPrefill| (p.work_ms - work_ms).abs() < SAME_WORK_MS;
        let is_ended = |p: &OutstandingPrefill| match source {
            PrefillSource::Own(_) => p.source == source,
            PrefillSource::Told(_) | PrefillSource::Untold => p.source == source && is_same_work(p),
        };
        let Some(at) = self.outstanding.iter().position(is_ended) else {
            return 0.0;
        };
        let ended = self.outstanding.remove(at);
        let mut is_head_ended = at == 0;
        if is_completed {
            let is_own = |p: &OutstandingPrefill| matches!(p.source, PrefillSource::Own(_));
            let may_run =
                |p: &OutstandingPrefill| is_own(p) || p.added_ms + ORDER_SLACK_MS >= ended.added_ms;
            is_head_ended |= self.outstanding.first().is_some_and(|p| !may_run(p));
            self.outstanding.retain(may_run);
        }
        if is_head_ended {
            let delay_ms = match source {
                PrefillSource::Own(_) => self.latency_ms,
                PrefillSource::Told(_) | PrefillSource::Untold => {
                    self.latency_ms + END_ANNOUNCEMENT_DELAY_MS
                }
            };
            self.begin_next(now_ms as f64 - delay_ms);
        }
        ended.late_ahead_ms
    }

    /// Records that the first prefill has begun, at `since_ms` at the earliest.
    fn begin_next(&mut self, since_ms: f64) {
        if let Some(next) = self.outstanding.first() {
            self.head_since_ms = self.head_since_ms.max(since_ms).max(next.added_ms as f64);
        }
    }

    fn expire_prefills(&mut self, now_ms: u64) {
        let now_ms = now_ms as f64;
        let count = self.outstanding.len();
        let first_expires = self.outstanding.first().map(|p| p.expires_ms);
        self.outstanding.retain(|p| now_ms < p.expires_ms);
        if self.outstanding.len() < count
            && let Some(expired_ms) = first_expires.filter(|ms| *ms <= now_ms)
        {
            self.begin_next(expired_ms);
        }
    }

    /// Records the decode speed of this host's streams, to be sent to the other hosts.
    pub fn record_decode(&mut self, took_ms: f64, nominal_ms: f64, now_ms: u64) {
        self.speed.record_decode(took_ms, nominal_ms, now_ms);
        self.decode_speed = self.speed.decode_speed(now_ms);
        self.decode_news.0 = Some(took_ms / nominal_ms);
    }

    /// Returns and forgets the latest time per nominal time of this host's streams, if the other hosts
    /// are to be told now.
    pub fn take_decode_news(&mut self, now_ms: u64) -> Option<f64> {
        if now_ms < self.decode_news.1 + DECODE_NEWS_MS {
            return None;
        }
        let news = self.decode_news.0.take()?;
        self.decode_news.1 = now_ms;
        Some(news)
    }

    /// Returns the number of generations in flight, over all hosts.
    pub fn all_streams(&self, now_ms: u64) -> u32 {
        let announced = self.peer_streams.values();
        let fresh = announced.filter(|peer| now_ms < peer.received_ms + PEER_TTL_MS);
        self.streams + fresh.map(|peer| peer.streams).sum::<u32>()
    }

    /// Returns the age of the oldest announcement of another host that counts; `None` if there is none.
    pub fn announced_age_ms(&self, now_ms: u64) -> Option<u64> {
        let received = self.peer_streams.values().map(|peer| peer.received_ms);
        let ages = received.map(|received_ms| now_ms.saturating_sub(received_ms));
        ages.filter(|age_ms| *age_ms < PEER_TTL_MS).max()
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

    /// Whether a prefill of this host has not ended.
    pub fn has_own_prefills(&self) -> bool {
        let mut outstanding = self.outstanding.iter();
        outstanding.any(|p| matches!(p.source, PrefillSource::Own(_)))
    }

    /// Resets the state that a restart of the backend invalidates. Requests of this host that are
    /// still in flight stay counted until they end.
    pub fn reset(&mut self) {
        self.outstanding.clear();
        self.speed = EngineSpeed::default();
        self.prefill_speed = 1.0;
        self.decode_speed = 1.0;
        self.decode_news = (None, 0);
        self.prefix_used_ms.clear();
        self.stalled_until_ms = 0.0;
        self.peer_streams.clear();
    }
}
