//! Worker sessions: what reports say is on machines, what commands they get,
//! and when silence proves a machine empty.

use crate::coordination::scheduler::capacity::Resources;
use crate::coordination::scheduler::delivery::{Evidence, EvidenceSummary, PATIENCE_S};
use crate::coordination::scheduler::job::{AttemptId, Name, TaskId};
use crate::coordination::scheduler::machine::{Attempt, Machine, MachineStatus, MessageId};
use crate::coordination::scheduler::state::Scheduler;
use crate::protocol::worker::{Phase, Reply, Report, ReportHead};
use crate::storage::records::{MachineInfo, TOKENS_PER_TERM};

/// How a message came to us.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum ReportSource {
    /// A report of the worker's own, which our answer keeps alive.
    Heartbeat,
    /// The answer to a direct call.
    DirectCall,
}

/// What to answer a worker.
#[derive(Debug)]
pub enum HeartbeatReply {
    Commands(Reply),
    /// We must not answer this session.
    Refuse,
    /// The worker has seen a term above ours: we are not the owner any more.
    Superseded,
}

fn info_of(report: &Report) -> MachineInfo {
    MachineInfo {
        id: report.machine.clone(),
        addr: report.addr.clone(),
        kind: report.kind.clone(),
        zone: report.zone.clone(),
        spot: report.spot,
    }
}

impl Scheduler {
    /// Whether the report says just what the one before said and there is
    /// nothing to tell the worker; then it is taken in, and the answer is this
    /// token and no command. Most reports of a large fleet are like this.
    pub fn handle_repeated_heartbeat(&mut self, head: &ReportHead, now: f64) -> Option<u64> {
        let m = self.machines.get_mut(&*head.machine)?;
        let token = m.token_under(self.term);
        let same = m.status == MachineStatus::Up
            && m.fenced
            && m.recorded
            && m.unknown_attempts == 0
            && m.indexed
            && !m.delivery.is_doubted()
            && !m.renumbers
            && m.notice_at.is_none()
            && head.notice_s.is_none()
            && head.token == m.seen_token
            && head.token <= token
            && head.session == m.last_message.session
            && head.seq > m.last_message.seq
            && head.addr == m.info.addr
            && m.repeatable_tasks.as_deref() == Some(head.tasks.get());
        if same {
            m.last_message.seq = head.seq;
            m.heard_at = now;
            m.answered_at = Some(now);
            m.delivery.answered(token);
            self.advance_clock(now);
        }
        same.then_some(token)
    }

    /// Remembers the report's task list if the same one again would tell
    /// nothing, and call for no command.
    pub fn remember_heartbeat(&mut self, machine: &str, order: MessageId, tasks: &str) {
        if let Some(m) = self.machines.get_mut(machine) {
            let plain = m.last_message == order && m.attempts.values().all(Attempt::is_steady);
            m.repeatable_tasks = plain.then(|| tasks.into());
        }
    }

    /// Takes in a report and says what to answer.
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
        if !self.machines.contains_key(&name) {
            // Not in our record, so nothing can have been started on it. It
            // becomes usable once the record with it is written.
            let held = self.drains.contains_key(&name);
            let machine = Machine {
                cordoned: held,
                ..Machine::new(info_of(report), false, now)
            };
            self.machines.insert(name.clone(), machine);
            self.machine_record_dirty = true;
        }
        let listening = self.listening_since(now);
        let Some(m) = self.machines.get_mut(&name) else {
            return HeartbeatReply::Refuse;
        };
        // An older one that is not a copy is overtaken by a newer message at most while
        // its worker waits for the answer; by then the next one is due.
        let overtaken_s = PATIENCE_S.max(1.5 * self.config.report_s);
        let order = MessageId::of(report);
        let early = m.status != MachineStatus::Expired
            && m.is_early_session(report.session, self.config.lease_s, now);
        if m.status == MachineStatus::Expired {
            if report.session <= m.last_message.session {
                // Answering would renew a lease that was declared over.
                return HeartbeatReply::Refuse;
            }
            m.status = MachineStatus::Up;
            m.recorded = false;
            m.recent_failures.clear();
            self.machine_record_dirty = true;
        }
        let stale = order <= m.last_message;
        // A machine keeps the highest term it has seen: newer with a lower one is of
        // an earlier life of a machine that counts anew.
        let other_life = early || !stale && report.token < m.seen_token;
        // Known to count anew: whether a report of this session is of its present life
        // or of the one before cannot be told; the next session is.
        let other_life = other_life || m.renumbers && report.session <= m.last_message.session;
        if other_life || stale && now - m.heard_at.max(listening) > overtaken_s {
            // A copy of an old report, or a machine that counts anew: its session is
            // not the one we know, and nothing says what it runs. Its lease must end
            // (an answer might renew it), and until it can have ended, from now on,
            // what calls of ours started meanwhile may run.
            m.delivery.message_received(Evidence::Undelivered, now);
            m.renumbered_at.get_or_insert(now);
            self.suspects.insert(name.clone());
            self.update_capacity(&name);
            return HeartbeatReply::Refuse;
        }
        if !stale {
            self.reconcile_report(&name, report, ReportSource::Heartbeat, now);
        }
        if self.is_beyond_reach(&name, now) {
            return HeartbeatReply::Refuse;
        }
        let mut commands = Vec::new();
        if !stale {
            if self.placement_due {
                self.place_changed(now);
            }
            commands = self.heartbeat_commands(&name, order, now);
        }
        let mut token = self.term;
        if let Some(m) = self.machines.get_mut(&name) {
            token = m.token_under(self.term);
            m.answered_at = Some(now);
            m.delivery.answered(token);
            m.repeatable_tasks = None;
        }
        HeartbeatReply::Commands(Reply { token, commands })
    }

    /// Reconciles a newer message with what we thought.
    pub(crate) fn reconcile_report(
        &mut self,
        name: &Name,
        report: &Report,
        via: ReportSource,
        now: f64,
    ) {
        let base_term = self.fence.base_term;
        // What ended while we stood still says nothing of the machine's hearing.
        let steady = now - self.listening_since(now) > self.config.lease_s;
        let Some(m) = self.machines.get_mut(name) else {
            return;
        };
        let newer_session = report.session > m.last_message.session;
        let first = m.last_message == MessageId::NONE;
        let mut signs = EvidenceSummary::default();
        if via == ReportSource::DirectCall {
            signs.note(Evidence::Delivered);
        } else {
            // What it did not hear of before is seen below, from its tasks.
            let told = m.delivery.told_term;
            if report.token < told {
                signs.note(Evidence::Undelivered);
            } else if m.seen_token < told {
                signs.note(Evidence::Delivered);
            }
            m.delivery.next_heartbeat_after(now - m.heard_at);
            if newer_session && m.delivery.session_ended() && !first && steady {
                signs.note(Evidence::Undelivered);
            }
        }
        m.heard_at = now;
        m.renumbered_at = None;
        m.unanswered_calls = 0;
        m.repeatable_tasks = None;
        m.last_message = MessageId::of(report);
        if newer_session {
            m.session_seen_at = now;
            m.renumbers = false;
        }
        m.seen_token = m.seen_token.max(report.token);
        if report.token >= base_term && !m.fenced {
            m.fenced = true;
            m.fenced_at = now;
            self.placement_due = true;
        }
        if m.info.addr != report.addr {
            m.info.addr = report.addr.clone();
            self.machine_record_dirty = true;
        }
        m.notice_at = report.notice_s.map(|s| now + s);
        if newer_session && !first {
            // All tasks of the old session were killed, and commands to it
            // are dropped.
            tracing::info!(machine = %name, session = report.session, "new session");
            self.clear_machine(name);
        }
        let mut strangers = 0;
        for entry in &report.tasks {
            let Some((job, index)) = TaskId::split(&entry.task) else {
                continue;
            };
            let known = self.jobs.get_key_value(job);
            let holds = known
                .filter(|(_, j)| index < j.spec.tasks)
                .map(|(_, j)| Resources::of_task(&j.spec));
            let job = known.map_or_else(|| job.into(), |(name, _)| name.clone());
            let key = AttemptId::new(TaskId { index, job }, entry.attempt);
            if holds.is_none() && entry.phase != Phase::Exited {
                strangers += 1;
            }
            signs.note(self.reconcile_task(name, &key, entry.phase, entry.cause, holds, now));
        }
        let Some(m) = self.machines.get_mut(name) else {
            return;
        };
        m.unknown_attempts = strangers;
        if strangers > 0 {
            self.unfenced.insert(name.clone());
        }
        // Answers to earlier reports were executed or dropped before this one
        // was sent; answers to direct calls say nothing about them.
        let (token, seen) = (m.seen_token, m.last_message);
        let mut gone = Vec::new();
        for (key, active) in m.attempts.iter_mut() {
            if via == ReportSource::Heartbeat && active.sent_in_reply_to.take().is_some() {
                // A start in an answer to an earlier report shows by now.
                signs.note(if active.last_shown == seen {
                    Evidence::Delivered
                } else {
                    Evidence::Undelivered
                });
            }
            if active.told_to_end && active.last_shown != seen {
                signs.note(Evidence::Delivered);
            }
            if active.unresolved_call.is_some_and(|(term, _)| term < token) {
                active.unresolved_call = None;
            }
            if active.last_shown == seen {
                continue;
            }
            let was_shown = active.phase.is_some();
            let unwanted = active.stop_grace_s.is_some() || !m.recorded;
            if was_shown && !active.is_in_flight() || unwanted && !active.is_in_flight() {
                gone.push(key.clone());
            }
        }
        for key in gone {
            self.remove_attempt(name, &key);
        }
        if let Some(m) = self.machines.get_mut(name) {
            if !m.attempts.is_empty() {
                m.idle_since = now;
            }
            let doubted = m.delivery.is_doubted();
            m.delivery.message_received(signs.conclusion(), now);
            if m.delivery.is_doubted() != doubted {
                tracing::info!(machine = %name, doubted = !doubted, "does it hear us?");
                self.suspects.insert(name.clone());
                self.placement_due = true;
            }
        }
        self.update_capacity(name);
    }

    /// Forgets an attempt; the machine is to be indexed anew afterwards.
    pub(crate) fn remove_attempt(&mut self, name: &Name, key: &AttemptId) {
        let mut removed = None;
        if let Some(m) = self.machines.get_mut(name) {
            removed = m.attempts.remove(key);
            m.repeatable_tasks = None;
            m.idle_since = self.now;
        }
        if let Some(mut active) = removed {
            self.uncount_running(key, &mut active);
        }
        self.release_attempt(key);
    }
}
