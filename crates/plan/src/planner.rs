//! The runs behind a plan, and what they add up to.

use crate::plan::{due_s, ClassPlan, HostPlan, JobPlan, Options, Order, Range, Variant};
use crate::sim::{run, Outcome, Script};
use foxspur::coordination::scheduler::snapshot::Snapshot;
use foxspur::protocol::admin::Drain;
use rayon::prelude::*;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// A run as far as plans look at it.
#[derive(Default)]
pub(crate) struct Seen {
    pub late: BTreeSet<String>,
    pub outcome: Outcome,
}

fn seen(snapshot: &Snapshot, script: &Script, seed: u64) -> Seen {
    let outcome = run(snapshot, script, seed);
    let late = snapshot.jobs.iter().filter(|j| {
        let done_s = outcome.jobs.get(&j.spec.id).and_then(|e| e.done_s);
        // One that is not done by the horizon is late if that is after its due
        // time; else it cannot be told, and is the same in both runs mostly.
        let end_s = done_s.unwrap_or(script.horizon_s);
        due_s(snapshot, j).is_some_and(|due| end_s > due && due > 0.0)
    });
    Seen {
        late: late.map(|j| j.spec.id.clone()).collect(),
        outcome,
    }
}

fn range(mut values: Vec<f64>) -> Option<Range> {
    values.sort_by(f64::total_cmp);
    let at = |q: f64| {
        values
            .get(((values.len() as f64 - 1.0) * q).round() as usize)
            .copied()
    };
    Some(Range {
        p50: at(0.5)?,
        p90: at(0.9)?,
    })
}

/// The drains of an order, each with its start.
fn drains(order: &Order, starts: &HashMap<&str, f64>, at_ms: u64) -> Vec<(f64, Drain)> {
    let drain = |host: &String| {
        let start_s = starts.get(host.as_str()).copied().unwrap_or(order.start_s);
        let deadline_s = order.deadline_s.map(|d| start_s + d);
        let drain = Drain {
            host: host.clone(),
            order: "plan".into(),
            by: "plan".into(),
            why: "plan".into(),
            at_ms,
            deadline_ms: deadline_s.map(|d| (d * 1000.0) as u64),
            rest: order.rest,
            drained: None,
            roll: None,
        };
        (start_s, drain)
    };
    order.hosts.iter().map(drain).collect()
}

/// What a plan is worked out from.
pub(crate) struct Planner<'a> {
    pub snapshot: &'a Snapshot,
    pub order: &'a Order,
    pub options: &'a Options,
}

/// Which machines die when in the run of this seed.
pub(crate) type Deaths<'d> = dyn Fn(u64) -> Vec<(f64, String)> + Sync + 'd;

impl Planner<'_> {
    /// Runs without and with the drain, under the same draws.
    pub fn pairs(
        &self,
        samples: u32,
        starts: &HashMap<&str, f64>,
        deaths: &Deaths,
    ) -> Vec<(Seen, Seen)> {
        let with = drains(self.order, starts, 0);
        (0..u64::from(samples))
            .into_par_iter()
            .map(|n| {
                let seed = self.options.seed.wrapping_mul(1_000_003).wrapping_add(n);
                let mut script = Script {
                    drains: Vec::new(),
                    deaths: deaths(seed),
                    arrivals: Vec::new(),
                    horizon_s: self.options.horizon_s,
                };
                let without = seen(self.snapshot, &script, seed);
                script.drains = with.clone();
                (without, seen(self.snapshot, &script, seed))
            })
            .collect()
    }

    pub fn variant(
        &self,
        name: &str,
        starts: &HashMap<&str, f64>,
        pairs: &[(Seen, Seen)],
    ) -> Variant {
        let n = pairs.len().max(1) as f64;
        let because = |p: &(Seen, Seen)| p.1.late.difference(&p.0.late).count();
        let lost = |s: &Seen| s.outcome.jobs.values().map(|j| j.lost_cpu_s).sum::<f64>();
        let all_drained = |p: &(Seen, Seen)| {
            let ends = self
                .order
                .hosts
                .iter()
                .map(|h| p.1.outcome.drained_s.get(h));
            ends.collect::<Option<Vec<&f64>>>()
                .map(|e| e.into_iter().copied().fold(0.0, f64::max))
        };
        let ends: Vec<f64> = pairs.iter().filter_map(all_drained).collect();
        let in_time = |p: &&(Seen, Seen)| {
            self.order.hosts.iter().all(|h| {
                let start = starts
                    .get(h.as_str())
                    .copied()
                    .unwrap_or(self.order.start_s);
                let by = self.order.deadline_s.map_or(f64::INFINITY, |d| start + d);
                p.1.outcome.drained_s.get(h).is_some_and(|t| *t <= by)
            })
        };
        Variant {
            name: name.into(),
            late: pairs.iter().map(|p| because(p) as f64).sum::<f64>() / n,
            any_late: pairs.iter().filter(|p| because(p) > 0).count() as f64 / n,
            lost_cpu_s: pairs.iter().map(|p| lost(&p.1) - lost(&p.0)).sum::<f64>() / n,
            drained_s: range(ends),
            overdue: 1.0 - pairs.iter().filter(in_time).count() as f64 / n,
        }
    }

    pub fn hosts(&self, pairs: &[(Seen, Seen)]) -> Vec<HostPlan> {
        let order = self.order;
        let plan = |host: &String| {
            let m = self.snapshot.machines.iter().find(|m| m.info.id == *host);
            let ends = pairs.iter().filter_map(|p| p.1.outcome.drained_s.get(host));
            let took: Vec<f64> = ends.map(|t| t - order.start_s).collect();
            let by = order.deadline_s.unwrap_or(f64::INFINITY);
            let in_time = took.iter().filter(|t| **t <= by).count() as f64;
            HostPlan {
                host: host.clone(),
                zone: m.map_or(String::new(), |m| m.info.zone.clone()),
                tasks: m.map_or(0, |m| m.tasks.len()),
                overdue: 1.0 - in_time / pairs.len().max(1) as f64,
                drained_s: range(took),
            }
        };
        order.hosts.iter().map(plan).collect()
    }

    pub fn jobs(&self, pairs: &[(Seen, Seen)]) -> Vec<JobPlan> {
        let n = pairs.len().max(1) as f64;
        let here: BTreeSet<&str> = self
            .snapshot
            .machines
            .iter()
            .filter(|m| self.order.hosts.contains(&m.info.id))
            .flat_map(|m| m.tasks.iter().map(|t| t.job.as_str()))
            .collect();
        let mut plans = Vec::new();
        for job in &self.snapshot.jobs {
            let id = &job.spec.id;
            let mut plan = JobPlan {
                id: id.clone(),
                class: job.spec.class.clone(),
                moved: 0.0,
                waits: 0.0,
                late_because: 0.0,
                late_anyway: 0.0,
                lost_cpu_s: 0.0,
                later_s: 0.0,
            };
            for (without, with) in pairs {
                let end = |s: &Seen| s.outcome.jobs.get(id).cloned().unwrap_or_default();
                let (a, b) = (end(without), end(with));
                let done = |e: &crate::sim::JobEnd| e.done_s.unwrap_or(self.options.horizon_s);
                let later = done(&b) - done(&a);
                let moved = here.contains(id.as_str()) && b.starts > a.starts;
                plan.moved += f64::from(u8::from(moved)) / n;
                plan.waits += f64::from(u8::from(later > (0.1 * done(&a)).max(2.0))) / n;
                plan.lost_cpu_s += (b.lost_cpu_s - a.lost_cpu_s) / n;
                plan.later_s += later / n;
                let late = (without.late.contains(id), with.late.contains(id));
                plan.late_anyway += f64::from(u8::from(late.0)) / n;
                plan.late_because += f64::from(u8::from(!late.0 && late.1)) / n;
            }
            if plan.moved + plan.waits + plan.late_because + plan.late_anyway > 0.0 {
                plans.push(plan);
            }
        }
        plans.sort_by(|a, b| {
            let key = |p: &JobPlan| (-p.late_because, -p.moved, -p.later_s);
            let (a_key, b_key) = (key(a), key(b));
            a_key
                .0
                .total_cmp(&b_key.0)
                .then(a_key.1.total_cmp(&b_key.1))
                .then(a_key.2.total_cmp(&b_key.2))
                .then_with(|| a.id.cmp(&b.id))
        });
        plans
    }

    pub fn classes(&self, pairs: &[(Seen, Seen)]) -> Vec<ClassPlan> {
        let mut classes: BTreeMap<&str, Vec<&str>> = BTreeMap::new();
        for job in &self.snapshot.jobs {
            classes
                .entry(&job.spec.class)
                .or_default()
                .push(&job.spec.id);
        }
        let n = pairs.len().max(1) as f64;
        let share = |late: &BTreeSet<String>, ids: &[&str]| {
            ids.iter().filter(|id| late.contains(**id)).count() as f64 / n
        };
        let plan = |(class, ids): (&str, Vec<&str>)| ClassPlan {
            class: class.into(),
            jobs: ids.len(),
            late_without: pairs.iter().map(|p| share(&p.0.late, &ids)).sum(),
            late_with: pairs.iter().map(|p| share(&p.1.late, &ids)).sum(),
        };
        classes.into_iter().map(plan).collect()
    }
}
