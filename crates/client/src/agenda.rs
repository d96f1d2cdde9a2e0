//! When to ask about what: one schedule for submissions, cancellations and polls
//! of all jobs. Pure, in seconds passed in.

use crate::job::JobId;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};

/// Next step of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Step {
    Submit,
    Cancel,
    Poll,
}

/// Times in the heap, in microseconds, for they must have an order.
fn micros(s: f64) -> u64 {
    (s.max(0.0) * 1e6) as u64
}

/// What is due when. A job is in it once: a new entry replaces the one before.
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

    pub fn len(&self) -> usize {
        self.entries.len()
    }

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
    let left = expected_s - age_s;
    let wait = if left > 0.0 {
        (left / 4.0).max(expected_s / 16.0)
    } else {
        -left / 8.0
    };
    wait.clamp(LEAST_POLL_S, MOST_POLL_S)
}

/// The state of a job may lag by 3 s; asking more often tells nothing.
const LEAST_POLL_S: f64 = 3.0;
const MOST_POLL_S: f64 = 60.0;
