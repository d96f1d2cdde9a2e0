//! Resource usage of teams, and the checks against a team's guarantee and limit.

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
    /// Adds the usage of `tasks` tasks of the job. A negative number of tasks subtracts their
    /// usage.
    pub(crate) fn add_tasks(&mut self, spec: &JobSpec, tasks: f64) {
        self.cpus += tasks * spec.cpus;
        self.gpus += tasks * spec.gpus;
    }

    /// This usage minus `other`.
    pub(crate) fn minus(self, other: Usage) -> Usage {
        Usage {
            cpus: self.cpus - other.cpus,
            gpus: self.gpus - other.gpus,
        }
    }

    /// Whether this usage exceeds the team's guarantee of CPUs or of GPUs.
    pub(crate) fn exceeds_guarantee(&self, team: &Team) -> bool {
        self.cpus > team.cpus + ROUNDING_TOLERANCE || self.gpus > team.gpus + ROUNDING_TOLERANCE
    }

    /// Whether the limits of the team allow this usage plus that of `tasks` more tasks of the
    /// job. A limit of 0 means that usage is unlimited. If the team is unknown (`None`), no task
    /// is allowed.
    pub(crate) fn admits(&self, team: Option<&Team>, spec: &JobSpec, tasks: f64) -> bool {
        let Some(team) = team else {
            return false;
        };
        let fits = |limit: f64, used: f64, added: f64| {
            limit <= 0.0 || used + added <= limit + ROUNDING_TOLERANCE
        };
        fits(team.cpus_max, self.cpus, spec.cpus * tasks)
            && fits(team.gpus_max, self.gpus, spec.gpus * tasks)
    }
}

impl Usage {
    /// How many of `tasks` more tasks of the job the limits of the team admit beside this usage.
    pub(crate) fn admitted_tasks(&self, team: Option<&Team>, spec: &JobSpec, tasks: u32) -> u32 {
        let Some(team) = team else {
            return 0;
        };
        let admitted = |limit: f64, used: f64, needed: f64| {
            if limit <= 0.0 || needed <= 0.0 {
                f64::INFINITY
            } else {
                ((limit - used + ROUNDING_TOLERANCE) / needed).floor()
            }
        };
        admitted(team.cpus_max, self.cpus, spec.cpus)
            .min(admitted(team.gpus_max, self.gpus, spec.gpus))
            .clamp(0.0, f64::from(tasks)) as u32
    }
}

/// Resource usage of each team, by the team's index in the settings.
#[derive(Debug, Clone, Default)]
pub struct TeamUsage {
    teams: Vec<Usage>,
    /// Usage of jobs whose team the settings do not name.
    unknown_teams: Usage,
}

impl TeamUsage {
    /// The usage of the team with this index, or the total usage of all teams that the settings
    /// do not name (`None`).
    pub fn of(&self, team: Option<usize>) -> Usage {
        match team {
            Some(team) => self.teams.get(team).copied().unwrap_or_default(),
            None => self.unknown_teams,
        }
    }

    /// Adds the usage of `tasks` tasks of the job to the usage of its team (`None` if the
    /// settings do not name the team). A negative number of tasks subtracts their usage.
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

    /// Total CPUs in use by all teams.
    pub fn cpus(&self) -> f64 {
        self.teams.iter().map(|usage| usage.cpus).sum::<f64>() + self.unknown_teams.cpus
    }
}
