//! A site of ours in TOML: what the testbed consists of.

use foxspur_wire::cloud::MachineType;
use serde::{Deserialize, Serialize};

/// Limits and times; the controllers get them in their settings.
#[derive(Deserialize, Serialize, Clone, Debug)]
#[serde(deny_unknown_fields)]
pub struct Site {
    /// Controllers, spread over the zones in turn.
    pub controllers: usize,
    pub zones: Vec<String>,
    /// After how many seconds a controller that ended is back.
    pub restart_s: f64,
    /// Most machines of each type, zone and kind.
    pub capacity: u32,
    /// Machines up at the start, of the first type.
    pub machines: u32,
    pub workers: Workers,
    pub state: State,
    pub cloud: Cloud,
    pub teams: Vec<Team>,
    pub types: Vec<MachineType>,
    pub load: Load,
}

#[derive(Deserialize, Serialize, Clone, Debug)]
#[serde(deny_unknown_fields)]
pub struct Workers {
    pub report_s: f64,
    pub lease_s: f64,
    pub cancel_s: f64,
}

#[derive(Deserialize, Serialize, Clone, Debug)]
#[serde(deny_unknown_fields)]
pub struct State {
    pub rps: f64,
    pub write_rps: f64,
    pub value_kb: f64,
    pub txn_ops: usize,
}

#[derive(Deserialize, Serialize, Clone, Debug)]
#[serde(deny_unknown_fields)]
pub struct Cloud {
    pub rps: f64,
    pub list_lag_s: f64,
}

#[derive(Deserialize, Serialize, Clone, Debug)]
#[serde(deny_unknown_fields)]
pub struct Team {
    pub name: String,
    pub cpus: f64,
    pub cpus_max: f64,
}

/// Arrivals: open loop, so that a slow service is not spared.
#[derive(Deserialize, Serialize, Clone, Debug)]
#[serde(deny_unknown_fields)]
pub struct Load {
    pub jobs_per_s: f64,
    /// Tasks of a job, at most.
    pub tasks: u32,
    /// CPUs of a task, and for how long it runs.
    pub cpus: f64,
    pub run_s: f64,
    /// Share of jobs that are cancelled by their user.
    pub cancelled: f64,
    /// How long after its acceptance.
    #[serde(default)]
    pub cancel_after_s: f64,
}

/// The site that a newcomer sees; short times, so that it is soon over.
pub const DEFAULT: &str = include_str!("../site.toml");

impl Site {
    /// Reads and checks a site.
    pub fn parse(text: &str) -> Result<Site, String> {
        let site: Site = toml::from_str(text).map_err(|e| format!("site: {e}"))?;
        for (field, good) in [
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
            if !good {
                return Err(format!("site: {field} cannot be that"));
            }
        }
        Ok(site)
    }
}
