//! Commands for machines, which are sent in answers to heartbeats and in direct calls, and
//! probes: direct calls that only ask for a report.

use crate::coordination::scheduler::job::{AttemptId, Name};
use crate::coordination::scheduler::machine::{Attempt, Machine, MessageId};
use crate::coordination::scheduler::resources::MAX_ATTEMPTS_PER_MACHINE;
use crate::coordination::scheduler::state::Scheduler;
use crate::protocol::worker::{Cause, Command, DirectCommands, Phase};
use crate::storage::records::TOKENS_PER_TERM;

/// Maximum number of commands in one message, which keeps every message below 64 KiB. A machine gets
/// no more attempts than this, but one that an earlier version of the controllers filled may have
/// more. Later messages carry the other commands: each command has an effect that takes its attempt
/// out of the next message.
pub const MAX_COMMANDS_PER_MESSAGE: usize = MAX_ATTEMPTS_PER_MACHINE as usize;

/// The commands in the answer to a heartbeat, by kind, and the answer's token.
#[derive(Default)]
struct AnswerCommands {
    forgets: Vec<AttemptId>,
    stops: Vec<(AttemptId, f64)>,
    starts: Vec<AttemptId>,
    /// Attempts to stop or start whose commands do not fit into the answer.
    left_out: Vec<AttemptId>,
    token: u64,
}

impl AnswerCommands {
    /// Leaves out the commands beyond `MAX_COMMANDS_PER_MESSAGE`: starts first, then stops, since
    /// the other commands make room in the worker's next report.
    fn limit_size(&mut self) {
        self.forgets.truncate(MAX_COMMANDS_PER_MESSAGE);
        let max_stops = MAX_COMMANDS_PER_MESSAGE - self.forgets.len();
        let stops_kept = self.stops.len().min(max_stops);
        let stops = self.stops.drain(stops_kept..);
        self.left_out.extend(stops.map(|(key, _)| key));
        let starts_kept = self.starts.len().min(max_stops - stops_kept);
        self.left_out.extend(self.starts.drain(starts_kept..));
    }
}

fn start_command(key: &AttemptId) -> Command {
    Command::Start {
        task: key.task.wire_name(),
        attempt: key.number,
    }
}

fn stop_command(key: &AttemptId, grace_s: f64) -> Command {
    Command::Stop {
        task: key.task.wire_name(),
        attempt: key.number,
        grace_s,
    }
}

fn forget_command(key: &AttemptId) -> Command {
    Command::Forget {
        task: key.task.wire_name(),
        attempt: key.number,
    }
}

/// The token of the answer to a heartbeat: above that of every finished direct call that carried a
/// start, and above the one by which the machine passed its last incarnation check. It is not raised
/// while a call is in flight, which the worker would then refuse, nor above the tokens of the term.
///
/// A worker that has forgotten an attempt, by a command or by a restart, starts it again when a copy
/// of a direct call with its start arrives, however late. (Such copies once started a task of a job
/// that had been cancelled long before, and ran other tasks twice.) Once the worker has seen the
/// higher token, it refuses such copies. The token is raised in an answer and not in a call, since
/// a call that overtakes an answer would make the worker drop the answer.
fn answer_token(machine: &Machine, term: u64) -> u64 {
    let token = machine.token_under(term);
    if machine.call_in_flight {
        return token;
    }
    let attempts = machine.attempts.values();
    let highest_called = attempts
        .filter_map(|attempt| attempt.called_with_token)
        .max();
    let last_token = term + TOKENS_PER_TERM - 1;
    let highest_known = highest_called.max(machine.passed_check_token);
    highest_known.map_or(token, |known| token.max((known + 1).min(last_token)))
}

/// Whether the worker refuses copies of direct calls with the attempt's start once it has seen the
/// token.
fn is_copy_refused(attempt: &Attempt, token: u64) -> bool {
    attempt
        .called_with_token
        .is_none_or(|called| called < token)
}

/// Records that the answer tells the machine to stop its unwanted attempts and to forget exited
/// ones, except for the commands that were left out. A later message must show the effect.
fn mark_commands_sent(machine: &mut Machine, answer: &AnswerCommands) {
    for attempt in machine.attempts.values_mut() {
        if !attempt.call_in_flight {
            attempt.unsent = false;
        }
        // A task that is saving has already received the stop command.
        let stoppable = !matches!(attempt.phase, None | Some(Phase::Saving | Phase::Exited));
        attempt.end_command_sent = stoppable && attempt.stop_grace_s.is_some();
    }
    for key in &answer.forgets {
        if let Some(attempt) = machine.attempts.get_mut(key) {
            attempt.end_command_sent = true;
        }
    }
    for key in &answer.left_out {
        if let Some(attempt) = machine.attempts.get_mut(key) {
            attempt.unsent = true;
            attempt.end_command_sent = false;
        }
    }
}

/// Takes the machine's unsent stops and starts, for a direct call.
fn take_unsent_commands(machine: &mut Machine) -> Vec<Command> {
    let mut commands = Vec::new();
    for (key, attempt) in &mut machine.attempts {
        if !attempt.unsent || attempt.has_exited() {
            continue;
        }
        if commands.len() == MAX_COMMANDS_PER_MESSAGE {
            break;
        }
        attempt.unsent = false;
        if let Some(grace_s) = attempt.stop_grace_s {
            commands.push(stop_command(key, grace_s));
        } else if attempt.phase.is_none() {
            attempt.call_in_flight = true;
            commands.push(start_command(key));
        }
    }
    commands
}

impl Scheduler {
    /// Whether the worker can forget an exited attempt: the completion of its task is saved,
    /// if it was completed, and no copy of its start may still arrive.
    fn is_forgettable(&self, key: &AttemptId, attempt: &Attempt) -> bool {
        if attempt.is_in_flight() {
            return false;
        }
        match self.jobs.get(&key.task.job) {
            Some(job) if attempt.cause == Some(Cause::Done) => {
                job.finished || job.saved.contains(key.task.index)
            }
            _ => true,
        }
    }

    /// Returns the commands for the answer to this heartbeat, and records them as sent.
    pub(crate) fn heartbeat_commands(
        &mut self,
        name: &Name,
        message: MessageId,
        now: f64,
    ) -> Vec<Command> {
        let Some(machine) = self.machines.get(name) else {
            return Vec::new();
        };
        let answer = self.answer_commands(machine);
        let last_token = self.term + TOKENS_PER_TERM - 1;
        let Some(machine) = self.machines.get_mut(name) else {
            return Vec::new();
        };
        self.messages.raised_tokens += u64::from(answer.token > machine.token_under(self.term));
        machine.raised_token = answer.token;
        if answer.token == last_token {
            // The term has no higher token left; `raise_overdue_tokens` requests a new term.
            self.machines_with_unresolved_starts.insert(name.clone());
        }
        mark_commands_sent(machine, &answer);
        let mut commands: Vec<Command> = answer.forgets.iter().map(forget_command).collect();
        let stops = answer.stops.iter();
        commands.extend(stops.map(|(key, grace_s)| stop_command(key, *grace_s)));
        for key in answer.starts {
            commands.push(start_command(&key));
            if let Some(attempt) = machine.attempts.get_mut(&key) {
                attempt.sent_in_reply_to = Some(message);
                attempt.start_decided_at = now;
            }
        }
        self.outbox.swap_remove(name);
        self.work.record_message(commands.len());
        commands
    }

    /// Selects the commands for the machine's attempts, without changing any state.
    fn answer_commands(&self, machine: &Machine) -> AnswerCommands {
        let mut answer = AnswerCommands {
            token: answer_token(machine, self.term),
            ..AnswerCommands::default()
        };
        for (key, attempt) in &machine.attempts {
            if attempt.has_exited() {
                if is_copy_refused(attempt, answer.token) && self.is_forgettable(key, attempt) {
                    answer.forgets.push(key.clone());
                }
            } else if let Some(grace_s) = attempt.stop_grace_s {
                answer.stops.push((key.clone(), grace_s));
            } else if attempt.phase.is_none() && !attempt.call_in_flight && machine.recorded {
                answer.starts.push(key.clone());
            }
        }
        answer.limit_size();
        answer
    }

    /// Returns the worker's address and the direct call that is due for the machine; `None` if no
    /// call is due.
    pub fn next_direct_call(&mut self, name: &Name, now: f64) -> Option<(String, DirectCommands)> {
        let term = self.term;
        let machine = self.machines.get_mut(name)?;
        if machine.call_in_flight || machine.is_proven_empty() {
            return None;
        }
        let token = machine.token_under(term);
        // The session of the present incarnation is not known while an incarnation check is open.
        let checks_incarnation = machine.incarnation_check.is_some();
        let unfenced = machine.recorded && !machine.fenced;
        let probe = unfenced || checks_incarnation || machine.delivery.is_doubtful();
        let commands = if checks_incarnation {
            Vec::new()
        } else {
            take_unsent_commands(machine)
        };
        if commands.is_empty() && !probe {
            return None;
        }
        self.work.record_message(commands.len());
        self.messages.direct_calls += 1;
        let starts = commands
            .iter()
            .filter(|c| matches!(c, Command::Start { .. }));
        self.messages.direct_starts += starts.count() as u64;
        machine.call_in_flight = true;
        machine.called_at = now;
        machine.called_at_message = machine.last_message;
        machine.heard_since_call = false;
        if !machine.fenced {
            machine.probed_at.get_or_insert(now);
        }
        let call = DirectCommands {
            token,
            session: machine.last_message.session,
            commands,
        };
        Some((machine.info.addr.clone(), call))
    }

    /// Probes machines that our answers may not reach. The answer to a probe proves that the
    /// machine receives our messages. A machine that does not answer is probed again after a
    /// quarter of a lease.
    pub(crate) fn probe_machines_with_doubtful_delivery(&mut self, now: f64) {
        let machines = &self.machines;
        self.machines_with_doubtful_delivery
            .retain(|name| machines.get(name).is_some_and(|m| m.delivery.is_doubtful()));
        let interval_s = self.config.lease_s / 4.0;
        let is_due =
            |machine: &Machine| !machine.call_in_flight && now - machine.called_at >= interval_s;
        let due: Vec<Name> = self
            .machines_with_doubtful_delivery
            .iter()
            .filter(|name| machines.get(*name).is_some_and(is_due))
            .cloned()
            .collect();
        self.outbox.extend(due);
    }

    /// Probes up to `max_probes` machines that have not reported under our term yet, so that
    /// placement can begin after a takeover.
    pub fn probe_unfenced(&mut self, now: f64, max_probes: usize) {
        let machines = &self.machines;
        self.unfenced
            .retain(|name| machines.get(name).is_some_and(Machine::blocks_placement));
        // Workers that lost their leader try another controller every second and are
        // redirected here, so most of them report without a probe. While many workers report by
        // themselves, probing the others as well would double the work of a takeover.
        let reported = self
            .unfenced_count_at_last_prune
            .saturating_sub(self.unfenced.len());
        self.unfenced_count_at_last_prune = self.unfenced.len();
        if reported > max_probes / 4 {
            return;
        }
        let interval_s = self.config.heartbeat_s.min(1.0);
        let grace_s = self.config.heartbeat_s / 4.0;
        let is_due = |machine: &Machine| {
            machine.recorded
                && !machine.fenced
                && !machine.call_in_flight
                && now - machine.session_seen_at >= grace_s
                && now - machine.called_at >= interval_s
        };
        let due: Vec<Name> = self
            .unfenced
            .iter()
            .filter(|name| machines.get(*name).is_some_and(is_due))
            .take(max_probes)
            .cloned()
            .collect();
        self.outbox.extend(due);
    }
}
