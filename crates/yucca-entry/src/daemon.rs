//! Starts, runs and stops an entry host.

use std::sync::Arc;
use std::time::Duration;

use anyhow::{Context, Result};
use tokio::net::TcpListener;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep};
use yucca_io::log;
use yucca_io::operators::OperatorsPort;
use yucca_io::settings::Settings;
use yucca_io::stop::StopFlag;
use yuccacove::event::Event;

use crate::callers::{self, CallersPort};
use crate::catalogue_watch;
use crate::host::Host;
use crate::join;
use crate::operators;
use crate::peer_calls;
use crate::peers;
use crate::quota;
use crate::status_poll;
use crate::timing::Timing;
use crate::usage::UsageWriter;

/// Interval at which the stop flag and open claims are checked.
const STOP_POLL_MS: u64 = 20;
/// Interval at which the admission queues are processed.
const QUEUE_TICK_MS: u64 = 10;
/// Longest wait during a stop for the results of open claims to be recorded.
const CLAIM_WAIT_MS: u64 = 5_000;

/// An entry host with its ports open.
pub struct Daemon {
    /// Shared state.
    pub host: Arc<Host>,
    callers: CallersPort,
    // Stays open until the stop is complete.
    operators: OperatorsPort,
    tasks: Vec<JoinHandle<()>>,
    usage: UsageWriter,
}

impl Daemon {
    /// Opens the ports of the host called `name` and starts to follow the catalogue.
    ///
    /// # Errors
    ///
    /// When the host is not in the settings or an address cannot be bound.
    pub async fn spawn(
        settings: &Settings,
        name: &str,
        timing: Timing,
        stop: StopFlag,
    ) -> Result<Self> {
        let section = settings.host(name)?;
        let host = Arc::new(Host::new(settings, name, &section.zone, timing, stop));
        let callers = CallersPort::bind(Arc::clone(&host), section.callers)
            .await
            .with_context(|| format!("bind {}", section.callers))?;
        let handler_host = Arc::clone(&host);
        let operators = OperatorsPort::bind(section.operators, move |request| {
            operators::handle(&handler_host, request)
        })?;
        let listener = TcpListener::bind(section.peers)
            .await
            .with_context(|| format!("bind {}", section.peers))?;
        let handler_host = Arc::clone(&host);
        let peer_server = peer_calls::serve(listener, move |path, body| {
            peers::handle(&handler_host, path, body)
        });
        catalogue_watch::spawn(&host, first_delay(name, timing.start_spread_ms))?;
        let usage = UsageWriter::spawn(&host)?;
        log::write(
            Event::Started,
            &format!("host={name} callers={}", callers.address()),
        );
        let tasks = vec![
            peer_server,
            tokio::spawn(join::run(Arc::clone(&host))),
            tokio::spawn(peers::run(Arc::clone(&host))),
            tokio::spawn(status_poll::run(Arc::clone(&host))),
            tokio::spawn(quota::run(Arc::clone(&host))),
            tokio::spawn(tick_queues(Arc::clone(&host))),
            tokio::spawn(callers::check_connections(Arc::clone(&host))),
        ];
        Ok(Self {
            host,
            callers,
            operators,
            tasks,
            usage,
        })
    }

    /// Address of the callers' port.
    pub fn callers(&self) -> std::net::SocketAddr {
        self.callers.address()
    }

    /// Serves until a planned stop was requested and all requests have ended.
    pub async fn run(self) {
        while !self.host.stop.is_requested() {
            sleep(Duration::from_millis(STOP_POLL_MS)).await;
        }
        log::write(
            Event::StopRequested,
            &format!("connections={}", self.callers.connections()),
        );
        self.host.peers.leave();
        // Until the load balancer notices the failed readiness, it still sends new requests here.
        sleep(Duration::from_millis(self.host.policy.balancer_lag_ms)).await;
        self.callers.close().await;
        self.wait_for_claims().await;
        self.usage.finish().await;
        for task in &self.tasks {
            task.abort();
        }
        drop(self.operators);
        log::write(Event::Stopped, "");
    }
}

impl Daemon {
    /// Waits until the results of all claims are recorded, within a time limit. A claim whose
    /// result cannot be recorded stays open, so that a repeated request gets the outcome `unknown`.
    async fn wait_for_claims(&self) {
        let limit = Instant::now() + Duration::from_millis(CLAIM_WAIT_MS);
        while !self.host.attempts.is_empty() && Instant::now() < limit {
            sleep(Duration::from_millis(STOP_POLL_MS)).await;
        }
    }
}

/// Processes the queues at an interval, so that waiting requests are refused in time even while no
/// running request ends.
async fn tick_queues(host: Arc<Host>) {
    loop {
        sleep(Duration::from_millis(QUEUE_TICK_MS)).await;
        host.admission.tick();
    }
}

/// Delay of a host's first listing, which spreads the listings of hosts that start together.
fn first_delay(name: &str, spread_ms: u64) -> Duration {
    let hash = blake3::hash(name.as_bytes());
    let byte = u64::from(hash.as_bytes()[0]);
    Duration::from_millis(spread_ms * byte / 256)
}
