//! Measures delays of the process's event loop by the lateness of a periodic tick.

/// How late the ticks of a periodic timer were.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct LoopDelay {
    last_tick_at: Option<f64>,
    max_delay_s: f64,
}

impl LoopDelay {
    /// Records a tick at `now` that was due `interval_s` seconds after the previous one. Returns
    /// by how many seconds the tick was late.
    pub fn record_tick(&mut self, now: f64, interval_s: f64) -> f64 {
        let delay_s = self
            .last_tick_at
            .map_or(0.0, |last| (now - last - interval_s).max(0.0));
        self.last_tick_at = Some(now);
        self.max_delay_s = self.max_delay_s.max(delay_s);
        delay_s
    }

    /// The longest delay of a tick so far, in seconds.
    pub fn max_delay_s(&self) -> f64 {
        self.max_delay_s
    }
}
