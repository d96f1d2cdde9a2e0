//! Settings of a client, and their check. An error names the setting that is wrong.

/// Limits and timeouts of a client. The default timeouts are the protocol's times or parts of them.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Base URLs of the fronts, such as `http://10.0.0.1:8080`.
    pub fronts: Vec<String>,
    /// Timeout of a submission or cancellation, in seconds.
    pub submit_s: f64,
    /// Timeout of a poll, in seconds.
    pub poll_s: f64,
    /// Maximum number of requests in flight.
    pub in_flight: usize,
    /// Maximum number of polls per second.
    pub polls_per_s: f64,
    /// Retries as a proportion of first attempts.
    pub retry_share: f64,
    /// Retries per second that are allowed in addition, so that a client with a single job can
    /// retry too. Multiplied by the number of client processes, this is the rate of retries that
    /// reaches a controller that comes back after an outage.
    pub retry_floor_per_s: f64,
    /// Maximum number of retries that the budget accumulates.
    pub retry_most: f64,
    /// Whether a poll that takes longer than nearly all others is also sent to a second front
    /// (hedging).
    pub hedge: bool,
}

/// A setting that is out of range.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("settings: {field}: {why}")]
pub struct BadSetting {
    /// Name of the setting.
    pub field: &'static str,
    /// What is wrong with it.
    pub why: &'static str,
}

impl Settings {
    /// The default settings with these fronts.
    pub fn new(fronts: impl IntoIterator<Item = impl Into<String>>) -> Settings {
        Settings {
            fronts: fronts.into_iter().map(Into::into).collect(),
            submit_s: 5.0,
            poll_s: 2.0,
            in_flight: 64,
            polls_per_s: 50.0,
            retry_share: 0.2,
            retry_floor_per_s: 0.2,
            retry_most: 10.0,
            hedge: true,
        }
    }

    /// Checks all settings.
    ///
    /// # Errors
    ///
    /// The first setting that is out of range.
    pub fn check(&self) -> Result<(), BadSetting> {
        let bad = |field, why| Err(BadSetting { field, why });
        if self.fronts.is_empty() {
            return bad("fronts", "is empty");
        }
        for front in &self.fronts {
            if !front.starts_with("http://") && !front.starts_with("https://") {
                return bad("fronts", "contains a URL that is not http:// or https://");
            }
        }
        for (field, value) in [
            ("submit_s", self.submit_s),
            ("poll_s", self.poll_s),
            ("polls_per_s", self.polls_per_s),
            ("retry_floor_per_s", self.retry_floor_per_s),
        ] {
            if !value.is_finite() || value <= 0.0 {
                return bad(field, "must be above 0");
            }
        }
        if self.in_flight == 0 {
            return bad("in_flight", "must be above 0");
        }
        if !(0.0..=1.0).contains(&self.retry_share) {
            return bad("retry_share", "must be between 0 and 1");
        }
        if !self.retry_most.is_finite() || self.retry_most < 1.0 {
            return bad("retry_most", "must be at least 1");
        }
        Ok(())
    }
}
