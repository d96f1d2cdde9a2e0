//! Counts of a day for each class and each team, from our own log.

use crate::log::{Accepted, Event};
use crate::report::Aim;
use std::collections::{BTreeMap, HashMap};

/// What became of a job.
#[derive(Debug, Clone)]
pub struct JobEnd {
    pub at_s: f64,
    pub spec: Accepted,
    pub done_s: Option<f64>,
    pub cancelled: bool,
}

/// The counts of one class or team.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Counts {
    /// Jobs accepted and not cancelled, their tasks.
    pub jobs: u32,
    pub tasks: u64,
    /// Starts of their tasks that the log tells of: those of a former owner are
    /// not among them.
    pub starts: u64,
    pub done: u32,
    /// Jobs done by each aim that applies, of those to which it does.
    pub in_time: Vec<(u32, u32)>,
    /// Tasks stopped for others, and the most often that one was.
    pub stopped: u64,
    pub stopped_most: u32,
    /// Tasks that went with their machine.
    pub lost: u64,
    /// The longest time for which one job waited and nothing of it started.
    pub passed_s: f64,
}

impl Counts {
    /// The smallest share done by any aim, `None` without one.
    pub fn least(&self) -> Option<f64> {
        let shares = self.in_time.iter().filter(|(_, of)| *of > 0);
        shares
            .map(|(met, of)| f64::from(*met) / f64::from(*of))
            .min_by(f64::total_cmp)
    }
}

/// A day as the log tells it.
#[derive(Debug, Default)]
pub struct Day {
    pub jobs: BTreeMap<String, JobEnd>,
    /// When a task of each job first ran.
    pub begun: BTreeMap<String, f64>,
    /// CPUs of the machines in use, from each time on.
    pub load: Vec<(f64, f64)>,
    pub classes: BTreeMap<String, Counts>,
    pub teams: BTreeMap<String, Counts>,
}

/// Counts a log that ends at `ends_s`. A job counts for a team's aims by those of
/// its class.
pub fn count(events: &[(f64, Event)], aims: &BTreeMap<String, Vec<Aim>>, ends_s: f64) -> Day {
    let mut day = Day::default();
    let mut stops: HashMap<&str, u32> = HashMap::new();
    let mut lost: HashMap<&str, u64> = HashMap::new();
    let mut ran: HashMap<&str, (u32, f64)> = HashMap::new();
    let job_of = |task: &'_ str| {
        task.rsplit_once('/')
            .map_or(task.len(), |(job, _)| job.len())
    };
    for (at, event) in events {
        match event {
            Event::Accepted(spec) => {
                day.jobs.entry(spec.job.clone()).or_insert(JobEnd {
                    at_s: *at,
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
                if let Some(end) = day.jobs.get_mut(job) {
                    end.done_s.get_or_insert(*at);
                }
                ran.insert(job, (*starts, *passed_s));
            }
            Event::Begun(job) => {
                day.begun.entry(job.clone()).or_insert(*at);
            }
            Event::Cancelled(job) => {
                if let Some(end) = day.jobs.get_mut(job) {
                    end.cancelled = true;
                }
            }
            Event::Stopped(task) => *stops.entry(task).or_default() += 1,
            Event::Lost(tasks) => {
                for task in tasks {
                    *lost.entry(&task[..job_of(task)]).or_default() += 1;
                }
            }
            Event::Load(cpus) => day.load.push((*at, *cpus)),
        }
    }
    let mut stopped: HashMap<&str, (u64, u32)> = HashMap::new();
    for (task, n) in stops {
        let of = stopped.entry(&task[..job_of(task)]).or_default();
        *of = (of.0 + u64::from(n), of.1.max(n));
    }
    for (name, job) in &day.jobs {
        if job.cancelled {
            continue;
        }
        let none = Vec::new();
        let own = aims.get(&job.spec.class).unwrap_or(&none);
        let took_s = job.done_s.map(|d| d - job.at_s);
        let met: Vec<Option<bool>> = own
            .iter()
            .map(|aim| {
                let due_s = aim.due_s(job.spec.due_s)?;
                Some(took_s.is_some_and(|t| t <= due_s))
            })
            .collect();
        // Of a team the classes' first aims are counted, each by its own.
        let strictest = own
            .iter()
            .filter_map(|aim| aim.due_s(job.spec.due_s))
            .min_by(f64::total_cmp)
            .map(|due_s| took_s.is_some_and(|t| t <= due_s));
        let (starts, passed_s) = ran.get(name.as_str()).copied().unwrap_or_default();
        let passed_s = match job.done_s {
            Some(_) => passed_s,
            None => ends_s - job.at_s,
        };
        let groups = [
            (day.classes.entry(job.spec.class.clone()), met),
            (day.teams.entry(job.spec.team.clone()), vec![strictest]),
        ];
        for (entry, met) in groups {
            let counts = entry.or_default();
            counts.jobs += 1;
            counts.tasks += u64::from(job.spec.tasks);
            counts.starts += u64::from(starts);
            counts.done += u32::from(job.done_s.is_some());
            counts.in_time.resize(met.len(), (0, 0));
            for (sum, met) in counts.in_time.iter_mut().zip(met) {
                sum.0 += u32::from(met == Some(true));
                sum.1 += u32::from(met.is_some());
            }
            let (n, most) = stopped.get(name.as_str()).copied().unwrap_or_default();
            counts.stopped += n;
            counts.stopped_most = counts.stopped_most.max(most);
            counts.lost += lost.get(name.as_str()).copied().unwrap_or_default();
            counts.passed_s = counts.passed_s.max(passed_s);
        }
    }
    day
}
