//! The edges of a process: the object store and the back ends.

use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;
use http::response::Parts;
use serde_json::Value;

use crate::config::ServingConfig;
use crate::directory::BackendEntry;
use crate::request::Request;

/// Kinds of objects that a host uses.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// The configuration, a single object.
    Config,
    /// The back ends, which register themselves.
    BackEnds,
    /// The hosts of this system.
    Hosts,
    /// Leases. They are apart from the hosts, as each renewal would wake all that watch those.
    Leases,
}

/// How recent the answer to a read must be.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Freshness {
    /// As of now.
    Latest,
    /// It may be seconds old, which costs the store little.
    MayLag,
}

/// An object of the store.
#[derive(Debug, Clone, PartialEq)]
pub struct Object {
    /// Name within its kind.
    pub name: String,
    /// Store-wide revision of the last write.
    pub revision: u64,
    /// Content; `None` when it cannot be read.
    pub value: Option<Value>,
    /// Whether the object was removed or is about to be.
    pub is_removed: bool,
}

/// Objects of a kind, or changes of them.
#[derive(Debug, Clone, Default)]
pub struct Objects {
    /// Objects.
    pub objects: Vec<Object>,
    /// Revision up to which the objects are complete.
    pub revision: u64,
}

/// Why a call to the store gave nothing.
#[derive(Debug, Clone, PartialEq)]
pub enum StoreFault {
    /// The condition does not hold; the object as it is, if the answer holds it.
    Conflict(Option<Object>),
    /// The object does not exist.
    Missing,
    /// The history since the given revision is gone.
    Expired,
    /// The store refused the call and did nothing.
    Refused(u16),
    /// No answer came; a write may have taken effect, or may still do so.
    NoAnswer(String),
}

/// Client of the platform's store.
#[expect(async_fn_in_trait, reason = "all users run on the host's one thread")]
pub trait ObjectStore {
    /// All objects of a kind, as of now.
    async fn list(&self, kind: Kind) -> Result<Objects, StoreFault>;

    /// Changes of a kind after `since`; empty when there are none within `wait_ms`.
    async fn watch(&self, kind: Kind, since: u64, wait_ms: u64) -> Result<Objects, StoreFault>;

    /// Creates an object that must not exist, or replaces one whose revision is `expected`. Returns
    /// the new revision.
    async fn write(
        &self,
        kind: Kind,
        name: &str,
        expected: Option<u64>,
        value: &Value,
    ) -> Result<u64, StoreFault>;

    /// Reads one object.
    async fn read(
        &self,
        kind: Kind,
        name: &str,
        freshness: Freshness,
    ) -> Result<Option<Object>, StoreFault>;

    /// Removes an object.
    async fn remove(&self, kind: Kind, name: &str) -> Result<(), StoreFault>;

    /// Decodes an entry of a back end; `None` when it names none that can be used.
    fn backend(&self, object: &Object) -> Option<BackendEntry>;

    /// Decodes a configuration; `None` when it cannot be read.
    fn config(&self, object: &Object) -> Option<ServingConfig>;
}

/// A back end to call. The id is checked by the back end, as an address may have passed to another.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// Id of the incarnation.
    pub id: Rc<str>,
    /// Address.
    pub address: SocketAddr,
}

/// KV cache that an engine keeps for another engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KvCacheHandle {
    /// Engine that keeps it.
    pub holder: Target,
    /// Name of the kept cache at that engine.
    pub handle: String,
    /// Tokens.
    pub tokens: u32,
}

/// A call of a back end on behalf of a request.
#[derive(Debug, Clone)]
pub struct Call {
    /// Time that the caller still waits.
    pub left_ms: u64,
    /// Rank, 0 being the most urgent.
    pub urgency: u8,
    /// Event after which a stream goes on.
    pub resume_after: Option<u64>,
    /// Whether the call may be sent again if its connection breaks.
    pub is_repeatable: bool,
    /// KV cache of the whole prompt, to be fetched by the engine.
    pub kv_cache: Option<KvCacheHandle>,
    /// Engine that keeps leading parts of the prompt, from which the engine fetches them.
    pub fetch_from: Option<SocketAddr>,
}

/// Why a call to a back end gave no answer of the request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallFault {
    /// No byte of the request was sent.
    NotSent(String),
    /// The back end states that it did not run the request.
    NotRun {
        /// Status of its answer.
        status: u16,
    },
    /// The request was sent; whether it ran is unknown.
    Broken(String),
    /// An answer to another request came in its place.
    Crossed,
}

/// Head and body of a back end's answer.
#[derive(Debug)]
pub struct BackendResponse<B> {
    /// Head, as it is passed to the caller.
    pub head: Parts,
    /// Body.
    pub body: B,
}

/// Body of an answer. Dropping it before its end closes the connection.
#[expect(async_fn_in_trait, reason = "all users run on the host's one thread")]
pub trait ResponseBody {
    /// The next bytes, `None` at the complete end.
    async fn chunk(&mut self) -> Option<Result<Bytes, String>>;
}

/// What an engine reports of itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineReport {
    /// Whether it reads prompts for others; otherwise it decodes.
    pub is_prefill: bool,
    /// Whether an order is being carried out.
    pub is_changing: bool,
    /// Number of orders accepted.
    pub orders: u64,
}

/// Outcome of an order to an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderReply {
    /// It is being carried out.
    Accepted,
    /// It held already.
    Holds,
    /// Another order came first.
    Busy,
    /// A higher fencing number was seen.
    Fenced,
    /// Anything else that the engine refused.
    Refused(u16),
}

/// An order to an engine to change its phase.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PhaseOrder {
    /// Whether the engine is to read prompts for others.
    pub to_prefill: bool,
    /// Host that orders.
    pub holder: String,
    /// Fencing number.
    pub fence: u64,
    /// Number of orders that the engine must have accepted before.
    pub expected_orders: u64,
}

/// Client of back ends.
#[expect(async_fn_in_trait, reason = "all users run on the host's one thread")]
pub trait Backends: 'static {
    /// Body of an answer.
    type Body: ResponseBody + 'static;

    /// Sends a request and waits for the head of its answer.
    async fn send_request(
        &self,
        to: &Target,
        request: &Request,
        call: Call,
    ) -> Result<BackendResponse<Self::Body>, CallFault>;

    /// Has an engine read the request's prompt and keep it for another engine.
    async fn prefill(
        &self,
        to: &Target,
        request: &Request,
        call: Call,
    ) -> Result<KvCacheHandle, CallFault>;

    /// Frees a kept prompt that no engine fetched.
    async fn release_kv_cache(&self, handle: &KvCacheHandle) -> Result<(), CallFault>;

    /// Asks an engine for its report.
    async fn report(&self, to: &Target) -> Result<EngineReport, CallFault>;

    /// Gives an engine an order.
    async fn order(&self, to: &Target, order: &PhaseOrder) -> Result<OrderReply, CallFault>;

    /// Closes the idle connections to a back end.
    fn retire(&self, to: &Target);
}
