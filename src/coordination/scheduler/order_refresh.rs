//! Making the order of jobs anew: precedence, then the floors of groups that are owed
//! capacity, then first tasks that waited for long.

use crate::coordination::scheduler::fair_share::FairShareGroup;
use crate::coordination::scheduler::job::{Job, Name};
use crate::coordination::scheduler::job_order::{JobOrder, OrderedJob, PreemptionCandidate};
use crate::coordination::scheduler::precedence::{FLOOR_RANK, LATE_RANK};
use crate::coordination::scheduler::preemption_cost::cost_factor;
use crate::coordination::scheduler::state::Scheduler;

/// The order is made anew this often within a heartbeat interval, even if no job came or
/// went: objectives go out of reach and the work left shrinks slowly compared to that.
const REFRESHES_PER_REPORT: f64 = 4.0;

/// Jobs that come or go within this part of a heartbeat interval are taken in together.
const STALE_REFRESHES_PER_REPORT: f64 = 20.0;

/// Bound on the part of the fleet's CPUs for first tasks that go before all else, as a
/// divisor: where hundreds of jobs wait, a task of each could have served half of a class.
const FIRST_TASKS_PART: f64 = 16.0;

/// CPUs that become free per second on machines where tasks of one size run.
struct ReleaseRate {
    task_cpus: f64,
    cpus_per_s: f64,
}

fn is_member(job: &Job, group: &FairShareGroup) -> bool {
    match group {
        FairShareGroup::Class(class) => job.spec.class == *class,
        FairShareGroup::Team(team) => job.team == Some(*team),
    }
}

impl Scheduler {
    /// Makes the order anew if jobs came or went, or enough time has passed.
    pub(crate) fn refresh_job_order(&mut self, now: f64) {
        let age_s = now - self.job_order.made_at;
        let report_s = self.config.heartbeat_s;
        let is_recent = age_s < report_s / REFRESHES_PER_REPORT && !self.job_order.is_stale;
        if is_recent || (0.0..report_s / STALE_REFRESHES_PER_REPORT).contains(&age_s) {
            return;
        }
        if self.job_order.is_stale {
            self.update_guarantees();
        }
        let names = self.jobs_to_order();
        self.record_outcomes(now);
        let mut order = JobOrder {
            made_at: now,
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
            self.judge_preemption_need(&order, now);
        }
        self.put_first_tasks_first(&mut order, now);
        order.sort_preemption_candidates();
        self.job_order = order;
    }

    fn jobs_to_order(&self) -> Vec<Name> {
        self.jobs
            .iter()
            .filter(|(_, job)| !job.finished && !job.is_complete())
            .map(|(name, _)| name.clone())
            .collect()
    }

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
        let left = f64::from(job.tasks_left());
        order.preemption_candidates.push(PreemptionCandidate {
            cost_factor: cost_factor(job),
            work_left: left * job.spec.estimate_s * job.spec.cpus.max(job.spec.gpus),
            job: name,
        });
    }

    /// Counts jobs that met their first finishing objective, or cannot any more.
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

    /// Whether the job met its first finishing objective; `None` if that is recorded, does
    /// not apply or is undecided.
    fn new_outcome(&self, job: &Job, now: f64) -> Option<bool> {
        if job.outcome_recorded || job.finished && !job.is_complete() {
            return None;
        }
        let left_s = self.due_times(job, now).min_by(f64::total_cmp)?;
        if job.is_complete() {
            return Some(left_s >= 0.0);
        }
        (left_s < self.predict(job)).then_some(false)
    }

    /// Raises the rank of the first jobs of each group that is owed capacity, up to the
    /// group's floor.
    fn apply_fair_share_floor(&mut self, order: &mut JobOrder) {
        for job in self.jobs.values_mut() {
            job.claims.on_floor = false;
        }
        let owed: Vec<FairShareGroup> = self.fair_share.owed().into_iter().cloned().collect();
        if owed.is_empty() {
            return;
        }
        let floor_cpus =
            self.fleet_capacity().cpus * self.config.policy.floor_share / owed.len() as f64;
        for group in &owed {
            self.raise_to_floor(order, group, floor_cpus);
        }
    }

    fn raise_to_floor(&mut self, order: &mut JobOrder, group: &FairShareGroup, floor_cpus: f64) {
        let mut used_cpus = 0.0;
        for entry in &mut order.jobs {
            let Some(job) = self.jobs.get_mut(&entry.name) else {
                continue;
            };
            if !is_member(job, group) || entry.precedence.rank == LATE_RANK {
                continue;
            }
            if used_cpus >= floor_cpus {
                return;
            }
            let tasks = job.unplaced_tasks() + job.placed.len() as u32;
            used_cpus += f64::from(tasks) * job.spec.cpus;
            job.claims.on_floor = true;
            entry.precedence.rank = entry.precedence.rank.min(FLOOR_RANK);
        }
    }

    /// Puts the first tasks of jobs that have waited for long without any start before all
    /// else. Smallest-first, urgency and floors all pass over the largest jobs for as long
    /// as the load lasts; one task each takes little from the others.
    fn put_first_tasks_first(&self, order: &mut JobOrder, now: f64) {
        let begin_s = self.config.policy.begin_s;
        if begin_s <= 0.0 {
            return;
        }
        let waits = |job: &Job| {
            !job.has_started() && !job.is_suspect() && now - job.accepted_at > begin_s / 2.0
        };
        let mut first_tasks: Vec<OrderedJob> = order
            .jobs
            .iter()
            .filter_map(|entry| {
                let job = self.jobs.get(&entry.name).filter(|job| waits(job))?;
                Some(OrderedJob::first_task(entry, job.accepted_at))
            })
            .collect();
        first_tasks.sort_by(|a, b| a.precedence.key.total_cmp(&b.precedence.key));
        let mut cpus_left = self.fleet_capacity().cpus / FIRST_TASKS_PART - self.late_first_cpus();
        first_tasks.retain(|entry| {
            let fits = cpus_left > 0.0;
            cpus_left -= entry.requirements.cpus;
            fits
        });
        order.jobs.splice(0..0, first_tasks);
    }

    /// CPUs of the first tasks that were started ahead of other jobs and run.
    fn late_first_cpus(&self) -> f64 {
        let jobs = self.jobs.values();
        jobs.filter(|job| job.is_only_late_first_task())
            .map(|job| job.spec.cpus)
            .sum()
    }

    /// Determines for which jobs others must be preempted: those for which enough capacity
    /// will not become free by itself within a part of their slack. Preempting for the rest
    /// helps no job meet its objective and loses the work that was done.
    fn judge_preemption_need(&mut self, order: &JobOrder, now: f64) {
        let rates = self.release_rates();
        let mut cpus_ahead = 0.0;
        for entry in &order.jobs {
            let Some(job) = self.jobs.get(&entry.name) else {
                continue;
            };
            cpus_ahead += f64::from(job.unplaced_tasks()) * job.spec.cpus;
            let fitting = rates.iter().filter(|r| r.task_cpus >= job.spec.cpus);
            let cpus_per_s: f64 = fitting.map(|r| r.cpus_per_s).sum();
            let slack_s = self.slack_s(job, now).unwrap_or(0.0);
            let needed = cpus_ahead > cpus_per_s * slack_s * self.config.policy.patience;
            if let Some(job) = self.jobs.get_mut(&entry.name) {
                job.claims.preemption_needed = needed;
            }
        }
    }

    /// How fast CPUs become free by themselves, by the size of the tasks that free them.
    fn release_rates(&self) -> Vec<ReleaseRate> {
        let mut rates: Vec<ReleaseRate> = Vec::new();
        for job in self.jobs.values().filter(|job| !job.placed.is_empty()) {
            let task_cpus = job.spec.cpus;
            let cpus_per_s = job.placed.len() as f64 * task_cpus / self.predict(job).max(1.0);
            match rates.iter_mut().find(|r| r.task_cpus == task_cpus) {
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
