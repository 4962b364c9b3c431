//! Load of the back ends of a plain service, as one host learns it from their responses.
//!
//! A plain back end runs a few requests at a time, queues some more and refuses the rest. It reports
//! none of these numbers, and other hosts do not announce their plain requests. The time that a
//! request takes beyond the usual service time of its kind shows how many requests of all hosts are
//! before it in the queue. Service times also vary without a queue, so that the excess counts as a
//! wait only for some time after a back end of the service has refused a request because it was full.
//! During that time the host also limits its requests in progress to a window, which grows while the
//! waits are short and shrinks while they are long. The requests that the decision for overload delays
//! first only use a part of it.
//!
//! ```
//! use yuccacove::plain_load::{Completion, InProgress, PlainLoad};
//!
//! let mut load = PlainLoad::default();
//! let in_progress = InProgress::default();
//! let completion = Completion { kind: 1, backend: 7, in_progress, took_ms: 60.0 };
//! load.record_completion(&completion, 100);
//! assert_eq!(load.forecast(1, 7, in_progress, 200).response_ms, 60.0);
//! load.record_refusal(7, 20, 300);
//! assert!(load.forecast(1, 7, in_progress, 300).is_full);
//! ```

use indexmap::IndexMap;

use crate::forecast::Forecast;

/// Weight of a service time below the learned one. Both weights together make the learned one a low
/// quantile, which few waits in a queue raise.
const FASTER_WEIGHT: f64 = 0.05;
/// Weight of a service time above the learned one.
const SLOWER_WEIGHT: f64 = 0.01;
/// Multiple of the service time up to which a response counts as one that did not wait.
const VARIATION_FACTOR: f64 = 1.25;
/// Weight of the latest response in the average wait at a back end.
const WAIT_WEIGHT: f64 = 0.6;
/// Time in which a wait that no response confirms decays to half.
const WAIT_HALF_LIFE_MS: f64 = 100.0;
/// Largest ratio of the requests in progress now to those of the last response by which the wait is
/// scaled. The other hosts may have sent more or fewer meanwhile.
const MAX_LOAD_RATIO: f64 = 2.0;
/// Time for which a back end that refused a request counts as full. A queue of 24 requests at 6 slots
/// needs 4 service times to empty.
const FULL_MS: u64 = 150;
/// Time after a refusal for which waits count. When it has passed without another refusal, the queues
/// may fill up again, which shows whether the shortage goes on.
const SHORTAGE_MS: u64 = 5_000;
/// Time without a response after which a kind or a back end is forgotten. A wrong service time thus
/// does not keep out the requests that would correct it.
const FORGET_MS: u64 = 10_000;
/// Utilisation that is reported for a back end that is full.
const FULL_UTILISATION: f64 = 1.0;
/// Wait in the queue of a back end above which this host's window shrinks, in service times. A queue
/// of one service time keeps all slots busy although the hosts do not know of each other's requests.
const MAX_QUEUE_SERVICES: f64 = 1.0;
/// Change of the window for a window of responses, in requests.
const WINDOW_STEP: f64 = 0.25;
/// Factor by which the window shrinks when a back end refuses a request.
const REFUSAL_FACTOR: f64 = 0.7;
/// Smallest window. With it a host still learns when the shortage ends.
const MIN_WINDOW: f64 = 1.0;
/// Share of the window that must be in use for it to grow.
const MIN_WINDOW_USE: f64 = 0.5;

/// Requests of this host in progress.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct InProgress {
    /// At the back end.
    pub backend: u32,
    /// At all back ends of the service.
    pub service: u32,
}

/// A request that a back end has completed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Completion {
    /// Hash of the route's name.
    pub kind: u64,
    /// Hash of the back end's id.
    pub backend: u64,
    /// Other requests of this host in progress when it was sent.
    pub in_progress: InProgress,
    /// Time from sending to the end of the response.
    pub took_ms: f64,
}

/// Forecast for a request at a back end.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PlainForecast {
    /// Time until the response.
    pub response_ms: f64,
    /// Part of it that the request waits in the queue of the back end.
    pub queue_ms: f64,
    /// Service time of the kind without a queue; 0 if it is not known.
    pub service_ms: f64,
    /// Whether the back end refused a request a moment ago because it was full.
    pub is_full: bool,
    /// Part of this host's share of the back ends that is in use; 0 without a shortage.
    pub utilisation: f64,
}

/// What is known of a request besides the load of the back end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlainRequest {
    /// Time since the request was received.
    pub elapsed_ms: u64,
    /// Time until the caller's deadline.
    pub left_ms: u64,
    /// Target time from the receipt to the response.
    pub target_ms: u64,
    /// Rank of the request; 0 is the most urgent.
    pub urgency: u8,
    /// Shortest target of the more urgent requests of the service; `None` if there are none.
    pub urgent_target_ms: Option<u64>,
}

impl PlainForecast {
    /// Returns the input of the decision for overload about a request. The response takes the place
    /// of the first token, the queue of the back end that of the prefill queue.
    pub fn for_request(&self, request: &PlainRequest) -> Forecast {
        Forecast {
            first_token_ms: self.response_ms,
            elapsed_ms: request.elapsed_ms,
            left_ms: request.left_ms,
            target_ms: request.target_ms,
            urgency: request.urgency,
            decode_utilisation: self.utilisation,
            prefill_queue_ms: self.queue_ms,
            urgent_target_ms: request.urgent_target_ms,
        }
    }
}

#[derive(Debug, Clone, Copy)]
struct ServiceTime {
    ms: f64,
    updated_ms: u64,
}

#[derive(Debug, Default, Clone, Copy)]
struct BackendWait {
    wait_ms: f64,
    /// Requests of this host in progress when the latest completed one was sent.
    in_progress: u32,
    updated_ms: u64,
    full_until_ms: u64,
}

impl BackendWait {
    fn decayed_ms(&self, now_ms: u64) -> f64 {
        let since_ms = now_ms.saturating_sub(self.updated_ms) as f64;
        self.wait_ms * (-since_ms / WAIT_HALF_LIFE_MS).exp2()
    }

    /// Returns the wait with `in_progress` requests of this host. The requests of other hosts are
    /// assumed to have changed in the same ratio.
    fn scaled_ms(&self, in_progress: u32, now_ms: u64) -> f64 {
        let ratio = f64::from(in_progress + 1) / f64::from(self.in_progress + 1);
        self.decayed_ms(now_ms) * ratio.clamp(1.0 / MAX_LOAD_RATIO, MAX_LOAD_RATIO)
    }
}

/// Load of the back ends of one service.
#[derive(Debug, Default)]
pub struct PlainLoad {
    kinds: IndexMap<u64, ServiceTime>,
    backends: IndexMap<u64, BackendWait>,
    shortage_until_ms: u64,
    /// Number of requests of this host in progress with which the queues stay short.
    window: f64,
    window_shrunk_ms: u64,
}

impl PlainLoad {
    /// Records a response.
    pub fn record_completion(&mut self, completion: &Completion, now_ms: u64) {
        self.forget(now_ms);
        let is_shortage = self.is_shortage(now_ms);
        let took_ms = completion.took_ms;
        let known = self.kinds.get(&completion.kind).copied();
        let mut service_ms = known.map_or(took_ms, |known| known.ms);
        let weight = if took_ms < service_ms {
            FASTER_WEIGHT
        } else if is_shortage {
            // What a response takes longer in a shortage may be a wait.
            0.0
        } else {
            SLOWER_WEIGHT
        };
        service_ms += (took_ms - service_ms) * weight;
        let service = ServiceTime {
            ms: service_ms,
            updated_ms: now_ms,
        };
        self.kinds.insert(completion.kind, service);
        let backend = self.backends.entry(completion.backend).or_default();
        let waited_ms = (took_ms - service_ms * VARIATION_FACTOR).max(0.0);
        backend.wait_ms += (waited_ms - backend.wait_ms) * WAIT_WEIGHT;
        backend.in_progress = completion.in_progress.backend;
        backend.updated_ms = now_ms;
        if is_shortage {
            self.adjust_window(waited_ms > service_ms * MAX_QUEUE_SERVICES, completion);
        }
    }

    fn adjust_window(&mut self, is_too_long: bool, completion: &Completion) {
        if is_too_long {
            self.window = (self.window - WINDOW_STEP).max(MIN_WINDOW);
        } else if f64::from(completion.in_progress.service) >= self.window * MIN_WINDOW_USE {
            self.window += WINDOW_STEP / self.window;
        }
    }

    /// Records that a back end refused a request because it was full, with `in_progress` requests of
    /// this host in progress at the back ends of the service.
    pub fn record_refusal(&mut self, backend: u64, in_progress: u32, now_ms: u64) {
        if !self.is_shortage(now_ms) {
            self.window = f64::from(in_progress).max(MIN_WINDOW);
            self.window_shrunk_ms = now_ms;
        } else if now_ms >= self.window_shrunk_ms + FULL_MS {
            self.window = (self.window * REFUSAL_FACTOR).max(MIN_WINDOW);
            self.window_shrunk_ms = now_ms;
        }
        let backend = self.backends.entry(backend).or_default();
        backend.full_until_ms = now_ms + FULL_MS;
        self.shortage_until_ms = now_ms + SHORTAGE_MS;
        self.forget(now_ms);
    }

    /// Returns the forecast for a request of a kind at a back end, with `in_progress` other requests.
    pub fn forecast(
        &self,
        kind: u64,
        backend: u64,
        in_progress: InProgress,
        now_ms: u64,
    ) -> PlainForecast {
        let service_ms = self.service_ms(kind, now_ms).unwrap_or(0.0);
        let backend = self.backends.get(&backend).copied().unwrap_or_default();
        let is_full = now_ms < backend.full_until_ms;
        let (queue_ms, used) = if self.is_shortage(now_ms) {
            let queue_ms = backend.scaled_ms(in_progress.backend, now_ms);
            (queue_ms, f64::from(in_progress.service) / self.window)
        } else {
            (0.0, 0.0)
        };
        PlainForecast {
            response_ms: service_ms + queue_ms,
            queue_ms,
            service_ms,
            is_full,
            utilisation: if is_full {
                used.max(FULL_UTILISATION)
            } else {
                used
            },
        }
    }

    /// Returns the service time of a kind without a queue; `None` if there was no response lately.
    pub fn service_ms(&self, kind: u64, now_ms: u64) -> Option<f64> {
        let known = self.kinds.get(&kind)?;
        (now_ms < known.updated_ms + FORGET_MS).then_some(known.ms)
    }

    /// Whether a back end of the service was full recently.
    pub fn is_shortage(&self, now_ms: u64) -> bool {
        now_ms < self.shortage_until_ms
    }

    fn forget(&mut self, now_ms: u64) {
        let is_recent = |updated_ms: u64| now_ms < updated_ms + FORGET_MS;
        self.kinds.retain(|_, kind| is_recent(kind.updated_ms));
        self.backends
            .retain(|_, b| is_recent(b.updated_ms.max(b.full_until_ms)));
    }
}
