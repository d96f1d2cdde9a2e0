//! The client's metrics. They are recorded through the `metrics` facade to the recorder that the
//! program installs, if the `metrics` feature is enabled.

use crate::schedule::Step;

#[cfg(feature = "metrics")]
fn step_label(step: Step) -> &'static str {
    match step {
        Step::Submit => "submit",
        Step::Cancel => "cancel",
        Step::Poll => "poll",
    }
}

/// Records that an attempt ended after `took_s` seconds. `answered` is whether it got an answer
/// other than 429 or 5xx.
pub(crate) fn record_attempt(step: Step, answered: bool, took_s: f64) {
    #[cfg(feature = "metrics")]
    {
        let answered = if answered { "yes" } else { "no" };
        let step = step_label(step);
        metrics::counter!("foxspur_client_attempts_total", "step" => step, "told" => answered)
            .increment(1);
        metrics::histogram!("foxspur_client_attempt_seconds", "step" => step).record(took_s);
    }
    #[cfg(not(feature = "metrics"))]
    let _ = (step, answered, took_s);
}

/// Records the number of open jobs, the limit of requests in flight, and the number of ejected
/// fronts.
pub(crate) fn record_load(open_jobs: usize, in_flight_limit: usize, ejected_fronts: usize) {
    #[cfg(feature = "metrics")]
    {
        metrics::gauge!("foxspur_client_open_jobs").set(open_jobs as f64);
        metrics::gauge!("foxspur_client_in_flight_limit").set(in_flight_limit as f64);
        metrics::gauge!("foxspur_client_fronts_out").set(ejected_fronts as f64);
    }
    #[cfg(not(feature = "metrics"))]
    let _ = (open_jobs, in_flight_limit, ejected_fronts);
}

/// Records that a due step was not admitted and has to wait for the retry budget or a poll slot.
pub(crate) fn record_withheld(step: Step) {
    #[cfg(feature = "metrics")]
    metrics::counter!("foxspur_client_withheld_total", "step" => step_label(step)).increment(1);
    #[cfg(not(feature = "metrics"))]
    let _ = step;
}
