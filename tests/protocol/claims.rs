//! Model of one caller's order that is sent up to three times through two hosts.

use yuccacove::claim::{
    Attempt, Claim, ClaimReply, DispatchResult, Input, Key, Next, Reply, Response, Slot,
    State as ClaimState, Step,
};
use yuccacove::code::Outcome;
use yuccacove::store::{Stored, Token, Write, WriteResult};

use super::{Label, Rule, System, Violation};

const NOW_MS: u64 = 1_000;

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Task {
    Nothing,
    Read,
    Write(u64, Option<Claim<u8>>),
    Ask(Token),
    Dispatch,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum CallerReply {
    Nothing,
    NotRun,
    Other,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Request {
    host: u8,
    /// `None` after the host restarted.
    attempt: Option<Attempt<u8>>,
    task: Task,
    reply: CallerReply,
    /// Sent to the backend, but not received yet.
    in_flight: bool,
    ran: bool,
}

/// Numbers of requests and faults in a search.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Limits {
    /// Requests with the same key.
    pub(crate) requests: u8,
    /// Lost responses of the store, failed reads and delayed writes.
    pub(crate) lost: u8,
    /// Restarts of a host.
    pub(crate) restarts: u8,
    /// Requests that are cancelled before the dispatch.
    pub(crate) cancels: u8,
}

/// State of the modelled system.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct State {
    version: u64,
    claim: Option<Claim<u8>>,
    requests: Vec<Request>,
    /// Expected version and claim of a write that the store has not received yet.
    delayed_write: Option<(u64, Option<Claim<u8>>)>,
    requests_left: u8,
    lost_left: u8,
    restarts_left: u8,
    cancels_left: u8,
    /// Whether a caller received `not_run` after a request with the key had run or while one was in
    /// flight.
    has_wrong_not_run: bool,
}

fn key() -> Key {
    Key::new("o", "e", "k")
}

fn slot(claim: Option<Claim<u8>>) -> Slot<u8> {
    let mut slot = Slot::default();
    slot.claims.extend(claim.map(|claim| (key().name(), claim)));
    slot
}

impl State {
    /// Initial state, in which no request has been sent.
    pub(crate) fn start(limits: Limits) -> Self {
        Self {
            requests_left: limits.requests,
            version: 0,
            claim: None,
            requests: Vec::new(),
            delayed_write: None,
            lost_left: limits.lost,
            restarts_left: limits.restarts,
            cancels_left: limits.cancels,
            has_wrong_not_run: false,
        }
    }

    fn stored(&self) -> Stored<Slot<u8>> {
        let exists = self.version > 0;
        Stored {
            version: self.version,
            value: exists.then(|| slot(self.claim.clone())),
        }
    }

    fn put(&mut self, expected: u64, claim: Option<Claim<u8>>, without: Option<Rule>) -> bool {
        let is_applied = expected == self.version || without == Some(Rule::ConditionalUpdate);
        if is_applied {
            self.version += 1;
            self.claim = claim;
        }
        is_applied
    }

    fn advance(&mut self, r: usize, input: Input<u8>, without: Option<Rule>) {
        let Some(attempt) = &mut self.requests[r].attempt else {
            return;
        };
        let step = attempt.advance(input, NOW_MS);
        self.apply_step(r, step, without);
    }

    fn apply_step(&mut self, r: usize, step: Step<u8>, without: Option<Rule>) {
        if let Some(reply) = step.reply {
            let not_run =
                matches!(reply, Reply::Problem(code) if code.outcome() == Outcome::NotRun);
            self.reply(r, not_run);
        }
        let request = &mut self.requests[r];
        request.task = match step.next {
            Next::Read { .. } => Task::Read,
            Next::Write(Write {
                expected,
                mut value,
            }) => {
                let claim = value.claims.swap_remove(&key().name());
                let claims = matches!(
                    claim,
                    Some(Claim {
                        state: ClaimState::Claimed { .. },
                        ..
                    })
                );
                if claims && without == Some(Rule::ClaimFirst) {
                    self.delayed_write = Some((expected, claim));
                    return self.advance(r, Input::Write(WriteResult::Written(0)), without);
                }
                Task::Write(expected, claim)
            }
            Next::Ask { token, .. } => Task::Ask(token),
            Next::Dispatch => Task::Dispatch,
            Next::Wait => return,
            Next::Finished => Task::Nothing,
        };
    }

    /// Replies to the caller of a request. `not_run` must be true of the key, as the caller applies
    /// it to the whole order.
    fn reply(&mut self, r: usize, not_run: bool) {
        self.requests[r].reply = if not_run {
            CallerReply::NotRun
        } else {
            CallerReply::Other
        };
        let may_have_run = |request: &Request| request.ran || request.in_flight;
        self.has_wrong_not_run |= not_run && self.requests.iter().any(may_have_run);
    }

    fn write(
        &self,
        r: usize,
        expected: u64,
        claim: &Option<Claim<u8>>,
        without: Option<Rule>,
        out: &mut Vec<(Label, Self)>,
    ) {
        let mut base = self.clone();
        base.requests[r].task = Task::Nothing;
        let mut applied = base.clone();
        let is_applied = applied.put(expected, claim.clone(), without);
        let mut answered = applied.clone();
        let result = if is_applied {
            WriteResult::Written(applied.version)
        } else {
            WriteResult::Conflict(self.stored())
        };
        answered.advance(r, Input::Write(result), without);
        out.push((("write", r as u8), answered));
        if self.lost_left == 0 {
            return;
        }
        let mut delayed = base.clone();
        delayed.delayed_write = Some((expected, claim.clone()));
        for (name, mut next) in [
            ("write, result lost", applied),
            ("write lost", base),
            ("write delayed", delayed),
        ] {
            next.lost_left -= 1;
            let is_uncertain = without != Some(Rule::UncertainClaimRefused);
            let result = if is_uncertain {
                WriteResult::Lost
            } else {
                WriteResult::Written(0)
            };
            next.advance(r, Input::Write(result), without);
            out.push(((name, r as u8), next));
        }
    }

    fn ask(&self, r: usize, token: Token, out: &mut Vec<(Label, Self)>) {
        let asked = self
            .requests
            .iter()
            .filter_map(|request| request.attempt.as_ref());
        let reply = asked.into_iter().find(|attempt| attempt.token() == token);
        let mut next = self.clone();
        let reply = reply.map_or(ClaimReply::Unknown, Attempt::claim_reply);
        next.advance(r, Input::Peer(reply), None);
        out.push((("ask host of claim", r as u8), next));
    }

    fn dispatch(&self, r: usize, without: Option<Rule>, out: &mut Vec<(Label, Self)>) {
        let response = Response {
            status: 200,
            content_type: String::new(),
            body: Some(String::new()),
        };
        for (name, result, ran, in_flight) in [
            (
                "dispatch, runs",
                DispatchResult::Responded(response),
                true,
                false,
            ),
            (
                "dispatch, runs, response lost",
                DispatchResult::Unknown,
                true,
                false,
            ),
            (
                "dispatch delayed, times out",
                DispatchResult::Unknown,
                false,
                true,
            ),
            (
                "no connection to backend",
                DispatchResult::NotDispatched,
                false,
                false,
            ),
        ] {
            let mut next = self.clone();
            next.reply(r, result.outcome() == Outcome::NotRun);
            let request = &mut next.requests[r];
            request.ran = ran;
            request.in_flight = in_flight;
            next.advance(r, Input::Dispatched(result), without);
            out.push(((name, r as u8), next));
        }
    }
}

impl System for State {
    fn successors(&self, without: Option<Rule>) -> Vec<(Label, Self)> {
        let mut out = Vec::new();
        let sent = self.requests.len();
        if self.requests_left > 0 {
            // The hosts are symmetric, so the first request always goes through host 0.
            for host in 0..sent.min(1) as u8 + 1 {
                let token = Token(sent as u64 + 1);
                let started = Attempt::start(key(), String::new(), host, token, NOW_MS);
                let (attempt, step) = started.expect("the key has no time of issue");
                let mut next = self.clone();
                next.requests_left -= 1;
                next.requests.push(Request {
                    host,
                    attempt: Some(attempt),
                    task: Task::Nothing,
                    reply: CallerReply::Nothing,
                    in_flight: false,
                    ran: false,
                });
                next.apply_step(sent, step, without);
                out.push((("request through host", host), next));
            }
        }
        for (r, request) in self.requests.iter().enumerate() {
            match &request.task {
                Task::Nothing => {}
                Task::Read => {
                    let mut next = self.clone();
                    next.advance(r, Input::Read(self.stored()), without);
                    out.push((("read", r as u8), next));
                    if self.lost_left > 0 {
                        let mut next = self.clone();
                        next.lost_left -= 1;
                        next.advance(r, Input::Unreadable, without);
                        out.push((("read fails", r as u8), next));
                    }
                }
                Task::Write(expected, claim) => self.write(r, *expected, claim, without, &mut out),
                Task::Ask(token) => self.ask(r, *token, &mut out),
                Task::Dispatch => self.dispatch(r, without, &mut out),
            }
            if request.in_flight {
                let mut next = self.clone();
                next.requests[r].in_flight = false;
                next.requests[r].ran = true;
                out.push((("delayed dispatch runs", r as u8), next));
            }
            if self.cancels_left > 0 && request.reply == CallerReply::Nothing {
                let mut next = self.clone();
                next.cancels_left -= 1;
                next.requests[r].reply = CallerReply::Other;
                next.advance(r, Input::Cancelled, without);
                out.push((("caller disconnects", r as u8), next));
            }
        }
        if let Some((expected, claim)) = &self.delayed_write {
            let mut next = self.clone();
            next.delayed_write = None;
            next.put(*expected, claim.clone(), without);
            out.push((("delayed write", 0), next));
        }
        if self.restarts_left > 0 {
            for host in 0..2 {
                let mut next = self.clone();
                next.restarts_left -= 1;
                for request in next
                    .requests
                    .iter_mut()
                    .filter(|request| request.host == host)
                {
                    if let Task::Write(expected, claim) = &request.task {
                        next.delayed_write = Some((*expected, claim.clone()));
                    }
                    request.attempt = None;
                    request.task = Task::Nothing;
                    if request.reply == CallerReply::Nothing {
                        request.reply = CallerReply::Other;
                    }
                }
                out.push((("restart of host", host), next));
            }
        }
        out
    }

    fn violation(&self) -> Option<Violation> {
        let runs = self.requests.iter().filter(|request| request.ran).count();
        let not_run = |request: &Request| request.reply == CallerReply::NotRun;
        if runs > 1 {
            return Some(Violation::RunTwice);
        }
        let own = self
            .requests
            .iter()
            .any(|request| request.ran && not_run(request));
        let all = runs > 0 && self.requests.iter().all(not_run);
        (own || all || self.has_wrong_not_run).then_some(Violation::NotRunRan)
    }
}
