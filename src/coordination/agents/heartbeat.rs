//! Heartbeats of workers: which of them are taken in, and what is answered.
//!
//! A worker reports all its attempts with every heartbeat, and an answer renews the lease
//! of its session. Invariants:
//!
//! - A session whose lease was declared expired is never answered again: the answer might
//!   renew it while its tasks already run elsewhere.
//! - A message older than the newest known one changes nothing.
//! - A worker that has seen a token above those of our term belongs to a later leader.

use super::reconciliation::ReportSource;
use crate::coordination::scheduler::delivery::{Evidence, ANSWER_TIMEOUT_S};
use crate::coordination::scheduler::job::Name;
use crate::coordination::scheduler::machine::{Attempt, Machine, MachineStatus, MessageId};
use crate::coordination::scheduler::state::Scheduler;
use crate::protocol::worker::{Reply, Report, ReportHead};
use crate::storage::records::{MachineInfo, TOKENS_PER_TERM};

/// What to answer a worker's heartbeat.
#[derive(Debug)]
pub enum HeartbeatReply {
    /// The lease is renewed, and these are the commands.
    Commands(Reply),
    /// This session must not be answered.
    Refuse,
    /// The worker has seen a term above ours: we are not the leader any more.
    Superseded,
}

/// How a heartbeat relates to what is known of its machine.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum HeartbeatClass {
    /// Newer than everything known.
    Current,
    /// Older than another message that overtook it; only answered.
    Overtaken,
    /// A late copy, or the heartbeat of a machine that lost its counters and numbers its
    /// sessions anew: its session is not the one we know.
    EarlierLife,
    /// Of a session whose lease was declared expired.
    ExpiredSession,
}

/// The times that the class of a heartbeat depends on, in seconds.
struct HeartbeatTiming {
    now: f64,
    /// Since when messages have been received without a pause of our own.
    listening_since: f64,
    lease_s: f64,
    /// Longest time by which a newer message can overtake a heartbeat.
    max_overtaken_s: f64,
}

impl HeartbeatClass {
    /// The class of this heartbeat of the machine.
    fn of(report: &Report, machine: &Machine, timing: &HeartbeatTiming) -> HeartbeatClass {
        let same_or_older_session = report.session <= machine.last_message.session;
        let expired = machine.status == MachineStatus::Expired;
        if expired && same_or_older_session {
            return HeartbeatClass::ExpiredSession;
        }
        let stale = MessageId::of(report) <= machine.last_message;
        let early =
            !expired && machine.is_early_session(report.session, timing.lease_s, timing.now);
        // A machine keeps the highest term it has seen: newer with a lower one is of
        // an earlier life of a machine that counts anew.
        let lower_token = !stale && report.token < machine.seen_token;
        // Of a machine known to count anew it cannot be told whether a heartbeat of this
        // session is of its present life or of the one before; of the next session it can.
        let ambiguous = machine.renumbers && same_or_older_session;
        let newest_at = machine.heard_at.max(timing.listening_since);
        let too_old = stale && timing.now - newest_at > timing.max_overtaken_s;
        if early || lower_token || ambiguous || too_old {
            HeartbeatClass::EarlierLife
        } else if stale {
            HeartbeatClass::Overtaken
        } else {
            HeartbeatClass::Current
        }
    }
}

fn machine_info(report: &Report) -> MachineInfo {
    MachineInfo {
        id: report.machine.clone(),
        addr: report.addr.clone(),
        kind: report.kind.clone(),
        zone: report.zone.clone(),
        spot: report.spot,
    }
}

impl Scheduler {
    /// Handles a heartbeat that repeats the one before while there is nothing to tell the
    /// worker: it is taken in, and the answer is the returned token without commands.
    /// `None` if the heartbeat needs `handle_heartbeat`. Most heartbeats of a large fleet
    /// are of this kind, so this path parses and allocates nothing.
    pub fn handle_repeated_heartbeat(&mut self, head: &ReportHead, now: f64) -> Option<u64> {
        let machine = self.machines.get_mut(&*head.machine)?;
        let token = machine.token_under(self.term);
        let repeats = machine.status == MachineStatus::Up
            && machine.fenced
            && machine.recorded
            && machine.unknown_attempts == 0
            && machine.indexed
            && !machine.delivery.is_doubtful()
            && !machine.renumbers
            && machine.notice_at.is_none()
            && head.notice_s.is_none()
            && head.token == machine.seen_token
            && head.token <= token
            && head.session == machine.last_message.session
            && head.seq > machine.last_message.seq
            && head.addr == machine.info.addr
            && machine.repeatable_tasks.as_deref() == Some(head.tasks.get());
        if repeats {
            machine.last_message.seq = head.seq;
            machine.heard_at = now;
            machine.answered_at = Some(now);
            machine.delivery.answered(token);
            self.advance_clock(now);
        }
        repeats.then_some(token)
    }

    /// Remembers the heartbeat's task list, as it came, if the same list again would
    /// tell nothing new and call for no command.
    pub fn remember_heartbeat(&mut self, name: &str, message: MessageId, tasks: &str) {
        if let Some(machine) = self.machines.get_mut(name) {
            let steady = machine.last_message == message
                && machine.attempts.values().all(Attempt::is_steady);
            machine.repeatable_tasks = steady.then(|| tasks.into());
        }
    }

    /// Takes in a heartbeat and says what to answer.
    pub fn handle_heartbeat(&mut self, report: &Report, now: f64) -> HeartbeatReply {
        self.advance_clock(now);
        if report.token >= self.term + TOKENS_PER_TERM {
            return HeartbeatReply::Superseded;
        }
        let name: Name = report.machine.as_str().into();
        if self.returned_machines.contains(&name) {
            // A late copy: the machine is gone, and its name is never used again.
            return HeartbeatReply::Refuse;
        }
        let timing = self.heartbeat_timing(now);
        let machine = self.find_or_register(&name, report, now);
        let class = HeartbeatClass::of(report, machine, &timing);
        if class == HeartbeatClass::ExpiredSession {
            return HeartbeatReply::Refuse;
        }
        self.readmit_expired(&name);
        match class {
            HeartbeatClass::Current => {
                self.reconcile_report(&name, report, ReportSource::Heartbeat, now);
            }
            HeartbeatClass::Overtaken => {}
            HeartbeatClass::EarlierLife | HeartbeatClass::ExpiredSession => {
                self.doubt_earlier_life(&name, now);
                return HeartbeatReply::Refuse;
            }
        }
        if self.is_beyond_reach(&name, now) {
            return HeartbeatReply::Refuse;
        }
        let current = class == HeartbeatClass::Current;
        let answered_message = current.then(|| MessageId::of(report));
        HeartbeatReply::Commands(self.answer_heartbeat(&name, answered_message, now))
    }

    fn heartbeat_timing(&self, now: f64) -> HeartbeatTiming {
        HeartbeatTiming {
            now,
            listening_since: self.listening_since(now),
            lease_s: self.config.lease_s,
            // A heartbeat that is not a copy is overtaken by a newer message at most while
            // its worker waits for the answer; by then the next one is due.
            max_overtaken_s: ANSWER_TIMEOUT_S.max(1.5 * self.config.heartbeat_s),
        }
    }

    /// The machine of this heartbeat. One that is not in our record is added: nothing can
    /// have been started on it, and it becomes usable once the record with it is written.
    fn find_or_register(&mut self, name: &Name, report: &Report, now: f64) -> &Machine {
        let drains = &self.drains;
        let machine_record_dirty = &mut self.machine_record_dirty;
        self.machines.entry(name.clone()).or_insert_with(|| {
            *machine_record_dirty = true;
            Machine {
                cordoned: drains.contains_key(name),
                ..Machine::new(machine_info(report), false, now)
            }
        })
    }

    /// Takes a machine whose lease expired back with its next session; as it was proven
    /// empty, it has to be recorded again before tasks start on it.
    fn readmit_expired(&mut self, name: &Name) {
        let Some(machine) = self.machines.get_mut(name) else {
            return;
        };
        if machine.status == MachineStatus::Expired {
            machine.status = MachineStatus::Up;
            machine.recorded = false;
            machine.recent_failures.clear();
            self.machine_record_dirty = true;
        }
    }

    /// Nothing says what a machine runs that reports from an earlier life. Its lease must
    /// end, which an answer might renew, and until it can have ended, counted from now on,
    /// what calls of ours started meanwhile may run.
    fn doubt_earlier_life(&mut self, name: &Name, now: f64) {
        if let Some(machine) = self.machines.get_mut(name) {
            machine
                .delivery
                .message_received(Evidence::Undelivered, now);
            machine.renumbered_at.get_or_insert(now);
        }
        self.suspects.insert(name.clone());
        self.update_capacity(name);
    }

    /// The answer that renews the machine's lease. Commands are worked out in reply to a
    /// current message only.
    fn answer_heartbeat(&mut self, name: &Name, message: Option<MessageId>, now: f64) -> Reply {
        let mut commands = Vec::new();
        if let Some(message) = message {
            if self.placement_due {
                self.place_changed(now);
            }
            commands = self.heartbeat_commands(name, message, now);
        }
        let mut token = self.term;
        if let Some(machine) = self.machines.get_mut(name) {
            token = machine.token_under(self.term);
            machine.answered_at = Some(now);
            machine.delivery.answered(token);
            machine.repeatable_tasks = None;
        }
        Reply { token, commands }
    }
}
