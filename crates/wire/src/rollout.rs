//! Rollouts (rolls on the wire), as operators order and see them. A rollout drains machines one
//! after the other and limits how many machines of a zone are out of use at once.

use crate::admin::RemainingWork;
use serde::{Deserialize, Serialize};

/// How many machines of a zone may be out of use at once, for whatever reason.
#[derive(Serialize, Deserialize, Debug, Clone, Copy, PartialEq)]
#[serde(rename_all = "kebab-case")]
pub enum MaxOutOfUse {
    /// This number of machines.
    Machines(u32),
    /// This proportion of the zone's machines (0 to 1), but at least one machine.
    Share(f64),
}

/// State of a rollout.
#[derive(Serialize, Deserialize, Debug, Clone, Copy, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum RolloutState {
    /// It is draining machines.
    Running,
    /// An operator or the rollout itself has halted it. It drains no further machines until it is
    /// resumed.
    Halted,
    /// It is being undone: its drains are being ended.
    Back,
    /// It is over: it has finished with all of its machines, or has been undone.
    Done,
}

/// What the plan of a rollout predicted. The rollout halts itself if a prediction is exceeded.
#[derive(Serialize, Deserialize, Debug, Clone, Copy, PartialEq, Default)]
#[serde(deny_unknown_fields)]
pub struct RolloutExpectation {
    /// How many more jobs miss their objectives than did when the rollout began.
    #[serde(default)]
    pub late: u32,
    /// Seconds until each machine is drained.
    #[serde(default)]
    pub step_s: Option<f64>,
    /// Seconds until a drained machine has restarted and is back in use.
    #[serde(default)]
    pub back_s: Option<f64>,
}

/// A rollout, as stored in the state service.
#[derive(Serialize, Deserialize, Debug, Clone, PartialEq)]
pub struct Rollout {
    /// Its name.
    pub name: String,
    /// The operator who ordered it.
    pub by: String,
    /// The reason for the order.
    pub why: String,
    /// When it was ordered, in milliseconds of Unix time.
    pub at_ms: u64,
    /// Names of the machines, in the order in which they are drained.
    pub hosts: Vec<String>,
    /// How many machines of a zone may be out of use at once.
    pub at_most: MaxOutOfUse,
    /// What happens to tasks that are left at a drain's deadline.
    pub rest: RemainingWork,
    /// Seconds from a drain's start until its deadline.
    #[serde(default)]
    pub deadline_s: Option<f64>,
    /// What its plan predicted.
    pub promise: RolloutExpectation,
    /// State of the rollout.
    pub state: RolloutState,
    /// Why it is halted.
    #[serde(default)]
    pub reason: String,
    /// Index in `hosts` of the next machine to drain. The machines before it have been drained, are
    /// being drained, or were skipped.
    pub next: usize,
    /// Number of jobs that already missed their objectives when the rollout began or was resumed;
    /// `None` until the leader has counted them.
    #[serde(default)]
    pub late_before: Option<u32>,
}

/// Selects the machines of a rollout: all that match every criterion that is given.
#[derive(Serialize, Deserialize, Debug, Clone, PartialEq, Default)]
#[serde(deny_unknown_fields)]
pub struct MachineSelector {
    /// Names of machines; an empty list selects any.
    #[serde(default)]
    pub hosts: Vec<String>,
    /// Name of a machine type.
    #[serde(default)]
    pub kind: Option<String>,
    /// Name of a zone.
    #[serde(default)]
    pub zone: Option<String>,
}

/// An order to begin a rollout.
#[derive(Serialize, Deserialize, Debug, Clone, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct RolloutOrder {
    /// Name of the rollout. An order repeated with the same name has no further effect.
    pub name: String,
    /// The operator who orders it.
    pub by: String,
    /// The reason.
    pub why: String,
    /// Which machines are drained.
    pub among: MachineSelector,
    /// How many machines of a zone may be out of use at once.
    pub at_most: MaxOutOfUse,
    /// What happens to tasks that are left at a drain's deadline.
    #[serde(default)]
    pub rest: RemainingWork,
    /// Seconds from a drain's start until its deadline.
    #[serde(default)]
    pub deadline_s: Option<f64>,
    /// What its plan predicts. The rollout halts itself if a prediction is exceeded.
    #[serde(default)]
    pub promise: RolloutExpectation,
}

/// What to do with an existing rollout.
#[derive(Serialize, Deserialize, Debug, Clone, Copy, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum RolloutAction {
    /// Drain no further machines until it is resumed.
    Halt,
    /// Continue a halted rollout.
    Resume,
    /// Undo it: end all of its drains and drain no further machines.
    Back,
    /// Delete the record of a rollout that is done.
    Forget,
}

/// An order about an existing rollout.
#[derive(Serialize, Deserialize, Debug, Clone, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct RolloutActionOrder {
    /// Name of the rollout.
    pub name: String,
    /// The operator who orders it.
    pub by: String,
    /// What to do with it.
    pub turn: RolloutAction,
}
