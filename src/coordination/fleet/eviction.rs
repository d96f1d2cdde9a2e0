//! Eviction from a draining machine: what becomes of each attempt on it. Pure code.
//!
//! What ends by itself in time may finish; else it is moved, unless that would lose a
//! service-level objective which staying keeps, or no other machine can run it.

use crate::protocol::admin::Rest;

/// What becomes of an attempt on a draining machine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum DrainDecision {
    /// It ends by itself in time.
    Finishes,
    /// It is stopped and runs elsewhere.
    Moves(StopCost),
    /// It stays for now, for this reason.
    Stays(&'static str),
}

/// What stopping an attempt costs.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StopCost {
    /// Work that is lost, in CPU seconds.
    pub lost_cpu_s: f64,
    /// Grace to save a checkpoint, in seconds.
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

/// What the decision on an attempt follows from. Times are in seconds.
#[derive(Debug, Clone, Copy)]
pub struct AttemptOutlook {
    /// A replica that never ends by itself.
    pub endless: bool,
    /// How long it has run.
    pub ran_s: f64,
    /// How long it is predicted to run in all.
    pub predicted_s: f64,
    /// What it loses when it is stopped.
    pub stop_cost: StopCost,
    /// How much longer it would run elsewhere.
    pub rerun_s: f64,
    /// Until its objectives are due, nearest first.
    pub due_s: [Option<f64>; 2],
    /// Until the drain's deadline.
    pub until_deadline_s: Option<f64>,
    /// What is to become of it at the deadline.
    pub rest: Rest,
    /// Whether it can run elsewhere.
    pub relocation: Relocation,
}

impl AttemptOutlook {
    /// How long the attempt still runs here. One that has outrun its prediction is
    /// expected to take as long again as it has taken.
    fn remaining_s(&self) -> f64 {
        if self.ran_s < self.predicted_s {
            self.predicted_s - self.ran_s
        } else {
            self.ran_s
        }
    }

    fn must_stop_now(&self) -> bool {
        let past_deadline = self.until_deadline_s.is_some_and(|left| left <= 0.0);
        past_deadline && self.rest == Rest::Stop
    }

    fn ends_in_time(&self) -> bool {
        let remaining_s = self.remaining_s();
        !self.endless && self.until_deadline_s.is_none_or(|left| remaining_s <= left)
    }

    /// Whether an objective is met by staying, and missed by running elsewhere.
    fn objective_needs_stay(&self) -> bool {
        let remaining_s = self.remaining_s();
        let kept_by_staying =
            |due: &f64| !self.endless && remaining_s <= *due && *due < self.rerun_s;
        self.due_s.iter().flatten().any(kept_by_staying)
    }
}

/// Decides what becomes of an attempt.
pub fn decide(outlook: &AttemptOutlook) -> DrainDecision {
    if outlook.must_stop_now() {
        return DrainDecision::Moves(outlook.stop_cost);
    }
    if outlook.ends_in_time() {
        return DrainDecision::Finishes;
    }
    match outlook.relocation {
        Relocation::NotAllowed => DrainDecision::Stays("no other machine may run it"),
        Relocation::NoRoom => DrainDecision::Stays("waits for room elsewhere"),
        Relocation::Possible if outlook.objective_needs_stay() => {
            DrainDecision::Stays("would miss its deadline elsewhere")
        }
        Relocation::Possible => DrainDecision::Moves(outlook.stop_cost),
    }
}
