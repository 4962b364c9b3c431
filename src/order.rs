//! Orders to engines: the intent is recorded in the engine's object, sent, and confirmed from the
//! engine's own report.
//!
//! [`next`] decides from the record, the report and the lease alone, so a successor that has only
//! read them continues where its predecessor stopped.

use serde::{Deserialize, Serialize};

use crate::catalogue::{Admin, Engine, EngineSpec, Intent, Service};
use crate::lease::Authority;
use crate::store::{Token, Write};

/// Times of orders.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct OrderTiming {
    /// Time that passes before a different order to an engine that does not check fencing numbers,
    /// counted from the change of holder and from the last order that this holder sent. By then no
    /// earlier order can still arrive, unless its sender was paused for longer than 30 s. The
    /// additional 5% make it 30 s also on a clock that runs fast by that much.
    pub wait_ms: u64,
    /// Time after which an order that the engine does not report is sent again.
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

// Bits of a fencing number below the epoch; they hold the intent's sequence number.
const SEQUENCE_BITS: u32 = 20;

/// Fencing number of an order. It rises with the epoch and, within an epoch, with each intent:
/// the epoch alone would let a delayed repeat of an order overtake the same holder's next one.
pub fn fence(epoch: u64, sequence: u64) -> u64 {
    (epoch << SEQUENCE_BITS) | (sequence & ((1 << SEQUENCE_BITS) - 1))
}

/// The state that the operators' catalogue asks of an engine.
pub fn desired(engine: &Engine, service: &Service) -> EngineSpec {
    EngineSpec {
        model: service.model.clone(),
        version: service.version.clone(),
        role: engine.role,
    }
}

/// The current fields of an engine's status report.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// State that the engine holds.
    pub spec: EngineSpec,
    /// Whether the engine is ready; otherwise a change is in progress.
    pub ready: bool,
    /// Highest fencing number that the engine took.
    pub fence: u64,
    /// Id of the last intent that the engine took; empty when it knows none.
    pub last_order: String,
}

/// What a holder knows about one engine.
#[derive(Debug, Clone, Copy)]
pub struct View<'a> {
    /// The engine's object.
    pub engine: &'a Engine,
    /// Version of the engine's object.
    pub version: u64,
    /// Store revision up to which this copy of the object is known to be current.
    pub revision: u64,
    /// State that the engine is to hold.
    pub desired: &'a EngineSpec,
    /// The engine's report; `None` while there is none since this host took the lease.
    pub report: Option<&'a Report>,
    /// When this host last sent the engine an order, on its own clock.
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

/// What a holder does next for one engine. After a write whose answer is lost, or that conflicts,
/// the holder reads the object and decides anew: the intent's id in it is the write's token.
#[derive(Debug, Clone, PartialEq)]
pub enum Next {
    /// Write the engine's object: a new intent, or the closing of the open one.
    Write(Write<Engine>),
    /// Send the recorded order and note the time as `last_sent_ms`. If the authority has ended by
    /// the time of sending, the order is not sent.
    Send(Order),
    /// Read the engine's object: this copy may be from before the change of holder.
    Read,
    /// Nothing before the given time, unless the record or the report changes.
    Wait {
        /// Time on the host's clock; `None` when only a change can help.
        until_ms: Option<u64>,
    },
    /// The engine holds the desired state.
    Settled,
    /// A later holder has acted: read the lease and the engine's object.
    Superseded,
}

/// Decides the next step for an engine. `token` becomes the id of a new intent and is used for no
/// other.
pub fn next(
    view: View<'_>,
    authority: Authority,
    rules: &OrderTiming,
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
            complete(view, intent, report, authority, rules, now_ms)
        }
        _ if !report.ready => Next::Wait { until_ms: None },
        _ if report.spec == *view.desired => Next::Settled,
        _ => record(view, authority, rules, now_ms, token),
    }
}

/// Completes an open intent, whoever recorded it.
fn complete(
    view: View<'_>,
    intent: &Intent,
    report: &Report,
    authority: Authority,
    rules: &OrderTiming,
    now_ms: u64,
) -> Next {
    let fence = fence(authority.epoch, intent.sequence);
    if !report.ready {
        return Next::Wait { until_ms: None };
    }
    if report.last_order == intent.id {
        // The engine has ended the change. Whether it holds the ordered state is for the next
        // decision, which compares its report with the desired state.
        let closed = Intent {
            epoch: authority.epoch,
            confirmed: true,
            ..intent.clone()
        };
        return write(view, closed);
    }
    if view.engine.checks_fence && report.fence > fence {
        return Next::Superseded;
    }
    match view.last_sent_ms.map(|sent| sent + rules.resend_ms) {
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
    rules: &OrderTiming,
    now_ms: u64,
    token: Token,
) -> Next {
    if !view.engine.checks_fence {
        let from_ms = view.last_sent_ms.unwrap_or(0).max(authority.since_ms);
        let until_ms = from_ms + rules.wait_ms;
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
