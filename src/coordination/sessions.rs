//! Worker sessions: what reports say is on machines, what commands they get,
//! and when silence proves a machine empty.

use super::core::Core;
use super::hearing::{Sign, Signs, PATIENCE_S};
use super::job::{Name, TaskId};
use super::machine::{Active, Machine, Standing};
use super::room::Room;
use crate::protocol::worker::{Cause, Command, Direct, Phase, Reply, Report, ReportHead};
use crate::storage::records::{MachineInfo, TOKENS};

/// How a message came to us.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Via {
    /// A report of the worker's own, which our answer keeps alive.
    Hello,
    /// The answer to a direct call.
    Direct,
}

/// What to answer a worker.
#[derive(Debug)]
pub enum Answer {
    Orders(Reply),
    /// We must not answer this session.
    Refuse,
    /// The worker has seen a term above ours: we are not the owner any more.
    Superseded,
}

/// What came of a direct call, as far as the core cares.
#[derive(Debug)]
pub enum CallResult {
    Executed(Report),
    Rejected(Report),
    NotSent,
    Unknown,
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

impl Core {
    /// Whether the report says just what the one before said and there is
    /// nothing to tell the worker; then it is taken in, and the answer is this
    /// token and no command. Most reports of a large fleet are like this.
    pub fn repeats(&mut self, head: &ReportHead, now: f64) -> Option<u64> {
        let m = self.machines.get_mut(&*head.machine)?;
        let token = m.token_under(self.term);
        let same = m.standing == Standing::Up
            && m.fenced
            && m.recorded
            && m.strangers == 0
            && m.indexed
            && !m.hearing.doubted()
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
            let plain = m.seen == order && m.active.values().all(Active::settled);
            m.repeated = plain.then(|| tasks.into());
        }
    }

    /// Takes in a report and says what to answer.
    pub fn hello(&mut self, report: &Report, now: f64) -> Answer {
        self.passes(now);
        if report.token >= self.term + TOKENS {
            return Answer::Superseded;
        }
        let name: Name = report.machine.as_str().into();
        if self.returned.contains(&name) {
            // A late copy: the machine is gone, and its name is never used again.
            return Answer::Refuse;
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
            return Answer::Refuse;
        };
        // An older one that is not a copy is overtaken by a newer message at most while
        // its worker waits for the answer; by then the next one is due.
        let overtaken_s = PATIENCE_S.max(1.5 * self.params.report_s);
        let order = (report.session, report.seq);
        let early = m.standing != Standing::Expired
            && m.early_session(report.session, self.params.lease_s, now);
        if m.standing == Standing::Expired {
            if report.session <= m.seen.0 {
                // Answering would renew a lease that was declared over.
                return Answer::Refuse;
            }
            m.standing = Standing::Up;
            m.recorded = false;
            m.errors.clear();
            self.record_dirty = true;
        }
        let stale = order <= m.seen;
        // A machine keeps the highest term it has seen: newer with a lower one is of
        // an earlier life of a machine that counts anew.
        let other_life = early || !stale && report.token < m.token;
        if other_life || stale && now - m.heard.max(listening) > overtaken_s {
            // A copy of an old report, or a machine that counts anew: its session is
            // not the one we know, and nothing says what it runs. Its lease must end
            // (an answer might renew it), and until it can have ended, from now on,
            // what calls of ours started meanwhile may run.
            m.hearing.heard(Sign::Unheeded, now);
            m.anew_at.get_or_insert(now);
            self.doubtful.insert(name.clone());
            self.reindex(&name);
            return Answer::Refuse;
        }
        if !stale {
            self.take_in(&name, report, Via::Hello, now);
        }
        if self.in_vain(&name, now) {
            return Answer::Refuse;
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
        Answer::Orders(Reply { token, commands })
    }

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
        if matches!(result, CallResult::NotSent | CallResult::Unknown) {
            m.unanswered += 1;
        }
        // Executed, by a message older than what we know that does not show it: the
        // machine counts anew. Nothing tells what became of the start.
        let old = |r: &Report| (r.session, r.seq) <= m.seen;
        let old = matches!(&result, CallResult::Executed(r) if old(r));
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
                    if m.standing == Standing::Expired {
                        // A new session: its own report readmits it. The old
                        // one was proven over: what is late says nothing.
                        return;
                    }
                    self.take_in(name, &report, Via::Direct, now);
                }
            }
            CallResult::NotSent | CallResult::Unknown => {}
        }
        self.settle(name);
    }

    /// Reconciles a newer message with what we thought.
    fn take_in(&mut self, name: &Name, report: &Report, via: Via, now: f64) {
        let base_term = self.fence.base_term;
        // What ended while we stood still says nothing of the machine's hearing.
        let steady = now - self.listening_since(now) > self.params.lease_s;
        let Some(m) = self.machines.get_mut(name) else {
            return;
        };
        let newer_session = report.session > m.seen.0;
        let first = m.seen == (0, 0);
        let mut signs = Signs::default();
        if via == Via::Direct {
            signs.note(Sign::Heeded);
        } else {
            // What it did not hear of before is seen below, from its tasks.
            let told = m.hearing.told;
            if report.token < told {
                signs.note(Sign::Unheeded);
            } else if m.token < told {
                signs.note(Sign::Heeded);
            }
            m.hearing.stays(now - m.heard);
            if newer_session && m.hearing.session_over() && !first && steady {
                signs.note(Sign::Unheeded);
            }
        }
        m.heard = now;
        m.anew_at = None;
        m.unanswered = 0;
        m.repeated = None;
        m.seen = (report.session, report.seq);
        if newer_session {
            m.session_at = now;
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
                .map(|(_, j)| Room::of_task(&j.spec));
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
            if via == Via::Hello && active.hello.take().is_some() {
                // A start in an answer to an earlier report shows by now.
                signs.note(if active.shown == seen {
                    Sign::Heeded
                } else {
                    Sign::Unheeded
                });
            }
            if active.told && active.shown != seen {
                signs.note(Sign::Heeded);
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
    fn remove_attempt(&mut self, name: &Name, key: &(TaskId, u64)) {
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

    /// One task of a report; what it takes of the machine if its job is known.
    fn take_entry(
        &mut self,
        name: &Name,
        key: &(TaskId, u64),
        phase: Phase,
        cause: Option<Cause>,
        holds: Option<Room>,
        now: f64,
    ) -> Sign {
        let Some(m) = self.machines.get_mut(name) else {
            return Sign::Nothing;
        };
        let mut fresh = false;
        let active = m.active.entry(key.clone()).or_insert_with(|| {
            fresh = true;
            let mut adopted = Active::new(now, Room::default());
            adopted.unsent = false;
            adopted
        });
        active.shown = m.seen;
        active.holds = holds.unwrap_or_default();
        let was_exited = active.exited();
        let sign = match std::mem::take(&mut active.told) {
            true if active.phase == Some(phase) => Sign::Unheeded,
            true => Sign::Heeded,
            false => Sign::Nothing,
        };
        active.phase = Some(phase);
        if phase == Phase::Running && active.running.is_none() {
            active.running = Some(now);
        }
        let started = active.running;
        let job = self.jobs.get_mut(&key.0.job).filter(|_| holds.is_some());
        let Some(job) = job else {
            // Its job is over, or was never accepted: it must go.
            if phase != Phase::Exited && active.stop.is_none() {
                active.stop = Some(0.0);
                active.unsent = true;
                self.outbox.insert(name.clone());
            }
            return sign;
        };
        let index = key.0.index;
        let runs = phase != Phase::Exited && started.is_some();
        if runs != active.counted {
            active.counted = runs;
            // One that is shown for the first time began before we knew of it.
            if runs && job.begin() {
                tracing::info!(job = %key.0.job, waited_s = now - job.at, "begun");
                if !fresh {
                    self.learned.waited(&job.spec.class, now - job.at);
                }
            }
            job.running = if runs {
                job.running + 1
            } else {
                job.running.saturating_sub(1)
            };
        }
        if phase != Phase::Exited {
            let on = job.on.get(&index).map(|(_, attempt)| *attempt);
            let elsewhere = on.is_some_and(|attempt| attempt != key.1);
            if on.is_none() {
                // A former owner's task: adopted. It need not be the first
                // report that shows it: a job can become known to us after its
                // task did, and while that is being stopped it is still on.
                job.set_on(index, name.clone(), key.1);
                self.used.add(job.team, &job.spec, 1.0);
            } else if elsewhere && job.add_copy(index, name.clone(), key.1) {
                // One of the two reports is older, and we cannot tell which: as
                // long as either may be on, the task must not start again. (The
                // one seen first went with its session, the task started a third
                // time while the other one ran: ran_twice.)
                self.used.add(job.team, &job.spec, 1.0);
            }
            let unwanted = elsewhere || job.over || job.done.contains(index);
            if fresh || phase == Phase::Running && started == Some(now) {
                let spec = &job.spec;
                let cache = self
                    .types
                    .get(&m.info.kind)
                    .map_or(f64::MAX, |t| t.cache_gb);
                if !m.has_image(&spec.image) {
                    match self.holders.get_mut(&spec.image) {
                        Some(holders) => holders.push(name.clone()),
                        None => {
                            let first = vec![name.clone()];
                            self.holders.insert(spec.image.clone(), first);
                        }
                    }
                }
                m.used_image(&spec.image, spec.image_gb, cache);
            }
            if on.is_none() {
                self.unbind(&key.0);
            }
            if unwanted {
                self.stop(name, key, 0.0);
            }
            return sign;
        }
        if was_exited {
            return sign;
        }
        active.cause = cause;
        let spec = job.spec.clone();
        match cause {
            Some(Cause::Done) => {
                job.set_done(index);
                self.unwritten.insert(key.0.job.clone());
                self.unbind(&key.0);
                if let Some(m) = self.machines.get_mut(name) {
                    m.errors.clear();
                }
                if let Some(at) = started {
                    self.ran(&spec, now - at);
                }
            }
            Some(Cause::Error) => {
                job.failed_on.insert(name.clone());
                job.failures += 1;
                // A bad job is tried ever more rarely, and with one task, a good one
                // at once.
                if job.suspect() {
                    job.retries += u32::from(job.on.len() <= 1);
                    let tries = f64::from(job.retries + 1);
                    job.not_before = now + self.params.report_s * tries.powi(2).min(100.0);
                    if job.retries <= 1 {
                        tracing::warn!(job = %key.0.job, machine = %name, "fails everywhere");
                    }
                    // It was not the machines' fault: a job of hundreds of tasks
                    // would take a part of a healthy fleet out of use.
                    for blamed in job.failed_on.iter() {
                        if let Some(m) = self.machines.get_mut(blamed) {
                            m.errors.retain(|j| *j != key.0.job);
                        }
                    }
                } else if let Some(m) = self.machines.get_mut(name) {
                    if job.has_succeeded() || !m.errors.contains(&key.0.job) {
                        m.errors.push(key.0.job.clone());
                    }
                    tracing::info!(job = %key.0.job, task = index, machine = %name, "task failed");
                }
            }
            Some(Cause::NoRoom | Cause::Busy | Cause::Unknown) => {
                tracing::info!(task = %key.0.wire(), machine = %name, cause = ?cause, "start refused");
                job.unknown = cause == Some(Cause::Unknown);
                job.not_before = now + self.params.report_s / 2.0;
            }
            _ => {}
        }
        self.off(key);
        sign
    }
}
