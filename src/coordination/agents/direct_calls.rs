//! Processes the results of direct calls to workers.
//!
//! A call carries commands for one session under one token. If a call has no answer, the
//! worker may execute a start in it at any later time. Until this is ruled out, the start's task
//! counts as placed on the machine; `scheduler::empty_proof` has the rule.

use super::reconciliation::ReportSource;
use crate::coordination::scheduler::empty_proof::EmptyProof;
use crate::coordination::scheduler::incarnation::CheckReason;
use crate::coordination::scheduler::job::{AttemptId, Name, TaskId};
use crate::coordination::scheduler::machine::{Machine, MachineStatus, MessageId};
use crate::coordination::scheduler::state::Scheduler;
use crate::protocol::worker::{Command, DirectCommands, Report};

/// How a direct call ended.
#[derive(Debug)]
pub enum CallResult {
    /// The worker executed the commands and reported its attempts.
    Executed(Report),
    /// The worker dropped the commands and reported its attempts.
    Rejected(Report),
    /// The call did not leave this process.
    NotSent,
    /// No answer arrived: the worker may have executed the commands, or may do so later.
    Unknown,
}

impl CallResult {
    fn report(&self) -> Option<&Report> {
        match self {
            CallResult::Executed(report) | CallResult::Rejected(report) => Some(report),
            CallResult::NotSent | CallResult::Unknown => None,
        }
    }
}

/// Detects that a machine has restarted its session numbering: its answer to a direct call has a
/// lower number than the newest message that was known when the call was made. That message was
/// then from an earlier incarnation of the machine. If the message and the answer have the same
/// session number, and no newer message has arrived since, the answer counts as the newer one.
/// (Guards against a heartbeat of an earlier incarnation that was delayed by a partition: it showed
/// an empty machine, so the machine's tasks were started elsewhere as well. Whether a newer message
/// has arrived is not told by the numbers: those of the present incarnation may have reached the
/// number that was known when the call was made.)
fn detect_numbering_restart(machine: &mut Machine, report: &Report) -> AnswerAge {
    let message = MessageId::of(report);
    if report.machine != machine.info.id || message >= machine.called_at_message {
        return AnswerAge::ByNumber;
    }
    if message.session == machine.last_message.session && !machine.heard_since_call {
        machine.last_message.seq = message.seq.saturating_sub(1);
        return AnswerAge::RestartedAndNewest;
    }
    AnswerAge::Restarted
}

/// How the answer to a direct call relates to the newest known message of its machine.
#[derive(Clone, Copy, PartialEq, Eq)]
enum AnswerAge {
    /// The numbers of both messages tell.
    ByNumber,
    /// The machine restarted its numbering, and the answer is newer than every known message.
    RestartedAndNewest,
    /// The machine restarted its numbering; which message is newer is not known.
    Restarted,
}

/// Records for each start in a finished call whether the worker may still execute it.
/// Commands that were not executed are sent again in the answer to the next heartbeat.
fn settle_starts(
    machine: &mut Machine,
    call: &DirectCommands,
    result: &CallResult,
    executed_unseen: bool,
    now: f64,
) {
    // A higher token seen in the meantime rules out a late execution, unless the machine may have
    // restarted since. A newer session does not: the machine may reach the same number again.
    let may_execute_later = machine.incarnation_check.is_some() || machine.seen_token <= call.token;
    for command in &call.commands {
        let Command::Start { task, attempt } = command else {
            continue;
        };
        let Some(task) = TaskId::parse(task) else {
            continue;
        };
        let Some(attempt) = machine.attempts.get_mut(&AttemptId::new(task, *attempt)) else {
            continue;
        };
        attempt.call_in_flight = false;
        if !matches!(result, CallResult::NotSent) {
            attempt.called_with_token = attempt.called_with_token.max(Some(call.token));
        }
        let unresolved =
            matches!(result, CallResult::Unknown) || executed_unseen && attempt.phase.is_none();
        if unresolved && may_execute_later {
            attempt.unresolved_call = Some((call.token, now));
        }
    }
}

impl Scheduler {
    /// Processes the result of a direct call to the machine.
    pub fn direct_call_finished(
        &mut self,
        name: &Name,
        call: &DirectCommands,
        result: CallResult,
        now: f64,
    ) {
        self.advance_clock(now);
        let rejected = matches!(result, CallResult::Rejected(_));
        self.messages.rejected_calls += u64::from(rejected);
        if !matches!(result, CallResult::NotSent | CallResult::Rejected(_)) {
            self.machines_with_unresolved_starts.insert(name.clone());
        }
        let Some(machine) = self.machines.get_mut(name) else {
            return;
        };
        machine.call_in_flight = false;
        let answer_age = match result.report() {
            Some(report) => detect_numbering_restart(machine, report),
            None => {
                machine.unanswered_calls += 1;
                AnswerAge::ByNumber
            }
        };
        if answer_age != AnswerAge::ByNumber {
            self.begin_incarnation_check(name, CheckReason::NumberingMismatch, now);
        }
        let current_report = result.report().filter(|report| {
            report.machine == **name && self.is_current_answer(name, report, answer_age, now)
        });
        // If the worker executed the call, but its answer cannot be used or the machine restarted its
        // numbering, it is not known in which incarnation the worker did so, nor whether the tasks
        // run.
        let is_ambiguous = current_report.is_none() || answer_age != AnswerAge::ByNumber;
        let executed_unseen = matches!(result, CallResult::Executed(_)) && is_ambiguous;
        if let Some(machine) = self.machines.get_mut(name) {
            settle_starts(machine, call, &result, executed_unseen, now);
        }
        if let Some(report) = current_report {
            self.reconcile_report(name, report, ReportSource::DirectCall, now);
        }
        self.remove_unstarted(name);
        self.release_deferred_attempts(name);
        self.remove_ruled_out_by_expiry(name);
    }

    /// Whether the answer to a direct call is newer than every known message of its machine, and
    /// shows its present incarnation.
    fn is_current_answer(
        &self,
        name: &Name,
        report: &Report,
        answer_age: AnswerAge,
        now: f64,
    ) -> bool {
        let Some(machine) = self.machines.get(name) else {
            return false;
        };
        if machine.passes_incarnation_check(report) {
            return true;
        }
        if machine.status == MachineStatus::Expired {
            // Without a check, a new session readmits the machine by its own heartbeat.
            return false;
        }
        let early = machine.is_early_session(report.session, self.config.lease_s, now);
        let newer = MessageId::of(report) > machine.last_message
            && report.token >= machine.seen_token
            && !machine.may_precede_check(report.session, report.token)
            && !early;
        let is_known_incarnation =
            machine.incarnation_check.is_none() || answer_age == AnswerAge::RestartedAndNewest;
        newer && is_known_incarnation
    }

    /// After the machine's lease expired, removes the attempts whose start turned out not to have
    /// been executed.
    fn remove_ruled_out_by_expiry(&mut self, name: &Name) {
        let proof = EmptyProof::LeasesEnded;
        let any_ruled_out = self.machines.get(name).is_some_and(|machine| {
            let mut attempts = machine.attempts.values();
            machine.status == MachineStatus::Expired
                && attempts.any(|attempt| proof.rules_out(machine, attempt))
        });
        if any_ruled_out {
            self.clear_machine(name, proof);
        }
    }

    /// Removes attempts that are to be stopped and that no message has shown, once the worker can
    /// no longer execute a start of them (see `scheduler::empty_proof`).
    pub fn remove_unstarted(&mut self, name: &Name) {
        let Some(machine) = self.machines.get(name) else {
            return;
        };
        let gone: Vec<AttemptId> = machine
            .attempts
            .iter()
            .filter(|(_, attempt)| {
                let may_start =
                    attempt.is_in_flight() || attempt.has_open_start(machine.seen_token);
                attempt.phase.is_none() && attempt.stop_grace_s.is_some() && !may_start
            })
            .map(|(key, _)| key.clone())
            .collect();
        for key in &gone {
            self.remove_attempt(name, key);
        }
        if !gone.is_empty() {
            self.update_capacity(name);
        }
    }
}
