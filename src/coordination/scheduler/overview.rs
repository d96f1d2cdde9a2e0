//! A table of live jobs in plain text, for operators who have only a browser. Its rows come
//! from `views`.

use crate::coordination::scheduler::state::Scheduler;
use crate::protocol::admin::JobHealth;
use std::fmt::Write;

/// Maximum number of jobs in the table.
const MAX_ROWS: usize = 200;

impl Scheduler {
    /// Renders the table of live jobs. Jobs that need attention come first.
    pub fn overview(&self, now: f64) -> String {
        let jobs = self.job_rows(now, MAX_ROWS);
        let mut text = format!(
            "{} live jobs, {} stuck; term {}; {}\n\n{:<6} {:<22} {:<20} {:<16} {:>7} {:>6} {:>6} {:>6}  why\n",
            jobs.live,
            jobs.stuck + jobs.failing + jobs.late,
            self.term,
            self.load_summary(),
            "state",
            "job",
            "class",
            "team",
            "age s",
            "done",
            "runs",
            "of"
        );
        for row in &jobs.rows {
            let state = if row.standing == JobHealth::Ok {
                "ok"
            } else {
                "STUCK"
            };
            // Writing to a string does not fail.
            let _ = writeln!(
                text,
                "{:<6} {:<22} {:<20} {:<16} {:>7.0} {:>6} {:>6} {:>6}  {}",
                state,
                row.id,
                row.class,
                row.team,
                row.age_s,
                row.done,
                row.running,
                row.tasks,
                row.why
            );
        }
        text
    }
}
