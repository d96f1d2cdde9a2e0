//! The history checker: it holds a recorded history against the rules of the protocol.
//!
//! Rules, by the word that begins the sentence of a violation: `ran_twice` (a task runs on at
//! most one machine at a time), `quota` (no team uses more than its limit), `ran_cancelled` (a
//! cancelled job's tasks end in time), `went_back` (answers are monotonic), `two jobs of one
//! key` (submissions are idempotent), `forgotten` (polls are answered), `nothing_ran`.

use crate::history::{Entry, Event, Status};
use std::collections::{BTreeMap, HashMap};

/// For how many seconds polls of a job may stay without an answer once no fault is injected
/// any more.
pub const FORGOTTEN_S: f64 = 75.0;

/// How long a task of a cancelled job may take to end after its time, in seconds.
const CANCEL_TOLERANCE_S: f64 = 0.5;
/// Slack for sums of CPUs, which are not whole numbers.
const CPU_TOLERANCE: f64 = 1e-6;

/// Checks a history; each violation of a rule in a sentence, none if all rules hold.
pub fn check(entries: &[Entry]) -> Vec<String> {
    let mut checker = Checker::default();
    for entry in entries {
        checker.step(entry);
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

/// What a running attempt uses.
struct Usage<'a> {
    team: &'a str,
    cpus: f64,
}

/// The state of the rules that are checked event by event.
#[derive(Default)]
struct Checker<'a> {
    violations: Vec<String>,
    /// Attempts that run, by task, in the order of their starts.
    running: HashMap<&'a str, Vec<Attempt<'a>>>,
    usage: HashMap<Attempt<'a>, Usage<'a>>,
    /// CPUs that each team uses, and the most it may use.
    used_cpus: HashMap<&'a str, f64>,
    cpu_limits: HashMap<&'a str, f64>,
    /// For how many seconds tasks of a cancelled job may stay; no limit until it is known.
    cancel_s: Option<f64>,
    /// When each job was cancelled.
    cancelled_at: HashMap<&'a str, f64>,
    /// The terminal status that users were told, by job.
    terminal: HashMap<&'a str, &'a str>,
    job_of_key: HashMap<&'a str, &'a str>,
    any_task_done: bool,
}

impl<'a> Checker<'a> {
    fn step(&mut self, entry: &'a Entry) {
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
                self.started(attempt, Usage { team, cpus: *cpus }, at);
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
                self.ended(attempt, at);
            }
            Event::Cancelled { job } => {
                self.cancelled_at.entry(job).or_insert(at);
            }
            Event::Told { key, job, what } => self.told(key, job, what),
            Event::Fault { .. } | Event::Asked { .. } | Event::Looked { .. } => {}
        }
    }

    fn started(&mut self, attempt: Attempt<'a>, usage: Usage<'a>, at: f64) {
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

    fn ended(&mut self, attempt: Attempt<'a>, at: f64) {
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

    /// Whether the task's job was cancelled so long ago that nothing of it may run.
    fn is_overdue(&self, task: &str, at: f64, tolerance_s: f64) -> bool {
        let job = task.rsplit_once('/').map_or("", |(job, _)| job);
        let Some(cancelled_at) = self.cancelled_at.get(job) else {
            return false;
        };
        let cancel_s = self.cancel_s.unwrap_or(f64::MAX);
        at - cancelled_at > cancel_s + tolerance_s
    }

    fn told(&mut self, key: &'a str, job: &'a str, what: &'a str) {
        let other = self.job_of_key.insert(key, job);
        if let Some(other) = other.filter(|other| *other != job) {
            let violation = format!("two jobs of one key: {key} is {other} and {job}");
            self.violations.push(violation);
        }
        if !matches!(what, "done" | "withdrawn") {
            return;
        }
        let known = *self.terminal.entry(job).or_insert(what);
        if known != what {
            let violation = format!("went_back: {job} is {known}, then {what}");
            self.violations.push(violation);
        }
    }
}

/// Jobs whose polls had no answer for too long after the last fault. Each job is judged by
/// itself: that polls of others are answered is no excuse.
fn unanswered_polls(entries: &[Entry]) -> Vec<String> {
    let faults = entries
        .iter()
        .filter(|entry| matches!(entry.event, Event::Fault { .. }));
    let last_fault = faults.map(|e| e.at).fold(f64::NEG_INFINITY, f64::max);
    let mut unanswered_since: BTreeMap<&str, f64> = BTreeMap::new();
    let mut forgotten: Vec<&str> = Vec::new();
    for Entry { at, event } in entries.iter().filter(|e| e.at >= last_fault) {
        let Event::Asked { job, answered } = event else {
            continue;
        };
        if *answered {
            unanswered_since.remove(job.as_str());
            continue;
        }
        let since = *unanswered_since.entry(job).or_insert(*at);
        if at - since > FORGOTTEN_S && !forgotten.contains(&job.as_str()) {
            forgotten.push(job);
        }
    }
    let violation = |job: &&str| format!("forgotten: {job} had no answer for {FORGOTTEN_S} s");
    forgotten.iter().map(violation).collect()
}

/// An answer about a job.
struct Answer {
    asked_at: f64,
    answered_at: f64,
    status: Status,
}

/// The job that an entry is an answer about, and the answer.
fn answer(entry: &Entry) -> Option<(&str, Answer)> {
    // When users asked is known of probes only: the other answers are compared with those to
    // later questions, not with earlier ones.
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

/// Answers to probes that are older than an answer that came before their question.
fn stale_answers(entries: &[Entry]) -> Vec<String> {
    let mut by_job: BTreeMap<&str, Vec<Answer>> = BTreeMap::new();
    for (job, answer) in entries.iter().filter_map(answer) {
        by_job.entry(job).or_default().push(answer);
    }
    let mut violations = Vec::new();
    for (job, answers) in by_job {
        for later in &answers {
            let mut before = answers.iter().filter(|a| a.answered_at < later.asked_at);
            let newer = before.find(|early| !early.status.allows(later.status));
            if let Some(Answer { status: early, .. }) = newer {
                let later = later.status;
                violations.push(format!("went_back: {job} is {early:?}, then {later:?}"));
            }
        }
    }
    violations
}
