//! The site file: the configuration of the test cluster in TOML.

use foxspur_wire::cloud::MachineType;
use serde::{Deserialize, Serialize};

/// Sizes, limits and times of a test cluster. Those that the controllers need are written to
/// their settings.
#[derive(Deserialize, Serialize, Clone, Debug)]
#[serde(deny_unknown_fields)]
pub struct Site {
    /// Number of controllers. They are assigned to the zones in turn.
    pub controllers: usize,
    /// Names of the zones.
    pub zones: Vec<String>,
    /// After how many seconds a killed controller is started again.
    pub restart_s: f64,
    /// The most machines of each type, zone and price model (on demand or spot). A listener is
    /// opened for each of them at the start, which takes a port and a file descriptor.
    pub capacity: u32,
    /// Number of machines that are up at the start. They are on-demand machines of the first type,
    /// assigned to its zones in turn, at most `capacity` in each zone.
    pub machines: u32,
    /// Intervals and time limits of workers.
    pub workers: Workers,
    /// Limits of the state service.
    pub state: State,
    /// Limits of the cloud's HTTP interface.
    pub cloud: Cloud,
    /// Teams and their quotas.
    pub teams: Vec<Team>,
    /// Machine types.
    pub types: Vec<MachineType>,
    /// The generated load.
    pub load: Load,
}

/// Intervals and time limits of workers.
#[derive(Deserialize, Serialize, Clone, Debug)]
#[serde(deny_unknown_fields)]
pub struct Workers {
    /// Seconds between two heartbeats of a worker.
    pub report_s: f64,
    /// Seconds from a heartbeat until the worker's lease expires.
    pub lease_s: f64,
    /// Seconds within which the tasks of a cancelled job must end.
    pub cancel_s: f64,
}

/// Limits of the state service.
#[derive(Deserialize, Serialize, Clone, Debug)]
#[serde(deny_unknown_fields)]
pub struct State {
    /// Requests per second.
    pub rps: f64,
    /// Written keys per second.
    pub write_rps: f64,
    /// The largest value, in kilobytes.
    pub value_kb: f64,
    /// The most operations in one transaction.
    pub txn_ops: usize,
}

/// Limits of the cloud's HTTP interface.
#[derive(Deserialize, Serialize, Clone, Debug)]
#[serde(deny_unknown_fields)]
pub struct Cloud {
    /// Requests per second.
    pub rps: f64,
    /// For how many seconds a new machine is missing from the list.
    pub list_lag_s: f64,
}

/// A team and its quota.
#[derive(Deserialize, Serialize, Clone, Debug)]
#[serde(deny_unknown_fields)]
pub struct Team {
    /// Name of the team.
    pub name: String,
    /// CPUs that the team is guaranteed.
    pub cpus: f64,
    /// The most CPUs that the team may use; 0 for no limit.
    pub cpus_max: f64,
}

/// The generated load. It is an open loop, so a slow service does not get fewer arrivals.
#[derive(Deserialize, Serialize, Clone, Debug)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// Mean number of arrivals per second.
    pub jobs_per_s: f64,
    /// The most tasks of a job.
    pub tasks: u32,
    /// CPUs of a task.
    pub cpus: f64,
    /// Mean run time of a task, in seconds.
    pub run_s: f64,
    /// The proportion of jobs that their users cancel, from 0 to 1.
    pub cancelled: f64,
    /// Seconds from the acceptance of a job to its cancellation.
    #[serde(default)]
    pub cancel_after_s: f64,
}

/// The default site: small, with short times.
pub const DEFAULT: &str = include_str!("../site.toml");

impl Site {
    /// Parses and validates a site.
    ///
    /// # Errors
    ///
    /// If a field is unknown, missing or out of range. The message names the first such field.
    pub fn parse(text: &str) -> Result<Site, String> {
        let site: Site = toml::from_str(text).map_err(|e| format!("site: {e}"))?;
        for (field, valid) in [
            ("controllers", site.controllers > 0),
            ("zones", !site.zones.is_empty()),
            ("types", !site.types.is_empty()),
            ("teams", !site.teams.is_empty()),
            (
                "workers.lease_s",
                site.workers.lease_s > site.workers.report_s,
            ),
            ("load.jobs_per_s", site.load.jobs_per_s > 0.0),
            ("load.tasks", site.load.tasks > 0),
            ("load.cancel_after_s", site.load.cancel_after_s >= 0.0),
            ("load.cancelled", (0.0..=1.0).contains(&site.load.cancelled)),
        ] {
            if !valid {
                return Err(format!("site: invalid value of {field}"));
            }
        }
        Ok(site)
    }
}
