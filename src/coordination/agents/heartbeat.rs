//! Worker sessions: what reports say is on machines, what commands they get,
//! and when silence proves a machine empty.

use crate::coordination::scheduler::capacity::Resources;
use crate::coordination::scheduler::delivery::{Evidence, EvidenceSummary, PATIENCE_S};
use crate::coordination::scheduler::job::{Name, TaskId};
use crate::coordination::scheduler::machine::{Attempt, Machine, MachineStatus};
use crate::coordination::scheduler::state::Scheduler;
use crate::protocol::worker::{Phase, Reply, Report, ReportHead};
use crate::storage::records::{MachineInfo, TOKENS};

/// How a message came to us.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum ReportSource {
    /// A report of the worker's own, which our answer keeps alive.
    Hello,
    /// The answer to a direct call.
    Direct,
}

/// What to answer a worker.
#[derive(Debug)]
pub enum HeartbeatReply {
    Orders(Reply),
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
    pub fn repeats(&mut self, head: &ReportHead, now: f64) -> Option<u64> {
        let m = self.machines.get_mut(&*head.machine)?;
        let token = m.token_under(self.term);
        let same = m.standing == MachineStatus::Up
            && m.fenced
            && m.recorded
            && m.strangers == 0
            && m.indexed
            && !m.hearing.doubted()
            && !m.recounts
            && m.notice_at.is_none()
            && head.notice_s.is_none()
            && head.token == m.token
            && head.token <= token
            && head.session == m.seen.0
            && head.seq > m.seen.1
            && head.addr == m.info.addr
            && m.repeated.as_deref() == Some(head.tasks.get());
        if same {
            m.seen.1 = head.seq;
            m.heard = now;
            m.answered = Some(now);
            m.hearing.answered(token);
            self.passes(now);
        }
        same.then_some(token)
    }

    /// Remembers the report's task list if the same one again would tell
    /// nothing, and call for no command.
    pub fn remember(&mut self, machine: &str, order: (u64, u64), tasks: &str) {
        if let Some(m) = self.machines.get_mut(machine) {
            let plain = m.seen == order && m.active.values().all(Attempt::settled);
            m.repeated = plain.then(|| tasks.into());
        }
    }

    /// Takes in a report and says what to answer.
    pub fn hello(&mut self, report: &Report, now: f64) -> HeartbeatReply {
        self.passes(now);
        if report.token >= self.term + TOKENS {
            return HeartbeatReply::Superseded;
        }
        let name: Name = report.machine.as_str().into();
        if self.returned.contains(&name) {
            // A late copy: the machine is gone, and its name is never used again.
            return HeartbeatReply::Refuse;
        }
        if !self.machines.contains_key(&name) {
            // Not in our record, so nothing can have been started on it. It
            // becomes usable once the record with it is written.
            let held = self.wishes.contains_key(&name);
            let machine = Machine {
                held,
                ..Machine::new(info_of(report), false, now)
            };
            self.machines.insert(name.clone(), machine);
            self.record_dirty = true;
        }
        let listening = self.listening_since(now);
        let Some(m) = self.machines.get_mut(&name) else {
            return HeartbeatReply::Refuse;
        };
        // An older one that is not a copy is overtaken by a newer message at most while
        // its worker waits for the answer; by then the next one is due.
        let overtaken_s = PATIENCE_S.max(1.5 * self.params.report_s);
        let order = (report.session, report.seq);
        let early = m.standing != MachineStatus::Expired
            && m.early_session(report.session, self.params.lease_s, now);
        if m.standing == MachineStatus::Expired {
            if report.session <= m.seen.0 {
                // Answering would renew a lease that was declared over.
                return HeartbeatReply::Refuse;
            }
            m.standing = MachineStatus::Up;
            m.recorded = false;
            m.errors.clear();
            self.record_dirty = true;
        }
        let stale = order <= m.seen;
        // A machine keeps the highest term it has seen: newer with a lower one is of
        // an earlier life of a machine that counts anew.
        let other_life = early || !stale && report.token < m.token;
        // Known to count anew: whether a report of this session is of its present life
        // or of the one before cannot be told; the next session is.
        let other_life = other_life || m.recounts && report.session <= m.seen.0;
        if other_life || stale && now - m.heard.max(listening) > overtaken_s {
            // A copy of an old report, or a machine that counts anew: its session is
            // not the one we know, and nothing says what it runs. Its lease must end
            // (an answer might renew it), and until it can have ended, from now on,
            // what calls of ours started meanwhile may run.
            m.hearing.heard(Evidence::Unheeded, now);
            m.anew_at.get_or_insert(now);
            self.doubtful.insert(name.clone());
            self.reindex(&name);
            return HeartbeatReply::Refuse;
        }
        if !stale {
            self.take_in(&name, report, ReportSource::Hello, now);
        }
        if self.in_vain(&name, now) {
            return HeartbeatReply::Refuse;
        }
        let mut commands = Vec::new();
        if !stale {
            if self.dirty {
                self.place_news(now);
            }
            commands = self.orders(&name, order, now);
        }
        let mut token = self.term;
        if let Some(m) = self.machines.get_mut(&name) {
            token = m.token_under(self.term);
            m.answered = Some(now);
            m.hearing.answered(token);
            m.repeated = None;
        }
        HeartbeatReply::Orders(Reply { token, commands })
    }

    /// Reconciles a newer message with what we thought.
    pub(crate) fn take_in(&mut self, name: &Name, report: &Report, via: ReportSource, now: f64) {
        let base_term = self.fence.base_term;
        // What ended while we stood still says nothing of the machine's hearing.
        let steady = now - self.listening_since(now) > self.params.lease_s;
        let Some(m) = self.machines.get_mut(name) else {
            return;
        };
        let newer_session = report.session > m.seen.0;
        let first = m.seen == (0, 0);
        let mut signs = EvidenceSummary::default();
        if via == ReportSource::Direct {
            signs.note(Evidence::Heeded);
        } else {
            // What it did not hear of before is seen below, from its tasks.
            let told = m.hearing.told;
            if report.token < told {
                signs.note(Evidence::Unheeded);
            } else if m.token < told {
                signs.note(Evidence::Heeded);
            }
            m.hearing.stays(now - m.heard);
            if newer_session && m.hearing.session_over() && !first && steady {
                signs.note(Evidence::Unheeded);
            }
        }
        m.heard = now;
        m.anew_at = None;
        m.unanswered = 0;
        m.repeated = None;
        m.seen = (report.session, report.seq);
        if newer_session {
            m.session_at = now;
            m.recounts = false;
        }
        m.token = m.token.max(report.token);
        if report.token >= base_term && !m.fenced {
            m.fenced = true;
            m.fenced_at = now;
            self.dirty = true;
        }
        if m.info.addr != report.addr {
            m.info.addr = report.addr.clone();
            self.record_dirty = true;
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
            let key = (TaskId { index, job }, entry.attempt);
            if holds.is_none() && entry.phase != Phase::Exited {
                strangers += 1;
            }
            signs.note(self.take_entry(name, &key, entry.phase, entry.cause, holds, now));
        }
        let Some(m) = self.machines.get_mut(name) else {
            return;
        };
        m.strangers = strangers;
        if strangers > 0 {
            self.awaited.insert(name.clone());
        }
        // Answers to earlier reports were executed or dropped before this one
        // was sent; answers to direct calls say nothing about them.
        let (token, seen) = (m.token, m.seen);
        let mut gone = Vec::new();
        for (key, active) in m.active.iter_mut() {
            if via == ReportSource::Hello && active.hello.take().is_some() {
                // A start in an answer to an earlier report shows by now.
                signs.note(if active.shown == seen {
                    Evidence::Heeded
                } else {
                    Evidence::Unheeded
                });
            }
            if active.told && active.shown != seen {
                signs.note(Evidence::Heeded);
            }
            if active.limbo.is_some_and(|(term, _)| term < token) {
                active.limbo = None;
            }
            if active.shown == seen {
                continue;
            }
            let was_shown = active.phase.is_some();
            let unwanted = active.stop.is_some() || !m.recorded;
            if was_shown && !active.in_flight() || unwanted && !active.in_flight() {
                gone.push(key.clone());
            }
        }
        for key in gone {
            self.remove_attempt(name, &key);
        }
        if let Some(m) = self.machines.get_mut(name) {
            if !m.active.is_empty() {
                m.idle_since = now;
            }
            let doubted = m.hearing.doubted();
            m.hearing.heard(signs.sum(), now);
            if m.hearing.doubted() != doubted {
                tracing::info!(machine = %name, doubted = !doubted, "does it hear us?");
                self.doubtful.insert(name.clone());
                self.dirty = true;
            }
        }
        self.reindex(name);
    }

    /// Forgets an attempt; the machine is to be indexed anew afterwards.
    pub(crate) fn remove_attempt(&mut self, name: &Name, key: &(TaskId, u64)) {
        let mut removed = None;
        if let Some(m) = self.machines.get_mut(name) {
            removed = m.active.remove(key);
            m.repeated = None;
            m.idle_since = self.now;
        }
        if let Some(mut active) = removed {
            self.not_running(key, &mut active);
        }
        self.off(key);
    }
}
