//! The machines: a worker on each, by the protocol, with leases, tokens, tenures,
//! room, and machines that die or hang. `cloud` has what is asked of them by HTTP.

use crate::history::{Event, History};
use crate::site::Site;
use foxspur_wire::cloud::MachineType;
use foxspur_wire::job::JobSpec;
use foxspur_wire::worker::{Cause, Command, Phase, Redirect, Reply, Report, Shown};
use rand::Rng;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

pub(crate) struct Task {
    phase: Phase,
    cause: Option<Cause>,
    until: f64,
    cpus: f64,
}

pub(crate) struct Machine {
    pub(crate) name: String,
    pub(crate) kind: MachineType,
    pub(crate) zone: String,
    pub(crate) spot: bool,
    pub(crate) rented: f64,
    pub(crate) up_at: f64,
    pub(crate) addr: SocketAddr,
    pub(crate) dead: bool,
    pub(crate) hung_until: f64,
    /// Its reports arrive, answers and commands do not.
    pub(crate) deaf_until: f64,
    pub(crate) session: u64,
    pub(crate) seq: u64,
    pub(crate) token: u64,
    pub(crate) renewed: f64,
    pub(crate) changed: bool,
    pub(crate) tasks: BTreeMap<(String, u64), Task>,
}

pub(crate) struct Inner {
    pub(crate) machines: BTreeMap<String, Machine>,
    pub(crate) bookings: HashMap<String, Vec<String>>,
    /// Addresses not in use.
    pub(crate) addrs: Vec<SocketAddr>,
    pub(crate) next: u32,
    pub(crate) away_until: f64,
    /// Copies of reports follow, until then.
    copies_until: f64,
    /// For how long direct commands are carried out once more, late.
    pub(crate) repeats_until: f64,
    /// Jobs that users uploaded.
    pub(crate) jobs: HashMap<String, JobSpec>,
}

/// All machines; clones share them.
#[derive(Clone)]
pub struct Machines {
    pub(crate) site: Arc<Site>,
    pub(crate) history: History,
    fronts: Arc<Vec<(String, String)>>,
    inner: Arc<Mutex<Inner>>,
    http: reqwest::Client,
}

impl Machines {
    /// `fronts` are the controllers' names and base URLs, `addrs` where workers
    /// listen.
    pub fn new(
        site: Arc<Site>,
        history: History,
        fronts: Vec<(String, String)>,
        addrs: Vec<SocketAddr>,
    ) -> Machines {
        let client = reqwest::Client::builder().no_proxy().build();
        let machines = Machines {
            site,
            history,
            fronts: Arc::new(fronts),
            inner: Arc::new(Mutex::new(Inner {
                machines: BTreeMap::new(),
                bookings: HashMap::new(),
                addrs,
                next: 0,
                away_until: 0.0,
                copies_until: 0.0,
                repeats_until: 0.0,
                jobs: HashMap::new(),
            })),
            http: client.unwrap_or_default(),
        };
        let kind = machines.site.types[0].clone();
        for n in 0..machines.site.machines {
            let zone = kind.zones[n as usize % kind.zones.len()].clone();
            machines.rent_one(&kind, &zone, false, 0.0);
        }
        machines
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// A user uploads a job's description.
    pub fn upload(&self, id: String, spec: JobSpec) {
        self.lock().jobs.insert(id, spec);
    }

    /// The cloud's interface is away for this long.
    pub fn away(&self, s: f64) {
        let until = self.history.now() + s;
        self.lock().away_until = until;
    }

    /// A machine that is up, drawn at random, dies or hangs for this long.
    pub fn strike(&self, hang_s: Option<f64>) -> Option<String> {
        let now = self.history.now();
        self.with_one(|machine| match hang_s {
            Some(s) => machine.hung_until = now + s,
            None => {
                machine.dead = true;
                machine.clear(&self.history);
            }
        })
    }

    /// One that is up hears nothing for this long.
    pub fn deafen(&self, s: f64) -> Option<String> {
        let until = self.history.now() + s;
        self.with_one(|machine| machine.deaf_until = until)
    }

    /// For this long a copy of every fourth report follows late.
    pub fn copy_reports(&self, s: f64) {
        self.lock().copies_until = self.history.now() + s;
    }

    /// For this long every fourth direct call comes once more.
    pub fn repeat_commands(&self, s: f64) {
        self.lock().repeats_until = self.history.now() + s;
    }

    /// How long a copy takes: a second to three leases.
    pub(crate) fn late_s(&self) -> f64 {
        rand::rng().random_range(1.0..3.0 * self.site.workers.lease_s)
    }

    /// Sends a copy of the report to some controller, late;
    /// nobody reads the answer.
    fn copy(&self, text: &str) {
        let late_s = self.late_s();
        let to = rand::rng().random_range(0..self.fronts.len());
        let request = self.http.post(format!("{}/hello", self.fronts[to].1));
        let request = request
            .body(text.to_string())
            .timeout(Duration::from_secs(4));
        actix_web::rt::spawn(async move {
            actix_web::rt::time::sleep(Duration::from_secs_f64(late_s)).await;
            let _ = request.send().await;
        });
    }

    fn with_one(&self, what: impl FnOnce(&mut Machine)) -> Option<String> {
        let now = self.history.now();
        let mut inner = self.lock();
        let up = inner
            .machines
            .values_mut()
            .filter(|m| m.up_at <= now && !m.dead);
        let mut up: Vec<&mut Machine> = up.collect();
        let n = (!up.is_empty()).then(|| rand::rng().random_range(0..up.len()))?;
        let machine = &mut up[n];
        what(machine);
        Some(machine.name.clone())
    }

    pub(crate) fn rent_one(
        &self,
        kind: &MachineType,
        zone: &str,
        spot: bool,
        boot_s: f64,
    ) -> Option<String> {
        let now = self.history.now();
        let mut inner = self.lock();
        let same = |m: &&Machine| m.kind.name == kind.name && m.zone == zone && m.spot == spot;
        if inner.machines.values().filter(same).count() >= self.site.capacity as usize {
            return None;
        }
        let addr = inner.addrs.pop()?;
        inner.next += 1;
        let name = format!("m-{:06}", inner.next);
        let machine = Machine {
            name: name.clone(),
            kind: kind.clone(),
            zone: zone.into(),
            spot,
            rented: now,
            up_at: now + boot_s * rand::rng().random_range(0.6..1.5),
            addr,
            dead: false,
            hung_until: 0.0,
            deaf_until: 0.0,
            session: 1,
            seq: 0,
            token: 0,
            renewed: now,
            changed: true,
            tasks: BTreeMap::new(),
        };
        inner.machines.insert(name.clone(), machine);
        drop(inner);
        let (machines, id) = (self.clone(), name.clone());
        actix_web::rt::spawn(async move { machines.report(id).await });
        Some(name)
    }

    fn deaf(&self, name: &str) -> bool {
        let now = self.history.now();
        let inner = self.lock();
        inner.machines.get(name).is_some_and(|m| now < m.deaf_until)
    }

    /// A worker's life: it reports until its machine is gone.
    async fn report(self, name: String) {
        let report_s = self.site.workers.report_s;
        let mut at = rand::rng().random_range(0..self.fronts.len());
        let mut next = 0.0;
        loop {
            actix_web::rt::time::sleep(Duration::from_millis(20)).await;
            let now = self.history.now();
            let (body, copies) = {
                let mut inner = self.lock();
                let copies = now < inner.copies_until;
                let Some(m) = inner.machines.get_mut(&name) else {
                    return;
                };
                if m.dead || now < m.up_at || now < m.hung_until {
                    if now < m.up_at {
                        m.renewed = now;
                    }
                    continue;
                }
                m.pass(now, self.site.workers.lease_s, &self.history);
                if now < next && !(m.changed && now > next - 0.75 * report_s) {
                    continue;
                }
                m.changed = false;
                (m.report(), copies)
            };
            next = now + report_s * rand::rng().random_range(0.75..1.25);
            let session = body.session;
            let url = format!("{}/hello", self.fronts[at].1);
            let text = serde_json::to_string(&body).unwrap_or_default();
            if copies && rand::rng().random_bool(0.25) {
                self.copy(&text);
            }
            let sent = self
                .http
                .post(url)
                .body(text)
                .timeout(Duration::from_secs(4))
                .send();
            let answer = async {
                let response = sent.await.ok()?;
                let status = response.status().as_u16();
                Some((status, response.bytes().await.ok()?))
            };
            let mut answer = answer.await;
            if self.deaf(&name) {
                // It waits for the answer in vain.
                let waited_s = self.history.now() - now;
                let wait_s = (4.0 - waited_s).max(0.0);
                actix_web::rt::time::sleep(Duration::from_secs_f64(wait_s)).await;
                answer = None;
            }
            match answer {
                Some((200, body)) => {
                    let reply: Option<Reply> = serde_json::from_slice(&body).ok();
                    let mut inner = self.lock();
                    let Inner { machines, jobs, .. } = &mut *inner;
                    let Some(m) = machines.get_mut(&name) else {
                        return;
                    };
                    let hung = self.history.now() < m.hung_until || m.dead;
                    if let Some(reply) = reply.filter(|r| r.token >= m.token && !hung) {
                        if m.session == session {
                            m.token = reply.token;
                            m.renewed = now;
                            m.execute(&reply.commands, jobs, &self.history);
                        }
                    }
                }
                Some((421, body)) => {
                    let to = serde_json::from_slice::<Redirect>(&body).ok();
                    let to = to.and_then(|r| r.to.map(str::to_string));
                    let known = to.and_then(|t| self.fronts.iter().position(|f| f.0 == t));
                    match known.filter(|k| *k != at) {
                        Some(known) => at = known,
                        None => {
                            at = (at + 1) % self.fronts.len();
                            actix_web::rt::time::sleep(Duration::from_secs(1)).await;
                        }
                    }
                    next = 0.0;
                }
                _ => {
                    at = (at + 1) % self.fronts.len();
                    actix_web::rt::time::sleep(Duration::from_secs(1)).await;
                    next = 0.0;
                }
            }
        }
    }
}

impl Machine {
    fn off(&self, key: &(String, u64), done: bool, history: &History) {
        history.add(Event::Off {
            task: key.0.clone(),
            attempt: key.1,
            machine: self.name.clone(),
            done,
        });
    }

    /// All tasks are gone.
    pub(crate) fn clear(&mut self, history: &History) {
        for (key, task) in std::mem::take(&mut self.tasks) {
            if task.phase == Phase::Running {
                self.off(&key, false, history);
            }
        }
    }

    /// Time passes: the lease may be over, tasks end.
    pub(crate) fn pass(&mut self, now: f64, lease_s: f64, history: &History) {
        if now - self.renewed > lease_s {
            self.clear(history);
            self.session += 1;
            self.renewed = now;
            self.changed = true;
        }
        let ended = |t: &Task| t.phase == Phase::Running && t.until <= now;
        let keys: Vec<_> = (self.tasks.iter().filter(|(_, t)| ended(t)))
            .map(|(k, _)| k.clone())
            .collect();
        for key in keys {
            self.exit(&key, Cause::Done, history);
        }
    }

    fn exit(&mut self, key: &(String, u64), cause: Cause, history: &History) {
        if let Some(task) = self.tasks.get_mut(key) {
            task.phase = Phase::Exited;
            task.cause = Some(cause);
            self.changed = true;
            self.off(key, cause == Cause::Done, history);
        }
    }

    pub(crate) fn report(&mut self) -> Report {
        self.seq += 1;
        let shown = self.tasks.iter().map(|((task, attempt), t)| Shown {
            task: task.clone(),
            attempt: *attempt,
            phase: t.phase,
            cause: t.cause,
            saved: None,
        });
        Report {
            machine: self.name.clone(),
            addr: self.addr.to_string(),
            kind: self.kind.name.clone(),
            zone: self.zone.clone(),
            spot: self.spot,
            session: self.session,
            seq: self.seq,
            token: self.token,
            notice_s: None,
            tasks: shown.collect(),
        }
    }

    pub(crate) fn execute(
        &mut self,
        commands: &[Command],
        jobs: &HashMap<String, JobSpec>,
        history: &History,
    ) {
        for command in commands {
            match command {
                Command::Start { task, attempt } => self.start(task, *attempt, jobs, history),
                Command::Stop { task, attempt, .. } => {
                    let key = (task.clone(), *attempt);
                    let runs = |t: &Task| t.phase == Phase::Running;
                    if self.tasks.get(&key).is_some_and(runs) {
                        self.exit(&key, Cause::Stopped, history);
                    }
                }
                Command::Forget { task, attempt } => {
                    let key = (task.clone(), *attempt);
                    let exited = |t: &Task| t.phase == Phase::Exited;
                    if self.tasks.get(&key).is_some_and(exited) {
                        self.tasks.remove(&key);
                    }
                }
            }
        }
    }

    fn start(
        &mut self,
        task: &str,
        attempt: u64,
        jobs: &HashMap<String, JobSpec>,
        history: &History,
    ) {
        let key = (task.to_string(), attempt);
        if self.tasks.contains_key(&key) {
            return;
        }
        let job = task.rsplit_once('/').and_then(|(job, _)| jobs.get(job));
        let on = |t: &&Task| t.phase == Phase::Running;
        let used: f64 = self.tasks.values().filter(on).map(|t| t.cpus).sum();
        let busy = (self.tasks.iter()).any(|((t, _), s)| t == task && s.phase == Phase::Running);
        let refused = match job {
            None => Some(Cause::Unknown),
            Some(_) if busy => Some(Cause::Busy),
            Some(spec) if used + spec.cpus > self.kind.cpus + 1e-6 => Some(Cause::NoRoom),
            Some(_) => None,
        };
        let (cpus, team, run_s) = job.map_or((0.0, String::new(), 0.0), |spec| {
            (spec.cpus, spec.team.clone(), spec.estimate_s)
        });
        let run_s = run_s * rand::rng().random_range(0.5..1.5);
        self.changed = true;
        if refused.is_none() {
            history.add(Event::On {
                task: task.into(),
                attempt,
                machine: self.name.clone(),
                team,
                cpus,
            });
        }
        let task = Task {
            phase: refused.map_or(Phase::Running, |_| Phase::Exited),
            cause: refused,
            until: history.now() + run_s,
            cpus,
        };
        self.tasks.insert(key, task);
    }
}
