//! The table of live jobs.

use super::{name, optional_span, span, table, NONE};
use foxspur_wire::admin::{JobRow, Jobs, Standing};

const HEAD: [&str; 10] = [
    "state", "job", "class", "team", "age", "slack", "done", "runs", "waits", "why",
];

/// Live jobs, and how many of them are in trouble.
pub fn jobs(jobs: &Jobs) -> String {
    let mut text = table(&HEAD, jobs.rows.iter().map(row));
    text.push_str(&format!(
        "{} live, {} stuck, {} failing, {} late\n",
        jobs.live, jobs.stuck, jobs.failing, jobs.late
    ));
    text
}

fn row(job: &JobRow) -> Vec<String> {
    let standing = match job.standing {
        Standing::Ok => "ok".to_string(),
        bad => name(&bad).to_uppercase(),
    };
    vec![
        standing,
        job.id.clone(),
        job.class.clone(),
        job.team.clone(),
        span(job.age_s),
        optional_span(job.slack_s, NONE),
        format!("{}/{}", job.done, job.tasks),
        job.running.to_string(),
        job.waiting.to_string(),
        job.why.clone(),
    ]
}
