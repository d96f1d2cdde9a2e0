//! The operators' API, version 1: the requests under `/admin/v1` and their answers. Durations are
//! in seconds unless the field's name has another unit. Ages and times since an event are counted
//! back from the moment of the answer.

use serde::{Deserialize, Serialize};

/// The envelope of every answer: which controller answers, whose state it shows, and how old that
/// state is.
#[derive(Serialize, Deserialize, Debug, Clone, PartialEq)]
pub struct Answer<T> {
    /// The controller that received the request.
    pub from: String,
    /// The leader of the shard whose state this is, if it is known.
    pub owner: Option<String>,
    /// The leader's term under which the answer was made; 0 if the answer is not about a shard.
    pub term: u64,
    /// Age of the data in seconds; above 0 if the leader could not be asked for this answer.
    pub age_s: f64,
    /// The requested data.
    pub data: T,
}

/// The body of a refused request.
#[derive(Serialize, Deserialize, Debug, Clone, PartialEq)]
pub struct Problem {
    /// What is wrong and when to try again: a sentence for a person.
    pub error: String,
    /// The field that is wrong, if a single field is.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub field: Option<String>,
}

/// What happens to tasks that are still on a machine at its drain's deadline, or that no other
/// machine can take in time.
#[derive(Serialize, Deserialize, Debug, Clone, Copy, PartialEq, Eq, Default)]
#[serde(rename_all = "kebab-case")]
pub enum RemainingWork {
    /// They keep running, and the drain is reported as overdue.
    #[default]
    Leave,
    /// They are stopped at the deadline, even if their progress is lost.
    Stop,
}

/// A drain, as stored in the state service.
#[derive(Serialize, Deserialize, Debug, Clone, PartialEq)]
pub struct Drain {
    /// The machine's name.
    pub host: String,
    /// Name of the order that it belongs to. An order repeated with the same name has no further
    /// effect.
    pub order: String,
    /// The operator who ordered it.
    pub by: String,
    /// The reason for the order.
    pub why: String,
    /// When it was ordered, in milliseconds of Unix time.
    pub at_ms: u64,
    /// When it should be complete, in milliseconds of Unix time.
    #[serde(default)]
    pub deadline_ms: Option<u64>,
    /// What happens to tasks that are left at the deadline.
    pub rest: RemainingWork,
    /// The proof that the machine is drained; `None` until there is one.
    #[serde(default)]
    pub drained: Option<Drained>,
    /// Name of the rollout that it is a step of, if any.
    #[serde(default)]
    pub roll: Option<String>,
}

/// The proof that a machine has no tasks and that none can start on it.
#[derive(Serialize, Deserialize, Debug, Clone, PartialEq)]
pub struct Drained {
    /// When it was proven, in milliseconds of Unix time.
    pub at_ms: u64,
    /// The leader's term when it was proven.
    pub term: u64,
    /// What the proof rests on.
    pub proof: Proof,
    /// The worker's session at that time. A worker with a later session has restarted since.
    pub session: u64,
}

/// What proves that a machine has no tasks.
#[derive(Serialize, Deserialize, Debug, Clone, Copy, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum Proof {
    /// Its heartbeat under the leader's term lists no tasks, and no command to start one is under
    /// way.
    Reported,
    /// Its lease expired, counted from the last moment at which any controller could have renewed
    /// it.
    LeaseOver,
}

/// An order to drain machines.
#[derive(Serialize, Deserialize, Debug, Clone, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct DrainOrder {
    /// An idempotency key: an order repeated with the same name has no further effect.
    pub order: String,
    /// The machines' names.
    pub hosts: Vec<String>,
    /// The operator who orders it.
    pub by: String,
    /// The reason.
    pub why: String,
    /// Seconds until the drains should be complete.
    #[serde(default)]
    pub deadline_s: Option<f64>,
    /// What happens to tasks that are left at the deadline.
    #[serde(default)]
    pub rest: RemainingWork,
    /// The leader's term at which the drain was planned. A leader with another term refuses the
    /// order.
    #[serde(default)]
    pub term: Option<u64>,
}

/// An order to end drains.
#[derive(Serialize, Deserialize, Debug, Clone, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct UndrainOrder {
    /// The machines' names.
    pub hosts: Vec<String>,
    /// The operator who orders it.
    pub by: String,
}

/// State of a drain.
#[derive(Serialize, Deserialize, Debug, Clone, Copy, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum DrainState {
    /// The machine still has tasks, or it is not yet proven that it has none.
    Draining,
    /// Like `Draining`, and the deadline has passed.
    Overdue,
    /// The machine is proven empty, and the proof is recorded.
    Drained,
    /// The machine no longer exists in the cloud.
    Gone,
}

/// A drain with its progress.
#[derive(Serialize, Deserialize, Debug, Clone, PartialEq)]
pub struct DrainRow {
    /// The drain's record.
    pub drain: Drain,
    /// State of the drain.
    pub state: DrainState,
    /// Attempts that are still on the machine.
    pub tasks: u32,
    /// Why the first attempt that cannot be moved stays; empty if all are being moved.
    pub stays: String,
}

/// Health of a job, worst first.
#[derive(Serialize, Deserialize, Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
#[serde(rename_all = "kebab-case")]
pub enum JobHealth {
    /// None of its tasks has run for several lease durations.
    Stuck,
    /// Its tasks have failed on every machine that they were tried on.
    Failing,
    /// It can no longer meet any of its objectives.
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
    /// Its health.
    pub standing: JobHealth,
    /// The reason for its health.
    pub why: String,
    /// Seconds since it was accepted.
    pub age_s: f64,
    /// Seconds until it misses the first of the objectives that it can still meet.
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

/// Live jobs, worst health first; jobs of the same health are sorted oldest first.
#[derive(Serialize, Deserialize, Debug, Clone, PartialEq, Default)]
pub struct Jobs {
    /// Number of live jobs.
    pub live: usize,
    /// Number of live jobs that are [`JobHealth::Stuck`].
    pub stuck: usize,
    /// Number of live jobs that are [`JobHealth::Failing`].
    pub failing: usize,
    /// Number of live jobs that are [`JobHealth::Late`].
    pub late: usize,
    /// The first jobs of the list, up to the requested number.
    pub rows: Vec<JobRow>,
}

/// A team's usage and quota. A guarantee or limit of 0 means that there is none.
#[derive(Serialize, Deserialize, Debug, Clone, PartialEq)]
pub struct TeamRow {
    /// Its name.
    pub name: String,
    /// CPUs in use.
    pub cpus: f64,
    /// Guaranteed CPUs.
    pub cpus_guaranteed: f64,
    /// Limit of CPUs.
    pub cpus_max: f64,
    /// GPUs in use.
    pub gpus: f64,
    /// Guaranteed GPUs.
    pub gpus_guaranteed: f64,
    /// Limit of GPUs.
    pub gpus_max: f64,
    /// Number of live jobs.
    pub jobs: u32,
    /// Number of waiting tasks.
    pub waiting_tasks: u32,
    /// CPUs that the waiting tasks request.
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
    /// Whether it can take tasks.
    pub state: MachineState,
    /// The reason for its state.
    pub why: String,
    /// Seconds since its last heartbeat.
    pub silent_s: f64,
    /// Number of attempts on it.
    pub tasks: u32,
    /// Number of tasks that are queued for it. They start there as soon as it has enough free
    /// resources.
    pub bound: u32,
    /// CPUs that are not in use.
    pub free_cpus: f64,
}

/// Whether a machine can take tasks, and if not, why.
#[derive(Serialize, Deserialize, Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
#[serde(rename_all = "kebab-case")]
pub enum MachineState {
    /// Tasks may start on it.
    Usable,
    /// It is not yet in the leader's stored record, has not yet sent a heartbeat under the leader's
    /// term, or runs tasks of jobs that the leader does not know.
    Unproven,
    /// It has stopped sending heartbeats, and its lease has not expired yet.
    Silent,
    /// It has sent no heartbeat for so long that its lease has expired, which proves it empty.
    Expired,
    /// An operator is draining it.
    Draining,
    /// An operator has drained it, and it is proven empty.
    Drained,
    /// It is taken out of use and will be returned to the cloud.
    Returning,
    /// The cloud has announced that it will reclaim it.
    Noticed,
}

/// A shard as seen by the controller that answers.
#[derive(Serialize, Deserialize, Debug, Clone, PartialEq)]
pub struct ShardRow {
    /// Number of the shard.
    pub share: u32,
    /// The leader, if it is known.
    pub owner: Option<String>,
    /// The leader's term.
    pub term: u64,
    /// Controllers whose lease has not expired.
    pub alive: Vec<String>,
    /// Former leaders that may still answer workers.
    pub former: Vec<String>,
    /// Whether the controller that answers is the leader and may answer workers.
    pub ours: bool,
    /// Seconds since the controller that answers last confirmed its leadership; `None` if it is not
    /// the leader.
    pub confirmed_s: Option<f64>,
    /// Number of machines that a new leader must hear from before it resumes placement after a
    /// failover; `None` if placement is not suspended.
    pub missing: Option<usize>,
}

/// Calls to one external service from the controller that sends this answer.
#[derive(Serialize, Deserialize, Debug, Clone, PartialEq)]
pub struct ServiceRow {
    /// Its name.
    pub name: String,
    /// Requests that were answered.
    pub answered: u64,
    /// Requests that failed.
    pub failed: u64,
    /// Seconds since the service last answered a request.
    pub answered_s: Option<f64>,
    /// Seconds since a request to it last failed.
    pub failed_s: Option<f64>,
}

/// Quantiles of a distribution, in seconds.
#[derive(Serialize, Deserialize, Debug, Clone, PartialEq)]
pub struct Quantiles {
    /// What was measured.
    pub name: String,
    /// Number of values.
    pub count: u64,
    /// The 50th percentile (median).
    pub p50_s: f64,
    /// The 90th percentile.
    pub p90_s: f64,
    /// The 99th percentile.
    pub p99_s: f64,
    /// The maximum.
    pub max_s: f64,
}

/// Waiting times of jobs.
#[derive(Serialize, Deserialize, Debug, Clone, PartialEq, Default)]
pub struct Waits {
    /// For each class, the times from a job's acceptance until its first task runs.
    pub first_start: Vec<Quantiles>,
    /// How long the controller that answers took to accept jobs.
    pub acceptance: Option<Quantiles>,
}
