//! Token buckets, which keep a controller's request rate below the published limit of a
//! service. A reserve of tokens is left to control traffic.

/// How urgent a request is.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Priority {
    /// Leases, and records that leadership depends on: may use the reserve.
    Control,
    /// Everything else: may not use the reserve.
    Data,
}

/// Tolerance for rounding errors in sums of tokens.
const ROUNDING: f64 = 1e-9;

/// A token bucket. The caller passes in the time.
#[derive(Debug, Clone)]
pub struct TokenBucket {
    /// Tokens added per second.
    rate: f64,
    /// Most tokens that the bucket holds.
    burst: f64,
    /// Tokens kept for control traffic.
    reserve: f64,
    /// Tokens in the bucket; negative after a request for more tokens than it held.
    tokens: f64,
    /// Time of the last update of `tokens`, in seconds.
    updated_at: f64,
}

impl TokenBucket {
    /// A full bucket that gains `rate` tokens a second and holds at most `burst`. The last
    /// `reserve` tokens, at most half of `burst`, are kept for control traffic.
    pub fn new(rate: f64, burst: f64, reserve: f64) -> TokenBucket {
        TokenBucket {
            rate,
            burst,
            reserve: reserve.min(burst / 2.0),
            tokens: burst,
            updated_at: 0.0,
        }
    }

    /// Takes `count` tokens at the time `now`, in seconds.
    ///
    /// # Errors
    /// There are too few tokens. The error is the time until there are enough, in seconds.
    pub fn take(&mut self, count: f64, priority: Priority, now: f64) -> Result<(), f64> {
        self.refill(now);
        let floor = match priority {
            Priority::Control => 0.0,
            Priority::Data => self.reserve,
        };
        // A request for more tokens than the bucket can hold is granted when the bucket is full.
        let needed = count.min(self.burst - floor);
        if self.tokens - needed >= floor - ROUNDING {
            self.tokens -= count;
            Ok(())
        } else {
            Err((needed + floor - self.tokens) / self.rate)
        }
    }

    /// Adds the tokens gained since the last update.
    fn refill(&mut self, now: f64) {
        if now > self.updated_at {
            self.tokens = (self.tokens + (now - self.updated_at) * self.rate).min(self.burst);
            self.updated_at = now;
        }
    }

    /// Empties the bucket. For use after a 429, when the service has counted more requests than
    /// this bucket has.
    pub fn drain(&mut self) {
        self.tokens = self.tokens.min(0.0);
    }
}
