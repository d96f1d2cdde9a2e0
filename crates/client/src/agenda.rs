//! The schedule of the next step of each job: submissions, cancellations and polls. Pure; times
//! are seconds that are passed in.

use crate::job::JobId;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};

/// Next step of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Step {
    /// Submit it.
    Submit,
    /// Cancel it.
    Cancel,
    /// Ask for its status.
    Poll,
}

/// Times in the heap are whole microseconds, which have a total order.
fn micros(s: f64) -> u64 {
    (s.max(0.0) * 1e6) as u64
}

/// A priority queue of steps by time. A job is in it once: a new entry replaces the one before.
#[derive(Debug, Default)]
pub struct Agenda {
    heap: BinaryHeap<Reverse<(u64, JobId)>>,
    entries: HashMap<JobId, (u64, Step)>,
}

impl Agenda {
    /// The job's next step is due at `at`.
    pub fn put(&mut self, job: JobId, step: Step, at: f64) {
        let at = micros(at);
        self.entries.insert(job, (at, step));
        self.heap.push(Reverse((at, job)));
    }

    /// Nothing more is to be done about the job.
    pub fn remove(&mut self, job: JobId) {
        self.entries.remove(&job);
    }

    /// When the next one is due.
    pub fn next_at(&mut self) -> Option<f64> {
        self.drop_stale();
        self.heap.peek().map(|Reverse((at, _))| *at as f64 / 1e6)
    }

    /// Takes the next one if it is due.
    pub fn take(&mut self, now: f64) -> Option<(JobId, Step)> {
        self.drop_stale();
        let Reverse((at, job)) = *self.heap.peek()?;
        if at > micros(now) {
            return None;
        }
        self.heap.pop();
        let (_, step) = self.entries.remove(&job)?;
        Some((job, step))
    }

    fn drop_stale(&mut self) {
        while let Some(Reverse((at, job))) = self.heap.peek() {
            if self.entries.get(job).is_some_and(|(known, _)| known == at) {
                return;
            }
            self.heap.pop();
        }
    }

    /// How many jobs are scheduled.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no job is scheduled.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}

/// In how many seconds to ask about an accepted job again. `expected_s` is how
/// long it should take from its acceptance, `age_s` how long ago that was: soon
/// when it should end, rarely when not. A quarter of the time left, and a
/// sixteenth of the whole at least, asks some ten times; a job that is overdue
/// is asked about ever more rarely, since its estimate was wrong.
pub fn poll_in(expected_s: f64, age_s: f64) -> f64 {
    let left_s = expected_s - age_s;
    let wait_s = if left_s > 0.0 {
        (left_s / 4.0).max(expected_s / 16.0)
    } else {
        -left_s / 8.0
    };
    wait_s.clamp(MIN_POLL_INTERVAL_S, MAX_POLL_INTERVAL_S)
}

/// The status of a job may lag by 3 s; asking more often tells nothing.
const MIN_POLL_INTERVAL_S: f64 = 3.0;
/// The longest time between two polls of a job.
const MAX_POLL_INTERVAL_S: f64 = 60.0;
