//! The controllers: the project's program, started with the command of the deploy file.

use crate::http;
use crate::record::Record;
use std::net::{SocketAddr, TcpListener};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, argument: u64, unused1: u64, unused2: u64, unused3: u64) -> i32;
}

const PR_SET_PDEATHSIG: i32 = 1;
const SIGKILL: u64 = 9;

const SIGCONT: i32 = 18;
const SIGSTOP: i32 = 19;

/// A deployment's settings below `[cluster]`, and the zone of each controller.
pub struct Site {
    pub name: &'static str,
    pub zones: Vec<&'static str>,
    /// Text of the settings file from `[cluster]` on.
    pub cluster: String,
}

struct Controller {
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

#[derive(Clone)]
pub struct Cluster {
    pub names: Vec<String>,
    pub fronts: Vec<SocketAddr>,
    program: Vec<String>,
    controllers: Arc<Mutex<Vec<Controller>>>,
    record: Record,
}

/// The words of `run` in the deploy file.
fn run_command(root: &Path) -> Option<Vec<String>> {
    let text = std::fs::read_to_string(root.join("deploy/service.toml")).ok()?;
    let line = text
        .lines()
        .find(|line| line.trim_start().starts_with("run"))?;
    let value = line.split_once('=')?.1.trim().trim_matches('"');
    Some(value.split_whitespace().map(str::to_string).collect())
}

/// Free loopback addresses. The listeners are dropped together, so that no address comes twice.
pub fn free_addrs(count: usize) -> Vec<SocketAddr> {
    let listeners: Vec<TcpListener> = (0..count).map(|_| http::listen()).collect();
    listeners.iter().map(http::addr).collect()
}

/// What the settings files of a cluster name.
pub struct Places {
    pub fronts: Vec<SocketAddr>,
    pub meshes: Vec<SocketAddr>,
    pub state: Vec<SocketAddr>,
    pub cloud: SocketAddr,
}

impl Cluster {
    pub fn new(
        root: &Path,
        folder: &Path,
        site: &Site,
        places: &Places,
        record: Record,
    ) -> Option<Cluster> {
        let program = run_command(root)?;
        let names: Vec<String> = (0..places.fronts.len())
            .map(|n| format!("berth-{n}"))
            .collect();
        let zone = |n: usize| site.zones[n % site.zones.len()];
        let mut controllers = Vec::new();
        for n in 0..names.len() {
            let mut text = format!(
                "host_name = \"{}\"\nsite = \"{}\"\nfront = \"{}\"\nmesh_addr = \"{}\"\n\n",
                names[n],
                zone(n),
                places.fronts[n],
                places.meshes[n]
            );
            for (other, name) in names.iter().enumerate().filter(|(other, _)| *other != n) {
                text += &format!(
                    "[[peers]]\nhost_name = \"{name}\"\nsite = \"{}\"\naddr = \"{}\"\n\n",
                    zone(other),
                    places.meshes[other]
                );
            }
            text += &format!(
                "[services]\ncloud = \"{}\"\nstate = \"{}\"\n\n{}",
                places.cloud, places.state[n], site.cluster
            );
            let settings = folder.join(format!("{}.toml", names[n]));
            std::fs::write(&settings, text).ok()?;
            let log = folder.join(format!("{}.log", names[n]));
            controllers.push(Controller {
                settings,
                log,
                child: None,
            });
        }
        let program = program.into_iter().enumerate();
        let program = program.map(|(n, word)| match n {
            0 => root.join(word).display().to_string(),
            _ => word,
        });
        Some(Cluster {
            names,
            fronts: places.fronts.clone(),
            program: program.collect(),
            controllers: Arc::new(Mutex::new(controllers)),
            record,
        })
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Vec<Controller>> {
        self.controllers.lock().expect("no thread panics")
    }

    pub fn start(&self, n: usize) -> bool {
        let mut controllers = self.lock();
        let controller = &mut controllers[n];
        let log = std::fs::File::options()
            .create(true)
            .append(true)
            .open(&controller.log);
        let Ok(log) = log else { return false };
        let mut command = Command::new(&self.program[0]);
        command.args(&self.program[1..]).arg(&controller.settings);
        command
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log);
        // SAFETY: the call is a system call that changes the new process alone: it ends with this one,
        // however this one ends.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL, 0, 0, 0);
                Ok(())
            });
        }
        let child = command.spawn();
        controller.child = child.ok();
        self.record.line(format!("{} started", self.names[n]));
        controller.child.is_some()
    }

    /// Ends a controller without a warning.
    pub fn end(&self, n: usize) {
        if let Some(mut child) = self.lock()[n].child.take() {
            let _ = child.kill();
            let _ = child.wait();
            self.record.line(format!("{} killed", self.names[n]));
        }
    }

    pub fn end_all(&self) {
        for n in 0..self.names.len() {
            self.end(n);
        }
    }

    fn signal(&self, n: usize, signal: i32, what: &str) {
        if let Some(child) = &self.lock()[n].child {
            // SAFETY: `kill` takes two integers, and the process is a child that was not waited for.
            unsafe { kill(child.id() as i32, signal) };
            self.record.line(format!("{} {what}", self.names[n]));
        }
    }

    pub fn freeze(&self, n: usize) {
        self.signal(n, SIGSTOP, "stands still");
    }

    pub fn thaw(&self, n: usize) {
        self.signal(n, SIGCONT, "goes on");
    }

    /// Whether the controllers that were started still run.
    pub fn all_run(&self) -> bool {
        let mut controllers = self.lock();
        let mut children = controllers.iter_mut().filter_map(|c| c.child.as_mut());
        children.all(|child| matches!(child.try_wait(), Ok(None)))
    }

    /// A user's request to a controller, as the load balancer passes it on.
    pub fn ask(
        &self,
        n: usize,
        method: &str,
        path: &str,
        body: &str,
        timeout_s: f64,
    ) -> http::Reply {
        let begun = self.record.now();
        let reply = http::call(self.fronts[n], method, path, body, timeout_s);
        let shown = match &reply {
            Some((status, body)) => format!("{status} {body}"),
            None => "no answer".to_string(),
        };
        self.record.line(format!(
            "user, sent {begun:.3} to {}: {method} {path} -> {shown}",
            self.names[n]
        ));
        reply
    }
}
