//! The largest jobs of each class: what a scheduler that prefers small ones serves last. A day
//! fails if less than half of them is served, and they too should begin within four minutes.

use crate::count::{Day, JobEnd};
use serde::Serialize;
use std::collections::BTreeMap;

/// In how many seconds a job's first task should run.
pub const BEGIN_S: f64 = 240.0;
/// Of each class one in so many jobs is looked at.
const PARTS: [usize; 2] = [10, 4];

/// The largest jobs of a class, by one measure.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Largest {
    /// The class.
    pub class: String,
    /// The measure of size.
    pub by: &'static str,
    /// One in so many of the class's jobs.
    pub part: usize,
    /// How many jobs these are.
    pub jobs: usize,
    /// How many of them are done.
    pub done: usize,
    /// Of how many a task ran within four minutes.
    pub begun: usize,
    /// The longest time until one did, in seconds (to the day's end, where none did).
    pub longest_s: f64,
}

impl Largest {
    /// Whether less than half is served.
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

    /// CPU seconds are by the user's estimate.
    fn of(self, job: &JobEnd) -> f64 {
        let tasks = f64::from(job.spec.tasks);
        match self {
            Measure::Tasks => tasks,
            Measure::CpuSeconds => tasks * job.spec.cpus * job.spec.estimate_s,
        }
    }
}

/// A job that counts, and how long it waited until a task of it ran.
struct Waited<'a> {
    id: &'a str,
    job: &'a JobEnd,
    waited_s: f64,
}

/// The largest tenth and quarter of each class by tasks and by CPU seconds, one job at least.
/// Jobs that were cancelled are not counted, nor those that arrived too late to tell.
pub fn largest(day: &Day, ends_s: f64) -> Vec<Largest> {
    let mut classes: BTreeMap<&str, Vec<Waited>> = BTreeMap::new();
    for (id, job) in &day.jobs {
        if job.cancelled || job.at_s + BEGIN_S > ends_s {
            continue;
        }
        let begun = day.begun.get(id).copied().or(job.done_s);
        let waited_s = begun.unwrap_or(ends_s) - job.at_s;
        let jobs = classes.entry(&job.spec.class).or_default();
        jobs.push(Waited { id, job, waited_s });
    }
    let mut found = Vec::new();
    for (class, mut jobs) in classes {
        for measure in [Measure::Tasks, Measure::CpuSeconds] {
            let size = |waited: &Waited| measure.of(waited.job);
            jobs.sort_by(|a, b| size(b).total_cmp(&size(a)).then(a.id.cmp(b.id)));
            for part in PARTS {
                let largest = &jobs[..jobs.len().div_ceil(part)];
                found.push(sum_up(class, measure, part, largest));
            }
        }
    }
    found
}

fn sum_up(class: &str, measure: Measure, part: usize, jobs: &[Waited]) -> Largest {
    let waits = jobs.iter().map(|waited| waited.waited_s);
    Largest {
        class: class.to_string(),
        by: measure.name(),
        part,
        jobs: jobs.len(),
        done: jobs.iter().filter(|w| w.job.done_s.is_some()).count(),
        begun: waits
            .clone()
            .filter(|waited_s| *waited_s <= BEGIN_S)
            .count(),
        longest_s: waits.fold(0.0, f64::max),
    }
}
