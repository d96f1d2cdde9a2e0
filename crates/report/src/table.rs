//! A table of the counts and bounds of each class and team for a day. It is printed as JSON or
//! formatted by [`crate::markdown`].

use crate::bound::{alone, together, Fleet, Job};
use crate::count::{Counts, Day, Met};
use crate::largest::{largest, Largest};
use crate::objectives::{Objective, Report, Reported};
use serde::Serialize;
use std::collections::BTreeMap;

/// The smallest proportion of jobs that must meet an objective.
const MIN_PROPORTION: f64 = 0.5;

/// The results of a class for one objective, or of a team for the strictest objective of each of
/// its jobs.
#[derive(Debug, Clone, Serialize)]
pub struct Row {
    /// Name of the class or team.
    pub name: String,
    /// Name of the objective.
    pub aim: String,
    /// Jobs that were accepted and not cancelled.
    pub jobs: u32,
    /// Tasks of these jobs.
    pub tasks: u64,
    /// Starts of these tasks.
    pub starts: u64,
    /// Jobs done.
    pub done: u32,
    /// The proportion done in time according to the log.
    pub share: f64,
    /// The proportion done in time according to the report; none for teams.
    pub reported: Option<f64>,
    /// Upper bound of the proportion if the fleet had served only this class or team.
    pub alone: f64,
    /// Preemptions of tasks.
    pub stopped: u64,
    /// The most preemptions of one task.
    pub stopped_most: u32,
    /// Tasks that were lost with their machine.
    pub lost: u64,
    /// The longest time, in seconds, during which tasks of one job waited and none started.
    pub passed_s: f64,
}

/// The results of a day.
#[derive(Debug, Clone, Serialize)]
pub struct Table {
    /// Name of the day.
    pub day: String,
    /// Seed of its arrivals.
    pub seed: u64,
    /// The rows of the classes, one for each objective of a class.
    pub classes: Vec<Row>,
    /// The rows of the teams.
    pub teams: Vec<Row>,
    /// The largest proportion of jobs that could have been done in time in all classes at once,
    /// each job measured by its strictest objective.
    pub together: f64,
    /// The largest jobs of each class.
    pub largest: Vec<Largest>,
}

impl Row {
    /// The proportion done in time, from the report if it states one, else from the log.
    pub(crate) fn in_time(&self) -> f64 {
        self.reported.unwrap_or(self.share)
    }

    /// Whether less than half of the jobs met the objective of this row. A class fails only if this
    /// is true of all its rows.
    pub(crate) fn under_half(&self) -> bool {
        self.in_time() < MIN_PROPORTION
    }

    fn new(name: &str, aim: String, counts: &Counts, met: Met, alone: f64) -> Row {
        Row {
            name: name.to_string(),
            aim,
            jobs: counts.jobs,
            tasks: counts.tasks,
            starts: counts.starts,
            done: counts.done,
            share: f64::from(met.met) / f64::from(met.of.max(1)),
            reported: None,
            alone,
            stopped: counts.stopped,
            stopped_most: counts.stopped_most,
            lost: counts.lost,
            passed_s: counts.passed_s,
        }
    }
}

/// The data from which the rows of a table are computed.
struct Tabulator<'a> {
    day: &'a Day,
    objectives: BTreeMap<String, Vec<Reported>>,
    fleet: Fleet,
}

impl Tabulator<'_> {
    /// The jobs for which `belongs`, called with class and team, is true, as input of the bound.
    /// `due_s`, called with class and deadline, returns when a job is due in seconds from its
    /// acceptance; jobs without a due time are left out.
    fn jobs(
        &self,
        belongs: impl Fn(&str, &str) -> bool,
        due_s: impl Fn(&str, f64) -> Option<f64>,
    ) -> Vec<Job> {
        let jobs = self.day.jobs.values().filter(|job| !job.cancelled);
        let jobs = jobs.filter(|job| belongs(&job.spec.class, &job.spec.team));
        let jobs = jobs.filter_map(|job| {
            let due_s = due_s(&job.spec.class, job.spec.due_s)?;
            Some(Job {
                team: job.spec.team.clone(),
                from_s: job.at_s,
                due_s: job.at_s + due_s,
                tasks: job.spec.tasks,
                cpus: job.spec.cpus,
                run_s: job.spec.estimate_s,
            })
        });
        jobs.collect()
    }

    /// When a job of this class with this deadline is due by the strictest objective, in seconds
    /// from its acceptance.
    fn strictest_due_s(&self, class: &str, deadline_s: f64) -> Option<f64> {
        let own = self.objectives.get(class)?.iter();
        let due = own.filter_map(|reported| reported.objective.due_s(deadline_s));
        due.min_by(f64::total_cmp)
    }

    /// The rows of a class, one for each of its objectives.
    fn class_rows(&self, class: &str, counts: &Counts) -> Vec<Row> {
        let own = self.objectives.get(class).into_iter().flatten();
        let row = |(index, reported): (usize, &Reported)| {
            let objective: &Objective = &reported.objective;
            let due_s = |_: &str, deadline_s| objective.due_s(deadline_s);
            let jobs = self.jobs(|of, _| of == class, due_s);
            let met = counts.in_time.get(index).copied().unwrap_or_default();
            let bound = alone(&jobs, &self.fleet);
            Row {
                reported: Some(reported.proportion),
                ..Row::new(class, objective.name(), counts, met, bound)
            }
        };
        own.enumerate().map(row).collect()
    }

    fn team_row(&self, team: &str, counts: &Counts) -> Row {
        let due_s = |class: &str, deadline_s| self.strictest_due_s(class, deadline_s);
        let jobs = self.jobs(|_, of| of == team, due_s);
        let met = counts.in_time.first().copied().unwrap_or_default();
        let bound = alone(&jobs, &self.fleet);
        Row::new(team, "first aims".into(), counts, met, bound)
    }

    /// The largest proportion of jobs that could have been done in time in all classes at once,
    /// each job measured by its strictest objective.
    fn together(&self) -> f64 {
        let due_s = |class: &str, deadline_s| self.strictest_due_s(class, deadline_s);
        let classes = self.day.classes.keys();
        let groups = classes.map(|class| self.jobs(|of, _| of == class, due_s));
        let groups: Vec<Vec<Job>> = groups.filter(|jobs| !jobs.is_empty()).collect();
        together(&groups, &self.fleet)
    }
}

/// Computes the table of a day. The bounds use the CPUs of the fleet from the log and the given CPU
/// limits by team.
pub fn table(report: &Report, day: &Day, limits: &BTreeMap<String, f64>) -> Table {
    let tabulator = Tabulator {
        day,
        objectives: report.objectives(),
        fleet: Fleet {
            cpus: day.load.clone(),
            limits: limits.clone(),
        },
    };
    let classes = day.classes.iter();
    let teams = day.teams.iter();
    Table {
        day: report.scenario.clone(),
        seed: report.seed,
        classes: classes
            .flat_map(|(class, counts)| tabulator.class_rows(class, counts))
            .collect(),
        teams: teams
            .map(|(team, counts)| tabulator.team_row(team, counts))
            .collect(),
        together: tabulator.together(),
        largest: largest(day, report.ends_s),
    }
}

impl Table {
    /// Classes in which each objective, taken alone, was met by less than half of the jobs. If
    /// there are any, the day fails.
    pub fn failed(&self) -> Vec<&str> {
        self.select_classes(|rows| rows.iter().all(|r| r.under_half()))
    }

    /// Classes in which less than half of the largest jobs are done, by any of the selections in
    /// `largest`. If there are any, the day fails.
    pub fn failed_largest(&self) -> Vec<&str> {
        let under = self.largest.iter().filter(|l| l.under_half());
        let mut classes: Vec<&str> = under.map(|l| l.class.as_str()).collect();
        classes.dedup();
        classes
    }

    /// Classes in which some objectives, but not all, were met by less than half of the jobs.
    pub fn late(&self) -> Vec<&str> {
        self.select_classes(|rows| {
            let under = rows.iter().filter(|r| r.under_half()).count();
            under > 0 && under < rows.len()
        })
    }

    /// Names of the classes for whose rows `selects` is true.
    fn select_classes(&self, selects: impl Fn(&[&Row]) -> bool) -> Vec<&str> {
        let mut classes: BTreeMap<&str, Vec<&Row>> = BTreeMap::new();
        for row in &self.classes {
            classes.entry(&row.name).or_default().push(row);
        }
        let selected = classes.into_iter().filter(|(_, rows)| selects(rows));
        selected.map(|(class, _)| class).collect()
    }

    /// Teams of which less than half of the jobs are done in time.
    pub fn short_teams(&self) -> Vec<&str> {
        let short = self.teams.iter().filter(|r| r.under_half());
        short.map(|r| r.name.as_str()).collect()
    }
}
