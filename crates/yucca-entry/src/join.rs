//! Joins the fleet: a host serves once it holds a catalogue that is not older than its peers'.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::host::Host;
use crate::wire::CatalogueCopy;

/// Number of peers asked for their copy of the catalogue in each round.
const PEERS_PER_ROUND: usize = 8;
/// Number of copies from different peers that replace a full listing while the object API is
/// unavailable; a host with fewer peers needs copies from all of them.
const COPIES_WITHOUT_LISTING: usize = 2;
/// Pause between two rounds.
const ROUND_PAUSE_MS: u64 = 100;

/// Collects copies of the catalogue until the host has joined.
pub async fn run(host: Arc<Host>) {
    let peers: Vec<String> = host.peers.names().map(str::to_owned).collect();
    let copies_needed = COPIES_WITHOUT_LISTING.min(peers.len());
    let mut copied = HashSet::new();
    for round in 0.. {
        // The full listing must come first: a copy fetched before it may be older than the listing.
        let was_listed = host.initial_listing.is_complete();
        let first = (host.next_seed() as usize).wrapping_add(round * PEERS_PER_ROUND);
        let mut calls = JoinSet::new();
        for i in 0..peers.len().min(PEERS_PER_ROUND) {
            let peer = peers[first.wrapping_add(i) % peers.len()].clone();
            let host = Arc::clone(&host);
            calls.spawn(async move { (host.peers.fetch_catalogue(&peer).await, peer) });
        }
        while let Some(response) = calls.join_next().await {
            if let Ok((Ok(CatalogueCopy(Some(items))), peer)) = response {
                host.catalogue.receive_copy(items);
                copied.insert(peer);
            }
        }
        let has_copies = copies_needed > 0 && copied.len() >= copies_needed;
        if was_listed || has_copies {
            host.set_joined();
            return;
        }
        sleep(Duration::from_millis(ROUND_PAUSE_MS)).await;
    }
}
