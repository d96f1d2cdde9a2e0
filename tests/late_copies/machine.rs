//! A machine that follows the protocol. When it restarts, it keeps only the highest token that it has
//! seen, and counts its sessions and messages anew.

use crate::common::{report, LEASE_S};
use foxspur::coordination::agents::direct_calls::CallResult;
use foxspur::protocol::worker::{Cause, Command, DirectCommands, Phase, Report};
use std::collections::BTreeMap;

/// Time between two heartbeats, in seconds.
const HEARTBEAT_S: f64 = 1.0;
/// Minimum time between two heartbeats, in seconds.
const MIN_HEARTBEAT_S: f64 = 0.5;

/// An attempt on a machine: its phase, and its cause if it has exited.
type Status = (Phase, Option<Cause>);

pub struct Machine {
    pub id: String,
    pub session: u64,
    seq: u64,
    token: u64,
    lease_renewed_at: f64,
    /// The attempts, by task and attempt number.
    attempts: BTreeMap<(String, u64), Status>,
    /// The time until which no message passes, except late copies of direct calls.
    pub cut_off_until: f64,
    /// Whether the cloud has taken the machine back.
    pub returned: bool,
    heartbeat_at: f64,
    /// Whether the attempts or the session changed since the last heartbeat.
    changed: bool,
    reported_token: u64,
    reported_token_at: f64,
}

impl Machine {
    pub fn new(id: String, session: u64, token: u64) -> Machine {
        Machine {
            id,
            session,
            seq: 0,
            token,
            lease_renewed_at: 0.0,
            attempts: BTreeMap::new(),
            cut_off_until: 0.0,
            returned: false,
            heartbeat_at: f64::NEG_INFINITY,
            changed: false,
            reported_token: token,
            reported_token_at: f64::NEG_INFINITY,
        }
    }

    pub fn restart(&mut self, now: f64) {
        self.begin_session(1, now);
        self.seq = 0;
    }

    fn begin_session(&mut self, session: u64, now: f64) {
        self.session = session;
        self.lease_renewed_at = now;
        self.attempts.clear();
        self.changed = true;
    }

    pub fn end_lease_if_due(&mut self, now: f64) {
        if now - self.lease_renewed_at > LEASE_S {
            self.begin_session(self.session + 1, now);
        }
    }

    pub fn runs(&self, task: &str) -> bool {
        let mut attempts = self.attempts.iter();
        let runs = attempts.any(|((name, _), (phase, _))| name == task && *phase != Phase::Exited);
        !self.returned && runs
    }

    /// Ends the task if it runs here.
    pub fn end_task(&mut self, task: &str, cause: Cause) {
        for ((name, _), status) in &mut self.attempts {
            if name == task && status.0 != Phase::Exited {
                *status = (Phase::Exited, Some(cause));
                self.changed = true;
            }
        }
    }

    /// The next heartbeat; `None` if none is due. A higher token counts as a change at most once in
    /// half a lease.
    pub fn heartbeat(&mut self, now: f64) -> Option<Report> {
        let token_changed =
            self.token > self.reported_token && now - self.reported_token_at >= LEASE_S / 2.0;
        let since = now - self.heartbeat_at;
        let changed = self.changed || token_changed;
        let is_due = since >= HEARTBEAT_S || changed && since >= MIN_HEARTBEAT_S;
        if !is_due || self.returned {
            return None;
        }
        self.heartbeat_at = now;
        if now < self.cut_off_until {
            // No controller is reached, but the message has its number.
            self.seq += 1;
            return None;
        }
        self.changed = false;
        if self.token > self.reported_token {
            self.reported_token = self.token;
            self.reported_token_at = now;
        }
        Some(self.report())
    }

    fn report(&mut self) -> Report {
        self.seq += 1;
        let attempts = self.attempts.iter();
        let tasks: Vec<_> = attempts
            .map(|((task, attempt), (phase, cause))| (task.as_str(), *attempt, *phase, *cause))
            .collect();
        report(&self.id, self.session, self.seq, self.token, &tasks)
    }

    /// Receives the answer to the heartbeat that it has just sent.
    pub fn receive_answer(&mut self, token: u64, commands: &[Command], now: f64) {
        if token >= self.token {
            self.token = token;
            self.lease_renewed_at = now;
            self.execute(commands);
        }
    }

    pub fn receive_call(&mut self, call: &DirectCommands) -> CallResult {
        let accepted = call.token >= self.token && call.session == self.session;
        self.token = self.token.max(call.token);
        if !accepted {
            return CallResult::Rejected(self.report());
        }
        self.execute(&call.commands);
        CallResult::Executed(self.report())
    }

    fn execute(&mut self, commands: &[Command]) {
        for command in commands {
            match command {
                Command::Start { task, attempt } => {
                    let attempts = &mut self.attempts;
                    let key = (task.clone(), *attempt);
                    attempts.entry(key).or_insert((Phase::Running, None));
                }
                Command::Stop { task, attempt, .. } => {
                    if let Some(status) = self.attempts.get_mut(&(task.clone(), *attempt)) {
                        *status = (Phase::Exited, Some(Cause::Stopped));
                    }
                }
                Command::Forget { task, attempt } => {
                    self.attempts.remove(&(task.clone(), *attempt));
                }
            }
            self.changed = true;
        }
    }
}
