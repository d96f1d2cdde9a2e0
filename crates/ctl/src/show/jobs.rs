//! The table of live jobs.

use super::{duration, optional_duration, table, variant_name, EMPTY_CELL};
use foxspur_wire::admin::{JobHealth, JobRow, Jobs};

const HEADER: [&str; 10] = [
    "state", "job", "class", "team", "age", "slack", "done", "runs", "waits", "why",
];

/// The table of live jobs, and a line with the numbers of stuck, failing and late jobs.
pub fn jobs(jobs: &Jobs) -> String {
    let mut text = table(&HEADER, jobs.rows.iter().map(row));
    text.push_str(&format!(
        "{} live, {} stuck, {} failing, {} late\n",
        jobs.live, jobs.stuck, jobs.failing, jobs.late
    ));
    text
}

fn row(job: &JobRow) -> Vec<String> {
    let standing = match job.standing {
        JobHealth::Ok => "ok".to_string(),
        problem => variant_name(&problem).to_uppercase(),
    };
    vec![
        standing,
        job.id.clone(),
        job.class.clone(),
        job.team.clone(),
        duration(job.age_s),
        optional_duration(job.slack_s, EMPTY_CELL),
        format!("{}/{}", job.done, job.tasks),
        job.running.to_string(),
        job.waiting.to_string(),
        job.why.clone(),
    ]
}
