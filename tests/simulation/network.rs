//! The network between leaders and workers: it delays, drops, holds back and repeats.

use super::*;
use foxspur::coordination::scheduler::machine::MessageId;

/// Send time of copies, whose answers nobody reads.
const COPY: f64 = -1.0;
/// The leader that copies go to: whoever it is when they arrive.
const LATEST: u64 = u64::MAX;

/// A message. Workers are given by their place, leaders by their base term.
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
        call: Direct,
        /// Its sender knows already that it has no answer.
        given_up: bool,
    },
    CallEnded {
        worker: usize,
        leader: u64,
        call: Direct,
        result: CallResult,
    },
}

/// A message on its way.
pub(crate) struct InFlight {
    pub(crate) at: f64,
    pub(crate) message: Message,
}

impl Message {
    /// A copy of a heartbeat, to whoever leads when it arrives. Nobody reads the answer.
    pub(crate) fn copy_of_heartbeat(worker: usize, report: Report) -> Message {
        Message::Heartbeat {
            worker,
            leader: LATEST,
            report,
            sent_at: COPY,
        }
    }

    /// The caller learns that its call has no answer.
    pub(crate) fn no_answer(worker: usize, leader: u64, call: Direct) -> Message {
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

    /// The leader that reads it, if one does.
    fn reader(&self) -> Option<u64> {
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

    /// The message arrives at this time.
    pub(crate) fn arrive(&mut self, at: f64, message: Message) {
        self.in_flight.push(InFlight { at, message });
    }

    /// Adds a message to the digest of the history.
    fn record(&mut self, message: &Message) {
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

    /// Sends a message: it is lost, held back or late, or arrives.
    pub(crate) fn send(&mut self, message: Message) {
        self.record(&message);
        let worker = message.worker();
        let arrives_at = self.now + self.delay();
        let Some(message) = self.pass_unreachable(worker, message) else {
            return;
        };
        let partitioned_until = self.workers[worker]
            .partitioned_until
            .max(self.partitioned_by_zone(worker, &message));
        if partitioned_until <= self.now {
            self.send_in_time(arrives_at, message);
        } else if self.rng.random_bool(0.5) {
            // Lost: a caller only learns that time is up.
            if let Message::Call {
                worker,
                leader,
                call,
                given_up: false,
            }
            | Message::CallEnded {
                worker,
                leader,
                call,
                ..
            } = message
            {
                let timeout = self.now + CALL_TIMEOUT_S;
                self.arrive(timeout, Message::no_answer(worker, leader, call));
            }
        } else {
            self.send_in_time(arrives_at.max(partitioned_until), message);
        }
    }

    /// What a leader sends to an unreachable machine is lost.
    fn pass_unreachable(&mut self, worker: usize, message: Message) -> Option<Message> {
        if self.workers[worker].unreachable_until <= self.now {
            return Some(message);
        }
        match message {
            Message::Answer { .. } | Message::Call { given_up: true, .. } => None,
            Message::Call {
                worker,
                leader,
                call,
                given_up: false,
            } => {
                let timeout = self.now + CALL_TIMEOUT_S;
                self.arrive(timeout, Message::no_answer(worker, leader, call));
                None
            }
            Message::Heartbeat { .. } | Message::CallEnded { .. } => Some(message),
        }
    }

    /// Every call has a timeout; what comes later is executed all the same.
    fn send_in_time(&mut self, at: f64, message: Message) {
        let timeout = self.now + CALL_TIMEOUT_S;
        match message {
            Message::Call {
                worker,
                leader,
                call,
                given_up: false,
            } if at > timeout => {
                self.arrive(timeout, Message::no_answer(worker, leader, call.clone()));
                let late = Message::Call {
                    worker,
                    leader,
                    call,
                    given_up: true,
                };
                self.arrive(at, late);
            }
            Message::CallEnded {
                worker,
                leader,
                call,
                ..
            } if at > timeout => {
                self.arrive(timeout, Message::no_answer(worker, leader, call));
            }
            other => self.arrive(at, other),
        }
    }

    /// Until when a message of a leader outside a partitioned zone does not get through.
    fn partitioned_by_zone(&self, worker: usize, message: &Message) -> f64 {
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

    /// Counts an answer of a former leader in a partitioned zone.
    fn note_partitioned_zone(&mut self, worker: usize, leader: u64) {
        let partition = self.workers[worker].zone_partition;
        let partition = partition.filter(|p| p.leader == leader);
        let long = partition.is_some_and(|c| self.now - c.since > LEASE_S && self.now < c.until);
        self.met
            .add(Meeting::AnsweredInPartitionedZone, usize::from(long));
    }

    /// Delivers what has arrived.
    pub(crate) fn deliver(&mut self) {
        let now = self.now;
        let mut due: Vec<InFlight> = Vec::new();
        let mut i = 0;
        while i < self.in_flight.len() {
            if self.in_flight[i].at <= now {
                due.push(self.in_flight.remove(i));
            } else {
                i += 1;
            }
        }
        due.sort_by(|a, b| a.at.total_cmp(&b.at));
        for InFlight { mut message, .. } in due {
            if let Message::Heartbeat { leader, .. } = &mut message {
                if *leader == LATEST {
                    *leader = self.leaders.last().map_or(0, Leader::base_term);
                }
            }
            // What comes while it stands still is read when it goes on, in any
            // order among its connections.
            let paused_until = message.reader().and_then(|leader| self.paused.get(&leader));
            if let Some(until) = paused_until {
                let at = until + self.rng.random_range(0.0..0.2);
                self.arrive(at, message);
                continue;
            }
            self.receive(message);
        }
    }

    /// The addressee reads the message.
    fn receive(&mut self, message: Message) {
        match message {
            Message::Heartbeat {
                worker,
                leader,
                report,
                sent_at,
            } => self.leader_gets_heartbeat(worker, leader, &report, sent_at),
            Message::Answer {
                worker,
                session,
                sent_at,
                reply,
            } => self.worker_gets_answer(worker, session, sent_at, &reply),
            Message::Call {
                worker,
                leader,
                call,
                given_up,
            } => self.worker_gets_call(worker, leader, call, given_up),
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

    fn leader_gets_heartbeat(&mut self, worker: usize, leader: u64, report: &Report, sent_at: f64) {
        let now = self.now;
        if sent_at == COPY {
            self.note_old_heartbeat(worker, leader, report);
        }
        let Some(scheduler) = self.scheduler_of(leader) else {
            return;
        };
        let answer = scheduler.handle_heartbeat(report, now);
        if let (HeartbeatReply::Commands(reply), true) = (answer, sent_at != COPY) {
            self.note_partitioned_zone(worker, leader);
            self.send(Message::Answer {
                worker,
                session: report.session,
                sent_at,
                reply,
            });
        }
    }

    fn worker_gets_answer(&mut self, index: usize, session: u64, sent_at: f64, reply: &Reply) {
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

    fn worker_gets_call(&mut self, index: usize, leader: u64, call: Direct, given_up: bool) {
        let now = self.now;
        let hung_until = self.workers[index].hung_until;
        if hung_until > now {
            if !given_up {
                let no_answer = Message::no_answer(index, leader, call.clone());
                self.arrive(now + CALL_TIMEOUT_S, no_answer);
            }
            let late = Message::Call {
                worker: index,
                leader,
                call,
                given_up: true,
            };
            self.arrive(hung_until + 0.01, late);
            return;
        }
        // A worker that goes on notices its lease first.
        if now - self.workers[index].lease_renewed_at > LEASE_S {
            self.session_over(index);
        }
        let worker = &mut self.workers[index];
        let accepted = call.token >= worker.token && call.session == worker.session;
        worker.token = worker.token.max(call.token);
        if accepted {
            let is_start = |c: &&Command| matches!(c, Command::Start { .. });
            let starts = call.commands.iter().filter(is_start).count();
            let held = if given_up { starts } else { 0 };
            self.met.add(Meeting::HeldStart, held);
            self.execute(index, &call.commands);
        }
        let report = self.report(index);
        let result = if accepted {
            CallResult::Executed(report)
        } else {
            CallResult::Rejected(report)
        };
        // Half of the late ones were given up by their sender.
        if !given_up {
            self.send(Message::CallEnded {
                worker: index,
                leader,
                call,
                result,
            });
        }
    }

    /// Counts what an old heartbeat meets.
    fn note_old_heartbeat(&mut self, index: usize, leader: u64, report: &Report) {
        let known = self.leaders.iter().find(|l| l.base_term() == leader);
        let machine = known.and_then(|l| l.scheduler.machines.get(&*report.machine));
        let first = machine.is_some_and(|m| m.last_message == MessageId::NONE);
        let worker = &self.workers[index];
        let is_gone = |t: &Shown| !worker.tasks.contains_key(&(t.task.clone(), t.attempt));
        let earlier = report.session < worker.session;
        let gone = report.tasks.iter().any(is_gone);
        let met = &mut self.met;
        met.add(Meeting::OldHeartbeatFirst, usize::from(first));
        met.add(Meeting::OldHeartbeatOfEarlierSession, usize::from(earlier));
        met.add(Meeting::OldHeartbeatOfGoneTask, usize::from(gone));
    }
}
