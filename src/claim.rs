//! Claims for non-repeatable requests: a host records a claim on the idempotency key in the store
//! before it dispatches a request, so that no key is dispatched twice in the fleet.
//!
//! An [`Attempt`] is the state machine of one caller's request at one host. Each [`Input`] results
//! in a [`Step`]: the reply to the caller, if any, and the next action of the host.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::code::{Code, Outcome};
use crate::store::{Stored, Token, Write, WriteResult};

/// Number of slot objects over which the claims are distributed by hash. At 145 orders per second,
/// a slot holds about 190 claims of one day, and a write of the slot is about 40 KB.
pub const SLOTS: u64 = 65_536;
/// Time for which a claim is kept, and the maximum age of a key that contains its time of issue.
pub const RETENTION_MS: u64 = 24 * 3_600_000;
/// Time for which the response of an ended claim is stored.
pub const RESPONSE_RETENTION_MS: u64 = 3_600_000;
/// Largest response body that is stored.
pub const RESPONSE_MAX_BYTES: usize = 4_096;
/// Maximum difference between the wall clocks of the hosts. Claims are pruned this much later than
/// their keys expire, so that no host still admits a key whose claim another host has pruned.
pub const CLOCK_SKEW_MS: u64 = 600_000;
/// Maximum estimated size of a slot. The store rejects values above 1 MB.
pub const SLOT_MAX_BYTES: usize = 900_000;
/// Number of write conflicts with other claims in the same slot after which a request is refused.
pub const MAX_CONFLICTS: u8 = 8;

// Estimated size of one claim without its response body: key, fingerprint, state, host name, token
// and JSON punctuation.
const CLAIM_BYTES: usize = 256;

/// Identity of a caller's order: a hash of owner, entry and idempotency key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Key {
    hash: [u8; 16],
    issued_unix_ms: Option<u64>,
}

impl Key {
    /// Hashes the names and the caller's idempotency key, and parses the key's time of issue if it
    /// has the form `t<unix_ms>-...`.
    pub fn new(owner: &str, entry: &str, idempotency_key: &str) -> Self {
        Self {
            hash: hash16(&[owner, entry, idempotency_key].map(str::as_bytes)),
            issued_unix_ms: issued_unix_ms(idempotency_key),
        }
    }

    /// Key of the slot object that holds the claim, `claim/<slot>`.
    pub fn slot_key(&self) -> String {
        let mut head = [0; 8];
        head.copy_from_slice(&self.hash[..8]);
        format!("claim/{}", u64::from_be_bytes(head) % SLOTS)
    }

    /// Name of the claim within its slot, 32 hex digits.
    pub fn name(&self) -> String {
        hex(&self.hash)
    }
}

/// Fingerprint of a request's method, path and body. A repeated request must have the same
/// fingerprint as the first.
pub fn fingerprint(method: &str, path: &str, body: &[u8]) -> String {
    fingerprint_of_segments(method, path, &[body])
}

/// As [`fingerprint`], of a body in segments.
///
/// ```
/// use yuccacove::claim::{fingerprint, fingerprint_of_segments};
///
/// let segmented = fingerprint_of_segments("POST", "/orders", &["be", "am"]);
/// assert_eq!(segmented, fingerprint("POST", "/orders", b"beam"));
/// ```
pub fn fingerprint_of_segments<S: AsRef<[u8]>>(method: &str, path: &str, body: &[S]) -> String {
    let mut hasher = blake3::Hasher::new();
    for part in [method.as_bytes(), path.as_bytes()] {
        update_with_length(&mut hasher, part);
    }
    let len: usize = body.iter().map(|segment| segment.as_ref().len()).sum();
    hasher.update(&(len as u64).to_be_bytes());
    for segment in body {
        hasher.update(segment.as_ref());
    }
    hex(&first16(&hasher))
}

fn hash16(parts: &[&[u8]]) -> [u8; 16] {
    let mut hasher = blake3::Hasher::new();
    for part in parts {
        update_with_length(&mut hasher, part);
    }
    first16(&hasher)
}

fn update_with_length(hasher: &mut blake3::Hasher, part: &[u8]) {
    hasher.update(&(part.len() as u64).to_be_bytes());
    hasher.update(part);
}

fn first16(hasher: &blake3::Hasher) -> [u8; 16] {
    let mut hash = [0; 16];
    hash.copy_from_slice(&hasher.finalize().as_bytes()[..16]);
    hash
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}

fn issued_unix_ms(idempotency_key: &str) -> Option<u64> {
    let (digits, _) = idempotency_key.strip_prefix('t')?.split_once('-')?;
    digits.parse().ok()
}

/// A backend's response, stored for repeats of the request.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Response {
    /// HTTP status.
    pub status: u16,
    /// Content type; may be empty.
    pub content_type: String,
    /// Body; `None` if it was too large to store or its retention has passed.
    pub body: Option<String>,
}

/// State of a claim in the store.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State<H = String> {
    /// The host may have dispatched the request, or may still do so.
    Claimed {
        /// Host that made the claim.
        host: H,
    },
    /// The dispatch ended.
    Ended {
        /// The backend's response; `None` if the outcome of the dispatch is unknown.
        answer: Option<Response>,
    },
    /// The request was not dispatched and cannot be dispatched under this claim any more.
    Released,
}

/// A claim in its slot.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Claim<H = String> {
    /// Fingerprint of the request.
    pub fingerprint: String,
    /// Token of the attempt that wrote the claim.
    pub token: Token,
    /// Wall-clock time at which the claim was first written, in milliseconds since the Unix epoch.
    pub claimed_unix_ms: u64,
    /// Progress of the claimed request.
    pub state: State<H>,
}

/// Value of a slot object.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Slot<H = String> {
    /// Claims by [`Key::name`], oldest first.
    pub claims: IndexMap<String, Claim<H>>,
    /// Token of the attempt that last wrote the slot.
    pub writer: Token,
}

impl<H> Default for Slot<H> {
    fn default() -> Self {
        Self {
            claims: IndexMap::new(),
            writer: Token::default(),
        }
    }
}

impl<H> Slot<H> {
    /// Removes claims and response bodies that are past their retention. If the slot is still too
    /// large, also removes the oldest response bodies.
    pub fn prune(&mut self, now_unix_ms: u64) {
        let age_ms = |claim: &Claim<H>| now_unix_ms.saturating_sub(claim.claimed_unix_ms);
        self.claims
            .retain(|_, claim| age_ms(claim) <= RETENTION_MS + CLOCK_SKEW_MS);
        let mut excess_bytes = self.size_bytes().saturating_sub(SLOT_MAX_BYTES);
        for claim in self.claims.values_mut() {
            let old = age_ms(claim) > RESPONSE_RETENTION_MS;
            if let State::Ended {
                answer: Some(response),
            } = &mut claim.state
                && (old || excess_bytes > 0)
            {
                let freed = response.body.take().map_or(0, |body| body.len());
                excess_bytes = excess_bytes.saturating_sub(freed);
            }
        }
    }

    fn size_bytes(&self) -> usize {
        self.claims
            .values()
            .map(|claim| match &claim.state {
                State::Ended {
                    answer: Some(Response { body, .. }),
                } => CLAIM_BYTES + body.as_ref().map_or(0, String::len),
                _ => CLAIM_BYTES,
            })
            .sum()
    }
}

/// Reply of the host that made a claim to a peer that asks about it.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum ClaimReply {
    /// The request is waiting or running.
    Running,
    /// The dispatch ended with this response; `None` if its outcome is unknown.
    Ended(Option<Response>),
    /// The host has not dispatched under this claim and never will.
    NeverDispatched,
    /// The host does not know the claim, or did not reply.
    Unknown,
}

/// Result of dispatching a request to a backend.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum DispatchResult {
    /// No byte of the request can have reached a backend.
    NotDispatched,
    /// The backend sent a complete response.
    Responded(Response),
    /// The request may have run.
    Unknown,
}

impl DispatchResult {
    /// Outcome to report to the caller if it does not receive a complete response.
    pub fn outcome(&self) -> Outcome {
        match self {
            Self::NotDispatched => Outcome::NotRun,
            Self::Responded(_) => Outcome::Ran,
            Self::Unknown => Outcome::Unknown,
        }
    }
}

/// An event that an [`Attempt`] handles.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Input<H = String> {
    /// The slot was read.
    Read(Stored<Slot<H>>),
    /// The store did not answer the read.
    Unreadable,
    /// The result of the last write.
    Write(WriteResult<Slot<H>>),
    /// The reply to [`Next::Ask`].
    Peer(ClaimReply),
    /// The dispatch ended.
    Dispatched(DispatchResult),
    /// The caller disconnected or its deadline passed. Has no effect after the request was
    /// dispatched.
    Cancelled,
}

/// Reply to the caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Reply {
    /// A problem object with this code. The code's [`Code::outcome`] holds for this request.
    Problem(Code),
    /// The stored response of the first request with this key.
    Stored(Response),
}

/// Next action of the host for an attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Next<H = String> {
    /// Read the slot. If the last read failed, back off first.
    Read {
        /// Whether the slot must be read from the store; otherwise a cached slot is sufficient.
        fresh: bool,
    },
    /// Write the slot.
    Write(Write<Slot<H>>),
    /// Ask another host for its [`Attempt::claim_reply`] for the claim with this token.
    Ask {
        /// Host that made the claim.
        host: H,
        /// Token of the claim.
        token: Token,
    },
    /// Send the request to a backend. Returned at most once per attempt.
    Dispatch,
    /// Wait for the result of the pending write.
    Wait,
    /// Nothing more to do; the attempt has ended.
    Finished,
}

/// Result of [`Attempt::advance`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Step<H = String> {
    /// Reply to send to the caller now. An attempt replies at most once, and never after
    /// [`Next::Dispatch`], since the caller then receives the backend's response.
    pub reply: Option<Reply>,
    /// Next action of the host.
    pub next: Next<H>,
}

impl<H> Step<H> {
    fn without_reply(next: Next<H>) -> Self {
        Self { reply: None, next }
    }

    fn problem(code: Code, next: Next<H>) -> Self {
        Self {
            reply: Some(Reply::Problem(code)),
            next,
        }
    }
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Phase {
    /// Waits for the read of the slot. A claim with the token `released` counts as released.
    Reading {
        released: Option<Token>,
    },
    /// Waits for the write of the claim.
    Claiming {
        expected: u64,
        released: Option<Token>,
    },
    /// As `Claiming`, but the request was cancelled.
    Withdrawing {
        expected: u64,
    },
    /// Waits for a peer's reply about the claim with this token.
    Asking {
        token: Token,
    },
    /// Waits for the result of the dispatch.
    Dispatched,
    /// Records the result of the dispatch.
    Ending(Option<Response>),
    /// Releases the claim if it is in the store or can still get there. `uncertain_version` is the
    /// version expected by a write of the claim whose result is unknown.
    Releasing {
        uncertain_version: Option<u64>,
    },
    Finished,
}

/// One request with an idempotency key at one host.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Attempt<H = String> {
    key: Key,
    fingerprint: String,
    host: H,
    token: Token,
    conflicts: u8,
    phase: Phase,
}

impl<H: Clone> Attempt<H> {
    /// Starts an attempt at `host`. `token` must be unique among all attempts.
    ///
    /// # Errors
    ///
    /// [`Code::KeyExpired`] if the key was issued before the retention period, and
    /// [`Code::BadRequest`] if its time of issue is in the future, since such a key would outlive
    /// its claim.
    pub fn start(
        key: Key,
        fingerprint: String,
        host: H,
        token: Token,
        now_unix_ms: u64,
    ) -> Result<(Self, Step<H>), Code> {
        if let Some(issued) = key.issued_unix_ms {
            if now_unix_ms.saturating_sub(issued) > RETENTION_MS {
                return Err(Code::KeyExpired);
            }
            if issued > now_unix_ms + CLOCK_SKEW_MS {
                return Err(Code::BadRequest);
            }
        }
        let attempt = Self {
            key,
            fingerprint,
            host,
            token,
            conflicts: 0,
            phase: Phase::Reading { released: None },
        };
        Ok((attempt, Step::without_reply(Next::Read { fresh: false })))
    }

    /// Key of the order that the request belongs to.
    pub fn key(&self) -> &Key {
        &self.key
    }

    /// Token of the claim that this attempt makes.
    pub fn token(&self) -> Token {
        self.token
    }

    /// Reply to a peer that asks about the claim with this attempt's token.
    pub fn claim_reply(&self) -> ClaimReply {
        match &self.phase {
            Phase::Reading { .. }
            | Phase::Claiming { .. }
            | Phase::Asking { .. }
            | Phase::Dispatched => ClaimReply::Running,
            Phase::Withdrawing { .. } | Phase::Releasing { .. } => ClaimReply::NeverDispatched,
            Phase::Ending(response) => ClaimReply::Ended(response.clone()),
            Phase::Finished => ClaimReply::Unknown,
        }
    }

    /// Handles an input and returns the next step. Inputs that do not apply to the current state
    /// are ignored.
    pub fn advance(&mut self, input: Input<H>, now_unix_ms: u64) -> Step<H> {
        match (self.phase.clone(), input) {
            (Phase::Reading { released }, Input::Read(stored)) => {
                self.evaluate(stored, released, now_unix_ms)
            }
            (Phase::Reading { .. }, Input::Unreadable) => self.refuse(Code::ClaimUnavailable),
            (Phase::Claiming { .. }, Input::Write(WriteResult::Written(_))) => {
                self.phase = Phase::Dispatched;
                Step::without_reply(Next::Dispatch)
            }
            (Phase::Claiming { released, .. }, Input::Write(WriteResult::Conflict(stored))) => {
                self.conflicts += 1;
                if self.conflicts >= MAX_CONFLICTS {
                    return self.refuse(Code::ClaimUnavailable);
                }
                self.evaluate(stored, released, now_unix_ms)
            }
            (Phase::Claiming { expected, .. }, Input::Write(WriteResult::Lost)) => {
                Step::problem(Code::ClaimUnavailable, self.release(Some(expected)))
            }
            (Phase::Claiming { expected, .. }, Input::Cancelled) => {
                self.phase = Phase::Withdrawing { expected };
                Step::without_reply(Next::Wait)
            }
            (Phase::Withdrawing { .. }, Input::Write(WriteResult::Conflict(_)))
            | (Phase::Reading { .. } | Phase::Asking { .. }, Input::Cancelled) => self.finish(),
            (Phase::Withdrawing { expected }, Input::Write(_)) => {
                Step::without_reply(self.release(Some(expected)))
            }
            (Phase::Asking { token }, Input::Peer(reply)) => self.handle_peer_reply(token, reply),
            (Phase::Dispatched, Input::Dispatched(DispatchResult::NotDispatched)) => {
                Step::without_reply(self.release(None))
            }
            (Phase::Dispatched, Input::Dispatched(end)) => {
                self.phase = Phase::Ending(stored_response(end));
                Step::without_reply(Next::Read { fresh: false })
            }
            (Phase::Ending(response), Input::Read(stored))
            | (Phase::Ending(response), Input::Write(WriteResult::Conflict(stored))) => {
                self.record_end(stored, response, now_unix_ms)
            }
            (Phase::Releasing { uncertain_version }, Input::Read(stored))
            | (
                Phase::Releasing { uncertain_version },
                Input::Write(WriteResult::Conflict(stored)),
            ) => self.put_released(stored, uncertain_version, now_unix_ms),
            (
                Phase::Ending(_) | Phase::Releasing { .. },
                Input::Write(WriteResult::Lost) | Input::Unreadable,
            ) => Step::without_reply(Next::Read { fresh: true }),
            (Phase::Ending(_) | Phase::Releasing { .. }, Input::Write(WriteResult::Written(_))) => {
                self.finish()
            }
            (Phase::Finished, _) => Step::without_reply(Next::Finished),
            _ => Step::without_reply(Next::Wait),
        }
    }

    fn evaluate(
        &mut self,
        stored: Stored<Slot<H>>,
        released: Option<Token>,
        now_unix_ms: u64,
    ) -> Step<H> {
        let mut slot = stored.value.unwrap_or_default();
        slot.prune(now_unix_ms);
        if let Some(claim) = slot.claims.get(&self.key.name()) {
            if claim.fingerprint != self.fingerprint {
                return self.refuse(Code::KeyReused);
            }
            match &claim.state {
                State::Released => {}
                State::Claimed { .. } if released == Some(claim.token) => {}
                // An earlier write of this attempt took effect although its result was lost.
                State::Claimed { .. } if claim.token == self.token => {
                    return Step::problem(Code::ClaimUnavailable, self.release(None));
                }
                State::Claimed { host } => {
                    self.phase = Phase::Asking { token: claim.token };
                    return Step::without_reply(Next::Ask {
                        host: host.clone(),
                        token: claim.token,
                    });
                }
                State::Ended { answer: response } => {
                    let response = response.clone();
                    return self.reply_to_repeat(response);
                }
            }
        }
        if slot.size_bytes() + CLAIM_BYTES > SLOT_MAX_BYTES {
            return self.refuse(Code::ClaimUnavailable);
        }
        let host = self.host.clone();
        self.phase = Phase::Claiming {
            expected: stored.version,
            released,
        };
        self.put(slot, stored.version, State::Claimed { host }, now_unix_ms)
    }

    fn handle_peer_reply(&mut self, token: Token, reply: ClaimReply) -> Step<H> {
        match reply {
            ClaimReply::Running => self.refuse(Code::RepeatInProgress),
            ClaimReply::Ended(response) => self.reply_to_repeat(response),
            ClaimReply::NeverDispatched => {
                self.phase = Phase::Reading {
                    released: Some(token),
                };
                Step::without_reply(Next::Read { fresh: true })
            }
            ClaimReply::Unknown => self.refuse(Code::OutcomeUnknown),
        }
    }

    fn reply_to_repeat(&mut self, response: Option<Response>) -> Step<H> {
        match response {
            Some(response) if response.body.is_some() => {
                self.phase = Phase::Finished;
                Step {
                    reply: Some(Reply::Stored(response)),
                    next: Next::Finished,
                }
            }
            Some(_) => self.refuse(Code::AnswerNotKept),
            None => self.refuse(Code::OutcomeUnknown),
        }
    }

    fn record_end(
        &mut self,
        stored: Stored<Slot<H>>,
        response: Option<Response>,
        now_unix_ms: u64,
    ) -> Step<H> {
        let mut slot = stored.value.unwrap_or_default();
        slot.prune(now_unix_ms);
        match slot.claims.get(&self.key.name()) {
            Some(claim)
                if claim.token == self.token && matches!(claim.state, State::Claimed { .. }) =>
            {
                self.put(
                    slot,
                    stored.version,
                    State::Ended { answer: response },
                    now_unix_ms,
                )
            }
            _ => self.finish(),
        }
    }

    fn put_released(
        &mut self,
        stored: Stored<Slot<H>>,
        uncertain_version: Option<u64>,
        now_unix_ms: u64,
    ) -> Step<H> {
        let mut slot = stored.value.unwrap_or_default();
        slot.prune(now_unix_ms);
        let own = slot.claims.get(&self.key.name()).is_some_and(|claim| {
            claim.token == self.token && matches!(claim.state, State::Claimed { .. })
        });
        // While the slot has the version that the uncertain write expects, that write can still
        // take effect. Writing here changes the version and so prevents it.
        if own || uncertain_version == Some(stored.version) {
            self.put(slot, stored.version, State::Released, now_unix_ms)
        } else {
            self.finish()
        }
    }

    fn put(&self, mut slot: Slot<H>, expected: u64, state: State<H>, now_unix_ms: u64) -> Step<H> {
        let name = self.key.name();
        let claimed_unix_ms = match slot.claims.get(&name) {
            Some(claim) if claim.token == self.token => claim.claimed_unix_ms,
            _ => now_unix_ms,
        };
        let claim = Claim {
            fingerprint: self.fingerprint.clone(),
            token: self.token,
            claimed_unix_ms,
            state,
        };
        slot.claims.insert(name, claim);
        slot.writer = self.token;
        Step::without_reply(Next::Write(Write {
            expected,
            value: slot,
        }))
    }

    fn release(&mut self, uncertain_version: Option<u64>) -> Next<H> {
        self.phase = Phase::Releasing { uncertain_version };
        Next::Read { fresh: true }
    }

    fn refuse(&mut self, code: Code) -> Step<H> {
        self.phase = Phase::Finished;
        Step::problem(code, Next::Finished)
    }

    fn finish(&mut self) -> Step<H> {
        self.phase = Phase::Finished;
        Step::without_reply(Next::Finished)
    }
}

fn stored_response(end: DispatchResult) -> Option<Response> {
    match end {
        DispatchResult::Responded(mut response) => {
            response.body = response
                .body
                .filter(|body| body.len() <= RESPONSE_MAX_BYTES);
            Some(response)
        }
        DispatchResult::NotDispatched | DispatchResult::Unknown => None,
    }
}
