//! Resource usage of teams, and the check against a team's limit.

use crate::coordination::scheduler::resources::ROUNDING_TOLERANCE;
use crate::protocol::job::JobSpec;
use crate::protocol::settings::Team;

/// CPUs and GPUs in use; memory is not subject to quotas.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Usage {
    /// CPU cores.
    pub cpus: f64,
    /// GPUs.
    pub gpus: f64,
}

impl Usage {
    /// Adds the usage of `tasks` tasks of the job; a negative count takes it away.
    pub(crate) fn add_tasks(&mut self, spec: &JobSpec, tasks: f64) {
        self.cpus += tasks * spec.cpus;
        self.gpus += tasks * spec.gpus;
    }

    /// This usage without `other`.
    pub(crate) fn less(self, other: Usage) -> Usage {
        Usage {
            cpus: self.cpus - other.cpus,
            gpus: self.gpus - other.gpus,
        }
    }

    /// Whether this is more of either than the team is guaranteed.
    pub(crate) fn exceeds_guarantee(&self, team: &Team) -> bool {
        self.cpus > team.cpus + ROUNDING_TOLERANCE || self.gpus > team.gpus + ROUNDING_TOLERANCE
    }

    /// Whether the team's limit admits this usage and `tasks` more tasks of the job. A
    /// limit of 0 is none; a job of an unknown team is never admitted.
    pub(crate) fn admits(&self, limit: Option<&Team>, spec: &JobSpec, tasks: f64) -> bool {
        let Some(limit) = limit else {
            return false;
        };
        let fits =
            |max: f64, used: f64, more: f64| max <= 0.0 || used + more <= max + ROUNDING_TOLERANCE;
        fits(limit.cpus_max, self.cpus, spec.cpus * tasks)
            && fits(limit.gpus_max, self.gpus, spec.gpus * tasks)
    }
}

/// Usage by the team's index in the settings.
#[derive(Debug, Clone, Default)]
pub struct TeamUsage {
    teams: Vec<Usage>,
    /// Usage of jobs whose team the settings do not name any more.
    unknown_teams: Usage,
}

impl TeamUsage {
    /// What the team uses.
    pub fn of(&self, team: Option<usize>) -> Usage {
        match team {
            Some(team) => self.teams.get(team).copied().unwrap_or_default(),
            None => self.unknown_teams,
        }
    }

    /// Adds `tasks` tasks of the job; a negative count takes them away.
    pub fn add(&mut self, team: Option<usize>, spec: &JobSpec, tasks: f64) {
        let usage = match team {
            Some(team) => {
                if self.teams.len() <= team {
                    self.teams.resize(team + 1, Usage::default());
                }
                &mut self.teams[team]
            }
            None => &mut self.unknown_teams,
        };
        usage.add_tasks(spec, tasks);
    }

    /// CPUs that all teams use together.
    pub fn cpus(&self) -> f64 {
        self.teams.iter().map(|usage| usage.cpus).sum::<f64>() + self.unknown_teams.cpus
    }
}
