//! Arrival times of requests: a Poisson process for each kind, with bursts.

use crate::scenario::Scenario;

/// A request of the load.
#[derive(Debug, Clone, PartialEq)]
pub struct Arrival {
    /// Time since the start of the traffic, in milliseconds.
    pub at_ms: f64,
    /// Index of its kind in the scenario.
    pub kind: usize,
    /// Content id of the prompt's shared prefix.
    pub shared_prefix: u64,
    /// Content id of the rest of the prompt, drawn at random for each request.
    pub own_suffix: u64,
    /// Index of the organisation in the scenario; `None` if it has none.
    pub organisation: Option<usize>,
    /// Length of the prompt's own part, in tokens.
    pub own_tokens: u32,
    /// Number from which the caller derives the host of each try: the first try goes to the host with
    /// index `host + 1`, the second to `host + 2`, and so on, modulo the number of hosts.
    pub host: usize,
}

/// Returns all arrivals of a simulation in order of time. The result depends only on the scenario and
/// the seed.
pub fn arrivals(scenario: &Scenario, seed: u64) -> Vec<Arrival> {
    let mut all = Vec::new();
    for kind in 0..scenario.kinds.len() {
        // Each kind has its own generator, so that a change to one kind does not affect the others.
        let mut random = fastrand::Rng::with_seed(seed.wrapping_mul(1_000) + kind as u64);
        let shared_parts = scenario.kinds[kind].shared_parts.max(1);
        let mut at_s = 0.0;
        loop {
            let rates = rates(scenario, kind, at_s);
            let rate: f64 = rates.iter().sum();
            if rate <= 0.0 {
                break;
            }
            at_s += -(1.0 - random.f64()).ln() / rate;
            if at_s >= scenario.seconds {
                break;
            }
            let mut arrival = Arrival {
                at_ms: at_s * 1e3,
                kind,
                shared_prefix: 1 + kind as u64 * 1_000 + random.u64(0..shared_parts),
                own_suffix: random.u64(1 << 32..),
                organisation: None,
                own_tokens: scenario.kinds[kind].own_tokens,
                host: random.usize(0..scenario.hosts.max(1)),
            };
            if !scenario.organisations.is_empty() {
                arrival.organisation = Some(pick(&rates, rate * random.f64()));
            }
            let spec = &scenario.kinds[kind];
            if spec.large_share > 0.0 && random.f64() < spec.large_share {
                arrival.own_tokens = (f64::from(spec.own_tokens) * spec.large_factor) as u32;
            }
            all.push(arrival);
        }
    }
    all.sort_by(|a, b| a.at_ms.total_cmp(&b.at_ms));
    all
}

/// Returns the index of the rate in which the sum of the rates reaches `at`.
fn pick(rates: &[f64], mut at: f64) -> usize {
    for (index, rate) in rates.iter().enumerate() {
        at -= rate;
        if at < 0.0 {
            return index;
        }
    }
    rates.len() - 1
}

/// Returns the requests per second of a kind at a time, by organisation; one rate if there are no
/// organisations. The caller evaluates it at the previous
/// arrival, so that the edges of a burst are shifted by one arrival.
fn rates(scenario: &Scenario, kind: usize, at_s: f64) -> Vec<f64> {
    let bursts = scenario.bursts.iter();
    let active: Vec<_> = bursts
        .filter(|b| b.kind == kind && (b.from_s..b.to_s).contains(&at_s))
        .collect();
    let factor = |organisation: Option<usize>| -> f64 {
        let bursts = active.iter();
        let own = bursts.filter(|b| b.organisation.is_none() || b.organisation == organisation);
        own.map(|burst| burst.factor).product()
    };
    let per_s = scenario.kinds[kind].per_s;
    let senders = &scenario.organisations;
    if senders.is_empty() {
        return vec![per_s * factor(None)];
    }
    let weights: f64 = senders.iter().map(|sender| sender.weight).sum();
    let senders = senders.iter().enumerate();
    senders
        .map(|(index, sender)| per_s * sender.weight / weights * factor(Some(index)))
        .collect()
}
