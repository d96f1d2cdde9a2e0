//! The schedule with everything that bounds it, under one lock: which attempts begin now, and
//! what is done next about each job. Times are seconds since the engine's start.

use crate::agenda::{poll_in, Agenda, Step};
use crate::fronts::Fronts;
use crate::job::JobId;
use crate::measure;
use crate::pace::{backoff, InFlight, Rate, RetryBudget};
use crate::record::{Phase, Record};
use crate::settings::Settings;
use foxspur_wire::job::JobSpec;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::HashMap;
use tokio::sync::watch;

/// Bounds of the wait before a withheld retry asks for its turn again, in seconds.
const MIN_WITHHELD_S: f64 = 0.01;
const MAX_WITHHELD_S: f64 = 5.0;

/// What those who wait for a job see: only what is on the disk.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct News {
    pub record: Record,
    /// An attempt of this process was the one that was accepted.
    pub fresh: bool,
}

/// A job with an answer open.
pub(super) struct OpenJob {
    /// With all that was learnt, also what is still being written.
    pub record: Record,
    pub fresh: bool,
    news: watch::Sender<News>,
    /// Attempts of the present step.
    pub tries: u32,
    /// Failed attempts in a row.
    pub failures: u32,
    pub accepted_at: f64,
    /// How long a task of it should run.
    expected_s: f64,
    /// It has the slot for its next poll, which it waited for.
    has_poll_slot: bool,
    /// What was learnt could not be written yet.
    pub unwritten: bool,
    /// An attempt is under way: its end decides the next step.
    pub busy: bool,
}

impl OpenJob {
    pub fn new(record: Record, now: f64) -> OpenJob {
        let spec = serde_json::from_str::<JobSpec>(&record.body);
        let news = News {
            record: record.clone(),
            fresh: false,
        };
        OpenJob {
            record,
            fresh: false,
            news: watch::Sender::new(news),
            tries: 0,
            failures: 0,
            accepted_at: now,
            expected_s: spec.map_or(0.0, |spec| spec.estimate_s),
            has_poll_slot: false,
            unwritten: false,
            busy: false,
        }
    }

    pub fn subscribe(&self) -> watch::Receiver<News> {
        self.news.subscribe()
    }

    /// Tells those who wait what is known, if they do not know it yet.
    pub fn publish(&self) {
        let news = News {
            record: self.record.clone(),
            fresh: self.fresh,
        };
        self.news.send_if_modified(|known| {
            let changed = *known != news;
            *known = news;
            changed
        });
    }

    /// What to do next about the job.
    pub fn next_step(&self) -> Step {
        match (&self.record.phase, self.record.cancel) {
            // A lost answer may hide that it was accepted: cancelling is soonest.
            (_, true) => Step::Cancel,
            (Phase::Waiting, false) => Step::Submit,
            _ => Step::Poll,
        }
    }

    /// In how many seconds to do it.
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

/// What is due.
pub(super) struct Due {
    pub attempts: Vec<Attempt>,
    /// When the next step is due; `None` if only the end of an attempt can let one begin.
    pub next_at: Option<f64>,
}

/// All open jobs, their schedule, and what bounds it.
pub(super) struct State {
    pub open: HashMap<JobId, OpenJob>,
    pub agenda: Agenda,
    pub fronts: Fronts,
    pub in_flight: InFlight,
    pub retries: RetryBudget,
    polls: Rate,
    pub rng: StdRng,
    pub closed: bool,
}

impl State {
    pub fn new(settings: &Settings, seed: u64) -> State {
        State {
            open: HashMap::new(),
            agenda: Agenda::default(),
            fronts: Fronts::new(settings.fronts.len()),
            in_flight: InFlight::new(settings.in_flight),
            retries: RetryBudget::new(
                settings.retry_share,
                settings.retry_floor_per_s,
                settings.retry_most,
            ),
            polls: Rate::new(settings.polls_per_s, settings.polls_per_s),
            rng: StdRng::seed_from_u64(seed),
            closed: false,
        }
    }

    /// Takes the steps that are due and admitted; the others are scheduled anew.
    pub fn take_due(&mut self, now: f64) -> Due {
        let mut attempts = Vec::new();
        while self.agenda.next_at().is_some_and(|at| at <= now) {
            if !self.in_flight.begin() {
                // An attempt that ends wakes the driver.
                let next_at = None;
                return Due { attempts, next_at };
            }
            let Some((id, step)) = self.agenda.take(now) else {
                self.in_flight.cancel();
                break;
            };
            if !self.open.contains_key(&id) {
                self.in_flight.cancel();
                continue;
            }
            match self.admit(id, step, now) {
                Ok(front) => {
                    // From here on a wish to cancel waits for the attempt's end.
                    if let Some(open) = self.open.get_mut(&id) {
                        open.busy = true;
                    }
                    attempts.push(Attempt { id, step, front });
                }
                Err(wait_s) => {
                    self.in_flight.cancel();
                    measure::withheld(step);
                    self.agenda.put(id, step, now + wait_s);
                }
            }
        }
        let (open, limit) = (self.open.len(), self.in_flight.limit());
        measure::load(open, limit, self.fronts.out(now));
        let next_at = self.agenda.next_at();
        Due { attempts, next_at }
    }

    /// Whether the step may be made now, and at which front; else in how many seconds the
    /// budget that it needs may allow it.
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
                // An estimate, for others want the same one.
                let wait_s = wait_s.clamp(MIN_WITHHELD_S, MAX_WITHHELD_S);
                return Err(wait_s * self.rng.random_range(1.0..1.5));
            }
        } else {
            self.retries.first(now);
        }
        let front = self.fronts.choose(None, now, &mut self.rng);
        front.ok_or(MAX_WITHHELD_S)
    }

    /// An attempt that was admitted is not made after all.
    pub fn give_up(&mut self, attempt: Attempt) {
        self.in_flight.cancel();
        self.fronts.cancel(attempt.front);
    }

    /// Schedules the step again after a failure, later with each failure in a row.
    pub fn schedule_retry(&mut self, id: JobId, step: Step, retry_after: Option<f64>, now: f64) {
        let Some(open) = self.open.get_mut(&id) else {
            return;
        };
        open.failures += 1;
        let wait_s = backoff(open.failures, retry_after, &mut self.rng);
        self.agenda.put(id, step, now + wait_s);
    }
}
