//! Tests the usage reports of several hosts in virtual time: what counts, that windows are reported
//! once, and that no fault leads to two reports of a window with different counts.

mod common;

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;

use common::{
    Chunk, FakeBackends, FakeStore, Step, StoreMode, deployment, entry, generation, request, route,
    run_virtual, serving_host, wait_ms,
};
use http_body_util::BodyExt;
use serde_json::json;
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::Instant;
use yucca_serve::config::RouteKind;
use yucca_serve::follow::{StoreHealth, probe_store};
use yucca_serve::host::{Deployment, Host, UsageTiming};
use yucca_serve::organisations::{ApiKey, Organisation, Organisations};
use yucca_serve::peers::{follow_hosts, outgoing_datagrams, receive};
use yucca_serve::ports::{
    CallFault, ControlApi, DutyHolder, DutyReply, Kind, ScaleOrder, UsageReport,
};
use yucca_serve::request::Request;
use yucca_serve::roles::{LEASE_NAME, RoleLease, maintain_lease};
use yucca_serve::serve::serve;
use yucca_serve::usage::report_usage;
use yuccacove::prompt_placement::Phase;

const WINDOW_MS: u64 = 5_000;
const DUE_MS: u64 = 10_000;
/// True time at the start of a test, 2.4 s after the start of a window.
const START_MS: u64 = 1_700_000_002_400;
const TICK_MS: u64 = 10;
const HOSTS: usize = 7;
const NAMES: [&str; 3] = ["alder", "birch", "cedar"];
/// First byte of a datagram about usage.
const USAGE_TAG: u8 = 10;
/// Headers of IP and UDP.
const HEADER_BYTES: u64 = 28;

/// Size of a [`Fleet`].
#[derive(Debug, Clone, Copy)]
struct Size {
    hosts: usize,
    /// Whether the availability zones are five of equal size.
    has_five_zones: bool,
    organisations: usize,
    tick_ms: u64,
    /// Longest time between two requests, and their number each time.
    gap_ms: u64,
    burst: u64,
}

/// Large enough for groups, with 800 requests a second.
const MEDIUM: Size = Size {
    hosts: 100,
    has_five_zones: true,
    organisations: 12,
    tick_ms: TICK_MS,
    gap_ms: 26,
    burst: 12,
};

/// Second byte of a datagram with a question to a group, and of one with the answer.
const GROUP_QUESTION_TAG: u8 = 12;
const GROUP_ANSWER_TAG: u8 = 13;

/// How a host is lost.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Fault {
    Killed,
    Paused,
    CutOff,
}

const SMALL: Size = Size {
    hosts: HOSTS,
    has_five_zones: false,
    organisations: NAMES.len(),
    tick_ms: TICK_MS,
    gap_ms: 26,
    burst: 1,
};

/// 2,900 requests a second on average.
const LARGE: Size = Size {
    hosts: 350,
    has_five_zones: true,
    organisations: 72,
    tick_ms: 20,
    gap_ms: 26,
    burst: 42,
};

/// Returns the name of an organisation, of 8 bytes in a large fleet.
fn organisation_name(number: usize) -> &'static str {
    NAMES.get(number).copied().unwrap_or_else(|| {
        let name = format!("org-{number:04}");
        Box::leak(name.into_boxed_str())
    })
}

/// How the control API treats calls.
#[derive(Debug, Clone, Copy, PartialEq)]
enum ApiMode {
    Ordinary,
    /// Not reachable.
    Away,
    /// Does not answer, and carries the call out after this time.
    Late(u64),
}

/// A control API that checks that no window is reported with two different counts.
struct FakeControlApi {
    mode: Cell<ApiMode>,
    reports: Rc<RefCell<BTreeMap<u64, (u64, UsageReport)>>>,
    calls: Cell<u64>,
    fence: Rc<Cell<u64>>,
}

fn execute(
    reports: &RefCell<BTreeMap<u64, (u64, UsageReport)>>,
    fence: &Cell<u64>,
    at_ms: u64,
    (holder, report): (DutyHolder, UsageReport),
) -> DutyReply {
    if holder.fence < fence.get() {
        return DutyReply::Conflict;
    }
    fence.set(holder.fence);
    let mut reports = reports.borrow_mut();
    let first = reports
        .entry(report.window)
        .or_insert_with(|| (at_ms, report.clone()));
    assert_eq!(first.1, report, "two reports for a window");
    DutyReply::Done
}

impl ControlApi for FakeControlApi {
    async fn report_usage(
        &self,
        holder: &DutyHolder,
        report: &UsageReport,
    ) -> Result<DutyReply, CallFault> {
        self.calls.set(self.calls.get() + 1);
        wait_ms(5).await;
        let call = (holder.clone(), report.clone());
        match self.mode.get() {
            ApiMode::Ordinary => Ok(execute(&self.reports, &self.fence, true_ms(), call)),
            ApiMode::Away => Err(CallFault::NotSent("refused".to_owned())),
            ApiMode::Late(after_ms) => {
                let (reports, fence) = (Rc::clone(&self.reports), Rc::clone(&self.fence));
                spawn_local(async move {
                    wait_ms(after_ms).await;
                    execute(&reports, &fence, true_ms(), call);
                });
                wait_ms(1_500).await;
                Err(CallFault::TimedOut)
            }
        }
    }

    async fn order_engines(&self, _: &DutyHolder, _: &ScaleOrder) -> Result<DutyReply, CallFault> {
        Ok(DutyReply::Refused(404))
    }
}

thread_local! {
    static STARTED: Cell<Option<Instant>> = const { Cell::new(None) };
}

/// Returns true time. The first call of a test sets the start.
fn true_ms() -> u64 {
    let started = STARTED.get().unwrap_or_else(Instant::now);
    STARTED.set(Some(started));
    START_MS + u64::try_from(started.elapsed().as_millis()).expect("a short test")
}

fn organisations(count: usize) -> Organisations {
    let mut organisations = Organisations::default();
    for name in (0..count).map(organisation_name) {
        let organisation = Organisation {
            name: name.into(),
            urgency: None,
        };
        let added = organisations.add(organisation, [ApiKey::new(format!("key-{name}"))]);
        added.expect("different keys");
    }
    organisations
}

fn usage_host(name: &str, zone: &str, kind: RouteKind, seed: u64) -> Rc<Host<FakeBackends>> {
    let own = Deployment {
        name: name.to_owned(),
        zone: zone.to_owned(),
        usage: Some(UsageTiming {
            window_ms: WINDOW_MS,
            due_ms: DUE_MS,
        }),
        ..deployment()
    };
    let host = Rc::new(Host::new(own, FakeBackends::default(), seed));
    let mut config = (*serving_host(route(kind, 2))
        .config()
        .expect("a configuration"))
    .clone();
    config.organisations = organisations(NAMES.len());
    let mut public = route(kind, 2);
    public.path_prefix = "/public".to_owned();
    public.is_public = true;
    config.routes.push(public);
    host.set_config(config);
    let entries = [
        ("desk-1", entry("desk", 1, Phase::Decode)),
        ("desk-2", entry("desk", 2, Phase::Decode)),
        ("gen-1", entry("model", 4, Phase::Decode)),
        ("gen-2", entry("model", 5, Phase::Decode)),
    ];
    let mut directory = host.directory.borrow_mut();
    for (id, entry) in entries {
        directory.apply_entry(id, 1, entry, 0);
    }
    directory.apply_full_listing(&["desk-1", "desk-2", "gen-1", "gen-2"], 1, 0);
    drop(directory);
    host
}

fn keyed(request: Request, name: &str) -> Request {
    Request {
        api_key: Some(ApiKey::new(format!("key-{name}"))),
        ..request
    }
}

/// A running host of a [`Fleet`].
struct Member {
    host: Rc<Host<FakeBackends>>,
    lease: Rc<RoleLease>,
    tasks: Vec<JoinHandle<()>>,
    is_up: bool,
    /// Error of its wall clock.
    clock_error_ms: Rc<Cell<i64>>,
    is_cut_off: bool,
    /// A paused host neither sends nor receives datagrams; its tasks go on.
    is_paused: bool,
}

/// Hosts that share a store and a control API and exchange datagrams, of which the share `loss` is
/// lost.
struct Fleet {
    store: Rc<FakeStore>,
    api: Rc<FakeControlApi>,
    members: RefCell<Vec<Member>>,
    loss_percent: u64,
    draws: Cell<u64>,
    /// Requests that were answered, by window and organisation.
    truth: RefCell<BTreeMap<u64, BTreeMap<&'static str, u64>>>,
    largest_datagram_bytes: Cell<usize>,
    size: Size,
    names: Vec<&'static str>,
    /// Bytes about usage that each host has received and sent.
    received_bytes: RefCell<Vec<u64>>,
    sent_bytes: RefCell<Vec<u64>>,
    /// What happens to hosts that receive a question to a group or send the answer, by the second byte of
    /// the datagram.
    fault: RefCell<Option<(Fault, u8)>>,
    /// Hosts to which it has happened.
    struck: RefCell<Vec<usize>>,
    /// Hosts that have sent the first part of an answer.
    answering: RefCell<Vec<usize>>,
}

impl Fleet {
    fn spawn(loss_percent: u64, seed: u64) -> Rc<Self> {
        Self::spawn_sized(SMALL, loss_percent, seed)
    }

    fn spawn_sized(size: Size, loss_percent: u64, seed: u64) -> Rc<Self> {
        STARTED.set(None);
        true_ms();
        let store = FakeStore::new();
        for number in 0..size.hosts {
            let zone = zone(size, number);
            let value = json!({ "address": address(number).to_string(), "zone": zone });
            store.put(Kind::Hosts, &format!("host.entry-{number}"), Some(value));
        }
        let fleet = Rc::new(Self {
            store,
            api: Rc::new(FakeControlApi {
                mode: Cell::new(ApiMode::Ordinary),
                reports: Rc::default(),
                calls: Cell::new(0),
                fence: Rc::default(),
            }),
            members: RefCell::default(),
            loss_percent,
            draws: Cell::new(seed),
            truth: RefCell::default(),
            largest_datagram_bytes: Cell::new(0),
            size,
            names: (0..size.organisations).map(organisation_name).collect(),
            received_bytes: RefCell::new(vec![0; size.hosts]),
            sent_bytes: RefCell::new(vec![0; size.hosts]),
            fault: RefCell::default(),
            struck: RefCell::default(),
            answering: RefCell::default(),
        });
        for number in 0..size.hosts {
            let member = fleet.start(number, Rc::default());
            fleet.members.borrow_mut().push(member);
        }
        spawn_local(Rc::clone(&fleet).deliver());
        fleet
    }

    fn draw(&self, below: u64) -> u64 {
        let next = self.draws.get().wrapping_mul(6_364_136_223_846_793_005);
        let next = next.wrapping_add(1_442_695_040_888_963_407);
        self.draws.set(next);
        (next >> 33) % below
    }

    fn start(&self, number: usize, clock_error_ms: Rc<Cell<i64>>) -> Member {
        let name = format!("entry-{number}");
        let host = usage_host(
            &name,
            zone(self.size, number),
            RouteKind::Idempotent,
            self.draw(1 << 30),
        );
        let mut config = (*host.config().expect("a configuration")).clone();
        config.organisations = organisations(self.size.organisations);
        config.version += 1;
        host.set_config(config);
        let usage = host.usage.as_ref().expect("usage is reported");
        let error_ms = Rc::clone(&clock_error_ms);
        usage.set_wall_clock(move || true_ms().saturating_add_signed(error_ms.get()));
        let started = Instant::now();
        let clock = move || u64::try_from(started.elapsed().as_millis()).expect("a short test");
        let lease = Rc::new(RoleLease::new(&name, clock));
        let health = Rc::new(StoreHealth::default());
        let observer = Rc::clone(&lease);
        let tasks = vec![
            spawn_local(follow_hosts(
                Rc::clone(&host),
                Rc::clone(&self.store),
                Rc::clone(&health),
            )),
            spawn_local(maintain_lease(
                Rc::clone(&lease),
                Rc::clone(&self.store),
                Rc::clone(&health),
            )),
            spawn_local(probe_store(
                health,
                Rc::clone(&self.store),
                Kind::Leases,
                LEASE_NAME,
                move |object| observer.observe(object),
            )),
            spawn_local(report_usage(
                Rc::clone(&host),
                Rc::clone(&lease),
                Rc::clone(&self.store),
                Rc::clone(&self.api),
            )),
        ];
        Member {
            host,
            lease,
            tasks,
            is_up: true,
            clock_error_ms,
            is_cut_off: false,
            is_paused: false,
        }
    }

    /// Ends a host at once; its counts are lost.
    fn kill(&self, at: usize) {
        let member = &mut self.members.borrow_mut()[at];
        member.is_up = false;
        for task in &member.tasks {
            task.abort();
        }
    }

    /// Starts a new process of a host.
    fn restart(&self, at: usize) {
        let clock = Rc::clone(&self.members.borrow()[at].clock_error_ms);
        let member = self.start(at, clock);
        self.members.borrow_mut()[at] = member;
    }

    fn holder(&self) -> Option<usize> {
        let members = self.members.borrow();
        members
            .iter()
            .position(|m| m.is_up && m.lease.authority().is_some())
    }

    /// Delivers datagrams for as long as the test runs.
    async fn deliver(self: Rc<Self>) {
        let hosts = 0..self.size.hosts;
        let numbers: BTreeMap<SocketAddr, usize> = hosts.map(|n| (address(n), n)).collect();
        loop {
            wait_ms(self.size.tick_ms).await;
            let mut sent = Vec::new();
            for (number, member) in self.members.borrow().iter().enumerate() {
                if member.is_paused {
                    continue;
                }
                for datagram in outgoing_datagrams(&member.host) {
                    let largest = self.largest_datagram_bytes.get().max(datagram.bytes.len());
                    self.largest_datagram_bytes.set(largest);
                    sent.push((number, datagram));
                }
            }
            for (from, datagram) in sent {
                let is_usage = datagram.bytes.first() == Some(&USAGE_TAG);
                let cost_bytes = u64::from(is_usage) * (HEADER_BYTES + datagram.bytes.len() as u64);
                let mut to: Vec<usize> = datagram.to.iter().map(|to| numbers[to]).collect();
                to.sort_unstable();
                if let Some(first) = to.first() {
                    self.strike(from, *first, &datagram.bytes);
                }
                let members = self.members.borrow();
                for to in to {
                    let passes = |at: usize| members[at].is_up && !members[at].is_cut_off;
                    if passes(from) && passes(to) && self.draw(100) >= self.loss_percent {
                        self.sent_bytes.borrow_mut()[from] += cost_bytes;
                        self.received_bytes.borrow_mut()[to] += cost_bytes;
                        if !members[to].is_paused {
                            receive(&members[to].host, &datagram.bytes);
                        }
                    }
                }
            }
        }
    }

    /// Applies the fault to three hosts that add up groups, before they get the question or after they have
    /// sent the first part of the answer.
    fn strike(&self, from: usize, to: usize, bytes: &[u8]) {
        let Some((fault, tag)) = *self.fault.borrow() else {
            return;
        };
        let at = if tag == GROUP_ANSWER_TAG { from } else { to };
        let is_struck = self.struck.borrow().contains(&at);
        let is_full = self.struck.borrow().len() >= 3;
        if !bytes.starts_with(&[USAGE_TAG, tag]) || is_full || is_struck {
            return;
        }
        let mut answering = self.answering.borrow_mut();
        if tag == GROUP_ANSWER_TAG && !answering.contains(&at) {
            return answering.push(at);
        }
        self.struck.borrow_mut().push(at);
        if fault == Fault::Killed {
            return self.kill(at);
        }
        let member = &mut self.members.borrow_mut()[at];
        member.is_paused = fault == Fault::Paused;
        member.is_cut_off = fault == Fault::CutOff;
    }

    /// Starts, continues or connects hosts again.
    fn restore(&self, struck: &[usize]) {
        for at in struck {
            let is_up = self.members.borrow()[*at].is_up;
            if !is_up {
                self.restart(*at);
            }
            let member = &mut self.members.borrow_mut()[*at];
            member.is_paused = false;
            member.is_cut_off = false;
        }
    }

    /// Sends requests through random hosts for a time, 70 a second on average.
    async fn send_requests(self: &Rc<Self>, for_ms: u64) {
        let until = Instant::now() + tokio::time::Duration::from_millis(for_ms);
        while Instant::now() < until {
            wait_ms(2 + self.draw(self.size.gap_ms)).await;
            for _ in 0..self.size.burst {
                self.send_request();
            }
        }
    }

    fn send_request(&self) {
        let at = self.draw(self.size.hosts as u64) as usize;
        let members = self.members.borrow();
        if !members[at].is_up {
            return;
        }
        let host = Rc::clone(&members[at].host);
        let name = self.names[self.draw(self.names.len() as u64) as usize];
        let window = (true_ms() + 1) / WINDOW_MS;
        let mut truth = self.truth.borrow_mut();
        let counts = truth.entry(window).or_default();
        *counts.entry(name).or_default() += 1;
        spawn_local(async move { serve(&host, keyed(request(), name)).await });
    }

    /// Checks the reports of the windows that ended before `before_ms`: each is there, except those in
    /// `missing`, and its counts differ from the truth by at most `tolerance` and two requests.
    fn check(&self, tolerance: f64, most_missing: usize) {
        let ended = (true_ms() - DUE_MS) / WINDOW_MS;
        let reports = self.api.reports.borrow();
        let truth = self.truth.borrow();
        let mut missing = Vec::new();
        for (window, counts) in truth.range(..ended) {
            let Some((_, report)) = reports.get(window) else {
                missing.push(*window);
                continue;
            };
            for name in &self.names {
                let expected = counts.get(name).copied().unwrap_or(0);
                let reported = report.counts.get(*name).copied().unwrap_or(0);
                let limit = 2.0 + expected as f64 * tolerance;
                assert!(
                    reported.abs_diff(expected) as f64 <= limit,
                    "window {window}: {name} {reported} of {expected}"
                );
            }
        }
        assert!(missing.len() <= most_missing, "missing {missing:?}");
        assert!(self.largest_datagram_bytes.get() <= 1_280);
    }

    /// Sends requests for a time and checks the traffic of all hosts meanwhile.
    async fn check_traffic(self: &Rc<Self>, for_ms: u64) {
        self.received_bytes.borrow_mut().fill(0);
        self.sent_bytes.borrow_mut().fill(0);
        self.send_requests(for_ms).await;
        let holder = self.holder().expect("a holder");
        let directions = [
            ("received", &self.received_bytes),
            ("sent", &self.sent_bytes),
        ];
        for (what, bytes) in directions {
            let bytes = bytes.borrow();
            let per_s = |bytes: u64| bytes * 1_000 / for_ms;
            let largest = per_s(*bytes.iter().max().expect("hosts"));
            let mean = per_s(bytes.iter().sum::<u64>()) / bytes.len() as u64;
            let of_holder = per_s(bytes[holder]);
            println!("{what}: holder {of_holder} bytes/s, largest {largest}, mean {mean}");
            assert!(largest <= 10_000, "{what} {largest} bytes/s");
        }
    }

    /// Longest time from the end of a window to its report.
    fn latest_ms(&self) -> u64 {
        let reports = self.api.reports.borrow();
        let late = reports
            .iter()
            .map(|(window, (at_ms, _))| at_ms - (window + 1) * WINDOW_MS);
        late.max().expect("reports")
    }
}

fn address(number: usize) -> SocketAddr {
    let [high, low] = (number as u16 + 1).to_be_bytes();
    SocketAddr::from(([10, 9, high, low], 7_000))
}

fn zone(size: Size, number: usize) -> &'static str {
    if size.has_five_zones {
        ["a", "b", "c", "d", "e"][number % 5]
    } else if number < 4 {
        "a"
    } else {
        "b"
    }
}

/// A request counts once if it ran or may have run, and never if it did not.
#[test]
fn serve_counted_once() {
    let ok = || Step::Respond(200, vec![Chunk::Bytes(0, "ok")]);
    let broken = || Step::Fault(CallFault::Broken("reset".to_owned()));
    let not_run = || Step::Fault(CallFault::NotRun { status: 503 });
    let unsent = || Step::Fault(CallFault::NotSent("refused".to_owned()));
    let events = || Step::Respond(200, vec![Chunk::Bytes(5, "id: 1\ndata: a\n\n")]);
    let cut = || {
        Step::Respond(
            200,
            vec![Chunk::Bytes(5, "id: 1\ndata: a\n\n"), Chunk::Broken(5)],
        )
    };
    let plain = RouteKind::Idempotent;
    let once = RouteKind::AtMostOnce;
    let stream = RouteKind::Stream { is_resumable: true };
    let cases: Vec<(&str, RouteKind, Vec<Step>, u64)> = vec![
        ("answered", plain, vec![ok()], 1),
        (
            "error of the back end",
            once,
            vec![Step::Respond(500, vec![])],
            1,
        ),
        ("two attempts", plain, vec![broken(), ok()], 1),
        ("unknown", once, vec![broken()], 1),
        ("not run", plain, vec![not_run(), not_run(), not_run()], 0),
        (
            "not sent",
            once,
            vec![unsent(), unsent(), unsent(), unsent()],
            0,
        ),
        ("deadline within the call", once, vec![Step::Hang], 1),
        ("stream", stream, vec![events()], 1),
        ("stream with two attempts", stream, vec![cut(), events()], 1),
        (
            "stream without an event",
            stream,
            vec![not_run(), not_run(), not_run()],
            0,
        ),
        (
            "stream refused by an error",
            stream,
            vec![Step::Respond(400, vec![])],
            0,
        ),
        (
            "stream ended by an error of the engine",
            stream,
            vec![Step::Respond(500, vec![])],
            1,
        ),
        (
            "stream not completed by the engine in time",
            stream,
            vec![Step::Respond(504, vec![])],
            1,
        ),
        (
            "stream broken before its head",
            stream,
            vec![broken(), broken(), broken()],
            0,
        ),
    ];
    for (case, kind, steps, expected) in cases {
        run_virtual(async {
            let host = usage_host("entry-1", "a", kind, 1);
            // Both back ends follow one script, as a retry goes to the other one.
            for id in ["desk-1", "desk-2", "gen-1", "gen-2"] {
                host.backends.script(id, steps.clone());
            }
            let is_stream = matches!(kind, RouteKind::Stream { .. });
            let sent = if is_stream { generation() } else { request() };
            let reply = serve(&host, keyed(sent, "alder")).await;
            // The outcome of the body does not matter here.
            let _ = reply.body.collect().await;
            wait_ms(50).await;
            assert_eq!(host.metrics.usage_counted.get(), expected, "{case}");
        });
    }
}

/// A request that one back end refuses and another runs counts once.
#[test]
fn serve_counted_after_refusal() {
    let mut retried = 0;
    for seed in 1..=8 {
        run_virtual(async {
            let host = usage_host("entry-1", "a", RouteKind::Idempotent, seed);
            let refusal = Step::Fault(CallFault::NotRun { status: 503 });
            host.backends.script("desk-1", [refusal]);
            let reply = serve(&host, keyed(request(), "alder")).await;
            assert_eq!(reply.head.status.as_u16(), 200);
            assert_eq!(host.metrics.usage_counted.get(), 1);
            retried += host.backends.attempts().len() - 1;
        });
    }
    assert!(retried > 0);
}

/// A generation whose further attempt ends with an error of the engine counts, and only once.
#[test]
fn serve_counted_error_after_break() {
    let event = Chunk::Bytes(5, "id: 1\ndata: a\n\n");
    let mut retried = 0;
    for seed in 1..=8 {
        for before in [vec![], vec![event.clone()]] {
            run_virtual(async {
                let kind = RouteKind::Stream { is_resumable: true };
                let host = usage_host("entry-1", "a", kind, seed);
                let broken = [before, vec![Chunk::Broken(5)]].concat();
                host.backends.script("gen-1", [Step::Respond(200, broken)]);
                host.backends.script("gen-2", [Step::Respond(500, vec![])]);
                let reply = serve(&host, keyed(generation(), "alder")).await;
                let _ = reply.body.collect().await;
                assert_eq!(host.metrics.usage_counted.get(), 1);
                retried += host.backends.attempts().len() - 1;
            });
        }
    }
    assert!(retried > 0);
}

/// A caller that leaves does not undo that the request runs.
#[test]
fn serve_counted_after_caller_left() {
    run_virtual(async {
        let host = usage_host("entry-1", "a", RouteKind::AtMostOnce, 1);
        for id in ["desk-1", "desk-2"] {
            host.backends.script(id, [Step::Hang]);
        }
        let call = serve(&host, keyed(request(), "alder"));
        let limit = tokio::time::Duration::from_millis(100);
        assert!(tokio::time::timeout(limit, call).await.is_err());
        assert_eq!(host.metrics.usage_counted.get(), 1);
    });
}

#[test]
fn serve_public_not_counted() {
    run_virtual(async {
        let host = usage_host("entry-1", "a", RouteKind::Idempotent, 1);
        let public = Request {
            path_and_query: "/public/x".to_owned(),
            ..request()
        };
        let reply = serve(&host, public).await;
        assert_eq!(reply.head.status.as_u16(), 200);
        let refused = serve(&host, keyed(request(), "nobody")).await;
        assert_eq!(refused.head.status.as_u16(), 401);
        assert_eq!(host.metrics.usage_counted.get(), 0);
    });
}

/// Deployments without organisations must send no datagrams for usage.
#[test]
fn outgoing_datagrams_without_organisations() {
    run_virtual(async {
        let host = usage_host("entry-1", "a", RouteKind::Idempotent, 1);
        let mut config = (*host.config().expect("a configuration")).clone();
        config.organisations = Organisations::default();
        config.version += 1;
        host.set_config(config);
        wait_ms(2_000).await;
        assert!(outgoing_datagrams(&host).is_empty());
    });
}

/// Requests that cannot be assigned to a window must not vanish silently.
#[test]
fn report_usage_dropped_counted() {
    run_virtual(async {
        let fleet = Fleet::spawn(0, 1);
        for member in fleet.members.borrow().iter() {
            let usage = member.host.usage.as_ref().expect("usage is reported");
            // A wall clock at the start of 1970, which then falls behind the boot clock.
            usage.set_wall_clock(|| 0);
        }
        fleet.send_requests(10_000).await;
        wait_ms(1_000).await;
        let members = fleet.members.borrow();
        let dropped = |m: &Member| m.host.metrics.usage_dropped.get();
        assert!(members.iter().map(dropped).sum::<u64>() > 0);
        let counted = |m: &Member| m.host.metrics.usage_counted.get();
        assert!(members.iter().all(|m| dropped(m) <= counted(m)));
    });
}

#[test]
fn report_usage_each_window_once() {
    run_virtual(async {
        let fleet = Fleet::spawn(0, 1);
        fleet.send_requests(60_000).await;
        wait_ms(12_000).await;
        fleet.check(0.01, 0);
        assert!(fleet.latest_ms() < DUE_MS, "{} ms", fleet.latest_ms());
        let reports = fleet.api.reports.borrow();
        let reported: u64 = reports.values().flat_map(|(_, r)| r.counts.values()).sum();
        let truth = fleet.truth.borrow();
        let sent: u64 = truth.values().flat_map(BTreeMap::values).sum();
        assert_eq!(reported, sent);
        // One call for each window, and windows without requests are reported as well.
        assert_eq!(fleet.api.calls.get(), reports.len() as u64);
        let windows: Vec<u64> = reports.keys().copied().collect();
        let all: Vec<u64> = (windows[0]..windows[0] + windows.len() as u64).collect();
        assert_eq!(windows, all);
    });
}

/// Calls to the store must grow with the windows, not with the requests.
#[test]
fn report_usage_store_calls() {
    let calls = |for_ms: u64, has_organisations: bool| {
        run_virtual(async {
            let fleet = Fleet::spawn(0, 1);
            if !has_organisations {
                for member in fleet.members.borrow().iter() {
                    let mut config = (*member.host.config().expect("a configuration")).clone();
                    config.organisations = Organisations::default();
                    config.version += 1;
                    member.host.set_config(config);
                }
            }
            fleet.send_requests(for_ms).await;
            wait_ms(4_000).await;
            fleet.store.calls.get()
        })
    };
    let more = calls(60_000, true) - calls(60_000, false);
    // A write for each of 12 windows, and a read at the start.
    assert!((12..=15).contains(&more), "{more} calls");
}

#[test]
fn report_usage_stepped_clocks() {
    run_virtual(async {
        let fleet = Fleet::spawn(2, 3);
        fleet.send_requests(12_000).await;
        for (at, error_ms) in [(1, 4_000), (4, 4_500)] {
            fleet.members.borrow()[at].clock_error_ms.set(error_ms);
        }
        fleet.send_requests(30_000).await;
        // A process that starts with a wrong clock counts like the others, too.
        fleet.kill(4);
        wait_ms(500).await;
        fleet.restart(4);
        fleet.send_requests(30_000).await;
        wait_ms(14_000).await;
        fleet.check(0.05, 0);
    });
}

#[test]
fn report_usage_hosts_killed() {
    for seed in 1..=6 {
        run_virtual(async {
            let fleet = Fleet::spawn(5, seed);
            fleet.send_requests(12_000).await;
            for _ in 0..5 {
                let any = fleet.draw(HOSTS as u64) as usize;
                let at = fleet.holder().filter(|_| fleet.draw(2) == 0).unwrap_or(any);
                fleet.kill(at);
                fleet.send_requests(fleet.draw(5_000)).await;
                fleet.restart(at);
                fleet.send_requests(12_000).await;
            }
            wait_ms(20_000).await;
            // A seventh of the requests of half a second, of five, may be lost with a host.
            fleet.check(0.05, 0);
        });
    }
}

/// Hosts that go away for good must not end the reports.
#[test]
fn report_usage_hosts_gone() {
    run_virtual(async {
        let fleet = Fleet::spawn(0, 5);
        fleet.send_requests(15_000).await;
        let holder = fleet.holder().expect("a holder");
        let mut others = (0..HOSTS).filter(|at| *at != holder);
        for at in others.by_ref().take(2) {
            fleet.kill(at);
        }
        fleet.send_requests(20_000).await;
        wait_ms(14_000).await;
        fleet.check(0.05, 0);
        assert!(fleet.latest_ms() < DUE_MS, "{} ms", fleet.latest_ms());
        // Without a majority reports wait until the hosts were silent for 20 s.
        for at in others.take(3) {
            fleet.kill(at);
        }
        fleet.send_requests(20_000).await;
        wait_ms(25_000).await;
        let reports = fleet.api.reports.borrow();
        let truth = fleet.truth.borrow();
        assert!(truth.keys().all(|window| reports.contains_key(window)));
    });
}

#[test]
fn report_usage_store_away() {
    for mode in [StoreMode::Refusing, StoreMode::Unresponsive] {
        run_virtual(async {
            let fleet = Fleet::spawn(0, 7);
            fleet.send_requests(15_000).await;
            fleet.store.set_mode(mode);
            fleet.send_requests(20_000).await;
            fleet.store.set_mode(StoreMode::Up);
            fleet.send_requests(15_000).await;
            wait_ms(20_000).await;
            fleet.check(0.01, 0);
        });
    }
}

#[test]
fn report_usage_control_api_away() {
    for mode in [ApiMode::Away, ApiMode::Late(700), ApiMode::Late(9_000)] {
        run_virtual(async {
            let fleet = Fleet::spawn(0, 9);
            fleet.send_requests(15_000).await;
            fleet.api.mode.set(mode);
            fleet.send_requests(20_000).await;
            // Calls of this holder may be carried out after those of its successor.
            let holder = fleet.holder().expect("a holder");
            fleet.kill(holder);
            fleet.send_requests(12_000).await;
            fleet.api.mode.set(ApiMode::Ordinary);
            fleet.restart(holder);
            fleet.send_requests(10_000).await;
            wait_ms(25_000).await;
            fleet.check(0.05, 0);
        });
    }
}

/// Restores an older copy of the store `after_ms` into the test, and checks that each window is reported.
fn restore_store(after_ms: u64, is_holder_lost: bool) {
    run_virtual(async {
        let fleet = Fleet::spawn(0, 11);
        fleet.send_requests(15_000).await;
        fleet.store.save_copy();
        fleet.send_requests(12_000 + after_ms).await;
        let holder = fleet.holder().expect("a holder");
        fleet.store.restore();
        if is_holder_lost {
            fleet.kill(holder);
        }
        fleet.send_requests(20_000).await;
        wait_ms(20_000).await;
        fleet.check(0.05, 0);
    });
}

/// A restore brings back an older copy, with and without the loss of the holder.
#[test]
fn report_usage_store_restored() {
    for is_holder_lost in [false, true] {
        for after_ms in [0, 700, 1_400, 1_843, 2_100, 2_800, 3_500, 4_200] {
            restore_store(after_ms, is_holder_lost);
        }
    }
}

/// A report must survive a restore between the announcement of its window and its first call, which takes
/// some 10 ms in this time.
#[test]
fn report_usage_store_restored_before_call() {
    for is_holder_lost in [false, true] {
        for after_ms in (1_780..1_900).step_by(8) {
            restore_store(after_ms, is_holder_lost);
        }
    }
}

/// A holder that the other hosts cannot reach must not lead to a second report.
#[test]
fn report_usage_holder_cut_off() {
    run_virtual(async {
        let fleet = Fleet::spawn(0, 13);
        fleet.send_requests(15_000).await;
        let holder = fleet.holder().expect("a holder");
        fleet.members.borrow_mut()[holder].is_cut_off = true;
        fleet.send_requests(12_000).await;
        fleet.kill(holder);
        fleet.send_requests(15_000).await;
        wait_ms(20_000).await;
        let reports = fleet.api.reports.borrow();
        let truth = fleet.truth.borrow();
        assert!(truth.keys().all(|window| reports.contains_key(window)));
    });
}

/// No host of a large fleet, the holder included, may send or receive more than 10 KB/s, and the counts are
/// exact.
#[test]
fn report_usage_traffic_large_fleet() {
    run_virtual(async {
        let fleet = Fleet::spawn_sized(LARGE, 0, 1);
        fleet.send_requests(10_000).await;
        fleet.check_traffic(20_000).await;
        wait_ms(12_000).await;
        // A burst at the boundary of two windows may count in either.
        fleet.check(0.05, 0);
        let reports = fleet.api.reports.borrow();
        let reported: u64 = reports.values().flat_map(|(_, r)| r.counts.values()).sum();
        let truth = fleet.truth.borrow();
        let sent: u64 = truth.values().flat_map(BTreeMap::values).sum();
        assert_eq!(reported, sent);
    });
}

/// Hosts that are gone and still listed, for whose counts others are asked, must not lead to more traffic.
#[test]
fn report_usage_traffic_hosts_gone() {
    run_virtual(async {
        let fleet = Fleet::spawn_sized(LARGE, 0, 2);
        fleet.send_requests(8_000).await;
        let holder = fleet.holder().expect("a holder");
        for at in (0..LARGE.hosts).filter(|at| *at != holder).step_by(70) {
            fleet.kill(at);
        }
        fleet.send_requests(2_000).await;
        fleet.check_traffic(15_000).await;
        wait_ms(12_000).await;
        fleet.check(0.05, 0);
    });
}

/// Hosts that add up a group and are lost meanwhile must neither lose nor double its counts.
#[test]
fn report_usage_aggregators_lost() {
    for fault in [Fault::Killed, Fault::Paused, Fault::CutOff] {
        for is_answering in [false, true] {
            run_virtual(async {
                let fleet = Fleet::spawn_sized(MEDIUM, 1, 1);
                fleet.send_requests(16_000).await;
                let tag = if is_answering {
                    GROUP_ANSWER_TAG
                } else {
                    GROUP_QUESTION_TAG
                };
                *fleet.fault.borrow_mut() = Some((fault, tag));
                fleet.send_requests(5_000).await;
                *fleet.fault.borrow_mut() = None;
                let struck = fleet.struck.borrow().clone();
                assert_eq!(struck.len(), 3, "{fault:?}");
                fleet.send_requests(5_000).await;
                fleet.restore(&struck);
                fleet.send_requests(10_000).await;
                wait_ms(14_000).await;
                fleet.check(0.05, 0);
                let late_ms = fleet.latest_ms();
                assert!(late_ms < DUE_MS, "{fault:?}: {late_ms} ms");
            });
        }
    }
}
