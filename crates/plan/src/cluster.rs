//! The state that all machines of a simulation share: data of the jobs, checkpoints, and the
//! checks that the scheduler's decisions violate no rule.

use crate::draw::Draws;
use crate::scenario::TaskStart;
use foxspur::coordination::scheduler::snapshot::Snapshot;
use foxspur::protocol::job::JobSpec;
use foxspur::storage::records::MachineInfo;
use std::collections::HashMap;
use std::rc::Rc;

/// Tolerance for rounding errors in sums of CPUs, which may be fractional.
const CPU_TOLERANCE: f64 = 1e-6;

/// A task of a job.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) struct TaskKey {
    pub job: String,
    pub index: u32,
}

impl TaskKey {
    /// Parses `JOB/INDEX`.
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

/// What machines need to know about a job.
pub(crate) struct JobFacts {
    pub spec: Rc<JobSpec>,
    /// The scheduler's prediction of a task's run time.
    pub predicted_s: f64,
}

/// The state that all machines of a simulation share.
pub(crate) struct Cluster {
    pub jobs: HashMap<String, JobFacts>,
    /// Seconds of work that the last checkpoint of each stopped task contains.
    pub checkpoints: HashMap<TaskKey, f64>,
    pub draws: Draws,
    /// CPU seconds lost because attempts were stopped, by job: work to be done again and time
    /// spent on last checkpoints.
    pub lost_cpu_s: HashMap<String, f64>,
    /// Starts of tasks, in chronological order.
    pub starts: Vec<TaskStart>,
    /// The number of attempts of each task that are on machines.
    attempt_counts: HashMap<TaskKey, u32>,
    /// CPUs that each team uses.
    used_cpus: HashMap<String, f64>,
    /// The most CPUs that each team may use; 0 for no limit.
    cpu_limits: HashMap<String, f64>,
    /// Descriptions of decisions that violate a rule of the scheduler.
    pub violations: Vec<String>,
}

impl Cluster {
    /// The state of a snapshot's jobs and teams, without attempts.
    pub fn new(snapshot: &Snapshot, jobs: HashMap<String, JobFacts>, seed: u64) -> Cluster {
        let limits = snapshot.teams.iter();
        let limits = limits.map(|team| (team.name.clone(), team.cpus_max));
        Cluster {
            jobs,
            checkpoints: HashMap::new(),
            draws: Draws::new(snapshot, seed),
            lost_cpu_s: HashMap::new(),
            starts: Vec::new(),
            attempt_counts: HashMap::new(),
            used_cpus: HashMap::new(),
            cpu_limits: limits.collect(),
            violations: Vec::new(),
        }
    }

    /// The specification of an attempt's job.
    pub fn spec(&self, key: &AttemptKey) -> &Rc<JobSpec> {
        &self.jobs[&key.task.job].spec
    }

    /// Adds lost CPU time of a job.
    pub fn add_lost(&mut self, job: &str, cpu_s: f64) {
        *self.lost_cpu_s.entry(job.into()).or_default() += cpu_s;
    }

    /// Adds an attempt to a machine and records any rule that this violates.
    pub fn attempt_added(&mut self, key: &AttemptKey, machine: &MachineInfo) {
        let spec = self.spec(key).clone();
        let count = self.attempt_counts.entry(key.task.clone()).or_default();
        *count += 1;
        if *count > 1 {
            let TaskKey { job, index } = &key.task;
            let violation = format!("{job}/{index} is on {count} machines");
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
        let zone_allowed = spec.zone.as_ref().is_none_or(|zone| *zone == machine.zone);
        let spot_allowed = !machine.spot || spec.spot;
        if !type_allowed || !zone_allowed || !spot_allowed {
            let violation = format!("{} may not start on {}", spec.id, machine.id);
            self.violations.push(violation);
        }
    }

    /// Removes an attempt from its machine.
    pub fn attempt_removed(&mut self, key: &AttemptKey) {
        let spec = self.spec(key).clone();
        if let Some(count) = self.attempt_counts.get_mut(&key.task) {
            *count = count.saturating_sub(1);
        }
        *self.used_cpus.entry(spec.team.clone()).or_default() -= spec.cpus;
    }
}
