//! The platform's settings file (TOML). Unknown fields are ignored; a missing,
//! malformed or contradictory one is named in the error.

use super::policy::Policy;
use serde::{Deserialize, Serialize};
use std::collections::HashSet;
use std::net::SocketAddr;

/// Another controller.
#[derive(Deserialize, Clone, Debug)]
pub struct Peer {
    /// Its host name.
    #[serde(rename = "host_name")]
    pub name: String,
    /// Its zone.
    #[serde(rename = "site")]
    pub zone: String,
    /// Where it takes messages of controllers.
    pub addr: SocketAddr,
}

/// Outside services.
#[derive(Deserialize, Clone, Debug)]
pub struct Services {
    /// Address of the cloud.
    pub cloud: SocketAddr,
    /// Address of the state service.
    pub state: SocketAddr,
}

/// A team's quota: what it is guaranteed and limited to; 0 means none.
#[derive(Serialize, Deserialize, Clone, Debug, PartialEq)]
pub struct Team {
    /// Its name.
    pub name: String,
    /// Guaranteed CPUs.
    #[serde(default)]
    pub cpus: f64,
    /// Most CPUs.
    #[serde(default)]
    pub cpus_max: f64,
    /// Guaranteed GPUs.
    #[serde(default)]
    pub gpus: f64,
    /// Most GPUs.
    #[serde(default)]
    pub gpus_max: f64,
}

/// A service-level objective: what is expected of a class of jobs.
#[derive(Serialize, Deserialize, Clone, Debug, Default, PartialEq)]
pub struct Objective {
    /// What is bounded: `wait` (until the job's first start), `finished` (until its end),
    /// `deadline` (until its end, by its own deadline), or `guarantee` (until its first
    /// start, for jobs within their team's guarantee).
    pub kind: String,
    /// The class of jobs; no class is meant where it is left out.
    #[serde(default)]
    pub class: Option<String>,
    /// Part of the jobs for which it must hold, from 0 to 1.
    #[serde(default)]
    pub share: Option<f64>,
    /// Bound as a multiple of the job's deadline.
    #[serde(default)]
    pub times: Option<f64>,
    /// Bound in seconds.
    #[serde(default)]
    pub within_s: Option<f64>,
}

/// Workers' intervals.
#[derive(Deserialize, Clone, Debug)]
pub struct Workers {
    /// Time between two heartbeats, in seconds.
    pub report_s: f64,
    /// Time to live of a worker's lease, in seconds: without an answer for so long it stops
    /// its tasks.
    pub lease_s: f64,
    /// Time within which the tasks of a cancelled job must be stopped, in seconds.
    pub cancel_s: f64,
}

/// Limits of the state service.
#[derive(Deserialize, Clone, Debug)]
pub struct StateLimits {
    /// Requests a second.
    pub rps: f64,
    /// Written keys a second.
    pub write_rps: f64,
    /// Largest value, in KiB.
    pub value_kb: f64,
    /// Most changes of a transaction.
    pub txn_ops: usize,
}

/// Limits of the cloud.
#[derive(Deserialize, Clone, Debug)]
pub struct CloudLimits {
    /// Requests a second.
    pub rps: f64,
    /// How far the list of machines may be behind, in seconds.
    pub list_lag_s: f64,
}

/// What a controller may use.
#[derive(Deserialize, Clone, Debug)]
pub struct Quota {
    /// CPUs.
    pub cpu: f64,
    /// Memory, in MB.
    pub memory_mb: f64,
    /// Open sockets.
    pub max_sockets: usize,
}

/// The cluster.
#[derive(Deserialize, Clone, Debug)]
pub struct Cluster {
    /// Number of controllers.
    pub nodes: usize,
    /// The zones.
    pub zones: Vec<String>,
    /// Most by which two clocks may differ, in milliseconds.
    pub time_bound_ms: f64,
    /// The teams and their quotas.
    #[serde(default)]
    pub teams: Vec<Team>,
    /// The service-level objectives.
    #[serde(default)]
    pub objectives: Vec<Objective>,
    /// Workers' intervals.
    pub workers: Workers,
    /// Limits of the state service.
    pub state: StateLimits,
    /// Limits of the cloud.
    pub cloud: CloudLimits,
    /// What a controller may use.
    pub quota: Quota,
}

/// The whole file.
#[derive(Deserialize, Clone, Debug)]
pub struct Settings {
    /// Host name of this controller.
    pub host_name: String,
    /// Zone of this controller.
    #[serde(rename = "site")]
    pub zone: String,
    /// Where users, workers and health checks call.
    pub front: SocketAddr,
    /// Where other controllers call.
    pub mesh_addr: SocketAddr,
    /// The other controllers.
    #[serde(default)]
    pub peers: Vec<Peer>,
    /// Outside services.
    pub services: Services,
    /// What is the same for all controllers.
    pub cluster: Cluster,
}

/// Why settings are not usable.
#[derive(thiserror::Error, Debug)]
pub enum SettingsError {
    /// The file cannot be read as settings.
    #[error("settings: {0}")]
    Malformed(String),
    /// A field has an impossible value.
    #[error("settings: {field}: {why}")]
    Field {
        /// Its path in the file.
        field: String,
        /// What is wrong with it.
        why: String,
    },
}

/// A field with an impossible value.
fn invalid<T>(field: &str, why: &str) -> Result<T, SettingsError> {
    Err(SettingsError::Field {
        field: field.into(),
        why: why.into(),
    })
}

/// Fails unless the value is a finite number above 0.
fn check_positive(field: &str, value: f64) -> Result<(), SettingsError> {
    if value.is_finite() && value > 0.0 {
        Ok(())
    } else {
        invalid(field, "is not above 0")
    }
}

impl Settings {
    /// Reads and checks the file's text.
    ///
    /// # Errors
    /// A field is missing, malformed or contradicts another one.
    pub fn parse(text: &str) -> Result<Settings, SettingsError> {
        let settings: Settings = toml::from_str(text)
            .map_err(|e| SettingsError::Malformed(e.to_string().trim().replace('\n', " ")))?;
        settings.check()?;
        Ok(settings)
    }

    /// The order of the checks decides which of several errors is named.
    fn check(&self) -> Result<(), SettingsError> {
        self.check_numbers()?;
        self.check_intervals()?;
        self.check_limits()?;
        self.check_controllers()?;
        self.check_places()?;
        self.check_objectives()?;
        self.check_teams()
    }

    fn check_numbers(&self) -> Result<(), SettingsError> {
        let cluster = &self.cluster;
        for (field, value) in [
            ("cluster.workers.report_s", cluster.workers.report_s),
            ("cluster.workers.lease_s", cluster.workers.lease_s),
            ("cluster.workers.cancel_s", cluster.workers.cancel_s),
            ("cluster.state.rps", cluster.state.rps),
            ("cluster.state.write_rps", cluster.state.write_rps),
            ("cluster.state.value_kb", cluster.state.value_kb),
            ("cluster.cloud.rps", cluster.cloud.rps),
            ("cluster.cloud.list_lag_s", cluster.cloud.list_lag_s),
            ("cluster.quota.cpu", cluster.quota.cpu),
            ("cluster.quota.memory_mb", cluster.quota.memory_mb),
        ] {
            check_positive(field, value)?;
        }
        if !cluster.time_bound_ms.is_finite() || cluster.time_bound_ms < 0.0 {
            return invalid("cluster.time_bound_ms", "is negative");
        }
        Ok(())
    }

    fn check_intervals(&self) -> Result<(), SettingsError> {
        let workers = &self.cluster.workers;
        if workers.lease_s <= workers.report_s {
            return invalid("cluster.workers.lease_s", "is not above report_s");
        }
        // A leader may answer workers on what it knows of cancellations for as long as
        // `cancel_s` leaves beside a lease (`leadership::cancellation_horizon`): less than
        // a heartbeat interval and nobody would be answered.
        let min_cancel_s = 1.05 * (workers.lease_s + workers.report_s);
        if workers.cancel_s < min_cancel_s {
            let why =
                format!("is below 1.05 times lease_s and report_s together, {min_cancel_s:.2}");
            return invalid("cluster.workers.cancel_s", &why);
        }
        Ok(())
    }

    fn check_limits(&self) -> Result<(), SettingsError> {
        if self.cluster.state.txn_ops < 4 {
            return invalid("cluster.state.txn_ops", "is below 4");
        }
        if self.cluster.quota.max_sockets < 32 {
            return invalid("cluster.quota.max_sockets", "is below 32");
        }
        Ok(())
    }

    fn check_controllers(&self) -> Result<(), SettingsError> {
        if self.host_name.is_empty() || self.host_name.contains(char::is_whitespace) {
            return invalid("host_name", "is empty or holds spaces");
        }
        if self.front == self.mesh_addr {
            return invalid("mesh_addr", "is the same as front");
        }
        if self.cluster.nodes != self.peers.len() + 1 {
            return invalid("cluster.nodes", "does not match the number of peers");
        }
        Ok(())
    }

    /// Zones and addresses: each once, and none that nobody else knows of.
    fn check_places(&self) -> Result<(), SettingsError> {
        let zones: HashSet<&str> = self.cluster.zones.iter().map(String::as_str).collect();
        if zones.is_empty() || zones.len() < self.cluster.zones.len() {
            return invalid("cluster.zones", "is empty or names a zone twice");
        }
        if !zones.contains(&*self.zone) {
            return invalid("site", "is none of cluster.zones");
        }
        let mut names = HashSet::from([self.host_name.as_str()]);
        let mut addrs = HashSet::from([self.mesh_addr, self.front]);
        for peer in &self.peers {
            if !names.insert(&peer.name) {
                return invalid("peers.host_name", "names a controller twice");
            }
            if !addrs.insert(peer.addr) {
                return invalid("peers.addr", "is another controller's or our own");
            }
            if !zones.contains(&*peer.zone) {
                return invalid("peers.site", "is none of cluster.zones");
            }
        }
        Ok(())
    }

    fn check_objectives(&self) -> Result<(), SettingsError> {
        for objective in &self.cluster.objectives {
            if objective.share.is_some_and(|s| !(0.0..=1.0).contains(&s)) {
                return invalid("cluster.objectives.share", "is not within 0 and 1");
            }
            for (field, value) in [
                ("cluster.objectives.times", objective.times),
                ("cluster.objectives.within_s", objective.within_s),
            ] {
                if let Some(value) = value {
                    check_positive(field, value)?;
                }
            }
        }
        Ok(())
    }

    fn check_teams(&self) -> Result<(), SettingsError> {
        let mut names = HashSet::new();
        for team in &self.cluster.teams {
            if team.name.is_empty() || !names.insert(&team.name) {
                return invalid("cluster.teams.name", "is empty or named twice");
            }
            for (field, min, max) in [
                ("cluster.teams.cpus", team.cpus, team.cpus_max),
                ("cluster.teams.gpus", team.gpus, team.gpus_max),
            ] {
                if min.is_nan() || max.is_nan() || min < 0.0 || max < 0.0 {
                    return invalid(field, "is negative or no number");
                }
                if max > 0.0 && min > max {
                    return invalid(field, "is above the team's limit");
                }
            }
        }
        Ok(())
    }

    /// Checks whether the operators' own settings fit these: what each allows alone may
    /// be impossible together.
    ///
    /// # Errors
    /// They do not: the field that must be changed, and why.
    pub fn check_policy(&self, policy: &Policy) -> Result<(), SettingsError> {
        let in_use = |addr| addr == self.front || addr == self.mesh_addr;
        if policy.admin.is_some_and(in_use) {
            return invalid("admin", "is the users' or the controllers' address");
        }
        let worker_lease_s = self.cluster.workers.lease_s;
        let lease_ttl_s = policy.lease_ttl_s(worker_lease_s);
        if policy.quiet_leases * worker_lease_s < 1.5 * lease_ttl_s {
            let why = "ends before an owner's own lease, with half of it to spare, does";
            return invalid("quiet-leases", why);
        }
        if lease_ttl_s > worker_lease_s.max(2.0) {
            let why = "lets a dead controller's share wait for longer than its workers live";
            return invalid("member-leases", why);
        }
        // Each renews five times in its time to live; the state service has other work.
        let renewals_per_s = 5.0 * self.cluster.nodes as f64 / lease_ttl_s;
        if renewals_per_s > self.cluster.state.rps / 2.0 {
            let why = "is half used up by the leases of that many controllers";
            return invalid("cluster.state.rps", why);
        }
        Ok(())
    }

    /// The team of this name.
    pub fn team(&self, name: &str) -> Option<&Team> {
        self.cluster.teams.iter().find(|t| t.name == name)
    }
}
