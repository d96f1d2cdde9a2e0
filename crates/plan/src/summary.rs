//! Statistics of the samples for variants, machines, jobs and classes.

use crate::plan::{ClassPlan, HostPlan, JobPlan, Range, Variant};
use crate::samples::{DrainStarts, Pair, Planner};
use std::collections::{BTreeMap, BTreeSet};

/// A job counts as waiting if the drain delays its end by more than this proportion of the time
/// until its end without the drain, and by more than `MIN_WAIT_S`.
const WAIT_PROPORTION: f64 = 0.1;
/// The smallest delay that counts as waiting, in seconds: the longest interval between two
/// scheduling rounds.
const MIN_WAIT_S: f64 = 2.0;

/// Quantiles of the values; `None` if there are no values.
fn range(mut values: Vec<f64>) -> Option<Range> {
    values.sort_by(f64::total_cmp);
    let quantile = |q: f64| {
        let index = ((values.len() as f64 - 1.0) * q).round() as usize;
        values.get(index).copied()
    };
    Some(Range {
        p50: quantile(0.5)?,
        p90: quantile(0.9)?,
    })
}

/// 1 if the condition is true, else 0.
fn one_if(condition: bool) -> f64 {
    f64::from(u8::from(condition))
}

/// The number of pairs as a divisor: at least 1.
fn pair_count(pairs: &[Pair]) -> f64 {
    pairs.len().max(1) as f64
}

impl Planner<'_> {
    /// Statistics of a variant of the order.
    pub fn variant(&self, name: &str, starts: &DrainStarts, pairs: &[Pair]) -> Variant {
        let samples = pair_count(pairs);
        let late: f64 = pairs.iter().map(|pair| pair.late_because() as f64).sum();
        let any_late = pairs.iter().filter(|pair| pair.late_because() > 0).count();
        let lost = |pair: &Pair| pair.with.lost_cpu_s() - pair.without.lost_cpu_s();
        let in_time = pairs.iter().filter(|pair| self.in_time(starts, pair));
        let drained = pairs.iter().filter_map(|pair| self.all_drained_s(pair));
        Variant {
            name: name.into(),
            late: late / samples,
            any_late: any_late as f64 / samples,
            lost_cpu_s: pairs.iter().map(lost).sum::<f64>() / samples,
            overdue: 1.0 - in_time.count() as f64 / samples,
            drained_s: range(drained.collect()),
        }
    }

    /// When the last machine of the order is drained, if all are drained within the horizon.
    fn all_drained_s(&self, pair: &Pair) -> Option<f64> {
        let hosts = self.order.hosts.iter();
        let drained = hosts.map(|host| pair.with.drained_s(host));
        let drained: Vec<f64> = drained.collect::<Option<_>>()?;
        Some(drained.into_iter().fold(0.0, f64::max))
    }

    /// Whether all machines of the order are drained by their deadlines.
    fn in_time(&self, starts: &DrainStarts, pair: &Pair) -> bool {
        self.order.hosts.iter().all(|host| {
            let start_s = self.start_s(starts, host);
            let deadline_s = self.order.deadline_s;
            let due_s = deadline_s.map_or(f64::INFINITY, |deadline| start_s + deadline);
            let drained_s = pair.with.drained_s(host);
            drained_s.is_some_and(|drained_s| drained_s <= due_s)
        })
    }

    /// Statistics of the machines to be drained.
    pub fn hosts(&self, pairs: &[Pair]) -> Vec<HostPlan> {
        let hosts = self.order.hosts.iter();
        hosts.map(|host| self.host(host, pairs)).collect()
    }

    fn host(&self, host: &str, pairs: &[Pair]) -> HostPlan {
        let mut machines = self.snapshot.machines.iter();
        let machine = machines.find(|m| m.info.id == *host);
        let drained = pairs.iter().filter_map(|pair| pair.with.drained_s(host));
        let durations_s: Vec<f64> = drained
            .map(|drained_s| drained_s - self.order.start_s)
            .collect();
        let deadline_s = self.order.deadline_s.unwrap_or(f64::INFINITY);
        let in_time = durations_s.iter();
        let in_time = in_time
            .filter(|duration_s| **duration_s <= deadline_s)
            .count();
        HostPlan {
            host: host.into(),
            zone: machine.map_or(String::new(), |m| m.info.zone.clone()),
            tasks: machine.map_or(0, |m| m.tasks.len()),
            overdue: 1.0 - in_time as f64 / pair_count(pairs),
            drained_s: range(durations_s),
        }
    }

    /// Statistics of the jobs that the drain affects or that are late anyway. Those most often
    /// late because of the drain come first.
    pub fn jobs(&self, pairs: &[Pair]) -> Vec<JobPlan> {
        let drained = self.snapshot.machines.iter();
        let drained = drained.filter(|m| self.order.hosts.contains(&m.info.id));
        let tasks = drained.flat_map(|m| &m.tasks);
        let on_drained: BTreeSet<&str> = tasks.map(|task| task.job.as_str()).collect();
        let mut plans = Vec::new();
        for job in &self.snapshot.jobs {
            let (id, class) = (&job.spec.id, &job.spec.class);
            let plan = self.job(id, class, on_drained.contains(id.as_str()), pairs);
            if plan.moved + plan.waits + plan.late_because + plan.late_anyway > 0.0 {
                plans.push(plan);
            }
        }
        plans.sort_by(|a, b| {
            (b.late_because.total_cmp(&a.late_because))
                .then(b.moved.total_cmp(&a.moved))
                .then(b.later_s.total_cmp(&a.later_s))
                .then_with(|| a.id.cmp(&b.id))
        });
        plans
    }

    fn job(&self, id: &str, class: &str, on_drained: bool, pairs: &[Pair]) -> JobPlan {
        let samples = pair_count(pairs);
        let mut plan = JobPlan {
            id: id.into(),
            class: class.into(),
            moved: 0.0,
            waits: 0.0,
            late_because: 0.0,
            late_anyway: 0.0,
            lost_cpu_s: 0.0,
            later_s: 0.0,
        };
        for Pair { without, with } in pairs {
            let (outcome_without, outcome_with) = (without.job_outcome(id), with.job_outcome(id));
            let done_without_s = outcome_without.done_s.unwrap_or(self.options.horizon_s);
            let done_with_s = outcome_with.done_s.unwrap_or(self.options.horizon_s);
            let later_s = done_with_s - done_without_s;
            let wait_s = (WAIT_PROPORTION * done_without_s).max(MIN_WAIT_S);
            let moved = on_drained && outcome_with.starts > outcome_without.starts;
            let late_anyway = without.late.contains(id);
            let late_because = !late_anyway && with.late.contains(id);
            plan.moved += one_if(moved) / samples;
            plan.waits += one_if(later_s > wait_s) / samples;
            plan.lost_cpu_s += (outcome_with.lost_cpu_s - outcome_without.lost_cpu_s) / samples;
            plan.later_s += later_s / samples;
            plan.late_anyway += one_if(late_anyway) / samples;
            plan.late_because += one_if(late_because) / samples;
        }
        plan
    }

    /// Statistics of all classes.
    pub fn classes(&self, pairs: &[Pair]) -> Vec<ClassPlan> {
        let mut classes: BTreeMap<&str, Vec<&str>> = BTreeMap::new();
        for job in &self.snapshot.jobs {
            let ids = classes.entry(&job.spec.class).or_default();
            ids.push(&job.spec.id);
        }
        let samples = pair_count(pairs);
        let late = |late: &BTreeSet<String>, ids: &[&str]| {
            ids.iter().filter(|id| late.contains(**id)).count() as f64 / samples
        };
        let plan = |(class, ids): (&str, Vec<&str>)| ClassPlan {
            class: class.into(),
            jobs: ids.len(),
            late_without: pairs.iter().map(|p| late(&p.without.late, &ids)).sum(),
            late_with: pairs.iter().map(|p| late(&p.with.late, &ids)).sum(),
        };
        classes.into_iter().map(plan).collect()
    }
}
