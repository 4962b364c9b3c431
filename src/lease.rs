//! Leases on pools: at most one host at a time may give orders to the engines of a pool.
//!
//! A [`LeaseState`] is one host's view of one lease, on that host's own monotonic clock.

use serde::{Deserialize, Serialize};

use crate::store::{Stored, Token, Write, WriteResult};

/// Key of the lease on `pool`.
pub fn key(pool: &str) -> String {
    format!("lease/{pool}")
}

/// Value of a lease object.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Lease<H = String> {
    /// Host that holds the lease; `None` once it was given back.
    pub holder: Option<H>,
    /// Rises with each change of holder, also when a host takes over from itself after a restart.
    pub epoch: u64,
    /// Renewals within the epoch.
    pub renewal: u64,
    /// Token of the last write.
    pub writer: Token,
}

/// Times of a lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Timing {
    /// Time without a renewal after which observers may take the lease.
    pub ttl_ms: u64,
    /// Time before the end of the TTL at which the holder stops acting. It covers clock rates that
    /// differ by 5% each way: 5.0 s on the slowest clock end before 6.0 s on the fastest.
    pub margin_ms: u64,
    /// Time between two renewals.
    pub renew_ms: u64,
    /// Additional wait of an observer before it takes a free lease. Different waits keep the whole
    /// fleet from writing at the same moment.
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

/// Longest [`Timing::stagger_ms`]; with the TTL it stays below the 8 s within which a successor
/// acts.
pub const MAX_STAGGER_MS: u64 = 1_000;

/// The wait of `host` before it takes the lease on `pool`, spread evenly over the fleet.
pub fn stagger_ms(pool: &str, host: &str) -> u64 {
    let hash = blake3::hash(format!("{pool}\n{host}").as_bytes());
    let mut head = [0; 8];
    head.copy_from_slice(&hash.as_bytes()[..8]);
    u64::from_be_bytes(head) % MAX_STAGGER_MS
}

/// Hosts of a fleet that look at leases at once when they change.
pub const WATCHING_STANDBYS: usize = 8;
/// Shortest time between two looks of all other hosts at leases.
pub const POLL_INTERVAL_MS: u64 = 10_000;
/// Further wait of those hosts before they take a lease. It exceeds [`POLL_INTERVAL_MS`], as a lease that
/// is renewed between two looks must not seem to have lapsed.
pub const POLLING_STAGGER_MS: u64 = 12_000;

/// How closely a host follows the leases of others. Each renewal wakes all that watch, so that at
/// 350 hosts most of the store's reads would tell hosts of renewals that do not concern them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standby {
    /// The host watches leases and takes them over first.
    Watching,
    /// The host looks seldom and takes a lease only when all near standbys are gone.
    Polling,
}

impl Standby {
    /// The standing of `host` among all `hosts`, which must be the same on each of them.
    pub fn of<'a>(host: &str, hosts: impl Iterator<Item = &'a str>) -> Self {
        let rank = |name: &str| *blake3::hash(name.as_bytes()).as_bytes();
        let own = rank(host);
        if hosts.filter(|name| rank(name) < own).count() < WATCHING_STANDBYS {
            Self::Watching
        } else {
            Self::Polling
        }
    }

    /// The wait of `host` before it takes the lease on `pool`.
    pub fn stagger_ms(self, pool: &str, host: &str) -> u64 {
        let own_ms = stagger_ms(pool, host);
        match self {
            Self::Watching => own_ms,
            Self::Polling => own_ms + POLLING_STAGGER_MS,
        }
    }
}

/// Authority of a holder over its pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Authority {
    /// Epoch of the lease.
    pub epoch: u64,
    /// When this host learnt that it took the lease, on its own clock.
    pub since_ms: u64,
    /// Store version of the write that took the lease. Records that were read at an older
    /// revision may lack what the predecessor wrote.
    pub version: u64,
}

/// What the host does next for a lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Next<H = String> {
    /// Write the lease object and report the result with [`LeaseState::written`].
    Write(Write<Lease<H>>),
    /// Read the lease object from the store and report it with [`LeaseState::reread`].
    Read,
    /// Nothing before the given time, unless something is observed.
    Wait {
        /// Time on the host's clock; `None` while a write is under way.
        until_ms: Option<u64>,
    },
    /// The keeper was stopped and holds nothing.
    Finished,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Seen<H> {
    version: u64,
    lease: Option<Lease<H>>,
    first_ms: u64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Held {
    authority: Authority,
    sent_ms: u64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Doubt {
    /// The answer is awaited.
    None,
    /// The answer was lost, and the object is to be read.
    Read,
    /// The object was read and is unchanged, so the same write is to be repeated.
    Repeat,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Pending<H> {
    write: Write<Lease<H>>,
    /// When the write was first sent; repeats do not move it, since any of them may have been the
    /// one that took effect.
    sent_ms: u64,
    doubt: Doubt,
}

/// One host's view of one lease. All times are on the host's own clock, which must also run while
/// the host is suspended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct LeaseState<H = String> {
    host: H,
    timing: Timing,
    seen: Option<Seen<H>>,
    held: Option<Held>,
    pending: Option<Pending<H>>,
    highest_epoch: u64,
    stopping: bool,
}

impl<H: Clone + PartialEq> LeaseState<H> {
    /// A keeper of `host` that has seen nothing.
    pub fn new(host: H, timing: Timing) -> Self {
        Self {
            host,
            timing,
            seen: None,
            held: None,
            pending: None,
            highest_epoch: 0,
            stopping: false,
        }
    }

    /// The host's authority at `now_ms`, to be asked for directly before each write and each order.
    pub fn authority(&self, now_ms: u64) -> Option<Authority> {
        let held = self.held.filter(|_| !self.stopping)?;
        let safe_ms = held.sent_ms + self.timing.ttl_ms - self.timing.margin_ms;
        (now_ms < safe_ms).then_some(held.authority)
    }

    /// The lease as last seen.
    pub fn lease(&self) -> Option<&Lease<H>> {
        self.seen.as_ref()?.lease.as_ref()
    }

    /// Takes the lease object from a watch, a list or a read; older versions are ignored.
    pub fn observe(&mut self, stored: Stored<Lease<H>>, now_ms: u64) {
        if let Some(pending) = &self.pending {
            let own = stored.value.as_ref().map(|l| l.writer) == Some(pending.write.value.writer);
            match pending.doubt {
                // The write's own answer is still to come.
                Doubt::None if own => return,
                Doubt::None => {}
                _ if own => return self.accept(stored.version, now_ms),
                _ if stored.version > pending.write.expected => self.pending = None,
                _ => {}
            }
        }
        if let Some(seen) = &self.seen {
            let older = stored.version < seen.version && stored.value.is_some();
            if older || stored.version == seen.version {
                return;
            }
        }
        let epoch = stored.value.as_ref().map_or(0, |lease| lease.epoch);
        self.highest_epoch = self.highest_epoch.max(epoch);
        // An epoch has one holder, so the epoch tells the own lease from another's.
        if self.held.is_some_and(|held| held.authority.epoch != epoch) {
            self.held = None;
        }
        self.seen = Some(Seen {
            version: stored.version,
            lease: stored.value,
            first_ms: now_ms,
        });
    }

    /// Takes the lease object that was read because of [`Next::Read`].
    pub fn reread(&mut self, stored: Stored<Lease<H>>, now_ms: u64) {
        if let Some(pending) = &mut self.pending
            && pending.doubt == Doubt::Read
            && stored.version == pending.write.expected
        {
            pending.doubt = Doubt::Repeat;
            return;
        }
        if self.pending.is_some() && stored.value.is_none() {
            self.pending = None;
        }
        self.observe(stored, now_ms);
    }

    /// Takes the result of the last [`Next::Write`].
    pub fn written(&mut self, result: WriteResult<Lease<H>>, now_ms: u64) {
        let Some(pending) = &mut self.pending else {
            return;
        };
        match result {
            WriteResult::Written(version) => self.accept(version, now_ms),
            WriteResult::Conflict(stored) => {
                let writer = stored.value.as_ref().map(|lease| lease.writer);
                if writer == Some(pending.write.value.writer) {
                    return self.accept(stored.version, now_ms);
                }
                self.pending = None;
                self.observe(stored, now_ms);
            }
            WriteResult::Lost => pending.doubt = Doubt::Read,
        }
    }

    /// Gives up the authority at once; [`LeaseState::advance`] then gives the lease back.
    pub fn stop(&mut self) {
        self.stopping = true;
    }

    /// Says what to do at `now_ms`. A returned write counts as sent at that time and carries
    /// `token`, which no other write has.
    pub fn advance(&mut self, now_ms: u64, token: Token) -> Next<H> {
        if let Some(pending) = &mut self.pending {
            match pending.doubt {
                Doubt::None => return Next::Wait { until_ms: None },
                Doubt::Read => return Next::Read,
                Doubt::Repeat if self.stopping => self.pending = None,
                Doubt::Repeat => {
                    pending.doubt = Doubt::None;
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
            Some((_, lease)) if self.stopping => self.send(
                seen.version,
                lease.epoch,
                None,
                lease.renewal + 1,
                now_ms,
                token,
            ),
            Some((held, lease)) => {
                let due_ms = held.sent_ms + self.timing.renew_ms;
                if now_ms < due_ms {
                    return wait(due_ms);
                }
                let holder = Some(self.host.clone());
                self.send(
                    seen.version,
                    lease.epoch,
                    holder,
                    lease.renewal + 1,
                    now_ms,
                    token,
                )
            }
            None => {
                let free_ms = self.free_ms(&seen);
                if now_ms < free_ms {
                    return wait(free_ms);
                }
                let holder = Some(self.host.clone());
                self.send(
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

    /// When the lease may be taken. A lease that was never seen or was given back is free at once.
    /// One that vanished may still have a holder that acts until its TTL ends.
    fn free_ms(&self, seen: &Seen<H>) -> u64 {
        let ttl_ms = match &seen.lease {
            Some(lease) if lease.holder.is_none() => 0,
            None if self.highest_epoch == 0 => 0,
            _ => self.timing.ttl_ms,
        };
        seen.first_ms + ttl_ms + self.timing.stagger_ms
    }

    fn send(
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
            doubt: Doubt::None,
        });
        Next::Write(write)
    }

    fn accept(&mut self, version: u64, now_ms: u64) {
        let Some(pending) = self.pending.take() else {
            return;
        };
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
            first_ms: now_ms,
        });
    }
}

fn wait<H>(until_ms: u64) -> Next<H> {
    Next::Wait {
        until_ms: Some(until_ms),
    }
}
