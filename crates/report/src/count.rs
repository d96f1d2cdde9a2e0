//! Counts the events of a day's log by class and by team.

use crate::log::{Accepted, Event};
use crate::objectives::Objective;
use std::collections::{BTreeMap, HashMap};

/// A job and its outcome. Times are in seconds since the start of the run.
#[derive(Debug, Clone)]
pub struct JobEnd {
    /// When the job was accepted.
    pub at_s: f64,
    /// The properties of the job at its acceptance.
    pub spec: Accepted,
    /// When the job was done, if it was.
    pub done_s: Option<f64>,
    /// Whether the job was cancelled.
    pub cancelled: bool,
}

/// How many jobs met an objective.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Met {
    /// Jobs that met the objective.
    pub met: u32,
    /// Jobs that the objective applies to.
    pub of: u32,
}

/// The counts of one class or team.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Counts {
    /// Jobs that were accepted and not cancelled.
    pub jobs: u32,
    /// Tasks of these jobs.
    pub tasks: u64,
    /// Starts of tasks of the jobs that are done, as the leader that finished the job logged them.
    /// Starts by former leaders are not included.
    pub starts: u64,
    /// Jobs done.
    pub done: u32,
    /// For a class, one count for each of its objectives, in their order. For a team, one count by
    /// the strictest objective of each job.
    pub in_time: Vec<Met>,
    /// Preemptions of tasks of these jobs.
    pub stopped: u64,
    /// The most preemptions of one task.
    pub stopped_most: u32,
    /// Tasks that were lost with their machine.
    pub lost: u64,
    /// The longest time, in seconds, during which tasks of one job waited and none started. A job
    /// that is not done counts with the time from its acceptance to the end of the run.
    pub passed_s: f64,
}

impl Counts {
    /// The smallest proportion of jobs that met an objective; `None` if no objective applies.
    pub fn smallest_proportion(&self) -> Option<f64> {
        let counted = self.in_time.iter().filter(|met| met.of > 0);
        counted
            .map(|met| f64::from(met.met) / f64::from(met.of))
            .min_by(f64::total_cmp)
    }
}

/// The jobs, fleet and counts of a day, according to the log.
#[derive(Debug, Default)]
pub struct Day {
    /// All accepted jobs, by id.
    pub jobs: BTreeMap<String, JobEnd>,
    /// When a task of each job first ran, by job id.
    pub begun: BTreeMap<String, f64>,
    /// The total CPUs of the machines in use, each with the time from which it applies.
    pub load: Vec<(f64, f64)>,
    /// Counts by class.
    pub classes: BTreeMap<String, Counts>,
    /// Counts by team.
    pub teams: BTreeMap<String, Counts>,
}

/// Counts of the tasks of one job.
#[derive(Debug, Clone, Default)]
struct TaskCounts {
    starts: u32,
    passed_s: f64,
    /// Preemptions, by task.
    preemptions: HashMap<String, u32>,
    lost: u64,
}

impl TaskCounts {
    fn stopped(&self) -> u64 {
        self.preemptions.values().copied().map(u64::from).sum()
    }

    fn stopped_most(&self) -> u32 {
        self.preemptions.values().copied().max().unwrap_or(0)
    }
}

/// Counts a log that ends at `ends_s`, with the objectives of each class.
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
    /// Adds one event. Counts of tasks are added to `tasks`, by job.
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
                *of_job.preemptions.entry(task.clone()).or_default() += 1;
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
    /// Whether the job is done within `due_s` seconds from its acceptance.
    fn done_within(&self, due_s: f64) -> bool {
        self.done_s
            .is_some_and(|done_s| done_s - self.at_s <= due_s)
    }

    /// Whether the job meets an objective; none if the objective does not apply.
    fn meets(&self, objective: &Objective) -> Option<bool> {
        let due_s = objective.due_s(self.spec.due_s)?;
        Some(self.done_within(due_s))
    }

    /// Whether the job meets the strictest objective that applies; none if none applies.
    fn meets_strictest(&self, objectives: &[Objective]) -> Option<bool> {
        let due = objectives.iter().filter_map(|o| o.due_s(self.spec.due_s));
        let strictest_s = due.min_by(f64::total_cmp)?;
        Some(self.done_within(strictest_s))
    }
}

impl Counts {
    /// Adds a job. `met` states for each objective whether the job met it, or none if the objective
    /// does not apply.
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
