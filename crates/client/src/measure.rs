//! What is counted, for whatever recorder the program installs (the `metrics`
//! facade, behind the feature of that name).

use crate::agenda::Step;

#[cfg(feature = "metrics")]
fn name(step: Step) -> &'static str {
    match step {
        Step::Submit => "submit",
        Step::Cancel => "cancel",
        Step::Poll => "poll",
    }
}

/// An attempt ended after `s` seconds, with an answer that says something or not.
pub(crate) fn attempt(step: Step, told: bool, s: f64) {
    #[cfg(feature = "metrics")]
    {
        let told = if told { "yes" } else { "no" };
        metrics::counter!("foxspur_client_attempts_total", "step" => name(step), "told" => told)
            .increment(1);
        metrics::histogram!("foxspur_client_attempt_seconds", "step" => name(step)).record(s);
    }
    #[cfg(not(feature = "metrics"))]
    let _ = (step, told, s);
}

/// Jobs with an answer open, requests allowed at once, fronts left alone.
pub(crate) fn load(open: usize, in_flight: usize, out: usize) {
    #[cfg(feature = "metrics")]
    {
        metrics::gauge!("foxspur_client_open_jobs").set(open as f64);
        metrics::gauge!("foxspur_client_in_flight_limit").set(in_flight as f64);
        metrics::gauge!("foxspur_client_fronts_out").set(out as f64);
    }
    #[cfg(not(feature = "metrics"))]
    let _ = (open, in_flight, out);
}

/// A retry had to wait for the budget.
pub(crate) fn withheld(step: Step) {
    #[cfg(feature = "metrics")]
    metrics::counter!("foxspur_client_withheld_total", "step" => name(step)).increment(1);
    #[cfg(not(feature = "metrics"))]
    let _ = step;
}
