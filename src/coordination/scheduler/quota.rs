//! Quotas: the usage of teams, their limits, and which jobs fit into their team's guarantee.

use crate::coordination::scheduler::job::Name;
use crate::coordination::scheduler::state::Scheduler;
use crate::coordination::scheduler::team_usage::{TeamUsage, Usage};
use crate::protocol::job::JobSpec;
use crate::protocol::settings::Team;

/// Whether the team's limit admits `tasks` more tasks of the job. `used` is the team's current
/// usage: CPUs, GPUs.
pub fn within_limit(team: Option<&Team>, used: (f64, f64), spec: &JobSpec, tasks: f64) -> bool {
    let (cpus, gpus) = used;
    Usage { cpus, gpus }.admits(team, spec, tasks)
}

/// Whether the team is guaranteed any CPUs or GPUs.
fn has_guarantee(team: &Team) -> bool {
    !(team.cpus <= 0.0 && team.gpus <= 0.0)
}

impl Scheduler {
    /// Index in the settings of the team with this name; `None` if there is no such team.
    pub(crate) fn team_index(&self, name: &str) -> Option<usize> {
        self.config.teams.iter().position(|team| team.name == name)
    }

    /// The team at this index in the settings; `None` if there is no such team.
    pub(crate) fn team(&self, index: Option<usize>) -> Option<&Team> {
        index.and_then(|index| self.config.teams.get(index))
    }

    /// Computes the usage of teams anew from all jobs, which corrects any drift of the usage
    /// maintained between full passes. Every attempt that is or may be on a machine counts: an
    /// attempt whose start was only sent, one that is fetching its image, running or writing a
    /// checkpoint, and one whose machine is silent.
    pub fn count_usage(&self) -> TeamUsage {
        let mut usage = TeamUsage::default();
        for job in self.jobs.values().filter(|job| !job.placed.is_empty()) {
            usage.add(job.team, &job.spec, job.attempts_placed() as f64);
        }
        usage
    }

    /// The usage of teams as maintained between full passes. Each full pass replaces this value
    /// with the result of `count_usage`.
    pub fn usage(&self) -> &TeamUsage {
        &self.team_usage
    }

    /// Determines which jobs are guaranteed. A job is guaranteed if all of its tasks fit into
    /// its team's guarantee together with all tasks of the team's unfinished jobs that were
    /// accepted earlier.
    pub(crate) fn update_guarantees(&mut self) {
        if !self.config.teams.iter().any(has_guarantee) {
            return;
        }
        let mut sums = TeamUsage::default();
        for name in self.unfinished_by_acceptance() {
            let Some(job) = self.jobs.get_mut(&name) else {
                continue;
            };
            sums.add(job.team, &job.spec, f64::from(job.spec.tasks));
            let sum = sums.of(job.team);
            let team = job.team.and_then(|index| self.config.teams.get(index));
            job.claims.guaranteed =
                team.is_some_and(|team| has_guarantee(team) && !sum.exceeds_guarantee(team));
        }
    }

    /// Names of the unfinished jobs by acceptance time, earliest first.
    fn unfinished_by_acceptance(&self) -> Vec<Name> {
        let mut order: Vec<(f64, Name)> = self
            .jobs
            .iter()
            .filter(|(_, job)| !job.finished)
            .map(|(name, job)| (job.accepted_at, name.clone()))
            .collect();
        order.sort_by(|a, b| a.0.total_cmp(&b.0).then_with(|| a.1.cmp(&b.1)));
        order.into_iter().map(|(_, name)| name).collect()
    }
}
