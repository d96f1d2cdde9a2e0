//! Flow control: backoff, retry budget, rate limit and congestion control. A thousand processes may
//! use this library; together they must not overload a controller that comes back after an outage.
//!
//! The module does no I/O and reads no clock: callers pass times in seconds.

use rand::Rng;
use std::collections::VecDeque;

/// The wait in seconds before the next attempt: exponential backoff with full jitter. The jitter is
/// drawn uniformly between 0 and a bound that doubles with each failure (M. Brooker, "Exponential
/// Backoff And Jitter", AWS Architecture Blog, 2015). The protocol requires a wait of at least a
/// second, or of `Retry-After` up to 30 s if that is longer; the jitter is added to this minimum.
pub fn backoff(failures: u32, retry_after: Option<f64>, rng: &mut impl Rng) -> f64 {
    let max_jitter_s = 2f64
        .powi(failures.saturating_sub(1).min(MAX_DOUBLINGS) as i32)
        .min(MAX_WAIT_S);
    let requested_s = retry_after.unwrap_or(0.0).clamp(0.0, MAX_WAIT_S);
    // Without added jitter, clients that got the same `Retry-After` would all return at once.
    MIN_WAIT_S + (requested_s - MIN_WAIT_S).max(0.0) + rng.random_range(0.0..=max_jitter_s)
}

/// The shortest wait between two attempts, as the protocol requires.
const MIN_WAIT_S: f64 = 1.0;
/// Keeps the power of two small. `MAX_WAIT_S` limits the jitter before this bound is reached.
const MAX_DOUBLINGS: u32 = 10;
/// The largest bound of the jitter, and the longest `Retry-After` that is honored.
pub const MAX_WAIT_S: f64 = 30.0;

/// The tokens that an answered retry adds to the budget.
const TOKENS_PER_ANSWERED_RETRY: f64 = 2.0;

/// A token bucket that limits retries to a proportion of first attempts (as Finagle's
/// `RetryBudget`). Each first attempt adds `share` tokens and each retry takes one token. In
/// addition `floor_per_s` tokens are added per second, so that a caller with a single job can retry
/// too. A retry that is answered adds two tokens: after an outage the accumulated jobs go out at a
/// growing rate, as in TCP's slow start, but not while requests still fail.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    share: f64,
    floor_per_s: f64,
    max_tokens: f64,
    tokens: f64,
    /// When the tokens per second were last added.
    filled_at: f64,
}

impl RetryBudget {
    /// Creates a budget that holds one token and accumulates at most `max_tokens`.
    pub fn new(share: f64, floor_per_s: f64, max_tokens: f64) -> RetryBudget {
        RetryBudget {
            share,
            floor_per_s,
            max_tokens,
            tokens: max_tokens.min(1.0),
            filled_at: f64::NEG_INFINITY,
        }
    }

    fn fill(&mut self, now: f64) {
        if self.filled_at.is_finite() {
            let added = (now - self.filled_at).max(0.0) * self.floor_per_s;
            self.tokens = (self.tokens + added).min(self.max_tokens);
        }
        self.filled_at = self.filled_at.max(now);
    }

    /// Records a first attempt.
    pub fn first(&mut self, now: f64) {
        self.fill(now);
        self.tokens = (self.tokens + self.share).min(self.max_tokens);
    }

    /// Records that a retry was answered.
    pub fn answered(&mut self) {
        self.tokens = (self.tokens + TOKENS_PER_ANSWERED_RETRY).min(self.max_tokens);
    }

    /// Takes a token for a retry. If there is none, returns the time in seconds after which there
    /// will be one even without further attempts and answers.
    pub fn retry(&mut self, now: f64) -> Result<(), f64> {
        self.fill(now);
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        Err((1.0 - self.tokens) / self.floor_per_s.max(1e-3))
    }
}

/// A rate limiter that allows bursts (the generic cell rate algorithm of ATM, ITU-T I.371). Each
/// request reserves a time slot of its own. Thousands of requests that are due at once therefore
/// need not poll the limiter until it admits them.
#[derive(Debug, Clone)]
pub struct RateLimiter {
    per_s: f64,
    burst: f64,
    next_slot: f64,
}

impl RateLimiter {
    /// Creates a limiter of `per_s` requests per second, and bursts of `burst` requests.
    pub fn new(per_s: f64, burst: f64) -> RateLimiter {
        RateLimiter {
            per_s,
            burst,
            next_slot: f64::NEG_INFINITY,
        }
    }

    /// Reserves the next slot, and returns the time in seconds until it; 0 if it is now.
    pub fn reserve(&mut self, now: f64) -> f64 {
        let slot = self
            .next_slot
            .max(now - (self.burst - 1.0).max(0.0) / self.per_s);
        self.next_slot = slot + 1.0 / self.per_s;
        (slot - now).max(0.0)
    }
}

/// Limits the number of requests in flight by additive increase and multiplicative decrease (Chiu
/// and Jain, 1989; TCP's congestion avoidance, Jacobson 1988). An overload answer or a timeout
/// lowers the limit. So does an answer that took much longer than the fastest recent one, since
/// this means that requests are queueing (as in TCP Vegas).
#[derive(Debug, Clone)]
pub struct InFlightLimit {
    limit: f64,
    max_limit: f64,
    in_flight: usize,
    /// Recent latencies in seconds.
    recent: VecDeque<f64>,
    /// When the limit was last lowered.
    lowered_at: f64,
    /// Whether the limit was never lowered. Until then it grows by one with each answer.
    slow_start: bool,
}

/// How an attempt ended, for flow control.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum AttemptEnd {
    /// Answered after this many seconds.
    Answered(f64),
    /// The answer was 429 or 5xx, or there was no answer in time.
    Overloaded,
    /// The connection broke or could not be established. This front may be down, but that is no
    /// sign of the load on the other fronts.
    Broken,
}

/// The number of recent latencies that are kept.
const MAX_RECENT: usize = 64;
/// The number of latencies that are needed for a quantile.
const MIN_RECENT: usize = 16;
/// An answer is taken to have been queued if it took longer than the fastest recent answer times
/// this factor, plus the margin.
const QUEUEING_FACTOR: f64 = 4.0;
const QUEUEING_MARGIN_S: f64 = 0.25;
/// The limit is lowered by this factor, and at most once per interval: requests that are in flight
/// at the same time tend to fail together, and count as one sign of congestion.
const DECREASE_FACTOR: f64 = 0.7;
const MIN_DECREASE_INTERVAL_S: f64 = 1.0;

impl InFlightLimit {
    /// Creates a limit that starts at an eighth of `max_limit`, but at least 2, and grows up to
    /// `max_limit`.
    pub fn new(max_limit: usize) -> InFlightLimit {
        InFlightLimit {
            limit: (max_limit as f64 / 8.0).max(2.0),
            max_limit: max_limit as f64,
            in_flight: 0,
            recent: VecDeque::new(),
            lowered_at: f64::NEG_INFINITY,
            slow_start: true,
        }
    }

    /// Begins a request if the limit allows one, and returns whether it does.
    pub fn begin(&mut self) -> bool {
        let allowed = (self.in_flight as f64) < self.limit.floor().max(1.0);
        self.in_flight += usize::from(allowed);
        allowed
    }

    /// Records that a request that was begun was not sent.
    pub fn cancel(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// How many requests may be in flight now.
    pub fn limit(&self) -> usize {
        self.limit as usize
    }

    /// Records the end of a request and adjusts the limit.
    pub fn end(&mut self, ended: AttemptEnd, now: f64) {
        self.in_flight = self.in_flight.saturating_sub(1);
        let congested = match ended {
            AttemptEnd::Broken => return,
            AttemptEnd::Overloaded => true,
            AttemptEnd::Answered(latency_s) => {
                self.recent.push_back(latency_s);
                if self.recent.len() > MAX_RECENT {
                    self.recent.pop_front();
                }
                let fastest_s = self.recent.iter().copied().fold(f64::MAX, f64::min);
                latency_s > QUEUEING_FACTOR * fastest_s + QUEUEING_MARGIN_S
            }
        };
        if !congested {
            let increase = if self.slow_start {
                1.0
            } else {
                1.0 / self.limit
            };
            self.limit = (self.limit + increase).min(self.max_limit);
        } else if now - self.lowered_at > MIN_DECREASE_INTERVAL_S {
            self.slow_start = false;
            self.limit = (self.limit * DECREASE_FACTOR).max(1.0);
            self.lowered_at = now;
        }
    }

    /// The 95th percentile of recent latencies in seconds; `None` while too few are known.
    pub fn p95(&self) -> Option<f64> {
        if self.recent.len() < MIN_RECENT {
            return None;
        }
        let mut sorted: Vec<f64> = self.recent.iter().copied().collect();
        sorted.sort_by(f64::total_cmp);
        sorted.get(sorted.len() * 19 / 20).copied()
    }
}
