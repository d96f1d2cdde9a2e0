//! The state of a share at one moment, as plans are made from it, and a scheduler
//! made from such a snapshot: the same code decides there as here.

use crate::coordination::scheduler::fence::Fence;
use crate::coordination::scheduler::machine::MachineStatus;
use crate::coordination::scheduler::state::{Scheduler, SchedulerConfig};
use crate::protocol::admin::Drain;
use crate::protocol::cloud::MachineType;
use crate::protocol::job::JobSpec;
use crate::protocol::policy::Policy;
use crate::protocol::settings::{Objective, Team};
use crate::storage::marks::CompletedTasks;
use crate::storage::records::{LiveJob, MachineInfo};
use serde::{Deserialize, Serialize};
use std::rc::Rc;

/// Points of a distribution that travel with a snapshot.
const POINTS: usize = 32;

/// An attempt on a machine.
#[derive(Serialize, Deserialize, Debug, Clone, PartialEq)]
pub struct SnapTask {
    pub job: String,
    pub index: u32,
    pub attempt: u64,
    /// For how long it has run; `None` while it fetches or is under way.
    pub ran_s: Option<f64>,
}

/// A machine that tasks may be on.
#[derive(Serialize, Deserialize, Debug, Clone, PartialEq)]
pub struct SnapMachine {
    pub info: MachineInfo,
    /// Heard of lately, so that it is expected to go on.
    pub alive: bool,
    pub session: u64,
    pub tasks: Vec<SnapTask>,
}

/// A live job.
#[derive(Serialize, Deserialize, Debug, Clone, PartialEq)]
pub struct SnapJob {
    pub spec: JobSpec,
    pub age_s: f64,
    /// Done tasks, as ranges.
    pub done: String,
}

/// By how much the estimates of a class are off: run time against estimate, at
/// evenly spaced quantiles.
#[derive(Serialize, Deserialize, Debug, Clone, PartialEq)]
pub struct ClassError {
    pub class: String,
    pub tasks: u64,
    pub ratios: Vec<f64>,
}

/// A share at one moment.
#[derive(Serialize, Deserialize, Debug, Clone, PartialEq)]
pub struct Snapshot {
    pub term: u64,
    /// Revision of the live jobs that it shows.
    pub revision: u64,
    /// When it was made, in milliseconds of the time of day.
    pub at_ms: u64,
    pub report_s: f64,
    pub lease_s: f64,
    pub cancel_s: f64,
    pub teams: Vec<Team>,
    pub objectives: Vec<Objective>,
    pub policy: Policy,
    pub types: Vec<MachineType>,
    pub machines: Vec<SnapMachine>,
    pub jobs: Vec<SnapJob>,
    pub errors: Vec<ClassError>,
    /// Drains that stand.
    pub drains: Vec<Drain>,
}

impl Scheduler {
    /// The share as it is now.
    pub fn snapshot(&self, now: f64) -> Snapshot {
        let machines = self.machines.values();
        let up = machines.filter(|m| m.status != MachineStatus::Expired);
        let machines = up.map(|m| {
            let tasks = m.live_attempts().map(|(id, a)| SnapTask {
                job: id.task.job.to_string(),
                index: id.task.index,
                attempt: id.number,
                ran_s: a.running_since.map(|t| now - t),
            });
            SnapMachine {
                info: m.info.clone(),
                alive: m.fenced && self.silent_for(m.heard_at, now) < self.config.silent_s(),
                session: m.last_message.session,
                tasks: tasks.collect(),
            }
        });
        let jobs = self.jobs.values().filter(|j| !j.finished);
        let jobs = jobs.map(|j| SnapJob {
            spec: (*j.spec).clone(),
            age_s: now - j.accepted_at,
            done: j.completed.to_text(),
        });
        let errors = self.predictor.ratio.classes().into_iter();
        let errors = errors.map(|(class, h)| {
            let at = |i: usize| (i as f64 + 0.5) / POINTS as f64;
            let ratio = |i| h.value_at_quantile(at(i)) as f64 / 1000.0;
            ClassError {
                class: class.into(),
                tasks: h.len(),
                ratios: (0..POINTS).map(ratio).collect(),
            }
        });
        let mut types: Vec<MachineType> = self.types.values().cloned().collect();
        types.sort_by(|a, b| a.name.cmp(&b.name));
        Snapshot {
            term: self.term,
            revision: self.watched_revision,
            at_ms: ((now + self.wall_clock_offset_s) * 1000.0).max(0.0) as u64,
            report_s: self.config.report_s,
            lease_s: self.config.lease_s,
            cancel_s: self.config.cancel_s,
            teams: self.config.teams.clone(),
            objectives: self.config.objectives.clone(),
            policy: self.config.policy.clone(),
            types,
            machines: machines.collect(),
            jobs: jobs.collect(),
            errors: errors.collect(),
            drains: self.drains.values().map(|w| w.drain.clone()).collect(),
        }
    }

    /// An owner that took over, at the time 0, a share in this state: with the
    /// machines that go on in its record, and none heard of yet. Steady time is
    /// the time of day, so that deadlines count from the snapshot.
    pub fn of_snapshot(snapshot: &Snapshot, seed: u64) -> Scheduler {
        let params = SchedulerConfig {
            lease_s: snapshot.lease_s,
            report_s: snapshot.report_s,
            cancel_s: snapshot.cancel_s,
            // Nobody is deaf in a plan.
            round_s: 0.0,
            teams: snapshot.teams.clone(),
            objectives: snapshot.objectives.clone(),
            policy: snapshot.policy.clone(),
        };
        let term = snapshot.term + 1;
        let mut scheduler = Scheduler::new(params, term, Fence::new(term, Some(0.0)), seed);
        scheduler.set_types(&snapshot.types);
        for machine in snapshot.machines.iter().filter(|m| m.alive) {
            scheduler.add_recorded_machine(machine.info.clone(), 0.0);
        }
        for job in &snapshot.jobs {
            let record = LiveJob {
                spec: Rc::new(job.spec.clone()),
                at_ms: 0,
                done: job.done.clone(),
            };
            scheduler.add_job(record, 1, CompletedTasks::default());
            if let Some(made) = scheduler.jobs.get_mut(job.spec.id.as_str()) {
                made.accepted_at = -job.age_s;
            }
        }
        scheduler
    }
}
