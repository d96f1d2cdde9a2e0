//! Schedules the next step of each job: a submission, a cancellation or a poll. It does no I/O and
//! reads no clock: callers pass times in seconds.

use crate::job::JobId;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};

/// The next request to make for a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Step {
    /// Submit it.
    Submit,
    /// Cancel it.
    Cancel,
    /// Ask for its status.
    Poll,
}

/// Converts seconds to whole microseconds. Unlike floating-point numbers, integers have the total
/// order that the heap requires.
fn to_micros(seconds: f64) -> u64 {
    (seconds.max(0.0) * 1e6) as u64
}

/// A priority queue of steps, ordered by due time. Each job has at most one entry; a new entry
/// replaces the previous one.
#[derive(Debug, Default)]
pub struct Schedule {
    /// Due times in microseconds. An entry is stale unless `entries` has the same time for the job.
    heap: BinaryHeap<Reverse<(u64, JobId)>>,
    entries: HashMap<JobId, (u64, Step)>,
}

impl Schedule {
    /// Schedules the job's next step at `at`, in place of any step scheduled before.
    pub fn put(&mut self, job: JobId, step: Step, at: f64) {
        let at = to_micros(at);
        self.entries.insert(job, (at, step));
        self.heap.push(Reverse((at, job)));
    }

    /// Removes the job from the schedule.
    pub fn remove(&mut self, job: JobId) {
        self.entries.remove(&job);
    }

    /// The time at which the earliest step is due.
    pub fn next_at(&mut self) -> Option<f64> {
        self.drop_stale();
        self.heap.peek().map(|Reverse((at, _))| *at as f64 / 1e6)
    }

    /// Removes and returns the earliest step if it is due.
    pub fn take(&mut self, now: f64) -> Option<(JobId, Step)> {
        self.drop_stale();
        let Reverse((at, job)) = *self.heap.peek()?;
        if at > to_micros(now) {
            return None;
        }
        self.heap.pop();
        let (_, step) = self.entries.remove(&job)?;
        Some((job, step))
    }

    /// Removes stale entries from the top of the heap.
    fn drop_stale(&mut self) {
        while let Some(Reverse((at, job))) = self.heap.peek() {
            if self
                .entries
                .get(job)
                .is_some_and(|(current, _)| current == at)
            {
                return;
            }
            self.heap.pop();
        }
    }

    /// The number of scheduled jobs.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no job is scheduled.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}

/// The time in seconds until the next poll of an accepted job. `expected_s` is its expected
/// duration from acceptance and `age_s` is the time since acceptance.
///
/// The interval is a quarter of the remaining time and at least a sixteenth of the expected
/// duration, so that polls become denser towards the expected end. This makes some ten polls per
/// job. Once a job is overdue its estimate has proven wrong, and the interval grows with the delay.
pub fn poll_in(expected_s: f64, age_s: f64) -> f64 {
    let remaining_s = expected_s - age_s;
    let wait_s = if remaining_s > 0.0 {
        (remaining_s / 4.0).max(expected_s / 16.0)
    } else {
        -remaining_s / 8.0
    };
    wait_s.clamp(MIN_POLL_INTERVAL_S, MAX_POLL_INTERVAL_S)
}

/// The shortest time between two polls of a job. A job's reported status may lag by 3 s, so that
/// shorter intervals bring nothing new.
const MIN_POLL_INTERVAL_S: f64 = 3.0;
/// The longest time between two polls of a job.
const MAX_POLL_INTERVAL_S: f64 = 60.0;
