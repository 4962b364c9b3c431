//! Scores of engines and the choice among them.

use super::{
    Candidate, Decision, EMPTY_SCORED, MAX_CANDIDATES, MAX_UNREPORTED_MS, REPORT_HALF_AGE_MS,
    Request, Router, SCORE_MARGIN_MS, WORK_RATE_WINDOW_MS, admits, unit_interval,
};

impl Router {
    pub(super) fn collect_eligible(&mut self, now_ms: u64, request: &Request<'_>, hash: u64) {
        self.eligible.clear();
        let Some(service) = self.services.get(request.service) else {
            return;
        };
        let matches = |(model, version): &(String, String)| {
            model == request.model && version == request.version
        };
        let Some((version, _)) = (0..).zip(&self.versions).find(|(_, pair)| matches(pair)) else {
            return;
        };
        let now_ms = now_ms as f64;
        let output_tokens = f64::from(request.output_tokens);
        // Writes the fields in place. A complete value would be built on the stack by narrow stores
        // and read back before they reach memory; this store-forwarding stall takes half of a
        // decision's time.
        self.eligible.resize(service.len(), EMPTY_SCORED);
        let mut count = 0;
        for key in service {
            let summary = &self.summaries[key.index as usize];
            let is_eligible = summary.usable
                && summary.version == version
                && admits(summary.traffic_share, hash, key.index)
                && !request.exclude.contains(key);
            if is_eligible {
                let scored = &mut self.eligible[count];
                scored.key = *key;
                scored.own_ms = summary.own_ms;
                scored.others_ms = summary.others_ms;
                scored.report_age_ms = now_ms - summary.measured_ms;
                scored.prefill_ms_per_token = summary.prefill_ms_per_token;
                scored.fixed_ms = output_tokens * summary.decode_ms_per_token + summary.latency_ms;
                count += 1;
            }
        }
        self.eligible.truncate(count);
    }

    /// Computes the load of each eligible engine and returns the mean age of the reports in ms.
    pub(super) fn estimate_loads(&mut self) -> f64 {
        let (mut known, mut others_ms, mut age_ms) = (0.0, 0.0, 0.0);
        for scored in self.eligible.iter().filter(|s| !s.others_ms.is_nan()) {
            known += 1.0;
            others_ms += scored.others_ms;
            age_ms += scored.report_age_ms;
        }
        let (mean_ms, mean_age_ms) = if known > 0.0 {
            (others_ms / known, age_ms / known)
        } else {
            (0.0, MAX_UNREPORTED_MS)
        };
        self.loads.clear();
        self.loads.extend(self.eligible.iter().map(|scored| {
            let weight = REPORT_HALF_AGE_MS / (REPORT_HALF_AGE_MS + scored.report_age_ms);
            let difference_ms = (scored.others_ms - mean_ms) * weight;
            let others_ms = if difference_ms.is_nan() {
                mean_ms
            } else {
                mean_ms + difference_ms
            };
            scored.own_ms + others_ms
        }));
        mean_age_ms
    }

    /// Returns the estimated work that other hosts have sent since the reports were measured. Each
    /// host is assumed to send as much work as this one, and at least one request like this one.
    pub(super) fn unreported_ms(
        &self,
        now_ms: u64,
        mean_age_ms: f64,
        request: &Request<'_>,
    ) -> f64 {
        let first = &self.eligible[0];
        let request_ms =
            f64::from(request.prompt_tokens) * first.prefill_ms_per_token + first.fixed_ms;
        let windows = mean_age_ms.min(MAX_UNREPORTED_MS) / WORK_RATE_WINDOW_MS;
        (self.hosts - 1.0) * (self.recent_work_ms(now_ms) * windows).max(request_ms)
    }

    /// Computes the scores and returns the best one. Loads below the fill level count as that
    /// level, because other hosts are expected to raise them to it.
    pub(super) fn score(&mut self, request: &Request<'_>, level: f64) -> f64 {
        let prompt_tokens = f64::from(request.prompt_tokens);
        let mut best_ms = f64::INFINITY;
        let loads_and_caches = self.loads.iter().zip(&self.cached_tokens);
        let scored = self.eligible.iter().zip(loads_and_caches);
        self.scores.clear();
        self.scores
            .extend(scored.map(|(scored, (load_ms, cached_tokens))| {
                let prefill_ms = (prompt_tokens - cached_tokens) * scored.prefill_ms_per_token;
                let queue_ms = if *load_ms > level { *load_ms } else { level };
                let score_ms = queue_ms + prefill_ms + scored.fixed_ms;
                if score_ms < best_ms {
                    best_ms = score_ms;
                }
                score_ms
            }));
        best_ms
    }

    /// Chooses among the engines near the best score by `hash`, so that hosts with the same reports
    /// spread their work. Engines further below the fill level have a higher weight.
    pub(super) fn pick_near(&mut self, best_ms: f64, level: f64, hash: u64) -> usize {
        let bound_ms = best_ms + SCORE_MARGIN_MS.max(best_ms / 10.0);
        self.near_best.clear();
        let mut total = 0.0;
        for (at, score_ms) in self.scores.iter().enumerate() {
            if *score_ms < bound_ms {
                total += bound_ms - score_ms + (level - self.loads[at]).max(0.0);
                self.near_best.push((at, total));
            }
        }
        let drawn = total * unit_interval(hash);
        let index = self.near_best.partition_point(|(_, sum)| *sum <= drawn);
        self.near_best
            .get(index)
            .or(self.near_best.last())
            .map_or(0, |n| n.0)
    }

    /// Chooses the engine with the fewest requests in flight from this host; ties are broken by
    /// round-robin.
    pub(super) fn pick_least_in_flight(&mut self) -> usize {
        let start = self.pick_round_robin();
        let in_flight = |at: &usize| self.own_requests(self.eligible[*at].key);
        (start..self.eligible.len())
            .chain(0..start)
            .min_by_key(in_flight)
            .unwrap_or(start)
    }

    pub(super) fn pick_round_robin(&mut self) -> usize {
        let at = self.round_robin_next % self.eligible.len();
        self.round_robin_next = self.round_robin_next.wrapping_add(1);
        at
    }

    pub(super) fn decision(&self, chosen: usize, request: &Request<'_>) -> Decision {
        let mut best = Vec::with_capacity(MAX_CANDIDATES + 1);
        best.push(chosen);
        let mut bound = f64::INFINITY;
        for (at, score_ms) in self.scores.iter().enumerate() {
            if *score_ms >= bound || at == chosen {
                continue;
            }
            let position = 1 + best[1..].partition_point(|other| self.scores[*other] <= *score_ms);
            best.insert(position, at);
            best.truncate(MAX_CANDIDATES);
            if best.len() == MAX_CANDIDATES {
                bound = self.scores[best[MAX_CANDIDATES - 1]];
            }
        }
        let candidates: Vec<Candidate> = best
            .into_iter()
            .map(|at| self.candidate(at, request))
            .collect();
        let first = &candidates[0];
        Decision {
            engine: first.engine,
            first_token_ms: first.queue_ms + first.prefill_ms + first.latency_ms,
            cached_tokens: first.cached_tokens,
            candidates,
        }
    }

    pub(super) fn candidate(&self, at: usize, request: &Request<'_>) -> Candidate {
        let scored = &self.eligible[at];
        let summary = &self.summaries[scored.key.index as usize];
        let prefill_tokens = f64::from(request.prompt_tokens) - self.cached_tokens[at];
        Candidate {
            engine: scored.key,
            score_ms: self.scores[at],
            queue_ms: self.loads[at],
            prefill_ms: prefill_tokens * scored.prefill_ms_per_token,
            decode_ms: f64::from(request.output_tokens) * summary.decode_ms_per_token,
            latency_ms: summary.latency_ms,
            cached_tokens: self.cached_tokens[at] as u32,
        }
    }

    /// Returns the decayed sum of this host's recently dispatched work.
    pub(super) fn recent_work_ms(&self, now_ms: u64) -> f64 {
        let elapsed_ms = now_ms.saturating_sub(self.work_updated_ms) as f64;
        self.work_ms * (-elapsed_ms / WORK_RATE_WINDOW_MS).exp()
    }
}
