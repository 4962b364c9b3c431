//! Claims of non-repeatable requests: a host records a claim before it dispatches a request, so
//! that no key is dispatched twice in the fleet.
//!
//! An [`Attempt`] is one caller's request at one host. It takes [`Input`]s and answers each with a
//! [`Step`]: what to tell the caller, if anything, and what to do next.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::code::{Code, Outcome};
use crate::store::{Stored, Token, Write, WriteResult};

/// Number of slot objects that the claims are spread over. At 145 orders a second a slot holds about
/// 190 claims of a day, so that a write carries some 40 KB.
pub const SLOTS: u64 = 65_536;
/// Time for which a claim is kept, and the greatest age of a key with a time of issue.
pub const RETENTION_MS: u64 = 24 * 3_600_000;
/// Time for which the answer of an ended claim is kept.
pub const RESPONSE_RETENTION_MS: u64 = 3_600_000;
/// Largest answer body that is kept.
pub const RESPONSE_MAX_BYTES: usize = 4_096;
/// Allowance for differences between the hosts' wall clocks. Claims are pruned this much later
/// than their keys expire, so that no host still admits a key whose claim another has pruned.
pub const CLOCK_SKEW_MS: u64 = 600_000;
/// Largest slot, estimated; the store refuses values above 1 MB.
pub const SLOT_MAX_BYTES: usize = 900_000;
/// Conflicts with other claims of the same slot after which a request is refused.
pub const MAX_CONFLICTS: u8 = 8;

// Key, fingerprint, state, host name, token and JSON punctuation of one claim.
const CLAIM_BYTES: usize = 256;

/// Identity of an order from a caller: a hash of owner, entry and idempotency key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Key {
    hash: [u8; 16],
    issued_unix_ms: Option<u64>,
}

impl Key {
    /// Hashes the names and the caller's key, and reads its time of issue (`t<unix_ms>-...`).
    pub fn new(owner: &str, entry: &str, idempotency_key: &str) -> Self {
        Self {
            hash: hash16(&[owner, entry, idempotency_key].map(str::as_bytes)),
            issued_unix_ms: issued_unix_ms(idempotency_key),
        }
    }

    /// Key of the slot object, `claim/<slot>`.
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

/// Fingerprint of a request's method, path and body, which a repeat must share.
pub fn fingerprint(method: &str, path: &str, body: &[u8]) -> String {
    hex(&hash16(&[method.as_bytes(), path.as_bytes(), body]))
}

fn hash16(parts: &[&[u8]]) -> [u8; 16] {
    let mut hasher = blake3::Hasher::new();
    for part in parts {
        hasher.update(&(part.len() as u64).to_be_bytes());
        hasher.update(part);
    }
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

/// An answer that repeats of a request receive.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Response {
    /// HTTP status.
    pub status: u16,
    /// Content type; may be empty.
    pub content_type: String,
    /// Body; `None` when it was too large to keep or is no longer kept.
    pub body: Option<String>,
}

/// State of a claim.
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
        /// The answer; `None` when the outcome of the dispatch is unknown.
        answer: Option<Response>,
    },
    /// The request was not dispatched, and cannot be under this claim.
    Released,
}

/// A claim in its slot.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Claim<H = String> {
    /// Fingerprint of the request.
    pub fingerprint: String,
    /// Token of the attempt that made the claim.
    pub token: Token,
    /// Time of the claim.
    pub claimed_unix_ms: u64,
    /// State.
    pub state: State<H>,
}

/// Value of a slot object.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Slot<H = String> {
    /// Claims by [`Key::name`], oldest first.
    pub claims: IndexMap<String, Claim<H>>,
    /// Token of the last write.
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
    /// Drops claims and answers that are past their retention, and the oldest answers of a slot
    /// that is too large.
    pub fn prune(&mut self, now_unix_ms: u64) {
        let age_ms = |claim: &Claim<H>| now_unix_ms.saturating_sub(claim.claimed_unix_ms);
        self.claims
            .retain(|_, claim| age_ms(claim) <= RETENTION_MS + CLOCK_SKEW_MS);
        let mut excess_bytes = self.size_bytes().saturating_sub(SLOT_MAX_BYTES);
        for claim in self.claims.values_mut() {
            let old = age_ms(claim) > RESPONSE_RETENTION_MS;
            if let State::Ended {
                answer: Some(answer),
            } = &mut claim.state
                && (old || excess_bytes > 0)
            {
                let freed = answer.body.take().map_or(0, |body| body.len());
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

/// What the host that made a claim says about it.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum ClaimReply {
    /// The request is waiting or running.
    Running,
    /// The dispatch ended with this answer, or with an unknown outcome.
    Ended(Option<Response>),
    /// The host has not dispatched under this claim and never will.
    NeverDispatched,
    /// The host does not know the claim, or gave no answer.
    Unknown,
}

/// How a dispatch ended.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum DispatchResult {
    /// No byte of the request can have reached a back end.
    NotDispatched,
    /// The back end answered.
    Responded(Response),
    /// The request may have run.
    Unknown,
}

impl DispatchResult {
    /// Outcome that the caller is told when it receives no whole answer.
    pub fn outcome(&self) -> Outcome {
        match self {
            Self::NotDispatched => Outcome::NotRun,
            Self::Responded(_) => Outcome::Ran,
            Self::Unknown => Outcome::Unknown,
        }
    }
}

/// What happened to an attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Input<H = String> {
    /// The slot was read.
    Read(Stored<Slot<H>>),
    /// The store did not answer the read.
    Unreadable,
    /// The result of the last write.
    Write(WriteResult<Slot<H>>),
    /// The reply of the host that was asked.
    Peer(ClaimReply),
    /// The dispatch ended.
    Dispatched(DispatchResult),
    /// The caller left or its deadline passed. Has no effect once the request is dispatched.
    Cancelled,
}

/// What the caller is told.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Reply {
    /// A problem object with this code, whose [`Code::outcome`] holds for this request.
    Problem(Code),
    /// The kept answer of the first request with this key.
    Stored(Response),
}

/// What the host does next for an attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Next<H = String> {
    /// Read the slot. A cached slot serves as well unless `fresh`. When the last read failed, the
    /// host backs off first.
    Read {
        /// Whether the slot must come from the store.
        fresh: bool,
    },
    /// Write the slot.
    Write(Write<Slot<H>>),
    /// Ask the host for its [`Attempt::claim_reply`] about the claim with this token.
    Ask {
        /// Host that made the claim.
        host: H,
        /// Token of the claim.
        token: Token,
    },
    /// Send the request to a back end. Emitted at most once.
    Dispatch,
    /// Wait for the result of the pending write.
    Wait,
    /// The attempt is over.
    Finished,
}

/// Answer of an attempt to an input.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Step<H = String> {
    /// What to tell the caller now; each attempt replies at most once, and not at all after
    /// [`Next::Dispatch`], when the caller receives the back end's own answer.
    pub reply: Option<Reply>,
    /// What to do next.
    pub next: Next<H>,
}

impl<H> Step<H> {
    fn silent(next: Next<H>) -> Self {
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
    /// The slot is read; a claim with the token in `void` counts as released.
    Reading {
        void: Option<Token>,
    },
    Claiming {
        expected: u64,
        void: Option<Token>,
    },
    /// As `Claiming`, but the caller has left.
    Withdrawing {
        expected: u64,
    },
    Asking {
        token: Token,
    },
    Dispatched,
    Ending(Option<Response>),
    /// The claim, if it is or still can be in the store, is to be released. `doubtful` is the
    /// version that the claim's write expects.
    Releasing {
        doubtful: Option<u64>,
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
    /// Starts an attempt at `host` with a token that no other attempt has.
    ///
    /// # Errors
    ///
    /// [`Code::KeyExpired`] when the key's time of issue is past the retention, and
    /// [`Code::BadRequest`] when it lies in the future: such a key would outlive its claim.
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
            phase: Phase::Reading { void: None },
        };
        Ok((attempt, Step::silent(Next::Read { fresh: false })))
    }

    /// The order's key.
    pub fn key(&self) -> &Key {
        &self.key
    }

    /// Token of the claim that this attempt makes.
    pub fn token(&self) -> Token {
        self.token
    }

    /// What this host replies to a peer that asks about the claim with this attempt's token.
    pub fn claim_reply(&self) -> ClaimReply {
        match &self.phase {
            Phase::Reading { .. }
            | Phase::Claiming { .. }
            | Phase::Asking { .. }
            | Phase::Dispatched => ClaimReply::Running,
            Phase::Withdrawing { .. } | Phase::Releasing { .. } => ClaimReply::NeverDispatched,
            Phase::Ending(answer) => ClaimReply::Ended(answer.clone()),
            Phase::Finished => ClaimReply::Unknown,
        }
    }

    /// Takes an input and says what to do. Inputs that do not fit the state are ignored.
    pub fn advance(&mut self, input: Input<H>, now_unix_ms: u64) -> Step<H> {
        match (self.phase.clone(), input) {
            (Phase::Reading { void }, Input::Read(stored)) => {
                self.evaluate(stored, void, now_unix_ms)
            }
            (Phase::Reading { .. }, Input::Unreadable) => self.refuse(Code::ClaimUnavailable),
            (Phase::Claiming { .. }, Input::Write(WriteResult::Written(_))) => {
                self.phase = Phase::Dispatched;
                Step::silent(Next::Dispatch)
            }
            (Phase::Claiming { void, .. }, Input::Write(WriteResult::Conflict(stored))) => {
                self.conflicts += 1;
                if self.conflicts >= MAX_CONFLICTS {
                    return self.refuse(Code::ClaimUnavailable);
                }
                self.evaluate(stored, void, now_unix_ms)
            }
            (Phase::Claiming { expected, .. }, Input::Write(WriteResult::Lost)) => {
                Step::problem(Code::ClaimUnavailable, self.release(Some(expected)))
            }
            (Phase::Claiming { expected, .. }, Input::Cancelled) => {
                self.phase = Phase::Withdrawing { expected };
                Step::silent(Next::Wait)
            }
            (Phase::Withdrawing { .. }, Input::Write(WriteResult::Conflict(_)))
            | (Phase::Reading { .. } | Phase::Asking { .. }, Input::Cancelled) => self.finish(),
            (Phase::Withdrawing { expected }, Input::Write(_)) => {
                Step::silent(self.release(Some(expected)))
            }
            (Phase::Asking { token }, Input::Peer(reply)) => self.take_reply(token, reply),
            (Phase::Dispatched, Input::Dispatched(DispatchResult::NotDispatched)) => {
                Step::silent(self.release(None))
            }
            (Phase::Dispatched, Input::Dispatched(end)) => {
                self.phase = Phase::Ending(kept_answer(end));
                Step::silent(Next::Read { fresh: false })
            }
            (Phase::Ending(answer), Input::Read(stored))
            | (Phase::Ending(answer), Input::Write(WriteResult::Conflict(stored))) => {
                self.end(stored, answer, now_unix_ms)
            }
            (Phase::Releasing { doubtful }, Input::Read(stored))
            | (Phase::Releasing { doubtful }, Input::Write(WriteResult::Conflict(stored))) => {
                self.put_released(stored, doubtful, now_unix_ms)
            }
            (
                Phase::Ending(_) | Phase::Releasing { .. },
                Input::Write(WriteResult::Lost) | Input::Unreadable,
            ) => Step::silent(Next::Read { fresh: true }),
            (Phase::Ending(_) | Phase::Releasing { .. }, Input::Write(WriteResult::Written(_))) => {
                self.finish()
            }
            (Phase::Finished, _) => Step::silent(Next::Finished),
            _ => Step::silent(Next::Wait),
        }
    }

    fn evaluate(
        &mut self,
        stored: Stored<Slot<H>>,
        void: Option<Token>,
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
                State::Claimed { .. } if void == Some(claim.token) => {}
                // A write of this attempt that the store took without telling it so.
                State::Claimed { .. } if claim.token == self.token => {
                    return Step::problem(Code::ClaimUnavailable, self.release(None));
                }
                State::Claimed { host } => {
                    self.phase = Phase::Asking { token: claim.token };
                    return Step::silent(Next::Ask {
                        host: host.clone(),
                        token: claim.token,
                    });
                }
                State::Ended { answer } => {
                    let answer = answer.clone();
                    return self.repeat(answer);
                }
            }
        }
        if slot.size_bytes() + CLAIM_BYTES > SLOT_MAX_BYTES {
            return self.refuse(Code::ClaimUnavailable);
        }
        let host = self.host.clone();
        self.phase = Phase::Claiming {
            expected: stored.version,
            void,
        };
        self.put(slot, stored.version, State::Claimed { host }, now_unix_ms)
    }

    fn take_reply(&mut self, token: Token, reply: ClaimReply) -> Step<H> {
        match reply {
            ClaimReply::Running => self.refuse(Code::RepeatInProgress),
            ClaimReply::Ended(answer) => self.repeat(answer),
            ClaimReply::NeverDispatched => {
                self.phase = Phase::Reading { void: Some(token) };
                Step::silent(Next::Read { fresh: true })
            }
            ClaimReply::Unknown => self.refuse(Code::OutcomeUnknown),
        }
    }

    fn repeat(&mut self, answer: Option<Response>) -> Step<H> {
        match answer {
            Some(answer) if answer.body.is_some() => {
                self.phase = Phase::Finished;
                Step {
                    reply: Some(Reply::Stored(answer)),
                    next: Next::Finished,
                }
            }
            Some(_) => self.refuse(Code::AnswerNotKept),
            None => self.refuse(Code::OutcomeUnknown),
        }
    }

    fn end(
        &mut self,
        stored: Stored<Slot<H>>,
        answer: Option<Response>,
        now_unix_ms: u64,
    ) -> Step<H> {
        let mut slot = stored.value.unwrap_or_default();
        slot.prune(now_unix_ms);
        match slot.claims.get(&self.key.name()) {
            Some(claim)
                if claim.token == self.token && matches!(claim.state, State::Claimed { .. }) =>
            {
                self.put(slot, stored.version, State::Ended { answer }, now_unix_ms)
            }
            _ => self.finish(),
        }
    }

    fn put_released(
        &mut self,
        stored: Stored<Slot<H>>,
        doubtful: Option<u64>,
        now_unix_ms: u64,
    ) -> Step<H> {
        let mut slot = stored.value.unwrap_or_default();
        slot.prune(now_unix_ms);
        let own = slot.claims.get(&self.key.name()).is_some_and(|claim| {
            claim.token == self.token && matches!(claim.state, State::Claimed { .. })
        });
        // While the slot has the version that the doubtful write expects, that write can still
        // take effect; a write here moves the version and so rules it out.
        if own || doubtful == Some(stored.version) {
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
        Step::silent(Next::Write(Write {
            expected,
            value: slot,
        }))
    }

    fn release(&mut self, doubtful: Option<u64>) -> Next<H> {
        self.phase = Phase::Releasing { doubtful };
        Next::Read { fresh: true }
    }

    fn refuse(&mut self, code: Code) -> Step<H> {
        self.phase = Phase::Finished;
        Step::problem(code, Next::Finished)
    }

    fn finish(&mut self) -> Step<H> {
        self.phase = Phase::Finished;
        Step::silent(Next::Finished)
    }
}

fn kept_answer(end: DispatchResult) -> Option<Response> {
    match end {
        DispatchResult::Responded(mut answer) => {
            answer.body = answer.body.filter(|body| body.len() <= RESPONSE_MAX_BYTES);
            Some(answer)
        }
        DispatchResult::NotDispatched | DispatchResult::Unknown => None,
    }
}
