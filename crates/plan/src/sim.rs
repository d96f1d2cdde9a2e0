//! One run: the controllers' scheduler, made from a snapshot, and stand-in machines,
//! from event to event. Machines report when something changed on them; that
//! they are there is told to the scheduler without a report, which would say nothing.

use crate::draw::Draws;
use crate::machine::{Book, JobFacts, Machine};
use foxspur::coordination::agents::direct_calls::CallResult;
use foxspur::coordination::agents::heartbeat::HeartbeatReply;
use foxspur::coordination::scheduler::snapshot::Snapshot;
use foxspur::coordination::scheduler::state::Scheduler;
use foxspur::protocol::admin::Drain;
use foxspur::protocol::job::JobSpec;
use foxspur::storage::marks::CompletedTasks;
use foxspur::storage::records::LiveJob;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::rc::Rc;

/// What happens in a run.
#[derive(Debug, Clone, Default)]
pub struct Script {
    /// Drains, and when each is ordered.
    pub drains: Vec<(f64, Drain)>,
    /// Machines that die, and when.
    pub deaths: Vec<(f64, String)>,
    /// Jobs that arrive, and when.
    pub arrivals: Vec<(f64, JobSpec)>,
    pub horizon_s: f64,
}

/// What came of a job.
#[derive(Debug, Clone, Default)]
pub struct JobEnd {
    /// When all its tasks were done, if within the horizon.
    pub done_s: Option<f64>,
    /// Starts, beyond one for each task that was not on a machine.
    pub starts: u32,
    pub lost_cpu_s: f64,
}

/// What came of a run.
#[derive(Debug, Default)]
pub struct Outcome {
    pub jobs: HashMap<String, JobEnd>,
    /// When each drained machine was proven empty.
    pub drained_s: HashMap<String, f64>,
    /// Free CPUs of machines in use, at each beat.
    pub free: Vec<(f64, f64)>,
    /// What ran on the drained machines: from, to, job, ended done.
    pub past: HashMap<String, Vec<(f64, f64, String, bool)>>,
    /// All starts: when, machine, job, number.
    pub starts: Vec<(f64, String, String, u32)>,
    /// Starts that the rules forbid: none.
    pub broken: Vec<String>,
}

/// Time in whole microseconds, to be ordered.
fn micros(s: f64) -> u64 {
    (s.max(0.0) * 1e6) as u64
}

struct Run<'a> {
    scheduler: Scheduler,
    book: Book,
    machines: Vec<Machine>,
    by_name: HashMap<String, usize>,
    /// When which machine has something to tell.
    due: BinaryHeap<Reverse<(u64, usize)>>,
    script: &'a Script,
    wishes: HashMap<String, (Drain, u64)>,
    version: u64,
    outcome: Outcome,
}

impl Run<'_> {
    /// The machine reports and carries out the answer, until there is no news.
    fn report(&mut self, at: usize, now: f64) {
        // Bounded: each round but the last carries out commands, or is told of what
        // ended, which is forgotten once its mark is written.
        for _ in 0..8 {
            let m = &mut self.machines[at];
            if m.dead {
                return;
            }
            let report = m.report();
            let HeartbeatReply::Commands(reply) = self.scheduler.handle_heartbeat(&report, now)
            else {
                return;
            };
            let m = &mut self.machines[at];
            let news = m.token < reply.token || !reply.commands.is_empty();
            m.token = m.token.max(reply.token);
            m.execute(&reply.commands, now, &mut self.book);
            m.pass(now, &mut self.book);
            let news = news || m.ended();
            self.write_marks(now);
            if !news {
                break;
            }
        }
        self.schedule(at);
    }

    fn schedule(&mut self, at: usize) {
        let next = self.machines[at].next();
        if next.is_finite() {
            self.due.push(Reverse((micros(next) + 1, at)));
        }
    }

    /// The ledger: marks are written at once, and a complete job is over.
    fn write_marks(&mut self, now: f64) {
        for id in self.scheduler.completions_due(usize::MAX) {
            let Some(job) = self.scheduler.jobs.get(&id) else {
                continue;
            };
            let (done, complete) = (job.completed.clone(), job.is_complete());
            self.version += 1;
            self.scheduler.completions_written(&id, &done, self.version);
            if complete {
                let end = self.outcome.jobs.entry(id.to_string()).or_default();
                end.done_s = Some(now);
                self.scheduler.finish_job(&id);
            }
        }
    }

    /// Commands that are sent straight away.
    fn send(&mut self, now: f64) {
        for _ in 0..64 {
            let names: Vec<_> = self.scheduler.outbox.drain(..).collect();
            if names.is_empty() {
                return;
            }
            for name in names {
                let Some((_, call)) = self.scheduler.next_direct_call(&name, now) else {
                    continue;
                };
                let Some(&at) = self.by_name.get(&*name) else {
                    continue;
                };
                let m = &mut self.machines[at];
                if m.dead {
                    self.scheduler
                        .direct_call_finished(&name, &call, CallResult::NotSent, now);
                    continue;
                }
                m.token = m.token.max(call.token);
                m.execute(&call.commands, now, &mut self.book);
                m.pass(now, &mut self.book);
                let report = m.report();
                self.scheduler.direct_call_finished(
                    &name,
                    &call,
                    CallResult::Executed(report),
                    now,
                );
                self.schedule(at);
            }
        }
    }

    /// What the script says for the time until now.
    fn script(&mut self, from: f64, now: f64) {
        let due = |at: f64| from <= at && at < now;
        for (at, spec) in self.script.arrivals.iter().filter(|a| due(a.0)) {
            let spec = Rc::new(spec.clone());
            self.version += 1;
            let record = LiveJob {
                spec: spec.clone(),
                at_ms: (at * 1000.0) as u64,
                done: String::new(),
            };
            self.scheduler
                .add_job(record, self.version, CompletedTasks::default());
            let known = self.scheduler.jobs.get(spec.id.as_str());
            let facts = JobFacts {
                predicted_s: known.map_or(0.0, |known| self.scheduler.predict(known)),
                spec: spec.clone(),
            };
            self.book.jobs.insert(spec.id.clone(), facts);
        }
        let mut news = false;
        for (_, drain) in self.script.drains.iter().filter(|d| due(d.0)) {
            self.version += 1;
            let known = (drain.clone(), self.version);
            self.wishes.insert(drain.host.clone(), known);
            news = true;
        }
        for (_, host) in self.script.deaths.iter().filter(|d| due(d.0)) {
            if let Some(&at) = self.by_name.get(host) {
                self.machines[at].die(&mut self.book);
            }
        }
        if news {
            self.scheduler.set_drains(&self.wishes);
        }
    }

    /// The owner's part of a beat.
    fn beat(&mut self, now: f64) {
        for m in self.machines.iter().filter(|m| !m.dead) {
            if let Some(known) = self.scheduler.machines.get_mut(m.info.id.as_str()) {
                known.heard_at = now;
                known.answered_at = Some(now);
            }
        }
        self.scheduler.tick(now, now);
        self.scheduler.place_all(now);
        self.send(now);
        for at in 0..self.machines.len() {
            if self.machines[at].ended() {
                self.report(at, now);
            }
        }
        if self.scheduler.machine_record_dirty {
            self.scheduler.machine_record_dirty = false;
            let wanted: Vec<_> = self
                .scheduler
                .wanted_machine_record()
                .into_iter()
                .cloned()
                .collect();
            self.scheduler.machine_record_written(&wanted);
        }
        for (drain, version) in self.scheduler.proven_drains(micros(now) / 1000, usize::MAX) {
            let known = self.wishes.get(&drain.host);
            if known.is_some_and(|w| w.1 == version) {
                self.outcome.drained_s.insert(drain.host.clone(), now);
                self.version += 1;
                self.wishes
                    .insert(drain.host.clone(), (drain, self.version));
                self.scheduler.set_drains(&self.wishes);
            }
        }
        self.outcome.free.push((now, self.scheduler.capacity().2));
    }
}

fn machines(snapshot: &Snapshot, book: &mut Book) -> Vec<Machine> {
    let alive = snapshot.machines.iter().filter(|m| m.alive);
    alive
        .map(|m| {
            let kind = snapshot.types.iter().find(|t| t.name == m.info.kind);
            let mut machine = Machine {
                info: m.info.clone(),
                session: m.session.max(1),
                seq: 0,
                token: snapshot.term,
                fetch_gb_per_s: kind.map_or(1.0, |t| t.fetch_gb_per_s),
                images: Default::default(),
                tasks: Default::default(),
                dead: false,
                past: Vec::new(),
            };
            for task in &m.tasks {
                if book.jobs.contains_key(&task.job) {
                    let key = (task.job.clone(), task.index, task.attempt);
                    machine.show(key, task.ran_s, book);
                }
            }
            machine
        })
        .collect()
}

/// Plays the snapshot forward.
pub fn run(snapshot: &Snapshot, script: &Script, seed: u64) -> Outcome {
    let mut scheduler = Scheduler::of_snapshot(snapshot, seed);
    let facts = snapshot.jobs.iter().map(|j| {
        let known = scheduler.jobs.get(j.spec.id.as_str());
        let facts = JobFacts {
            spec: Rc::new(j.spec.clone()),
            predicted_s: known.map_or(0.0, |known| scheduler.predict(known)),
        };
        (j.spec.id.clone(), facts)
    });
    let mut book = Book {
        jobs: facts.collect(),
        kept: HashMap::new(),
        draws: Draws::new(snapshot, seed),
        lost: HashMap::new(),
        starts: Vec::new(),
        on: HashMap::new(),
        used: HashMap::new(),
        limits: (snapshot.teams.iter().map(|t| (t.name.clone(), t.cpus_max))).collect(),
        broken: Vec::new(),
    };
    let machines = machines(snapshot, &mut book);
    let names = machines.iter().enumerate();
    let by_name = names.map(|(at, m)| (m.info.id.clone(), at)).collect();
    let wishes: HashMap<String, (Drain, u64)> = snapshot
        .drains
        .iter()
        .map(|d| (d.host.clone(), (d.clone(), 1)))
        .collect();
    scheduler.set_drains(&wishes);
    let mut run = Run {
        scheduler,
        book,
        machines,
        by_name,
        due: BinaryHeap::new(),
        script,
        wishes,
        version: 1,
        outcome: Outcome::default(),
    };
    for at in 0..run.machines.len() {
        run.report(at, 0.0);
    }
    for machine in &snapshot.machines {
        adopt_ages(&mut run.scheduler, machine);
    }
    // Twice in a report interval, as the controllers' own clock, within bounds
    // in which neither the count of beats nor what a beat finds grows large.
    let beat_s = (snapshot.report_s / 2.0).clamp(0.5, 2.0);
    let mut now = 0.0;
    run.beat(now);
    while now < script.horizon_s {
        let until = now + beat_s;
        run.script(now, until);
        while let Some(&Reverse((at_us, at))) = run.due.peek() {
            let at_s = at_us as f64 / 1e6;
            if at_s > until {
                break;
            }
            run.due.pop();
            let dead = run.machines[at].dead;
            if !dead && run.machines[at].pass(at_s, &mut run.book) {
                run.report(at, at_s.max(now));
                run.send(at_s.max(now));
            }
        }
        now = until;
        run.beat(now);
    }
    run.end()
}

/// The scheduler counts what it adopts from its first report on; here it is known for
/// how long each task has run.
fn adopt_ages(
    scheduler: &mut Scheduler,
    machine: &foxspur::coordination::scheduler::snapshot::SnapMachine,
) {
    let Some(m) = scheduler.machines.get_mut(machine.info.id.as_str()) else {
        return;
    };
    for task in &machine.tasks {
        let found = m.attempts.iter_mut().find(|(id, _)| {
            *id.task.job == *task.job && id.task.index == task.index && id.number == task.attempt
        });
        if let (Some((_, active)), Some(ran_s)) = (found, task.ran_s) {
            active.running_since = active.running_since.map(|_| -ran_s);
        }
    }
}

impl Run<'_> {
    fn end(mut self) -> Outcome {
        for (_, _, job, _) in &self.book.starts {
            self.outcome.jobs.entry(job.clone()).or_default().starts += 1;
        }
        for (job, lost) in &self.book.lost {
            self.outcome.jobs.entry(job.clone()).or_default().lost_cpu_s = *lost;
        }
        let end_s = self.script.horizon_s;
        for m in &mut self.machines {
            if self.wishes.contains_key(&m.info.id) {
                let mut past = std::mem::take(&mut m.past);
                let open = m.tasks.iter();
                let open =
                    open.filter(|(_, t)| t.phase == foxspur::protocol::worker::Phase::Running);
                past.extend(open.map(|(k, t)| (t.since, end_s, k.0.clone(), false)));
                self.outcome.past.insert(m.info.id.clone(), past);
            }
        }
        self.outcome.starts = self.book.starts;
        self.outcome.broken = self.book.broken;
        self.outcome
    }
}
