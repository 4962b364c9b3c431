//! A platform that carries out orders for engines, in virtual time.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::rc::Rc;

use tokio::task::spawn_local;
use tokio::time::Instant;
use yucca_serve::directory::BackendEntry;
use yucca_serve::host::Host;
use yucca_serve::ports::{CallFault, ControlApi, DutyHolder, DutyReply, ScaleOrder, UsageReport};
use yuccacove::prompt_placement::Phase;

use super::{FakeBackends, entry, wait_ms};

/// Time from an order until new engines serve.
pub const BOOT_MS: u64 = 4_000;
/// Time for which an engine that was ordered away is listed as draining.
const LEAVES_MS: u64 = 2_000;
/// Time after which a call without a response fails.
const TIMEOUT_MS: u64 = 1_500;

/// What happens to a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallMode {
    /// It is carried out at once.
    Normal,
    /// Its response is lost, and it is carried out after this time in milliseconds.
    Late(u64),
    /// The host is suspended for this time before it sends the call.
    Suspended(u64),
    /// It is refused with this status.
    Refused(u16),
}

/// A call that the platform has handled.
#[derive(Debug, Clone)]
pub struct HandledCall {
    /// Time since the start of the test, in milliseconds.
    pub at_ms: u64,
    /// Name of the host.
    pub host: String,
    /// Fencing token.
    pub fence: u64,
    /// The order.
    pub order: ScaleOrder,
    /// The reply, even if it is lost.
    pub reply: DutyReply,
}

/// Zone and kind of engines; `true` for spot engines.
type PoolKey = (String, bool);

/// The platform: the engines of one service, which it lists at all hosts.
pub struct Platform {
    started: Instant,
    hosts: RefCell<Vec<Rc<Host<FakeBackends>>>>,
    /// Serving engines.
    engines: RefCell<Vec<(String, BackendEntry)>>,
    /// Number that was ordered last.
    pub ordered: RefCell<HashMap<PoolKey, u32>>,
    /// Handled calls.
    pub calls: RefCell<Vec<HandledCall>>,
    /// What happens to the next calls; without an entry they are carried out at once.
    pub modes: RefCell<VecDeque<CallMode>>,
    /// Whether there are no spot engines.
    pub is_dry: Cell<bool>,
    highest_fence: Cell<u64>,
    next_id: Cell<u64>,
    revision: Cell<u64>,
}

impl Platform {
    /// Creates a platform with a number of ordinary engines in each zone.
    pub fn new(zones: &[&str], engines: u32) -> Rc<Self> {
        let platform = Rc::new(Self {
            started: Instant::now(),
            hosts: RefCell::default(),
            engines: RefCell::default(),
            ordered: RefCell::default(),
            calls: RefCell::default(),
            modes: RefCell::default(),
            is_dry: Cell::default(),
            highest_fence: Cell::default(),
            next_id: Cell::new(1),
            revision: Cell::new(1),
        });
        for zone in zones {
            for _ in 0..engines {
                platform.start_engine(&((*zone).to_owned(), false));
            }
            let mut ordered = platform.ordered.borrow_mut();
            ordered.insert(((*zone).to_owned(), false), engines);
        }
        platform
    }

    /// Lists the engines at a host, from now on.
    pub fn attach(&self, host: &Rc<Host<FakeBackends>>) {
        let engines = self.engines.borrow();
        let mut directory = host.directory.borrow_mut();
        for (id, entry) in engines.iter() {
            directory.apply_entry(id, 1, entry.clone(), host.now_ms());
        }
        let ids: Vec<&str> = engines.iter().map(|(id, _)| id.as_str()).collect();
        directory.apply_full_listing(&ids, 1, host.now_ms());
        self.hosts.borrow_mut().push(Rc::clone(host));
    }

    /// Time since the start of the test.
    pub fn now_ms(&self) -> u64 {
        u64::try_from(self.started.elapsed().as_millis()).expect("a short test")
    }

    /// Number of engines that serve, of a zone and kind.
    pub fn serving(&self, zone: &str, is_spot: bool) -> u32 {
        let engines = self.engines.borrow();
        let of_pool = engines
            .iter()
            .filter(|(_, entry)| entry.zone == zone && entry.is_spot == is_spot);
        of_pool.count() as u32
    }

    /// Number of all engines that serve.
    pub fn all_serving(&self) -> u32 {
        self.engines.borrow().len() as u32
    }

    /// Takes back the spot engines of a zone.
    pub fn reclaim(self: &Rc<Self>, zone: &str) {
        let serving = self.serving(zone, true);
        self.end_engines(&(zone.to_owned(), true), serving);
    }

    /// Ends all engines of a zone.
    pub fn end_zone(self: &Rc<Self>, zone: &str) {
        for is_spot in [false, true] {
            let serving = self.serving(zone, is_spot);
            self.end_engines(&(zone.to_owned(), is_spot), serving);
        }
    }

    fn start_engine(&self, pool: &PoolKey) {
        let id = self.next_id.replace(self.next_id.get() + 1);
        let mut entry = entry("model", id as u8, Phase::Decode);
        entry.zone.clone_from(&pool.0);
        entry.is_spot = pool.1;
        let id = format!("i-{id}");
        self.list(&id, &entry);
        self.engines.borrow_mut().push((id, entry));
    }

    fn list(&self, id: &str, entry: &BackendEntry) {
        self.revision.set(self.revision.get() + 1);
        for host in self.hosts.borrow().iter() {
            let mut directory = host.directory.borrow_mut();
            directory.apply_entry(id, self.revision.get(), entry.clone(), host.now_ms());
        }
    }

    fn end_engines(self: &Rc<Self>, pool: &PoolKey, count: u32) {
        let is_of_pool = |entry: &BackendEntry| entry.zone == pool.0 && entry.is_spot == pool.1;
        for _ in 0..count {
            let mut engines = self.engines.borrow_mut();
            let at = engines.iter().position(|(_, entry)| is_of_pool(entry));
            let (id, mut entry) = engines.remove(at.expect("an engine"));
            drop(engines);
            entry.is_draining = true;
            entry.leaves_ms = Some(LEAVES_MS);
            self.list(&id, &entry);
            let platform = Rc::clone(self);
            spawn_local(async move {
                wait_ms(LEAVES_MS).await;
                for host in platform.hosts.borrow().iter() {
                    let mut directory = host.directory.borrow_mut();
                    directory.apply_removal(&id, u64::MAX >> 20, host.now_ms());
                }
            });
        }
    }

    fn handle(self: &Rc<Self>, holder: &DutyHolder, order: &ScaleOrder) -> DutyReply {
        let pool = (order.zone.clone(), order.is_spot);
        let serving = self.serving(&order.zone, order.is_spot);
        let is_raise = order.engines > serving;
        let is_fenced = holder.fence < self.highest_fence.get();
        let reply = if is_fenced || (order.is_spot && is_raise && self.is_dry.get()) {
            DutyReply::Conflict
        } else {
            self.highest_fence.set(holder.fence);
            DutyReply::Done
        };
        self.calls.borrow_mut().push(HandledCall {
            at_ms: self.now_ms(),
            host: holder.host.clone(),
            fence: holder.fence,
            order: order.clone(),
            reply,
        });
        if reply == DutyReply::Done {
            self.ordered
                .borrow_mut()
                .insert(pool.clone(), order.engines);
            self.end_engines(&pool, serving.saturating_sub(order.engines));
            let platform = Rc::clone(self);
            spawn_local(async move {
                wait_ms(BOOT_MS).await;
                // A later order may have changed the number.
                while platform.serving(&pool.0, pool.1) < platform.ordered.borrow()[&pool] {
                    platform.start_engine(&pool);
                }
            });
        }
        reply
    }
}

/// A host's client of the platform.
pub struct FakeControlApi(pub Rc<Platform>);

impl ControlApi for FakeControlApi {
    async fn report_usage(&self, _: &DutyHolder, _: &UsageReport) -> Result<DutyReply, CallFault> {
        Ok(DutyReply::Done)
    }

    async fn order_engines(
        &self,
        holder: &DutyHolder,
        order: &ScaleOrder,
    ) -> Result<DutyReply, CallFault> {
        let mode = self.0.modes.borrow_mut().pop_front();
        match mode.unwrap_or(CallMode::Normal) {
            CallMode::Normal => {}
            CallMode::Suspended(ms) => wait_ms(ms).await,
            CallMode::Refused(status) => return Ok(DutyReply::Refused(status)),
            CallMode::Late(ms) => {
                let platform = Rc::clone(&self.0);
                let (holder, order) = (holder.clone(), order.clone());
                spawn_local(async move {
                    wait_ms(ms).await;
                    platform.handle(&holder, &order);
                });
                wait_ms(TIMEOUT_MS).await;
                return Err(CallFault::TimedOut);
            }
        }
        wait_ms(5).await;
        Ok(self.0.handle(holder, order))
    }
}
