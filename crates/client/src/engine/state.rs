//! The engine's state under one lock: the open jobs, their schedule, and the limits on requests. It
//! decides which attempts begin now and what the next step of each job is. Times are seconds since
//! the engine's start.

use crate::fronts::Fronts;
use crate::job::JobId;
use crate::measure;
use crate::pace::{backoff, InFlightLimit, RateLimiter, RetryBudget};
use crate::record::{Phase, Record};
use crate::schedule::{poll_in, Schedule, Step};
use crate::settings::Settings;
use foxspur_wire::job::JobSpec;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::HashMap;
use tokio::sync::watch;

/// Bounds of the wait in seconds before a retry that the budget did not admit is tried again.
const MIN_WITHHELD_S: f64 = 0.01;
const MAX_WITHHELD_S: f64 = 5.0;

/// A job's state as published to callers that wait for it. It contains only what is on disk.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct JobUpdate {
    pub record: Record,
    /// Whether an attempt of this process was the one that was accepted.
    pub fresh: bool,
}

/// A job that is neither refused nor at a final status.
pub(super) struct OpenJob {
    /// The job's record, including changes that are still being written.
    pub record: Record,
    pub fresh: bool,
    updates: watch::Sender<JobUpdate>,
    /// Attempts since the last conclusive answer or request to cancel.
    pub tries: u32,
    /// Failed attempts in a row.
    pub failures: u32,
    /// When this process learned that the job was accepted, or the time of adding it here.
    pub accepted_at: f64,
    /// The user's estimate of a task's run time.
    expected_s: f64,
    /// Whether the job has waited for a slot of the poll rate limiter, which its next poll uses.
    has_poll_slot: bool,
    /// Whether the last write of the record failed, so that it must be repeated.
    pub unwritten: bool,
    /// Whether an attempt is under way. Its end schedules the next step.
    pub busy: bool,
}

impl OpenJob {
    pub fn new(record: Record, now: f64) -> OpenJob {
        let spec = serde_json::from_str::<JobSpec>(&record.body);
        let update = JobUpdate {
            record: record.clone(),
            fresh: false,
        };
        OpenJob {
            record,
            fresh: false,
            updates: watch::Sender::new(update),
            tries: 0,
            failures: 0,
            accepted_at: now,
            expected_s: spec.map_or(0.0, |spec| spec.estimate_s),
            has_poll_slot: false,
            unwritten: false,
            busy: false,
        }
    }

    pub fn subscribe(&self) -> watch::Receiver<JobUpdate> {
        self.updates.subscribe()
    }

    /// Publishes the job's state to the callers that wait, if it has changed.
    pub fn publish(&self) {
        let update = JobUpdate {
            record: self.record.clone(),
            fresh: self.fresh,
        };
        self.updates.send_if_modified(|published| {
            let changed = *published != update;
            *published = update;
            changed
        });
    }

    /// The next step of the job.
    pub fn next_step(&self) -> Step {
        match (&self.record.phase, self.record.cancel) {
            // Also while it is not known whether the job was accepted: the answer may have been
            // lost, and cancelling directly is the fastest way.
            (_, true) => Step::Cancel,
            (Phase::Waiting, false) => Step::Submit,
            _ => Step::Poll,
        }
    }

    /// The wait in seconds until this step is due.
    pub fn wait_for(&self, step: Step, now: f64) -> f64 {
        match step {
            Step::Submit | Step::Cancel => 0.0,
            Step::Poll => poll_in(self.expected_s, now - self.accepted_at),
        }
    }
}

/// An attempt that was admitted.
#[derive(Clone, Copy)]
pub(super) struct Attempt {
    pub id: JobId,
    pub step: Step,
    pub front: usize,
}

/// The attempts that begin now, and when to check the schedule again.
pub(super) struct Due {
    pub attempts: Vec<Attempt>,
    /// When the next step is due. `None` if no step is scheduled or none may begin before a running
    /// attempt ends.
    pub next_at: Option<f64>,
}

/// All open jobs, their schedule, and the limits on requests.
pub(super) struct State {
    pub open: HashMap<JobId, OpenJob>,
    pub schedule: Schedule,
    pub fronts: Fronts,
    pub in_flight: InFlightLimit,
    pub retries: RetryBudget,
    polls: RateLimiter,
    pub rng: StdRng,
    pub closed: bool,
}

impl State {
    pub fn new(settings: &Settings, seed: u64) -> State {
        State {
            open: HashMap::new(),
            schedule: Schedule::default(),
            fronts: Fronts::new(settings.fronts.len()),
            in_flight: InFlightLimit::new(settings.in_flight),
            retries: RetryBudget::new(
                settings.retry_share,
                settings.retry_floor_per_s,
                settings.retry_most,
            ),
            polls: RateLimiter::new(settings.polls_per_s, settings.polls_per_s),
            rng: StdRng::seed_from_u64(seed),
            closed: false,
        }
    }

    /// Takes the steps that are due and admitted. Due steps that are not admitted are rescheduled.
    /// Once the limit of attempts in flight is reached, the remaining due steps stay scheduled.
    pub fn take_due(&mut self, now: f64) -> Due {
        let mut attempts = Vec::new();
        while self.schedule.next_at().is_some_and(|at| at <= now) {
            if !self.in_flight.begin() {
                // The driver task is woken when an attempt ends.
                let next_at = None;
                return Due { attempts, next_at };
            }
            let Some((id, step)) = self.schedule.take(now) else {
                self.in_flight.cancel();
                break;
            };
            if !self.open.contains_key(&id) {
                self.in_flight.cancel();
                continue;
            }
            match self.admit(id, step, now) {
                Ok(front) => {
                    // From here on, a request to cancel the job waits for the attempt's end.
                    if let Some(open) = self.open.get_mut(&id) {
                        open.busy = true;
                    }
                    attempts.push(Attempt { id, step, front });
                }
                Err(wait_s) => {
                    self.in_flight.cancel();
                    measure::record_withheld(step);
                    self.schedule.put(id, step, now + wait_s);
                }
            }
        }
        let (open_jobs, limit) = (self.open.len(), self.in_flight.limit());
        measure::record_load(open_jobs, limit, self.fronts.ejected_count(now));
        let next_at = self.schedule.next_at();
        Due { attempts, next_at }
    }

    /// Decides whether the step may be made now. Returns the front to use, or the wait in seconds
    /// after which the rate limit or the retry budget may allow the step.
    fn admit(&mut self, id: JobId, step: Step, now: f64) -> Result<usize, f64> {
        let Some(open) = self.open.get_mut(&id) else {
            return Err(MAX_WITHHELD_S);
        };
        if step == Step::Poll && !std::mem::take(&mut open.has_poll_slot) {
            let wait_s = self.polls.reserve(now);
            if wait_s > 0.0 {
                open.has_poll_slot = true;
                return Err(wait_s);
            }
        }
        if open.tries > 0 || open.failures > 0 {
            if let Err(wait_s) = self.retries.retry(now) {
                // The wait is an estimate, since other jobs compete for the same token.
                let wait_s = wait_s.clamp(MIN_WITHHELD_S, MAX_WITHHELD_S);
                return Err(wait_s * self.rng.random_range(1.0..1.5));
            }
        } else {
            self.retries.first(now);
        }
        let front = self.fronts.choose(None, now, &mut self.rng);
        front.ok_or(MAX_WITHHELD_S)
    }

    /// Releases the limits that an admitted attempt holds if it sends no request.
    pub fn release(&mut self, attempt: Attempt) {
        self.in_flight.cancel();
        self.fronts.cancel(attempt.front);
    }

    /// Schedules the step again after a failure. The wait grows with each failure in a row.
    pub fn schedule_retry(&mut self, id: JobId, step: Step, retry_after: Option<f64>, now: f64) {
        let Some(open) = self.open.get_mut(&id) else {
            return;
        };
        open.failures += 1;
        let wait_s = backoff(open.failures, retry_after, &mut self.rng);
        self.schedule.put(id, step, now + wait_s);
    }
}
