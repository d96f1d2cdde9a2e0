//! Worker sessions: what reports say is on machines, what commands they get,
//! and when silence proves a machine empty.

use super::core::{with_margin, Core};
use super::job::{Name, TaskId};
use super::machine::{Active, Machine, Standing};
use super::room::Room;
use crate::protocol::worker::{Cause, Command, Direct, Phase, Reply, Report, ReportHead};
use crate::storage::records::MachineInfo;

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
    /// nothing to tell the worker; then it is taken in, and the answer is our
    /// term and no command. Most reports of a large fleet are like this.
    pub fn repeats(&mut self, head: &ReportHead, now: f64) -> bool {
        let Some(m) = self.machines.get_mut(&*head.machine) else {
            return false;
        };
        let same = m.standing == Standing::Up
            && m.fenced
            && m.recorded
            && m.strangers == 0
            && m.indexed
            && m.notice_at.is_none()
            && head.notice_s.is_none()
            && head.token == m.token
            && head.token <= self.term
            && head.session == m.seen.0
            && head.seq > m.seen.1
            && head.addr == m.info.addr
            && m.repeated.as_deref() == Some(head.tasks.get());
        if same {
            m.seen.1 = head.seq;
            m.heard = now;
            m.answered = Some(now);
            self.passes(now);
        }
        same
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
        if report.token > self.term {
            return Answer::Superseded;
        }
        let name: Name = report.machine.as_str().into();
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
        let Some(m) = self.machines.get_mut(&name) else {
            return Answer::Refuse;
        };
        let order = (report.session, report.seq);
        if m.standing == Standing::Expired {
            if report.session <= m.seen.0 {
                // Answering would renew a lease that was declared over.
                return Answer::Refuse;
            }
            m.standing = Standing::Up;
            m.recorded = false;
            m.errors = 0;
            self.record_dirty = true;
        }
        let stale = order <= m.seen;
        if !stale {
            self.take_in(&name, report, Via::Hello, now);
        }
        let mut commands = Vec::new();
        if !stale {
            if self.dirty {
                self.place_news(now);
            }
            commands = self.orders(&name, order, now);
        }
        if let Some(m) = self.machines.get_mut(&name) {
            m.answered = Some(now);
            m.repeated = None;
        }
        Answer::Orders(Reply {
            token: self.term,
            commands,
        })
    }

    /// Takes in what came of a direct call with these starts.
    pub fn called(&mut self, name: &Name, call: &Direct, result: CallResult, now: f64) {
        self.passes(now);
        let unknown = matches!(result, CallResult::Unknown);
        if unknown {
            self.limbo.insert(name.clone());
        }
        let Some(m) = self.machines.get_mut(name) else {
            return;
        };
        m.calling = false;
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
                    if unknown && m.seen.0 <= call.session && m.token <= call.token {
                        active.limbo = Some((call.token, now));
                    }
                }
                // What was not executed goes with the next report's answer.
            }
        }
        match result {
            CallResult::Executed(report) | CallResult::Rejected(report) => {
                if report.machine == **name && (report.session, report.seq) > m.seen {
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
        let Some(m) = self.machines.get_mut(name) else {
            return;
        };
        m.heard = now;
        m.repeated = None;
        let newer_session = report.session > m.seen.0;
        let first = m.seen == (0, 0);
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
            self.take_entry(name, &key, entry.phase, entry.cause, holds, now);
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
            if via == Via::Hello {
                active.hello = None;
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
    pub(super) fn settle(&mut self, name: &Name) {
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
    ) {
        let Some(m) = self.machines.get_mut(name) else {
            return;
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
            return;
        };
        let index = key.0.index;
        let runs = phase != Phase::Exited && started.is_some();
        if runs != active.counted {
            active.counted = runs;
            // One that is shown for the first time began before we knew of it.
            if runs && job.begin() && !fresh {
                self.learned.waited(&job.spec.class, now - job.at);
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
            return;
        }
        if was_exited {
            return;
        }
        active.cause = cause;
        let spec = job.spec.clone();
        match cause {
            Some(Cause::Done) => {
                job.set_done(index);
                self.unwritten.insert(key.0.job.clone());
                self.unbind(&key.0);
                if let Some(m) = self.machines.get_mut(name) {
                    m.errors = 0;
                }
                if let Some(at) = started {
                    self.ran(&spec, now - at);
                }
            }
            Some(Cause::Error) => {
                job.failed_on.insert(name.clone());
                let tries = job.failed_on.len() as f64;
                // A bad job is tried ever more rarely, a good one at once.
                if job.suspect() {
                    job.not_before = now + self.params.report_s * tries.powi(2).min(100.0);
                    tracing::warn!(job = %key.0.job, machine = %name, "fails everywhere");
                } else if let Some(m) = self.machines.get_mut(name) {
                    m.errors += 1;
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
    }

    /// Whether an exited attempt can be forgotten by its worker: what it says
    /// is in the books, and no copy of its start may still come.
    fn forgettable(&self, key: &(TaskId, u64), active: &Active) -> bool {
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
    fn orders(&mut self, name: &Name, order: (u64, u64), now: f64) -> Vec<Command> {
        let Some(m) = self.machines.get(name) else {
            return Vec::new();
        };
        let mut forget = Vec::new();
        let mut stops = Vec::new();
        let mut starts = Vec::new();
        for (key, active) in &m.active {
            let (task, attempt) = (key.0.wire(), key.1);
            if active.exited() {
                if self.forgettable(key, active) {
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
        for active in m.active.values_mut() {
            if !active.direct {
                active.unsent = false;
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
        if m.calling || m.standing == Standing::Expired {
            return None;
        }
        let probe = m.recorded && !m.fenced;
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
                commands.push(Command::Start { task, attempt });
            }
        }
        if commands.is_empty() && !probe {
            return None;
        }
        m.calling = true;
        m.called_at = now;
        if probe {
            m.probed_at.get_or_insert(now);
        }
        let call = Direct {
            token: term,
            session: m.seen.0,
            commands,
        };
        Some((m.info.addr.clone(), call))
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

    /// Time passes: silent machines are proven empty, notices handled.
    ///
    /// `confirmed` is when the last successful check that the share is ours
    /// began. A lease that ran out proves a machine empty only if the share
    /// was still ours after that: a new owner may be keeping it alive, and we
    /// would not know without contact to the state service.
    pub fn tick(&mut self, now: f64, confirmed: f64) {
        self.passes(now);
        let lease = with_margin(self.params.lease_s);
        let mut expired = Vec::new();
        let mut fallen = Vec::new();
        for (name, m) in &self.machines {
            if m.standing == Standing::Expired {
                continue;
            }
            if m.indexed != (self.usable(m, now) && self.types.contains_key(&m.info.kind)) {
                fallen.push(name.clone());
            }
            // Ours alone counts once the machine has seen our term: from then
            // on it drops the answers of all earlier owners.
            // A session seen in a direct call's answer runs a lease from its
            // beginning, although no report of it was answered yet.
            let last = m.answered.map_or(m.session_at, |t| t.max(m.session_at));
            let own = last + lease;
            let from = if m.fenced {
                Some(own.max(m.fenced_at + lease))
            } else {
                self.fence.empty_from(lease).map(|t| t.max(own))
            };
            if from.is_some_and(|t| now > t && confirmed > t) {
                expired.push(name.clone());
            }
        }
        for name in fallen {
            self.reindex(&name);
        }
        for name in expired {
            tracing::warn!(machine = %name, term = self.term, "silent for a lease: proven empty");
            self.clear_machine(&name);
            if let Some(m) = self.machines.get_mut(&name) {
                m.standing = Standing::Expired;
                m.recorded = false;
            }
            self.reindex(&name);
            self.outbox.swap_remove(&name);
            self.record_dirty = true;
            self.dirty = true;
        }
        self.heed_notices(now);
        self.tend_drains(now);
        self.cordon(now);
    }

    /// Silent machines to return before their lease proves them empty: the
    /// cloud's answer is proof too, and much sooner. Without it one machine
    /// that died just before a takeover holds up the whole share, and what ran
    /// on a machine taken without notice waits for a lease. Many silent at
    /// once are a cut, not deaths: those are waited for.
    pub fn given_up(&self, now: f64) -> Vec<String> {
        let silent_s = self.params.silent_s() + self.params.report_s;
        let unknown_s = 1.5 * self.params.report_s + 0.5;
        // One that an operator set aside and that was proven empty is switched off
        // for a reason, and holds up nobody.
        let recorded = self.machines.values();
        let recorded = recorded.filter(|m| m.recorded && !self.proven_aside(&m.info.id));
        // One that was asked answers within milliseconds; a tenth of a lease
        // covers a busy owner, which hears from a thousand at once. When all
        // but a few have come the rush is over, and the whole share waits for
        // machines that are most likely dead.
        let few = recorded.clone().count() / 64;
        let left = self.unaccounted().unwrap_or(usize::MAX);
        let unanswered_s = self.params.lease_s / if left <= few { 40.0 } else { 10.0 };
        let unanswered = |m: &Machine, s: f64| {
            (m.probed_at).is_some_and(|t| !m.fenced && self.silence(t, now) > s)
        };
        let silent = |m: &&Machine| {
            m.standing != Standing::Expired
                && if m.fenced {
                    self.silence(m.heard, now) > silent_s
                } else {
                    // From when we know of it: one that just came up has not
                    // had the time to see our term.
                    self.silence(m.session_at, now) > unknown_s || unanswered(m, unanswered_s)
                }
        };
        let all = recorded.clone().count();
        let mut found: Vec<&Machine> = recorded.filter(silent).collect();
        // An eighth of the fleet at most. While nothing may be placed the whole
        // share waits for them: a lease of waiting is more than a quarter of the
        // fleet is worth, which is up again after a boot. But not where they are
        // most of a zone, and only after a quarter of a lease without an answer,
        // for a busy owner hears from the last ones late.
        if found.len() > (all / 8).max(1) {
            if self.fence.open || found.len() > all / 4 || self.mostly_one_zone(&found) {
                return Vec::new();
            }
            found.retain(|m| unanswered(m, self.params.lease_s / 4.0));
        }
        found.iter().map(|m| m.info.id.clone()).collect()
    }

    /// Whether these are most of the machines of any zone.
    fn mostly_one_zone(&self, some: &[&Machine]) -> bool {
        some.iter().any(|m| {
            let zone = |o: &&Machine| o.recorded && o.info.zone == m.info.zone;
            let here = some.iter().filter(|o| o.info.zone == m.info.zone).count();
            2 * here > self.machines.values().filter(zone).count()
        })
    }

    /// Zones most of whose machines fell silent together: cut off, most likely.
    /// Their machines go on, so they are not replaced, but do not count either.
    pub fn cut_zones(&self, now: f64) -> Vec<String> {
        let silent_s = self.params.silent_s() + self.params.report_s;
        let mut zones: Vec<(&str, usize, usize)> = Vec::new();
        for m in self.machines.values().filter(|m| !m.held) {
            let silent = usize::from(self.silence(m.heard, now) > silent_s);
            match zones.iter_mut().find(|z| z.0 == m.info.zone) {
                Some(z) => {
                    z.1 += 1;
                    z.2 += silent;
                }
                None => zones.push((&m.info.zone, 1, silent)),
            }
        }
        // Of two or three machines most may well have died one by one.
        let cut = |z: &&(&str, usize, usize)| z.1 >= 4 && 2 * z.2 > z.1;
        zones.iter().filter(cut).map(|z| z.0.to_string()).collect()
    }

    /// Spot notice: stop what can save, let the short finish.
    fn heed_notices(&mut self, now: f64) {
        let mut stops = Vec::new();
        for (name, m) in &self.machines {
            let Some(at) = m.notice_at else {
                continue;
            };
            for (key, active) in m.holding() {
                let Some(job) = self.jobs.get(&key.0.job) else {
                    continue;
                };
                let ran = active.running.map_or(0.0, |t| now - t);
                let left_s = (self.predict(job) - ran).max(0.0);
                let room = at - now;
                let saves = job.spec.checkpoint_s > 0.0;
                if left_s <= room && active.running.is_some() {
                    continue;
                }
                if saves || active.running.is_none() {
                    stops.push((name.clone(), key.clone(), self.save_grace(&key.0.job)));
                }
            }
        }
        for (name, key, grace) in stops {
            self.stop(&name, &key, grace);
        }
    }

    /// Machines that fail task after task are taken out of use.
    fn cordon(&mut self, _now: f64) {
        let limit = self.params.policy.cordon_errors;
        let bad: Vec<Name> = self
            .machines
            .iter()
            .filter(|(_, m)| m.standing == Standing::Up && !m.held && m.errors >= limit)
            .map(|(n, _)| n.clone())
            .collect();
        for name in bad {
            tracing::warn!(machine = %name, "fails its tasks: cordoned");
            self.drain(&name);
        }
    }
}
