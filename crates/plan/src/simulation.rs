//! A discrete-event simulation of the controllers' scheduler, created from a snapshot, and of
//! simulated machines. A machine sends a heartbeat only when something has changed on it.
//! Between heartbeats the simulation updates the scheduler's contact times directly, because a
//! heartbeat without changes would have no other effect.

use crate::cluster::{AttemptKey, Cluster, JobFacts, TaskKey};
use crate::machine::Machine;
use crate::scenario::{Outcome, Scenario};
use foxspur::coordination::agents::direct_calls::CallResult;
use foxspur::coordination::agents::heartbeat::HeartbeatReply;
use foxspur::coordination::scheduler::snapshot::{SnapMachine, Snapshot};
use foxspur::coordination::scheduler::state::Scheduler;
use foxspur::protocol::admin::Drain;
use foxspur::protocol::job::JobSpec;
use foxspur::storage::completed_tasks::CompletedTasks;
use foxspur::storage::records::LiveJob;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::rc::Rc;

/// The most heartbeats of one machine at one simulated time. Each heartbeat except the last
/// returns commands or reports exited attempts. The scheduler lets the machine forget exited
/// attempts after their completion has been written.
const MAX_HEARTBEAT_EXCHANGES: usize = 8;
/// The most rounds of direct calls at one simulated time.
const MAX_CALL_ROUNDS: usize = 64;
/// Bounds of the interval between two scheduling rounds, in seconds. They limit both the number
/// of rounds and the amount of work in one round.
const MIN_ROUND_S: f64 = 0.5;
const MAX_ROUND_S: f64 = 2.0;

/// Converts seconds to whole microseconds, which have a total order.
fn micros(seconds: f64) -> u64 {
    (seconds.max(0.0) * 1e6) as u64
}

/// Simulates the scenario, starting from the snapshot.
pub fn run(snapshot: &Snapshot, scenario: &Scenario, seed: u64) -> Outcome {
    let mut simulation = Simulation::new(snapshot, scenario, seed);
    for index in 0..simulation.machines.len() {
        simulation.exchange_heartbeats(index, 0.0);
    }
    for machine in &snapshot.machines {
        set_running_since(&mut simulation.scheduler, machine);
    }
    // Like the controllers, run two scheduling rounds per heartbeat interval.
    let round_s = (snapshot.report_s / 2.0).clamp(MIN_ROUND_S, MAX_ROUND_S);
    let mut now = 0.0;
    simulation.scheduling_round(now);
    while now < scenario.horizon_s {
        let until = now + round_s;
        simulation.apply_scenario(now, until);
        simulation.run_machines(now, until);
        now = until;
        simulation.scheduling_round(now);
    }
    simulation.into_outcome()
}

/// A drain and the version of its stored record.
type VersionedDrain = (Drain, u64);

struct Simulation<'a> {
    scheduler: Scheduler,
    cluster: Cluster,
    machines: Vec<Machine>,
    /// Indices into `machines`, by machine name.
    machine_indices: HashMap<String, usize>,
    /// Ends of attempt phases: the time in microseconds and the machine's index, earliest first.
    events: BinaryHeap<Reverse<(u64, usize)>>,
    scenario: &'a Scenario,
    drains: HashMap<String, VersionedDrain>,
    /// The version of the record that was written last.
    version: u64,
    outcome: Outcome,
}

impl<'a> Simulation<'a> {
    fn new(snapshot: &Snapshot, scenario: &'a Scenario, seed: u64) -> Simulation<'a> {
        let mut scheduler = Scheduler::from_snapshot(snapshot, seed);
        let facts = snapshot.jobs.iter().map(|job| {
            let facts = job_facts(&scheduler, Rc::new(job.spec.clone()));
            (job.spec.id.clone(), facts)
        });
        let mut cluster = Cluster::new(snapshot, facts.collect(), seed);
        let machines = machines(snapshot, &mut cluster);
        let indexed = machines.iter().enumerate();
        let machine_indices = indexed
            .map(|(index, machine)| (machine.info.id.clone(), index))
            .collect();
        let existing = snapshot.drains.iter();
        let drains = existing
            .map(|drain| (drain.host.clone(), (drain.clone(), 1)))
            .collect();
        scheduler.set_drains(&drains);
        Simulation {
            scheduler,
            cluster,
            machines,
            machine_indices,
            events: BinaryHeap::new(),
            scenario,
            drains,
            version: 1,
            outcome: Outcome::default(),
        }
    }

    /// Sends the machine's heartbeats and executes the replies until nothing changes any more.
    fn exchange_heartbeats(&mut self, index: usize, now: f64) {
        for _ in 0..MAX_HEARTBEAT_EXCHANGES {
            let machine = &mut self.machines[index];
            if machine.failed {
                return;
            }
            let heartbeat = machine.heartbeat();
            let reply = self.scheduler.handle_heartbeat(&heartbeat, now);
            let HeartbeatReply::Commands(reply) = reply else {
                return;
            };
            let changed = machine.token < reply.token || !reply.commands.is_empty();
            machine.token = machine.token.max(reply.token);
            machine.execute(&reply.commands, now, &mut self.cluster);
            machine.advance(now, &mut self.cluster);
            let changed = changed || machine.has_exited_attempts();
            self.write_completions(now);
            if !changed {
                break;
            }
        }
        self.schedule_event(index);
    }

    fn schedule_event(&mut self, index: usize) {
        let next = self.machines[index].next_phase_end();
        if next.is_finite() {
            self.events.push(Reverse((micros(next) + 1, index)));
        }
    }

    /// Records completed tasks as written, and finishes jobs of which all tasks are completed.
    fn write_completions(&mut self, now: f64) {
        for id in self.scheduler.completions_due(usize::MAX) {
            let Some(job) = self.scheduler.jobs.get(&id) else {
                continue;
            };
            let (completed, complete) = (job.completed.clone(), job.is_complete());
            self.version += 1;
            self.scheduler
                .completions_written(&id, &completed, self.version);
            if complete {
                let job_outcome = self.outcome.jobs.entry(id.to_string()).or_default();
                job_outcome.done_s = Some(now);
                self.scheduler.finish_job(&id);
            }
        }
    }

    /// Delivers the scheduler's direct calls until none are left.
    fn send_direct_calls(&mut self, now: f64) {
        for _ in 0..MAX_CALL_ROUNDS {
            let names: Vec<_> = self.scheduler.outbox.drain(..).collect();
            if names.is_empty() {
                return;
            }
            for name in names {
                let Some((_, call)) = self.scheduler.next_direct_call(&name, now) else {
                    continue;
                };
                let Some(&index) = self.machine_indices.get(&*name) else {
                    continue;
                };
                let machine = &mut self.machines[index];
                let result = if machine.failed {
                    CallResult::NotSent
                } else {
                    machine.token = machine.token.max(call.token);
                    machine.execute(&call.commands, now, &mut self.cluster);
                    machine.advance(now, &mut self.cluster);
                    CallResult::Executed(machine.heartbeat())
                };
                let failed = machine.failed;
                self.scheduler
                    .direct_call_finished(&name, &call, result, now);
                if !failed {
                    self.schedule_event(index);
                }
            }
        }
    }

    /// Applies the scenario's events from `from` up to, but not including, `until`.
    fn apply_scenario(&mut self, from: f64, until: f64) {
        let scenario = self.scenario;
        let due = |at: f64| from <= at && at < until;
        for (at_s, spec) in scenario.arrivals.iter().filter(|arrival| due(arrival.0)) {
            self.add_job(*at_s, spec);
        }
        let mut drains_written = false;
        for (_, drain) in scenario.drains.iter().filter(|drain| due(drain.0)) {
            self.write_drain(drain.clone());
            drains_written = true;
        }
        for (_, host) in scenario.failures.iter().filter(|failure| due(failure.0)) {
            if let Some(&index) = self.machine_indices.get(host) {
                self.machines[index].fail(&mut self.cluster);
            }
        }
        if drains_written {
            self.scheduler.set_drains(&self.drains);
        }
    }

    fn add_job(&mut self, at_s: f64, spec: &JobSpec) {
        let spec = Rc::new(spec.clone());
        self.version += 1;
        let record = LiveJob {
            spec: spec.clone(),
            accepted_at_ms: (at_s * 1000.0) as u64,
            done: String::new(),
        };
        self.scheduler
            .add_job(record, self.version, CompletedTasks::default());
        let facts = job_facts(&self.scheduler, spec.clone());
        self.cluster.jobs.insert(spec.id.clone(), facts);
    }

    /// Writes a drain's record. The scheduler learns of it only through `set_drains`.
    fn write_drain(&mut self, drain: Drain) {
        self.version += 1;
        let host = drain.host.clone();
        self.drains.insert(host, (drain, self.version));
    }

    /// Processes the events of all machines up to and including `until`.
    fn run_machines(&mut self, now: f64, until: f64) {
        while let Some(&Reverse((at_us, index))) = self.events.peek() {
            let at_s = at_us as f64 / 1e6;
            if at_s > until {
                break;
            }
            self.events.pop();
            let machine = &mut self.machines[index];
            if !machine.failed && machine.advance(at_s, &mut self.cluster) {
                self.exchange_heartbeats(index, at_s.max(now));
                self.send_direct_calls(at_s.max(now));
            }
        }
    }

    /// Runs one scheduling round of the leader and writes the records that it changed.
    fn scheduling_round(&mut self, now: f64) {
        self.record_heartbeats(now);
        self.scheduler.tick(now, now);
        self.scheduler.place_all(now);
        self.send_direct_calls(now);
        for index in 0..self.machines.len() {
            if self.machines[index].has_exited_attempts() {
                self.exchange_heartbeats(index, now);
            }
        }
        self.write_machine_record();
        self.write_proven_drains(now);
        self.outcome
            .free_cpus
            .push((now, self.scheduler.capacity().2));
    }

    /// Updates the contact times of all machines that have not failed, in place of heartbeats
    /// without changes.
    fn record_heartbeats(&mut self, now: f64) {
        for machine in self.machines.iter().filter(|m| !m.failed) {
            let name = machine.info.id.as_str();
            if let Some(known) = self.scheduler.machines.get_mut(name) {
                known.heard_at = now;
                known.answered_at = Some(now);
            }
        }
    }

    fn write_machine_record(&mut self) {
        if !self.scheduler.machine_record_dirty {
            return;
        }
        self.scheduler.machine_record_dirty = false;
        let record = self.scheduler.wanted_machine_record();
        let record: Vec<_> = record.into_iter().cloned().collect();
        self.scheduler.machine_record_written(&record);
    }

    fn write_proven_drains(&mut self, now: f64) {
        let now_ms = micros(now) / 1000;
        for (drain, version) in self.scheduler.proven_drains(now_ms, usize::MAX) {
            let known = self.drains.get(&drain.host);
            if known.is_some_and(|(_, known_version)| *known_version == version) {
                self.outcome.drained_s.insert(drain.host.clone(), now);
                self.write_drain(drain);
                self.scheduler.set_drains(&self.drains);
            }
        }
    }

    fn into_outcome(mut self) -> Outcome {
        let jobs = &mut self.outcome.jobs;
        for start in &self.cluster.starts {
            jobs.entry(start.job.clone()).or_default().starts += 1;
        }
        for (job, lost_cpu_s) in &self.cluster.lost_cpu_s {
            jobs.entry(job.clone()).or_default().lost_cpu_s = *lost_cpu_s;
        }
        for machine in &mut self.machines {
            let name = &machine.info.id;
            if self.drains.contains_key(name) {
                let name = name.clone();
                let spans = machine.take_spans(self.scenario.horizon_s);
                self.outcome.spans.insert(name, spans);
            }
        }
        self.outcome.starts = self.cluster.starts;
        self.outcome.violations = self.cluster.violations;
        self.outcome
    }
}

fn job_facts(scheduler: &Scheduler, spec: Rc<JobSpec>) -> JobFacts {
    let known = scheduler.jobs.get(spec.id.as_str());
    JobFacts {
        predicted_s: known.map_or(0.0, |known| scheduler.predicted_run_time_s(known)),
        spec,
    }
}

/// The snapshot's machines that send heartbeats, with their attempts.
fn machines(snapshot: &Snapshot, cluster: &mut Cluster) -> Vec<Machine> {
    let alive = snapshot.machines.iter().filter(|m| m.alive);
    alive
        .map(|shown| machine(snapshot, shown, cluster))
        .collect()
}

fn machine(snapshot: &Snapshot, shown: &SnapMachine, cluster: &mut Cluster) -> Machine {
    let kind = snapshot.types.iter().find(|t| t.name == shown.info.kind);
    let fetch_gb_per_s = kind.map_or(1.0, |t| t.fetch_gb_per_s);
    let session = shown.session.max(1);
    let mut machine = Machine::new(shown.info.clone(), session, snapshot.term, fetch_gb_per_s);
    for task in &shown.tasks {
        if cluster.jobs.contains_key(&task.job) {
            let key = AttemptKey {
                task: TaskKey {
                    job: task.job.clone(),
                    index: task.index,
                },
                number: task.attempt,
            };
            machine.adopt(key, task.ran_s, cluster);
        }
    }
    machine
}

/// Sets the start times of the machine's attempts. The scheduler takes an adopted attempt to
/// have started when the machine's first heartbeat reports it, but the snapshot holds how long
/// each attempt has run.
fn set_running_since(scheduler: &mut Scheduler, shown: &SnapMachine) {
    let Some(machine) = scheduler.machines.get_mut(shown.info.id.as_str()) else {
        return;
    };
    for task in &shown.tasks {
        let found = machine.attempts.iter_mut().find(|(id, _)| {
            *id.task.job == *task.job && id.task.index == task.index && id.number == task.attempt
        });
        if let (Some((_, active)), Some(ran_s)) = (found, task.ran_s) {
            active.running_since = active.running_since.map(|_| -ran_s);
        }
    }
}
