//! The largest jobs of each class: what smallest-first serves last. A day fails if less
//! than half of them is served, and they too should begin within four minutes.

use crate::count::{Day, JobEnd};
use serde::Serialize;
use std::collections::BTreeMap;
use std::fmt::Write;

/// In how many seconds a job's first task should run.
pub const BEGIN_S: f64 = 240.0;

/// The largest jobs of a class, by one measure.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Largest {
    pub class: String,
    pub by: &'static str,
    /// One in so many of the class's jobs.
    pub part: usize,
    pub jobs: usize,
    pub done: usize,
    /// Of which a task ran within four minutes, and the longest time until one did
    /// (to the day's end, where none did).
    pub begun: usize,
    pub longest_s: f64,
}

impl Largest {
    /// Whether less than half is served.
    pub fn under_half(&self) -> bool {
        2 * self.done < self.jobs
    }
}

/// Tasks, and CPU seconds by the owner's estimate.
fn sizes(job: &JobEnd) -> [(&'static str, f64); 2] {
    let tasks = f64::from(job.spec.tasks);
    let work = tasks * job.spec.cpus * job.spec.estimate_s;
    [("tasks", tasks), ("CPU seconds", work)]
}

/// The largest tenth and quarter of each class by tasks and by CPU seconds, one job at
/// least. Jobs that were cancelled are not counted, nor those that came so late that
/// nobody could tell.
pub fn largest(day: &Day, ends_s: f64) -> Vec<Largest> {
    let mut classes: BTreeMap<&str, Vec<(&str, &JobEnd)>> = BTreeMap::new();
    for (name, job) in &day.jobs {
        if !job.cancelled && job.at_s + BEGIN_S <= ends_s {
            classes
                .entry(&job.spec.class)
                .or_default()
                .push((name, job));
        }
    }
    let mut found = Vec::new();
    for (class, mut jobs) in classes {
        for measure in 0..2 {
            let size = |job: &JobEnd| sizes(job)[measure].1;
            jobs.sort_by(|a, b| size(b.1).total_cmp(&size(a.1)).then(a.0.cmp(b.0)));
            for part in [10, 4] {
                let some = &jobs[..jobs.len().div_ceil(part)];
                let waited = |(name, job): &&(&str, &JobEnd)| {
                    let begun = day.begun.get(*name).copied().or(job.done_s);
                    begun.unwrap_or(ends_s) - job.at_s
                };
                found.push(Largest {
                    class: class.to_string(),
                    by: sizes(some[0].1)[measure].0,
                    part,
                    jobs: some.len(),
                    done: some.iter().filter(|j| j.1.done_s.is_some()).count(),
                    begun: some.iter().filter(|j| waited(j) <= BEGIN_S).count(),
                    longest_s: some.iter().map(|j| waited(&j)).fold(0.0, f64::max),
                });
            }
        }
    }
    found
}

/// As Markdown.
pub fn text(found: &[Largest]) -> String {
    let mut out = String::from("\n| largest of | by | part | jobs | done | begun in 240 s | longest until begun |\n| --- | --- | --- | --- | --- | --- | --- |\n");
    for l in found {
        let mark = if l.under_half() {
            " **under half**"
        } else {
            ""
        };
        let _ = writeln!(
            out,
            "| {} | {} | 1/{} | {} | {}{mark} | {} | {:.0} s |",
            l.class, l.by, l.part, l.jobs, l.done, l.begun, l.longest_s
        );
    }
    out
}
