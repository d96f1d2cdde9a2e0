//! The history of a run: the events that the simulated services and the users observed, with
//! their times. [`crate::checker`] checks it against the rules of the protocol.

use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Instant;

/// The status of a job in an answer. An answer must not rank lower than any answer that was
/// received before its request was sent.
#[derive(Serialize, Deserialize, Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[serde(rename_all = "snake_case")]
pub enum Status {
    /// The job does not exist.
    Unknown,
    /// The job waits or runs.
    Accepted,
    /// All tasks of the job are completed.
    Done,
    /// The job is cancelled.
    Withdrawn,
}

impl Status {
    /// The status that a user's [`Event::Told`] implies, if any.
    pub(crate) fn from_told(what: &str) -> Option<Status> {
        match what {
            "accepted" | "known" => Some(Status::Accepted),
            "done" => Some(Status::Done),
            "withdrawn" => Some(Status::Withdrawn),
            _ => None,
        }
    }

    /// Whether a later answer may have the status `later`.
    pub(crate) fn allows(self, later: Status) -> bool {
        match self {
            Status::Done | Status::Withdrawn => later == self,
            Status::Unknown | Status::Accepted => later >= self,
        }
    }
}

/// One recorded event.
#[derive(Serialize, Deserialize, Clone, Debug, PartialEq)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum Event {
    /// A user was told the state of a job.
    Told {
        /// The idempotency key of its submission.
        key: String,
        /// The job's id.
        job: String,
        /// `accepted`, `known`, `refused STATUS`, `done`, `withdrawn` or `open: …`.
        what: String,
    },
    /// A user asked to cancel a job and was told that it is cancelled.
    Cancelled {
        /// The job's id.
        job: String,
    },
    /// An attempt of a task starts on a machine.
    On {
        /// The task's id.
        task: String,
        /// The attempt's number.
        attempt: u64,
        /// The machine's name.
        machine: String,
        /// The team of the job.
        team: String,
        /// CPUs that the attempt uses.
        cpus: f64,
    },
    /// An attempt of a task ends on a machine.
    Off {
        /// The task's id.
        task: String,
        /// The attempt's number.
        attempt: u64,
        /// The machine's name.
        machine: String,
        /// Whether the task is completed.
        done: bool,
    },
    /// A user polled a job that was accepted.
    Asked {
        /// The job's id.
        job: String,
        /// Whether there was an answer.
        answered: bool,
    },
    /// A controller answered a consistency probe.
    Looked {
        /// The job's id.
        job: String,
        /// When the probe was sent, in seconds since the history began.
        begun: f64,
        /// The status in the answer.
        status: Status,
    },
    /// A fault was injected.
    Fault {
        /// The name and amount of the fault; for machine faults also the machine.
        what: String,
    },
    /// Limits that apply from now on.
    Rules {
        /// A team.
        team: String,
        /// The most CPUs that the team may use; 0 for no limit.
        cpus_max: f64,
        /// For how many seconds the tasks of a cancelled job may keep running.
        cancel_s: f64,
    },
}

/// An event and its time.
#[derive(Serialize, Deserialize, Clone, Debug, PartialEq)]
pub struct Entry {
    /// Seconds since the history began.
    pub at: f64,
    /// The event.
    #[serde(flatten)]
    pub event: Event,
}

/// A history being recorded. Clones share the entries.
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
    fn lock(&self) -> MutexGuard<'_, Vec<Entry>> {
        self.entries
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// Seconds since the history began.
    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    /// Records an event that happens now.
    pub fn add(&self, event: Event) {
        let mut entries = self.lock();
        let at = self.now();
        entries.push(Entry { at, event });
    }

    /// All entries recorded so far.
    pub fn entries(&self) -> Vec<Entry> {
        self.lock().clone()
    }

    /// The entries recorded after the first `seen` entries.
    pub fn entries_from(&self, seen: usize) -> Vec<Entry> {
        self.lock().get(seen..).unwrap_or_default().to_vec()
    }

    /// Ids of the jobs about which a user received any answer but `refused`, sorted and without
    /// duplicates.
    pub fn accepted(&self) -> Vec<String> {
        let entries = self.lock();
        let jobs = entries.iter().filter_map(|entry| match &entry.event {
            Event::Told { job, what, .. } if what != "refused" => Some(job.clone()),
            _ => None,
        });
        let jobs: BTreeSet<String> = jobs.collect();
        jobs.into_iter().collect()
    }
}
