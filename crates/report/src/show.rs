//! A day's counts and bounds as a table.

use crate::bound::{alone, together, Fleet, Job};
use crate::count::{Counts, Day};
use crate::largest::{largest, text, Largest};
use crate::report::{Aim, Report};
use serde::Serialize;
use std::collections::BTreeMap;
use std::fmt::Write;

/// One class by one aim, or one team by the first aims of its jobs.
#[derive(Debug, Clone, Serialize)]
pub struct Row {
    pub name: String,
    pub aim: String,
    pub jobs: u32,
    pub tasks: u64,
    pub starts: u64,
    pub done: u32,
    /// Share done in time by the log; and by the report, for classes.
    pub share: f64,
    pub reported: Option<f64>,
    /// The most that could have been, with the fleet for this alone.
    pub alone: f64,
    pub stopped: u64,
    pub stopped_most: u32,
    pub lost: u64,
    pub passed_s: f64,
}

/// All of a day.
#[derive(Debug, Clone, Serialize)]
pub struct Table {
    pub day: String,
    pub seed: u64,
    pub classes: Vec<Row>,
    pub teams: Vec<Row>,
    /// The share of each class that could have been served at once by its first aim.
    pub together: f64,
    pub largest: Vec<Largest>,
}

/// What half means: a class or team below it by an aim.
const HALF: f64 = 0.5;

impl Row {
    /// `failed` and `late` as the regression marks them are told by all rows of a
    /// class together; this is one aim.
    fn under_half(&self) -> bool {
        self.reported.unwrap_or(self.share) < HALF
    }
}

fn jobs_of(
    day: &Day,
    pick: impl Fn(&str, &str) -> bool,
    due: impl Fn(&str, f64) -> Option<f64>,
) -> Vec<Job> {
    let jobs = day.jobs.values().filter(|j| !j.cancelled);
    jobs.filter(|j| pick(&j.spec.class, &j.spec.team))
        .filter_map(|j| {
            let due_s = due(&j.spec.class, j.spec.due_s)?;
            Some(Job {
                team: j.spec.team.clone(),
                from_s: j.at_s,
                due_s: j.at_s + due_s,
                tasks: j.spec.tasks,
                cpus: j.spec.cpus,
                run_s: j.spec.estimate_s,
            })
        })
        .collect()
}

fn row(
    name: &str,
    aim: String,
    counts: &Counts,
    at: usize,
    reported: Option<f64>,
    alone: f64,
) -> Row {
    let (met, of) = counts.in_time.get(at).copied().unwrap_or_default();
    Row {
        name: name.to_string(),
        aim,
        jobs: counts.jobs,
        tasks: counts.tasks,
        starts: counts.starts,
        done: counts.done,
        share: f64::from(met) / f64::from(of.max(1)),
        reported,
        alone,
        stopped: counts.stopped,
        stopped_most: counts.stopped_most,
        lost: counts.lost,
        passed_s: counts.passed_s,
    }
}

/// Makes the table of a day, with the fleet's CPUs as the log has them.
pub fn table(report: &Report, day: &Day, limits: &BTreeMap<String, f64>) -> Table {
    let fleet = Fleet {
        cpus: day.load.clone(),
        limits: limits.clone(),
    };
    let aims = report.aims();
    let first = |class: &str, due_s: f64| {
        let own = aims.get(class)?.iter();
        own.filter_map(|(aim, _)| aim.due_s(due_s))
            .min_by(f64::total_cmp)
    };
    let mut classes = Vec::new();
    for (class, counts) in &day.classes {
        let none: Vec<(Aim, f64)> = Vec::new();
        for (at, (aim, reported)) in aims.get(class).unwrap_or(&none).iter().enumerate() {
            let jobs = jobs_of(day, |c, _| c == class, |_, due_s| aim.due_s(due_s));
            let bound = alone(&jobs, &fleet);
            classes.push(row(class, aim.name(), counts, at, Some(*reported), bound));
        }
    }
    let mut teams = Vec::new();
    for (team, counts) in &day.teams {
        let jobs = jobs_of(day, |_, t| t == team, first);
        let bound = alone(&jobs, &fleet);
        teams.push(row(team, "first aims".into(), counts, 0, None, bound));
    }
    let groups: Vec<Vec<Job>> = day
        .classes
        .keys()
        .map(|class| jobs_of(day, |c, _| c == class, first))
        .filter(|jobs| !jobs.is_empty())
        .collect();
    Table {
        day: report.scenario.clone(),
        seed: report.seed,
        classes,
        teams,
        together: together(&groups, &fleet),
        largest: largest(day, report.ends_s),
    }
}

impl Table {
    /// Classes of which less than half is served by every aim: the day fails.
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

    /// Classes of which less than half is served by some aim, but not by all.
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

    /// The table as Markdown.
    pub fn text(&self) -> String {
        let mut out = format!("day {}, seed {}\n\n", self.day, self.seed);
        out.push_str("| class or team | aim | jobs | tasks | starts | done | in time | bound | stopped (one task) | lost | passed over |\n");
        out.push_str("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n");
        for r in self.classes.iter().chain(&self.teams) {
            let share = r.reported.unwrap_or(r.share);
            let mark = if r.under_half() {
                " **under half**"
            } else {
                ""
            };
            let _ = writeln!(
                out,
                "| {} | {} | {} | {} | {} | {} | {share:.3}{mark} | {:.2} | {} ({}) | {} | {:.0} s |",
                r.name, r.aim, r.jobs, r.tasks, r.starts, r.done, r.alone, r.stopped,
                r.stopped_most, r.lost, r.passed_s,
            );
        }
        out.push_str(&text(&self.largest));
        let _ = writeln!(
            out,
            "\nEach class could have had {:.2} by its first aim at the same time.",
            self.together
        );
        for (what, names) in [
            ("LESS THAN HALF SERVED", self.failed()),
            (
                "LESS THAN HALF OF THE LARGEST SERVED",
                self.failed_largest(),
            ),
            ("under half in time", self.late()),
            ("teams under half in time", self.short_teams()),
        ] {
            if !names.is_empty() {
                let _ = writeln!(out, "{what}: {}", names.join(", "));
            }
        }
        out
    }
}
