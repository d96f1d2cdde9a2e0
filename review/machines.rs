//! Stand-ins of the workers, one a machine, and of the cloud that rents the machines.

use crate::http::{self, Answer, Reply, Request};
use crate::json::{f, n, obj, parse, s, Json};
use crate::record::Record;
use crate::site::{MachineType, Site};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const TOLERANCE: f64 = 1e-6;
const REPORT_TIMEOUT_S: f64 = 4.0;

/// A job's description, which its user uploads for the workers.
#[derive(Clone)]
pub struct Description {
    pub cpus: f64,
    pub memory_gb: f64,
    pub image: String,
    pub image_gb: f64,
    /// How long a task runs, by its number.
    pub run_s: fn(u64) -> f64,
}

/// A start of a task: from `began` it is on the machine, until `ended`.
#[derive(Clone, Debug)]
pub struct Run {
    pub shard: String,
    pub attempt: u64,
    pub machine: String,
    /// When the start command arrived.
    pub ordered: f64,
    pub began: f64,
    pub ended: Option<f64>,
    pub why: String,
}

pub struct World {
    pub record: Arc<Record>,
    pub site: Site,
    pub descriptions: Mutex<HashMap<String, Description>>,
    pub fronts: Mutex<Vec<(String, SocketAddr)>>,
    /// All runs, in the order in which they began.
    pub runs: Mutex<Vec<Run>>,
    pub machines: Mutex<Vec<Arc<Machine>>>,
    /// Free machines that the cloud can still rent, by type, zone and kind.
    pub capacity: Mutex<HashMap<(String, String, bool), u64>>,
    bookings: Mutex<HashMap<String, String>>,
    /// Rental requests: time, type, zone, machines rented.
    pub rentals: Mutex<Vec<(f64, String, String, usize)>>,
    /// What the protocol's limits stopped, by kind of message.
    pub over_limit: Mutex<BTreeMap<String, u64>>,
    /// Tasks that have completed: started again, they exit with `done` once the image is there.
    results: Mutex<BTreeSet<String>>,
    /// Whether workers take messages above the protocol's limit all the same.
    pub lenient: bool,
    /// The controller that last answered a report with 200.
    pub leader: Mutex<Option<usize>>,
}

struct Task {
    phase: &'static str,
    cause: Option<&'static str>,
    ordered: f64,
    ready_at: f64,
    ends_at: f64,
    run: Option<usize>,
    cpus: f64,
    memory_gb: f64,
}

struct Inner {
    tenure: u64,
    serial: u64,
    epoch: u64,
    lease_from: Instant,
    changed: bool,
    tasks: BTreeMap<(String, u64), Task>,
    images: BTreeMap<String, f64>,
}

pub struct Machine {
    pub name: String,
    pub kind: MachineType,
    pub zone: String,
    pub spot: bool,
    addr: Mutex<Option<SocketAddr>>,
    rented: Instant,
    died: Mutex<Option<Instant>>,
    gone: AtomicBool,
    /// When its last report was answered with 200.
    pub answered_at: Mutex<f64>,
    /// Direct commands are held up on their way for this time, in seconds, and get no answer.
    pub held_s: Mutex<Option<f64>>,
    /// When the first direct command with orders arrived on its way while they were held up.
    pub held_since: Mutex<Option<f64>>,
    inner: Mutex<Inner>,
}

impl World {
    pub fn new(record: Arc<Record>, site: Site) -> Arc<World> {
        Arc::new(World {
            record,
            site,
            descriptions: Mutex::default(),
            fronts: Mutex::default(),
            runs: Mutex::default(),
            machines: Mutex::default(),
            capacity: Mutex::default(),
            bookings: Mutex::default(),
            rentals: Mutex::default(),
            over_limit: Mutex::default(),
            results: Mutex::default(),
            lenient: std::env::var("LENIENT").is_ok_and(|v| v == "1"),
            leader: Mutex::default(),
        })
    }

    fn note_over_limit(&self, kind: &str, bytes: usize) {
        *self
            .over_limit
            .lock()
            .unwrap()
            .entry(kind.to_string())
            .or_default() += 1;
        self.record.say(format!(
            "over the limit of 65536 bytes: {kind}: {bytes} bytes"
        ));
    }

    /// Adds a machine that is up after `boot_s`.
    pub fn add_machine(
        self: &Arc<World>,
        kind: &str,
        zone: &str,
        spot: bool,
        boot_s: f64,
    ) -> Arc<Machine> {
        let kind = self
            .site
            .types
            .iter()
            .find(|t| t.name == kind)
            .expect("a known type")
            .clone();
        let mut machines = self.machines.lock().unwrap();
        let now = Instant::now();
        let machine = Arc::new(Machine {
            name: format!("m-{:06}", machines.len() + 1),
            kind,
            zone: zone.into(),
            spot,
            addr: Mutex::new(None),
            rented: now,
            died: Mutex::new(None),
            gone: AtomicBool::new(false),
            answered_at: Mutex::new(0.0),
            held_s: Mutex::new(None),
            held_since: Mutex::new(None),
            inner: Mutex::new(Inner {
                tenure: 1,
                serial: 0,
                epoch: 0,
                lease_from: now,
                changed: true,
                tasks: BTreeMap::new(),
                images: BTreeMap::new(),
            }),
        });
        machines.push(machine.clone());
        drop(machines);
        let (world, own) = (self.clone(), machine.clone());
        std::thread::spawn(move || {
            std::thread::sleep(Duration::from_secs_f64(boot_s));
            own.boot(&world);
        });
        machine
    }

    /// A machine stops with all that is on it.
    pub fn kill(&self, machine: &Machine) {
        self.record.say(format!(
            "machine {} stops with all that is on it",
            machine.name
        ));
        *machine.died.lock().unwrap() = Some(Instant::now());
        machine.drop_tasks(self, "machine stopped");
    }

    /// Starts the cloud, and returns its address.
    pub fn start_cloud(self: &Arc<World>) -> SocketAddr {
        let (listener, addr) = http::listen();
        let world = self.clone();
        http::serve(listener, Arc::new(move |request| world.cloud(request)));
        addr
    }

    fn cloud(self: &Arc<World>, request: &Request) -> Reply {
        let body = parse(&request.body).unwrap_or(Json::Null);
        match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/flavors") => Reply::Answer(200, self.flavors().text()),
            ("POST", "/rentals") => self.rent(&body),
            ("POST", "/rentals/return") => {
                let names: Vec<&str> = body.get("hosts").arr().iter().map(Json::str).collect();
                self.record.say(format!("cloud: return of {names:?}"));
                for machine in self.machines.lock().unwrap().iter() {
                    if names.contains(&machine.name.as_str()) {
                        machine.gone.store(true, Ordering::SeqCst);
                        machine.drop_tasks(self, "machine returned");
                        let key = machine.offer();
                        *self.capacity.lock().unwrap().entry(key).or_default() += 1;
                    }
                }
                Reply::Answer(200, "{}".into())
            }
            ("GET", "/rentals") => Reply::Answer(200, self.list(request).text()),
            _ => Reply::Answer(400, "{}".into()),
        }
    }

    fn flavors(&self) -> Json {
        let types = self.site.types.iter().map(|t| {
            obj(vec![
                ("name", s(t.name)),
                ("cpus", f(t.cpus)),
                ("cards", f(0.0)),
                ("memory_gb", f(t.memory_gb)),
                ("local_gb", f(80.0)),
                ("fetch_gb_per_s", f(t.fetch_gb_per_s)),
                ("rate", f(t.rate)),
                ("low_price", f(t.low_price)),
                ("boot_s", f(t.boot_s)),
                ("sites", Json::Arr(t.sites.iter().map(|z| s(*z)).collect())),
            ])
        });
        obj(vec![("flavors", Json::Arr(types.collect()))])
    }

    fn rent(self: &Arc<World>, body: &Json) -> Reply {
        let booking = body.get("booking").str().to_string();
        if let Some(answer) = self.bookings.lock().unwrap().get(&booking) {
            return Reply::Answer(200, answer.clone());
        }
        let (kind, zone) = (body.get("flavor").str(), body.get("site").str());
        let spot = *body.get("standby") == Json::Bool(true);
        let wanted = body.get("how_many").u64().unwrap_or(0);
        let known = self
            .site
            .types
            .iter()
            .any(|t| t.name == kind && t.sites.contains(&zone));
        if !known || wanted == 0 || wanted > 50 {
            return Reply::Answer(400, "{}".into());
        }
        let key = (kind.to_string(), zone.to_string(), spot);
        let count = {
            let mut capacity = self.capacity.lock().unwrap();
            let left = capacity.entry(key).or_default();
            let count = wanted.min(*left);
            *left -= count;
            count
        };
        self.record.say(format!(
            "cloud: {wanted} {kind} in {zone} requested, standby {spot}; {count} rented"
        ));
        let at = self.record.now();
        self.rentals
            .lock()
            .unwrap()
            .push((at, kind.into(), zone.into(), count as usize));
        if count == 0 {
            return Reply::Answer(503, obj(vec![("error", s("no capacity"))]).text());
        }
        let boot_s = self
            .site
            .types
            .iter()
            .find(|t| t.name == kind)
            .map_or(0.0, |t| t.boot_s);
        let hosts = (0..count)
            .map(|_| s(self.add_machine(kind, zone, spot, boot_s).name.clone()))
            .collect();
        let answer = obj(vec![("hosts", Json::Arr(hosts))]).text();
        self.bookings
            .lock()
            .unwrap()
            .insert(booking, answer.clone());
        Reply::Answer(200, answer)
    }

    fn list(&self, request: &Request) -> Json {
        let since = request.param("since").unwrap_or("");
        let limit: usize = request
            .param("limit")
            .and_then(|l| l.parse().ok())
            .unwrap_or(500);
        let lag = self.site.list_lag_s;
        let machines = self.machines.lock().unwrap();
        let listed: Vec<Json> = machines
            .iter()
            .filter(|m| m.name.as_str() > since && !m.gone.load(Ordering::SeqCst))
            .filter_map(|m| {
                let held = m.rented.elapsed().as_secs_f64() - lag;
                let dead_for = m
                    .died
                    .lock()
                    .unwrap()
                    .map_or(0.0, |d| d.elapsed().as_secs_f64());
                let status = match () {
                    () if dead_for > 30.0 => "failed",
                    () if m.addr.lock().unwrap().is_none() => "starting",
                    () => "running",
                };
                (held > 0.0).then(|| {
                    obj(vec![
                        ("name_id", s(&m.name)),
                        ("endpoint", s(m.endpoint())),
                        ("flavor", s(m.kind.name)),
                        ("site", s(&m.zone)),
                        ("standby", Json::Bool(m.spot)),
                        ("status", s(status)),
                        ("held_s", f(held)),
                    ])
                })
            })
            .collect();
        let more = listed.len() > limit;
        let page = listed.into_iter().take(limit).collect();
        obj(vec![("hosts", Json::Arr(page)), ("more", Json::Bool(more))])
    }

    /// Runs of a job.
    pub fn runs_of(&self, job: &str) -> Vec<Run> {
        let prefix = format!("{job}/");
        self.runs
            .lock()
            .unwrap()
            .iter()
            .filter(|r| r.shard.starts_with(&prefix))
            .cloned()
            .collect()
    }

    /// The numbers of the job's tasks that have completed.
    pub fn completed(&self, job: &str) -> BTreeSet<String> {
        self.runs_of(job)
            .into_iter()
            .filter(|r| r.why == "done")
            .map(|r| r.shard)
            .collect()
    }
}

impl Machine {
    pub fn offer(&self) -> (String, String, bool) {
        (self.kind.name.to_string(), self.zone.clone(), self.spot)
    }

    fn endpoint(&self) -> String {
        self.addr
            .lock()
            .unwrap()
            .map_or(String::new(), |addr| addr.to_string())
    }

    pub fn is_up(&self) -> bool {
        !self.is_dead() && self.addr.lock().unwrap().is_some()
    }

    fn is_dead(&self) -> bool {
        self.gone.load(Ordering::SeqCst) || self.died.lock().unwrap().is_some()
    }

    fn boot(self: Arc<Machine>, world: &Arc<World>) {
        if self.is_dead() {
            return;
        }
        let (listener, addr) = http::listen();
        *self.addr.lock().unwrap() = Some(addr);
        self.inner.lock().unwrap().lease_from = Instant::now();
        world.record.say(format!(
            "machine {} ({} in {}) is up",
            self.name, self.kind.name, self.zone
        ));
        let (w, own) = (world.clone(), self.clone());
        http::serve(listener, Arc::new(move |request| own.direct(&w, request)));
        let (w, own) = (world.clone(), self.clone());
        std::thread::spawn(move || {
            while !own.is_dead() {
                own.advance(&w);
                std::thread::sleep(Duration::from_millis(20));
            }
        });
        let w = world.clone();
        std::thread::spawn(move || self.report_loop(&w));
    }

    fn drop_tasks(&self, world: &World, why: &str) {
        let tasks = std::mem::take(&mut self.inner.lock().unwrap().tasks);
        for ((shard, _), task) in tasks {
            if task.cause.is_none() {
                end_run(world, &task, why, &shard, &self.name);
            }
        }
    }

    /// The machine restarts: all that is on it is gone, and its worker begins anew.
    pub fn restart(&self, world: &World) {
        self.drop_tasks(world, "machine restarted");
        let mut inner = self.inner.lock().unwrap();
        inner.tenure = 1;
        inner.serial = 0;
        inner.epoch = 0;
        inner.lease_from = Instant::now();
        inner.images.clear();
        inner.changed = true;
        world.record.say(format!(
            "{} restarts: tenure 1, serial 0, epoch 0, no tasks",
            self.name
        ));
    }

    /// The session of its worker.
    pub fn tenure(&self) -> u64 {
        self.inner.lock().unwrap().tenure
    }

    /// Holds a direct command up, if they are held up now. Returns whether it was.
    fn hold_up(&self, world: &World, request: &Request) -> bool {
        let Some(held_s) = *self.held_s.lock().unwrap() else {
            return false;
        };
        let arrived = world.record.now();
        if request.body.contains("\"verb\"") {
            self.held_since.lock().unwrap().get_or_insert(arrived);
        }
        world.record.say(format!(
            "{}: held up for {held_s} s: {}",
            self.name, request.body
        ));
        std::thread::sleep(Duration::from_secs_f64(held_s));
        true
    }

    /// Ends the lease if it is over, and moves the tasks on.
    fn advance(&self, world: &World) {
        let now = world.record.now();
        let over = {
            let inner = self.inner.lock().unwrap();
            inner.lease_from.elapsed().as_secs_f64() > world.site.lease_s
        };
        if over {
            let count = self.inner.lock().unwrap().tasks.len();
            world.record.say(format!(
                "{}: lease over, {count} tasks killed and forgotten",
                self.name
            ));
            self.drop_tasks(world, "lease over");
            let mut inner = self.inner.lock().unwrap();
            inner.tenure += 1;
            inner.lease_from = Instant::now();
            inner.changed = true;
            return;
        }
        let mut inner = self.inner.lock().unwrap();
        let mut changed = false;
        for ((shard, attempt), task) in &mut inner.tasks {
            if task.phase == "pulling" && now >= task.ready_at {
                task.phase = "running";
                changed = true;
                let mut runs = world.runs.lock().unwrap();
                task.run = Some(runs.len());
                runs.push(Run {
                    shard: shard.clone(),
                    attempt: *attempt,
                    machine: self.name.clone(),
                    ordered: task.ordered,
                    began: now,
                    ended: None,
                    why: String::new(),
                });
                world
                    .record
                    .say(format!("{}: {shard} try {attempt} starts", self.name));
            }
            if task.phase == "running" && now >= task.ends_at {
                task.phase = "exited";
                task.cause = Some("done");
                changed = true;
                end_run(world, task, "done", shard, &self.name);
                world.results.lock().unwrap().insert(shard.clone());
            }
        }
        inner.changed |= changed;
    }

    fn report(&self, inner: &mut Inner) -> Json {
        inner.serial += 1;
        let shards = inner.tasks.iter().map(|((shard, attempt), task)| {
            let mut fields = vec![
                ("shard", s(shard)),
                ("try", n(attempt)),
                ("status", s(task.phase)),
            ];
            if let Some(cause) = task.cause {
                fields.push(("cause", s(cause)));
            }
            obj(fields)
        });
        let shards = Json::Arr(shards.collect());
        obj(vec![
            ("host", s(&self.name)),
            ("endpoint", s(self.endpoint())),
            ("flavor", s(self.kind.name)),
            ("site", s(&self.zone)),
            ("standby", Json::Bool(self.spot)),
            ("tenure", n(inner.tenure)),
            ("serial", n(inner.serial)),
            ("epoch", n(inner.epoch)),
            ("warning_s", Json::Null),
            ("shards", shards),
        ])
    }

    fn report_loop(&self, world: &World) {
        let nodes = world.fronts.lock().unwrap().clone();
        let mut random = self
            .name
            .bytes()
            .fold(7u64, |h, b| h.wrapping_mul(31).wrapping_add(u64::from(b)));
        let mut node = random as usize % nodes.len();
        let mut last = Instant::now();
        let mut interval = 0.0;
        loop {
            std::thread::sleep(Duration::from_millis(10));
            if self.is_dead() {
                return;
            }
            let since = last.elapsed().as_secs_f64();
            let changed = self.inner.lock().unwrap().changed && since >= 0.5;
            if since < interval && !changed {
                continue;
            }
            random = random
                .wrapping_mul(6364136223846793005)
                .wrapping_add(1442695040888963407);
            interval =
                world.site.report_s * (0.75 + 0.5 * ((random >> 33) as f64 / (1u64 << 31) as f64));
            let (body, tenure) = {
                let mut inner = self.inner.lock().unwrap();
                inner.changed = false;
                (self.report(&mut inner).text(), inner.tenure)
            };
            if body.len() > http::LIMIT {
                world.note_over_limit("report of a worker", body.len());
            }
            let sent = Instant::now();
            last = sent;
            let answer = http::call(nodes[node].1, "POST", "/hello", &body, REPORT_TIMEOUT_S);
            if self.is_dead() {
                return;
            }
            let next = match answer {
                Some(Answer { status: 200, body }) => {
                    let over_limit = body.lines().any(|line| line.len() > http::LIMIT);
                    if over_limit {
                        world.note_over_limit("response to a report", body.len());
                    }
                    if over_limit && !world.lenient {
                        // A line over 64 KiB is no valid response, so the worker can't read it.
                        Some((node + 1) % nodes.len())
                    } else {
                        *world.leader.lock().unwrap() = Some(node);
                        *self.answered_at.lock().unwrap() = world.record.now();
                        self.take_response(world, &body, tenure, sent);
                        None
                    }
                }
                Some(Answer { status: 421, body }) => {
                    let named = parse(&body).map(|b| b.get("steward").str().to_string());
                    let named = nodes
                        .iter()
                        .position(|(name, _)| Some(name) == named.as_ref());
                    match named.filter(|named| *named != node) {
                        Some(named) => {
                            node = named;
                            interval = 0.0;
                            std::thread::sleep(Duration::from_millis(100));
                            None
                        }
                        None => Some((node + 1) % nodes.len()),
                    }
                }
                answer => {
                    let what =
                        answer.map_or("no response".into(), |a| format!("status {}", a.status));
                    world.record.say(format!(
                        "{}: report to {}: {what}",
                        self.name, nodes[node].0
                    ));
                    Some((node + 1) % nodes.len())
                }
            };
            if let Some(next) = next {
                node = next;
                interval = 0.0;
                std::thread::sleep(Duration::from_secs(1));
            }
        }
    }

    fn take_response(&self, world: &World, body: &str, tenure: u64, sent: Instant) {
        let Some(response) = parse(body) else {
            return;
        };
        let mut inner = self.inner.lock().unwrap();
        let Some(epoch) = response.get("epoch").u64().filter(|e| *e >= inner.epoch) else {
            return;
        };
        if tenure != inner.tenure {
            return;
        }
        if epoch > inner.epoch {
            inner.epoch = epoch;
            inner.changed = true;
        }
        inner.lease_from = sent;
        self.execute(world, &mut inner, response.get("orders").arr());
    }

    fn direct(&self, world: &World, request: &Request) -> Reply {
        if self.is_dead() {
            // A machine without power stays silent.
            std::thread::sleep(Duration::from_secs(30));
            return Reply::Close;
        }
        let late = request.path == "/commands" && self.hold_up(world, request);
        if self.is_dead() {
            return Reply::Close;
        }
        self.advance(world);
        let mut inner = self.inner.lock().unwrap();
        if request.path == "/status" {
            return Reply::Answer(200, self.report(&mut inner).text());
        }
        if request.size > http::LIMIT {
            world.note_over_limit("direct commands", request.size);
            if !world.lenient {
                return Reply::Answer(413, "{}".into());
            }
        }
        let body = parse(&request.body).unwrap_or(Json::Null);
        let (Some(epoch), Some(tenure)) = (body.get("epoch").u64(), body.get("tenure").u64())
        else {
            return Reply::Answer(400, "{}".into());
        };
        let accepted = epoch >= inner.epoch && tenure == inner.tenure;
        if epoch > inner.epoch {
            inner.epoch = epoch;
            inner.changed = true;
        }
        if accepted {
            self.execute(world, &mut inner, body.get("orders").arr());
        }
        if late {
            let accepted = if accepted { "carried out" } else { "refused" };
            world
                .record
                .say(format!("{}: late, {accepted}: {}", self.name, request.body));
            return Reply::Close;
        }
        let report = self.report(&mut inner).text();
        Reply::Answer(if accepted { 200 } else { 409 }, report)
    }

    fn execute(&self, world: &World, inner: &mut Inner, orders: &[Json]) {
        let now = world.record.now();
        for order in orders {
            let key = (
                order.get("shard").str().to_string(),
                order.get("try").u64().unwrap_or(0),
            );
            match order.get("verb").str() {
                "run" => self.start(world, inner, key, now),
                "kill" => {
                    // No task here saves.
                    if let Some(task) = inner.tasks.get_mut(&key).filter(|t| t.cause.is_none()) {
                        task.phase = "exited";
                        task.cause = Some("stopped");
                        inner.changed = true;
                        end_run(world, task, "stopped", &key.0, &self.name);
                    }
                }
                "reap" => {
                    if inner.tasks.get(&key).is_some_and(|t| t.cause.is_some()) {
                        inner.tasks.remove(&key);
                        inner.changed = true;
                    }
                }
                _ => {}
            }
        }
    }

    fn start(&self, world: &World, inner: &mut Inner, key: (String, u64), now: f64) {
        if inner.tasks.contains_key(&key) {
            return;
        }
        inner.changed = true;
        let mut task = Task {
            phase: "exited",
            cause: Some("unknown"),
            ordered: now,
            ready_at: now,
            ends_at: now,
            run: None,
            cpus: 0.0,
            memory_gb: 0.0,
        };
        let (job, index) = key.0.rsplit_once('/').unwrap_or(("", ""));
        let description = world.descriptions.lock().unwrap().get(job).cloned();
        if let Some(d) = description {
            let live = |t: &&Task| t.cause.is_none();
            let cpus: f64 = inner.tasks.values().filter(live).map(|t| t.cpus).sum();
            let memory: f64 = inner.tasks.values().filter(live).map(|t| t.memory_gb).sum();
            let same = inner
                .tasks
                .range((key.0.clone(), 0)..=(key.0.clone(), u64::MAX))
                .next()
                .is_some();
            let full = cpus + d.cpus > self.kind.cpus + TOLERANCE
                || memory + d.memory_gb > self.kind.memory_gb + TOLERANCE;
            task.cause = if same {
                Some("busy")
            } else if full {
                Some("full")
            } else {
                None
            };
            if task.cause.is_none() {
                let fetch_s = d.image_gb / self.kind.fetch_gb_per_s;
                let ready_at = *inner.images.entry(d.image.clone()).or_insert(now + fetch_s);
                task.phase = "pulling";
                task.ready_at = ready_at.max(now);
                let kept = world.results.lock().unwrap().contains(&key.0);
                let run_s = if kept {
                    0.0
                } else {
                    (d.run_s)(index.parse().unwrap_or(0))
                };
                task.ends_at = task.ready_at + run_s;
                task.cpus = d.cpus;
                task.memory_gb = d.memory_gb;
            }
        }
        if let Some(cause) = task.cause {
            world.record.say(format!(
                "{}: {} try {} refused: {cause}",
                self.name, key.0, key.1
            ));
        }
        inner.tasks.insert(key, task);
    }
}

fn end_run(world: &World, task: &Task, why: &str, shard: &str, machine: &str) {
    let Some(run) = task.run else {
        return;
    };
    let now = world.record.now();
    let mut runs = world.runs.lock().unwrap();
    runs[run].ended = Some(now);
    runs[run].why = why.into();
    world.record.say(format!("{machine}: {shard} ends: {why}"));
}
