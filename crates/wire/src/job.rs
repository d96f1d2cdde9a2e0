//! Jobs as users submit them, and what users are told about them.

use serde::{Deserialize, Serialize};
use std::borrow::Cow;

/// The most tasks that a job may have.
pub const MAX_TASKS: u64 = 100_000;
/// The longest name of an image, class or team. These names become part of keys and records in the
/// state service.
const MAX_NAME_BYTES: usize = 150;

/// How a job's tasks relate. The protocol has a third shape, `group`, which foxspur does not
/// support.
#[derive(Serialize, Deserialize, Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shape {
    /// Independent tasks, each of which runs to completion.
    #[serde(rename = "sweep")]
    Sweep,
    /// Replicas that run until the job is cancelled.
    #[serde(rename = "service")]
    Service,
}

/// Priority, lowest first: the derived order is the order of precedence.
#[derive(Serialize, Deserialize, Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Urgency {
    /// Runs only on capacity that no higher priority uses.
    #[serde(rename = "idle")]
    Idle,
    /// The usual priority.
    #[serde(rename = "standard")]
    Standard,
    /// Takes precedence over `Standard`.
    #[serde(rename = "high")]
    High,
    /// Takes precedence over all others.
    #[serde(rename = "prod")]
    Prod,
}

/// A job's description.
#[derive(Serialize, Deserialize, Clone, Debug, PartialEq)]
pub struct JobSpec {
    /// The id: `run-` followed by 1 to 20 digits.
    #[serde(rename = "name_id")]
    pub id: String,
    /// The job's class. Objectives and run time predictions are kept per class.
    #[serde(rename = "queue")]
    pub class: String,
    /// The team whose quota the job counts against.
    #[serde(rename = "owner")]
    pub team: String,
    /// How its tasks relate.
    pub shape: Shape,
    /// Its priority.
    pub urgency: Urgency,
    /// How many tasks it has.
    #[serde(rename = "shards")]
    pub tasks: u32,
    /// CPUs per task.
    pub cpus: f64,
    /// GPUs per task.
    #[serde(rename = "cards")]
    pub gpus: f64,
    /// Memory per task, in gigabytes.
    pub memory_gb: f64,
    /// Name of the image that the tasks run.
    #[serde(rename = "bundle")]
    pub image: String,
    /// The image's size in gigabytes.
    pub image_gb: f64,
    /// Machine types that the job may run on; `None` allows any.
    #[serde(rename = "flavors", default, skip_serializing_if = "Option::is_none")]
    pub types: Option<Vec<String>>,
    /// The zone that the job must run in; `None` allows any.
    #[serde(rename = "site", default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<String>,
    /// Whether all tasks must run in one zone.
    #[serde(rename = "together")]
    pub one_zone: bool,
    /// Whether at most half of the tasks may run in one zone.
    #[serde(rename = "scatter")]
    pub spread: bool,
    /// Whether the job may run on spot machines.
    #[serde(rename = "standby")]
    pub spot: bool,
    /// The user's estimate of a task's run time, in seconds.
    #[serde(rename = "expected_s")]
    pub estimate_s: f64,
    /// Seconds between two checkpoints of a task; 0 if it writes none.
    #[serde(rename = "save_every_s")]
    pub checkpoint_s: f64,
    /// Seconds that a checkpoint takes.
    #[serde(rename = "save_cost_s")]
    pub save_s: f64,
    /// Seconds from submission within which the job should be completed.
    #[serde(rename = "due_s", default, skip_serializing_if = "Option::is_none")]
    pub deadline_s: Option<f64>,
}

/// Whether `id` has the form of a job id: `run-` followed by 1 to 20 digits.
pub fn valid_id(id: &str) -> bool {
    id.strip_prefix("run-").is_some_and(|digits| {
        !digits.is_empty() && digits.len() <= 20 && digits.bytes().all(|b| b.is_ascii_digit())
    })
}

/// Finds a well-formed id in a body that may be invalid otherwise. A repeated submission of a
/// known job is answered with the job's state, even if the rest of the repetition is invalid.
pub fn peek_id(body: &[u8]) -> Option<String> {
    let value: serde_json::Value = serde_json::from_slice(body).ok()?;
    let id = value.get("name_id")?.as_str()?;
    valid_id(id).then(|| id.to_string())
}

/// Parses and checks a submission.
///
/// # Errors
///
/// A sentence for the user that names what is wrong.
pub fn parse_submission(body: &[u8]) -> Result<JobSpec, String> {
    let value: serde_json::Value =
        serde_json::from_slice(body).map_err(|e| format!("not JSON: {e}"))?;
    if !value.is_object() {
        return Err("not an object".into());
    }
    let spec: JobSpec = serde_json::from_value(value).map_err(|e| e.to_string())?;
    check_submission(&spec)?;
    Ok(spec)
}

/// The checks of a submission that do not depend on teams or machine types. Every controller makes
/// them first.
///
/// # Errors
///
/// A sentence for the user that names the field.
pub fn check_submission(spec: &JobSpec) -> Result<(), String> {
    if !valid_id(&spec.id) {
        return Err("name_id is not of the form run-000000".into());
    }
    if spec.tasks == 0 || u64::from(spec.tasks) > MAX_TASKS {
        return Err(format!("shards is not within 1..={MAX_TASKS}"));
    }
    let amounts = [
        ("cpus", spec.cpus),
        ("cards", spec.gpus),
        ("memory_gb", spec.memory_gb),
        ("image_gb", spec.image_gb),
        ("expected_s", spec.estimate_s),
        ("save_every_s", spec.checkpoint_s),
        ("save_cost_s", spec.save_s),
        ("due_s", spec.deadline_s.unwrap_or(0.0)),
    ];
    for (name, amount) in amounts {
        if !amount.is_finite() || amount < 0.0 {
            return Err(format!("{name} is negative or no number"));
        }
    }
    for (name, text) in [
        ("queue", &spec.class),
        ("owner", &spec.team),
        ("bundle", &spec.image),
    ] {
        if text.is_empty() || text.len() > MAX_NAME_BYTES {
            return Err(format!("{name} is empty or too long"));
        }
    }
    Ok(())
}

/// What a user is told about a job's progress.
#[derive(Serialize, Deserialize, Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobState {
    /// Accepted, and none of its tasks is running.
    #[serde(rename = "pending")]
    Pending,
    /// At least one of its tasks is running.
    #[serde(rename = "running")]
    Running,
    /// All of its tasks are completed.
    #[serde(rename = "done")]
    Done,
    /// It was cancelled.
    #[serde(rename = "withdrawn")]
    Cancelled,
}

/// The answer to a submission or a cancellation.
#[derive(Serialize, Deserialize, Debug, Clone, PartialEq)]
pub struct Accepted<'a> {
    /// The job's id.
    #[serde(rename = "name_id", borrow)]
    pub id: Cow<'a, str>,
    /// Its state.
    #[serde(rename = "status")]
    pub state: JobState,
}

/// The answer to a query of a job's state.
#[derive(Serialize, Deserialize, Debug, Clone, PartialEq)]
pub struct Progress<'a> {
    /// The job's id.
    #[serde(rename = "name_id", borrow)]
    pub id: Cow<'a, str>,
    /// Its state.
    #[serde(rename = "status")]
    pub state: JobState,
    /// Completed tasks, for display.
    pub done: u32,
    /// Running tasks, for display.
    pub running: u32,
}

/// The body of a refused request.
#[derive(Serialize, Deserialize, Debug, Clone, PartialEq)]
pub struct Refusal<'a> {
    /// Why it was refused: a sentence for a person, which names the field that is wrong.
    #[serde(borrow)]
    pub error: Cow<'a, str>,
}
