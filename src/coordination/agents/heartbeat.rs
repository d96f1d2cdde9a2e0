//! Handles workers' heartbeats: decides which ones update the scheduler and what to answer.
//!
//! A worker reports all its attempts with every heartbeat, and an answer renews the lease
//! of its session. Invariants:
//!
//! - A session whose lease was declared expired is never answered again: the answer might
//!   renew the lease while the session's tasks already run elsewhere.
//! - A message older than the newest known message of its machine changes nothing.
//! - A message whose incarnation is not known changes nothing. Its answer carries a token that
//!   identifies the present incarnation, and no commands (see `scheduler::incarnation`).
//! - A worker that has seen a token above those of our term belongs to a later leader.

use super::reconciliation::ReportSource;
use crate::coordination::scheduler::delivery::{Evidence, ANSWER_TIMEOUT_S};
use crate::coordination::scheduler::incarnation::CheckReason;
use crate::coordination::scheduler::job::Name;
use crate::coordination::scheduler::machine::{Attempt, Machine, MachineStatus, MessageId};
use crate::coordination::scheduler::state::Scheduler;
use crate::protocol::worker::{Reply, Report, ReportHead};
use crate::storage::records::{MachineInfo, TOKENS_PER_TERM};

/// Heartbeats are answered for a lease divided by this number after an incarnation check began.
const CHECK_ANSWERS_DIVISOR: f64 = 4.0;

/// The answer to a worker's heartbeat.
#[derive(Debug)]
pub enum HeartbeatReply {
    /// Renews the lease and carries these commands.
    Commands(Reply),
    /// Renews the lease and carries this token, but no commands. The heartbeat was not processed,
    /// since it is not known which incarnation of the machine sent it. A message that shows the
    /// token is of the present one.
    IncarnationCheck(u64),
    /// The heartbeat is refused: the worker's lease is not renewed and no commands are sent.
    Refuse,
    /// The worker has seen a term above ours: we are not the leader any more.
    Superseded,
}

/// How a heartbeat relates to the known state of its machine.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum HeartbeatClass {
    /// Newer than every known message of the machine.
    Current,
    /// Overtaken by a newer message. Such a heartbeat is answered, but changes nothing.
    Overtaken,
    /// A late copy, or a heartbeat of a machine that lost its counters and restarted its session
    /// numbering. The session may belong to an incarnation other than the known one.
    OtherIncarnation,
    /// From a session whose lease was declared expired.
    ExpiredSession,
    /// From another session after the machine's lease was declared expired.
    ReturnAfterExpiry,
}

/// The times and durations, in seconds, that are needed to classify a heartbeat.
struct HeartbeatTiming {
    now: f64,
    /// The time since which this process has received messages without a pause of its own.
    receiving_since: f64,
    lease_s: f64,
    /// Maximum time by which a newer message can precede a heartbeat that is not a copy, in
    /// seconds.
    max_overtaken_s: f64,
}

impl HeartbeatClass {
    fn of(report: &Report, machine: &Machine, timing: &HeartbeatTiming) -> HeartbeatClass {
        if machine.incarnation_check.is_some() {
            return if machine.passes_incarnation_check(report) {
                HeartbeatClass::Current
            } else {
                HeartbeatClass::OtherIncarnation
            };
        }
        if machine.status == MachineStatus::Expired {
            return if report.session == machine.last_message.session {
                HeartbeatClass::ExpiredSession
            } else {
                HeartbeatClass::ReturnAfterExpiry
            };
        }
        let stale = MessageId::of(report) <= machine.last_message;
        let early = machine.is_early_session(report.session, timing.lease_s, timing.now);
        // A machine keeps the highest token it has seen. A heartbeat that looks newer but
        // has a lower token is from another incarnation of a machine that restarted its
        // session numbering.
        let lower_token = !stale && report.token < machine.seen_token;
        let precedes_check = !stale && machine.may_precede_check(report.session, report.token);
        let newest_at = machine.heard_at.max(timing.receiving_since);
        let too_old = stale && timing.now - newest_at > timing.max_overtaken_s;
        if early || lower_token || precedes_check || too_old {
            HeartbeatClass::OtherIncarnation
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
    /// Handles a heartbeat that repeats the previous one while there are no commands for the
    /// worker. Records the heartbeat and returns the token for an answer without commands.
    /// Returns `None` if the heartbeat must be passed to `handle_heartbeat`. Most heartbeats
    /// of a large fleet are repetitions, so this path parses and allocates nothing.
    pub fn handle_repeated_heartbeat(&mut self, head: &ReportHead, now: f64) -> Option<u64> {
        let machine = self.machines.get_mut(&*head.machine)?;
        let token = machine.token_under(self.term);
        let repeats = machine.status == MachineStatus::Up
            && machine.fenced
            && machine.recorded
            && machine.unknown_attempts == 0
            && machine.indexed
            && !machine.delivery.is_doubtful()
            && machine.incarnation_check.is_none()
            && machine.notice_at.is_none()
            && head.notice_s.is_none()
            && head.token == machine.seen_token
            && head.token <= token
            && head.session == machine.last_message.session
            && head.seq > machine.last_message.seq
            && head.addr == machine.info.addr
            && machine.unchanged_task_list.as_deref() == Some(head.tasks.get());
        if repeats {
            machine.last_message.seq = head.seq;
            machine.heard_at = now;
            machine.heard_since_call = true;
            machine.answered_at = Some(now);
            machine.delivery.record_reply(token);
            self.messages.heartbeats += 1;
            self.advance_clock(now);
        }
        repeats.then_some(token)
    }

    /// Stores the heartbeat's task list in its received form, if a further heartbeat with the
    /// same list would bring no new information and need no command.
    pub fn store_task_list(&mut self, name: &str, message: MessageId, tasks: &str) {
        if let Some(machine) = self.machines.get_mut(name) {
            // The next heartbeat shows a higher token if a start is open, or the token must be raised.
            let steady = machine.last_message == message
                && machine.open_starts() == 0
                && machine.attempts.values().all(Attempt::is_steady);
            machine.unchanged_task_list = steady.then(|| tasks.into());
        }
    }

    /// Processes a heartbeat and returns the answer.
    pub fn handle_heartbeat(&mut self, report: &Report, now: f64) -> HeartbeatReply {
        self.advance_clock(now);
        self.messages.heartbeats += 1;
        if report.token >= self.term + TOKENS_PER_TERM {
            return HeartbeatReply::Superseded;
        }
        let name: Name = report.machine.as_str().into();
        if self.returned_machines.contains(&name) {
            // A late copy: the machine was returned, and its name is never used again.
            return HeartbeatReply::Refuse;
        }
        let timing = self.heartbeat_timing(now);
        let machine = self.find_or_register(&name, report, now);
        let class = HeartbeatClass::of(report, machine, &timing);
        match class {
            HeartbeatClass::Current => {
                self.reconcile_report(&name, report, ReportSource::Heartbeat, now);
            }
            HeartbeatClass::Overtaken => {}
            HeartbeatClass::OtherIncarnation => {
                let reason = CheckReason::NumberingMismatch;
                return self.answer_incarnation_check(&name, reason, now);
            }
            HeartbeatClass::ReturnAfterExpiry => {
                let reason = CheckReason::ReturnAfterExpiry;
                return self.answer_incarnation_check(&name, reason, now);
            }
            HeartbeatClass::ExpiredSession => return HeartbeatReply::Refuse,
        }
        if self.must_stop_answering(&name, now) {
            return HeartbeatReply::Refuse;
        }
        let current = class == HeartbeatClass::Current;
        let answered_message = current.then(|| MessageId::of(report));
        HeartbeatReply::Commands(self.answer_heartbeat(&name, answered_message, now))
    }

    fn heartbeat_timing(&self, now: f64) -> HeartbeatTiming {
        HeartbeatTiming {
            now,
            receiving_since: self.receiving_since(now),
            lease_s: self.config.lease_s,
            // A heartbeat that is not a copy can be overtaken only while its worker waits
            // for the answer. After that time the worker sends its next heartbeat.
            max_overtaken_s: ANSWER_TIMEOUT_S.max(1.5 * self.config.heartbeat_s),
        }
    }

    /// Returns the machine of this heartbeat, and adds the machine if it is unknown. Nothing can
    /// have been started on an unknown machine. The machine becomes usable once a machine record
    /// that lists it is written.
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

    /// When a machine whose lease expired has passed an incarnation check, readmits it. The expiry
    /// removed the machine from the machine record, so it must be recorded again before
    /// tasks start on it.
    pub(super) fn readmit_expired(&mut self, name: &Name) {
        let Some(machine) = self.machines.get_mut(name) else {
            return;
        };
        if machine.status == MachineStatus::Expired {
            machine.status = MachineStatus::Up;
            machine.recent_failures.clear();
            self.machine_record_dirty = true;
        }
    }

    /// Marks the delivery to a machine as doubtful and begins an incarnation check.
    pub(super) fn doubt_delivery(&mut self, name: &Name, reason: CheckReason, now: f64) {
        self.begin_incarnation_check(name, reason, now);
        if let Some(machine) = self.machines.get_mut(name) {
            machine.delivery.record_evidence(Evidence::Undelivered, now);
        }
        self.machines_with_doubtful_delivery.insert(name.clone());
        self.update_capacity(name);
    }

    /// Answers a heartbeat that does not show what the machine runs now: a late copy, or a
    /// heartbeat of a machine that restarted its numbering or whose lease had expired. The answer
    /// carries the token of the machine's incarnation check.
    ///
    /// The answer may renew the lease of a session that the leader does not know, so it is given
    /// only for a part of a lease after the check began. If no message shows the token by then,
    /// answers do not reach the machine, and its lease must end. Once the lease of the last known
    /// session has expired, an answer renews no lease that the leader waits for.
    fn answer_incarnation_check(
        &mut self,
        name: &Name,
        reason: CheckReason,
        now: f64,
    ) -> HeartbeatReply {
        self.doubt_delivery(name, reason, now);
        if self.must_stop_answering(name, now) {
            return HeartbeatReply::Refuse;
        }
        let max_check_s = self.config.lease_s / CHECK_ANSWERS_DIVISOR;
        let term = self.term;
        let Some(machine) = self.machines.get_mut(name) else {
            return HeartbeatReply::Refuse;
        };
        let token = machine.token_under(term);
        let expired = machine.status == MachineStatus::Expired;
        let answers = machine.incarnation_check.is_some_and(|check| {
            token >= check.token && (expired || now - check.began_at <= max_check_s)
        });
        if !answers {
            return HeartbeatReply::Refuse;
        }
        machine.answered_at = Some(now);
        machine.delivery.record_reply(token);
        HeartbeatReply::IncarnationCheck(token)
    }

    /// Builds the answer that renews the machine's lease. Only the answer to a current
    /// message carries commands; `message` is `None` if the heartbeat was overtaken.
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
            machine.delivery.record_reply(token);
            machine.unchanged_task_list = None;
        }
        Reply { token, commands }
    }
}
