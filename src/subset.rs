//! Deterministic subsetting: the engines that an entry host connects to.
//!
//! At the target size, 350 hosts that each connect to and poll 930 engines would need 350 x 930
//! connections and status polls. Instead each host uses a subset of a pool that is large enough to
//! balance load, and the subsets of all hosts together cover the pool evenly.

/// Number of engines in a host's subset; smaller pools are used completely.
pub const SUBSET_ENGINES: usize = 32;

/// Returns the indices in `engines` of the subset of `size` engines for the host at index `host` in
/// the settings, in ascending order.
///
/// Hosts are grouped into rounds. The hosts of a round divide a shuffled list of all engines into
/// disjoint slices, and each round uses another shuffle. The shuffle sorts by hash, so adding or
/// removing an engine only moves the boundaries of the slices.
pub fn choose(engines: &[&str], host: usize, size: usize) -> Vec<usize> {
    if engines.len() <= size || size == 0 {
        return (0..engines.len()).collect();
    }
    let slices = engines.len().div_ceil(size);
    let round = (host / slices) as u64;
    let mut order: Vec<usize> = (0..engines.len()).collect();
    order.sort_by_cached_key(|index| shuffle_key(round, engines[*index]));
    let slice = host % slices;
    // A short last slice is filled up from the first one; otherwise its host would send all its
    // work to few engines.
    let mut chosen: Vec<usize> = order
        .into_iter()
        .cycle()
        .skip(slice * size)
        .take(size)
        .collect();
    chosen.sort_unstable();
    chosen
}

fn shuffle_key(round: u64, engine: &str) -> [u8; 32] {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&round.to_be_bytes());
    hasher.update(engine.as_bytes());
    *hasher.finalize().as_bytes()
}
