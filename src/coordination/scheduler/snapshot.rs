//! Takes snapshots of the scheduler's state, and creates schedulers from snapshots. A plan is
//! computed from a snapshot by the same code that makes the decisions on a leader.

use crate::coordination::scheduler::fence::Fence;
use crate::coordination::scheduler::job::Job;
use crate::coordination::scheduler::machine::{Machine, MachineStatus};
use crate::coordination::scheduler::state::{Scheduler, SchedulerConfig};
use crate::protocol::admin::Drain;
use crate::protocol::cloud::MachineType;
use crate::protocol::job::JobSpec;
use crate::protocol::policy::Policy;
use crate::protocol::settings::{Objective, Team};
use crate::storage::completed_tasks::CompletedTasks;
use crate::storage::records::{LiveJob, MachineInfo};
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use std::rc::Rc;

/// Number of quantiles by which a snapshot describes a distribution.
const QUANTILES: usize = 32;

/// An attempt on a machine.
#[derive(Serialize, Deserialize, Debug, Clone, PartialEq)]
pub struct SnapTask {
    /// The job.
    pub job: String,
    /// Index of the task within the job.
    pub index: u32,
    /// Number of the attempt.
    pub attempt: u64,
    /// For how many seconds the attempt has run; `None` if it has not been reported as
    /// running.
    pub ran_s: Option<f64>,
}

/// A machine that may run tasks.
#[derive(Serialize, Deserialize, Debug, Clone, PartialEq)]
pub struct SnapMachine {
    /// The machine's entry in the machine record.
    pub info: MachineInfo,
    /// Whether the machine is fenced and not silent; it is then expected to keep running.
    pub alive: bool,
    /// The machine's present session.
    pub session: u64,
    /// The attempts that occupy capacity on the machine.
    pub tasks: Vec<SnapTask>,
}

/// A live job.
#[derive(Serialize, Deserialize, Debug, Clone, PartialEq)]
pub struct SnapJob {
    /// The job description, as submitted.
    pub spec: JobSpec,
    /// Seconds since the job was accepted.
    pub age_s: f64,
    /// Completed tasks, as ranges in text form.
    pub done: String,
}

/// Distribution of the errors of run-time estimates for tasks of a job class.
#[derive(Serialize, Deserialize, Debug, Clone, PartialEq)]
pub struct ClassError {
    /// The class; empty for all classes together.
    pub class: String,
    /// Number of tasks that the distribution is based on.
    pub tasks: u64,
    /// Ratios of actual to estimated run time, at evenly spaced quantiles.
    pub ratios: Vec<f64>,
}

/// The scheduler's state at one time.
#[derive(Serialize, Deserialize, Debug, Clone, PartialEq)]
pub struct Snapshot {
    /// The leader's term.
    pub term: u64,
    /// Revision of the state service up to which changes of live jobs are included.
    pub revision: u64,
    /// When the snapshot was taken, in milliseconds of wall-clock time.
    pub at_ms: u64,
    /// Interval between heartbeats of a worker, in seconds.
    pub report_s: f64,
    /// Duration of a worker's lease, in seconds.
    pub lease_s: f64,
    /// Time, in seconds, within which all tasks of a cancelled job must have stopped.
    pub cancel_s: f64,
    /// Teams with their guarantees and limits.
    pub teams: Vec<Team>,
    /// Service-level objectives.
    pub objectives: Vec<Objective>,
    /// Tunables of placement and preemption.
    pub policy: Policy,
    /// Machine types that the cloud offers.
    pub types: Vec<MachineType>,
    /// Machines that may run tasks.
    pub machines: Vec<SnapMachine>,
    /// Live jobs.
    pub jobs: Vec<SnapJob>,
    /// Errors of run-time estimates, by class.
    pub errors: Vec<ClassError>,
    /// Drains in effect.
    pub drains: Vec<Drain>,
}

/// The error distribution of a class. The histogram holds ratios of actual to estimated run
/// time, in thousandths.
fn class_error(class: &str, ratios_permille: &Histogram<u32>) -> ClassError {
    let quantile = |i: usize| (i as f64 + 0.5) / QUANTILES as f64;
    let ratio = |i| ratios_permille.value_at_quantile(quantile(i)) as f64 / 1000.0;
    ClassError {
        class: class.into(),
        tasks: ratios_permille.len(),
        ratios: (0..QUANTILES).map(ratio).collect(),
    }
}

fn snap_job(job: &Job, now: f64) -> SnapJob {
    SnapJob {
        spec: (*job.spec).clone(),
        age_s: now - job.accepted_at,
        done: job.completed.to_text(),
    }
}

impl Scheduler {
    /// Takes a snapshot of the current state.
    pub fn snapshot(&self, now: f64) -> Snapshot {
        let machines = self.machines.values();
        let unexpired = machines.filter(|machine| machine.status != MachineStatus::Expired);
        let jobs = self.jobs.values().filter(|job| !job.finished);
        let errors = self.predictor.ratio.classes().into_iter();
        let mut types: Vec<MachineType> = self.types.values().cloned().collect();
        types.sort_by(|a, b| a.name.cmp(&b.name));
        Snapshot {
            term: self.term,
            revision: self.watched_revision,
            at_ms: ((now + self.wall_clock_offset_s) * 1000.0).max(0.0) as u64,
            report_s: self.config.heartbeat_s,
            lease_s: self.config.lease_s,
            cancel_s: self.config.cancel_s,
            teams: self.config.teams.clone(),
            objectives: self.config.objectives.clone(),
            policy: self.config.policy.clone(),
            types,
            machines: unexpired
                .map(|machine| self.snap_machine(machine, now))
                .collect(),
            jobs: jobs.map(|job| snap_job(job, now)).collect(),
            errors: errors
                .map(|(class, ratios)| class_error(class, ratios))
                .collect(),
            drains: self
                .drains
                .values()
                .map(|active_drain| active_drain.drain.clone())
                .collect(),
        }
    }

    fn snap_machine(&self, machine: &Machine, now: f64) -> SnapMachine {
        let tasks = machine.live_attempts().map(|(id, attempt)| SnapTask {
            job: id.task.job.to_string(),
            index: id.task.index,
            attempt: id.number,
            ran_s: attempt.running_since.map(|since| now - since),
        });
        let silent_s = self.silent_for(machine.heard_at, now);
        SnapMachine {
            info: machine.info.clone(),
            alive: machine.fenced && silent_s < self.config.silent_s(),
            session: machine.last_message.session,
            tasks: tasks.collect(),
        }
    }

    /// Creates the scheduler of a leader that takes over the state of the snapshot at time 0.
    /// The leader's machine record lists the machines that are alive in the snapshot, and no
    /// message has arrived from these machines yet. Jobs keep the age that they have in the
    /// snapshot, so that their deadlines are still measured from their acceptance.
    pub fn from_snapshot(snapshot: &Snapshot, seed: u64) -> Scheduler {
        let config = SchedulerConfig {
            lease_s: snapshot.lease_s,
            heartbeat_s: snapshot.report_s,
            cancel_s: snapshot.cancel_s,
            // In a plan every controller responds, so workers never retry in rounds.
            retry_round_s: 0.0,
            teams: snapshot.teams.clone(),
            objectives: snapshot.objectives.clone(),
            policy: snapshot.policy.clone(),
        };
        let term = snapshot.term + 1;
        let mut scheduler = Scheduler::new(config, term, Fence::new(term, Some(0.0)), seed);
        scheduler.set_types(&snapshot.types);
        for machine in snapshot.machines.iter().filter(|machine| machine.alive) {
            scheduler.add_recorded_machine(machine.info.clone(), 0.0);
        }
        for job in &snapshot.jobs {
            scheduler.add_snap_job(job);
        }
        scheduler
    }

    fn add_snap_job(&mut self, job: &SnapJob) {
        let record = LiveJob {
            spec: Rc::new(job.spec.clone()),
            accepted_at_ms: 0,
            done: job.done.clone(),
        };
        self.add_job(record, 1, CompletedTasks::default());
        if let Some(added) = self.jobs.get_mut(job.spec.id.as_str()) {
            added.accepted_at = -job.age_s;
        }
    }
}
