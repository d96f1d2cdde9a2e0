//! What teams use, and which jobs fit into their guarantees.

use crate::coordination::scheduler::job::Name;
use crate::coordination::scheduler::state::Scheduler;
use crate::protocol::job::JobSpec;
use crate::protocol::settings::Team;

/// CPUs and GPUs in use, by the team's place in the settings.
#[derive(Debug, Clone, Default)]
pub struct TeamUsage {
    teams: Vec<(f64, f64)>,
    /// Of jobs whose team the settings do not name any more.
    other: (f64, f64),
}

impl TeamUsage {
    /// What the team uses.
    pub fn of(&self, team: Option<usize>) -> (f64, f64) {
        match team {
            Some(team) => self.teams.get(team).copied().unwrap_or_default(),
            None => self.other,
        }
    }
    /// Adds `n` tasks of the job.
    pub fn add(&mut self, team: Option<usize>, spec: &JobSpec, n: f64) {
        let used = match team {
            Some(team) => {
                if self.teams.len() <= team {
                    self.teams.resize(team + 1, (0.0, 0.0));
                }
                &mut self.teams[team]
            }
            None => &mut self.other,
        };
        used.0 += n * spec.cpus;
        used.1 += n * spec.gpus;
    }
    /// CPUs that all use together.
    pub fn cpus(&self) -> f64 {
        self.teams.iter().map(|u| u.0).sum::<f64>() + self.other.0
    }
}

/// Whether the team may use this much more.
pub fn within_limit(team: Option<&Team>, used: (f64, f64), spec: &JobSpec, tasks: f64) -> bool {
    let Some(team) = team else {
        return false;
    };
    let fits = |max: f64, used: f64, more: f64| max <= 0.0 || used + more <= max + 1e-6;
    fits(team.cpus_max, used.0, spec.cpus * tasks) && fits(team.gpus_max, used.1, spec.gpus * tasks)
}

impl Scheduler {
    /// Place of the team of this name in the settings.
    pub(crate) fn team_index(&self, name: &str) -> Option<usize> {
        self.config.teams.iter().position(|t| t.name == name)
    }

    /// The team at this place.
    pub(crate) fn team(&self, at: Option<usize>) -> Option<&Team> {
        at.and_then(|t| self.config.teams.get(t))
    }

    /// Everything that is on a machine or may be: sent, fetching, running,
    /// saving, out of sight. Counted anew from the jobs, so that it cannot
    /// wander from them.
    pub fn count_usage(&self) -> TeamUsage {
        let mut usage = TeamUsage::default();
        for job in self.jobs.values().filter(|j| !j.placed.is_empty()) {
            usage.add(job.team, &job.spec, job.attempts_placed() as f64);
        }
        usage
    }

    /// The same, as it is kept up between full passes.
    pub fn usage(&self) -> &TeamUsage {
        &self.team_usage
    }

    /// Machines in use, their CPUs, and how many of these are free.
    pub fn capacity(&self) -> (usize, f64, f64) {
        let mut sum = (0, 0.0, 0.0);
        for m in self.machines.values().filter(|m| m.indexed) {
            sum.0 += 1;
            sum.1 += self.types.get(&m.info.kind).map_or(0.0, |t| t.cpus);
            sum.2 += m.free_capacity.cpus;
        }
        sum
    }

    /// One line on load: machines, CPUs held by class, what waits.
    pub fn summary(&self) -> String {
        let mut held: std::collections::BTreeMap<&str, (f64, u32)> = Default::default();
        for job in self.jobs.values().filter(|j| !j.finished) {
            let entry = held.entry(&job.spec.class).or_default();
            entry.0 += job.attempts_placed() as f64 * job.spec.cpus;
            entry.1 += job.unplaced_tasks();
        }
        let (usable, all, free) = self.capacity();
        let mut line = format!(
            "machines={} usable={usable} cpus={all} free={free}",
            self.machines.len(),
        );
        for (class, (cpus, waiting)) in held {
            line.push_str(&format!(" {class}={cpus}+{waiting}"));
        }
        line
    }

    /// A job is within its team's guarantee if it fits into it together with
    /// the team's earlier unfinished jobs.
    pub(crate) fn update_guarantees(&mut self) {
        let none = |t: &Team| t.cpus <= 0.0 && t.gpus <= 0.0;
        if self.config.teams.iter().all(none) {
            return;
        }
        let mut order: Vec<(f64, Name)> = self
            .jobs
            .iter()
            .filter(|(_, j)| !j.finished)
            .map(|(n, j)| (j.accepted_at, n.clone()))
            .collect();
        order.sort_by(|a, b| a.0.total_cmp(&b.0).then_with(|| a.1.cmp(&b.1)));
        let mut sums = TeamUsage::default();
        for (_, name) in order {
            let Some(job) = self.jobs.get_mut(&name) else {
                continue;
            };
            sums.add(job.team, &job.spec, f64::from(job.spec.tasks));
            let sum = sums.of(job.team);
            let team = job.team.and_then(|t| self.config.teams.get(t));
            job.guaranteed =
                team.is_some_and(|t| !none(t) && sum.0 <= t.cpus + 1e-6 && sum.1 <= t.gpus + 1e-6);
        }
    }
}
