//! The network between leaders and workers, which delays, drops and repeats messages.

use super::*;
use foxspur::coordination::scheduler::machine::MessageId;

/// Send time that marks a copy of a heartbeat; the answer to a copy is discarded.
const COPY_SENT_AT: f64 = -1.0;
/// Addresses a message to the leader that is current when the message arrives.
const CURRENT_LEADER: u64 = u64::MAX;

/// A message. `worker` is an index into the simulation's workers, `leader` a base term.
#[allow(clippy::large_enum_variant)]
pub(crate) enum Message {
    Heartbeat {
        worker: usize,
        leader: u64,
        report: Report,
        sent_at: f64,
    },
    Answer {
        worker: usize,
        session: u64,
        /// When the heartbeat was sent.
        sent_at: f64,
        reply: Reply,
    },
    Call {
        worker: usize,
        leader: u64,
        call: DirectCommands,
        /// Whether the sender awaits no answer: the call has timed out, or this message is a copy.
        timed_out: bool,
    },
    CallEnded {
        worker: usize,
        leader: u64,
        call: DirectCommands,
        result: CallResult,
    },
}

/// A message in flight.
pub(crate) struct InFlight {
    /// When the message arrives.
    pub(crate) arrives_at: f64,
    /// Whether the message is held up by the network, so that it arrives even if the machine
    /// restarts.
    pub(crate) held_up: bool,
    pub(crate) message: Message,
}

impl Message {
    /// A copy of a heartbeat, to the leader that is current when the copy arrives.
    pub(crate) fn copy_of_heartbeat(worker: usize, report: Report) -> Message {
        Message::Heartbeat {
            worker,
            leader: CURRENT_LEADER,
            report,
            sent_at: COPY_SENT_AT,
        }
    }

    /// The end of a call by a time-out, as the caller notices it.
    pub(crate) fn no_answer(worker: usize, leader: u64, call: DirectCommands) -> Message {
        Message::CallEnded {
            worker,
            leader,
            call,
            result: CallResult::Unknown,
        }
    }

    fn worker(&self) -> usize {
        match self {
            Message::Heartbeat { worker, .. }
            | Message::Answer { worker, .. }
            | Message::Call { worker, .. }
            | Message::CallEnded { worker, .. } => *worker,
        }
    }

    /// The base term of the leader that receives the message; `None` if a worker receives it.
    fn receiving_leader(&self) -> Option<u64> {
        match self {
            Message::Heartbeat { leader, .. } | Message::CallEnded { leader, .. } => Some(*leader),
            Message::Answer { .. } | Message::Call { .. } => None,
        }
    }
}

impl Simulation {
    fn delay(&mut self) -> f64 {
        match self.rng.random_range(0..40) {
            0 => self.rng.random_range(5.0..60.0),
            1..4 => self.rng.random_range(0.5..5.0),
            _ => 0.01,
        }
    }

    /// Schedules the arrival of the message.
    pub(crate) fn schedule_arrival(&mut self, arrives_at: f64, message: Message) {
        self.in_flight.push(InFlight {
            arrives_at,
            held_up: false,
            message,
        });
    }

    /// Schedules the arrival of a copy of a direct call, which is executed as well. The copy outlives
    /// a restart of the machine.
    pub(crate) fn schedule_copy(&mut self, arrives_at: f64, copy: Message) {
        self.in_flight.push(InFlight {
            arrives_at,
            held_up: true,
            message: copy,
        });
    }

    /// Holds a direct call up: its caller gets no answer, and the call is executed late.
    pub(crate) fn hold_up_call(&mut self, worker: usize, leader: u64, call: DirectCommands) {
        let delay_s = self.rng.random_range(2.0..16.0);
        let timeout = self.now + CALL_TIMEOUT_S;
        self.schedule_arrival(timeout, Message::no_answer(worker, leader, call.clone()));
        self.in_flight.push(InFlight {
            arrives_at: self.now + delay_s,
            held_up: true,
            message: Message::Call {
                worker,
                leader,
                call,
                timed_out: true,
            },
        });
    }

    /// Adds a message to the digest of the history.
    fn add_to_digest(&mut self, message: &Message) {
        let (kind, peer) = match message {
            Message::Heartbeat { leader, .. } => (0, *leader),
            Message::Answer { session, .. } => (1, *session),
            Message::Call { leader, .. } => (2, *leader),
            Message::CallEnded { leader, .. } => (3, *leader),
        };
        let body = match message {
            Message::Heartbeat { report, .. } => serde_json::to_vec(report),
            Message::Answer { reply, .. } => serde_json::to_vec(reply),
            Message::Call { call, .. } | Message::CallEnded { call, .. } => {
                serde_json::to_vec(call)
            }
        };
        self.digest.time(self.now);
        self.digest.number(kind);
        self.digest.number(message.worker() as u64);
        self.digest.number(peer);
        self.digest
            .bytes(&body.expect("a message that can be written"));
    }

    /// Sends a message, which may be delayed or lost.
    pub(crate) fn send(&mut self, message: Message) {
        self.add_to_digest(&message);
        let worker = message.worker();
        let arrives_at = self.now + self.delay();
        let Some(message) = self.drop_if_unreachable(worker, message) else {
            return;
        };
        let partitioned_until = self.workers[worker]
            .partitioned_until
            .max(self.zone_partitioned_until(worker, &message));
        if partitioned_until <= self.now {
            self.schedule_with_timeout(arrives_at, message);
        } else if self.rng.random_bool(0.5) {
            // The message is lost. If it belongs to a call, the caller only notices a time-out.
            if let Message::Call {
                worker,
                leader,
                call,
                timed_out: false,
            }
            | Message::CallEnded {
                worker,
                leader,
                call,
                ..
            } = message
            {
                let timeout = self.now + CALL_TIMEOUT_S;
                self.schedule_arrival(timeout, Message::no_answer(worker, leader, call));
            }
        } else {
            self.schedule_with_timeout(arrives_at.max(partitioned_until), message);
        }
    }

    /// Returns the message; drops it and returns `None` if a leader sends it to an unreachable
    /// machine.
    fn drop_if_unreachable(&mut self, worker: usize, message: Message) -> Option<Message> {
        if self.workers[worker].unreachable_until <= self.now {
            return Some(message);
        }
        match message {
            Message::Answer { .. }
            | Message::Call {
                timed_out: true, ..
            } => None,
            Message::Call {
                worker,
                leader,
                call,
                timed_out: false,
            } => {
                let timeout = self.now + CALL_TIMEOUT_S;
                self.schedule_arrival(timeout, Message::no_answer(worker, leader, call));
                None
            }
            Message::Heartbeat { .. } | Message::CallEnded { .. } => Some(message),
        }
    }

    /// Schedules the arrival of the message. If the message belongs to a call and arrives after
    /// the call's time-out, schedules the time-out as well. A call that arrives after its
    /// time-out is executed all the same.
    fn schedule_with_timeout(&mut self, at: f64, message: Message) {
        let timeout = self.now + CALL_TIMEOUT_S;
        match message {
            Message::Call {
                worker,
                leader,
                call,
                timed_out: false,
            } if at > timeout => {
                self.schedule_arrival(timeout, Message::no_answer(worker, leader, call.clone()));
                let late = Message::Call {
                    worker,
                    leader,
                    call,
                    timed_out: true,
                };
                self.schedule_arrival(at, late);
            }
            Message::CallEnded {
                worker,
                leader,
                call,
                ..
            } if at > timeout => {
                self.schedule_arrival(timeout, Message::no_answer(worker, leader, call));
            }
            other => self.schedule_arrival(at, other),
        }
    }

    /// The time until which a zone partition blocks the message, because the message's leader is
    /// outside the worker's zone; 0 if no partition blocks it.
    fn zone_partitioned_until(&self, worker: usize, message: &Message) -> f64 {
        let Some(partition) = self.workers[worker].zone_partition else {
            return 0.0;
        };
        match message {
            Message::Call { leader, .. } | Message::CallEnded { leader, .. }
                if *leader != partition.leader =>
            {
                partition.until
            }
            _ => 0.0,
        }
    }

    /// Counts an answer of the leader inside a partitioned zone if the partition has lasted for
    /// more than a lease.
    fn count_partitioned_zone_answer(&mut self, worker: usize, leader: u64) {
        let partition = self.workers[worker].zone_partition;
        let partition = partition.filter(|p| p.leader == leader);
        let lasted_longer =
            partition.is_some_and(|p| self.now - p.since > LEASE_S && self.now < p.until);
        self.coincidences.add(
            Coincidence::AnsweredInPartitionedZone,
            usize::from(lasted_longer),
        );
    }

    /// Delivers the messages whose arrival is due.
    pub(crate) fn deliver_messages(&mut self) {
        let now = self.now;
        let mut due: Vec<InFlight> = Vec::new();
        let mut i = 0;
        while i < self.in_flight.len() {
            if self.in_flight[i].arrives_at <= now {
                due.push(self.in_flight.remove(i));
            } else {
                i += 1;
            }
        }
        due.sort_by(|a, b| a.arrives_at.total_cmp(&b.arrives_at));
        for InFlight { mut message, .. } in due {
            if let Message::Heartbeat { leader, .. } = &mut message {
                if *leader == CURRENT_LEADER {
                    *leader = self.leaders.last().map_or(0, Leader::base_term);
                }
            }
            // A paused leader reads the message after its pause. The order of messages on
            // different connections is arbitrary.
            let paused_until = message
                .receiving_leader()
                .and_then(|leader| self.paused_until.get(&leader));
            if let Some(until) = paused_until {
                let at = until + self.rng.random_range(0.0..0.2);
                self.schedule_arrival(at, message);
                continue;
            }
            self.receive(message);
        }
    }

    /// Lets the receiver process the message.
    fn receive(&mut self, message: Message) {
        match message {
            Message::Heartbeat {
                worker,
                leader,
                report,
                sent_at,
            } => self.leader_receives_heartbeat(worker, leader, &report, sent_at),
            Message::Answer {
                worker,
                session,
                sent_at,
                reply,
            } => self.worker_receives_answer(worker, session, sent_at, &reply),
            Message::Call {
                worker,
                leader,
                call,
                timed_out,
            } => self.worker_receives_call(worker, leader, call, timed_out),
            Message::CallEnded {
                worker,
                leader,
                call,
                result,
            } => {
                let now = self.now;
                let name = self.workers[worker].id.as_str().into();
                if let Some(scheduler) = self.scheduler_of(leader) {
                    scheduler.direct_call_finished(&name, &call, result, now);
                }
            }
        }
    }

    fn leader_receives_heartbeat(
        &mut self,
        worker: usize,
        leader: u64,
        report: &Report,
        sent_at: f64,
    ) {
        let now = self.now;
        if sent_at == COPY_SENT_AT {
            self.count_old_heartbeat_coincidences(worker, leader, report);
        }
        let Some(scheduler) = self.scheduler_of(leader) else {
            return;
        };
        let answer = scheduler.handle_heartbeat(report, now);
        let reply = match answer {
            HeartbeatReply::Commands(reply) => Some(reply),
            HeartbeatReply::IncarnationCheck(token) => Some(Reply {
                token,
                commands: Vec::new(),
            }),
            HeartbeatReply::Refuse | HeartbeatReply::Superseded => None,
        };
        if let (Some(reply), true) = (reply, sent_at != COPY_SENT_AT) {
            self.count_partitioned_zone_answer(worker, leader);
            self.send(Message::Answer {
                worker,
                session: report.session,
                sent_at,
                reply,
            });
        }
    }

    fn worker_receives_answer(&mut self, index: usize, session: u64, sent_at: f64, reply: &Reply) {
        let worker = &mut self.workers[index];
        let awaited = worker.awaited.is_some_and(|a| a.sent_at == sent_at);
        if worker.hung_until > self.now || !awaited || worker.session != session {
            return;
        }
        worker.awaited = None;
        if reply.token < worker.token {
            return;
        }
        worker.token = reply.token;
        worker.lease_renewed_at = sent_at;
        self.execute(index, &reply.commands);
    }

    fn worker_receives_call(
        &mut self,
        index: usize,
        leader: u64,
        call: DirectCommands,
        timed_out: bool,
    ) {
        let now = self.now;
        let hung_until = self.workers[index].hung_until;
        if hung_until > now {
            if !timed_out {
                let no_answer = Message::no_answer(index, leader, call.clone());
                self.schedule_arrival(now + CALL_TIMEOUT_S, no_answer);
            }
            let late = Message::Call {
                worker: index,
                leader,
                call,
                timed_out: true,
            };
            self.schedule_arrival(hung_until + 0.01, late);
            return;
        }
        // A worker that resumes after a hang first notices that its lease has ended.
        if now - self.workers[index].lease_renewed_at > LEASE_S {
            self.end_session(index);
        }
        let worker = &mut self.workers[index];
        let accepted = call.token >= worker.token && call.session == worker.session;
        worker.token = worker.token.max(call.token);
        if accepted {
            let is_start = |c: &&Command| matches!(c, Command::Start { .. });
            let starts = call.commands.iter().filter(is_start).count();
            let delayed = if timed_out { starts } else { 0 };
            self.coincidences.add(Coincidence::DelayedStart, delayed);
            self.execute(index, &call.commands);
        }
        let report = self.report(index);
        let result = if accepted {
            CallResult::Executed(report)
        } else {
            CallResult::Rejected(report)
        };
        // The sender of a call that has timed out gets no answer.
        if !timed_out {
            self.send(Message::CallEnded {
                worker: index,
                leader,
                call,
                result,
            });
        }
    }

    /// Counts which states of the leader and of the worker an old heartbeat coincides with.
    fn count_old_heartbeat_coincidences(&mut self, index: usize, leader: u64, report: &Report) {
        let receiver = self.leaders.iter().find(|l| l.base_term() == leader);
        let machine = receiver.and_then(|l| l.scheduler.machines.get(&*report.machine));
        let first = machine.is_some_and(|m| m.last_message == MessageId::NONE);
        let worker = &self.workers[index];
        let is_gone = |t: &AttemptStatus| !worker.tasks.contains_key(&(t.task.clone(), t.attempt));
        let earlier = report.session < worker.session;
        let gone = report.tasks.iter().any(is_gone);
        let coincidences = &mut self.coincidences;
        coincidences.add(Coincidence::OldHeartbeatFirst, usize::from(first));
        coincidences.add(
            Coincidence::OldHeartbeatOfEarlierSession,
            usize::from(earlier),
        );
        coincidences.add(Coincidence::OldHeartbeatOfGoneTask, usize::from(gone));
    }
}
