//! Water-filling of work over the least loaded engines.

/// Number of loads that are summed in parallel.
const LANES: usize = 8;

/// Returns the water-filling level: the load of the least loaded engines after `work_ms` is
/// distributed over them so that their loads become equal.
pub(super) fn fill_level(loads: &[f64], work_ms: f64) -> f64 {
    // Starts with all engines and excludes those above the level until none is above it.
    let mut level = f64::INFINITY;
    loop {
        let (sum, count) = sum_below(loads, level);
        let next = (work_ms + sum) / count;
        if count < 1.0 || next >= level {
            return level;
        }
        level = next;
    }
}

/// Returns the sum and number of the loads below `level`. The lanes let the compiler use vector
/// instructions, without which this loop takes most of a decision's time.
fn sum_below(loads: &[f64], level: f64) -> (f64, f64) {
    let mut sums = [0.0; LANES];
    let mut counts = [0.0; LANES];
    let chunks = loads.chunks_exact(LANES);
    let rest = chunks.remainder();
    for chunk in chunks {
        for lane in 0..LANES {
            let below = chunk[lane] < level;
            sums[lane] += if below { chunk[lane] } else { 0.0 };
            counts[lane] += if below { 1.0 } else { 0.0 };
        }
    }
    for (lane, load) in rest.iter().enumerate().filter(|(_, load)| **load < level) {
        sums[lane] += load;
        counts[lane] += 1.0;
    }
    (sums.iter().sum(), counts.iter().sum())
}
