//! One attempt: the request of a step, a hedge if a poll is slow, and how it ended.

use super::state::Attempt;
use super::Engine;
use crate::agenda::Step;
use crate::measure;
use crate::outbox::writer::Pending;
use crate::pace::Ended;
use crate::transport::{Answer, Call, NoAnswer, Request};
use crate::verdict::{judge, Verdict};
use std::time::Duration;

/// A poll is hedged when it takes this many times longer than nearly all, and
/// `HEDGE_MARGIN_S` more.
const HEDGE_FACTOR: f64 = 1.5;
const HEDGE_MARGIN_S: f64 = 0.05;

/// What an attempt does first.
enum Prepared {
    Send(Request),
    /// What was learnt before is not on the disk yet: that comes first.
    Write(Pending),
}

/// Which of two requests ended first.
enum EndedFirst {
    First,
    Second,
}

impl Engine {
    /// Makes one attempt, and takes in what it told.
    pub(super) async fn run_attempt(&self, attempt: Attempt) {
        let request = match self.prepare(attempt) {
            Some(Prepared::Send(request)) => request,
            Some(Prepared::Write(pending)) => {
                let written = pending.wait().await;
                self.lock().give_up(attempt);
                self.settle(attempt.id, written);
                return;
            }
            None => {
                self.lock().give_up(attempt);
                return;
            }
        };
        let result = self.ask(attempt, request).await;
        let verdict = judge(attempt.step, attempt.id, &result);
        match &verdict {
            Verdict::Heard(heard) => tracing::debug!(?heard),
            Verdict::Again { retry_after, why } => tracing::debug!(retry_after, why, "again"),
        }
        self.learn(attempt.id, attempt.step, verdict).await;
    }

    /// The request of the step, or the write that must come before it; nothing if the job is
    /// not open any more.
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

    /// Sends the request, and to a second front too if a poll takes longer than nearly all.
    async fn ask(&self, attempt: Attempt, request: Request) -> Result<Answer, NoAnswer> {
        let Attempt { step, front, .. } = attempt;
        let timeout_s = match step {
            Step::Poll => self.settings.poll_s,
            Step::Submit | Step::Cancel => self.settings.submit_s,
        };
        let timeout = Duration::from_secs_f64(timeout_s);
        let began = self.now();
        let hedge_after = self.hedge_after(step);
        let first = self.transport.call(front, request.clone(), timeout);
        let result = match hedge_after {
            None => first.await,
            Some(delay) => self.hedge(first, delay, front, request, timeout).await,
        };
        let now = self.now();
        let ended = ended(&result, now - began);
        let mut state = self.lock();
        state.in_flight.end(ended, now);
        state.fronts.end(front, ended, now);
        drop(state);
        let answered = matches!(ended, Ended::Answered(_));
        measure::attempt(step, answered, now - began);
        self.wake.notify_one();
        result
    }

    /// After which time a request is hedged, if it is at all: polls only, and once enough
    /// latencies are known.
    fn hedge_after(&self, step: Step) -> Option<Duration> {
        if step != Step::Poll || !self.settings.hedge {
            return None;
        }
        let p95_s = self.lock().in_flight.p95()?;
        let delay_s = HEDGE_FACTOR * p95_s + HEDGE_MARGIN_S;
        Some(Duration::from_secs_f64(delay_s))
    }

    /// Waits for the first request, and after a delay for a second one too: the first answer
    /// counts; if one fails, what the other says.
    async fn hedge(
        &self,
        mut first: Call<'_>,
        delay: Duration,
        front: usize,
        request: Request,
        timeout: Duration,
    ) -> Result<Answer, NoAnswer> {
        let began = self.now();
        tokio::select! {
            result = &mut first => return result,
            () = tokio::time::sleep(delay) => {}
        }
        let Some(other) = self.second_front(front) else {
            return first.await;
        };
        tracing::debug!(other, "hedged");
        let mut second = self.transport.call(other, request, timeout);
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
        let ended = ended(&result, now - began);
        self.lock().fronts.end(other, ended, now);
        result
    }

    /// Another front for a hedge, if the retry budget allows one.
    fn second_front(&self, but: usize) -> Option<usize> {
        let now = self.now();
        let mut guard = self.lock();
        let state = &mut *guard;
        if self.settings.fronts.len() < 2 || state.retries.retry(now).is_err() {
            return None;
        }
        state.fronts.choose(Some(but), now, &mut state.rng)
    }
}

/// How an attempt ended, for flow control.
fn ended(result: &Result<Answer, NoAnswer>, took_s: f64) -> Ended {
    match result {
        Ok(answer) if !matches!(answer.status, 429 | 500..) => Ended::Answered(took_s),
        Ok(_) | Err(NoAnswer::TimedOut) => Ended::Overloaded,
        Err(NoAnswer::Broken(_)) => Ended::Broken,
    }
}
