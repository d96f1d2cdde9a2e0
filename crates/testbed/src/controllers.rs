//! Real controller processes that can be killed, paused and restarted.

use crate::site::Site;
use serde::Serialize;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use tokio::process::{Child, Command};
use toml::Value;

/// The largest difference between the controllers' clocks, as their settings state it.
const CLOCK_BOUND_MS: f64 = 5.0;
/// How many last lines of a log are shown for a controller that is not running.
const LOG_TAIL_LINES: usize = 5;

/// The addresses at which one controller listens and those that it connects to.
#[derive(Debug, Clone)]
pub struct Endpoints {
    /// Host name of the controller.
    pub name: String,
    /// Zone of the controller.
    pub zone: String,
    /// Address at which it serves users and workers.
    pub front: SocketAddr,
    /// Address at which it listens for other controllers.
    pub mesh: SocketAddr,
    /// Addresses of the links to each controller, by controller index.
    pub links: Vec<SocketAddr>,
    /// Address at which it serves operators.
    pub admin: SocketAddr,
    /// Address of its server of the state service.
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

/// Makes a TOML table.
fn table<const N: usize>(pairs: [(&str, Value); N]) -> Value {
    let pairs = pairs.into_iter().map(|(key, value)| (key.into(), value));
    Value::Table(pairs.collect())
}

fn text(value: impl std::fmt::Display) -> Value {
    Value::String(value.to_string())
}

/// Converts a section of the site to TOML without changes.
fn section(section: impl Serialize) -> Value {
    Value::try_from(section).unwrap_or(Value::Boolean(false))
}

/// The text of a controller's settings file, as the deploy guide describes the format.
fn settings(site: &Site, endpoints: &[Endpoints], index: usize, cloud: SocketAddr) -> String {
    let own = &endpoints[index];
    let settings = table([
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
    toml::to_string(&settings).unwrap_or_default()
}

/// The other controllers, each with the address of the link to it.
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
    let teams = site.teams.iter().map(section);
    table([
        ("nodes", Value::Integer(controllers as i64)),
        ("zones", Value::Array(zones.collect())),
        ("time_bound_ms", CLOCK_BOUND_MS.into()),
        ("teams", Value::Array(teams.collect())),
        ("workers", section(&site.workers)),
        ("state", section(&site.state)),
        ("cloud", section(&site.cloud)),
        ("quota", quota()),
    ])
}

/// The resource limits of a controller.
fn quota() -> Value {
    table([
        ("cpu", 1.0.into()),
        ("memory_mb", 256.0.into()),
        ("max_sockets", Value::Integer(1000)),
    ])
}

impl Controller {
    /// Writes the settings and the policy of the controller `index` to `dir`, without starting it.
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

    /// Starts the process. Its log is appended to the same file at each start.
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

    /// Suspends the process (SIGSTOP).
    pub async fn pause(&self) {
        self.signal("-STOP").await;
    }

    /// Resumes a suspended process (SIGCONT).
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

    /// The last lines of the log.
    pub fn log_tail(&self) -> String {
        let log = std::fs::read_to_string(&self.log).unwrap_or_default();
        let lines: Vec<&str> = log.lines().collect();
        let tail = lines.len().saturating_sub(LOG_TAIL_LINES);
        lines[tail..].join("\n")
    }
}
