//! Arrivals of requests: a Poisson process for each kind, with its bursts.

use crate::scenario::Scenario;

/// A request that is about to be made.
#[derive(Debug, Clone, PartialEq)]
pub struct Arrival {
    /// Time since the beginning, in milliseconds.
    pub at_ms: f64,
    /// Place of its kind.
    pub kind: usize,
    /// Content of the part of its prompt that it shares with others.
    pub shared_prefix: u64,
    /// Content of the rest.
    pub own_suffix: u64,
    /// Host that it reaches.
    pub host: usize,
}

/// All arrivals of a play in order of time; the same for the same seed.
pub fn arrivals(scenario: &Scenario, seed: u64) -> Vec<Arrival> {
    let mut all = Vec::new();
    for kind in 0..scenario.kinds.len() {
        // Kinds have generators of their own, so that one can be changed without the others.
        let mut random = fastrand::Rng::with_seed(seed.wrapping_mul(1_000) + kind as u64);
        let shared_parts = scenario.kinds[kind].shared_parts.max(1);
        let mut at_s = 0.0;
        loop {
            let rate = rate(scenario, kind, at_s);
            if rate <= 0.0 {
                break;
            }
            at_s += -(1.0 - random.f64()).ln() / rate;
            if at_s >= scenario.seconds {
                break;
            }
            all.push(Arrival {
                at_ms: at_s * 1e3,
                kind,
                shared_prefix: 1 + kind as u64 * 1_000 + random.u64(0..shared_parts),
                own_suffix: random.u64(1 << 32..),
                host: random.usize(0..scenario.hosts.max(1)),
            });
        }
    }
    all.sort_by(|a, b| a.at_ms.total_cmp(&b.at_ms));
    all
}

/// Requests a second of a kind at a time. A rate is taken at the request before, which shifts the
/// edges of a burst by one arrival.
fn rate(scenario: &Scenario, kind: usize, at_s: f64) -> f64 {
    let bursts = scenario.bursts.iter();
    let now = bursts.filter(|b| b.kind == kind && (b.from_s..b.to_s).contains(&at_s));
    let factor: f64 = now.map(|burst| burst.factor).product();
    scenario.kinds[kind].per_s * factor
}
