//! Precedence among jobs: urgency first, and work whose aims are all out of
//! reach after everything that can still meet one.

use crate::coordination::scheduler::capacity::Resources;
use crate::coordination::scheduler::fair_share::FairShareGroup;
use crate::coordination::scheduler::job::{Job, Name};
use crate::coordination::scheduler::preemption::dearness;
use crate::coordination::scheduler::state::Scheduler;
use crate::protocol::job::Shape;
use crate::protocol::settings::Objective;
use std::cell::Cell;
use std::rc::Rc;

/// Rank of jobs that can meet none of their aims any more.
const LATE: u8 = 5;

/// A job in the order.
#[derive(Debug)]
pub(crate) struct OrderedJob {
    pub rank: u8,
    /// Order within the rank, lowest first.
    precedence: f64,
    pub name: Name,
    /// What a task takes.
    pub requirements: Resources,
    /// See `Job::fresh`.
    pub has_new_tasks: Rc<Cell<bool>>,
    /// Its first task alone.
    pub first_task_only: bool,
}

/// The order of jobs, made anew from time to time.
#[derive(Debug, Default)]
pub struct JobOrder {
    /// Unfinished jobs in the order of precedence.
    pub(crate) jobs: Vec<OrderedJob>,
    /// The same jobs, those first whose stopping is cheapest.
    pub(crate) preemption_candidates: Vec<(f64, f64, Name)>,
    /// Jobs came or went since it was made.
    pub(crate) is_stale: bool,
    made_at: f64,
}

impl JobOrder {
    fn sort(&mut self) {
        self.jobs.sort_by(|a, b| {
            a.rank
                .cmp(&b.rank)
                .then(a.precedence.total_cmp(&b.precedence))
                .then_with(|| a.name.cmp(&b.name))
        });
    }
}

/// Time left until the objective is out of reach for the job, if it applies.
fn left_s(objective: &Objective, job: &Job, age_s: f64, predicted_s: f64) -> Option<f64> {
    if objective.class.as_deref() != Some(job.spec.class.as_str()) {
        return None;
    }
    match objective.kind.as_str() {
        "deadline" => {
            let due_s = job.spec.deadline_s?;
            Some(due_s * objective.times.unwrap_or(1.0) - age_s - predicted_s)
        }
        "finished" => Some(objective.within_s? - age_s - predicted_s),
        "wait" => Some(objective.within_s? - age_s),
        _ => None,
    }
}

impl Scheduler {
    /// Makes the order anew if jobs came or went, or some time has passed: aims
    /// go out of reach and work left shrinks slowly against a report interval.
    pub(crate) fn refresh_job_order(&mut self, now: f64) {
        // Jobs that come or go by the dozen are taken in together.
        let age_s = now - self.job_order.made_at;
        let settled = age_s < self.config.report_s / 4.0 && !self.job_order.is_stale;
        if settled || (0.0..self.config.report_s / 20.0).contains(&age_s) {
            return;
        }
        if self.job_order.is_stale {
            self.update_guarantees();
        }
        let names: Vec<Name> = self
            .jobs
            .iter()
            .filter(|(_, j)| !j.finished && !j.is_complete())
            .map(|(n, _)| n.clone())
            .collect();
        self.record_outcomes(now);
        let mut order = JobOrder {
            made_at: now,
            ..JobOrder::default()
        };
        for name in names {
            let Some(job) = self.jobs.get(&name) else {
                continue;
            };
            let pressed = self.has_reachable_objective(job, now);
            let (rank, within) = self.precedence(job, now);
            order.jobs.push(OrderedJob {
                rank,
                precedence: within,
                name: name.clone(),
                requirements: Resources::of_task(&job.spec),
                has_new_tasks: job.has_new_tasks.clone(),
                first_task_only: false,
            });
            if let Some(job) = self.jobs.get_mut(&name) {
                job.objective_reachable = pressed;
                let left = f64::from(job.spec.tasks.saturating_sub(job.completed.len() as u32));
                let work = left * job.spec.estimate_s * job.spec.cpus.max(job.spec.gpus);
                order
                    .preemption_candidates
                    .push((dearness(job), work, name));
            }
        }
        order.sort();
        if self.config.policy.floor_share > 0.0 {
            self.apply_fair_share_floor(&mut order);
            order.sort();
        }
        if self.config.policy.patience > 0.0 {
            self.judge_preemption_need(&order, now);
        }
        self.put_first_tasks_first(&mut order, now);
        order.preemption_candidates.sort_by(|a, b| {
            let by_cost = a.0.total_cmp(&b.0).then(b.1.total_cmp(&a.1));
            by_cost.then_with(|| a.2.cmp(&b.2))
        });
        self.job_order = order;
    }

    /// Counts jobs that met their first finishing aim, or cannot any more.
    fn record_outcomes(&mut self, now: f64) {
        let mut outcomes = Vec::new();
        for (name, job) in &self.jobs {
            if job.outcome_recorded || job.finished && !job.is_complete() {
                continue;
            }
            let first = self.due_times(job, now).min_by(f64::total_cmp);
            let Some(left) = first else { continue };
            let lost = left
                < if job.is_complete() {
                    0.0
                } else {
                    self.predict(job)
                };
            if lost || job.is_complete() {
                outcomes.push((name.clone(), !lost));
            }
        }
        for (name, met) in outcomes {
            let Some(job) = self.jobs.get_mut(&name) else {
                continue;
            };
            job.outcome_recorded = true;
            let groups = [
                Some(FairShareGroup::Class(job.spec.class.clone())),
                job.team.map(FairShareGroup::Team),
            ];
            for group in groups.iter().flatten() {
                self.fair_share.outcome(group, met);
            }
        }
    }

    /// Lifts the first jobs of each group that is owed room, as far as its floor
    /// goes.
    fn apply_fair_share_floor(&mut self, order: &mut JobOrder) {
        for job in self.jobs.values_mut() {
            job.on_floor = false;
        }
        let owed: Vec<FairShareGroup> = self.fair_share.owed().into_iter().cloned().collect();
        if owed.is_empty() {
            return;
        }
        let floor = self.capacity().1 * self.config.policy.floor_share / owed.len() as f64;
        for group in &owed {
            let of = |j: &Job| match group {
                FairShareGroup::Class(class) => j.spec.class == *class,
                FairShareGroup::Team(team) => j.team == Some(*team),
            };
            let mut used = 0.0;
            for entry in &mut order.jobs {
                let Some(job) = self.jobs.get_mut(&entry.name) else {
                    continue;
                };
                if !of(job) || entry.rank == LATE {
                    continue;
                }
                if used >= floor {
                    break;
                }
                used += f64::from(job.unplaced_tasks() + job.placed.len() as u32) * job.spec.cpus;
                job.on_floor = true;
                entry.rank = entry.rank.min(2);
            }
        }
    }

    /// Puts the first tasks of jobs of which nothing has begun for long before all
    /// else. Smallest-first, urgency and floors all pass over the largest jobs for as
    /// long as the load lasts; one task each takes little from the others.
    fn put_first_tasks_first(&self, order: &mut JobOrder, now: f64) {
        let begin_s = self.config.policy.begin_s;
        if begin_s <= 0.0 {
            return;
        }
        let waits = |e: &&OrderedJob| {
            let job = self.jobs.get(&e.name);
            job.is_some_and(|j| {
                !j.has_started() && !j.is_suspect() && now - j.accepted_at > begin_s / 2.0
            })
        };
        let mut firsts: Vec<OrderedJob> = (order.jobs.iter().filter(waits))
            .map(|e| OrderedJob {
                rank: 0,
                precedence: self.jobs.get(&e.name).map_or(0.0, |j| j.accepted_at),
                name: e.name.clone(),
                requirements: e.requirements,
                has_new_tasks: e.has_new_tasks.clone(),
                first_task_only: true,
            })
            .collect();
        firsts.sort_by(|a, b| a.precedence.total_cmp(&b.precedence));
        // A sixteenth of the fleet at most: where hundreds of jobs wait, a task of each is
        // what half of a class could have been done with.
        let beginning = self.jobs.values().filter(|j| j.is_only_late_first_task());
        let mut left = self.capacity().1 / 16.0 - beginning.map(|j| j.spec.cpus).sum::<f64>();
        firsts.retain(|e| {
            let fits = left > 0.0;
            left -= e.requirements.cpus;
            fits
        });
        order.jobs.splice(0..0, firsts);
    }

    /// Which jobs need room made: those for which enough of it will not come free
    /// by itself within a part of their slack. Stopping others for the rest wins
    /// nobody's aim and loses what they have done.
    fn judge_preemption_need(&mut self, order: &JobOrder, now: f64) {
        // CPUs that come free in a second, by the size of the tasks that free them.
        let mut rates: Vec<(f64, f64)> = Vec::new();
        for job in self.jobs.values().filter(|j| !j.placed.is_empty()) {
            let rate = job.placed.len() as f64 * job.spec.cpus / self.predict(job).max(1.0);
            match rates.iter_mut().find(|r| r.0 == job.spec.cpus) {
                Some(r) => r.1 += rate,
                None => rates.push((job.spec.cpus, rate)),
            }
        }
        let mut ahead = 0.0;
        for entry in &order.jobs {
            let Some(job) = self.jobs.get(&entry.name) else {
                continue;
            };
            ahead += f64::from(job.unplaced_tasks()) * job.spec.cpus;
            let fits = rates.iter().filter(|r| r.0 >= job.spec.cpus);
            let rate: f64 = fits.map(|r| r.1).sum();
            let slack = self.slack_s(job, now).unwrap_or(0.0);
            let urgent = ahead > rate * slack * self.config.policy.patience;
            if let Some(job) = self.jobs.get_mut(&entry.name) {
                job.preemption_needed = urgent;
            }
        }
    }

    /// Seconds until the first aim still in reach is lost, `None` without one.
    pub(crate) fn slack_s(&self, job: &Job, now: f64) -> Option<f64> {
        let age_s = now - job.accepted_at;
        let predicted_s = self.predict(job);
        self.config
            .objectives
            .iter()
            .filter_map(|o| {
                if o.kind == "guarantee" && job.guaranteed {
                    return Some(o.within_s? - age_s);
                }
                left_s(o, job, age_s, predicted_s)
            })
            .chain(job.spec.deadline_s.map(|d| d - age_s - predicted_s))
            .filter(|left| *left >= 0.0)
            .min_by(f64::total_cmp)
    }

    /// Until each aim by which the job should be finished is due, in seconds.
    pub(crate) fn due_times<'a>(
        &'a self,
        job: &'a Job,
        now: f64,
    ) -> impl Iterator<Item = f64> + 'a {
        let age_s = now - job.accepted_at;
        let aims = self.config.objectives.iter().filter(|o| o.kind != "wait");
        aims.filter_map(move |o| left_s(o, job, age_s, 0.0))
            .chain(job.spec.deadline_s.map(|d| d - age_s))
    }

    /// Whether stopping others for the job still serves: an aim is in reach, or
    /// it has none to tell by. (Waiting until an aim was close cost reminders
    /// their deadlines and saved riga nothing: see `docs/measurements.md`.)
    pub(crate) fn has_reachable_objective(&self, job: &Job, now: f64) -> bool {
        let aimed = job.spec.deadline_s.is_some()
            || self
                .config
                .objectives
                .iter()
                .any(|o| o.class.as_deref() == Some(job.spec.class.as_str()));
        !aimed || self.slack_s(job, now).is_some()
    }

    /// Rank, lowest first, and the order within it.
    pub(crate) fn precedence(&self, job: &Job, now: f64) -> (u8, f64) {
        let age_s = now - job.accepted_at;
        let predicted_s = self.predict(job);
        let mut lefts = self
            .config
            .objectives
            .iter()
            .filter_map(|o| left_s(o, job, age_s, predicted_s))
            .chain(job.spec.deadline_s.map(|d| d - age_s - predicted_s))
            .peekable();
        let judged = lefts.peek().is_some();
        let late = judged && job.spec.shape == Shape::Sweep && lefts.all(|left| left < 0.0);
        let mut rank = if late { LATE } else { job.rank() };
        if job.on_floor && !late {
            rank = rank.min(2);
        }
        // The smallest predicted work left comes first, as in a queue: where not
        // all can be served in time, most are. Those without an aim in reach
        // come after; a longer prediction counts as a later arrival there, so that
        // the smallest goes first and none is passed over for ever.
        let left = f64::from(job.spec.tasks.saturating_sub(job.completed.len() as u32));
        let key = match self.slack_s(job, now) {
            Some(_) => left * predicted_s * job.spec.cpus.max(job.spec.gpus),
            None => 1e12 + job.accepted_at + predicted_s,
        };
        (rank, key)
    }
}
