//! Token buckets, which keep a controller's request rate below the published limit of a
//! service. A reserve of tokens is available to control traffic only.

/// How urgent a request is.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Priority {
    /// A request about a lease or about a record on which leadership depends. It may use the
    /// reserve.
    Control,
    /// Any other request. It may not use the reserve.
    Data,
}

/// Tolerance for rounding errors in sums of tokens.
const ROUNDING_TOLERANCE: f64 = 1e-9;

/// A token bucket. The caller passes in the time.
#[derive(Debug, Clone)]
pub struct TokenBucket {
    /// Tokens added per second.
    rate: f64,
    /// Maximum number of tokens in the bucket.
    burst: f64,
    /// Number of tokens reserved for control traffic.
    reserve: f64,
    /// Number of tokens in the bucket; negative after a request took more tokens than the bucket
    /// contained.
    tokens: f64,
    /// Time of the last update of `tokens`, in seconds.
    updated_at: f64,
}

impl TokenBucket {
    /// A full bucket that gains `rate` tokens per second and holds at most `burst` tokens. The last
    /// `reserve` tokens, but at most half of `burst`, are reserved for control traffic.
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
    /// There are too few tokens. The error is the time until there will be enough, in seconds.
    pub fn take(&mut self, count: f64, priority: Priority, now: f64) -> Result<(), f64> {
        self.refill(now);
        let min_remaining = match priority {
            Priority::Control => 0.0,
            Priority::Data => self.reserve,
        };
        // A request for more tokens than the bucket can hold is granted when the bucket is full.
        let needed = count.min(self.burst - min_remaining);
        if self.tokens - needed >= min_remaining - ROUNDING_TOLERANCE {
            self.tokens -= count;
            Ok(())
        } else {
            Err((needed + min_remaining - self.tokens) / self.rate)
        }
    }

    /// Adds the tokens gained since the last update.
    fn refill(&mut self, now: f64) {
        if now > self.updated_at {
            self.tokens = (self.tokens + (now - self.updated_at) * self.rate).min(self.burst);
            self.updated_at = now;
        }
    }

    /// Empties the bucket. Callers use this after a response with status 429, which shows that the
    /// service has counted more requests than this bucket.
    pub fn discard_tokens(&mut self) {
        self.tokens = self.tokens.min(0.0);
    }
}
