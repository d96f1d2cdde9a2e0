//! The site file in TOML: what the test cluster consists of.

use foxspur_wire::cloud::MachineType;
use serde::{Deserialize, Serialize};

/// Size, limits and times of a test cluster; the controllers get them in their settings.
#[derive(Deserialize, Serialize, Clone, Debug)]
#[serde(deny_unknown_fields)]
pub struct Site {
    /// How many controllers there are, spread over the zones in turn.
    pub controllers: usize,
    /// The zones.
    pub zones: Vec<String>,
    /// After how many seconds a controller that was killed is back.
    pub restart_s: f64,
    /// The most machines of each type, zone and price model (on demand or spot). A worker
    /// listens for each of them from the start, which takes a port and a file descriptor.
    pub capacity: u32,
    /// Machines up at the start: on demand, of the first type, spread over its zones. At
    /// most `capacity` in each zone.
    pub machines: u32,
    /// Times of workers.
    pub workers: Workers,
    /// Limits of the state service.
    pub state: State,
    /// Limits of the cloud's interface.
    pub cloud: Cloud,
    /// Teams and their quotas.
    pub teams: Vec<Team>,
    /// Machine types.
    pub types: Vec<MachineType>,
    /// The generated load.
    pub load: Load,
}

/// Times of workers.
#[derive(Deserialize, Serialize, Clone, Debug)]
#[serde(deny_unknown_fields)]
pub struct Workers {
    /// Seconds between two heartbeats of one.
    pub report_s: f64,
    /// Seconds from a heartbeat until the worker's lease expires.
    pub lease_s: f64,
    /// Seconds within which a cancelled job's tasks must be gone.
    pub cancel_s: f64,
}

/// Limits of the state service.
#[derive(Deserialize, Serialize, Clone, Debug)]
#[serde(deny_unknown_fields)]
pub struct State {
    /// Requests a second.
    pub rps: f64,
    /// Written keys a second.
    pub write_rps: f64,
    /// The largest value, in kilobytes.
    pub value_kb: f64,
    /// The most operations of one transaction.
    pub txn_ops: usize,
}

/// Limits of the cloud's interface.
#[derive(Deserialize, Serialize, Clone, Debug)]
#[serde(deny_unknown_fields)]
pub struct Cloud {
    /// Requests a second.
    pub rps: f64,
    /// For how many seconds the list does not show a new machine.
    pub list_lag_s: f64,
}

/// A team and its quota.
#[derive(Deserialize, Serialize, Clone, Debug)]
#[serde(deny_unknown_fields)]
pub struct Team {
    /// Its name.
    pub name: String,
    /// CPUs that it is guaranteed.
    pub cpus: f64,
    /// The most CPUs that it may use; 0 for no limit.
    pub cpus_max: f64,
}

/// The generated load: an open loop, so that a slow service does not get fewer arrivals.
#[derive(Deserialize, Serialize, Clone, Debug)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// Mean arrivals a second.
    pub jobs_per_s: f64,
    /// The most tasks of a job.
    pub tasks: u32,
    /// CPUs of a task.
    pub cpus: f64,
    /// Mean run time of a task, in seconds.
    pub run_s: f64,
    /// The proportion of jobs that their users cancel, from 0 to 1.
    pub cancelled: f64,
    /// How many seconds after its acceptance a job is cancelled.
    #[serde(default)]
    pub cancel_after_s: f64,
}

/// A small site with short times, used where none is given.
pub const DEFAULT: &str = include_str!("../site.toml");

impl Site {
    /// Reads and checks a site.
    ///
    /// # Errors
    ///
    /// Names the first field that is unknown, missing or out of range.
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
                return Err(format!("site: {field} cannot be that"));
            }
        }
        Ok(site)
    }
}
