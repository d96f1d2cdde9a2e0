//! Direct calls to workers: what their results say of a machine.

use crate::coordination::agents::heartbeat::ReportSource;
use crate::coordination::scheduler::job::{Name, TaskId};
use crate::coordination::scheduler::machine::MachineStatus;
use crate::coordination::scheduler::state::Scheduler;
use crate::protocol::worker::{Command, Direct, Report};

/// What came of a direct call, as far as the core cares.
#[derive(Debug)]
pub enum CallResult {
    Executed(Report),
    Rejected(Report),
    NotSent,
    Unknown,
}

impl Scheduler {
    /// Takes in what came of a direct call with these starts.
    pub fn called(&mut self, name: &Name, call: &Direct, result: CallResult, now: f64) {
        self.passes(now);
        let unknown = matches!(result, CallResult::Unknown);
        if !matches!(result, CallResult::NotSent | CallResult::Rejected(_)) {
            self.limbo.insert(name.clone());
        }
        let Some(m) = self.machines.get_mut(name) else {
            return;
        };
        m.calling = false;
        // Executed, by a message older than what we know that does not show it: the
        // machine counts anew. Nothing tells what became of the start.
        let old = |r: &Report| (r.session, r.seq) <= m.seen;
        let old = matches!(&result, CallResult::Executed(r) if old(r));
        if let CallResult::Executed(report) | CallResult::Rejected(report) = &result {
            let order = (report.session, report.seq);
            if report.machine == **name && order < m.called_at_seen {
                // It answers our call with something older than we knew when we called:
                // it counts anew. What looked newer was of its earlier life, and in the
                // same session this answer is the truth. (A report of the earlier life,
                // held up in a cut, showed an empty machine, and what ran there was
                // started elsewhere.)
                m.recounts = true;
                if order.0 == m.seen.0 && m.seen == m.called_at_seen {
                    m.seen.1 = order.1.saturating_sub(1);
                }
            }
        }
        if matches!(result, CallResult::NotSent | CallResult::Unknown) {
            m.unanswered += 1;
        }
        for command in &call.commands {
            let (Command::Start { task, attempt }
            | Command::Stop { task, attempt, .. }
            | Command::Forget { task, attempt }) = command;
            let Some(task) = TaskId::parse(task) else {
                continue;
            };
            if let Some(active) = m.active.get_mut(&(task, *attempt)) {
                if matches!(command, Command::Start { .. }) {
                    active.direct = false;
                    // A newer session or term seen meanwhile rules it out.
                    let untold = unknown || old && active.phase.is_none();
                    if untold && m.seen.0 <= call.session && m.token <= call.token {
                        active.limbo = Some((call.token, now));
                    }
                }
                // What was not executed goes with the next report's answer.
            }
        }
        match result {
            CallResult::Executed(report) | CallResult::Rejected(report) => {
                let early = m.early_session(report.session, self.params.lease_s, now);
                let newer =
                    (report.session, report.seq) > m.seen && report.token >= m.token && !early;
                if report.machine == **name && newer {
                    if m.standing == MachineStatus::Expired {
                        // A new session: its own report readmits it. The old
                        // one was proven over: what is late says nothing.
                        return;
                    }
                    self.take_in(name, &report, ReportSource::Direct, now);
                }
            }
            CallResult::NotSent | CallResult::Unknown => {}
        }
        self.settle(name);
    }

    /// Removes stopped attempts that were never there once no copy is in flight.
    pub fn settle(&mut self, name: &Name) {
        let Some(m) = self.machines.get(name) else {
            return;
        };
        let gone: Vec<_> = m
            .active
            .iter()
            .filter(|(_, a)| a.phase.is_none() && a.stop.is_some() && !a.in_flight())
            .map(|(k, _)| k.clone())
            .collect();
        for key in &gone {
            self.remove_attempt(name, key);
        }
        if !gone.is_empty() {
            self.reindex(name);
        }
    }
}
