//! The calls that order engines: which number to send next, and what the reply to it means.
//!
//! Nothing can be read back from the platform, and a call without a reply may be carried out seconds
//! later, after newer ones. [`ScaleOrders`] therefore repeats the latest number until it is
//! acknowledged, and once more when an earlier call without a reply can no longer take effect.
//!
//! ```
//! use yuccacove::engine_scaling::EngineKind;
//! use yuccacove::scale_orders::{Outcome, ScaleOrders};
//!
//! let mut orders = ScaleOrders::default();
//! let order = orders.order(0, EngineKind::Spot);
//! orders.set(order, 5, true);
//! let call = orders.next(0).expect("a call");
//! orders.record(call, Outcome::Unknown, 0);
//! assert!(orders.next(0).is_none());
//! let again = orders.next(2_000).expect("a repeated call");
//! assert_eq!(again.engines, 5);
//! ```

use crate::engine_scaling::EngineKind;

/// Time for which a call without a reply may still be carried out.
const LATE_MS: u64 = 13_000;
/// First pause before a call is repeated; it doubles up to [`MAX_RETRY_MS`].
const RETRY_MS: u64 = 500;
/// Longest such pause.
const MAX_RETRY_MS: u64 = 8_000;
/// Conflicts of ordinary engines after which a higher fencing token must have been seen.
const MAX_ORDINARY_CONFLICTS: u32 = 2;

/// Index of an order in [`ScaleOrders`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OrderKey(usize);

/// A call to make.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Call {
    /// Order that it carries out.
    pub order: OrderKey,
    /// Number of engines.
    pub engines: u32,
}

/// Outcome of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// It was carried out.
    Done,
    /// There are no such engines, or a higher fencing token was seen.
    Conflict,
    /// It was not carried out, and should be repeated later.
    Refused,
    /// It may have been carried out, or may still be.
    Unknown,
}

/// What a conflict means.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Nothing follows besides what [`ScaleOrders`] does itself.
    None,
    /// There are no spot engines now.
    NoSpot,
    /// The calls under this epoch end.
    Stopped,
}

/// Calls for one kind of engines in one zone.
#[derive(Debug, Clone)]
struct PoolOrder {
    zone: usize,
    kind: EngineKind,
    wanted: u32,
    is_raise: bool,
    is_due: bool,
    not_before_ms: u64,
    failures: u32,
    /// Latest number that was or may have been carried out, and when it was sent.
    in_effect: Option<(u32, u64)>,
    /// Calls without a reply, with the time until which they may be carried out.
    unsettled: Vec<(u32, u64)>,
    /// Time at which the number is sent again.
    repeat_ms: Option<u64>,
}

/// The orders of a holder for one service under one epoch.
#[derive(Debug, Default, Clone)]
pub struct ScaleOrders {
    pool_orders: Vec<PoolOrder>,
    /// Conflicts since the last call that was carried out.
    ordinary_conflicts: u32,
    spot_conflicts: u32,
    is_stopped: bool,
}

impl ScaleOrders {
    /// Returns the order for one kind of engines in a zone.
    pub fn order(&mut self, zone: usize, kind: EngineKind) -> OrderKey {
        let known = self
            .pool_orders
            .iter()
            .position(|order| order.zone == zone && order.kind == kind);
        OrderKey(known.unwrap_or_else(|| {
            self.pool_orders.push(PoolOrder {
                zone,
                kind,
                wanted: 0,
                is_raise: false,
                is_due: false,
                not_before_ms: 0,
                failures: 0,
                in_effect: None,
                unsettled: Vec::new(),
                repeat_ms: None,
            });
            self.pool_orders.len() - 1
        }))
    }

    /// Returns the zone and the kind of engines of an order.
    pub fn target(&self, order: OrderKey) -> (usize, EngineKind) {
        let order = &self.pool_orders[order.0];
        (order.zone, order.kind)
    }

    /// Sets the number to order.
    pub fn set(&mut self, order: OrderKey, engines: u32, is_raise: bool) {
        let order = &mut self.pool_orders[order.0];
        if order.is_due && order.wanted == engines {
            return;
        }
        order.wanted = engines;
        order.is_raise = is_raise;
        order.is_due = true;
        order.failures = 0;
    }

    /// Returns the number that was ordered last, or is being ordered, with the time since which it may
    /// be in effect.
    pub fn ordered(&self, order: OrderKey, now_ms: u64) -> Option<(u32, u64)> {
        let order = &self.pool_orders[order.0];
        if order.is_due {
            return Some((order.wanted, now_ms));
        }
        order.in_effect
    }

    /// Returns the number that was or may have been carried out last, and when it was sent.
    pub fn in_effect(&self, order: OrderKey) -> Option<(u32, u64)> {
        self.pool_orders[order.0].in_effect
    }

    /// Whether calls under this epoch have ended.
    pub fn is_stopped(&self) -> bool {
        self.is_stopped
    }

    /// Returns the call to make now. Orders for more engines come first.
    pub fn next(&mut self, now_ms: u64) -> Option<Call> {
        if self.is_stopped {
            return None;
        }
        for order in &mut self.pool_orders {
            if order.repeat_ms.is_some_and(|repeat_ms| now_ms >= repeat_ms) {
                order.repeat_ms = None;
                order.is_due = true;
            }
        }
        let due = self.pool_orders.iter().enumerate();
        let due = due.filter(|(_, order)| order.is_due && now_ms >= order.not_before_ms);
        let (at, order) = due.min_by_key(|(_, order)| !order.is_raise)?;
        Some(Call {
            order: OrderKey(at),
            engines: order.wanted,
        })
    }

    /// Records the outcome of a call that was sent at `sent_ms`.
    pub fn record(&mut self, call: Call, outcome: Outcome, sent_ms: u64) -> Verdict {
        match outcome {
            Outcome::Done => {
                self.ordinary_conflicts = 0;
                self.spot_conflicts = 0;
                self.pool_orders[call.order.0].record_done(call.engines, sent_ms);
                Verdict::None
            }
            Outcome::Conflict => self.record_conflict(call, sent_ms),
            Outcome::Refused => {
                self.pool_orders[call.order.0].retry_later(sent_ms);
                Verdict::None
            }
            Outcome::Unknown => {
                self.pool_orders[call.order.0].record_unknown(call.engines, sent_ms);
                Verdict::None
            }
        }
    }

    fn record_conflict(&mut self, call: Call, sent_ms: u64) -> Verdict {
        let order = &mut self.pool_orders[call.order.0];
        match order.kind {
            EngineKind::Ordinary => {
                self.ordinary_conflicts += 1;
                order.retry_later(sent_ms);
            }
            EngineKind::Spot => {
                self.spot_conflicts += 1;
                order.is_due = false;
            }
        }
        let is_fenced = self.ordinary_conflicts >= MAX_ORDINARY_CONFLICTS
            || (self.ordinary_conflicts > 0 && self.spot_conflicts > 0);
        if is_fenced {
            self.is_stopped = true;
            return Verdict::Stopped;
        }
        match self.pool_orders[call.order.0].kind {
            EngineKind::Ordinary => Verdict::None,
            EngineKind::Spot => Verdict::NoSpot,
        }
    }
}

impl PoolOrder {
    fn record_done(&mut self, engines: u32, sent_ms: u64) {
        self.is_due = self.wanted != engines;
        self.failures = 0;
        self.in_effect = Some((engines, sent_ms));
        self.unsettled.retain(|(_, until_ms)| sent_ms < *until_ms);
        let others = self.unsettled.iter().filter(|(other, _)| *other != engines);
        // An earlier call without a reply may still replace this number.
        self.repeat_ms = others.map(|(_, until_ms)| *until_ms).max();
    }

    fn record_unknown(&mut self, engines: u32, sent_ms: u64) {
        self.in_effect = Some((engines, sent_ms));
        self.unsettled.push((engines, sent_ms + LATE_MS));
        self.retry_later(sent_ms);
    }

    fn retry_later(&mut self, sent_ms: u64) {
        let pause_ms = RETRY_MS << self.failures.min(5);
        self.failures += 1;
        // The call itself may have taken some time.
        self.not_before_ms = sent_ms + pause_ms.min(MAX_RETRY_MS) + RETRY_MS;
    }
}
