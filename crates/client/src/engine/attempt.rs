//! One attempt: sends the request of a step, hedges a poll that is slow, and reports the end of the
//! attempt to flow control.

use super::state::Attempt;
use super::Engine;
use crate::measure;
use crate::outbox::writer::Pending;
use crate::pace::AttemptEnd;
use crate::schedule::Step;
use crate::transport::{Answer, Call, NoAnswer, Request};
use crate::verdict::{interpret, Verdict};
use std::time::Duration;

/// A poll is hedged once it has taken longer than the 95th percentile of recent latencies times
/// this factor, plus the margin.
const HEDGE_FACTOR: f64 = 1.5;
const HEDGE_MARGIN_S: f64 = 0.05;

/// The first action of an attempt.
enum Prepared {
    Send(Request),
    /// An earlier result could not be written to disk. It has to be written before any request.
    Write(Pending),
}

/// Which of two requests ended first.
enum EndedFirst {
    First,
    Second,
}

impl Engine {
    /// Makes one attempt and processes its result.
    pub(super) async fn run_attempt(&self, attempt: Attempt) {
        let request = match self.prepare(attempt) {
            Some(Prepared::Send(request)) => request,
            Some(Prepared::Write(pending)) => {
                let written = pending.wait().await;
                self.lock().release(attempt);
                self.finish_write(attempt.id, written);
                return;
            }
            None => {
                self.lock().release(attempt);
                return;
            }
        };
        let result = self.send(attempt, request).await;
        let verdict = interpret(attempt.step, attempt.id, &result);
        match &verdict {
            Verdict::Conclusive(answer) => tracing::debug!(?answer, "attempt answered"),
            Verdict::Retry { retry_after, why } => {
                tracing::debug!(retry_after, why, "attempt inconclusive; will retry");
            }
        }
        self.process_result(attempt.id, attempt.step, verdict).await;
    }

    /// The request of the step, or the write that must come before it. `None` if the job is no
    /// longer open.
    fn prepare(&self, attempt: Attempt) -> Option<Prepared> {
        let mut state = self.lock();
        let open = state.open.get_mut(&attempt.id)?;
        open.tries += 1;
        if open.unwritten {
            let pending = self.writer.begin_update(open.record.clone());
            return Some(Prepared::Write(pending));
        }
        let id = attempt.id;
        let request = match attempt.step {
            Step::Submit => Request {
                body: Some(open.record.body.clone()),
                path: "/work".into(),
            },
            Step::Cancel => Request {
                body: Some(String::new()),
                path: format!("/work/{id}/cancel"),
            },
            Step::Poll => Request {
                body: None,
                path: format!("/work/{id}"),
            },
        };
        Some(Prepared::Send(request))
    }

    /// Sends the request. A poll that takes longer than nearly all others is also sent to a second
    /// front.
    async fn send(&self, attempt: Attempt, request: Request) -> Result<Answer, NoAnswer> {
        let Attempt { step, front, .. } = attempt;
        let timeout_s = match step {
            Step::Poll => self.settings.poll_s,
            Step::Submit | Step::Cancel => self.settings.submit_s,
        };
        let timeout = Duration::from_secs_f64(timeout_s);
        let began_at = self.now();
        let hedge_delay = self.hedge_delay(step);
        let first = self.transport.call(front, request.clone(), timeout);
        let result = match hedge_delay {
            None => first.await,
            Some(delay) => self.hedge(first, delay, front, request, timeout).await,
        };
        let now = self.now();
        let ended = classify_end(&result, now - began_at);
        let mut state = self.lock();
        state.in_flight.end(ended, now);
        state.fronts.end(front, ended, now);
        drop(state);
        let answered = matches!(ended, AttemptEnd::Answered(_));
        measure::record_attempt(step, answered, now - began_at);
        self.wake.notify_one();
        result
    }

    /// The time after which a request is hedged. `None` for steps other than polls, if hedging is
    /// disabled, and while too few latencies are known.
    fn hedge_delay(&self, step: Step) -> Option<Duration> {
        if step != Step::Poll || !self.settings.hedge {
            return None;
        }
        let p95_s = self.lock().in_flight.p95()?;
        let delay_s = HEDGE_FACTOR * p95_s + HEDGE_MARGIN_S;
        Some(Duration::from_secs_f64(delay_s))
    }

    /// Waits for the first request, and after `delay` sends a second one and waits for both. The
    /// first answer is the result. If the request that ends first has no answer, the result is that
    /// of the other one.
    async fn hedge(
        &self,
        mut first: Call<'_>,
        delay: Duration,
        front: usize,
        request: Request,
        timeout: Duration,
    ) -> Result<Answer, NoAnswer> {
        let began_at = self.now();
        tokio::select! {
            result = &mut first => return result,
            () = tokio::time::sleep(delay) => {}
        }
        let Some(second_front) = self.choose_second_front(front) else {
            return first.await;
        };
        tracing::debug!(second_front, "slow poll sent to a second front");
        let mut second = self.transport.call(second_front, request, timeout);
        let (result, ended_first) = tokio::select! {
            result = &mut first => (result, EndedFirst::First),
            result = &mut second => (result, EndedFirst::Second),
        };
        let result = match (result, ended_first) {
            (Ok(answer), _) => Ok(answer),
            (Err(_), EndedFirst::First) => second.await,
            (Err(_), EndedFirst::Second) => first.await,
        };
        let now = self.now();
        let ended = classify_end(&result, now - began_at);
        self.lock().fronts.end(second_front, ended, now);
        result
    }

    /// Chooses a front other than `first_front` for a hedge, if the retry budget allows one.
    fn choose_second_front(&self, first_front: usize) -> Option<usize> {
        let now = self.now();
        let mut guard = self.lock();
        let state = &mut *guard;
        if self.settings.fronts.len() < 2 || state.retries.retry(now).is_err() {
            return None;
        }
        state.fronts.choose(Some(first_front), now, &mut state.rng)
    }
}

/// Classifies the result of a request for flow control.
fn classify_end(result: &Result<Answer, NoAnswer>, took_s: f64) -> AttemptEnd {
    match result {
        Ok(answer) if !matches!(answer.status, 429 | 500..) => AttemptEnd::Answered(took_s),
        Ok(_) | Err(NoAnswer::TimedOut) => AttemptEnd::Overloaded,
        Err(NoAnswer::Broken(_)) => AttemptEnd::Broken,
    }
}
