//! Rollouts (rolls on the wire): machines drained one after the other, at most so many of each
//! zone at once, as operators order and see them.

use crate::admin::Rest;
use serde::{Deserialize, Serialize};

/// How many machines of a zone may be out of use at once, for whatever reason.
#[derive(Serialize, Deserialize, Debug, Clone, Copy, PartialEq)]
#[serde(rename_all = "kebab-case")]
pub enum AtMost {
    /// So many.
    Machines(u32),
    /// This proportion of the zone (0 to 1), but at least one.
    Share(f64),
}

/// How far a rollout is.
#[derive(Serialize, Deserialize, Debug, Clone, Copy, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum RollState {
    /// Machines are drained.
    Running,
    /// By an operator or by itself: nothing new is drained until it is resumed.
    Halted,
    /// Its drains are being ended.
    Back,
    /// All machines have had their turn.
    Done,
}

/// What a rollout's plan said; it halts by itself where that turns out wrong.
#[derive(Serialize, Deserialize, Debug, Clone, Copy, PartialEq, Default)]
#[serde(deny_unknown_fields)]
pub struct Promise {
    /// Jobs that miss their objectives, beyond those that did when it began.
    #[serde(default)]
    pub late: u32,
    /// Seconds until each machine is drained.
    #[serde(default)]
    pub step_s: Option<f64>,
    /// Seconds until a drained machine is back, restarted.
    #[serde(default)]
    pub back_s: Option<f64>,
}

/// A rollout, as its record stands in the state service.
#[derive(Serialize, Deserialize, Debug, Clone, PartialEq)]
pub struct Roll {
    /// Its name.
    pub name: String,
    /// Who ordered it.
    pub by: String,
    /// Why it was ordered.
    pub why: String,
    /// When it was ordered, in milliseconds of the time of day.
    pub at_ms: u64,
    /// In the order in which they are drained.
    pub hosts: Vec<String>,
    /// How many machines of a zone may be out of use at once.
    pub at_most: AtMost,
    /// What happens to work that is left at a drain's deadline.
    pub rest: Rest,
    /// Seconds from a drain's start until its deadline.
    #[serde(default)]
    pub deadline_s: Option<f64>,
    /// What its plan said.
    pub promise: Promise,
    /// How far it is.
    pub state: RollState,
    /// Why it is halted.
    #[serde(default)]
    pub reason: String,
    /// How many of the machines have had their turn.
    pub next: usize,
    /// Jobs that missed their objectives already when it began or was resumed; `None` until the
    /// leader has counted them.
    #[serde(default)]
    pub late_before: Option<u32>,
}

/// Which machines a rollout is for: all that match every part that is given.
#[derive(Serialize, Deserialize, Debug, Clone, PartialEq, Default)]
#[serde(deny_unknown_fields)]
pub struct Among {
    /// Names of machines; empty for any.
    #[serde(default)]
    pub hosts: Vec<String>,
    /// Name of a machine type.
    #[serde(default)]
    pub kind: Option<String>,
    /// A zone.
    #[serde(default)]
    pub zone: Option<String>,
}

/// An order to begin a rollout.
#[derive(Serialize, Deserialize, Debug, Clone, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct RollOrder {
    /// A name for it: the same order repeated is one.
    pub name: String,
    /// Who orders it.
    pub by: String,
    /// Why.
    pub why: String,
    /// Which machines are drained.
    pub among: Among,
    /// How many machines of a zone may be out of use at once.
    pub at_most: AtMost,
    /// What happens to work that is left at a drain's deadline.
    #[serde(default)]
    pub rest: Rest,
    /// Seconds from a drain's start until its deadline.
    #[serde(default)]
    pub deadline_s: Option<f64>,
    /// What its plan says; it halts where that turns out wrong.
    #[serde(default)]
    pub promise: Promise,
}

/// What is to become of a rollout.
#[derive(Serialize, Deserialize, Debug, Clone, Copy, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum Turn {
    /// Drain nothing new until it is resumed.
    Halt,
    /// Go on.
    Resume,
    /// End all its drains, drain nothing more.
    Back,
    /// Forget one that is done.
    Forget,
}

/// An order about an existing rollout.
#[derive(Serialize, Deserialize, Debug, Clone, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct TurnOrder {
    /// Name of the rollout.
    pub name: String,
    /// Who orders it.
    pub by: String,
    /// What is to become of it.
    pub turn: Turn,
}
