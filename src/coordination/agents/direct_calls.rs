//! Direct calls to workers: what their results say of a machine.
//!
//! A call carries commands for one session under one token. Without an answer a start in it
//! may be executed at any later time, until the machine shows a newer session or a higher
//! token; until then its task counts as on the machine.

use super::reconciliation::ReportSource;
use crate::coordination::scheduler::job::{AttemptId, Name, TaskId};
use crate::coordination::scheduler::machine::{Machine, MachineStatus, MessageId};
use crate::coordination::scheduler::state::Scheduler;
use crate::protocol::worker::{Command, Direct, Report};

/// How a direct call ended, as far as the scheduler is concerned.
#[derive(Debug)]
pub enum CallResult {
    /// The worker executed the commands, and reports what it has now.
    Executed(Report),
    /// The worker dropped the commands, and reports what it has.
    Rejected(Report),
    /// The call did not leave this process.
    NotSent,
    /// No answer: the commands may have been executed, or may be later.
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

/// Notes that a machine counts its sessions anew, if its answer is older than what was
/// known when it was called. What looked newer was of its earlier life, and in the same
/// session this answer is the truth. (A heartbeat of the earlier life, held up in a
/// partition, showed an empty machine, and what ran there was started elsewhere.)
fn detect_renumbering(machine: &mut Machine, report: &Report) {
    let message = MessageId::of(report);
    if report.machine != machine.info.id || message >= machine.called_at_message {
        return;
    }
    machine.renumbers = true;
    let nothing_newer_since = machine.last_message == machine.called_at_message;
    if message.session == machine.last_message.session && nothing_newer_since {
        machine.last_message.seq = message.seq.saturating_sub(1);
    }
}

/// Notes for the starts of a finished call whether they may still be executed. Commands
/// that were not executed go out again with the answer to the next heartbeat.
fn settle_starts(
    machine: &mut Machine,
    call: &Direct,
    result: &CallResult,
    outdated_answer: bool,
    now: f64,
) {
    // A newer session or term seen meanwhile rules a late execution out.
    let may_execute_later =
        machine.last_message.session <= call.session && machine.seen_token <= call.token;
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
        let unresolved =
            matches!(result, CallResult::Unknown) || outdated_answer && attempt.phase.is_none();
        if unresolved && may_execute_later {
            attempt.unresolved_call = Some((call.token, now));
        }
    }
}

impl Scheduler {
    /// Takes in how a direct call to the machine ended.
    pub fn direct_call_finished(
        &mut self,
        name: &Name,
        call: &Direct,
        result: CallResult,
        now: f64,
    ) {
        self.advance_clock(now);
        if !matches!(result, CallResult::NotSent | CallResult::Rejected(_)) {
            self.unresolved_starts.insert(name.clone());
        }
        let Some(machine) = self.machines.get_mut(name) else {
            return;
        };
        machine.call_in_flight = false;
        // Executed, by a message older than what we know that does not show it: the
        // machine counts anew. Nothing tells what became of the start.
        let outdated_answer = matches!(
            &result,
            CallResult::Executed(report) if MessageId::of(report) <= machine.last_message
        );
        match result.report() {
            Some(report) => detect_renumbering(machine, report),
            None => machine.unanswered_calls += 1,
        }
        settle_starts(machine, call, &result, outdated_answer, now);
        if let Some(report) = result.report() {
            let early = machine.is_early_session(report.session, self.config.lease_s, now);
            let newer = MessageId::of(report) > machine.last_message
                && report.token >= machine.seen_token
                && !early;
            if report.machine == **name && newer {
                if machine.status == MachineStatus::Expired {
                    // A new session: its own heartbeat readmits it. The old one was
                    // proven over: what is late says nothing.
                    return;
                }
                self.reconcile_report(name, report, ReportSource::DirectCall, now);
            }
        }
        self.remove_unstarted(name);
    }

    /// Removes stopped attempts that no message showed, once no start of theirs may still
    /// be executed.
    pub fn remove_unstarted(&mut self, name: &Name) {
        let Some(machine) = self.machines.get(name) else {
            return;
        };
        let gone: Vec<AttemptId> = machine
            .attempts
            .iter()
            .filter(|(_, a)| a.phase.is_none() && a.stop_grace_s.is_some() && !a.is_in_flight())
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
