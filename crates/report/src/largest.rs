//! Counts of the largest jobs of each class, which a scheduler that prefers small jobs serves last.
//! A day fails if less than half of the largest jobs of any class are done. The first task of each
//! of these jobs should run within four minutes.

use crate::count::{Day, JobEnd};
use serde::Serialize;
use std::collections::BTreeMap;

/// Seconds from acceptance within which the first task of a job should run.
pub const FIRST_START_LIMIT_S: f64 = 240.0;
/// Of each class, the largest tenth and the largest quarter are counted.
const DIVISORS: [usize; 2] = [10, 4];

/// Counts of the largest jobs of a class by one measure of size.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Largest {
    /// Name of the class.
    pub class: String,
    /// Name of the measure of size.
    pub by: &'static str,
    /// The jobs counted are the largest `1/part` of the class.
    pub part: usize,
    /// Number of jobs counted.
    pub jobs: usize,
    /// Number of these jobs that are done.
    pub done: usize,
    /// Number of these jobs of which a task ran within [`FIRST_START_LIMIT_S`].
    pub begun: usize,
    /// The longest time from acceptance until a first task ran, in seconds. A job of which no task
    /// ran counts until the end of the run.
    pub longest_s: f64,
}

impl Largest {
    /// Whether less than half of the jobs are done.
    pub fn under_half(&self) -> bool {
        2 * self.done < self.jobs
    }
}

/// A measure of a job's size.
#[derive(Clone, Copy)]
enum Measure {
    Tasks,
    CpuSeconds,
}

impl Measure {
    fn name(self) -> &'static str {
        match self {
            Measure::Tasks => "tasks",
            Measure::CpuSeconds => "CPU seconds",
        }
    }

    /// The size of a job. CPU seconds are computed from the user's estimate of the run time.
    fn of(self, job: &JobEnd) -> f64 {
        let tasks = f64::from(job.spec.tasks);
        match self {
            Measure::Tasks => tasks,
            Measure::CpuSeconds => tasks * job.spec.cpus * job.spec.estimate_s,
        }
    }
}

/// A job, and how long it waited until its first task ran.
struct WaitedJob<'a> {
    id: &'a str,
    job: &'a JobEnd,
    waited_s: f64,
}

/// Counts the largest tenth and quarter of each class by tasks and by CPU seconds, at least one job
/// each. Cancelled jobs are left out, and so are jobs that were accepted less than
/// [`FIRST_START_LIMIT_S`] before the end of the run.
pub fn largest(day: &Day, ends_s: f64) -> Vec<Largest> {
    let mut classes: BTreeMap<&str, Vec<WaitedJob>> = BTreeMap::new();
    for (id, job) in &day.jobs {
        if job.cancelled || job.at_s + FIRST_START_LIMIT_S > ends_s {
            continue;
        }
        let begun_s = day.begun.get(id).copied().or(job.done_s);
        let waited_s = begun_s.unwrap_or(ends_s) - job.at_s;
        let jobs = classes.entry(&job.spec.class).or_default();
        jobs.push(WaitedJob { id, job, waited_s });
    }
    let mut found = Vec::new();
    for (class, mut jobs) in classes {
        for measure in [Measure::Tasks, Measure::CpuSeconds] {
            let size = |waited: &WaitedJob| measure.of(waited.job);
            jobs.sort_by(|a, b| size(b).total_cmp(&size(a)).then(a.id.cmp(b.id)));
            for part in DIVISORS {
                let largest = &jobs[..jobs.len().div_ceil(part)];
                found.push(sum_up(class, measure, part, largest));
            }
        }
    }
    found
}

fn sum_up(class: &str, measure: Measure, part: usize, jobs: &[WaitedJob]) -> Largest {
    let waits = jobs.iter().map(|waited| waited.waited_s);
    Largest {
        class: class.to_string(),
        by: measure.name(),
        part,
        jobs: jobs.len(),
        done: jobs.iter().filter(|w| w.job.done_s.is_some()).count(),
        begun: waits
            .clone()
            .filter(|waited_s| *waited_s <= FIRST_START_LIMIT_S)
            .count(),
        longest_s: waits.fold(0.0, f64::max),
    }
}
