//! Request budgets: token buckets that keep a controller below a published
//! limit. Control traffic may dip into a reserve that other traffic may not.

/// A token bucket in passed-in time.
#[derive(Debug, Clone)]
pub struct Budget {
    rate: f64,
    burst: f64,
    reserve: f64,
    tokens: f64,
    at: f64,
}

impl Budget {
    /// `rate` tokens a second, at most `burst` at once, the last `reserve` of
    /// them for control traffic.
    pub fn new(rate: f64, burst: f64, reserve: f64) -> Budget {
        Budget {
            rate,
            burst,
            reserve: reserve.min(burst / 2.0),
            tokens: burst,
            at: 0.0,
        }
    }

    /// Takes `n` tokens, or says how long to wait for them.
    pub fn take(&mut self, n: f64, control: bool, now: f64) -> Result<(), f64> {
        if now > self.at {
            self.tokens = (self.tokens + (now - self.at) * self.rate).min(self.burst);
            self.at = now;
        }
        let floor = if control { 0.0 } else { self.reserve };
        // A request larger than the bucket is let through once it is full.
        let need = n.min(self.burst - floor);
        if self.tokens - need >= floor - 1e-9 {
            self.tokens -= n;
            Ok(())
        } else {
            Err((need + floor - self.tokens) / self.rate)
        }
    }

    /// After a 429 the other side knows better: nothing is left.
    pub fn drain(&mut self) {
        self.tokens = self.tokens.min(0.0);
    }
}
