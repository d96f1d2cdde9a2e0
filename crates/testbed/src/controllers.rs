//! Real controller processes, killed, paused and started again.

use crate::site::Site;
use serde::Serialize;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use tokio::process::{Child, Command};
use toml::Value;

/// How far the controllers' clocks may be apart, in milliseconds.
const CLOCK_BOUND_MS: f64 = 5.0;
/// How many lines of a log are shown of a controller that ended.
const LOG_TAIL_LINES: usize = 5;

/// Where one controller listens, and where it reaches the others and the state service.
#[derive(Debug, Clone)]
pub struct Endpoints {
    /// Its host name.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// Where it serves users and workers.
    pub front: SocketAddr,
    /// Where it listens for other controllers.
    pub mesh: SocketAddr,
    /// Where it reaches each controller, by index.
    pub links: Vec<SocketAddr>,
    /// Where it serves operators.
    pub admin: SocketAddr,
    /// Where it reaches the state service.
    pub state: SocketAddr,
}

/// One controller process.
pub struct Controller {
    program: PathBuf,
    settings: PathBuf,
    policy: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

/// A TOML table.
fn table<const N: usize>(pairs: [(&str, Value); N]) -> Value {
    let pairs = pairs.into_iter().map(|(key, value)| (key.into(), value));
    Value::Table(pairs.collect())
}

fn text(value: impl std::fmt::Display) -> Value {
    Value::String(value.to_string())
}

/// A part of the site as it stands.
fn part(part: impl Serialize) -> Value {
    Value::try_from(part).unwrap_or(Value::Boolean(false))
}

/// A controller's settings file, as the deploy guide describes it.
fn settings(site: &Site, endpoints: &[Endpoints], index: usize, cloud: SocketAddr) -> String {
    let own = &endpoints[index];
    let all = table([
        ("host_name", text(&own.name)),
        ("site", text(&own.zone)),
        ("front", text(own.front)),
        ("mesh_addr", text(own.mesh)),
        ("peers", peers(endpoints, own)),
        (
            "services",
            table([("cloud", text(cloud)), ("state", text(own.state))]),
        ),
        ("cluster", cluster(site, endpoints.len())),
    ]);
    toml::to_string(&all).unwrap_or_default()
}

/// The other controllers, each behind the link that leads to it.
fn peers(endpoints: &[Endpoints], own: &Endpoints) -> Value {
    let others = endpoints
        .iter()
        .zip(&own.links)
        .filter(|(other, _)| other.name != own.name);
    let peers = others.map(|(other, link)| {
        table([
            ("host_name", text(&other.name)),
            ("site", text(&other.zone)),
            ("addr", text(link)),
        ])
    });
    Value::Array(peers.collect())
}

fn cluster(site: &Site, controllers: usize) -> Value {
    let zones = site.zones.iter().map(text);
    let teams = site.teams.iter().map(part);
    table([
        ("nodes", Value::Integer(controllers as i64)),
        ("zones", Value::Array(zones.collect())),
        ("time_bound_ms", CLOCK_BOUND_MS.into()),
        ("teams", Value::Array(teams.collect())),
        ("workers", part(&site.workers)),
        ("state", part(&site.state)),
        ("cloud", part(&site.cloud)),
        ("quota", quota()),
    ])
}

/// The resources that a controller may use.
fn quota() -> Value {
    table([
        ("cpu", 1.0.into()),
        ("memory_mb", 256.0.into()),
        ("max_sockets", Value::Integer(1000)),
    ])
}

impl Controller {
    /// Writes the settings of the controller `index` into `dir`; nothing is started yet.
    ///
    /// # Errors
    ///
    /// If a file cannot be written.
    pub fn new(
        program: &Path,
        dir: &Path,
        site: &Site,
        endpoints: &[Endpoints],
        index: usize,
        cloud: SocketAddr,
    ) -> std::io::Result<Controller> {
        let own = &endpoints[index];
        let file = |extension: &str| dir.join(format!("{}.{extension}", own.name));
        let controller = Controller {
            program: program.to_path_buf(),
            settings: file("toml"),
            policy: file("lexpr"),
            log: file("log"),
            child: None,
        };
        let settings = settings(site, endpoints, index, cloud);
        std::fs::write(&controller.settings, settings)?;
        let policy = format!("((admin \"{}\"))\n", own.admin);
        std::fs::write(&controller.policy, policy)?;
        Ok(controller)
    }

    /// Starts the process; its log is appended to one file.
    ///
    /// # Errors
    ///
    /// If the log cannot be opened or the program does not start.
    pub fn start(&mut self) -> std::io::Result<()> {
        let log = std::fs::File::options()
            .create(true)
            .append(true)
            .open(&self.log)?;
        let child = Command::new(&self.program)
            .arg("--config")
            .arg(&self.settings)
            .arg("--policy")
            .arg(&self.policy)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .kill_on_drop(true)
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    /// Whether the process runs.
    pub fn is_running(&mut self) -> bool {
        match &mut self.child {
            Some(child) => matches!(child.try_wait(), Ok(None)),
            None => false,
        }
    }

    /// Kills the process.
    pub async fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill().await;
        }
    }

    /// Stops the process where it is.
    pub async fn pause(&self) {
        self.signal("-STOP").await;
    }

    /// Lets a paused process go on.
    pub async fn resume(&self) {
        self.signal("-CONT").await;
    }

    async fn signal(&self, signal: &str) {
        let Some(pid) = self.child.as_ref().and_then(Child::id) else {
            return;
        };
        let mut kill = Command::new("kill");
        let _ = kill.arg(signal).arg(pid.to_string()).status().await;
    }

    /// The last lines of its log.
    pub fn log_tail(&self) -> String {
        let log = std::fs::read_to_string(&self.log).unwrap_or_default();
        let lines: Vec<&str> = log.lines().collect();
        let tail = lines.len().saturating_sub(LOG_TAIL_LINES);
        lines[tail..].join("\n")
    }
}
