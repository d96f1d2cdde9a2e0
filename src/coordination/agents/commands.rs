//! Commands for machines: in answers to their reports, in direct calls, and the
//! calls that ask for a report.

use crate::coordination::scheduler::job::{Name, TaskId};
use crate::coordination::scheduler::machine::{Attempt, Machine, MachineStatus};
use crate::coordination::scheduler::state::Scheduler;
use crate::protocol::worker::{Cause, Command, Direct, Phase};
use crate::storage::records::TOKENS;

impl Scheduler {
    /// Whether an exited attempt can be forgotten by its worker: what it says
    /// is in the books, and no copy of its start may still come.
    fn forgettable(&self, key: &(TaskId, u64), active: &Attempt) -> bool {
        if active.in_flight() {
            return false;
        }
        match self.jobs.get(&key.0.job) {
            Some(job) if active.cause == Some(Cause::Done) => {
                job.over || job.written.contains(key.0.index)
            }
            _ => true,
        }
    }

    /// Commands for the answer to this report.
    ///
    /// A worker that forgot an attempt starts it anew when a copy of a direct call with
    /// its start arrives, however late. (A task of a job cancelled long ago ran, and one
    /// ran twice.) So the answer that has it forget one carries a token above that of
    /// any such call, and copies are refused from then on.
    pub(crate) fn orders(&mut self, name: &Name, order: (u64, u64), now: f64) -> Vec<Command> {
        let term = self.term;
        let Some(m) = self.machines.get(name) else {
            return Vec::new();
        };
        let token = m.token_under(term);
        let mut raised = token;
        let mut forget = Vec::new();
        let mut forgets = Vec::new();
        let mut stops = Vec::new();
        let mut starts = Vec::new();
        for (key, active) in &m.active {
            let (task, attempt) = (key.0.wire(), key.1);
            if active.exited() {
                let above = active.copies_to.map_or(token, |t| token.max(t + 1));
                // A call under way would be refused under the higher token, and beyond
                // the last one the share's term is raised first.
                let can = above == token || !m.calling && above < term + TOKENS;
                if can && self.forgettable(key, active) {
                    raised = raised.max(above);
                    forgets.push(key.clone());
                    forget.push(Command::Forget { task, attempt });
                }
            } else if let Some(grace_s) = active.stop {
                stops.push(Command::Stop {
                    task,
                    attempt,
                    grace_s,
                });
            } else if active.phase.is_none() && !active.direct && m.recorded {
                starts.push((key.clone(), Command::Start { task, attempt }));
            }
        }
        let Some(m) = self.machines.get_mut(name) else {
            return Vec::new();
        };
        m.raised = raised;
        if raised + 1 == term + TOKENS {
            // All of the term's tokens are used: see `wants_new_term`.
            self.limbo.insert(name.clone());
        }
        for active in m.active.values_mut() {
            if !active.direct {
                active.unsent = false;
            }
            // A task that saves was told before.
            let plain = !matches!(active.phase, None | Some(Phase::Saving | Phase::Exited));
            active.told = plain && active.stop.is_some();
        }
        for (task, attempt) in forgets {
            if let Some(active) = m.active.get_mut(&(task, attempt)) {
                active.told = true;
            }
        }
        let mut commands = forget;
        commands.append(&mut stops);
        for (key, command) in starts {
            if let Some(active) = m.active.get_mut(&key) {
                active.hello = Some(order);
                active.sent = now;
            }
            commands.push(command);
        }
        self.outbox.swap_remove(name);
        commands
    }

    /// A direct call for the machine, if one is due.
    pub fn direct_call(&mut self, name: &Name, now: f64) -> Option<(String, Direct)> {
        let term = self.term;
        let m = self.machines.get_mut(name)?;
        let token = m.token_under(term);
        if m.calling || m.standing == MachineStatus::Expired {
            return None;
        }
        let probe = m.recorded && !m.fenced || m.hearing.doubted();
        let mut commands = Vec::new();
        for (key, active) in m.active.iter_mut() {
            if !active.unsent || active.exited() {
                continue;
            }
            active.unsent = false;
            let (task, attempt) = (key.0.wire(), key.1);
            if let Some(grace_s) = active.stop {
                commands.push(Command::Stop {
                    task,
                    attempt,
                    grace_s,
                });
            } else if active.phase.is_none() {
                active.direct = true;
                active.copies_to = Some(token);
                commands.push(Command::Start { task, attempt });
            }
        }
        if commands.is_empty() && !probe {
            return None;
        }
        m.calling = true;
        m.called_at = now;
        m.called_at_seen = m.seen;
        if !m.fenced {
            m.probed_at.get_or_insert(now);
        }
        let call = Direct {
            token,
            session: m.seen.0,
            commands,
        };
        Some((m.info.addr.clone(), call))
    }

    /// Asks machines in doubt whether they hear us: an answer is proof. One that does
    /// not is asked again when it may have come round to us once more.
    pub(crate) fn ask_doubtful(&mut self, now: f64) {
        let machines = &self.machines;
        self.doubtful
            .retain(|n| machines.get(n).is_some_and(|m| m.hearing.doubted()));
        let every = self.params.lease_s / 4.0;
        let due = self.doubtful.iter().filter(|n| {
            let m = self.machines.get(*n);
            m.is_some_and(|m| !m.calling && now - m.called_at >= every)
        });
        let due: Vec<Name> = due.cloned().collect();
        self.outbox.extend(due);
    }

    /// Asks up to `most` machines for a report under our term, so that placing
    /// can begin.
    pub fn probes(&mut self, now: f64, most: usize) {
        let machines = &self.machines;
        self.awaited
            .retain(|n| machines.get(n).is_some_and(Machine::holds_up));
        // Workers that lost their owner try another controller every second and
        // are sent here, so most come by themselves. While they do, asking them
        // as well would double the work of a takeover.
        let came = self.awaited_before.saturating_sub(self.awaited.len());
        self.awaited_before = self.awaited.len();
        if came > most / 4 {
            return;
        }
        let every = self.params.report_s.min(1.0);
        let patience = self.params.report_s / 4.0;
        let due = |m: &&Machine| {
            m.recorded
                && !m.fenced
                && !m.calling
                && now - m.session_at >= patience
                && now - m.called_at >= every
        };
        let awaited = self.awaited.iter();
        let machines = awaited.filter(|n| self.machines.get(*n).as_ref().is_some_and(due));
        let names: Vec<Name> = machines.take(most).cloned().collect();
        self.outbox.extend(names);
    }
}
