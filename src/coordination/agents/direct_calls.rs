//! Direct calls to workers: what their results say of a machine.

use crate::coordination::agents::heartbeat::ReportSource;
use crate::coordination::scheduler::job::{AttemptId, Name, TaskId};
use crate::coordination::scheduler::machine::{MachineStatus, MessageId};
use crate::coordination::scheduler::state::Scheduler;
use crate::protocol::worker::{Command, Direct, Report};

/// What came of a direct call, as far as the scheduler cares.
#[derive(Debug)]
pub enum CallResult {
    Executed(Report),
    Rejected(Report),
    NotSent,
    Unknown,
}

impl Scheduler {
    /// Takes in what came of a direct call with these starts.
    pub fn direct_call_finished(
        &mut self,
        name: &Name,
        call: &Direct,
        result: CallResult,
        now: f64,
    ) {
        self.advance_clock(now);
        let unknown = matches!(result, CallResult::Unknown);
        if !matches!(result, CallResult::NotSent | CallResult::Rejected(_)) {
            self.unresolved_starts.insert(name.clone());
        }
        let Some(m) = self.machines.get_mut(name) else {
            return;
        };
        m.call_in_flight = false;
        // Executed, by a message older than what we know that does not show it: the
        // machine counts anew. Nothing tells what became of the start.
        let old = |r: &Report| MessageId::of(r) <= m.last_message;
        let old = matches!(&result, CallResult::Executed(r) if old(r));
        if let CallResult::Executed(report) | CallResult::Rejected(report) = &result {
            let order = MessageId::of(report);
            if report.machine == **name && order < m.called_at_message {
                // It answers our call with something older than we knew when we called:
                // it counts anew. What looked newer was of its earlier life, and in the
                // same session this answer is the truth. (A report of the earlier life,
                // held up in a cut, showed an empty machine, and what ran there was
                // started elsewhere.)
                m.renumbers = true;
                if order.session == m.last_message.session && m.last_message == m.called_at_message
                {
                    m.last_message.seq = order.seq.saturating_sub(1);
                }
            }
        }
        if matches!(result, CallResult::NotSent | CallResult::Unknown) {
            m.unanswered_calls += 1;
        }
        for command in &call.commands {
            let (Command::Start { task, attempt }
            | Command::Stop { task, attempt, .. }
            | Command::Forget { task, attempt }) = command;
            let Some(task) = TaskId::parse(task) else {
                continue;
            };
            if let Some(active) = m.attempts.get_mut(&AttemptId::new(task, *attempt)) {
                if matches!(command, Command::Start { .. }) {
                    active.call_in_flight = false;
                    // A newer session or term seen meanwhile rules it out.
                    let untold = unknown || old && active.phase.is_none();
                    if untold
                        && m.last_message.session <= call.session
                        && m.seen_token <= call.token
                    {
                        active.unresolved_call = Some((call.token, now));
                    }
                }
                // What was not executed goes with the next report's answer.
            }
        }
        match result {
            CallResult::Executed(report) | CallResult::Rejected(report) => {
                let early = m.is_early_session(report.session, self.config.lease_s, now);
                let newer = MessageId::of(&report) > m.last_message
                    && report.token >= m.seen_token
                    && !early;
                if report.machine == **name && newer {
                    if m.status == MachineStatus::Expired {
                        // A new session: its own report readmits it. The old
                        // one was proven over: what is late says nothing.
                        return;
                    }
                    self.reconcile_report(name, &report, ReportSource::DirectCall, now);
                }
            }
            CallResult::NotSent | CallResult::Unknown => {}
        }
        self.remove_unstarted(name);
    }

    /// Removes stopped attempts that were never there once no copy is in flight.
    pub fn remove_unstarted(&mut self, name: &Name) {
        let Some(m) = self.machines.get(name) else {
            return;
        };
        let gone: Vec<_> = m
            .attempts
            .iter()
            .filter(|(_, a)| a.phase.is_none() && a.stop_grace_s.is_some() && !a.is_in_flight())
            .map(|(k, _)| k.clone())
            .collect();
        for key in &gone {
            self.remove_attempt(name, key);
        }
        if !gone.is_empty() {
            self.update_capacity(name);
        }
    }
}
