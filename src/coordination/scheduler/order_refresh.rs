//! Rebuilding the job order: jobs are sorted by precedence, then jobs of underserved groups are
//! raised up to their fair-share floor, then the first tasks of jobs that have waited too long
//! are put in front.

use crate::coordination::scheduler::fair_share::FairShareGroup;
use crate::coordination::scheduler::job::{Job, Name};
use crate::coordination::scheduler::job_order::{JobOrder, OrderedJob, PreemptionCandidate};
use crate::coordination::scheduler::precedence::{FLOOR_RANK, LATE_RANK};
use crate::coordination::scheduler::preemption_cost::cost_factor;
use crate::coordination::scheduler::state::Scheduler;

/// Number of rebuilds of the order per heartbeat interval if no job was added or removed.
/// This is often enough, because remaining work and reachable objectives change slowly.
const REFRESHES_PER_HEARTBEAT: f64 = 4.0;

/// Maximum number of rebuilds of the order per heartbeat interval. Jobs that are added or removed
/// between two rebuilds are taken into account by the second one.
const MAX_REFRESHES_PER_HEARTBEAT: f64 = 20.0;

/// The fleet's CPUs divided by this number are available to prioritized first tasks. The limit
/// matters when hundreds of jobs wait: without it, their first tasks would take as many CPUs in
/// total as half of the jobs of a class need.
const FIRST_TASKS_CPU_DIVISOR: f64 = 16.0;

/// The rate at which placed tasks of one size are expected to free CPUs.
struct ReleaseRate {
    /// CPUs that one task uses.
    task_cpus: f64,
    /// CPUs that become free per second.
    cpus_per_s: f64,
}

fn is_member(job: &Job, group: &FairShareGroup) -> bool {
    match group {
        FairShareGroup::Class(class) => job.spec.class == *class,
        FairShareGroup::Team(team) => job.team == Some(*team),
    }
}

impl Scheduler {
    /// Rebuilds the order if jobs were added or removed, or if enough time has passed.
    pub(crate) fn refresh_job_order(&mut self, now: f64) {
        let age_s = now - self.job_order.refreshed_at;
        let heartbeat_s = self.config.heartbeat_s;
        let is_recent = age_s < heartbeat_s / REFRESHES_PER_HEARTBEAT && !self.job_order.is_stale;
        if is_recent || (0.0..heartbeat_s / MAX_REFRESHES_PER_HEARTBEAT).contains(&age_s) {
            return;
        }
        if self.job_order.is_stale {
            self.update_guarantees();
        }
        let names = self.jobs_to_order();
        self.record_outcomes(now);
        let mut order = JobOrder {
            refreshed_at: now,
            ..JobOrder::default()
        };
        for name in names {
            self.add_to_order(&mut order, name, now);
        }
        order.sort_jobs();
        if self.config.policy.floor_share > 0.0 {
            self.apply_fair_share_floor(&mut order);
            order.sort_jobs();
        }
        if self.config.policy.patience > 0.0 {
            self.update_preemption_need(&order, now);
        }
        self.prioritize_first_tasks(&mut order, now);
        order.sort_preemption_candidates();
        self.job_order = order;
    }

    /// Names of the jobs that belong in the order: jobs that are neither marked as finished nor
    /// have all their tasks completed.
    fn jobs_to_order(&self) -> Vec<Name> {
        self.jobs
            .iter()
            .filter(|(_, job)| !job.finished && !job.is_complete())
            .map(|(name, _)| name.clone())
            .collect()
    }

    /// Adds the job to the order and the preemption candidates, and updates whether it has a
    /// reachable objective.
    fn add_to_order(&mut self, order: &mut JobOrder, name: Name, now: f64) {
        let Some(job) = self.jobs.get(&name) else {
            return;
        };
        let objective_reachable = self.has_reachable_objective(job, now);
        let precedence = self.precedence(job, now);
        order
            .jobs
            .push(OrderedJob::new(name.clone(), job, precedence));
        let Some(job) = self.jobs.get_mut(&name) else {
            return;
        };
        job.claims.objective_reachable = objective_reachable;
        let tasks_left = f64::from(job.tasks_left());
        order.preemption_candidates.push(PreemptionCandidate {
            cost_factor: cost_factor(job),
            work_left: tasks_left * job.spec.estimate_s * job.spec.cpus.max(job.spec.gpus),
            job: name,
        });
    }

    /// For each job that has met the earliest objective for its completion, or can no longer
    /// meet it, records the outcome for the job's class and team.
    fn record_outcomes(&mut self, now: f64) {
        let mut outcomes = Vec::new();
        for (name, job) in &self.jobs {
            if let Some(met) = self.new_outcome(job, now) {
                outcomes.push((name.clone(), met));
            }
        }
        for (name, met) in outcomes {
            let Some(job) = self.jobs.get_mut(&name) else {
                continue;
            };
            job.outcome_recorded = true;
            let class = FairShareGroup::Class(job.spec.class.clone());
            self.fair_share.record_outcome(&class, met);
            if let Some(team) = job.team {
                self.fair_share
                    .record_outcome(&FairShareGroup::Team(team), met);
            }
        }
    }

    /// Whether the job met the earliest objective for its completion. `None` if the outcome is
    /// already recorded or still undecided, if the job has no such objective, or if the job was
    /// cancelled.
    fn new_outcome(&self, job: &Job, now: f64) -> Option<bool> {
        if job.outcome_recorded || job.finished && !job.is_complete() {
            return None;
        }
        let left_s = self.due_times(job, now).min_by(f64::total_cmp)?;
        if job.is_complete() {
            return Some(left_s >= 0.0);
        }
        (left_s < self.predicted_run_time_s(job)).then_some(false)
    }

    /// Raises the rank of the first jobs of each underserved group until the unfinished tasks of
    /// the raised jobs require the CPUs of the group's floor. All underserved groups have equal
    /// floors, which together are the policy's `floor_share` of the fleet's CPUs.
    fn apply_fair_share_floor(&mut self, order: &mut JobOrder) {
        for job in self.jobs.values_mut() {
            job.claims.underserved = false;
        }
        let groups: Vec<FairShareGroup> =
            self.fair_share.underserved().into_iter().cloned().collect();
        if groups.is_empty() {
            return;
        }
        let floor_cpus =
            self.fleet_capacity().cpus * self.config.policy.floor_share / groups.len() as f64;
        for group in &groups {
            self.raise_to_floor(order, group, floor_cpus);
        }
    }

    /// Raises the rank of the first jobs of the group until the unfinished tasks of the raised
    /// jobs require `floor_cpus` CPUs.
    fn raise_to_floor(&mut self, order: &mut JobOrder, group: &FairShareGroup, floor_cpus: f64) {
        let mut required_cpus = 0.0;
        for entry in &mut order.jobs {
            let Some(job) = self.jobs.get_mut(&entry.name) else {
                continue;
            };
            if !is_member(job, group) || entry.precedence.rank == LATE_RANK {
                continue;
            }
            if required_cpus >= floor_cpus {
                return;
            }
            let tasks = job.unplaced_tasks() + job.placed.len() as u32;
            required_cpus += f64::from(tasks) * job.spec.cpus;
            job.claims.underserved = true;
            entry.precedence.rank = entry.precedence.rank.min(FLOOR_RANK);
        }
    }

    /// Puts the first tasks of jobs that have waited too long for their first start in front
    /// of all other jobs. Without this, smallest-first order, urgency and floors could starve
    /// the largest jobs for as long as the load lasts. One task of each such job takes little
    /// capacity from the other jobs.
    fn prioritize_first_tasks(&self, order: &mut JobOrder, now: f64) {
        let begin_s = self.config.policy.begin_s;
        if begin_s <= 0.0 {
            return;
        }
        let has_waited_too_long = |job: &Job| {
            !job.has_started() && !job.is_suspect() && now - job.accepted_at > begin_s / 2.0
        };
        let mut first_tasks: Vec<OrderedJob> = order
            .jobs
            .iter()
            .filter_map(|entry| {
                let job = self.jobs.get(&entry.name);
                let job = job.filter(|job| has_waited_too_long(job))?;
                Some(OrderedJob::first_task(entry, job.accepted_at))
            })
            .collect();
        first_tasks.sort_by(|a, b| a.precedence.key.total_cmp(&b.precedence.key));
        let mut cpus_left = self.fleet_capacity().cpus / FIRST_TASKS_CPU_DIVISOR
            - self.prioritized_first_task_cpus();
        first_tasks.retain(|entry| {
            let fits = cpus_left > 0.0;
            cpus_left -= entry.requirements.cpus;
            fits
        });
        order.jobs.splice(0..0, first_tasks);
    }

    /// CPUs in use by first tasks that were started ahead of other jobs.
    fn prioritized_first_task_cpus(&self) -> f64 {
        let jobs = self.jobs.values();
        jobs.filter(|job| job.runs_only_prioritized_first_task())
            .map(|job| job.spec.cpus)
            .sum()
    }

    /// Determines which jobs need preemption. A job needs preemption if running tasks are not
    /// expected to end and free enough CPUs within a fraction of the job's slack. The fraction is
    /// the policy's `patience`. For other jobs, preemption would lose work without helping any
    /// job to meet its objective.
    fn update_preemption_need(&mut self, order: &JobOrder, now: f64) {
        let rates = self.release_rates();
        let mut cpus_ahead = 0.0;
        for entry in &order.jobs {
            let Some(job) = self.jobs.get(&entry.name) else {
                continue;
            };
            cpus_ahead += f64::from(job.unplaced_tasks()) * job.spec.cpus;
            let fitting = rates.iter().filter(|rate| rate.task_cpus >= job.spec.cpus);
            let cpus_per_s: f64 = fitting.map(|rate| rate.cpus_per_s).sum();
            let slack_s = self.slack_s(job, now).unwrap_or(0.0);
            let needed = cpus_ahead > cpus_per_s * slack_s * self.config.policy.patience;
            if let Some(job) = self.jobs.get_mut(&entry.name) {
                job.claims.preemption_needed = needed;
            }
        }
    }

    /// The rates at which placed tasks are predicted to free CPUs when they end, one rate per task
    /// size.
    fn release_rates(&self) -> Vec<ReleaseRate> {
        let mut rates: Vec<ReleaseRate> = Vec::new();
        for job in self.jobs.values().filter(|job| !job.placed.is_empty()) {
            let task_cpus = job.spec.cpus;
            let cpus_per_s =
                job.placed.len() as f64 * task_cpus / self.predicted_run_time_s(job).max(1.0);
            match rates.iter_mut().find(|rate| rate.task_cpus == task_cpus) {
                Some(rate) => rate.cpus_per_s += cpus_per_s,
                None => rates.push(ReleaseRate {
                    task_cpus,
                    cpus_per_s,
                }),
            }
        }
        rates
    }
}
