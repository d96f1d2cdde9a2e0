//! Admission control: checks whether a job can ever run. A job that can never run is rejected
//! when it is submitted, since it would wait forever.

use crate::coordination::node::Node;
use crate::coordination::scheduler::quota;
use crate::protocol::job::{JobSpec, Shape};
use crate::storage::records;

/// CPUs and GPUs in use by a team that has no running jobs.
const NO_USAGE: (f64, f64) = (0.0, 0.0);

/// Why a job can never run. The message is sent to the user.
#[derive(thiserror::Error, Debug, Clone, PartialEq, Eq)]
pub enum AdmissionError {
    /// The team is not in the settings.
    #[error("unknown owner {0}")]
    UnknownTeam(String),
    /// The tasks that must run at the same time exceed the team's limit.
    #[error("more than the owner's limit")]
    AboveTeamLimit,
    /// No machine type that the job allows is large enough for one of its tasks.
    #[error("a task fits no allowed machine type")]
    FitsNoMachineType,
}

/// The result of the admission check of a job.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Admission {
    /// The job can run.
    Admitted,
    /// The job can never run.
    Rejected(AdmissionError),
    /// This controller does not know the machine types yet.
    Undecided,
}

/// Checks whether a job can ever run, given the teams in the settings and the machine types that
/// this controller knows.
pub fn check(node: &Node, spec: &JobSpec) -> Admission {
    if let Err(error) = check_team(node, spec) {
        return Admission::Rejected(error);
    }
    let leadership = node.leadership.borrow();
    let Some(types) = &leadership.view.types else {
        return Admission::Undecided;
    };
    if types.iter().any(|t| records::fits_type(spec, t)) {
        Admission::Admitted
    } else {
        Admission::Rejected(AdmissionError::FitsNoMachineType)
    }
}

/// Checks that the job's team exists, and that the team's limit allows as many tasks as must run
/// at the same time: one task of a sweep, or all tasks of a service.
fn check_team(node: &Node, spec: &JobSpec) -> Result<(), AdmissionError> {
    let Some(team) = node.settings.team(&spec.team) else {
        return Err(AdmissionError::UnknownTeam(spec.team.clone()));
    };
    let tasks_at_once = match spec.shape {
        Shape::Sweep => 1.0,
        Shape::Service => f64::from(spec.tasks),
    };
    if quota::within_limit(Some(team), NO_USAGE, spec, tasks_at_once) {
        Ok(())
    } else {
        Err(AdmissionError::AboveTeamLimit)
    }
}
