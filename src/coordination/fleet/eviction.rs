//! Decides for each attempt on a draining machine whether it is evicted. Pure functions.
//!
//! An attempt that ends by itself before the deadline may finish. Any other attempt is evicted,
//! unless it would then miss a service-level objective that it meets by staying, or no other
//! machine can run it.

use crate::protocol::admin::Rest;

/// What is done about an attempt on a draining machine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum DrainDecision {
    /// It may finish: it is expected to end by itself in time.
    LetFinish,
    /// It is stopped, and its task runs on another machine.
    Evict(StopCost),
    /// It stays for now, for this reason.
    Keep(&'static str),
}

/// What stopping an attempt costs.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StopCost {
    /// Work that is lost, in CPU seconds.
    pub lost_cpu_s: f64,
    /// Grace period for saving a checkpoint, in seconds.
    pub grace_s: f64,
}

/// Whether an attempt can run on another machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Relocation {
    /// No other machine may run it.
    NotAllowed,
    /// Another machine may run it, but none has room now.
    NoRoom,
    /// Another machine may run it and has room for it now.
    Possible,
}

/// The facts on which the decision about an attempt is based. Times are in seconds.
#[derive(Debug, Clone, Copy)]
pub struct AttemptOutlook {
    /// Whether it is a service replica, which never ends by itself.
    pub runs_indefinitely: bool,
    /// How long it has run.
    pub ran_s: f64,
    /// How long it is predicted to run in all.
    pub predicted_s: f64,
    /// Cost of stopping it now.
    pub stop_cost: StopCost,
    /// How long its task would take on another machine, from the stop until its end.
    pub rerun_s: f64,
    /// Time until its next objectives are due, nearest first.
    pub due_in_s: [Option<f64>; 2],
    /// Time until the drain's deadline; negative after it. `None` without a deadline.
    pub until_deadline_s: Option<f64>,
    /// What is done about it at the deadline if it still runs.
    pub at_deadline: Rest,
    /// Whether it can run on another machine.
    pub relocation: Relocation,
}

impl AttemptOutlook {
    /// How long the attempt is expected to run on this machine from now on. An attempt that has
    /// run longer than predicted is expected to take as long again as it has run.
    fn remaining_s(&self) -> f64 {
        if self.ran_s < self.predicted_s {
            self.predicted_s - self.ran_s
        } else {
            self.ran_s
        }
    }

    fn must_stop_now(&self) -> bool {
        let past_deadline = self.until_deadline_s.is_some_and(|left| left <= 0.0);
        past_deadline && self.at_deadline == Rest::Stop
    }

    fn ends_in_time(&self) -> bool {
        let remaining_s = self.remaining_s();
        !self.runs_indefinitely && self.until_deadline_s.is_none_or(|left| remaining_s <= left)
    }

    /// Whether the attempt meets an objective by staying and misses it on another machine.
    fn objective_needs_stay(&self) -> bool {
        let remaining_s = self.remaining_s();
        let met_only_by_staying = |due_in_s: &f64| {
            !self.runs_indefinitely && remaining_s <= *due_in_s && *due_in_s < self.rerun_s
        };
        self.due_in_s.iter().flatten().any(met_only_by_staying)
    }
}

/// Decides what is done about an attempt on a draining machine.
pub fn decide(outlook: &AttemptOutlook) -> DrainDecision {
    if outlook.must_stop_now() {
        return DrainDecision::Evict(outlook.stop_cost);
    }
    if outlook.ends_in_time() {
        return DrainDecision::LetFinish;
    }
    match outlook.relocation {
        Relocation::NotAllowed => DrainDecision::Keep("no other machine may run it"),
        Relocation::NoRoom => DrainDecision::Keep("waits for room elsewhere"),
        Relocation::Possible if outlook.objective_needs_stay() => {
            DrainDecision::Keep("would miss its deadline elsewhere")
        }
        Relocation::Possible => DrainDecision::Evict(outlook.stop_cost),
    }
}
