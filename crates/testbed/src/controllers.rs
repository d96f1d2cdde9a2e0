//! Real controller processes, killed, paused and started again.

use crate::site::Site;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use tokio::process::{Child, Command};

/// Where one controller listens, and where it finds the state service.
#[derive(Debug, Clone)]
pub struct Place {
    pub name: String,
    pub zone: String,
    pub front: SocketAddr,
    pub mesh: SocketAddr,
    /// Where it reaches each controller.
    pub links: Vec<SocketAddr>,
    /// The operators' API.
    pub admin: SocketAddr,
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

/// A controller's settings file, as DEPLOY describes it.
fn settings(site: &Site, places: &[Place], at: usize, cloud: SocketAddr) -> String {
    use toml::{Table, Value};
    let table = |pairs: Vec<(&str, Value)>| -> Value {
        let pairs = pairs.into_iter().map(|(k, v)| (k.to_string(), v));
        Value::Table(pairs.collect::<Table>())
    };
    let text = |s: &dyn std::fmt::Display| Value::String(s.to_string());
    let me = &places[at];
    let others = places
        .iter()
        .zip(&me.links)
        .filter(|(p, _)| p.name != me.name);
    let peers = others.map(|(p, link)| {
        let addr = text(link);
        table(vec![
            ("host_name", text(&p.name)),
            ("site", text(&p.zone)),
            ("addr", addr),
        ])
    });
    let teams = site.teams.iter().map(|t| {
        table(vec![
            ("name", text(&t.name)),
            ("cpus", t.cpus.into()),
            ("cpus_max", t.cpus_max.into()),
        ])
    });
    let zones = site.zones.iter().map(|z| text(z)).collect();
    let cluster = table(vec![
        ("nodes", Value::Integer(places.len() as i64)),
        ("zones", Value::Array(zones)),
        ("time_bound_ms", 5.0.into()),
        ("teams", Value::Array(teams.collect())),
        (
            "workers",
            Value::try_from(&site.workers).unwrap_or(Value::Boolean(false)),
        ),
        (
            "state",
            Value::try_from(&site.state).unwrap_or(Value::Boolean(false)),
        ),
        (
            "cloud",
            Value::try_from(&site.cloud).unwrap_or(Value::Boolean(false)),
        ),
        (
            "quota",
            table(vec![
                ("cpu", 1.0.into()),
                ("memory_mb", 256.0.into()),
                ("max_sockets", Value::Integer(1000)),
            ]),
        ),
    ]);
    let all = table(vec![
        ("host_name", text(&me.name)),
        ("site", text(&me.zone)),
        ("front", text(&me.front)),
        ("mesh_addr", text(&me.mesh)),
        ("peers", Value::Array(peers.collect())),
        (
            "services",
            table(vec![("cloud", text(&cloud)), ("state", text(&me.state))]),
        ),
        ("cluster", cluster),
    ]);
    toml::to_string(&all).unwrap_or_default()
}

impl Controller {
    /// Writes its settings into `dir`; nothing is started yet.
    pub fn new(
        program: &Path,
        dir: &Path,
        site: &Site,
        places: &[Place],
        at: usize,
        cloud: SocketAddr,
    ) -> std::io::Result<Controller> {
        let path = dir.join(format!("{}.toml", places[at].name));
        std::fs::write(&path, settings(site, places, at, cloud))?;
        let policy = dir.join(format!("{}.lexpr", places[at].name));
        std::fs::write(&policy, format!("((admin \"{}\"))\n", places[at].admin))?;
        Ok(Controller {
            program: program.to_path_buf(),
            settings: path,
            policy,
            log: dir.join(format!("{}.log", places[at].name)),
            child: None,
        })
    }

    /// Starts the process; its log goes on in one file.
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

    /// Whether the process runs; one that ended by itself is a finding.
    pub fn runs(&mut self) -> bool {
        match &mut self.child {
            Some(child) => matches!(child.try_wait(), Ok(None)),
            None => false,
        }
    }

    /// Kills it without a word.
    pub async fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill().await;
        }
    }

    /// Stops it where it is, or lets it go on.
    pub async fn pause(&self, stand_still: bool) {
        let pid = self.child.as_ref().and_then(Child::id);
        if let Some(pid) = pid {
            let signal = if stand_still { "-STOP" } else { "-CONT" };
            let sent = Command::new("kill")
                .arg(signal)
                .arg(pid.to_string())
                .status();
            let _ = sent.await;
        }
    }

    /// What it logged last.
    pub fn last_words(&self) -> String {
        let log = std::fs::read_to_string(&self.log).unwrap_or_default();
        let lines: Vec<&str> = log.lines().rev().take(5).collect();
        lines.into_iter().rev().collect::<Vec<_>>().join("\n")
    }
}
