//! Joins the fleet: a host serves once it holds a catalogue that is not older than its peers'.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::host::Host;
use crate::wire::CatalogueCopy;

/// Peers that are asked for their copies at a time.
const ASKED: usize = 8;
/// Copies that replace a list from the object API while it is down, if there are as many peers.
const COPIES_WITHOUT_STORE: usize = 2;
/// Pause between two rounds.
const ROUND_MS: u64 = 100;

/// Collects the catalogue until the host has joined.
pub async fn run(host: Arc<Host>) {
    let peers: Vec<String> = host.peers.names().map(str::to_owned).collect();
    let needed = COPIES_WITHOUT_STORE.min(peers.len());
    let mut copied = HashSet::new();
    for round in 0.. {
        // The list must come first: a peer's copy taken before it may be the older one.
        let was_listed = host.initial_listing.is_complete();
        let first = (host.next_seed() as usize).wrapping_add(round * ASKED);
        let mut calls = JoinSet::new();
        for i in 0..peers.len().min(ASKED) {
            let peer = peers[first.wrapping_add(i) % peers.len()].clone();
            let host = Arc::clone(&host);
            calls.spawn(async move { (host.peers.fetch_catalogue(&peer).await, peer) });
        }
        while let Some(answer) = calls.join_next().await {
            if let Ok((Ok(CatalogueCopy(Some(items))), peer)) = answer {
                host.catalogue.receive_copy(items);
                copied.insert(peer);
            }
        }
        let has_copies = needed > 0 && copied.len() >= needed;
        if was_listed || has_copies {
            host.set_joined();
            return;
        }
        sleep(Duration::from_millis(ROUND_MS)).await;
    }
}
