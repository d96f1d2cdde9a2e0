//! The operators' API, version 1: what controllers answer under `/admin/v1`, and
//! what operators order there. Times are seconds unless a name says otherwise; ages and "how long
//! ago" count from the answer.

use serde::{Deserialize, Serialize};

/// Around every answer: who gives it, for whom, and how old it is.
#[derive(Serialize, Deserialize, Debug, Clone, PartialEq)]
pub struct Answer<T> {
    /// The controller that was asked.
    pub from: String,
    /// The leader of the shard whose state this is, as far as it is known.
    pub owner: Option<String>,
    /// The leader's term under which the answer was made; 0 if it is of no shard.
    pub term: u64,
    /// How old the data is; above 0 where the leader could not be asked now.
    pub age_s: f64,
    /// What was asked for.
    pub data: T,
}

/// A refused request: which field, what is wrong with it, when to come back.
#[derive(Serialize, Deserialize, Debug, Clone, PartialEq)]
pub struct Problem {
    /// What is wrong, and when to come back; a sentence for a person.
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
    /// The machine's name.
    pub host: String,
    /// Name of the order it came with: the same order given twice is one.
    pub order: String,
    /// Who ordered it.
    pub by: String,
    /// Why it was ordered.
    pub why: String,
    /// When it was ordered, in milliseconds of the time of day.
    pub at_ms: u64,
    /// When it should be over, in milliseconds of the time of day.
    #[serde(default)]
    pub deadline_ms: Option<u64>,
    /// What happens to work that is left then.
    pub rest: Rest,
    /// The proof that it is over.
    #[serde(default)]
    pub drained: Option<Drained>,
    /// The rollout that it is a step of.
    #[serde(default)]
    pub roll: Option<String>,
}

/// The proof that nothing is on a machine, nor can come to it.
#[derive(Serialize, Deserialize, Debug, Clone, PartialEq)]
pub struct Drained {
    /// When it was proven, in milliseconds of the time of day.
    pub at_ms: u64,
    /// The leader's term when it was proven.
    pub term: u64,
    /// What proves it.
    pub proof: Proof,
    /// The worker's session then; a later one has started anew since.
    pub session: u64,
}

/// What proves a machine empty.
#[derive(Serialize, Deserialize, Debug, Clone, Copy, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum Proof {
    /// Its heartbeat under the leader's term shows nothing, and nothing is under way.
    Reported,
    /// Its lease expired after the last moment at which anyone could have renewed it.
    LeaseOver,
}

/// An order to drain machines.
#[derive(Serialize, Deserialize, Debug, Clone, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct DrainOrder {
    /// A fresh name for this order; repeated with the same name it is one.
    pub order: String,
    /// The machines' names.
    pub hosts: Vec<String>,
    /// Who orders it.
    pub by: String,
    /// Why.
    pub why: String,
    /// Seconds until it should be over.
    #[serde(default)]
    pub deadline_s: Option<f64>,
    /// What happens to work that is left then.
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
    /// The machines' names.
    pub hosts: Vec<String>,
    /// Who orders it.
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
    /// Its record.
    pub drain: Drain,
    /// How far it is.
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
    /// All its objectives are out of reach.
    Late,
    /// None of these.
    Ok,
}

/// A live job.
#[derive(Serialize, Deserialize, Debug, Clone, PartialEq)]
pub struct JobRow {
    /// Its id.
    pub id: String,
    /// Its class.
    pub class: String,
    /// Its team.
    pub team: String,
    /// Its priority.
    pub urgency: crate::job::Urgency,
    /// How it stands.
    pub standing: Standing,
    /// Why it stands so.
    pub why: String,
    /// Seconds since it was accepted.
    pub age_s: f64,
    /// Seconds until the first objective that it can still meet is lost.
    pub slack_s: Option<f64>,
    /// How many tasks it has.
    pub tasks: u32,
    /// Completed tasks.
    pub done: u32,
    /// Running tasks.
    pub running: u32,
    /// Waiting tasks.
    pub waiting: u32,
}

/// Live jobs, worst first and oldest first among those alike.
#[derive(Serialize, Deserialize, Debug, Clone, PartialEq, Default)]
pub struct Jobs {
    /// Live jobs.
    pub live: usize,
    /// Of these, jobs of which nothing has run for several leases.
    pub stuck: usize,
    /// Jobs that fail on every machine.
    pub failing: usize,
    /// Jobs whose objectives are out of reach.
    pub late: usize,
    /// As many as were asked for.
    pub rows: Vec<JobRow>,
}

/// A team against its quota; a guarantee or limit of 0 means none.
#[derive(Serialize, Deserialize, Debug, Clone, PartialEq)]
pub struct TeamRow {
    /// Its name.
    pub name: String,
    /// CPUs that it uses.
    pub cpus: f64,
    /// CPUs that it is guaranteed.
    pub cpus_guaranteed: f64,
    /// The most CPUs that it may use.
    pub cpus_max: f64,
    /// GPUs that it uses.
    pub gpus: f64,
    /// GPUs that it is guaranteed.
    pub gpus_guaranteed: f64,
    /// The most GPUs that it may use.
    pub gpus_max: f64,
    /// Live jobs.
    pub jobs: u32,
    /// Waiting tasks.
    pub waiting_tasks: u32,
    /// CPUs that these ask for.
    pub waiting_cpus: f64,
}

/// A machine of the shard.
#[derive(Serialize, Deserialize, Debug, Clone, PartialEq)]
pub struct MachineRow {
    /// Its name.
    pub id: String,
    /// Name of its type.
    pub kind: String,
    /// Its zone.
    pub zone: String,
    /// Whether it is a spot machine.
    pub spot: bool,
    /// What it is good for now.
    pub state: MachineState,
    /// What that rests on.
    pub why: String,
    /// Seconds since its last heartbeat.
    pub silent_s: f64,
    /// Attempts on it.
    pub tasks: u32,
    /// Tasks that are queued for it: they start there as soon as there is room.
    pub bound: u32,
    /// CPUs that nothing uses.
    pub free_cpus: f64,
}

/// What a machine is good for now.
#[derive(Serialize, Deserialize, Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
#[serde(rename_all = "kebab-case")]
pub enum MachineState {
    /// Tasks may start there.
    Usable,
    /// Not in the leader's written record, or without a heartbeat under its term yet.
    Unproven,
    /// It sends no heartbeats.
    Silent,
    /// Proven empty after silence.
    Expired,
    /// Set aside by an operator.
    Draining,
    /// Set aside and proven empty.
    Drained,
    /// On its way back to the cloud.
    Returning,
    /// The cloud is about to take it.
    Noticed,
}

/// A shard as the asked controller sees it.
#[derive(Serialize, Deserialize, Debug, Clone, PartialEq)]
pub struct ShareRow {
    /// Number of the shard.
    pub share: u32,
    /// The leader, as far as it is known.
    pub owner: Option<String>,
    /// The leader's term.
    pub term: u64,
    /// Controllers whose lease is alive.
    pub alive: Vec<String>,
    /// Former leaders that may still answer workers.
    pub former: Vec<String>,
    /// Whether the asked controller is the leader, and may answer workers.
    pub ours: bool,
    /// How long ago the leader last confirmed it, if that is the asked controller.
    pub confirmed_s: Option<f64>,
    /// Machines that hold up placement after a failover; `None` while it goes on.
    pub missing: Option<usize>,
}

/// One outside service, as the asked controller met it.
#[derive(Serialize, Deserialize, Debug, Clone, PartialEq)]
pub struct ServiceRow {
    /// Its name.
    pub name: String,
    /// Requests that were answered.
    pub answered: u64,
    /// Requests that failed.
    pub failed: u64,
    /// Seconds since it last answered.
    pub answered_s: Option<f64>,
    /// Seconds since it last failed to.
    pub failed_s: Option<f64>,
}

/// Quantiles of a distribution, in seconds.
#[derive(Serialize, Deserialize, Debug, Clone, PartialEq)]
pub struct Spread {
    /// What it is of.
    pub name: String,
    /// How many values it has.
    pub count: u64,
    /// The median.
    pub p50_s: f64,
    /// Nine in ten are at most this.
    pub p90_s: f64,
    /// 99 in a hundred are at most this.
    pub p99_s: f64,
    /// The largest.
    pub max_s: f64,
}

/// Waits by class from acceptance to the first task that runs, and how long the
/// asked controller took to accept.
#[derive(Serialize, Deserialize, Debug, Clone, PartialEq, Default)]
pub struct Waits {
    /// By class, from acceptance to the first task that runs.
    pub first_start: Vec<Spread>,
    /// How long the asked controller took to accept.
    pub acceptance: Option<Spread>,
}
