//! Pure functions that decide for each attempt on a draining machine whether it is evicted.
//!
//! An attempt that is expected to end by itself before the drain's deadline may finish. Any other
//! attempt is evicted, unless no other machine can run the task, or the job would miss a
//! service-level objective on another machine that it meets if the attempt stays.

use crate::protocol::admin::RemainingWork;

/// The decision about an attempt on a draining machine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum DrainDecision {
    /// The attempt may finish: it is expected to end by itself before the drain's deadline.
    LetFinish,
    /// The attempt is stopped at this cost, and its task runs on another machine if one can run it.
    Evict(StopCost),
    /// The attempt stays for now, for the reason in this text.
    Keep(&'static str),
}

/// The cost of stopping an attempt.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StopCost {
    /// Work that is lost, in CPU seconds.
    pub lost_cpu_s: f64,
    /// Grace period in which the attempt can save a checkpoint, in seconds.
    pub grace_s: f64,
}

/// Whether the task of an attempt can run on another machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Relocation {
    /// No other machine may run the task.
    NotAllowed,
    /// Another machine may run the task, but no such machine has room for it now.
    NoRoom,
    /// Another machine may run the task and has room for it now.
    Possible,
}

/// The facts on which the decision about an attempt is based. Times are in seconds.
#[derive(Debug, Clone, Copy)]
pub struct AttemptOutlook {
    /// Whether the attempt is a service replica, which never ends by itself.
    pub runs_indefinitely: bool,
    /// Time for which the attempt has run.
    pub ran_s: f64,
    /// Predicted total run time of the attempt.
    pub predicted_s: f64,
    /// Cost of stopping the attempt now.
    pub stop_cost: StopCost,
    /// Time from stopping the attempt now until the attempt's task would end on another machine.
    pub rerun_s: f64,
    /// Time until the next two objectives of the attempt's job are due, nearest first; `None` if
    /// there is no such objective.
    pub due_in_s: [Option<f64>; 2],
    /// Time until the drain's deadline; negative after the deadline, `None` if the drain has none.
    pub until_deadline_s: Option<f64>,
    /// Whether the attempt is stopped at the drain's deadline if it still runs then.
    pub deadline_action: RemainingWork,
    /// Whether the attempt's task can run on another machine.
    pub relocation: Relocation,
}

impl AttemptOutlook {
    /// Expected time until the attempt ends if it stays on this machine, in seconds. An attempt
    /// that has run longer than predicted is expected to run for as long again as it already has.
    fn remaining_s(&self) -> f64 {
        if self.ran_s < self.predicted_s {
            self.predicted_s - self.ran_s
        } else {
            self.ran_s
        }
    }

    /// Whether the drain's deadline has passed and the drain orders that attempts be stopped at its
    /// deadline.
    fn must_stop_now(&self) -> bool {
        let past_deadline = self.until_deadline_s.is_some_and(|left| left <= 0.0);
        past_deadline && self.deadline_action == RemainingWork::Stop
    }

    /// Whether the attempt is expected to end by itself before the drain's deadline.
    fn ends_in_time(&self) -> bool {
        let remaining_s = self.remaining_s();
        !self.runs_indefinitely && self.until_deadline_s.is_none_or(|left| remaining_s <= left)
    }

    /// Whether there is an objective that the attempt meets if it stays, but that its task would
    /// miss on another machine.
    fn objective_needs_stay(&self) -> bool {
        let remaining_s = self.remaining_s();
        let met_only_by_staying = |due_in_s: &f64| {
            !self.runs_indefinitely && remaining_s <= *due_in_s && *due_in_s < self.rerun_s
        };
        self.due_in_s.iter().flatten().any(met_only_by_staying)
    }
}

/// Decides whether an attempt on a draining machine is evicted, may finish or is kept.
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
