//! What happened, as the stand-ins saw it, and the rules of the protocol held
//! against it.

use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// What an answer says of a job: no answer may rank lower than one that came before its
/// question.
#[derive(Serialize, Deserialize, Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[serde(rename_all = "snake_case")]
pub enum Status {
    Unknown,
    Accepted,
    Done,
    Withdrawn,
}

impl Status {
    /// What a user was told, if that says how the job stands.
    fn of(what: &str) -> Option<Status> {
        match what {
            "accepted" | "known" => Some(Status::Accepted),
            "done" => Some(Status::Done),
            "withdrawn" => Some(Status::Withdrawn),
            _ => None,
        }
    }

    fn allows(self, later: Status) -> bool {
        match self {
            Status::Done | Status::Withdrawn => later == self,
            Status::Unknown | Status::Accepted => later >= self,
        }
    }
}

/// One thing that happened.
#[derive(Serialize, Deserialize, Clone, Debug, PartialEq)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum Event {
    /// A user was told: `accepted`, `known`, `refused`, `done`, `withdrawn`, …
    Told {
        key: String,
        job: String,
        what: String,
    },
    /// A user asked to cancel a job and was told that it is.
    Cancelled { job: String },
    /// An attempt went on a machine, and off it.
    On {
        task: String,
        attempt: u64,
        machine: String,
        team: String,
        cpus: f64,
    },
    Off {
        task: String,
        attempt: u64,
        machine: String,
        done: bool,
    },
    /// Somebody asked about a job that was accepted: whether there was an answer.
    Asked { job: String, answered: bool },
    /// A controller answered a close look: what it said of the job, and when it was asked.
    Looked {
        job: String,
        begun: f64,
        status: Status,
    },
    /// A fault was made.
    Fault { what: String },
    /// A limit of a team, and for how long a cancelled job's tasks may stay.
    Rules {
        team: String,
        cpus_max: f64,
        cancel_s: f64,
    },
}

/// An event and when it was, in seconds.
#[derive(Serialize, Deserialize, Clone, Debug, PartialEq)]
pub struct Entry {
    pub at: f64,
    #[serde(flatten)]
    pub event: Event,
}

/// A history being recorded; clones share it.
#[derive(Clone)]
pub struct History {
    start: Instant,
    entries: Arc<Mutex<Vec<Entry>>>,
}

impl Default for History {
    fn default() -> Self {
        History {
            start: Instant::now(),
            entries: Arc::default(),
        }
    }
}

impl History {
    /// Jobs that a user was told are accepted, or known.
    pub fn accepted(&self) -> Vec<String> {
        let entries = self.entries.lock().unwrap_or_else(|e| e.into_inner());
        let jobs = entries.iter().filter_map(|e| match &e.event {
            Event::Told { job, what, .. } if what != "refused" => Some(job.clone()),
            _ => None,
        });
        let jobs: std::collections::BTreeSet<String> = jobs.collect();
        jobs.into_iter().collect()
    }

    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    pub fn add(&self, event: Event) {
        let mut entries = self.entries.lock().unwrap_or_else(|e| e.into_inner());
        let at = self.now();
        entries.push(Entry { at, event });
    }

    /// What was recorded after the first `seen` entries.
    pub fn entries_from(&self, seen: usize) -> Vec<Entry> {
        let entries = self.entries.lock().unwrap_or_else(|e| e.into_inner());
        entries.get(seen..).unwrap_or_default().to_vec()
    }

    pub fn entries(&self) -> Vec<Entry> {
        self.entries
            .lock()
            .unwrap_or_else(|e| e.into_inner())
            .clone()
    }
}

/// For how long questions about a job may be in vain once no fault is made any more.
pub const FORGOTTEN_S: f64 = 75.0;

/// Jobs about which no question was answered for too long after the last fault, each by
/// itself: that others are answered is no excuse.
fn forgotten(entries: &[Entry]) -> Vec<String> {
    let faults = entries
        .iter()
        .filter(|e| matches!(e.event, Event::Fault { .. }));
    let calm = faults.map(|e| e.at).fold(f64::NEG_INFINITY, f64::max);
    let mut since: BTreeMap<&str, f64> = BTreeMap::new();
    let mut lost = Vec::new();
    for Entry { at, event } in entries.iter().filter(|e| e.at >= calm) {
        let Event::Asked { job, answered } = event else {
            continue;
        };
        if *answered {
            since.remove(job.as_str());
            continue;
        }
        let first = *since.entry(job).or_insert(*at);
        if at - first > FORGOTTEN_S && !lost.contains(&job.as_str()) {
            lost.push(job);
        }
    }
    let told = |job: &&str| format!("forgotten: {job} had no answer for {FORGOTTEN_S} s");
    lost.iter().map(told).collect()
}

/// What an event tells a user of a job, and when the question was asked.
fn said(entry: &Entry) -> Option<(&str, f64, Status)> {
    match &entry.event {
        Event::Looked { job, begun, status } => Some((job, *begun, *status)),
        // When these were asked is not known: they are held against what came later only.
        Event::Cancelled { job } => Some((job, f64::NEG_INFINITY, Status::Withdrawn)),
        Event::Told { job, what, .. } => Some((job, f64::NEG_INFINITY, Status::of(what)?)),
        _ => None,
    }
}

/// Answers to close looks that are older than an answer that came before their question.
fn went_back(entries: &[Entry]) -> Vec<String> {
    let mut by_job: BTreeMap<&str, Vec<(f64, f64, Status)>> = BTreeMap::new();
    for entry in entries {
        if let Some((job, begun, status)) = said(entry) {
            let answers = by_job.entry(job).or_default();
            answers.push((begun, entry.at, status));
        }
    }
    let mut broken = Vec::new();
    for (job, answers) in by_job {
        for (begun, _, later) in &answers {
            let before = answers.iter().filter(|(_, at, _)| at < begun);
            let older = before.map(|a| a.2).find(|early| !early.allows(*later));
            if let Some(early) = older {
                broken.push(format!("went_back: {job} is {early:?}, then {later:?}"));
            }
        }
    }
    broken
}

/// Holds a history against the rules; each broken one in a sentence.
pub fn check(entries: &[Entry]) -> Vec<String> {
    let mut broken = Vec::new();
    // Where each task is, by attempt and machine; what each team uses.
    let mut on: HashMap<&str, Vec<(u64, &str)>> = HashMap::new();
    let mut used: HashMap<&str, f64> = HashMap::new();
    let mut held: HashMap<(&str, u64, &str), (&str, f64)> = HashMap::new();
    let mut limits: HashMap<&str, f64> = HashMap::new();
    let mut cancel_s = f64::MAX;
    let mut cancelled: HashMap<&str, f64> = HashMap::new();
    let mut finals: HashMap<&str, &str> = HashMap::new();
    let mut keys: BTreeMap<&str, &str> = BTreeMap::new();
    let mut done: HashMap<&str, f64> = HashMap::new();
    let job_of = |task: &str| {
        task.rsplit_once('/')
            .map_or(String::new(), |t| t.0.to_string())
    };
    for Entry { at, event } in entries {
        match event {
            Event::Rules {
                team,
                cpus_max,
                cancel_s: s,
            } => {
                limits.insert(team, *cpus_max);
                cancel_s = *s;
            }
            Event::On {
                task,
                attempt,
                machine,
                team,
                cpus,
            } => {
                let places = on.entry(task).or_default();
                if let Some((other, place)) = places.first() {
                    broken.push(format!(
                        "ran_twice: {task} attempt {attempt} on {machine}, {other} on {place} at {at:.2}"
                    ));
                }
                places.push((*attempt, machine));
                held.insert((task, *attempt, machine), (team, *cpus));
                let sum = used.entry(team).or_default();
                *sum += cpus;
                let most = limits.get(&**team).copied().unwrap_or(0.0);
                if most > 0.0 && *sum > most + 1e-6 {
                    broken.push(format!("quota: {team} uses {sum} of {most} at {at:.2}"));
                }
                let late = cancelled
                    .get(&*job_of(task))
                    .is_some_and(|c| at - c > cancel_s);
                if late {
                    broken.push(format!("ran_cancelled: {task} starts at {at:.2}"));
                }
            }
            Event::Off {
                task,
                attempt,
                machine,
                done: finished,
            } => {
                if let Some(places) = on.get_mut(&**task) {
                    places.retain(|p| *p != (*attempt, machine.as_str()));
                }
                if let Some((team, cpus)) =
                    held.remove(&(task.as_str(), *attempt, machine.as_str()))
                {
                    *used.entry(team).or_default() -= cpus;
                }
                if *finished {
                    done.insert(task, *at);
                }
                let late = cancelled
                    .get(&*job_of(task))
                    .is_some_and(|c| at - c > cancel_s + 0.5);
                if late {
                    broken.push(format!("ran_cancelled: {task} stays until {at:.2}"));
                }
            }
            Event::Cancelled { job } => {
                cancelled.entry(job).or_insert(*at);
            }
            Event::Told { key, job, what } => {
                if let Some(other) = keys.insert(key, job).filter(|o| *o != job.as_str()) {
                    broken.push(format!("two jobs of one key: {key} is {other} and {job}"));
                }
                let last = matches!(what.as_str(), "done" | "withdrawn");
                match finals.get(job.as_str()) {
                    Some(known) if last && *known != what.as_str() => {
                        broken.push(format!("went_back: {job} is {known}, then {what}"));
                    }
                    _ if last => {
                        finals.insert(job, what);
                    }
                    _ => {}
                }
            }
            Event::Fault { .. } | Event::Asked { .. } | Event::Looked { .. } => {}
        }
    }
    broken.extend(forgotten(entries));
    broken.extend(went_back(entries));
    if done.is_empty() {
        broken.push("nothing_ran: no task was done".into());
    }
    broken
}
