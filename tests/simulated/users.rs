//! The submissions of users, and the answers that they receive.

use serde_json::json;

/// The id of a job.
pub fn id(job: usize) -> String {
    format!("run-{job:06}")
}

/// The body of a submission: a job of two tasks, valid under the settings of the tests.
pub fn submission(job: usize) -> String {
    json!({"name_id": id(job), "queue": "class", "owner": "vision", "shape": "sweep",
        "urgency": "standard", "shards": 2, "cpus": 1.0, "cards": 0.0, "memory_gb": 1.0,
        "bundle": "img", "image_gb": 1.0, "flavors": null, "site": null, "together": false,
        "scatter": false, "standby": true, "expected_s": 20.0, "save_every_s": 0.0,
        "save_cost_s": 0.0, "due_s": null})
    .to_string()
}

/// The state of a job according to an answer. The variants are in ascending rank: a later answer
/// about the same job must never have a lower rank than an earlier one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum JobAnswer {
    Unknown,
    Accepted,
    Done,
    Cancelled,
}

impl JobAnswer {
    /// Whether a user may receive the answer `later` after the answer `self`.
    pub fn may_precede(self, later: JobAnswer) -> bool {
        match self {
            JobAnswer::Done | JobAnswer::Cancelled => later == self,
            JobAnswer::Unknown | JobAnswer::Accepted => later >= self,
        }
    }

    /// Parses a response; `None` if the controller could not answer the request (503).
    pub fn parse(status: u16, text: &str) -> Option<JobAnswer> {
        match status {
            200 | 201 if text.contains("\"done\",") || text.contains("\"done\"}") => {
                Some(JobAnswer::Done)
            }
            200 | 201 if text.contains("withdrawn") => Some(JobAnswer::Cancelled),
            200 | 201 => Some(JobAnswer::Accepted),
            404 => Some(JobAnswer::Unknown),
            503 => None,
            other => panic!("unexpected status {other}: {text}"),
        }
    }
}
