//! Processes the result of an attempt: writes it to disk, then notifies the callers that wait for
//! the job, and schedules the job's next step.

use super::state::{OpenJob, State};
use super::{unix_time_ms, Engine};
use crate::job::JobId;
use crate::outbox::writer::Pending;
use crate::outbox::OutboxError;
use crate::pace::backoff;
use crate::record::{AnswerEffect, ConclusiveAnswer, Phase, Record};
use crate::schedule::Step;
use crate::verdict::Verdict;

/// What follows from an answer.
enum Effect {
    /// The job is no longer open.
    NotOpen,
    /// There is nothing to write, and the next step is scheduled.
    Scheduled,
    /// The record must be written before the next step.
    Write(Record),
}

impl Engine {
    /// Processes the result of an attempt, and waits until it is written.
    pub(super) async fn process_result(&self, id: JobId, step: Step, verdict: Verdict) {
        let pending = match verdict {
            Verdict::Conclusive(answer) => self.apply_answer(id, &answer),
            Verdict::Retry { retry_after, .. } => {
                self.retry_later(id, step, retry_after);
                None
            }
        };
        if let Some(pending) = pending {
            let written = pending.wait().await;
            self.finish_write(id, written);
        }
    }

    /// Applies a conclusive answer. Returns the write that it requires, if any.
    fn apply_answer(&self, id: JobId, answer: &ConclusiveAnswer) -> Option<Pending> {
        let now = self.now();
        let mut state = self.lock();
        match state.apply_answer(id, answer, now) {
            Effect::NotOpen => None,
            Effect::Scheduled => {
                drop(state);
                self.wake.notify_one();
                None
            }
            // Sent while the lock is held, so that a job's updates are written in the order in
            // which they were made.
            Effect::Write(record) => Some(self.writer.begin_update(record)),
        }
    }

    /// Schedules the step again after an inconclusive result.
    fn retry_later(&self, id: JobId, step: Step, retry_after: Option<f64>) {
        let now = self.now();
        let mut state = self.lock();
        let Some(open) = state.open.get_mut(&id) else {
            return;
        };
        open.busy = false;
        // A cancellation that was requested during a poll comes first.
        let step = match open.record.cancel {
            true if step == Step::Poll => Step::Cancel,
            _ => step,
        };
        state.schedule_retry(id, step, retry_after, now);
        drop(state);
        // Between the end of the request and this point the driver task may have checked the
        // schedule on another thread, found no step to wait for, and gone to sleep.
        self.wake.notify_one();
    }

    /// Processes the result of writing a job's record. If it was written, notifies the callers that
    /// wait and schedules the next step. If it could not be written, callers are not notified, and
    /// the write is repeated before the next request for the job.
    pub(super) fn finish_write(&self, id: JobId, written: Result<(), OutboxError>) {
        let now = self.now();
        let mut state = self.lock();
        let Some(open) = state.open.get_mut(&id) else {
            return;
        };
        open.busy = false;
        open.unwritten = written.is_err();
        let step = open.next_step();
        match written {
            Err(error) => {
                tracing::error!(job = %id, %error, "writing job to outbox failed; will retry");
                state.schedule_retry(id, step, None, now);
            }
            Ok(()) => {
                open.publish();
                if open.record.closed() {
                    state.open.remove(&id);
                    state.schedule.remove(id);
                } else {
                    let wait_s = open.wait_for(step, now);
                    state.schedule.put(id, step, now + wait_s);
                }
            }
        }
        drop(state);
        self.wake.notify_one();
    }
}

impl State {
    /// Applies an answer to the job's record, and schedules the next step unless a write must come
    /// first.
    fn apply_answer(&mut self, id: JobId, answer: &ConclusiveAnswer, now: f64) -> Effect {
        let Some(open) = self.open.get_mut(&id) else {
            return Effect::NotOpen;
        };
        if open.failures > 0 {
            self.retries.answered();
        }
        open.failures = 0;
        open.tries = 0;
        if open.apply_answer(answer, now) {
            return Effect::Write(open.record.clone());
        }
        open.publish();
        open.busy = false;
        let mut step = open.next_step();
        let mut wait_s = open.wait_for(step, now);
        if *answer == ConclusiveAnswer::NotFound {
            // The job does not exist yet, but an earlier submission may still arrive and create it.
            // A job to be cancelled is therefore submitted, so that it exists and can be cancelled
            // permanently.
            if open.record.phase == Phase::Waiting {
                step = Step::Submit;
            }
            wait_s = backoff(1, None, &mut self.rng);
        }
        self.schedule.put(id, step, now + wait_s);
        Effect::Scheduled
    }
}

impl OpenJob {
    /// Applies an answer to the record. Returns whether the record must be written.
    fn apply_answer(&mut self, answer: &ConclusiveAnswer, now: f64) -> bool {
        let before = self.record.phase.clone();
        let meaning = self.record.apply_answer(answer, unix_time_ms());
        if let AnswerEffect::Contradiction(contradiction) = meaning {
            let job = self.record.id;
            tracing::error!(
                %job,
                ?answer,
                contradiction,
                "answer contradicts the job's known state and is ignored"
            );
        }
        if before == Phase::Waiting && self.record.phase != Phase::Waiting {
            self.fresh = *answer == ConclusiveAnswer::Created;
            self.accepted_at = now;
        }
        // A change between pending and running is for display only, and is not written.
        let is_accepted = |phase: &Phase| matches!(phase, Phase::Accepted(_));
        meaning == AnswerEffect::Changed
            && !(is_accepted(&before) && is_accepted(&self.record.phase))
    }
}
