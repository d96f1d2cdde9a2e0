//! What users submit and are told.

use serde_json::json;

/// The name of a job.
pub fn id(job: usize) -> String {
    format!("run-{job:06}")
}

/// A job of two tasks that the settings of the tests allow.
pub fn submission(job: usize) -> String {
    json!({"name_id": id(job), "queue": "class", "owner": "vision", "shape": "sweep",
        "urgency": "standard", "shards": 2, "cpus": 1.0, "cards": 0.0, "memory_gb": 1.0,
        "bundle": "img", "image_gb": 1.0, "flavors": null, "site": null, "together": false,
        "scatter": false, "standby": true, "expected_s": 20.0, "save_every_s": 0.0,
        "save_cost_s": 0.0, "due_s": null})
    .to_string()
}

/// What an answer tells a user of a job: later ones never rank lower.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum JobAnswer {
    Unknown,
    Accepted,
    Done,
    Cancelled,
}

impl JobAnswer {
    /// Whether a user who was told `self` may be told `later` afterwards.
    pub fn allows(self, later: JobAnswer) -> bool {
        match self {
            JobAnswer::Done | JobAnswer::Cancelled => later == self,
            JobAnswer::Unknown | JobAnswer::Accepted => later >= self,
        }
    }

    /// What an answer tells; nothing if the job cannot be answered for now.
    pub fn read(status: u16, text: &str) -> Option<JobAnswer> {
        match status {
            200 | 201 if text.contains("\"done\",") || text.contains("\"done\"}") => {
                Some(JobAnswer::Done)
            }
            200 | 201 if text.contains("withdrawn") => Some(JobAnswer::Cancelled),
            200 | 201 => Some(JobAnswer::Accepted),
            404 => Some(JobAnswer::Unknown),
            503 => None,
            other => panic!("{other}: {text}"),
        }
    }
}
