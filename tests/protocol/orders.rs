//! Model of the leases on one pool and the orders to one of its engines.

use std::sync::OnceLock;

use yuccacove::catalogue::{Admin, Engine, EngineSpec, Intent, Role};
use yuccacove::lease::{self, Lease, LeaseState, Timing};
use yuccacove::order::{self, OrderTiming, Report, View};
use yuccacove::store::{Stored, Token, Write, WriteResult};

use super::{Label, Rule, System, Violation};

/// One tick is 3 s, half the TTL.
const TICK_MS: u64 = 3_000;
/// Clock rates of the two hosts in per mille, which differ by 5%.
const RATES: [u64; 2] = [975, 1_025];
/// Waiting period before a different order to an engine that does not check fencing numbers: two
/// ticks and 5%, for a clock that runs 5% fast.
const WAIT_MS: u64 = 6_300;
/// Longest delay of an order to an engine that does not check fencing numbers: the waiting period
/// on an exact clock.
const MAX_DELAY_TICKS: u8 = 2;
/// Number of the last desired state.
const LAST_SPEC: u8 = 2;

/// An intent as recorded in the store; `id` is the token of its write.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Hash)]
struct RecordedIntent {
    id: u8,
    epoch: u8,
    sequence: u8,
    spec: u8,
    confirmed: bool,
}

#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Hash)]
struct Record {
    version: u8,
    intent: Option<RecordedIntent>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Message {
    id: u8,
    fence: u64,
    spec: u8,
    sent_tick: u8,
    /// Whether the sender held the lease when it sent the order.
    authorised: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct EngineState {
    spec: u8,
    fence: u64,
    last_order: u8,
    changing: Option<u8>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Host {
    lease_state: LeaseState<u8>,
    stopping: bool,
    /// Write of the lease that the store has not received yet.
    lease_write: Option<Write<Lease<u8>>>,
    /// Copy of the engine's record.
    view: Record,
    /// Store revision up to which the copy is known to be current.
    revision: u8,
    write: Option<Write<RecordedIntent>>,
    last_sent_ms: Option<u64>,
}

/// Length of a search and maximum numbers of faults in it.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Limits {
    /// Ticks of 3 s.
    pub(crate) ticks: u8,
    /// Renewals of an epoch.
    pub(crate) renewals: u8,
    /// Writes whose results are lost or that are delayed.
    pub(crate) lost: u8,
    /// Planned stops and restarts of a host.
    pub(crate) stops: u8,
    /// Crashes of the engine.
    pub(crate) crashes: u8,
    /// Orders that are delivered more than once.
    pub(crate) repeats: u8,
}

/// State of the modelled system.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) struct State {
    checks_fence: bool,
    tick: u8,
    revision: u8,
    lease: Stored<Lease<u8>>,
    record: Record,
    engine: EngineState,
    desired: u8,
    hosts: [Host; 2],
    messages: [Option<Message>; 2],
    /// Write of a record that the store has not received yet.
    delayed_write: Option<Write<RecordedIntent>>,
    ticks_left: u8,
    renewals: u8,
    lost_left: u8,
    stops_left: u8,
    crashes_left: u8,
    repeats_left: u8,
    violation: Option<Violation>,
}

fn host(index: u8, without: Option<Rule>) -> Host {
    let timing = Timing {
        margin_ms: if without == Some(Rule::LeaseMargin) {
            0
        } else {
            1_000
        },
        ..Timing::default()
    };
    Host {
        lease_state: LeaseState::new(index, timing),
        stopping: false,
        lease_write: None,
        view: Record::default(),
        revision: 0,
        write: None,
        last_sent_ms: None,
    }
}

fn spec(number: u8) -> EngineSpec {
    EngineSpec {
        model: String::new(),
        version: number.to_string(),
        role: Role::Mixed,
    }
}

fn spec_number(spec: &EngineSpec) -> u8 {
    spec.version.parse().expect("a number")
}

fn template() -> &'static Engine {
    static ENGINE: OnceLock<Engine> = OnceLock::new();
    ENGINE.get_or_init(|| Engine {
        service: String::new(),
        address: ([127, 0, 0, 1], 1).into(),
        zone: String::new(),
        role: Role::Mixed,
        checks_fence: true,
        admin: Admin::Active,
        intent: None,
    })
}

fn id_text(id: u8) -> String {
    if id == 0 {
        String::new()
    } else {
        format!("{id:016x}")
    }
}

impl State {
    /// Initial state: no host holds the lease; the engine is in state 0 and the desired state is 1.
    pub(crate) fn start(checks_fence: bool, without: Option<Rule>, limits: Limits) -> Self {
        // An intent of an earlier holder shortens the search: without it, the first order to an
        // engine that does not check fencing numbers would have to wait.
        let intent = RecordedIntent {
            id: 1,
            epoch: 0,
            sequence: 1,
            spec: 1,
            confirmed: false,
        };
        let record = Record {
            version: u8::from(!checks_fence),
            intent: (!checks_fence).then_some(intent),
        };
        Self {
            checks_fence,
            tick: 0,
            revision: record.version,
            lease: Stored {
                version: 0,
                value: None,
            },
            record,
            engine: EngineState {
                spec: 0,
                fence: 0,
                last_order: 0,
                changing: None,
            },
            desired: 1,
            hosts: [host(0, without), host(1, without)],
            messages: [None; 2],
            delayed_write: None,
            ticks_left: limits.ticks,
            renewals: limits.renewals,
            lost_left: limits.lost,
            stops_left: limits.stops,
            crashes_left: limits.crashes,
            repeats_left: limits.repeats,
            violation: None,
        }
    }

    fn now_ms(&self, host: usize) -> u64 {
        u64::from(self.tick) * TICK_MS * RATES[host] / 1_000
    }

    fn lease_step(mut self, h: usize, without: Option<Rule>, out: &mut Vec<(Label, Self)>) {
        let now_ms = self.now_ms(h);
        if self.hosts[h].lease_write.is_none() {
            // Of all writes of a host that expect the same version, at most one takes effect.
            let token = Token(self.lease.version * 2 + h as u64 + 1);
            match self.hosts[h].lease_state.advance(now_ms, token) {
                lease::Next::Write(write) if write.value.renewal > self.renewals.into() => {}
                lease::Next::Write(write) => {
                    self.hosts[h].lease_write = Some(write);
                    out.push((("send lease write", h as u8), self));
                }
                lease::Next::Read => {
                    self.hosts[h].lease_state.reread(self.lease, now_ms);
                    out.push((("read lease", h as u8), self));
                }
                lease::Next::Finished => {
                    self.hosts[h] = host(h as u8, without);
                    out.push((("stopped", h as u8), self));
                }
                lease::Next::Wait { .. } => {}
            }
        }
    }

    fn lease_write_arrives(self, h: usize, without: Option<Rule>, out: &mut Vec<(Label, Self)>) {
        let Some(write) = self.hosts[h].lease_write else {
            return;
        };
        let now_ms = self.now_ms(h);
        let mut base = self;
        base.hosts[h].lease_write = None;
        let mut applied = base;
        let version_matches = write.expected == self.lease.version;
        let result = if version_matches || without == Some(Rule::ConditionalUpdate) {
            applied.revision += 1;
            let version = u64::from(applied.revision);
            applied.lease = Stored {
                version,
                value: Some(write.value),
            };
            WriteResult::Written(version)
        } else {
            WriteResult::Conflict(self.lease)
        };
        let mut answered = applied;
        answered.hosts[h].lease_state.written(result, now_ms);
        out.push((("lease write", h as u8), answered));
        if self.lost_left > 0 {
            for (name, mut next) in [
                ("lease write, result lost", applied),
                ("lease write lost", base),
            ] {
                next.lost_left -= 1;
                next.hosts[h].lease_state.written(WriteResult::Lost, now_ms);
                out.push(((name, h as u8), next));
            }
        }
    }

    fn decide(mut self, h: usize, without: Option<Rule>, out: &mut Vec<(Label, Self)>) {
        let now_ms = self.now_ms(h);
        let host = self.hosts[h];
        let Some(authority) = host.lease_state.authority(now_ms) else {
            return;
        };
        if host.write.is_some() {
            return;
        }
        let intent = host.view.intent.map(|intent| {
            let foreign = u64::from(intent.epoch) < authority.epoch;
            Intent {
                id: id_text(intent.id),
                epoch: intent.epoch.into(),
                sequence: intent.sequence.into(),
                spec: spec(intent.spec),
                confirmed: intent.confirmed || (foreign && without == Some(Rule::Adoption)),
            }
        });
        let engine = Engine {
            checks_fence: self.checks_fence,
            intent,
            ..template().clone()
        };
        let report = Report {
            spec: spec(self.engine.spec),
            ready: self.engine.changing.is_none(),
            fence: self.engine.fence,
            last_order: id_text(self.engine.last_order),
        };
        // Without the rule, a host treats every copy of the record as current.
        let treat_as_current = without == Some(Rule::FreshRecord);
        let view = View {
            engine: &engine,
            version: host.view.version.into(),
            revision: if treat_as_current {
                u64::MAX
            } else {
                host.revision.into()
            },
            desired: &spec(self.desired),
            report: Some(&report),
            last_sent_ms: host.last_sent_ms,
        };
        let wait_ms = if without == Some(Rule::Wait) {
            0
        } else {
            WAIT_MS
        };
        let timing = OrderTiming {
            wait_ms,
            resend_ms: 1_000,
        };
        let token = Token(u64::from(host.view.version) * 2 + h as u64 + 1);
        match order::next(view, authority, &timing, now_ms, token) {
            order::Next::Write(write) => {
                let intent = write.value.intent.expect("an intent");
                let value = RecordedIntent {
                    id: u8::from_str_radix(&intent.id, 16).expect("an id"),
                    epoch: intent.epoch as u8,
                    sequence: intent.sequence as u8,
                    spec: spec_number(&intent.spec),
                    confirmed: intent.confirmed,
                };
                let expected = write.expected;
                self.hosts[h].write = Some(Write { expected, value });
                out.push((
                    (
                        if value.confirmed {
                            "close intent"
                        } else {
                            "write intent"
                        },
                        h as u8,
                    ),
                    self,
                ));
            }
            order::Next::Send(order) => {
                self.hosts[h].last_sent_ms = Some(now_ms);
                let Some(slot) = self.messages.iter().position(Option::is_none) else {
                    return;
                };
                let epoch_only = without == Some(Rule::FencePerIntent);
                let holder = self.lease.value.filter(|l| l.epoch == authority.epoch);
                self.messages[slot] = Some(Message {
                    id: u8::from_str_radix(&order.intent, 16).expect("an id"),
                    fence: if epoch_only {
                        order::fence(authority.epoch, 0)
                    } else {
                        order.fence
                    },
                    spec: spec_number(&order.spec),
                    sent_tick: self.tick,
                    authorised: holder.and_then(|l| l.holder) == Some(h as u8),
                });
                self.messages
                    .sort_by_key(|m| m.map(|m| (m.sent_tick, m.id, m.fence)));
                out.push((("send order", h as u8), self));
            }
            order::Next::Read => {
                self.hosts[h].view = self.record;
                self.hosts[h].revision = self.revision;
                out.push((("read record", h as u8), self));
            }
            order::Next::Wait { .. } | order::Next::Settled | order::Next::Superseded => {}
        }
    }

    /// Applies a write of the engine's record; returns whether it took effect.
    fn put(&mut self, write: Write<RecordedIntent>, without: Option<Rule>) -> bool {
        let version_matches = write.expected == u64::from(self.record.version);
        if !version_matches && without != Some(Rule::ConditionalUpdate) {
            return false;
        }
        self.revision += 1;
        self.record = Record {
            version: self.revision,
            intent: Some(write.value),
        };
        true
    }

    fn write_arrives(self, h: usize, without: Option<Rule>, out: &mut Vec<(Label, Self)>) {
        let Some(write) = self.hosts[h].write else {
            return;
        };
        let mut base = self;
        base.hosts[h].write = None;
        let mut applied = base;
        applied.put(write, without);
        let mut answered = applied;
        // After both a success and a conflict the host knows the current object.
        answered.hosts[h].view = applied.record;
        answered.hosts[h].revision = applied.revision;
        out.push((("record write", h as u8), answered));
        if self.lost_left > 0 {
            let mut delayed = base;
            delayed.delayed_write = Some(write);
            for (name, mut next) in [
                ("record write, result lost", applied),
                ("record write delayed", delayed),
            ] {
                next.lost_left -= 1;
                next.hosts[h].view = next.record;
                next.hosts[h].revision = next.revision;
                out.push(((name, h as u8), next));
            }
        }
    }

    fn deliver(self, slot: usize, without: Option<Rule>, out: &mut Vec<(Label, Self)>) {
        let Some(message) = self.messages[slot] else {
            return;
        };
        if self.repeats_left > 0 {
            let mut next = self;
            next.repeats_left -= 1;
            next.receive_order(message, without, out);
        }
        let mut next = self;
        next.messages[slot] = None;
        next.messages
            .sort_by_key(|m| m.map(|m| (m.sent_tick, m.id, m.fence)));
        next.receive_order(message, without, out);
    }

    fn receive_order(
        mut self,
        message: Message,
        without: Option<Rule>,
        out: &mut Vec<(Label, Self)>,
    ) {
        let refused = self.checks_fence
            && message.fence < self.engine.fence
            && without != Some(Rule::FencingCheck);
        let bounded = !self.checks_fence && without != Some(Rule::BoundedPause);
        let expired = bounded && self.tick - message.sent_tick > MAX_DELAY_TICKS;
        if expired
            || refused
            || message.id == self.engine.last_order
            || self.engine.changing.is_some()
        {
            if !expired && !refused && message.id == self.engine.last_order {
                self.engine.fence = self.engine.fence.max(message.fence);
            }
            return out.push((("order without effect", 0), self));
        }
        self.engine.fence = self.engine.fence.max(message.fence);
        self.engine.last_order = message.id;
        self.engine.changing = Some(message.spec);
        if !message.authorised {
            self.violation = Some(Violation::NoAuthority);
        }
        if self
            .record
            .intent
            .is_some_and(|intent| intent.spec != message.spec)
        {
            self.violation = Some(Violation::ConflictingOrders);
        }
        out.push((("engine starts change", message.spec), self));
    }
}

impl System for State {
    fn successors(&self, without: Option<Rule>) -> Vec<(Label, Self)> {
        let mut out = Vec::new();
        for h in 0..2 {
            self.lease_step(h, without, &mut out);
            self.lease_write_arrives(h, without, &mut out);
            let mut next = *self;
            next.hosts[h]
                .lease_state
                .observe(self.lease, self.now_ms(h));
            out.push((("observe lease", h as u8), next));
            self.decide(h, without, &mut out);
            self.write_arrives(h, without, &mut out);
            if self.stops_left > 0 && !self.hosts[h].stopping {
                let mut next = *self;
                next.stops_left -= 1;
                next.hosts[h].stopping = true;
                next.hosts[h].lease_state.stop();
                out.push((("planned stop", h as u8), next));
                let mut next = *self;
                next.stops_left -= 1;
                next.delayed_write = self.hosts[h].write.or(self.delayed_write);
                next.hosts[h] = host(h as u8, without);
                out.push((("restart", h as u8), next));
            }
        }
        for slot in 0..self.messages.len() {
            self.deliver(slot, without, &mut out);
        }
        if let Some(write) = self.delayed_write {
            let mut next = *self;
            next.delayed_write = None;
            next.put(write, without);
            out.push((("delayed record write", 0), next));
        }
        if let Some(spec) = self.engine.changing {
            let mut next = *self;
            next.engine.changing = None;
            next.engine.spec = spec;
            out.push((("engine ends change", spec), next));
        }
        if self.crashes_left > 0 {
            let mut next = *self;
            next.crashes_left -= 1;
            next.engine.changing = None;
            if !self.checks_fence || self.engine.changing.is_some() {
                next.engine.last_order = 0;
            }
            if !self.checks_fence {
                next.engine.fence = 0;
            }
            out.push((("engine crashes", 0), next));
        }
        if self.desired < LAST_SPEC && self.record.intent.is_some_and(|i| i.spec == self.desired) {
            let mut next = *self;
            next.desired += 1;
            out.push((("desired state changes", next.desired), next));
        }
        if self.ticks_left > 0 {
            let mut next = *self;
            next.tick += 1;
            next.ticks_left -= 1;
            out.push((("3 s pass", 0), next));
        }
        out
    }

    fn violation(&self) -> Option<Violation> {
        self.violation
    }
}
