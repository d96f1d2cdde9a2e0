//! The history checker: it checks a recorded history against the rules of the protocol.
//!
//! The message of a violation begins with the name of the rule:
//! - `ran_twice`: a task runs on at most one machine at a time.
//! - `quota`: no team uses more CPUs than its limit.
//! - `ran_cancelled`: the tasks of a cancelled job end in time.
//! - `went_back`: answers about a job are monotonic.
//! - `two jobs of one key`: submissions are idempotent.
//! - `forgotten`: polls are answered.
//! - `nothing_ran`: at least one task is completed.

use crate::history::{Entry, Event, Status};
use std::collections::{BTreeMap, HashMap};

/// The longest time for which polls of a job may stay unanswered after the last fault.
pub const MAX_UNANSWERED_S: f64 = 75.0;

/// How long after the cancellation limit a task of a cancelled job may still end.
const CANCEL_TOLERANCE_S: f64 = 0.5;
/// Tolerance for rounding errors in sums of CPUs.
const CPU_TOLERANCE: f64 = 1e-6;

/// Checks a history. Returns one message for each violation of a rule.
pub fn check(entries: &[Entry]) -> Vec<String> {
    let mut checker = Checker::default();
    for entry in entries {
        checker.check_entry(entry);
    }
    let mut violations = checker.violations;
    violations.extend(unanswered_polls(entries));
    violations.extend(stale_answers(entries));
    if !checker.any_task_done {
        violations.push("nothing_ran: no task was done".into());
    }
    violations
}

/// An attempt of a task on a machine.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
struct Attempt<'a> {
    task: &'a str,
    number: u64,
    machine: &'a str,
}

/// The CPUs that a running attempt uses of its team's limit.
struct Usage<'a> {
    team: &'a str,
    cpus: f64,
}

/// The state of those rules that are checked entry by entry.
#[derive(Default)]
struct Checker<'a> {
    violations: Vec<String>,
    /// Running attempts by task, in the order in which they started.
    running: HashMap<&'a str, Vec<Attempt<'a>>>,
    usage: HashMap<Attempt<'a>, Usage<'a>>,
    /// CPUs in use, by team.
    used_cpus: HashMap<&'a str, f64>,
    /// The most CPUs that each team may use; 0 for no limit.
    cpu_limits: HashMap<&'a str, f64>,
    /// For how many seconds tasks of a cancelled job may keep running. No limit applies until the
    /// history states one.
    cancel_s: Option<f64>,
    /// When each job was cancelled, in seconds since the history began.
    cancelled_at: HashMap<&'a str, f64>,
    /// The first terminal status that a user was told, by job.
    terminal: HashMap<&'a str, &'a str>,
    job_of_key: HashMap<&'a str, &'a str>,
    any_task_done: bool,
}

impl<'a> Checker<'a> {
    fn check_entry(&mut self, entry: &'a Entry) {
        let at = entry.at;
        match &entry.event {
            Event::Rules {
                team,
                cpus_max,
                cancel_s,
            } => {
                self.cpu_limits.insert(team, *cpus_max);
                self.cancel_s = Some(*cancel_s);
            }
            Event::On {
                task,
                attempt,
                machine,
                team,
                cpus,
            } => {
                let number = *attempt;
                let attempt = Attempt {
                    task,
                    number,
                    machine,
                };
                self.attempt_started(attempt, Usage { team, cpus: *cpus }, at);
            }
            Event::Off {
                task,
                attempt,
                machine,
                done,
            } => {
                let number = *attempt;
                let attempt = Attempt {
                    task,
                    number,
                    machine,
                };
                self.any_task_done |= done;
                self.attempt_ended(attempt, at);
            }
            Event::Cancelled { job } => {
                self.cancelled_at.entry(job).or_insert(at);
            }
            Event::Told { key, job, what } => self.user_told(key, job, what),
            Event::Fault { .. } | Event::Asked { .. } | Event::Looked { .. } => {}
        }
    }

    fn attempt_started(&mut self, attempt: Attempt<'a>, usage: Usage<'a>, at: f64) {
        let Attempt {
            task,
            number,
            machine,
        } = attempt;
        let running = self.running.entry(task).or_default();
        if let Some(other) = running.first() {
            self.violations.push(format!(
                "ran_twice: {task} attempt {number} on {machine}, {} on {} at {at:.2}",
                other.number, other.machine
            ));
        }
        running.push(attempt);
        self.check_quota(&usage, at);
        self.usage.insert(attempt, usage);
        if self.is_overdue(task, at, 0.0) {
            let violation = format!("ran_cancelled: {task} starts at {at:.2}");
            self.violations.push(violation);
        }
    }

    fn check_quota(&mut self, usage: &Usage<'a>, at: f64) {
        let team = usage.team;
        let used = self.used_cpus.entry(team).or_default();
        *used += usage.cpus;
        let limit = self.cpu_limits.get(team).copied().unwrap_or(0.0);
        if limit > 0.0 && *used > limit + CPU_TOLERANCE {
            let violation = format!("quota: {team} uses {used} of {limit} at {at:.2}");
            self.violations.push(violation);
        }
    }

    fn attempt_ended(&mut self, attempt: Attempt<'a>, at: f64) {
        let task = attempt.task;
        if let Some(running) = self.running.get_mut(task) {
            running.retain(|other| *other != attempt);
        }
        if let Some(usage) = self.usage.remove(&attempt) {
            *self.used_cpus.entry(usage.team).or_default() -= usage.cpus;
        }
        if self.is_overdue(task, at, CANCEL_TOLERANCE_S) {
            let violation = format!("ran_cancelled: {task} stays until {at:.2}");
            self.violations.push(violation);
        }
    }

    /// Whether the task's job was cancelled longer ago than its tasks may keep running.
    fn is_overdue(&self, task: &str, at: f64, tolerance_s: f64) -> bool {
        let job = task.rsplit_once('/').map_or("", |(job, _)| job);
        let Some(cancelled_at) = self.cancelled_at.get(job) else {
            return false;
        };
        let cancel_s = self.cancel_s.unwrap_or(f64::MAX);
        at - cancelled_at > cancel_s + tolerance_s
    }

    fn user_told(&mut self, key: &'a str, job: &'a str, what: &'a str) {
        let other = self.job_of_key.insert(key, job);
        if let Some(other) = other.filter(|other| *other != job) {
            let violation = format!("two jobs of one key: {key} is {other} and {job}");
            self.violations.push(violation);
        }
        if !matches!(what, "done" | "withdrawn") {
            return;
        }
        let first = *self.terminal.entry(job).or_insert(what);
        if first != what {
            let violation = format!("went_back: {job} is {first}, then {what}");
            self.violations.push(violation);
        }
    }
}

/// Finds jobs whose polls stayed unanswered for too long after the last fault. Each job is checked
/// separately, so answered polls of other jobs do not hide a job without answers.
fn unanswered_polls(entries: &[Entry]) -> Vec<String> {
    let faults = entries
        .iter()
        .filter(|entry| matches!(entry.event, Event::Fault { .. }));
    let last_fault = faults.map(|e| e.at).fold(f64::NEG_INFINITY, f64::max);
    let mut unanswered_since: BTreeMap<&str, f64> = BTreeMap::new();
    let mut unanswered_jobs: Vec<&str> = Vec::new();
    for Entry { at, event } in entries.iter().filter(|e| e.at >= last_fault) {
        let Event::Asked { job, answered } = event else {
            continue;
        };
        if *answered {
            unanswered_since.remove(job.as_str());
            continue;
        }
        let since = *unanswered_since.entry(job).or_insert(*at);
        if at - since > MAX_UNANSWERED_S && !unanswered_jobs.contains(&job.as_str()) {
            unanswered_jobs.push(job);
        }
    }
    let violation = |job: &&str| format!("forgotten: {job} had no answer for {MAX_UNANSWERED_S} s");
    unanswered_jobs.iter().map(violation).collect()
}

/// An answer about the status of a job.
struct Answer {
    asked_at: f64,
    answered_at: f64,
    status: Status,
}

/// The job and the answer that an entry records, if it records one.
fn answer(entry: &Entry) -> Option<(&str, Answer)> {
    // The time of the request is recorded for probes only. Every other answer therefore counts as
    // requested before the history began: later probes are compared with this answer, but this
    // answer is not compared with earlier ones.
    let (job, asked_at, status) = match &entry.event {
        Event::Looked { job, begun, status } => (job, *begun, *status),
        Event::Cancelled { job } => (job, f64::NEG_INFINITY, Status::Withdrawn),
        Event::Told { job, what, .. } => (job, f64::NEG_INFINITY, Status::from_told(what)?),
        _ => return None,
    };
    let answer = Answer {
        asked_at,
        answered_at: entry.at,
        status,
    };
    Some((job, answer))
}

/// Finds answers to probes that contradict an answer received before the probe was sent.
fn stale_answers(entries: &[Entry]) -> Vec<String> {
    let mut by_job: BTreeMap<&str, Vec<Answer>> = BTreeMap::new();
    for (job, answer) in entries.iter().filter_map(answer) {
        by_job.entry(job).or_default().push(answer);
    }
    let mut violations = Vec::new();
    for (job, answers) in by_job {
        for later in &answers {
            let mut earlier = answers.iter().filter(|a| a.answered_at < later.asked_at);
            let contradicted = earlier.find(|early| !early.status.allows(later.status));
            if let Some(Answer { status: early, .. }) = contradicted {
                let later = later.status;
                violations.push(format!("went_back: {job} is {early:?}, then {later:?}"));
            }
        }
    }
    violations
}
