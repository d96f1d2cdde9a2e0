//! What teams use, and which jobs fit into their guarantees.

use super::core::Core;
use super::job::Name;
use crate::protocol::job::JobSpec;
use crate::protocol::settings::Team;
use std::collections::HashMap;

/// CPUs and GPUs in use by team.
pub type Usage = HashMap<String, (f64, f64)>;

/// Whether the team may use this much more.
pub fn within_limit(team: Option<&Team>, used: (f64, f64), spec: &JobSpec, tasks: f64) -> bool {
    let Some(team) = team else {
        return false;
    };
    let fits = |max: f64, used: f64, more: f64| max <= 0.0 || used + more <= max + 1e-6;
    fits(team.cpus_max, used.0, spec.cpus * tasks) && fits(team.gpus_max, used.1, spec.gpus * tasks)
}

impl Core {
    /// The team of this name.
    pub(super) fn team(&self, name: &str) -> Option<&Team> {
        self.params.teams.iter().find(|t| t.name == name)
    }

    /// Everything that is on a machine or may be: sent, fetching, running,
    /// saving, out of sight.
    pub fn usage(&self) -> Usage {
        let mut usage = Usage::new();
        for job in self.jobs.values() {
            if job.on.is_empty() {
                continue;
            }
            let n = job.on.len() as f64;
            let used = usage.entry(job.spec.team.clone()).or_insert((0.0, 0.0));
            used.0 += n * job.spec.cpus;
            used.1 += n * job.spec.gpus;
        }
        usage
    }

    /// One line on load: machines, CPUs held by class, what waits.
    pub fn summary(&self, now: f64) -> String {
        let mut held: std::collections::BTreeMap<&str, (f64, u32)> = Default::default();
        for job in self.jobs.values().filter(|j| !j.over) {
            let entry = held.entry(&job.spec.class).or_default();
            entry.0 += job.on.len() as f64 * job.spec.cpus;
            entry.1 += job.waiting() + job.bound;
        }
        let slots = self.slots(now);
        let free: f64 = slots.iter().map(|s| s.cpus).sum();
        let all: f64 = slots
            .iter()
            .filter_map(|s| self.types.get(&self.machines.get(&s.name)?.info.kind))
            .map(|t| t.cpus)
            .sum();
        let mut line = format!(
            "machines={} usable={} cpus={all} free={free}",
            self.machines.len(),
            slots.len()
        );
        for (class, (cpus, waiting)) in held {
            line.push_str(&format!(" {class}={cpus}+{waiting}"));
        }
        line
    }

    /// A job is within its team's guarantee if it fits into it together with
    /// the team's earlier unfinished jobs.
    pub(super) fn judge_guarantees(&mut self) {
        if self
            .params
            .teams
            .iter()
            .all(|t| t.cpus <= 0.0 && t.gpus <= 0.0)
        {
            return;
        }
        let mut order: Vec<(f64, Name)> = self
            .jobs
            .iter()
            .filter(|(_, j)| !j.over)
            .map(|(n, j)| (j.at, n.clone()))
            .collect();
        order.sort_by(|a, b| a.0.total_cmp(&b.0).then_with(|| a.1.cmp(&b.1)));
        let mut sums: HashMap<String, (f64, f64)> = HashMap::new();
        let teams = self.params.teams.clone();
        for (_, name) in order {
            let Some(job) = self.jobs.get_mut(&name) else {
                continue;
            };
            let n = f64::from(job.spec.tasks);
            let sum = sums.entry(job.spec.team.clone()).or_insert((0.0, 0.0));
            sum.0 += n * job.spec.cpus;
            sum.1 += n * job.spec.gpus;
            job.guaranteed = teams.iter().any(|t| {
                t.name == job.spec.team
                    && (t.cpus > 0.0 || t.gpus > 0.0)
                    && (sum.0 <= t.cpus + 1e-6)
                    && (sum.1 <= t.gpus + 1e-6)
            });
        }
    }
}
