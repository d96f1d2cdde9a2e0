//! The controllers as processes of their own, the links between them, and the users.

use crate::http::{self, Answer};
use crate::json::{f, n, obj, parse, s, Json};
use crate::machines::{Description, World};
use crate::site::{self, Node};
use crate::state::{Port, State};
use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::CommandExt;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, value: u64) -> i32;
}

pub const SIGSTOP: i32 = 19;
pub const SIGCONT: i32 = 18;
const SIGKILL: u64 = 9;
const PR_SET_PDEATHSIG: i32 = 1;

/// The link from one controller to another: a proxy that can be cut.
struct Link {
    from: usize,
    to: usize,
    cut: Arc<AtomicBool>,
}

fn start_link(to: SocketAddr) -> (SocketAddr, Arc<AtomicBool>) {
    let (listener, addr) = http::listen();
    let cut = Arc::new(AtomicBool::new(false));
    let own = cut.clone();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let cut = own.clone();
            std::thread::spawn(move || relay(stream, to, &cut));
        }
    });
    (addr, cut)
}

fn relay(near: TcpStream, to: SocketAddr, cut: &Arc<AtomicBool>) -> Option<()> {
    while cut.load(Ordering::SeqCst) {
        std::thread::sleep(Duration::from_millis(50));
    }
    let far = TcpStream::connect(to).ok()?;
    let _ = (near.set_nodelay(true), far.set_nodelay(true));
    let (near2, far2, cut2) = (near.try_clone().ok()?, far.try_clone().ok()?, cut.clone());
    std::thread::spawn(move || copy(far2, near2, &cut2));
    copy(near, far, cut);
    Some(())
}

/// Copies bytes until the cut; what arrives during the cut is lost with its connection.
fn copy(mut from: TcpStream, mut to: TcpStream, cut: &AtomicBool) {
    let mut buffer = [0; 16384];
    while let Ok(count) = from.read(&mut buffer) {
        if cut.load(Ordering::SeqCst) {
            while cut.load(Ordering::SeqCst) {
                std::thread::sleep(Duration::from_millis(50));
            }
            break;
        }
        if count == 0 || to.write_all(&buffer[..count]).is_err() {
            break;
        }
    }
    let _ = from.shutdown(std::net::Shutdown::Both);
    let _ = to.shutdown(std::net::Shutdown::Both);
}

pub struct Cluster {
    pub world: Arc<World>,
    pub state: Arc<State>,
    pub nodes: Vec<Node>,
    pub ports: Vec<Arc<Port>>,
    links: Vec<Link>,
    program: Vec<String>,
    dir: String,
    children: Mutex<Vec<Option<Child>>>,
    /// Hold the ports of controllers that were not started yet.
    reserved: Mutex<HashMap<usize, [TcpListener; 2]>>,
}

impl Cluster {
    /// Starts the stand-ins. `program` is the command of the deploy file.
    pub fn start(world: Arc<World>, program: Vec<String>, dir: &str) -> Cluster {
        let site = world.site.clone();
        let state = State::start(&site);
        let cloud = world.start_cloud();
        let count = site.controllers.len();
        let mut ports = Vec::new();
        let mut reserved = HashMap::new();
        let mut nodes: Vec<Node> = (0..count)
            .map(|i| {
                let (addr, port) = state.port();
                ports.push(port);
                let ((front_port, front), (mesh_port, mesh)) = (http::listen(), http::listen());
                reserved.insert(i, [front_port, mesh_port]);
                Node {
                    name: format!("berth-{i}"),
                    front,
                    mesh,
                    state: addr,
                    links: Vec::new(),
                }
            })
            .collect();
        let mut links = Vec::new();
        for from in 0..count {
            for to in 0..count {
                let (addr, cut) = start_link(nodes[to].mesh);
                nodes[from].links.push(addr);
                links.push(Link { from, to, cut });
            }
        }
        for i in 0..count {
            let text = site::settings(&site, &nodes, i, cloud);
            std::fs::write(format!("{dir}/{}.toml", nodes[i].name), text).expect("settings");
        }
        *world.fronts.lock().unwrap() = nodes
            .iter()
            .map(|node| (node.name.clone(), node.front))
            .collect();
        Cluster {
            world,
            state,
            nodes,
            ports,
            links,
            program,
            dir: dir.into(),
            children: Mutex::new((0..count).map(|_| None).collect()),
            reserved: Mutex::new(reserved),
        }
    }

    /// Starts the controllers.
    pub fn spawn_all(&self) {
        (0..self.nodes.len()).for_each(|i| self.spawn(i));
    }

    pub fn spawn(&self, index: usize) {
        drop(self.reserved.lock().unwrap().remove(&index));
        let name = &self.nodes[index].name;
        let log = std::fs::File::options()
            .create(true)
            .append(true)
            .open(format!("{}/{name}.log", self.dir))
            .expect("a log file");
        let mut command = Command::new(&self.program[0]);
        command
            .args(&self.program[1..])
            .arg(format!("{}/{name}.toml", self.dir))
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log);
        // The controller ends with this process, however this process ends.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL);
                Ok(())
            });
        }
        let child = command.spawn().expect("the controller's program starts");
        self.world
            .record
            .say(format!("controller {name} started, process {}", child.id()));
        self.children.lock().unwrap()[index] = Some(child);
    }

    pub fn signal(&self, index: usize, signal: i32) {
        if let Some(child) = &self.children.lock().unwrap()[index] {
            self.world
                .record
                .say(format!("signal {signal} to {}", self.nodes[index].name));
            unsafe { kill(child.id() as i32, signal) };
        }
    }

    pub fn stop(&self, index: usize) {
        if let Some(mut child) = self.children.lock().unwrap()[index].take() {
            let _ = child.kill();
            let _ = child.wait();
            self.world
                .record
                .say(format!("controller {} ended", self.nodes[index].name));
        }
    }

    pub fn end(&self) {
        (0..self.nodes.len()).for_each(|i| self.stop(i));
    }

    /// Names of controllers that ended by themselves.
    pub fn ended_by_themselves(&self) -> Vec<String> {
        let mut children = self.children.lock().unwrap();
        let mut ended = Vec::new();
        for (i, child) in children.iter_mut().enumerate() {
            if let Some(child) = child {
                if !matches!(child.try_wait(), Ok(None)) {
                    ended.push(self.nodes[i].name.clone());
                }
            }
        }
        ended
    }

    /// Cuts a controller off from the other controllers and from the state service, or ends the cut.
    pub fn cut_from_state_and_peers(&self, index: usize, cut: bool) {
        let name = &self.nodes[index].name;
        self.world.record.say(format!(
            "{name}: cut from state service and controllers: {cut}"
        ));
        self.ports[index].cut.store(cut, Ordering::SeqCst);
        for link in self
            .links
            .iter()
            .filter(|l| l.from == index || l.to == index)
        {
            link.cut.store(cut, Ordering::SeqCst);
        }
    }

    /// The controller that leads: the one that last answered a worker's report with 200.
    pub fn leader(&self) -> Option<usize> {
        *self.world.leader.lock().unwrap()
    }

    /// Waits until all controllers are up.
    pub fn wait_until_up(&self, limit_s: f64) -> bool {
        while self.world.record.now() < limit_s {
            let up = self.nodes.iter().all(|node| {
                http::call(node.front, "GET", "/up", "", 1.0).is_some_and(|a| a.status == 200)
            });
            if !self.ended_by_themselves().is_empty() {
                return false;
            }
            if up {
                self.world.record.say("all controllers are up");
                return true;
            }
            std::thread::sleep(Duration::from_millis(200));
        }
        false
    }
}

/// A job as a user submits it.
#[derive(Clone)]
pub struct Job {
    pub id: String,
    pub queue: &'static str,
    pub owner: &'static str,
    pub urgency: &'static str,
    pub shards: u64,
    pub cpus: f64,
    pub memory_gb: f64,
    pub flavors: Option<Vec<String>>,
    pub site: Option<&'static str>,
    pub expected_s: f64,
    pub run_s: fn(u64) -> f64,
}

impl Job {
    pub fn new(
        number: u64,
        shards: u64,
        cpus: f64,
        memory_gb: f64,
        expected_s: f64,
        run_s: fn(u64) -> f64,
    ) -> Job {
        Job {
            id: format!("run-{number:06}"),
            queue: "reminder-fanout",
            owner: "gateway-ops",
            urgency: "standard",
            shards,
            cpus,
            memory_gb,
            flavors: None,
            site: None,
            expected_s,
            run_s,
        }
    }

    fn body(&self) -> String {
        let flavors = self
            .flavors
            .as_ref()
            .map_or(Json::Null, |f| Json::Arr(f.iter().map(s).collect()));
        obj(vec![
            ("name_id", s(&self.id)),
            ("queue", s(self.queue)),
            ("owner", s(self.owner)),
            ("shape", s("sweep")),
            ("urgency", s(self.urgency)),
            ("shards", n(self.shards)),
            ("cpus", f(self.cpus)),
            ("cards", f(0.0)),
            ("memory_gb", f(self.memory_gb)),
            ("bundle", s("img-01")),
            ("image_gb", f(0.2)),
            ("flavors", flavors),
            ("site", self.site.map_or(Json::Null, s)),
            ("together", Json::Bool(false)),
            ("scatter", Json::Bool(false)),
            ("standby", Json::Bool(true)),
            ("expected_s", f(self.expected_s)),
            ("save_every_s", f(0.0)),
            ("save_cost_s", f(0.0)),
            ("due_s", Json::Null),
        ])
        .text()
    }
}

impl Cluster {
    /// Uploads the description for the workers, and submits the job at one controller, with
    /// retries at the others for up to 60 s. True if it was accepted.
    pub fn submit(&self, job: &Job, first: usize) -> bool {
        let description = Description {
            cpus: job.cpus,
            memory_gb: job.memory_gb,
            image: "img-01".into(),
            image_gb: 0.2,
            run_s: job.run_s,
        };
        self.world
            .descriptions
            .lock()
            .unwrap()
            .insert(job.id.clone(), description);
        let body = job.body();
        let start = self.world.record.now();
        let mut node = first;
        while self.world.record.now() - start < 60.0 {
            let answer = http::call(self.nodes[node].front, "POST", "/work", &body, 5.0);
            self.say(
                &format!(
                    "user: submit {} ({} bytes) at {}",
                    job.id,
                    body.len(),
                    self.nodes[node].name
                ),
                &answer,
            );
            match answer.map(|a| a.status) {
                Some(200 | 201) => return true,
                Some(400 | 422) => return false,
                _ => std::thread::sleep(Duration::from_secs(1)),
            }
            node = (node + 1) % self.nodes.len();
        }
        false
    }

    /// One poll. Returns the status of the job; `None` without an answer of 200 or 404.
    pub fn poll(&self, id: &str, node: usize) -> Option<String> {
        let answer = http::call(
            self.nodes[node].front,
            "GET",
            &format!("/work/{id}"),
            "",
            2.0,
        );
        self.say(
            &format!("user: poll {id} at {}", self.nodes[node].name),
            &answer,
        );
        let answer = answer?;
        match answer.status {
            200 => Some(parse(&answer.body)?.get("status").str().to_string()),
            404 => Some("404".into()),
            _ => None,
        }
    }

    /// Polls at all controllers in turn until the job has this status or the time is over.
    pub fn wait_for(&self, id: &str, status: &str, until: f64, every_s: f64) -> bool {
        let mut node = 0;
        while self.world.record.now() < until {
            if self.poll(id, node).as_deref() == Some(status) {
                return true;
            }
            node = (node + 1) % self.nodes.len();
            std::thread::sleep(Duration::from_secs_f64(every_s));
        }
        false
    }

    /// One request to cancel. Returns the status in the answer.
    pub fn cancel(&self, id: &str, node: usize) -> Option<String> {
        let path = format!("/work/{id}/cancel");
        let answer = http::call(self.nodes[node].front, "POST", &path, "", 5.0);
        self.say(
            &format!("user: cancel {id} at {}", self.nodes[node].name),
            &answer,
        );
        let answer = answer.filter(|a| a.status == 200)?;
        Some(parse(&answer.body)?.get("status").str().to_string())
    }

    fn say(&self, what: &str, answer: &Option<Answer>) {
        let answer = match answer {
            Some(a) => format!("{} {}", a.status, a.body),
            None => "no answer".into(),
        };
        self.world.record.say(format!("{what}: {answer}"));
    }
}
