//! The operators' API, version 1: what controllers answer under `/admin/v1`, and
//! what operators order there. Times are seconds unless a name says otherwise.

use serde::{Deserialize, Serialize};

/// Around every answer: who gives it, for whom, and how old it is.
#[derive(Serialize, Deserialize, Debug, Clone, PartialEq)]
pub struct Answer<T> {
    /// The controller that was asked.
    pub from: String,
    /// The owner of the share whose state this is, as far as it is known.
    pub owner: Option<String>,
    /// The term under which the answer was made; 0 if it is of no share.
    pub term: u64,
    /// How old the data is; above 0 where the owner could not be asked now.
    pub age_s: f64,
    pub data: T,
}

/// A refused request: which field, what is wrong with it, when to come back.
#[derive(Serialize, Deserialize, Debug, Clone, PartialEq)]
pub struct Problem {
    pub error: String,
    /// The field that is wrong, if it is one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub field: Option<String>,
}

/// What to do with work that is left when a drain's deadline comes, or that no
/// other machine can take in time.
#[derive(Serialize, Deserialize, Debug, Clone, Copy, PartialEq, Eq, Default)]
#[serde(rename_all = "kebab-case")]
pub enum Rest {
    /// It stays; the drain is overdue and says so.
    #[default]
    Leave,
    /// It is stopped at the deadline, whatever that costs.
    Stop,
}

/// A drain, as it stands in the state service.
#[derive(Serialize, Deserialize, Debug, Clone, PartialEq)]
pub struct Drain {
    pub host: String,
    /// Name of the order it came with: the same order given twice is one.
    pub order: String,
    pub by: String,
    pub why: String,
    /// When it was ordered, in milliseconds of the time of day.
    pub at_ms: u64,
    #[serde(default)]
    pub deadline_ms: Option<u64>,
    pub rest: Rest,
    #[serde(default)]
    pub drained: Option<Drained>,
    /// The roll that it is a step of.
    #[serde(default)]
    pub roll: Option<String>,
}

/// The proof that nothing is on a machine, nor can come to it.
#[derive(Serialize, Deserialize, Debug, Clone, PartialEq)]
pub struct Drained {
    pub at_ms: u64,
    /// The owner's term when it was proven.
    pub term: u64,
    pub proof: Proof,
    /// The worker's session then; a later one has started anew since.
    pub session: u64,
}

/// What proves a machine empty.
#[derive(Serialize, Deserialize, Debug, Clone, Copy, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum Proof {
    /// Its report under the owner's term shows nothing, and nothing is under way.
    Reported,
    /// Its lease ran out after the last moment that anyone could have renewed it.
    LeaseOver,
}

/// An order to drain machines.
#[derive(Serialize, Deserialize, Debug, Clone, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct DrainOrder {
    /// A fresh name for this order; repeated with the same name it is one.
    pub order: String,
    pub hosts: Vec<String>,
    pub by: String,
    pub why: String,
    #[serde(default)]
    pub deadline_s: Option<f64>,
    #[serde(default)]
    pub rest: Rest,
    /// The term of the plan that is carried out; another one refuses it.
    #[serde(default)]
    pub term: Option<u64>,
}

/// An order to end drains.
#[derive(Serialize, Deserialize, Debug, Clone, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct UndrainOrder {
    pub hosts: Vec<String>,
    pub by: String,
}

/// How far a drain is.
#[derive(Serialize, Deserialize, Debug, Clone, Copy, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum DrainState {
    /// Work is still there, or it is not proven yet that none is.
    Draining,
    /// As before, and the deadline is over.
    Overdue,
    /// Proven, and the proof is recorded.
    Drained,
    /// The cloud has taken the machine away.
    Gone,
}

/// A drain with its progress.
#[derive(Serialize, Deserialize, Debug, Clone, PartialEq)]
pub struct DrainRow {
    pub drain: Drain,
    pub state: DrainState,
    /// Attempts still there.
    pub tasks: u32,
    /// Why the first of them that stays does so; empty if all go.
    pub stays: String,
}

/// How a job stands, worst first.
#[derive(Serialize, Deserialize, Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
#[serde(rename_all = "kebab-case")]
pub enum Standing {
    /// Nothing of it has run for several leases.
    Stuck,
    /// It fails on every machine that it was tried on.
    Failing,
    /// All its aims are out of reach.
    Late,
    Ok,
}

/// A live job.
#[derive(Serialize, Deserialize, Debug, Clone, PartialEq)]
pub struct JobRow {
    pub id: String,
    pub class: String,
    pub team: String,
    pub urgency: crate::job::Urgency,
    pub standing: Standing,
    pub why: String,
    pub age_s: f64,
    /// Until its first aim that can still be met is lost.
    pub slack_s: Option<f64>,
    pub tasks: u32,
    pub done: u32,
    pub running: u32,
    pub waiting: u32,
}

/// Live jobs, worst first and oldest first among those alike.
#[derive(Serialize, Deserialize, Debug, Clone, PartialEq, Default)]
pub struct Jobs {
    pub live: usize,
    pub stuck: usize,
    pub failing: usize,
    pub late: usize,
    /// As many as were asked for.
    pub rows: Vec<JobRow>,
}

/// A team against its guarantee and limit; 0 means none.
#[derive(Serialize, Deserialize, Debug, Clone, PartialEq)]
pub struct TeamRow {
    pub name: String,
    pub cpus: f64,
    pub cpus_guaranteed: f64,
    pub cpus_max: f64,
    pub gpus: f64,
    pub gpus_guaranteed: f64,
    pub gpus_max: f64,
    pub jobs: u32,
    pub waiting_tasks: u32,
    pub waiting_cpus: f64,
}

/// A machine of the share.
#[derive(Serialize, Deserialize, Debug, Clone, PartialEq)]
pub struct MachineRow {
    pub id: String,
    pub kind: String,
    pub zone: String,
    pub spot: bool,
    pub state: MachineState,
    /// What that rests on.
    pub why: String,
    pub silent_s: f64,
    pub tasks: u32,
    pub bound: u32,
    pub free_cpus: f64,
}

/// What a machine is good for now.
#[derive(Serialize, Deserialize, Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
#[serde(rename_all = "kebab-case")]
pub enum MachineState {
    Usable,
    /// Not in our written record, or not heard of under our term yet.
    Unproven,
    Silent,
    /// Proven empty after silence.
    Expired,
    /// Set aside by an operator.
    Draining,
    Drained,
    /// On its way back to the cloud.
    Returning,
    /// The cloud is about to take it.
    Noticed,
}

/// The share as this controller sees it.
#[derive(Serialize, Deserialize, Debug, Clone, PartialEq)]
pub struct ShareRow {
    pub share: u32,
    pub owner: Option<String>,
    pub term: u64,
    /// Controllers whose lease is alive.
    pub alive: Vec<String>,
    /// Former owners that may still answer workers.
    pub former: Vec<String>,
    /// Whether the asked controller is the owner, and may answer workers.
    pub ours: bool,
    /// How long ago the owner last made sure of it, if we are the owner.
    pub confirmed_s: Option<f64>,
    /// Machines that hold up placing after a takeover; `None` while it goes on.
    pub missing: Option<usize>,
}

/// One outside service, as the asked controller met it.
#[derive(Serialize, Deserialize, Debug, Clone, PartialEq)]
pub struct ServiceRow {
    pub name: String,
    pub answered: u64,
    pub failed: u64,
    /// How long ago it last answered, and last failed to.
    pub answered_s: Option<f64>,
    pub failed_s: Option<f64>,
}

/// Where a distribution lies, in seconds.
#[derive(Serialize, Deserialize, Debug, Clone, PartialEq)]
pub struct Spread {
    pub name: String,
    pub count: u64,
    pub p50_s: f64,
    pub p90_s: f64,
    pub p99_s: f64,
    pub max_s: f64,
}

/// Waits by class from acceptance to the first task that runs, and how long the
/// asked controller took to accept.
#[derive(Serialize, Deserialize, Debug, Clone, PartialEq, Default)]
pub struct Waits {
    pub first_start: Vec<Spread>,
    pub acceptance: Option<Spread>,
}
