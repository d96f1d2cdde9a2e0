//! What an attempt told: on the disk first, then to whoever waits, and what to do next about
//! the job.

use super::state::{OpenJob, State};
use super::{wall_ms, Engine};
use crate::agenda::Step;
use crate::job::JobId;
use crate::outbox::writer::Pending;
use crate::outbox::OutboxError;
use crate::pace::backoff;
use crate::record::{Heard, Meaning, Phase, Record};
use crate::verdict::Verdict;

/// What follows from an answer.
enum Learnt {
    /// The job is not open any more.
    Nothing,
    /// Nothing that is worth a write: the next step is scheduled.
    Scheduled,
    /// This is to be written before anything else.
    Write(Record),
}

impl Engine {
    /// Takes in what an attempt told.
    pub(super) async fn learn(&self, id: JobId, step: Step, verdict: Verdict) {
        let pending = match verdict {
            Verdict::Heard(heard) => self.hear(id, &heard),
            Verdict::Again { retry_after, .. } => {
                self.try_again(id, step, retry_after);
                None
            }
        };
        if let Some(pending) = pending {
            let written = pending.wait().await;
            self.settle(id, written);
        }
    }

    /// Takes in an answer; what is being written of it.
    fn hear(&self, id: JobId, heard: &Heard) -> Option<Pending> {
        let now = self.now();
        let mut state = self.lock();
        match state.hear(id, heard, now) {
            Learnt::Nothing => None,
            Learnt::Scheduled => {
                drop(state);
                self.wake.notify_one();
                None
            }
            // Sent while the lock is held: the disk sees it in the order of learning.
            Learnt::Write(record) => Some(self.writer.begin_update(record)),
        }
    }

    /// Nothing is known: the step is made again later.
    fn try_again(&self, id: JobId, step: Step, retry_after: Option<f64>) {
        let now = self.now();
        let mut state = self.lock();
        let Some(open) = state.open.get_mut(&id) else {
            return;
        };
        open.busy = false;
        // A cancellation asked for meanwhile comes first.
        let step = match open.record.cancel {
            true if step == Step::Poll => Step::Cancel,
            _ => step,
        };
        state.schedule_retry(id, step, retry_after, now);
        drop(state);
        // The driver may have looked between the end of the request and this, on another
        // thread, and found nothing to wait for.
        self.wake.notify_one();
    }

    /// What was learnt is on the disk, or could not be written: then it is not told, and
    /// written before anything else is asked.
    pub(super) fn settle(&self, id: JobId, written: Result<(), OutboxError>) {
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
                tracing::error!(job = %id, %error, "not written");
                state.schedule_retry(id, step, None, now);
            }
            Ok(()) => {
                open.publish();
                if open.record.closed() {
                    state.open.remove(&id);
                    state.agenda.remove(id);
                } else {
                    let wait_s = open.wait_for(step, now);
                    state.agenda.put(id, step, now + wait_s);
                }
            }
        }
        drop(state);
        self.wake.notify_one();
    }
}

impl State {
    fn hear(&mut self, id: JobId, heard: &Heard, now: f64) -> Learnt {
        let Some(open) = self.open.get_mut(&id) else {
            return Learnt::Nothing;
        };
        if open.failures > 0 {
            self.retries.answered();
        }
        open.failures = 0;
        open.tries = 0;
        if open.hear(heard, now) {
            return Learnt::Write(open.record.clone());
        }
        open.publish();
        open.busy = false;
        let mut step = open.next_step();
        let mut wait_s = open.wait_for(step, now);
        if *heard == Heard::NotFound {
            // Not there yet: what was sent may still come. A cancelled one is submitted, so
            // that it can be cancelled for good.
            if open.record.phase == Phase::Waiting {
                step = Step::Submit;
            }
            wait_s = backoff(1, None, &mut self.rng);
        }
        self.agenda.put(id, step, now + wait_s);
        Learnt::Scheduled
    }
}

impl OpenJob {
    /// Takes in an answer; whether the record is to be written.
    fn hear(&mut self, heard: &Heard, now: f64) -> bool {
        let before = self.record.phase.clone();
        let meaning = self.record.hear(heard, wall_ms());
        if let Meaning::Contradiction(what) = meaning {
            let job = self.record.id;
            tracing::error!(%job, ?heard, what, "contradiction: what was told stays");
        }
        if before == Phase::Waiting && self.record.phase != Phase::Waiting {
            self.fresh = *heard == Heard::Created;
            self.accepted_at = now;
        }
        // Whether it is pending or runs is for display, and not written.
        let kept = |phase: &Phase| !matches!(phase, Phase::Accepted(_));
        meaning == Meaning::News && (kept(&before) || kept(&self.record.phase))
    }
}
