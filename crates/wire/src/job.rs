//! Jobs as users submit them, and what users are told about them.

use serde::{Deserialize, Serialize};
use std::borrow::Cow;

/// Most tasks a job may have.
pub const MAX_TASKS: u64 = 100_000;
/// Longest image or team name taken; they end up in state keys and records.
const MAX_NAME: usize = 150;

/// How a job's tasks relate. The wire's third shape, `group`, is not served.
#[derive(Serialize, Deserialize, Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shape {
    /// Independent tasks, each runs to completion.
    #[serde(rename = "sweep")]
    Sweep,
    /// Replicas that run until the job is cancelled.
    #[serde(rename = "service")]
    Service,
}

/// Priority, lowest first, so that the derived order is the order of precedence.
#[derive(Serialize, Deserialize, Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Urgency {
    #[serde(rename = "idle")]
    Idle,
    #[serde(rename = "standard")]
    Standard,
    #[serde(rename = "high")]
    High,
    #[serde(rename = "prod")]
    Prod,
}

/// A job's description.
#[derive(Serialize, Deserialize, Clone, Debug, PartialEq)]
pub struct JobSpec {
    #[serde(rename = "name_id")]
    pub id: String,
    #[serde(rename = "queue")]
    pub class: String,
    #[serde(rename = "owner")]
    pub team: String,
    pub shape: Shape,
    pub urgency: Urgency,
    #[serde(rename = "shards")]
    pub tasks: u32,
    pub cpus: f64,
    #[serde(rename = "cards")]
    pub gpus: f64,
    pub memory_gb: f64,
    #[serde(rename = "bundle")]
    pub image: String,
    pub image_gb: f64,
    #[serde(rename = "flavors", default, skip_serializing_if = "Option::is_none")]
    pub types: Option<Vec<String>>,
    #[serde(rename = "site", default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<String>,
    #[serde(rename = "together")]
    pub one_zone: bool,
    #[serde(rename = "scatter")]
    pub spread: bool,
    #[serde(rename = "standby")]
    pub spot: bool,
    #[serde(rename = "expected_s")]
    pub estimate_s: f64,
    #[serde(rename = "save_every_s")]
    pub checkpoint_s: f64,
    #[serde(rename = "save_cost_s")]
    pub save_s: f64,
    #[serde(rename = "due_s", default, skip_serializing_if = "Option::is_none")]
    pub deadline_s: Option<f64>,
}

/// Whether `id` has the form every job id has: `run-` and digits.
pub fn valid_id(id: &str) -> bool {
    id.strip_prefix("run-")
        .is_some_and(|n| !n.is_empty() && n.len() <= 20 && n.bytes().all(|b| b.is_ascii_digit()))
}

/// Finds a well-formed id in a body that may otherwise be wrong: a job that is
/// known already is answered as known whatever else its repetition holds.
pub fn peek_id(body: &[u8]) -> Option<String> {
    let v: serde_json::Value = serde_json::from_slice(body).ok()?;
    let id = v.get("name_id")?.as_str()?;
    valid_id(id).then(|| id.to_string())
}

/// Reads a submission; the error is meant for the user.
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

/// What every controller asks of a submission before it looks at teams and
/// machine types; the error names the field.
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
        if text.is_empty() || text.len() > MAX_NAME {
            return Err(format!("{name} is empty or too long"));
        }
    }
    Ok(())
}

/// What a user is told about a job's progress.
#[derive(Serialize, Deserialize, Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobState {
    #[serde(rename = "pending")]
    Pending,
    #[serde(rename = "running")]
    Running,
    #[serde(rename = "done")]
    Done,
    #[serde(rename = "withdrawn")]
    Cancelled,
}

/// The answer to a submission or a cancellation.
#[derive(Serialize, Deserialize, Debug, Clone, PartialEq)]
pub struct Accepted<'a> {
    #[serde(rename = "name_id", borrow)]
    pub id: Cow<'a, str>,
    #[serde(rename = "status")]
    pub state: JobState,
}

/// The answer to a query.
#[derive(Serialize, Deserialize, Debug, Clone, PartialEq)]
pub struct Progress<'a> {
    #[serde(rename = "name_id", borrow)]
    pub id: Cow<'a, str>,
    #[serde(rename = "status")]
    pub state: JobState,
    /// Tasks done and running, for display.
    pub done: u32,
    pub running: u32,
}

/// Why something was refused, for a person to read.
#[derive(Serialize, Deserialize, Debug, Clone, PartialEq)]
pub struct Refusal<'a> {
    #[serde(borrow)]
    pub error: Cow<'a, str>,
}
