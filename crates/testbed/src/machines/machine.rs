//! One machine with its worker: lease, fencing token, session, and the tasks on it.
//!
//! A worker accepts commands only with a token that is not older than the newest it has seen,
//! and for its present session. When its lease expires it stops all tasks and begins a new
//! session.

use crate::history::{Event, History};
use foxspur_wire::cloud::{Listed, ListedState, MachineType};
use foxspur_wire::job::JobSpec;
use foxspur_wire::worker::{Cause, Command, Direct, Phase, Reply, Report, Shown};
use rand::Rng;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

/// Slack for sums of CPUs, which are not whole numbers.
const CPU_TOLERANCE: f64 = 1e-6;

/// A task and the number of its attempt.
type AttemptKey = (String, u64);

/// Descriptions of the jobs that users uploaded, by id.
pub(super) type JobSpecs = HashMap<String, JobSpec>;

/// An attempt of a task on a machine.
struct Task {
    phase: Phase,
    cause: Option<Cause>,
    /// When it ends by itself, in seconds of the history.
    ends_at: f64,
    cpus: f64,
}

impl Task {
    fn is_running(&self) -> bool {
        self.phase == Phase::Running
    }
}

/// What the cloud knows of a machine that it launches.
pub(super) struct Launch<'a> {
    pub name: String,
    pub kind: &'a MachineType,
    pub zone: &'a str,
    pub spot: bool,
    /// Where its worker listens.
    pub addr: SocketAddr,
    pub now: f64,
    /// When it has booted.
    pub up_at: f64,
}

/// What came of a direct call.
pub(crate) enum DirectCall {
    /// Token and session matched: the commands were carried out.
    Executed(Report),
    /// Token or session are not the worker's.
    Rejected(Report),
    /// The machine hangs: the call is carried out when it goes on.
    Hanging,
    /// Nobody answers at this address.
    Unreachable,
}

/// A machine. All times are seconds of the history.
pub(super) struct Machine {
    pub name: String,
    kind: MachineType,
    zone: String,
    spot: bool,
    launched_at: f64,
    up_at: f64,
    pub addr: SocketAddr,
    pub dead: bool,
    pub hung_until: f64,
    /// Until then its heartbeats arrive, but it receives neither answers nor commands.
    pub deaf_until: f64,
    pub session: u64,
    heartbeat_number: u64,
    token: u64,
    lease_renewed_at: f64,
    /// Whether a task changed since the last heartbeat.
    changed: bool,
    tasks: BTreeMap<AttemptKey, Task>,
}

impl Machine {
    pub fn new(launch: Launch) -> Machine {
        Machine {
            name: launch.name,
            kind: launch.kind.clone(),
            zone: launch.zone.into(),
            spot: launch.spot,
            launched_at: launch.now,
            up_at: launch.up_at,
            addr: launch.addr,
            dead: false,
            hung_until: 0.0,
            deaf_until: 0.0,
            session: 1,
            heartbeat_number: 0,
            token: 0,
            lease_renewed_at: launch.now,
            changed: true,
            tasks: BTreeMap::new(),
        }
    }

    /// Whether it has the given type, zone and price model.
    pub fn is_of(&self, kind: &MachineType, zone: &str, spot: bool) -> bool {
        self.kind.name == kind.name && self.zone == zone && self.spot == spot
    }

    /// Whether it has booted and is not dead; it may hang.
    pub fn is_up(&self, now: f64) -> bool {
        self.up_at <= now && !self.dead
    }

    /// Its entry in the cloud's list; nothing until the list shows it.
    pub fn listed(&self, now: f64, list_lag_s: f64) -> Option<Listed> {
        let age_s = now - self.launched_at;
        let state = match (self.dead, now < self.up_at) {
            (true, _) => ListedState::Failed,
            (_, true) => ListedState::Booting,
            _ => ListedState::Running,
        };
        (age_s > list_lag_s).then(|| Listed {
            id: self.name.clone(),
            kind: self.kind.name.clone(),
            zone: self.zone.clone(),
            spot: self.spot,
            state,
            age_s,
        })
    }

    /// Whether its worker can do anything at present. A lease does not run while it boots.
    pub fn can_work(&mut self, now: f64) -> bool {
        let booting = now < self.up_at;
        if booting {
            self.lease_renewed_at = now;
        }
        !self.dead && !booting && now >= self.hung_until
    }

    /// All tasks are gone, without a report.
    pub fn drop_tasks(&mut self, history: &History) {
        for (key, task) in std::mem::take(&mut self.tasks) {
            if task.is_running() {
                self.record_end(&key, false, history);
            }
        }
    }

    /// Time passes: the lease may expire, and tasks end.
    pub fn advance(&mut self, now: f64, lease_s: f64, history: &History) {
        if now - self.lease_renewed_at > lease_s {
            self.drop_tasks(history);
            self.session += 1;
            self.lease_renewed_at = now;
            self.changed = true;
        }
        let ended = |task: &Task| task.is_running() && task.ends_at <= now;
        let ended: Vec<AttemptKey> = (self.tasks.iter())
            .filter(|(_, task)| ended(task))
            .map(|(key, _)| key.clone())
            .collect();
        for key in ended {
            self.exit(&key, Cause::Done, history);
        }
    }

    /// Whether a heartbeat is due: at `next`, or a little earlier after a change.
    pub fn heartbeat_due(&self, now: f64, next: f64, interval_s: f64) -> bool {
        now >= next || (self.changed && now > next - 0.75 * interval_s)
    }

    /// A heartbeat with everything that changed.
    pub fn heartbeat(&mut self) -> Report {
        self.changed = false;
        self.report()
    }

    /// Takes the answer to a heartbeat sent at `sent_at` in `session`. Answers with an older
    /// token, or to an earlier session, are ignored.
    pub fn accept_reply(
        &mut self,
        reply: &Reply,
        session: u64,
        sent_at: f64,
        jobs: &JobSpecs,
        history: &History,
    ) {
        let hung = history.now() < self.hung_until || self.dead;
        if hung || reply.token < self.token || self.session != session {
            return;
        }
        self.token = reply.token;
        self.lease_renewed_at = sent_at;
        self.execute(&reply.commands, jobs, history);
    }

    /// A direct call arrives.
    pub fn accept_direct_call(
        &mut self,
        direct: &Direct,
        lease_s: f64,
        jobs: &JobSpecs,
        history: &History,
    ) -> DirectCall {
        let now = history.now();
        if now < self.deaf_until {
            return DirectCall::Unreachable;
        }
        if now < self.hung_until {
            return DirectCall::Hanging;
        }
        self.advance(now, lease_s, history);
        let accepted = direct.token >= self.token && direct.session == self.session;
        self.token = self.token.max(direct.token);
        if !accepted {
            return DirectCall::Rejected(self.report());
        }
        self.execute(&direct.commands, jobs, history);
        DirectCall::Executed(self.report())
    }

    fn report(&mut self) -> Report {
        self.heartbeat_number += 1;
        let tasks = self.tasks.iter().map(|((task, attempt), state)| Shown {
            task: task.clone(),
            attempt: *attempt,
            phase: state.phase,
            cause: state.cause,
            saved: None,
        });
        Report {
            machine: self.name.clone(),
            addr: self.addr.to_string(),
            kind: self.kind.name.clone(),
            zone: self.zone.clone(),
            spot: self.spot,
            session: self.session,
            seq: self.heartbeat_number,
            token: self.token,
            notice_s: None,
            tasks: tasks.collect(),
        }
    }

    fn execute(&mut self, commands: &[Command], jobs: &JobSpecs, history: &History) {
        for command in commands {
            match command {
                Command::Start { task, attempt } => self.start(task, *attempt, jobs, history),
                Command::Stop { task, attempt, .. } => {
                    let key = (task.clone(), *attempt);
                    if self.tasks.get(&key).is_some_and(Task::is_running) {
                        self.exit(&key, Cause::Stopped, history);
                    }
                }
                Command::Forget { task, attempt } => {
                    let key = (task.clone(), *attempt);
                    let exited = |task: &Task| task.phase == Phase::Exited;
                    if self.tasks.get(&key).is_some_and(exited) {
                        self.tasks.remove(&key);
                    }
                }
            }
        }
    }

    /// Starts an attempt, or records why it cannot start; a repeated command does nothing.
    fn start(&mut self, task: &str, attempt: u64, jobs: &JobSpecs, history: &History) {
        let key = (task.to_string(), attempt);
        if self.tasks.contains_key(&key) {
            return;
        }
        let job = task.rsplit_once('/').and_then(|(job, _)| jobs.get(job));
        let refusal = self.start_refusal(task, job);
        let (cpus, team, estimate_s) = job.map_or((0.0, String::new(), 0.0), |spec| {
            (spec.cpus, spec.team.clone(), spec.estimate_s)
        });
        let run_s = estimate_s * rand::rng().random_range(0.5..1.5);
        self.changed = true;
        if refusal.is_none() {
            history.add(Event::On {
                task: task.into(),
                attempt,
                machine: self.name.clone(),
                team,
                cpus,
            });
        }
        let state = Task {
            phase: refusal.map_or(Phase::Running, |_| Phase::Exited),
            cause: refusal,
            ends_at: history.now() + run_s,
            cpus,
        };
        self.tasks.insert(key, state);
    }

    fn start_refusal(&self, task: &str, job: Option<&JobSpec>) -> Option<Cause> {
        let Some(spec) = job else {
            return Some(Cause::Unknown);
        };
        let mut running = self.tasks.iter().filter(|(_, state)| state.is_running());
        let used_cpus: f64 = running.clone().map(|(_, state)| state.cpus).sum();
        if running.any(|((name, _), _)| name == task) {
            return Some(Cause::Busy);
        }
        (used_cpus + spec.cpus > self.kind.cpus + CPU_TOLERANCE).then_some(Cause::NoRoom)
    }

    fn exit(&mut self, key: &AttemptKey, cause: Cause, history: &History) {
        if let Some(task) = self.tasks.get_mut(key) {
            task.phase = Phase::Exited;
            task.cause = Some(cause);
            self.changed = true;
            self.record_end(key, cause == Cause::Done, history);
        }
    }

    fn record_end(&self, key: &AttemptKey, done: bool, history: &History) {
        history.add(Event::Off {
            task: key.0.clone(),
            attempt: key.1,
            machine: self.name.clone(),
            done,
        });
    }
}
