//! Commands for machines: in answers to their reports, in direct calls, and the
//! calls that ask for a report.

use crate::coordination::scheduler::job::{AttemptId, Name};
use crate::coordination::scheduler::machine::{Attempt, Machine, MachineStatus, MessageId};
use crate::coordination::scheduler::state::Scheduler;
use crate::protocol::worker::{Cause, Command, Direct, Phase};
use crate::storage::records::TOKENS_PER_TERM;

impl Scheduler {
    /// Whether an exited attempt can be forgotten by its worker: what it says
    /// is in the books, and no copy of its start may still come.
    fn forgettable(&self, key: &AttemptId, active: &Attempt) -> bool {
        if active.is_in_flight() {
            return false;
        }
        match self.jobs.get(&key.task.job) {
            Some(job) if active.cause == Some(Cause::Done) => {
                job.finished || job.saved.contains(key.task.index)
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
    pub(crate) fn heartbeat_commands(
        &mut self,
        name: &Name,
        order: MessageId,
        now: f64,
    ) -> Vec<Command> {
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
        for (key, active) in &m.attempts {
            let (task, attempt) = (key.task.wire(), key.number);
            if active.has_exited() {
                let above = active.copies_up_to.map_or(token, |t| token.max(t + 1));
                // A call under way would be refused under the higher token, and beyond
                // the last one the share's term is raised first.
                let can = above == token || !m.call_in_flight && above < term + TOKENS_PER_TERM;
                if can && self.forgettable(key, active) {
                    raised = raised.max(above);
                    forgets.push(key.clone());
                    forget.push(Command::Forget { task, attempt });
                }
            } else if let Some(grace_s) = active.stop_grace_s {
                stops.push(Command::Stop {
                    task,
                    attempt,
                    grace_s,
                });
            } else if active.phase.is_none() && !active.call_in_flight && m.recorded {
                starts.push((key.clone(), Command::Start { task, attempt }));
            }
        }
        let Some(m) = self.machines.get_mut(name) else {
            return Vec::new();
        };
        m.raised_token = raised;
        if raised + 1 == term + TOKENS_PER_TERM {
            // All of the term's tokens are used: see `wants_new_term`.
            self.unresolved_starts.insert(name.clone());
        }
        for active in m.attempts.values_mut() {
            if !active.call_in_flight {
                active.unsent = false;
            }
            // A task that saves was told before.
            let plain = !matches!(active.phase, None | Some(Phase::Saving | Phase::Exited));
            active.told_to_end = plain && active.stop_grace_s.is_some();
        }
        for id in forgets {
            if let Some(active) = m.attempts.get_mut(&id) {
                active.told_to_end = true;
            }
        }
        let mut commands = forget;
        commands.append(&mut stops);
        for (key, command) in starts {
            if let Some(active) = m.attempts.get_mut(&key) {
                active.sent_in_reply_to = Some(order);
                active.sent_at = now;
            }
            commands.push(command);
        }
        self.outbox.swap_remove(name);
        commands
    }

    /// A direct call for the machine, if one is due.
    pub fn next_direct_call(&mut self, name: &Name, now: f64) -> Option<(String, Direct)> {
        let term = self.term;
        let m = self.machines.get_mut(name)?;
        let token = m.token_under(term);
        if m.call_in_flight || m.status == MachineStatus::Expired {
            return None;
        }
        let probe = m.recorded && !m.fenced || m.delivery.is_doubted();
        let mut commands = Vec::new();
        for (key, active) in m.attempts.iter_mut() {
            if !active.unsent || active.has_exited() {
                continue;
            }
            active.unsent = false;
            let (task, attempt) = (key.task.wire(), key.number);
            if let Some(grace_s) = active.stop_grace_s {
                commands.push(Command::Stop {
                    task,
                    attempt,
                    grace_s,
                });
            } else if active.phase.is_none() {
                active.call_in_flight = true;
                active.copies_up_to = Some(token);
                commands.push(Command::Start { task, attempt });
            }
        }
        if commands.is_empty() && !probe {
            return None;
        }
        m.call_in_flight = true;
        m.called_at = now;
        m.called_at_message = m.last_message;
        if !m.fenced {
            m.probed_at.get_or_insert(now);
        }
        let call = Direct {
            token,
            session: m.last_message.session,
            commands,
        };
        Some((m.info.addr.clone(), call))
    }

    /// Asks machines in doubt whether they hear us: an answer is proof. One that does
    /// not is asked again when it may have come round to us once more.
    pub(crate) fn probe_suspects(&mut self, now: f64) {
        let machines = &self.machines;
        self.suspects
            .retain(|n| machines.get(n).is_some_and(|m| m.delivery.is_doubted()));
        let every = self.config.lease_s / 4.0;
        let due = self.suspects.iter().filter(|n| {
            let m = self.machines.get(*n);
            m.is_some_and(|m| !m.call_in_flight && now - m.called_at >= every)
        });
        let due: Vec<Name> = due.cloned().collect();
        self.outbox.extend(due);
    }

    /// Asks up to `most` machines for a report under our term, so that placing
    /// can begin.
    pub fn probe_unfenced(&mut self, now: f64, most: usize) {
        let machines = &self.machines;
        self.unfenced
            .retain(|n| machines.get(n).is_some_and(Machine::blocks_placement));
        // Workers that lost their owner try another controller every second and
        // are sent here, so most come by themselves. While they do, asking them
        // as well would double the work of a takeover.
        let came = self.unfenced_before.saturating_sub(self.unfenced.len());
        self.unfenced_before = self.unfenced.len();
        if came > most / 4 {
            return;
        }
        let every = self.config.report_s.min(1.0);
        let patience = self.config.report_s / 4.0;
        let due = |m: &&Machine| {
            m.recorded
                && !m.fenced
                && !m.call_in_flight
                && now - m.session_seen_at >= patience
                && now - m.called_at >= every
        };
        let awaited = self.unfenced.iter();
        let machines = awaited.filter(|n| self.machines.get(*n).as_ref().is_some_and(due));
        let names: Vec<Name> = machines.take(most).cloned().collect();
        self.outbox.extend(names);
    }
}
