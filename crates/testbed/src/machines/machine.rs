//! One machine with its worker: lease, fencing token, session, and the tasks on it.
//!
//! A worker accepts commands only for its current session and with a token that is not older
//! than the newest token it has seen. When its lease expires, it stops all tasks and begins a new
//! session.

use crate::history::{Event, History};
use foxspur_wire::cloud::{ListedMachine, ListedState, MachineType};
use foxspur_wire::job::JobSpec;
use foxspur_wire::worker::{AttemptStatus, Cause, Command, DirectCommands, Phase, Reply, Report};
use rand::Rng;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

/// Tolerance for rounding errors in sums of CPUs.
const CPU_TOLERANCE: f64 = 1e-6;

/// The id of a task and the number of an attempt.
type AttemptKey = (String, u64);

/// Uploaded descriptions of jobs, by job id.
pub(super) type JobSpecs = HashMap<String, JobSpec>;

/// An attempt of a task on a machine.
struct TaskAttempt {
    phase: Phase,
    cause: Option<Cause>,
    /// When the attempt completes, in seconds since the history began.
    ends_at: f64,
    cpus: f64,
}

impl TaskAttempt {
    fn is_running(&self) -> bool {
        self.phase == Phase::Running
    }
}

/// Parameters of the launch of a machine.
pub(super) struct Launch<'a> {
    pub name: String,
    pub kind: &'a MachineType,
    pub zone: &'a str,
    pub spot: bool,
    /// Address at which the worker listens.
    pub addr: SocketAddr,
    pub now: f64,
    /// When the machine has booted, in seconds since the history began.
    pub up_at: f64,
}

/// Result of a direct call.
pub(crate) enum DirectCall {
    /// Token and session were valid and the commands were executed.
    Executed(Report),
    /// The token was too old or the session was not the current one.
    Rejected(Report),
    /// The machine hangs. `worker_api` repeats the call until the machine resumes.
    Hanging,
    /// The call reaches no machine at this address.
    Unreachable,
}

/// A machine and its worker. All times are in seconds since the history began.
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
    /// Until this time its heartbeats arrive, but it receives neither answers nor commands.
    pub inbound_lost_until: f64,
    pub session: u64,
    heartbeat_number: u64,
    token: u64,
    lease_renewed_at: f64,
    /// Whether a task changed since the last heartbeat.
    changed: bool,
    tasks: BTreeMap<AttemptKey, TaskAttempt>,
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
            inbound_lost_until: 0.0,
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

    /// Its entry in the cloud's list, or none while the list does not show it yet.
    pub fn listed(&self, now: f64, list_lag_s: f64) -> Option<ListedMachine> {
        let age_s = now - self.launched_at;
        let state = match (self.dead, now < self.up_at) {
            (true, _) => ListedState::Failed,
            (_, true) => ListedState::Booting,
            _ => ListedState::Running,
        };
        (age_s > list_lag_s).then(|| ListedMachine {
            id: self.name.clone(),
            kind: self.kind.name.clone(),
            zone: self.zone.clone(),
            spot: self.spot,
            state,
            age_s,
        })
    }

    /// Whether the worker runs at present. While the machine boots, this also renews the lease, so
    /// that the lease starts when the boot is complete.
    pub fn can_work(&mut self, now: f64) -> bool {
        let booting = now < self.up_at;
        if booting {
            self.lease_renewed_at = now;
        }
        !self.dead && !booting && now >= self.hung_until
    }

    /// Removes all tasks without reporting them to a controller.
    pub fn drop_tasks(&mut self, history: &History) {
        for (key, task) in std::mem::take(&mut self.tasks) {
            if task.is_running() {
                self.record_end(&key, false, history);
            }
        }
    }

    /// Advances the worker to `now`: ends the session if the lease has expired, and completes the
    /// tasks that are due.
    pub fn advance(&mut self, now: f64, lease_s: f64, history: &History) {
        if now - self.lease_renewed_at > lease_s {
            self.drop_tasks(history);
            self.session += 1;
            self.lease_renewed_at = now;
            self.changed = true;
        }
        let is_due = |task: &TaskAttempt| task.is_running() && task.ends_at <= now;
        let due: Vec<AttemptKey> = (self.tasks.iter())
            .filter(|(_, task)| is_due(task))
            .map(|(key, _)| key.clone())
            .collect();
        for key in due {
            self.exit(&key, Cause::Done, history);
        }
    }

    /// Whether a heartbeat is due: at `next`, or up to 0.75 intervals earlier after a change.
    pub fn heartbeat_due(&self, now: f64, next: f64, interval_s: f64) -> bool {
        now >= next || (self.changed && now > next - 0.75 * interval_s)
    }

    /// The next heartbeat. Marks all changes as reported.
    pub fn heartbeat(&mut self) -> Report {
        self.changed = false;
        self.report()
    }

    /// Handles the answer to a heartbeat that was sent at `sent_at` in `session`. Answers with an
    /// older token or to an earlier session are ignored, and so are all answers while the machine
    /// hangs or after it has died.
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

    /// Handles a direct call.
    pub fn accept_direct_call(
        &mut self,
        direct: &DirectCommands,
        lease_s: f64,
        jobs: &JobSpecs,
        history: &History,
    ) -> DirectCall {
        let now = history.now();
        if now < self.inbound_lost_until {
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
        let tasks = self
            .tasks
            .iter()
            .map(|((task, attempt), state)| AttemptStatus {
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
                    if self.tasks.get(&key).is_some_and(TaskAttempt::is_running) {
                        self.exit(&key, Cause::Stopped, history);
                    }
                }
                Command::Forget { task, attempt } => {
                    let key = (task.clone(), *attempt);
                    let exited = |task: &TaskAttempt| task.phase == Phase::Exited;
                    if self.tasks.get(&key).is_some_and(exited) {
                        self.tasks.remove(&key);
                    }
                }
            }
        }
    }

    /// Starts an attempt, or records why it cannot start. A repeated command has no effect.
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
        let state = TaskAttempt {
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
        let mut running = self
            .tasks
            .iter()
            .filter(|(_, attempt)| attempt.is_running());
        let used_cpus: f64 = running.clone().map(|(_, attempt)| attempt.cpus).sum();
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
