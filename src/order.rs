//! Orders to engines. The lease holder records an intent in the engine's object, sends the order,
//! and confirms it from the engine's own status report.
//!
//! [`next`] is a pure function of the recorded intent, the report and the lease, so a new lease
//! holder continues where its predecessor stopped.

use serde::{Deserialize, Serialize};

use crate::catalogue::{Admin, Engine, EngineSpec, Intent, Service};
use crate::lease::Authority;
use crate::store::{Token, Write};

/// Delays between orders to one engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct OrderTiming {
    /// Delay before a different order to an engine that does not check fencing numbers, in ms. It
    /// starts at the change of lease holder or at the last order that this holder sent, whichever
    /// is later. After it no earlier order can arrive, unless its sender was paused for longer than
    /// 30 s. The default adds 5% to 30 s to allow for a clock that runs 5% fast.
    pub wait_ms: u64,
    /// Delay in ms after which an order that the engine does not report is sent again.
    pub resend_ms: u64,
}

impl Default for OrderTiming {
    fn default() -> Self {
        Self {
            wait_ms: 31_500,
            resend_ms: 1_000,
        }
    }
}

// Number of low bits of a fencing number that hold the intent's sequence number; the epoch is
// above.
const SEQUENCE_BITS: u32 = 20;

/// Returns the fencing number of an order. It increases with the epoch and, within an epoch, with
/// each intent: with the epoch alone, an engine would accept a delayed retransmission of an order
/// after the same holder's next order.
pub fn fence(epoch: u64, sequence: u64) -> u64 {
    (epoch << SEQUENCE_BITS) | (sequence & ((1 << SEQUENCE_BITS) - 1))
}

/// Returns the state that the catalogue specifies for an engine.
pub fn desired(engine: &Engine, service: &Service) -> EngineSpec {
    EngineSpec {
        model: service.model.clone(),
        version: service.version.clone(),
        role: engine.role,
    }
}

/// Fields of an engine's status report from which [`next`] decides.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Current state of the engine.
    pub spec: EngineSpec,
    /// Whether the engine is ready; otherwise a change is in progress.
    pub ready: bool,
    /// Highest fencing number that the engine has accepted.
    pub fence: u64,
    /// Id of the last intent that the engine accepted; empty if there is none.
    pub last_order: String,
}

/// What the lease holder knows about one engine.
#[derive(Debug, Clone, Copy)]
pub struct View<'a> {
    /// The engine's catalogue object.
    pub engine: &'a Engine,
    /// Version of the engine's object.
    pub version: u64,
    /// Store revision up to which this copy of the object is known to be current.
    pub revision: u64,
    /// State that the engine is to reach.
    pub desired: &'a EngineSpec,
    /// Latest report; `None` until the engine reports for the first time after this host acquired
    /// the lease.
    pub report: Option<&'a Report>,
    /// Time of the last order that this host sent to the engine, on this host's clock; `None` if it
    /// has sent none.
    pub last_sent_ms: Option<u64>,
}

/// An order to be sent to an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Id of the recorded intent.
    pub intent: String,
    /// Fencing number.
    pub fence: u64,
    /// Ordered state.
    #[serde(flatten)]
    pub spec: EngineSpec,
}

/// Next action of the lease holder for one engine. If the response to a write is lost, or the write
/// conflicts, the holder reads the object and calls [`next`] again: the intent id in the object is
/// the token of the write that took effect.
#[derive(Debug, Clone, PartialEq)]
pub enum Next {
    /// Write the engine's object, with a new intent or with the open intent confirmed.
    Write(Write<Engine>),
    /// Send the recorded order and record the time as [`View::last_sent_ms`]. The order must not be
    /// sent if the lease has expired by then.
    Send(Order),
    /// Read the engine's object again, because this copy may predate the change of lease holder.
    Read,
    /// Do nothing until the given time, unless the object or the report changes.
    Wait {
        /// Time on this host's clock; `None` to wait for a change without a time limit.
        until_ms: Option<u64>,
    },
    /// The engine is in the desired state.
    Settled,
    /// A later lease holder has acted: read the lease and the engine's object.
    Superseded,
}

/// Decides the next action for an engine. `token` becomes the id of a new intent and must be
/// unique.
pub fn next(
    view: View<'_>,
    authority: Authority,
    timing: &OrderTiming,
    now_ms: u64,
    token: Token,
) -> Next {
    if view.revision < authority.version {
        return Next::Read;
    }
    let Some(report) = view.report else {
        return Next::Wait { until_ms: None };
    };
    if view.engine.admin == Admin::Withdrawn {
        return Next::Settled;
    }
    let intent = view.engine.intent.as_ref();
    if intent.is_some_and(|intent| intent.epoch > authority.epoch) {
        return Next::Superseded;
    }
    match intent {
        Some(intent) if !intent.confirmed => {
            complete(view, intent, report, authority, timing, now_ms)
        }
        _ if !report.ready => Next::Wait { until_ms: None },
        _ if report.spec == *view.desired => Next::Settled,
        _ => record(view, authority, timing, now_ms, token),
    }
}

/// Decides the next action for an open intent, regardless of which holder recorded it.
fn complete(
    view: View<'_>,
    intent: &Intent,
    report: &Report,
    authority: Authority,
    timing: &OrderTiming,
    now_ms: u64,
) -> Next {
    let fence = fence(authority.epoch, intent.sequence);
    if !report.ready {
        return Next::Wait { until_ms: None };
    }
    if report.last_order == intent.id {
        // The engine has finished the change. The next call compares its report with the desired
        // state and so finds out whether the change succeeded.
        let confirmed_intent = Intent {
            epoch: authority.epoch,
            confirmed: true,
            ..intent.clone()
        };
        return write(view, confirmed_intent);
    }
    if view.engine.checks_fence && report.fence > fence {
        return Next::Superseded;
    }
    match view.last_sent_ms.map(|sent| sent + timing.resend_ms) {
        Some(due) if now_ms < due => Next::Wait {
            until_ms: Some(due),
        },
        _ => Next::Send(Order {
            intent: intent.id.clone(),
            fence,
            spec: intent.spec.clone(),
        }),
    }
}

fn record(
    view: View<'_>,
    authority: Authority,
    timing: &OrderTiming,
    now_ms: u64,
    token: Token,
) -> Next {
    if !view.engine.checks_fence {
        let from_ms = view.last_sent_ms.unwrap_or(0).max(authority.since_ms);
        let until_ms = from_ms + timing.wait_ms;
        if now_ms < until_ms {
            return Next::Wait {
                until_ms: Some(until_ms),
            };
        }
    }
    let sequence = view.engine.intent.as_ref().map_or(0, |i| i.sequence) + 1;
    let intent = Intent {
        id: format!("{:016x}", token.0),
        epoch: authority.epoch,
        sequence,
        spec: view.desired.clone(),
        confirmed: false,
    };
    write(view, intent)
}

fn write(view: View<'_>, intent: Intent) -> Next {
    Next::Write(Write {
        expected: view.version,
        value: Engine {
            intent: Some(intent),
            ..view.engine.clone()
        },
    })
}
