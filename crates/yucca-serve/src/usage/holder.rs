//! Collects and reports the windows while this host holds the lease.

use std::rc::Rc;

use tokio::time::{Duration, sleep, timeout};
use yucca_io::log;
use yuccacove::event::Event;
use yuccacove::fleet_rate::HostId;
use yuccacove::usage_copies::ReportCopy;
use yuccacove::usage_window::{Action, CallOutcome, Report, Reporter, Reports, Term, WriteOutcome};

use super::inquiry::Inquiry;
use super::{HostUsage, MAX_WINDOWS, REPORTS_NAME, RETAINED_WINDOWS};
use crate::host::{Host, UsageTiming};
use crate::ports::{
    CallFault, ControlApi, DutyHolder, DutyReply, Freshness, Kind, ObjectStore, UsageReport,
};
use crate::revision::era_of;
use crate::roles::RoleLease;

/// Time after the end of a window until it is collected. Requests are counted by then.
const SETTLE_MS: u64 = 1_200;
/// Time after the end of a window at which the holder goes on with what it has.
const COLLECT_LIMIT_MS: u64 = 5_000;
/// Share of the control API's calls that reports may use.
const DUTY_SHARE: f64 = 0.2;
/// Pause after a failed call to the store.
const STORE_RETRY: Duration = Duration::from_millis(500);
/// Interval of the holder's steps.
const STEP: Duration = Duration::from_millis(50);

/// Reports usage while this host holds the lease and the configuration has organisations, for as long as
/// the process lives. Does nothing if no reports are due.
pub async fn report_usage<B, S: ObjectStore, C: ControlApi>(
    host: Rc<Host<B>>,
    lease: Rc<RoleLease>,
    store: Rc<S>,
    control_api: Rc<C>,
) {
    let Some(usage) = &host.usage else {
        return;
    };
    let mut holder = Holder {
        usage,
        host: &host,
        lease: &lease,
        store: &*store,
        control_api: &*control_api,
        reporter: Reporter::default(),
        next_call_ms: 0,
        skipped: None,
    };
    loop {
        // A timeout and a notification lead to the same next step.
        let _ = timeout(STEP, usage.answered.notified()).await;
        holder.step().await;
    }
}

struct Holder<'a, B, S, C> {
    usage: &'a HostUsage,
    host: &'a Host<B>,
    lease: &'a RoleLease,
    store: &'a S,
    control_api: &'a C,
    reporter: Reporter,
    next_call_ms: u64,
    /// Last window that was skipped with a log line.
    skipped: Option<u64>,
}

impl<B, S: ObjectStore, C: ControlApi> Holder<'_, B, S, C> {
    /// Returns the authority at this moment.
    fn term(&self) -> Option<Term> {
        if !self.host.has_organisations() {
            return None;
        }
        let authority = self.lease.authority()?;
        Some(Term {
            epoch: authority.epoch,
            era: self.store.era(),
        })
    }

    /// Checks the authority again, which must not be older than the step that follows.
    fn refresh_term(&mut self) -> Option<Term> {
        let term = self.term();
        self.reporter.set_term(term);
        let mut inquiry = self.usage.inquiry.borrow_mut();
        if inquiry.as_ref().map(|inquiry| inquiry.term) != term {
            let now_ms = self.host.clock.now_ms();
            *inquiry = term.map(|term| Inquiry::new(term, now_ms));
        }
        term
    }

    async fn step(&mut self) {
        let others = self.host.peers.ids();
        let now_ms = self.host.clock.now_ms();
        self.usage.update(others.len(), now_ms);
        let dropped = self.usage.take_dropped();
        if dropped > 0 {
            self.host.metrics.usage_dropped.inc_by(dropped);
            log::write(Event::UsageDropped, &format!("requests={dropped}"));
        }
        let term = self.refresh_term();
        let pending = i64::try_from(self.reporter.pending()).unwrap_or(i64::MAX);
        self.host.metrics.usage_pending.set(pending);
        let (Some(term), Some(true_ms)) = (term, self.usage.true_ms(others.len(), now_ms)) else {
            return;
        };
        self.collect(&others, now_ms, true_ms);
        let next = self.reporter.next(now_ms);
        match next {
            Action::Call(_) if now_ms < self.next_call_ms => {}
            Action::Wait => {}
            Action::Read => self.read(term).await,
            Action::Write { expected, value } => self.write(term, expected, value).await,
            Action::Name(report) => self.name(&others, term, report, now_ms),
            Action::Call(report) => self.call(term, report).await,
        }
        if let Some(inquiry) = &mut *self.usage.inquiry.borrow_mut() {
            inquiry.advance(self.host.clock.now_ms());
            if inquiry.is_due {
                self.host.peer_updates.notify_one();
            }
        }
    }

    /// Asks for the windows that have ended, and composes their reports from the answers.
    fn collect(&mut self, others: &[HostId], now_ms: u64, true_ms: u64) {
        let mut inquiry = self.usage.inquiry.borrow_mut();
        let Some(inquiry) = &mut *inquiry else {
            return;
        };
        let window_ms = self.usage.timing.window_ms;
        if !self.reporter.is_informed() {
            if inquiry.is_complete(others, false, now_ms) {
                let state = self.usage.state.borrow();
                let own = state.remembered;
                self.reporter.record_remembered(inquiry.remembered.max(own));
                let oldest = state.tally.windows().next();
                inquiry.oldest = [inquiry.oldest, oldest].into_iter().flatten().min();
                inquiry.end();
            }
            return;
        }
        if let Some((first, last)) = self.reporter.lost_windows() {
            let survey = inquiry.survey(first, last, now_ms);
            let answered = survey.answered();
            let is_late = survey.is_late(now_ms);
            let mut copies = survey.copies.clone();
            let is_answered = others.iter().all(|id| answered.contains(id));
            if is_answered || is_late && inquiry.majority.is_heard(others, &answered, now_ms) {
                copies.merge(&self.usage.state.borrow().copies);
                self.reporter.record_copies(copies.valid());
                inquiry.end_survey();
            }
            return;
        }
        if inquiry.windows > 0 {
            let last = inquiry.first + inquiry.windows - 1;
            let is_late = true_ms >= (last + 1) * window_ms + COLLECT_LIMIT_MS;
            if inquiry.is_complete(others, is_late, now_ms) {
                let own = &self.usage.state.borrow().tally;
                for window in inquiry.first..=last {
                    let counts = inquiry.total(window, own);
                    self.reporter.compose(Report { window, counts });
                }
                inquiry.end();
            }
            return;
        }
        // The last window that has ended and settled.
        let ended = true_ms.saturating_sub(SETTLE_MS) / window_ms;
        let Some(ended) = ended.checked_sub(1) else {
            return;
        };
        let Some(next) = self.reporter.first_window(inquiry.oldest.unwrap_or(ended)) else {
            return;
        };
        for (first, last) in self.reporter.forgotten() {
            if self.skipped < Some(last) {
                self.skipped = Some(last);
                log_skipped(first, last, "store_restored");
            }
        }
        let oldest_kept = ended.saturating_sub(RETAINED_WINDOWS - 2);
        let first = next.max(oldest_kept);
        if first > next && self.skipped < Some(first - 1) {
            self.skipped = Some(first - 1);
            log_skipped(next, first - 1, "counts_gone");
        }
        if first <= ended {
            let windows = (ended - first + 1).min(MAX_WINDOWS);
            inquiry.ask(first, windows, now_ms);
        }
    }

    async fn read(&mut self, term: Term) {
        let read = self
            .store
            .read(Kind::Usage, REPORTS_NAME, Freshness::Latest)
            .await;
        if self.refresh_term() != Some(term) {
            return;
        }
        let object = match read {
            Ok(object) => object,
            Err(fault) => {
                let fields = format!("cause=store_read fault={fault:?}");
                log::write(Event::UsageUnreported, &fields);
                return sleep(STORE_RETRY).await;
            }
        };
        let object = object.filter(|object| !object.is_removed);
        if object
            .as_ref()
            .is_some_and(|o| era_of(o.revision) != term.era)
        {
            return;
        }
        let revision = object.as_ref().map(|object| object.revision);
        let reports = object.map(|object| decode(object.value));
        // What cannot be decoded may name windows that were reported: nothing is composed then.
        if reports == Some(None) {
            log::write(Event::UsageUnreported, "cause=malformed_object");
            return sleep(STORE_RETRY).await;
        }
        self.reporter.record_read(reports.flatten(), revision);
    }

    async fn write(&mut self, term: Term, expected: Option<u64>, reports: Reports) {
        let value = match serde_json::to_value(&reports) {
            Ok(value) => value,
            Err(fault) => {
                log::write(
                    Event::UsageUnreported,
                    &format!("cause=encode fault={fault}"),
                );
                return sleep(STORE_RETRY).await;
            }
        };
        if self.refresh_term() != Some(term) {
            return;
        }
        let written = self
            .store
            .write(Kind::Usage, REPORTS_NAME, expected, &value)
            .await;
        if self.refresh_term() != Some(term) {
            return;
        }
        let outcome = match written {
            Ok(revision) if era_of(revision) == term.era => WriteOutcome::Written(revision),
            Ok(_) => WriteOutcome::Unknown,
            Err(fault) => {
                let fields = format!("cause=store_write fault={fault:?}");
                log::write(Event::UsageUnreported, &fields);
                WriteOutcome::Unknown
            }
        };
        if let WriteOutcome::Written(revision) = outcome {
            let fields = format!(
                "highest={} pending={} revision={revision}",
                reports.highest.unwrap_or(0),
                reports.pending.len()
            );
            log::write(Event::UsageComposed, &fields);
        }
        self.reporter.record_write(reports, outcome);
    }

    fn name(&mut self, others: &[HostId], term: Term, report: Report, now_ms: u64) {
        let window = report.window;
        if let Some(inquiry) = &mut *self.usage.inquiry.borrow_mut() {
            inquiry.name(&report, now_ms);
            if inquiry.is_named(others, now_ms) {
                inquiry.naming = None;
                self.reporter.record_named(window);
            }
        }
        let mut state = self.usage.state.borrow_mut();
        state.remembered = state.remembered.max(Some(window));
        let epoch = term.epoch;
        state.copies.keep(ReportCopy { epoch, report });
    }

    async fn call(&mut self, term: Term, report: Report) {
        let holder = DutyHolder {
            host: self.host.deployment.name.clone(),
            fence: term.epoch,
        };
        let window = report.window;
        if self.refresh_term() != Some(term) {
            return;
        }
        self.reporter.begin_call(&report);
        let calls_per_s = (self.host.deployment.duty_per_s * DUTY_SHARE).max(0.1);
        self.next_call_ms = self.host.clock.now_ms() + (1_000.0 / calls_per_s) as u64;
        let report = UsageReport {
            window,
            counts: report.counts,
        };
        let reply = self.control_api.report_usage(&holder, &report).await;
        if self.refresh_term() != Some(term) {
            return;
        }
        let outcome = outcome(&reply);
        let now_ms = self.host.clock.now_ms();
        self.reporter.record_call(window, outcome, now_ms);
        let late_ms = self.late_ms(window, now_ms);
        let fields = format!(
            "window={window} fence={} organisations={} late_ms={late_ms} reply={reply:?}",
            term.epoch,
            report.counts.len()
        );
        if outcome == CallOutcome::Done {
            self.host.metrics.usage_reported.inc();
            if late_ms > 0 {
                self.host.metrics.usage_late.inc();
            }
            log::write(Event::UsageReported, &fields);
        } else {
            log::write(Event::UsageUnreported, &fields);
        }
    }

    /// Returns the time since the report of a window was due; 0 if it is not late.
    fn late_ms(&self, window: u64, now_ms: u64) -> u64 {
        let UsageTiming { window_ms, due_ms } = self.usage.timing;
        let due_ms = (window + 1) * window_ms + due_ms;
        let true_ms = self.usage.true_ms(self.host.peers.count(), now_ms);
        true_ms.unwrap_or(0).saturating_sub(due_ms)
    }
}

fn decode(value: Option<serde_json::Value>) -> Option<Reports> {
    serde_json::from_value(value?).ok()
}

fn log_skipped(first: u64, last: u64, cause: &str) {
    let fields = format!("first={first} last={last} cause={cause}");
    log::write(Event::UsageSkipped, &fields);
}

fn outcome(reply: &Result<DutyReply, CallFault>) -> CallOutcome {
    match reply {
        Ok(DutyReply::Done) => CallOutcome::Done,
        Ok(DutyReply::Conflict) => CallOutcome::Fenced,
        Ok(DutyReply::Refused(408 | 429 | 500..)) | Err(_) => CallOutcome::Failed,
        Ok(DutyReply::Refused(_)) => CallOutcome::Refused,
    }
}
