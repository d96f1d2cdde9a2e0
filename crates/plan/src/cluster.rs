//! What all machines of a simulation share: facts about jobs, checkpoints, and the check that
//! the scheduler's decisions violate no rule.

use crate::draw::Draws;
use crate::scenario::TaskStart;
use foxspur::coordination::scheduler::snapshot::Snapshot;
use foxspur::protocol::job::JobSpec;
use foxspur::storage::records::MachineInfo;
use std::collections::HashMap;
use std::rc::Rc;

/// Slack for sums of CPUs, which are not whole numbers.
const CPU_TOLERANCE: f64 = 1e-6;

/// A task of a job.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) struct TaskKey {
    pub job: String,
    pub index: u32,
}

impl TaskKey {
    /// Reads `JOB/INDEX`.
    pub fn parse(text: &str) -> Option<TaskKey> {
        let (job, index) = text.rsplit_once('/')?;
        Some(TaskKey {
            job: job.into(),
            index: index.parse().ok()?,
        })
    }
}

/// An attempt of a task; ordered by job, index and number.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) struct AttemptKey {
    pub task: TaskKey,
    pub number: u64,
}

/// What machines need to know of a job.
pub(crate) struct JobFacts {
    pub spec: Rc<JobSpec>,
    /// The scheduler's prediction of a task's run time.
    pub predicted_s: f64,
}

/// The state that all machines of a simulation share.
pub(crate) struct Cluster {
    pub jobs: HashMap<String, JobFacts>,
    /// Seconds of work that the last checkpoint of each stopped task kept.
    pub checkpoints: HashMap<TaskKey, f64>,
    pub draws: Draws,
    /// CPU seconds lost by stopping, by job.
    pub lost_cpu_s: HashMap<String, f64>,
    /// Starts, in their order.
    pub starts: Vec<TaskStart>,
    /// Attempts of each task that are on machines.
    attempts: HashMap<TaskKey, u32>,
    /// CPUs that each team uses, and the most it may use; 0 for no limit.
    used_cpus: HashMap<String, f64>,
    cpu_limits: HashMap<String, f64>,
    pub violations: Vec<String>,
}

impl Cluster {
    /// The state of a snapshot's jobs and teams; nothing is on a machine yet.
    pub fn new(snapshot: &Snapshot, jobs: HashMap<String, JobFacts>, seed: u64) -> Cluster {
        let limits = snapshot.teams.iter().map(|t| (t.name.clone(), t.cpus_max));
        Cluster {
            jobs,
            checkpoints: HashMap::new(),
            draws: Draws::new(snapshot, seed),
            lost_cpu_s: HashMap::new(),
            starts: Vec::new(),
            attempts: HashMap::new(),
            used_cpus: HashMap::new(),
            cpu_limits: limits.collect(),
            violations: Vec::new(),
        }
    }

    /// The description of an attempt's job.
    pub fn spec(&self, key: &AttemptKey) -> &Rc<JobSpec> {
        &self.jobs[&key.task.job].spec
    }

    /// CPU time of a job is lost.
    pub fn add_lost(&mut self, job: &str, cpu_s: f64) {
        *self.lost_cpu_s.entry(job.into()).or_default() += cpu_s;
    }

    /// An attempt comes onto a machine: checks that it may.
    pub fn attempt_added(&mut self, key: &AttemptKey, machine: &MachineInfo) {
        let spec = self.spec(key).clone();
        let attempts = self.attempts.entry(key.task.clone()).or_default();
        *attempts += 1;
        if *attempts > 1 {
            let TaskKey { job, index } = &key.task;
            let violation = format!("{job}/{index} is on {attempts} machines");
            self.violations.push(violation);
        }
        self.check_limit(&spec);
        self.check_constraints(&spec, machine);
    }

    fn check_limit(&mut self, spec: &JobSpec) {
        let team = &spec.team;
        let used = self.used_cpus.entry(team.clone()).or_default();
        *used += spec.cpus;
        let limit = self.cpu_limits.get(team).copied().unwrap_or(0.0);
        if limit > 0.0 && *used > limit + CPU_TOLERANCE {
            let violation = format!("{team} uses {used} of {limit} CPUs");
            self.violations.push(violation);
        }
    }

    fn check_constraints(&mut self, spec: &JobSpec, machine: &MachineInfo) {
        let types = spec.types.as_ref();
        let type_allowed = types.is_none_or(|types| types.contains(&machine.kind));
        let zone_allowed = spec.zone.as_ref().is_none_or(|z| *z == machine.zone);
        let spot_allowed = !machine.spot || spec.spot;
        if !type_allowed || !zone_allowed || !spot_allowed {
            let violation = format!("{} may not start on {}", spec.id, machine.id);
            self.violations.push(violation);
        }
    }

    /// An attempt is gone from its machine.
    pub fn attempt_removed(&mut self, key: &AttemptKey) {
        let spec = self.spec(key).clone();
        if let Some(attempts) = self.attempts.get_mut(&key.task) {
            *attempts = attempts.saturating_sub(1);
        }
        *self.used_cpus.entry(spec.team.clone()).or_default() -= spec.cpus;
    }
}
