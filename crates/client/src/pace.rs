//! Flow control: backoff, retry budget, rate limit and congestion control; pure, times are
//! seconds that are passed in. A library in a thousand processes must not overload a controller
//! that comes back.

use rand::Rng;
use std::collections::VecDeque;

/// Exponential backoff with full jitter: a wait drawn evenly between nothing and
/// a bound that doubles with each failure (M. Brooker, "Exponential Backoff And
/// Jitter", AWS Architecture Blog, 2015). The protocol asks for a second at
/// least, and for `Retry-After` up to 30 s where that is longer.
pub fn backoff(failures: u32, retry_after: Option<f64>, rng: &mut impl Rng) -> f64 {
    let bound = 2f64
        .powi(failures.saturating_sub(1).min(10) as i32)
        .min(MOST_WAIT_S);
    let asked = retry_after.unwrap_or(0.0).clamp(0.0, MOST_WAIT_S);
    // What all were told to wait for they would end together: jitter on top.
    1.0 + (asked - 1.0).max(0.0) + rng.random_range(0.0..=bound)
}

/// Longest wait between two attempts, and longest `Retry-After` heeded.
pub const MOST_WAIT_S: f64 = 30.0;

/// Retries as a proportion of first attempts (Finagle's `RetryBudget`): each first
/// attempt pays `share` into it, each retry takes one out, and a trickle of
/// `floor_per_s` keeps a caller with a single job going. A retry that is answered
/// gives back two, so that what piled up in an outage goes out ever faster once
/// it is over (as in TCP's slow start), and not before.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    share: f64,
    floor_per_s: f64,
    most: f64,
    tokens: f64,
    at: f64,
}

impl RetryBudget {
    /// A budget with a first retry in it, that saves up at most `most`.
    pub fn new(share: f64, floor_per_s: f64, most: f64) -> RetryBudget {
        RetryBudget {
            share,
            floor_per_s,
            most,
            tokens: most.min(1.0),
            at: f64::NEG_INFINITY,
        }
    }

    fn fill(&mut self, now: f64) {
        if self.at.is_finite() {
            let more = (now - self.at).max(0.0) * self.floor_per_s;
            self.tokens = (self.tokens + more).min(self.most);
        }
        self.at = self.at.max(now);
    }

    /// A first attempt was made.
    pub fn first(&mut self, now: f64) {
        self.fill(now);
        self.tokens = (self.tokens + self.share).min(self.most);
    }

    /// A retry was answered.
    pub fn answered(&mut self) {
        self.tokens = (self.tokens + 2.0).min(self.most);
    }

    /// Takes out a retry, or says in how many seconds there is one at the latest.
    pub fn retry(&mut self, now: f64) -> Result<(), f64> {
        self.fill(now);
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        Err((1.0 - self.tokens) / self.floor_per_s.max(1e-3))
    }
}

/// Requests a second, with bursts of `burst`: each gets a slot of its own, so that
/// thousands that are due at once do not ask again and again whether it is time
/// (the generic cell rate algorithm of ATM, ITU-T I.371).
#[derive(Debug, Clone)]
pub struct Rate {
    per_s: f64,
    burst: f64,
    next: f64,
}

impl Rate {
    /// So many requests a second.
    pub fn new(per_s: f64, burst: f64) -> Rate {
        Rate {
            per_s,
            burst,
            next: f64::NEG_INFINITY,
        }
    }

    /// Reserves the next slot: in how many seconds it is, 0 for now.
    pub fn reserve(&mut self, now: f64) -> f64 {
        let slot = self
            .next
            .max(now - (self.burst - 1.0).max(0.0) / self.per_s);
        self.next = slot + 1.0 / self.per_s;
        (slot - now).max(0.0)
    }
}

/// How many requests may be in flight: additive increase, multiplicative
/// decrease (Chiu and Jain, 1989; TCP's congestion avoidance, Jacobson 1988).
/// A refusal or a timeout shrinks it, and so does an answer that took much
/// longer than the fastest of late, which means a queue (as in TCP Vegas).
#[derive(Debug, Clone)]
pub struct InFlight {
    limit: f64,
    most: f64,
    in_flight: usize,
    /// Recent latencies in seconds.
    recent: VecDeque<f64>,
    /// When the limit last shrank.
    shrunk_at: f64,
    /// Until it shrinks for the first time it grows by one with each answer.
    slow_start: bool,
}

/// How an attempt ended, for flow control.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Ended {
    /// Answered after this many seconds.
    Answered(f64),
    /// 429, 5xx, no answer in time.
    Overloaded,
    /// The connection broke or was not made: that front may be gone, but it
    /// says nothing of how much the others can take.
    Broken,
}

/// Latencies that are kept, and that a quantile needs.
const MAX_RECENT: usize = 64;
const MIN_RECENT: usize = 16;
/// An answer that takes this many times longer than the fastest, and a margin more, was queued.
const QUEUEING_FACTOR: f64 = 4.0;
const QUEUEING_MARGIN_S: f64 = 0.25;
/// The limit shrinks by this factor, at most once in this time: what was in flight together
/// fails together.
const SHRINK_FACTOR: f64 = 0.7;
const SHRINK_INTERVAL_S: f64 = 1.0;

impl InFlight {
    /// A limit that begins low and grows up to `most`.
    pub fn new(most: usize) -> InFlight {
        InFlight {
            limit: (most as f64 / 8.0).max(2.0),
            most: most as f64,
            in_flight: 0,
            recent: VecDeque::new(),
            shrunk_at: f64::NEG_INFINITY,
            slow_start: true,
        }
    }

    /// Begins a request if there is room.
    pub fn begin(&mut self) -> bool {
        let room = (self.in_flight as f64) < self.limit.floor().max(1.0);
        self.in_flight += usize::from(room);
        room
    }

    /// What was begun was not sent after all.
    pub fn cancel(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// How many requests may be in flight now.
    pub fn limit(&self) -> usize {
        self.limit as usize
    }

    /// A request ended.
    pub fn end(&mut self, ended: Ended, now: f64) {
        self.in_flight = self.in_flight.saturating_sub(1);
        let congested = match ended {
            Ended::Broken => return,
            Ended::Overloaded => true,
            Ended::Answered(s) => {
                self.recent.push_back(s);
                if self.recent.len() > MAX_RECENT {
                    self.recent.pop_front();
                }
                let best = self.recent.iter().copied().fold(f64::MAX, f64::min);
                s > QUEUEING_FACTOR * best + QUEUEING_MARGIN_S
            }
        };
        if !congested {
            let more = if self.slow_start {
                1.0
            } else {
                1.0 / self.limit
            };
            self.limit = (self.limit + more).min(self.most);
        } else if now - self.shrunk_at > SHRINK_INTERVAL_S {
            self.slow_start = false;
            self.limit = (self.limit * SHRINK_FACTOR).max(1.0);
            self.shrunk_at = now;
        }
    }

    /// The latency that all but a twentieth of the answers stayed under.
    pub fn p95(&self) -> Option<f64> {
        if self.recent.len() < MIN_RECENT {
            return None;
        }
        let mut sorted: Vec<f64> = self.recent.iter().copied().collect();
        sorted.sort_by(f64::total_cmp);
        sorted.get(sorted.len() * 19 / 20).copied()
    }
}
