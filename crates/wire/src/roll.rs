//! Rolls: machines drained one after the other, so many of each zone at once, as
//! operators order and see them.

use crate::admin::Rest;
use serde::{Deserialize, Serialize};

/// How many machines of a zone may be out of use at once, for whatever reason.
#[derive(Serialize, Deserialize, Debug, Clone, Copy, PartialEq)]
#[serde(rename_all = "kebab-case")]
pub enum AtMost {
    /// So many.
    Machines(u32),
    /// This share of the zone, but at least one.
    Share(f64),
}

/// How far a roll is.
#[derive(Serialize, Deserialize, Debug, Clone, Copy, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum RollState {
    Running,
    /// By an operator or by itself: nothing new is drained until it is resumed.
    Halted,
    /// Its drains are being ended.
    Back,
    Done,
}

/// What a roll's plan said; it halts by itself where that turns out wrong.
#[derive(Serialize, Deserialize, Debug, Clone, Copy, PartialEq, Default)]
#[serde(deny_unknown_fields)]
pub struct Promise {
    /// Jobs whose aims are lost, beyond those that were when it began.
    #[serde(default)]
    pub late: u32,
    /// Seconds until each machine is drained.
    #[serde(default)]
    pub step_s: Option<f64>,
    /// Seconds until a drained machine is back, restarted.
    #[serde(default)]
    pub back_s: Option<f64>,
}

/// A roll, as it stands in the state service.
#[derive(Serialize, Deserialize, Debug, Clone, PartialEq)]
pub struct Roll {
    pub name: String,
    pub by: String,
    pub why: String,
    pub at_ms: u64,
    /// In the order in which they are drained.
    pub hosts: Vec<String>,
    pub at_most: AtMost,
    pub rest: Rest,
    #[serde(default)]
    pub deadline_s: Option<f64>,
    pub promise: Promise,
    pub state: RollState,
    /// Why it is halted.
    #[serde(default)]
    pub reason: String,
    /// How many of the machines have had their turn.
    pub next: usize,
    /// Jobs whose aims were lost already when it began or was resumed; `None`
    /// until the owner has counted them.
    #[serde(default)]
    pub late_before: Option<u32>,
}

/// Which machines a roll is for: all that every given part lets pass.
#[derive(Serialize, Deserialize, Debug, Clone, PartialEq, Default)]
#[serde(deny_unknown_fields)]
pub struct Among {
    #[serde(default)]
    pub hosts: Vec<String>,
    #[serde(default)]
    pub kind: Option<String>,
    #[serde(default)]
    pub zone: Option<String>,
}

/// An order to begin a roll.
#[derive(Serialize, Deserialize, Debug, Clone, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct RollOrder {
    pub name: String,
    pub by: String,
    pub why: String,
    pub among: Among,
    pub at_most: AtMost,
    #[serde(default)]
    pub rest: Rest,
    #[serde(default)]
    pub deadline_s: Option<f64>,
    #[serde(default)]
    pub promise: Promise,
}

/// What is to become of a roll.
#[derive(Serialize, Deserialize, Debug, Clone, Copy, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum Turn {
    Halt,
    Resume,
    /// End all its drains, drain nothing more.
    Back,
    /// Forget one that is done.
    Forget,
}

/// An order about a roll that stands.
#[derive(Serialize, Deserialize, Debug, Clone, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct TurnOrder {
    pub name: String,
    pub by: String,
    pub turn: Turn,
}
