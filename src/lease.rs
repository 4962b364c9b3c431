//! Leases on pools: at most one host at a time may send orders to the engines of a pool.
//!
//! [`LeaseState`] is the state machine with which one host acquires, renews and releases one lease,
//! on its own monotonic clock.

use serde::{Deserialize, Serialize};

use crate::store::{Stored, Token, Write, WriteResult};

/// Key of the object that stores the lease on `pool`.
pub fn key(pool: &str) -> String {
    format!("lease/{pool}")
}

/// Value of a lease object.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Lease<H = String> {
    /// Host that holds the lease; `None` after it was released.
    pub holder: Option<H>,
    /// Increases each time that the lease is acquired, including by the previous holder after a
    /// restart.
    pub epoch: u64,
    /// Number of renewals within the epoch.
    pub renewal: u64,
    /// Token of the last write.
    pub writer: Token,
}

/// Durations that govern a lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Timing {
    /// Time without a renewal after which other hosts may acquire the lease.
    pub ttl_ms: u64,
    /// Time before the end of the TTL at which the holder stops acting. It covers clock rates that
    /// are off by up to 5% either way: 5.0 s on the slowest clock end before 6.0 s on the fastest.
    pub margin_ms: u64,
    /// Interval between two renewals.
    pub renew_ms: u64,
    /// Additional delay of this host before it acquires a free lease. Different delays prevent the
    /// whole fleet from writing at the same time.
    pub stagger_ms: u64,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            ttl_ms: 6_000,
            margin_ms: 1_000,
            renew_ms: 2_000,
            stagger_ms: 0,
        }
    }
}

/// Upper bound of [`stagger_ms`]. Together with the TTL it stays below 8 s, the time within which a
/// successor must take over.
pub const MAX_STAGGER_MS: u64 = 1_000;

/// Time over which the delays of a fleet are spread, for each of its hosts. Hosts learn of a renewal
/// by reads that may lag, so that those whose delays are close to the lowest one write in vain.
const STAGGER_PER_HOST_MS: u64 = 60;

/// Scales a delay from [`stagger_ms`] for a fleet of `hosts`: the lowest delay of a large fleet stays
/// about the same, while the others are spread over more time.
pub fn scaled_stagger_ms(stagger_ms: u64, hosts: u32) -> u64 {
    let spread_ms = (u64::from(hosts) * STAGGER_PER_HOST_MS).max(MAX_STAGGER_MS);
    stagger_ms * spread_ms / MAX_STAGGER_MS
}

/// Delay of `host` before it acquires the lease on `pool`, for [`Timing::stagger_ms`]. The delays
/// of all hosts are evenly distributed below [`MAX_STAGGER_MS`].
pub fn stagger_ms(pool: &str, host: &str) -> u64 {
    let hash = blake3::hash(format!("{pool}\n{host}").as_bytes());
    let mut prefix = [0; 8];
    prefix.copy_from_slice(&hash.as_bytes()[..8]);
    u64::from_be_bytes(prefix) % MAX_STAGGER_MS
}

/// Maximum number of hosts of a fleet that watch the leases.
pub const WATCHING_STANDBYS: usize = 8;
/// Minimum interval between two polls of the leases by each of the other hosts.
pub const POLL_INTERVAL_MS: u64 = 10_000;
/// Additional delay of the polling hosts before they acquire a lease. It exceeds
/// [`POLL_INTERVAL_MS`], as a lease that is renewed between two polls must not appear to have
/// expired.
pub const POLLING_STAGGER_MS: u64 = 12_000;

/// How a host follows the leases of other hosts. Each renewal notifies all watching hosts. If all
/// hosts of a fleet of 350 watched, most reads of the store would report renewals to hosts that do
/// not need them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standby {
    /// The host watches the leases and is among the first to acquire an expired one.
    Watching,
    /// The host polls the leases and acquires one only if no watching host does.
    Polling,
}

impl Standby {
    /// The mode of `host` among all `hosts`. All hosts must pass the same `hosts`.
    pub fn of<'a>(host: &str, hosts: impl Iterator<Item = &'a str>) -> Self {
        let rank = |name: &str| *blake3::hash(name.as_bytes()).as_bytes();
        let own = rank(host);
        if hosts.filter(|name| rank(name) < own).count() < WATCHING_STANDBYS {
            Self::Watching
        } else {
            Self::Polling
        }
    }

    /// Delay of `host` before it acquires the lease on `pool`, for [`Timing::stagger_ms`].
    pub fn stagger_ms(self, pool: &str, host: &str) -> u64 {
        let own_ms = stagger_ms(pool, host);
        match self {
            Self::Watching => own_ms,
            Self::Polling => own_ms + POLLING_STAGGER_MS,
        }
    }
}

/// Authority of a lease holder to send orders to the engines of its pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Authority {
    /// Epoch of the lease.
    pub epoch: u64,
    /// Time on this host's clock at which it learnt that it had acquired the lease.
    pub since_ms: u64,
    /// Store version of the write that acquired the lease. Records read at an older revision may
    /// lack the last writes of the previous holder.
    pub version: u64,
}

/// Next action of the host for a lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Next<H = String> {
    /// Write the lease object and pass the result to [`LeaseState::written`].
    Write(Write<Lease<H>>),
    /// Read the lease object from the store and pass it to [`LeaseState::reread`].
    Read,
    /// Do nothing until the given time, unless the lease object is observed earlier.
    Wait {
        /// Time on the host's clock; `None` while a write is in flight.
        until_ms: Option<u64>,
    },
    /// The host was stopped and does not hold the lease.
    Finished,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Seen<H> {
    version: u64,
    lease: Option<Lease<H>>,
    /// Time at which this version was first seen. The TTL counts from it while this host does not
    /// hold the lease.
    first_seen_ms: u64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Held {
    authority: Authority,
    /// Time at which the last effective write was sent. The TTL counts from it while this host
    /// holds the lease.
    sent_ms: u64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum WriteStatus {
    /// The result of the write has not arrived.
    Sent,
    /// The result was lost; the object must be read to find out whether the write took effect.
    Unknown,
    /// The object was read and is unchanged, so the same write must be repeated.
    Repeat,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Pending<H> {
    write: Write<Lease<H>>,
    /// Time at which the write was first sent. Repeats do not change it, since the first may be the
    /// one that took effect.
    sent_ms: u64,
    status: WriteStatus,
}

/// State machine of one host for one lease. All times are on the host's own monotonic clock, which
/// must also advance while the host is suspended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct LeaseState<H = String> {
    host: H,
    timing: Timing,
    seen: Option<Seen<H>>,
    held: Option<Held>,
    pending: Option<Pending<H>>,
    highest_epoch: u64,
    /// Epochs up to this one may have been given out without a trace in the store.
    epoch_floor: u64,
    stopping: bool,
}

impl<H: Clone + PartialEq> LeaseState<H> {
    /// Creates the state of `host`, which has not seen the lease object yet.
    pub fn new(host: H, timing: Timing) -> Self {
        Self {
            host,
            timing,
            seen: None,
            held: None,
            pending: None,
            highest_epoch: 0,
            epoch_floor: 0,
            stopping: false,
        }
    }

    /// Forgets the lease, because the store was restored from a copy: acquisitions since the copy are
    /// gone. Any host then waits for the TTL before it acquires the lease, and its epoch exceeds
    /// `epoch_floor`, which must not be lower than any epoch so far.
    pub fn restore(&mut self, epoch_floor: u64) {
        self.seen = None;
        self.held = None;
        self.pending = None;
        self.epoch_floor = self.epoch_floor.max(epoch_floor);
        self.highest_epoch = self.highest_epoch.max(epoch_floor);
    }

    /// Delay of this host before it acquires a free lease.
    pub fn stagger_ms(&self) -> u64 {
        self.timing.stagger_ms
    }

    /// Sets the delay of this host before it acquires a free lease.
    pub fn set_stagger_ms(&mut self, stagger_ms: u64) {
        self.timing.stagger_ms = stagger_ms;
    }

    /// The host's authority at `now_ms`; `None` if it must not act. Check it immediately before
    /// each write and each order.
    pub fn authority(&self, now_ms: u64) -> Option<Authority> {
        let held = self.held.filter(|_| !self.stopping)?;
        let valid_until_ms = held.sent_ms + self.timing.ttl_ms - self.timing.margin_ms;
        (now_ms < valid_until_ms).then_some(held.authority)
    }

    /// The lease object as last seen; `None` if it does not exist or was never seen.
    pub fn lease(&self) -> Option<&Lease<H>> {
        self.seen.as_ref()?.lease.as_ref()
    }

    /// Handles the lease object from a watch, a listing or a read. Older versions are ignored.
    pub fn observe(&mut self, stored: Stored<Lease<H>>, now_ms: u64) {
        if let Some(pending) = &self.pending {
            let is_own =
                stored.value.as_ref().map(|l| l.writer) == Some(pending.write.value.writer);
            match pending.status {
                // The result of this write has not arrived yet and will be handled then.
                WriteStatus::Sent if is_own => return,
                WriteStatus::Sent => {}
                _ if is_own => return self.apply_pending_write(stored.version, now_ms),
                _ if stored.version > pending.write.expected => self.pending = None,
                _ => {}
            }
        }
        if let Some(seen) = &self.seen {
            // The version of a deleted object is 0, which does not make it older.
            let is_older = stored.version < seen.version && stored.value.is_some();
            if is_older || stored.version == seen.version {
                return;
            }
        }
        let epoch = stored.value.as_ref().map_or(0, |lease| lease.epoch);
        self.highest_epoch = self.highest_epoch.max(epoch);
        // Each epoch has one holder, so a different epoch means that this host lost the lease.
        if self.held.is_some_and(|held| held.authority.epoch != epoch) {
            self.held = None;
        }
        self.seen = Some(Seen {
            version: stored.version,
            lease: stored.value,
            first_seen_ms: now_ms,
        });
    }

    /// Handles the lease object that was read because of [`Next::Read`].
    pub fn reread(&mut self, stored: Stored<Lease<H>>, now_ms: u64) {
        if let Some(pending) = &mut self.pending
            && pending.status == WriteStatus::Unknown
            && stored.version == pending.write.expected
        {
            pending.status = WriteStatus::Repeat;
            return;
        }
        // The object was deleted, so the pending write can no longer take effect.
        if self.pending.is_some() && stored.value.is_none() {
            self.pending = None;
        }
        self.observe(stored, now_ms);
    }

    /// Handles the result of the last [`Next::Write`].
    pub fn written(&mut self, result: WriteResult<Lease<H>>, now_ms: u64) {
        let Some(pending) = &mut self.pending else {
            return;
        };
        match result {
            WriteResult::Written(version) => self.apply_pending_write(version, now_ms),
            WriteResult::Conflict(stored) => {
                let writer = stored.value.as_ref().map(|lease| lease.writer);
                if writer == Some(pending.write.value.writer) {
                    return self.apply_pending_write(stored.version, now_ms);
                }
                self.pending = None;
                self.observe(stored, now_ms);
            }
            WriteResult::Lost => pending.status = WriteStatus::Unknown,
        }
    }

    /// Ends the authority at once; [`LeaseState::advance`] then releases the lease.
    pub fn stop(&mut self) {
        self.stopping = true;
    }

    /// Returns the next action at `now_ms`. A returned write counts as sent at that time and
    /// carries `token`, which must be unique among all writes.
    pub fn advance(&mut self, now_ms: u64, token: Token) -> Next<H> {
        if let Some(pending) = &mut self.pending {
            match pending.status {
                WriteStatus::Sent => return Next::Wait { until_ms: None },
                WriteStatus::Unknown => return Next::Read,
                WriteStatus::Repeat if self.stopping => self.pending = None,
                WriteStatus::Repeat => {
                    pending.status = WriteStatus::Sent;
                    return Next::Write(pending.write.clone());
                }
            }
        }
        let Some(seen) = self.seen.clone() else {
            return if self.stopping {
                Next::Finished
            } else {
                Next::Read
            };
        };
        let held = self.held.zip(seen.lease.clone());
        match held {
            None if self.stopping => Next::Finished,
            Some((_, lease)) if self.stopping => self.start_write(
                seen.version,
                lease.epoch,
                None,
                lease.renewal + 1,
                now_ms,
                token,
            ),
            Some((held, lease)) => {
                let renew_at_ms = held.sent_ms + self.timing.renew_ms;
                if now_ms < renew_at_ms {
                    return wait(renew_at_ms);
                }
                let holder = Some(self.host.clone());
                self.start_write(
                    seen.version,
                    lease.epoch,
                    holder,
                    lease.renewal + 1,
                    now_ms,
                    token,
                )
            }
            None => {
                let available_ms = self.available_ms(&seen);
                if now_ms < available_ms {
                    return wait(available_ms);
                }
                let holder = Some(self.host.clone());
                self.start_write(
                    seen.version,
                    self.highest_epoch + 1,
                    holder,
                    0,
                    now_ms,
                    token,
                )
            }
        }
    }

    /// Earliest time at which the lease may be acquired. A lease that never existed or was released
    /// is available after the stagger delay. If the object was deleted, its last holder may still
    /// act until the TTL ends.
    fn available_ms(&self, seen: &Seen<H>) -> u64 {
        let ttl_ms = match &seen.lease {
            Some(lease) if lease.holder.is_none() && lease.epoch > self.epoch_floor => 0,
            Some(lease) if lease.holder.is_none() && self.epoch_floor == 0 => 0,
            None if self.highest_epoch == 0 => 0,
            _ => self.timing.ttl_ms,
        };
        seen.first_seen_ms + ttl_ms + self.timing.stagger_ms
    }

    fn start_write(
        &mut self,
        expected: u64,
        epoch: u64,
        holder: Option<H>,
        renewal: u64,
        now_ms: u64,
        token: Token,
    ) -> Next<H> {
        let value = Lease {
            holder,
            epoch,
            renewal,
            writer: token,
        };
        let write = Write { expected, value };
        self.pending = Some(Pending {
            write: write.clone(),
            sent_ms: now_ms,
            status: WriteStatus::Sent,
        });
        Next::Write(write)
    }

    fn apply_pending_write(&mut self, version: u64, now_ms: u64) {
        let Some(pending) = self.pending.take() else {
            return;
        };
        // A later write was already seen, which may be another host's.
        if self
            .seen
            .as_ref()
            .is_some_and(|seen| seen.version > version)
        {
            return;
        }
        let lease = pending.write.value;
        self.highest_epoch = self.highest_epoch.max(lease.epoch);
        self.held = lease.holder.is_some().then(|| Held {
            authority: self
                .held
                .map(|held| held.authority)
                .filter(|authority| authority.epoch == lease.epoch)
                .unwrap_or(Authority {
                    epoch: lease.epoch,
                    since_ms: now_ms,
                    version,
                }),
            sent_ms: pending.sent_ms,
        });
        self.seen = Some(Seen {
            version,
            lease: Some(lease),
            first_seen_ms: now_ms,
        });
    }
}

fn wait<H>(until_ms: u64) -> Next<H> {
    Next::Wait {
        until_ms: Some(until_ms),
    }
}
