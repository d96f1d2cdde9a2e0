//! The settings file that the platform provides (TOML). Unknown fields are ignored. A missing,
//! malformed or contradictory field is an error that names the field.

use super::policy::Policy;
use serde::{Deserialize, Serialize};
use std::collections::HashSet;
use std::net::SocketAddr;

/// Another controller of the cluster.
#[derive(Deserialize, Clone, Debug)]
pub struct Peer {
    /// Host name of the controller.
    #[serde(rename = "host_name")]
    pub name: String,
    /// Zone of the controller.
    #[serde(rename = "site")]
    pub zone: String,
    /// Address on which the controller accepts messages from other controllers.
    pub addr: SocketAddr,
}

/// Addresses of the external services.
#[derive(Deserialize, Clone, Debug)]
pub struct Services {
    /// Address of the cloud.
    pub cloud: SocketAddr,
    /// Address of the state service.
    pub state: SocketAddr,
}

/// A team and its quota: the resources that are guaranteed to the team, and the maximum that it may
/// use. A guarantee of 0 means no guarantee, and a maximum of 0 means no limit.
#[derive(Serialize, Deserialize, Clone, Debug, PartialEq)]
pub struct Team {
    /// Name of the team.
    pub name: String,
    /// Guaranteed CPUs.
    #[serde(default)]
    pub cpus: f64,
    /// Maximum number of CPUs that the team may use.
    #[serde(default)]
    pub cpus_max: f64,
    /// Guaranteed GPUs.
    #[serde(default)]
    pub gpus: f64,
    /// Maximum number of GPUs that the team may use.
    #[serde(default)]
    pub gpus_max: f64,
}

/// A service-level objective: what is expected of a class of jobs.
#[derive(Serialize, Deserialize, Clone, Debug, Default, PartialEq)]
pub struct Objective {
    /// The time that the objective bounds: `wait` (until the job's first start), `finished` (until
    /// the job's end), `deadline` (until the job's end, relative to the job's own deadline), or
    /// `guarantee` (until the job's first start, for jobs within their team's guarantee).
    pub kind: String,
    /// The class of jobs. An objective without a class applies to no class.
    #[serde(default)]
    pub class: Option<String>,
    /// Fraction of the jobs for which the objective must hold, from 0 to 1.
    #[serde(default)]
    pub share: Option<f64>,
    /// The bound, as a multiple of the job's deadline.
    #[serde(default)]
    pub times: Option<f64>,
    /// The bound, in seconds.
    #[serde(default)]
    pub within_s: Option<f64>,
}

/// Time limits for workers.
#[derive(Deserialize, Clone, Debug)]
pub struct Workers {
    /// Interval between two heartbeats of a worker, in seconds.
    pub report_s: f64,
    /// Time to live of a worker's lease, in seconds. A worker that gets no answer for this long
    /// stops its tasks.
    pub lease_s: f64,
    /// Time within which the tasks of a cancelled job must be stopped, in seconds.
    pub cancel_s: f64,
}

/// Limits of the state service.
#[derive(Deserialize, Clone, Debug)]
pub struct StateLimits {
    /// Requests per second.
    pub rps: f64,
    /// Written keys per second.
    pub write_rps: f64,
    /// Maximum size of a value, in KiB.
    pub value_kb: f64,
    /// Maximum number of changes in one transaction.
    pub txn_ops: usize,
}

/// Limits of the cloud.
#[derive(Deserialize, Clone, Debug)]
pub struct CloudLimits {
    /// Requests per second.
    pub rps: f64,
    /// Maximum time by which the list of machines lags behind the actual state, in seconds.
    pub list_lag_s: f64,
}

/// The resources that one controller may use.
#[derive(Deserialize, Clone, Debug)]
pub struct Quota {
    /// CPUs.
    pub cpu: f64,
    /// Memory, in MB.
    pub memory_mb: f64,
    /// Maximum number of open sockets.
    pub max_sockets: usize,
}

/// The part of the settings that is the same for all controllers.
#[derive(Deserialize, Clone, Debug)]
pub struct Cluster {
    /// Number of controllers.
    pub nodes: usize,
    /// The zones.
    pub zones: Vec<String>,
    /// Maximum difference between two clocks, in milliseconds.
    pub time_bound_ms: f64,
    /// The teams and their quotas.
    #[serde(default)]
    pub teams: Vec<Team>,
    /// The service-level objectives.
    #[serde(default)]
    pub objectives: Vec<Objective>,
    /// Time limits for workers.
    pub workers: Workers,
    /// Limits of the state service.
    pub state: StateLimits,
    /// Limits of the cloud.
    pub cloud: CloudLimits,
    /// The resources that one controller may use.
    pub quota: Quota,
}

/// The whole settings file.
#[derive(Deserialize, Clone, Debug)]
pub struct Settings {
    /// Host name of this controller.
    pub host_name: String,
    /// Zone of this controller.
    #[serde(rename = "site")]
    pub zone: String,
    /// Address that users, workers and health checks call.
    pub front: SocketAddr,
    /// Address that other controllers call.
    pub mesh_addr: SocketAddr,
    /// The other controllers.
    #[serde(default)]
    pub peers: Vec<Peer>,
    /// Addresses of the external services.
    pub services: Services,
    /// The part of the settings that is the same for all controllers.
    pub cluster: Cluster,
}

/// Why the settings are not usable.
#[derive(thiserror::Error, Debug)]
pub enum SettingsError {
    /// The text cannot be parsed, or a field is missing.
    #[error("settings: {0}")]
    Malformed(String),
    /// A field has an invalid value.
    #[error("settings: {field}: {requirement}")]
    Field {
        /// Path of the field in the file.
        field: String,
        /// What the value must be.
        requirement: String,
    },
}

/// The error for a field with an invalid value. `requirement` says what the value must be.
fn invalid<T>(field: &str, requirement: &str) -> Result<T, SettingsError> {
    Err(SettingsError::Field {
        field: field.into(),
        requirement: requirement.into(),
    })
}

/// Returns an error unless the value is finite and greater than 0.
fn check_positive(field: &str, value: f64) -> Result<(), SettingsError> {
    if value.is_finite() && value > 0.0 {
        Ok(())
    } else {
        invalid(field, "must be finite and greater than 0")
    }
}

impl Settings {
    /// Parses and checks the text of the settings file.
    ///
    /// # Errors
    /// A field is missing, malformed or contradicts another one.
    pub fn parse(text: &str) -> Result<Settings, SettingsError> {
        let settings: Settings = toml::from_str(text).map_err(|error| {
            SettingsError::Malformed(error.to_string().trim().replace('\n', " "))
        })?;
        settings.check()?;
        Ok(settings)
    }

    /// Checks every value, and reports the first error. The order of the checks therefore decides
    /// which of several errors is reported.
    fn check(&self) -> Result<(), SettingsError> {
        self.check_numbers()?;
        self.check_intervals()?;
        self.check_limits()?;
        self.check_controllers()?;
        self.check_zones_and_addresses()?;
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
            return invalid("cluster.time_bound_ms", "must be finite and at least 0");
        }
        Ok(())
    }

    fn check_intervals(&self) -> Result<(), SettingsError> {
        let workers = &self.cluster.workers;
        if workers.lease_s <= workers.report_s {
            return invalid("cluster.workers.lease_s", "must be greater than report_s");
        }
        // A leader answers workers only while its knowledge of cancellations is at most about
        // `cancel_s` minus `lease_s` old (`leadership::cancellation_horizon`). If this maximum age
        // were less than a heartbeat interval, no worker would get an answer.
        let min_cancel_s = 1.05 * (workers.lease_s + workers.report_s);
        if workers.cancel_s < min_cancel_s {
            let requirement = format!(
                "must be at least {min_cancel_s:.2}, 1.05 times the sum of lease_s and report_s"
            );
            return invalid("cluster.workers.cancel_s", &requirement);
        }
        Ok(())
    }

    fn check_limits(&self) -> Result<(), SettingsError> {
        if self.cluster.state.txn_ops < 4 {
            return invalid("cluster.state.txn_ops", "must be at least 4");
        }
        if self.cluster.quota.max_sockets < 32 {
            return invalid("cluster.quota.max_sockets", "must be at least 32");
        }
        Ok(())
    }

    fn check_controllers(&self) -> Result<(), SettingsError> {
        if self.host_name.is_empty() || self.host_name.contains(char::is_whitespace) {
            return invalid("host_name", "must not be empty or contain whitespace");
        }
        if self.front == self.mesh_addr {
            return invalid("mesh_addr", "must differ from front");
        }
        if self.cluster.nodes != self.peers.len() + 1 {
            return invalid("cluster.nodes", "must be the number of peers plus 1");
        }
        Ok(())
    }

    /// Checks that zones, host names and addresses are each listed once, and that every
    /// controller is in a listed zone.
    fn check_zones_and_addresses(&self) -> Result<(), SettingsError> {
        let zones: HashSet<&str> = self.cluster.zones.iter().map(String::as_str).collect();
        if zones.is_empty() || zones.len() < self.cluster.zones.len() {
            return invalid(
                "cluster.zones",
                "must list at least one zone, and no zone twice",
            );
        }
        if !zones.contains(&*self.zone) {
            return invalid("site", "must be one of cluster.zones");
        }
        let mut names = HashSet::from([self.host_name.as_str()]);
        let mut addrs = HashSet::from([self.mesh_addr, self.front]);
        for peer in &self.peers {
            if !names.insert(&peer.name) {
                return invalid(
                    "peers.host_name",
                    "must differ from host_name and from the host names of the other peers",
                );
            }
            if !addrs.insert(peer.addr) {
                return invalid(
                    "peers.addr",
                    "must differ from front, mesh_addr and the addresses of the other peers",
                );
            }
            if !zones.contains(&*peer.zone) {
                return invalid("peers.site", "must be one of cluster.zones");
            }
        }
        Ok(())
    }

    fn check_objectives(&self) -> Result<(), SettingsError> {
        for objective in &self.cluster.objectives {
            if objective
                .share
                .is_some_and(|share| !(0.0..=1.0).contains(&share))
            {
                return invalid("cluster.objectives.share", "must be between 0 and 1");
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
                return invalid(
                    "cluster.teams.name",
                    "must not be empty, and must differ from the names of the other teams",
                );
            }
            for (field, guaranteed, limit) in [
                ("cluster.teams.cpus", team.cpus, team.cpus_max),
                ("cluster.teams.gpus", team.gpus, team.gpus_max),
            ] {
                if guaranteed.is_nan() || limit.is_nan() || guaranteed < 0.0 || limit < 0.0 {
                    return invalid(field, "must be at least 0, and so must the team's limit");
                }
                if limit > 0.0 && guaranteed > limit {
                    return invalid(field, "must be at most the team's limit");
                }
            }
        }
        Ok(())
    }

    /// Checks that the policy does not contradict these settings. Values that are valid by
    /// themselves may contradict each other.
    ///
    /// # Errors
    /// A value of the policy contradicts the settings. The error names a field of the policy or of
    /// the settings, and says what its value must be.
    pub fn check_policy(&self, policy: &Policy) -> Result<(), SettingsError> {
        let is_own_address = |addr| addr == self.front || addr == self.mesh_addr;
        if policy.admin.is_some_and(is_own_address) {
            return invalid("admin", "must differ from front and mesh_addr");
        }
        let worker_lease_s = self.cluster.workers.lease_s;
        let lease_ttl_s = policy.lease_ttl_s(worker_lease_s);
        if policy.quiet_leases * worker_lease_s < 1.5 * lease_ttl_s {
            let requirement =
                "multiplied by lease_s must be at least 1.5 times the time to live of a \
                 controller's lease";
            return invalid("quiet-leases", requirement);
        }
        if lease_ttl_s > worker_lease_s.max(2.0) {
            // Workers of a failed controller would stop their tasks before another controller
            // could take over its shard.
            let requirement = "must not make a controller's lease longer than a worker's lease";
            return invalid("member-leases", requirement);
        }
        // Every controller renews its lease five times within its time to live. Half of the
        // rate limit is left to other requests.
        let renewals_per_s = 5.0 * self.cluster.nodes as f64 / lease_ttl_s;
        if renewals_per_s > self.cluster.state.rps / 2.0 {
            let requirement =
                "must be at least twice the rate at which cluster.nodes controllers renew leases";
            return invalid("cluster.state.rps", requirement);
        }
        Ok(())
    }

    /// The team with this name; `None` if the settings list no such team.
    pub fn team(&self, name: &str) -> Option<&Team> {
        self.cluster.teams.iter().find(|team| team.name == name)
    }
}
