//! Reconciles a worker's report with the leader's state of its machine.
//!
//! A report lists all attempts that the worker has. An attempt that is not listed is not on
//! the machine, unless a command that starts it may still be in flight. Whether the report
//! shows the effects of our earlier answers is evidence of whether answers reach the machine
//! (see `scheduler::delivery`).

use super::task_reconciliation::ShownTask;
use crate::coordination::scheduler::delivery::{Evidence, EvidenceSummary};
use crate::coordination::scheduler::empty_proof::EmptyProof;
use crate::coordination::scheduler::job::{AttemptId, Name, TaskId};
use crate::coordination::scheduler::machine::{Attempt, Machine, MachineStatus, MessageId};
use crate::coordination::scheduler::resources::Resources;
use crate::coordination::scheduler::state::Scheduler;
use crate::protocol::worker::{AttemptStatus, Phase, Report};

/// How a report reached the leader.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum ReportSource {
    /// A heartbeat of the worker; our answer renews its lease.
    Heartbeat,
    /// The answer to a direct call.
    DirectCall,
}

/// How a report's session relates to the machine's sessions known so far.
#[derive(Clone, Copy, PartialEq, Eq)]
enum SessionChange {
    /// The known session.
    Same,
    /// The machine's first known session.
    First,
    /// A later session of the same incarnation: the previous one has ended, and all its tasks were
    /// killed.
    Later,
    /// A session other than the known one, whatever its number: the machine passed an incarnation
    /// check, and the known session has ended.
    OtherIncarnation,
}

impl SessionChange {
    fn of(report: &Report, machine: &Machine) -> SessionChange {
        let passed_check = machine.passes_incarnation_check(report);
        let expired = machine.status == MachineStatus::Expired;
        let same_session = report.session == machine.last_message.session;
        let newer = MessageId::of(report) > machine.last_message;
        if machine.last_message == MessageId::NONE {
            SessionChange::First
        } else if passed_check && (expired || !same_session || !newer) {
            SessionChange::OtherIncarnation
        } else if report.session > machine.last_message.session {
            SessionChange::Later
        } else {
            SessionChange::Same
        }
    }

    /// What the change proves of the attempts that the report does not list.
    fn proof(self) -> Option<EmptyProof> {
        match self {
            SessionChange::Same | SessionChange::First => None,
            SessionChange::Later => Some(EmptyProof::LaterSession),
            SessionChange::OtherIncarnation => Some(EmptyProof::IncarnationChecked),
        }
    }
}

/// Adds the evidence on the delivery of our earlier answers that the heartbeat's token,
/// arrival time and session give. A session that ended unexpectedly is evidence only if
/// `ended_session_counts`. The heartbeat's tasks are evaluated separately.
fn note_heartbeat_evidence(
    machine: &mut Machine,
    report: &Report,
    ended_session_counts: bool,
    now: f64,
    evidence: &mut EvidenceSummary,
) {
    let highest_sent_token = machine.delivery.highest_sent_token;
    if report.token < highest_sent_token {
        evidence.add(Evidence::Undelivered);
    } else if machine.seen_token < highest_sent_token {
        evidence.add(Evidence::Delivered);
    }
    machine
        .delivery
        .record_heartbeat_interval(now - machine.heard_at);
    let newer_session = report.session > machine.last_message.session;
    if newer_session && machine.delivery.record_session_end() && ended_session_counts {
        evidence.add(Evidence::Undelivered);
    }
}

/// Records the report's session, sequence number, token and termination notice. Closes the
/// incarnation check if the report shows its token.
fn record_message(machine: &mut Machine, report: &Report, session: SessionChange, now: f64) {
    machine.heard_at = now;
    machine.heard_since_call = true;
    let passed_check = machine.passes_incarnation_check(report);
    if passed_check {
        machine.incarnation_check = None;
        machine.passed_check_token = Some(report.token);
    }
    machine.unanswered_calls = 0;
    machine.unchanged_task_list = None;
    // The machine may have restarted at any time before it passed the check, with the same session
    // number, and its present session has a lease of its own.
    if passed_check || session != SessionChange::Same {
        machine.session_seen_at = now;
    }
    if session != SessionChange::Same {
        machine.in_order_at = now;
    }
    machine.last_message = MessageId::of(report);
    machine.seen_token = machine.seen_token.max(report.token);
    machine.notice_at = report.notice_s.map(|s| now + s);
}

/// Adds the evidence on the delivery of our answers that follows from the presence or
/// absence of this attempt in the machine's newest message. `shown` is true if the message lists
/// the attempt. Clears the attempt's unresolved call if the message proves that the worker can no
/// longer execute that call.
fn settle_commands(
    attempt: &mut Attempt,
    shown: bool,
    source: ReportSource,
    seen_token: u64,
    evidence: &mut EvidenceSummary,
) {
    // The worker executed or dropped the answers to earlier heartbeats before it sent this
    // heartbeat. The answer to a direct call proves nothing about earlier answers.
    if source == ReportSource::Heartbeat && attempt.sent_in_reply_to.take().is_some() {
        evidence.add(if shown {
            Evidence::Delivered
        } else {
            Evidence::Undelivered
        });
    }
    if attempt.end_command_sent && !shown {
        evidence.add(Evidence::Delivered);
    }
    if attempt
        .unresolved_call
        .is_some_and(|(token, _)| token < seen_token)
    {
        attempt.unresolved_call = None;
    }
}

/// Settles the commands to all attempts of the machine. Returns the attempts that are gone:
/// the newest message does not list them, and the worker can no longer execute a start of them.
fn settle_attempts(
    machine: &mut Machine,
    source: ReportSource,
    evidence: &mut EvidenceSummary,
) -> Vec<AttemptId> {
    let mut gone = Vec::new();
    for (key, attempt) in &mut machine.attempts {
        let shown = attempt.last_shown == machine.last_message;
        settle_commands(attempt, shown, source, machine.seen_token, evidence);
        let shown_before = attempt.phase.is_some();
        let unwanted = attempt.stop_grace_s.is_some() || !machine.recorded;
        let may_start = attempt.is_in_flight() || attempt.has_open_start(machine.seen_token);
        if !shown && !may_start && (shown_before || unwanted) {
            gone.push(key.clone());
        }
    }
    gone
}

impl Scheduler {
    /// Reconciles a report that is newer than every known message of its machine.
    pub(crate) fn reconcile_report(
        &mut self,
        name: &Name,
        report: &Report,
        source: ReportSource,
        now: f64,
    ) {
        // A session that ended while this process was paused is no evidence on delivery.
        let listening_steadily = now - self.receiving_since(now) > self.config.lease_s;
        let Some(machine) = self.machines.get_mut(name) else {
            return;
        };
        let session = SessionChange::of(report, machine);
        let mut evidence = EvidenceSummary::default();
        match source {
            ReportSource::DirectCall => evidence.add(Evidence::Delivered),
            ReportSource::Heartbeat => {
                let ended_session_counts = session.proof().is_some() && listening_steadily;
                note_heartbeat_evidence(machine, report, ended_session_counts, now, &mut evidence);
            }
        }
        record_message(machine, report, session, now);
        self.record_fencing_and_address(name, report, now);
        if let Some(proof) = session.proof() {
            // The worker killed all tasks of the old session and drops commands to it.
            tracing::info!(machine = %name, session = report.session, ?proof, "new session");
            self.clear_machine(name, proof);
        }
        self.readmit_expired(name);
        self.reconcile_tasks(name, report, now, &mut evidence);
        self.remove_gone_attempts(name, source, &mut evidence);
        self.conclude_delivery(name, &evidence, now);
        self.update_capacity(name);
    }

    /// Records the machine's address. Also records the machine as fenced if it has seen our term:
    /// from then on the machine drops the answers and calls of all former leaders.
    fn record_fencing_and_address(&mut self, name: &Name, report: &Report, now: f64) {
        let Some(machine) = self.machines.get_mut(name) else {
            return;
        };
        if report.token >= self.fence.base_term && !machine.fenced {
            machine.fenced = true;
            machine.fenced_at = now;
            self.placement_due = true;
        }
        if machine.info.addr != report.addr {
            machine.info.addr = report.addr.clone();
            self.machine_record_dirty = true;
        }
    }

    /// Reconciles the report's tasks one by one. Live attempts of unknown jobs block
    /// placement until they are gone.
    fn reconcile_tasks(
        &mut self,
        name: &Name,
        report: &Report,
        now: f64,
        evidence: &mut EvidenceSummary,
    ) {
        self.work.record_report(report.tasks.len());
        let mut unknown_attempts = 0;
        for entry in &report.tasks {
            let Some(shown) = self.shown_task(entry) else {
                continue;
            };
            if shown.resources.is_none() && shown.phase != Phase::Exited {
                unknown_attempts += 1;
            }
            evidence.add(self.reconcile_task(name, &shown, now));
        }
        if let Some(machine) = self.machines.get_mut(name) {
            machine.unknown_attempts = unknown_attempts;
        }
        if unknown_attempts > 0 {
            self.unfenced.insert(name.clone());
        }
    }

    /// Combines a report's entry with the resources that a task of its job takes. Returns `None` if
    /// the task's name does not parse.
    fn shown_task(&self, entry: &AttemptStatus) -> Option<ShownTask> {
        let (job, index) = TaskId::split(&entry.task)?;
        let known = self.jobs.get_key_value(job);
        let resources = known
            .filter(|(_, job)| index < job.spec.tasks)
            .map(|(_, job)| Resources::of_task(&job.spec));
        let job = known.map_or_else(|| job.into(), |(name, _)| name.clone());
        Some(ShownTask {
            attempt: AttemptId::new(TaskId { index, job }, entry.attempt),
            phase: entry.phase,
            cause: entry.cause,
            resources,
        })
    }

    /// Removes the attempts that the newest message proves gone.
    fn remove_gone_attempts(
        &mut self,
        name: &Name,
        source: ReportSource,
        evidence: &mut EvidenceSummary,
    ) {
        let Some(machine) = self.machines.get_mut(name) else {
            return;
        };
        for key in settle_attempts(machine, source, evidence) {
            self.remove_attempt(name, &key);
        }
        self.release_deferred_attempts(name);
    }

    /// Releases the exited attempts whose release waited until their start was not open any more.
    pub(super) fn release_deferred_attempts(&mut self, name: &Name) {
        let Some(machine) = self.machines.get_mut(name) else {
            return;
        };
        let seen_token = machine.seen_token;
        let attempts = machine.attempts.iter_mut();
        let due: Vec<AttemptId> = attempts
            .filter_map(|(key, attempt)| {
                let due = attempt.take_deferred_release(seen_token);
                due.then(|| key.clone())
            })
            .collect();
        for key in due {
            self.release_attempt(&key);
        }
    }

    /// Updates the machine's delivery state with the evidence of one message. A machine with
    /// doubtful delivery gets no new tasks.
    fn conclude_delivery(&mut self, name: &Name, evidence: &EvidenceSummary, now: f64) {
        let Some(machine) = self.machines.get_mut(name) else {
            return;
        };
        if !machine.attempts.is_empty() {
            machine.idle_since = now;
        }
        let doubted_before = machine.delivery.is_doubtful();
        machine.delivery.record_evidence(evidence.conclusion(), now);
        let doubted = machine.delivery.is_doubtful();
        if doubted != doubted_before {
            tracing::info!(
                machine = %name,
                doubted,
                "delivery of answers to machine became doubtful or was confirmed"
            );
            self.machines_with_doubtful_delivery.insert(name.clone());
            self.placement_due = true;
        }
    }

    /// Removes an attempt from its machine; the caller updates the machine's capacity
    /// afterwards.
    pub(crate) fn remove_attempt(&mut self, name: &Name, key: &AttemptId) {
        let mut removed = None;
        if let Some(machine) = self.machines.get_mut(name) {
            removed = machine.attempts.remove(key);
            machine.unchanged_task_list = None;
            machine.idle_since = self.now;
        }
        if let Some(mut attempt) = removed {
            self.uncount_running(key, &mut attempt);
        }
        self.release_attempt(key);
    }
}
