//! A seeded simulation: owners that come and go without knowing of each other,
//! workers as the protocol describes them, a store, and a network that delays,
//! drops and holds back messages. After every step the rules are checked.

mod common;

use common::*;
use foxspur::coordination::calls::CallResult;
use foxspur::coordination::core::Core;
use foxspur::coordination::fence::Fence;
use foxspur::coordination::machine::{Active, Standing};
use foxspur::coordination::sessions::Answer;
use foxspur::protocol::admin::{Drain, Rest};
use foxspur::protocol::job::Urgency;
use foxspur::protocol::worker::{Cause, Command, Direct, Phase, Reply, Report};
use foxspur::storage::marks::Marks;
use foxspur::storage::records::{LiveJob, MachineInfo, TOKENS};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet, HashMap};

const STEP_S: f64 = 0.1;
/// Send time of copies, and the owner that copies go to: whoever it is then.
const COPY: f64 = -1.0;
const LATEST: u64 = u64::MAX;
/// For how long a former owner without contact goes on; it may stand still for
/// a part of it, and go on where it was.
const LINGER_S: f64 = 25.0;

#[derive(Clone)]
struct Task {
    attempt: u64,
    phase: Phase,
    cause: Option<Cause>,
    until: f64,
}

/// A worker by the protocol.
struct Worker {
    id: String,
    session: u64,
    seq: u64,
    token: u64,
    tasks: BTreeMap<(String, u64), Task>,
    renewed: f64,
    /// Send time of the report under way, and when its answer is given up.
    asked: Option<(f64, f64)>,
    next: f64,
    hung_until: f64,
    cut_until: f64,
    /// Its reports arrive, answers and commands do not.
    deaf_until: f64,
    /// It reaches no owner, while direct commands reach it.
    mute_until: f64,
}

struct World {
    now: f64,
    rng: StdRng,
    workers: Vec<Worker>,
    /// The store: live jobs with marks, final jobs, machine record, term.
    live: BTreeMap<String, (LiveJob, Marks, u64)>,
    over: BTreeMap<String, (f64, bool)>,
    record: Vec<MachineInfo>,
    term: u64,
    version: u64,
    /// Owners: the last is the real one, others may linger.
    owners: Vec<(Core, f64)>,
    /// Messages: when, what.
    wire: Vec<(f64, Message)>,
    started: usize,
    /// The team's limit.
    limit: f64,
    /// Owners that stand still while their clocks run on, until when.
    paused: BTreeMap<u64, f64>,
    /// Jobs that an owner does not know of yet: when it will, its term.
    unheard: Vec<(f64, u64, LiveJob, u64)>,
    /// Machines set aside, as recorded, and when the owner hears of it. (A former
    /// owner never hears: it would learn first that the share is not its own.)
    drains: HashMap<String, (Drain, u64)>,
    hears_at: f64,
    drained: usize,
    met: Met,
}

/// How often troubles really met: a draw that never does shows nothing.
#[derive(Default, Debug)]
struct Met {
    /// Starts on a machine that reaches no owner, and those of them after a takeover
    /// since it fell mute.
    mute_starts: usize,
    /// Cancellations of jobs whose last task had ended and was not written yet.
    ends: usize,
    /// Cancellations while the owner stood still or within a lease of a takeover.
    takeover_cancels: usize,
    /// Cancelled tasks that were on a machine that hung, or was mute.
    hung_cancels: usize,
    /// For each cancelled job that had tasks on machines, how long after the answer the
    /// last of them was gone.
    gone_s: BTreeMap<String, f64>,
}

#[allow(clippy::large_enum_variant)]
enum Message {
    Hello(usize, u64, Report, f64),
    Answer(usize, u64, f64, Reply),
    Direct(usize, u64, Direct, bool),
    Called(usize, u64, Direct, CallResult),
}

impl World {
    fn report(&mut self, w: usize) -> Report {
        let worker = &mut self.workers[w];
        worker.seq += 1;
        let tasks: Vec<_> = worker
            .tasks
            .iter()
            .map(|((task, _), t)| (task.as_str(), t.attempt, t.phase, t.cause))
            .collect();
        report(&worker.id, worker.session, worker.seq, worker.token, &tasks)
    }

    fn cpus(&self, task: &str) -> f64 {
        let job = task.split('/').next().unwrap_or_default();
        if job.ends_with(['0', '2', '4', '6', '8']) {
            1.0
        } else {
            2.0
        }
    }

    fn execute(&mut self, w: usize, commands: &[Command]) {
        for command in commands {
            match command {
                Command::Start { task, attempt } => {
                    let key = (task.clone(), *attempt);
                    if self.workers[w].tasks.contains_key(&key) {
                        continue;
                    }
                    let wish = self.drains.get(&self.workers[w].id);
                    let aside = wish.and_then(|d| d.0.drained.as_ref());
                    assert!(aside.is_none(), "{task} starts on a drained machine");
                    // The rules, at each start.
                    for other in &self.workers {
                        for ((t, a), state) in &other.tasks {
                            let on = state.phase != Phase::Exited;
                            assert!(
                                !(on && t == task),
                                "ran_twice: {task} attempt {attempt} on {}, {a} on {} at {:.1}",
                                self.workers[w].id,
                                other.id,
                                self.now
                            );
                        }
                    }
                    let job = task.split('/').next().unwrap_or_default();
                    if let Some((at, cancelled)) = self.over.get(job) {
                        let late = *cancelled && self.now - at > CANCEL_S;
                        assert!(!late, "ran_cancelled: {task} at {:.1}", self.now);
                    }
                    let used: f64 = self
                        .workers
                        .iter()
                        .flat_map(|o| o.tasks.iter())
                        .filter(|(_, s)| s.phase != Phase::Exited)
                        .map(|((t, _), _)| self.cpus(t))
                        .sum();
                    let more = self.cpus(task);
                    assert!(used + more <= self.limit + 1e-6, "quota: {used} + {more}");
                    let until = self.now + self.rng.random_range(1.0..15.0);
                    self.started += 1;
                    self.met.mute_starts += usize::from(self.workers[w].mute_until > self.now);
                    self.workers[w].tasks.insert(
                        key,
                        Task {
                            attempt: *attempt,
                            phase: Phase::Running,
                            cause: None,
                            until,
                        },
                    );
                }
                Command::Stop { task, attempt, .. } => {
                    let key = (task.clone(), *attempt);
                    if let Some(t) = self.workers[w].tasks.get_mut(&key) {
                        if t.phase != Phase::Exited {
                            t.phase = Phase::Exited;
                            t.cause = Some(Cause::Stopped);
                        }
                    }
                }
                Command::Forget { task, attempt } => {
                    let key = (task.clone(), *attempt);
                    let worker = &mut self.workers[w];
                    let exited = worker
                        .tasks
                        .get(&key)
                        .is_some_and(|t| t.phase == Phase::Exited);
                    if exited {
                        worker.tasks.remove(&key);
                    }
                }
            }
        }
    }

    fn delay(&mut self) -> f64 {
        match self.rng.random_range(0..40) {
            0 => self.rng.random_range(5.0..60.0),
            1..4 => self.rng.random_range(0.5..5.0),
            _ => 0.01,
        }
    }

    fn send(&mut self, message: Message) {
        let w = match &message {
            Message::Hello(w, ..)
            | Message::Answer(w, ..)
            | Message::Direct(w, ..)
            | Message::Called(w, ..) => *w,
        };
        let mut at = self.now + self.delay();
        if self.workers[w].deaf_until > self.now {
            match message {
                Message::Answer(..) | Message::Direct(_, _, _, true) => return,
                Message::Direct(w, base, call, false) => {
                    let given_up = Message::Called(w, base, call, CallResult::Unknown);
                    self.wire.push((self.now + 4.0, given_up));
                    return;
                }
                Message::Hello(..) | Message::Called(..) => {}
            }
        }
        let cut = self.workers[w].cut_until;
        if cut > self.now {
            // Held back, or lost: a caller then only learns that time is up.
            if self.rng.random_bool(0.5) {
                if let Message::Direct(w, base, call, false) | Message::Called(w, base, call, _) =
                    message
                {
                    let given_up = Message::Called(w, base, call, CallResult::Unknown);
                    self.wire.push((self.now + 4.0, given_up));
                }
                return;
            }
            at = at.max(cut);
        }
        // Every call has a timeout; what comes later is executed all the same.
        let give_up = self.now + 4.0;
        let message = match message {
            Message::Direct(w, base, call, false) if at > give_up => {
                let given_up = Message::Called(w, base, call.clone(), CallResult::Unknown);
                self.wire.push((give_up, given_up));
                Message::Direct(w, base, call, true)
            }
            Message::Called(w, base, call, _) if at > give_up => {
                at = give_up;
                Message::Called(w, base, call, CallResult::Unknown)
            }
            other => other,
        };
        self.wire.push((at, message));
    }

    fn workers_step(&mut self) {
        for w in 0..self.workers.len() {
            let now = self.now;
            // What a hanging machine had is over with its lease: it goes on
            // within it or not at all.
            if now - self.workers[w].renewed > LEASE_S {
                let worker = &mut self.workers[w];
                worker.tasks.clear();
                worker.session += 1;
                worker.renewed = now;
                worker.asked = None;
            }
            if self.workers[w].hung_until > now {
                continue;
            }
            let bad = self.rng.random_bool(0.1);
            for t in self.workers[w].tasks.values_mut() {
                if t.phase == Phase::Running && t.until <= now {
                    t.phase = Phase::Exited;
                    t.cause = Some(if bad { Cause::Error } else { Cause::Done });
                }
            }
            if self.workers[w]
                .asked
                .is_some_and(|(_, give_up)| now > give_up)
            {
                self.workers[w].asked = None;
            }
            if self.workers[w].mute_until > now {
                // No connection: the next owner is tried a second later.
                self.workers[w].next = self.workers[w].next.max(now + 1.0);
                continue;
            }
            if self.workers[w].asked.is_none() && now >= self.workers[w].next {
                self.workers[w].next = now + self.rng.random_range(0.75..1.25);
                self.workers[w].asked = Some((now, now + 4.0));
                let report = self.report(w);
                // Mostly to the real owner, sometimes to one that lingers.
                let n = self.owners.len();
                let o = if self.rng.random_bool(0.8) {
                    n - 1
                } else {
                    self.rng.random_range(0..n)
                };
                let owner = self.owners[o].0.fence.base_term;
                if self.rng.random_bool(0.03) {
                    // A copy follows, from seconds to several leases later, to
                    // whoever listens then. Nobody reads the answer.
                    let late = now + self.rng.random_range(1.0..4.0 * LEASE_S);
                    let copy = Message::Hello(w, LATEST, report.clone(), COPY);
                    self.wire.push((late, copy));
                }
                self.send(Message::Hello(w, owner, report, now));
            }
        }
    }

    fn owner(&mut self, base: u64) -> Option<&mut Core> {
        self.owners
            .iter_mut()
            .map(|o| &mut o.0)
            .find(|c| c.fence.base_term == base)
    }

    fn deliver(&mut self) {
        let now = self.now;
        let mut due = Vec::new();
        let mut i = 0;
        while i < self.wire.len() {
            if self.wire[i].0 <= now {
                due.push(self.wire.remove(i));
            } else {
                i += 1;
            }
        }
        due.sort_by(|a, b| a.0.total_cmp(&b.0));
        for (_, message) in due {
            let message = match message {
                Message::Hello(w, LATEST, report, sent) => {
                    let base = self.owners.last().map_or(0, |o| o.0.fence.base_term);
                    Message::Hello(w, base, report, sent)
                }
                other => other,
            };
            let base = match &message {
                Message::Hello(_, base, ..) | Message::Called(_, base, ..) => Some(*base),
                _ => None,
            };
            // What comes while it stands still is read when it goes on, in any
            // order among its connections.
            if let Some(until) = base.and_then(|b| self.paused.get(&b)) {
                let at = until + self.rng.random_range(0.0..0.2);
                self.wire.push((at, message));
                continue;
            }
            match message {
                Message::Hello(w, base, report, sent) => {
                    let answer = match self.owner(base) {
                        Some(core) => core.hello(&report, now),
                        None => continue,
                    };
                    if let (Answer::Orders(reply), true) = (answer, sent != COPY) {
                        self.send(Message::Answer(w, report.session, sent, reply));
                    }
                }
                Message::Answer(w, session, sent, reply) => {
                    let worker = &mut self.workers[w];
                    let ours = worker.asked.is_some_and(|(at, _)| at == sent);
                    if worker.hung_until > now || !ours || worker.session != session {
                        continue;
                    }
                    worker.asked = None;
                    if reply.token < worker.token {
                        continue;
                    }
                    worker.token = reply.token;
                    worker.renewed = sent;
                    self.execute(w, &reply.commands);
                }
                Message::Direct(w, base, call, known) => {
                    if self.workers[w].hung_until > now {
                        let at = self.workers[w].hung_until + 0.01;
                        if !known {
                            let given_up =
                                Message::Called(w, base, call.clone(), CallResult::Unknown);
                            self.wire.push((now + 4.0, given_up));
                        }
                        self.wire.push((at, Message::Direct(w, base, call, true)));
                        continue;
                    }
                    // A worker that goes on notices its lease first.
                    if now - self.workers[w].renewed > LEASE_S {
                        let worker = &mut self.workers[w];
                        worker.tasks.clear();
                        worker.session += 1;
                        worker.renewed = now;
                        worker.asked = None;
                    }
                    let fits = call.token >= self.workers[w].token
                        && call.session == self.workers[w].session;
                    self.workers[w].token = self.workers[w].token.max(call.token);
                    if fits {
                        self.execute(w, &call.commands);
                    }
                    let report = self.report(w);
                    let result = if fits {
                        CallResult::Executed(report)
                    } else {
                        CallResult::Rejected(report)
                    };
                    // Half of the late ones were given up by their sender.
                    if !known {
                        self.send(Message::Called(w, base, call, result));
                    }
                }
                Message::Called(w, base, call, result) => {
                    let name = self.workers[w].id.as_str().into();
                    if let Some(core) = self.owner(base) {
                        core.called(&name, &call, result, now);
                    }
                }
            }
        }
    }

    fn owners_step(&mut self) {
        let now = self.now;
        let last = self.owners.len() - 1;
        self.paused.retain(|_, until| *until > now);
        for o in 0..self.owners.len() {
            let base = self.owners[o].0.fence.base_term;
            if self.paused.contains_key(&base) {
                continue;
            }
            let core_lost = self.owners[o].1 - LINGER_S;
            {
                let core = &mut self.owners[o].0;
                let confirmed = if o == last { now } else { core_lost };
                core.tick(now, confirmed);
                core.probes(now, 64);
                core.place(now);
            }
            for name in std::mem::take(&mut self.owners[o].0.outbox) {
                let Some((_, call)) = self.owners[o].0.direct_call(&name, now) else {
                    continue;
                };
                let Some(w) = self.workers.iter().position(|w| *w.id == *name) else {
                    continue;
                };
                if self.rng.random_bool(0.05) {
                    // Given up, and executed late or never.
                    let late = self.rng.random_range(1.0..90.0);
                    if self.rng.random_bool(0.7) {
                        self.wire
                            .push((now + late, Message::Direct(w, base, call.clone(), true)));
                    }
                    self.owners[o]
                        .0
                        .called(&name, &call, CallResult::Unknown, now);
                } else {
                    if self.rng.random_bool(0.1) {
                        // Carried out, and once more from seconds to several leases later.
                        let late = now + self.rng.random_range(1.0..4.0 * LEASE_S);
                        let copy = Message::Direct(w, base, call.clone(), true);
                        self.wire.push((late, copy));
                    }
                    self.send(Message::Direct(w, base, call, false));
                }
            }
            // Only the real owner's conditional writes succeed; marks do anyway.
            for id in self.owners[o].0.marks_due(9) {
                if self.rng.random_bool(0.5) {
                    continue;
                }
                let Some((_, marks, version)) = self.live.get_mut(&*id) else {
                    self.owners[o].0.job_over(&id);
                    continue;
                };
                let Some(job) = self.owners[o].0.jobs.get(&id) else {
                    continue;
                };
                if job.version != *version {
                    let (marks, version) = (marks.clone(), *version);
                    self.owners[o].0.job_reread(&id, version, &marks);
                    continue;
                }
                self.version += 1;
                *version = self.version;
                marks.merge(&job.done);
                let done = job.done.clone();
                let complete = job.complete();
                self.owners[o].0.marks_written(&id, &done, self.version);
                if complete {
                    self.live.remove(&*id);
                    self.over.insert(id.to_string(), (now, false));
                    self.owners[o].0.job_over(&id);
                }
            }
            if o == last {
                let core = &mut self.owners[o].0;
                if core.record_dirty && self.rng.random_bool(0.5) {
                    core.record_dirty = false;
                    self.record = core.wanted_record().into_iter().cloned().collect();
                    let written = self.record.clone();
                    core.record_written(&written);
                }
                for (drain, version) in core.drains_proven(0, 9) {
                    let (host, known) = (drain.host.clone(), self.drains.get(&drain.host));
                    if self.rng.random_bool(0.5) && known.is_some_and(|d| d.1 == version) {
                        self.version += 1;
                        self.drains.insert(host.clone(), (drain, self.version));
                        self.hears_at = now + 0.2;
                        self.drained += 1;
                        // It is switched off for a while, perhaps past its lease.
                        let w = self.workers.iter_mut().find(|w| w.id == host);
                        if let Some(w) = w.filter(|_| self.rng.random_bool(0.7)) {
                            w.hung_until = now + self.rng.random_range(1.0..40.0);
                        }
                    }
                }
                if now >= self.hears_at {
                    core.set_drains(&self.drains);
                }
                if core.wants_new_term(now) {
                    self.term += TOKENS;
                    core.raise_term(self.term);
                }
            }
        }
        // Lingering owners answer for a bounded time only.
        let last_base = self.owners[last].0.fence.base_term;
        self.owners
            .retain(|(c, until)| c.fence.base_term == last_base || now < *until);
        let alone = self.owners.len() == 1;
        if let Some((core, _)) = self.owners.last_mut() {
            if alone && core.fence.quiet_since.is_none() {
                core.fence.quiet_since = Some(now);
            }
        }
    }

    /// The machine is back at once, with nothing on it and counters that begin anew.
    /// Its old connections are gone with what was on its way in them. The protocol has it
    /// keep the highest term; one that forgets it too obeys former owners again, against
    /// which nobody can do anything while there are any.
    fn restart(&mut self, w: usize) {
        let now = self.now;
        let worker = &mut self.workers[w];
        worker.tasks.clear();
        (worker.session, worker.seq) = (1, 0);
        if self.owners.len() == 1 {
            worker.token = 0;
        }
        (worker.renewed, worker.asked, worker.next) = (now, None, now);
        for (at, message) in &mut self.wire {
            match message {
                Message::Direct(to, base, call, known) if *to == w => {
                    let lost = std::mem::replace(known, true);
                    let result = Message::Called(w, *base, call.clone(), CallResult::Unknown);
                    // Who was told already that it has no answer is not told again.
                    (*at, *message) = if lost {
                        (f64::MAX, result)
                    } else {
                        (now, result)
                    };
                }
                _ => {}
            }
        }
        self.wire.retain(|(at, _)| *at < f64::MAX);
    }

    /// Owners hear of new jobs.
    fn hear(&mut self) {
        let now = self.now;
        let (due, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.unheard)
            .into_iter()
            .partition(|u| u.0 <= now);
        self.unheard = later;
        for (_, base, record, version) in due {
            // Changes come in order: one that is over is not news any more.
            if self.live.contains_key(&record.spec.id) {
                if let Some(core) = self.owner(base) {
                    core.job_added(record, version, Marks::default());
                }
            }
        }
    }

    /// An operator sets a machine aside, or takes it back, often early.
    fn drain_or_undrain(&mut self, workers: usize) {
        let host = format!("m-{}", self.rng.random_range(0..workers));
        self.version += 1;
        if self.drains.remove(&host).is_none() {
            let soon = self.rng.random_range(0.0..30.0);
            let drain = Drain {
                host: host.clone(),
                order: "o".into(),
                by: "someone".into(),
                why: "a test".into(),
                at_ms: 0,
                deadline_ms: Some(((self.now + soon) * 1000.0) as u64),
                rest: if self.rng.random_bool(0.5) {
                    Rest::Stop
                } else {
                    Rest::Leave
                },
                drained: None,
                roll: None,
            };
            self.drains.insert(host, (drain, self.version));
        }
        self.hears_at = self.now + self.rng.random_range(0.0..3.0);
    }

    /// A user cancels a job: any, or one whose tasks have all just ended.
    fn cancel(&mut self, at_end: bool) {
        let ended = |id: &str| {
            let tasks = self.workers.iter().flat_map(|w| &w.tasks);
            let mut own = tasks
                .filter(|((t, _), _)| t.split('/').next() == Some(id))
                .peekable();
            own.peek().is_some() && own.all(|(_, t)| t.phase == Phase::Exited)
        };
        let mut jobs = self.live.keys().filter(|id| !at_end || ended(id));
        let Some(id) = jobs.next().cloned() else {
            return;
        };
        let now = self.now;
        self.met.ends += usize::from(ended(&id));
        let fresh = self
            .owners
            .last()
            .is_some_and(|(c, _)| c.unaccounted() != Some(0));
        self.met.takeover_cancels += usize::from(fresh || !self.paused.is_empty());
        for worker in &self.workers {
            let away = worker.hung_until > now || worker.mute_until > now;
            let on = |((t, _), s): (&(String, u64), &Task)| {
                t.split('/').next() == Some(&id) && s.phase != Phase::Exited
            };
            self.met.hung_cancels += usize::from(away && worker.tasks.iter().any(on));
        }
        self.live.remove(&id);
        self.over.insert(id.clone(), (now, true));
        if let Some((core, _)) = self.owners.last_mut() {
            core.job_over(&id);
        }
    }

    fn take_over(&mut self, crash: bool) {
        self.term += TOKENS;
        if crash {
            self.owners.pop();
        } else if let Some(old) = self.owners.last_mut() {
            old.1 = self.now + LINGER_S;
        }
        let quiet = self.owners.is_empty().then_some(self.now);
        let teams = vec![team("t", 0.0, self.limit)];
        let fence = Fence::new(self.term, quiet);
        let mut core = Core::new(params(teams), self.term, fence, self.term);
        core.set_types(&types());
        core.set_drains(&self.drains);
        for info in &self.record {
            core.inherit(info.clone(), self.now);
        }
        for (record, marks, version) in self.live.values() {
            let mut record = record.clone();
            record.done = marks.to_text();
            core.job_added(record, *version, Marks::default());
        }
        self.owners.push((core, f64::MAX));
    }
}

/// What is kept up with every change must equal a count from the beginning:
/// limits hang on the one, the fence on the other.
fn kept_counts_are_right(core: &Core) {
    assert!((core.used().cpus() - core.usage().cpus()).abs() < 1e-6);
    if let Some(awaited) = core.unaccounted() {
        let all = core.machines.values().filter(|m| m.holds_up()).count();
        assert_eq!(awaited, all, "term {}", core.term);
    }
    let runs = |a: &&Active| a.running.is_some() && !a.exited();
    let active = core.machines.values().flat_map(|m| &m.active);
    let running = active.filter(|((task, _), a)| {
        runs(a) && (core.jobs.get(&task.job)).is_some_and(|j| task.index < j.spec.tasks)
    });
    let kept: u32 = core.jobs.values().map(|j| j.running).sum();
    let strangers = core.machines.values().any(|m| m.strangers > 0);
    assert!(strangers || running.count() == kept as usize);
}

/// `anew`: whether machines may come back counting from one, which the protocol rules out.
fn play(seed: u64, workers: usize, until: f64, anew: bool) -> (usize, usize, usize, Met) {
    let mut world = World {
        now: 0.0,
        rng: StdRng::seed_from_u64(seed),
        workers: Vec::new(),
        live: BTreeMap::new(),
        over: BTreeMap::new(),
        record: Vec::new(),
        term: 0,
        version: 0,
        owners: Vec::new(),
        wire: Vec::new(),
        started: 0,
        limit: 5.0 * workers as f64,
        paused: BTreeMap::new(),
        unheard: Vec::new(),
        drains: HashMap::new(),
        hears_at: 0.0,
        drained: 0,
        met: Met::default(),
    };
    for i in 0..workers {
        world.workers.push(Worker {
            id: format!("m-{i}"),
            session: 1,
            seq: 0,
            token: 0,
            tasks: BTreeMap::new(),
            renewed: 0.0,
            asked: None,
            next: 0.0,
            hung_until: 0.0,
            cut_until: 0.0,
            deaf_until: 0.0,
            mute_until: 0.0,
        });
    }
    world.take_over(true);
    let mut jobs = 0;
    let mut ids = BTreeSet::new();
    while world.now < until {
        world.now += STEP_S;
        let now = world.now;
        // The second half is left for what piled up, and for what comes late.
        let calm = now > until / 2.0;
        if !calm && world.rng.random_bool(0.005 * workers.min(20) as f64) {
            jobs += 1;
            let id = format!("run-{jobs}");
            let cpus = world.cpus(&format!("{id}/0"));
            let most = (2 * workers).min(8 + workers / 4) as u32;
            let tasks = world.rng.random_range(1..most);
            let record = live(spec(&id, "t", Urgency::Standard, tasks, cpus), now);
            world.version += 1;
            let version = world.version;
            world
                .live
                .insert(id.clone(), (record.clone(), Marks::default(), version));
            // Each owner hears of it in its own time, a former one perhaps first.
            for (core, _) in &world.owners {
                let at = now + world.rng.random_range(0.0..3.0);
                let base = core.fence.base_term;
                world.unheard.push((at, base, record.clone(), version));
            }
            ids.insert(id);
        }
        if !calm && world.rng.random_bool(0.006) {
            world.cancel(false);
        }
        if !calm && world.rng.random_bool(0.01) {
            world.cancel(true);
        }
        if !calm && world.rng.random_bool(0.003) {
            let crash = world.rng.random_bool(0.5);
            world.take_over(crash);
        }
        if !calm && world.rng.random_bool(0.004) {
            // Any owner, often just when another takes over.
            let o = world.rng.random_range(0..world.owners.len());
            let base = world.owners[o].0.fence.base_term;
            let until = now + world.rng.random_range(0.5..3.0 * LEASE_S);
            world.paused.insert(base, until);
            if world.rng.random_bool(0.3) {
                world.take_over(false);
            }
        }
        if !calm
            && world
                .rng
                .random_bool((0.001 * workers as f64).clamp(0.005, 0.1))
        {
            let w = world.rng.random_range(0..workers);
            let until = now + world.rng.random_range(1.0..20.0);
            match world.rng.random_range(0..6) {
                5 => {
                    world.workers[w].mute_until = now + 2.0 * (until - now);
                    if world.rng.random_bool(0.3) {
                        world.take_over(true);
                    }
                }
                0 | 1 => world.workers[w].hung_until = until,
                2 | 3 => world.workers[w].cut_until = until,
                _ if world.rng.random_bool(0.5) => {
                    world.workers[w].deaf_until = now + 4.0 * (until - now);
                }
                _ if anew => world.restart(w),
                _ => {}
            }
        }
        if !calm
            && world
                .rng
                .random_bool((0.002 * workers as f64).clamp(0.01, 0.1))
        {
            world.drain_or_undrain(workers);
        }
        if calm && !world.drains.is_empty() {
            world.drains.clear();
            world.hears_at = now;
        }
        world.hear();
        world.deliver();
        world.workers_step();
        for (core, _) in &world.owners {
            kept_counts_are_right(core);
        }
        world.owners_step();
        for worker in &world.workers {
            for ((task, _), state) in &worker.tasks {
                let job = task.split('/').next().unwrap_or_default();
                if let Some((at, true)) = world.over.get(job) {
                    let on = state.phase != Phase::Exited && worker.hung_until <= now;
                    if on {
                        world.met.gone_s.insert(job.into(), now - at);
                    }
                    assert!(
                        !(on && now - at > CANCEL_S),
                        "ran_cancelled: {task} on {} at {now:.1}",
                        worker.id
                    );
                }
            }
        }
    }
    let left: Vec<_> = world.live.keys().collect();
    let expired = world.owners.last().map(|(c, _)| {
        c.machines
            .values()
            .filter(|m| m.standing == Standing::Expired)
            .count()
    });
    assert!(
        left.is_empty(),
        "seed {seed}: not done: {left:?}, expired {expired:?}"
    );
    (world.started, ids.len(), world.drained, world.met)
}

fn rules_hold(anew: bool) {
    let (mut started, mut drained, mut all) = (0, 0, Met::default());
    let mut gone_s: Vec<f64> = Vec::new();
    for seed in seeds(40) {
        println!("seed {seed}");
        let (n, jobs, aside, met) = play(seed, 4, 600.0, anew);
        assert!(jobs > 0);
        all.mute_starts += met.mute_starts;
        all.ends += met.ends;
        all.takeover_cancels += met.takeover_cancels;
        all.hung_cancels += met.hung_cancels;
        gone_s.extend(met.gone_s.into_values());
        started += n;
        drained += aside;
    }
    assert!(
        own_seeds() || started > 1000 && drained > 40,
        "only {started} starts, {drained} drained: the check is too weak"
    );
    gone_s.sort_by(f64::total_cmp);
    let part = |share: f64| gone_s.get((share * gone_s.len() as f64) as usize).copied();
    println!(
        "gone after the answer: {} jobs, p50 {:?}, p99 {:?}, most {:?} s of {CANCEL_S}",
        gone_s.len(),
        part(0.5),
        part(0.99),
        gone_s.last()
    );
    let least = [
        all.mute_starts,
        all.ends,
        all.takeover_cancels,
        all.hung_cancels,
    ];
    assert!(
        own_seeds() || least.iter().all(|n| *n > 20),
        "troubles did not meet: {all:?}"
    );
}

#[test]
fn rules_hold_while_owners_and_messages_come_late() {
    rules_hold(false);
}

/// The same with machines that are back at once and count anew, which the protocol rules
/// out. Held as far as it shows: see docs/notes/meetings.md for what does not.
#[test]
fn rules_hold_though_machines_count_anew() {
    rules_hold(true);
}

#[test]
fn rules_hold_on_a_fleet_of_hundreds() {
    let (started, jobs, drained, _) = play(1, 300, 300.0, true);
    assert!(
        jobs > 20 && started > 1000 && drained > 5,
        "only {started} starts of {jobs} jobs, {drained} drained: the check is too weak"
    );
}
