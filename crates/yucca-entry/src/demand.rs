//! Demand for engine time at this host, for the role planner.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

use serde_json::{Map, Value, json};
use yuccacove::roles::Demand;

use crate::fleet::RequestProfile;
use crate::host::Host;

/// Weight of a dispatched request in the moving average of the uncached share of prompts.
const UNCACHED_SHARE_WEIGHT: f64 = 0.05;

#[derive(Debug, Clone, Copy)]
struct ServiceDemand {
    /// Engine-seconds since the start of this host.
    total_s: Demand,
    /// Share of the prompt tokens, from 0 to 1, that engines have to process; a moving average over
    /// dispatched requests.
    uncached_share: f64,
}

impl Default for ServiceDemand {
    fn default() -> Self {
        Self {
            total_s: Demand::default(),
            uncached_share: 1.0,
        }
    }
}

/// Cumulative demand by service since the start of this host.
#[derive(Debug, Default)]
pub struct DemandTotals {
    services: Mutex<HashMap<String, ServiceDemand>>,
}

impl DemandTotals {
    /// Counts a request that arrived, whether or not it will be refused.
    pub fn record_arrival(&self, profile: &RequestProfile<'_>) {
        let mut services = self.lock();
        let service = services.entry(profile.service.to_owned()).or_default();
        let work = Demand::of_tokens(
            f64::from(profile.prompt_tokens) * service.uncached_share,
            f64::from(profile.output_tokens),
        );
        service.total_s.prefill += work.prefill;
        service.total_s.decode += work.decode;
    }

    /// Updates the uncached share of prompts with a dispatched request.
    pub fn record_dispatch(&self, profile: &RequestProfile<'_>, cached_tokens: u32) {
        if profile.prompt_tokens == 0 {
            return;
        }
        let cached = f64::from(cached_tokens) / f64::from(profile.prompt_tokens);
        let mut services = self.lock();
        let share = &mut services
            .entry(profile.service.to_owned())
            .or_default()
            .uncached_share;
        *share += (1.0 - cached - *share) * UNCACHED_SHARE_WEIGHT;
    }

    /// Response body of `GET /v1/demand`: engine-seconds by service.
    pub fn to_json(&self, host: &Host) -> Value {
        let services: Map<String, Value> = self
            .lock()
            .iter()
            .map(|(name, demand)| {
                let Demand { prefill, decode } = demand.total_s;
                (
                    name.clone(),
                    json!({ "prefill_s": prefill, "decode_s": decode }),
                )
            })
            .collect();
        json!({
            "host": host.name,
            "incarnation": host.incarnation,
            "services": services,
        })
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<String, ServiceDemand>> {
        self.services.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
