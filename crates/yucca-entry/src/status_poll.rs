//! Polls the engines' status and probes ejected servers.

use std::sync::Arc;
use std::time::Duration;

use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::host::Host;
use crate::probe;
use yucca_io::connections::Connection;

/// Largest number of engines that are polled at the configured interval. More engines are polled
/// less often, so that the polls of a host stay near 7 KB/s of its 10 KB/s for control traffic.
const ENGINES_AT_FULL_RATE: u64 = 20;

/// Polls until the task is aborted.
pub async fn run(host: Arc<Host>) {
    loop {
        let catalogue = host.catalogue.snapshot();
        let engines = host.fleet.engines(&catalogue);
        let count = engines.len() as u64;
        let round_ms =
            host.timing.status_poll_ms * count.max(ENGINES_AT_FULL_RATE) / ENGINES_AT_FULL_RATE;
        let pause = Duration::from_millis(round_ms) / u32::try_from(count.max(1)).unwrap_or(1);
        let mut polls = JoinSet::new();
        for (name, address) in engines {
            let host = Arc::clone(&host);
            polls.spawn(async move {
                let report = probe::status(address, host.timing.probe_ms).await;
                host.fleet
                    .reported(&host.catalogue.snapshot(), &name, report);
            });
            sleep(pause).await;
        }
        for (key, address) in host.fleet.server_probes_due() {
            let host = Arc::clone(&host);
            polls.spawn(async move {
                let opened = Connection::open(address, host.timing.probe_ms).await;
                host.fleet.probed(&key, opened.is_ok());
            });
        }
        if count == 0 {
            sleep(pause).await;
        }
        while polls.join_next().await.is_some() {}
    }
}
