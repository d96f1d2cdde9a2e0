//! Counts a day's log by class and by team.

use crate::log::{Accepted, Event};
use crate::objectives::Objective;
use std::collections::{BTreeMap, HashMap};

/// A job and what became of it. Times are seconds from the start of the run.
#[derive(Debug, Clone)]
pub struct JobEnd {
    /// When it was accepted.
    pub at_s: f64,
    /// The job as it was accepted.
    pub spec: Accepted,
    /// When it was done.
    pub done_s: Option<f64>,
    /// Whether it was cancelled.
    pub cancelled: bool,
}

/// Of the jobs that an objective applies to, those that met it.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Met {
    /// Jobs that met it.
    pub met: u32,
    /// Jobs that it applies to.
    pub of: u32,
}

/// The counts of one class or team.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Counts {
    /// Jobs accepted and not cancelled.
    pub jobs: u32,
    /// Their tasks.
    pub tasks: u64,
    /// Starts of their tasks that the log tells of: those of a former leader are not among
    /// them.
    pub starts: u64,
    /// Jobs done.
    pub done: u32,
    /// By objective, in the order of the class's objectives; of a team there is one count, by
    /// the strictest objective of each job.
    pub in_time: Vec<Met>,
    /// Preemptions of their tasks.
    pub stopped: u64,
    /// The most preemptions of one task.
    pub stopped_most: u32,
    /// Tasks that were lost with their machine.
    pub lost: u64,
    /// The longest time for which tasks of one job waited and none of them started, in seconds.
    pub passed_s: f64,
}

impl Counts {
    /// The smallest proportion that met an objective; `None` without one.
    pub fn least(&self) -> Option<f64> {
        let counted = self.in_time.iter().filter(|met| met.of > 0);
        counted
            .map(|met| f64::from(met.met) / f64::from(met.of))
            .min_by(f64::total_cmp)
    }
}

/// A day as the log tells it.
#[derive(Debug, Default)]
pub struct Day {
    /// All accepted jobs, by id.
    pub jobs: BTreeMap<String, JobEnd>,
    /// When a task of each job first ran.
    pub begun: BTreeMap<String, f64>,
    /// CPUs of the machines in use, from each time on.
    pub load: Vec<(f64, f64)>,
    /// Counts by class.
    pub classes: BTreeMap<String, Counts>,
    /// Counts by team.
    pub teams: BTreeMap<String, Counts>,
}

/// What the log tells of the tasks of one job.
#[derive(Debug, Clone, Default)]
struct TaskCounts {
    starts: u32,
    passed_s: f64,
    /// Preemptions, by task.
    stops: HashMap<String, u32>,
    lost: u64,
}

impl TaskCounts {
    fn stopped(&self) -> u64 {
        self.stops.values().copied().map(u64::from).sum()
    }

    fn stopped_most(&self) -> u32 {
        self.stops.values().copied().max().unwrap_or(0)
    }
}

/// Counts a log that ends at `ends_s`, by the objectives of each class.
pub fn count(
    events: &[(f64, Event)],
    objectives: &BTreeMap<String, Vec<Objective>>,
    ends_s: f64,
) -> Day {
    let mut day = Day::default();
    let mut tasks: HashMap<String, TaskCounts> = HashMap::new();
    for (at_s, event) in events {
        day.add(*at_s, event, &mut tasks);
    }
    let Day {
        jobs,
        classes,
        teams,
        ..
    } = &mut day;
    for (id, job) in jobs.iter().filter(|(_, job)| !job.cancelled) {
        let tasks = tasks.remove(id).unwrap_or_default();
        let own = objectives.get(&job.spec.class);
        let own = own.map_or(&[][..], Vec::as_slice);
        let met: Vec<Option<bool>> = own.iter().map(|o| job.meets(o)).collect();
        let class = classes.entry(job.spec.class.clone()).or_default();
        class.add(job, &met, &tasks, ends_s);
        let team = teams.entry(job.spec.team.clone()).or_default();
        team.add(job, &[job.meets_strictest(own)], &tasks, ends_s);
    }
    day
}

/// The job of a task (`job/index`).
fn job_of(task: &str) -> &str {
    task.rsplit_once('/').map_or(task, |(job, _)| job)
}

impl Day {
    /// Takes in one event; what it tells of tasks goes into `tasks`, by job.
    fn add(&mut self, at_s: f64, event: &Event, tasks: &mut HashMap<String, TaskCounts>) {
        match event {
            Event::Accepted(spec) => {
                self.jobs.entry(spec.job.clone()).or_insert(JobEnd {
                    at_s,
                    spec: spec.clone(),
                    done_s: None,
                    cancelled: false,
                });
            }
            Event::Done {
                job,
                starts,
                passed_s,
            } => {
                if let Some(end) = self.jobs.get_mut(job) {
                    end.done_s.get_or_insert(at_s);
                }
                let tasks = tasks.entry(job.clone()).or_default();
                (tasks.starts, tasks.passed_s) = (*starts, *passed_s);
            }
            Event::Begun(job) => {
                self.begun.entry(job.clone()).or_insert(at_s);
            }
            Event::Cancelled(job) => {
                if let Some(end) = self.jobs.get_mut(job) {
                    end.cancelled = true;
                }
            }
            Event::Stopped(task) => {
                let of_job = tasks.entry(job_of(task).into()).or_default();
                *of_job.stops.entry(task.clone()).or_default() += 1;
            }
            Event::Lost(lost) => {
                for task in lost {
                    tasks.entry(job_of(task).into()).or_default().lost += 1;
                }
            }
            Event::Load(cpus) => self.load.push((at_s, *cpus)),
        }
    }
}

impl JobEnd {
    /// Whether it is done within so many seconds.
    fn done_within(&self, due_s: f64) -> bool {
        self.done_s
            .is_some_and(|done_s| done_s - self.at_s <= due_s)
    }

    /// Whether it meets an objective, if that applies.
    fn meets(&self, objective: &Objective) -> Option<bool> {
        let due_s = objective.due_s(self.spec.due_s)?;
        Some(self.done_within(due_s))
    }

    /// Whether it meets the strictest of the objectives that apply.
    fn meets_strictest(&self, objectives: &[Objective]) -> Option<bool> {
        let due = objectives.iter().filter_map(|o| o.due_s(self.spec.due_s));
        let strictest_s = due.min_by(f64::total_cmp)?;
        Some(self.done_within(strictest_s))
    }
}

impl Counts {
    /// Adds a job, and for each objective whether it met it, if that applies.
    fn add(&mut self, job: &JobEnd, met: &[Option<bool>], tasks: &TaskCounts, ends_s: f64) {
        let passed_s = match job.done_s {
            Some(_) => tasks.passed_s,
            None => ends_s - job.at_s,
        };
        self.jobs += 1;
        self.tasks += u64::from(job.spec.tasks);
        self.starts += u64::from(tasks.starts);
        self.done += u32::from(job.done_s.is_some());
        self.in_time.resize(met.len(), Met::default());
        for (sum, met) in self.in_time.iter_mut().zip(met) {
            sum.met += u32::from(*met == Some(true));
            sum.of += u32::from(met.is_some());
        }
        self.stopped += tasks.stopped();
        self.stopped_most = self.stopped_most.max(tasks.stopped_most());
        self.lost += tasks.lost;
        self.passed_s = self.passed_s.max(passed_s);
    }
}
