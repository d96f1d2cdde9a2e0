//! The platform's settings file (TOML). Unknown fields are ignored; a missing,
//! malformed or contradictory one is named in the error.

use super::policy::Policy;
use serde::{Deserialize, Serialize};
use std::collections::HashSet;
use std::net::SocketAddr;

/// Another controller.
#[derive(Deserialize, Clone, Debug)]
pub struct Peer {
    #[serde(rename = "host_name")]
    pub name: String,
    #[serde(rename = "site")]
    pub zone: String,
    pub addr: SocketAddr,
}

/// Outside services.
#[derive(Deserialize, Clone, Debug)]
pub struct Services {
    pub cloud: SocketAddr,
    pub state: SocketAddr,
}

/// A team's guarantee and limit; 0 means none.
#[derive(Serialize, Deserialize, Clone, Debug, PartialEq)]
pub struct Team {
    pub name: String,
    #[serde(default)]
    pub cpus: f64,
    #[serde(default)]
    pub cpus_max: f64,
    #[serde(default)]
    pub gpus: f64,
    #[serde(default)]
    pub gpus_max: f64,
}

/// What is expected of a class of jobs.
#[derive(Serialize, Deserialize, Clone, Debug, Default, PartialEq)]
pub struct Objective {
    pub kind: String,
    #[serde(default)]
    pub class: Option<String>,
    #[serde(default)]
    pub share: Option<f64>,
    #[serde(default)]
    pub times: Option<f64>,
    #[serde(default)]
    pub within_s: Option<f64>,
}

/// Workers' intervals.
#[derive(Deserialize, Clone, Debug)]
pub struct Workers {
    pub report_s: f64,
    pub lease_s: f64,
    pub cancel_s: f64,
}

/// Limits of the state service.
#[derive(Deserialize, Clone, Debug)]
pub struct StateLimits {
    pub rps: f64,
    pub write_rps: f64,
    pub value_kb: f64,
    pub txn_ops: usize,
}

/// Limits of the cloud.
#[derive(Deserialize, Clone, Debug)]
pub struct CloudLimits {
    pub rps: f64,
    pub list_lag_s: f64,
}

/// What a controller may use.
#[derive(Deserialize, Clone, Debug)]
pub struct Quota {
    pub cpu: f64,
    pub memory_mb: f64,
    pub max_sockets: usize,
}

/// The cluster.
#[derive(Deserialize, Clone, Debug)]
pub struct Cluster {
    pub nodes: usize,
    pub zones: Vec<String>,
    pub time_bound_ms: f64,
    #[serde(default)]
    pub teams: Vec<Team>,
    #[serde(default)]
    pub objectives: Vec<Objective>,
    pub workers: Workers,
    pub state: StateLimits,
    pub cloud: CloudLimits,
    pub quota: Quota,
}

/// The whole file.
#[derive(Deserialize, Clone, Debug)]
pub struct Settings {
    pub host_name: String,
    #[serde(rename = "site")]
    pub zone: String,
    pub front: SocketAddr,
    pub mesh_addr: SocketAddr,
    #[serde(default)]
    pub peers: Vec<Peer>,
    pub services: Services,
    pub cluster: Cluster,
}

/// Why settings are not usable.
#[derive(thiserror::Error, Debug)]
pub enum SettingsError {
    #[error("settings: {0}")]
    Malformed(String),
    #[error("settings: {field}: {why}")]
    Field { field: String, why: String },
}

fn bad<T>(field: &str, why: &str) -> Result<T, SettingsError> {
    Err(SettingsError::Field {
        field: field.into(),
        why: why.into(),
    })
}

impl Settings {
    /// Reads and checks the file's text.
    pub fn parse(text: &str) -> Result<Settings, SettingsError> {
        let settings: Settings = toml::from_str(text)
            .map_err(|e| SettingsError::Malformed(e.to_string().trim().replace('\n', " ")))?;
        settings.check()?;
        Ok(settings)
    }

    fn check(&self) -> Result<(), SettingsError> {
        let c = &self.cluster;
        let positive = [
            ("cluster.workers.report_s", c.workers.report_s),
            ("cluster.workers.lease_s", c.workers.lease_s),
            ("cluster.workers.cancel_s", c.workers.cancel_s),
            ("cluster.state.rps", c.state.rps),
            ("cluster.state.write_rps", c.state.write_rps),
            ("cluster.state.value_kb", c.state.value_kb),
            ("cluster.cloud.rps", c.cloud.rps),
            ("cluster.cloud.list_lag_s", c.cloud.list_lag_s),
            ("cluster.quota.cpu", c.quota.cpu),
            ("cluster.quota.memory_mb", c.quota.memory_mb),
        ];
        for (field, value) in positive {
            if !value.is_finite() || value <= 0.0 {
                return bad(field, "is not above 0");
            }
        }
        if !c.time_bound_ms.is_finite() || c.time_bound_ms < 0.0 {
            return bad("cluster.time_bound_ms", "is negative");
        }
        if c.workers.lease_s <= c.workers.report_s {
            return bad("cluster.workers.lease_s", "is not above report_s");
        }
        // An owner may answer workers on what it knows of cancellations for as long as
        // `cancel_s` leaves beside a lease (`leadership::cover`): less than a report and
        // nobody would be answered.
        let least = 1.05 * (c.workers.lease_s + c.workers.report_s);
        if c.workers.cancel_s < least {
            let why = format!("is below 1.05 times lease_s and report_s together, {least:.2}");
            return bad("cluster.workers.cancel_s", &why);
        }
        if c.state.txn_ops < 4 {
            return bad("cluster.state.txn_ops", "is below 4");
        }
        if c.quota.max_sockets < 32 {
            return bad("cluster.quota.max_sockets", "is below 32");
        }
        if self.host_name.is_empty() || self.host_name.contains(char::is_whitespace) {
            return bad("host_name", "is empty or holds spaces");
        }
        if self.front == self.mesh_addr {
            return bad("mesh_addr", "is the same as front");
        }
        if c.nodes != self.peers.len() + 1 {
            return bad("cluster.nodes", "does not match the number of peers");
        }
        self.check_places()?;
        self.check_objectives()?;
        let mut names = HashSet::new();
        for team in &c.teams {
            if team.name.is_empty() || !names.insert(&team.name) {
                return bad("cluster.teams.name", "is empty or named twice");
            }
            for (field, min, max) in [
                ("cluster.teams.cpus", team.cpus, team.cpus_max),
                ("cluster.teams.gpus", team.gpus, team.gpus_max),
            ] {
                if min.is_nan() || max.is_nan() || min < 0.0 || max < 0.0 {
                    return bad(field, "is negative or no number");
                }
                if max > 0.0 && min > max {
                    return bad(field, "is above the team's limit");
                }
            }
        }
        Ok(())
    }

    /// Zones and addresses: each once, and none that nobody else knows of.
    fn check_places(&self) -> Result<(), SettingsError> {
        let zones: HashSet<&str> = self.cluster.zones.iter().map(String::as_str).collect();
        if zones.is_empty() || zones.len() < self.cluster.zones.len() {
            return bad("cluster.zones", "is empty or names a zone twice");
        }
        if !zones.contains(&*self.zone) {
            return bad("site", "is none of cluster.zones");
        }
        let mut names = HashSet::from([self.host_name.as_str()]);
        let mut addrs = HashSet::from([self.mesh_addr, self.front]);
        for peer in &self.peers {
            if !names.insert(&peer.name) {
                return bad("peers.host_name", "names a controller twice");
            }
            if !addrs.insert(peer.addr) {
                return bad("peers.addr", "is another controller's or our own");
            }
            if !zones.contains(&*peer.zone) {
                return bad("peers.site", "is none of cluster.zones");
            }
        }
        Ok(())
    }

    fn check_objectives(&self) -> Result<(), SettingsError> {
        for aim in &self.cluster.objectives {
            if aim.share.is_some_and(|s| !(0.0..=1.0).contains(&s)) {
                return bad("cluster.objectives.share", "is not within 0 and 1");
            }
            for (field, value) in [
                ("cluster.objectives.times", aim.times),
                ("cluster.objectives.within_s", aim.within_s),
            ] {
                if value.is_some_and(|v| !v.is_finite() || v <= 0.0) {
                    return bad(field, "is not above 0");
                }
            }
        }
        Ok(())
    }

    /// Whether the operators' own settings fit these: what each allows alone may
    /// be impossible together.
    pub fn check_policy(&self, policy: &Policy) -> Result<(), SettingsError> {
        let c = &self.cluster;
        if policy
            .admin
            .is_some_and(|a| a == self.front || a == self.mesh_addr)
        {
            return bad("admin", "is the users' or the controllers' address");
        }
        let lease_s = c.workers.lease_s;
        let life_s = policy.life_s(lease_s);
        if policy.quiet_leases * lease_s < 1.5 * life_s {
            let why = "ends before an owner's own lease, with half of it to spare, does";
            return bad("quiet-leases", why);
        }
        if life_s > lease_s.max(2.0) {
            let why = "lets a dead controller's share wait for longer than its workers live";
            return bad("member-leases", why);
        }
        // Each renews five times in a life; the state service has other work.
        if 5.0 * c.nodes as f64 / life_s > c.state.rps / 2.0 {
            let why = "is half used up by the leases of that many controllers";
            return bad("cluster.state.rps", why);
        }
        Ok(())
    }

    /// The team of this name.
    pub fn team(&self, name: &str) -> Option<&Team> {
        self.cluster.teams.iter().find(|t| t.name == name)
    }
}
