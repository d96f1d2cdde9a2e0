//! Token buckets, which keep a controller's requests below a published limit. Control
//! traffic may use a reserve that other traffic may not.

/// How urgent a request is.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Priority {
    /// Leases and records that leadership rests on: may use the reserve.
    Control,
    /// Everything else.
    Data,
}

/// Slack for the rounding of sums of tokens.
const ROUNDING: f64 = 1e-9;

/// A token bucket in passed-in time.
#[derive(Debug, Clone)]
pub struct TokenBucket {
    /// Tokens that come in, per second.
    rate: f64,
    /// Most tokens that the bucket holds.
    burst: f64,
    /// Tokens kept for control traffic.
    reserve: f64,
    /// Tokens in the bucket; negative after a request larger than what was there.
    tokens: f64,
    /// When `tokens` was brought up to date, in seconds.
    updated_at: f64,
}

impl TokenBucket {
    /// A full bucket: `rate` tokens a second, at most `burst` at once, the last `reserve`
    /// of them (half of the burst at most) for control traffic.
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
    /// There are too few: how long to wait for them, in seconds.
    pub fn take(&mut self, count: f64, priority: Priority, now: f64) -> Result<(), f64> {
        self.refill(now);
        let floor = match priority {
            Priority::Control => 0.0,
            Priority::Data => self.reserve,
        };
        // A request larger than the bucket is let through once it is full.
        let need = count.min(self.burst - floor);
        if self.tokens - need >= floor - ROUNDING {
            self.tokens -= count;
            Ok(())
        } else {
            Err((need + floor - self.tokens) / self.rate)
        }
    }

    fn refill(&mut self, now: f64) {
        if now > self.updated_at {
            self.tokens = (self.tokens + (now - self.updated_at) * self.rate).min(self.burst);
            self.updated_at = now;
        }
    }

    /// Empties the bucket: after a 429 the other side knows better.
    pub fn drain(&mut self) {
        self.tokens = self.tokens.min(0.0);
    }
}
