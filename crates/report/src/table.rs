//! A day's counts beside its bounds, as a table of classes and teams. Printed as JSON or by
//! [`crate::markdown`].

use crate::bound::{alone, together, Fleet, Job};
use crate::count::{Counts, Day, Met};
use crate::largest::{largest, Largest};
use crate::objectives::{Objective, Report, Reported};
use serde::Serialize;
use std::collections::BTreeMap;

/// A class or team is under half by an objective if a smaller proportion met it.
const HALF: f64 = 0.5;

/// One class by one objective, or one team by the strictest objectives of its jobs.
#[derive(Debug, Clone, Serialize)]
pub struct Row {
    /// The class or team.
    pub name: String,
    /// Name of the objective.
    pub aim: String,
    /// Jobs accepted and not cancelled.
    pub jobs: u32,
    /// Their tasks.
    pub tasks: u64,
    /// Starts of their tasks.
    pub starts: u64,
    /// Jobs done.
    pub done: u32,
    /// The proportion done in time by the log.
    pub share: f64,
    /// The proportion done in time by the report, for classes.
    pub reported: Option<f64>,
    /// The most that could have been, with the fleet for this alone.
    pub alone: f64,
    /// Preemptions of tasks.
    pub stopped: u64,
    /// The most preemptions of one task.
    pub stopped_most: u32,
    /// Tasks that were lost with their machine.
    pub lost: u64,
    /// The longest time for which one job waited and nothing of it started, in seconds.
    pub passed_s: f64,
}

/// All of a day.
#[derive(Debug, Clone, Serialize)]
pub struct Table {
    /// Name of the day.
    pub day: String,
    /// Seed of its arrivals.
    pub seed: u64,
    /// Classes, by each of their objectives.
    pub classes: Vec<Row>,
    /// Teams.
    pub teams: Vec<Row>,
    /// The proportion of each class that could have been served at once by its strictest
    /// objective.
    pub together: f64,
    /// The largest jobs of each class.
    pub largest: Vec<Largest>,
}

impl Row {
    /// The proportion done in time, by the report if it has one.
    pub(crate) fn in_time(&self) -> f64 {
        self.reported.unwrap_or(self.share)
    }

    /// Whether less than half met this one objective. Whether a class failed is told by all
    /// its rows together.
    pub(crate) fn under_half(&self) -> bool {
        self.in_time() < HALF
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

/// What the rows of a table are made from.
struct Tabulator<'a> {
    day: &'a Day,
    objectives: BTreeMap<String, Vec<Reported>>,
    fleet: Fleet,
}

impl Tabulator<'_> {
    /// Jobs of a class or team as the bound sees them; `due_s` gives the due time of a job of
    /// this class with this deadline.
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

    /// When a job of this class with this deadline is due by the strictest objective.
    fn strictest(&self, class: &str, deadline_s: f64) -> Option<f64> {
        let own = self.objectives.get(class)?.iter();
        let due = own.filter_map(|reported| reported.objective.due_s(deadline_s));
        due.min_by(f64::total_cmp)
    }

    /// A class by each of its objectives.
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
        let due_s = |class: &str, deadline_s| self.strictest(class, deadline_s);
        let jobs = self.jobs(|_, of| of == team, due_s);
        let met = counts.in_time.first().copied().unwrap_or_default();
        let bound = alone(&jobs, &self.fleet);
        Row::new(team, "first aims".into(), counts, met, bound)
    }

    /// The proportion of all classes that could have been served at once.
    fn together(&self) -> f64 {
        let due_s = |class: &str, deadline_s| self.strictest(class, deadline_s);
        let classes = self.day.classes.keys();
        let groups = classes.map(|class| self.jobs(|of, _| of == class, due_s));
        let groups: Vec<Vec<Job>> = groups.filter(|jobs| !jobs.is_empty()).collect();
        together(&groups, &self.fleet)
    }
}

/// Makes the table of a day, with the fleet's CPUs as the log has them and these limits of
/// teams.
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
    /// Classes of which less than half is served by every objective: the day fails.
    pub fn failed(&self) -> Vec<&str> {
        self.by_class(|rows| rows.iter().all(|r| r.under_half()))
    }

    /// Classes of whose largest jobs less than half is served: the day fails.
    pub fn failed_largest(&self) -> Vec<&str> {
        let under = self.largest.iter().filter(|l| l.under_half());
        let mut classes: Vec<&str> = under.map(|l| l.class.as_str()).collect();
        classes.dedup();
        classes
    }

    /// Classes of which less than half is served by some objective, but not by all.
    pub fn late(&self) -> Vec<&str> {
        self.by_class(|rows| {
            let under = rows.iter().filter(|r| r.under_half()).count();
            under > 0 && under < rows.len()
        })
    }

    fn by_class(&self, pick: impl Fn(&[&Row]) -> bool) -> Vec<&str> {
        let mut classes: BTreeMap<&str, Vec<&Row>> = BTreeMap::new();
        for row in &self.classes {
            classes.entry(&row.name).or_default().push(row);
        }
        let picked = classes.into_iter().filter(|(_, rows)| pick(rows));
        picked.map(|(class, _)| class).collect()
    }

    /// Teams of which less than half is served in time.
    pub fn short_teams(&self) -> Vec<&str> {
        let short = self.teams.iter().filter(|r| r.under_half());
        short.map(|r| r.name.as_str()).collect()
    }
}
