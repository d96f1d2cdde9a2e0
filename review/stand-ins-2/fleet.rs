//! Machines with their workers, and the cloud that rents them.

use crate::http::{addr, listen, serve, Connection, Reply, Request};
use crate::json::{num, obj, text, Json};
use crate::record::Record;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// A machine type, as the cloud offers it.
#[derive(Clone)]
pub struct Flavor {
    pub name: &'static str,
    pub cpus: f64,
    pub memory_gb: f64,
    pub fetch_gb_per_s: f64,
    pub boot_s: f64,
    pub rate: f64,
    pub low_price: f64,
    pub sites: Vec<&'static str>,
}

/// A job's description, as its user uploaded it for the workers.
#[derive(Clone)]
pub struct Description {
    pub cpus: f64,
    pub memory_gb: f64,
    pub bundle: String,
    pub image_gb: f64,
    pub tasks: u32,
    pub save_every_s: f64,
    pub save_cost_s: f64,
    /// How long a task runs; it can also be ended with [`Fleet::complete`].
    pub run_s: f64,
}

/// A start that a machine carried out.
#[derive(Clone, Debug)]
pub struct Started {
    pub at: f64,
    pub task: String,
    pub attempt: u64,
    pub host: String,
}

#[derive(Clone, Copy, PartialEq, Debug)]
enum Phase {
    Pulling(Instant),
    Running(Instant),
    Saving(Instant),
    Exited(&'static str, Option<bool>),
}

struct Task {
    phase: Phase,
    cpus: f64,
    memory_gb: f64,
}

struct Machine {
    host: String,
    flavor: Flavor,
    site: String,
    endpoint: SocketAddr,
    up: bool,
    tenure: u64,
    serial: u64,
    epoch: u64,
    lease_from: Instant,
    tasks: BTreeMap<(String, u64), Task>,
    images: HashSet<String>,
    changed: bool,
    reported_at: Instant,
    /// The machine stands still until then.
    hung_until: Instant,
    /// Answers and direct calls do not reach the machine until then.
    deaf_until: Instant,
    /// Reports do not reach any controller until then.
    mute_until: Instant,
    /// The machine fails every task that it starts.
    sick: bool,
    /// The direct calls that the machine has carried out.
    carried_out: Vec<Json>,
}

impl Machine {
    /// The direct call that started this task here.
    fn call_with(&self, task: &str) -> Option<&Json> {
        let starts = |call: &&Json| {
            let orders = call.arr("orders");
            orders.iter().any(|order| order.str("shard") == Some(task))
        };
        self.carried_out.iter().find(starts)
    }
}

pub struct Times {
    pub report_s: f64,
    pub lease_s: f64,
}

struct Shared {
    flavors: Vec<Flavor>,
    times: Times,
    controllers: Vec<(String, SocketAddr)>,
    record: Record,
    machines: Mutex<BTreeMap<String, Machine>>,
    jobs: Mutex<HashMap<String, Description>>,
    starts: Mutex<Vec<Started>>,
    ends: Mutex<Vec<(f64, String, u64, String, String)>>,
    /// The controller that last answered a report with 200.
    steward: Mutex<Option<usize>>,
    rentals: Mutex<HashMap<String, Vec<String>>>,
    /// How many machines the cloud still has.
    left: Mutex<usize>,
    seed: Mutex<u64>,
}

#[derive(Clone)]
pub struct Fleet(Arc<Shared>);

const TICK: Duration = Duration::from_millis(10);
const ANSWER_TIMEOUT: Duration = Duration::from_secs(4);

impl Fleet {
    pub fn new(
        flavors: Vec<Flavor>,
        times: Times,
        controllers: Vec<(String, SocketAddr)>,
        record: Record,
    ) -> Fleet {
        Fleet(Arc::new(Shared {
            flavors,
            times,
            controllers,
            record,
            machines: Mutex::default(),
            jobs: Mutex::default(),
            starts: Mutex::default(),
            ends: Mutex::default(),
            steward: Mutex::default(),
            rentals: Mutex::default(),
            left: Mutex::new(0),
            seed: Mutex::new(0x9e37_79b9_7f4a_7c15),
        }))
    }

    fn machines(&self) -> MutexGuard<'_, BTreeMap<String, Machine>> {
        self.0.machines.lock().expect("no thread panics")
    }

    fn random(&self) -> f64 {
        let mut seed = self.0.seed.lock().expect("no thread panics");
        *seed ^= *seed << 13;
        *seed ^= *seed >> 7;
        *seed ^= *seed << 17;
        (*seed >> 11) as f64 / (1u64 << 53) as f64
    }

    pub fn upload(&self, job: &str, description: Description) {
        let mut jobs = self.0.jobs.lock().expect("no thread panics");
        jobs.insert(job.to_string(), description);
    }

    /// Adds a machine that is up, and returns its name.
    pub fn add(&self, flavor: &str, site: &str) -> String {
        self.add_machine(flavor, site, false)
    }

    /// Adds a machine that is up and fails every task that it starts.
    pub fn add_sick(&self, flavor: &str, site: &str) -> String {
        self.add_machine(flavor, site, true)
    }

    /// From now on no machine fails the tasks that it starts.
    pub fn heal(&self) {
        for machine in self.machines().values_mut() {
            machine.sick = false;
        }
        self.0.record.line("no machine is sick any more");
    }

    /// The machines that are up and have no task, with their CPUs.
    pub fn idle(&self) -> Vec<(String, f64)> {
        let machines = self.machines();
        let live = |m: &&Machine| {
            let mut tasks = m.tasks.values();
            m.up && tasks.all(|task| matches!(task.phase, Phase::Exited(..)))
        };
        let idle = machines.values().filter(live);
        idle.map(|m| (m.host.clone(), m.flavor.cpus)).collect()
    }

    fn add_machine(&self, flavor: &str, site: &str, sick: bool) -> String {
        let flavor = self.0.flavors.iter().find(|f| f.name == flavor);
        let flavor = flavor.expect("a known flavor").clone();
        let listener = listen();
        let endpoint = addr(&listener);
        let mut machines = self.machines();
        let host = format!("m-{:06}", machines.len() + 1);
        let now = Instant::now();
        machines.insert(
            host.clone(),
            Machine {
                host: host.clone(),
                flavor,
                site: site.to_string(),
                endpoint,
                up: true,
                tenure: 1,
                serial: 0,
                epoch: 0,
                lease_from: now,
                tasks: BTreeMap::new(),
                images: HashSet::new(),
                changed: true,
                reported_at: now,
                hung_until: now,
                deaf_until: now,
                mute_until: now,
                sick,
                carried_out: Vec::new(),
            },
        );
        drop(machines);
        let (fleet, name) = (self.clone(), host.clone());
        serve(
            listener,
            Arc::new(move |request| fleet.direct(&name, &request)),
        );
        let (fleet, name) = (self.clone(), host.clone());
        std::thread::spawn(move || fleet.report_forever(&name));
        let (fleet, name) = (self.clone(), host.clone());
        std::thread::spawn(move || loop {
            std::thread::sleep(TICK);
            if let Some(machine) = fleet.machines().get_mut(&name) {
                fleet.advance(machine);
            }
        });
        host
    }

    /// The starts so far.
    pub fn starts(&self) -> Vec<Started> {
        self.0.starts.lock().expect("no thread panics").clone()
    }

    /// The ends so far: time, task, attempt, machine and cause.
    pub fn ends(&self) -> Vec<(f64, String, u64, String, String)> {
        self.0.ends.lock().expect("no thread panics").clone()
    }

    /// The controller that last answered a report with 200.
    pub fn steward(&self) -> Option<usize> {
        *self.0.steward.lock().expect("no thread panics")
    }

    /// The tasks that run now, with their machines.
    pub fn running(&self) -> Vec<(String, String)> {
        let machines = self.machines();
        let running = machines.values().flat_map(|machine| {
            let tasks = machine.tasks.iter();
            let tasks = tasks.filter(|(_, task)| matches!(task.phase, Phase::Running(_)));
            tasks.map(|((task, _), _)| (task.clone(), machine.host.clone()))
        });
        running.collect()
    }

    /// Lets a running task complete now. Returns whether it ran.
    pub fn complete(&self, task: &str) -> bool {
        let mut machines = self.machines();
        for machine in machines.values_mut() {
            for ((name, _), state) in &mut machine.tasks {
                if name == task && matches!(state.phase, Phase::Running(_)) {
                    state.phase = Phase::Running(Instant::now());
                    return true;
                }
            }
        }
        false
    }

    pub fn hang(&self, host: &str, for_s: f64) {
        let until = Instant::now() + Duration::from_secs_f64(for_s);
        if let Some(machine) = self.machines().get_mut(host) {
            machine.hung_until = until;
        }
    }

    pub fn deafen(&self, host: &str, for_s: f64) {
        let until = Instant::now() + Duration::from_secs_f64(for_s);
        if let Some(machine) = self.machines().get_mut(host) {
            machine.deaf_until = until;
        }
    }

    pub fn mute(&self, host: &str, for_s: f64) {
        let until = Instant::now() + Duration::from_secs_f64(for_s);
        if let Some(machine) = self.machines().get_mut(host) {
            machine.mute_until = until;
        }
    }

    /// Restarts a machine, which is back at once. Its tasks and images are gone, its worker counts its
    /// sessions from 1, and keeps the highest token that it has seen.
    pub fn restart(&self, host: &str) {
        let mut machines = self.machines();
        let Some(machine) = machines.get_mut(host) else {
            return;
        };
        for ((task, attempt), state) in std::mem::take(&mut machine.tasks) {
            if !matches!(state.phase, Phase::Exited(..)) {
                self.ended(machine, &task, attempt, "machine restarted");
            }
        }
        machine.images.clear();
        machine.tenure = 1;
        machine.serial = 0;
        machine.lease_from = Instant::now();
        machine.changed = true;
        self.0
            .record
            .line(format!("{host} restarts, epoch {}", machine.epoch));
    }

    /// The machine loses the network.
    pub fn cut(&self, host: &str, for_s: f64) {
        self.deafen(host, for_s);
        self.mute(host, for_s);
        self.0.record.line(match for_s > 0.0 {
            true => format!("{host} loses the network for {for_s} s"),
            false => format!("{host} has the network back"),
        });
    }

    /// A copy of the direct call that started this task arrives at the machine once more.
    pub fn repeat_call(&self, host: &str, task: &str) {
        let mut machines = self.machines();
        let Some(machine) = machines.get_mut(host) else {
            return;
        };
        if !machine.up {
            return;
        }
        self.advance(machine);
        let Some(call) = machine.call_with(task).cloned() else {
            return;
        };
        let (epoch, tenure) = (
            call.u64("epoch").unwrap_or(0),
            call.u64("tenure").unwrap_or(0),
        );
        let valid = epoch >= machine.epoch && tenure == machine.tenure;
        let line = format!(
            "{host} gets a late copy of a direct call with epoch {epoch}, tenure {tenure}; it is in tenure {} and has seen epoch {}: {}",
            machine.tenure,
            machine.epoch,
            if valid { "carried out" } else { "409" }
        );
        self.0.record.line(line);
        if valid {
            self.execute(machine, call.arr("orders"), "late copy");
        }
    }

    /// This machine, and the next one that sent a report after its last one, if that was within `gap`.
    pub fn heard_within(&self, host: &str, gap: Duration) -> Vec<String> {
        let machines = self.machines();
        let Some(from) = machines.get(host).map(|machine| machine.reported_at) else {
            return Vec::new();
        };
        let later = machines.values().filter(|m| m.up && m.reported_at > from);
        let next = later.min_by_key(|machine| machine.reported_at);
        let next = next.filter(|machine| machine.reported_at - from <= gap);
        let hosts = next.map(|machine| vec![host.to_string(), machine.host.clone()]);
        hosts.unwrap_or_default()
    }

    /// Whether a direct call started this task there.
    pub fn was_called(&self, host: &str, task: &str) -> bool {
        let machines = self.machines();
        let machine = machines.get(host);
        machine.is_some_and(|machine| machine.call_with(task).is_some())
    }

    /// The session of a machine.
    pub fn tenure(&self, host: &str) -> u64 {
        self.machines()
            .get(host)
            .map_or(0, |machine| machine.tenure)
    }

    /// Ends the lease and the tasks that are due.
    fn advance(&self, machine: &mut Machine) {
        let now = Instant::now();
        if !machine.up || now < machine.hung_until {
            return;
        }
        let lease = Duration::from_secs_f64(self.0.times.lease_s);
        if now - machine.lease_from > lease {
            let tasks = std::mem::take(&mut machine.tasks);
            for ((task, attempt), state) in tasks {
                if !matches!(state.phase, Phase::Exited(..)) {
                    self.ended(machine, &task, attempt, "lease over");
                }
            }
            machine.tenure += 1;
            machine.lease_from = now;
            machine.changed = true;
            let (host, tenure) = (&machine.host, machine.tenure);
            self.0
                .record
                .line(format!("{host} lease over, tenure {tenure}"));
        }
        let jobs = self.0.jobs.lock().expect("no thread panics");
        let mut ended = Vec::new();
        let mut begun = Vec::new();
        for ((task, attempt), state) in &mut machine.tasks {
            let job = task.split('/').next().unwrap_or("");
            match state.phase {
                Phase::Pulling(until) if until <= now => {
                    let run_s = jobs.get(job).map_or(0.0, |j| j.run_s);
                    state.phase = Phase::Running(now + Duration::from_secs_f64(run_s));
                    if let Some(job) = jobs.get(job) {
                        machine.images.insert(job.bundle.clone());
                    }
                    begun.push((task.clone(), *attempt));
                    if machine.sick {
                        state.phase = Phase::Exited("error", None);
                        ended.push((task.clone(), *attempt, "error"));
                    }
                }
                Phase::Running(until) if until <= now => {
                    state.phase = Phase::Exited("done", None);
                    ended.push((task.clone(), *attempt, "done"));
                }
                Phase::Saving(until) if until <= now => {
                    state.phase = Phase::Exited("stopped", Some(true));
                    ended.push((task.clone(), *attempt, "stopped"));
                }
                _ => {}
            }
        }
        machine.changed |= !ended.is_empty() || !begun.is_empty();
        for (task, attempt) in begun {
            let host = &machine.host;
            self.0
                .record
                .line(format!("{host} runs {task} try {attempt}"));
        }
        for (task, attempt, why) in ended {
            self.ended(machine, &task, attempt, why);
        }
    }

    fn ended(&self, machine: &Machine, task: &str, attempt: u64, why: &str) {
        let host = machine.host.clone();
        self.0
            .record
            .line(format!("{host} ends {task} try {attempt}: {why}"));
        let end = (
            self.0.record.now(),
            task.to_string(),
            attempt,
            host,
            why.to_string(),
        );
        self.0.ends.lock().expect("no thread panics").push(end);
    }

    fn report(&self, machine: &mut Machine) -> Json {
        machine.serial += 1;
        let shards = machine.tasks.iter().map(|((task, attempt), state)| {
            let mut fields = vec![
                ("shard".to_string(), text(task)),
                ("try".to_string(), num(attempt)),
            ];
            let status = match state.phase {
                Phase::Pulling(_) => "pulling",
                Phase::Running(_) => "running",
                Phase::Saving(_) => "saving",
                Phase::Exited(..) => "exited",
            };
            fields.push(("status".to_string(), text(status)));
            if let Phase::Exited(cause, stored) = state.phase {
                fields.push(("cause".to_string(), text(cause)));
                if let Some(stored) = stored {
                    fields.push(("stored".to_string(), Json::Bool(stored)));
                }
            }
            Json::Obj(fields)
        });
        obj([
            ("host", text(&machine.host)),
            ("endpoint", text(machine.endpoint.to_string())),
            ("flavor", text(machine.flavor.name)),
            ("site", text(&machine.site)),
            ("standby", Json::Bool(false)),
            ("tenure", num(machine.tenure)),
            ("serial", num(machine.serial)),
            ("epoch", num(machine.epoch)),
            ("warning_s", Json::Null),
            ("shards", Json::Arr(shards.collect())),
        ])
    }

    /// The worker's loop: one report at a time, to one controller.
    fn report_forever(&self, host: &str) {
        let controllers = &self.0.controllers;
        let mut target = (self.random() * controllers.len() as f64) as usize % controllers.len();
        let mut connection = Connection::new(controllers[target].1);
        let mut last_sent = Instant::now() - Duration::from_secs(10);
        let mut next = Instant::now();
        loop {
            std::thread::sleep(TICK);
            let now = Instant::now();
            let (body, tenure) = {
                let mut machines = self.machines();
                let Some(machine) = machines.get_mut(host) else {
                    return;
                };
                if !machine.up {
                    return;
                }
                let due =
                    now >= next || machine.changed && now - last_sent >= Duration::from_millis(500);
                if now < machine.hung_until || !due {
                    continue;
                }
                machine.changed = false;
                machine.reported_at = now;
                (self.report(machine).to_string(), machine.tenure)
            };
            last_sent = now;
            let report_s = self.0.times.report_s * (0.75 + 0.5 * self.random());
            next = now + Duration::from_secs_f64(report_s);
            let mute = self
                .machines()
                .get(host)
                .is_some_and(|m| now < m.mute_until);
            let reply = if mute {
                None
            } else {
                connection.call("POST", "/hello", &body, ANSWER_TIMEOUT)
            };
            let got = Instant::now();
            let deaf = self
                .machines()
                .get(host)
                .is_some_and(|m| got < m.deaf_until);
            if mute || deaf {
                connection.close();
                std::thread::sleep((now + ANSWER_TIMEOUT).saturating_duration_since(got));
            }
            // A machine that stands still handles the answer when it goes on.
            loop {
                let machines = self.machines();
                let hung = machines
                    .get(host)
                    .is_some_and(|m| Instant::now() < m.hung_until);
                drop(machines);
                if !hung {
                    break;
                }
                std::thread::sleep(TICK);
            }
            let too_late = now.elapsed() >= ANSWER_TIMEOUT;
            match reply.filter(|_| !deaf && !mute && !too_late) {
                Some((200, answer)) => {
                    *self.0.steward.lock().expect("no thread panics") = Some(target);
                    self.accept(host, &answer, now, tenure, &controllers[target].0);
                }
                Some((421, answer)) => {
                    let named = Json::parse(&answer);
                    let named = named.as_ref().and_then(|a| a.str("steward"));
                    let index = controllers
                        .iter()
                        .position(|(name, _)| Some(name.as_str()) == named);
                    match index.filter(|index| *index != target) {
                        Some(index) => target = index,
                        None => {
                            target = (target + 1) % controllers.len();
                            std::thread::sleep(Duration::from_secs(1));
                        }
                    }
                    connection = Connection::new(controllers[target].1);
                    next = Instant::now();
                }
                _ => {
                    target = (target + 1) % controllers.len();
                    std::thread::sleep(Duration::from_secs(1));
                    connection = Connection::new(controllers[target].1);
                    next = Instant::now();
                }
            }
        }
    }

    /// Handles the answer to the report that was sent at `sent` in `tenure`.
    fn accept(&self, host: &str, answer: &str, sent: Instant, tenure: u64, from: &str) {
        let Some(answer) = Json::parse(answer) else {
            return;
        };
        let mut machines = self.machines();
        let Some(machine) = machines.get_mut(host) else {
            return;
        };
        self.advance(machine);
        let Some(epoch) = answer.u64("epoch") else {
            return;
        };
        if machine.tenure != tenure || epoch < machine.epoch {
            return;
        }
        if epoch > machine.epoch {
            machine.epoch = epoch;
            machine.changed = true;
        }
        machine.lease_from = sent;
        self.execute(machine, answer.arr("orders"), from);
    }

    /// Answers direct calls.
    fn direct(&self, host: &str, request: &Request) -> Reply {
        loop {
            let mut machines = self.machines();
            let machine = machines.get_mut(host)?;
            let now = Instant::now();
            if !machine.up || now < machine.deaf_until {
                drop(machines);
                std::thread::sleep(Duration::from_secs(10));
                return None;
            }
            if now < machine.hung_until {
                drop(machines);
                std::thread::sleep(TICK);
                continue;
            }
            self.advance(machine);
            if request.path == "/status" {
                return Some((200, self.report(machine).to_string()));
            }
            let body = Json::parse(&request.body);
            let numbers = body
                .as_ref()
                .and_then(|b| Some((b.u64("epoch")?, b.u64("tenure")?)));
            let (Some(body), Some((epoch, tenure))) = (body, numbers) else {
                return Some((400, "{}".into()));
            };
            if epoch < machine.epoch || tenure != machine.tenure {
                return Some((409, self.report(machine).to_string()));
            }
            if epoch > machine.epoch {
                machine.epoch = epoch;
                machine.changed = true;
            }
            self.execute(machine, body.arr("orders"), "direct call");
            machine.carried_out.push(body);
            return Some((200, self.report(machine).to_string()));
        }
    }

    fn execute(&self, machine: &mut Machine, orders: &[Json], from: &str) {
        for order in orders {
            let (Some(verb), Some(task), Some(attempt)) =
                (order.str("verb"), order.str("shard"), order.u64("try"))
            else {
                continue;
            };
            let host = machine.host.clone();
            self.0
                .record
                .line(format!("{host} told {verb} {task} try {attempt} by {from}"));
            let key = (task.to_string(), attempt);
            match verb {
                "run" => self.start(machine, key),
                "kill" => {
                    let wind_down_s = order.f64("wind_down_s").unwrap_or(0.0);
                    self.kill(machine, &key, wind_down_s);
                }
                "reap" => {
                    let exited = |t: &Task| matches!(t.phase, Phase::Exited(..));
                    if machine.tasks.get(&key).is_some_and(exited) {
                        machine.tasks.remove(&key);
                        machine.changed = true;
                    }
                }
                _ => {}
            }
        }
    }

    fn start(&self, machine: &mut Machine, key: (String, u64)) {
        if machine.tasks.contains_key(&key) {
            return;
        }
        let jobs = self.0.jobs.lock().expect("no thread panics");
        let (job, index) = key.0.split_once('/').unwrap_or((&key.0, ""));
        let job = jobs
            .get(job)
            .filter(|j| index.parse().is_ok_and(|n: u32| n < j.tasks));
        let live = machine.tasks.iter();
        let live = live.filter(|(_, task)| !matches!(task.phase, Phase::Exited(..)));
        let (mut cpus, mut memory_gb, mut busy) = (0.0, 0.0, false);
        for ((name, _), task) in live {
            cpus += task.cpus;
            memory_gb += task.memory_gb;
            busy |= *name == key.0;
        }
        let refusal = match job {
            None => Some("unknown"),
            Some(_) if busy => Some("busy"),
            Some(job)
                if cpus + job.cpus > machine.flavor.cpus + 1e-6
                    || memory_gb + job.memory_gb > machine.flavor.memory_gb + 1e-6 =>
            {
                Some("full")
            }
            Some(_) => None,
        };
        let (cpus, memory_gb) = job.map_or((0.0, 0.0), |j| (j.cpus, j.memory_gb));
        let phase = match (refusal, job) {
            (None, Some(job)) => {
                let cached = machine.images.contains(&job.bundle);
                let fetch_s = job.image_gb / machine.flavor.fetch_gb_per_s;
                let wait_s = if cached { 0.0 } else { fetch_s };
                Phase::Pulling(Instant::now() + Duration::from_secs_f64(wait_s))
            }
            (refusal, _) => Phase::Exited(refusal.unwrap_or("unknown"), None),
        };
        if refusal.is_none() {
            self.0
                .starts
                .lock()
                .expect("no thread panics")
                .push(Started {
                    at: self.0.record.now(),
                    task: key.0.clone(),
                    attempt: key.1,
                    host: machine.host.clone(),
                });
        }
        machine.tasks.insert(
            key,
            Task {
                phase,
                cpus,
                memory_gb,
            },
        );
        machine.changed = true;
    }

    fn kill(&self, machine: &mut Machine, key: &(String, u64), wind_down_s: f64) {
        let jobs = self.0.jobs.lock().expect("no thread panics");
        let job = key.0.split('/').next().and_then(|job| jobs.get(job));
        let Some(task) = machine.tasks.get_mut(key) else {
            return;
        };
        let saves = job.filter(|j| j.save_every_s > 0.0 && wind_down_s >= j.save_cost_s);
        match (task.phase, saves) {
            (Phase::Exited(..), _) => return,
            (Phase::Running(_), Some(job)) => {
                let cost = Duration::from_secs_f64(job.save_cost_s);
                task.phase = Phase::Saving(Instant::now() + cost);
                machine.changed = true;
                return;
            }
            (Phase::Saving(_), _) if wind_down_s > 0.0 => return,
            _ => task.phase = Phase::Exited("stopped", Some(false)),
        }
        machine.changed = true;
        drop(jobs);
        self.ended(machine, &key.0, key.1, "stopped");
    }

    /// Lets the cloud rent out this many more machines.
    pub fn stock(&self, machines: usize) {
        *self.0.left.lock().expect("no thread panics") = machines;
    }

    /// Serves the cloud, and returns its address.
    pub fn serve_cloud(&self) -> SocketAddr {
        let listener = listen();
        let at = addr(&listener);
        let fleet = self.clone();
        serve(listener, Arc::new(move |request| fleet.cloud(&request)));
        at
    }

    fn cloud(&self, request: &Request) -> Reply {
        match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/flavors") => {
                let flavors = self.0.flavors.iter().map(|f| {
                    obj([
                        ("name", text(f.name)),
                        ("cpus", num(f.cpus)),
                        ("cards", num(0)),
                        ("memory_gb", num(f.memory_gb)),
                        ("local_gb", num(50)),
                        ("fetch_gb_per_s", num(f.fetch_gb_per_s)),
                        ("rate", num(f.rate)),
                        ("low_price", num(f.low_price)),
                        ("boot_s", num(f.boot_s)),
                        (
                            "sites",
                            Json::Arr(f.sites.iter().map(|s| text(*s)).collect()),
                        ),
                    ])
                });
                Some((
                    200,
                    obj([("flavors", Json::Arr(flavors.collect()))]).to_string(),
                ))
            }
            ("GET", "/rentals") => {
                let since = request.param("since").unwrap_or("");
                let machines = self.machines();
                let hosts = machines
                    .values()
                    .filter(|m| m.host.as_str() > since && m.up);
                let hosts = hosts.map(|m| {
                    obj([
                        ("name_id", text(&m.host)),
                        ("endpoint", text(m.endpoint.to_string())),
                        ("flavor", text(m.flavor.name)),
                        ("site", text(&m.site)),
                        ("standby", Json::Bool(false)),
                        ("status", text("running")),
                        ("held_s", num(self.0.record.now() + 600.0)),
                    ])
                });
                let hosts = Json::Arr(hosts.collect());
                let reply = obj([("hosts", hosts), ("more", Json::Bool(false))]);
                Some((200, reply.to_string()))
            }
            ("POST", "/rentals/return") => {
                let body = Json::parse(&request.body)?;
                let mut machines = self.machines();
                for host in body.arr("hosts") {
                    let Json::Str(host) = host else { continue };
                    if let Some(machine) = machines.get_mut(host) {
                        machine.up = false;
                        let tasks = std::mem::take(&mut machine.tasks);
                        for ((task, attempt), state) in tasks {
                            if !matches!(state.phase, Phase::Exited(..)) {
                                self.ended(machine, &task, attempt, "returned");
                            }
                        }
                        self.0.record.line(format!("{host} returned to the cloud"));
                    }
                }
                Some((200, "{}".into()))
            }
            ("POST", "/rentals") => {
                let body = Json::parse(&request.body)?;
                let booking = body.str("booking")?.to_string();
                let mut rentals = self.0.rentals.lock().expect("no thread panics");
                if !rentals.contains_key(&booking) {
                    let mut left = self.0.left.lock().expect("no thread panics");
                    let count = (body.u64("how_many")? as usize).min(*left);
                    if count == 0 {
                        return Some((503, r#"{"error":"no capacity"}"#.into()));
                    }
                    *left -= count;
                    let (flavor, site) = (body.str("flavor")?, body.str("site")?);
                    let hosts = (0..count).map(|_| self.add(flavor, site)).collect();
                    rentals.insert(booking.clone(), hosts);
                }
                let hosts = rentals[&booking].iter().map(|h| text(h.as_str())).collect();
                Some((200, obj([("hosts", Json::Arr(hosts))]).to_string()))
            }
            _ => Some((400, "{}".into())),
        }
    }
}
