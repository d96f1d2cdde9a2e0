//! What an attempt told: on the disk first, then to whoever waits, and what to do
//! next about the job.

use crate::agenda::{poll_in, Step};
use crate::engine::{next_step, wall_ms, Engine};
use crate::job::JobId;
use crate::outbox::OutboxError;
use crate::pace::backoff;
use crate::record::{Heard, Meaning, Phase};
use crate::verdict::Verdict;

impl Engine {
    /// Takes in what an attempt told: on the disk first, then to who waits.
    pub(crate) async fn learn(&self, id: JobId, step: Step, verdict: Verdict) {
        let now = self.now();
        let pending = {
            let mut guard = self.lock();
            let state = &mut *guard;
            let Some(open) = state.open.get_mut(&id) else {
                return;
            };
            let heard = match verdict {
                Verdict::Heard(heard) => heard,
                Verdict::Again { retry_after, .. } => {
                    open.failures += 1;
                    open.busy = false;
                    let wait = backoff(open.failures, retry_after, &mut state.rng);
                    // A cancellation asked for meanwhile comes first.
                    let step = match open.record.cancel {
                        true if step == Step::Poll => Step::Cancel,
                        _ => step,
                    };
                    state.agenda.put(id, step, now + wait);
                    drop(guard);
                    // The driver may have looked between the end of the request
                    // and this, on another thread, and found nothing to wait for.
                    self.wake.notify_one();
                    return;
                }
            };
            if open.failures > 0 {
                state.retries.answered();
            }
            open.failures = 0;
            open.tries = 0;
            let before = open.record.phase.clone();
            let meaning = open.record.hear(&heard, wall_ms());
            if let Meaning::Contradiction(what) = meaning {
                tracing::error!(job = %id, ?heard, what, "contradiction: what was told stays");
            }
            if before == Phase::Waiting && open.record.phase != Phase::Waiting {
                open.fresh = heard == Heard::Created;
                open.accepted_at = now;
            }
            // Whether it is pending or runs is for display, and not written.
            let kept = |p: &Phase| !matches!(p, Phase::Accepted(_));
            let worth = meaning == Meaning::News && (kept(&before) || kept(&open.record.phase));
            if !worth {
                open.publish();
                open.busy = false;
                let mut step = next_step(open);
                let mut wait = match step {
                    Step::Submit | Step::Cancel => 0.0,
                    Step::Poll => poll_in(open.expected_s, now - open.accepted_at),
                };
                if heard == Heard::NotFound {
                    // Not there yet: what was sent may still come. A cancelled
                    // one is submitted, so that it can be cancelled for good.
                    if open.record.phase == Phase::Waiting {
                        step = Step::Submit;
                    }
                    wait = backoff(1, None, &mut state.rng);
                }
                state.agenda.put(id, step, now + wait);
                drop(guard);
                self.wake.notify_one();
                return;
            }
            self.writer.begin_update(open.record.clone())
        };
        let done = pending.wait().await;
        self.settle(id, done);
    }

    /// What was learnt is on the disk, or could not be written: then it is not
    /// told, and written before anything else is asked.
    pub(crate) fn settle(&self, id: JobId, done: Result<(), OutboxError>) {
        let now = self.now();
        let mut guard = self.lock();
        let state = &mut *guard;
        let Some(open) = state.open.get_mut(&id) else {
            return;
        };
        open.busy = false;
        open.unwritten = done.is_err();
        let step = next_step(open);
        if let Err(error) = done {
            tracing::error!(job = %id, %error, "not written");
            open.failures += 1;
            let wait = backoff(open.failures, None, &mut state.rng);
            state.agenda.put(id, step, now + wait);
        } else {
            open.publish();
            if open.record.closed() {
                state.open.remove(&id);
                state.agenda.remove(id);
            } else {
                let wait = match step {
                    Step::Submit | Step::Cancel => 0.0,
                    Step::Poll => poll_in(open.expected_s, now - open.accepted_at),
                };
                state.agenda.put(id, step, now + wait);
            }
        }
        drop(guard);
        self.wake.notify_one();
    }
}
