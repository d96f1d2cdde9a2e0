//! Settings of a client; bad ones name their field.

/// Limits and times of a client. The defaults are the protocol's times, and parts of them.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Base URLs of the fronts, such as `http://10.0.0.1:8080`.
    pub fronts: Vec<String>,
    /// How long a submission or cancellation waits for its answer, in seconds.
    pub submit_s: f64,
    /// How long a poll does, in seconds.
    pub poll_s: f64,
    /// The most requests in flight.
    pub in_flight: usize,
    /// The most polls a second.
    pub polls_per_s: f64,
    /// Retries as a proportion of first attempts.
    pub retry_share: f64,
    /// Retries a second that are allowed besides, so that a single job is tried
    /// again; times the number of processes this is what hits a controller
    /// that comes back.
    pub retry_floor_per_s: f64,
    /// Retries that may be saved up.
    pub retry_most: f64,
    /// Ask a second front when a poll takes longer than nearly all do.
    pub hedge: bool,
}

/// A setting out of range.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("settings: {field}: {why}")]
pub struct BadSetting {
    /// Its name.
    pub field: &'static str,
    /// What is wrong with it.
    pub why: &'static str,
}

impl Settings {
    /// Defaults for these fronts.
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
    /// Names the first that is out of range.
    pub fn check(&self) -> Result<(), BadSetting> {
        let bad = |field, why| Err(BadSetting { field, why });
        if self.fronts.is_empty() {
            return bad("fronts", "is empty");
        }
        for front in &self.fronts {
            if !front.starts_with("http://") && !front.starts_with("https://") {
                return bad("fronts", "is no http:// or https:// URL");
            }
        }
        for (field, value) in [
            ("submit_s", self.submit_s),
            ("poll_s", self.poll_s),
            ("polls_per_s", self.polls_per_s),
            ("retry_floor_per_s", self.retry_floor_per_s),
        ] {
            if !value.is_finite() || value <= 0.0 {
                return bad(field, "is not above 0");
            }
        }
        if self.in_flight == 0 {
            return bad("in_flight", "is 0");
        }
        if !(0.0..=1.0).contains(&self.retry_share) {
            return bad("retry_share", "is not within 0 and 1");
        }
        if !self.retry_most.is_finite() || self.retry_most < 1.0 {
            return bad("retry_most", "is below 1");
        }
        Ok(())
    }
}
